/* Choice of upstreams and the limits on calls in progress, on a virtual clock
   and with fixed random seeds.  Guards against calls beyond slots, caps and
   ramps, and calls to upstreams that are slow, failing or leaving.  */
#include "base/hash.h"
#include "base/timer.h"
#include "steer/budget.h"
#include "steer/token_bucket.h"
#include "steer/steer.h"
#include "tests/unit/fixture.h"
#include "tests/unit/unit.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static struct snapshot *snapshot;
static struct steer *steer;
static const struct service *shop;
static apr_time_t now;

static void
discard_message (void *user_data, struct str to,
                 const struct share_message *message)
{
  (void)user_data;
  (void)to;
  (void)message;
}

static void
set_up_steer (int upstreams, int slots, const char *fields)
{
  struct steer_desc desc = { .region = STR ("north"),
                             .share = { .send = discard_message },
                             .seed = 42 };
  snapshot = fixture_shop (upstreams, slots, fields);
  steer = steer_create (test_pool, &desc);
  now = TIMER_SEC (1000);
  steer_apply (steer, snapshot, now);
  shop = snapshot_find (snapshot, KIND_SERVICE, STR ("shop"));
}

static void
tear_down_steer (void)
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

/* Begins up to MAX_COUNT attempts, until no upstream can be chosen; returns
   how many.  */
static int
begin_attempts (enum call_class call_class, struct steer_attempt *attempts,
                int max_count)
{
  int n = 0;
  while (n < max_count)
    {
      struct steer_choice choice = choose (call_class);
      if (choice.verdict != STEER_CHOSEN)
        break;
      attempts[n++] = steer_begin_attempt (steer, choice.upstream, call_class);
    }
  return n;
}

/* The shares of a cap add up to it and differ by at most 1.  A sum above the
   cap would let the entries exceed it together.  */
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
        int64_t max_share = 0, min_share = INT64_MAX;
        for (size_t e = 0; e < cases[i].entries; e++)
          {
            int64_t share
                = steer_share_size (cases[i].cap, e, cases[i].entries, salt);
            sum += share;
            max_share = share > max_share ? share : max_share;
            min_share = share < min_share ? share : min_share;
          }
        CU_ASSERT_EQUAL (sum, cases[i].cap);
        CU_ASSERT (max_share - min_share <= 1);
      }
}

/* Slots, call caps and the slots that long calls may use are filled, but not
   exceeded.  */
static void
test_limits (void)
{
  static const struct
  {
    const char *fields;
    enum call_class call_class;
    int count;               /* of attempts at 2 x 2 upstreams of 3 slots */
    enum steer_verdict next; /* verdict for one more */
  } cases[] = {
    { "", CLASS_SHORT, 12, STEER_WAIT },
    { ",'call_cap':5", CLASS_SHORT, 5, STEER_CAPPED },
    { ",'long_slots_percent':50", CLASS_LONG, 6, STEER_WAIT },
    { ",'long_slots_percent':1", CLASS_LONG, 1, STEER_WAIT },
  };
  for (size_t i = 0; i < COUNT (cases); i++)
    {
      struct steer_attempt attempts[64];
      set_up_steer (2, 3, cases[i].fields);
      int count = begin_attempts (cases[i].call_class, attempts, 64);
      CU_ASSERT_EQUAL (count, cases[i].count);
      CU_ASSERT_EQUAL (choose (cases[i].call_class).verdict, cases[i].next);
      if (cases[i].call_class == CLASS_LONG)
        CU_ASSERT_EQUAL (choose (CLASS_SHORT).verdict, STEER_CHOSEN);
      for (int t = 0; t < count; t++)
        steer_end_attempt (steer, &attempts[t], RESULT_ANSWERED, 1000, now);
      CU_ASSERT_EQUAL (choose (cases[i].call_class).verdict, STEER_CHOSEN);
      tear_down_steer ();
    }
}

/* A membership is confirmed once the entry is within the limits that it sets.
   Calls beyond its share of the service's call cap delay that, but without a
   call cap calls of the service do not.  */
