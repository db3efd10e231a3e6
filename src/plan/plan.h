/* Traffic plan: which hosts and paths go to which services, and how.

   A plan is one version of the operators' configuration, immutable once it
   is built.  Whoever reads one format of it fills a plan row by row:

     struct plan *plan = plan_create (7);
     struct plan_service *service = plan_add_service (plan, STR ("orders"));
     struct plan_route *route = plan_add_route (plan, &row);
     if (plan_finish (plan, &err) != ERR_NONE) ...
     route = plan_find (plan, STR ("shop.example"), STR ("/cart/3"));

   Units: microseconds.  Threads: one thread.  Errors: plan_finish names the
   first row that cannot be used.  */
#ifndef PLAN_PLAN_H
#define PLAN_PLAN_H

#include "base/err.h"
#include "base/str.h"

#include <apr_time.h>
#include <stdint.h>

/* What may be done twice.  */
enum plan_kind
{
  PLAN_KIND_INVALID,
  PLAN_SAFE,   /* may run more than once */
  PLAN_UNSAFE, /* at most once for each request */
  PLAN_UPLOAD  /* as PLAN_UNSAFE, with a large body */
};

/* One service of a route, and its share of the route's requests.  */
struct plan_part
{
  struct str service;
  int64_t weight;
  int64_t current_weight; /* of the smooth weighted turn, see plan_take_part */
};

struct plan_route
{
  struct str name;
  struct str host;
  struct str prefix; /* begins and ends with a slash */
  enum plan_kind kind;
  apr_time_t timeout; /* longest time until a final answer; 0: none */
  apr_time_t aim;     /* an answer within it has its full value */
  int64_t priority;   /* 0 is served first */
  int64_t max_attempts;
  bool sticky;             /* an upstream that knows the object is faster */
  struct str_list regions; /* where it may be served; empty: anywhere */
  struct plan_part *parts;
  size_t part_count;
};

struct plan_service
{
  struct str name;
  int64_t max_connections; /* to each upstream, from all callers */
  apr_time_t cold_time;    /* after a start */
  double cold_per_s;       /* requests that a cold upstream can serve */
};

/* What a caller may send.  */
struct plan_limits
{
  int64_t header_bytes;
  int64_t body_bytes;
  int64_t header_timeout_ms;
  int64_t idle_timeout_ms;
};

struct plan;

struct plan *plan_create (int64_t version);
struct plan *plan_ref (struct plan *plan);
void plan_unref (struct plan *plan);
/* Returns the pool in which the rows' strings live.  */
apr_pool_t *plan_pool (struct plan *plan);
struct plan_limits *plan_limits (struct plan *plan);
int64_t plan_version (const struct plan *plan);
/* Adds a copy of the row; its strings are referenced.  */
struct plan_service *plan_add_service (struct plan *plan, struct str name);
struct plan_route *plan_add_route (struct plan *plan,
                                   const struct plan_route *row);
/* Checks all rows; the plan must not be used after an error.  */
enum err_code plan_finish (struct plan *plan, struct err *err);
/* Returns the route of HOST with the longest prefix of PATH, or NULL.  */
struct plan_route *plan_find (const struct plan *plan, struct str host,
                              struct str path);
const struct plan_service *plan_service (const struct plan *plan,
                                         struct str name);
/* Returns the longest time for which an upstream of any service is cold.  */
apr_time_t plan_longest_cold (const struct plan *plan);
size_t plan_route_count (const struct plan *plan);
/* Returns the part whose turn it is: over any run of requests each part gets
   its weight's share, to within one request.  */
const struct plan_part *plan_take_part (struct plan_route *route);
bool plan_allows_region (const struct plan_route *route, struct str region);

#endif
