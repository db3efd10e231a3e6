#include "fleet/fleet.h"
#include "fleet/departed.h"

#include <apr_hash.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

/* types */

struct fleet
{
  struct fleet_desc desc;
  apr_pool_t *pool;
  struct affinity *affinity;
  apr_hash_t *ids;                   /* struct fleet_upstream by id */
  apr_hash_t *services;              /* struct fleet_service by name */
  apr_hash_t *zones;                 /* struct fleet_zone by name */
  struct departed *departed;         /* upstreams that were removed, by id */
  struct fleet_upstream *remembered; /* removed ones that said that they leave
                                        or want no requests, or that were sent
                                        some within the last second */
  int64_t revision;                  /* of the latest record received */
  int64_t restored_revision; /* of the latest one before the store came back
                                from an older copy; 0: it never did */
  bool is_restoring;         /* the listing of that copy is being applied */
  size_t count;
  size_t expired_count; /* upstreams in their grace period */
  size_t held_count;    /* upstreams that are held back */
  size_t lost_count;    /* evacuations in their grace period */
  bool has_doubts;      /* perhaps, about some upstream */
};

/* constants */

/* For so long after its record has gone it is remembered that an upstream is
   leaving.  As long as fleet/departed.h remembers that it has left.  */
static const apr_time_t leaving_memory_us = 60000000;

/* The time over which requests to cold upstreams are counted.  */
static const apr_time_t sends_memory_us = 1000000;

enum
{
  DEFAULT_EXPIRY_GRACE_MS = 2000, /* owners write expired records again
                                     within it */
  /* Longer than the three heartbeats after which the store removes the record
     of an upstream that writes nothing, a read after that, and the first part
     of an outage, in which leases may pause before expiry is postponed.  */
  HOLD_MS = 8000,
  /* Twice the time within which the keys of others are written again.  */
  EVACUATION_GRACE_MS = 4000,
  INITIAL_CAPACITY = 16,
  STRING_COUNT = 4 /* strings of an upstream, each ends with a null byte */
};

/* private functions */

static void
notify_changed (struct fleet *fleet, const char *what,
                const struct fleet_upstream *upstream)
{
  if (fleet->desc.upstream_changed)
    fleet->desc.upstream_changed (fleet->desc.user_data, what, upstream);
}

/* Returns the service NAME, which it adds at first.  Services are never
   removed, so that pointers to them stay valid.  */
static struct fleet_service *
get_or_add_service (struct fleet *fleet, struct str name)
{
  struct fleet_service *service
      = apr_hash_get (fleet->services, name.data, (apr_ssize_t)name.size);
  if (service)
    return service;
  service = apr_pcalloc (fleet->pool, sizeof *service);
  service->name = str_dup (fleet->pool, name);
  apr_hash_set (fleet->services, service->name.data,
                (apr_ssize_t)service->name.size, service);
  return service;
}

/* Returns the zone NAME, which it adds at first.  */
static struct fleet_zone *
get_or_add_zone (struct fleet *fleet, struct str name)
{
  struct fleet_zone *zone
      = apr_hash_get (fleet->zones, name.data, (apr_ssize_t)name.size);
  if (zone)
    return zone;
  zone = apr_pcalloc (fleet->pool, sizeof *zone);
  zone->name = str_dup (fleet->pool, name);
  apr_hash_set (fleet->zones, zone->name.data, (apr_ssize_t)zone->name.size,
                zone);
  return zone;
}

/* Returns the group of SERVICE in REGION, which it adds at first.  */
static struct fleet_group *
get_or_add_group (struct fleet *fleet, struct fleet_service *service,
                  struct str region)
{
  struct fleet_group *group
      = (struct fleet_group *)fleet_group (service, region);
  if (group)
    return group;
  struct fleet_group **groups = realloc (
      service->groups, (service->group_count + 1) * sizeof (*groups));
  if (!groups)
    abort ();
  service->groups = groups;
  group = apr_pcalloc (fleet->pool, sizeof *group);
  group->region = str_dup (fleet->pool, region);
  groups[service->group_count++] = group;
  return group;
}

