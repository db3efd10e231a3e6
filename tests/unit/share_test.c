/* Shares and loans on a virtual clock: three entries, messages by hand.  */
#include "base/timer.h"
#include "share/share.h"
#include "tests/unit/unit.h"

#include <stdlib.h>
#include <string.h>

enum
{
  ENTRIES = 3,
  MESSAGES_MAX = 64,
  HOLD_MS = 1000
};

struct mail
{
  int from;
  int to;
  struct share_message message;
};

static struct share *entries[ENTRIES];
static struct share_pool *pools[ENTRIES];
static struct mail mails[MESSAGES_MAX];
static size_t mail_count;
static apr_time_t now;

static void
on_send (void *part, struct str to, const struct share_message *message)
{
  if (mail_count < MESSAGES_MAX)
    mails[mail_count++]
        = (struct mail){ (int)(intptr_t)part, to.data[1] - '0', *message };
}

static struct str
name_of (int i)
{
  return str_printf (test_pool, "e%d", i);
}

/* Each entry owns BASE of one service's cap.  */
static void
open_entries (int64_t base)
{
  mail_count = 0;
  now = TIMER_SEC (100);
  for (int i = 0; i < ENTRIES; i++)
    {
      struct share_peer peers[ENTRIES];
      size_t count = 0;
      struct share_desc desc = { .entry = name_of (i),
                                 .loan_duration_us = TIMER_MS (100),
                                 .max_use_us = TIMER_MS (HOLD_MS),
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
close_entries (void)
{
  for (int i = 0; i < ENTRIES; i++)
    share_destroy (entries[i]);
}

static void
deliver (bool lose)
{
  struct mail batch[MESSAGES_MAX];
  size_t count = mail_count;
  memcpy (batch, mails, count * sizeof *batch);
  mail_count = 0;
  for (size_t i = 0; i < count && !lose; i++)
    share_receive (entries[batch[i].to], name_of (batch[i].from),
                   &batch[i].message, now);
}

static int64_t
total_limit (void)
{
  int64_t total = 0;
  for (int i = 0; i < ENTRIES; i++)
    total += share_pool_limit (pools[i], now);
  return total;
}

/* Opens entries that own 10 each; entry 0 uses all of it and borrows WANTED
   more.  */
static void
open_with_loan (int64_t wanted)
{
  open_entries (10);
  share_pool_use (pools[0], 10);
  share_raise_demand (entries[0], SHARE_SERVICE, STR ("s"), wanted);
  share_tick (entries[0], now);
  deliver (false);
  deliver (false);
}

/* Entry 0 wants more: it gets it from the others, and gives it back.  */
static void
test_loan (void)
{
  open_with_loan (8);
  int64_t limit = share_pool_limit (pools[0], now);
  CU_ASSERT (limit > 10);
  CU_ASSERT_EQUAL (total_limit (), 30);
  share_pool_use (pools[0], limit - 10);
  now += TIMER_MS (101);
  CU_ASSERT_EQUAL (share_pool_limit (pools[0], now), 10);
  CU_ASSERT_EQUAL (share_pool_available (pools[0], now), 0);
  /* Nothing is given back while calls begun on the loan are in progress.  */
  share_tick (entries[0], now);
  CU_ASSERT_EQUAL (mail_count, 0);
  share_pool_release (pools[0], limit - 10);
  share_tick (entries[0], now);
  deliver (false);
  CU_ASSERT_EQUAL (total_limit (), 30);
  CU_ASSERT_EQUAL (share_pool_lent (pools[1]) + share_pool_lent (pools[2]), 0);
  close_entries ();
}

/* An answer or a return that is lost costs capacity for a while, never
   safety.  */
static void
test_lost_messages (void)
{
  for (int lost = 0; lost < 3; lost++)
    {
      open_entries (10);
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
      now += TIMER_MS (HOLD_MS);
      for (int i = 0; i < ENTRIES; i++)
        share_tick (entries[i], now);
      CU_ASSERT_EQUAL (total_limit (), 30);
      close_entries ();
    }
}

/* What is borrowed is not lent on.  */
static void
test_no_second_hand (void)
{
  open_with_loan (8);
  share_pool_release (pools[0], 10);
  struct share_message ask = { .type = SHARE_BORROW,
                               .id = 99,
                               .duration = TIMER_MS (100),
                               .count = 1,
                               .items = { { SHARE_SERVICE, STR ("s"), 99 } } };
  for (int i = 0; i < 20; i++)
    {
      ask.id++;
      share_receive (entries[0], name_of (2), &ask, now);
    }
  CU_ASSERT (share_pool_lent (pools[0]) <= 10);
  close_entries ();
}

/* A loan in use is extended, counted from when the extension was asked for,
   however late the answer comes.  */
static void
test_extension (void)
{
  open_with_loan (4);
  int64_t limit = share_pool_limit (pools[0], now);
  share_pool_use (pools[0], limit - 10);
  now += TIMER_MS (60);
  apr_time_t first = now;
  share_tick (entries[0], now);
  CU_ASSERT (mail_count > 0);
  deliver (false); /* the lenders have answered */
  struct mail late[MESSAGES_MAX];
  size_t late_count = mail_count;
  memcpy (late, mails, sizeof late);
  now += TIMER_MS (30);
  for (size_t i = 0; i < late_count; i++)
    share_receive (entries[0], name_of (late[i].from), &late[i].message, now);
  now = first + TIMER_MS (99);
  CU_ASSERT_EQUAL (share_pool_limit (pools[0], now), limit);
  now = first + TIMER_MS (100);
  CU_ASSERT_EQUAL (share_pool_limit (pools[0], now), 10);
  close_entries ();
}

/* The last of what an entry uses of late is not lent; a borrower that dies
   would keep it.  */
static void
test_last_one (void)
{
  open_entries (1);
  share_pool_use (pools[1], 1);
  share_tick (entries[1], now);
  share_pool_release (pools[1], 1);
  for (int idle_s = 0; idle_s <= 3; idle_s += 3)
    {
      int64_t most_lent = 0;
      now += TIMER_SEC (idle_s);
      for (int i = 0; i < 100; i++)
        {
          now += TIMER_MS (5);
          share_raise_demand (entries[0], SHARE_SERVICE, STR ("s"), 8);
          for (int e = 0; e < ENTRIES; e++)
            share_tick (entries[e], now);
          deliver (false);
          if (share_pool_lent (pools[1]) > most_lent)
            most_lent = share_pool_lent (pools[1]);
        }
      CU_ASSERT_EQUAL (most_lent, idle_s > 0);
    }
  close_entries ();
}

/* A late answer to a request that was given up is returned, not used.  */
static void
test_late_answer (void)
{
  open_entries (10);
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
  close_entries ();
}

/* Random wants, uses, losses and pauses: uses over all entries never exceed
   the cap.  */
static void
test_random (void)
{
  for (unsigned int seed = 1; seed <= 50; seed++)
    {
      int64_t used[ENTRIES] = { 0 };
      apr_time_t began[ENTRIES][64];
      srand (seed);
      open_entries (7);
      for (int step = 0; step < 2000; step++)
        {
          int e = rand () % ENTRIES;
          now += rand () % 20000;
          int64_t left = share_pool_available (pools[e], now);
          if (left > 0 && used[e] < 63)
            {
              began[e][used[e]++] = now;
              share_pool_use (pools[e], 1);
            }
          for (int o = 0; o < ENTRIES; o++)
            while (used[o] > 0
                   && (rand () % 60 == 0
                       || now - began[o][0] > TIMER_MS (HOLD_MS - 50)))
              {
                used[o]--;
                memmove (began[o], began[o] + 1,
                         (size_t)used[o] * sizeof (apr_time_t));
                share_pool_release (pools[o], 1);
              }
          share_raise_demand (entries[e], SHARE_SERVICE, STR ("s"),
                              rand () % 20);
          if (rand () % 10 != 0)
            share_tick (entries[e], now);
          deliver (rand () % 5 == 0);
          CU_ASSERT (used[0] + used[1] + used[2] <= 7 * ENTRIES);
        }
      close_entries ();
    }
}

const struct unit_test share_tests[]
    = { { "loan", test_loan },
        { "lost messages", test_lost_messages },
        { "no second hand", test_no_second_hand },
        { "late answer", test_late_answer },
        { "last one", test_last_one },
        { "extension", test_extension },
        { "random", test_random },
        { NULL, NULL } };
