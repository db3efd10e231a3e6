/* Measures steering decisions in simulations with load and faults.

     bench-steer [--quick]

   Prints a line for each figure: "figure NAME VALUE UNIT baseline=...
   target=... ok|short".  Baselines run with the same seed as the steering
   code.  Counts that must be zero and are not make the exit status 1.
   --quick simulates 10 s instead of 30.  */
#include "base/timer.h"
#include "bench/steer/links.h"
#include "bench/steer/testbed.h"
#include "steer/steer.h"

#include <apr_general.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static apr_time_t duration = TIMER_SEC (30);
static int exit_status;

static const struct
{
  enum testbed_policy policy;
  const char *name;
} baselines[] = { { POLICY_RANDOM, "random" },
                  { POLICY_ROUND_ROBIN, "round-robin" },
                  { POLICY_LEAST_REPORTED, "least-reported" },
                  { POLICY_POWER_OF_TWO, "power-of-two" } };

enum
{
  BASELINES = sizeof baselines / sizeof *baselines
};

/* Prints a figure line.  TARGET is a minimum if AT_LEAST, or else a maximum.
 */
static void
figure (const char *name, double value, const char *unit, const char *baseline,
        double target, bool at_least)
{
  bool met = at_least ? value >= target : value <= target;
  printf ("figure %s %.5g %s baseline=%s target=%s%g %s\n", name, value, unit,
          baseline, at_least ? ">=" : "<=", target, met ? "ok" : "short");
  fflush (stdout);
}

static void
must_be_zero (const char *name, int64_t value)
{
  figure (name, (double)value, "count", "-", 0, false);
  exit_status |= value != 0;
}

static struct testbed_plan
make_plan (enum testbed_policy policy)
{
  return (struct testbed_plan){ .policy = policy,
                                .seed = 11,
                                .load = 0.7,
                                .warm_up_us = TIMER_SEC (5),
                                .duration_us = duration };
}

static double
get_p99 (const struct testbed_result *result)
{
  return result->p99_ms;
}

static double
get_dispatches (const struct testbed_result *result)
{
  return (double)result->dispatches / (double)result->calls;
}

static double
get_goodput (const struct testbed_result *result)
{
  return 100.0 * (double)result->answered / (double)result->calls;
}

/* Runs PLAN under every baseline.  Writes "name:VALUE,..." to TEXT, with the
   values that GET_VALUE returns, in UNIT, and returns the lowest.  */
static double
run_baselines (struct testbed_plan plan,
               double (*get_value) (const struct testbed_result *result),
               const char *unit, char *text, size_t size)
{
  double lowest = 1e9;
  size_t n = 0;
  for (int i = 0; i < BASELINES; i++)
    {
      plan.policy = baselines[i].policy;
      struct testbed_result result = testbed_run (&plan);
      double value = get_value (&result);
      n += (size_t)snprintf (text + n, size - n, "%s%s:%.4g%s", i ? "," : "",
                             baselines[i].name, value, unit);
      lowest = value < lowest ? value : lowest;
    }
  return lowest;
}

static void
bench_slow_upstreams (void)
{
  char text[256];
  struct testbed_plan plan = make_plan (POLICY_OWN);
  struct testbed_result no_faults = testbed_run (&plan);
  must_be_zero ("calm_calls_over_slots", no_faults.calls_over_slots);
  plan.slow_upstreams = true;
  struct testbed_result slowed = testbed_run (&plan);
  double lowest = run_baselines (plan, get_p99, "ms", text, sizeof text);
  printf ("# calm p99 %.1f ms; slowed p99 %.1f ms; %ld hedges of %ld calls\n",
          no_faults.p99_ms, slowed.p99_ms, (long)slowed.hedges,
          (long)slowed.calls);
  figure ("slowed_p99", slowed.p99_ms / no_faults.p99_ms, "of-calm", text, 1.5,
          false);
  figure ("slowed_p99_of_best_baseline", slowed.p99_ms / lowest, "ratio", text,
          1.0, false);
  figure ("hedging_extra_load",
          100.0 * (double)slowed.hedges / (double)slowed.calls, "percent", "-",
          5, false);
  must_be_zero ("slowed_calls_over_slots", slowed.calls_over_slots);
  plan.false_reports = true;
  struct testbed_result misreported = testbed_run (&plan);
  run_baselines (plan, get_p99, "ms", text, sizeof text);
  figure ("lying_p99", misreported.p99_ms / no_faults.p99_ms, "of-calm", text,
          1.5, false);
}

