/* Lease and key of this entry, and the records of all entries.  */
#include "gateway/registry.h"

#include "base/net.h"
#include "fleet/departed.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

enum
{
  VANISHED_MAX = 1024 /* entries that vanished and still count; of more, those
                         that vanished first are forgotten */
};

/* types */

/* An entry that vanished a short while ago, and may still be there.  */
struct vanished
{
  uint64_t hash;        /* of its name */
  uint64_t region_hash; /* of the name of its region */
  apr_time_t at;
};

struct registry
{
  struct registry_desc desc;
  apr_pool_t *pool;
  apr_hash_t *entries;          /* struct registry_entry by name */
  struct registry_entry **list; /* the same, in no order */
  size_t count;
  size_t capacity;      /* of `list' */
  size_t expired_count; /* entries in their grace period */
  size_t next_place;    /* where registry_find_in_region begins */
  uint64_t version;     /* of the set of entries */
  struct timer timer;
  int64_t lease;         /* 0: none is open */
  int64_t lease_epoch;   /* of the store, in which LEASE is this entry's */
  bool is_published;     /* the key is written as it should be */
  bool has_changed;      /* the key must be written again */
  bool call_in_progress; /* to the store; at most one */
  bool leaving;
  int64_t started; /* as in the key */
  int64_t writes;
  int64_t epoch; /* of the store; 0: it was not restored so far */
  bool is_restoring;
  bool own_key_listed;       /* in the restored store, as written last */
  struct departed *departed; /* entries that left, by name */
  size_t held_count;
  struct vanished vanished[VANISHED_MAX]; /* in no order */
  size_t vanished_count;
  size_t next_peer; /* of registry_next_peer_address */
};

/* constants */

enum
{
  RETRY_MS = 300,         /* well within the shortest lease */
  RENEWALS_PER_LEASE = 2, /* half of a lease is left for retries */
  EXPIRY_GRACE_MS = 2500, /* entries write an expired key again within it */
  VALUE_MAX_BYTES = 60,   /* of a value in the log */
  HOLD_MS = 6000,         /* longer than a lease, a renewal and a read */
  KEY_MAX_BYTES = 128,
  INITIAL_CAPACITY = 16,
  /* Leases that ended during an outage: their keys are written again within
     two seconds of its end, and read within the next poll.  */
  VANISHED_MS = 10000,
  REGIONS_MAX = 64 /* whose readers registry_next_peer_address knows */
};

static const char key_prefix[] = "citroncleat/entries/";

/* private functions */

static void on_call_due (void *user_data, apr_time_t now);

static void
schedule_call (struct registry *registry, int64_t wait_ms)
{
  timer_start (loop_timers (registry->desc.loop), &registry->timer,
               timer_clock () + TIMER_MS (wait_ms), on_call_due, registry);
}

static void
on_lease_renewed (void *user_data, const struct store_response *response)
{
  struct registry *registry = user_data;
  registry->call_in_progress = false;
  if (response->code == ERR_NOT_FOUND)
    {
      LOG (LOG_WARN, "lease-lost", LOG_INT ("lease", registry->lease),
           LOG_INT ("epoch", response->epoch));
      registry->lease = 0;
      registry->is_published = false;
      schedule_call (registry, 0);
      return;
    }
  if (!registry->is_published)
    {
      schedule_call (registry, 0);
      return;
    }
  schedule_call (registry, response->code == ERR_NONE
                               ? registry->desc.settings->store.lease_ms
                                     / RENEWALS_PER_LEASE
                               : RETRY_MS);
}

