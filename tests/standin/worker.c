/* An upstream of the users' platform: a fixed number of slots, an instance id
   that requests may expect, and load reports in its response headers.

     standin worker --listen IP:PORT --id ID [--work-ms N] [--slots N]
       [--events FILE] [--store IP:PORT ...] [--long-tail yes] [--cold-ms N]

   With --store it keeps a registry entry there; registration.h has the other
   options.  SIGTERM makes it leave as registration_leave describes.

   With --copies N, as with PUT /_copies?percent=N, N % of the responses are
   replaced by a copy of the response before on that connection, with the
   Request-Id of the request that it answered; the response itself is then what
   is copied next.  --copies-seed S determines which.

   With --long-tail yes, 3 % of the requests take 7 times as long, and one for
   /slow/N takes N milliseconds.

   Its responses state that it keeps idle connections for ten seconds; it keeps
   them for longer.

   A request beyond the slots is refused with 503 and `Not-Executed: 1', and
   one with an Expect-Instance header of another id with 421.

   GET /healthz responds with the id, the load and, in the first --cold-ms of
   the process, what is left of them, with 503 once it says that it leaves or
   SIGTERM has come; slots don't matter to it.

   For tests, GET /_rush returns how many requests, refused ones too, came in
   any one second of the first --cold-ms of the process at most.  GET /_runs
   returns how many requests ran, how many pairs of them
   had the same Request-Id, and how many callers closed their connection while
   their request ran.  PUT /_mode?mode=M sets the mode:
     normal   responds with 200 after --work-ms
     full     refuses with 503
     lose     runs the request and never responds
     fail     runs the request and responds with 500
     crossed  responds with a Request-Id that is not the request's
     short    closes the connection in the middle of the body
     long     responds after one second
     leaving  as normal, and states in every response that it leaves
     away     refuses with 503 and `Retry-After: TEXT'; with &retry_after=TEXT:
              seconds, a date or anything else; without: no such header
   With &leaving=yes it states in any of the modes that it leaves.  With
   &for_ms=N the mode is `normal' again after N milliseconds, and mode `away'
   without a text states what is left of them; with &times=N it is after N
   requests ran.

   GET /_late?ms=N reports requests that arrived although the stand-in had told
   their caller not to send any: "N after leaving", more than N milliseconds
   after it first said so, and "N while away", the most that arrived from 500
   ms after one refusal with Retry-After until the time that it stated.  A
   caller is told apart by its Request-Id up to the first `-'; entries share
   the address that their connections come from.  `PUT /_late' forgets both.

   The event file has a line for each of them:
     cold WORKER MS             it starts, and is cold for --cold-ms
     said ID WORKER             a response states that the worker leaves
     refused ID WORKER SERVICE STATUS [SECONDS]   SECONDS: of Retry-After
     copied ID WORKER STATUS ID   the response to the first ID takes the place
   of that to the second one Copies have only the last one.  */
#include "tests/standin/events.h"
#include "tests/standin/registration.h"
#include "tests/standin/standin.h"

#include <curl/curl.h>
#include <xxhash.h>

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/signalfd.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

enum
{
  MAX_RUNS = 4096,
  MAX_ID_BYTES = 64,
  MAX_TEXT_BYTES = 512,
  MAX_NOTICES = 1024,
  MAX_CONNECTIONS = 1024,
  MAX_COLD_ARRIVALS = 65536,
  AWAY_GRACE_MS = 500, /* after a refusal, for requests on their way */
  LONG_WORK_MS = 1000, /* in mode `long' */
  TAIL_PERCENT = 3,
  TAIL_FACTOR = 7
};

/* The worker told a caller that it leaves, or not to return for some time.  */
struct notice
{
  char caller[MAX_ID_BYTES];
  bool is_leaving;
  apr_time_t at;
  apr_time_t until;  /* unless it leaves */
  size_t late_count; /* requests of the caller since, before `until' */
};

struct worker_request
{
  struct MHD_Connection *connection;
  struct timer timer;
  char id[MAX_ID_BYTES];
  char mode[MAX_ID_BYTES];
  char text[MAX_TEXT_BYTES];
  size_t body_size;
  XXH64_state_t *body_hash;
  bool has_run;
  bool is_suspended;
  bool work_done;
};

