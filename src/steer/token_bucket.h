/* A token bucket that limits the bytes sent over a link, so that no window of
   100 ms carries more than the rate allows in 100 ms.

   The bucket is refilled at slightly less than the rate and holds little
   compared to the window: in any 100 ms at most a full bucket and what is
   refilled can pass, which together stay below the limit.  The rate is an
   argument of each call, because an entry's share of a link changes.

   Call order: zero the struct, then token_bucket_consume before sending; or
   token_bucket_debit for bytes that could not be held up, as received ones.

     size_t allowed = token_bucket_consume (&bucket, rate, size, now);
     sent = send (socket, data, allowed);

   Does no I/O and reads no clock.  Units: bytes a second, microseconds.
   Threads: one thread.  */
#ifndef STEER_TOKEN_BUCKET_H
#define STEER_TOKEN_BUCKET_H

#include <apr_time.h>
#include <stddef.h>
#include <stdint.h>

struct token_bucket
{
  double tokens; /* bytes that may pass; a debit can make it negative */
  apr_time_t updated_at; /* of `tokens'; 0: never */
};

/* Takes up to BYTES tokens, refilled at RATE, and returns how many it took:
   that many bytes may pass now.  */
size_t token_bucket_consume (struct token_bucket *bucket, int64_t rate,
                             size_t bytes, apr_time_t now);
/* Takes tokens for BYTES that have passed already.  The balance may go below
   zero; then nothing passes until it is refilled.  */
void token_bucket_debit (struct token_bucket *bucket, int64_t rate,
                         size_t bytes, apr_time_t now);

#endif
