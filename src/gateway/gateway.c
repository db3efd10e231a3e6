#include "gateway/gateway.h"

#include "gateway/internal.h"
#include "platform/mirror.h"
#include "platform/store.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/signalfd.h>
#include <sys/time.h>
#include <unistd.h>

/* constants */

enum
{
  COLD_ENTRIES = 5,        /* that may send to one cold upstream */
  SETTINGS_LOOK_MS = 2000, /* a stat every two seconds costs nothing */
  TICK_MS = 100,           /* between two looks at the load of regions */
  STOP_STEP_MS = 50,       /* a hundredth of the time that a stop has */
  /* Callers keep a look-up for three times its lifetime of a second.  */
  STOP_SERVE_ON_MS = 3200,
  STOP_MARGIN_MS = 300, /* left to end before the process is killed */
  /* Together below the 3,900 descriptors that a VM has for sockets.  */
  IDLE_CONNECTIONS = 1024,
  CALLER_CONNECTIONS = 2048,
  /* The operators' 16 KiB, and half as much for libmicrohttpd's own use.  */
  REQUEST_HEADER_BYTES = 24 * 1024,
  HEADER_TIMEOUT_S = 30, /* covers what operators allow callers to stay idle */
  LOG_BURST_S = 1        /* of the rate in the settings */
};

/* First guess of the way to another region and back.  */
static const apr_time_t first_distance_us = 100000;
/* Part of the allowed ratio that is used: the budget counts what arrives.  */
static const double retry_use = 0.85;
/* Part of the allowed move between regions that is used; the rest is left to
   chance in which requests arrive.  */
static const double shift_use = 0.4;
static const double shift_window_s = 2.0;
/* Part of the requests that may leave for another region one by one, on top
   of the slow move: well below the allowed change within the window.  */
static const double overflow_part = 0.04;
static const double overflow_saved = 3.0;

/* private functions */

/* Takes the bounds of second attempts from the settings.  */
static void
set_budget (struct gateway *gateway, struct service_state *service)
{
  const struct gateway_retry *retry = &gateway->settings.retry;
  service->retries.earned_per_call = retry->ratio * retry_use;
  service->retries.max_balance
      = budget_max_balance (retry->slack, members_count (gateway->members));
}

/* Says which cold upstreams get requests from this entry.  */
static void
share_cold (struct gateway *gateway, const struct fleet_service *upstreams,
            apr_time_t now)
{
  /* Each of them may send one at the same moment, which the slack covers.  */
  double slack = gateway->settings.cold.slack;
  size_t few = slack >= COLD_ENTRIES ? (size_t)COLD_ENTRIES
               : slack >= 1          ? (size_t)slack
                                     : 1;
  for (size_t i = 0; upstreams && i < upstreams->count; i++)
    {
      struct fleet_upstream *upstream = upstreams->upstreams[i];
      if (upstream->cold_until > now)
        upstream->cold_part = members_part (gateway->members, upstream->hash,
                                            upstream->region, few);
    }
}

static void
update_service (struct gateway *gateway, struct service_state *service,
                apr_time_t now)
{
  const struct fleet_service *upstreams
      = fleet_service (gateway->fleet, service->name);
  for (size_t i = 0; i < gateway->region_count; i++)
    service->rooms[i]
        = balance_room (gateway->fleet, upstreams, gateway->regions[i], now);
  spread_update (&service->spread, service->rooms, now);
  set_budget (gateway, service);
  share_cold (gateway, upstreams, now);
}

static void
update_services (struct gateway *gateway, apr_time_t now)
{
  for (apr_hash_index_t *i = apr_hash_first (NULL, gateway->services); i;
       i = apr_hash_next (i))
    update_service (gateway, apr_hash_this_val (i), now);
}

static void reload (struct gateway *gateway);

