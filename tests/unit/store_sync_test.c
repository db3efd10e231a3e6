/* What an entry knows of the store when the store, or a copy of it, responds
   from another epoch.  Guards against changes that are never read, or undone,
   after the store came back from an older copy.  */
#include "fleet/fleet.h"
#include "gateway/settings.h"
#include "gateway/store_sync_internal.h"
#include "platform/mirror.h"
#include "tests/unit/unit.h"

#include <stdio.h>
#include <string.h>

enum
{
  READER, /* the entry that reads the store for this one */
  STORE,
  PEER, /* another entry, which needn't be known from the store */
  SOURCES
};

/* A source of which each call is answered by the test.  */
static struct source
{
  struct store store; /* first */
  bool is_listing;    /* the call in progress */
  int64_t index;      /* of a call for changes */
  store_items_done_fn *done;
  void *user_data;
} sources[SOURCES];

static struct loop *loop;
static struct gateway_settings settings;
static struct fleet *fleet;
static struct registry *registry;
static struct platform_mirror *mirror;
static struct store_sync *store_sync;
static bool has_reader;
static bool has_peer;
static apr_time_t copy_age; /* of the next response */
static apr_time_t now;

static void
source_list (struct store *store, const char *prefix, bool may_be_stale,
             store_items_done_fn *done, void *user_data)
{
  (void)prefix;
  (void)may_be_stale;
  struct source *source = (struct source *)store;
  source->is_listing = true;
  source->done = done;
  source->user_data = user_data;
}

static void
source_watch (struct store *store, const char *prefix, int64_t index,
              int64_t wait_ms, store_items_done_fn *done, void *user_data)
{
  (void)wait_ms;
  struct source *source = (struct source *)store;
  if (*prefix)
    return; /* the operators' keys, read beside all others */
  source->is_listing = false;
  source->index = index;
  source->done = done;
  source->user_data = user_data;
}

static const struct store_ops source_ops
    = { .list = source_list, .watch_prefix = source_watch };

static struct store *
reader_store (void *user_data, size_t number)
{
  (void)user_data;
  return has_reader && number == 0 ? &sources[READER].store : NULL;
}

static struct store *
next_peer_store (void *user_data)
{
  (void)user_data;
  return has_peer ? &sources[PEER].store : NULL;
}

static void
on_changed (void *user_data)
{
  (void)user_data;
}

static struct str
find_region (void *user_data, struct str zone)
{
  (void)user_data;
  (void)zone;
  return STR ("north");
}

static struct store_item
make_config (int version, int64_t index)
{
  return (struct store_item){
    .key = STR ("op/config"),
    .value = str_printf (
        test_pool, "{\"version\":%d,\"routes\":[],\"services\":[]}", version),
    .index = index
  };
}

static struct store_item
make_upstream (const char *state, int count, int64_t index)
{
  return (struct store_item){
    .key = STR ("servers/a"),
    .value = str_printf (test_pool,
                         "{\"service\":\"s\",\"address\":\"10.0.0.1:1\","
                         "\"zone\":\"z\",\"slots\":4,\"state\":\"%s\","
                         "\"cold_remaining_ms\":0,\"sequence\":%d,"
                         "\"born\":1}",
                         state, count),
    .index = index
  };
}

static int caught_up_count;

static void
on_caught_up (void *user_data)
{
  (void)user_data;
  caught_up_count++;
}

/* Ends the call in progress to SOURCE.  */
static void
respond (int source, enum err_code code, int64_t epoch, int64_t index,
         const struct store_item *items, size_t count)
{
  struct store_items_response response = { .code = code,
                                           .items = items,
                                           .count = count,
                                           .index = index,
                                           .age = copy_age,
                                           .epoch = epoch };
  store_items_done_fn *done = sources[source].done;
  sources[source].done = NULL;
  CU_ASSERT_PTR_NOT_NULL_FATAL (done);
  done (sources[source].user_data, &response);
}

/* Begins a round, later than any source is held back.  */
static void
begin_round (void)
{
  now += TIMER_SEC (60);
  store_sync_begin_round (store_sync, now);
}

