/* Follows the platform's store: the operators' configuration (the plan), the
   list of upstreams, evacuated zones, and the keys of the entries.  Upstreams
   and zones go to fleet/fleet.h, entries to gateway/registry.h, and everything
   to this entry's copy of the store (platform/mirror.h).

   The store is listed once at the start; if it doesn't respond, another
   entry's copy is, however old it is: what others serve by is better than
   nothing, and the changes since its index follow when the store is back.
   Until they say what they are, all upstreams of an old one count as cold.
   After that only the changes are read, several times within each bound on how
   long a change may take to be in force, from the first of these sources that
   responds in time:

   - In a zone of more than two entries two of them, the readers, read the
     store, and the others get the changes from a reader.  The load on the
   store therefore does not grow with the number of entries.
   - The store itself.
   - Any other entry, of the own zone first.

   Other entries respond from their copies, with the age of these, which counts
   on from the moment at which one of them last read the store; a copy that is
   too old is not relied on.  An entry that can't reach the store is thus as
   fresh as the others, and the bounds hold when a reader is dead, paused or
   cut off, or when the store turns some entries away.  A source that failed is
   not asked again for a while.  What was known stays in force while no source
   responds.  Of each key, the write with the highest index counts, whatever
   order the responses come in.

   A store that comes back from an older copy gives indexes out again, in a new
   epoch.  What is known is ordered by the epoch, then by the index: a response
   of an earlier epoch, or with changes since an index of another one, is not
   used, and a new epoch begins with a listing.  The configuration keeps its
   own order by version.

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
  /* Returns the interface to another entry's copy of the store, a different
     one each time, or NULL.  */
  struct store *(*next_peer_store) (void *user_data);
  /* Returns the interface to the copy of the reader NUMBER (below
     REGISTRY_READERS), or NULL if this entry reads the store itself.  */
  struct store *(*reader_store) (void *user_data, size_t number);
  /* Called after changes were applied.  */
  void (*on_changed) (void *user_data);
  /* Called when store_sync_is_catching_up has become false.  */
  void (*on_caught_up) (void *user_data);
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
/* The process was paused until NOW: what is known may be older than any bound,
   so it is read again at once.  */
void store_sync_catch_up (struct store_sync *store_sync, apr_time_t now);
/* Returns whether the process was paused, and no source has said since what
   has changed; false once all sources failed, as in an outage, and after 3 s
   at the latest.  */
bool store_sync_is_catching_up (const struct store_sync *store_sync);
/* Returns the plan in force, or NULL if none is known yet.  Reference it with
   plan_ref to keep it.  */
struct plan *store_sync_plan (const struct store_sync *store_sync);
/* Returns the age of what is known of the store: the time since the latest
   moment at which the store is known to have held just that; more than any
   bound before the first read.  */
apr_time_t store_sync_age (const struct store_sync *store_sync,
                           apr_time_t now);
/* Returns whether a listing is being applied, in which everything known before
   the start is new.  */
bool store_sync_is_listing (const struct store_sync *store_sync);

#endif