/* Reads the settings again if their file changed without a signal.  */
static void
look_at_settings (struct gateway *gateway, apr_time_t now)
{
  struct stat file;
  if (now - gateway->settings_seen_at < TIMER_MS (SETTINGS_LOOK_MS))
    return;
  gateway->settings_seen_at = now;
  if (stat (gateway->settings_path, &file) == 0
      && (file.st_mtime != gateway->settings_file.st_mtime
          || file.st_size != gateway->settings_file.st_size))
    reload (gateway);
}

static void
on_tick (void *part, apr_time_t now)
{
  struct gateway *gateway = part;
  look_at_settings (gateway, now);
  update_services (gateway, now);
  line_run (gateway);
  log_flush ();
  timer_start (loop_timers (gateway->loop), &gateway->tick,
               now + TIMER_MS (TICK_MS), on_tick, gateway);
}

static void
on_round_end (void *part)
{
  struct gateway *gateway = part;
  if (gateway->slot_freed)
    {
      gateway->slot_freed = false;
      line_run (gateway);
    }
  request_resume_ready (gateway);
}

static void
on_store_changed (void *part)
{
  struct gateway *gateway = part;
  update_services (gateway, timer_clock ());
  line_run (gateway);
}

/* Makes the interface of the entry at ADDRESS; those made before stay until
   the end, since calls to them may be in progress, one for each entry.  */
static struct store *
peer_at (struct gateway *gateway, struct str address)
{
  if (address.size == 0)
    return NULL;
  struct store *peer
      = apr_hash_get (gateway->peers, address.data, (apr_ssize_t)address.size);
  if (peer)
    return peer;
  struct platform_store_desc desc
      = { .client = gateway->client,
          .counters = gateway->counters,
          .name = "peer",
          .address = str_dup (gateway->pool, address),
          .timeout_ms = gateway->settings.store.timeout_ms };
  peer = platform_store_create (gateway->pool, &desc);
  apr_hash_set (gateway->peers, desc.address.data,
                (apr_ssize_t)desc.address.size, peer);
  return peer;
}

static struct store *
next_peer (void *part)
{
  struct gateway *gateway = part;
  return peer_at (gateway, members_next_peer (gateway->members));
}

static struct store *
reader (void *part, size_t number)
{
  struct gateway *gateway = part;
  return peer_at (gateway, members_reader (gateway->members, number));
}

static struct str
region_of (void *part, struct str zone)
{
  struct gateway *gateway = part;
  return gateway_settings_region (&gateway->settings, zone);
}

static void
on_fleet_changed (void *part, const char *what,
                  const struct fleet_upstream *upstream)
{
  (void)part;
  LOG (LOG_INFO, "upstream", LOG_TEXT ("change", what),
       LOG_TEXT ("id", upstream->id.data),
       LOG_TEXT ("service", upstream->service.data),
       LOG_TEXT ("zone", upstream->zone.data),
       LOG_TEXT ("address", upstream->address.data),
       LOG_INT ("born", upstream->born),
       LOG_INT ("cold_ms", upstream->cold_until > 0
                               ? (upstream->cold_until - timer_clock ()) / 1000
                               : 0));
}

/* Planned stop.  */

static void
on_stop_step (void *part, apr_time_t now)
{
  struct gateway *gateway = part;
  apr_time_t age = now - gateway->stop_began;
  apr_time_t most = (apr_time_t)(gateway->settings.stop_s * APR_USEC_PER_SEC)
                    - TIMER_MS (STOP_MARGIN_MS);
  if (!gateway->listener_closed && age >= TIMER_MS (STOP_SERVE_ON_MS))
    {
      httpd_close_listener (gateway->callers);
      gateway->listener_closed = true;
      LOG (LOG_INFO, "listener-closed", LOG_INT ("open", gateway->open));
    }
  if ((gateway->listener_closed && gateway->open == 0) || age >= most)
    {
      LOG (LOG_INFO, "stopped", LOG_INT ("open", gateway->open),
           LOG_INT ("after_ms", age / 1000));
      loop_stop (gateway->loop);
      return;
    }
  timer_start (loop_timers (gateway->loop), &gateway->stop_timer,
               now + TIMER_MS (STOP_STEP_MS), on_stop_step, gateway);
}