/* Creates an entry that knows nothing.  */
static void
set_up_start (void)
{
  struct err err;
  static struct gateway_zone zone = { { "z", 1 }, { "north", 5 } };
  memset (sources, 0, sizeof sources);
  for (int i = 0; i < SOURCES; i++)
    sources[i].store.ops = &source_ops;
  has_reader = has_peer = false;
  copy_age = 0;
  caught_up_count = 0;
  settings = (struct gateway_settings){ .name = STR ("self"),
                                        .zone = STR ("z"),
                                        .region = STR ("north"),
                                        .zones = { &zone, 1 },
                                        .store = { .poll_ms = 1000 } };
  loop_create (test_pool, &loop, &err);
  struct fleet_desc fleet_desc = { .find_region = find_region };
  fleet = fleet_create (test_pool, &fleet_desc);
  struct registry_desc registry_desc = { .settings = &settings };
  registry = registry_create (test_pool, &registry_desc);
  mirror = platform_mirror_create (0);
  struct store_sync_desc desc = { .loop = loop,
                                  .store = &sources[STORE].store,
                                  .settings = &settings,
                                  .counters = counters_create (test_pool),
                                  .fleet = fleet,
                                  .registry = registry,
                                  .mirror = mirror,
                                  .next_peer_store = next_peer_store,
                                  .reader_store = reader_store,
                                  .on_changed = on_changed,
                                  .on_caught_up = on_caught_up };
  store_sync = store_sync_create (test_pool, &desc);
  now = timer_clock ();
}

/* Creates an entry that knows the store at index 50 of epoch 4: configuration
   10 and a leaving upstream.  */
static void
set_up (void)
{
  set_up_start ();
  struct store_item items[]
      = { make_config (10, 45), make_upstream ("draining", 9, 50) };
  begin_round ();
  respond (STORE, ERR_NONE, 4, 50, items, 2);
  begin_round ();
  respond (STORE, ERR_NONE, 4, 50, NULL, 0);
  CU_ASSERT_PTR_NOT_NULL_FATAL (store_sync_plan (store_sync));
}

static void
tear_down (void)
{
  store_sync_destroy (store_sync);
  registry_destroy (registry);
  platform_mirror_destroy (mirror);
  fleet_destroy (fleet);
  loop_destroy (loop);
}

/* A watch is answered from another epoch, whatever its index is there: all is
   listed, and what the listing holds of later versions is in force.  */
static void
test_restored (void)
{
  static const struct
  {
    const char *name;
    enum err_code code; /* of the watch from index 50 */
    int64_t index;
    int64_t listed_index;
    int version; /* of the restored configuration */
    int expected_version;
  } cases[] = { { "the index is gone", ERR_NOT_FOUND, 0, 41, 11, 11 },
                { "the index exists again", ERR_NONE, 55, 55, 11, 11 },
                { "the index is the same", ERR_NONE, 50, 50, 11, 11 },
                { "an older configuration", ERR_NOT_FOUND, 0, 41, 7, 10 } };
  for (size_t i = 0; i < COUNT (cases); i++)
    {
      set_up ();
      begin_round ();
      CU_ASSERT_EQUAL (sources[STORE].index, 50);
      respond (STORE, cases[i].code, 5, cases[i].index, NULL, 0);
      CU_ASSERT (sources[STORE].is_listing);
      struct store_item items[] = { make_config (cases[i].version, 40),
                                    make_upstream ("ready", 5, 39) };
      respond (STORE, ERR_NONE, 5, cases[i].listed_index, items, 2);
      CU_ASSERT_EQUAL (plan_version (store_sync_plan (store_sync)),
                       cases[i].expected_version);
      CU_ASSERT_FALSE (fleet_is_eligible (fleet_find (fleet, STR ("a"))));
      CU_ASSERT_EQUAL (platform_mirror_epoch (mirror), 5);
      /* Changes are read from the listing on.  */
      begin_round ();
      CU_ASSERT_FALSE (sources[STORE].is_listing);
      CU_ASSERT_EQUAL (sources[STORE].index, cases[i].listed_index);
      struct store_item next = make_config (12, cases[i].listed_index + 1);
      respond (STORE, ERR_NONE, 5, next.index, &next, 1);
      CU_ASSERT_EQUAL (plan_version (store_sync_plan (store_sync)), 12);
      if (plan_version (store_sync_plan (store_sync)) != 12)
        printf ("# %s\n", cases[i].name);
      tear_down ();
    }
}

