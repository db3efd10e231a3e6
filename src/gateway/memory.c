/* Memory and connections that this process holds for its callers: one account
   of them, and what is given up when it is full.

   Counted are the bodies of requests, the responses that are kept until their
   callers have read them, and an amount for each connection and for the
   process.  While that exceeds the limit, which follows from the VM's memory,
   or nearly all connections are in use,

   - connections on which the caller has made no progress for two seconds are
     closed, those first that have stood still longest: their requests can't be
     served, or their responses aren't read;
   - a body that grows beyond the limit is given up: that request, or the
     largest one of the address that holds most, is refused as not run;
   - no request is sent that isn't under way yet.

   A single request always fits, since a body is buffered up to
   BODY_BUFFER_BYTES and streamed beyond that.  */
#include "gateway/internal.h"

#include "call/limits.h"

#include <malloc.h>
#include <stdlib.h>
#include <string.h>

/* constants */

enum
{
  CHECK_MS = 100,
  /* Callers that are slow send or read something within this time.  */
  STALL_MS = 2000,
  /* Operators allow callers 3 s for a head, and to use a connection again that
     was idle for up to 12 s.  */
  HEAD_MS = 4000,
  IDLE_MS = 13000,
  PROCESS_BYTES = 16 * 1024 * 1024, /* without any connection */
  CONNECTION_BYTES = 48 * 1024,     /* without bodies */
  ATTEMPT_BYTES = 64 * 1024, /* buffers of libcurl and of its connection */
  /* Room for a few requests, whatever the settings say.  */
  MIN_LIMIT_BYTES = PROCESS_BYTES + 8 * 1024 * 1024,
  RETRY_AFTER_MS = 1000,
  HTTP_UNAVAILABLE = 503,
  /* Larger allocations are returned to the system when they are freed; the
     library's own threshold grows with use.  */
  MMAP_THRESHOLD_BYTES = 128 * 1024
};

/* Fraction of the VM's memory that the account may reach.  The rest is for
   what isn't counted: fragmentation, buffers of the libraries, the kernel's
   buffers.  */
static const double limit_fraction = 0.55;
/* Connections are closed from this fraction of their maximum on, until the
   second one is reached.  */
static const double max_connection_fraction = 0.9;
static const double left_connection_fraction = 0.8;

/* types */

/* What the requests of one address hold.  */
struct address_use
{
  uint32_t address;
  size_t bytes;
  struct request *largest; /* that can be refused; or NULL */
};

/* private functions */

static size_t
account (const struct gateway *gateway)
{
  return PROCESS_BYTES + gateway->held_bytes
         + (size_t)CONNECTION_BYTES
               * httpd_connection_count (gateway->caller_listener);
}

static size_t
limit (const struct gateway *gateway)
{
  size_t bytes = (size_t)((double)gateway->settings.machine.memory_mb * 1024
                          * 1024 * limit_fraction);
  return bytes > MIN_LIMIT_BYTES ? bytes : MIN_LIMIT_BYTES;
}

/* Returns whether the process is known to have memory for BYTES more.  */
static bool
fits (const struct gateway *gateway, size_t bytes)
{
  return gateway->settings.machine.memory_mb == 0
         || account (gateway) + bytes <= limit (gateway);
}

/* Returns whether nothing happens to REQUEST before its caller sends or reads
   more.  A suspended one waits for an upstream or for this entry.  */
static bool
awaits_caller (const struct request *request)
{
  return !request->suspended
         && (request->answered || !request->head_received
             || !request->body_complete);
}

/* Updates when the caller of REQUEST last made progress, from what it has
   read of the response.  */
static void
check_progress (struct request *request, apr_time_t now)
{
  if (!request->answered)
    return;
  int64_t acknowledged = httpd_acknowledged_bytes (request->connection);
  if (acknowledged != request->acknowledged_bytes)
    request->progressed_at = now;
  request->acknowledged_bytes = acknowledged;
}

