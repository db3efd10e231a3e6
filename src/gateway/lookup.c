/* Handlers of the listeners other than the callers': which entries callers
   should use, readiness, metrics, and this entry's copy of the store.  */
#include "gateway/internal.h"

#include "platform/mirror.h"
#include "platform/words.h"

#include <apr_strings.h>
#include <string.h>

/* constants */

enum
{
  HTTP_OK = 200,
  HTTP_NOT_FOUND = 404,
  HTTP_GONE = 410,
  HTTP_UNAVAILABLE = 503,
  MIRROR_AGE_MAX_MS = 3000,  /* an older copy isn't sent to who knows more */
  LOOKUP_ADDRESSES_MAX = 64, /* in one response; callers use no more */
  NUMBER_MAX_BYTES = 24      /* of a number as text */
};

static const char metrics_path[] = "/metrics";

/* private functions */

/* Returns the addresses for callers of the entries in REGION (empty: all).  */
static json_object *
addresses_in (struct gateway *gateway, struct str region)
{
  const struct registry_entry *entries[LOOKUP_ADDRESSES_MAX];
  size_t count = registry_find_in_region (gateway->registry, region, entries,
                                          LOOKUP_ADDRESSES_MAX);
  json_object *list = json_object_new_array ();
  for (size_t i = 0; i < count; i++)
    json_object_array_add (
        list, json_object_new_string (entries[i]->caller_address.data));
  return list;
}

static enum MHD_Result
respond_lookup (struct gateway *gateway, struct MHD_Connection *connection)
{
  struct str region = httpd_query_parameter (connection, "region");
  /* After a pause others may have gone; this entry is there.  */
  bool is_alone = store_sync_is_catching_up (gateway->store_sync);
  json_object *list
      = is_alone ? json_object_new_array () : addresses_in (gateway, region);
  /* A region without entries is served by those of all other regions.  */
  if (json_object_array_length (list) == 0 && !is_alone)
    {
      json_object_put (list);
      list = addresses_in (gateway, STR (""));
    }
  if (json_object_array_length (list) == 0 && !gateway->leaving)
    json_object_array_add (
        list, json_object_new_string (gateway->settings.listen.callers.data));
  json_object *object = json_object_new_object ();
  json_object_object_add (object, "addresses", list);
  double max_lifetime = gateway->settings.lookup_most_s;
  json_object_object_add (
      object, "ttl_s",
      max_lifetime > 0 && max_lifetime < GATEWAY_LOOKUP_LIFETIME_S
          ? json_object_new_double (max_lifetime)
          : json_object_new_int (GATEWAY_LOOKUP_LIFETIME_S));
  return httpd_queue_json (connection, HTTP_OK, object);
}

static enum MHD_Result
respond_text (struct MHD_Connection *connection, unsigned int status,
              struct str text)
{
  struct MHD_Response *response = MHD_create_response_from_buffer (
      text.size, (void *)text.data, MHD_RESPMEM_MUST_COPY);
  MHD_add_response_header (response, "Content-Type", "text/plain");
  enum MHD_Result result = MHD_queue_response (connection, status, response);
  MHD_destroy_response (response);
  return result;
}

/* Sends TEXT, from this entry's copy of the store, with the copy's epoch.  */
static enum MHD_Result
respond_copy (struct gateway *gateway, struct MHD_Connection *connection,
              unsigned int status, struct str text)
{
  char epoch[NUMBER_MAX_BYTES];
  struct MHD_Response *response = MHD_create_response_from_buffer (
      text.size, (void *)text.data, MHD_RESPMEM_MUST_COPY);
  apr_snprintf (epoch, sizeof epoch, "%" APR_INT64_T_FMT,
                platform_mirror_epoch (gateway->mirror));
  MHD_add_response_header (response, PLATFORM_STORE_EPOCH, epoch);
  enum MHD_Result result = MHD_queue_response (connection, status, response);
  MHD_destroy_response (response);
  return result;
}

static enum MHD_Result
respond_metrics (struct gateway *gateway, struct MHD_Connection *connection)
{
  apr_pool_t *pool;
  apr_pool_create (&pool, gateway->pool);
  counter_set (gateway->open_requests_gauge, gateway->open_requests);
  enum MHD_Result result = respond_text (
      connection, HTTP_OK, counters_render (gateway->counters, pool));
  apr_pool_destroy (pool);
  return result;
}

/* Sends the whole copy of the store to an entry that can't reach it.  One that
   starts knows less than the oldest copy, and says that it takes any.  */
