#include "gateway/watcher_internal.h"

#include "platform/decode.h"
#include "platform/mirror.h"

/* constants */

enum
{
  RETRY_MS = 250, /* a call that failed is repeated well within the bounds */
  SWEEP_MS = 250, /* an eighth of the hold that it ends */
  FAILURES_FOR_PEER = 1 /* a read that fails has taken up to two seconds */
};

/* private functions */

static void on_due (void *part, apr_time_t now);

void
watcher_again (struct watcher *watcher, int64_t wait_ms)
{
  timer_start (loop_timers (watcher->desc.loop), &watcher->timer,
               timer_clock () + TIMER_MS (wait_ms), on_due, watcher);
}

static void
take_plan (struct watcher *watcher, struct str text)
{
  struct plan *plan;
  struct err err = { 0 };
  if (decode_plan (text, &plan, &err) != ERR_NONE)
    {
      counter_add (watcher->unreadable, 1);
      LOG_ERR (LOG_ERROR, "configuration-refused", &err);
      return;
    }
  if (watcher->plan && plan_version (plan) <= plan_version (watcher->plan))
    {
      plan_unref (plan);
      return;
    }
  plan_unref (watcher->plan);
  watcher->plan = plan;
  counter_set (watcher->versions, plan_version (plan));
  LOG (LOG_INFO, "configuration-adopted",
       LOG_INT ("version", plan_version (plan)),
       LOG_INT ("routes", plan_route_count (plan)));
}

static void
take_upstream (struct watcher *watcher, struct str id,
               const struct store_item *item, bool lapsed, apr_time_t now)
{
  struct fleet_record record;
  struct err err = { 0 };
  apr_pool_t *pool;
  if (item->is_removed)
    {
      fleet_remove (watcher->desc.fleet, id, lapsed, now);
      return;
    }
  apr_pool_create (&pool, NULL);
  if (decode_upstream (id, item->value, pool, &record, &err) != ERR_NONE
      || !fleet_put (watcher->desc.fleet, &record, item->index, now))
    {
      /* It names no upstream to use, so one that had the id is gone.  */
      counter_add (watcher->unreadable, 1);
      LOG (LOG_WARN, "upstream-unreadable", LOG_TEXT ("id", record.id.data),
           LOG_TEXT ("detail", err.code ? err.detail : "unknown zone"));
      fleet_remove (watcher->desc.fleet, id, false, now);
    }
  apr_pool_destroy (pool);
}

static apr_time_t
longest_cold (const struct watcher *watcher)
{
  return watcher->plan ? plan_longest_cold (watcher->plan) : 0;
}

static void
take_evacuation (struct watcher *watcher, struct str zone,
                 const struct store_item *item, apr_time_t now)
{
  LOG (LOG_INFO, item->is_removed ? "zone-evacuation-ended" : "zone-evacuated",
       LOG_TEXT ("zone", zone.data));
  fleet_set_evacuated (watcher->desc.fleet, zone, !item->is_removed,
                       item->index, longest_cold (watcher), now);
}

static void
take_item (struct watcher *watcher, const struct store_item *item, bool lapsed,
           apr_time_t now)
{
  struct str rest;
  switch (decode_key (item->key, &rest))
    {
    case KEY_CONFIG:
      if (!item->is_removed)
        take_plan (watcher, item->value);
      return;
    case KEY_EVACUATION:
      take_evacuation (watcher, rest, item, now);
      return;
    case KEY_UPSTREAM:
      take_upstream (watcher, rest, item, lapsed, now);
      return;
    case KEY_OTHER:
      break;
    }
  struct str prefix = members_prefix ();
  if (!str_starts (item->key, prefix))
    return;
  struct str name
      = str_view (item->key.data + prefix.size, item->key.size - prefix.size);
  if (item->is_removed)
    members_remove (watcher->desc.members, name, lapsed, now);
  else
    members_put (watcher->desc.members, name, item->value);
}

static void ask_peer (struct watcher *watcher);

