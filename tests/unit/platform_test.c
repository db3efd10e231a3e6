/* Parsing of the platform's documents, valid and malformed ones, and the
   mirror of its store that entries serve to each other.  Guards against a
   malformed document that is used in part, and changes that are missing at the
   entries that do not read the store.  */
#include "platform/decode.h"
#include "platform/mirror.h"
#include "tests/unit/unit.h"

#include <json-c/json.h>
#include <stdio.h>
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

/* Every field of the configuration reaches the plan, in the plan's units.  */
static void
test_plan (void)
{
  struct plan *plan;
  struct err err = { 0 };
  CU_ASSERT_EQUAL_FATAL (decode_plan (str_from (config), &plan, &err),
                         ERR_NONE);
  CU_ASSERT_EQUAL (plan_version (plan), 7);
  const struct plan_route *jobs
      = plan_find_route (plan, STR ("h.example"), STR ("/jobs/1"));
  CU_ASSERT_PTR_NOT_NULL_FATAL (jobs);
  CU_ASSERT_EQUAL (jobs->kind, PLAN_UNSAFE);
  CU_ASSERT_EQUAL (jobs->timeout, 1200000);
  CU_ASSERT_EQUAL (jobs->target_latency, 500000);
  CU_ASSERT (jobs->sticky);
  CU_ASSERT (plan_route_allows_region (jobs, STR ("north")));
  CU_ASSERT_FALSE (plan_route_allows_region (jobs, STR ("south")));
  const struct plan_route *look
      = plan_find_route (plan, STR ("h.example"), STR ("/look/1"));
  CU_ASSERT_PTR_NOT_NULL_FATAL (look);
  CU_ASSERT_EQUAL (look->weighted_service_count, 2);
  CU_ASSERT (plan_route_allows_region (look, STR ("south")));
  CU_ASSERT_EQUAL (plan_service (plan, STR ("desk"))->cold_time, 3500000);
  CU_ASSERT (str_equal (plan_service (plan, STR ("desk"))->health_path,
                        STR ("/healthz")));
  CU_ASSERT_EQUAL (plan_limits (plan)->body_bytes, 100);
  plan_unref (plan);
}

/* A truncated or malformed document gives an error, never a partial plan.  */
static void
test_malformed_plans (void)
{
  struct plan *plan;
  struct err err;
  for (size_t size = 0; size < sizeof config - 1; size += 7)
    CU_ASSERT_NOT_EQUAL (
        decode_plan (str_dup (test_pool, str_view (config, size)), &plan,
                     &err),
        ERR_NONE);
  static const char *const malformed[]
      = { "[]",
          "7",
          "{\"version\":7}",
          "{\"version\":7,\"routes\":[]}",
          "{\"version\":\"7\",\"routes\":[],\"services\":[]}",
          "{\"version\":7,\"routes\":[{}],\"services\":[]}",
          "{\"version\":7,\"routes\":[7],\"services\":[]}",
          "{\"version\":7,\"routes\":[],\"services\":7}" };
  for (size_t i = 0; i < COUNT (malformed); i++)
    CU_ASSERT_NOT_EQUAL (decode_plan (str_from (malformed[i]), &plan, &err),
                         ERR_NONE);
}

/* How a route is treated that has one member which this version can't read or
   doesn't know.  */
struct containment_case
{
  const char *member; /* replaces or adds to those of a valid route */
  bool is_refused;    /* each request of the route */
  bool is_missing;    /* its service */
  enum plan_kind kind;
  int64_t max_attempts;
  size_t problems;
};

/* A value that this version doesn't know concerns one route: it is served
   under the strictest treatment, or refused, and the route beside it is
   served.  Of the values that may never be guessed, one taken for its default
   would send requests out of their home regions or run them twice.  */
