#include "steer/internal.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

/* constants */

enum
{
  DEFAULT_RTT_US = 20000 /* to a region without a link from this one */
};

/* Time for which a service's sum of limits is cached.  */
#define LIMIT_CACHE_US INT64_C (2000)

/* private functions */

static uint64_t
name_salt (struct str name)
{
  return XXH3_64bits (name.data, name.size);
}

/* Returns the weight that the policy of SERVICE gives to REGION, 0 if it lists
   other regions only, and sets MAX_WEIGHT to the largest one of any region.
   Without weights both are 1.  */
static int64_t
weight_in_region (const struct service *service, const struct region *region,
                  int64_t *max_weight)
{
  *max_weight = 1;
  if (!service->policy || service->policy->regions.count == 0)
    return 1;
  int64_t weight = 0;
  const struct region_weight *w = service->policy->regions.items;
  for (size_t i = 0; i < service->policy->regions.count; i++)
    {
      if (w[i].weight > *max_weight)
        *max_weight = w[i].weight;
      if (str_equal (w[i].region, region->head.name))
        weight = w[i].weight;
    }
  return weight;
}

/* Returns UPSTREAM's slots, scaled by the policy's weight of its region and
   rounded up.  */
static int64_t
weighted_slot_count (const struct upstream *upstream)
{
  int64_t max_weight;
  int64_t weight = weight_in_region (upstream->group->service,
                                     upstream->zone->region, &max_weight);
  return (upstream->group->slots * weight + max_weight - 1) / max_weight;
}

/* Returns the state called NAME; adds one of SIZE zero bytes if there is
   none.  */
static void *
find_or_add (struct steer *steer, apr_hash_t *states, struct str name,
             size_t size)
{
  void *state = steer_find_state (states, name);
  if (state)
    return state;
  state = apr_pcalloc (steer->pool, size);
  struct str key = str_dup (steer->pool, name);
  apr_hash_set (states, key.data, (apr_ssize_t)key.size, state);
  return state;
}

/* Sets this entry's base share of CAP: the smallest of its shares under all
   versions in force, so that the sum over all entries never exceeds the cap,
   whichever of these versions each entry divides by.  */
static void
set_base_share (struct share_pool *pool, int64_t cap,
                struct positions positions, struct str name)
{
  int64_t base = positions.count > 0 ? cap : 0;
  for (size_t i = 0; i < positions.count; i++)
    {
      struct position position = positions.items[i];
      int64_t share = position.count > 0
                          ? steer_share_size (cap, position.index,
                                              position.count, name_salt (name))
                          : 0;
      if (share < base)
        base = share;
    }
  share_pool_set_base (pool, base);
}

static bool
is_self (const struct steer *steer, const struct member_record *record)
{
  return record->incarnation == steer->desc.share.incarnation
         && str_equal (record->name, steer->desc.share.entry);
}

/* Returns this entry's position under VERSION among the members in REGIONS, or
   among all if that is NULL.  Sets ANY to whether there are such members.  */
static struct position
position_at_version (const struct steer *steer, const struct str_list *regions,
                     int64_t version, bool *any)
{
  const struct membership *membership = steer->membership;
  struct position position = { 0, 0 };
  bool is_member = false;
  for (size_t i = 0; i < membership->count; i++)
    {
      const struct member_record *m = &membership->records[i];
      if (!member_is_in_version (m, version)
          || (regions && !str_list_contains (regions, m->region)))
        continue;
      if (is_self (steer, m))
        {
          is_member = true;
          position.index = position.count;
        }
      position.count++;
    }
  *any = position.count > 0;
  return is_member ? position : (struct position){ 0, 0 };
}

/* Returns the positions among the members in REGIONS under every version in
   force.  OR_ALL: where REGIONS have no members, among all members.  */
