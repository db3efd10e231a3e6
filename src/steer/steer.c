#include "steer/steer.h"

#include "base/random.h"
#include "steer/pace.h"

#include <stdio.h>
#include <string.h>
#include <xxhash.h>

/* types */

/* This entry's place in a division: the INDEX-th of COUNT; COUNT 0: none.  */
struct seat
{
  size_t index;
  size_t count;
};

/* States outlive configurations, so that tickets stay valid; `spec' is the
   resource in the snapshot last applied, or NULL once that is gone.  */

struct upstream_state
{
  const struct upstream *spec;
  struct service_state *service;
  struct region_state *region;
  struct str name;
  struct str address;
  struct share_pool *slots;
  int64_t slot_count;   /* of the whole upstream, under the policy */
  double response_us;   /* moving average; 0 before the first answer */
  apr_time_t probe_at;  /* a slow one may be tried again */
  apr_time_t warm_from; /* the ramp starts here */
  apr_time_t ejected_until;
  bool is_ramping;
  int failures; /* in a row */
  int overdue;  /* calls in progress that steer_overdue named */
  int leaving;
  int64_t reported_percent;
  apr_time_t reported_at;
};

struct service_state
{
  const struct service *spec;
  struct upstream_state **upstreams; /* those of the own region first */
  size_t count;
  size_t near_count;
  struct share_pool *calls;
  int64_t in_flight_long;
  int64_t in_flight_short;
  double short_peak; /* decays with each short call that ends */
  double service_us;
  double tail_us; /* HEDGE_QUANTILE of the response times */
};

struct steer_link
{
  struct share_pool *bytes; /* a second */
  struct pace pace;
  bool is_wanted; /* bytes had to wait since the last tick */
  struct str name;
};

struct region_state
{
  const struct region *spec;
  struct share_pool *calls;
  struct seat seat;       /* for what lies in this region */
  apr_time_t distance_us; /* there and back */
};

struct steer
{
  struct steer_desc desc;
  apr_pool_t *pool;
  apr_pool_t *lists; /* of the services' lists of upstreams */
  struct snapshot *snapshot;
  apr_hash_t *upstreams; /* states by name */
  apr_hash_t *services;
  apr_hash_t *regions;
  apr_hash_t *links; /* struct steer_link by "FROM>TO" */
  struct share *share;
  struct seat seat; /* among all entries */
  apr_pool_t *member_pool;
  struct steer_member *members;
  size_t member_count;
  size_t self;
  uint64_t random;
};

/* constants */

enum
{
  LINK_STEP_BYTES = 100000, /* a second, asked for at least */
  ENOUGH_FREE = 32, /* the best of so many free upstreams is good enough */
  EJECT_AFTER_FAILURES = 3,
  EJECT_FIRST_MS = 500,
  EJECT_LONGEST_MS = 15000,
  GROUP_MAX_BYTES = 160,
  WANT_REGIONS_MAX = 64,
  WANT_HEADROOM_SHIFT = 3, /* an 8th of what is used */
  DISTANCE_DEFAULT_US = 20000
};

/* Response time assumed before any is known.  */
#define USUAL_FIRST_US 1000.0
/* A slow upstream is tried again with one call after this.  */
#define PROBE_INTERVAL_US INT64_C (100000)
/* Delay of a hedge before any response time is known.  */
#define HEDGE_FIRST_US INT64_C (1000000)
#define REPORT_VALID_US INT64_C (10000000)

/* Weight of a new response time in the moving average.  */
#define RESPONSE_GAIN 0.3
/* The same for the average of a whole service.  */
#define SERVICE_GAIN 0.05
/* A free upstream is left alone if a busy one costs this many times less.  */
#define WAIT_ADVANTAGE 3.0
/* What short calls used at most of late, and so much more, is kept from long
   calls; the peak decays by this part of the difference a call.  */
#define SHORT_RESERVE 1.1
#define PEAK_DECAY 0.01
/* A call that takes longer than this part of the calls is hedged; the
   estimate moves by steps of this part of the mean.  */
#define HEDGE_QUANTILE 0.97
#define TAIL_STEP 0.05
/* A refusal or failure counts as an answer this many times as slow.  */
#define FAILURE_PENALTY 4.0

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

