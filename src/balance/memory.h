/* Which objects an upstream has lately handled for this entry.

   An upstream works faster for an object that it handled lately; it remembers
   a bounded number.  This is the entry's own record of what it sent there: a
   table of fixed size in which newer objects replace the oldest of their row.

     memory_note (&memory, object, now);
     if (memory_has (&memory, object, now)) ...

   Units: microseconds.  Threads: one thread.  */
#ifndef BALANCE_MEMORY_H
#define BALANCE_MEMORY_H

#include <apr_time.h>
#include <stdbool.h>
#include <stdint.h>

/* 256 objects: three times what upstreams of the users' sites remember.  */
enum
{
  MEMORY_ROWS = 64,
  MEMORY_WAYS = 4
};

struct memory
{
  struct
  {
    uint64_t object;
    apr_time_t at; /* 0: empty */
  } cells[MEMORY_ROWS][MEMORY_WAYS];
};

/* Notes that OBJECT was handled.  */
void memory_note (struct memory *memory, uint64_t object, apr_time_t now);
/* Forgets OBJECT: it was not known after all.  */
void memory_drop (struct memory *memory, uint64_t object);
bool memory_has (const struct memory *memory, uint64_t object, apr_time_t now);

#endif
