#include "share/internal.h"

#include <stdio.h>
#include <stdlib.h>

/* constants */

enum
{
  MAX_CLOCK_DRIFT_PER_MILLE = 5, /* by which clocks may run unevenly */
};

/* private functions */

/* Returns when a loan that is granted now has surely run out.  */
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
  snprintf (l->borrower, sizeof l->borrower, "%.*s", STR_ARGS (borrower));
  l->next = pool->share->granted_loans;
  pool->share->granted_loans = l;
  pool->lent += amount;
}

static int64_t
lendable_amount (struct share_pool *pool, apr_time_t now)
{
  int64_t left = share_pool_free (pool, now);
  int64_t own = pool->base - pool->withheld - pool->lent;
  if (own < left)
    left = own;
  return left > 0 ? left : 0;
}

/* public functions */

void
share_lend_reclaim_expired (struct share *share, apr_time_t now)
{
  struct granted_loan **at = &share->granted_loans;
  while (*at)
    {
      struct granted_loan *l = *at;
      apr_time_t hold = l->pool->kind == SHARE_LINK ? 0 : share->desc.hold_us;
      if (l->amount > 0 && now < l->expires_at + hold)
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
  struct share_message answer = { .type = SHARE_LEND,
                                  .id = request->id,
                                  .duration = request->duration };
  if (request->count != 1 || request->duration <= 0
      || request->duration > SHARE_MAX_LOAN_US)
    return;
  struct pool_group *group = share_group_get (
      share, (enum share_kind)request->items[0].kind, request->items[0].name);
  share_group_record_use (group, now);
  int64_t left = share_group_surplus (group, now);
  /* A borrower gets at most half, so that several can be served.  */
  int64_t most = (left + 1) / 2;
  int64_t wanted = request->items[0].amount;
  if (wanted > most)
    wanted = most;
  struct share_pool *start = group->lend_cursor ? group->lend_cursor : group->pools;
  struct share_pool *p = start;
  while (p && wanted > 0 && answer.count < SHARE_ITEMS_MAX)
    {
      int64_t amount = lendable_amount (p, now);
      if (amount > wanted)
        amount = wanted;
      if (amount > 0)
        {
          add_granted_loan (p, amount, from, request, now);
          answer.items[answer.count++]
              = (struct share_item){ p->kind, p->name, amount };
          wanted -= amount;
          left -= amount;
        }
      p = p->next ? p->next : group->pools;
      if (p == start)
        break;
    }
  group->lend_cursor = p;
  answer.spare = left;
  share_send (share, from, &answer);
}

void
share_lend_handle_extend (struct share *share, struct str from,
                        const struct share_message *request, apr_time_t now)
{
  struct share_message answer = { .type = SHARE_EXTENDED,
                                  .id = request->id,
                                  .asked_at = request->asked_at,
                                  .duration = request->duration };
  bool any = false;
  if (request->duration <= 0 || request->duration > SHARE_MAX_LOAN_US)
    return;
  for (struct granted_loan *l = share->granted_loans; l; l = l->next)
    if (l->id == request->id && l->incarnation == request->incarnation
        && l->amount > 0 && l->pool->group->last_demand == 0
        && str_equal (str_from (l->borrower), from))
      {
        l->expires_at = lender_expiry (now, request->duration);
        any = true;
      }
  if (any)
    share_send (share, from, &answer);
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
