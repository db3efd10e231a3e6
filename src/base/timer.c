#include "base/timer.h"

#include <stdlib.h>
#include <time.h>

/* types */

/* A binary heap of timers, the earliest first.  */
struct timer_service
{
  struct timer **heap;
  size_t count;
  size_t capacity;
};

/* private functions */

static void
heap_set (struct timer_service *service, size_t index, struct timer *timer)
{
  service->heap[index] = timer;
  timer->heap_position = index + 1;
}

static void
sift_up (struct timer_service *service, size_t index)
{
  struct timer *timer = service->heap[index];
  while (index > 0)
    {
      size_t parent = (index - 1) / 2;
      if (service->heap[parent]->due <= timer->due)
        break;
      heap_set (service, index, service->heap[parent]);
      index = parent;
    }
  heap_set (service, index, timer);
}

static void
sift_down (struct timer_service *service, size_t index)
{
  struct timer *timer = service->heap[index];
  for (;;)
    {
      size_t child = 2 * index + 1;
      if (child >= service->count)
        break;
      if (child + 1 < service->count
          && service->heap[child + 1]->due < service->heap[child]->due)
        child++;
      if (timer->due <= service->heap[child]->due)
        break;
      heap_set (service, index, service->heap[child]);
      index = child;
    }
  heap_set (service, index, timer);
}

/* public functions */

apr_time_t
timer_clock (void)
{
  struct timespec ts;
  clock_gettime (CLOCK_MONOTONIC, &ts);
  return (apr_time_t)ts.tv_sec * 1000000 + ts.tv_nsec / 1000;
}

struct timer_service *
timer_service_create (void)
{
  return calloc (1, sizeof (struct timer_service));
}

void
timer_service_destroy (struct timer_service *service)
{
  if (!service)
    return;
  free (service->heap);
  free (service);
}

void
timer_stop (struct timer_service *service, struct timer *timer)
{
  if (timer->heap_position == 0)
    return;
  size_t index = timer->heap_position - 1;
  timer->heap_position = 0;
  struct timer *last = service->heap[--service->count];
  if (last == timer)
    return;
  heap_set (service, index, last);
  sift_down (service, index);
  sift_up (service, last->heap_position - 1);
}

void
timer_start (struct timer_service *service, struct timer *timer,
             apr_time_t due, timer_fn *callback, void *user_data)
{
  timer_stop (service, timer);
  timer->due = due;
  timer->callback = callback;
  timer->user_data = user_data;
  if (service->count == service->capacity)
    {
      size_t capacity = service->capacity ? 2 * service->capacity : 64;
      struct timer **heap
          = realloc (service->heap, capacity * sizeof (*service->heap));
      if (!heap)
        abort ();
      service->heap = heap;
      service->capacity = capacity;
    }
  service->heap[service->count] = timer;
  sift_up (service, service->count++);
}

apr_time_t
timer_service_next_due (const struct timer_service *service)
{
  return service->count > 0 ? service->heap[0]->due : -1;
}

void
timer_service_run (struct timer_service *service, apr_time_t now)
{
  while (service->count > 0 && service->heap[0]->due <= now)
    {
      struct timer *timer = service->heap[0];
      timer_stop (service, timer);
      timer->callback (timer->user_data, now);
    }
}
