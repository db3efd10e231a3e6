#include "call/cancelled.h"

#include <stdlib.h>

/* types */

struct cancelled
{
  struct cancelled *next;
  struct cancelled **link;
  struct call_context *context;
  struct steer_attempt ticket;
  struct timer timer;
};

/* private functions */

static void
unlink_and_free (struct cancelled *one)
{
  timer_stop (loop_timers (one->context->loop), &one->timer);
  *one->link = one->next;
  if (one->next)
    one->next->link = one->link;
  free (one);
}

static void
on_due (void *part, apr_time_t now)
{
  struct cancelled *one = part;
  struct call_context *context = one->context;
  steer_end_attempt (context->steer, &one->ticket, RESULT_CANCELLED, 0, now);
  context->in_flight--;
  context->slot_freed = true;
  unlink_and_free (one);
}

/* public functions */

void
cancelled_hold (struct call_context *context,
                const struct steer_attempt *ticket, apr_time_t delay_us)
{
  struct cancelled *one = calloc (1, sizeof *one);
  if (!one)
    abort ();
  one->context = context;
  one->ticket = *ticket;
  one->next = context->cancelled;
  one->link = &context->cancelled;
  if (one->next)
    one->next->link = &one->next;
  context->cancelled = one;
  timer_start (loop_timers (context->loop), &one->timer,
               timer_clock () + delay_us, on_due, one);
}

void
cancelled_free_all (struct call_context *context)
{
  struct cancelled *next;
  for (struct cancelled *one = context->cancelled; one; one = next)
    {
      next = one->next;
      timer_stop (loop_timers (context->loop), &one->timer);
      free (one);
    }
  context->cancelled = NULL;
}
