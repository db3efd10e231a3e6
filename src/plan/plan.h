/* Routing configuration: which hosts and paths go to which services, and how.

   A plan is one version of the operators' configuration.  Whoever reads a
   format of it creates a plan, adds the services and routes, and finishes it;
   from then on it does not change:

     struct plan *plan = plan_create (7);
     struct plan_service *service = plan_add_service (plan, STR ("orders"));
     service->max_connections = 100;
     plan_add_route (plan, &row);
     if (plan_finish (plan, &err) != ERR_NONE) ...

   For each request, the route is looked up and one of its services taken:

     struct plan_route *route
         = plan_find_route (plan, STR ("shop.example"), STR ("/cart/3"));
     if (route)
       service_name = plan_next_weighted_service (route)->service;

   Requests reference the plan that they began with, so that a newer version
   does not change them.

   What this version cannot read or use in one route affects that route alone:
   its requests get the strictest treatment that the rest of it allows, or are
   refused.  Each such fault is recorded with plan_add_problem, and
   docs/design/09-platform.md lists the treatment of each.

   Units: microseconds, unless stated otherwise.  Threads: one thread.  Errors:
   plan_finish refuses a plan with a route that belongs to no host, since
   nobody could tell which requests it concerns.  */
#ifndef PLAN_PLAN_H
#define PLAN_PLAN_H

#include "base/err.h"
#include "base/str.h"
#include "plan/tenant.h"

#include <apr_time.h>
#include <stdint.h>

/* How often a request of a route may run.  */
enum plan_kind
{
  PLAN_KIND_UNKNOWN, /* of a later version: at most once, and sent only once */
  PLAN_SAFE,         /* idempotent: may run more than once */
  PLAN_UNSAFE,       /* at most once */
  PLAN_UPLOAD,       /* at most once, with a large body */
  PLAN_DOWNLOAD      /* idempotent, with a large response */
};

/* One service of a route, and its share of the route's requests.  */
struct plan_weighted_service
{
  struct str service;
  int64_t weight;         /* its share is this over the sum of all weights */
  bool is_missing;        /* not in the plan: its share is refused; set by
                             plan_finish */
  int64_t current_weight; /* of the smooth weighted round robin; 0 at first */
};

struct plan_route
{
  struct str name;
  struct str host;   /* compared without regard to case */
  struct str prefix; /* of the path; begins and ends with a slash */
  enum plan_kind kind;
  /* Longest time until a final response; 0: only the caller's limits it.  */
  apr_time_t timeout;
  /* A response within it has its full value; 0: none configured.  */
  apr_time_t target_latency;
  int64_t priority; /* 0 is served first */
  /* Times that a request may be sent, the first one included.  Does not keep
     an attempt from being repeated that the upstream certainly did not run. */
  int64_t max_attempts;
  /* Upstreams are faster for objects that they handled recently.  */
  bool sticky;
  /* Requests need no key where the plan has tenants.  */
  bool is_public;
  /* Where it may be served; empty: anywhere.  */
  struct str_list regions;
  struct plan_weighted_service *weighted_services;
  size_t weighted_service_count;
  /* Why all its requests are refused; NULL: they are served.  Set by the
     reader of the configuration or by plan_finish.  */
  const char *refusal;
};

/* Something in the configuration that this version cannot read or use.  */
struct plan_problem
{
  struct str object;  /* name of the route or service */
  const char *detail; /* the value, and what was expected */
  const char *effect; /* on the requests of the object */
};

struct plan_service
{
  struct str name;
  struct str health_path; /* of its upstreams; empty: none */
  apr_time_t cold_time;   /* for which an upstream is cold after a start */
  /* Requests per second that a cold upstream can serve.  */
  double cold_rate;
};

/* Limits on what a caller may send; 0: not set.  The limits on the head and
   on idle connections are those of the gateway's listener, which exists before
   any plan (gateway.c).  */
struct plan_limits
{
  int64_t body_bytes;
};

struct plan;

/* Creates an empty plan with one reference.  VERSION: the configuration's own
   number, which grows with each change.  */
struct plan *plan_create (int64_t version);
/* References PLAN, and returns it.  */
struct plan *plan_ref (struct plan *plan);
/* Gives up a reference; the last one frees PLAN.  PLAN may be NULL.  */
void plan_unref (struct plan *plan);
/* Returns the pool for the strings and arrays of the rows.  */
apr_pool_t *plan_pool (struct plan *plan);
/* Returns the limits, to be filled before plan_finish.  */
struct plan_limits *plan_limits (struct plan *plan);
/* Makes PLAN one that has tenants, whose requests carry keys, and returns the
   empty table of them.  */
struct tenant_table *plan_create_tenants (struct plan *plan);
/* Returns the tenants, or NULL if the plan has none and requests need no keys.
 */
const struct tenant_table *plan_tenants (const struct plan *plan);
/* Returns the version that was given to plan_create.  */
int64_t plan_version (const struct plan *plan);
/* Adds the service NAME, which is not copied, and returns it to be filled.  */
struct plan_service *plan_add_service (struct plan *plan, struct str name);
/* Adds a copy of ROW; its strings and arrays are not copied.  */
struct plan_route *plan_add_route (struct plan *plan,
                                   const struct plan_route *row);
/* Records that OBJECT has a fault: FORMAT and what follows state the value and
   what was expected.  EFFECT, which is not copied, is what that means for the
   requests.  */
void plan_add_problem (struct plan *plan, struct str object,
                       const char *effect, const char *format, ...)
    __attribute__ ((format (printf, 4, 5)));
/* Returns the number of problems, and the problem NUMBER below it.  */
size_t plan_problem_count (const struct plan *plan);
const struct plan_problem *plan_problem (const struct plan *plan,
                                         size_t number);
/* Makes all routes ready for plan_find_route.  A route that can't be served is
   marked with its `refusal'.  After an error the plan must only be released.
 */
enum err_code plan_finish (struct plan *plan, struct err *err);
/* Starts the round robins of PLAN, which plan_finish made ready, at positions
   that follow from SEED, a different one in each process: else the first
   requests of all processes would go to the same services.  */
void plan_spread_weights (struct plan *plan, uint64_t seed);
/* Returns the route of HOST, which has no port, with the longest prefix of
   PATH, which has no query; or NULL.  */
struct plan_route *plan_find_route (const struct plan *plan, struct str host,
                                    struct str path);
/* Returns whether HOST has a route whose prefix can't be read, so that a
   request that matches no route may belong to that one.  */
bool plan_has_unplaced_route (const struct plan *plan, struct str host);
/* Returns whether a request of KIND may run more than once.  */
bool plan_kind_is_idempotent (enum plan_kind kind);
/* Returns the service NAME, or NULL.  */
const struct plan_service *plan_service (const struct plan *plan,
                                         struct str name);
/* Returns the longest `cold_time' of all services; 0 without services.  */
apr_time_t plan_max_cold_time (const struct plan *plan);
/* Returns the number of routes that were added.  */
size_t plan_route_count (const struct plan *plan);
/* Returns the service for the next request of ROUTE, by smooth weighted round
   robin: over any run of requests each service gets its share, to within one
   request.  Called once for each request, since it advances the round.  */
const struct plan_weighted_service *
plan_next_weighted_service (struct plan_route *route);
/* Returns whether requests of ROUTE may be served in REGION.  */
bool plan_route_allows_region (const struct plan_route *route,
                               struct str region);

#endif
