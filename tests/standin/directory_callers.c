/* Callers of the users' platform, which find entries through the entries'
   directory (GET /resolve).

     standin directory-callers --lookups IP:PORT,... --events FILE
       [--callers N] [--keepers N] [--until UNIX-SECONDS] [--seed N]

   Each caller uses a response of the directory for its lifetime, keeps its
   connections open and makes one call after another.  An attempt that ends
   with 429, 503 or 408 is followed by another after Retry-After; one without a
   complete response or with another status from 500 on, only with safe
   methods.  A call has at most 3 attempts within 3 s.  One caller in three
   uses a response of the directory for three times its lifetime, and one call
   in 25 is aborted by closing the connection.  After --until no call is
   begun; the process runs until it is stopped by a signal.

   In addition to the callers, keepers have one connection each and use it
   until the entry closes it or answers `Connection: close', whatever the
   directory says.  Half of their pauses are up to 6 s long.  One call in three
   is for /slow/N, N milliseconds of work, with a deadline of 9 s.

   Each attempt has an id of its own, CALL.ATTEMPT, and writes two lines to the
   event file:
     sent ID ENTRY METHOD PATH SIZE HASH DEADLINE-MS kept|other
       (kept: on a keeper's open connection)
     got ID STATUS WORKER whole|other   (STATUS 0: no complete response;
                                         other: not the expected body)
   or, if the caller closes its connection first,
     left ID
   A response of the directory is the line `named ENTRY,ENTRY,...'.  */
#include "tests/standin/events.h"
#include "tests/standin/standin.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>
#include <xxhash.h>

enum
{
  MAX_ADDRESSES = 64,
  MAX_ADDRESS_BYTES = 64,
  MAX_TEXT_BYTES = 1024,
  MAX_TRIES = 3,
  DEADLINE_MS = 3000, /* of a call with all its attempts */
  SLOW_DEADLINE_MS = 9000,
  LOOKUP_TIMEOUT_MS = 1000,
  CONNECT_TIMEOUT_MS = 1000,
  MAX_PAUSE_MS = 60, /* between two calls */
  MAX_KEEPER_PAUSE_MS = 6000,
  SLOW_INTERVAL = 3, /* one call of a keeper in so many is slow */
  MIN_SLOW_WORK_MS = 500,
  MAX_SLOW_WORK_MS = 6500,
  STALE_CALLER_INTERVAL = 3, /* one caller in so many keeps entries longer */
  STALE_LIFETIME_FACTOR = 3, /* of the lifetime, for those callers */
  ABORT_INTERVAL = 25,       /* one call in so many is aborted */
  MAX_ABORT_DELAY_MS = 200,
  AFFINITY_KEYS = 40,
  MAX_UPLOAD_BYTES = 200000
};

static const struct call_kind
{
  const char *method;
  const char *path;
  int percent; /* of the calls */
  int max_body_bytes;
  bool is_safe;
} kinds[] = { { "GET", "/look/", 45, 0, true },
              { "POST", "/jobs/", 25, 40, false },
              { "POST", "/move/", 20, 40, false },
              { "POST", "/photo/", 10, MAX_UPLOAD_BYTES, false } };
static const struct call_kind slow_kind = { "POST", "/slow/", 0, 40, false };

struct caller
{
  struct curl_transfer transfer;
  struct curl_loop *connections; /* for calls; a keeper has its own */
  struct curl_slist *headers;
  struct timer timer;
  struct timer abort_timer;
  const struct call_kind *kind;
  char id[MAX_ADDRESS_BYTES];
  char path[MAX_ADDRESS_BYTES];
  char entries[MAX_ADDRESSES][MAX_ADDRESS_BYTES];
  size_t entry_count;
  int entry; /* index of the one in use; -1: none chosen */
  apr_time_t entries_expire_at;
  apr_time_t deadline; /* of the whole call */
  long long number;    /* of the call */
  int tries;
  size_t body_bytes;
  size_t sent_bytes;
  int request_count; /* that libcurl started for this attempt */
  char response[MAX_TEXT_BYTES * 4];
  size_t response_size;
  char server_stamp[MAX_ADDRESS_BYTES];
  char echoed_id[MAX_ADDRESS_BYTES]; /* the response's Request-Id */
  double retry_after;
  bool keeps_stale_entries;
  bool is_keeper;
  int kept_fd; /* a keeper's connection; -1: none */
};

