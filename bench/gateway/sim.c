/* The simulation: arrival of calls, entries with their queues, results.  */
#include "bench/gateway/internal.h"

#include "base/hash.h"

#include <apr_general.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* constants */

enum
{
  MAX_WINDOWS = 256,   /* of two seconds */
  DEFAULT_TRIES = 2,   /* submissions of a call by its caller */
  IMMEDIATE_TRIES = 4, /* the same with immediate retries */
  MAX_SENDS = 3,       /* attempts at upstreams for each submission */
  TICK_MS = 100,
  IMMEDIATE_RETRY_MS = 10
};

static const struct sim_request_kind request_kinds[SIM_REQUEST_KINDS]
    = { { 0.65, TIMER_MS (340), TIMER_MS (400), TIMER_SEC (2), 1.0, 1 },
        { 0.35, TIMER_MS (480), TIMER_MS (500), TIMER_SEC (3), 2.0, 0 } };

/* As in the users' deployment of 295 entries.  */
static const struct sim_request_kind long_request_kinds[SIM_REQUEST_KINDS]
    = { { 0.667, TIMER_MS (2160), TIMER_MS (1500), TIMER_SEC (4), 1.0, 1 },
        { 0.333, TIMER_MS (2880), TIMER_MS (2000), TIMER_SEC (5), 2.0, 0 } };

const char *const sim_region_names[SIM_REGIONS] = { "r0", "r1", "r2" };

/* Parameters as in src/gateway/gateway.c and src/gateway/dispatch.c.  */
static const double retry_budget_per_call = 0.17;
static const double retry_slack = 64.0; /* of all entries together, as in the
                                           users' deployment */
static const double overflow_budget_per_call = 0.02;
static const double max_shift_per_s = 0.025; /* fraction of the requests */
/* First estimates of the service times, as fractions of the target latency. */
static const double initial_cached_fraction = 0.5;
static const double initial_uncached_fraction = 0.85;

/* By which the demand of a region moves later than that of the one before. */
static const double region_shape_delay = TIMER_SEC (3);

/* Utilization below which a refusal counts as needless; admission sends late
   calls below it (src/balance/admit.c).  */
static const double low_utilization = 0.3;
static const double zipf_exponent = 0.6; /* of the objects' popularity */
static const apr_time_t same_region_latency = 1000;
static const apr_time_t IDLE_TIMEOUT = TIMER_SEC (6);
/* Fraction of the upstreams outside the first region that are in the second
   one; not a half, so that no two regions are the same size.  */
static const double second_region_fraction = 0.6;
static const apr_time_t default_one_way_latency = 55000;
/* Of a rolling release (sim.h): from the notice that an upstream leaves until
   the store lists it as leaving, if it does, and until its end; then until it
   is replaced.  */
static const apr_time_t leave_listed_after = TIMER_MS (2200);
static const apr_time_t leave_ends_after = TIMER_MS (2500);
static const apr_time_t replaced_after = TIMER_SEC (2);
static const apr_time_t sharing_delay = TIMER_MS (300);

/* Sums of the weights of the calls of one window, region or kind: of all of
   them, and of those answered within the target latency.  */
struct tally
{
  double requested;
  double within_target;
};

/* Collected during a run.  */
static struct tally windows[MAX_WINDOWS];
static struct tally regions[SIM_REGIONS];
static struct tally kinds[SIM_REQUEST_KINDS];
/* Sum of the weights of the calls that arrived, by window and kind.  */
static double demand_weight[MAX_WINDOWS][SIM_REQUEST_KINDS];
static double refusal_time_sum; /* microseconds */
static double needless_refusals;
static double accepted_calls;
static double queued_calls; /* of the accepted ones */

/* private functions */

const struct sim_request_kind *
sim_request_kind (const struct sim *sim, int number)
{
  return sim->plan.long_requests ? &long_request_kinds[number]
                                 : &request_kinds[number];
}

double
sim_random (struct sim *sim)
{
  sim->random ^= sim->random >> 12;
  sim->random ^= sim->random << 25;
  sim->random ^= sim->random >> 27;
  return (double)(sim->random * 0x2545f4914f6cdd1dULL >> 11)
         / (double)(1ULL << 53);
}

int
sim_entries_per_region (const struct sim *sim)
{
  return sim->entry_count / SIM_REGIONS;
}

apr_time_t
sim_one_way_latency (const struct sim *sim, int from, int to)
{
  apr_time_t far = sim->plan.one_way_latency ? sim->plan.one_way_latency
                                             : default_one_way_latency;
  return from == to ? same_region_latency : far;
}

static int
window_index (apr_time_t at)
{
  int window = (int)(at / TIMER_SEC (2));
  return window < MAX_WINDOWS ? window : MAX_WINDOWS - 1;
}

/* Returns the offered load now, over the capacity.  */
static double
demand_now (const struct sim *sim)
{
  double elapsed = (double)sim->now / (double)sim->plan.duration;
  bool is_burst
      = sim->plan.burst_factor > 0 && elapsed > 0.5 && elapsed < 0.75;
  return sim->plan.demand * (is_burst ? sim->plan.burst_factor : 1.0);
}

