/* The list of upstreams: lives, leaving, lapses, evacuation, coldness.  */
#include "base/timer.h"
#include "fleet/fleet.h"
#include "fleet/outage.h"
#include "tests/unit/unit.h"

#include <string.h>

static struct fleet *fleet;
static apr_time_t now;

static struct str
region_of (void *part, struct str zone)
{
  (void)part;
  return str_starts_with (zone, STR ("north")) ? STR ("north") : STR ("");
}

static void
open_fleet (void)
{
  struct fleet_desc desc = { .find_region = region_of };
  fleet = fleet_create (test_pool, &desc);
  now = TIMER_SEC (1000);
}

static struct fleet_record
record (const char *id)
{
  return (struct fleet_record){ .id = str_from (id),
                                .service = STR ("desk"),
                                .address = STR ("10.0.0.1:80"),
                                .zone = STR ("north-a"),
                                .slots = 4,
                                .incarnation = 1 };
}

static struct fleet_upstream *
only (void)
{
  const struct fleet_service *service = fleet_service (fleet, STR ("desk"));
  return service && service->count == 1 ? service->upstreams[0] : NULL;
}

static void
test_lives (void)
{
  open_fleet ();
  struct fleet_record r = record ("a");
  CU_ASSERT (fleet_put_upstream (fleet, &r, 1, now));
  struct fleet_upstream *first = fleet_upstream_ref (only ());
  r.leaving = true;
  fleet_put_upstream (fleet, &r, 2, now);
  CU_ASSERT_PTR_EQUAL (only (), first);
  CU_ASSERT_FALSE (fleet_is_eligible (fleet, first));
  r.leaving = false;
  r.incarnation = 2;
  fleet_put_upstream (fleet, &r, 3, now);
  CU_ASSERT_PTR_NOT_EQUAL (only (), first);
  CU_ASSERT (first->removed);
  CU_ASSERT_FALSE (fleet_is_eligible (fleet, first));
  CU_ASSERT (fleet_is_eligible (fleet, only ()));
  fleet_upstream_unref (first);
  r.zone = STR ("nowhere");
  CU_ASSERT_FALSE (fleet_put_upstream (fleet, &r, 4, now));
  fleet_destroy (fleet);
}

static void
test_lapse (void)
{
  open_fleet ();
  struct fleet_record r = record ("a");
  fleet_put_upstream (fleet, &r, 1, now);
  fleet_remove_upstream (fleet, r.id, true, now);
  CU_ASSERT (fleet_is_eligible (fleet, only ()));
  fleet_remove_expired (fleet, now + TIMER_MS (1900));
  CU_ASSERT_PTR_NOT_NULL (only ());
  fleet_remove_expired (fleet, now + TIMER_MS (2100));
  CU_ASSERT_PTR_NULL (only ());
  fleet_put_upstream (fleet, &r, 2, now);
  fleet_remove_upstream (fleet, r.id, false, now);
  CU_ASSERT_PTR_NULL (only ());
  /* One that was leaving does not lapse.  */
  r.leaving = true;
  fleet_put_upstream (fleet, &r, 3, now);
  fleet_remove_upstream (fleet, r.id, true, now);
  CU_ASSERT_PTR_NULL (only ());
  fleet_destroy (fleet);
}

static void
test_listing (void)
{
  open_fleet ();
  struct fleet_record a = record ("a");
  struct fleet_record b = record ("b");
  fleet_put_upstream (fleet, &a, 1, now);
  fleet_put_upstream (fleet, &b, 2, now);
  fleet_begin_listing (fleet);
  fleet_put_upstream (fleet, &b, 2, now);
  fleet_end_listing (fleet, false, now);
  CU_ASSERT_EQUAL (fleet_upstream_count (fleet), 1);
  CU_ASSERT (str_equal (only ()->id, STR ("b")));
  fleet_destroy (fleet);
}

static void
test_evacuation (void)
{
  open_fleet ();
  struct fleet_record r = record ("a");
  fleet_put_upstream (fleet, &r, 1, now);
  fleet_set_zone_evacuated (fleet, r.zone, true, 2, 0, now);
  CU_ASSERT_FALSE (fleet_is_eligible (fleet, only ()));
  fleet_set_zone_evacuated (fleet, r.zone, false, 5, TIMER_SEC (3), now);
  CU_ASSERT (fleet_is_eligible (fleet, only ()));
  CU_ASSERT (only ()->cold_until > now);
  /* A record from before says nothing of the time after.  */
  fleet_put_upstream (fleet, &r, 4, now);
  CU_ASSERT (only ()->cold_until > now);
  fleet_put_upstream (fleet, &r, 6, now);
  CU_ASSERT_EQUAL (only ()->cold_until, 0);
  fleet_mark_cold (fleet, only (), TIMER_SEC (3), now);
  CU_ASSERT (only ()->cold_until > now);
  fleet_destroy (fleet);
}

/* What vanished 2.2 s after an outage was removed: it had not lapsed (an
   upstream that left got a request 2,519 ms later).  */
static void
test_outage (void)
{
  static const struct
  {
    int64_t since_failure_ms;
    bool in_doubt;
  } cases[] = { { 0, true }, { 300, true }, { 1100, true }, { 2200, false } };
  struct outage outage = { 0 };
  CU_ASSERT_FALSE (outage_is_recent (&outage, TIMER_SEC (1000)));
  outage_record_failure (&outage, TIMER_SEC (1000));
  outage_record_response (&outage, TIMER_SEC (1000));
  for (size_t i = 0; i < COUNT (cases); i++)
    CU_ASSERT_EQUAL (
        outage_is_recent (&outage, TIMER_SEC (1000)
                                       + TIMER_MS (cases[i].since_failure_ms)),
        cases[i].in_doubt);
}

const struct unit_test fleet_tests[]
    = { { "a restart is a new upstream", test_lives },
        { "a lapsed entry is used until its hold ends", test_lapse },
        { "a listing removes what it does not name", test_listing },
        { "an evacuated zone gets nothing and comes back cold",
          test_evacuation },
        { "what vanishes long after an outage was removed", test_outage },
        { NULL, NULL } };
