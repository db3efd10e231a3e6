/* The sources of what is known of the store, and the order in which they are
   asked.  A round asks one source after the other until one responds; each
   source that fails is held back for a while.  */
#include "gateway/store_sync_internal.h"

#include "fleet/fleet.h"
#include "fleet/position.h"
#include "platform/words.h"

/* constants */

enum
{
  /* For so long a reader that failed is not asked.  Two thirds of the lease
     after which a dead reader's key is removed.  */
  READER_HOLD_MS = 2000,
  RETRY_MS = 250, /* after a round in which every source failed */
  /* An entry with readers doubles the time for which it does not ask the store
     after each failure, up to this many reads, so that hundreds of them don't
     ask one that is down.  */
  MAX_HOLD_POLLS = 4,
  /* Full responses in a row, beside those that a listing would take, after
     which all is listed.  */
  MIN_FULL_RESPONSES = 3,
  PAGE_KEYS = 400, /* of one page of a listing */
  /* Other entries that are asked for the first listing in one round.  */
  FIRST_PEERS = 3
};

/* As fractions of the time between two reads of the store, which is 0.45 of
   the shorter bound.  With them a change is in force within 0.79 of the bound
   even when both readers die right after a response.  */
static const double copy_poll_fraction = 0.25; /* between two queries to a
                                                  reader or another entry */
static const double copy_wait_fraction = 0.25; /* for its response */
static const double max_copy_age_fraction = 1.25;
/* For the response of the store, before other entries are asked.  The call
   goes on, since all changes may take seconds on a slow link.  */
static const double store_wait_fraction = 0.5;
/* Until a reader asks the store again after a failure.  */
static const double store_retry_fraction = 0.25;

/* private functions */

/* Returns FRACTION of the time between two reads of the store.  */
static apr_time_t
fraction_of_poll (const struct store_sync *store_sync, double fraction)
{
  double poll = (double)TIMER_MS (store_sync->desc.settings->store.poll_ms);
  return (apr_time_t)(poll * fraction);
}

/* Returns the source at POSITION of a round.  */
static int
source_at (const struct store_sync *store_sync, int position)
{
  return position < REGISTRY_READERS
             ? (store_sync->preferred_reader + position) % REGISTRY_READERS
             : position;
}

/* Returns the interface to SOURCE, or NULL if there is none at present.  */
static struct store *
source_store (const struct store_sync *store_sync, int source)
{
  const struct store_sync_desc *desc = &store_sync->desc;
  if (source == SOURCE_STORE)
    return desc->store;
  if (source == SOURCE_PEER)
    return desc->next_peer_store (desc->user_data);
  /* Readers have the changes since a listing, not the listing.  */
  return store_sync->index > 0
             ? desc->reader_store (desc->user_data, (size_t)source)
             : NULL;
}

static void ask_next (struct store_sync *store_sync, apr_time_t now);

static void
on_round_due (void *user_data, apr_time_t now)
{
  store_sync_begin_round (user_data, now);
}

static void
schedule_round (struct store_sync *store_sync, apr_time_t wait)
{
  struct timer_service *timers = loop_timers (store_sync->desc.loop);
  store_sync->is_round_over = true;
  timer_stop (timers, &store_sync->wait_timer);
  timer_start (timers, &store_sync->round_timer, timer_clock () + wait,
               on_round_due, store_sync);
}

/* Returns for how long the store is not asked after a failure.  */
static apr_time_t
store_hold (const struct store_sync *store_sync)
{
  const struct store_sync_desc *desc = &store_sync->desc;
  int64_t polls = 1;
  if (store_sync->index == 0)
    return TIMER_MS (RETRY_MS);
  if (!desc->reader_store (desc->user_data, 0))
    return fraction_of_poll (store_sync, store_retry_fraction);
  while (polls < store_sync->outage.failures && polls < MAX_HOLD_POLLS)
    polls *= 2;
  return fraction_of_poll (store_sync, (double)polls);
}

/* Logs why the source of QUERY is not relied on now.  Peers are another one
   each time, and failures of the store are logged when they begin.  */
static void
log_source_left (const struct sync_query *query, const char *reason,
                 apr_time_t age)
{
  int64_t index = query->store_sync->index;
  if (query->source < REGISTRY_READERS)
    LOG (LOG_INFO, "reader-left", LOG_INT ("number", query->source),
         LOG_TEXT ("reason", reason), LOG_INT ("age_ms", age / 1000),
         LOG_INT ("index", index));
  else if (query->source == SOURCE_STORE && query->timed_out)
    LOG (LOG_INFO, "store-slow", LOG_INT ("waited_ms", age / 1000),
         LOG_INT ("index", index));
}

