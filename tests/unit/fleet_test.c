/* The upstreams: incarnations, leaving, expiry of records, evacuated zones and
   cold starts.  Guards against requests to upstreams that have left or are
   evacuated, and upstreams that are lost because of a fault of the store.  */
#include "base/timer.h"
#include "fleet/fleet.h"
#include "fleet/outage.h"
#include "fleet/unreachable.h"
#include "tests/unit/unit.h"

#include <stdio.h>
#include <string.h>

static struct fleet *fleet;
static apr_time_t now;

static struct str
find_region (void *user_data, struct str zone)
{
  (void)user_data;
  return str_starts_with (zone, STR ("north")) ? STR ("north") : STR ("");
}

static void
set_up_fleet (void)
{
  struct fleet_desc desc = { .find_region = find_region };
  fleet = fleet_create (test_pool, &desc);
  now = TIMER_SEC (1000);
}

static struct fleet_record
make_record (const char *id)
{
  return (struct fleet_record){ .id = str_from (id),
                                .service = STR ("desk"),
                                .address = STR ("10.0.0.1:80"),
                                .zone = STR ("north-a"),
                                .slots = 4,
                                .incarnation = 1 };
}

/* Returns the service's upstream if it has exactly one, else NULL.  */
static struct fleet_upstream *
get_only_upstream (void)
{
  const struct fleet_group *group
      = fleet_group (fleet_service (fleet, STR ("desk")), STR ("north"));
  return group && group->count == 1 ? group->members[0].upstream : NULL;
}

/* A restart under the same id replaces the upstream; a change to leaving does
   not.  */
static void
test_incarnations (void)
{
  set_up_fleet ();
  struct fleet_record r = make_record ("a");
  CU_ASSERT (fleet_put_upstream (fleet, &r, 1, now));
  struct fleet_upstream *first = fleet_upstream_ref (get_only_upstream ());
  r.leaving = true;
  fleet_put_upstream (fleet, &r, 2, now);
  CU_ASSERT_PTR_EQUAL (get_only_upstream (), first);
  CU_ASSERT_FALSE (fleet_is_eligible (first));
  r.leaving = false;
  r.incarnation = 2;
  fleet_put_upstream (fleet, &r, 3, now);
  CU_ASSERT_PTR_NOT_EQUAL (get_only_upstream (), first);
  CU_ASSERT (first->removed);
  CU_ASSERT_FALSE (fleet_is_eligible (first));
  CU_ASSERT (fleet_is_eligible (get_only_upstream ()));
  fleet_upstream_unref (first);
  r.zone = STR ("nowhere");
  CU_ASSERT_FALSE (fleet_put_upstream (fleet, &r, 4, now));
  fleet_destroy (fleet);
}

/* A record that vanishes because its lease may have expired is used for 2 s
   more; one that was removed is not.  */
static void
test_expiry (void)
{
  set_up_fleet ();
  struct fleet_record r = make_record ("a");
  fleet_put_upstream (fleet, &r, 1, now);
  fleet_remove_upstream (fleet, r.id, true, now);
  CU_ASSERT (fleet_is_eligible (get_only_upstream ()));
  fleet_remove_expired (fleet, now + TIMER_MS (1900));
  CU_ASSERT_PTR_NOT_NULL (get_only_upstream ());
  fleet_remove_expired (fleet, now + TIMER_MS (2100));
  CU_ASSERT_PTR_NULL (get_only_upstream ());
  fleet_put_upstream (fleet, &r, 2, now);
  fleet_remove_upstream (fleet, r.id, false, now);
  CU_ASSERT_PTR_NULL (get_only_upstream ());
  /* One that was leaving is removed in any case.  */
  r.leaving = true;
  fleet_put_upstream (fleet, &r, 3, now);
  fleet_remove_upstream (fleet, r.id, true, now);
  CU_ASSERT_PTR_NULL (get_only_upstream ());
  fleet_destroy (fleet);
}

/* An upstream that is known to have left is removed within the grace period,
   and one that is listed is not, whatever is thought of it.  */
