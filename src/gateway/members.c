#include "gateway/members.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

/* types */

struct members
{
  struct members_desc desc;
  apr_pool_t *pool;
  apr_hash_t *names; /* struct member by name */
  apr_hash_t *seen;  /* of the listing in progress */
  apr_pool_t *seen_pool;
  struct timer timer;
  int64_t lease; /* 0: none */
  bool is_written;
  bool is_dirty;  /* the key must be written anew */
  bool is_asking; /* a call is in progress */
  bool leaving;
  size_t asked; /* peers named so far */
};

/* constants */

enum
{
  RETRY_MS = 300,       /* well within the shortest lease */
  KEEPS_A_LEASE = 3,    /* two renewals may fail */
  LAPSE_HOLD_MS = 2500, /* lapsed entries write their keys again within it */
  KEY_MAX_BYTES = 128,
  PEERS_MOST = 64 /* that are asked in turn */
};

static const char key_prefix[] = "citroncleat/entries/";

/* private functions */

static void on_due (void *part, apr_time_t now);

static void
again (struct members *members, int64_t wait_ms)
{
  timer_start (loop_timers (members->desc.loop), &members->timer,
               timer_clock () + TIMER_MS (wait_ms), on_due, members);
}

static void
on_kept (void *part, const struct store_response *answer)
{
  struct members *members = part;
  members->is_asking = false;
  if (answer->code == ERR_NOT_FOUND)
    {
      LOG (LOG_WARN, "lease-lost", LOG_INT ("lease", members->lease));
      members->lease = 0;
      members->is_written = false;
      again (members, 0);
      return;
    }
  again (members, answer->code == ERR_NONE
                      ? members->desc.settings->store.lease_ms / KEEPS_A_LEASE
                      : RETRY_MS);
}

static void
on_written (void *part, const struct store_response *answer)
{
  struct members *members = part;
  members->is_asking = false;
  if (answer->code == ERR_NONE)
    {
      members->is_written = !members->is_dirty;
      again (members,
             members->is_dirty
                 ? 0
                 : members->desc.settings->store.lease_ms / KEEPS_A_LEASE);
      return;
    }
  if (answer->code == ERR_NOT_FOUND)
    members->lease = 0;
  again (members, RETRY_MS);
}

static void
on_lease (void *part, const struct store_response *answer)
{
  struct members *members = part;
  members->is_asking = false;
  if (answer->code != ERR_NONE || answer->index <= 0)
    {
      again (members, RETRY_MS);
      return;
    }
  members->lease = answer->index;
  again (members, 0);
}

static double
capacity_of (const struct gateway_settings *settings)
{
  return settings->machine.link_mbps * settings->machine.cores;
}

static void
write_key (struct members *members)
{
  const struct gateway_settings *settings = members->desc.settings;
  char key[KEY_MAX_BYTES];
  members->is_dirty = false;
  json_object *object = json_object_new_object ();
  json_object_object_add (
      object, "callers",
      json_object_new_string (settings->listen.callers.data));
  json_object_object_add (object, "zone",
                          json_object_new_string (settings->zone.data));
  json_object_object_add (object, "leaving",
                          json_object_new_boolean (members->leaving));
  json_object_object_add (object, "capacity",
                          json_object_new_double (capacity_of (settings)));
  if (settings->listen.metrics.size > 0)
    json_object_object_add (
        object, "peers",
        json_object_new_string (settings->listen.metrics.data));
  snprintf (key, sizeof key, "%s%s", key_prefix, settings->name.data);
  members->desc.store->ops->put (
      members->desc.store, key, str_from (json_object_to_json_string (object)),
      members->lease, on_written, members);
  json_object_put (object);
}

static void
on_due (void *part, apr_time_t now)
{
  (void)now;
  struct members *members = part;
  struct store *store = members->desc.store;
  if (members->is_asking)
    return;
  members->is_asking = true;
  if (members->lease == 0)
    store->ops->open_lease (store, members->desc.settings->store.lease_ms,
                            on_lease, members);
  else if (!members->is_written)
    write_key (members);
  else
    store->ops->renew_lease (store, members->lease, on_kept, members);
}

static void
drop (struct members *members, struct member *member, const char *why)
{
  LOG (LOG_INFO, "entry-gone", LOG_TEXT ("name", member->name.data),
       LOG_TEXT ("reason", why));
  apr_hash_set (members->names, member->name.data,
                (apr_ssize_t)member->name.size, NULL);
  apr_pool_destroy (member->pool);
}

