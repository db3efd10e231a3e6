/* An operator's request (internal to the module).

   A handler either ends the request at once with request_finish or
   request_fail, or returns and ends it later; the connection is suspended
   meanwhile.  A request is ended at most once.  */
#ifndef OPERATOR_REQUEST_H
#define OPERATOR_REQUEST_H

#include "base/httpd.h"
#include "base/json.h"
#include "operator/api.h"

enum
{
  MAX_DELETIONS = 256 /* the latest ones; /v1/watch does not report older */
};

/* A resource that was deleted.  */
struct deletion
{
  enum resource_kind kind;
  char name[64];
  int64_t version; /* of the first configuration without the resource; 0: no
                      deletion was recorded here yet */
};

struct api
{
  struct api_desc desc;
  struct httpd *httpd;
  struct request *watchers;       /* wait for a higher version */
  struct snapshot *last_snapshot; /* in force until the next adoption, which
                                     is compared with it to find deletions */
  struct deletion deletions[MAX_DELETIONS]; /* ring buffer */
  size_t next_deletion;                     /* to be overwritten next */
  struct request *requests;                 /* all that have not completed */
  uint64_t last_operation;
};

struct request
{
  struct api *api;
  apr_pool_t *pool;
  struct request *next;         /* in `api->requests' */
  struct request **link;        /* what points to this request there */
  struct request *next_watcher; /* in `api->watchers' */
  struct MHD_Connection *connection;
  struct str method;
  struct str segments[3]; /* of the path after /v1/ */
  size_t segment_count;
  char *body; /* null-terminated; NULL if empty */
  size_t body_size;
  bool too_large; /* the body exceeds the limit */
  bool started;   /* its handler was called */
  bool finished;  /* the response is set */
  bool suspended; /* the connection is, until the response is set */
  bool waiting_for_worker;
  bool abandoned;        /* the connection ended while waiting for the worker;
                            the request is destroyed when its view arrives */
  json_object *response; /* NULL: the response is `text' */
  struct str text; /* plain-text response; or, once a change was submitted,
                      its operation id */
  unsigned int status;
  int64_t watch_version; /* /v1/watch: wait for a version above this one */
  struct timer timer;    /* /v1/watch: ends the wait */
};

enum
{
  STATUS_OK = 200,
  STATUS_ACCEPTED = 202,
  STATUS_BAD_REQUEST = 400,
  STATUS_UNAUTHORIZED = 401,
  STATUS_NOT_FOUND = 404,
  STATUS_NOT_ALLOWED = 405,
  STATUS_CONFLICT = 409,
  STATUS_TOO_LARGE = 413,
  STATUS_HEAD_TOO_LARGE = 431,
  STATUS_INVALID = 422,
  STATUS_UNAVAILABLE = 503
};

/* Ends REQUEST with RESPONSE, whose reference it takes over; with NULL, the
   response is `request->text' as plain text.  */
void request_finish (struct request *request, unsigned int status,
                     json_object *response);
/* Ends REQUEST with {"error": ERROR, "detail": DETAIL}; DETAIL is formatted
   as by printf.  */
void request_fail (struct request *request, unsigned int status,
                   const char *error, const char *detail, ...)
    __attribute__ ((format (printf, 4, 5)));
/* Requests the worker's view of upstreams and services (worker_query), then
   calls DONE with it, which ends REQUEST.  DONE is not called if the
   connection has ended by then, or if the worker has stopped.  VIEW is valid
   during the call.  */
void request_query (struct request *request,
                    void (*done) (struct request *request, json_object *view));

/* Handlers, by the first path segment after /v1/.  */

/* KIND and KIND/NAME: list, get, put and delete resources.  */
void handle_resources (struct request *request);
/* apply: changes several resources, all or none.  */
void handle_apply (struct request *request);
/* operations/ID: the state of a change.  */
void handle_operation (struct request *request);
/* watch: changes and deletions after a version.  If that version is in force,
   waits for a higher one, at most for the time given.  */
void handle_watch (struct request *request);
/* status: the entries, and what is saturated, ejected, leaving or draining. */
void handle_status (struct request *request);
/* burn: how fast services spend their error budgets.  */
void handle_burn (struct request *request);

/* Called after the configuration DOCUMENT was adopted: records the resources
   that it no longer has, and responds to all watches.  */
void watch_handle_adoption (struct api *api, const struct document *document);
/* Stops REQUEST's watch without a response; does nothing if it has none.  */
void watch_cancel (struct request *request);

#endif
