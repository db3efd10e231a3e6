/* Attempts of a request at upstreams: what is sent, how it ends, what is
   learnt from it, and whether another one follows.  */
#include "gateway/internal.h"

#include "platform/decode.h"
#include "platform/words.h"

#include <errno.h>
#include <string.h>

/* constants */

enum
{
  /* Beyond the way there and back.  A lost opening packet is sent again only
     after a second, so a longer wait gains nothing.  */
  CONNECT_TIMEOUT_MS = 120,
  /* A path that acknowledges nothing for so long beyond the way there and back
     is cut: a lost packet is sent again once or twice before that.  */
  UNACKNOWLEDGED_MS = 600,
  /* Held until whole; longer ones stream.  Eight times the largest answers of
     the users' sites.  */
  ANSWER_LIMIT_BYTES = 256 * 1024,
  SENDS_MAX = 4, /* with refusals, which do not count as attempts */
  HTTP_BAD_GATEWAY = 502,
  HTTP_UNAVAILABLE = 503,
  HTTP_MISDIRECTED = 421,
  HTTP_SERVER_ERRORS = 500
};

/* Times the expected work after which nearly all requests are answered.  */
static const double second_after = 2.0;
/* In a fuller region the slot is worth more to another request.  */
static const double full_for_second = 0.7;
/* Of the newest connection, in the estimate of the way to its region.  */
static const double distance_weight = 0.25;

/* private functions */

/* Ends the attempt's hold on its upstream.  */
static void
release (struct request *request, enum load_result result)
{
  struct attempt *attempt = request->attempt;
  apr_time_t now = timer_clock ();
  if (!request->attempt_held)
    return;
  request->attempt_held = false;
  apr_time_t until = attempt->has_head ? attempt->head_at : now;
  apr_time_t elapsed = until - attempt->started_at
                       - request->gateway->distances[request->region];
  apr_time_t expected
      = (apr_time_t)((double)request->attempt_work * request->attempt_pace);
  load_end (&request->upstream->load, result, elapsed, expected, now);
  if (result == LOAD_ANSWERED && elapsed > 0)
    {
      balance_learn (&request->route_state->work,
                     (double)elapsed / request->attempt_pace, request->recurs);
      memory_note (fleet_memory (request->gateway->fleet),
                   request->upstream->life, request->object, now);
    }
  request->gateway->slot_freed = true;
}

/* Learns the way to the region from a connection that was made.  */
static void
learn_distance (struct request *request)
{
  curl_off_t connect_us = 0;
  long connects = 0;
  CURL *easy = request->attempt->transfer.easy;
  curl_easy_getinfo (easy, CURLINFO_NUM_CONNECTS, &connects);
  curl_easy_getinfo (easy, CURLINFO_CONNECT_TIME_T, &connect_us);
  apr_time_t *distance = &request->gateway->distances[request->region];
  if (connects > 0 && connect_us > 0)
    *distance
        += (apr_time_t)(distance_weight * (double)(connect_us - *distance));
}

static bool
has_time_left (const struct request *request)
{
  return timer_clock () + (apr_time_t)request->route_state->work.known
         < request->deadline;
}

static bool
may_send_again (struct request *request, bool not_run, bool has_arrived)
{
  if (request->answered || request->sends >= SENDS_MAX
      || request->tried_count >= BALANCE_EXCLUDED_MAX
      || !has_time_left (request))
    return false;
  if (!not_run
      && (request->route->kind != PLAN_SAFE
          || request->sends >= request->route->max_attempts))
    return false;
  if (!body_rewind (&request->body))
    return false;
  /* What never reached an upstream is no repeat to it.  */
  return !has_arrived || budget_try_withdraw (&request->service->retries);
}

static void
log_failure (struct request *request, const char *reason, bool not_run)
{
  struct gateway *gateway = request->gateway;
  if (!gateway_may_log (gateway))
    return;
  apr_time_t now = timer_clock ();
  LOG (LOG_INFO, "attempt-failed", LOG_TEXT ("id", request->id.data),
       LOG_TEXT ("upstream", request->upstream->id.data),
       LOG_TEXT ("address", request->upstream->address.data),
       LOG_TEXT ("reason", reason), LOG_INT ("not_run", not_run),
       LOG_INT ("status", request->attempt->status),
       LOG_INT ("busy", (int64_t)load_busy (&request->upstream->load, now)),
       LOG_INT ("cold", request->upstream->cold_until > now),
       LOG_INT ("elapsed_ms", (now - request->attempt->started_at) / 1000));
}

