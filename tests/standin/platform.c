/* The platform: a key-value store with compare-and-swap and long polls, and
   the list of VMs.

     standin platform --store IP:PORT --vms IP:PORT

   PUT /_control?mode=M on the store's address sets the mode:
     normal  serves every request
     down    closes the connection of every request
     lose    performs writes, but closes their connections unanswered
     older   writes the first value of every key again, then as normal
   The response to any request to /_control has the numbers of reads and
   writes.  PUT /v1/vms replaces the list of VMs.  */
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
  MAX_KEYS = 64,
  MAX_VALUE_BYTES = 1024 * 1024
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

/* A request to the store; a GET that waits for a change is suspended.  */
struct store_request
{
  struct store_request *next;
  struct MHD_Connection *connection;
  char key[128];
  int64_t index; /* that the poll waits to change; -1: the poll has ended */
  bool suspended;
  bool is_put;
  bool whole;
  char *body;
  size_t size;
  struct timer poll_timer;
};

static struct
{
  struct loop *loop;
  struct httpd *store;
  struct httpd *vms;
  struct pair pairs[MAX_KEYS];
  int64_t index;
  enum mode mode;
  struct store_request *requests;
  int64_t reads;
  int64_t writes;
  char *vm_list;
} platform = { .index = 1 };

/* Returns the pair of KEY; if there is none, adds it or returns NULL.  */
static struct pair *
find_pair (const char *key, bool add)
{
  for (int i = 0; i < MAX_KEYS; i++)
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
send_response (struct MHD_Connection *connection, unsigned int status,
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
end_poll (struct store_request *request)
{
  timer_stop (loop_timers (platform.loop), &request->poll_timer);
  if (request->suspended)
    {
      request->suspended = false;
      request->index = -1;
      httpd_resume (platform.store, request->connection);
    }
}

static void
on_poll_timeout (void *user_data, apr_time_t now)
{
  (void)now;
  end_poll (user_data);
}

static void
end_polls_of_key (const char *key)
{
  for (struct store_request *request = platform.requests; request;
       request = request->next)
    if (strcmp (request->key, key) == 0)
      end_poll (request);
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
  end_polls_of_key (pair->key);
}

static bool
compare_and_set (const char *key, int64_t index,
                 const struct store_request *request)
{
  struct pair *pair = find_pair (key, true);
  if (request->size > MAX_VALUE_BYTES || pair->index != index)
    return false;
  set_value (pair, request->body, request->size);
  return true;
}

static void
set_mode (struct str mode)
{
  if (str_equal (mode, STR ("older")))
    for (int i = 0; i < MAX_KEYS && platform.pairs[i].key[0]; i++)
      set_value (&platform.pairs[i], platform.pairs[i].first_value,
                 platform.pairs[i].first_size);
  platform.mode = str_equal (mode, STR ("down"))   ? MODE_DOWN
                  : str_equal (mode, STR ("lose")) ? MODE_LOSE
                                                   : MODE_NORMAL;
  if (platform.mode == MODE_DOWN)
    for (struct store_request *request = platform.requests; request;
         request = request->next)
      end_poll (request);
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
  return send_response (connection, 200, text, strlen (text), 0);
}

static enum MHD_Result
serve_get (struct store_request *request, struct MHD_Connection *connection)
{
  struct str index = httpd_query_parameter (connection, "index");
  struct str wait = httpd_query_parameter (connection, "wait");
  struct pair *pair = find_pair (request->key, false);
  int64_t current = pair ? pair->index : 1;
  if (request->index >= 0)
    platform.reads++;
  if (request->index >= 0 && index.size > 0
      && strtoll (index.data, NULL, 10) == current)
    {
      request->index = current;
      request->connection = connection;
      request->suspended = true;
      timer_start (loop_timers (platform.loop), &request->poll_timer,
                   timer_clock () + TIMER_MS (strtoll (wait.data, NULL, 10)),
                   on_poll_timeout, request);
      httpd_suspend (platform.store, connection);
      return MHD_YES;
    }
  if (!pair || !pair->value)
    return send_response (connection, 404, "", 0, current);
  return send_response (connection, 200, pair->value, pair->size, current);
}

static enum MHD_Result
serve_put (struct store_request *request, struct MHD_Connection *connection)
{
  struct str cas = httpd_query_parameter (connection, "cas");
  platform.writes++;
  bool written
      = compare_and_set (request->key, strtoll (cas.data, NULL, 10), request);
  if (platform.mode == MODE_LOSE)
    return MHD_NO;
  return send_response (connection, 200, written ? "true" : "false",
                        written ? 4 : 5, platform.index);
}

static enum MHD_Result
on_store_request (void *user_data, struct MHD_Connection *connection,
                  const char *url, const char *method, const char *version,
                  const char *data, size_t *size, void **context)
{
  (void)user_data;
  (void)version;
  struct store_request *request = *context;
  if (!request)
    {
      request = calloc (1, sizeof *request);
      request->is_put = strcmp (method, "PUT") == 0;
      if (strncmp (url, "/v1/kv/", 7) == 0)
        snprintf (request->key, sizeof request->key, "%s", url + 7);
      request->next = platform.requests;
      platform.requests = request;
      *context = request;
      return MHD_YES;
    }
  if (*size > 0)
    {
      request->body = realloc (request->body, request->size + *size);
      memcpy (request->body + request->size, data, *size);
      request->size += *size;
      *size = 0;
      return MHD_YES;
    }
  if (strcmp (url, "/_control") == 0)
    return serve_control (connection);
  if (platform.mode == MODE_DOWN || request->key[0] == 0)
    return MHD_NO;
  return request->is_put ? serve_put (request, connection)
                         : serve_get (request, connection);
}

static void
on_store_completed (void *user_data, struct MHD_Connection *connection,
                    void **context, enum MHD_RequestTerminationCode code)
{
  (void)user_data;
  (void)connection;
  (void)code;
  struct store_request **at = &platform.requests;
  while (*at && *at != *context)
    at = &(*at)->next;
  struct store_request *request = *at;
  if (!request)
    return;
  *at = request->next;
  timer_stop (loop_timers (platform.loop), &request->poll_timer);
  free (request->body);
  free (request);
  *context = NULL;
}

static enum MHD_Result
on_vms_request (void *user_data, struct MHD_Connection *connection,
                const char *url, const char *method, const char *version,
                const char *data, size_t *size, void **context)
{
  (void)user_data;
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
      size_t length = strlen (platform.vm_list);
      platform.vm_list = realloc (platform.vm_list, length + *size + 1);
      memcpy (platform.vm_list + length, data, *size);
      platform.vm_list[length + *size] = 0;
      *size = 0;
      return MHD_YES;
    }
  return send_response (connection, 200, platform.vm_list,
                        strlen (platform.vm_list), 0);
}

int
run_platform (int argc, char **argv, apr_pool_t *pool)
{
  struct err err = { 0 };
  struct httpd_desc store = { .handler = on_store_request,
                              .request_completed = on_store_completed,
                              .max_connections = 10000,
                              .idle_timeout_s = 600 };
  struct httpd_desc vms = { .handler = on_vms_request,
                            .max_connections = 10000,
                            .idle_timeout_s = 600 };
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
