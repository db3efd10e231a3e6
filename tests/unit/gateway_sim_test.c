/* Overload: how many requests are answered in time by the gateway's decisions
   and by common load balancing policies, in the simulated scenarios of
   bench/gateway.  Guards against decisions that serve callers worse than those
   policies, refuse requests late or without need, or neglect a region.  */
#include "bench/gateway/scenarios.h"
#include "base/timer.h"
#include "tests/unit/unit.h"

#include <math.h>
#include <stdio.h>
#include <string.h>

/* Largest fraction of a region's requests that may change their region from
   one window to the next: `max_shift' of the users' sites.  */
static const double max_shift = 0.15;
static const double shift_window_s = 2.0;

/* The least that the callers of one region get, as a fraction of what all
   callers get: the limit of this test, not a requirement of the users.  */
static const double min_region_fraction = 0.9;

static struct sim_result
run (size_t load, enum sim_policy policy, uint64_t seed)
{
  struct sim_plan plan = sim_scenarios[load].plan;
  plan.policy = policy;
  plan.seed = seed;
  plan.duration = TIMER_SEC (16);
  return sim_run (&plan);
}

/* Every baseline policy has a lower value to the users, and answers a lower
   fraction in time of the kind of requests that it serves worst.  */
static void
test_baselines (void)
{
  for (size_t l = 0; l < SIM_SCENARIO_COUNT; l++)
    for (uint64_t seed = 1; seed <= 2 && !sim_scenarios[l].is_large; seed++)
      {
        struct sim_result own = run (l, SIM_POLICY_OWN, seed);
        for (int p = SIM_POLICY_FIRST_BASELINE; p < SIM_POLICY_END; p++)
          {
            struct sim_result other = run (l, (enum sim_policy)p, seed);
            CU_ASSERT (own.value > other.value);
            CU_ASSERT (own.worst_kind > other.worst_kind);
            if (own.value <= other.value || own.worst_kind <= other.worst_kind)
              printf ("# %s, seed %d: %s: %.3f %.3f, own %.3f %.3f\n",
                      sim_scenarios[l].name, (int)seed,
                      sim_policy_name ((enum sim_policy)p), other.value,
                      other.worst_kind, own.value, own.worst_kind);
          }
      }
}

/* A refusal takes at most an eighth of the shortest target latency, so that
   the caller can go elsewhere in time.  Hardly any request is refused while
   its region has free capacity.  */
static void
test_refusals (void)
{
  for (size_t l = 0; l < SIM_SCENARIO_COUNT; l++)
    {
      if (sim_scenarios[l].is_large)
        continue;
      struct sim_result own = run (l, SIM_POLICY_OWN, 3);
      CU_ASSERT (own.mean_refusal_ms < 50);
      CU_ASSERT (own.needless_refusal_fraction * (double)own.refused
                 < 0.03 * (double)own.requests);
      if (own.needless_refusal_fraction * (double)own.refused
          >= 0.03 * (double)own.requests)
        printf ("# %s: %.2f of %d refusals\n", sim_scenarios[l].name,
                own.needless_refusal_fraction, (int)own.refused);
    }
}

/* Callers that retry at once after a refusal reduce what is answered in time
   by less than a twentieth, compared with callers that wait as long as the
   refusal asks.  */
static void
test_immediate_retries (void)
{
  struct sim_plan plan = { .policy = SIM_POLICY_OWN,
                           .seed = 5,
                           .demand = 1.5,
                           .slowdown_noise = 0.2,
                           .duration = TIMER_SEC (16) };
  struct sim_result patient = sim_run (&plan);
  plan.immediate_retries = true;
  struct sim_result insistent = sim_run (&plan);
  CU_ASSERT (insistent.within_target_fraction
             > patient.within_target_fraction * 0.95);
}

/* Requests that may wait at the upstream that has their object cached give a
   higher value than using free slots only, in the loads that this is meant
   for.  In loads without recurring objects it changes nothing.  */
