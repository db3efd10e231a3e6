#include "steer/internal.h"

#include "base/random.h"

/* constants */

enum
{
  WANT_REGIONS_MAX = 64,
  WANT_HEADROOM_SHIFT = 3,  /* an 8th of what is used */
  LINK_STEP_BYTES = 100000, /* a second, asked for at least */
  ENOUGH_FREE = 32 /* the best of so many free upstreams is good enough */
};

/* Delay of a hedge before any response time is known.  */
#define HEDGE_FIRST_US INT64_C (1000000)
/* What short calls used at most of late, and so much more, is kept from long
   calls.  */
#define SHORT_RESERVE 1.1

/* private functions */

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
  double cost = steer_expected_response (state->service, state);
  if (steer_is_slow (state->service, state) && is_probe_due (state, now))
    cost = state->service->service_us;
  if (now - state->reported_at < STEER_REPORT_VALID_US
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
long_slots_used (struct service_state *service,
                 const struct steer_request *request)
{
  if (request->call_class != CLASS_LONG)
    return false;
  int64_t total = steer_total_limit (service, request->now);
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
  return wait > 0
         && free_cost > STEER_WAIT_ADVANTAGE * full_cost + (double)wait;
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

/* Wants slots of SERVICE in one region: in its own region, so that a part of
   what is used is always free; elsewhere, for the calls that would wait
   longer here than the way there takes.  */
static void
want_slots (struct steer *steer, const struct service_state *service,
            struct region_state *region, size_t waiting, apr_time_t now)
{
  char group[STEER_GROUP_MAX_BYTES];
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
      useful += steer_is_slow (service, u) ? share_pool_used (u->slots)
                                           : steer_limit (u, now);
    }
  if (region->distance_us == 0)
    missing
        = (int64_t)waiting + used + (used >> WANT_HEADROOM_SHIFT) + 1 - useful;
  else if (wait > region->distance_us || (wait == 0 && waiting > 0))
    missing = (int64_t)waiting + used - useful;
  if (missing > 0 && (waiting > 0 || used > 0))
    share_want (steer->share, SHARE_SLOTS,
                steer_slot_group (group, sizeof group,
                                  service->spec->head.name,
                                  region->spec->head.name),
                missing);
  if (waiting > 0 && region_is_capped (region, now))
    share_want (steer->share, SHARE_REGION, region->spec->head.name,
                (int64_t)waiting);
}

/* public functions */

double
steer_expected_response (const struct service_state *service,
                         const struct upstream_state *state)
{
  double usual
      = service->service_us > 0 ? service->service_us : STEER_USUAL_FIRST_US;
  return state->response_us > 0 ? state->response_us : usual;
}

bool
steer_is_slow (const struct service_state *service,
               const struct upstream_state *upstream)
{
  return service->service_us > 0
         && steer_expected_response (service, upstream)
                > STEER_WAIT_ADVANTAGE * service->service_us;
}

struct steer_choice
steer_choose (struct steer *steer, const struct steer_request *request)
{
  struct steer_choice choice = { STEER_NOWHERE, NULL };
  struct service_state *service = steer_service (steer, request->service);
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
      if (!steer_is_available (u, now) || is_excluded (request, u->name))
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

apr_time_t
steer_distance (const struct steer_ticket *ticket)
{
  return ticket->region->distance_us;
}

apr_time_t
steer_hedge_delay (const struct steer_ticket *ticket)
{
  double tail_us = ticket->service->tail_us;
  if (tail_us <= 0)
    return HEDGE_FIRST_US;
  return (apr_time_t)tail_us + ticket->region->distance_us;
}

apr_time_t
steer_expected_wait (const struct steer *steer, const struct service *service,
                     size_t ahead, apr_time_t now)
{
  struct service_state *state = steer_service (steer, service);
  int64_t slots = steer_total_limit (state, now);
  if (slots == 0)
    return 0;
  return (apr_time_t)(state->service_us * (double)(ahead + 1) / (double)slots);
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

void
steer_want (struct steer *steer, const struct service *service, size_t waiting,
            apr_time_t now)
{
  struct service_state *state = steer_service (steer, service);
  const struct region_state *done[WANT_REGIONS_MAX];
  size_t done_count = 0;
  for (size_t i = 0; i < state->count; i++)
    steer_update_ramp (state->upstreams[i], now);
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
