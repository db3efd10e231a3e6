/* Types and functions that the files of the module share (internal to it).

     quota.c    tenants, members, the public functions
     issuer.c   the bucket of who grants tokens: a root, or a leaf on its own
     leaf.c     tokens and waiting requests of this entry
     hub.c      shares of others, tokens kept for the region
     message.c  text of messages and replies  */
#ifndef QUOTA_INTERNAL_H
#define QUOTA_INTERNAL_H

#include "quota/quota.h"

#include <apr_hash.h>
#include <apr_tables.h>

enum
{
  QUOTA_HUBS_MAX = 128,  /* two in each of 64 regions */
  QUOTA_ITEMS_MAX = 256, /* tenants named in a message */
  QUOTA_SHARE = 100,     /* a whole base share */
  /* Of an entry that may not see all others yet.  Twice as much is not more
     than its share, so what it delegated needs no time to come back.  */
  QUOTA_JOINING_SHARE = 25,
  /* An entry that starts reads the store at once and again within this time,
     in which the others that start with it have written their keys.  */
  QUOTA_JOINING_MS = 2000,
  QUOTA_PERIOD_MS = 250,   /* between messages without a want */
  QUOTA_LEASE_MS = 700,    /* of a delegation, from its receipt */
  QUOTA_RECLAIM_MS = 1100, /* from its sending: the lease and the timeout */
  QUOTA_MAX_WAIT_MS = 300, /* longest wait of a request: two round trips to
                              a root in another region */
  QUOTA_PROBE_MS = 1000,   /* between messages to a hub that failed */
  QUOTA_USED_S = 5,        /* a hub keeps tokens for tenants that were wanted
                              in this time */
  QUOTA_PAUSE_MS = 300,    /* between ticks: the process was paused */
  QUOTA_MIN_HINT_MS = 20,  /* between two wants of a tenant */
  QUOTA_EMPTY_MS = 100,    /* the same while the quota is used up */
  QUOTA_MAX_HINT_MS = 10000,
  /* Entries that are cut off go on with the share that they had.  The others
     count them for this long, a minute or less of reduced quotas after many
     entries have ended.  */
  QUOTA_ENTRIES_KEPT_S = 120
};

/* The bucket of a tenant at an entry that grants its tokens.  */
struct issuer
{
  double tokens;
  double unmet;     /* wants that were not met lately */
  apr_time_t at;    /* of `tokens' and `unmet'; 0: it doesn't issue */
  apr_time_t ended; /* when it issued last, if it doesn't any more */
};

/* A request that waits for a token.  */
struct waiter
{
  void *request;
  apr_time_t since;
  struct waiter *next;
};

struct quota_tenant
{
  uint64_t hash; /* of the name */
  struct str name;
  double rate; /* 0: no limit */
  double burst;
  bool is_set; /* by the configuration that is being applied */
  /* As a leaf.  */
  int64_t tokens;
  int64_t debt;
  int64_t surplus; /* tokens to be given back */
  struct waiter *first_waiter;
  struct waiter *last_waiter;
  int64_t waiting;
  int64_t announced;      /* of them, to the hub */
  double grants;          /* tokens received lately, decaying */
  apr_time_t grants_at;   /* of `grants' */
  apr_time_t ask_at;      /* not before */
  apr_time_t empty_until; /* the quota is used up: only as many wait as tokens
                             can be expected for */
  apr_time_t fits_after;  /* of the latest reply that said so: a Retry-After */
  struct issuer own;      /* on its own share */
  /* As a hub.  */
  int64_t cache;
  int64_t shortage; /* wants of leaves that the cache didn't meet */
  int64_t hub_surplus;
  apr_time_t used_at;        /* a leaf wanted tokens */
  apr_time_t granted_at;     /* the root granted some */
  apr_time_t ask_root_at;    /* not before, since it had none */
  apr_time_t source_fits_at; /* when it expects to have some */
  /* As the root.  */
  struct issuer issuer;
};

