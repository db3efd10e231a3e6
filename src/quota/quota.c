#include "quota/quota.h"

#include "base/random.h"
#include "quota/internal.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

/* constants */

#define MS(n) ((apr_time_t)(n) * (APR_USEC_PER_SEC / 1000))

/* private functions */

static uint64_t
hash_of (struct str text)
{
  uint64_t hash = XXH64 (text.data, text.size, 0);
  return hash > 0 ? hash : 1;
}

static struct quota_tenant *
find_by_name (const struct quota *quota, struct str name)
{
  return quota_find (quota, hash_of (name));
}

/* Returns whether this leaf may ask PEER.  */
static bool
is_region_hub (const struct quota *quota, const struct quota_peer *peer)
{
  return peer == quota->hub || peer == quota->region_hubs[0]
         || peer == quota->region_hubs[1];
}

/* Returns the peer at ADDRESS, which it creates at first; NULL if there are
   too many.  */
static struct quota_peer *
peer_at (struct quota *quota, struct str address)
{
  size_t unused = QUOTA_HUBS_MAX;
  for (size_t i = 0; i < quota->peer_count; i++)
    {
      if (str_equal (quota->peers[i]->address, address))
        return quota->peers[i];
      if (!quota->peers[i]->is_known && !quota->peers[i]->in_call
          && !is_region_hub (quota, quota->peers[i]))
        unused = i;
    }
  struct quota_peer *peer;
  if (quota->peer_count < QUOTA_HUBS_MAX)
    {
      peer = apr_palloc (quota->pool, sizeof *peer);
      quota->peers[quota->peer_count++] = peer;
    }
  else if (unused < QUOTA_HUBS_MAX)
    peer = quota->peers[unused];
  else
    return NULL;
  memset (peer, 0, sizeof *peer);
  peer->address = str_dup (quota->pool, address);
  peer->hash = hash_of (address);
  return peer;
}

static struct quota_peer *
find_peer (const struct quota *quota, struct str address)
{
  for (size_t i = 0; i < quota->peer_count; i++)
    if (str_equal (quota->peers[i]->address, address))
      return quota->peers[i];
  return NULL;
}

/* Sends what is due, as a hub and as a leaf.  */
static void
pump (struct quota *quota, apr_time_t now)
{
  if (!quota->is_limited)
    return;
  leaf_pump (quota, now);
  if (quota->is_hub)
    hub_pump (quota, now);
}

/* Applies REPLY of the hub of this leaf.  */
static void
handle_hub_reply (struct quota *quota, struct quota_peer *hub,
                  const struct quota_reply *reply, apr_time_t now)
{
  hub->is_down = !reply;
  for (size_t i = 0; reply && i < reply->count; i++)
    {
      const struct quota_grant *grant = &reply->grants[i];
      struct quota_tenant *tenant = quota_find (quota, grant->tenant);
      if (!tenant)
        continue;
      if (grant->hint_ms > 0)
        leaf_handle_shortage (tenant, grant->hint_ms, now);
      leaf_receive (quota, tenant, grant->tokens, now);
      leaf_end_waits (quota, tenant, now);
    }
}

/* Sets `entries' to the most that there were lately, COUNT now.  */
static void
count_entries (struct quota *quota, size_t count, apr_time_t now)
{
  size_t *peaks = quota->entries_peaks;
  if (now - quota->peak_began_at >= QUOTA_ENTRIES_KEPT_S * MS (1000) / 2)
    {
      quota->peak_began_at = now;
      peaks[1] = peaks[0];
      peaks[0] = 0;
    }
  if (count > peaks[0])
    peaks[0] = count;
  quota->entries = peaks[0] > peaks[1] ? peaks[0] : peaks[1];
  if (quota->entries == 0)
    quota->entries = 1;
}

/* Applies LIMIT to its tenant.  */
static void
set_limit (struct quota *quota, const struct quota_limit *limit,
           apr_time_t now)
{
  struct quota_tenant *tenant = find_by_name (quota, limit->name);
  if (!tenant && limit->rate <= 0)
    return;
  if (!tenant)
    {
      tenant = apr_pcalloc (quota->pool, sizeof *tenant);
      tenant->name = str_dup (quota->pool, limit->name);
      tenant->hash = hash_of (limit->name);
      apr_hash_set (quota->by_hash, &tenant->hash, sizeof tenant->hash,
                    tenant);
      APR_ARRAY_PUSH (quota->tenants, struct quota_tenant *) = tenant;
    }
  bool is_lower = limit->rate < tenant->rate || limit->burst < tenant->burst;
  tenant->is_set = true;
  tenant->rate = limit->rate;
  tenant->burst = limit->burst;
  /* What stands at hand was allowed by the higher limit.  */
  if (is_lower)
    {
      tenant->tokens = 0;
      tenant->surplus = 0;
      tenant->cache = 0;
      tenant->hub_surplus = 0;
      issuer_end (&tenant->issuer, now);
      issuer_end (&tenant->own, now);
    }
}

/* functions of the module */

