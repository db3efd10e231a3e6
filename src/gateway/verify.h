/* Asks upstreams that may have started again what they are.

   A lost connection doesn't show whether the process at its other end has
   ended.  The upstream's health path says at once, without the store, whether
   it is cold.  It is asked until it says so or its doubt ends, five times a
   second and after three seconds once a second by the few entries that may
   send to it while it is cold.  Hundreds of others would ask in vain and hear
   of the answer anyway: where nothing listens they ask again after four
   seconds, and where there is no response after times that double up to that.

     verify = verify_create (pool, &desc);
     verify_upstream (verify, upstream);   when a doubt begins
     verify_destroy (verify);

   Units: microseconds.  Threads: the event loop's thread only.  */
#ifndef GATEWAY_VERIFY_H
#define GATEWAY_VERIFY_H

#include "base/counter.h"
#include "base/http_client.h"
#include "base/loop.h"
#include "fleet/fleet.h"

struct verify;

struct verify_desc
{
  struct loop *loop;
  struct http_client *client;
  struct counters *counters;
  /* Returns the health path of the service NAME, or an empty string.  */
  struct str (*health_path) (void *user_data, struct str name);
  /* Returns whether this entry may send to UPSTREAM while it is cold.  */
  bool (*asks_often) (void *user_data, struct fleet_upstream *upstream);
  /* Nothing listens at the address of UPSTREAM, or another one has it; not
     called if there is only no response, which may be due to this entry.  */
  void (*gone) (void *user_data, struct fleet_upstream *upstream);
  /* UPSTREAM said, in the response to a check that was sent AS_OF that time,
     that it is cold for COLD_LEFT, 0: that it is not.  */
  void (*answered) (void *user_data, struct fleet_upstream *upstream,
                    apr_time_t as_of, apr_time_t cold_left);
  void *user_data; /* passed to the functions */
};

/* Creates the module in POOL.  DESC is copied.  */
struct verify *verify_create (apr_pool_t *pool,
                              const struct verify_desc *desc);
/* Ends all checks; NULL is ignored.  The client's calls must be cancelled.  */
void verify_destroy (struct verify *verify);
/* Asks UPSTREAM, until it says what it is or its doubt ends.  No effect if
   that is under way, its service has no health path, or 256 upstreams are
   asked already.  */
void verify_upstream (struct verify *verify, struct fleet_upstream *upstream);

#endif
