/* The configuration's resources: validation, drains, routes, changes and the
   stored document.  Guards against an invalid resource that comes into force,
   changes that are made in part, and unsafe requests that are repeated.  */
#include "tests/unit/fixture.h"
#include "tests/unit/unit.h"

#include <string.h>

/* clang-format off */
#define BASE \
  "{\"kind\":\"region\",\"name\":\"r\",\"spec\":{}}," \
  "{\"kind\":\"region\",\"name\":\"q\",\"spec\":{}}," \
  "{\"kind\":\"zone\",\"name\":\"z\",\"spec\":{\"region\":\"r\"}}," \
  "{\"kind\":\"service\",\"name\":\"s\",\"spec\":{\"hosts\":[\"s.x\"]}}," \
  "{\"kind\":\"upstream-group\",\"name\":\"g\"," \
  "\"spec\":{\"service\":\"s\",\"zone\":\"z\",\"slots\":2}}," \
  "{\"kind\":\"upstream\",\"name\":\"u\"," \
  "\"spec\":{\"group\":\"g\",\"address\":\"127.0.0.1:9\"}}"
#define BASE_AND(kind, name, spec) \
  "[" BASE ",{\"kind\":\"" kind "\",\"name\":\"" name "\",\"spec\":" spec "}]"
/* clang-format on */

/* A configuration with one invalid resource gives exactly one fault, with the
   path of the invalid field.  */
static void
test_validation (void)
{
  static const struct
  {
    const char *json;
    const char *path; /* of the only fault; NULL: none */
  } cases[] = {
    { "[" BASE "]", NULL },
    { BASE_AND ("zone", "y", "{\"region\":\"none\"}"), "zone/y.region" },
    { BASE_AND ("link", "l",
                "{\"between\":[\"r\",\"q\"],\"bytes_per_second\":1000}"),
      NULL },
    { BASE_AND ("link", "l",
                "{\"between\":[\"r\",\"r\"],\"bytes_per_second\":1000}"),
      "link/l.between" },
    { BASE_AND ("link", "l",
                "{\"between\":[\"r\"],\"bytes_per_second\":1000}"),
      "link/l.between" },
    { BASE_AND ("link", "l", "{\"between\":[\"r\",\"q\"]}"),
      "link/l.bytes_per_second" },
    { BASE_AND ("service", "t", "{\"hosts\":[\"s.x\"]}"), "service/t.hosts" },
    { BASE_AND ("service", "t", "{\"hosts\":[]}"), "service/t.hosts" },
    { BASE_AND ("service", "t",
                "{\"hosts\":[\"t.x\"],\"routes\":[{\"path\":\"a\"}]}"),
      "service/t.routes.path" },
    { BASE_AND ("upstream-group", "h",
                "{\"service\":\"s\",\"zone\":\"z\",\"slots\":5,"
                "\"connections\":4}"),
      "upstream-group/h.connections" },
    { BASE_AND ("upstream", "v",
                "{\"group\":\"g\",\"address\":\"127.0.0.1:9\"}"),
      "upstream/v.address" },
    { BASE_AND ("upstream", "v",
                "{\"group\":\"f\",\"address\":\"127.0.0.1:8\"}"),
      "upstream/v.group" },
    { BASE_AND ("policy", "p",
                "{\"service\":\"s\",\"regions\":[{\"region\":\"o\"}]}"),
      "policy/p.regions.region" },
    { BASE_AND ("drain", "d", "{\"kind\":\"zone\",\"target\":\"y\"}"),
      "drain/d.target" },
    { BASE_AND ("drain", "d", "{\"kind\":\"entry\",\"target\":\"any\"}"),
      NULL },
    { BASE_AND ("drain", "d/e", "{\"kind\":\"zone\",\"target\":\"z\"}"),
      "drain/d/e" },
  };
  for (size_t i = 0; i < COUNT (cases); i++)
    {
      struct faults *faults = faults_create (test_pool);
      struct snapshot *snapshot = fixture_snapshot (cases[i].json, faults);
      CU_ASSERT_EQUAL (faults_count (faults), cases[i].path ? 1 : 0);
      if (cases[i].path && faults_count (faults) > 0)
        CU_ASSERT_STRING_EQUAL (faults_at (faults, 0)->path.data,
                                cases[i].path);
      snapshot_unref (snapshot);
    }
}