static void
on_written (void *user_data, const struct store_response *response)
{
  struct registry *registry = user_data;
  registry->call_in_progress = false;
  if (response->code == ERR_NONE && registry->lease_epoch > 0
      && response->epoch > registry->lease_epoch)
    {
      /* Another entry may have got the number of the lease since.  */
      LOG (LOG_WARN, "lease-lost", LOG_INT ("lease", registry->lease),
           LOG_INT ("epoch", response->epoch));
      registry->lease = 0;
      schedule_call (registry, 0);
      return;
    }
  if (response->code == ERR_NONE)
    {
      registry->is_published = !registry->has_changed;
      schedule_call (registry, registry->has_changed
                                   ? 0
                                   : registry->desc.settings->store.lease_ms
                                         / RENEWALS_PER_LEASE);
      return;
    }
  if (response->code == ERR_NOT_FOUND)
    registry->lease = 0;
  schedule_call (registry, RETRY_MS);
}

static void
on_lease_opened (void *user_data, const struct store_response *response)
{
  struct registry *registry = user_data;
  registry->call_in_progress = false;
  /* A lease of an earlier epoch is lost, and its number given out again.  */
  if (response->code != ERR_NONE || response->index <= 0
      || (response->epoch > 0 && response->epoch < registry->epoch))
    {
      schedule_call (registry, RETRY_MS);
      return;
    }
  registry->lease = response->index;
  registry->lease_epoch = response->epoch;
  schedule_call (registry, 0);
}

static double
own_capacity (const struct gateway_settings *settings)
{
  return settings->machine.link_mbps * settings->machine.cores;
}

/* Writes this entry's key under the lease.  */
static void
write_key (struct registry *registry)
{
  const struct gateway_settings *settings = registry->desc.settings;
  char key[KEY_MAX_BYTES];
  registry->has_changed = false;
  json_object *object = json_object_new_object ();
  json_object_object_add (
      object, "callers",
      json_object_new_string (settings->listen.callers.data));
  json_object_object_add (object, "zone",
                          json_object_new_string (settings->zone.data));
  json_object_object_add (object, "leaving",
                          json_object_new_boolean (registry->leaving));
  json_object_object_add (object, "capacity",
                          json_object_new_double (own_capacity (settings)));
  json_object_object_add (object, "started",
                          json_object_new_int64 (registry->started));
  json_object_object_add (object, "writes",
                          json_object_new_int64 (++registry->writes));
  if (settings->listen.metrics.size > 0)
    json_object_object_add (
        object, "peers",
        json_object_new_string (settings->listen.metrics.data));
  snprintf (key, sizeof key, "%s%s", key_prefix, settings->name.data);
  registry->desc.store->ops->put (
      registry->desc.store, key,
      str_from (json_object_to_json_string (object)), registry->lease,
      on_written, registry);
  json_object_put (object);
}

/* Makes the next call that is needed: opens the lease, writes the key, or
   renews the lease.  */
static void
on_call_due (void *user_data, apr_time_t now)
{
  (void)now;
  struct registry *registry = user_data;
  struct store *store = registry->desc.store;
  if (registry->call_in_progress)
    return;
  registry->call_in_progress = true;
  if (registry->lease == 0)
    store->ops->open_lease (store, registry->desc.settings->store.lease_ms,
                            on_lease_opened, registry);
  else if (!registry->is_published)
    write_key (registry);
  else
    store->ops->renew_lease (store, registry->lease, on_lease_renewed,
                             registry);
}

static void
add_entry (struct registry *registry, struct registry_entry *entry)
{
  apr_hash_set (registry->entries, entry->name.data,
                (apr_ssize_t)entry->name.size, entry);
  if (registry->count == registry->capacity)
    {
      size_t capacity
          = registry->capacity ? 2 * registry->capacity : INITIAL_CAPACITY;
      struct registry_entry **list
          = realloc (registry->list, capacity * sizeof (*list));
      if (!list)
        abort ();
      registry->list = list;
      registry->capacity = capacity;
    }
  entry->place = registry->count;
  registry->list[registry->count++] = entry;
  registry->version++;
}

static void
drop_entry (struct registry *registry, struct registry_entry *entry)
{
  apr_hash_set (registry->entries, entry->name.data,
                (apr_ssize_t)entry->name.size, NULL);
  struct registry_entry *last = registry->list[--registry->count];
  registry->list[entry->place] = last;
  last->place = entry->place;
  registry->expired_count -= entry->expired_at > 0;
  registry->held_count -= entry->held_until > 0;
  registry->version++;
  apr_pool_destroy (entry->pool);
}

