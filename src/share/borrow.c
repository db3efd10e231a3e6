#include "share/internal.h"

#include "base/random.h"

#include <apr_strings.h>
#include <stdlib.h>
#include <string.h>

/* constants */

/* A request is given up after this and its peer's distance.  */
#define REQUEST_TIMEOUT_US INT64_C (100000)
/* An extension is asked for so long, and the way, before a loan ends.  */
#define EXTEND_AHEAD_US INT64_C (50000)
/* A peer that had nothing to spare is not asked for this long, doubled at
   each such answer in a row.  */
#define EMPTY_RETRY_US INT64_C (20000)

enum
{
  LOAN_RTT_MULTIPLE = 15, /* so that the way takes little of a loan */
  MAX_EMPTY_DOUBLINGS = 2
};

/* private functions */

static int64_t
uncovered_use (struct share_pool *pool, apr_time_t now)
{
  int64_t over = pool->used - share_pool_limit (pool, now);
  return over > 0 ? over : 0;
}

static void
send_return (struct share *share, struct str lender, int64_t id,
             struct share_item item)
{
  struct share_message message
      = { .type = SHARE_RETURN, .id = id, .count = 1, .items = { item } };
  share_send (share, lender, &message);
}

static struct peer *
pick_peer (struct share *share, const struct pool_group *group, apr_time_t now)
{
  struct peer *best = NULL;
  uint64_t best_rank = 0;
  for (size_t i = 0; i < share->peer_count; i++)
    {
      struct peer *p = &share->peers[i];
      bool asked = false;
      for (const struct loan_request *a = share->requests; a; a = a->next)
        asked |= a->group == group && strcmp (a->lender, p->name) == 0;
      bool owns = group->region.size == 0
                  || str_equal (group->region, str_from (p->region));
      if (asked || !owns || now < p->retry_at[group->kind])
        continue;
      /* Nearest first, at random among those as near.  */
      uint64_t rank = (uint64_t)p->distance_us << 16
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
  struct loan_request *a = share->requests;
  while (a && !(a->id == id && str_equal (str_from (a->lender), lender)))
    a = a->next;
  return a;
}

static void
add_received_loan (struct share *share, const struct loan_request *request,
        const struct share_item *item, const struct share_message *answer)
{
  struct share_pool *pool = share_pool_find (share, item->kind, item->name);
  if (!pool || item->amount <= 0)
    return;
  struct received_loan *b = calloc (1, sizeof *b);
  if (!b)
    abort ();
  b->pool = pool;
  b->id = request->id;
  b->amount = item->amount;
  b->expires_at = request->requested_at + answer->duration;
  b->incarnation = answer->incarnation;
  apr_cpystrn (b->lender, request->lender, sizeof b->lender);
  b->next = share->received_loans;
  share->received_loans = b;
  pool->borrowed += b->amount;
  if (b->expires_at < pool->next_expiry)
    pool->next_expiry = b->expires_at;
}

/* Notes whether PEER had something to spare, and when to ask it again.  */
static void
record_answer (struct peer *peer, enum share_kind kind, bool has_surplus,
            apr_time_t now)
{
  if (has_surplus)
    {
      peer->consecutive_empty_answers[kind] = 0;
      peer->retry_at[kind] = now;
      return;
    }
  peer->retry_at[kind]
      = now + (EMPTY_RETRY_US << peer->consecutive_empty_answers[kind]) + peer->distance_us;
  if (peer->consecutive_empty_answers[kind] < MAX_EMPTY_DOUBLINGS)
    peer->consecutive_empty_answers[kind]++;
}

/* public functions */

void
share_borrow_expire (struct share_pool *pool, apr_time_t now)
{
  pool->next_expiry = APR_INT64_MAX;
  for (struct received_loan *b = pool->share->received_loans; b; b = b->next)
    {
      if (b->pool != pool || b->is_expired)
        continue;
      if (now >= b->expires_at)
        {
          b->is_expired = true;
          pool->borrowed -= b->amount;
          pool->expired += b->amount;
        }
      else if (b->expires_at < pool->next_expiry)
        pool->next_expiry = b->expires_at;
    }
}

void
share_borrow_return_expired (struct share *share, apr_time_t now)
{
  struct received_loan **at = &share->received_loans;
  while (*at)
    {
      struct received_loan *b = *at;
      if (!b->is_expired && now >= b->pool->next_expiry)
        share_borrow_expire (b->pool, now);
      int64_t idle = b->is_expired ? b->pool->expired - uncovered_use (b->pool, now) : 0;
      int64_t amount = idle < b->amount ? idle : b->amount;
      if (amount > 0)
        {
          struct share_item item = { b->pool->kind, b->pool->name, amount };
          send_return (share, str_from (b->lender), b->id, item);
          b->amount -= amount;
          b->pool->expired -= amount;
        }
      if (b->amount == 0)
        {
          *at = b->next;
          free (b);
          continue;
        }
      at = &b->next;
    }
}

void
share_borrow_end_unused (struct share *share, apr_time_t now)
{
  for (struct received_loan *b = share->received_loans; b; b = b->next)
    if (!b->is_expired && share_pool_free (b->pool, now) >= b->amount
        && share_group_surplus (b->pool->group, now)
               > b->amount + b->pool->group->peak_used / 4)
      {
        b->expires_at = now;
        share_borrow_expire (b->pool, now);
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
share_borrow_send_request (struct share *share, struct pool_group *group, apr_time_t now)
{
  struct peer *peer = pick_peer (share, group, now);
  if (!peer)
    return false;
  struct loan_request *a = calloc (1, sizeof *a);
  if (!a)
    abort ();
  a->group = group;
  a->amount = group->demand - group->requested_amount;
  a->id = ++share->last_id;
  a->requested_at = now;
  apr_cpystrn (a->lender, peer->name, sizeof a->lender);
  a->next = share->requests;
  share->requests = a;
  group->pending_requests++;
  group->requested_amount += a->amount;
  struct share_message message
      = { .type = SHARE_BORROW,
          .id = a->id,
          .duration
          = share->desc.duration_us + LOAN_RTT_MULTIPLE * peer->distance_us,
          .count = 1,
          .items = { { (int64_t)group->kind, group->name, a->amount } } };
  share_send (share, str_from (peer->name), &message);
  return true;
}

void
share_borrow_time_out_requests (struct share *share, apr_time_t now)
{
  struct loan_request *next;
  for (struct loan_request *a = share->requests; a; a = next)
    {
      next = a->next;
      struct peer *peer = share_find_peer (share, str_from (a->lender));
      apr_time_t limit = REQUEST_TIMEOUT_US + (peer ? 2 * peer->distance_us : 0);
      if (now - a->requested_at < limit)
        continue;
      if (peer)
        peer->retry_at[a->group->kind] = now + limit;
      share_borrow_remove_request (share, a);
    }
}

void
share_borrow_request_extensions (struct share *share, apr_time_t now)
{
  for (struct received_loan *b = share->received_loans; b; b = b->next)
    {
      const struct peer *peer = share_find_peer (share, str_from (b->lender));
      apr_time_t ahead = EXTEND_AHEAD_US + (peer ? 2 * peer->distance_us : 0);
      /* Slots go back: of many upstreams' slots the lender soon wants
         another.  */
      if (b->is_expired || !peer || b->pool->kind == SHARE_SLOTS
          || b->expires_at - now > ahead || now - b->extension_requested_at < ahead
          || share_pool_free (b->pool, now) >= b->amount)
        continue;
      struct share_message message
          = { .type = SHARE_EXTEND,
              .id = b->id,
              .asked_at = now,
              .duration = share->desc.duration_us
                          + LOAN_RTT_MULTIPLE * peer->distance_us };
      /* All that was lent by one message is extended by one.  */
      for (struct received_loan *same = b; same; same = same->next)
        if (same->id == b->id && strcmp (same->lender, b->lender) == 0)
          same->extension_requested_at = now;
      share_send (share, str_from (b->lender), &message);
    }
}

void
share_borrow_handle_lend (struct share *share, struct str from,
                   const struct share_message *answer, apr_time_t now)
{
  struct loan_request *request = find_request (share, from, answer->id);
  struct peer *peer = share_find_peer (share, from);
  if (!request)
    {
      /* The request was given up; nothing was started on its answer.  */
      for (size_t i = 0; i < answer->count; i++)
        send_return (share, from, answer->id, answer->items[i]);
      return;
    }
  for (size_t i = 0; i < answer->count; i++)
    add_received_loan (share, request, &answer->items[i], answer);
  if (peer)
    record_answer (peer, request->group->kind,
                answer->count > 0 && answer->spare > 0, now);
  share_borrow_remove_request (share, request);
}

void
share_borrow_handle_extended (struct share *share, struct str from,
                            const struct share_message *answer)
{
  for (struct received_loan *b = share->received_loans; b; b = b->next)
    if (b->id == answer->id && b->incarnation == answer->incarnation
        && !b->is_expired && str_equal (str_from (b->lender), from)
        && answer->asked_at + answer->duration > b->expires_at)
      b->expires_at = answer->asked_at + answer->duration;
}
