#include "resource/resource.h"

#include <apr_strings.h>
#include <stdlib.h>
#include <string.h>

/* constants */

enum
{
  MAX_CALLS = 10000000,
  DAY_MS = 86400000
};

#define MAX_BYTES INT64_C (1000000000000)

static const char *const call_classes[] = { "short", "long", NULL };
static const char *const repeat_rules[]
    = { "safe-methods", "always", "never", NULL };
static const char *const answer_checks[] = { "echo", "new-connection", NULL };
static const char *const spill_rules[] = { "nearest", "none", NULL };
static const char *const drain_kinds[]
    = { "upstream", "zone", "region", "entry", NULL };

static const struct field region_fields[]
    = { FIELD_NUMBER (region, call_cap, 0, MAX_CALLS, 0, "calls"), { 0 } };

static const struct field zone_fields[] = { { .name = "region",
                                              .type = FIELD_NAME,
                                              FIELD_OFFSET (zone, region_name),
                                              .required = true },
                                            { 0 } };

static const struct field link_fields[]
    = { { .name = "between",
          .type = FIELD_NAME_LIST,
          FIELD_OFFSET (region_link, between),
          .required = true },
        { .name = "bytes_per_second",
          .type = FIELD_INT,
          FIELD_OFFSET (region_link, bytes_per_second),
          .min_value = 1000,
          .max_value = MAX_BYTES,
          .required = true,
          .unit = "bytes a second" },
        FIELD_NUMBER (region_link, latency_ms, 0, 10000, 0, "ms"),
        { 0 } };

static const struct field route_fields[]
    = { { .name = "path",
          .type = FIELD_TEXT,
          FIELD_OFFSET (route, path),
          .required = true },
        { .name = "methods",
          .type = FIELD_NAME_LIST,
          FIELD_OFFSET (route, methods) },
        { .name = "class",
          .type = FIELD_CHOICE,
          FIELD_OFFSET (route, call_class),
          .choices = call_classes },
        { .name = "repeat",
          .type = FIELD_CHOICE,
          FIELD_OFFSET (route, repeat),
          .choices = repeat_rules },
        FIELD_NUMBER (route, deadline_ms, 0, DAY_MS, 0, "ms"),
        { 0 } };

static const struct field objective_fields[]
    = { FIELD_NUMBER (objective, target_ppm, 1, 999999, 999000, "ppm"),
        FIELD_NUMBER (objective, latency_ms, 1, DAY_MS, 1000, "ms"),
        { 0 } };

static const struct field service_fields[]
    = { { .name = "hosts",
          .type = FIELD_NAME_LIST,
          FIELD_OFFSET (service, hosts),
          .required = true },
        FIELD_NUMBER (service, call_cap, 0, MAX_CALLS, 0, "calls"),
        FIELD_NUMBER (service, max_body_bytes, 0, MAX_BYTES, 1073741824,
                      "bytes"),
        FIELD_NUMBER (service, deadline_ms, 1, DAY_MS, 30000, "ms"),
        { .name = "answer_check",
          .type = FIELD_CHOICE,
          FIELD_OFFSET (service, response_check),
          .choices = answer_checks },
        FIELD_NUMBER (service, not_started_status, 0, 599, 0, NULL),
        FIELD_NUMBER (service, cancel_ms, 0, 60000, 50, "ms"),
        FIELD_NUMBER (service, long_slots_percent, 1, 100, 80, "percent"),
        { .name = "health_path",
          .type = FIELD_TEXT,
          FIELD_OFFSET (service, health_path) },
        FIELD_NUMBER (service, health_interval_ms, 100, 60000, 1000, "ms"),
        { .name = "objective",
          .type = FIELD_OBJECT,
          FIELD_OFFSET (service, objective),
          .subfields = objective_fields },
        { .name = "routes",
          .type = FIELD_OBJECT_LIST,
          FIELD_OFFSET (service, routes),
          .subfields = route_fields,
          .item_size = sizeof (struct route) },
        { 0 } };