static void
log_limit (struct gateway *gateway, const char *what,
           struct MHD_Connection *connection)
{
  apr_time_t now = timer_clock ();
  if (now - gateway->memory_logged_at < APR_USEC_PER_SEC)
    return;
  gateway->memory_logged_at = now;
  apr_pool_t *pool;
  apr_pool_create (&pool, gateway->pool);
  LOG (LOG_WARN, "memory-limit", LOG_TEXT ("done", what),
       LOG_TEXT ("caller", httpd_peer_text (connection, pool)),
       LOG_INT ("held_kb", (int64_t)(account (gateway) / 1024)),
       LOG_INT ("limit_kb", (int64_t)(limit (gateway) / 1024)),
       LOG_INT ("connections",
                (int64_t)httpd_connection_count (gateway->caller_listener)));
  apr_pool_destroy (pool);
}

static int
by_progress (const void *a, const void *b)
{
  apr_time_t left = (*(struct request *const *)a)->progressed_at;
  apr_time_t right = (*(struct request *const *)b)->progressed_at;
  return (left > right) - (left < right);
}

/* Closes the connection of REQUEST and gives up what is held for it.  */
static void
close_stalled (struct request *request)
{
  struct gateway *gateway = request->gateway;
  log_limit (gateway, "a stalled connection is closed", request->connection);
  counter_add (gateway->memory_closed, 1);
  request->was_closed = true;
  wait_queue_remove (request);
  timer_stop (loop_timers (gateway->loop), &request->queue_timer);
  tenant_quota_cancel (request);
  attempts_cancel (request);
  memory_drop_body (request);
  memory_update (request);
  httpd_close_connection (gateway->caller_listener, request->connection);
}

/* Returns the requests whose callers have stalled, longest first, and sets
   COUNT.  */
static struct request **
find_stalled (struct gateway *gateway, apr_time_t now, size_t *count)
{
  struct request **stalled
      = malloc (((size_t)gateway->open_requests + 1) * sizeof (*stalled));
  if (!stalled)
    abort ();
  *count = 0;
  for (struct request *request = gateway->requests; request;
       request = request->next)
    if (!request->was_closed && awaits_caller (request))
      {
        check_progress (request, now);
        int64_t most_ms = request->head_received ? STALL_MS : HEAD_MS;
        if (now - request->progressed_at >= TIMER_MS (most_ms))
          stalled[(*count)++] = request;
      }
  qsort (stalled, *count, sizeof (*stalled), by_progress);
  return stalled;
}

/* Closes stalled connections until BYTES more fit and CONNECTIONS have been
   closed.  Returns how many were.  */
static size_t
shed (struct gateway *gateway, size_t bytes, size_t connections,
      apr_time_t now)
{
  size_t count;
  size_t closed = 0;
  struct request **stalled = find_stalled (gateway, now, &count);
  for (; closed < count && (closed < connections || !fits (gateway, bytes));
       closed++)
    close_stalled (stalled[closed]);
  free (stalled);
  return closed;
}

/* Finds the address whose requests hold most.  */
static struct address_use
find_largest_use (const struct gateway *gateway)
{
  apr_pool_t *pool;
  struct address_use largest = { 0 };
  apr_pool_create (&pool, gateway->pool);
  apr_hash_t *uses = apr_hash_make (pool);
  for (struct request *request = gateway->requests; request;
       request = request->next)
    {
      uint32_t address = httpd_peer_address (request->connection);
      struct address_use *use = apr_hash_get (uses, &address, sizeof address);
      if (!use)
        {
          use = apr_pcalloc (pool, sizeof *use);
          use->address = address;
          apr_hash_set (uses, &use->address, sizeof use->address, use);
        }
      use->bytes += request->held_bytes;
      if (!request->response_ready && !request->attempt
          && !request->may_have_run && request->held_bytes > 0
          && (!use->largest || request->held_bytes > use->largest->held_bytes))
        use->largest = request;
      if (use->bytes > largest.bytes)
        largest = *use;
      else if (use->address == largest.address)
        largest.largest = use->largest;
    }
  apr_pool_destroy (pool);
  return largest;
}

