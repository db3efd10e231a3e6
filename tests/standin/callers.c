/* Callers: tailors and shoppers that follow look-up answers.

     standin callers --entries IP:PORT,... --plan FILE [--callers N]
       [--seconds N] [--seed N] [--report IP:PORT]

   A plan lists kinds of calls: {"calls":[{"name","host","service","method",
   "path","weight","body_bytes","service_ms","once":true}]}.  Each caller
   asks an entry for entries, keeps the answer for its lifetime, and makes
   one call after another.  A call that was not run is tried at the next
   entry; one whose outcome is unknown is tried again only if its method is
   safe.  Every answer must carry the caller's own token and the hash of its
   own body; at the end the upstreams' report must agree with every outcome.

   Prints a summary and ends with "N calls, N complete, N not-run,
   N unknown"; exits 1 if a promise was broken.  */
#include "tests/standin/standin.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

enum
{
  ENTRIES_MAX = 64,
  KINDS_MAX = 16,
  TRIES_MAX = 4,
  ANSWER_MAX_BYTES = 4096,
  CALL_TIMEOUT_MS = 60000,
  LATENCIES_MAX = 1000000
};

struct kind
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
  NONE,
  COMPLETE,
  NOT_RUN,
  UNKNOWN
};

struct caller
{
  struct curl_transfer transfer;
  struct timer timer;
  struct kind *kind;
  uint64_t number; /* of this call */
  int tries;
  char token[32];
  char key[48];
  struct curl_slist *headers;
  char answer[ANSWER_MAX_BYTES];
  size_t answer_size;
  char outcome[16];
  int64_t sent;
  char entries[4][64];
  int entry_count;
  int entry; /* being used */
  apr_time_t entries_until;
  apr_time_t began_at;
};

/* The outcome of one call that may run at most once.  */
struct promise
{
  char key[48];
  enum outcome outcome;
};

static struct
{
  struct loop *loop;
  struct curl_loop *curl_loop;
  char seeds[ENTRIES_MAX][64];
  int seed_count;
  struct kind kinds[KINDS_MAX];
  int kind_count;
  int64_t weights;
  apr_time_t until;
  int active;
  uint64_t calls;
  uint64_t seed;
  struct promise *promises;
  size_t promise_count;
  size_t promise_room;
  size_t wrong_answers;
  size_t attempts;
  size_t failed_attempts;
  size_t lookups_failed;
} world;

static void next_call (struct caller *caller);
static void attempt (struct caller *caller);

static size_t
on_answer (char *data, size_t one, size_t size, void *part)
{
  struct caller *caller = part;
  size *= one;
  if (caller->answer_size + size < ANSWER_MAX_BYTES)
    {
      memcpy (caller->answer + caller->answer_size, data, size);
      caller->answer_size += size;
      caller->answer[caller->answer_size] = 0;
    }
  return size;
}

static size_t
on_header (char *data, size_t one, size_t size, void *part)
{
  static const char name[] = "Citroncleat-Outcome: ";
  struct caller *caller = part;
  size *= one;
  if (size > sizeof name && memcmp (data, name, sizeof name - 1) == 0)
    sscanf (data + sizeof name - 1, "%15s", caller->outcome);
  return size;
}

static size_t
on_read (char *out, size_t one, size_t size, void *part)
{
  struct caller *caller = part;
  int64_t left = caller->kind->body_bytes - caller->sent;
  size *= one;
  if ((int64_t)size > left)
    size = (size_t)left;
  fill_pattern (out, size, (uint64_t)caller->sent, caller->number);
  caller->sent += (int64_t)size;
  return size;
}

static uint64_t
body_hash (const struct caller *caller)
{
  char block[65536];
  int64_t at = 0;
  XXH64_state_t *state = XXH64_createState ();
  XXH64_reset (state, 0);
  while (at < caller->kind->body_bytes)
    {
      int64_t n = caller->kind->body_bytes - at;
      if (n > (int64_t)sizeof block)
        n = sizeof block;
      fill_pattern (block, (size_t)n, (uint64_t)at, caller->number);
      XXH64_update (state, block, (size_t)n);
      at += n;
    }
  uint64_t hash = XXH64_digest (state);
  XXH64_freeState (state);
  return hash;
}

/* Returns whether the answer is the whole answer to this very call.  */
static bool
answer_is_own (const struct caller *caller)
{
  char wanted[96];
  snprintf (wanted, sizeof wanted, "\"token\":\"%s\"", caller->token);
  if (!strstr (caller->answer, wanted))
    return false;
  if (caller->kind->body_bytes == 0)
    return true;
  snprintf (wanted, sizeof wanted, "\"hash\":\"%016llx\"",
            (unsigned long long)body_hash (caller));
  return strstr (caller->answer, wanted) != NULL;
}

