/* Upstreams, many in one process, each with slots, a queue, a cost of new
   connections, a cold start, a leaving state, cancellation and deadlines.

     standin upstreams -f RESOURCES [--report IP:PORT] [--service-ms N]
       [--lag-ms N] [--ramp-ms N] [--queue N] [--connect-ms N]

   Each upstream of the resources file listens on its address.  A call waits
   for a slot and then takes its service time: the X-Service-Ms header, or a
   random time with the mean --service-ms; three times that in the first
   --ramp-ms of the process; times the upstream's slowdown; and --connect-ms
   more if it is the first request on its connection.  Calls beyond the slots
   and --queue are refused with 503, and those that exceed their
   Request-Timeout-Ms are cancelled.  The response is delayed by a round trip
   of the region link if the entry is in another region.  It has the caller's
   token and the size and hash of the request's body; X-Answer-Bytes pads it to
   at least that size.

   GET /health on an upstream's address reports its state and its load; the
   load is updated every --lag-ms.

   On the address of --report: GET / reports what was counted, GET /running the
   calls in progress by region; PUT /?upstream=NAME&leaving=1 and
   &slow=FACTOR set the state and the slowdown of an upstream.  */
#include "tests/standin/standin.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

enum
{
  CONNECTION_CHECK_MS = 10,
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
  int64_t peak_running;
  int64_t peak_connections;
  int64_t connections;
  int64_t served;
  int64_t shed;
  int64_t cancelled;
  int64_t reported_load;
  apr_time_t warm_at;
  apr_time_t leaving_since;
  apr_time_t last_start; /* of the last new call */
  double slowdown;
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
  struct job *next_queued;    /* in the upstream's queue */
  struct job *next_job;       /* in the list of all jobs */
  struct job **previous_link; /* that points to this job */
  struct standin_upstream *upstream;
  struct MHD_Connection *connection;
  XXH64_state_t *hash;
  int64_t size;
  enum job_state state;
  unsigned int status;
  bool suspended;
  bool caller_closed;
  bool has_body;
  struct timer timer;
};

/* How often requests with one Idempotency-Key were started; an empty key is a
   free place of the hash table.  */
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
  int64_t queue_limit;
  apr_time_t cold_us;
  struct timer connection_check_timer;
  struct timer load_report_timer;
  int64_t load_report_interval_ms;
  struct run_count *runs;
  size_t run_capacity;
  size_t run_count;
  int64_t running_of_service[64];
  int64_t peak_of_service[64];
  int64_t running_of_region[64];
  int64_t peak_of_region[64];
  int64_t half_bodies;
  struct httpd *report;
} fleet;

/* Returns a random number between 0 and 1, both excluded.  */
static double
random_fraction (void)
{
  return ((double)rand () + 0.5) / ((double)RAND_MAX + 1.0);
}

static struct run_count *
find_run_count (const char *key)
{
  size_t position = XXH64 (key, strlen (key), 0) % fleet.run_capacity;
  while (fleet.runs[position].key[0]
         && strcmp (fleet.runs[position].key, key) != 0)
    position = (position + 1) % fleet.run_capacity;
  return &fleet.runs[position];
}

/* Counts a start of the job KEY; keys that would fill the table beyond half
   are not counted.  */
static void
count_run (const char *key)
{
  struct run_count *run = find_run_count (key);
  if (run->key[0] == 0)
    {
      if (2 * ++fleet.run_count > fleet.run_capacity)
        return;
      snprintf (run->key, sizeof run->key, "%s", key);
    }
  run->runs++;
}

static double
service_ms (const struct job *job)
{
  struct str requested = httpd_header (job->connection, "X-Service-Ms");
  double ms = requested.size > 0
                  ? strtod (requested.data, NULL)
                  : fleet.service_ms * (0.5 - log (random_fraction ()) / 2);
  if (timer_clock () < job->upstream->warm_at)
    ms *= COLD_FACTOR;
  ms *= job->upstream->slowdown;
  if (httpd_is_first_request (job->connection))
    ms += fleet.connect_ms;
  return ms;
}

/* Returns the round-trip time of the link between the region of the entry that
   sent the request and the upstream's region; 0 within a region.  */
