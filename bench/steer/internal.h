/* State of the testbed, shared by its files (internal).

   calls.c    upstreams, and calls at the entries
   testbed.c  what happens to the world, construction, results  */
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
  LATENCIES_MAX = 8000000
};

struct attempt;

struct call
{
  struct queue_item item;
  struct entry *entry;
  enum call_class call_class;
  apr_time_t arrived_at;
  apr_time_t service_us;
  struct str tried[STEER_EXCLUDED_MAX];
  size_t tried_count;
  int attempts_open;
  int dispatches;
  bool answered;
  bool counted;       /* arrived after the warm-up */
  struct timer timer; /* deadline */
  struct timer hedge;
  struct attempt *open[2]; /* in progress */
};

struct attempt
{
  struct call *call;
  struct upstream_model *upstream;
  struct steer_attempt steer_attempt;
  struct attempt *next; /* in the upstream's queue */
  struct timer timer;
  apr_time_t began_at;
  bool cancelled;
  bool shed;
  bool running;
};

struct upstream_model
{
  const struct upstream *spec;
  struct attempt *first;
  struct attempt *last;
  int running;
  int queued;
  int open; /* attempts begun and not ended, of all entries */
  double slow;
  apr_time_t cold_from; /* -1: warm */
  apr_time_t open_from; /* the ramp of a cold one starts here */
  bool leaving;
  int64_t reported;
};

struct entry
{
  char name[16];
  int index;
  struct str region;
  struct steer *steer;
  struct queue *queue;
  struct budget retries;
  struct budget hedges;
  struct timer arrival;
  struct timer tick;
  size_t cursor;
  bool dead;
  bool paused;
  bool cut_off;
  struct testbed *bed;
};

struct letter
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
  uint64_t random;
  uint64_t world_random; /* of what happens, the same for every policy */
  struct snapshot *snapshot;
  struct snapshot *shifted; /* with one region drained */
  const struct service *service;
  struct upstream_model upstreams[UPSTREAMS];
  struct entry entries[TESTBED_ENTRIES];
  int64_t concurrent;
  double concurrent_area;
  apr_time_t area_since;
  struct timer slow_timer;
  struct timer report_timer;
  struct timer disturb_timer;
  struct timer shift_timer;
  struct timer store_timer;
  int64_t store_parts[TESTBED_ENTRIES]; /* granted by the store */
  bool store_grows;                     /* the phase that comes next */
  uint32_t *latencies;
  size_t latency_count;
};

#define MEAN_US 20000.0
#define LONG_FACTOR 50.0
#define SLOW_FACTOR 10.0
#define COLD_FACTOR 3.0
#define COLD_US TIMER_SEC (2)
#define RAMP_MS 2000
#define LINK_MS 55
#define REPORT_LAG_US TIMER_SEC (5)
#define LOOKUP_LIFETIME_US TIMER_SEC (2)
#define DEADLINE_US TIMER_SEC (30)
#define STORE_PERIOD_US TIMER_MS (500)
#define MOVE_US TIMER_SEC (3)

/* Returns a number below N.  */
size_t bed_pick (struct testbed *f, size_t n);
/* As bed_pick, for what happens to the world.  */
size_t bed_pick_world (struct testbed *f, size_t n);
/* Counts CHANGE calls in progress.  */
void bed_note_concurrency (struct testbed *f, int change);
/* Returns the way from ENTRY to REGION.  */
apr_time_t bed_way_us (const struct entry *entry, struct str region);
/* Sends a message about shares.  */
void bed_send_share (void *part, struct str to,
                     const struct share_message *message);
/* Places calls that wait at E.  */
void bed_offer (struct entry *e);
/* A call arrives.  */
void bed_on_arrival (void *part, apr_time_t now);
/* The tick of the shares of an entry.  */
void bed_on_tick (void *part, apr_time_t now);

#endif
