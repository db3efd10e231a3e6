/* The upstreams of all services, as the platform's store lists them.

   There is one object for each incarnation of an upstream: after a restart
   under the same id, or with another address, service or zone, a new object
   replaces the old one.  Objects are grouped by service.  They stay valid
   while they are referenced, also after they were removed.

   The reader of the store keeps the fleet up to date, with each change, and
   several times per second:

     fleet_put_upstream (fleet, &record, revision, now);
     fleet_remove_upstream (fleet, id, may_be_expired, now);
     fleet_remove_expired (fleet, now);

   For a request, balance/balance.h chooses among the upstreams of a service:

     const struct fleet_service *service = fleet_service (fleet, name);
     const struct fleet_group *group = fleet_group (service, region);
     for (size_t i = 0; group && i < group->count; i++)
       if (fleet_is_eligible (group->members[i].upstream)) ...

   An upstream whose record vanishes during an outage of the store may only
   have expired (see fleet/outage.h).  It stays in use until it is listed
   again, the grace period is over, or it is known that it has left
   (fleet_end_lapse).

   A store that comes back from an older copy lists records that are older than
   those known here.  Between fleet_begin_restore and fleet_end_restore its
   listing is applied:

   - a record of an earlier incarnation, or with a lower count of writes than
     the one known, changes nothing;
   - an upstream that had left is held back: it gets no requests until its
     record is written again, or stays listed for so long that its lease must
     have been renewed;
   - the evacuation of a zone that isn't listed stays in force for 4 s, in
     which the operator writes it again.

   An upstream may say in a response that it is leaving, and it may refuse a
   request and state for how long it wants none (fleet_mark_leaving,
   fleet_turn_away).  Both concern one incarnation, by the id and the
   incarnation of its record, or by the id and the address where the record
   states none.  No record of that incarnation undoes them, whether it is
   older, renewed, restored, or removed and listed again: they end with another
   incarnation, or when the record has been gone for a minute and the wait is
   over.

   A cold upstream has started a short while ago and can serve only few
   requests; how many is up to the caller.  One that can't be reached, or
   breaks off, may start again under its id before the store shows that; it
   counts as cold from then on (fleet_doubt, fleet_settle).

   Units: microseconds.  Threads: one thread.  */
#ifndef FLEET_FLEET_H
#define FLEET_FLEET_H

#include "balance/load.h"
#include "balance/affinity.h"
#include "base/str.h"
#include "fleet/doubt.h"

#include <apr_time.h>
#include <stdbool.h>
#include <stdint.h>

/* One upstream as its record in the store describes it.  */
struct fleet_record
{
  struct str id;
  struct str service;
  struct str address; /* IP:PORT */
  struct str zone;
  int64_t slots;             /* requests that it runs at once */
  bool leaving;              /* it takes no new requests */
  apr_time_t cold_remaining; /* for how long it stays cold; 0: it is not */
  int64_t incarnation;       /* differs after a restart under the same id, and
                                grows; 0: not stated */
  int64_t write_count;       /* of the record, by this incarnation */
};

/* A zone that upstreams are in; never freed while the fleet exists.  */
struct fleet_zone
{
  struct str name;
  bool is_evacuated;
  /* When the evacuation was found missing in a restored store; 0: it was
     not.  */
  apr_time_t evacuation_lost_at;
  int64_t lost_revision; /* of the store then */
  apr_time_t cold_time;  /* of the upstreams after the evacuation */
};

