/* The configuration manager with a store in memory that can fail: a write or
   its response is lost, or the store is unavailable.  Guards against a change
   that is lost, made twice or reported wrongly, and a configuration that goes
   back to an older version.  */
#include "base/timer.h"
#include "config/config_manager.h"
#include "tests/unit/unit.h"

#include <stdio.h>
#include <string.h>

enum store_fault
{
  FAULT_NONE,
  FAULT_LOST_RESPONSE, /* written, but the result is ERR_UNKNOWN */
  FAULT_LOST_WRITE,    /* not written, the result is ERR_UNKNOWN */
  FAULT_UNAVAILABLE
};

struct fake_store
{
  struct store store;
  char value[65536];
  size_t size;
  int64_t index;
  enum store_fault next_write; /* fault of the next write only */
  enum store_fault reads;      /* fault of all reads */
  int writes;
  /* Written by another entry just before the next write; NULL: nothing.  */
  const char *concurrent_write;
};

static struct fake_store fake;

static void
fake_get (struct store *store, const char *key, store_done_fn *done,
          void *user_data)
{
  (void)store;
  (void)key;
  struct store_response response
      = { .code = fake.index ? ERR_NONE : ERR_NOT_FOUND,
          .index = fake.index,
          .value = str_view (fake.value, fake.size) };
  if (fake.reads == FAULT_UNAVAILABLE)
    response.code = ERR_UNAVAILABLE;
  done (user_data, &response);
}

static void
store_value (struct str value)
{
  memcpy (fake.value, value.data, value.size);
  fake.size = value.size;
  fake.index++;
}

static void
fake_compare_and_swap (struct store *store, const char *key, int64_t index,
                       struct str value, store_done_fn *done, void *user_data)
{
  (void)store;
  (void)key;
  struct store_response response
      = { .code = ERR_CONFLICT, .index = fake.index, .value = STR ("") };
  enum store_fault fault = fake.next_write;
  fake.next_write = FAULT_NONE;
  fake.writes++;
  if (fake.concurrent_write)
    {
      store_value (str_from (fake.concurrent_write));
      fake.concurrent_write = NULL;
    }
  if (fault == FAULT_UNAVAILABLE)
    response.code = ERR_UNAVAILABLE;
  else if (fault == FAULT_LOST_WRITE)
    response.code = ERR_UNKNOWN;
  else if (index == fake.index)
    {
      store_value (value);
      response.code = fault == FAULT_LOST_RESPONSE ? ERR_UNKNOWN : ERR_NONE;
    }
  response.index = fake.index;
  done (user_data, &response);
}

static void
fake_watch (struct store *store, const char *key, int64_t index,
            int64_t wait_ms, store_done_fn *done, void *user_data)
{
  (void)index;
  (void)wait_ms;
  fake_get (store, key, done, user_data);
}

static const struct store_ops fake_ops
    = { .get = fake_get,
        .compare_and_swap = fake_compare_and_swap,
        .watch = fake_watch };

static struct loop *loop;
static struct config_manager *config_manager;
static struct change_result result;

static void
set_up_manager (void)
{
  struct err err;
  memset (&fake, 0, sizeof fake);
  fake.store.ops = &fake_ops;
  loop_create (test_pool, &loop, &err);
  struct config_manager_desc desc
      = { loop, &fake.store, counters_create (test_pool), STR ("t") };
  config_manager_create (test_pool, &desc, &config_manager, &err);
}

static void
tear_down_manager (void)
{
  config_manager_destroy (config_manager);
  loop_destroy (loop);
}

static void
on_result (void *user_data, const struct change_result *r)
{
  (void)user_data;
  result = *r;
  loop_stop (loop);
}

/* Submits the creation of the region NAME as the operation ID, based on the
   version BASED_ON, and waits for the result.  */
static void
submit_region (const char *id, const char *name, int64_t based_on)
{
  json_object *spec = json_object_new_object ();
  struct change one = { KIND_REGION, str_from (name), false, based_on, spec };
  memset (&result, 0, sizeof result);
  config_manager_submit_change (config_manager, str_from (id), &one, 1,
                                on_result, NULL);
  json_object_put (spec);
  if (result.state == CHANGE_UNKNOWN)
    loop_run (loop);
}

static const char concurrent_document[]
    = "{\"format\":1,\"version\":1,\"regions\":{\"x\":{\"version\":1,"
      "\"spec\":{}}},\"operations\":[{\"id\":\"rival\",\"version\":1}]}";

/* A change is made exactly once, whatever happens to its write.  It would be
   lost or made twice if an unknown result were taken for a success or for a
   failure.  */
