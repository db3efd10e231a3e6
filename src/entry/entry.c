#include "entry/entry.h"

#include "call/worker.h"
#include "config/config_manager.h"
#include "member/membership_manager.h"
#include "operator/api.h"
#include "peer/peers.h"
#include "platform/health.h"
#include "platform/vm_list.h"

#include <curl/curl.h>
#include <signal.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>
#include <sys/signalfd.h>
#include <unistd.h>

/* types */

struct entry
{
  const struct settings *settings;
  apr_pool_t *pool;
  struct loop *loop;
  struct counters *counters;
  struct burn_tracker *burn;
  struct http_client *client;
  struct store *store;
  struct config_manager *config_manager;
  struct membership_manager *membership_manager;
  struct peers *peers;
  struct worker *worker;
  struct api *api;
  struct health *health;
  struct vm_list *vm_list;
  struct snapshot *snapshot; /* of the configuration in force */
  int signal_fd;
  bool stopping;
  bool listener_closed;
  bool calls_ended;
  struct stop_limits stop_limits;
  struct timer stop_timer;
};

/* constants */

enum
{
  RELAYS_PER_ZONE = 2, /* entries that watch the store on its behalf */
  STOP_CHECK_MS = 50,
  DEFAULT_LOOKUP_LIFETIME_MS = 2000, /* as in call/lookup.c */
  /* Added to the longest lifetime of a look-up result: time until the other
     entries have received that this one is leaving.  */
  LOOKUP_MARGIN_MS = 300
};

/* private functions */

/* Callbacks between the modules.  */

static int64_t
config_version (void *user_data)
{
  struct entry *entry = user_data;
  return config_manager_document (entry->config_manager)->version;
}

static struct str
config_document (void *user_data, apr_pool_t *pool)
{
  struct entry *entry = user_data;
  return document_serialize (config_manager_document (entry->config_manager),
                             pool);
}

static void
offer_config (void *user_data, struct str text, const char *source)
{
  struct entry *entry = user_data;
  config_manager_offer (entry->config_manager, text, source);
}

static int64_t
membership_version (void *user_data)
{
  struct entry *entry = user_data;
  return membership_manager_membership (entry->membership_manager)->version;
}

static struct str
membership_document (void *user_data, apr_pool_t *pool)
{
  struct entry *entry = user_data;
  return membership_text (
      membership_manager_membership (entry->membership_manager), pool);
}

static void
offer_membership (void *user_data, struct str text, const char *source)
{
  struct entry *entry = user_data;
  membership_manager_offer (entry->membership_manager, text, source);
}

static void
on_membership (void *user_data, struct membership *membership,
               int64_t min_confirmed)
{
  struct entry *entry = user_data;
  worker_set_membership (entry->worker, membership, min_confirmed);
  /* Entries that have no seed in common and are not in the platform's VM list
     learn each other's addresses here.  */
  for (size_t i = 0; i < membership->count; i++)
    if (membership->records[i].removed_version == MEMBER_NOT_REMOVED)
      peers_add_address (entry->peers, membership->records[i].peer_address);
  peers_send_heartbeats (entry->peers);
}

static void
on_membership_confirmed (void *user_data, int64_t version)
{
  struct entry *entry = user_data;
  membership_manager_set_confirmed (entry->membership_manager, version);
  LOG (LOG_INFO, "membership-confirmed", LOG_INT ("version", version));
  peers_send_heartbeats (entry->peers);
}

static void
fill_load (void *user_data, struct heartbeat *heartbeat)
{
  struct entry *entry = user_data;
  heartbeat->confirmed
      = membership_manager_confirmed (entry->membership_manager);
  heartbeat->in_flight = worker_in_flight (entry->worker);
  heartbeat->queued = worker_queued (entry->worker);
}

static void
send_share (void *user_data, struct str to,
            const struct share_message *message)
{
  struct entry *entry = user_data;
  peers_send_share (entry->peers, to, message);
}

static void
receive_share (void *user_data, struct str from,
               const struct share_message *message)
{
  struct entry *entry = user_data;
  worker_receive_share_message (entry->worker, from, message);
}

static void
on_roster (void *user_data, struct roster *roster)
{
  struct entry *entry = user_data;
  worker_set_roster (entry->worker, roster);
  membership_manager_set_roster (entry->membership_manager, roster,
                                 RELAYS_PER_ZONE);
  config_manager_set_relay (
      entry->config_manager,
      roster_is_relay (roster, entry->settings->name, RELAYS_PER_ZONE));
  vm_list_set_entry_count (entry->vm_list, roster->count);
}