static void
test_containment (void)
{
  static const struct containment_case cases[] = {
    { "\"kind\":\"safe\"", false, false, PLAN_SAFE, 2, 0 },
    { "\"kind\":\"download\"", false, false, PLAN_DOWNLOAD, 2, 0 },
    { "\"kind\":\"batch\"", false, false, PLAN_KIND_UNKNOWN, 1, 1 },
    { "\"kind\":7", false, false, PLAN_KIND_UNKNOWN, 1, 1 },
    { "\"kind\":null", false, false, PLAN_KIND_UNKNOWN, 1, 1 },
    { "\"allowed_regions\":\"north\"", true, false, PLAN_SAFE, 2, 1 },
    { "\"allowed_regions\":[7]", true, false, PLAN_SAFE, 2, 1 },
    { "\"allowed_regions\":{\"not\":\"south\"}", true, false, PLAN_SAFE, 2,
      1 },
    { "\"weighted_backends\":\"desk\"", true, false, PLAN_SAFE, 2, 1 },
    { "\"weighted_backends\":[{\"service\":\"desk\",\"weight\":\"9\"}]", true,
      false, PLAN_SAFE, 2, 1 },
    { "\"weighted_backends\":[{\"service\":\"desk\",\"weight\":-1}]", true,
      false, PLAN_SAFE, 2, 1 },
    { "\"weighted_backends\":[7]", true, false, PLAN_SAFE, 2, 1 },
    { "\"service\":\"attic\"", true, true, PLAN_SAFE, 2, 2 },
    { "\"service\":7", true, true, PLAN_SAFE, 2, 2 },
    { "\"max_attempts\":\"3\"", false, false, PLAN_SAFE, 1, 1 },
    { "\"max_attempts\":0", false, false, PLAN_SAFE, 1, 1 },
    { "\"max_attempts\":1e300", false, false, PLAN_SAFE, 1, 1 },
    { "\"timeout_ms\":-5", false, false, PLAN_SAFE, 2, 1 },
    { "\"timeout_ms\":\"5\"", false, false, PLAN_SAFE, 2, 1 },
    { "\"target_latency_ms\":[]", false, false, PLAN_SAFE, 2, 1 },
    { "\"priority\":\"high\"", false, false, PLAN_SAFE, 2, 1 },
    { "\"mirror_to\":\"room\"", false, false, PLAN_SAFE, 2, 1 },
  };
  for (size_t i = 0; i < COUNT (cases); i++)
    {
      struct plan *plan;
      struct err err = { 0 };
      struct str text = str_printf (
          test_pool,
          "{\"version\":7,\"routes\":["
          "{\"name\":\"odd\",\"host\":\"h\",\"prefix\":\"/odd/\","
          "\"kind\":\"safe\",\"service\":\"desk\",\"max_attempts\":2,"
          "\"allowed_regions\":[\"north\"],%s},"
          "{\"name\":\"good\",\"host\":\"h\",\"prefix\":\"/good/\","
          "\"kind\":\"safe\",\"service\":\"desk\",\"max_attempts\":2}],"
          "\"services\":[{\"name\":\"desk\"},7]}",
          cases[i].member);
      CU_ASSERT_EQUAL_FATAL (decode_plan (text, &plan, &err), ERR_NONE);
      const struct plan_route *odd
          = plan_find_route (plan, STR ("h"), STR ("/odd/1"));
      const struct plan_route *good
          = plan_find_route (plan, STR ("h"), STR ("/good/1"));
      CU_ASSERT (good && !good->refusal && good->max_attempts == 2);
      CU_ASSERT_PTR_NOT_NULL_FATAL (odd);
      CU_ASSERT_EQUAL (odd->refusal != NULL, cases[i].is_refused);
      CU_ASSERT_EQUAL (odd->weighted_services[0].is_missing,
                       cases[i].is_missing);
      CU_ASSERT_EQUAL (odd->kind, cases[i].kind);
      CU_ASSERT_EQUAL (odd->max_attempts, cases[i].max_attempts);
      CU_ASSERT (odd->refusal
                 || !plan_route_allows_region (odd, STR ("south")));
      /* The service that is no object is one more problem.  */
      CU_ASSERT_EQUAL (plan_problem_count (plan), cases[i].problems + 1);
      plan_unref (plan);
    }
}

/* Whose key it is, and what is known of the tenant.  A tenant or key that
   can't be used concerns that one alone: its requests are refused, and the
   others' are served.  Guards against keys that give more than the
   configuration says.  */
