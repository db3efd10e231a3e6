#include "call/lookup.h"

#include <math.h>
#include <xxhash.h>

/* types */

/* An entry that may be returned.  */
struct candidate
{
  const struct heartbeat *heartbeat;
  int64_t latency_ms; /* one way, from the caller's region */
  double score;       /* lower is better */
};

/* constants */

enum
{
  DEFAULT_LIFETIME_MS = 2000, /* without a policy */
  MAX_CANDIDATES = 64,        /* the best ones; others are not considered */
  UNKNOWN_LATENCY_MS = 1000   /* between regions without a configured link */
};

/* private functions */

static bool
is_serving (const struct roster_entry *entry)
{
  return entry->alive && entry->heartbeat.state == ENTRY_SERVING;
}

/* Returns whether ENTRY serves and neither it, nor its zone, nor its region is
   drained.  */
static bool
is_usable (const struct snapshot *snapshot, const struct roster_entry *entry)
{
  return is_serving (entry)
         && !snapshot_has_drain (snapshot, DRAIN_ENTRY, entry->heartbeat.name)
         && !snapshot_has_drain (snapshot, DRAIN_ZONE, entry->heartbeat.zone)
         && !snapshot_has_drain (snapshot, DRAIN_REGION,
                                 entry->heartbeat.region);
}

/* Returns the fraction of its callers that an entry keeps, depending on how
   many calls are queued there.  There are few steps, so that results change
   seldom.  */
static double
caller_weight (const struct heartbeat *heartbeat)
{
  if (4 * heartbeat->queued <= heartbeat->in_flight)
    return 1.0;
  return heartbeat->queued <= heartbeat->in_flight ? 0.5 : 0.25;
}

/* Weighted rendezvous hashing, with a SEED made from the caller: when the
   weight of an entry changes, callers move only away from it or only to it; no
   others move.  */
static double
hash_score (const struct heartbeat *heartbeat, uint64_t seed)
{
  uint64_t hash = XXH3_64bits_withSeed (heartbeat->name.data,
                                        heartbeat->name.size, seed);
  double uniform = ((double)(hash >> 11) + 0.5) / 9007199254740992.0;
  return -log (uniform) / caller_weight (heartbeat);
}

static bool
ranks_before (const struct candidate *a, const struct candidate *b)
{
  if (a->latency_ms != b->latency_ms)
    return a->latency_ms < b->latency_ms;
  return a->score < b->score;
}

/* Inserts CANDIDATE into LIST, which holds the MAX_CANDIDATES best ones in
   order.  */
static void
insert (struct candidate *list, size_t *count, struct candidate candidate)
{
  size_t at = *count;
  if (at == MAX_CANDIDATES)
    {
      if (!ranks_before (&candidate, &list[at - 1]))
        return;
      at--;
    }
  else
    (*count)++;
  while (at > 0 && ranks_before (&candidate, &list[at - 1]))
    {
      list[at] = list[at - 1];
      at--;
    }
  list[at] = candidate;
}

/* Moves the best entry of another zone than the first one's, if there is any,
   to the second place.  */
static void
move_other_zone_second (struct candidate *list, size_t count)
{
  for (size_t i = 1; i < count; i++)
    if (!str_equal (list[i].heartbeat->zone, list[0].heartbeat->zone))
      {
        struct candidate other = list[i];
        for (size_t j = i; j > 1; j--)
          list[j] = list[j - 1];
        list[1] = other;
        return;
      }
}

/* public functions */

int64_t
lookup_latency_ms (const struct snapshot *snapshot, struct str a, struct str b)
{
  if (str_equal (a, b))
    return 0;
  const struct region *from = snapshot_find (snapshot, KIND_REGION, a);
  const struct region *to = snapshot_find (snapshot, KIND_REGION, b);
  const struct region_link *link
      = from && to ? snapshot_find_link (snapshot, from, to) : NULL;
  return link ? link->latency_ms : UNKNOWN_LATENCY_MS;
}

struct lookup_result
lookup_find (const struct snapshot *snapshot, const struct roster *roster,
             const struct lookup_request *request)
{
  struct lookup_result result = { .lifetime_ms = DEFAULT_LIFETIME_MS };
  struct candidate list[MAX_CANDIDATES];
  size_t count = 0;
  uint64_t seed = XXH3_64bits (request->caller.data, request->caller.size);
  if (request->service && request->service->policy)
    result.lifetime_ms = request->service->policy->lookup_lifetime_ms;
  bool any_usable = false;
  for (size_t i = 0; i < roster->count; i++)
    any_usable |= is_usable (snapshot, &roster->entries[i]);
  for (size_t i = 0; i < roster->count; i++)
    {
      const struct roster_entry *entry = &roster->entries[i];
      /* If no other serves, a drained entry is better than none.  */
      if (any_usable ? !is_usable (snapshot, entry) : !is_serving (entry))
        continue;
      struct candidate candidate
          = { &entry->heartbeat,
              lookup_latency_ms (snapshot, request->region,
                                 entry->heartbeat.region),
              hash_score (&entry->heartbeat, seed) };
      insert (list, &count, candidate);
    }
  move_other_zone_second (list, count);
  for (size_t i = 0; i < count && i < LOOKUP_ENTRIES_MAX; i++)
    result.entries[result.count++] = list[i].heartbeat;
  return result;
}

json_object *
lookup_to_json (const struct lookup_result *result,
                const struct service *service)
{
  json_object *object = json_object_new_object ();
  json_object *entries = json_object_new_array ();
  if (service)
    json_object_object_add (object, "service",
                            json_object_new_string (service->head.name.data));
  json_object_object_add (object, "lifetime_ms",
                          json_object_new_int64 (result->lifetime_ms));
  for (size_t i = 0; i < result->count; i++)
    {
      const struct heartbeat *heartbeat = result->entries[i];
      json_object *entry = json_object_new_object ();
      json_object_object_add (entry, "name",
                              json_object_new_string (heartbeat->name.data));
      json_object_object_add (
          entry, "address",
          json_object_new_string (heartbeat->caller_address.data));
      json_object_object_add (entry, "zone",
                              json_object_new_string (heartbeat->zone.data));
      json_object_object_add (entry, "region",
                              json_object_new_string (heartbeat->region.data));
      json_object_array_add (entries, entry);
    }
  json_object_object_add (object, "entries", entries);
  return object;
}
