/* One caller's request on its way through an entry (internal to the module).

   A call is opened when its head was read, admitted (bound to an upstream or
   queued), dispatched in one or more attempts, and answered once.  Its outcome
   is
     complete  the upstream's whole response was forwarded
     not-run   it is certain that no upstream ran the call: nothing was
               dispatched, or the upstream refused the call before it started
     unknown   dispatched, but no whole response came

   Call order: call_create, call_open; call_receive_body for each piece of the
   body and call_end_body; call_send_response once `response_ready' is set;
   call_destroy.  All of them are called by requests.c.

   Times are microseconds of timer_clock.

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
  CALL_ATTEMPTS_MAX = 4 /* of one call, hedges included */
};

/* The metrics and the hedge budget of one service, kept by the worker.  */
struct call_counters
{
  struct counter *ended[OUTCOME_UNKNOWN + 1]; /* calls, by outcome */
  struct counter *dispatches[CLASS_COUNT];
  struct counter *hedges[CLASS_COUNT];
  struct histogram *seconds[CLASS_COUNT]; /* from a call's head to its end */
  struct budget hedge_budget;
};

/* State that all calls of a worker share.  */
struct call_context
{
  const struct settings *settings;
  struct loop *loop;
  struct httpd *httpd;
  struct curl_loop *curl_loop;
  struct steer *steer;
  struct queue *queue; /* calls that wait for a slot */
  struct connections *connections;
  struct snapshot *snapshot; /* configuration for new calls */
  struct roster *roster;
  struct counters *counters;
  struct burn_tracker *burn;
  apr_pool_t *pool;
  apr_hash_t *service_counters; /* struct call_counters by service */
  struct counter *lookups;
  struct call *calls;               /* all that are not destroyed */
  struct cancelled_call *cancelled; /* whose slots are not yet free */
  struct call *ready;               /* calls to be resumed at the end of the
                                       event loop iteration */
  bool slot_freed;           /* waiting calls may find a slot: offer the queue
                                at the end of the iteration */
  bool waits_for_connection; /* an upstream with a free slot was passed over
                                since it had no free connection */
  bool leaving;              /* the entry is about to stop */
  bool listener_closed;
  bool calls_ended;               /* those left got their final response */
  struct stop_limits stop_limits; /* set while leaving */
  struct budget retries;          /* of all services */
  int64_t open_requests;          /* calls not destroyed, look-ups included */
  int64_t in_flight;              /* attempts that hold a slot, cancelled ones
                                     included */
  uint64_t last_id;
  uint64_t id_base; /* random; the first part of generated Request-Ids */
};

struct call
{
  struct call_context *context;
  struct call *next;
  struct call **link; /* what points to this call */
  struct call *next_ready;
  struct call **ready_link; /* NULL: not in the list `ready' */
  apr_pool_t *pool;
  struct MHD_Connection *connection;
  struct str target; /* as received */
  struct str path;   /* as received, without the query */
  struct str method;
  struct headers headers;
  struct str id;             /* Request-Id */
  struct snapshot *snapshot; /* referenced; service and route are in it */
  const struct service *service;
  const struct route *route;
  enum call_class call_class;
  bool is_head;         /* the method is HEAD */
  bool repeatable;      /* may be sent again after it may have run */
  bool opened;          /* the head was read */
  bool admitted;        /* dispatched, queued or refused */
  bool suspended;       /* the caller's connection is suspended */
  bool response_ready;  /* a response can be sent */
  bool response_queued; /* a response was queued for the caller */
  bool discard_body;    /* the rest of the request body is ignored */
  bool caller_closed;   /* the caller closed its connection */
  bool may_have_run;    /* an earlier attempt may have run the call */
  bool body_ended;      /* the whole request was received */
  int64_t body_size;    /* bytes; -1: unknown */
  int64_t body_received;
  struct body body;    /* of the request */
  apr_time_t began_at; /* when the request line had arrived */
  apr_time_t deadline;
  struct timer timer; /* fires at the deadline */
  struct queue_item queue_item;
  struct attempt *attempt; /* whose response is or will be forwarded */
  struct attempt *hedge;   /* a second one, started when the first was slow */
  struct timer hedge_timer;
  struct call_counters *counters;       /* of the service */
  int attempts;                         /* started so far */
  struct str tried[STEER_EXCLUDED_MAX]; /* upstreams where an attempt failed */
  size_t tried_count;
  struct str region; /* of the last upstream */
  unsigned int status;
  enum call_outcome outcome;
  struct err err;         /* of a failed call; sent in the error response */
  int64_t retry_after_ms; /* sent with 503 */
};

/* Makes a call for a request whose head is not yet known.  A call that is
   never opened (a look-up) is not counted in the metrics.  */
struct call *call_create (struct call_context *context, const char *target);
/* Reads the head: resolves service and route, and starts the deadline.  Fails
   the call if it is malformed, if no service has its host name, or if its
   body is too large.  */
void call_open (struct call *call, struct MHD_Connection *connection,
                const char *method);
/* Ends the call in whatever state it is: counts its outcome, cancels its
   attempts, frees it.  */
void call_destroy (struct call *call);
/* Buffers body bytes, and admits the call with the first of them.  Returns how
   many bytes were accepted; if the buffer is full, the rest must be passed
   again once the connection was resumed.  */
size_t call_receive_body (struct call *call, const char *data, size_t size);
/* Notes that the whole request was received, and admits a call without a
   body.  */
void call_end_body (struct call *call);
/* Resumes the caller's connection at the end of this event loop iteration, if
   it is suspended.  */
void call_schedule_resume (struct call *call);
/* Moves a waiting call to the current snapshot; fails it if its service was
   removed.  Its class and its deadline stay.  Other calls keep the snapshot
   that they were opened with.  */
void call_update_snapshot (struct call *call);
/* Returns how the call, which ends at NOW, counts for the service's error
   budget (burn/burn.h).  */
enum burn_cause call_burn_cause (const struct call *call, apr_time_t now);

/* dispatch.c: a call's attempts, from admission to the end of the last.  */

/* Binds the call to an upstream, queues it, or fails it.  Called with the
   first bytes of the body or at its end, and again for a retry.  */
void call_admit (struct call *call);
/* Tries to bind a waiting call to an upstream, when a slot may have become
   free.  Returns true if it waits no longer, because it was dispatched or
   failed.  */
bool call_try_dispatch (struct call *call);
/* Makes an error response of STATUS the call's response, with the outcome
   `unknown' if the call may have run, otherwise `not-run'; 502 instead of 503
   if it may have run.  CODE, STEP and
   DETAIL are sent to the caller.  Discards the attempts.  */
void call_fail (struct call *call, unsigned int status, enum err_code code,
                const char *step, const char *detail);
/* Timer function: fails the call at its deadline, or truncates a response
   that is being forwarded.  */
void call_on_deadline (void *user_data, apr_time_t now);
/* Ends the call as at its deadline, since this entry stops.  */
void call_end_for_stop (struct call *call);
/* Returns whether an attempt that the call still has may have reached its
   upstream.  */
bool call_is_sent (const struct call *call);
/* Destroys all attempts, and cancels those in progress.  */
void call_discard_attempts (struct call *call);
/* Destroys the attempt whose response is not forwarded, if there is one.  */
void call_discard_hedge (struct call *call);

/* response.c: the response to the caller.  */

/* Queues the response for the caller, whole or streamed, and discards the
   hedge.  */
enum MHD_Result call_send_response (struct call *call);
/* Returns the name of OUTCOME as sent in Citroncleat-Outcome.  */
const char *call_outcome_name (enum call_outcome outcome);

#endif