static struct positions
positions_among (const struct steer *steer, const struct str_list *regions,
                 bool or_all)
{
  struct positions positions
      = { apr_pcalloc (steer->division_pool,
                       (steer->version_count + 1) * sizeof *positions.items),
          steer->version_count };
  for (size_t i = 0; i < positions.count; i++)
    {
      bool any;
      if (!steer->membership)
        {
          positions.items[i] = (struct position){ 0, 1 };
          continue;
        }
      int64_t version = steer->versions[i];
      positions.items[i] = position_at_version (steer, regions, version, &any);
      if (!any && or_all)
        positions.items[i] = position_at_version (steer, NULL, version, &any);
    }
  return positions;
}

static int
compare_versions (const void *a, const void *b)
{
  int64_t x = *(const int64_t *)a;
  int64_t y = *(const int64_t *)b;
  return (x > y) - (x < y);
}

/* Lists the versions by which some entry may still divide: all from the lowest
   confirmed to the newest.  Versions with the same members divide alike, so
   those after the first are listed only if they add or remove a member.  */
static void
update_versions_in_force (struct steer *steer)
{
  static const struct membership alone = { .version = 0 };
  const struct membership *membership
      = steer->membership ? steer->membership : &alone;
  size_t count = 0;
  size_t kept = 0;
  int64_t from = steer->min_confirmed_version;
  int64_t *versions = apr_palloc (
      steer->division_pool, (2 * membership->count + 1) * sizeof *versions);
  /* The members of older versions are no longer all known.  Version 0, which
     has no members, gives every entry the share 0.  */
  if (from <= membership->version - MEMBERSHIP_HISTORY)
    from = 0;
  versions[count++] = from;
  for (size_t i = 0; i < membership->count; i++)
    {
      const struct member_record *m = &membership->records[i];
      if (m->joined_version > from)
        versions[count++] = m->joined_version;
      if (m->removed_version > from
          && m->removed_version != MEMBER_NOT_REMOVED)
        versions[count++] = m->removed_version;
    }
  qsort (versions, count, sizeof *versions, compare_versions);
  for (size_t i = 0; i < count; i++)
    if (kept == 0 || versions[i] != versions[kept - 1])
      versions[kept++] = versions[i];
  steer->versions = versions;
  steer->version_count = kept;
}

/* As set_base_share, for a CAP that is not limited if 0.  */
static void
set_call_base_share (struct share_pool *pool, int64_t cap,
                     struct positions positions, struct str name)
{
  if (cap > 0)
    set_base_share (pool, cap, positions, name);
  else
    share_pool_set_base (pool, SHARE_NO_CAP);
}

/* Ends the limits of all links, and this entry's shares of them.  */
static void
clear_links (struct steer *steer)
{
  for (apr_hash_index_t *at = apr_hash_first (NULL, steer->links); at;
       at = apr_hash_next (at))
    {
      void *state;
      apr_hash_this (at, NULL, NULL, &state);
      struct steer_link *link = state;
      link->is_in_force = false;
      link->was_throttled = false;
      share_pool_set_base (link->rate_pool, 0);
    }
}

/* Divides both directions of every link among the entries of its two
   regions.  */
static void
divide_links (struct steer *steer)
{
  clear_links (steer);
  SNAPSHOT_EACH (steer->snapshot, KIND_LINK, const struct region_link, l)
  {
    struct positions positions = positions_among (steer, &l->between, false);
    for (int direction = 0; direction < 2; direction++)
      {
        char name[STEER_GROUP_MAX_BYTES];
        int size = snprintf (name, sizeof name, "%.*s>%.*s",
                             STR_ARGS (l->between.items[direction]),
                             STR_ARGS (l->between.items[!direction]));
        struct steer_link *link = find_or_add (
            steer, steer->links, str_view (name, (size_t)size), sizeof *link);
        if (link->name.size == 0)
          link->name = str_dup (steer->pool, str_view (name, (size_t)size));
        link->rate_pool = share_pool_get (
            steer->shares,
            &(struct share_cap){ .kind = SHARE_LINK, .name = link->name });
        link->is_in_force = true;
        set_base_share (link->rate_pool, l->bytes_per_second, positions,
                        link->name);
      }
  }
}

