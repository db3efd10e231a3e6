#include "member/registrar.h"

#include "base/log.h"
#include "member/confirmation.h"

#include <apr_hash.h>
#include <apr_strings.h>
#include <stdlib.h>

/* types */

struct registrar
{
  struct registrar_desc desc;
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
  WATCH_RETRY_MS = 500,
  WRITE_RETRY_MS = 50 /* upper bound, drawn at random */
};

/* A VM that the platform's list no longer names is gone if its entry has been
   silent for this long when the list is received.  */
#define GONE_AFTER_US TIMER_SEC (10)
/* The same for a VM that no list has named so far: it may be too new.  */
#define UNLISTED_GONE_AFTER_US TIMER_SEC (600)

/* private functions */

static struct timer_service *
timers (struct registrar *registrar)
{
  return loop_timers (registrar->desc.loop);
}

static const struct roster_member *
find_roster_entry (const struct registrar *registrar, struct str name)
{
  const struct roster *roster = registrar->roster;
  for (size_t i = 0; roster && i < roster->count; i++)
    if (str_equal (roster->members[i].beat.name, name))
      return &roster->members[i];
  return NULL;
}

static int64_t
compute_min_confirmed (const struct registrar *registrar)
{
  return confirmations_least (registrar->confirmations, registrar->membership,
                              registrar->desc.entry);
}

static void
notify_changed (struct registrar *registrar)
{
  registrar->min_confirmed = compute_min_confirmed (registrar);
  registrar->desc.changed (registrar->desc.part, registrar->membership,
                           registrar->min_confirmed);
}

/* Takes ownership of MEMBERSHIP: puts it in force if its version is higher
   than the one held, otherwise releases it.  NULL is ignored.  */
static void
adopt (struct registrar *registrar, struct membership *membership,
       const char *source)
{
  if (!membership)
    return;
  if (membership->version <= registrar->membership->version)
    {
      membership_unref (membership);
      return;
    }
  membership_unref (registrar->membership);
  registrar->membership = membership;
  counter_set (registrar->version_gauge, membership->version);
  LOG (LOG_INFO, "membership-adopted",
       LOG_INT ("version", membership->version), LOG_TEXT ("source", source));
  notify_changed (registrar);
}

/* Adopts the membership in TEXT if it is newer.  Returns its version, or 0 if
   it is malformed.  */
static int64_t
receive_text (struct registrar *registrar, struct str text, const char *source)
{
  struct membership *membership = membership_parse (text);
  int64_t version = membership ? membership->version : 0;
  if (!membership)
    LOG (LOG_ERROR, "membership-rejected", LOG_TEXT ("source", source));
  adopt (registrar, membership, source);
  return version;
}

/* Proposing versions.  */

/* Returns whether the VM of a member is known to be gone.  */
static bool
is_gone (void *user_data, const struct member_record *record)
{
  struct registrar *registrar = user_data;
  const struct roster_member *known
      = find_roster_entry (registrar, record->name);
  if (str_list_has (&registrar->vms, record->peers)
      || str_equal (record->name, registrar->desc.entry)
      || (known && known->alive))
    return false;
  apr_time_t heard_at = known ? known->last_heard_at : registrar->started_at;
  bool was_listed = apr_hash_get (registrar->ever_listed, record->peers.data,
                                  (apr_ssize_t)record->peers.size);
  apr_time_t after = was_listed ? GONE_AFTER_US : UNLISTED_GONE_AFTER_US;
  /* An earlier list may not name the VM because the VM is newer.  */
  return registrar->vms_listed_at > heard_at + after;
}

/* Returns the next version if a change is due, otherwise NULL.  */
static struct membership *
propose (struct registrar *registrar)
{
  const struct roster *roster = registrar->roster;
  struct member_sight *sights = calloc (roster->count + 1, sizeof *sights);
  if (!sights)
    abort ();
  for (size_t i = 0; i < roster->count; i++)
    {
      const struct roster_member *m = &roster->members[i];
      sights[i] = (struct member_sight){
        .record = { .name = m->beat.name,
                    .region = m->beat.region,
                    .peers = m->beat.peers,
                    .incarnation = m->beat.incarnation },
        .joins = m->alive && m->beat.state == ENTRY_SERVING,
        .stops = m->beat.state == ENTRY_STOPPED,
      };
    }
  int64_t confirmed_by_all = compute_min_confirmed (registrar);
  if (registrar->confirmed < confirmed_by_all)
    confirmed_by_all = registrar->confirmed;
  struct membership_view view = { .sights = sights,
                                  .count = roster->count,
                                  .settled = confirmed_by_all,
                                  .is_gone = is_gone,
                                  .part = registrar };
  struct membership *next = membership_propose (registrar->membership, &view);
  free (sights);
  return next;
}

