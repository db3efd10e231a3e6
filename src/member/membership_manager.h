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
   version than this entry, none or a malformed one, the relay writes its own
   back.

   An entry is a member from when it serves until it reports that it stopped,
   until a newer incarnation of it sends a heartbeat, or until its VM is gone:
   it has been silent for 10 s, and a list received after that does not name
   the VM.  A VM that no list has named so far may be too new for the list, so
   it counts as gone only after 10 minutes.  The silence of an entry that is
   not in the roster counts from the start of this one.

   Call order: membership_manager_create, membership_manager_start; then
   membership_manager_set_roster at each new roster, membership_manager_set_vms
   at each new list, membership_manager_offer for each membership that a peer
   sends, membership_manager_set_confirmed when nothing on this entry exceeds
   its shares under a version; and membership_manager_destroy.

   Threads: the control loop's thread only.  */
#ifndef MEMBER_MEMBERSHIP_MANAGER_H
#define MEMBER_MEMBERSHIP_MANAGER_H

#include "config/store.h"
#include "member/membership.h"
#include "peer/roster.h"

struct membership_manager;

struct membership_manager_desc
{
  struct loop *loop;
  struct store *store;
  struct counters *counters;
  struct str prefix; /* of the key in the store */
  struct str entry;  /* name of this entry */
  /* Called after every adoption, and whenever MIN_CONFIRMED changes: the
     lowest version that any other member may still use its share under (see
     confirmations_min).  MEMBERSHIP is borrowed.  */
  void (*changed) (void *user_data, struct membership *membership,
                   int64_t min_confirmed);
  void *user_data;
};

/* Creates a membership manager that holds version 0, without members.  Always
   succeeds.  */
enum err_code membership_manager_create (
    apr_pool_t *pool, const struct membership_manager_desc *desc,
    struct membership_manager **result, struct err *err);
/* Starts to check every 50 ms whether a change is due.  */
void membership_manager_start (struct membership_manager *membership_manager);
/* Stops the timers and releases the membership and the roster; NULL is
   allowed.  */
void
membership_manager_destroy (struct membership_manager *membership_manager);
/* Returns the membership in force, borrowed until the next adoption.  */
struct membership *membership_manager_membership (
    const struct membership_manager *membership_manager);
/* Adopts the membership TEXT if its version is higher than the one held.  A
   malformed one is logged and dropped.  SOURCE names the sender in the
   log.  */
void membership_manager_offer (struct membership_manager *membership_manager,
                               struct str text, const char *source);
/* Sets the current roster, takes a reference to it and records the
   confirmations in it.  RELAYS: the number of relays in each zone.  Starts to
   watch the store if this entry has become a relay.  */
void
membership_manager_set_roster (struct membership_manager *membership_manager,
                               struct roster *roster, size_t relays);
/* Sets the peer addresses of the entries that the platform's list of VMs names
   now; they are copied.  */
void membership_manager_set_vms (struct membership_manager *membership_manager,
                                 const struct str_list *addresses);
/* Records that this entry has confirmed VERSION; lower ones are ignored.  */
void membership_manager_set_confirmed (
    struct membership_manager *membership_manager, int64_t version);
/* Returns the highest version that this entry has confirmed; 0: none.  */
int64_t membership_manager_confirmed (
    const struct membership_manager *membership_manager);

#endif
