/* Upstreams that may have started again, and what they said since, as entries
   tell one another.

   An entry adds what it finds out, and what it hears; a reader passes on to
   its entries what they don't have yet.  Each change gets a number that grows:

     if (doubt_list_add (list, &news, now))       it is news
       ...
     count = doubt_list_query (list, &number, now, news, DOUBT_NEWS_MAX);

   What is older than ten seconds is forgotten, by when the store shows it.

   Units: microseconds.  Threads: one thread.  */
#ifndef FLEET_DOUBT_LIST_H
#define FLEET_DOUBT_LIST_H

#include "base/str.h"

#include <apr_time.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum
{
  DOUBT_LIST_MAX = 1024, /* upstreams that are remembered; news of further
                            ones are dropped */
  DOUBT_NEWS_MAX = 512   /* in one answer; the rest follows */
};

/* With `cold_left', stands for a doubt.  */
#define DOUBT_UNSETTLED (-1)

struct doubt_list;

struct doubt_news
{
  struct str id;
  int64_t incarnation;
  apr_time_t at;        /* when the doubt began, or the upstream responded */
  apr_time_t cold_left; /* as it said then; 0: it is not cold */
};

/* Creates an empty list in POOL.  */
struct doubt_list *doubt_list_create (apr_pool_t *pool);
/* Adds NEWS; returns whether it says more than what is known: an upstream that
   is not listed is not cold.  */
bool doubt_list_add (struct doubt_list *list, const struct doubt_news *news,
                     apr_time_t now);
/* Sets NEWS to what is known of INCARNATION of the upstream ID; returns false
   if nothing is.  */
bool doubt_list_find (const struct doubt_list *list, struct str id,
                      int64_t incarnation, apr_time_t now,
                      struct doubt_news *news);
/* Stores up to MAX_COUNT news that are later than *NUMBER in OUT, oldest
   first, sets *NUMBER to that of the last one, and returns how many.  A number
   that the list has not given out yet is taken for 0.  The ids are valid until
   the next call of doubt_list_add.  */
size_t doubt_list_query (const struct doubt_list *list, int64_t *number,
                         apr_time_t now, struct doubt_news *out,
                         size_t max_count);

#endif
