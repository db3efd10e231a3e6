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

static const char *
upstream_name (const struct call *call)
{
  return call->attempt ? call->attempt->upstream.data : "";
}

/* Ends the attempt's hold on its upstream.  */
static void
release (struct call *call, struct attempt *attempt, enum steer_result result)
{
  if (!attempt || !attempt->ticket.upstream)
    return;
  apr_time_t now = timer_clock ();
  if (result == RESULT_CANCELLED && attempt->sent && !attempt->done)
    {
      /* Its upstream runs it until the cancellation is noticed there.  */
      cancelled_hold (call->context, &attempt->ticket,
                      TIMER_MS (call->service->cancel_ms)
                          + steer_attempt_rtt (&attempt->ticket));
      attempt->ticket.upstream = NULL;
      return;
    }
  apr_time_t until = attempt->has_head ? attempt->head_at : now;
  steer_end_attempt (call->context->steer, &attempt->ticket, result,
                     until - attempt->started_at, now);
  call->context->in_flight--;
  call->context->slot_freed = true;
}

static void
drop_attempt (struct call *call, struct attempt **attempt)
{
  release (call, *attempt, RESULT_CANCELLED);
  attempt_destroy (*attempt);
  *attempt = NULL;
}

/* Makes ATTEMPT the one whose answer is passed on.  */
static void
prefer (struct call *call, struct attempt *attempt)
{
  if (attempt != call->hedge)
    return;
  call->hedge = call->attempt;
  call->attempt = attempt;
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
  return body_rewind (&call->body) && budget_try_withdraw (&context->retries);
}

static void
retry (struct call *call)
{
  call->tried[call->tried_count++]
      = str_dup (call->pool, call->attempt->upstream);
  drop_attempt (call, &call->attempt);
  call_admit (call);
}

/* Ends the call, whose one attempt failed, or tries again.  */
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
                                        : attempt_reason (attempt);
  call_refuse (call, attempt->refused ? HTTP_UNAVAILABLE : HTTP_BAD_GATEWAY,
               not_run ? ERR_UNAVAILABLE : ERR_UNKNOWN,
               attempt->sent ? "await answer" : "connect", reason);
}

/* The answer of the preferred attempt can be passed on.  */
static void
give_answer (struct call *call)
{
  call->outcome = OUTCOME_COMPLETE;
  call->answer_ready = true;
  call_wake (call);
}

/* ATTEMPT failed while another one is in progress.  */
static void
go_on_with_other (struct call *call, struct attempt *attempt)
{
  if (attempt == call->attempt)
    prefer (call, call->hedge);
  drop_attempt (call, &call->hedge);
  struct attempt *other = call->attempt;
  if (other->has_head && !other->refused && !attempt_is_held (other)
      && body_unread (&other->answer) > 0)
    give_answer (call);
}

/* ATTEMPT ended without an answer that can be passed on.  */
static void
settle_failure (struct call *call, struct attempt *attempt)
{
  bool not_run = attempt->refused || !attempt->sent;
  release (call, attempt, attempt->refused ? RESULT_REFUSED : RESULT_FAILED);
  if (!not_run)
    call->maybe_run = true;
  if (call->answered && attempt == call->attempt)
    {
      /* The head is with the caller already; the reader ends the answer
         with an error, so that it cannot be taken as whole.  */
      call->outcome = OUTCOME_UNKNOWN;
      call_wake (call);
      return;
    }
  if (attempt == call->attempt)
    call->answer_ready = false;
  if (call->hedge)
    go_on_with_other (call, attempt);
  else
    fail_or_retry (call, not_run);
}

static void
settle (struct call *call, struct attempt *attempt)
{
  if (attempt->result != CURLE_OK || attempt->refused)
    {
      settle_failure (call, attempt);
      return;
    }
  release (call, attempt, RESULT_ANSWERED);
  if (!call->answer_ready)
    prefer (call, attempt);
  if (attempt == call->attempt)
    give_answer (call);
  call_drop_hedge (call);
}

