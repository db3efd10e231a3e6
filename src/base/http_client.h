/* HTTP client for small requests, such as those to the platform's services.

   The body of the response is collected in memory up to a limit.  The
   completion function is called once, usually later on the loop's thread; if
   the transfer cannot be started, it is called before http_client_send
   returns.

     struct http_request request = { .url = "http://127.0.0.1:7000/v1/vms",
                                     .timeout_ms = 2000 };
     http_client_send (client, &request, on_response, user_data);

   Requests are never repeated.  If no complete response arrived, its head is
   malformed (base/http_head.h), or its body is larger than allowed, the status
   is 0, and the response tells whether the request may have reached the peer,
   in which case a write may have taken effect.

   Threads: the loop's thread only.  */
#ifndef BASE_HTTP_CLIENT_H
#define BASE_HTTP_CLIENT_H

#include "base/curl_loop.h"
#include "base/str.h"

struct http_client;

struct http_request
{
  const char *method; /* default: GET, or POST with a body */
  const char *url;
  const char *extra_header; /* one more header line, or NULL */
  /* Name of a response header, with its colon, whose whole number is wanted;
     NULL: none.  Must stay valid until the request has ended.  */
  const char *number_header;
  struct str body;    /* copied; sent as application/json */
  int64_t timeout_ms; /* for the whole exchange, default 2000 */
  /* Aborts the exchange if no byte is transferred for so many seconds; 0: only
     the timeout applies.  */
  int64_t stall_timeout_s;
  bool closes_connection;    /* after the response */
  size_t max_response_bytes; /* bytes of the response's body, default 4 MiB */
  /* Frees the user data of this request if the client is destroyed before
     the request has ended, since the completion function is then not called;
     may be NULL.  */
  void (*free_user_data) (void *user_data);
};

struct http_response
{
  long status;        /* HTTP status; 0: no complete response */
  bool request_sent;  /* the request may have reached the peer */
  bool refused;       /* nothing listens at the address */
  struct str body;    /* ends with a NUL; valid during the call only */
  int64_t index;      /* the X-Consul-Index header, or 0 */
  int64_t number;     /* of the request's `number_header', or 0 */
  const char *reason; /* if the status is 0: what is malformed, or libcurl's
                         error text */
  CURL *easy;         /* of http_response_header */
};

/* Receives the result of a request.  It must not destroy the client.  */
typedef void http_response_fn (void *user_data,
                               const struct http_response *response);

/* Creates a client on LOOP that keeps up to 128 idle connections open.  */
enum err_code http_client_create (apr_pool_t *pool, struct loop *loop,
                                  struct http_client **result,
                                  struct err *err);
/* Aborts all requests in progress without calling their completion functions.
   NULL is ignored.  */
void http_client_destroy (struct http_client *client);
/* Returns the value of the header NAME of RESPONSE, valid during the call of
   the completion function, or an empty string.  */
struct str http_response_header (const struct http_response *response,
                                 const char *name);
/* Sends REQUEST, which may be freed after that, and calls DONE once with
   USER_DATA when it has ended.  */
void http_client_send (struct http_client *client,
                       const struct http_request *request,
                       http_response_fn *done, void *user_data);

#endif
