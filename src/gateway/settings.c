/* The tables of the settings' fields, and the values derived from them.  */
#include "gateway/settings.h"

#include <string.h>

/* constants */

#define TEXT(structure, member, of_type)                                      \
  {                                                                           \
    .name = #member, .type = (of_type), FIELD_OFFSET (structure, member),     \
    .required = true                                                          \
  }
#define REAL(structure, member, low, high, default_value)                     \
  {                                                                           \
    .name = #member, .type = FIELD_REAL, FIELD_OFFSET (structure, member),    \
    .min_value = (low), .max_value = (high),                                  \
    .default_number = (default_value)                                         \
  }
#define OBJECT(member, table, is_required)                                    \
  {                                                                           \
    .name = #member, .type = FIELD_OBJECT,                                    \
    FIELD_OFFSET (gateway_settings, member), .subfields = (table),            \
    .required = (is_required)                                                 \
  }

static const struct field zone_fields[]
    = { TEXT (gateway_zone, name, FIELD_NAME),
        TEXT (gateway_zone, region, FIELD_NAME),
        { 0 } };

static const struct field listen_fields[]
    = { TEXT (gateway_addresses, callers, FIELD_ADDRESS),
        TEXT (gateway_addresses, readiness, FIELD_ADDRESS),
        TEXT (gateway_addresses, lookups, FIELD_ADDRESS),
        { .name = "metrics",
          .type = FIELD_ADDRESS,
          FIELD_OFFSET (gateway_addresses, metrics) },
        { .name = "copies",
          .type = FIELD_ADDRESS,
          FIELD_OFFSET (gateway_addresses, copies) },
        { 0 } };

/* lease_ms: a dead entry stays in the responses to look-ups for no longer.  */
static const struct field store_fields[]
    = { TEXT (gateway_store, address, FIELD_ADDRESS),
        FIELD_NUMBER (gateway_store, in_force_ms, 100, 600000, 2500, "ms"),
        FIELD_NUMBER (gateway_store, leaving_ms, 100, 600000, 2500, "ms"),
        FIELD_NUMBER (gateway_store, poll_ms, 0, 60000, 0, "ms"),
        FIELD_NUMBER (gateway_store, timeout_ms, 50, 60000, 700, "ms"),
        FIELD_NUMBER (gateway_store, lease_ms, 1000, 600000, 3600, "ms"),
        { 0 } };

static const struct field retry_fields[]
    = { REAL (gateway_retry, ratio, 0, 10, 0),
        REAL (gateway_retry, slack, 0, 1000000, 0),
        REAL (gateway_retry, turned_away_max_s, 0, 3600, 60),
        { 0 } };

static const struct field cold_fields[]
    = { REAL (gateway_cold, multiplier, 0, 100, 1),
        REAL (gateway_cold, slack, 0, 1000000, 0),
        { 0 } };

static const struct field quota_fields[]
    = { REAL (gateway_quota, window_s, 0, 3600, 0),
        REAL (gateway_quota, overage, 0, 10, 0),
        REAL (gateway_quota, slack, 0, 1000000, 0),
        { 0 } };

static const struct field machine_fields[]
    = { REAL (gateway_machine, link_mbps, 0, 1000000, 0),
        REAL (gateway_machine, cores, 0, 10000, 0),
        FIELD_NUMBER (gateway_machine, memory_mb, 0, 1048576, 0, "MiB"),
        { 0 } };

static const struct field gateway_fields[]
    = { TEXT (gateway_settings, name, FIELD_NAME),
        TEXT (gateway_settings, zone, FIELD_NAME),
        TEXT (gateway_settings, region, FIELD_NAME),
        { .name = "zones",
          .type = FIELD_OBJECT_LIST,
          FIELD_OFFSET (gateway_settings, zones),
          .subfields = zone_fields,
          .item_size = sizeof (struct gateway_zone),
          .required = true },
        OBJECT (listen, listen_fields, true),
        OBJECT (store, store_fields, true),
        OBJECT (retry, retry_fields, false),
        OBJECT (cold, cold_fields, false),
        OBJECT (quota, quota_fields, false),
        OBJECT (machine, machine_fields, false),
        { .name = "seeds",
          .type = FIELD_ADDRESS_LIST,
          FIELD_OFFSET (gateway_settings, seeds) },
        REAL (gateway_settings, stop_s, 0, 3600, 10),
        REAL (gateway_settings, lookup_most_s, 0, 3600, 5),
        REAL (gateway_settings, region_shift, 0, 1, 1),
        FIELD_NUMBER (gateway_settings, log_lines_per_s, 0, 100000, 40, NULL),
        { 0 } };

/* Default time between two reads of the store, as a fraction of the shorter
   bound.  The rest is left for one failed read and its repetition.  */
static const double poll_fraction = 0.45;

/* public functions */

void
gateway_settings_load (const char *path, apr_pool_t *pool,
                       struct gateway_settings *settings,
                       struct faults *faults)
{
  memset (settings, 0, sizeof *settings);
  json_object *object = field_parse_json_file (path, pool, faults);
  if (!object)
    return;
  field_read (gateway_fields, object, STR (""), settings, pool, faults);
  json_object_put (object);
  struct gateway_store *store = &settings->store;
  int64_t min_bound = store->in_force_ms < store->leaving_ms
                          ? store->in_force_ms
                          : store->leaving_ms;
  if (store->poll_ms == 0)
    store->poll_ms = (int64_t)((double)min_bound * poll_fraction);
  if (faults_count (faults) == 0
      && gateway_settings_region (settings, settings->zone).size == 0)
    faults_add (faults, STR ("zone"), settings->zone, "one of 'zones'");
}

struct str
gateway_settings_region (const struct gateway_settings *settings,
                         struct str zone)
{
  const struct gateway_zone *zones = settings->zones.items;
  for (size_t i = 0; i < settings->zones.count; i++)
    if (str_equal (zones[i].name, zone))
      return zones[i].region;
  return STR ("");
}