static void
test_left_in_lapse (void)
{
  static const struct
  {
    const char *name;
    bool vanished;
    bool written_again;
    bool restored; /* listed by a store that came back from an older copy */
    bool is_eligible;
  } cases[] = { { "listed", false, false, false, true },
                { "vanished", true, false, false, false },
                { "vanished and written again", true, true, false, true },
                { "vanished and restored", true, false, true, false } };
  for (size_t i = 0; i < COUNT (cases); i++)
    {
      set_up_fleet ();
      struct fleet_record r = make_record ("a");
      r.incarnation = 7;
      fleet_put_upstream (fleet, &r, 1, now);
      struct fleet_upstream *upstream
          = fleet_upstream_ref (fleet_find (fleet, r.id));
      if (cases[i].vanished)
        fleet_remove_upstream (fleet, r.id, true, now);
      CU_ASSERT_EQUAL (fleet_lapsed_count (fleet), cases[i].vanished);
      if (cases[i].written_again)
        fleet_put_upstream (fleet, &r, 2, now);
      CU_ASSERT_EQUAL (fleet_end_lapse (fleet, upstream, now),
                       !cases[i].is_eligible);
      CU_ASSERT_EQUAL (fleet_lapsed_count (fleet), 0);
      if (cases[i].restored)
        {
          fleet_begin_restore (fleet);
          fleet_put_upstream (fleet, &r, 3, now);
          fleet_end_restore (fleet);
        }
      fleet_remove_expired (fleet, now + TIMER_MS (2100));
      const struct fleet_upstream *listed = fleet_find (fleet, r.id);
      bool is_eligible = listed && fleet_is_eligible (listed);
      CU_ASSERT_EQUAL (is_eligible, cases[i].is_eligible);
      if (is_eligible != cases[i].is_eligible)
        printf ("# %s\n", cases[i].name);
      CU_ASSERT_FALSE (fleet_end_lapse (fleet, upstream, now));
      fleet_upstream_unref (upstream);
      fleet_destroy (fleet);
    }
}

/* What was sent to an id within the last second counts for its next process,
   which may have got it, also if the last one's record was removed before the
   next one's came.  Otherwise a cold process gets the double.  */
static void
test_sends_to_next_process (void)
{
  static const struct
  {
    const char *name;
    const char *id; /* of the next process */
    bool is_removed_first;
    int64_t after_ms; /* from the requests to the next process's record */
    int64_t sends;    /* in the second before that */
  } cases[] = { { "replaced", "a", false, 300, 3 },
                { "removed", "a", true, 300, 3 },
                { "removed, almost a second ago", "a", true, 990, 3 },
                { "removed, over a second ago", "a", true, 1010, 0 },
                { "another upstream", "b", true, 300, 0 } };
  for (size_t i = 0; i < COUNT (cases); i++)
    {
      set_up_fleet ();
      struct fleet_record r = make_record ("a");
      r.incarnation = 7;
      fleet_put_upstream (fleet, &r, 1, now);
      for (int n = 0; n < 3; n++)
        load_begin_request (&get_only_upstream ()->load, now);
      if (cases[i].is_removed_first)
        fleet_remove_upstream (fleet, r.id, false, now);
      apr_time_t then = now + TIMER_MS (cases[i].after_ms);
      fleet_remove_expired (fleet, then);
      r = make_record (cases[i].id);
      r.incarnation = 8;
      fleet_put_upstream (fleet, &r, 2, then);
      int64_t sends = load_sends_since (&get_only_upstream ()->load,
                                        then - TIMER_SEC (1));
      CU_ASSERT_EQUAL (sends, cases[i].sends);
      if (sends != cases[i].sends)
        printf ("# %s\n", cases[i].name);
      fleet_destroy (fleet);
    }
}

/* A record that is only written again keeps its upstream listed; one that is
   not known has to be put.  */
static void
test_renewal (void)
{
  set_up_fleet ();
  struct fleet_record r = make_record ("a");
  CU_ASSERT_FALSE (fleet_renew_upstream (fleet, r.id, 1, now));
  fleet_put_upstream (fleet, &r, 1, now);
  fleet_remove_upstream (fleet, r.id, true, now);
  CU_ASSERT (fleet_renew_upstream (fleet, r.id, 2, now));
  CU_ASSERT_FALSE (fleet_is_cold (get_only_upstream (), now));
  fleet_remove_expired (fleet, now + TIMER_SEC (9));
  CU_ASSERT_PTR_NOT_NULL (get_only_upstream ());
  /* One whose record says that it is cold stays so.  */
  r.cold_remaining = TIMER_SEC (2);
  fleet_put_upstream (fleet, &r, 3, now);
  CU_ASSERT (fleet_renew_upstream (fleet, r.id, 4, now));
  CU_ASSERT (get_only_upstream ()->cold_until > now);
  fleet_destroy (fleet);
}

