/* The data worker: takes callers' requests and carries them to upstreams.

   A worker is one thread with one event loop.  It answers look-ups, admits
   calls, binds each to an upstream when a slot is free, streams both bodies
   with bounded buffers, and says of every failed call whether it was run.

   Call order: worker_create, worker_start; then worker_set_snapshot and
   worker_set_roster at each change; worker_set_leaving, worker_stop.

   Threads: every function here may be called from the control thread.  */
#ifndef CALL_WORKER_H
#define CALL_WORKER_H

#include "base/counter.h"
#include "base/loop.h"
#include "burn/burn.h"
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
  struct burn_ledger *burn;
  struct loop *control; /* where answers of worker_query are delivered */
  /* Called on the control loop: sends MESSAGE to the entry TO.  */
  void (*send_share) (void *part, struct str to,
                      const struct share_message *message);
  /* Called on the control loop: this entry's uses fit its parts under
     VERSION of the membership.  */
  void (*confirmed) (void *part, int64_t version);
  void *part;
};

enum err_code worker_create (apr_pool_t *pool, const struct worker_desc *desc,
                             struct worker **result, struct err *err);
enum err_code worker_start (struct worker *worker, struct err *err);
/* Ends the thread; calls in progress are cut.  */
void worker_stop (struct worker *worker);
void worker_destroy (struct worker *worker);
/* References SNAPSHOT.  */
void worker_set_snapshot (struct worker *worker, struct snapshot *snapshot);
/* References ROSTER.  */
void worker_set_roster (struct worker *worker, struct roster *roster);
/* Divides the caps anew; references MEMBERSHIP.  LEAST: the lowest version
   that any other member has confirmed.  */
void worker_set_membership (struct worker *worker,
                            struct membership *membership, int64_t least);
/* Asks callers to close their connections after each answer.  */
void worker_set_leaving (struct worker *worker);
/* Stops to accept connections.  */
void worker_close_listener (struct worker *worker);
void worker_set_upstream_leaving (struct worker *worker, struct str upstream,
                                  enum leaving_source source, bool leaving);
void worker_report_load (struct worker *worker, struct str upstream,
                         int64_t percent);
/* Hands over a message about shares that FROM sent.  */
void worker_receive_share (struct worker *worker, struct str from,
                           const struct share_message *message);
/* Returns calls at upstreams, calls waiting, and requests not ended.  */
int64_t worker_in_flight (const struct worker *worker);
int64_t worker_queued (const struct worker *worker);
int64_t worker_open (const struct worker *worker);
/* Calls DONE on the control loop with the worker's view of every upstream
   and service, which DONE frees.  */
void worker_query (struct worker *worker,
                   void (*done) (void *part, json_object *view), void *part);

#endif
