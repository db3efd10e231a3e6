/* Upstreams: many in one process, each with slots, a connection cost, cold
   starts, shedding, a leaving state, cancellation and deadlines.

     standin upstreams -f RESOURCES [--report IP:PORT] [--service-ms N]
       [--lag-ms N] [--ramp-ms N] [--queue N] [--connect-ms N]

   Each upstream of the resources file listens on its address.  A call takes
   its service time (the X-Service-Ms header, or about --service-ms), three
   times that while the upstream is cold, after waiting for a slot; calls
   beyond the slots and --queue are shed with 503.  Replies come later by the
   link's latency if the entry is in another region.  The answer names the
   caller's token, the body's size and its hash.

   On the report's address: GET / tells what was seen, GET /running the calls
   in progress of each region; PUT /?upstream=NAME&
   leaving=1 or &slow=FACTOR changes one upstream.  */
#include "tests/standin/standin.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

enum
{
  HEALTH_LAG_DEFAULT_MS = 5000,
  SWEEP_MS = 10,
  COLD_FACTOR = 3
};

struct standin_upstream
{
  const struct upstream *spec;
  struct httpd *httpd;
  struct job *queue_first;
  struct job *queue_last;
  int64_t running;
  int64_t queued;
  int64_t most_running;
  int64_t most_connections;
  int64_t connections;
  int64_t served;
  int64_t shed;
  int64_t cancelled;
  int64_t reported_load;
  apr_time_t warm_at;
  apr_time_t leaving_since;
  apr_time_t last_start; /* of the last new call */
  double slow;
};

enum job_state
{
  JOB_READING = 1,
  JOB_QUEUED,
  JOB_RUNNING,
  JOB_DONE
};

struct job
{
  struct job *next;      /* in its upstream's queue */
  struct job *next_open; /* among all */
  struct job **link;
  struct standin_upstream *upstream;
  struct MHD_Connection *connection;
  XXH64_state_t *hash;
  int64_t size;
  enum job_state state;
  unsigned int status;
  bool suspended;
  bool gone;
  bool opened;
  struct timer timer;
};

/* How often the job of one key ran.  */
struct run_count
{
  char key[64];
  int64_t runs;
};

static struct
{
  struct loop *loop;
  struct snapshot *snapshot;
  struct standin_upstream *upstreams;
  size_t count;
  struct job *jobs;
  double service_ms;
  double connect_ms; /* what a new connection costs */
  int64_t queue;
  apr_time_t ramp_us;
  struct timer sweep;
  struct timer report_timer;
  int64_t lag_ms;
  struct run_count *runs;
  size_t run_room;
  size_t run_count;
  int64_t running_of_service[64];
  int64_t most_of_service[64];
  int64_t running_of_region[64];
  int64_t most_of_region[64];
  int64_t half_bodies;
  struct httpd *report;
} fleet;

static double
uniform (void)
{
  return ((double)rand () + 0.5) / ((double)RAND_MAX + 1.0);
}

static struct run_count *
count_of (const char *key)
{
  size_t at = XXH64 (key, strlen (key), 0) % fleet.run_room;
  while (fleet.runs[at].key[0] && strcmp (fleet.runs[at].key, key) != 0)
    at = (at + 1) % fleet.run_room;
  return &fleet.runs[at];
}

static void
count_run (const char *key)
{
  struct run_count *run = count_of (key);
  if (run->key[0] == 0)
    {
      if (2 * ++fleet.run_count > fleet.run_room)
        return;
      snprintf (run->key, sizeof run->key, "%s", key);
    }
  run->runs++;
}

static double
service_ms (const struct job *job)
{
  struct str asked = httpd_header (job->connection, "X-Service-Ms");
  double ms = asked.size > 0 ? strtod (asked.data, NULL)
                             : fleet.service_ms * (0.5 - log (uniform ()) / 2);
  if (timer_clock () < job->upstream->warm_at)
    ms *= COLD_FACTOR;
  ms *= job->upstream->slow;
  if (httpd_is_first_request (job->connection))
    ms += fleet.connect_ms;
  return ms;
}