/* Ends the failed attempt, and tries elsewhere if that is allowed.  */
static void
fail_or_retry (struct request *request, const char *reason, bool not_run)
{
  bool has_arrived = request->attempt->sent;
  log_failure (request, reason, not_run);
  if (!not_run)
    request->maybe_run = true;
  if (may_send_again (request, not_run, has_arrived))
    {
      request->tried[request->tried_count++] = request->upstream->hash;
      sending_drop (request);
      dispatch_admit (request);
      return;
    }
  request->retry_after = TIMER_MS (GATEWAY_RETURN_SOON_MS);
  request_refuse (request,
                  request->maybe_run ? HTTP_BAD_GATEWAY : HTTP_UNAVAILABLE,
                  reason);
}

/* The upstream's answer can be passed on.  */
static void
give_answer (struct request *request)
{
  request->outcome = REQUEST_SERVED;
  request->answer_ready = true;
  request_wake (request);
}

static bool
is_refusal (const struct attempt *attempt)
{
  return attempt->status == HTTP_MISDIRECTED
         || headers_has (&attempt->headers, STR (PLATFORM_NOT_RUN));
}

static void
settle_refusal (struct request *request)
{
  struct gateway *gateway = request->gateway;
  const struct plan_service *service = dispatch_service (request);
  bool is_other = request->attempt->status == HTTP_MISDIRECTED;
  release (request, is_other ? LOAD_UNREACHED : LOAD_REFUSED);
  if (is_other)
    fleet_suspect_cold (gateway->fleet, request->upstream, service->cold_time,
                        timer_clock ());
  fail_or_retry (request,
                 is_other ? "another upstream has the address"
                          : "the upstream refused the request",
                 true);
}

static void
settle_failure (struct request *request, const char *reason)
{
  struct attempt *attempt = request->attempt;
  bool not_run = !attempt->sent;
  long cause = 0;
  curl_easy_getinfo (attempt->transfer.easy, CURLINFO_OS_ERRNO, &cause);
  bool is_dark = not_run || cause == ETIMEDOUT;
  release (request, is_dark ? LOAD_UNREACHED : LOAD_FAILED);
  if (is_dark)
    {
      /* It may come back as a new process, cold, before the list says so.  */
      const struct plan_service *service = dispatch_service (request);
      fleet_suspect_cold (request->gateway->fleet, request->upstream,
                          service->cold_time, timer_clock ());
    }
  if (request->answered)
    {
      /* The reader ends the answer with an error, so that it cannot be taken
         as whole.  */
      request->maybe_run = true;
      request->outcome = REQUEST_FAILED;
      request_wake (request);
      return;
    }
  request->answer_ready = false;
  fail_or_retry (request, reason, not_run);
}

static void
settle (struct request *request)
{
  struct attempt *attempt = request->attempt;
  learn_distance (request);
  if (attempt->result != CURLE_OK)
    {
      settle_failure (request, attempt_failure_reason (attempt));
      return;
    }
  if (request->answered)
    {
      release (request, LOAD_ANSWERED);
      request_wake (request);
      return;
    }
  if (is_refusal (attempt))
    {
      settle_refusal (request);
      return;
    }
  if (!headers_has (&attempt->headers, STR (PLATFORM_SIGNATURE)))
    {
      settle_failure (request, "the answer is not the upstream's");
      return;
    }
  if (attempt->status >= HTTP_SERVER_ERRORS
      && request->route->kind == PLAN_SAFE
      && may_send_again (request, false, true))
    {
      release (request, LOAD_FAILED);
      log_failure (request, "the upstream failed", false);
      request->maybe_run = true;
      request->tried[request->tried_count++] = request->upstream->hash;
      sending_drop (request);
      dispatch_admit (request);
      return;
    }
  release (request, attempt->status >= HTTP_SERVER_ERRORS ? LOAD_FAILED
                                                          : LOAD_ANSWERED);
  give_answer (request);
}

/* Returns whether the answer is held until it is whole.  */
static bool
is_held (const struct attempt *attempt)
{
  if (attempt->response_size >= 0)
    return attempt_response_fits (attempt);
  /* Half of the buffer, so that libcurl never has to wait for it.  */
  return body_unread (&attempt->response)
         < attempt->desc.max_response_bytes / 2;
}

static void
on_attempt (void *part, struct attempt *attempt, enum attempt_event event)
{
  struct request *request = part;
  struct load_report report;
  switch (event)
    {
    case ATTEMPT_HEAD:
      if (decode_load (headers_get (&attempt->headers, PLATFORM_LOAD),
                       &report))
        load_report (&request->upstream->load, &report, timer_clock ());
      break;
    case ATTEMPT_DATA:
      if (request->answered)
        request_wake (request);
      else if (!is_held (attempt) && !is_refusal (attempt)
               && headers_has (&attempt->headers, STR (PLATFORM_SIGNATURE)))
        give_answer (request);
      break;
    case ATTEMPT_BODY_SPACE:
      if (body_space (&request->body) >= request->body.limit / 2)
        request_wake (request);
      break;
    case ATTEMPT_DONE:
      settle (request);
      break;
    }
}