struct fleet_upstream
{
  struct str id;
  struct str service;
  struct str address;
  const struct fleet_zone *zone;
  struct str region;
  uint64_t hash;             /* of the id */
  uint64_t incarnation_hash; /* hash of the id and the incarnation */
  int64_t slots;         /* as in the record; `load' has the reported number */
  int64_t incarnation;   /* as in the record */
  int64_t write_count;   /* as in the latest record that was put */
  int64_t revision;      /* of that record */
  apr_time_t held_until; /* a restored store lists it though it had left; 0: it
                            is not held back */
  bool leaving;          /* as in the record */
  bool says_leaving;     /* it said so in a response */
  bool removed;          /* no longer in the fleet, only referenced */
  apr_time_t expired_at; /* when its record vanished, perhaps only since its
                            lease ran out; 0: it is listed */
  apr_time_t cold_until; /* 0 or in the past: it is not cold */
  int64_t cold_revision; /* of the record or event that made it cold; only a
                            later record ends that */
  bool record_is_cold;   /* the latest record said that it is cold */
  struct doubt doubt;    /* whether it may have started again since then */
  bool is_unseen;        /* the doubt is about an old copy of its record: no
                            other entry has it, so this one asks */
  bool is_asked;         /* a check of it is under way; set by the gateway */
  size_t rank;           /* of this entry among those that may send to it while
                            it is cold, from 0; set by the gateway */
  uint64_t rank_version; /* of the list of entries for which it was computed;
                            0: not yet */
  int64_t cold_quota;    /* requests that this entry may send to it in any
                            second while it is cold; set by the gateway */
  struct load load;
  apr_time_t removed_at;
  struct fleet_upstream *next_remembered; /* removed one that is remembered for
                                             what it said */
  int references;
};

/* An upstream of a group.  Its hash is kept beside the pointer, since a choice
   goes through the hashes of a whole group and looks at few upstreams.  */
struct fleet_member
{
  uint64_t hash;
  struct fleet_upstream *upstream;
};

/* The upstreams of a service in one region.  */
struct fleet_group
{
  struct str region;
  struct fleet_member *members; /* in no order */
  size_t count;
  size_t capacity;
};

struct fleet_service
{
  struct str name;
  struct fleet_group **groups; /* in no order; never removed */
  size_t group_count;
  size_t count; /* of the upstreams of all groups */
};

struct fleet;

/* Called when UPSTREAM changed.  WHAT is the change for the log: "added",
   "ready", "leaving", "held back", "lapsed", "has left", "removed",
   "replaced", "lapse not renewed" or "evacuation not renewed".  */
typedef void fleet_changed_fn (void *user_data, const char *what,
                               const struct fleet_upstream *upstream);

struct fleet_desc
{
  apr_time_t expiry_grace; /* for which an upstream whose record may only have
                              expired stays in use; 0: 2 s */
  /* Returns the region of ZONE, or an empty string.  Required.  */
  struct str (*find_region) (void *user_data, struct str zone);
  fleet_changed_fn *upstream_changed; /* may be NULL */
  void *user_data;                    /* passed to both functions */
};

/* Creates an empty fleet, which lives in POOL.  DESC is copied.  */
struct fleet *fleet_create (apr_pool_t *pool, const struct fleet_desc *desc);
/* Releases the upstreams, which stay valid while others reference them.  The
   rest is freed with the pool.  FLEET may be NULL.  */
void fleet_destroy (struct fleet *fleet);
/* Adds or updates the upstream of RECORD, which was written to the store at
   REVISION.  Revisions grow from write to write, also when the store comes
   back from an older copy.  Returns false, changing nothing, if its zone has
   no region.  */
bool fleet_put_upstream (struct fleet *fleet,
                         const struct fleet_record *record, int64_t revision,
                         apr_time_t now);
/* The record of ID was written again at REVISION with the same content, but
   for the count of its writes.  Returns false if there is no such upstream, or
   the record tells more than what is known of it since the store was restored;
   then the record has to be put.  */
bool fleet_renew_upstream (struct fleet *fleet, struct str id,
                           int64_t revision, apr_time_t now);
/* The record of ID vanished.  MAY_BE_EXPIRED: perhaps only because its lease
   could not be renewed; the upstream then stays in use for the grace period.
   An upstream that is leaving is removed in any case.  */
void fleet_remove_upstream (struct fleet *fleet, struct str id,
                            bool may_be_expired, apr_time_t now);
/* UPSTREAM, whose record vanished, leaves or has ended: it wasn't its lease
   that ended, so it is removed.  Returns false if its record isn't missing. */
bool fleet_end_lapse (struct fleet *fleet, struct fleet_upstream *upstream,
                      apr_time_t now);
/* Returns how many upstreams are in use though their records vanished.  */
size_t fleet_lapsed_count (const struct fleet *fleet);
/* The store came back from an older copy, and its listing follows, with the
   keys that it lacks as removals that may be expired.  */
void fleet_begin_restore (struct fleet *fleet);
void fleet_end_restore (struct fleet *fleet);
/* Ends the grace periods that are over: of upstreams and of evacuations that
   are not listed, of upstreams that are held back, and of doubts.  Not to be
   called during an outage of the store, when none can be listed again.  */
