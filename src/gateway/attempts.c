/* Attempts of a request at upstreams: starts them, handles their events,
   updates the estimates of the upstream's load and speed from how they end,
   and decides whether another attempt follows.  A request has at most one
   attempt in progress.  */
#include "gateway/internal.h"

#include "call/limits.h"
#include "platform/decode.h"
#include "platform/words.h"

#include <errno.h>
#include <string.h>

/* constants */

enum
{
  /* For making a connection, beyond two round trips.  A lost SYN is sent again
     only after a second, so a longer wait gains nothing.  */
  CONNECT_TIMEOUT_MS = 120,
  /* A connection on which sent data stays unacknowledged for longer than this
     and two round trips is taken for dead; a lost packet is sent again once or
     twice before that.  */
  UNACKNOWLEDGED_MS = 600,
  /* Attempts of one request.  The route's maximum of attempts doesn't limit
     repeating those that an upstream refused.  */
  SENDS_MAX = 4,
  /* Of a response that comes while the body is being sent, as much as of a
     body is buffered.  */
  EARLY_RESPONSE_BYTES = BODY_BUFFER_BYTES,
  PATH_BYTES_MAX = 128, /* in a log line */
  HTTP_BAD_GATEWAY = 502,
  HTTP_UNAVAILABLE = 503,
  HTTP_MISDIRECTED = 421,
  HTTP_SERVER_ERRORS = 500 /* the first one */
};

/* By enum attempt_failure.  */
static const char *const failure_labels[ATTEMPT_FAILURES]
    = { "reason=\"refused\"",   "reason=\"misdirected\"", "reason=\"error\"",
        "reason=\"foreign\"",   "reason=\"unreachable\"", "reason=\"broken\"",
        "reason=\"no-answer\"", "reason=\"late\"" };

/* A late retry starts after this multiple of the expected service time, by
   which nearly all requests are answered.  */
static const double late_retry_factor = 2.0;
/* In a region of higher utilization there are no late retries, since the slot
   is worth more to another request.  */
static const double late_retry_max_utilization = 0.7;
/* Weight of the newest connection in the moving average of a region's RTT.  */
static const double rtt_weight = 0.25;
/* Of the newest response, in the service's mean service time: that of some
   twenty responses, as for the routes.  */
static const double service_time_weight = 0.05;

/* private functions */

/* Updates the mean service time of the service by that of REQUEST's route.  */
static void
update_mean_time (struct request *request)
{
  double *mean = &request->service->uncached_us;
  double newest = request->route_state->service_time.uncached;
  *mean = *mean > 0 ? *mean + service_time_weight * (newest - *mean) : newest;
}

/* Removes the attempt from the upstream's load with RESULT and updates the
   estimates from its latency; called again it has no effect.  */
static void
end_upstream_load (struct request *request, enum load_result result)
{
  struct attempt *attempt = request->attempt;
  apr_time_t now = timer_clock ();
  if (!request->load_is_counted)
    return;
  request->load_is_counted = false;
  apr_time_t until = attempt->has_head ? attempt->head_at : now;
  apr_time_t elapsed
      = until - attempt->started_at - request->gateway->rtts[request->region];
  apr_time_t expected = (apr_time_t)((double)request->service_time
                                     * request->upstream_slowdown);
  load_end_request (&request->upstream->load, result, elapsed, expected, now);
  if (result == LOAD_ANSWERED && elapsed > 0)
    {
      balance_update_service_time (
          &request->route_state->service_time,
          (double)elapsed / request->upstream_slowdown, request->recurs);
      update_mean_time (request);
      affinity_record (fleet_affinity (request->gateway->fleet),
                       request->upstream->incarnation_hash, request->object,
                       now);
    }
  request->gateway->slot_freed = true;
}

/* Updates the RTT to the region if the attempt made a connection.  */
static void
update_rtt (struct request *request)
{
  curl_off_t connect_us = 0;
  long connects = 0;
  CURL *easy = request->attempt->transfer.easy;
  curl_easy_getinfo (easy, CURLINFO_NUM_CONNECTS, &connects);
  curl_easy_getinfo (easy, CURLINFO_CONNECT_TIME_T, &connect_us);
  apr_time_t *rtt = &request->gateway->rtts[request->region];
  if (connects > 0 && connect_us > 0)
    *rtt += (apr_time_t)(rtt_weight * (double)(connect_us - *rtt));
}

