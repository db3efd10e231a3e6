/* What this entry knows of the versions of the membership that the other
   members have confirmed (see membership.h).  What is known only rises, and
   holds for one process: a newer incarnation starts anew.

   Call order: confirmations_create; confirmations_note for each heartbeat;
   confirmations_least whenever the membership or a confirmation changed.

   Threads: one thread.  */
#ifndef MEMBER_CONFIRMATION_H
#define MEMBER_CONFIRMATION_H

#include "member/membership.h"

struct confirmations;

struct confirmations *confirmations_create (apr_pool_t *pool);
/* The process INCARNATION of NAME has confirmed VERSION.  */
void confirmations_note (struct confirmations *confirmations, struct str name,
                         int64_t incarnation, int64_t version);
/* Returns the lowest version that any member of MEMBERSHIP but SELF may use
   its user_data of: what it confirmed, or, if that is higher, the version
   before it joined.  At most MEMBERSHIP's own version.  */
int64_t confirmations_least (const struct confirmations *confirmations,
                             const struct membership *membership,
                             struct str self);

#endif