/* Upstreams of an evacuated zone get no requests.  After the evacuation they
   are cold, and would be slow with as many requests as before.  */
static void
test_evacuation (void)
{
  set_up_fleet ();
  struct fleet_record r = make_record ("a");
  fleet_put_upstream (fleet, &r, 1, now);
  fleet_set_zone_evacuated (fleet, r.zone, true, 2, 0, now);
  CU_ASSERT_FALSE (fleet_is_eligible (get_only_upstream ()));
  fleet_set_zone_evacuated (fleet, r.zone, false, 5, TIMER_SEC (3), now);
  CU_ASSERT (fleet_is_eligible (get_only_upstream ()));
  CU_ASSERT (get_only_upstream ()->cold_until > now);
  /* A record written before the end of the evacuation does not end the cold
     start, a later one does.  */
  fleet_put_upstream (fleet, &r, 4, now);
  CU_ASSERT (get_only_upstream ()->cold_until > now);
  fleet_put_upstream (fleet, &r, 6, now);
  CU_ASSERT_EQUAL (get_only_upstream ()->cold_until, 0);
  CU_ASSERT_FALSE (fleet_is_cold (get_only_upstream (), now));
  fleet_destroy (fleet);
}

/* A record that vanishes 2.2 s after an outage was removed and did not expire.
   If it counts as expired, its upstream gets requests after it has left: one
   got a request 2,519 ms later.  */
static void
test_outage (void)
{
  static const struct
  {
    int64_t since_failure_ms;
    bool is_recent;
  } cases[] = { { 0, true }, { 300, true }, { 1100, true }, { 2200, false } };
  struct outage outage = { 0 };
  CU_ASSERT_FALSE (outage_is_recent (&outage, TIMER_SEC (1000)));
  outage_record_failure (&outage, TIMER_SEC (1000));
  outage_record_response (&outage, TIMER_SEC (1000));
  for (size_t i = 0; i < COUNT (cases); i++)
    CU_ASSERT_EQUAL (
        outage_is_recent (&outage, TIMER_SEC (1000)
                                       + TIMER_MS (cases[i].since_failure_ms)),
        cases[i].is_recent);
}

/* Which reports of entries make others avoid an upstream, and for how long.
   Without them each of hundreds of entries would lose requests to find out. */
static void
test_unreachable (void)
{
  static const struct
  {
    const char *name;
    struct
    {
      int64_t at_ms;
      uint64_t reporter;
      bool is_certain;
    } reports[6];
    int count;
    int64_t listed_ms; /* after the last report, for how long; 0: not at all */
  } cases[] = {
    { "one silence", { { 0, 1, false } }, 1, 1000 },
    { "one entry twice", { { 0, 1, false }, { 500, 1, false } }, 2, 500 },
    { "two entries, long apart",
      { { 0, 1, false }, { 2500, 2, false } },
      2,
      1000 },
    { "refused", { { 0, 1, true } }, 1, 1000 },
    { "while it is listed", { { 0, 1, true }, { 400, 2, true } }, 2, 600 },
    { "again soon after", { { 0, 1, true }, { 1100, 1, false } }, 2, 2000 },
    { "again and again",
      { { 0, 1, true },
        { 1100, 1, true },
        { 3200, 1, true },
        { 7300, 1, true } },
      4,
      4000 },
    { "again long after", { { 0, 1, true }, { 9000, 1, true } }, 2, 1000 },
  };
  for (size_t c = 0; c < COUNT (cases); c++)
    {
      struct unreachable *list = unreachable_create (test_pool);
      struct unreachable_warning warning;
      apr_time_t at = 0;
      for (int i = 0; i < cases[c].count; i++)
        {
          at = TIMER_SEC (1000) + TIMER_MS (cases[c].reports[i].at_ms);
          struct unreachable_report report
              = { STR ("i-1"), 7, cases[c].reports[i].reporter,
                  cases[c].reports[i].is_certain };
          unreachable_report (list, &report, at);
        }
      size_t count = unreachable_query (list, at, &warning, 1);
      CU_ASSERT_EQUAL (count, cases[c].listed_ms > 0 ? 1 : 0);
      if (count > 0)
        CU_ASSERT_EQUAL (warning.left, TIMER_MS (cases[c].listed_ms));
      if (count != (cases[c].listed_ms > 0 ? 1U : 0U)
          || (count > 0 && warning.left != TIMER_MS (cases[c].listed_ms)))
        printf ("# %s\n", cases[c].name);
      CU_ASSERT_EQUAL (unreachable_query (list,
                                          at + TIMER_MS (cases[c].listed_ms),
                                          &warning, 1),
                       0);
    }
}

