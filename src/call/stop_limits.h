/* Time limits of a planned stop: until when an entry listens, which requests
   it still takes, when it ends those that are left, and when it exits.

   A stop must not take what it can't finish.  At first every request is taken,
   since look-ups that callers have cached still name the entry.  After
   `open_until' a request is taken only if its deadline is not after
   `answer_by'; another one is refused at once, so that its caller turns to
   another entry.  At `answer_by' each request that is left gets its final
   response, and the process has until `exit_at' to write these.

     struct stop_limits limits = { 0 };                    no stop
     limits = stop_limits_begin (&desc, now);              the signal
     if (!stop_limits_take (&limits, now, deadline)) refuse

   Units: microseconds.  Threads: pure functions.  */
#ifndef CALL_STOP_LIMITS_H
#define CALL_STOP_LIMITS_H

#include <apr_time.h>
#include <stdbool.h>

struct stop_limits_desc
{
  /* From the signal until the process is killed.  */
  apr_time_t duration;
  /* For so long after the signal callers may use a look-up result that names
     the entry.  */
  apr_time_t lookup_use;
};

/* Points in time; all 0 while no stop is in progress.  */
struct stop_limits
{
  apr_time_t began_at;
  apr_time_t open_until;   /* every request is taken */
  apr_time_t listen_until; /* new connections are accepted */
  apr_time_t answer_by;    /* requests that are left get their response */
  apr_time_t exit_at;
};

/* Returns the limits of a stop whose signal came at NOW.  */
struct stop_limits stop_limits_begin (const struct stop_limits_desc *desc,
                                      apr_time_t now);
/* Returns whether a request that arrived at ARRIVED_AT and has until DEADLINE
   is taken; always true while no stop is in progress.  */
bool stop_limits_take (const struct stop_limits *limits, apr_time_t arrived_at,
                       apr_time_t deadline);
/* Returns the earlier of DEADLINE and the time at which the stop ends all
   requests; DEADLINE while no stop is in progress.  */
apr_time_t stop_limits_deadline (const struct stop_limits *limits,
                                 apr_time_t deadline);

#endif
