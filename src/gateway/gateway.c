/* The gateway's process: creates the modules, connects them, runs the event
   loop and handles signals, the periodic updates and the stop.  */
#include "gateway/gateway.h"

#include "call/limits.h"
#include "gateway/internal.h"
#include "platform/mirror.h"
#include "platform/store.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/signalfd.h>
#include <sys/time.h>
#include <unistd.h>

/* constants */

enum
{
  SETTINGS_CHECK_MS = 2000, /* between two checks of the file; a stat so
                               seldom costs nothing */
  TICK_MS = 100,            /* between two updates of the load of regions */
  /* Together below the 3,900 descriptors that a VM has for sockets.  */
  IDLE_CONNECTIONS = 1024,
  CALLER_CONNECTIONS = 2048,
  /* Memory of a connection with a request in progress whose heads, the
     answer's too, are as long as may be; and of the process without any.  */
  BUSY_CONNECTION_KB = 112,
  IDLE_PROCESS_KB = 16 * 1024,
  HEADER_TIMEOUT_S = 30, /* at least the idle time that operators allow */
  /* Several times as long as an iteration of a busy loop takes, and less than
     upstreams take to drain.  */
  PAUSE_MS = 500,
  REGIONS_TEXT_BYTES = 512, /* of the log line on a split; the rest is cut */
  LOG_BURST_S = 1 /* the rate limiter of log lines saves up this long */
};

/* Round-trip time to another region before the first connection there.  */
static const apr_time_t initial_rtt_us = 100000;
/* Fraction of the allowed retry ratio that is used: the budget is earned by
   each request that arrives, also by those that are never sent.  */
static const double retry_ratio_fraction = 0.85;
/* Fraction that is used of the allowed shift between regions; the rest allows
   for single requests sent elsewhere, for refusals, which change which
   requests are sent, and for random variation in which requests arrive.  */
static const double region_shift_fraction = 0.33;
/* Window of the allowed shift (`region_shift' in the settings).  */
static const double shift_window_s = 2.0;
/* Fraction of the requests that may be sent to another region one by one, on
   top of the slow shift: at most this, and this of the allowed shift.  What is
   saved up within the window may double it.  */
static const double max_overflow = 0.04;
static const double overflow_shift_fraction = 0.133;

/* A fraction that moved by less is not logged.  */
static const double min_logged_shift = 0.02;

/* private functions */

/* Returns the largest fraction of the requests that may move to another region
   in a second.  */
static double
max_shift_per_s (const struct gateway *gateway)
{
  return gateway->settings.region_shift * region_shift_fraction
         / shift_window_s;
}

/* Returns the fraction of the requests that may be sent to another region one
   by one.  */
static double
overflow_fraction (const struct gateway *gateway)
{
  double fraction = gateway->settings.region_shift * overflow_shift_fraction;
  return fraction < max_overflow ? fraction : max_overflow;
}

/* Sets the bounds of retries from the settings and the number of entries.  */
static void
update_retry_budget (struct gateway *gateway, struct service_state *service)
{
  const struct gateway_retry *retry = &gateway->settings.retry;
  service->retry_budget.earned_per_call = retry->ratio * retry_ratio_fraction;
  service->retry_budget.max_balance
      = budget_max_balance (retry->slack, registry_count (gateway->registry));
}

/* Logs, once a second at most, how the requests of SERVICE are divided over
   the regions and what that follows from, if it changed.  */