static apr_time_t
rtt_us (const struct job *job)
{
  struct str name = httpd_header (job->connection, "Citroncleat-Region");
  const struct region *own_region = job->upstream->spec->zone->region;
  const struct region *caller_region
      = snapshot_find (fleet.snapshot, KIND_REGION, name);
  const struct region_link *link
      = caller_region && caller_region != own_region
            ? snapshot_find_link (fleet.snapshot, caller_region, own_region)
            : NULL;
  return link ? 2000 * link->latency_ms : 0;
}

static void
resume_response (struct job *job)
{
  if (!job->suspended)
    return;
  job->suspended = false;
  httpd_resume (job->upstream->httpd, job->connection);
}

static void start_next (struct standin_upstream *upstream);

/* Adds CHANGE to the calls in progress of the upstream, its service and its
   region, and updates the peaks.  */
static void
count_running (struct standin_upstream *u, int change)
{
  size_t service = u->spec->group->service->index;
  size_t region = u->spec->zone->region->index;
  u->running += change;
  fleet.running_of_service[service] += change;
  fleet.running_of_region[region] += change;
  if (u->running > u->peak_running)
    u->peak_running = u->running;
  if (fleet.running_of_service[service] > fleet.peak_of_service[service])
    fleet.peak_of_service[service] = fleet.running_of_service[service];
  if (fleet.running_of_region[region] > fleet.peak_of_region[region])
    fleet.peak_of_region[region] = fleet.running_of_region[region];
}

static void
on_rtt_over (void *user_data, apr_time_t now)
{
  (void)now;
  resume_response (user_data);
}

static void
on_work_done (void *user_data, apr_time_t now)
{
  struct job *job = user_data;
  count_running (job->upstream, -1);
  job->upstream->served++;
  job->state = JOB_DONE;
  job->status = 200;
  timer_start (loop_timers (fleet.loop), &job->timer, now + rtt_us (job),
               on_rtt_over, job);
  start_next (job->upstream);
}

/* Cancels a job whose deadline has passed.  No response is sent: the entry no
   longer waits and closes the connection.  */
static void
on_deadline (void *user_data, apr_time_t now)
{
  struct job *job = user_data;
  (void)now;
  count_running (job->upstream, -1);
  job->upstream->cancelled++;
  job->state = JOB_DONE;
  job->status = 504;
  start_next (job->upstream);
}

static void
start_job (struct job *job)
{
  struct str timeout = httpd_header (job->connection, "Request-Timeout-Ms");
  struct str key = httpd_header (job->connection, "Idempotency-Key");
  apr_time_t now = timer_clock ();
  count_running (job->upstream, 1);
  job->upstream->last_start = now;
  job->state = JOB_RUNNING;
  if (key.size > 0)
    count_run (key.data);
  double ms = service_ms (job);
  double timeout_ms = timeout.size > 0 ? strtod (timeout.data, NULL) : ms;
  if (ms > timeout_ms)
    timer_start (loop_timers (fleet.loop), &job->timer,
                 now + (apr_time_t)(timeout_ms * 1000), on_deadline, job);
  else if (ms <= 0)
    on_work_done (job, now);
  else
    timer_start (loop_timers (fleet.loop), &job->timer,
                 now + (apr_time_t)(ms * 1000), on_work_done, job);
}

static void
start_next (struct standin_upstream *u)
{
  while (u->queue_first && u->running < u->spec->group->slots)
    {
      struct job *job = u->queue_first;
      u->queue_first = job->next_queued;
      if (!u->queue_first)
        u->queue_last = NULL;
      u->queued--;
      start_job (job);
    }
}

/* Starts the job, queues it, or refuses it with 503.  */
static void
admit_job (struct job *job)
{
  struct standin_upstream *u = job->upstream;
  if (u->running < u->spec->group->slots)
    {
      start_job (job);
      return;
    }
  if (u->queued >= fleet.queue_limit)
    {
      u->shed++;
      job->state = JOB_DONE;
      job->status = 503;
      return;
    }
  job->state = JOB_QUEUED;
  job->next_queued = NULL;
  if (u->queue_last)
    u->queue_last->next_queued = job;
  else
    u->queue_first = job;
  u->queue_last = job;
  u->queued++;
}

