#include "call/call.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* constants */

enum
{
  CONNECT_TIMEOUT_MS = 1000,
  TARGET_MAX_BYTES = 8192,
  HTTP_BAD_REQUEST = 400,
  HTTP_NOT_FOUND = 404,
  HTTP_TOO_LARGE = 413,
  HTTP_BAD_GATEWAY = 502,
  HTTP_UNAVAILABLE = 503,
  HTTP_TIMEOUT = 504
};

/* private functions */

static void admit (struct call *call);

static const char *
upstream_name (const struct call *call)
{
  return call->attempt ? call->attempt->upstream.data : "";
}

static void
refuse (struct call *call, unsigned int status, enum err_code code,
        const char *step, const char *detail)
{
  err_set (&call->err, code, step, upstream_name (call), "%s", detail);
  call_fail (call, status,
             call->maybe_run ? OUTCOME_UNKNOWN : OUTCOME_NOT_RUN);
}

/* Ends the attempt's hold on its upstream.  */
static void
release (struct call *call, enum steer_result result)
{
  struct attempt *attempt = call->attempt;
  if (!attempt || !attempt->ticket.upstream)
    return;
  apr_time_t now = timer_clock ();
  apr_time_t until = attempt->has_head ? attempt->head_at : now;
  steer_end (call->context->steer, &attempt->ticket, result,
             until - attempt->started_at, now);
  call->context->in_flight--;
  call->context->slot_freed = true;
}

static void
drop_attempt (struct call *call)
{
  attempt_destroy (call->attempt);
  call->attempt = NULL;
}

static bool
may_retry (struct call *call, bool not_run)
{
  struct call_context *context = call->context;
  if (call->answered || call->attempts >= CALL_ATTEMPTS_MAX
      || call->tried_count >= STEER_EXCLUDED_MAX)
    return false;
  if (!not_run && !call->repeatable)
    return false;
  return body_rewind (&call->body) && budget_take (&context->retries);
}

static void
retry (struct call *call)
{
  call->tried[call->tried_count++]
      = str_dup (call->pool, call->attempt->upstream);
  drop_attempt (call);
  call->refused = false;
  admit (call);
}

/* The attempt ended without an answer that can be passed on.  */
static void
settle_failure (struct call *call, bool not_run)
{
  struct attempt *attempt = call->attempt;
  release (call, call->refused ? RESULT_REFUSED : RESULT_FAILED);
  if (!not_run)
    call->maybe_run = true;
  if (call->answered)
    {
      /* The head is with the caller already; the reader ends the answer
         with an error, so that it cannot be taken as whole.  */
      call->outcome = OUTCOME_UNKNOWN;
      call_wake (call);
      return;
    }
  if (may_retry (call, not_run))
    {
      retry (call);
      return;
    }
  const char *reason = call->refused ? "the upstream refused the call"
                                     : attempt_reason (attempt);
  refuse (call, call->refused ? HTTP_UNAVAILABLE : HTTP_BAD_GATEWAY,
          not_run ? ERR_UNAVAILABLE : ERR_UNKNOWN,
          attempt->sent ? "await answer" : "connect", reason);
}

static void
settle (struct call *call)
{
  struct attempt *attempt = call->attempt;
  if (attempt->result == CURLE_OK && !call->refused)
    {
      release (call, RESULT_ANSWERED);
      call->outcome = OUTCOME_COMPLETE;
      call->answer_ready = true;
      call_wake (call);
      return;
    }
  settle_failure (call, call->refused || !attempt->sent);
}

