#include "share/internal.h"

#include "base/random.h"

#include <apr_strings.h>
#include <stdlib.h>
#include <string.h>

/* constants */

/* A request times out after this and two round trips to the peer.  */
#define REQUEST_TIMEOUT_US INT64_C (100000)
/* An extension is requested this long and two round trips before a loan
   expires.  */
#define EXTEND_AHEAD_US INT64_C (50000)
/* A peer whose reply left it nothing to spare gets no request for this long
   and a round trip, doubled with each such reply in a row.  */
#define EMPTY_RETRY_US INT64_C (20000)

enum
{
  LOAN_RTT_MULTIPLE = 15, /* round trips that a loan lasts longer, so that they
                             take up little of it */
  MAX_EMPTY_DOUBLINGS = 2
};

/* private functions */

/* Returns how much of POOL is in use beyond its limit, on expired loans.  */
static int64_t
uncovered_use (struct share_pool *pool, apr_time_t now)
{
  int64_t excess = pool->used - share_pool_limit (pool, now);
  return excess > 0 ? excess : 0;
}

static void
send_return (struct share *share, struct str lender, int64_t id,
             struct share_item item)
{
  struct share_message message
      = { .type = SHARE_RETURN, .id = id, .count = 1, .items = { item } };
  share_send (share, lender, &message);
}

/* Returns the nearest peer that owns shares of GROUP, has no pending request
   for it and may get one now (`retry_at'), or NULL.  */
static struct peer *
pick_peer (struct share *share, const struct pool_group *group, apr_time_t now)
{
  struct peer *best = NULL;
  uint64_t best_rank = 0;
  for (size_t i = 0; i < share->peer_count; i++)
    {
      struct peer *p = &share->peers[i];
      bool is_pending = false;
      for (const struct loan_request *r = share->requests; r; r = r->next)
        is_pending |= r->group == group && strcmp (r->lender, p->name) == 0;
      bool owns = group->region.size == 0
                  || str_equal (group->region, str_from (p->region));
      if (is_pending || !owns || now < p->retry_at[group->kind])
        continue;
      /* The nearest first; in random order among equally near ones.  */
      uint64_t rank = (uint64_t)p->rtt_us << 16
                      | (random_next (&share->random) & 0xffff);
      if (!best || rank < best_rank)
        {
          best = p;
          best_rank = rank;
        }
    }
  return best;
}

static struct loan_request *
find_request (struct share *share, struct str lender, int64_t id)
{
  struct loan_request *r = share->requests;
  while (r && !(r->id == id && str_equal (str_from (r->lender), lender)))
    r = r->next;
  return r;
}

static void
add_received_loan (struct share *share, const struct loan_request *request,
                   const struct share_item *item,
                   const struct share_message *reply)
{
  struct share_pool *pool = share_pool_find (share, item->kind, item->name);
  if (!pool || item->amount <= 0)
    return;
  struct received_loan *l = calloc (1, sizeof *l);
  if (!l)
    abort ();
  l->pool = pool;
  l->id = request->id;
  l->amount = item->amount;
  l->expires_at = request->requested_at + reply->duration;
  l->incarnation = reply->incarnation;
  apr_cpystrn (l->lender, request->lender, sizeof l->lender);
  l->next = share->received_loans;
  share->received_loans = l;
  pool->borrowed += l->amount;
  if (l->expires_at < pool->next_expiry)
    pool->next_expiry = l->expires_at;
}

/* Records whether PEER has something to spare after its reply, and so when it
   may get the next request.  */
static void
record_reply (struct peer *peer, enum share_kind kind, bool has_surplus,
              apr_time_t now)
{
  if (has_surplus)
    {
      peer->consecutive_empty_replies[kind] = 0;
      peer->retry_at[kind] = now;
      return;
    }
  peer->retry_at[kind]
      = now + (EMPTY_RETRY_US << peer->consecutive_empty_replies[kind])
        + peer->rtt_us;
  if (peer->consecutive_empty_replies[kind] < MAX_EMPTY_DOUBLINGS)
    peer->consecutive_empty_replies[kind]++;
}

/* public functions */

void
share_borrow_expire (struct share_pool *pool, apr_time_t now)
{
  pool->next_expiry = APR_INT64_MAX;
  for (struct received_loan *l = pool->share->received_loans; l; l = l->next)
    {
      if (l->pool != pool || l->is_expired)
        continue;
      if (now >= l->expires_at)
        {
          l->is_expired = true;
          pool->borrowed -= l->amount;
          pool->expired += l->amount;
        }
      else if (l->expires_at < pool->next_expiry)
        pool->next_expiry = l->expires_at;
    }
}

void
share_borrow_return_expired (struct share *share, apr_time_t now)
{
  struct received_loan **at = &share->received_loans;
  while (*at)
    {
      struct received_loan *l = *at;
      if (!l->is_expired && now >= l->pool->next_expiry)
        share_borrow_expire (l->pool, now);
      int64_t idle = l->is_expired
                         ? l->pool->expired - uncovered_use (l->pool, now)
                         : 0;
      int64_t amount = idle < l->amount ? idle : l->amount;
      if (amount > 0)
        {
          struct share_item item = { l->pool->kind, l->pool->name, amount };
          send_return (share, str_from (l->lender), l->id, item);
          l->amount -= amount;
          l->pool->expired -= amount;
        }
      if (l->amount == 0)
        {
          *at = l->next;
          free (l);
          continue;
        }
      at = &l->next;
    }
}

