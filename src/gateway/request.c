/* Requests as callers see them: reads the head and the body, finds the route,
   sets the deadlines, and sends the response.  */
#include "gateway/internal.h"

#include "call/limits.h"
#include "call/relay.h"
#include "platform/decode.h"
#include "platform/words.h"

#include <string.h>
#include <xxhash.h>

/* constants */

enum
{
  /* For callers that state none; several times what others state.  */
  DEFAULT_TIMEOUT_MS = 30000,
  /* The deadline is this much earlier than the timeout, so that the response
     is on its way before the caller's and the operators' limits pass.  */
  TIMEOUT_MARGIN_MS = 10,
  HTTP_BAD_REQUEST = 400,
  HTTP_UNAUTHORIZED = 401,
  HTTP_NOT_FOUND = 404,
  HTTP_TOO_LARGE = 413,
  HTTP_TOO_MANY_REQUESTS = 429,
  HTTP_HEAD_TOO_LARGE = 431,
  HTTP_BAD_GATEWAY = 502,
  HTTP_UNAVAILABLE = 503
};

/* The timeouts that callers of one route state on their first attempts differ,
   but none is below this fraction of the longest.  A caller that states less
   is taken to have spent the difference on an earlier attempt.  */
static const double first_attempt_min_ratio = 0.74;

static const char *const outcome_names[]
    = { "?", "served", "refused", "failed", "left" };

/* private functions */

static enum MHD_Result
collect_header (void *user_data, enum MHD_ValueKind kind, const char *name,
                const char *value)
{
  (void)kind;
  /* libmicrohttpd keeps them until the request has completed.  */
  headers_add_view (user_data, str_from (name), str_from (value));
  return MHD_YES;
}

/* Returns HOST, the value of a Host header, without its port.  */
static struct str
host_without_port (struct str host)
{
  const char *colon = host.size ? memchr (host.data, ':', host.size) : NULL;
  return colon ? str_view (host.data, (size_t)(colon - host.data)) : host;
}

/* Returns the size of the body as the head states it; -1 if it does not.  */
static int64_t
declared_body_size (const struct request *request)
{
  struct str length = headers_get (&request->headers, "Content-Length");
  if (headers_get (&request->headers, "Transfer-Encoding").size > 0)
    return -1;
  return length.size > 0 ? strtoll (length.data, NULL, 10) : 0;
}

/* Sets the object that the request concerns, by which its upstream is chosen.
   A request that names none, or whose route isn't sticky, gets one of its own,
   by its id.  */
static void
set_object (struct request *request)
{
  struct str object
      = decode_affinity_key (headers_get (&request->headers, "Cookie"));
  uint64_t route
      = XXH64 (request->route->name.data, request->route->name.size, 0);
  request->recurs = request->route->sticky && object.size > 0;
  struct str name = request->recurs ? object : request->id;
  request->object = XXH64 (name.data, name.size, route);
}

/* Sets the deadline, the time by which a response meets the target latency,
   and the deadline's timer.  */
static void
set_deadlines (struct request *request)
{
  struct gateway *gateway = request->gateway;
  struct route_state *state = request->route_state;
  int64_t timeout_ms = decode_deadline_ms (
      headers_get (&request->headers, PLATFORM_DEADLINE));
  int64_t spent_ms = 0;
  if (timeout_ms < 0)
    timeout_ms = DEFAULT_TIMEOUT_MS;
  else if (timeout_ms > state->longest_timeout_ms)
    state->longest_timeout_ms = timeout_ms;
  int64_t min_first_ms
      = (int64_t)((double)state->longest_timeout_ms * first_attempt_min_ratio);
  if (timeout_ms < min_first_ms)
    spent_ms = min_first_ms - timeout_ms;
  apr_time_t timeout = TIMER_MS (timeout_ms);
  if (request->route->timeout > 0 && request->route->timeout < timeout)
    timeout = request->route->timeout;
  request->deadline
      = request->began_at + timeout - TIMER_MS (TIMEOUT_MARGIN_MS);
  request->target_at
      = request->began_at
        + (request->route->target_latency > 0 ? request->route->target_latency
                                              : timeout)
        - TIMER_MS (spent_ms);
  timer_start (loop_timers (gateway->loop), &request->deadline_timer,
               request->deadline, dispatch_on_deadline, request);
}

