/* The gateway: an entry that runs on the platform's VMs.

   One process, one thread, one event loop.  It takes callers' requests and
   carries them to upstreams, tells callers which entries to use, and follows
   the platform's store, which holds the operators' configuration, the list of
   upstreams and the entries themselves.  It keeps nothing that must last.

     status = gateway_run ("/etc/citroncleat/boot.toml", pool);

   SIGTERM stops it gracefully, SIGHUP makes it read its settings again.  */
#ifndef GATEWAY_GATEWAY_H
#define GATEWAY_GATEWAY_H

#include <apr_pools.h>

/* Returns the exit status of the process.  */
int gateway_run (const char *settings_path, apr_pool_t *pool);

#endif
