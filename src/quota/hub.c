#include "quota/internal.h"

#include "base/hash.h"

/* constants */

#define MS(n) ((apr_time_t)(n) * (APR_USEC_PER_SEC / 1000))

enum
{
  /* A single lost message doesn't change which hubs are in use, since shares
     rest for a while after each change.  */
  FAILURES_MAX = 2,
  /* Round trip to a root before the first reply.  */
  INITIAL_RTT_MS = 120,
  /* After which tokens that the root granted and no leaf came back for are
     given back.  */
  UNCLAIMED_MS = 300
};

/* private functions */

static bool
is_usable (const struct quota_peer *peer)
{
  return peer->is_known && !peer->is_down;
}

/* Returns what this hub wants of the root of TENANT.  */
static struct quota_want
root_want (const struct quota *quota, struct quota_tenant *tenant,
           apr_time_t now)
{
  int64_t max = issuer_hub_max (quota, tenant);
  if (tenant->cache > max && now - tenant->granted_at > MS (UNCLAIMED_MS))
    {
      tenant->hub_surplus += tenant->cache - max;
      tenant->cache = max;
    }
  struct quota_want want
      = { .tenant = tenant->hash, .surplus = tenant->hub_surplus };
  if (tenant->rate <= 0 || now < tenant->ask_root_at)
    return want;
  want.need = tenant->shortage;
  if (tenant->used_at > 0 && now - tenant->used_at < QUOTA_USED_S * MS (1000)
      && tenant->cache < max)
    want.more = max - tenant->cache;
  return want;
}

/* Adds to MESSAGE what is wanted of ROOT, of the tenants with needs or of the
   others.  Returns whether something is needed at once.  */
static bool
collect_wants (struct quota *quota, const struct quota_peer *root,
               struct quota_message *message, bool with_needs, apr_time_t now)
{
  bool is_urgent = false;
  for (int i = 0;
       i < quota->tenants->nelts && message->count < QUOTA_ITEMS_MAX; i++)
    {
      struct quota_tenant *tenant
          = APR_ARRAY_IDX (quota->tenants, i, struct quota_tenant *);
      struct quota_peer *its_root;
      if (hub_is_root (quota, tenant, &its_root) || its_root != root)
        continue;
      struct quota_want want = root_want (quota, tenant, now);
      if ((want.need > 0) != with_needs
          || (want.need == 0 && want.more == 0 && want.surplus == 0))
        continue;
      is_urgent |= want.need > 0;
      message->wants[message->count++] = want;
    }
  return is_urgent;
}

static void
send_to_hub (struct quota *quota, struct quota_peer *peer, apr_time_t now)
{
  struct quota_message message = { .hubs = quota->hubs_hash };
  if (peer->is_down)
    {
      if (now - peer->sent_at >= MS (QUOTA_PROBE_MS))
        quota_send (quota, peer, &message, QUOTA_HUB_TIMEOUT_MS, now);
      return;
    }
  bool is_urgent = collect_wants (quota, peer, &message, true, now);
  collect_wants (quota, peer, &message, false, now);
  if (!is_urgent && now - peer->sent_at < MS (QUOTA_PERIOD_MS))
    return;
  for (size_t i = 0; i < message.count; i++)
    {
      struct quota_tenant *tenant
          = quota_find (quota, message.wants[i].tenant);
      tenant->shortage = 0;
      tenant->hub_surplus = 0;
    }
  message.share = quota->region_share;
  if (message.share > 0)
    quota->delegated_at = now;
  quota_send (quota, peer, &message, QUOTA_HUB_TIMEOUT_MS, now);
}

/* Returns when the reply of ROOT to what isn't sent yet can be expected: after
   a call that is in progress.  */
static apr_time_t
time_to_reply (const struct quota_peer *root, apr_time_t now)
{
  apr_time_t rtt = root->rtt > 0 ? root->rtt : MS (INITIAL_RTT_MS);
  apr_time_t left = root->in_call ? root->sent_at + rtt - now : 0;
  return rtt + (left > 0 ? left : 0);
}

/* Adds the tokens that are given back to what is at hand.  */
static void
take_back (const struct quota *quota, struct quota_tenant *tenant,
           int64_t surplus)
{
  struct quota_peer *root;
  int64_t max = issuer_standing_max (quota, tenant);
  if (surplus > max)
    surplus = max;
  if (hub_is_root (quota, tenant, &root))
    tenant->issuer.tokens += (double)surplus;
  else
    tenant->cache += surplus;
}

/* functions of the module */

bool
hub_is_root (const struct quota *quota, const struct quota_tenant *tenant,
             struct quota_peer **root)
{
  uint64_t best = hash_mix (quota->own_hash, tenant->hash);
  *root = NULL;
  for (size_t i = 0; i < quota->peer_count; i++)
    {
      struct quota_peer *peer = quota->peers[i];
      uint64_t rank = hash_mix (peer->hash, tenant->hash);
      if (!is_usable (peer) || rank <= best)
        continue;
      best = rank;
      *root = peer;
    }
  return !*root;
}