static apr_time_t
distance_us (const struct job *job)
{
  struct str name = httpd_header (job->connection, "Citroncleat-Region");
  const struct region *there = job->upstream->spec->zone->region;
  const struct region *here
      = snapshot_find (fleet.snapshot, KIND_REGION, name);
  const struct region_link *link
      = here && here != there
            ? snapshot_find_link (fleet.snapshot, here, there)
            : NULL;
  return link ? 2000 * link->latency_ms : 0;
}

static void
answer_later (struct job *job)
{
  if (!job->suspended)
    return;
  job->suspended = false;
  httpd_resume (job->upstream->httpd, job->connection);
}

static void start_next (struct standin_upstream *upstream);

static void
count_running (struct standin_upstream *u, int change)
{
  size_t service = u->spec->group->service->index;
  size_t region = u->spec->zone->region->index;
  u->running += change;
  fleet.running_of_service[service] += change;
  fleet.running_of_region[region] += change;
  if (u->running > u->most_running)
    u->most_running = u->running;
  if (fleet.running_of_service[service] > fleet.most_of_service[service])
    fleet.most_of_service[service] = fleet.running_of_service[service];
  if (fleet.running_of_region[region] > fleet.most_of_region[region])
    fleet.most_of_region[region] = fleet.running_of_region[region];
}

static void
on_travelled (void *part, apr_time_t now)
{
  (void)now;
  answer_later (part);
}

static void
on_served (void *part, apr_time_t now)
{
  struct job *job = part;
  count_running (job->upstream, -1);
  job->upstream->served++;
  job->state = JOB_DONE;
  job->status = 200;
  timer_start (loop_timers (fleet.loop), &job->timer, now + distance_us (job),
               on_travelled, job);
  start_next (job->upstream);
}

/* The job's deadline passed: it is given up.  Nobody waits for the answer;
   the connection is closed by the other side.  */
static void
on_expired (void *part, apr_time_t now)
{
  struct job *job = part;
  (void)now;
  count_running (job->upstream, -1);
  job->upstream->cancelled++;
  job->state = JOB_DONE;
  job->status = 504;
  start_next (job->upstream);
}

static void
start (struct job *job)
{
  struct str limit = httpd_header (job->connection, "Request-Timeout-Ms");
  struct str key = httpd_header (job->connection, "Idempotency-Key");
  apr_time_t now = timer_clock ();
  count_running (job->upstream, 1);
  job->upstream->last_start = now;
  job->state = JOB_RUNNING;
  if (key.size > 0)
    count_run (key.data);
  double ms = service_ms (job);
  double limit_ms = limit.size > 0 ? strtod (limit.data, NULL) : ms;
  if (ms > limit_ms)
    timer_start (loop_timers (fleet.loop), &job->timer,
                 now + (apr_time_t)(limit_ms * 1000), on_expired, job);
  else if (ms <= 0)
    on_served (job, now);
  else
    timer_start (loop_timers (fleet.loop), &job->timer,
                 now + (apr_time_t)(ms * 1000), on_served, job);
}

static void
start_next (struct standin_upstream *u)
{
  while (u->queue_first && u->running < u->spec->group->slots)
    {
      struct job *job = u->queue_first;
      u->queue_first = job->next;
      if (!u->queue_first)
        u->queue_last = NULL;
      u->queued--;
      start (job);
    }
}

static void
admit (struct job *job)
{
  struct standin_upstream *u = job->upstream;
  if (u->running < u->spec->group->slots)
    {
      start (job);
      return;
    }
  if (u->queued >= fleet.queue)
    {
      u->shed++;
      job->state = JOB_DONE;
      job->status = 503;
      return;
    }
  job->state = JOB_QUEUED;
  job->next = NULL;
  if (u->queue_last)
    u->queue_last->next = job;
  else
    u->queue_first = job;
  u->queue_last = job;
  u->queued++;
}

