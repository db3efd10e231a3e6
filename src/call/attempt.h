/* One dispatch of a call to one upstream, through libcurl.

   An attempt sends its request at most once.  libcurl by itself repeats a
   request when a kept connection dies before the answer; the second send is
   refused here, so that `sent' and the result say truthfully what may have
   run.

   The answer must prove that it belongs to this request: either the upstream
   repeats the Request-Id that it was sent, or the connection is a new one.
   A connection whose answer was not taken whole is closed, never reused.

   Call order: attempt_start; then `event' is called with ATTEMPT_HEAD,
   ATTEMPT_DATA any number of times, and ATTEMPT_DONE once; attempt_destroy
   at any time ends it.  While the body's reader finds nothing the attempt
   pauses until attempt_continue; while `answer' is full it pauses too.

   Threads: the loop's thread only.  */
#ifndef CALL_ATTEMPT_H
#define CALL_ATTEMPT_H

#include "base/curl_loop.h"
#include "call/body.h"
#include "call/connections.h"
#include "call/headers.h"
#include "steer/steer.h"

enum attempt_event
{
  ATTEMPT_HEAD = 1, /* status and headers are known */
  ATTEMPT_DATA,     /* the answer has more bytes */
  ATTEMPT_SPACE,    /* the request body has space again */
  ATTEMPT_DONE      /* `result' is set */
};

struct attempt;

typedef void attempt_fn (void *part, struct attempt *attempt,
                         enum attempt_event event);

struct attempt_desc
{
  struct curl_loop *curl_loop;
  apr_pool_t *pool;
  struct str address; /* of the upstream, terminated */
  struct str method;
  struct str target;
  struct str request_id;
  const struct headers *headers; /* the caller's, of which the hop-by-hop
                                    ones are not passed on */
  const struct headers *set;     /* added; replace those of the same name */
  bool is_head;
  int64_t body_size; /* -1: unknown, 0: none */
  apr_time_t deadline;
  int64_t connect_timeout_ms;
  int64_t unacknowledged_ms;   /* a connection silent for so long while it has
                                  bytes to deliver is dead; 0: the system's */
  int64_t idle_s;              /* a connection idle for longer is not used
                                  again; 0: libcurl's default */
  struct steer_link *link_out; /* NULL within the region */
  struct steer_link *link_in;
  struct connection_count *connections; /* to the upstream */
  int64_t idle_connections;             /* that may be kept there */
  bool new_connection;
  bool must_echo;
  struct body *body;
  const bool *body_ended;
  size_t answer_limit; /* bytes held */
  attempt_fn *event;
  void *part;
};

struct attempt
{
  struct attempt_desc desc;
  struct curl_transfer transfer;
  struct curl_slist *header_list;
  struct headers headers; /* of the answer */
  struct body answer;
  char error[CURL_ERROR_SIZE];
  long status;
  int64_t answer_size; /* -1: unknown */
  apr_time_t started_at;
  apr_time_t head_at;
  bool sent; /* the request may have reached the upstream */
  bool has_head;
  bool bad_echo; /* the answer belongs to another request */
  bool refused;  /* set by the owner: the answer says, not started */
  bool done;
  bool is_kept; /* its connection, afterwards */
  bool has_ended;
  bool paused_read;
  bool paused_write;
  bool paused_by_link;
  CURLcode result;
  struct steer_attempt ticket;
  struct str upstream; /* name */
};

struct attempt *attempt_start (const struct attempt_desc *desc);
void attempt_destroy (struct attempt *attempt);
/* Goes on after body bytes were added or answer bytes were taken.  */
void attempt_continue (struct attempt *attempt);
/* Returns whether the answer's body is short enough to be held until it is
   whole, so that no caller is told `complete' of half an answer.  */
bool attempt_is_held (const struct attempt *attempt);
const char *attempt_reason (const struct attempt *attempt);

#endif