int64_t
hub_grant (struct quota *quota, struct quota_tenant *tenant,
           const struct quota_want *want, apr_time_t now, int64_t *hint_ms)
{
  struct quota_peer *root;
  tenant->used_at = now;
  take_back (quota, tenant, want->surplus);
  if (hub_is_root (quota, tenant, &root))
    return issuer_grant (quota, tenant, &tenant->issuer, quota->pooled_share,
                         want->need, want->more, now, hint_ms);
  int64_t granted = want->need < tenant->cache ? want->need : tenant->cache;
  tenant->cache -= granted;
  if (granted == want->need)
    {
      int64_t spare = tenant->cache - issuer_hub_max (quota, tenant) / 2;
      int64_t extra = spare < 0 ? 0 : spare < want->more ? spare : want->more;
      tenant->cache -= extra;
      return granted + extra;
    }
  tenant->shortage += want->need - granted;
  *hint_ms = time_to_reply (root, now) / MS (1) + QUOTA_MIN_HINT_MS / 2;
  int64_t fits_ms = (tenant->source_fits_at - now) / MS (1);
  if (fits_ms > *hint_ms)
    *hint_ms = fits_ms;
  return granted;
}

int64_t
hub_grant_to_hub (struct quota *quota, struct quota_tenant *tenant,
                  const struct quota_want *want, apr_time_t now,
                  int64_t *hint_ms)
{
  struct quota_peer *root;
  take_back (quota, tenant, want->surplus);
  *hint_ms = INITIAL_RTT_MS;
  return hub_is_root (quota, tenant, &root)
             ? issuer_grant (quota, tenant, &tenant->issuer,
                             quota->pooled_share, want->need, want->more, now,
                             hint_ms)
             : 0;
}

void
hub_accept (struct quota *quota, const struct quota_message *message,
            apr_time_t now)
{
  bool is_leaf = message->hubs == 0;
  if (message->share <= 0 || (is_leaf && message->share > QUOTA_SHARE)
      || now < quota->ignore_delegations_until
      || (!is_leaf && message->hubs != quota->hubs_hash))
    return;
  struct delegation *delegation = apr_hash_get (
      quota->delegations, &message->sender, sizeof message->sender);
  if (!delegation)
    {
      delegation = apr_pcalloc (quota->pool, sizeof *delegation);
      delegation->sender = message->sender;
      apr_hash_set (quota->delegations, &delegation->sender,
                    sizeof delegation->sender, delegation);
    }
  delegation->share = message->share;
  delegation->is_leaf = is_leaf;
  delegation->until = now + MS (QUOTA_LEASE_MS);
}

void
hub_update (struct quota *quota, apr_time_t now)
{
  int64_t leaves = 0;
  int64_t hubs = 0;
  for (apr_hash_index_t *i = apr_hash_first (NULL, quota->delegations); i;
       i = apr_hash_next (i))
    {
      const struct delegation *delegation = apr_hash_this_val (i);
      if (delegation->until > now)
        *(delegation->is_leaf ? &leaves : &hubs) += delegation->share;
    }
  /* What leaves delegated to this hub was passed on, too.  */
  quota->region_share
      = now < quota->delegate_after ? 0 : leaf_share (quota, now) + leaves;
  quota->pooled_share = quota->region_share + hubs;
  for (int i = 0; i < quota->tenants->nelts; i++)
    {
      struct quota_tenant *tenant
          = APR_ARRAY_IDX (quota->tenants, i, struct quota_tenant *);
      struct quota_peer *root;
      if (quota->is_hub && tenant->rate > 0
          && hub_is_root (quota, tenant, &root))
        issuer_refill (quota, tenant, &tenant->issuer, quota->pooled_share,
                       now);
      else
        issuer_end (&tenant->issuer, now);
    }
}

void
hub_pump (struct quota *quota, apr_time_t now)
{
  for (size_t i = 0; i < quota->peer_count; i++)
    if (quota->peers[i]->is_known && !quota->peers[i]->in_call)
      send_to_hub (quota, quota->peers[i], now);
}

void
hub_handle_reply (struct quota *quota, struct quota_peer *root,
                  const struct quota_reply *reply, apr_time_t now)
{
  if (!reply)
    {
      for (size_t i = 0; i < root->sent_count; i++)
        {
          struct quota_tenant *tenant
              = quota_find (quota, root->sent[i].tenant);
          if (tenant)
            tenant->shortage += root->sent[i].need;
        }
      if (root->failures >= FAILURES_MAX)
        root->is_down = true;
      hub_check_members (quota, now);
      return;
    }
  root->is_down = false;
  hub_check_members (quota, now);
  for (size_t i = 0; i < reply->count; i++)
    {
      const struct quota_grant *grant = &reply->grants[i];
      struct quota_tenant *tenant = quota_find (quota, grant->tenant);
      if (!tenant)
        continue;
      tenant->cache += grant->tokens;
      tenant->granted_at = now;
      if (grant->hint_ms == 0)
        continue;
      tenant->source_fits_at = now + MS (grant->hint_ms);
      tenant->ask_root_at
          = now
            + MS (grant->hint_ms < QUOTA_EMPTY_MS ? grant->hint_ms
                                                  : QUOTA_EMPTY_MS);
    }
}

void
hub_check_members (struct quota *quota, apr_time_t now)
{
  uint64_t hash = quota->own_hash;
  for (size_t i = 0; i < quota->peer_count; i++)
    if (is_usable (quota->peers[i]))
      hash += quota->peers[i]->hash;
  if (hash == quota->hubs_hash)
    return;
  quota->hubs_hash = hash;
  leaf_reclaim (quota, now);
  hub_update (quota, now);
}
