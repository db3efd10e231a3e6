#include "config/store.h"

#include <apr_strings.h>
#include <stdio.h>
#include <stdlib.h>

/* types */

struct store_kv
{
  struct store store; /* first member: cast to and from */
  struct store_kv_desc desc;
  apr_pool_t *pool;
  struct counter *reads;
  struct counter *writes;
  struct counter *failures;
};

/* One request in progress.  */
struct request
{
  struct store_kv *kv;
  store_done_fn *done;
  void *user_data;
  bool is_write;
};

/* constants */

enum
{
  URL_MAX_BYTES = 512,
  HTTP_OK = 200,
  HTTP_NOT_FOUND = 404
};

/* private functions */

static enum err_code
result_code (const struct request *request, const struct http_response *http)
{
  if (http->status == 0)
    return http->request_sent && request->is_write ? ERR_UNKNOWN
                                                   : ERR_UNAVAILABLE;
  if (http->status == HTTP_NOT_FOUND)
    return ERR_NOT_FOUND;
  if (http->status != HTTP_OK)
    /* An error status does not say whether a write took effect.  */
    return request->is_write ? ERR_UNKNOWN : ERR_UNAVAILABLE;
  if (!request->is_write)
    return ERR_NONE;
  return str_starts_with (http->body, STR ("true")) ? ERR_NONE : ERR_CONFLICT;
}

static void
on_response (void *user_data, const struct http_response *http)
{
  struct request *request = user_data;
  struct store_response response = { .code = result_code (request, http),
                                     .index = http->index,
                                     .value = http->body };
  if (response.code == ERR_UNAVAILABLE || response.code == ERR_UNKNOWN)
    counter_add (request->kv->failures, 1);
  request->done (request->user_data, &response);
  free (request);
}

static void
send_request (struct store *store, struct http_request *http, bool is_write,
              store_done_fn *done, void *user_data)
{
  struct store_kv *kv = (struct store_kv *)store;
  struct request *request = malloc (sizeof *request);
  if (!request)
    abort ();
  *request = (struct request){ kv, done, user_data, is_write };
  counter_add (is_write ? kv->writes : kv->reads, 1);
  http->free_user_data = free;
  http_client_send (kv->desc.client, http, on_response, request);
}

static void
kv_get (struct store *store, const char *key, store_done_fn *done,
        void *user_data)
{
  struct store_kv *kv = (struct store_kv *)store;
  char url[URL_MAX_BYTES];
  snprintf (url, sizeof url, "%s/v1/kv/%s?raw", kv->desc.url.data, key);
  struct http_request http = { .url = url, .timeout_ms = kv->desc.timeout_ms };
  send_request (store, &http, false, done, user_data);
}

static void
kv_compare_and_swap (struct store *store, const char *key, int64_t index,
                     struct str value, store_done_fn *done, void *user_data)
{
  struct store_kv *kv = (struct store_kv *)store;
  char url[URL_MAX_BYTES];
  snprintf (url, sizeof url, "%s/v1/kv/%s?cas=%" APR_INT64_T_FMT,
            kv->desc.url.data, key, index);
  struct http_request http = { .method = "PUT",
                               .url = url,
                               .body = value,
                               .timeout_ms = kv->desc.timeout_ms };
  send_request (store, &http, true, done, user_data);
}

static void
kv_watch (struct store *store, const char *key, int64_t index, int64_t wait_ms,
          store_done_fn *done, void *user_data)
{
  struct store_kv *kv = (struct store_kv *)store;
  char url[URL_MAX_BYTES];
  snprintf (url, sizeof url,
            "%s/v1/kv/%s?raw&index=%" APR_INT64_T_FMT "&wait=%" APR_INT64_T_FMT
            "ms",
            kv->desc.url.data, key, index, wait_ms);
  struct http_request http
      = { .url = url, .timeout_ms = wait_ms + kv->desc.timeout_ms };
  send_request (store, &http, false, done, user_data);
}

static const struct store_ops kv_ops = {
  .get = kv_get, .compare_and_swap = kv_compare_and_swap, .watch = kv_watch
};

/* public functions */

struct store *
store_kv_create (apr_pool_t *pool, const struct store_kv_desc *desc)
{
  struct store_kv *kv = apr_pcalloc (pool, sizeof *kv);
  kv->store.ops = &kv_ops;
  kv->desc = *desc;
  kv->pool = pool;
  kv->reads = counter_get (desc->counters, "citroncleat_store_reads_total", "",
                           "Reads and watches sent to the store.");
  kv->writes = counter_get (desc->counters, "citroncleat_store_writes_total",
                            "", "Writes sent to the store.");
  kv->failures
      = counter_get (desc->counters, "citroncleat_store_failures_total", "",
                     "Store calls without a whole answer.");
  return &kv->store;
}