/* What a connection's caller got last.  */
struct last_response
{
  struct sockaddr_storage
      caller; /* tells connections of one descriptor apart */
  char id[MAX_ID_BYTES];
  unsigned int status;
  struct MHD_Response *response;
};

static struct
{
  struct loop *loop;
  struct httpd *httpd;
  const char *id;
  const char *service;
  const char *zone;
  int64_t work_ms;
  bool has_long_tail;
  int64_t slots;
  int64_t running;
  int64_t closed_early; /* callers that closed while their request ran */
  char mode[MAX_ID_BYTES];
  bool says_leaving;
  bool is_stopping; /* SIGTERM came */
  char retry_after[MAX_ID_BYTES];
  apr_time_t mode_until; /* 0: no end */
  int64_t mode_times;    /* requests until its end; 0: no end */
  struct timer mode_timer;
  char runs[MAX_RUNS][MAX_ID_BYTES];
  size_t run_count;
  struct notice notices[MAX_NOTICES];
  size_t notice_count;
  struct
  {
    char caller[MAX_ID_BYTES];
    apr_time_t at;
  } arrivals[MAX_RUNS]; /* after a notice that it leaves */
  size_t arrival_count;
  apr_time_t cold_until;
  apr_time_t cold_arrivals[MAX_COLD_ARRIVALS]; /* before that time */
  size_t cold_arrival_count;
  uint64_t copies_percent;
  uint64_t copies_seed;
  uint64_t copies_draws;
  struct last_response last_responses[MAX_CONNECTIONS]; /* by descriptor */
} worker;

static struct MHD_Response *
make_response (const char *text)
{
  return MHD_create_response_from_buffer (strlen (text), (void *)text,
                                          MHD_RESPMEM_MUST_COPY);
}

static enum MHD_Result
send_response (struct MHD_Connection *connection, unsigned int status,
               struct MHD_Response *response)
{
  enum MHD_Result result = MHD_queue_response (connection, status, response);
  MHD_destroy_response (response);
  return result;
}

static bool
draw_copy (void)
{
  uint64_t draw = worker.copies_draws++;
  return XXH64 (&draw, sizeof draw, worker.copies_seed) % 100
         < worker.copies_percent;
}

/* Returns the last response on CONNECTION, without a response if there is
   none; NULL if its descriptor is beyond the limit.  */
static struct last_response *
find_last_response (struct MHD_Connection *connection)
{
  int fd
      = MHD_get_connection_info (connection, MHD_CONNECTION_INFO_CONNECTION_FD)
            ->connect_fd;
  struct sockaddr_storage caller = { 0 };
  socklen_t size = sizeof caller;
  if (fd >= MAX_CONNECTIONS
      || getpeername (fd, (struct sockaddr *)&caller, &size) != 0)
    return NULL;
  struct last_response *last = &worker.last_responses[fd];
  if (memcmp (&last->caller, &caller, sizeof caller) != 0)
    {
      if (last->response)
        MHD_destroy_response (last->response);
      *last = (struct last_response){ .caller = caller };
    }
  return last;
}

/* Responds to a request, or sends a copy of the response before instead and
   sets IS_COPY.  */
static enum MHD_Result
send_or_copy (struct MHD_Connection *connection, unsigned int status,
              struct MHD_Response *response, bool *is_copy)
{
  struct last_response *last = find_last_response (connection);
  *is_copy = false;
  if (!last)
    return send_response (connection, status, response);
  struct last_response before = *last;
  *is_copy = before.response && draw_copy ();
  snprintf (last->id, sizeof last->id, "%s",
            httpd_header (connection, "Request-Id").data);
  last->status = status;
  last->response = response;
  enum MHD_Result result
      = MHD_queue_response (connection, *is_copy ? before.status : status,
                            *is_copy ? before.response : response);
  if (*is_copy)
    events_write ("copied %s %s %u %s", before.id, worker.id, before.status,
                  last->id);
  if (before.response)
    MHD_destroy_response (before.response);
  return result;
}

/* Copies the part of the request id ID that tells callers apart.  */
static void
copy_caller (char *out, const char *id)
{
  snprintf (out, MAX_ID_BYTES, "%.*s", (int)strcspn (id, "-"), id);
}

static struct notice *
add_notice (const char *id, bool is_leaving)
{
  if (worker.notice_count == MAX_NOTICES)
    return NULL;
  struct notice *notice = &worker.notices[worker.notice_count++];
  *notice = (struct notice){ .is_leaving = is_leaving, .at = timer_clock () };
  copy_caller (notice->caller, id);
  return notice;
}