static struct
{
  struct loop *loop;
  struct curl_loop *curl_loop;
  char lookups[MAX_ADDRESSES][MAX_ADDRESS_BYTES];
  size_t lookup_count;
  apr_time_t end_at;
  long long calls;
} state;

static void start_call (struct caller *caller);
static void start_attempt (struct caller *caller);

static size_t
on_body (char *data, size_t item_size, size_t size, void *user_data)
{
  struct caller *caller = user_data;
  size *= item_size;
  if (caller->response_size + size < sizeof caller->response)
    memcpy (caller->response + caller->response_size, data, size);
  caller->response_size += size;
  return size;
}

static size_t
on_header (char *data, size_t item_size, size_t size, void *user_data)
{
  struct caller *caller = user_data;
  char line[MAX_TEXT_BYTES];
  size *= item_size;
  snprintf (line, sizeof line, "%.*s", (int)size, data);
  sscanf (line, "Server-Stamp: %63s", caller->server_stamp);
  sscanf (line, "Request-Id: %63s", caller->echoed_id);
  sscanf (line, "Retry-After: %lf", &caller->retry_after);
  return size;
}

static size_t
on_body_read (char *out, size_t item_size, size_t size, void *user_data)
{
  struct caller *caller = user_data;
  size *= item_size;
  if (size > caller->body_bytes - caller->sent_bytes)
    size = caller->body_bytes - caller->sent_bytes;
  fill_pattern (out, size, caller->sent_bytes, XXH64 (caller->id, 8, 0));
  caller->sent_bytes += size;
  return size;
}

/* Aborts the second request of a transfer: libcurl repeats a request when a
   reused connection has died, but these callers decide themselves whether to
   try again, under a new id.  */
static int
allow_one_request (void *user_data, char *ip, char *own_ip, int port,
                   int own_port)
{
  struct caller *caller = user_data;
  (void)ip;
  (void)own_ip;
  (void)port;
  (void)own_port;
  return caller->request_count++ == 0 ? CURL_PREREQFUNC_OK
                                      : CURL_PREREQFUNC_ABORT;
}

/* CURLOPT_OPENSOCKETFUNCTION and CURLOPT_CLOSESOCKETFUNCTION of keepers.  */
static curl_socket_t
open_kept_connection (void *user_data, curlsocktype purpose,
                      struct curl_sockaddr *address)
{
  struct caller *caller = user_data;
  (void)purpose;
  caller->kept_fd
      = socket (address->family, address->socktype, address->protocol);
  return caller->kept_fd;
}

static int
close_kept_connection (void *user_data, curl_socket_t fd)
{
  struct caller *caller = user_data;
  if (fd == caller->kept_fd)
    caller->kept_fd = -1;
  return close (fd);
}

/* Returns whether the caller is a keeper with a connection that the entry
   hasn't closed.  */
