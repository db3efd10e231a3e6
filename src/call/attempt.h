/* One attempt to forward a request to one upstream, through libcurl.  Its
   owner is the call (call/dispatch.c) or the gateway's request
   (gateway/attempts.c) that is forwarded.

   An attempt sends its request at most once.  When a reused connection closes
   before the response arrives, libcurl sends the request again on its own;
   that second send is refused here, so that `sent' and the result state
   reliably whether the upstream may have run the request.

   Its head must follow the grammar (base/http_head.h): else there is no
   response.  The response must belong to this request: either the upstream
   echoes the Request-Id that it received, or the connection is a new one.  A
   connection whose response was not read to its end is closed, never reused.
   An upstream may send a response again where the next one on the connection
   is due; the id doesn't tell such a copy from the response to the same
   request that was sent again.  So the owner closes each connection whose
   response may be followed by another attempt (attempt_close_connection).
   After a copy of another request's response, the requests to that address get
   connections of their own for a time.

   Call order: attempt_start; then `event' is called with ATTEMPT_HEAD, with
   ATTEMPT_DATA and the event for free space in the request body any number of
   times, and with ATTEMPT_DONE once.  attempt_destroy cancels an attempt in
   progress; from within `event' it may be called at ATTEMPT_DONE only, since
   the other events come from callbacks of libcurl, which must not be
   re-entered there.

     struct attempt *attempt = attempt_start (&desc);
     ...
     attempt_destroy (attempt);

   Flow control: the attempt pauses when it needs bytes of the request body
   and there are none, when the buffer of the response has no space for the
   bytes that arrived, or when the rate limit of a link is used up.  It goes on
   when the owner resumes it.

   Times are microseconds of timer_clock.

   Threads: the loop's thread only.  */
#ifndef CALL_ATTEMPT_H
#define CALL_ATTEMPT_H

#include "base/curl_loop.h"
#include "base/http_head.h"
#include "call/body.h"
#include "call/connections.h"
#include "call/headers.h"
#include "steer/steer.h"

enum attempt_event
{
  ATTEMPT_HEAD = 1,   /* `status' and `headers' are known */
  ATTEMPT_DATA,       /* more bytes of the response were received */
  ATTEMPT_BODY_SPACE, /* the request body's buffer has free space again */
  ATTEMPT_DONE        /* the attempt has ended; `result' is set */
};

struct attempt;

typedef void attempt_fn (void *user_data, struct attempt *attempt,
                         enum attempt_event event);

/* What to send, and where.  Everything pointed to must outlive the
   attempt.  */
struct attempt_desc
{
  struct curl_loop *curl_loop;
  apr_pool_t *pool;
  struct str address; /* of the upstream, IP:PORT, NUL-terminated */
  struct str method;
  struct str target;
  struct str request_id;
  const struct headers *headers; /* of the caller's request; hop-by-hop
                                    fields are not forwarded */
  const struct headers
      *override_headers; /* added to them; a field here replaces the
               caller's fields of the same name */
  bool is_head;          /* the method is HEAD */
  int64_t body_size;     /* bytes; -1: unknown, 0: no body */
  apr_time_t deadline;   /* from then on the request is not sent any more; one
                            that is being sent goes on until the owner
                            destroys the attempt */
  int64_t connect_timeout_ms;
  int64_t tcp_user_timeout_ms; /* TCP_USER_TIMEOUT: the connection is closed
                                after sent data stays unacknowledged for so
                                long; 0: the system's default */
  int64_t max_idle_s;          /* a connection idle for longer is not reused;
                              0: libcurl's default */
  struct steer_link *link_out; /* rate limit to the upstream's region; NULL
                                  within the region */
  struct steer_link *link_in;  /* the same for the opposite direction */
  struct connection_count *connections; /* of the upstream's address */
  int64_t max_idle_connections; /* most that may stay open without a request */
  bool new_connection;          /* open one, and close it after the response */
  bool must_echo;               /* the response must echo `request_id' */
  struct body *body;            /* of the request */
  const bool *body_ended;       /* true once `body' gets no more bytes */
  size_t max_response_bytes;    /* size of the response's buffer; the attempt
                                   pauses while it is full */
  attempt_fn *event;
  void *user_data; /* passed to `event' */
};

struct attempt
{
  struct attempt_desc desc;
  struct curl_transfer transfer;
  struct curl_slist *header_list; /* of the request, as sent */
  struct http_head head;          /* of the response, as it is checked */
  struct headers headers;         /* of the response */
  struct body response;           /* the response's body */
  char error[CURL_ERROR_SIZE];
  long status;
  int64_t response_size; /* from Content-Length; -1: unknown */
  apr_time_t started_at;
  apr_time_t head_at; /* when the response's head was complete */
  bool sent;          /* the request may have reached the upstream */
  struct connection_history connection; /* before this request; its port is 0
                                           until the request is sent */
  size_t head_bytes;                    /* received in heads and trailers */
  int folded_lines;                     /* in heads */
  bool has_head;
  bool echo_mismatch; /* the response belongs to another request */
  bool refused;       /* set by the owner: the upstream reports that it did
                         not start the request */
  bool done;
  bool keeps_connection;    /* leave the connection open afterwards */
  bool connection_released; /* no longer counted as active */
  bool paused_read;         /* waits for bytes of the request body */
  bool paused_write;        /* waits for space in the response's buffer */
  bool paused_by_link;      /* waits for the rate limit of a link */
  CURLcode result;
  struct steer_attempt steer_attempt; /* set and ended by the owner */
  struct str upstream;                /* its name, set by the owner */
};

/* Starts an attempt.  Never fails at once: errors are reported with
   ATTEMPT_DONE.  */
struct attempt *attempt_start (const struct attempt_desc *desc);
/* Cancels ATTEMPT if it is in progress, and frees its buffers and its handle;
   `event' is not called any more.  The struct itself is freed with the pool of
   the description.  NULL is ignored.  */
void attempt_destroy (struct attempt *attempt);
/* Resumes a paused attempt, if it can proceed.  Call it after bytes were
   added to the request body, after the body ended, after bytes of the
   response were read, and, while `paused_by_link' is set, periodically.  */
void attempt_resume (struct attempt *attempt);
/* Makes the connection close after the response of ATTEMPT.  Call it from
   `event' with ATTEMPT_HEAD.  */
void attempt_close_connection (struct attempt *attempt);
/* Makes the buffer of the response take up to MAX_BYTES, if the response can't
   be forwarded yet.  An upstream may read no more of the request's body before
   its response is read.  Call it from `event' with ATTEMPT_DATA.  */
void attempt_extend_response (struct attempt *attempt, size_t max_bytes);
/* Drops the bytes of the response that were received and not read, if it won't
   be forwarded, so that the rest of it is read too.  */
void attempt_drop_response (struct attempt *attempt);
/* Returns whether the size of the response's body is known and fits into
   the buffer; false before ATTEMPT_HEAD.  Such a response can be buffered
   whole before it is forwarded, so that a truncated one is never reported to
   the caller as complete.  */
bool attempt_response_fits (const struct attempt *attempt);
/* Returns why an ended attempt failed, as text that is valid as long as
   ATTEMPT.  */
const char *attempt_failure_reason (const struct attempt *attempt);

#endif
