/* Shares of caps, and loans of them between entries.

   A cap (the slots of an upstream, the concurrent calls of a service or a
   region, the bytes a second of a link) is divided into base shares, one for
   each entry, whose sum never exceeds it.  An entry that has more than it
   needs lends some of its share, for a short time, to one that has less.

   Calls in progress, over all entries, never exceed the cap, even if messages
   are lost or delayed and processes are paused or killed.  This needs no
   synchronized clocks, only clocks that measure durations:
   - The lender stops using what it lends before it sends the reply.
   - The borrower counts the loan's duration from before it sent the request,
     the lender from when it sent the reply, so the borrower always stops
     first.
   - A loan in use is extended before it expires, by the same rule, unless the
     lender needs it itself.
   - Once a loan has expired, the borrower starts nothing more on it.  The
     lender gets it back when the borrower reports that nothing started on it
     is in progress any more, or after the longest time that a use can last
     (share_set_max_use).

   All functions take the time as an argument, and send messages only through
   the function in `share_desc', so that tests can run many entries on one
   virtual clock.

   Call order: share_create; share_set_peers; share_pool_get for every cap;
   share_pool_set_base when the division changes; share_pool_available before
   and share_pool_use and share_pool_release around each use;
   share_raise_demand for what an entry is short of; share_tick every few
   milliseconds; share_receive for each message.

     struct share_pool *pool = share_pool_get (share, &cap);
     share_pool_set_base (pool, 40);
     if (share_pool_available (pool, now) > 0)
       share_pool_use (pool, 1);
     ...
     share_pool_release (pool, 1);

   Units: microseconds; amounts are calls, or bytes a second for links.
   Threads: one thread.  Errors: none are returned; running out of memory ends
   the process, and invalid messages are ignored.  */
#ifndef SHARE_SHARE_H
#define SHARE_SHARE_H

#include "base/str.h"

#include <apr_time.h>
#include <stdint.h>

enum share_kind
{
  SHARE_SLOTS = 1, /* of one upstream; grouped by service and region */
  SHARE_SERVICE,   /* concurrent calls of a service */
  SHARE_REGION,    /* concurrent calls to a region */
  SHARE_LINK,      /* bytes a second, one direction */
  SHARE_KINDS      /* size of an array indexed by kind */
};

enum share_message_type
{
  SHARE_BORROW = 1, /* requests a loan of `amount' of a group */
  SHARE_LEND,       /* replies with what is lent, maybe nothing */
  SHARE_RETURN,     /* returns `amount' of a loan */
  SHARE_EXTEND,     /* requests that a loan in use lasts `duration' from now */
  SHARE_EXTENDED    /* grants the extension; there is no reply otherwise */
};

enum
{
  SHARE_ITEMS_MAX = 16 /* pools that one message can lend from */
};

/* An amount of one cap.  */
struct share_item
{
  int64_t kind; /* enum share_kind */
  struct str name;
  int64_t amount;
};

/* The base share of a pool without a cap.  */
#define SHARE_NO_CAP (INT64_MAX / 4)

/* A message between two entries.  In SHARE_BORROW the one item names a group
   of pools, in SHARE_LEND and SHARE_RETURN each item names a pool.  */
struct share_message
{
  int64_t type;        /* enum share_message_type */
  int64_t incarnation; /* of the sender's process */
  int64_t id;          /* of the loan, assigned by the borrower */
  int64_t duration;    /* of the loan, microseconds; SHARE_RETURN: not used */
  int64_t spare;       /* SHARE_LEND: what the lender could still lend of the
                          group */
  /* SHARE_EXTEND: time on the borrower's clock; SHARE_EXTENDED repeats it, so
     that the extension counts from the request however late it arrives.  */
  int64_t requested_at;
  size_t count; /* of `items' */
  struct share_item items[SHARE_ITEMS_MAX];
};

struct share;
struct share_pool;

struct share_desc
{
  struct str entry;            /* the name of this entry */
  int64_t incarnation;         /* of this process */
  apr_time_t loan_duration_us; /* of loans within the region; a loan from
                                  another one lasts 15 round trips longer; 0:
                                  300 ms */
  apr_time_t max_use_us;       /* the longest that a use of calls can last, see
                                  share_set_max_use; 0: 30 s */
  uint64_t seed;               /* of the random numbers; 0: a default */
  /* Sends MESSAGE to the entry TO; it may be lost.  USER_DATA is the next
     member.  */
  void (*send) (void *user_data, struct str to,
                const struct share_message *message);
  void *user_data;
};

