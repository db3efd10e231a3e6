/* Callers that look up entries at an entry and call services through them.

     standin callers --entries IP:PORT,... --plan FILE [--callers N]
       [--seconds N] [--seed N] [--report IP:PORT]

   The plan lists kinds of calls, which are picked at random by weight:
   {"calls":[{"name","host","service","method","path","weight","body_bytes",
   "service_ms","once":true}]}.  Calls with `once' carry an Idempotency-Key and
   may run at most once.

   Each caller looks up entries, uses the result for its lifetime, and makes
   one call after another.  A call that was not run is tried again at the next
   entry, up to 4 times in all, and one whose outcome is unknown only if its
   method is GET.  Every complete response must have the call's token and the
   hash of its body.  At the end the outcomes of the calls with `once' are
   compared with the report of the upstreams stand-in at --report.

   Prints a summary that ends with "N calls, N complete, N not-run,
   N unknown".  Exits with 1 if a response was wrong, an outcome contradicts
   the report, an upstream received half a body, or no call was made.  */
#include "tests/standin/standin.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

enum
{
  MAX_ENTRIES = 64,
  MAX_KINDS = 16,
  MAX_TRIES = 4,
  MAX_RESPONSE_BYTES = 4096,
  CALL_TIMEOUT_MS = 60000,
  MAX_LATENCIES = 1000000 /* that are recorded, for the percentiles */
};

struct call_kind
{
  const char *name;
  const char *host;
  const char *service;
  const char *method;
  const char *path;
  const char *service_ms;
  int64_t weight;
  int64_t body_bytes;
  bool once; /* carries an Idempotency-Key and may run at most once */
  size_t calls, complete, not_run, unknown;
  uint32_t *latencies;
};

enum outcome
{
  OUTCOME_NONE,
  OUTCOME_COMPLETE,
  OUTCOME_NOT_RUN,
  OUTCOME_UNKNOWN
};

struct caller
{
  struct curl_transfer transfer;
  struct timer timer;
  struct call_kind *kind;
  uint64_t number; /* identifies the call, seeds its body */
  int tries;
  char token[32];
  char key[48];
  struct curl_slist *header_list;
  char response[MAX_RESPONSE_BYTES];
  size_t response_size;
  char outcome[16];
  int64_t sent_bytes;
  char entries[4][64];
  int entry_count;
  int entry; /* index of the one in use */
  apr_time_t entries_expire_at;
  apr_time_t started_at;
};

/* A call that may run at most once.  */
struct once_call
{
  char key[48];
  enum outcome outcome;
};

static struct
{
  struct loop *loop;
  struct curl_loop *curl_loop;
  char lookup_entries[MAX_ENTRIES][64];
  int lookup_entry_count;
  struct call_kind kinds[MAX_KINDS];
  int kind_count;
  int64_t total_weight;
  apr_time_t end_at;
  int active_callers;
  uint64_t calls;
  uint64_t seed;
  struct once_call *once_calls;
  size_t once_call_count;
  size_t once_call_capacity;
  size_t wrong_responses;
  size_t attempts;
  size_t failed_attempts;
  size_t failed_lookups;
} state;

static void start_next_call (struct caller *caller);
static void start_attempt (struct caller *caller);

static size_t
on_body (char *data, size_t item_size, size_t size, void *user_data)
{
  struct caller *caller = user_data;
  size *= item_size;
  if (caller->response_size + size < MAX_RESPONSE_BYTES)
    {
      memcpy (caller->response + caller->response_size, data, size);
      caller->response_size += size;
      caller->response[caller->response_size] = 0;
    }
  return size;
}

static size_t
on_header (char *data, size_t item_size, size_t size, void *user_data)
{
  static const char name[] = "Citroncleat-Outcome: ";
  struct caller *caller = user_data;
  size *= item_size;
  if (size > sizeof name && memcmp (data, name, sizeof name - 1) == 0)
    sscanf (data + sizeof name - 1, "%15s", caller->outcome);
  return size;
}

static size_t
on_body_read (char *out, size_t item_size, size_t size, void *user_data)
{
  struct caller *caller = user_data;
  int64_t remaining = caller->kind->body_bytes - caller->sent_bytes;
  size *= item_size;
  if ((int64_t)size > remaining)
    size = (size_t)remaining;
  fill_pattern (out, size, (uint64_t)caller->sent_bytes, caller->number);
  caller->sent_bytes += (int64_t)size;
  return size;
}

