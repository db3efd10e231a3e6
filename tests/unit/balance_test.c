/* Decisions on single requests: where, whether, and in which region.  */
#include "balance/admit.h"
#include "balance/balance.h"
#include "balance/region_split.h"
#include "base/timer.h"
#include "tests/unit/unit.h"

#include <math.h>
#include <stdio.h>
#include <string.h>

enum
{
  UPSTREAMS = 6,
  SLOTS = 4
};

static struct fleet *fleet;
static apr_time_t now;
static struct balance_service_time work;

static struct str
region_of (void *part, struct str zone)
{
  (void)part;
  return zone;
}

static void
open_fleet (void)
{
  struct fleet_desc desc = { .find_region = region_of };
  fleet = fleet_create (test_pool, &desc);
  now = TIMER_SEC (1000);
  work = (struct balance_service_time){ 100000, 300000 };
  for (int i = 0; i < UPSTREAMS; i++)
    {
      char id[16];
      snprintf (id, sizeof id, "u%d", i);
      struct fleet_record r = { .id = str_from (id),
                                .service = STR ("desk"),
                                .address = STR ("10.0.0.1:80"),
                                .zone = STR ("north"),
                                .slots = SLOTS,
                                .incarnation = 1 };
      fleet_put_upstream (fleet, &r, i + 1, now);
    }
}

static struct balance_request
request (uint64_t object)
{
  return (struct balance_request){ .fleet = fleet,
                                   .service
                                   = fleet_service (fleet, STR ("desk")),
                                   .region = STR ("north"),
                                   .object = object,
                                   .recurs = true,
                                   .service_time = &work,
                                   .cold_rate = 1.0,
                                   .max_in_flight = 100,
                                   .now = now };
}

/* A call waits where its object is known, up to the limit, and only there.  */
static void
test_queue (void)
{
  static const struct
  {
    double queue;
    bool recurs;
    int busy;     /* requests at the upstream that knows the object */
    bool is_home; /* it is chosen */
  } cases[]
      = { { 1.0, true, SLOTS - 1, true },  { 1.0, true, SLOTS + 1, true },
          { 1.0, true, 2 * SLOTS, false }, { 0.0, true, SLOTS, false },
          { 0.5, true, SLOTS + 2, false }, { 1.0, false, SLOTS, false } };
  for (size_t i = 0; i < sizeof cases / sizeof *cases; i++)
    {
      open_fleet ();
      struct balance_request r = request (77);
      struct fleet_upstream *home = balance_choose_upstream (&r).upstream;
      for (int n = 0; n < cases[i].busy; n++)
        load_begin_request (&home->load, now);
      r.max_queue_per_slot = cases[i].queue;
      r.recurs = cases[i].recurs;
      struct balance_choice choice = balance_choose_upstream (&r);
      CU_ASSERT_EQUAL (choice.upstream == home, cases[i].is_home);
      /* The wait is part of what is expected.  */
      CU_ASSERT_EQUAL (choice.expected_latency > choice.service_time,
                       cases[i].is_home && cases[i].busy > SLOTS);
      fleet_destroy (fleet);
    }
}

static void
test_affinity (void)
{
  open_fleet ();
  struct balance_request r = request (77);
  struct balance_choice first = balance_choose_upstream (&r);
  CU_ASSERT_PTR_NOT_NULL_FATAL (first.upstream);
  CU_ASSERT (first.object_cached);
  for (int i = 0; i < SLOTS; i++)
    {
      CU_ASSERT_PTR_EQUAL (balance_choose_upstream (&r).upstream,
                           first.upstream);
      load_begin_request (&first.upstream->load, now);
    }
  /* Full: the next one, where the object is not known yet.  */
  struct balance_choice second = balance_choose_upstream (&r);
  CU_ASSERT_PTR_NOT_EQUAL (second.upstream, first.upstream);
  CU_ASSERT_FALSE (second.object_cached);
  affinity_record (fleet_affinity (fleet), second.upstream->incarnation_hash,
                   77, now);
  struct balance_choice again = balance_choose_upstream (&r);
  CU_ASSERT_PTR_EQUAL (again.upstream, second.upstream);
  CU_ASSERT (again.object_cached);
  fleet_destroy (fleet);
}

static void
test_full (void)
{
  open_fleet ();
  struct balance_request r = request (1);
  int placed = 0;
  for (struct balance_choice c = balance_choose_upstream (&r); c.upstream;
       c = balance_choose_upstream (&r))
    {
      load_begin_request (&c.upstream->load, now);
      placed++;
    }
  CU_ASSERT_EQUAL (placed, UPSTREAMS * SLOTS);
  fleet_destroy (fleet);
}