/* A configuration that can't be read stays refused, whatever the epoch.  */
static void
test_restored_invalid (void)
{
  set_up ();
  begin_round ();
  respond (STORE, ERR_NOT_FOUND, 5, 0, NULL, 0);
  struct store_item item
      = { .key = STR ("op/config"), .value = STR ("{}"), .index = 40 };
  respond (STORE, ERR_NONE, 5, 41, &item, 1);
  CU_ASSERT_EQUAL (plan_version (store_sync_plan (store_sync)), 10);
  tear_down ();
}

/* The copy of another entry is behind or ahead by an epoch.  */
static void
test_copies (void)
{
  set_up ();
  has_reader = true;
  struct store_item items[]
      = { make_config (11, 40), make_upstream ("draining", 9, 41) };
  begin_round ();
  respond (READER, ERR_NONE, 5, 58, NULL, 0);
  CU_ASSERT (sources[READER].is_listing);
  respond (READER, ERR_NONE, 5, 41, items, 2);
  CU_ASSERT_EQUAL (plan_version (store_sync_plan (store_sync)), 11);
  /* A copy of the epoch before is not used: the store is asked.  */
  struct store_item late = make_upstream ("ready", 10, 60);
  sources[STORE].done = NULL;
  begin_round ();
  respond (READER, ERR_NONE, 4, 60, &late, 1);
  CU_ASSERT_FALSE (fleet_is_eligible (fleet_find (fleet, STR ("a"))));
  CU_ASSERT_PTR_NOT_NULL (sources[STORE].done);
  CU_ASSERT_EQUAL (sources[STORE].index, 41);
  tear_down ();
}

/* A response to a call from before the epoch changed arrives late.  */
static void
test_late_responses (void)
{
  static const struct
  {
    const char *name;
    enum err_code code;
    int64_t epoch; /* in which the store answered */
  } cases[] = { { "of the old epoch", ERR_NONE, 4 },
                { "of the new epoch, from an old index", ERR_NONE, 5 },
                { "the old index is gone", ERR_NOT_FOUND, 5 } };
  for (size_t i = 0; i < COUNT (cases); i++)
    {
      set_up ();
      begin_round ();
      struct source late = sources[STORE];
      has_reader = true;
      struct store_item item = make_config (11, 40);
      begin_round ();
      respond (READER, ERR_NOT_FOUND, 5, 0, NULL, 0);
      respond (READER, ERR_NONE, 5, 41, &item, 1);
      sources[STORE] = late;
      struct store_item newer = make_config (12, 57);
      respond (STORE, cases[i].code, cases[i].epoch, 57, &newer, 1);
      CU_ASSERT_EQUAL (plan_version (store_sync_plan (store_sync)), 11);
      begin_round ();
      CU_ASSERT_EQUAL (sources[READER].index, 41);
      if (sources[READER].index != 41)
        printf ("# %s\n", cases[i].name);
      tear_down ();
    }
}

/* After a pause only a call that was made since shows what has changed; with
   no source, what is known is all there is.  */
