#include "call/cancelled.h"

#include <stdlib.h>

/* types */

/* A cancelled call whose slot is not yet free.  */
struct cancelled_call
{
  struct cancelled_call *next;
  struct cancelled_call **link;
  struct call_context *context;
  struct steer_attempt steer_attempt;
  struct timer timer;
};

/* private functions */

static void
unlink_and_free (struct cancelled_call *cancelled)
{
  timer_stop (loop_timers (cancelled->context->loop), &cancelled->timer);
  *cancelled->link = cancelled->next;
  if (cancelled->next)
    cancelled->next->link = cancelled->link;
  free (cancelled);
}

/* Called when the upstream must have noticed: frees the slot.  */
static void
on_due (void *user_data, apr_time_t now)
{
  struct cancelled_call *cancelled = user_data;
  struct call_context *context = cancelled->context;
  steer_end_attempt (context->steer, &cancelled->steer_attempt,
                     RESULT_CANCELLED, 0, now);
  context->in_flight--;
  context->slot_freed = true;
  unlink_and_free (cancelled);
}

/* public functions */

void
cancelled_hold_slot (struct call_context *context,
                     const struct steer_attempt *attempt, apr_time_t delay_us)
{
  struct cancelled_call *cancelled = calloc (1, sizeof *cancelled);
  if (!cancelled)
    abort ();
  cancelled->context = context;
  cancelled->steer_attempt = *attempt;
  cancelled->next = context->cancelled;
  cancelled->link = &context->cancelled;
  if (cancelled->next)
    cancelled->next->link = &cancelled->next;
  context->cancelled = cancelled;
  timer_start (loop_timers (context->loop), &cancelled->timer,
               timer_clock () + delay_us, on_due, cancelled);
}

void
cancelled_free_all (struct call_context *context)
{
  struct cancelled_call *next;
  for (struct cancelled_call *cancelled = context->cancelled; cancelled;
       cancelled = next)
    {
      next = cancelled->next;
      timer_stop (loop_timers (context->loop), &cancelled->timer);
      free (cancelled);
    }
  context->cancelled = NULL;
}
