/* Reads of the store, and the application of what was read.  */
#include "gateway/store_sync_internal.h"

#include "platform/decode.h"
#include "platform/mirror.h"

/* constants */

enum
{
  RETRY_MS = 250,        /* a failed read is repeated well within the bounds */
  EXPIRY_CHECK_MS = 250, /* an eighth of the shortest grace period */
  /* Failed reads in a row after which another entry is asked.  Not more, since
     one may have taken two seconds.  */
  FAILURES_BEFORE_PEER = 1,
  PROBLEMS_LOGGED_MAX = 20 /* of one configuration */
};

/* private functions */

static void on_read_due (void *user_data, apr_time_t now);

void
store_sync_schedule_read (struct store_sync *store_sync, int64_t wait_ms)
{
  timer_start (loop_timers (store_sync->desc.loop), &store_sync->read_timer,
               timer_clock () + TIMER_MS (wait_ms), on_read_due, store_sync);
}

/* Logs and counts what can't be used in PLAN, which was just adopted.  */
static void
report_problems (struct store_sync *store_sync, const struct plan *plan)
{
  size_t count = plan_problem_count (plan);
  counter_set (store_sync->problem_gauge, (int64_t)count);
  for (size_t i = 0; i < count && i < PROBLEMS_LOGGED_MAX; i++)
    {
      const struct plan_problem *problem = plan_problem (plan, i);
      LOG (LOG_ERROR, "configuration-problem",
           LOG_INT ("version", plan_version (plan)),
           LOG_TEXT ("object", problem->object.data),
           LOG_TEXT ("detail", problem->detail),
           LOG_TEXT ("effect", problem->effect));
    }
  if (count > PROBLEMS_LOGGED_MAX)
    LOG (LOG_ERROR, "configuration-problems",
         LOG_INT ("version", plan_version (plan)), LOG_INT ("count", count));
}

/* Adopts the configuration TEXT if it is valid and newer than the plan in
   force.  */
static void
apply_plan (struct store_sync *store_sync, struct str text)
{
  struct plan *plan;
  struct err err = { 0 };
  if (decode_plan (text, &plan, &err) != ERR_NONE)
    {
      counter_add (store_sync->unreadable_items, 1);
      LOG_ERR (LOG_ERROR, "configuration-refused", &err);
      return;
    }
  if (store_sync->plan
      && plan_version (plan) <= plan_version (store_sync->plan))
    {
      plan_unref (plan);
      return;
    }
  plan_unref (store_sync->plan);
  store_sync->plan = plan;
  counter_set (store_sync->version_gauge, plan_version (plan));
  LOG (LOG_INFO, "configuration-adopted",
       LOG_INT ("version", plan_version (plan)),
       LOG_INT ("routes", plan_route_count (plan)));
  report_problems (store_sync, plan);
}

static void
apply_upstream (struct store_sync *store_sync, struct str id,
                const struct store_item *item, bool may_be_expired,
                apr_time_t now)
{
  struct fleet_record record;
  struct err err = { 0 };
  apr_pool_t *pool;
  if (item->is_removed)
    {
      fleet_remove_upstream (store_sync->desc.fleet, id, may_be_expired, now);
      return;
    }
  apr_pool_create (&pool, NULL);
  if (decode_upstream (id, item->value, pool, &record, &err) != ERR_NONE
      || !fleet_put_upstream (store_sync->desc.fleet, &record, item->index,
                              now))
    {
      /* The record is unusable, so an upstream that was known under the id no
         longer exists.  */
      counter_add (store_sync->unreadable_items, 1);
      LOG (LOG_WARN, "upstream-unreadable", LOG_TEXT ("id", record.id.data),
           LOG_TEXT ("detail", err.code ? err.detail : "unknown zone"));
      fleet_remove_upstream (store_sync->desc.fleet, id, false, now);
    }
  apr_pool_destroy (pool);
}

static apr_time_t
max_cold_time (const struct store_sync *store_sync)
{
  return store_sync->plan ? plan_max_cold_time (store_sync->plan) : 0;
}

static void
apply_evacuation (struct store_sync *store_sync, struct str zone,
                  const struct store_item *item, apr_time_t now)
{
  LOG (LOG_INFO, item->is_removed ? "zone-evacuation-ended" : "zone-evacuated",
       LOG_TEXT ("zone", zone.data));
  fleet_set_zone_evacuated (store_sync->desc.fleet, zone, !item->is_removed,
                            item->index, max_cold_time (store_sync), now);
}

static void
apply_item (struct store_sync *store_sync, const struct store_item *item,
            bool may_be_expired, apr_time_t now)
{
  struct str rest;
  switch (decode_key (item->key, &rest))
    {
    case KEY_CONFIG:
      if (!item->is_removed)
        apply_plan (store_sync, item->value);
      return;
    case KEY_EVACUATION:
      apply_evacuation (store_sync, rest, item, now);
      return;
    case KEY_UPSTREAM:
      apply_upstream (store_sync, rest, item, may_be_expired, now);
      return;
    case KEY_OTHER:
      break;
    }
  struct str prefix = registry_key_prefix ();
  if (!str_starts_with (item->key, prefix))
    return;
  struct str name
      = str_view (item->key.data + prefix.size, item->key.size - prefix.size);
  if (item->is_removed)
    registry_remove (store_sync->desc.registry, name, may_be_expired, now);
  else
    registry_put (store_sync->desc.registry, name, item->value);
}

