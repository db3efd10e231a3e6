#include "tests/unit/fixture.h"
#include "tests/unit/unit.h"

#include <apr_strings.h>

static struct str
get_text (json_object *object, const char *name)
{
  json_object *value = NULL;
  json_object_object_get_ex (object, name, &value);
  return str_from (json_object_get_string (value));
}

struct snapshot *
fixture_snapshot (const char *json, struct faults *faults)
{
  struct snapshot *snapshot = snapshot_create (1);
  json_object *list = json_tokener_parse (json);
  for (size_t i = 0; i < json_object_array_length (list); i++)
    {
      json_object *item = json_object_array_get_idx (list, i);
      json_object *spec = NULL;
      json_object_object_get_ex (item, "spec", &spec);
      snapshot_add (snapshot,
                    resource_kind_from_name (get_text (item, "kind")),
                    get_text (item, "name"), 1, spec, faults);
    }
  json_object_put (list);
  snapshot_finish (snapshot, faults);
  return snapshot;
}

struct snapshot *
fixture_shop (int upstreams, int slots, const char *service_fields)
{
  static const char *const zones[] = { "north-a", "south-a" };
  char *json = apr_psprintf (
      test_pool,
      "[{'kind':'region','name':'north','spec':{}},"
      "{'kind':'region','name':'south','spec':{}},"
      "{'kind':'zone','name':'north-a','spec':{'region':'north'}},"
      "{'kind':'zone','name':'south-a','spec':{'region':'south'}},"
      "{'kind':'link','name':'l','spec':{'between':['north','south'],"
      "'bytes_per_second':1000000,'latency_ms':10}},"
      "{'kind':'service','name':'shop','spec':{'hosts':['shop.example']%s}}",
      service_fields);
  for (int z = 0; z < 2; z++)
    json = apr_psprintf (
        test_pool,
        "%s,{'kind':'upstream-group','name':'%s','spec':{'service':'shop',"
        "'zone':'%s','slots':%d,'ramp_ms':1000}}",
        json, zones[z], zones[z], slots);
  for (int i = 0; i < 2 * upstreams; i++)
    json = apr_psprintf (
        test_pool,
        "%s,{'kind':'upstream','name':'%c%d','spec':{'group':'%s',"
        "'address':'127.0.%d.%d:9'}}",
        json, i < upstreams ? 'n' : 's', i % upstreams, zones[i >= upstreams],
        i / 250, i % 250 + 1);
  json = apr_pstrcat (test_pool, json, "]", NULL);
  for (char *c = json; *c; c++)
    if (*c == '\'')
      *c = '"';
  struct faults *faults = faults_create (test_pool);
  struct snapshot *snapshot = fixture_snapshot (json, faults);
  CU_ASSERT_EQUAL_FATAL (faults_count (faults), 0);
  return snapshot;
}
