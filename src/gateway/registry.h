/* Registry of the deployment's entries, as known from their keys in the store.

   Each entry writes one key under a lease and renews the lease.  The key holds
   the entry's addresses, its zone, its capacity, and whether it is leaving
   (stopping gracefully).  This module maintains the key of this entry, and
   a record of every entry from the keys that were read:

     registry_create (pool, &desc);
     registry_start (registry);                opens the lease, writes the key
     registry_put (registry, name, text);      for every key that is read
     registry_remove_expired (registry, now);  several times a second
     registry_announce_leaving (registry);     no more callers are sent here
     registry_destroy (registry);

   From these records it determines which entries take callers, which ones read
   the store for others, and how the few requests that a cold upstream can
   serve are shared.  All entries compute the same result from the same keys,
   without messages among them.

   A store that comes back from an older copy lists keys that are older than
   those known here, while it has lost leases and later keys.  Between
   registry_begin_restore and registry_end_restore its listing is applied: an
   older key of the same process changes nothing, an entry that had left takes
   no callers until it writes its key again or its lease is seen to be renewed,
   and this entry opens a lease and writes its key again unless it is listed as
   it was written last.

   The record of an entry whose key vanished while the store may have been out
   of reach of that entry is kept for a grace period of 2.5 s, since the entry
   writes its key again once it reaches the store.

   Units: microseconds.  Threads: the event loop's thread only.  Errors: failed
   calls to the store are repeated until they succeed.  A key that can't be
   parsed is logged and changes nothing; in a complete listing it counts as
   missing.  */
#ifndef GATEWAY_REGISTRY_H
#define GATEWAY_REGISTRY_H

#include "base/log.h"
#include "base/loop.h"
#include "config/store.h"
#include "gateway/settings.h"

#include <apr_hash.h>

enum
{
  /* Entries of a region that read the store for the others; with two, one may
     fail.  */
  REGISTRY_READERS = 2
};

/* One entry.  */
struct registry_entry
{
  struct str name;
  struct str caller_address; /* its address for callers */
  struct str peer_address;   /* its address for other entries, where it serves
                                its copy of the store; may be empty */
  struct str zone;
  struct str region;
  double capacity;       /* Mbit/s of its link times its cores; 0: not known */
  bool leaving;          /* it stops gracefully and takes no new callers */
  apr_time_t expired_at; /* when its key vanished, perhaps only since its lease
                            expired; 0: the key exists */
  int64_t started;       /* of its process, Unix milliseconds; 0: not stated */
  int64_t writes;        /* of its key by that process */
  apr_time_t held_until; /* a restored store lists it though it had left; 0: it
                            takes callers */
  uint64_t hash;         /* of the name */
  size_t place;          /* in the registry's list */
  apr_pool_t *pool;
};

struct registry_desc
{
  struct loop *loop;
  struct store *store;
  const struct gateway_settings *settings; /* of this entry */
};

struct registry;

/* Creates a registry without entries, which lives in POOL.  DESC is copied. */
struct registry *registry_create (apr_pool_t *pool,
                                  const struct registry_desc *desc);
/* Makes no further calls to the store; those in progress must have been
   cancelled.  REGISTRY may be NULL.  */
void registry_destroy (struct registry *registry);
/* Opens the lease and writes this entry's key; both are repeated when the
   lease is lost.  */
void registry_start (struct registry *registry);
/* Announces in the key that this entry takes no new callers.  */
void registry_announce_leaving (struct registry *registry);
/* Records the entry NAME from TEXT, the JSON of its key.  Called for every key
   of an entry in a listing, and for every change of one.  Returns false if it
   can't be read, which is logged.  */
bool registry_put (struct registry *registry, struct str name,
                   struct str text);
/* Handles the removal of the key of NAME.  MAY_BE_EXPIRED: perhaps only its
   lease ran out, so the record is kept for the grace period.  */
void registry_remove (struct registry *registry, struct str name,
                      bool may_be_expired, apr_time_t now);
/* The store came back from an older copy, in EPOCH, and its listing follows,
   with the keys that it lacks as removals that may be expired.  */
void registry_begin_restore (struct registry *registry, int64_t epoch);
void registry_end_restore (struct registry *registry);
/* Ends the grace periods that are over.  Not to be called during an
   outage of the store, when no entry can write its key again.  */
void registry_remove_expired (struct registry *registry, apr_time_t now);
/* Returns the number of entries whose records are kept, leaving ones included;
   this one counts once its key was read.  */
size_t registry_count (const struct registry *registry);
/* Returns a number above 0 that differs after each change of which entries
   there are.  */
uint64_t registry_version (const struct registry *registry);
/* Returns the number of entries in REGION that are not leaving.  */
size_t registry_count_in_region (const struct registry *registry,
                                 struct str region);
/* Fills OUT with up to MAX_COUNT entries in REGION (empty: anywhere) that are
   not leaving; returns how many.  If there are more, those follow in turn from
   call to call.  They are valid until the next change.  */
size_t registry_find_in_region (struct registry *registry, struct str region,
                                const struct registry_entry **out,
                                size_t max_count);
/* Returns the address of an entry that reads the store for this one, or an
   empty string if this one reads it itself.  In each region of more than two
   entries two read: the one of largest capacity, and of those in other zones
   again the one of largest capacity, with ties decided by the hash of the
   name; entries that are leaving or have no address for others don't count.
   The others ask one of them, NUMBER 0, and if that fails the other one,
   NUMBER 1.  */
struct str registry_reader_address (const struct registry *registry,
                                    size_t number);
/* Fills OUT with the addresses of up to MAX_COUNT other entries for which
   registry_reader_address returns none: those that read the store, in all
   regions.  Returns how many; they are valid until the next change.  */
size_t registry_reader_addresses (const struct registry *registry,
                                  struct str *out, size_t max_count);
/* Fills OUT with the addresses of up to MAX_COUNT other entries in the region
   of this one.  Returns how many; valid as above.  */
size_t registry_region_addresses (const struct registry *registry,
                                  struct str *out, size_t max_count);
/* Returns the address of another entry that reads the store, in any region, a
   different one each time (round robin); if the keys of all of them are gone,
   that of any other entry whose record is kept; or an empty string.  */
struct str registry_next_peer_address (struct registry *registry);
/* Returns how many entries rank before this one for an upstream, by rendezvous
   hash; those in its region rank before all others.  HASH and REGION are the
   upstream's.  */
size_t registry_rank (const struct registry *registry, uint64_t hash,
                      struct str region);
/* The same, and how many entries there are, with those that vanished in the
   last ten seconds: their leases may only have ended, in an outage of the
   store, while they send to cold upstreams.  */
size_t registry_cold_rank (const struct registry *registry, uint64_t hash,
                           struct str region);
size_t registry_cold_count (const struct registry *registry);
/* Returns the prefix of the entries' keys; what follows it is the name.  */
struct str registry_key_prefix (void);

#endif
