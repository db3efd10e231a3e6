/* An upstream of the users' platform: slots, identity, load reports.

     standin worker --listen IP:PORT --id ID [--work-ms N] [--slots N]
       [--events FILE] [--store IP:PORT ...]

   With --store it keeps an entry there (registration.h); SIGTERM then makes
   it leave as planned.

   For tests, GET /_runs tells how often each request ran and how many callers
   closed early, and PUT /_mode?mode=M changes its manner: `normal', `full'
   refuses, `lose' runs and never answers, `fail' answers 500, `crossed'
   answers with another request's id, `short' breaks its answers off, `long'
   takes a second.  */
#include "tests/standin/events.h"
#include "tests/standin/registration.h"
#include "tests/standin/standin.h"

#include <xxhash.h>

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/signalfd.h>
#include <unistd.h>

enum
{
  RUNS_MAX = 4096,
  ID_MAX_BYTES = 64,
  TEXT_MAX_BYTES = 512,
  LONG_MS = 1000
};

struct task
{
  struct MHD_Connection *connection;
  struct timer timer;
  char id[ID_MAX_BYTES];
  char mode[ID_MAX_BYTES];
  char text[TEXT_MAX_BYTES];
  size_t body;
  XXH64_state_t *hash;
  bool began;
  bool waits;
  bool done;
};

static struct
{
  struct loop *loop;
  struct httpd *httpd;
  const char *id;
  const char *service;
  const char *zone;
  int64_t work_ms;
  int64_t slots;
  int64_t running;
  int64_t left; /* callers that closed while their request ran */
  char mode[ID_MAX_BYTES];
  char runs[RUNS_MAX][ID_MAX_BYTES];
  size_t count;
} worker;

static struct MHD_Response *
make_response (const char *text)
{
  return MHD_create_response_from_buffer (strlen (text), (void *)text,
                                          MHD_RESPMEM_MUST_COPY);
}

static enum MHD_Result
reply (struct MHD_Connection *connection, unsigned int status,
       struct MHD_Response *response)
{
  enum MHD_Result result = MHD_queue_response (connection, status, response);
  MHD_destroy_response (response);
  return result;
}

/* Tells what ran, for the tests.  */
static enum MHD_Result
answer_runs (struct MHD_Connection *connection)
{
  char text[128];
  size_t twice = 0;
  for (size_t i = 0; i < worker.count; i++)
    for (size_t j = 0; j < i; j++)
      twice += strcmp (worker.runs[i], worker.runs[j]) == 0;
  snprintf (text, sizeof text, "%zu ran, %zu twice, %lld left\n", worker.count,
            twice, (long long)worker.left);
  return reply (connection, 200, make_response (text));
}

static ssize_t
read_short (void *part, uint64_t position, char *out, size_t size)
{
  (void)part;
  if (position > 0 || size < 4)
    return MHD_CONTENT_READER_END_WITH_ERROR;
  memcpy (out, "half", 4);
  return 4;
}

static enum MHD_Result
answer_task (struct task *task)
{
  char load[64];
  bool is_short = strcmp (task->mode, "short") == 0;
  struct MHD_Response *response
      = is_short ? MHD_create_response_from_callback (64, 64, read_short, NULL,
                                                      NULL)
                 : make_response (task->text);
  snprintf (load, sizeof load, "%lld,0,%lld,100", (long long)worker.running,
            (long long)worker.slots);
  MHD_add_response_header (response, "Request-Id",
                           strcmp (task->mode, "crossed") == 0 ? "another"
                                                               : task->id);
  MHD_add_response_header (response, "Server-Stamp", worker.id);
  MHD_add_response_header (response, "Server-Load", load);
  return reply (task->connection, strcmp (task->mode, "fail") == 0 ? 500 : 200,
                response);
}

static enum MHD_Result
refuse (struct MHD_Connection *connection, unsigned int status)
{
  struct MHD_Response *response = make_response ("not run\n");
  events_write ("refused %s %s %s %u",
                httpd_header (connection, "Request-Id").data, worker.id,
                worker.service, status);
  MHD_add_response_header (response, "Request-Id",
                           httpd_header (connection, "Request-Id").data);
  if (status == 503)
    MHD_add_response_header (response, "Not-Executed", "1");
  MHD_add_response_header (response, "Instance-Id", worker.id);
  return reply (connection, status, response);
}

static void
on_work_done (void *part, apr_time_t now)
{
  (void)now;
  struct task *task = part;
  task->done = true;
  task->waits = false;
  events_write ("end %s %s", task->id, worker.id);
  httpd_resume (worker.httpd, task->connection);
}

