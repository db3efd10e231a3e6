#include "quota/internal.h"

#include "base/random.h"

#include <math.h>
#include <stdlib.h>

/* constants */

#define MS(n) ((apr_time_t)(n) * (APR_USEC_PER_SEC / 1000))

/* For which tokens count as received lately: several times as long as an entry
   waits between two wants.  */
static const double grants_decay_us = 500000.0;

/* private functions */

/* Returns the hub to ask: the one that has the share, as long as it replies,
   else the preferred one of the region that does; or NULL.  */
static struct quota_peer *
usable_hub (const struct quota *quota)
{
  struct quota_peer *found = NULL;
  for (size_t i = quota->region_hub_count; i-- > 0;)
    if (!quota->region_hubs[i]->is_down
        && (!found || found != quota->hub
            || quota->region_hubs[i] == quota->hub))
      found = quota->region_hubs[i];
  return found;
}

/* Returns the tokens received in about the last GRANTS_DECAY_US.  */
static double
recent_grants (const struct quota_tenant *tenant, apr_time_t now)
{
  return tenant->grants
         * exp (-(double)(now - tenant->grants_at) / grants_decay_us);
}

/* Returns a Retry-After of WAIT and up to half of it, so that callers don't
   return at the same moment.  */
static apr_time_t
spread_wait (struct quota *quota, apr_time_t wait)
{
  double fraction
      = (double)(random_next (&quota->random) >> 11) / (double)(1ULL << 53);
  return wait + (apr_time_t)((double)wait * fraction / 2);
}

/* Refuses the request that waits longest.  */
static void
refuse_waiter (struct quota *quota, struct quota_tenant *tenant,
               apr_time_t wait)
{
  quota->stats.refused++;
  quota->desc.refused (quota->desc.user_data, leaf_pop_waiter (tenant),
                       spread_wait (quota, wait));
}

/* Meets WANT without a message: as a hub, or from the own share.  */
static void
meet_locally (struct quota *quota, struct quota_tenant *tenant,
              const struct quota_want *want, apr_time_t now)
{
  int64_t hint_ms = 0;
  int64_t granted = 0;
  if (quota->is_hub)
    granted = hub_grant (quota, tenant, want, now, &hint_ms);
  else if (now < quota->delegate_after)
    hint_ms = (quota->delegate_after - now) / (APR_USEC_PER_SEC / 1000);
  else
    granted
        = issuer_grant (quota, tenant, &tenant->own, leaf_share (quota, now),
                        want->need, 0, now, &hint_ms);
  if (!quota->is_hub)
    quota->stats.self_issued += granted;
  if (granted < want->need)
    leaf_handle_shortage (tenant, hint_ms, now);
  leaf_receive (quota, tenant, granted, now);
}

/* Adds to MESSAGE what this entry wants, of the tenants with needs or of the
   others.  */
static void
collect_wants (struct quota *quota, struct quota_message *message,
               bool with_needs, apr_time_t now)
{
  for (int i = 0;
       i < quota->tenants->nelts && message->count < QUOTA_ITEMS_MAX; i++)
    {
      struct quota_tenant *tenant
          = APR_ARRAY_IDX (quota->tenants, i, struct quota_tenant *);
      struct quota_want want = leaf_want (quota, tenant, now);
      issuer_end (&tenant->own, now);
      if ((want.need > 0) != with_needs
          || (want.need == 0 && want.more == 0 && want.surplus == 0))
        continue;
      tenant->surplus = 0;
      tenant->announced = tenant->waiting;
      message->wants[message->count++] = want;
    }
}

/* Sends the wants of this entry to HUB, with its share.  */
static void
send_wants (struct quota *quota, struct quota_peer *hub, apr_time_t now)
{
  struct quota_message message = { .share = leaf_share (quota, now) };
  collect_wants (quota, &message, true, now);
  collect_wants (quota, &message, false, now);
  if (message.share > 0)
    quota->delegated_at = now;
  quota_send (quota, hub, &message, QUOTA_LEAF_TIMEOUT_MS, now);
}

static bool
has_needs (struct quota *quota, apr_time_t now)
{
  for (int i = 0; i < quota->tenants->nelts; i++)
    if (leaf_want (quota,
                   APR_ARRAY_IDX (quota->tenants, i, struct quota_tenant *),
                   now)
            .need
        > 0)
      return true;
  return false;
}

/* functions of the module */

void *
leaf_pop_waiter (struct quota_tenant *tenant)
{
  struct waiter *waiter = tenant->first_waiter;
  if (!waiter)
    return NULL;
  void *request = waiter->request;
  tenant->first_waiter = waiter->next;
  if (!tenant->first_waiter)
    tenant->last_waiter = NULL;
  tenant->waiting--;
  if (tenant->announced > tenant->waiting)
    tenant->announced = tenant->waiting;
  free (waiter);
  return request;
}

void
leaf_receive (struct quota *quota, struct quota_tenant *tenant, int64_t count,
              apr_time_t now)
{
  tenant->grants = recent_grants (tenant, now) + (double)count;
  tenant->grants_at = now;
  int64_t paid = count < tenant->debt ? count : tenant->debt;
  tenant->debt -= paid;
  tenant->tokens += count - paid;
  while (tenant->tokens > 0 && tenant->first_waiter)
    {
      tenant->tokens--;
      quota->stats.taken++;
      quota->desc.granted (quota->desc.user_data, leaf_pop_waiter (tenant));
    }
  int64_t max = issuer_leaf_max (quota, tenant);
  if (tenant->tokens > max)
    {
      tenant->surplus += tenant->tokens - max;
      tenant->tokens = max;
    }
}