/* Does not ask the source of QUERY for a while, and goes on with the next one
   if it was waited for.  */
static void
hold_source (struct sync_query *query, bool was_waited_for, apr_time_t now)
{
  struct store_sync *store_sync = query->store_sync;
  if (query->source != SOURCE_PEER)
    query->held_until
        = now
          + (query->source == SOURCE_STORE ? store_hold (store_sync)
                                           : TIMER_MS (READER_HOLD_MS));
  if (!was_waited_for)
    return;
  bool has_refused = query->source == SOURCE_PEER && !query->in_progress;
  if (!has_refused || store_sync->index > 0
      || ++store_sync->first_peers == FIRST_PEERS)
    store_sync->round_position++;
  ask_next (store_sync, now);
}

static void
on_wait_over (void *user_data, apr_time_t now)
{
  struct sync_query *query = user_data;
  query->timed_out = true;
  log_source_left (query, "no answer in time", now - query->asked_at);
  hold_source (query, true, now);
}

/* Begins to wait for a response to QUERY.  */
static void
start_wait (struct sync_query *query, apr_time_t now)
{
  struct store_sync *store_sync = query->store_sync;
  timer_start (
      loop_timers (store_sync->desc.loop), &store_sync->wait_timer,
      now
          + fraction_of_poll (store_sync, query->source == SOURCE_STORE
                                              ? store_wait_fraction
                                              : copy_wait_fraction),
      on_wait_over, query);
}

static void on_response (void *user_data,
                         const struct store_items_response *response);

/* Asks the source of QUERY for a listing, or for the changes since what is
   known.  */
static void
send_query (struct sync_query *query, bool is_listing, apr_time_t now)
{
  struct store_sync *store_sync = query->store_sync;
  query->asked_at = now;
  query->in_progress = true;
  query->timed_out = false;
  query->is_listing = is_listing;
  query->epoch = store_sync->epoch;
  if (!is_listing)
    query->store->ops->watch_prefix (query->store, "", store_sync->index, 0,
                                     on_response, query);
  else
    /* The first listing may be stale, since changes are read after it.  A
       later one replaces what is known, so it may not be older than that.  */
    query->store->ops->list (query->store, "",
                             store_sync->index == 0
                                 && !store_sync->needs_fresh_listing,
                             on_response, query);
}

/* Returns whether a listing takes fewer calls than the changes that are left,
   after the latest response in a row that was full.  */
static bool
is_far_behind (struct sync_query *query)
{
  struct store_sync *store_sync = query->store_sync;
  query->full_count++;
  size_t keys = fleet_upstream_count (store_sync->desc.fleet)
                + registry_count (store_sync->desc.registry);
  return (size_t)query->full_count > MIN_FULL_RESPONSES + keys / PAGE_KEYS;
}

static void
on_urgent_changes (void *user_data, const struct store_items_response *changes)
{
  struct store_sync *store_sync = user_data;
  /* The read of all changes handles a failure and another epoch.  */
  if (changes->code != ERR_NONE
      || (changes->epoch > 0 && changes->epoch != store_sync->epoch))
    return;
  struct store_items_response urgent = *changes;
  urgent.index = 0; /* other changes are not known up to its index */
  store_sync_apply_changes (store_sync, &urgent, false, timer_clock ());
}

/* Asks SOURCE; returns false if it can't be asked now.  */
static bool
ask (struct store_sync *store_sync, int source, apr_time_t now)
{
  struct sync_query *query = &store_sync->queries[source];
  if (query->in_progress || now < query->held_until)
    return false;
  query->store = source_store (store_sync, source);
  if (!query->store)
    return false;
  /* After its readers failed, an entry reads the operators' keys separately,
     since all the changes that upstreams write may take seconds on a slow
     link.  */
  if (source == SOURCE_STORE && store_sync->index > 0
      && store_sync->queries[SOURCE_READER].held_until > now)
    query->store->ops->watch_prefix (query->store, PLATFORM_OPERATOR_PREFIX,
                                     store_sync->index, 0, on_urgent_changes,
                                     store_sync);
  bool is_first = store_sync->index == 0;
  /* Nothing can be served before the first listing, so it is waited for.  */
  if (!is_first || source != SOURCE_STORE)
    start_wait (query, now);
  send_query (query, is_first, now);
  return true;
}

