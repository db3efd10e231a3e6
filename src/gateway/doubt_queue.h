/* News of doubts (fleet/doubt_list.h) that are yet to be sent to other
   entries, and their text.

     doubt_queue_add (queue, &news, is_relayed);
     text = doubt_queue_text (queue, false, now, &count, pool);
     send TEXT, and once it arrived:
     doubt_queue_drop (queue, count);

   and at the receiver:

     while (doubt_news_read (&text, &news, now))
       ...

   Times are sent as ages, since clocks differ.

   Units: microseconds.  Threads: one thread.  */
#ifndef GATEWAY_DOUBT_QUEUE_H
#define GATEWAY_DOUBT_QUEUE_H

#include "fleet/doubt_list.h"

enum
{
  DOUBT_QUEUE_MAX = 1024, /* news; further ones are dropped */
  DOUBT_QUEUE_BATCH = 64, /* of them in one message */
  DOUBT_NEWS_BYTES = 128  /* of one as text, at most */
};

struct doubt_queue;

/* Creates an empty queue in POOL.  */
struct doubt_queue *doubt_queue_create (apr_pool_t *pool);
/* Appends a copy of NEWS.  IS_RELAYED: they come from an entry that has sent
   them to all entries without a reader.  Ids that can't be part of a URL as
   they are, or too long ones, are dropped.  */
void doubt_queue_add (struct doubt_queue *queue, const struct doubt_news *news,
                      bool is_relayed);
bool doubt_queue_is_empty (const struct doubt_queue *queue);
/* Returns the first news as text in POOL, and sets COUNT to how many there
   are, relayed ones included.  WITHOUT_RELAYED: leaves these out of the text.
 */
const char *doubt_queue_text (const struct doubt_queue *queue,
                              bool without_relayed, apr_time_t now,
                              size_t *count, apr_pool_t *pool);
/* Removes the first COUNT news, or all if there are fewer by now.  */
void doubt_queue_drop (struct doubt_queue *queue, size_t count);

/* Writes NEWS to TEXT, which has DOUBT_NEWS_BYTES; returns the length.  */
size_t doubt_news_write (char *text, const struct doubt_news *news,
                         apr_time_t now);
/* Splits the first news off *TEXT, after any malformed ones; returns false at
   the end.  Their id is a
   view of the text.  */
bool doubt_news_read (struct str *text, struct doubt_news *news,
                      apr_time_t now);

#endif