/* Finds the route and the service; refuses what can't be forwarded.  */
static void
resolve_route (struct request *request)
{
  struct gateway *gateway = request->gateway;
  struct plan *plan = store_sync_plan (gateway->store_sync);
  struct str host
      = host_without_port (headers_get (&request->headers, "Host"));
  if (!plan)
    {
      request_refuse (request, HTTP_UNAVAILABLE,
                      "no configuration is known yet");
      return;
    }
  request->plan = plan_ref (plan);
  request->route = plan_find_route (plan, host, request->path);
  if (!request->route && plan_has_unplaced_route (plan, host))
    {
      request_refuse (request, HTTP_UNAVAILABLE,
                      "the prefix of a route of this host can't be read");
      return;
    }
  if (!request->route)
    {
      request_refuse (request, HTTP_NOT_FOUND, "no route matches");
      return;
    }
  if (request->id.size == 0)
    {
      request_refuse (request, HTTP_BAD_REQUEST, "the request has no id");
      return;
    }
  request->route_state = dispatch_route_state (gateway, request->route);
  if (!tenant_authenticate (request))
    return;
  if (request->route->refusal)
    {
      request_refuse (request, HTTP_UNAVAILABLE, request->route->refusal);
      return;
    }
  const struct plan_weighted_service *weighted
      = plan_next_weighted_service (request->route);
  if (weighted->is_missing)
    {
      request_refuse (request, HTTP_UNAVAILABLE,
                      "the configuration has no service for this share");
      return;
    }
  request->service_name = weighted->service;
  request->service = gateway_service_state (gateway, request->service_name);
  set_object (request);
  request->body_size = declared_body_size (request);
  int64_t max_bytes = plan_limits (plan)->body_bytes;
  if (max_bytes > 0 && request->body_size > max_bytes)
    {
      request_refuse (request, HTTP_TOO_LARGE, "the body is too large");
      return;
    }
  set_deadlines (request);
  if (!stop_limits_take (&gateway->stop_limits, request->began_at,
                         request->deadline))
    request_refuse (request, HTTP_UNAVAILABLE,
                    "the entry stops before the deadline");
}

static void
receive_head (struct request *request, struct MHD_Connection *connection,
              const char *method)
{
  request->head_received = true;
  request->connection = connection;
  request->method = str_dup (request->pool, str_from (method));
  request->path = httpd_target_path (request->target);
  request->is_head = strcmp (method, "HEAD") == 0;
  MHD_get_connection_values (connection, MHD_HEADER_KIND, collect_header,
                             &request->headers);
  request->id = headers_get (&request->headers, PLATFORM_REQUEST_ID);
  if (httpd_has_response_space (request->gateway->caller_listener, connection))
    resolve_route (request);
  else
    request_refuse (request, HTTP_HEAD_TOO_LARGE,
                    "the head leaves no space for that of the answer");
}

/* Makes libmicrohttpd not call the handler until the request is resumed, and
   watches meanwhile whether the caller closes its connection.  */
static void
suspend (struct request *request)
{
  struct gateway *gateway = request->gateway;
  request->suspended = true;
  httpd_watch_caller_close (gateway->caller_listener, request->connection,
                            request);
  httpd_suspend (gateway->caller_listener, request->connection);
}

/* Callback of libmicrohttpd that reads bytes of a streamed response.  */
static ssize_t
read_response (void *user_data, uint64_t position, char *out, size_t size)
{
  struct request *request = user_data;
  ssize_t n = relay_read (request->caller_closed ? NULL : request->attempt,
                          position, out, size);
  if (n == 0)
    suspend (request);
  return n;
}

