#include "member/confirmation.h"

#include <apr_hash.h>

/* types */

/* The highest version that one process is known to have confirmed.  */
struct confirmation
{
  int64_t incarnation;
  int64_t version;
};

struct confirmations
{
  apr_pool_t *pool;
  apr_hash_t *entries; /* struct confirmation by name */
};

/* private functions */

static struct confirmation *
find (const struct confirmations *confirmations, struct str name)
{
  return apr_hash_get (confirmations->entries, name.data,
                       (apr_ssize_t)name.size);
}

/* Returns the lowest version that the member of RECORD may still use its share
   under, as far as is known: its confirmations may have been recorded late. */
static int64_t
confirmed_version (const struct confirmations *confirmations,
                   const struct membership *membership,
                   const struct member_record *record)
{
  const struct confirmation *known = find (confirmations, record->name);
  int64_t version = record->joined_version - 1;
  if (known && known->incarnation > record->incarnation)
    return INT64_MAX; /* the process of RECORD has ended */
  if (membership->confirmed_by_all > version)
    version = membership->confirmed_by_all;
  if (known && known->incarnation == record->incarnation
      && known->version > version)
    version = known->version;
  return version;
}

/* public functions */

struct confirmations *
confirmations_create (apr_pool_t *pool)
{
  struct confirmations *confirmations
      = apr_pcalloc (pool, sizeof *confirmations);
  confirmations->pool = pool;
  confirmations->entries = apr_hash_make (pool);
  return confirmations;
}

void
confirmations_record (struct confirmations *confirmations, struct str name,
                      int64_t incarnation, int64_t version)
{
  struct confirmation *known = find (confirmations, name);
  if (!known)
    {
      struct str key = str_dup (confirmations->pool, name);
      known = apr_pcalloc (confirmations->pool, sizeof *known);
      apr_hash_set (confirmations->entries, key.data, (apr_ssize_t)key.size,
                    known);
    }
  if (incarnation < known->incarnation)
    return;
  if (incarnation > known->incarnation)
    *known = (struct confirmation){ incarnation, 0 };
  if (version > known->version)
    known->version = version;
}

int64_t
confirmations_min (const struct confirmations *confirmations,
                   const struct membership *membership, struct str self)
{
  int64_t lowest = membership->version;
  for (size_t i = 0; i < membership->count; i++)
    {
      const struct member_record *r = &membership->records[i];
      if (r->removed_version != MEMBER_NOT_REMOVED
          || str_equal (r->name, self))
        continue;
      int64_t version = confirmed_version (confirmations, membership, r);
      if (version < lowest)
        lowest = version;
    }
  return lowest;
}
