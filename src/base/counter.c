#include "base/counter.h"

#include <apr_buckets.h>
#include <apr_strings.h>
#include <apr_thread_mutex.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* types */

struct counter
{
  _Atomic int64_t value;
};

struct histogram
{
  _Atomic int64_t buckets[HISTOGRAM_BUCKETS + 1];
  _Atomic int64_t sum_us;
};

enum metric_kind
{
  METRIC_COUNTER,
  METRIC_GAUGE,
  METRIC_HISTOGRAM
};

/* One metric of a set, with either a counter (or gauge) or a histogram.  */
struct metric
{
  enum metric_kind kind;
  const char *name;
  const char *labels;
  const char *help;
  struct counter *counter;
  struct histogram *histogram; /* NULL unless KIND is METRIC_HISTOGRAM */
  struct metric *next;         /* by name; equal names in order of creation */
};

struct counters
{
  apr_pool_t *pool;
  apr_thread_mutex_t *mutex;
  struct metric *first;
};

/* constants */

const int64_t histogram_bounds_us[HISTOGRAM_BUCKETS]
    = { 500,    1000,   2000,   5000,   10000,   20000,   35000,   50000,
        100000, 200000, 350000, 500000, 1000000, 2000000, 5000000, 10000000 };

static const char *const kind_names[] = { "counter", "gauge", "histogram" };

/* private functions */

/* Returns the metric NAME with LABELS; creates it if it does not exist.  */
static struct metric *
metric_get (struct counters *counters, enum metric_kind kind, const char *name,
            const char *labels, const char *help)
{
  apr_thread_mutex_lock (counters->mutex);
  struct metric **at = &counters->first;
  while (*at && strcmp ((*at)->name, name) < 0)
    at = &(*at)->next;
  struct metric *found = *at;
  while (found && strcmp (found->name, name) == 0
         && strcmp (found->labels, labels) != 0)
    found = found->next;
  if (!found || strcmp (found->name, name) != 0)
    {
      while (*at && strcmp ((*at)->name, name) == 0)
        at = &(*at)->next;
      found = apr_pcalloc (counters->pool, sizeof *found);
      found->kind = kind;
      found->name = apr_pstrdup (counters->pool, name);
      found->labels = apr_pstrdup (counters->pool, labels);
      found->help = apr_pstrdup (counters->pool, help);
      found->counter = apr_pcalloc (counters->pool, sizeof (struct counter));
      if (kind == METRIC_HISTOGRAM)
        found->histogram
            = apr_pcalloc (counters->pool, sizeof (struct histogram));
      found->next = *at;
      *at = found;
    }
  apr_thread_mutex_unlock (counters->mutex);
  return found;
}

static char *
render_histogram (const struct metric *metric, char *text, apr_pool_t *pool)
{
  const struct histogram *h = metric->histogram;
  const char *comma = metric->labels[0] ? "," : "";
  int64_t total = 0;
  for (int i = 0; i <= HISTOGRAM_BUCKETS; i++)
    {
      total += atomic_load (&h->buckets[i]);
      char bound[32] = "+Inf";
      if (i < HISTOGRAM_BUCKETS)
        snprintf (bound, sizeof bound, "%g",
                  (double)histogram_bounds_us[i] / 1e6);
      text = str_format (pool, "%s%s_bucket{%s%sle=\"%s\"} %lld\n", text,
                         metric->name, metric->labels, comma, bound,
                         (long long)total);
    }
  return str_format (pool, "%s%s_sum{%s} %g\n%s_count{%s} %lld\n", text,
                     metric->name, metric->labels,
                     (double)atomic_load (&h->sum_us) / 1e6, metric->name,
                     metric->labels, (long long)total);
}

static char *
render_metric (const struct metric *metric, apr_pool_t *pool)
{
  if (metric->kind == METRIC_HISTOGRAM)
    return render_histogram (metric, "", pool);
  const char *open = metric->labels[0] ? "{" : "";
  const char *close = metric->labels[0] ? "}" : "";
  return str_format (pool, "%s%s%s%s %lld\n", metric->name, open,
                     metric->labels, close,
                     (long long)counter_value (metric->counter));
}

/* public functions */

struct counters *
counters_create (apr_pool_t *pool)
{
  struct counters *counters = apr_pcalloc (pool, sizeof *counters);
  apr_pool_create (&counters->pool, pool);
  apr_thread_mutex_create (&counters->mutex, APR_THREAD_MUTEX_DEFAULT, pool);
  return counters;
}

struct counter *
counter_get (struct counters *counters, const char *name, const char *labels,
             const char *help)
{
  return metric_get (counters, METRIC_COUNTER, name, labels, help)->counter;
}

struct counter *
gauge_get (struct counters *counters, const char *name, const char *labels,
           const char *help)
{
  return metric_get (counters, METRIC_GAUGE, name, labels, help)->counter;
}

void
counter_add (struct counter *counter, int64_t n)
{
  atomic_fetch_add_explicit (&counter->value, n, memory_order_relaxed);
}

void
counter_set (struct counter *counter, int64_t value)
{
  atomic_store_explicit (&counter->value, value, memory_order_relaxed);
}

int64_t
counter_value (const struct counter *counter)
{
  return atomic_load_explicit (&counter->value, memory_order_relaxed);
}

struct histogram *
histogram_get (struct counters *counters, const char *name, const char *labels,
               const char *help)
{
  return metric_get (counters, METRIC_HISTOGRAM, name, labels, help)
      ->histogram;
}

void
histogram_observe (struct histogram *histogram, int64_t value_us)
{
  int i = 0;
  while (i < HISTOGRAM_BUCKETS && value_us > histogram_bounds_us[i])
    i++;
  atomic_fetch_add_explicit (&histogram->buckets[i], 1, memory_order_relaxed);
  atomic_fetch_add_explicit (&histogram->sum_us, value_us,
                             memory_order_relaxed);
}

struct str
counters_render (struct counters *counters, apr_pool_t *pool)
{
  apr_array_header_t *texts = apr_array_make (pool, 64, sizeof (char *));
  const char *last_name = "";
  apr_thread_mutex_lock (counters->mutex);
  for (const struct metric *m = counters->first; m; m = m->next)
    {
      if (strcmp (m->name, last_name) != 0)
        APR_ARRAY_PUSH (texts, char *)
            = str_format (pool, "# HELP %s %s\n# TYPE %s %s\n", m->name,
                          m->help, m->name, kind_names[m->kind]);
      last_name = m->name;
      APR_ARRAY_PUSH (texts, char *) = render_metric (m, pool);
    }
  apr_thread_mutex_unlock (counters->mutex);
  return str_from (apr_array_pstrcat (pool, texts, 0));
}
