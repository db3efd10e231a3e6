#include "share/internal.h"

#include "base/random.h"

#include <apr_strings.h>
#include <stdlib.h>
#include <string.h>

/* constants */

/* A request is given up after this and its peer's distance.  */
#define ASK_TIMEOUT_US INT64_C (100000)
/* An extension is asked for so long, and the way, before a loan ends.  */
#define EXTEND_AHEAD_US INT64_C (50000)
/* A peer that had nothing to spare is not asked for this long, doubled at
   each such answer in a row.  */
#define EMPTY_US INT64_C (20000)

enum
{
  LOAN_PER_DISTANCE = 15, /* so that the way takes little of a loan */
  EMPTY_DOUBLINGS = 2
};

/* private functions */

static int64_t
overdue (struct share_pool *pool, apr_time_t now)
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
pick_peer (struct share *share, const struct group *group, apr_time_t now)
{
  struct peer *best = NULL;
  uint64_t best_rank = 0;
  for (size_t i = 0; i < share->peer_count; i++)
    {
      struct peer *p = &share->peers[i];
      bool asked = false;
      for (const struct asking *a = share->askings; a; a = a->next)
        asked |= a->group == group && strcmp (a->lender, p->name) == 0;
      bool owns = group->region.size == 0
                  || str_equal (group->region, str_from (p->region));
      if (asked || !owns || now < p->empty_until[group->kind])
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

static struct asking *
find_asking (struct share *share, struct str lender, int64_t id)
{
  struct asking *a = share->askings;
  while (a && !(a->id == id && str_equal (str_from (a->lender), lender)))
    a = a->next;
  return a;
}

static void
borrow (struct share *share, const struct asking *asking,
        const struct share_item *item, const struct share_message *answer)
{
  struct share_pool *pool = share_pool_find (share, item->kind, item->name);
  if (!pool || item->amount <= 0)
    return;
  struct borrowing *b = calloc (1, sizeof *b);
  if (!b)
    abort ();
  b->pool = pool;
  b->id = asking->id;
  b->amount = item->amount;
  b->until = asking->asked_at + answer->duration;
  b->incarnation = answer->incarnation;
  apr_cpystrn (b->lender, asking->lender, sizeof b->lender);
  b->next = share->borrowings;
  share->borrowings = b;
  pool->borrowed += b->amount;
  if (b->until < pool->next_end)
    pool->next_end = b->until;
}

/* Notes whether PEER had something to spare, and when to ask it again.  */
static void
note_spare (struct peer *peer, enum share_kind kind, bool has_spare,
            apr_time_t now)
{
  if (has_spare)
    {
      peer->empty_answers[kind] = 0;
      peer->empty_until[kind] = now;
      return;
    }
  peer->empty_until[kind]
      = now + (EMPTY_US << peer->empty_answers[kind]) + peer->distance_us;
  if (peer->empty_answers[kind] < EMPTY_DOUBLINGS)
    peer->empty_answers[kind]++;
}

/* public functions */

void
share_borrow_end (struct share_pool *pool, apr_time_t now)
{
  pool->next_end = APR_INT64_MAX;
  for (struct borrowing *b = pool->share->borrowings; b; b = b->next)
    {
      if (b->pool != pool || b->ended)
        continue;
      if (now >= b->until)
        {
          b->ended = true;
          pool->borrowed -= b->amount;
          pool->ended += b->amount;
        }
      else if (b->until < pool->next_end)
        pool->next_end = b->until;
    }
}

void
share_borrow_return (struct share *share, apr_time_t now)
{
  struct borrowing **at = &share->borrowings;
  while (*at)
    {
      struct borrowing *b = *at;
      if (!b->ended && now >= b->pool->next_end)
        share_borrow_end (b->pool, now);
      int64_t idle = b->ended ? b->pool->ended - overdue (b->pool, now) : 0;
      int64_t amount = idle < b->amount ? idle : b->amount;
      if (amount > 0)
        {
          struct share_item item = { b->pool->kind, b->pool->name, amount };
          send_return (share, str_from (b->lender), b->id, item);
          b->amount -= amount;
          b->pool->ended -= amount;
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
share_borrow_end_idle (struct share *share, apr_time_t now)
{
  for (struct borrowing *b = share->borrowings; b; b = b->next)
    if (!b->ended && share_pool_free (b->pool, now) >= b->amount
        && share_group_spare (b->pool->group, now)
               > b->amount + b->pool->group->peak_used / 4)
      {
        b->until = now;
        share_borrow_end (b->pool, now);
      }
}

void
share_borrow_drop (struct share *share, struct asking *asking)
{
  struct asking **at = &share->askings;
  while (*at != asking)
    at = &(*at)->next;
  *at = asking->next;
  asking->group->asking--;
  asking->group->requested -= asking->amount;
  free (asking);
}

bool
share_borrow_ask (struct share *share, struct group *group, apr_time_t now)
{
  struct peer *peer = pick_peer (share, group, now);
  if (!peer)
    return false;
  struct asking *a = calloc (1, sizeof *a);
  if (!a)
    abort ();
  a->group = group;
  a->amount = group->wanted - group->requested;
  a->id = ++share->last_id;
  a->asked_at = now;
  apr_cpystrn (a->lender, peer->name, sizeof a->lender);
  a->next = share->askings;
  share->askings = a;
  group->asking++;
  group->requested += a->amount;
  struct share_message message
      = { .type = SHARE_BORROW,
          .id = a->id,
          .duration
          = share->desc.duration_us + LOAN_PER_DISTANCE * peer->distance_us,
          .count = 1,
          .items = { { (int64_t)group->kind, group->name, a->amount } } };
  share_send (share, str_from (peer->name), &message);
  return true;
}

void
share_borrow_give_up (struct share *share, apr_time_t now)
{
  struct asking *next;
  for (struct asking *a = share->askings; a; a = next)
    {
      next = a->next;
      struct peer *peer = share_find_peer (share, str_from (a->lender));
      apr_time_t limit = ASK_TIMEOUT_US + (peer ? 2 * peer->distance_us : 0);
      if (now - a->asked_at < limit)
        continue;
      if (peer)
        peer->empty_until[a->group->kind] = now + limit;
      share_borrow_drop (share, a);
    }
}

void
share_borrow_extend (struct share *share, apr_time_t now)
{
  for (struct borrowing *b = share->borrowings; b; b = b->next)
    {
      const struct peer *peer = share_find_peer (share, str_from (b->lender));
      apr_time_t ahead = EXTEND_AHEAD_US + (peer ? 2 * peer->distance_us : 0);
      /* Slots go back: of many upstreams' slots the lender soon wants
         another.  */
      if (b->ended || !peer || b->pool->kind == SHARE_SLOTS
          || b->until - now > ahead || now - b->extend_at < ahead
          || share_pool_free (b->pool, now) >= b->amount)
        continue;
      struct share_message message
          = { .type = SHARE_EXTEND,
              .id = b->id,
              .asked_at = now,
              .duration = share->desc.duration_us
                          + LOAN_PER_DISTANCE * peer->distance_us };
      /* All that was lent by one message is extended by one.  */
      for (struct borrowing *same = b; same; same = same->next)
        if (same->id == b->id && strcmp (same->lender, b->lender) == 0)
          same->extend_at = now;
      share_send (share, str_from (b->lender), &message);
    }
}

void
share_borrow_take (struct share *share, struct str from,
                   const struct share_message *answer, apr_time_t now)
{
  struct asking *asking = find_asking (share, from, answer->id);
  struct peer *peer = share_find_peer (share, from);
  if (!asking)
    {
      /* The request was given up; nothing was started on its answer.  */
      for (size_t i = 0; i < answer->count; i++)
        send_return (share, from, answer->id, answer->items[i]);
      return;
    }
  for (size_t i = 0; i < answer->count; i++)
    borrow (share, asking, &answer->items[i], answer);
  if (peer)
    note_spare (peer, asking->group->kind,
                answer->count > 0 && answer->spare > 0, now);
  share_borrow_drop (share, asking);
}

void
share_borrow_take_extended (struct share *share, struct str from,
                            const struct share_message *answer)
{
  for (struct borrowing *b = share->borrowings; b; b = b->next)
    if (b->id == answer->id && b->incarnation == answer->incarnation
        && !b->ended && str_equal (str_from (b->lender), from)
        && answer->asked_at + answer->duration > b->until)
      b->until = answer->asked_at + answer->duration;
}
