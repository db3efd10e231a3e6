/* Division of a service's requests among regions.

   Answers the load "regions peak at different times and differ in slots": the
   part of this region's requests that each region serves follows the room
   there, so slowly that no region sees a jump.  Objects keep their region
   while the parts stand still.

     spread_init (&spread, regions, count, own);
     spread_update (&spread, rooms, now);        several times a second
     region = spread_pick (&spread, object_hash, allowed);

   Threads: one thread.  */
#ifndef BALANCE_SPREAD_H
#define BALANCE_SPREAD_H

#include "balance/balance.h"

enum
{
  SPREAD_REGIONS_MAX = 64
};

struct spread
{
  size_t region_count;
  size_t own_region; /* index of this entry's region */
  double parts[SPREAD_REGIONS_MAX];
  double max_shift_per_s; /* part that may move in one second */
  apr_time_t updated_at;
};

/* PACE: part of the requests that may change their region in a second.  */
void spread_init (struct spread *spread, size_t count, size_t own,
                  double pace);
/* Moves the parts towards where there is room.  */
void spread_update (struct spread *spread, const struct balance_room *rooms,
                    apr_time_t now);
/* Returns the region of OBJECT among those that ALLOWED marks, or
   SPREAD_REGIONS_MAX without any.  */
size_t spread_pick (const struct spread *spread, uint64_t object,
                    const bool *allowed);
/* Returns the least full of the regions that ALLOWED marks other than BUT, or
   SPREAD_REGIONS_MAX if none has room to spare.  */
size_t spread_other (const struct spread *spread,
                     const struct balance_room *rooms, size_t but,
                     const bool *allowed);

#endif