static uint64_t
hash_of (struct str name)
{
  return XXH64 (name.data, name.size, 0);
}

/* Counts ENTRY, whose key is gone, for a while among those that may send.  */
static void
remember_vanished (struct registry *registry,
                   const struct registry_entry *entry, apr_time_t now)
{
  struct vanished *place = registry->vanished;
  if (registry->vanished_count < VANISHED_MAX)
    place = &registry->vanished[registry->vanished_count++];
  else
    for (size_t i = 1; i < VANISHED_MAX; i++)
      if (registry->vanished[i].at < place->at)
        place = &registry->vanished[i];
  *place = (struct vanished){ entry->hash, hash_of (entry->region), now };
}

/* Forgets vanished entries: those that are over, and that with HASH, which is
   there again; 0: none.  */
static void
forget_vanished (struct registry *registry, uint64_t hash, apr_time_t now)
{
  for (size_t i = registry->vanished_count; i-- > 0;)
    if (registry->vanished[i].hash == hash
        || now - registry->vanished[i].at > TIMER_MS (VANISHED_MS))
      {
        registry->vanished[i] = registry->vanished[--registry->vanished_count];
        registry->version++;
      }
}

/* Removes ENTRY, which has left, and remembers that.  */
static void
remove_entry (struct registry *registry, struct registry_entry *entry,
              const char *reason, apr_time_t now)
{
  departed_add (registry->departed, entry->name, entry->started, now);
  remember_vanished (registry, entry, now);
  LOG (LOG_INFO, "entry-gone", LOG_TEXT ("name", entry->name.data),
       LOG_TEXT ("reason", reason));
  drop_entry (registry, entry);
}

static bool
is_self (const struct registry *registry, const struct registry_entry *entry)
{
  return str_equal (entry->name, registry->desc.settings->name);
}

/* Removes the record of an entry whose key is gone, or starts its grace
   period.  */
static void
handle_removed_key (struct registry *registry, struct registry_entry *entry,
                    bool may_be_expired, apr_time_t now)
{
  /* The own record stays; the key is written again.  */
  if (is_self (registry, entry))
    {
      if (!registry->call_in_progress && registry->is_published)
        {
          registry->is_published = false;
          schedule_call (registry, 0);
        }
    }
  else if (!may_be_expired || entry->leaving || entry->held_until > 0)
    remove_entry (registry, entry, "key removed", now);
  else if (entry->expired_at == 0)
    {
      entry->expired_at = now;
      registry->expired_count++;
    }
}

static bool
is_address (json_object *value)
{
  struct str host;
  int port;
  return json_object_is_type (value, json_type_string)
         && net_split_address (str_from (json_object_get_string (value)),
                               &host, &port);
}

/* Returns which member of OBJECT, the key of an entry, is not what was
   EXPECTED, or NULL.  */
static const char *
find_faulty_member (json_object *object, const char **expected)
{
  json_object *value = NULL;
  *expected = "IP:PORT";
  if (!json_object_object_get_ex (object, "callers", &value)
      || !is_address (value))
    return "callers";
  if (json_object_object_get_ex (object, "peers", &value)
      && !is_address (value))
    return "peers";
  *expected = "a name";
  if (!json_object_object_get_ex (object, "zone", &value)
      || !json_object_is_type (value, json_type_string))
    return "zone";
  *expected = "true or false";
  if (!json_object_object_get_ex (object, "leaving", &value)
      || !json_object_is_type (value, json_type_boolean))
    return "leaving";
  return NULL;
}

/* Returns whether OBJECT, the key of the entry NAME, is valid; logs what is
   not.  */
