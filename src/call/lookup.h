/* Look-up: which entries a caller should use for a service.

   An answer is a short ordered list of entries in at least two availability
   zones where the fleet allows it, and a lifetime for which the caller may
   keep it.  Entries that are silent or leaving are not in it, nor are drained
   ones while others serve.  Near entries come first; among equally near ones
   the order is a stable hash of the caller, so that callers spread and keep
   their entry.

   Threads: pure functions.  */
#ifndef CALL_LOOKUP_H
#define CALL_LOOKUP_H

#include "peer/roster.h"
#include "resource/resource.h"

enum
{
  LOOKUP_ENTRIES_MAX = 4
};

struct lookup_request
{
  const struct service *service;
  struct str region; /* where the caller is */
  struct str caller; /* identifies the caller for spreading */
};

struct lookup_answer
{
  const struct beat *entries[LOOKUP_ENTRIES_MAX];
  size_t count;
  int64_t lifetime_ms;
};

struct lookup_answer lookup_find (const struct snapshot *snapshot,
                                  const struct roster *roster,
                                  const struct lookup_request *request);
/* Returns the one-way latency between two regions.  */
int64_t lookup_distance_ms (const struct snapshot *snapshot, struct str a,
                            struct str b);
/* Returns the answer as a new JSON object.  */
json_object *lookup_to_json (const struct lookup_answer *answer,
                             const struct service *service);

#endif