/* Makes the fields that are set on the request to UPSTREAM.  */
static const struct headers *
own_headers (struct request *request, const struct fleet_upstream *upstream,
             apr_time_t now)
{
  struct headers *set = apr_palloc (request->pool, sizeof *set);
  /* The answer needs the way back.  */
  apr_time_t left = request->deadline - now
                    - request->gateway->distances[request->region] / 2;
  headers_init (set, request->pool);
  headers_add (set, STR (PLATFORM_REQUEST_ID), request->id);
  headers_add (set, STR (PLATFORM_INSTANCE_WANTED), upstream->id);
  headers_add (set, STR (PLATFORM_DEADLINE),
               str_printf (request->pool, "%lld",
                           (long long)(left > 0 ? left / 1000 : 0)));
  return set;
}

static void start_second_timer (struct request *request);

void
sending_start (struct request *request, const struct balance_choice *choice)
{
  struct gateway *gateway = request->gateway;
  struct fleet_upstream *upstream = choice->upstream;
  apr_time_t now = timer_clock ();
  if (request->upstream)
    fleet_upstream_unref (request->upstream);
  request->upstream = fleet_upstream_ref (upstream);
  request->attempt_work = choice->work;
  request->attempt_known = choice->known;
  request->attempt_pace = upstream->load.pace > 0 ? upstream->load.pace : 1.0;
  if (upstream->cold_until > now)
    load_take_cold (&upstream->load,
                    dispatch_cold_rate (request) * upstream->cold_part, 1.0,
                    now);
  load_begin (&upstream->load, now);
  request->attempt_held = true;
  request->sends++;
  if (request->admitted_at == 0)
    request->admitted_at = now;
  int64_t way_ms = 2 * gateway->distances[request->region] / 1000;
  struct attempt_desc desc = {
    .curl_loop = gateway->curl_loop,
    .pool = request->pool,
    .address = upstream->address,
    .method = request->method,
    .target = request->target,
    .request_id = request->id,
    .headers = &request->headers,
    .override_headers = own_headers (request, upstream, now),
    .is_head = request->is_head,
    .body_size = request->body_size,
    .deadline = request->deadline,
    .connect_timeout_ms = CONNECT_TIMEOUT_MS + way_ms,
    .tcp_user_timeout_ms = UNACKNOWLEDGED_MS + way_ms,
    .max_idle_s = GATEWAY_IDLE_S,
    .connections = connections_get (gateway->connections, upstream->address),
    .max_idle_connections = GATEWAY_OWN_MOST,
    .must_echo = true,
    .body = &request->body,
    .body_ended = &request->body_ended,
    .max_response_bytes = ANSWER_LIMIT_BYTES,
    .event = on_attempt,
    .user_data = request,
  };
  request->attempt = attempt_start (&desc);
  start_second_timer (request);
}

/* Second attempts: a request that may run twice and has waited longer than
   nearly all do is given to another upstream, if that can still answer within
   the aim.  Answers the load "a few requests run many times longer, and some
   answers are lost".  */

static void
on_second_due (void *part, apr_time_t now)
{
  struct request *request = part;
  struct attempt *attempt = request->attempt;
  if (!attempt || attempt->done || attempt->has_head || !request->attempt_held
      || request->sends >= request->route->max_attempts
      || request->tried_count >= BALANCE_EXCLUDED_MAX
      || dispatch_fullness (request) > full_for_second)
    return;
  request->tried[request->tried_count++] = request->upstream->hash;
  struct balance_choice choice = dispatch_choose (request);
  if (!choice.upstream || now + choice.expected > request->aim_at
      || !body_rewind (&request->body)
      || !budget_try_withdraw (&request->service->retries))
    {
      request->tried_count--;
      return;
    }
  request->maybe_run |= attempt->sent;
  log_failure (request, "late; sent to another upstream", false);
  release (request, LOAD_LATE);
  sending_drop (request);
  sending_start (request, &choice);
}

static void
start_second_timer (struct request *request)
{
  struct gateway *gateway = request->gateway;
  double expected = (double)request->attempt_work * request->attempt_pace;
  if (request->route->kind != PLAN_SAFE
      || request->sends >= request->route->max_attempts)
    return;
  timer_start (loop_timers (gateway->loop), &request->second_timer,
               timer_clock () + (apr_time_t)(expected * second_after)
                   + gateway->distances[request->region],
               on_second_due, request);
}

/* public functions */

void
sending_drop (struct request *request)
{
  if (!request->attempt)
    return;
  release (request, LOAD_CANCELLED);
  attempt_destroy (request->attempt);
  request->attempt = NULL;
}

void
sending_give_up (struct request *request)
{
  if (!request->attempt || !request->attempt->sent)
    return;
  request->maybe_run = true;
  if (!request->attempt->has_head)
    release (request, LOAD_SILENT);
}
