/* Readers of the platform's documents: good ones, and what is refused.  */
#include "platform/decode.h"
#include "tests/unit/unit.h"

#include <string.h>

static const char config[]
    = "{\"version\":7,\"routes\":["
      "{\"name\":\"jobs\",\"host\":\"h.example\",\"prefix\":\"/jobs/\","
      "\"kind\":\"unsafe\",\"timeout_ms\":1200,\"target_latency_ms\":500,"
      "\"priority\":1,\"service\":\"desk\",\"max_attempts\":2,"
      "\"sticky_sessions\":true,\"allowed_regions\":[\"north\"]},"
      "{\"name\":\"look\",\"host\":\"h.example\",\"prefix\":\"/look/\","
      "\"kind\":\"safe\",\"priority\":2,\"weighted_backends\":["
      "{\"service\":\"desk\",\"weight\":90},"
      "{\"service\":\"room\",\"weight\":10}],\"max_attempts\":2}],"
      "\"services\":[{\"name\":\"desk\",\"health_path\":\"/healthz\","
      "\"max_connections\":390,\"cold_start_s\":3.5,\"cold_per_s\":16.0},"
      "{\"name\":\"room\"}],\"limits\":{\"max_body_bytes\":100}}";

static void
test_plan (void)
{
  struct plan *plan;
  struct err err = { 0 };
  CU_ASSERT_EQUAL_FATAL (decode_plan (str_from (config), &plan, &err),
                         ERR_NONE);
  CU_ASSERT_EQUAL (plan_version (plan), 7);
  const struct plan_route *jobs
      = plan_find (plan, STR ("h.example"), STR ("/jobs/1"));
  CU_ASSERT_PTR_NOT_NULL_FATAL (jobs);
  CU_ASSERT_EQUAL (jobs->kind, PLAN_UNSAFE);
  CU_ASSERT_EQUAL (jobs->timeout, 1200000);
  CU_ASSERT_EQUAL (jobs->aim, 500000);
  CU_ASSERT (jobs->sticky);
  CU_ASSERT (plan_allows_region (jobs, STR ("north")));
  CU_ASSERT_FALSE (plan_allows_region (jobs, STR ("south")));
  const struct plan_route *look
      = plan_find (plan, STR ("h.example"), STR ("/look/1"));
  CU_ASSERT_PTR_NOT_NULL_FATAL (look);
  CU_ASSERT_EQUAL (look->part_count, 2);
  CU_ASSERT (plan_allows_region (look, STR ("south")));
  CU_ASSERT_EQUAL (plan_service (plan, STR ("desk"))->cold_time, 3500000);
  CU_ASSERT_EQUAL (plan_limits (plan)->body_bytes, 100);
  plan_unref (plan);
}

/* Whatever is cut off or damaged gives an error, never half a plan.  */
static void
test_damaged_plans (void)
{
  struct plan *plan;
  struct err err;
  for (size_t size = 0; size < sizeof config - 1; size += 7)
    CU_ASSERT_NOT_EQUAL (
        decode_plan (str_dup (test_pool, str_view (config, size)), &plan,
                     &err),
        ERR_NONE);
  static const char *const damaged[]
      = { "[]",
          "7",
          "{\"version\":7}",
          "{\"version\":7,\"routes\":[]}",
          "{\"version\":\"7\",\"routes\":[],\"services\":[]}",
          "{\"version\":7,\"routes\":[{}],\"services\":[]}",
          "{\"version\":7,\"routes\":[7],\"services\":[]}",
          "{\"version\":7,\"routes\":[],\"services\":[7]}" };
  for (size_t i = 0; i < COUNT (damaged); i++)
    if (decode_plan (str_from (damaged[i]), &plan, &err) == ERR_NONE)
      {
        CU_ASSERT_EQUAL (i, COUNT (damaged) - 1);
        plan_unref (plan);
      }
}

