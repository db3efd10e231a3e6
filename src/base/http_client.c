#include "base/http_client.h"

#include <stdlib.h>
#include <string.h>
#include <strings.h>

/* types */

struct http_client
{
  struct curl_loop *curl_loop;
  struct exchange *first; /* in progress */
};

struct exchange
{
  struct curl_transfer transfer;
  struct http_client *client;
  struct exchange *next;
  struct exchange **link;
  http_answer_fn *done;
  void (*drop) (void *part);
  void *part;
  struct curl_slist *headers;
  char *body;
  char *answer;
  size_t size;
  size_t limit;
  int64_t index;
  bool sent;
};

/* constants */

enum
{
  IDLE_CONNECTIONS = 128,
  DEFAULT_TIMEOUT_MS = 2000,
  DEFAULT_ANSWER_LIMIT = 4 * 1024 * 1024
};

static const char index_header[] = "X-Consul-Index:";

/* private functions */

static void
unlink_exchange (struct exchange *ex)
{
  *ex->link = ex->next;
  if (ex->next)
    ex->next->link = ex->link;
}

static void
destroy (struct exchange *ex)
{
  curl_easy_cleanup (ex->transfer.easy);
  curl_slist_free_all (ex->headers);
  free (ex->body);
  free (ex->answer);
  free (ex);
}

static void
on_done (void *owner, CURLcode result)
{
  struct exchange *ex = owner;
  struct http_answer answer = { .sent = ex->sent, .index = ex->index };
  if (result == CURLE_OK)
    curl_easy_getinfo (ex->transfer.easy, CURLINFO_RESPONSE_CODE,
                       &answer.status);
  else
    answer.reason = curl_easy_strerror (result);
  answer.body = str_view (ex->answer ? ex->answer : "", ex->size);
  ex->done (ex->part, &answer);
  unlink_exchange (ex);
  destroy (ex);
}

static size_t
on_body (char *data, size_t one, size_t size, void *owner)
{
  struct exchange *ex = owner;
  size *= one;
  if (ex->size + size > ex->limit)
    return 0;
  char *answer = realloc (ex->answer, ex->size + size + 1);
  if (!answer)
    return 0;
  memcpy (answer + ex->size, data, size);
  ex->answer = answer;
  ex->size += size;
  answer[ex->size] = 0;
  return size;
}

static size_t
on_header (char *data, size_t one, size_t size, void *owner)
{
  struct exchange *ex = owner;
  size_t n = sizeof index_header - 1;
  size *= one;
  if (size > n && strncasecmp (data, index_header, n) == 0)
    ex->index = strtoll (data + n, NULL, 10);
  return size;
}

static int
on_request (void *owner, char *peer, char *self, int peer_port, int self_port)
{
  (void)peer;
  (void)self;
  (void)peer_port;
  (void)self_port;
  struct exchange *ex = owner;
  /* libcurl would repeat a request by itself when a kept connection dies;
     whoever asked decides about that.  */
  if (ex->sent)
    return CURL_PREREQFUNC_ABORT;
  ex->sent = true;
  return CURL_PREREQFUNC_OK;
}

static void
set_body (struct exchange *ex, struct str body)
{
  ex->body = malloc (body.size + 1);
  if (!ex->body)
    abort ();
  memcpy (ex->body, body.data, body.size);
  curl_easy_setopt (ex->transfer.easy, CURLOPT_POSTFIELDSIZE_LARGE,
                    (curl_off_t)body.size);
  curl_easy_setopt (ex->transfer.easy, CURLOPT_POSTFIELDS, ex->body);
  ex->headers = curl_slist_append (ex->headers, "Expect:");
  ex->headers
      = curl_slist_append (ex->headers, "Content-Type: application/json");
}

/* public functions */

enum err_code
http_client_create (apr_pool_t *pool, struct loop *loop,
                    struct http_client **result, struct err *err)
{
  struct http_client *client = apr_pcalloc (pool, sizeof *client);
  *result = client;
  return curl_loop_create (pool, loop, IDLE_CONNECTIONS, &client->curl_loop,
                           err);
}

void
http_client_destroy (struct http_client *client)
{
  if (!client)
    return;
  struct exchange *next;
  for (struct exchange *ex = client->first; ex; ex = next)
    {
      next = ex->next;
      curl_loop_remove (client->curl_loop, &ex->transfer);
      if (ex->drop)
        ex->drop (ex->part);
      destroy (ex);
    }
  client->first = NULL;
  curl_loop_destroy (client->curl_loop);
}

void
http_client_send (struct http_client *client,
                  const struct http_request *request, http_answer_fn *done,
                  void *part)
{
  struct exchange *ex = calloc (1, sizeof *ex);
  CURL *easy = curl_easy_init ();
  if (!ex || !easy)
    abort ();
  ex->client = client;
  ex->done = done;
  ex->drop = request->drop;
  ex->part = part;
  ex->limit = request->answer_limit ? request->answer_limit
                                    : (size_t)DEFAULT_ANSWER_LIMIT;
  ex->transfer = (struct curl_transfer){ easy, on_done, ex };
  ex->next = client->first;
  ex->link = &client->first;
  if (ex->next)
    ex->next->link = &ex->next;
  client->first = ex;
  if (request->body.data)
    set_body (ex, request->body);
  if (request->method)
    curl_easy_setopt (easy, CURLOPT_CUSTOMREQUEST, request->method);
  if (request->header)
    ex->headers = curl_slist_append (ex->headers, request->header);
  long timeout = request->timeout_ms ? (long)request->timeout_ms
                                     : (long)DEFAULT_TIMEOUT_MS;
  curl_easy_setopt (easy, CURLOPT_URL, request->url);
  curl_easy_setopt (easy, CURLOPT_HTTPHEADER, ex->headers);
  curl_easy_setopt (easy, CURLOPT_TIMEOUT_MS, timeout);
  if (request->stall_s > 0)
    {
      curl_easy_setopt (easy, CURLOPT_LOW_SPEED_LIMIT, 1L);
      curl_easy_setopt (easy, CURLOPT_LOW_SPEED_TIME, (long)request->stall_s);
    }
  curl_easy_setopt (easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (easy, CURLOPT_PROXY, "");
  curl_easy_setopt (easy, CURLOPT_HTTP_VERSION, (long)CURL_HTTP_VERSION_1_1);
  curl_easy_setopt (easy, CURLOPT_WRITEFUNCTION, on_body);
  curl_easy_setopt (easy, CURLOPT_WRITEDATA, ex);
  curl_easy_setopt (easy, CURLOPT_HEADERFUNCTION, on_header);
  curl_easy_setopt (easy, CURLOPT_HEADERDATA, ex);
  curl_easy_setopt (easy, CURLOPT_PREREQFUNCTION, on_request);
  curl_easy_setopt (easy, CURLOPT_PREREQDATA, ex);
  if (curl_loop_add (client->curl_loop, &ex->transfer) != ERR_NONE)
    on_done (ex, CURLE_FAILED_INIT);
}
