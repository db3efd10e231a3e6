/* Types and functions that the gateway's files share (internal to the module).

   Life of a request: libmicrohttpd calls request_begin with the raw target,
   then request_handle with the head, with each piece of the body and at its
   end.  The request is admitted, at the latest when its body is complete: it
   is sent, queued or refused (dispatch.c).  Each attempt goes to one upstream
   (attempts.c) and may be followed by another.  The caller gets one response:
   an upstream's, forwarded, or this entry's own refusal.  request_completed
   frees the request.

     request_handle -> dispatch_admit -> attempts_start -> response
                                     \-> wait_queue_add -> dispatch_try_send

   Units: microseconds, unless a name ends in _ms or _s.  Threads: the event
   loop's thread only.  */
#ifndef GATEWAY_INTERNAL_H
#define GATEWAY_INTERNAL_H

#include "balance/admit.h"
#include "balance/region_split.h"
#include "base/httpd.h"
#include "base/log.h"
#include "call/attempt.h"
#include "call/connections.h"
#include "call/stop_limits.h"
#include "gateway/lapse_checks.h"
#include "gateway/reachability.h"
#include "gateway/verify.h"
#include "gateway/registry.h"
#include "gateway/settings.h"
#include "gateway/store_sync.h"
#include "plan/plan.h"
#include "quota/quota.h"
#include "steer/budget.h"

#include <sys/stat.h>

enum
{
  /* Queues by priority; 0 is the most urgent, and higher priority numbers
     share the last queue.  */
  PRIORITY_LEVELS = 8,
  GATEWAY_REGIONS_MAX = REGION_SPLIT_MAX_REGIONS,
  /* Of the response to a look-up.  */
  GATEWAY_LOOKUP_LIFETIME_S = 1,
  /* A connection to an upstream that was idle for longer is not reused; well
     below the time after which upstreams close idle connections.  */
  GATEWAY_MAX_IDLE_S = 6,
  /* Requests in progress of this entry at one upstream, and idle connections
     kept to it.  Several times an upstream's slots, which are the effective
     limit.  */
  GATEWAY_UPSTREAM_REQUESTS_MAX = 64,
  /* Retry-After of a refusal where slots are in use: about the time for which
     a short request occupies one.  */
  GATEWAY_RETRY_AFTER_SLOT_MS = 200,
  /* Retry-After where no upstream takes requests: half of the time between two
     reads of the list of upstreams.  */
  GATEWAY_RETRY_AFTER_NO_UPSTREAM_MS = 500
};

/* How a request ended.  */
enum request_outcome
{
  REQUEST_SERVED = 1, /* an upstream's response was forwarded */
  REQUEST_REFUSED,    /* not run, and the caller was informed */
  REQUEST_FAILED,     /* no whole response; it may have run */
  REQUEST_ABANDONED,  /* the caller closed its connection first */
  REQUEST_OUTCOMES
};

/* Why an attempt ended without a response that its caller got.  */
enum attempt_failure
{
  FAILURE_REFUSED,     /* by the upstream, which did not run it */
  FAILURE_MISDIRECTED, /* another upstream has the address */
  FAILURE_ERROR,       /* the upstream's, and sent to another one */
  FAILURE_FOREIGN,     /* the response isn't the upstream's, or another's */
  FAILURE_UNREACHABLE, /* not sent, or what was sent stayed unacknowledged */
  FAILURE_BROKEN,      /* the connection, or its bytes were no response */
  FAILURE_NO_ANSWER,   /* before the deadline, or the end of a stop */
  FAILURE_LATE,        /* given up for one at another upstream */
  ATTEMPT_FAILURES
};

/* State of a route that outlives versions of the plan.  */
struct route_state
{
  struct balance_service_time
      service_time;           /* of its requests at an upstream */
  apr_time_t sent_at;         /* the latest attempt began; 0: none yet */
  int64_t longest_timeout_ms; /* that callers have stated; taken for what a
                                 caller states on its first attempt */
  struct counter *outcome_counts[REQUEST_OUTCOMES];
  struct histogram *latency;
};

/* State of a service that outlives versions of the plan.  The arrays are
   indexed like `regions' of struct gateway.  */
