/* Event loop: one APR pollset, one timer service, one thread.

   Call order: loop_create, loop_watch / loop_unwatch and timers at any time,
   loop_run until loop_stop.  `loop_post' is the only call that another
   thread may make: it runs a function on the loop's thread.

     loop_watch (loop, fd, LOOP_READ, on_ready, part);

   A function set by `loop_at_round_end' runs once after each round of
   events, for work that is better done once a round than once an event.  */
#ifndef BASE_LOOP_H
#define BASE_LOOP_H

#include "base/err.h"
#include "base/timer.h"

#include <apr_pools.h>

enum loop_events
{
  LOOP_READ = 1,
  LOOP_WRITE = 2,
  LOOP_HANGUP = 4
};

typedef void loop_ready_fn (void *part, int fd, int events);
typedef void loop_task_fn (void *part);

struct loop;

enum err_code loop_create (apr_pool_t *pool, struct loop **loop,
                           struct err *err);
void loop_destroy (struct loop *loop);
struct timer_service *loop_timers (struct loop *loop);
/* Returns the clock as of the start of this round of events.  */
apr_time_t loop_now (const struct loop *loop);
/* Calls READY whenever FD has one of EVENTS; replaces an earlier watch.  */
void loop_watch (struct loop *loop, int fd, int events, loop_ready_fn *ready,
                 void *part);
void loop_unwatch (struct loop *loop, int fd);
/* Sets the one function that runs after each round of events.  */
void loop_at_round_end (struct loop *loop, loop_task_fn *task, void *part);
/* Runs TASK on the loop's thread; may be called from any thread.  */
void loop_post (struct loop *loop, loop_task_fn *task, void *part);
/* Runs events until loop_stop.  */
void loop_run (struct loop *loop);
void loop_stop (struct loop *loop);

#endif