static void
divide_caps (struct steer *steer)
{
  divide_links (steer);
  steer->positions = positions_among (steer, NULL, false);
  SNAPSHOT_EACH (steer->snapshot, KIND_REGION, const struct region, r)
  {
    struct region_state *state
        = steer_find_state (steer->regions, r->head.name);
    struct str name = r->head.name;
    state->positions
        = positions_among (steer, &(struct str_list){ &name, 1 }, true);
  }
  SNAPSHOT_EACH (steer->snapshot, KIND_UPSTREAM, const struct upstream, u)
  {
    struct upstream_state *state
        = steer_find_state (steer->upstreams, u->head.name);
    state->slot_count = weighted_slot_count (u);
    set_base_share (state->slot_pool, state->slot_count,
                    state->region->positions, u->head.name);
    /* The new division changes what the ramp leaves to this entry: it
       withholds all until steer_update_ramp has computed that anew.  */
    if (state->is_ramping)
      share_pool_set_withheld (state->slot_pool, state->slot_count);
  }
  SNAPSHOT_EACH (steer->snapshot, KIND_SERVICE, const struct service, s)
  {
    set_call_base_share (steer_find_service (steer, s)->call_pool, s->call_cap,
                         steer->positions, s->head.name);
  }
  SNAPSHOT_EACH (steer->snapshot, KIND_REGION, const struct region, r)
  {
    struct region_state *state
        = steer_find_state (steer->regions, r->head.name);
    set_call_base_share (state->call_pool, r->call_cap, state->positions,
                         r->head.name);
  }
}

static void
clear_specs (struct steer *steer)
{
  void *state;
  for (apr_hash_index_t *at = apr_hash_first (NULL, steer->upstreams); at;
       at = apr_hash_next (at))
    {
      apr_hash_this (at, NULL, NULL, &state);
      struct upstream_state *upstream = state;
      upstream->spec = NULL;
      share_pool_set_base (upstream->slot_pool, 0);
    }
}

static void
update_regions (struct steer *steer)
{
  const struct region *self
      = snapshot_find (steer->snapshot, KIND_REGION, steer->desc.region);
  SNAPSHOT_EACH (steer->snapshot, KIND_REGION, const struct region, r)
  {
    struct region_state *state
        = find_or_add (steer, steer->regions, r->head.name, sizeof *state);
    const struct region_link *link
        = self ? snapshot_find_link (steer->snapshot, self, r) : NULL;
    state->spec = r;
    state->call_pool = share_pool_get (
        steer->shares, &(struct share_cap){ .kind = SHARE_REGION,
                                            .name = r->head.name,
                                            .region = r->head.name });
    if (r == self)
      state->rtt_us = 0;
    else
      state->rtt_us = link ? 2000 * link->latency_ms : DEFAULT_RTT_US;
  }
}

static void
update_services (struct steer *steer)
{
  size_t max_count = steer->snapshot->lists[KIND_UPSTREAM].count;
  SNAPSHOT_EACH (steer->snapshot, KIND_SERVICE, const struct service, s)
  {
    struct service_state *state
        = find_or_add (steer, steer->services, s->head.name, sizeof *state);
    state->spec = s;
    state->call_pool = share_pool_get (
        steer->shares,
        &(struct share_cap){ .kind = SHARE_SERVICE, .name = s->head.name });
    state->count = 0;
    state->local_count = 0;
    state->cached_at = 0;
    state->upstreams
        = apr_palloc (steer->list_pool, (max_count + 1) * sizeof (void *));
  }
}