/* A drain of a zone or region drains the upstreams in it, and no others; one
   of an entry drains no upstream of the same name.  */
static void
test_drains (void)
{
  static const struct
  {
    const char *kind, *target;
    bool drained;
  } cases[] = { { "upstream", "u", true },
                { "zone", "z", true },
                { "region", "r", true },
                { "region", "q", false },
                { "entry", "u", false } };
  for (size_t i = 0; i < COUNT (cases); i++)
    {
      struct faults *faults = faults_create (test_pool);
      struct str json = str_printf (
          test_pool,
          "[" BASE ",{\"kind\":\"drain\",\"name\":\"d\",\"spec\":{"
          "\"kind\":\"%s\",\"target\":\"%s\"}}]",
          cases[i].kind, cases[i].target);
      struct snapshot *snapshot = fixture_snapshot (json.data, faults);
      const struct upstream *u
          = snapshot_find (snapshot, KIND_UPSTREAM, STR ("u"));
      CU_ASSERT_EQUAL (u->drained, cases[i].drained);
      snapshot_unref (snapshot);
    }
}

/* Routes are matched by path prefix and method.  Unless a route's `repeat'
   says otherwise, only requests with a safe method may be repeated; others
   could be executed twice.  */
static void
test_routes (void)
{
  static const struct
  {
    const char *method, *path;
    int route; /* -1: none */
    bool repeatable;
  } cases[] = {
    { "POST", "/jobs/1", 0, false }, { "GET", "/jobs/1", 1, true },
    { "POST", "/echo", 2, true },    { "GET", "/other", -1, true },
    { "POST", "/other", -1, false }, { "DELETE", "/jobs", -1, false },
    { "GET", "/never", 3, false },
  };
  struct snapshot *snapshot = fixture_shop (
      1, 1,
      ",'routes':[{'path':'/jobs','methods':['POST']},{'path':'/jobs',"
      "'methods':['GET']},{'path':'/echo','repeat':'always'},"
      "{'path':'/never','repeat':'never'}]");
  const struct service *service
      = snapshot_service_for_host (snapshot, STR ("shop.example:7600"));
  CU_ASSERT_PTR_NOT_NULL_FATAL (service);
  CU_ASSERT_PTR_NULL (snapshot_service_for_host (snapshot, STR ("")));
  for (size_t i = 0; i < COUNT (cases); i++)
    {
      struct str method = str_from (cases[i].method);
      const struct route *route
          = service_find_route (service, method, str_from (cases[i].path));
      const struct route *routes = service->routes.items;
      CU_ASSERT (route
                 == (cases[i].route < 0 ? NULL : &routes[cases[i].route]));
      CU_ASSERT_EQUAL (route_allows_repeat (route, method),
                       cases[i].repeatable);
    }
  snapshot_unref (snapshot);
}

#define LONG_NAME                                                             \
  STR ("aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa")
#define TOO_LONG_NAME                                                         \
  STR ("aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa" \
       "aa")

/* A batch of changes is applied as a whole or not at all, and only if each
   resource has the version that its change is based on, so that no operator
   overwrites a change that they have not seen.  */