static void
on_next (void *part, apr_time_t now)
{
  (void)now;
  next_call (part);
}

static void
on_again (void *part, apr_time_t now)
{
  (void)now;
  attempt (part);
}

static void
again_in (struct caller *caller, int64_t ms, timer_fn *fire)
{
  timer_start (loop_timers (world.loop), &caller->timer,
               timer_clock () + TIMER_MS (ms), fire, caller);
}

static void
record_promise (const struct caller *caller, enum outcome outcome)
{
  if (world.promise_count == world.promise_room)
    {
      world.promise_room = world.promise_room ? 2 * world.promise_room : 1024;
      world.promises = realloc (world.promises,
                                world.promise_room * sizeof *world.promises);
    }
  struct promise *promise = &world.promises[world.promise_count++];
  snprintf (promise->key, sizeof promise->key, "%s", caller->key);
  promise->outcome = outcome;
}

static void
end_call (struct caller *caller, enum outcome outcome)
{
  struct kind *kind = caller->kind;
  apr_time_t took = timer_clock () - caller->began_at;
  if (kind->calls < LATENCIES_MAX)
    kind->latencies[kind->calls] = (uint32_t)took;
  kind->calls++;
  kind->complete += outcome == COMPLETE;
  kind->not_run += outcome == NOT_RUN;
  kind->unknown += outcome == UNKNOWN;
  if (kind->once)
    record_promise (caller, outcome);
  again_in (caller, 1 + rand () % 20, on_next);
}

/* The attempt failed; decides whether another entry may be tried.  */
static void
go_on (struct caller *caller, enum outcome outcome)
{
  bool safe = strcmp (caller->kind->method, "GET") == 0;
  world.failed_attempts++;
  caller->entry++;
  if (caller->entry >= caller->entry_count)
    caller->entries_until = 0;
  if (++caller->tries >= TRIES_MAX || (outcome == UNKNOWN && !safe))
    {
      end_call (caller, outcome);
      return;
    }
  again_in (caller, 20 * caller->tries, on_again);
}

static void
on_called (void *owner, CURLcode result)
{
  struct caller *caller = owner;
  long status = 0;
  curl_off_t sent = 0;
  long headers = 0;
  CURL *easy = caller->transfer.easy;
  curl_easy_getinfo (easy, CURLINFO_RESPONSE_CODE, &status);
  curl_easy_getinfo (easy, CURLINFO_SIZE_UPLOAD_T, &sent);
  curl_easy_getinfo (easy, CURLINFO_REQUEST_SIZE, &headers);
  curl_easy_cleanup (easy);
  curl_slist_free_all (caller->headers);
  if (result == CURLE_OK && strcmp (caller->outcome, "complete") == 0)
    {
      if (!answer_is_own (caller))
        {
          world.wrong_answers++;
          fprintf (stderr, "callers: wrong answer to %s %s: %ld %s\n",
                   caller->kind->name, caller->token, status, caller->answer);
        }
      end_call (caller, COMPLETE);
    }
  else if (result == CURLE_OK && strcmp (caller->outcome, "not-run") == 0)
    go_on (caller, NOT_RUN);
  else
    go_on (caller, headers == 0 ? NOT_RUN : UNKNOWN);
}

