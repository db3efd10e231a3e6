#include "call/call.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* constants */

enum
{
  MAX_TARGET_BYTES = 8192,
  DEFAULT_HEDGE_PERCENT = 5, /* without a policy */
  HTTP_BAD_REQUEST = 400,
  HTTP_NOT_FOUND = 404,
  HTTP_TOO_LARGE = 413,
  HTTP_HEAD_TOO_LARGE = 431,
  HTTP_UNAVAILABLE = 503
};

/* Hedges of one service that may be started in a burst.  */
#define MAX_SAVED_HEDGES 20.0

/* private functions */

static enum MHD_Result
collect_header (void *user_data, enum MHD_ValueKind kind, const char *name,
                const char *value)
{
  (void)kind;
  struct headers *headers = user_data;
  /* libmicrohttpd keeps them until the request has completed.  */
  headers_add_view (headers, str_from (name), str_from (value));
  return MHD_YES;
}

/* Returns how long the call may take: what its route or service allows, or
   less if the caller states less.  A malformed statement is ignored.  */
static int64_t
deadline_ms (const struct call *call)
{
  int64_t ms = call->service->deadline_ms;
  if (call->route && call->route->deadline_ms > 0)
    ms = call->route->deadline_ms;
  struct str stated = headers_get (&call->headers, "Request-Timeout-Ms");
  if (stated.size == 0)
    return ms;
  char *end;
  long long stated_ms = strtoll (stated.data, &end, 10);
  return *end == 0 && stated_ms > 0 && stated_ms < ms ? stated_ms : ms;
}

/* Uses the caller's Request-Id if it is well-formed, otherwise generates
   one.  */
static void
set_id (struct call *call)
{
  struct call_context *context = call->context;
  struct str given = headers_get (&call->headers, "Request-Id");
  if (headers_is_visible_ascii (given))
    call->id = str_dup (call->pool, given);
  else
    call->id = str_printf (call->pool, "%016llx-%llx",
                           (unsigned long long)context->id_base,
                           (unsigned long long)++context->last_id);
}

/* Sets the size from Content-Length; Transfer-Encoding takes precedence and
   leaves it unknown.  */
static void
set_body_size (struct call *call)
{
  struct str length = headers_get (&call->headers, "Content-Length");
  struct str coding = headers_get (&call->headers, "Transfer-Encoding");
  if (coding.size > 0)
    call->body_size = -1;
  else if (length.size > 0)
    call->body_size = strtoll (length.data, NULL, 10);
}

/* A target starts with '/' and has only visible ASCII characters.  */
static bool
is_valid_target (struct str target)
{
  if (target.size == 0 || target.size > MAX_TARGET_BYTES
      || target.data[0] != '/')
    return false;
  for (size_t i = 0; i < target.size; i++)
    if (target.data[i] <= ' ' || target.data[i] == 127)
      return false;
  return true;
}

/* A request with more than one Host, or none, is refused (RFC 9112).  */
static bool
has_one_host (const struct headers *headers)
{
  int hosts = 0;
  for (size_t i = 0; i < headers->count; i++)
    hosts += str_equal_nocase (headers->items[i].name, STR ("Host"));
  return hosts == 1;
}

/* A method has 1 to 32 capital letters.  CONNECT, which asks for a tunnel, is
   refused.  */
static bool
is_valid_method (struct str method)
{
  for (size_t i = 0; i < method.size; i++)
    if (method.data[i] < 'A' || method.data[i] > 'Z')
      return false;
  return method.size > 0 && method.size <= 32
         && !str_equal (method, STR ("CONNECT"));
}

