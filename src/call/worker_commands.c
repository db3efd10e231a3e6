/* Commands of the control thread: each is posted to the worker's loop and
   executed there.  */
#include "call/worker_internal.h"

#include <stdlib.h>
#include <string.h>

/* types */

/* A function's arguments on their way to the worker's thread; each command
   uses some of them.  It holds a reference to each object.  */
struct command
{
  struct worker *worker;
  struct snapshot *snapshot;
  struct roster *roster;
  struct membership *membership;
  char upstream[64];
  int source; /* enum leaving_source */
  bool leaving;
  struct stop_limits stop_limits;
  int64_t value; /* a load in percent, or a version of the membership */
  void (*done) (void *user_data, json_object *view);
  void *user_data;
  json_object *view;
};

/* private functions */

static struct command *
command_create (struct worker *worker)
{
  struct command *command = calloc (1, sizeof *command);
  if (!command)
    abort ();
  command->worker = worker;
  return command;
}

static void
command_destroy (struct command *command)
{
  snapshot_unref (command->snapshot);
  roster_unref (command->roster);
  membership_unref (command->membership);
  free (command);
}

/* Posts COMMAND, which RUN executes and frees; discards it if the worker has
   stopped.  */
static void
post (struct command *command, loop_task_fn *run)
{
  if (command->worker->has_stopped)
    command_destroy (command);
  else
    loop_post (command->worker->context.loop, run, command);
}

/* The commands, each executed on the worker's thread.  */

static void
apply_snapshot (void *user_data)
{
  struct command *command = user_data;
  struct call_context *context = &command->worker->context;
  struct snapshot *old = context->snapshot;
  context->snapshot = command->snapshot;
  steer_apply (context->steer, context->snapshot, timer_clock ());
  struct call *next;
  for (struct call *call = context->calls; call; call = next)
    {
      next = call->next;
      call_update_snapshot (call);
    }
  snapshot_unref (old);
  worker_shares_set_max_use (context);
  worker_shares_set_peers (command->worker);
  context->slot_freed = true;
  free (command);
}

static void
apply_roster (void *user_data)
{
  struct command *command = user_data;
  struct call_context *context = &command->worker->context;
  roster_unref (context->roster);
  context->roster = command->roster;
  worker_shares_set_peers (command->worker);
  context->slot_freed = true;
  free (command);
}

static void
apply_membership (void *user_data)
{
  struct command *command = user_data;
  struct worker *worker = command->worker;
  struct membership *old = worker->membership;
  if (command->membership->version > old->version)
    worker->adopted_at = timer_clock ();
  worker->membership = command->membership;
  steer_set_membership (worker->context.steer, worker->membership,
                        command->value);
  membership_unref (old);
  worker->context.slot_freed = true;
  free (command);
}

static void
start_leaving (void *user_data)
{
  struct command *command = user_data;
  command->worker->context.leaving = true;
  command->worker->context.stop_limits = command->stop_limits;
  free (command);
}

static void
close_listener (void *user_data)
{
  struct command *command = user_data;
  httpd_close_listener (command->worker->context.httpd);
  command->worker->context.listener_closed = true;
  free (command);
}

/* Gives each call that is left its final response, which the end of this
   iteration sends, and lets no other begin.  */
static void
end_calls (void *user_data)
{
  struct command *command = user_data;
  struct call_context *context = &command->worker->context;
  apr_time_t now = timer_clock ();
  context->leaving = true;
  context->calls_ended = true;
  context->stop_limits = (struct stop_limits){ .began_at = now };
  for (struct call *call = context->calls; call; call = call->next)
    if (call->opened)
      call_end_for_stop (call);
  free (command);
}

static void
stop_loop (void *user_data)
{
  struct command *command = user_data;
  loop_stop (command->worker->context.loop);
  free (command);
}

