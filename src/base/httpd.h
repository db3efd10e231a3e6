/* HTTP server on an event loop: libmicrohttpd without threads of its own.

   Call order: httpd_create; the handler is then called as
   libmicrohttpd's access handler.  httpd_close_listener stops accepting
   connections; httpd_finish_responses, until it returns true or there is no
   time left; httpd_destroy closes the connections that are left.

     struct httpd_desc desc = { .loop = loop, .address = STR ("127.0.0.1:80"),
                                .handler = on_request };
     httpd_create (pool, &desc, &httpd, &err);

   Each server limits the size of a request's head, the number of connections,
   the time that a connection may take to deliver a complete head, and the time
   without any transfer.

   The memory of a connection is fixed.  It holds the head of a request, a copy
   of its cookies, an entry for each field, cookie and query parameter, and
   then the head of the response.  libmicrohttpd refuses heads that don't fit,
   and closes a connection without a response if the response's head doesn't.
   So a handler that has work done before it responds first asks
   httpd_has_response_space, and refuses the request if there is none; and
   before it queues a response with fields of others it compares their size
   with httpd_response_space.

   Nothing ends unseen: each request without a whole response, each connection
   that ends before its request line was read, and each connection that is
   refused is counted in citroncleat_http_cut_total by its reason, and logged
   unless the caller ended it (`request-unfinished', `connection-unfinished',
   `http-message').

   A connection that the server closes first lingers (base/closer.h), so that
   its caller gets the whole response also if it sends more.  It counts toward
   the maximum of connections, and gives way to one that was accepted.

   A caller that closes its direction of a connection is noticed within a
   second, whatever the state of its request: libmicrohttpd is made to read to
   the end, and a request that is watched is reported (`caller_closed').

   Threads: the loop's thread only.  */
#ifndef BASE_HTTPD_H
#define BASE_HTTPD_H

#include "base/counter.h"
#include "base/loop.h"
#include "base/str.h"

#include <json-c/json.h>
#include <microhttpd.h>

struct httpd;

/* What a server says of a request that ended early.  */
struct httpd_request_state
{
  const char *id;    /* "": not known */
  const char *stage; /* `head', `body', `waiting', `ready', `response' */
};

struct httpd_desc
{
  struct loop *loop;
  const char *name; /* of the listener, in log lines and metrics */
  struct counters *counters;
  struct str address; /* IP:PORT to listen on */
  MHD_AccessHandlerCallback handler;
  /* Called first for each request, with the request target as received.  The
     result is the initial value of the handler's request context.  May be
     NULL.  */
  void *(*request_started) (void *user_data, const char *target,
                            struct MHD_Connection *connection);
  /* Called last for each request; httpd_end_reason says why it ended.  May be
     NULL.  */
  MHD_RequestCompletedCallback request_completed;
  /* Called with the request given to httpd_watch_caller_close when its caller
     has closed the connection; may be NULL.  */
  void (*caller_closed) (void *request);
  /* Describes a request that ends before its caller has a whole response, for
     the log line on it; called before request_completed.  NULL: those lines
     are written by request_completed.  */
  struct httpd_request_state (*describe) (void *request);
  void *user_data; /* user data of the first three functions */
  /* Maximum of open and lingering connections; default 1024.  */
  int64_t max_connections;
  /* Memory of a connection in bytes; default 32 KiB.  */
  int64_t connection_bytes;
  /* Seconds from the start of a connection, or from the end of its last
     request, to the end of the next header; default 15.  Such connections are
     closed up to a second late.  */
  int64_t header_timeout_s;
  /* Seconds without any transfer; default 60.  Suspended connections are not
     timed out.  */
  int64_t idle_timeout_s;
};

/* Binds the address and starts to accept connections.  ERR must be given.  */
enum err_code httpd_create (apr_pool_t *pool, const struct httpd_desc *desc,
                            struct httpd **result, struct err *err);
/* Closes the listening socket; open connections remain in service.  */
void httpd_close_listener (struct httpd *httpd);
/* Closes the connections without a request whose callers have not acknowledged
   the last response.  Returns whether no connection lingers any more.  */
bool httpd_finish_responses (struct httpd *httpd);
/* Closes all connections; none may be suspended.  NULL is ignored.  */
void httpd_destroy (struct httpd *httpd);
/* Stops all work on CONNECTION until httpd_resume, while its response is
   being prepared.  */