static void
test_writes (void)
{
  static const struct
  {
    enum store_fault write;
    bool concurrent_write;
    const char *name;
    enum change_state state;
    int64_t version;
    int writes;
  } cases[] = {
    { FAULT_NONE, false, "a", CHANGE_ACCEPTED, 1, 1 },
    { FAULT_LOST_RESPONSE, false, "a", CHANGE_ACCEPTED, 1, 1 },
    { FAULT_LOST_WRITE, false, "a", CHANGE_ACCEPTED, 1, 2 },
    { FAULT_UNAVAILABLE, false, "a", CHANGE_ACCEPTED, 1, 2 },
    /* Another entry writes first: the change is made on its version ...  */
    { FAULT_NONE, true, "a", CHANGE_ACCEPTED, 2, 2 },
    /* ... unless both create the same resource.  */
    { FAULT_NONE, true, "x", CHANGE_CONFLICT, 0, 1 },
    { FAULT_LOST_WRITE, true, "x", CHANGE_CONFLICT, 0, 1 },
  };
  for (size_t i = 0; i < COUNT (cases); i++)
    {
      set_up_manager ();
      fake.next_write = cases[i].write;
      fake.concurrent_write
          = cases[i].concurrent_write ? concurrent_document : NULL;
      submit_region ("op", cases[i].name, 0);
      CU_ASSERT_EQUAL (result.state, cases[i].state);
      CU_ASSERT_EQUAL (result.version, cases[i].version);
      CU_ASSERT_EQUAL (fake.writes, cases[i].writes);
      int64_t version;
      CU_ASSERT_EQUAL (config_manager_operation_state (config_manager,
                                                       STR ("op"), &version),
                       cases[i].state);
      tear_down_manager ();
    }
}

/* An operation submitted again is not made again; another one that creates the
   same resource conflicts.  */
static void
test_idempotent (void)
{
  set_up_manager ();
  submit_region ("op", "a", 0);
  CU_ASSERT_EQUAL (result.state, CHANGE_ACCEPTED);
  submit_region ("op", "a", 0);
  CU_ASSERT_EQUAL (result.state, CHANGE_ACCEPTED);
  CU_ASSERT_EQUAL (result.version, 1);
  submit_region ("other", "a", 0);
  CU_ASSERT_EQUAL (result.state, CHANGE_CONFLICT);
  CU_ASSERT_EQUAL (result.conflict.current, 1);
  CU_ASSERT_EQUAL (fake.writes, 1);
  tear_down_manager ();
}

/* While the store cannot be read, a change is not made, and its result says
   so; the configuration in force stays.  */
static void
test_store_unavailable (void)
{
  set_up_manager ();
  fake.reads = FAULT_UNAVAILABLE;
  submit_region ("op", "a", 0);
  CU_ASSERT_EQUAL (result.state, CHANGE_UNAVAILABLE);
  CU_ASSERT_EQUAL (config_manager_document (config_manager)->version, 0);
  tear_down_manager ();
}

/* If the response to a write is lost and the store becomes unavailable, the
   operation is pending, not failed.  Its outcome is known once the store is
   available again.  */
static void
test_pending (void)
{
  set_up_manager ();
  fake.next_write = FAULT_LOST_RESPONSE;
  json_object *spec = json_object_new_object ();
  struct change one = { KIND_REGION, STR ("a"), false, 0, spec };
  memset (&result, 0, sizeof result);
  config_manager_submit_change (config_manager, STR ("op"), &one, 1, on_result,
                                NULL);
  json_object_put (spec);
  fake.reads = FAULT_UNAVAILABLE;
  loop_run (loop);
  int64_t version;
  CU_ASSERT_EQUAL (result.state, CHANGE_PENDING);
  CU_ASSERT_EQUAL (
      config_manager_operation_state (config_manager, STR ("op"), &version),
      CHANGE_PENDING);
  fake.reads = FAULT_NONE;
  submit_region ("later", "b", 0);
  CU_ASSERT_EQUAL (result.state, CHANGE_ACCEPTED);
  CU_ASSERT_EQUAL (
      config_manager_operation_state (config_manager, STR ("op"), &version),
      CHANGE_ACCEPTED);
  CU_ASSERT_EQUAL (version, 1);
  tear_down_manager ();
}

struct waiting_result
{
  enum change_state state;
  apr_time_t at;
};

static void
on_waiting_result (void *user_data, const struct change_result *r)
{
  struct waiting_result *waiting = user_data;
  CU_ASSERT_EQUAL (waiting->state, CHANGE_UNKNOWN);
  *waiting = (struct waiting_result){ r->state, timer_clock () };
}

static void
on_wait_ended (void *user_data, apr_time_t at)
{
  (void)user_data;
  (void)at;
  loop_stop (loop);
}

/* An operation that waits behind a pending one is reported after 3 s too.  As
   none of its writes was sent, it ends, and is not made later; but one of the
   same id as the pending one is pending.  */
