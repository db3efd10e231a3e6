/* The attempts of a call: admission, choice of an upstream, retries, hedges,
   and how they end.  */
#include "call/call.h"

#include "call/cancelled.h"

#include <string.h>

/* constants */

enum
{
  CONNECT_TIMEOUT_MS = 1000,
  HTTP_BAD_GATEWAY = 502,
  HTTP_UNAVAILABLE = 503,
  HTTP_TIMEOUT = 504
};

/* private functions */

/* Returns the name of the upstream that the call is bound to, or "".  */
static const char *
upstream_name (const struct call *call)
{
  return call->attempt ? call->attempt->upstream.data : "";
}

/* Ends ATTEMPT's use of its upstream: reports RESULT and frees the slot, for a
   cancelled attempt only after the upstream has noticed the cancellation.
   Does nothing if that was done already, or if ATTEMPT is NULL.  */
static void
release_slot (struct call *call, struct attempt *attempt,
              enum steer_result result)
{
  if (!attempt || !attempt->steer_attempt.upstream)
    return;
  apr_time_t now = timer_clock ();
  if (result == RESULT_CANCELLED && attempt->sent && !attempt->done)
    {
      /* The upstream runs the call until it notices the cancellation.  */
      cancelled_hold_slot (call->context, &attempt->steer_attempt,
                           TIMER_MS (call->service->cancel_ms)
                               + steer_attempt_rtt (&attempt->steer_attempt));
      attempt->steer_attempt.upstream = NULL;
      return;
    }
  apr_time_t until = attempt->has_head ? attempt->head_at : now;
  steer_end_attempt (call->context->steer, &attempt->steer_attempt, result,
                     until - attempt->started_at, now);
  call->context->in_flight--;
  call->context->slot_freed = true;
}

/* Destroys *ATTEMPT, cancels it if it is in progress, and clears the
   pointer.  */
static void
discard_attempt (struct call *call, struct attempt **attempt)
{
  release_slot (call, *attempt, RESULT_CANCELLED);
  attempt_destroy (*attempt);
  *attempt = NULL;
}

/* Makes ATTEMPT the one whose response is forwarded.  */
static void
select_attempt (struct call *call, struct attempt *attempt)
{
  if (attempt != call->hedge)
    return;
  call->hedge = call->attempt;
  call->attempt = attempt;
}

/* Returns whether the call may be sent again, and takes that from the retry
   budget.  NOT_RUN: it is certain that no upstream ran the last attempt.  */
static bool
may_retry (struct call *call, bool not_run)
{
  struct call_context *context = call->context;
  if (call->response_queued || call->attempts >= CALL_ATTEMPTS_MAX
      || call->tried_count >= STEER_EXCLUDED_MAX)
    return false;
  if (!not_run && !call->repeatable)
    return false;
  return body_rewind (&call->body) && budget_try_withdraw (&context->retries);
}

/* Admits the call again, if possible at an upstream that it has not tried.  */
static void
retry (struct call *call)
{
  call->tried[call->tried_count++]
      = str_dup (call->pool, call->attempt->upstream);
  discard_attempt (call, &call->attempt);
  call_admit (call);
}

/* Retries the call, whose only attempt failed, or fails it.  */
static void
fail_or_retry (struct call *call, bool not_run)
{
  struct attempt *attempt = call->attempt;
  if (may_retry (call, not_run))
    {
      retry (call);
      return;
    }
  const char *reason = attempt->refused ? "the upstream refused the call"
                                        : attempt_failure_reason (attempt);
  call_fail (call, attempt->refused ? HTTP_UNAVAILABLE : HTTP_BAD_GATEWAY,
             not_run ? ERR_UNAVAILABLE : ERR_UNKNOWN,
             attempt->sent ? "await answer" : "connect", reason);
}

/* Notes that the response of the selected attempt can be forwarded.  */
static void
mark_response_ready (struct call *call)
{
  call->outcome = OUTCOME_COMPLETE;
  call->response_ready = true;
  call_schedule_resume (call);
}

/* Discards ATTEMPT, which failed while the call has another one.  */
static void
continue_with_other (struct call *call, struct attempt *attempt)
{
  if (attempt == call->attempt)
    select_attempt (call, call->hedge);
  discard_attempt (call, &call->hedge);
  struct attempt *other = call->attempt;
  if (other->has_head && !other->refused && !attempt_response_fits (other)
      && body_unread (&other->response) > 0)
    mark_response_ready (call);
}

