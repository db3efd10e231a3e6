#include "operator/request.h"

#include <apr_strings.h>
#include <sodium.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>

/* types */

struct handler
{
  const char *path; /* first segment after /v1/ */
  const char *method;
  void (*handle) (struct request *request);
};

/* A query of the worker's view on behalf of a request.  */
struct query
{
  struct request *request;
  void (*done) (struct request *request, json_object *view);
};

/* constants */

static const char path_prefix[] = "/v1/";

/* private functions */

static void
handle_version (struct request *request)
{
  json_object *response = json_object_new_object ();
  json_add_text (response, "version", CITRONCLEAT_VERSION);
  json_add_text (response, "entry", request->api->desc.settings->name.data);
  request_finish (request, STATUS_OK, response);
}

static const struct handler handlers[]
    = { { "apply", "POST", handle_apply },
        { "operations", "GET", handle_operation },
        { "watch", "GET", handle_watch },
        { "status", "GET", handle_status },
        { "burn", "GET", handle_burn },
        { "version", "GET", handle_version },
        { NULL, NULL, NULL } };

/* Sets `segments' from the path after /v1/; segments after the third are
   ignored, since no path has more than two.  */
static void
split_path (struct request *request, const char *url)
{
  const char *at = url + sizeof path_prefix - 1;
  while (*at && request->segment_count < 3)
    {
      size_t size = strcspn (at, "/");
      request->segments[request->segment_count++]
          = str_dup (request->pool, str_view (at, size));
      at += size;
      if (*at == '/')
        at++;
    }
}

/* Compares the token in constant time, so that response times do not reveal
   it.  */
static bool
token_is_valid (const struct request *request)
{
  struct str given = httpd_header (request->connection, "Authorization");
  struct str token = request->api->desc.settings->operators.token;
  struct str scheme = STR ("Bearer ");
  return str_starts_with (given, scheme)
         && given.size - scheme.size == token.size
         && sodium_memcmp (given.data + scheme.size, token.data, token.size)
                == 0;
}

static void
handle_metrics (struct request *request)
{
  request->text = counters_render (request->api->desc.counters, request->pool);
  request_finish (request, STATUS_OK, NULL);
}

/* Calls the handler for URL.  The token is checked before the size of the
   body and the path, so a request without it learns nothing else.  */
static void
route_request (struct request *request, const char *url)
{
  if (strcmp (url, "/healthz") == 0)
    {
      json_object *response = json_object_new_object ();
      json_add_text (response, "status", "ok");
      request_finish (request, STATUS_OK, response);
      return;
    }
  if (!token_is_valid (request))
    {
      request_fail (request, STATUS_UNAUTHORIZED, "denied",
                    "give the operators' token as 'Authorization: Bearer "
                    "TOKEN'");
      return;
    }
  if (request->too_large)
    {
      request_fail (
          request, STATUS_TOO_LARGE, "limit",
          "a request body has at most %lld bytes",
          (long long)request->api->desc.settings->limits.resource_body_bytes);
      return;
    }
  if (strcmp (url, "/metrics") == 0)
    {
      handle_metrics (request);
      return;
    }
  if (strncmp (url, path_prefix, sizeof path_prefix - 1) != 0)
    {
      request_fail (request, STATUS_NOT_FOUND, "not-found",
                    "paths start with /v1/");
      return;
    }
  split_path (request, url);
  for (const struct handler *h = handlers; h->path; h++)
    if (request->segment_count > 0
        && str_equal (request->segments[0], str_from (h->path)))
      {
        if (str_equal (request->method, str_from (h->method)))
          h->handle (request);
        else
          request_fail (request, STATUS_NOT_ALLOWED, "not-allowed",
                        "%s /v1/%s is not possible: %s expected",
                        request->method.data, h->path, h->method);
        return;
      }
  handle_resources (request);
}

static enum MHD_Result
send_response (struct request *request)
{
  json_object *object = request->response;
  request->response = NULL;
  if (object)
    return httpd_queue_json (request->connection, request->status, object);
  struct MHD_Response *response = MHD_create_response_from_buffer (
      request->text.size, (void *)request->text.data, MHD_RESPMEM_MUST_COPY);
  MHD_add_response_header (response, "Content-Type",
                           "text/plain; version=0.0.4");
  enum MHD_Result result
      = MHD_queue_response (request->connection, request->status, response);
  MHD_destroy_response (response);
  return result;
}

static struct request *
request_create (struct api *api, struct MHD_Connection *connection,
                const char *method)
{
  apr_pool_t *pool;
  apr_pool_create (&pool, NULL);
  struct request *request = apr_pcalloc (pool, sizeof *request);
  request->api = api;
  request->pool = pool;
  request->connection = connection;
  request->method = str_dup (pool, str_from (method));
  request->next = api->requests;
  request->link = &api->requests;
  if (request->next)
    request->next->link = &request->next;
  api->requests = request;
  return request;
}

static void
request_destroy (struct request *request)
{
  json_object_put (request->response);
  free (request->body);
  apr_pool_destroy (request->pool);
}

/* Appends received DATA to the body and keeps it null-terminated.  Once
   it would exceed the limit, data is dropped, and route_request refuses the
   request.  */
