/* State of the share module, shared by its files (internal).

   share.c   pools, groups, peers, and the public functions
   borrow.c  loans that this entry has received from others
   lend.c    loans that this entry has granted to others  */
#ifndef SHARE_INTERNAL_H
#define SHARE_INTERNAL_H

#include "share/share.h"

#include <apr_hash.h>

/* One cap, as this entry sees it.  Its limit is
   base - withheld - lent + borrowed.  */
struct share_pool
{
  struct share_pool *next; /* in the group */
  struct share *share;
  struct pool_group *group;
  enum share_kind kind;
  struct str name;
  int64_t base;     /* the base share */
  int64_t withheld; /* of the base: neither used nor lent yet */
  int64_t used;
  int64_t lent;           /* by granted loans that are not returned */
  int64_t borrowed;       /* by received loans that have not expired */
  int64_t expired;        /* by those that have, until they are returned */
  apr_time_t next_expiry; /* no received loan expires before this */
};

/* Pools for which loans are requested together: the slots of one service in
   one region, or a single pool of another kind.  */
struct pool_group
{
  struct pool_group *next;
  struct str name;
  struct str region; /* whose entries own shares of it; empty: all */
  enum share_kind kind;
  struct share_pool *pools;
  struct share_pool *lend_cursor; /* the pool to lend from next */
  int64_t demand;                 /* raised since the last tick */
  int64_t last_demand;            /* at the last tick */
  int64_t peak_used;       /* recent maximum of what is in use; decays with
                              each tick.  What this entry needs itself */
  apr_time_t last_used_at; /* when something was last in use or in demand */
  int pending_requests;
  int64_t requested_amount; /* by the pending requests */
};

/* A loan that this entry has granted, of one pool.  */
struct granted_loan
{
  struct granted_loan *next;
  struct share_pool *pool;
  char borrower[64];
  int64_t incarnation; /* of the borrower */
  int64_t id;
  int64_t amount;        /* not returned yet */
  apr_time_t expires_at; /* the borrower starts nothing on it after this */
  apr_time_t max_use_us; /* the longest that a use of it can last */
};

/* A loan that this entry has received, of one pool.  */
struct received_loan
{
  struct received_loan *next;
  struct share_pool *pool;
  char lender[64];
  int64_t incarnation; /* of the lender */
  int64_t id;
  int64_t amount; /* not returned yet */
  apr_time_t expires_at;
  apr_time_t extension_requested_at; /* the last time; 0: never */
  bool is_expired;
};

/* A request for a loan that has had no reply yet.  */
struct loan_request
{
  struct loan_request *next;
  struct pool_group *group;
  char lender[64];
  int64_t id;
  int64_t amount;
  apr_time_t requested_at;
};

struct peer
{
  char name[64];
  char region[64];
  apr_time_t rtt_us;
  apr_time_t retry_at[SHARE_KINDS];           /* no request before this */
  int consecutive_empty_replies[SHARE_KINDS]; /* that left nothing to spare;
                                                 stops at
                                                 MAX_EMPTY_DOUBLINGS */
};

struct share
{
  struct share_desc desc;
  apr_pool_t *pool;
  apr_hash_t *pools;              /* struct share_pool by "KIND/NAME" */
  apr_hash_t *ended_incarnations; /* int64_t by entry name: the highest one
                                     known to have ended */
  struct pool_group *groups;
  struct granted_loan *granted_loans;
  struct received_loan *received_loans;
  struct loan_request *requests; /* pending */
  struct peer *peers;
  size_t peer_count;
  apr_time_t previous_max_use_us; /* holds as well until the next time */
  apr_time_t previous_max_use_until;
  int64_t last_id; /* of a loan that this entry has requested */
  uint64_t random; /* state of the random numbers */
};

/* Requests for loans of more than 60 s are ignored.  */
#define SHARE_MAX_LOAN_US INT64_C (60000000)

/* share.c  */

/* Sends MESSAGE to the entry TO, with the incarnation of this process.  */
void share_send (struct share *share, struct str to,
                 struct share_message *message);
/* Returns the group called NAME, created at the first call.  */
struct pool_group *share_group_get (struct share *share, enum share_kind kind,
                                    struct str name);
/* Returns the pool called NAME, or NULL.  */
struct share_pool *share_pool_find (struct share *share, int64_t kind,
                                    struct str name);
/* Returns the peer called NAME, or NULL.  */
struct peer *share_find_peer (struct share *share, struct str name);
/* Updates the group's peak and the time of its last use.  */
void share_group_record_use (struct pool_group *group, apr_time_t now);
/* Returns how much of the group's limit this entry does not need: what is left
   above its recent peak, a reserve and the demand.  */
int64_t share_group_surplus (struct pool_group *group, apr_time_t now);

/* Returns the longest that a use of calls can last which begins on a loan
   granted now, also by an entry that has not adopted the value in force.  */
apr_time_t share_max_use (const struct share *share, apr_time_t now);

/* borrow.c  */

/* Marks the received loans of POOL that have expired; they no longer count
   towards its limit.  */
void share_borrow_expire (struct share_pool *pool, apr_time_t now);
/* Returns to the lenders what has expired and is no longer in use.  */
void share_borrow_return_expired (struct share *share, apr_time_t now);
/* Lets unused loans expire early if their group has enough without them, by a
   quarter of its peak.  */
void share_borrow_end_unused (struct share *share, apr_time_t now);
/* Removes and frees a pending request.  */
void share_borrow_remove_request (struct share *share,
                                  struct loan_request *request);
/* Requests a loan of what the group's demand exceeds its pending requests by,
   from one peer.  Returns false if no peer may get a request now.  */
bool share_borrow_send_request (struct share *share, struct pool_group *group,
                                apr_time_t now);
/* Removes the requests that had no reply in time.  */
void share_borrow_time_out_requests (struct share *share, apr_time_t now);
/* Requests extensions of the loans that are in use and expire soon.  */
void share_borrow_request_extensions (struct share *share, apr_time_t now);
/* Handles SHARE_LEND: adds what was lent.  */
void share_borrow_handle_lend (struct share *share, struct str from,
                               const struct share_message *reply,
                               apr_time_t now);
/* Handles SHARE_EXTENDED: moves the expiry of a loan.  */
void share_borrow_handle_extended (struct share *share, struct str from,
                                   const struct share_message *reply);

/* lend.c  */

/* Takes back the granted loans that expired so long ago that no use of them
   can be left.  */
void share_lend_reclaim_expired (struct share *share, apr_time_t now);
/* Handles SHARE_BORROW: lends what this entry does not need, and replies.  */
void share_lend_handle_request (struct share *share, struct str from,
                                const struct share_message *request,
                                apr_time_t now);
/* Handles SHARE_EXTEND: extends a loan and replies, unless this entry has
   demand in that group itself.  */
void share_lend_handle_extend (struct share *share, struct str from,
                               const struct share_message *request,
                               apr_time_t now);
/* Handles SHARE_RETURN: takes back what the borrower returns.  */
void share_lend_handle_return (struct share *share, struct str from,
                               const struct share_message *message);

#endif