static void
add_to_service (struct fleet *fleet, struct fleet_upstream *upstream)
{
  struct fleet_service *service
      = get_or_add_service (fleet, upstream->service);
  struct fleet_group *group
      = get_or_add_group (fleet, service, upstream->region);
  if (group->count == group->capacity)
    {
      size_t capacity
          = group->capacity ? 2 * group->capacity : INITIAL_CAPACITY;
      struct fleet_member *members
          = realloc (group->members, capacity * sizeof (*members));
      if (!members)
        abort ();
      group->members = members;
      group->capacity = capacity;
    }
  group->members[group->count++]
      = (struct fleet_member){ upstream->hash, upstream };
  service->count++;
  fleet->count++;
}

static void
remove_from_service (struct fleet *fleet, struct fleet_upstream *upstream)
{
  struct fleet_service *service
      = get_or_add_service (fleet, upstream->service);
  struct fleet_group *group
      = get_or_add_group (fleet, service, upstream->region);
  for (size_t i = 0; i < group->count; i++)
    if (group->members[i].upstream == upstream)
      {
        group->members[i] = group->members[--group->count];
        service->count--;
        fleet->count--;
        return;
      }
}

/* Sets when the record of UPSTREAM vanished, perhaps only since its lease ran
   out; 0: it is listed.  */
static void
set_expired_at (struct fleet *fleet, struct fleet_upstream *upstream,
                apr_time_t at)
{
  fleet->expired_count += (at != 0) - (upstream->expired_at != 0);
  upstream->expired_at = at;
}

/* Sets until when UPSTREAM is held back; 0: it isn't.  */
static void
set_held_until (struct fleet *fleet, struct fleet_upstream *upstream,
                apr_time_t until)
{
  fleet->held_count += (until != 0) - (upstream->held_until != 0);
  upstream->held_until = until;
}

/* Sets since when the evacuation of ZONE is missing in a restored store.  */
static void
set_evacuation_lost_at (struct fleet *fleet, struct fleet_zone *zone,
                        apr_time_t at)
{
  fleet->lost_count += (at != 0) - (zone->evacuation_lost_at != 0);
  zone->evacuation_lost_at = at;
}

/* Copies TEXT, with a null byte, to *AT and moves *AT behind it.  */
static struct str
append_copy (char **at, struct str text)
{
  char *copy = *at;
  memcpy (copy, text.data, text.size);
  copy[text.size] = 0;
  *at += text.size + 1;
  return str_view (copy, text.size);
}

/* Allocates the object and its strings as one block, since there may be
   thousands of upstreams.  */
static struct fleet_upstream *
create_upstream (const struct fleet_record *record,
                 const struct fleet_zone *zone, struct str region)
{
  size_t strings_size = record->id.size + record->service.size
                        + record->address.size + region.size + STRING_COUNT;
  struct fleet_upstream *upstream
      = calloc (1, sizeof *upstream + strings_size);
  if (!upstream)
    abort ();
  char *at = (char *)(upstream + 1);
  upstream->references = 1;
  upstream->id = append_copy (&at, record->id);
  upstream->service = append_copy (&at, record->service);
  upstream->address = append_copy (&at, record->address);
  upstream->zone = zone;
  upstream->region = append_copy (&at, region);
  upstream->hash = XXH64 (record->id.data, record->id.size, 0);
  upstream->incarnation_hash = XXH64 (
      &record->incarnation, sizeof record->incarnation, upstream->hash);
  upstream->slots = record->slots;
  upstream->incarnation = record->incarnation;
  load_init (&upstream->load, record->slots);
  return upstream;
}

/* Returns whether UPSTREAM is leaving, by its record or by what it said.  */
static bool
is_leaving (const struct fleet_upstream *upstream)
{
  return upstream->leaving || upstream->says_leaving;
}

/* Returns whether what A said holds for B too.  */
static bool
is_same_process (const struct fleet_upstream *a,
                 const struct fleet_upstream *b)
{
  return str_equal (a->id, b->id) && a->incarnation == b->incarnation
         && (a->incarnation != 0 || str_equal (a->address, b->address));
}

/* Returns whether UPSTREAM, which was removed, was sent requests that count
   for the next process of its id.  */
static bool
has_recent_sends (const struct fleet_upstream *upstream, apr_time_t now)
{
  return load_sends_since (&upstream->load, now - sends_memory_us) > 0;
}

/* Returns whether what UPSTREAM said is to be remembered after it was
   removed.  */
