#include "fleet/doubt_list.h"

#include <string.h>

/* constants */

enum
{
  ID_MAX_BYTES = 64 /* upstreams with longer ids are not listed */
};

static const apr_time_t memory_us = 10000000;

/* types */

struct item
{
  char id[ID_MAX_BYTES];
  size_t id_size; /* 0: not in use */
  int64_t incarnation;
  apr_time_t at;
  apr_time_t cold_left;
  int64_t number;
};

struct doubt_list
{
  struct item items[DOUBT_LIST_MAX];
  size_t count; /* of the items that were ever in use */
  int64_t last_number;
};

/* private functions */

static bool
is_over (const struct item *item, apr_time_t now)
{
  return now - item->at > memory_us;
}

static bool
is_about (const struct item *item, const struct doubt_news *news)
{
  return item->id_size == news->id.size
         && item->incarnation == news->incarnation
         && memcmp (item->id, news->id.data, item->id_size) == 0;
}

/* Returns the item of the upstream in NEWS, one that may be overwritten, or
   NULL if there is none.  */
static struct item *
find_item (struct doubt_list *list, const struct doubt_news *news,
           apr_time_t now)
{
  struct item *unused = NULL;
  for (size_t i = 0; i < list->count; i++)
    {
      struct item *item = &list->items[i];
      if (is_about (item, news))
        return item;
      if (!unused && is_over (item, now))
        unused = item;
    }
  return unused || list->count == DOUBT_LIST_MAX ? unused
                                                 : &list->items[list->count];
}

/* public functions */

struct doubt_list *
doubt_list_create (apr_pool_t *pool)
{
  struct doubt_list *list = apr_pcalloc (pool, sizeof *list);
  /* An entry that asks again after a restart must not have a number that this
     list gives out later.  */
  list->last_number = apr_time_now ();
  return list;
}

bool
doubt_list_add (struct doubt_list *list, const struct doubt_news *news,
                apr_time_t now)
{
  if (news->id.size == 0 || news->id.size >= ID_MAX_BYTES)
    return false;
  struct item *item = find_item (list, news, now);
  if (!item)
    return false;
  bool is_known = is_about (item, news) && !is_over (item, now);
  bool is_doubt = news->cold_left == DOUBT_UNSETTLED;
  /* Nothing else is supposed of an upstream that is not listed.  */
  if (news->cold_left == 0 && (!is_known || item->cold_left == 0))
    {
      if (is_known && news->at > item->at)
        item->at = news->at;
      return false;
    }
  if (is_known
      && (news->at <= item->at
          || (is_doubt && item->cold_left == DOUBT_UNSETTLED)))
    return false;
  if (item == &list->items[list->count])
    list->count++;
  *item = (struct item){ .id_size = news->id.size,
                         .incarnation = news->incarnation,
                         .at = news->at,
                         .cold_left = news->cold_left,
                         .number = ++list->last_number };
  memcpy (item->id, news->id.data, news->id.size);
  return true;
}

bool
doubt_list_find (const struct doubt_list *list, struct str id,
                 int64_t incarnation, apr_time_t now, struct doubt_news *news)
{
  struct doubt_news sought = { .id = id, .incarnation = incarnation };
  for (size_t i = 0; i < list->count; i++)
    {
      const struct item *item = &list->items[i];
      if (!is_about (item, &sought) || is_over (item, now))
        continue;
      *news
          = (struct doubt_news){ id, incarnation, item->at, item->cold_left };
      return true;
    }
  return false;
}

/* Returns the item with the lowest number above NUMBER that is not over, or
   NULL.  */
static const struct item *
next_item (const struct doubt_list *list, int64_t number, apr_time_t now)
{
  const struct item *next = NULL;
  for (size_t i = 0; i < list->count; i++)
    {
      const struct item *item = &list->items[i];
      if (item->number > number && !is_over (item, now)
          && (!next || item->number < next->number))
        next = item;
    }
  return next;
}

size_t
doubt_list_query (const struct doubt_list *list, int64_t *number,
                  apr_time_t now, struct doubt_news *out, size_t max_count)
{
  size_t count = 0;
  const struct item *item;
  if (*number > list->last_number)
    *number = 0;
  while (count < max_count && (item = next_item (list, *number, now)))
    {
      out[count++] = (struct doubt_news){ str_view (item->id, item->id_size),
                                          item->incarnation, item->at,
                                          item->cold_left };
      *number = item->number;
    }
  if (count < max_count)
    *number = list->last_number;
  return count;
}
