#include "share/internal.h"

#include "base/random.h"

#include <apr_strings.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* constants */

#define DEFAULT_LOAN_US INT64_C (300000)
#define DEFAULT_MAX_USE_US INT64_C (30000000)
/* An entry that has used a group within this time does not lend the last of
   it: a borrower that is killed or paused would keep that for the longest time
   that a call can last.  */
#define RECENT_USE_US INT64_C (2000000)
/* Within this time all entries have adopted a configuration.  */
#define ADOPTION_US INT64_C (10000000)

enum
{
  MAX_PENDING_REQUESTS = 4, /* for one group */
  PEAK_DECAY_SHIFT = 2,     /* the peak decays by a quarter with each tick */
  RESERVE_SHIFT = 3,        /* an 8th of the peak is kept on top of it */
  /* Of "KIND/NAME"; the name of a link has those of two regions, of up to 63
     bytes each, and what separates them.  */
  KEY_MAX_BYTES = 160
};

/* private functions */

static int64_t
group_used (const struct pool_group *group)
{
  int64_t used = 0;
  for (const struct share_pool *p = group->pools; p; p = p->next)
    used += p->used;
  return used;
}

static int64_t
group_limit (struct pool_group *group, apr_time_t now)
{
  int64_t limit = 0;
  for (struct share_pool *p = group->pools; p; p = p->next)
    limit += share_pool_limit (p, now);
  return limit;
}

static void
decay_peak (struct pool_group *group)
{
  int64_t decrease
      = (group->peak_used + (1 << PEAK_DECAY_SHIFT) - 1) >> PEAK_DECAY_SHIFT;
  group->peak_used -= decrease;
}

/* Returns the highest incarnation of PEER that is known to have ended, or
   -1.  */
static int64_t
last_ended_incarnation (const struct share *share, struct str peer)
{
  const int64_t *ended = apr_hash_get (share->ended_incarnations, peer.data,
                                       (apr_ssize_t)peer.size);
  return ended ? *ended : -1;
}

static void
record_ended_incarnation (struct share *share, struct str peer,
                          int64_t incarnation)
{
  int64_t *ended = apr_hash_get (share->ended_incarnations, peer.data,
                                 (apr_ssize_t)peer.size);
  if (!ended)
    {
      struct str key = str_dup (share->pool, peer);
      ended = apr_palloc (share->pool, sizeof *ended);
      *ended = incarnation;
      apr_hash_set (share->ended_incarnations, key.data, (apr_ssize_t)key.size,
                    ended);
    }
  if (incarnation > *ended)
    *ended = incarnation;
}

/* functions internal to the module */

void
share_send (struct share *share, struct str to, struct share_message *message)
{
  message->incarnation = share->desc.incarnation;
  share->desc.send (share->desc.user_data, to, message);
}

struct pool_group *
share_group_get (struct share *share, enum share_kind kind, struct str name)
{
  struct pool_group *g = share->groups;
  while (g && !(g->kind == kind && str_equal (g->name, name)))
    g = g->next;
  if (g)
    return g;
  g = apr_pcalloc (share->pool, sizeof *g);
  g->kind = kind;
  g->name = str_dup (share->pool, name);
  g->next = share->groups;
  share->groups = g;
  return g;
}

struct share_pool *
share_pool_find (struct share *share, int64_t kind, struct str name)
{
  char key[KEY_MAX_BYTES];
  int size = snprintf (key, sizeof key, "%d/%.*s", (int)kind, STR_ARGS (name));
  return size < (int)sizeof key ? apr_hash_get (share->pools, key, size)
                                : NULL;
}

struct peer *
share_find_peer (struct share *share, struct str name)
{
  for (size_t i = 0; i < share->peer_count; i++)
    if (str_equal (str_from (share->peers[i].name), name))
      return &share->peers[i];
  return NULL;
}

void
share_group_record_use (struct pool_group *group, apr_time_t now)
{
  int64_t used = group_used (group);
  if (used > 0 || group->last_demand > 0)
    group->last_used_at = now;
  if (used > group->peak_used)
    group->peak_used = used;
}