/* Asks the next source of the round that can be asked.  */
static void
ask_next (struct store_sync *store_sync, apr_time_t now)
{
  for (; store_sync->round_position < SOURCE_COUNT;
       store_sync->round_position++)
    if (ask (store_sync, source_at (store_sync, store_sync->round_position),
             now))
      return;
  schedule_round (store_sync, TIMER_MS (RETRY_MS));
  if (store_sync->paused_until > 0)
    store_sync_end_catch_up (store_sync);
}

/* Records that the store did not respond to a read.  */
static void
record_store_failure (struct store_sync *store_sync, enum err_code code,
                      apr_time_t now)
{
  outage_record_failure (&store_sync->outage, now);
  if (store_sync->outage.failures == 1)
    LOG (LOG_WARN, "store-lost", LOG_TEXT ("error", err_name (code)),
         LOG_INT ("index", store_sync->index));
}

static void
record_store_response (struct store_sync *store_sync, apr_time_t now)
{
  if (store_sync->outage.failures > 0)
    LOG (LOG_INFO, "store-regained",
         LOG_INT ("failures", store_sync->outage.failures),
         LOG_INT ("away_ms", (now - store_sync->outage.answered_at) / 1000));
  outage_record_response (&store_sync->outage, now);
}

/* Handles that the source of QUERY doesn't have the changes since what is
   known, or has another epoch: asks it for a listing.  */
static void
handle_history_gone (struct sync_query *query, bool was_waited_for,
                     apr_time_t now)
{
  struct store_sync *store_sync = query->store_sync;
  LOG (LOG_WARN, "store-history-gone", LOG_INT ("source", query->source),
       LOG_INT ("index", store_sync->index));
  if (query->source == SOURCE_STORE)
    store_sync->needs_fresh_listing = true;
  send_query (query, true, now);
  query->timed_out = !was_waited_for;
  if (was_waited_for)
    start_wait (query, now);
}

/* Logs and counts that RESPONSE is older than what is known.  */
static void
log_outdated (const struct sync_query *query,
              const struct store_items_response *response)
{
  counter_add (query->store_sync->outdated_answers, 1);
  LOG (LOG_INFO, "store-answer-outdated", LOG_INT ("source", query->source),
       LOG_INT ("listing", query->is_listing),
       LOG_INT ("epoch", response->epoch), LOG_INT ("index", response->index),
       LOG_INT ("known_epoch", query->store_sync->epoch),
       LOG_INT ("known_index", query->store_sync->index));
}

/* Returns the position up to which the store is known.  */
static struct position
known_position (const struct store_sync *store_sync)
{
  return (struct position){ store_sync->epoch, store_sync->index };
}

/* Returns whether RESPONSE, if it is a copy's, is recent enough to be relied
   on.  */
static bool
is_recent_copy (const struct sync_query *query,
                const struct store_items_response *response, apr_time_t now)
{
  return now - query->asked_at + response->age
         <= store_sync_max_copy_age (query->store_sync);
}

/* Applies RESPONSE, which has content.  Returns whether this makes what is
   known current.  */
static bool
apply_response (struct sync_query *query,
                const struct store_items_response *response, apr_time_t now)
{
  struct store_sync *store_sync = query->store_sync;
  struct position known = known_position (store_sync);
  struct position position = { response->epoch, response->index };
  bool is_store = query->source == SOURCE_STORE;
  bool may_be_expired
      = is_store && outage_is_recent (&store_sync->outage, now);
  bool is_first_listing = query->is_listing && store_sync->index == 0;
  bool is_stale
      = is_store && is_first_listing && !store_sync->needs_fresh_listing;
  if (is_store)
    record_store_response (store_sync, now);
  if (!query->is_listing)
    store_sync_apply_changes (store_sync, response, may_be_expired, now);
  else if (position_accepts_listing (&known, &position))
    store_sync_apply_listing (store_sync, response,
                              is_store ? "store" : "entry", may_be_expired,
                              now);
  else
    log_outdated (query, response);
  if (is_stale || response->is_full || response->index < store_sync->index)
    return false;
  /* An upstream may have started again since the copy was read, and no
     connection of this process was lost by which to know.  */
  if (!is_store && is_first_listing && !is_recent_copy (query, response, now))
    fleet_doubt_all (store_sync->desc.fleet, now);
  /* The clock begins with the machine, which may be younger than the copy.  */
  apr_time_t as_of = query->asked_at - response->age;
  if (as_of < 1)
    as_of = 1;
  if (as_of > store_sync->current_as_of)
    store_sync->current_as_of = as_of;
  return true;
}

