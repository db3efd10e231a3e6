/* Whether a response of a store or of a copy of it is news.

   A store that comes back from an older copy gives its indexes out again, in a
   new epoch.  A position is therefore ordered by the epoch, then by the index.
   The epoch 0 isn't stated: it is that of the asker.

   For each response:

     if (position_is_outdated (&known, asked_epoch, is_listing, epoch))
       not used
     else if (position_needs_listing (&known, is_listing, epoch))
       ask the source for a listing
     else if (!is_listing || position_accepts_listing (&known, &response))
       apply it

   Threads: pure functions.  */
#ifndef FLEET_POSITION_H
#define FLEET_POSITION_H

#include <stdbool.h>
#include <stdint.h>

struct position
{
  int64_t epoch; /* 0: not stated */
  int64_t index; /* 0: nothing is known */
};

/* Returns whether a response of EPOCH is of an epoch before the one KNOWN, or
   has the changes since an index of another epoch than its own, which may be
   neither all nor the right ones.  ASKED_EPOCH was known when the call was
   made.  */
bool position_is_outdated (const struct position *known, int64_t asked_epoch,
                           bool is_listing, int64_t epoch);
/* Returns whether a response of EPOCH, which isn't outdated, has the changes
   of a later epoch than the one KNOWN, which begins with a listing.  */
bool position_needs_listing (const struct position *known, bool is_listing,
                             int64_t epoch);
/* Returns whether a listing at RESPONSE is at least as new as what is
   KNOWN.  */
bool position_accepts_listing (const struct position *known,
                               const struct position *response);

#endif
