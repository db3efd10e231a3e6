#include "call/call.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* constants */

enum
{
  TARGET_MAX_BYTES = 8192,
  HEDGE_DEFAULT_PERCENT = 5,
  HTTP_BAD_REQUEST = 400,
  HTTP_NOT_FOUND = 404,
  HTTP_TOO_LARGE = 413,
  HTTP_UNAVAILABLE = 503
};

#define HEDGES_SAVED 20.0

/* private functions */

static enum MHD_Result
on_header (void *part, enum MHD_ValueKind kind, const char *name,
           const char *value)
{
  (void)kind;
  struct headers *headers = part;
  headers_add (headers, str_from (name), str_from (value));
  return MHD_YES;
}

static int64_t
deadline_ms (const struct call *call)
{
  int64_t ms = call->service->deadline_ms;
  if (call->route && call->route->deadline_ms > 0)
    ms = call->route->deadline_ms;
  struct str asked = headers_get (&call->headers, "Request-Timeout-Ms");
  if (asked.size == 0)
    return ms;
  char *end;
  long long wanted = strtoll (asked.data, &end, 10);
  return *end == 0 && wanted > 0 && wanted < ms ? wanted : ms;
}

static void
take_id (struct call *call)
{
  struct call_context *context = call->context;
  struct str given = headers_get (&call->headers, "Request-Id");
  if (headers_is_token (given))
    call->id = str_dup (call->pool, given);
  else
    call->id = str_printf (call->pool, "%016llx-%llx",
                           (unsigned long long)context->id_base,
                           (unsigned long long)++context->last_id);
}

static void
take_body_size (struct call *call)
{
  struct str length = headers_get (&call->headers, "Content-Length");
  struct str coding = headers_get (&call->headers, "Transfer-Encoding");
  if (coding.size > 0)
    call->body_size = -1;
  else if (length.size > 0)
    call->body_size = strtoll (length.data, NULL, 10);
}

