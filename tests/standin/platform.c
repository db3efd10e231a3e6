/* The platform: a key-value store with compare-and-swap and long polls, and
   the list of VMs.

     standin platform --store IP:PORT --vms IP:PORT

   PUT /_control?mode=normal|down|lose|older on the store's address changes
   its manner: `down' drops every request, `lose' performs writes and drops
   their answers, `older' puts the first value of every key back.
   PUT /v1/vms replaces the list.  */
#include "tests/standin/standin.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum mode
{
  MODE_NORMAL,
  MODE_DOWN,
  MODE_LOSE
};

enum
{
  KEYS_MAX = 64,
  VALUE_MAX_BYTES = 1024 * 1024
};

struct pair
{
  char key[128];
  char *value;
  size_t size;
  char *first_value;
  size_t first_size;
  int64_t index;
};

struct poll
{
  struct poll *next;
  struct MHD_Connection *connection;
  char key[128];
  int64_t index;
  bool suspended;
  bool is_put;
  bool whole;
  char *body;
  size_t size;
  struct timer timer;
};

static struct
{
  struct loop *loop;
  struct httpd *store;
  struct httpd *vms;
  struct pair pairs[KEYS_MAX];
  int64_t index;
  enum mode mode;
  struct poll *polls;
  int64_t reads;
  int64_t writes;
  char *vm_list;
} platform = { .index = 1 };

static struct pair *
find (const char *key, bool add)
{
  for (int i = 0; i < KEYS_MAX; i++)
    {
      struct pair *pair = &platform.pairs[i];
      if (strcmp (pair->key, key) == 0)
        return pair;
      if (pair->key[0] == 0)
        {
          if (add)
            snprintf (pair->key, sizeof pair->key, "%s", key);
          return add ? pair : NULL;
        }
    }
  abort ();
}

static enum MHD_Result
reply (struct MHD_Connection *connection, unsigned int status,
       const char *data, size_t size, int64_t index)
{
  char text[32];
  struct MHD_Response *response = MHD_create_response_from_buffer (
      size, (void *)data, MHD_RESPMEM_MUST_COPY);
  snprintf (text, sizeof text, "%lld", (long long)index);
  MHD_add_response_header (response, "X-Consul-Index", text);
  enum MHD_Result result = MHD_queue_response (connection, status, response);
  MHD_destroy_response (response);
  return result;
}

static void
wake (struct poll *poll)
{
  timer_stop (loop_timers (platform.loop), &poll->timer);
  if (poll->suspended)
    {
      poll->suspended = false;
      poll->index = -1;
      httpd_resume (platform.store, poll->connection);
    }
}

static void
on_poll_due (void *part, apr_time_t now)
{
  (void)now;
  wake (part);
}

static void
wake_key (const char *key)
{
  for (struct poll *poll = platform.polls; poll; poll = poll->next)
    if (strcmp (poll->key, key) == 0)
      wake (poll);
}

static void
set_value (struct pair *pair, const char *data, size_t size)
{
  free (pair->value);
  pair->value = malloc (size + 1);
  memcpy (pair->value, data, size);
  pair->size = size;
  pair->index = ++platform.index;
  if (!pair->first_value)
    {
      pair->first_value = malloc (size + 1);
      memcpy (pair->first_value, data, size);
      pair->first_size = size;
    }
  wake_key (pair->key);
}

static bool
write_value (const char *key, int64_t index, const struct poll *poll)
{
  struct pair *pair = find (key, true);
  if (poll->size > VALUE_MAX_BYTES || pair->index != index)
    return false;
  set_value (pair, poll->body, poll->size);
  return true;
}

static void
set_mode (struct str mode)
{
  if (str_equal (mode, STR ("older")))
    for (int i = 0; i < KEYS_MAX && platform.pairs[i].key[0]; i++)
      set_value (&platform.pairs[i], platform.pairs[i].first_value,
                 platform.pairs[i].first_size);
  platform.mode = str_equal (mode, STR ("down"))   ? MODE_DOWN
                  : str_equal (mode, STR ("lose")) ? MODE_LOSE
                                                   : MODE_NORMAL;
  if (platform.mode == MODE_DOWN)
    for (struct poll *poll = platform.polls; poll; poll = poll->next)
      wake (poll);
}

static enum MHD_Result
serve_control (struct MHD_Connection *connection)
{
  char text[128];
  struct str mode = httpd_query_parameter (connection, "mode");
  if (mode.size > 0)
    set_mode (mode);
  snprintf (text, sizeof text, "{\"reads\":%lld,\"writes\":%lld}\n",
            (long long)platform.reads, (long long)platform.writes);
  return reply (connection, 200, text, strlen (text), 0);
}

