#include "plan/plan.h"

#include "base/hash.h"

#include <apr_hash.h>
#include <apr_tables.h>
#include <stdlib.h>
#include <string.h>

/* types */

struct plan
{
  apr_pool_t *pool;
  int references;
  int64_t version;
  struct plan_limits limits;
  struct tenant_table *tenants; /* NULL: requests need no keys */
  apr_hash_t *services;         /* struct plan_service by name */
  apr_array_header_t *routes;   /* struct plan_route * */
  apr_hash_t *routes_by_prefix; /* struct plan_route by host and prefix */
  apr_hash_t *unplaced_hosts;   /* set, in lower case */
  apr_array_header_t *problems; /* struct plan_problem */
};

/* constants */

enum
{
  /* Host and prefix; plan_finish refuses longer ones, so a longer part of a
     path matches no route.  */
  KEY_MAX_BYTES = 1024,
  /* Positions of a round robin at which it may start.  A longer one than this
     is close to its weights after as many requests.  */
  POSITIONS_MAX = 1000
};

/* private functions */

/* Writes the key of HOST, in lower case, and PREFIX to OUT, which has
   KEY_MAX_BYTES.  Returns its size, or 0 if it does not fit.  */
static size_t
write_key (char *out, struct str host, struct str prefix)
{
  if (host.size + prefix.size > KEY_MAX_BYTES)
    return 0;
  for (size_t i = 0; i < host.size; i++)
    out[i] = (char)(host.data[i] >= 'A' && host.data[i] <= 'Z'
                        ? host.data[i] + ('a' - 'A')
                        : host.data[i]);
  memcpy (out + host.size, prefix.data, prefix.size);
  return host.size + prefix.size;
}

static const char effect_refused[] = "its requests are refused";

/* Marks ROUTE as one whose requests are refused for REASON.  */
static void
refuse_route (struct plan *plan, struct plan_route *route, const char *reason)
{
  if (!route->refusal)
    route->refusal = reason;
  plan_add_problem (plan, route->name, effect_refused, "%s", reason);
}

/* Marks the services of ROUTE that the plan does not have.  */
static void
check_services (struct plan *plan, struct plan_route *route)
{
  int64_t weights = 0;
  int64_t usable_weights = 0;
  for (size_t i = 0; i < route->weighted_service_count; i++)
    {
      struct plan_weighted_service *weighted = &route->weighted_services[i];
      weighted->is_missing = !plan_service (plan, weighted->service);
      if (weighted->weight < 0)
        {
          refuse_route (plan, route, "a weight of the route is below zero");
          return;
        }
      weights += weighted->weight;
      usable_weights += weighted->is_missing ? 0 : weighted->weight;
      if (weighted->is_missing)
        plan_add_problem (plan, route->name, "its share is refused",
                          "service '%.*s' is not in the configuration",
                          STR_ARGS (weighted->service));
    }
  if (weights <= 0)
    refuse_route (plan, route, "no service of the route has a weight");
  else if (usable_weights <= 0)
    refuse_route (plan, route,
                  "the configuration has no service of the route");
}

static bool
is_valid_prefix (struct str prefix)
{
  return prefix.size > 0 && prefix.data[0] == '/'
         && prefix.data[prefix.size - 1] == '/';
}

/* Makes ROUTE one that can be found by host and prefix; returns false if its
   prefix does not allow that.  */
static bool
place_route (struct plan *plan, struct plan_route *route)
{
  char *key
      = apr_palloc (plan->pool, route->host.size + route->prefix.size + 1);
  size_t size = is_valid_prefix (route->prefix)
                    ? write_key (key, route->host, route->prefix)
                    : 0;
  if (size == 0)
    return false;
  struct plan_route *other
      = apr_hash_get (plan->routes_by_prefix, key, (apr_ssize_t)size);
  if (other)
    refuse_route (plan, other, "two routes have the same host and prefix");
  else
    apr_hash_set (plan->routes_by_prefix, key, (apr_ssize_t)size, route);
  return true;
}

/* Records that HOST has a route without a usable prefix.  */
static void
add_unplaced_host (struct plan *plan, struct str host)
{
  char *key = apr_palloc (plan->pool, host.size + 1);
  size_t size = write_key (key, host, STR (""));
  apr_hash_set (plan->unplaced_hosts, key, (apr_ssize_t)size, "");
}

/* public functions */

struct plan *
plan_create (int64_t version)
{
  apr_pool_t *pool;
  apr_pool_create (&pool, NULL);
  struct plan *plan = apr_pcalloc (pool, sizeof *plan);
  plan->pool = pool;
  plan->references = 1;
  plan->version = version;
  plan->services = apr_hash_make (pool);
  plan->routes = apr_array_make (pool, 16, sizeof (struct plan_route *));
  plan->routes_by_prefix = apr_hash_make (pool);
  plan->unplaced_hosts = apr_hash_make (pool);
  plan->problems = apr_array_make (pool, 4, sizeof (struct plan_problem));
  return plan;
}

struct plan *
plan_ref (struct plan *plan)
{
  plan->references++;
  return plan;
}

void
plan_unref (struct plan *plan)
{
  if (plan && --plan->references == 0)
    apr_pool_destroy (plan->pool);
}

apr_pool_t *
plan_pool (struct plan *plan)
{
  return plan->pool;
}

struct plan_limits *
plan_limits (struct plan *plan)
{
  return &plan->limits;
}

struct tenant_table *
plan_create_tenants (struct plan *plan)
{
  if (!plan->tenants)
    plan->tenants = tenant_table_create (plan->pool);
  return plan->tenants;
}

const struct tenant_table *
plan_tenants (const struct plan *plan)
{
  return plan->tenants;
}

