#include "platform/health.h"

#include "base/log.h"

#include <stdio.h>
#include <stdlib.h>

/* types */

/* The probe of one upstream, kept while its name and address stay.  */
struct probe
{
  struct probe *next;
  struct health *health;
  char name[64];
  char address[64];
  char url[400];
  int64_t interval_ms;
  bool wanted;
  bool asking;
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
  ANSWER_LIMIT_BYTES = 4096,
  TIMEOUT_MS = 1000
};

/* private functions */

static void ask (struct probe *probe);

static void
on_due (void *part, apr_time_t now)
{
  (void)now;
  ask (part);
}

static void
take_answer (struct probe *probe, struct str body)
{
  json_object *answer = json_tokener_parse (body.data);
  json_object *state = NULL;
  json_object *load = NULL;
  if (json_object_get_type (answer) != json_type_object)
    {
      json_object_put (answer);
      return;
    }
  struct str name = str_from (probe->name);
  if (json_object_object_get_ex (answer, "state", &state))
    {
      bool leaving = str_equal (str_from (json_object_get_string (state)),
                                STR ("leaving"));
      if (leaving != probe->leaving)
        LOG (LOG_INFO, leaving ? "upstream-leaving" : "upstream-returned",
             LOG_TEXT ("upstream", probe->name),
             LOG_TEXT ("source", "health"));
      probe->leaving = leaving;
      probe->health->desc.leaving (probe->health->desc.part, name, leaving);
    }
  if (json_object_object_get_ex (answer, "load_percent", &load))
    probe->health->desc.load (probe->health->desc.part, name,
                              json_object_get_int64 (load));
  json_object_put (answer);
}

static void
on_answer (void *part, const struct http_answer *answer)
{
  struct probe *probe = part;
  probe->asking = false;
  if (!probe->wanted)
    {
      free (probe);
      return;
    }
  if (answer->status == 200 || answer->status == 503)
    take_answer (probe, answer->body);
  timer_start (loop_timers (probe->health->desc.loop), &probe->timer,
               timer_clock () + TIMER_MS (probe->interval_ms), on_due, probe);
}

static void
ask (struct probe *probe)
{
  struct http_request request = { .url = probe->url,
                                  .timeout_ms = TIMEOUT_MS,
                                  .answer_limit = ANSWER_LIMIT_BYTES,
                                  .drop = free };
  probe->asking = true;
  http_client_send (probe->health->desc.client, &request, on_answer, probe);
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
  probe->wanted = true;
  probe->next = health->probes;
  health->probes = probe;
  snprintf (probe->url, sizeof probe->url, "http://%s%s", probe->address,
            service->health_path.data);
  probe->interval_ms = service->health_interval_ms;
  /* Spreads the first questions over one interval.  */
  timer_start (loop_timers (health->desc.loop), &probe->timer,
               timer_clock () + TIMER_MS (rand () % (int)probe->interval_ms),
               on_due, probe);
}

static void
drop_unwanted (struct health *health)
{
  struct probe **at = &health->probes;
  while (*at)
    {
      struct probe *probe = *at;
      if (probe->wanted)
        {
          at = &probe->next;
          continue;
        }
      *at = probe->next;
      timer_stop (loop_timers (health->desc.loop), &probe->timer);
      /* One that is being asked is freed with its answer.  */
      if (!probe->asking)
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
    p->wanted = false;
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
    probe->wanted = true;
    probe->interval_ms = service->health_interval_ms;
    snprintf (probe->url, sizeof probe->url, "http://%s%s", probe->address,
              service->health_path.data);
  }
  drop_unwanted (health);
}

void
health_destroy (struct health *health)
{
  if (!health)
    return;
  for (struct probe *p = health->probes; p; p = p->next)
    p->wanted = false;
  drop_unwanted (health);
}
