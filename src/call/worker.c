#include "call/worker.h"

#include "call/call.h"
#include "call/cancelled.h"
#include "call/lookup.h"
#include "call/requests.h"

#include <apr_strings.h>
#include <apr_thread_proc.h>
#include <pthread.h>
#include <signal.h>
#include <sodium.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <string.h>

/* types */

struct worker
{
  struct worker_desc desc;
  apr_pool_t *pool;
  apr_thread_t *thread;
  bool has_stopped; /* the thread has ended */
  struct call_context context;
  struct timer sweep;
  struct timer share_timer;
  struct membership *membership;
  int64_t confirmed;
  apr_time_t adopted_at; /* when `membership' was */
  _Atomic int64_t in_flight;
  _Atomic int64_t queued;
  _Atomic int64_t open;
};

/* What another thread hands to the worker's thread.  */
struct order
{
  struct worker *worker;
  struct snapshot *snapshot;
  struct roster *roster;
  struct membership *membership;
  char upstream[64];
  int source;
  bool flag;
  int64_t number;
  void (*done) (void *part, json_object *view);
  void *part;
  json_object *view;
};

/* A message about shares on its way between the two threads; the names of
   its items are held here.  */
struct share_order
{
  struct worker *worker;
  char peer[64];
  char names[SHARE_ITEMS_MAX][64];
  struct share_message message;
};

/* constants */

enum
{
  SWEEP_MS = 200,
  SHARE_TICK_MS = 5,
  LINK_WINDOW_MS = 100,  /* bytes of a second count this long */
  HOLD_MARGIN_MS = 1000, /* for an upstream to see its deadline pass */
  DISTANCE_DEFAULT_MS = 10,
  IDLE_CONNECTIONS = 4096
};

/* Retries that each call earns, and that can be saved up.  */
#define RETRY_EARNED 0.18
#define RETRIES_SAVED 10.0

/* private functions */

/* The worker's round of events.  */

static bool
resume_ready (struct call_context *context)
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
place_call (void *part, void *call)
{
  (void)part;
  return call_place (call);
}

static void
on_round_end (void *part)
{
  struct worker *worker = part;
  struct call_context *context = &worker->context;
  do
    {
      if (context->slot_freed)
        {
          context->slot_freed = false;
          queue_offer (context->queue, place_call, NULL);
        }
      if (resume_ready (context))
        httpd_run (context->httpd);
    }
  while (context->ready || context->slot_freed);
  atomic_store (&worker->in_flight, context->in_flight);
  atomic_store (&worker->queued, (int64_t)queue_length (context->queue));
  atomic_store (&worker->open, context->open);
}

/* Looks for callers that left while their connection was suspended, and for
   slots that time alone has opened (ramps, ejections).  */
static void
on_sweep (void *part, apr_time_t now)
{
  struct worker *worker = part;
  struct call_context *context = &worker->context;
  for (struct call *call = context->calls; call; call = call->next)
    if (call->suspended && !call->gone && httpd_is_gone (call->connection))
      {
        call->gone = true;
        call_wake (call);
      }
  context->slot_freed = true;
  timer_start (loop_timers (context->loop), &worker->sweep,
               now + TIMER_MS (SWEEP_MS), on_sweep, worker);
}

static void *APR_THREAD_FUNC
run_thread (apr_thread_t *thread, void *part)
{
  (void)thread;
  struct worker *worker = part;
  sigset_t all;
  sigfillset (&all);
  pthread_sigmask (SIG_BLOCK, &all, NULL);
  loop_run (worker->context.loop);
  return NULL;
}

/* Orders from the control thread.  */

static struct order *
order_create (struct worker *worker)
{
  struct order *order = calloc (1, sizeof *order);
  if (!order)
    abort ();
  order->worker = worker;
  return order;
}

static void
order_destroy (struct order *order)
{
  snapshot_unref (order->snapshot);
  roster_unref (order->roster);
  membership_unref (order->membership);
  free (order);
}

/* Hands ORDER over; a worker that has stopped takes none.  */
static void
post (struct order *order, loop_task_fn *run)
{
  if (order->worker->has_stopped)
    order_destroy (order);
  else
    loop_post (order->worker->context.loop, run, order);
}