static void
log_region_split (struct gateway *gateway, struct service_state *service,
                  apr_time_t now)
{
  const double *fractions = service->region_split.fractions;
  char text[REGIONS_TEXT_BYTES] = "";
  size_t used = 0;
  bool has_changed = false;
  if (now - service->split_logged_at < APR_USEC_PER_SEC)
    return;
  for (size_t i = 0; i < gateway->region_count; i++)
    {
      const struct balance_region_load *load = &service->region_loads[i];
      double change = fractions[i] - service->logged_fractions[i];
      has_changed |= change > min_logged_shift || change < -min_logged_shift;
      if (used < sizeof text)
        used += (size_t)snprintf (text + used, sizeof text - used,
                                  "%s%s:%.3f:%.0f/%.0f", i > 0 ? " " : "",
                                  gateway->regions[i].data, fractions[i],
                                  load->busy, load->slots);
    }
  if (!has_changed || !gateway_allow_log_line (gateway))
    return;
  memcpy (service->logged_fractions, fractions,
          sizeof service->logged_fractions);
  service->split_logged_at = now;
  LOG (LOG_INFO, "region-split", LOG_TEXT ("service", service->name.data),
       LOG_TEXT ("regions", text));
}

/* Updates what depends on the state of the upstreams of SERVICE: the load of
   the regions, their fractions of the requests, the retry budget and the
   quotas of cold upstreams.  */
static void
update_service (struct gateway *gateway, struct service_state *service,
                apr_time_t now)
{
  const struct fleet_service *upstreams
      = fleet_service (gateway->fleet, service->name);
  double weight = balance_unheard_weight (upstreams, now);
  for (size_t i = 0; i < gateway->region_count; i++)
    service->region_loads[i] = balance_region_load (
        fleet_group (upstreams, gateway->regions[i]),
        weight * balance_mean_requests (&service->reports[i], now),
        cold_usable_slots (gateway, service), now);
  region_split_update (&service->region_split, service->region_loads, now);
  log_region_split (gateway, service, now);
  update_retry_budget (gateway, service);
  cold_update_quotas (gateway, service, upstreams, now);
}

static void
update_services (struct gateway *gateway, apr_time_t now)
{
  if (gateway->entries_version != registry_version (gateway->registry))
    {
      gateway->entries_version = registry_version (gateway->registry);
      gateway->entries_in_region = registry_count_in_region (
          gateway->registry, gateway->settings.region);
    }
  for (apr_hash_index_t *i = apr_hash_first (NULL, gateway->services); i;
       i = apr_hash_next (i))
    update_service (gateway, apr_hash_this_val (i), now);
}

static void reload_settings (struct gateway *gateway);

/* Reloads the settings if their file changed, also without a signal.  */
static void
check_settings_file (struct gateway *gateway, apr_time_t now)
{
  struct stat file;
  if (now - gateway->settings_checked_at < TIMER_MS (SETTINGS_CHECK_MS))
    return;
  gateway->settings_checked_at = now;
  if (stat (gateway->settings_path, &file) == 0
      && (file.st_mtime != gateway->settings_file.st_mtime
          || file.st_size != gateway->settings_file.st_size))
    reload_settings (gateway);
}

/* Does the periodic work; its own timer calls it again.  */
static void
on_tick (void *user_data, apr_time_t now)
{
  struct gateway *gateway = user_data;
  check_settings_file (gateway, now);
  update_services (gateway, now);
  wait_queue_dispatch (gateway);
  log_flush ();
  timer_start (loop_timers (gateway->loop), &gateway->tick_timer,
               now + TIMER_MS (TICK_MS), on_tick, gateway);
}

/* Called at the end of each event loop iteration, so that slots which were
   freed in it are used at once, and requests resume outside of callbacks.  */
static void
on_iteration_end (void *user_data)
{
  struct gateway *gateway = user_data;
  cold_check_connections (gateway);
  if (gateway->upstreams_changed)
    update_services (gateway, timer_clock ());
  if (gateway->slot_freed || gateway->upstreams_changed)
    {
      gateway->slot_freed = false;
      gateway->upstreams_changed = false;
      wait_queue_dispatch (gateway);
    }
  request_resume_scheduled (gateway);
}

static void
on_store_changed (void *user_data)
{
  struct gateway *gateway = user_data;
  apr_time_t now = timer_clock ();
  if (gateway->listed_at == 0)
    gateway->listed_at = now;
  tenant_quota_update (gateway);
  update_services (gateway, now);
  wait_queue_dispatch (gateway);
}

