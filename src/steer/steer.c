#include "steer/internal.h"

#include "base/random.h"

#include <stdio.h>

/* constants */

enum
{
  EJECT_AFTER_FAILURES = 3, /* in a row */
  MIN_EJECT_MS = 500,
  MAX_EJECT_MS = 15000
};

/* Weight of a new response time in the moving average.  */
#define RESPONSE_GAIN 0.3
/* The same for the mean of a whole service.  */
#define SERVICE_GAIN 0.05
/* With each short call that ends, the peak of short calls moves towards the
   number in progress by this fraction of the difference.  */
#define PEAK_DECAY 0.01
/* A call that takes longer than this fraction of the calls is hedged.  The
   estimate of that quantile moves in steps of TAIL_STEP times the mean.  */
#define HEDGE_QUANTILE 0.97
#define TAIL_STEP 0.05
/* A refusal or failure counts as a response that took this many times as
   long.  */
#define FAILURE_PENALTY 4.0

/* private functions */

/* Withholds new calls from the upstream, twice as long with each further
   failure in a row.  */
static void
eject (struct upstream_state *state, apr_time_t now)
{
  int doublings = state->consecutive_failures - EJECT_AFTER_FAILURES;
  int64_t ms = MIN_EJECT_MS;
  while (doublings-- > 0 && ms < MAX_EJECT_MS)
    ms *= 2;
  if (ms > MAX_EJECT_MS)
    ms = MAX_EJECT_MS;
  state->ejected_until = now + ms * 1000;
}

/* Updates the response times of the upstream and its service with one
   result.  */
static void
record_response (const struct steer_attempt *attempt, enum steer_result result,
                 apr_time_t elapsed_us, apr_time_t now)
{
  struct upstream_state *state = attempt->upstream;
  struct service_state *service = attempt->service;
  double previous = steer_estimate_response_us (service, state);
  double sample = (double)(elapsed_us - attempt->region->rtt_us);
  if (sample < 1)
    sample = 1;
  if (result != RESULT_ANSWERED)
    sample = FAILURE_PENALTY * (sample > previous ? sample : previous);
  else if (attempt->call_class == CLASS_LONG)
    return;
  /* One response of normal duration ends the slow state.  */
  bool recovered = steer_upstream_is_slow (service, state)
                   && sample < STEER_SLOW_FACTOR * service->mean_response_us;
  state->response_us = state->response_us <= 0 || recovered
                           ? sample
                           : previous + RESPONSE_GAIN * (sample - previous);
  if (steer_upstream_is_slow (service, state))
    state->next_probe_at = now + STEER_PROBE_INTERVAL_US;
  if (result != RESULT_ANSWERED)
    return;
  double step = service->mean_response_us * TAIL_STEP;
  if (service->tail_response_us <= 0)
    service->tail_response_us = 3 * sample;
  else if (sample > service->tail_response_us)
    service->tail_response_us += step * HEDGE_QUANTILE;
  else
    service->tail_response_us -= step * (1 - HEDGE_QUANTILE);
  double gain = service->mean_response_us > 0 ? SERVICE_GAIN : 1.0;
  service->mean_response_us += gain * (sample - service->mean_response_us);
}

/* public functions */

struct steer *
steer_create (apr_pool_t *pool, const struct steer_desc *desc)
{
  struct steer *steer = apr_pcalloc (pool, sizeof *steer);
  steer->pool = pool;
  steer->desc = *desc;
  steer->random = desc->seed ? desc->seed : RANDOM_DEFAULT_SEED;
  steer->shares = share_create (pool, &desc->share);
  steer_set_membership (steer, NULL, 0);
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
  membership_unref (steer->membership);
  share_destroy (steer->shares);
  if (steer->list_pool)
    apr_pool_destroy (steer->list_pool);
}

struct steer_attempt
steer_begin_attempt (struct steer *steer, const struct upstream *upstream,
                     enum call_class call_class)
{
  struct upstream_state *state
      = steer_find_state (steer->upstreams, upstream->head.name);
  share_pool_use (state->slot_pool, 1);
  share_pool_use (state->region->call_pool, 1);
  share_pool_use (state->service->call_pool, 1);
  struct service_state *service = state->service;
  if (call_class == CLASS_LONG)
    service->in_flight_long++;
  else if ((double)++service->in_flight_short > service->short_call_peak)
    service->short_call_peak = (double)service->in_flight_short;
  return (struct steer_attempt){ state, state->service, state->region,
                                 call_class, false };
}