void fleet_remove_expired (struct fleet *fleet, apr_time_t now);
/* Extends the grace periods by BY, for which nothing was heard of the store:
   leases may have paused, and nothing could be written again.  */
void fleet_postpone_expiry (struct fleet *fleet, apr_time_t by);
/* Sets whether ZONE is evacuated: its upstreams get no new requests.  When
   that ends, at REVISION of the store, they count as cold until a later record
   says otherwise, for COLD_TIME at most.  No effect if nothing changes.  An
   evacuation that ends while a restored store is listed may only be lost, and
   stays in force for the grace period.  */
void fleet_set_zone_evacuated (struct fleet *fleet, struct str zone,
                               bool evacuated, int64_t revision,
                               apr_time_t cold_time, apr_time_t now);
/* Returns whether ZONE is evacuated now.  */
bool fleet_is_zone_evacuated (const struct fleet *fleet, struct str zone);
/* Calls EACH for every evacuated zone; EACH must not change the fleet.  */
void fleet_for_each_evacuated_zone (const struct fleet *fleet,
                                    void (*each) (void *user_data,
                                                  struct str zone),
                                    void *user_data);
/* Contact with UPSTREAM was lost AT that time: it may have started again, and
   counts as cold until it is known what it is, see fleet/doubt.h.  Returns
   false if that changes nothing.  */
bool fleet_doubt (struct fleet *fleet, struct fleet_upstream *upstream,
                  apr_time_t at);
/* All that is known is an old copy of the store: no upstream's record need be
   true any more, and all count as cold as after fleet_doubt.  */
void fleet_doubt_all (struct fleet *fleet, apr_time_t at);
/* UPSTREAM said, AS_OF that time, that it is cold for COLD_LEFT, 0: that it is
   not.  Returns false if something later is known.  */
bool fleet_settle (struct fleet_upstream *upstream, apr_time_t as_of,
                   apr_time_t cold_left);
/* Returns whether UPSTREAM is cold, as far as it is known, or may be.  */
bool fleet_is_cold (const struct fleet_upstream *upstream, apr_time_t now);
/* UPSTREAM, which may have been removed, said in a response that it is
   leaving: it gets no new requests, as if its record said so.  Returns false
   if that was known.  */
bool fleet_mark_leaving (struct fleet *fleet, struct fleet_upstream *upstream,
                         apr_time_t now);
/* UPSTREAM, which may have been removed, refused a request and stated that it
   wants none for STATED; it gets none for WAIT, see load_turn_away and
   load_restrict.  */
void fleet_turn_away (struct fleet *fleet, struct fleet_upstream *upstream,
                      apr_time_t wait, apr_time_t stated, apr_time_t now);
/* Returns the upstreams of the service NAME, or NULL if it never had any.  */
const struct fleet_service *fleet_service (const struct fleet *fleet,
                                           struct str name);
/* Returns the upstreams of SERVICE, which may be NULL, in REGION, or NULL if
   it never had any there.  */
const struct fleet_group *fleet_group (const struct fleet_service *service,
                                       struct str region);
/* Returns whether UPSTREAM may get new requests: it is neither leaving, by its
   record or what it said, nor removed nor held back, and its zone is not
   evacuated.  */
bool fleet_is_eligible (const struct fleet_upstream *upstream);
/* Returns the upstream ID, or NULL.  */
struct fleet_upstream *fleet_find (const struct fleet *fleet, struct str id);
/* Returns an upstream at ADDRESS, or NULL.  Goes through all of them.  */
struct fleet_upstream *fleet_find_by_address (const struct fleet *fleet,
                                              struct str address);
/* Returns the number of upstreams of all services.  */
size_t fleet_upstream_count (const struct fleet *fleet);
/* Returns the record of which objects the upstreams handled recently, which
   belongs to the fleet.  */
struct affinity *fleet_affinity (const struct fleet *fleet);
/* References UPSTREAM, so that it stays valid, and returns it.  */
struct fleet_upstream *fleet_upstream_ref (struct fleet_upstream *upstream);
/* Gives up a reference; the last one frees UPSTREAM.  */
void fleet_upstream_unref (struct fleet_upstream *upstream);

#endif
