/* Active health checks: polls the health endpoints of upstreams for their
   state and load.

   Each upstream whose service has a health path is sent GET requests at the
   service's interval.  A response {"state":"leaving"} stops new calls to the
   upstream until another state is reported; its "load_percent" is only a hint,
   because reports lag and may be wrong.  Responses with status 200 or 503
   count.  A check that fails otherwise, or has no response after a second, has
   no effect: whether the upstream is healthy is then judged by the outcome of
   calls to it.

     struct health *health = health_create (pool, &desc);
     health_apply (health, snapshot);     for each new configuration
     health_destroy (health);

   Threads: the control loop's thread only; the callbacks run there too.  */
#ifndef PLATFORM_HEALTH_H
#define PLATFORM_HEALTH_H

#include "base/http_client.h"
#include "resource/resource.h"

struct health;

struct health_desc
{
  struct loop *loop;
  struct http_client *client;
  /* Called for every response that has a state, or a load, in percent.
     UPSTREAM is the name of the resource, valid during the call.  */
  void (*report_leaving) (void *user_data, struct str upstream, bool leaving);
  void (*report_load) (void *user_data, struct str upstream, int64_t percent);
  void *user_data;
};

/* Creates the checks in POOL; there are none before health_apply.  */
struct health *health_create (apr_pool_t *pool,
                              const struct health_desc *desc);
/* Stops all checks; HEALTH may be NULL.  */
void health_destroy (struct health *health);
/* Starts, keeps and stops checks so that they match the upstreams and services
   of SNAPSHOT, which is not referenced after the call.  Called for each new
   configuration.  */
void health_apply (struct health *health, struct snapshot *snapshot);

#endif