static CURL *
new_request (struct caller *caller, const char *url)
{
  CURL *easy = curl_easy_init ();
  caller->answer_size = 0;
  caller->answer[0] = 0;
  caller->outcome[0] = 0;
  curl_easy_setopt (easy, CURLOPT_URL, url);
  curl_easy_setopt (easy, CURLOPT_PROXY, "");
  curl_easy_setopt (easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (easy, CURLOPT_WRITEFUNCTION, on_answer);
  curl_easy_setopt (easy, CURLOPT_WRITEDATA, caller);
  curl_easy_setopt (easy, CURLOPT_HEADERFUNCTION, on_header);
  curl_easy_setopt (easy, CURLOPT_HEADERDATA, caller);
  curl_easy_setopt (easy, CURLOPT_CONNECTTIMEOUT_MS, 1000L);
  curl_easy_setopt (easy, CURLOPT_TIMEOUT_MS, (long)CALL_TIMEOUT_MS);
  /* A caller's own library must not repeat a request either.  */
  curl_easy_setopt (easy, CURLOPT_FRESH_CONNECT, 1L);
  curl_easy_setopt (easy, CURLOPT_FORBID_REUSE, 1L);
  return easy;
}

static void
add_header (struct caller *caller, const char *name, const char *value)
{
  char line[256];
  snprintf (line, sizeof line, "%s: %s", name, value);
  caller->headers = curl_slist_append (caller->headers, line);
}

static void
call (struct caller *caller)
{
  struct kind *kind = caller->kind;
  char url[256];
  world.attempts++;
  caller->sent = 0;
  caller->headers = NULL;
  snprintf (url, sizeof url, "http://%s%s", caller->entries[caller->entry],
            kind->path);
  CURL *easy = new_request (caller, url);
  caller->transfer = (struct curl_transfer){ easy, on_called, caller };
  add_header (caller, "Host", kind->host);
  add_header (caller, "X-Caller-Token", caller->token);
  if (kind->service_ms)
    add_header (caller, "X-Service-Ms", kind->service_ms);
  if (kind->once)
    add_header (caller, "Idempotency-Key", caller->key);
  if (kind->body_bytes > 0)
    {
      curl_easy_setopt (easy, CURLOPT_UPLOAD, 1L);
      curl_easy_setopt (easy, CURLOPT_READFUNCTION, on_read);
      curl_easy_setopt (easy, CURLOPT_READDATA, caller);
      curl_easy_setopt (easy, CURLOPT_INFILESIZE_LARGE,
                        (curl_off_t)kind->body_bytes);
    }
  else if (strcmp (kind->method, "GET") != 0)
    add_header (caller, "Content-Length", "0");
  curl_easy_setopt (easy, CURLOPT_CUSTOMREQUEST, kind->method);
  curl_easy_setopt (easy, CURLOPT_HTTPHEADER, caller->headers);
  curl_loop_add (world.curl_loop, &caller->transfer);
}

static void
take_lookup (struct caller *caller)
{
  json_object *answer = json_tokener_parse (caller->answer);
  json_object *entries = NULL;
  json_object *lifetime = NULL;
  json_object_object_get_ex (answer, "entries", &entries);
  json_object_object_get_ex (answer, "lifetime_ms", &lifetime);
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
  caller->entries_until
      = timer_clock () + TIMER_MS (json_object_get_int64 (lifetime));
  json_object_put (answer);
}

static void
on_looked_up (void *owner, CURLcode result)
{
  struct caller *caller = owner;
  curl_easy_cleanup (caller->transfer.easy);
  if (result == CURLE_OK)
    take_lookup (caller);
  if (result == CURLE_OK && caller->entry_count > 0)
    {
      call (caller);
      return;
    }
  world.lookups_failed++;
  again_in (caller, 50, on_again);
}

static void
attempt (struct caller *caller)
{
  char url[256];
  if (timer_clock () < caller->entries_until
      && caller->entry < caller->entry_count)
    {
      call (caller);
      return;
    }
  snprintf (url, sizeof url,
            "http://%s/.well-known/citroncleat/lookup?service=%s&caller=%s",
            world.seeds[rand () % world.seed_count], caller->kind->service,
            caller->token);
  caller->transfer = (struct curl_transfer){ new_request (caller, url),
                                             on_looked_up, caller };
  curl_easy_setopt (caller->transfer.easy, CURLOPT_TIMEOUT_MS, 2000L);
  curl_loop_add (world.curl_loop, &caller->transfer);
}

static void
next_call (struct caller *caller)
{
  if (timer_clock () >= world.until)
    {
      if (--world.active == 0)
        loop_stop (world.loop);
      return;
    }
  int64_t pick = rand () % world.weights;
  int i = 0;
  while (pick >= world.kinds[i].weight)
    pick -= world.kinds[i++].weight;
  if (caller->kind != &world.kinds[i])
    caller->entries_until = 0;
  caller->kind = &world.kinds[i];
  caller->number = world.seed << 32 | ++world.calls;
  caller->tries = 0;
  caller->began_at = timer_clock ();
  snprintf (caller->token, sizeof caller->token, "t%llx",
            (unsigned long long)caller->number);
  snprintf (caller->key, sizeof caller->key, "key-%llx",
            (unsigned long long)caller->number);
  attempt (caller);
}

static const char *
text_of (json_object *object, const char *name)
{
  json_object *value = NULL;
  if (!json_object_object_get_ex (object, name, &value))
    return NULL;
  return json_object_get_string (value);
}

static int64_t
number_of (json_object *object, const char *name)
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
      struct kind *kind = &world.kinds[world.kind_count++];
      kind->name = text_of (item, "name");
      kind->host = text_of (item, "host");
      kind->service = text_of (item, "service");
      kind->method = text_of (item, "method");
      kind->path = text_of (item, "path");
      kind->service_ms = text_of (item, "service_ms");
      kind->weight = number_of (item, "weight");
      kind->body_bytes = number_of (item, "body_bytes");
      kind->once = number_of (item, "once") != 0;
      kind->latencies = calloc (LATENCIES_MAX, sizeof (uint32_t));
      world.weights += kind->weight;
    }
  if (world.kind_count == 0)
    {
      fprintf (stderr, "callers: %s is no plan\n", path);
      exit (2);
    }
}