/* Returns whether an upstream that has the object cached could still respond
   before the deadline.  */
static bool
has_time_left (const struct request *request)
{
  return timer_clock () + (apr_time_t)request->route_state->service_time.cached
         < stop_limits_deadline (&request->gateway->stop_limits,
                                 request->deadline);
}

/* Returns how often the request may be sent, also when no upstream ran it.  */
static int
max_sends (const struct request *request)
{
  return request->route->kind == PLAN_KIND_UNKNOWN ? 1 : SENDS_MAX;
}

/* Returns whether the request may be sent again after an attempt.  NOT_RUN:
   the upstream certainly did not run it; HAS_ARRIVED: it may have reached the
   upstream.  May take one retry from the budget.  */
static bool
may_retry (struct request *request, bool not_run, bool has_arrived)
{
  if (request->answered || request->send_count >= max_sends (request)
      || request->tried_count >= BALANCE_EXCLUDED_MAX
      || !has_time_left (request) || dispatch_is_turned_away (request))
    return false;
  if (!not_run
      && (!plan_kind_is_idempotent (request->route->kind)
          || request->run_count + 1 >= request->route->max_attempts))
    return false;
  if (!body_can_rewind (&request->body))
    return false;
  /* Sending a request that reached no upstream adds no load to any, so it
     costs nothing of the budget.  */
  return !has_arrived || budget_try_withdraw (&request->service->retry_budget);
}

/* Counts the attempt's end by FAILURE, and logs it.  */
static void
log_attempt_failure (struct request *request, enum attempt_failure failure,
                     const char *reason, bool not_run)
{
  struct gateway *gateway = request->gateway;
  counter_add (gateway->failed_attempts[failure], 1);
  if (!gateway_allow_log_line (gateway))
    return;
  const struct attempt *attempt = request->attempt;
  const struct connection_history *connection = &attempt->connection;
  apr_time_t now = timer_clock ();
  curl_off_t body_bytes = 0;
  /* From the target, which upstreams get; the route may have been found by
     another form of it.  */
  struct str path = httpd_target_path (request->target);
  int path_bytes
      = path.size < PATH_BYTES_MAX ? (int)path.size : PATH_BYTES_MAX;
  curl_easy_getinfo (attempt->transfer.easy, CURLINFO_SIZE_UPLOAD_T,
                     &body_bytes);
  LOG (LOG_INFO, "attempt-failed", LOG_TEXT ("id", request->id.data),
       LOG_TEXT ("upstream", request->upstream->id.data),
       LOG_TEXT ("address", request->upstream->address.data),
       LOG_TEXT ("reason", reason),
       LOG_TEXT ("route", request->route->name.data),
       LOG_TEXT (
           "path",
           str_printf (request->pool, "%.*s", path_bytes, path.data).data),
       LOG_INT ("not_run", not_run), LOG_INT ("status", attempt->status),
       LOG_INT ("send", request->send_count),
       LOG_INT ("connection", connection->local_port),
       LOG_INT ("carried", connection->responses),
       LOG_INT ("last_answer_ms",
                connection->responded_at
                    ? (attempt->started_at - connection->responded_at) / 1000
                    : -1),
       LOG_INT ("body_sent", body_bytes),
       LOG_INT ("busy",
                (int64_t)load_in_flight (&request->upstream->load, now)),
       LOG_INT ("cold", fleet_is_cold (request->upstream, now)),
       LOG_TEXT ("held_for", request->held_for),
       LOG_INT ("record_age_ms", request->record_age_ms),
       LOG_INT ("elapsed_ms", (now - attempt->started_at) / 1000));
}

/* Gives the attempt up, whatever of its response was ready to be forwarded,
   and admits the request for another one.  */
static void
try_another (struct request *request, bool not_run)
{
  request->run_count += !not_run;
  request->tried_upstreams[request->tried_count++] = request->upstream->hash;
  request->response_ready = false;
  request->outcome = 0;
  attempts_cancel (request);
  dispatch_admit (request);
}

/* Sends a request whose upstream answered with an error to another one, and
   returns true; false, and nothing is done, if none can take it now: the
   caller then gets the answer, which is better than a refusal.  */