static void
bench_long_calls (void)
{
  char text[256];
  struct testbed_plan plan = make_plan (POLICY_OWN);
  struct testbed_result short_only = testbed_run (&plan);
  plan.long_fraction = 0.05;
  struct testbed_result mixed = testbed_run (&plan);
  run_baselines (plan, get_p99, "ms", text, sizeof text);
  figure ("long_calls_short_p99", mixed.p99_ms / short_only.p99_ms,
          "of-without", text, 1.3, false);
  plan.long_fraction = 1.0;
  plan.load = 0.7 * 0.05 * 50 / (0.95 + 0.05 * 50);
  struct testbed_result long_only = testbed_run (&plan);
  figure ("long_calls_throughput",
          100.0 * (double)mixed.long_answered
              / (double)long_only.long_answered,
          "percent-of-alone", "-", 95, true);
}

static void
bench_refusing_upstreams (void)
{
  char text[256];
  struct testbed_plan plan = make_plan (POLICY_OWN);
  plan.load = 0.3;
  plan.refusal_rate = 0.5;
  struct testbed_result result = testbed_run (&plan);
  run_baselines (plan, get_dispatches, "", text, sizeof text);
  figure ("shed_dispatches", get_dispatches (&result), "per-call", text, 1.2,
          false);
}

static void
bench_region_drain (void)
{
  char text[256];
  struct testbed_plan plan = make_plan (POLICY_OWN);
  plan.drain_region = true;
  plan.load = 0.7 / 3; /* of all slots: one region at 70 % */
  plan.deadline_us = TIMER_SEC (5);
  plan.duration_us = TIMER_SEC (10);
  struct testbed_result result = testbed_run (&plan);
  run_baselines (plan, get_goodput, "%", text, sizeof text);
  plan.policy = POLICY_POWER_OF_TWO;
  printf ("# the baselines know no ramp: %ld calls beyond it under "
          "power-of-two\n",
          (long)testbed_run (&plan).calls_over_ramp);
  figure ("shift_goodput", get_goodput (&result), "percent", text, 90, true);
  must_be_zero ("shift_calls_over_ramp", result.calls_over_ramp);
  must_be_zero ("shift_calls_over_slots", result.calls_over_slots);
}

/* All demand at three entries, which need loans.  */
static void
bench_skewed_demand (void)
{
  char text[64];
  struct testbed_plan plan = make_plan (POLICY_OWN);
  plan.busy_entries = 3;
  plan.load = 0.7;
  plan.deadline_us = TIMER_SEC (1);
  struct testbed_result own = testbed_run (&plan);
  plan.policy = POLICY_NO_LOANS;
  struct testbed_result no_loans = testbed_run (&plan);
  snprintf (text, sizeof text, "static:%.1f%%",
            100.0 * (double)(no_loans.refused + no_loans.late)
                / (double)no_loans.calls);
  figure ("refused_with_headroom",
          100.0 * (double)(own.refused + own.late) / (double)own.calls,
          "percent", text, 0.5, false);
  must_be_zero ("skew_calls_over_slots", own.calls_over_slots);
}

/* Demand that moves to other entries every 3 s, also while the store is down.
 */
