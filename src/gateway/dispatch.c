/* Admission of requests: picks a region and an upstream for a request, and
   sends, queues or refuses it.  The decisions themselves are pure functions in
   balance/; this file collects their input and acts on the result.  */
#include "gateway/internal.h"

#include <stdlib.h>
#include <string.h>

/* constants */

enum
{
  HTTP_BAD_GATEWAY = 502,
  HTTP_UNAVAILABLE = 503,
  HTTP_TIMEOUT = 504,
  /* For which a request waits after a pause for what has changed; a little
     longer than it takes to find that no source responds.  */
  CATCH_UP_MS = 1500
};

/* Estimated service times of a route before any response was seen, as
   fractions of its target latency: at an upstream that has the object cached,
   and at others.  */
static const double initial_cached_fraction = 0.5;
static const double initial_uncached_fraction = 0.85;
/* Target latency of a route that has none configured.  */
static const double default_target_us = 500000.0;
/* Requests for each slot that may be queued at an upstream.  Upstreams queue
   three to four before they refuse; the rest is left for what other entries
   send at the same time.  */
static const double max_queue_per_slot = 1.0;
/* In a region of at least this utilization, requests of lower priority leave
   `reserved_slots' of each upstream free for those of the highest.  */
static const double reserve_min_utilization = 0.85;
static const double reserved_slots = 1.0;

/* private functions */

static bool
is_top_priority (const struct request *request)
{
  return request->priority <= request->service->most_urgent_priority;
}

/* Sets ALLOWED for the regions that the route and the tenant allow and in
   which the service has slots.  */
static void
mark_usable_regions (const struct request *request, bool *allowed)
{
  const struct gateway *gateway = request->gateway;
  for (size_t i = 0; i < gateway->region_count; i++)
    allowed[i] = tenant_request_allows_region (request, gateway->regions[i])
                 && request->service->region_loads[i].slots > 0;
}

/* Excludes the regions that are too far away: even when they are idle, an
   response from there misses the target latency.  Only for objects that don't
   recur: others are soon cached by an upstream there, which then responds
   faster, and the region of an object should stay the same.  */
static void
exclude_distant_regions (const struct request *request, bool *allowed)
{
  const struct gateway *gateway = request->gateway;
  const struct plan_route *route = request->route;
  apr_time_t target = route->target_latency > 0
                          ? route->target_latency
                          : (apr_time_t)default_target_us;
  if (request->recurs || !allowed[gateway->own_region])
    return;
  for (size_t i = 0; i < gateway->region_count; i++)
    if (i != gateway->own_region
        && !balance_meets_target (&request->route_state->service_time, false,
                                  gateway->rtts[i], target))
      allowed[i] = false;
}

/* Sets the region that serves the request; returns false, and sets the own
   region, if none is usable.  */
static bool
pick_region (struct request *request)
{
  struct gateway *gateway = request->gateway;
  bool allowed[GATEWAY_REGIONS_MAX] = { false };
  mark_usable_regions (request, allowed);
  exclude_distant_regions (request, allowed);
  /* Large bodies take several round trips, which are short only within the own
     region.  */
  if (request->route->kind == PLAN_UPLOAD && allowed[gateway->own_region])
    {
      request->region = gateway->own_region;
      return true;
    }
  request->region = region_split_pick (&request->service->region_split,
                                       request->object, allowed);
  if (request->region < gateway->region_count)
    return true;
  request->region = gateway->own_region;
  return false;
}

struct balance_choice
dispatch_choose_upstream (struct request *request)
{
  struct gateway *gateway = request->gateway;
  struct balance_request query = {
    .group
    = fleet_group (fleet_service (gateway->fleet, request->service_name),
                   gateway->regions[request->region]),
    .affinity = fleet_affinity (gateway->fleet),
    .object = request->object,
    .recurs = request->recurs,
    .service_time = &request->route_state->service_time,
    .rtt = gateway->rtts[request->region],
    .own_zone = gateway->settings.zone,
    .idle_timeout = TIMER_SEC (GATEWAY_MAX_IDLE_S),
    .body_bytes = request->body_size > 0 ? request->body_size : 0,
    .max_queue_per_slot = max_queue_per_slot,
    .reserved_slots
    = !is_top_priority (request)
              && dispatch_utilization (request) > reserve_min_utilization
          ? reserved_slots
          : 0.0,
    .max_in_flight = GATEWAY_UPSTREAM_REQUESTS_MAX,
    .now = timer_clock (),
    .excluded_count = request->tried_count,
  };
  memcpy (query.excluded, request->tried_upstreams,
          sizeof request->tried_upstreams);
  return balance_choose_upstream (&query);
}