static void
on_caught_up (void *user_data)
{
  wait_queue_admit_held (user_data);
  wait_queue_dispatch (user_data);
}

/* The process did not run for a while, in which upstreams may have left whose
   time to drain is over by now.  */
static void
on_paused (void *user_data, apr_time_t now)
{
  struct gateway *gateway = user_data;
  LOG (LOG_WARN, "paused",
       LOG_INT ("known_age_ms",
                store_sync_age (gateway->store_sync, now) / 1000));
  store_sync_catch_up (gateway->store_sync, now);
}

/* Returns the interface to the copy of the store at the entry with ADDRESS,
   which it creates at first; NULL if ADDRESS is empty.  There is one for each
   entry, never freed, since calls may be in progress.  */
static struct store *
peer_store (struct gateway *gateway, struct str address)
{
  if (address.size == 0)
    return NULL;
  struct store *peer = apr_hash_get (gateway->peer_stores, address.data,
                                     (apr_ssize_t)address.size);
  if (peer)
    return peer;
  struct platform_store_desc desc
      = { .client = gateway->client,
          .counters = gateway->counters,
          .name = "peer",
          .address = str_dup (gateway->pool, address),
          .timeout_ms = gateway->settings.store.timeout_ms };
  peer = platform_store_create (gateway->pool, &desc);
  apr_hash_set (gateway->peer_stores, desc.address.data,
                (apr_ssize_t)desc.address.size, peer);
  return peer;
}

/* Returns the address of an entry from the settings, a different one each
   time, or an empty string.  */
static struct str
next_seed_address (struct gateway *gateway)
{
  const struct str_list *seeds = &gateway->settings.seeds;
  for (size_t i = 0; i < seeds->count; i++)
    {
      struct str address = seeds->items[gateway->next_seed++ % seeds->count];
      if (!str_equal (address, gateway->settings.listen.copies))
        return address;
    }
  return STR ("");
}

static struct store *
next_peer_store (void *user_data)
{
  struct gateway *gateway = user_data;
  struct str address = registry_next_peer_address (gateway->registry);
  return peer_store (gateway,
                     address.size > 0 ? address : next_seed_address (gateway));
}

static struct store *
reader_store (void *user_data, size_t number)
{
  struct gateway *gateway = user_data;
  return peer_store (gateway,
                     registry_reader_address (gateway->registry, number));
}

static struct str
reader_address (void *user_data, size_t number)
{
  struct gateway *gateway = user_data;
  return registry_reader_address (gateway->registry, number);
}

static size_t
reader_addresses (void *user_data, struct str *out, size_t max_count)
{
  struct gateway *gateway = user_data;
  return registry_reader_addresses (gateway->registry, out, max_count);
}

static size_t
region_addresses (void *user_data, struct str *out, size_t max_count)
{
  struct gateway *gateway = user_data;
  return registry_region_addresses (gateway->registry, out, max_count);
}

static struct str
region_of_zone (void *user_data, struct str zone)
{
  struct gateway *gateway = user_data;
  return gateway_settings_region (&gateway->settings, zone);
}

static void
on_fleet_changed (void *user_data, const char *what,
                  const struct fleet_upstream *upstream)
{
  struct gateway *gateway = user_data;
  if (strcmp (what, "added") == 0 && gateway->reachability)
    reachability_recall (gateway->reachability, upstream);
  if (strcmp (what, "lapsed") == 0)
    lapse_checks_add (gateway->lapse_checks,
                      fleet_find (gateway->fleet, upstream->id));
  /* At the start there are thousands; the line on the listing counts them.  */
  if (store_sync_is_listing (gateway->store_sync)
      && strcmp (what, "added") == 0)
    return;
  LOG (LOG_INFO, "upstream", LOG_TEXT ("change", what),
       LOG_TEXT ("id", upstream->id.data),
       LOG_TEXT ("service", upstream->service.data),
       LOG_TEXT ("zone", upstream->zone->name.data),
       LOG_TEXT ("address", upstream->address.data),
       LOG_INT ("born", upstream->incarnation),
       LOG_INT ("sent_3s", load_sends_since (&upstream->load,
                                             timer_clock () - TIMER_SEC (3))),
       LOG_INT ("cold_ms", upstream->cold_until > 0
                               ? (upstream->cold_until - timer_clock ()) / 1000
                               : 0));
}

