#include "call/requests.h"

#include "call/lookup.h"

#include <string.h>

/* constants */

enum
{
  HTTP_OK = 200,
  HTTP_NOT_FOUND = 404,
  HTTP_NOT_ALLOWED = 405
};

static const char lookup_path[] = "/.well-known/citroncleat/lookup";
static const char health_path[] = "/.well-known/citroncleat/health";

/* private functions */

static enum MHD_Result
answer_lookup (struct call_context *context, struct MHD_Connection *connection)
{
  struct str name = httpd_query_parameter (connection, "service");
  struct str region = httpd_query_parameter (connection, "region");
  struct str caller = httpd_query_parameter (connection, "caller");
  const struct service *service
      = snapshot_find (context->snapshot, KIND_SERVICE, name);
  counter_add (context->lookups, 1);
  if (name.size > 0 && !service)
    {
      json_object *error = json_object_new_object ();
      json_object_object_add (error, "error",
                              json_object_new_string ("not-found"));
      json_object_object_add (
          error, "detail",
          json_object_new_string ("no service has this name"));
      return httpd_queue_json (connection, HTTP_NOT_FOUND, error);
    }
  struct lookup_request request
      = { service, region.size > 0 ? region : context->settings->region,
          caller };
  struct lookup_result result
      = lookup_find (context->snapshot, context->roster, &request);
  return httpd_queue_json (connection, HTTP_OK,
                           lookup_to_json (&result, service));
}

static enum MHD_Result
answer_health (struct call_context *context, struct MHD_Connection *connection)
{
  json_object *object = json_object_new_object ();
  json_object_object_add (
      object, "state",
      json_object_new_string (context->leaving ? "leaving" : "serving"));
  return httpd_queue_json (connection, HTTP_OK, object);
}

/* Answers a request to one of the entry's own paths and sets RESULT; returns
   false for any other path.  */
static bool
answer_own_path (struct call_context *context,
                 struct MHD_Connection *connection, struct str path,
                 const char *method, enum MHD_Result *result)
{
  bool is_lookup = str_equal (path, str_from (lookup_path));
  if (!is_lookup && !str_equal (path, str_from (health_path)))
    return false;
  if (strcmp (method, "GET") != 0)
    {
      json_object *error = json_object_new_object ();
      json_object_object_add (error, "error",
                              json_object_new_string ("invalid"));
      json_object_object_add (error, "detail",
                              json_object_new_string ("use GET"));
      *result = httpd_queue_json (connection, HTTP_NOT_ALLOWED, error);
    }
  else
    *result = is_lookup ? answer_lookup (context, connection)
                        : answer_health (context, connection);
  return true;
}

/* Buffers body bytes, and reduces SIZE by the number accepted.  Suspends the
   connection if the buffer is full; libmicrohttpd passes the rest again once
   it is resumed.  */
static enum MHD_Result
receive_upload (struct call *call, const char *data, size_t *size)
{
  *size -= call_receive_body (call, data, *size);
  if (*size > 0)
    {
      call->suspended = true;
      httpd_suspend (call->context->httpd, call->connection);
    }
  return MHD_YES;
}

/* public functions */

void *
requests_begin (void *user_data, const char *target,
                struct MHD_Connection *connection)
{
  (void)connection;
  struct call_context *context = user_data;
  return call_create (context, target);
}

enum MHD_Result
requests_handle (void *user_data, struct MHD_Connection *connection,
                 const char *url, const char *method, const char *version,
                 const char *upload_data, size_t *upload_data_size,
                 void **request)
{
  (void)url;
  (void)version;
  struct call_context *context = user_data;
  struct call *call = *request;
  enum MHD_Result result;
  if (!call->opened)
    {
      if (answer_own_path (context, connection,
                           httpd_target_path (call->target), method, &result))
        return result;
      call_open (call, connection, method);
      return call->response_ready ? call_send_response (call) : MHD_YES;
    }
  if (call->caller_closed)
    return MHD_NO;
  if (*upload_data_size > 0)
    return receive_upload (call, upload_data, upload_data_size);
  call_end_body (call);
  if (call->response_ready)
    return call_send_response (call);
  call->suspended = true;
  httpd_suspend (call->context->httpd, connection);
  return MHD_YES;
}

struct httpd_request_state
requests_describe (void *request)
{
  const struct call *call = request;
  return (struct httpd_request_state){ .id = call->opened ? call->id.data : "",
                                       .stage
                                       = !call->opened           ? "head"
                                         : call->response_queued ? "response"
                                         : call->response_ready  ? "ready"
                                         : call->body_ended      ? "waiting"
                                                                 : "body" };
}

void
requests_completed (void *user_data, struct MHD_Connection *connection,
                    void **request, enum MHD_RequestTerminationCode code)
{
  (void)user_data;
  (void)connection;
  (void)code;
  if (*request)
    call_destroy (*request);
  *request = NULL;
}