static void
append_body (struct request *request, const char *data, size_t size)
{
  size_t limit
      = (size_t)request->api->desc.settings->limits.resource_body_bytes;
  if (request->too_large || request->body_size + size > limit)
    {
      request->too_large = true;
      return;
    }
  request->body = realloc (request->body, request->body_size + size + 1);
  if (!request->body)
    abort ();
  memcpy (request->body + request->body_size, data, size);
  request->body_size += size;
  request->body[request->body_size] = 0;
}

/* libmicrohttpd's access handler.  It is called first when the header is
   complete, then for each piece of the body, then once without data, and again
   when a suspended connection is resumed.  */
static enum MHD_Result
on_request (void *user_data, struct MHD_Connection *connection,
            const char *url, const char *method, const char *version,
            const char *upload_data, size_t *upload_data_size, void **context)
{
  (void)version;
  struct api *api = user_data;
  if (!*context)
    {
      *context = request_create (api, connection, method);
      return MHD_YES;
    }
  struct request *request = *context;
  if (*upload_data_size > 0)
    {
      append_body (request, upload_data, *upload_data_size);
      *upload_data_size = 0;
      return MHD_YES;
    }
  if (!request->started)
    {
      request->started = true;
      if (httpd_has_response_space (api->httpd, connection))
        route_request (request, url);
      else
        request_fail (request, STATUS_HEAD_TOO_LARGE, "invalid",
                      "the head leaves no space for that of the response");
    }
  if (request->finished)
    return send_response (request);
  request->suspended = true;
  httpd_suspend (api->httpd, connection);
  return MHD_YES;
}

static struct httpd_request_state
describe (void *context)
{
  const struct request *request = context;
  return (struct httpd_request_state){ "", request->finished  ? "response"
                                           : request->started ? "waiting"
                                                              : "body" };
}

/* Called when the response was sent or the connection ended.  A change that
   was submitted goes on.  A request that waits for the worker's view is
   destroyed once that arrives, in on_worker_view.  */
static void
on_completed (void *user_data, struct MHD_Connection *connection,
              void **context, enum MHD_RequestTerminationCode code)
{
  (void)user_data;
  (void)connection;
  (void)code;
  struct request *request = *context;
  if (!request)
    return;
  *context = NULL;
  *request->link = request->next;
  if (request->next)
    request->next->link = request->link;
  watch_cancel (request);
  config_manager_cancel_callbacks (request->api->desc.config_manager, request);
  if (request->waiting_for_worker)
    request->abandoned = true;
  else
    request_destroy (request);
}

static void
on_worker_view (void *user_data, json_object *view)
{
  struct query *query = user_data;
  struct request *request = query->request;
  void (*done) (struct request *, json_object *) = query->done;
  request->waiting_for_worker = false;
  if (request->abandoned)
    request_destroy (request);
  else
    done (request, view);
  json_object_put (view);
}

static void
on_config_adopted (void *user_data, const struct document *document)
{
  watch_handle_adoption (user_data, document);
}

/* public functions */

void
request_finish (struct request *request, unsigned int status,
                json_object *response)
{
  request->response = response;
  request->status = status;
  request->finished = true;
  if (!request->suspended)
    return;
  request->suspended = false;
  httpd_resume (request->api->httpd, request->connection);
}

void
request_fail (struct request *request, unsigned int status, const char *error,
              const char *detail, ...)
{
  va_list args;
  va_start (args, detail);
  json_object *response = json_object_new_object ();
  json_add_text (response, "error", error);
  json_add_text (response, "detail",
                 str_vformat (request->pool, detail, args));
  va_end (args);
  request_finish (request, status, response);
}

void
request_query (struct request *request,
               void (*done) (struct request *request, json_object *view))
{
  struct query *query = apr_palloc (request->pool, sizeof *query);
  *query = (struct query){ request, done };
  request->waiting_for_worker = true;
  worker_query (request->api->desc.worker, on_worker_view, query);
}

enum err_code
api_create (apr_pool_t *pool, const struct api_desc *desc, struct api **result,
            struct err *err)
{
  struct api *api = apr_pcalloc (pool, sizeof *api);
  const struct settings_limits *limits = &desc->settings->limits;
  api->desc = *desc;
  api->last_snapshot = snapshot_ref (
      config_manager_document (desc->config_manager)->snapshot);
  struct httpd_desc httpd = { .loop = desc->loop,
                              .name = "operators",
                              .counters = desc->counters,
                              .describe = describe,
                              .address = desc->settings->listen.operators,
                              .handler = on_request,
                              .request_completed = on_completed,
                              .user_data = api,
                              .max_connections = limits->operator_connections,
                              .connection_bytes = limits->header_bytes,
                              .header_timeout_s = limits->header_timeout_s,
                              .idle_timeout_s = limits->idle_timeout_s };
  enum err_code code = httpd_create (pool, &httpd, &api->httpd, err);
  if (code != ERR_NONE)
    return code;
  config_manager_subscribe (desc->config_manager, on_config_adopted, api);
  *result = api;
  return ERR_NONE;
}

void
api_destroy (struct api *api)
{
  if (!api)
    return;
  for (struct request *request = api->requests; request;
       request = request->next)
    if (request->suspended)
      {
        watch_cancel (request);
        request_fail (request, STATUS_UNAVAILABLE, "unavailable",
                      "the entry is stopping");
      }
  /* Send the responses before the connections are closed.  */
  httpd_run (api->httpd);
  httpd_destroy (api->httpd);
  snapshot_unref (api->last_snapshot);
}
