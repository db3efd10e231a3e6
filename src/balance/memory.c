#include "balance/memory.h"

/* constants */

/* Upstreams replace the object that was handled the longest ago; under load
   that takes some tens of seconds.  */
static const apr_time_t known_us = 20000000;

/* public functions */

void
memory_note (struct memory *memory, uint64_t object, apr_time_t now)
{
  uint64_t row = object % MEMORY_ROWS;
  int way = 0;
  for (int i = 0; i < MEMORY_WAYS; i++)
    {
      if (memory->cells[row][i].object == object)
        {
          way = i;
          break;
        }
      if (memory->cells[row][i].at < memory->cells[row][way].at)
        way = i;
    }
  memory->cells[row][way].object = object;
  memory->cells[row][way].at = now;
}

void
memory_drop (struct memory *memory, uint64_t object)
{
  uint64_t row = object % MEMORY_ROWS;
  for (int i = 0; i < MEMORY_WAYS; i++)
    if (memory->cells[row][i].object == object)
      memory->cells[row][i].at = 0;
}

bool
memory_has (const struct memory *memory, uint64_t object, apr_time_t now)
{
  uint64_t row = object % MEMORY_ROWS;
  for (int i = 0; i < MEMORY_WAYS; i++)
    if (memory->cells[row][i].object == object && memory->cells[row][i].at > 0)
      return now - memory->cells[row][i].at < known_us;
  return false;
}