static void
on_attempt (void *part, struct attempt *attempt, enum attempt_event event)
{
  struct call *call = part;
  switch (event)
    {
    case ATTEMPT_HEAD:
      attempt->refused
          = call->service->not_started_status != 0
            && attempt->status == call->service->not_started_status;
      break;
    case ATTEMPT_DATA:
      if (attempt->refused)
        {
          attempt->answer.size = attempt->answer.read = 0;
          break;
        }
      if (attempt_is_held (attempt))
        break;
      /* The other attempt is dropped later: libcurl must not be called from
         its own callback.  */
      if (!call->answer_ready)
        prefer (call, attempt);
      if (attempt == call->attempt)
        give_answer (call);
      break;
    case ATTEMPT_SPACE:
      if (body_space (&call->body) >= call->body.limit / 2)
        call_wake (call);
      break;
    case ATTEMPT_DONE:
      settle (call, attempt);
      break;
    }
}

/* Makes the fields that tell the upstream whose request this is.  */
static const struct headers *
own_headers (struct call *call, struct str request_id)
{
  struct headers *set = apr_palloc (call->pool, sizeof *set);
  struct str via = headers_get (&call->headers, "Via");
  headers_init (set, call->pool);
  headers_add (set, STR ("Request-Id"), request_id);
  headers_add (set, STR ("Via"),
               str_printf (call->pool, "%.*s%s1.1 citroncleat", STR_ARGS (via),
                           via.size ? ", " : ""));
  headers_add (
      set, STR ("Request-Timeout-Ms"),
      str_printf (call->pool, "%lld",
                  (long long)((call->deadline - timer_clock ()) / 1000)));
  headers_add (set, STR ("Citroncleat-Region"),
               call->context->settings->region);
  return set;
}

static struct attempt *
start_attempt (struct call *call, const struct upstream *upstream)
{
  struct call_context *context = call->context;
  struct str request_id
      = str_printf (call->pool, "%s.%d", call->id.data, ++call->attempts);
  struct attempt_desc desc = {
    .curl_loop = context->curl_loop,
    .pool = call->pool,
    .address = upstream->address,
    .method = call->method,
    .target = call->target,
    .request_id = request_id,
    .headers = &call->headers,
    .set = own_headers (call, request_id),
    .is_head = call->is_head,
    .body_size = call->body_size,
    .deadline = call->deadline,
    .connect_timeout_ms = CONNECT_TIMEOUT_MS,
    .link_out = steer_link (context->steer, context->settings->region,
                            upstream->zone->region->head.name),
    .link_in = steer_link (context->steer, upstream->zone->region->head.name,
                           context->settings->region),
    .connections = connections_get (context->connections, upstream->address),
    .idle_connections = steer_max_idle_connections (context->steer, upstream),
    .new_connection = call->service->answer_check == ANSWER_NEW_CONNECTION,
    .must_echo = call->service->answer_check == ANSWER_ECHO,
    .body = &call->body,
    .body_ended = &call->body_ended,
    .answer_limit = (size_t)context->settings->limits.call_buffer_bytes,
    .event = on_attempt,
    .part = call,
  };
  call->region = str_dup (call->pool, upstream->zone->region->head.name);
  struct attempt *attempt = attempt_start (&desc);
  attempt->upstream = str_dup (call->pool, upstream->head.name);
  attempt->ticket
      = steer_begin_attempt (context->steer, upstream, call->call_class);
  context->in_flight++;
  return attempt;
}

/* Hedges: a second attempt at another upstream, for a call that may be
   repeated and has waited longer than nearly all calls do.  */

static bool
may_hedge (const struct call *call)
{
  return call->repeatable && call->call_class == CLASS_SHORT
         && call->body_size == 0;
}

