/* Admission control: whether a request is sent, waits for a slot, or is
   refused at once.

   When more requests come than can be served in time, slots go to the requests
   that can still be answered within their target latency.  One that cannot is
   refused, unless its region has capacity to spare, and one that would wait in
   vain is refused before it waits.

   Called after an upstream was looked for with balance/balance.h, for a new
   request and again whenever a slot may have become free for a waiting one:

     struct admit_verdict verdict = admit_decide (&state);
     if (verdict.action == ADMIT_SEND) ...

   Units: microseconds, unless stated otherwise.  Threads: pure functions.  */
#ifndef BALANCE_ADMIT_H
#define BALANCE_ADMIT_H

#include <apr_time.h>
#include <stdbool.h>

enum admit_action
{
  ADMIT_SEND = 1,
  ADMIT_WAIT,  /* for a slot, at most the wait of the verdict */
  ADMIT_REFUSE /* the caller may retry after the verdict's `retry_after' */
};

/* The request, and the upstreams of its service in the region chosen.  */
struct admit_state
{
  /* An upstream can take the request now.  */
  bool has_slot;
  /* If so, the time until its response is expected.  */
  apr_time_t expected_latency;
  /* Time until a response without waiting: service time and round trip.  */
  apr_time_t min_latency;
  /* Time until the target latency has passed; a later response has lost most
     of its value.  */
  apr_time_t target_left;
  /* Time until the caller gives up or the operators' limit ends the request.
   */
  apr_time_t deadline_left;
  /* Slots in use over slots, 0 to 1.  */
  double utilization;
  /* Requests of this entry that wait for a slot there already.  */
  double queued;
  /* Requests per second that this entry can send there; 0: not known, and the
     queue is then taken to cost no time.  */
  double dispatch_rate;
  /* Time since a request of the same kind was last sent.  */
  apr_time_t since_sent;
  /* Of the highest priority: a late response is worth a slot even in a region
     that is a little busier.  */
  bool is_urgent;
  /* Random, 0 to 1; spreads the retries of callers.  */
  double jitter;
};

struct admit_verdict
{
  enum admit_action action;
  apr_time_t max_wait;    /* with ADMIT_WAIT: longest time in the queue */
  apr_time_t retry_after; /* with ADMIT_REFUSE: after which a retry may
                             succeed; grows with the utilization */
};

/* Decides on one request.  With a slot, it is sent if its response is expected
   within the target latency, or within the deadline while the region has
   capacity to spare, and is refused otherwise.  If none of its kind was sent
   for a second, it is sent whatever is expected: an estimate that keeps all
   requests from being sent would never be corrected.  Without a slot, it may
   wait for as long as a response could still meet the target latency, or,
   while the region has capacity to spare, the deadline; it is refused if the
   requests ahead of it are expected to take longer than that.  */
struct admit_verdict admit_decide (const struct admit_state *state);

/* Returns the Retry-After of a request that is refused since all upstreams of
   its service have turned this entry away, the first of them until LEFT from
   now.  REFUSED were refused so before it; they return one after the other, as
   one takes about WORK, the time of a response, since an upstream that returns
   takes one request at a time.  JITTER: random, 0 to 1.  */
apr_time_t admit_return_wait (apr_time_t left, double refused, apr_time_t work,
                              double jitter);

#endif