/* Counts a usable response to QUERY, which ends a catch-up if it makes what is
   known current.  */
static void
count_answer (const struct sync_query *query, bool is_current)
{
  struct store_sync *store_sync = query->store_sync;
  counter_add (store_sync->answers[query->source], 1);
  if (store_sync->paused_until > 0 && is_current
      && query->asked_at >= store_sync->paused_until)
    store_sync_end_catch_up (store_sync);
}

/* Returns the time from a usable response to QUERY to the next round: none if
   what is known is not current yet.  */
static apr_time_t
round_interval (const struct sync_query *query, bool is_stale)
{
  const struct store_sync *store_sync = query->store_sync;
  if (is_stale || query->asked_at < store_sync->paused_until)
    return 0;
  return fraction_of_poll (
      store_sync, query->source == SOURCE_STORE ? 1.0 : copy_poll_fraction);
}

static void
on_response (void *user_data, const struct store_items_response *response)
{
  struct sync_query *query = user_data;
  struct store_sync *store_sync = query->store_sync;
  apr_time_t now = timer_clock ();
  bool is_store = query->source == SOURCE_STORE;
  bool was_waited_for = !query->timed_out;
  query->in_progress = false;
  query->timed_out = false;
  if (was_waited_for)
    timer_stop (loop_timers (store_sync->desc.loop), &store_sync->wait_timer);
  bool has_epoch
      = response->code == ERR_NONE || response->code == ERR_NOT_FOUND;
  struct position known = known_position (store_sync);
  if (has_epoch
      && position_is_outdated (&known, query->epoch, query->is_listing,
                               response->epoch))
    {
      query->full_count = 0;
      log_outdated (query, response);
      hold_source (query, was_waited_for, now);
      return;
    }
  if (has_epoch
      && position_needs_listing (&known, query->is_listing, response->epoch))
    {
      query->full_count = 0;
      handle_history_gone (query, was_waited_for, now);
      return;
    }
  if (response->code == ERR_NONE && response->is_full)
    {
      /* The store changes by more than one response holds between two reads:
         only the response that is not full shows that nothing is missing.  */
      apply_response (query, response, now);
      bool is_listing = is_far_behind (query);
      if (is_listing)
        query->full_count = 0;
      send_query (query, is_listing, now);
      query->timed_out = !was_waited_for;
      if (was_waited_for)
        start_wait (query, now);
      return;
    }
  query->full_count = 0;
  if (response->code == ERR_NOT_FOUND && !query->is_listing)
    {
      handle_history_gone (query, was_waited_for, now);
      return;
    }
  if (response->code != ERR_NONE)
    {
      if (is_store)
        record_store_failure (store_sync, response->code, now);
      else if (was_waited_for)
        log_source_left (query, err_name (response->code),
                         now - query->asked_at);
      hold_source (query, was_waited_for, now);
      return;
    }
  bool is_fresh = is_recent_copy (query, response, now);
  bool is_first_listing = query->is_listing && store_sync->index == 0;
  /* Also what is old may be news here.  */
  bool is_current = apply_response (query, response, now);
  if (!is_store && !is_fresh)
    {
      if (was_waited_for)
        log_source_left (query, "its copy is old",
                         now - query->asked_at + response->age);
      hold_source (query, was_waited_for, now);
      return;
    }
  count_answer (query, is_current);
  if (!was_waited_for)
    return;
  if (query->source < REGISTRY_READERS)
    store_sync->preferred_reader = query->source;
  schedule_round (store_sync,
                  round_interval (query, is_first_listing && !is_current));
}

/* functions internal to the module */

void
store_sync_begin_round (struct store_sync *store_sync, apr_time_t now)
{
  store_sync->round_position = 0;
  store_sync->first_peers = 0;
  store_sync->is_round_over = false;
  ask_next (store_sync, now);
}

void
store_sync_hurry_round (struct store_sync *store_sync, apr_time_t now)
{
  if (!store_sync->is_round_over)
    return;
  timer_stop (loop_timers (store_sync->desc.loop), &store_sync->round_timer);
  store_sync_begin_round (store_sync, now);
}

void
store_sync_end_catch_up (struct store_sync *store_sync)
{
  store_sync->paused_until = 0;
  store_sync->desc.on_caught_up (store_sync->desc.user_data);
}

apr_time_t
store_sync_max_copy_age (const struct store_sync *store_sync)
{
  return fraction_of_poll (store_sync, max_copy_age_fraction);
}
