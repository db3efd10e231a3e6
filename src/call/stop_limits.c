#include "call/stop_limits.h"

#include "base/timer.h"

/* constants */

enum
{
  /* Until a request that a caller sent, and the signal, have arrived here.  */
  ARRIVAL_MS = 300,
  /* Until a caller has connected that used a look-up result at its end.  */
  CONNECT_MS = 200,
  /* Before the process is killed: left to exit, and before that to write the
     last responses.  */
  EXIT_MARGIN_MS = 300,
  ANSWER_MARGIN_MS = 400
};

/* private functions */

static apr_time_t
earlier (apr_time_t a, apr_time_t b)
{
  return a < b ? a : b;
}

/* Returns DURATION less MARGIN_MS; not less than half of DURATION.  */
static apr_time_t
shortened (apr_time_t duration, int64_t margin_ms)
{
  apr_time_t rest = duration - TIMER_MS (margin_ms);
  return rest > duration / 2 ? rest : duration / 2;
}

/* public functions */

struct stop_limits
stop_limits_begin (const struct stop_limits_desc *desc, apr_time_t now)
{
  apr_time_t answer_time = shortened (desc->duration, ANSWER_MARGIN_MS);
  apr_time_t open_time = desc->lookup_use - TIMER_MS (ARRIVAL_MS);
  apr_time_t listen_time = desc->lookup_use + TIMER_MS (CONNECT_MS);
  return (struct stop_limits){
    .began_at = now,
    /* Half of the stop is left for the requests that were taken.  */
    .open_until
    = now + earlier (open_time > 0 ? open_time : 0, desc->duration / 2),
    .listen_until = now + earlier (listen_time, answer_time),
    .answer_by = now + answer_time,
    .exit_at = now + shortened (desc->duration, EXIT_MARGIN_MS)
  };
}

bool
stop_limits_take (const struct stop_limits *limits, apr_time_t arrived_at,
                  apr_time_t deadline)
{
  return limits->began_at == 0 || arrived_at <= limits->open_until
         || deadline <= limits->answer_by;
}

apr_time_t
stop_limits_deadline (const struct stop_limits *limits, apr_time_t deadline)
{
  return limits->began_at == 0 ? deadline
                               : earlier (deadline, limits->answer_by);
}
