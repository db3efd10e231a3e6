/* The metadata store of the users' platform: keys with revisions, changes
   since a revision, leases.

     standin metadata --listen IP:PORT [--also IP:PORT]

   For tests, PUT /_put?key=K writes the body as the operator or an upstream
   would, PUT /_drop?key=K removes a key, and PUT /_mode?mode=M changes its
   manner: `normal', `busy' refuses every call, `silent' never answers,
   `slow' takes 600 ms an answer, `compact' drops the history, `half' refuses
   only callers of the second address.  */
#include "tests/standin/standin.h"

#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  EVENTS_MAX = 64 * 1024,
  LEASES_MAX = 4096,
  BODY_MAX_BYTES = 1024 * 1024,
  VALUE_MAX_BYTES = 64 * 1024,
  SWEEP_MS = 50,
  SLOW_MS = 600
};

enum mode
{
  MODE_NORMAL,
  MODE_BUSY,
  MODE_HALF,
  MODE_SLOW,
  MODE_SILENT
};

struct event
{
  char *key;
  char *value; /* base64; NULL: removed */
  int64_t revision;
  int64_t lease;
  bool is_old; /* a later event has the same key */
};

struct exchange
{
  char body[BODY_MAX_BYTES];
  size_t size;
  struct MHD_Connection *connection;
  struct timer timer;
  bool waits;
  bool waited;
};

static struct
{
  struct loop *loop;
  struct httpd *httpd;
  struct event events[EVENTS_MAX];
  size_t count;
  int64_t oldest; /* revision up to which the history was dropped */
  struct
  {
    int64_t id;
    int64_t ttl_ms;
    apr_time_t until;
  } leases[LEASES_MAX];
  int64_t last_lease;
  enum mode mode;
  struct timer sweep;
} store;

static int64_t
revision (void)
{
  return (int64_t)store.count + 1;
}

static bool
is_latest (size_t i)
{
  return !store.events[i].is_old;
}

static void
append (const char *key, const char *value, int64_t lease)
{
  if (store.count == EVENTS_MAX)
    abort ();
  for (size_t i = store.count; i-- > 0;)
    if (!store.events[i].is_old && strcmp (store.events[i].key, key) == 0)
      {
        store.events[i].is_old = true;
        break;
      }
  struct event event = { .key = strdup (key),
                         .value = value ? strdup (value) : NULL,
                         .revision = revision () + 1,
                         .lease = lease };
  store.events[store.count++] = event;
}

static json_object *
event_json (const struct event *event)
{
  json_object *object = json_object_new_object ();
  json_object_object_add (object, "key", json_object_new_string (event->key));
  json_object_object_add (object, "revision",
                          json_object_new_int64 (event->revision));
  if (event->value)
    json_object_object_add (object, "value",
                            json_object_new_string (event->value));
  else
    json_object_object_add (object, "tombstone",
                            json_object_new_boolean (true));
  return object;
}

static enum MHD_Result
answer_items (struct MHD_Connection *connection, bool changes)
{
  struct str prefix = httpd_query_parameter (connection, "prefix");
  struct str after = httpd_query_parameter (connection, "after");
  int64_t from = changes ? strtoll (after.data, NULL, 10) : 0;
  json_object *list = json_object_new_array ();
  json_object *object = json_object_new_object ();
  for (size_t i = 0; i < store.count; i++)
    {
      const struct event *event = &store.events[i];
      if (!str_starts_with (str_from (event->key), prefix))
        continue;
      if (changes ? event->revision > from
                  : event->value != NULL && is_latest (i))
        json_object_array_add (list, event_json (event));
    }
  json_object_object_add (object, changes ? "events" : "items", list);
  json_object_object_add (object, "has_more", json_object_new_boolean (false));
  json_object_object_add (object, "current_rev",
                          json_object_new_int64 (revision ()));
  return httpd_queue_json (connection,
                           changes && from < store.oldest ? 410 : 200, object);
}

static enum MHD_Result
answer_number (struct MHD_Connection *connection, unsigned int status,
               const char *name, int64_t number)
{
  json_object *object = json_object_new_object ();
  json_object_object_add (object, name, json_object_new_int64 (number));
  return httpd_queue_json (connection, status, object);
}

