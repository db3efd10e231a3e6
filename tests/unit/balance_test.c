/* Decisions on single requests: choice of the upstream, admission, and split
   among regions.  Guards against requests that are sent to upstreams that are
   full, faulty or cold, that wait where it gains nothing, or that move to
   another region all at once.  */
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
static struct balance_service_time service_time;

static struct str
find_region (void *user_data, struct str zone)
{
  (void)user_data;
  return zone;
}

static void
set_up_fleet (void)
{
  struct fleet_desc desc = { .find_region = find_region };
  fleet = fleet_create (test_pool, &desc);
  now = TIMER_SEC (1000);
  service_time = (struct balance_service_time){ 100000, 300000 };
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
  return (struct balance_request){
    .group = fleet_group (fleet_service (fleet, STR ("desk")), STR ("north")),
    .affinity = fleet_affinity (fleet),
    .object = object,
    .recurs = true,
    .service_time = &service_time,
    .max_in_flight = 100,
    .now = now
  };
}

/* Requests wait at an upstream without a free slot only if it has their object
   cached, and at most max_queue_per_slot for each of its slots.  */
static void
test_queue (void)
{
  static const struct
  {
    double max_queue_per_slot;
    bool recurs;
    int in_flight;  /* requests at the upstream that has the object cached */
    bool is_chosen; /* that upstream is chosen */
  } cases[]
      = { { 1.0, true, SLOTS - 1, true },  { 1.0, true, SLOTS + 1, true },
          { 1.0, true, 2 * SLOTS, false }, { 0.0, true, SLOTS, false },
          { 0.5, true, SLOTS + 2, false }, { 1.0, false, SLOTS, false } };
  for (size_t i = 0; i < sizeof cases / sizeof *cases; i++)
    {
      set_up_fleet ();
      struct balance_request r = request (77);
      struct fleet_upstream *preferred = balance_choose_upstream (&r).upstream;
      for (int n = 0; n < cases[i].in_flight; n++)
        load_begin_request (&preferred->load, now);
      r.max_queue_per_slot = cases[i].max_queue_per_slot;
      r.recurs = cases[i].recurs;
      struct balance_choice choice = balance_choose_upstream (&r);
      CU_ASSERT_EQUAL (choice.upstream == preferred, cases[i].is_chosen);
      /* The expected latency includes the wait.  */
      CU_ASSERT_EQUAL (choice.expected_latency > choice.service_time,
                       cases[i].is_chosen && cases[i].in_flight > SLOTS);
      fleet_destroy (fleet);
    }
}

/* Requests for an object go to the same upstream while it has a free slot; the
   next one goes elsewhere, and that upstream has the object cached too.  */
