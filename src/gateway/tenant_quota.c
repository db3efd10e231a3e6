/* Quotas of tenants: connects quota/quota.h with the entries, the
   configuration and the requests.  */
#include "gateway/internal.h"

#include <stdlib.h>

/* constants */

enum
{
  HTTP_OK = 200,
  HTTP_TOO_MANY_REQUESTS = 429,
  RESPONSE_MAX_BYTES = 64 * 1024,
  HUBS_MAX = 128 /* two in each of 64 regions */
};

const char tenant_quota_path[] = "/quota";
const char tenant_quota_message[] = "message";

/* types */

/* A message whose reply is awaited.  */
struct quota_call
{
  struct gateway *gateway;
  struct str address;
  apr_pool_t *pool;
};

/* private functions */

static void
free_call (void *user_data)
{
  struct quota_call *call = user_data;
  apr_pool_destroy (call->pool);
}

static void
on_reply (void *user_data, const struct http_response *response)
{
  struct quota_call *call = user_data;
  quota_handle_reply (call->gateway->quota, call->address,
                      response->status == HTTP_OK ? response->body : STR (""),
                      timer_clock ());
  free_call (call);
}

static void
on_send (void *user_data, struct str address, struct str text,
         int64_t timeout_ms)
{
  struct gateway *gateway = user_data;
  apr_pool_t *pool;
  apr_pool_create (&pool, gateway->pool);
  struct quota_call *call = apr_palloc (pool, sizeof *call);
  *call = (struct quota_call){ gateway, str_dup (pool, address), pool };
  struct http_request request
      = { .url = str_format (pool, "http://%s%s?%s=%.*s", call->address.data,
                             tenant_quota_path, tenant_quota_message,
                             STR_ARGS (text)),
          .timeout_ms = timeout_ms,
          .max_response_bytes = RESPONSE_MAX_BYTES,
          .free_user_data = free_call };
  http_client_send (gateway->client, &request, on_reply, call);
}

static void
on_granted (void *user_data, void *waiter)
{
  (void)user_data;
  struct request *request = waiter;
  request->awaits_quota = false;
  request->has_token = true;
  dispatch_admit (request);
}

static void
refuse (struct request *request, apr_time_t retry_after)
{
  struct gateway *gateway = request->gateway;
  struct str tenant = request->tenant->name;
  counter_add (counter_get (gateway->counters,
                            "citroncleat_quota_refusals_total",
                            str_format (request->pool, "tenant=\"%.*s\"",
                                        STR_ARGS (tenant)),
                            "Requests refused beyond a tenant's quota."),
               1);
  request->retry_after = retry_after;
  request_refuse (request, HTTP_TOO_MANY_REQUESTS,
                  "the quota of the tenant is used up");
}

static void
on_refused (void *user_data, void *waiter, apr_time_t retry_after)
{
  (void)user_data;
  struct request *request = waiter;
  request->awaits_quota = false;
  refuse (request, retry_after);
}

static void
update_members (struct gateway *gateway, apr_time_t now)
{
  struct str hubs[HUBS_MAX];
  const struct registry *registry = gateway->registry;
  struct quota_members members
      = { .entries = registry_cold_count (registry), .other_hubs = hubs };
  for (size_t i = 0; i < REGISTRY_READERS; i++)
    {
      struct str address = registry_reader_address (registry, i);
      if (address.size > 0)
        members.region_hubs[members.region_hub_count++] = address;
    }
  members.is_hub = members.region_hub_count == 0;
  if (members.is_hub)
    members.other_hub_count
        = registry_reader_addresses (registry, hubs, HUBS_MAX);
  quota_set_members (gateway->quota, &members, now);
}

static void
on_tick (void *user_data, apr_time_t now)
{
  struct gateway *gateway = user_data;
  /* A plan may come into force without a change of the store, once what was
     listed at the start is known to be current.  */
  tenant_quota_update (gateway);
  update_members (gateway, now);
  quota_tick (gateway->quota, now);
  struct quota_stats stats = quota_stats (gateway->quota);
  counter_set (gateway->quota_self_issued, stats.self_issued);
  counter_set (gateway->quota_failed_messages,
               stats.failed_messages + stats.malformed_messages);
  timer_start (loop_timers (gateway->loop), &gateway->quota_timer,
               now + TIMER_MS (QUOTA_TICK_MS), on_tick, gateway);
}

