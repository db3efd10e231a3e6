/* Reads of the store, and the application of what was read.  */
#include "gateway/store_sync_internal.h"

#include "platform/decode.h"
#include "platform/mirror.h"

#include <xxhash.h>

/* constants */

enum
{
  EXPIRY_CHECK_MS = 250, /* an eighth of the shortest grace period */
  /* After this time without a current response, what is known is used as in an
     outage.  Twice as long as a request waits.  */
  CATCH_UP_MAX_MS = 3000,
  VALUE_MAX_BYTES = 60,    /* of a value in the log */
  PROBLEMS_LOGGED_MAX = 20 /* of one configuration */
};

/* What is known is recent enough to end grace periods while it is not older
   than this many times the age up to which other entries' copies are used: an
   owner that could write its key again would be seen.  */
static const double recent_factor = 2.0;

/* private functions */

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

/* Returns a number that differs between entries, and between the VERSIONs of
   the configuration.  */
static uint64_t
entry_seed (const struct store_sync *store_sync, int64_t version)
{
  struct str name = store_sync->desc.settings->name;
  return XXH64 (name.data, name.size, (uint64_t)version);
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
      counter_add (store_sync->unreadable_plans, 1);
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
  plan_spread_weights (plan, entry_seed (store_sync, plan_version (plan)));
  counter_set (store_sync->version_gauge, plan_version (plan));
  LOG (LOG_INFO, "configuration-adopted",
       LOG_INT ("version", plan_version (plan)),
       LOG_INT ("routes", plan_route_count (plan)));
  report_problems (store_sync, plan);
}

/* Returns the place of INDEX, of the present epoch, in the order of all
   writes.  */
static int64_t
revision_of (struct store_sync *store_sync, int64_t index)
{
  int64_t revision = store_sync->revision_base + index;
  if (revision > store_sync->revision)
    store_sync->revision = revision;
  return revision;
}

static void
apply_upstream (struct store_sync *store_sync, struct str id,
                const struct store_item *item, enum mirror_change change,
                bool may_be_expired, apr_time_t now)
{
  struct fleet_record record;
  struct err err = { 0 };
  apr_pool_t *pool;
  int64_t revision = revision_of (store_sync, item->index);
  if (item->is_removed)
    {
      fleet_remove_upstream (store_sync->desc.fleet, id, may_be_expired, now);
      return;
    }
  if (change == MIRROR_RENEWED
      && fleet_renew_upstream (store_sync->desc.fleet, id, revision, now))
    return;
  apr_pool_create (&pool, NULL);
  if (decode_upstream (id, item->value, pool, &record, &err) != ERR_NONE
      || !fleet_put_upstream (store_sync->desc.fleet, &record, revision, now))
    {
      /* The record is unusable, so an upstream that was known under the id no
         longer exists.  */
      counter_add (store_sync->unreadable_upstreams, 1);
      if (err.code == ERR_NONE)
        err_set (&err, ERR_INVALID, "read upstream", record.id.data,
                 "zone is \"%.*s\", one of the settings expected",
                 STR_ARGS (record.zone));
      LOG (LOG_WARN, "upstream-unreadable", LOG_TEXT ("id", record.id.data),
           LOG_TEXT ("detail", err.detail));
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
  char value[VALUE_MAX_BYTES + 1];
  snprintf (value, sizeof value, "%.*s", STR_ARGS (item->value));
  LOG (LOG_INFO,
       !item->is_removed      ? "zone-evacuated"
       : item->may_be_expired ? "zone-evacuation-lost"
                              : "zone-evacuation-ended",
       LOG_TEXT ("zone", zone.data), LOG_TEXT ("value", value));
  /* Whatever its value, the key stands for an evacuation.  */
  if (!item->is_removed
      && gateway_settings_region (store_sync->desc.settings, zone).size == 0)
    {
      counter_add (store_sync->unreadable_evacuations, 1);
      LOG (LOG_WARN, "evacuation-unreadable", LOG_TEXT ("zone", zone.data),
           LOG_TEXT ("detail", "the zone is none of the settings"));
    }
  fleet_set_zone_evacuated (store_sync->desc.fleet, zone, !item->is_removed,
                            revision_of (store_sync, item->index),
                            max_cold_time (store_sync), now);
}

static void
apply_item (struct store_sync *store_sync, const struct store_item *item,
            enum mirror_change change, bool may_be_expired, apr_time_t now)
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
      apply_upstream (store_sync, rest, item, change, may_be_expired, now);
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
  else if (change == MIRROR_CHANGED
           && !registry_put (store_sync->desc.registry, name, item->value))
    counter_add (store_sync->unreadable_entries, 1);
}

