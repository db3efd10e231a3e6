/* One-shot timers on one monotonic clock, kept in a heap.

   The owner of an event loop creates one service and calls
   `timer_service_run' whenever the clock may have passed
   `timer_service_next_due'.  Unit tests run the same code on a virtual clock.

   Call order: timer_service_create, then any of timer_start, timer_stop and
   timer_service_run, then timer_service_destroy.  A `struct timer' is embedded
   in the struct of its user; zero it before first use, and stop it before that
   struct is freed.

     static void on_due (void *user_data, apr_time_t now);
     timer_start (service, &request->timer, now + TIMER_MS (250), on_due,
                  request);

   Units: microseconds.  Threads: each service belongs to one thread.  */
#ifndef BASE_TIMER_H
#define BASE_TIMER_H

#include <apr_time.h>
#include <stdbool.h>

/* Converts milliseconds or seconds to the unit of the clock.  */
#define TIMER_MS(ms) ((apr_time_t)(ms)*1000)
#define TIMER_SEC(s) ((apr_time_t)(s)*1000000)

/* Called with the time that timer_service_run was given.  */
typedef void timer_fn (void *user_data, apr_time_t now);

/* The fields belong to this module.  */
struct timer
{
  apr_time_t due;
  timer_fn *callback;
  void *user_data;
  size_t heap_position; /* index in the heap plus one, 0 while not started */
};

struct timer_service;

/* Returns the system's monotonic clock, in microseconds.  */
apr_time_t timer_clock (void);

struct timer_service *timer_service_create (void);
/* Frees SERVICE; its timers do not fire any more.  NULL is ignored.  */
void timer_service_destroy (struct timer_service *service);
/* Calls CALLBACK once when the clock has reached DUE.  Restarts TIMER if it
   is started already.  The callback may start TIMER again.  */
void timer_start (struct timer_service *service, struct timer *timer,
                  apr_time_t due, timer_fn *callback, void *user_data);
/* Stops TIMER; does nothing if it is not started.  */
void timer_stop (struct timer_service *service, struct timer *timer);
/* Returns the time when the earliest timer is due, or -1 without timers.  */
apr_time_t timer_service_next_due (const struct timer_service *service);
/* Calls the callbacks of all timers that are due at NOW, earliest first, also
   of those that a callback starts meanwhile.  */
void timer_service_run (struct timer_service *service, apr_time_t now);

#endif
