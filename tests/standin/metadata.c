/* The metadata store of the users' platform: keys with revisions, a history of
   the changes since a revision, and leases.

     standin metadata --listen IP:PORT [--also IP:PORT]

   Both addresses serve the same data.  A response holds at most 500 changes,
   as the platform's do; its revision is then that of the last of them.  A
   listing is sorted by key and comes in pages of 500 items; the next page
   begins after the key in `after'.  A query is decoded strictly: a parameter
   that is not known or comes twice, a percent sign that begins no escape, or a
   byte that has to be escaped is refused with 400, and a plus is a blank.
   Every response states the era in the header Store-Era.

   For tests, PUT /_put?key=K writes the request body as the value of K, as an
   operator or an upstream would, PUT /_drop?key=K removes a key,
   PUT /_renew?key=K&count=N writes the value of K again N times, PUT /_copy
   takes a copy of keys and leases, PUT /_restore puts that copy in their place
   and begins a new era, in which revisions and leases since the copy are given
   out again, and PUT /_mode?mode=M sets the mode:
     normal   serves every request
     busy     refuses every request with 503
     silent   never responds
     slow     responds after 600 ms
     compact  as normal, but the history up to now is dropped
     half     refuses requests to the second address with 503
     stuck    as normal, but each page of a listing is the first one
     hollow   as normal, but each page of a listing is empty and not the last
   The test requests are served in every mode.  */
#include "tests/standin/standin.h"

#include <ctype.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  MAX_EVENTS = 64 * 1024,
  MAX_CHANGES = 500, /* in one response */
  PAGE_ITEMS = 500,
  MAX_TARGET_BYTES = 4096,
  MAX_QUERY_BYTES = 1024, /* of a parameter's value, decoded */
  MAX_LEASES = 4096,
  MAX_BODY_BYTES = 1024 * 1024,
  MAX_VALUE_BYTES = 64 * 1024,
  LEASE_CHECK_MS = 50,
  SLOW_DELAY_MS = 600
};

enum mode
{
  MODE_NORMAL,
  MODE_BUSY,
  MODE_HALF,
  MODE_SLOW,
  MODE_SILENT,
  MODE_STUCK,
  MODE_HOLLOW
};

struct event
{
  char *key;
  char *value; /* base64; NULL: removed */
  char *raw;   /* JSON to be listed instead; may be NULL */
  int64_t revision;
  int64_t lease;
  bool is_superseded; /* a later event has the same key */
};

struct store_request
{
  char target[MAX_TARGET_BYTES]; /* as received */
  char body[MAX_BODY_BYTES];
  size_t size;
  struct MHD_Connection *connection;
  struct timer timer;
  bool is_begun;
  bool is_delayed;
  bool delay_over;
};

static struct
{
  struct loop *loop;
  struct httpd *httpd;
  struct event events[MAX_EVENTS];
  size_t event_count;
  int64_t compacted_revision; /* the history up to it was dropped */
  struct
  {
    int64_t id;
    int64_t ttl_ms;
    apr_time_t expires_at;
  } leases[MAX_LEASES], copied_leases[MAX_LEASES];
  int64_t last_lease;
  int64_t era;
  size_t copied_events; /* of the copy that was taken */
  int64_t copied_lease;
  enum mode mode;
  size_t page_items;
  struct timer lease_check_timer;
} store;

static int64_t
current_revision (void)
{
  return (int64_t)store.event_count + 1;
}

/* Queues OBJECT, and frees it.  */
static enum MHD_Result
queue_json (struct MHD_Connection *connection, unsigned int status,
            json_object *object)
{
  char era[32];
  const char *text = json_object_to_json_string_ext (
      object, JSON_C_TO_STRING_PLAIN | JSON_C_TO_STRING_NOSLASHESCAPE);
  struct MHD_Response *response = MHD_create_response_from_buffer (
      strlen (text), (void *)text, MHD_RESPMEM_MUST_COPY);
  json_object_put (object);
  snprintf (era, sizeof era, "%lld", (long long)store.era);
  MHD_add_response_header (response, "Content-Type", "application/json");
  MHD_add_response_header (response, "Store-Era", era);
  enum MHD_Result result = MHD_queue_response (connection, status, response);
  MHD_destroy_response (response);
  return result;
}

static bool
is_latest (size_t i)
{
  return !store.events[i].is_superseded;
}

