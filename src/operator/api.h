/* The operators' resource API: HTTP on a listener of its own.

   Every request but /healthz needs "Authorization: Bearer TOKEN".  Responses
   are JSON, except for /metrics.  Status 202 means that it is not yet known
   whether a change takes effect.  Errors are {"error","detail",...} with the
   usual status codes: 400 malformed, 401 invalid token, 404 unknown path,
   resource or operation, 405 method not allowed, 409 change based on an old
   version, 413 body too large, 422 failed validation, 503 store unreachable or
   entry stopping.

   docs/reference/api.md describes every path.

   Call order: api_create, then requests are served until api_destroy.

     struct api_desc desc = { .settings = settings, .loop = loop, ... };
     if (api_create (pool, &desc, &api, &err) != ERR_NONE) ...
     api_destroy (api);

   Threads: the control loop's thread only.  */
#ifndef OPERATOR_API_H
#define OPERATOR_API_H

#include "burn/burn.h"
#include "call/worker.h"
#include "config/config_manager.h"
#include "peer/peers.h"
#include "settings/settings.h"

struct api;

/* All members must be set, and outlive the API.  */
struct api_desc
{
  const struct settings *settings; /* address, token and limits */
  struct loop *loop;               /* the control loop */
  struct counters *counters;       /* served as /metrics */
  struct config_manager *config_manager;
  struct peers *peers;       /* for the roster */
  struct worker *worker;     /* for its view of upstreams and services */
  struct burn_tracker *burn; /* served as /v1/burn */
};

/* Listens on the operators' address of the settings, and subscribes to
   adoptions of the config manager.  Returns an error, with ERR set, if it
   cannot listen.  */
enum err_code api_create (apr_pool_t *pool, const struct api_desc *desc,
                          struct api **result, struct err *err);
/* Ends waiting requests with status 503 and closes all connections.  The
   config manager must not adopt a document afterwards, since the API stays
   subscribed.  NULL is ignored.  */
void api_destroy (struct api *api);

#endif