/* Returns an object with a Zipf-like popularity.  */
static uint64_t
pick_object (struct sim *sim)
{
  double rank = pow (sim_random (sim), 1.0 / (1.0 - zipf_exponent));
  int objects = sim->plan.objects ? sim->plan.objects
                                  : OBJECTS_PER_UPSTREAM * sim->upstream_count;
  uint64_t number = (uint64_t)(rank * objects);
  if (sim->plan.unique_objects)
    number = (uint64_t)(sim_random (sim) * 1e15);
  return (number + 1) * 0x9e3779b97f4a7c15ULL;
}

/* Returns the fraction of the mean demand that arrives in REGION now.  */
static double
region_demand (const struct sim *sim, int region)
{
  const struct sim_plan *plan = &sim->plan;
  double fraction = 1.0 / SIM_REGIONS;
  if (plan->first_region_fraction > 0)
    fraction = region == 0
                   ? plan->first_region_fraction
                   : (1.0 - plan->first_region_fraction) / (SIM_REGIONS - 1);
  if (plan->demand_swing <= 0)
    return fraction;
  double periods = (double)sim->now / (double)plan->demand_period
                   + (double)region / SIM_REGIONS;
  return fraction * (1.0 - plan->demand_swing * sin (2.0 * M_PI * periods));
}

/* Returns the first entry of REGION, or the number of entries for the one
   after the last.  */
static int
first_entry (const struct sim *sim, int region)
{
  return (region * sim->entry_count + SIM_REGIONS - 1) / SIM_REGIONS;
}

/* Returns the factor of the demand of REGION now.  */
static double
shape_factor (const struct sim *sim, int region)
{
  static const double floor = 0.02;
  double t = ((double)sim->now - region_shape_delay * region)
             / (double)sim->plan.duration;
  switch (sim->plan.demand_shape)
    {
    case SIM_DEMAND_STEADY:
      return 1.0;
    case SIM_DEMAND_STEPS:
      return t > 0.4 && t < 0.7 ? floor : 1.0;
    case SIM_DEMAND_RAMPS:
      if (t < 0.3 || t > 0.7)
        return 1.0;
      return floor + (1.0 - floor) * fabs (t - 0.5) / 0.2;
    case SIM_DEMAND_STOPS:
      return t > 0.4 && t < 0.7 ? 0.0 : 1.0;
    case SIM_DEMAND_FROM_NONE:
      return t < 0.3 ? 0.0 : 1.0;
    }
  return 1.0;
}

static int
pick_region (struct sim *sim)
{
  double all = 0.0;
  for (int r = 0; r < SIM_REGIONS; r++)
    all += region_demand (sim, r);
  double point = sim_random (sim) * all;
  for (int r = 0; r < SIM_REGIONS - 1; r++)
    {
      if (point < region_demand (sim, r))
        return r;
      point -= region_demand (sim, r);
    }
  return SIM_REGIONS - 1;
}

/* Counts the outcome of CALL.  */
static void
count_outcome (const struct sim *sim, struct sim_call *call, bool met_target)
{
  double weight
      = met_target ? sim_request_kind (sim, call->kind)->weight : 0.0;
  windows[window_index (call->arrived_at)].within_target += weight;
  regions[call->region].within_target += weight;
  kinds[call->kind].within_target += weight;
}

/* Creates a call and schedules the next one (a Poisson process).  */
static void
generate_call (struct sim *sim)
{
  double mean = 0.0;
  for (int k = 0; k < SIM_REQUEST_KINDS; k++)
    mean += sim_request_kind (sim, k)->fraction
            * (double)sim_request_kind (sim, k)->service_time;
  double rate = demand_now (sim) * sim->upstream_count * sim->slots / mean;
  sim_schedule (
      sim, sim->now + (apr_time_t)(-log (1.0 - sim_random (sim)) / rate) + 1,
      EVENT_NEW_CALL, NULL);
  struct sim_call *call = calloc (1, sizeof *call);
  call->kind = sim_random (sim) < sim_request_kind (sim, 0)->fraction ? 0 : 1;
  call->region = pick_region (sim);
  if (sim->plan.demand_shape != SIM_DEMAND_STEADY
      && sim_random (sim) >= shape_factor (sim, call->region))
    {
      free (call);
      return;
    }
  int first = first_entry (sim, call->region);
  call->entry = first
                + (int)(sim_random (sim)
                        * (first_entry (sim, call->region + 1) - first));
  call->object = pick_object (sim);
  call->arrived_at = sim->now;
  double weight = sim_request_kind (sim, call->kind)->weight;
  sim->result.requests++;
  windows[window_index (sim->now)].requested += weight;
  demand_weight[window_index (sim->now)][call->kind] += weight;
  regions[call->region].requested += weight;
  kinds[call->kind].requested += weight;
  sim_schedule (sim, sim->now, EVENT_ENTRY_ARRIVAL, call);
}