static bool
check_entry (json_object *object, struct str name)
{
  char detail[ERR_DETAIL_MAX];
  const char *expected;
  json_object *value;
  const char *member = NULL;
  if (!json_object_is_type (object, json_type_object))
    snprintf (detail, sizeof detail, "not a JSON object");
  else if ((member = find_faulty_member (object, &expected)))
    snprintf (detail, sizeof detail, "%s is %.*s, %s expected", member,
              VALUE_MAX_BYTES,
              json_object_object_get_ex (object, member, &value)
                  ? json_object_to_json_string (value)
                  : "missing",
              expected);
  else
    return true;
  LOG (LOG_WARN, "entry-unreadable", LOG_TEXT ("name", name.data),
       LOG_TEXT ("detail", detail));
  return false;
}

/* Returns a new record of the entry NAME from TEXT, or NULL if that is not
   valid.  Other writers can write such keys, and callers are sent to the
   address.  */
static struct registry_entry *
parse_entry (struct registry *registry, struct str name, struct str text)
{
  json_object *value;
  json_object *peers;
  json_object *capacity;
  json_object *started;
  json_object *writes;
  json_object *object = text.size > 0 ? json_tokener_parse (text.data) : NULL;
  if (!check_entry (object, name))
    {
      json_object_put (object);
      return NULL;
    }
  apr_pool_t *pool;
  apr_pool_create (&pool, registry->pool);
  struct registry_entry *entry = apr_pcalloc (pool, sizeof *entry);
  entry->pool = pool;
  entry->name = str_dup (pool, name);
  json_object_object_get_ex (object, "callers", &value);
  entry->caller_address
      = str_dup (pool, str_from (json_object_get_string (value)));
  json_object_object_get_ex (object, "zone", &value);
  entry->zone = str_dup (pool, str_from (json_object_get_string (value)));
  entry->region
      = gateway_settings_region (registry->desc.settings, entry->zone);
  json_object_object_get_ex (object, "leaving", &value);
  entry->leaving = json_object_get_boolean (value);
  if (json_object_object_get_ex (object, "capacity", &capacity))
    entry->capacity = json_object_get_double (capacity);
  if (json_object_object_get_ex (object, "peers", &peers))
    entry->peer_address
        = str_dup (pool, str_from (json_object_get_string (peers)));
  if (json_object_object_get_ex (object, "started", &started)
      && json_object_object_get_ex (object, "writes", &writes))
    {
      entry->started = json_object_get_int64 (started);
      entry->writes = json_object_get_int64 (writes);
    }
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
is_preferred_reader (const struct registry_entry *a,
                     const struct registry_entry *b)
{
  return a->capacity != b->capacity ? a->capacity > b->capacity
                                    : a->hash > b->hash;
}

/* Returns this entry as others see it.  */
static struct registry_entry
own_entry (const struct registry *registry)
{
  const struct gateway_settings *settings = registry->desc.settings;
  return (struct registry_entry){ .name = settings->name,
                                  .peer_address = settings->listen.metrics,
                                  .zone = settings->zone,
                                  .region = settings->region,
                                  .capacity = own_capacity (settings),
                                  .leaving = registry->leaving,
                                  .hash = XXH64 (settings->name.data,
                                                 settings->name.size, 0) };
}

/* Returns whether ENTRY can read the store for others in REGION.  */
static bool
can_read (const struct registry_entry *entry, struct str region)
{
  return !entry->leaving && entry->expired_at == 0 && entry->held_until == 0
         && entry->peer_address.size > 0 && str_equal (entry->region, region);
}

/* Stores the readers of REGION in READERS, with NULL in place of those that
   there are not: the most preferred entry, and the most preferred one of
   another zone, since a zone may be lost as a whole.  SELF is this entry.
   Returns how many entries there are to choose from.  */
static size_t
find_readers (const struct registry *registry,
              const struct registry_entry *self, struct str region,
              const struct registry_entry **readers)
{
  const struct registry_entry *best = NULL;
  const struct registry_entry *elsewhere = NULL;
  const struct registry_entry *beside = NULL;
  size_t count = 0;
  for (size_t i = 0; i <= registry->count; i++)
    {
      const struct registry_entry *entry
          = i < registry->count ? registry->list[i] : self;
      if ((entry != self && is_self (registry, entry))
          || !can_read (entry, region))
        continue;
      count++;
      if (!best || is_preferred_reader (entry, best))
        best = entry;
    }
  for (size_t i = 0; i <= registry->count; i++)
    {
      const struct registry_entry *entry
          = i < registry->count ? registry->list[i] : self;
      if ((entry != self && is_self (registry, entry)) || entry == best
          || !can_read (entry, region))
        continue;
      const struct registry_entry **second
          = best && str_equal (entry->zone, best->zone) ? &beside : &elsewhere;
      if (!*second || is_preferred_reader (entry, *second))
        *second = entry;
    }
  readers[0] = best;
  readers[1] = elsewhere ? elsewhere : beside;
  return count;
}

/* public functions */

struct registry *
registry_create (apr_pool_t *pool, const struct registry_desc *desc)
{
  struct registry *registry = apr_pcalloc (pool, sizeof *registry);
  registry->desc = *desc;
  registry->pool = pool;
  registry->entries = apr_hash_make (pool);
  registry->version = 1;
  registry->departed = departed_create ();
  registry->started = apr_time_now () / (APR_USEC_PER_SEC / 1000);
  return registry;
}

void
registry_destroy (struct registry *registry)
{
  if (!registry)
    return;
  if (registry->desc.loop)
    timer_stop (loop_timers (registry->desc.loop), &registry->timer);
  departed_destroy (registry->departed);
  free (registry->list);
}

void
registry_start (struct registry *registry)
{
  on_call_due (registry, timer_clock ());
}

void
registry_announce_leaving (struct registry *registry)
{
  registry->leaving = true;
  registry->has_changed = true;
  registry->is_published = false;
  if (!registry->call_in_progress)
    on_call_due (registry, timer_clock ());
}

void
registry_begin_restore (struct registry *registry, int64_t epoch)
{
  registry->epoch = epoch;
  registry->is_restoring = true;
  registry->own_key_listed = false;
}

void
registry_end_restore (struct registry *registry)
{
  registry->is_restoring = false;
  /* A write in progress may be one under a lease of another entry.  */
  if (registry->own_key_listed && registry->is_published)
    registry->lease_epoch = registry->epoch;
  else
    {
      registry->lease = 0;
      registry->has_changed = true;
      registry->is_published = false;
    }
  if (registry->desc.loop && !registry->call_in_progress)
    schedule_call (registry, 0);
}

/* Returns whether ENTRY, a key of a restored store, is of a process that had
   left.  OLD: what is known of it, or NULL.  */
static bool
has_left (struct registry *registry, const struct registry_entry *old,
          const struct registry_entry *entry)
{
  int64_t departed_started = 0;
  if (old)
    return old->held_until > 0 && entry->started <= old->started;
  return departed_find (registry->departed, entry->name, &departed_started)
         && entry->started <= departed_started;
}

/* Handles a key of a restored store.  Returns false if ENTRY is older than
   OLD, what is known of it (NULL: nothing).  */
static bool
accept_restored (struct registry *registry, struct registry_entry *old,
                 struct registry_entry *entry)
{
  apr_time_t hold_until = timer_clock () + TIMER_MS (HOLD_MS);
  if (is_self (registry, entry))
    registry->own_key_listed = entry->started == registry->started
                               && entry->writes == registry->writes;
  else if (old && entry->started > 0
           && (entry->started < old->started
               || (entry->started == old->started
                   && entry->writes < old->writes)))
    {
      if (old->held_until > 0)
        old->held_until = hold_until;
      return false;
    }
  else if (has_left (registry, old, entry))
    {
      entry->held_until = hold_until;
      registry->held_count++;
    }
  return true;
}

bool
registry_put (struct registry *registry, struct str name, struct str text)
{
  struct registry_entry *old
      = apr_hash_get (registry->entries, name.data, (apr_ssize_t)name.size);
  struct registry_entry *entry = parse_entry (registry, name, text);
  if (!entry)
    return false;
  if (registry->is_restoring && !accept_restored (registry, old, entry))
    {
      registry->expired_count -= old->expired_at > 0;
      old->expired_at = 0;
      apr_pool_destroy (entry->pool);
      return true;
    }
  departed_forget (registry->departed, name);
  bool is_changed = !old || old->leaving != entry->leaving;
  if (is_changed)
    LOG (LOG_INFO, "entry-seen", LOG_TEXT ("name", entry->name.data),
         LOG_TEXT ("callers", entry->caller_address.data),
         LOG_INT ("leaving", entry->leaving));
  if (old)
    drop_entry (registry, old);
  add_entry (registry, entry);
  forget_vanished (registry, entry->hash, timer_clock ());
  return true;
}

void
registry_remove (struct registry *registry, struct str name,
                 bool may_be_expired, apr_time_t now)
{
  struct registry_entry *entry
      = apr_hash_get (registry->entries, name.data, (apr_ssize_t)name.size);
  if (entry)
    handle_removed_key (registry, entry, may_be_expired, now);
}

void
registry_remove_expired (struct registry *registry, apr_time_t now)
{
  bool is_needed = registry->expired_count > 0 || registry->held_count > 0;
  departed_expire (registry->departed, now);
  forget_vanished (registry, 0, now);
  for (size_t i = is_needed ? registry->count : 0; i-- > 0;)
    {
      struct registry_entry *entry = registry->list[i];
      if (entry->expired_at > 0
          && now - entry->expired_at > TIMER_MS (EXPIRY_GRACE_MS))
        remove_entry (registry, entry, "lapsed", now);
      else if (entry->held_until > 0 && now > entry->held_until)
        {
          entry->held_until = 0;
          registry->held_count--;
        }
    }
}

size_t
registry_count (const struct registry *registry)
{
  return registry->count;
}

uint64_t
registry_version (const struct registry *registry)
{
  return registry->version;
}

/* Returns whether ENTRY takes new callers, in REGION (empty: anywhere).  */
static bool
takes_callers (const struct registry *registry,
               const struct registry_entry *entry, struct str region)
{
  bool leaving
      = is_self (registry, entry) ? registry->leaving : entry->leaving;
  return !leaving && entry->held_until == 0
         && (region.size == 0 || str_equal (entry->region, region));
}

size_t
registry_count_in_region (const struct registry *registry, struct str region)
{
  size_t count = 0;
  for (size_t i = 0; i < registry->count; i++)
    count += takes_callers (registry, registry->list[i], region);
  return count;
}

size_t
registry_find_in_region (struct registry *registry, struct str region,
                         const struct registry_entry **out, size_t max_count)
{
  size_t count = 0;
  size_t first = registry->next_place;
  for (size_t i = 0; i < registry->count && count < max_count; i++)
    {
      size_t place = (first + i) % registry->count;
      if (!takes_callers (registry, registry->list[place], region))
        continue;
      out[count++] = registry->list[place];
      registry->next_place = place + 1;
    }
  return count;
}

size_t
registry_rank (const struct registry *registry, uint64_t hash,
               struct str region)
{
  struct str self = registry->desc.settings->name;
  uint64_t own = rendezvous_rank (XXH64 (self.data, self.size, 0), hash);
  bool own_is_local = str_equal (region, registry->desc.settings->region);
  size_t preceding = 0;
  for (size_t i = 0; i < registry->count; i++)
    {
      const struct registry_entry *entry = registry->list[i];
      if (is_self (registry, entry))
        continue;
      bool is_local = str_equal (entry->region, region);
      if ((is_local && !own_is_local)
          || (is_local == own_is_local
              && rendezvous_rank (entry->hash, hash) > own))
        preceding++;
    }
  return preceding;
}

size_t
registry_cold_rank (const struct registry *registry, uint64_t hash,
                    struct str region)
{
  struct str self = registry->desc.settings->name;
  uint64_t own = rendezvous_rank (hash_of (self), hash);
  uint64_t region_hash = hash_of (region);
  bool own_is_local = str_equal (region, registry->desc.settings->region);
  size_t preceding = registry_rank (registry, hash, region);
  for (size_t i = 0; i < registry->vanished_count; i++)
    {
      const struct vanished *entry = &registry->vanished[i];
      bool is_local = entry->region_hash == region_hash;
      preceding += (is_local && !own_is_local)
                   || (is_local == own_is_local
                       && rendezvous_rank (entry->hash, hash) > own);
    }
  return preceding;
}

size_t
registry_cold_count (const struct registry *registry)
{
  return registry->count + registry->vanished_count;
}

struct str
registry_reader_address (const struct registry *registry, size_t number)
{
  const struct registry_entry *readers[REGISTRY_READERS];
  struct registry_entry self = own_entry (registry);
  size_t count = find_readers (registry, &self, self.region, readers);
  bool is_reader = false;
  for (size_t i = 0; i < REGISTRY_READERS && readers[i]; i++)
    is_reader |= readers[i] == &self;
  if (is_reader || count <= REGISTRY_READERS)
    return STR ("");
  return readers[(self.hash + number) % REGISTRY_READERS]->peer_address;
}

/* Fills PEERS, which has space for REGIONS_MAX * REGISTRY_READERS, with the
   readers of all regions but this entry; returns how many.  */
static size_t
find_all_readers (const struct registry *registry,
                  const struct registry_entry **peers)
{
  struct registry_entry self = own_entry (registry);
  struct str regions[REGIONS_MAX];
  size_t region_count = 0;
  size_t peer_count = 0;
  for (size_t i = 0; i < registry->count && region_count < REGIONS_MAX; i++)
    {
      struct str region = registry->list[i]->region;
      struct str_list known = { regions, region_count };
      if (str_list_contains (&known, region))
        continue;
      regions[region_count++] = region;
      const struct registry_entry *readers[REGISTRY_READERS];
      find_readers (registry, &self, region, readers);
      for (size_t r = 0; r < REGISTRY_READERS && readers[r]; r++)
        if (readers[r] != &self)
          peers[peer_count++] = readers[r];
    }
  return peer_count;
}

size_t
registry_reader_addresses (const struct registry *registry, struct str *out,
                           size_t max_count)
{
  const struct registry_entry *peers[REGIONS_MAX * REGISTRY_READERS];
  size_t count = find_all_readers (registry, peers);
  if (count > max_count)
    count = max_count;
  for (size_t i = 0; i < count; i++)
    out[i] = peers[i]->peer_address;
  return count;
}

size_t
registry_region_addresses (const struct registry *registry, struct str *out,
                           size_t max_count)
{
  struct str region = registry->desc.settings->region;
  size_t count = 0;
  for (size_t i = 0; i < registry->count && count < max_count; i++)
    {
      const struct registry_entry *entry = registry->list[i];
      if (!is_self (registry, entry) && entry->peer_address.size > 0
          && str_equal (entry->region, region))
        out[count++] = entry->peer_address;
    }
  return count;
}

struct str
registry_next_peer_address (struct registry *registry)
{
  const struct registry_entry *peers[REGIONS_MAX * REGISTRY_READERS];
  size_t peer_count = find_all_readers (registry, peers);
  size_t number = registry->next_peer++;
  if (peer_count > 0)
    return peers[number % peer_count]->peer_address;
  /* After an outage of the store all keys may have expired, while the entries
     are still there.  */
  for (size_t i = 0; i < registry->count; i++)
    {
      const struct registry_entry *entry
          = registry->list[(number + i) % registry->count];
      if (!is_self (registry, entry) && entry->peer_address.size > 0)
        return entry->peer_address;
    }
  return STR ("");
}

struct str
registry_key_prefix (void)
{
  return str_from (key_prefix);
}
