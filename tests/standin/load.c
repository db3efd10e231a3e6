/* A closed-loop load: so many connections, each with one call at a time.

     standin load --url URL [--host NAME] [--connections N] [--seconds N]

   Prints calls a second and latency percentiles of whole, correct answers
   (status 200 with the caller's token in the body).  */
#include "tests/standin/standin.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  LATENCIES_MAX = 4000000,
  PAUSE_AFTER_FAILURE_MS = 10
};

struct lane
{
  struct curl_transfer transfer;
  struct curl_slist *headers;
  struct timer timer;
  char token[32];
  bool matched;
  apr_time_t began_at;
};

static struct
{
  struct loop *loop;
  struct curl_loop *curl_loop;
  const char *url;
  const char *host;
  apr_time_t until;
  uint32_t *latencies;
  size_t count;
  size_t failed;
  int active;
} load;

static size_t
on_body (char *data, size_t one, size_t size, void *part)
{
  struct lane *lane = part;
  char text[512];
  size *= one;
  snprintf (text, sizeof text, "%.*s", (int)(size < 500 ? size : 500), data);
  if (strstr (text, lane->token))
    lane->matched = true;
  return size;
}

static void start (struct lane *lane);

static void
on_pause_over (void *part, apr_time_t now)
{
  (void)now;
  start (part);
}

static void
on_done (void *owner, CURLcode result)
{
  struct lane *lane = owner;
  apr_time_t now = timer_clock ();
  long status = 0;
  curl_easy_getinfo (lane->transfer.easy, CURLINFO_RESPONSE_CODE, &status);
  bool good = result == CURLE_OK && status == 200 && lane->matched;
  if (!good)
    load.failed++;
  else if (load.count < LATENCIES_MAX)
    load.latencies[load.count++] = (uint32_t)(now - lane->began_at);
  if (now < load.until && good)
    start (lane);
  else if (now < load.until)
    timer_start (loop_timers (load.loop), &lane->timer,
                 now + TIMER_MS (PAUSE_AFTER_FAILURE_MS), on_pause_over, lane);
  else if (--load.active == 0)
    loop_stop (load.loop);
}

static void
start (struct lane *lane)
{
  lane->matched = false;
  lane->began_at = timer_clock ();
  curl_loop_add (load.curl_loop, &lane->transfer);
}

static void
open_lane (struct lane *lane, int number)
{
  char line[256];
  CURL *easy = curl_easy_init ();
  lane->transfer = (struct curl_transfer){ easy, on_done, lane };
  snprintf (lane->token, sizeof lane->token, "lane-%08d", number);
  snprintf (line, sizeof line, "X-Caller-Token: %s", lane->token);
  lane->headers = curl_slist_append (NULL, line);
  if (load.host)
    {
      snprintf (line, sizeof line, "Host: %s", load.host);
      lane->headers = curl_slist_append (lane->headers, line);
    }
  curl_easy_setopt (easy, CURLOPT_URL, load.url);
  curl_easy_setopt (easy, CURLOPT_PROXY, "");
  curl_easy_setopt (easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (easy, CURLOPT_HTTPHEADER, lane->headers);
  curl_easy_setopt (easy, CURLOPT_WRITEFUNCTION, on_body);
  curl_easy_setopt (easy, CURLOPT_WRITEDATA, lane);
  curl_easy_setopt (easy, CURLOPT_TIMEOUT_MS, 10000L);
  load.active++;
  start (lane);
}

static int
by_value (const void *a, const void *b)
{
  uint32_t x = *(const uint32_t *)a;
  uint32_t y = *(const uint32_t *)b;
  return (x > y) - (x < y);
}

int
run_load (int argc, char **argv, apr_pool_t *pool)
{
  struct err err = { 0 };
  int connections = atoi (option (argc, argv, "--connections", "16"));
  int seconds = atoi (option (argc, argv, "--seconds", "3"));
  load.url = option (argc, argv, "--url", "http://127.0.0.1:7600/");
  load.host = option (argc, argv, "--host", NULL);
  load.latencies = calloc (LATENCIES_MAX, sizeof *load.latencies);
  if (loop_create (pool, &load.loop, &err) != ERR_NONE
      || curl_loop_create (pool, load.loop, connections + 1, &load.curl_loop,
                           &err)
             != ERR_NONE)
    return 1;
  load.until = timer_clock () + TIMER_SEC (seconds);
  struct lane *lanes = calloc ((size_t)connections, sizeof *lanes);
  for (int i = 0; i < connections; i++)
    open_lane (&lanes[i], i);
  loop_run (load.loop);
  qsort (load.latencies, load.count, sizeof *load.latencies, by_value);
  size_t n = load.count;
  printf ("calls_per_second=%zu p50_us=%u p99_us=%u failed=%zu\n",
          n / (size_t)seconds, n ? load.latencies[n / 2] : 0,
          n ? load.latencies[n - 1 - n / 100] : 0, load.failed);
  for (int i = 0; i < connections; i++)
    {
      curl_easy_cleanup (lanes[i].transfer.easy);
      curl_slist_free_all (lanes[i].headers);
    }
  curl_loop_destroy (load.curl_loop);
  loop_destroy (load.loop);
  free (lanes);
  free (load.latencies);
  return load.failed > 0 || n == 0;
}
