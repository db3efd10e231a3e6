/* The entry daemon: all parts of one entry VM in one process.

   The main thread is the control thread (store, peers, operators, timers);
   one more thread carries calls, so that load never delays a heartbeat.

   SIGTERM or SIGINT starts a planned stop: the entry leaves look-up answers
   at once, serves on until cached answers have run out, closes its listener,
   lets calls in progress end, and exits.  A second signal exits at once.  */
#ifndef ENTRY_ENTRY_H
#define ENTRY_ENTRY_H

#include "settings/settings.h"

/* Runs until stopped; returns the exit status.  */
int entry_run (const struct settings *settings, apr_pool_t *pool);

#endif