/* Shares.  */

static struct share_order *
share_order_create (struct worker *worker, struct str peer,
                    const struct share_message *message)
{
  struct share_order *order = calloc (1, sizeof *order);
  if (!order)
    abort ();
  order->worker = worker;
  order->message = *message;
  snprintf (order->peer, sizeof order->peer, "%.*s", STR_ARGS (peer));
  for (size_t i = 0; i < message->count; i++)
    {
      snprintf (order->names[i], sizeof order->names[i], "%.*s",
                STR_ARGS (message->items[i].name));
      order->message.items[i].name = str_from (order->names[i]);
    }
  return order;
}

static void
deliver_share (void *part)
{
  struct share_order *order = part;
  const struct worker_desc *desc = &order->worker->desc;
  desc->send_share (desc->part, str_from (order->peer), &order->message);
  free (order);
}

static void
send_share (void *part, struct str to, const struct share_message *message)
{
  struct worker *worker = part;
  loop_post (worker->desc.control, deliver_share,
             share_order_create (worker, to, message));
}

static void
take_share (void *part)
{
  struct share_order *order = part;
  struct call_context *context = &order->worker->context;
  share_receive (steer_share (context->steer), str_from (order->peer),
                 &order->message, timer_clock ());
  context->slot_freed = true;
  free (order);
}

static void
deliver_confirmed (void *part)
{
  struct order *order = part;
  const struct worker_desc *desc = &order->worker->desc;
  desc->confirmed (desc->part, order->number);
  free (order);
}

/* Confirms the membership in force once all uses fit it.  */
static void
confirm_membership (struct worker *worker, apr_time_t now)
{
  int64_t version = worker->membership->version;
  if (worker->confirmed == version
      || now < worker->adopted_at + TIMER_MS (LINK_WINDOW_MS)
      || !steer_is_settled (worker->context.steer, now))
    return;
  worker->confirmed = version;
  struct order *order = order_create (worker);
  order->number = version;
  loop_post (worker->desc.control, deliver_confirmed, order);
}

static void
on_share_tick (void *part, apr_time_t now)
{
  struct worker *worker = part;
  struct call_context *context = &worker->context;
  SNAPSHOT_EACH (context->snapshot, KIND_SERVICE, const struct service, s)
  {
    struct str name = s->head.name;
    steer_want (context->steer, s, queue_service_length (context->queue, name),
                now);
  }
  steer_want_links (context->steer, now);
  share_tick (steer_share (context->steer), now);
  context->slot_freed |= context->connections_short;
  context->connections_short = false;
  confirm_membership (worker, now);
  for (struct call *call = context->calls; call; call = call->next)
    {
      if (call->attempt && call->attempt->paused_by_link)
        attempt_continue (call->attempt);
      if (call->hedge && call->hedge->paused_by_link)
        attempt_continue (call->hedge);
    }
  timer_start (loop_timers (context->loop), &worker->share_timer,
               now + TIMER_MS (SHARE_TICK_MS), on_share_tick, worker);
}

/* Tells the shares which entries may lend, and how far they are.  */
static void
set_share_peers (struct worker *worker)
{
  struct call_context *context = &worker->context;
  const struct roster *roster = context->roster;
  struct share_peer *peers = calloc (roster->count + 1, sizeof *peers);
  size_t count = 0;
  if (!peers)
    abort ();
  for (size_t i = 0; i < roster->count; i++)
    {
      const struct roster_member *m = &roster->members[i];
      if (m->is_self || !m->alive)
        continue;
      int64_t distance_ms = lookup_distance_ms (
          context->snapshot, worker->desc.settings->region, m->beat.region);
      peers[count++] = (struct share_peer){ m->beat.name, m->beat.region,
                                            2000 * distance_ms };
    }
  share_set_peers (steer_share (context->steer), peers, count);
  free (peers);
}

/* Sets how long a call may last, which loans outlive.  */
static void
set_share_hold (struct call_context *context)
{
  int64_t longest = 0;
  SNAPSHOT_EACH (context->snapshot, KIND_SERVICE, const struct service, s)
  {
    const struct route *routes = s->routes.items;
    if (s->deadline_ms > longest)
      longest = s->deadline_ms;
    for (size_t i = 0; i < s->routes.count; i++)
      if (routes[i].deadline_ms > longest)
        longest = routes[i].deadline_ms;
  }
  share_set_hold (steer_share (context->steer),
                  TIMER_MS (longest + HOLD_MARGIN_MS));
}