static void
test_affinity (void)
{
  set_up_fleet ();
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
  /* No slot is free: another one is chosen, without the object.  */
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

/* Requests are sent to every free slot, and to none beyond.  */
static void
test_slots (void)
{
  set_up_fleet ();
  struct balance_request r = request (1);
  int sent = 0;
  for (struct balance_choice c = balance_choose_upstream (&r); c.upstream;
       c = balance_choose_upstream (&r))
    {
      load_begin_request (&c.upstream->load, now);
      sent++;
    }
  CU_ASSERT_EQUAL (sent, UPSTREAMS * SLOTS);
  fleet_destroy (fleet);
}

/* An upstream is avoided for a time after requests that were slow, failed,
   timed out or could not reach it, whatever it reports itself.  */
static void
test_faults (void)
{
  static const struct
  {
    const char *name;
    enum load_result result;
    double latency_ratio; /* measured over expected latency */
    int requests;
  } cases[] = { { "slow", LOAD_ANSWERED, 5.0, 4 },
                { "failing", LOAD_FAILED, 1.0, 4 },
                { "silent", LOAD_TIMED_OUT, 1.0, 4 },
                { "unreachable", LOAD_UNREACHABLE, 1.0, 1 } };
  for (size_t i = 0; i < COUNT (cases); i++)
    {
      set_up_fleet ();
      struct balance_request r = request (5);
      struct fleet_upstream *preferred = balance_choose_upstream (&r).upstream;
      struct fleet_upstream *other = r.group->members[0].upstream;
      if (other == preferred)
        other = r.group->members[1].upstream;
      affinity_record (fleet_affinity (fleet), other->incarnation_hash,
                       r.object, now + TIMER_SEC (20));
      affinity_record (fleet_affinity (fleet), preferred->incarnation_hash,
                       r.object, now + TIMER_SEC (20));
      CU_ASSERT_PTR_EQUAL (balance_choose_upstream (&r).upstream, preferred);
      for (int n = 0; n < cases[i].requests; n++)
        {
          load_begin_request (&preferred->load, now);
          load_end_request (&preferred->load, cases[i].result,
                            (apr_time_t)(100000 * cases[i].latency_ratio),
                            100000, now);
        }
      CU_ASSERT_PTR_NOT_EQUAL (balance_choose_upstream (&r).upstream,
                               preferred);
      r.now = now + TIMER_SEC (30);
      CU_ASSERT_PTR_EQUAL (balance_choose_upstream (&r).upstream, preferred);
      fleet_destroy (fleet);
    }
}

/* A cold upstream gets requests only from entries with a quota, and no more
   than that in any second: 4, for 5 s.  */
static void
test_cold (void)
{
  set_up_fleet ();
  struct balance_request r = request (9);
  struct fleet_upstream *preferred = balance_choose_upstream (&r).upstream;
  int sent = 0;
  preferred->cold_until = now + TIMER_SEC (10);
  /* Without a quota, none are sent from here.  */
  CU_ASSERT_PTR_NOT_EQUAL (balance_choose_upstream (&r).upstream, preferred);
  preferred->cold_quota = 4;
  for (int ms = 0; ms < 5000; ms += 10)
    {
      r.now = now + TIMER_MS (ms);
      struct balance_choice c = balance_choose_upstream (&r);
      if (c.upstream != preferred)
        continue;
      load_begin_request (&preferred->load, r.now);
      load_end_request (&preferred->load, LOAD_CANCELLED, 0, 0, r.now);
      CU_ASSERT (load_sends_since (&preferred->load, r.now - TIMER_SEC (1) + 1)
                 <= 4);
      sent++;
    }
  CU_ASSERT_EQUAL (sent, 20);
  fleet_destroy (fleet);
}

/* One long request in 30 hardly changes the estimates of the service time,
   with the object cached or not.  */
static void
test_service_time (void)
{
  service_time = (struct balance_service_time){ 200000, 300000 };
  for (int i = 0; i < 200; i++)
    balance_update_service_time (&service_time, i % 30 == 0 ? 2000000 : 100000,
                                 true);
  CU_ASSERT (service_time.cached < 115000);
  CU_ASSERT (service_time.uncached < 450000);
}

/* Slots go to requests that can be answered in time; others are sent only
   where there is capacity to spare, and never after their deadline.  */
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
    { "late, high utilization",
      { .has_slot = true,
        .expected_latency = 400000,
        .target_left = 300000,
        .deadline_left = 900000,
        .utilization = 0.95 },
      ADMIT_REFUSE },
    { "late, low utilization",
      { .has_slot = true,
        .expected_latency = 400000,
        .target_left = 300000,
        .deadline_left = 900000,
        .utilization = 0.2 },
      ADMIT_SEND },
    { "after the deadline",
      { .has_slot = true,
        .expected_latency = 400000,
        .target_left = 300000,
        .deadline_left = 350000,
        .utilization = 0.1 },
      ADMIT_REFUSE },
    /* Long work, or a fault, can raise an estimate above every deadline.  With
       all requests refused, nothing would lower it again.  */
    { "after the deadline, none was sent for long",
      { .has_slot = true,
        .expected_latency = 400000,
        .target_left = 300000,
        .deadline_left = 350000,
        .utilization = 0.1,
        .since_sent = 1100000 },
      ADMIT_SEND },
    { "no slot, time to wait",
      { .min_latency = 100000,
        .target_left = 300000,
        .deadline_left = 900000,
        .utilization = 1.0,
        .dispatch_rate = 100,
        .queued = 3 },
      ADMIT_WAIT },
    { "no slot, queue too long",
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

/* The split starts from the slots of the regions and moves slowly, so that no
   region sees a sudden rise of requests.  */
static void
test_region_split (void)
{
  enum
  {
    OBJECTS = 4000
  };
  struct region_split split;
  const bool all_regions[3] = { true, true, true };
  struct balance_region_load loads[3] = { { 36, 0 }, { 144, 0 }, { 108, 0 } };
  int before[OBJECTS];
  now = TIMER_SEC (1000);
  region_split_init (&split, 3, 0, 0.03);
  region_split_update (&split, loads, now);
  CU_ASSERT_DOUBLE_EQUAL (split.fractions[0], 0.375, 0.001);
  CU_ASSERT_DOUBLE_EQUAL (split.fractions[1], 0.5, 0.001);
  /* The own region has no free slot: even so, few objects move in 2 s.  */
  for (int i = 0; i < OBJECTS; i++)
    before[i] = (int)region_split_pick (
        &split, (uint64_t)i * 0x9e3779b97f4a7c15ULL, all_regions);
  loads[0].busy = 36;
  for (int ms = 100; ms <= 2000; ms += 100)
    region_split_update (&split, loads, now + TIMER_MS (ms));
  int moved = 0;
  for (int i = 0; i < OBJECTS; i++)
    moved += (int)region_split_pick (
                 &split, (uint64_t)i * 0x9e3779b97f4a7c15ULL, all_regions)
             != before[i];
  CU_ASSERT (moved > 0);
  CU_ASSERT (moved < OBJECTS * 15 / 100);
  double sum = split.fractions[0] + split.fractions[1] + split.fractions[2];
  CU_ASSERT_DOUBLE_EQUAL (sum, 1.0, 1e-9);
  const bool no_region[3] = { false, false, false };
  CU_ASSERT_EQUAL (region_split_pick (&split, 5, no_region),
                   REGION_SPLIT_MAX_REGIONS);
  const bool last_region[3] = { false, false, true };
  CU_ASSERT_EQUAL (region_split_pick (&split, 5, last_region), 2);
}

/* After a pause of the process, fractions move by no more than within half a
   second: the requests that come next see no step.  */
static void
test_region_split_after_pause (void)
{
  static const int pauses_ms[] = { 500, 3000, 60000 };
  for (size_t i = 0; i < COUNT (pauses_ms); i++)
    {
      struct region_split split;
      struct balance_region_load loads[3]
          = { { 36, 0 }, { 144, 0 }, { 108, 0 } };
      now = TIMER_SEC (1000);
      region_split_init (&split, 3, 0, 0.03);
      region_split_update (&split, loads, now);
      double before = split.fractions[0];
      loads[0].busy = 36;
      region_split_update (&split, loads, now + TIMER_MS (pauses_ms[i]));
      CU_ASSERT (split.fractions[0] < before);
      CU_ASSERT (before - split.fractions[0] <= 0.03 * 0.5 + 1e-9);
    }
}

/* Whatever demand each entry has, and had before, no more than the allowed
   fraction of the requests overflows within two seconds, though all of them
   would; and in the long run as many do as the budget says.  */
static void
test_overflow (void)
{
  enum
  {
    MAX_ENTRIES = 300
  };
  static const double max_shift = 0.15; /* of the users' sites */
  static const double fraction = 0.04;
  static const struct
  {
    int entries;
    int requests; /* of each entry, within two seconds */
    int before;   /* requests before, none of which overflowed */
    int pause_ms; /* after them */
  } cases[] = { { 11, 60, 0, 0 },       { 63, 5, 0, 0 },
                { 63, 60, 0, 0 },       { 300, 1, 0, 0 },
                { 300, 5, 0, 0 },       { 300, 60, 0, 0 },
                { 63, 5, 2000, 3000 },  { 300, 1, 2000, 3000 },
                { 300, 5, 2000, 60000 } };
  static struct region_overflow overflows[MAX_ENTRIES];
  for (size_t c = 0; c < COUNT (cases); c++)
    {
      int sent = 0;
      int overflowed = 0;
      int later = 0;
      for (int e = 0; e < cases[c].entries; e++)
        {
          struct region_overflow *o = &overflows[e];
          now = TIMER_SEC (1000);
          region_overflow_init (o, fraction,
                                (uint64_t)(e + 1) * 0x9e3779b97f4a7c15ULL);
          for (int i = 0; i < cases[c].before; i++)
            region_overflow_deposit (o, now += TIMER_MS (10));
          now += TIMER_MS (cases[c].pause_ms);
          for (int i = 0; i < cases[c].requests; i++)
            {
              now += TIMER_SEC (2) / cases[c].requests;
              region_overflow_deposit (o, now);
              sent++;
              overflowed += region_overflow_try_withdraw (o, now);
            }
          for (int i = 0; i < 1000; i++)
            {
              region_overflow_deposit (o, now += TIMER_MS (10));
              later += region_overflow_try_withdraw (o, now);
            }
        }
      CU_ASSERT (overflowed <= max_shift * sent);
      CU_ASSERT_DOUBLE_EQUAL (later, fraction * 1000 * cases[c].entries,
                              cases[c].entries);
      if (overflowed > max_shift * sent)
        printf ("# case %d: %d of %d\n", (int)c, overflowed, sent);
    }
}

/* A request whose object does not recur is not expected to find it cached: it
   uses the service time of objects that are not cached, and nothing is
   concluded from it about those that are.  */
static void
test_no_recurrence (void)
{
  static const struct
  {
    bool recurs;
    apr_time_t rtt;
    bool meets_target;
  } cases[] = { { true, 110000, true },
                { true, 400000, false },
                { false, 110000, false },
                { false, 2000, true } };
  set_up_fleet ();
  service_time = (struct balance_service_time){ 200000, 350000 };
  for (size_t i = 0; i < COUNT (cases); i++)
    CU_ASSERT_EQUAL (balance_meets_target (&service_time, cases[i].recurs,
                                           cases[i].rtt, 400000),
                     cases[i].meets_target);
  struct balance_request r = request (77);
  CU_ASSERT (balance_choose_upstream (&r).object_cached);
  r.recurs = false;
  struct balance_choice choice = balance_choose_upstream (&r);
  CU_ASSERT_FALSE (choice.object_cached);
  CU_ASSERT_EQUAL (choice.service_time, 350000);
  /* Fast responses to such requests lower the estimate without cache.  */
  for (int i = 0; i < 50; i++)
    balance_update_service_time (&service_time, 180000, false);
  CU_ASSERT (service_time.uncached < 250000);
  fleet_destroy (fleet);
}

/* The load of a region: what upstreams reported lately, and if hardly any was
   heard of, for the others the mean of those.  An entry among hundreds hears
   of one in eighty; with nothing in the place of the others, each region seems
   idle.  */
static void
test_region_load (void)
{
  enum
  {
    MANY = 100
  };
  static const struct
  {
    int heard;        /* of MANY upstreams, each with 2 other requests */
    apr_time_t later; /* when the load is estimated */
    double busy;
  } cases[] = {
    { 0, 0, 0.0 },
    /* The mean is 3: those that report 2 had a third, the one that ended.  It
       counts the less the more were heard of, up to a twentieth.  */
    { 1, 0, 2.0 + 99 * 3.0 * 0.8 },
    { 4, 0, 8.0 + 96 * 3.0 * 0.2 },
    { 5, 0, 10.0 },
    { MANY, 0, 200.0 },
    /* Reports of long ago do not count, nor does their mean.  */
    { 1, TIMER_SEC (30), 0.0 },
  };
  for (size_t i = 0; i < COUNT (cases); i++)
    {
      struct fleet_desc desc = { .find_region = find_region };
      fleet = fleet_create (test_pool, &desc);
      now = TIMER_SEC (1000);
      for (int u = 0; u < MANY; u++)
        {
          struct fleet_record r = { .id = str_printf (test_pool, "u%d", u),
                                    .service = STR ("desk"),
                                    .address = STR ("10.0.0.1:80"),
                                    .zone = STR ("north"),
                                    .slots = SLOTS,
                                    .incarnation = 1 };
          fleet_put_upstream (fleet, &r, u + 1, now);
        }
      const struct fleet_service *service
          = fleet_service (fleet, STR ("desk"));
      const struct fleet_group *group = fleet_group (service, STR ("north"));
      struct balance_reports reports = { 0 };
      const struct load_report report = { 2, 0, SLOTS, 100 };
      /* At least three reports, for the mean to be relied on.  */
      for (int u = 0; u < cases[i].heard || (u < 3 && cases[i].heard); u++)
        {
          if (u < cases[i].heard)
            load_apply_report (&group->members[u].upstream->load, &report,
                               now);
          balance_add_report (&reports, 2, now);
        }
      apr_time_t at = now + cases[i].later;
      struct balance_region_load load
          = balance_region_load (group,
                                 balance_unheard_weight (service, at)
                                     * balance_mean_requests (&reports, at),
                                 SLOTS, at);
      CU_ASSERT_DOUBLE_EQUAL (load.slots, MANY * SLOTS, 1e-9);
      CU_ASSERT_DOUBLE_EQUAL (load.busy, cases[i].busy, 0.01);
      fleet_destroy (fleet);
    }
}

/* Upstreams are heard of in proportion to their requests; the estimate of the
   mean has no such bias.  */
static void
test_mean_of_reports (void)
{
  static const double means[] = { 0.5, 2.0, 6.0 };
  uint64_t random = 1;
  for (size_t m = 0; m < COUNT (means); m++)
    {
      struct balance_reports reports = { 0 };
      double sum = 0.0;
      int estimates = 0;
      for (int n = 0; n < 4000; n++)
        {
          /* The other requests that a request finds: Poisson.  */
          double limit = exp (-means[m]);
          int requests = -1;
          for (double product = 1.0; product > limit; requests++)
            {
              random
                  = random * 6364136223846793005ULL + 1442695040888963407ULL;
              product *= (double)(random >> 11) / (double)(1ULL << 53);
            }
          balance_add_report (&reports, requests,
                              now + n * (apr_time_t)TIMER_MS (50));
          if (n < 200)
            continue;
          sum += balance_mean_requests (&reports,
                                        now + n * (apr_time_t)TIMER_MS (50));
          estimates++;
        }
      CU_ASSERT_DOUBLE_EQUAL (sum / estimates, means[m], 0.08 * means[m]);
    }
}

/* Requests of this entry to an upstream that has turned it away.  Each step is
   a time after the first refusal, and what happens then.  */
static void
test_turned_away (void)
{
  enum action
  {
    END,
    REFUSED_2S,  /* a request ends refused, with a wait of 2 s */
    REFUSED_5S,  /* the same with 5 s */
    REFUSED_60S, /* the same with 60 s, of which 3 s are believed */
    REFUSED_0S,  /* the same with 0 s */
    REFUSED,     /* the same without a wait */
    SENT,        /* a request is sent */
    ANSWERED,    /* one is answered */
    FAILED       /* one fails */
  };
  static const struct
  {
    const char *name;
    struct
    {
      int64_t at_ms;
      enum action action;
      bool takes; /* afterwards it takes a request */
    } steps[10];
  } cases[] = {
    { "no wait", { { 0, REFUSED, true }, { 1, SENT, true } } },
    { "zero", { { 0, REFUSED_0S, true }, { 1, SENT, true } } },
    { "one at a time after the wait, until one is answered",
      { { 0, REFUSED_2S, false },
        { 1999, SENT, false },
        { 1999, ANSWERED, false },
        { 2000, SENT, false },
        { 2300, ANSWERED, true },
        { 2300, SENT, true },
        { 2300, SENT, true } } },
    { "refused during its return",
      { { 0, REFUSED_2S, false },
        { 2000, SENT, false },
        { 2100, REFUSED_2S, false },
        { 4099, ANSWERED, false },
        { 4100, SENT, false },
        { 4200, ANSWERED, true } } },
    { "refused without a wait during its return",
      { { 0, REFUSED_2S, false },
        { 2000, SENT, false },
        { 2100, REFUSED, true },
        { 2100, SENT, false },
        { 2200, ANSWERED, true },
        { 2200, SENT, true } } },
    { "a failure does not end the return",
      { { 0, REFUSED_2S, false },
        { 2000, SENT, false },
        { 2100, FAILED, true },
        { 2100, SENT, false } } },
    { "the later end holds",
      { { 0, REFUSED_5S, false },
        { 100, REFUSED_2S, false },
        { 4999, ANSWERED, false },
        { 5000, SENT, false } } },
    { "a longer wait replaces the rest of the first",
      { { 0, REFUSED_2S, false },
        { 100, REFUSED_5S, false },
        { 5000, ANSWERED, false },
        { 5100, SENT, false } } },
    { "two requests in the time stated, though less is believed",
      { { 0, REFUSED_60S, false },
        { 2999, ANSWERED, false },
        { 3000, SENT, false },
        { 3100, ANSWERED, true },
        { 3100, SENT, false },
        { 3200, ANSWERED, false },
        { 59999, ANSWERED, false },
        { 60000, SENT, true },
        { 60100, ANSWERED, true } } },
    { "refused again within the time stated",
      { { 0, REFUSED_60S, false },
        { 3000, SENT, false },
        { 3100, REFUSED_60S, false },
        { 6100, SENT, false },
        { 6200, REFUSED_60S, false },
        { 66199, ANSWERED, false },
        { 66200, SENT, false } } },
  };
  static const int64_t waits_ms[] = { [REFUSED_2S] = 2000,
                                      [REFUSED_5S] = 5000,
                                      [REFUSED_60S] = 3000,
                                      [REFUSED_0S] = 0 };
  static const int64_t stated_ms[] = { [REFUSED_2S] = 2000,
                                       [REFUSED_5S] = 5000,
                                       [REFUSED_60S] = 60000,
                                       [REFUSED_0S] = 0 };
  for (size_t c = 0; c < sizeof cases / sizeof *cases; c++)
    {
      struct load load;
      apr_time_t start = TIMER_SEC (1000);
      set_up_fleet ();
      struct fleet_upstream *upstream = fleet_find (fleet, STR ("u0"));
      for (int i = 1; i < UPSTREAMS; i++)
        fleet_remove_upstream (fleet, str_printf (test_pool, "u%d", i), false,
                               start);
      load_init (&load, SLOTS);
      /* The request that is refused first.  */
      load_begin_request (&load, start);
      for (int i = 0; i < 10 && cases[c].steps[i].action != END; i++)
        {
          enum action action = cases[c].steps[i].action;
          now = start + TIMER_MS (cases[c].steps[i].at_ms);
          if (action <= REFUSED_0S)
            {
              load_turn_away (&load, TIMER_MS (waits_ms[action]), now);
              load_restrict (&load, TIMER_MS (stated_ms[action]), now);
            }
          if (action == SENT)
            load_begin_request (&load, now);
          else if (load.in_flight > 0)
            load_end_request (&load,
                              action == ANSWERED ? LOAD_ANSWERED
                              : action == FAILED ? LOAD_FAILED
                                                 : LOAD_REFUSED,
                              100, 100, now);
          upstream->load = load;
          struct balance_request r = request (77);
          bool takes = balance_choose_upstream (&r).upstream == upstream;
          CU_ASSERT_EQUAL (takes, cases[c].steps[i].takes);
          if (takes != cases[c].steps[i].takes)
            printf ("# %s, step %d: %d\n", cases[c].name, i, takes);
        }
      fleet_destroy (fleet);
    }
}

/* What one upstream says takes its own slots out of the region, and no others;
   when all have said so, the first return is known.  */
static void
test_turned_away_region (void)
{
  static const struct
  {
    int turned_away; /* of the upstreams, with a wait of 2 s, 3 s, 4 s...  */
    int avoided;     /* of the others, for 1 s */
    int64_t at_ms;
    double slots;
    int64_t first_ms; /* at which the first is back; 0: one takes requests */
  } cases[] = { { 0, 0, 0, UPSTREAMS * SLOTS, 0 },
                { 1, 0, 0, (UPSTREAMS - 1) * SLOTS, 0 },
                { UPSTREAMS - 1, 0, 0, SLOTS, 0 },
                { UPSTREAMS, 0, 0, 0, 2000 },
                { UPSTREAMS, 0, 1999, 0, 2000 },
                /* One that returns takes one request.  */
                { UPSTREAMS, 0, 2000, 1, 0 },
                { 1, 0, 2000, (UPSTREAMS - 1) * SLOTS + 1, 0 },
                /* One that can't be reached takes none either.  */
                { UPSTREAMS - 1, 1, 0, SLOTS, 1000 },
                { UPSTREAMS - 1, 1, 1000, SLOTS, 0 },
                { UPSTREAMS - 2, 1, 0, 2 * SLOTS, 0 } };
  for (size_t i = 0; i < sizeof cases / sizeof *cases; i++)
    {
      apr_time_t first = 0;
      set_up_fleet ();
      for (int n = 0; n < cases[i].turned_away; n++)
        {
          struct fleet_upstream *upstream
              = fleet_find (fleet, str_printf (test_pool, "u%d", n));
          fleet_turn_away (fleet, upstream, TIMER_SEC (2 + n),
                           TIMER_SEC (2 + n), now);
        }
      for (int n = 0; n < cases[i].avoided; n++)
        load_avoid (&fleet_find (fleet, str_printf (test_pool, "u%d",
                                                    cases[i].turned_away + n))
                         ->load,
                    now + TIMER_SEC (1), now);
      size_t count = 0;
      const struct fleet_group *group = request (1).group;
      apr_time_t at = now + TIMER_MS (cases[i].at_ms);
      CU_ASSERT_EQUAL (balance_region_load (group, 0, SLOTS, at).slots,
                       cases[i].slots);
      CU_ASSERT_EQUAL (balance_is_turned_away (group, at, &count, &first),
                       cases[i].first_ms > 0);
      if (cases[i].first_ms > 0)
        CU_ASSERT_EQUAL (first, now + TIMER_MS (cases[i].first_ms));
      fleet_destroy (fleet);
    }
}

/* A cold upstream counts for the slots that are used by what it may be sent,
   until it is known to be warm.  */
static void
test_cold_region (void)
{
  static const struct
  {
    int doubted; /* of the upstreams */
    int cold;    /* of them, those that say that they are, for a second */
    double cold_slots;
    int64_t at_ms;
    double slots;
  } cases[] = {
    { 0, 0, 1.5, 0, UPSTREAMS * SLOTS },
    { 1, 0, 1.5, 0, (UPSTREAMS - 1) * SLOTS + 1.5 },
    { 1, 1, 1.5, 0, (UPSTREAMS - 1) * SLOTS + 1.5 },
    { 1, 1, 1.5, 1000, UPSTREAMS * SLOTS },
    { UPSTREAMS, 0, 1.5, 0, UPSTREAMS * 1.5 },
    { UPSTREAMS, UPSTREAMS, 0, 0, 0 },
    { UPSTREAMS, UPSTREAMS - 1, 1.5, 1000, (UPSTREAMS - 1) * SLOTS + 1.5 },
    /* As long as it is not known how many those are, all of them.  */
    { UPSTREAMS, 0, HUGE_VAL, 0, UPSTREAMS * SLOTS },
  };
  for (size_t i = 0; i < COUNT (cases); i++)
    {
      set_up_fleet ();
      for (int n = 0; n < cases[i].doubted; n++)
        {
          struct fleet_upstream *upstream
              = fleet_find (fleet, str_printf (test_pool, "u%d", n));
          fleet_doubt (fleet, upstream, now);
          if (n < cases[i].cold)
            fleet_settle (upstream, now, TIMER_SEC (1));
        }
      apr_time_t at = now + TIMER_MS (cases[i].at_ms);
      double slots
          = balance_region_load (request (1).group, 0, cases[i].cold_slots, at)
                .slots;
      CU_ASSERT_DOUBLE_EQUAL (slots, cases[i].slots, 1e-9);
      if (fabs (slots - cases[i].slots) > 1e-9)
        printf ("# case %d: %.1f slots\n", (int)i, slots);
      fleet_destroy (fleet);
    }
}

/* Two entries return at once, the others within a second, two by two; callers
   that were refused meanwhile return over a time that grows with them.  */
static void
test_return (void)
{
  static const struct
  {
    size_t rank;
    size_t entries;
    int64_t delay_ms;
  } entries[]
      = { { 0, 1, 0 },   { 1, 11, 0 },  { 2, 11, 100 },  { 10, 11, 500 },
          { 1, 295, 0 }, { 2, 295, 6 }, { 83, 84, 976 }, { 294, 295, 993 } };
  static const struct
  {
    int64_t left_ms;
    double refused;
    double jitter;
    int64_t wait_ms;
  } callers[] = { { 2000, 0, 0, 2000 },
                  { 2000, 0, 0.5, 2200 },
                  { 2000, 4, 0.5, 2400 },
                  { 2000, 1000, 0.5, 3000 },
                  { -100, 0, 0.25, 100 } };
  for (size_t i = 0; i < sizeof entries / sizeof *entries; i++)
    CU_ASSERT_EQUAL (load_return_delay (entries[i].rank, entries[i].entries)
                         / TIMER_MS (1),
                     entries[i].delay_ms);
  for (size_t i = 0; i < sizeof callers / sizeof *callers; i++)
    CU_ASSERT_EQUAL (admit_return_wait (TIMER_MS (callers[i].left_ms),
                                        callers[i].refused, TIMER_MS (100),
                                        callers[i].jitter),
                     TIMER_MS (callers[i].wait_ms));
}

const struct unit_test balance_tests[] = {
  { "an object's requests go where it is cached", test_affinity },
  { "requests wait only where their object is cached", test_queue },
  { "no upstream gets more than its slots", test_slots },
  { "slow, failing and unreachable upstreams are avoided for a time",
    test_faults },
  { "an upstream that turns away gets nothing, then one at a time",
    test_turned_away },
  { "upstreams that turn away have no slots", test_turned_away_region },
  { "cold upstreams count for the slots that they may use", test_cold_region },
  { "entries and callers don't return at once", test_return },
  { "a cold upstream gets this entry's share of its rate", test_cold },
  { "an object that does not recur is not expected to be cached",
    test_no_recurrence },
  { "single long requests hardly change the service time", test_service_time },
  { "requests are sent, wait or are refused at once", test_admit },
  { "the split among regions changes slowly", test_region_split },
  { "the split among regions makes no step after a pause",
    test_region_split_after_pause },
  { "few requests overflow within two seconds, at any demand", test_overflow },
  { "the load of a region counts upstreams that were not heard of",
    test_region_load },
  { "the mean of reports is not that of the busiest upstreams",
    test_mean_of_reports },
  { NULL, NULL }
};
