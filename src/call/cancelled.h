/* Slots of cancelled calls (internal to the module).

   An upstream notices that a connection was closed only after a delay: the
   time on the network, and some time of its own.  Until then it still runs
   the call, so its slot must not be given to another call.  The slot of a
   cancelled call is therefore freed only after that delay.

   Threads: the worker's thread only.  */
#ifndef CALL_CANCELLED_H
#define CALL_CANCELLED_H

#include "call/call.h"

/* Ends ATTEMPT as cancelled after DELAY_US, and thereby frees its slot.
   ATTEMPT is copied.  */
void cancelled_hold_slot (struct call_context *context,
                          const struct steer_attempt *attempt,
                          apr_time_t delay_us);
/* Discards all cancelled calls without freeing their slots; called when the
   worker is destroyed.  */
void cancelled_free_all (struct call_context *context);

#endif