/* Refuses CALL; the caller may submit it again.  */
static void
refuse (struct sim *sim, struct sim_call *call, apr_time_t retry_after)
{
  int max_tries
      = sim->plan.immediate_retries ? IMMEDIATE_TRIES : DEFAULT_TRIES;
  if (sim->plan.immediate_retries)
    retry_after = TIMER_MS (IMMEDIATE_RETRY_MS);
  int busy = 0;
  int slots = 0;
  for (int u = 0; u < sim->upstream_count; u++)
    if (sim->upstreams[u].region == call->region)
      {
        busy += sim->upstreams[u].in_flight;
        slots += sim->slots;
      }
  if (call->retry_count + 1 < max_tries
      && sim->now + retry_after
             < call->arrived_at + sim_request_kind (sim, call->kind)->deadline)
    {
      call->retry_count++;
      sim_schedule (sim, sim->now + retry_after, EVENT_ENTRY_ARRIVAL, call);
      return;
    }
  sim->result.refused++;
  refusal_time_sum += (double)(sim->now - call->submitted_at);
  needless_refusals += busy < low_utilization * slots;
  count_outcome (sim, call, false);
  free (call);
}

/* Counts CALL now in COUNTS.  */
static void
count_in_bin (const struct sim *sim, const struct sim_call *call,
              int32_t counts[SIM_REGIONS][SIM_REGIONS][SIM_MAX_BINS])
{
  apr_time_t bin = sim->now / TIMER_MS (SIM_BIN_MS);
  if (bin < SIM_MAX_BINS)
    counts[call->region][sim->upstreams[call->upstream].region][bin]++;
}

static void
send_call (struct sim *sim, struct sim_call *call, int upstream)
{
  struct sim_entry *entry = &sim->entries[call->entry];
  call->upstream = upstream;
  call->generation = sim->upstreams[upstream].generation;
  if (call->send_count < MAX_EXCLUDED)
    call->tried_upstreams[call->send_count] = upstream;
  call->send_count++;
  call->sent_at = sim->now;
  if (sim->plan.region_counts)
    {
      apr_time_t bin = sim->now / TIMER_MS (SIM_BIN_MS);
      count_in_bin (sim, call, sim->plan.region_counts->sent);
      if (call->overflowed && bin < SIM_MAX_BINS)
        sim->plan.region_counts->overflowed[call->region][bin]++;
    }
  entry->views[upstream].own_in_flight++;
  if (sim_is_own_policy (sim))
    load_begin_request (&entry->upstreams[upstream]->load, sim->now);
  apr_time_t latency = sim_one_way_latency (sim, entry->region,
                                            sim->upstreams[upstream].region);
  apr_time_t used_at = entry->views[upstream].used_at;
  if (sim->plan.connections_close
      && (used_at == 0 || sim->now - used_at > IDLE_TIMEOUT))
    latency *= 3;
  sim_schedule (sim, sim->now + latency, EVENT_UPSTREAM_ARRIVAL, call);
}

/* Removes the call at index I of ENTRY's queue.  */
static void
dequeue (struct sim_entry *entry, int i)
{
  entry->queue[i]->queued = false;
  entry->queued_by_region[entry->queue[i]->target_region]--;
  memmove (&entry->queue[i], &entry->queue[i + 1],
           (size_t)(--entry->queue_length - i) * sizeof *entry->queue);
}

static void
enqueue (struct sim *sim, struct sim_call *call, apr_time_t max_wait)
{
  struct sim_entry *entry = &sim->entries[call->entry];
  int i = entry->queue_length;
  if (i == (int)(sizeof entry->queue / sizeof *entry->queue))
    abort ();
  /* By priority, and in order of arrival within one.  */
  while (i > 0
         && sim_request_kind (sim, entry->queue[i - 1]->kind)->priority
                > sim_request_kind (sim, call->kind)->priority)
    {
      entry->queue[i] = entry->queue[i - 1];
      i--;
    }
  entry->queue[i] = call;
  entry->queue_length++;
  entry->queued_by_region[call->target_region]++;
  call->queued = true;
  call->queued_until = sim->now + max_wait;
  sim_schedule (sim, call->queued_until, EVENT_QUEUE_TIMEOUT, NULL);
}

/* Sends, queues or refuses a call that a caller has submitted, or that is
   retried within its submission.  */
static void
dispatch (struct sim *sim, struct sim_call *call)
{
  struct sim_entry *entry = &sim->entries[call->entry];
  if (call->send_count == 0)
    {
      budget_deposit (&entry->retry_budget);
      region_overflow_deposit (&entry->overflow, sim->now);
      call->submitted_at = sim->now;
    }
  struct sim_decision decision = sim_decide (sim, call, false);
  if (decision.upstream != NO_UPSTREAM)
    send_call (sim, call, decision.upstream);
  else if (decision.must_wait)
    enqueue (sim, call, decision.max_wait);
  else
    refuse (sim, call, decision.retry_after);
}

/* Sends the queued calls for which a slot is free now.  A region is left alone
   once one of its calls has to go on waiting, so that calls keep their order.
 */
static void
dispatch_queued (struct sim *sim, struct sim_entry *entry)
{
  bool full[SIM_REGIONS] = { false };
  for (int i = 0; i < entry->queue_length;)
    {
      struct sim_call *call = entry->queue[i];
      if (full[call->target_region])
        {
          i++;
          continue;
        }
      struct sim_decision decision = sim_decide (sim, call, true);
      if (decision.must_wait)
        {
          full[call->target_region] = true;
          i++;
          continue;
        }
      dequeue (entry, i);
      if (decision.upstream != NO_UPSTREAM)
        send_call (sim, call, decision.upstream);
      else
        refuse (sim, call, decision.retry_after);
    }
}

