/* Connections to each upstream, counted at their sockets (internal to the
   slice).

   An upstream takes so many connections.  Those in use are bounded by slots;
   kept idle ones would add up over entries, so each entry may keep only so
   many.  Whether a call's connection is kept afterwards is decided when the
   call begins: so that all that are idle or will be never exceed what this
   entry may keep.  A closed connection counts until the upstream has noticed.

   Call order: connections_get; for each attempt connection_is_free, then
   connection_begin, connection_count_sockets on its handle, and
   connection_end when it is over.

   Units: microseconds.
   Threads: the worker's thread only.  */
#ifndef CALL_CONNECTIONS_H
#define CALL_CONNECTIONS_H

#include "base/str.h"

#include <apr_time.h>
#include <curl/curl.h>
#include <stdbool.h>
#include <stdint.h>

enum
{
  CONNECTIONS_CLOSED_MAX = 256 /* closes remembered of one upstream */
};

struct connections;

/* Of one upstream's address.  */
struct connection_count
{
  int64_t open;         /* sockets */
  int64_t active;       /* attempts in progress */
  int64_t keepers;      /* of them, those whose connections are kept */
  apr_time_t notice_us; /* in which the upstream notices a close */
  apr_time_t closed_at[CONNECTIONS_CLOSED_MAX]; /* the last, as a ring */
  size_t closed;                                /* in all */
};

struct connections *connections_create (apr_pool_t *pool);
/* Returns the count of ADDRESS, valid as long as the pool.  */
struct connection_count *connections_get (struct connections *connections,
                                          struct str address);
/* Returns whether an attempt finds an idle connection, or may open one, if
   MOST may be open in all.  */
bool connection_is_free (const struct connection_count *count, int64_t most,
                         apr_time_t now);
/* Begins an attempt; returns whether its connection may be kept, if IDLE_MOST
   may be kept in all.  */
bool connection_begin (struct connection_count *count, int64_t idle_most);
void connection_end (struct connection_count *count, bool is_kept);
/* Makes EASY count its sockets.  */
void connection_count_sockets (struct connection_count *count, CURL *easy);

#endif