static void
bench_moving_demand (struct testbed_plan plan)
{
  char text[80];
  double store_utilization[2];
  struct testbed_result own;
  struct testbed_result store;
  plan.moving_demand = true;
  plan.policy = POLICY_STORE;
  store = testbed_run (&plan);
  store_utilization[0] = store.cap_utilization;
  plan.store_outage_us = plan.duration_us;
  store_utilization[1] = testbed_run (&plan).cap_utilization;
  plan.policy = POLICY_OWN;
  own = testbed_run (&plan);
  snprintf (text, sizeof text, "store:%.0f%%,store-down:%.0f%%",
            100 * store_utilization[0], 100 * store_utilization[1]);
  figure ("call_cap_use_moving", 100 * own.cap_utilization, "percent", text,
          90, true);
  must_be_zero ("call_cap_overrun_moving", own.calls_over_cap);
  printf ("# the allocator wrote %.0f times a second, from %d entries\n",
          (double)store.store_writes * 1e6
              / (double)(plan.warm_up_us + plan.duration_us),
          TESTBED_ENTRIES);
}

static void
bench_cap (void)
{
  char text[64];
  struct testbed_plan plan = make_plan (POLICY_OWN);
  plan.call_cap = 100;
  plan.load = 1.5;
  plan.busy_entries = 3;
  plan.deadline_us = TIMER_SEC (1);
  struct testbed_result own = testbed_run (&plan);
  plan.policy = POLICY_NO_LOANS;
  struct testbed_result no_loans = testbed_run (&plan);
  plan.policy = POLICY_STORE;
  struct testbed_result store = testbed_run (&plan);
  snprintf (text, sizeof text, "static:%.0f%%,store:%.0f%%",
            100 * no_loans.cap_utilization, 100 * store.cap_utilization);
  figure ("call_cap_use_3_of_11", 100 * own.cap_utilization, "percent", text,
          90, true);
  must_be_zero ("call_cap_overrun_store_allocator", store.calls_over_cap);
  bench_moving_demand (plan);
  must_be_zero ("call_cap_overrun", own.calls_over_cap);
  plan.policy = POLICY_OWN;
  plan.inject_faults = true;
  plan.busy_entries = 0;
  for (uint64_t seed = 1; seed <= 10; seed++)
    {
      char name[64];
      plan.seed = seed;
      struct testbed_result r = testbed_run (&plan);
      snprintf (name, sizeof name, "disturbed_over_cap_and_slots_seed_%d",
                (int)seed);
      must_be_zero (name, r.calls_over_cap + r.calls_over_slots);
    }
}

/* Bytes over one direction of a link of 4 Gbit/s.  */
static void
bench_links (void)
{
  char text[64];
  struct links_plan plan = { .seed = 11,
                             .cap = 500000000,
                             .load = 1.5,
                             .busy_entries = 3,
                             .duration_ms = (int)(duration / 1000) };
  struct links_result skew = links_run (&plan);
  must_be_zero ("link_windows_over_3_of_11", skew.windows_over);
  snprintf (text, sizeof text, "static:%.0f%%",
            100.0 * plan.busy_entries / LINKS_ENTRIES);
  figure ("link_use_3_of_11", 100 * skew.utilization, "percent", text, 90,
          true);
  plan.inject_faults = true;
  struct links_plan unsafe = plan;
  unsafe.skip_confirmations = true;
  int64_t over = 0;
  int64_t over_unsafe = 0;
  int64_t max_window_bytes = 0;
  int64_t max_window_bytes_unsafe = 0;
  for (uint64_t seed = 1; seed <= 10; seed++)
    {
      plan.seed = unsafe.seed = seed;
      struct links_result r = links_run (&plan);
      over += r.windows_over;
      max_window_bytes = r.max_window_bytes > max_window_bytes
                             ? r.max_window_bytes
                             : max_window_bytes;
      r = links_run (&unsafe);
      over_unsafe += r.windows_over;
      max_window_bytes_unsafe = r.max_window_bytes > max_window_bytes_unsafe
                                    ? r.max_window_bytes
                                    : max_window_bytes_unsafe;
    }
  printf ("# disturbed: fullest window %.3f of the cap; without "
          "confirmations %.3f, %ld windows over\n",
          (double)max_window_bytes * 10 / (double)plan.cap,
          (double)max_window_bytes_unsafe * 10 / (double)plan.cap,
          (long)over_unsafe);
  must_be_zero ("link_windows_over_disturbed_10_seeds", over);
}

