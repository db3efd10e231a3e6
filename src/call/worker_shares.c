/* Shares of caps: their periodic tick, and their messages, which the control
   thread sends and receives.  */
#include "call/lookup.h"
#include "call/worker_internal.h"

#include <stdlib.h>
#include <string.h>

/* types */

/* A message about shares on its way between the control thread and the
   worker's; owns the names that the message's items refer to.  */
struct share_command
{
  struct worker *worker;
  char peer[64];
  char names[SHARE_ITEMS_MAX][64];
  struct share_message message;
};

/* A version of the membership to confirm, on its way to the control thread. */
struct confirm_command
{
  struct worker *worker;
  int64_t version;
};

/* constants */

enum
{
  SHARE_TICK_MS = 5,
  /* The window of a link's rate limit.  Bytes that were sent under an old
     share count against the limit for so long.  */
  LINK_WINDOW_MS = 100,
  USE_MARGIN_MS = 1000 /* for an upstream to stop after the deadline */
};

/* private functions */

static struct share_command *
share_command_create (struct worker *worker, struct str peer,
                      const struct share_message *message)
{
  struct share_command *command = calloc (1, sizeof *command);
  if (!command)
    abort ();
  command->worker = worker;
  command->message = *message;
  snprintf (command->peer, sizeof command->peer, "%.*s", STR_ARGS (peer));
  for (size_t i = 0; i < message->count; i++)
    {
      snprintf (command->names[i], sizeof command->names[i], "%.*s",
                STR_ARGS (message->items[i].name));
      command->message.items[i].name = str_from (command->names[i]);
    }
  return command;
}

/* Runs on the control thread.  */
static void
deliver_share_message (void *user_data)
{
  struct share_command *command = user_data;
  const struct worker_desc *desc = &command->worker->desc;
  desc->send_share_message (desc->user_data, str_from (command->peer),
                            &command->message);
  free (command);
}

static void
receive_share_message (void *user_data)
{
  struct share_command *command = user_data;
  struct call_context *context = &command->worker->context;
  share_receive (steer_shares (context->steer), str_from (command->peer),
                 &command->message, timer_clock ());
  context->slot_freed = true;
  free (command);
}

/* Runs on the control thread.  */
static void
deliver_confirmation (void *user_data)
{
  struct confirm_command *command = user_data;
  const struct worker_desc *desc = &command->worker->desc;
  desc->membership_confirmed (desc->user_data, command->version);
  free (command);
}

/* Confirms the membership in force, once, when all that this entry uses is
   within its shares: slots and calls as counted, links after their window.  */
static void
confirm_membership (struct worker *worker, apr_time_t now)
{
  int64_t version = worker->membership->version;
  if (worker->confirmed_version == version
      || now < worker->adopted_at + TIMER_MS (LINK_WINDOW_MS)
      || !steer_is_within_limits (worker->context.steer, now))
    return;
  worker->confirmed_version = version;
  struct confirm_command *command = malloc (sizeof *command);
  if (!command)
    abort ();
  *command = (struct confirm_command){ worker, version };
  loop_post (worker->desc.control, deliver_confirmation, command);
}

/* Updates the demand for shares, exchanges loans, confirms the membership, and
   resumes attempts that waited for a link.  */
static void
on_share_tick (void *user_data, apr_time_t now)
{
  struct worker *worker = user_data;
  struct call_context *context = &worker->context;
  SNAPSHOT_EACH (context->snapshot, KIND_SERVICE, const struct service, s)
  {
    struct str name = s->head.name;
    steer_update_demand (context->steer, s,
                         queue_service_length (context->queue, name), now);
  }
  steer_update_link_demand (context->steer, now);
  share_tick (steer_shares (context->steer), now);
  context->slot_freed |= context->waits_for_connection;
  context->waits_for_connection = false;
  confirm_membership (worker, now);
  for (struct call *call = context->calls; call; call = call->next)
    {
      if (call->attempt && call->attempt->paused_by_link)
        attempt_resume (call->attempt);
      if (call->hedge && call->hedge->paused_by_link)
        attempt_resume (call->hedge);
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
worker_shares_send (void *user_data, struct str to,
                    const struct share_message *message)
{
  struct worker *worker = user_data;
  loop_post (worker->desc.control, deliver_share_message,
             share_command_create (worker, to, message));
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
      const struct roster_entry *entry = &roster->entries[i];
      if (entry->is_self || !entry->alive)
        continue;
      /* One way, in milliseconds; peers have the round-trip time in
         microseconds.  */
      int64_t latency_ms = lookup_latency_ms (context->snapshot,
                                              worker->desc.settings->region,
                                              entry->heartbeat.region);
      peers[count++]
          = (struct share_peer){ entry->heartbeat.name,
                                 entry->heartbeat.region, 2000 * latency_ms };
    }
  share_set_peers (steer_shares (context->steer), peers, count);
  free (peers);
}

void
worker_shares_set_max_use (struct call_context *context)
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
                     TIMER_MS (longest + USE_MARGIN_MS), timer_clock ());
}

void
worker_receive_share_message (struct worker *worker, struct str from,
                              const struct share_message *message)
{
  if (!worker->has_stopped)
    loop_post (worker->context.loop, receive_share_message,
               share_command_create (worker, from, message));
}
