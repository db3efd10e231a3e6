/* Metrics (counters, gauges and latency histograms) and their Prometheus text
   form.

   A module looks up each metric once, by name and labels, and keeps the
   pointer.  A lookup with the same name and labels returns the same metric.

     struct counter *calls = counter_get (counters, "citroncleat_calls_total",
                                          "service=\"orderdesk\"", "Calls.");
     counter_add (calls, 1);

   Metrics live as long as their set (`struct counters').  Threads: any;
   updates are atomic, lookup and rendering lock the set.  */
#ifndef BASE_COUNTER_H
#define BASE_COUNTER_H

#include "base/str.h"

#include <apr_pools.h>
#include <stdint.h>

/* A set of metrics, rendered as one metrics page.  */
struct counters;
/* One counter or gauge.  */
struct counter;
/* One histogram of durations.  */
struct histogram;

/* Inclusive upper bounds of a histogram's buckets, in microseconds, from 0.5
   ms to 10 s.  One more bucket counts all values above the last bound.  */
#define HISTOGRAM_BUCKETS 16
extern const int64_t histogram_bounds_us[HISTOGRAM_BUCKETS];

/* Creates an empty set in POOL, which also owns its metrics.  */
struct counters *counters_create (apr_pool_t *pool);
/* Returns the counter NAME with LABELS; creates it, with the value 0, at the
   first call.  LABELS is a list like `service="a",zone="b"', or "".  HELP is
   the help text on the metrics page; that of the first metric of a NAME is
   used.  A counter only grows, and all metrics of a NAME have one kind.  */
struct counter *counter_get (struct counters *counters, const char *name,
                             const char *labels, const char *help);
/* As `counter_get', for a gauge, whose value may also fall.  */
struct counter *gauge_get (struct counters *counters, const char *name,
                           const char *labels, const char *help);
/* Adds N to COUNTER.  */
void counter_add (struct counter *counter, int64_t n);
/* Sets the value of a gauge.  */
void counter_set (struct counter *counter, int64_t value);
/* Returns the value of a counter or gauge.  */
int64_t counter_value (const struct counter *counter);
/* As `counter_get', for a histogram.  */
struct histogram *histogram_get (struct counters *counters, const char *name,
                                 const char *labels, const char *help);
/* Counts one duration of VALUE_US microseconds.  */
void histogram_observe (struct histogram *histogram, int64_t value_us);
/* Renders all metrics, in order of name, as Prometheus text into POOL.
   Histograms are rendered in seconds.  */
struct str counters_render (struct counters *counters, apr_pool_t *pool);

#endif