static int64_t
number_in (const struct exchange *exchange, const char *name)
{
  json_object *object = json_tokener_parse (exchange->body);
  json_object *value;
  int64_t number = object && json_object_object_get_ex (object, name, &value)
                       ? json_object_get_int64 (value)
                       : 0;
  json_object_put (object);
  return number;
}

static enum MHD_Result
open_lease (struct MHD_Connection *connection, struct exchange *exchange)
{
  int64_t ttl_ms = number_in (exchange, "ttl_ms");
  size_t slot = (size_t)(store.last_lease % LEASES_MAX);
  store.leases[slot].id = ++store.last_lease;
  store.leases[slot].ttl_ms = ttl_ms;
  store.leases[slot].until = timer_clock () + TIMER_MS (ttl_ms);
  return answer_number (connection, 200, "lease", store.last_lease);
}

static enum MHD_Result
keep_lease (struct MHD_Connection *connection, int64_t id)
{
  for (int i = 0; i < LEASES_MAX; i++)
    if (id > 0 && store.leases[i].id == id)
      {
        store.leases[i].until
            = timer_clock () + TIMER_MS (store.leases[i].ttl_ms);
        return answer_number (connection, 200, "ttl_ms",
                              store.leases[i].ttl_ms);
      }
  return answer_number (connection, 404, "lease", id);
}

/* Returns whether the lease that WRITE names, if any, has not ended.  */
static bool
lease_lives (json_object *write)
{
  json_object *lease = NULL;
  json_object_object_get_ex (write, "lease", &lease);
  int64_t id = json_object_get_int64 (lease);
  return id == 0 || store.leases[(id - 1) % LEASES_MAX].id == id;
}

static enum MHD_Result
write_keys (struct MHD_Connection *connection, struct exchange *exchange)
{
  json_object *object = json_tokener_parse (exchange->body);
  json_object *writes = NULL, *deletes = NULL;
  json_object_object_get_ex (object, "writes", &writes);
  json_object_object_get_ex (object, "deletes", &deletes);
  for (size_t i = 0; deletes && i < json_object_array_length (deletes); i++)
    append (json_object_get_string (json_object_array_get_idx (deletes, i)),
            NULL, 0);
  for (size_t i = 0; writes && i < json_object_array_length (writes); i++)
    if (!lease_lives (json_object_array_get_idx (writes, i)))
      {
        json_object_put (object);
        return answer_number (connection, 404, "error", 1);
      }
  for (size_t i = 0; writes && i < json_object_array_length (writes); i++)
    {
      json_object *write = json_object_array_get_idx (writes, i);
      json_object *key = NULL, *value = NULL, *lease = NULL;
      json_object_object_get_ex (write, "key", &key);
      json_object_object_get_ex (write, "value", &value);
      json_object_object_get_ex (write, "lease", &lease);
      append (json_object_get_string (key), json_object_get_string (value),
              json_object_get_int64 (lease));
    }
  json_object_put (object);
  return answer_number (connection, 200, "revision", revision ());
}

static void
put_plain (const char *key, const struct exchange *exchange)
{
  static char text[2 * VALUE_MAX_BYTES];
  sodium_bin2base64 (text, sizeof text, (const unsigned char *)exchange->body,
                     exchange->size, sodium_base64_VARIANT_ORIGINAL);
  append (key, text, 0);
}

static void
set_mode (struct str mode)
{
  if (str_equal (mode, STR ("compact")))
    store.oldest = revision ();
  store.mode = str_equal (mode, STR ("busy"))     ? MODE_BUSY
               : str_equal (mode, STR ("half"))   ? MODE_HALF
               : str_equal (mode, STR ("slow"))   ? MODE_SLOW
               : str_equal (mode, STR ("silent")) ? MODE_SILENT
                                                  : MODE_NORMAL;
}

/* Answers the tests' own calls; returns false for a call of the store.  */
static bool
answer_test (struct MHD_Connection *connection, const char *url,
             struct exchange *exchange, enum MHD_Result *result)
{
  struct str key = httpd_query_parameter (connection, "key");
  if (strcmp (url, "/_put") == 0)
    put_plain (key.data, exchange);
  else if (strcmp (url, "/_drop") == 0)
    append (key.data, NULL, 0);
  else if (strcmp (url, "/_mode") == 0)
    set_mode (httpd_query_parameter (connection, "mode"));
  else
    return false;
  *result = answer_number (connection, 200, "revision", revision ());
  return true;
}

