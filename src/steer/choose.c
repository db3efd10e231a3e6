#include "steer/internal.h"

#include "base/random.h"

/* constants */

enum
{
  MAX_DEMAND_REGIONS = 64, /* of one service; further ones get no loans */
  HEADROOM_SHIFT = 3,      /* an 8th of what is in use is kept free */
  LINK_DEMAND_STEP_BYTES = 100000, /* a second, added to the demand */
  MAX_FREE_CANDIDATES = 32 /* the best of this many free upstreams is good
                              enough */
};

/* Delay of a hedge as long as no response time is known.  */
#define DEFAULT_HEDGE_DELAY_US INT64_C (1000000)
/* The recent peak of short calls, times this, is kept free of long calls.  */
#define SHORT_CALL_RESERVE_FACTOR 1.1

/* private functions */

/* Returns whether a slow upstream should be probed with a single call.  */
static bool
is_probe_due (const struct upstream_state *upstream, apr_time_t now)
{
  return now >= upstream->next_probe_at
         && share_pool_used (upstream->slot_pool) == 0;
}

/* Returns the estimated cost of a call to the upstream, in microseconds with
   some random noise; lower is better.  */
static double
estimate_cost (struct steer *steer, const struct upstream_state *state,
               apr_time_t now)
{
  double cost = steer_estimate_response_us (state->service, state);
  if (steer_upstream_is_slow (state->service, state)
      && is_probe_due (state, now))
    cost = state->service->mean_response_us;
  if (now - state->reported_at < STEER_REPORT_VALID_US
      && state->reported_load_percent > 100)
    cost *= (double)state->reported_load_percent / 100.0;
  /* The noise spreads calls over upstreams of equal cost.  */
  cost *= 1.0 + 0.1 * (double)(random_next (&steer->random) & 1023) / 1024.0;
  return cost + (double)state->region->rtt_us;
}

static bool
is_excluded (const struct steer_request *request, struct str upstream)
{
  for (size_t i = 0; i < request->excluded_count; i++)
    if (str_equal (request->excluded[i], upstream))
      return true;
  return false;
}

/* Returns whether REQUEST is for a long call and these use all slots that they
   may: the service's percentage of the slots, less if recent short calls have
   needed more than the rest.  At least one long call is always allowed.  */
static bool
long_calls_at_limit (struct service_state *service,
                     const struct steer_request *request)
{
  if (request->call_class != CLASS_LONG)
    return false;
  int64_t total = steer_service_limit (service, request->now);
  int64_t limit = total * request->service->long_slots_percent / 100;
  int64_t reserve
      = (int64_t)(service->short_call_peak * SHORT_CALL_RESERVE_FACTOR) + 1;
  if (total - reserve < limit)
    limit = total - reserve;
  return service->in_flight_long >= (limit > 0 ? limit : 1);
}

static bool
service_is_capped (const struct service_state *service, apr_time_t now)
{
  return service->spec->call_cap > 0
         && share_pool_available (service->call_pool, now) == 0;
}

static bool
region_is_capped (const struct region_state *region, apr_time_t now)
{
  return region->spec->call_cap > 0
         && share_pool_available (region->call_pool, now) == 0;
}

/* Returns whether it is better to wait for a full upstream of FULL_COST than
   to use a free one of FREE_COST now, which may be slow or in another region,
   RTT_US away.  With SPILL_NONE waiting is always better than another
   region.  */
static bool
should_wait (const struct steer *steer, const struct steer_request *request,
             double free_cost, double full_cost, apr_time_t rtt_us)
{
  const struct policy *policy = request->service->policy;
  if (rtt_us > 0 && policy && policy->spill == SPILL_NONE)
    return true;
  apr_time_t wait = steer_expected_wait (steer, request->service,
                                         request->waiting, request->now);
  return wait > 0 && free_cost > STEER_SLOW_FACTOR * full_cost + (double)wait;
}

/* Returns the I-th candidate: the upstreams of the own region come first,
   starting at START and wrapping around, then the others.  */
static const struct upstream_state *
candidate_at (const struct service_state *service, size_t start, size_t i)
{
  if (i >= service->local_count)
    return service->upstreams[i];
  size_t at = start + i;
  return service
      ->upstreams[at < service->local_count ? at : at - service->local_count];
}

/* Raises the demand for slots of SERVICE in one region.  In the own region, so
   that there is always some headroom above the slots in use; in another, for
   the waiting calls, if the wait here would exceed the round trip there, or
   cannot be estimated.  Slots of a slow upstream that are free do not count,
   since calls rather wait for another.  */
static void
update_slot_demand (struct steer *steer, const struct service_state *service,
                    struct region_state *region, size_t waiting,
                    apr_time_t now)
{
  char group[STEER_GROUP_MAX_BYTES];
  int64_t used = 0;
  int64_t usable_limit = 0;
  int64_t shortfall = 0;
  apr_time_t wait = steer_expected_wait (steer, service->spec, waiting, now);
  for (size_t i = 0; i < service->count; i++)
    {
      const struct upstream_state *u = service->upstreams[i];
      if (u->region != region)
        continue;
      used += share_pool_used (u->slot_pool);
      usable_limit += steer_upstream_is_slow (service, u)
                          ? share_pool_used (u->slot_pool)
                          : steer_upstream_limit (u, now);
    }
  if (region->rtt_us == 0)
    shortfall = (int64_t)waiting + used + (used >> HEADROOM_SHIFT) + 1
                - usable_limit;
  else if (wait > region->rtt_us || (wait == 0 && waiting > 0))
    shortfall = (int64_t)waiting + used - usable_limit;
  if (shortfall > 0 && (waiting > 0 || used > 0))
    share_raise_demand (steer->shares, SHARE_SLOTS,
                        steer_slot_group (group, sizeof group,
                                          service->spec->head.name,
                                          region->spec->head.name),
                        shortfall);
  if (waiting > 0 && region_is_capped (region, now))
    share_raise_demand (steer->shares, SHARE_REGION, region->spec->head.name,
                        (int64_t)waiting);
}

