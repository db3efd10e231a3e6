/* Fast pseudo-random numbers for decisions that must be reproducible from a
   seed.  Not for keys or nonces.

   Threads: each state belongs to one thread.  */
#ifndef BASE_RANDOM_H
#define BASE_RANDOM_H

#include <stdint.h>

/* Used by modules whose description has the seed 0, which random_next does not
   allow.  */
#define RANDOM_DEFAULT_SEED UINT64_C (88172645463325252)

/* Advances STATE, which must not be zero, and returns the next number
   (xorshift64).  */
static inline uint64_t
random_next (uint64_t *state)
{
  *state ^= *state << 13;
  *state ^= *state >> 7;
  *state ^= *state << 17;
  return *state;
}

#endif