/* Handles the end of ATTEMPT without a response that can be forwarded.  */
static void
handle_failure (struct call *call, struct attempt *attempt)
{
  bool not_run = attempt->refused || !attempt->sent;
  release_slot (call, attempt,
                attempt->refused ? RESULT_REFUSED : RESULT_FAILED);
  if (!not_run)
    call->may_have_run = true;
  if (call->response_queued && attempt == call->attempt)
    {
      /* The head was sent to the caller already; the reader ends the response
         with an error, so that the caller sees that it is truncated.  */
      call->outcome = OUTCOME_UNKNOWN;
      call_schedule_resume (call);
      return;
    }
  if (attempt == call->attempt)
    call->response_ready = false;
  if (call->hedge)
    continue_with_other (call, attempt);
  else
    fail_or_retry (call, not_run);
}

/* Handles the end of ATTEMPT.  */
static void
handle_end (struct call *call, struct attempt *attempt)
{
  if (attempt->result != CURLE_OK || attempt->refused)
    {
      handle_failure (call, attempt);
      return;
    }
  release_slot (call, attempt, RESULT_ANSWERED);
  if (!call->response_ready)
    select_attempt (call, attempt);
  if (attempt == call->attempt)
    {
      /* Nobody reads the rest of a request that is answered early.  */
      call->discard_body = true;
      mark_response_ready (call);
    }
  call_discard_hedge (call);
}

/* Handles an event of one of the call's attempts.  */
static void
on_attempt (void *user_data, struct attempt *attempt, enum attempt_event event)
{
  struct call *call = user_data;
  switch (event)
    {
    case ATTEMPT_HEAD:
      attempt->refused
          = call->service->not_started_status != 0
            && attempt->status == call->service->not_started_status;
      if (attempt->refused)
        attempt_close_connection (attempt);
      break;
    case ATTEMPT_DATA:
      if (attempt->refused)
        {
          attempt_drop_response (attempt);
          break;
        }
      if (attempt_response_fits (attempt))
        break;
      /* The other attempt is discarded when the response is sent: libcurl
         must not be called from its own callback.  */
      if (!call->response_ready)
        select_attempt (call, attempt);
      if (attempt == call->attempt)
        mark_response_ready (call);
      break;
    case ATTEMPT_BODY_SPACE:
      if (body_space (&call->body) >= call->body.limit / 2)
        call_schedule_resume (call);
      break;
    case ATTEMPT_DONE:
      handle_end (call, attempt);
      break;
    }
}

/* Makes the fields that this entry sets on the request to the upstream.  */
static const struct headers *
make_override_headers (struct call *call, struct str request_id)
{
  struct headers *overrides = apr_palloc (call->pool, sizeof *overrides);
  struct str via = headers_get (&call->headers, "Via");
  headers_init (overrides, call->pool);
  headers_add (overrides, STR ("Request-Id"), request_id);
  headers_add (overrides, STR ("Via"),
               str_printf (call->pool, "%.*s%s1.1 citroncleat", STR_ARGS (via),
                           via.size ? ", " : ""));
  headers_add (
      overrides, STR ("Request-Timeout-Ms"),
      str_printf (call->pool, "%lld",
                  (long long)((call->deadline - timer_clock ()) / 1000)));
  headers_add (overrides, STR ("Citroncleat-Region"),
               call->context->settings->region);
  return overrides;
}

/* Starts an attempt at UPSTREAM, which takes one of its slots.  */
static struct attempt *
start_attempt (struct call *call, const struct upstream *upstream)
{
  struct call_context *context = call->context;
  struct str request_id
      = str_printf (call->pool, "%s.%d.%016llx-%llx", call->id.data,
                    ++call->attempts, (unsigned long long)context->id_base,
                    (unsigned long long)++context->last_id);
  struct attempt_desc desc = {
    .curl_loop = context->curl_loop,
    .pool = call->pool,
    .address = upstream->address,
    .method = call->method,
    .target = call->target,
    .request_id = request_id,
    .headers = &call->headers,
    .override_headers = make_override_headers (call, request_id),
    .is_head = call->is_head,
    .body_size = call->body_size,
    .deadline = call->deadline,
    .connect_timeout_ms = CONNECT_TIMEOUT_MS,
    .link_out = steer_link (context->steer, context->settings->region,
                            upstream->zone->region->head.name),
    .link_in = steer_link (context->steer, upstream->zone->region->head.name,
                           context->settings->region),
    .connections = connections_get (context->connections, upstream->address),
    .max_idle_connections
    = steer_max_idle_connections (context->steer, upstream),
    .new_connection
    = call->service->response_check == RESPONSE_CHECK_NEW_CONNECTION,
    .must_echo = call->service->response_check == RESPONSE_CHECK_ECHO,
    .body = &call->body,
    .body_ended = &call->body_ended,
    .max_response_bytes = (size_t)context->settings->limits.call_buffer_bytes,
    .event = on_attempt,
    .user_data = call,
  };
  call->region = str_dup (call->pool, upstream->zone->region->head.name);
  struct attempt *attempt = attempt_start (&desc);
  attempt->upstream = str_dup (call->pool, upstream->head.name);
  attempt->steer_attempt
      = steer_begin_attempt (context->steer, upstream, call->call_class);
  context->in_flight++;
  return attempt;
}

