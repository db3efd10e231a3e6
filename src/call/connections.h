/* Counts of the connections to each upstream, taken at their sockets
   (internal to the module).

   An upstream accepts a limited number of connections.  Slots bound those in
   use; idle connections that are kept open would add up over all entries, so
   each entry may keep only a limited number.  Whether a call's connection is
   kept open afterwards is decided when the call starts, so that the
   connections that are idle or will become idle never exceed that number.  A
   closed connection counts until the upstream has noticed that it is closed.

   Call order: connections_get for an address; for each attempt

     if (!connection_is_available (count, max_open, now))
       wait or choose another upstream;
     bool keep = connection_begin (count, max_idle);
     connection_track_sockets (count, easy);
     ... the transfer ...
     connection_end (count, keep);

   An upstream that sent the response to another request is distrusted for a
   time: connection_distrust, and while connection_is_distrusted each request
   to it gets a new connection, which isn't kept.

   What a connection has carried is kept by its local port, for the log lines
   of attempts that fail: connection_history when a request is about to be
   sent, connection_add_response when its response has ended.

   An upstream states for how long it keeps an idle connection.  One that is
   closed sooner, as libcurl notices before it uses it or within a second of
   other transfers, shows that the process may have ended: connections_lost
   returns the address once for all that are noticed together.

   Units: microseconds.
   Threads: the worker's thread only.  */
#ifndef CALL_CONNECTIONS_H
#define CALL_CONNECTIONS_H

#include "base/str.h"

#include <apr_tables.h>
#include <apr_time.h>
#include <curl/curl.h>
#include <stdbool.h>
#include <stdint.h>

enum
{
  /* Closes remembered for one address.  If more connections are closed within
     `close_delay_us', the oldest of them are not counted any more.  */
  CONNECTIONS_CLOSED_MAX = 256,
  /* Connections to one address whose history is kept; of more, the ones that
     carried a response least recently are forgotten.  */
  CONNECTIONS_HISTORY_MAX = 64,
  /* An extra response spoils the next request on its connection, and an
     upstream that sends one sends more.  Far longer than a request, so that
     few are spoiled; a new connection costs an upstream about 1 ms.  */
  CONNECTIONS_DISTRUST_S = 10
};

struct connections;

/* What one connection has carried.  */
struct connection_history
{
  int local_port;
  int64_t responses;
  apr_time_t responded_at; /* the end of the latest one; 0: none yet */
  apr_time_t kept_until; /* when the upstream closes it at the earliest, as it
                            stated; 0: not stated, or a request is in
                            progress */
};

/* Connections to one address.  */
struct connection_count
{
  struct connections *owner;
  struct str address;
  struct connection_count *next_lost;
  bool is_lost;              /* it is in the owner's list */
  int64_t open;              /* sockets */
  int64_t active;            /* attempts in progress */
  int64_t kept_active;       /* those of them whose connection is kept open */
  apr_time_t close_delay_us; /* time in which the upstream notices a close; set
                           by the caller before connection_is_available */
  apr_time_t closed_at[CONNECTIONS_CLOSED_MAX]; /* ring buffer of the last
                                                   closes */
  size_t closed; /* closes in all; the next one's place in the ring */
  apr_time_t distrusted_until;
  apr_array_header_t *histories; /* struct connection_history */
};

/* Makes an empty table, valid as long as POOL.  */
struct connections *connections_create (apr_pool_t *pool);
/* Returns the counts of ADDRESS, created on first use and valid as long as the
   table's pool.  */
struct connection_count *connections_get (struct connections *connections,
                                          struct str address);
/* Returns whether an attempt may start: an idle connection exists, or another
   one may be opened without exceeding MAX_OPEN, the connections that this
   entry may have open at once.  Those count that were closed less than
   `close_delay_us' before NOW.  */
bool connection_is_available (const struct connection_count *count,
                              int64_t max_open, apr_time_t now);
/* Counts an attempt that starts.  Returns whether its connection may stay open
   afterwards, given that at most MAX_IDLE may stay open.  */
bool connection_begin (struct connection_count *count, int64_t max_idle);
/* Counts the end of an attempt; IS_KEPT is what connection_begin
   returned.  */
void connection_end (struct connection_count *count, bool is_kept);
/* Makes the sockets that EASY opens and closes count in COUNT.  COUNT must
   outlive the connections, which libcurl may keep for later attempts.  */
void connection_track_sockets (struct connection_count *count, CURL *easy);
/* Records that the peer sent the response to another request.  */
void connection_distrust (struct connection_count *count, apr_time_t now);
/* Returns whether connections that have carried a response may not be
   used.  */
bool connection_is_distrusted (const struct connection_count *count,
                               apr_time_t now);
/* Returns what the connection from LOCAL_PORT has carried; nothing if IS_NEW.
 */
struct connection_history connection_history (struct connection_count *count,
                                              int local_port, bool is_new);
/* Records that the connection from LOCAL_PORT carried a response, which ended
   at NOW and whose field Keep-Alive is KEEP_ALIVE, empty if there is none.  */
void connection_add_response (struct connection_count *count, int local_port,
                              struct str keep_alive, apr_time_t now);
/* Returns the address of an upstream that closed an idle connection before the
   time that it had stated, and forgets it; an empty string if there is none
   left.  */
struct str connections_lost (struct connections *connections);

#endif