struct quota_tenant *
quota_find (const struct quota *quota, uint64_t hash)
{
  return apr_hash_get (quota->by_hash, &hash, sizeof hash);
}

void
quota_send (struct quota *quota, struct quota_peer *peer,
            const struct quota_message *message, int64_t timeout_ms,
            apr_time_t now)
{
  apr_pool_t *pool;
  struct quota_message named = *message;
  named.sender = hash_of (quota->desc.name);
  apr_pool_create (&pool, quota->pool);
  peer->in_call = true;
  peer->sent_at = now;
  peer->sent_count = message->count;
  memcpy (peer->sent, message->wants,
          message->count * sizeof message->wants[0]);
  quota->stats.messages++;
  quota->desc.send (quota->desc.user_data, peer->address,
                    message_write (&named, pool), timeout_ms);
  apr_pool_destroy (pool);
}

/* public functions */

struct quota *
quota_create (apr_pool_t *pool, const struct quota_desc *desc, apr_time_t now)
{
  struct quota *quota = apr_pcalloc (pool, sizeof *quota);
  quota->desc = *desc;
  quota->pool = pool;
  quota->by_hash = apr_hash_make (pool);
  quota->tenants = apr_array_make (pool, 16, sizeof (struct quota_tenant *));
  quota->delegations = apr_hash_make (pool);
  quota->created_at = now;
  quota->ticked_at = now;
  quota->entries = 1;
  quota->own_hash = hash_of (desc->address);
  quota->hubs_hash = quota->own_hash;
  quota->random = desc->seed > 0 ? desc->seed : RANDOM_DEFAULT_SEED;
  return quota;
}

void
quota_destroy (struct quota *quota)
{
  for (int i = 0; quota && i < quota->tenants->nelts; i++)
    while (leaf_pop_waiter (
        APR_ARRAY_IDX (quota->tenants, i, struct quota_tenant *)))
      ;
}

void
quota_set_limits (struct quota *quota, const struct quota_limit *limits,
                  size_t count, apr_time_t now)
{
  for (int i = 0; i < quota->tenants->nelts; i++)
    APR_ARRAY_IDX (quota->tenants, i, struct quota_tenant *)->is_set = false;
  for (size_t i = 0; i < count; i++)
    set_limit (quota, &limits[i], now);
  quota->is_limited = false;
  for (int i = 0; i < quota->tenants->nelts; i++)
    {
      struct quota_tenant *tenant
          = APR_ARRAY_IDX (quota->tenants, i, struct quota_tenant *);
      if (!tenant->is_set)
        tenant->rate = 0;
      quota->is_limited |= tenant->rate > 0;
      if (tenant->rate <= 0)
        leaf_receive (quota, tenant, tenant->waiting + tenant->debt, now);
    }
}

void
quota_set_members (struct quota *quota, const struct quota_members *members,
                   apr_time_t now)
{
  count_entries (quota, members->entries, now);
  /* What this entry delegated in its former role is not back yet.  */
  if (members->is_hub != quota->is_hub)
    {
      leaf_reclaim (quota, now);
      quota->hub = NULL;
    }
  quota->is_hub = members->is_hub;
  for (size_t i = 0; i < quota->peer_count; i++)
    quota->peers[i]->is_known = false;
  quota->region_hub_count = 0;
  for (size_t i = 0; !members->is_hub && i < members->region_hub_count; i++)
    {
      struct quota_peer *peer = peer_at (quota, members->region_hubs[i]);
      if (peer)
        quota->region_hubs[quota->region_hub_count++] = peer;
    }
  quota->hub_count = 1;
  for (size_t i = 0; members->is_hub && i < members->other_hub_count; i++)
    {
      struct quota_peer *peer = peer_at (quota, members->other_hubs[i]);
      if (!peer)
        break;
      peer->is_known = true;
      quota->hub_count++;
    }
  hub_check_members (quota, now);
}

enum quota_verdict
quota_take (struct quota *quota, struct str name, void *waiter, apr_time_t now,
            apr_time_t *retry_after)
{
  struct quota_tenant *tenant = find_by_name (quota, name);
  if (!tenant || tenant->rate <= 0)
    return QUOTA_TAKEN;
  if ((tenant->waiting == 0 && tenant->tokens > 0)
      || leaf_try_locally (quota, tenant, now))
    {
      tenant->tokens--;
      quota->stats.taken++;
      return QUOTA_TAKEN;
    }
  if (now < tenant->empty_until
      && tenant->waiting >= leaf_waiting_max (tenant, now))
    {
      quota->stats.refused++;
      *retry_after = tenant->fits_after;
      return QUOTA_REFUSED;
    }
  struct waiter *entry = malloc (sizeof *entry);
  if (!entry)
    abort ();
  *entry = (struct waiter){ .request = waiter, .since = now };
  if (tenant->last_waiter)
    tenant->last_waiter->next = entry;
  else
    tenant->first_waiter = entry;
  tenant->last_waiter = entry;
  tenant->waiting++;
  quota->stats.waited++;
  /* As a hub this sends to the root only; what it grants comes later.  */
  if (quota->is_hub)
    hub_pump (quota, now);
  else if (quota->hub)
    leaf_pump (quota, now);
  return QUOTA_WAIT;
}

