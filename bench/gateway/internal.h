/* Types and functions shared by the files of the simulation (internal).

   sim.c        generation of calls, entries, results
   policies.c   policies that choose an upstream
   upstreams.c  upstreams
   events.c     event queue  */
#ifndef BENCH_GATEWAY_INTERNAL_H
#define BENCH_GATEWAY_INTERNAL_H

#include "balance/admit.h"
#include "balance/cold_quota.h"
#include "balance/region_split.h"
#include "base/timer.h"
#include "bench/gateway/sim.h"
#include "steer/budget.h"

enum
{
  DEFAULT_ENTRIES = 6, /* two in each region */
  MAX_ENTRIES = 300,
  DEFAULT_UPSTREAMS = 27,
  MAX_UPSTREAMS = 1350,
  DEFAULT_FIRST_REGION_UPSTREAMS = 5,
  SLOTS = 8,                 /* of each upstream */
  LONG_SLOTS = 9,            /* the same with long requests */
  OBJECTS_PER_UPSTREAM = 55, /* distinct objects over upstreams */
  CACHE_CAPACITY = 80,       /* objects that an upstream caches */
  MAX_QUEUE = 32,  /* calls that wait at an upstream; real upstreams queue 3 to
                      4 for each slot */
  MAX_EXCLUDED = 4 /* upstreams remembered that a call has tried */
};

struct sim;

struct sim_request_kind
{
  double fraction;         /* of the requests */
  apr_time_t service_time; /* of an object that is not cached */
  apr_time_t target_latency;
  apr_time_t deadline;
  double weight; /* in the results */
  int priority;  /* 0: the most urgent */
};

/* Returns the kind NUMBER of the run's requests.  */
const struct sim_request_kind *sim_request_kind (const struct sim *sim,
                                                 int number);
/* Returns the service time of a cached object, as a fraction of the full
   one.  */
double sim_cached_time_fraction (const struct sim *sim);
extern const char *const sim_region_names[SIM_REGIONS];

/* A caller's request, which is at one upstream at a time.  */
struct sim_call
{
  int kind;
  int region; /* of the caller */
  int entry;
  uint64_t object;         /* hash */
  apr_time_t arrived_at;   /* first */
  apr_time_t submitted_at; /* the caller's latest submission */
  apr_time_t sent_at;      /* to the upstream */
  /* Estimates of the policy when the call was sent.  */
  apr_time_t expected_latency;
  apr_time_t service_time; /* without slowdown */
  double slowdown;
  int upstream;
  int generation;                    /* of the upstream when it was sent */
  int start_count;                   /* of the upstream when it arrived */
  int target_region;                 /* chosen to serve it */
  bool overflowed;                   /* not the region of its object */
  int retry_count;                   /* of the caller */
  int send_count;                    /* of the latest submission */
  int tried_upstreams[MAX_EXCLUDED]; /* the first of them */
  bool failed;
  bool refused;           /* by the upstream */
  bool unreachable;       /* refused, since the upstream has ended */
  bool says_leaving;      /* the upstream, in its response */
  apr_time_t stated_wait; /* by the upstream that refused it; 0: none */
  bool queued;            /* at the entry */
  apr_time_t queued_until;
};

/* The actual state of an upstream.  */
struct sim_upstream
{
  int region;
  int in_flight;                     /* calls that occupy a slot */
  struct sim_call *queue[MAX_QUEUE]; /* in order of arrival */
  int queue_length;
  double slowdown;        /* varies at random around 1 */
  double slow_factor;     /* 1, or more in the second half */
  double failure_rate;    /* 0, or more in the second half */
  int generation;         /* how often it was replaced */
  int start_count;        /* how often it started again under its id */
  apr_time_t away_until;  /* refuses until then */
  apr_time_t leaves_at;   /* in a rolling release; 0: not in one */
  bool has_ended;         /* and is not yet replaced */
  bool is_listed_leaving; /* in the store */
  bool told_leaving;      /* it told an entry that it leaves */
  double false_notices;   /* 0, or the fraction of its responses that say so
                             though it stays, in the second half */
  apr_time_t shared_at;   /* what it told one entry is known to all; 0: it told
                             none */
  uint64_t cached_objects[CACHE_CAPACITY];
  int next_evicted; /* counts up; modulo CACHE_CAPACITY the entry to replace */
};

/* What a baseline's entry knows of an upstream.  */
struct sim_upstream_view
{
  int reported_in_flight; /* running and queued, by the latest response */
  int own_in_flight;      /* sent by this entry and not yet answered */
  apr_time_t used_at;     /* a response came; 0: never */
};

