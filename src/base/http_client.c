#include "base/http_client.h"

#include "base/http_head.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

/* types */

struct http_client
{
  struct curl_loop *curl_loop;
  struct exchange *first; /* in progress */
};

/* One request in progress.  */
struct exchange
{
  struct curl_transfer transfer;
  struct http_client *client;
  struct exchange *next;
  struct exchange **previous_next; /* the pointer to this one */
  http_response_fn *done;
  void (*free_user_data) (void *user_data); /* may be NULL */
  void *user_data;
  struct curl_slist *headers;
  char *body;
  char *response; /* body received so far */
  size_t response_size;
  size_t max_response_bytes;
  int64_t index;
  struct http_head head;     /* as it is checked */
  const char *number_header; /* may be NULL */
  int64_t number;
  bool request_sent; /* the request may have reached the peer */
};

/* constants */

enum
{
  MAX_IDLE_CONNECTIONS = 128,
  DEFAULT_TIMEOUT_MS = 2000,
  DEFAULT_MAX_RESPONSE_BYTES = 4 * 1024 * 1024
};

static const char index_header[] = "X-Consul-Index:";

/* private functions */

static void
exchange_unlink (struct exchange *ex)
{
  *ex->previous_next = ex->next;
  if (ex->next)
    ex->next->previous_next = ex->previous_next;
}

static void
exchange_destroy (struct exchange *ex)
{
  curl_easy_cleanup (ex->transfer.easy);
  curl_slist_free_all (ex->headers);
  free (ex->body);
  free (ex->response);
  free (ex);
}

static void
on_done (void *user_data, CURLcode result)
{
  struct exchange *ex = user_data;
  struct http_response response = { .request_sent = ex->request_sent,
                                    .index = ex->index,
                                    .number = ex->number,
                                    .easy = ex->transfer.easy };
  if (result == CURLE_OK && http_head_is_final (&ex->head))
    curl_easy_getinfo (ex->transfer.easy, CURLINFO_RESPONSE_CODE,
                       &response.status);
  else
    {
      long cause = 0;
      response.reason
          = ex->head.problem ? ex->head.problem : curl_easy_strerror (result);
      curl_easy_getinfo (ex->transfer.easy, CURLINFO_OS_ERRNO, &cause);
      response.refused
          = result == CURLE_COULDNT_CONNECT && cause == ECONNREFUSED;
    }
  response.body
      = str_view (ex->response ? ex->response : "", ex->response_size);
  ex->done (ex->user_data, &response);
  exchange_unlink (ex);
  exchange_destroy (ex);
}

static size_t
on_body (char *data, size_t item_size, size_t size, void *user_data)
{
  struct exchange *ex = user_data;
  size *= item_size;
  if (ex->response_size + size > ex->max_response_bytes)
    return 0;
  char *response = realloc (ex->response, ex->response_size + size + 1);
  if (!response)
    return 0;
  memcpy (response + ex->response_size, data, size);
  ex->response = response;
  ex->response_size += size;
  response[ex->response_size] = 0;
  return size;
}

/* Sets *NUMBER to the value of the latest field of HEAD if that is NAME, which
   ends with its colon.  */
static void
read_number (const struct http_head *head, const char *name, int64_t *number)
{
  if (str_equal_nocase (head->name, str_view (name, strlen (name) - 1)))
    *number = str_to_number (head->value);
}

static size_t
on_header (char *data, size_t item_size, size_t size, void *user_data)
{
  struct exchange *ex = user_data;
  size *= item_size;
  /* Lines after the body are trailers.  */
  if (http_head_is_final (&ex->head))
    return size;
  switch (http_head_add_line (&ex->head, str_view (data, size)))
    {
    case HTTP_HEAD_MALFORMED:
      return 0;
    case HTTP_HEAD_FIELD:
      read_number (&ex->head, index_header, &ex->index);
      if (ex->number_header)
        read_number (&ex->head, ex->number_header, &ex->number);
      break;
    default:
      break;
    }
  return size;
}

