/* An upstream that says in a response that it is leaving: until when it gets
   requests, and which.  Guards against requests to upstreams that have ended,
   and against slots and caches that go unused while an upstream drains.  */
#include "balance/balance.h"
#include "base/timer.h"
#include "tests/unit/unit.h"

#include <stdio.h>

enum
{
  DRAIN_MS = 2500,
  CACHED_MS = 100,
  UNCACHED_MS = 300,
  RTT_MS = 10,
  OBJECT = 77
};

static struct fleet *fleet;
static apr_time_t now;

static struct str
find_region (void *user_data, struct str zone)
{
  (void)user_data;
  (void)zone;
  return STR ("north");
}

static struct fleet_record
make_record (void)
{
  return (struct fleet_record){ .id = STR ("a"),
                                .service = STR ("desk"),
                                .address = STR ("10.0.0.1:80"),
                                .zone = STR ("north-a"),
                                .slots = 4,
                                .incarnation = 7,
                                .write_count = 5 };
}

/* Creates a fleet of one upstream, which it returns.  */
static struct fleet_upstream *
set_up_fleet (apr_time_t drain_time)
{
  struct fleet_desc desc
      = { .find_region = find_region, .drain_time = drain_time };
  struct fleet_record record = make_record ();
  fleet = fleet_create (test_pool, &desc);
  now = TIMER_SEC (1000);
  fleet_put_upstream (fleet, &record, 50, now);
  return fleet_find (fleet, record.id);
}

static const struct fleet_group *
get_group (void)
{
  return fleet_group (fleet_service (fleet, STR ("desk")), STR ("north"));
}

/* What is learnt of the upstream, in this order, before it is used.  */
enum event
{
  NONE,
  ANSWERS,      /* a request of 300 ms ago, without the notice */
  ANSWERS_LATE, /* the same, which was sent 900 ms ago */
  SAYS_LEAVING,
  FAILS, /* a request */
  LISTED_LEAVING,
  LISTED_READY,
  RENEWED,
  REMOVED,
  LAPSED,
  RELISTED, /* with the next write of its record */
  EVACUATED,
  RESTARTED
};

static void
apply_event (enum event event, struct fleet_upstream *upstream)
{
  struct fleet_record record = make_record ();
  record.write_count = 6;
  record.leaving = event == LISTED_LEAVING;
  record.incarnation += event == RESTARTED;
  switch (event)
    {
    case NONE:
      break;
    case ANSWERS:
      fleet_mark_staying (upstream, now - TIMER_MS (300));
      break;
    case ANSWERS_LATE:
      fleet_mark_staying (upstream, now - TIMER_MS (900));
      break;
    case SAYS_LEAVING:
      fleet_mark_leaving (fleet, upstream, now);
      break;
    case FAILS:
      fleet_end_service (upstream);
      break;
    case LISTED_LEAVING:
    case LISTED_READY:
    case RELISTED:
    case RESTARTED:
      fleet_put_upstream (fleet, &record, 60, now);
      break;
    case RENEWED:
      fleet_renew_upstream (fleet, record.id, 60, now);
      break;
    case REMOVED:
    case LAPSED:
      fleet_remove_upstream (fleet, record.id, event == LAPSED, now);
      break;
    case EVACUATED:
      fleet_set_zone_evacuated (fleet, record.zone, true, 60, 0, now);
      break;
    }
}

/* An upstream is known to serve until the drain time after the latest request
   was sent that it answered without the notice, unless it must not get
   requests.  */
