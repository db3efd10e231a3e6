/* Upstreams that are cold, or that may have started again: what begins a
   doubt, and how many requests they get.  */
#include "gateway/internal.h"

#include "balance/cold_quota.h"

#include <math.h>

/* constants */

enum
{
  /* An upstream writes its record when it starts, and a heartbeat or two may
     pass before a copy of the store has it.  */
  RECORD_LAG_S = 3
};

/* private functions */

static const struct plan_service *
planned_service (const struct gateway *gateway, struct str name)
{
  const struct plan *plan = store_sync_plan (gateway->store_sync);
  return plan ? plan_service (plan, name) : NULL;
}

static struct str
health_path (void *user_data, struct str name)
{
  const struct plan_service *service = planned_service (user_data, name);
  return service ? service->health_path : STR ("");
}

static void
on_lapsed_left (void *user_data, struct fleet_upstream *upstream)
{
  struct gateway *gateway = user_data;
  if (fleet_end_lapse (gateway->fleet, upstream, timer_clock ()))
    gateway->upstreams_changed = true;
}

/* The upstream of a check is gone, and may return as a new process: the other
   entries have to know that before it does.  */
static void
on_upstream_gone (void *user_data, struct fleet_upstream *upstream)
{
  struct gateway *gateway = user_data;
  if (upstream->doubt.since > 0)
    reachability_report_doubt (gateway->reachability, upstream,
                               upstream->doubt.since);
  on_lapsed_left (gateway, upstream);
}

static void
on_check_answered (void *user_data, struct fleet_upstream *upstream,
                   apr_time_t as_of, apr_time_t cold_left)
{
  struct gateway *gateway = user_data;
  apr_time_t now = timer_clock ();
  apr_time_t since = upstream->doubt.since;
  if (!fleet_settle (upstream, as_of, cold_left))
    return;
  gateway->upstreams_changed = true;
  reachability_report_settled (gateway->reachability, upstream, as_of,
                               cold_left);
  if (gateway_allow_log_line (gateway))
    LOG (LOG_INFO, "upstream-settled",
         LOG_TEXT ("upstream", upstream->id.data),
         LOG_INT ("born", upstream->incarnation),
         LOG_INT ("cold_ms", cold_left / 1000),
         LOG_INT ("after_ms", since ? (now - since) / 1000 : -1));
}

/* Returns how the requests that a cold upstream of the service NAME may get
   are divided.  */
static struct cold_quota
service_quota (const struct gateway *gateway, struct str name)
{
  const struct plan_service *planned = planned_service (gateway, name);
  const struct gateway_cold *cold = &gateway->settings.cold;
  double max
      = (planned ? planned->cold_rate : 0) * cold->multiplier + cold->slack;
  return cold_quota_divide (max, registry_cold_count (gateway->registry));
}

/* Returns whether this entry is one of QUOTA's senders for UPSTREAM.  */
static bool
is_sender (const struct gateway *gateway, struct fleet_upstream *upstream,
           const struct cold_quota *quota)
{
  uint64_t version = registry_version (gateway->registry);
  if (upstream->rank_version != version)
    {
      upstream->rank_version = version;
      upstream->rank = registry_cold_rank (gateway->registry, upstream->hash,
                                           upstream->region);
    }
  return upstream->rank < quota->senders;
}

static bool
asks_often (void *user_data, struct fleet_upstream *upstream)
{
  struct cold_quota quota = service_quota (user_data, upstream->service);
  return upstream->is_unseen || is_sender (user_data, upstream, &quota);
}

/* Updates the quota of UPSTREAM from that of its service, and asks it what it
   is if it is in doubt and this entry sends to it.  */
static void
update_quota (struct gateway *gateway, struct fleet_upstream *upstream,
              const struct cold_quota *quota, apr_time_t now)
{
  if (!fleet_is_cold (upstream, now))
    {
      upstream->cold_quota = 0;
      return;
    }
  bool may_send = is_sender (gateway, upstream, quota);
  if (may_send && upstream->cold_quota == 0
      && gateway_allow_log_line (gateway))
    LOG (LOG_INFO, "cold-quota", LOG_TEXT ("upstream", upstream->id.data),
         LOG_INT ("born", upstream->incarnation),
         LOG_INT ("per_s", quota->per_sender),
         LOG_INT ("senders", (int64_t)quota->senders),
         LOG_INT ("entries", (int64_t)registry_count (gateway->registry)));
  upstream->cold_quota = may_send ? quota->per_sender : 0;
  if ((may_send || upstream->is_unseen) && upstream->doubt.since > 0)
    verify_upstream (gateway->verify, upstream);
}

