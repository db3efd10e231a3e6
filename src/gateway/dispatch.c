/* Admission of requests: in which region and where, whether one is sent, waits
   or is refused.  The decisions themselves are in balance/.  */
#include "gateway/internal.h"

#include <stdlib.h>
#include <string.h>

/* constants */

enum
{
  HTTP_BAD_GATEWAY = 502,
  HTTP_UNAVAILABLE = 503,
  HTTP_TIMEOUT = 504
};

/* Work before any answer was seen, in parts of the route's aim.  */
static const double first_work_known = 0.5;
static const double first_work_unknown = 0.85;
static const double default_aim_us = 500000.0;
/* Part of the rate allowed to a cold upstream that the entries use together.
   Entries that disagree on who they are may use it twice.  */
static const double cold_use = 0.6;
/* Requests by slot that may wait at an upstream.  Upstreams hold three to four
   before they refuse; what other entries send meanwhile needs the rest.  */
static const double queue_most = 1.0;
/* Less urgent requests leave a slot of each upstream in a region this full. */
static const double reserve_from = 0.85;
static const double reserve_slots = 1.0;

/* private functions */

static bool
is_urgent (const struct request *request)
{
  return request->route->priority <= request->service->most_urgent;
}

static void
mark_allowed (const struct request *request, bool *allowed)
{
  const struct gateway *gateway = request->gateway;
  for (size_t i = 0; i < gateway->region_count; i++)
    allowed[i] = plan_allows_region (request->route, gateway->regions[i])
                 && request->service->rooms[i].slots > 0;
}

/* Takes away the regions from which the answer to a request for an object that
   comes once is too late even while they are idle.  Objects that recur are
   soon known there, and their region must not jump.  */
static void
unmark_far (const struct request *request, bool *allowed)
{
  const struct gateway *gateway = request->gateway;
  const struct plan_route *route = request->route;
  apr_time_t aim = route->aim > 0 ? route->aim : (apr_time_t)default_aim_us;
  if (request->recurs || !allowed[gateway->own_region])
    return;
  for (size_t i = 0; i < gateway->region_count; i++)
    if (i != gateway->own_region
        && !balance_is_near (&request->route_state->work, false,
                             gateway->distances[i], aim))
      allowed[i] = false;
}

/* Picks the region that serves the request; returns false if none may.  */
static bool
pick_region (struct request *request)
{
  struct gateway *gateway = request->gateway;
  bool allowed[GATEWAY_REGIONS_MAX] = { false };
  mark_allowed (request, allowed);
  unmark_far (request, allowed);
  /* Large bodies need several round trips, which are short only here.  */
  if (request->route->kind == PLAN_UPLOAD && allowed[gateway->own_region])
    {
      request->region = gateway->own_region;
      return true;
    }
  request->region
      = spread_pick (&request->service->spread, request->object, allowed);
  if (request->region < gateway->region_count)
    return true;
  request->region = gateway->own_region;
  return false;
}

struct balance_choice
dispatch_choose (struct request *request)
{
  struct gateway *gateway = request->gateway;
  const struct fleet_service *upstreams
      = fleet_service (gateway->fleet, request->service_name);
  struct balance_choice none = { 0 };
  if (!upstreams)
    return none;
  struct balance_request wanted = {
    .fleet = gateway->fleet,
    .service = upstreams,
    .region = gateway->regions[request->region],
    .object = request->object,
    .recurs = request->recurs,
    .work = &request->route_state->work,
    .distance = gateway->distances[request->region],
    .zone = gateway->settings.zone,
    .idle_time = TIMER_SEC (GATEWAY_IDLE_S),
    .body_bytes = request->body_size > 0 ? request->body_size : 0,
    .queue = queue_most,
    .reserve
    = !is_urgent (request) && dispatch_fullness (request) > reserve_from
          ? reserve_slots
          : 0.0,
    .cold_rate = dispatch_cold_rate (request),
    .most_own = GATEWAY_OWN_MOST,
    .now = timer_clock (),
    .excluded_count = request->tried_count,
  };
  memcpy (wanted.excluded, request->tried, sizeof request->tried);
  return balance_choose (&wanted);
}

static struct admit_state
state_of (const struct request *request, const struct balance_choice *choice)
{
  struct gateway *gateway = request->gateway;
  apr_time_t now = timer_clock ();
  const struct member *near[GATEWAY_REGIONS_MAX];
  const struct balance_room *room = &request->service->rooms[request->region];
  double entries = (double)members_in (gateway->members,
                                       gateway->regions[gateway->own_region],
                                       near, GATEWAY_REGIONS_MAX);
  double work = request->route_state->work.unknown / APR_USEC_PER_SEC;
  return (struct admit_state){
    .has_slot = choice->upstream != NULL,
    .expected = choice->expected,
    .best = (apr_time_t)(request->recurs ? request->route_state->work.known
                                         : request->route_state->work.unknown)
            + gateway->distances[request->region],
    .aim_left = request->aim_at - now,
    .time_left = request->deadline - now,
    .fullness = dispatch_fullness (request),
    .waiting = (double)request->service->waiting[request->region],
    .rate = work > 0 && entries > 0 ? room->slots / work / entries : 0.0,
    .may_be_late = is_urgent (request),
    .chance = gateway_chance (gateway)
  };
}

static void
refuse_now (struct request *request, const char *reason,
            apr_time_t retry_after)
{
  request->retry_after = retry_after;
  request_refuse (request,
                  request->maybe_run ? HTTP_BAD_GATEWAY : HTTP_UNAVAILABLE,
                  reason);
}

