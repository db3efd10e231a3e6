/* Shares of caps: their ticks, and their messages between the two threads.  */
#include "call/lookup.h"
#include "call/worker_internal.h"

#include <stdlib.h>
#include <string.h>

/* types */

/* A message about shares on its way between the two threads; the names of
   its items are held here.  */
struct share_order
{
  struct worker *worker;
  char peer[64];
  char names[SHARE_ITEMS_MAX][64];
  struct share_message message;
};

/* The version that this entry's uses fit, on its way to the control thread. */
struct confirmed_order
{
  struct worker *worker;
  int64_t version;
};

/* constants */

enum
{
  SHARE_TICK_MS = 5,
  LINK_WINDOW_MS = 100, /* bytes of a second count this long */
  HOLD_MARGIN_MS = 1000 /* for an upstream to see its deadline pass */
};

/* private functions */

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
take_share (void *part)
{
  struct share_order *order = part;
  struct call_context *context = &order->worker->context;
  share_receive (steer_shares (context->steer), str_from (order->peer),
                 &order->message, timer_clock ());
  context->slot_freed = true;
  free (order);
}

static void
deliver_confirmed (void *part)
{
  struct confirmed_order *order = part;
  const struct worker_desc *desc = &order->worker->desc;
  desc->confirmed (desc->part, order->version);
  free (order);
}

/* Confirms the membership in force once all uses fit it.  */
static void
confirm_membership (struct worker *worker, apr_time_t now)
{
  int64_t version = worker->membership->version;
  if (worker->confirmed == version
      || now < worker->adopted_at + TIMER_MS (LINK_WINDOW_MS)
      || !steer_is_within_limits (worker->context.steer, now))
    return;
  worker->confirmed = version;
  struct confirmed_order *order = malloc (sizeof *order);
  if (!order)
    abort ();
  *order = (struct confirmed_order){ worker, version };
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
    steer_update_demand (context->steer, s,
                         queue_service_length (context->queue, name), now);
  }
  steer_update_link_demand (context->steer, now);
  share_tick (steer_shares (context->steer), now);
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

/* public functions */

void
worker_shares_start (struct worker *worker)
{
  on_share_tick (worker, timer_clock ());
}

void
worker_shares_send (void *part, struct str to,
                    const struct share_message *message)
{
  struct worker *worker = part;
  loop_post (worker->desc.control, deliver_share,
             share_order_create (worker, to, message));
}

void
worker_shares_set_peers (struct worker *worker)
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
  share_set_peers (steer_shares (context->steer), peers, count);
  free (peers);
}

void
worker_shares_set_hold (struct call_context *context)
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
  share_set_max_use (steer_shares (context->steer),
                     TIMER_MS (longest + HOLD_MARGIN_MS));
}

void
worker_receive_share (struct worker *worker, struct str from,
                      const struct share_message *message)
{
  if (!worker->has_stopped)
    loop_post (worker->context.loop, take_share,
               share_order_create (worker, from, message));
}