static bool
has_said (const struct fleet_upstream *upstream, apr_time_t now)
{
  return (upstream->says_leaving
          && now - upstream->removed_at <= leaving_memory_us)
         || upstream->load.turned_away_until > now
         || upstream->load.restricted_until > now;
}

/* Returns whether UPSTREAM, which was removed, is to be remembered.  */
static bool
is_memorable (const struct fleet_upstream *upstream, apr_time_t now)
{
  return has_said (upstream, now) || has_recent_sends (upstream, now);
}

/* Remembers the removed UPSTREAM if it said something or was sent requests
   just now.  No effect if it is remembered.  */
static void
remember (struct fleet *fleet, struct fleet_upstream *upstream, apr_time_t now)
{
  const struct fleet_upstream *known = fleet->remembered;
  while (known && known != upstream)
    known = known->next_remembered;
  if (known || !is_memorable (upstream, now))
    return;
  upstream->next_remembered = fleet->remembered;
  fleet->remembered = fleet_upstream_ref (upstream);
}

/* Forgets the removed upstreams whose time is over, or all if ALL.  */
static void
forget_remembered (struct fleet *fleet, bool all, apr_time_t now)
{
  struct fleet_upstream **link = &fleet->remembered;
  while (*link)
    {
      struct fleet_upstream *upstream = *link;
      if (!all && is_memorable (upstream, now))
        {
          link = &upstream->next_remembered;
          continue;
        }
      *link = upstream->next_remembered;
      fleet_upstream_unref (upstream);
    }
}

/* Makes the new object UPSTREAM continue what the same incarnation said, and
   what was sent to the id just before its last record was removed: a process
   that started again within that second has got it.  */
static void
recall (const struct fleet *fleet, struct fleet_upstream *upstream,
        apr_time_t now)
{
  bool has_sends = false;
  for (const struct fleet_upstream *old = fleet->remembered; old;
       old = old->next_remembered)
    {
      if (!str_equal (old->id, upstream->id))
        continue;
      /* The one that was removed last comes first.  */
      if (!has_sends && has_recent_sends (old, now))
        {
          load_inherit_sends (&upstream->load, &old->load);
          has_sends = true;
        }
      if (is_same_process (old, upstream))
        {
          upstream->says_leaving = old->says_leaving;
          load_inherit_wait (&upstream->load, &old->load);
          return;
        }
    }
}

/* Removes UPSTREAM from the fleet and gives up the fleet's reference.  */
static void
remove_upstream (struct fleet *fleet, struct fleet_upstream *upstream,
                 const char *why, apr_time_t now)
{
  upstream->removed = true;
  upstream->removed_at = now;
  remember (fleet, upstream, now);
  set_expired_at (fleet, upstream, 0);
  set_held_until (fleet, upstream, 0);
  remove_from_service (fleet, upstream);
  notify_changed (fleet, why, upstream);
  apr_hash_set (fleet->ids, upstream->id.data, (apr_ssize_t)upstream->id.size,
                NULL);
  fleet_upstream_unref (upstream);
}

/* Removes UPSTREAM, which has left, and remembers that.  */
static void
remove_departed (struct fleet *fleet, struct fleet_upstream *upstream,
                 const char *why, apr_time_t now)
{
  departed_add (fleet->departed, upstream->id, upstream->incarnation, now);
  remove_upstream (fleet, upstream, why, now);
}

static bool
is_same_incarnation (const struct fleet_upstream *upstream,
                     const struct fleet_record *record)
{
  return upstream->incarnation == record->incarnation
         && str_equal (upstream->address, record->address)
         && str_equal (upstream->service, record->service)
         && str_equal (upstream->zone->name, record->zone);
}

static struct fleet_upstream *
add_upstream (struct fleet *fleet, const struct fleet_record *record,
              struct str region)
{
  struct fleet_upstream *upstream = create_upstream (
      record, get_or_add_zone (fleet, record->zone), region);
  apr_hash_set (fleet->ids, upstream->id.data, (apr_ssize_t)upstream->id.size,
                upstream);
  add_to_service (fleet, upstream);
  return upstream;
}

/* Sets until when UPSTREAM is cold.  A record that is not cold ends that only
   if it is later than what made the upstream cold.  */
static void
update_cold (struct fleet_upstream *upstream,
             const struct fleet_record *record, int64_t revision,
             apr_time_t now)
{
  doubt_count_write (&upstream->doubt, revision, now);
  upstream->record_is_cold = record->cold_remaining > 0;
  if (upstream->record_is_cold)
    {
      upstream->cold_until = now + record->cold_remaining;
      upstream->cold_revision = revision;
    }
  else if (revision > upstream->cold_revision)
    upstream->cold_until = 0;
}

