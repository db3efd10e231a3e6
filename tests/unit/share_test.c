/* Shares of a cap and loans of them: three entries on a virtual clock, with
   messages that the tests deliver or lose.  Guards against entries that
   together exceed the cap, and shares that stay unused after a loss.  */
#include "base/timer.h"
#include "share/share.h"
#include "tests/unit/unit.h"

#include <stdlib.h>
#include <string.h>

enum
{
  ENTRIES = 3,
  MESSAGES_MAX = 64,
  MAX_USE_MS = 1000
};

struct sent_message
{
  int from;
  int to;
  struct share_message message;
};

static struct share *entries[ENTRIES];
static struct share_pool *pools[ENTRIES];
static struct sent_message sent[MESSAGES_MAX];
static size_t sent_count;
static apr_time_t now;

static void
on_send (void *user_data, struct str to, const struct share_message *message)
{
  if (sent_count < MESSAGES_MAX)
    sent[sent_count++] = (struct sent_message){ (int)(intptr_t)user_data,
                                                to.data[1] - '0', *message };
}

static struct str
name_of (int i)
{
  return str_printf (test_pool, "e%d", i);
}

/* Creates the entries, each with a base share of BASE of one service's cap. */
static void
set_up_entries (int64_t base)
{
  sent_count = 0;
  now = TIMER_SEC (100);
  for (int i = 0; i < ENTRIES; i++)
    {
      struct share_peer peers[ENTRIES];
      size_t count = 0;
      struct share_desc desc = { .entry = name_of (i),
                                 .loan_duration_us = TIMER_MS (100),
                                 .max_use_us = TIMER_MS (MAX_USE_MS),
                                 .seed = (uint64_t)i + 1,
                                 .send = on_send,
                                 .user_data = (void *)(intptr_t)i };
      struct share_cap cap = { .kind = SHARE_SERVICE, .name = STR ("s") };
      entries[i] = share_create (test_pool, &desc);
      pools[i] = share_pool_get (entries[i], &cap);
      share_pool_set_base (pools[i], base);
      for (int p = 0; p < ENTRIES; p++)
        if (p != i)
          peers[count++] = (struct share_peer){ name_of (p), STR (""), 0 };
      share_set_peers (entries[i], peers, count);
    }
}

static void
tear_down_entries (void)
{
  for (int i = 0; i < ENTRIES; i++)
    share_destroy (entries[i]);
}

/* Delivers the messages sent so far, or discards them if LOSE.  */
static void
deliver (bool lose)
{
  struct sent_message batch[MESSAGES_MAX];
  size_t count = sent_count;
  memcpy (batch, sent, count * sizeof *batch);
  sent_count = 0;
  for (size_t i = 0; i < count && !lose; i++)
    share_receive (entries[batch[i].to], name_of (batch[i].from),
                   &batch[i].message, now);
}

/* Returns the sum of what the entries may use.  */
static int64_t
total_limit (void)
{
  int64_t total = 0;
  for (int i = 0; i < ENTRIES; i++)
    total += share_pool_limit (pools[i], now);
  return total;
}

/* Creates entries with a base share of 10 each; entry 0 uses all of it and
   borrows for a demand of DEMAND more.  */
static void
set_up_loan (int64_t demand)
{
  set_up_entries (10);
  share_pool_use (pools[0], 10);
  share_raise_demand (entries[0], SHARE_SERVICE, STR ("s"), demand);
  share_tick (entries[0], now);
  deliver (false);
  deliver (false);
}

/* Entry 0 borrows from the others, and returns the loan after it has expired,
   but not while it is in use: the lenders would use it at the same time.  */
static void
test_loan (void)
{
  set_up_loan (8);
  int64_t limit = share_pool_limit (pools[0], now);
  CU_ASSERT (limit > 10);
  CU_ASSERT_EQUAL (total_limit (), 30);
  share_pool_use (pools[0], limit - 10);
  now += TIMER_MS (101);
  CU_ASSERT_EQUAL (share_pool_limit (pools[0], now), 10);
  CU_ASSERT_EQUAL (share_pool_available (pools[0], now), 0);
  /* Nothing is returned while calls begun on the loan are in progress.  */
  share_tick (entries[0], now);
  CU_ASSERT_EQUAL (sent_count, 0);
  share_pool_release (pools[0], limit - 10);
  share_tick (entries[0], now);
  deliver (false);
  CU_ASSERT_EQUAL (total_limit (), 30);
  CU_ASSERT_EQUAL (share_pool_lent (pools[1]) + share_pool_lent (pools[2]), 0);
  tear_down_entries ();
}

