/* Steering decisions under load and faults, in figures.

     bench-steer [--quick]

   Each row runs the own policy and its baselines with the same seed.  Prints
   "figure NAME VALUE UNIT baseline=... target=... ok|short"; counted facts
   that must be zero make the exit status 1.  */
#include "base/timer.h"
#include "bench/steer/links.h"
#include "bench/steer/testbed.h"
#include "steer/steer.h"

#include <apr_general.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static apr_time_t length = TIMER_SEC (30);
static int broken;

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

static void
figure (const char *name, double value, const char *unit, const char *baseline,
        double target, bool at_least)
{
  bool good = at_least ? value >= target : value <= target;
  printf ("figure %s %.5g %s baseline=%s target=%s%g %s\n", name, value, unit,
          baseline, at_least ? ">=" : "<=", target, good ? "ok" : "short");
  fflush (stdout);
}

static void
must_be_zero (const char *name, int64_t value)
{
  figure (name, (double)value, "count", "-", 0, false);
  broken |= value != 0;
}

static struct testbed_plan
plan_of (enum testbed_policy policy)
{
  return (struct testbed_plan){ .policy = policy,
                                .seed = 11,
                                .load = 0.7,
                                .warm_up_us = TIMER_SEC (5),
                                .length_us = length };
}

static double
p99_of (const struct testbed_result *result)
{
  return result->p99_ms;
}

static double
dispatches_of (const struct testbed_result *result)
{
  return (double)result->dispatches / (double)result->calls;
}

static double
goodput_of (const struct testbed_result *result)
{
  return 100.0 * (double)result->answered / (double)result->calls;
}

/* Runs PLAN under every baseline; writes "name:VALUE,..." to TEXT, with what
   VALUE_OF gives in UNIT, and returns the least.  */
static double
run_baselines (struct testbed_plan plan,
               double (*value_of) (const struct testbed_result *result),
               const char *unit, char *text, size_t size)
{
  double least = 1e9;
  size_t n = 0;
  for (int i = 0; i < BASELINES; i++)
    {
      plan.policy = baselines[i].policy;
      struct testbed_result result = testbed_run (&plan);
      double value = value_of (&result);
      n += (size_t)snprintf (text + n, size - n, "%s%s:%.4g%s", i ? "," : "",
                             baselines[i].name, value, unit);
      least = value < least ? value : least;
    }
  return least;
}

static void
bench_slowed (void)
{
  char text[256];
  struct testbed_plan plan = plan_of (POLICY_OWN);
  struct testbed_result calm = testbed_run (&plan);
  must_be_zero ("calm_calls_over_slots", calm.over_slots);
  plan.slowed = true;
  struct testbed_result slowed = testbed_run (&plan);
  double least = run_baselines (plan, p99_of, "ms", text, sizeof text);
  printf ("# calm p99 %.1f ms; slowed p99 %.1f ms; %ld hedges of %ld calls\n",
          calm.p99_ms, slowed.p99_ms, (long)slowed.hedges, (long)slowed.calls);
  figure ("slowed_p99", slowed.p99_ms / calm.p99_ms, "of-calm", text, 1.5,
          false);
  figure ("slowed_p99_of_best_baseline", slowed.p99_ms / least, "ratio", text,
          1.0, false);
  figure ("hedging_extra_load",
          100.0 * (double)slowed.hedges / (double)slowed.calls, "percent", "-",
          5, false);
  must_be_zero ("slowed_calls_over_slots", slowed.over_slots);
  plan.lying = true;
  struct testbed_result lying = testbed_run (&plan);
  run_baselines (plan, p99_of, "ms", text, sizeof text);
  figure ("lying_p99", lying.p99_ms / calm.p99_ms, "of-calm", text, 1.5,
          false);
}