/* Hedges: a second attempt at another upstream, for a call that may be
   repeated and has waited for its response longer than nearly all calls do.
 */

static bool
may_hedge (const struct call *call)
{
  return call->repeatable && call->call_class == CLASS_SHORT
         && call->body_size == 0;
}

/* Returns whether a connection to UPSTREAM is idle, or may be opened.  This
   entry may have as many as it may use slots, besides the idle ones.  */
static bool
has_connection (struct call *call, const struct upstream *upstream)
{
  struct call_context *context = call->context;
  apr_time_t now = timer_clock ();
  struct connection_count *count
      = connections_get (context->connections, upstream->address);
  count->close_delay_us = TIMER_MS (call->service->cancel_ms);
  int64_t max_connections
      = steer_max_idle_connections (context->steer, upstream)
        + steer_query_upstream (context->steer, upstream->head.name, now)
              .limit;
  return connection_is_available (count, max_connections, now);
}

/* Chooses an upstream that has a free slot and a connection for it.  Passes
   over those without a connection; if no other is left, the call has to
   wait.  */
static struct steer_choice
choose_upstream (struct call *call)
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
  while (choice.verdict == STEER_CHOSEN
         && !has_connection (call, choice.upstream))
    {
      struct str passed_over = choice.upstream->head.name;
      call->context->waits_for_connection = true;
      choice = (struct steer_choice){ STEER_WAIT, NULL };
      if (request.excluded_count == STEER_EXCLUDED_MAX)
        break;
      request.excluded[request.excluded_count++] = passed_over;
      choice = steer_choose (call->context->steer, &request);
      if (choice.verdict == STEER_NO_UPSTREAM)
        choice.verdict = STEER_WAIT;
    }
  return choice;
}

static void start_hedge_timer (struct call *call);

/* The first attempt has no response yet: reports it as overdue, and starts a
   hedge if that is allowed; tries later if there is no upstream or no budget
   for it.  */
static void
on_hedge_due (void *user_data, apr_time_t now)
{
  struct call *call = user_data;
  struct attempt *slow = call->attempt;
  if (!slow || slow->done || slow->has_head || call->hedge)
    return;
  steer_report_overdue (call->context->steer, &slow->steer_attempt,
                        now - slow->started_at, now);
  if (!may_hedge (call) || call->tried_count == STEER_EXCLUDED_MAX
      || call->attempts >= CALL_ATTEMPTS_MAX)
    return;
  call->tried[call->tried_count++] = str_dup (call->pool, slow->upstream);
  struct steer_choice choice = choose_upstream (call);
  call->tried_count--;
  if (choice.verdict != STEER_CHOSEN
      || !budget_try_withdraw (&call->counters->hedge_budget))
    {
      start_hedge_timer (call);
      return;
    }
  call->hedge = start_attempt (call, choice.upstream);
  counter_add (call->counters->hedges[call->call_class], 1);
}

static void
start_hedge_timer (struct call *call)
{
  struct call_context *context = call->context;
  timer_start (loop_timers (context->loop), &call->hedge_timer,
               timer_clock ()
                   + steer_hedge_delay (&call->attempt->steer_attempt),
               on_hedge_due, call);
}

/* Starts the call's attempt at UPSTREAM.  */
static void
dispatch (struct call *call, const struct upstream *upstream)
{
  call->attempt = start_attempt (call, upstream);
  if (call->call_class == CLASS_SHORT)
    start_hedge_timer (call);
}

/* Fails the call with 503.  The caller is told to try again after WAIT_US.  */
static void
reject (struct call *call, const char *detail, apr_time_t wait_us)
{
  call->retry_after_ms = wait_us / 1000;
  call_fail (call, HTTP_UNAVAILABLE, ERR_LIMIT, "admit", detail);
}

/* Queues the call.  Rejects it if the worker's queue is full, or if it would
   still be waiting at its deadline according to the expected wait.  */
