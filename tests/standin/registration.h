/* Registry entry of a stand-in upstream in the metadata store, under a lease.

   Call order: registration_start; registration_leave once, on the signal to
   stop; ON_LEFT is then called when the upstream may stop serving.

   registration_start opens a lease and writes the entry; each heartbeat renews
   the lease and writes the entry again, or opens a new lease if the store has
   ended the old one.  registration_leave writes the entry with the state
   `draining', or, with `--quiet yes', removes it without that announcement.
   Once the store has confirmed a write after that, the upstream serves for a
   grace period of 3.5 s, since entries that haven't read the change yet still
   send requests, and then ON_LEFT is called.

   Threads: the loop's thread only.  */
#ifndef REGISTRATION_H
#define REGISTRATION_H

#include "base/loop.h"

/* Reads the options --store, --service, --zone, --advertise, --id, --slots,
   --cold-ms and --quiet, and opens the lease, --register-after milliseconds
   later if that is given.  Without --store nothing is registered.  */
void registration_start (apr_pool_t *pool, struct loop *loop, int argc,
                         char **argv, void (*on_left) (void));
/* Announces in the store that the upstream leaves; ON_LEFT follows.  Without a
   store calls ON_LEFT at once.  */
void registration_leave (void);

#endif