/* Removes UPSTREAM, whose record vanished, or starts its grace period if the
   record may only have expired.  */
static void
handle_vanished (struct fleet *fleet, struct fleet_upstream *upstream,
                 bool may_be_expired, apr_time_t now)
{
  if (!may_be_expired || is_leaving (upstream) || upstream->held_until > 0)
    {
      remove_departed (fleet, upstream, "removed", now);
      return;
    }
  if (upstream->expired_at == 0)
    {
      set_expired_at (fleet, upstream, now);
      notify_changed (fleet, "lapsed", upstream);
    }
}

/* Returns whether RECORD is older than what was known of UPSTREAM before the
   store came back from an older copy.  */
static bool
is_outdated (const struct fleet *fleet, const struct fleet_upstream *upstream,
             const struct fleet_record *record)
{
  return upstream->revision <= fleet->restored_revision
         && record->incarnation > 0
         && (record->incarnation < upstream->incarnation
             || (record->incarnation == upstream->incarnation
                 && record->write_count < upstream->write_count));
}

/* Ends the evacuation of ZONE at REVISION of the store.  */
static void
end_evacuation (struct fleet *fleet, struct fleet_zone *zone, int64_t revision,
                apr_time_t cold_time, const char *why, apr_time_t now)
{
  set_evacuation_lost_at (fleet, zone, 0);
  zone->is_evacuated = false;
  for (apr_hash_index_t *i = apr_hash_first (NULL, fleet->ids); i;
       i = apr_hash_next (i))
    {
      struct fleet_upstream *upstream = apr_hash_this_val (i);
      if (upstream->zone != zone)
        continue;
      upstream->cold_until = now + cold_time;
      upstream->cold_revision = revision;
      if (why)
        notify_changed (fleet, why, upstream);
    }
}

static void
end_lost_evacuations (struct fleet *fleet, apr_time_t now)
{
  if (fleet->lost_count == 0)
    return;
  for (apr_hash_index_t *i = apr_hash_first (NULL, fleet->zones); i;
       i = apr_hash_next (i))
    {
      struct fleet_zone *zone = apr_hash_this_val (i);
      if (zone->evacuation_lost_at > 0
          && now - zone->evacuation_lost_at
                 > (apr_time_t)EVACUATION_GRACE_MS * APR_USEC_PER_SEC / 1000)
        end_evacuation (fleet, zone, zone->lost_revision, zone->cold_time,
                        "evacuation not renewed", now);
    }
}

/* Ends the doubts that are over.  */
static void
end_doubts (struct fleet *fleet, apr_time_t now)
{
  if (!fleet->has_doubts)
    return;
  fleet->has_doubts = false;
  for (apr_hash_index_t *i = apr_hash_first (NULL, fleet->ids); i;
       i = apr_hash_next (i))
    {
      struct fleet_upstream *upstream = apr_hash_this_val (i);
      doubt_expire (&upstream->doubt, now);
      fleet->has_doubts |= upstream->doubt.since > 0;
    }
}

/* public functions */

struct fleet *
fleet_create (apr_pool_t *pool, const struct fleet_desc *desc)
{
  struct fleet *fleet = apr_pcalloc (pool, sizeof *fleet);
  fleet->desc = *desc;
  if (!fleet->desc.expiry_grace)
    fleet->desc.expiry_grace
        = (apr_time_t)DEFAULT_EXPIRY_GRACE_MS * APR_USEC_PER_SEC / 1000;
  fleet->pool = pool;
  fleet->affinity = affinity_create (pool);
  fleet->departed = departed_create ();
  fleet->ids = apr_hash_make (pool);
  fleet->services = apr_hash_make (pool);
  fleet->zones = apr_hash_make (pool);
  return fleet;
}

