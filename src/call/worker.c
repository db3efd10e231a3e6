#include "call/worker.h"

#include "call/cancelled.h"
#include "call/requests.h"
#include "call/worker_internal.h"

#include <pthread.h>
#include <signal.h>
#include <sodium.h>

/* constants */

enum
{
  SWEEP_INTERVAL_MS = 200,
  MAX_IDLE_CONNECTIONS = 4096 /* to all upstreams together */
};

/* The retries that each call earns, and the most that can be saved up and then
   be started in a burst.  */
#define RETRIES_PER_CALL 0.18
#define MAX_SAVED_RETRIES 10.0

/* private functions */

/* Resumes the calls in the list `ready'; returns whether there were any.  */
static bool
resume_ready_calls (struct call_context *context)
{
  bool any = false;
  while (context->ready)
    {
      struct call *call = context->ready;
      context->ready = call->next_ready;
      if (context->ready)
        context->ready->ready_link = &context->ready;
      call->ready_link = NULL;
      call->suspended = false;
      httpd_resume (context->httpd, call->connection);
      any = true;
    }
  return any;
}

static bool
try_dispatch_call (void *user_data, void *call)
{
  (void)user_data;
  return call_try_dispatch (call);
}

/* Runs at the end of each event loop iteration: dispatches waiting calls and
   resumes calls, once for all events of the iteration.  */
static void
on_iteration_end (void *user_data)
{
  struct worker *worker = user_data;
  struct call_context *context = &worker->context;
  do
    {
      if (context->slot_freed)
        {
          context->slot_freed = false;
          queue_offer (context->queue, try_dispatch_call, NULL);
        }
      if (resume_ready_calls (context))
        httpd_run (context->httpd);
    }
  while (context->ready || context->slot_freed);
  atomic_store (&worker->in_flight, context->in_flight);
  atomic_store (&worker->queued, (int64_t)queue_length (context->queue));
  atomic_store (&worker->open_requests, context->open_requests);
  if (context->listener_closed
      && (context->open_requests == 0 || context->calls_ended))
    atomic_store (&worker->is_idle, httpd_finish_responses (context->httpd)
                                        && context->open_requests == 0);
}

/* Periodically checks for callers that closed a suspended connection, which
   raises no event, and for slots that became free by the passage of time alone
   (ramps, ejections).  */
static void
on_sweep (void *user_data, apr_time_t now)
{
  struct worker *worker = user_data;
  struct call_context *context = &worker->context;
  for (struct call *call = context->calls; call; call = call->next)
    if (call->suspended && !call->caller_closed
        && httpd_caller_has_closed (call->connection))
      {
        call->caller_closed = true;
        call_schedule_resume (call);
      }
  context->slot_freed = true;
  timer_start (loop_timers (context->loop), &worker->sweep,
               now + TIMER_MS (SWEEP_INTERVAL_MS), on_sweep, worker);
}

static void *APR_THREAD_FUNC
run_thread (apr_thread_t *thread, void *user_data)
{
  (void)thread;
  struct worker *worker = user_data;
  sigset_t all;
  sigfillset (&all);
  pthread_sigmask (SIG_BLOCK, &all, NULL);
  loop_run (worker->context.loop);
  return NULL;
}

/* public functions */