static void
test_pause (void)
{
  static const struct
  {
    const char *name;
    bool was_asked;     /* when the pause began, and answered after it */
    enum err_code code; /* of the call after the pause */
  } cases[] = { { "the store responds", false, ERR_NONE },
                { "a response waited", true, ERR_NONE },
                { "the store fails", false, ERR_IO },
                { "a response waited, the store fails", true, ERR_IO } };
  for (size_t i = 0; i < COUNT (cases); i++)
    {
      set_up ();
      CU_ASSERT_FALSE (store_sync_is_catching_up (store_sync));
      if (cases[i].was_asked)
        begin_round ();
      now += TIMER_SEC (60);
      store_sync_catch_up (store_sync, now);
      CU_ASSERT (store_sync_is_catching_up (store_sync));
      if (cases[i].was_asked)
        {
          respond (STORE, ERR_NONE, 4, 50, NULL, 0);
          CU_ASSERT (store_sync_is_catching_up (store_sync));
          CU_ASSERT_EQUAL (caught_up_count, 0);
          begin_round ();
        }
      respond (STORE, cases[i].code, 4, 50, NULL, 0);
      CU_ASSERT_FALSE (store_sync_is_catching_up (store_sync));
      CU_ASSERT_EQUAL (caught_up_count, 1);
      if (caught_up_count != 1)
        printf ("# %s\n", cases[i].name);
      tear_down ();
    }
}

/* Sources that respond but stay behind don't keep requests waiting for good.
 */
static void
test_pause_behind (void)
{
  static const struct
  {
    int64_t wait_ms; /* since the pause */
    bool is_catching_up;
  } cases[] = { { 2500, true }, { 3500, false } };
  for (size_t i = 0; i < COUNT (cases); i++)
    {
      set_up ();
      store_sync_start (store_sync);
      apr_time_t paused_until = timer_clock ();
      store_sync_catch_up (store_sync, paused_until);
      for (int64_t ms = 0; ms <= cases[i].wait_ms; ms += 100)
        {
          if (sources[STORE].done)
            respond (STORE, ERR_NONE, 4, 45, NULL, 0);
          timer_service_run (loop_timers (loop), paused_until + TIMER_MS (ms));
        }
      CU_ASSERT_EQUAL (store_sync_is_catching_up (store_sync),
                       cases[i].is_catching_up);
      CU_ASSERT_EQUAL (caught_up_count, !cases[i].is_catching_up);
      tear_down ();
    }
}

/* In one epoch a listing that is older than what is known isn't used, and a
   response that states no epoch is of the one that is known.  */
static void
test_same_epoch (void)
{
  static const int64_t epochs[] = { 4, 0 };
  for (size_t i = 0; i < COUNT (epochs); i++)
    {
      set_up ();
      struct store_item item = make_config (11, 48);
      begin_round ();
      respond (STORE, ERR_NOT_FOUND, epochs[i], 0, NULL, 0);
      respond (STORE, ERR_NONE, epochs[i], 48, &item, 1);
      CU_ASSERT_EQUAL (plan_version (store_sync_plan (store_sync)), 10);
      begin_round ();
      CU_ASSERT_EQUAL (sources[STORE].index, 50);
      tear_down ();
    }
}

/* An entry starts while the store is away: it serves by the copy of another
   one, holds the upstreams of an old one for cold, and reads what has changed
   since as soon as the store is back.  */
