/* Asks upstreams whose record vanished whether they leave.

   A record that vanishes after an outage of the store, or after the store came
   back from an older copy, may have expired, and the upstream stays in use for
   the grace period; or the upstream deleted it, since it leaves.  Its health
   path tells the two apart: one that leaves says so there, and where nothing
   listens, or another upstream does, none is left.  Each is asked within the
   first half of the grace period, at a random time, since hundreds of entries
   ask.  None is asked while many have vanished together, which happens when
   leases end, or while it is cold and may get few requests.

     checks = lapse_checks_create (pool, &desc);
     lapse_checks_add (checks, upstream);   when its record vanishes
     lapse_checks_destroy (checks);

   Units: microseconds.  Threads: the event loop's thread only.  */
#ifndef GATEWAY_LAPSE_CHECKS_H
#define GATEWAY_LAPSE_CHECKS_H

#include "base/counter.h"
#include "base/http_client.h"
#include "base/loop.h"
#include "fleet/fleet.h"

struct lapse_checks;

struct lapse_checks_desc
{
  struct loop *loop;
  struct http_client *client;
  struct counters *counters;
  const struct fleet *fleet;
  uint64_t seed; /* of the times at which upstreams are asked; not 0, differs
                    between entries */
  /* Returns the health path of the service NAME, or an empty string.  */
  struct str (*health_path) (void *user_data, struct str name);
  /* UPSTREAM, whose record is still missing, leaves or has ended.  */
  void (*left) (void *user_data, struct fleet_upstream *upstream);
  void *user_data; /* passed to both functions */
};

/* Creates the module in POOL.  DESC is copied.  */
struct lapse_checks *
lapse_checks_create (apr_pool_t *pool, const struct lapse_checks_desc *desc);
/* Ends all checks; NULL is ignored.  The client's calls must be cancelled.  */
void lapse_checks_destroy (struct lapse_checks *checks);
/* Asks UPSTREAM, until it says whether it leaves or its record isn't missing
   any more.  No effect if 256 are being asked already.  */
void lapse_checks_add (struct lapse_checks *checks,
                       struct fleet_upstream *upstream);

#endif