static void list_from_peer (struct store_sync *store_sync);

/* Records a failed call to the store, and asks another entry or repeats it. */
static void
handle_failed_read (struct store_sync *store_sync, const char *step,
                    enum err_code code)
{
  outage_record_failure (&store_sync->outage, timer_clock ());
  if (store_sync->outage.failures == 1)
    LOG (LOG_WARN, "store-lost", LOG_TEXT ("step", step),
         LOG_TEXT ("error", err_name (code)),
         LOG_INT ("index", store_sync->index));
  if (store_sync->outage.failures >= FAILURES_BEFORE_PEER)
    list_from_peer (store_sync);
  store_sync_schedule_read (store_sync, RETRY_MS);
}

/* Records that the store responded to a read, and with that the time at which
   what is known was the store's content.  */
static void
handle_read_success (struct store_sync *store_sync, apr_time_t now)
{
  store_sync->current_as_of = store_sync->read_started_at;
  if (store_sync->outage.failures > 0)
    LOG (LOG_INFO, "store-regained",
         LOG_INT ("failures", store_sync->outage.failures),
         LOG_INT ("away_ms", (now - store_sync->outage.answered_at) / 1000));
  outage_record_response (&store_sync->outage, now);
}

/* Search for an evacuated zone that a complete listing does not contain.  */
struct unlisted_zone_search
{
  const struct store_items_response *listing;
  struct str zone; /* one that was found, or empty */
};

static void
find_unlisted_zone (void *user_data, struct str zone)
{
  struct unlisted_zone_search *search = user_data;
  struct str rest;
  for (size_t i = 0; i < search->listing->count; i++)
    if (decode_key (search->listing->items[i].key, &rest) == KEY_EVACUATION
        && str_equal (rest, zone))
      return;
  search->zone = zone;
}

/* Ends the evacuations that a complete listing does not contain.  */
static void
end_unlisted_evacuations (struct store_sync *store_sync,
                          const struct store_items_response *listing,
                          apr_time_t now)
{
  struct unlisted_zone_search search;
  do
    {
      search = (struct unlisted_zone_search){ listing, { NULL, 0 } };
      fleet_for_each_evacuated_zone (store_sync->desc.fleet,
                                     find_unlisted_zone, &search);
      if (search.zone.size > 0)
        fleet_set_zone_evacuated (store_sync->desc.fleet, search.zone, false,
                                  listing->index, max_cold_time (store_sync),
                                  now);
    }
  while (search.zone.size > 0);
}

/* Replaces the known state by a complete LISTING.  */
static void
apply_listing (struct store_sync *store_sync,
               const struct store_items_response *listing, bool may_be_expired,
               const char *source, apr_time_t now)
{
  fleet_begin_listing (store_sync->desc.fleet);
  registry_begin_listing (store_sync->desc.registry);
  for (size_t i = 0; i < listing->count; i++)
    apply_item (store_sync, &listing->items[i], may_be_expired, now);
  fleet_end_listing (store_sync->desc.fleet, may_be_expired, now);
  registry_end_listing (store_sync->desc.registry, may_be_expired, now);
  end_unlisted_evacuations (store_sync, listing, now);
  LOG (LOG_INFO, "store-listed", LOG_TEXT ("source", source),
       LOG_INT ("keys", listing->count), LOG_INT ("index", listing->index),
       LOG_INT ("upstreams", fleet_upstream_count (store_sync->desc.fleet)));
  store_sync->index = listing->index;
  store_sync->desc.on_changed (store_sync->desc.user_data);
}

static void
on_listed (void *user_data, const struct store_items_response *listing)
{
  struct store_sync *store_sync = user_data;
  apr_time_t now = timer_clock ();
  if (listing->code != ERR_NONE)
    {
      handle_failed_read (store_sync, "list", listing->code);
      return;
    }
  bool may_be_expired = outage_is_recent (&store_sync->outage, now);
  handle_read_success (store_sync, now);
  platform_mirror_update (store_sync->desc.mirror, listing, true,
                          may_be_expired);
  apply_listing (store_sync, listing, may_be_expired, "store", now);
  store_sync_schedule_read (store_sync,
                            store_sync->desc.settings->store.poll_ms);
}

/* Applies the listing of another entry's copy if it is newer than what is
   known here.  */
static void
on_peer_listed (void *user_data, const struct store_items_response *listing)
{
  struct store_sync *store_sync = user_data;
  if (listing->code != ERR_NONE || listing->index <= store_sync->index
      || store_sync->outage.failures == 0)
    return;
  /* Later changes start from this listing, so the copy for other entries must
     contain it too.  */
  platform_mirror_update (store_sync->desc.mirror, listing, true, false);
  apply_listing (store_sync, listing, false, "peer", timer_clock ());
}

