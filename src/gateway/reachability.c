#include "gateway/reachability.h"

#include "fleet/unreachable.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

/* constants */

enum
{
  EXCHANGE_MS = 500,
  TIMEOUT_MS = 400,
  PENDING_MAX = 64, /* reports between two exchanges; further ones are
                       dropped */
  RESPONSE_MAX_BYTES = 64 * 1024,
  REPORT_MAX_BYTES = 96, /* of one report or warning as text */
  HTTP_OK = 200
};

const char reachability_path[] = "/reachability";
const char reachability_seen[] = "seen";
const char reachability_from[] = "from";

/* types */

struct reachability
{
  struct reachability_desc desc;
  apr_pool_t *pool;
  struct unreachable *list; /* of this entry as a reader */
  struct timer timer;
  uint64_t name_hash;
  bool call_in_progress;
  struct
  {
    char text[REPORT_MAX_BYTES]; /* "ID,INCARNATION,CERTAIN" */
  } pending[PENDING_MAX];
  size_t pending_count;
  struct counter *reports;
  struct counter *warnings;
};

/* private functions */

static void on_exchange_due (void *user_data, apr_time_t now);

/* Avoids the upstream of a warning.  */
static void
apply_warning (struct reachability *reachability,
               const struct unreachable_warning *warning, apr_time_t now)
{
  struct fleet_upstream *upstream
      = fleet_find (reachability->desc.fleet, warning->id);
  /* Another incarnation may be there again.  An upstream that answers this
     entry is used, whatever others found.  */
  if (!upstream || upstream->incarnation != warning->incarnation
      || !load_avoid (&upstream->load, now + warning->left, now))
    return;
  counter_add (reachability->warnings, 1);
}

/* Splits the next field off *TEXT, which SEPARATOR ends; returns an empty
   string at the end.  */
static struct str
next_field (struct str *text, char separator)
{
  const char *end
      = text->size > 0 ? memchr (text->data, separator, text->size) : NULL;
  size_t size = end ? (size_t)(end - text->data) : text->size;
  struct str field = str_view (text->data, size);
  size_t skipped = size + (end ? 1 : 0);
  *text = str_view (text->data + skipped, text->size - skipped);
  return field;
}

/* Returns the number in TEXT, 0 if there is none.  */
static int64_t
number_in (struct str text)
{
  int64_t number = 0;
  for (size_t i = 0; i < text.size && text.data[i] >= '0'
                     && text.data[i] <= '9' && number < INT64_MAX / 100;
       i++)
    number = number * 10 + (text.data[i] - '0');
  return number;
}

/* Returns whether ID can be part of a URL as it is.  */
static bool
is_plain (struct str id)
{
  for (size_t i = 0; i < id.size; i++)
    if (!strchr ("ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz"
                 "0123456789-_.",
                 id.data[i])
        || id.data[i] == 0)
      return false;
  return true;
}

static void
on_exchanged (void *user_data, const struct http_response *response)
{
  struct reachability *reachability = user_data;
  reachability->call_in_progress = false;
  if (response->status != HTTP_OK)
    return;
  apr_time_t now = timer_clock ();
  struct str text = response->body;
  while (text.size > 0)
    {
      struct str line = next_field (&text, ';');
      struct unreachable_warning warning = { .id = next_field (&line, ',') };
      warning.incarnation = number_in (next_field (&line, ','));
      warning.left = TIMER_MS (number_in (next_field (&line, ',')));
      apply_warning (reachability, &warning, now);
    }
}

/* Sends the pending reports to the reader at ADDRESS.  */
static void
send_reports (struct reachability *reachability, struct str address)
{
  apr_pool_t *pool;
  apr_pool_create (&pool, reachability->pool);
  char *seen = apr_pcalloc (pool, PENDING_MAX * REPORT_MAX_BYTES + 1);
  for (size_t i = 0; i < reachability->pending_count; i++)
    strcat (strcat (seen, i > 0 ? ";" : ""), reachability->pending[i].text);
  struct http_request request
      = { .url
          = str_format (pool, "http://%s%s?%s=%s&%s=%s", address.data,
                        reachability_path, reachability_from,
                        reachability->desc.name.data, reachability_seen, seen),
          .timeout_ms = TIMEOUT_MS,
          .max_response_bytes = RESPONSE_MAX_BYTES };
  reachability->call_in_progress = true;
  http_client_send (reachability->desc.client, &request, on_exchanged,
                    reachability);
  apr_pool_destroy (pool);
}

