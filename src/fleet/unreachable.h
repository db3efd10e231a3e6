/* Upstreams that entries could not reach, as a reader collects it from them.

   Among hundreds of entries each would find out by itself, with a request of a
   caller, that an upstream is gone, for seconds until the platform's store
   says so.  Entries therefore report to their reader, and get from it, which
   upstreams to avoid and for how long.

     unreachable_report (list, &report, now);
     count = unreachable_query (list, now, warnings, UNREACHABLE_MAX);

   An upstream is listed once an entry reports that another one has its address
   or that nothing listens there, or that it is silent.  An entry that finds
   many of them silent may be cut off itself: of more than eight within two
   seconds, only those are listed that another entry finds silent too.  An
   upstream is listed for a second, and twice as long each time that it is
   reported again soon after that, up to four seconds.

   Units: microseconds.  Threads: one thread.  */
#ifndef FLEET_UNREACHABLE_H
#define FLEET_UNREACHABLE_H

#include "base/str.h"

#include <apr_time.h>
#include <stdbool.h>
#include <stdint.h>

enum
{
  UNREACHABLE_MAX = 512 /* upstreams that are remembered; further reports are
                           dropped */
};

struct unreachable;

struct unreachable_report
{
  struct str id;
  int64_t incarnation;
  uint64_t reporter; /* hash of the entry's name */
  bool is_certain;   /* it was refused, not only silent */
};

struct unreachable_warning
{
  struct str id;
  int64_t incarnation;
  apr_time_t left; /* for how long to avoid it */
};

/* Creates an empty list in POOL.  */
struct unreachable *unreachable_create (apr_pool_t *pool);
/* Adds what an entry found out.  */
void unreachable_report (struct unreachable *list,
                         const struct unreachable_report *report,
                         apr_time_t now);
/* INCARNATION of the upstream ID, or the next one, responds again.  Returns
   whether it was reported.  */
bool unreachable_forget (struct unreachable *list, struct str id,
                         int64_t incarnation);
/* Stores up to MAX_COUNT upstreams that are to be avoided in OUT; returns how
   many.  Their ids are valid until the next report.  */
size_t unreachable_query (const struct unreachable *list, apr_time_t now,
                          struct unreachable_warning *out, size_t max_count);

#endif