static bool
has_open_connection (const struct caller *caller)
{
  char byte;
  return caller->kept_fd >= 0
         && recv (caller->kept_fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0
         && (errno == EAGAIN || errno == EINTR);
}

static int
draw_pause_ms (const struct caller *caller)
{
  return rand ()
         % (caller->is_keeper && rand () % 2 ? MAX_KEEPER_PAUSE_MS
                                             : MAX_PAUSE_MS);
}

static void
on_call_due (void *user_data, apr_time_t now)
{
  (void)now;
  start_call (user_data);
}

static void
on_attempt_due (void *user_data, apr_time_t now)
{
  (void)now;
  start_attempt (user_data);
}

static void
schedule (struct caller *caller, double ms, timer_fn *callback)
{
  timer_start (loop_timers (state.loop), &caller->timer,
               timer_clock () + (apr_time_t)(ms * 1000), callback, caller);
}

static void
release_transfer (struct caller *caller)
{
  timer_stop (loop_timers (state.loop), &caller->abort_timer);
  curl_easy_cleanup (caller->transfer.easy);
  curl_slist_free_all (caller->headers);
  caller->headers = NULL;
}

static void
on_abort_due (void *user_data, apr_time_t now)
{
  struct caller *caller = user_data;
  (void)now;
  curl_loop_remove (caller->connections, &caller->transfer);
  events_write ("left %s", caller->id);
  release_transfer (caller);
  schedule (caller, draw_pause_ms (caller), on_call_due);
}

/* Returns whether the response is the worker's complete response to this
   attempt.  */
static bool
is_complete_response (const struct caller *caller)
{
  char expected[MAX_TEXT_BYTES];
  int size = snprintf (expected, sizeof expected, "%s %s %s %zu\n",
                       caller->server_stamp, caller->kind->method,
                       caller->path, caller->body_bytes);
  return strcmp (caller->echoed_id, caller->id) == 0
         && caller->response_size == (size_t)size
         && memcmp (caller->response, expected, (size_t)size) == 0;
}

static void
on_call_done (void *user_data, CURLcode result)
{
  struct caller *caller = user_data;
  long status = 0;
  if (result == CURLE_OK)
    curl_easy_getinfo (caller->transfer.easy, CURLINFO_RESPONSE_CODE, &status);
  events_write ("got %s %ld %s %s", caller->id, status,
                caller->server_stamp[0] ? caller->server_stamp : "-",
                is_complete_response (caller) ? "whole" : "other");
  release_transfer (caller);
  /* This caller takes these statuses as saying that the request was not
     executed, and then tries unsafe methods again too.  */
  bool not_executed = status == 429 || status == 503 || status == 408;
  bool may_retry = status == 0 || status >= 500
                       ? caller->kind->is_safe || not_executed
                       : not_executed;
  if (status == 0)
    caller->entry = -1;
  apr_time_t remaining = caller->deadline - timer_clock ();
  double delay_ms = not_executed ? caller->retry_after * 1000 : 20;
  /* At most a third of the remaining time (in microseconds).  */
  if (delay_ms > (double)remaining / 3000)
    delay_ms = (double)remaining / 3000;
  if (!may_retry || ++caller->tries >= MAX_TRIES || remaining <= 0)
    schedule (caller, draw_pause_ms (caller), on_call_due);
  else
    schedule (caller, delay_ms, on_attempt_due);
}

static void
add_header (struct caller *caller, const char *name, const char *value)
{
  char line[2 * MAX_TEXT_BYTES];
  snprintf (line, sizeof line, "%s: %s", name, value);
  caller->headers = curl_slist_append (caller->headers, line);
}

static CURL *
new_transfer (struct caller *caller, const char *url, long timeout_ms)
{
  CURL *easy = curl_easy_init ();
  caller->response_size = 0;
  caller->server_stamp[0] = 0;
  caller->echoed_id[0] = 0;
  caller->retry_after = 0;
  caller->request_count = 0;
  caller->sent_bytes = 0;
  curl_easy_setopt (easy, CURLOPT_URL, url);
  curl_easy_setopt (easy, CURLOPT_PROXY, "");
  curl_easy_setopt (easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (easy, CURLOPT_WRITEFUNCTION, on_body);
  curl_easy_setopt (easy, CURLOPT_WRITEDATA, caller);
  curl_easy_setopt (easy, CURLOPT_HEADERFUNCTION, on_header);
  curl_easy_setopt (easy, CURLOPT_HEADERDATA, caller);
  curl_easy_setopt (easy, CURLOPT_CONNECTTIMEOUT_MS, (long)CONNECT_TIMEOUT_MS);
  curl_easy_setopt (easy, CURLOPT_TIMEOUT_MS, timeout_ms);
  return easy;
}

static uint64_t
body_hash (const struct caller *caller)
{
  static char body[MAX_UPLOAD_BYTES];
  fill_pattern (body, caller->body_bytes, 0, XXH64 (caller->id, 8, 0));
  return XXH64 (body, caller->body_bytes, 0);
}

static void
send_call (struct caller *caller)
{
  const struct call_kind *kind = caller->kind;
  char text[MAX_TEXT_BYTES];
  apr_time_t remaining = (caller->deadline - timer_clock ()) / 1000;
  if (remaining < 1)
    remaining = 1;
  snprintf (text, sizeof text, "http://%s%s", caller->entries[caller->entry],
            caller->path);
  CURL *easy = new_transfer (caller, text, (long)remaining);
  caller->transfer = (struct curl_transfer){ easy, on_call_done, caller };
  snprintf (caller->id, sizeof caller->id, "%08llx-%d-%lld.%d",
            caller->number * 2654435761 % 4294967296, (int)getpid (),
            caller->number, caller->tries);
  add_header (caller, "Host", "shop.example");
  add_header (caller, "Request-Id", caller->id);
  snprintf (text, sizeof text, "%lld", (long long)remaining);
  add_header (caller, "Deadline-Ms", text);
  snprintf (text, sizeof text, "Affinity-Key=%d", rand () % AFFINITY_KEYS);
  add_header (caller, "Cookie", text);
  add_header (caller, "Expect", "");
  if (caller->body_bytes > 0)
    {
      curl_easy_setopt (easy, CURLOPT_POST, 1L);
      curl_easy_setopt (easy, CURLOPT_READFUNCTION, on_body_read);
      curl_easy_setopt (easy, CURLOPT_READDATA, caller);
      curl_easy_setopt (easy, CURLOPT_POSTFIELDSIZE_LARGE,
                        (curl_off_t)caller->body_bytes);
    }
  curl_easy_setopt (easy, CURLOPT_PREREQFUNCTION, allow_one_request);
  curl_easy_setopt (easy, CURLOPT_PREREQDATA, caller);
  curl_easy_setopt (easy, CURLOPT_HTTPHEADER, caller->headers);
  if (caller->is_keeper)
    {
      curl_easy_setopt (easy, CURLOPT_OPENSOCKETFUNCTION,
                        open_kept_connection);
      curl_easy_setopt (easy, CURLOPT_OPENSOCKETDATA, caller);
      curl_easy_setopt (easy, CURLOPT_CLOSESOCKETFUNCTION,
                        close_kept_connection);
      curl_easy_setopt (easy, CURLOPT_CLOSESOCKETDATA, caller);
    }
  events_write ("sent %s %s %s %s %zu %016llx %lld %s", caller->id,
                caller->entries[caller->entry], kind->method, caller->path,
                caller->body_bytes, (unsigned long long)body_hash (caller),
                (long long)remaining,
                has_open_connection (caller) ? "kept" : "other");
  curl_loop_add (caller->connections, &caller->transfer);
  if (rand () % ABORT_INTERVAL == 0)
    timer_start (loop_timers (state.loop), &caller->abort_timer,
                 timer_clock () + TIMER_MS (1 + rand () % MAX_ABORT_DELAY_MS),
                 on_abort_due, caller);
}

static void
read_lookup (struct caller *caller, json_object *response)
{
  json_object *list = NULL, *lifetime = NULL;
  char previous[MAX_ADDRESS_BYTES] = "", line[MAX_TEXT_BYTES] = "";
  if (!json_object_object_get_ex (response, "addresses", &list)
      || json_object_array_length (list) == 0
      || !json_object_object_get_ex (response, "ttl_s", &lifetime))
    return;
  if (caller->entry >= 0)
    snprintf (previous, sizeof previous, "%s", caller->entries[caller->entry]);
  caller->entry = -1;
  caller->entry_count = 0;
  for (size_t i = 0; i < json_object_array_length (list) && i < MAX_ADDRESSES;
       i++)
    {
      char *entry = caller->entries[caller->entry_count++];
      snprintf (entry, MAX_ADDRESS_BYTES, "%s",
                json_object_get_string (json_object_array_get_idx (list, i)));
      if (strcmp (entry, previous) == 0)
        caller->entry = (int)i;
      snprintf (line + strlen (line), sizeof line - strlen (line), "%s%s",
                i > 0 ? "," : "", entry);
    }
  events_write ("named %s", line);
  caller->entries_expire_at
      = timer_clock ()
        + (apr_time_t)(json_object_get_double (lifetime) * 1e6
                       * (caller->keeps_stale_entries ? STALE_LIFETIME_FACTOR
                                                      : 1));
}

static void
on_lookup_done (void *user_data, CURLcode result)
{
  struct caller *caller = user_data;
  json_object *response = NULL;
  if (result == CURLE_OK && caller->response_size < sizeof caller->response)
    {
      caller->response[caller->response_size] = 0;
      response = json_tokener_parse (caller->response);
    }
  release_transfer (caller);
  if (response)
    read_lookup (caller, response);
  json_object_put (response);
  /* Without a new response the entries of the last one stay in use.  */
  if (caller->entry_count == 0 || caller->deadline < timer_clock ())
    {
      schedule (caller, MAX_PAUSE_MS, on_call_due);
      return;
    }
  if (caller->entry < 0)
    caller->entry = rand () % (int)caller->entry_count;
  send_call (caller);
}

static void
start_attempt (struct caller *caller)
{
  char url[MAX_TEXT_BYTES];
  bool has_connection = caller->entry >= 0 && has_open_connection (caller);
  if (caller->is_keeper && !has_connection)
    caller->entry = -1;
  if (has_connection
      || (timer_clock () < caller->entries_expire_at
          && caller->entry_count > 0))
    {
      if (caller->entry < 0)
        caller->entry = rand () % (int)caller->entry_count;
      send_call (caller);
      return;
    }
  snprintf (url, sizeof url,
            "http://%s/resolve?name=shop.example&region=%s&zone=%s",
            state.lookups[(size_t)rand () % state.lookup_count],
            rand () % 2 ? "north" : "south", "any");
  caller->transfer
      = (struct curl_transfer){ new_transfer (caller, url, LOOKUP_TIMEOUT_MS),
                                on_lookup_done, caller };
  curl_loop_add (state.curl_loop, &caller->transfer);
}

static void
start_call (struct caller *caller)
{
  int number = rand () % 100;
  const struct call_kind *kind = kinds;
  if (timer_clock () > state.end_at)
    return;
  while (number >= kind->percent)
    number -= kind++->percent;
  bool is_slow = caller->is_keeper && rand () % SLOW_INTERVAL == 0;
  if (is_slow)
    kind = &slow_kind;
  caller->kind = kind;
  caller->number = state.calls++;
  caller->tries = 0;
  caller->body_bytes = kind->max_body_bytes > 0
                           ? 1 + (size_t)(rand () % kind->max_body_bytes)
                           : 0;
  caller->deadline
      = timer_clock () + TIMER_MS (is_slow ? SLOW_DEADLINE_MS : DEADLINE_MS);
  int range = is_slow ? MAX_SLOW_WORK_MS - MIN_SLOW_WORK_MS : 1000;
  snprintf (caller->path, sizeof caller->path, "%s%d", kind->path,
            rand () % range + (is_slow ? MIN_SLOW_WORK_MS : 0));
  start_attempt (caller);
}

int
run_directory_callers (int argc, char **argv, apr_pool_t *pool)
{
  struct err err;
  char *lookups = strdup (option (argc, argv, "--lookups", ""));
  char *rest = NULL;
  long caller_count
      = strtol (option (argc, argv, "--callers", "12"), NULL, 10);
  long keeper_count = strtol (option (argc, argv, "--keepers", "0"), NULL, 10);
  srand ((unsigned int)strtol (option (argc, argv, "--seed", "1"), NULL, 10));
  events_open (option (argc, argv, "--events", NULL));
  for (char *address = strtok_r (lookups, ",", &rest);
       address && state.lookup_count < MAX_ADDRESSES;
       address = strtok_r (NULL, ",", &rest))
    snprintf (state.lookups[state.lookup_count++], MAX_ADDRESS_BYTES, "%s",
              address);
  free (lookups);
  apr_time_t end_at = apr_time_from_sec (
      strtoll (option (argc, argv, "--until", "0"), NULL, 10));
  state.end_at = timer_clock () + end_at - apr_time_now ();
  if (state.lookup_count == 0
      || loop_create (pool, &state.loop, &err) != ERR_NONE
      || curl_loop_create (pool, state.loop, caller_count, &state.curl_loop,
                           &err)
             != ERR_NONE)
    return 1;
  stop_on_signal (state.loop);
  struct caller *callers
      = calloc ((size_t)(caller_count + keeper_count), sizeof *callers);
  for (long i = 0; i < caller_count + keeper_count; i++)
    {
      callers[i].entry = -1;
      callers[i].kept_fd = -1;
      callers[i].connections = state.curl_loop;
      callers[i].keeps_stale_entries = i % STALE_CALLER_INTERVAL == 0;
      callers[i].is_keeper = i >= caller_count;
      if (callers[i].is_keeper
          && curl_loop_create (pool, state.loop, 1, &callers[i].connections,
                               &err)
                 != ERR_NONE)
        return 1;
      schedule (&callers[i], rand () % MAX_PAUSE_MS, on_call_due);
    }
  loop_run (state.loop);
  free (callers);
  return 0;
}