static void *
find (apr_hash_t *states, struct str name)
{
  return apr_hash_get (states, name.data, (apr_ssize_t)name.size);
}

/* Returns the state called NAME, a new one of SIZE zero bytes at need.  */
static void *
find_or_add (struct steer *steer, apr_hash_t *states, struct str name,
             size_t size)
{
  void *state = find (states, name);
  if (state)
    return state;
  state = apr_pcalloc (steer->pool, size);
  struct str key = str_dup (steer->pool, name);
  apr_hash_set (states, key.data, (apr_ssize_t)key.size, state);
  return state;
}

static struct service_state *
service_state (const struct steer *steer, const struct service *service)
{
  return find (steer->services, service->head.name);
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
        char name[GROUP_MAX_BYTES];
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
    struct region_state *state = find (steer->regions, r->head.name);
    state->seat = seat_in (steer, r->head.name);
  }
  SNAPSHOT_EACH (steer->snapshot, KIND_UPSTREAM, const struct upstream, u)
  {
    struct upstream_state *state = find (steer->upstreams, u->head.name);
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
    set_base (service_state (steer, s)->calls, s->call_cap, steer->seat,
              s->head.name);
  }
  SNAPSHOT_EACH (steer->snapshot, KIND_REGION, const struct region, r)
  {
    struct region_state *state = find (steer->regions, r->head.name);
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
    state->upstreams = apr_palloc (steer->lists, (most + 1) * sizeof (void *));
  }
}

/* Sets what of this entry's own slots is held back while the upstream warms
   up: over all entries, the slots in use grow with its age, at least one.
   Called late it holds back more than it need.  */
static void
update_ramp (struct upstream_state *state, apr_time_t now)
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

static void
start_ramp (struct upstream_state *state, apr_time_t now)
{
  state->warm_from = now;
  state->is_ramping = true;
  update_ramp (state, now);
}

/* Returns the name of the group of SERVICE's slots in REGION.  */
static struct str
slot_group (char *buffer, size_t size, struct str service, struct str region)
{
  int n = snprintf (buffer, size, "%.*s@%.*s", STR_ARGS (service),
                    STR_ARGS (region));
  return str_view (buffer, (size_t)n);
}

