/* Simulates the use of one direction of a link by eleven entries, with the
   real code of shares, membership and rate limits, on a virtual clock that
   advances by whole milliseconds.

     struct links_plan plan = { .seed = 1, .cap = 500000000, .load = 1.5,
                                .duration_ms = 10000 };
     struct links_result result = links_run (&plan);

   Units: bytes and milliseconds.  Threads: any number of runs side by side.
   Call apr_initialize first.  The result depends on nothing but the plan.  */
#ifndef BENCH_LINKS_H
#define BENCH_LINKS_H

#include <stdbool.h>
#include <stdint.h>

enum
{
  LINKS_ENTRIES = 11,
  LINKS_WINDOW_MS = 100 /* in which the cap must hold */
};

struct links_plan
{
  uint64_t seed;
  int64_t cap;        /* bytes a second */
  double load;        /* demand over the cap */
  int busy_entries;   /* the first so many have all the demand; 0: all entries
                         of the two regions that the link connects */
  bool inject_faults; /* as in `struct cluster_desc', and one message in 20 is
                         lost */
  bool skip_confirmations; /* shares grow without waiting for confirmations */
  int duration_ms;         /* more than 3000, the warm-up */
};

struct links_result
{
  int64_t windows_over;     /* windows with more bytes than the cap allows; a
                               window ends at each millisecond */
  int64_t max_window_bytes; /* in the fullest window */
  double utilization;       /* of the cap, after the first 3 s */
};

/* Runs the simulation PLAN to its end.  */
struct links_result links_run (const struct links_plan *plan);

#endif