void
quota_cancel_wait (struct quota *quota, struct str name, void *waiter)
{
  struct quota_tenant *tenant = find_by_name (quota, name);
  struct waiter *previous = NULL;
  for (struct waiter *entry = tenant ? tenant->first_waiter : NULL; entry;
       previous = entry, entry = entry->next)
    {
      if (entry->request != waiter)
        continue;
      if (previous)
        previous->next = entry->next;
      else
        tenant->first_waiter = entry->next;
      if (tenant->last_waiter == entry)
        tenant->last_waiter = previous;
      tenant->waiting--;
      if (tenant->announced > tenant->waiting)
        tenant->announced = tenant->waiting;
      free (entry);
      return;
    }
}

void
quota_give_back (struct quota *quota, struct str name, apr_time_t now)
{
  (void)now;
  struct quota_tenant *tenant = find_by_name (quota, name);
  if (!tenant || tenant->rate <= 0)
    return;
  if (tenant->debt > 0)
    {
      tenant->debt--;
      return;
    }
  /* A request that waits gets it with the next reply or tick.  */
  if (tenant->tokens < issuer_leaf_max (quota, tenant))
    tenant->tokens++;
  else
    tenant->surplus++;
}

void
quota_charge (struct quota *quota, struct str name, apr_time_t now)
{
  (void)now;
  struct quota_tenant *tenant = find_by_name (quota, name);
  if (!tenant || tenant->rate <= 0)
    return;
  if (tenant->tokens > 0)
    tenant->tokens--;
  else
    tenant->debt++;
}

void
quota_tick (struct quota *quota, apr_time_t now)
{
  /* After a pause, messages from before it are read as if they came now.  */
  if (now - quota->ticked_at > MS (QUOTA_PAUSE_MS))
    quota->ignore_delegations_until = now + MS (QUOTA_HUB_TIMEOUT_MS);
  quota->ticked_at = now;
  if (!quota->is_limited)
    return;
  hub_update (quota, now);
  for (int i = 0; i < quota->tenants->nelts; i++)
    {
      struct quota_tenant *tenant
          = APR_ARRAY_IDX (quota->tenants, i, struct quota_tenant *);
      if (tenant->first_waiter && tenant->tokens > 0)
        leaf_receive (quota, tenant, 0, now);
    }
  pump (quota, now);
  for (int i = 0; i < quota->tenants->nelts; i++)
    leaf_end_waits (
        quota, APR_ARRAY_IDX (quota->tenants, i, struct quota_tenant *), now);
}

struct str
quota_handle (struct quota *quota, struct str text, apr_time_t now,
              apr_pool_t *pool)
{
  struct quota_message message;
  struct quota_reply reply = { .count = 0 };
  if (!message_read (text, &message))
    {
      quota->stats.malformed_messages++;
      return STR ("");
    }
  if (!quota->is_hub)
    return STR ("");
  hub_accept (quota, &message, now);
  for (size_t i = 0; i < message.count; i++)
    {
      const struct quota_want *want = &message.wants[i];
      struct quota_tenant *tenant = quota_find (quota, want->tenant);
      struct quota_grant grant = { .tenant = want->tenant };
      /* The sender knows a configuration that this entry doesn't know yet.  */
      if (!tenant || tenant->rate <= 0)
        grant.hint_ms = want->need > 0 ? QUOTA_MAX_WAIT_MS : 0;
      else
        grant.tokens
            = message.hubs == 0
                  ? hub_grant (quota, tenant, want, now, &grant.hint_ms)
                  : hub_grant_to_hub (quota, tenant, want, now,
                                      &grant.hint_ms);
      if (grant.tokens >= want->need)
        grant.hint_ms = 0;
      reply.grants[reply.count++] = grant;
    }
  hub_pump (quota, now);
  return reply_write (&reply, pool);
}

void
quota_handle_reply (struct quota *quota, struct str address, struct str text,
                    apr_time_t now)
{
  struct quota_reply reply;
  struct quota_peer *peer = find_peer (quota, address);
  if (!peer || !peer->in_call)
    return;
  bool has_failed = text.size == 0 || !reply_read (text, &reply);
  peer->in_call = false;
  peer->failures = has_failed ? peer->failures + 1 : 0;
  quota->stats.failed_messages += has_failed;
  if (!has_failed)
    peer->rtt = now - peer->sent_at;
  /* As a hub this entry sends to hubs only.  */
  if (quota->is_hub)
    hub_handle_reply (quota, peer, has_failed ? NULL : &reply, now);
  else
    handle_hub_reply (quota, peer, has_failed ? NULL : &reply, now);
  /* A failure may be reported from within the sending.  */
  if (!has_failed)
    pump (quota, now);
}

struct quota_stats
quota_stats (const struct quota *quota)
{
  return quota->stats;
}