/* Reads the settings file again and applies what may change while the process
   runs.  An invalid file changes nothing.  */
static void
reload_settings (struct gateway *gateway)
{
  struct gateway_settings settings;
  struct faults *faults = faults_create (gateway->pool);
  stat (gateway->settings_path, &gateway->settings_file);
  gateway_settings_load (gateway->settings_path, gateway->pool, &settings,
                         faults);
  if (faults_count (faults) > 0)
    {
      LOG (LOG_ERROR, "settings-refused",
           LOG_TEXT ("path", faults_at (faults, 0)->path.data),
           LOG_TEXT ("expected", faults_at (faults, 0)->expected.data));
      return;
    }
  gateway->settings.retry = settings.retry;
  gateway->settings.cold = settings.cold;
  gateway->settings.stop_s = settings.stop_s;
  gateway->settings.region_shift = settings.region_shift;
  gateway->settings.log_lines_per_s = settings.log_lines_per_s;
  for (apr_hash_index_t *i = apr_hash_first (NULL, gateway->services); i;
       i = apr_hash_next (i))
    {
      struct service_state *service = apr_hash_this_val (i);
      service->region_split.max_shift_per_s = max_shift_per_s (gateway);
      service->overflow.earned_per_request = overflow_fraction (gateway);
    }
  LOG (LOG_INFO, "settings-reloaded");
}

static void
on_signal (void *user_data, int fd, int events)
{
  (void)events;
  struct gateway *gateway = user_data;
  struct signalfd_siginfo info;
  if (read (fd, &info, sizeof info) != sizeof info)
    return;
  if (info.ssi_signo == SIGHUP)
    reload_settings (gateway);
  else
    stop_begin (gateway);
}

static enum err_code
watch_signals (struct gateway *gateway, struct err *err)
{
  sigset_t set;
  sigemptyset (&set);
  sigaddset (&set, SIGTERM);
  sigaddset (&set, SIGINT);
  sigaddset (&set, SIGHUP);
  sigprocmask (SIG_BLOCK, &set, NULL);
  signal (SIGPIPE, SIG_IGN);
  gateway->signal_fd = signalfd (-1, &set, SFD_NONBLOCK | SFD_CLOEXEC);
  if (gateway->signal_fd < 0)
    return err_set (err, ERR_IO, "watch signals", NULL, "signalfd failed");
  loop_watch (gateway->loop, gateway->signal_fd, LOOP_READ, on_signal,
              gateway);
  return ERR_NONE;
}

/* Construction.  */

/* Fills the list of regions from the zones in the settings.  */
static void
init_regions (struct gateway *gateway)
{
  const struct gateway_zone *zones = gateway->settings.zones.items;
  for (size_t i = 0; i < gateway->settings.zones.count; i++)
    {
      size_t r = 0;
      while (r < gateway->region_count
             && !str_equal (gateway->regions[r], zones[i].region))
        r++;
      if (r == GATEWAY_REGIONS_MAX)
        continue;
      if (r == gateway->region_count)
        gateway->regions[gateway->region_count++] = zones[i].region;
      if (str_equal (gateway->regions[r], gateway->settings.region))
        gateway->own_region = r;
      else
        gateway->rtts[r] = initial_rtt_us;
    }
}

