/* Resources: the configuration that operators declare, checked and resolved.

   A resource has a kind, a name, a version and a spec (a JSON object).
   `resource_kinds' describes the spec of every kind.  A snapshot holds a whole
   set of resources in which names are resolved to pointers; building it
   reports every fault of the set at once.

     struct snapshot *snapshot = snapshot_create (version);
     snapshot_add (snapshot, KIND_REGION, name, 1, spec, faults);
     ...                                    for each resource
     snapshot_finish (snapshot, faults);
     if (faults_count (faults) > 0) snapshot_unref (snapshot);

   Threads: a finished snapshot is read-only and may be shared by threads; each
   holds a reference (snapshot_ref, snapshot_unref).  The last one frees it.

   Units are in the field names (ms, bytes per second).  An `enum' member of
   a spec that is not given has the first value.  */
#ifndef RESOURCE_RESOURCE_H
#define RESOURCE_RESOURCE_H

#include "base/field.h"

#include <apr_hash.h>

enum resource_kind
{
  KIND_REGION,
  KIND_ZONE,
  KIND_LINK,
  KIND_SERVICE,
  KIND_GROUP,
  KIND_UPSTREAM,
  KIND_POLICY,
  KIND_DRAIN,
  KIND_COUNT /* number of kinds; also stands for an unknown kind */
};

/* Classes of calls, by their duration.  Each class has its own queue, and long
   calls may use at most `long_slots_percent' of the slots, and fewer while
   short calls need more than the rest, so that short calls never wait for a
   slot behind long ones.  */
enum call_class
{
  CLASS_SHORT,
  CLASS_LONG,
  CLASS_COUNT
};

/* Which calls may be sent to a second upstream after the first one may have
   run them.  */
enum repeat_rule
{
  REPEAT_SAFE_METHODS, /* GET, HEAD, OPTIONS and TRACE */
  REPEAT_ALWAYS,
  REPEAT_NEVER
};

/* How a response is known to belong to its call.  */
enum response_check
{
  RESPONSE_CHECK_ECHO, /* the upstream echoes the Request-Id it was sent */
  RESPONSE_CHECK_NEW_CONNECTION /* each call has a connection of its own */
};

/* Whether calls of a service may use free upstreams of other regions while
   those of the entry's region are full.  */
enum spill_rule
{
  SPILL_NEAREST, /* yes, nearest region first */
  SPILL_NONE     /* no, they wait */
};

/* What a drain takes out of service.  */
enum drain_kind
{
  DRAIN_UPSTREAM,
  DRAIN_ZONE,
  DRAIN_REGION,
  DRAIN_ENTRY,
  DRAIN_KIND_COUNT
};

/* First member, called `head', of the struct of every kind.  */
struct resource
{
  struct str name;
  int64_t version;
};

/* In the structs below, `index' is the position among the resources of that
   kind in the snapshot, from 0.  `snapshot_finish' sets it and the pointers to
   other resources.  */

struct region
{
  struct resource head;
  int64_t call_cap; /* concurrent calls to upstreams there, from all entries
                       together; 0: no cap */
  size_t index;
};

struct zone
{
  struct resource head;
  struct str region_name;
  const struct region *region;
  size_t index;
};

/* The network link between two regions.  */
struct region_link
{
  struct resource head;
  struct str_list between;  /* two regions */
  int64_t bytes_per_second; /* in each direction */
  int64_t latency_ms;       /* in one direction */
  const struct region *ends[2];
  size_t index;
};

struct route
{
  struct str path;         /* prefix of the paths it applies to, by bytes */
  struct str_list methods; /* empty: all */
  int call_class;          /* enum call_class */
  int repeat;              /* enum repeat_rule */
  int64_t deadline_ms;     /* 0: that of the service */
};

struct objective
{
  int64_t target_ppm; /* good calls per million */
  int64_t latency_ms; /* short calls that take longer are not good */
};

struct service
{
  struct resource head;
  struct str_list hosts; /* host names without port, each of one service */
  int64_t call_cap;      /* concurrent calls, from all entries together; 0: no
                            cap */
  int64_t max_body_bytes;
  int64_t deadline_ms;
  int response_check; /* enum response_check */
  int64_t cancel_ms;  /* within which an upstream notices a closed connection
                         and stops the call */
  int64_t not_started_status; /* response status that proves that the call was
                                 not run; 0: none */
  int64_t long_slots_percent; /* of the slots, that long calls may use */
  struct str health_path;     /* empty: no health checks */
  int64_t health_interval_ms; /* between health checks of an upstream */
  struct objective objective;
  struct field_list routes;    /* struct route; the first match applies */
  const struct policy *policy; /* NULL: defaults */
  size_t index;
};