static void
read_entries (const char *text)
{
  while (*text && world.seed_count < ENTRIES_MAX)
    {
      size_t n = strcspn (text, ",");
      snprintf (world.seeds[world.seed_count++], 64, "%.*s", (int)n, text);
      text += n + (text[n] == ',');
    }
}

static int
by_value (const void *a, const void *b)
{
  uint32_t x = *(const uint32_t *)a;
  uint32_t y = *(const uint32_t *)b;
  return (x > y) - (x < y);
}

static size_t
collect_text (char *data, size_t one, size_t size, void *part)
{
  char **text = part;
  size_t held = strlen (*text);
  size *= one;
  *text = realloc (*text, held + size + 1);
  memcpy (*text + held, data, size);
  (*text)[held + size] = 0;
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

/* Compares every outcome with what the upstreams saw.  */
static size_t
check_promises (json_object *report)
{
  json_object *runs = NULL;
  size_t twice = 0, lied = 0, lost = 0;
  json_object_object_get_ex (report, "runs", &runs);
  for (size_t i = 0; i < world.promise_count; i++)
    {
      const struct promise *promise = &world.promises[i];
      int64_t n = runs ? number_of (runs, promise->key) : -1;
      twice += n > 1;
      lied += promise->outcome == NOT_RUN && n != 0;
      lost += promise->outcome == COMPLETE && n != 1;
    }
  printf ("jobs run twice: %zu; told not-run though run: %zu; told complete "
          "though not run: %zu\n",
          twice, lied, lost);
  return twice + lied + lost;
}

static void
print_kinds (void)
{
  printf ("%-16s %8s %9s %8s %8s %10s %10s\n", "KIND", "CALLS", "COMPLETE",
          "NOT-RUN", "UNKNOWN", "P50 MS", "P99 MS");
  for (int i = 0; i < world.kind_count; i++)
    {
      struct kind *kind = &world.kinds[i];
      size_t n = kind->calls;
      qsort (kind->latencies, n, sizeof (uint32_t), by_value);
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
  int callers = atoi (option (argc, argv, "--callers", "50"));
  const char *report_address
      = option (argc, argv, "--report", "127.0.0.1:7502");
  world.seed = (uint64_t)atoll (option (argc, argv, "--seed", "1"));
  srand ((unsigned int)world.seed);
  read_entries (option (argc, argv, "--entries", "127.0.0.1:7600"));
  read_plan (option (argc, argv, "--plan", "plan.json"), pool);
  if (loop_create (pool, &world.loop, &err) != ERR_NONE
      || curl_loop_create (pool, world.loop, 4096, &world.curl_loop, &err)
             != ERR_NONE)
    return 1;
  world.until = timer_clock ()
                + TIMER_SEC (atoi (option (argc, argv, "--seconds", "10")));
  struct caller *all = calloc ((size_t)callers, sizeof *all);
  for (int i = 0; i < callers; i++)
    {
      world.active++;
      again_in (&all[i], rand () % 200, on_next);
    }
  loop_run (world.loop);
  json_object *report = fetch_report (report_address);
  size_t calls = 0, complete = 0, not_run = 0, unknown = 0;
  print_kinds ();
  for (int i = 0; i < world.kind_count; i++)
    {
      calls += world.kinds[i].calls;
      complete += world.kinds[i].complete;
      not_run += world.kinds[i].not_run;
      unknown += world.kinds[i].unknown;
    }
  size_t broken = world.wrong_answers + check_promises (report);
  int64_t half = number_of (report, "half_bodies");
  printf ("attempts: %zu, failed %zu; look-ups failed: %zu; wrong answers: "
          "%zu; half-sent bodies: %lld\n",
          world.attempts, world.failed_attempts, world.lookups_failed,
          world.wrong_answers, (long long)half);
  printf ("%zu calls, %zu complete, %zu not-run, %zu unknown\n", calls,
          complete, not_run, unknown);
  return broken > 0 || half > 0 || calls == 0;
}
