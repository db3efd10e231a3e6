/* The roster: the entries that this entry knows from their heartbeats, itself
   included, with the last heartbeat of each.

   The roster says who is alive now; it differs from entry to entry.  The
   membership (member/membership.h) says who owns shares of the caps; it is
   versioned and the same everywhere.

   The control thread makes a new roster at each change and passes it to the
   data worker, which answers look-ups from it.

   Relays: on each zone's behalf a few of its live entries watch the store and
   propose memberships; all other entries receive documents from peers.

   Threads: read-only after creation, reference counted atomically.  */
#ifndef PEER_ROSTER_H
#define PEER_ROSTER_H

#include "peer/message.h"

#include <apr_time.h>

struct roster_entry
{
  struct heartbeat heartbeat; /* the last one received; of this entry: its
                                 own */
  bool is_self;
  bool alive; /* a heartbeat came within the silence limit (`silent_ms' in
                 peer/peers.h); of this entry: always */
  apr_time_t last_heard_at; /* of the last heartbeat; of this entry: when the
                               roster was made */
};

struct roster
{
  struct roster_entry *entries; /* in order of name */
  size_t count;
  apr_pool_t *pool;
  int references;
};

/* Copies COUNT entries and sorts them by name.  The caller holds the first
   reference.  */
struct roster *roster_create (const struct roster_entry *entries,
                              size_t count);
/* Adds a reference and returns ROSTER.  */
struct roster *roster_ref (struct roster *roster);
/* Releases a reference; ROSTER may be NULL.  */
void roster_unref (struct roster *roster);
/* Returns the number of entries that are alive, this one included.  */
size_t roster_count_alive (const struct roster *roster);
/* Returns whether the entry NAME is one of the RELAYS relays of its zone.
   These are the live entries of the zone that rank highest by rendezvous hash,
   so all entries with the same roster agree, and only the entries next in rank
   change when one joins or leaves.  NAME must be in the roster and alive:
   false if it is not in it; one that is not alive is ranked as if it were.  */
bool roster_is_relay (const struct roster *roster, struct str name,
                      size_t relays);

#endif