static void
test_tenants (void)
{
  static const struct
  {
    const char *tenant; /* members, beside the valid tenant's */
    const char *key;
    const char *owner; /* NULL: nobody */
    bool is_refused;
    size_t problems;
  } cases[] = {
    { "\"name\":\"b\",\"api_keys\":[\"k2\",\"k3\"]", "k3", "b", false, 0 },
    { "\"name\":\"b\",\"api_keys\":[\"k2\"]", "k1", "a", false, 0 },
    { "\"name\":\"b\",\"api_keys\":[\"k2\"]", "K2", NULL, false, 0 },
    { "\"name\":\"b\",\"api_keys\":[\"k2\"]", "", NULL, false, 0 },
    { "\"name\":\"b\",\"api_keys\":[\"k1\"]", "k1", NULL, false, 1 },
    { "\"name\":\"b\",\"api_keys\":[\"\",\"k2\"]", "k2", "b", false, 1 },
    { "\"name\":\"b\",\"api_keys\":[7,\"k2\"]", "k2", "b", false, 1 },
    { "\"name\":\"b\",\"api_keys\":\"k2\"", "k2", NULL, false, 1 },
    { "\"name\":\"b c\",\"api_keys\":[\"k2\"]", "k2", NULL, false, 1 },
    { "\"name\":7,\"api_keys\":[\"k2\"]", "k2", NULL, false, 1 },
    { "\"name\":\"a\",\"api_keys\":[\"k2\"]", "k2", NULL, false, 1 },
    { "\"api_keys\":[\"k1\"]", "k1", NULL, false, 2 },
    { "\"name\":\"b\",\"api_keys\":[\"k2\"],\"rate_per_s\":\"5\"", "k2", "b",
      true, 1 },
    { "\"name\":\"b\",\"api_keys\":[\"k2\"],\"burst\":-1", "k2", "b", true,
      1 },
    { "\"name\":\"b\",\"api_keys\":[\"k2\"],\"allowed_regions\":7", "k2", "b",
      true, 1 },
    { "\"name\":\"b\",\"api_keys\":[\"k2\"],\"priority\":\"high\"", "k2", "b",
      false, 1 },
  };
  for (size_t i = 0; i < COUNT (cases); i++)
    {
      struct plan *plan;
      struct err err = { 0 };
      struct str text = str_printf (
          test_pool,
          "{\"version\":7,\"routes\":[],\"services\":[],\"tenants\":["
          "{\"name\":\"a\",\"api_keys\":[\"k1\"],\"priority\":2,"
          "\"rate_per_s\":5,\"burst\":6,\"allowed_regions\":[\"north\"]},"
          "{%s}]}",
          cases[i].tenant);
      CU_ASSERT_EQUAL_FATAL (decode_plan (text, &plan, &err), ERR_NONE);
      const struct tenant_table *tenants = plan_tenants (plan);
      CU_ASSERT_PTR_NOT_NULL_FATAL (tenants);
      const struct tenant *owner
          = tenant_table_find (tenants, str_from (cases[i].key));
      const struct tenant *first = tenant_table_get (tenants, 0);
      CU_ASSERT_EQUAL (owner != NULL, cases[i].owner != NULL);
      CU_ASSERT (!owner || str_equal (owner->name, str_from (cases[i].owner)));
      CU_ASSERT (!owner || (owner->refusal != NULL) == cases[i].is_refused);
      CU_ASSERT (first->priority == 2 && first->rate == 5
                 && first->burst == 6);
      CU_ASSERT (tenant_allows_region (first, STR ("north"))
                 && !tenant_allows_region (first, STR ("south")));
      CU_ASSERT_EQUAL (plan_problem_count (plan), cases[i].problems);
      plan_unref (plan);
    }
}

/* The key in a field, in each form that the scheme allows.  */
static void
test_key_fields (void)
{
  static const struct
  {
    const char *field;
    const char *key;
  } cases[] = {
    { "Token k1", "k1" },   { "token k1", "k1" }, { "Token   k1 ", "k1" },
    { "Token k 1", "k 1" }, { "Token", "" },      { "Token ", "" },
    { "Tokenk1", "" },      { "Bearer k1", "" },  { "", "" }
  };
  for (size_t i = 0; i < COUNT (cases); i++)
    CU_ASSERT (str_equal (decode_key_field (str_from (cases[i].field)),
                          str_from (cases[i].key)));
}

/* A record that is malformed, or has a wrong type, state or address, is
   refused, and the error names the value and what was expected; with a default
   in its place, requests would go to a wrong address.  */