/* Starts the work of a request whose body is in.  */
static enum MHD_Result
run_task (struct task *task, const char *url, const char *method)
{
  struct str wanted = httpd_header (task->connection, "Expect-Instance");
  if (wanted.size > 0 && !str_equal (wanted, str_from (worker.id)))
    return refuse (task->connection, 421);
  if (strcmp (worker.mode, "full") == 0 || worker.running >= worker.slots)
    return refuse (task->connection, 503);
  snprintf (task->id, sizeof task->id, "%s",
            httpd_header (task->connection, "Request-Id").data);
  snprintf (task->mode, sizeof task->mode, "%s", worker.mode);
  snprintf (task->text, sizeof task->text, "%s %s %s %zu\n", worker.id, method,
            url, task->body);
  if (worker.count < RUNS_MAX)
    snprintf (worker.runs[worker.count++], ID_MAX_BYTES, "%s", task->id);
  worker.running++;
  events_write ("run %s %s %s %s %s %s %zu %016llx", task->id, worker.id,
                worker.service, worker.zone, method, url, task->body,
                (unsigned long long)XXH64_digest (task->hash));
  task->began = true;
  task->waits = true;
  httpd_watch_caller_close (worker.httpd, task->connection, task);
  if (strcmp (task->mode, "lose") != 0)
    timer_start (loop_timers (worker.loop), &task->timer,
                 timer_clock ()
                     + TIMER_MS (strcmp (task->mode, "long") == 0
                                     ? LONG_MS
                                     : worker.work_ms),
                 on_work_done, task);
  httpd_suspend (worker.httpd, task->connection);
  return MHD_YES;
}

static enum MHD_Result
handle (void *part, struct MHD_Connection *connection, const char *url,
        const char *method, const char *version, const char *data,
        size_t *size, void **context)
{
  (void)part;
  (void)version;
  struct task *task = *context;
  if (!task)
    {
      task = *context = calloc (1, sizeof *task);
      task->connection = connection;
      task->hash = XXH64_createState ();
      XXH64_reset (task->hash, 0);
      return MHD_YES;
    }
  task->body += *size;
  if (*size > 0)
    {
      XXH64_update (task->hash, data, *size);
      *size = 0;
      return MHD_YES;
    }
  if (task->done)
    return answer_task (task);
  if (task->began)
    return MHD_NO;
  if (strcmp (url, "/_runs") == 0)
    return answer_runs (connection);
  if (strcmp (url, "/_mode") == 0)
    {
      snprintf (worker.mode, sizeof worker.mode, "%s",
                httpd_query_parameter (connection, "mode").data);
      return reply (connection, 200, make_response ("set\n"));
    }
  return run_task (task, url, method);
}

/* The caller closed while its request ran.  */
static void
on_gone (void *part)
{
  struct task *task = part;
  if (!task->waits)
    return;
  task->waits = false;
  worker.left++;
  events_write ("end %s %s", task->id, worker.id);
  timer_stop (loop_timers (worker.loop), &task->timer);
  httpd_resume (worker.httpd, task->connection);
}

static void
completed (void *part, struct MHD_Connection *connection, void **context,
           enum MHD_RequestTerminationCode code)
{
  (void)part;
  (void)code;
  struct task *task = *context;
  httpd_watch_caller_close (worker.httpd, connection, NULL);
  if (!task)
    return;
  if (task->began)
    worker.running--;
  timer_stop (loop_timers (worker.loop), &task->timer);
  XXH64_freeState (task->hash);
  free (task);
}

static void
on_left (void)
{
  loop_stop (worker.loop);
}

static void
on_term (void *part, int fd, int events)
{
  struct signalfd_siginfo info;
  (void)part;
  (void)events;
  if (read (fd, &info, sizeof info) > 0)
    registration_leave ();
}

int
run_worker (int argc, char **argv, apr_pool_t *pool)
{
  struct err err;
  struct httpd_desc desc
      = { .address
          = str_from (option (argc, argv, "--listen", "127.24.2.1:7910")),
          .handler = handle,
          .request_completed = completed,
          .caller_closed = on_gone };
  worker.id = option (argc, argv, "--id", "i-1");
  worker.work_ms = strtoll (option (argc, argv, "--work-ms", "20"), NULL, 10);
  worker.slots = strtoll (option (argc, argv, "--slots", "4"), NULL, 10);
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
  on_signals (worker.loop, on_term, NULL);
  registration_start (pool, worker.loop, argc, argv, on_left);
  loop_run (worker.loop);
  return 0;
}