void
fleet_destroy (struct fleet *fleet)
{
  if (!fleet)
    return;
  fleet->desc.upstream_changed = NULL;
  departed_destroy (fleet->departed);
  forget_remembered (fleet, true, 0);
  for (apr_hash_index_t *i = apr_hash_first (fleet->pool, fleet->ids); i;
       i = apr_hash_next (i))
    {
      fleet_upstream_unref (apr_hash_this_val (i));
    }
  for (apr_hash_index_t *i = apr_hash_first (fleet->pool, fleet->services); i;
       i = apr_hash_next (i))
    {
      struct fleet_service *service = apr_hash_this_val (i);
      for (size_t g = 0; g < service->group_count; g++)
        free (service->groups[g]->members);
      free (service->groups);
    }
}

bool
fleet_put_upstream (struct fleet *fleet, const struct fleet_record *record,
                    int64_t revision, apr_time_t now)
{
  struct str region
      = fleet->desc.find_region (fleet->desc.user_data, record->zone);
  struct fleet_upstream *upstream = apr_hash_get (
      fleet->ids, record->id.data, (apr_ssize_t)record->id.size);
  int64_t departed_incarnation = 0;
  if (region.size == 0)
    return false;
  if (revision > fleet->revision)
    fleet->revision = revision;
  bool has_departed
      = !upstream
        && departed_find (fleet->departed, record->id, &departed_incarnation);
  /* The store counts anew for how long the upstream writes nothing.  */
  if (upstream && upstream->held_until > 0 && fleet->is_restoring)
    set_held_until (fleet, upstream,
                    now + (apr_time_t)HOLD_MS * APR_USEC_PER_SEC / 1000);
  if (upstream && is_outdated (fleet, upstream, record))
    {
      if (record->incarnation == upstream->incarnation)
        set_expired_at (fleet, upstream, 0);
      return true;
    }
  if (has_departed && fleet->is_restoring
      && record->incarnation < departed_incarnation)
    return true;
  struct load replaced_load;
  bool is_next_process = false;
  if (upstream && !is_same_incarnation (upstream, record))
    {
      replaced_load = upstream->load;
      is_next_process = true;
      remove_upstream (fleet, upstream, "replaced", now);
      upstream = NULL;
    }
  bool is_new = !upstream;
  if (is_new)
    {
      upstream = add_upstream (fleet, record, region);
      recall (fleet, upstream, now);
    }
  /* What was sent to the id in the last second has reached the new process if
     it started within that.  */
  if (is_next_process)
    load_inherit_sends (&upstream->load, &replaced_load);
  bool was_leaving = is_leaving (upstream);
  upstream->leaving = record->leaving;
  upstream->slots = record->slots;
  set_expired_at (fleet, upstream, 0);
  update_cold (upstream, record, revision, now);
  /* A copy may be later than the one before, and yet from before the upstream
     left.  */
  bool is_released = upstream->held_until > 0 && !fleet->is_restoring
                     && record->write_count > upstream->write_count;
  if (is_released)
    set_held_until (fleet, upstream, 0);
  if (has_departed && fleet->is_restoring
      && record->incarnation == departed_incarnation)
    set_held_until (fleet, upstream,
                    now + (apr_time_t)HOLD_MS * APR_USEC_PER_SEC / 1000);
  departed_forget (fleet->departed, upstream->id);
  upstream->write_count = record->write_count;
  upstream->revision = revision;
  if (upstream->held_until > 0 && is_new)
    notify_changed (fleet, "held back", upstream);
  else if (is_new)
    notify_changed (fleet, "added", upstream);
  else if (is_released)
    notify_changed (fleet, "ready", upstream);
  else if (was_leaving != is_leaving (upstream))
    notify_changed (fleet, was_leaving ? "ready" : "leaving", upstream);
  return true;
}

bool
fleet_renew_upstream (struct fleet *fleet, struct str id, int64_t revision,
                      apr_time_t now)
{
  struct fleet_upstream *upstream
      = apr_hash_get (fleet->ids, id.data, (apr_ssize_t)id.size);
  if (!upstream || upstream->held_until > 0
      || upstream->revision <= fleet->restored_revision)
    return false;
  if (revision > fleet->revision)
    fleet->revision = revision;
  set_expired_at (fleet, upstream, 0);
  doubt_count_write (&upstream->doubt, revision, now);
  if (!upstream->record_is_cold && revision > upstream->cold_revision)
    upstream->cold_until = 0;
  return true;
}

void
fleet_remove_upstream (struct fleet *fleet, struct str id, bool may_be_expired,
                       apr_time_t now)
{
  struct fleet_upstream *upstream
      = apr_hash_get (fleet->ids, id.data, (apr_ssize_t)id.size);
  if (upstream)
    handle_vanished (fleet, upstream, may_be_expired, now);
}

