/* State of store_sync and functions that its files share (internal to the
   module).  */
#ifndef GATEWAY_STORE_SYNC_INTERNAL_H
#define GATEWAY_STORE_SYNC_INTERNAL_H

#include "fleet/outage.h"
#include "gateway/store_sync.h"

/* Where changes are read from.  A round asks them in the order in which
   store_sync_sources.c lists them, until one responds.  */
enum sync_source
{
  SOURCE_READER, /* NUMBER 0 and 1: entries that read the store for this one */
  SOURCE_STORE = REGISTRY_READERS,
  SOURCE_PEER, /* any other entry, a different one each time */
  SOURCE_COUNT
};

/* A call to a source.  Each source has one of these.  */
struct sync_query
{
  struct store_sync *store_sync;
  int source;
  struct store *store; /* that was asked */
  apr_time_t asked_at;
  apr_time_t held_until; /* the source failed, and isn't asked before */
  bool in_progress;
  bool timed_out; /* still in progress, but not waited for */
  bool is_listing;
  int64_t epoch;  /* that was known when it was asked */
  int full_count; /* full responses in a row */
};

struct store_sync
{
  struct store_sync_desc desc;
  struct plan *plan;
  struct timer round_timer; /* begins the next round */
  struct timer wait_timer;  /* ends the wait for a source */
  struct timer expiry_timer;
  apr_time_t expiry_checked_at; /* 0: not yet */
  int64_t index; /* changes are known up to here; 0: nothing listed yet */
  int64_t epoch; /* of the store, to which `index' belongs; 0: not stated */
  /* The fleet's revisions grow over all epochs: those of an epoch are its
     indexes, from here.  */
  int64_t revision_base;
  int64_t revision;         /* the latest one */
  apr_time_t current_as_of; /* latest time at which the store is known to have
                               held what is known here; 0: never yet */
  struct sync_query queries[SOURCE_COUNT];
  apr_time_t paused_until; /* the catch-up goes on; 0: it doesn't */
  bool is_round_over;      /* the next one is scheduled */
  int preferred_reader;    /* the one that is asked first */
  int round_position;      /* of the source that is waited for */
  int first_peers; /* asked in this round for the first listing, in vain */
  bool is_listing; /* a listing is being applied */
  /* The history after a stale listing was gone, so the next one has to be of
     its moment.  */
  bool needs_fresh_listing;
  struct outage outage; /* of the store, as this entry sees it */
  struct counter *version_gauge;
  struct counter *problem_gauge;
  /* Items that could not be used.  */
  struct counter *unreadable_plans;
  struct counter *unreadable_upstreams;
  struct counter *unreadable_entries;
  struct counter *unreadable_evacuations;
  struct counter *answers[SOURCE_COUNT];
  struct counter *outdated_answers;
  struct counter *epoch_gauge;
};

/* store_sync.c  */

/* Applies what SOURCE responded.  MAY_BE_EXPIRED: keys that are removed may be
   missing only since their leases ran out while the store was out of reach. */
void store_sync_apply_changes (struct store_sync *store_sync,
                               const struct store_items_response *changes,
                               bool may_be_expired, apr_time_t now);
void store_sync_apply_listing (struct store_sync *store_sync,
                               const struct store_items_response *listing,
                               const char *source, bool may_be_expired,
                               apr_time_t now);

/* store_sync_sources.c: the order in which sources are asked.  */

/* Begins a round now; each round schedules the next one.  */
void store_sync_begin_round (struct store_sync *store_sync, apr_time_t now);
/* Begins a round now unless one is in progress.  */
void store_sync_hurry_round (struct store_sync *store_sync, apr_time_t now);
/* What is known is current again, or no source can say what has changed.  */
void store_sync_end_catch_up (struct store_sync *store_sync);
/* Returns the age up to which the copy of another entry is used.  */
apr_time_t store_sync_max_copy_age (const struct store_sync *store_sync);

#endif