static const struct field group_fields[]
    = { { .name = "service",
          .type = FIELD_NAME,
          FIELD_OFFSET (group, service_name),
          .required = true },
        { .name = "zone",
          .type = FIELD_NAME,
          FIELD_OFFSET (group, zone_name),
          .required = true },
        { .name = "slots",
          .type = FIELD_INT,
          FIELD_OFFSET (group, slots),
          .min_value = 1,
          .max_value = 100000,
          .required = true,
          .unit = "calls" },
        FIELD_NUMBER (group, connections, 1, 100000, 400, NULL),
        FIELD_NUMBER (group, ramp_ms, 0, DAY_MS, 0, "ms"),
        { 0 } };

static const struct field upstream_fields[] = {
  { .name = "group",
    .type = FIELD_NAME,
    FIELD_OFFSET (upstream, group_name),
    .required = true },
  { .name = "zone", .type = FIELD_NAME, FIELD_OFFSET (upstream, zone_name) },
  { .name = "address",
    .type = FIELD_ADDRESS,
    FIELD_OFFSET (upstream, address),
    .required = true },
  { 0 }
};

static const struct field weight_fields[]
    = { { .name = "region",
          .type = FIELD_NAME,
          FIELD_OFFSET (region_weight, region),
          .required = true },
        FIELD_NUMBER (region_weight, weight, 0, 1000000, 1, NULL),
        { 0 } };

static const struct field policy_fields[]
    = { { .name = "service",
          .type = FIELD_NAME,
          FIELD_OFFSET (policy, service_name),
          .required = true },
        { .name = "regions",
          .type = FIELD_OBJECT_LIST,
          FIELD_OFFSET (policy, regions),
          .subfields = weight_fields,
          .item_size = sizeof (struct region_weight) },
        { .name = "spill",
          .type = FIELD_CHOICE,
          FIELD_OFFSET (policy, spill),
          .choices = spill_rules },
        FIELD_NUMBER (policy, lookup_lifetime_ms, 100, 3600000, 2000, "ms"),
        FIELD_NUMBER (policy, hedge_percent, 0, 100, 5, "percent"),
        { 0 } };

static const struct field drain_fields[]
    = { { .name = "kind",
          .type = FIELD_CHOICE,
          FIELD_OFFSET (drain, kind),
          .choices = drain_kinds,
          .required = true },
        { .name = "target",
          .type = FIELD_NAME,
          FIELD_OFFSET (drain, target),
          .required = true },
        { .name = "reason", .type = FIELD_TEXT, FIELD_OFFSET (drain, reason) },
        { 0 } };

const struct resource_kind_info resource_kinds[KIND_COUNT] = {
  [KIND_REGION]
  = { "region", "regions", region_fields, sizeof (struct region) },
  [KIND_ZONE] = { "zone", "zones", zone_fields, sizeof (struct zone) },
  [KIND_LINK] = { "link", "links", link_fields, sizeof (struct region_link) },
  [KIND_SERVICE]
  = { "service", "services", service_fields, sizeof (struct service) },
  [KIND_GROUP] = { "upstream-group", "upstream-groups", group_fields,
                   sizeof (struct group) },
  [KIND_UPSTREAM]
  = { "upstream", "upstreams", upstream_fields, sizeof (struct upstream) },
  [KIND_POLICY]
  = { "policy", "policies", policy_fields, sizeof (struct policy) },
  [KIND_DRAIN] = { "drain", "drains", drain_fields, sizeof (struct drain) },
};

/* private functions */

/* Arguments of the resolve functions; KIND and HEAD are those of the resource
   that is resolved.  */
struct resolve_context
{
  struct snapshot *snapshot;
  struct faults *faults;
  enum resource_kind kind;
  const struct resource *head;
};

/* Adds a fault of FIELD of the resource that R resolves.  */
static void
add_fault (const struct resolve_context *r, const char *field,
           struct str found, const char *expected)
{
  faults_add (r->faults,
              str_printf (r->snapshot->pool, "%s/%s.%s",
                          resource_kinds[r->kind].kind, r->head->name.data,
                          field),
              found, "%s", expected);
}

