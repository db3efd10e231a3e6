/* The registry's state, and what its files share (internal to the module):
   registry.c keeps the records of all entries, registry_key.c the lease and
   the key of this entry, registry_readers.c determines which entries read the
   store.  */
#ifndef GATEWAY_REGISTRY_INTERNAL_H
#define GATEWAY_REGISTRY_INTERNAL_H

#include "fleet/departed.h"
#include "gateway/registry.h"

enum
{
  VANISHED_MAX = 1024 /* entries that vanished and still count; of more, those
                         that vanished first are forgotten */
};

/* An entry that vanished a short while ago, and may still be there.  */
struct vanished
{
  uint64_t hash;        /* of its name */
  uint64_t region_hash; /* of the name of its region */
  apr_time_t at;
};

struct registry
{
  struct registry_desc desc;
  apr_pool_t *pool;
  apr_hash_t *entries;          /* struct registry_entry by name */
  struct registry_entry **list; /* the same, in no order */
  size_t count;
  size_t capacity;      /* of `list' */
  size_t expired_count; /* entries in their grace period */
  size_t next_place;    /* where registry_find_in_region begins */
  uint64_t version;     /* of the set of entries */
  struct timer timer;
  int64_t lease;         /* 0: none is open */
  int64_t lease_epoch;   /* of the store, in which LEASE is this entry's */
  bool is_published;     /* the key is written as it should be */
  bool has_changed;      /* the key must be written again */
  bool call_in_progress; /* to the store; at most one */
  bool leaving;
  int64_t started; /* as in the key */
  int64_t writes;
  int64_t epoch; /* of the store; 0: it was not restored so far */
  bool is_restoring;
  bool own_key_listed;       /* in the restored store, as written last */
  struct departed *departed; /* entries that left, by name */
  size_t held_count;
  struct vanished vanished[VANISHED_MAX]; /* in no order */
  size_t vanished_count;
  size_t next_peer; /* of registry_next_peer_address */
};

/* registry.c  */

uint64_t registry_hash (struct str name);
bool registry_is_self (const struct registry *registry,
                       const struct registry_entry *entry);

/* registry_key.c  */

/* Returns the capacity that the key states.  */
double registry_own_capacity (const struct gateway_settings *settings);
/* The store has removed this entry's key, which is written again.  */
void registry_key_removed (struct registry *registry);
/* The listing of a restored store has been applied.  Opens a lease and writes
   the key again, unless it is listed as it was written last.  */
void registry_key_restored (struct registry *registry);

#endif
