#include "balance/balance.h"

#include "base/hash.h"

#include <math.h>

/* constants */

/* An upstream is avoided once it has not answered for this many uncached
   service times, or for the minimum if that is longer, and a round trip.  */
static const double unresponsive_factor = 3.0;
static const double min_unresponsive_us = 300000.0;

/* The following costs are in units of the uncached service time.  */

/* What a failed request costs the caller; weighted by the failure rate.  */
static const double failure_cost = 0.3;
/* Of an upstream all of whose slots are in use; spreads requests for objects
   that are cached nowhere over equally fast upstreams.  */
static const double utilization_cost = 0.15;
/* Of the lowest rank by hash; makes all entries prefer the same upstreams for
   an object that is cached nowhere.  */
static const double rank_cost = 0.3;

/* Traffic between zones is expensive: an upstream in the own zone is chosen
   even if its response takes this much longer for each kilobyte of the
   request's body.  */
static const double zone_cost_us_per_kb = 700.0;
/* What a new connection carries in its first round trip; TCP slow start
   doubles it with each further one.  */
static const double initial_window_bytes = 14000.0;
/* Tolerance in slots, since the estimate of other entries' requests is not a
   whole number.  */
static const double slot_rounding = 0.5;
/* Fraction of the requests at an upstream that are assumed to find their
   object cached.  The log lines show 0.96; the lower value keeps a wait from
   being underestimated.  */
static const double queued_cached_fraction = 0.75;
/* Of the newest response, in the moving average of service times.  */
static const double newest_weight = 0.05;
/* A response faster than this fraction of the uncached service time is assumed
   to come from an upstream that had the object cached.  */
static const double cached_below = 0.65;
/* A response counts as at most this many times the estimate, so that a single
   long request does not move it far.  */
static const double max_response_ratio = 1.5;

/* Reports of the last seconds count for a region's load; demand may double in
   ten seconds.  */
static const double reports_decay_us = 2000000.0;
/* Fraction of the upstreams of a region of which an entry hears within a
   second from which on the others are not counted as the mean.  */
static const double max_heard_fraction = 0.05;
/* Weight of the reports from which on their mean is relied on in full, about
   that of one report of an idle upstream.  */
static const double min_report_weight = 1.0;

enum
{
  /* Upstreams of a group that a choice looks at.  In a region with nine of ten
     slots in use, all of them are full once in thirty choices.  */
  CANDIDATES_MAX = 32
};

/* private functions */

static bool
is_excluded (const struct balance_request *request,
             const struct fleet_upstream *upstream)
{
  for (size_t i = 0; i < request->excluded_count; i++)
    if (request->excluded[i] == upstream->hash)
      return true;
  return false;
}

/* An upstream, and its rank for the object by rendezvous hash, which is the
   same at all entries without any message.  */
struct candidate
{
  uint64_t rank;
  struct fleet_upstream *upstream;
};

/* Stores in OUT, which has room for CANDIDATES_MAX, the eligible upstreams
   that have not turned this entry away and rank first, highest rank first;
   returns how many there are.  */
static size_t
find_candidates (const struct balance_request *request, struct candidate *out)
{
  size_t count = 0;
  for (size_t i = 0; request->group && i < request->group->count; i++)
    {
      const struct fleet_member *member = &request->group->members[i];
      uint64_t rank = hash_mix (member->hash, request->object);
      if ((count == CANDIDATES_MAX && rank <= out[count - 1].rank)
          || !fleet_is_eligible (member->upstream)
          || load_is_turned_away (&member->upstream->load, request->now))
        continue;
      size_t at = count < CANDIDATES_MAX ? count++ : count - 1;
      for (; at > 0 && out[at - 1].rank < rank; at--)
        out[at] = out[at - 1];
      out[at] = (struct candidate){ rank, member->upstream };
    }
  return count;
}

/* Returns whether the request can be sent to UPSTREAM now.  MAX_QUEUE:
   requests for each slot that may wait there.  */