/* Returns the resource of KIND called NAME; adds a fault of FIELD and returns
   NULL if there is none.  */
static void *
resolve_name (const struct resolve_context *r, enum resource_kind kind,
              struct str name, const char *field)
{
  void *found = snapshot_find (r->snapshot, kind, name);
  if (!found)
    add_fault (r, field, name,
               str_format (r->snapshot->pool, "the name of an existing %s",
                           resource_kinds[kind].kind));
  return found;
}

static void
resolve_zone (const struct resolve_context *r, void *item)
{
  struct zone *zone = item;
  zone->region = resolve_name (r, KIND_REGION, zone->region_name, "region");
}

static void
resolve_link (const struct resolve_context *r, void *item)
{
  struct region_link *link = item;
  if (link->between.count != 2
      || str_equal (link->between.items[0], link->between.items[1]))
    {
      add_fault (r, "between", STR ("this list"), "two different regions");
      return;
    }
  for (int i = 0; i < 2; i++)
    link->ends[i]
        = resolve_name (r, KIND_REGION, link->between.items[i], "between");
  SNAPSHOT_EACH (r->snapshot, KIND_LINK, struct region_link, other)
  {
    if (other < link && other->ends[0] && link->ends[0]
        && ((other->ends[0] == link->ends[0]
             && other->ends[1] == link->ends[1])
            || (other->ends[0] == link->ends[1]
                && other->ends[1] == link->ends[0])))
      add_fault (r, "between", other->head.name,
                 "regions that no other link joins");
  }
}

static void
resolve_service (const struct resolve_context *r, void *item)
{
  struct service *service = item;
  if (service->hosts.count == 0)
    add_fault (r, "hosts", STR ("an empty list"), "at least one host name");
  for (size_t i = 0; i < service->hosts.count; i++)
    {
      struct str host = service->hosts.items[i];
      struct service *other = apr_hash_get (r->snapshot->services_by_host,
                                            host.data, (apr_ssize_t)host.size);
      if (other)
        add_fault (r, "hosts", host, "a host name that no service has yet");
      else
        apr_hash_set (r->snapshot->services_by_host, host.data,
                      (apr_ssize_t)host.size, service);
    }
  const struct route *routes = service->routes.items;
  for (size_t i = 0; i < service->routes.count; i++)
    if (routes[i].path.size > 0 && routes[i].path.data[0] != '/')
      add_fault (r, "routes.path", routes[i].path,
                 "a path that starts with /");
}

static void
resolve_group (const struct resolve_context *r, void *item)
{
  struct group *group = item;
  group->service
      = resolve_name (r, KIND_SERVICE, group->service_name, "service");
  group->zone = resolve_name (r, KIND_ZONE, group->zone_name, "zone");
  if (group->connections < group->slots)
    add_fault (r, "connections", STR ("fewer than slots"),
               "at least as many connections as slots");
}

static void
resolve_upstream (const struct resolve_context *r, void *item)
{
  struct upstream *upstream = item;
  upstream->group
      = resolve_name (r, KIND_GROUP, upstream->group_name, "group");
  if (upstream->zone_name.size > 0)
    upstream->zone = resolve_name (r, KIND_ZONE, upstream->zone_name, "zone");
  else if (upstream->group)
    upstream->zone = upstream->group->zone;
  SNAPSHOT_EACH (r->snapshot, KIND_UPSTREAM, struct upstream, other)
  {
    if (other < upstream && str_equal (other->address, upstream->address))
      add_fault (r, "address", other->address,
                 "an address that no other upstream has");
  }
}

static void
resolve_policy (const struct resolve_context *r, void *item)
{
  struct policy *policy = item;
  struct service *service
      = resolve_name (r, KIND_SERVICE, policy->service_name, "service");
  if (service && service->policy)
    add_fault (r, "service", policy->service_name,
               "a service that has no other policy");
  else if (service)
    service->policy = policy;
  struct region_weight *weights = policy->regions.items;
  for (size_t i = 0; i < policy->regions.count; i++)
    resolve_name (r, KIND_REGION, weights[i].region, "regions.region");
}

