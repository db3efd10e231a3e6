#include "call/call.h"
#include "call/relay.h"

#include <apr_strings.h>
#include <string.h>

/* constants */

enum
{
  HTTP_BAD_GATEWAY = 502,
  HTTP_UNAVAILABLE = 503,
  /* Of Via (without what the upstream has there), Request-Id,
     Citroncleat-Outcome and Connection.  */
  OWN_FIELDS_BYTES = 512
};

static const char *const outcome_names[]
    = { "?", "complete", "not-run", "unknown" };

/* private functions */

/* Reads bytes of a streamed response for libmicrohttpd; suspends the caller's
   connection if there are none.  */
static ssize_t
read_response (void *user_data, uint64_t position, char *out, size_t size)
{
  struct call *call = user_data;
  ssize_t n = relay_read (call->caller_closed ? NULL : call->attempt, position,
                          out, size);
  if (n == 0)
    {
      call->suspended = true;
      httpd_suspend (call->context->httpd, call->connection);
    }
  return n;
}

/* Adds the upstream's end-to-end fields to RESPONSE, with this entry in Via.
 */
static void
add_headers (const struct call *call, struct MHD_Response *response)
{
  const struct headers *headers = &call->attempt->headers;
  struct str via = headers_get (headers, "Via");
  for (size_t i = 0; i < headers->count; i++)
    {
      const struct header *h = &headers->items[i];
      if (!headers_is_hop_by_hop (headers, h->name)
          && !str_equal_nocase (h->name, STR ("Request-Id"))
          && !str_equal_nocase (h->name, STR ("Via")))
        MHD_add_response_header (response, h->name.data, h->value.data);
    }
  MHD_add_response_header (response, "Via",
                           str_printf (call->pool, "%.*s%s1.1 citroncleat",
                                       STR_ARGS (via), via.size ? ", " : "")
                               .data);
}

static json_object *
error_body (const struct call *call)
{
  json_object *body = json_object_new_object ();
  const struct err *err = &call->err;
  json_object_object_add (
      body, "outcome",
      json_object_new_string (call_outcome_name (call->outcome)));
  json_object_object_add (body, "error",
                          json_object_new_string (err_name (err->code)));
  json_object_object_add (body, "step", json_object_new_string (err->step));
  json_object_object_add (body, "peer", json_object_new_string (err->peer));
  json_object_object_add (body, "detail",
                          json_object_new_string (err->detail));
  json_object_object_add (body, "request_id",
                          json_object_new_string (call->id.data));
  return body;
}

static struct MHD_Response *
make_error_response (const struct call *call)
{
  json_object *body = error_body (call);
  const char *text = json_object_to_json_string_ext (
      body, JSON_C_TO_STRING_PLAIN | JSON_C_TO_STRING_NOSLASHESCAPE);
  struct MHD_Response *response = MHD_create_response_from_buffer (
      strlen (text), (void *)text, MHD_RESPMEM_MUST_COPY);
  json_object_put (body);
  MHD_add_response_header (response, "Content-Type", "application/json");
  if (call->status == HTTP_UNAVAILABLE)
    {
      int64_t seconds = (call->retry_after_ms + 999) / 1000;
      MHD_add_response_header (response, "Retry-After",
                               str_format (call->pool, "%" APR_INT64_T_FMT,
                                           seconds > 0 ? seconds : 1));
    }
  return response;
}

/* public functions */

enum MHD_Result
call_send_response (struct call *call)
{
  if (call->err.code == ERR_NONE
      && headers_end_to_end_bytes (&call->attempt->headers) + OWN_FIELDS_BYTES
             > httpd_response_space (call->context->httpd, call->connection))
    {
      call->may_have_run = true;
      call_fail (call, HTTP_BAD_GATEWAY, ERR_LIMIT, "forward answer",
                 "the head of the answer is too large to be forwarded");
    }
  bool failed = call->err.code != ERR_NONE;
  call_discard_hedge (call);
  struct MHD_Response *response
      = failed ? make_error_response (call)
               : relay_response (call->attempt, call->is_head, read_response,
                                 call);
  if (!failed)
    {
      call->status = (unsigned int)call->attempt->status;
      add_headers (call, response);
    }
  MHD_add_response_header (response, "Request-Id", call->id.data);
  MHD_add_response_header (response, "Citroncleat-Outcome",
                           call_outcome_name (call->outcome));
  if (call->context->leaving)
    MHD_add_response_header (response, "Connection", "close");
  enum MHD_Result result
      = MHD_queue_response (call->connection, call->status, response);
  MHD_destroy_response (response);
  call->response_queued = true;
  return result;
}

const char *
call_outcome_name (enum call_outcome outcome)
{
  return outcome_names[outcome];
}