static void
note_failure (struct watcher *watcher, const char *step, enum err_code code)
{
  outage_failed (&watcher->outage, timer_clock ());
  if (watcher->outage.failures == 1)
    LOG (LOG_WARN, "store-lost", LOG_TEXT ("step", step),
         LOG_TEXT ("error", err_name (code)),
         LOG_INT ("index", watcher->index));
  if (watcher->outage.failures >= FAILURES_FOR_PEER)
    ask_peer (watcher);
  watcher_again (watcher, RETRY_MS);
}

static void
note_answer (struct watcher *watcher, apr_time_t now)
{
  watcher->known_at = watcher->asked_at;
  if (watcher->outage.failures > 0)
    LOG (LOG_INFO, "store-regained",
         LOG_INT ("failures", watcher->outage.failures),
         LOG_INT ("away_ms", (now - watcher->outage.answered_at) / 1000));
  outage_answered (&watcher->outage, now);
}

/* Ends the evacuations that a complete listing does not name.  */
struct missing
{
  const struct store_items_response *listing;
  struct str zone; /* the first one, or empty */
};

static void
find_missing (void *part, struct str zone)
{
  struct missing *missing = part;
  struct str rest;
  for (size_t i = 0; i < missing->listing->count; i++)
    if (decode_key (missing->listing->items[i].key, &rest) == KEY_EVACUATION
        && str_equal (rest, zone))
      return;
  missing->zone = zone;
}

static void
end_evacuations (struct watcher *watcher,
                 const struct store_items_response *listing, apr_time_t now)
{
  struct missing missing;
  do
    {
      missing = (struct missing){ listing, { NULL, 0 } };
      fleet_each_evacuated (watcher->desc.fleet, find_missing, &missing);
      if (missing.zone.size > 0)
        fleet_set_evacuated (watcher->desc.fleet, missing.zone, false,
                             listing->index, longest_cold (watcher), now);
    }
  while (missing.zone.size > 0);
}

/* Makes a complete LISTING what is known.  */
static void
take_listing (struct watcher *watcher,
              const struct store_items_response *listing, bool lapsed,
              const char *source, apr_time_t now)
{
  fleet_begin_listing (watcher->desc.fleet);
  members_begin_listing (watcher->desc.members);
  for (size_t i = 0; i < listing->count; i++)
    take_item (watcher, &listing->items[i], lapsed, now);
  fleet_end_listing (watcher->desc.fleet, lapsed, now);
  members_end_listing (watcher->desc.members, lapsed, now);
  end_evacuations (watcher, listing, now);
  LOG (LOG_INFO, "store-listed", LOG_TEXT ("source", source),
       LOG_INT ("keys", listing->count), LOG_INT ("index", listing->index),
       LOG_INT ("upstreams", fleet_count (watcher->desc.fleet)));
  watcher->index = listing->index;
  watcher->desc.changed (watcher->desc.part);
}

static void
on_listed (void *part, const struct store_items_response *listing)
{
  struct watcher *watcher = part;
  apr_time_t now = timer_clock ();
  if (listing->code != ERR_NONE)
    {
      note_failure (watcher, "list", listing->code);
      return;
    }
  bool lapsed = outage_in_doubt (&watcher->outage, now);
  note_answer (watcher, now);
  platform_mirror_take (watcher->desc.mirror, listing, true, lapsed);
  take_listing (watcher, listing, lapsed, "store", now);
  watcher_again (watcher, watcher->desc.settings->store.poll_ms);
}

/* Another entry's copy, which is never older than what is known here.  */
static void
on_peer_listed (void *part, const struct store_items_response *listing)
{
  struct watcher *watcher = part;
  if (listing->code != ERR_NONE || listing->index <= watcher->index
      || watcher->outage.failures == 0)
    return;
  /* What is followed from here on starts at this listing, in the copy for
     others as well.  */
  platform_mirror_take (watcher->desc.mirror, listing, true, false);
  take_listing (watcher, listing, false, "peer", timer_clock ());
}

