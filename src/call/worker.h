/* The data worker: accepts callers' requests and forwards them to upstreams.

   A worker is one thread with one event loop.  It answers look-ups, admits
   calls, binds each to an upstream when a slot is free, streams both bodies
   through bounded buffers, and reports of every failed call whether it was
   run.

   Call order: worker_create, worker_start; then worker_set_snapshot,
   worker_set_roster and worker_set_membership at each change;
   worker_set_leaving, worker_close_listener, worker_end_calls, worker_stop;
   worker_destroy.

     code = worker_create (pool, &desc, &worker, &err);
     code = worker_start (worker, &err);
     worker_set_snapshot (worker, snapshot);

   The functions that set or report something post a command to the worker's
   loop and return at once.  Commands posted before worker_start are executed
   once the thread runs; a stopped worker ignores them.

   Threads: every function here may be called from the control thread.  */
#ifndef CALL_WORKER_H
#define CALL_WORKER_H

#include "base/counter.h"
#include "base/loop.h"
#include "burn/burn.h"
#include "call/stop_limits.h"
#include "member/membership.h"
#include "peer/roster.h"
#include "settings/settings.h"
#include "steer/steer.h"

struct worker;

struct worker_desc
{
  const struct settings *settings;
  int64_t incarnation; /* of this process */
  struct counters *counters;
  struct burn_tracker *burn;
  struct loop *control; /* the control thread's; runs the functions below and
                           the callback of worker_query */
  /* Called on the control loop: sends MESSAGE to the entry TO.  */
  void (*send_share_message) (void *user_data, struct str to,
                              const struct share_message *message);
  /* Called on the control loop once what this entry uses is within its shares
     under VERSION of the membership.  */
  void (*membership_confirmed) (void *user_data, int64_t version);
  void *user_data; /* passed to both */
};

/* Makes a worker whose thread does not run yet.  It serves nothing before it
   has a snapshot.  */
enum err_code worker_create (apr_pool_t *pool, const struct worker_desc *desc,
                             struct worker **result, struct err *err);
/* Opens the callers' listener and starts the thread.  If it returns an error,
   the worker can only be destroyed.  */
enum err_code worker_start (struct worker *worker, struct err *err);
/* Ends the thread and waits for that; calls in progress are cut off.  Does
   nothing if it is not running.  */
void worker_stop (struct worker *worker);
/* Stops the worker and frees it.  NULL is ignored.  */
void worker_destroy (struct worker *worker);
/* Makes SNAPSHOT, which it references, the configuration of new and waiting
   calls.  */
void worker_set_snapshot (struct worker *worker, struct snapshot *snapshot);
/* Sets the entries that look-ups return and that may lend shares; references
   ROSTER.  */
void worker_set_roster (struct worker *worker, struct roster *roster);
/* Divides the caps among the members of MEMBERSHIP, which it references.
   MIN_CONFIRMED: the lowest version that any other member has confirmed.  */
void worker_set_membership (struct worker *worker,
                            struct membership *membership,
                            int64_t min_confirmed);
/* Called when a planned stop starts: takes only the calls that LIMITS allow,
   asks callers to close their connections after each response, and reports
   "leaving" on the health path.  */
void worker_set_leaving (struct worker *worker,
                         const struct stop_limits *limits);
/* Stops accepting connections.  */
void worker_close_listener (struct worker *worker);
/* Gives each call that is left its final response, and takes no other.  */
void worker_end_calls (struct worker *worker);
/* Sets or clears that SOURCE reports UPSTREAM as leaving.  An upstream gets no
   new calls while any source reports it.  */
void worker_set_upstream_leaving (struct worker *worker, struct str upstream,
                                  enum leaving_source source, bool leaving);
/* Applies the load that UPSTREAM reports, in percent of its slots.  */
void worker_report_load (struct worker *worker, struct str upstream,
                         int64_t percent);
/* Applies a message about shares that the entry FROM sent.  */
void worker_receive_share_message (struct worker *worker, struct str from,
                                   const struct share_message *message);
/* Returns the number of attempts that hold a slot at an upstream, as of the
   end of the worker's last event loop iteration; cancelled ones are included
   until the upstream has noticed.  */
int64_t worker_in_flight (const struct worker *worker);
/* Returns the number of calls that wait for a slot, as of the same time.  */
int64_t worker_queued (const struct worker *worker);
/* Returns the number of requests that have not ended, look-ups included, as of
   the same time.  */
int64_t worker_open_requests (const struct worker *worker);
/* Returns whether the listener is closed, no request is open, and the callers
   have their responses or are given up (base/closer.h), as of the same time.
   Attempts may still hold slots.  */
bool worker_is_idle (const struct worker *worker);
/* Calls DONE on the control loop with the worker's view of every upstream and
   service, {"upstreams":{NAME:{...}},"services":{NAME:{...}}}, as a JSON
   object that DONE frees.  A stopped worker doesn't call it.  */
void worker_query (struct worker *worker,
                   void (*done) (void *user_data, json_object *view),
                   void *user_data);

#endif
