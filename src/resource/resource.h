/* Resources: what operators declare, and its checked, resolved form.

   A resource has a kind, a name, a version and a spec.  `resource_kinds'
   describes every kind; `snapshot_build' turns a whole set of resources into
   one immutable, reference-counted snapshot in which names are resolved to
   pointers, or reports every fault at once.

   Call order: snapshot_create, snapshot_add for each resource, then
   snapshot_finish; the result is read-only and may be shared by threads with
   snapshot_ref / snapshot_unref.

   Units are in the field names (ms, bytes a second).  */
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
  KIND_COUNT
};

/* Classes of calls: short calls never wait for a slot behind long ones.  */
enum call_class
{
  CLASS_SHORT,
  CLASS_LONG,
  CLASS_COUNT
};

/* Which calls may be sent to a second upstream after the first may have
   run them.  */
enum repeat_rule
{
  REPEAT_SAFE_METHODS,
  REPEAT_ALWAYS,
  REPEAT_NEVER
};

/* How an answer is shown to belong to its call.  */
enum answer_check
{
  ANSWER_ECHO,          /* the upstream repeats the Request-Id it was sent */
  ANSWER_NEW_CONNECTION /* each call has a connection of its own */
};

enum spill_rule
{
  SPILL_NEAREST,
  SPILL_NONE
};

enum drain_kind
{
  DRAIN_UPSTREAM,
  DRAIN_ZONE,
  DRAIN_REGION,
  DRAIN_ENTRY,
  DRAIN_KINDS
};

/* The head of every resource.  */
struct resource
{
  struct str name;
  int64_t version;
};

struct region
{
  struct resource head;
  int64_t call_cap; /* concurrent calls to upstreams there; 0: none */
  size_t index;
};

struct zone
{
  struct resource head;
  struct str region_name;
  const struct region *region;
  size_t index;
};

struct link_spec
{
  struct resource head;
  struct str_list between;  /* two regions */
  int64_t bytes_per_second; /* each way */
  int64_t latency_ms;       /* one way */
  const struct region *ends[2];
  size_t index;
};

struct route
{
  struct str path;         /* prefix */
  struct str_list methods; /* empty: all */
  int call_class;          /* enum call_class */
  int repeat;              /* enum repeat_rule */
  int64_t deadline_ms;     /* 0: the service's */
};

struct objective
{
  int64_t target_ppm; /* good calls of a million */
  int64_t latency_ms; /* a slower call is not good */
};

struct service
{
  struct resource head;
  struct str_list hosts;
  int64_t call_cap; /* concurrent calls; 0: none */
  int64_t max_body_bytes;
  int64_t deadline_ms;
  int answer_check;  /* enum answer_check */
  int64_t cancel_ms; /* within which an upstream notices a closed connection */
  int64_t not_started_status; /* an answer that proves nothing ran; 0: none */
  int64_t long_slots_percent; /* most slots that long calls may hold */
  struct str health_path;     /* empty: not asked */
  int64_t health_interval_ms;
  struct objective objective;
  struct field_list routes;
  const struct policy *policy; /* NULL: defaults */
  size_t index;
};

struct group
{
  struct resource head;
  struct str service_name;
  struct str zone_name;
  int64_t slots;       /* calls at once, an upstream */
  int64_t connections; /* open at once, an upstream */
  int64_t ramp_ms;     /* a cold upstream reaches its slots after this */
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

struct region_weight
{
  struct str region;
  int64_t weight;
};

struct policy
{
  struct resource head;
  struct str service_name;
  struct field_list regions; /* struct region_weight; empty: all alike */
  int spill;                 /* enum spill_rule */
  int64_t lookup_lifetime_ms;
  int64_t hedge_percent; /* most extra calls of a hundred */
};

struct drain
{
  struct resource head;
  int kind; /* enum drain_kind */
  struct str target;
  struct str reason;
};

struct resource_kind_info
{
  const char *kind;   /* "upstream" */
  const char *plural; /* "upstreams", as in paths and documents */
  const struct field *fields;
  size_t size; /* of the C struct */
};

struct snapshot
{
  int64_t version;
  struct field_list lists[KIND_COUNT]; /* structs by kind */
  apr_hash_t *names[KIND_COUNT];       /* name to struct */
  apr_hash_t *services_by_host;
  apr_pool_t *pool;
  int references;
};

extern const struct resource_kind_info resource_kinds[KIND_COUNT];

/* Returns the kind whose singular or plural is TEXT, or KIND_COUNT.  */
enum resource_kind resource_kind_of (struct str text);

struct snapshot *snapshot_create (int64_t version);
/* Adds one resource; FAULTS get paths that start with "KIND/NAME".  */
void snapshot_add (struct snapshot *snapshot, enum resource_kind kind,
                   struct str name, int64_t version, json_object *spec,
                   struct faults *faults);
/* Resolves names and checks what needs the whole set.  */
void snapshot_finish (struct snapshot *snapshot, struct faults *faults);
struct snapshot *snapshot_ref (struct snapshot *snapshot);
void snapshot_unref (struct snapshot *snapshot);
/* Returns the resource of KIND called NAME, or NULL.  */
void *snapshot_find (const struct snapshot *snapshot, enum resource_kind kind,
                     struct str name);
/* Returns whether a drain of KIND names TARGET.  */
bool snapshot_drained (const struct snapshot *snapshot, enum drain_kind kind,
                       struct str target);
/* Returns the service for a Host header, or NULL.  */
const struct service *
snapshot_service_for_host (const struct snapshot *snapshot, struct str host);
/* Returns the first route of SERVICE for METHOD and PATH, or NULL.  */
const struct route *service_route (const struct service *service,
                                   struct str method, struct str path);
/* Returns whether a call may be sent twice under ROUTE (which may be
   NULL).  */
bool route_repeatable (const struct route *route, struct str method);
/* Returns the link between two regions, or NULL.  */
const struct link_spec *snapshot_link (const struct snapshot *snapshot,
                                       const struct region *a,
                                       const struct region *b);

/* Walks the structs of one kind.  */
#define SNAPSHOT_EACH(snapshot, kind, type, item)                             \
  for (type *item = (snapshot)->lists[kind].items,                            \
            *item##_end = item + (snapshot)->lists[kind].count;               \
       item < item##_end; item++)

#endif
