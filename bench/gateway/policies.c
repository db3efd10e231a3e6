/* The policies: the gateway's own code, and baselines.  */
#include "bench/gateway/internal.h"

#include <string.h>

/* As in src/gateway/dispatch.c, where they are explained.  */
static const double reserve_min_utilization = 0.85;
static const double reserved_slots = 1.0;
static const double max_queue_per_slot = 1.0;

static bool
was_tried (const struct sim_call *call, int upstream)
{
  for (int i = 0; i < call->send_count && i < MAX_EXCLUDED; i++)
    if (call->tried_upstreams[i] == upstream)
      return true;
  return false;
}

/* The gateway's own code.  */

/* Chooses an upstream of the call's target region.  */
static struct balance_choice
choose (struct sim *sim, struct sim_call *call)
{
  struct sim_entry *entry = &sim->entries[call->entry];
  const struct balance_region_load *load
      = &entry->region_loads[call->target_region];
  double utilization = load->slots > 0 ? load->busy / load->slots : 1.0;
  struct balance_request request = {
    .group = fleet_group (fleet_service (entry->fleet, STR ("s")),
                          str_from (sim_region_names[call->target_region])),
    .affinity = fleet_affinity (entry->fleet),
    .object = call->object,
    .recurs = !sim->plan.unique_objects,
    .service_time = &entry->service_times[call->kind],
    .rtt = 2 * sim_one_way_latency (sim, entry->region, call->target_region),
    .own_zone = str_from (sim_region_names[entry->region]),
    .idle_timeout = TIMER_SEC (6),
    .max_queue_per_slot
    = sim->plan.policy == SIM_POLICY_OWN ? max_queue_per_slot : 0.0,
    .reserved_slots = sim_request_kind (sim, call->kind)->priority > 0
                              && utilization > reserve_min_utilization
                          ? reserved_slots
                          : 0.0,
    .max_in_flight = 64,
    .now = sim->now
  };
  for (int i = 0; i < call->send_count && i < MAX_EXCLUDED; i++)
    request.excluded[request.excluded_count++]
        = entry->upstreams[call->tried_upstreams[i]]->hash;
  return balance_choose_upstream (&request);
}

static struct admit_state
admission_state (struct sim *sim, const struct sim_call *call,
                 const struct balance_choice *choice)
{
  struct sim_entry *entry = &sim->entries[call->entry];
  const struct sim_request_kind *kind = sim_request_kind (sim, call->kind);
  const struct balance_region_load *load
      = &entry->region_loads[call->target_region];
  double service_time
      = entry->service_times[call->kind].uncached / APR_USEC_PER_SEC;
  return (struct admit_state){
    .has_slot = choice->upstream != NULL,
    .expected_latency = choice->expected_latency,
    .min_latency
    = (apr_time_t)(sim->plan.unique_objects
                       ? entry->service_times[call->kind].uncached
                       : entry->service_times[call->kind].cached)
      + 2 * sim_one_way_latency (sim, entry->region, call->target_region),
    .target_left = call->arrived_at + kind->target_latency - sim->now,
    .deadline_left = call->arrived_at + kind->deadline - sim->now,
    .utilization = load->slots > 0 ? load->busy / load->slots : 1.0,
    .queued = entry->queued_by_region[call->target_region],
    .dispatch_rate
    = load->slots / service_time / (double)sim_entries_per_region (sim),
    .is_urgent = kind->priority == 0,
    .jitter = sim_random (sim)
  };
}

static int
index_of (const struct sim_entry *entry, const struct fleet_upstream *upstream)
{
  for (int i = 0; i < MAX_UPSTREAMS; i++)
    if (entry->upstreams[i] == upstream)
      return i;
  return NO_UPSTREAM;
}

static struct sim_decision
send_to (struct sim *sim, struct sim_call *call,
         const struct balance_choice *choice)
{
  struct sim_entry *entry = &sim->entries[call->entry];
  call->expected_latency = choice->expected_latency;
  call->service_time = choice->service_time;
  call->slowdown = load_slowdown (&choice->upstream->load, sim->now);
  return (struct sim_decision){ .upstream
                                = index_of (entry, choice->upstream) };
}

/* Sends the call to another region if it meets its target latency there.
   Otherwise returns false and changes nothing.  */