static void
test_upstreams (void)
{
  static const struct
  {
    const char *text;
    const char *detail; /* NULL: the record is valid */
  } cases[] = {
    { "{\"service\":\"d\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\","
      "\"slots\":9,\"state\":\"ready\",\"cold_remaining_ms\":20,"
      "\"sequence\":4,\"born\":17}",
      NULL },
    { "{\"service\":\"d\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\","
      "\"slots\":9,\"state\":\"draining\"}",
      NULL },
    { "{\"service\":\"d\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\","
      "\"slots\":9,\"state\":\"asleep\"}",
      "state is \"asleep\", 'ready' or 'draining' expected" },
    { "{\"service\":\"d\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\","
      "\"slots\":9}",
      "state is missing, 'ready' or 'draining' expected" },
    { "{\"service\":\"d\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\","
      "\"slots\":\"9\",\"state\":\"ready\"}",
      "slots is \"9\", a number from 1 to 1000000 expected" },
    { "{\"service\":\"d\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\","
      "\"slots\":0,\"state\":\"ready\"}",
      "slots is 0, a number from 1 to 1000000 expected" },
    { "{\"service\":\"d\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\","
      "\"slots\":9,\"state\":\"ready\",\"cold_remaining_ms\":-1}",
      "cold_remaining_ms is -1, a number from 0 to 1e9 expected" },
    { "{\"service\":\"d\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\","
      "\"slots\":9,\"state\":\"ready\",\"cold_remaining_ms\":1e300}",
      "cold_remaining_ms is 1e300, a number from 0 to 1e9 expected" },
    { "{\"service\":\"d\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\","
      "\"slots\":1e300,\"state\":\"ready\"}",
      "slots is 1e300, a number from 1 to 1000000 expected" },
    { "{\"service\":\"d\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\","
      "\"slots\":9,\"state\":\"ready\",\"born\":1e300,\"sequence\":-1e300}",
      NULL },
    { "{\"service\":7,\"address\":\"10.0.0.1:80\",\"zone\":\"z\","
      "\"slots\":9,\"state\":\"ready\"}",
      "service is 7, a name expected" },
    { "{\"service\":\"d\",\"address\":\"10.0.0.1:80\",\"zone\":\"\","
      "\"slots\":9,\"state\":\"ready\"}",
      "zone is \"\", a name expected" },
    { "{\"service\":\"d\",\"address\":\"nowhere\",\"zone\":\"z\","
      "\"slots\":9,\"state\":\"ready\"}",
      "address is \"nowhere\", IP:PORT expected" },
    { "\xff\xfe", "not a JSON object" },
    { "", "not a JSON object" },
    { "{\"service\":\"d\"", "not a JSON object" },
  };
  for (size_t i = 0; i < COUNT (cases); i++)
    {
      struct fleet_record record;
      struct err err = { 0 };
      enum err_code code = decode_upstream (
          STR ("i-1"), str_from (cases[i].text), test_pool, &record, &err);
      CU_ASSERT_EQUAL (code == ERR_NONE, cases[i].detail == NULL);
      if (cases[i].detail)
        CU_ASSERT (str_starts_with (str_from (err.detail),
                                    str_from (cases[i].detail)));
      if (i == 0)
        CU_ASSERT (record.cold_remaining == 20000 && record.incarnation == 17
                   && record.slots == 9);
      if (i == 1)
        CU_ASSERT (record.leaving);
    }
}

/* An id that can't be sent in a header, or listed between separators, names no
   upstream, whatever its record.  */
static void
test_upstream_ids (void)
{
  static const struct
  {
    struct str id;
    bool is_valid;
  } cases[]
      = { { { "i-7f3a91c2", 10 }, true }, { { "desk.1_a~b:c/d@e", 16 }, true },
          { { "", 0 }, false },           { { "a&b", 3 }, false },
          { { "a+b", 3 }, false },        { { "a#b", 3 }, false },
          { { "a%b", 3 }, false },        { { "a b", 3 }, false },
          { { "i-1 ", 4 }, false },       { { "a,b", 3 }, false },
          { { "a;b|c", 5 }, false },      { { "a\r\nX: y", 7 }, false },
          { { "i-1\0", 4 }, false },      { { "\xc3\xa4", 2 }, false } };
  for (size_t i = 0; i < COUNT (cases); i++)
    {
      struct fleet_record record;
      struct err err = { 0 };
      enum err_code code = decode_upstream (
          cases[i].id,
          STR ("{\"service\":\"d\",\"address\":\"10.0.0.1:80\","
               "\"zone\":\"z\",\"slots\":9,\"state\":\"ready\"}"),
          test_pool, &record, &err);
      CU_ASSERT_EQUAL (code == ERR_NONE, cases[i].is_valid);
    }
}