static void
append_event (const char *key, const char *value, int64_t lease)
{
  if (store.event_count == MAX_EVENTS)
    abort ();
  for (size_t i = store.event_count; i-- > 0;)
    if (!store.events[i].is_superseded
        && strcmp (store.events[i].key, key) == 0)
      {
        store.events[i].is_superseded = true;
        break;
      }
  struct event event = { .key = strdup (key),
                         .value = value ? strdup (value) : NULL,
                         .revision = current_revision () + 1,
                         .lease = lease };
  store.events[store.event_count++] = event;
}

static json_object *
event_json (const struct event *event)
{
  if (event->raw)
    return json_tokener_parse (event->raw);
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

/* Parameters of a query; each is a NUL-terminated text of `sizes' bytes.  */
struct query
{
  const char *const *names;
  char values[4][MAX_QUERY_BYTES];
  size_t sizes[4];
  bool is_given[4];
};

/* Decodes the SIZE bytes of a query's value at TEXT to OUT; returns false if
   one of them should have been escaped, or an escape is broken.  */
static bool
decode_value (const char *text, size_t size, char *out, size_t *out_size)
{
  size_t n = 0;
  for (size_t i = 0; i < size; i++)
    {
      char digits[3] = "";
      if (n + 1 == MAX_QUERY_BYTES)
        return false;
      if (text[i] == '%')
        {
          if (i + 2 >= size || !isxdigit ((unsigned char)text[i + 1])
              || !isxdigit ((unsigned char)text[i + 2]))
            return false;
          memcpy (digits, text + i + 1, 2);
          out[n++] = (char)strtol (digits, NULL, 16);
          i += 2;
        }
      else if (text[i] == '+')
        out[n++] = ' ';
      else if (isalnum ((unsigned char)text[i])
               || (text[i] && strchr ("-._~/:@!$'()*,;", text[i])))
        out[n++] = text[i];
      else
        return false;
    }
  out[n] = 0;
  *out_size = n;
  return true;
}

/* Reads the query of TARGET, whose parameters are all among QUERY's names.  */
static bool
parse_query (const char *target, struct query *query)
{
  const char *at = strchr (target, '?');
  while (at && *at)
    {
      const char *name = at + 1;
      size_t size = strcspn (name, "&");
      const char *equals = memchr (name, '=', size);
      size_t i = 0;
      if (!equals)
        return false;
      while (query->names[i]
             && (strncmp (name, query->names[i], (size_t)(equals - name)) != 0
                 || query->names[i][equals - name]))
        i++;
      if (!query->names[i] || query->is_given[i]
          || !decode_value (equals + 1, size - (size_t)(equals + 1 - name),
                            query->values[i], &query->sizes[i]))
        return false;
      query->is_given[i] = true;
      at = name + size;
    }
  return true;
}

static int
compare_keys (const void *a, const void *b)
{
  const struct event *const *first = a;
  const struct event *const *second = b;
  return strcmp ((*first)->key, (*second)->key);
}

static enum MHD_Result send_number (struct MHD_Connection *connection,
                                    unsigned int status, const char *name,
                                    int64_t number);

/* Sends a page of the keys with the request's prefix, and their values.  */
static enum MHD_Result
send_page (struct MHD_Connection *connection, const char *target)
{
  static const char *const names[]
      = { "prefix", "after", "serializable", NULL };
  static const struct event *sorted[MAX_EVENTS];
  struct query query = { .names = names };
  size_t count = 0;
  size_t sent = 0;
  if (!parse_query (target, &query))
    return send_number (connection, 400, "error", 1);
  struct str prefix = str_view (query.values[0], query.sizes[0]);
  struct str after = str_view (query.values[1], query.sizes[1]);
  if (store.mode == MODE_STUCK)
    after.size = 0;
  for (size_t i = 0; i < store.event_count; i++)
    if (store.events[i].value && is_latest (i)
        && str_starts_with (str_from (store.events[i].key), prefix)
        && str_compare (str_from (store.events[i].key), after) > 0)
      sorted[count++] = &store.events[i];
  qsort (sorted, count, sizeof *sorted, compare_keys);
  json_object *list = json_object_new_array ();
  json_object *object = json_object_new_object ();
  while (sent < count && sent < store.page_items && store.mode != MODE_HOLLOW)
    json_object_array_add (list, event_json (sorted[sent++]));
  json_object_object_add (object, "items", list);
  json_object_object_add (
      object, "has_more",
      json_object_new_boolean (sent < count || store.mode == MODE_HOLLOW));
  json_object_object_add (object, "current_rev",
                          json_object_new_int64 (current_revision ()));
  return queue_json (connection, 200, object);
}

/* Sends the changes of keys with the request's prefix after a revision; 410 if
   some of them were dropped.  */
static enum MHD_Result
send_changes (struct MHD_Connection *connection, const char *target)
{
  static const char *const names[] = { "prefix", "after", "wait_ms", NULL };
  struct query query = { .names = names };
  if (!parse_query (target, &query))
    return send_number (connection, 400, "error", 1);
  struct str prefix = str_view (query.values[0], query.sizes[0]);
  int64_t after = strtoll (query.values[1], NULL, 10);
  int64_t revision = current_revision ();
  json_object *list = json_object_new_array ();
  json_object *object = json_object_new_object ();
  for (size_t i = 0; i < store.event_count; i++)
    {
      const struct event *event = &store.events[i];
      if (json_object_array_length (list) == MAX_CHANGES)
        {
          revision = store.events[i - 1].revision;
          break;
        }
      if (event->revision > after
          && str_starts_with (str_from (event->key), prefix))
        json_object_array_add (list, event_json (event));
    }
  json_object_object_add (object, "events", list);
  json_object_object_add (object, "current_rev",
                          json_object_new_int64 (revision));
  bool is_gone
      = after < store.compacted_revision || after > current_revision ();
  return queue_json (connection, is_gone ? 410 : 200, object);
}

static enum MHD_Result
send_number (struct MHD_Connection *connection, unsigned int status,
             const char *name, int64_t number)
{
  json_object *object = json_object_new_object ();
  json_object_object_add (object, name, json_object_new_int64 (number));
  return queue_json (connection, status, object);
}

static int64_t
body_number (const struct store_request *request, const char *name)
{
  json_object *object = json_tokener_parse (request->body);
  json_object *value;
  int64_t number = object && json_object_object_get_ex (object, name, &value)
                       ? json_object_get_int64 (value)
                       : 0;
  json_object_put (object);
  return number;
}

static enum MHD_Result
grant_lease (struct MHD_Connection *connection, struct store_request *request)
{
  int64_t ttl_ms = body_number (request, "ttl_ms");
  size_t index = (size_t)(store.last_lease % MAX_LEASES);
  store.leases[index].id = ++store.last_lease;
  store.leases[index].ttl_ms = ttl_ms;
  store.leases[index].expires_at = timer_clock () + TIMER_MS (ttl_ms);
  return send_number (connection, 200, "lease", store.last_lease);
}

static enum MHD_Result
renew_lease (struct MHD_Connection *connection, int64_t id)
{
  for (int i = 0; i < MAX_LEASES; i++)
    if (id > 0 && store.leases[i].id == id)
      {
        store.leases[i].expires_at
            = timer_clock () + TIMER_MS (store.leases[i].ttl_ms);
        return send_number (connection, 200, "ttl_ms", store.leases[i].ttl_ms);
      }
  return send_number (connection, 404, "lease", id);
}

/* Returns whether WRITE names no lease or one that has not ended.  */
static bool
lease_is_valid (json_object *write)
{
  json_object *lease = NULL;
  json_object_object_get_ex (write, "lease", &lease);
  int64_t id = json_object_get_int64 (lease);
  return id == 0 || store.leases[(id - 1) % MAX_LEASES].id == id;
}

static enum MHD_Result
apply_transaction (struct MHD_Connection *connection,
                   struct store_request *request)
{
  json_object *object = json_tokener_parse (request->body);
  json_object *writes = NULL, *deletes = NULL;
  json_object_object_get_ex (object, "writes", &writes);
  json_object_object_get_ex (object, "deletes", &deletes);
  for (size_t i = 0; deletes && i < json_object_array_length (deletes); i++)
    append_event (
        json_object_get_string (json_object_array_get_idx (deletes, i)), NULL,
        0);
  for (size_t i = 0; writes && i < json_object_array_length (writes); i++)
    if (!lease_is_valid (json_object_array_get_idx (writes, i)))
      {
        json_object_put (object);
        return send_number (connection, 404, "error", 1);
      }
  for (size_t i = 0; writes && i < json_object_array_length (writes); i++)
    {
      json_object *write = json_object_array_get_idx (writes, i);
      json_object *key = NULL, *value = NULL, *lease = NULL;
      json_object_object_get_ex (write, "key", &key);
      json_object_object_get_ex (write, "value", &value);
      json_object_object_get_ex (write, "lease", &lease);
      append_event (json_object_get_string (key),
                    json_object_get_string (value),
                    json_object_get_int64 (lease));
    }
  json_object_put (object);
  return send_number (connection, 200, "revision", current_revision ());
}

static void
put_body (const char *key, const struct store_request *request)
{
  static char text[2 * MAX_VALUE_BYTES];
  sodium_bin2base64 (text, sizeof text, (const unsigned char *)request->body,
                     request->size, sodium_base64_VARIANT_ORIGINAL);
  append_event (key, text, 0);
}

/* Lists the JSON of REQUEST's body in the place of KEY.  */
static void
put_raw (const char *key, const struct store_request *request)
{
  append_event (key, "", 0);
  store.events[store.event_count - 1].raw
      = strndup (request->body, request->size);
}

/* Writes the value of KEY again COUNT times.  */
static void
renew (const char *key, int64_t count)
{
  for (size_t i = store.event_count; i-- > 0;)
    if (strcmp (store.events[i].key, key) == 0 && store.events[i].value)
      {
        char *value = strdup (store.events[i].value);
        while (count-- > 0)
          append_event (key, value, 0);
        free (value);
        return;
      }
}

/* Undoes what was written, and which leases were opened or ended, since the
   copy.  */
static void
restore (void)
{
  while (store.event_count > store.copied_events)
    {
      struct event *event = &store.events[--store.event_count];
      free (event->key);
      free (event->value);
      free (event->raw);
    }
  for (size_t i = 0; i < store.event_count; i++)
    {
      store.events[i].is_superseded = false;
      for (size_t later = i + 1;
           later < store.event_count && !store.events[i].is_superseded;
           later++)
        store.events[i].is_superseded
            = strcmp (store.events[i].key, store.events[later].key) == 0;
    }
  apr_time_t now = timer_clock ();
  memcpy (store.leases, store.copied_leases, sizeof store.leases);
  for (int i = 0; i < MAX_LEASES; i++)
    store.leases[i].expires_at = now + TIMER_MS (store.leases[i].ttl_ms);
  store.last_lease = store.copied_lease;
  store.era++;
}

static void
set_mode (struct str mode)
{
  if (str_equal (mode, STR ("compact")))
    store.compacted_revision = current_revision ();
  store.mode = str_equal (mode, STR ("busy"))     ? MODE_BUSY
               : str_equal (mode, STR ("half"))   ? MODE_HALF
               : str_equal (mode, STR ("slow"))   ? MODE_SLOW
               : str_equal (mode, STR ("silent")) ? MODE_SILENT
               : str_equal (mode, STR ("stuck"))  ? MODE_STUCK
               : str_equal (mode, STR ("hollow")) ? MODE_HOLLOW
                                                  : MODE_NORMAL;
}

/* Serves a test request; returns false for a request to the store.  */
static bool
handle_test_request (struct MHD_Connection *connection, const char *url,
                     struct store_request *request, enum MHD_Result *result)
{
  struct str key = httpd_query_parameter (connection, "key");
  if (strcmp (url, "/_put") == 0)
    put_body (key.data, request);
  else if (strcmp (url, "/_raw") == 0)
    put_raw (key.data, request);
  else if (strcmp (url, "/_pages") == 0)
    store.page_items
        = strtoul (httpd_query_parameter (connection, "items").data, NULL, 10);
  else if (strcmp (url, "/_drop") == 0)
    append_event (key.data, NULL, 0);
  else if (strcmp (url, "/_renew") == 0)
    renew (key.data, strtoll (httpd_query_parameter (connection, "count").data,
                              NULL, 10));
  else if (strcmp (url, "/_copy") == 0)
    {
      store.copied_events = store.event_count;
      store.copied_lease = store.last_lease;
      memcpy (store.copied_leases, store.leases, sizeof store.leases);
    }
  else if (strcmp (url, "/_restore") == 0)
    restore ();
  else if (strcmp (url, "/_mode") == 0)
    set_mode (httpd_query_parameter (connection, "mode"));
  else
    return false;
  *result = send_number (connection, 200, "revision", current_revision ());
  return true;
}

static void
on_delay_over (void *user_data, apr_time_t now)
{
  (void)now;
  struct store_request *request = user_data;
  request->is_delayed = false;
  request->delay_over = true;
  httpd_resume (store.httpd, request->connection);
}

static void *
on_request_started (void *user_data, const char *target,
                    struct MHD_Connection *connection)
{
  (void)user_data;
  (void)connection;
  struct store_request *request = calloc (1, sizeof *request);
  if (!request)
    abort ();
  snprintf (request->target, sizeof request->target, "%s", target);
  return request;
}

static enum MHD_Result
on_request (void *user_data, struct MHD_Connection *connection,
            const char *url, const char *method, const char *version,
            const char *data, size_t *size, void **context)
{
  bool is_second = user_data != NULL;
  (void)method;
  (void)version;
  struct store_request *request = *context;
  enum MHD_Result result;
  if (!request->is_begun)
    {
      request->is_begun = true;
      return MHD_YES;
    }
  if (*size > 0)
    {
      if (request->size + *size >= MAX_BODY_BYTES)
        return MHD_NO;
      memcpy (request->body + request->size, data, *size);
      request->size += *size;
      *size = 0;
      return MHD_YES;
    }
  if (handle_test_request (connection, url, request, &result))
    return result;
  if (store.mode == MODE_SILENT)
    {
      httpd_suspend (store.httpd, connection);
      return MHD_YES;
    }
  if (store.mode == MODE_BUSY || (store.mode == MODE_HALF && is_second))
    return send_number (connection, 503, "error", 1);
  if (store.mode == MODE_SLOW && !request->delay_over)
    {
      request->connection = connection;
      request->is_delayed = true;
      timer_start (loop_timers (store.loop), &request->timer,
                   timer_clock () + TIMER_MS (SLOW_DELAY_MS), on_delay_over,
                   request);
      httpd_suspend (store.httpd, connection);
      return MHD_YES;
    }
  if (strcmp (url, "/kv-range") == 0)
    return send_page (connection, request->target);
  if (strcmp (url, "/kv-watch") == 0)
    return send_changes (connection, request->target);
  if (strcmp (url, "/kv-lease") == 0)
    return grant_lease (connection, request);
  if (strncmp (url, "/kv-keep/", 9) == 0)
    return renew_lease (connection, strtoll (url + 9, NULL, 10));
  if (strcmp (url, "/kv-txn") == 0)
    return apply_transaction (connection, request);
  return send_number (connection, 404, "error", 1);
}

static void
on_request_completed (void *user_data, struct MHD_Connection *connection,
                      void **context, enum MHD_RequestTerminationCode code)
{
  (void)user_data;
  (void)connection;
  (void)code;
  struct store_request *request = *context;
  if (request && request->is_delayed)
    timer_stop (loop_timers (store.loop), &request->timer);
  free (request);
}

/* Ends the leases that have expired and removes their keys.  */
static void
on_lease_check (void *user_data, apr_time_t now)
{
  (void)user_data;
  for (int l = 0; l < MAX_LEASES; l++)
    {
      if (store.leases[l].id == 0 || store.leases[l].expires_at > now)
        continue;
      for (size_t i = 0, count = store.event_count; i < count; i++)
        if (store.events[i].value && is_latest (i)
            && store.events[i].lease == store.leases[l].id)
          append_event (store.events[i].key, NULL, 0);
      store.leases[l].id = 0;
    }
  timer_start (loop_timers (store.loop), &store.lease_check_timer,
               now + TIMER_MS (LEASE_CHECK_MS), on_lease_check, NULL);
}

int
run_metadata (int argc, char **argv, apr_pool_t *pool)
{
  struct err err;
  struct httpd_desc desc
      = { .address
          = str_from (option (argc, argv, "--listen", "127.24.9.1:7900")),
          .request_started = on_request_started,
          .handler = on_request,
          .request_completed = on_request_completed };
  if (loop_create (pool, &store.loop, &err) != ERR_NONE)
    return 1;
  desc.loop = store.loop;
  if (httpd_create (pool, &desc, &store.httpd, &err) != ERR_NONE)
    {
      fprintf (stderr, "metadata: %s\n", err.detail);
      return 1;
    }
  const char *second_address = option (argc, argv, "--also", NULL);
  struct httpd *second_httpd;
  desc.address = str_from (second_address);
  desc.user_data = &store;
  if (second_address
      && httpd_create (pool, &desc, &second_httpd, &err) != ERR_NONE)
    return 1;
  store.era = 1;
  store.page_items = PAGE_ITEMS;
  stop_on_signal (store.loop);
  on_lease_check (NULL, timer_clock ());
  loop_run (store.loop);
  return 0;
}
