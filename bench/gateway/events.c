/* The event queue of the simulation: a binary heap, the earliest first.  */
#include "bench/gateway/internal.h"

#include <stdlib.h>

enum
{
  INITIAL_CAPACITY = 1024
};

/* private functions */

static void
reserve_event (struct sim *sim)
{
  if (sim->event_count < sim->event_capacity)
    return;
  size_t capacity
      = sim->event_capacity ? 2 * sim->event_capacity : INITIAL_CAPACITY;
  struct sim_event *events = realloc (sim->events, capacity * sizeof *events);
  if (!events)
    abort ();
  sim->events = events;
  sim->event_capacity = capacity;
}

/* public functions */

void
sim_schedule (struct sim *sim, apr_time_t at, enum sim_event_kind kind,
              struct sim_call *call)
{
  reserve_event (sim);
  struct sim_event *events = sim->events;
  size_t i = sim->event_count++;
  while (i > 0 && events[(i - 1) / 2].at > at)
    {
      events[i] = events[(i - 1) / 2];
      i = (i - 1) / 2;
    }
  events[i] = (struct sim_event){ at, kind, call };
}

bool
sim_next_event (struct sim *sim, apr_time_t end, struct sim_event *event)
{
  struct sim_event *events = sim->events;
  if (sim->event_count == 0 || events[0].at >= end)
    return false;
  *event = events[0];
  struct sim_event last = events[--sim->event_count];
  size_t i = 0;
  for (;;)
    {
      size_t child = 2 * i + 1;
      if (child >= sim->event_count)
        break;
      if (child + 1 < sim->event_count
          && events[child + 1].at < events[child].at)
        child++;
      if (events[child].at >= last.at)
        break;
      events[i] = events[child];
      i = child;
    }
  events[i] = last;
  return true;
}