/* functions of the module */

void
cold_create_checks (struct gateway *gateway)
{
  struct verify_desc desc = { .loop = gateway->loop,
                              .client = gateway->client,
                              .counters = gateway->counters,
                              .health_path = health_path,
                              .asks_often = asks_often,
                              .gone = on_upstream_gone,
                              .answered = on_check_answered,
                              .user_data = gateway };
  gateway->doubts = counter_get (
      gateway->counters, "citroncleat_upstream_doubts_total", "",
      "Upstreams that may have started again, as this entry saw itself.");
  gateway->verify = verify_create (gateway->pool, &desc);
  struct lapse_checks_desc lapse_checks = { .loop = gateway->loop,
                                            .client = gateway->client,
                                            .counters = gateway->counters,
                                            .fleet = gateway->fleet,
                                            .seed = gateway->random_state,
                                            .health_path = health_path,
                                            .left = on_lapsed_left,
                                            .user_data = gateway };
  gateway->lapse_checks = lapse_checks_create (gateway->pool, &lapse_checks);
}

double
cold_usable_slots (const struct gateway *gateway,
                   const struct service_state *service)
{
  struct cold_quota quota = service_quota (gateway, service->name);
  return service->uncached_us > 0
             ? (double)quota.senders * (double)quota.per_sender
                   * service->uncached_us / APR_USEC_PER_SEC
             : HUGE_VAL;
}

void
cold_update_quotas (struct gateway *gateway,
                    const struct service_state *service,
                    const struct fleet_service *upstreams, apr_time_t now)
{
  struct cold_quota quota = service_quota (gateway, service->name);
  for (size_t g = 0; upstreams && g < upstreams->group_count; g++)
    for (size_t i = 0; i < upstreams->groups[g]->count; i++)
      update_quota (gateway, upstreams->groups[g]->members[i].upstream, &quota,
                    now);
}

bool
cold_doubt_upstream (struct gateway *gateway, struct fleet_upstream *upstream,
                     struct str request_id, bool was_reached,
                     const char *reason)
{
  const struct plan_service *service
      = planned_service (gateway, upstream->service);
  apr_time_t now = timer_clock ();
  if (!service || upstream->removed || service->cold_time == 0)
    return false;
  bool can_be_asked = service->health_path.size > 0;
  if ((was_reached && !can_be_asked)
      || !fleet_doubt (gateway->fleet, upstream, now))
    return false;
  if (!can_be_asked)
    upstream->doubt.ends_at = now + service->cold_time;
  counter_add (gateway->doubts, 1);
  if (gateway_allow_log_line (gateway))
    LOG (LOG_INFO, "upstream-doubted", LOG_TEXT ("id", request_id.data),
         LOG_TEXT ("upstream", upstream->id.data),
         LOG_INT ("born", upstream->incarnation), LOG_TEXT ("reason", reason));
  verify_upstream (gateway->verify, upstream);
  return true;
}

void
cold_check_connections (struct gateway *gateway)
{
  struct str address;
  while ((address = connections_lost (gateway->connections)).size > 0)
    {
      struct fleet_upstream *upstream
          = fleet_find_by_address (gateway->fleet, address);
      /* One that leaves closes its connections.  */
      if (upstream && !upstream->leaving && !upstream->says_leaving)
        cold_doubt_upstream (gateway, upstream, STR (""), true,
                             "it closed an idle connection early");
    }
}

void
cold_check_first_send (struct gateway *gateway,
                       struct fleet_upstream *upstream, struct str request_id,
                       apr_time_t now)
{
  apr_time_t lag = TIMER_SEC (RECORD_LAG_S);
  if (now - gateway->listed_at >= lag
      || load_sends_since (&upstream->load, now - lag) > 1
      || !cold_doubt_upstream (gateway, upstream, request_id, true,
                               "this entry has just started"))
    return;
  /* What the record doesn't show by then was not so when it was listed.  */
  upstream->doubt.ends_at = now + lag;
}