static void
schedule_response (struct sim *sim, struct sim_call *call)
{
  sim_schedule (
      sim,
      sim->now
          + sim_one_way_latency (sim, sim->upstreams[call->upstream].region,
                                 sim->entries[call->entry].region),
      EVENT_RESPONSE, call);
}

static void
on_upstream_arrival (struct sim *sim, struct sim_call *call)
{
  enum upstream_action action = sim_upstream_accept (sim, call);
  call->refused = action == UPSTREAM_REFUSES;
  call->start_count = sim->upstreams[call->upstream].start_count;
  if (sim->plan.region_counts && !call->refused)
    count_in_bin (sim, call, sim->plan.region_counts->reached);
  call->says_leaving
      = !call->unreachable
        && sim_upstream_is_leaving (sim, &sim->upstreams[call->upstream]);
  sim->result.lost += call->unreachable;
  call->failed = false;
  accepted_calls += !call->refused;
  queued_calls += action == UPSTREAM_QUEUES;
  if (call->refused)
    schedule_response (sim, call);
  else if (action == UPSTREAM_STARTS)
    sim_schedule (sim, sim->now + sim_upstream_run (sim, call),
                  EVENT_COMPLETION, call);
}

static void
on_completion (struct sim *sim, struct sim_call *call)
{
  struct sim_upstream *upstream = &sim->upstreams[call->upstream];
  if ((sim->plan.rolls_release
       && (upstream->has_ended || call->generation != upstream->generation))
      || (sim->plan.outage.fraction > 0
          && (upstream->has_ended
              || call->start_count != upstream->start_count)))
    {
      call->failed = true;
      sim->result.lost++;
      schedule_response (sim, call);
      return;
    }
  call->says_leaving = sim_upstream_is_leaving (sim, upstream)
                       || (upstream->false_notices > 0
                           && sim_random (sim) < upstream->false_notices);
  struct sim_call *next
      = sim_upstream_finish (&sim->upstreams[call->upstream]);
  if (next)
    sim_schedule (sim, sim->now + sim_upstream_run (sim, next),
                  EVENT_COMPLETION, next);
  schedule_response (sim, call);
}

/* ENTRY is told what upstream NUMBER says to callers now: that it leaves, or
   that it wants no request for WAIT.  */
static void
apply_notice (struct sim *sim, int entry_number, int number, bool is_leaving,
              apr_time_t wait)
{
  struct sim_entry *entry = &sim->entries[entry_number];
  struct fleet_upstream *upstream = entry->upstreams[number];
  size_t rank = (size_t)(entry_number + 7 * number) % (size_t)sim->entry_count;
  if (is_leaving)
    fleet_mark_leaving (entry->fleet, upstream, sim->now);
  if (wait > 0)
    fleet_turn_away (entry->fleet, upstream,
                     wait + load_return_delay (rank, (size_t)sim->entry_count),
                     wait, sim->now);
}

/* Applies what the upstream of CALL said in its response.  */
static void
handle_notices (struct sim *sim, struct sim_call *call)
{
  struct sim_upstream *upstream = &sim->upstreams[call->upstream];
  sim->result.turned_away += call->stated_wait > 0;
  if (!sim_is_own_policy (sim) || sim->plan.ignores_notices
      || call->generation != upstream->generation
      || (!call->says_leaving && call->stated_wait == 0))
    return;
  apply_notice (sim, call->entry, call->upstream, call->says_leaving,
                call->stated_wait);
  upstream->told_leaving |= call->says_leaving;
  if (sim->plan.shares_notices && upstream->shared_at == 0)
    upstream->shared_at = sim->now + sharing_delay;
}

/* Tells all entries what upstreams told one of them.  */
static void
share_notices (struct sim *sim)
{
  for (int u = 0; u < sim->upstream_count; u++)
    {
      struct sim_upstream *upstream = &sim->upstreams[u];
      if (upstream->shared_at == 0 || upstream->shared_at > sim->now)
        continue;
      upstream->shared_at = INT64_MAX;
      for (int e = 0; e < sim->entry_count; e++)
        apply_notice (sim, e, u, upstream->told_leaving,
                      upstream->away_until - sim->now);
    }
}

/* Updates what the entry knows with the response to CALL.  */
static void
record_response (struct sim *sim, struct sim_call *call)
{
  struct sim_entry *entry = &sim->entries[call->entry];
  struct sim_upstream *upstream = &sim->upstreams[call->upstream];
  struct load *load = &entry->upstreams[call->upstream]->load;
  apr_time_t elapsed
      = sim->now - call->sent_at
        - 2 * sim_one_way_latency (sim, entry->region, upstream->region);
  struct load_report report
      = { upstream->in_flight, upstream->queue_length, sim->slots,
          (int64_t)(upstream->slowdown * 100) };
  /* The load of an upstream that was replaced is not the new one's.  */
  if (call->generation != upstream->generation)
    return;
  entry->views[call->upstream].own_in_flight--;
  entry->views[call->upstream].used_at = sim->now;
  entry->views[call->upstream].reported_in_flight
      = upstream->in_flight + upstream->queue_length;
  if (!sim_is_own_policy (sim))
    return;
  load_apply_report (load, &report, sim->now);
  balance_add_report (&entry->reports[upstream->region],
                      report.running + report.waiting, sim->now);
  load_end_request (load,
                    call->unreachable ? LOAD_UNREACHABLE
                    : call->refused   ? LOAD_REFUSED
                    : call->failed    ? LOAD_FAILED
                                      : LOAD_ANSWERED,
                    elapsed,
                    (apr_time_t)((double)call->service_time * call->slowdown),
                    sim->now);
  if (call->refused || call->failed)
    return;
  balance_update_service_time (&entry->service_times[call->kind],
                               (double)elapsed / call->slowdown,
                               !sim->plan.unique_objects);
  affinity_record (fleet_affinity (entry->fleet),
                   entry->upstreams[call->upstream]->incarnation_hash,
                   call->object, sim->now);
}

