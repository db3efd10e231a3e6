/* Hash function for integers.  */
#ifndef BASE_HASH_H
#define BASE_HASH_H

#include <stdint.h>

/* Returns a 64-bit hash of the ordered pair A, B, mixed with the finalizer of
   splitmix64.  Not for cryptographic use.  */
static inline uint64_t
hash_mix (uint64_t a, uint64_t b)
{
  uint64_t x = a ^ (b * 0x9e3779b97f4a7c15ULL);
  x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
  x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
  return x ^ (x >> 31);
}

#endif
