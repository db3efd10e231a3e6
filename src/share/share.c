#include "share/share.h"

#include "base/random.h"

#include <apr_hash.h>
#include <apr_strings.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* types */

struct share_pool
{
  struct share_pool *next;
  struct share *share;
  struct group *group;
  enum share_kind kind;
  struct str name;
  int64_t base;
  int64_t held; /* of the base: not to be used yet */
  int64_t used;
  int64_t lent;
  int64_t borrowed;    /* by loans that have not run out */
  int64_t ended;       /* by loans that have, and are to be returned */
  apr_time_t next_end; /* the first of them runs out */
};

/* The pools that are asked for together: the slots of one service in one
   region, or one pool of another kind.  */
struct group
{
  struct group *next;
  struct str name;
  struct str region; /* whose entries own it; empty: all */
  enum share_kind kind;
  struct share_pool *pools;
  struct share_pool *cursor; /* where lending goes on */
  int64_t wanted;
  int64_t lacking;    /* what was wanted at the last tick */
  int64_t peak_used;  /* decays; what this entry needs itself */
  apr_time_t used_at; /* when something was last in use or wanted */
  int asking;         /* requests in progress */
  int64_t requested;  /* by them */
};

/* Something that this entry has lent.  */
struct lending
{
  struct lending *next;
  struct share_pool *pool;
  char borrower[64];
  int64_t incarnation; /* of the borrower */
  int64_t id;
  int64_t amount;
  apr_time_t until; /* the borrower starts nothing on it after this */
};

/* Something that this entry has borrowed.  */
struct borrowing
{
  struct borrowing *next;
  struct share_pool *pool;
  char lender[64];
  int64_t incarnation; /* of the lender */
  int64_t id;
  int64_t amount;
  apr_time_t until;
  apr_time_t extend_at; /* when an extension was asked for last; 0: never */
  bool ended;
};

/* A request whose answer has not come.  */
struct asking
{
  struct asking *next;
  struct group *group;
  char lender[64];
  int64_t id;
  int64_t amount;
  apr_time_t asked_at;
};

struct peer
{
  char name[64];
  char region[64];
  apr_time_t distance_us;
  apr_time_t empty_until[SHARE_KINDS]; /* it had nothing to spare */
  int empty_answers[SHARE_KINDS];      /* of late, in a row */
};

struct share
{
  struct share_desc desc;
  apr_pool_t *pool;
  apr_hash_t *pools; /* by kind and name */
  apr_hash_t *ended; /* int64_t by entry: incarnations up to it have ended */
  struct group *groups;
  struct lending *lendings;
  struct borrowing *borrowings;
  struct asking *askings;
  struct peer *peers;
  size_t peer_count;
  int64_t last_id;
  uint64_t random;
};

/* constants */

#define DEFAULT_DURATION_US INT64_C (300000)
#define LONGEST_DURATION_US INT64_C (60000000)
#define DEFAULT_HOLD_US INT64_C (30000000)
/* A request is given up after this and its peer's distance.  */
#define ASK_TIMEOUT_US INT64_C (100000)
/* An extension is asked for so long, and the way, before a loan ends.  */
#define EXTEND_AHEAD_US INT64_C (50000)
/* A peer that had nothing to spare is not asked for this long, doubled at
   each such answer in a row.  */
#define EMPTY_US INT64_C (20000)

/* An entry that has used a group so lately does not lend the last of it: a
   borrower that dies or pauses would keep it for the longest life of a
   call.  */
#define KEEP_ONE_US INT64_C (2000000)

enum
{
  LOAN_PER_DISTANCE = 15, /* so that the way takes little of a loan */
  EMPTY_DOUBLINGS = 2,
  ASKING_MAX = 4,       /* requests at a time for one group */
  DRIFT_PER_MILLE = 5,  /* by which clocks may run unevenly */
  PEAK_DECAY_SHIFT = 2, /* a quarter at each tick */
  RESERVE_SHIFT = 3,    /* an 8th above the peak is not lent */
  KEY_MAX_BYTES = 80
};

/* private functions */