static void
test_serves_until (void)
{
  enum
  {
    EVENTS = 4
  };
  static const struct
  {
    const char *name;
    enum event events[EVENTS];
    int64_t serves_ms; /* from now; 0: it gets no requests */
  } cases[] = {
    { "not leaving", { ANSWERS }, 0 },
    { "no earlier response", { SAYS_LEAVING }, 0 },
    { "one", { ANSWERS, SAYS_LEAVING }, DRAIN_MS - 300 },
    { "two, out of order",
      { ANSWERS, ANSWERS_LATE, SAYS_LEAVING },
      DRAIN_MS - 300 },
    { "an early one", { ANSWERS_LATE, SAYS_LEAVING }, DRAIN_MS - 900 },
    { "a response without the notice after it",
      { ANSWERS_LATE, SAYS_LEAVING, ANSWERS, SAYS_LEAVING },
      DRAIN_MS - 900 },
    { "the first one after it", { SAYS_LEAVING, ANSWERS, SAYS_LEAVING }, 0 },
    { "a failure", { ANSWERS, SAYS_LEAVING, FAILS }, 0 },
    { "a failure and a second notice",
      { ANSWERS, SAYS_LEAVING, FAILS, SAYS_LEAVING },
      0 },
    { "a failure before it",
      { ANSWERS, FAILS, SAYS_LEAVING },
      DRAIN_MS - 300 },
    { "its record is written",
      { ANSWERS, SAYS_LEAVING, LISTED_READY },
      DRAIN_MS - 300 },
    { "its record is renewed",
      { ANSWERS, SAYS_LEAVING, RENEWED },
      DRAIN_MS - 300 },
    { "its record says so", { ANSWERS, SAYS_LEAVING, LISTED_LEAVING }, 0 },
    { "its record said so", { ANSWERS, LISTED_LEAVING, SAYS_LEAVING }, 0 },
    { "its record said so, and ready since",
      { ANSWERS, SAYS_LEAVING, LISTED_LEAVING, LISTED_READY },
      0 },
    { "the same before the notice",
      { ANSWERS, LISTED_LEAVING, SAYS_LEAVING, LISTED_READY },
      0 },
    { "its record has gone", { ANSWERS, SAYS_LEAVING, REMOVED }, 0 },
    { "its record may have expired", { ANSWERS, SAYS_LEAVING, LAPSED }, 0 },
    { "it had expired", { ANSWERS, LAPSED, SAYS_LEAVING }, 0 },
    { "it had expired, and is back",
      { ANSWERS, LAPSED, SAYS_LEAVING, RELISTED },
      0 },
    { "gone and back", { ANSWERS, SAYS_LEAVING, REMOVED, RELISTED }, 0 },
    { "its zone is evacuated", { ANSWERS, SAYS_LEAVING, EVACUATED }, 0 },
    { "another incarnation", { ANSWERS, SAYS_LEAVING, RESTARTED }, 0 },
    { "that says so too",
      { ANSWERS, SAYS_LEAVING, RESTARTED, SAYS_LEAVING },
      0 },
  };
  for (size_t i = 0; i < COUNT (cases); i++)
    {
      struct fleet_upstream *upstream
          = fleet_upstream_ref (set_up_fleet (TIMER_MS (DRAIN_MS)));
      for (int e = 0; e < EVENTS; e++)
        {
          const struct fleet_upstream *listed = fleet_find (fleet, STR ("a"));
          apply_event (cases[i].events[e],
                       cases[i].events[e] == SAYS_LEAVING && listed
                           ? fleet_find (fleet, STR ("a"))
                           : upstream);
        }
      const struct fleet_upstream *listed = fleet_find (fleet, STR ("a"));
      apr_time_t expected
          = cases[i].serves_ms ? now + TIMER_MS (cases[i].serves_ms) : 0;
      apr_time_t actual = fleet_serves_until (listed ? listed : upstream);
      CU_ASSERT_EQUAL (actual, expected);
      if (actual != expected)
        printf ("# %s: until %lld ms\n", cases[i].name,
                (long long)(actual - now) / 1000);
      CU_ASSERT_EQUAL (fleet_serves_until (upstream), expected);
      fleet_upstream_unref (upstream);
      fleet_destroy (fleet);
    }
}

/* It takes requests that are expected to end well before it does.  */
static void
test_last_requests (void)
{
  static const struct
  {
    const char *name;
    int64_t drain_ms;
    int64_t later_ms; /* after the request that it answered last was sent */
    int64_t rtt_ms;
    bool is_cached;
    bool is_open_ended;
    bool is_excluded;
    bool is_chosen;
  } cases[] = {
    { "at once", DRAIN_MS, 300, RTT_MS, true, false, false, true },
    { "no drain time", 0, 300, RTT_MS, true, false, false, false },
    { "not cached", DRAIN_MS, 300, RTT_MS, false, false, false, true },
    { "open-ended", DRAIN_MS, 300, RTT_MS, true, true, false, false },
    { "sent there before", DRAIN_MS, 300, RTT_MS, true, false, true, false },
    { "late, cached", DRAIN_MS, DRAIN_MS - 250, RTT_MS, true, false, false,
      true },
    { "late, not cached", DRAIN_MS, DRAIN_MS - 250, RTT_MS, false, false,
      false, false },
    { "late and far away", DRAIN_MS, DRAIN_MS - 250, 100, true, false, false,
      false },
    { "less than twice the time left", DRAIN_MS, DRAIN_MS - 200, RTT_MS, true,
      false, false, false },
    { "over", DRAIN_MS, DRAIN_MS, RTT_MS, true, false, false, false },
    { "long over", DRAIN_MS, DRAIN_MS + 60000, RTT_MS, true, false, false,
      false },
  };
  static const struct balance_service_time service_time
      = { TIMER_MS (CACHED_MS), TIMER_MS (UNCACHED_MS) };
  for (size_t i = 0; i < COUNT (cases); i++)
    {
      struct fleet_upstream *upstream
          = set_up_fleet (TIMER_MS (cases[i].drain_ms));
      fleet_mark_staying (upstream, now);
      now += TIMER_MS (cases[i].later_ms);
      fleet_mark_leaving (fleet, upstream, now);
      struct balance_request request
          = { .group = get_group (),
              .affinity = fleet_affinity (fleet),
              .object = OBJECT,
              .recurs = cases[i].is_cached,
              .service_time = &service_time,
              .rtt = TIMER_MS (cases[i].rtt_ms),
              .max_in_flight = 100,
              .is_open_ended = cases[i].is_open_ended,
              .now = now,
              .excluded = { upstream->hash },
              .excluded_count = cases[i].is_excluded };
      bool is_chosen = balance_choose_upstream (&request).upstream != NULL;
      CU_ASSERT_EQUAL (is_chosen, cases[i].is_chosen);
      if (is_chosen != cases[i].is_chosen)
        printf ("# %s\n", cases[i].name);
      CU_ASSERT_FALSE (fleet_is_eligible (upstream));
      fleet_destroy (fleet);
    }
}

const struct unit_test leaving_tests[]
    = { { "one that says so serves for the drain time", test_serves_until },
        { "one that says so takes requests that end in time",
          test_last_requests },
        { NULL, NULL } };
