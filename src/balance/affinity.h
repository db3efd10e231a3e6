/* Affinity record: which objects each upstream handled recently for this
   entry.

   An upstream answers faster for an object that it handled recently, since it
   keeps a bounded number of objects cached.  This record lets an entry find
   the upstreams that probably still have an object, from nothing but the
   responses that it got from them.  It is one set-associative table of fixed
   size for all upstreams: a new object replaces the oldest one of its set.

     affinity_record (affinity, upstream->incarnation_hash, object, now);
     if (affinity_contains (affinity, upstream->incarnation_hash, object, now))
       ...

   An upstream that restarts loses its cache, so the record is kept by
   incarnation, see fleet/fleet.h.

   Units: microseconds.  Threads: one thread.  */
#ifndef BALANCE_AFFINITY_H
#define BALANCE_AFFINITY_H

#include <apr_pools.h>
#include <apr_time.h>
#include <stdbool.h>
#include <stdint.h>

struct affinity;

/* Allocates an empty record, of 128 KB, that lives as long as POOL.  */
struct affinity *affinity_create (apr_pool_t *pool);
/* Records that the upstream of INCARNATION_HASH answered a request for OBJECT,
   which is a hash.  Called for each response that reports no error.  */
void affinity_record (struct affinity *affinity, uint64_t incarnation_hash,
                      uint64_t object, apr_time_t now);
/* Returns whether that upstream answered a request for OBJECT in the last
   20 s, so that it probably has the object cached.  Rarely, two objects have
   the same key in the table and are taken for one.  */
bool affinity_contains (const struct affinity *affinity,
                        uint64_t incarnation_hash, uint64_t object,
                        apr_time_t now);

#endif
