/* What the control thread asks of the worker: each order is posted to the
   worker's loop and carried out there.  */
#include "call/worker_internal.h"

#include <stdlib.h>
#include <string.h>

/* types */

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

/* private functions */

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
  worker_shares_set_hold (context);
  worker_shares_set_peers (order->worker);
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
  worker_shares_set_peers (order->worker);
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
  steer_set_reported_load (order->worker->context.steer,
                           str_from (order->upstream), order->number,
                           timer_clock ());
  free (order);
}

static json_object *
view_upstream (struct call_context *context, const struct upstream *upstream)
{
  struct steer_upstream_view view = steer_query_upstream (
      context->steer, upstream->head.name, timer_clock ());
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

void
worker_order_stop (struct worker *worker)
{
  post (order_create (worker), take_stop);
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
worker_query (struct worker *worker,
              void (*done) (void *part, json_object *view), void *part)
{
  struct order *order = order_create (worker);
  order->done = done;
  order->part = part;
  post (order, take_query);
}
