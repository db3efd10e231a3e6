/* Registrar: keeps the membership in force on this entry, and writes its next
   version when the entries change.

   Every entry adopts versions, from the store (if it is a relay) or from
   peers, only upward.  Relays propose: they compare the membership with the
   entries that they hear and with the platform's list of VMs, and write the
   difference by one compare-and-swap.  All changes that are due go into one
   version.  The relay that ranks highest writes at once, the others later and
   only if the change is still due.  A write whose answer was lost is read
   back: changes that are in the store are no longer due.

   An entry is a member from when it serves until it says that it stopped,
   until a newer incarnation of it is heard, or until it has been silent for
   ten seconds and the platform's list, asked after that, names its VM no
   more.  A VM that no list has ever_listed yet may be too new; it is gone
   after ten minutes.

   Call order: registrar_create, registrar_start; then registrar_see_entries
   at each change of the roster, registrar_see_vms for each list.

   Threads: the control loop's thread only.  Times: microseconds.  */
#ifndef MEMBER_REGISTRAR_H
#define MEMBER_REGISTRAR_H

#include "config/store.h"
#include "member/membership.h"
#include "peer/roster.h"

struct registrar;

struct registrar_desc
{
  struct loop *loop;
  struct store *store;
  struct counters *counters;
  struct str prefix; /* of keys */
  struct str entry;  /* name of this one */
  /* Called after every adoption, and whenever LEAST rises: the lowest
     version that any other member has confirmed.  */
  void (*changed) (void *user_data, struct membership *membership,
                   int64_t least);
  void *part;
};

enum err_code registrar_create (apr_pool_t *pool,
                                const struct registrar_desc *desc,
                                struct registrar **result, struct err *err);
void registrar_start (struct registrar *registrar);
void registrar_destroy (struct registrar *registrar);
/* Returns the membership in force, borrowed.  */
struct membership *registrar_membership (const struct registrar *registrar);
/* Adopts TEXT if its version is higher; SOURCE names the peer.  */
void registrar_offer (struct registrar *registrar, struct str text,
                      const char *source);
/* Takes what is heard of the entries; references ROSTER.  RELAYS: how many
   entries of each zone propose and watch.  */
void registrar_see_entries (struct registrar *registrar, struct roster *roster,
                            size_t relays);
/* Takes the addresses that the platform's list names now.  */
void registrar_see_vms (struct registrar *registrar,
                        const struct str_list *addresses);
/* Notes that this entry has confirmed VERSION.  */
void registrar_confirm (struct registrar *registrar, int64_t version);
int64_t registrar_confirmed (const struct registrar *registrar);

#endif
