/* What the files of the testbed share.  */
#ifndef BENCH_RUSH_INTERNAL_H
#define BENCH_RUSH_INTERNAL_H

#include "balance/admit.h"
#include "balance/region_split.h"
#include "base/timer.h"
#include "bench/rush/rush.h"
#include "steer/budget.h"

enum
{
  ENTRIES_DEFAULT = 6, /* two in each region */
  ENTRIES_MAX = 36,
  UPSTREAMS_DEFAULT = 27,
  UPSTREAMS_MAX = 270,
  FIRST_DEFAULT = 5, /* of the upstreams, in the first region */
  SLOTS = 8,
  OBJECTS = 55,    /* of each upstream */
  REMEMBERED = 80, /* objects, by an upstream */
  QUEUE_MAX = 32,  /* calls that an upstream holds; measured: 3 to 4 a slot */
  EXCLUDED_MAX = 4
};

struct rush_kind
{
  double part;     /* of the requests */
  apr_time_t work; /* for an unknown object */
  apr_time_t aim;
  apr_time_t deadline;
  double worth;
  int priority;
};

extern const struct rush_kind rush_kinds[RUSH_KINDS];
/* Of the work, where the object is known.  */
extern const double rush_known_work;
extern const char *const rush_regions[RUSH_REGIONS]; /* names */

/* One call of a caller; an attempt at an upstream at a time.  */
struct call
{
  int kind;
  int region;
  int entry;
  uint64_t object;
  apr_time_t asked_at; /* first */
  apr_time_t began_at; /* this try of the caller */
  apr_time_t sent_at;
  apr_time_t expected;
  apr_time_t work; /* the estimate of it as usual */
  double pace;
  int upstream;
  int place; /* region that serves it */
  int tries; /* of the caller */
  int sends; /* of this try */
  int tried[EXCLUDED_MAX];
  bool failed;
  bool refused;
  bool in_line;
  apr_time_t line_until;
};

/* An upstream as it is.  */
struct server
{
  int region;
  int running;
  struct call *queue[QUEUE_MAX]; /* in order */
  int queued;
  double pace;
  double slow;
  double failing;
  uint64_t objects[REMEMBERED];
  int next; /* to be replaced */
};

/* An upstream as a baseline's entry sees it.  */
struct told
{
  int running;
  int own;
};

struct entry
{
  int region;
  struct fleet *fleet;
  struct fleet_upstream *upstreams[UPSTREAMS_MAX];
  struct region_split spread;
  struct balance_region_load rooms[RUSH_REGIONS];
  struct balance_service_time works[RUSH_KINDS];
  struct budget retries;
  struct budget overflow;
  int waiting[RUSH_REGIONS];
  struct call *line[1024]; /* in order */
  int line_count;
  struct told told[UPSTREAMS_MAX];
  int next; /* of round robin */
};

enum event_kind
{
  EVENT_ASK = 1, /* a new call, which brings the next one */
  EVENT_TRY,     /* a caller comes (back) to an entry */
  EVENT_ARRIVE,  /* at the upstream */
  EVENT_DONE,    /* there */
  EVENT_ANSWER,  /* at the entry */
  EVENT_LINE,    /* the wait is over */
  EVENT_TICK
};

struct event
{
  apr_time_t at;
  enum event_kind kind;
  struct call *call;
};

struct rush
{
  struct rush_plan plan;
  apr_pool_t *pool;
  struct server servers[UPSTREAMS_MAX];
  int upstream_count;
  struct entry entries[ENTRIES_MAX];
  int entry_count;
  uint64_t random;
  apr_time_t now;
  struct event *events; /* a heap, the earliest first */
  size_t event_count;
  size_t event_room;
  struct rush_result result;
};

enum
{
  PICK_NONE = -1
};

/* What a policy says of a call.  */
struct decision
{
  int upstream; /* or PICK_NONE */
  bool waits;
  apr_time_t wait;
  apr_time_t retry_after;
};

/* What is to happen (events.c).  */

void rush_plan_event (struct rush *rush, apr_time_t at, enum event_kind kind,
                      struct call *call);
/* Takes out the earliest event before END; returns false if there is none.  */
bool rush_next_event (struct rush *rush, apr_time_t end, struct event *event);

/* The upstreams (server.c): what they do with a call.  */

enum server_action
{
  SERVER_RUNS = 1, /* until rush_server_work is over */
  SERVER_HOLDS,    /* in its queue */
  SERVER_REFUSES
};

enum server_action rush_server_take (struct rush *rush, struct call *call);
/* Returns how long the work of CALL takes, and records its object.  */
apr_time_t rush_server_work (struct rush *rush, struct call *call);
/* A call has ended there; returns the next one of the queue, which runs from
   now on, or NULL.  */
struct call *rush_server_next (struct server *server);
/* Changes paces and faults with time.  */
void rush_server_tick (struct rush *rush);

/* Returns whether the gateway's code decides.  */
bool rush_is_own (const struct rush *rush);
struct decision rush_decide (struct rush *rush, struct call *call,
                             bool from_line);
/* Returns how many entries a region has.  */
int rush_entries_near (const struct rush *rush);
double rush_chance (struct rush *rush);
apr_time_t rush_way (const struct rush *rush, int from, int to);

#endif
