/* The config_manager against a store in memory whose writes can lose their
   answer, take effect late, or fail.  */
#include "config/config_manager.h"
#include "tests/unit/unit.h"

#include <string.h>

enum store_fault
{
  WORKS,
  LOSES_ANSWER, /* done, answered as unknown */
  LOSES_WRITE,  /* not done, answered as unknown */
  IS_DOWN
};

struct fake_store
{
  struct store store;
  char value[65536];
  size_t size;
  int64_t index;
  enum store_fault next_write; /* how the next write goes; then it works */
  enum store_fault reads;
  int writes;
  const char *rival; /* written before the next write */
};

static struct fake_store fake;

static void
fake_get (struct store *store, const char *key, store_done_fn *done,
          void *part)
{
  (void)store;
  (void)key;
  struct store_response answer
      = { fake.index ? ERR_NONE : ERR_NOT_FOUND, fake.index,
          str_view (fake.value, fake.size) };
  if (fake.reads == IS_DOWN)
    answer.code = ERR_UNAVAILABLE;
  done (part, &answer);
}

static void
set (struct str value)
{
  memcpy (fake.value, value.data, value.size);
  fake.size = value.size;
  fake.index++;
}

static void
fake_swap (struct store *store, const char *key, int64_t index,
           struct str value, store_done_fn *done, void *part)
{
  (void)store;
  (void)key;
  struct store_response answer = { ERR_CONFLICT, fake.index, STR ("") };
  enum store_fault fault = fake.next_write;
  fake.next_write = WORKS;
  fake.writes++;
  if (fake.rival)
    {
      set (str_from (fake.rival));
      fake.rival = NULL;
    }
  if (fault == IS_DOWN)
    answer.code = ERR_UNAVAILABLE;
  else if (fault == LOSES_WRITE)
    answer.code = ERR_UNKNOWN;
  else if (index == fake.index)
    {
      set (value);
      answer.code = fault == LOSES_ANSWER ? ERR_UNKNOWN : ERR_NONE;
    }
  answer.index = fake.index;
  done (part, &answer);
}

static void
fake_watch (struct store *store, const char *key, int64_t index,
            int64_t wait_ms, store_done_fn *done, void *part)
{
  (void)index;
  (void)wait_ms;
  fake_get (store, key, done, part);
}

static const struct store_ops fake_ops
    = { .get = fake_get, .compare_and_swap = fake_swap, .watch = fake_watch };

static struct loop *loop;
static struct config_manager *config_manager;
static struct change_result result;

static void
open_keeper (void)
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
close_keeper (void)
{
  config_manager_destroy (config_manager);
  loop_destroy (loop);
}

static void
on_result (void *part, const struct change_result *r)
{
  (void)part;
  result = *r;
  loop_stop (loop);
}

/* Creates the region NAME and waits for the result.  */
static void
change (const char *id, const char *name, int64_t based_on)
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

static const char rival_text[]
    = "{\"format\":1,\"version\":1,\"regions\":{\"x\":{\"version\":1,"
      "\"spec\":{}}},\"operations\":[{\"id\":\"rival\",\"version\":1}]}";

static void
test_writes (void)
{
  static const struct
  {
    enum store_fault write;
    bool rival;
    const char *name;
    enum change_state state;
    int64_t version;
    int writes;
  } cases[] = {
    { WORKS, false, "a", CHANGE_ACCEPTED, 1, 1 },
    { LOSES_ANSWER, false, "a", CHANGE_ACCEPTED, 1, 1 },
    { LOSES_WRITE, false, "a", CHANGE_ACCEPTED, 1, 2 },
    { IS_DOWN, false, "a", CHANGE_ACCEPTED, 1, 2 },
    /* Another writer comes first: the change is made on its version.  */
    { WORKS, true, "a", CHANGE_ACCEPTED, 2, 2 },
    /* ... unless both create the same resource.  */
    { WORKS, true, "x", CHANGE_CONFLICT, 0, 1 },
    { LOSES_WRITE, true, "x", CHANGE_CONFLICT, 0, 1 },
  };
  for (size_t i = 0; i < COUNT (cases); i++)
    {
      open_keeper ();
      fake.next_write = cases[i].write;
      fake.rival = cases[i].rival ? rival_text : NULL;
      change ("op", cases[i].name, 0);
      CU_ASSERT_EQUAL (result.state, cases[i].state);
      CU_ASSERT_EQUAL (result.version, cases[i].version);
      CU_ASSERT_EQUAL (fake.writes, cases[i].writes);
      int64_t version;
      CU_ASSERT_EQUAL (config_manager_operation_state (config_manager,
                                                       STR ("op"), &version),
                       cases[i].state);
      close_keeper ();
    }
}