/* A lost request, reply or return leaves capacity unused for a while, but the
   cap is never exceeded.  */
static void
test_lost_messages (void)
{
  for (int lost = 0; lost < 3; lost++)
    {
      set_up_entries (10);
      share_pool_use (pools[0], 10);
      share_raise_demand (entries[0], SHARE_SERVICE, STR ("s"), 8);
      share_tick (entries[0], now);
      deliver (lost == 0);
      deliver (lost == 1);
      CU_ASSERT (total_limit () <= 30);
      now += TIMER_MS (150);
      for (int i = 0; i < ENTRIES; i++)
        share_tick (entries[i], now);
      deliver (lost == 2);
      CU_ASSERT (total_limit () <= 30);
      now += TIMER_MS (MAX_USE_MS);
      for (int i = 0; i < ENTRIES; i++)
        share_tick (entries[i], now);
      CU_ASSERT_EQUAL (total_limit (), 30);
      tear_down_entries ();
    }
}

/* Borrowed shares are not lent to a third entry, which could use them longer
   than the lender expects.  */
static void
test_no_relending (void)
{
  set_up_loan (8);
  share_pool_release (pools[0], 10);
  struct share_message request
      = { .type = SHARE_BORROW,
          .id = 99,
          .duration = TIMER_MS (100),
          .count = 1,
          .items = { { SHARE_SERVICE, STR ("s"), 99 } } };
  for (int i = 0; i < 20; i++)
    {
      request.id++;
      share_receive (entries[0], name_of (2), &request, now);
    }
  CU_ASSERT (share_pool_lent (pools[0]) <= 10);
  tear_down_entries ();
}

/* A loan in use is extended, counted from when the extension was requested,
   however late the reply arrives.  Counted from the reply, it would last
   longer than the lender expects.  */
static void
test_extension (void)
{
  set_up_loan (4);
  int64_t limit = share_pool_limit (pools[0], now);
  share_pool_use (pools[0], limit - 10);
  now += TIMER_MS (60);
  apr_time_t requested_at = now;
  share_tick (entries[0], now);
  CU_ASSERT (sent_count > 0);
  deliver (false); /* the lenders have replied */
  struct sent_message replies[MESSAGES_MAX];
  size_t reply_count = sent_count;
  memcpy (replies, sent, sizeof replies);
  now += TIMER_MS (30);
  for (size_t i = 0; i < reply_count; i++)
    share_receive (entries[0], name_of (replies[i].from), &replies[i].message,
                   now);
  now = requested_at + TIMER_MS (99);
  CU_ASSERT_EQUAL (share_pool_limit (pools[0], now), limit);
  now = requested_at + TIMER_MS (100);
  CU_ASSERT_EQUAL (share_pool_limit (pools[0], now), 10);
  tear_down_entries ();
}

/* The lender takes a loan back only when calls that began on it can no longer
   be in progress, also if the longest time that a call can last was lowered
   meanwhile: calls that began before last as long as they were allowed to, and
   borrowers may adopt the lower time some seconds later.  */
static void
test_shorter_use (void)
{
  static const struct
  {
    int lowered_ms;                          /* when, relative to the grant */
    int to_ms;                               /* the longest use from then on */
    int held_ms;                             /* the loan is still lent then */
    int free_ms;                             /* it no longer is then */
  } cases[] = { { 0, 200, 1090, 1110 },      /* right after the grant */
                { 50, 200, 1090, 1110 },     /* before it expires */
                { 150, 200, 1090, 1110 },    /* after it has expired */
                { 150, 2000, 2090, 2110 },   /* raised */
                { -5000, 200, 1090, 1110 },  /* the borrower lags behind */
                { -20000, 200, 290, 310 } }; /* all have adopted it */
  for (size_t i = 0; i < COUNT (cases); i++)
    {
      set_up_entries (10);
      apr_time_t lowered_at = now + TIMER_MS (cases[i].lowered_ms);
      if (cases[i].lowered_ms < 0)
        for (int e = 0; e < ENTRIES; e++)
          share_set_max_use (entries[e], TIMER_MS (cases[i].to_ms),
                             lowered_at);
      share_pool_use (pools[0], 10);
      share_raise_demand (entries[0], SHARE_SERVICE, STR ("s"), 4);
      share_tick (entries[0], now);
      deliver (false);
      deliver (false);
      apr_time_t granted_at = now;
      CU_ASSERT (share_pool_available (pools[0], now) > 0);
      share_pool_use (pools[0], share_pool_available (pools[0], now));
      apr_time_t held_us = 0;
      for (; now <= granted_at + TIMER_MS (cases[i].free_ms);
           now += TIMER_MS (5))
        {
          if (now == lowered_at && cases[i].lowered_ms >= 0)
            for (int e = 0; e < ENTRIES; e++)
              share_set_max_use (entries[e], TIMER_MS (cases[i].to_ms), now);
          share_tick (entries[1], now);
          share_tick (entries[2], now);
          if (share_pool_lent (pools[1]) + share_pool_lent (pools[2]) > 0)
            held_us = now - granted_at;
        }
      CU_ASSERT (held_us >= TIMER_MS (cases[i].held_ms));
      CU_ASSERT (held_us < TIMER_MS (cases[i].free_ms));
      tear_down_entries ();
    }
}

