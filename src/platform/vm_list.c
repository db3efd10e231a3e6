#include "platform/vm_list.h"

#include <json-c/json.h>
#include <stdlib.h>

/* types */

struct vm_list
{
  struct vm_list_desc desc;
  size_t entries;
  struct timer timer;
};

/* constants */

enum
{
  USUAL_FLEET = 11
};

/* private functions */

static struct str
text_of (json_object *object, const char *name)
{
  json_object *value = NULL;
  if (!json_object_object_get_ex (object, name, &value))
    return STR ("");
  return str_from (json_object_get_string (value));
}

static void
take_list (struct vm_list *list, json_object *vms)
{
  size_t n = json_object_array_length (vms);
  struct vm *all = calloc (n + 1, sizeof *all);
  if (!all)
    abort ();
  for (size_t i = 0; i < n; i++)
    {
      json_object *item = json_object_array_get_idx (vms, i);
      all[i].name = text_of (item, "name");
      all[i].peers = text_of (item, "peers");
      all[i].address = text_of (item, "address");
      all[i].leaving = str_equal (text_of (item, "state"), STR ("leaving"));
    }
  list->desc.seen (list->desc.part, all, n);
  free (all);
}

static void ask (struct vm_list *list);

static void
on_due (void *part, apr_time_t now)
{
  (void)now;
  ask (part);
}

static void
on_answer (void *part, const struct http_answer *answer)
{
  struct vm_list *list = part;
  if (answer->status == 200)
    {
      json_object *object = json_tokener_parse (answer->body.data);
      json_object *vms = NULL;
      if (json_object_get_type (object) == json_type_object
          && json_object_object_get_ex (object, "vms", &vms)
          && json_object_get_type (vms) == json_type_array)
        take_list (list, vms);
      json_object_put (object);
    }
  size_t fleet = list->entries > USUAL_FLEET ? list->entries : USUAL_FLEET;
  int64_t wait_ms = list->desc.poll_ms * (int64_t)fleet / USUAL_FLEET;
  wait_ms = wait_ms / 2 + rand () % wait_ms;
  timer_start (loop_timers (list->desc.loop), &list->timer,
               timer_clock () + TIMER_MS (wait_ms), on_due, list);
}

static void
ask (struct vm_list *list)
{
  struct http_request request = { .url = list->desc.url.data };
  http_client_send (list->desc.client, &request, on_answer, list);
}

/* public functions */

struct vm_list *
vm_list_create (apr_pool_t *pool, const struct vm_list_desc *desc)
{
  struct vm_list *list = apr_pcalloc (pool, sizeof *list);
  list->desc = *desc;
  return list;
}

void
vm_list_start (struct vm_list *list)
{
  if (list->desc.url.size > 0)
    ask (list);
}

void
vm_list_destroy (struct vm_list *list)
{
  if (list)
    timer_stop (loop_timers (list->desc.loop), &list->timer);
}

void
vm_list_set_fleet (struct vm_list *list, size_t entries)
{
  list->entries = entries;
}