static bool
retry_error (struct request *request)
{
  if (!plan_kind_is_idempotent (request->route->kind)
      || request->tried_count >= BALANCE_EXCLUDED_MAX)
    return false;
  request->tried_upstreams[request->tried_count++] = request->upstream->hash;
  bool would_send = dispatch_would_send (request);
  request->tried_count--;
  if (!would_send || !may_retry (request, false, true))
    return false;
  log_attempt_failure (request, FAILURE_ERROR, "the upstream failed", false);
  request->may_have_run = true;
  try_another (request, false);
  return true;
}

/* Ends the failed attempt, and tries another upstream if that is allowed, else
   refuses the request with REASON.  */
static void
fail_or_retry (struct request *request, enum attempt_failure failure,
               const char *reason, bool not_run)
{
  bool has_arrived = request->attempt->sent;
  log_attempt_failure (request, failure, reason, not_run);
  if (!not_run)
    request->may_have_run = true;
  if (may_retry (request, not_run, has_arrived))
    {
      try_another (request, not_run);
      return;
    }
  if (!request->may_have_run)
    request->retry_after = dispatch_retry_after (request);
  request_refuse (request,
                  request->may_have_run ? HTTP_BAD_GATEWAY : HTTP_UNAVAILABLE,
                  reason);
}

/* Lets the upstream's response be forwarded to the caller.  */
static void
deliver_response (struct request *request)
{
  request->outcome = REQUEST_SERVED;
  request->response_ready = true;
  request_schedule_resume (request);
}

/* Returns whether the response says that the request was not run.  */
static bool
is_refusal (const struct attempt *attempt)
{
  return attempt->status == HTTP_MISDIRECTED
         || headers_has (&attempt->headers, STR (PLATFORM_NOT_EXECUTED));
}

/* Ends an attempt that the upstream refused to run, and tries another one.  */
static void
handle_refusal (struct request *request)
{
  struct gateway *gateway = request->gateway;
  bool is_misdirected = request->attempt->status == HTTP_MISDIRECTED;
  end_upstream_load (request,
                     is_misdirected ? LOAD_UNREACHABLE : LOAD_REFUSED);
  if (is_misdirected)
    {
      cold_doubt_upstream (gateway, request->upstream, request->id, false,
                           "another upstream has the address");
      reachability_report (gateway->reachability, request->upstream, true);
    }
  fail_or_retry (request,
                 is_misdirected ? FAILURE_MISDIRECTED : FAILURE_REFUSED,
                 is_misdirected ? "another upstream has the address"
                                : "the upstream refused the request",
                 true);
}

/* Ends an attempt without a usable response, as fail_or_retry does.  If a part
   of its response was forwarded already, that response fails.  */
static void
handle_failure (struct request *request, const char *reason)
{
  struct attempt *attempt = request->attempt;
  bool not_run = !attempt->sent;
  long cause = 0;
  curl_easy_getinfo (attempt->transfer.easy, CURLINFO_OS_ERRNO, &cause);
  /* ETIMEDOUT: sent data stayed unacknowledged.  */
  bool is_unreachable = not_run || cause == ETIMEDOUT;
  bool is_foreign = attempt->result == CURLE_OK || attempt->echo_mismatch;
  enum attempt_failure failure = is_foreign       ? FAILURE_FOREIGN
                                 : is_unreachable ? FAILURE_UNREACHABLE
                                                  : FAILURE_BROKEN;
  end_upstream_load (request, is_unreachable ? LOAD_UNREACHABLE : LOAD_FAILED);
  /* A response to another request shows that the process is there.  */
  if (!is_foreign)
    cold_doubt_upstream (request->gateway, request->upstream, request->id,
                         !is_unreachable, reason);
  if (is_unreachable)
    reachability_report (request->gateway->reachability, request->upstream,
                         cause == ECONNREFUSED);
  if (request->answered)
    {
      /* The callback that reads the response ends it with an error, so that
         the caller can't take it for complete.  */
      counter_add (request->gateway->failed_attempts[failure], 1);
      request->may_have_run = true;
      request->outcome = REQUEST_FAILED;
      request_schedule_resume (request);
      return;
    }
  fail_or_retry (request, failure, reason, not_run);
}

/* Handles the end of an attempt: forwards its response, or acts on a refusal
   or a failure.  */