/* Returns the counters of SERVICE, created on first use.  */
static struct call_counters *
get_service_counters (struct call_context *context, struct str service)
{
  static const char *const classes[] = { "short", "long" };
  char labels[160];
  struct call_counters *found = apr_hash_get (
      context->service_counters, service.data, (apr_ssize_t)service.size);
  if (found)
    return found;
  found = apr_pcalloc (context->pool, sizeof *found);
  budget_init (&found->hedge_budget, 0, MAX_SAVED_HEDGES, MAX_SAVED_HEDGES, 0);
  for (int outcome = 0; outcome <= OUTCOME_UNKNOWN; outcome++)
    {
      snprintf (labels, sizeof labels, "service=\"%.*s\",outcome=\"%s\"",
                STR_ARGS (service),
                call_outcome_name (outcome ? (enum call_outcome)outcome
                                           : OUTCOME_UNKNOWN));
      found->ended[outcome]
          = counter_get (context->counters, "citroncleat_calls_total", labels,
                         "Calls ended, by outcome.");
    }
  for (int call_class = 0; call_class < CLASS_COUNT; call_class++)
    {
      snprintf (labels, sizeof labels, "service=\"%.*s\",class=\"%s\"",
                STR_ARGS (service), classes[call_class]);
      found->dispatches[call_class]
          = counter_get (context->counters, "citroncleat_dispatches_total",
                         labels, "Attempts at upstreams.");
      found->hedges[call_class]
          = counter_get (context->counters, "citroncleat_hedges_total", labels,
                         "Second attempts beside one that was late.");
      found->seconds[call_class]
          = histogram_get (context->counters, "citroncleat_call_seconds",
                           labels, "Time from a call's head to its end.");
    }
  struct str key = str_dup (context->pool, service);
  apr_hash_set (context->service_counters, key.data, (apr_ssize_t)key.size,
                found);
  return found;
}

/* Each call earns a fraction of a hedge: the policy's percentage.  */
static void
credit_hedge_budget (struct call *call)
{
  const struct policy *policy = call->service->policy;
  struct budget *hedges = &call->counters->hedge_budget;
  hedges->earned_per_call
      = 0.01
        * (double)(policy ? policy->hedge_percent : DEFAULT_HEDGE_PERCENT);
  budget_deposit (hedges);
}

/* Finds the service by host name and the route by path, and sets what
   follows from them; fails the call if it can't be served.  */
static void
resolve_service (struct call *call)
{
  struct call_context *context = call->context;
  call->snapshot = snapshot_ref (context->snapshot);
  call->service = snapshot_service_for_host (
      call->snapshot, headers_get (&call->headers, "Host"));
  if (!call->service)
    {
      call_fail (call, HTTP_NOT_FOUND, ERR_NOT_FOUND, "find service",
                 "no service has this host name");
      return;
    }
  call->route = service_find_route (call->service, call->method, call->path);
  call->call_class
      = call->route ? (enum call_class)call->route->call_class : CLASS_SHORT;
  call->repeatable = route_allows_repeat (call->route, call->method);
  call->counters = get_service_counters (context, call->service->head.name);
  credit_hedge_budget (call);
  call->deadline = call->began_at + TIMER_MS (deadline_ms (call));
  timer_start (loop_timers (context->loop), &call->timer, call->deadline,
               call_on_deadline, call);
  if (call->body_size > call->service->max_body_bytes)
    call_fail (call, HTTP_TOO_LARGE, ERR_LIMIT, "read body",
               "the body is larger than the service allows");
  else if (!stop_limits_take (&context->stop_limits, call->began_at,
                              call->deadline))
    call_fail (call, HTTP_UNAVAILABLE, ERR_LIMIT, "admit",
               "the entry stops before the deadline");
}

/* Updates the metrics and the error budget with a call that ends.  */
static void
count_call (struct call *call, apr_time_t now)
{
  struct call_context *context = call->context;
  struct call_counters *counters = get_service_counters (
      context, call->service ? call->service->head.name : STR ("none"));
  counter_add (counters->ended[call->outcome], 1);
  if (!call->service)
    return;
  counter_add (counters->dispatches[call->call_class], call->attempts);
  histogram_observe (counters->seconds[call->call_class],
                     now - call->began_at);
  burn_record (context->burn, call->service->head.name,
               call->region.size > 0 ? call->region
                                     : context->settings->region,
               call_burn_cause (call, now), now);
}

/* public functions */

struct call *
call_create (struct call_context *context, const char *target)
{
  apr_pool_t *pool;
  apr_pool_create (&pool, NULL);
  struct call *call = apr_pcalloc (pool, sizeof *call);
  call->context = context;
  call->pool = pool;
  call->target = str_dup (pool, str_from (target));
  call->began_at = timer_clock ();
  body_init (&call->body, (size_t)context->settings->limits.call_buffer_bytes);
  call->next = context->calls;
  call->link = &context->calls;
  if (call->next)
    call->next->link = &call->next;
  context->calls = call;
  context->open_requests++;
  return call;
}