static enum MHD_Result
respond_mirror (struct gateway *gateway, struct MHD_Connection *connection)
{
  apr_pool_t *pool;
  apr_time_t age = store_sync_age (gateway->store_sync, timer_clock ());
  bool may_be_stale
      = httpd_query_parameter (connection, PLATFORM_MAY_BE_STALE).size > 0;
  if (!store_sync_plan (gateway->store_sync)
      || (!may_be_stale && age > TIMER_MS (MIRROR_AGE_MAX_MS)))
    return respond_text (connection, HTTP_UNAVAILABLE, STR ("too old\n"));
  apr_pool_create (&pool, gateway->pool);
  enum MHD_Result result = respond_copy (
      gateway, connection, HTTP_OK,
      platform_mirror_listing_json (gateway->mirror, age, pool));
  apr_pool_destroy (pool);
  return result;
}

/* Sends the changes of the store after an index, for an entry whose reader
   this one is.  */
static enum MHD_Result
respond_changes (struct gateway *gateway, struct MHD_Connection *connection)
{
  apr_pool_t *pool;
  apr_pool_create (&pool, gateway->pool);
  struct str after
      = httpd_query_parameter (connection, PLATFORM_CHANGES_AFTER);
  struct str text = platform_mirror_changes_json (
      gateway->mirror, apr_atoi64 (str_dup (pool, after).data),
      store_sync_age (gateway->store_sync, timer_clock ()), pool);
  enum MHD_Result result
      = text.size > 0
            ? respond_copy (gateway, connection, HTTP_OK, text)
            : respond_copy (gateway, connection, HTTP_GONE, STR ("gone\n"));
  apr_pool_destroy (pool);
  return result;
}

/* Takes what another entry found out about upstreams, and sends what this one
   knows as its reader.  */
static enum MHD_Result
respond_reachability (struct gateway *gateway,
                      struct MHD_Connection *connection)
{
  apr_pool_t *pool;
  apr_pool_create (&pool, gateway->pool);
  struct reachability_message message
      = { .seen = httpd_query_parameter (connection, reachability_seen),
          .from = httpd_query_parameter (connection, reachability_from),
          .doubts = httpd_query_parameter (connection, reachability_doubts),
          .after = httpd_query_parameter (connection, reachability_after),
          .relayed
          = httpd_query_parameter (connection, reachability_relayed) };
  struct str text
      = reachability_handle (gateway->reachability, &message, pool);
  enum MHD_Result result = respond_text (connection, HTTP_OK, text);
  apr_pool_destroy (pool);
  return result;
}

/* Takes a message on quotas from another entry.  */
static enum MHD_Result
respond_quota (struct gateway *gateway, struct MHD_Connection *connection)
{
  apr_pool_t *pool;
  apr_pool_create (&pool, gateway->pool);
  struct str text = quota_handle (
      gateway->quota, httpd_query_parameter (connection, tenant_quota_message),
      timer_clock (), pool);
  enum MHD_Result result = respond_text (
      connection, text.size > 0 ? HTTP_OK : HTTP_UNAVAILABLE, text);
  apr_pool_destroy (pool);
  return result;
}

/* public functions */

bool
lookup_is_ready (const struct gateway *gateway)
{
  return !gateway->leaving && store_sync_plan (gateway->store_sync) != NULL
         && fleet_upstream_count (gateway->fleet) > 0;
}

struct httpd_request_state
lookup_describe (void *request)
{
  (void)request;
  return (struct httpd_request_state){ "", "response" };
}

enum MHD_Result
lookup_handle (void *user_data, struct MHD_Connection *connection,
               const char *url, const char *method, const char *version,
               const char *data, size_t *size, void **context)
{
  (void)method;
  (void)version;
  (void)data;
  (void)size;
  (void)context;
  struct gateway *gateway = user_data;
  if (strcmp (url, PLATFORM_READINESS_PATH) == 0)
    return lookup_is_ready (gateway)
               ? respond_text (connection, HTTP_OK, STR ("ready\n"))
               : respond_text (connection, HTTP_UNAVAILABLE,
                               STR ("not ready\n"));
  if (strcmp (url, PLATFORM_LOOKUP_PATH) == 0)
    return respond_lookup (gateway, connection);
  if (strcmp (url, PLATFORM_MIRROR_PATH) == 0)
    return respond_mirror (gateway, connection);
  if (strcmp (url, PLATFORM_CHANGES_PATH) == 0)
    return respond_changes (gateway, connection);
  if (strcmp (url, reachability_path) == 0)
    return respond_reachability (gateway, connection);
  /* A message grants and returns tokens, so callers' listeners take none.  */
  if (gateway->quota && strcmp (url, tenant_quota_path) == 0
      && httpd_owns (gateway->metrics_listener, connection))
    return respond_quota (gateway, connection);
  if (strcmp (url, metrics_path) == 0)
    return respond_metrics (gateway, connection);
  return respond_text (connection, HTTP_NOT_FOUND, STR ("no such path\n"));
}
