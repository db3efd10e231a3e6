/* Steering decisions on a virtual clock, with seeds.  */
#include "base/timer.h"
#include "steer/budget.h"
#include "steer/token_bucket.h"
#include "steer/steer.h"
#include "tests/unit/fixture.h"
#include "tests/unit/unit.h"

#include <stdlib.h>
#include <string.h>

static struct snapshot *snapshot;
static struct steer *steer;
static const struct service *shop;
static apr_time_t now;

static void
send_nothing (void *part, struct str to, const struct share_message *message)
{
  (void)part;
  (void)to;
  (void)message;
}

static void
open_steer (int upstreams, int slots, const char *fields)
{
  struct steer_desc desc = { .region = STR ("north"),
                             .share = { .send = send_nothing },
                             .seed = 42 };
  snapshot = fixture_shop (upstreams, slots, fields);
  steer = steer_create (test_pool, &desc);
  now = TIMER_SEC (1000);
  steer_apply (steer, snapshot, now);
  shop = snapshot_find (snapshot, KIND_SERVICE, STR ("shop"));
}

static void
close_steer (void)
{
  steer_destroy (steer);
  snapshot_unref (snapshot);
}

static struct steer_choice
choose (enum call_class call_class)
{
  struct steer_request request
      = { .service = shop, .call_class = call_class, .now = now };
  return steer_choose (steer, &request);
}

/* Begins calls until none can be placed; returns how many.  */
static int
fill (enum call_class call_class, struct steer_attempt *tickets, int most)
{
  int n = 0;
  while (n < most)
    {
      struct steer_choice choice = choose (call_class);
      if (choice.verdict != STEER_CHOSEN)
        break;
      tickets[n++] = steer_begin_attempt (steer, choice.upstream, call_class);
    }
  return n;
}

static void
test_shares (void)
{
  static const struct
  {
    int64_t cap;
    size_t entries;
  } cases[] = { { 9, 11 }, { 240, 11 }, { 36, 11 },
                { 0, 5 },  { 1, 200 },  { 1000003, 3500 } };
  for (size_t i = 0; i < COUNT (cases); i++)
    for (uint64_t salt = 0; salt < 50; salt += 7)
      {
        int64_t sum = 0;
        int64_t most = 0, least = INT64_MAX;
        for (size_t e = 0; e < cases[i].entries; e++)
          {
            int64_t share
                = steer_share_size (cases[i].cap, e, cases[i].entries, salt);
            sum += share;
            most = share > most ? share : most;
            least = share < least ? share : least;
          }
        CU_ASSERT_EQUAL (sum, cases[i].cap);
        CU_ASSERT (most - least <= 1);
      }
}

static void
test_limits (void)
{
  static const struct
  {
    const char *fields;
    enum call_class call_class;
    int placed; /* with 2 x 2 upstreams of 3 slots */
    enum steer_verdict then;
  } cases[] = {
    { "", CLASS_SHORT, 12, STEER_WAIT },
    { ",'call_cap':5", CLASS_SHORT, 5, STEER_CAPPED },
    { ",'long_slots_percent':50", CLASS_LONG, 6, STEER_WAIT },
    { ",'long_slots_percent':1", CLASS_LONG, 1, STEER_WAIT },
  };
  for (size_t i = 0; i < COUNT (cases); i++)
    {
      struct steer_attempt tickets[64];
      open_steer (2, 3, cases[i].fields);
      int placed = fill (cases[i].call_class, tickets, 64);
      CU_ASSERT_EQUAL (placed, cases[i].placed);
      CU_ASSERT_EQUAL (choose (cases[i].call_class).verdict, cases[i].then);
      if (cases[i].call_class == CLASS_LONG)
        CU_ASSERT_EQUAL (choose (CLASS_SHORT).verdict, STEER_CHOSEN);
      for (int t = 0; t < placed; t++)
        steer_end_attempt (steer, &tickets[t], RESULT_ANSWERED, 1000, now);
      CU_ASSERT_EQUAL (choose (cases[i].call_class).verdict, STEER_CHOSEN);
      close_steer ();
    }
}

/* Calls under no cap do not keep a membership from being confirmed.  */
static void
test_settled (void)
{
  static const struct
  {
    const char *fields;
    bool is_settled; /* after the other member's part was taken away */
  } cases[] = { { "", true }, { ",'call_cap':4", false } };
  for (size_t i = 0; i < COUNT (cases); i++)
    {
      struct member_record members[] = {
        { STR ("e1"), STR ("north"), STR (""), 1, 1, MEMBER_NOT_REMOVED },
        { STR ("e2"), STR ("north"), STR (""), 1, 2, MEMBER_NOT_REMOVED }
      };
      struct steer_attempt tickets[4];
      struct steer_desc desc = { .region = STR ("north"),
                                 .share = { .entry = STR ("e1"),
                                            .incarnation = 1,
                                            .send = send_nothing },
                                 .seed = 42 };
      struct membership *alone = membership_create (1, 1, members, 1);
      struct membership *both = membership_create (2, 1, members, 2);
      snapshot = fixture_shop (4, 2, cases[i].fields);
      steer = steer_create (test_pool, &desc);
      now = TIMER_SEC (1000);
      steer_apply (steer, snapshot, now);
      shop = snapshot_find (snapshot, KIND_SERVICE, STR ("shop"));
      steer_set_membership (steer, alone, 1);
      CU_ASSERT_EQUAL (fill (CLASS_SHORT, tickets, 4), 4);
      CU_ASSERT_TRUE (steer_is_within_limits (steer, now));
      steer_set_membership (steer, both, 2);
      for (int t = 0; t < 2; t++)
        if (cases[i].is_settled)
          steer_end_attempt (steer, &tickets[t], RESULT_ANSWERED, 1000, now);
      CU_ASSERT_EQUAL (steer_is_within_limits (steer, now),
                       cases[i].is_settled);
      membership_unref (alone);
      membership_unref (both);
      close_steer ();
    }
}

