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
  /* Callers keep an answer for three times its lifetime at most; an entry that
     stops serves on for that long.  */
  LOOKUP_LIFETIME_S = 1,
  MIRROR_AGE_MAX_MS = 3000, /* an older copy is told to nobody */
  LOOKUP_ADDRESSES_MAX = 64 /* addresses that callers heed */
};

static const char metrics_path[] = "/metrics";

/* private functions */

static json_object *
addresses_in (const struct gateway *gateway, struct str region)
{
  const struct member *members[LOOKUP_ADDRESSES_MAX];
  size_t count
      = members_in (gateway->members, region, members, LOOKUP_ADDRESSES_MAX);
  json_object *list = json_object_new_array ();
  for (size_t i = 0; i < count; i++)
    json_object_array_add (list,
                           json_object_new_string (members[i]->callers.data));
  return list;
}

static enum MHD_Result
answer_lookup (struct gateway *gateway, struct MHD_Connection *connection)
{
  struct str region = httpd_argument (connection, "region");
  json_object *list = addresses_in (gateway, region);
  /* A region without entries is served by all others.  */
  if (json_object_array_length (list) == 0)
    {
      json_object_put (list);
      list = addresses_in (gateway, STR (""));
    }
  if (json_object_array_length (list) == 0 && !gateway->leaving)
    json_object_array_add (
        list, json_object_new_string (gateway->settings.listen.callers.data));
  json_object *object = json_object_new_object ();
  json_object_object_add (object, "addresses", list);
  double most = gateway->settings.lookup_most_s;
  json_object_object_add (object, "ttl_s",
                          most > 0 && most < LOOKUP_LIFETIME_S
                              ? json_object_new_double (most)
                              : json_object_new_int (LOOKUP_LIFETIME_S));
  return httpd_answer_json (connection, HTTP_OK, object);
}

static enum MHD_Result
answer_text (struct MHD_Connection *connection, unsigned int status,
             struct str text)
{
  struct MHD_Response *response = MHD_create_response_from_buffer (
      text.size, (void *)text.data, MHD_RESPMEM_MUST_COPY);
  MHD_add_response_header (response, "Content-Type", "text/plain");
  enum MHD_Result result = MHD_queue_response (connection, status, response);
  MHD_destroy_response (response);
  return result;
}

static enum MHD_Result
answer_metrics (struct gateway *gateway, struct MHD_Connection *connection)
{
  apr_pool_t *pool;
  apr_pool_create (&pool, gateway->pool);
  enum MHD_Result result = answer_text (
      connection, HTTP_OK, counters_render (gateway->counters, pool));
  apr_pool_destroy (pool);
  return result;
}

/* Tells an entry that can't reach the store what this one read there.  */
static enum MHD_Result
answer_mirror (struct gateway *gateway, struct MHD_Connection *connection)
{
  apr_pool_t *pool;
  if (store_sync_age (gateway->store_sync, timer_clock ())
      > TIMER_MS (MIRROR_AGE_MAX_MS))
    return answer_text (connection, HTTP_UNAVAILABLE, STR ("too old\n"));
  apr_pool_create (&pool, gateway->pool);
  enum MHD_Result result = answer_text (
      connection, HTTP_OK, platform_mirror_text (gateway->mirror, pool));
  apr_pool_destroy (pool);
  return result;
}

/* Tells an entry that leaves the reading to this one what has changed.  */
static enum MHD_Result
answer_changes (struct gateway *gateway, struct MHD_Connection *connection)
{
  apr_pool_t *pool;
  apr_pool_create (&pool, gateway->pool);
  struct str after = httpd_argument (connection, PLATFORM_CHANGES_AFTER);
  struct str text = platform_mirror_changes (
      gateway->mirror, apr_atoi64 (str_dup (pool, after).data),
      store_sync_age (gateway->store_sync, timer_clock ()), pool);
  enum MHD_Result result
      = text.size > 0 ? answer_text (connection, HTTP_OK, text)
                      : answer_text (connection, HTTP_GONE, STR ("gone\n"));
  apr_pool_destroy (pool);
  return result;
}

/* public functions */

bool
lookup_is_ready (const struct gateway *gateway)
{
  return !gateway->leaving && store_sync_plan (gateway->store_sync) != NULL
         && fleet_count (gateway->fleet) > 0;
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
               ? answer_text (connection, HTTP_OK, STR ("ready\n"))
               : answer_text (connection, HTTP_UNAVAILABLE,
                              STR ("not ready\n"));
  if (strcmp (url, PLATFORM_LOOKUP_PATH) == 0)
    return answer_lookup (gateway, connection);
  if (strcmp (url, PLATFORM_MIRROR_PATH) == 0)
    return answer_mirror (gateway, connection);
  if (strcmp (url, PLATFORM_CHANGES_PATH) == 0)
    return answer_changes (gateway, connection);
  if (strcmp (url, metrics_path) == 0)
    return answer_metrics (gateway, connection);
  return answer_text (connection, HTTP_NOT_FOUND, STR ("no such path\n"));
}
