/* State of the shares, shared by their files (internal).

   share.c   pools, groups, and the interface
   add_received_loan.c  loans that this entry has from others
   add_granted_loan.c    loans that it has made  */
#ifndef SHARE_INTERNAL_H
#define SHARE_INTERNAL_H

#include "share/share.h"

#include <apr_hash.h>

struct share_pool
{
  struct share_pool *next;
  struct share *share;
  struct pool_group *group;
  enum share_kind kind;
  struct str name;
  int64_t base;
  int64_t withheld; /* of the base: not to be used yet */
  int64_t used;
  int64_t lent;
  int64_t borrowed;    /* by loans that have not run out */
  int64_t expired;       /* by loans that have, and are to be returned */
  apr_time_t next_expiry; /* the first of them runs out */
};

/* The pools that are asked for together: the slots of one service in one
   region, or one pool of another kind.  */
struct pool_group
{
  struct pool_group *next;
  struct str name;
  struct str region; /* whose entries own it; empty: all */
  enum share_kind kind;
  struct share_pool *pools;
  struct share_pool *lend_cursor; /* where lending goes on */
  int64_t demand;
  int64_t last_demand;    /* what was wanted at the last tick */
  int64_t peak_used;  /* decays; what this entry needs itself */
  apr_time_t last_used_at; /* when something was last in use or wanted */
  int pending_requests;         /* requests in progress */
  int64_t requested_amount;  /* by them */
};

/* Something that this entry has lent.  */
struct granted_loan
{
  struct granted_loan *next;
  struct share_pool *pool;
  char borrower[64];
  int64_t incarnation; /* of the borrower */
  int64_t id;
  int64_t amount;
  apr_time_t expires_at; /* the borrower starts nothing on it after this */
};

/* Something that this entry has borrowed.  */
struct received_loan
{
  struct received_loan *next;
  struct share_pool *pool;
  char lender[64];
  int64_t incarnation; /* of the lender */
  int64_t id;
  int64_t amount;
  apr_time_t expires_at;
  apr_time_t extension_requested_at; /* when an extension was asked for last; 0: never */
  bool is_expired;
};

/* A request whose answer has not come.  */
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
  apr_time_t distance_us;
  apr_time_t retry_at[SHARE_KINDS]; /* it had nothing to spare */
  int consecutive_empty_answers[SHARE_KINDS];      /* of late, in a row */
};

struct share
{
  struct share_desc desc;
  apr_pool_t *pool;
  apr_hash_t *pools; /* by kind and name */
  apr_hash_t *ended_incarnations; /* int64_t by entry: incarnations up to it have ended */
  struct pool_group *groups;
  struct granted_loan *granted_loans;
  struct received_loan *received_loans;
  struct loan_request *requests;
  struct peer *peers;
  size_t peer_count;
  int64_t last_id;
  uint64_t random;
};

/* Loans are made for at most so long.  */
#define SHARE_MAX_LOAN_US INT64_C (60000000)

/* share.c  */

/* Sends MESSAGE to the entry TO, as this process.  */
void share_send (struct share *share, struct str to,
                 struct share_message *message);
/* Returns the group called NAME, made at first.  */
struct pool_group *share_group_get (struct share *share, enum share_kind kind,
                               struct str name);
/* Returns the pool called NAME, or NULL.  */
struct share_pool *share_pool_find (struct share *share, int64_t kind,
                                    struct str name);
/* Returns the peer called NAME, or NULL.  */
struct peer *share_find_peer (struct share *share, struct str name);
/* Notes that something of GROUP is in use or wanted now.  */
void share_group_record_use (struct pool_group *group, apr_time_t now);
/* Returns what this entry can do without.  */
int64_t share_group_surplus (struct pool_group *group, apr_time_t now);

/* add_received_loan.c  */

/* Ends the loans to this entry of POOL that have run out.  */
void share_borrow_expire (struct share_pool *pool, apr_time_t now);
/* Gives back what has run out and is no longer used.  */
void share_borrow_return_expired (struct share *share, apr_time_t now);
/* Ends loans early whose group has enough without them.  */
void share_borrow_end_unused (struct share *share, apr_time_t now);
/* Forgets a request.  */
void share_borrow_remove_request (struct share *share, struct loan_request *request);
/* Asks one peer; returns false if there is none to ask.  */
bool share_borrow_send_request (struct share *share, struct pool_group *group,
                       apr_time_t now);
/* Forgets the requests that were not answered in time.  */
void share_borrow_time_out_requests (struct share *share, apr_time_t now);
/* Asks for more time of the loans that are in use and run out soon.  */
void share_borrow_request_extensions (struct share *share, apr_time_t now);
/* Takes what was lent.  */
void share_borrow_handle_lend (struct share *share, struct str from,
                        const struct share_message *answer, apr_time_t now);
/* Takes the extension of a loan.  */
void share_borrow_handle_extended (struct share *share, struct str from,
                                 const struct share_message *answer);

/* add_granted_loan.c  */

/* Takes back what was lent so long ago that nothing can be left of it.  */
void share_lend_reclaim_expired (struct share *share, apr_time_t now);
/* Answers a request for a loan.  */
void share_lend_handle_request (struct share *share, struct str from,
                      const struct share_message *request, apr_time_t now);
/* Extends a loan, unless this entry lacks the like itself.  */
void share_lend_handle_extend (struct share *share, struct str from,
                             const struct share_message *request,
                             apr_time_t now);
/* Takes back what a borrower returns.  */
void share_lend_handle_return (struct share *share, struct str from,
                             const struct share_message *message);

#endif