/* Returns how many connections of callers this VM can take.  */
static int64_t
max_caller_connections (const struct gateway *gateway)
{
  int64_t memory_kb = gateway->settings.machine.memory_mb * 1024;
  int64_t fitting = (memory_kb - IDLE_PROCESS_KB) / BUSY_CONNECTION_KB;
  if (memory_kb == 0 || fitting > CALLER_CONNECTIONS)
    return CALLER_CONNECTIONS;
  return fitting > 0 ? fitting : 1;
}

static enum err_code
create_listeners (struct gateway *gateway, struct err *err)
{
  const struct gateway_addresses *listen = &gateway->settings.listen;
  gateway->max_connections = max_caller_connections (gateway);
  struct httpd_desc callers = { .loop = gateway->loop,
                                .name = "callers",
                                .counters = gateway->counters,
                                .address = listen->callers,
                                .handler = request_handle,
                                .request_started = request_begin,
                                .request_completed = request_completed,
                                .caller_closed = request_caller_closed,
                                .user_data = gateway,
                                .max_connections = gateway->max_connections,
                                .connection_bytes = CALLER_CONNECTION_BYTES,
                                .header_timeout_s = HEADER_TIMEOUT_S };
  const struct
  {
    const char *name;
    struct str address;
    struct httpd **httpd;
  } others[]
      = { { "readiness", listen->readiness, &gateway->readiness_listener },
          { "lookups", listen->lookups, &gateway->lookup_listener },
          { "metrics", listen->metrics, &gateway->metrics_listener },
          { "copies", listen->copies, &gateway->copy_listener } };
  enum err_code code
      = httpd_create (gateway->pool, &callers, &gateway->caller_listener, err);
  for (size_t i = 0; i < sizeof others / sizeof *others && code == ERR_NONE;
       i++)
    {
      struct httpd_desc desc = { .loop = gateway->loop,
                                 .name = others[i].name,
                                 .counters = gateway->counters,
                                 .address = others[i].address,
                                 .handler = lookup_handle,
                                 .describe = lookup_describe,
                                 .user_data = gateway };
      if (others[i].address.size > 0)
        code = httpd_create (gateway->pool, &desc, others[i].httpd, err);
    }
  return code;
}

