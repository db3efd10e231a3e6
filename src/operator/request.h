/* One operator's request (internal to the slice).

   A handler either finishes the request at once with request_finish or
   request_fail, or keeps it and finishes it later; the connection is
   suspended meanwhile.  */
#ifndef OPERATOR_REQUEST_H
#define OPERATOR_REQUEST_H

#include "base/httpd.h"
#include "base/json.h"
#include "operator/api.h"

enum
{
  DELETIONS_KEPT = 256
};

struct deletion
{
  enum resource_kind kind;
  char name[64];
  int64_t version; /* of the configuration that no longer had it */
};

struct api
{
  struct api_desc desc;
  struct httpd *httpd;
  struct request *watchers; /* wait for a higher version */
  struct snapshot *last;    /* the snapshot before the next adoption */
  struct deletion deletions[DELETIONS_KEPT];
  size_t next_deletion;
  struct request *requests;
  uint64_t last_operation;
};

struct request
{
  struct api *api;
  apr_pool_t *pool;
  struct request *next;
  struct request **link;
  struct request *next_watcher;
  struct MHD_Connection *connection;
  struct str method;
  struct str parts[3]; /* of the path after /v1/ */
  size_t part_count;
  char *body;
  size_t body_size;
  bool too_large;
  bool started;
  bool handled;
  bool suspended;
  bool waiting_for_worker;
  bool abandoned; /* the connection ended while the worker was asked */
  json_object *answer;
  struct str text; /* instead of `answer': plain text */
  unsigned int status;
  int64_t watch_version;
  struct timer timer;
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
  STATUS_INVALID = 422,
  STATUS_UNAVAILABLE = 503
};

/* Ends REQUEST with ANSWER, which it takes over.  */
void request_finish (struct request *request, unsigned int status,
                     json_object *answer);
void request_fail (struct request *request, unsigned int status,
                   const char *error, const char *detail, ...)
    __attribute__ ((format (printf, 4, 5)));
/* Asks the worker for its view, then calls DONE unless the connection has
   ended.  */
void request_query (struct request *request,
                    void (*done) (struct request *request, json_object *view));

/* Handlers, by path.  */
void handle_resources (struct request *request);
void handle_apply (struct request *request);
void handle_operation (struct request *request);
void handle_watch (struct request *request);
void handle_status (struct request *request);
void handle_burn (struct request *request);

/* Answers watchers after DOCUMENT was adopted.  */
void watch_adopted (struct api *api, const struct document *document);
void watch_forget (struct request *request);

#endif