static void
on_response (struct sim *sim, struct sim_call *call)
{
  struct sim_entry *entry = &sim->entries[call->entry];
  apr_time_t latency = sim->now - call->arrived_at;
  record_response (sim, call);
  handle_notices (sim, call);
  /* Only the first kind may be executed more than once.  */
  bool may_retry = call->refused || (call->failed && call->kind == 0);
  if (may_retry && call->send_count < MAX_SENDS
      && budget_try_withdraw (&entry->retry_budget))
    dispatch (sim, call);
  else if (call->refused)
    refuse (sim, call, TIMER_MS (200));
  else
    {
      bool met_target
          = !call->failed
            && latency <= sim_request_kind (sim, call->kind)->target_latency;
      sim->result.failed += call->failed;
      sim->result.within_target += met_target;
      sim->result.late += !call->failed && !met_target;
      count_outcome (sim, call, met_target);
      free (call);
    }
  dispatch_queued (sim, entry);
}

/* Decides again, for the last time, about calls whose time in a queue is over.
   There may be none: the call of the event may have been sent since.  */
static void
on_queue_timeout (struct sim *sim)
{
  for (int e = 0; e < sim->entry_count; e++)
    for (int i = 0; i < sim->entries[e].queue_length;)
      {
        struct sim_entry *entry = &sim->entries[e];
        struct sim_call *call = entry->queue[i];
        if (call->queued_until > sim->now)
          {
            i++;
            continue;
          }
        dequeue (entry, i);
        struct sim_decision decision = sim_decide (sim, call, true);
        if (decision.upstream != NO_UPSTREAM)
          send_call (sim, call, decision.upstream);
        else
          refuse (sim, call, TIMER_MS (200));
      }
}

/* Adds upstream NUMBER, with the id of its generation, to ENTRY's fleet.  */
static void
add_upstream (struct sim *sim, struct sim_entry *entry, int number)
{
  char id[32];
  const struct sim_upstream *upstream = &sim->upstreams[number];
  if (upstream->generation > 0)
    snprintf (id, sizeof id, "u%d-%d", number, upstream->generation);
  else
    snprintf (id, sizeof id, "u%d", number);
  struct fleet_record record
      = { .id = str_from (id),
          .service = STR ("s"),
          .address = STR ("10.0.0.1:1"),
          .zone = str_from (sim_region_names[upstream->region]),
          .slots = sim->slots,
          .incarnation = upstream->generation + 1 };
  fleet_put_upstream (entry->fleet, &record, number + 1, sim->now);
  const struct fleet_group *group
      = fleet_group (fleet_service (entry->fleet, STR ("s")), record.zone);
  entry->upstreams[number]
      = fleet_upstream_ref (group->members[group->count - 1].upstream);
}

/* Replaces the upstreams that are due to be.  The calls at one that ends run
   to their end.  */
static void
replace_upstreams (struct sim *sim)
{
  double progress = 3.0 * (double)sim->now / (double)sim->plan.duration - 1.0;
  int due
      = (int)(progress * sim->plan.replaced_fraction * sim->upstream_count);
  int last = (int)(sim->plan.replaced_fraction * sim->upstream_count);
  for (; sim->replaced_count < due && sim->replaced_count < last;
       sim->replaced_count++)
    {
      /* Spread over the regions.  */
      int number = sim->replaced_count * 7 % sim->upstream_count;
      struct sim_upstream *upstream = &sim->upstreams[number];
      upstream->generation++;
      memset (upstream->cached_objects, 0, sizeof upstream->cached_objects);
      for (int e = 0; e < sim->entry_count; e++)
        {
          struct sim_entry *entry = &sim->entries[e];
          struct fleet_upstream *old = entry->upstreams[number];
          fleet_remove_upstream (entry->fleet, old->id, false, sim->now);
          fleet_upstream_unref (old);
          add_upstream (sim, entry, number);
        }
    }
}

/* Ends upstream NUMBER with the calls that wait there; those in its slots are
   found to be lost when they would have been completed.  */
static void
end_upstream (struct sim *sim, int number)
{
  struct sim_upstream *upstream = &sim->upstreams[number];
  upstream->has_ended = true;
  while (upstream->queue_length > 0)
    {
      struct sim_call *call = upstream->queue[--upstream->queue_length];
      call->failed = true;
      sim->result.lost++;
      schedule_response (sim, call);
    }
}

