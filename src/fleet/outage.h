/* Whether a key that vanished from the platform's store may only have expired.

   An owner renews its key's lease in the store.  While the owners cannot reach
   the store, leases run out and keys vanish although their owners are still
   there; they write them again as soon as the store is back.  A key that
   vanishes at another time was removed, and what it named is leaving.  The
   owners are assumed to fail to reach the store when this entry does.

   When a call to the store had no response:

     outage_record_failure (&outage, now);

   and when one had a response:

     may_be_expired = outage_is_recent (&outage, now);
     outage_record_response (&outage, now);

   A store that came back without what it had acknowledged has lost leases
   too:

     outage_record_loss (&outage, now);

   MAY_BE_EXPIRED is then an argument of fleet_remove_upstream and
   fleet_end_listing for what the response contains.

   Units: microseconds.  Threads: pure functions.  */
#ifndef FLEET_OUTAGE_H
#define FLEET_OUTAGE_H

#include <apr_time.h>
#include <stdbool.h>
#include <stdint.h>

/* Starts as all zeros.  */
struct outage
{
  int64_t failures;       /* in a row */
  apr_time_t failed_at;   /* the latest failure; 0: none so far */
  apr_time_t answered_at; /* the latest response; 0: none so far */
};

/* Records that a call to the store failed.  */
void outage_record_failure (struct outage *outage, apr_time_t now);
/* Records that a call to the store had a response.  */
void outage_record_response (struct outage *outage, apr_time_t now);
/* Records that the store lost what it had acknowledged, which counts as a
   failure for outage_is_recent.  */
void outage_record_loss (struct outage *outage, apr_time_t now);
/* Returns whether a call to the store failed so shortly before NOW, within
   1.2 s, that a key which vanishes now may only have expired.  */
bool outage_is_recent (const struct outage *outage, apr_time_t now);

#endif