int64_t
plan_version (const struct plan *plan)
{
  return plan->version;
}

struct plan_service *
plan_add_service (struct plan *plan, struct str name)
{
  struct plan_service *service = apr_pcalloc (plan->pool, sizeof *service);
  service->name = name;
  apr_hash_set (plan->services, name.data, (apr_ssize_t)name.size, service);
  return service;
}

struct plan_route *
plan_add_route (struct plan *plan, const struct plan_route *row)
{
  struct plan_route *route = apr_palloc (plan->pool, sizeof *route);
  *route = *row;
  APR_ARRAY_PUSH (plan->routes, struct plan_route *) = route;
  return route;
}

void
plan_add_problem (struct plan *plan, struct str object, const char *effect,
                  const char *format, ...)
{
  va_list args;
  va_start (args, format);
  APR_ARRAY_PUSH (plan->problems, struct plan_problem)
      = (struct plan_problem){ str_dup (plan->pool, object),
                               str_vformat (plan->pool, format, args),
                               effect };
  va_end (args);
}

size_t
plan_problem_count (const struct plan *plan)
{
  return (size_t)plan->problems->nelts;
}

const struct plan_problem *
plan_problem (const struct plan *plan, size_t number)
{
  return &APR_ARRAY_IDX (plan->problems, number, struct plan_problem);
}

enum err_code
plan_finish (struct plan *plan, struct err *err)
{
  for (int i = 0; i < plan->routes->nelts; i++)
    {
      struct plan_route *route
          = APR_ARRAY_IDX (plan->routes, i, struct plan_route *);
      if (route->host.size == 0 || route->host.size > KEY_MAX_BYTES)
        return err_set (err, ERR_INVALID, "check route", route->name.data,
                        "its host has %zu bytes, 1 to %d expected",
                        route->host.size, KEY_MAX_BYTES);
      if (!place_route (plan, route))
        {
          add_unplaced_host (plan, route->host);
          plan_add_problem (
              plan, route->name, "requests that match no route are refused",
              "prefix '%.*s' of the route is not a path of at most %d bytes "
              "with a slash at both ends",
              STR_ARGS (route->prefix), KEY_MAX_BYTES);
        }
      else if (!route->refusal)
        check_services (plan, route);
    }
  return ERR_NONE;
}

struct plan_route *
plan_find_route (const struct plan *plan, struct str host, struct str path)
{
  char key[KEY_MAX_BYTES];
  /* Every prefix ends with a slash, so PATH is cut behind each, longest first.
   */
  for (size_t size = path.size; size > 0; size--)
    {
      if (path.data[size - 1] != '/')
        continue;
      size_t key_size = write_key (key, host, str_view (path.data, size));
      struct plan_route *route
          = key_size ? apr_hash_get (plan->routes_by_prefix, key,
                                     (apr_ssize_t)key_size)
                     : NULL;
      if (route)
        return route;
    }
  return NULL;
}

bool
plan_has_unplaced_route (const struct plan *plan, struct str host)
{
  char key[KEY_MAX_BYTES];
  size_t size = write_key (key, host, STR (""));
  return size > 0
         && apr_hash_get (plan->unplaced_hosts, key, (apr_ssize_t)size);
}

bool
plan_kind_is_idempotent (enum plan_kind kind)
{
  return kind == PLAN_SAFE || kind == PLAN_DOWNLOAD;
}

void
plan_spread_weights (struct plan *plan, uint64_t seed)
{
  for (int i = 0; i < plan->routes->nelts; i++)
    {
      struct plan_route *route
          = APR_ARRAY_IDX (plan->routes, i, struct plan_route *);
      int64_t positions = 0;
      for (size_t s = 0; s < route->weighted_service_count; s++)
        {
          int64_t weight = route->weighted_services[s].weight;
          positions += weight < POSITIONS_MAX ? weight : POSITIONS_MAX;
        }
      if (positions > POSITIONS_MAX)
        positions = POSITIONS_MAX;
      /* Less than two also where weights are missing or can't be used.  */
      if (route->refusal || positions < 2)
        continue;
      uint64_t skipped = hash_mix (seed, (uint64_t)i) % (uint64_t)positions;
      while (skipped-- > 0)
        plan_next_weighted_service (route);
    }
}

const struct plan_service *
plan_service (const struct plan *plan, struct str name)
{
  return apr_hash_get (plan->services, name.data, (apr_ssize_t)name.size);
}

apr_time_t
plan_max_cold_time (const struct plan *plan)
{
  apr_time_t longest = 0;
  for (apr_hash_index_t *i = apr_hash_first (NULL, plan->services); i;
       i = apr_hash_next (i))
    {
      const struct plan_service *service = apr_hash_this_val (i);
      if (service->cold_time > longest)
        longest = service->cold_time;
    }
  return longest;
}

size_t
plan_route_count (const struct plan *plan)
{
  return (size_t)plan->routes->nelts;
}

const struct plan_weighted_service *
plan_next_weighted_service (struct plan_route *route)
{
  struct plan_weighted_service *best = &route->weighted_services[0];
  int64_t total_weight = 0;
  if (route->weighted_service_count == 1)
    return best;
  /* Each service gains its weight, and the one that is taken loses what all
     gained.  */
  for (size_t i = 0; i < route->weighted_service_count; i++)
    {
      struct plan_weighted_service *service = &route->weighted_services[i];
      service->current_weight += service->weight;
      total_weight += service->weight;
      if (service->current_weight > best->current_weight)
        best = service;
    }
  best->current_weight -= total_weight;
  return best;
}

bool
plan_route_allows_region (const struct plan_route *route, struct str region)
{
  return route->regions.count == 0
         || str_list_contains (&route->regions, region);
}
