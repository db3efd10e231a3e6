/* Compares the gateway's decisions with baseline policies in simulated
   scenarios.

     bench-rush [SCENARIO...]

   Runs the scenarios named, or all, and then also measures the processor time
   of decisions (cost.h).  SCENARIO `notices' compares, for three sizes of the
   users' deployments, entries that follow what upstreams say in responses each
   for itself, that share it, and that ignore it; it takes minutes and runs
   only when it is named.  Prints a line for each scenario and policy, then a
   "figure" line with the value of the gateway's own policy and of the best
   baseline, and the weighted fraction that the own policy answers within the
   target latency, also relative to the ideal one.  */
#include "bench/gateway/cost.h"
#include "bench/gateway/sim.h"

#include <apr_general.h>
#include <stdio.h>
#include <string.h>

#include "bench/gateway/scenarios.h"

/* Returns whether NAME is among the arguments, or there are none.  */
static bool
is_selected (const char *name, int argc, char **argv)
{
  for (int i = 1; i < argc; i++)
    if (strcmp (argv[i], name) == 0)
      return true;
  return argc == 1;
}

static struct sim_result
run_and_print (const char *scenario, const char *policy,
               const struct sim_plan *plan)
{
  struct sim_result r = sim_run (plan);
  printf ("%-12s %-11s value %.3f  in aim %.3f  region %.3f  kind "
          "%.3f  window "
          "%.3f  refused %ld after %.0f ms, %.2f in vain  late %ld  "
          "failed %ld  queued %.2f",
          scenario, policy, r.value, r.within_target_fraction, r.worst_region,
          r.worst_kind, r.worst_window, (long)r.refused, r.mean_refusal_ms,
          r.needless_refusal_fraction, (long)r.late, (long)r.failed,
          r.queued_fraction);
  if (plan->away_fraction > 0 || plan->rolls_release)
    printf ("  requests %ld  turned away %ld  lost %ld", (long)r.requests,
            (long)r.turned_away, (long)r.lost);
  printf ("\n");
  return r;
}

/* Compares entries that share what upstreams say with others.  */
static void
compare_sharing (void)
{
  /* As the users' deployments of 11, 84 and 295 entries; multiples of the
     regions.  */
  static const struct
  {
    int entries;
    int upstreams;
  } sizes[] = { { 12, 40 }, { 84, 244 }, { 294, 1350 } };
  enum
  {
    TURNING_AWAY,
    LEAVING,
    LYING,
    LOADS
  };
  static const char *const loads[LOADS]
      = { "turning-away", "leaving", "lying" };
  static const char *const names[] = { "before", "alone", "shared" };
  for (size_t s = 0; s < sizeof sizes / sizeof *sizes; s++)
    for (int load = 0; load < LOADS; load++)
      for (int mode = 0; mode < 3; mode++)
        {
          char name[64];
          struct sim_plan plan = {
            .policy = SIM_POLICY_OWN,
            .seed = 7,
            .demand = 0.6,
            .long_requests = true,
            .connections_close = true,
            .tail_fraction = 0.03,
            .slowdown_noise = 0.4,
            .queue_capacity = 27,
            .objects = sizes[s].upstreams * 4 / 5,
            .cache_capacity = 15,
            .entries = sizes[s].entries,
            .upstreams = sizes[s].upstreams,
            .first_region_upstreams = sizes[s].upstreams / 5,
            .away_fraction = load == TURNING_AWAY ? 0.2 : 0.0,
            .rolls_release = load == LEAVING,
            .lying_fraction = load == LYING ? 0.2 : 0.0,
            .ignores_notices = mode == 0,
            .shares_notices = mode == 2,
          };
          snprintf (name, sizeof name, "%s-%d", loads[load], plan.entries);
          struct sim_result r = run_and_print (name, names[mode], &plan);
          printf ("figure notices_%s_%s %.3f value in-aim=%.3f "
                  "turned-away=%.4f lost=%.4f of requests\n",
                  name, names[mode], r.value, r.within_target_fraction,
                  (double)r.turned_away / (double)r.requests,
                  (double)r.lost / (double)r.requests);
          fflush (stdout);
        }
}

int
main (int argc, char **argv)
{
  apr_initialize ();
  for (size_t s = 0; s < SIM_SCENARIO_COUNT; s++)
    {
      if (!is_selected (sim_scenarios[s].name, argc, argv))
        continue;
      double best = 0.0;
      struct sim_result own = { 0 };
      for (int p = SIM_POLICY_OWN; p < SIM_POLICY_END; p++)
        {
          struct sim_plan plan = sim_scenarios[s].plan;
          plan.policy = (enum sim_policy)p;
          plan.seed = 7;
          struct sim_result r = run_and_print (
              sim_scenarios[s].name, sim_policy_name (plan.policy), &plan);
          if (p == SIM_POLICY_OWN)
            own = r;
          else if (p >= SIM_POLICY_FIRST_BASELINE && r.value > best)
            best = r.value;
        }
      double before = 0.0;
      if (sim_scenarios[s].has_notices)
        {
          struct sim_plan plan = sim_scenarios[s].plan;
          plan.policy = SIM_POLICY_OWN;
          plan.seed = 7;
          plan.ignores_notices = true;
          before
              = run_and_print (sim_scenarios[s].name, "before", &plan).value;
        }
      printf ("figure rush_%s %.3f value best-baseline=%.3f in-aim=%.3f "
              "ideal=%.3f share-of-ideal=%.2f before=%.3f %s\n",
              sim_scenarios[s].name, own.value, best,
              own.within_target_fraction, own.ideal_fraction,
              own.within_target_fraction / own.ideal_fraction, before,
              own.value > best && own.value > before ? "ok" : "short");
    }
  if (argc > 1 && is_selected ("notices", argc, argv))
    compare_sharing ();
  if (argc == 1)
    cost_print ();
  apr_terminate ();
  return 0;
}