static void
test_upstreams (void)
{
  static const struct
  {
    const char *text;
    bool good;
  } cases[] = {
    { "{\"service\":\"d\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\","
      "\"slots\":9,\"state\":\"ready\",\"cold_remaining_ms\":20,"
      "\"sequence\":4,\"born\":17}",
      true },
    { "{\"service\":\"d\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\","
      "\"slots\":9,\"state\":\"draining\"}",
      true },
    { "{\"service\":\"d\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\","
      "\"slots\":9,\"state\":\"asleep\"}",
      false },
    { "{\"service\":\"d\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\","
      "\"slots\":\"9\",\"state\":\"ready\"}",
      false },
    { "{\"service\":7,\"address\":\"10.0.0.1:80\",\"zone\":\"z\","
      "\"slots\":9,\"state\":\"ready\"}",
      false },
    { "{\"service\":\"d\",\"address\":\"nowhere\",\"zone\":\"z\","
      "\"slots\":9,\"state\":\"ready\"}",
      false },
    { "\xff\xfe", false },
    { "", false },
    { "{\"service\":\"d\"", false },
  };
  for (size_t i = 0; i < COUNT (cases); i++)
    {
      struct fleet_record record;
      struct err err = { 0 };
      enum err_code code = decode_upstream (
          STR ("i-1"), str_from (cases[i].text), test_pool, &record, &err);
      CU_ASSERT_EQUAL (code == ERR_NONE, cases[i].good);
      if (i == 0)
        CU_ASSERT (record.cold_left == 20000 && record.born == 17
                   && record.slots == 9);
      if (i == 1)
        CU_ASSERT (record.leaving);
    }
}

static void
test_load (void)
{
  static const struct
  {
    const char *text;
    bool good;
    int64_t values[4];
  } cases[] = { { "3,1,9,250", true, { 3, 1, 9, 250 } },
                { "3,0,8", true, { 3, 0, 8, 100 } },
                { "3,0", false, { 0 } },
                { "3,0,0,100", false, { 0 } },
                { "a,b,c", false, { 0 } },
                { "3,0,8,100,7", false, { 0 } },
                { "", false, { 0 } } };
  for (size_t i = 0; i < COUNT (cases); i++)
    {
      struct load_report r;
      CU_ASSERT_EQUAL (decode_load (str_from (cases[i].text), &r),
                       cases[i].good);
      if (cases[i].good)
        CU_ASSERT (r.running == cases[i].values[0]
                   && r.waiting == cases[i].values[1]
                   && r.slots == cases[i].values[2]
                   && r.pace_percent == cases[i].values[3]);
    }
}

static void
test_headers (void)
{
  static const struct
  {
    const char *cookies;
    const char *object;
  } cookies[] = { { "Affinity-Key=17", "17" },
                  { "a=1; Affinity-Key=x9; b=2", "x9" },
                  { "Affinity-Keys=1", "" },
                  { "", "" } };
  for (size_t i = 0; i < COUNT (cookies); i++)
    CU_ASSERT (str_equal (decode_object (str_from (cookies[i].cookies)),
                          str_from (cookies[i].object)));
  static const struct
  {
    const char *text;
    int64_t ms;
  } deadlines[]
      = { { "2000", 2000 }, { "0", 0 }, { "12.7", 12 }, { "-5", -1 },
          { "x", -1 },      { "", -1 }, { "1e99", -1 }, { "nan", -1 } };
  for (size_t i = 0; i < COUNT (deadlines); i++)
    CU_ASSERT_EQUAL (decode_deadline_ms (str_from (deadlines[i].text)),
                     deadlines[i].ms);
}

static void
test_keys (void)
{
  static const struct
  {
    const char *key;
    enum decode_key kind;
    const char *rest;
  } cases[] = { { "op/config", KEY_CONFIG, "" },
                { "op/configs", KEY_OTHER, "" },
                { "op/evacuate/z-1", KEY_EVACUATION, "z-1" },
                { "op/evacuate/", KEY_OTHER, "" },
                { "servers/i-7", KEY_UPSTREAM, "i-7" },
                { "citroncleat/entries/a", KEY_OTHER, "" } };
  for (size_t i = 0; i < COUNT (cases); i++)
    {
      struct str rest;
      CU_ASSERT_EQUAL (decode_key (str_from (cases[i].key), &rest),
                       cases[i].kind);
      CU_ASSERT (str_equal (rest, str_from (cases[i].rest)));
    }
}

const struct unit_test platform_tests[]
    = { { "a configuration becomes a plan", test_plan },
        { "a damaged configuration is refused", test_damaged_plans },
        { "upstreams' records", test_upstreams },
        { "load reports", test_load },
        { "cookies and deadlines", test_headers },
        { "keys of the store", test_keys },
        { NULL, NULL } };
