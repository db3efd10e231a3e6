#include "gateway/verify.h"

#include "platform/decode.h"
#include "platform/words.h"

#include <stdlib.h>

/* constants */

enum
{
  CHECKS_MAX = 256, /* upstreams that are asked at the same time */
  /* An upstream that starts again is back within seconds, and one that is
     back is cold for seconds.  */
  FAST_TRIES = 15,
  FAST_INTERVAL_MS = 200,
  INTERVAL_MS = 1000,
  MAX_INTERVAL_MS = 4000, /* of entries that hear of the answer from others */
  DOUBLINGS_MAX = 6,      /* of the fast interval, until it would be longer */
  TIMEOUT_MS = 500, /* a check that waits for a slot says nothing in time */
  RESPONSE_MAX_BYTES = 4096
};

/* types */

struct verify
{
  struct verify_desc desc;
  struct check *checks;
  size_t count;
  struct counter *sent;
};

/* An upstream that is asked.  */
struct check
{
  struct check *next;
  struct check **link; /* the pointer to this check in the list */
  struct verify *verify;
  struct fleet_upstream *upstream;
  struct timer timer;
  apr_time_t sent_at;
  int tries;
};

/* private functions */

static void on_due (void *user_data, apr_time_t now);

static void
end_check (struct check *check)
{
  *check->link = check->next;
  if (check->next)
    check->next->link = check->link;
  check->verify->count--;
  check->upstream->is_asked = false;
  fleet_upstream_unref (check->upstream);
  free (check);
}

/* Asks again after a while.  IS_GONE: nothing listens at the address.  */
static void
ask_later (struct check *check, bool is_gone)
{
  const struct verify_desc *desc = &check->verify->desc;
  int64_t wait_ms = check->tries < FAST_TRIES ? FAST_INTERVAL_MS : INTERVAL_MS;
  if (!desc->asks_often (desc->user_data, check->upstream))
    {
      wait_ms = MAX_INTERVAL_MS;
      if (!is_gone && check->tries < DOUBLINGS_MAX)
        wait_ms = (int64_t)FAST_INTERVAL_MS << (check->tries - 1);
    }
  timer_start (loop_timers (desc->loop), &check->timer,
               timer_clock () + TIMER_MS (wait_ms), on_due, check);
}

static void
on_response (void *user_data, const struct http_response *response)
{
  struct check *check = user_data;
  const struct verify_desc *desc = &check->verify->desc;
  struct str id = http_response_header (response, PLATFORM_INSTANCE);
  apr_time_t cold_left
      = decode_cold (http_response_header (response, PLATFORM_COLD));
  bool is_other = id.size > 0 && !str_equal (id, check->upstream->id);
  bool is_gone = response->refused || is_other;
  if (is_gone)
    desc->gone (desc->user_data, check->upstream);
  /* One that is full rejects health checks as it rejects requests.  One that
     fails says all the same whether it is cold.  */
  if (response->status == 0 || is_other || id.size == 0
      || http_response_header (response, PLATFORM_NOT_EXECUTED).size > 0)
    {
      ask_later (check, is_gone);
      return;
    }
  /* It was cold for so long when it responded, not when it was asked.  */
  if (cold_left > 0)
    cold_left += timer_clock () - check->sent_at;
  desc->answered (desc->user_data, check->upstream, check->sent_at, cold_left);
  end_check (check);
}

static void
on_due (void *user_data, apr_time_t now)
{
  struct check *check = user_data;
  struct verify *verify = check->verify;
  struct fleet_upstream *upstream = check->upstream;
  char url[512];
  struct str path
      = verify->desc.health_path (verify->desc.user_data, upstream->service);
  if (upstream->removed || upstream->doubt.since == 0 || path.size == 0)
    {
      end_check (check);
      return;
    }
  snprintf (url, sizeof url, "http://%s%.*s", upstream->address.data,
            STR_ARGS (path));
  check->tries++;
  check->sent_at = now;
  counter_add (verify->sent, 1);
  struct http_request request = { .url = url,
                                  .timeout_ms = TIMEOUT_MS,
                                  .closes_connection = true,
                                  .max_response_bytes = RESPONSE_MAX_BYTES };
  http_client_send (verify->desc.client, &request, on_response, check);
}

/* public functions */

struct verify *
verify_create (apr_pool_t *pool, const struct verify_desc *desc)
{
  struct verify *verify = apr_pcalloc (pool, sizeof *verify);
  verify->desc = *desc;
  verify->sent = counter_get (
      desc->counters, "citroncleat_upstream_checks_total", "",
      "Health checks of upstreams that may have started again.");
  return verify;
}

void
verify_destroy (struct verify *verify)
{
  struct check *next;
  for (struct check *check = verify ? verify->checks : NULL; check;
       check = next)
    {
      next = check->next;
      timer_stop (loop_timers (verify->desc.loop), &check->timer);
      fleet_upstream_unref (check->upstream);
      free (check);
    }
}

void
verify_upstream (struct verify *verify, struct fleet_upstream *upstream)
{
  if (upstream->is_asked || upstream->removed || verify->count == CHECKS_MAX)
    return;
  struct check *check = calloc (1, sizeof *check);
  if (!check)
    abort ();
  check->verify = verify;
  check->upstream = fleet_upstream_ref (upstream);
  upstream->is_asked = true;
  check->next = verify->checks;
  check->link = &verify->checks;
  if (check->next)
    check->next->link = &check->next;
  verify->checks = check;
  verify->count++;
  on_due (check, timer_clock ());
}
