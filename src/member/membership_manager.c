#include "member/membership_manager.h"

#include "base/log.h"
#include "member/confirmation.h"

#include <apr_hash.h>
#include <apr_strings.h>
#include <stdlib.h>

/* types */

struct membership_manager
{
  struct membership_manager_desc desc;
  apr_pool_t *pool;
  const char *key;
  struct membership *membership;
  struct roster *roster;
  struct confirmations *confirmations; /* of the other members */
  int64_t confirmed;                   /* by this entry */
  int64_t min_confirmed;               /* as last reported to the owner */
  apr_pool_t *vm_pool;
  struct str_list vms;      /* the platform's last list, in `vm_pool' */
  apr_time_t vms_listed_at; /* when it was received; 0: never */
  apr_hash_t *ever_listed;  /* addresses that were in any list */
  apr_time_t started_at;    /* used for entries without a heartbeat */
  bool is_relay;
  size_t relay_position;       /* by name among the live relays of all zones */
  apr_time_t change_due_since; /* a change is due since then; 0: none */
  bool is_writing;
  bool is_watching;
  int64_t watch_index;
  struct timer check_timer;
  struct timer watch_timer;
  struct counter *version_gauge;
  struct counter *write_counter;
};

/* constants */

enum
{
  CHECK_INTERVAL_MS = 50,
  RELAY_TURN_MS = 500,   /* delay of each relay after the one before */
  WATCH_WAIT_MS = 30000, /* of one long poll */
  WATCH_RETRY_MS = 500,  /* after a failure, or a poll without a change */
  WRITE_RETRY_MS = 50    /* less than this, at random, before the relay's turn
                            starts again */
};

/* A VM that the platform's list no longer names is gone if its entry has been
   silent for this long when the list is received.  */
#define GONE_AFTER_US TIMER_SEC (10)
/* The same for a VM that no list has named so far: it may be too new.  */
#define UNLISTED_GONE_AFTER_US TIMER_SEC (600)

/* private functions */

static struct timer_service *
timers (struct membership_manager *membership_manager)
{
  return loop_timers (membership_manager->desc.loop);
}

static const struct roster_entry *
find_roster_entry (const struct membership_manager *membership_manager,
                   struct str name)
{
  const struct roster *roster = membership_manager->roster;
  for (size_t i = 0; roster && i < roster->count; i++)
    if (str_equal (roster->entries[i].heartbeat.name, name))
      return &roster->entries[i];
  return NULL;
}

static int64_t
compute_min_confirmed (const struct membership_manager *membership_manager)
{
  return confirmations_min (membership_manager->confirmations,
                            membership_manager->membership,
                            membership_manager->desc.entry);
}

static void
notify_changed (struct membership_manager *membership_manager)
{
  membership_manager->min_confirmed
      = compute_min_confirmed (membership_manager);
  membership_manager->desc.changed (membership_manager->desc.user_data,
                                    membership_manager->membership,
                                    membership_manager->min_confirmed);
}

/* Takes ownership of MEMBERSHIP: puts it in force if its version is higher
   than the one held, otherwise releases it.  NULL is ignored.  */
static void
adopt (struct membership_manager *membership_manager,
       struct membership *membership, const char *source)
{
  if (!membership)
    return;
  if (membership->version <= membership_manager->membership->version)
    {
      membership_unref (membership);
      return;
    }
  membership_unref (membership_manager->membership);
  membership_manager->membership = membership;
  counter_set (membership_manager->version_gauge, membership->version);
  LOG (LOG_INFO, "membership-adopted",
       LOG_INT ("version", membership->version), LOG_TEXT ("source", source));
  notify_changed (membership_manager);
}

/* Adopts the membership in TEXT if it is newer.  Returns its version, or 0 if
   it is malformed.  */
static int64_t
receive_text (struct membership_manager *membership_manager, struct str text,
              const char *source)
{
  struct membership *membership = membership_parse (text);
  int64_t version = membership ? membership->version : 0;
  if (!membership)
    LOG (LOG_ERROR, "membership-rejected", LOG_TEXT ("source", source));
  adopt (membership_manager, membership, source);
  return version;
}

/* Proposing versions.  */

/* Returns whether the VM of a member is known to be gone.  */
static bool
is_gone (void *user_data, const struct member_record *record)
{
  struct membership_manager *membership_manager = user_data;
  const struct roster_entry *known
      = find_roster_entry (membership_manager, record->name);
  if (str_list_contains (&membership_manager->vms, record->peer_address)
      || str_equal (record->name, membership_manager->desc.entry)
      || (known && known->alive))
    return false;
  apr_time_t heard_at
      = known ? known->last_heard_at : membership_manager->started_at;
  bool was_listed = apr_hash_get (membership_manager->ever_listed,
                                  record->peer_address.data,
                                  (apr_ssize_t)record->peer_address.size);
  apr_time_t after = was_listed ? GONE_AFTER_US : UNLISTED_GONE_AFTER_US;
  /* An earlier list may not name the VM because the VM is newer.  */
  return membership_manager->vms_listed_at > heard_at + after;
}