struct service_state
{
  struct str name;
  struct region_split region_split;
  /* Of the latest log line on the split.  */
  double logged_fractions[REGION_SPLIT_MAX_REGIONS];
  apr_time_t split_logged_at;
  struct balance_region_load region_loads[GATEWAY_REGIONS_MAX];
  struct balance_reports reports[GATEWAY_REGIONS_MAX];
  /* Moving average of the uncached service time of the routes whose requests
     were answered; 0: none yet.  */
  double uncached_us;
  struct budget retry_budget;
  /* For requests that are sent to another region than `region_split' picked,
     see dispatch.c.  */
  struct region_overflow overflow;
  int64_t most_urgent_priority; /* lowest priority number seen */
  size_t queued[GATEWAY_REGIONS_MAX];
  size_t turned_back; /* requests refused since all upstreams turned this entry
                         away; 0 once one takes requests again */
  /* Number of the last scan of the queue that found no slot in the region, see
     wait_queue_dispatch.  */
  uint64_t scan_without_slot[GATEWAY_REGIONS_MAX];
};

struct gateway
{
  struct gateway_settings settings;
  const char *settings_path;
  struct stat settings_file; /* as of the last time it was read */
  apr_time_t settings_checked_at;
  apr_pool_t *pool;
  struct loop *loop;
  struct counters *counters;
  struct http_client *client;
  struct store *store;
  struct fleet *fleet;
  struct registry *registry;
  struct store_sync *store_sync;
  struct reachability *reachability;
  struct verify *verify;
  struct lapse_checks *lapse_checks;
  struct quota *quota;        /* NULL: quotas aren't applied */
  int64_t quota_plan_version; /* of the plan whose limits it has */
  struct timer quota_timer;
  struct counter *quota_self_issued;
  struct counter *quota_failed_messages;
  struct platform_mirror *mirror; /* copy of the store, served to peers */
  apr_hash_t *peer_stores; /* struct store of other entries by address */
  size_t next_seed;        /* index into the seeds of the settings */
  struct httpd *caller_listener;
  struct httpd *readiness_listener;
  struct httpd *lookup_listener;
  struct httpd *metrics_listener;
  struct httpd *copy_listener;
  struct curl_loop *curl_loop;
  struct connections *connections;
  apr_hash_t *routes;   /* struct route_state by name */
  apr_hash_t *services; /* struct service_state by name */
  struct str regions[GATEWAY_REGIONS_MAX];
  /* Round-trip time to each region, a moving average; to the own one 0 until a
     connection was made there.  */
  apr_time_t rtts[GATEWAY_REGIONS_MAX];
  size_t region_count;
  size_t own_region;        /* index into `regions' */
  size_t entries_in_region; /* entries there that are not leaving */
  uint64_t entries_version; /* of the registry for which they were counted */
  struct request *queue_heads[PRIORITY_LEVELS]; /* of the wait queue */
  struct request *queue_tails[PRIORITY_LEVELS];
  uint64_t queue_scan_number;
  bool upstreams_changed; /* what an upstream said in this event loop iteration
                             changed whether it takes requests */
  bool slot_freed;        /* an attempt ended in this event loop iteration */
  struct request *resume_list; /* requests to be resumed at the end of this
                                  event loop iteration */
  struct request *requests;    /* all that are open */
  int64_t open_requests;
  bool leaving;         /* a planned stop is in progress */
  bool listener_closed; /* the one for callers, during a stop */
  bool requests_ended;  /* by the stop */
  struct stop_limits stop_limits;
  struct timer stop_timer;
  struct timer tick_timer;
  struct timer memory_timer;
  int64_t max_connections; /* of callers */
  size_t held_bytes;       /* for requests; see memory.c */
  apr_time_t memory_logged_at;
  struct counter *memory_held;
  struct counter *memory_refused;
  struct counter *memory_closed;
  apr_time_t listed_at; /* when the upstreams were first listed; 0: not yet */
  int signal_fd;
  uint64_t random_state;
  double log_tokens; /* of the rate limiter of log lines on requests */
  apr_time_t log_refilled_at;
  struct counter *suppressed_log_lines;
  struct counter *leaving_by_response; /* upstreams */
  struct counter *doubts;       /* upstreams that may have started again */
  struct counter *turned_away;  /* requests, by upstreams */
  struct counter *turned_back;  /* requests, to callers */
  struct counter *unauthorized; /* requests */
  struct counter *open_requests_gauge;
  struct counter *failed_attempts[ATTEMPT_FAILURES];
  /* Requests without a whole response or head: ended by this entry or its
     library, and by the caller.  */
  struct counter *unfinished[2];
};

