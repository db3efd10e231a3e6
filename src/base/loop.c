#include "base/loop.h"

#include <apr_poll.h>
#include <apr_portable.h>
#include <apr_thread_mutex.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

/* types */

/* The watch of one descriptor; `generation' tells an event of an earlier
   watch on the same number from one of this watch.  */
struct watch
{
  loop_ready_fn *ready;
  void *part;
  apr_socket_t *socket;
  apr_pool_t *pool;
  uint32_t generation;
  int events;
};

struct task
{
  loop_task_fn *run;
  void *part;
  struct task *next;
};

struct loop
{
  apr_pool_t *pool;
  apr_pollset_t *pollset;
  struct timer_service *timers;
  apr_thread_mutex_t *mutex;
  struct task *first_task;
  struct task **last_task;
  struct watch *watches; /* indexed by descriptor */
  size_t watch_room;
  loop_task_fn *round_end;
  void *round_end_part;
  apr_time_t now;
  bool running;
};

/* constants */

enum
{
  EVENTS_A_ROUND = 4096,
  LONGEST_WAIT_US = 1000000
};

/* private functions */

static struct watch *
watch_of (struct loop *loop, int fd)
{
  if ((size_t)fd >= loop->watch_room)
    {
      size_t room = loop->watch_room ? loop->watch_room : 256;
      while (room <= (size_t)fd)
        room *= 2;
      struct watch *watches
          = realloc (loop->watches, room * sizeof (*watches));
      if (!watches)
        abort ();
      memset (watches + loop->watch_room, 0,
              (room - loop->watch_room) * sizeof (*watches));
      loop->watches = watches;
      loop->watch_room = room;
    }
  return &loop->watches[fd];
}

static void
describe (const struct watch *watch, int fd, apr_pollfd_t *pollfd)
{
  memset (pollfd, 0, sizeof *pollfd);
  pollfd->desc_type = APR_POLL_SOCKET;
  pollfd->desc.s = watch->socket;
  if (watch->events & LOOP_READ)
    pollfd->reqevents |= APR_POLLIN;
  if (watch->events & LOOP_WRITE)
    pollfd->reqevents |= APR_POLLOUT;
  uint64_t tag = (uint64_t)watch->generation << 32 | (uint32_t)fd;
  pollfd->client_data = (void *)(uintptr_t)tag;
}

static void
deliver (struct loop *loop, const apr_pollfd_t *ready)
{
  uint64_t tag = (uint64_t)(uintptr_t)ready->client_data;
  int fd = (int)(uint32_t)tag;
  struct watch *watch = &loop->watches[fd];
  if (watch->generation != (uint32_t)(tag >> 32) || watch->events == 0)
    return;
  int events = 0;
  if (ready->rtnevents & APR_POLLIN)
    events |= LOOP_READ;
  if (ready->rtnevents & APR_POLLOUT)
    events |= LOOP_WRITE;
  if (ready->rtnevents & (APR_POLLERR | APR_POLLHUP))
    events |= LOOP_HANGUP | watch->events;
  watch->ready (watch->part, fd, events);
}

static void
run_tasks (struct loop *loop)
{
  apr_thread_mutex_lock (loop->mutex);
  struct task *task = loop->first_task;
  loop->first_task = NULL;
  loop->last_task = &loop->first_task;
  apr_thread_mutex_unlock (loop->mutex);
  while (task)
    {
      struct task *next = task->next;
      task->run (task->part);
      free (task);
      task = next;
    }
}

static apr_time_t
wait_of (const struct loop *loop)
{
  apr_time_t next = timer_service_next (loop->timers);
  if (next < 0)
    return LONGEST_WAIT_US;
  apr_time_t wait = next - timer_clock ();
  if (wait <= 0)
    return 0;
  /* The kernel waits in milliseconds; a wait cut to zero would spin until
     the timer is due.  */
  wait = (wait + 999) / 1000 * 1000;
  return wait < LONGEST_WAIT_US ? wait : LONGEST_WAIT_US;
}