/* An entry that is cut off finds all upstreams silent.  Only eight of them are
   avoided by others at its word, and the rest if another entry finds them
   silent too.  */
static void
test_cut_off_reporter (void)
{
  struct unreachable_warning warnings[64];
  struct unreachable *list = unreachable_create (test_pool);
  apr_time_t at = TIMER_SEC (1000);
  for (int i = 0; i < 40; i++)
    {
      struct unreachable_report report
          = { str_printf (test_pool, "i-%d", i), 1, 5, false };
      unreachable_report (list, &report, at);
    }
  CU_ASSERT_EQUAL (unreachable_query (list, at, warnings, 64), 8);
  struct unreachable_report second = { STR ("i-30"), 1, 6, false };
  unreachable_report (list, &second, at + TIMER_MS (100));
  CU_ASSERT_EQUAL (unreachable_query (list, at + TIMER_MS (100), warnings, 64),
                   9);
}

/* The list is bounded, ids that are too long are left out, and another
   incarnation under the same id is not avoided.  */
static void
test_unreachable_bounds (void)
{
  static struct unreachable_warning warnings[UNREACHABLE_MAX + 1];
  struct unreachable *list = unreachable_create (test_pool);
  char longest[100];
  memset (longest, 'i', sizeof longest);
  struct unreachable_report report
      = { str_view (longest, sizeof longest), 1, 1, true };
  unreachable_report (list, &report, TIMER_SEC (1));
  for (int i = 0; i < 2 * UNREACHABLE_MAX; i++)
    {
      report.id = str_printf (test_pool, "i-%d", i);
      unreachable_report (list, &report, TIMER_SEC (1));
    }
  CU_ASSERT_EQUAL (
      unreachable_query (list, TIMER_SEC (1), warnings, UNREACHABLE_MAX + 1),
      UNREACHABLE_MAX);
  CU_ASSERT_EQUAL (warnings[0].incarnation, 1);
  set_up_fleet ();
  struct fleet_record r = make_record ("i-1");
  fleet_put_upstream (fleet, &r, 1, now);
  struct load *load = &fleet_find (fleet, STR ("i-1"))->load;
  CU_ASSERT_PTR_NULL (fleet_find (fleet, STR ("i-2")));
  CU_ASSERT (load_avoid (load, now + 100, now));
  CU_ASSERT_EQUAL (load->avoid_until, now + 100);
  /* One that answers this entry is used, whatever others found.  */
  load_begin_request (load, now);
  load_end_request (load, LOAD_ANSWERED, 100, 100, now);
  CU_ASSERT_FALSE (load_avoid (load, now + 200, now + 100));
  CU_ASSERT_EQUAL (load->avoid_until, 0);
  CU_ASSERT (load_avoid (load, now + TIMER_SEC (3), now + TIMER_SEC (2)));
  fleet_destroy (fleet);
}

