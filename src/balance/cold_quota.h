/* Division of the requests that a cold upstream may get over the entries.

   All entries together may send it a number of requests in any second.  Each
   of some entries gets an equal part, which it counts over the last second
   (load_sends_since), so that the sum holds in every second, whenever their
   requests are sent.  A quarter of the number is left for entries that hold
   the upstream for warm, or have another list of the entries.

     struct cold_quota quota = cold_quota_divide (19.1, 61);
     if (rank < quota.senders)
       allowed = quota.per_sender;

   Units: requests in a second.  Threads: pure functions.  */
#ifndef BALANCE_COLD_QUOTA_H
#define BALANCE_COLD_QUOTA_H

#include <stddef.h>
#include <stdint.h>

struct cold_quota
{
  size_t senders;     /* entries that may send */
  int64_t per_sender; /* in any second, at least one */
};

/* Divides MAX, what all ENTRIES (at least one) together may send, so that as
   much of it is used, and by as many entries, as whole requests allow.  */
struct cold_quota cold_quota_divide (double max, size_t entries);

#endif
