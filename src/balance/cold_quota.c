#include "balance/cold_quota.h"

/* Fraction of what is allowed that is divided.  */
static const double divided_fraction = 0.75;

enum
{
  /* An entry may know few others for a while: as it starts, or after the keys
     of all were lost.  */
  MAX_PER_SENDER = 3
};

struct cold_quota
cold_quota_divide (double max, size_t entries)
{
  struct cold_quota best = { 1, 1 };
  double limit = max * divided_fraction;
  int64_t total = limit > 1 && limit < 1e9 ? (int64_t)limit : 1;
  for (size_t senders = 1; senders <= entries && (int64_t)senders <= total;
       senders++)
    {
      int64_t per_sender = total / (int64_t)senders;
      if (per_sender > MAX_PER_SENDER)
        per_sender = MAX_PER_SENDER;
      if ((int64_t)senders * per_sender
          >= (int64_t)best.senders * best.per_sender)
        best = (struct cold_quota){ senders, per_sender };
    }
  return best;
}
