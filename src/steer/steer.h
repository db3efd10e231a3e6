/* Choice of an upstream for a call, and the limits that the choice keeps.

   The state is what this entry itself sees: its calls in progress, response
   times, refusals and failures of each upstream.  An upstream's own report
   is a hint that can only lower its rank.  All decisions are pure: the time
   and the random seed are arguments, nothing is read or sent.

   Call order: steer_create, steer_apply with each new configuration, then
   for every call steer_choose; with STEER_CHOSEN, steer_begin and later
   exactly one steer_end.

     struct steer_choice choice = steer_choose (steer, &request);
     if (choice.verdict == STEER_CHOSEN)
       steer_begin (steer, choice.upstream, CLASS_SHORT);

   Units: microseconds.  Threads: one thread.  */
#ifndef STEER_STEER_H
#define STEER_STEER_H

#include "member/membership.h"
#include "resource/resource.h"
#include "share/share.h"

#include <apr_time.h>

struct steer;
struct steer_link; /* one way between two regions, with its cap */

enum steer_verdict
{
  STEER_CHOSEN = 1,
  STEER_WAIT,   /* every upstream in reach is full now */
  STEER_CAPPED, /* the service's or a region's cap is used up now */
  STEER_NOWHERE /* no upstream may take this service's calls at all */
};

/* How an attempt at an upstream ended.  */
enum steer_result
{
  RESULT_ANSWERED = 1,
  RESULT_REFUSED,  /* shed: not started */
  RESULT_FAILED,   /* connection refused, broken, or a bad answer */
  RESULT_CANCELLED /* given up by the entry; says nothing of the upstream */
};

/* Sources that can say that an upstream is leaving; each is enough.  */
enum leaving_source
{
  LEAVING_DRAIN = 1,
  LEAVING_HEALTH = 2,
  LEAVING_PLATFORM = 4
};

enum
{
  STEER_EXCLUDED_MAX = 8
};

struct steer_desc
{
  struct str region;       /* of this entry */
  struct share_desc share; /* of the caps; see share.h */
  uint64_t seed;
};

struct steer_request
{
  const struct service *service;
  enum call_class call_class;
  apr_time_t now;
  size_t waiting; /* calls of the service that wait for a slot */
  struct str excluded[STEER_EXCLUDED_MAX]; /* upstreams tried already */
  size_t excluded_count;
};

/* One call in progress at an upstream.  */
struct steer_ticket
{
  struct upstream_state *upstream; /* NULL: no call */
  struct service_state *service;
  struct region_state *region;
  enum call_class call_class;
  bool is_overdue;
};

struct steer_choice
{
  enum steer_verdict verdict;
  const struct upstream *upstream; /* of the snapshot last applied */
};

/* What is known of one upstream, for status and tests.  */
struct steer_view
{
  int64_t in_flight;
  int64_t limit; /* calls that this entry may have there now */
  int64_t response_us;
  int leaving; /* enum leaving_source, or-ed */
  bool ejected;
};

struct steer *steer_create (apr_pool_t *pool, const struct steer_desc *desc);
void steer_destroy (struct steer *steer);
/* Takes SNAPSHOT in; keeps the state of upstreams whose name and address
   stay.  */
void steer_apply (struct steer *steer, struct snapshot *snapshot,
                  apr_time_t now);
/* Divides every cap among the members of MEMBERSHIP, which it references.
   LEAST: the lowest version that any other member has confirmed.  Loans with
   processes that are members no more end.  Without a
   membership this entry owns every cap alone.  What lies in a region (slots,
   the region's cap) is divided among that region's entries if it has any,
   since a slot far away costs a long way; a service's cap is divided among
   all.  */
void steer_set_membership (struct steer *steer, struct membership *membership,
                           int64_t least);
/* Returns whether nothing in use exceeds this entry's parts and loans.  */
bool steer_is_settled (struct steer *steer, apr_time_t now);
/* Returns the way from one region to another, or NULL if no link joins them
   (within one region there is none).  Valid as long as STEER.  */
struct steer_link *steer_link (struct steer *steer, struct str from,
                               struct str to);
/* Takes up to WANT bytes over LINK now.  */
size_t steer_link_take (struct steer_link *link, size_t want, apr_time_t now);
/* Counts BYTES that have passed over LINK.  */
void steer_link_debit (struct steer_link *link, size_t bytes, apr_time_t now);
/* Wants more of the links whose bytes had to wait; call before each
   share_tick.  */
void steer_want_links (struct steer *steer, apr_time_t now);
/* Returns the shares of all caps, to tick and to hand messages to.  */
struct share *steer_share (struct steer *steer);
/* Says that WAITING calls of SERVICE wait for a slot, so that shares are
   borrowed.  Call before each share_tick, also with 0.  */
void steer_want (struct steer *steer, const struct service *service,
                 size_t waiting, apr_time_t now);
struct steer_choice steer_choose (struct steer *steer,
                                  const struct steer_request *request);
struct steer_ticket steer_begin (struct steer *steer,
                                 const struct upstream *upstream,
                                 enum call_class call_class);
/* Ends the call of TICKET and clears it.  ELAPSED_US is the time to the
   answer's head.  */
void steer_end (struct steer *steer, struct steer_ticket *ticket,
                enum steer_result result, apr_time_t elapsed_us,
                apr_time_t now);
/* Sets or clears one source's word that UPSTREAM leaves.  Unknown names are
   ignored by this and the next function.  */
void steer_set_leaving (struct steer *steer, struct str upstream,
                        enum leaving_source source, bool leaving,
                        apr_time_t now);
/* Takes the load that UPSTREAM reports, in percent of its slots.  */
void steer_report (struct steer *steer, struct str upstream, int64_t percent,
                   apr_time_t now);
/* Says that the call of TICKET has had no answer for ELAPSED_US, longer than
   nearly all calls take.  An upstream with two such calls at a time is taken
   for slow.  */
void steer_overdue (struct steer *steer, struct steer_ticket *ticket,
                    apr_time_t elapsed_us, apr_time_t now);
/* Returns how many idle connections to UPSTREAM this entry may keep.  What its
   limit leaves beyond its slots, and one of every member for health checks, is
   divided among the entries that divide its slots; others keep none.  */
int64_t steer_idle_connections (const struct steer *steer,
                                const struct upstream *upstream);
/* Returns the time there and back between this entry and the call's region. */
apr_time_t steer_distance (const struct steer_ticket *ticket);
/* Returns how long to wait for the answer to the call of TICKET before a
   second attempt elsewhere is worth its cost.  */
apr_time_t steer_hedge_delay (const struct steer_ticket *ticket);
struct steer_view steer_query (const struct steer *steer, struct str upstream,
                               apr_time_t now);
/* Returns how long a call of SERVICE would wait behind AHEAD others.  */
apr_time_t steer_expected_wait (const struct steer *steer,
                                const struct service *service, size_t ahead,
                                apr_time_t now);
/* Returns the part of CAP that the INDEX-th of COUNT entries owns; the parts
   of all add up to CAP.  SALT spreads remainders.  */
int64_t steer_share_of (int64_t cap, size_t index, size_t count,
                        uint64_t salt);
/* Returns where that part starts, when the parts of all are laid end to
   end.  */
int64_t steer_share_start (int64_t cap, size_t index, size_t count,
                           uint64_t salt);

#endif
