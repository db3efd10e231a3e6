/* Named scenarios for the simulation of the gateway's decisions: one table for
   the bench and the unit tests, which choose the policy and the seed.  */
#ifndef BENCH_GATEWAY_SCENARIOS_H
#define BENCH_GATEWAY_SCENARIOS_H

#include "base/timer.h"
#include "bench/gateway/sim.h"

#include <stddef.h>

static const struct sim_scenario
{
  const char *name;
  struct sim_plan plan;
  /* Queueing calls at upstreams that cache their object has more value here
     than using free slots only.  */
  bool queueing_helps;
  /* Takes seconds of processor time; the unit tests run it once.  */
  bool is_large;
  /* Upstreams say in their responses what the policies may follow or ignore.
   */
  bool has_notices;
} sim_scenarios[] = {
  { .name = "objects", .plan = { .demand = 0.9, .slowdown_noise = 0.2 } },
  { .name = "overload",
    .plan = { .demand = 1.4, .slowdown_noise = 0.2, .unique_objects = true } },
  { .name = "burst",
    .plan = { .demand = 0.9, .burst_factor = 1.9, .slowdown_noise = 0.2 },
    .queueing_helps = true },
  { .name = "one-region",
    .plan
    = { .demand = 0.7, .first_region_fraction = 0.6, .slowdown_noise = 0.2 } },
  { .name = "slow",
    .plan = { .demand = 0.7,
              .slow_fraction = 0.3,
              .slow_factor = 6,
              .slowdown_noise = 0.2 } },
  { .name = "failing",
    .plan = { .demand = 0.6,
              .failing_fraction = 0.3,
              .failure_rate = 0.6,
              .slowdown_noise = 0.2 } },
  { .name = "noise",
    .plan = { .demand = 0.8, .slowdown_noise = 0.8, .unique_objects = true } },
  { .name = "queues",
    .plan = { .demand = 1.3, .slowdown_noise = 0.2, .queue_capacity = 32 },
    .queueing_helps = true },
  { .name = "waves",
    .plan = { .demand = 0.8,
              .upstreams = 150,
              .first_region_upstreams = 15,
              .demand_swing = 0.55,
              .demand_period = TIMER_SEC (36),
              .one_way_latency = TIMER_MS (20),
              .slowdown_noise = 0.2,
              .entries = 36,
              .queue_capacity = 32 } },
  { .name = "many-entries",
    .plan = { .demand = 1.8,
              .slowdown_noise = 0.2,
              .entries = 36,
              .queue_capacity = 32 } },
  { .name = "hundreds",
    .is_large = true,
    .plan = { .demand = 0.62,
              .long_requests = true,
              .connections_close = true,
              .tail_fraction = 0.03,
              .objects = 963,
              .cache_capacity = 15,
              .upstreams = 1176,
              .first_region_upstreams = 117,
              .demand_swing = 0.55,
              .demand_period = TIMER_SEC (36),
              .replaced_fraction = 0.4,
              .slowdown_noise = 0.4,
              .entries = 294,
              .queue_capacity = 27 } },
  { .name = "insistent",
    .plan
    = { .demand = 1.5, .slowdown_noise = 0.2, .immediate_retries = true },
    .queueing_helps = true },
  { .name = "turning-away",
    .has_notices = true,
    .plan = { .demand = 0.7, .slowdown_noise = 0.2, .away_fraction = 0.2 } },
  { .name = "leaving",
    .has_notices = true,
    .plan = { .demand = 0.6, .slowdown_noise = 0.2, .rolls_release = true } },
};

enum
{
  SIM_SCENARIO_COUNT = sizeof sim_scenarios / sizeof *sim_scenarios
};

#endif
