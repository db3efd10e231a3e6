#include "entry/entry.h"

#include "call/worker.h"
#include "config/keeper.h"
#include "member/registrar.h"
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
  struct burn_ledger *burn;
  struct http_client *client;
  struct store *store;
  struct keeper *keeper;
  struct registrar *registrar;
  struct peers *peers;
  struct worker *worker;
  struct api *api;
  struct health *health;
  struct vm_list *vm_list;
  struct snapshot *snapshot; /* of the configuration in force */
  int signal_fd;
  bool stopping;
  bool listener_closed;
  apr_time_t stop_started_at;
  struct timer stop_timer;
};

/* constants */

enum
{
  RELAYS_PER_ZONE = 2,
  STOP_CHECK_MS = 50,
  DEFAULT_LOOKUP_LIFETIME_MS = 2000,
  /* Added to the longest lifetime of a lookup response: time until the other
     entries have received that this one is leaving, and until a caller has
     used a response that it got just before that.  */
  LOOKUP_MARGIN_MS = 500
};

/* private functions */

/* Callbacks between the modules.  */

static int64_t
config_version (void *user_data)
{
  struct entry *entry = user_data;
  return keeper_document (entry->keeper)->version;
}

static struct str
config_document (void *user_data, apr_pool_t *pool)
{
  struct entry *entry = user_data;
  return document_text (keeper_document (entry->keeper), pool);
}

static void
offer_config (void *user_data, struct str text, const char *source)
{
  struct entry *entry = user_data;
  keeper_offer (entry->keeper, text, source);
}

static int64_t
membership_version (void *user_data)
{
  struct entry *entry = user_data;
  return registrar_membership (entry->registrar)->version;
}

static struct str
membership_document (void *user_data, apr_pool_t *pool)
{
  struct entry *entry = user_data;
  return membership_text (registrar_membership (entry->registrar), pool);
}

static void
offer_membership (void *user_data, struct str text, const char *source)
{
  struct entry *entry = user_data;
  registrar_offer (entry->registrar, text, source);
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
    if (membership->records[i].until == MEMBERSHIP_STAYS)
      peers_learn (entry->peers, membership->records[i].peers);
  peers_announce (entry->peers);
}

static void
on_membership_confirmed (void *user_data, int64_t version)
{
  struct entry *entry = user_data;
  registrar_confirm (entry->registrar, version);
  LOG (LOG_INFO, "membership-confirmed", LOG_INT ("version", version));
  peers_announce (entry->peers);
}

static void
fill_load (void *user_data, struct beat *beat)
{
  struct entry *entry = user_data;
  beat->confirmed = registrar_confirmed (entry->registrar);
  beat->in_flight = worker_in_flight (entry->worker);
  beat->queued = worker_queued (entry->worker);
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
  worker_receive_share (entry->worker, from, message);
}

static void
on_roster (void *user_data, struct roster *roster)
{
  struct entry *entry = user_data;
  worker_set_roster (entry->worker, roster);
  registrar_see_entries (entry->registrar, roster, RELAYS_PER_ZONE);
  keeper_set_relay (
      entry->keeper,
      roster_is_relay (roster, entry->settings->name, RELAYS_PER_ZONE));
  vm_list_set_fleet (entry->vm_list, roster->count);
}

static void
on_adopted (void *user_data, const struct document *document)
{
  struct entry *entry = user_data;
  snapshot_unref (entry->snapshot);
  entry->snapshot = snapshot_ref (document->snapshot);
  worker_set_snapshot (entry->worker, document->snapshot);
  health_apply (entry->health, document->snapshot);
  peers_announce (entry->peers);
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
      if (vms[i].peers.size > 0)
        {
          addresses[entries.count++] = vms[i].peers;
          if (!vms[i].leaving)
            peers_learn (entry->peers, vms[i].peers);
          continue;
        }
      SNAPSHOT_EACH (entry->snapshot, KIND_UPSTREAM, const struct upstream, u)
      {
        if (str_equal (u->address, vms[i].address))
          worker_set_upstream_leaving (entry->worker, u->head.name,
                                       LEAVING_PLATFORM, vms[i].leaving);
      }
    }
  registrar_see_vms (entry->registrar, &entries);
  free (addresses);
}

/* Planned stop.  */

/* Returns how long callers may use a lookup response, by any policy.  */
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