/* A caller's request.  */
struct request
{
  struct gateway *gateway;
  apr_pool_t *pool;
  struct MHD_Connection *connection;
  struct str target; /* as sent: path and query */
  struct str path;   /* as sent, part of `target' */
  struct str method;
  struct headers headers;
  struct str id; /* the caller's Request-Id */
  struct plan *plan;
  struct plan_route *route;    /* NULL: none found */
  const struct tenant *tenant; /* NULL: none, or not known */
  int64_t priority;            /* the tenant's, else the route's */
  struct route_state *route_state;
  struct service_state *service;
  struct str service_name;
  uint64_t object; /* hash of the object that the request concerns, or of `id'
                      if it does not recur */
  bool recurs;     /* later requests may concern the same object */
  bool is_head;
  bool head_received;
  bool admitted; /* the first admission decision was made */
  bool is_queued;
  bool awaits_quota;   /* for a token of its tenant */
  bool has_token;      /* of its tenant's quota */
  bool awaits_changes; /* queued until the entry has caught up after a pause */
  bool suspended;      /* libmicrohttpd does not call the handler */
  bool response_ready; /* an upstream's, or a refusal */
  bool answered;       /* the response was given to libmicrohttpd */
  bool caller_closed;
  bool may_have_run; /* at an upstream */
  bool body_complete;
  bool discard_body;      /* what is left of it is read and dropped */
  bool was_closed;        /* by memory.c */
  int64_t received_bytes; /* of the body */
  int64_t body_size;      /* -1: not known yet */
  struct body body;
  size_t held_bytes;          /* as in the account of memory.c */
  size_t answer_bytes;        /* of the response, with libmicrohttpd */
  apr_time_t progressed_at;   /* the caller last sent or read something */
  int64_t acknowledged_bytes; /* of what was sent to it */
  apr_time_t began_at;
  apr_time_t first_sent_at; /* 0: not sent yet */
  apr_time_t deadline;      /* for the whole response */
  apr_time_t target_at;     /* target latency; a later response loses value */
  struct timer deadline_timer;
  struct timer queue_timer;
  struct timer late_retry_timer;
  struct request *next;  /* in the list of open requests */
  struct request **link; /* the pointer to this request there */
  struct request *queue_next;
  struct request *queue_prev;
  struct request *resume_next;
  struct request **resume_link;    /* the pointer to this request in the resume
                                      list; NULL: not in the list */
  size_t region;                   /* picked, index into `gateway->regions' */
  struct attempt *attempt;         /* in progress or just ended; or NULL */
  struct fleet_upstream *upstream; /* of the latest attempt */
  /* Estimates made when the attempt started: the service time at an upstream
     of typical speed, the factor by which this one is slower, and whether it
     has the object cached.  */
  apr_time_t service_time;
  double upstream_slowdown;
  bool object_cached;
  const char *held_for;  /* "warm" or "cold": the upstream, when the attempt
                            started */
  int64_t record_age_ms; /* of what was known of the store then */
  bool load_is_counted;  /* load_begin_request was called for the attempt and
                            load_end_request not yet */
  int send_count;
  int run_count; /* ended attempts that an upstream may have run */
  uint64_t tried_upstreams[BALANCE_EXCLUDED_MAX]; /* hashes of their ids */
  size_t tried_count;
  unsigned int status; /* HTTP, of the response */
  enum request_outcome outcome;
  const char *reason;     /* of a refusal, sent to the caller; else NULL */
  apr_time_t retry_after; /* sent with a refusal that has status 503 */
};

/* request.c: the side of the callers.  The first four are callbacks of struct
   httpd_desc; USER_DATA is the gateway, if not said otherwise.  */

/* Creates the request whose raw target is TARGET and returns it; httpd passes
   it on as the context.  */
void *request_begin (void *user_data, const char *target,
                     struct MHD_Connection *connection);
/* libmicrohttpd's access handler.  */
enum MHD_Result request_handle (void *user_data,
                                struct MHD_Connection *connection,
                                const char *url, const char *method,
                                const char *version, const char *data,
                                size_t *size, void **context);
/* Logs, counts and frees the request in CONTEXT.  */
void request_completed (void *user_data, struct MHD_Connection *connection,
                        void **context, enum MHD_RequestTerminationCode code);
/* Cancels the work for the request USER_DATA, whose caller has closed its
   connection.  */
void request_caller_closed (void *user_data);
/* Returns whether the rest of the body is sent to an upstream; also if the
   response that is ready is that of an attempt which still sends it.  */
