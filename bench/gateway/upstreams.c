/* The simulated upstreams: slots, a queue, a bounded cache of objects, varying
   speed, and faults.  */
#include "bench/gateway/internal.h"

#include <string.h>

/* Service times of cached objects, as fractions of the full ones.  */
static const double cached_time_fraction = 0.55;
static const double long_cached_time_fraction = 0.25;
static const double tail_factor = 7.0;
static const double false_notice_fraction = 0.01;
/* Bounds of the time for which an upstream turns requests away.  */
static const apr_time_t min_away = TIMER_SEC (1);
static const apr_time_t max_away = TIMER_SEC (10);

/* private functions */

/* Returns whether OBJECT is cached; if not, caches it in place of the oldest.
 */
static bool
lookup_object (const struct sim *sim, struct sim_upstream *upstream,
               uint64_t object)
{
  for (int i = 0; i < sim->cache_capacity; i++)
    if (upstream->cached_objects[i] == object)
      return true;
  upstream->cached_objects[upstream->next_evicted++ % sim->cache_capacity]
      = object;
  return false;
}

/* Lets upstreams turn requests away until as many do as the plan says.  */
static void
update_away (struct sim *sim)
{
  int missing = (int)(sim->plan.away_fraction * sim->upstream_count);
  for (int u = 0; u < sim->upstream_count; u++)
    missing -= sim->upstreams[u].away_until > sim->now;
  while (missing > 0)
    {
      int u = (int)(sim_random (sim) * sim->upstream_count);
      if (sim->upstreams[u].away_until > sim->now)
        continue;
      sim->upstreams[u].away_until
          = sim->now + min_away
            + (apr_time_t)(sim_random (sim) * (double)(max_away - min_away));
      sim->upstreams[u].shared_at = 0;
      missing--;
    }
}

/* public functions */

double
sim_cached_time_fraction (const struct sim *sim)
{
  return sim->plan.long_requests ? long_cached_time_fraction
                                 : cached_time_fraction;
}

enum upstream_action
sim_upstream_accept (struct sim *sim, struct sim_call *call)
{
  struct sim_upstream *upstream = &sim->upstreams[call->upstream];
  call->unreachable = upstream->has_ended;
  call->stated_wait
      = upstream->away_until > sim->now ? upstream->away_until - sim->now : 0;
  if (call->unreachable || call->stated_wait > 0)
    return UPSTREAM_REFUSES;
  if (upstream->in_flight < sim->slots)
    {
      upstream->in_flight++;
      return UPSTREAM_STARTS;
    }
  if (upstream->queue_length >= sim->plan.queue_capacity
      || upstream->queue_length == MAX_QUEUE)
    return UPSTREAM_REFUSES;
  upstream->queue[upstream->queue_length++] = call;
  return UPSTREAM_QUEUES;
}

apr_time_t
sim_upstream_run (struct sim *sim, struct sim_call *call)
{
  struct sim_upstream *upstream = &sim->upstreams[call->upstream];
  double service_time
      = (double)sim_request_kind (sim, call->kind)->service_time
        * upstream->slowdown * upstream->slow_factor
        * (0.8 + 0.4 * sim_random (sim));
  if (lookup_object (sim, upstream, call->object))
    service_time *= sim_cached_time_fraction (sim);
  if (sim->plan.tail_fraction > 0
      && sim_random (sim) < sim->plan.tail_fraction)
    service_time *= tail_factor;
  call->failed = sim_random (sim) < upstream->failure_rate;
  return (apr_time_t)service_time;
}

struct sim_call *
sim_upstream_finish (struct sim_upstream *upstream)
{
  struct sim_call *next = upstream->queue[0];
  upstream->in_flight--;
  if (upstream->queue_length == 0)
    return NULL;
  memmove (upstream->queue, upstream->queue + 1,
           (size_t)--upstream->queue_length * sizeof *upstream->queue);
  upstream->in_flight++;
  return next;
}

void
sim_upstreams_update (struct sim *sim)
{
  bool is_second_half = sim->now > sim->plan.duration / 2;
  if (sim->plan.away_fraction > 0)
    update_away (sim);
  for (int u = 0; u < sim->upstream_count; u++)
    {
      struct sim_upstream *upstream = &sim->upstreams[u];
      /* Spreads slow and failing upstreams over the regions.  */
      double position
          = (double)(u * 7 % sim->upstream_count) / sim->upstream_count;
      upstream->slowdown
          += 0.3 * (1.0 - upstream->slowdown)
             + sim->plan.slowdown_noise * (sim_random (sim) - 0.5);
      if (upstream->slowdown < 0.5)
        upstream->slowdown = 0.5;
      upstream->slow_factor
          = is_second_half && position < sim->plan.slow_fraction
                ? sim->plan.slow_factor
                : 1.0;
      upstream->false_notices
          = is_second_half && position < sim->plan.lying_fraction
                ? false_notice_fraction
                : 0.0;
      upstream->failure_rate
          = is_second_half && position < sim->plan.failing_fraction
                ? sim->plan.failure_rate
                : 0.0;
    }
}

bool
sim_upstream_is_leaving (const struct sim *sim,
                         const struct sim_upstream *upstream)
{
  return sim->plan.rolls_release && upstream->leaves_at <= sim->now;
}