/* Returns the notice that the worker leaves which CALLER got first, or NULL.
 */
static const struct notice *
find_leaving_notice (const char *caller)
{
  for (size_t i = 0; i < worker.notice_count; i++)
    if (worker.notices[i].is_leaving
        && strcmp (worker.notices[i].caller, caller) == 0)
      return &worker.notices[i];
  return NULL;
}

/* Counts an arriving request against what its caller was told.  */
static void
count_arrival (const char *id)
{
  char caller[MAX_ID_BYTES];
  apr_time_t now = timer_clock ();
  copy_caller (caller, id);
  for (size_t i = 0; i < worker.notice_count; i++)
    {
      struct notice *notice = &worker.notices[i];
      if (!notice->is_leaving && strcmp (notice->caller, caller) == 0
          && now > notice->at + TIMER_MS (AWAY_GRACE_MS)
          && now < notice->until)
        notice->late_count++;
    }
  if (worker.arrival_count == MAX_RUNS || !find_leaving_notice (caller))
    return;
  strcpy (worker.arrivals[worker.arrival_count].caller, caller);
  worker.arrivals[worker.arrival_count++].at = now;
}

/* Returns the seconds that TEXT, a value of Retry-After, stands for; 0 if it
   is neither a number nor a date in the future.  */
static double
parse_retry_after (const char *text)
{
  char *end;
  double seconds = strtod (text, &end);
  if (end == text || *end)
    seconds = difftime (curl_getdate (text, NULL), time (NULL));
  return seconds > 0 ? seconds : 0;
}

/* Adds the notice that the worker leaves to RESPONSE, if it does.  */
static void
add_leaving (struct MHD_Response *response, const char *id)
{
  char caller[MAX_ID_BYTES];
  if (!worker.says_leaving)
    return;
  MHD_add_response_header (response, "Server-Leaving", "1");
  events_write ("said %s %s", id, worker.id);
  copy_caller (caller, id);
  if (!find_leaving_notice (caller))
    add_notice (id, true);
}

/* Adds Retry-After to the refusal RESPONSE and writes the stated seconds to
   TEXT, which is empty without them.  */
static void
add_retry_after (struct MHD_Response *response, const char *id, char *text,
                 size_t size)
{
  char value[MAX_ID_BYTES];
  snprintf (value, sizeof value, "%s", worker.retry_after);
  if (!*value && worker.mode_until)
    snprintf (value, sizeof value, "%.3f",
              (double)(worker.mode_until - timer_clock ()) / APR_USEC_PER_SEC);
  if (!*value)
    return;
  MHD_add_response_header (response, "Retry-After", value);
  double seconds = parse_retry_after (value);
  snprintf (text, size, " %.3f", seconds);
  struct notice *notice = seconds > 0 ? add_notice (id, false) : NULL;
  if (notice)
    notice->until
        = notice->at + (apr_time_t)(seconds * (double)APR_USEC_PER_SEC);
}

/* Reports the requests that arrived although the worker had told their callers
   not to send any.  */
static enum MHD_Result
send_late_report (struct MHD_Connection *connection)
{
  char text[128];
  int64_t ms
      = strtoll (httpd_query_parameter (connection, "ms").data, NULL, 10);
  size_t after_leaving = 0;
  size_t while_away = 0;
  for (size_t i = 0; i < worker.arrival_count; i++)
    {
      const struct notice *notice
          = find_leaving_notice (worker.arrivals[i].caller);
      after_leaving += worker.arrivals[i].at > notice->at + TIMER_MS (ms);
    }
  for (size_t i = 0; i < worker.notice_count; i++)
    if (worker.notices[i].late_count > while_away)
      while_away = worker.notices[i].late_count;
  snprintf (text, sizeof text, "%zu after leaving, %zu while away\n",
            after_leaving, while_away);
  return send_response (connection, 200, make_response (text));
}

static void
set_normal_mode (void *user_data, apr_time_t now)
{
  (void)user_data;
  (void)now;
  strcpy (worker.mode, "normal");
  worker.says_leaving = false;
  worker.mode_until = 0;
  worker.mode_times = 0;
}

