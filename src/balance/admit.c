#include "balance/admit.h"

/* constants */

/* Above this fullness a slot is worth more to a request that can still make
   its aim than to one that is late already.  */
static const double full_for_late = 0.3;
static const double full_for_urgent_late = 0.4;

enum
{
  WAIT_LEAST_MS = 5,       /* a shorter wait is not worth a place in line */
  LATE_WAIT_MOST_MS = 150, /* late answers are not held long besides */
  RETURN_FIRST_MS = 120,   /* the time in which a slot is usually freed */
  RETURN_SPREAD_MS = 400   /* keeps callers from returning together */
};

/* private functions */

static apr_time_t
ms (double value)
{
  return (apr_time_t)(value * (APR_USEC_PER_SEC / 1000));
}

static struct admit_verdict
refuse (const struct admit_state *state)
{
  return (struct admit_verdict){
    .action = ADMIT_REFUSE,
    .retry_after
    = ms (RETURN_FIRST_MS + RETURN_SPREAD_MS * state->chance * state->fullness)
  };
}

/* public functions */

struct admit_verdict
admit_decide (const struct admit_state *state)
{
  double full = state->may_be_late ? full_for_urgent_late : full_for_late;
  bool late_is_fine = state->fullness < full;
  if (state->has_slot)
    {
      if (state->expected <= state->aim_left
          || (late_is_fine && state->expected <= state->time_left))
        return (struct admit_verdict){ .action = ADMIT_SEND };
      return refuse (state);
    }
  apr_time_t wait = state->aim_left - state->best;
  if (wait < ms (WAIT_LEAST_MS))
    {
      wait = state->time_left - state->best;
      if (wait > ms (LATE_WAIT_MOST_MS))
        wait = ms (LATE_WAIT_MOST_MS);
      if (!late_is_fine || wait < ms (WAIT_LEAST_MS))
        return refuse (state);
    }
  double in_line = state->rate > 0
                       ? state->waiting / state->rate * APR_USEC_PER_SEC
                       : 0.0;
  if (in_line > (double)wait)
    return refuse (state);
  return (struct admit_verdict){ .action = ADMIT_WAIT, .wait = wait };
}