static void
resolve_drain (const struct resolve_context *r, void *item)
{
  static const enum resource_kind kinds[DRAIN_KIND_COUNT]
      = { KIND_UPSTREAM, KIND_ZONE, KIND_REGION,
          KIND_COUNT /* entries are not resources */ };
  struct drain *drain = item;
  enum resource_kind kind = kinds[drain->kind];
  if (kind != KIND_COUNT)
    resolve_name (r, kind, drain->target, "target");
}

static void (*const resolvers[KIND_COUNT]) (const struct resolve_context *,
                                            void *)
    = { [KIND_ZONE] = resolve_zone,         [KIND_LINK] = resolve_link,
        [KIND_SERVICE] = resolve_service,   [KIND_GROUP] = resolve_group,
        [KIND_UPSTREAM] = resolve_upstream, [KIND_POLICY] = resolve_policy,
        [KIND_DRAIN] = resolve_drain };

static void
set_drained (struct snapshot *snapshot)
{
  SNAPSHOT_EACH (snapshot, KIND_UPSTREAM, struct upstream, u)
  {
    u->drained
        = snapshot_has_drain (snapshot, DRAIN_UPSTREAM, u->head.name)
          || snapshot_has_drain (snapshot, DRAIN_ZONE, u->zone->head.name)
          || snapshot_has_drain (snapshot, DRAIN_REGION,
                                 u->zone->region->head.name);
  }
}

static void
set_indexes (struct snapshot *snapshot)
{
  size_t i = 0;
  SNAPSHOT_EACH (snapshot, KIND_REGION, struct region, r) r->index = i++;
  i = 0;
  SNAPSHOT_EACH (snapshot, KIND_ZONE, struct zone, z) z->index = i++;
  i = 0;
  SNAPSHOT_EACH (snapshot, KIND_LINK, struct region_link, l) l->index = i++;
  i = 0;
  SNAPSHOT_EACH (snapshot, KIND_SERVICE, struct service, s) s->index = i++;
  i = 0;
  SNAPSHOT_EACH (snapshot, KIND_UPSTREAM, struct upstream, u) u->index = i++;
}

static void *
append_item (struct snapshot *snapshot, enum resource_kind kind)
{
  struct field_list *list = &snapshot->lists[kind];
  size_t size = resource_kinds[kind].size;
  size_t n = list->count;
  if ((n & (n - 1)) == 0)
    {
      /* The capacity doubles whenever the count reaches a power of two.  */
      char *items = apr_pcalloc (snapshot->pool, (n ? 2 * n : 1) * size);
      if (n > 0)
        memcpy (items, list->items, n * size);
      list->items = items;
    }
  list->count++;
  return (char *)list->items + n * size;
}

static void
index_names (struct snapshot *snapshot)
{
  for (int kind = 0; kind < KIND_COUNT; kind++)
    for (size_t i = 0; i < snapshot->lists[kind].count; i++)
      {
        struct resource *head = (void *)((char *)snapshot->lists[kind].items
                                         + i * resource_kinds[kind].size);
        apr_hash_set (snapshot->names[kind], head->name.data,
                      (apr_ssize_t)head->name.size, head);
      }
}

/* public functions */

enum resource_kind
resource_kind_from_name (struct str text)
{
  for (int kind = 0; kind < KIND_COUNT; kind++)
    if (str_equal (text, str_from (resource_kinds[kind].kind))
        || str_equal (text, str_from (resource_kinds[kind].plural)))
      return (enum resource_kind)kind;
  return KIND_COUNT;
}

struct snapshot *
snapshot_create (int64_t version)
{
  apr_pool_t *pool;
  apr_pool_create_unmanaged_ex (&pool, NULL, NULL);
  struct snapshot *snapshot = apr_pcalloc (pool, sizeof *snapshot);
  snapshot->pool = pool;
  snapshot->version = version;
  snapshot->references = 1;
  snapshot->services_by_host = apr_hash_make (pool);
  for (int kind = 0; kind < KIND_COUNT; kind++)
    snapshot->names[kind] = apr_hash_make (pool);
  return snapshot;
}