static void
bench_long_calls (void)
{
  char text[256];
  struct testbed_plan plan = plan_of (POLICY_OWN);
  struct testbed_result without = testbed_run (&plan);
  plan.long_share = 0.05;
  struct testbed_result with = testbed_run (&plan);
  run_baselines (plan, p99_of, "ms", text, sizeof text);
  figure ("long_calls_short_p99", with.p99_ms / without.p99_ms, "of-without",
          text, 1.3, false);
  plan.long_share = 1.0;
  plan.load = 0.7 * 0.05 * 50 / (0.95 + 0.05 * 50);
  struct testbed_result alone = testbed_run (&plan);
  figure ("long_calls_throughput",
          100.0 * (double)with.long_answered / (double)alone.long_answered,
          "percent-of-alone", "-", 95, true);
}

static void
bench_shed (void)
{
  char text[256];
  struct testbed_plan plan = plan_of (POLICY_OWN);
  plan.load = 0.3;
  plan.shed = 0.5;
  struct testbed_result shed = testbed_run (&plan);
  run_baselines (plan, dispatches_of, "", text, sizeof text);
  figure ("shed_dispatches", dispatches_of (&shed), "per-call", text, 1.2,
          false);
}

static void
bench_shift (void)
{
  char text[256];
  struct testbed_plan plan = plan_of (POLICY_OWN);
  plan.shift = true;
  plan.load = 0.7 / 3; /* of all slots: one region at 70 % */
  plan.deadline_us = TIMER_SEC (5);
  plan.length_us = TIMER_SEC (10);
  struct testbed_result shift = testbed_run (&plan);
  run_baselines (plan, goodput_of, "%", text, sizeof text);
  plan.policy = POLICY_POWER_OF_TWO;
  printf ("# the baselines know no ramp: %ld calls beyond it under "
          "power-of-two\n",
          (long)testbed_run (&plan).over_ramp);
  figure ("shift_goodput", goodput_of (&shift), "percent", text, 90, true);
  must_be_zero ("shift_calls_over_ramp", shift.over_ramp);
  must_be_zero ("shift_calls_over_slots", shift.over_slots);
}

static void
bench_skew (void)
{
  char text[64];
  struct testbed_plan plan = plan_of (POLICY_OWN);
  plan.busy_entries = 3;
  plan.load = 0.7;
  plan.deadline_us = TIMER_SEC (1);
  struct testbed_result own = testbed_run (&plan);
  plan.policy = POLICY_STATIC;
  struct testbed_result fixed = testbed_run (&plan);
  snprintf (text, sizeof text, "static:%.1f%%",
            100.0 * (double)(fixed.refused + fixed.late)
                / (double)fixed.calls);
  figure ("refused_with_headroom",
          100.0 * (double)(own.refused + own.late) / (double)own.calls,
          "percent", text, 0.5, false);
  must_be_zero ("skew_calls_over_slots", own.over_slots);
}

/* The busy entries change every 3 s; then also with the store down.  */
static void
bench_moving_demand (struct testbed_plan plan)
{
  char text[80];
  double used[2];
  struct testbed_result own;
  struct testbed_result store;
  plan.moving_demand = true;
  plan.policy = POLICY_STORE;
  store = testbed_run (&plan);
  used[0] = store.cap_use;
  plan.store_down_us = plan.length_us;
  used[1] = testbed_run (&plan).cap_use;
  plan.policy = POLICY_OWN;
  own = testbed_run (&plan);
  snprintf (text, sizeof text, "store:%.0f%%,store-down:%.0f%%", 100 * used[0],
            100 * used[1]);
  figure ("call_cap_use_moving", 100 * own.cap_use, "percent", text, 90, true);
  must_be_zero ("call_cap_overrun_moving", own.over_cap);
  printf ("# the allocator wrote %.0f times a second, from %d entries\n",
          (double)store.store_writes * 1e6
              / (double)(plan.warm_up_us + plan.length_us),
          TESTBED_ENTRIES);
}