static void
handle_attempt_done (struct request *request)
{
  struct attempt *attempt = request->attempt;
  update_rtt (request);
  if (attempt->result != CURLE_OK)
    {
      handle_failure (request, attempt_failure_reason (attempt));
      return;
    }
  if (request->answered)
    {
      end_upstream_load (request, LOAD_ANSWERED);
      request_schedule_resume (request);
      return;
    }
  if (is_refusal (attempt))
    {
      handle_refusal (request);
      return;
    }
  if (!headers_has (&attempt->headers, STR (PLATFORM_SERVER_STAMP)))
    {
      handle_failure (request, "the answer is not the upstream's");
      return;
    }
  bool is_error = attempt->status >= HTTP_SERVER_ERRORS;
  end_upstream_load (request, is_error ? LOAD_FAILED : LOAD_ANSWERED);
  if (!is_error || !retry_error (request))
    deliver_response (request);
}

/* Returns whether the response stays buffered until it is complete.  */
static bool
is_buffered (const struct attempt *attempt)
{
  if (attempt->response_size >= 0)
    return attempt_response_fits (attempt);
  /* Its size is not known.  At most half of the buffer is used, so that
     libcurl never has to pause.  */
  return body_unread (&attempt->response)
         < attempt->desc.max_response_bytes / 2;
}

/* Returns the upstream that the response comes from, or NULL if that is not
   known: another one may have the address.  */
static struct fleet_upstream *
responding_upstream (const struct request *request)
{
  const struct attempt *attempt = request->attempt;
  struct str id = headers_get (&attempt->headers, PLATFORM_INSTANCE);
  if (id.size == 0 || str_equal (id, request->upstream->id))
    return attempt->status == HTTP_MISDIRECTED ? NULL : request->upstream;
  struct fleet_upstream *upstream = fleet_find (request->gateway->fleet, id);
  return upstream && str_equal (upstream->address, request->upstream->address)
             ? upstream
             : NULL;
}

/* Applies that UPSTREAM said in the response to REQUEST that it is
   leaving.  */
static void
handle_leaving (struct request *request, struct fleet_upstream *upstream,
                apr_time_t now)
{
  struct gateway *gateway = request->gateway;
  if (!fleet_mark_leaving (gateway->fleet, upstream, now))
    return;
  gateway->upstreams_changed = true;
  counter_add (gateway->leaving_by_response, 1);
  LOG (LOG_INFO, "upstream-says-leaving", LOG_TEXT ("id", request->id.data),
       LOG_TEXT ("upstream", upstream->id.data),
       LOG_TEXT ("service", upstream->service.data),
       LOG_TEXT ("address", upstream->address.data),
       LOG_INT ("born", upstream->incarnation),
       LOG_INT ("status", request->attempt->status));
}

/* Applies that UPSTREAM refused REQUEST and wants none for STATED.  */
static void
handle_turned_away (struct request *request, struct fleet_upstream *upstream,
                    apr_time_t stated, apr_time_t now)
{
  struct gateway *gateway = request->gateway;
  apr_time_t max = (apr_time_t)(gateway->settings.retry.turned_away_max_s
                                * APR_USEC_PER_SEC);
  apr_time_t delay = load_return_delay (
      registry_rank (gateway->registry, upstream->hash, upstream->region),
      registry_count (gateway->registry));
  apr_time_t wait = (stated < max ? stated : max) + delay;
  if (stated == 0)
    return;
  fleet_turn_away (gateway->fleet, upstream, wait, stated, now);
  gateway->upstreams_changed = true;
  counter_add (gateway->turned_away, 1);
  if (gateway_allow_log_line (gateway))
    LOG (LOG_INFO, "upstream-turned-away", LOG_TEXT ("id", request->id.data),
         LOG_TEXT ("upstream", upstream->id.data),
         LOG_TEXT ("service", upstream->service.data),
         LOG_TEXT ("address", upstream->address.data),
         LOG_INT ("born", upstream->incarnation),
         LOG_INT ("stated_ms", stated / 1000),
         LOG_INT ("wait_ms", wait / 1000));
}

/* Applies what the head of a response says of the upstream, whatever becomes
   of the response.  */