/* public functions */

double
steer_estimate_response_us (const struct service_state *service,
                            const struct upstream_state *state)
{
  double default_response_us = service->mean_response_us > 0
                                   ? service->mean_response_us
                                   : STEER_DEFAULT_RESPONSE_US;
  return state->response_us > 0 ? state->response_us : default_response_us;
}

bool
steer_upstream_is_slow (const struct service_state *service,
                        const struct upstream_state *upstream)
{
  return service->mean_response_us > 0
         && steer_estimate_response_us (service, upstream)
                > STEER_SLOW_FACTOR * service->mean_response_us;
}

struct steer_choice
steer_choose (struct steer *steer, const struct steer_request *request)
{
  struct steer_choice choice = { STEER_NO_UPSTREAM, NULL };
  struct service_state *service = steer_find_service (steer, request->service);
  apr_time_t now = request->now;
  double best_cost = 0;
  double best_full_cost = 0; /* of the upstreams without a free slot */
  apr_time_t rtt_us = 0;
  bool capped = service_is_capped (service, now);
  bool long_full = long_calls_at_limit (service, request);
  size_t start = service->local_count > MAX_FREE_CANDIDATES
                     ? random_next (&steer->random) % service->local_count
                     : 0;
  size_t free_seen = 0;
  for (size_t i = 0; i < service->count && free_seen < MAX_FREE_CANDIDATES;
       i++)
    {
      const struct upstream_state *u = candidate_at (service, start, i);
      if (!steer_upstream_is_available (u, now)
          || is_excluded (request, u->name))
        continue;
      if (choice.verdict == STEER_NO_UPSTREAM)
        choice.verdict = STEER_WAIT;
      if (capped || region_is_capped (u->region, now))
        {
          if (choice.verdict != STEER_CHOSEN)
            choice.verdict = STEER_CAPPED;
          continue;
        }
      double cost = estimate_cost (steer, u, now);
      bool full = long_full || share_pool_available (u->slot_pool, now) == 0;
      if (full && (best_full_cost == 0 || cost < best_full_cost))
        best_full_cost = cost;
      free_seen += !full;
      if (full || (choice.verdict == STEER_CHOSEN && cost >= best_cost))
        continue;
      best_cost = cost;
      rtt_us = u->region->rtt_us;
      choice.verdict = STEER_CHOSEN;
      choice.upstream = u->spec;
    }
  if (choice.verdict == STEER_CHOSEN && best_full_cost > 0
      && should_wait (steer, request, best_cost, best_full_cost, rtt_us))
    choice.verdict = STEER_WAIT;
  return choice;
}

apr_time_t
steer_attempt_rtt (const struct steer_attempt *attempt)
{
  return attempt->region->rtt_us;
}

apr_time_t
steer_hedge_delay (const struct steer_attempt *attempt)
{
  double tail_us = attempt->service->tail_response_us;
  if (tail_us <= 0)
    return DEFAULT_HEDGE_DELAY_US;
  return (apr_time_t)tail_us + attempt->region->rtt_us;
}

apr_time_t
steer_expected_wait (const struct steer *steer, const struct service *service,
                     size_t ahead, apr_time_t now)
{
  struct service_state *state = steer_find_service (steer, service);
  int64_t slots = steer_service_limit (state, now);
  if (slots == 0)
    return 0;
  return (apr_time_t)(state->mean_response_us * (double)(ahead + 1)
                      / (double)slots);
}

void
steer_update_link_demand (struct steer *steer, apr_time_t now)
{
  for (apr_hash_index_t *at = apr_hash_first (NULL, steer->links); at;
       at = apr_hash_next (at))
    {
      void *value;
      apr_hash_this (at, NULL, NULL, &value);
      struct steer_link *link = value;
      int64_t limit = share_pool_limit (link->rate_pool, now);
      /* A link's use is not measured: it counts as fully used if bytes had to
         wait, else as unused.  */
      share_pool_use (link->rate_pool,
                      (link->was_throttled ? limit : 0)
                          - share_pool_used (link->rate_pool));
      if (link->was_throttled)
        share_raise_demand (steer->shares, SHARE_LINK, link->name,
                            limit / 2 + LINK_DEMAND_STEP_BYTES);
      link->was_throttled = false;
    }
}

void
steer_update_demand (struct steer *steer, const struct service *service,
                     size_t waiting, apr_time_t now)
{
  struct service_state *state = steer_find_service (steer, service);
  const struct region_state *seen_regions[MAX_DEMAND_REGIONS];
  size_t seen_count = 0;
  for (size_t i = 0; i < state->count; i++)
    steer_update_ramp (state->upstreams[i], now);
  for (size_t i = 0; i < state->count; i++)
    {
      struct region_state *region = state->upstreams[i]->region;
      bool seen = false;
      for (size_t d = 0; d < seen_count; d++)
        seen |= seen_regions[d] == region;
      if (seen || seen_count == MAX_DEMAND_REGIONS)
        continue;
      seen_regions[seen_count++] = region;
      update_slot_demand (steer, state, region, waiting, now);
    }
  int64_t used = share_pool_used (state->call_pool);
  int64_t shortfall = (int64_t)waiting + (used >> HEADROOM_SHIFT) + 1
                      - share_pool_available (state->call_pool, now);
  if (service->call_cap > 0 && shortfall > 0 && (waiting > 0 || used > 0))
    share_raise_demand (steer->shares, SHARE_SERVICE, service->head.name,
                        shortfall);
}