void
call_open (struct call *call, struct MHD_Connection *connection,
           const char *method)
{
  struct call_context *context = call->context;
  call->opened = true;
  call->connection = connection;
  call->method = str_dup (call->pool, str_from (method));
  call->path = httpd_target_path (call->target);
  call->is_head = str_equal (call->method, STR ("HEAD"));
  headers_init (&call->headers, call->pool);
  MHD_get_connection_values (connection, MHD_HEADER_KIND, collect_header,
                             &call->headers);
  set_id (call);
  set_body_size (call);
  budget_deposit (&context->retries);
  if (!is_valid_target (call->target) || !is_valid_method (call->method)
      || !has_one_host (&call->headers))
    call_fail (call, HTTP_BAD_REQUEST, ERR_INVALID, "read head",
               "the method, target or Host is malformed");
  else if (!httpd_has_response_space (context->httpd, connection))
    call_fail (call, HTTP_HEAD_TOO_LARGE, ERR_LIMIT, "read head",
               "the head leaves no space for that of the answer");
  else
    resolve_service (call);
}

void
call_destroy (struct call *call)
{
  struct call_context *context = call->context;
  apr_time_t now = timer_clock ();
  timer_stop (loop_timers (context->loop), &call->timer);
  timer_stop (loop_timers (context->loop), &call->hedge_timer);
  queue_remove (context->queue, &call->queue_item);
  /* The caller left before its response was complete.  */
  if ((call->attempt && !call->attempt->done) || call->outcome == 0)
    call->outcome = call->may_have_run || call_is_sent (call)
                        ? OUTCOME_UNKNOWN
                        : OUTCOME_NOT_RUN;
  if (call->ready_link)
    {
      *call->ready_link = call->next_ready;
      if (call->next_ready)
        call->next_ready->ready_link = call->ready_link;
    }
  *call->link = call->next;
  if (call->next)
    call->next->link = call->link;
  if (call->opened)
    count_call (call, now);
  call_discard_attempts (call);
  body_free (&call->body);
  snapshot_unref (call->snapshot);
  context->open_requests--;
  apr_pool_destroy (call->pool);
}

size_t
call_receive_body (struct call *call, const char *data, size_t size)
{
  call->body_received += (int64_t)size;
  if (call->discard_body)
    return size;
  size_t taken = body_write (&call->body, data, size);
  call->body_received -= (int64_t)(size - taken);
  if (call->body_received > call->service->max_body_bytes)
    {
      if (call_is_sent (call))
        call->may_have_run = true;
      call_fail (call, HTTP_TOO_LARGE, ERR_LIMIT, "read body",
                 "the body is larger than the service allows");
      return size;
    }
  if (!call->admitted)
    call_admit (call);
  else if (call->attempt)
    attempt_resume (call->attempt);
  /* If it was refused at once, the connection isn't resumed for the rest.  */
  return call->discard_body ? size : taken;
}

void
call_end_body (struct call *call)
{
  if (call->body_ended)
    return;
  call->body_ended = true;
  if (call->err.code != ERR_NONE)
    return;
  if (!call->admitted)
    call_admit (call);
  else if (call->attempt)
    attempt_resume (call->attempt);
}

void
call_schedule_resume (struct call *call)
{
  struct call_context *context = call->context;
  if (call->ready_link || !call->suspended)
    return;
  call->next_ready = context->ready;
  call->ready_link = &context->ready;
  if (call->next_ready)
    call->next_ready->ready_link = &call->next_ready;
  context->ready = call;
}

void
call_update_snapshot (struct call *call)
{
  struct call_context *context = call->context;
  if (!call->queue_item.class_queue)
    return;
  const struct service *service = snapshot_find (
      context->snapshot, KIND_SERVICE, call->service->head.name);
  if (!service)
    {
      queue_remove (context->queue, &call->queue_item);
      call_fail (call, HTTP_UNAVAILABLE, ERR_LIMIT, "admit",
                 "the service was removed");
      return;
    }
  struct snapshot *old = call->snapshot;
  call->snapshot = snapshot_ref (context->snapshot);
  call->service = service;
  call->route = service_find_route (service, call->method, call->path);
  snapshot_unref (old);
}

enum burn_cause
call_burn_cause (const struct call *call, apr_time_t now)
{
  if (call->err.code == ERR_TIMEOUT)
    return BURN_DEADLINE;
  if (call->outcome == OUTCOME_NOT_RUN)
    return BURN_REFUSED;
  if (call->outcome != OUTCOME_COMPLETE)
    return BURN_UNKNOWN;
  if (call->status >= 500)
    return BURN_FAILED;
  if (call->call_class == CLASS_SHORT
      && now - call->began_at > TIMER_MS (call->service->objective.latency_ms))
    return BURN_SLOW;
  return BURN_GOOD;
}