/* A restored store's older record doesn't undo what is known.  */
static void
test_restored_records (void)
{
  static const struct
  {
    const char *name;
    bool leaving;        /* in the record known before, with count 5 */
    bool removed;        /* after that record */
    bool expired;        /* after that record, perhaps */
    int64_t incarnation; /* of the restored record, which says ready */
    int64_t write_count;
    bool is_eligible; /* after the listing */
    bool after_write; /* after the record is written again */
    bool after_hold;  /* if it isn't, but stays listed for 9 s */
  } cases[] = {
    { "older", false, false, false, 7, 4, true, true, true },
    { "leaving, older", true, false, false, 7, 4, false, true, false },
    { "leaving, restarted", true, false, false, 8, 1, true, true, true },
    { "leaving, earlier incarnation", true, false, false, 6, 9, false, false,
      false },
    { "expired, older", false, false, true, 7, 4, true, true, true },
    { "removed", false, true, false, 7, 4, false, true, true },
    { "removed, renewed since", false, true, false, 7, 6, false, true, true },
    { "removed, restarted", false, true, false, 8, 1, true, true, true },
    { "removed, earlier incarnation", false, true, false, 6, 9, false, true,
      false },
  };
  for (size_t i = 0; i < COUNT (cases); i++)
    for (int written = 0; written < 2; written++)
      {
        set_up_fleet ();
        struct fleet_record r = make_record ("a");
        r.incarnation = 7;
        r.write_count = 5;
        r.leaving = cases[i].leaving;
        fleet_put_upstream (fleet, &r, 50, now);
        if (cases[i].removed || cases[i].expired)
          fleet_remove_upstream (fleet, r.id, cases[i].expired, now);
        fleet_begin_restore (fleet);
        r.leaving = false;
        r.incarnation = cases[i].incarnation;
        r.write_count = cases[i].write_count;
        fleet_put_upstream (fleet, &r, 51, now);
        fleet_end_restore (fleet);
        const struct fleet_upstream *upstream = get_only_upstream ();
        bool before = upstream && fleet_is_eligible (upstream);
        if (written)
          {
            r.write_count += 3;
            if (!fleet_renew_upstream (fleet, r.id, 52, now))
              fleet_put_upstream (fleet, &r, 52, now);
          }
        else
          {
            now += TIMER_SEC (9);
            fleet_remove_expired (fleet, now);
          }
        upstream = get_only_upstream ();
        bool after = upstream && fleet_is_eligible (upstream);
        bool expected = written ? cases[i].after_write : cases[i].after_hold;
        CU_ASSERT_EQUAL (before, cases[i].is_eligible);
        CU_ASSERT_EQUAL (after, expected);
        if (before != cases[i].is_eligible || after != expected)
          printf ("# %s, written %d: %d then %d\n", cases[i].name, written,
                  before, after);
        fleet_destroy (fleet);
      }
}

/* A second restore doesn't bring back an upstream that left before the
   first.  */
static void
test_restored_twice (void)
{
  static const struct
  {
    const char *name;
    bool lapsed;             /* its record expired and was not written again */
    int64_t write_counts[2]; /* in each copy; 0: not listed */
    int64_t incarnation;     /* in the second copy */
    bool is_eligible;        /* after the second listing, and 4 s later */
  } cases[] = { { "the same copy", false, { 3, 3 }, 7, false },
                { "a later copy", false, { 3, 5 }, 7, false },
                { "an earlier copy", false, { 5, 3 }, 7, false },
                { "in the second only", false, { 0, 5 }, 7, false },
                { "restarted", false, { 3, 1 }, 8, true },
                { "lapsed", true, { 5, 5 }, 7, false } };
  for (size_t i = 0; i < COUNT (cases); i++)
    {
      set_up_fleet ();
      struct fleet_record r = make_record ("a");
      r.incarnation = 7;
      r.write_count = 5;
      int64_t revision = 50;
      fleet_put_upstream (fleet, &r, revision, now);
      fleet_remove_upstream (fleet, r.id, cases[i].lapsed, now);
      now += TIMER_SEC (3);
      fleet_remove_expired (fleet, now);
      for (int n = 0; n < 2; n++)
        {
          fleet_begin_restore (fleet);
          r.write_count = cases[i].write_counts[n];
          r.incarnation = n == 1 ? cases[i].incarnation : 7;
          if (r.write_count > 0)
            fleet_put_upstream (fleet, &r, ++revision, now);
          fleet_end_restore (fleet);
          now += TIMER_SEC (4);
          fleet_remove_expired (fleet, now);
          const struct fleet_upstream *upstream = get_only_upstream ();
          bool is_eligible = upstream && fleet_is_eligible (upstream);
          bool expected = n == 1 && cases[i].is_eligible;
          CU_ASSERT_EQUAL (is_eligible, expected);
          if (is_eligible != expected)
            printf ("# %s, copy %d\n", cases[i].name, n);
        }
      /* It lives after all.  */
      r.write_count = 6;
      fleet_put_upstream (fleet, &r, ++revision, now);
      CU_ASSERT (fleet_is_eligible (get_only_upstream ()));
      fleet_destroy (fleet);
    }
}

