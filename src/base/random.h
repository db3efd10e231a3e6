/* Small fast random numbers for decisions that are to be repeatable.

   Not for keys or nonces.  Threads: a state belongs to one thread.  */
#ifndef BASE_RANDOM_H
#define BASE_RANDOM_H

#include <stdint.h>

/* Seed used where a description leaves its seed zero.  */
#define RANDOM_DEFAULT_SEED UINT64_C (88172645463325252)

/* Returns the next number of STATE, which must not be zero (xorshift).  */
static inline uint64_t
random_next (uint64_t *state)
{
  *state ^= *state << 13;
  *state ^= *state >> 7;
  *state ^= *state << 17;
  return *state;
}

#endif