enum err_code
worker_create (apr_pool_t *pool, const struct worker_desc *desc,
               struct worker **result, struct err *err)
{
  struct worker *worker = apr_pcalloc (pool, sizeof *worker);
  struct call_context *context = &worker->context;
  worker->desc = *desc;
  worker->pool = pool;
  context->settings = desc->settings;
  context->counters = desc->counters;
  context->burn = desc->burn;
  context->pool = pool;
  context->service_counters = apr_hash_make (pool);
  budget_init (&context->retries, RETRIES_PER_CALL, MAX_SAVED_RETRIES,
               MAX_SAVED_RETRIES, 0);
  enum err_code code = loop_create (pool, &context->loop, err);
  if (code != ERR_NONE)
    return code;
  code = curl_loop_create (pool, context->loop, MAX_IDLE_CONNECTIONS,
                           &context->curl_loop, err);
  if (code != ERR_NONE)
    return code;
  randombytes_buf (&context->id_base, sizeof context->id_base);
  struct steer_desc steer_desc = { .region = desc->settings->region,
                                   .share = { .entry = desc->settings->name,
                                              .incarnation = desc->incarnation,
                                              .seed = context->id_base,
                                              .send = worker_shares_send,
                                              .user_data = worker },
                                   .seed = context->id_base };
  context->steer = steer_create (pool, &steer_desc);
  context->queue = queue_create (pool);
  context->connections = connections_create (pool);
  context->snapshot = snapshot_create (0);
  context->roster = roster_create (NULL, 0);
  steer_apply (context->steer, context->snapshot, timer_clock ());
  worker->membership = membership_empty ();
  steer_set_membership (context->steer, worker->membership, 0);
  context->lookups = counter_get (desc->counters, "citroncleat_lookups_total",
                                  "", "Look-ups answered.");
  loop_set_iteration_callback (context->loop, on_iteration_end, worker);
  *result = worker;
  return ERR_NONE;
}

enum err_code
worker_start (struct worker *worker, struct err *err)
{
  const struct settings_limits *limits = &worker->desc.settings->limits;
  struct httpd_desc desc = { .loop = worker->context.loop,
                             .name = "callers",
                             .counters = worker->desc.counters,
                             .describe = requests_describe,
                             .address = worker->desc.settings->listen.callers,
                             .handler = requests_handle,
                             .request_started = requests_begin,
                             .request_completed = requests_completed,
                             .user_data = &worker->context,
                             .max_connections = limits->caller_connections,
                             .connection_bytes = limits->header_bytes,
                             .header_timeout_s = limits->header_timeout_s,
                             .idle_timeout_s = limits->idle_timeout_s };
  enum err_code code
      = httpd_create (worker->pool, &desc, &worker->context.httpd, err);
  if (code != ERR_NONE)
    return code;
  on_sweep (worker, timer_clock ());
  worker_shares_start (worker);
  if (apr_thread_create (&worker->thread, NULL, run_thread, worker,
                         worker->pool)
      != APR_SUCCESS)
    return err_set (err, ERR_IO, "start worker", NULL, "no thread");
  return ERR_NONE;
}

void
worker_stop (struct worker *worker)
{
  if (!worker || !worker->thread)
    return;
  apr_status_t status;
  worker_post_stop (worker);
  apr_thread_join (&status, worker->thread);
  worker->thread = NULL;
  worker->has_stopped = true;
}

void
worker_destroy (struct worker *worker)
{
  if (!worker)
    return;
  struct call_context *context = &worker->context;
  worker_stop (worker);
  timer_stop (loop_timers (context->loop), &worker->sweep);
  timer_stop (loop_timers (context->loop), &worker->share_timer);
  for (struct call *call = context->calls; call; call = call->next)
    if (call->suspended)
      {
        call->suspended = false;
        call->caller_closed = true;
        httpd_resume (context->httpd, call->connection);
      }
  httpd_destroy (context->httpd);
  curl_loop_destroy (context->curl_loop);
  cancelled_free_all (context);
  steer_destroy (context->steer);
  snapshot_unref (context->snapshot);
  roster_unref (context->roster);
  membership_unref (worker->membership);
  loop_destroy (context->loop);
}

int64_t
worker_in_flight (const struct worker *worker)
{
  return atomic_load (&worker->in_flight);
}

int64_t
worker_queued (const struct worker *worker)
{
  return atomic_load (&worker->queued);
}

int64_t
worker_open_requests (const struct worker *worker)
{
  return atomic_load (&worker->open_requests);
}

bool
worker_is_idle (const struct worker *worker)
{
  return atomic_load (&worker->is_idle);
}