/* An upstream whose lapsed key was not written again has left as well: a
   restored store that lists it doesn't bring it back.  */
static void
test_restored_after_lapse (void)
{
  static const struct
  {
    const char *name;
    int64_t incarnation; /* of the restored record */
    bool is_eligible;
  } cases[] = { { "earlier incarnation", 6, false },
                { "the same incarnation", 7, false },
                { "restarted", 8, true } };
  for (size_t i = 0; i < COUNT (cases); i++)
    {
      set_up_fleet ();
      struct fleet_record r = make_record ("a");
      r.incarnation = 7;
      fleet_put_upstream (fleet, &r, 50, now);
      fleet_remove_upstream (fleet, r.id, true, now);
      now += TIMER_SEC (3);
      fleet_remove_expired (fleet, now);
      CU_ASSERT_PTR_NULL (get_only_upstream ());
      fleet_begin_restore (fleet);
      r.incarnation = cases[i].incarnation;
      fleet_put_upstream (fleet, &r, 51, now);
      fleet_end_restore (fleet);
      const struct fleet_upstream *upstream = get_only_upstream ();
      bool is_eligible = upstream && fleet_is_eligible (upstream);
      CU_ASSERT_EQUAL (is_eligible, cases[i].is_eligible);
      if (is_eligible != cases[i].is_eligible)
        printf ("# %s\n", cases[i].name);
      fleet_destroy (fleet);
    }
}

/* While nothing is heard of the store, no period runs: leases may pause.  */
static void
test_postponed_expiry (void)
{
  set_up_fleet ();
  struct fleet_record r = make_record ("a");
  r.incarnation = 7;
  fleet_put_upstream (fleet, &r, 50, now);
  fleet_remove_upstream (fleet, r.id, false, now);
  fleet_begin_restore (fleet);
  fleet_put_upstream (fleet, &r, 51, now);
  fleet_end_restore (fleet);
  fleet_postpone_expiry (fleet, TIMER_SEC (5));
  now += TIMER_SEC (12);
  fleet_remove_expired (fleet, now);
  CU_ASSERT_FALSE (fleet_is_eligible (get_only_upstream ()));
  now += TIMER_SEC (2);
  fleet_remove_expired (fleet, now);
  CU_ASSERT (fleet_is_eligible (get_only_upstream ()));
  fleet_remove_upstream (fleet, r.id, true, now);
  fleet_postpone_expiry (fleet, TIMER_SEC (5));
  now += TIMER_SEC (6);
  fleet_remove_expired (fleet, now);
  CU_ASSERT_PTR_NOT_NULL (get_only_upstream ());
  now += TIMER_SEC (2);
  fleet_remove_expired (fleet, now);
  CU_ASSERT_PTR_NULL (get_only_upstream ());
  fleet_destroy (fleet);
}

/* The evacuation of a zone that a restored store lacks stays in force until it
   is written again, or the operator had time to.  */
static void
test_restored_evacuation (void)
{
  static const struct
  {
    bool listed;  /* in the restored store */
    bool written; /* again, a second later */
    bool in_force_3s;
    bool in_force_5s;
  } cases[] = { { true, false, true, true },
                { false, false, true, false },
                { false, true, true, true } };
  for (size_t i = 0; i < COUNT (cases); i++)
    {
      set_up_fleet ();
      struct fleet_record r = make_record ("a");
      fleet_put_upstream (fleet, &r, 1, now);
      fleet_set_zone_evacuated (fleet, r.zone, true, 2, 0, now);
      fleet_begin_restore (fleet);
      fleet_put_upstream (fleet, &r, 3, now);
      fleet_set_zone_evacuated (fleet, r.zone, cases[i].listed, 4, 0, now);
      fleet_end_restore (fleet);
      if (cases[i].written)
        fleet_set_zone_evacuated (fleet, r.zone, true, 5, 0,
                                  now + TIMER_SEC (1));
      fleet_remove_expired (fleet, now + TIMER_SEC (3));
      CU_ASSERT_EQUAL (fleet_is_zone_evacuated (fleet, r.zone),
                       cases[i].in_force_3s);
      fleet_remove_expired (fleet, now + TIMER_SEC (5));
      CU_ASSERT_EQUAL (fleet_is_zone_evacuated (fleet, r.zone),
                       cases[i].in_force_5s);
      CU_ASSERT_EQUAL (fleet_is_eligible (get_only_upstream ()),
                       !cases[i].in_force_5s);
      fleet_destroy (fleet);
    }
}

