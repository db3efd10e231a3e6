#include "fleet/outage.h"

/* constants */

/* An outage counts as recent for this long after its last failed call.  What
   expired during it shows in the first responses after it, which come within a
   retry and a poll interval of that call.  */
static const apr_time_t recent_us = 1200000;

/* public functions */

void
outage_record_failure (struct outage *outage, apr_time_t now)
{
  outage->failures++;
  outage->failed_at = now;
}

void
outage_record_response (struct outage *outage, apr_time_t now)
{
  outage->failures = 0;
  outage->answered_at = now;
}

void
outage_record_loss (struct outage *outage, apr_time_t now)
{
  outage->failed_at = now;
}

bool
outage_is_recent (const struct outage *outage, apr_time_t now)
{
  return outage->failed_at > 0 && now - outage->failed_at < recent_us;
}