static void
apply_upstream_leaving (void *user_data)
{
  struct command *command = user_data;
  struct call_context *context = &command->worker->context;
  steer_set_leaving (context->steer, str_from (command->upstream),
                     (enum leaving_source)command->source, command->leaving,
                     timer_clock ());
  context->slot_freed = true;
  free (command);
}

static void
apply_load_report (void *user_data)
{
  struct command *command = user_data;
  steer_set_reported_load (command->worker->context.steer,
                           str_from (command->upstream), command->value,
                           timer_clock ());
  free (command);
}

/* worker_query's JSON objects.  */

static json_object *
upstream_to_json (struct call_context *context,
                  const struct upstream *upstream)
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
service_to_json (struct call_context *context, const struct service *service)
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

/* Runs on the control thread.  */
static void
deliver_view (void *user_data)
{
  struct command *command = user_data;
  command->done (command->user_data, command->view);
  free (command);
}

static void
run_query (void *user_data)
{
  struct command *command = user_data;
  struct call_context *context = &command->worker->context;
  json_object *upstreams = json_object_new_object ();
  json_object *services = json_object_new_object ();
  SNAPSHOT_EACH (context->snapshot, KIND_UPSTREAM, const struct upstream, u)
  {
    json_object_object_add (upstreams, u->head.name.data,
                            upstream_to_json (context, u));
  }
  SNAPSHOT_EACH (context->snapshot, KIND_SERVICE, const struct service, s)
  {
    json_object_object_add (services, s->head.name.data,
                            service_to_json (context, s));
  }
  command->view = json_object_new_object ();
  json_object_object_add (command->view, "upstreams", upstreams);
  json_object_object_add (command->view, "services", services);
  loop_post (command->worker->desc.control, deliver_view, command);
}

/* Copies the name UPSTREAM into COMMAND, since the caller's text may be gone
   when the command is executed.  */
static void
set_upstream (struct command *command, struct str upstream)
{
  snprintf (command->upstream, sizeof command->upstream, "%.*s",
            STR_ARGS (upstream));
}

/* public functions */

void
worker_post_stop (struct worker *worker)
{
  post (command_create (worker), end_calls);
  post (command_create (worker), stop_loop);
}

void
worker_set_snapshot (struct worker *worker, struct snapshot *snapshot)
{
  struct command *command = command_create (worker);
  command->snapshot = snapshot_ref (snapshot);
  post (command, apply_snapshot);
}

void
worker_set_roster (struct worker *worker, struct roster *roster)
{
  struct command *command = command_create (worker);
  command->roster = roster_ref (roster);
  post (command, apply_roster);
}

void
worker_set_membership (struct worker *worker, struct membership *membership,
                       int64_t min_confirmed)
{
  struct command *command = command_create (worker);
  command->membership = membership_ref (membership);
  command->value = min_confirmed;
  post (command, apply_membership);
}

void
worker_set_leaving (struct worker *worker, const struct stop_limits *limits)
{
  struct command *command = command_create (worker);
  command->stop_limits = *limits;
  post (command, start_leaving);
}

void
worker_close_listener (struct worker *worker)
{
  post (command_create (worker), close_listener);
}

void
worker_end_calls (struct worker *worker)
{
  post (command_create (worker), end_calls);
}

void
worker_set_upstream_leaving (struct worker *worker, struct str upstream,
                             enum leaving_source source, bool leaving)
{
  struct command *command = command_create (worker);
  set_upstream (command, upstream);
  command->source = (int)source;
  command->leaving = leaving;
  post (command, apply_upstream_leaving);
}

void
worker_report_load (struct worker *worker, struct str upstream,
                    int64_t percent)
{
  struct command *command = command_create (worker);
  set_upstream (command, upstream);
  command->value = percent;
  post (command, apply_load_report);
}

void
worker_query (struct worker *worker,
              void (*done) (void *user_data, json_object *view),
              void *user_data)
{
  struct command *command = command_create (worker);
  command->done = done;
  command->user_data = user_data;
  post (command, run_query);
}