/* Returns the next version if a change is due, otherwise NULL.  */
static struct membership *
propose (struct membership_manager *membership_manager)
{
  const struct roster *roster = membership_manager->roster;
  struct member_observation *observations
      = calloc (roster->count + 1, sizeof *observations);
  if (!observations)
    abort ();
  for (size_t i = 0; i < roster->count; i++)
    {
      const struct roster_entry *m = &roster->entries[i];
      observations[i] = (struct member_observation){
        .record = { .name = m->heartbeat.name,
                    .region = m->heartbeat.region,
                    .peer_address = m->heartbeat.peer_address,
                    .incarnation = m->heartbeat.incarnation },
        .is_serving = m->alive && m->heartbeat.state == ENTRY_SERVING,
        .has_stopped = m->heartbeat.state == ENTRY_STOPPED,
      };
    }
  int64_t confirmed_by_all = compute_min_confirmed (membership_manager);
  if (membership_manager->confirmed < confirmed_by_all)
    confirmed_by_all = membership_manager->confirmed;
  struct membership_view view = { .observations = observations,
                                  .count = roster->count,
                                  .confirmed_by_all = confirmed_by_all,
                                  .is_gone = is_gone,
                                  .user_data = membership_manager };
  struct membership *next
      = membership_propose (membership_manager->membership, &view);
  free (observations);
  return next;
}

static void
on_written (void *user_data, const struct store_response *response)
{
  struct membership_manager *membership_manager = user_data;
  membership_manager->is_writing = false;
  /* After a conflict or a lost response the next check reads the store again:
     changes that took effect are then adopted, and no longer due.  */
  if (response->code != ERR_NONE)
    membership_manager->change_due_since
        = timer_clock () + TIMER_MS (rand () % WRITE_RETRY_MS);
}

/* Writes MEMBERSHIP over what READ has returned.  */
static void
write_membership (struct membership_manager *membership_manager,
                  const struct membership *membership,
                  const struct store_response *read)
{
  apr_pool_t *pool;
  apr_pool_create (&pool, NULL);
  counter_add (membership_manager->write_counter, 1);
  membership_manager->is_writing = true;
  membership_manager->desc.store->ops->compare_and_swap (
      membership_manager->desc.store, membership_manager->key,
      read->code == ERR_NOT_FOUND ? 0 : read->index,
      membership_text (membership, pool), on_written, membership_manager);
  apr_pool_destroy (pool);
}

/* Adopts the stored version, proposes the next one on top of it if a change is
   still due, and writes that.  */
static void
on_read (void *user_data, const struct store_response *response)
{
  struct membership_manager *membership_manager = user_data;
  struct membership *next = NULL;
  membership_manager->is_writing = false;
  if (response->code == ERR_NONE)
    receive_text (membership_manager, response->value, "store");
  if (response->code == ERR_NONE || response->code == ERR_NOT_FOUND)
    next = propose (membership_manager);
  if (!next)
    return;
  write_membership (membership_manager, next, response);
  membership_unref (next);
}

/* Starts a write if a change is due and it is this relay's turn.  */
static void
write_due_change (struct membership_manager *membership_manager,
                  apr_time_t now)
{
  if (!membership_manager->is_relay || membership_manager->is_writing
      || !membership_manager->roster)
    return;
  struct membership *next = propose (membership_manager);
  bool is_due = next != NULL;
  membership_unref (next);
  if (!is_due)
    {
      membership_manager->change_due_since = 0;
      return;
    }
  if (membership_manager->change_due_since == 0)
    membership_manager->change_due_since = now;
  if (now < membership_manager->change_due_since
                + TIMER_MS (RELAY_TURN_MS
                            * (int64_t)membership_manager->relay_position))
    return;
  membership_manager->is_writing = true;
  membership_manager->desc.store->ops->get (membership_manager->desc.store,
                                            membership_manager->key, on_read,
                                            membership_manager);
}

static void
on_check_due (void *user_data, apr_time_t now)
{
  struct membership_manager *membership_manager = user_data;
  write_due_change (membership_manager, now);
  timer_start (timers (membership_manager), &membership_manager->check_timer,
               now + TIMER_MS (CHECK_INTERVAL_MS), on_check_due,
               membership_manager);
}

/* Watching the store.  */

static void watch (struct membership_manager *membership_manager);

static void
on_watch_due (void *user_data, apr_time_t now)
{
  (void)now;
  watch (user_data);
}

static void
on_watched (void *user_data, const struct store_response *response)
{
  struct membership_manager *membership_manager = user_data;
  membership_manager->is_watching = false;
  bool is_known
      = response->code == ERR_NONE || response->code == ERR_NOT_FOUND;
  bool changed
      = is_known && response->index != membership_manager->watch_index;
  if (changed)
    {
      int64_t stored
          = response->code == ERR_NONE
                ? receive_text (membership_manager, response->value, "store")
                : 0;
      membership_manager->watch_index = response->index;
      /* The store was restored from older data, or lost the key: write ours
         back.  */
      if (stored < membership_manager->membership->version
          && !membership_manager->is_writing)
        write_membership (membership_manager, membership_manager->membership,
                          response);
    }
  timer_start (timers (membership_manager), &membership_manager->watch_timer,
               timer_clock () + TIMER_MS (changed ? 0 : WATCH_RETRY_MS),
               on_watch_due, membership_manager);
}

