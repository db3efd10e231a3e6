/* Overload: how many requests are answered in time by the gateway's decisions
   and by common load balancing policies, in the simulated scenarios of
   bench/gateway.  Guards against decisions that serve callers worse than those
   policies, refuse requests late or without need, or neglect a region.  */
#include "bench/gateway/scenarios.h"
#include "base/timer.h"
#include "tests/unit/unit.h"

#include <stdio.h>

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
  { "a run is determined by its plan", test_deterministic },
  { NULL, NULL }
};