static enum err_code
create_modules (struct gateway *gateway, struct err *err)
{
  enum err_code code = loop_create (gateway->pool, &gateway->loop, err);
  if (code != ERR_NONE)
    return code;
  gateway->counters = counters_create (gateway->pool);
  gateway->suppressed_log_lines
      = counter_get (gateway->counters, "citroncleat_log_lines_withheld_total",
                     "", "Lines on requests beyond the rate in the settings.");
  gateway->leaving_by_response = counter_get (
      gateway->counters, "citroncleat_upstreams_leaving_by_answer_total", "",
      "Upstreams that said in a response that they are leaving.");
  gateway->turned_away
      = counter_get (gateway->counters, "citroncleat_turned_away_total", "",
                     "Requests that an upstream refused, stating for how long "
                     "it wants none.");
  gateway->turned_back = counter_get (
      gateway->counters, "citroncleat_all_turned_away_refusals_total", "",
      "Requests refused since all upstreams had turned this entry away.");
  gateway->unauthorized
      = counter_get (gateway->counters, "citroncleat_unauthorized_total", "",
                     "Requests refused since they have no key of a tenant.");
  gateway->open_requests_gauge
      = gauge_get (gateway->counters, "citroncleat_open_requests", "",
                   "Requests of callers that have begun and not ended.");
  attempts_create_counters (gateway);
  for (int i = 0; i < 2; i++)
    gateway->unfinished[i] = counter_get (
        gateway->counters, "citroncleat_unfinished_requests_total",
        i ? "by=\"caller\"" : "by=\"entry\"",
        "Requests that ended without a whole head or a whole response.");
  gateway->routes = apr_hash_make (gateway->pool);
  gateway->services = apr_hash_make (gateway->pool);
  gateway->connections = connections_create (gateway->pool);
  code = http_client_create (gateway->pool, gateway->loop, &gateway->client,
                             err);
  if (code != ERR_NONE)
    return code;
  code = curl_loop_create (gateway->pool, gateway->loop, IDLE_CONNECTIONS,
                           &gateway->curl_loop, err);
  if (code != ERR_NONE)
    return code;
  struct platform_store_desc store
      = { .client = gateway->client,
          .counters = gateway->counters,
          .address = gateway->settings.store.address,
          .timeout_ms = gateway->settings.store.timeout_ms };
  struct fleet_desc fleet = { .find_region = region_of_zone,
                              .upstream_changed = on_fleet_changed,
                              .user_data = gateway };
  gateway->store = platform_store_create (gateway->pool, &store);
  gateway->fleet = fleet_create (gateway->pool, &fleet);
  struct registry_desc registry = { .loop = gateway->loop,
                                    .store = gateway->store,
                                    .settings = &gateway->settings };
  gateway->registry = registry_create (gateway->pool, &registry);
  gateway->mirror = platform_mirror_create (0);
  gateway->peer_stores = apr_hash_make (gateway->pool);
  struct store_sync_desc store_sync = { .loop = gateway->loop,
                                        .store = gateway->store,
                                        .settings = &gateway->settings,
                                        .counters = gateway->counters,
                                        .fleet = gateway->fleet,
                                        .registry = gateway->registry,
                                        .mirror = gateway->mirror,
                                        .next_peer_store = next_peer_store,
                                        .reader_store = reader_store,
                                        .on_changed = on_store_changed,
                                        .on_caught_up = on_caught_up,
                                        .user_data = gateway };
  gateway->store_sync = store_sync_create (gateway->pool, &store_sync);
  loop_watch_pauses (gateway->loop, TIMER_MS (PAUSE_MS), on_paused, gateway);
  struct reachability_desc reachability = { .loop = gateway->loop,
                                            .client = gateway->client,
                                            .counters = gateway->counters,
                                            .fleet = gateway->fleet,
                                            .name = gateway->settings.name,
                                            .reader_address = reader_address,
                                            .readers = reader_addresses,
                                            .region_entries = region_addresses,
                                            .user_data = gateway };
  gateway->reachability = reachability_create (gateway->pool, &reachability);
  cold_create_checks (gateway);
  tenant_quota_create (gateway);
  code = create_listeners (gateway, err);
  if (code == ERR_NONE)
    memory_create (gateway);
  return code;
}

static void
destroy_modules (struct gateway *gateway)
{
  /* libmicrohttpd aborts if a request is suspended.  */
  for (struct request *request = gateway->requests; request;
       request = request->next)
    if (request->suspended)
      {
        request->suspended = false;
        request->caller_closed = true;
        MHD_resume_connection (request->connection);
      }
  httpd_destroy (gateway->caller_listener);
  httpd_destroy (gateway->readiness_listener);
  httpd_destroy (gateway->lookup_listener);
  httpd_destroy (gateway->metrics_listener);
  httpd_destroy (gateway->copy_listener);
  curl_loop_destroy (gateway->curl_loop);
  http_client_destroy (gateway->client);
  quota_destroy (gateway->quota);
  registry_destroy (gateway->registry);
  store_sync_destroy (gateway->store_sync);
  reachability_destroy (gateway->reachability);
  verify_destroy (gateway->verify);
  lapse_checks_destroy (gateway->lapse_checks);
  platform_mirror_destroy (gateway->mirror);
  fleet_destroy (gateway->fleet);
  if (gateway->signal_fd > 0)
    close (gateway->signal_fd);
  loop_destroy (gateway->loop);
}

static bool
load_settings (struct gateway *gateway)
{
  struct faults *faults = faults_create (gateway->pool);
  stat (gateway->settings_path, &gateway->settings_file);
  gateway_settings_load (gateway->settings_path, gateway->pool,
                         &gateway->settings, faults);
  for (size_t i = 0; i < faults_count (faults); i++)
    {
      const struct fault *fault = faults_at (faults, i);
      fprintf (stderr, "%s: found %s, expected %s\n", fault->path.data,
               fault->found.data, fault->expected.data);
    }
  return faults_count (faults) == 0;
}