static void
enqueue (struct call *call)
{
  struct call_context *context = call->context;
  apr_time_t now = timer_clock ();
  size_t ahead = queue_class_length (context->queue, call->service->head.name,
                                     call->call_class);
  apr_time_t wait
      = steer_expected_wait (context->steer, call->service, ahead, now);
  if (queue_length (context->queue)
      >= (size_t)context->settings->limits.queued_calls)
    reject (call, "too many calls are waiting", wait);
  else if (now + wait
           > stop_limits_deadline (&context->stop_limits, call->deadline))
    reject (call, "the call cannot be served before its deadline", wait);
  else
    queue_add (context->queue, call->service->head.name, call->call_class,
               &call->queue_item, call);
}

/* Ends CALL without a whole response of an upstream: with STATUS, CODE and
   DETAIL, or where its response is being forwarded.  */
static void
end_unanswered (struct call *call, unsigned int status, enum err_code code,
                const char *detail)
{
  queue_remove (call->context->queue, &call->queue_item);
  if (call->response_ready && (!call->attempt || call->attempt->done))
    return;
  bool sent = call_is_sent (call);
  if (sent)
    call->may_have_run = true;
  if (call->response_queued)
    {
      call->outcome = OUTCOME_UNKNOWN;
      call_discard_attempts (call);
      call_schedule_resume (call);
      return;
    }
  call_fail (call, status, code, sent ? "await answer" : "wait", detail);
}

/* As choose_upstream, but chooses among the upstreams already tried if no
   other takes the call.  */
static struct steer_choice
choose_or_revisit (struct call *call)
{
  struct steer_choice choice = choose_upstream (call);
  if (choice.verdict != STEER_NO_UPSTREAM || call->tried_count == 0)
    return choice;
  /* All were tried; trying one again is better than failing.  */
  call->tried_count = 0;
  return choose_upstream (call);
}

/* public functions */

void
call_admit (struct call *call)
{
  struct call_context *context = call->context;
  call->admitted = true;
  apr_time_t now = timer_clock ();
  if (stop_limits_deadline (&context->stop_limits, now) < now)
    {
      reject (call, "the entry has stopped", 0);
      return;
    }
  if (queue_class_length (context->queue, call->service->head.name,
                          call->call_class)
      > 0)
    {
      enqueue (call);
      return;
    }
  struct steer_choice choice = choose_or_revisit (call);
  if (choice.verdict == STEER_CHOSEN)
    dispatch (call, choice.upstream);
  else if (choice.verdict == STEER_NO_UPSTREAM)
    reject (call, "no upstream takes calls of this service", 0);
  else
    enqueue (call);
}

bool
call_try_dispatch (struct call *call)
{
  struct steer_choice choice = choose_or_revisit (call);
  if (choice.verdict == STEER_WAIT || choice.verdict == STEER_CAPPED)
    return false;
  queue_remove (call->context->queue, &call->queue_item);
  if (choice.verdict == STEER_CHOSEN)
    dispatch (call, choice.upstream);
  else
    reject (call, "no upstream takes calls of this service", 0);
  return true;
}

void
call_fail (struct call *call, unsigned int status, enum err_code code,
           const char *step, const char *detail)
{
  err_set (&call->err, code, step, upstream_name (call), "%s", detail);
  /* 503 is read as "not run" by callers that don't know the outcome.  */
  call->status = status == HTTP_UNAVAILABLE && call->may_have_run
                     ? HTTP_BAD_GATEWAY
                     : status;
  call->outcome = call->may_have_run ? OUTCOME_UNKNOWN : OUTCOME_NOT_RUN;
  call->response_ready = true;
  call->discard_body = true;
  call_discard_attempts (call);
  call_schedule_resume (call);
}

bool
call_is_sent (const struct call *call)
{
  return (call->attempt && call->attempt->sent)
         || (call->hedge && call->hedge->sent);
}

void
call_discard_attempts (struct call *call)
{
  discard_attempt (call, &call->attempt);
  discard_attempt (call, &call->hedge);
}

void
call_discard_hedge (struct call *call)
{
  discard_attempt (call, &call->hedge);
}

void
call_on_deadline (void *user_data, apr_time_t now)
{
  (void)now;
  end_unanswered (user_data, HTTP_TIMEOUT, ERR_TIMEOUT, "the deadline passed");
}

void
call_end_for_stop (struct call *call)
{
  bool may_have_run = call->may_have_run || call_is_sent (call);
  end_unanswered (call, may_have_run ? HTTP_BAD_GATEWAY : HTTP_UNAVAILABLE,
                  may_have_run ? ERR_UNKNOWN : ERR_LIMIT, "the entry stopped");
}
