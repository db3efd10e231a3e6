/* Burn rates of objectives.  Guards against a rate that counts calls outside
   its window, or depends on the number of entries.  */
#include "base/timer.h"
#include "burn/burn.h"
#include "tests/unit/fixture.h"
#include "tests/unit/unit.h"

#include <string.h>

/* Returns the burn rate of the window WINDOW_S in REPORT; -1: none.  */
static double
find_burn_rate (json_object *report, int64_t window_s)
{
  for (size_t i = 0; i < json_object_array_length (report); i++)
    {
      json_object *row = json_object_array_get_idx (report, i);
      json_object *window, *rate;
      json_object_object_get_ex (row, "window_s", &window);
      json_object_object_get_ex (row, "burn_rate", &rate);
      if (json_object_get_int64 (window) == window_s)
        return json_object_get_double (rate);
    }
  return -1;
}

/* The objective allows 1 bad call in 1000, so 10 bad calls of 1000 in the last
   five minutes are a burn rate of 10.  The 1000 good calls of half an hour
   before count in longer windows only; in this one they would halve the rate.
   Merging the counts of a second entry with the same calls leaves the rate as
   it is.  */
static void
test_burn_rates (void)
{
  struct burn_tracker *tracker = burn_create (test_pool);
  struct snapshot *snapshot = fixture_shop (1, 1, "");
  apr_time_t now = TIMER_SEC (100000);
  for (int i = 0; i < 1000; i++)
    burn_record (tracker, STR ("shop"), STR ("north"), BURN_GOOD,
                 now - TIMER_SEC (1800));
  for (int i = 0; i < 1000; i++)
    burn_record (tracker, STR ("shop"), STR ("north"),
                 i < 10 ? BURN_SLOW : BURN_GOOD, now);
  json_object *counts = burn_counts (tracker, now);
  json_object *total = json_object_new_array ();
  burn_merge (total, counts);
  json_object *report = burn_report (total, snapshot);
  CU_ASSERT_DOUBLE_EQUAL (find_burn_rate (report, 300), 10.0, 0.01);
  CU_ASSERT_DOUBLE_EQUAL (find_burn_rate (report, 3600), 5.0, 0.01);
  json_object_put (report);
  burn_merge (total, counts);
  report = burn_report (total, snapshot);
  CU_ASSERT_DOUBLE_EQUAL (find_burn_rate (report, 300), 10.0, 0.01);
  json_object_put (report);
  json_object_put (total);
  json_object_put (counts);
  snapshot_unref (snapshot);
}

const struct unit_test burn_tests[]
    = { { "a burn rate counts only the calls of its window", test_burn_rates },
        { NULL, NULL } };