static void
copy_response_headers (const struct request *request,
                       struct MHD_Response *response)
{
  const struct headers *headers = &request->attempt->headers;
  for (size_t i = 0; i < headers->count; i++)
    if (!headers_is_hop_by_hop (headers, headers->items[i].name))
      MHD_add_response_header (response, headers->items[i].name.data,
                               headers->items[i].value.data);
}

/* Returns whether the head of the upstream's response can be forwarded.  */
static bool
response_head_fits (const struct request *request)
{
  return headers_end_to_end_bytes (&request->attempt->headers)
         <= httpd_response_space (request->gateway->caller_listener,
                                  request->connection);
}

/* Returns the response of a refused request: JSON that says whether it may
   have run, and why it was refused.  */
static struct MHD_Response *
create_refusal_response (const struct request *request)
{
  json_object *body = json_object_new_object ();
  json_object_object_add (
      body, "outcome",
      json_object_new_string (request->may_have_run ? "unknown" : "not-run"));
  json_object_object_add (body, "detail",
                          json_object_new_string (request->reason));
  const char *text = json_object_to_json_string_ext (
      body, JSON_C_TO_STRING_PLAIN | JSON_C_TO_STRING_NOSLASHESCAPE);
  struct MHD_Response *response = MHD_create_response_from_buffer (
      strlen (text), (void *)text, MHD_RESPMEM_MUST_COPY);
  json_object_put (body);
  MHD_add_response_header (response, "Content-Type", "application/json");
  if (request->status == HTTP_UNAUTHORIZED)
    MHD_add_response_header (response, PLATFORM_CHALLENGE, PLATFORM_SCHEME);
  if (request->status == HTTP_UNAVAILABLE
      || request->status == HTTP_TOO_MANY_REQUESTS)
    MHD_add_response_header (
        response, PLATFORM_RETRY_AFTER,
        str_format (request->pool, "%.3f",
                    (double)request->retry_after / APR_USEC_PER_SEC));
  /* Longer ones may not fit, and the refusal must.  */
  if (headers_is_visible_ascii (request->id))
    MHD_add_response_header (response, PLATFORM_REQUEST_ID, request->id.data);
  return response;
}

/* Gives the response, an upstream's or a refusal, to libmicrohttpd.  */
static enum MHD_Result
queue_response (struct request *request)
{
  if (!request->reason && !response_head_fits (request))
    {
      request->may_have_run = true;
      request_refuse (request, HTTP_BAD_GATEWAY,
                      "the head of the answer is too large to be forwarded");
    }
  bool is_refusal = request->reason != NULL;
  size_t held = is_refusal ? 0 : request->attempt->response.capacity;
  struct MHD_Response *response
      = is_refusal ? create_refusal_response (request)
                   : relay_response (request->attempt, request->is_head,
                                     read_response, request);
  /* Unless it is streamed, the response has the bytes now.  */
  if (!is_refusal)
    request->answer_bytes = held - request->attempt->response.capacity;
  if (!is_refusal)
    {
      request->status = (unsigned int)request->attempt->status;
      copy_response_headers (request, response);
    }
  if (request->gateway->leaving)
    MHD_add_response_header (response, "Connection", "close");
  enum MHD_Result result
      = MHD_queue_response (request->connection, request->status, response);
  MHD_destroy_response (response);
  request->answered = true;
  request->progressed_at = timer_clock ();
  return result;
}