static void
on_written (void *user_data, const struct store_answer *response)
{
  struct registrar *registrar = user_data;
  registrar->is_writing = false;
  /* After a conflict or a lost response the next check reads the store again:
     changes that took effect are then adopted, and no longer due.  */
  if (response->code != ERR_NONE)
    registrar->change_due_since
        = timer_clock () + TIMER_MS (rand () % WRITE_RETRY_MS);
}

/* Writes MEMBERSHIP over what READ has returned.  */
static void
write_membership (struct registrar *registrar,
                  const struct membership *membership,
                  const struct store_answer *read)
{
  apr_pool_t *pool;
  apr_pool_create (&pool, NULL);
  counter_add (registrar->write_counter, 1);
  registrar->is_writing = true;
  registrar->desc.store->ops->compare_and_swap (
      registrar->desc.store, registrar->key,
      read->code == ERR_NOT_FOUND ? 0 : read->index,
      membership_text (membership, pool), on_written, registrar);
  apr_pool_destroy (pool);
}

/* Adopts the stored version, proposes the next one on top of it if a change is
   still due, and writes that.  */
static void
on_read (void *user_data, const struct store_answer *response)
{
  struct registrar *registrar = user_data;
  struct membership *next = NULL;
  registrar->is_writing = false;
  if (response->code == ERR_NONE)
    receive_text (registrar, response->value, "store");
  if (response->code == ERR_NONE || response->code == ERR_NOT_FOUND)
    next = propose (registrar);
  if (!next)
    return;
  write_membership (registrar, next, response);
  membership_unref (next);
}

/* Starts a write if a change is due and it is this relay's turn.  */
static void
write_due_change (struct registrar *registrar, apr_time_t now)
{
  if (!registrar->is_relay || registrar->is_writing || !registrar->roster)
    return;
  struct membership *next = propose (registrar);
  bool is_due = next != NULL;
  membership_unref (next);
  if (!is_due)
    {
      registrar->change_due_since = 0;
      return;
    }
  if (registrar->change_due_since == 0)
    registrar->change_due_since = now;
  if (now
      < registrar->change_due_since
            + TIMER_MS (RELAY_TURN_MS * (int64_t)registrar->relay_position))
    return;
  registrar->is_writing = true;
  registrar->desc.store->ops->get (registrar->desc.store, registrar->key,
                                   on_read, registrar);
}

static void
on_check_due (void *user_data, apr_time_t now)
{
  struct registrar *registrar = user_data;
  write_due_change (registrar, now);
  timer_start (timers (registrar), &registrar->check_timer,
               now + TIMER_MS (CHECK_INTERVAL_MS), on_check_due, registrar);
}

/* Watching the store.  */

static void watch (struct registrar *registrar);

static void
on_watch_due (void *user_data, apr_time_t now)
{
  (void)now;
  watch (user_data);
}

static void
on_watched (void *user_data, const struct store_answer *response)
{
  struct registrar *registrar = user_data;
  registrar->is_watching = false;
  bool is_known
      = response->code == ERR_NONE || response->code == ERR_NOT_FOUND;
  bool changed = is_known && response->index != registrar->watch_index;
  if (changed)
    {
      int64_t stored = response->code == ERR_NONE
                           ? receive_text (registrar, response->value, "store")
                           : 0;
      registrar->watch_index = response->index;
      /* The store was restored from older data: write ours back.  */
      if (stored < registrar->membership->version && !registrar->is_writing)
        write_membership (registrar, registrar->membership, response);
    }
  timer_start (timers (registrar), &registrar->watch_timer,
               timer_clock () + TIMER_MS (changed ? 0 : WATCH_RETRY_MS),
               on_watch_due, registrar);
}

