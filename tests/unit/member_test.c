/* Versions of the membership, and the division of caps while they overlap.  */
#include "base/timer.h"
#include "bench/steer/crowd.h"
#include "member/confirmation.h"
#include "member/membership.h"
#include "tests/unit/fixture.h"
#include "tests/unit/unit.h"

#include <string.h>

enum
{
  ENTRIES = 5,
  CAP = 23,
  UPSTREAMS = 2, /* in each of two regions */
  SLOTS = 7,
  CALLS_MAX = 64,
  HOLD_MS = 1000,
  STEPS = 4000,
  SEEDS = 20
};

static struct member_record
record (const char *name, int64_t incarnation, int64_t since, int64_t until)
{
  return (
      struct member_record){ str_from (name), STR ("north"), STR ("1.1.1.1:1"),
                             incarnation,     since,         until };
}

static bool
peer_is_gone (void *part, const struct member_record *r)
{
  return str_equal (r->name, str_from (part));
}

static void
test_proposals (void)
{
  static const struct
  {
    const char *what;
    const char *name;
    int64_t incarnation;
    bool joins, stops;
    const char *gone;
    int64_t until_of_a; /* 0: a stays */
    size_t records;     /* 0: no proposal */
  } cases[] = {
    { "nothing new", "a", 1, true, false, "", 0, 0 },
    { "joins", "c", 1, true, false, "", 0, 3 },
    { "leaving ones do not join", "c", 1, false, false, "", 0, 0 },
    { "restarted", "a", 2, true, false, "", 5, 3 },
    { "restarted, not serving yet", "a", 2, false, false, "", 5, 2 },
    { "an old process", "a", 0, true, false, "", 0, 0 },
    { "stopped", "a", 1, false, true, "", 5, 2 },
    { "gone", "a", 1, true, false, "a", 5, 2 },
    { "somebody else is gone", "a", 1, true, false, "z", 0, 0 },
  };
  struct member_record held[] = { record ("a", 1, 1, MEMBER_NOT_REMOVED),
                                  record ("b", 1, 2, MEMBER_NOT_REMOVED) };
  for (size_t i = 0; i < COUNT (cases); i++)
    {
      struct membership *before = membership_create (4, 3, held, 2);
      struct member_observation observation
          = { record (cases[i].name, cases[i].incarnation, 0, 0),
              cases[i].joins, cases[i].stops };
      struct membership_view view
          = { &observation, 1, 2, peer_is_gone, (void *)cases[i].gone };
      struct membership *next = membership_propose (before, &view);
      if (cases[i].records == 0)
        CU_ASSERT_PTR_NULL (next);
      if (next)
        {
          CU_ASSERT_EQUAL (next->version, 5);
          CU_ASSERT_EQUAL (next->confirmed_by_all, 3);
          CU_ASSERT_EQUAL (next->count, cases[i].records);
          CU_ASSERT_EQUAL (next->records[0].removed_version,
                           cases[i].until_of_a ? cases[i].until_of_a
                                               : MEMBER_NOT_REMOVED);
        }
      membership_unref (next);
      membership_unref (before);
    }
}

/* Removed members are kept as long as their versions may matter.  */
static void
test_history (void)
{
  struct member_record held[]
      = { record ("a", 1, 1, 10), record ("b", 1, 2, MEMBER_NOT_REMOVED) };
  for (int64_t past = MEMBERSHIP_HISTORY - 1; past <= MEMBERSHIP_HISTORY;
       past++)
    {
      struct membership *before
          = membership_create (10 + past - 1, 3, held, 2);
      struct member_observation observation
          = { record ("c", 1, 0, 0), true, false };
      struct membership_view view
          = { .observations = &observation, .count = 1 };
      struct membership *next = membership_propose (before, &view);
      CU_ASSERT_EQUAL (next->count, past < MEMBERSHIP_HISTORY ? 3 : 2);
      membership_unref (next);
      membership_unref (before);
    }
}

