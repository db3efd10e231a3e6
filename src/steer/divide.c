#include "steer/internal.h"

#include <stdio.h>
#include <string.h>
#include <xxhash.h>

/* constants */

enum
{
  DISTANCE_DEFAULT_US = 20000
};

/* The slots of a service are counted anew after this.  */
#define RECOUNT_US INT64_C (2000)

/* private functions */

static uint64_t
salt_of (struct str name)
{
  return XXH3_64bits (name.data, name.size);
}

static int64_t
weight_of (const struct service *service, const struct region *region,
           int64_t *most)
{
  *most = 1;
  if (!service->policy || service->policy->regions.count == 0)
    return 1;
  int64_t weight = 0;
  const struct region_weight *w = service->policy->regions.items;
  for (size_t i = 0; i < service->policy->regions.count; i++)
    {
      if (w[i].weight > *most)
        *most = w[i].weight;
      if (str_equal (w[i].region, region->head.name))
        weight = w[i].weight;
    }
  return weight;
}

/* Returns UPSTREAM's slots under the policy.  */
static int64_t
slots_of (const struct upstream *upstream)
{
  int64_t most;
  int64_t weight
      = weight_of (upstream->group->service, upstream->zone->region, &most);
  return (upstream->group->slots * weight + most - 1) / most;
}

/* Returns the state called NAME, a new one of SIZE zero bytes at need.  */
static void *
find_or_add (struct steer *steer, apr_hash_t *states, struct str name,
             size_t size)
{
  void *state = steer_find (states, name);
  if (state)
    return state;
  state = apr_pcalloc (steer->pool, size);
  struct str key = str_dup (steer->pool, name);
  apr_hash_set (states, key.data, (apr_ssize_t)key.size, state);
  return state;
}

static void
set_base (struct share_pool *pool, int64_t cap, struct seat seat,
          struct str name)
{
  share_pool_set_base (pool, seat.count > 0 ? steer_share_of (
                                 cap, seat.index, seat.count, salt_of (name))
                                            : 0);
}

/* Returns this entry's seat among the members of REGION; an empty name means
   all members.  */
static struct seat
seat_in (const struct steer *steer, struct str region)
{
  struct seat seat = { 0, 0 };
  bool is_member = false;
  for (size_t i = 0; i < steer->member_count; i++)
    {
      if (region.size > 0 && !str_equal (steer->members[i].region, region))
        continue;
      if (i == steer->self)
        {
          is_member = true;
          seat.index = seat.count;
        }
      seat.count++;
    }
  if (seat.count == 0 && region.size > 0)
    return seat_in (steer, STR (""));
  return is_member ? seat : (struct seat){ 0, 0 };
}

/* Returns this entry's seat among the members of either region.  */
static struct seat
seat_at_link (const struct steer *steer, const struct link_spec *link)
{
  struct seat seat = { 0, 0 };
  bool is_member = false;
  for (size_t i = 0; i < steer->member_count; i++)
    {
      if (!str_list_has (&link->between, steer->members[i].region))
        continue;
      if (i == steer->self)
        {
          is_member = true;
          seat.index = seat.count;
        }
      seat.count++;
    }
  return is_member ? seat : (struct seat){ 0, 0 };
}

/* Divides both ways of every link among the entries of its two regions.  */
static void
set_links (struct steer *steer)
{
  SNAPSHOT_EACH (steer->snapshot, KIND_LINK, const struct link_spec, l)
  {
    struct seat seat = seat_at_link (steer, l);
    for (int way = 0; way < 2; way++)
      {
        char name[STEER_GROUP_MAX_BYTES];
        int size = snprintf (name, sizeof name, "%.*s>%.*s",
                             STR_ARGS (l->between.items[way]),
                             STR_ARGS (l->between.items[!way]));
        struct steer_link *link = find_or_add (
            steer, steer->links, str_view (name, (size_t)size), sizeof *link);
        if (link->name.size == 0)
          link->name = str_dup (steer->pool, str_view (name, (size_t)size));
        link->bytes = share_pool_get (
            steer->share,
            &(struct share_cap){ .kind = SHARE_LINK, .name = link->name });
        set_base (link->bytes, l->bytes_per_second, seat, link->name);
      }
  }
}