static void
test_upstream_queues (void)
{
  for (size_t l = 0; l < SIM_SCENARIO_COUNT; l++)
    for (uint64_t seed = 1; seed <= 2; seed++)
      {
        bool is_same = sim_scenarios[l].plan.unique_objects;
        if (!sim_scenarios[l].queueing_helps && !is_same)
          continue;
        struct sim_result own = run (l, SIM_POLICY_OWN, seed);
        struct sim_result slots = run (l, SIM_POLICY_OWN_NO_QUEUEING, seed);
        bool holds
            = is_same ? own.value == slots.value : own.value > slots.value;
        CU_ASSERT (holds);
        if (!holds)
          printf ("# %s, seed %d: %.3f, slots only %.3f\n",
                  sim_scenarios[l].name, (int)seed, own.value, slots.value);
      }
}

/* Callers of a region with a tenth of the slots get at least nine tenths of
   what all callers get, while demand rises and falls in each region.  */
static void
test_small_region (void)
{
  for (size_t l = 0; l < SIM_SCENARIO_COUNT; l++)
    for (uint64_t seed = 1; seed <= 2 && sim_scenarios[l].plan.demand_swing > 0
                            && !sim_scenarios[l].is_large;
         seed++)
      {
        struct sim_plan plan = sim_scenarios[l].plan;
        plan.policy = SIM_POLICY_OWN;
        plan.seed = seed;
        struct sim_result own = sim_run (&plan);
        CU_ASSERT (own.worst_region
                   >= min_region_fraction * own.within_target_fraction);
        if (own.worst_region
            < min_region_fraction * own.within_target_fraction)
          printf ("# %s, seed %d: %.3f of %.3f\n", sim_scenarios[l].name,
                  (int)seed, own.worst_region, own.within_target_fraction);
      }
}

/* Hundreds of entries, each of which hears of an upstream once a minute: the
   region with a tenth of the upstreams and a third of the demand is served
   nearly as well as the others, since each entry estimates the load of a
   region from all the responses that it gets from there.  Without that it took
   every region for idle, and that region got 0.84 of what all got.  */
static void
test_hundreds (void)
{
  size_t l = 0;
  while (!sim_scenarios[l].is_large)
    l++;
  struct sim_result own = run (l, SIM_POLICY_OWN, 1);
  struct sim_result other = run (l, SIM_POLICY_POWER_OF_TWO, 1);
  CU_ASSERT (own.value > other.value);
  CU_ASSERT (own.worst_kind > other.worst_kind);
  CU_ASSERT (own.worst_region
             >= min_region_fraction * own.within_target_fraction);
  if (own.worst_region < min_region_fraction * own.within_target_fraction)
    printf ("# %.3f of %.3f\n", own.worst_region, own.within_target_fraction);
}

/* Following what upstreams say in their responses: less than half of the
   requests are refused, or lost at an upstream that ends, and no more calls
   fail for good than when it is ignored.  Avoiding upstreams that turn
   requests away raises the value.  */
static void
test_notices (void)
{
  for (size_t l = 0; l < SIM_SCENARIO_COUNT; l++)
    for (uint64_t seed = 1; seed <= 3 && sim_scenarios[l].has_notices; seed++)
      {
        struct sim_plan plan = sim_scenarios[l].plan;
        plan.policy = SIM_POLICY_OWN;
        plan.seed = seed;
        struct sim_result own = sim_run (&plan);
        plan.ignores_notices = true;
        struct sim_result before = sim_run (&plan);
        bool holds = (plan.rolls_release || own.value > before.value)
                     && own.failed <= before.failed
                     && own.turned_away <= before.turned_away / 2
                     && own.lost <= before.lost / 2;
        CU_ASSERT (holds);
        if (!holds)
          printf ("# %s, seed %d: %.3f, turned away %d, lost %d; before %.3f, "
                  "%d, %d\n",
                  sim_scenarios[l].name, (int)seed, own.value,
                  (int)own.turned_away, (int)own.lost, before.value,
                  (int)before.turned_away, (int)before.lost);
      }
}

/* Callers get no less for leaving upstreams alone at once.  */
static void
test_leaving_value (void)
{
  for (size_t l = 0; l < SIM_SCENARIO_COUNT; l++)
    for (uint64_t seed = 1; seed <= 3 && sim_scenarios[l].plan.rolls_release;
         seed++)
      {
        struct sim_plan plan = sim_scenarios[l].plan;
        plan.policy = SIM_POLICY_OWN;
        plan.seed = seed;
        struct sim_result own = sim_run (&plan);
        plan.ignores_notices = true;
        struct sim_result before = sim_run (&plan);
        CU_ASSERT (own.value > before.value);
        if (own.value <= before.value)
          printf ("# %s, seed %d: %.3f, before %.3f\n", sim_scenarios[l].name,
                  (int)seed, own.value, before.value);
      }
}