static void
test_text (void)
{
  static const char *const bad[] = {
    "",
    "[]",
    "{\"version\":1}",
    "{\"version\":0,\"settled\":0,\"members\":[]}",
    "{\"version\":2,\"settled\":3,\"members\":[]}",
    "{\"version\":2,\"settled\":0,\"members\":[{\"name\":\"\"}]}",
    "{\"version\":2,\"settled\":0,\"members\":[{\"name\":\"a\",\"region\":"
    "\"r\",\"incarnation\":1,\"since\":3}]}",
    "{\"version\":2,\"settled\":0,\"members\":[{\"name\":\"a\",\"region\":"
    "\"r\",\"incarnation\":1,\"since\":2,\"until\":2}]}",
    "{\"version\":2,\"settled\":0,\"members\":[7]}",
  };
  for (size_t i = 0; i < COUNT (bad); i++)
    CU_ASSERT_PTR_NULL (membership_parse (str_from (bad[i])));
  struct member_record held[]
      = { record ("b", 4, 2, MEMBER_NOT_REMOVED), record ("a", 1, 1, 3) };
  struct membership *one = membership_create (7, 3, held, 2);
  struct str text = membership_text (one, test_pool);
  struct membership *two = membership_parse (text);
  CU_ASSERT_PTR_NOT_NULL_FATAL (two);
  CU_ASSERT (str_equal (membership_text (two, test_pool), text));
  CU_ASSERT_PTR_NULL (membership_find (two, STR ("a")));
  CU_ASSERT_EQUAL (membership_find (two, STR ("b"))->incarnation, 4);
  membership_unref (one);
  membership_unref (two);
}

static void
test_confirmations (void)
{
  static const struct
  {
    int64_t incarnation;
    int64_t version;
    int64_t least;
  } cases[] = {
    { 0, 0, 4 }, /* nothing heard: the version before it joined */
    { 1, 8, 4 }, /* an old process */
    { 2, 6, 6 }, /* what it confirmed */
    { 2, 5, 6 }, /* only upward */
    { 2, 9, 8 }, /* at most the membership's own */
    { 3, 0, 8 }, /* a newer process: this one has ended */
  };
  struct member_record held[]
      = { record ("a", 2, 5, MEMBER_NOT_REMOVED),
          record ("self", 1, 2, MEMBER_NOT_REMOVED), record ("c", 1, 1, 3) };
  struct membership *membership = membership_create (8, 1, held, 3);
  struct confirmations *known = confirmations_create (test_pool);
  for (size_t i = 0; i < COUNT (cases); i++)
    {
      confirmations_record (known, STR ("a"), cases[i].incarnation,
                            cases[i].version);
      CU_ASSERT_EQUAL (confirmations_min (known, membership, STR ("self")),
                       cases[i].least);
    }
  membership_unref (membership);
}

/* Calls under a cap and under slots, by entries that come and go.  */

struct calls
{
  struct steer_attempt tickets[CALLS_MAX];
  apr_time_t ends[CALLS_MAX];
  int upstream[CALLS_MAX];
  int count;
};

static struct calls all[ENTRIES];
static struct crowd *fleet;
static const struct service *shop;

static void
want (void *part, struct crowd_process *p, apr_time_t now)
{
  (void)part;
  steer_update_demand (p->steer, shop, crowd_pick (fleet, 8), now);
}

static void
on_ended (void *part, struct crowd_process *p)
{
  (void)part;
  all[p->index].count = 0;
}

static void
end_calls (struct crowd_process *p, apr_time_t now)
{
  struct calls *calls = &all[p->index];
  for (int i = calls->count - 1; i >= 0; i--)
    if (now >= calls->ends[i])
      {
        steer_end_attempt (p->steer, &calls->tickets[i], RESULT_ANSWERED, 1000,
                           now);
        calls->count--;
        calls->tickets[i] = calls->tickets[calls->count];
        calls->ends[i] = calls->ends[calls->count];
        calls->upstream[i] = calls->upstream[calls->count];
      }
}

