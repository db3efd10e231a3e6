/* Compares the gateway's decisions with baseline policies in simulated
   scenarios.

     bench-rush [SCENARIO...]

   Runs the scenarios named, or all, and then also measures the processor time
   of decisions (cost.h).  Prints a line for each scenario and
   policy, then a "figure" line with the value of the gateway's own policy and
   of the best baseline, and the weighted fraction that the own policy answers
   within the target latency, also relative to the ideal one.  */
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
          struct sim_result r = sim_run (&plan);
          printf ("%-12s %-11s value %.3f  in aim %.3f  region %.3f  kind "
                  "%.3f  window "
                  "%.3f  refused %ld after %.0f ms, %.2f in vain  late %ld  "
                  "failed %ld  queued %.2f\n",
                  sim_scenarios[s].name, sim_policy_name (plan.policy),
                  r.value, r.within_target_fraction, r.worst_region,
                  r.worst_kind, r.worst_window, (long)r.refused,
                  r.mean_refusal_ms, r.needless_refusal_fraction, (long)r.late,
                  (long)r.failed, r.queued_fraction);
          if (p == SIM_POLICY_OWN)
            own = r;
          else if (p >= SIM_POLICY_FIRST_BASELINE && r.value > best)
            best = r.value;
        }
      printf ("figure rush_%s %.3f value best-baseline=%.3f in-aim=%.3f "
              "ideal=%.3f share-of-ideal=%.2f %s\n",
              sim_scenarios[s].name, own.value, best,
              own.within_target_fraction, own.ideal_fraction,
              own.within_target_fraction / own.ideal_fraction,
              own.value > best ? "ok" : "short");
    }
  if (argc == 1)
    cost_print ();
  apr_terminate ();
  return 0;
}