static void
take_snapshot (void *part)
{
  struct order *order = part;
  struct call_context *context = &order->worker->context;
  struct snapshot *old = context->snapshot;
  context->snapshot = order->snapshot;
  steer_apply (context->steer, context->snapshot, timer_clock ());
  struct call *next;
  for (struct call *call = context->calls; call; call = next)
    {
      next = call->next;
      call_rebind (call);
    }
  snapshot_unref (old);
  set_share_hold (context);
  set_share_peers (order->worker);
  context->slot_freed = true;
  free (order);
}

static void
take_roster (void *part)
{
  struct order *order = part;
  struct call_context *context = &order->worker->context;
  roster_unref (context->roster);
  context->roster = order->roster;
  set_share_peers (order->worker);
  context->slot_freed = true;
  free (order);
}

static void
take_membership (void *part)
{
  struct order *order = part;
  struct worker *worker = order->worker;
  struct membership *old = worker->membership;
  if (order->membership->version > old->version)
    worker->adopted_at = timer_clock ();
  worker->membership = order->membership;
  steer_set_membership (worker->context.steer, worker->membership,
                        order->number);
  membership_unref (old);
  worker->context.slot_freed = true;
  free (order);
}

static void
take_leaving (void *part)
{
  struct order *order = part;
  order->worker->context.leaving = true;
  free (order);
}

static void
take_close (void *part)
{
  struct order *order = part;
  httpd_close_listener (order->worker->context.httpd);
  free (order);
}

static void
take_stop (void *part)
{
  struct order *order = part;
  loop_stop (order->worker->context.loop);
  free (order);
}

static void
take_upstream_leaving (void *part)
{
  struct order *order = part;
  struct call_context *context = &order->worker->context;
  steer_set_leaving (context->steer, str_from (order->upstream),
                     (enum leaving_source)order->source, order->flag,
                     timer_clock ());
  context->slot_freed = true;
  free (order);
}

static void
take_load (void *part)
{
  struct order *order = part;
  steer_report (order->worker->context.steer, str_from (order->upstream),
                order->number, timer_clock ());
  free (order);
}

static json_object *
view_upstream (struct call_context *context, const struct upstream *upstream)
{
  struct steer_view view
      = steer_query (context->steer, upstream->head.name, timer_clock ());
  json_object *item = json_object_new_object ();
  json_object_object_add (item, "in_flight",
                          json_object_new_int64 (view.in_flight));
  json_object_object_add (item, "limit", json_object_new_int64 (view.limit));
  json_object_object_add (item, "response_us",
                          json_object_new_int64 (view.response_us));
  json_object_object_add (item, "leaving",
                          json_object_new_boolean (view.leaving != 0));
  json_object_object_add (item, "ejected",
                          json_object_new_boolean (view.ejected));
  return item;
}

static json_object *
view_service (struct call_context *context, const struct service *service)
{
  struct str name = service->head.name;
  size_t waiting = queue_service_length (context->queue, name);
  json_object *item = json_object_new_object ();
  json_object_object_add (item, "queued",
                          json_object_new_int64 ((int64_t)waiting));
  json_object_object_add (
      item, "expected_wait_us",
      json_object_new_int64 (steer_expected_wait (context->steer, service,
                                                  waiting, timer_clock ())));
  json_object_object_add (item, "saturated",
                          json_object_new_boolean (waiting > 0));
  return item;
}

static void
deliver_view (void *part)
{
  struct order *order = part;
  order->done (order->part, order->view);
  free (order);
}