static void
on_adopted (void *user_data, const struct document *document)
{
  struct entry *entry = user_data;
  snapshot_unref (entry->snapshot);
  entry->snapshot = snapshot_ref (document->snapshot);
  worker_set_snapshot (entry->worker, document->snapshot);
  health_apply (entry->health, document->snapshot);
  peers_send_heartbeats (entry->peers);
}

static void
on_upstream_leaving (void *user_data, struct str upstream, bool leaving)
{
  struct entry *entry = user_data;
  worker_set_upstream_leaving (entry->worker, upstream, LEAVING_HEALTH,
                               leaving);
}

static void
on_upstream_load (void *user_data, struct str upstream, int64_t percent)
{
  struct entry *entry = user_data;
  worker_report_load (entry->worker, upstream, percent);
}

/* Applies the platform's VM list: entries are addresses to connect to, other
   VMs are upstreams, which may be marked as leaving.  */
static void
on_vm_list (void *user_data, const struct vm *vms, size_t count)
{
  struct entry *entry = user_data;
  struct str *addresses = calloc (count + 1, sizeof *addresses);
  struct str_list entries = { addresses, 0 };
  if (!addresses)
    abort ();
  for (size_t i = 0; i < count; i++)
    {
      if (vms[i].peer_address.size > 0)
        {
          addresses[entries.count++] = vms[i].peer_address;
          if (!vms[i].leaving)
            peers_add_address (entry->peers, vms[i].peer_address);
          continue;
        }
      SNAPSHOT_EACH (entry->snapshot, KIND_UPSTREAM, const struct upstream, u)
      {
        if (str_equal (u->address, vms[i].address))
          worker_set_upstream_leaving (entry->worker, u->head.name,
                                       LEAVING_PLATFORM, vms[i].leaving);
      }
    }
  membership_manager_set_vms (entry->membership_manager, &entries);
  free (addresses);
}

/* Planned stop.  */

/* Returns the longest time for which callers may use a look-up result, by the
   policies and the default.  */
static int64_t
max_lookup_lifetime_ms (const struct snapshot *snapshot)
{
  int64_t max_lifetime_ms = DEFAULT_LOOKUP_LIFETIME_MS;
  SNAPSHOT_EACH (snapshot, KIND_POLICY, const struct policy, policy)
  {
    if (policy->lookup_lifetime_ms > max_lifetime_ms)
      max_lifetime_ms = policy->lookup_lifetime_ms;
  }
  return max_lifetime_ms;
}

static void
on_stopped (void *user_data, apr_time_t now)
{
  (void)now;
  struct entry *entry = user_data;
  loop_stop (entry->loop);
}

/* Stops the worker, so that this entry uses nothing of any cap any more, then
   announces to the peers that it has stopped.  The loop runs on until the
   announcement is sent.  */
static void
finish_stop (struct entry *entry)
{
  worker_stop (entry->worker);
  peers_set_state (entry->peers, ENTRY_STOPPED);
  timer_start (loop_timers (entry->loop), &entry->stop_timer,
               timer_clock () + TIMER_MS (STOP_CHECK_MS), on_stopped, entry);
}

/* Runs every STOP_CHECK_MS during a planned stop: closes the listener when no
   cached look-up result can name this entry any more, ends the calls that are
   left when they are due to end, and finishes the stop when all callers have
   their responses, or at its end.  */
static void
check_stop_progress (void *user_data, apr_time_t now)
{
  struct entry *entry = user_data;
  const struct stop_limits *limits = &entry->stop_limits;
  if (!entry->listener_closed && now >= limits->listen_until)
    {
      worker_close_listener (entry->worker);
      entry->listener_closed = true;
      LOG (LOG_INFO, "listener-closed",
           LOG_INT ("open", worker_open_requests (entry->worker)));
    }
  if (!entry->calls_ended && now >= limits->answer_by)
    {
      LOG (LOG_WARN, "stop-timeout",
           LOG_INT ("open", worker_open_requests (entry->worker)));
      worker_end_calls (entry->worker);
      entry->calls_ended = true;
    }
  bool has_ended
      = worker_is_idle (entry->worker)
        && (entry->calls_ended || worker_in_flight (entry->worker) == 0);
  if (has_ended || now >= limits->exit_at)
    {
      finish_stop (entry);
      return;
    }
  timer_start (loop_timers (entry->loop), &entry->stop_timer,
               now + TIMER_MS (STOP_CHECK_MS), check_stop_progress, entry);
}