/* Has the store list upstream NUMBER as leaving.  */
static void
list_as_leaving (struct sim *sim, int number)
{
  sim->upstreams[number].is_listed_leaving = true;
  for (int e = 0; e < sim->entry_count; e++)
    {
      struct sim_entry *entry = &sim->entries[e];
      struct fleet_upstream *upstream = entry->upstreams[number];
      struct fleet_record record = { .id = upstream->id,
                                     .service = upstream->service,
                                     .address = upstream->address,
                                     .zone = upstream->zone->name,
                                     .slots = upstream->slots,
                                     .incarnation = upstream->incarnation,
                                     .write_count = 1,
                                     .leaving = true };
      fleet_put_upstream (entry->fleet, &record, upstream->revision + 1,
                          sim->now);
    }
}

/* Returns whether upstream NUMBER takes part in the outage of the plan.  */
static bool
is_in_outage (const struct sim *sim, int number)
{
  double position = (double)(number * 7 % sim->upstream_count)
                    / (double)sim->upstream_count;
  return (sim->plan.outage.region == SIM_REGIONS
          || sim->upstreams[number].region == sim->plan.outage.region)
         && position < sim->plan.outage.fraction;
}

/* Upstream NUMBER, which takes part in the outage, enters PHASE; the entries
   know at once what it says of itself.  */
static void
set_outage_phase (struct sim *sim, int number, enum sim_outage_phase phase)
{
  struct sim_upstream *upstream = &sim->upstreams[number];
  struct cold_quota quota = cold_quota_divide (sim->plan.outage.cold_rate,
                                               (size_t)sim->entry_count);
  if (phase == OUTAGE_AWAY)
    end_upstream (sim, number);
  if (phase == OUTAGE_COLD)
    {
      upstream->has_ended = false;
      upstream->in_flight = 0;
      upstream->start_count++;
      memset (upstream->cached_objects, 0, sizeof upstream->cached_objects);
    }
  for (int e = 0; e < sim->entry_count && sim_is_own_policy (sim); e++)
    {
      struct fleet_upstream *view = sim->entries[e].upstreams[number];
      size_t rank = (size_t)(e + 7 * number) % (size_t)sim->entry_count;
      if (phase == OUTAGE_DOUBTED)
        fleet_doubt (sim->entries[e].fleet, view, sim->now);
      if (phase == OUTAGE_COLD)
        fleet_settle (view, sim->now, sim->plan.outage.cold_time);
      view->cold_quota = rank < quota.senders ? quota.per_sender : 0;
    }
}

/* Takes the step of the outage that is due, if one is.  */
static void
update_outage (struct sim *sim)
{
  const struct sim_outage *outage = &sim->plan.outage;
  apr_time_t at[] = {
    [OUTAGE_AWAY] = outage->begins_at,
    [OUTAGE_DOUBTED] = outage->begins_at + TIMER_MS (TICK_MS),
    [OUTAGE_COLD] = outage->begins_at + outage->lasts,
    [OUTAGE_OVER] = outage->begins_at + outage->lasts + outage->cold_time,
  };
  enum sim_outage_phase next = sim->outage_phase + 1;
  if (next > OUTAGE_OVER || sim->now < at[next])
    return;
  sim->outage_phase = next;
  for (int u = 0; u < sim->upstream_count; u++)
    if (is_in_outage (sim, u))
      set_outage_phase (sim, u, next);
}

static void
replace_ended (struct sim *sim, int number)
{
  struct sim_upstream *upstream = &sim->upstreams[number];
  upstream->generation++;
  upstream->has_ended = false;
  upstream->is_listed_leaving = false;
  upstream->told_leaving = false;
  upstream->leaves_at = INT64_MAX;
  upstream->shared_at = 0;
  upstream->in_flight = 0;
  memset (upstream->cached_objects, 0, sizeof upstream->cached_objects);
  for (int e = 0; e < sim->entry_count; e++)
    {
      struct sim_entry *entry = &sim->entries[e];
      struct fleet_upstream *old = entry->upstreams[number];
      entry->views[number] = (struct sim_upstream_view){ 0 };
      fleet_remove_upstream (entry->fleet, old->id, false, sim->now);
      fleet_upstream_unref (old);
      add_upstream (sim, entry, number);
    }
}

/* Takes the steps of a rolling release that are due.  */
static void
roll_release (struct sim *sim)
{
  for (int u = 0; u < sim->upstream_count; u++)
    {
      struct sim_upstream *upstream = &sim->upstreams[u];
      if (upstream->leaves_at > sim->now)
        continue;
      apr_time_t elapsed = sim->now - upstream->leaves_at;
      if (u % 2 == 1 && !upstream->is_listed_leaving
          && elapsed >= leave_listed_after)
        list_as_leaving (sim, u);
      if (!upstream->has_ended && elapsed >= leave_ends_after)
        end_upstream (sim, u);
      if (elapsed >= leave_ends_after + replaced_after)
        replace_ended (sim, u);
    }
}

/* Returns how many slots of a cold upstream are used by what all entries
   together may send to it, as ENTRY estimates it.  */