static void
leave_queue (struct job *job)
{
  struct standin_upstream *u = job->upstream;
  struct job **at = &u->queue_first;
  struct job *before = NULL;
  while (*at != job)
    {
      before = *at;
      at = &(*at)->next;
    }
  *at = job->next;
  if (u->queue_last == job)
    u->queue_last = before;
  u->queued--;
}

/* The caller's side gave the job up.  */
static void
cancel (struct job *job)
{
  timer_stop (loop_timers (fleet.loop), &job->timer);
  if (job->state == JOB_QUEUED)
    leave_queue (job);
  if (job->state == JOB_RUNNING)
    {
      count_running (job->upstream, -1);
      job->upstream->cancelled++;
    }
  if (job->state == JOB_READING && job->opened)
    fleet.half_bodies++;
  job->state = JOB_DONE;
  start_next (job->upstream);
}

static enum MHD_Result
answer (struct job *job)
{
  char text[512];
  struct str token = httpd_header (job->connection, "X-Caller-Token");
  struct str id = httpd_header (job->connection, "Request-Id");
  struct str padding = httpd_header (job->connection, "X-Answer-Bytes");
  size_t n = (size_t)snprintf (
      text, sizeof text,
      "{\"upstream\":\"%s\",\"token\":\"%.*s\",\"bytes\":%lld,"
      "\"hash\":\"%016llx\"}",
      job->upstream->spec->head.name.data, STR_ARGS (token),
      (long long)job->size,
      job->hash ? (unsigned long long)XXH64_digest (job->hash) : 0);
  size_t size = n;
  size_t asked = (size_t)strtoll (padding.data, NULL, 10);
  if (asked > size)
    size = asked;
  char *body = malloc (size);
  memset (body, ' ', size);
  memcpy (body, text, n);
  struct MHD_Response *response
      = MHD_create_response_from_buffer (size, body, MHD_RESPMEM_MUST_FREE);
  if (id.size > 0)
    MHD_add_response_header (response, "Request-Id", id.data);
  MHD_add_response_header (response, "Content-Type", "application/json");
  enum MHD_Result result
      = MHD_queue_response (job->connection, job->status, response);
  MHD_destroy_response (response);
  return result;
}

static enum MHD_Result
answer_health (struct standin_upstream *u, struct MHD_Connection *connection)
{
  json_object *object = json_object_new_object ();
  json_object_object_add (
      object, "state",
      json_object_new_string (u->leaving_since ? "leaving" : "serving"));
  json_object_object_add (object, "load_percent",
                          json_object_new_int64 (u->reported_load));
  return httpd_queue_json (connection, 200, object);
}

static enum MHD_Result
on_request (void *part, struct MHD_Connection *connection, const char *url,
            const char *method, const char *version, const char *data,
            size_t *size, void **context)
{
  (void)method;
  (void)version;
  struct standin_upstream *u = part;
  struct job *job = *context;
  if (!job)
    {
      job = calloc (1, sizeof *job);
      job->upstream = u;
      job->connection = connection;
      job->state = JOB_READING;
      job->next_open = fleet.jobs;
      job->link = &fleet.jobs;
      if (job->next_open)
        job->next_open->link = &job->next_open;
      fleet.jobs = job;
      *context = job;
      return MHD_YES;
    }
  if (strcmp (url, "/health") == 0)
    {
      job->state = JOB_DONE;
      return answer_health (u, connection);
    }
  if (job->gone)
    return MHD_NO;
  if (*size > 0)
    {
      if (!job->hash)
        {
          job->hash = XXH64_createState ();
          XXH64_reset (job->hash, 0);
        }
      XXH64_update (job->hash, data, *size);
      job->size += (int64_t)*size;
      job->opened = true;
      *size = 0;
      return MHD_YES;
    }
  if (job->state == JOB_READING)
    admit (job);
  if (job->state == JOB_DONE && job->timer.heap_position == 0)
    return answer (job);
  job->suspended = true;
  httpd_suspend (u->httpd, connection);
  return MHD_YES;
}