static bool
is_self (const struct members *members, const struct member *member)
{
  return str_equal (member->name, members->desc.settings->name);
}

static void
vanish (struct members *members, struct member *member, bool lapsed,
        apr_time_t now)
{
  /* This entry is here, whatever became of its key.  */
  if (is_self (members, member))
    {
      if (!members->is_asking && members->is_written)
        {
          members->is_written = false;
          again (members, 0);
        }
    }
  else if (!lapsed || member->leaving)
    drop (members, member, "key removed");
  else if (member->lapsed_at == 0)
    member->lapsed_at = now;
}

/* Reads TEXT into a new member, or returns NULL.  */
static struct member *
read_member (struct members *members, struct str name, struct str text)
{
  json_object *callers;
  json_object *zone;
  json_object *leaving;
  json_object *peers;
  json_object *capacity;
  json_object *object = text.size > 0 ? json_tokener_parse (text.data) : NULL;
  if (!object || !json_object_object_get_ex (object, "callers", &callers)
      || !json_object_object_get_ex (object, "zone", &zone)
      || !json_object_object_get_ex (object, "leaving", &leaving))
    {
      json_object_put (object);
      return NULL;
    }
  apr_pool_t *pool;
  apr_pool_create (&pool, members->pool);
  struct member *member = apr_pcalloc (pool, sizeof *member);
  member->pool = pool;
  member->name = str_dup (pool, name);
  member->callers
      = str_dup (pool, str_from (json_object_get_string (callers)));
  member->zone = str_dup (pool, str_from (json_object_get_string (zone)));
  member->region
      = gateway_settings_region (members->desc.settings, member->zone);
  member->leaving = json_object_get_boolean (leaving);
  if (json_object_object_get_ex (object, "capacity", &capacity))
    member->capacity = json_object_get_double (capacity);
  if (json_object_object_get_ex (object, "peers", &peers))
    member->peers = str_dup (pool, str_from (json_object_get_string (peers)));
  member->hash = XXH64 (name.data, name.size, 0);
  json_object_put (object);
  return member;
}

static uint64_t
rank (uint64_t a, uint64_t b)
{
  uint64_t both[2] = { a, b };
  return XXH64 (both, sizeof both, 0);
}

/* Returns whether A reads the store rather than B.  */
static bool
goes_before (const struct member *a, const struct member *b)
{
  return a->capacity != b->capacity ? a->capacity > b->capacity
                                    : a->hash > b->hash;
}

/* public functions */

struct members *
members_create (apr_pool_t *pool, const struct members_desc *desc)
{
  struct members *members = apr_pcalloc (pool, sizeof *members);
  members->desc = *desc;
  members->pool = pool;
  members->names = apr_hash_make (pool);
  return members;
}

void
members_destroy (struct members *members)
{
  if (members)
    timer_stop (loop_timers (members->desc.loop), &members->timer);
}

void
members_start (struct members *members)
{
  on_due (members, timer_clock ());
}

void
members_leave (struct members *members)
{
  members->leaving = true;
  members->is_dirty = true;
  members->is_written = false;
  if (!members->is_asking)
    on_due (members, timer_clock ());
}

void
members_put (struct members *members, struct str name, struct str text)
{
  struct member *old
      = apr_hash_get (members->names, name.data, (apr_ssize_t)name.size);
  struct member *member = read_member (members, name, text);
  if (!member)
    {
      LOG (LOG_WARN, "entry-unreadable", LOG_TEXT ("name", name.data));
      return;
    }
  bool is_news = !old || old->leaving != member->leaving;
  if (is_news)
    LOG (LOG_INFO, "entry-seen", LOG_TEXT ("name", member->name.data),
         LOG_TEXT ("callers", member->callers.data),
         LOG_INT ("leaving", member->leaving));
  if (old)
    {
      apr_hash_set (members->names, old->name.data,
                    (apr_ssize_t)old->name.size, NULL);
      apr_pool_destroy (old->pool);
    }
  apr_hash_set (members->names, member->name.data,
                (apr_ssize_t)member->name.size, member);
  if (members->seen)
    apr_hash_set (members->seen,
                  str_dup (members->seen_pool, member->name).data,
                  (apr_ssize_t)member->name.size, "");
}

