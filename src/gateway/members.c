/* Lease and key of this entry, and the records of all entries.  */
#include "gateway/members.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

/* types */

struct members
{
  struct members_desc desc;
  apr_pool_t *pool;
  apr_hash_t *entries;      /* struct member by name */
  apr_hash_t *listed_names; /* set; NULL: no listing in progress */
  apr_pool_t *listing_pool;
  struct timer timer;
  int64_t lease;         /* 0: none is open */
  bool is_published;     /* the key is written as it should be */
  bool has_changed;      /* the key must be written again */
  bool call_in_progress; /* to the store; at most one */
  bool leaving;
  size_t next_peer_number; /* modulo their count */
};

/* constants */

enum
{
  RETRY_MS = 300,         /* well within the shortest lease */
  RENEWALS_PER_LEASE = 3, /* so that two may fail */
  EXPIRED_HOLD_MS = 2500, /* entries write an expired key again within it */
  KEY_MAX_BYTES = 128,
  PEERS_MAX = 64 /* among which members_next_peer alternates */
};

static const char key_prefix[] = "citroncleat/entries/";

/* private functions */

static void on_call_due (void *user_data, apr_time_t now);

static void
schedule_call (struct members *members, int64_t wait_ms)
{
  timer_start (loop_timers (members->desc.loop), &members->timer,
               timer_clock () + TIMER_MS (wait_ms), on_call_due, members);
}

static void
on_lease_renewed (void *user_data, const struct store_response *answer)
{
  struct members *members = user_data;
  members->call_in_progress = false;
  if (answer->code == ERR_NOT_FOUND)
    {
      LOG (LOG_WARN, "lease-lost", LOG_INT ("lease", members->lease));
      members->lease = 0;
      members->is_published = false;
      schedule_call (members, 0);
      return;
    }
  schedule_call (members, answer->code == ERR_NONE
                              ? members->desc.settings->store.lease_ms
                                    / RENEWALS_PER_LEASE
                              : RETRY_MS);
}

static void
on_written (void *user_data, const struct store_response *answer)
{
  struct members *members = user_data;
  members->call_in_progress = false;
  if (answer->code == ERR_NONE)
    {
      members->is_published = !members->has_changed;
      schedule_call (members, members->has_changed
                                  ? 0
                                  : members->desc.settings->store.lease_ms
                                        / RENEWALS_PER_LEASE);
      return;
    }
  if (answer->code == ERR_NOT_FOUND)
    members->lease = 0;
  schedule_call (members, RETRY_MS);
}

static void
on_lease_opened (void *user_data, const struct store_response *answer)
{
  struct members *members = user_data;
  members->call_in_progress = false;
  if (answer->code != ERR_NONE || answer->index <= 0)
    {
      schedule_call (members, RETRY_MS);
      return;
    }
  members->lease = answer->index;
  schedule_call (members, 0);
}

static double
own_capacity (const struct gateway_settings *settings)
{
  return settings->machine.link_mbps * settings->machine.cores;
}

