/* What the files of the worker share (internal to the slice).

   worker.c has the thread and its rounds, worker_orders.c what the control
   thread asks of it, worker_shares.c the shares of caps and their messages.

   Threads: the worker's thread only, but for what posts to it.  */
#ifndef CALL_WORKER_INTERNAL_H
#define CALL_WORKER_INTERNAL_H

#include "call/call.h"
#include "call/worker.h"

#include <apr_thread_proc.h>
#include <stdatomic.h>

struct worker
{
  struct worker_desc desc;
  apr_pool_t *pool;
  apr_thread_t *thread;
  bool has_stopped; /* the thread has ended */
  struct call_context context;
  struct timer sweep;
  struct timer share_timer;
  struct membership *membership;
  int64_t confirmed;
  apr_time_t adopted_at; /* when `membership' was */
  _Atomic int64_t in_flight;
  _Atomic int64_t queued;
  _Atomic int64_t open;
};

/* worker_orders.c  */

/* Makes the worker's loop stop.  */
void worker_order_stop (struct worker *worker);

/* worker_shares.c  */

/* Begins to tick the shares.  */
void worker_shares_start (struct worker *worker);
/* Hands MESSAGE to the control thread, which sends it to the entry TO.  */
void worker_shares_send (void *part, struct str to,
                         const struct share_message *message);
/* Tells the shares which entries may lend, and how far they are.  */
void worker_shares_set_peers (struct worker *worker);
/* Sets how long a call may last, which loans outlive.  */
void worker_shares_set_hold (struct call_context *context);

#endif
