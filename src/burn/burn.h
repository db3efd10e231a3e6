/* Error budget burn rates: how fast each service uses up the error budget
   that its service-level objective allows.

   Good and bad calls are counted by service, region and cause, in buckets of
   one minute, for one day.  The burn rate of a window is the fraction of its
   calls that were bad, divided by the fraction that the objective allows: at
   1, the budget lasts exactly as long as the objective's period.

     burn_record (tracker, service, region, BURN_GOOD, now);
     json_object *counts = burn_counts (tracker, now);
     burn_merge (counts, counts_of_another_entry);
     json_object *report = burn_report (counts, snapshot);

   Windows: 5 minutes, 1 hour, 6 hours and 24 hours, each up to and with the
   current minute.  Times: microseconds of the monotonic clock.  Threads: any;
   a tracker is locked, a JSON list belongs to its caller.  */
#ifndef BURN_BURN_H
#define BURN_BURN_H

#include "base/str.h"
#include "resource/resource.h"

#include <apr_time.h>

/* The counts of all services and regions.  */
struct burn_tracker;

/* How a call counts against its service's objective.  */
enum burn_cause
{
  BURN_GOOD,       /* complete, with a status below 500 and in time */
  BURN_SLOW,       /* a short call that took longer than the objective's
                      latency */
  BURN_FAILED,     /* the upstream responded with a status of 500 or above */
  BURN_REFUSED,    /* not executed: no capacity, or refused by upstreams */
  BURN_UNKNOWN,    /* no complete response after dispatch */
  BURN_DEADLINE,   /* the deadline passed */
  BURN_CAUSE_COUNT /* number of causes, with BURN_GOOD */
};

/* Creates an empty set of counts, valid as long as POOL.  */
struct burn_tracker *burn_create (apr_pool_t *pool);
/* Counts one call that ended at NOW.  REGION is that of the upstream to which
   it was dispatched, or the entry's own if it was not dispatched.  */
void burn_record (struct burn_tracker *tracker, struct str service,
                  struct str region, enum burn_cause cause, apr_time_t now);
/* Returns the name of CAUSE as in "causes" below.  */
const char *burn_cause_name (enum burn_cause cause);
/* Returns the counts of every service, region and window that ends at NOW, as
   a new JSON list of {"service","region","window_s","good","bad",
   "causes":{...}}.  */
json_object *burn_counts (struct burn_tracker *tracker, apr_time_t now);
/* Adds the counts of SOURCE, such as those of another entry, to TOTAL; both
   are lists as from burn_counts.  SOURCE stays as it is.  */
void burn_merge (json_object *total, json_object *source);
/* Returns a new list of {"service","region","window_s","good","bad",
   "calls","burn_rate","budget_left_percent","causes":{...}} for COUNTS, by the
   objectives in SNAPSHOT.  "budget_left_percent" is 100 * (1 - burn rate), at
   least 0.  Services that SNAPSHOT lacks are left out.  */
json_object *burn_report (json_object *counts,
                          const struct snapshot *snapshot);

#endif
