#include "gateway/lapse_checks.h"

#include "base/random.h"
#include "platform/decode.h"
#include "platform/words.h"

#include <stdlib.h>

/* constants */

enum
{
  CHECKS_MAX = 256, /* upstreams that are asked at the same time */
  /* More records than these that are missing at once are leases that ended
     together; to ask all would cost upstreams and entries more than it
     tells.  */
  MISSING_MAX = 16,
  SPREAD_MS = 1000, /* half of the grace period */
  INTERVAL_MS = 500,
  TIMEOUT_MS = 500, /* a check that waits for a slot says nothing in time */
  RESPONSE_MAX_BYTES = 4096,
  HTTP_OK = 200,
  HTTP_SERVICE_UNAVAILABLE = 503
};

/* types */

struct lapse_checks
{
  struct lapse_checks_desc desc;
  struct lapse_check *first;
  size_t count;
  uint64_t random;
  struct counter *sent;
};

/* An upstream that is asked.  */
struct lapse_check
{
  struct lapse_check *next;
  struct lapse_check **link; /* the pointer to this check in the list */
  struct lapse_checks *checks;
  struct fleet_upstream *upstream;
  struct timer timer;
};

/* private functions */

static void on_due (void *user_data, apr_time_t now);

static void
end_check (struct lapse_check *check)
{
  *check->link = check->next;
  if (check->next)
    check->next->link = check->link;
  check->checks->count--;
  fleet_upstream_unref (check->upstream);
  free (check);
}

static void
ask_after (struct lapse_check *check, int64_t wait_ms)
{
  timer_start (loop_timers (check->checks->desc.loop), &check->timer,
               timer_clock () + TIMER_MS (wait_ms), on_due, check);
}

static void
on_response (void *user_data, const struct http_response *response)
{
  struct lapse_check *check = user_data;
  const struct lapse_checks_desc *desc = &check->checks->desc;
  struct str id = http_response_header (response, PLATFORM_INSTANCE);
  bool is_other = id.size > 0 && !str_equal (id, check->upstream->id);
  /* One that is full rejects health checks as it rejects requests.  */
  bool is_answer
      = id.size > 0 && !is_other
        && http_response_header (response, PLATFORM_NOT_EXECUTED).size == 0;
  bool is_leaving = is_answer
                    && (response->status == HTTP_SERVICE_UNAVAILABLE
                        || decode_leaving (http_response_header (
                            response, PLATFORM_LEAVING)));
  if (response->refused || is_other || is_leaving)
    {
      desc->left (desc->user_data, check->upstream);
      end_check (check);
    }
  else if (is_answer && response->status == HTTP_OK)
    end_check (check);
  else
    ask_after (check, INTERVAL_MS);
}

static void
on_due (void *user_data, apr_time_t now)
{
  struct lapse_check *check = user_data;
  struct lapse_checks *checks = check->checks;
  const struct fleet_upstream *upstream = check->upstream;
  char url[512];
  struct str path
      = checks->desc.health_path (checks->desc.user_data, upstream->service);
  if (upstream->expired_at == 0 || path.size == 0
      || fleet_is_cold (upstream, now)
      || fleet_lapsed_count (checks->desc.fleet) > MISSING_MAX)
    {
      end_check (check);
      return;
    }
  snprintf (url, sizeof url, "http://%s%.*s", upstream->address.data,
            STR_ARGS (path));
  counter_add (checks->sent, 1);
  struct http_request request = { .url = url,
                                  .timeout_ms = TIMEOUT_MS,
                                  .closes_connection = true,
                                  .max_response_bytes = RESPONSE_MAX_BYTES };
  http_client_send (checks->desc.client, &request, on_response, check);
}

/* public functions */

struct lapse_checks *
lapse_checks_create (apr_pool_t *pool, const struct lapse_checks_desc *desc)
{
  struct lapse_checks *checks = apr_pcalloc (pool, sizeof *checks);
  checks->desc = *desc;
  checks->random = desc->seed;
  checks->sent
      = counter_get (desc->counters, "citroncleat_lapse_checks_total", "",
                     "Health checks of upstreams whose record vanished.");
  return checks;
}

void
lapse_checks_destroy (struct lapse_checks *checks)
{
  struct lapse_check *next;
  for (struct lapse_check *check = checks ? checks->first : NULL; check;
       check = next)
    {
      next = check->next;
      timer_stop (loop_timers (checks->desc.loop), &check->timer);
      fleet_upstream_unref (check->upstream);
      free (check);
    }
}

void
lapse_checks_add (struct lapse_checks *checks, struct fleet_upstream *upstream)
{
  if (checks->count == CHECKS_MAX)
    return;
  struct lapse_check *check = calloc (1, sizeof *check);
  if (!check)
    abort ();
  check->checks = checks;
  check->upstream = fleet_upstream_ref (upstream);
  check->next = checks->first;
  check->link = &checks->first;
  if (check->next)
    check->next->link = &check->next;
  checks->first = check;
  checks->count++;
  ask_after (check, (int64_t)(random_next (&checks->random) % SPREAD_MS));
}
