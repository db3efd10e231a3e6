#include "gateway/doubt_queue.h"

#include "base/timer.h"

#include <stdio.h>
#include <string.h>

/* constants */

enum
{
  ID_MAX_BYTES = 60, /* leaves space for three numbers in DOUBT_NEWS_BYTES */
  US_PER_MS = APR_USEC_PER_SEC / 1000,
  TIME_MAX_MS = 3600 * 1000 /* larger ages and cold times are malformed */
};

/* types */

struct item
{
  char id[ID_MAX_BYTES];
  struct doubt_news news; /* whose id is the one above */
  bool is_relayed;
};

struct doubt_queue
{
  struct item items[DOUBT_QUEUE_MAX]; /* ring buffer */
  size_t first;
  size_t count;
};

/* private functions */

/* Reads the first news off *TEXT; returns whether they are well-formed.  */
static bool
read_first (struct str *text, struct doubt_news *news, apr_time_t now)
{
  news->id = str_next_field (text, ',');
  news->incarnation = str_to_number (str_next_field (text, ','));
  int64_t age_ms = str_to_number (str_next_field (text, ','));
  int64_t cold_ms = str_to_number (str_next_field (text, ';'));
  if (age_ms < 0 || age_ms > TIME_MAX_MS || cold_ms > TIME_MAX_MS)
    return false;
  news->at = now - age_ms * US_PER_MS;
  news->cold_left = cold_ms < 0 ? DOUBT_UNSETTLED : cold_ms * US_PER_MS;
  return true;
}

/* public functions */

struct doubt_queue *
doubt_queue_create (apr_pool_t *pool)
{
  return apr_pcalloc (pool, sizeof (struct doubt_queue));
}

void
doubt_queue_add (struct doubt_queue *queue, const struct doubt_news *news,
                 bool is_relayed)
{
  if (queue->count == DOUBT_QUEUE_MAX || news->id.size > ID_MAX_BYTES
      || !str_is_url_safe (news->id))
    return;
  struct item *item
      = &queue->items[(queue->first + queue->count++) % DOUBT_QUEUE_MAX];
  memcpy (item->id, news->id.data, news->id.size);
  item->news = *news;
  item->news.id = str_view (item->id, news->id.size);
  item->is_relayed = is_relayed;
}

bool
doubt_queue_is_empty (const struct doubt_queue *queue)
{
  return queue->count == 0;
}

const char *
doubt_queue_text (const struct doubt_queue *queue, bool without_relayed,
                  apr_time_t now, size_t *count, apr_pool_t *pool)
{
  *count = queue->count < DOUBT_QUEUE_BATCH ? queue->count : DOUBT_QUEUE_BATCH;
  char *text = apr_palloc (pool, *count * DOUBT_NEWS_BYTES + 1);
  size_t size = 0;
  for (size_t i = 0; i < *count; i++)
    {
      const struct item *item
          = &queue->items[(queue->first + i) % DOUBT_QUEUE_MAX];
      if (!without_relayed || !item->is_relayed)
        size += doubt_news_write (text + size, &item->news, now);
    }
  text[size] = 0;
  return text;
}

void
doubt_queue_drop (struct doubt_queue *queue, size_t count)
{
  if (count > queue->count)
    count = queue->count;
  queue->first = (queue->first + count) % DOUBT_QUEUE_MAX;
  queue->count -= count;
}

size_t
doubt_news_write (char *text, const struct doubt_news *news, apr_time_t now)
{
  int size = snprintf (text, DOUBT_NEWS_BYTES, "%.*s,%lld,%lld,%lld;",
                       STR_ARGS (news->id), (long long)news->incarnation,
                       (long long)((now - news->at) / US_PER_MS),
                       news->cold_left == DOUBT_UNSETTLED
                           ? (long long)DOUBT_UNSETTLED
                           : (long long)(news->cold_left / US_PER_MS));
  return size > 0 && size < DOUBT_NEWS_BYTES ? (size_t)size : 0;
}

bool
doubt_news_read (struct str *text, struct doubt_news *news, apr_time_t now)
{
  while (text->size > 0)
    if (read_first (text, news, now))
      return true;
  return false;
}