static void
stop (struct gateway *gateway)
{
  if (gateway->leaving)
    return;
  gateway->leaving = true;
  gateway->stop_began = timer_clock ();
  LOG (LOG_INFO, "stopping", LOG_INT ("open", gateway->open));
  members_leave (gateway->members);
  on_stop_step (gateway, gateway->stop_began);
}

/* Takes over from the settings file what may change while the process runs. */
static void
reload (struct gateway *gateway)
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
  LOG (LOG_INFO, "settings-reloaded");
}

static void
on_signal (void *part, int fd, int events)
{
  (void)events;
  struct gateway *gateway = part;
  struct signalfd_siginfo info;
  if (read (fd, &info, sizeof info) != sizeof info)
    return;
  if (info.ssi_signo == SIGHUP)
    reload (gateway);
  else
    stop (gateway);
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
  gateway->signals = signalfd (-1, &set, SFD_NONBLOCK | SFD_CLOEXEC);
  if (gateway->signals < 0)
    return err_set (err, ERR_IO, "watch signals", NULL, "signalfd failed");
  loop_watch (gateway->loop, gateway->signals, LOOP_READ, on_signal, gateway);
  return ERR_NONE;
}

/* Construction.  */

static void
find_regions (struct gateway *gateway)
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
        gateway->distances[r] = first_distance_us;
    }
}

static enum err_code
create_listeners (struct gateway *gateway, struct err *err)
{
  const struct gateway_addresses *listen = &gateway->settings.listen;
  struct httpd_desc callers = { .loop = gateway->loop,
                                .address = listen->callers,
                                .handler = request_handle,
                                .begin = request_begin,
                                .completed = request_completed,
                                .gone = request_gone,
                                .part = gateway,
                                .connections = CALLER_CONNECTIONS,
                                .header_bytes = REQUEST_HEADER_BYTES,
                                .header_timeout_s = HEADER_TIMEOUT_S };
  const struct
  {
    struct str address;
    struct httpd **httpd;
  } others[] = { { listen->readiness, &gateway->readiness },
                 { listen->lookups, &gateway->lookups },
                 { listen->metrics, &gateway->metrics } };
  enum err_code code
      = httpd_create (gateway->pool, &callers, &gateway->callers, err);
  for (size_t i = 0; i < 3 && code == ERR_NONE; i++)
    {
      struct httpd_desc desc = { .loop = gateway->loop,
                                 .address = others[i].address,
                                 .handler = lookup_handle,
                                 .part = gateway };
      if (others[i].address.size > 0)
        code = httpd_create (gateway->pool, &desc, others[i].httpd, err);
    }
  return code;
}

static enum err_code
create_parts (struct gateway *gateway, struct err *err)
{
  enum err_code code = loop_create (gateway->pool, &gateway->loop, err);
  if (code != ERR_NONE)
    return code;
  gateway->counters = counters_create (gateway->pool);
  gateway->withheld
      = counter_get (gateway->counters, "citroncleat_log_lines_withheld_total",
                     "", "Lines on requests beyond the rate in the settings.");
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
  struct fleet_desc fleet = { .region_of = region_of,
                              .changed = on_fleet_changed,
                              .part = gateway };
  gateway->store = platform_store_create (gateway->pool, &store);
  gateway->fleet = fleet_create (gateway->pool, &fleet);
  struct members_desc members = { .loop = gateway->loop,
                                  .store = gateway->store,
                                  .settings = &gateway->settings };
  gateway->members = members_create (gateway->pool, &members);
  gateway->mirror = platform_mirror_create (gateway->pool);
  gateway->peers = apr_hash_make (gateway->pool);
  struct watcher_desc watcher = { .loop = gateway->loop,
                                  .store = gateway->store,
                                  .settings = &gateway->settings,
                                  .counters = gateway->counters,
                                  .fleet = gateway->fleet,
                                  .members = gateway->members,
                                  .mirror = gateway->mirror,
                                  .peer = next_peer,
                                  .reader = reader,
                                  .changed = on_store_changed,
                                  .part = gateway };
  gateway->watcher = watcher_create (gateway->pool, &watcher);
  return create_listeners (gateway, err);
}