static void
bench_cap (void)
{
  char text[64];
  struct testbed_plan plan = plan_of (POLICY_OWN);
  plan.call_cap = 100;
  plan.load = 1.5;
  plan.busy_entries = 3;
  plan.deadline_us = TIMER_SEC (1);
  struct testbed_result own = testbed_run (&plan);
  plan.policy = POLICY_STATIC;
  struct testbed_result fixed = testbed_run (&plan);
  plan.policy = POLICY_STORE;
  struct testbed_result store = testbed_run (&plan);
  snprintf (text, sizeof text, "static:%.0f%%,store:%.0f%%",
            100 * fixed.cap_use, 100 * store.cap_use);
  figure ("call_cap_use_3_of_11", 100 * own.cap_use, "percent", text, 90,
          true);
  must_be_zero ("call_cap_overrun_store_allocator", store.over_cap);
  bench_moving_demand (plan);
  must_be_zero ("call_cap_overrun", own.over_cap);
  plan.policy = POLICY_OWN;
  plan.disturbed = true;
  plan.busy_entries = 0;
  for (uint64_t seed = 1; seed <= 10; seed++)
    {
      char name[64];
      plan.seed = seed;
      struct testbed_result r = testbed_run (&plan);
      snprintf (name, sizeof name, "disturbed_over_cap_and_slots_seed_%d",
                (int)seed);
      must_be_zero (name, r.over_cap + r.over_slots);
    }
}

/* Bytes over one way of a link of 4 Gbit/s.  */
static void
bench_links (void)
{
  char text[64];
  struct links_plan plan = { .seed = 11,
                             .cap = 500000000,
                             .load = 1.5,
                             .busy_entries = 3,
                             .length_ms = (int)(length / 1000) };
  struct links_result skew = links_run (&plan);
  must_be_zero ("link_windows_over_3_of_11", skew.windows_over);
  snprintf (text, sizeof text, "static:%.0f%%",
            100.0 * plan.busy_entries / LINKS_ENTRIES);
  figure ("link_use_3_of_11", 100 * skew.use, "percent", text, 90, true);
  plan.disturbed = true;
  struct links_plan unsafe = plan;
  unsafe.no_waiting = true;
  int64_t over = 0;
  int64_t over_unsafe = 0;
  int64_t most = 0;
  int64_t most_unsafe = 0;
  for (uint64_t seed = 1; seed <= 10; seed++)
    {
      plan.seed = unsafe.seed = seed;
      struct links_result r = links_run (&plan);
      over += r.windows_over;
      most = r.most_in_window > most ? r.most_in_window : most;
      r = links_run (&unsafe);
      over_unsafe += r.windows_over;
      most_unsafe
          = r.most_in_window > most_unsafe ? r.most_in_window : most_unsafe;
    }
  printf ("# disturbed: fullest window %.3f of the cap; without "
          "confirmations %.3f, %ld windows over\n",
          (double)most * 10 / (double)plan.cap,
          (double)most_unsafe * 10 / (double)plan.cap, (long)over_unsafe);
  must_be_zero ("link_windows_over_disturbed_10_seeds", over);
}

static void
send_nothing (void *part, struct str to, const struct share_message *message)
{
  (void)part;
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

/* Real time of one choice among COUNT upstreams, most of them busy.  */
static void
bench_choice (const char *name, int count, double target_us)
{
  enum
  {
    ROUNDS = 20000
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
  for (int i = 0; i < ROUNDS; i++)
    chosen += steer_choose (steer, &request).verdict == STEER_CHOSEN;
  double each = (double)(timer_clock () - began) / ROUNDS;
  figure (name, chosen == ROUNDS ? each : 1e9, "us", "-", target_us, false);
  steer_destroy (steer);
  snapshot_unref (snapshot);
  apr_pool_destroy (pool);
}

int
main (int argc, char **argv)
{
  apr_initialize ();
  if (argc > 1 && strcmp (argv[1], "--quick") == 0)
    length = TIMER_SEC (10);
  bench_choice ("choice_among_30", 30, 1);
  bench_choice ("choice_among_1000", 1000, 5);
  bench_slowed ();
  bench_long_calls ();
  bench_shed ();
  bench_skew ();
  bench_shift ();
  bench_cap ();
  bench_links ();
  return broken;
}
