/* State of the steering slice, shared by its files (internal).

   divide.c  takes configurations in and divides every cap
   choose.c  chooses upstreams and says what shares are wanted
   steer.c   counts calls in progress and learns from how they end  */
#ifndef STEER_INTERNAL_H
#define STEER_INTERNAL_H

#include "steer/pace.h"
#include "steer/steer.h"

/* This entry's place in a division: the INDEX-th of COUNT; COUNT 0: none.  */
struct position
{
  size_t index;
  size_t count;
};

/* The places under every version of the division that is in force, the
   newest last.  */
struct positions
{
  struct position *items;
  size_t count;
};

/* States outlive configurations, so that tickets stay valid; `spec' is the
   resource in the snapshot last applied, or NULL once that is gone.  */

struct upstream_state
{
  const struct upstream *spec;
  struct service_state *service;
  struct region_state *region;
  struct str name;
  struct str address;
  struct share_pool *slot_pool;
  int64_t slot_count;   /* of the whole upstream, under the policy */
  double response_us;   /* moving average; 0 before the first answer */
  apr_time_t next_probe_at;  /* a slow one may be tried again */
  apr_time_t ramp_started_at; /* the ramp starts here */
  apr_time_t ejected_until;
  bool is_ramping;
  int consecutive_failures; /* in a row */
  int overdue_attempts;  /* calls in progress that steer_overdue named */
  int leaving_sources;
  int64_t reported_load_percent;
  apr_time_t reported_at;
};

struct service_state
{
  const struct service *spec;
  struct upstream_state **upstreams; /* those of the own region first */
  size_t count;
  size_t local_count;
  struct share_pool *call_pool;
  int64_t in_flight_long;
  int64_t in_flight_short;
  int64_t cached_limit; /* steer_service_limit as of `counted_at' */
  apr_time_t cached_at;
  double short_call_peak; /* decays with each short call that ends */
  double mean_response_us;
  double tail_response_us; /* HEDGE_QUANTILE of the response times */
};

struct steer_link
{
  struct share_pool *rate_pool; /* a second */
  struct pace bucket;
  bool was_throttled; /* bytes had to wait since the last tick */
  struct str name;
};

struct region_state
{
  const struct region *spec;
  struct share_pool *call_pool;
  struct positions positions;     /* for what lies in this region */
  apr_time_t rtt_us; /* there and back */
};

struct steer
{
  struct steer_desc desc;
  apr_pool_t *pool;
  apr_pool_t *list_pool; /* of the services' lists of upstreams */
  struct snapshot *snapshot;
  apr_hash_t *upstreams; /* states by name */
  apr_hash_t *services;
  apr_hash_t *regions;
  apr_hash_t *links; /* struct steer_link by "FROM>TO" */
  struct share *shares;
  struct positions positions;            /* among all entries */
  apr_pool_t *division_pool;     /* of the positions and versions */
  struct membership *membership; /* NULL: this entry is alone */
  int64_t min_confirmed_version;                 /* version that all others confirmed */
  int64_t *versions;             /* in force, those whose members differ */
  size_t version_count;
  uint64_t random;
};

enum
{
  STEER_GROUP_MAX_BYTES = 160
};

/* Response time assumed before any is known.  */
#define STEER_DEFAULT_RESPONSE_US 1000.0
/* A slow upstream is tried again with one call after this.  */
#define STEER_PROBE_INTERVAL_US INT64_C (100000)
/* A free upstream is left alone if a busy one costs this many times less.  */
#define STEER_SLOW_FACTOR 3.0

/* A load report is a hint for so long.  */
#define STEER_REPORT_VALID_US INT64_C (10000000)

/* Returns the state called NAME, or NULL.  */
void *steer_find_state (apr_hash_t *states, struct str name);
struct service_state *steer_find_service (const struct steer *steer,
                                     const struct service *service);
/* Sets what of this entry's own slots is held back while the upstream warms
   up: over all entries, the slots in use grow with its age, at least one.
   Called late it holds back more than it need.  */
void steer_update_ramp (struct upstream_state *state, apr_time_t now);
void steer_start_ramp (struct upstream_state *state, apr_time_t now);
/* Returns the name of the group of SERVICE's slots in REGION.  */
struct str steer_slot_group (char *buffer, size_t size, struct str service,
                             struct str region);
/* Returns whether the upstream takes new calls at all.  */
bool steer_upstream_is_available (const struct upstream_state *state, apr_time_t now);
/* Returns the calls that the upstream may have from this entry now: its
   share of the slots, none while it leaves or is ejected.  */
int64_t steer_upstream_limit (const struct upstream_state *state, apr_time_t now);
/* Returns the calls that all upstreams of SERVICE may have from this entry, as
   of at most 2 ms ago; for estimates.  */
int64_t steer_service_limit (struct service_state *service, apr_time_t now);
double steer_estimate_response_us (const struct service_state *service,
                                const struct upstream_state *state);
/* Returns whether calls had better wait than go to UPSTREAM.  */
bool steer_upstream_is_slow (const struct service_state *service,
                    const struct upstream_state *upstream);

#endif