/* Buffers SIZE bytes of the body and sets SIZE to how many did not fit.  */
static enum MHD_Result
receive_body (struct request *request, const char *data, size_t *size)
{
  int64_t max_bytes
      = request->plan ? plan_limits (request->plan)->body_bytes : 0;
  request->progressed_at = timer_clock ();
  request->received_bytes += (int64_t)*size;
  if (max_bytes > 0 && request->received_bytes > max_bytes
      && request_needs_body (request))
    {
      request->may_have_run |= request->attempt && request->attempt->sent;
      request_refuse (request, HTTP_TOO_LARGE, "the body is too large");
    }
  if (!request_needs_body (request))
    {
      /* What goes on for so long won't end in time for its answer.  */
      if (max_bytes > 0
          && request->received_bytes > 2 * max_bytes + BODY_BUFFER_BYTES)
        return MHD_NO;
      *size = 0;
      return MHD_YES;
    }
  if (!memory_allows (request, *size))
    {
      *size = 0;
      return MHD_YES;
    }
  size_t n = body_write (&request->body, data, *size);
  *size -= n;
  /* libmicrohttpd passes the rest again.  */
  request->received_bytes -= (int64_t)*size;
  memory_update (request);
  if (request->attempt)
    attempt_resume (request->attempt);
  if (*size == 0)
    return MHD_YES;
  /* The body is larger than the buffer: it is sent while it arrives.  */
  if (!request->admitted)
    dispatch_admit (request);
  if (request_needs_body (request))
    suspend (request);
  else
    /* Refused at once.  libmicrohttpd calls the handler again only when more
       arrives, so nothing may be left.  */
    *size = 0;
  return MHD_YES;
}

/* Handles the end of the body; called again each time that libmicrohttpd calls
   the handler after it.  */
static void
finish_body (struct request *request)
{
  if (request->body_complete)
    return;
  request->body_complete = true;
  if (request->attempt)
    attempt_resume (request->attempt);
  else if (!request->response_ready && !request->admitted)
    {
      request->body_size = (int64_t)request->body.size;
      dispatch_admit (request);
    }
}

static void
log_outcome (const struct request *request)
{
  struct gateway *gateway = request->gateway;
  apr_time_t now = timer_clock ();
  if (!gateway_allow_log_line (gateway))
    return;
  const struct load *load
      = request->upstream ? &request->upstream->load : NULL;
  LOG (LOG_INFO, "request", LOG_TEXT ("id", request->id.data),
       LOG_TEXT ("outcome", outcome_names[request->outcome]),
       LOG_INT ("status", request->status),
       LOG_TEXT ("reason", request->reason ? request->reason : "answered"),
       LOG_TEXT ("route", request->route ? request->route->name.data : ""),
       LOG_TEXT ("tenant", request->tenant ? request->tenant->name.data : ""),
       LOG_INT ("version", request->plan ? plan_version (request->plan) : 0),
       LOG_TEXT ("upstream",
                 request->upstream ? request->upstream->id.data : ""),
       LOG_TEXT ("region",
                 request->route ? gateway->regions[request->region].data : ""),
       LOG_INT ("object", request->object & 0xffff),
       LOG_INT ("first_choice", request->object_cached),
       LOG_TEXT ("held_for", request->held_for ? request->held_for : ""),
       LOG_INT ("sends", request->send_count),
       LOG_INT ("busy", load ? (int64_t)load_in_flight (load, now) : -1),
       LOG_INT ("pace", (int64_t)(request->upstream_slowdown * 100)),
       LOG_INT ("load_age_ms", load && load->reported_at
                                   ? (now - load->reported_at) / 1000
                                   : -1),
       LOG_INT ("list_age_ms",
                store_sync_age (gateway->store_sync, now) / 1000),
       LOG_INT ("waited_ms",
                request->first_sent_at
                    ? (request->first_sent_at - request->began_at) / 1000
                    : -1),
       LOG_INT ("work_ms", request->service_time / 1000),
       LOG_INT ("aim_ms", (request->target_at - request->began_at) / 1000),
       LOG_INT ("elapsed_ms", (now - request->began_at) / 1000));
}

static void
count_outcome (struct request *request)
{
  struct route_state *state = request->route_state;
  if (!state)
    return;
  counter_add (state->outcome_counts[request->outcome], 1);
  if (request->outcome == REQUEST_SERVED)
    histogram_observe (state->latency, timer_clock () - request->began_at);
}

/* Records that REQUEST ended with CODE before its caller had a whole response,
   or before its head was read.  */