void httpd_suspend (struct httpd *httpd, struct MHD_Connection *connection);
/* Schedules further work on CONNECTION in this or the next iteration of the
   loop.  */
void httpd_resume (struct httpd *httpd, struct MHD_Connection *connection);
/* Runs libmicrohttpd now, so that resumed connections proceed without waiting
   for the loop.  */
void httpd_run (struct httpd *httpd);
/* Returns whether the caller has closed CONNECTION; false while bytes that it
   sent are unread.  For suspended connections, which libmicrohttpd does not
   watch.  */
bool httpd_caller_has_closed (struct MHD_Connection *connection);
/* Makes the server call `caller_closed' of its description with REQUEST, once,
   if the caller closes CONNECTION or the direction from it, or has done so.
   What ends the request then counts as done by the caller.  NULL ends the
   watch, which must be done before REQUEST is freed.  */
void httpd_watch_caller_close (struct httpd *httpd,
                               struct MHD_Connection *connection,
                               void *request);
/* Returns whether CONNECTION was made to the listener of HTTPD, which may be
   NULL.  */
bool httpd_owns (const struct httpd *httpd, struct MHD_Connection *connection);
/* Returns whether no request has been completed on CONNECTION yet.  */
bool httpd_is_first_request (struct MHD_Connection *connection);
/* Returns why a request ended whose request_completed is being called with
   CODE: the last message of libmicrohttpd if that ended it by itself.  Valid
   until the next request ends.  */
const char *httpd_end_reason (const struct httpd *httpd,
                              enum MHD_RequestTerminationCode code);
/* Returns the same in one word, as in citroncleat_http_cut_total.  */
const char *httpd_end_cause (const struct httpd *httpd);
/* Returns whether it was the caller that ended it.  */
bool httpd_ended_by_caller (const struct httpd *httpd);
/* Returns how many bytes the fields of the response to the request on
   CONNECTION may have, each with its name, value, and four bytes more.  What
   libmicrohttpd adds by itself is left out.  */
size_t httpd_response_space (const struct httpd *httpd,
                             struct MHD_Connection *connection);
/* Returns whether that is at least an eighth of the connection's memory.  */
bool httpd_has_response_space (const struct httpd *httpd,
                               struct MHD_Connection *connection);
/* Closes CONNECTION, whatever the state of its request, which ends as if its
   caller had left; for connections that stand still.  */
void httpd_close_connection (struct httpd *httpd,
                             struct MHD_Connection *connection);
/* Closes up to COUNT connections without a request, those first that have had
   none for longest: for at least MIN_HEAD_AGE if they never had one, and for
   MIN_IDLE_AGE since the last one otherwise.  Returns how many.  */
size_t httpd_close_unused (struct httpd *httpd, size_t count,
                           apr_time_t min_head_age, apr_time_t min_idle_age);
/* Returns how many bytes the caller's system has acknowledged on CONNECTION.
 */
int64_t httpd_acknowledged_bytes (struct MHD_Connection *connection);
/* Returns the IPv4 address of the caller, in network order; 0: not known.  */
uint32_t httpd_peer_address (struct MHD_Connection *connection);
/* Returns the caller's address and port as text in POOL.  */
const char *httpd_peer_text (struct MHD_Connection *connection,
                             apr_pool_t *pool);
/* Returns the number of open connections.  */
unsigned int httpd_connection_count (const struct httpd *httpd);
/* Queues OBJECT as a JSON response with STATUS, and frees OBJECT.  */
enum MHD_Result httpd_queue_json (struct MHD_Connection *connection,
                                  unsigned int status, json_object *object);
/* Returns the path of a request's TARGET as it was sent: without the query
   and, if TARGET is a whole URL, without scheme and host.  Nothing is
   unescaped, so that an escaped slash is none; whoever forwards TARGET decides
   by this path, since the next hop gets the same (RFC 3986, 2.2).  The result
   is a part of TARGET.  */
struct str httpd_target_path (struct str target);
/* Returns the value of the request header NAME, or an empty string.  It is
   valid until the request is completed.  */
struct str httpd_header (struct MHD_Connection *connection, const char *name);
/* Returns the value of the query parameter NAME, or an empty string.  It is
   valid until the request is completed.  */
struct str httpd_query_parameter (struct MHD_Connection *connection,
                                  const char *name);

#endif
