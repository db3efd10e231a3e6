/* Upstreams as the platform lists them: who serves what, and who is leaving.

   The fleet holds one object for each life of an upstream: a restart under
   the same id, or another address, makes a new object.  Objects are grouped
   by service and stay valid while they are referenced, also after they left
   the list.

     fleet_put (fleet, &record, revision, now);
     const struct fleet_service *service = fleet_service (fleet, name);
     for (size_t i = 0; i < service->count; i++)
       if (fleet_may_take (fleet, service->upstreams[i])) ...

   An upstream that vanishes while the list itself was out of reach may only
   have lapsed; it is used until the hold time is over or it is listed again.

   Units: microseconds.  Threads: one thread.  */
#ifndef FLEET_FLEET_H
#define FLEET_FLEET_H

#include "balance/load.h"
#include "balance/memory.h"
#include "base/str.h"

#include <apr_time.h>
#include <stdbool.h>
#include <stdint.h>

/* One upstream as it describes itself.  */
struct fleet_record
{
  struct str id;
  struct str service;
  struct str address; /* IP:PORT */
  struct str zone;
  int64_t slots;
  bool leaving;
  apr_time_t cold_left; /* for how long it stays slow after its start */
  int64_t born;         /* tells two lives of one id apart */
};

struct fleet_upstream
{
  struct str id;
  struct str service;
  struct str address;
  struct str zone;
  struct str region;
  uint64_t hash; /* of the id */
  uint64_t life; /* differs after a restart under the same id */
  int64_t slots;
  int64_t born;
  bool leaving;
  bool gone;
  apr_time_t expired_at;  /* 0: listed */
  apr_time_t cold_until; /* can serve few requests until then */
  int64_t cold_revision; /* only a later record may end it */
  double cold_part;      /* of the few requests that it can serve while it is
                            cold, the part that falls to this entry */
  struct load load;
  int references;
  bool listed; /* by the listing in progress */
};

struct fleet_service
{
  struct str name;
  struct fleet_upstream **upstreams;
  size_t count;
  size_t capacity;
};

struct fleet;

/* Called for every belief that changes: WHAT happened to UPSTREAM.  */
typedef void fleet_changed_fn (void *part, const char *what,
                               const struct fleet_upstream *upstream);

struct fleet_desc
{
  apr_time_t expiry_grace; /* default 2 s */
  /* Returns the region of ZONE, or an empty string.  */
  struct str (*region_of) (void *part, struct str zone);
  fleet_changed_fn *changed;
  void *part;
};

struct fleet *fleet_create (apr_pool_t *pool, const struct fleet_desc *desc);
void fleet_destroy (struct fleet *fleet);
/* Takes RECORD in, written at REVISION of the list.  Zones without a region
   are refused: returns false.  */
bool fleet_put (struct fleet *fleet, const struct fleet_record *record,
                int64_t revision, apr_time_t now);
/* The entry of ID was removed.  LAPSED: perhaps only since it could not be
   renewed.  */
void fleet_remove (struct fleet *fleet, struct str id, bool lapsed,
                   apr_time_t now);
/* Begins a complete listing; fleet_end_listing then removes all that was not
   put in between.  */
void fleet_begin_listing (struct fleet *fleet);
void fleet_end_listing (struct fleet *fleet, bool lapsed, apr_time_t now);
/* Ends holds that are over.  */
void fleet_sweep (struct fleet *fleet, apr_time_t now);
/* Sets whether ZONE gets no requests.  Its upstreams count as cold, for
   COLD_TIME at most, when that ends at REVISION.  */
void fleet_set_evacuated (struct fleet *fleet, struct str zone, bool evacuated,
                          int64_t revision, apr_time_t cold_time,
                          apr_time_t now);
bool fleet_is_zone_evacuated (const struct fleet *fleet, struct str zone);
/* Calls EACH for every evacuated zone.  */
void fleet_each_evacuated (const struct fleet *fleet,
                           void (*each) (void *part, struct str zone),
                           void *part);
/* Treats UPSTREAM as just started until a record later than now says
   otherwise.  */
void fleet_suspect_cold (struct fleet *fleet, struct fleet_upstream *upstream,
                         apr_time_t cold_time, apr_time_t now);
/* Returns the service's upstreams, or NULL.  */
const struct fleet_service *fleet_service (const struct fleet *fleet,
                                           struct str name);
/* Returns whether UPSTREAM may get new requests at all.  */
bool fleet_may_take (const struct fleet *fleet,
                     const struct fleet_upstream *upstream);
size_t fleet_count (const struct fleet *fleet);
/* Returns the record of which objects the upstreams handled.  */
struct affinity *fleet_memory (const struct fleet *fleet);
struct fleet_upstream *fleet_upstream_ref (struct fleet_upstream *upstream);
void fleet_upstream_unref (struct fleet_upstream *upstream);

#endif
