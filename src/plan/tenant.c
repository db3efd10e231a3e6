#include "plan/tenant.h"

#include <apr_hash.h>
#include <apr_tables.h>

/* types */

struct tenant_table
{
  apr_pool_t *pool;
  apr_hash_t *by_name; /* struct tenant */
  apr_hash_t *by_key;  /* const struct tenant, or `ambiguous' */
  apr_array_header_t *list;
};

/* constants */

/* Stands for the owner of a key that two tenants have.  */
static const struct tenant ambiguous;

/* public functions */

struct tenant_table *
tenant_table_create (apr_pool_t *pool)
{
  struct tenant_table *table = apr_palloc (pool, sizeof *table);
  table->pool = pool;
  table->by_name = apr_hash_make (pool);
  table->by_key = apr_hash_make (pool);
  table->list = apr_array_make (pool, 16, sizeof (struct tenant *));
  return table;
}

struct tenant *
tenant_table_add (struct tenant_table *table, struct str name)
{
  if (apr_hash_get (table->by_name, name.data, (apr_ssize_t)name.size))
    return NULL;
  struct tenant *tenant = apr_pcalloc (table->pool, sizeof *tenant);
  tenant->name = name;
  tenant->priority = TENANT_PRIORITY_OF_ROUTE;
  apr_hash_set (table->by_name, name.data, (apr_ssize_t)name.size, tenant);
  APR_ARRAY_PUSH (table->list, struct tenant *) = tenant;
  return tenant;
}

bool
tenant_table_add_key (struct tenant_table *table, const struct tenant *tenant,
                      struct str key)
{
  if (key.size == 0 || key.size > TENANT_KEY_MAX_BYTES)
    return false;
  const struct tenant *owner
      = apr_hash_get (table->by_key, key.data, (apr_ssize_t)key.size);
  if (owner && owner == tenant)
    return true;
  key = str_dup (table->pool, key);
  apr_hash_set (table->by_key, key.data, (apr_ssize_t)key.size,
                owner || !tenant ? &ambiguous : tenant);
  return !owner;
}

const struct tenant *
tenant_table_find (const struct tenant_table *table, struct str key)
{
  if (key.size == 0 || key.size > TENANT_KEY_MAX_BYTES)
    return NULL;
  const struct tenant *owner
      = apr_hash_get (table->by_key, key.data, (apr_ssize_t)key.size);
  return owner == &ambiguous ? NULL : owner;
}

size_t
tenant_table_count (const struct tenant_table *table)
{
  return (size_t)table->list->nelts;
}

const struct tenant *
tenant_table_get (const struct tenant_table *table, size_t number)
{
  return APR_ARRAY_IDX (table->list, number, const struct tenant *);
}

bool
tenant_allows_region (const struct tenant *tenant, struct str region)
{
  return tenant->regions.count == 0
         || str_list_contains (&tenant->regions, region);
}
