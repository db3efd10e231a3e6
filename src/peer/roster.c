#include "peer/roster.h"

#include <stdlib.h>
#include <xxhash.h>

/* private functions */

static int
compare_by_name (const void *a, const void *b)
{
  const struct roster_entry *x = a;
  const struct roster_entry *y = b;
  return str_compare (x->heartbeat.name, y->heartbeat.name);
}

/* Rendezvous hash of an entry and its zone.  */
static uint64_t
rank_of (const struct heartbeat *heartbeat)
{
  return XXH3_64bits_withSeed (
      heartbeat->name.data, heartbeat->name.size,
      XXH3_64bits (heartbeat->zone.data, heartbeat->zone.size));
}

/* public functions */

struct roster *
roster_create (const struct roster_entry *entries, size_t count)
{
  apr_pool_t *pool;
  apr_pool_create_unmanaged_ex (&pool, NULL, NULL);
  struct roster *roster = apr_pcalloc (pool, sizeof *roster);
  roster->pool = pool;
  roster->references = 1;
  roster->count = count;
  roster->entries
      = apr_pcalloc (pool, (count + 1) * sizeof (struct roster_entry));
  for (size_t i = 0; i < count; i++)
    {
      roster->entries[i] = entries[i];
      roster->entries[i].heartbeat
          = heartbeat_copy (pool, &entries[i].heartbeat);
    }
  qsort (roster->entries, count, sizeof *roster->entries, compare_by_name);
  return roster;
}

struct roster *
roster_ref (struct roster *roster)
{
  __atomic_add_fetch (&roster->references, 1, __ATOMIC_RELAXED);
  return roster;
}

void
roster_unref (struct roster *roster)
{
  if (roster
      && __atomic_sub_fetch (&roster->references, 1, __ATOMIC_ACQ_REL) == 0)
    apr_pool_destroy (roster->pool);
}

size_t
roster_count_alive (const struct roster *roster)
{
  size_t alive = 0;
  for (size_t i = 0; i < roster->count; i++)
    alive += roster->entries[i].alive;
  return alive;
}

bool
roster_is_relay (const struct roster *roster, struct str name, size_t relays)
{
  const struct roster_entry *entry = NULL;
  for (size_t i = 0; i < roster->count; i++)
    if (str_equal (roster->entries[i].heartbeat.name, name))
      entry = &roster->entries[i];
  if (!entry)
    return false;
  size_t higher_count = 0;
  uint64_t rank = rank_of (&entry->heartbeat);
  for (size_t i = 0; i < roster->count; i++)
    {
      const struct roster_entry *m = &roster->entries[i];
      if (m != entry && m->alive
          && str_equal (m->heartbeat.zone, entry->heartbeat.zone)
          && rank_of (&m->heartbeat) > rank)
        higher_count++;
    }
  return higher_count < relays;
}