static double
cold_slots (const struct sim *sim, const struct sim_entry *entry)
{
  struct cold_quota quota = cold_quota_divide (sim->plan.outage.cold_rate,
                                               (size_t)sim->entry_count);
  double service_time = 0.0;
  for (int k = 0; k < SIM_REQUEST_KINDS; k++)
    service_time += sim_request_kind (sim, k)->fraction
                    * entry->service_times[k].uncached / APR_USEC_PER_SEC;
  return (double)quota.senders * (double)quota.per_sender * service_time;
}

static void
on_tick (struct sim *sim)
{
  sim_upstreams_update (sim);
  if (sim->plan.rolls_release)
    roll_release (sim);
  if (sim->plan.shares_notices)
    share_notices (sim);
  if (sim->plan.outage.fraction > 0)
    update_outage (sim);
  if (sim->plan.replaced_fraction > 0)
    replace_upstreams (sim);
  for (int e = 0; e < sim->entry_count && sim_is_own_policy (sim); e++)
    {
      struct sim_entry *entry = &sim->entries[e];
      double weight = balance_unheard_weight (
          fleet_service (entry->fleet, STR ("s")), sim->now);
      for (int r = 0; r < SIM_REGIONS; r++)
        entry->region_loads[r] = balance_region_load (
            fleet_group (fleet_service (entry->fleet, STR ("s")),
                         str_from (sim_region_names[r])),
            weight * balance_mean_requests (&entry->reports[r], sim->now),
            cold_slots (sim, entry), sim->now);
      region_split_update (&entry->region_split, entry->region_loads,
                           sim->now);
    }
  sim_schedule (sim, sim->now + TIMER_MS (TICK_MS), EVENT_TICK, NULL);
}

/* A zone is called like its region.  */
static struct str
find_region (void *user_data, struct str zone)
{
  (void)user_data;
  return zone;
}

static void
create_deployment (struct sim *sim)
{
  int u = 0;
  int first = sim->plan.first_region_upstreams
                  ? sim->plan.first_region_upstreams
                  : DEFAULT_FIRST_REGION_UPSTREAMS;
  int last
      = first + (int)((sim->upstream_count - first) * second_region_fraction);
  for (; u < sim->upstream_count; u++)
    sim->upstreams[u] = (struct sim_upstream){ .region = u < first  ? 0
                                                         : u < last ? 1
                                                                    : 2,
                                               .slowdown = 1,
                                               .slow_factor = 1 };
  /* Spread over the regions.  */
  for (u = 0; u < sim->upstream_count && sim->plan.rolls_release; u++)
    sim->upstreams[u * 7 % sim->upstream_count].leaves_at
        = (apr_time_t)((double)sim->plan.duration
                       * (0.1 + 0.8 * u / sim->upstream_count));
  for (int e = 0; e < sim->entry_count; e++)
    {
      struct sim_entry *entry = &sim->entries[e];
      struct fleet_desc desc = { .find_region = find_region };
      entry->region = e * SIM_REGIONS / sim->entry_count;
      entry->fleet = fleet_create (sim->pool, &desc);
      for (u = 0; u < sim->upstream_count; u++)
        add_upstream (sim, entry, u);
      region_split_init (&entry->region_split, SIM_REGIONS,
                         (size_t)entry->region, max_shift_per_s);
      for (int k = 0; k < SIM_REQUEST_KINDS; k++)
        entry->service_times[k] = (struct balance_service_time){
          .cached = (double)sim_request_kind (sim, k)->target_latency
                    * initial_cached_fraction,
          .uncached = (double)sim_request_kind (sim, k)->target_latency
                      * initial_uncached_fraction
        };
      budget_init (&entry->retry_budget, retry_budget_per_call,
                   budget_max_balance (retry_slack, (size_t)sim->entry_count),
                   budget_max_balance (retry_slack, (size_t)sim->entry_count)
                       + 1.0,
                   (double)(hash_mix (sim->plan.seed, (uint64_t)e) >> 11)
                       / (double)(1ULL << 53));
      region_overflow_init (&entry->overflow, overflow_budget_per_call,
                            (sim->plan.seed + 1 + (uint64_t)e)
                                * 0x9e3779b97f4a7c15ULL);
    }
}

static void
handle (struct sim *sim, const struct sim_event *event)
{
  struct sim_call *call = event->call;
  switch (event->kind)
    {
    case EVENT_NEW_CALL:
      if (sim->now < sim->plan.duration)
        generate_call (sim);
      return;
    case EVENT_ENTRY_ARRIVAL:
      call->send_count = 0;
      dispatch (sim, call);
      return;
    case EVENT_UPSTREAM_ARRIVAL:
      on_upstream_arrival (sim, call);
      return;
    case EVENT_COMPLETION:
      on_completion (sim, call);
      return;
    case EVENT_RESPONSE:
      on_response (sim, call);
      return;
    case EVENT_QUEUE_TIMEOUT:
      on_queue_timeout (sim);
      return;
    case EVENT_TICK:
      on_tick (sim);
      return;
    }
}

/* Returns the lowest fraction within the target among the N tallies of LIST
   with more than MIN_REQUESTED.  */
static double
min_fraction (const struct tally *list, int n, double min_requested)
{
  double lowest = 1.0;
  for (int i = 0; i < n; i++)
    if (list[i].requested > min_requested
        && list[i].within_target / list[i].requested < lowest)
      lowest = list[i].within_target / list[i].requested;
  return lowest;
}

