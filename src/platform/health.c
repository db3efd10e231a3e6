#include "platform/health.h"

#include "base/log.h"

#include <stdio.h>
#include <stdlib.h>

/* types */

/* The health check of one upstream, kept across configurations while its name
   and address stay the same.  */
struct probe
{
  struct probe *next;
  struct health *health;
  char name[64];
  char address[64];
  char url[400];
  int64_t interval_ms;
  bool is_configured; /* in the latest configuration */
  bool in_flight;     /* its request is with the HTTP client */
  bool leaving;
  struct timer timer;
};

struct health
{
  struct health_desc desc;
  struct probe *probes;
};

/* constants */

enum
{
  RESPONSE_MAX_BYTES = 4096,
  TIMEOUT_MS = 1000
};

/* private functions */

static void send_probe (struct probe *probe);

static void
on_due (void *user_data, apr_time_t now)
{
  (void)now;
  send_probe (user_data);
}

static void
handle_response (struct probe *probe, struct str body)
{
  json_object *response = json_tokener_parse (body.data);
  json_object *state = NULL;
  json_object *load = NULL;
  if (json_object_get_type (response) != json_type_object)
    {
      json_object_put (response);
      return;
    }
  struct str name = str_from (probe->name);
  if (json_object_object_get_ex (response, "state", &state))
    {
      bool leaving = str_equal (str_from (json_object_get_string (state)),
                                STR ("leaving"));
      if (leaving != probe->leaving)
        LOG (LOG_INFO, leaving ? "upstream-leaving" : "upstream-returned",
             LOG_TEXT ("upstream", probe->name),
             LOG_TEXT ("source", "health"));
      probe->leaving = leaving;
      probe->health->desc.report_leaving (probe->health->desc.user_data, name,
                                          leaving);
    }
  if (json_object_object_get_ex (response, "load_percent", &load))
    probe->health->desc.report_load (probe->health->desc.user_data, name,
                                     json_object_get_int64 (load));
  json_object_put (response);
}

static void
on_response (void *user_data, const struct http_response *response)
{
  struct probe *probe = user_data;
  probe->in_flight = false;
  if (!probe->is_configured)
    {
      free (probe);
      return;
    }
  if (response->status == 200 || response->status == 503)
    handle_response (probe, response->body);
  timer_start (loop_timers (probe->health->desc.loop), &probe->timer,
               timer_clock () + TIMER_MS (probe->interval_ms), on_due, probe);
}

static void
send_probe (struct probe *probe)
{
  /* A report has no id that tells it from an earlier one.  */
  struct http_request request = { .url = probe->url,
                                  .closes_connection = true,
                                  .timeout_ms = TIMEOUT_MS,
                                  .max_response_bytes = RESPONSE_MAX_BYTES,
                                  .free_user_data = free };
  probe->in_flight = true;
  http_client_send (probe->health->desc.client, &request, on_response, probe);
}

static struct probe *
find_probe (struct health *health, const struct upstream *upstream)
{
  for (struct probe *p = health->probes; p; p = p->next)
    if (str_equal (str_from (p->name), upstream->head.name)
        && str_equal (str_from (p->address), upstream->address))
      return p;
  return NULL;
}

static void
add_probe (struct health *health, const struct upstream *upstream)
{
  const struct service *service = upstream->group->service;
  struct probe *probe = calloc (1, sizeof *probe);
  if (!probe)
    abort ();
  probe->health = health;
  snprintf (probe->name, sizeof probe->name, "%s", upstream->head.name.data);
  snprintf (probe->address, sizeof probe->address, "%s",
            upstream->address.data);
  probe->is_configured = true;
  probe->next = health->probes;
  health->probes = probe;
  snprintf (probe->url, sizeof probe->url, "http://%s%s", probe->address,
            service->health_path.data);
  probe->interval_ms = service->health_interval_ms;
  /* Spreads the first probes over one interval.  */
  timer_start (loop_timers (health->desc.loop), &probe->timer,
               timer_clock () + TIMER_MS (rand () % (int)probe->interval_ms),
               on_due, probe);
}

static void
remove_unconfigured (struct health *health)
{
  struct probe **at = &health->probes;
  while (*at)
    {
      struct probe *probe = *at;
      if (probe->is_configured)
        {
          at = &probe->next;
          continue;
        }
      *at = probe->next;
      timer_stop (loop_timers (health->desc.loop), &probe->timer);
      /* A probe whose request is in flight is freed when that completes.  */
      if (!probe->in_flight)
        free (probe);
    }
}

/* public functions */

struct health *
health_create (apr_pool_t *pool, const struct health_desc *desc)
{
  struct health *health = apr_pcalloc (pool, sizeof *health);
  health->desc = *desc;
  return health;
}

void
health_apply (struct health *health, struct snapshot *snapshot)
{
  for (struct probe *p = health->probes; p; p = p->next)
    p->is_configured = false;
  SNAPSHOT_EACH (snapshot, KIND_UPSTREAM, const struct upstream, u)
  {
    const struct service *service = u->group->service;
    if (service->health_path.size == 0)
      continue;
    struct probe *probe = find_probe (health, u);
    if (!probe)
      {
        add_probe (health, u);
        continue;
      }
    probe->is_configured = true;
    probe->interval_ms = service->health_interval_ms;
    snprintf (probe->url, sizeof probe->url, "http://%s%s", probe->address,
              service->health_path.data);
  }
  remove_unconfigured (health);
}

void
health_destroy (struct health *health)
{
  if (!health)
    return;
  for (struct probe *p = health->probes; p; p = p->next)
    p->is_configured = false;
  remove_unconfigured (health);
}