static struct share_pool *
get_slot_pool (struct steer *steer, const struct upstream *upstream)
{
  char group[STEER_GROUP_MAX_BYTES];
  struct str region = upstream->zone->region->head.name;
  return share_pool_get (
      steer->shares,
      &(struct share_cap){ .kind = SHARE_SLOTS,
                           .name = upstream->head.name,
                           .group = steer_slot_group (
                               group, sizeof group,
                               upstream->group->service->head.name, region),
                           .region = region });
}

static void
add_candidate (struct service_state *service, struct upstream_state *upstream)
{
  size_t at = service->count++;
  if (upstream->region->rtt_us == 0)
    {
      service->upstreams[at] = service->upstreams[service->local_count];
      at = service->local_count++;
    }
  service->upstreams[at] = upstream;
}

/* IS_FIRST: no configuration was in force before.  */
static void
update_upstreams (struct steer *steer, bool is_first, apr_time_t now)
{
  SNAPSHOT_EACH (steer->snapshot, KIND_UPSTREAM, const struct upstream, u)
  {
    struct upstream_state *state
        = find_or_add (steer, steer->upstreams, u->head.name, sizeof *state);
    struct service_state *service
        = steer_find_service (steer, u->group->service);
    bool is_new = false;
    if (!str_equal (state->address, u->address))
      {
        memset (state, 0, sizeof *state);
        is_new = true;
        state->reported_at = now - STEER_REPORT_VALID_US;
        state->name = str_dup (steer->pool, u->head.name);
        state->address = str_dup (steer->pool, u->address);
      }
    state->spec = u;
    state->slot_pool = get_slot_pool (steer, u);
    state->service = service;
    state->region
        = steer_find_state (steer->regions, u->zone->region->head.name);
    add_candidate (service, state);
    /* Upstreams of the first configuration are taken to be warm.  */
    if (is_new && !is_first)
      steer_start_ramp (state, now);
  }
}

/* Ends the loans from and to processes that MEMBERSHIP, in versions after
   SINCE, has removed.  */
static void
end_loans_of_removed (struct steer *steer, int64_t since,
                      const struct membership *membership)
{
  for (size_t i = 0; membership && i < membership->count; i++)
    {
      const struct member_record *m = &membership->records[i];
      if (m->removed_version > since
          && m->removed_version <= membership->version)
        share_end_peer_loans (steer->shares, m->name, m->incarnation);
    }
}

/* public functions */

void *
steer_find_state (apr_hash_t *states, struct str name)
{
  return apr_hash_get (states, name.data, (apr_ssize_t)name.size);
}

struct service_state *
steer_find_service (const struct steer *steer, const struct service *service)
{
  return steer_find_state (steer->services, service->head.name);
}

struct str
steer_slot_group (char *buffer, size_t size, struct str service,
                  struct str region)
{
  int n = snprintf (buffer, size, "%.*s@%.*s", STR_ARGS (service),
                    STR_ARGS (region));
  return str_view (buffer, (size_t)n);
}

void
steer_update_ramp (struct upstream_state *state, apr_time_t now)
{
  if (!state->is_ramping)
    return;
  struct positions positions = state->region->positions;
  struct position position = positions.count > 0
                                 ? positions.items[positions.count - 1]
                                 : (struct position){ 0, 0 };
  apr_time_t ramp_us = state->spec->group->ramp_ms * 1000;
  apr_time_t age = now - state->ramp_started_at;
  if (age >= ramp_us || position.count == 0)
    {
      state->is_ramping = age < ramp_us;
      share_pool_set_withheld (state->slot_pool, 0);
      return;
    }
  uint64_t salt = name_salt (state->name);
  int64_t allowed = state->slot_count * age / ramp_us;
  int64_t own = steer_share_size (state->slot_count, position.index,
                                  position.count, salt);
  int64_t start = steer_share_start (state->slot_count, position.index,
                                     position.count, salt);
  int64_t usable = (allowed > 0 ? allowed : 1) - start;
  if (usable < 0)
    usable = 0;
  share_pool_set_withheld (state->slot_pool, usable < own ? own - usable : 0);
}