/* Returns whether a connection to UPSTREAM is free, or may be opened.  */
static bool
has_connection (struct call *call, const struct upstream *upstream)
{
  struct call_context *context = call->context;
  apr_time_t now = timer_clock ();
  struct connection_count *count
      = connections_get (context->connections, upstream->address);
  count->notice_us = TIMER_MS (call->service->cancel_ms);
  int64_t most
      = steer_max_idle_connections (context->steer, upstream)
        + steer_query_upstream (context->steer, upstream->head.name, now)
              .limit;
  return connection_is_free (count, most, now);
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
  while (choice.verdict == STEER_CHOSEN
         && !has_connection (call, choice.upstream))
    {
      struct str full = choice.upstream->head.name;
      call->context->connections_short = true;
      choice = (struct steer_choice){ STEER_WAIT, NULL };
      if (request.excluded_count == STEER_EXCLUDED_MAX)
        break;
      request.excluded[request.excluded_count++] = full;
      choice = steer_choose (call->context->steer, &request);
      if (choice.verdict == STEER_NO_UPSTREAM)
        choice.verdict = STEER_WAIT;
    }
  return choice;
}

static void start_hedge_timer (struct call *call);

static void
on_hedge_due (void *part, apr_time_t now)
{
  struct call *call = part;
  struct attempt *late = call->attempt;
  if (!late || late->done || late->has_head || call->hedge)
    return;
  steer_report_overdue (call->context->steer, &late->ticket,
                        now - late->started_at, now);
  if (!may_hedge (call) || call->tried_count == STEER_EXCLUDED_MAX
      || call->attempts >= CALL_ATTEMPTS_MAX)
    return;
  call->tried[call->tried_count++] = str_dup (call->pool, late->upstream);
  struct steer_choice choice = choose (call);
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
               timer_clock () + steer_hedge_delay (&call->attempt->ticket),
               on_hedge_due, call);
}

static void
dispatch (struct call *call, const struct upstream *upstream)
{
  call->attempt = start_attempt (call, upstream);
  if (call->call_class == CLASS_SHORT)
    start_hedge_timer (call);
}

static void
refuse_now (struct call *call, const char *detail, apr_time_t wait_us)
{
  call->retry_after_ms = wait_us / 1000;
  call_refuse (call, HTTP_UNAVAILABLE, ERR_LIMIT, "admit", detail);
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
choose_or_again (struct call *call)
{
  struct steer_choice choice = choose (call);
  if (choice.verdict != STEER_NO_UPSTREAM || call->tried_count == 0)
    return choice;
  /* All were tried; one of them is better than none.  */
  call->tried_count = 0;
  return choose (call);
}

/* public functions */

void
call_admit (struct call *call)
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
  struct steer_choice choice = choose_or_again (call);
  if (choice.verdict == STEER_CHOSEN)
    dispatch (call, choice.upstream);
  else if (choice.verdict == STEER_NO_UPSTREAM)
    refuse_now (call, "no upstream takes calls of this service", 0);
  else
    enqueue (call);
}

bool
call_place (struct call *call)
{
  struct steer_choice choice = choose_or_again (call);
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
call_refuse (struct call *call, unsigned int status, enum err_code code,
             const char *step, const char *detail)
{
  err_set (&call->err, code, step, upstream_name (call), "%s", detail);
  call->status = status;
  call->outcome = call->maybe_run ? OUTCOME_UNKNOWN : OUTCOME_NOT_RUN;
  call->answer_ready = true;
  call->discard = true;
  call_drop_attempts (call);
  call_wake (call);
}

bool
call_is_sent (const struct call *call)
{
  return (call->attempt && call->attempt->sent)
         || (call->hedge && call->hedge->sent);
}

void
call_drop_attempts (struct call *call)
{
  drop_attempt (call, &call->attempt);
  drop_attempt (call, &call->hedge);
}

void
call_drop_hedge (struct call *call)
{
  drop_attempt (call, &call->hedge);
}

void
call_on_deadline (void *part, apr_time_t now)
{
  (void)now;
  struct call *call = part;
  queue_remove (call->context->queue, &call->queue_item);
  if (call->answer_ready && (!call->attempt || call->attempt->done))
    return;
  bool sent = call_is_sent (call);
  if (sent)
    call->maybe_run = true;
  if (call->answered)
    {
      call->outcome = OUTCOME_UNKNOWN;
      call_drop_attempts (call);
      call_wake (call);
      return;
    }
  call_refuse (call, HTTP_TIMEOUT, ERR_TIMEOUT, sent ? "await answer" : "wait",
               "the deadline passed");
}