static void
on_completed (void *part, struct MHD_Connection *connection, void **context,
              enum MHD_RequestTerminationCode code)
{
  (void)part;
  (void)connection;
  (void)code;
  struct job *job = *context;
  if (!job)
    return;
  *context = NULL;
  if (job->state != JOB_DONE)
    cancel (job);
  timer_stop (loop_timers (fleet.loop), &job->timer);
  *job->link = job->next_open;
  if (job->next_open)
    job->next_open->link = job->link;
  if (job->hash)
    XXH64_freeState (job->hash);
  free (job);
}

static void
on_sweep (void *part, apr_time_t now)
{
  (void)part;
  for (struct job *job = fleet.jobs; job; job = job->next_open)
    if (job->suspended && !job->gone
        && httpd_caller_has_closed (job->connection))
      {
        job->gone = true;
        cancel (job);
        answer_later (job);
      }
  for (size_t i = 0; i < fleet.count; i++)
    {
      struct standin_upstream *u = &fleet.upstreams[i];
      u->connections = httpd_connection_count (u->httpd);
      if (u->connections > u->most_connections)
        u->most_connections = u->connections;
    }
  timer_start (loop_timers (fleet.loop), &fleet.sweep,
               now + TIMER_MS (SWEEP_MS), on_sweep, NULL);
}

static void
on_report_due (void *part, apr_time_t now)
{
  (void)part;
  for (size_t i = 0; i < fleet.count; i++)
    {
      struct standin_upstream *u = &fleet.upstreams[i];
      u->reported_load
          = 100 * (u->running + u->queued) / u->spec->group->slots;
    }
  timer_start (loop_timers (fleet.loop), &fleet.report_timer,
               now + TIMER_MS (fleet.lag_ms), on_report_due, NULL);
}

static json_object *
most_list (enum resource_kind kind, const int64_t *most)
{
  json_object *object = json_object_new_object ();
  for (size_t i = 0; i < fleet.snapshot->lists[kind].count; i++)
    {
      const struct resource *head
          = (const void *)((const char *)fleet.snapshot->lists[kind].items
                           + i * resource_kinds[kind].size);
      json_object_object_add (object, head->name.data,
                              json_object_new_int64 (most[i]));
    }
  return object;
}

static json_object *
run_list (void)
{
  json_object *runs = json_object_new_object ();
  for (size_t i = 0; i < fleet.run_room; i++)
    if (fleet.runs[i].key[0])
      json_object_object_add (runs, fleet.runs[i].key,
                              json_object_new_int64 (fleet.runs[i].runs));
  return runs;
}

static json_object *
upstream_report (const struct standin_upstream *u)
{
  json_object *item = json_object_new_object ();
  const struct
  {
    const char *name;
    int64_t value;
  } rows[] = {
    { "served", u->served },
    { "shed", u->shed },
    { "cancelled", u->cancelled },
    { "most_running", u->most_running },
    { "most_connections", u->most_connections },
    { "slots", u->spec->group->slots },
    { "connection_limit", u->spec->group->connections },
    { "last_start_us", u->last_start },
  };
  for (size_t i = 0; i < sizeof rows / sizeof *rows; i++)
    json_object_object_add (item, rows[i].name,
                            json_object_new_int64 (rows[i].value));
  return item;
}