static void
on_attempt (void *part, struct attempt *attempt, enum attempt_event event)
{
  struct call *call = part;
  switch (event)
    {
    case ATTEMPT_HEAD:
      call->refused = call->service->not_started_status != 0
                      && attempt->status == call->service->not_started_status;
      break;
    case ATTEMPT_DATA:
      if (call->refused)
        {
          attempt->answer.size = attempt->answer.read = 0;
          break;
        }
      if (attempt_is_held (attempt))
        break;
      call->outcome = OUTCOME_COMPLETE;
      call->answer_ready = true;
      call_wake (call);
      break;
    case ATTEMPT_SPACE:
      if (body_space (&call->body) >= call->body.limit / 2)
        call_wake (call);
      break;
    case ATTEMPT_DONE:
      settle (call);
      break;
    }
}

static void
dispatch (struct call *call, const struct upstream *upstream)
{
  struct call_context *context = call->context;
  struct attempt_desc desc = {
    .curl_loop = context->curl_loop,
    .pool = call->pool,
    .address = upstream->address,
    .method = call->method,
    .target = call->target,
    .request_id
    = str_printf (call->pool, "%s.%d", call->id.data, ++call->attempts),
    .region = context->settings->region,
    .headers = &call->headers,
    .is_head = call->is_head,
    .body_size = call->body_size,
    .deadline = call->deadline,
    .connect_timeout_ms = CONNECT_TIMEOUT_MS,
    .link_out = steer_link (context->steer, context->settings->region,
                            upstream->zone->region->head.name),
    .link_in = steer_link (context->steer, upstream->zone->region->head.name,
                           context->settings->region),
    .new_connection = call->service->answer_check == ANSWER_NEW_CONNECTION,
    .must_echo = call->service->answer_check == ANSWER_ECHO,
    .body = &call->body,
    .body_ended = &call->body_ended,
    .answer_limit = (size_t)context->settings->limits.call_buffer_bytes,
    .event = on_attempt,
    .part = call,
  };
  call->region = str_dup (call->pool, upstream->zone->region->head.name);
  call->attempt = attempt_start (&desc);
  call->attempt->upstream = str_dup (call->pool, upstream->head.name);
  call->attempt->ticket
      = steer_begin (context->steer, upstream, call->call_class);
  context->in_flight++;
}

static void
refuse_now (struct call *call, const char *detail, apr_time_t wait_us)
{
  call->retry_after_ms = wait_us / 1000;
  refuse (call, HTTP_UNAVAILABLE, ERR_LIMIT, "admit", detail);
}

/* Puts the call in line, unless it would surely miss its deadline.  */
static void
enqueue (struct call *call)
{
  struct call_context *context = call->context;
  apr_time_t now = timer_clock ();
  size_t ahead = queue_line_length (context->queue, call->service->head.name,
                                    call->call_class);
  apr_time_t wait
      = steer_expected_wait (context->steer, call->service, ahead, now);
  if (queue_length (context->queue)
      >= (size_t)context->settings->limits.queued_calls)
    refuse_now (call, "too many calls are waiting", wait);
  else if (now + wait > call->deadline)
    refuse_now (call, "the call cannot be served before its deadline", wait);
  else
    queue_add (context->queue, call->service->head.name, call->call_class,
               &call->queue_item, call);
}

static struct steer_choice
choose (struct call *call)
{
  struct steer_request request
      = { .service = call->service,
          .call_class = call->call_class,
          .now = timer_clock (),
          .waiting = queue_service_length (call->context->queue,
                                           call->service->head.name),
          .excluded_count = call->tried_count };
  memcpy (request.excluded, call->tried, sizeof call->tried);
  struct steer_choice choice = steer_choose (call->context->steer, &request);
  if (choice.verdict != STEER_NOWHERE || call->tried_count == 0)
    return choice;
  /* All were tried; one of them is better than none.  */
  call->tried_count = request.excluded_count = 0;
  return steer_choose (call->context->steer, &request);
}

static void
admit (struct call *call)
{
  struct call_context *context = call->context;
  call->admitted = true;
  if (queue_line_length (context->queue, call->service->head.name,
                         call->call_class)
      > 0)
    {
      enqueue (call);
      return;
    }
  struct steer_choice choice = choose (call);
  if (choice.verdict == STEER_CHOSEN)
    dispatch (call, choice.upstream);
  else if (choice.verdict == STEER_NOWHERE)
    refuse_now (call, "no upstream takes calls of this service", 0);
  else
    enqueue (call);
}