static void
test_start_in_outage (void)
{
  static const struct
  {
    const char *name;
    int64_t age_ms;       /* of the copy */
    const char *state;    /* of the upstream in it */
    enum err_code code;   /* of the changes, when the store is back */
    int64_t epoch;        /* of the store then */
    int version;          /* of its configuration then */
    bool is_cold;         /* the upstream, by the copy */
    bool is_eligible;     /* by the copy */
    int expected_version; /* in force at the end */
  } cases[]
      = { { "a recent copy", 400, "ready", ERR_NONE, 4, 11, false, true, 11 },
          { "an old copy", 60000, "ready", ERR_NONE, 4, 11, true, true, 11 },
          { "older than the clock", INT64_MAX / 2000, "ready", ERR_NONE, 4, 11,
            true, true, 11 },
          { "one that had left", 60000, "draining", ERR_NONE, 4, 11, true,
            false, 11 },
          { "the history is gone", 60000, "ready", ERR_NOT_FOUND, 4, 11, true,
            true, 11 },
          { "the store lost writes", 60000, "ready", ERR_NONE, 5, 9, true,
            true, 10 } };
  for (size_t i = 0; i < COUNT (cases); i++)
    {
      set_up_start ();
      has_peer = true;
      begin_round ();
      respond (STORE, ERR_UNAVAILABLE, 0, 0, NULL, 0);
      /* The first one knows nothing, the second one is asked at once.  */
      CU_ASSERT (sources[PEER].is_listing);
      respond (PEER, ERR_UNAVAILABLE, 0, 0, NULL, 0);
      CU_ASSERT_PTR_NULL (store_sync_plan (store_sync));
      struct store_item items[]
          = { make_config (10, 45), make_upstream (cases[i].state, 9, 50) };
      copy_age = TIMER_MS (cases[i].age_ms);
      respond (PEER, ERR_NONE, 4, 50, items, 2);
      copy_age = 0;
      CU_ASSERT_PTR_NOT_NULL_FATAL (store_sync_plan (store_sync));
      CU_ASSERT_EQUAL (plan_version (store_sync_plan (store_sync)), 10);
      const struct fleet_upstream *upstream = fleet_find (fleet, STR ("a"));
      CU_ASSERT_EQUAL (fleet_is_cold (upstream, timer_clock ()),
                       cases[i].is_cold);
      CU_ASSERT_EQUAL (upstream->is_unseen, cases[i].is_cold);
      CU_ASSERT_EQUAL (fleet_is_eligible (upstream), cases[i].is_eligible);
      begin_round ();
      CU_ASSERT_EQUAL (sources[STORE].index, 50);
      struct store_item next[]
          = { make_config (cases[i].version, 55),
              { .key = STR ("servers/a"), .index = 56, .is_removed = true } };
      respond (STORE, cases[i].code, cases[i].epoch, 56, next, 2);
      if (sources[STORE].done)
        {
          /* All is listed; the upstream isn't.  */
          CU_ASSERT (sources[STORE].is_listing);
          respond (STORE, ERR_NONE, cases[i].epoch, 56, next, 1);
        }
      CU_ASSERT_EQUAL (plan_version (store_sync_plan (store_sync)),
                       cases[i].expected_version);
      /* What is missing right after an outage may have expired in it, and is
         kept for the grace period.  */
      upstream = fleet_find (fleet, STR ("a"));
      CU_ASSERT (!upstream || upstream->expired_at > 0);
      fleet_remove_expired (fleet, timer_clock () + TIMER_SEC (60));
      CU_ASSERT_PTR_NULL (fleet_find (fleet, STR ("a")));
      if (plan_version (store_sync_plan (store_sync))
          != cases[i].expected_version)
        printf ("# %s\n", cases[i].name);
      tear_down ();
    }
}

/* Of three entries that know nothing none is asked twice in a row before the
   store is.  */
static void
test_start_alone (void)
{
  set_up_start ();
  has_peer = true;
  begin_round ();
  respond (STORE, ERR_UNAVAILABLE, 0, 0, NULL, 0);
  for (int i = 0; i < 3; i++)
    respond (PEER, ERR_UNAVAILABLE, 0, 0, NULL, 0);
  CU_ASSERT_PTR_NULL (sources[PEER].done);
  CU_ASSERT_PTR_NULL (store_sync_plan (store_sync));
  begin_round ();
  CU_ASSERT_PTR_NOT_NULL (sources[STORE].done);
  CU_ASSERT (sources[STORE].is_listing);
  tear_down ();
}

const struct unit_test store_sync_tests[] = {
  { "an entry that starts in an outage serves by another one's copy",
    test_start_in_outage },
  { "an entry that starts in an outage asks three others, then the store",
    test_start_alone },
  { "a restored store is listed, whatever its index", test_restored },
  { "a restored configuration that can't be read is refused",
    test_restored_invalid },
  { "a copy of another epoch is listed or not used", test_copies },
  { "a late response from before a restore is not used", test_late_responses },
  { "a listing older than what is known is not used", test_same_epoch },
  { "after a pause what is known is read again", test_pause },
  { "a catch-up ends though its sources stay behind", test_pause_behind },
  { NULL, NULL }
};