typedef int32_t region_bins[SIM_REGIONS][SIM_MAX_BINS];

/* Returns the fraction of the requests of REGION that are in another region
   in the window from bin FROM on than in the one before, less what chance
   explains; 0 if there are too few.  COUNTS: of the requests of REGION.  */
static double
shift_at (region_bins counts, int from)
{
  enum
  {
    MIN_REQUESTS = 50
  };
  int window = (int)(shift_window_s * 1000) / SIM_BIN_MS;
  double before[SIM_REGIONS] = { 0 };
  double after[SIM_REGIONS] = { 0 };
  double sum_before = 0.0;
  double sum_after = 0.0;
  double shift = 0.0;
  for (int r = 0; r < SIM_REGIONS; r++)
    {
      for (int b = 0; b < window; b++)
        {
          before[r] += counts[r][from - window + b];
          after[r] += counts[r][from + b];
        }
      sum_before += before[r];
      sum_after += after[r];
    }
  if (sum_before < MIN_REQUESTS || sum_after < MIN_REQUESTS)
    return 0.0;
  for (int r = 0; r < SIM_REGIONS; r++)
    shift += fabs (before[r] / sum_before - after[r] / sum_after) / 2.0;
  /* Three standard errors of a fraction around one half.  */
  double chance = 3.0 * sqrt (0.25 / sum_before + 0.25 / sum_after);
  return shift - chance;
}

/* Returns the largest shift of any region in any sliding window of a run that
   begins at SINCE or later.  */
static double
worst_shift_since (region_bins *counts, apr_time_t since)
{
  int window = (int)(shift_window_s * 1000) / SIM_BIN_MS;
  int bins = (int)(TIMER_SEC (30) / TIMER_MS (SIM_BIN_MS));
  int first = (int)(since / TIMER_MS (SIM_BIN_MS));
  double worst = 0.0;
  for (int r = 0; r < SIM_REGIONS; r++)
    for (int from = first > window ? first : window; from + window <= bins;
         from++)
      worst = fmax (worst, shift_at (counts[r], from));
  return worst;
}

/* The same in any window of a run.  */
static double
worst_shift (region_bins *counts)
{
  return worst_shift_since (counts, 0);
}

/* Adds up runs in which demand moves, of as many entries as the users'
   deployments have, in COUNTS.  */
static void
run_shape (enum sim_demand_shape shape, int entries, int upstreams,
           uint64_t seeds, struct sim_region_counts *counts)
{
  memset (counts, 0, sizeof *counts);
  struct sim_plan plan = { .policy = SIM_POLICY_OWN,
                           .demand = 0.8,
                           .demand_shape = shape,
                           .upstreams = upstreams,
                           .first_region_upstreams = upstreams / 10,
                           .slowdown_noise = 0.2,
                           .entries = entries,
                           .queue_capacity = 32,
                           .region_counts = counts };
  for (plan.seed = 1; plan.seed <= seeds; plan.seed++)
    sim_run (&plan);
}

/* No more than the allowed fraction of a region's requests is sent to another
   region in any window of 2 s than in the one before, while demand falls to
   nearly nothing, ends, returns, and begins.  What many entries had saved up
   for single requests was sent elsewhere at once when demand began.  */
static void
test_shift (void)
{
  static const struct
  {
    int entries;
    int upstreams;
    uint64_t seeds;
  } sizes[] = { { 11, 27, 8 }, { 63, 150, 3 }, { 300, 600, 1 } };
  static struct sim_region_counts counts;
  for (size_t s = 0; s < COUNT (sizes); s++)
    for (int shape = SIM_DEMAND_STEPS; shape <= SIM_DEMAND_FROM_NONE; shape++)
      {
        run_shape ((enum sim_demand_shape)shape, sizes[s].entries,
                   sizes[s].upstreams, sizes[s].seeds, &counts);
        double worst = worst_shift (counts.sent);
        CU_ASSERT (worst <= max_shift);
        if (worst > max_shift)
          printf ("# %d entries, demand %d: %.3f of the requests\n",
                  sizes[s].entries, shape, worst);
      }
}