void
share_borrow_end_unused (struct share *share, apr_time_t now)
{
  for (struct received_loan *l = share->received_loans; l; l = l->next)
    if (!l->is_expired && share_pool_available (l->pool, now) >= l->amount
        && share_group_surplus (l->pool->group, now)
               > l->amount + l->pool->group->peak_used / 4)
      {
        l->expires_at = now;
        share_borrow_expire (l->pool, now);
      }
}

void
share_borrow_remove_request (struct share *share, struct loan_request *request)
{
  struct loan_request **at = &share->requests;
  while (*at != request)
    at = &(*at)->next;
  *at = request->next;
  request->group->pending_requests--;
  request->group->requested_amount -= request->amount;
  free (request);
}

bool
share_borrow_send_request (struct share *share, struct pool_group *group,
                           apr_time_t now)
{
  struct peer *peer = pick_peer (share, group, now);
  if (!peer)
    return false;
  struct loan_request *r = calloc (1, sizeof *r);
  if (!r)
    abort ();
  r->group = group;
  r->amount = group->demand - group->requested_amount;
  r->id = ++share->last_id;
  r->requested_at = now;
  apr_cpystrn (r->lender, peer->name, sizeof r->lender);
  r->next = share->requests;
  share->requests = r;
  group->pending_requests++;
  group->requested_amount += r->amount;
  struct share_message message
      = { .type = SHARE_BORROW,
          .id = r->id,
          .duration
          = share->desc.loan_duration_us + LOAN_RTT_MULTIPLE * peer->rtt_us,
          .count = 1,
          .items = { { (int64_t)group->kind, group->name, r->amount } } };
  share_send (share, str_from (peer->name), &message);
  return true;
}

void
share_borrow_time_out_requests (struct share *share, apr_time_t now)
{
  struct loan_request *next;
  for (struct loan_request *r = share->requests; r; r = next)
    {
      next = r->next;
      struct peer *peer = share_find_peer (share, str_from (r->lender));
      apr_time_t limit = REQUEST_TIMEOUT_US + (peer ? 2 * peer->rtt_us : 0);
      if (now - r->requested_at < limit)
        continue;
      if (peer)
        peer->retry_at[r->group->kind] = now + limit;
      share_borrow_remove_request (share, r);
    }
}

void
share_borrow_request_extensions (struct share *share, apr_time_t now)
{
  for (struct received_loan *l = share->received_loans; l; l = l->next)
    {
      const struct peer *peer = share_find_peer (share, str_from (l->lender));
      apr_time_t ahead = EXTEND_AHEAD_US + (peer ? 2 * peer->rtt_us : 0);
      /* Slots are not extended but returned: a lender with the slots of many
         upstreams soon needs those of another one.  */
      if (l->is_expired || !peer || l->pool->kind == SHARE_SLOTS
          || l->expires_at - now > ahead
          || now - l->extension_requested_at < ahead
          || share_pool_available (l->pool, now) >= l->amount)
        continue;
      struct share_message message
          = { .type = SHARE_EXTEND,
              .id = l->id,
              .requested_at = now,
              .duration = share->desc.loan_duration_us
                          + LOAN_RTT_MULTIPLE * peer->rtt_us };
      /* One message extends all loans that one SHARE_LEND has granted.  */
      for (struct received_loan *same = l; same; same = same->next)
        if (same->id == l->id && strcmp (same->lender, l->lender) == 0)
          same->extension_requested_at = now;
      share_send (share, str_from (l->lender), &message);
    }
}

void
share_borrow_handle_lend (struct share *share, struct str from,
                          const struct share_message *reply, apr_time_t now)
{
  struct loan_request *request = find_request (share, from, reply->id);
  struct peer *peer = share_find_peer (share, from);
  if (!request)
    {
      /* The request has timed out; nothing is in use on what the reply
         lends.  */
      for (size_t i = 0; i < reply->count; i++)
        send_return (share, from, reply->id, reply->items[i]);
      return;
    }
  for (size_t i = 0; i < reply->count; i++)
    add_received_loan (share, request, &reply->items[i], reply);
  if (peer)
    record_reply (peer, request->group->kind,
                  reply->count > 0 && reply->spare > 0, now);
  share_borrow_remove_request (share, request);
}

void
share_borrow_handle_extended (struct share *share, struct str from,
                              const struct share_message *reply)
{
  for (struct received_loan *l = share->received_loans; l; l = l->next)
    if (l->id == reply->id && l->incarnation == reply->incarnation
        && !l->is_expired && str_equal (str_from (l->lender), from)
        && reply->requested_at + reply->duration > l->expires_at)
      l->expires_at = reply->requested_at + reply->duration;
}