/* Starts the planned stop; a second signal ends the loop at once.  */
static void
on_signal (void *user_data, int fd, int events)
{
  (void)events;
  struct entry *entry = user_data;
  struct signalfd_siginfo info;
  if (read (fd, &info, sizeof info) != sizeof info)
    return;
  if (entry->stopping)
    {
      loop_stop (entry->loop);
      return;
    }
  struct stop_limits_desc desc
      = { .duration = TIMER_SEC (entry->settings->stop.timeout_s),
          .lookup_use = TIMER_MS (max_lookup_lifetime_ms (entry->snapshot)
                                  + LOOKUP_MARGIN_MS) };
  entry->stopping = true;
  entry->stop_limits = stop_limits_begin (&desc, timer_clock ());
  LOG (LOG_INFO, "stopping",
       LOG_INT ("open", worker_open_requests (entry->worker)));
  peers_set_state (entry->peers, ENTRY_LEAVING);
  worker_set_leaving (entry->worker, &entry->stop_limits);
  check_stop_progress (entry, entry->stop_limits.began_at);
}

static enum err_code
watch_signals (struct entry *entry, struct err *err)
{
  sigset_t set;
  sigemptyset (&set);
  sigaddset (&set, SIGTERM);
  sigaddset (&set, SIGINT);
  sigprocmask (SIG_BLOCK, &set, NULL);
  signal (SIGPIPE, SIG_IGN);
  entry->signal_fd = signalfd (-1, &set, SFD_NONBLOCK | SFD_CLOEXEC);
  if (entry->signal_fd < 0)
    return err_set (err, ERR_IO, "watch signals", NULL, "signalfd failed");
  loop_watch (entry->loop, entry->signal_fd, LOOP_READ, on_signal, entry);
  return ERR_NONE;
}

/* Construction.  */

/* Returns this entry's heartbeat at the start; fill_load sets its load.  */
static struct heartbeat
own_state (const struct settings *settings, int64_t incarnation)
{
  return (struct heartbeat){ .name = settings->name,
                             .zone = settings->zone,
                             .region = settings->region,
                             .caller_address = settings->listen.callers,
                             .operator_address = settings->listen.operators,
                             .peer_address = settings->listen.peers,
                             .incarnation = incarnation,
                             .state = ENTRY_SERVING };
}

static void
create_platform_clients (struct entry *entry)
{
  const struct settings *settings = entry->settings;
  struct store_kv_desc store = { .client = entry->client,
                                 .counters = entry->counters,
                                 .url = settings->store.url,
                                 .timeout_ms = settings->store.timeout_ms };
  struct health_desc health = { .loop = entry->loop,
                                .client = entry->client,
                                .report_leaving = on_upstream_leaving,
                                .report_load = on_upstream_load,
                                .user_data = entry };
  struct vm_list_desc vm_list = { .loop = entry->loop,
                                  .client = entry->client,
                                  .url = settings->vm_list.url,
                                  .poll_ms = settings->vm_list.poll_ms,
                                  .vms_received = on_vm_list,
                                  .user_data = entry };
  entry->store = store_kv_create (entry->pool, &store);
  entry->health = health_create (entry->pool, &health);
  entry->vm_list = vm_list_create (entry->pool, &vm_list);
}