static void
test_within_limits (void)
{
  static const struct
  {
    const char *fields;
    bool is_within; /* once the other member has its share of the caps */
  } cases[] = { { "", true }, { ",'call_cap':4", false } };
  for (size_t i = 0; i < COUNT (cases); i++)
    {
      struct member_record members[] = {
        { STR ("e1"), STR ("north"), STR (""), 1, 1, MEMBER_NOT_REMOVED },
        { STR ("e2"), STR ("north"), STR (""), 1, 2, MEMBER_NOT_REMOVED }
      };
      struct steer_attempt attempts[4];
      struct steer_desc desc = { .region = STR ("north"),
                                 .share = { .entry = STR ("e1"),
                                            .incarnation = 1,
                                            .send = discard_message },
                                 .seed = 42 };
      struct membership *alone = membership_create (1, 1, members, 1);
      struct membership *both = membership_create (2, 1, members, 2);
      snapshot = fixture_shop (4, 2, cases[i].fields);
      steer = steer_create (test_pool, &desc);
      now = TIMER_SEC (1000);
      steer_apply (steer, snapshot, now);
      shop = snapshot_find (snapshot, KIND_SERVICE, STR ("shop"));
      steer_set_membership (steer, alone, 1);
      CU_ASSERT_EQUAL (begin_attempts (CLASS_SHORT, attempts, 4), 4);
      CU_ASSERT_TRUE (steer_is_within_limits (steer, now));
      steer_set_membership (steer, both, 2);
      for (int t = 0; t < 2; t++)
        if (cases[i].is_within)
          steer_end_attempt (steer, &attempts[t], RESULT_ANSWERED, 1000, now);
      CU_ASSERT_EQUAL (steer_is_within_limits (steer, now),
                       cases[i].is_within);
      membership_unref (alone);
      membership_unref (both);
      tear_down_steer ();
    }
}

/* An upstream that any source marks as leaving gets no calls; clearing the
   mark of another source does not change that.  */
static void
test_leaving (void)
{
  static const enum leaving_source sources[]
      = { LEAVING_DRAIN, LEAVING_HEALTH, LEAVING_PLATFORM };
  set_up_steer (1, 2, "");
  for (size_t i = 0; i < COUNT (sources); i++)
    {
      steer_set_leaving (steer, STR ("n0"), sources[i], true, now);
      /* Another source's mark is cleared: this one still holds.  */
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
  tear_down_steer ();
}

/* The limit of an upstream that returns rises to its slots within ramp_ms, in
   steps, so that it is not given calls for all of them at once.  */
static void
test_ramp (void)
{
  set_up_steer (1, 10, "");
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
      apr_time_t later = now + TIMER_MS (cases[i].after_ms);
      steer_update_demand (steer, shop, 0, later);
      CU_ASSERT_EQUAL (steer_query_upstream (steer, STR ("n0"), later).limit,
                       cases[i].limit);
    }
  tear_down_steer ();
}

/* Three failures in a row eject an upstream, for a second, and more of them
   for 15 s at most.  */
static void
test_ejection (void)
{
  set_up_steer (2, 5, "");
  const struct upstream *n0
      = snapshot_find (snapshot, KIND_UPSTREAM, STR ("n0"));
  for (int i = 0; i < 3; i++)
    {
      CU_ASSERT_FALSE (steer_query_upstream (steer, STR ("n0"), now).ejected);
      struct steer_attempt attempt
          = steer_begin_attempt (steer, n0, CLASS_SHORT);
      steer_end_attempt (steer, &attempt, RESULT_FAILED, 100, now);
    }
  CU_ASSERT_TRUE (steer_query_upstream (steer, STR ("n0"), now).ejected);
  now += TIMER_SEC (1);
  CU_ASSERT_FALSE (steer_query_upstream (steer, STR ("n0"), now).ejected);
  /* However often it fails, it is tried again after 15 s.  */
  for (int i = 0; i < 12; i++)
    {
      struct steer_attempt attempt
          = steer_begin_attempt (steer, n0, CLASS_SHORT);
      steer_end_attempt (steer, &attempt, RESULT_FAILED, 100, now);
    }
  now += TIMER_SEC (15);
  CU_ASSERT_FALSE (steer_query_upstream (steer, STR ("n0"), now).ejected);
  tear_down_steer ();
}

