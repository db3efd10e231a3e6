/* Tenants of a plan: who may call, by which keys, and what each is allowed.

   Whoever reads the configuration fills the table, before plan_finish:

     struct tenant_table *tenants = plan_create_tenants (plan);
     struct tenant *tenant = tenant_table_add (tenants, STR ("bakery"));
     tenant->rate = 20;
     tenant_table_add_key (tenants, tenant, key);

   For each request, with the key that it carries:

     const struct tenant *tenant = tenant_table_find (tenants, key);

   A key that two tenants have belongs to neither: nobody could tell whose
   request it is.

   Units: requests per second.  Threads: one thread.  */
#ifndef PLAN_TENANT_H
#define PLAN_TENANT_H

#include "base/str.h"

#include <stdbool.h>
#include <stdint.h>

enum
{
  /* Longer keys belong to nobody.  Keys of today's deployments have twenty
     bytes.  */
  TENANT_KEY_MAX_BYTES = 256,
  TENANT_PRIORITY_OF_ROUTE = -1
};

struct tenant
{
  struct str name;
  /* Takes precedence over the route's; TENANT_PRIORITY_OF_ROUTE: none.  */
  int64_t priority;
  /* Quota over all entries together; 0: no limit.  */
  double rate;
  double burst; /* requests beyond the rate, at one moment */
  /* Where its requests may be served, besides what the route allows; empty:
     anywhere.  */
  struct str_list regions;
  /* Why all its requests are refused; NULL: they are served.  */
  const char *refusal;
};

struct tenant_table;

/* Creates an empty table in POOL.  */
struct tenant_table *tenant_table_create (apr_pool_t *pool);
/* Adds the tenant NAME, which is not copied, without limits, and returns it to
   be filled; NULL if there is one of that name.  */
struct tenant *tenant_table_add (struct tenant_table *table, struct str name);
/* Gives TENANT the key KEY, which is copied; NULL: nobody has it.  Returns
   false if the key is empty or too long, or another tenant has it, which then
   loses it.  */
bool tenant_table_add_key (struct tenant_table *table,
                           const struct tenant *tenant, struct str key);
/* Returns the tenant that has KEY, or NULL.  */
const struct tenant *tenant_table_find (const struct tenant_table *table,
                                        struct str key);
/* Returns the number of tenants, and the tenant NUMBER below it.  */
size_t tenant_table_count (const struct tenant_table *table);
const struct tenant *tenant_table_get (const struct tenant_table *table,
                                       size_t number);
/* Returns whether requests of TENANT may be served in REGION.  */
bool tenant_allows_region (const struct tenant *tenant, struct str region);

#endif