static enum MHD_Result
set_mode (struct MHD_Connection *connection)
{
  struct str for_ms = httpd_query_parameter (connection, "for_ms");
  timer_stop (loop_timers (worker.loop), &worker.mode_timer);
  snprintf (worker.mode, sizeof worker.mode, "%s",
            httpd_query_parameter (connection, "mode").data);
  snprintf (worker.retry_after, sizeof worker.retry_after, "%s",
            httpd_query_parameter (connection, "retry_after").data);
  worker.says_leaving
      = strcmp (worker.mode, "leaving") == 0
        || str_equal (httpd_query_parameter (connection, "leaving"),
                      STR ("yes"));
  worker.mode_times
      = strtoll (httpd_query_parameter (connection, "times").data, NULL, 10);
  worker.mode_until = 0;
  if (for_ms.size > 0)
    {
      worker.mode_until
          = timer_clock () + TIMER_MS (strtoll (for_ms.data, NULL, 10));
      timer_start (loop_timers (worker.loop), &worker.mode_timer,
                   worker.mode_until, set_normal_mode, NULL);
    }
  return send_response (connection, 200, make_response ("set\n"));
}

/* Reports what ran, for the tests.  */
static enum MHD_Result
send_run_report (struct MHD_Connection *connection)
{
  char text[128];
  size_t repeats = 0;
  for (size_t i = 0; i < worker.run_count; i++)
    for (size_t j = 0; j < i; j++)
      repeats += strcmp (worker.runs[i], worker.runs[j]) == 0;
  snprintf (text, sizeof text, "%zu ran, %zu twice, %lld left\n",
            worker.run_count, repeats, (long long)worker.closed_early);
  return send_response (connection, 200, make_response (text));
}

/* Reports the most requests that came in one second while it was cold.  */
static enum MHD_Result
send_rush_report (struct MHD_Connection *connection)
{
  char text[64];
  size_t most = 0;
  size_t first = 0;
  for (size_t i = 0; i < worker.cold_arrival_count; i++)
    {
      while (worker.cold_arrivals[first]
             <= worker.cold_arrivals[i] - APR_USEC_PER_SEC)
        first++;
      if (i + 1 - first > most)
        most = i + 1 - first;
    }
  snprintf (text, sizeof text, "%zu in one second, %zu in all\n", most,
            worker.cold_arrival_count);
  return send_response (connection, 200, make_response (text));
}

/* Writes the value of the header that reports the load.  */
static void
format_load (char *out, size_t size)
{
  snprintf (out, size, "%lld,0,%lld,100", (long long)worker.running,
            (long long)worker.slots);
}

static enum MHD_Result
send_health (struct MHD_Connection *connection)
{
  char text[64];
  apr_time_t now = timer_clock ();
  struct MHD_Response *response = make_response ("");
  MHD_add_response_header (response, "Instance-Id", worker.id);
  format_load (text, sizeof text);
  MHD_add_response_header (response, "Server-Load", text);
  if (now < worker.cold_until)
    {
      snprintf (text, sizeof text, "%lld",
                (long long)(worker.cold_until - now) / 1000 + 1);
      MHD_add_response_header (response, "Cold-Ms", text);
    }
  return send_response (connection,
                        worker.says_leaving || worker.is_stopping ? 503 : 200,
                        response);
}

static ssize_t
read_truncated_body (void *user_data, uint64_t position, char *out,
                     size_t size)
{
  (void)user_data;
  if (position > 0 || size < 4)
    return MHD_CONTENT_READER_END_WITH_ERROR;
  memcpy (out, "half", 4);
  return 4;
}

static enum MHD_Result
send_work_response (struct worker_request *request)
{
  char load[64];
  bool is_copy;
  bool is_truncated = strcmp (request->mode, "short") == 0;
  struct MHD_Response *response
      = is_truncated ? MHD_create_response_from_callback (
            64, 64, read_truncated_body, NULL, NULL)
                     : make_response (request->text);
  format_load (load, sizeof load);
  MHD_add_response_header (
      response, "Request-Id",
      strcmp (request->mode, "crossed") == 0 ? "another" : request->id);
  MHD_add_response_header (response, "Keep-Alive", "timeout=10");
  MHD_add_response_header (response, "Server-Stamp", worker.id);
  MHD_add_response_header (response, "Server-Load", load);
  add_leaving (response, request->id);
  return send_or_copy (request->connection,
                       strcmp (request->mode, "fail") == 0 ? 500 : 200,
                       response, &is_copy);
}