static void
handle_head (struct request *request)
{
  const struct headers *headers = &request->attempt->headers;
  apr_time_t now = timer_clock ();
  struct load_report report;
  apr_time_t wait;
  if (is_refusal (request->attempt)
      || !headers_has (headers, STR (PLATFORM_SERVER_STAMP))
      || request->attempt->status >= HTTP_SERVER_ERRORS)
    attempt_close_connection (request->attempt);
  if (decode_load (headers_get (headers, PLATFORM_LOAD), &report))
    {
      load_apply_report (&request->upstream->load, &report, now);
      balance_add_report (&request->service->reports[request->region],
                          report.running + report.waiting, now);
    }
  struct fleet_upstream *upstream = responding_upstream (request);
  if (!upstream)
    return;
  if (decode_leaving (headers_get (headers, PLATFORM_LEAVING)))
    handle_leaving (request, upstream, now);
  if (request->attempt->status == HTTP_UNAVAILABLE
      && decode_retry_after (headers_get (headers, PLATFORM_RETRY_AFTER),
                             headers_get (headers, PLATFORM_DATE),
                             apr_time_now (), &wait))
    handle_turned_away (request, upstream, wait, now);
}

static void
on_attempt_event (void *user_data, struct attempt *attempt,
                  enum attempt_event event)
{
  struct request *request = user_data;
  switch (event)
    {
    case ATTEMPT_HEAD:
      handle_head (request);
      break;
    case ATTEMPT_DATA:
      if (request->answered)
        request_schedule_resume (request);
      else if (is_refusal (attempt)
               || !headers_has (&attempt->headers,
                                STR (PLATFORM_SERVER_STAMP)))
        attempt_drop_response (attempt);
      else if (!is_buffered (attempt))
        {
          /* libmicrohttpd sends nothing before it has the whole body.  */
          if (request_needs_body (request)
              && memory_has_room (request->gateway, EARLY_RESPONSE_BYTES))
            attempt_extend_response (attempt, EARLY_RESPONSE_BYTES);
          deliver_response (request);
        }
      break;
    case ATTEMPT_BODY_SPACE:
      if (body_space (&request->body) >= request->body.limit / 2)
        request_schedule_resume (request);
      break;
    case ATTEMPT_DONE:
      handle_attempt_done (request);
      break;
    }
}

/* Returns the headers that are set on the request to UPSTREAM, instead of the
   caller's.  */
static const struct headers *
build_override_headers (struct request *request,
                        const struct fleet_upstream *upstream, apr_time_t now)
{
  struct headers *set = apr_palloc (request->pool, sizeof *set);
  /* The response takes half a round trip to arrive.  */
  apr_time_t left
      = request->deadline - now - request->gateway->rtts[request->region] / 2;
  headers_init (set, request->pool);
  headers_add (set, STR (PLATFORM_REQUEST_ID), request->id);
  headers_add (set, STR (PLATFORM_EXPECTED_INSTANCE), upstream->id);
  if (request->tenant)
    headers_add (set, STR (PLATFORM_TENANT), request->tenant->name);
  headers_add (set, STR (PLATFORM_DEADLINE),
               str_printf (request->pool, "%lld",
                           (long long)(left > 0 ? left / 1000 : 0)));
  return set;
}

static void start_late_retry_timer (struct request *request);

