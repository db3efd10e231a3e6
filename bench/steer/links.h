/* Bytes over one way of a link, by eleven entries with the real shares,
   membership and pacing, on a virtual clock of whole milliseconds.  */
#ifndef BENCH_LINKS_H
#define BENCH_LINKS_H

#include <stdbool.h>
#include <stdint.h>

enum
{
  LINKS_ENTRIES = 11,
  LINKS_WINDOW_MS = 100
};

struct links_plan
{
  uint64_t seed;
  int64_t cap;      /* bytes a second */
  double load;      /* demand, of the cap */
  int busy_entries; /* all demand is at so many; 0: at all of two regions */
  bool disturbed;
  bool no_waiting; /* parts grow without confirmations */
  int length_ms;
};

struct links_result
{
  int64_t windows_over;   /* sliding windows with more than the cap */
  int64_t most_in_window; /* bytes */
  double use;             /* of the cap, after 3 s */
};

struct links_result links_run (const struct links_plan *plan);

#endif