bool
fleet_end_lapse (struct fleet *fleet, struct fleet_upstream *upstream,
                 apr_time_t now)
{
  if (upstream->expired_at == 0)
    return false;
  remove_departed (fleet, upstream, "has left", now);
  return true;
}

size_t
fleet_lapsed_count (const struct fleet *fleet)
{
  return fleet->expired_count;
}

void
fleet_begin_restore (struct fleet *fleet)
{
  fleet->is_restoring = true;
  fleet->restored_revision = fleet->revision;
}

void
fleet_end_restore (struct fleet *fleet)
{
  fleet->is_restoring = false;
}

void
fleet_remove_expired (struct fleet *fleet, apr_time_t now)
{
  departed_expire (fleet->departed, now);
  forget_remembered (fleet, false, now);
  end_lost_evacuations (fleet, now);
  end_doubts (fleet, now);
  if (fleet->expired_count == 0 && fleet->held_count == 0)
    return;
  for (apr_hash_index_t *i = apr_hash_first (NULL, fleet->ids); i;
       i = apr_hash_next (i))
    {
      struct fleet_upstream *upstream = apr_hash_this_val (i);
      if (upstream->expired_at > 0
          && now - upstream->expired_at > fleet->desc.expiry_grace)
        remove_departed (fleet, upstream, "lapse not renewed", now);
      else if (upstream->held_until > 0 && now > upstream->held_until)
        {
          set_held_until (fleet, upstream, 0);
          notify_changed (fleet, is_leaving (upstream) ? "leaving" : "ready",
                          upstream);
        }
    }
}

void
fleet_postpone_expiry (struct fleet *fleet, apr_time_t by)
{
  if (fleet->expired_count > 0 || fleet->held_count > 0)
    for (apr_hash_index_t *i = apr_hash_first (NULL, fleet->ids); i;
         i = apr_hash_next (i))
      {
        struct fleet_upstream *upstream = apr_hash_this_val (i);
        upstream->expired_at += upstream->expired_at > 0 ? by : 0;
        upstream->held_until += upstream->held_until > 0 ? by : 0;
      }
  if (fleet->has_doubts)
    for (apr_hash_index_t *i = apr_hash_first (NULL, fleet->ids); i;
         i = apr_hash_next (i))
      {
        struct fleet_upstream *upstream = apr_hash_this_val (i);
        doubt_postpone (&upstream->doubt, by);
      }
  if (fleet->lost_count > 0)
    for (apr_hash_index_t *i = apr_hash_first (NULL, fleet->zones); i;
         i = apr_hash_next (i))
      {
        struct fleet_zone *zone = apr_hash_this_val (i);
        zone->evacuation_lost_at += zone->evacuation_lost_at > 0 ? by : 0;
      }
}

void
fleet_set_zone_evacuated (struct fleet *fleet, struct str zone, bool evacuated,
                          int64_t revision, apr_time_t cold_time,
                          apr_time_t now)
{
  if (!evacuated && !fleet_is_zone_evacuated (fleet, zone))
    return;
  struct fleet_zone *state = get_or_add_zone (fleet, zone);
  if (evacuated)
    {
      state->is_evacuated = true;
      set_evacuation_lost_at (fleet, state, 0);
    }
  else if (fleet->is_restoring)
    {
      set_evacuation_lost_at (fleet, state, now);
      state->lost_revision = revision;
      state->cold_time = cold_time;
    }
  else
    end_evacuation (fleet, state, revision, cold_time, NULL, now);
}

bool
fleet_is_zone_evacuated (const struct fleet *fleet, struct str zone)
{
  const struct fleet_zone *state
      = apr_hash_get (fleet->zones, zone.data, (apr_ssize_t)zone.size);
  return state && state->is_evacuated;
}

void
fleet_for_each_evacuated_zone (const struct fleet *fleet,
                               void (*each) (void *user_data, struct str zone),
                               void *user_data)
{
  for (apr_hash_index_t *i = apr_hash_first (NULL, fleet->zones); i;
       i = apr_hash_next (i))
    {
      const struct fleet_zone *zone = apr_hash_this_val (i);
      if (zone->is_evacuated)
        each (user_data, zone->name);
    }
}