/* An upstream is avoided for what is seen of it, not for what it says.  */
static void
test_faults (void)
{
  static const struct
  {
    const char *name;
    enum load_result result;
    double times; /* of what was expected */
    int count;
  } cases[] = { { "slow", LOAD_ANSWERED, 5.0, 4 },
                { "failing", LOAD_FAILED, 1.0, 4 },
                { "silent", LOAD_TIMED_OUT, 1.0, 4 },
                { "unreachable", LOAD_UNREACHABLE, 1.0, 1 } };
  for (size_t i = 0; i < COUNT (cases); i++)
    {
      open_fleet ();
      struct balance_request r = request (5);
      struct fleet_upstream *home = balance_choose_upstream (&r).upstream;
      struct fleet_upstream *other = r.service->upstreams[0];
      if (other == home)
        other = r.service->upstreams[1];
      affinity_record (fleet_affinity (fleet), other->incarnation_hash,
                       r.object, now + TIMER_SEC (20));
      affinity_record (fleet_affinity (fleet), home->incarnation_hash,
                       r.object, now + TIMER_SEC (20));
      CU_ASSERT_PTR_EQUAL (balance_choose_upstream (&r).upstream, home);
      for (int n = 0; n < cases[i].count; n++)
        {
          load_begin_request (&home->load, now);
          load_end_request (&home->load, cases[i].result,
                            (apr_time_t)(100000 * cases[i].times), 100000,
                            now);
        }
      CU_ASSERT_PTR_NOT_EQUAL (balance_choose_upstream (&r).upstream, home);
      r.now = now + TIMER_SEC (30);
      CU_ASSERT_PTR_EQUAL (balance_choose_upstream (&r).upstream, home);
      fleet_destroy (fleet);
    }
}

static void
test_cold (void)
{
  open_fleet ();
  struct balance_request r = request (9);
  struct fleet_upstream *home = balance_choose_upstream (&r).upstream;
  int placed = 0;
  home->cold_until = now + TIMER_SEC (10);
  r.cold_rate = 16.0;
  /* Another entry's: nothing from here.  */
  CU_ASSERT_PTR_NOT_EQUAL (balance_choose_upstream (&r).upstream, home);
  home->cold_share = 0.25;
  for (int ms = 0; ms < 5000; ms += 10)
    {
      r.now = now + TIMER_MS (ms);
      struct balance_choice c = balance_choose_upstream (&r);
      if (c.upstream != home)
        continue;
      CU_ASSERT (load_take_cold_token (&home->load, 4.0, 1.0, r.now));
      placed++;
    }
  CU_ASSERT (placed >= 15 && placed <= 21);
  fleet_destroy (fleet);
}

static void
test_learn (void)
{
  work = (struct balance_service_time){ 200000, 300000 };
  for (int i = 0; i < 200; i++)
    balance_update_service_time (&work, i % 30 == 0 ? 2000000 : 100000, true);
  CU_ASSERT (work.cached < 115000);
  CU_ASSERT (work.uncached < 450000);
}

static void
test_admit (void)
{
  static const struct
  {
    const char *name;
    struct admit_state state;
    enum admit_action action;
  } cases[] = {
    { "in time",
      { .has_slot = true,
        .expected_latency = 100000,
        .target_left = 300000,
        .deadline_left = 900000,
        .utilization = 1.0 },
      ADMIT_SEND },
    { "late, others wait",
      { .has_slot = true,
        .expected_latency = 400000,
        .target_left = 300000,
        .deadline_left = 900000,
        .utilization = 0.95 },
      ADMIT_REFUSE },
    { "late, nobody waits",
      { .has_slot = true,
        .expected_latency = 400000,
        .target_left = 300000,
        .deadline_left = 900000,
        .utilization = 0.2 },
      ADMIT_SEND },
    { "after the caller has left",
      { .has_slot = true,
        .expected_latency = 400000,
        .target_left = 300000,
        .deadline_left = 350000,
        .utilization = 0.1 },
      ADMIT_REFUSE },
    { "no slot, time to wait",
      { .min_latency = 100000,
        .target_left = 300000,
        .deadline_left = 900000,
        .utilization = 1.0,
        .dispatch_rate = 100,
        .queued = 3 },
      ADMIT_WAIT },
    { "no slot, too many wait",
      { .min_latency = 100000,
        .target_left = 300000,
        .deadline_left = 900000,
        .utilization = 1.0,
        .dispatch_rate = 100,
        .queued = 30 },
      ADMIT_REFUSE },
    { "no slot, no time to wait",
      { .min_latency = 100000,
        .target_left = 100000,
        .deadline_left = 900000,
        .utilization = 1.0,
        .dispatch_rate = 100 },
      ADMIT_REFUSE },
  };
  for (size_t i = 0; i < COUNT (cases); i++)
    {
      struct admit_verdict verdict = admit_decide (&cases[i].state);
      CU_ASSERT_EQUAL (verdict.action, cases[i].action);
      if (verdict.action != cases[i].action)
        printf ("  case: %s\n", cases[i].name);
      if (verdict.action == ADMIT_REFUSE)
        CU_ASSERT (verdict.retry_after > 0);
    }
}

