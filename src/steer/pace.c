#include "steer/pace.h"

/* constants */

/* Of the rate: what flows in, and the depth in seconds.  Over 100 ms they
   add up to 0.093 + 0.006 of the rate's second, under a tenth.  */
#define REFILL_FRACTION 0.93
#define CAPACITY_S 0.006

/* private functions */

static void
refill (struct pace *pace, int64_t rate, apr_time_t now)
{
  double depth = (double)rate * CAPACITY_S;
  if (pace->updated_at > 0 && now > pace->updated_at)
    pace->tokens += (double)(now - pace->updated_at) * 1e-6 * (double)rate * REFILL_FRACTION;
  if (pace->tokens > depth)
    pace->tokens = depth;
  pace->updated_at = now;
}

/* public functions */

size_t
pace_take (struct pace *pace, int64_t rate, size_t want, apr_time_t now)
{
  refill (pace, rate, now);
  if (pace->tokens < 1)
    return 0;
  size_t most = (size_t)pace->tokens;
  if (want > most)
    want = most;
  pace->tokens -= (double)want;
  return want;
}

void
pace_debit (struct pace *pace, int64_t rate, size_t bytes, apr_time_t now)
{
  refill (pace, rate, now);
  pace->tokens -= (double)bytes;
}