static void
set_limits (struct steer *steer)
{
  set_links (steer);
  steer->seat = seat_in (steer, STR (""));
  SNAPSHOT_EACH (steer->snapshot, KIND_REGION, const struct region, r)
  {
    struct region_state *state = steer_find (steer->regions, r->head.name);
    state->seat = seat_in (steer, r->head.name);
  }
  SNAPSHOT_EACH (steer->snapshot, KIND_UPSTREAM, const struct upstream, u)
  {
    struct upstream_state *state = steer_find (steer->upstreams, u->head.name);
    state->slot_count = slots_of (u);
    set_base (state->slots, state->slot_count, state->region->seat,
              u->head.name);
    /* Nothing is used until the next update of the ramp has counted what the
       new division leaves open.  */
    if (state->is_ramping)
      share_pool_set_held (state->slots, state->slot_count);
  }
  SNAPSHOT_EACH (steer->snapshot, KIND_SERVICE, const struct service, s)
  {
    set_base (steer_service (steer, s)->calls, s->call_cap, steer->seat,
              s->head.name);
  }
  SNAPSHOT_EACH (steer->snapshot, KIND_REGION, const struct region, r)
  {
    struct region_state *state = steer_find (steer->regions, r->head.name);
    set_base (state->calls, r->call_cap, state->seat, r->head.name);
  }
}

static void
forget_specs (struct steer *steer)
{
  void *state;
  for (apr_hash_index_t *at = apr_hash_first (NULL, steer->upstreams); at;
       at = apr_hash_next (at))
    {
      apr_hash_this (at, NULL, NULL, &state);
      struct upstream_state *upstream = state;
      upstream->spec = NULL;
      share_pool_set_base (upstream->slots, 0);
    }
}

static void
take_regions (struct steer *steer)
{
  const struct region *self
      = snapshot_find (steer->snapshot, KIND_REGION, steer->desc.region);
  SNAPSHOT_EACH (steer->snapshot, KIND_REGION, const struct region, r)
  {
    struct region_state *state
        = find_or_add (steer, steer->regions, r->head.name, sizeof *state);
    const struct link_spec *link
        = self ? snapshot_link (steer->snapshot, self, r) : NULL;
    state->spec = r;
    state->calls = share_pool_get (
        steer->share, &(struct share_cap){ .kind = SHARE_REGION,
                                           .name = r->head.name,
                                           .region = r->head.name });
    if (r == self)
      state->distance_us = 0;
    else
      state->distance_us
          = link ? 2000 * link->latency_ms : DISTANCE_DEFAULT_US;
  }
}

static void
take_services (struct steer *steer)
{
  size_t most = steer->snapshot->lists[KIND_UPSTREAM].count;
  SNAPSHOT_EACH (steer->snapshot, KIND_SERVICE, const struct service, s)
  {
    struct service_state *state
        = find_or_add (steer, steer->services, s->head.name, sizeof *state);
    state->spec = s;
    state->calls = share_pool_get (
        steer->share,
        &(struct share_cap){ .kind = SHARE_SERVICE, .name = s->head.name });
    state->count = 0;
    state->near_count = 0;
    state->counted_at = 0;
    state->upstreams = apr_palloc (steer->lists, (most + 1) * sizeof (void *));
  }
}

