/* Versions of the membership, confirmations of them, and the division of caps
   while entries are at different versions.  Guards against a cap that is
   exceeded because two entries use the same part of it.  */
#include "base/timer.h"
#include "bench/steer/cluster.h"
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
  MAX_USE_MS = 1000,
  STEPS = 4000,
  SEEDS = 20
};

static struct member_record
make_record (const char *name, int64_t incarnation, int64_t joined_version,
             int64_t removed_version)
{
  return (struct member_record){ str_from (name),   STR ("north"),
                                 STR ("1.1.1.1:1"), incarnation,
                                 joined_version,    removed_version };
}

static bool
is_gone (void *user_data, const struct member_record *record)
{
  return str_equal (record->name, str_from (user_data));
}

/* What the next version changes for one entry that the proposer observes; the
   members are a and b.  A member that is removed while it runs would go on
   using shares that others get.  */
static void
test_proposals (void)
{
  static const struct
  {
    const char *description;
    const char *name;
    int64_t incarnation;
    bool is_serving, has_stopped;
    const char *gone;             /* entry whose VM is gone */
    int64_t removed_version_of_a; /* 0: a stays */
    size_t records;               /* 0: no proposal */
  } cases[] = {
    { "no change", "a", 1, true, false, "", 0, 0 },
    { "joins", "c", 1, true, false, "", 0, 3 },
    { "leaving, does not join", "c", 1, false, false, "", 0, 0 },
    { "restarted", "a", 2, true, false, "", 5, 3 },
    { "restarted, not serving yet", "a", 2, false, false, "", 5, 2 },
    { "an earlier process", "a", 0, true, false, "", 0, 0 },
    { "stopped", "a", 1, false, true, "", 5, 2 },
    { "gone", "a", 1, true, false, "a", 5, 2 },
    { "another entry is gone", "a", 1, true, false, "z", 0, 0 },
  };
  struct member_record records[]
      = { make_record ("a", 1, 1, MEMBER_NOT_REMOVED),
          make_record ("b", 1, 2, MEMBER_NOT_REMOVED) };
  for (size_t i = 0; i < COUNT (cases); i++)
    {
      struct membership *before = membership_create (4, 3, records, 2);
      struct member_observation observation
          = { make_record (cases[i].name, cases[i].incarnation, 0, 0),
              cases[i].is_serving, cases[i].has_stopped };
      struct membership_view view
          = { &observation, 1, 2, is_gone, (void *)cases[i].gone };
      struct membership *next = membership_propose (before, &view);
      if (cases[i].records == 0)
        CU_ASSERT_PTR_NULL (next);
      if (next)
        {
          CU_ASSERT_EQUAL (next->version, 5);
          CU_ASSERT_EQUAL (next->confirmed_by_all, 3);
          CU_ASSERT_EQUAL (next->count, cases[i].records);
          CU_ASSERT_EQUAL (next->records[0].removed_version,
                           cases[i].removed_version_of_a
                               ? cases[i].removed_version_of_a
                               : MEMBER_NOT_REMOVED);
        }
      membership_unref (next);
      membership_unref (before);
    }
}

/* The records of removed members are kept for MEMBERSHIP_HISTORY versions, so
   that shares under earlier versions can be computed.  */
static void
test_history (void)
{
  struct member_record records[]
      = { make_record ("a", 1, 1, 10),
          make_record ("b", 1, 2, MEMBER_NOT_REMOVED) };
  for (int64_t age = MEMBERSHIP_HISTORY - 1; age <= MEMBERSHIP_HISTORY; age++)
    {
      struct membership *before
          = membership_create (10 + age - 1, 3, records, 2);
      struct member_observation observation
          = { make_record ("c", 1, 0, 0), true, false };
      struct membership_view view
          = { .observations = &observation, .count = 1 };
      struct membership *next = membership_propose (before, &view);
      CU_ASSERT_EQUAL (next->count, age < MEMBERSHIP_HISTORY ? 3 : 2);
      membership_unref (next);
      membership_unref (before);
    }
}

/* A malformed membership from the store or a peer is rejected, and one that
   was written is read back the same.  */