static void
watch (struct registrar *registrar)
{
  const struct store_ops *ops = registrar->desc.store->ops;
  if (registrar->is_watching || !registrar->is_relay)
    return;
  registrar->is_watching = true;
  if (registrar->watch_index > 0)
    ops->watch (registrar->desc.store, registrar->key, registrar->watch_index,
                WATCH_WAIT_MS, on_watched, registrar);
  else
    ops->get (registrar->desc.store, registrar->key, on_watched, registrar);
}

/* public functions */

enum err_code
registrar_create (apr_pool_t *pool, const struct registrar_desc *desc,
                  struct registrar **result, struct err *err)
{
  (void)err;
  struct registrar *registrar = apr_pcalloc (pool, sizeof *registrar);
  registrar->desc = *desc;
  registrar->pool = pool;
  registrar->key = apr_pstrcat (pool, desc->prefix.data, "/membership", NULL);
  registrar->membership = membership_empty ();
  registrar->confirmations = confirmations_create (pool);
  registrar->ever_listed = apr_hash_make (pool);
  registrar->version_gauge
      = gauge_get (desc->counters, "citroncleat_membership_version", "",
                   "Version of the membership in force.");
  registrar->write_counter = counter_get (
      desc->counters, "citroncleat_membership_writes_total", "",
      "Versions of the membership that were sent to the store.");
  *result = registrar;
  return ERR_NONE;
}

void
registrar_start (struct registrar *registrar)
{
  registrar->started_at = timer_clock ();
  on_check_due (registrar, registrar->started_at);
}

void
registrar_destroy (struct registrar *registrar)
{
  if (!registrar)
    return;
  timer_stop (timers (registrar), &registrar->check_timer);
  timer_stop (timers (registrar), &registrar->watch_timer);
  membership_unref (registrar->membership);
  roster_unref (registrar->roster);
  if (registrar->vm_pool)
    apr_pool_destroy (registrar->vm_pool);
}

struct membership *
registrar_membership (const struct registrar *registrar)
{
  return registrar->membership;
}

void
registrar_offer (struct registrar *registrar, struct str text,
                 const char *source)
{
  receive_text (registrar, text, source);
}

void
registrar_see_entries (struct registrar *registrar, struct roster *roster,
                       size_t relays)
{
  roster_unref (registrar->roster);
  registrar->roster = roster_ref (roster);
  registrar->is_relay
      = roster_is_relay (roster, registrar->desc.entry, relays);
  registrar->relay_position = 0;
  for (size_t i = 0; i < roster->count; i++)
    {
      const struct roster_member *m = &roster->members[i];
      if (!m->is_self)
        confirmations_note (registrar->confirmations, m->beat.name,
                            m->beat.incarnation, m->beat.confirmed);
      /* Relays take turns in order of name.  */
      if (m->alive && str_compare (m->beat.name, registrar->desc.entry) < 0
          && roster_is_relay (roster, m->beat.name, relays))
        registrar->relay_position++;
    }
  if (compute_min_confirmed (registrar) != registrar->min_confirmed)
    notify_changed (registrar);
  watch (registrar);
}

void
registrar_see_vms (struct registrar *registrar,
                   const struct str_list *addresses)
{
  if (registrar->vm_pool)
    apr_pool_destroy (registrar->vm_pool);
  apr_pool_create (&registrar->vm_pool, registrar->pool);
  struct str *items = apr_palloc (registrar->vm_pool,
                                  (addresses->count + 1) * sizeof *items);
  for (size_t i = 0; i < addresses->count; i++)
    {
      struct str address = addresses->items[i];
      items[i] = str_dup (registrar->vm_pool, address);
      if (apr_hash_get (registrar->ever_listed, address.data,
                        (apr_ssize_t)address.size))
        continue;
      address = str_dup (registrar->pool, address);
      apr_hash_set (registrar->ever_listed, address.data,
                    (apr_ssize_t)address.size, address.data);
    }
  registrar->vms = (struct str_list){ items, addresses->count };
  registrar->vms_listed_at = timer_clock ();
}

void
registrar_confirm (struct registrar *registrar, int64_t version)
{
  if (version > registrar->confirmed)
    registrar->confirmed = version;
}

int64_t
registrar_confirmed (const struct registrar *registrar)
{
  return registrar->confirmed;
}