/* Applies the items of RESPONSE, but for those of which a later write is
   known.  */
static void
apply_items (struct store_sync *store_sync,
             const struct store_items_response *response, bool may_be_expired,
             apr_time_t now)
{
  for (size_t i = 0; i < response->count; i++)
    {
      const struct store_item *item = &response->items[i];
      enum mirror_change change = platform_mirror_put (store_sync->desc.mirror,
                                                       item, may_be_expired);
      if (change != MIRROR_OUTDATED)
        apply_item (store_sync, item, change,
                    may_be_expired || item->may_be_expired, now);
    }
}

static void
on_unlisted (void *user_data, const struct store_item *removal)
{
  apply_item (user_data, removal, MIRROR_CHANGED, removal->may_be_expired,
              timer_clock ());
}

static void
on_expiry_check (void *user_data, apr_time_t now)
{
  struct store_sync *store_sync = user_data;
  apr_time_t recent
      = (apr_time_t)(recent_factor
                     * (double)store_sync_max_copy_age (store_sync));
  /* While nothing is heard of the store, expired keys can't be seen again, so
     nothing is removed.  */
  if (store_sync_age (store_sync, now) <= recent)
    {
      fleet_remove_expired (store_sync->desc.fleet, now);
      registry_remove_expired (store_sync->desc.registry, now);
    }
  else if (store_sync->expiry_checked_at > 0)
    fleet_postpone_expiry (store_sync->desc.fleet,
                           now - store_sync->expiry_checked_at);
  store_sync->expiry_checked_at = now;
  if (store_sync->paused_until > 0
      && now - store_sync->paused_until >= TIMER_MS (CATCH_UP_MAX_MS))
    store_sync_end_catch_up (store_sync);
  timer_start (loop_timers (store_sync->desc.loop), &store_sync->expiry_timer,
               now + TIMER_MS (EXPIRY_CHECK_MS), on_expiry_check, store_sync);
}

/* Begins the epoch of LISTING, which is then applied.  */
static void
begin_epoch (struct store_sync *store_sync,
             const struct store_items_response *listing, const char *source,
             apr_time_t now)
{
  if (store_sync->index > 0)
    {
      LOG (LOG_WARN, "store-restored", LOG_TEXT ("source", source),
           LOG_INT ("old_epoch", store_sync->epoch),
           LOG_INT ("epoch", listing->epoch),
           LOG_INT ("old_index", store_sync->index),
           LOG_INT ("index", listing->index));
      outage_record_loss (&store_sync->outage, now);
      fleet_begin_restore (store_sync->desc.fleet);
      registry_begin_restore (store_sync->desc.registry, listing->epoch);
    }
  store_sync->epoch = listing->epoch;
  store_sync->index = 0;
  store_sync->revision_base = store_sync->revision;
  platform_mirror_begin_epoch (store_sync->desc.mirror, listing->epoch);
  counter_set (store_sync->epoch_gauge, listing->epoch);
}

/* functions internal to the module */

void
store_sync_apply_changes (struct store_sync *store_sync,
                          const struct store_items_response *changes,
                          bool may_be_expired, apr_time_t now)
{
  apply_items (store_sync, changes, may_be_expired, now);
  platform_mirror_set_index (store_sync->desc.mirror, changes->index);
  if (changes->index > store_sync->index)
    store_sync->index = changes->index;
  if (changes->count > 0)
    store_sync->desc.on_changed (store_sync->desc.user_data);
}

