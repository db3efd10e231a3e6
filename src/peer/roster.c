#include "peer/roster.h"

#include <stdlib.h>
#include <xxhash.h>

/* private functions */

static int
compare_by_name (const void *a, const void *b)
{
  const struct roster_member *x = a;
  const struct roster_member *y = b;
  return str_compare (x->beat.name, y->beat.name);
}

/* Rendezvous hash of an entry and its zone.  */
static uint64_t
rank_of (const struct beat *beat)
{
  return XXH3_64bits_withSeed (beat->name.data, beat->name.size,
                               XXH3_64bits (beat->zone.data, beat->zone.size));
}

/* public functions */

struct roster *
roster_create (const struct roster_member *members, size_t count)
{
  apr_pool_t *pool;
  apr_pool_create_unmanaged_ex (&pool, NULL, NULL);
  struct roster *roster = apr_pcalloc (pool, sizeof *roster);
  roster->pool = pool;
  roster->references = 1;
  roster->count = count;
  roster->members
      = apr_pcalloc (pool, (count + 1) * sizeof (struct roster_member));
  for (size_t i = 0; i < count; i++)
    {
      roster->members[i] = members[i];
      roster->members[i].beat = heartbeat_copy (pool, &members[i].beat);
    }
  qsort (roster->members, count, sizeof *roster->members, compare_by_name);
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
    alive += roster->members[i].alive;
  return alive;
}

bool
roster_is_relay (const struct roster *roster, struct str name, size_t relays)
{
  const struct roster_member *self = NULL;
  for (size_t i = 0; i < roster->count; i++)
    if (str_equal (roster->members[i].beat.name, name))
      self = &roster->members[i];
  if (!self)
    return false;
  size_t before = 0;
  uint64_t rank = rank_of (&self->beat);
  for (size_t i = 0; i < roster->count; i++)
    {
      const struct roster_member *m = &roster->members[i];
      if (m != self && m->alive && str_equal (m->beat.zone, self->beat.zone)
          && rank_of (&m->beat) > rank)
        before++;
    }
  return before < relays;
}