bool request_needs_body (const struct request *request);
/* Makes REQUEST resume at the end of this event loop iteration, if it is
   suspended.  */
void request_schedule_resume (struct request *request);
/* Resumes the requests that are scheduled; called at the end of each event
   loop iteration.  */
void request_resume_scheduled (struct gateway *gateway);
/* Logs one line on REQUEST, which a stop ends at NOW before an upstream has
   answered; times count from the signal.  */
void request_log_cut (const struct request *request, apr_time_t now);
/* Ends the request with a response of this entry's own: HTTP STATUS, and
   REASON in the body.  REASON must live as long as the request.  */
void request_refuse (struct request *request, unsigned int status,
                     const char *reason);

/* tenant.c: whose request it is.  */

/* Finds the tenant of REQUEST, whose plan and route are known, by its key, and
   removes the fields that upstreams don't get from callers.  Refuses the
   request, and returns false, if it has no known key and its route is not
   public, or if the tenant can't be served.  */
bool tenant_authenticate (struct request *request);
/* Returns whether REQUEST may be served in REGION.  */
bool tenant_request_allows_region (const struct request *request,
                                   struct str region);

/* tenant_quota.c: quotas over all entries.  */

/* Path of the listener for other entries, and its query parameter.  */
extern const char tenant_quota_path[];
extern const char tenant_quota_message[];

/* Creates `quota' and begins to exchange messages, if the settings have bounds
   of quotas.  */
void tenant_quota_create (struct gateway *gateway);
/* Applies the limits of the plan in force, if it is a new one.  */
void tenant_quota_update (struct gateway *gateway);
/* Takes a token of the tenant of REQUEST.  Returns false if the request has
   been refused or waits, after which dispatch_admit is called again.  */
bool tenant_quota_allows (struct request *request);
/* Counts a repeat of REQUEST that an upstream may have run before.  */
void tenant_quota_charge (struct request *request);
/* Ends the wait of REQUEST for a token.  */
void tenant_quota_cancel (struct request *request);
/* REQUEST has ended: gives its token back if no upstream ran it.  */
void tenant_quota_end (struct request *request);

/* dispatch.c: admission.  */

/* Picks a region, then sends the request, queues it, or refuses it.  Called
   once the body is complete or its buffer full, and again after an attempt
   that may be repeated.  */
void dispatch_admit (struct request *request);
/* Returns whether dispatch_admit would send REQUEST now, and not queue or
   refuse it; changes nothing.  */
bool dispatch_would_send (struct request *request);
/* Removes a request from the queue and admits it anew, in another region if
   need be; for a request whose region has lost its slots.  */
void dispatch_readmit (struct request *request);
/* Tries to send a queued request; returns true if it left the queue, sent or
   refused.  Called by the queue when a slot may be free, and at the end of the
   request's time in the queue.  */
bool dispatch_try_send (struct request *request);
/* Callback of the deadline's timer; USER_DATA is the request.  */
void dispatch_on_deadline (void *user_data, apr_time_t now);
/* Ends REQUEST, since this entry stops.  */
void dispatch_end_for_stop (struct request *request);
/* Returns the state of ROUTE, which it creates at first.  */
struct route_state *dispatch_route_state (struct gateway *gateway,
                                          const struct plan_route *route);
/* Returns the service that the request goes to, as the plan describes it.  */
const struct plan_service *dispatch_service (const struct request *request);
/* Returns the fraction of the slots in the request's region that is in use, 0
   to 1; 1 if there are none.  */
double dispatch_utilization (const struct request *request);
/* Returns whether all upstreams that may serve REQUEST have turned this entry
   away for a time.  */
bool dispatch_is_turned_away (const struct request *request);
/* Returns the Retry-After of a refusal after an attempt.  */
apr_time_t dispatch_retry_after (struct request *request);
/* Chooses an upstream in the request's region among those not tried yet.  */
struct balance_choice dispatch_choose_upstream (struct request *request);

/* attempts.c: attempts at upstreams.  */

/* Creates the counters of failed attempts; called once, at first.  */
void attempts_create_counters (struct gateway *gateway);
/* Starts an attempt at the upstream of CHOICE.  */
void attempts_start (struct request *request,
                     const struct balance_choice *choice);
/* Cancels and frees the attempt, if there is one.  It then says nothing of the
   upstream, unless its end was recorded before.  */