static enum MHD_Result
refuse (struct MHD_Connection *connection, unsigned int status)
{
  struct MHD_Response *response = make_response ("not run\n");
  const char *id = httpd_header (connection, "Request-Id").data;
  char seconds[MAX_ID_BYTES] = "";
  bool is_copy;
  if (status == 503 && strcmp (worker.mode, "away") == 0)
    add_retry_after (response, id, seconds, sizeof seconds);
  MHD_add_response_header (response, "Request-Id", id);
  add_leaving (response, id);
  if (status == 503)
    MHD_add_response_header (response, "Not-Executed", "1");
  MHD_add_response_header (response, "Instance-Id", worker.id);
  enum MHD_Result result
      = send_or_copy (connection, status, response, &is_copy);
  events_write ("refused %s %s %s %u%s", id, worker.id, worker.service, status,
                is_copy ? "" : seconds);
  return result;
}

static void
on_work_done (void *user_data, apr_time_t now)
{
  (void)now;
  struct worker_request *request = user_data;
  request->work_done = true;
  request->is_suspended = false;
  events_write ("end %s %s", request->id, worker.id);
  httpd_resume (worker.httpd, request->connection);
}

static int64_t
work_time_ms (const struct worker_request *request, const char *url)
{
  long ms = 0;
  if (strcmp (request->mode, "long") == 0)
    return LONG_WORK_MS;
  if (!worker.has_long_tail)
    return worker.work_ms;
  if (sscanf (url, "/slow/%ld", &ms) == 1)
    return ms;
  bool is_in_tail
      = XXH64 (request->id, strlen (request->id), 0) % 100 < TAIL_PERCENT;
  return is_in_tail ? worker.work_ms * TAIL_FACTOR : worker.work_ms;
}

/* Starts the work of a request whose body is complete, or refuses it.  */
static enum MHD_Result
start_work (struct worker_request *request, const char *url,
            const char *method)
{
  struct str expected_instance
      = httpd_header (request->connection, "Expect-Instance");
  count_arrival (httpd_header (request->connection, "Request-Id").data);
  if (timer_clock () < worker.cold_until
      && worker.cold_arrival_count < MAX_COLD_ARRIVALS)
    worker.cold_arrivals[worker.cold_arrival_count++] = timer_clock ();
  if (expected_instance.size > 0
      && !str_equal (expected_instance, str_from (worker.id)))
    return refuse (request->connection, 421);
  if (strcmp (worker.mode, "full") == 0 || strcmp (worker.mode, "away") == 0
      || worker.running >= worker.slots)
    return refuse (request->connection, 503);
  snprintf (request->id, sizeof request->id, "%s",
            httpd_header (request->connection, "Request-Id").data);
  snprintf (request->mode, sizeof request->mode, "%s", worker.mode);
  if (worker.mode_times > 0 && --worker.mode_times == 0)
    set_normal_mode (NULL, 0);
  snprintf (request->text, sizeof request->text, "%s %s %s %zu\n", worker.id,
            method, url, request->body_size);
  if (worker.run_count < MAX_RUNS)
    snprintf (worker.runs[worker.run_count++], MAX_ID_BYTES, "%s",
              request->id);
  worker.running++;
  events_write ("run %s %s %s %s %s %s %zu %016llx", request->id, worker.id,
                worker.service, worker.zone, method, url, request->body_size,
                (unsigned long long)XXH64_digest (request->body_hash));
  request->has_run = true;
  request->is_suspended = true;
  httpd_watch_caller_close (worker.httpd, request->connection, request);
  if (strcmp (request->mode, "lose") != 0)
    timer_start (loop_timers (worker.loop), &request->timer,
                 timer_clock () + TIMER_MS (work_time_ms (request, url)),
                 on_work_done, request);
  httpd_suspend (worker.httpd, request->connection);
  return MHD_YES;
}

