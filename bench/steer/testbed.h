/* Entries and upstreams on one virtual clock, around the real steering code.

   Each entry has its own `struct steer' with its shares, and a queue; each
   upstream has slots, a first-come queue, and can be slow, cold, shedding or
   silent about its load.  Messages between entries take the distance of
   their regions and can be lost.  A run is determined by its plan and seed.

   Units: microseconds.  */
#ifndef BENCH_TESTBED_H
#define BENCH_TESTBED_H

#include "resource/resource.h"

#include <apr_time.h>

enum testbed_policy
{
  POLICY_OWN = 1,
  POLICY_STATIC, /* the own choice without loans */
  POLICY_STORE,  /* the service's cap is allocated by the store, see below */
  POLICY_RANDOM,
  POLICY_ROUND_ROBIN,
  POLICY_LEAST_REPORTED,
  POLICY_POWER_OF_TWO
};

enum
{
  TESTBED_ENTRIES = 11
};

/* POLICY_STORE: every half second each entry writes its demand to the store;
   one of them divides the cap in proportion, in two phases, so that entries
   shrink before others grow.  While the store is down nothing changes.  Slots
   are lent as usual.  */
struct testbed_plan
{
  enum testbed_policy policy;
  uint64_t seed;
  double load;          /* offered, of all slots */
  int busy_entries;     /* all calls arrive at so many; 0: at all */
  double long_share;    /* of calls, 50 times as long */
  bool slowed;          /* 3 upstreams ten times as slow, in turn */
  bool lying;           /* slow upstreams report that they are idle */
  double shed;          /* part of calls refused by upstreams */
  int64_t call_cap;     /* of the service; 0: none */
  bool disturbed;       /* entries killed, paused, cut off; messages lost */
  bool shift;           /* a region's upstreams leave; the others are cold */
  bool short_only_load; /* the load of the short calls of a mixed run */
  apr_time_t store_down_us; /* from the end of the warm-up */
  bool moving_demand;       /* the busy entries change every 3 s */
  apr_time_t deadline_us;   /* default 30 s */
  apr_time_t warm_up_us;
  apr_time_t length_us; /* after the warm-up */
};

struct testbed_result
{
  double p50_ms, p99_ms; /* of short calls */
  int64_t calls, answered, refused, late;
  int64_t short_answered, long_answered;
  int64_t dispatches;
  int64_t hedges;
  int64_t over_slots; /* calls begun beyond an upstream's slots */
  int64_t over_cap;   /* calls begun beyond the service's cap */
  int64_t over_ramp;  /* calls begun beyond a cold upstream's ramp */
  double cap_use;     /* mean concurrent calls, of the cap */
  int64_t share_messages;
  int64_t store_writes;
};

struct testbed_result testbed_run (const struct testbed_plan *plan);

#endif
