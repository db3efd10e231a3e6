#include "call/lookup.h"

#include <math.h>
#include <xxhash.h>

/* types */

struct candidate
{
  const struct beat *beat;
  int64_t distance_ms;
  double score; /* lower is better */
};

/* constants */

enum
{
  DEFAULT_LIFETIME_MS = 2000,
  CANDIDATES_MAX = 64,
  UNKNOWN_DISTANCE_MS = 1000
};

/* private functions */

static bool
is_serving (const struct roster_member *m)
{
  return m->alive && m->beat.state == ENTRY_SERVING;
}

static bool
is_usable (const struct snapshot *snapshot, const struct roster_member *m)
{
  return is_serving (m)
         && !snapshot_drained (snapshot, DRAIN_ENTRY, m->beat.name)
         && !snapshot_drained (snapshot, DRAIN_ZONE, m->beat.zone)
         && !snapshot_drained (snapshot, DRAIN_REGION, m->beat.region);
}

/* Returns the part of its callers that an entry is left while calls wait
   there.  Few steps, so that answers change seldom.  */
static double
weight_of (const struct beat *beat)
{
  if (4 * beat->queued <= beat->in_flight)
    return 1.0;
  return beat->queued <= beat->in_flight ? 0.5 : 0.25;
}

/* Weighted rendezvous hashing: when an entry's weight changes only its own
   callers move, or callers move only to it.  */
static double
score_of (const struct beat *beat, uint64_t seed)
{
  uint64_t hash
      = XXH3_64bits_withSeed (beat->name.data, beat->name.size, seed);
  double uniform = ((double)(hash >> 11) + 0.5) / 9007199254740992.0;
  return -log (uniform) / weight_of (beat);
}

static bool
comes_before (const struct candidate *a, const struct candidate *b)
{
  if (a->distance_ms != b->distance_ms)
    return a->distance_ms < b->distance_ms;
  return a->score < b->score;
}

/* Keeps the CANDIDATES_MAX best, in order.  */
static void
insert (struct candidate *list, size_t *count, struct candidate candidate)
{
  size_t at = *count;
  if (at == CANDIDATES_MAX)
    {
      if (!comes_before (&candidate, &list[at - 1]))
        return;
      at--;
    }
  else
    (*count)++;
  while (at > 0 && comes_before (&candidate, &list[at - 1]))
    {
      list[at] = list[at - 1];
      at--;
    }
  list[at] = candidate;
}

/* Makes the second entry one of another zone than the first, if there is
   any.  */
static void
spread_zones (struct candidate *list, size_t count)
{
  for (size_t i = 1; i < count; i++)
    if (!str_equal (list[i].beat->zone, list[0].beat->zone))
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
lookup_distance_ms (const struct snapshot *snapshot, struct str a,
                    struct str b)
{
  if (str_equal (a, b))
    return 0;
  const struct region *from = snapshot_find (snapshot, KIND_REGION, a);
  const struct region *to = snapshot_find (snapshot, KIND_REGION, b);
  const struct link_spec *link
      = from && to ? snapshot_link (snapshot, from, to) : NULL;
  return link ? link->latency_ms : UNKNOWN_DISTANCE_MS;
}

struct lookup_answer
lookup_find (const struct snapshot *snapshot, const struct roster *roster,
             const struct lookup_request *request)
{
  struct lookup_answer answer = { .lifetime_ms = DEFAULT_LIFETIME_MS };
  struct candidate list[CANDIDATES_MAX];
  size_t count = 0;
  uint64_t seed = XXH3_64bits (request->caller.data, request->caller.size);
  if (request->service && request->service->policy)
    answer.lifetime_ms = request->service->policy->lookup_lifetime_ms;
  bool any_usable = false;
  for (size_t i = 0; i < roster->count; i++)
    any_usable |= is_usable (snapshot, &roster->members[i]);
  for (size_t i = 0; i < roster->count; i++)
    {
      const struct roster_member *m = &roster->members[i];
      /* A drained entry is better than none.  */
      if (any_usable ? !is_usable (snapshot, m) : !is_serving (m))
        continue;
      struct candidate candidate
          = { &m->beat,
              lookup_distance_ms (snapshot, request->region, m->beat.region),
              score_of (&m->beat, seed) };
      insert (list, &count, candidate);
    }
  spread_zones (list, count);
  for (size_t i = 0; i < count && i < LOOKUP_ENTRIES_MAX; i++)
    answer.entries[answer.count++] = list[i].beat;
  return answer;
}

json_object *
lookup_to_json (const struct lookup_answer *answer,
                const struct service *service)
{
  json_object *object = json_object_new_object ();
  json_object *entries = json_object_new_array ();
  if (service)
    json_object_object_add (object, "service",
                            json_object_new_string (service->head.name.data));
  json_object_object_add (object, "lifetime_ms",
                          json_object_new_int64 (answer->lifetime_ms));
  for (size_t i = 0; i < answer->count; i++)
    {
      const struct beat *beat = answer->entries[i];
      json_object *entry = json_object_new_object ();
      json_object_object_add (entry, "name",
                              json_object_new_string (beat->name.data));
      json_object_object_add (entry, "address",
                              json_object_new_string (beat->callers.data));
      json_object_object_add (entry, "zone",
                              json_object_new_string (beat->zone.data));
      json_object_object_add (entry, "region",
                              json_object_new_string (beat->region.data));
      json_object_array_add (entries, entry);
    }
  json_object_object_add (object, "entries", entries);
  return object;
}