/* Returns the weighted fraction of the calls that fits into the slots if each
   of them is always busy with a cached object, the kind with the most weight
   per slot-second first.  */
static double
ideal_fraction (const struct sim *sim)
{
  double served = 0.0;
  double total = 0.0;
  for (int w = 0; w < MAX_WINDOWS; w++)
    {
      double slots = sim->upstream_count * sim->slots * 2.0; /* slot-seconds */
      for (int k = SIM_REQUEST_KINDS - 1; k >= 0; k--)
        {
          double service_time
              = (double)sim_request_kind (sim, k)->service_time
                / APR_USEC_PER_SEC
                * (sim->plan.unique_objects ? 1.0
                                            : sim_cached_time_fraction (sim));
          double calls
              = demand_weight[w][k] / sim_request_kind (sim, k)->weight;
          double fits
              = slots / service_time < calls ? slots / service_time : calls;
          slots -= fits * service_time;
          served += fits * sim_request_kind (sim, k)->weight;
          total += demand_weight[w][k];
        }
    }
  return total > 0 ? served / total : 1.0;
}

static void
compute_result (struct sim *sim)
{
  struct sim_result *result = &sim->result;
  double requested = 0.0;
  double within_target = 0.0;
  for (int r = 0; r < SIM_REGIONS; r++)
    {
      requested += regions[r].requested;
      within_target += regions[r].within_target;
    }
  int whole_windows = (int)(sim->plan.duration / TIMER_SEC (2));
  result->within_target_fraction
      = requested > 0 ? within_target / requested : 0.0;
  result->worst_region = min_fraction (regions, SIM_REGIONS, 0);
  result->worst_kind = min_fraction (kinds, SIM_REQUEST_KINDS, 0);
  result->worst_window = min_fraction (windows, whole_windows, 0);
  result->mean_refusal_ms
      = result->refused > 0 ? refusal_time_sum / 1000 / (double)result->refused
                            : 0;
  result->needless_refusal_fraction
      = result->refused > 0 ? needless_refusals / (double)result->refused : 0;
  double served = result->requests > 0
                      ? (double)(result->within_target + result->late)
                            / (double)result->requests
                      : 0.0;
  result->value = 0.336 * result->within_target_fraction
                  + 0.3 * result->worst_region + 0.14 * result->worst_window
                  + 0.084 * result->worst_kind + 0.14 * served;
  result->queued_fraction
      = accepted_calls > 0 ? queued_calls / accepted_calls : 0.0;
  result->ideal_fraction = ideal_fraction (sim);
}

/* public functions */

struct sim_result
sim_run (const struct sim_plan *plan)
{
  struct sim *sim = calloc (1, sizeof *sim);
  sim->plan = *plan;
  if (!sim->plan.duration)
    sim->plan.duration = TIMER_SEC (30);
  sim->entry_count = plan->entries ? plan->entries : DEFAULT_ENTRIES;
  sim->upstream_count = plan->upstreams ? plan->upstreams : DEFAULT_UPSTREAMS;
  sim->slots = plan->long_requests ? LONG_SLOTS : SLOTS;
  sim->cache_capacity
      = plan->cache_capacity ? plan->cache_capacity : CACHE_CAPACITY;
  sim->random = (plan->seed + 1) * 0x9e3779b97f4a7c15ULL;
  memset (windows, 0, sizeof windows);
  memset (regions, 0, sizeof regions);
  memset (kinds, 0, sizeof kinds);
  memset (demand_weight, 0, sizeof demand_weight);
  refusal_time_sum = needless_refusals = accepted_calls = queued_calls = 0;
  apr_pool_create (&sim->pool, NULL);
  /* The code under test takes a time of 0 for none.  */
  sim->now = 1;
  create_deployment (sim);
  sim_schedule (sim, 1, EVENT_TICK, NULL);
  sim_schedule (sim, 1, EVENT_NEW_CALL, NULL);
  apr_time_t end = sim->plan.duration + TIMER_SEC (5);
  struct sim_event event;
  while (sim_next_event (sim, end, &event))
    {
      sim->now = event.at;
      handle (sim, &event);
    }
  compute_result (sim);
  struct sim_result result = sim->result;
  while (sim_next_event (sim, INT64_MAX, &event))
    free (event.call);
  for (int u = 0; u < sim->upstream_count; u++)
    while (sim->upstreams[u].queue_length > 0)
      free (sim->upstreams[u].queue[--sim->upstreams[u].queue_length]);
  for (int e = 0; e < sim->entry_count; e++)
    {
      while (sim->entries[e].queue_length > 0)
        free (sim->entries[e].queue[--sim->entries[e].queue_length]);
      for (int u = 0; u < sim->upstream_count; u++)
        fleet_upstream_unref (sim->entries[e].upstreams[u]);
      fleet_destroy (sim->entries[e].fleet);
    }
  apr_pool_destroy (sim->pool);
  free (sim->events);
  free (sim);
  return result;
}

const char *
sim_policy_name (enum sim_policy policy)
{
  static const char *const names[SIM_POLICY_END]
      = { "",           "own",        "own-slots", "random", "round-robin",
          "least-told", "two-choices" };
  return names[policy];
}