static struct group *
group_get (struct share *share, enum share_kind kind, struct str name)
{
  struct group *g = share->groups;
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

static struct share_pool *
pool_find (struct share *share, int64_t kind, struct str name)
{
  char key[KEY_MAX_BYTES];
  int size = snprintf (key, sizeof key, "%d/%.*s", (int)kind, STR_ARGS (name));
  return apr_hash_get (share->pools, key, size);
}

/* What this entry needs itself.  */

static int64_t
group_used (const struct group *group)
{
  int64_t used = 0;
  for (const struct share_pool *p = group->pools; p; p = p->next)
    used += p->used;
  return used;
}

static int64_t
group_limit (struct group *group, apr_time_t now)
{
  int64_t limit = 0;
  for (struct share_pool *p = group->pools; p; p = p->next)
    limit += share_pool_limit (p, now);
  return limit;
}

static void
note_use (struct group *group, apr_time_t now)
{
  int64_t used = group_used (group);
  if (used > 0 || group->lacking > 0)
    group->used_at = now;
  if (used > group->peak_used)
    group->peak_used = used;
}

static void
decay_peak (struct group *group)
{
  int64_t part
      = (group->peak_used + (1 << PEAK_DECAY_SHIFT) - 1) >> PEAK_DECAY_SHIFT;
  group->peak_used -= part;
}

/* Returns what this entry can do without.  */
static int64_t
group_spare (struct group *group, apr_time_t now)
{
  int64_t need = group->peak_used + (group->peak_used >> RESERVE_SHIFT)
                 + group->lacking;
  if (need == 0 && group->used_at > 0 && now - group->used_at < KEEP_ONE_US)
    need = 1;
  int64_t spare = group_limit (group, now) - need;
  return spare > 0 ? spare : 0;
}

/* Loans that ran out.  */

static void
end_borrowings (struct share_pool *pool, apr_time_t now)
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

/* Returns what is used beyond what may be used: uses that began on loans
   that have since run out.  */
static int64_t
overdue (struct share_pool *pool, apr_time_t now)
{
  int64_t over = pool->used - share_pool_limit (pool, now);
  return over > 0 ? over : 0;
}

static void
send_message (struct share *share, struct str to,
              struct share_message *message)
{
  message->incarnation = share->desc.incarnation;
  share->desc.send (share->desc.part, to, message);
}

static void
send_return (struct share *share, struct str lender, int64_t id,
             struct share_item item)
{
  struct share_message message
      = { .type = SHARE_RETURN, .id = id, .count = 1, .items = { item } };
  send_message (share, lender, &message);
}

/* Gives back what has run out and is no longer used.  */
static void
return_ended (struct share *share, apr_time_t now)
{
  struct borrowing **at = &share->borrowings;
  while (*at)
    {
      struct borrowing *b = *at;
      if (!b->ended && now >= b->pool->next_end)
        end_borrowings (b->pool, now);
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

/* Ends loans early whose group has enough without them.  */
static void
end_idle_borrowings (struct share *share, apr_time_t now)
{
  for (struct borrowing *b = share->borrowings; b; b = b->next)
    if (!b->ended && share_pool_free (b->pool, now) >= b->amount
        && group_spare (b->pool->group, now)
               > b->amount + b->pool->group->peak_used / 4)
      {
        b->until = now;
        end_borrowings (b->pool, now);
      }
}

/* Takes back what was lent so long ago that nothing can be left of it.  */
static void
end_lendings (struct share *share, apr_time_t now)
{
  struct lending **at = &share->lendings;
  while (*at)
    {
      struct lending *l = *at;
      apr_time_t hold = l->pool->kind == SHARE_LINK ? 0 : share->desc.hold_us;
      if (l->amount > 0 && now < l->until + hold)
        {
          at = &l->next;
          continue;
        }
      l->pool->lent -= l->amount;
      *at = l->next;
      free (l);
    }
}

/* Asking.  */

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

/* Asks one peer; returns false if there is none to ask.  */
static bool
ask (struct share *share, struct group *group, apr_time_t now)
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
  send_message (share, str_from (peer->name), &message);
  return true;
}

static void
drop_asking (struct share *share, struct asking *asking)
{
  struct asking **at = &share->askings;
  while (*at != asking)
    at = &(*at)->next;
  *at = asking->next;
  asking->group->asking--;
  asking->group->requested -= asking->amount;
  free (asking);
}

static struct peer *
find_peer (struct share *share, struct str name)
{
  for (size_t i = 0; i < share->peer_count; i++)
    if (str_equal (str_from (share->peers[i].name), name))
      return &share->peers[i];
  return NULL;
}

static void
give_up_askings (struct share *share, apr_time_t now)
{
  struct asking *next;
  for (struct asking *a = share->askings; a; a = next)
    {
      next = a->next;
      struct peer *peer = find_peer (share, str_from (a->lender));
      apr_time_t limit = ASK_TIMEOUT_US + (peer ? 2 * peer->distance_us : 0);
      if (now - a->asked_at < limit)
        continue;
      if (peer)
        peer->empty_until[a->group->kind] = now + limit;
      drop_asking (share, a);
    }
}

/* Returns when a loan that is granted now has surely run out.  */
static apr_time_t
lent_until (apr_time_t now, apr_time_t duration)
{
  return now + duration + duration * DRIFT_PER_MILLE / 1000;
}

/* Extending.  */

/* Asks for more time of the loans that are in use and run out soon; all that
   was lent by one message is extended by one.  Slots go back: of many
   upstreams' slots the lender soon wants another.  */
static void
extend_borrowings (struct share *share, apr_time_t now)
{
  for (struct borrowing *b = share->borrowings; b; b = b->next)
    {
      const struct peer *peer = find_peer (share, str_from (b->lender));
      apr_time_t ahead = EXTEND_AHEAD_US + (peer ? 2 * peer->distance_us : 0);
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
      for (struct borrowing *same = b; same; same = same->next)
        if (same->id == b->id && strcmp (same->lender, b->lender) == 0)
          same->extend_at = now;
      send_message (share, str_from (b->lender), &message);
    }
}

static void
take_extend (struct share *share, struct str from,
             const struct share_message *request, apr_time_t now)
{
  struct share_message answer = { .type = SHARE_EXTENDED,
                                  .id = request->id,
                                  .asked_at = request->asked_at,
                                  .duration = request->duration };
  bool any = false;
  if (request->duration <= 0 || request->duration > LONGEST_DURATION_US)
    return;
  for (struct lending *l = share->lendings; l; l = l->next)
    if (l->id == request->id && l->incarnation == request->incarnation
        && l->amount > 0 && l->pool->group->lacking == 0
        && str_equal (str_from (l->borrower), from))
      {
        l->until = lent_until (now, request->duration);
        any = true;
      }
  if (any)
    send_message (share, from, &answer);
}

static void
take_extended (struct share *share, struct str from,
               const struct share_message *answer)
{
  for (struct borrowing *b = share->borrowings; b; b = b->next)
    if (b->id == answer->id && b->incarnation == answer->incarnation
        && !b->ended && str_equal (str_from (b->lender), from)
        && answer->asked_at + answer->duration > b->until)
      b->until = answer->asked_at + answer->duration;
}

/* Lending.  */

static void
lend (struct share_pool *pool, int64_t amount, struct str borrower,
      const struct share_message *request, apr_time_t now)
{
  struct lending *l = calloc (1, sizeof *l);
  if (!l)
    abort ();
  l->pool = pool;
  l->id = request->id;
  l->incarnation = request->incarnation;
  l->amount = amount;
  l->until = lent_until (now, request->duration);
  snprintf (l->borrower, sizeof l->borrower, "%.*s", STR_ARGS (borrower));
  l->next = pool->share->lendings;
  pool->share->lendings = l;
  pool->lent += amount;
}

/* Returns what POOL can lend: free, and its own.  What is borrowed is not
   lent on, since the second loan would outlive the first.  */
static int64_t
lendable (struct share_pool *pool, apr_time_t now)
{
  int64_t left = share_pool_free (pool, now);
  int64_t own = pool->base - pool->held - pool->lent;
  if (own < left)
    left = own;
  return left > 0 ? left : 0;
}

static void
take_borrow (struct share *share, struct str from,
             const struct share_message *request, apr_time_t now)
{
  struct share_message answer = { .type = SHARE_LEND,
                                  .id = request->id,
                                  .duration = request->duration };
  if (request->count != 1 || request->duration <= 0
      || request->duration > LONGEST_DURATION_US)
    return;
  struct group *group = group_get (
      share, (enum share_kind)request->items[0].kind, request->items[0].name);
  note_use (group, now);
  int64_t left = group_spare (group, now);
  /* A borrower gets at most half, so that several can be served.  */
  int64_t most = (left + 1) / 2;
  int64_t wanted = request->items[0].amount;
  if (wanted > most)
    wanted = most;
  struct share_pool *start = group->cursor ? group->cursor : group->pools;
  struct share_pool *p = start;
  while (p && wanted > 0 && answer.count < SHARE_ITEMS_MAX)
    {
      int64_t amount = lendable (p, now);
      if (amount > wanted)
        amount = wanted;
      if (amount > 0)
        {
          lend (p, amount, from, request, now);
          answer.items[answer.count++]
              = (struct share_item){ p->kind, p->name, amount };
          wanted -= amount;
          left -= amount;
        }
      p = p->next ? p->next : group->pools;
      if (p == start)
        break;
    }
  group->cursor = p;
  answer.spare = left;
  send_message (share, from, &answer);
}

/* Returns the highest incarnation of PEER that is known to have ended.  */
static int64_t
ended_incarnation (const struct share *share, struct str peer)
{
  const int64_t *ended
      = apr_hash_get (share->ended, peer.data, (apr_ssize_t)peer.size);
  return ended ? *ended : -1;
}

static void
note_ended (struct share *share, struct str peer, int64_t incarnation)
{
  int64_t *ended
      = apr_hash_get (share->ended, peer.data, (apr_ssize_t)peer.size);
  if (!ended)
    {
      struct str key = str_dup (share->pool, peer);
      ended = apr_palloc (share->pool, sizeof *ended);
      *ended = incarnation;
      apr_hash_set (share->ended, key.data, (apr_ssize_t)key.size, ended);
    }
  if (incarnation > *ended)
    *ended = incarnation;
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
  struct share_pool *pool = pool_find (share, item->kind, item->name);
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

static void
take_lend (struct share *share, struct str from,
           const struct share_message *answer, apr_time_t now)
{
  struct asking *asking = find_asking (share, from, answer->id);
  struct peer *peer = find_peer (share, from);
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
  drop_asking (share, asking);
}

static void
take_return (struct share *share, struct str from,
             const struct share_message *message)
{
  const struct share_item *item = &message->items[0];
  for (struct lending *l = share->lendings; l; l = l->next)
    if (message->count == 1 && l->id == message->id
        && l->pool == pool_find (share, item->kind, item->name)
        && str_equal (str_from (l->borrower), from)
        && l->incarnation == message->incarnation && item->amount > 0)
      {
        int64_t amount = item->amount < l->amount ? item->amount : l->amount;
        l->amount -= amount;
        l->pool->lent -= amount;
        return;
      }
}

/* public functions */

struct share *
share_create (apr_pool_t *pool, const struct share_desc *desc)
{
  struct share *share = apr_pcalloc (pool, sizeof *share);
  share->pool = pool;
  share->desc = *desc;
  share->pools = apr_hash_make (pool);
  share->ended = apr_hash_make (pool);
  share->random = desc->seed ? desc->seed : RANDOM_DEFAULT_SEED;
  if (!share->desc.duration_us)
    share->desc.duration_us = DEFAULT_DURATION_US;
  if (!share->desc.hold_us)
    share->desc.hold_us = DEFAULT_HOLD_US;
  return share;
}

void
share_destroy (struct share *share)
{
  if (!share)
    return;
  while (share->askings)
    drop_asking (share, share->askings);
  while (share->lendings)
    {
      struct lending *l = share->lendings;
      share->lendings = l->next;
      free (l);
    }
  while (share->borrowings)
    {
      struct borrowing *b = share->borrowings;
      share->borrowings = b->next;
      free (b);
    }
  free (share->peers);
}

struct share_pool *
share_pool_get (struct share *share, const struct share_cap *cap)
{
  struct share_pool *pool = pool_find (share, cap->kind, cap->name);
  if (pool)
    return pool;
  char *key = str_format (share->pool, "%d/%.*s", (int)cap->kind,
                          STR_ARGS (cap->name));
  pool = apr_pcalloc (share->pool, sizeof *pool);
  pool->share = share;
  pool->kind = cap->kind;
  pool->name = str_dup (share->pool, cap->name);
  pool->next_end = APR_INT64_MAX;
  pool->group = group_get (share, cap->kind,
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
share_pool_set_held (struct share_pool *pool, int64_t held)
{
  pool->held = held;
}

int64_t
share_pool_limit (struct share_pool *pool, apr_time_t now)
{
  if (now >= pool->next_end)
    end_borrowings (pool, now);
  return pool->base - pool->held - pool->lent + pool->borrowed;
}

int64_t
share_pool_free (struct share_pool *pool, apr_time_t now)
{
  int64_t left = share_pool_limit (pool, now) - pool->used;
  return left > 0 ? left : 0;
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
      const struct peer *old = find_peer (share, peers[i].name);
      if (old)
        list[i] = *old;
      snprintf (list[i].name, sizeof list[i].name, "%.*s",
                STR_ARGS (peers[i].name));
      snprintf (list[i].region, sizeof list[i].region, "%.*s",
                STR_ARGS (peers[i].region));
      list[i].distance_us = peers[i].distance_us;
    }
  free (share->peers);
  share->peers = list;
  share->peer_count = count;
}

void
share_want (struct share *share, enum share_kind kind, struct str group,
            int64_t amount)
{
  struct group *g = group_get (share, kind, group);
  if (amount > g->wanted)
    g->wanted = amount;
}

void
share_tick (struct share *share, apr_time_t now)
{
  end_idle_borrowings (share, now);
  extend_borrowings (share, now);
  return_ended (share, now);
  end_lendings (share, now);
  give_up_askings (share, now);
  for (struct group *g = share->groups; g; g = g->next)
    {
      decay_peak (g);
      note_use (g, now);
      while (g->wanted > g->requested && g->asking < ASKING_MAX
             && ask (share, g, now))
        ;
      g->lacking = g->wanted;
      g->wanted = 0;
    }
}

void
share_receive (struct share *share, struct str from,
               const struct share_message *message, apr_time_t now)
{
  /* Late words of a process that has ended.  */
  if (message->incarnation <= ended_incarnation (share, from))
    return;
  switch (message->type)
    {
    case SHARE_BORROW:
      take_borrow (share, from, message, now);
      break;
    case SHARE_LEND:
      take_lend (share, from, message, now);
      break;
    case SHARE_RETURN:
      take_return (share, from, message);
      break;
    case SHARE_EXTEND:
      take_extend (share, from, message, now);
      break;
    case SHARE_EXTENDED:
      take_extended (share, from, message);
      break;
    default:
      break;
    }
}

void
share_set_hold (struct share *share, apr_time_t hold_us)
{
  share->desc.hold_us = hold_us;
}

void
share_forget (struct share *share, struct str peer, int64_t incarnation)
{
  note_ended (share, peer, incarnation);
  for (struct lending *l = share->lendings; l; l = l->next)
    if (l->incarnation <= incarnation
        && str_equal (str_from (l->borrower), peer))
      {
        l->pool->lent -= l->amount;
        l->amount = 0;
      }
  struct borrowing **at = &share->borrowings;
  while (*at)
    {
      struct borrowing *b = *at;
      if (b->incarnation > incarnation
          || !str_equal (str_from (b->lender), peer))
        {
          at = &b->next;
          continue;
        }
      *(b->ended ? &b->pool->ended : &b->pool->borrowed) -= b->amount;
      *at = b->next;
      free (b);
    }
}

bool
share_is_settled (struct share *share, apr_time_t now)
{
  for (struct group *g = share->groups; g; g = g->next)
    for (struct share_pool *p = g->pools; p && g->kind != SHARE_LINK;
         p = p->next)
      {
        /* What is held back is still this entry's own.  */
        int64_t owned = share_pool_limit (p, now) + p->held + p->ended;
        if (p->used > (owned > 0 ? owned : 0) || owned < 0)
          return false;
      }
  return true;
}