static enum MHD_Result
on_report (void *part, struct MHD_Connection *connection, const char *url,
           const char *method, const char *version, const char *data,
           size_t *size, void **context)
{
  (void)part;
  (void)method;
  (void)version;
  (void)data;
  (void)size;
  (void)context;
  if (strcmp (url, "/running") == 0)
    return httpd_queue_json (connection, 200,
                             most_list (KIND_REGION, fleet.running_of_region));
  struct str name = httpd_query_parameter (connection, "upstream");
  struct str leaving = httpd_query_parameter (connection, "leaving");
  struct str slow = httpd_query_parameter (connection, "slow");
  json_object *report = json_object_new_object ();
  json_object *upstreams = json_object_new_object ();
  for (size_t i = 0; i < fleet.count; i++)
    {
      struct standin_upstream *u = &fleet.upstreams[i];
      if (str_equal (u->spec->head.name, name) && leaving.size > 0)
        u->leaving_since = leaving.data[0] == '1' ? timer_clock () : 0;
      if (str_equal (u->spec->head.name, name) && slow.size > 0)
        u->slow = strtod (slow.data, NULL);
      json_object_object_add (upstreams, u->spec->head.name.data,
                              upstream_report (u));
    }
  json_object_object_add (report, "now_us",
                          json_object_new_int64 (timer_clock ()));
  json_object_object_add (report, "upstreams", upstreams);
  json_object_object_add (report, "most_of_service",
                          most_list (KIND_SERVICE, fleet.most_of_service));
  json_object_object_add (report, "most_of_region",
                          most_list (KIND_REGION, fleet.most_of_region));
  json_object_object_add (report, "half_bodies",
                          json_object_new_int64 (fleet.half_bodies));
  json_object_object_add (report, "runs", run_list ());
  return httpd_queue_json (connection, 200, report);
}

static void
open_upstreams (apr_pool_t *pool)
{
  struct err err = { 0 };
  fleet.count = fleet.snapshot->lists[KIND_UPSTREAM].count;
  fleet.upstreams = calloc (fleet.count, sizeof *fleet.upstreams);
  SNAPSHOT_EACH (fleet.snapshot, KIND_UPSTREAM, const struct upstream, spec)
  {
    struct standin_upstream *u = &fleet.upstreams[spec->index];
    struct httpd_desc desc
        = { .loop = fleet.loop,
            .address = spec->address,
            .handler = on_request,
            .request_completed = on_completed,
            .user_data = u,
            .max_connections = spec->group->connections + 16 };
    u->spec = spec;
    u->slow = 1.0;
    u->warm_at = timer_clock () + fleet.ramp_us;
    if (httpd_create (pool, &desc, &u->httpd, &err) != ERR_NONE)
      {
        fprintf (stderr, "standin: %s %s: %s\n", err.step, err.peer,
                 err.detail);
        exit (1);
      }
  }
}

int
run_upstreams (int argc, char **argv, apr_pool_t *pool)
{
  struct err err = { 0 };
  fleet.service_ms = strtod (option (argc, argv, "--service-ms", "20"), NULL);
  fleet.connect_ms = strtod (option (argc, argv, "--connect-ms", "1"), NULL);
  fleet.queue = strtoll (option (argc, argv, "--queue", "4"), NULL, 10);
  fleet.ramp_us
      = TIMER_MS (strtoll (option (argc, argv, "--ramp-ms", "0"), NULL, 10));
  fleet.lag_ms = strtoll (option (argc, argv, "--lag-ms", "5000"), NULL, 10);
  fleet.run_room = 1 << 20;
  fleet.runs = calloc (fleet.run_room, sizeof *fleet.runs);
  fleet.snapshot
      = load_resources (option (argc, argv, "-f", "resources.json"), pool);
  if (loop_create (pool, &fleet.loop, &err) != ERR_NONE)
    return 1;
  stop_on_signal (fleet.loop);
  open_upstreams (pool);
  struct httpd_desc report
      = { .loop = fleet.loop,
          .address
          = str_from (option (argc, argv, "--report", "127.0.0.1:7502")),
          .handler = on_report };
  if (httpd_create (pool, &report, &fleet.report, &err) != ERR_NONE)
    {
      fprintf (stderr, "standin: %s\n", err.detail);
      return 1;
    }
  on_sweep (NULL, timer_clock ());
  on_report_due (NULL, timer_clock ());
  loop_run (fleet.loop);
  return 0;
}