void attempts_cancel (struct request *request);
/* Records that the attempt in progress had no response before the deadline;
   no effect if none was sent.  */
void attempts_record_timeout (struct request *request);

/* cold.c: upstreams that are cold, or that may have started again.  */

/* Creates `verify' and `lapse_checks', which ask upstreams what they are.  */
void cold_create_checks (struct gateway *gateway);
/* Sets how many requests this entry may send to each cold one of UPSTREAMS,
   of SERVICE, and asks those in doubt to which it sends what they are.  */
void cold_update_quotas (struct gateway *gateway,
                         const struct service_state *service,
                         const struct fleet_service *upstreams,
                         apr_time_t now);
/* Returns how many slots of a cold upstream of SERVICE are used by what all
   entries together may send to it; all of them as long as that is not known.
 */
double cold_usable_slots (const struct gateway *gateway,
                          const struct service_state *service);
/* Holds UPSTREAM for cold until it is known what it is: it may have started
   again before its record shows that.  REQUEST_ID, which may be empty, and
   REASON are for the log.  WAS_REACHED: the sign alone doesn't show that the
   process is gone, so it holds back no upstream that can't be asked.  Returns
   whether that began a doubt.  */
bool cold_doubt_upstream (struct gateway *gateway,
                          struct fleet_upstream *upstream,
                          struct str request_id, bool was_reached,
                          const char *reason);
/* Doubts the upstreams that closed an idle connection sooner than they had
   stated.  Called at the end of each event loop iteration.  */
void cold_check_connections (struct gateway *gateway);
/* Doubts UPSTREAM, to which a request is being sent, if it is the first one
   and this entry has just started: then it may have listed a record from
   before a restart, and had no connection that would have been lost.  */
void cold_check_first_send (struct gateway *gateway,
                            struct fleet_upstream *upstream,
                            struct str request_id, apr_time_t now);

/* wait_queue.c: requests that wait for a slot, ordered by priority, and within
   one priority by arrival.  */

/* Appends REQUEST, which has its region.  */
void wait_queue_add (struct request *request);
/* Removes REQUEST; no effect if it is not queued.  */
void wait_queue_remove (struct request *request);
/* Sends the queued requests for which there is a slot now.  Called after slots
   were freed, after the store's state changed, and at each tick.  */
void wait_queue_dispatch (struct gateway *gateway);

/* Admits the requests that awaited the changes of a pause.  */
void wait_queue_admit_held (struct gateway *gateway);

/* memory.c: what is held for callers, and what is given up for lack of
   memory or connections.  */

/* Begins to check the account.  */
void memory_create (struct gateway *gateway);
/* Counts what is held for REQUEST now.  */
void memory_update (struct request *request);
/* Frees the body of REQUEST, which is not sent any more.  */
void memory_drop_body (struct request *request);
/* Returns whether BYTES more may be held, without giving up anything.  */
bool memory_has_room (const struct gateway *gateway, size_t bytes);
/* Returns whether BYTES more may be held for REQUEST, after others have been
   given up for them if need be.  If not, REQUEST has been refused.  */
bool memory_allows (struct request *request, size_t bytes);

/* lookup.c: entries for callers, readiness, metrics, and the copy of the store
   for other entries.  */

/* libmicrohttpd's access handler of the listeners other than the callers';
   USER_DATA is the gateway.  */
enum MHD_Result lookup_handle (void *user_data,
                               struct MHD_Connection *connection,
                               const char *url, const char *method,
                               const char *version, const char *data,
                               size_t *size, void **context);
/* The `describe' of those listeners; their requests have no ids.  */
struct httpd_request_state lookup_describe (void *request);
/* Returns whether this entry is ready for callers: it is not stopping, and
   knows a plan and upstreams.  */
bool lookup_is_ready (const struct gateway *gateway);

/* stop.c: the planned stop.  */

/* Begins the stop, which ends with loop_stop; no effect if it is in
   progress.  */
void stop_begin (struct gateway *gateway);

/* gateway.c  */

/* Returns a pseudo-random number from 0 to below 1.  */
double gateway_random_fraction (struct gateway *gateway);
/* Returns whether one more log line on a request fits the rate in the
   settings, and takes it from that rate; counts it as suppressed if not.  */
bool gateway_allow_log_line (struct gateway *gateway);
/* Returns the state of the service NAME, which it creates at first.  */
struct service_state *gateway_service_state (struct gateway *gateway,
                                             struct str name);

#endif