static void
test_document (void)
{
  struct document *document = document_create_empty ();
  struct change_conflict conflict;
  json_object *empty = json_object_new_object ();
  json_object *zone = json_tokener_parse ("{\"region\":\"r\"}");
  const struct
  {
    const char *id;
    struct change changes[2];
    size_t count;
    enum err_code code;
    int64_t version; /* afterwards */
  } cases[] = {
    { "1", { { KIND_ZONE, STR ("z"), false, 0, zone } }, 1, ERR_INVALID, 0 },
    { "2",
      { { KIND_REGION, STR ("r"), false, 0, empty },
        { KIND_ZONE, STR ("z"), false, 0, zone } },
      2,
      ERR_NONE,
      1 },
    { "3",
      { { KIND_REGION, STR ("r"), false, 0, empty } },
      1,
      ERR_CONFLICT,
      1 },
    { "4", { { KIND_ZONE, STR ("z"), false, 1, zone } }, 1, ERR_NONE, 2 },
    { "5", { { KIND_ZONE, STR ("z"), false, 1, zone } }, 1, ERR_CONFLICT, 2 },
    { "6", { { KIND_REGION, STR ("r"), true, 1, NULL } }, 1, ERR_INVALID, 2 },
    { "7",
      { { KIND_ZONE, STR ("z"), true, 2, NULL },
        { KIND_ZONE, STR ("z"), false, 0, zone } },
      2,
      ERR_INVALID,
      2 },
    { "8",
      { { KIND_REGION, STR ("r"), true, 1, NULL },
        { KIND_ZONE, STR ("z"), true, 2, NULL } },
      2,
      ERR_NONE,
      3 },
    { "9", { { KIND_ZONE, STR ("z"), true, 2, NULL } }, 1, ERR_CONFLICT, 3 },
    /* A name of 63 bytes is the longest; a longer one that begins alike once
       replaced its resource.  */
    { "10", { { KIND_REGION, LONG_NAME, false, 0, empty } }, 1, ERR_NONE, 4 },
    { "11",
      { { KIND_REGION, TOO_LONG_NAME, false, 0, empty } },
      1,
      ERR_INVALID,
      4 },
    { "12",
      { { KIND_REGION, TOO_LONG_NAME, true, 4, NULL } },
      1,
      ERR_CONFLICT,
      4 },
  };
  for (size_t i = 0; i < COUNT (cases); i++)
    {
      struct document *next = NULL;
      enum err_code code = document_apply_changes (
          document, str_from (cases[i].id), cases[i].changes, cases[i].count,
          &next, &conflict, faults_create (test_pool));
      CU_ASSERT_EQUAL (code, cases[i].code);
      if (next)
        {
          struct str text = document_serialize (next, test_pool);
          document_destroy (next);
          next = document_parse (text, faults_create (test_pool));
          CU_ASSERT_PTR_NOT_NULL_FATAL (next);
          document_destroy (document);
          document = next;
        }
      CU_ASSERT_EQUAL (document->version, cases[i].version);
      CU_ASSERT_EQUAL (
          document_operation_version (document, str_from (cases[i].id)),
          code == ERR_NONE ? cases[i].version : 0);
    }
  json_object_put (empty);
  json_object_put (zone);
  document_destroy (document);
}

/* A stored document that is malformed, of another format, or with an invalid
   resource never comes into force.  */
static void
test_stored_text (void)
{
  static const char *const malformed[]
      = { "",
          "[]",
          "{}",
          "{\"format\":2,\"version\":1}",
          "{\"format\":1,\"version\":-1}",
          "{\"format\":1,\"version\":1,\"zones\":{\"z\":{\"version\":1,"
          "\"spec\":{\"region\":\"none\"}}}}",
          "{\"format\":1,\"version\":1,\"zones\":{\"z\":7}}" };
  for (size_t i = 0; i < COUNT (malformed); i++)
    CU_ASSERT_PTR_NULL (
        document_parse (str_from (malformed[i]), faults_create (test_pool)));
}

const struct unit_test resource_tests[]
    = { { "an invalid resource gives a fault with its path", test_validation },
        { "a drain drains the upstreams of its target only", test_drains },
        { "a request is repeated only if its method or route allows it",
          test_routes },
        { "changes are made as a whole, on the version they are based on",
          test_document },
        { "a malformed stored document is rejected", test_stored_text },
        { NULL, NULL } };