/* Writes this entry's key under the lease.  */
static void
write_key (struct members *members)
{
  const struct gateway_settings *settings = members->desc.settings;
  char key[KEY_MAX_BYTES];
  members->has_changed = false;
  json_object *object = json_object_new_object ();
  json_object_object_add (
      object, "callers",
      json_object_new_string (settings->listen.callers.data));
  json_object_object_add (object, "zone",
                          json_object_new_string (settings->zone.data));
  json_object_object_add (object, "leaving",
                          json_object_new_boolean (members->leaving));
  json_object_object_add (object, "capacity",
                          json_object_new_double (own_capacity (settings)));
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

/* Makes the next call that is needed: opens the lease, writes the key, or
   renews the lease.  */
static void
on_call_due (void *user_data, apr_time_t now)
{
  (void)now;
  struct members *members = user_data;
  struct store *store = members->desc.store;
  if (members->call_in_progress)
    return;
  members->call_in_progress = true;
  if (members->lease == 0)
    store->ops->open_lease (store, members->desc.settings->store.lease_ms,
                            on_lease_opened, members);
  else if (!members->is_published)
    write_key (members);
  else
    store->ops->renew_lease (store, members->lease, on_lease_renewed, members);
}

static void
remove_entry (struct members *members, struct member *entry,
              const char *reason)
{
  LOG (LOG_INFO, "entry-gone", LOG_TEXT ("name", entry->name.data),
       LOG_TEXT ("reason", reason));
  apr_hash_set (members->entries, entry->name.data,
                (apr_ssize_t)entry->name.size, NULL);
  apr_pool_destroy (entry->pool);
}

static bool
is_self (const struct members *members, const struct member *entry)
{
  return str_equal (entry->name, members->desc.settings->name);
}

/* Removes the record of an entry whose key is gone, or keeps it for the hold
   time.  */
static void
handle_removed_key (struct members *members, struct member *entry,
                    bool may_be_expired, apr_time_t now)
{
  /* The own record stays; the key is written again.  */
  if (is_self (members, entry))
    {
      if (!members->call_in_progress && members->is_published)
        {
          members->is_published = false;
          schedule_call (members, 0);
        }
    }
  else if (!may_be_expired || entry->leaving)
    remove_entry (members, entry, "key removed");
  else if (entry->expired_at == 0)
    entry->expired_at = now;
}

/* Returns a new record of the entry NAME from TEXT, or NULL if that is not
   valid.  */
static struct member *
parse_entry (struct members *members, struct str name, struct str text)
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
  struct member *entry = apr_pcalloc (pool, sizeof *entry);
  entry->pool = pool;
  entry->name = str_dup (pool, name);
  entry->caller_address
      = str_dup (pool, str_from (json_object_get_string (callers)));
  entry->zone = str_dup (pool, str_from (json_object_get_string (zone)));
  entry->region
      = gateway_settings_region (members->desc.settings, entry->zone);
  entry->leaving = json_object_get_boolean (leaving);
  if (json_object_object_get_ex (object, "capacity", &capacity))
    entry->capacity = json_object_get_double (capacity);
  if (json_object_object_get_ex (object, "peers", &peers))
    entry->peer_address
        = str_dup (pool, str_from (json_object_get_string (peers)));
  entry->hash = XXH64 (name.data, name.size, 0);
  json_object_put (object);
  return entry;
}

/* Returns the rank of entry A for upstream B (hashes), highest first.  */
static uint64_t
rendezvous_rank (uint64_t a, uint64_t b)
{
  uint64_t both[2] = { a, b };
  return XXH64 (both, sizeof both, 0);
}

/* Returns whether A comes before B in the choice of the readers.  */
static bool
is_preferred_reader (const struct member *a, const struct member *b)
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
  members->entries = apr_hash_make (pool);
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
  on_call_due (members, timer_clock ());
}

void
members_leave (struct members *members)
{
  members->leaving = true;
  members->has_changed = true;
  members->is_published = false;
  if (!members->call_in_progress)
    on_call_due (members, timer_clock ());
}

void
members_put (struct members *members, struct str name, struct str text)
{
  struct member *old
      = apr_hash_get (members->entries, name.data, (apr_ssize_t)name.size);
  struct member *entry = parse_entry (members, name, text);
  if (!entry)
    {
      LOG (LOG_WARN, "entry-unreadable", LOG_TEXT ("name", name.data));
      return;
    }
  bool is_changed = !old || old->leaving != entry->leaving;
  if (is_changed)
    LOG (LOG_INFO, "entry-seen", LOG_TEXT ("name", entry->name.data),
         LOG_TEXT ("callers", entry->caller_address.data),
         LOG_INT ("leaving", entry->leaving));
  if (old)
    {
      apr_hash_set (members->entries, old->name.data,
                    (apr_ssize_t)old->name.size, NULL);
      apr_pool_destroy (old->pool);
    }
  apr_hash_set (members->entries, entry->name.data,
                (apr_ssize_t)entry->name.size, entry);
  if (members->listed_names)
    apr_hash_set (members->listed_names,
                  str_dup (members->listing_pool, entry->name).data,
                  (apr_ssize_t)entry->name.size, "");
}

void
members_remove (struct members *members, struct str name, bool may_be_expired,
                apr_time_t now)
{
  struct member *entry
      = apr_hash_get (members->entries, name.data, (apr_ssize_t)name.size);
  if (entry)
    handle_removed_key (members, entry, may_be_expired, now);
}

void
members_begin_listing (struct members *members)
{
  if (members->listed_names)
    apr_pool_destroy (members->listing_pool);
  apr_pool_create (&members->listing_pool, members->pool);
  members->listed_names = apr_hash_make (members->listing_pool);
}