int64_t
share_group_surplus (struct pool_group *group, apr_time_t now)
{
  int64_t need = group->peak_used + (group->peak_used >> RESERVE_SHIFT)
                 + group->last_demand;
  if (need == 0 && group->last_used_at > 0
      && now - group->last_used_at < RECENT_USE_US)
    need = 1;
  int64_t surplus = group_limit (group, now) - need;
  return surplus > 0 ? surplus : 0;
}

apr_time_t
share_max_use (const struct share *share, apr_time_t now)
{
  apr_time_t max_use = share->desc.max_use_us;
  if (now < share->previous_max_use_until
      && share->previous_max_use_us > max_use)
    max_use = share->previous_max_use_us;
  return max_use;
}

/* public functions */

struct share *
share_create (apr_pool_t *pool, const struct share_desc *desc)
{
  struct share *share = apr_pcalloc (pool, sizeof *share);
  share->pool = pool;
  share->desc = *desc;
  share->pools = apr_hash_make (pool);
  share->ended_incarnations = apr_hash_make (pool);
  share->random = desc->seed ? desc->seed : RANDOM_DEFAULT_SEED;
  if (!share->desc.loan_duration_us)
    share->desc.loan_duration_us = DEFAULT_LOAN_US;
  if (!share->desc.max_use_us)
    share->desc.max_use_us = DEFAULT_MAX_USE_US;
  return share;
}

void
share_destroy (struct share *share)
{
  if (!share)
    return;
  while (share->requests)
    share_borrow_remove_request (share, share->requests);
  while (share->granted_loans)
    {
      struct granted_loan *l = share->granted_loans;
      share->granted_loans = l->next;
      free (l);
    }
  while (share->received_loans)
    {
      struct received_loan *l = share->received_loans;
      share->received_loans = l->next;
      free (l);
    }
  free (share->peers);
}

struct share_pool *
share_pool_get (struct share *share, const struct share_cap *cap)
{
  struct share_pool *pool = share_pool_find (share, cap->kind, cap->name);
  if (pool)
    return pool;
  char *key = str_format (share->pool, "%d/%.*s", (int)cap->kind,
                          STR_ARGS (cap->name));
  pool = apr_pcalloc (share->pool, sizeof *pool);
  pool->share = share;
  pool->kind = cap->kind;
  pool->name = str_dup (share->pool, cap->name);
  pool->next_expiry = APR_INT64_MAX;
  pool->group = share_group_get (share, cap->kind,
                                 cap->group.size > 0 ? cap->group : cap->name);
  pool->group->region = str_dup (share->pool, cap->region);
  pool->next = pool->group->pools;
  pool->group->pools = pool;
  apr_hash_set (share->pools, key, APR_HASH_KEY_STRING, pool);
  return pool;
}

void
share_pool_set_base (struct share_pool *pool, int64_t base)
{
  pool->base = base;
}

void
share_pool_set_withheld (struct share_pool *pool, int64_t amount)
{
  pool->withheld = amount;
}

int64_t
share_pool_limit (struct share_pool *pool, apr_time_t now)
{
  if (now >= pool->next_expiry)
    share_borrow_expire (pool, now);
  return pool->base - pool->withheld - pool->lent + pool->borrowed;
}

int64_t
share_pool_available (struct share_pool *pool, apr_time_t now)
{
  int64_t available = share_pool_limit (pool, now) - pool->used;
  return available > 0 ? available : 0;
}

int64_t
share_pool_used (const struct share_pool *pool)
{
  return pool->used;
}

void
share_pool_use (struct share_pool *pool, int64_t amount)
{
  pool->used += amount;
}

void
share_pool_release (struct share_pool *pool, int64_t amount)
{
  pool->used -= amount;
}

int64_t
share_pool_lent (const struct share_pool *pool)
{
  return pool->lent;
}