bool
fleet_is_cold (const struct fleet_upstream *upstream, apr_time_t now)
{
  return upstream->cold_until > now || doubt_is_cold (&upstream->doubt, now);
}

bool
fleet_doubt (struct fleet *fleet, struct fleet_upstream *upstream,
             apr_time_t at)
{
  if (!doubt_begin (&upstream->doubt, at))
    return false;
  fleet->has_doubts = true;
  return true;
}

void
fleet_doubt_all (struct fleet *fleet, apr_time_t at)
{
  for (apr_hash_index_t *i = apr_hash_first (NULL, fleet->ids); i;
       i = apr_hash_next (i))
    {
      struct fleet_upstream *upstream = apr_hash_this_val (i);
      upstream->is_unseen = fleet_doubt (fleet, upstream, at);
    }
}

bool
fleet_settle (struct fleet_upstream *upstream, apr_time_t as_of,
              apr_time_t cold_left)
{
  if (!doubt_settle (&upstream->doubt, as_of, as_of + cold_left))
    return false;
  upstream->is_unseen = false;
  load_end_avoidance (&upstream->load, as_of);
  return true;
}

/* Returns the listed object of the incarnation of UPSTREAM, which may be a
   removed one; NULL if there is none.  */
static struct fleet_upstream *
find_listed (const struct fleet *fleet, const struct fleet_upstream *upstream)
{
  struct fleet_upstream *listed = fleet_find (fleet, upstream->id);
  return listed && is_same_process (listed, upstream) ? listed : NULL;
}

bool
fleet_mark_leaving (struct fleet *fleet, struct fleet_upstream *upstream,
                    apr_time_t now)
{
  struct fleet_upstream *listed = find_listed (fleet, upstream);
  bool is_news = !(listed ? listed : upstream)->says_leaving;
  bool was_leaving = listed && is_leaving (listed);
  upstream->says_leaving = true;
  if (upstream->removed)
    remember (fleet, upstream, now);
  if (listed)
    listed->says_leaving = true;
  if (listed && !was_leaving)
    notify_changed (fleet, "leaving", listed);
  return is_news;
}

void
fleet_turn_away (struct fleet *fleet, struct fleet_upstream *upstream,
                 apr_time_t wait, apr_time_t stated, apr_time_t now)
{
  struct fleet_upstream *listed = find_listed (fleet, upstream);
  load_turn_away (&upstream->load, wait, now);
  load_restrict (&upstream->load, stated, now);
  if (upstream->removed)
    remember (fleet, upstream, now);
  if (listed && listed != upstream)
    {
      load_turn_away (&listed->load, wait, now);
      load_restrict (&listed->load, stated, now);
    }
}

const struct fleet_service *
fleet_service (const struct fleet *fleet, struct str name)
{
  return apr_hash_get (fleet->services, name.data, (apr_ssize_t)name.size);
}

const struct fleet_group *
fleet_group (const struct fleet_service *service, struct str region)
{
  for (size_t i = 0; service && i < service->group_count; i++)
    if (str_equal (service->groups[i]->region, region))
      return service->groups[i];
  return NULL;
}

bool
fleet_is_eligible (const struct fleet_upstream *upstream)
{
  return !is_leaving (upstream) && !upstream->removed
         && upstream->held_until == 0 && !upstream->zone->is_evacuated;
}

struct fleet_upstream *
fleet_find (const struct fleet *fleet, struct str id)
{
  return apr_hash_get (fleet->ids, id.data, (apr_ssize_t)id.size);
}

struct fleet_upstream *
fleet_find_by_address (const struct fleet *fleet, struct str address)
{
  for (apr_hash_index_t *i = apr_hash_first (NULL, fleet->ids); i;
       i = apr_hash_next (i))
    {
      struct fleet_upstream *upstream = apr_hash_this_val (i);
      if (str_equal (upstream->address, address))
        return upstream;
    }
  return NULL;
}

size_t
fleet_upstream_count (const struct fleet *fleet)
{
  return fleet->count;
}

struct affinity *
fleet_affinity (const struct fleet *fleet)
{
  return fleet->affinity;
}

struct fleet_upstream *
fleet_upstream_ref (struct fleet_upstream *upstream)
{
  upstream->references++;
  return upstream;
}

void
fleet_upstream_unref (struct fleet_upstream *upstream)
{
  if (--upstream->references == 0)
    free (upstream);
}
