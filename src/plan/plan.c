#include "plan/plan.h"

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
  apr_hash_t *services;         /* struct plan_service by name */
  apr_array_header_t *routes;   /* struct plan_route * */
  apr_hash_t *routes_by_prefix; /* struct plan_route by host and prefix */
};

/* constants */

enum
{
  /* Host and prefix; plan_finish refuses longer ones, so a longer part of a
     path matches no route.  */
  KEY_MAX_BYTES = 1024
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

static enum err_code
check_route (const struct plan *plan, const struct plan_route *route,
             struct err *err)
{
  const char *name = route->name.data;
  size_t size = route->prefix.size;
  if (route->kind == PLAN_KIND_INVALID)
    return err_set (err, ERR_INVALID, "check route", name,
                    "its kind is unknown: safe, unsafe or upload expected");
  if (route->host.size == 0)
    return err_set (err, ERR_INVALID, "check route", name, "it has no host");
  if (size == 0 || route->prefix.data[0] != '/'
      || route->prefix.data[size - 1] != '/')
    return err_set (err, ERR_INVALID, "check route", name,
                    "prefix '%.*s' does not begin and end with a slash",
                    STR_ARGS (route->prefix));
  if (route->timeout < 0 || route->target_latency < 0
      || route->max_attempts < 1)
    return err_set (err, ERR_INVALID, "check route", name,
                    "timeout %lld ms, target latency %lld ms or %lld "
                    "attempts: at least 0, 0 and 1 expected",
                    (long long)route->timeout / 1000,
                    (long long)route->target_latency / 1000,
                    (long long)route->max_attempts);
  int64_t weights = 0;
  for (size_t i = 0; i < route->weighted_service_count; i++)
    {
      if (!plan_service (plan, route->weighted_services[i].service))
        return err_set (err, ERR_INVALID, "check route", name,
                        "service '%.*s' is not in the configuration",
                        STR_ARGS (route->weighted_services[i].service));
      if (route->weighted_services[i].weight < 0)
        return err_set (err, ERR_INVALID, "check route", name,
                        "weight %lld of service '%.*s' is below zero",
                        (long long)route->weighted_services[i].weight,
                        STR_ARGS (route->weighted_services[i].service));
      weights += route->weighted_services[i].weight;
    }
  if (weights <= 0)
    return err_set (err, ERR_INVALID, "check route", name,
                    "no service has a weight above zero");
  return ERR_NONE;
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

enum err_code
plan_finish (struct plan *plan, struct err *err)
{
  for (int i = 0; i < plan->routes->nelts; i++)
    {
      struct plan_route *route
          = APR_ARRAY_IDX (plan->routes, i, struct plan_route *);
      if (check_route (plan, route, err) != ERR_NONE)
        return err->code;
      char *key
          = apr_palloc (plan->pool, route->host.size + route->prefix.size + 1);
      size_t size = write_key (key, route->host, route->prefix);
      if (size == 0)
        return err_set (err, ERR_LIMIT, "check route", route->name.data,
                        "host and prefix have %zu bytes, at most %d expected",
                        route->host.size + route->prefix.size, KEY_MAX_BYTES);
      if (apr_hash_get (plan->routes_by_prefix, key, (apr_ssize_t)size))
        return err_set (
            err, ERR_INVALID, "check route", route->name.data,
            "another route has the same host '%.*s' and prefix '%.*s'",
            STR_ARGS (route->host), STR_ARGS (route->prefix));
      apr_hash_set (plan->routes_by_prefix, key, (apr_ssize_t)size, route);
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
