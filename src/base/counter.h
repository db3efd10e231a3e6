/* Counters, gauges and latency histograms, and their Prometheus text form.

   A part asks for a counter once, by name and labels, and keeps the pointer;
   asking again with the same name and labels gives the same counter.

     struct counter *calls = counter_get (counters, "citroncleat_calls_total",
                                          "service=\"orderdesk\"", "Calls.");
     counter_add (calls, 1);

   Counters live as long as their set.  Threads: counting is atomic; asking
   and rendering lock the set.  */
#ifndef BASE_COUNTER_H
#define BASE_COUNTER_H

#include "base/str.h"

#include <apr_pools.h>
#include <stdint.h>

struct counters;
struct counter;
struct histogram;

/* Upper bounds of the histogram's buckets; one more holds the rest.
   Units: microseconds.  */
#define HISTOGRAM_BUCKETS 16
extern const int64_t histogram_bounds_us[HISTOGRAM_BUCKETS];

struct counters *counters_create (apr_pool_t *pool);
/* Returns a counter that only grows.  LABELS may be "".  */
struct counter *counter_get (struct counters *counters, const char *name,
                             const char *labels, const char *help);
/* Returns a counter whose value may also fall.  */
struct counter *gauge_get (struct counters *counters, const char *name,
                           const char *labels, const char *help);
void counter_add (struct counter *counter, int64_t n);
void counter_set (struct counter *counter, int64_t value);
int64_t counter_value (const struct counter *counter);
struct histogram *histogram_get (struct counters *counters, const char *name,
                                 const char *labels, const char *help);
void histogram_add (struct histogram *histogram, int64_t value_us);
/* Renders all as Prometheus text into POOL.  */
struct str counters_render (struct counters *counters, apr_pool_t *pool);

#endif
