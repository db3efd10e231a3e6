#include "steer/token_bucket.h"

/* constants */

/* Fraction of the rate at which the bucket is refilled, and its capacity in
   seconds at the rate.  Over 100 ms they add up to 0.093 + 0.006 of the bytes
   of a second, under a tenth.  */
#define REFILL_FRACTION 0.93
#define CAPACITY_S 0.006

/* private functions */

static void
refill (struct token_bucket *bucket, int64_t rate, apr_time_t now)
{
  double capacity = (double)rate * CAPACITY_S;
  if (bucket->updated_at > 0 && now > bucket->updated_at)
    bucket->tokens += (double)(now - bucket->updated_at) * 1e-6 * (double)rate
                      * REFILL_FRACTION;
  if (bucket->tokens > capacity)
    bucket->tokens = capacity;
  bucket->updated_at = now;
}

/* public functions */

size_t
token_bucket_consume (struct token_bucket *bucket, int64_t rate, size_t bytes,
                      apr_time_t now)
{
  refill (bucket, rate, now);
  if (bucket->tokens < 1)
    return 0;
  size_t available = (size_t)bucket->tokens;
  if (bytes > available)
    bytes = available;
  bucket->tokens -= (double)bytes;
  return bytes;
}

void
token_bucket_debit (struct token_bucket *bucket, int64_t rate, size_t bytes,
                    apr_time_t now)
{
  refill (bucket, rate, now);
  bucket->tokens -= (double)bytes;
}