/* Returns the input of admit_decide for REQUEST, with the upstream that was
   chosen for it, if any.  */
static struct admit_state
admission_state (const struct request *request,
                 const struct balance_choice *choice)
{
  struct gateway *gateway = request->gateway;
  apr_time_t now = timer_clock ();
  const struct balance_region_load *load
      = &request->service->region_loads[request->region];
  double entries = (double)gateway->entries_in_region;
  double work = request->route_state->service_time.uncached / APR_USEC_PER_SEC;
  return (struct admit_state){
    .has_slot = choice->upstream != NULL,
    .expected_latency = choice->expected_latency,
    .min_latency
    = (apr_time_t)(request->recurs
                       ? request->route_state->service_time.cached
                       : request->route_state->service_time.uncached)
      + gateway->rtts[request->region],
    .target_left
    = stop_limits_deadline (&gateway->stop_limits, request->target_at) - now,
    .deadline_left
    = stop_limits_deadline (&gateway->stop_limits, request->deadline) - now,
    .utilization = dispatch_utilization (request),
    .queued = (double)request->service->queued[request->region],
    .dispatch_rate
    = work > 0 && entries > 0 ? load->slots / work / entries : 0.0,
    .since_sent = now - request->route_state->sent_at,
    .is_urgent = is_top_priority (request),
    .jitter = gateway_random_fraction (gateway)
  };
}

/* Refuses REQUEST; the caller may retry after RETRY_AFTER.  */
static void
refuse_with_retry_after (struct request *request, const char *reason,
                         apr_time_t retry_after)
{
  request->retry_after = retry_after;
  request_refuse (request,
                  request->may_have_run ? HTTP_BAD_GATEWAY : HTTP_UNAVAILABLE,
                  reason);
}

/* Returns when the first upstream is expected back, if those that may serve
   REQUEST have turned this entry away and the rest of them can't be reached;
   else 0.  */
static apr_time_t
first_return (const struct request *request, apr_time_t now)
{
  const struct gateway *gateway = request->gateway;
  const struct fleet_service *upstreams
      = fleet_service (gateway->fleet, request->service_name);
  apr_time_t first = 0;
  size_t count = 0;
  for (size_t i = 0; i < gateway->region_count; i++)
    if (tenant_request_allows_region (request, gateway->regions[i])
        && !balance_is_turned_away (
            fleet_group (upstreams, gateway->regions[i]), now, &count, &first))
      return 0;
  return count > 0 ? first : 0;
}

/* Returns the Retry-After of REQUEST if all upstreams that may serve it have
   turned this entry away; else 0.  */
static apr_time_t
wait_for_return (struct request *request)
{
  struct gateway *gateway = request->gateway;
  apr_time_t now = timer_clock ();
  apr_time_t first = first_return (request, now);
  if (first == 0)
    return 0;
  counter_add (gateway->turned_back, 1);
  return admit_return_wait (
      first - now, (double)request->service->turned_back++,
      (apr_time_t)request->route_state->service_time.uncached,
      gateway_random_fraction (gateway));
}

/* Refuses REQUEST, since no region has an upstream that takes requests.  */
static void
refuse_without_upstream (struct request *request)
{
  apr_time_t wait = wait_for_return (request);
  refuse_with_retry_after (
      request,
      wait > 0 ? "all upstreams of this service turn requests away"
               : "no upstream takes requests of this service",
      wait > 0 ? wait : TIMER_MS (GATEWAY_RETRY_AFTER_NO_UPSTREAM_MS));
}

static void
on_queue_timeout (void *user_data, apr_time_t now)
{
  (void)now;
  struct request *request = user_data;
  if (request->awaits_changes)
    refuse_with_retry_after (request,
                             "the entry was paused and is catching up",
                             TIMER_MS (GATEWAY_RETRY_AFTER_SLOT_MS));
  else if (!dispatch_try_send (request))
    refuse_with_retry_after (request, "no slot became free in time",
                             TIMER_MS (GATEWAY_RETRY_AFTER_SLOT_MS));
}

/* Returns false if this entry will have stopped when the response of the
   upstream CHOICE is expected.  */
static bool
is_expected_before_stop (const struct request *request,
                         const struct balance_choice *choice)
{
  apr_time_t expected_at = timer_clock () + choice->expected_latency;
  return stop_limits_deadline (&request->gateway->stop_limits, expected_at)
         == expected_at;
}