static void
test_idempotent (void)
{
  open_keeper ();
  change ("op", "a", 0);
  CU_ASSERT_EQUAL (result.state, CHANGE_ACCEPTED);
  change ("op", "a", 0);
  CU_ASSERT_EQUAL (result.state, CHANGE_ACCEPTED);
  CU_ASSERT_EQUAL (result.version, 1);
  change ("other", "a", 0);
  CU_ASSERT_EQUAL (result.state, CHANGE_CONFLICT);
  CU_ASSERT_EQUAL (result.conflict.current, 1);
  CU_ASSERT_EQUAL (fake.writes, 1);
  close_keeper ();
}

static void
test_store_down (void)
{
  open_keeper ();
  fake.reads = IS_DOWN;
  change ("op", "a", 0);
  CU_ASSERT_EQUAL (result.state, CHANGE_UNAVAILABLE);
  CU_ASSERT_EQUAL (config_manager_document (config_manager)->version, 0);
  close_keeper ();
}

/* A write whose answer is lost while the store then goes down is pending,
   and its outcome is known once the store is back.  */
static void
test_pending (void)
{
  open_keeper ();
  fake.next_write = LOSES_ANSWER;
  json_object *spec = json_object_new_object ();
  struct change one = { KIND_REGION, STR ("a"), false, 0, spec };
  memset (&result, 0, sizeof result);
  config_manager_submit_change (config_manager, STR ("op"), &one, 1, on_result,
                                NULL);
  json_object_put (spec);
  fake.reads = IS_DOWN;
  loop_run (loop);
  int64_t version;
  CU_ASSERT_EQUAL (result.state, CHANGE_PENDING);
  CU_ASSERT_EQUAL (
      config_manager_operation_state (config_manager, STR ("op"), &version),
      CHANGE_PENDING);
  fake.reads = WORKS;
  change ("later", "b", 0);
  CU_ASSERT_EQUAL (result.state, CHANGE_ACCEPTED);
  CU_ASSERT_EQUAL (
      config_manager_operation_state (config_manager, STR ("op"), &version),
      CHANGE_ACCEPTED);
  CU_ASSERT_EQUAL (version, 1);
  close_keeper ();
}

static void
test_only_upward (void)
{
  static const struct
  {
    int offered;
    int held; /* afterwards */
  } cases[] = { { 3, 3 }, { 2, 3 }, { 3, 3 }, { 9, 9 }, { 1, 9 } };
  open_keeper ();
  for (size_t i = 0; i < COUNT (cases); i++)
    {
      config_manager_offer (config_manager,
                            str_printf (test_pool,
                                        "{\"format\":1,\"version\":%d}",
                                        cases[i].offered),
                            "peer");
      CU_ASSERT_EQUAL (config_manager_document (config_manager)->version,
                       cases[i].held);
    }
  config_manager_offer (config_manager, STR ("not a document"), "peer");
  CU_ASSERT_EQUAL (config_manager_document (config_manager)->version, 9);
  close_keeper ();
}

const struct unit_test keeper_tests[]
    = { { "writes", test_writes },           { "idempotent", test_idempotent },
        { "store down", test_store_down },   { "pending", test_pending },
        { "only upward", test_only_upward }, { NULL, NULL } };
