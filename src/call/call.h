/* One caller's request on its way through an entry (internal to the slice).

   A call is opened by its head, admitted (bound to an upstream or queued),
   dispatched in one or more attempts, and answered once.  Its outcome is
     complete  the upstream's whole answer was passed on
     not-run   proved: nothing was dispatched, or it was refused as not
               started
     unknown   dispatched, but no whole answer came

   Threads: the worker's thread only.  */
#ifndef CALL_CALL_H
#define CALL_CALL_H

#include "base/httpd.h"
#include "call/attempt.h"
#include "call/queue.h"
#include "call/worker.h"
#include "steer/budget.h"

enum call_outcome
{
  OUTCOME_COMPLETE = 1,
  OUTCOME_NOT_RUN,
  OUTCOME_UNKNOWN
};

enum
{
  CALL_ATTEMPTS_MAX = 4
};

/* The counters and budgets of one service, kept by the worker.  */
struct call_counters
{
  struct counter *ended[OUTCOME_UNKNOWN + 1];
  struct counter *dispatches[CLASS_COUNT];
  struct counter *hedges[CLASS_COUNT];
  struct histogram *seconds[CLASS_COUNT];
  struct budget hedge_budget;
};

/* What all calls of a worker share.  */
struct call_context
{
  const struct settings *settings;
  struct loop *loop;
  struct httpd *httpd;
  struct curl_loop *curl_loop;
  struct steer *steer;
  struct queue *queue;
  struct connections *connections;
  struct snapshot *snapshot;
  struct roster *roster;
  struct counters *counters;
  struct burn_ledger *burn;
  apr_pool_t *pool;
  apr_hash_t *service_counters; /* struct call_counters by service */
  struct counter *lookups;
  struct call *calls;
  struct cancelled *cancelled; /* slots of cancelled calls */
  struct call *ready;          /* to be resumed at the end of the round */
  bool slot_freed;             /* waiting calls may be placed */
  bool connections_short;      /* a call waits for a connection */
  bool leaving;
  struct budget retries;
  int64_t open;
  int64_t in_flight;
  uint64_t last_id;
  uint64_t id_base;
};

struct call
{
  struct call_context *context;
  struct call *next;
  struct call **link;
  struct call *next_ready;
  struct call **ready_link; /* NULL: not in the list */
  apr_pool_t *pool;
  struct MHD_Connection *connection;
  struct str target;
  struct str path;
  struct str method;
  struct headers headers;
  struct str id;
  struct snapshot *snapshot;
  const struct service *service;
  const struct route *route;
  enum call_class call_class;
  bool is_head;
  bool repeatable;
  bool opened;
  bool admitted;
  bool suspended;
  bool answer_ready;
  bool answered;  /* an answer was queued for the caller */
  bool discard;   /* the rest of the request body is ignored */
  bool gone;      /* the caller left */
  bool maybe_run; /* an earlier attempt may have run the call */
  bool body_ended;
  int64_t body_size; /* -1: unknown */
  int64_t body_seen;
  struct body body;
  apr_time_t began_at;
  apr_time_t deadline;
  struct timer timer;
  struct queue_item queue_item;
  struct attempt *attempt; /* whose answer is or will be passed on */
  struct attempt *hedge;   /* a second one, if the first is late */
  struct timer hedge_timer;
  struct call_counters *counters; /* of the service */
  int attempts;
  struct str tried[STEER_EXCLUDED_MAX];
  size_t tried_count;
  struct str region; /* of the last upstream */
  unsigned int status;
  enum call_outcome outcome;
  struct err err; /* of a failed call */
  int64_t retry_after_ms;
};

/* Makes a call for a request whose head is not yet known.  */
struct call *call_create (struct call_context *context, const char *target);
/* Takes the head: finds service and route, and refuses what cannot be
   served.  */
void call_open (struct call *call, struct MHD_Connection *connection,
                const char *method, const char *path);
/* Ends the call in whatever state it is.  */
void call_destroy (struct call *call);
/* Takes body bytes; returns how many were taken.  */
size_t call_take_body (struct call *call, const char *data, size_t size);
/* The whole request was received.  */
void call_end_body (struct call *call);
/* Makes CALL go on at the end of this round of events.  */
void call_wake (struct call *call);
/* Moves a waiting call to the resources of a new configuration.  */
void call_rebind (struct call *call);
/* Returns the cause for the burn report.  */
enum burn_cause call_burn_cause (const struct call *call, apr_time_t now);

/* dispatch.c: attempts, in one place from admission to the last of them.  */

/* Binds the call to an upstream, puts it in line, or refuses it.  */
void call_admit (struct call *call);
/* Tries to bind a waiting call; returns true if it waits no longer.  */
bool call_place (struct call *call);
/* Ends the call with an error answer: `unknown' if it may have run,
   otherwise `not-run'.  */
void call_refuse (struct call *call, unsigned int status, enum err_code code,
                  const char *step, const char *detail);
/* The deadline's timer.  */
void call_on_deadline (void *part, apr_time_t now);
/* Returns whether a request in progress may have reached its upstream.  */
bool call_is_sent (const struct call *call);
/* Cancels all attempts.  */
void call_drop_attempts (struct call *call);
/* Cancels the attempt whose answer is not passed on.  */
void call_drop_hedge (struct call *call);

/* answer.c  */

/* Queues the answer, whole or streamed.  */
enum MHD_Result call_answer (struct call *call);
const char *call_outcome_name (enum call_outcome outcome);

#endif
