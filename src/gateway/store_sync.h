/* Follows the platform's store: the operators' configuration (the plan), the
   list of upstreams, evacuated zones, and the keys of the entries.  Upstreams
   and zones go to fleet/fleet.h, entries to gateway/registry.h, and everything
   to this entry's copy of the store (platform/mirror.h).

   The store is listed once at the start.  After that only the changes are
   read, several times within each bound on how long a change may take to be in
   force.  When the store no longer has the history from the last read on, all
   is listed again.  While the store can't be reached, the state that is known
   stays in force.

   In a zone of more than two entries two of them, the readers, read the store,
   and the others get the changes from a reader.  Its response states the age
   of its copy.  An entry that gets no response, or one that is too old, asks
   the other reader, and then reads the store itself.  The load on the store
   therefore does not grow with the number of entries, and the bounds hold when
   a reader is dead, paused or cut off.

   While this entry can't reach the store, it gets listings from other entries'
   copies.

     store_sync = store_sync_create (pool, &desc);
     store_sync_start (store_sync);
     plan = store_sync_plan (store_sync);       NULL until one is known
     store_sync_destroy (store_sync);

   Units: microseconds.  Threads: the event loop's thread only.  Errors: failed
   reads are logged and repeated; documents that can't be read are logged,
   counted, and not used.  */
#ifndef GATEWAY_STORE_SYNC_H
#define GATEWAY_STORE_SYNC_H

#include "base/log.h"
#include "base/loop.h"
#include "config/store.h"
#include "gateway/registry.h"
#include "plan/plan.h"

struct store_sync_desc
{
  struct loop *loop;
  struct store *store;
  const struct gateway_settings *settings;
  struct counters *counters;
  /* What changes are applied to.  */
  struct fleet *fleet;
  struct registry *registry;
  struct platform_mirror *mirror;
  /* Returns the interface to another entry's copy of the store, or NULL;
     called each time that a listing is needed from one.  */
  struct store *(*next_peer_store) (void *user_data);
  /* Returns the interface to the copy of the reader NUMBER (below
     REGISTRY_READERS), or NULL if this entry reads the store itself.  */
  struct store *(*reader_store) (void *user_data, size_t number);
  /* Called after changes were applied.  */
  void (*on_changed) (void *user_data);
  void *user_data;
};

struct store_sync;

/* Creates the module in POOL; it reads nothing yet.  DESC is copied.  */
struct store_sync *store_sync_create (apr_pool_t *pool,
                                      const struct store_sync_desc *desc);
/* Stops reading and gives up the plan; the calls in progress must have been
   cancelled.  STORE_SYNC may be NULL.  */
void store_sync_destroy (struct store_sync *store_sync);
/* Begins to read, and never stops until store_sync_destroy.  */
void store_sync_start (struct store_sync *store_sync);
/* Returns the plan in force, or NULL if none is known yet.  Reference it with
   plan_ref to keep it.  */
struct plan *store_sync_plan (const struct store_sync *store_sync);
/* Returns the age of what is known of the store: the time since the latest
   moment at which the store is known to have held just that, or since the
   start before the first read.  */
apr_time_t store_sync_age (const struct store_sync *store_sync,
                           apr_time_t now);

#endif