struct sim_entry
{
  int region;
  struct fleet *fleet;
  struct fleet_upstream *upstreams[MAX_UPSTREAMS];
  struct region_split region_split;
  struct balance_region_load region_loads[SIM_REGIONS];
  struct balance_reports reports[SIM_REGIONS];
  struct balance_service_time service_times[SIM_REQUEST_KINDS];
  struct budget retry_budget;
  struct region_overflow overflow;
  int queued_by_region[SIM_REGIONS]; /* calls, by target region */
  struct sim_call *queue[1024];      /* by priority, then order of arrival */
  int queue_length;
  struct sim_upstream_view views[MAX_UPSTREAMS];
  int next_upstream; /* of SIM_POLICY_ROUND_ROBIN */
};

/* What the outage of the plan has come to.  */
enum sim_outage_phase
{
  OUTAGE_NONE,    /* not begun, or there is none */
  OUTAGE_AWAY,    /* upstreams have ended */
  OUTAGE_DOUBTED, /* and the entries know that contact was lost */
  OUTAGE_COLD,    /* they have started again */
  OUTAGE_OVER     /* they are warm */
};

enum sim_event_kind
{
  EVENT_NEW_CALL = 1,     /* creates a call and schedules the next one */
  EVENT_ENTRY_ARRIVAL,    /* a caller submits a call to an entry */
  EVENT_UPSTREAM_ARRIVAL, /* a call reaches the upstream */
  EVENT_COMPLETION,       /* the upstream has completed a call */
  EVENT_RESPONSE,         /* the response reaches the entry */
  EVENT_QUEUE_TIMEOUT,    /* a call's time in an entry's queue is over */
  EVENT_TICK              /* every 100 ms */
};

struct sim_event
{
  apr_time_t at;
  enum sim_event_kind kind;
  struct sim_call *call; /* or NULL */
};

struct sim
{
  struct sim_plan plan;
  apr_pool_t *pool;
  struct sim_upstream upstreams[MAX_UPSTREAMS];
  int upstream_count;
  int slots;          /* of each upstream */
  int cache_capacity; /* of each upstream */
  int replaced_count; /* upstreams replaced so far */
  enum sim_outage_phase outage_phase;
  struct sim_entry entries[MAX_ENTRIES];
  int entry_count;
  uint64_t random; /* state of the generator */
  apr_time_t now;
  struct sim_event *events; /* a binary heap, the earliest first */
  size_t event_count;
  size_t event_capacity;
  struct sim_result result;
};

enum
{
  NO_UPSTREAM = -1
};

/* What a policy does with a call: sends it, or has it wait in the entry's
   queue, or else refuses it.  */
struct sim_decision
{
  int upstream;           /* or NO_UPSTREAM */
  bool must_wait;         /* without an upstream */
  apr_time_t max_wait;    /* with must_wait */
  apr_time_t retry_after; /* when refused */
};

/* The event queue (events.c).  */

/* Adds an event at the time AT; CALL may be NULL.  */
void sim_schedule (struct sim *sim, apr_time_t at, enum sim_event_kind kind,
                   struct sim_call *call);
/* Removes the earliest event before END and stores it in EVENT; returns false
   if there is none.  */
bool sim_next_event (struct sim *sim, apr_time_t end, struct sim_event *event);

/* The upstreams (upstreams.c).  */

enum upstream_action
{
  UPSTREAM_STARTS = 1, /* for the time that sim_upstream_run returns */
  UPSTREAM_QUEUES,
  UPSTREAM_REFUSES
};

/* Has the upstream of CALL occupy a slot, or queue or refuse the call.  */
enum upstream_action sim_upstream_accept (struct sim *sim,
                                          struct sim_call *call);
/* Starts CALL, which has a slot: decides whether it fails, caches its object,
   and returns how long it occupies the slot.  */
apr_time_t sim_upstream_run (struct sim *sim, struct sim_call *call);
/* Frees the slot of a completed call.  Returns the next call of the queue,
   which occupies the slot from now on, or NULL.  */
struct sim_call *sim_upstream_finish (struct sim_upstream *upstream);
/* Updates slowdowns and faults of all upstreams; called at every tick.  */
void sim_upstreams_update (struct sim *sim);
/* Returns whether UPSTREAM says in its responses that it leaves.  */
bool sim_upstream_is_leaving (const struct sim *sim,
                              const struct sim_upstream *upstream);

/* The policies (policies.c).  */

/* Returns whether the gateway's code decides.  */
bool sim_is_own_policy (const struct sim *sim);
/* Decides where CALL goes and sets its target region.  FROM_QUEUE: it has
   waited at the entry, and keeps its target region.  */
struct sim_decision sim_decide (struct sim *sim, struct sim_call *call,
                                bool from_queue);

/* Functions of sim.c.  */

/* Returns how many entries a region has, or one less.  */
int sim_entries_per_region (const struct sim *sim);
/* Returns a random number from 0 to less than 1.  */
double sim_random (struct sim *sim);
/* Returns the one-way latency between the regions FROM and TO.  */
apr_time_t sim_one_way_latency (const struct sim *sim, int from, int to);

#endif