static void
list_from_peer (struct store_sync *store_sync)
{
  apr_time_t now = timer_clock ();
  if (now - store_sync->peer_asked_at
      < TIMER_MS (store_sync->desc.settings->store.poll_ms))
    return;
  struct store *peer
      = store_sync->desc.next_peer_store (store_sync->desc.user_data);
  store_sync->peer_asked_at = now;
  if (peer)
    peer->ops->list (peer, "", on_peer_listed, store_sync);
}

void
store_sync_apply_changes (struct store_sync *store_sync,
                          const struct store_items_response *changes,
                          bool may_be_expired, apr_time_t now)
{
  platform_mirror_update (store_sync->desc.mirror, changes, false,
                          may_be_expired);
  for (size_t i = 0; i < changes->count; i++)
    apply_item (store_sync, &changes->items[i],
                may_be_expired || changes->items[i].may_be_expired, now);
  if (changes->index > store_sync->index)
    store_sync->index = changes->index;
  if (changes->count > 0)
    store_sync->desc.on_changed (store_sync->desc.user_data);
}

static void
on_changes (void *user_data, const struct store_items_response *changes)
{
  struct store_sync *store_sync = user_data;
  apr_time_t now = timer_clock ();
  if (changes->code == ERR_NOT_FOUND)
    {
      LOG (LOG_WARN, "store-history-gone",
           LOG_INT ("index", store_sync->index));
      store_sync->index = 0;
      store_sync_schedule_read (store_sync, 0);
      return;
    }
  if (changes->code != ERR_NONE)
    {
      handle_failed_read (store_sync, "follow", changes->code);
      return;
    }
  bool may_be_expired = outage_is_recent (&store_sync->outage, now);
  handle_read_success (store_sync, now);
  store_sync_apply_changes (store_sync, changes, may_be_expired, now);
  store_sync_schedule_read (store_sync,
                            store_sync->desc.settings->store.poll_ms);
}

void
store_sync_read (struct store_sync *store_sync)
{
  struct store *store = store_sync->desc.store;
  store_sync->read_started_at = timer_clock ();
  if (store_sync->index == 0)
    store->ops->list (store, "", on_listed, store_sync);
  else
    store->ops->watch_prefix (store, "", store_sync->index, 0, on_changes,
                              store_sync);
}

static void
on_read_due (void *user_data, apr_time_t now)
{
  struct store_sync *store_sync = user_data;
  if (!store_sync_query_readers (store_sync, now))
    store_sync_read (store_sync);
}

static void
on_expiry_check (void *user_data, apr_time_t now)
{
  struct store_sync *store_sync = user_data;
  /* While the store can't be reached, expired keys can't be seen again, so
     nothing is removed.  */
  if (store_sync->outage.failures == 0)
    {
      fleet_remove_expired (store_sync->desc.fleet, now);
      registry_remove_expired (store_sync->desc.registry, now);
    }
  timer_start (loop_timers (store_sync->desc.loop), &store_sync->expiry_timer,
               now + TIMER_MS (EXPIRY_CHECK_MS), on_expiry_check, store_sync);
}

/* public functions */

struct store_sync *
store_sync_create (apr_pool_t *pool, const struct store_sync_desc *desc)
{
  struct store_sync *store_sync = apr_pcalloc (pool, sizeof *store_sync);
  store_sync->desc = *desc;
  store_sync->version_gauge
      = gauge_get (desc->counters, "citroncleat_configuration_version", "",
                   "Version of the configuration in force.");
  store_sync->problem_gauge
      = gauge_get (desc->counters, "citroncleat_configuration_problems", "",
                   "What can't be used in the configuration in force.");
  store_sync->unreadable_items
      = counter_get (desc->counters, "citroncleat_unreadable_items_total", "",
                     "Items of the store that could not be used.");
  return store_sync;
}

void
store_sync_destroy (struct store_sync *store_sync)
{
  if (!store_sync)
    return;
  timer_stop (loop_timers (store_sync->desc.loop), &store_sync->read_timer);
  timer_stop (loop_timers (store_sync->desc.loop), &store_sync->expiry_timer);
  timer_stop (loop_timers (store_sync->desc.loop), &store_sync->reader_timer);
  plan_unref (store_sync->plan);
}

void
store_sync_start (struct store_sync *store_sync)
{
  apr_time_t now = timer_clock ();
  store_sync->outage.answered_at = now;
  store_sync->current_as_of = now;
  on_read_due (store_sync, now);
  on_expiry_check (store_sync, now);
}

struct plan *
store_sync_plan (const struct store_sync *store_sync)
{
  return store_sync->plan;
}

apr_time_t
store_sync_age (const struct store_sync *store_sync, apr_time_t now)
{
  return now - store_sync->current_as_of;
}