/* public functions */

int
gateway_run (const char *settings_path, apr_pool_t *pool)
{
  struct gateway gateway = { .settings_path = settings_path, .pool = pool };
  struct err err = { 0 };
  int status = EXIT_FAILURE;
  if (!load_settings (&gateway))
    return EXIT_FAILURE;
  log_start (LOG_FORMAT_JSON, LOG_INFO, gateway.settings.name.data);
  log_buffer_stdout ();
  gateway.random_state = (uint64_t)timer_clock () ^ (uint64_t)getpid () << 32;
  gateway.next_seed = gateway.random_state % 1024;
  init_regions (&gateway);
  if (create_modules (&gateway, &err) != ERR_NONE
      || watch_signals (&gateway, &err) != ERR_NONE)
    {
      LOG_ERR (LOG_ERROR, "start-failed", &err);
      goto out;
    }
  loop_set_iteration_callback (gateway.loop, on_iteration_end, &gateway);
  registry_start (gateway.registry);
  store_sync_start (gateway.store_sync);
  on_tick (&gateway, timer_clock ());
  LOG (LOG_INFO, "started", LOG_TEXT ("zone", gateway.settings.zone.data),
       LOG_TEXT ("callers", gateway.settings.listen.callers.data),
       LOG_TEXT ("version", CITRONCLEAT_VERSION));
  loop_run (gateway.loop);
  status = EXIT_SUCCESS;
out:
  destroy_modules (&gateway);
  log_stop ();
  return status;
}

double
gateway_random_fraction (struct gateway *gateway)
{
  /* xorshift64*: it only spreads the times at which refused callers retry.  */
  uint64_t x = gateway->random_state ? gateway->random_state : 1;
  x ^= x >> 12;
  x ^= x << 25;
  x ^= x >> 27;
  gateway->random_state = x;
  return (double)(x * 0x2545f4914f6cdd1dULL >> 11) / (double)(1ULL << 53);
}

bool
gateway_allow_log_line (struct gateway *gateway)
{
  apr_time_t now = timer_clock ();
  double rate = (double)gateway->settings.log_lines_per_s;
  double tokens
      = gateway->log_tokens
        + rate * (double)(now - gateway->log_refilled_at) / APR_USEC_PER_SEC;
  if (tokens > rate * LOG_BURST_S)
    tokens = rate * LOG_BURST_S;
  gateway->log_refilled_at = now;
  gateway->log_tokens = tokens;
  if (tokens < 1.0)
    {
      counter_add (gateway->suppressed_log_lines, 1);
      return false;
    }
  gateway->log_tokens = tokens - 1.0;
  return true;
}

struct service_state *
gateway_service_state (struct gateway *gateway, struct str name)
{
  struct service_state *service
      = apr_hash_get (gateway->services, name.data, (apr_ssize_t)name.size);
  if (service)
    return service;
  service = apr_pcalloc (gateway->pool, sizeof *service);
  service->name = str_dup (gateway->pool, name);
  service->most_urgent_priority = PRIORITY_LEVELS;
  budget_init (&service->retry_budget, 0, 0, 0,
               gateway_random_fraction (gateway));
  update_retry_budget (gateway, service);
  region_overflow_init (&service->overflow, overflow_fraction (gateway),
                        1
                            + (uint64_t)(gateway_random_fraction (gateway)
                                         * (double)(1ULL << 53)));
  region_split_init (&service->region_split, gateway->region_count,
                     gateway->own_region, max_shift_per_s (gateway));
  apr_hash_set (gateway->services, service->name.data,
                (apr_ssize_t)service->name.size, service);
  update_service (gateway, service, timer_clock ());
  return service;
}