/* What happens to an upstream after it has said something in a response.  */
enum step
{
  NOTHING,
  WRITTEN, /* its record is written again and says ready */
  RENEWED, /* the same without a change of its content */
  OLDER,   /* a restored store has an older record, which says ready */
  EXPIRED_AND_BACK, /* within the grace period */
  LAPSED_AND_BACK,  /* after the grace period */
  REMOVED_AND_BACK,
  REMOVED_AND_RESTORED, /* listed by a restored store, and held back no more */
  REMOVED_LONG_AND_BACK, /* after more than a minute */
  MOVED,                 /* the same incarnation has another address */
  RESTARTED,             /* the same id has another incarnation */
  SUCCEEDED              /* another id has the address */
};

/* Applies STEP to the upstream of RECORD and returns the one that has its
   address afterwards; NULL: none.  */
static struct fleet_upstream *
apply_step (enum step step, struct fleet_record *record)
{
  bool may_be_expired = step == EXPIRED_AND_BACK || step == LAPSED_AND_BACK;
  if (step == RENEWED)
    fleet_renew_upstream (fleet, record->id, 60, now);
  if (step == OLDER || step == REMOVED_AND_RESTORED)
    fleet_begin_restore (fleet);
  if (may_be_expired || step == REMOVED_AND_BACK
      || step == REMOVED_AND_RESTORED || step == REMOVED_LONG_AND_BACK
      || step == SUCCEEDED)
    fleet_remove_upstream (fleet, record->id, may_be_expired, now);
  if (step == LAPSED_AND_BACK)
    now += TIMER_SEC (3);
  if (step == REMOVED_LONG_AND_BACK)
    now += TIMER_SEC (61);
  fleet_remove_expired (fleet, now);
  record->write_count += step == OLDER ? -1 : 1;
  if (step == MOVED)
    record->address = STR ("10.0.0.2:80");
  if (step == RESTARTED)
    record->incarnation++;
  if (step == SUCCEEDED)
    record->id = STR ("b");
  if (step != NOTHING && step != RENEWED)
    fleet_put_upstream (fleet, record, 61, now);
  fleet_end_restore (fleet);
  if (step == REMOVED_AND_RESTORED)
    {
      now += TIMER_SEC (9);
      fleet_remove_expired (fleet, now);
    }
  return get_only_upstream ();
}

/* An upstream that said in a response that it is leaving, or for how long it
   wants no requests, is believed whatever the store lists of that incarnation;
   another one is used at once.  A wait of 20 s was stated.  */
static void
test_said (void)
{
  static const struct
  {
    enum step step;
    bool has_incarnation; /* its record states one */
    bool is_leaving;      /* afterwards, after it said so */
    bool is_turned_away;  /* the same after it stated a wait */
  } cases[] = { { NOTHING, true, true, true },
                { WRITTEN, true, true, true },
                { WRITTEN, false, true, true },
                { RENEWED, true, true, true },
                { OLDER, true, true, true },
                { EXPIRED_AND_BACK, true, true, true },
                { EXPIRED_AND_BACK, false, true, true },
                { LAPSED_AND_BACK, true, true, true },
                { REMOVED_AND_BACK, true, true, true },
                { REMOVED_AND_BACK, false, true, true },
                { REMOVED_AND_RESTORED, true, true, true },
                { REMOVED_LONG_AND_BACK, true, false, false },
                { MOVED, true, true, true },
                { MOVED, false, false, false },
                { RESTARTED, true, false, false },
                { SUCCEEDED, true, false, false },
                { SUCCEEDED, false, false, false } };
  for (size_t i = 0; i < COUNT (cases); i++)
    for (int leaving = 0; leaving < 2; leaving++)
      for (int late = 0; late < 2; late++)
        {
          set_up_fleet ();
          struct fleet_record r = make_record ("a");
          r.incarnation = cases[i].has_incarnation ? 7 : 0;
          r.write_count = 5;
          fleet_put_upstream (fleet, &r, 50, now);
          struct fleet_upstream *upstream
              = fleet_upstream_ref (get_only_upstream ());
          struct fleet_upstream *after = NULL;
          apr_time_t said_at = now;
          /* LATE: its response comes after the step.  */
          if (late)
            after = apply_step (cases[i].step, &r);
          if (leaving)
            CU_ASSERT (fleet_mark_leaving (fleet, upstream, said_at))
          else
            fleet_turn_away (fleet, upstream, TIMER_SEC (20), TIMER_SEC (20),
                             said_at);
          if (leaving)
            CU_ASSERT_FALSE (fleet_mark_leaving (fleet, upstream, said_at));
          if (!late)
            after = apply_step (cases[i].step, &r);
          /* A late response concerns the incarnation listed now, however long
             it was away.  */
          bool expects_leaving
              = leaving
                && (cases[i].is_leaving
                    || (late && cases[i].step == REMOVED_LONG_AND_BACK));
          bool expects_turned_away = !leaving && cases[i].is_turned_away;
          CU_ASSERT_PTR_NOT_NULL_FATAL (after);
          bool is_turned_away = load_is_turned_away (&after->load, now);
          CU_ASSERT_EQUAL (fleet_is_eligible (after), !expects_leaving);
          CU_ASSERT_EQUAL (is_turned_away, expects_turned_away);
          if (fleet_is_eligible (after) == expects_leaving
              || is_turned_away != expects_turned_away)
            printf ("# step %d, leaving %d, late %d, incarnation %d\n",
                    cases[i].step, leaving, late, cases[i].has_incarnation);
          fleet_upstream_unref (upstream);
          fleet_destroy (fleet);
        }
}

