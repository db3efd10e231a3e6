/* State of store_sync and functions that its files share (internal to the
   module).  */
#ifndef GATEWAY_STORE_SYNC_INTERNAL_H
#define GATEWAY_STORE_SYNC_INTERNAL_H

#include "fleet/outage.h"
#include "gateway/store_sync.h"

/* A call to a reader.  Each reader has one of these.  */
struct reader_query
{
  struct store_sync *store_sync;
  size_t number; /* of the reader */
  apr_time_t asked_at;
  bool in_progress;
  bool timed_out; /* still in progress, but not waited for */
};

struct store_sync
{
  struct store_sync_desc desc;
  struct plan *plan;
  struct timer read_timer;
  struct timer expiry_timer;
  int64_t index; /* changes are known up to here; 0: nothing listed yet */
  apr_time_t peer_asked_at;
  apr_time_t read_started_at; /* the latest read of the store */
  apr_time_t current_as_of;   /* latest time at which the store is known to
                                 have held what is known here */
  struct reader_query reader_queries[REGISTRY_READERS];
  size_t preferred_reader; /* the one that is asked first */
  bool readers_bypassed;   /* both failed, and none has responded since */
  apr_time_t bypass_readers_until;
  struct timer reader_timer; /* of the query that is waited for */
  struct outage outage;      /* of the store */
  struct counter *version_gauge;
  struct counter *problem_gauge;
  struct counter *unreadable_items;
};

/* store_sync.c  */

/* Reads the store itself: a listing, or the changes since `index'.  */
void store_sync_read (struct store_sync *store_sync);
/* Schedules the next read, of a reader or of the store, in WAIT_MS.  */
void store_sync_schedule_read (struct store_sync *store_sync, int64_t wait_ms);
/* Applies CHANGES.  MAY_BE_EXPIRED: keys that they remove may be missing only
   since their leases ran out while the store was out of reach.  */
void store_sync_apply_changes (struct store_sync *store_sync,
                               const struct store_items_response *changes,
                               bool may_be_expired, apr_time_t now);

/* store_sync_readers.c: readers, which read the store for this entry.  */

/* Asks a reader for changes; returns false if this entry has to read the store
   itself.  */
bool store_sync_query_readers (struct store_sync *store_sync, apr_time_t now);

#endif
