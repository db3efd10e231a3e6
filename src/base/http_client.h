/* Small HTTP exchanges with the platform: one request, one whole answer.

   The answer is collected in memory up to a limit, and its function is
   called once on the loop's thread.

     struct http_request request = { .url = "http://127.0.0.1:7000/v1/vms",
                                     .timeout_ms = 2000 };
     http_client_send (client, &request, on_answer, part);

   `status' is 0 when there is no whole answer; `sent' tells whether the
   request may have reached the peer, in which case a write may have taken
   effect.  Threads: the loop's thread only.  */
#ifndef BASE_HTTP_CLIENT_H
#define BASE_HTTP_CLIENT_H

#include "base/curl_loop.h"
#include "base/str.h"

struct http_client;

struct http_request
{
  const char *method; /* default GET */
  const char *url;
  const char *header;  /* one more header line, or NULL */
  struct str body;     /* copied */
  int64_t timeout_ms;  /* default 2000 */
  int64_t stall_s;     /* ends an exchange that moves no byte for so long;
                          0: only the timeout does */
  size_t answer_limit; /* bytes, default 4 MiB */
  /* Frees what `done' would have freed, if the client is destroyed before
     the answer; may be NULL.  */
  void (*drop) (void *part);
};

struct http_answer
{
  long status; /* 0 without a whole answer */
  bool sent;
  struct str body;
  int64_t index;      /* the X-Consul-Index header, or 0 */
  const char *reason; /* when status is 0 */
};

typedef void http_answer_fn (void *part, const struct http_answer *answer);

enum err_code http_client_create (apr_pool_t *pool, struct loop *loop,
                                  struct http_client **result,
                                  struct err *err);
void http_client_destroy (struct http_client *client);
void http_client_send (struct http_client *client,
                       const struct http_request *request,
                       http_answer_fn *done, void *part);

#endif
