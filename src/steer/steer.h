/* Chooses an upstream for each attempt and enforces the limits on calls in
   progress.

   A choice relies on what this entry itself observes of each upstream: its
   attempts in progress, response times, refusals and failures.  The load that
   an upstream reports is only a hint, and can only lower its rank.

   The slots of an upstream, the call caps of services and regions, and the
   bandwidth of links are divided among the entries.  Each entry keeps to its
   share (see share/share.h), so that all entries together exceed no cap.

   All functions are deterministic and do no I/O, except that share messages
   are sent through the function in `share_desc': the time and the random seed
   are arguments.

   Call order: steer_create, steer_apply with each new configuration, then
   steer_choose for every attempt.  With STEER_CHOSEN, steer_begin_attempt, and
   later exactly one steer_end_attempt.  Periodically: steer_update_demand for
   every service and steer_update_link_demand, then share_tick on steer_shares.

     struct steer_choice choice = steer_choose (steer, &request);
     if (choice.verdict == STEER_CHOSEN)
       attempt = steer_begin_attempt (steer, choice.upstream, CLASS_SHORT);
     ...
     steer_end_attempt (steer, &attempt, RESULT_ANSWERED, elapsed_us, now);

   Units: microseconds, unless a name says otherwise.  Threads: one thread.
   Errors: none are returned; running out of memory ends the process.  */
#ifndef STEER_STEER_H
#define STEER_STEER_H

#include "member/membership.h"
#include "resource/resource.h"
#include "share/share.h"

#include <apr_time.h>

struct steer;
struct steer_link; /* one direction between two regions, and its bandwidth */

enum steer_verdict
{
  STEER_CHOSEN = 1,
  STEER_WAIT,   /* this entry has no free slot, long calls use all slots that
                   they may, the policy forbids the other regions' free slots,
                   or waiting is estimated to cost less than a free slot */
  STEER_CAPPED, /* this entry's share of the call cap of the service or of a
                   region is in full use */
  STEER_NO_UPSTREAM /* no upstream is available to this request: all are
                   leaving, ejected, without slots, or excluded */
};

/* How an attempt at an upstream ended.  */
enum steer_result
{
  RESULT_ANSWERED = 1,
  RESULT_REFUSED,  /* the upstream refused to start the call */
  RESULT_FAILED,   /* connection refused or broken, or an invalid response */
  RESULT_CANCELLED /* ended by this entry; does not count against the
                      upstream */
};

/* Sources that can mark an upstream as leaving.  It gets new calls only if no
   source marks it.  */
enum leaving_source
{
  LEAVING_DRAIN = 1,   /* drained in the configuration */
  LEAVING_HEALTH = 2,  /* its health check */
  LEAVING_PLATFORM = 4 /* the platform */
};

enum
{
  STEER_EXCLUDED_MAX = 8 /* upstreams that one request can exclude; a call that
                            has failed at so many is not retried */
};

struct steer_desc
{
  struct str region;       /* of this entry */
  struct share_desc share; /* shares of the caps; see share/share.h */
  uint64_t seed;           /* of the random numbers; 0: a default */
};

/* What steer_choose is asked.  */
struct steer_request
{
  const struct service *service;
  enum call_class call_class;
  apr_time_t now;
  size_t waiting; /* calls of the service that wait for a slot, for the
                     estimate of the wait */
  struct str excluded[STEER_EXCLUDED_MAX]; /* upstreams tried already */
  size_t excluded_count;
};

/* An attempt in progress.  It occupies a slot of its upstream and counts
   towards the call caps of its service and region.  */
struct steer_attempt
{
  struct upstream_state *upstream; /* NULL: not in progress */
  struct service_state *service;
  struct region_state *region;
  enum call_class call_class;
  bool is_overdue; /* reported by steer_report_overdue */
};

struct steer_choice
{
  enum steer_verdict verdict;
  const struct upstream *upstream; /* in the snapshot last applied; valid only
                                      with STEER_CHOSEN */
};

/* State of one upstream as this entry sees it.  */
struct steer_upstream_view
{
  int64_t in_flight;   /* attempts of this entry in progress */
  int64_t limit;       /* attempts that this entry may have there now; 0 while
                          it leaves or is ejected */
  int64_t response_us; /* moving average of response times, without the round
                          trip; 0: none known */
  int leaving;         /* enum leaving_source, or-ed */
  bool ejected;        /* gets no calls for 0.5 to 16 s, after 3 or more
                          failures in a row */
};

/* Creates the state for one entry.  It is alone, that is, owns every cap
   whole, until steer_set_membership.  */
struct steer *steer_create (apr_pool_t *pool, const struct steer_desc *desc);
/* Releases what STEER references.  NULL is allowed.  */
void steer_destroy (struct steer *steer);
/* Replaces the configuration by SNAPSHOT, which it references.  Upstreams
   whose name and address are unchanged keep their state; the slots of others
   ramp up, except in the first configuration, whose upstreams are taken to be
   warm.  */
void steer_apply (struct steer *steer, struct snapshot *snapshot,
                  apr_time_t now);
/* Divides every cap among the members of MEMBERSHIP, which it references.
   MIN_CONFIRMED is the lowest version that any other member has confirmed:
   entries may still divide by any version from it on, so this entry uses the
   smallest of its shares under all of them.  Loans from and to processes that
   MEMBERSHIP no longer has as members end.  With NULL this entry owns every
   cap alone.

   Slots of a region's upstreams and the region's call cap are divided among
   the entries of that region if it has any, since a slot in another region
   costs a round trip between regions.  A service's call cap is divided among
   all entries, a link among those of its two regions.  */
