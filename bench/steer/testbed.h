/* Simulates entries and upstreams on one virtual clock, around the real
   steering code.

   Each entry has its own `struct steer' with its shares, and a queue of calls;
   each upstream has slots and a queue, first come, first served.  Upstreams
   can be slow, cold, refuse calls or report a wrong load.  Messages between
   entries take the latency between their regions, and can be lost.

     struct testbed_plan plan = { .policy = POLICY_OWN, .seed = 1,
                                  .load = 0.7, .warm_up_us = TIMER_SEC (5),
                                  .duration_us = TIMER_SEC (30) };
     struct testbed_result result = testbed_run (&plan);

   Units: microseconds.  Threads: any number of runs side by side.  The result
   depends on nothing but the plan, including its seed.  Call apr_initialize
   first.  Errors: an invalid configuration or running out of memory ends the
   process.  */
#ifndef BENCH_TESTBED_H
#define BENCH_TESTBED_H

#include "resource/resource.h"

#include <apr_time.h>

/* The first three run the steering code.  The others choose among the
   upstreams of the entry's region, heed no limits, and leave queueing to the
   upstreams.

   POLICY_STORE: every half second each entry writes its demand to the store.
   One of them divides the service's cap in proportion, in two phases, so that
   some entries shrink before others grow.  While the store is down nothing
   changes.  Slots are lent as with POLICY_OWN.  */
enum testbed_policy
{
  POLICY_OWN = 1,
  POLICY_NO_LOANS, /* printed as "static" */
  POLICY_STORE,    /* the store allocates the service's cap */
  POLICY_RANDOM,
  POLICY_ROUND_ROBIN,
  POLICY_LEAST_REPORTED, /* the lowest reported load */
  POLICY_POWER_OF_TWO    /* of two random ones, that with fewer attempts of
                            this entry */
};

enum
{
  TESTBED_ENTRIES = 11
};

struct testbed_plan
{
  enum testbed_policy policy;
  uint64_t seed;
  double load;          /* offered, over all slots, or over the cap if any */
  int busy_entries;     /* all calls arrive at the first so many; 0: at all */
  double long_fraction; /* of the calls; they take 50 times as long */
  bool slow_upstreams;  /* three random ones at a time take ten times as long;
                           others after 0.2 to 2 s */
  bool false_reports;   /* slow upstreams report that they are idle */
  double refusal_rate;  /* fraction of the attempts that upstreams refuse */
  int64_t call_cap;     /* of the service; 0: none */
  bool inject_faults;   /* entries killed, paused, cut off; messages lost */
  /* All demand arrives in the first region, whose upstreams alone are in use
     during the warm-up.  After it they are drained, and the others, which are
     cold then, take over.  */
  bool drain_region;
  /* `load' is that of the short calls alone, as if there were no long ones.
   */
  bool short_only_load;
  apr_time_t store_outage_us; /* from the end of the warm-up */
  bool moving_demand;         /* the busy entries change every 3 s */
  apr_time_t deadline_us;     /* default 30 s */
  apr_time_t warm_up_us;      /* not counted in the results */
  apr_time_t duration_us;     /* after the warm-up */
};

struct testbed_result
{
  double p50_ms, p99_ms; /* latency of short calls */
  int64_t calls, answered;
  int64_t refused; /* also those still in an entry's queue at the deadline */
  int64_t late;    /* still at an upstream at the deadline */
  int64_t short_answered, long_answered;
  int64_t dispatches; /* attempts, hedges included */
  int64_t hedges;
  /* Attempts that began beyond an upstream's slots, beyond the service's cap,
     or beyond the ramp of a cold upstream.  The first two are not counted for
     the baselines.  */
  int64_t calls_over_slots;
  int64_t calls_over_cap;
  int64_t calls_over_ramp;
  double cap_utilization; /* mean concurrent attempts over the cap */
  int64_t share_messages; /* sent between entries, lost ones included */
  int64_t store_writes;   /* of POLICY_STORE */
};

/* Runs the simulation PLAN to its end.  */
struct testbed_result testbed_run (const struct testbed_plan *plan);

#endif