/* Upstreams of one service with the same limits, by default in one zone.  */
struct group
{
  struct resource head;
  struct str service_name;
  struct str zone_name;
  int64_t slots;       /* concurrent calls to each upstream, from all entries
                          together */
  int64_t connections; /* open at once to each upstream, from all entries
                          together; at least `slots' */
  int64_t ramp_ms;     /* until a cold upstream gets all its slots */
  const struct service *service;
  const struct zone *zone;
};

struct upstream
{
  struct resource head;
  struct str group_name;
  struct str zone_name; /* empty: the group's */
  struct str address;
  const struct group *group;
  const struct zone *zone;
  bool drained; /* by any drain */
  size_t index;
};

/* Fraction of its upstreams' slots that a region gets: the weight divided by
   the largest weight of the policy.  Slots are rounded up.  */
struct region_weight
{
  struct str region;
  int64_t weight;
};

/* How the calls of a service are spread over regions.  */
struct policy
{
  struct resource head;
  struct str service_name;
  struct field_list regions;  /* struct region_weight; empty: equal weights;
                                 else a region not listed has weight 0 */
  int spill;                  /* enum spill_rule */
  int64_t lookup_lifetime_ms; /* how long a lookup result may be used */
  int64_t hedge_percent;      /* hedged calls of all calls, at most */
};

/* Takes an upstream, a zone, a region or an entry out of service.  The target
   must exist as a resource, except for an entry, which is not a resource.  */
struct drain
{
  struct resource head;
  int kind; /* enum drain_kind */
  struct str target;
  struct str reason;
};

/* Description of one kind.  */
struct resource_kind_info
{
  const char *kind;           /* "upstream" */
  const char *plural;         /* "upstreams", as in paths and documents */
  const struct field *fields; /* of the spec */
  size_t size;                /* of the C struct */
};

struct snapshot
{
  int64_t version;                     /* of the document */
  struct field_list lists[KIND_COUNT]; /* structs by kind */
  apr_hash_t *names[KIND_COUNT];       /* name to struct */
  apr_hash_t *services_by_host;        /* host name to struct service */
  apr_pool_t *pool;
  int references;
};

extern const struct resource_kind_info resource_kinds[KIND_COUNT];

/* Returns the kind whose singular or plural is TEXT, or KIND_COUNT.  */
enum resource_kind resource_kind_from_name (struct str text);

/* Returns an empty snapshot of the document version VERSION, with one
   reference, which the caller owns.  */
struct snapshot *snapshot_create (int64_t version);
/* Adds one resource; paths of its faults start with "KIND/NAME".  SPEC is not
   referenced after the call.  */
void snapshot_add (struct snapshot *snapshot, enum resource_kind kind,
                   struct str name, int64_t version, json_object *spec,
                   struct faults *faults);
/* Resolves names and does the checks that need the whole set.  If FAULTS is
   not empty then, the snapshot must only be dropped by snapshot_unref.  The
   functions below that find something need a finished snapshot.  */
void snapshot_finish (struct snapshot *snapshot, struct faults *faults);
/* Adds a reference and returns SNAPSHOT.  */
struct snapshot *snapshot_ref (struct snapshot *snapshot);
/* Drops a reference; SNAPSHOT may be NULL.  */
void snapshot_unref (struct snapshot *snapshot);
/* Returns the resource of KIND called NAME, a pointer to the struct of that
   kind, or NULL.  */
void *snapshot_find (const struct snapshot *snapshot, enum resource_kind kind,
                     struct str name);
/* Returns whether a drain of KIND has the target TARGET.  Drains of what
   contains TARGET don't count; see `drained' of struct upstream.  */
bool snapshot_has_drain (const struct snapshot *snapshot, enum drain_kind kind,
                         struct str target);
/* Returns the service that serves HOST, the value of a Host header with or
   without a port, or NULL.  The case of letters matters.  */
const struct service *
snapshot_service_for_host (const struct snapshot *snapshot, struct str host);
/* Returns the first route of SERVICE for METHOD and PATH, or NULL; a call
   without a route is short and has the defaults of its service.  */
const struct route *service_find_route (const struct service *service,
                                        struct str method, struct str path);
/* Returns whether a call of METHOD may be sent again after an upstream may
   have run it.  ROUTE may be NULL: then only safe methods may.  */
bool route_allows_repeat (const struct route *route, struct str method);
/* Returns the link between two regions, in either order, or NULL.  */
const struct region_link *snapshot_find_link (const struct snapshot *snapshot,
                                              const struct region *a,
                                              const struct region *b);

/* Loops over the resources of KIND, with ITEM as a pointer to TYPE, the struct
   of that kind, possibly const.  */
#define SNAPSHOT_EACH(snapshot, kind, type, item)                             \
  for (type *item = (snapshot)->lists[kind].items,                            \
            *item##_end = item + (snapshot)->lists[kind].count;               \
       item < item##_end; item++)

#endif
