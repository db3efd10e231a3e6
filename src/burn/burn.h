/* Service-level burn: how fast each service spends its error budget.

   A ledger counts good and bad calls by service, region and cause in
   one-minute buckets of the last day.  The burn rate of a window is the bad
   share of its calls divided by the share that the objective allows: at 1
   the budget lasts exactly as long as the objective's period.

     burn_record (ledger, service, region, BURN_GOOD, now);

   Threads: any; the ledger locks itself.  */
#ifndef BURN_BURN_H
#define BURN_BURN_H

#include "base/str.h"
#include "resource/resource.h"

#include <apr_time.h>

struct burn_ledger;

/* How a call counts against its service's objective.  */
enum burn_cause
{
  BURN_GOOD,
  BURN_SLOW,     /* answered, but slower than the objective */
  BURN_FAILED,   /* the upstream answered with an error status */
  BURN_REFUSED,  /* not run: no capacity, or refused by upstreams */
  BURN_UNKNOWN,  /* no whole answer after dispatch */
  BURN_DEADLINE, /* the deadline passed */
  BURN_CAUSES
};

struct burn_ledger *burn_create (apr_pool_t *pool);
void burn_record (struct burn_ledger *ledger, struct str service,
                  struct str region, enum burn_cause cause, apr_time_t now);
const char *burn_cause_name (enum burn_cause cause);
/* Returns the counts of every service, region and window as a new JSON
   list: {"service","region","window_s","good","bad",
   "causes":{...}}.  */
json_object *burn_counts (struct burn_ledger *ledger, apr_time_t now);
/* Adds the counts of SOURCE (as from burn_counts) into TOTAL.  */
void burn_merge (json_object *total, json_object *source);
/* Returns {"service","region","window_s","calls","bad","burn_rate",
   "budget_left_percent","causes"} rows for COUNTS under the objectives of
   SNAPSHOT.  */
json_object *burn_report (json_object *counts,
                          const struct snapshot *snapshot);

#endif