/* A load report has the running and waiting requests, the slots and,
   optionally, the slowdown in percent; others are refused.  */
static void
test_load_reports (void)
{
  static const struct
  {
    const char *text;
    bool is_valid;
    int64_t values[4];
  } cases[] = { { "3,1,9,250", true, { 3, 1, 9, 250 } },
                { "3,0,8", true, { 3, 0, 8, 100 } },
                { "3,0", false, { 0 } },
                { "3,0,0,100", false, { 0 } },
                { "a,b,c", false, { 0 } },
                { "3,0,8,100,7", false, { 0 } },
                { "3,0,1000000", true, { 3, 0, 1000000, 100 } },
                { "3,0,10000007", false, { 0 } },
                { "99999999999999999999,0,8", false, { 0 } },
                { "", false, { 0 } } };
  for (size_t i = 0; i < COUNT (cases); i++)
    {
      struct load_report r;
      CU_ASSERT_EQUAL (decode_load (str_from (cases[i].text), &r),
                       cases[i].is_valid);
      if (cases[i].is_valid)
        CU_ASSERT (r.running == cases[i].values[0]
                   && r.waiting == cases[i].values[1]
                   && r.slots == cases[i].values[2]
                   && r.slowdown_percent == cases[i].values[3]);
    }
}

/* The affinity key is found among other cookies, and not taken from one whose
   name only begins alike.  A deadline that is not a number, or negative, is
   none.  */
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
    CU_ASSERT (str_equal (decode_affinity_key (str_from (cookies[i].cookies)),
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

/* Keys that only resemble those of the configuration, an evacuation or an
   upstream are not taken for them.  */
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

/* Writes the keys of the changes in TEXT to OUT, sorted; `-' marks a removal
   and `?' one that may be an expired lease.  */
static void
list_changed_keys (struct str text, char *out, size_t size)
{
  static const char *const keys[]
      = { "op/config", "servers/a", "servers/b", "servers/c", "x" };
  json_object *list = NULL;
  json_object *object = json_tokener_parse (text.data);
  size_t n = 0;
  out[0] = 0;
  json_object_object_get_ex (object, "events", &list);
  for (size_t k = 0; list && k < COUNT (keys); k++)
    for (size_t i = 0; i < json_object_array_length (list); i++)
      {
        json_object *event = json_object_array_get_idx (list, i), *key, *value;
        json_object_object_get_ex (event, "key", &key);
        if (strcmp (json_object_get_string (key), keys[k]) != 0)
          continue;
        const char *mark
            = json_object_object_get_ex (event, "lapsed", &value)      ? "?"
              : json_object_object_get_ex (event, "tombstone", &value) ? "-"
                                                                       : "";
        n += (size_t)snprintf (out + n, size - n, "%s%s ", mark, keys[k]);
      }
  json_object_put (object);
}

/* The keys of a listing that vanished, each followed by a space.  */
static char unlisted[128];

static void
on_unlisted (void *user_data, const struct store_item *removal)
{
  (void)user_data;
  CU_ASSERT (removal->is_removed);
  strncat (unlisted, removal->key.data, removal->key.size);
  strcat (unlisted, removal->may_be_expired ? "? " : " ");
}

/* Applies a listing of the COUNT items of LIST.  */
static void
put_listing (struct platform_mirror *mirror, const struct store_item *list,
             size_t count, int64_t index, bool may_be_expired)
{
  unlisted[0] = 0;
  platform_mirror_begin_listing (mirror);
  for (size_t i = 0; i < count; i++)
    platform_mirror_put (mirror, &list[i], may_be_expired);
  platform_mirror_end_listing (mirror, index, may_be_expired, on_unlisted,
                               NULL);
}

/* The changes that a reader of the store serves to the entries that do not
   read it: the last one of each key, without those that only renew a record.
   If one is missing, they use upstreams that have left.  */
static void
test_served_changes (void)
{
#define UPSTREAM(state, cold, count)                                          \
  "{\"service\":\"s\",\"address\":\"10.0.0.1:1\",\"zone\":\"z\",\"slots\":4," \
  "\"state\":\"" state "\",\"cold_remaining_ms\":" cold                       \
  ",\"sequence\":" count ",\"born\":1}"
  static const struct
  {
    const char *key;
    const char *value; /* NULL: removed */
    int64_t index;
    bool expired; /* the removal may be an expired lease */
  } changes[] = {
    { "op/config", "{}", 11, false },
    { "servers/a", UPSTREAM ("ready", "0", "1"), 12, false },
    { "servers/b", UPSTREAM ("ready", "0", "1"), 13, false },
    { "servers/a", UPSTREAM ("ready", "0", "2"), 14, false }, /* renewed */
    { "servers/b", UPSTREAM ("draining", "0", "2"), 15, false },
    { "servers/a", NULL, 16, true },
    { "servers/b", NULL, 17, false },
    { "servers/a", UPSTREAM ("ready", "0", "3"), 18,
      false }, /* listed again */
    { "servers/c", "unreadable", 19, false },
    { "servers/c", "unreadable", 20, false },
    { "servers/c", "unreadable!", 21, false },
    { "x", "1", 22, false },
    { "servers/a", UPSTREAM ("ready", "900", "4"), 23, false },
    { "servers/a", UPSTREAM ("ready", "400", "5"), 24, false },
  };
  static const struct
  {
    size_t applied;       /* of the changes, how many the mirror has */
    int64_t after;        /* the changes after this index are requested */
    const char *expected; /* NULL: the history does not reach back so far */
  } cases[] = { { 0, 9, NULL },
                { 0, 10, "" },
                { 3, 10, "op/config servers/a servers/b " },
                { 4, 12, "servers/b " },
                { 4, 13, "" },
                { 5, 13, "servers/b " },
                { 6, 13, "?servers/a servers/b " },
                { 7, 15, "?servers/a -servers/b " },
                { 8, 15, "servers/a -servers/b " },
                { 8, 17, "servers/a " },
                { 10, 19, "" },
                { 11, 20, "servers/c " },
                { 12, 21, "x " },
                { 14, 23, "servers/a " },
                { 14, 24, "" } };
  for (size_t c = 0; c < COUNT (cases); c++)
    {
      struct platform_mirror *mirror = platform_mirror_create (0);
      char keys[128];
      put_listing (mirror, NULL, 0, 10, false);
      for (size_t i = 0; i < cases[c].applied; i++)
        {
          struct store_item item = { .key = str_from (changes[i].key),
                                     .value = str_from (changes[i].value),
                                     .index = changes[i].index,
                                     .is_removed = changes[i].value == NULL };
          platform_mirror_put (mirror, &item, changes[i].expired);
          platform_mirror_set_index (mirror, changes[i].index);
        }
      struct str text = platform_mirror_changes_json (mirror, cases[c].after,
                                                      5000, test_pool);
      CU_ASSERT_EQUAL (text.size == 0, cases[c].expected == NULL);
      if (text.size > 0)
        {
          list_changed_keys (text, keys, sizeof keys);
          CU_ASSERT_STRING_EQUAL (keys, cases[c].expected);
          CU_ASSERT_PTR_NOT_NULL (strstr (text.data, "\"age_ms\":5"));
        }
      platform_mirror_destroy (mirror);
    }
#undef UPSTREAM
}

/* The mirror keeps a limited number of removals; an entry whose index is older
   than those has to request a listing.  Changes served to it would lack
   removals, and it would keep upstreams that have left.  */
static void
test_served_removals_bounded (void)
{
  struct platform_mirror *mirror = platform_mirror_create (256);
  put_listing (mirror, NULL, 0, 1, false);
  for (int64_t index = 2; index < 1002; index++)
    {
      struct store_item item
          = { .key = str_printf (test_pool, "servers/%lld", (long long)index),
              .index = index,
              .is_removed = true };
      platform_mirror_put (mirror, &item, false);
      platform_mirror_set_index (mirror, index);
    }
  CU_ASSERT_EQUAL (platform_mirror_changes_json (mirror, 1, 0, test_pool).size,
                   0);
  CU_ASSERT_EQUAL (
      platform_mirror_changes_json (mirror, 700, 0, test_pool).size, 0);
  CU_ASSERT (platform_mirror_changes_json (mirror, 950, 0, test_pool).size
             > 0);
  platform_mirror_destroy (mirror);
}

/* A listing counts as the changes since what was known: keys that are not in
   it are removed, those that are the same are no news, and entries with an
   older index are still served changes.  Without that, every listing of a
   reader makes all entries of its zone list the store at the same moment.  */
static void
test_listing_again (void)
{
  static const struct
  {
    struct store_item items[3];
    size_t count;
    int64_t index;
    bool may_be_expired;
    const char *unlisted;
    const char *changes; /* since index 12 */
  } cases[] = {
    { { { { "servers/a", 9 }, { "1", 1 }, 11, false, false },
        { { "servers/b", 9 }, { "1", 1 }, 12, false, false } },
      2,
      20,
      false,
      "",
      "" },
    { { { { "servers/b", 9 }, { "1", 1 }, 12, false, false } },
      1,
      20,
      false,
      "servers/a ",
      "-servers/a " },
    { { { { "servers/b", 9 }, { "1", 1 }, 12, false, false } },
      1,
      20,
      true,
      "servers/a? ",
      "?servers/a " },
    { { { { "servers/a", 9 }, { "2", 1 }, 17, false, false },
        { { "servers/b", 9 }, { "1", 1 }, 12, false, false },
        { { "servers/c", 9 }, { "1", 1 }, 19, false, false } },
      3,
      20,
      false,
      "",
      "servers/a servers/c " },
    /* One of before what is known removes nothing that was written since.  */
    { { { { "servers/a", 9 }, { "0", 1 }, 10, false, false } },
      1,
      11,
      false,
      "",
      "" },
  };
  for (size_t c = 0; c < COUNT (cases); c++)
    {
      static const struct store_item known[]
          = { { { "servers/a", 9 }, { "1", 1 }, 11, false, false },
              { { "servers/b", 9 }, { "1", 1 }, 12, false, false } };
      struct platform_mirror *mirror = platform_mirror_create (0);
      char keys[128];
      put_listing (mirror, known, COUNT (known), 12, false);
      put_listing (mirror, cases[c].items, cases[c].count, cases[c].index,
                   cases[c].may_be_expired);
      CU_ASSERT_STRING_EQUAL (unlisted, cases[c].unlisted);
      struct str text
          = platform_mirror_changes_json (mirror, 12, 0, test_pool);
      CU_ASSERT_FATAL (text.size > 0);
      list_changed_keys (text, keys, sizeof keys);
      CU_ASSERT_STRING_EQUAL (keys, cases[c].changes);
      platform_mirror_destroy (mirror);
    }
}

/* A response that comes late holds writes that are older than what is known;
   applied, an upstream that is leaving would get requests again.  */
static void
test_outdated_items (void)
{
  struct platform_mirror *mirror = platform_mirror_create (0);
  struct store_item leaving
      = { STR ("servers/a"), STR ("leaving"), 15, false, false };
  struct store_item ready
      = { STR ("servers/a"), STR ("ready"), 12, false, false };
  struct store_item removed = { STR ("servers/a"), STR (""), 18, true, false };
  put_listing (mirror, &ready, 1, 12, false);
  CU_ASSERT_EQUAL (platform_mirror_put (mirror, &leaving, false),
                   MIRROR_CHANGED);
  CU_ASSERT_EQUAL (platform_mirror_put (mirror, &ready, false),
                   MIRROR_OUTDATED);
  CU_ASSERT_EQUAL (platform_mirror_put (mirror, &leaving, false),
                   MIRROR_RENEWED);
  CU_ASSERT_EQUAL (platform_mirror_put (mirror, &removed, false),
                   MIRROR_CHANGED);
  CU_ASSERT_EQUAL (platform_mirror_put (mirror, &leaving, false),
                   MIRROR_OUTDATED);
  platform_mirror_destroy (mirror);
}

/* For how long an upstream wants no requests, in any form that a peer may
   send.  */
static void
test_retry_after (void)
{
#define NOON "Sun, 06 Nov 1994 12:00:00 GMT"
  static const struct
  {
    const char *text;
    const char *date; /* of the response */
    int64_t clock_s;  /* local, after noon of that day */
    int64_t wait_ms;  /* -1: refused */
  } cases[] = {
    { "", NOON, 0, -1 },
    { "0", NOON, 0, 0 },
    { "0.0", NOON, 0, 0 },
    { "2", NOON, 0, 2000 },
    { "007", NOON, 0, 7000 },
    { "1.5", NOON, 0, 1500 },
    { "0.25", NOON, 0, 250 },
    { "2.", NOON, 0, 2000 },
    { ".5", NOON, 0, -1 },
    { "3600", NOON, 0, 3600000 },
    { "3601", NOON, 0, 3600000 },
    { "99999999999999999999999999999999999999999999999999", NOON, 0, 3600000 },
    { "0.00000000000000000000000000000000000000000000001", NOON, 0, 0 },
    { "-1", NOON, 0, -1 },
    { "+1", NOON, 0, -1 },
    { "1e3", NOON, 0, -1 },
    { "0x10", NOON, 0, -1 },
    { "inf", NOON, 0, -1 },
    { "nan", NOON, 0, -1 },
    { "1,5", NOON, 0, -1 },
    { "2 s", NOON, 0, -1 },
    { "1.2.3", NOON, 0, -1 },
    { "soon", NOON, 0, -1 },
    /* The date of the response counts, not the local clock.  */
    { "Sun, 06 Nov 1994 12:00:05 GMT", NOON, 7200, 5000 },
    { "Sunday, 06-Nov-94 12:00:05 GMT", NOON, 0, 5000 },
    { "Sun Nov  6 12:00:05 1994", NOON, 0, 5000 },
    { NOON, NOON, -100, 0 },
    { "Sun, 06 Nov 1994 11:59:59 GMT", NOON, -100, 0 },
    { "Mon, 07 Nov 1994 12:00:00 GMT", NOON, 0, 3600000 },
    { "Sun, 06 Nov 1994 12:00:05 GMT", "", 2, 3000 },
    { "Sun, 06 Nov 1994 12:00:05 GMT", "today", 2, 3000 },
    { "Sun, 06 Nov 1994 12:00:05 GMT", "", 9, 0 },
    { "Sun, 36 Nov 1994 12:00:05 GMT", NOON, 0, -1 },
    { "Sun, 06 Nov 1994 12:00:05 GMT and then some more of it, without an end",
      NOON, 0, -1 },
  };
  static const apr_time_t noon = TIMER_SEC (784123200);
  for (size_t i = 0; i < COUNT (cases); i++)
    {
      apr_time_t wait = -1;
      bool is_valid = decode_retry_after (
          str_from (cases[i].text), str_from (cases[i].date),
          noon + TIMER_SEC (cases[i].clock_s), &wait);
      CU_ASSERT_EQUAL (is_valid, cases[i].wait_ms >= 0);
      CU_ASSERT_EQUAL (
          wait, cases[i].wait_ms >= 0 ? TIMER_MS (cases[i].wait_ms) : -1);
      if (is_valid != (cases[i].wait_ms >= 0)
          || (is_valid && wait != TIMER_MS (cases[i].wait_ms)))
        printf ("# '%s': %d, %lld\n", cases[i].text, is_valid,
                (long long)wait);
    }
#undef NOON
}

/* Only the value that the platform names says that an upstream is leaving.  */
static void
test_leaving_header (void)
{
  static const struct
  {
    const char *text;
    bool is_leaving;
  } cases[] = { { "1", true },  { "", false },     { "0", false },
                { "2", false }, { "true", false }, { "11", false } };
  for (size_t i = 0; i < COUNT (cases); i++)
    CU_ASSERT_EQUAL (decode_leaving (str_from (cases[i].text)),
                     cases[i].is_leaving);
}

const struct unit_test platform_tests[] = {
  { "a configuration becomes a plan", test_plan },
  { "a malformed configuration is refused", test_malformed_plans },
  { "what is not known concerns one route", test_containment },
  { "a malformed record of an upstream is refused", test_upstreams },
  { "an odd id names no upstream", test_upstream_ids },
  { "a malformed load report is refused", test_load_reports },
  { "other cookies and malformed deadlines are not used", test_headers },
  { "a wait is read in each of its forms, and bounded", test_retry_after },
  { "only one value says that an upstream is leaving", test_leaving_header },
  { "keys that only resemble known ones are not used", test_keys },
  { "no change is missing for entries that do not read the store",
    test_served_changes },
  { "a listing counts as the changes since what was known",
    test_listing_again },
  { "a late response does not undo what is known", test_outdated_items },
  { "an entry that is too far behind has to request a listing",
    test_served_removals_bounded },
  { "tenants and their keys", test_tenants },
  { "a key is read in each form of its field", test_key_fields },
  { NULL, NULL }
};
