/* The operators' resource API: HTTP on a listener of its own.

   Every request but /healthz needs "Authorization: Bearer TOKEN".  Answers
   are JSON; errors are {"error","detail",...} with the usual status codes:
   400 malformed, 401 token, 404 unknown, 405 method, 409 stale version,
   413 too large, 422 refused by validation, 503 store out of reach, and
   202 for a change whose outcome is not yet known.

   docs/reference/api.md describes every path.

   Call order: api_create, then requests are served until api_destroy.
   Threads: the control loop's thread only.  */
#ifndef OPERATOR_API_H
#define OPERATOR_API_H

#include "burn/burn.h"
#include "call/worker.h"
#include "config/config_manager.h"
#include "peer/peers.h"
#include "settings/settings.h"

struct api;

struct api_desc
{
  const struct settings *settings;
  struct loop *loop;
  struct counters *counters;
  struct config_manager *config_manager;
  struct peers *peers;
  struct worker *worker;
  struct burn_tracker *burn;
};

enum err_code api_create (apr_pool_t *pool, const struct api_desc *desc,
                          struct api **result, struct err *err);
void api_destroy (struct api *api);

#endif