/* Runs every STOP_CHECK_MS during a planned stop.  */
static void
check_stop_progress (void *user_data, apr_time_t now)
{
  struct entry *entry = user_data;
  apr_time_t age = now - entry->stop_started_at;
  apr_time_t accept_time
      = TIMER_MS (max_lookup_lifetime_ms (entry->snapshot) + LOOKUP_MARGIN_MS);
  if (!entry->listener_closed && age >= accept_time)
    {
      worker_close_listener (entry->worker);
      entry->listener_closed = true;
      LOG (LOG_INFO, "listener-closed",
           LOG_INT ("open", worker_open (entry->worker)));
    }
  else if (entry->listener_closed && worker_open (entry->worker) == 0
           && worker_in_flight (entry->worker) == 0)
    {
      finish_stop (entry);
      return;
    }
  if (age >= TIMER_SEC (entry->settings->stop.timeout_s))
    {
      LOG (LOG_WARN, "stop-timeout",
           LOG_INT ("open", worker_open (entry->worker)));
      finish_stop (entry);
      return;
    }
  timer_start (loop_timers (entry->loop), &entry->stop_timer,
               now + TIMER_MS (STOP_CHECK_MS), check_stop_progress, entry);
}

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
  entry->stopping = true;
  entry->stop_started_at = timer_clock ();
  LOG (LOG_INFO, "stopping", LOG_INT ("open", worker_open (entry->worker)));
  peers_set_state (entry->peers, ENTRY_LEAVING);
  worker_set_leaving (entry->worker);
  check_stop_progress (entry, entry->stop_started_at);
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

/* Returns the fields of this entry's heartbeats that do not depend on load. */
static struct beat
own_state (const struct settings *settings, int64_t incarnation)
{
  return (struct beat){ .name = settings->name,
                        .zone = settings->zone,
                        .region = settings->region,
                        .callers = settings->listen.callers,
                        .operators = settings->listen.operators,
                        .peers = settings->listen.peers,
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
                                .leaving = on_upstream_leaving,
                                .load = on_upstream_load,
                                .part = entry };
  struct vm_list_desc vm_list = { .loop = entry->loop,
                                  .client = entry->client,
                                  .url = settings->vm_list.url,
                                  .poll_ms = settings->vm_list.poll_ms,
                                  .seen = on_vm_list,
                                  .part = entry };
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
  struct keeper_desc keeper = { .loop = entry->loop,
                                .store = entry->store,
                                .counters = entry->counters,
                                .prefix = settings->store.prefix };
  code = keeper_create (entry->pool, &keeper, &entry->keeper, err);
  if (code != ERR_NONE)
    return code;
  struct registrar_desc registrar = { .loop = entry->loop,
                                      .store = entry->store,
                                      .counters = entry->counters,
                                      .prefix = settings->store.prefix,
                                      .entry = settings->name,
                                      .changed = on_membership,
                                      .part = entry };
  code = registrar_create (entry->pool, &registrar, &entry->registrar, err);
  if (code != ERR_NONE)
    return code;
  struct worker_desc worker = { .settings = settings,
                                .incarnation = incarnation,
                                .confirmed = on_membership_confirmed,
                                .counters = entry->counters,
                                .burn = entry->burn,
                                .control = entry->loop,
                                .send_share = send_share,
                                .part = entry };
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
    .load = fill_load,
    .changed = on_roster,
    .share = receive_share,
    .part = entry
  };
  return peers_create (entry->pool, &peers, &entry->peers, err);
}

static enum err_code
start_modules (struct entry *entry, struct err *err)
{
  struct api_desc api = { .settings = entry->settings,
                          .loop = entry->loop,
                          .counters = entry->counters,
                          .keeper = entry->keeper,
                          .peers = entry->peers,
                          .worker = entry->worker,
                          .burn = entry->burn };
  entry->snapshot = snapshot_ref (keeper_document (entry->keeper)->snapshot);
  keeper_subscribe (entry->keeper, on_adopted, entry);
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
  keeper_start (entry->keeper);
  registrar_start (entry->registrar);
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
  keeper_destroy (entry->keeper);
  registrar_destroy (entry->registrar);
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
  LOG (LOG_INFO, "stopped", LOG_INT ("open", worker_open (entry.worker)));
  status = EXIT_SUCCESS;
out:
  destroy_modules (&entry);
  log_stop ();
  return status;
}
