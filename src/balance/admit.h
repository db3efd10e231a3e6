/* Whether a request is sent, waits for a slot, or is refused at once.

   Answers the load "more requests than can be served in time": a request that
   can no longer have its answer within its aim gives way while others could,
   and one that would wait in vain is told so before it waits.  Pure.

     struct admit_verdict v = admit_decide (&state);

   Units: microseconds.  Threads: pure.  */
#ifndef BALANCE_ADMIT_H
#define BALANCE_ADMIT_H

#include <apr_time.h>
#include <stdbool.h>

enum admit_action
{
  ADMIT_SEND = 1,
  ADMIT_WAIT,  /* for a slot, until `until' */
  ADMIT_REFUSE /* tell the caller to come back after `retry_after' */
};

struct admit_state
{
  bool has_slot;        /* an upstream has a free slot */
  apr_time_t expected;  /* time to its answer */
  apr_time_t best;      /* time to an answer where the object is known */
  apr_time_t aim_left;  /* until the answer loses most of its value */
  apr_time_t time_left; /* until the caller or the operator gives up */
  double fullness;      /* of the upstreams in the region, 0 to 1 */
  double waiting;       /* requests of this entry that wait there */
  double rate;          /* requests a second that this entry places there */
  bool may_be_late;     /* urgent enough that a late answer is worth a slot */
  double chance;        /* random, 0 to 1; spreads the return */
};

struct admit_verdict
{
  enum admit_action action;
  apr_time_t wait; /* at most */
  apr_time_t retry_after;
};

struct admit_verdict admit_decide (const struct admit_state *state);

#endif
