#include "gateway/reachability.h"

#include "fleet/unreachable.h"
#include "gateway/doubt_queue.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

/* constants */

enum
{
  EXCHANGE_MS = 500,
  /* An entry that starts knows nothing of what ended before, nor do others
     that just started: it asks all readers that it may, in turn.  */
  FIRST_EXCHANGE_MS = 100,
  FIRST_EXCHANGES = 10,
  TIMEOUT_MS = 400,
  PENDING_MAX = 64, /* reports between two exchanges; further ones are
                       dropped */
  RESPONSE_MAX_BYTES = 64 * 1024,
  REPORT_MAX_BYTES = 96,  /* of one report or warning as text */
  NEWS_MS = 20,           /* collects what becomes known at the same moment */
  NEWS_INTERVAL_MS = 100, /* between two messages, if there are many news */
  RECEIVERS_MAX = 1024,   /* of news: all readers, and the entries of a
                             region */
  READERS_MAX = 128,      /* two in each of 64 regions */
  HTTP_OK = 200
};

const char reachability_path[] = "/reachability";
const char reachability_seen[] = "seen";
const char reachability_from[] = "from";
const char reachability_doubts[] = "doubts";
const char reachability_after[] = "after";
const char reachability_relayed[] = "relayed";

/* types */

struct reachability
{
  struct reachability_desc desc;
  apr_pool_t *pool;
  struct unreachable *list; /* of this entry as a reader */
  struct doubt_list *doubts;
  struct timer timer;
  struct timer news_timer;
  bool news_scheduled;
  apr_time_t news_sent_at; /* the latest ones */
  struct doubt_queue *news;
  size_t news_in_call;           /* of them, in the exchange in progress */
  size_t reader_number;          /* asked next */
  char reader[REPORT_MAX_BYTES]; /* address of the latest one asked */
  int64_t reader_after;          /* number of the latest news from there */
  uint64_t name_hash;
  bool call_in_progress;
  size_t exchanges;    /* since the start */
  apr_time_t asked_at; /* when it was sent */
  struct
  {
    char text[REPORT_MAX_BYTES]; /* "ID,INCARNATION,CERTAIN" */
  } pending[PENDING_MAX];
  size_t pending_count;
  struct counter *reports;
  struct counter *warnings;
  struct counter *doubts_heard;
  struct counter *lost_messages;
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

/* Applies NEWS to the upstream that it is about.  */
static void
apply_news (struct reachability *reachability, const struct doubt_news *news)
{
  struct fleet_upstream *upstream
      = fleet_find (reachability->desc.fleet, news->id);
  if (!upstream)
    return;
  /* News of a later process: the one that is known here has ended.  */
  if (upstream->incarnation > 0 && news->incarnation > upstream->incarnation)
    {
      fleet_doubt (reachability->desc.fleet, upstream, news->at);
      return;
    }
  if (upstream->incarnation != news->incarnation)
    return;
  if (news->cold_left == DOUBT_UNSETTLED
          ? fleet_doubt (reachability->desc.fleet, upstream, news->at)
          : fleet_settle (upstream, news->at, news->cold_left))
    counter_add (reachability->doubts_heard, 1);
}

static void on_news_due (void *user_data, apr_time_t now);

static void
schedule_news (struct reachability *reachability)
{
  if (reachability->news_scheduled
      || doubt_queue_is_empty (reachability->news))
    return;
  apr_time_t now = timer_clock ();
  apr_time_t at = reachability->news_sent_at + TIMER_MS (NEWS_INTERVAL_MS);
  if (at < now + TIMER_MS (NEWS_MS))
    at = now + TIMER_MS (NEWS_MS);
  reachability->news_scheduled = true;
  timer_start (loop_timers (reachability->desc.loop),
               &reachability->news_timer, at, on_news_due, reachability);
}

/* Returns whether this entry passes news on to others: it has no reader.  */
static bool
is_hub (const struct reachability *reachability)
{
  return reachability->desc
             .reader_address (reachability->desc.user_data,
                              reachability->reader_number)
             .size
         == 0;
}

/* Adds NEWS, of this entry or another one, and passes them on.  IS_RELAYED:
   they come from an entry that has sent them to all entries without a
   reader.  */
static void
add_news (struct reachability *reachability, const struct doubt_news *news,
          bool is_relayed, apr_time_t now)
{
  bool is_reachable_again
      = news->cold_left != DOUBT_UNSETTLED
        && unreachable_forget (reachability->list, news->id,
                               news->incarnation);
  if (!doubt_list_add (reachability->doubts, news, now) && !is_reachable_again)
    return;
  if (is_relayed && !is_hub (reachability))
    return;
  doubt_queue_add (reachability->news, news, is_relayed);
  schedule_news (reachability);
}

static void
on_exchanged (void *user_data, const struct http_response *response)
{
  struct reachability *reachability = user_data;
  reachability->call_in_progress = false;
  if (response->status != HTTP_OK)
    {
      /* What a reader refuses would be refused again.  */
      if (response->status > 0)
        doubt_queue_drop (reachability->news, reachability->news_in_call);
      reachability->reader_number = 1 - reachability->reader_number;
      schedule_news (reachability);
      return;
    }
  doubt_queue_drop (reachability->news, reachability->news_in_call);
  schedule_news (reachability);
  apr_time_t now = timer_clock ();
  struct str text = response->body;
  struct str warnings = str_next_field (&text, '|');
  while (warnings.size > 0)
    {
      struct str line = str_next_field (&warnings, ';');
      struct unreachable_warning warning
          = { .id = str_next_field (&line, ',') };
      warning.incarnation = str_to_number (str_next_field (&line, ','));
      warning.left = TIMER_MS (str_to_number (str_next_field (&line, ',')));
      apply_warning (reachability, &warning, now);
    }
  if (text.size == 0)
    return;
  struct doubt_news news;
  reachability->reader_after = str_to_number (str_next_field (&text, '|'));
  while (doubt_news_read (&text, &news, now))
    {
      /* On its way for up to the whole exchange.  A doubt that is taken for
         later than it is does no harm, what an upstream said does.  */
      if (news.cold_left != DOUBT_UNSETTLED)
        news.at -= now - reachability->asked_at;
      doubt_list_add (reachability->doubts, &news, now);
      apply_news (reachability, &news);
    }
}

/* Sends the pending reports, and the pending news if WITH_NEWS, to the reader
   at ADDRESS.  */
static void
send_reports (struct reachability *reachability, struct str address,
              bool with_news)
{
  apr_pool_t *pool;
  apr_pool_create (&pool, reachability->pool);
  char *seen = apr_pcalloc (pool, PENDING_MAX * REPORT_MAX_BYTES + 1);
  for (size_t i = 0; i < reachability->pending_count; i++)
    strcat (strcat (seen, i > 0 ? ";" : ""), reachability->pending[i].text);
  reachability->pending_count = 0;
  if (!str_equal (address, str_from (reachability->reader)))
    {
      snprintf (reachability->reader, sizeof reachability->reader, "%.*s",
                STR_ARGS (address));
      reachability->reader_after = 0;
    }
  const char *news = "";
  reachability->news_in_call = 0;
  if (with_news)
    news = doubt_queue_text (reachability->news, true, timer_clock (),
                             &reachability->news_in_call, pool);
  struct http_request request
      = { .url
          = str_format (pool, "http://%s%s?%s=%s&%s=%s&%s=%s&%s=%lld",
                        address.data, reachability_path, reachability_from,
                        reachability->desc.name.data, reachability_seen, seen,
                        reachability_doubts, news, reachability_after,
                        (long long)reachability->reader_after),
          .timeout_ms = TIMEOUT_MS,
          .max_response_bytes = RESPONSE_MAX_BYTES };
  reachability->call_in_progress = true;
  reachability->asked_at = timer_clock ();
  http_client_send (reachability->desc.client, &request, on_exchanged,
                    reachability);
  apr_pool_destroy (pool);
}

static void
on_news_sent (void *user_data, const struct http_response *response)
{
  struct reachability *reachability = user_data;
  counter_add (reachability->lost_messages, response->status != HTTP_OK);
}

/* Sends NEWS, text, to COUNT entries.  */
static void
send_news (struct reachability *reachability, const char *news,
           const struct str *receivers, size_t count, apr_pool_t *pool)
{
  for (size_t i = 0; news[0] && i < count; i++)
    {
      struct http_request request
          = { .url
              = str_format (pool, "http://%s%s?%s=%s&%s=%s&%s=1",
                            receivers[i].data, reachability_path,
                            reachability_from, reachability->desc.name.data,
                            reachability_doubts, news, reachability_relayed),
              .timeout_ms = TIMEOUT_MS,
              .max_response_bytes = RESPONSE_MAX_BYTES };
      http_client_send (reachability->desc.client, &request, on_news_sent,
                        reachability);
    }
}

/* As an entry without a reader, sends the pending news to all others without
   one, unless they have them, and to all entries of its region.  */
static void
pass_news_on (struct reachability *reachability)
{
  const struct reachability_desc *desc = &reachability->desc;
  apr_time_t now = timer_clock ();
  apr_pool_t *pool;
  size_t count;
  apr_pool_create (&pool, reachability->pool);
  struct str *receivers = apr_palloc (pool, RECEIVERS_MAX * sizeof *receivers);
  send_news (reachability,
             doubt_queue_text (reachability->news, true, now, &count, pool),
             receivers,
             desc->readers (desc->user_data, receivers, RECEIVERS_MAX), pool);
  send_news (reachability,
             doubt_queue_text (reachability->news, false, now, &count, pool),
             receivers,
             desc->region_entries (desc->user_data, receivers, RECEIVERS_MAX),
             pool);
  doubt_queue_drop (reachability->news, count);
  apr_pool_destroy (pool);
}

/* Returns the address of the reader to ask, or an empty string.  */
static struct str
reader_address (const struct reachability *reachability)
{
  return reachability->desc.reader_address (reachability->desc.user_data,
                                            reachability->reader_number);
}

static void
on_news_due (void *user_data, apr_time_t now)
{
  struct reachability *reachability = user_data;
  reachability->news_scheduled = false;
  reachability->news_sent_at = now;
  struct str address = reader_address (reachability);
  if (address.size == 0)
    {
      pass_news_on (reachability);
      schedule_news (reachability);
    }
  else if (!reachability->call_in_progress)
    send_reports (reachability, address, true);
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

/* As an entry without a reader, asks another such entry, each in turn, whose
   news may have been sent while this one did not run.  */
static void
ask_other_reader (struct reachability *reachability)
{
  struct str readers[READERS_MAX];
  size_t count = reachability->desc.readers (reachability->desc.user_data,
                                             readers, READERS_MAX);
  if (!reachability->call_in_progress && count > 0)
    send_reports (reachability, readers[reachability->exchanges % count],
                  false);
}

static void
on_exchange_due (void *user_data, apr_time_t now)
{
  struct reachability *reachability = user_data;
  bool is_first = reachability->exchanges < FIRST_EXCHANGES;
  if (is_first)
    reachability->reader_number = 1 - reachability->reader_number;
  struct str address = reader_address (reachability);
  if (address.size == 0)
    {
      apply_own_list (reachability, now);
      ask_other_reader (reachability);
    }
  else if (!reachability->call_in_progress)
    send_reports (reachability, address, true);
  reachability->exchanges++;
  timer_start (loop_timers (reachability->desc.loop), &reachability->timer,
               now + TIMER_MS (is_first ? FIRST_EXCHANGE_MS : EXCHANGE_MS),
               on_exchange_due, reachability);
}

/* public functions */

struct reachability *
reachability_create (apr_pool_t *pool, const struct reachability_desc *desc)
{
  struct reachability *reachability = apr_pcalloc (pool, sizeof *reachability);
  reachability->desc = *desc;
  reachability->pool = pool;
  reachability->list = unreachable_create (pool);
  reachability->doubts = doubt_list_create (pool);
  reachability->news = doubt_queue_create (pool);
  reachability->name_hash = XXH64 (desc->name.data, desc->name.size, 0);
  reachability->reports
      = counter_get (desc->counters, "citroncleat_unreachable_reports_total",
                     "", "Upstreams that this entry could not reach.");
  reachability->warnings = counter_get (
      desc->counters, "citroncleat_unreachable_warnings_total", "",
      "Upstreams avoided since other entries could not reach them.");
  reachability->doubts_heard = counter_get (
      desc->counters, "citroncleat_upstream_doubts_heard_total", "",
      "Doubts about upstreams that other entries began or settled.");
  reachability->lost_messages = counter_get (
      desc->counters, "citroncleat_doubt_messages_lost_total", "",
      "Messages on such doubts that another entry did not get.");
  timer_start (loop_timers (desc->loop), &reachability->timer,
               timer_clock () + TIMER_MS (FIRST_EXCHANGE_MS), on_exchange_due,
               reachability);
  return reachability;
}

void
reachability_destroy (struct reachability *reachability)
{
  if (!reachability)
    return;
  timer_stop (loop_timers (reachability->desc.loop), &reachability->timer);
  timer_stop (loop_timers (reachability->desc.loop),
              &reachability->news_timer);
}

void
reachability_report (struct reachability *reachability,
                     const struct fleet_upstream *upstream, bool is_certain)
{
  struct unreachable_report report = { upstream->id, upstream->incarnation,
                                       reachability->name_hash, is_certain };
  counter_add (reachability->reports, 1);
  unreachable_report (reachability->list, &report, timer_clock ());
  if (reachability->pending_count == PENDING_MAX
      || !str_is_url_safe (upstream->id))
    return;
  int size
      = snprintf (reachability->pending[reachability->pending_count].text,
                  REPORT_MAX_BYTES, "%.*s,%lld,%d", STR_ARGS (upstream->id),
                  (long long)upstream->incarnation, is_certain);
  if (size < REPORT_MAX_BYTES)
    reachability->pending_count++;
}

void
reachability_report_doubt (struct reachability *reachability,
                           const struct fleet_upstream *upstream,
                           apr_time_t at)
{
  struct doubt_news news
      = { upstream->id, upstream->incarnation, at, DOUBT_UNSETTLED };
  add_news (reachability, &news, false, timer_clock ());
}

void
reachability_report_settled (struct reachability *reachability,
                             const struct fleet_upstream *upstream,
                             apr_time_t as_of, apr_time_t cold_left)
{
  struct doubt_news news
      = { upstream->id, upstream->incarnation, as_of, cold_left };
  add_news (reachability, &news, false, timer_clock ());
}

void
reachability_recall (struct reachability *reachability,
                     const struct fleet_upstream *upstream)
{
  struct doubt_news news;
  if (doubt_list_find (reachability->doubts, upstream->id,
                       upstream->incarnation, timer_clock (), &news))
    apply_news (reachability, &news);
}

/* Returns the news after the number AFTER as text in POOL, which begins with
   the number of the last one.  */
static struct str
news_after (const struct reachability *reachability, int64_t after,
            apr_time_t now, apr_pool_t *pool)
{
  struct doubt_news *news = apr_palloc (pool, DOUBT_NEWS_MAX * sizeof *news);
  size_t count = doubt_list_query (reachability->doubts, &after, now, news,
                                   DOUBT_NEWS_MAX);
  char *text = apr_palloc (pool, (count + 1) * DOUBT_NEWS_BYTES);
  size_t size
      = (size_t)snprintf (text, DOUBT_NEWS_BYTES, "%lld|", (long long)after);
  for (size_t i = 0; i < count; i++)
    size += doubt_news_write (text + size, &news[i], now);
  return str_view (text, size);
}

struct str
reachability_handle (struct reachability *reachability,
                     const struct reachability_message *message,
                     apr_pool_t *pool)
{
  apr_time_t now = timer_clock ();
  struct str seen = message->seen;
  struct str doubts = message->doubts;
  struct unreachable_report report
      = { .reporter = XXH64 (message->from.data, message->from.size, 0) };
  while (seen.size > 0)
    {
      struct str line = str_next_field (&seen, ';');
      report.id = str_next_field (&line, ',');
      report.incarnation = str_to_number (str_next_field (&line, ','));
      report.is_certain = str_to_number (str_next_field (&line, ',')) != 0;
      unreachable_report (reachability->list, &report, now);
    }
  struct doubt_news news;
  while (doubt_news_read (&doubts, &news, now))
    {
      add_news (reachability, &news, message->relayed.size > 0, now);
      apply_news (reachability, &news);
    }
  if (message->relayed.size > 0)
    return STR ("");
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
  struct str rest
      = news_after (reachability, str_to_number (message->after), now, pool);
  return str_printf (pool, "%.*s|%.*s", (int)size, text, STR_ARGS (rest));
}