static void
test_spread (void)
{
  enum
  {
    OBJECTS = 4000
  };
  struct region_split spread;
  const bool all[3] = { true, true, true };
  struct balance_region_load rooms[3] = { { 36, 0 }, { 144, 0 }, { 108, 0 } };
  int before[OBJECTS];
  now = TIMER_SEC (1000);
  region_split_init (&spread, 3, 0, 0.03);
  region_split_update (&spread, rooms, now);
  CU_ASSERT_DOUBLE_EQUAL (spread.fractions[0], 0.375, 0.001);
  CU_ASSERT_DOUBLE_EQUAL (spread.fractions[1], 0.5, 0.001);
  /* The own region is overrun: however it is, few objects move in 2 s.  */
  for (int i = 0; i < OBJECTS; i++)
    before[i] = (int)region_split_pick (
        &spread, (uint64_t)i * 0x9e3779b97f4a7c15ULL, all);
  rooms[0].busy = 36;
  for (int ms = 100; ms <= 2000; ms += 100)
    region_split_update (&spread, rooms, now + TIMER_MS (ms));
  int moved = 0;
  for (int i = 0; i < OBJECTS; i++)
    moved += (int)region_split_pick (&spread,
                                     (uint64_t)i * 0x9e3779b97f4a7c15ULL, all)
             != before[i];
  CU_ASSERT (moved > 0);
  CU_ASSERT (moved < OBJECTS * 15 / 100);
  double sum = spread.fractions[0] + spread.fractions[1] + spread.fractions[2];
  CU_ASSERT_DOUBLE_EQUAL (sum, 1.0, 1e-9);
  const bool none[3] = { false, false, false };
  CU_ASSERT_EQUAL (region_split_pick (&spread, 5, none),
                   REGION_SPLIT_MAX_REGIONS);
  const bool last[3] = { false, false, true };
  CU_ASSERT_EQUAL (region_split_pick (&spread, 5, last), 2);
}

/* Requests for objects that come once do without what upstreams know.  */
static void
test_once (void)
{
  static const struct
  {
    bool recurs;
    apr_time_t distance;
    bool is_near;
  } cases[] = { { true, 110000, true },
                { true, 400000, false },
                { false, 110000, false },
                { false, 2000, true } };
  open_fleet ();
  work = (struct balance_service_time){ 200000, 350000 };
  for (size_t i = 0; i < COUNT (cases); i++)
    CU_ASSERT_EQUAL (balance_meets_target (&work, cases[i].recurs,
                                           cases[i].distance, 400000),
                     cases[i].is_near);
  struct balance_request r = request (77);
  CU_ASSERT (balance_choose_upstream (&r).object_cached);
  r.recurs = false;
  struct balance_choice choice = balance_choose_upstream (&r);
  CU_ASSERT_FALSE (choice.object_cached);
  CU_ASSERT_EQUAL (choice.service_time, 350000);
  /* A fast answer to one of them says nothing of known objects.  */
  for (int i = 0; i < 50; i++)
    balance_update_service_time (&work, 180000, false);
  CU_ASSERT (work.uncached < 250000);
  fleet_destroy (fleet);
}

const struct unit_test balance_tests[]
    = { { "an object's requests go where it is known", test_affinity },
        { "calls wait only where their object is known", test_queue },
        { "no upstream gets more than its slots", test_full },
        { "slow, failing and unreachable ones are avoided for a time",
          test_faults },
        { "a cold upstream gets its rate", test_cold },
        { "objects that come once", test_once },
        { "work is learnt, single long requests count little", test_learn },
        { "sent, held or refused at once", test_admit },
        { "regions change slowly", test_spread },
        { NULL, NULL } };