/* functions of the module */

void
tenant_quota_create (struct gateway *gateway)
{
  const struct gateway_quota *settings = &gateway->settings.quota;
  apr_time_t now = timer_clock ();
  struct quota_desc desc
      = { .name = gateway->settings.name,
          .address = gateway->settings.listen.metrics,
          .window = (apr_time_t)(settings->window_s * APR_USEC_PER_SEC),
          .overage = settings->overage,
          .slack = settings->slack,
          .seed = gateway->random_state,
          .send = on_send,
          .granted = on_granted,
          .refused = on_refused,
          .user_data = gateway };
  if (settings->window_s <= 0)
    return;
  gateway->quota = quota_create (gateway->pool, &desc, now);
  gateway->quota_plan_version = -1;
  gateway->quota_self_issued = gauge_get (
      gateway->counters, "citroncleat_quota_self_issued", "",
      "Requests allowed from this entry's own share of a quota, since it "
      "reached no entry that grants tokens; since the start.");
  gateway->quota_failed_messages = gauge_get (
      gateway->counters, "citroncleat_quota_failed_messages", "",
      "Messages on quotas that had no reply or could not be read, since the "
      "start.");
  on_tick (gateway, now);
}

void
tenant_quota_update (struct gateway *gateway)
{
  struct plan *plan = store_sync_plan (gateway->store_sync);
  const struct tenant_table *tenants = plan ? plan_tenants (plan) : NULL;
  if (!gateway->quota || !plan
      || plan_version (plan) == gateway->quota_plan_version)
    return;
  gateway->quota_plan_version = plan_version (plan);
  size_t count = tenants ? tenant_table_count (tenants) : 0;
  struct quota_limit *limits = calloc (count + 1, sizeof *limits);
  if (!limits)
    abort ();
  for (size_t i = 0; i < count; i++)
    {
      const struct tenant *tenant = tenant_table_get (tenants, i);
      limits[i]
          = (struct quota_limit){ tenant->name, tenant->rate, tenant->burst };
    }
  /* With limits but without the other entries this one would have the whole
     quota as its share.  */
  update_members (gateway, timer_clock ());
  quota_set_limits (gateway->quota, limits, count, timer_clock ());
  free (limits);
}

bool
tenant_quota_allows (struct request *request)
{
  struct gateway *gateway = request->gateway;
  apr_time_t retry_after = 0;
  if (!gateway->quota || !request->tenant || request->has_token)
    return true;
  tenant_quota_update (gateway);
  switch (quota_take (gateway->quota, request->tenant->name, request,
                      timer_clock (), &retry_after))
    {
    case QUOTA_TAKEN:
      request->has_token = true;
      return true;
    case QUOTA_WAIT:
      /* It may have been granted within the call.  */
      request->awaits_quota = !request->has_token;
      return false;
    case QUOTA_REFUSED:
      break;
    }
  refuse (request, retry_after);
  return false;
}

void
tenant_quota_charge (struct request *request)
{
  if (request->has_token && request->run_count > 0)
    quota_charge (request->gateway->quota, request->tenant->name,
                  timer_clock ());
}

void
tenant_quota_cancel (struct request *request)
{
  if (!request->awaits_quota)
    return;
  request->awaits_quota = false;
  quota_cancel_wait (request->gateway->quota, request->tenant->name, request);
}

void
tenant_quota_end (struct request *request)
{
  tenant_quota_cancel (request);
  bool ran = request->may_have_run || request->run_count > 0
             || request->outcome == REQUEST_SERVED;
  /* Of a request that its caller has left it isn't known any more.  */
  if (request->has_token && !ran
      && (request->send_count == 0 || request->outcome == REQUEST_REFUSED))
    quota_give_back (request->gateway->quota, request->tenant->name,
                     timer_clock ());
  request->has_token = false;
}
