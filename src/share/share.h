/* Shares of caps, and loans of them between entries.

   A cap (slots of an upstream, concurrent calls of a service or a region,
   bytes a second of a link) is divided into base shares, one an entry, whose
   sum never exceeds it.  An entry that has more than it needs lends part of
   its share to one that has less, for a short time.

   Safety rests on clocks that only measure durations:
   - the lender stops using what it lends before it answers;
   - the borrower counts the duration from before it asked, the lender from
     when it answered, so the borrower always stops first;
   - a loan in use is extended before it runs out, by the same rule, unless
     the lender needs it;
   - after its loan has run out the borrower starts nothing on it; the lender
     takes it back when the borrower says that nothing started on it is left,
     or after the longest time that anything may last (`hold_us').
   So calls in progress, over all entries, never exceed the cap, whatever is
   lost, delayed, paused or killed.

   All functions take the time as an argument and send through a function of
   the description, so that tests run many entries on one virtual clock.

   Call order: share_create; share_pool_get for every cap;
   share_pool_set_base when the division changes; share_pool_free before and
   share_pool_use / share_pool_release around each use; share_want for what
   is short; share_tick every few milliseconds; share_receive for each message.

   Units: microseconds; calls, or bytes a second.  Threads: one thread.  */
#ifndef SHARE_SHARE_H
#define SHARE_SHARE_H

#include "base/str.h"

#include <apr_time.h>
#include <stdint.h>

enum share_kind
{
  SHARE_SLOTS = 1, /* of one upstream; grouped by service and region */
  SHARE_SERVICE,
  SHARE_REGION,
  SHARE_LINK, /* bytes a second, one way */
  SHARE_KINDS
};

enum share_message_type
{
  SHARE_BORROW = 1, /* asks for `amount' of `kind' of `name' */
  SHARE_LEND,       /* answers with what was lent */
  SHARE_RETURN,     /* gives back `amount' of a loan */
  SHARE_EXTEND,     /* asks for `duration' more of a loan in use */
  SHARE_EXTENDED    /* agrees */
};

enum
{
  SHARE_ITEMS_MAX = 16
};

/* An amount of one cap.  */
struct share_item
{
  int64_t kind; /* enum share_kind */
  struct str name;
  int64_t amount;
};

/* The base share of what has no cap.  */
#define SHARE_NO_CAP (INT64_MAX / 4)

/* One message between two entries.  In SHARE_BORROW an item names a group of
   pools, in SHARE_LEND and SHARE_RETURN one pool.  */
struct share_message
{
  int64_t type;        /* enum share_message_type */
  int64_t incarnation; /* of the sender's process */
  int64_t id;          /* the borrower's number of the loan */
  int64_t duration;    /* of the loan, microseconds */
  int64_t spare;       /* SHARE_LEND: what could still be lent of the first */
  int64_t asked_at;    /* SHARE_EXTEND: the borrower's clock; SHARE_EXTENDED
                          repeats it, since answers may come late */
  size_t count;
  struct share_item items[SHARE_ITEMS_MAX];
};

struct share;
struct share_pool;

struct share_desc
{
  struct str entry;
  int64_t incarnation;    /* of this process */
  apr_time_t duration_us; /* of loans, longer from afar; default 300 ms */
  apr_time_t hold_us;     /* longest life of a use; default 30 s */
  uint64_t seed;
  /* Sends MESSAGE to the entry TO; it may be lost.  */
  void (*send) (void *part, struct str to,
                const struct share_message *message);
  void *part;
};

/* An entry that may add_granted_loan.  */
struct share_peer
{
  struct str name;
  struct str region;
  apr_time_t distance_us; /* there and back */
};

/* A cap, and the group of like caps in which loans of it are asked for.  */
struct share_cap
{
  enum share_kind kind;
  struct str name;
  struct str group;  /* default: NAME */
  struct str region; /* whose entries own it; empty: all entries */
};

struct share *share_create (apr_pool_t *pool, const struct share_desc *desc);
void share_destroy (struct share *share);
/* Returns the pool of CAP, made at first.  Pools live as long as SHARE.  */
struct share_pool *share_pool_get (struct share *share,
                                   const struct share_cap *cap);
/* Sets this entry's base share.  A larger one must be set only when no other
   entry uses the difference any more.  */
void share_pool_set_base (struct share_pool *pool, int64_t base);
/* Sets the part of the base share that is not to be used or lent yet, as
   while an upstream warms up.  */
void share_pool_set_held (struct share_pool *pool, int64_t held);
/* Returns what this entry may use of the cap at NOW, used or not.  */
int64_t share_pool_limit (struct share_pool *pool, apr_time_t now);
/* Returns what is left of it.  */
int64_t share_pool_free (struct share_pool *pool, apr_time_t now);
int64_t share_pool_used (const struct share_pool *pool);
void share_pool_use (struct share_pool *pool, int64_t amount);
void share_pool_release (struct share_pool *pool, int64_t amount);
/* Returns what is lent to other entries now.  */
int64_t share_pool_lent (const struct share_pool *pool);
/* Sets the entries that may be asked, without this one.  */
void share_set_peers (struct share *share, const struct share_peer *peers,
                      size_t count);
/* Says that AMOUNT more of GROUP could be used at once; lasts until the next
   tick.  */
void share_want (struct share *share, enum share_kind kind, struct str group,
                 int64_t amount);
/* Ends and returns what has run out, asks for what is wanted.  */
void share_tick (struct share *share, apr_time_t now);
void share_receive (struct share *share, struct str from,
                    const struct share_message *message, apr_time_t now);
/* Sets the longest life of a use, as `hold_us' in the description.  */
void share_set_hold (struct share *share, apr_time_t hold_us);
/* The process INCARNATION of the entry PEER, and earlier ones, are known to
   run no longer: what they borrowed comes back, and what they lent may not be
   used any more.  */
void share_forget (struct share *share, struct str peer, int64_t incarnation);
/* Returns whether every use of calls is covered by this entry's own part and
   by loans that their lenders still keep for it.  Bytes a second are not
   looked at: their use ends at once.  */
bool share_is_settled (struct share *share, apr_time_t now);

#endif