/* An extension never ends a loan earlier: the borrower may have had an earlier
   extension, for longer, whose reply arrives last.  */
static void
test_shorter_extension (void)
{
  static const struct
  {
    int first_ms, second_ms; /* durations, requested 10 ms apart */
  } cases[] = { { 100, 300 }, { 300, 100 }, { 3300, 300 } };
  for (size_t i = 0; i < COUNT (cases); i++)
    {
      set_up_loan (4);
      int lender = share_pool_lent (pools[1]) > 0 ? 1 : 2;
      apr_time_t last = 0;
      for (int n = 0; n < 2; n++)
        {
          int ms = n == 0 ? cases[i].first_ms : cases[i].second_ms;
          struct share_message request = { .type = SHARE_EXTEND,
                                           .requested_at = now,
                                           .duration = TIMER_MS (ms) };
          for (request.id = 1; request.id <= 4; request.id++)
            share_receive (entries[lender], name_of (0), &request, now);
          last = now + TIMER_MS (ms) > last ? now + TIMER_MS (ms) : last;
          now += TIMER_MS (10);
        }
      /* The borrower may use it until then, and calls begun on it last
         MAX_USE_MS.  */
      now = last + TIMER_MS (MAX_USE_MS - 1);
      share_tick (entries[lender], now);
      CU_ASSERT (share_pool_lent (pools[lender]) > 0);
      tear_down_entries ();
    }
}

/* A borrower that was paused starts nothing on a loan that has expired
   meanwhile, whatever it does first: the lender may have taken it back.  */
static void
test_paused_borrower (void)
{
  enum first
  {
    FIRST_CHECK, /* whether anything is available */
    FIRST_TICK,
    FIRST_LEND,     /* it receives the loan that it had asked for */
    FIRST_EXTENDED, /* it receives an extension that it had asked for */
    FIRST_COUNT
  };
  for (int first = 0; first < FIRST_COUNT; first++)
    for (int pause_ms = 101; pause_ms <= 5101; pause_ms += 1000)
      {
        set_up_entries (10);
        share_pool_use (pools[0], 10);
        share_raise_demand (entries[0], SHARE_SERVICE, STR ("s"), 4);
        share_tick (entries[0], now);
        deliver (false); /* the lenders have replied */
        apr_time_t began_at = now;
        if (first != FIRST_LEND)
          deliver (false);
        if (first == FIRST_EXTENDED)
          {
            share_pool_use (pools[0], share_pool_available (pools[0], now));
            now += TIMER_MS (60);
            began_at = now;
            share_tick (entries[0], now);
            deliver (false);
          }
        now = began_at + TIMER_MS (pause_ms);
        for (int e = 1; e < ENTRIES; e++)
          share_tick (entries[e], now);
        if (first == FIRST_TICK)
          share_tick (entries[0], now);
        if (first == FIRST_LEND || first == FIRST_EXTENDED)
          deliver (false);
        CU_ASSERT_EQUAL (share_pool_limit (pools[0], now), 10);
        CU_ASSERT_EQUAL (share_pool_available (pools[0], now), 0);
        tear_down_entries ();
      }
}

/* The last unit of a share that an entry used recently is not lent: a borrower
   that dies would keep it until the longest use has ended.  */