/* A slow upstream gets few calls, and gets more again once it is fast.  */
static void
test_slow_upstream (void)
{
  set_up_steer (6, 3, "");
  int to_slow[2] = { 0, 0 };
  for (int i = 0; i < 20000; i++)
    {
      bool slow_now = i < 10000;
      struct steer_choice choice = choose (CLASS_SHORT);
      CU_ASSERT_EQUAL_FATAL (choice.verdict, STEER_CHOSEN);
      bool is_slow = str_equal (choice.upstream->head.name, STR ("n0"));
      to_slow[i / 10000] += is_slow;
      struct steer_attempt attempt
          = steer_begin_attempt (steer, choice.upstream, CLASS_SHORT);
      apr_time_t elapsed = is_slow && slow_now ? 100000 : 10000;
      if (str_starts_with (choice.upstream->head.name, STR ("s")))
        elapsed += 20000;
      now += 1000;
      steer_end_attempt (steer, &attempt, RESULT_ANSWERED, elapsed, now);
    }
  CU_ASSERT (to_slow[0] < 100);
  CU_ASSERT (to_slow[1] > 500);
  tear_down_steer ();
}

/* The load that an upstream reports can lower its rank but not raise it: a
   slow one that reports no load gets few calls.  */
static void
test_false_reports (void)
{
  set_up_steer (4, 3, "");
  int to_false = 0;
  for (int i = 0; i < 2000; i++)
    {
      steer_set_reported_load (steer, STR ("n0"), 0, now);
      steer_set_reported_load (steer, STR ("n1"), 90, now);
      struct steer_choice choice = choose (CLASS_SHORT);
      bool is_false = str_equal (choice.upstream->head.name, STR ("n0"));
      to_false += is_false;
      struct steer_attempt attempt
          = steer_begin_attempt (steer, choice.upstream, CLASS_SHORT);
      now += 1000;
      steer_end_attempt (steer, &attempt, RESULT_ANSWERED,
                         is_false ? 80000 : 10000, now);
    }
  CU_ASSERT (to_false < 40);
  tear_down_steer ();
}

/* Attempts that began under an earlier configuration can be ended under a
   later one, and the counts of attempts in progress return to 0.  */
static void
test_reconfiguration (void)
{
  struct steer_attempt attempts[64];
  set_up_steer (2, 3, "");
  int count = begin_attempts (CLASS_SHORT, attempts, 64);
  struct snapshot *smaller = fixture_shop (1, 3, "");
  steer_apply (steer, smaller, now);
  CU_ASSERT_EQUAL (steer_query_upstream (steer, STR ("n1"), now).limit, 0);
  CU_ASSERT_EQUAL (steer_query_upstream (steer, STR ("n0"), now).in_flight, 3);
  for (int i = 0; i < count; i++)
    steer_end_attempt (steer, &attempts[i], RESULT_ANSWERED, 1000, now);
  CU_ASSERT_EQUAL (steer_query_upstream (steer, STR ("n0"), now).in_flight, 0);
  struct snapshot *larger = fixture_shop (2, 3, "");
  steer_apply (steer, larger, now);
  CU_ASSERT_EQUAL (steer_query_upstream (steer, STR ("n1"), now).in_flight, 0);
  snapshot_unref (smaller);
  snapshot_unref (larger);
  tear_down_steer ();
}

/* Whatever is sent at whatever times, no window of 100 ms carries more than a
   tenth of the rate per second, and steady demand gets nine tenths of the
   rate.  */
