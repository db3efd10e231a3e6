/* Estimate of the load of one upstream.

   It has three sources: this entry's own requests in flight there; the report
   that comes with a response, which covers the requests of all entries; and
   the time that responses take.  What was reported and observed is out of date
   soon, so it decays exponentially to the typical level.

   For each request at the upstream, the second one only if its response has a
   report:

     load_begin_request (&load, now);
     load_apply_report (&load, &report, now);
     load_end_request (&load, LOAD_ANSWERED, elapsed, expected, now);

   balance/balance.h reads the estimates when it chooses an upstream.

   Units: microseconds, unless stated otherwise.  Threads: one thread.  */
#ifndef BALANCE_LOAD_H
#define BALANCE_LOAD_H

#include <apr_time.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* How a request at an upstream ended.  */
enum load_result
{
  LOAD_ANSWERED = 1,
  LOAD_REFUSED,     /* not executed, most often because no slot is free */
  LOAD_UNREACHABLE, /* no connection, a dead one, or another upstream has the
                       address */
  LOAD_FAILED,      /* the connection broke, or the response is an error */
  LOAD_TIMED_OUT,   /* abandoned, because no response came in time */
  LOAD_SUPERSEDED,  /* abandoned for another upstream, because it took long */
  LOAD_CANCELLED    /* abandoned for a reason not due to the upstream */
};

/* What an upstream reports of itself with a response.  */
struct load_report
{
  int64_t running; /* requests of all entries in its slots */
  int64_t waiting; /* requests of all entries in its queue */
  int64_t slots;   /* requests that it runs at once */
  /* How long work takes now; 100: as typical.  */
  int64_t slowdown_percent;
};

enum
{
  LOAD_RECENT_SENDS = 16 /* whose times are kept; an entry sends fewer to one
                            upstream within the seconds that matter */
};

struct load
{
  int64_t slots;            /* as listed in the store, then as reported */
  int64_t in_flight;        /* requests of this entry, running and waiting */
  double others_in_flight;  /* requests of other entries when reported */
  apr_time_t reported_at;   /* 0: never */
  double reported_slowdown; /* in the latest report; 1: as typical */
  double observed_slowdown; /* time of responses over the expected time */
  apr_time_t observed_at;
  apr_time_t last_activity_at; /* a request ended, or the first one began */
  apr_time_t answered_at;      /* the latest response; 0: none yet */
  int64_t connect_failures;    /* in a row */
  double failure_rate;         /* moving average, 0 to 1 */
  apr_time_t failure_rate_at;
  apr_time_t avoid_until; /* gets no requests until then, after a failure to
                             connect */
  apr_time_t turned_away_until; /* it wants no request of this entry before;
                                   0: it never said so */
  bool is_returning;            /* none was answered since then */
  apr_time_t restricted_until;  /* the time that it stated, without a bound */
  int64_t restricted_requests;  /* begun in that time */
  apr_time_t recent_sends[LOAD_RECENT_SENDS]; /* ring buffer of the latest */
  size_t sends; /* in all; the next one's place in the ring */
};

/* Initializes the load of an upstream that has SLOTS and no requests.  */
void load_init (struct load *load, int64_t slots);
/* A request of this entry is sent to the upstream.  */
void load_begin_request (struct load *load, apr_time_t now);
/* Returns how many requests this entry has sent there since SINCE, at most
   LOAD_RECENT_SENDS.  */
int64_t load_sends_since (const struct load *load, apr_time_t since);
/* Applies the report of a response, before its request ends.  */
void load_apply_report (struct load *load, const struct load_report *report,
                        apr_time_t now);
/* A request of this entry ended with RESULT.  ELAPSED: until its response or
   until it was abandoned, without the round trip; EXPECTED: what ELAPSED
   should have been by the service time and the slowdown reported before.  */
void load_end_request (struct load *load, enum load_result result,
                       apr_time_t elapsed, apr_time_t expected,
                       apr_time_t now);
/* Keeps new requests from the upstream until UNTIL, since other entries could
   not reach it.  Returns false, changing nothing, if it has responded to this
   entry within the last second.  */
bool load_avoid (struct load *load, apr_time_t until, apr_time_t now);
/* The upstream refused a request and wants none of this entry for WAIT, from
   NOW on.  A wait that it stated before and that ends later stays.  After it
   the upstream returns: it gets one request at a time until one is answered.
   No effect if WAIT is 0 or less.  */
void load_turn_away (struct load *load, apr_time_t wait, apr_time_t now);
/* The upstream stated that it wants no request for WAIT.  Until then it gets
   at most two, also if the wait given to load_turn_away is shorter.  */
void load_restrict (struct load *load, apr_time_t wait, apr_time_t now);
/* Returns how much later than its wait ends this entry sends requests to an
   upstream again, so that the entries don't return at once: two of them after
   no time, and the others two by two.  RANK is that of this entry for the
   upstream among ENTRIES, from 0.  */
apr_time_t load_return_delay (size_t rank, size_t entries);
/* Returns whether the upstream wants no request of this entry now.  */
bool load_is_turned_away (const struct load *load, apr_time_t now);
/* Returns until when load_is_turned_away holds; 0 if it doesn't.  */
apr_time_t load_returns_at (const struct load *load, apr_time_t now);
/* Returns whether the upstream has turned this entry away and has answered no
   request since.  It is then sent one request at a time.  */
bool load_is_returning (const struct load *load);
/* Makes LOAD, of a new object, continue what the upstream stated in OLD.  */
void load_inherit_wait (struct load *load, const struct load *old);
/* Returns the estimate of all entries' requests at the upstream, running and
   waiting.  */
double load_in_flight (const struct load *load, apr_time_t now);
/* Returns the weight of the latest report in that estimate, 0 to 1.  */
double load_report_weight (const struct load *load, apr_time_t now);
/* Returns the factor by which work takes longer there now than the service
   time, as reported and observed.  */
double load_slowdown (const struct load *load, apr_time_t now);
/* Returns the fraction of requests that are expected to fail, 0 to 1.  A
   refusal counts as half a failure.  */
double load_failure_rate (const struct load *load, apr_time_t now);
/* Returns whether this entry has requests at the upstream and for longer than
   LIMIT none of them ended, nor the first of them began.  */
bool load_is_unresponsive (const struct load *load, apr_time_t limit,
                           apr_time_t now);
/* The upstream responded, AS_OF that time, to a health check of this entry or
   of another one: it is not avoided any more.  */
void load_end_avoidance (struct load *load, apr_time_t as_of);
/* Makes LOAD, of the next process of an upstream, continue what was sent to
   the process of OLD.  */
void load_inherit_sends (struct load *load, const struct load *old);
#endif
