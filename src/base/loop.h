/* Event loop: one APR pollset and one timer service, run by one thread.

   Call order: loop_create; loop_watch, loop_unwatch and timers at any time;
   loop_run until loop_stop.

     loop_watch (loop, fd, LOOP_READ, on_ready, user_data);

   Each iteration waits for events, calls the functions of the descriptors
   that are ready, runs the posted tasks, fires the timers that are due, and
   calls the iteration callback, which serves for work that is better done
   once an iteration than once an event.  An iteration waits for at most one
   second.

   Threads: the loop's thread only, except for loop_post, which any thread may
   call to run a function on the loop's thread.  */
#ifndef BASE_LOOP_H
#define BASE_LOOP_H

#include "base/err.h"
#include "base/timer.h"

#include <apr_pools.h>

/* Bits of the events of a descriptor.  LOOP_HANGUP (an error, or the other end
   has closed) is always watched for and is reported together with all watched
   bits.  */
enum loop_events
{
  LOOP_READ = 1,
  LOOP_WRITE = 2,
  LOOP_HANGUP = 4
};

/* Called when FD is ready; EVENTS are bits of enum loop_events.  */
typedef void loop_ready_fn (void *user_data, int fd, int events);
typedef void loop_task_fn (void *user_data);

struct loop;

/* Creates a loop with its own timer service.  */
enum err_code loop_create (apr_pool_t *pool, struct loop **loop,
                           struct err *err);
/* Ends all watches and the timer service; tasks that have not run are dropped.
   Not while loop_run runs.  NULL is ignored.  */
void loop_destroy (struct loop *loop);
/* Returns the timers that loop_run fires.  */
struct timer_service *loop_timers (struct loop *loop);
/* Returns the monotonic clock, in microseconds, as read after this iteration's
   wait for events.  */
apr_time_t loop_now (const struct loop *loop);
/* Calls READY whenever FD has one of EVENTS (level-triggered); replaces an
   earlier watch of FD.  End the watch before FD is closed.  */
void loop_watch (struct loop *loop, int fd, int events, loop_ready_fn *ready,
                 void *user_data);
/* Ends the watch of FD, if there is one.  */
void loop_unwatch (struct loop *loop, int fd);
/* Sets the iteration callback; a loop has one, and NULL removes it.  */
void loop_set_iteration_callback (struct loop *loop, loop_task_fn *task,
                                  void *user_data);
/* Calls PAUSED at the beginning of each iteration before which the process did
   not run, or ran one handler, for LIMIT or longer, before anything else of
   the iteration.  A loop has one such callback.  */
typedef void loop_paused_fn (void *user_data, apr_time_t now);
void loop_watch_pauses (struct loop *loop, apr_time_t limit,
                        loop_paused_fn *paused, void *user_data);
/* Runs TASK once on the loop's thread, after tasks that were posted earlier.
   May be called from any thread.  */
void loop_post (struct loop *loop, loop_task_fn *task, void *user_data);
/* Runs iterations until loop_stop.  */
void loop_run (struct loop *loop);
/* Makes loop_run return at the end of the current iteration.  */
void loop_stop (struct loop *loop);

#endif