static bool
is_good_target (struct str target)
{
  if (target.size == 0 || target.size > TARGET_MAX_BYTES
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

static bool
is_good_method (struct str method)
{
  for (size_t i = 0; i < method.size; i++)
    if (method.data[i] < 'A' || method.data[i] > 'Z')
      return false;
  return method.size > 0 && method.size <= 32
         && !str_equal (method, STR ("CONNECT"));
}

static struct call_counters *
counters_of (struct call_context *context, struct str service)
{
  static const char *const classes[] = { "short", "long" };
  char labels[160];
  struct call_counters *found = apr_hash_get (
      context->service_counters, service.data, (apr_ssize_t)service.size);
  if (found)
    return found;
  found = apr_pcalloc (context->pool, sizeof *found);
  budget_init (&found->hedge_budget, 0, HEDGES_SAVED);
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
  for (int class = 0; class < CLASS_COUNT; class ++)
    {
      snprintf (labels, sizeof labels, "service=\"%.*s\",class=\"%s\"",
                STR_ARGS (service), classes[class]);
      found->dispatches[class]
          = counter_get (context->counters, "citroncleat_dispatches_total",
                         labels, "Attempts at upstreams.");
      found->hedges[class]
          = counter_get (context->counters, "citroncleat_hedges_total", labels,
                         "Second attempts beside one that was late.");
      found->seconds[class]
          = histogram_get (context->counters, "citroncleat_call_seconds",
                           labels, "Time from a call's head to its end.");
    }
  struct str key = str_dup (context->pool, service);
  apr_hash_set (context->service_counters, key.data, (apr_ssize_t)key.size,
                found);
  return found;
}

/* Each call earns a part of a hedge, as the policy says.  */
static void
earn_hedge (struct call *call)
{
  const struct policy *policy = call->service->policy;
  struct budget *hedges = &call->counters->hedge_budget;
  hedges->earned_per_call
      = 0.01
        * (double)(policy ? policy->hedge_percent : HEDGE_DEFAULT_PERCENT);
  budget_deposit (hedges);
}

static void
take_service (struct call *call)
{
  struct call_context *context = call->context;
  call->snapshot = snapshot_ref (context->snapshot);
  call->service = snapshot_service_for_host (
      call->snapshot, headers_get (&call->headers, "Host"));
  if (!call->service)
    {
      call_refuse (call, HTTP_NOT_FOUND, ERR_NOT_FOUND, "find service",
                   "no service has this host name");
      return;
    }
  call->route = service_route (call->service, call->method, call->path);
  call->call_class
      = call->route ? (enum call_class)call->route->call_class : CLASS_SHORT;
  call->repeatable = route_repeatable (call->route, call->method);
  call->counters = counters_of (context, call->service->head.name);
  earn_hedge (call);
  call->deadline = call->began_at + TIMER_MS (deadline_ms (call));
  timer_start (loop_timers (context->loop), &call->timer, call->deadline,
               call_on_deadline, call);
  if (call->body_size > call->service->max_body_bytes)
    call_refuse (call, HTTP_TOO_LARGE, ERR_LIMIT, "read body",
                 "the body is larger than the service allows");
}

static void
count_end (struct call *call, apr_time_t now)
{
  struct call_context *context = call->context;
  struct call_counters *counters = counters_of (
      context, call->service ? call->service->head.name : STR ("none"));
  counter_add (counters->ended[call->outcome], 1);
  if (!call->service)
    return;
  counter_add (counters->dispatches[call->call_class], call->attempts);
  histogram_add (counters->seconds[call->call_class], now - call->began_at);
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
  context->open++;
  return call;
}

void
call_open (struct call *call, struct MHD_Connection *connection,
           const char *method, const char *path)
{
  struct call_context *context = call->context;
  call->opened = true;
  call->connection = connection;
  call->method = str_dup (call->pool, str_from (method));
  call->path = str_dup (call->pool, str_from (path));
  call->is_head = str_equal (call->method, STR ("HEAD"));
  headers_init (&call->headers, call->pool);
  MHD_get_connection_values (connection, MHD_HEADER_KIND, on_header,
                             &call->headers);
  take_id (call);
  take_body_size (call);
  budget_deposit (&context->retries);
  if (!is_good_target (call->target) || !is_good_method (call->method)
      || !has_one_host (&call->headers))
    call_refuse (call, HTTP_BAD_REQUEST, ERR_INVALID, "read head",
                 "the method, target or Host is malformed");
  else
    take_service (call);
}

void
call_destroy (struct call *call)
{
  struct call_context *context = call->context;
  apr_time_t now = timer_clock ();
  timer_stop (loop_timers (context->loop), &call->timer);
  timer_stop (loop_timers (context->loop), &call->hedge_timer);
  queue_remove (context->queue, &call->queue_item);
  if (call->attempt && !call->attempt->done)
    call->outcome = call_is_sent (call) ? OUTCOME_UNKNOWN : OUTCOME_NOT_RUN;
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
    count_end (call, now);
  call_drop_attempts (call);
  body_free (&call->body);
  snapshot_unref (call->snapshot);
  context->open--;
  apr_pool_destroy (call->pool);
}

size_t
call_take_body (struct call *call, const char *data, size_t size)
{
  call->body_seen += (int64_t)size;
  if (call->discard)
    return size;
  size_t taken = body_write (&call->body, data, size);
  call->body_seen -= (int64_t)(size - taken);
  if (call->body_seen > call->service->max_body_bytes)
    {
      if (call_is_sent (call))
        call->maybe_run = true;
      call_refuse (call, HTTP_TOO_LARGE, ERR_LIMIT, "read body",
                   "the body is larger than the service allows");
      return size;
    }
  if (!call->admitted)
    call_admit (call);
  else if (call->attempt)
    attempt_continue (call->attempt);
  return taken;
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
    attempt_continue (call->attempt);
}

void
call_wake (struct call *call)
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
call_rebind (struct call *call)
{
  struct call_context *context = call->context;
  if (!call->queue_item.line)
    return;
  const struct service *service = snapshot_find (
      context->snapshot, KIND_SERVICE, call->service->head.name);
  if (!service)
    {
      queue_remove (context->queue, &call->queue_item);
      call_refuse (call, HTTP_UNAVAILABLE, ERR_LIMIT, "admit",
                   "the service was removed");
      return;
    }
  struct snapshot *old = call->snapshot;
  call->snapshot = snapshot_ref (context->snapshot);
  call->service = service;
  call->route = service_route (service, call->method, call->path);
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