static void
ask_peer (struct watcher *watcher)
{
  apr_time_t now = timer_clock ();
  if (now - watcher->peer_asked_at
      < TIMER_MS (watcher->desc.settings->store.poll_ms))
    return;
  struct store *peer = watcher->desc.peer (watcher->desc.part);
  watcher->peer_asked_at = now;
  if (peer)
    peer->ops->list (peer, "", on_peer_listed, watcher);
}

void
watcher_take_changes (struct watcher *watcher,
                      const struct store_items_response *changes, bool lapsed,
                      apr_time_t now)
{
  platform_mirror_take (watcher->desc.mirror, changes, false, lapsed);
  for (size_t i = 0; i < changes->count; i++)
    take_item (watcher, &changes->items[i],
               lapsed || changes->items[i].expired, now);
  if (changes->index > watcher->index)
    watcher->index = changes->index;
  if (changes->count > 0)
    watcher->desc.changed (watcher->desc.part);
}

static void
on_changes (void *part, const struct store_items_response *changes)
{
  struct watcher *watcher = part;
  apr_time_t now = timer_clock ();
  if (changes->code == ERR_NOT_FOUND)
    {
      LOG (LOG_WARN, "store-history-gone", LOG_INT ("index", watcher->index));
      watcher->index = 0;
      watcher_again (watcher, 0);
      return;
    }
  if (changes->code != ERR_NONE)
    {
      note_failure (watcher, "follow", changes->code);
      return;
    }
  bool lapsed = outage_in_doubt (&watcher->outage, now);
  note_answer (watcher, now);
  watcher_take_changes (watcher, changes, lapsed, now);
  watcher_again (watcher, watcher->desc.settings->store.poll_ms);
}

void
watcher_read_store (struct watcher *watcher)
{
  struct store *store = watcher->desc.store;
  watcher->asked_at = timer_clock ();
  if (watcher->index == 0)
    store->ops->list (store, "", on_listed, watcher);
  else
    store->ops->watch_prefix (store, "", watcher->index, 0, on_changes,
                              watcher);
}

static void
on_due (void *part, apr_time_t now)
{
  struct watcher *watcher = part;
  if (!watcher_ask_readers (watcher, now))
    watcher_read_store (watcher);
}

static void
on_sweep (void *part, apr_time_t now)
{
  struct watcher *watcher = part;
  /* While the store is out of reach nothing can be listed again.  */
  if (watcher->outage.failures == 0)
    {
      fleet_sweep (watcher->desc.fleet, now);
      members_sweep (watcher->desc.members, now);
    }
  timer_start (loop_timers (watcher->desc.loop), &watcher->sweep,
               now + TIMER_MS (SWEEP_MS), on_sweep, watcher);
}

/* public functions */

struct watcher *
watcher_create (apr_pool_t *pool, const struct watcher_desc *desc)
{
  struct watcher *watcher = apr_pcalloc (pool, sizeof *watcher);
  watcher->desc = *desc;
  watcher->versions
      = gauge_get (desc->counters, "citroncleat_configuration_version", "",
                   "Version of the configuration in force.");
  watcher->unreadable
      = counter_get (desc->counters, "citroncleat_unreadable_items_total", "",
                     "Items of the store that could not be used.");
  return watcher;
}

void
watcher_destroy (struct watcher *watcher)
{
  if (!watcher)
    return;
  timer_stop (loop_timers (watcher->desc.loop), &watcher->timer);
  timer_stop (loop_timers (watcher->desc.loop), &watcher->sweep);
  timer_stop (loop_timers (watcher->desc.loop), &watcher->reader_timer);
  plan_unref (watcher->plan);
}

void
watcher_start (struct watcher *watcher)
{
  apr_time_t now = timer_clock ();
  watcher->outage.answered_at = now;
  watcher->known_at = now;
  on_due (watcher, now);
  on_sweep (watcher, now);
}

struct plan *
watcher_plan (const struct watcher *watcher)
{
  return watcher->plan;
}

apr_time_t
watcher_age (const struct watcher *watcher, apr_time_t now)
{
  return now - watcher->known_at;
}