static struct share_pool *
slot_pool (struct steer *steer, const struct upstream *upstream)
{
  char group[GROUP_MAX_BYTES];
  struct str region = upstream->zone->region->head.name;
  return share_pool_get (
      steer->share,
      &(struct share_cap){
          .kind = SHARE_SLOTS,
          .name = upstream->head.name,
          .group = slot_group (group, sizeof group,
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
    struct service_state *service = service_state (steer, u->group->service);
    bool is_new = false;
    if (!str_equal (state->address, u->address))
      {
        memset (state, 0, sizeof *state);
        is_new = true;
        state->reported_at = now - REPORT_VALID_US;
        state->name = str_dup (steer->pool, u->head.name);
        state->address = str_dup (steer->pool, u->address);
      }
    state->spec = u;
    state->slots = slot_pool (steer, u);
    state->service = service;
    state->region = find (steer->regions, u->zone->region->head.name);
    add_candidate (service, state);
    /* Upstreams of the first configuration are not cold.  */
    if (is_new && !is_first)
      start_ramp (state, now);
  }
}

/* Returns whether the upstream takes new calls at all.  */
static bool
is_available (const struct upstream_state *state, apr_time_t now)
{
  return !state->leaving && now >= state->ejected_until && state->spec
         && state->slot_count > 0;
}

/* Returns the calls that the upstream may have from this entry now: its
   share of the slots, none while it leaves or is ejected.  */
static int64_t
limit_of (const struct upstream_state *state, apr_time_t now)
{
  return is_available (state, now) ? share_pool_limit (state->slots, now) : 0;
}

static int64_t
total_limit (const struct service_state *service, apr_time_t now)
{
  int64_t slots = 0;
  for (size_t i = 0; i < service->count; i++)
    slots += limit_of (service->upstreams[i], now);
  return slots;
}

static double
expected_response (const struct service_state *service,
                   const struct upstream_state *state)
{
  double usual
      = service->service_us > 0 ? service->service_us : USUAL_FIRST_US;
  return state->response_us > 0 ? state->response_us : usual;
}

/* Returns whether calls had better wait than go to UPSTREAM.  */
static bool
is_slow (const struct service_state *service,
         const struct upstream_state *upstream)
{
  return service->service_us > 0
         && expected_response (service, upstream)
                > WAIT_ADVANTAGE * service->service_us;
}

/* Returns whether a slow upstream is to be tried again with one call.  */
static bool
is_probe_due (const struct upstream_state *upstream, apr_time_t now)
{
  return now >= upstream->probe_at && share_pool_used (upstream->slots) == 0;
}

/* Returns the cost of sending a call there; lower is better.  */
static double
cost_of (struct steer *steer, const struct upstream_state *state,
         apr_time_t now)
{
  double cost = expected_response (state->service, state);
  if (is_slow (state->service, state) && is_probe_due (state, now))
    cost = state->service->service_us;
  if (now - state->reported_at < REPORT_VALID_US
      && state->reported_percent > 100)
    cost *= (double)state->reported_percent / 100.0;
  /* Spreads calls over upstreams that are alike.  */
  cost *= 1.0 + 0.1 * (double)(random_next (&steer->random) & 1023) / 1024.0;
  return cost + (double)state->region->distance_us;
}

static bool
is_excluded (const struct steer_request *request, struct str upstream)
{
  for (size_t i = 0; i < request->excluded_count; i++)
    if (str_equal (request->excluded[i], upstream))
      return true;
  return false;
}

/* Returns whether long calls hold as many slots as they may: the service's
   percentage, and no slot that the short calls of late would need.  */
static bool
long_slots_used (const struct service_state *service,
                 const struct steer_request *request)
{
  if (request->call_class != CLASS_LONG)
    return false;
  int64_t total = total_limit (service, request->now);
  int64_t limit = total * request->service->long_slots_percent / 100;
  int64_t reserve = (int64_t)(service->short_peak * SHORT_RESERVE) + 1;
  if (total - reserve < limit)
    limit = total - reserve;
  return service->in_flight_long >= (limit > 0 ? limit : 1);
}

static bool
service_is_capped (const struct service_state *service, apr_time_t now)
{
  return service->spec->call_cap > 0
         && share_pool_free (service->calls, now) == 0;
}

static bool
region_is_capped (const struct region_state *region, apr_time_t now)
{
  return region->spec->call_cap > 0
         && share_pool_free (region->calls, now) == 0;
}

/* Returns whether it is better to wait for an upstream of cost FULL than to
   use a free one of cost FREE now.  The free one is slow, or far away.  */
static bool
better_to_wait (const struct steer *steer, const struct steer_request *request,
                double free_cost, double full_cost, apr_time_t distance_us)
{
  const struct policy *policy = request->service->policy;
  if (distance_us > 0 && policy && policy->spill == SPILL_NONE)
    return true;
  apr_time_t wait = steer_expected_wait (steer, request->service,
                                         request->waiting, request->now);
  return wait > 0 && free_cost > WAIT_ADVANTAGE * full_cost + (double)wait;
}

static void
eject (struct upstream_state *state, apr_time_t now)
{
  int doublings = state->failures - EJECT_AFTER_FAILURES;
  int64_t ms = EJECT_FIRST_MS;
  while (doublings-- > 0 && ms < EJECT_LONGEST_MS)
    ms *= 2;
  state->ejected_until = now + ms * 1000;
}

/* Returns the I-th upstream to look at: the own region's from START on, then
   the others.  */
static const struct upstream_state *
candidate_at (const struct service_state *service, size_t start, size_t i)
{
  if (i >= service->near_count)
    return service->upstreams[i];
  size_t at = start + i;
  return service
      ->upstreams[at < service->near_count ? at : at - service->near_count];
}

/* Takes one response time into the averages.  */
static void
learn (const struct steer_ticket *ticket, enum steer_result result,
       apr_time_t elapsed_us, apr_time_t now)
{
  struct upstream_state *state = ticket->upstream;
  struct service_state *service = ticket->service;
  double before = expected_response (service, state);
  double sample = (double)(elapsed_us - ticket->region->distance_us);
  if (sample < 1)
    sample = 1;
  if (result != RESULT_ANSWERED)
    sample = FAILURE_PENALTY * (sample > before ? sample : before);
  else if (ticket->call_class == CLASS_LONG)
    return;
  /* One answer at the usual pace ends a slow spell.  */
  bool recovered = is_slow (service, state)
                   && sample < WAIT_ADVANTAGE * service->service_us;
  state->response_us = state->response_us <= 0 || recovered
                           ? sample
                           : before + RESPONSE_GAIN * (sample - before);
  if (is_slow (service, state))
    state->probe_at = now + PROBE_INTERVAL_US;
  if (result != RESULT_ANSWERED)
    return;
  double step = service->service_us * TAIL_STEP;
  if (service->tail_us <= 0)
    service->tail_us = 3 * sample;
  else if (sample > service->tail_us)
    service->tail_us += step * HEDGE_QUANTILE;
  else
    service->tail_us -= step * (1 - HEDGE_QUANTILE);
  double gain = service->service_us > 0 ? SERVICE_GAIN : 1.0;
  service->service_us += gain * (sample - service->service_us);
}

/* Wants slots of SERVICE in one region: in its own region, so that a part of
   what is used is always free; elsewhere, for the calls that would wait
   longer here than the way there takes.  */
static void
want_slots (struct steer *steer, const struct service_state *service,
            struct region_state *region, size_t waiting, apr_time_t now)
{
  char group[GROUP_MAX_BYTES];
  int64_t used = 0;
  int64_t useful = 0;
  int64_t missing = 0;
  apr_time_t wait = steer_expected_wait (steer, service->spec, waiting, now);
  for (size_t i = 0; i < service->count; i++)
    {
      const struct upstream_state *u = service->upstreams[i];
      if (u->region != region)
        continue;
      used += share_pool_used (u->slots);
      useful += is_slow (service, u) ? share_pool_used (u->slots)
                                     : limit_of (u, now);
    }
  if (region->distance_us == 0)
    missing
        = (int64_t)waiting + used + (used >> WANT_HEADROOM_SHIFT) + 1 - useful;
  else if (wait > region->distance_us || (wait == 0 && waiting > 0))
    missing = (int64_t)waiting + used - useful;
  if (missing > 0 && (waiting > 0 || used > 0))
    share_want (steer->share, SHARE_SLOTS,
                slot_group (group, sizeof group, service->spec->head.name,
                            region->spec->head.name),
                missing);
  if (waiting > 0 && region_is_capped (region, now))
    share_want (steer->share, SHARE_REGION, region->spec->head.name,
                (int64_t)waiting);
}

/* public functions */

struct steer *
steer_create (apr_pool_t *pool, const struct steer_desc *desc)
{
  struct steer *steer = apr_pcalloc (pool, sizeof *steer);
  steer->pool = pool;
  steer->desc = *desc;
  steer->random = desc->seed ? desc->seed : RANDOM_DEFAULT_SEED;
  steer->share = share_create (pool, &desc->share);
  steer_set_members (steer, &(struct steer_member){ .region = desc->region },
                     1, 0);
  steer->upstreams = apr_hash_make (pool);
  steer->services = apr_hash_make (pool);
  steer->regions = apr_hash_make (pool);
  steer->links = apr_hash_make (pool);
  return steer;
}

void
steer_destroy (struct steer *steer)
{
  if (!steer)
    return;
  snapshot_unref (steer->snapshot);
  share_destroy (steer->share);
  if (steer->lists)
    apr_pool_destroy (steer->lists);
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

struct steer_choice
steer_choose (struct steer *steer, const struct steer_request *request)
{
  struct steer_choice choice = { STEER_NOWHERE, NULL };
  struct service_state *service = service_state (steer, request->service);
  apr_time_t now = request->now;
  double best = 0;
  double best_full = 0; /* of those without a free slot */
  apr_time_t distance = 0;
  bool capped = service_is_capped (service, now);
  bool long_full = long_slots_used (service, request);
  size_t start = service->near_count > ENOUGH_FREE
                     ? random_next (&steer->random) % service->near_count
                     : 0;
  size_t free_seen = 0;
  for (size_t i = 0; i < service->count && free_seen < ENOUGH_FREE; i++)
    {
      const struct upstream_state *u = candidate_at (service, start, i);
      if (!is_available (u, now) || is_excluded (request, u->name))
        continue;
      if (choice.verdict == STEER_NOWHERE)
        choice.verdict = STEER_WAIT;
      if (capped || region_is_capped (u->region, now))
        {
          if (choice.verdict != STEER_CHOSEN)
            choice.verdict = STEER_CAPPED;
          continue;
        }
      double cost = cost_of (steer, u, now);
      bool full = long_full || share_pool_free (u->slots, now) == 0;
      if (full && (best_full == 0 || cost < best_full))
        best_full = cost;
      free_seen += !full;
      if (full || (choice.verdict == STEER_CHOSEN && cost >= best))
        continue;
      best = cost;
      distance = u->region->distance_us;
      choice.verdict = STEER_CHOSEN;
      choice.upstream = u->spec;
    }
  if (choice.verdict == STEER_CHOSEN && best_full > 0
      && better_to_wait (steer, request, best, best_full, distance))
    choice.verdict = STEER_WAIT;
  return choice;
}

struct steer_ticket
steer_begin (struct steer *steer, const struct upstream *upstream,
             enum call_class call_class)
{
  struct upstream_state *state = find (steer->upstreams, upstream->head.name);
  share_pool_use (state->slots, 1);
  share_pool_use (state->region->calls, 1);
  share_pool_use (state->service->calls, 1);
  struct service_state *service = state->service;
  if (call_class == CLASS_LONG)
    service->in_flight_long++;
  else if ((double)++service->in_flight_short > service->short_peak)
    service->short_peak = (double)service->in_flight_short;
  return (struct steer_ticket){ state, state->service, state->region,
                                call_class, false };
}

void
steer_end (struct steer *steer, struct steer_ticket *ticket,
           enum steer_result result, apr_time_t elapsed_us, apr_time_t now)
{
  (void)steer;
  struct upstream_state *state = ticket->upstream;
  if (ticket->is_overdue)
    state->overdue--;
  share_pool_release (state->slots, 1);
  share_pool_release (ticket->region->calls, 1);
  share_pool_release (ticket->service->calls, 1);
  if (ticket->call_class == CLASS_LONG)
    ticket->service->in_flight_long--;
  else
    {
      ticket->service->in_flight_short--;
      ticket->service->short_peak
          -= PEAK_DECAY
             * (ticket->service->short_peak
                - (double)ticket->service->in_flight_short);
    }
  if (result != RESULT_CANCELLED)
    learn (ticket, result, elapsed_us, now);
  if (result == RESULT_FAILED && ++state->failures >= EJECT_AFTER_FAILURES)
    eject (state, now);
  if (result == RESULT_ANSWERED)
    state->failures = 0;
  ticket->upstream = NULL;
}

void
steer_set_leaving (struct steer *steer, struct str upstream,
                   enum leaving_source source, bool leaving, apr_time_t now)
{
  struct upstream_state *state = find (steer->upstreams, upstream);
  if (!state)
    return;
  bool was_leaving = state->leaving != 0;
  if (leaving)
    state->leaving |= (int)source;
  else
    state->leaving &= ~(int)source;
  if (was_leaving && !state->leaving && state->spec)
    start_ramp (state, now);
}

void
steer_report (struct steer *steer, struct str upstream, int64_t percent,
              apr_time_t now)
{
  struct upstream_state *state = find (steer->upstreams, upstream);
  if (!state)
    return;
  state->reported_percent = percent;
  state->reported_at = now;
}

void
steer_overdue (struct steer *steer, struct steer_ticket *ticket,
               apr_time_t elapsed_us, apr_time_t now)
{
  (void)steer;
  struct upstream_state *state = ticket->upstream;
  double least = 2.0 * (double)(elapsed_us - ticket->region->distance_us);
  if (ticket->is_overdue)
    return;
  ticket->is_overdue = true;
  /* One late answer is chance; two at a time are not.  */
  if (++state->overdue < 2)
    return;
  if (state->response_us < least)
    state->response_us = least;
  state->probe_at = now + PROBE_INTERVAL_US;
}

apr_time_t
steer_hedge_delay (const struct steer *steer, const struct service *service,
                   const struct upstream *upstream)
{
  const struct service_state *state = service_state (steer, service);
  const struct upstream_state *u
      = find (steer->upstreams, upstream->head.name);
  if (state->tail_us <= 0)
    return HEDGE_FIRST_US;
  return (apr_time_t)state->tail_us + (u ? u->region->distance_us : 0);
}

struct steer_view
steer_query (const struct steer *steer, struct str upstream, apr_time_t now)
{
  const struct upstream_state *state = find (steer->upstreams, upstream);
  if (!state)
    return (struct steer_view){ 0 };
  return (struct steer_view){
    .in_flight = share_pool_used (state->slots),
    .limit = limit_of (state, now),
    .response_us = (int64_t)state->response_us,
    .leaving = state->leaving,
    .ejected = now < state->ejected_until,
  };
}

apr_time_t
steer_expected_wait (const struct steer *steer, const struct service *service,
                     size_t ahead, apr_time_t now)
{
  const struct service_state *state = service_state (steer, service);
  int64_t slots = total_limit (state, now);
  if (slots == 0)
    return 0;
  return (apr_time_t)(state->service_us * (double)(ahead + 1) / (double)slots);
}

struct steer_link *
steer_link (struct steer *steer, struct str from, struct str to)
{
  char name[GROUP_MAX_BYTES];
  int size = snprintf (name, sizeof name, "%.*s>%.*s", STR_ARGS (from),
                       STR_ARGS (to));
  return find (steer->links, str_view (name, (size_t)size));
}

size_t
steer_link_take (struct steer_link *link, size_t want, apr_time_t now)
{
  int64_t rate = share_pool_limit (link->bytes, now);
  size_t taken = pace_take (&link->pace, rate > 0 ? rate : 0, want, now);
  link->is_wanted |= taken < want;
  return taken;
}

void
steer_link_debit (struct steer_link *link, size_t bytes, apr_time_t now)
{
  int64_t rate = share_pool_limit (link->bytes, now);
  pace_debit (&link->pace, rate > 0 ? rate : 0, bytes, now);
}

void
steer_want_links (struct steer *steer, apr_time_t now)
{
  for (apr_hash_index_t *at = apr_hash_first (NULL, steer->links); at;
       at = apr_hash_next (at))
    {
      void *value;
      apr_hash_this (at, NULL, NULL, &value);
      struct steer_link *link = value;
      int64_t limit = share_pool_limit (link->bytes, now);
      /* What is in use is known only as all or little.  */
      share_pool_use (link->bytes, (link->is_wanted ? limit : 0)
                                       - share_pool_used (link->bytes));
      if (link->is_wanted)
        share_want (steer->share, SHARE_LINK, link->name,
                    limit / 2 + LINK_STEP_BYTES);
      link->is_wanted = false;
    }
}

struct share *
steer_share (struct steer *steer)
{
  return steer->share;
}

void
steer_want (struct steer *steer, const struct service *service, size_t waiting,
            apr_time_t now)
{
  struct service_state *state = service_state (steer, service);
  const struct region_state *done[WANT_REGIONS_MAX];
  size_t done_count = 0;
  for (size_t i = 0; i < state->count; i++)
    update_ramp (state->upstreams[i], now);
  for (size_t i = 0; i < state->count; i++)
    {
      struct region_state *region = state->upstreams[i]->region;
      bool seen = false;
      for (size_t d = 0; d < done_count; d++)
        seen |= done[d] == region;
      if (seen || done_count == WANT_REGIONS_MAX)
        continue;
      done[done_count++] = region;
      want_slots (steer, state, region, waiting, now);
    }
  int64_t used = share_pool_used (state->calls);
  int64_t missing = (int64_t)waiting + (used >> WANT_HEADROOM_SHIFT) + 1
                    - share_pool_free (state->calls, now);
  if (service->call_cap > 0 && missing > 0 && (waiting > 0 || used > 0))
    share_want (steer->share, SHARE_SERVICE, service->head.name, missing);
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