/* As a reader, avoids what is on the own list.  */
static void
apply_own_list (struct reachability *reachability, apr_time_t now)
{
  struct unreachable_warning warnings[UNREACHABLE_MAX];
  size_t count
      = unreachable_query (reachability->list, now, warnings, UNREACHABLE_MAX);
  for (size_t i = 0; i < count; i++)
    apply_warning (reachability, &warnings[i], now);
}

static void
on_exchange_due (void *user_data, apr_time_t now)
{
  struct reachability *reachability = user_data;
  struct str address
      = reachability->desc.reader_address (reachability->desc.user_data);
  if (address.size == 0)
    apply_own_list (reachability, now);
  else if (!reachability->call_in_progress)
    {
      send_reports (reachability, address);
      reachability->pending_count = 0;
    }
  timer_start (loop_timers (reachability->desc.loop), &reachability->timer,
               now + TIMER_MS (EXCHANGE_MS), on_exchange_due, reachability);
}

/* public functions */

struct reachability *
reachability_create (apr_pool_t *pool, const struct reachability_desc *desc)
{
  struct reachability *reachability = apr_pcalloc (pool, sizeof *reachability);
  reachability->desc = *desc;
  reachability->pool = pool;
  reachability->list = unreachable_create (pool);
  reachability->name_hash = XXH64 (desc->name.data, desc->name.size, 0);
  reachability->reports
      = counter_get (desc->counters, "citroncleat_unreachable_reports_total",
                     "", "Upstreams that this entry could not reach.");
  reachability->warnings = counter_get (
      desc->counters, "citroncleat_unreachable_warnings_total", "",
      "Upstreams avoided since other entries could not reach them.");
  timer_start (loop_timers (desc->loop), &reachability->timer,
               timer_clock () + TIMER_MS (EXCHANGE_MS), on_exchange_due,
               reachability);
  return reachability;
}

void
reachability_destroy (struct reachability *reachability)
{
  if (reachability)
    timer_stop (loop_timers (reachability->desc.loop), &reachability->timer);
}

void
reachability_report (struct reachability *reachability,
                     const struct fleet_upstream *upstream, bool is_certain)
{
  struct unreachable_report report = { upstream->id, upstream->incarnation,
                                       reachability->name_hash, is_certain };
  counter_add (reachability->reports, 1);
  unreachable_report (reachability->list, &report, timer_clock ());
  if (reachability->pending_count == PENDING_MAX || !is_plain (upstream->id))
    return;
  int size
      = snprintf (reachability->pending[reachability->pending_count].text,
                  REPORT_MAX_BYTES, "%.*s,%lld,%d", STR_ARGS (upstream->id),
                  (long long)upstream->incarnation, is_certain);
  if (size < REPORT_MAX_BYTES)
    reachability->pending_count++;
}

struct str
reachability_handle (struct reachability *reachability, struct str seen,
                     struct str from, apr_pool_t *pool)
{
  apr_time_t now = timer_clock ();
  struct unreachable_report report
      = { .reporter = XXH64 (from.data, from.size, 0) };
  while (seen.size > 0)
    {
      struct str line = next_field (&seen, ';');
      report.id = next_field (&line, ',');
      report.incarnation = number_in (next_field (&line, ','));
      report.is_certain = number_in (next_field (&line, ',')) != 0;
      unreachable_report (reachability->list, &report, now);
    }
  struct unreachable_warning warnings[UNREACHABLE_MAX];
  size_t count
      = unreachable_query (reachability->list, now, warnings, UNREACHABLE_MAX);
  char *text = apr_pcalloc (pool, count * REPORT_MAX_BYTES + 1);
  size_t size = 0;
  for (size_t i = 0; i < count; i++)
    size += (size_t)snprintf (
        text + size, REPORT_MAX_BYTES, "%.*s,%lld,%lld;",
        STR_ARGS (warnings[i].id), (long long)warnings[i].incarnation,
        (long long)(warnings[i].left / (APR_USEC_PER_SEC / 1000)));
  return str_view (text, size);
}