static int leaving_notices;

static void
count_leaving (void *user_data, const char *what,
               const struct fleet_upstream *upstream)
{
  (void)user_data;
  (void)upstream;
  leaving_notices += strcmp (what, "leaving") == 0;
}

/* That an upstream is leaving is notified once, whether its record or its
   response says it first, and it is removed as soon as its record vanishes. */
static void
test_leaving_notice (void)
{
  for (int record_first = 0; record_first < 2; record_first++)
    {
      struct fleet_desc desc
          = { .find_region = find_region, .upstream_changed = count_leaving };
      fleet = fleet_create (test_pool, &desc);
      now = TIMER_SEC (1000);
      leaving_notices = 0;
      struct fleet_record r = make_record ("a");
      fleet_put_upstream (fleet, &r, 1, now);
      r.leaving = true;
      if (record_first)
        fleet_put_upstream (fleet, &r, 2, now);
      fleet_mark_leaving (fleet, get_only_upstream (), now);
      if (!record_first)
        fleet_put_upstream (fleet, &r, 2, now);
      r.leaving = false;
      fleet_put_upstream (fleet, &r, 3, now);
      CU_ASSERT_EQUAL (leaving_notices, 1);
      CU_ASSERT_FALSE (fleet_is_eligible (get_only_upstream ()));
      fleet_remove_upstream (fleet, r.id, true, now);
      CU_ASSERT_PTR_NULL (get_only_upstream ());
      fleet_destroy (fleet);
    }
}

const struct unit_test fleet_tests[] = {
  { "a restart is a new upstream", test_incarnations },
  { "an expired upstream is used until its grace period ends", test_expiry },
  { "an upstream that has left is not used until its grace period ends",
    test_left_in_lapse },
  { "requests to an id count for its next process",
    test_sends_to_next_process },
  { "a record that is written again keeps its upstream", test_renewal },
  { "an evacuated zone gets no requests and is cold afterwards",
    test_evacuation },
  { "a restored record does not undo a later one", test_restored_records },
  { "a second restore does not bring back an upstream that left",
    test_restored_twice },
  { "a restored record does not bring back what lapsed",
    test_restored_after_lapse },
  { "no period ends for an outage", test_postponed_expiry },
  { "a lost evacuation stays in force until it is written again",
    test_restored_evacuation },
  { "what an upstream said holds whatever the store lists of it", test_said },
  { "that an upstream is leaving is notified once", test_leaving_notice },
  { "a record that vanishes long after an outage was removed", test_outage },
  { "an upstream that others could not reach is avoided for a while",
    test_unreachable },
  { "an entry that is cut off takes few upstreams from the others",
    test_cut_off_reporter },
  { "what others could not reach is bounded", test_unreachable_bounds },
  { NULL, NULL }
};
