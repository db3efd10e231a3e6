/* Entry daemon: creates and connects all modules of an entry VM in one
   process.

   The main thread is the control thread (store, peers, operators, timers).  A
   second thread handles calls, so that load never delays a heartbeat.

   SIGTERM or SIGINT starts a planned stop.  The entry is removed from lookup
   responses at once; it accepts connections until the lookup responses that
   callers have cached have expired, closes its listener, waits until the calls
   in progress have ended or the time limit for stopping has passed, and exits.
   A second signal makes it exit at once.  */
#ifndef ENTRY_ENTRY_H
#define ENTRY_ENTRY_H

#include "settings/settings.h"

/* Runs an entry until it is stopped.  Returns the process's exit status.  */
int entry_run (const struct settings *settings, apr_pool_t *pool);

#endif