/* CURLOPT_PREREQFUNCTION: a connection is open and the request is about to be
   sent.  */
static int
on_request_start (void *user_data, char *peer, char *self, int peer_port,
                  int self_port)
{
  (void)peer;
  (void)self;
  (void)peer_port;
  (void)self_port;
  struct exchange *ex = user_data;
  /* When a reused connection turns out to be closed, libcurl repeats the
     request by itself.  Whether a request may be repeated is up to the caller
     of http_client_send, so the second attempt is aborted.  */
  if (ex->request_sent)
    return CURL_PREREQFUNC_ABORT;
  ex->request_sent = true;
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
  return curl_loop_create (pool, loop, MAX_IDLE_CONNECTIONS,
                           &client->curl_loop, err);
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
      if (ex->free_user_data)
        ex->free_user_data (ex->user_data);
      exchange_destroy (ex);
    }
  client->first = NULL;
  curl_loop_destroy (client->curl_loop);
}

struct str
http_response_header (const struct http_response *response, const char *name)
{
  struct curl_header *header;
  if (!response->easy
      || curl_easy_header (response->easy, name, 0, CURLH_HEADER, -1, &header)
             != CURLHE_OK)
    return STR ("");
  return str_from (header->value);
}

void
http_client_send (struct http_client *client,
                  const struct http_request *request, http_response_fn *done,
                  void *user_data)
{
  struct exchange *ex = calloc (1, sizeof *ex);
  CURL *easy = curl_easy_init ();
  if (!ex || !easy)
    abort ();
  ex->client = client;
  ex->done = done;
  ex->free_user_data = request->free_user_data;
  ex->user_data = user_data;
  ex->number_header = request->number_header;
  ex->max_response_bytes = request->max_response_bytes
                               ? request->max_response_bytes
                               : (size_t)DEFAULT_MAX_RESPONSE_BYTES;
  ex->transfer = (struct curl_transfer){ easy, on_done, ex };
  ex->next = client->first;
  ex->previous_next = &client->first;
  if (ex->next)
    ex->next->previous_next = &ex->next;
  client->first = ex;
  if (request->body.data)
    set_body (ex, request->body);
  if (request->method)
    curl_easy_setopt (easy, CURLOPT_CUSTOMREQUEST, request->method);
  if (request->extra_header)
    ex->headers = curl_slist_append (ex->headers, request->extra_header);
  long timeout = request->timeout_ms ? (long)request->timeout_ms
                                     : (long)DEFAULT_TIMEOUT_MS;
  curl_easy_setopt (easy, CURLOPT_URL, request->url);
  curl_easy_setopt (easy, CURLOPT_HTTPHEADER, ex->headers);
  curl_easy_setopt (easy, CURLOPT_TIMEOUT_MS, timeout);
  if (request->stall_timeout_s > 0)
    {
      curl_easy_setopt (easy, CURLOPT_LOW_SPEED_LIMIT, 1L);
      curl_easy_setopt (easy, CURLOPT_LOW_SPEED_TIME,
                        (long)request->stall_timeout_s);
    }
  if (request->closes_connection)
    curl_easy_setopt (easy, CURLOPT_FORBID_REUSE, 1L);
  curl_easy_setopt (easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (easy, CURLOPT_PROXY, "");
  curl_easy_setopt (easy, CURLOPT_HTTP_VERSION, (long)CURL_HTTP_VERSION_1_1);
  curl_easy_setopt (easy, CURLOPT_WRITEFUNCTION, on_body);
  curl_easy_setopt (easy, CURLOPT_WRITEDATA, ex);
  curl_easy_setopt (easy, CURLOPT_HEADERFUNCTION, on_header);
  curl_easy_setopt (easy, CURLOPT_HEADERDATA, ex);
  curl_easy_setopt (easy, CURLOPT_PREREQFUNCTION, on_request_start);
  curl_easy_setopt (easy, CURLOPT_PREREQDATA, ex);
  if (curl_loop_add (client->curl_loop, &ex->transfer) != ERR_NONE)
    on_done (ex, CURLE_FAILED_INIT);
}
