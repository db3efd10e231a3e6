#include "burn/burn.h"

#include "base/json.h"

#include <apr_strings.h>
#include <apr_thread_mutex.h>
#include <string.h>

/* types */

enum
{
  MINUTES_KEPT = 1440 /* the longest window */
};

/* One bucket of a ring that is indexed by the minute's number.  */
struct minute_counts
{
  int64_t number; /* of the minute, by the monotonic clock */
  uint32_t counts[BURN_CAUSE_COUNT];
};

/* The counts of one service in one region.  */
struct series
{
  struct series *next;
  struct str service;
  struct str region;
  struct minute_counts minutes[MINUTES_KEPT];
};

struct burn_tracker
{
  apr_pool_t *pool;
  apr_thread_mutex_t *mutex;
  struct series *first_series;
};

/* constants */

#define MINUTE_US INT64_C (60000000)

static const int64_t windows_s[] = { 300, 3600, 21600, 86400 };

enum
{
  WINDOW_COUNT = sizeof windows_s / sizeof *windows_s
};

static const char *const cause_names[BURN_CAUSE_COUNT]
    = { "good", "slow", "failed", "refused", "unknown", "deadline" };

/* private functions */

/* Returns the series of SERVICE in REGION; creates it if it does not exist. */
static struct series *
get_series (struct burn_tracker *tracker, struct str service,
            struct str region)
{
  struct series *series = tracker->first_series;
  while (series
         && !(str_equal (series->service, service)
              && str_equal (series->region, region)))
    series = series->next;
  if (series)
    return series;
  series = apr_pcalloc (tracker->pool, sizeof *series);
  series->service = str_dup (tracker->pool, service);
  series->region = str_dup (tracker->pool, region);
  series->next = tracker->first_series;
  tracker->first_series = series;
  return series;
}

/* Returns one row of burn_counts: the counts of the WINDOW_S seconds that end
   with MINUTE.  */
static json_object *
series_to_json (const struct series *series, int64_t window_s, int64_t minute)
{
  int64_t counts[BURN_CAUSE_COUNT] = { 0 };
  int64_t bad = 0;
  for (int i = 0; i < MINUTES_KEPT; i++)
    {
      const struct minute_counts *m = &series->minutes[i];
      if (m->number > minute - window_s / 60 && m->number <= minute)
        for (int cause = 0; cause < BURN_CAUSE_COUNT; cause++)
          counts[cause] += m->counts[cause];
    }
  json_object *row = json_object_new_object ();
  json_object *causes = json_object_new_object ();
  for (int cause = 1; cause < BURN_CAUSE_COUNT; cause++)
    {
      bad += counts[cause];
      json_object_object_add (causes, cause_names[cause],
                              json_object_new_int64 (counts[cause]));
    }
  json_object_object_add (row, "service",
                          json_object_new_string (series->service.data));
  json_object_object_add (row, "region",
                          json_object_new_string (series->region.data));
  json_object_object_add (row, "window_s", json_object_new_int64 (window_s));
  json_object_object_add (row, "good",
                          json_object_new_int64 (counts[BURN_GOOD]));
  json_object_object_add (row, "bad", json_object_new_int64 (bad));
  json_object_object_add (row, "causes", causes);
  return row;
}

/* Returns whether two rows have the same service, region and window.  */
static bool
is_same_row (json_object *a, json_object *b)
{
  return json_member_number (a, "window_s")
             == json_member_number (b, "window_s")
         && strcmp (json_object_get_string (json_member (a, "service")),
                    json_object_get_string (json_member (b, "service")))
                == 0
         && strcmp (json_object_get_string (json_member (a, "region")),
                    json_object_get_string (json_member (b, "region")))
                == 0;
}

static void
add_number (json_object *to, json_object *from, const char *name)
{
  json_object_object_add (
      to, name,
      json_object_new_int64 (json_member_number (to, name)
                             + json_member_number (from, name)));
}

static void
add_row (json_object *to, json_object *from)
{
  add_number (to, from, "good");
  add_number (to, from, "bad");
  for (int cause = 1; cause < BURN_CAUSE_COUNT; cause++)
    add_number (json_member (to, "causes"), json_member (from, "causes"),
                cause_names[cause]);
}

/* public functions */

struct burn_tracker *
burn_create (apr_pool_t *pool)
{
  struct burn_tracker *tracker = apr_pcalloc (pool, sizeof *tracker);
  apr_pool_create (&tracker->pool, pool);
  apr_thread_mutex_create (&tracker->mutex, APR_THREAD_MUTEX_DEFAULT, pool);
  return tracker;
}

void
burn_record (struct burn_tracker *tracker, struct str service,
             struct str region, enum burn_cause cause, apr_time_t now)
{
  int64_t minute = now / MINUTE_US;
  apr_thread_mutex_lock (tracker->mutex);
  struct series *series = get_series (tracker, service, region);
  struct minute_counts *m = &series->minutes[minute % MINUTES_KEPT];
  if (m->number != minute)
    {
      memset (m, 0, sizeof *m);
      m->number = minute;
    }
  m->counts[cause]++;
  apr_thread_mutex_unlock (tracker->mutex);
}

const char *
burn_cause_name (enum burn_cause cause)
{
  return cause_names[cause];
}

json_object *
burn_counts (struct burn_tracker *tracker, apr_time_t now)
{
  json_object *list = json_object_new_array ();
  apr_thread_mutex_lock (tracker->mutex);
  for (const struct series *series = tracker->first_series; series;
       series = series->next)
    for (int w = 0; w < WINDOW_COUNT; w++)
      json_object_array_add (
          list, series_to_json (series, windows_s[w], now / MINUTE_US));
  apr_thread_mutex_unlock (tracker->mutex);
  return list;
}

void
burn_merge (json_object *total, json_object *source)
{
  size_t n = json_object_array_length (source);
  for (size_t i = 0; i < n; i++)
    {
      json_object *row = json_object_array_get_idx (source, i);
      json_object *found = NULL;
      for (size_t j = 0; j < json_object_array_length (total) && !found; j++)
        if (is_same_row (json_object_array_get_idx (total, j), row))
          found = json_object_array_get_idx (total, j);
      if (found)
        add_row (found, row);
      else
        {
          json_object *copy = NULL;
          json_object_deep_copy (row, &copy, NULL);
          json_object_array_add (total, copy);
        }
    }
}

json_object *
burn_report (json_object *counts, const struct snapshot *snapshot)
{
  json_object *report = json_object_new_array ();
  for (size_t i = 0; i < json_object_array_length (counts); i++)
    {
      json_object *row = json_object_array_get_idx (counts, i);
      const struct service *service = snapshot_find (
          snapshot, KIND_SERVICE,
          str_from (json_object_get_string (json_member (row, "service"))));
      if (!service)
        continue;
      json_object *out = NULL;
      json_object_deep_copy (row, &out, NULL);
      int64_t bad = json_member_number (row, "bad");
      int64_t calls = bad + json_member_number (row, "good");
      double allowed_fraction
          = (double)(1000000 - service->objective.target_ppm) / 1e6;
      double rate
          = calls > 0 ? (double)bad / (double)calls / allowed_fraction : 0.0;
      double budget_left = 100.0 * (1.0 - rate);
      json_object_object_add (out, "calls", json_object_new_int64 (calls));
      json_object_object_add (out, "burn_rate", json_object_new_double (rate));
      json_object_object_add (
          out, "budget_left_percent",
          json_object_new_double (budget_left > 0 ? budget_left : 0));
      json_object_array_add (report, out);
    }
  return report;
}