static void
send_nothing (void *user_data, struct str to,
              const struct share_message *message)
{
  (void)user_data;
  (void)to;
  (void)message;
}

/* Makes a snapshot of one service with COUNT upstreams.  */
static struct snapshot *
make_service (int count, apr_pool_t *pool)
{
  static const struct
  {
    enum resource_kind kind;
    const char *name;
    const char *spec;
  } rows[] = {
    { KIND_REGION, "r", "{}" },
    { KIND_ZONE, "z", "{\"region\":\"r\"}" },
    { KIND_SERVICE, "s", "{\"hosts\":[\"s.example\"]}" },
    { KIND_GROUP, "g", "{\"service\":\"s\",\"zone\":\"z\",\"slots\":9}" },
  };
  struct faults *faults = faults_create (pool);
  struct snapshot *snapshot = snapshot_create (1);
  for (size_t i = 0; i < sizeof rows / sizeof *rows; i++)
    {
      json_object *spec = json_tokener_parse (rows[i].spec);
      snapshot_add (snapshot, rows[i].kind, str_from (rows[i].name), 1, spec,
                    faults);
      json_object_put (spec);
    }
  for (int i = 0; i < count; i++)
    {
      json_object *spec = json_tokener_parse (
          str_format (pool, "{\"group\":\"g\",\"address\":\"127.0.%d.%d:9\"}",
                      i / 250, i % 250 + 1));
      snapshot_add (snapshot, KIND_UPSTREAM, str_printf (pool, "u%d", i), 1,
                    spec, faults);
      json_object_put (spec);
    }
  snapshot_finish (snapshot, faults);
  return snapshot;
}

/* Measures the real time of one choice among COUNT upstreams, most of them
   busy.  */
static void
bench_choice (const char *name, int count, double target_us)
{
  enum
  {
    ITERATIONS = 20000
  };
  apr_pool_t *pool;
  apr_pool_create (&pool, NULL);
  struct snapshot *snapshot = make_service (count, pool);
  struct steer_desc desc
      = { .region = STR ("r"), .share = { .send = send_nothing }, .seed = 5 };
  struct steer *steer = steer_create (pool, &desc);
  steer_apply (steer, snapshot, 1);
  struct steer_request request
      = { .service = snapshot_find (snapshot, KIND_SERVICE, STR ("s")),
          .call_class = CLASS_SHORT,
          .now = TIMER_SEC (1) };
  for (int i = 0; i < count * 7; i++)
    {
      struct steer_choice choice = steer_choose (steer, &request);
      steer_begin_attempt (steer, choice.upstream, CLASS_SHORT);
    }
  size_t chosen = 0;
  apr_time_t began = timer_clock ();
  for (int i = 0; i < ITERATIONS; i++)
    chosen += steer_choose (steer, &request).verdict == STEER_CHOSEN;
  double mean_us = (double)(timer_clock () - began) / ITERATIONS;
  figure (name, chosen == ITERATIONS ? mean_us : 1e9, "us", "-", target_us,
          false);
  steer_destroy (steer);
  snapshot_unref (snapshot);
  apr_pool_destroy (pool);
}

int
main (int argc, char **argv)
{
  apr_initialize ();
  if (argc > 1 && strcmp (argv[1], "--quick") == 0)
    duration = TIMER_SEC (10);
  bench_choice ("choice_among_30", 30, 1);
  bench_choice ("choice_among_1000", 1000, 5);
  bench_slow_upstreams ();
  bench_long_calls ();
  bench_refusing_upstreams ();
  bench_skewed_demand ();
  bench_region_drain ();
  bench_cap ();
  bench_links ();
  return exit_status;
}
