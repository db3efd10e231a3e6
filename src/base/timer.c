#include "base/timer.h"

#include <stdlib.h>
#include <time.h>

/* types */

struct timer_service
{
  struct timer **heap;
  size_t count;
  size_t room;
};

/* private functions */

static void
place (struct timer_service *service, size_t at, struct timer *timer)
{
  service->heap[at] = timer;
  timer->slot = at + 1;
}

static void
sift_up (struct timer_service *service, size_t at)
{
  struct timer *timer = service->heap[at];
  while (at > 0)
    {
      size_t parent = (at - 1) / 2;
      if (service->heap[parent]->due <= timer->due)
        break;
      place (service, at, service->heap[parent]);
      at = parent;
    }
  place (service, at, timer);
}

static void
sift_down (struct timer_service *service, size_t at)
{
  struct timer *timer = service->heap[at];
  for (;;)
    {
      size_t child = 2 * at + 1;
      if (child >= service->count)
        break;
      if (child + 1 < service->count
          && service->heap[child + 1]->due < service->heap[child]->due)
        child++;
      if (timer->due <= service->heap[child]->due)
        break;
      place (service, at, service->heap[child]);
      at = child;
    }
  place (service, at, timer);
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
  if (timer->slot == 0)
    return;
  size_t at = timer->slot - 1;
  timer->slot = 0;
  struct timer *last = service->heap[--service->count];
  if (last == timer)
    return;
  place (service, at, last);
  sift_down (service, at);
  sift_up (service, last->slot - 1);
}

void
timer_start (struct timer_service *service, struct timer *timer,
             apr_time_t due, timer_fn *fire, void *subscriber)
{
  timer_stop (service, timer);
  timer->due = due;
  timer->fire = fire;
  timer->subscriber = subscriber;
  if (service->count == service->room)
    {
      size_t room = service->room ? 2 * service->room : 64;
      struct timer **heap
          = realloc (service->heap, room * sizeof (*service->heap));
      if (!heap)
        abort ();
      service->heap = heap;
      service->room = room;
    }
  service->heap[service->count] = timer;
  sift_up (service, service->count++);
}

apr_time_t
timer_service_next (const struct timer_service *service)
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
      timer->fire (timer->subscriber, now);
    }
}
