/* State of the steering module, shared by its files (internal).

   divide.c  applies configurations and memberships, divides every cap
   choose.c  chooses upstreams and computes the demand for shares
   steer.c   counts attempts in progress and updates the estimates from their
             results  */
#ifndef STEER_INTERNAL_H
#define STEER_INTERNAL_H

#include "steer/token_bucket.h"
#include "steer/steer.h"

/* This entry's position among the entries that divide a cap: number `index'
   of `count'.  `count' 0: it owns nothing.  */
struct position
{
  size_t index;
  size_t count;
};

/* The positions under each membership version in force, newest last.  */
struct positions
{
  struct position *items;
  size_t count;
};

/* The states below live as long as `struct steer', across configurations, so
   that attempts in progress can point to them.  `spec' is the resource in the
   snapshot last applied.  If the snapshot does not have it, `spec' is NULL in
   an upstream; in a service or region it is stale and not used.  */

struct upstream_state
{
  const struct upstream *spec;
  struct service_state *service;
  struct region_state *region;
  struct str name;
  struct str address;
  struct share_pool *slot_pool;
  int64_t slot_count;       /* of all entries, weighted by the policy */
  double response_us;       /* moving average; 0 before the first response */
  apr_time_t next_probe_at; /* while slow: no probe before this */
  apr_time_t ramp_started_at;
  apr_time_t ejected_until;
  bool is_ramping;
  int consecutive_failures;
  int overdue_attempts; /* in progress, reported by steer_report_overdue */
  int leaving_sources;  /* enum leaving_source, or-ed */
  int64_t reported_load_percent;
  apr_time_t reported_at;
};

struct service_state
{
  const struct service *spec;
  struct upstream_state **upstreams; /* those of the own region first */
  size_t count;
  size_t local_count; /* in the own region */
  struct share_pool *call_pool;
  int64_t in_flight_long;
  int64_t in_flight_short;
  int64_t cached_limit; /* of steer_service_limit, computed at `cached_at' */
  apr_time_t cached_at;
  double short_call_peak;  /* recent maximum of `in_flight_short'; decays with
                              each short call that ends */
  double mean_response_us; /* moving average, without the round trip; 0 before
                              the first response */
  double tail_response_us; /* estimate of the time within which HEDGE_QUANTILE
                              of the responses come */
};

struct steer_link
{
  struct share_pool *rate_pool; /* bytes a second */
  struct token_bucket bucket;
  bool is_in_force;   /* the configuration has it; otherwise without limit */
  bool was_throttled; /* bytes had to wait since the last tick */
  struct str name;
};

struct region_state
{
  const struct region *spec;
  struct share_pool *call_pool;
  struct positions positions; /* for the caps of this region */
  apr_time_t rtt_us;          /* between this entry and the region */
};

struct steer
{
  struct steer_desc desc;
  apr_pool_t *pool;
  apr_pool_t *list_pool; /* of the services' lists of upstreams; replaced with
                            each configuration */
  struct snapshot *snapshot;
  apr_hash_t *upstreams; /* struct upstream_state by name */
  apr_hash_t *services;  /* struct service_state by name */
  apr_hash_t *regions;   /* struct region_state by name */
  apr_hash_t *links;     /* struct steer_link by "FROM>TO" */
  struct share *shares;
  struct positions positions;    /* among all entries */
  apr_pool_t *division_pool;     /* of the positions and versions */
  struct membership *membership; /* NULL: this entry is alone */
  int64_t min_confirmed_version; /* by any other member */
  int64_t *versions; /* in force: one of each run of versions with the same
                        members, ascending */
  size_t version_count;
  uint64_t random; /* state of the random numbers */
};

enum
{
  STEER_GROUP_MAX_BYTES = 160 /* of a slot group's or a link's name */
};

/* Response time assumed before any is known.  */
#define STEER_DEFAULT_RESPONSE_US 1000.0
/* Minimum time between probes of a slow upstream with a single call.  */
#define STEER_PROBE_INTERVAL_US INT64_C (100000)
/* An upstream is slow if its response time is more than this many times the
   mean of its service.  A free upstream is not used if it costs more than this
   many times a full one, plus the wait for that.  */
#define STEER_SLOW_FACTOR 3.0

/* Time for which a reported load is used.  */
#define STEER_REPORT_VALID_US INT64_C (10000000)

/* Returns the state called NAME, or NULL.  */
void *steer_find_state (apr_hash_t *states, struct str name);
struct service_state *steer_find_service (const struct steer *steer,
                                          const struct service *service);
/* Withholds the part of this entry's share of the slots that the upstream's
   ramp does not allow yet.  Over all entries, the usable slots grow linearly
   with the time since the ramp started, from at least one.  They do not grow
   between calls of this function, so a late call only withholds more than
   necessary.  */
void steer_update_ramp (struct upstream_state *state, apr_time_t now);
void steer_start_ramp (struct upstream_state *state, apr_time_t now);
/* Writes to BUFFER and returns the name of the share group for SERVICE's slots
   in REGION.  */
struct str steer_slot_group (char *buffer, size_t size, struct str service,
                             struct str region);
/* Returns whether the upstream takes new calls at all.  */
bool steer_upstream_is_available (const struct upstream_state *state,
                                  apr_time_t now);
/* Returns how many attempts of this entry may be in progress at the upstream
   now: its share of the slots and loans; 0 while it is not available.  */
int64_t steer_upstream_limit (const struct upstream_state *state,
                              apr_time_t now);
/* Returns the sum of steer_upstream_limit over the upstreams of SERVICE, as of
   at most 2 ms ago; for estimates.  */
int64_t steer_service_limit (struct service_state *service, apr_time_t now);
/* Returns the response time to expect of an upstream: its own average, or as
   long as it has none, that of its service.  */
double steer_estimate_response_us (const struct service_state *service,
                                   const struct upstream_state *state);
/* Returns whether UPSTREAM is so slow that calls should rather wait for
   another.  */
bool steer_upstream_is_slow (const struct service_state *service,
                             const struct upstream_state *upstream);

#endif
