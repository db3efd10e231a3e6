#include "balance/load.h"

#include <math.h>

/* constants */

/* Other entries' requests last about this long, so a report of them is worth
   little after it.  */
static const double report_fade_us = 1000000.0;
/* The pace of a machine changes several times a second.  */
static const double pace_fade_us = 400000.0;
/* An upstream that was slow or failed is tried again within seconds.  */
static const double slowness_fade_us = 3000000.0;
static const double failing_fade_us = 2500000.0;
static const double slowness_weight = 0.2; /* of the newest answer */
static const double slowness_most = 6.0;   /* one long request is no sign */
static const double failing_weight = 0.25; /* of the newest request */
/* Of a failure: nothing is lost but a second attempt.  */
static const double refusal_weight = 0.5;

enum
{
  AVOID_FIRST_MS = 300, /* after one failure to connect */
  AVOID_MOST_MS = 2000, /* bounds how late a return is noticed */
  AVOID_DOUBLINGS = 3   /* reach AVOID_MOST_MS */
};

/* private functions */

static double
fade (apr_time_t since, apr_time_t now, double scale)
{
  return now <= since ? 1.0 : exp (-(double)(now - since) / scale);
}

static void
note_failure (struct load *load, double failed, apr_time_t now)
{
  double before = load_failing (load, now);
  load->failing = before + failing_weight * (failed - before);
  load->failing_at = now;
}

static void
avoid (struct load *load, apr_time_t now)
{
  int64_t doublings
      = load->failures < AVOID_DOUBLINGS ? load->failures : AVOID_DOUBLINGS;
  int64_t wait_ms = (int64_t)AVOID_FIRST_MS << doublings;
  if (wait_ms > AVOID_MOST_MS)
    wait_ms = AVOID_MOST_MS;
  load->avoid_until = now + wait_ms * (APR_USEC_PER_SEC / 1000);
  load->failures++;
}

static void
note_time (struct load *load, apr_time_t elapsed, apr_time_t expected,
           apr_time_t now)
{
  if (expected <= 0)
    return;
  double ratio = (double)elapsed / (double)expected;
  if (ratio > slowness_most)
    ratio = slowness_most;
  double before = 1.0
                  + (load->slowness - 1.0)
                        * fade (load->slowness_at, now, slowness_fade_us);
  load->slowness = before + slowness_weight * (ratio - before);
  load->slowness_at = now;
}

static double
cold_room (const struct load *load, double rate, double burst, apr_time_t now)
{
  double room = load->cold_room
                + rate * (double)(now - load->cold_at) / APR_USEC_PER_SEC;
  return room < burst ? room : burst;
}

/* public functions */

void
load_init (struct load *load, int64_t slots)
{
  *load = (struct load){ .slots = slots, .pace = 1.0, .slowness = 1.0 };
}

void
load_begin (struct load *load, apr_time_t now)
{
  if (load->own++ == 0)
    load->answered_at = now;
}

void
load_report (struct load *load, const struct load_report *report,
             apr_time_t now)
{
  double total = (double)(report->running + report->waiting);
  /* The request that carries the report is no longer there.  */
  double own = (double)(load->own > 0 ? load->own - 1 : 0);
  load->others = total > own ? total - own : 0.0;
  if (report->slots > 0)
    load->slots = report->slots;
  if (report->pace_percent > 0)
    load->pace = (double)report->pace_percent / 100.0;
  load->reported_at = now;
}

void
load_end (struct load *load, enum load_result result, apr_time_t elapsed,
          apr_time_t expected, apr_time_t now)
{
  load->own--;
  load->answered_at = now;
  switch (result)
    {
    case LOAD_ANSWERED:
      load->failures = 0;
      load->avoid_until = 0;
      note_failure (load, 0.0, now);
      note_time (load, elapsed, expected, now);
      break;
    case LOAD_REFUSED:
      note_failure (load, refusal_weight, now);
      break;
    case LOAD_UNREACHED:
      avoid (load, now);
      break;
    case LOAD_FAILED:
      note_failure (load, 1.0, now);
      break;
    case LOAD_SILENT:
      note_failure (load, 1.0, now);
      break;
    case LOAD_LATE:
      note_time (load, elapsed, expected, now);
      break;
    case LOAD_CANCELLED:
      break;
    }
}

double
load_busy (const struct load *load, apr_time_t now)
{
  double others
      = load->reported_at
            ? load->others * fade (load->reported_at, now, report_fade_us)
            : 0.0;
  return others + (double)load->own;
}

double
load_factor (const struct load *load, apr_time_t now)
{
  double pace
      = 1.0 + (load->pace - 1.0) * fade (load->reported_at, now, pace_fade_us);
  double slowness = 1.0
                    + (load->slowness - 1.0)
                          * fade (load->slowness_at, now, slowness_fade_us);
  return pace * (slowness > 1.0 ? slowness : 1.0);
}

double
load_failing (const struct load *load, apr_time_t now)
{
  return load->failing * fade (load->failing_at, now, failing_fade_us);
}

bool
load_is_silent (const struct load *load, apr_time_t limit, apr_time_t now)
{
  return load->own > 0 && now - load->answered_at > limit;
}

bool
load_has_cold (const struct load *load, double rate, double burst,
               apr_time_t now)
{
  return cold_room (load, rate, burst, now) >= 1.0;
}

bool
load_take_cold (struct load *load, double rate, double burst, apr_time_t now)
{
  double room = cold_room (load, rate, burst, now);
  if (room < 1.0)
    return false;
  load->cold_room = room - 1.0;
  load->cold_at = now;
  return true;
}
