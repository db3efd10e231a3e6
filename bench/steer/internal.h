/* State of the testbed, shared by its files (internal).

   calls.c    upstreams, and calls at the entries
   testbed.c  faults and other events, construction, results  */
#ifndef BENCH_STEER_INTERNAL_H
#define BENCH_STEER_INTERNAL_H

#include "base/timer.h"
#include "bench/steer/testbed.h"
#include "call/queue.h"
#include "steer/budget.h"
#include "steer/steer.h"

enum
{
  REGIONS = 3,
  UPSTREAMS = 30,
  SLOTS = 9,
  FIRST_REGION_ENTRIES = (TESTBED_ENTRIES + REGIONS - 1) / REGIONS,
  MAX_LATENCIES = 8000000
};

struct attempt;

struct call
{
  struct queue_item item;
  struct entry *entry;
  enum call_class call_class;
  apr_time_t arrived_at;
  apr_time_t service_us; /* at an upstream that is neither slow nor cold */
  struct str tried[STEER_EXCLUDED_MAX];
  size_t tried_count;
  int open_attempt_count; /* begun and not ended */
  int dispatches;
  bool answered;   /* or refused, or its deadline has passed */
  bool is_counted; /* arrived after the warm-up */
  struct timer deadline_timer;
  struct timer hedge_timer;
  struct attempt *open_attempts[2];
};

struct attempt
{
  struct call *call;
  struct upstream_model *upstream;
  struct steer_attempt steer_attempt;
  struct attempt *next; /* in the upstream's queue */
  struct timer timer;   /* its next event */
  apr_time_t began_at;
  bool cancelled;
  bool refused;
  bool running; /* occupies a slot */
};

struct upstream_model
{
  const struct upstream *spec;
  struct attempt *first; /* of the queue */
  struct attempt *last;
  int running;
  int queued;
  int open_attempt_count; /* of all entries */
  double slow_factor;
  apr_time_t cold_since; /* -1: never */
  apr_time_t ramp_start; /* of a cold one; -1: none */
  bool draining;
  int64_t reported_load; /* percent of its slots */
};

struct entry
{
  char name[16];
  int index;
  struct str region;
  struct steer *steer;
  struct queue *queue;
  struct budget retry_budget;
  struct budget hedge_budget;
  struct timer arrival_timer;
  struct timer tick_timer;
  size_t cursor; /* of POLICY_ROUND_ROBIN */
  bool killed;   /* for good */
  bool paused;
  bool cut_off; /* its messages are lost */
  struct testbed *testbed;
};

/* A message about shares in transit.  */
struct share_delivery
{
  struct timer timer;
  struct entry *from;
  struct entry *to;
  char names[SHARE_ITEMS_MAX][32];
  struct share_message message;
};

struct testbed
{
  struct testbed_plan plan;
  struct testbed_result result;
  apr_pool_t *pool;
  struct timer_service *timers;
  apr_time_t now;
  apr_time_t end;
  uint64_t random;       /* states of the generators */
  uint64_t fault_random; /* of faults: the same for every policy */
  struct snapshot *snapshot;
  struct snapshot *drained_snapshot; /* with one region drained */
  const struct service *service;
  struct upstream_model upstreams[UPSTREAMS];
  struct entry entries[TESTBED_ENTRIES];
  int64_t concurrent; /* attempts in progress */
  double concurrency_integral;
  apr_time_t concurrency_changed_at;
  struct timer slow_timer;
  struct timer report_timer;
  struct timer fault_timer;
  struct timer drain_timer;
  struct timer store_timer;
  int64_t store_shares[TESTBED_ENTRIES]; /* granted by the store */
  bool store_grows_next; /* the next phase: shares grow, or shrink */
  uint32_t *latencies;
  size_t latency_count;
};

/* Mean service time of short calls, and factors of the service time for long
   calls, at slow upstreams, and at cold ones for their first COLD_US.  */
#define MEAN_SERVICE_US 20000.0
#define LONG_FACTOR 50.0
#define SLOW_FACTOR 10.0
#define COLD_FACTOR 3.0
#define COLD_US TIMER_SEC (2)
/* Configured ramp, over which a cold upstream reaches all its slots.  */
#define RAMP_MS 2000
/* One-way latency between regions.  */
#define ONE_WAY_MS 55
/* Between two reports of the upstreams' load to the entries.  */
#define REPORT_INTERVAL_US TIMER_SEC (5)
/* Time in which callers follow a change of the look-up responses.  */
#define LOOKUP_LIFETIME_US TIMER_SEC (2)
#define DEADLINE_US TIMER_SEC (30)
/* Between two phases of the allocation by POLICY_STORE.  */
#define STORE_PERIOD_US TIMER_MS (500)
/* Between two moves of the demand, with moving_demand.  */
#define DEMAND_MOVE_US TIMER_SEC (3)

/* Functions of calls.c.  */

/* Returns a random number below N.  */
size_t testbed_random_below (struct testbed *testbed, size_t n);
/* The same for faults, from a sequence that no policy influences.  */
size_t testbed_fault_random_below (struct testbed *testbed, size_t n);
/* Adds CHANGE to the attempts in progress and updates their integral over
   time.  */
void testbed_count_concurrency (struct testbed *testbed, int change);
/* Returns the one-way latency from ENTRY to REGION.  */
apr_time_t testbed_one_way_us (const struct entry *entry, struct str region);
/* Sends a message about shares from the entry USER_DATA to the entry TO.  */
void testbed_send_share (void *user_data, struct str to,
                         const struct share_message *message);
/* Dispatches the calls in the queue of ENTRY that an upstream can take.  */
void testbed_dispatch_queued (struct entry *entry);
/* Timer: a call arrives at the entry USER_DATA; schedules the next one.  */
void testbed_on_arrival (void *user_data, apr_time_t now);
/* Timer: the regular update of the shares of the entry USER_DATA.  */
void testbed_on_tick (void *user_data, apr_time_t now);

#endif
