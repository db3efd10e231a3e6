/* Timer service: parts subscribe to moments of one monotonic clock.

   The owner of an event loop creates one service and calls
   `timer_service_run' whenever the clock may have passed
   `timer_service_next'.  Tests drive the same code on a virtual clock.

   Call order: timer_service_create, then any of timer_start / timer_stop
   and timer_service_run, then timer_service_destroy.  A `struct timer' is
   embedded in its subscriber; zero it before first use.

     static void on_due (void *part, apr_time_t now);
     timer_start (service, &part->timer, now + TIMER_MS (250), on_due, part);

   Units: microseconds.  Threads: one thread a service.  */
#ifndef BASE_TIMER_H
#define BASE_TIMER_H

#include <apr_time.h>
#include <stdbool.h>

#define TIMER_MS(ms) ((apr_time_t)(ms)*1000)
#define TIMER_SEC(s) ((apr_time_t)(s)*1000000)

typedef void timer_fn (void *subscriber, apr_time_t now);

struct timer
{
  apr_time_t due;
  timer_fn *fire;
  void *subscriber;
  size_t slot; /* place in the heap plus one, 0 while not started */
};

struct timer_service;

/* Returns the monotonic clock.  */
apr_time_t timer_clock (void);

struct timer_service *timer_service_create (void);
void timer_service_destroy (struct timer_service *service);
/* Calls FIRE once when the clock reaches DUE; moves TIMER if started.  */
void timer_start (struct timer_service *service, struct timer *timer,
                  apr_time_t due, timer_fn *fire, void *subscriber);
/* Does nothing if TIMER is not started.  */
void timer_stop (struct timer_service *service, struct timer *timer);
/* Returns when the earliest timer is due, or -1 without one.  */
apr_time_t timer_service_next (const struct timer_service *service);
/* Fires all that is due at NOW, in order of time.  */
void timer_service_run (struct timer_service *service, apr_time_t now);

#endif
