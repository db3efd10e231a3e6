/* Queries to the readers: entries of the same zone that read the store and
   serve their copy of it.  */
#include "gateway/store_sync_internal.h"

#include "platform/words.h"

/* constants */

enum
{
  /* For so long the readers are not asked after both failed.  Two thirds of
     the lease after which a dead reader's key is removed.  */
  BYPASS_READERS_MS = 2000
};

/* As fractions of the time between two reads of the store, which is 0.45 of
   the shorter bound.  With them a change is in force within 0.79 of the bound
   even when both readers die right after a response.  */
static const double reader_poll_fraction = 0.25;    /* between two queries */
static const double reader_timeout_fraction = 0.25; /* for its response */
static const double reader_max_age_fraction = 1.25; /* of its copy */

/* private functions */

/* Returns FRACTION of the time between two reads of the store.  */
static apr_time_t
fraction_of_poll (const struct store_sync *store_sync, double fraction)
{
  double poll = (double)TIMER_MS (store_sync->desc.settings->store.poll_ms);
  return (apr_time_t)(poll * fraction);
}

static void
on_urgent_changes (void *user_data, const struct store_items_response *changes)
{
  struct store_sync *store_sync = user_data;
  if (changes->code != ERR_NONE)
    return; /* the read of all changes handles the failure */
  struct store_items_response urgent = *changes;
  urgent.index = 0; /* other changes are not known up to its index */
  store_sync_apply_changes (store_sync, &urgent, false, timer_clock ());
}

/* Stops using the readers for a while and reads the store at once.  The
   operators' keys are also read separately, since all the changes that
   upstreams write may take seconds on a slow link.  */
static void
bypass_readers (struct store_sync *store_sync)
{
  struct store *store = store_sync->desc.store;
  store_sync->bypass_readers_until
      = timer_clock () + TIMER_MS (BYPASS_READERS_MS);
  store_sync->readers_bypassed = true;
  store->ops->watch_prefix (store, PLATFORM_OPERATOR_PREFIX, store_sync->index,
                            0, on_urgent_changes, store_sync);
  store_sync_read (store_sync);
}

static bool query_reader (struct store_sync *store_sync, size_t number,
                          apr_time_t now);

/* Handles a query to the reader NUMBER that failed: asks the other reader, or
   bypasses both.  */
static void
try_next_reader (struct store_sync *store_sync, size_t number,
                 const char *reason, apr_time_t age)
{
  size_t other = (number + 1) % REGISTRY_READERS;
  LOG (LOG_INFO, "reader-left", LOG_INT ("number", number),
       LOG_TEXT ("reason", reason), LOG_INT ("age_ms", age / 1000),
       LOG_INT ("index", store_sync->index));
  if (number != store_sync->preferred_reader
      || !query_reader (store_sync, other, timer_clock ()))
    bypass_readers (store_sync);
}

static void
on_reader_timeout (void *user_data, apr_time_t now)
{
  struct reader_query *query = user_data;
  query->timed_out = true;
  try_next_reader (query->store_sync, query->number, "no answer in time",
                   now - query->asked_at);
}

static void
on_reader_changes (void *user_data, const struct store_items_response *changes)
{
  struct reader_query *query = user_data;
  struct store_sync *store_sync = query->store_sync;
  apr_time_t now = timer_clock ();
  bool had_timed_out = query->timed_out;
  apr_time_t age = changes->age + (now - query->asked_at);
  bool is_usable
      = changes->code == ERR_NONE
        && age <= fraction_of_poll (store_sync, reader_max_age_fraction);
  query->in_progress = false;
  query->timed_out = false;
  if (!had_timed_out)
    timer_stop (loop_timers (store_sync->desc.loop),
                &store_sync->reader_timer);
  if (!is_usable)
    {
      if (!had_timed_out)
        try_next_reader (store_sync, query->number,
                         changes->code != ERR_NONE ? err_name (changes->code)
                                                   : "its copy is old",
                         age);
      return;
    }
  if (now - age > store_sync->current_as_of)
    store_sync->current_as_of = now - age;
  store_sync_apply_changes (store_sync, changes, false, now);
  if (had_timed_out)
    return;
  if (store_sync->readers_bypassed)
    LOG (LOG_INFO, "reader-regained", LOG_INT ("number", query->number),
         LOG_INT ("age_ms", age / 1000));
  store_sync->readers_bypassed = false;
  store_sync->preferred_reader = query->number;
  store_sync_schedule_read (
      store_sync, (int64_t)(fraction_of_poll (store_sync, reader_poll_fraction)
                            / (APR_USEC_PER_SEC / 1000)));
}

/* Asks the reader NUMBER for changes; returns false if there is none.  */
static bool
query_reader (struct store_sync *store_sync, size_t number, apr_time_t now)
{
  struct reader_query *query = &store_sync->reader_queries[number];
  struct store *reader = query->in_progress
                             ? NULL
                             : store_sync->desc.reader_store (
                                 store_sync->desc.user_data, number);
  if (!reader)
    return false;
  *query = (struct reader_query){ .store_sync = store_sync,
                                  .number = number,
                                  .asked_at = now,
                                  .in_progress = true };
  timer_start (loop_timers (store_sync->desc.loop), &store_sync->reader_timer,
               now + fraction_of_poll (store_sync, reader_timeout_fraction),
               on_reader_timeout, query);
  reader->ops->watch_prefix (reader, "", store_sync->index, 0,
                             on_reader_changes, query);
  return true;
}

/* public functions */

bool
store_sync_query_readers (struct store_sync *store_sync, apr_time_t now)
{
  return store_sync->index > 0 && store_sync->outage.failures == 0
         && now >= store_sync->bypass_readers_until
         && query_reader (store_sync, store_sync->preferred_reader, now);
}