static enum MHD_Result
serve_get (struct poll *poll, struct MHD_Connection *connection)
{
  struct str index = httpd_query_parameter (connection, "index");
  struct str wait = httpd_query_parameter (connection, "wait");
  struct pair *pair = find (poll->key, false);
  int64_t current = pair ? pair->index : 1;
  if (poll->index >= 0)
    platform.reads++;
  if (poll->index >= 0 && index.size > 0
      && strtoll (index.data, NULL, 10) == current)
    {
      poll->index = current;
      poll->connection = connection;
      poll->suspended = true;
      timer_start (loop_timers (platform.loop), &poll->timer,
                   timer_clock () + TIMER_MS (strtoll (wait.data, NULL, 10)),
                   on_poll_due, poll);
      httpd_suspend (platform.store, connection);
      return MHD_YES;
    }
  if (!pair || !pair->value)
    return reply (connection, 404, "", 0, current);
  return reply (connection, 200, pair->value, pair->size, current);
}

static enum MHD_Result
serve_put (struct poll *poll, struct MHD_Connection *connection)
{
  struct str cas = httpd_query_parameter (connection, "cas");
  platform.writes++;
  bool written = write_value (poll->key, strtoll (cas.data, NULL, 10), poll);
  if (platform.mode == MODE_LOSE)
    return MHD_NO;
  return reply (connection, 200, written ? "true" : "false", written ? 4 : 5,
                platform.index);
}

static enum MHD_Result
on_store (void *part, struct MHD_Connection *connection, const char *url,
          const char *method, const char *version, const char *data,
          size_t *size, void **context)
{
  (void)part;
  (void)version;
  struct poll *poll = *context;
  if (!poll)
    {
      poll = calloc (1, sizeof *poll);
      poll->is_put = strcmp (method, "PUT") == 0;
      if (strncmp (url, "/v1/kv/", 7) == 0)
        snprintf (poll->key, sizeof poll->key, "%s", url + 7);
      poll->next = platform.polls;
      platform.polls = poll;
      *context = poll;
      return MHD_YES;
    }
  if (*size > 0)
    {
      poll->body = realloc (poll->body, poll->size + *size);
      memcpy (poll->body + poll->size, data, *size);
      poll->size += *size;
      *size = 0;
      return MHD_YES;
    }
  if (strcmp (url, "/_control") == 0)
    return serve_control (connection);
  if (platform.mode == MODE_DOWN || poll->key[0] == 0)
    return MHD_NO;
  return poll->is_put ? serve_put (poll, connection)
                      : serve_get (poll, connection);
}

static void
on_store_done (void *part, struct MHD_Connection *connection, void **context,
               enum MHD_RequestTerminationCode code)
{
  (void)part;
  (void)connection;
  (void)code;
  struct poll **at = &platform.polls;
  while (*at && *at != *context)
    at = &(*at)->next;
  struct poll *poll = *at;
  if (!poll)
    return;
  *at = poll->next;
  timer_stop (loop_timers (platform.loop), &poll->timer);
  free (poll->body);
  free (poll);
  *context = NULL;
}

static enum MHD_Result
on_vms (void *part, struct MHD_Connection *connection, const char *url,
        const char *method, const char *version, const char *data,
        size_t *size, void **context)
{
  (void)part;
  (void)url;
  (void)version;
  if (!*context)
    {
      *context = &platform;
      if (strcmp (method, "PUT") == 0)
        platform.vm_list[0] = 0;
      return MHD_YES;
    }
  if (*size > 0)
    {
      size_t held = strlen (platform.vm_list);
      platform.vm_list = realloc (platform.vm_list, held + *size + 1);
      memcpy (platform.vm_list + held, data, *size);
      platform.vm_list[held + *size] = 0;
      *size = 0;
      return MHD_YES;
    }
  return reply (connection, 200, platform.vm_list, strlen (platform.vm_list),
                0);
}

int
run_platform (int argc, char **argv, apr_pool_t *pool)
{
  struct err err = { 0 };
  struct httpd_desc store = { .handler = on_store,
                              .request_completed = on_store_done,
                              .max_connections = 10000,
                              .idle_timeout_s = 600 };
  struct httpd_desc vms
      = { .handler = on_vms, .max_connections = 10000, .idle_timeout_s = 600 };
  platform.vm_list = strdup ("{\"vms\":[]}");
  if (loop_create (pool, &platform.loop, &err) != ERR_NONE)
    return 1;
  stop_on_signal (platform.loop);
  store.loop = vms.loop = platform.loop;
  store.address = str_from (option (argc, argv, "--store", "127.0.0.1:7500"));
  vms.address = str_from (option (argc, argv, "--vms", "127.0.0.1:7501"));
  if (httpd_create (pool, &store, &platform.store, &err) != ERR_NONE
      || httpd_create (pool, &vms, &platform.vms, &err) != ERR_NONE)
    {
      fprintf (stderr, "standin: %s %s: %s\n", err.step, err.peer, err.detail);
      return 1;
    }
  loop_run (platform.loop);
  return 0;
}