void
snapshot_add (struct snapshot *snapshot, enum resource_kind kind,
              struct str name, int64_t version, json_object *spec,
              struct faults *faults)
{
  struct str path = str_printf (snapshot->pool, "%s/%.*s",
                                resource_kinds[kind].kind, STR_ARGS (name));
  if (!field_is_name (name))
    faults_add (faults, path, name,
                "a name of 1 to 63 letters, digits, '-', '_' or '.'");
  struct resource *item = append_item (snapshot, kind);
  field_read (resource_kinds[kind].fields, spec, path, item, snapshot->pool,
              faults);
  item->name = str_dup (snapshot->pool, name);
  item->version = version;
}

void
snapshot_finish (struct snapshot *snapshot, struct faults *faults)
{
  index_names (snapshot);
  for (int kind = 0; kind < KIND_COUNT; kind++)
    for (size_t i = 0; resolvers[kind] && i < snapshot->lists[kind].count; i++)
      {
        struct resource *item = (void *)((char *)snapshot->lists[kind].items
                                         + i * resource_kinds[kind].size);
        struct resolve_context r
            = { snapshot, faults, (enum resource_kind)kind, item };
        resolvers[kind](&r, item);
      }
  if (faults_count (faults) > 0)
    return;
  set_indexes (snapshot);
  set_drained (snapshot);
}

struct snapshot *
snapshot_ref (struct snapshot *snapshot)
{
  __atomic_add_fetch (&snapshot->references, 1, __ATOMIC_RELAXED);
  return snapshot;
}

void
snapshot_unref (struct snapshot *snapshot)
{
  if (snapshot
      && __atomic_sub_fetch (&snapshot->references, 1, __ATOMIC_ACQ_REL) == 0)
    apr_pool_destroy (snapshot->pool);
}

void *
snapshot_find (const struct snapshot *snapshot, enum resource_kind kind,
               struct str name)
{
  return apr_hash_get (snapshot->names[kind], name.data,
                       (apr_ssize_t)name.size);
}

bool
snapshot_has_drain (const struct snapshot *snapshot, enum drain_kind kind,
                    struct str target)
{
  SNAPSHOT_EACH (snapshot, KIND_DRAIN, const struct drain, drain)
  {
    if (drain->kind == (int)kind && str_equal (drain->target, target))
      return true;
  }
  return false;
}

const struct service *
snapshot_service_for_host (const struct snapshot *snapshot, struct str host)
{
  const char *colon = memchr (host.data, ':', host.size);
  size_t size = colon ? (size_t)(colon - host.data) : host.size;
  return apr_hash_get (snapshot->services_by_host, host.data,
                       (apr_ssize_t)size);
}

const struct route *
service_find_route (const struct service *service, struct str method,
                    struct str path)
{
  const struct route *routes = service->routes.items;
  for (size_t i = 0; i < service->routes.count; i++)
    if (str_starts_with (path, routes[i].path)
        && (routes[i].methods.count == 0
            || str_list_contains (&routes[i].methods, method)))
      return &routes[i];
  return NULL;
}

bool
route_allows_repeat (const struct route *route, struct str method)
{
  int rule = route ? route->repeat : REPEAT_SAFE_METHODS;
  if (rule != REPEAT_SAFE_METHODS)
    return rule == REPEAT_ALWAYS;
  return str_equal (method, STR ("GET")) || str_equal (method, STR ("HEAD"))
         || str_equal (method, STR ("OPTIONS"))
         || str_equal (method, STR ("TRACE"));
}

const struct region_link *
snapshot_find_link (const struct snapshot *snapshot, const struct region *a,
                    const struct region *b)
{
  SNAPSHOT_EACH (snapshot, KIND_LINK, const struct region_link, link)
  {
    if ((link->ends[0] == a && link->ends[1] == b)
        || (link->ends[0] == b && link->ends[1] == a))
      return link;
  }
  return NULL;
}