static bool
overflow (struct sim *sim, struct sim_call *call,
          struct sim_decision *decision)
{
  static const bool allowed[SIM_REGIONS] = { true, true, true };
  struct sim_entry *entry = &sim->entries[call->entry];
  int original = call->target_region;
  size_t other = region_split_find_overflow (
      &entry->region_split, entry->region_loads, (size_t)original, allowed);
  if (other >= SIM_REGIONS
      || !region_overflow_may_withdraw (&entry->overflow, sim->now))
    return false;
  call->target_region = (int)other;
  struct balance_choice choice = choose (sim, call);
  if (choice.upstream
      && sim->now + choice.expected_latency
             <= call->arrived_at
                    + sim_request_kind (sim, call->kind)->target_latency
      && region_overflow_try_withdraw (&entry->overflow, sim->now))
    {
      *decision = send_to (sim, call, &choice);
      call->overflowed = true;
      return true;
    }
  call->target_region = original;
  return false;
}

static struct sim_decision
decide_own (struct sim *sim, struct sim_call *call, bool from_queue)
{
  struct sim_entry *entry = &sim->entries[call->entry];
  struct sim_decision decision = { .upstream = NO_UPSTREAM };
  if (!from_queue)
    {
      call->overflowed = false;
      bool allowed[SIM_REGIONS];
      for (int r = 0; r < SIM_REGIONS; r++)
        allowed[r] = !sim->plan.unique_objects || r == entry->region
                     || balance_meets_target (
                         &entry->service_times[call->kind], false,
                         2 * sim_one_way_latency (sim, entry->region, r),
                         sim_request_kind (sim, call->kind)->target_latency);
      call->target_region = (int)region_split_pick (&entry->region_split,
                                                    call->object, allowed);
    }
  struct balance_choice choice = choose (sim, call);
  struct admit_state state = admission_state (sim, call, &choice);
  struct admit_verdict verdict = admit_decide (&state);
  bool in_time = verdict.action == ADMIT_SEND
                 && state.expected_latency <= state.target_left;
  if (!from_queue && !in_time && state.target_left > 0
      && overflow (sim, call, &decision))
    return decision;
  if (verdict.action == ADMIT_SEND && choice.upstream)
    return send_to (sim, call, &choice);
  decision.must_wait = verdict.action == ADMIT_WAIT;
  decision.max_wait = verdict.max_wait;
  decision.retry_after = verdict.retry_after;
  return decision;
}

/* The baselines.  */

/* Returns whether, as far as the entry knows, UPSTREAM has a free slot, and is
   in the entry's region (OWN_REGION) or in another one.  */
static bool
has_free_slot (const struct sim *sim, const struct sim_call *call,
               int upstream, bool own_region)
{
  const struct sim_upstream_view *view
      = &sim->entries[call->entry].views[upstream];
  bool is_own_region
      = sim->upstreams[upstream].region == sim->entries[call->entry].region;
  int in_flight = view->reported_in_flight > view->own_in_flight
                      ? view->reported_in_flight
                      : view->own_in_flight;
  return in_flight < sim->slots && is_own_region == own_region
         && !was_tried (call, upstream);
}

static int
pick_upstream (struct sim *sim, struct sim_call *call, const int *candidates,
               int count)
{
  struct sim_entry *entry = &sim->entries[call->entry];
  int a = candidates[(int)(sim_random (sim) * count) % count];
  int b = candidates[(int)(sim_random (sim) * count) % count];
  int best = a;
  switch (sim->plan.policy)
    {
    case SIM_POLICY_ROUND_ROBIN:
      return candidates[entry->next_upstream++ % count];
    case SIM_POLICY_POWER_OF_TWO:
      return entry->views[a].reported_in_flight
                     <= entry->views[b].reported_in_flight
                 ? a
                 : b;
    case SIM_POLICY_LEAST_REPORTED:
      for (int i = 0; i < count; i++)
        if (entry->views[candidates[i]].reported_in_flight
            < entry->views[best].reported_in_flight)
          best = candidates[i];
      return best;
    default:
      return a;
    }
}

static struct sim_decision
decide_baseline (struct sim *sim, struct sim_call *call)
{
  int candidates[MAX_UPSTREAMS];
  struct sim_decision decision
      = { .upstream = NO_UPSTREAM, .retry_after = TIMER_MS (200) };
  for (int own_region = 1; own_region >= 0; own_region--)
    {
      int count = 0;
      for (int u = 0; u < sim->upstream_count; u++)
        if (has_free_slot (sim, call, u, own_region))
          candidates[count++] = u;
      if (count == 0)
        continue;
      decision.upstream = pick_upstream (sim, call, candidates, count);
      call->target_region = sim->upstreams[decision.upstream].region;
      return decision;
    }
  return decision;
}

bool
sim_is_own_policy (const struct sim *sim)
{
  return sim->plan.policy == SIM_POLICY_OWN
         || sim->plan.policy == SIM_POLICY_OWN_NO_QUEUEING;
}

struct sim_decision
sim_decide (struct sim *sim, struct sim_call *call, bool from_queue)
{
  return sim_is_own_policy (sim) ? decide_own (sim, call, from_queue)
                                 : decide_baseline (sim, call);
}