struct quota_want
leaf_want (struct quota *quota, struct quota_tenant *tenant, apr_time_t now)
{
  struct quota_want want
      = { .tenant = tenant->hash, .surplus = tenant->surplus };
  if (tenant->rate <= 0)
    return want;
  /* Before it is time to ask again, only what has come since; the hub passes
     it on to the root.  */
  if (now >= tenant->ask_at)
    want.need = tenant->waiting + tenant->debt;
  else if (now >= tenant->empty_until)
    want.need = tenant->waiting - tenant->announced;
  int64_t max = issuer_leaf_max (quota, tenant);
  /* Only a tenant whose requests come here has tokens kept.  */
  if (want.need > 0 || (tenant->tokens > 0 && 2 * tenant->tokens <= max))
    want.more = max > tenant->tokens ? max - tenant->tokens : 0;
  return want;
}

void
leaf_handle_shortage (struct quota_tenant *tenant, int64_t hint_ms,
                      apr_time_t now)
{
  apr_time_t ask_at
      = now + MS (hint_ms > QUOTA_MIN_HINT_MS ? hint_ms : QUOTA_MIN_HINT_MS);
  if (tenant->ask_at <= now || ask_at < tenant->ask_at)
    tenant->ask_at = ask_at;
  if (hint_ms <= QUOTA_MAX_WAIT_MS)
    return;
  tenant->fits_after = MS (hint_ms);
  tenant->ask_at = now + MS (QUOTA_EMPTY_MS);
  tenant->empty_until = now + MS (QUOTA_MAX_WAIT_MS);
}

int64_t
leaf_waiting_max (const struct quota_tenant *tenant, apr_time_t now)
{
  return 1
         + (int64_t)(recent_grants (tenant, now) * MS (QUOTA_MAX_WAIT_MS)
                     / grants_decay_us);
}

void
leaf_end_waits (struct quota *quota, struct quota_tenant *tenant,
                apr_time_t now)
{
  bool is_empty = now < tenant->empty_until;
  int64_t max = leaf_waiting_max (tenant, now);
  while (is_empty && tenant->waiting > max)
    refuse_waiter (quota, tenant, tenant->fits_after);
  while (tenant->first_waiter
         && now - tenant->first_waiter->since >= MS (QUOTA_MAX_WAIT_MS))
    refuse_waiter (quota, tenant,
                   is_empty ? tenant->fits_after : MS (QUOTA_MAX_WAIT_MS));
}

static bool
is_joining (const struct quota *quota, apr_time_t now)
{
  return now - quota->created_at < MS (QUOTA_JOINING_MS);
}

void
leaf_reclaim (struct quota *quota, apr_time_t now)
{
  if (quota->delegated_at > 0 && !is_joining (quota, now))
    quota->delegate_after = quota->delegated_at + MS (QUOTA_RECLAIM_MS);
  quota->delegated_at = 0;
}

int64_t
leaf_share (const struct quota *quota, apr_time_t now)
{
  if (now < quota->delegate_after)
    return 0;
  return is_joining (quota, now) ? QUOTA_JOINING_SHARE : QUOTA_SHARE;
}

/* Asks hubs that failed whether they are back, without a share.  */
static void
probe_hubs (struct quota *quota, apr_time_t now)
{
  struct quota_message message = { 0 };
  for (size_t i = 0; i < quota->region_hub_count; i++)
    {
      struct quota_peer *hub = quota->region_hubs[i];
      if (hub->is_down && !hub->in_call
          && now - hub->sent_at >= MS (QUOTA_PROBE_MS))
        quota_send (quota, hub, &message, QUOTA_LEAF_TIMEOUT_MS, now);
    }
}

bool
leaf_try_locally (struct quota *quota, struct quota_tenant *tenant,
                  apr_time_t now)
{
  struct quota_want want = { .tenant = tenant->hash, .need = 1 };
  if (tenant->waiting > 0 || now < tenant->ask_at
      || (!quota->is_hub && usable_hub (quota)))
    return false;
  meet_locally (quota, tenant, &want, now);
  return tenant->tokens > 0;
}

void
leaf_pump (struct quota *quota, apr_time_t now)
{
  struct quota_peer *hub = quota->is_hub ? NULL : usable_hub (quota);
  if (!quota->is_hub)
    {
      if (hub != quota->hub)
        leaf_reclaim (quota, now);
      quota->hub = hub;
      probe_hubs (quota, now);
    }
  if (hub)
    {
      if (!hub->in_call
          && (now - hub->sent_at >= MS (QUOTA_PERIOD_MS)
              || has_needs (quota, now)))
        send_wants (quota, hub, now);
      return;
    }
  for (int i = 0; i < quota->tenants->nelts; i++)
    {
      struct quota_tenant *tenant
          = APR_ARRAY_IDX (quota->tenants, i, struct quota_tenant *);
      struct quota_want want = leaf_want (quota, tenant, now);
      tenant->surplus = 0;
      if (want.need > 0 || want.more > 0 || want.surplus > 0)
        meet_locally (quota, tenant, &want, now);
    }
}
