#include "balance/admit.h"

/* constants */

/* From this utilization on, a slot is worth more to a request that can still
   meet its target latency than to one that is late already.  The limit is
   higher for a late request that is urgent.  */
static const double max_utilization_for_late = 0.3;
static const double max_utilization_for_urgent_late = 0.4;

enum
{
  MIN_WAIT_MS = 5,        /* a shorter wait is not worth queueing for */
  MAX_LATE_WAIT_MS = 150, /* a request that is late already waits no longer */
  PROBE_AFTER_MS = 1000,  /* without a request, the estimate is tested */
  RETRY_BASE_MS = 120,    /* within which a slot is usually freed */
  RETRY_JITTER_MS = 400,  /* keeps callers from retrying at the same moment */
  RETURN_JITTER_MAX_MS = 2000 /* the same after all upstreams turned away */
};

/* private functions */

static apr_time_t
from_ms (double value)
{
  return (apr_time_t)(value * (APR_USEC_PER_SEC / 1000));
}

static struct admit_verdict
refuse (const struct admit_state *state)
{
  return (struct admit_verdict){
    .action = ADMIT_REFUSE,
    .retry_after = from_ms (
        RETRY_BASE_MS + RETRY_JITTER_MS * state->jitter * state->utilization)
  };
}

/* public functions */

struct admit_verdict
admit_decide (const struct admit_state *state)
{
  double max_utilization = state->is_urgent ? max_utilization_for_urgent_late
                                            : max_utilization_for_late;
  bool may_be_late = state->utilization < max_utilization;
  if (state->has_slot)
    {
      if (state->since_sent > from_ms (PROBE_AFTER_MS)
          || state->expected_latency <= state->target_left
          || (may_be_late && state->expected_latency <= state->deadline_left))
        return (struct admit_verdict){ .action = ADMIT_SEND };
      return refuse (state);
    }
  apr_time_t wait = state->target_left - state->min_latency;
  if (wait < from_ms (MIN_WAIT_MS))
    {
      wait = state->deadline_left - state->min_latency;
      if (wait > from_ms (MAX_LATE_WAIT_MS))
        wait = from_ms (MAX_LATE_WAIT_MS);
      if (!may_be_late || wait < from_ms (MIN_WAIT_MS))
        return refuse (state);
    }
  /* How long the requests ahead in the queue are expected to take.  */
  double queue_time
      = state->dispatch_rate > 0
            ? state->queued / state->dispatch_rate * APR_USEC_PER_SEC
            : 0.0;
  if (queue_time > (double)wait)
    return refuse (state);
  return (struct admit_verdict){ .action = ADMIT_WAIT, .max_wait = wait };
}

apr_time_t
admit_return_wait (apr_time_t left, double refused, apr_time_t work,
                   double jitter)
{
  double spread = from_ms (RETRY_JITTER_MS) + refused * (double)work;
  if (spread > from_ms (RETURN_JITTER_MAX_MS))
    spread = from_ms (RETURN_JITTER_MAX_MS);
  return (left > 0 ? left : 0) + (apr_time_t)(spread * jitter);
}