static void
handle_unfinished (struct request *request, struct MHD_Connection *connection,
                   enum MHD_RequestTerminationCode code)
{
  struct gateway *gateway = request->gateway;
  bool by_caller = httpd_ended_by_caller (gateway->caller_listener);
  /* An answer that its caller left without may have been held up here.  */
  bool is_ready = request->response_ready && !request->answered;
  const char *stage = !request->head_received  ? "head"
                      : request->answered      ? "response"
                      : is_ready               ? "ready"
                      : request->body_complete ? "waiting"
                                               : "body";
  counter_add (gateway->unfinished[by_caller], 1);
  if (request->outcome == REQUEST_SERVED)
    request->outcome = by_caller ? REQUEST_ABANDONED : REQUEST_FAILED;
  if ((by_caller && !is_ready) || !gateway_allow_log_line (gateway))
    return;
  const union MHD_ConnectionInfo *head_bytes = MHD_get_connection_info (
      connection, MHD_CONNECTION_INFO_REQUEST_HEADER_SIZE);
  LOG (LOG_WARN, "request-unfinished",
       LOG_TEXT ("id", request->id.data ? request->id.data : ""),
       LOG_TEXT ("stage", stage),
       LOG_TEXT ("reason", httpd_end_reason (gateway->caller_listener, code)),
       LOG_TEXT ("cause", httpd_end_cause (gateway->caller_listener)),
       LOG_INT ("elapsed_ms", (timer_clock () - request->began_at) / 1000),
       LOG_INT ("head_bytes",
                head_bytes ? (int64_t)head_bytes->header_size : 0),
       LOG_INT ("fields", (int64_t)request->headers.count),
       LOG_INT ("answer_fields", request->attempt
                                     ? (int64_t)request->attempt->headers.count
                                     : 0),
       LOG_INT ("may_have_run",
                request->may_have_run
                    || (request->attempt && request->attempt->sent)));
}

/* Ends all work for REQUEST, logs and counts its outcome, and frees it.  */
static void
destroy (struct request *request)
{
  struct gateway *gateway = request->gateway;
  struct timer_service *timers = loop_timers (gateway->loop);
  if (request->head_received)
    {
      if (request->outcome == 0)
        request->outcome = REQUEST_ABANDONED;
      count_outcome (request);
      log_outcome (request);
    }
  wait_queue_remove (request);
  attempts_cancel (request);
  tenant_quota_end (request);
  if (request->upstream)
    fleet_upstream_unref (request->upstream);
  timer_stop (timers, &request->deadline_timer);
  timer_stop (timers, &request->queue_timer);
  timer_stop (timers, &request->late_retry_timer);
  if (request->resume_link)
    {
      *request->resume_link = request->resume_next;
      if (request->resume_next)
        request->resume_next->resume_link = request->resume_link;
    }
  memory_drop_body (request);
  request->answer_bytes = 0;
  memory_update (request);
  plan_unref (request->plan);
  *request->link = request->next;
  if (request->next)
    request->next->link = request->link;
  gateway->open_requests--;
  apr_pool_destroy (request->pool);
}

/* public functions */

void *
request_begin (void *user_data, const char *target,
               struct MHD_Connection *connection)
{
  struct gateway *gateway = user_data;
  apr_pool_t *pool;
  apr_pool_create (&pool, gateway->pool);
  struct request *request = apr_pcalloc (pool, sizeof *request);
  request->gateway = gateway;
  request->pool = pool;
  request->connection = connection;
  request->target = str_dup (pool, str_from (target));
  request->began_at = timer_clock ();
  request->progressed_at = request->began_at;
  headers_init (&request->headers, pool);
  body_init (&request->body, BODY_BUFFER_BYTES);
  request->next = gateway->requests;
  request->link = &gateway->requests;
  if (request->next)
    request->next->link = &request->next;
  gateway->requests = request;
  gateway->open_requests++;
  return request;
}