static void
test_token_bucket (void)
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
        struct token_bucket bucket = { 0, 0 };
        size_t window = 0;
        size_t total = 0;
        int pause_steps = 0;
        srand (seed);
        for (int i = 0; i < STEPS; i++)
          {
            /* With seed 0 demand is steady; otherwise it pauses at times.  */
            if (seed > 0 && rand () % 500 == 0)
              pause_steps = rand () % 3000;
            passed[i]
                = pause_steps-- > 0
                      ? 0
                      : token_bucket_consume (&bucket, rates[r], 16384,
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

/* If every request fails once, the entries retry as many as the ratio of their
   requests earns, less one each, and stay within the ratio plus the slack,
   whatever they saved up before and however many entries there are, or
   were.  */
static void
test_retry_budget (void)
{
  static const struct
  {
    double slack;
    size_t entries;
    size_t entries_before; /* that shared the slack */
    int before;            /* requests of each entry that did not fail */
    int requests;          /* of each entry, which fail */
  } cases[] = {
    { 64, 12, 12, 0, 600 },      { 20, 5, 5, 0, 100 },
    { 162, 61, 61, 0, 300 },     { 10, 5, 5, 0, 20 },
    { 162, 300, 300, 0, 60 },    { 500, 3500, 3500, 0, 100 },
    { 1, 1, 1, 0, 50 },          { 64, 12, 12, 1000, 1 },
    { 62, 11, 11, 1000, 1 },     { 162, 61, 61, 1000, 1 },
    { 630, 300, 300, 1000, 1 },  { 64, 300, 300, 1000, 1 },
    { 64, 300, 300, 1000, 5 },   { 64, 300, 12, 1000, 1 },
    { 64, 300, 300, 1000, 60 },  { 500, 3500, 3500, 1000, 1 },
    { 64, 3500, 3500, 1000, 1 }, { 64, 3500, 12, 1000, 2 },
  };
  const double ratio = 0.2;
  const double earned = ratio * 0.85; /* as in gateway/gateway.c */
  for (size_t c = 0; c < COUNT (cases); c++)
    {
      double n = (double)cases[c].entries;
      double all_requests = cases[c].requests * n;
      double retries = 0;
      for (size_t e = 0; e < cases[c].entries; e++)
        {
          struct budget budget;
          double phase
              = (double)(hash_mix (e, c) >> 11) / (double)(1ULL << 53);
          budget_init (
              &budget, earned,
              budget_max_balance (cases[c].slack, cases[c].entries_before), 0,
              phase);
          for (int i = 0; i < cases[c].before; i++)
            budget_deposit (&budget);
          budget.max_balance
              = budget_max_balance (cases[c].slack, cases[c].entries);
          for (int i = 0; i < cases[c].requests; i++)
            {
              budget_deposit (&budget);
              retries += budget_try_withdraw (&budget);
            }
        }
      CU_ASSERT (retries <= ratio * all_requests + cases[c].slack);
      CU_ASSERT (retries >= earned * all_requests - n - sqrt (n));
      if (cases[c].requests > 1.0 / earned)
        CU_ASSERT (retries >= n);
      if (retries > ratio * all_requests + cases[c].slack)
        printf ("# case %d: %.0f retries of %.0f requests, slack %.0f\n",
                (int)c, retries, all_requests, cases[c].slack);
    }
}

/* Few entries lose nothing by sharing the slack: each has at least the whole
   attempts of its fraction saved up after a calm time.  */
static void
test_retry_budget_of_few (void)
{
  static const struct
  {
    double slack;
    size_t entries;
    int saved; /* by each entry */
  } cases[] = { { 64, 12, 1 }, { 62, 11, 2 }, { 64, 5, 4 }, { 64, 1, 23 } };
  for (size_t c = 0; c < COUNT (cases); c++)
    for (int phase = 0; phase < 10; phase++)
      {
        struct budget budget;
        int saved = 0;
        budget_init (&budget, 0.17,
                     budget_max_balance (cases[c].slack, cases[c].entries), 0,
                     phase / 10.0);
        for (int i = 0; i < 1000; i++)
          budget_deposit (&budget);
        while (budget_try_withdraw (&budget))
          saved++;
        CU_ASSERT_EQUAL (saved, cases[c].saved);
      }
}

/* Returns a snapshot with the regions "north" and "south", and a link between
   them of RATE bytes a second unless that is 0.  */
static struct snapshot *
create_link_snapshot (int rate)
{
  struct faults *faults = faults_create (test_pool);
  struct str link
      = rate > 0 ? str_printf (test_pool,
                               ",{\"kind\":\"link\",\"name\":\"l\",\"spec\":{"
                               "\"between\":[\"north\",\"south\"],"
                               "\"bytes_per_second\":%d}}",
                               rate)
                 : STR ("");
  struct str json = str_printf (
      test_pool,
      "[{\"kind\":\"region\",\"name\":\"north\",\"spec\":{}},"
      "{\"kind\":\"region\",\"name\":\"south\",\"spec\":{}}%.*s]",
      STR_ARGS (link));
  struct snapshot *created = fixture_snapshot (json.data, faults);
  CU_ASSERT_EQUAL_FATAL (faults_count (faults), 0);
  return created;
}

/* A link that is removed limits nothing any more, also for attempts that began
   before, and nothing of it is lent; created again, it limits as before.  */
static void
test_removed_link (void)
{
  static const struct
  {
    int rate;       /* of the link in the configuration; 0: no link */
    size_t allowed; /* of 1 MB at once, after a pause */
  } cases[] = { { 1000000, 6000 },
                { 0, 1000000 },
                { 0, 1000000 },
                { 500000, 3000 },
                { 0, 1000000 } };
  struct steer_desc desc = { .region = STR ("north"),
                             .share = { .send = discard_message },
                             .seed = 42 };
  struct share_cap cap = { .kind = SHARE_LINK, .name = STR ("north>south") };
  struct steer_link *kept = NULL;
  steer = steer_create (test_pool, &desc);
  now = TIMER_SEC (1000);
  for (size_t i = 0; i < COUNT (cases); i++)
    {
      snapshot = create_link_snapshot (cases[i].rate);
      steer_apply (steer, snapshot, now);
      struct steer_link *link
          = steer_link (steer, STR ("north"), STR ("south"));
      CU_ASSERT_EQUAL (link != NULL, cases[i].rate > 0);
      kept = kept ? kept : link;
      now += TIMER_SEC (1);
      steer_link_consume (kept, 1, now);
      now += TIMER_SEC (1);
      CU_ASSERT_EQUAL (steer_link_consume (kept, 1000000, now),
                       cases[i].allowed);
      steer_link_debit (kept, 1000, now);
      steer_update_link_demand (steer, now);
      CU_ASSERT_EQUAL (
          share_pool_limit (share_pool_get (steer_shares (steer), &cap), now),
          cases[i].rate);
      snapshot_unref (snapshot);
    }
  steer_destroy (steer);
}

const struct unit_test steer_tests[]
    = { { "the shares of a cap add up to it", test_shares },
        { "slots and caps are filled, but not exceeded", test_limits },
        { "a membership is not confirmed while its shares are exceeded",
          test_within_limits },
        { "an upstream that is leaving gets no calls", test_leaving },
        { "an upstream that returns gets its slots in steps", test_ramp },
        { "an upstream that fails three times is ejected for a second",
          test_ejection },
        { "a slow upstream gets few calls until it is fast again",
          test_slow_upstream },
        { "a slow upstream that reports no load gets few calls",
          test_false_reports },
        { "calls in progress are counted across configurations",
          test_reconfiguration },
        { "no window of 100 ms exceeds a link's rate", test_token_bucket },
        { "a link that was removed limits nothing", test_removed_link },
        { "retries of all entries stay within the bound, each entry can retry",
          test_retry_budget },
        { "a few entries lose no retry by sharing the slack",
          test_retry_budget_of_few },
        { NULL, NULL } };