static void
watch (struct membership_manager *membership_manager)
{
  const struct store_ops *ops = membership_manager->desc.store->ops;
  if (membership_manager->is_watching || !membership_manager->is_relay)
    return;
  membership_manager->is_watching = true;
  if (membership_manager->watch_index > 0)
    ops->watch (membership_manager->desc.store, membership_manager->key,
                membership_manager->watch_index, WATCH_WAIT_MS, on_watched,
                membership_manager);
  else
    ops->get (membership_manager->desc.store, membership_manager->key,
              on_watched, membership_manager);
}

/* public functions */

enum err_code
membership_manager_create (apr_pool_t *pool,
                           const struct membership_manager_desc *desc,
                           struct membership_manager **result, struct err *err)
{
  (void)err;
  struct membership_manager *membership_manager
      = apr_pcalloc (pool, sizeof *membership_manager);
  membership_manager->desc = *desc;
  membership_manager->pool = pool;
  membership_manager->key
      = apr_pstrcat (pool, desc->prefix.data, "/membership", NULL);
  membership_manager->membership = membership_empty ();
  membership_manager->confirmations = confirmations_create (pool);
  membership_manager->ever_listed = apr_hash_make (pool);
  membership_manager->version_gauge
      = gauge_get (desc->counters, "citroncleat_membership_version", "",
                   "Version of the membership in force.");
  membership_manager->write_counter = counter_get (
      desc->counters, "citroncleat_membership_writes_total", "",
      "Versions of the membership that were sent to the store.");
  *result = membership_manager;
  return ERR_NONE;
}

void
membership_manager_start (struct membership_manager *membership_manager)
{
  membership_manager->started_at = timer_clock ();
  on_check_due (membership_manager, membership_manager->started_at);
}

void
membership_manager_destroy (struct membership_manager *membership_manager)
{
  if (!membership_manager)
    return;
  timer_stop (timers (membership_manager), &membership_manager->check_timer);
  timer_stop (timers (membership_manager), &membership_manager->watch_timer);
  membership_unref (membership_manager->membership);
  roster_unref (membership_manager->roster);
  if (membership_manager->vm_pool)
    apr_pool_destroy (membership_manager->vm_pool);
}

struct membership *
membership_manager_membership (
    const struct membership_manager *membership_manager)
{
  return membership_manager->membership;
}

void
membership_manager_offer (struct membership_manager *membership_manager,
                          struct str text, const char *source)
{
  receive_text (membership_manager, text, source);
}

void
membership_manager_set_roster (struct membership_manager *membership_manager,
                               struct roster *roster, size_t relays)
{
  roster_unref (membership_manager->roster);
  membership_manager->roster = roster_ref (roster);
  membership_manager->is_relay
      = roster_is_relay (roster, membership_manager->desc.entry, relays);
  membership_manager->relay_position = 0;
  for (size_t i = 0; i < roster->count; i++)
    {
      const struct roster_entry *m = &roster->entries[i];
      if (!m->is_self)
        confirmations_record (membership_manager->confirmations,
                              m->heartbeat.name, m->heartbeat.incarnation,
                              m->heartbeat.confirmed);
      /* Relays take turns in order of name.  */
      if (m->alive
          && str_compare (m->heartbeat.name, membership_manager->desc.entry)
                 < 0
          && roster_is_relay (roster, m->heartbeat.name, relays))
        membership_manager->relay_position++;
    }
  if (compute_min_confirmed (membership_manager)
      != membership_manager->min_confirmed)
    notify_changed (membership_manager);
  watch (membership_manager);
}

void
membership_manager_set_vms (struct membership_manager *membership_manager,
                            const struct str_list *addresses)
{
  if (membership_manager->vm_pool)
    apr_pool_destroy (membership_manager->vm_pool);
  apr_pool_create (&membership_manager->vm_pool, membership_manager->pool);
  struct str *items = apr_palloc (membership_manager->vm_pool,
                                  (addresses->count + 1) * sizeof *items);
  for (size_t i = 0; i < addresses->count; i++)
    {
      struct str address = addresses->items[i];
      items[i] = str_dup (membership_manager->vm_pool, address);
      if (apr_hash_get (membership_manager->ever_listed, address.data,
                        (apr_ssize_t)address.size))
        continue;
      address = str_dup (membership_manager->pool, address);
      apr_hash_set (membership_manager->ever_listed, address.data,
                    (apr_ssize_t)address.size, address.data);
    }
  membership_manager->vms = (struct str_list){ items, addresses->count };
  membership_manager->vms_listed_at = timer_clock ();
}

void
membership_manager_set_confirmed (
    struct membership_manager *membership_manager, int64_t version)
{
  if (version > membership_manager->confirmed)
    membership_manager->confirmed = version;
}

int64_t
membership_manager_confirmed (
    const struct membership_manager *membership_manager)
{
  return membership_manager->confirmed;
}
