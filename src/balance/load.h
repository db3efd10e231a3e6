/* What this entry knows of the load of one upstream.

   Three sources: its own requests in progress there, the report that comes
   with answers (which covers the requests of all entries), and how long
   answers take.  Reports are old at once, so they fade towards what is usual.

     load_begin (&load, now);
     ...
     load_report (&load, &report, now);
     load_end (&load, LOAD_ANSWERED, elapsed, expected, now);

   Units: microseconds.  Threads: one thread.  */
#ifndef BALANCE_LOAD_H
#define BALANCE_LOAD_H

#include <apr_time.h>
#include <stdbool.h>
#include <stdint.h>

/* How a request at an upstream ended.  */
enum load_result
{
  LOAD_ANSWERED = 1,
  LOAD_REFUSED,   /* not run: full, or not this upstream */
  LOAD_UNREACHED, /* no connection */
  LOAD_FAILED,    /* broken off, or an answer that says it failed */
  LOAD_SILENT,    /* given up here, since no answer came in time */
  LOAD_LATE,      /* given up here for another upstream */
  LOAD_CANCELLED  /* given up here; says nothing of the upstream */
};

/* What an upstream says of itself with an answer.  */
struct load_report
{
  int64_t running;
  int64_t waiting;
  int64_t slots;
  int64_t pace_percent; /* how long work takes there now; 100: as usual */
};

struct load
{
  int64_t slots;
  int64_t own; /* requests of this entry in progress */
  double others;
  apr_time_t reported_at; /* 0: never */
  double pace;            /* 1: as usual */
  double slowness;        /* answers' time over what was expected */
  apr_time_t slowness_at;
  apr_time_t answered_at; /* last sign of life while requests were there */
  int64_t failures;       /* in a row */
  double failing;         /* part of the latest requests that failed */
  apr_time_t failing_at;
  apr_time_t avoid_until;
  double cold_room; /* requests that it may get now while it is cold */
  apr_time_t cold_at;
};

void load_init (struct load *load, int64_t slots);
void load_begin (struct load *load, apr_time_t now);
void load_report (struct load *load, const struct load_report *report,
                  apr_time_t now);
/* ELAPSED: until the answer; EXPECTED: what it should have taken there.  */
void load_end (struct load *load, enum load_result result, apr_time_t elapsed,
               apr_time_t expected, apr_time_t now);
/* Returns the requests estimated to be there, running and waiting.  */
double load_busy (const struct load *load, apr_time_t now);
/* Returns the factor by which work takes longer there now than usual.  */
double load_factor (const struct load *load, apr_time_t now);
/* Returns the part of requests that are expected to fail, 0 to 1.  */
double load_failing (const struct load *load, apr_time_t now);
/* Returns whether requests there have been silent for longer than LIMIT.  */
bool load_is_silent (const struct load *load, apr_time_t limit,
                     apr_time_t now);
/* Takes one of the requests that a cold upstream can serve at RATE a second,
   with at most BURST at once; returns false, and takes nothing, if there is
   none.
 */
bool load_take_cold (struct load *load, double rate, double burst,
                     apr_time_t now);
/* Returns whether load_take_cold would succeed.  */
bool load_has_cold (const struct load *load, double rate, double burst,
                    apr_time_t now);

#endif