/* public functions */

enum err_code
loop_create (apr_pool_t *pool, struct loop **result, struct err *err)
{
  struct loop *loop = apr_pcalloc (pool, sizeof *loop);
  apr_pool_create (&loop->pool, pool);
  loop->last_task = &loop->first_task;
  loop->now = timer_clock ();
  loop->timers = timer_service_create ();
  apr_status_t status = apr_pollset_create_ex (
      &loop->pollset, EVENTS_A_ROUND, pool,
      APR_POLLSET_WAKEABLE | APR_POLLSET_NODEFAULT, APR_POLLSET_EPOLL);
  if (status)
    return err_set (err, ERR_IO, "create pollset", NULL, "status %d", status);
  status
      = apr_thread_mutex_create (&loop->mutex, APR_THREAD_MUTEX_DEFAULT, pool);
  if (status)
    return err_set (err, ERR_IO, "create mutex", NULL, "status %d", status);
  *result = loop;
  return ERR_NONE;
}

void
loop_destroy (struct loop *loop)
{
  if (!loop)
    return;
  for (size_t fd = 0; fd < loop->watch_room; fd++)
    if (loop->watches[fd].events)
      loop_unwatch (loop, (int)fd);
  free (loop->watches);
  timer_service_destroy (loop->timers);
  apr_pollset_destroy (loop->pollset);
}

struct timer_service *
loop_timers (struct loop *loop)
{
  return loop->timers;
}

apr_time_t
loop_now (const struct loop *loop)
{
  return loop->now;
}

void
loop_unwatch (struct loop *loop, int fd)
{
  struct watch *watch = watch_of (loop, fd);
  if (watch->events == 0)
    return;
  apr_pollfd_t pollfd;
  describe (watch, fd, &pollfd);
  apr_pollset_remove (loop->pollset, &pollfd);
  watch->events = 0;
  watch->generation++;
}

void
loop_watch (struct loop *loop, int fd, int events, loop_ready_fn *ready,
            void *part)
{
  struct watch *watch = watch_of (loop, fd);
  if (watch->events == events && watch->ready == ready && watch->part == part)
    return;
  loop_unwatch (loop, fd);
  if (!watch->socket)
    apr_os_sock_put (&watch->socket, &fd, loop->pool);
  watch->events = events;
  watch->ready = ready;
  watch->part = part;
  apr_pollfd_t pollfd;
  describe (watch, fd, &pollfd);
  apr_pollset_add (loop->pollset, &pollfd);
}

void
loop_at_round_end (struct loop *loop, loop_task_fn *task, void *part)
{
  loop->round_end = task;
  loop->round_end_part = part;
}

void
loop_post (struct loop *loop, loop_task_fn *run, void *part)
{
  struct task *task = malloc (sizeof *task);
  if (!task)
    abort ();
  *task = (struct task){ run, part, NULL };
  apr_thread_mutex_lock (loop->mutex);
  *loop->last_task = task;
  loop->last_task = &task->next;
  apr_thread_mutex_unlock (loop->mutex);
  apr_pollset_wakeup (loop->pollset);
}

void
loop_run (struct loop *loop)
{
  loop->running = true;
  while (loop->running)
    {
      const apr_pollfd_t *ready = NULL;
      apr_int32_t count = 0;
      apr_pollset_poll (loop->pollset, wait_of (loop), &count, &ready);
      loop->now = timer_clock ();
      for (apr_int32_t i = 0; i < count; i++)
        deliver (loop, &ready[i]);
      run_tasks (loop);
      /* Events often start timers that are due at once; taking the clock
         again lets them fire in this round.  */
      timer_service_run (loop->timers, timer_clock ());
      if (loop->round_end)
        loop->round_end (loop->round_end_part);
    }
}

void
loop_stop (struct loop *loop)
{
  loop->running = false;
}
