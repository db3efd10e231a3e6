/* State and functions that the files of the worker share (internal to the
   module).

     worker.c           the thread and its event loop
     worker_commands.c  commands that the control thread posts to the loop
     worker_shares.c    shares of caps: their ticks and their messages

   Threads: the worker's thread only, except for the functions that post to
   it and for the atomic counters.  */
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
  apr_thread_t *thread; /* NULL: not running */
  bool has_stopped;     /* the thread has ended; set by the control thread */
  struct call_context context;
  struct timer sweep;
  struct timer share_timer;
  struct membership *membership;
  int64_t confirmed_version; /* of the membership, the last confirmed */
  apr_time_t adopted_at;     /* when this version of it was set first */
  /* Copies for other threads, updated in each event loop iteration.  */
  _Atomic int64_t in_flight;
  _Atomic int64_t queued;
  _Atomic int64_t open_requests;
  _Atomic bool is_idle; /* see worker_is_idle */
};

/* worker_commands.c  */

/* Makes the worker's loop stop; may be called from the control thread.  */
void worker_post_stop (struct worker *worker);

/* worker_shares.c  */

/* Starts the periodic tick of the shares, which also confirms the membership
   and resumes attempts that wait for a link.  */
void worker_shares_start (struct worker *worker);
/* Posts MESSAGE to the control thread, which sends it to the entry TO.  Called
   by the shares (share_desc.send); USER_DATA is the worker.  */
void worker_shares_send (void *user_data, struct str to,
                         const struct share_message *message);
/* Sets which entries may lend, and the round-trip times to them.  Called when
   the roster or the snapshot changes.  */
void worker_shares_set_peers (struct worker *worker);
/* Sets the longest time that a slot may be in use, from the longest deadline
   in the current snapshot.  Loans are accounted for at least that long.  */
void worker_shares_set_max_use (struct call_context *context);

#endif