static void
test_waiting (void)
{
  static const struct
  {
    const char *id;
    const char *name;
    enum change_state state;
    enum change_state later; /* once the store is available again */
  } cases[] = { { "op", "a", CHANGE_PENDING, CHANGE_ACCEPTED },
                { "behind", "b", CHANGE_UNAVAILABLE, CHANGE_UNAVAILABLE },
                { "op", "a", CHANGE_PENDING, CHANGE_ACCEPTED },
                { "last", "c", CHANGE_UNAVAILABLE, CHANGE_UNAVAILABLE } };
  struct waiting_result results[COUNT (cases)] = { 0 };
  struct timer timer = { 0 };
  set_up_manager ();
  fake.next_write = FAULT_LOST_RESPONSE;
  for (size_t i = 0; i < COUNT (cases); i++)
    {
      json_object *spec = json_object_new_object ();
      struct change one
          = { KIND_REGION, str_from (cases[i].name), false, 0, spec };
      config_manager_submit_change (config_manager, str_from (cases[i].id),
                                    &one, 1, on_waiting_result, &results[i]);
      json_object_put (spec);
      fake.reads = FAULT_UNAVAILABLE;
    }
  apr_time_t submitted_at = timer_clock ();
  timer_start (loop_timers (loop), &timer, submitted_at + TIMER_MS (3500),
               on_wait_ended, NULL);
  loop_run (loop);
  for (size_t i = 0; i < COUNT (cases); i++)
    {
      CU_ASSERT_EQUAL (results[i].state, cases[i].state);
      CU_ASSERT (results[i].at < submitted_at + TIMER_MS (3500));
    }
  fake.reads = FAULT_NONE;
  submit_region ("later", "d", 0);
  CU_ASSERT_EQUAL (result.state, CHANGE_ACCEPTED);
  CU_ASSERT_EQUAL (result.version, 2);
  for (size_t i = 0; i < COUNT (cases); i++)
    {
      int64_t version;
      CU_ASSERT_EQUAL (config_manager_operation_state (
                           config_manager, str_from (cases[i].id), &version),
                       cases[i].later);
    }
  tear_down_manager ();
}

/* A document of a lower version, as a peer that is behind may offer it, or one
   that is malformed never replaces the one in force.  */
static void
test_versions_rise (void)
{
  static const struct
  {
    int offered;
    int expected; /* version in force afterwards */
  } cases[] = { { 3, 3 }, { 2, 3 }, { 3, 3 }, { 9, 9 }, { 1, 9 } };
  set_up_manager ();
  for (size_t i = 0; i < COUNT (cases); i++)
    {
      config_manager_offer (config_manager,
                            str_printf (test_pool,
                                        "{\"format\":1,\"version\":%d}",
                                        cases[i].offered),
                            "peer");
      CU_ASSERT_EQUAL (config_manager_document (config_manager)->version,
                       cases[i].expected);
    }
  config_manager_offer (config_manager, STR ("not a document"), "peer");
  CU_ASSERT_EQUAL (config_manager_document (config_manager)->version, 9);
  tear_down_manager ();
}

static void
on_time_over (void *user_data, apr_time_t now)
{
  (void)now;
  loop_stop (user_data);
}

static void
run_loop_for (int64_t ms)
{
  struct timer timer = { 0 };
  timer_start (loop_timers (loop), &timer, timer_clock () + TIMER_MS (ms),
               on_time_over, loop);
  loop_run (loop);
}

/* Sets what the store holds at INDEX.  */
static void
set_stored (int version, int64_t index)
{
  fake.size = (size_t)snprintf (fake.value, sizeof fake.value,
                                "{\"format\":1,\"version\":%d}", version);
  fake.index = index;
}

/* A store that was restored from an older copy gives indexes out again.  */
static void
test_restored_index (void)
{
  static const struct
  {
    int stored; /* version after the restore, under the index known before */
    int expected_version;
    int writes; /* to put back what the store lost */
  } cases[] = { { 5, 5, 0 }, { 3, 3, 0 }, { 2, 3, 1 } };
  for (size_t i = 0; i < COUNT (cases); i++)
    {
      set_up_manager ();
      set_stored (3, 7);
      config_manager_set_relay (config_manager, true);
      run_loop_for (50);
      CU_ASSERT_EQUAL (config_manager_document (config_manager)->version, 3);
      fake.reads = FAULT_UNAVAILABLE;
      run_loop_for (150);
      fake.reads = FAULT_NONE;
      set_stored (cases[i].stored, 7);
      run_loop_for (800);
      CU_ASSERT_EQUAL (config_manager_document (config_manager)->version,
                       cases[i].expected_version);
      CU_ASSERT_EQUAL (fake.writes, cases[i].writes);
      tear_down_manager ();
    }
}

const struct unit_test config_tests[] = {
  { "a change is made once, whatever happens to its write", test_writes },
  { "an operation that is submitted again is not made again",
    test_idempotent },
  { "a change is refused while the store is unavailable",
    test_store_unavailable },
  { "an operation whose write has an unknown result is pending",
    test_pending },
  { "an operation behind a pending one is reported in time", test_waiting },
  { "the version in force never falls", test_versions_rise },
  { "a restored store is read, also under the index known before",
    test_restored_index },
  { NULL, NULL }
};
