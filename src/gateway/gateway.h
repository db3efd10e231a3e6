/* The gateway: an entry that runs on the platform's VMs.

   One process with one thread and one event loop.  It forwards callers'
   requests to upstreams, tells callers which entries to use, and follows the
   platform's store, which holds the operators' configuration, the list of
   upstreams and the keys of the entries.  It has no persistent state.

     status = gateway_run ("/etc/citroncleat/boot.toml", pool);

   SIGTERM and SIGINT stop it gracefully.  SIGHUP, or a change of the settings
   file, makes it read its settings again; an invalid file changes nothing.  */
#ifndef GATEWAY_GATEWAY_H
#define GATEWAY_GATEWAY_H

#include <apr_pools.h>

/* Runs an entry with the settings in the file SETTINGS_PATH until it is
   stopped by a signal.  Returns the exit status of the process: EXIT_SUCCESS
   after a stop, and EXIT_FAILURE if the settings are invalid or the entry
   could not start, with the reason on standard error or in the log.  The file
   is JSON with comments, whatever its name.  Called once in a process, by
   main.  */
int gateway_run (const char *settings_path, apr_pool_t *pool);

#endif