static void
on_line_timeout (void *part, apr_time_t now)
{
  (void)now;
  struct request *request = part;
  if (!dispatch_place (request))
    refuse_now (request, "no slot became free in time",
                TIMER_MS (GATEWAY_RETURN_SOON_MS));
}

/* Ends what a decision said; returns false if REQUEST is to wait.  */
static bool
carry_out (struct request *request, const struct balance_choice *choice,
           const struct admit_verdict *verdict)
{
  if (verdict->action == ADMIT_WAIT)
    return false;
  if (verdict->action == ADMIT_SEND && choice->upstream)
    {
      line_remove (request);
      timer_stop (loop_timers (request->gateway->loop), &request->line_timer);
      sending_start (request, choice);
      return true;
    }
  refuse_now (request,
              choice->upstream ? "its answer would come too late"
                               : "no slot will be free in time",
              verdict->retry_after);
  return true;
}

/* Sends the request to another region, if it can have its answer within the
   aim only there.  */
static bool
send_elsewhere (struct request *request)
{
  size_t first = request->region;
  bool allowed[GATEWAY_REGIONS_MAX] = { false };
  mark_allowed (request, allowed);
  size_t other = spread_other (&request->service->spread,
                               request->service->rooms, first, allowed);
  if (other >= request->gateway->region_count
      || request->service->overflow.balance < 1.0)
    return false;
  request->region = other;
  struct balance_choice choice = dispatch_choose (request);
  if (choice.upstream && timer_clock () + choice.expected <= request->aim_at
      && budget_try_withdraw (&request->service->overflow))
    {
      sending_start (request, &choice);
      return true;
    }
  request->region = first;
  return false;
}

/* public functions */

/* Returns the service that the request goes to; a plan that was finished has
   all services that its routes name.  */
const struct plan_service *
dispatch_service (const struct request *request)
{
  const struct plan_service *service
      = plan_service (request->plan, request->service_name);
  if (!service)
    abort ();
  return service;
}

double
dispatch_fullness (const struct request *request)
{
  const struct balance_room *room = &request->service->rooms[request->region];
  return room->slots > 0 ? room->busy / room->slots : 1.0;
}

double
dispatch_cold_rate (const struct request *request)
{
  return dispatch_service (request)->cold_per_s
         * request->gateway->settings.cold.multiplier * cold_use;
}

void
dispatch_admit (struct request *request)
{
  struct gateway *gateway = request->gateway;
  if (!request->admitted)
    {
      budget_deposit (&request->service->retries);
      budget_deposit (&request->service->overflow);
    }
  request->admitted = true;
  if (request->route->priority < request->service->most_urgent)
    request->service->most_urgent = request->route->priority;
  if (!pick_region (request))
    {
      refuse_now (request, "no upstream takes requests of this service",
                  TIMER_MS (GATEWAY_RETURN_LATER_MS));
      return;
    }
  struct balance_choice choice = dispatch_choose (request);
  struct admit_state state = state_of (request, &choice);
  struct admit_verdict verdict = admit_decide (&state);
  bool in_time
      = verdict.action == ADMIT_SEND && state.expected <= state.aim_left;
  if ((!in_time && state.aim_left > 0 && send_elsewhere (request))
      || carry_out (request, &choice, &verdict))
    return;
  line_add (request);
  timer_start (loop_timers (gateway->loop), &request->line_timer,
               timer_clock () + verdict.wait, on_line_timeout, request);
}

void
dispatch_admit_again (struct request *request)
{
  line_remove (request);
  timer_stop (loop_timers (request->gateway->loop), &request->line_timer);
  dispatch_admit (request);
}

bool
dispatch_place (struct request *request)
{
  struct balance_choice choice = dispatch_choose (request);
  if (!choice.upstream)
    return false;
  struct admit_state state = state_of (request, &choice);
  struct admit_verdict verdict = admit_decide (&state);
  return carry_out (request, &choice, &verdict);
}

void
dispatch_on_deadline (void *part, apr_time_t now)
{
  (void)now;
  struct request *request = part;
  if (request->answer_ready && !request->answered)
    return;
  sending_give_up (request);
  if (request->answered)
    {
      if (request->attempt && !request->attempt->done)
        {
          request->outcome = REQUEST_FAILED;
          sending_drop (request);
          request_wake (request);
        }
      return;
    }
  request_refuse (request,
                  request->maybe_run ? HTTP_TIMEOUT : HTTP_UNAVAILABLE,
                  request->maybe_run ? "no answer before the deadline"
                                     : "not sent before the deadline");
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
  double aim = route->aim > 0 ? (double)route->aim : default_aim_us;
  state->work = (struct balance_work){ aim * first_work_known,
                                       aim * first_work_unknown };
  for (int i = 1; i < REQUEST_OUTCOMES; i++)
    state->ended[i] = counter_get (
        gateway->counters, "citroncleat_requests_total",
        str_format (gateway->pool, "route=\"%s\",outcome=\"%s\"",
                    route->name.data, outcomes[i]),
        "Requests of callers, by how they ended.");
  state->seconds = histogram_get (
      gateway->counters, "citroncleat_request_seconds",
      str_format (gateway->pool, "route=\"%s\"", route->name.data),
      "Time from a request's head to its answer.");
  struct str name = str_dup (gateway->pool, route->name);
  apr_hash_set (gateway->routes, name.data, (apr_ssize_t)name.size, state);
  return state;
}