static void
refuse (struct request *request)
{
  log_limit (request->gateway, "a request is refused", request->connection);
  counter_add (request->gateway->memory_refused, 1);
  request->retry_after = TIMER_MS (RETRY_AFTER_MS);
  request_refuse (request, HTTP_UNAVAILABLE, "the entry has no memory for it");
}

static void
on_check (void *user_data, apr_time_t now)
{
  struct gateway *gateway = user_data;
  struct httpd *listener = gateway->caller_listener;
  double max_connections = (double)gateway->max_connections;
  double connections = (double)httpd_connection_count (listener);
  bool is_crowded = connections >= max_connection_fraction * max_connections;
  for (struct request *request = gateway->requests; request;
       request = request->next)
    memory_update (request);
  /* Nothing is held for requests when there are none.  */
  if (!gateway->requests && gateway->held_bytes != 0)
    {
      LOG (LOG_ERROR, "memory-account",
           LOG_INT ("bytes", (int64_t)gateway->held_bytes));
      gateway->held_bytes = 0;
    }
  if (is_crowded || !fits (gateway, 0))
    {
      size_t wanted
          = is_crowded ? (size_t)(connections
                                  - left_connection_fraction * max_connections)
                       : 0;
      size_t closed = shed (gateway, 0, wanted, now);
      if (closed < wanted)
        counter_add (gateway->memory_closed,
                     (int64_t)httpd_close_unused (listener, wanted - closed,
                                                  TIMER_MS (HEAD_MS),
                                                  TIMER_MS (IDLE_MS)));
    }
  counter_set (gateway->memory_held, (int64_t)account (gateway));
  timer_start (loop_timers (gateway->loop), &gateway->memory_timer,
               now + TIMER_MS (CHECK_MS), on_check, gateway);
}

/* functions of the module */

void
memory_create (struct gateway *gateway)
{
  mallopt (M_MMAP_THRESHOLD, MMAP_THRESHOLD_BYTES);
  gateway->memory_held
      = gauge_get (gateway->counters, "citroncleat_held_bytes", "",
                   "Estimate of the memory in use, with what is held for "
                   "callers.");
  gateway->memory_refused = counter_get (
      gateway->counters, "citroncleat_memory_refusals_total", "",
      "Requests refused since there was no memory for them.");
  gateway->memory_closed = counter_get (
      gateway->counters, "citroncleat_stalled_closed_total", "",
      "Connections closed on which callers made no progress, while memory or "
      "connections were short.");
  on_check (gateway, timer_clock ());
}

void
memory_update (struct request *request)
{
  size_t bytes = request->body.capacity + request->answer_bytes;
  if (request->attempt)
    bytes += request->attempt->response.capacity + ATTEMPT_BYTES;
  request->gateway->held_bytes += bytes - request->held_bytes;
  request->held_bytes = bytes;
}

void
memory_drop_body (struct request *request)
{
  size_t size_limit = request->body.limit;
  body_free (&request->body);
  body_init (&request->body, size_limit);
  memory_update (request);
}

bool
memory_has_room (const struct gateway *gateway, size_t bytes)
{
  return fits (gateway, bytes);
}

bool
memory_allows (struct request *request, size_t bytes)
{
  struct gateway *gateway = request->gateway;
  memory_update (request);
  /* One that was sent has its whole buffer, and refusing it as not run would
     be wrong.  */
  if (request->attempt || request->may_have_run || fits (gateway, bytes))
    return true;
  shed (gateway, bytes, 0, timer_clock ());
  while (!fits (gateway, bytes))
    {
      struct address_use use = find_largest_use (gateway);
      uint32_t own = httpd_peer_address (request->connection);
      if (!use.largest || use.largest == request || use.address == own
          || use.largest->held_bytes < bytes)
        {
          refuse (request);
          return false;
        }
      refuse (use.largest);
    }
  return true;
}