/* The same by where requests run, when demand ends: then those that are on
   their way to another region, for 55 ms, are nearly all that begin to run.
 */
static void
test_shift_in_flight (void)
{
  static struct sim_region_counts counts;
  run_shape (SIM_DEMAND_STOPS, 300, 600, 1, &counts);
  double worst = worst_shift (counts.reached);
  CU_ASSERT (worst <= max_shift);
  if (worst > max_shift)
    printf ("# %.3f of the requests; of those sent %.3f\n", worst,
            worst_shift (counts.sent));
}

/* The same by where requests run, when up to half of the upstreams of one or
   all regions end at once: from their return on, while they are cold and when
   all of them become warm.  */
static void
test_shift_after_outage (void)
{
  enum
  {
    SEEDS = 3 /* counted together, so that chance explains little */
  };
  static const struct
  {
    double demand;
    int first_region_upstreams;
    struct sim_outage outage;
  } cases[] = {
    { 0.5, 50, { 0.35, 1, TIMER_SEC (8), TIMER_SEC (1), TIMER_SEC (3), 19 } },
    { 0.8, 50, { 0.5, 2, TIMER_SEC (8), TIMER_SEC (4), TIMER_SEC (3), 19 } },
    { 0.8, 15, { 0.5, 0, TIMER_SEC (8), TIMER_SEC (4), TIMER_SEC (3), 6 } },
    { 1.0, 15, { 0.5, 0, TIMER_SEC (8), TIMER_SEC (4), TIMER_SEC (3), 6 } },
    { 0.8,
      15,
      { 0.5, SIM_REGIONS, TIMER_SEC (8), TIMER_SEC (1), TIMER_SEC (3), 19 } },
    { 1.2, 50, { 0.5, 2, TIMER_SEC (8), TIMER_SEC (4), TIMER_SEC (3), 19 } },
  };
  static struct sim_region_counts counts;
  for (size_t c = 0; c < COUNT (cases); c++)
    {
      const struct sim_outage *outage = &cases[c].outage;
      struct sim_plan plan
          = { .policy = SIM_POLICY_OWN,
              .demand = cases[c].demand,
              .upstreams = 150,
              .first_region_upstreams = cases[c].first_region_upstreams,
              .slowdown_noise = 0.2,
              .entries = 63,
              .queue_capacity = 32,
              .outage = *outage,
              .region_counts = &counts };
      for (uint64_t first = 1; first <= 4; first += SEEDS)
        {
          memset (&counts, 0, sizeof counts);
          for (plan.seed = first; plan.seed < first + SEEDS; plan.seed++)
            sim_run (&plan);
          double worst = worst_shift_since (counts.reached,
                                            outage->begins_at + outage->lasts);
          CU_ASSERT (worst <= max_shift);
          if (worst > max_shift)
            printf ("# case %d, seeds from %d: %.3f of the requests\n", (int)c,
                    (int)first, worst);
        }
    }
}

/* Two runs of the same plan have the same result.  */
static void
test_deterministic (void)
{
  struct sim_result a = run (0, SIM_POLICY_OWN, 9);
  struct sim_result b = run (0, SIM_POLICY_OWN, 9);
  CU_ASSERT_EQUAL (a.within_target, b.within_target);
  CU_ASSERT_EQUAL (a.refused, b.refused);
}

const struct unit_test gateway_sim_tests[] = {
  { "more is answered in time than with any baseline policy", test_baselines },
  { "requests are refused at once, and not while capacity is free",
    test_refusals },
  { "callers that retry at once hardly reduce what is answered in time",
    test_immediate_retries },
  { "waiting where the object is cached raises the value",
    test_upstream_queues },
  { "a region with few slots is served like the others", test_small_region },
  { "with hundreds of entries no region is neglected", test_hundreds },
  { "following what upstreams say spares refusals and lost requests",
    test_notices },
  { "leaving upstreams alone at once costs callers nothing",
    test_leaving_value },
  { "few requests change their region at once, whatever demand does",
    test_shift },
  { "when demand ends, few of the last to run change their region",
    test_shift_in_flight },
  { "few requests change the region in which they run when half of one "
    "returns",
    test_shift_after_outage },
  { "a run is determined by its plan", test_deterministic },
  { NULL, NULL }
};
