/* Health and load of upstreams, asked from their own endpoints.

   An upstream whose service names a health path is asked at the service's
   interval.  An answer {"state":"leaving"} stops new work to it; its load
   ("load_percent") is only a hint, because reports lag and may mislead.  An
   upstream that does not answer is left to what calls to it show.

   Call order: health_create, health_apply with each configuration.
   Threads: the control loop's thread only.  */
#ifndef PLATFORM_HEALTH_H
#define PLATFORM_HEALTH_H

#include "base/http_client.h"
#include "resource/resource.h"

struct health;

struct health_desc
{
  struct loop *loop;
  struct http_client *client;
  void (*leaving) (void *part, struct str upstream, bool leaving);
  void (*load) (void *part, struct str upstream, int64_t percent);
  void *part;
};

struct health *health_create (apr_pool_t *pool,
                              const struct health_desc *desc);
void health_destroy (struct health *health);
void health_apply (struct health *health, struct snapshot *snapshot);

#endif