/* An entry that may lend.  */
struct share_peer
{
  struct str name;
  struct str region;
  apr_time_t rtt_us; /* round-trip time */
};

/* A cap.  Loans are requested from a group of equivalent caps: an upstream's
   slots, say, from those of all upstreams of the service in that region.  */
struct share_cap
{
  enum share_kind kind;
  struct str name;
  struct str group;  /* default: NAME */
  struct str region; /* whose entries own shares of it; empty: all entries */
};

/* Creates the shares of one entry, without pools and peers.  DESC is copied,
   but not the strings in it.  */
struct share *share_create (apr_pool_t *pool, const struct share_desc *desc);
/* Frees what is not allocated in the pool.  NULL is allowed.  */
void share_destroy (struct share *share);
/* Returns the pool for CAP, created at the first call.  Pools live as long as
   SHARE.  */
struct share_pool *share_pool_get (struct share *share,
                                   const struct share_cap *cap);
/* Sets this entry's base share.  It must be raised only when no other entry
   uses the difference any more.  */
void share_pool_set_base (struct share_pool *pool, int64_t base);
/* Sets how much of the base share is neither to be used nor lent for now, as
   while an upstream warms up.  */
void share_pool_set_withheld (struct share_pool *pool, int64_t amount);
/* Returns how much of the cap this entry may use at NOW, including what is in
   use: the base share without what is withheld and lent, and what is borrowed.
   May be below 0, as after the base share was lowered.  */
int64_t share_pool_limit (struct share_pool *pool, apr_time_t now);
/* Returns how much of the limit is not in use; never below 0.  */
int64_t share_pool_available (struct share_pool *pool, apr_time_t now);
/* Returns what is in use.  */
int64_t share_pool_used (const struct share_pool *pool);
/* Counts AMOUNT as in use.  Does not check the limit.  */
void share_pool_use (struct share_pool *pool, int64_t amount);
/* Counts AMOUNT as no longer in use.  */
void share_pool_release (struct share_pool *pool, int64_t amount);
/* Returns what is lent to other entries and not returned yet.  */
int64_t share_pool_lent (const struct share_pool *pool);
/* Replaces the list of the other entries, from which shares can be borrowed;
   PEERS is copied.  Loans from entries that are no longer listed stay until
   they expire.  */
void share_set_peers (struct share *share, const struct share_peer *peers,
                      size_t count);
/* Raises the demand of GROUP to AMOUNT if it is lower: that much more could be
   used at once.  The next tick requests loans for it and sets it back to 0;
   until the tick after that, this entry lends that much less of the group and
   extends no loan of it.  */
void share_raise_demand (struct share *share, enum share_kind kind,
                         struct str group, int64_t amount);
/* Ends and returns expired and unneeded loans, requests extensions of those in
   use, takes back what was lent too long ago, and requests loans for the
   demand.  */
void share_tick (struct share *share, apr_time_t now);
/* Handles MESSAGE, received from the entry FROM.  */
void share_receive (struct share *share, struct str from,
                    const struct share_message *message, apr_time_t now);
/* Sets the longest time that a use of calls can last, over all entries.  If a
   borrower does not return a loan, this entry takes it back this long after it
   has expired; a loan of bytes a second at once.  A lower value holds for
   loans granted 10 s later or after that, since borrowers may adopt it later,
   and uses that began before last as long as they were allowed to.  */
void share_set_max_use (struct share *share, apr_time_t max_use_us,
                        apr_time_t now);
/* Ends all loans from and to the entry PEER's processes up to INCARNATION,
   which are known to have ended: what they borrowed returns to this entry's
   share, what they lent may not be used any more.  Their messages are ignored
   from now on.  */
void share_end_peer_loans (struct share *share, struct str peer,
                           int64_t incarnation);
/* Returns whether this entry's base shares and its loans cover all calls in
   progress and all that it has lent.  Loans that have expired count until they
   are returned: their lenders leave them unused for as long as a use can last.
   Links are not checked, since bytes are in use only when they are sent.  */
bool share_is_within_limits (struct share *share, apr_time_t now);

#endif