enum MHD_Result
request_handle (void *user_data, struct MHD_Connection *connection,
                const char *url, const char *method, const char *version,
                const char *data, size_t *size, void **context)
{
  (void)user_data;
  (void)url;
  (void)version;
  struct request *request = *context;
  if (!request->head_received)
    {
      receive_head (request, connection, method);
      return MHD_YES;
    }
  /* Data that arrived before a shutdown can still be read.  */
  if (request->caller_closed || request->was_closed)
    return MHD_NO;
  if (*size > 0)
    return receive_body (request, data, size);
  finish_body (request);
  if (request->response_ready)
    return queue_response (request);
  suspend (request);
  return MHD_YES;
}

void
request_completed (void *user_data, struct MHD_Connection *connection,
                   void **context, enum MHD_RequestTerminationCode code)
{
  struct gateway *gateway = user_data;
  httpd_watch_caller_close (gateway->caller_listener, connection, NULL);
  if (*context && code != MHD_REQUEST_TERMINATED_COMPLETED_OK)
    handle_unfinished (*context, connection, code);
  if (*context)
    destroy (*context);
  *context = NULL;
}

void
request_caller_closed (void *user_data)
{
  struct request *request = user_data;
  request->caller_closed = true;
  request->outcome = REQUEST_ABANDONED;
  wait_queue_remove (request);
  tenant_quota_cancel (request);
  attempts_cancel (request);
  request_schedule_resume (request);
}

bool
request_needs_body (const struct request *request)
{
  if (request->body_complete || request->discard_body)
    return false;
  return !request->response_ready
         || (request->attempt && !request->attempt->done);
}

void
request_schedule_resume (struct request *request)
{
  struct gateway *gateway = request->gateway;
  if (!request->suspended || request->resume_link)
    return;
  request->resume_next = gateway->resume_list;
  request->resume_link = &gateway->resume_list;
  if (request->resume_next)
    request->resume_next->resume_link = &request->resume_next;
  gateway->resume_list = request;
}

void
request_resume_scheduled (struct gateway *gateway)
{
  while (gateway->resume_list)
    {
      struct request *request = gateway->resume_list;
      gateway->resume_list = request->resume_next;
      if (gateway->resume_list)
        gateway->resume_list->resume_link = &gateway->resume_list;
      request->resume_link = NULL;
      request->suspended = false;
      request->progressed_at = timer_clock ();
      MHD_resume_connection (request->connection);
      if (!gateway->resume_list)
        httpd_run (gateway->caller_listener);
    }
}

void
request_log_cut (const struct request *request, apr_time_t now)
{
  apr_time_t signal_at = request->gateway->stop_limits.began_at;
  const struct attempt *attempt = request->attempt;
  LOG (LOG_WARN, "request-cut",
       LOG_TEXT ("id", request->id.data ? request->id.data : ""),
       LOG_TEXT ("route", request->route ? request->route->name.data : ""),
       LOG_TEXT ("upstream",
                 request->upstream ? request->upstream->id.data : ""),
       LOG_INT ("kept_connection",
                request->connection
                    && !httpd_is_first_request (request->connection)),
       LOG_INT ("body_complete", request->body_complete),
       LOG_INT ("sent", attempt && attempt->sent),
       LOG_INT ("sends", request->send_count),
       LOG_INT ("answer_began", attempt && attempt->has_head),
       LOG_INT ("arrived_ms", (request->began_at - signal_at) / 1000),
       LOG_INT ("sent_ms",
                attempt ? (attempt->started_at - signal_at) / 1000 : 0),
       LOG_INT ("deadline_ms", request->deadline > 0
                                   ? (request->deadline - signal_at) / 1000
                                   : 0),
       LOG_INT ("cut_ms", (now - signal_at) / 1000));
}

void
request_refuse (struct request *request, unsigned int status,
                const char *reason)
{
  request->status = status;
  request->reason = reason;
  request->outcome = request->may_have_run ? REQUEST_FAILED : REQUEST_REFUSED;
  request->response_ready = true;
  request->discard_body = true;
  wait_queue_remove (request);
  tenant_quota_cancel (request);
  /* Its queue must not send what was refused.  */
  timer_stop (loop_timers (request->gateway->loop), &request->queue_timer);
  attempts_cancel (request);
  memory_drop_body (request);
  request_schedule_resume (request);
}
