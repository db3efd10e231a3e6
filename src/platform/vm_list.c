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
  /* Number of entries up to which the interval is that of the settings.  */
  REFERENCE_ENTRIES = 11
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
report_vms (struct vm_list *list, json_object *vms)
{
  size_t n = json_object_array_length (vms);
  struct vm *all = calloc (n + 1, sizeof *all);
  if (!all)
    abort ();
  for (size_t i = 0; i < n; i++)
    {
      json_object *item = json_object_array_get_idx (vms, i);
      all[i].name = text_of (item, "name");
      all[i].peer_address = text_of (item, "peers");
      all[i].address = text_of (item, "address");
      all[i].leaving = str_equal (text_of (item, "state"), STR ("leaving"));
    }
  list->desc.vms_received (list->desc.user_data, all, n);
  free (all);
}

static void send_request (struct vm_list *list);

static void
on_due (void *user_data, apr_time_t now)
{
  (void)now;
  send_request (user_data);
}

static void
on_response (void *user_data, const struct http_response *response)
{
  struct vm_list *list = user_data;
  if (response->status == 200)
    {
      json_object *object = json_tokener_parse (response->body.data);
      json_object *vms = NULL;
      if (json_object_get_type (object) == json_type_object
          && json_object_object_get_ex (object, "vms", &vms)
          && json_object_get_type (vms) == json_type_array)
        report_vms (list, vms);
      json_object_put (object);
    }
  size_t entries
      = list->entries > REFERENCE_ENTRIES ? list->entries : REFERENCE_ENTRIES;
  int64_t wait_ms = list->desc.poll_ms * (int64_t)entries / REFERENCE_ENTRIES;
  /* Half to one and a half of it, at random.  */
  wait_ms = wait_ms / 2 + rand () % wait_ms;
  timer_start (loop_timers (list->desc.loop), &list->timer,
               timer_clock () + TIMER_MS (wait_ms), on_due, list);
}

static void
send_request (struct vm_list *list)
{
  struct http_request request = { .url = list->desc.url.data };
  http_client_send (list->desc.client, &request, on_response, list);
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
    send_request (list);
}

void
vm_list_destroy (struct vm_list *list)
{
  if (list)
    timer_stop (loop_timers (list->desc.loop), &list->timer);
}

void
vm_list_set_entry_count (struct vm_list *list, size_t entries)
{
  list->entries = entries;
}