/* What an entry wants of a tenant.  */
struct quota_want
{
  uint64_t tenant;
  int64_t need;    /* for requests that wait */
  int64_t more;    /* to keep at hand */
  int64_t surplus; /* given back */
};

/* The answer to it.  */
struct quota_grant
{
  uint64_t tenant;
  int64_t tokens;
  int64_t hint_ms; /* if NEED isn't met: when more can be expected */
};

struct quota_message
{
  uint64_t sender; /* hash of its name */
  int64_t share;   /* that it delegates, in hundredths of a base share */
  uint64_t hubs;   /* hash of the hubs that it knows; 0: it is a leaf */
  struct quota_want wants[QUOTA_ITEMS_MAX];
  size_t count;
};

struct quota_reply
{
  struct quota_grant grants[QUOTA_ITEMS_MAX];
  size_t count;
};

/* Another entry to which this one sends, as a leaf to its hub or as a hub to
   another hub.  */
struct quota_peer
{
  struct str address;
  uint64_t hash; /* of the address */
  bool is_known; /* in the latest members */
  bool is_down;  /* it failed, and has not replied since */
  bool in_call;
  apr_time_t sent_at; /* the latest message */
  int64_t failures;   /* in a row */
  apr_time_t rtt;     /* of the latest call; 0: none yet */
  struct quota_want sent[QUOTA_ITEMS_MAX]; /* the wants in the call */
  size_t sent_count;
};

/* Shares that another entry delegates to this one.  */
struct delegation
{
  uint64_t sender;
  int64_t share;
  bool is_leaf;
  apr_time_t until;
};

struct quota
{
  struct quota_desc desc;
  apr_pool_t *pool;
  apr_hash_t *by_hash;         /* struct quota_tenant by its hash */
  apr_array_header_t *tenants; /* struct quota_tenant * */
  bool is_limited;             /* some tenant has a limit */
  apr_time_t created_at;
  apr_time_t ticked_at;
  apr_time_t ignore_delegations_until; /* they may be older than their
                                          receipt */
  size_t entries;                      /* the most in QUOTA_ENTRIES_KEPT_S */
  size_t entries_peaks[2]; /* in its current half and in the one before */
  apr_time_t peak_began_at;
  bool is_hub;
  uint64_t own_hash;  /* of the own address */
  uint64_t hubs_hash; /* of the hubs in use, this one included */
  size_t hub_count;   /* in the latest members, this one included */
  struct quota_peer *peers[QUOTA_HUBS_MAX]; /* never freed */
  size_t peer_count;
  struct quota_peer *region_hubs[2];
  size_t region_hub_count;
  struct quota_peer *hub;  /* to which this leaf delegates; NULL: none */
  apr_time_t delegated_at; /* the latest message that carried a share */
  apr_time_t delegate_after;
  apr_hash_t *delegations; /* struct delegation by sender */
  int64_t region_share;    /* of this entry and the leaves */
  int64_t pooled_share;    /* and of other hubs */
  uint64_t random;
  struct quota_stats stats;
};

/* issuer.c  */

/* The parts of the unused tokens that may be at hand, see quota.h.  */
int64_t issuer_leaf_max (const struct quota *quota,
                         const struct quota_tenant *tenant);
int64_t issuer_hub_max (const struct quota *quota,
                        const struct quota_tenant *tenant);
/* The most tokens that are unused anywhere.  */
int64_t issuer_standing_max (const struct quota *quota,
                             const struct quota_tenant *tenant);
/* Grants up to NEED and, if enough is left, MORE tokens out of ISSUER, which
   holds SHARE.  Sets HINT_MS if NEED isn't met.  */
int64_t issuer_grant (struct quota *quota, const struct quota_tenant *tenant,
                      struct issuer *issuer, int64_t share, int64_t need,
                      int64_t more, apr_time_t now, int64_t *hint_ms);
/* Adds to ISSUER what it earned with SHARE until NOW.  */
void issuer_refill (struct quota *quota, const struct quota_tenant *tenant,
                    struct issuer *issuer, int64_t share, apr_time_t now);
