/* Pacing of bytes under a rate, so that no window exceeds it.

   A token bucket that is shallow against the window: in any 100 ms at most
   the depth and what flows in, which together stay below the rate times
   100 ms.  The rate is an argument of each call, because shares change.

   Pure: the time is an argument.  Units: bytes a second, microseconds.
   Threads: one thread.  */
#ifndef STEER_PACE_H
#define STEER_PACE_H

#include <apr_time.h>
#include <stddef.h>
#include <stdint.h>

struct pace
{
  double tokens;
  apr_time_t updated_at; /* when `tokens' was right; 0 at first */
};

/* Takes up to WANT bytes under RATE; returns how many may pass now.  */
size_t pace_take (struct pace *pace, int64_t rate, size_t want,
                  apr_time_t now);
/* Counts BYTES that have passed already; later bytes wait for them.  */
void pace_debit (struct pace *pace, int64_t rate, size_t bytes,
                 apr_time_t now);

#endif
