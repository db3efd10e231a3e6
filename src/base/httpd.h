/* HTTP listener: libmicrohttpd without threads, on an event loop.

   Call order: httpd_create; the handler is then called as libmicrohttpd's
   access handler is.  httpd_close_listener stops new connections;
   httpd_destroy ends all.

   Every listener bounds header bytes, connections, connections of one
   address, and the time a connection may take to deliver a whole header or
   stay silent.  Threads: the loop's thread only.  */
#ifndef BASE_HTTPD_H
#define BASE_HTTPD_H

#include "base/loop.h"
#include "base/str.h"

#include <json-c/json.h>
#include <microhttpd.h>

struct httpd;

struct httpd_desc
{
  struct loop *loop;
  struct str address; /* IP:PORT */
  MHD_AccessHandlerCallback handler;
  /* Called first for each request with the raw target; its result is the
     handler's first request context.  May be NULL.  */
  void *(*begin) (void *part, const char *target,
                  struct MHD_Connection *connection);
  MHD_RequestCompletedCallback completed; /* may be NULL */
  /* Called when the caller of a request watched by httpd_watch_gone has
     closed its connection; may be NULL.  */
  void (*gone) (void *request);
  void *part;               /* passed to both */
  int64_t connections;      /* default 1024 */
  int64_t header_bytes;     /* default 32 KiB */
  int64_t header_timeout_s; /* default 15: from idle to a whole header */
  int64_t idle_timeout_s;   /* default 60: silence within a request */
};

enum err_code httpd_create (apr_pool_t *pool, const struct httpd_desc *desc,
                            struct httpd **result, struct err *err);
void httpd_close_listener (struct httpd *httpd);
void httpd_destroy (struct httpd *httpd);
/* Suspends CONNECTION until httpd_resume.  */
void httpd_suspend (struct httpd *httpd, struct MHD_Connection *connection);
void httpd_resume (struct httpd *httpd, struct MHD_Connection *connection);
/* Lets resumed connections go on at once.  */
void httpd_run (struct httpd *httpd);
/* Returns whether the other end has closed CONNECTION; for suspended
   connections, which nothing else watches.  */
bool httpd_is_gone (struct MHD_Connection *connection);
/* Calls the listener's `gone' with REQUEST once, if the other end of
   CONNECTION closes it; NULL ends the watch.  */
void httpd_watch_gone (struct httpd *httpd, struct MHD_Connection *connection,
                       void *request);
/* Returns whether CONNECTION has served no whole request before this one.  */
bool httpd_is_first_request (struct MHD_Connection *connection);
/* Returns the open connections.  */
unsigned int httpd_connections (const struct httpd *httpd);
/* Queues OBJECT, which it frees, as a JSON answer.  */
enum MHD_Result httpd_answer_json (struct MHD_Connection *connection,
                                   unsigned int status, json_object *object);
/* Returns a header of the request, or an empty string.  */
struct str httpd_header (struct MHD_Connection *connection, const char *name);
/* Returns an argument of the request's query, or an empty string.  */
struct str httpd_argument (struct MHD_Connection *connection,
                           const char *name);

#endif
