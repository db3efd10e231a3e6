/* Records which version of the membership every other member has confirmed
   (see membership.h).  A member's confirmed version only rises; it belongs to
   one process, so a newer incarnation starts again without a confirmation.

   Call order: confirmations_create; confirmations_record for each heartbeat;
   confirmations_min whenever the membership or a confirmation has changed.

   Threads: one thread.  */
#ifndef MEMBER_CONFIRMATION_H
#define MEMBER_CONFIRMATION_H

#include "member/membership.h"

struct confirmations;

/* Returns an empty record in POOL.  */
struct confirmations *confirmations_create (apr_pool_t *pool);
/* Records that the process INCARNATION of the entry NAME has confirmed
   VERSION; 0: none yet.  Ignored if a newer incarnation or a higher version is
   known.  */
void confirmations_record (struct confirmations *confirmations,
                           struct str name, int64_t incarnation,
                           int64_t version);
/* Returns the lowest version that any member of MEMBERSHIP but the entry SELF
   may still use its share under.  That is, for each of them, the highest of
   the version that it confirmed, the one before it joined, and MEMBERSHIP's
   `confirmed_by_all'.  Members of which a newer incarnation is known do not
   count.  At most MEMBERSHIP's own version, which is also the result if there
   are no other members.  */
int64_t confirmations_min (const struct confirmations *confirmations,
                           const struct membership *membership,
                           struct str self);

#endif