static bool
can_take (const struct balance_request *request,
          const struct fleet_upstream *upstream, double max_queue)
{
  const struct load *load = &upstream->load;
  double max_silence = request->service_time->uncached * unresponsive_factor;
  if (max_silence < min_unresponsive_us)
    max_silence = min_unresponsive_us;
  if (load->avoid_until > request->now
      || (load_is_returning (load) && load->in_flight > 0)
      || load->in_flight >= request->max_in_flight
      || load_is_unresponsive (load, (apr_time_t)max_silence + request->rtt,
                               request->now))
    return false;
  if (fleet_is_cold (upstream, request->now)
      && load_sends_since (load, request->now - APR_USEC_PER_SEC)
             >= upstream->cold_quota)
    return false;
  return load_in_flight (load, request->now) + 1.0 + request->reserved_slots
         <= (double)load->slots * (1.0 + max_queue) + slot_rounding;
}

/* Returns how long the request is expected to wait for a slot: until as many
   requests at the upstream have ended as wait there, this one included.  */
static double
estimate_wait (const struct balance_request *request, const struct load *load)
{
  double waiting = load_in_flight (load, request->now) + 1.0 - slot_rounding
                   - (double)load->slots;
  if (waiting <= 0 || load->slots <= 0)
    return 0.0;
  double service_time
      = queued_cached_fraction * request->service_time->cached
        + (1.0 - queued_cached_fraction) * request->service_time->uncached;
  return waiting / (double)load->slots * service_time
         * load_slowdown (load, request->now);
}

/* Returns the time that the body needs beyond the first round trip.  */
static double
transfer_time (const struct balance_request *request)
{
  if ((double)request->body_bytes <= initial_window_bytes)
    return 0.0;
  return log2 ((double)request->body_bytes / initial_window_bytes)
         * (double)request->rtt;
}

/* Returns the time that the request spends on the network: one round trip, a
   second one if a connection has to be made, and the transfer of a large body.
 */
static apr_time_t
network_time (const struct balance_request *request,
              const struct fleet_upstream *upstream)
{
  bool has_connection = upstream->load.last_activity_at > 0
                        && request->now - upstream->load.last_activity_at
                               < request->idle_timeout;
  return request->rtt * (has_connection ? 1 : 2)
         + (apr_time_t)transfer_time (request);
}

/* Returns the cost of UPSTREAM, in microseconds: the time until its response
   is expected, and what probable failures, slots in use, another zone and a
   low rank for the object add to it.  */
static double
upstream_cost (const struct balance_request *request,
               const struct candidate *candidate, double service_time)
{
  const struct fleet_upstream *upstream = candidate->upstream;
  const struct load *load = &upstream->load;
  double expected = service_time * load_slowdown (load, request->now)
                    + estimate_wait (request, load);
  double failure_rate = load_failure_rate (load, request->now);
  double utilization = load->slots > 0 ? load_in_flight (load, request->now)
                                             / (double)load->slots
                                       : 1.0;
  double rank = (double)(candidate->rank >> 11) / (double)(1ULL << 53);
  double zone = str_equal (upstream->zone->name, request->own_zone)
                    ? 0.0
                    : (double)request->body_bytes / 1000 * zone_cost_us_per_kb;
  return expected + zone + (double)network_time (request, upstream)
         + request->service_time->uncached
               * (failure_cost * failure_rate + utilization_cost * utilization
                  + rank_cost * (1.0 - rank));
}

/* Returns the factor by which the weight of REPORTS has decayed.  */
static double
reports_decay (const struct balance_reports *reports, apr_time_t now)
{
  return now <= reports->updated_at
             ? 1.0
             : exp (-(double)(now - reports->updated_at) / reports_decay_us);
}

/* public functions */

struct balance_choice
balance_choose_upstream (const struct balance_request *request)
{
  struct balance_choice best = { 0 };
  double min_cost = INFINITY;
  struct candidate candidates[CANDIDATES_MAX];
  size_t count = find_candidates (request, candidates);
  for (size_t i = 0; i < count; i++)
    {
      struct fleet_upstream *upstream = candidates[i].upstream;
      if (is_excluded (request, upstream))
        continue;
      /* The one that ranks first gets all requests for the object while it
         can take them, so it has it cached.  */
      bool cached = request->recurs
                    && (i == 0
                        || affinity_contains (request->affinity,
                                              upstream->incarnation_hash,
                                              request->object, request->now));
      if (!can_take (request, upstream,
                     cached ? request->max_queue_per_slot : 0.0))
        continue;
      double service_time = cached ? request->service_time->cached
                                   : request->service_time->uncached;
      double cost = upstream_cost (request, &candidates[i], service_time);
      if (cost >= min_cost)
        continue;
      min_cost = cost;
      best.upstream = upstream;
      best.service_time = (apr_time_t)service_time;
      best.expected_latency
          = (apr_time_t)(service_time
                             * load_slowdown (&upstream->load, request->now)
                         + estimate_wait (request, &upstream->load))
            + network_time (request, upstream);
      best.object_cached = cached;
    }
  return best;
}

