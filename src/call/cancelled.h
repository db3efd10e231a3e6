/* Slots of cancelled calls (internal to the slice).

   An upstream notices a closed connection only after the way there and some
   time of its own; until then the call still runs, and its slot must not be
   given to another.  A cancelled call's ticket is held that long.

   Threads: the worker's thread only.  */
#ifndef CALL_CANCELLED_H
#define CALL_CANCELLED_H

#include "call/call.h"

/* Ends the call of TICKET as cancelled after DELAY_US.  */
void cancelled_hold (struct call_context *context,
                     const struct steer_attempt *ticket, apr_time_t delay_us);
/* Frees what is held, at the end of the worker.  */
void cancelled_free_all (struct call_context *context);

#endif
