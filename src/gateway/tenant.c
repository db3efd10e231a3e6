/* Whose request it is: reads the key that it carries, and what the tenant may
   do.  */
#include "gateway/internal.h"

#include "platform/decode.h"
#include "platform/words.h"

/* constants */

enum
{
  HTTP_UNAUTHORIZED = 401,
  HTTP_UNAVAILABLE = 503
};

/* private functions */

/* Returns the tenant that has the key in the fields of REQUEST, or NULL.  With
   more than one such field it is unclear which key counts.  */
static const struct tenant *
find_tenant (const struct request *request, const struct tenant_table *tenants)
{
  struct str field = headers_get (&request->headers, PLATFORM_AUTHORIZATION);
  if (headers_count_of (&request->headers, STR (PLATFORM_AUTHORIZATION)) != 1)
    return NULL;
  return tenant_table_find (tenants, decode_key_field (field));
}

/* functions of the module */

bool
tenant_authenticate (struct request *request)
{
  const struct tenant_table *tenants = plan_tenants (request->plan);
  request->priority = request->route->priority;
  if (!tenants)
    return true;
  request->tenant = find_tenant (request, tenants);
  headers_remove (&request->headers, STR (PLATFORM_AUTHORIZATION));
  headers_remove (&request->headers, STR (PLATFORM_TENANT));
  if (!request->tenant)
    {
      if (request->route->is_public)
        return true;
      counter_add (request->gateway->unauthorized, 1);
      request_refuse (request, HTTP_UNAUTHORIZED,
                      "the request has no key of a tenant");
      return false;
    }
  if (request->tenant->refusal)
    {
      request_refuse (request, HTTP_UNAVAILABLE, request->tenant->refusal);
      return false;
    }
  if (request->tenant->priority != TENANT_PRIORITY_OF_ROUTE)
    request->priority = request->tenant->priority;
  return true;
}

bool
tenant_request_allows_region (const struct request *request, struct str region)
{
  return plan_route_allows_region (request->route, region)
         && (!request->tenant
             || tenant_allows_region (request->tenant, region));
}