static void
test_last_unit (void)
{
  set_up_entries (1);
  share_pool_use (pools[1], 1);
  share_tick (entries[1], now);
  share_pool_release (pools[1], 1);
  for (int idle_s = 0; idle_s <= 3; idle_s += 3)
    {
      int64_t max_lent = 0;
      now += TIMER_SEC (idle_s);
      for (int i = 0; i < 100; i++)
        {
          now += TIMER_MS (5);
          share_raise_demand (entries[0], SHARE_SERVICE, STR ("s"), 8);
          for (int e = 0; e < ENTRIES; e++)
            share_tick (entries[e], now);
          deliver (false);
          if (share_pool_lent (pools[1]) > max_lent)
            max_lent = share_pool_lent (pools[1]);
        }
      CU_ASSERT_EQUAL (max_lent, idle_s > 0);
    }
  tear_down_entries ();
}

/* A loan that arrives after its request was given up is returned unused. Kept,
   it would be used by neither entry until the lender takes it back.  */
static void
test_late_reply (void)
{
  set_up_entries (10);
  share_pool_use (pools[0], 10);
  share_raise_demand (entries[0], SHARE_SERVICE, STR ("s"), 8);
  share_tick (entries[0], now);
  deliver (false);
  now += TIMER_SEC (1);
  share_tick (entries[0], now);
  deliver (false);
  CU_ASSERT_EQUAL (share_pool_limit (pools[0], now), 10);
  deliver (false);
  CU_ASSERT_EQUAL (share_pool_lent (pools[1]) + share_pool_lent (pools[2]), 0);
  tear_down_entries ();
}

/* With random demand, uses, lost messages and pauses, the uses of all entries
   never exceed the cap.  */
static void
test_random (void)
{
  for (unsigned int seed = 1; seed <= 50; seed++)
    {
      int64_t used[ENTRIES] = { 0 };
      apr_time_t started_at[ENTRIES][64];
      srand (seed);
      set_up_entries (7);
      for (int step = 0; step < 2000; step++)
        {
          int e = rand () % ENTRIES;
          now += rand () % 20000;
          int64_t available = share_pool_available (pools[e], now);
          if (available > 0 && used[e] < 63)
            {
              started_at[e][used[e]++] = now;
              share_pool_use (pools[e], 1);
            }
          for (int other = 0; other < ENTRIES; other++)
            while (used[other] > 0
                   && (rand () % 60 == 0
                       || now - started_at[other][0]
                              > TIMER_MS (MAX_USE_MS - 50)))
              {
                used[other]--;
                memmove (started_at[other], started_at[other] + 1,
                         (size_t)used[other] * sizeof (apr_time_t));
                share_pool_release (pools[other], 1);
              }
          share_raise_demand (entries[e], SHARE_SERVICE, STR ("s"),
                              rand () % 20);
          if (rand () % 10 != 0)
            share_tick (entries[e], now);
          deliver (rand () % 5 == 0);
          CU_ASSERT (used[0] + used[1] + used[2] <= 7 * ENTRIES);
        }
      tear_down_entries ();
    }
}

/* A cap has one pool, however long its name is: with two, both would be used
   in full.  */
static void
test_long_names (void)
{
  static const int sizes[] = { 1, 63, 79, 127, 140 };
  char name[141];
  memset (name, 'r', sizeof name);
  set_up_entries (1);
  for (size_t i = 0; i < COUNT (sizes); i++)
    {
      struct share_cap cap
          = { .kind = SHARE_LINK, .name = str_view (name, (size_t)sizes[i]) };
      struct share_pool *pool = share_pool_get (entries[0], &cap);
      CU_ASSERT_PTR_EQUAL (share_pool_get (entries[0], &cap), pool);
    }
  tear_down_entries ();
}

const struct unit_test share_tests[] = {
  { "a cap has one pool, whatever its name's length", test_long_names },
  { "a loan ends after its time, but not while it is in use", test_loan },
  { "lost messages do not raise the shares above the cap",
    test_lost_messages },
  { "a borrowed share is not lent on", test_no_relending },
  { "a loan that arrives too late is returned", test_late_reply },
  { "the last unit of a share in use is not lent", test_last_unit },
  { "a loan is not taken back while calls begun on it may last",
    test_shorter_use },
  { "an extension never ends a loan earlier", test_shorter_extension },
  { "a paused borrower starts nothing on an expired loan",
    test_paused_borrower },
  { "an extension counts from its request", test_extension },
  { "the cap holds under random demand, losses and pauses", test_random },
  { NULL, NULL }
};
