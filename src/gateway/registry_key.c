/* Lease and key of this entry.  */
#include "gateway/registry_internal.h"

#include <stdio.h>

/* constants */

enum
{
  RETRY_MS = 300,         /* well within the shortest lease */
  RENEWALS_PER_LEASE = 2, /* half of a lease is left for retries */
  KEY_MAX_BYTES = 128
};

static const char key_prefix[] = "citroncleat/entries/";

/* private functions */

static void on_call_due (void *user_data, apr_time_t now);

static void
schedule_call (struct registry *registry, int64_t wait_ms)
{
  timer_start (loop_timers (registry->desc.loop), &registry->timer,
               timer_clock () + TIMER_MS (wait_ms), on_call_due, registry);
}

static void
on_lease_renewed (void *user_data, const struct store_response *response)
{
  struct registry *registry = user_data;
  registry->call_in_progress = false;
  if (response->code == ERR_NOT_FOUND)
    {
      LOG (LOG_WARN, "lease-lost", LOG_INT ("lease", registry->lease),
           LOG_INT ("epoch", response->epoch));
      registry->lease = 0;
      registry->is_published = false;
      schedule_call (registry, 0);
      return;
    }
  if (!registry->is_published)
    {
      schedule_call (registry, 0);
      return;
    }
  schedule_call (registry, response->code == ERR_NONE
                               ? registry->desc.settings->store.lease_ms
                                     / RENEWALS_PER_LEASE
                               : RETRY_MS);
}

static void
on_written (void *user_data, const struct store_response *response)
{
  struct registry *registry = user_data;
  registry->call_in_progress = false;
  if (response->code == ERR_NONE && registry->lease_epoch > 0
      && response->epoch > registry->lease_epoch)
    {
      /* Another entry may have got the number of the lease since.  */
      LOG (LOG_WARN, "lease-lost", LOG_INT ("lease", registry->lease),
           LOG_INT ("epoch", response->epoch));
      registry->lease = 0;
      schedule_call (registry, 0);
      return;
    }
  if (response->code == ERR_NONE)
    {
      registry->is_published = !registry->has_changed;
      schedule_call (registry, registry->has_changed
                                   ? 0
                                   : registry->desc.settings->store.lease_ms
                                         / RENEWALS_PER_LEASE);
      return;
    }
  if (response->code == ERR_NOT_FOUND)
    registry->lease = 0;
  schedule_call (registry, RETRY_MS);
}

static void
on_lease_opened (void *user_data, const struct store_response *response)
{
  struct registry *registry = user_data;
  registry->call_in_progress = false;
  /* A lease of an earlier epoch is lost, and its number given out again.  */
  if (response->code != ERR_NONE || response->index <= 0
      || (response->epoch > 0 && response->epoch < registry->epoch))
    {
      schedule_call (registry, RETRY_MS);
      return;
    }
  registry->lease = response->index;
  registry->lease_epoch = response->epoch;
  schedule_call (registry, 0);
}

double
registry_own_capacity (const struct gateway_settings *settings)
{
  return settings->machine.link_mbps * settings->machine.cores;
}

/* Writes this entry's key under the lease.  */
static void
write_key (struct registry *registry)
{
  const struct gateway_settings *settings = registry->desc.settings;
  char key[KEY_MAX_BYTES];
  registry->has_changed = false;
  json_object *object = json_object_new_object ();
  json_object_object_add (
      object, "callers",
      json_object_new_string (settings->listen.callers.data));
  json_object_object_add (object, "zone",
                          json_object_new_string (settings->zone.data));
  json_object_object_add (object, "leaving",
                          json_object_new_boolean (registry->leaving));
  json_object_object_add (
      object, "capacity",
      json_object_new_double (registry_own_capacity (settings)));
  json_object_object_add (object, "started",
                          json_object_new_int64 (registry->started));
  json_object_object_add (object, "writes",
                          json_object_new_int64 (++registry->writes));
  if (settings->listen.metrics.size > 0)
    json_object_object_add (
        object, "peers",
        json_object_new_string (settings->listen.metrics.data));
  snprintf (key, sizeof key, "%s%s", key_prefix, settings->name.data);
  registry->desc.store->ops->put (
      registry->desc.store, key,
      str_from (json_object_to_json_string (object)), registry->lease,
      on_written, registry);
  json_object_put (object);
}

/* Makes the next call that is needed: opens the lease, writes the key, or
   renews the lease.  */
static void
on_call_due (void *user_data, apr_time_t now)
{
  (void)now;
  struct registry *registry = user_data;
  struct store *store = registry->desc.store;
  if (registry->call_in_progress)
    return;
  registry->call_in_progress = true;
  if (registry->lease == 0)
    store->ops->open_lease (store, registry->desc.settings->store.lease_ms,
                            on_lease_opened, registry);
  else if (!registry->is_published)
    write_key (registry);
  else
    store->ops->renew_lease (store, registry->lease, on_lease_renewed,
                             registry);
}

/* functions of the module */

void
registry_key_removed (struct registry *registry)
{
  if (registry->call_in_progress || !registry->is_published)
    return;
  registry->is_published = false;
  schedule_call (registry, 0);
}

void
registry_key_restored (struct registry *registry)
{
  /* A write in progress may be one under a lease of another entry.  */
  if (registry->own_key_listed && registry->is_published)
    registry->lease_epoch = registry->epoch;
  else
    {
      registry->lease = 0;
      registry->has_changed = true;
      registry->is_published = false;
    }
  if (registry->desc.loop && !registry->call_in_progress)
    schedule_call (registry, 0);
}

/* public functions */

void
registry_start (struct registry *registry)
{
  on_call_due (registry, timer_clock ());
}

void
registry_announce_leaving (struct registry *registry)
{
  registry->leaving = true;
  registry->has_changed = true;
  registry->is_published = false;
  if (!registry->call_in_progress)
    on_call_due (registry, timer_clock ());
}

struct str
registry_key_prefix (void)
{
  return str_from (key_prefix);
}
