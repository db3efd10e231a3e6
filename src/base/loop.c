#include "base/loop.h"

#include <apr_poll.h>
#include <apr_portable.h>
#include <apr_thread_mutex.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

/* types */

/* The watch of one descriptor.  `generation' distinguishes its events from
   those of an earlier watch of the same descriptor number, which may still be
   among the results of the current poll.  */
struct watch
{
  loop_ready_fn *ready;
  void *user_data;
  apr_socket_t *socket;
  apr_pool_t *pool;
  uint32_t generation;
  int events; /* 0: not watched */
};

/* A function posted by loop_post.  */
struct task
{
  loop_task_fn *run;
  void *user_data;
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
  size_t watch_capacity;
  loop_task_fn *iteration_callback;
  void *iteration_user_data;
  loop_paused_fn *paused; /* NULL: pauses are not watched */
  void *paused_user_data;
  apr_time_t pause_limit;
  apr_time_t now;
  bool running;
};

/* constants */

enum
{
  MAX_EVENTS_PER_ITERATION = 4096,
  MAX_WAIT_US = 1000000
};

/* private functions */

/* Returns the watch of FD, enlarging the array if necessary.  */
static struct watch *
get_watch (struct loop *loop, int fd)
{
  if ((size_t)fd >= loop->watch_capacity)
    {
      size_t capacity = loop->watch_capacity ? loop->watch_capacity : 256;
      while (capacity <= (size_t)fd)
        capacity *= 2;
      struct watch *watches
          = realloc (loop->watches, capacity * sizeof (*watches));
      if (!watches)
        abort ();
      memset (watches + loop->watch_capacity, 0,
              (capacity - loop->watch_capacity) * sizeof (*watches));
      loop->watches = watches;
      loop->watch_capacity = capacity;
    }
  return &loop->watches[fd];
}

static void
fill_pollfd (const struct watch *watch, int fd, apr_pollfd_t *pollfd)
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
dispatch_event (struct loop *loop, const apr_pollfd_t *ready)
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
  watch->ready (watch->user_data, fd, events);
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
      task->run (task->user_data);
      free (task);
      task = next;
    }
}

/* Returns how long to wait for events, in microseconds.  */
static apr_time_t
poll_timeout (const struct loop *loop)
{
  apr_time_t next = timer_service_next_due (loop->timers);
  if (next < 0)
    return MAX_WAIT_US;
  apr_time_t wait = next - timer_clock ();
  if (wait <= 0)
    return 0;
  /* The kernel waits in whole milliseconds.  Round up: a wait that is cut to
     zero would make the loop spin until the timer is due.  */
  wait = (wait + 999) / 1000 * 1000;
  return wait < MAX_WAIT_US ? wait : MAX_WAIT_US;
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
      &loop->pollset, MAX_EVENTS_PER_ITERATION, pool,
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
  for (size_t fd = 0; fd < loop->watch_capacity; fd++)
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
  struct watch *watch = get_watch (loop, fd);
  if (watch->events == 0)
    return;
  apr_pollfd_t pollfd;
  fill_pollfd (watch, fd, &pollfd);
  apr_pollset_remove (loop->pollset, &pollfd);
  watch->events = 0;
  watch->generation++;
}

void
loop_watch (struct loop *loop, int fd, int events, loop_ready_fn *ready,
            void *user_data)
{
  struct watch *watch = get_watch (loop, fd);
  if (watch->events == events && watch->ready == ready
      && watch->user_data == user_data)
    return;
  loop_unwatch (loop, fd);
  if (!watch->socket)
    apr_os_sock_put (&watch->socket, &fd, loop->pool);
  watch->events = events;
  watch->ready = ready;
  watch->user_data = user_data;
  apr_pollfd_t pollfd;
  fill_pollfd (watch, fd, &pollfd);
  apr_pollset_add (loop->pollset, &pollfd);
}

void
loop_set_iteration_callback (struct loop *loop, loop_task_fn *task,
                             void *user_data)
{
  loop->iteration_callback = task;
  loop->iteration_user_data = user_data;
}

void
loop_watch_pauses (struct loop *loop, apr_time_t limit, loop_paused_fn *paused,
                   void *user_data)
{
  loop->pause_limit = limit;
  loop->paused = paused;
  loop->paused_user_data = user_data;
}

void
loop_post (struct loop *loop, loop_task_fn *run, void *user_data)
{
  struct task *task = malloc (sizeof *task);
  if (!task)
    abort ();
  *task = (struct task){ run, user_data, NULL };
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
  loop->now = timer_clock ();
  while (loop->running)
    {
      const apr_pollfd_t *ready = NULL;
      apr_int32_t count = 0;
      apr_time_t timeout = poll_timeout (loop);
      apr_time_t due = loop->now + timeout;
      apr_pollset_poll (loop->pollset, timeout, &count, &ready);
      loop->now = timer_clock ();
      if (loop->paused && loop->now - due >= loop->pause_limit)
        loop->paused (loop->paused_user_data, loop->now);
      for (apr_int32_t i = 0; i < count; i++)
        dispatch_event (loop, &ready[i]);
      run_tasks (loop);
      /* Event handlers often start timers that are due at once; reading the
         clock again lets these fire in this iteration.  */
      timer_service_run (loop->timers, timer_clock ());
      if (loop->iteration_callback)
        loop->iteration_callback (loop->iteration_user_data);
    }
}

void
loop_stop (struct loop *loop)
{
  loop->running = false;
}