static enum err_code
create_modules (struct entry *entry, struct err *err)
{
  const struct settings *settings = entry->settings;
  int64_t incarnation = (int64_t)apr_time_now ();
  enum err_code code = loop_create (entry->pool, &entry->loop, err);
  if (code != ERR_NONE)
    return code;
  entry->counters = counters_create (entry->pool);
  entry->burn = burn_create (entry->pool);
  code = http_client_create (entry->pool, entry->loop, &entry->client, err);
  if (code != ERR_NONE)
    return code;
  create_platform_clients (entry);
  struct config_manager_desc config_manager
      = { .loop = entry->loop,
          .store = entry->store,
          .counters = entry->counters,
          .prefix = settings->store.prefix };
  code = config_manager_create (entry->pool, &config_manager,
                                &entry->config_manager, err);
  if (code != ERR_NONE)
    return code;
  struct membership_manager_desc membership_manager
      = { .loop = entry->loop,
          .store = entry->store,
          .counters = entry->counters,
          .prefix = settings->store.prefix,
          .entry = settings->name,
          .changed = on_membership,
          .user_data = entry };
  code = membership_manager_create (entry->pool, &membership_manager,
                                    &entry->membership_manager, err);
  if (code != ERR_NONE)
    return code;
  struct worker_desc worker
      = { .settings = settings,
          .incarnation = incarnation,
          .membership_confirmed = on_membership_confirmed,
          .counters = entry->counters,
          .burn = entry->burn,
          .control = entry->loop,
          .send_share_message = send_share,
          .user_data = entry };
  code = worker_create (entry->pool, &worker, &entry->worker, err);
  if (code != ERR_NONE)
    return code;
  struct peers_desc peers = {
    .loop = entry->loop,
    .counters = entry->counters,
    .self = own_state (settings, incarnation),
    .key = settings->peers.key,
    .seeds = settings->peers.seeds,
    .heartbeat_ms = settings->peers.heartbeat_ms,
    .silent_ms = settings->peers.silent_ms,
    .documents
    = { [DOCUMENT_CONFIG] = { config_version, config_document, offer_config },
        [DOCUMENT_MEMBERSHIP]
        = { membership_version, membership_document, offer_membership } },
    .fill_load = fill_load,
    .roster_changed = on_roster,
    .share_received = receive_share,
    .user_data = entry
  };
  return peers_create (entry->pool, &peers, &entry->peers, err);
}

static enum err_code
start_modules (struct entry *entry, struct err *err)
{
  struct api_desc api = { .settings = entry->settings,
                          .loop = entry->loop,
                          .counters = entry->counters,
                          .config_manager = entry->config_manager,
                          .peers = entry->peers,
                          .worker = entry->worker,
                          .burn = entry->burn };
  entry->snapshot = snapshot_ref (
      config_manager_document (entry->config_manager)->snapshot);
  config_manager_subscribe (entry->config_manager, on_adopted, entry);
  enum err_code code = watch_signals (entry, err);
  if (code != ERR_NONE)
    return code;
  code = peers_start (entry->peers, err);
  if (code != ERR_NONE)
    return code;
  code = api_create (entry->pool, &api, &entry->api, err);
  if (code != ERR_NONE)
    return code;
  code = worker_start (entry->worker, err);
  if (code != ERR_NONE)
    return code;
  config_manager_start (entry->config_manager);
  membership_manager_start (entry->membership_manager);
  vm_list_start (entry->vm_list);
  return ERR_NONE;
}

static void
destroy_modules (struct entry *entry)
{
  api_destroy (entry->api);
  worker_destroy (entry->worker);
  peers_destroy (entry->peers);
  vm_list_destroy (entry->vm_list);
  health_destroy (entry->health);
  config_manager_destroy (entry->config_manager);
  membership_manager_destroy (entry->membership_manager);
  http_client_destroy (entry->client);
  snapshot_unref (entry->snapshot);
  if (entry->signal_fd > 0)
    close (entry->signal_fd);
  loop_destroy (entry->loop);
}

/* public functions */

int
entry_run (const struct settings *settings, apr_pool_t *pool)
{
  struct entry entry = { .settings = settings, .pool = pool };
  struct err err = { 0 };
  int status = EXIT_FAILURE;
  log_start ((enum log_format)settings->log.format,
             (enum log_level)settings->log.level, settings->name.data);
  srand ((unsigned int)randombytes_random ());
  if (create_modules (&entry, &err) != ERR_NONE
      || start_modules (&entry, &err) != ERR_NONE)
    {
      LOG_ERR (LOG_ERROR, "start-failed", &err);
      goto out;
    }
  LOG (LOG_INFO, "started", LOG_TEXT ("zone", settings->zone.data),
       LOG_TEXT ("callers", settings->listen.callers.data),
       LOG_TEXT ("operators", settings->listen.operators.data),
       LOG_TEXT ("peers", settings->listen.peers.data));
  loop_run (entry.loop);
  LOG (LOG_INFO, "stopped",
       LOG_INT ("open", worker_open_requests (entry.worker)));
  status = EXIT_SUCCESS;
out:
  destroy_modules (&entry);
  log_stop ();
  return status;
}