void
members_end_listing (struct members *members, bool may_be_expired,
                     apr_time_t now)
{
  for (apr_hash_index_t *i = apr_hash_first (NULL, members->entries); i;
       i = apr_hash_next (i))
    {
      struct member *entry = apr_hash_this_val (i);
      if (!apr_hash_get (members->listed_names, entry->name.data,
                         (apr_ssize_t)entry->name.size))
        handle_removed_key (members, entry, may_be_expired, now);
    }
  apr_pool_destroy (members->listing_pool);
  members->listed_names = NULL;
}

void
members_sweep (struct members *members, apr_time_t now)
{
  for (apr_hash_index_t *i = apr_hash_first (NULL, members->entries); i;
       i = apr_hash_next (i))
    {
      struct member *entry = apr_hash_this_val (i);
      if (entry->expired_at > 0
          && now - entry->expired_at > TIMER_MS (EXPIRED_HOLD_MS))
        remove_entry (members, entry, "lapsed");
    }
}

size_t
members_count (const struct members *members)
{
  return apr_hash_count (members->entries);
}

size_t
members_in (const struct members *members, struct str region,
            const struct member **out, size_t max_count)
{
  size_t count = 0;
  for (apr_hash_index_t *i = apr_hash_first (NULL, members->entries);
       i && count < max_count; i = apr_hash_next (i))
    {
      const struct member *entry = apr_hash_this_val (i);
      bool leaving
          = is_self (members, entry) ? members->leaving : entry->leaving;
      if (!leaving && (region.size == 0 || str_equal (entry->region, region)))
        out[count++] = entry;
    }
  return count;
}

struct str
members_next_peer (struct members *members)
{
  const struct member *peers[PEERS_MAX];
  size_t count = 0;
  for (apr_hash_index_t *i = apr_hash_first (NULL, members->entries);
       i && count < PEERS_MAX; i = apr_hash_next (i))
    {
      const struct member *entry = apr_hash_this_val (i);
      if (!is_self (members, entry) && entry->peer_address.size > 0)
        peers[count++] = entry;
    }
  return count > 0 ? peers[members->next_peer_number++ % count]->peer_address
                   : STR ("");
}

double
members_part (const struct members *members, uint64_t hash, struct str region,
              size_t max_senders)
{
  struct str self = members->desc.settings->name;
  uint64_t own = rendezvous_rank (XXH64 (self.data, self.size, 0), hash);
  bool own_is_local = str_equal (region, members->desc.settings->region);
  size_t preceding = 0;
  for (apr_hash_index_t *i = apr_hash_first (NULL, members->entries); i;
       i = apr_hash_next (i))
    {
      const struct member *entry = apr_hash_this_val (i);
      if (is_self (members, entry))
        continue;
      bool is_local = str_equal (entry->region, region);
      if ((is_local && !own_is_local)
          || (is_local == own_is_local
              && rendezvous_rank (entry->hash, hash) > own))
        preceding++;
    }
  return preceding < max_senders ? 1.0 / (double)max_senders : 0.0;
}

struct str
members_reader (const struct members *members, size_t number)
{
  const struct member *readers[MEMBERS_READERS] = { NULL };
  struct str name = members->desc.settings->name;
  const struct member self
      = { .capacity = own_capacity (members->desc.settings),
          .hash = XXH64 (name.data, name.size, 0) };
  size_t preceding = 0;
  for (apr_hash_index_t *i = apr_hash_first (NULL, members->entries); i;
       i = apr_hash_next (i))
    {
      const struct member *entry = apr_hash_this_val (i);
      if (is_self (members, entry) || entry->leaving || entry->expired_at > 0
          || entry->peer_address.size == 0
          || !str_equal (entry->zone, members->desc.settings->zone))
        continue;
      preceding += is_preferred_reader (entry, &self);
      for (size_t r = 0; r < MEMBERS_READERS && entry; r++)
        if (!readers[r] || is_preferred_reader (entry, readers[r]))
          {
            const struct member *next = readers[r];
            readers[r] = entry;
            entry = next;
          }
    }
  if (!readers[MEMBERS_READERS - 1]
      || (preceding < MEMBERS_READERS && !members->leaving))
    return STR ("");
  return readers[(self.hash + number) % MEMBERS_READERS]->peer_address;
}

struct str
members_prefix (void)
{
  return str_from (key_prefix);
}