static enum MHD_Result
on_request (void *user_data, struct MHD_Connection *connection,
            const char *url, const char *method, const char *version,
            const char *data, size_t *size, void **context)
{
  (void)user_data;
  (void)version;
  struct worker_request *request = *context;
  if (!request)
    {
      request = *context = calloc (1, sizeof *request);
      request->connection = connection;
      request->body_hash = XXH64_createState ();
      XXH64_reset (request->body_hash, 0);
      return MHD_YES;
    }
  request->body_size += *size;
  if (*size > 0)
    {
      XXH64_update (request->body_hash, data, *size);
      *size = 0;
      return MHD_YES;
    }
  if (request->work_done)
    return send_work_response (request);
  if (request->has_run)
    return MHD_NO;
  if (strcmp (url, "/_runs") == 0)
    return send_run_report (connection);
  if (strcmp (url, "/_rush") == 0)
    return send_rush_report (connection);
  if (strcmp (url, "/healthz") == 0)
    return send_health (connection);
  if (strcmp (url, "/_late") == 0 && strcmp (method, "PUT") == 0)
    {
      worker.notice_count = worker.arrival_count = 0;
      return send_response (connection, 200, make_response ("forgotten\n"));
    }
  if (strcmp (url, "/_late") == 0)
    return send_late_report (connection);
  if (strcmp (url, "/_mode") == 0)
    return set_mode (connection);
  if (strcmp (url, "/_copies") == 0)
    {
      worker.copies_percent = strtoull (
          httpd_query_parameter (connection, "percent").data, NULL, 10);
      return send_response (connection, 200, make_response ("set\n"));
    }
  return start_work (request, url, method);
}

/* The caller closed its connection before the response.  */
static void
on_caller_closed (void *user_data)
{
  struct worker_request *request = user_data;
  if (!request->is_suspended)
    return;
  request->is_suspended = false;
  worker.closed_early++;
  events_write ("end %s %s cut", request->id, worker.id);
  timer_stop (loop_timers (worker.loop), &request->timer);
  httpd_resume (worker.httpd, request->connection);
}

static void
on_request_completed (void *user_data, struct MHD_Connection *connection,
                      void **context, enum MHD_RequestTerminationCode code)
{
  (void)user_data;
  (void)code;
  struct worker_request *request = *context;
  httpd_watch_caller_close (worker.httpd, connection, NULL);
  if (!request)
    return;
  if (request->has_run)
    worker.running--;
  timer_stop (loop_timers (worker.loop), &request->timer);
  XXH64_freeState (request->body_hash);
  free (request);
}

static void
on_registration_left (void)
{
  events_write ("gone %s", worker.id);
  loop_stop (worker.loop);
}

static void
on_stop_signal (void *user_data, int fd, int events)
{
  struct signalfd_siginfo info;
  (void)user_data;
  (void)events;
  if (read (fd, &info, sizeof info) <= 0)
    return;
  worker.is_stopping = true;
  registration_leave ();
}

int
run_worker (int argc, char **argv, apr_pool_t *pool)
{
  struct err err;
  struct httpd_desc desc
      = { .address
          = str_from (option (argc, argv, "--listen", "127.24.2.1:7910")),
          .handler = on_request,
          .request_completed = on_request_completed,
          .caller_closed = on_caller_closed };
  worker.id = option (argc, argv, "--id", "i-1");
  worker.work_ms = strtoll (option (argc, argv, "--work-ms", "20"), NULL, 10);
  worker.has_long_tail
      = strcmp (option (argc, argv, "--long-tail", "no"), "yes") == 0;
  worker.slots = strtoll (option (argc, argv, "--slots", "4"), NULL, 10);
  worker.cold_until
      = timer_clock ()
        + TIMER_MS (strtoll (option (argc, argv, "--cold-ms", "0"), NULL, 10));
  worker.copies_percent
      = strtoull (option (argc, argv, "--copies", "0"), NULL, 10);
  worker.copies_seed
      = strtoull (option (argc, argv, "--copies-seed", "0"), NULL, 10);
  if (loop_create (pool, &worker.loop, &err) != ERR_NONE)
    return 1;
  desc.loop = worker.loop;
  if (httpd_create (pool, &desc, &worker.httpd, &err) != ERR_NONE)
    {
      fprintf (stderr, "worker: %s\n", err.detail);
      return 1;
    }
  worker.service = option (argc, argv, "--service", "desk");
  worker.zone = option (argc, argv, "--zone", "north-a");
  events_open (option (argc, argv, "--events", NULL));
  events_write ("born %s %s %s", worker.id, worker.service, worker.zone);
  if (worker.cold_until > timer_clock ())
    events_write ("cold %s %s", worker.id,
                  option (argc, argv, "--cold-ms", "0"));
  watch_stop_signals (worker.loop, on_stop_signal, NULL);
  registration_start (pool, worker.loop, argc, argv, on_registration_left);
  loop_run (worker.loop);
  return 0;
}