static uint64_t
body_hash (const struct caller *caller)
{
  char block[65536];
  int64_t position = 0;
  XXH64_state_t *state = XXH64_createState ();
  XXH64_reset (state, 0);
  while (position < caller->kind->body_bytes)
    {
      int64_t n = caller->kind->body_bytes - position;
      if (n > (int64_t)sizeof block)
        n = sizeof block;
      fill_pattern (block, (size_t)n, (uint64_t)position, caller->number);
      XXH64_update (state, block, (size_t)n);
      position += n;
    }
  uint64_t hash = XXH64_digest (state);
  XXH64_freeState (state);
  return hash;
}

/* Returns whether the response has this call's token and body hash.  */
static bool
is_own_response (const struct caller *caller)
{
  char expected[96];
  snprintf (expected, sizeof expected, "\"token\":\"%s\"", caller->token);
  if (!strstr (caller->response, expected))
    return false;
  if (caller->kind->body_bytes == 0)
    return true;
  snprintf (expected, sizeof expected, "\"hash\":\"%016llx\"",
            (unsigned long long)body_hash (caller));
  return strstr (caller->response, expected) != NULL;
}

static void
on_next_call_due (void *user_data, apr_time_t now)
{
  (void)now;
  start_next_call (user_data);
}

static void
on_attempt_due (void *user_data, apr_time_t now)
{
  (void)now;
  start_attempt (user_data);
}

static void
schedule (struct caller *caller, int64_t ms, timer_fn *callback)
{
  timer_start (loop_timers (state.loop), &caller->timer,
               timer_clock () + TIMER_MS (ms), callback, caller);
}

static void
record_once_call (const struct caller *caller, enum outcome outcome)
{
  if (state.once_call_count == state.once_call_capacity)
    {
      state.once_call_capacity
          = state.once_call_capacity ? 2 * state.once_call_capacity : 1024;
      state.once_calls
          = realloc (state.once_calls,
                     state.once_call_capacity * sizeof *state.once_calls);
    }
  struct once_call *once_call = &state.once_calls[state.once_call_count++];
  snprintf (once_call->key, sizeof once_call->key, "%s", caller->key);
  once_call->outcome = outcome;
}

/* Records the outcome of the call and schedules the caller's next one.  */
static void
end_call (struct caller *caller, enum outcome outcome)
{
  struct call_kind *kind = caller->kind;
  apr_time_t took = timer_clock () - caller->started_at;
  if (kind->calls < MAX_LATENCIES)
    kind->latencies[kind->calls] = (uint32_t)took;
  kind->calls++;
  kind->complete += outcome == OUTCOME_COMPLETE;
  kind->not_run += outcome == OUTCOME_NOT_RUN;
  kind->unknown += outcome == OUTCOME_UNKNOWN;
  if (kind->once)
    record_once_call (caller, outcome);
  schedule (caller, 1 + rand () % 20, on_next_call_due);
}

/* Handles a failed attempt: tries the next entry if the outcome and the method
   allow it.  */
static void
retry_or_end (struct caller *caller, enum outcome outcome)
{
  bool safe = strcmp (caller->kind->method, "GET") == 0;
  state.failed_attempts++;
  caller->entry++;
  if (caller->entry >= caller->entry_count)
    caller->entries_expire_at = 0;
  if (++caller->tries >= MAX_TRIES || (outcome == OUTCOME_UNKNOWN && !safe))
    {
      end_call (caller, outcome);
      return;
    }
  schedule (caller, 20 * caller->tries, on_attempt_due);
}

static void
on_call_done (void *user_data, CURLcode result)
{
  struct caller *caller = user_data;
  long status = 0;
  curl_off_t sent_bytes = 0;
  long request_bytes = 0;
  CURL *easy = caller->transfer.easy;
  curl_easy_getinfo (easy, CURLINFO_RESPONSE_CODE, &status);
  curl_easy_getinfo (easy, CURLINFO_SIZE_UPLOAD_T, &sent_bytes);
  curl_easy_getinfo (easy, CURLINFO_REQUEST_SIZE, &request_bytes);
  curl_easy_cleanup (easy);
  curl_slist_free_all (caller->header_list);
  if (result == CURLE_OK && strcmp (caller->outcome, "complete") == 0)
    {
      if (!is_own_response (caller))
        {
          state.wrong_responses++;
          fprintf (stderr, "callers: wrong response to %s %s: %ld %s\n",
                   caller->kind->name, caller->token, status,
                   caller->response);
        }
      end_call (caller, OUTCOME_COMPLETE);
    }
  else if (result == CURLE_OK && strcmp (caller->outcome, "not-run") == 0)
    retry_or_end (caller, OUTCOME_NOT_RUN);
  else
    retry_or_end (caller,
                  request_bytes == 0 ? OUTCOME_NOT_RUN : OUTCOME_UNKNOWN);
}