static void
test_leaving (void)
{
  static const enum leaving_source sources[]
      = { LEAVING_DRAIN, LEAVING_HEALTH, LEAVING_PLATFORM };
  open_steer (1, 2, "");
  for (size_t i = 0; i < COUNT (sources); i++)
    {
      steer_set_leaving (steer, STR ("n0"), sources[i], true, now);
      /* Another source's word does not end it.  */
      steer_set_leaving (steer, STR ("n0"), sources[(i + 1) % 3], false, now);
      struct steer_choice choice = choose (CLASS_SHORT);
      CU_ASSERT_EQUAL (choice.verdict, STEER_CHOSEN);
      CU_ASSERT (str_equal (choice.upstream->head.name, STR ("s0")));
      steer_set_leaving (steer, STR ("s0"), LEAVING_DRAIN, true, now);
      CU_ASSERT_EQUAL (choose (CLASS_SHORT).verdict, STEER_NO_UPSTREAM);
      steer_set_leaving (steer, STR ("s0"), LEAVING_DRAIN, false, now);
      steer_set_leaving (steer, STR ("n0"), sources[i], false, now);
      CU_ASSERT_EQUAL (choose (CLASS_SHORT).verdict, STEER_CHOSEN);
    }
  close_steer ();
}

/* A returning upstream reaches its slots over its ramp, in steps.  */
static void
test_ramp (void)
{
  open_steer (1, 10, "");
  steer_set_leaving (steer, STR ("n0"), LEAVING_HEALTH, true, now);
  steer_set_leaving (steer, STR ("n0"), LEAVING_HEALTH, false, now);
  static const struct
  {
    int after_ms;
    int64_t limit;
  } cases[] = { { 0, 1 },   { 100, 1 }, { 200, 2 },
                { 550, 5 }, { 999, 9 }, { 1000, 10 } };
  for (size_t i = 0; i < COUNT (cases); i++)
    {
      apr_time_t then = now + TIMER_MS (cases[i].after_ms);
      steer_update_demand (steer, shop, 0, then);
      CU_ASSERT_EQUAL (steer_query_upstream (steer, STR ("n0"), then).limit,
                       cases[i].limit);
    }
  close_steer ();
}

static void
test_ejection (void)
{
  open_steer (2, 5, "");
  const struct upstream *n0
      = snapshot_find (snapshot, KIND_UPSTREAM, STR ("n0"));
  for (int i = 0; i < 3; i++)
    {
      CU_ASSERT_FALSE (steer_query_upstream (steer, STR ("n0"), now).ejected);
      struct steer_attempt ticket
          = steer_begin_attempt (steer, n0, CLASS_SHORT);
      steer_end_attempt (steer, &ticket, RESULT_FAILED, 100, now);
    }
  CU_ASSERT_TRUE (steer_query_upstream (steer, STR ("n0"), now).ejected);
  now += TIMER_SEC (1);
  CU_ASSERT_FALSE (steer_query_upstream (steer, STR ("n0"), now).ejected);
  close_steer ();
}

/* A slow upstream gets few calls, and is found again once it is fast.  */
static void
test_slow_upstream (void)
{
  open_steer (6, 3, "");
  int to_slow[2] = { 0, 0 };
  for (int i = 0; i < 20000; i++)
    {
      bool slow_now = i < 10000;
      struct steer_choice choice = choose (CLASS_SHORT);
      CU_ASSERT_EQUAL_FATAL (choice.verdict, STEER_CHOSEN);
      bool is_slow = str_equal (choice.upstream->head.name, STR ("n0"));
      to_slow[i / 10000] += is_slow;
      struct steer_attempt ticket
          = steer_begin_attempt (steer, choice.upstream, CLASS_SHORT);
      apr_time_t took = is_slow && slow_now ? 100000 : 10000;
      if (str_starts_with (choice.upstream->head.name, STR ("s")))
        took += 20000;
      now += 1000;
      steer_end_attempt (steer, &ticket, RESULT_ANSWERED, took, now);
    }
  CU_ASSERT (to_slow[0] < 100);
  CU_ASSERT (to_slow[1] > 500);
  close_steer ();
}