void
attempts_start (struct request *request, const struct balance_choice *choice)
{
  struct gateway *gateway = request->gateway;
  struct fleet_upstream *upstream = choice->upstream;
  apr_time_t now = timer_clock ();
  if (request->upstream)
    fleet_upstream_unref (request->upstream);
  request->upstream = fleet_upstream_ref (upstream);
  request->service_time = choice->service_time;
  request->object_cached = choice->object_cached;
  request->held_for = fleet_is_cold (upstream, now) ? "cold" : "warm";
  request->record_age_ms = store_sync_age (gateway->store_sync, now) / 1000;
  cold_check_first_send (gateway, upstream, request->id, now);
  request->upstream_slowdown = upstream->load.reported_slowdown > 0
                                   ? upstream->load.reported_slowdown
                                   : 1.0;
  tenant_quota_charge (request);
  load_begin_request (&upstream->load, now);
  request->load_is_counted = true;
  request->send_count++;
  request->route_state->sent_at = now;
  if (request->first_sent_at == 0)
    request->first_sent_at = now;
  int64_t margin_ms = 2 * gateway->rtts[request->region] / 1000;
  struct attempt_desc desc = {
    .curl_loop = gateway->curl_loop,
    .pool = request->pool,
    .address = upstream->address,
    .method = request->method,
    .target = request->target,
    .request_id = request->id,
    .headers = &request->headers,
    .override_headers = build_override_headers (request, upstream, now),
    .is_head = request->is_head,
    .body_size = request->body_size,
    .deadline = request->deadline,
    .connect_timeout_ms = CONNECT_TIMEOUT_MS + margin_ms,
    .tcp_user_timeout_ms = UNACKNOWLEDGED_MS + margin_ms,
    .max_idle_s = GATEWAY_MAX_IDLE_S,
    .connections = connections_get (gateway->connections, upstream->address),
    .max_idle_connections = GATEWAY_UPSTREAM_REQUESTS_MAX,
    .must_echo = true,
    .body = &request->body,
    .body_ended = &request->body_complete,
    .max_response_bytes = RESPONSE_BUFFER_BYTES,
    .event = on_attempt_event,
    .user_data = request,
  };
  /* Not before the attempt in front of it, which reads the same bytes, has
     ended.  */
  body_rewind (&request->body);
  request->attempt = attempt_start (&desc);
  start_late_retry_timer (request);
}

/* Late retries: when a request that may run twice has had no response for
   longer than nearly all requests take, its attempt is cancelled and another
   upstream gets the request, if that one can still respond within the target
   latency.  This limits the effect of the few requests that run many times
   longer than the others, and of lost responses.  */

static void
on_late_retry_due (void *user_data, apr_time_t now)
{
  struct request *request = user_data;
  struct attempt *attempt = request->attempt;
  /* A stop breaks off no work that an upstream may still finish.  */
  if (!attempt || attempt->done || attempt->has_head
      || !request->load_is_counted || request->gateway->leaving
      || store_sync_is_catching_up (request->gateway->store_sync)
      || request->run_count + 1 >= request->route->max_attempts
      || request->send_count >= max_sends (request)
      || request->tried_count >= BALANCE_EXCLUDED_MAX
      || dispatch_utilization (request) > late_retry_max_utilization)
    return;
  request->tried_upstreams[request->tried_count++] = request->upstream->hash;
  struct balance_choice choice = dispatch_choose_upstream (request);
  if (!choice.upstream || now + choice.expected_latency > request->target_at
      || !body_can_rewind (&request->body)
      || !budget_try_withdraw (&request->service->retry_budget))
    {
      request->tried_count--;
      return;
    }
  request->may_have_run |= attempt->sent;
  request->run_count += attempt->sent;
  log_attempt_failure (request, FAILURE_LATE, "late; sent to another upstream",
                       false);
  end_upstream_load (request, LOAD_SUPERSEDED);
  attempts_cancel (request);
  attempts_start (request, &choice);
}

static void
start_late_retry_timer (struct request *request)
{
  struct gateway *gateway = request->gateway;
  double expected = (double)request->service_time * request->upstream_slowdown;
  if (!plan_kind_is_idempotent (request->route->kind)
      || request->run_count + 1 >= request->route->max_attempts)
    return;
  timer_start (loop_timers (gateway->loop), &request->late_retry_timer,
               timer_clock () + (apr_time_t)(expected * late_retry_factor)
                   + gateway->rtts[request->region],
               on_late_retry_due, request);
}

/* public functions */

void
attempts_create_counters (struct gateway *gateway)
{
  for (int i = 0; i < ATTEMPT_FAILURES; i++)
    gateway->failed_attempts[i] = counter_get (
        gateway->counters, "citroncleat_failed_attempts_total",
        failure_labels[i],
        "Attempts at upstreams that ended without a usable response.");
}

void
attempts_cancel (struct request *request)
{
  if (!request->attempt)
    return;
  end_upstream_load (request, LOAD_CANCELLED);
  attempt_destroy (request->attempt);
  request->attempt = NULL;
}

void
attempts_record_timeout (struct request *request)
{
  if (!request->attempt || !request->attempt->sent)
    return;
  request->may_have_run = true;
  if (request->attempt->has_head || !request->load_is_counted)
    return;
  counter_add (request->gateway->failed_attempts[FAILURE_NO_ANSWER], 1);
  end_upstream_load (request, LOAD_TIMED_OUT);
}