/* Upstreams are called n0, n1, ... and s0, s1, ...  */
static int
upstream_index (const struct upstream *upstream)
{
  const char *name = upstream->head.name.data;
  return name[1] - '0' + (name[0] == 's' ? UPSTREAMS : 0);
}

static void
begin_call (struct crowd_process *p, apr_time_t now)
{
  struct calls *calls = &all[p->index];
  struct steer_request request
      = { .service = shop, .call_class = CLASS_SHORT, .now = now };
  struct steer_choice choice = steer_choose (p->steer, &request);
  if (choice.verdict != STEER_CHOSEN || calls->count == CALLS_MAX)
    return;
  int at = calls->count++;
  calls->upstream[at] = upstream_index (choice.upstream);
  calls->ends[at]
      = now + (apr_time_t)crowd_pick (fleet, TIMER_MS (HOLD_MS - 100));
  calls->tickets[at]
      = steer_begin_attempt (p->steer, choice.upstream, CLASS_SHORT);
}

/* Returns by how much a cap is exceeded now.  */
static int
overrun (void)
{
  int total = 0;
  int at[2 * UPSTREAMS] = { 0 };
  int over = 0;
  for (int i = 0; i < ENTRIES; i++)
    for (int c = 0; c < all[i].count; c++)
      {
        total++;
        at[all[i].upstream[c]]++;
      }
  over += total > CAP ? total - CAP : 0;
  for (int u = 0; u < 2 * UPSTREAMS; u++)
    over += at[u] > SLOTS ? at[u] - SLOTS : 0;
  return over;
}

/* Returns the steps with an overrun; adds the calls in progress at each step
   to BUSY.  */
static int
run_fleet (uint64_t seed, bool waits, int64_t *busy)
{
  struct snapshot *snapshot
      = fixture_shop (UPSTREAMS, SLOTS, ",'call_cap':23");
  struct crowd_desc desc = { .count = ENTRIES,
                             .regions = { STR ("north"), STR ("south") },
                             .region_count = 2,
                             .distance_us = TIMER_MS (10),
                             .snapshot = snapshot,
                             .seed = seed,
                             .loan_us = TIMER_MS (100),
                             .hold_us = TIMER_MS (HOLD_MS),
                             .loss = 0.05,
                             .disturbed = true,
                             .no_waiting = !waits,
                             .want = want,
                             .ended = on_ended };
  int over = 0;
  apr_time_t now = TIMER_SEC (100);
  shop = snapshot_find (snapshot, KIND_SERVICE, STR ("shop"));
  memset (all, 0, sizeof all);
  fleet = crowd_create (&desc, now);
  for (int step = 0; step < STEPS; step++)
    {
      now += (apr_time_t)crowd_pick (fleet, TIMER_MS (10));
      crowd_step (fleet, now);
      for (int i = 0; i < ENTRIES; i++)
        {
          struct crowd_process *p = &fleet->processes[i];
          if (!p->alive)
            continue;
          end_calls (p, now);
          for (size_t n = crowd_pick (fleet, 12); n > 0 && !p->paused; n--)
            begin_call (p, now);
          *busy += all[i].count;
        }
      over += overrun () > 0;
    }
  crowd_destroy (fleet);
  snapshot_unref (snapshot);
  return over;
}

static void
test_overlap (void)
{
  int64_t busy = 0;
  for (uint64_t seed = 1; seed <= SEEDS; seed++)
    CU_ASSERT_EQUAL (run_fleet (seed, true, &busy), 0);
  /* The caps are used, or the test would prove nothing.  */
  CU_ASSERT (busy > (int64_t)SEEDS * STEPS * CAP / 4);
  /* Without waiting for confirmations parts overlap.  */
  int over = 0;
  for (uint64_t seed = 1; seed <= SEEDS; seed++)
    over += run_fleet (seed, false, &busy);
  CU_ASSERT (over > 0);
}

const struct unit_test member_tests[] = {
  { "proposals", test_proposals }, { "history", test_history },
  { "text", test_text },           { "confirmations", test_confirmations },
  { "overlap", test_overlap },     { NULL, NULL }
};
