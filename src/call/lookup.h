/* Look-up: which entries a caller should use for a service.

   A result is a short ordered list of entries in at least two availability
   zones, where the fleet allows it, and a lifetime for which the caller may
   cache it.  Entries that are silent or leaving are excluded; drained ones are
   excluded while others serve.  Entries with the lowest latency to the caller
   come first.  Among those of equal latency the order is a stable hash of the
   caller, so that callers spread over the entries and stay with theirs.

     struct lookup_request request = { service, region, caller };
     struct lookup_result result = lookup_find (snapshot, roster, &request);

   Threads: pure functions.  */
#ifndef CALL_LOOKUP_H
#define CALL_LOOKUP_H

#include "peer/roster.h"
#include "resource/resource.h"

enum
{
  LOOKUP_ENTRIES_MAX = 4 /* entries in a result, at most */
};

struct lookup_request
{
  const struct service *service; /* NULL: none, the default lifetime */
  struct str region;             /* where the caller is */
  struct str caller;             /* any text that identifies the caller for the
                                    hash; may be empty */
};

struct lookup_result
{
  const struct heartbeat
      *entries[LOOKUP_ENTRIES_MAX]; /* point into the roster */
  size_t count;
  int64_t lifetime_ms; /* for which the caller may cache the result: of the
                          service's policy, or 2 s */
};

/* Returns the entries for REQUEST; `count' is 0 if no entry serves.  */
struct lookup_result lookup_find (const struct snapshot *snapshot,
                                  const struct roster *roster,
                                  const struct lookup_request *request);
/* Returns the one-way latency from region A to region B: 0 within a region,
   1 s if no link between them is configured.  */
int64_t lookup_latency_ms (const struct snapshot *snapshot, struct str a,
                           struct str b);
/* Returns RESULT as a new JSON object that the caller frees, the response to a
   look-up.  SERVICE is named in it; it may be NULL.  */
json_object *lookup_to_json (const struct lookup_result *result,
                             const struct service *service);

#endif