static CURL *
new_transfer (struct caller *caller, const char *url)
{
  CURL *easy = curl_easy_init ();
  caller->response_size = 0;
  caller->response[0] = 0;
  caller->outcome[0] = 0;
  curl_easy_setopt (easy, CURLOPT_URL, url);
  curl_easy_setopt (easy, CURLOPT_PROXY, "");
  curl_easy_setopt (easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (easy, CURLOPT_WRITEFUNCTION, on_body);
  curl_easy_setopt (easy, CURLOPT_WRITEDATA, caller);
  curl_easy_setopt (easy, CURLOPT_HEADERFUNCTION, on_header);
  curl_easy_setopt (easy, CURLOPT_HEADERDATA, caller);
  curl_easy_setopt (easy, CURLOPT_CONNECTTIMEOUT_MS, 1000L);
  curl_easy_setopt (easy, CURLOPT_TIMEOUT_MS, (long)CALL_TIMEOUT_MS);
  /* New connections only: libcurl repeats a request by itself when a reused
     connection has died, and a call with `once' must not be repeated.  */
  curl_easy_setopt (easy, CURLOPT_FRESH_CONNECT, 1L);
  curl_easy_setopt (easy, CURLOPT_FORBID_REUSE, 1L);
  return easy;
}

static void
add_header (struct caller *caller, const char *name, const char *value)
{
  char line[256];
  snprintf (line, sizeof line, "%s: %s", name, value);
  caller->header_list = curl_slist_append (caller->header_list, line);
}

static void
send_call (struct caller *caller)
{
  struct call_kind *kind = caller->kind;
  char url[256];
  state.attempts++;
  caller->sent_bytes = 0;
  caller->header_list = NULL;
  snprintf (url, sizeof url, "http://%s%s", caller->entries[caller->entry],
            kind->path);
  CURL *easy = new_transfer (caller, url);
  caller->transfer = (struct curl_transfer){ easy, on_call_done, caller };
  add_header (caller, "Host", kind->host);
  add_header (caller, "X-Caller-Token", caller->token);
  if (kind->service_ms)
    add_header (caller, "X-Service-Ms", kind->service_ms);
  if (kind->once)
    add_header (caller, "Idempotency-Key", caller->key);
  if (kind->body_bytes > 0)
    {
      curl_easy_setopt (easy, CURLOPT_UPLOAD, 1L);
      curl_easy_setopt (easy, CURLOPT_READFUNCTION, on_body_read);
      curl_easy_setopt (easy, CURLOPT_READDATA, caller);
      curl_easy_setopt (easy, CURLOPT_INFILESIZE_LARGE,
                        (curl_off_t)kind->body_bytes);
    }
  else if (strcmp (kind->method, "GET") != 0)
    add_header (caller, "Content-Length", "0");
  curl_easy_setopt (easy, CURLOPT_CUSTOMREQUEST, kind->method);
  curl_easy_setopt (easy, CURLOPT_HTTPHEADER, caller->header_list);
  curl_loop_add (state.curl_loop, &caller->transfer);
}

static void
read_lookup (struct caller *caller)
{
  json_object *response = json_tokener_parse (caller->response);
  json_object *entries = NULL;
  json_object *lifetime = NULL;
  json_object_object_get_ex (response, "entries", &entries);
  json_object_object_get_ex (response, "lifetime_ms", &lifetime);
  caller->entry = 0;
  caller->entry_count = 0;
  for (size_t i = 0;
       entries && i < json_object_array_length (entries) && i < 4; i++)
    {
      json_object *address = NULL;
      json_object_object_get_ex (json_object_array_get_idx (entries, i),
                                 "address", &address);
      snprintf (caller->entries[caller->entry_count++], 64, "%s",
                json_object_get_string (address));
    }
  caller->entries_expire_at
      = timer_clock () + TIMER_MS (json_object_get_int64 (lifetime));
  json_object_put (response);
}

static void
on_lookup_done (void *user_data, CURLcode result)
{
  struct caller *caller = user_data;
  curl_easy_cleanup (caller->transfer.easy);
  if (result == CURLE_OK)
    read_lookup (caller);
  if (result == CURLE_OK && caller->entry_count > 0)
    {
      send_call (caller);
      return;
    }
  state.failed_lookups++;
  schedule (caller, 50, on_attempt_due);
}

static void
start_attempt (struct caller *caller)
{
  char url[256];
  if (timer_clock () < caller->entries_expire_at
      && caller->entry < caller->entry_count)
    {
      send_call (caller);
      return;
    }
  snprintf (url, sizeof url,
            "http://%s/.well-known/citroncleat/lookup?service=%s&caller=%s",
            state.lookup_entries[rand () % state.lookup_entry_count],
            caller->kind->service, caller->token);
  caller->transfer = (struct curl_transfer){ new_transfer (caller, url),
                                             on_lookup_done, caller };
  curl_easy_setopt (caller->transfer.easy, CURLOPT_TIMEOUT_MS, 2000L);
  curl_loop_add (state.curl_loop, &caller->transfer);
}

static void
start_next_call (struct caller *caller)
{
  if (timer_clock () >= state.end_at)
    {
      if (--state.active_callers == 0)
        loop_stop (state.loop);
      return;
    }
  int64_t pick = rand () % state.total_weight;
  int i = 0;
  while (pick >= state.kinds[i].weight)
    pick -= state.kinds[i++].weight;
  if (caller->kind != &state.kinds[i])
    caller->entries_expire_at = 0;
  caller->kind = &state.kinds[i];
  caller->number = state.seed << 32 | ++state.calls;
  caller->tries = 0;
  caller->started_at = timer_clock ();
  snprintf (caller->token, sizeof caller->token, "t%llx",
            (unsigned long long)caller->number);
  snprintf (caller->key, sizeof caller->key, "key-%llx",
            (unsigned long long)caller->number);
  start_attempt (caller);
}

static const char *
text_field (json_object *object, const char *name)
{
  json_object *value = NULL;
  if (!json_object_object_get_ex (object, name, &value))
    return NULL;
  return json_object_get_string (value);
}

static int64_t
number_field (json_object *object, const char *name)
{
  json_object *value = NULL;
  json_object_object_get_ex (object, name, &value);
  return json_object_get_int64 (value);
}

static void
read_plan (const char *path, apr_pool_t *pool)
{
  struct faults *faults = faults_create (pool);
  json_object *plan = field_parse_json_file (path, pool, faults);
  json_object *calls = NULL;
  json_object_object_get_ex (plan, "calls", &calls);
  for (size_t i = 0; calls && i < json_object_array_length (calls); i++)
    {
      json_object *item = json_object_array_get_idx (calls, i);
      struct call_kind *kind = &state.kinds[state.kind_count++];
      kind->name = text_field (item, "name");
      kind->host = text_field (item, "host");
      kind->service = text_field (item, "service");
      kind->method = text_field (item, "method");
      kind->path = text_field (item, "path");
      kind->service_ms = text_field (item, "service_ms");
      kind->weight = number_field (item, "weight");
      kind->body_bytes = number_field (item, "body_bytes");
      kind->once = number_field (item, "once") != 0;
      kind->latencies = calloc (MAX_LATENCIES, sizeof (uint32_t));
      state.total_weight += kind->weight;
    }
  if (state.kind_count == 0)
    {
      fprintf (stderr, "callers: %s: expected a plan with a list \"calls\"\n",
               path);
      exit (2);
    }
}

static void
read_lookup_entries (const char *text)
{
  while (*text && state.lookup_entry_count < MAX_ENTRIES)
    {
      size_t n = strcspn (text, ",");
      snprintf (state.lookup_entries[state.lookup_entry_count++], 64, "%.*s",
                (int)n, text);
      text += n + (text[n] == ',');
    }
}

static int
compare_latencies (const void *a, const void *b)
{
  uint32_t x = *(const uint32_t *)a;
  uint32_t y = *(const uint32_t *)b;
  return (x > y) - (x < y);
}

static size_t
collect_text (char *data, size_t item_size, size_t size, void *user_data)
{
  char **text = user_data;
  size_t length = strlen (*text);
  size *= item_size;
  *text = realloc (*text, length + size + 1);
  memcpy (*text + length, data, size);
  (*text)[length + size] = 0;
  return size;
}

static json_object *
fetch_report (const char *address)
{
  char url[128];
  char *text = strdup ("");
  CURL *easy = curl_easy_init ();
  snprintf (url, sizeof url, "http://%s/", address);
  curl_easy_setopt (easy, CURLOPT_URL, url);
  curl_easy_setopt (easy, CURLOPT_PROXY, "");
  curl_easy_setopt (easy, CURLOPT_WRITEFUNCTION, collect_text);
  curl_easy_setopt (easy, CURLOPT_WRITEDATA, &text);
  curl_easy_perform (easy);
  curl_easy_cleanup (easy);
  json_object *report = json_tokener_parse (text);
  free (text);
  return report;
}

/* Compares the outcomes of the calls with `once' with the upstreams' counts;
   returns the number of contradictions.  */
static size_t
check_once_calls (json_object *report)
{
  json_object *runs = NULL;
  size_t run_twice = 0, run_though_not_run = 0, not_run_though_complete = 0;
  json_object_object_get_ex (report, "runs", &runs);
  for (size_t i = 0; i < state.once_call_count; i++)
    {
      const struct once_call *once_call = &state.once_calls[i];
      int64_t n = runs ? number_field (runs, once_call->key) : -1;
      run_twice += n > 1;
      run_though_not_run += once_call->outcome == OUTCOME_NOT_RUN && n != 0;
      not_run_though_complete
          += once_call->outcome == OUTCOME_COMPLETE && n != 1;
    }
  printf ("jobs run twice: %zu; told not-run though run: %zu; told complete "
          "though not run: %zu\n",
          run_twice, run_though_not_run, not_run_though_complete);
  return run_twice + run_though_not_run + not_run_though_complete;
}

static void
print_kinds (void)
{
  printf ("%-16s %8s %9s %8s %8s %10s %10s\n", "KIND", "CALLS", "COMPLETE",
          "NOT-RUN", "UNKNOWN", "P50 MS", "P99 MS");
  for (int i = 0; i < state.kind_count; i++)
    {
      struct call_kind *kind = &state.kinds[i];
      size_t n = kind->calls;
      qsort (kind->latencies, n, sizeof (uint32_t), compare_latencies);
      printf ("%-16s %8zu %9zu %8zu %8zu %10.1f %10.1f\n", kind->name, n,
              kind->complete, kind->not_run, kind->unknown,
              n ? kind->latencies[n / 2] / 1000.0 : 0,
              n ? kind->latencies[n - 1 - n / 100] / 1000.0 : 0);
    }
}

int
run_callers (int argc, char **argv, apr_pool_t *pool)
{
  struct err err = { 0 };
  int caller_count = atoi (option (argc, argv, "--callers", "50"));
  const char *report_address
      = option (argc, argv, "--report", "127.0.0.1:7502");
  state.seed = (uint64_t)atoll (option (argc, argv, "--seed", "1"));
  srand ((unsigned int)state.seed);
  read_lookup_entries (option (argc, argv, "--entries", "127.0.0.1:7600"));
  read_plan (option (argc, argv, "--plan", "plan.json"), pool);
  if (loop_create (pool, &state.loop, &err) != ERR_NONE
      || curl_loop_create (pool, state.loop, 4096, &state.curl_loop, &err)
             != ERR_NONE)
    return 1;
  state.end_at = timer_clock ()
                 + TIMER_SEC (atoi (option (argc, argv, "--seconds", "10")));
  struct caller *callers = calloc ((size_t)caller_count, sizeof *callers);
  for (int i = 0; i < caller_count; i++)
    {
      state.active_callers++;
      schedule (&callers[i], rand () % 200, on_next_call_due);
    }
  loop_run (state.loop);
  json_object *report = fetch_report (report_address);
  size_t calls = 0, complete = 0, not_run = 0, unknown = 0;
  print_kinds ();
  for (int i = 0; i < state.kind_count; i++)
    {
      calls += state.kinds[i].calls;
      complete += state.kinds[i].complete;
      not_run += state.kinds[i].not_run;
      unknown += state.kinds[i].unknown;
    }
  size_t violations = state.wrong_responses + check_once_calls (report);
  int64_t half = number_field (report, "half_bodies");
  printf ("attempts: %zu, failed %zu; look-ups failed: %zu; wrong answers: "
          "%zu; half-sent bodies: %lld\n",
          state.attempts, state.failed_attempts, state.failed_lookups,
          state.wrong_responses, (long long)half);
  printf ("%zu calls, %zu complete, %zu not-run, %zu unknown\n", calls,
          complete, not_run, unknown);
  return violations > 0 || half > 0 || calls == 0;
}
