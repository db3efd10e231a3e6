#include "share/internal.h"

#include <stdio.h>
#include <stdlib.h>

/* constants */

enum
{
  MAX_CLOCK_DRIFT_PER_MILLE = 5, /* by which two entries' clocks may differ
                                    over a loan's duration */
};

/* private functions */

/* Returns when a loan granted now has expired for certain, also by a
   borrower's clock that runs slower.  */
static apr_time_t
lender_expiry (apr_time_t now, apr_time_t duration)
{
  return now + duration + duration * MAX_CLOCK_DRIFT_PER_MILLE / 1000;
}

static void
add_granted_loan (struct share_pool *pool, int64_t amount, struct str borrower,
                  const struct share_message *request, apr_time_t now)
{
  struct granted_loan *l = calloc (1, sizeof *l);
  if (!l)
    abort ();
  l->pool = pool;
  l->id = request->id;
  l->incarnation = request->incarnation;
  l->amount = amount;
  l->expires_at = lender_expiry (now, request->duration);
  l->max_use_us = share_max_use (pool->share, now);
  snprintf (l->borrower, sizeof l->borrower, "%.*s", STR_ARGS (borrower));
  l->next = pool->share->granted_loans;
  pool->share->granted_loans = l;
  pool->lent += amount;
}

/* Returns how much of POOL is free and this entry's own: what is borrowed is
   not lent on.  */
static int64_t
lendable_amount (struct share_pool *pool, apr_time_t now)
{
  int64_t amount = share_pool_available (pool, now);
  int64_t own = pool->base - pool->withheld - pool->lent;
  if (own < amount)
    amount = own;
  return amount > 0 ? amount : 0;
}

/* public functions */

void
share_lend_reclaim_expired (struct share *share, apr_time_t now)
{
  struct granted_loan **at = &share->granted_loans;
  while (*at)
    {
      struct granted_loan *l = *at;
      apr_time_t max_use_us = l->pool->kind == SHARE_LINK ? 0 : l->max_use_us;
      if (l->amount > 0 && now < l->expires_at + max_use_us)
        {
          at = &l->next;
          continue;
        }
      l->pool->lent -= l->amount;
      *at = l->next;
      free (l);
    }
}

void
share_lend_handle_request (struct share *share, struct str from,
                           const struct share_message *request, apr_time_t now)
{
  struct share_message reply = { .type = SHARE_LEND,
                                 .id = request->id,
                                 .duration = request->duration };
  if (request->count != 1 || request->duration <= 0
      || request->duration > SHARE_MAX_LOAN_US)
    return;
  struct pool_group *group = share_group_get (
      share, (enum share_kind)request->items[0].kind, request->items[0].name);
  share_group_record_use (group, now);
  int64_t surplus = share_group_surplus (group, now);
  /* A borrower gets at most half, so that several can be served.  */
  int64_t max_amount = (surplus + 1) / 2;
  int64_t remaining = request->items[0].amount;
  if (remaining > max_amount)
    remaining = max_amount;
  struct share_pool *start
      = group->lend_cursor ? group->lend_cursor : group->pools;
  struct share_pool *p = start;
  while (p && remaining > 0 && reply.count < SHARE_ITEMS_MAX)
    {
      int64_t amount = lendable_amount (p, now);
      if (amount > remaining)
        amount = remaining;
      if (amount > 0)
        {
          add_granted_loan (p, amount, from, request, now);
          reply.items[reply.count++]
              = (struct share_item){ p->kind, p->name, amount };
          remaining -= amount;
          surplus -= amount;
        }
      p = p->next ? p->next : group->pools;
      if (p == start)
        break;
    }
  group->lend_cursor = p;
  reply.spare = surplus;
  share_send (share, from, &reply);
}

void
share_lend_handle_extend (struct share *share, struct str from,
                          const struct share_message *request, apr_time_t now)
{
  struct share_message reply = { .type = SHARE_EXTENDED,
                                 .id = request->id,
                                 .requested_at = request->requested_at,
                                 .duration = request->duration };
  bool is_extended = false;
  if (request->duration <= 0 || request->duration > SHARE_MAX_LOAN_US)
    return;
  for (struct granted_loan *l = share->granted_loans; l; l = l->next)
    if (l->id == request->id && l->incarnation == request->incarnation
        && l->amount > 0 && l->pool->group->last_demand == 0
        && str_equal (str_from (l->borrower), from))
      {
        /* Never earlier: the reply to an earlier request may still reach the
           borrower.  */
        apr_time_t expiry = lender_expiry (now, request->duration);
        if (expiry > l->expires_at)
          l->expires_at = expiry;
        is_extended = true;
      }
  if (is_extended)
    share_send (share, from, &reply);
}

void
share_lend_handle_return (struct share *share, struct str from,
                          const struct share_message *message)
{
  const struct share_item *item = &message->items[0];
  for (struct granted_loan *l = share->granted_loans; l; l = l->next)
    if (message->count == 1 && l->id == message->id
        && l->pool == share_pool_find (share, item->kind, item->name)
        && str_equal (str_from (l->borrower), from)
        && l->incarnation == message->incarnation && item->amount > 0)
      {
        int64_t amount = item->amount < l->amount ? item->amount : l->amount;
        l->amount -= amount;
        l->pool->lent -= amount;
        return;
      }
}
