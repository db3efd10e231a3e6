/* Holds the membership in force on this entry, and writes the next version
   when the entries change.

   Every entry adopts versions, only upward: a relay from the store, under the
   key PREFIX/membership, every other entry from peers.

   Relays also propose versions.  They compare the membership with the roster
   and with the platform's list of VMs, and write the difference with one
   compare-and-swap; all changes that are due go into one version.  To avoid
   conflicting writes the first live relay by name writes at once, each further
   one half a second later than the one before, and only if the change is still
   due.  If the response to a write is lost, the stored version is read back;
   changes that it contains are no longer due.  If the store holds an older
   version than this entry, the relay writes its own back.

   An entry is a member from when it serves until it reports that it stopped,
   until a newer incarnation of it sends a heartbeat, or until its VM is gone:
   it has been silent for 10 s, and a list received after that does not name
   the VM.  A VM that no list has named so far may be too new for the list, so
   it counts as gone only after 10 minutes.

   Call order: registrar_create, registrar_start; then registrar_see_entries at
   each new roster, registrar_see_vms at each new list, registrar_offer for
   each membership that a peer sends, registrar_confirm when nothing on this
   entry exceeds its shares under a version; and registrar_destroy.

   Threads: the control loop's thread only.  */
#ifndef MEMBER_MEMBERSHIP_MANAGER_H
#define MEMBER_MEMBERSHIP_MANAGER_H

#include "config/store.h"
#include "member/membership.h"
#include "peer/roster.h"

struct registrar;

struct registrar_desc
{
  struct loop *loop;
  struct store *store;
  struct counters *counters;
  struct str prefix; /* of the key in the store */
  struct str entry;  /* name of this entry */
  /* Called after every adoption, and whenever MIN_CONFIRMED changes: the
     lowest version that any other member may still use its share under (see
     confirmations_least).  MEMBERSHIP is borrowed.  */
  void (*changed) (void *user_data, struct membership *membership,
                   int64_t min_confirmed);
  void *part;
};

/* Creates a membership manager that holds version 0, without members.  Always
   succeeds.  */
enum err_code registrar_create (apr_pool_t *pool,
                                const struct registrar_desc *desc,
                                struct registrar **result, struct err *err);
/* Starts to check every 50 ms whether a change is due.  */
void registrar_start (struct registrar *registrar);
void registrar_destroy (struct registrar *registrar);
/* Returns the membership in force, borrowed until the next adoption.  */
struct membership *registrar_membership (const struct registrar *registrar);
/* Adopts the membership TEXT if its version is higher than the one held.  A
   malformed one is logged and dropped.  SOURCE names the sender in the
   log.  */
void registrar_offer (struct registrar *registrar, struct str text,
                      const char *source);
/* Sets the current roster, takes a reference to it and records the
   confirmations in it.  RELAYS: the number of relays in each zone.  */
void registrar_see_entries (struct registrar *registrar, struct roster *roster,
                            size_t relays);
/* Sets the addresses that the platform's list names now; they are copied.  */
void registrar_see_vms (struct registrar *registrar,
                        const struct str_list *addresses);
/* Records that this entry has confirmed VERSION; lower ones are ignored.  */
void registrar_confirm (struct registrar *registrar, int64_t version);
/* Returns the highest version that this entry has confirmed; 0: none.  */
int64_t registrar_confirmed (const struct registrar *registrar);

#endif