static void
test_text (void)
{
  static const char *const malformed[] = {
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
  for (size_t i = 0; i < COUNT (malformed); i++)
    CU_ASSERT_PTR_NULL (membership_parse (str_from (malformed[i])));
  struct member_record records[]
      = { make_record ("b", 4, 2, MEMBER_NOT_REMOVED),
          make_record ("a", 1, 1, 3) };
  struct membership *written = membership_create (7, 3, records, 2);
  struct str text = membership_text (written, test_pool);
  struct membership *parsed = membership_parse (text);
  CU_ASSERT_PTR_NOT_NULL_FATAL (parsed);
  CU_ASSERT (str_equal (membership_text (parsed, test_pool), text));
  CU_ASSERT_PTR_NULL (membership_find (parsed, STR ("a")));
  CU_ASSERT_EQUAL (membership_find (parsed, STR ("b"))->incarnation, 4);
  membership_unref (written);
  membership_unref (parsed);
}

/* The lowest version that the member a may still use, after each of its
   heartbeats.  Taken for higher, others would use shares that a still uses.
   */
static void
test_confirmations (void)
{
  static const struct
  {
    int64_t incarnation;
    int64_t version;
    int64_t min_confirmed; /* afterwards */
  } cases[] = {
    { 0, 0, 4 }, /* no heartbeat yet: the version before it joined */
    { 1, 8, 4 }, /* an earlier process */
    { 2, 6, 6 }, /* what it confirmed */
    { 2, 5, 6 }, /* a lower version changes nothing */
    { 2, 9, 8 }, /* at most the membership's own version */
    { 3, 0, 8 }, /* a newer process: the member's has ended */
  };
  struct member_record records[]
      = { make_record ("a", 2, 5, MEMBER_NOT_REMOVED),
          make_record ("self", 1, 2, MEMBER_NOT_REMOVED),
          make_record ("c", 1, 1, 3) };
  struct membership *membership = membership_create (8, 1, records, 3);
  struct confirmations *confirmations = confirmations_create (test_pool);
  for (size_t i = 0; i < COUNT (cases); i++)
    {
      confirmations_record (confirmations, STR ("a"), cases[i].incarnation,
                            cases[i].version);
      CU_ASSERT_EQUAL (
          confirmations_min (confirmations, membership, STR ("self")),
          cases[i].min_confirmed);
    }
  membership_unref (membership);
}

/* Test of overlapping versions: entries that start, stop and pause begin calls
   under a call cap and under upstreams' slots.  */

/* The calls in progress of one entry.  */
struct calls
{
  struct steer_attempt attempts[CALLS_MAX];
  apr_time_t ends_at[CALLS_MAX];
  int upstream[CALLS_MAX]; /* see upstream_index */
  int count;
};

static struct calls calls_of[ENTRIES];
static struct cluster *fleet;
static const struct service *shop;

static void
update_demand (void *user_data, struct cluster_process *p, apr_time_t now)
{
  (void)user_data;
  steer_update_demand (p->steer, shop, cluster_random_below (fleet, 8), now);
}

static void
on_ended (void *user_data, struct cluster_process *p)
{
  (void)user_data;
  calls_of[p->index].count = 0;
}

static void
end_calls (struct cluster_process *p, apr_time_t now)
{
  struct calls *calls = &calls_of[p->index];
  for (int i = calls->count - 1; i >= 0; i--)
    if (now >= calls->ends_at[i])
      {
        steer_end_attempt (p->steer, &calls->attempts[i], RESULT_ANSWERED,
                           1000, now);
        calls->count--;
        calls->attempts[i] = calls->attempts[calls->count];
        calls->ends_at[i] = calls->ends_at[calls->count];
        calls->upstream[i] = calls->upstream[calls->count];
      }
}

/* Returns the number of UPSTREAM, from 0.  Upstreams are named n0, n1, ... and
   s0, s1, ...  */
static int
upstream_index (const struct upstream *upstream)
{
  const char *name = upstream->head.name.data;
  return name[1] - '0' + (name[0] == 's' ? UPSTREAMS : 0);
}

static void
begin_call (struct cluster_process *p, apr_time_t now)
{
  struct calls *calls = &calls_of[p->index];
  struct steer_request request
      = { .service = shop, .call_class = CLASS_SHORT, .now = now };
  struct steer_choice choice = steer_choose (p->steer, &request);
  if (choice.verdict != STEER_CHOSEN || calls->count == CALLS_MAX)
    return;
  int at = calls->count++;
  calls->upstream[at] = upstream_index (choice.upstream);
  calls->ends_at[at] = now
                       + (apr_time_t)cluster_random_below (
                           fleet, TIMER_MS (MAX_USE_MS - 100));
  calls->attempts[at]
      = steer_begin_attempt (p->steer, choice.upstream, CLASS_SHORT);
}

/* Returns how many calls in progress exceed the call cap or slots now.  */
static int
count_excess_calls (void)
{
  int total = 0;
  int at_upstream[2 * UPSTREAMS] = { 0 };
  int excess = 0;
  for (int i = 0; i < ENTRIES; i++)
    for (int c = 0; c < calls_of[i].count; c++)
      {
        total++;
        at_upstream[calls_of[i].upstream[c]]++;
      }
  excess += total > CAP ? total - CAP : 0;
  for (int u = 0; u < 2 * UPSTREAMS; u++)
    excess += at_upstream[u] > SLOTS ? at_upstream[u] - SLOTS : 0;
  return excess;
}

/* Returns the number of steps at which a cap or slots were exceeded; adds the
   calls in progress at each step to CALLS_SUM.  Unless WAITS, entries use
   their shares of a new version without waiting for confirmations.  */
static int
run_fleet (uint64_t seed, bool waits, int64_t *calls_sum)
{
  struct snapshot *snapshot
      = fixture_shop (UPSTREAMS, SLOTS, ",'call_cap':23");
  struct cluster_desc desc = { .count = ENTRIES,
                               .regions = { STR ("north"), STR ("south") },
                               .region_count = 2,
                               .one_way_us = TIMER_MS (10),
                               .snapshot = snapshot,
                               .seed = seed,
                               .loan_duration_us = TIMER_MS (100),
                               .max_use_us = TIMER_MS (MAX_USE_MS),
                               .loss_rate = 0.05,
                               .inject_faults = true,
                               .skip_confirmations = !waits,
                               .update_demand = update_demand,
                               .process_ended = on_ended };
  int exceeded_steps = 0;
  apr_time_t now = TIMER_SEC (100);
  shop = snapshot_find (snapshot, KIND_SERVICE, STR ("shop"));
  memset (calls_of, 0, sizeof calls_of);
  fleet = cluster_create (&desc, now);
  for (int step = 0; step < STEPS; step++)
    {
      now += (apr_time_t)cluster_random_below (fleet, TIMER_MS (10));
      cluster_advance (fleet, now);
      for (int i = 0; i < ENTRIES; i++)
        {
          struct cluster_process *p = &fleet->processes[i];
          if (!p->alive)
            continue;
          end_calls (p, now);
          for (size_t n = cluster_random_below (fleet, 12);
               n > 0 && !p->paused; n--)
            begin_call (p, now);
          *calls_sum += calls_of[i].count;
        }
      exceeded_steps += count_excess_calls () > 0;
    }
  cluster_destroy (fleet);
  snapshot_unref (snapshot);
  return exceeded_steps;
}

/* No cap is exceeded while entries are at different versions of the
   membership.  Were a new share used before all others have confirmed its
   version, two entries could use the same part of a cap.  */
static void
test_overlap (void)
{
  int64_t calls_sum = 0;
  for (uint64_t seed = 1; seed <= SEEDS; seed++)
    CU_ASSERT_EQUAL (run_fleet (seed, true, &calls_sum), 0);
  /* On average more than a quarter of the cap is used; with few calls the test
     could not fail.  */
  CU_ASSERT (calls_sum > (int64_t)SEEDS * STEPS * CAP / 4);
  /* Without waiting for confirmations, shares overlap.  */
  int exceeded_steps = 0;
  for (uint64_t seed = 1; seed <= SEEDS; seed++)
    exceeded_steps += run_fleet (seed, false, &calls_sum);
  CU_ASSERT (exceeded_steps > 0);
}

const struct unit_test member_tests[]
    = { { "members are added and removed only when they start or end",
          test_proposals },
        { "removed members are kept while their versions may be in use",
          test_history },
        { "a malformed membership is rejected", test_text },
        { "no version counts as confirmed before the member confirms it",
          test_confirmations },
        { "no cap is exceeded while entries are at different versions",
          test_overlap },
        { NULL, NULL } };