void
steer_start_ramp (struct upstream_state *state, apr_time_t now)
{
  state->ramp_started_at = now;
  state->is_ramping = true;
  steer_update_ramp (state, now);
}

int64_t
steer_max_idle_connections (const struct steer *steer,
                            const struct upstream *upstream)
{
  const struct upstream_state *state
      = steer_find_state (steer->upstreams, upstream->head.name);
  const struct group *group = upstream->group;
  int64_t members = 1;
  int64_t limit = INT64_MAX;
  for (size_t i = 0; i < steer->positions.count; i++)
    if ((int64_t)steer->positions.items[i].count > members)
      members = (int64_t)steer->positions.items[i].count;
  int64_t spare = group->connections - group->slots - members;
  for (size_t i = 0; state && i < state->region->positions.count; i++)
    {
      int64_t owners = (int64_t)state->region->positions.items[i].count;
      int64_t share = owners > 0 && spare > 0 ? spare / owners : 0;
      limit = share < limit ? share : limit;
    }
  return limit == INT64_MAX ? 0 : limit;
}

bool
steer_upstream_is_available (const struct upstream_state *state,
                             apr_time_t now)
{
  return !state->leaving_sources && now >= state->ejected_until && state->spec
         && state->slot_count > 0;
}

int64_t
steer_upstream_limit (const struct upstream_state *state, apr_time_t now)
{
  return steer_upstream_is_available (state, now)
             ? share_pool_limit (state->slot_pool, now)
             : 0;
}

int64_t
steer_service_limit (struct service_state *service, apr_time_t now)
{
  if (service->cached_at > 0 && now - service->cached_at < LIMIT_CACHE_US)
    return service->cached_limit;
  int64_t slots = 0;
  for (size_t i = 0; i < service->count; i++)
    slots += steer_upstream_limit (service->upstreams[i], now);
  service->cached_limit = slots;
  service->cached_at = now;
  return slots;
}

void
steer_apply (struct steer *steer, struct snapshot *snapshot, apr_time_t now)
{
  struct snapshot *old = steer->snapshot;
  if (steer->list_pool)
    apr_pool_destroy (steer->list_pool);
  apr_pool_create (&steer->list_pool, steer->pool);
  steer->snapshot = snapshot_ref (snapshot);
  clear_specs (steer);
  update_regions (steer);
  update_services (steer);
  update_upstreams (steer, old == NULL || old->version == 0, now);
  divide_caps (steer);
  SNAPSHOT_EACH (snapshot, KIND_UPSTREAM, const struct upstream, u)
  {
    steer_set_leaving (steer, u->head.name, LEAVING_DRAIN, u->drained, now);
  }
  snapshot_unref (old);
}

void
steer_set_membership (struct steer *steer, struct membership *membership,
                      int64_t min_confirmed)
{
  struct membership *old = steer->membership;
  steer->membership = membership ? membership_ref (membership) : NULL;
  steer->min_confirmed_version = min_confirmed;
  end_loans_of_removed (steer, old ? old->version : 0, membership);
  membership_unref (old);
  if (steer->division_pool)
    apr_pool_destroy (steer->division_pool);
  apr_pool_create (&steer->division_pool, steer->pool);
  update_versions_in_force (steer);
  if (steer->snapshot)
    divide_caps (steer);
}

int64_t
steer_share_start (int64_t cap, size_t index, size_t count, uint64_t salt)
{
  int64_t n = (int64_t)count;
  int64_t remainder = cap % n;
  int64_t place = (int64_t)((index + salt % count) % count);
  return cap / n * place + (place < remainder ? place : remainder);
}

int64_t
steer_share_size (int64_t cap, size_t index, size_t count, uint64_t salt)
{
  int64_t n = (int64_t)count;
  int64_t remainder = cap % n;
  int64_t place = (int64_t)((index + salt % count) % count);
  return cap / n + (place < remainder ? 1 : 0);
}