static void
on_deadline (void *part, apr_time_t now)
{
  (void)now;
  struct call *call = part;
  queue_remove (call->context->queue, &call->queue_item);
  if (call->answer_ready && (!call->attempt || call->attempt->done))
    return;
  bool sent = call->attempt && call->attempt->sent;
  if (sent)
    call->maybe_run = true;
  release (call, RESULT_CANCELLED);
  if (call->answered)
    {
      call->outcome = OUTCOME_UNKNOWN;
      drop_attempt (call);
      call_wake (call);
      return;
    }
  refuse (call, HTTP_TIMEOUT, ERR_TIMEOUT, sent ? "await answer" : "wait",
          "the deadline passed");
}

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

static void
take_service (struct call *call)
{
  struct call_context *context = call->context;
  call->snapshot = snapshot_ref (context->snapshot);
  call->service = snapshot_service_for_host (
      call->snapshot, headers_get (&call->headers, "Host"));
  if (!call->service)
    {
      refuse (call, HTTP_NOT_FOUND, ERR_NOT_FOUND, "find service",
              "no service has this host name");
      return;
    }
  call->route = service_route (call->service, call->method, call->path);
  call->call_class
      = call->route ? (enum call_class)call->route->call_class : CLASS_SHORT;
  call->repeatable = route_repeatable (call->route, call->method);
  call->deadline = call->began_at + TIMER_MS (deadline_ms (call));
  timer_start (loop_timers (context->loop), &call->timer, call->deadline,
               on_deadline, call);
  if (call->body_size > call->service->max_body_bytes)
    refuse (call, HTTP_TOO_LARGE, ERR_LIMIT, "read body",
            "the body is larger than the service allows");
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
      found->seconds[class]
          = histogram_get (context->counters, "citroncleat_call_seconds",
                           labels, "Time from a call's head to its end.");
    }
  struct str key = str_dup (context->pool, service);
  apr_hash_set (context->service_counters, key.data, (apr_ssize_t)key.size,
                found);
  return found;
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
  budget_earn (&context->retries);
  if (!is_good_target (call->target) || !is_good_method (call->method)
      || !has_one_host (&call->headers))
    refuse (call, HTTP_BAD_REQUEST, ERR_INVALID, "read head",
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
  queue_remove (context->queue, &call->queue_item);
  if (call->attempt && !call->attempt->done)
    {
      release (call, RESULT_CANCELLED);
      call->outcome = call->attempt->sent ? OUTCOME_UNKNOWN : OUTCOME_NOT_RUN;
    }
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
  attempt_destroy (call->attempt);
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
      if (call->attempt && call->attempt->sent)
        call->maybe_run = true;
      release (call, RESULT_CANCELLED);
      refuse (call, HTTP_TOO_LARGE, ERR_LIMIT, "read body",
              "the body is larger than the service allows");
      return size;
    }
  if (!call->admitted)
    admit (call);
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
    admit (call);
  else if (call->attempt)
    attempt_continue (call->attempt);
}

bool
call_place (struct call *call)
{
  struct steer_choice choice = choose (call);
  if (choice.verdict == STEER_WAIT || choice.verdict == STEER_CAPPED)
    return false;
  queue_remove (call->context->queue, &call->queue_item);
  if (choice.verdict == STEER_CHOSEN)
    dispatch (call, choice.upstream);
  else
    refuse_now (call, "no upstream takes calls of this service", 0);
  return true;
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
call_fail (struct call *call, unsigned int status, enum call_outcome outcome)
{
  call->status = status;
  call->outcome = outcome;
  call->answer_ready = true;
  call->discard = true;
  drop_attempt (call);
  call_wake (call);
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
      refuse_now (call, "the service was removed", 0);
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
