/* The entries as one entry knows them: a plain, immutable list.

   The control thread makes a new roster at each change and hands it to the
   data worker, which answers look-ups from it.

   Threads: read-only after creation; reference counted.  */
#ifndef PEER_ROSTER_H
#define PEER_ROSTER_H

#include "peer/message.h"

#include <apr_time.h>

struct roster_member
{
  struct beat beat;
  bool is_self;
  bool alive; /* heard within the silence limit */
  apr_time_t last_heard_at;
};

/* Members in order of name.  */
struct roster
{
  struct roster_member *members;
  size_t count;
  apr_pool_t *pool;
  int references;
};

/* Copies MEMBERS and sorts them by name.  */
struct roster *roster_create (const struct roster_member *members,
                              size_t count);
struct roster *roster_ref (struct roster *roster);
void roster_unref (struct roster *roster);
/* Returns the members that are alive.  */
size_t roster_alive (const struct roster *roster);
/* Returns whether the entry NAME is one of the RELAYS relays of its zone:
   those of its live members that rank highest by rendezvous hash.  */
bool roster_is_relay (const struct roster *roster, struct str name,
                      size_t relays);

#endif