void
balance_update_service_time (struct balance_service_time *service_time,
                             double elapsed, bool recurs)
{
  /* The time shows better than the affinity record whether the object was
     cached.  */
  bool was_cached = recurs && elapsed < service_time->uncached * cached_below;
  double *estimate
      = was_cached ? &service_time->cached : &service_time->uncached;
  double max_elapsed = *estimate * max_response_ratio;
  *estimate += newest_weight
               * ((elapsed < max_elapsed ? elapsed : max_elapsed) - *estimate);
  if (service_time->cached > service_time->uncached)
    service_time->cached = service_time->uncached;
}

bool
balance_meets_target (const struct balance_service_time *service_time,
                      bool recurs, apr_time_t rtt, apr_time_t target_latency)
{
  return (recurs ? service_time->cached : service_time->uncached) + (double)rtt
         <= (double)target_latency;
}

void
balance_add_report (struct balance_reports *reports, int64_t requests,
                    apr_time_t now)
{
  double kept = reports_decay (reports, now);
  reports->busy_count = reports->busy_count * kept + (requests > 0);
  reports->inverse_sum
      = reports->inverse_sum * kept + 1.0 / (1.0 + (double)requests);
  reports->updated_at = now;
}

double
balance_mean_requests (const struct balance_reports *reports, apr_time_t now)
{
  /* An upstream responds the more often the more requests it has, so the plain
     mean of its reports would be too high.  If the requests at an upstream
     vary like a Poisson process, this estimate has no such bias: with a mean
     of M, a fraction of 1 - exp (-M) finds others, and the mean of the
     inverses is that fraction over M.  */
  double weight = reports->inverse_sum * reports_decay (reports, now);
  double trust = weight < min_report_weight ? weight / min_report_weight : 1.0;
  return reports->inverse_sum > 0
             ? trust * reports->busy_count / reports->inverse_sum
             : 0.0;
}

double
balance_unheard_weight (const struct fleet_service *service, apr_time_t now)
{
  double heard = 0.0;
  for (size_t g = 0; service && g < service->group_count; g++)
    for (size_t i = 0; i < service->groups[g]->count; i++)
      heard += load_report_weight (
          &service->groups[g]->members[i].upstream->load, now);
  double max_heard
      = max_heard_fraction * (service ? (double)service->count : 0.0);
  return heard < max_heard ? 1.0 - heard / max_heard : 0.0;
}

bool
balance_is_turned_away (const struct fleet_group *group, apr_time_t now,
                        size_t *count, apr_time_t *first_return)
{
  for (size_t i = 0; group && i < group->count; i++)
    {
      const struct fleet_upstream *upstream = group->members[i].upstream;
      if (!fleet_is_eligible (upstream))
        continue;
      apr_time_t at = load_returns_at (&upstream->load, now);
      *count += at > 0;
      if (upstream->load.avoid_until > now && upstream->load.avoid_until > at)
        at = upstream->load.avoid_until;
      if (at == 0)
        return false;
      if (*first_return == 0 || at < *first_return)
        *first_return = at;
    }
  return true;
}

struct balance_region_load
balance_region_load (const struct fleet_group *group, double unheard_requests,
                     double cold_slots, apr_time_t now)
{
  struct balance_region_load region_load = { 0 };
  for (size_t i = 0; group && i < group->count; i++)
    {
      const struct fleet_upstream *upstream = group->members[i].upstream;
      if (!fleet_is_eligible (upstream)
          || load_is_turned_away (&upstream->load, now))
        continue;
      double slots = load_is_returning (&upstream->load)
                         ? 1.0
                         : (double)upstream->load.slots;
      if (fleet_is_cold (upstream, now) && slots > cold_slots)
        slots = cold_slots;
      double unheard = 1.0 - load_report_weight (&upstream->load, now);
      double busy
          = load_in_flight (&upstream->load, now) + unheard * unheard_requests;
      region_load.slots += slots;
      region_load.busy += busy < slots ? busy : slots;
    }
  return region_load;
}
