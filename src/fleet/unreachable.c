#include "fleet/unreachable.h"

#include <string.h>

/* constants */

enum
{
  ID_MAX_BYTES = 64, /* upstreams with longer ids are not listed */
  REPORTERS = 1024,  /* entries that share a place count together */
  /* Silent upstreams that one entry can list within the time below.  */
  SILENCES_MAX = 8
};

/* Two silences further apart may have different causes.  */
static const apr_time_t confirm_us = 2000000;
/* Several exchanges of the entries with their reader.  */
static const apr_time_t first_listing_us = 1000000;
/* Bounds how late the return of an upstream is noticed.  */
static const apr_time_t longest_listing_us = 4000000;

/* types */

struct item
{
  char id[ID_MAX_BYTES];
  size_t id_size; /* 0: not in use */
  int64_t incarnation;
  uint64_t reporter; /* of the latest silence */
  apr_time_t reported_at;
  apr_time_t listed_until; /* 0: never listed */
  apr_time_t duration;     /* of the latest listing */
};

/* An entry that reports.  */
struct reporter
{
  apr_time_t since;
  int silences; /* since then */
};

struct unreachable
{
  struct item items[UNREACHABLE_MAX];
  struct reporter reporters[REPORTERS];
};

/* private functions */

static bool
is_outdated (const struct item *item, apr_time_t now)
{
  return now - item->reported_at > confirm_us
         && now - item->listed_until > item->duration;
}

/* Returns the item of the upstream in REPORT, one that may be overwritten, or
   NULL if there is none.  */
static struct item *
find_item (struct unreachable *list, const struct unreachable_report *report,
           apr_time_t now)
{
  struct item *unused = NULL;
  for (size_t i = 0; i < UNREACHABLE_MAX; i++)
    {
      struct item *item = &list->items[i];
      if (item->id_size == report->id.size
          && item->incarnation == report->incarnation
          && memcmp (item->id, report->id.data, item->id_size) == 0)
        return item;
      if (!unused && (item->id_size == 0 || is_outdated (item, now)))
        unused = item;
    }
  return unused;
}

/* Counts a silence that REPORTER reports; returns whether it counts by
   itself.  */
static bool
may_list_silence (struct unreachable *list, uint64_t reporter, apr_time_t now)
{
  struct reporter *count = &list->reporters[reporter % REPORTERS];
  if (count->since == 0 || now - count->since > confirm_us)
    *count = (struct reporter){ .since = now };
  return count->silences++ < SILENCES_MAX;
}

/* public functions */

struct unreachable *
unreachable_create (apr_pool_t *pool)
{
  return apr_pcalloc (pool, sizeof (struct unreachable));
}

void
unreachable_report (struct unreachable *list,
                    const struct unreachable_report *report, apr_time_t now)
{
  struct item *item = report->id.size > 0 && report->id.size < ID_MAX_BYTES
                          ? find_item (list, report, now)
                          : NULL;
  if (!item)
    return;
  bool is_known = item->id_size == report->id.size
                  && item->incarnation == report->incarnation
                  && memcmp (item->id, report->id.data, item->id_size) == 0;
  if (!is_known || is_outdated (item, now))
    {
      *item = (struct item){ .id_size = report->id.size,
                             .incarnation = report->incarnation };
      memcpy (item->id, report->id.data, report->id.size);
    }
  bool is_confirmed
      = report->is_certain
        || (item->reported_at > 0 && item->reporter != report->reporter
            && now - item->reported_at <= confirm_us)
        || item->listed_until > 0
        || may_list_silence (list, report->reporter, now);
  item->reporter = report->reporter;
  item->reported_at = now;
  if (!is_confirmed || now < item->listed_until)
    return;
  item->duration
      = item->listed_until > 0 ? 2 * item->duration : first_listing_us;
  if (item->duration > longest_listing_us)
    item->duration = longest_listing_us;
  item->listed_until = now + item->duration;
}

bool
unreachable_forget (struct unreachable *list, struct str id,
                    int64_t incarnation)
{
  bool was_listed = false;
  for (size_t i = 0; i < UNREACHABLE_MAX; i++)
    {
      struct item *item = &list->items[i];
      if (item->id_size == id.size && item->incarnation == incarnation
          && memcmp (item->id, id.data, id.size) == 0)
        {
          *item = (struct item){ 0 };
          was_listed = true;
        }
    }
  return was_listed;
}

size_t
unreachable_query (const struct unreachable *list, apr_time_t now,
                   struct unreachable_warning *out, size_t max_count)
{
  size_t count = 0;
  for (size_t i = 0; i < UNREACHABLE_MAX && count < max_count; i++)
    {
      const struct item *item = &list->items[i];
      if (item->listed_until > now)
        out[count++]
            = (struct unreachable_warning){ str_view (item->id, item->id_size),
                                            item->incarnation,
                                            item->listed_until - now };
    }
  return count;
}