/* Sends or refuses REQUEST as VERDICT says; returns false if it is to wait for
   a slot, and then does nothing.  */
static bool
apply_verdict (struct request *request, const struct balance_choice *choice,
               const struct admit_verdict *verdict)
{
  if (verdict->action == ADMIT_WAIT)
    return false;
  if (verdict->action == ADMIT_SEND && choice->upstream
      && !is_expected_before_stop (request, choice))
    {
      refuse_with_retry_after (
          request, "the entry stops before its answer is expected", 0);
      return true;
    }
  if (verdict->action == ADMIT_SEND && choice->upstream)
    {
      wait_queue_remove (request);
      timer_stop (loop_timers (request->gateway->loop), &request->queue_timer);
      attempts_start (request, choice);
      return true;
    }
  refuse_with_retry_after (request,
                           choice->upstream ? "its answer would come too late"
                                            : "no slot will be free in time",
                           verdict->retry_after);
  return true;
}

/* Looks for another region in which the request can be answered within the
   target latency, if the overflow budget allows that: sets CHOICE and the
   request's region, or returns false.  For a request whose region, as picked,
   can't meet the target.  */
static bool
find_other_region (struct request *request, struct balance_choice *choice)
{
  size_t first = request->region;
  bool allowed[GATEWAY_REGIONS_MAX] = { false };
  mark_usable_regions (request, allowed);
  size_t other = region_split_find_overflow (&request->service->region_split,
                                             request->service->region_loads,
                                             first, allowed);
  if (other >= request->gateway->region_count
      || !region_overflow_may_withdraw (&request->service->overflow,
                                        timer_clock ()))
    return false;
  request->region = other;
  *choice = dispatch_choose_upstream (request);
  if (choice->upstream
      && timer_clock () + choice->expected_latency <= stop_limits_deadline (
             &request->gateway->stop_limits, request->target_at))
    return true;
  request->region = first;
  return false;
}

/* Sends the request to another region, if find_other_region finds one.  */
static bool
try_other_region (struct request *request)
{
  size_t first = request->region;
  struct balance_choice choice;
  if (find_other_region (request, &choice)
      && region_overflow_try_withdraw (&request->service->overflow,
                                       timer_clock ()))
    {
      attempts_start (request, &choice);
      return true;
    }
  request->region = first;
  return false;
}

/* Returns whether a request for which there is this admission state and
   verdict is to be tried in another region first.  */
static bool
prefers_other_region (const struct admit_state *state,
                      const struct admit_verdict *verdict)
{
  bool meets_target = verdict->action == ADMIT_SEND
                      && state->expected_latency <= state->target_left;
  return !meets_target && state->target_left > 0;
}

/* public functions */

const struct plan_service *
dispatch_service (const struct request *request)
{
  const struct plan_service *service
      = plan_service (request->plan, request->service_name);
  /* Every finished plan has the services that its routes name.  */
  if (!service)
    abort ();
  return service;
}

double
dispatch_utilization (const struct request *request)
{
  const struct balance_region_load *load
      = &request->service->region_loads[request->region];
  return load->slots > 0 ? load->busy / load->slots : 1.0;
}

bool
dispatch_is_turned_away (const struct request *request)
{
  return first_return (request, timer_clock ()) > 0;
}

apr_time_t
dispatch_retry_after (struct request *request)
{
  apr_time_t wait = wait_for_return (request);
  return wait > 0 ? wait : TIMER_MS (GATEWAY_RETRY_AFTER_SLOT_MS);
}

void
dispatch_admit (struct request *request)
{
  struct gateway *gateway = request->gateway;
  request->awaits_changes = store_sync_is_catching_up (gateway->store_sync);
  if (request->awaits_changes)
    {
      wait_queue_add (request);
      timer_start (loop_timers (gateway->loop), &request->queue_timer,
                   timer_clock () + TIMER_MS (CATCH_UP_MS), on_queue_timeout,
                   request);
      return;
    }
  if (!request->admitted)
    {
      budget_deposit (&request->service->retry_budget);
      region_overflow_deposit (&request->service->overflow, timer_clock ());
    }
  if (!request->admitted && !memory_allows (request, 0))
    return;
  request->admitted = true;
  if (!tenant_quota_allows (request))
    return;
  if (request->priority < request->service->most_urgent_priority)
    request->service->most_urgent_priority = request->priority;
  if (!pick_region (request))
    {
      refuse_without_upstream (request);
      return;
    }
  struct balance_choice choice = dispatch_choose_upstream (request);
  if (!choice.upstream && dispatch_is_turned_away (request))
    {
      refuse_without_upstream (request);
      return;
    }
  request->service->turned_back = 0;
  struct admit_state state = admission_state (request, &choice);
  struct admit_verdict verdict = admit_decide (&state);
  if ((prefers_other_region (&state, &verdict) && try_other_region (request))
      || apply_verdict (request, &choice, &verdict))
    return;
  wait_queue_add (request);
  timer_start (loop_timers (gateway->loop), &request->queue_timer,
               timer_clock () + verdict.max_wait, on_queue_timeout, request);
}