/* Reports can lower an upstream's rank, never raise it.  */
static void
test_lying_reports (void)
{
  open_steer (4, 3, "");
  int to_liar = 0;
  for (int i = 0; i < 2000; i++)
    {
      steer_set_reported_load (steer, STR ("n0"), 0, now);
      steer_set_reported_load (steer, STR ("n1"), 90, now);
      struct steer_choice choice = choose (CLASS_SHORT);
      bool liar = str_equal (choice.upstream->head.name, STR ("n0"));
      to_liar += liar;
      struct steer_attempt ticket
          = steer_begin_attempt (steer, choice.upstream, CLASS_SHORT);
      now += 1000;
      steer_end_attempt (steer, &ticket, RESULT_ANSWERED, liar ? 80000 : 10000,
                         now);
    }
  CU_ASSERT (to_liar < 40);
  close_steer ();
}

/* Tickets stay good over configurations, and counts come back to zero.  */
static void
test_reconfiguration (void)
{
  struct steer_attempt tickets[64];
  open_steer (2, 3, "");
  int placed = fill (CLASS_SHORT, tickets, 64);
  struct snapshot *smaller = fixture_shop (1, 3, "");
  steer_apply (steer, smaller, now);
  CU_ASSERT_EQUAL (steer_query_upstream (steer, STR ("n1"), now).limit, 0);
  CU_ASSERT_EQUAL (steer_query_upstream (steer, STR ("n0"), now).in_flight, 3);
  for (int i = 0; i < placed; i++)
    steer_end_attempt (steer, &tickets[i], RESULT_ANSWERED, 1000, now);
  CU_ASSERT_EQUAL (steer_query_upstream (steer, STR ("n0"), now).in_flight, 0);
  struct snapshot *again = fixture_shop (2, 3, "");
  steer_apply (steer, again, now);
  CU_ASSERT_EQUAL (steer_query_upstream (steer, STR ("n1"), now).in_flight, 0);
  snapshot_unref (smaller);
  snapshot_unref (again);
  close_steer ();
}

/* Whatever is asked and when: no window of 100 ms sees more than a tenth of
   the rate, and steady demand gets nine tenths of it.  */
static void
test_pace (void)
{
  static const int64_t rates[] = { 1000000, 45000000, 500000000 };
  enum
  {
    STEPS = 20000,
    STEP_US = 100
  };
  static size_t passed[STEPS];
  for (size_t r = 0; r < COUNT (rates); r++)
    for (unsigned int seed = 0; seed < 4; seed++)
      {
        struct token_bucket pace = { 0, 0 };
        size_t window = 0;
        size_t total = 0;
        int paused = 0;
        srand (seed);
        for (int i = 0; i < STEPS; i++)
          {
            /* Seed 0 always asks; the others pause at times.  */
            if (seed > 0 && rand () % 500 == 0)
              paused = rand () % 3000;
            passed[i]
                = paused-- > 0
                      ? 0
                      : token_bucket_consume (&pace, rates[r], 16384,
                                              TIMER_SEC (1) + i * STEP_US);
            window += passed[i];
            total += passed[i];
            if (i >= 1000)
              window -= passed[i - 1000];
            CU_ASSERT_FATAL (window <= (size_t)rates[r] / 10);
          }
        if (seed == 0)
          CU_ASSERT (total >= (size_t)(0.9 * 2.0 * (double)rates[r])
                     || rates[r] / 10000 > 16384);
      }
}

/* Callers of all entries in two windows of time, every request failing once:
   each entry can repeat, all together stay within the bound.  */
static void
test_budget_shared (void)
{
  static const struct
  {
    double slack;
    size_t entries;
    int requests; /* of each entry */
  } cases[] = { { 64, 12, 600 }, { 20, 5, 100 },   { 162, 61, 300 },
                { 10, 5, 20 },   { 162, 300, 60 }, { 500, 3500, 100 },
                { 1, 1, 50 } };
  const double ratio = 0.2;
  const double use = 0.85;
  for (size_t c = 0; c < COUNT (cases); c++)
    {
      struct budget budget;
      double repeats = 0;
      budget_init (&budget, ratio * use,
                   budget_max_balance (cases[c].slack, cases[c].entries));
      for (int i = 0; i < cases[c].requests; i++)
        {
          budget_deposit (&budget);
          repeats += budget_try_withdraw (&budget);
        }
      double all = repeats * (double)cases[c].entries;
      double asked = (double)cases[c].requests * (double)cases[c].entries;
      CU_ASSERT (repeats >= 1);
      CU_ASSERT (all <= ratio * asked + cases[c].slack);
    }
}

const struct unit_test steer_tests[]
    = { { "shares", test_shares },
        { "limits", test_limits },
        { "settled", test_settled },
        { "leaving", test_leaving },
        { "ramp", test_ramp },
        { "ejection", test_ejection },
        { "slow upstream", test_slow_upstream },
        { "lying reports", test_lying_reports },
        { "reconfiguration", test_reconfiguration },
        { "pace", test_pace },
        { "what all entries repeat stays within the bound, each can repeat",
          test_budget_shared },
        { NULL, NULL } };