/* ISSUER issues no more.  */
void issuer_end (struct issuer *issuer, apr_time_t now);

/* leaf.c  */

/* Returns the tenant's request that waits longest, without its wait; NULL if
   there is none.  */
void *leaf_pop_waiter (struct quota_tenant *tenant);
/* Hands COUNT tokens to what waits, and keeps the rest.  */
void leaf_receive (struct quota *quota, struct quota_tenant *tenant,
                   int64_t count, apr_time_t now);
/* What this entry wants of TENANT, with `need' 0 if that must wait.  */
struct quota_want leaf_want (struct quota *quota, struct quota_tenant *tenant,
                             apr_time_t now);
/* Handles that the need was not met and more can be expected in HINT_MS.  */
void leaf_handle_shortage (struct quota_tenant *tenant, int64_t hint_ms,
                           apr_time_t now);
/* Returns how many requests may wait while the quota is used up: as many as
   tokens come within the longest wait.  */
int64_t leaf_waiting_max (const struct quota_tenant *tenant, apr_time_t now);
/* Refuses what has waited too long, or would wait in vain.  */
void leaf_end_waits (struct quota *quota, struct quota_tenant *tenant,
                     apr_time_t now);
/* Gets a token for a request that nothing is waiting before, without a
   message; returns whether there is one now.  */
bool leaf_try_locally (struct quota *quota, struct quota_tenant *tenant,
                       apr_time_t now);
/* Asks the own hub, the other one, or the own share, for what is wanted.  */
void leaf_pump (struct quota *quota, apr_time_t now);
/* What this entry delegated goes to another hub now, or back to it: its share
   rests until the former delegation has ended.  */
void leaf_reclaim (struct quota *quota, apr_time_t now);
/* Returns the share that this entry itself may use or delegate.  */
int64_t leaf_share (const struct quota *quota, apr_time_t now);

/* hub.c  */

/* Returns whether this hub is the root of TENANT, by the hubs that it reaches;
   otherwise sets ROOT.  */
bool hub_is_root (const struct quota *quota, const struct quota_tenant *tenant,
                  struct quota_peer **root);
/* Meets WANT of a leaf out of what is at hand or, as the root, of the bucket.
   Returns how many tokens, and sets HINT_MS if the need isn't met.  */
int64_t hub_grant (struct quota *quota, struct quota_tenant *tenant,
                   const struct quota_want *want, apr_time_t now,
                   int64_t *hint_ms);
/* The same for a want of another hub.  */
int64_t hub_grant_to_hub (struct quota *quota, struct quota_tenant *tenant,
                          const struct quota_want *want, apr_time_t now,
                          int64_t *hint_ms);
/* Records the delegation of MESSAGE.  */
void hub_accept (struct quota *quota, const struct quota_message *message,
                 apr_time_t now);
/* Sums up the delegations that hold at NOW, and ends the buckets of tenants of
   which this entry is not the root.  */
void hub_update (struct quota *quota, apr_time_t now);
/* Sends to the roots what is due.  */
void hub_pump (struct quota *quota, apr_time_t now);
/* Handles the GRANTS of ROOT, NULL if it failed.  */
void hub_handle_reply (struct quota *quota, struct quota_peer *root,
                       const struct quota_reply *reply, apr_time_t now);
/* Computes `hubs_hash' anew.  If it changes, the shares that were delegated
   before are not used until they are back.  */
void hub_check_members (struct quota *quota, apr_time_t now);

/* message.c  */

struct str message_write (const struct quota_message *message,
                          apr_pool_t *pool);
bool message_read (struct str text, struct quota_message *message);
struct str reply_write (const struct quota_reply *reply, apr_pool_t *pool);
bool reply_read (struct str text, struct quota_reply *reply);

/* quota.c  */

/* Sends MESSAGE to PEER.  */
void quota_send (struct quota *quota, struct quota_peer *peer,
                 const struct quota_message *message, int64_t timeout_ms,
                 apr_time_t now);
struct quota_tenant *quota_find (const struct quota *quota, uint64_t hash);

#endif
