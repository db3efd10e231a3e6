#include "fleet/position.h"

bool
position_is_outdated (const struct position *known, int64_t asked_epoch,
                      bool is_listing, int64_t epoch)
{
  return epoch > 0
         && (epoch < known->epoch
             || (!is_listing && epoch == known->epoch
                 && asked_epoch != known->epoch));
}

bool
position_needs_listing (const struct position *known, bool is_listing,
                        int64_t epoch)
{
  return !is_listing && epoch > known->epoch;
}

bool
position_accepts_listing (const struct position *known,
                          const struct position *response)
{
  return response->epoch > known->epoch || response->index >= known->index;
}