static void
remove_from_queue (struct job *job)
{
  struct standin_upstream *u = job->upstream;
  struct job **at = &u->queue_first;
  struct job *previous = NULL;
  while (*at != job)
    {
      previous = *at;
      at = &(*at)->next_queued;
    }
  *at = job->next_queued;
  if (u->queue_last == job)
    u->queue_last = previous;
  u->queued--;
}

/* Cancels a job whose connection was closed by the other side.  */
static void
cancel_job (struct job *job)
{
  timer_stop (loop_timers (fleet.loop), &job->timer);
  if (job->state == JOB_QUEUED)
    remove_from_queue (job);
  if (job->state == JOB_RUNNING)
    {
      count_running (job->upstream, -1);
      job->upstream->cancelled++;
    }
  if (job->state == JOB_READING && job->has_body)
    fleet.half_bodies++;
  job->state = JOB_DONE;
  start_next (job->upstream);
}

static enum MHD_Result
send_response (struct job *job)
{
  char text[512];
  struct str token = httpd_header (job->connection, "X-Caller-Token");
  struct str id = httpd_header (job->connection, "Request-Id");
  struct str size_text = httpd_header (job->connection, "X-Answer-Bytes");
  size_t n = (size_t)snprintf (
      text, sizeof text,
      "{\"upstream\":\"%s\",\"token\":\"%.*s\",\"bytes\":%lld,"
      "\"hash\":\"%016llx\"}",
      job->upstream->spec->head.name.data, STR_ARGS (token),
      (long long)job->size,
      job->hash ? (unsigned long long)XXH64_digest (job->hash) : 0);
  size_t size = n;
  size_t requested = (size_t)strtoll (size_text.data, NULL, 10);
  if (requested > size)
    size = requested;
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
send_health (struct standin_upstream *u, struct MHD_Connection *connection)
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
on_request (void *user_data, struct MHD_Connection *connection,
            const char *url, const char *method, const char *version,
            const char *data, size_t *size, void **context)
{
  (void)method;
  (void)version;
  struct standin_upstream *u = user_data;
  struct job *job = *context;
  if (!job)
    {
      job = calloc (1, sizeof *job);
      job->upstream = u;
      job->connection = connection;
      job->state = JOB_READING;
      job->next_job = fleet.jobs;
      job->previous_link = &fleet.jobs;
      if (job->next_job)
        job->next_job->previous_link = &job->next_job;
      fleet.jobs = job;
      *context = job;
      return MHD_YES;
    }
  if (strcmp (url, "/health") == 0)
    {
      job->state = JOB_DONE;
      return send_health (u, connection);
    }
  if (job->caller_closed)
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
      job->has_body = true;
      *size = 0;
      return MHD_YES;
    }
  if (job->state == JOB_READING)
    admit_job (job);
  if (job->state == JOB_DONE && job->timer.heap_position == 0)
    return send_response (job);
  job->suspended = true;
  httpd_suspend (u->httpd, connection);
  return MHD_YES;
}

static void
on_request_completed (void *user_data, struct MHD_Connection *connection,
                      void **context, enum MHD_RequestTerminationCode code)
{
  (void)user_data;
  (void)connection;
  (void)code;
  struct job *job = *context;
  if (!job)
    return;
  *context = NULL;
  if (job->state != JOB_DONE)
    cancel_job (job);
  timer_stop (loop_timers (fleet.loop), &job->timer);
  *job->previous_link = job->next_job;
  if (job->next_job)
    job->next_job->previous_link = job->previous_link;
  if (job->hash)
    XXH64_freeState (job->hash);
  free (job);
}

static void
on_connection_check (void *user_data, apr_time_t now)
{
  (void)user_data;
  for (struct job *job = fleet.jobs; job; job = job->next_job)
    if (job->suspended && !job->caller_closed
        && httpd_caller_has_closed (job->connection))
      {
        job->caller_closed = true;
        cancel_job (job);
        resume_response (job);
      }
  for (size_t i = 0; i < fleet.count; i++)
    {
      struct standin_upstream *u = &fleet.upstreams[i];
      u->connections = httpd_connection_count (u->httpd);
      if (u->connections > u->peak_connections)
        u->peak_connections = u->connections;
    }
  timer_start (loop_timers (fleet.loop), &fleet.connection_check_timer,
               now + TIMER_MS (CONNECTION_CHECK_MS), on_connection_check,
               NULL);
}