static void
take_query (void *part)
{
  struct order *order = part;
  struct call_context *context = &order->worker->context;
  json_object *upstreams = json_object_new_object ();
  json_object *services = json_object_new_object ();
  SNAPSHOT_EACH (context->snapshot, KIND_UPSTREAM, const struct upstream, u)
  {
    json_object_object_add (upstreams, u->head.name.data,
                            view_upstream (context, u));
  }
  SNAPSHOT_EACH (context->snapshot, KIND_SERVICE, const struct service, s)
  {
    json_object_object_add (services, s->head.name.data,
                            view_service (context, s));
  }
  order->view = json_object_new_object ();
  json_object_object_add (order->view, "upstreams", upstreams);
  json_object_object_add (order->view, "services", services);
  loop_post (order->worker->desc.control, deliver_view, order);
}

static void
set_upstream (struct order *order, struct str upstream)
{
  snprintf (order->upstream, sizeof order->upstream, "%.*s",
            STR_ARGS (upstream));
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
  budget_init (&context->retries, RETRY_EARNED, RETRIES_SAVED);
  enum err_code code = loop_create (pool, &context->loop, err);
  if (code != ERR_NONE)
    return code;
  code = curl_loop_create (pool, context->loop, IDLE_CONNECTIONS,
                           &context->curl_loop, err);
  if (code != ERR_NONE)
    return code;
  randombytes_buf (&context->id_base, sizeof context->id_base);
  struct steer_desc steer_desc = { .region = desc->settings->region,
                                   .share = { .entry = desc->settings->name,
                                              .incarnation = desc->incarnation,
                                              .seed = context->id_base,
                                              .send = send_share,
                                              .part = worker },
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
  loop_at_round_end (context->loop, on_round_end, worker);
  *result = worker;
  return ERR_NONE;
}

enum err_code
worker_start (struct worker *worker, struct err *err)
{
  const struct settings_limits *limits = &worker->desc.settings->limits;
  struct httpd_desc desc = { .loop = worker->context.loop,
                             .address = worker->desc.settings->listen.callers,
                             .handler = requests_handle,
                             .begin = requests_begin,
                             .completed = requests_completed,
                             .part = &worker->context,
                             .connections = limits->caller_connections,
                             .header_bytes = limits->header_bytes,
                             .header_timeout_s = limits->header_timeout_s,
                             .idle_timeout_s = limits->idle_timeout_s };
  enum err_code code
      = httpd_create (worker->pool, &desc, &worker->context.httpd, err);
  if (code != ERR_NONE)
    return code;
  on_sweep (worker, timer_clock ());
  on_share_tick (worker, timer_clock ());
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
  post (order_create (worker), take_stop);
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
        call->gone = true;
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

void
worker_set_snapshot (struct worker *worker, struct snapshot *snapshot)
{
  struct order *order = order_create (worker);
  order->snapshot = snapshot_ref (snapshot);
  post (order, take_snapshot);
}

void
worker_set_roster (struct worker *worker, struct roster *roster)
{
  struct order *order = order_create (worker);
  order->roster = roster_ref (roster);
  post (order, take_roster);
}

void
worker_set_membership (struct worker *worker, struct membership *membership,
                       int64_t least)
{
  struct order *order = order_create (worker);
  order->membership = membership_ref (membership);
  order->number = least;
  post (order, take_membership);
}

void
worker_set_leaving (struct worker *worker)
{
  post (order_create (worker), take_leaving);
}

void
worker_close_listener (struct worker *worker)
{
  post (order_create (worker), take_close);
}

void
worker_set_upstream_leaving (struct worker *worker, struct str upstream,
                             enum leaving_source source, bool leaving)
{
  struct order *order = order_create (worker);
  set_upstream (order, upstream);
  order->source = (int)source;
  order->flag = leaving;
  post (order, take_upstream_leaving);
}

void
worker_report_load (struct worker *worker, struct str upstream,
                    int64_t percent)
{
  struct order *order = order_create (worker);
  set_upstream (order, upstream);
  order->number = percent;
  post (order, take_load);
}

void
worker_receive_share (struct worker *worker, struct str from,
                      const struct share_message *message)
{
  if (!worker->has_stopped)
    loop_post (worker->context.loop, take_share,
               share_order_create (worker, from, message));
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
worker_open (const struct worker *worker)
{
  return atomic_load (&worker->open);
}

void
worker_query (struct worker *worker,
              void (*done) (void *part, json_object *view), void *part)
{
  struct order *order = order_create (worker);
  order->done = done;
  order->part = part;
  post (order, take_query);
}
