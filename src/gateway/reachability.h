/* Exchange with a reader of which upstreams entries could not reach (see
   fleet/unreachable.h).

   Twice a second an entry sends what it found out since the last time to one
   of its readers, and gets the list of all that the reader knows; a reader
   adds to its own list.  If no reader responds, an entry relies on what it
   finds out itself, as it does for upstreams that only one entry can't reach.

     reachability = reachability_create (pool, &desc);
     reachability_report (reachability, upstream, is_certain);
     text = reachability_handle (reachability, seen, from, pool);
     reachability_destroy (reachability);

   Units: microseconds.  Threads: the event loop's thread only.  Errors: a
   failed exchange loses its reports, and the next one follows.  */
#ifndef GATEWAY_REACHABILITY_H
#define GATEWAY_REACHABILITY_H

#include "base/counter.h"
#include "base/http_client.h"
#include "base/loop.h"
#include "fleet/fleet.h"

struct reachability;

struct reachability_desc
{
  struct loop *loop;
  struct http_client *client;
  struct counters *counters;
  struct fleet *fleet;
  struct str name; /* of this entry */
  /* Returns the address of a reader, or an empty string if this entry is one.
   */
  struct str (*reader_address) (void *user_data);
  void *user_data;
};

/* Path of the listener for other entries, and its query parameters.  */
extern const char reachability_path[];
extern const char reachability_seen[]; /* what the sender found out */
extern const char reachability_from[]; /* the sender's name */

/* Creates the module in POOL and begins to exchange.  */
struct reachability *
reachability_create (apr_pool_t *pool, const struct reachability_desc *desc);
/* Ends the exchange; NULL is ignored.  The client's calls must be cancelled.
 */
void reachability_destroy (struct reachability *reachability);
/* This entry could not reach UPSTREAM.  IS_CERTAIN: another upstream has its
   address or nothing listens there, so that others can't reach it either.  */
void reachability_report (struct reachability *reachability,
                          const struct fleet_upstream *upstream,
                          bool is_certain);
/* Handles the exchange of the entry FROM, which found out SEEN; returns the
   response in POOL.  */
struct str reachability_handle (struct reachability *reachability,
                                struct str seen, struct str from,
                                apr_pool_t *pool);

#endif