static void
on_load_report_due (void *user_data, apr_time_t now)
{
  (void)user_data;
  for (size_t i = 0; i < fleet.count; i++)
    {
      struct standin_upstream *u = &fleet.upstreams[i];
      u->reported_load
          = 100 * (u->running + u->queued) / u->spec->group->slots;
    }
  timer_start (loop_timers (fleet.loop), &fleet.load_report_timer,
               now + TIMER_MS (fleet.load_report_interval_ms),
               on_load_report_due, NULL);
}

static json_object *
counts_json (enum resource_kind kind, const int64_t *counts)
{
  json_object *object = json_object_new_object ();
  for (size_t i = 0; i < fleet.snapshot->lists[kind].count; i++)
    {
      const struct resource *head
          = (const void *)((const char *)fleet.snapshot->lists[kind].items
                           + i * resource_kinds[kind].size);
      json_object_object_add (object, head->name.data,
                              json_object_new_int64 (counts[i]));
    }
  return object;
}

static json_object *
runs_json (void)
{
  json_object *runs = json_object_new_object ();
  for (size_t i = 0; i < fleet.run_capacity; i++)
    if (fleet.runs[i].key[0])
      json_object_object_add (runs, fleet.runs[i].key,
                              json_object_new_int64 (fleet.runs[i].runs));
  return runs;
}

static json_object *
upstream_json (const struct standin_upstream *u)
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
    { "most_running", u->peak_running },
    { "most_connections", u->peak_connections },
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
on_report (void *user_data, struct MHD_Connection *connection, const char *url,
           const char *method, const char *version, const char *data,
           size_t *size, void **context)
{
  (void)user_data;
  (void)method;
  (void)version;
  (void)data;
  (void)size;
  (void)context;
  if (strcmp (url, "/running") == 0)
    return httpd_queue_json (
        connection, 200, counts_json (KIND_REGION, fleet.running_of_region));
  struct str name = httpd_query_parameter (connection, "upstream");
  struct str leaving = httpd_query_parameter (connection, "leaving");
  struct str slowdown = httpd_query_parameter (connection, "slow");
  json_object *report = json_object_new_object ();
  json_object *upstreams = json_object_new_object ();
  for (size_t i = 0; i < fleet.count; i++)
    {
      struct standin_upstream *u = &fleet.upstreams[i];
      if (str_equal (u->spec->head.name, name) && leaving.size > 0)
        u->leaving_since = leaving.data[0] == '1' ? timer_clock () : 0;
      if (str_equal (u->spec->head.name, name) && slowdown.size > 0)
        u->slowdown = strtod (slowdown.data, NULL);
      json_object_object_add (upstreams, u->spec->head.name.data,
                              upstream_json (u));
    }
  json_object_object_add (report, "now_us",
                          json_object_new_int64 (timer_clock ()));
  json_object_object_add (report, "upstreams", upstreams);
  json_object_object_add (report, "most_of_service",
                          counts_json (KIND_SERVICE, fleet.peak_of_service));
  json_object_object_add (report, "most_of_region",
                          counts_json (KIND_REGION, fleet.peak_of_region));
  json_object_object_add (report, "half_bodies",
                          json_object_new_int64 (fleet.half_bodies));
  json_object_object_add (report, "runs", runs_json ());
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
            .request_completed = on_request_completed,
            .user_data = u,
            .max_connections = spec->group->connections + 16 };
    u->spec = spec;
    u->slowdown = 1.0;
    u->warm_at = timer_clock () + fleet.cold_us;
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
  fleet.queue_limit = strtoll (option (argc, argv, "--queue", "4"), NULL, 10);
  fleet.cold_us
      = TIMER_MS (strtoll (option (argc, argv, "--ramp-ms", "0"), NULL, 10));
  fleet.load_report_interval_ms
      = strtoll (option (argc, argv, "--lag-ms", "5000"), NULL, 10);
  fleet.run_capacity = 1 << 20;
  fleet.runs = calloc (fleet.run_capacity, sizeof *fleet.runs);
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
  on_connection_check (NULL, timer_clock ());
  on_load_report_due (NULL, timer_clock ());
  loop_run (fleet.loop);
  return 0;
}