void
members_remove (struct members *members, struct str name, bool lapsed,
                apr_time_t now)
{
  struct member *member
      = apr_hash_get (members->names, name.data, (apr_ssize_t)name.size);
  if (member)
    vanish (members, member, lapsed, now);
}

void
members_begin_listing (struct members *members)
{
  if (members->seen)
    apr_pool_destroy (members->seen_pool);
  apr_pool_create (&members->seen_pool, members->pool);
  members->seen = apr_hash_make (members->seen_pool);
}

void
members_end_listing (struct members *members, bool lapsed, apr_time_t now)
{
  for (apr_hash_index_t *i = apr_hash_first (NULL, members->names); i;
       i = apr_hash_next (i))
    {
      struct member *member = apr_hash_this_val (i);
      if (!apr_hash_get (members->seen, member->name.data,
                         (apr_ssize_t)member->name.size))
        vanish (members, member, lapsed, now);
    }
  apr_pool_destroy (members->seen_pool);
  members->seen = NULL;
}

void
members_sweep (struct members *members, apr_time_t now)
{
  for (apr_hash_index_t *i = apr_hash_first (NULL, members->names); i;
       i = apr_hash_next (i))
    {
      struct member *member = apr_hash_this_val (i);
      if (member->lapsed_at > 0
          && now - member->lapsed_at > TIMER_MS (LAPSE_HOLD_MS))
        drop (members, member, "lapsed");
    }
}

size_t
members_count (const struct members *members)
{
  return apr_hash_count (members->names);
}

size_t
members_in (const struct members *members, struct str region,
            const struct member **out, size_t most)
{
  size_t count = 0;
  for (apr_hash_index_t *i = apr_hash_first (NULL, members->names);
       i && count < most; i = apr_hash_next (i))
    {
      const struct member *member = apr_hash_this_val (i);
      bool leaving
          = is_self (members, member) ? members->leaving : member->leaving;
      if (!leaving && (region.size == 0 || str_equal (member->region, region)))
        out[count++] = member;
    }
  return count;
}

struct str
members_next_peer (struct members *members)
{
  const struct member *peers[PEERS_MOST];
  size_t count = 0;
  for (apr_hash_index_t *i = apr_hash_first (NULL, members->names);
       i && count < PEERS_MOST; i = apr_hash_next (i))
    {
      const struct member *member = apr_hash_this_val (i);
      if (!is_self (members, member) && member->peers.size > 0)
        peers[count++] = member;
    }
  return count > 0 ? peers[members->asked++ % count]->peers : STR ("");
}

double
members_part (const struct members *members, uint64_t hash, struct str region,
              size_t few)
{
  struct str self = members->desc.settings->name;
  uint64_t own = rank (XXH64 (self.data, self.size, 0), hash);
  bool is_near = str_equal (region, members->desc.settings->region);
  size_t above = 0;
  for (apr_hash_index_t *i = apr_hash_first (NULL, members->names); i;
       i = apr_hash_next (i))
    {
      const struct member *member = apr_hash_this_val (i);
      if (is_self (members, member))
        continue;
      bool near = str_equal (member->region, region);
      if ((near && !is_near)
          || (near == is_near && rank (member->hash, hash) > own))
        above++;
    }
  return above < few ? 1.0 / (double)few : 0.0;
}

struct str
members_reader (const struct members *members, size_t number)
{
  const struct member *readers[MEMBERS_READERS] = { NULL };
  struct str name = members->desc.settings->name;
  const struct member self
      = { .capacity = capacity_of (members->desc.settings),
          .hash = XXH64 (name.data, name.size, 0) };
  size_t above = 0;
  for (apr_hash_index_t *i = apr_hash_first (NULL, members->names); i;
       i = apr_hash_next (i))
    {
      const struct member *member = apr_hash_this_val (i);
      if (is_self (members, member) || member->leaving || member->lapsed_at > 0
          || member->peers.size == 0
          || !str_equal (member->zone, members->desc.settings->zone))
        continue;
      above += goes_before (member, &self);
      for (size_t r = 0; r < MEMBERS_READERS && member; r++)
        if (!readers[r] || goes_before (member, readers[r]))
          {
            const struct member *next = readers[r];
            readers[r] = member;
            member = next;
          }
    }
  if (!readers[MEMBERS_READERS - 1]
      || (above < MEMBERS_READERS && !members->leaving))
    return STR ("");
  return readers[(self.hash + number) % MEMBERS_READERS]->peers;
}

struct str
members_prefix (void)
{
  return str_from (key_prefix);
}
