#include "balance/load.h"

#include <math.h>
#include <string.h>

/* constants */

/* Time constants of the exponential decay of reports and observations.  */

/* Other entries' requests last about this long, so an older report says little
   about them.  */
static const double report_decay_us = 1000000.0;
/* The speed of a machine changes several times per second.  */
static const double reported_slowdown_decay_us = 400000.0;
/* These two let an upstream that was slow or failed be tried again within
   seconds.  */
static const double observed_slowdown_decay_us = 3000000.0;
static const double failure_rate_decay_us = 2500000.0;

/* Weights of the newest observation in the moving averages.  */
static const double newest_slowdown_weight = 0.2; /* of a response */
/* One long request does not show that the upstream is slow, so a response
   counts as at most this many times the expected time.  */
static const double max_slowdown = 6.0;
static const double newest_failure_weight = 0.25; /* of a request's end */
/* What a refusal counts of a failure: it costs only a second attempt.  */
static const double refusal_weight = 0.5;

/* For so long after its response an upstream is not avoided since others could
   not reach it.  */
static const apr_time_t trusted_answer_us = 1000000;

/* An upstream that cannot be connected to is avoided, twice as long after each
   further failure.  */
enum
{
  FIRST_AVOID_MS = 300, /* after the first failure */
  MAX_AVOID_MS = 2000,  /* bounds how late its return is noticed */
  MAX_DOUBLINGS = 3     /* enough to reach MAX_AVOID_MS */
};

enum
{
  /* Requests within the time that an upstream stated when it refused one.  The
     platform's rules allow two.  */
  RESTRICTED_REQUESTS_MAX = 2
};

enum
{
  /* Entries that return at once to an upstream that has turned them away.  */
  RETURN_SENDERS = 2,
  /* Between these and the next two: about the time of a short request, so that
     they find its load in the responses.  */
  RETURN_STEP_MS = 100,
  RETURN_SPREAD_MAX_MS = 1000 /* bounds what the last entry loses */
};

/* private functions */

/* Returns the factor of the exponential decay from SINCE to NOW.  */
static double
decay (apr_time_t since, apr_time_t now, double time_constant)
{
  return now <= since ? 1.0 : exp (-(double)(now - since) / time_constant);
}

/* FAILED: 1 for a failure, 0 for none, between for what counts as less.  */
static void
update_failure_rate (struct load *load, double failed, apr_time_t now)
{
  double before = load_failure_rate (load, now);
  load->failure_rate = before + newest_failure_weight * (failed - before);
  load->failure_rate_at = now;
}

/* Keeps new requests from an upstream that could not be connected to.  */
static void
avoid_for_a_while (struct load *load, apr_time_t now)
{
  int64_t doublings = load->connect_failures < MAX_DOUBLINGS
                          ? load->connect_failures
                          : MAX_DOUBLINGS;
  int64_t wait_ms = (int64_t)FIRST_AVOID_MS << doublings;
  if (wait_ms > MAX_AVOID_MS)
    wait_ms = MAX_AVOID_MS;
  load->avoid_until = now + wait_ms * (APR_USEC_PER_SEC / 1000);
  load->connect_failures++;
}

static void
update_slowdown (struct load *load, apr_time_t elapsed, apr_time_t expected,
                 apr_time_t now)
{
  if (expected <= 0)
    return;
  double ratio = (double)elapsed / (double)expected;
  if (ratio > max_slowdown)
    ratio = max_slowdown;
  double before
      = 1.0
        + (load->observed_slowdown - 1.0)
              * decay (load->observed_at, now, observed_slowdown_decay_us);
  load->observed_slowdown = before + newest_slowdown_weight * (ratio - before);
  load->observed_at = now;
}

/* public functions */

void
load_init (struct load *load, int64_t slots)
{
  *load = (struct load){ .slots = slots,
                         .reported_slowdown = 1.0,
                         .observed_slowdown = 1.0 };
}

void
load_begin_request (struct load *load, apr_time_t now)
{
  if (load->in_flight++ == 0)
    load->last_activity_at = now;
  load->recent_sends[load->sends++ % LOAD_RECENT_SENDS] = now;
  if (now < load->restricted_until)
    load->restricted_requests++;
}

int64_t
load_sends_since (const struct load *load, apr_time_t since)
{
  size_t known
      = load->sends < LOAD_RECENT_SENDS ? load->sends : LOAD_RECENT_SENDS;
  int64_t count = 0;
  while (count < (int64_t)known
         && load->recent_sends[(load->sends - 1 - (size_t)count)
                               % LOAD_RECENT_SENDS]
                >= since)
    count++;
  return count;
}

void
load_apply_report (struct load *load, const struct load_report *report,
                   apr_time_t now)
{
  double total = (double)(report->running + report->waiting);
  /* The request that carries the report is no longer there.  */
  double own = (double)(load->in_flight > 0 ? load->in_flight - 1 : 0);
  load->others_in_flight = total > own ? total - own : 0.0;
  if (report->slots > 0)
    load->slots = report->slots;
  if (report->slowdown_percent > 0)
    load->reported_slowdown = (double)report->slowdown_percent / 100.0;
  load->reported_at = now;
}