static void
destroy_parts (struct gateway *gateway)
{
  httpd_destroy (gateway->callers);
  httpd_destroy (gateway->readiness);
  httpd_destroy (gateway->lookups);
  httpd_destroy (gateway->metrics);
  curl_loop_destroy (gateway->curl_loop);
  http_client_destroy (gateway->client);
  members_destroy (gateway->members);
  watcher_destroy (gateway->watcher);
  platform_mirror_destroy (gateway->mirror);
  fleet_destroy (gateway->fleet);
  if (gateway->signals > 0)
    close (gateway->signals);
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
  gateway.random = (uint64_t)timer_clock () ^ (uint64_t)getpid () << 32;
  find_regions (&gateway);
  if (create_parts (&gateway, &err) != ERR_NONE
      || watch_signals (&gateway, &err) != ERR_NONE)
    {
      LOG_ERR (LOG_ERROR, "start-failed", &err);
      goto out;
    }
  loop_at_round_end (gateway.loop, on_round_end, &gateway);
  members_start (gateway.members);
  watcher_start (gateway.watcher);
  on_tick (&gateway, timer_clock ());
  LOG (LOG_INFO, "started", LOG_TEXT ("zone", gateway.settings.zone.data),
       LOG_TEXT ("callers", gateway.settings.listen.callers.data),
       LOG_TEXT ("version", CITRONCLEAT_VERSION));
  loop_run (gateway.loop);
  status = EXIT_SUCCESS;
out:
  destroy_parts (&gateway);
  log_stop ();
  return status;
}

double
gateway_chance (struct gateway *gateway)
{
  /* xorshift64*: only spreads callers' returns.  */
  uint64_t x = gateway->random ? gateway->random : 1;
  x ^= x >> 12;
  x ^= x << 25;
  x ^= x >> 27;
  gateway->random = x;
  return (double)(x * 0x2545f4914f6cdd1dULL >> 11) / (double)(1ULL << 53);
}

bool
gateway_may_log (struct gateway *gateway)
{
  apr_time_t now = timer_clock ();
  double rate = (double)gateway->settings.log_lines_per_s;
  double room = gateway->log_room
                + rate * (double)(now - gateway->log_at) / APR_USEC_PER_SEC;
  if (room > rate * LOG_BURST_S)
    room = rate * LOG_BURST_S;
  gateway->log_at = now;
  gateway->log_room = room;
  if (room < 1.0)
    {
      counter_add (gateway->withheld, 1);
      return false;
    }
  gateway->log_room = room - 1.0;
  return true;
}

struct service_state *
gateway_service (struct gateway *gateway, struct str name)
{
  struct service_state *service
      = apr_hash_get (gateway->services, name.data, (apr_ssize_t)name.size);
  if (service)
    return service;
  service = apr_pcalloc (gateway->pool, sizeof *service);
  service->name = str_dup (gateway->pool, name);
  service->most_urgent = PRIORITIES;
  set_budget (gateway, service);
  budget_init (&service->overflow, overflow_part, overflow_saved);
  spread_init (&service->spread, gateway->region_count, gateway->own_region,
               gateway->settings.region_shift * shift_use / shift_window_s);
  apr_hash_set (gateway->services, service->name.data,
                (apr_ssize_t)service->name.size, service);
  update_service (gateway, service, timer_clock ());
  return service;
}
