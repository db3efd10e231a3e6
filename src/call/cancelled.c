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
unlink_and_free (struct cancelled_call *one)
{
  timer_stop (loop_timers (one->context->loop), &one->timer);
  *one->link = one->next;
  if (one->next)
    one->next->link = one->link;
  free (one);
}

/* By now the upstream has noticed: frees the slot.  */
static void
on_due (void *user_data, apr_time_t now)
{
  struct cancelled_call *one = user_data;
  struct call_context *context = one->context;
  steer_end_attempt (context->steer, &one->steer_attempt, RESULT_CANCELLED, 0,
                     now);
  context->in_flight--;
  context->slot_freed = true;
  unlink_and_free (one);
}

/* public functions */

void
cancelled_hold_slot (struct call_context *context,
                     const struct steer_attempt *attempt, apr_time_t delay_us)
{
  struct cancelled_call *one = calloc (1, sizeof *one);
  if (!one)
    abort ();
  one->context = context;
  one->steer_attempt = *attempt;
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
  struct cancelled_call *next;
  for (struct cancelled_call *one = context->cancelled; one; one = next)
    {
      next = one->next;
      timer_stop (loop_timers (context->loop), &one->timer);
      free (one);
    }
  context->cancelled = NULL;
}
