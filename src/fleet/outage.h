/* Whether a key that vanished from the list may only have lapsed.

   Keys that are renewed lapse while the store cannot be reached by those who
   renew them; their owners write them again as soon as it is back.  A key
   that vanishes later was removed, and what it named is leaving.

     outage_failed (&outage, now);       a call had no answer
     outage_answered (&outage, now);
     lapsed = outage_in_doubt (&outage, now);

   Units: microseconds.  Threads: pure functions.  */
#ifndef FLEET_OUTAGE_H
#define FLEET_OUTAGE_H

#include <apr_time.h>
#include <stdbool.h>
#include <stdint.h>

struct outage
{
  int64_t failures; /* in a row */
  apr_time_t failed_at;
  apr_time_t answered_at;
};

void outage_failed (struct outage *outage, apr_time_t now);
void outage_answered (struct outage *outage, apr_time_t now);
bool outage_in_doubt (const struct outage *outage, apr_time_t now);

#endif