void
share_set_peers (struct share *share, const struct share_peer *peers,
                 size_t count)
{
  struct peer *list = calloc (count + 1, sizeof *list);
  if (!list)
    abort ();
  for (size_t i = 0; i < count; i++)
    {
      const struct peer *old = share_find_peer (share, peers[i].name);
      if (old)
        list[i] = *old;
      snprintf (list[i].name, sizeof list[i].name, "%.*s",
                STR_ARGS (peers[i].name));
      snprintf (list[i].region, sizeof list[i].region, "%.*s",
                STR_ARGS (peers[i].region));
      list[i].rtt_us = peers[i].rtt_us;
    }
  free (share->peers);
  share->peers = list;
  share->peer_count = count;
}

void
share_raise_demand (struct share *share, enum share_kind kind,
                    struct str group, int64_t amount)
{
  struct pool_group *g = share_group_get (share, kind, group);
  if (amount > g->demand)
    g->demand = amount;
}

void
share_tick (struct share *share, apr_time_t now)
{
  share_borrow_end_unused (share, now);
  share_borrow_request_extensions (share, now);
  share_borrow_return_expired (share, now);
  share_lend_reclaim_expired (share, now);
  share_borrow_time_out_requests (share, now);
  for (struct pool_group *g = share->groups; g; g = g->next)
    {
      decay_peak (g);
      share_group_record_use (g, now);
      while (g->demand > g->requested_amount
             && g->pending_requests < MAX_PENDING_REQUESTS
             && share_borrow_send_request (share, g, now))
        ;
      g->last_demand = g->demand;
      g->demand = 0;
    }
}

void
share_receive (struct share *share, struct str from,
               const struct share_message *message, apr_time_t now)
{
  /* A late message of a process that has ended: its loans have ended too.  */
  if (message->incarnation <= last_ended_incarnation (share, from))
    return;
  switch (message->type)
    {
    case SHARE_BORROW:
      share_lend_handle_request (share, from, message, now);
      break;
    case SHARE_LEND:
      share_borrow_handle_lend (share, from, message, now);
      break;
    case SHARE_RETURN:
      share_lend_handle_return (share, from, message);
      break;
    case SHARE_EXTEND:
      share_lend_handle_extend (share, from, message, now);
      break;
    case SHARE_EXTENDED:
      share_borrow_handle_extended (share, from, message);
      break;
    default:
      break;
    }
}

void
share_set_max_use (struct share *share, apr_time_t max_use_us, apr_time_t now)
{
  apr_time_t previous = share_max_use (share, now);
  if (max_use_us < previous && max_use_us != share->desc.max_use_us)
    {
      share->previous_max_use_us = previous;
      share->previous_max_use_until = now + ADOPTION_US;
    }
  share->desc.max_use_us = max_use_us;
  for (struct granted_loan *l = share->granted_loans; l; l = l->next)
    if (l->max_use_us < max_use_us)
      l->max_use_us = max_use_us;
}

void
share_end_peer_loans (struct share *share, struct str peer,
                      int64_t incarnation)
{
  record_ended_incarnation (share, peer, incarnation);
  for (struct granted_loan *l = share->granted_loans; l; l = l->next)
    if (l->incarnation <= incarnation
        && str_equal (str_from (l->borrower), peer))
      {
        l->pool->lent -= l->amount;
        l->amount = 0;
      }
  struct received_loan **at = &share->received_loans;
  while (*at)
    {
      struct received_loan *l = *at;
      if (l->incarnation > incarnation
          || !str_equal (str_from (l->lender), peer))
        {
          at = &l->next;
          continue;
        }
      *(l->is_expired ? &l->pool->expired : &l->pool->borrowed) -= l->amount;
      *at = l->next;
      free (l);
    }
}

bool
share_is_within_limits (struct share *share, apr_time_t now)
{
  for (struct pool_group *g = share->groups; g; g = g->next)
    for (struct share_pool *p = g->pools; p && g->kind != SHARE_LINK;
         p = p->next)
      {
        /* What is withheld still belongs to this entry.  */
        int64_t owned = share_pool_limit (p, now) + p->withheld + p->expired;
        if (p->used > (owned > 0 ? owned : 0) || owned < 0)
          return false;
      }
  return true;
}
