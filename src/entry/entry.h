/* Entry daemon: creates and connects all modules of an entry VM in one
   process.

   The main thread is the control thread (store, peers, operators, timers).  A
   second thread handles calls, so that load never delays a heartbeat.

   SIGTERM or SIGINT starts a planned stop.  The entry is removed from look-up
   results at once; it accepts connections until the look-up results that
   callers have cached have expired, closes its listener, waits until the calls
   in progress have ended, and exits.  What it still takes, and when the calls
   that are left get an error response, is in call/stop_limits.h, for a stop of
   `stop.timeout_s' of the settings.  A second signal ends them at once.

     struct settings settings;
     settings_load (path, pool, &settings, faults);
     if (faults_count (faults) == 0)
       status = entry_run (&settings, pool);

   Threads: entry_run is called on the main thread.  */
#ifndef ENTRY_ENTRY_H
#define ENTRY_ENTRY_H

#include "settings/settings.h"

/* Runs an entry until it is stopped.  Returns the process's exit status:
   EXIT_SUCCESS after a stop, EXIT_FAILURE if the entry could not start; the
   reason is logged.  */
int entry_run (const struct settings *settings, apr_pool_t *pool);

#endif
