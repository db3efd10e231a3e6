/* Settings of a gateway, read from a JSON file with comments.

     struct gateway_settings settings;
     gateway_settings_load (path, pool, &settings, faults);

   The file may be read again at any time.  gateway.c then applies `retry',
   `cold', `stop_s', `region_shift' and `log_lines_per_s'; the others, such as
   addresses and names, count only at the start.  Members are named like the
   keys of the file.

   Errors: each invalid value is added to `faults' with its path and what was
   expected.  Threads: the result is read-only.  */
#ifndef GATEWAY_SETTINGS_H
#define GATEWAY_SETTINGS_H

#include "base/field.h"

/* One availability zone and its region.  */
struct gateway_zone
{
  struct str name;
  struct str region;
};

/* Addresses (IP:PORT) at which the gateway listens.  */
struct gateway_addresses
{
  struct str callers;
  struct str readiness;
  struct str lookups;
  struct str metrics; /* also for other entries; may be empty */
  struct str copies;  /* for entries that start, in whose settings it is one of
                         `seeds'; may be empty */
};

/* The platform's store.  */
struct gateway_store
{
  struct str address;
  int64_t in_force_ms; /* bound on the time until a change is in force */
  int64_t leaving_ms;  /* bound on the time until a leaving upstream gets no
                          new requests */
  int64_t poll_ms;     /* between two reads of the changes; 0 in the file: 0.45
                          of the shorter bound, which has no other use */
  int64_t timeout_ms;  /* of one call */
  int64_t lease_ms;    /* for which this entry's key exists without a
                          renewal */
};

/* Bounds of retries; ratio and slack for all entries together.  */
struct gateway_retry
{
  double ratio;             /* retries for each request of a service */
  double slack;             /* retries beyond the ratio, at one moment */
  double turned_away_max_s; /* longest time for which an upstream that refused
                               a request gets none */
};

/* Bounds of requests to one cold upstream, for all entries together.  */
struct gateway_cold
{
  double multiplier; /* of the rate in the configuration */
  double slack;      /* requests beyond that rate, at one moment */
};

/* Bounds of the tenants' quotas, for all entries together.  */
struct gateway_quota
{
  double window_s; /* in which the bound holds; 0: quotas aren't applied */
  double overage;  /* fraction by which a quota may be exceeded there */
  double slack;    /* requests beyond that */
};

/* Capacity of this VM; 0: not known.  */
struct gateway_machine
{
  double link_mbps;
  double cores;
  int64_t memory_mb;
};

struct gateway_settings
{
  struct str name; /* of this entry; unique */
  struct str zone;
  struct str region;
  struct field_list zones; /* struct gateway_zone */
  struct gateway_addresses listen;
  struct gateway_store store;
  struct gateway_retry retry;
  struct gateway_cold cold;
  struct gateway_quota quota;
  struct gateway_machine machine;
  /* Addresses `copies' of some entries, perhaps of this one or of none that
     runs; asked for a copy of the store while no other entry is known.  */
  struct str_list seeds;
  double stop_s; /* bound on the time from the signal to the exit */
  /* Longest lifetime of a look-up that callers respect.  */
  double lookup_most_s;
  double region_shift;     /* fraction of a region's requests that may shift to
                              another region within two seconds */
  int64_t log_lines_per_s; /* largest rate of log lines on requests */
};

/* Reads the file at PATH into SETTINGS, whose strings live in POOL, and fills
   in the defaults.  SETTINGS is valid if FAULTS stays empty.  */
void gateway_settings_load (const char *path, apr_pool_t *pool,
                            struct gateway_settings *settings,
                            struct faults *faults);
/* Returns the region of ZONE, or an empty string if ZONE is unknown.  */
struct str gateway_settings_region (const struct gateway_settings *settings,
                                    struct str zone);

#endif
