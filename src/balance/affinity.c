#include "balance/affinity.h"

#include "base/hash.h"

/* constants */

/* The table is set-associative.  It holds 16,384 objects in 128 KB; an entry
   that sends 400 requests per second fills it in 40 s, which is twice the time
   for which an object counts as cached.  */
enum
{
  SETS = 4096,
  WAYS = 4,        /* cells of a set */
  TICKS_PER_S = 64 /* 32 bits of ticks last for 2 years */
};

/* Time for which an upstream is assumed to have an object cached.  Upstreams
   evict the object that was handled the longest ago; under load that takes
   some tens of seconds.  */
static const int32_t cached_ticks = 20 * TICKS_PER_S;

/* types */

struct affinity
{
  struct cell
  {
    uint32_t tag;         /* upper bits of the key */
    uint32_t recorded_at; /* in ticks; 0: empty */
  } cells[SETS][WAYS];
};

/* private functions */

static uint32_t
ticks_at (apr_time_t now)
{
  return (uint32_t)(now * TICKS_PER_S / APR_USEC_PER_SEC) + 1;
}

/* Returns the cell of KEY, or NULL.  KEY is the hash of an incarnation and an
   object.  */
static struct cell *
find_cell (const struct affinity *affinity, uint64_t key)
{
  const struct cell *set = affinity->cells[key % SETS];
  for (int i = 0; i < WAYS; i++)
    if (set[i].recorded_at > 0 && set[i].tag == (uint32_t)(key >> 32))
      return (struct cell *)&set[i];
  return NULL;
}

/* public functions */

struct affinity *
affinity_create (apr_pool_t *pool)
{
  return apr_pcalloc (pool, sizeof (struct affinity));
}

void
affinity_record (struct affinity *affinity, uint64_t incarnation_hash,
                 uint64_t object, apr_time_t now)
{
  uint64_t key = hash_mix (incarnation_hash, object);
  struct cell *cell = find_cell (affinity, key);
  if (!cell)
    {
      struct cell *set = affinity->cells[key % SETS];
      cell = set;
      for (int i = 1; i < WAYS; i++)
        if (set[i].recorded_at < cell->recorded_at)
          cell = &set[i];
    }
  *cell = (struct cell){ (uint32_t)(key >> 32), ticks_at (now) };
}

bool
affinity_contains (const struct affinity *affinity, uint64_t incarnation_hash,
                   uint64_t object, apr_time_t now)
{
  const struct cell *cell
      = find_cell (affinity, hash_mix (incarnation_hash, object));
  return cell && (int32_t)(ticks_at (now) - cell->recorded_at) < cached_ticks;
}