static struct share_pool *
slot_pool (struct steer *steer, const struct upstream *upstream)
{
  char group[STEER_GROUP_MAX_BYTES];
  struct str region = upstream->zone->region->head.name;
  return share_pool_get (
      steer->share,
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
  if (upstream->region->distance_us == 0)
    {
      service->upstreams[at] = service->upstreams[service->near_count];
      at = service->near_count++;
    }
  service->upstreams[at] = upstream;
}

static void
take_upstreams (struct steer *steer, bool is_first, apr_time_t now)
{
  SNAPSHOT_EACH (steer->snapshot, KIND_UPSTREAM, const struct upstream, u)
  {
    struct upstream_state *state
        = find_or_add (steer, steer->upstreams, u->head.name, sizeof *state);
    struct service_state *service = steer_service (steer, u->group->service);
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
    state->slots = slot_pool (steer, u);
    state->service = service;
    state->region = steer_find (steer->regions, u->zone->region->head.name);
    add_candidate (service, state);
    /* Upstreams of the first configuration are not cold.  */
    if (is_new && !is_first)
      steer_start_ramp (state, now);
  }
}

/* public functions */

void *
steer_find (apr_hash_t *states, struct str name)
{
  return apr_hash_get (states, name.data, (apr_ssize_t)name.size);
}

struct service_state *
steer_service (const struct steer *steer, const struct service *service)
{
  return steer_find (steer->services, service->head.name);
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
  struct seat seat = state->region->seat;
  apr_time_t ramp_us = state->spec->group->ramp_ms * 1000;
  apr_time_t age = now - state->warm_from;
  if (age >= ramp_us || seat.count == 0)
    {
      state->is_ramping = age < ramp_us;
      share_pool_set_held (state->slots, 0);
      return;
    }
  uint64_t salt = salt_of (state->name);
  int64_t open = state->slot_count * age / ramp_us;
  int64_t own
      = steer_share_of (state->slot_count, seat.index, seat.count, salt);
  int64_t first
      = steer_share_start (state->slot_count, seat.index, seat.count, salt);
  int64_t usable = (open > 0 ? open : 1) - first;
  if (usable < 0)
    usable = 0;
  share_pool_set_held (state->slots, usable < own ? own - usable : 0);
}

void
steer_start_ramp (struct upstream_state *state, apr_time_t now)
{
  state->warm_from = now;
  state->is_ramping = true;
  steer_update_ramp (state, now);
}

bool
steer_is_available (const struct upstream_state *state, apr_time_t now)
{
  return !state->leaving && now >= state->ejected_until && state->spec
         && state->slot_count > 0;
}

int64_t
steer_limit (const struct upstream_state *state, apr_time_t now)
{
  return steer_is_available (state, now) ? share_pool_limit (state->slots, now)
                                         : 0;
}

int64_t
steer_total_limit (struct service_state *service, apr_time_t now)
{
  if (service->counted_at > 0 && now - service->counted_at < RECOUNT_US)
    return service->counted_limit;
  int64_t slots = 0;
  for (size_t i = 0; i < service->count; i++)
    slots += steer_limit (service->upstreams[i], now);
  service->counted_limit = slots;
  service->counted_at = now;
  return slots;
}

void
steer_apply (struct steer *steer, struct snapshot *snapshot, apr_time_t now)
{
  struct snapshot *old = steer->snapshot;
  if (steer->lists)
    apr_pool_destroy (steer->lists);
  apr_pool_create (&steer->lists, steer->pool);
  steer->snapshot = snapshot_ref (snapshot);
  forget_specs (steer);
  take_regions (steer);
  take_services (steer);
  take_upstreams (steer, old == NULL || old->version == 0, now);
  set_limits (steer);
  SNAPSHOT_EACH (snapshot, KIND_UPSTREAM, const struct upstream, u)
  {
    steer_set_leaving (steer, u->head.name, LEAVING_DRAIN, u->drained, now);
  }
  snapshot_unref (old);
}

void
steer_set_members (struct steer *steer, const struct steer_member *members,
                   size_t count, size_t self)
{
  if (steer->member_pool)
    apr_pool_destroy (steer->member_pool);
  apr_pool_create (&steer->member_pool, steer->pool);
  steer->members
      = apr_palloc (steer->member_pool, (count + 1) * sizeof *members);
  for (size_t i = 0; i < count; i++)
    steer->members[i]
        = (struct steer_member){ str_dup (steer->member_pool, members[i].name),
                                 str_dup (steer->member_pool,
                                          members[i].region) };
  steer->member_count = count;
  steer->self = self;
  if (steer->snapshot)
    set_limits (steer);
}

int64_t
steer_share_start (int64_t cap, size_t index, size_t count, uint64_t salt)
{
  int64_t n = (int64_t)count;
  int64_t rest = cap % n;
  int64_t place = (int64_t)((index + salt % count) % count);
  return cap / n * place + (place < rest ? place : rest);
}

int64_t
steer_share_of (int64_t cap, size_t index, size_t count, uint64_t salt)
{
  int64_t n = (int64_t)count;
  int64_t rest = cap % n;
  int64_t place = (int64_t)((index + salt % count) % count);
  return cap / n + (place < rest ? 1 : 0);
}