bool
dispatch_would_send (struct request *request)
{
  size_t region = request->region;
  bool sends = false;
  if (!store_sync_is_catching_up (request->gateway->store_sync)
      && pick_region (request))
    {
      struct balance_choice other;
      struct balance_choice choice = dispatch_choose_upstream (request);
      struct admit_state state = admission_state (request, &choice);
      struct admit_verdict verdict = admit_decide (&state);
      sends = (choice.upstream && verdict.action == ADMIT_SEND
               && is_expected_before_stop (request, &choice))
              || (prefers_other_region (&state, &verdict)
                  && find_other_region (request, &other));
    }
  request->region = region;
  return sends;
}

void
dispatch_readmit (struct request *request)
{
  wait_queue_remove (request);
  timer_stop (loop_timers (request->gateway->loop), &request->queue_timer);
  dispatch_admit (request);
}

bool
dispatch_try_send (struct request *request)
{
  if (store_sync_is_catching_up (request->gateway->store_sync))
    return false;
  struct balance_choice choice = dispatch_choose_upstream (request);
  if (!choice.upstream)
    return false;
  struct admit_state state = admission_state (request, &choice);
  struct admit_verdict verdict = admit_decide (&state);
  return apply_verdict (request, &choice, &verdict);
}

/* Ends REQUEST without a whole response of an upstream: with STATUS_IF_RUN and
   REASON_IF_RUN if it may have run.  One whose response is being forwarded
   ends there.  */
static void
end_unanswered (struct request *request, unsigned int status_if_run,
                const char *reason_if_run, const char *reason_if_not_run)
{
  if (request->response_ready && !request->answered
      && !request_needs_body (request))
    return;
  attempts_record_timeout (request);
  if (request->answered)
    {
      if (request->attempt && !request->attempt->done)
        {
          request->outcome = REQUEST_FAILED;
          attempts_cancel (request);
          request_schedule_resume (request);
        }
      return;
    }
  request_refuse (request,
                  request->may_have_run ? status_if_run : HTTP_UNAVAILABLE,
                  request->may_have_run ? reason_if_run : reason_if_not_run);
}

void
dispatch_on_deadline (void *user_data, apr_time_t now)
{
  (void)now;
  end_unanswered (user_data, HTTP_TIMEOUT, "no answer before the deadline",
                  "not sent before the deadline");
}

void
dispatch_end_for_stop (struct request *request)
{
  end_unanswered (request, HTTP_BAD_GATEWAY,
                  "the entry stopped before its answer came",
                  "the entry stopped before it was sent");
}

struct route_state *
dispatch_route_state (struct gateway *gateway, const struct plan_route *route)
{
  struct route_state *state = apr_hash_get (gateway->routes, route->name.data,
                                            (apr_ssize_t)route->name.size);
  if (state)
    return state;
  static const char *const outcomes[REQUEST_OUTCOMES]
      = { "", "served", "refused", "failed", "left" };
  state = apr_pcalloc (gateway->pool, sizeof *state);
  double target = route->target_latency > 0 ? (double)route->target_latency
                                            : default_target_us;
  state->service_time
      = (struct balance_service_time){ target * initial_cached_fraction,
                                       target * initial_uncached_fraction };
  for (int i = 1; i < REQUEST_OUTCOMES; i++)
    state->outcome_counts[i] = counter_get (
        gateway->counters, "citroncleat_requests_total",
        str_format (gateway->pool, "route=\"%s\",outcome=\"%s\"",
                    route->name.data, outcomes[i]),
        "Requests of callers, by how they ended.");
  state->latency = histogram_get (
      gateway->counters, "citroncleat_request_seconds",
      str_format (gateway->pool, "route=\"%s\"", route->name.data),
      "Time from a request's head to its answer.");
  struct str name = str_dup (gateway->pool, route->name);
  apr_hash_set (gateway->routes, name.data, (apr_ssize_t)name.size, state);
  return state;
}