void
steer_end_attempt (struct steer *steer, struct steer_attempt *attempt,
                   enum steer_result result, apr_time_t elapsed_us,
                   apr_time_t now)
{
  (void)steer;
  struct upstream_state *state = attempt->upstream;
  if (attempt->is_overdue)
    state->overdue_attempts--;
  share_pool_release (state->slot_pool, 1);
  share_pool_release (attempt->region->call_pool, 1);
  share_pool_release (attempt->service->call_pool, 1);
  if (attempt->call_class == CLASS_LONG)
    attempt->service->in_flight_long--;
  else
    {
      attempt->service->in_flight_short--;
      attempt->service->short_call_peak
          -= PEAK_DECAY
             * (attempt->service->short_call_peak
                - (double)attempt->service->in_flight_short);
    }
  if (result != RESULT_CANCELLED)
    record_response (attempt, result, elapsed_us, now);
  if (result == RESULT_FAILED
      && ++state->consecutive_failures >= EJECT_AFTER_FAILURES)
    eject (state, now);
  if (result == RESULT_ANSWERED)
    state->consecutive_failures = 0;
  attempt->upstream = NULL;
}

void
steer_set_leaving (struct steer *steer, struct str upstream,
                   enum leaving_source source, bool leaving, apr_time_t now)
{
  struct upstream_state *state = steer_find_state (steer->upstreams, upstream);
  if (!state)
    return;
  bool was_leaving = state->leaving_sources != 0;
  if (leaving)
    state->leaving_sources |= (int)source;
  else
    state->leaving_sources &= ~(int)source;
  if (was_leaving && !state->leaving_sources && state->spec)
    steer_start_ramp (state, now);
}

void
steer_set_reported_load (struct steer *steer, struct str upstream,
                         int64_t percent, apr_time_t now)
{
  struct upstream_state *state = steer_find_state (steer->upstreams, upstream);
  if (!state)
    return;
  state->reported_load_percent = percent;
  state->reported_at = now;
}

void
steer_report_overdue (struct steer *steer, struct steer_attempt *attempt,
                      apr_time_t elapsed_us, apr_time_t now)
{
  (void)steer;
  struct upstream_state *state = attempt->upstream;
  /* It takes longer than it has already: twice as long is assumed.  */
  double estimate_us = 2.0 * (double)(elapsed_us - attempt->region->rtt_us);
  if (attempt->is_overdue)
    return;
  attempt->is_overdue = true;
  /* One late response may be chance, two at the same time are not.  */
  if (++state->overdue_attempts < 2)
    return;
  if (state->response_us < estimate_us)
    state->response_us = estimate_us;
  state->next_probe_at = now + STEER_PROBE_INTERVAL_US;
}

struct steer_upstream_view
steer_query_upstream (const struct steer *steer, struct str upstream,
                      apr_time_t now)
{
  const struct upstream_state *state
      = steer_find_state (steer->upstreams, upstream);
  if (!state)
    return (struct steer_upstream_view){ 0 };
  return (struct steer_upstream_view){
    .in_flight = share_pool_used (state->slot_pool),
    .limit = steer_upstream_limit (state, now),
    .response_us = (int64_t)state->response_us,
    .leaving = state->leaving_sources,
    .ejected = now < state->ejected_until,
  };
}

struct steer_link *
steer_link (struct steer *steer, struct str from, struct str to)
{
  char name[STEER_GROUP_MAX_BYTES];
  int size = snprintf (name, sizeof name, "%.*s>%.*s", STR_ARGS (from),
                       STR_ARGS (to));
  struct steer_link *link
      = steer_find_state (steer->links, str_view (name, (size_t)size));
  return link && link->is_in_force ? link : NULL;
}

size_t
steer_link_consume (struct steer_link *link, size_t bytes, apr_time_t now)
{
  if (!link->is_in_force)
    return bytes;
  int64_t rate = share_pool_limit (link->rate_pool, now);
  size_t taken
      = token_bucket_consume (&link->bucket, rate > 0 ? rate : 0, bytes, now);
  link->was_throttled |= taken < bytes;
  return taken;
}

void
steer_link_debit (struct steer_link *link, size_t bytes, apr_time_t now)
{
  if (!link->is_in_force)
    return;
  int64_t rate = share_pool_limit (link->rate_pool, now);
  token_bucket_debit (&link->bucket, rate > 0 ? rate : 0, bytes, now);
}

bool
steer_is_within_limits (struct steer *steer, apr_time_t now)
{
  return share_is_within_limits (steer->shares, now);
}

struct share *
steer_shares (struct steer *steer)
{
  return steer->shares;
}
