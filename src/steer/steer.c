#include "steer/internal.h"

#include "base/random.h"

#include <stdio.h>

/* constants */

enum
{
  EJECT_AFTER_FAILURES = 3,
  MIN_EJECT_MS = 500,
  MAX_EJECT_MS = 15000
};

/* Weight of a new response time in the moving average.  */
#define RESPONSE_GAIN 0.3
/* The same for the average of a whole service.  */
#define SERVICE_GAIN 0.05
/* The peak of short calls decays by this part of the difference a call.  */
#define PEAK_DECAY 0.01
/* A call that takes longer than this part of the calls is hedged; the
   estimate moves by steps of this part of the mean.  */
#define HEDGE_QUANTILE 0.97
#define TAIL_STEP 0.05
/* A refusal or failure counts as an answer this many times as slow.  */
#define FAILURE_PENALTY 4.0

/* private functions */

static void
eject (struct upstream_state *state, apr_time_t now)
{
  int doublings = state->consecutive_failures - EJECT_AFTER_FAILURES;
  int64_t ms = MIN_EJECT_MS;
  while (doublings-- > 0 && ms < MAX_EJECT_MS)
    ms *= 2;
  state->ejected_until = now + ms * 1000;
}

/* Takes one response time into the averages.  */
static void
record_response (const struct steer_ticket *ticket, enum steer_result result,
       apr_time_t elapsed_us, apr_time_t now)
{
  struct upstream_state *state = ticket->upstream;
  struct service_state *service = ticket->service;
  double before = steer_estimate_response_us (service, state);
  double sample = (double)(elapsed_us - ticket->region->rtt_us);
  if (sample < 1)
    sample = 1;
  if (result != RESULT_ANSWERED)
    sample = FAILURE_PENALTY * (sample > before ? sample : before);
  else if (ticket->call_class == CLASS_LONG)
    return;
  /* One answer at the default_response_us pace ends a slow spell.  */
  bool recovered = steer_upstream_is_slow (service, state)
                   && sample < STEER_SLOW_FACTOR * service->mean_response_us;
  state->response_us = state->response_us <= 0 || recovered
                           ? sample
                           : before + RESPONSE_GAIN * (sample - before);
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

struct steer_ticket
steer_begin (struct steer *steer, const struct upstream *upstream,
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
    state->overdue_attempts--;
  share_pool_release (state->slot_pool, 1);
  share_pool_release (ticket->region->call_pool, 1);
  share_pool_release (ticket->service->call_pool, 1);
  if (ticket->call_class == CLASS_LONG)
    ticket->service->in_flight_long--;
  else
    {
      ticket->service->in_flight_short--;
      ticket->service->short_call_peak
          -= PEAK_DECAY
             * (ticket->service->short_call_peak
                - (double)ticket->service->in_flight_short);
    }
  if (result != RESULT_CANCELLED)
    record_response (ticket, result, elapsed_us, now);
  if (result == RESULT_FAILED && ++state->consecutive_failures >= EJECT_AFTER_FAILURES)
    eject (state, now);
  if (result == RESULT_ANSWERED)
    state->consecutive_failures = 0;
  ticket->upstream = NULL;
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
steer_report (struct steer *steer, struct str upstream, int64_t percent,
              apr_time_t now)
{
  struct upstream_state *state = steer_find_state (steer->upstreams, upstream);
  if (!state)
    return;
  state->reported_load_percent = percent;
  state->reported_at = now;
}

void
steer_overdue (struct steer *steer, struct steer_ticket *ticket,
               apr_time_t elapsed_us, apr_time_t now)
{
  (void)steer;
  struct upstream_state *state = ticket->upstream;
  double least = 2.0 * (double)(elapsed_us - ticket->region->rtt_us);
  if (ticket->is_overdue)
    return;
  ticket->is_overdue = true;
  /* One late answer is chance; two at a time are not.  */
  if (++state->overdue_attempts < 2)
    return;
  if (state->response_us < least)
    state->response_us = least;
  state->next_probe_at = now + STEER_PROBE_INTERVAL_US;
}

struct steer_view
steer_query (const struct steer *steer, struct str upstream, apr_time_t now)
{
  const struct upstream_state *state = steer_find_state (steer->upstreams, upstream);
  if (!state)
    return (struct steer_view){ 0 };
  return (struct steer_view){
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
  return steer_find_state (steer->links, str_view (name, (size_t)size));
}

size_t
steer_link_take (struct steer_link *link, size_t want, apr_time_t now)
{
  int64_t rate = share_pool_limit (link->rate_pool, now);
  size_t taken = pace_take (&link->bucket, rate > 0 ? rate : 0, want, now);
  link->was_throttled |= taken < want;
  return taken;
}

void
steer_link_debit (struct steer_link *link, size_t bytes, apr_time_t now)
{
  int64_t rate = share_pool_limit (link->rate_pool, now);
  pace_debit (&link->bucket, rate > 0 ? rate : 0, bytes, now);
}

bool
steer_is_settled (struct steer *steer, apr_time_t now)
{
  return share_is_settled (steer->shares, now);
}

struct share *
steer_share (struct steer *steer)
{
  return steer->shares;
}
