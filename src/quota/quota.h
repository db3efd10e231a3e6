/* Quotas of tenants that hold over all entries together, without an entry that
   all depend on.

   A quota is a rate r and a burst b.  Each of N entries has a base share of
   it, 1/N.  Entries delegate their base shares to one that grants tokens, and
   whoever grants tokens of a tenant refills its bucket at r times the shares
   that it holds.  A share is at one place at a time, so entries that grant at
   the same time, after a partition or with different views of who is there,
   never issue more than r together.  Each request takes a token.

   - Leaf: each entry.  It takes tokens for its requests and asks its hub for
     more.
   - Hub: two entries of each region.  They pool the shares of its entries and
     keep a few tokens for them.
   - Root of a tenant: the hub that ranks first by hash.  It grants the tokens.

   A hub that reaches no other one is the root of what it holds, and a leaf
   that reaches no hub issues tokens to itself from its own share.  A
   delegation lasts 0.7 s from the last message that carried it, and its sender
   uses or delegates the share again only 1.1 s after it sent that message.

     quota = quota_create (pool, &desc);
     quota_set_limits (quota, limits, count, now);
     quota_set_members (quota, &members, now);
     quota_tick (quota, now);                    every QUOTA_TICK_MS
     switch (quota_take (quota, STR ("bakery"), request, now, &retry_after))
       ...
     quota_give_back (quota, STR ("bakery"), now);   if no upstream ran it

   Messages go out through the function in the description, one at a time to
   each address; the receiver passes them to quota_handle and sends the result
   back, and the sender passes that to quota_handle_reply.

   Unused tokens, over all entries, are bounded by b + 0.7 m, where m is what
   the window allows beyond r W + b.  So r W + b + 0.8 m is the most that is
   taken in a window; the rest is for shares that are counted twice for a
   moment, since views differ.  An entry that is cut off goes on with the share
   that it had, and the others count it for one to two minutes; a bound isn't
   kept if many are cut off for longer.

   Does no I/O and reads no clock.  Units: microseconds, requests per second.
   Threads: one thread.  Errors: a malformed message changes nothing and is
   counted.  */
#ifndef QUOTA_QUOTA_H
#define QUOTA_QUOTA_H

#include "base/str.h"

#include <apr_time.h>
#include <stdbool.h>
#include <stdint.h>

enum
{
  QUOTA_TICK_MS = 50,
  /* Timeouts of a message to the hub of the own region, and to another hub.
     Round trips take 3 ms and 110 ms.  */
  QUOTA_LEAF_TIMEOUT_MS = 200,
  QUOTA_HUB_TIMEOUT_MS = 400
};

enum quota_verdict
{
  QUOTA_TAKEN = 1,
  QUOTA_WAIT,   /* `granted' or `refused' follows, at most 0.3 s later */
  QUOTA_REFUSED /* the quota is used up */
};

struct quota;

struct quota_desc
{
  struct str name;    /* of this entry; unique, without blanks */
  struct str address; /* at which it gets messages; empty: it is no hub */
  /* The window in which the bound holds, and what it allows beyond rate and
     burst: a fraction of them, and requests.  */
  apr_time_t window;
  double overage;
  double slack;
  uint64_t seed;
  /* Sends TEXT to the entry at ADDRESS.  */
  void (*send) (void *user_data, struct str address, struct str text,
                int64_t timeout_ms);
  /* End the wait of WAITER.  It may fit after RETRY_AFTER.  */
  void (*granted) (void *user_data, void *waiter);
  void (*refused) (void *user_data, void *waiter, apr_time_t retry_after);
  void *user_data;
};

/* The quota of one tenant.  */
struct quota_limit
{
  struct str name;
  double rate; /* 0: no limit */
  double burst;
};

/* Members, as this entry knows them.  */
struct quota_members
{
  size_t entries; /* of all regions, this one and those that vanished lately
                     included */
  bool is_hub;    /* this entry is one */
  /* Otherwise, addresses of the hubs of its region, the preferred one
     first.  */
  struct str region_hubs[2];
  size_t region_hub_count;
  /* If it is one, addresses of all others.  */
  const struct str *other_hubs;
  size_t other_hub_count;
};

/* Counts since the start.  */
struct quota_stats
{
  int64_t taken;
  int64_t waited;
  int64_t refused;
  int64_t self_issued; /* taken from the own share, without a hub */
  int64_t messages;
  int64_t failed_messages;
  int64_t malformed_messages;
};

/* Creates an object without tenants in POOL.  DESC is copied.  */
struct quota *quota_create (apr_pool_t *pool, const struct quota_desc *desc,
                            apr_time_t now);
/* Frees what isn't in the pool; no wait ends any more.  NULL is ignored.  */
void quota_destroy (struct quota *quota);
/* Sets the quotas of all tenants, as in the configuration; the others have
   none.  LIMITS is copied.  */
void quota_set_limits (struct quota *quota, const struct quota_limit *limits,
                       size_t count, apr_time_t now);
/* Sets the members; MEMBERS is copied.  */
void quota_set_members (struct quota *quota,
                        const struct quota_members *members, apr_time_t now);
/* Takes a token of the tenant NAME for a request.  With QUOTA_WAIT, WAITER is
   passed to `granted' or `refused' later; with QUOTA_REFUSED, RETRY_AFTER is
   set.  */
enum quota_verdict quota_take (struct quota *quota, struct str name,
                               void *waiter, apr_time_t now,
                               apr_time_t *retry_after);
/* WAITER waits no longer for a token of NAME; no effect if it doesn't wait. */
void quota_cancel_wait (struct quota *quota, struct str name, void *waiter);
/* Returns a token that was taken or granted, since no upstream ran the
   request.  */
void quota_give_back (struct quota *quota, struct str name, apr_time_t now);
/* Takes a token for a repeat of a request, which is not refused for it: one
   that isn't there is a debt.  */
void quota_charge (struct quota *quota, struct str name, apr_time_t now);
/* Sends what is due, and ends waits that took too long.  */
void quota_tick (struct quota *quota, apr_time_t now);
/* Handles MESSAGE of another entry; returns the reply, in POOL.  */
struct str quota_handle (struct quota *quota, struct str message,
                         apr_time_t now, apr_pool_t *pool);
/* Handles the REPLY of the entry at ADDRESS, empty if there was none.  */
void quota_handle_reply (struct quota *quota, struct str address,
                         struct str reply, apr_time_t now);
/* Returns the counts.  */
struct quota_stats quota_stats (const struct quota *quota);

#endif