void
load_end_request (struct load *load, enum load_result result,
                  apr_time_t elapsed, apr_time_t expected, apr_time_t now)
{
  load->in_flight--;
  load->last_activity_at = now;
  switch (result)
    {
    case LOAD_ANSWERED:
      load->answered_at = now;
      load->connect_failures = 0;
      load->avoid_until = 0;
      if (now >= load->turned_away_until)
        load->is_returning = false;
      update_failure_rate (load, 0.0, now);
      update_slowdown (load, elapsed, expected, now);
      break;
    case LOAD_REFUSED:
      update_failure_rate (load, refusal_weight, now);
      break;
    case LOAD_UNREACHABLE:
      avoid_for_a_while (load, now);
      break;
    case LOAD_FAILED:
      update_failure_rate (load, 1.0, now);
      break;
    case LOAD_TIMED_OUT:
      update_failure_rate (load, 1.0, now);
      break;
    case LOAD_SUPERSEDED:
      update_slowdown (load, elapsed, expected, now);
      break;
    case LOAD_CANCELLED:
      break;
    }
}

bool
load_avoid (struct load *load, apr_time_t until, apr_time_t now)
{
  if (load->answered_at > 0 && now - load->answered_at < trusted_answer_us)
    return false;
  if (until > load->avoid_until)
    load->avoid_until = until;
  return true;
}

void
load_turn_away (struct load *load, apr_time_t wait, apr_time_t now)
{
  if (wait <= 0)
    return;
  if (now + wait > load->turned_away_until)
    load->turned_away_until = now + wait;
  load->is_returning = true;
}

void
load_restrict (struct load *load, apr_time_t wait, apr_time_t now)
{
  if (now >= load->restricted_until)
    load->restricted_requests = 0;
  if (now + wait > load->restricted_until)
    load->restricted_until = now + wait;
}

apr_time_t
load_returns_at (const struct load *load, apr_time_t now)
{
  if (now < load->restricted_until
      && load->restricted_requests >= RESTRICTED_REQUESTS_MAX)
    return load->restricted_until > load->turned_away_until
               ? load->restricted_until
               : load->turned_away_until;
  return now < load->turned_away_until ? load->turned_away_until : 0;
}

bool
load_is_turned_away (const struct load *load, apr_time_t now)
{
  return load_returns_at (load, now) > 0;
}

bool
load_is_returning (const struct load *load)
{
  return load->is_returning;
}

apr_time_t
load_return_delay (size_t rank, size_t entries)
{
  size_t groups = (entries + RETURN_SENDERS - 1) / RETURN_SENDERS;
  size_t group = rank / RETURN_SENDERS;
  double step_ms = groups * RETURN_STEP_MS > RETURN_SPREAD_MAX_MS
                       ? (double)RETURN_SPREAD_MAX_MS / (double)groups
                       : RETURN_STEP_MS;
  return (apr_time_t)((double)group * step_ms * (APR_USEC_PER_SEC / 1000));
}

void
load_inherit_wait (struct load *load, const struct load *old)
{
  load->turned_away_until = old->turned_away_until;
  load->is_returning = old->is_returning;
  load->restricted_until = old->restricted_until;
  load->restricted_requests = old->restricted_requests;
}

void
load_end_avoidance (struct load *load, apr_time_t as_of)
{
  load->avoid_until = 0;
  load->connect_failures = 0;
  if (as_of > load->answered_at)
    load->answered_at = as_of;
}

void
load_inherit_sends (struct load *load, const struct load *old)
{
  memcpy (load->recent_sends, old->recent_sends, sizeof load->recent_sends);
  load->sends = old->sends;
}

double
load_report_weight (const struct load *load, apr_time_t now)
{
  return load->reported_at ? decay (load->reported_at, now, report_decay_us)
                           : 0.0;
}

double
load_in_flight (const struct load *load, apr_time_t now)
{
  return load->others_in_flight * load_report_weight (load, now)
         + (double)load->in_flight;
}

double
load_slowdown (const struct load *load, apr_time_t now)
{
  double reported
      = 1.0
        + (load->reported_slowdown - 1.0)
              * decay (load->reported_at, now, reported_slowdown_decay_us);
  double observed
      = 1.0
        + (load->observed_slowdown - 1.0)
              * decay (load->observed_at, now, observed_slowdown_decay_us);
  return reported * (observed > 1.0 ? observed : 1.0);
}

double
load_failure_rate (const struct load *load, apr_time_t now)
{
  return load->failure_rate
         * decay (load->failure_rate_at, now, failure_rate_decay_us);
}

bool
load_is_unresponsive (const struct load *load, apr_time_t limit,
                      apr_time_t now)
{
  return load->in_flight > 0 && now - load->last_activity_at > limit;
}