void steer_set_membership (struct steer *steer, struct membership *membership,
                           int64_t min_confirmed);
/* Returns whether no use of slots and call caps exceeds this entry's shares
   and loans (see share_is_within_limits).  Only then may a membership be
   confirmed.  */
bool steer_is_within_limits (struct steer *steer, apr_time_t now);
/* Returns the link from one region to another, or NULL if the configuration
   has none, as within one region.  Valid as long as STEER; once its link is
   removed from the configuration, it limits nothing.  */
struct steer_link *steer_link (struct steer *steer, struct str from,
                               struct str to);
/* Returns how many of BYTES may be sent over LINK now, and counts them as
   sent.  If that is fewer, the caller tries again later, and the next
   steer_update_link_demand raises the demand.  */
size_t steer_link_consume (struct steer_link *link, size_t bytes,
                           apr_time_t now);
/* Counts BYTES that have been transferred over LINK already, such as received
   ones, beyond its limit if need be; later bytes wait until they are made up
   for.  */
void steer_link_debit (struct steer_link *link, size_t bytes, apr_time_t now);
/* Raises the demand for bandwidth of the links on which steer_link_consume has
   granted less than asked since the last call.  Call before each
   share_tick.  */
void steer_update_link_demand (struct steer *steer, apr_time_t now);
/* Returns the shares of all caps, for share_tick, share_receive and
   share_set_peers.  */
struct share *steer_shares (struct steer *steer);
/* Raises the demand for slots and for the call caps so that WAITING calls of
   SERVICE, which wait for a slot, could start; shares are borrowed to meet it.
   Call before each share_tick, also with 0: this keeps an 8th of what is in
   use free on top of it, and is what lets the slots of ramping upstreams
   grow.  */
void steer_update_demand (struct steer *steer, const struct service *service,
                          size_t waiting, apr_time_t now);
/* Chooses an upstream for REQUEST by the lowest estimated cost: response time
   and round-trip time.  Reserves nothing.  */
struct steer_choice steer_choose (struct steer *steer,
                                  const struct steer_request *request);
/* Counts an attempt at UPSTREAM, which steer_choose has just returned, as in
   progress.  Does not check the limits again, so no other attempt may begin
   and no configuration be applied in between.  */
struct steer_attempt steer_begin_attempt (struct steer *steer,
                                          const struct upstream *upstream,
                                          enum call_class call_class);
/* Ends ATTEMPT and updates the estimates of its upstream.  ELAPSED_US is the
   time from the start to the response's head, or to the refusal or failure;
   with RESULT_CANCELLED it is not used.  */
void steer_end_attempt (struct steer *steer, struct steer_attempt *attempt,
                        enum steer_result result, apr_time_t elapsed_us,
                        apr_time_t now);
/* Sets or clears SOURCE's mark that UPSTREAM is leaving.  Once the last mark
   is cleared its slots ramp up as those of a new upstream.  An unknown
   UPSTREAM is ignored.  */
void steer_set_leaving (struct steer *steer, struct str upstream,
                        enum leaving_source source, bool leaving,
                        apr_time_t now);
/* Records the load that UPSTREAM reports, in percent of its slots.  For 10
   seconds, or until its next report, a load above 100 raises the estimated
   cost of the upstream in proportion.  An unknown UPSTREAM is ignored.  */
void steer_set_reported_load (struct steer *steer, struct str upstream,
                              int64_t percent, apr_time_t now);
/* Reports that ATTEMPT has had no response for ELAPSED_US, longer than nearly
   all attempts take (steer_hedge_delay).  An upstream with two such attempts
   in progress is treated as slow: as if its responses took at least twice
   that time.  */
void steer_report_overdue (struct steer *steer, struct steer_attempt *attempt,
                           apr_time_t elapsed_us, apr_time_t now);
/* Returns how many idle connections to UPSTREAM this entry may keep.  The
   connections that UPSTREAM accepts beyond its slots, less one of every member
   for health checks, are divided evenly among the entries that divide its
   slots; other entries may keep none.  */
int64_t steer_max_idle_connections (const struct steer *steer,
                                    const struct upstream *upstream);
/* Returns the round-trip time between this entry and the attempt's region. */
apr_time_t steer_attempt_rtt (const struct steer_attempt *attempt);
/* Returns how long to wait for the response to ATTEMPT before a hedge, a
   second attempt at another upstream, is worth its cost: longer than 97 % of
   the service's responses take; 1 second while none is known.  */
apr_time_t steer_hedge_delay (const struct steer_attempt *attempt);
/* Returns the state of UPSTREAM; all zero if it is unknown.  */
struct steer_upstream_view steer_query_upstream (const struct steer *steer,
                                                 struct str upstream,
                                                 apr_time_t now);
/* Returns the estimated time that a call of SERVICE waits for a slot behind
   AHEAD others, as if all slots of this entry were in use; 0 if it has no slot
   or no response time is known.  */
apr_time_t steer_expected_wait (const struct steer *steer,
                                const struct service *service, size_t ahead,
                                apr_time_t now);
/* Returns the share of CAP that the entry at INDEX (from 0) of COUNT (at least
   1) owns; the shares of all add up to CAP.  SALT, the same for all entries,
   selects which of them get the remainder.  */
int64_t steer_share_size (int64_t cap, size_t index, size_t count,
                          uint64_t salt);
/* Returns where that share starts if the shares of all are laid end to end, in
   an order that SALT selects: the sum of those before it.  */
int64_t steer_share_start (int64_t cap, size_t index, size_t count,
                           uint64_t salt);

#endif