void
store_sync_apply_listing (struct store_sync *store_sync,
                          const struct store_items_response *listing,
                          const char *source, bool may_be_expired,
                          apr_time_t now)
{
  store_sync->is_listing = true;
  bool is_restored
      = listing->epoch > store_sync->epoch && store_sync->index > 0;
  if (listing->epoch > store_sync->epoch)
    begin_epoch (store_sync, listing, source, now);
  /* What a restored copy lacks may only have been lost.  */
  may_be_expired |= is_restored;
  platform_mirror_begin_listing (store_sync->desc.mirror);
  apply_items (store_sync, listing, may_be_expired, now);
  platform_mirror_end_listing (store_sync->desc.mirror, listing->index,
                               may_be_expired, on_unlisted, store_sync);
  if (is_restored)
    {
      fleet_end_restore (store_sync->desc.fleet);
      registry_end_restore (store_sync->desc.registry);
    }
  store_sync->is_listing = false;
  LOG (LOG_INFO, "store-listed", LOG_TEXT ("source", source),
       LOG_INT ("keys", listing->count), LOG_INT ("epoch", listing->epoch),
       LOG_INT ("index", listing->index),
       LOG_INT ("upstreams", fleet_upstream_count (store_sync->desc.fleet)),
       LOG_INT ("entries", registry_count (store_sync->desc.registry)));
  if (listing->index > store_sync->index)
    store_sync->index = listing->index;
  store_sync->desc.on_changed (store_sync->desc.user_data);
}

/* public functions */

struct store_sync *
store_sync_create (apr_pool_t *pool, const struct store_sync_desc *desc)
{
  static const char *const sources[SOURCE_COUNT]
      = { "source=\"reader\"", "source=\"second-reader\"", "source=\"store\"",
          "source=\"peer\"" };
  struct store_sync *store_sync = apr_pcalloc (pool, sizeof *store_sync);
  const struct
  {
    struct counter **counter;
    const char *labels;
  } unreadable[]
      = { { &store_sync->unreadable_plans, "kind=\"configuration\"" },
          { &store_sync->unreadable_upstreams, "kind=\"upstream\"" },
          { &store_sync->unreadable_entries, "kind=\"entry\"" },
          { &store_sync->unreadable_evacuations, "kind=\"evacuation\"" } };
  store_sync->desc = *desc;
  store_sync->version_gauge
      = gauge_get (desc->counters, "citroncleat_configuration_version", "",
                   "Version of the configuration in force.");
  store_sync->problem_gauge
      = gauge_get (desc->counters, "citroncleat_configuration_problems", "",
                   "What can't be used in the configuration in force.");
  for (size_t i = 0; i < sizeof unreadable / sizeof *unreadable; i++)
    *unreadable[i].counter = counter_get (
        desc->counters, "citroncleat_unreadable_items_total",
        unreadable[i].labels, "Items of the store that could not be used.");
  store_sync->outdated_answers = counter_get (
      desc->counters, "citroncleat_sync_outdated_answers_total", "",
      "Usable responses that were older than what is known, and not used.");
  store_sync->epoch_gauge
      = gauge_get (desc->counters, "citroncleat_store_epoch", "",
                   "Epoch of the store; greater after it lost writes.");
  for (int i = 0; i < SOURCE_COUNT; i++)
    {
      store_sync->queries[i].store_sync = store_sync;
      store_sync->queries[i].source = i;
      store_sync->answers[i] = counter_get (
          desc->counters, "citroncleat_sync_answers_total", sources[i],
          "Usable responses with changes or a listing, by where from.");
    }
  return store_sync;
}

void
store_sync_destroy (struct store_sync *store_sync)
{
  if (!store_sync)
    return;
  timer_stop (loop_timers (store_sync->desc.loop), &store_sync->round_timer);
  timer_stop (loop_timers (store_sync->desc.loop), &store_sync->wait_timer);
  timer_stop (loop_timers (store_sync->desc.loop), &store_sync->expiry_timer);
  plan_unref (store_sync->plan);
}

void
store_sync_start (struct store_sync *store_sync)
{
  apr_time_t now = timer_clock ();
  store_sync->outage.answered_at = now;
  store_sync_begin_round (store_sync, now);
  on_expiry_check (store_sync, now);
}

struct plan *
store_sync_plan (const struct store_sync *store_sync)
{
  /* A first listing may be seconds old; until changes were read after it,
     upstreams that have left would be used.  */
  return store_sync->current_as_of > 0 ? store_sync->plan : NULL;
}

apr_time_t
store_sync_age (const struct store_sync *store_sync, apr_time_t now)
{
  return now - store_sync->current_as_of;
}

void
store_sync_catch_up (struct store_sync *store_sync, apr_time_t now)
{
  /* Before the first read nothing is served.  */
  if (store_sync->current_as_of == 0)
    return;
  store_sync->paused_until = now;
  store_sync_hurry_round (store_sync, now);
}

bool
store_sync_is_catching_up (const struct store_sync *store_sync)
{
  return store_sync->paused_until > 0;
}

bool
store_sync_is_listing (const struct store_sync *store_sync)
{
  return store_sync->is_listing;
}
