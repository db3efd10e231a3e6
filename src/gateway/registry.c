/* The records of all entries.  */
#include "gateway/registry_internal.h"

#include "base/field.h"
#include "base/net.h"
#include "fleet/departed.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

/* constants */

enum
{
  EXPIRY_GRACE_MS = 2500, /* entries write an expired key again within it */
  VALUE_MAX_BYTES = 60,   /* of a value in the log */
  HOLD_MS = 6000,         /* longer than a lease, a renewal and a read */
  INITIAL_CAPACITY = 16,
  /* Leases that ended during an outage: their keys are written again within
     two seconds of its end, and read within the next poll.  */
  VANISHED_MS = 10000
};

/* private functions */

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
  *place
      = (struct vanished){ entry->hash, registry_hash (entry->region), now };
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

/* Removes the record of an entry whose key is gone, or starts its grace
   period.  */
static void
handle_removed_key (struct registry *registry, struct registry_entry *entry,
                    bool may_be_expired, apr_time_t now)
{
  /* The own record stays; the key is written again.  */
  if (registry_is_self (registry, entry))
    registry_key_removed (registry);
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
         && net_split_address (
             str_view (json_object_get_string (value),
                       (size_t)json_object_get_string_len (value)),
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
  if (!field_is_name (name))
    snprintf (detail, sizeof detail,
              "no name of 1 to 63 letters, digits, '-', '_' or '.'");
  else if (!json_object_is_type (object, json_type_object))
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
  entry->hash = registry_hash (name);
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

/* functions of the module */

uint64_t
registry_hash (struct str name)
{
  return XXH64 (name.data, name.size, 0);
}

bool
registry_is_self (const struct registry *registry,
                  const struct registry_entry *entry)
{
  return str_equal (entry->name, registry->desc.settings->name);
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
  registry_key_restored (registry);
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
  if (registry_is_self (registry, entry))
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
  bool leaving = registry_is_self (registry, entry) ? registry->leaving
                                                    : entry->leaving;
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
  uint64_t own = rendezvous_rank (registry_hash (self), hash);
  bool own_is_local = str_equal (region, registry->desc.settings->region);
  size_t preceding = 0;
  for (size_t i = 0; i < registry->count; i++)
    {
      const struct registry_entry *entry = registry->list[i];
      if (registry_is_self (registry, entry))
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
  uint64_t own = rendezvous_rank (registry_hash (self), hash);
  uint64_t region_hash = registry_hash (region);
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