static void
on_waited (void *part, apr_time_t now)
{
  (void)now;
  struct exchange *exchange = part;
  exchange->waits = false;
  exchange->waited = true;
  httpd_resume (store.httpd, exchange->connection);
}

static enum MHD_Result
handle (void *part, struct MHD_Connection *connection, const char *url,
        const char *method, const char *version, const char *data,
        size_t *size, void **context)
{
  bool is_second = part != NULL;
  (void)method;
  (void)version;
  struct exchange *exchange = *context;
  enum MHD_Result result;
  if (!exchange)
    {
      *context = calloc (1, sizeof *exchange);
      return MHD_YES;
    }
  if (*size > 0)
    {
      if (exchange->size + *size >= BODY_MAX_BYTES)
        return MHD_NO;
      memcpy (exchange->body + exchange->size, data, *size);
      exchange->size += *size;
      *size = 0;
      return MHD_YES;
    }
  if (answer_test (connection, url, exchange, &result))
    return result;
  if (store.mode == MODE_SILENT)
    {
      httpd_suspend (store.httpd, connection);
      return MHD_YES;
    }
  if (store.mode == MODE_BUSY || (store.mode == MODE_HALF && is_second))
    return answer_number (connection, 503, "error", 1);
  if (store.mode == MODE_SLOW && !exchange->waited)
    {
      exchange->connection = connection;
      exchange->waits = true;
      timer_start (loop_timers (store.loop), &exchange->timer,
                   timer_clock () + TIMER_MS (SLOW_MS), on_waited, exchange);
      httpd_suspend (store.httpd, connection);
      return MHD_YES;
    }
  if (strcmp (url, "/kv-range") == 0)
    return answer_items (connection, false);
  if (strcmp (url, "/kv-watch") == 0)
    return answer_items (connection, true);
  if (strcmp (url, "/kv-lease") == 0)
    return open_lease (connection, exchange);
  if (strncmp (url, "/kv-keep/", 9) == 0)
    return keep_lease (connection, strtoll (url + 9, NULL, 10));
  if (strcmp (url, "/kv-txn") == 0)
    return write_keys (connection, exchange);
  return answer_number (connection, 404, "error", 1);
}

static void
completed (void *part, struct MHD_Connection *connection, void **context,
           enum MHD_RequestTerminationCode code)
{
  (void)part;
  (void)connection;
  (void)code;
  struct exchange *exchange = *context;
  if (exchange && exchange->waits)
    timer_stop (loop_timers (store.loop), &exchange->timer);
  free (exchange);
}

/* Removes the keys of leases that have ended.  */
static void
on_sweep (void *part, apr_time_t now)
{
  (void)part;
  for (int l = 0; l < LEASES_MAX; l++)
    {
      if (store.leases[l].id == 0 || store.leases[l].until > now)
        continue;
      for (size_t i = 0, count = store.count; i < count; i++)
        if (store.events[i].value && is_latest (i)
            && store.events[i].lease == store.leases[l].id)
          append (store.events[i].key, NULL, 0);
      store.leases[l].id = 0;
    }
  timer_start (loop_timers (store.loop), &store.sweep,
               now + TIMER_MS (SWEEP_MS), on_sweep, NULL);
}

int
run_metadata (int argc, char **argv, apr_pool_t *pool)
{
  struct err err;
  struct httpd_desc desc
      = { .address
          = str_from (option (argc, argv, "--listen", "127.24.9.1:7900")),
          .handler = handle,
          .request_completed = completed };
  if (loop_create (pool, &store.loop, &err) != ERR_NONE)
    return 1;
  desc.loop = store.loop;
  if (httpd_create (pool, &desc, &store.httpd, &err) != ERR_NONE)
    {
      fprintf (stderr, "metadata: %s\n", err.detail);
      return 1;
    }
  const char *also = option (argc, argv, "--also", NULL);
  struct httpd *second;
  desc.address = str_from (also);
  desc.user_data = &store;
  if (also && httpd_create (pool, &desc, &second, &err) != ERR_NONE)
    return 1;
  stop_on_signal (store.loop);
  on_sweep (NULL, timer_clock ());
  loop_run (store.loop);
  return 0;
}
