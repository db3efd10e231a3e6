/* Processor time of the gateway's decisions and of its housekeeping, by the
   number of upstreams and entries.  */
#include "bench/gateway/cost.h"

#include "balance/balance.h"
#include "balance/region_split.h"
#include "base/timer.h"
#include "gateway/registry.h"

#include <stdio.h>
#include <time.h>

/* constants */

enum
{
  REGIONS = 3,
  CHOICES = 20000,
  TICKS_PER_S = 10, /* updates of the load of the regions */
  EXPIRY_CHECKS_PER_S = 4,
  READER_QUERIES_PER_S = 5, /* for changes, and for what is unreachable */
  MEASURED_S = 20
};

static const char *const region_names[REGIONS] = { "r0", "r1", "r2" };

/* private functions */

static struct str
find_region (void *user_data, struct str zone)
{
  (void)user_data;
  return zone;
}

/* Returns the processor time of this process in microseconds.  */
static double
processor_us (void)
{
  struct timespec at;
  clock_gettime (CLOCK_PROCESS_CPUTIME_ID, &at);
  return (double)at.tv_sec * 1e6 + (double)at.tv_nsec / 1e3;
}

static struct fleet *
create_fleet (apr_pool_t *pool, int upstreams)
{
  struct fleet_desc desc = { .find_region = find_region };
  struct fleet *fleet = fleet_create (pool, &desc);
  for (int i = 0; i < upstreams; i++)
    {
      struct fleet_record record
          = { .id = str_printf (pool, "i-%08x", i * 2654435761U),
              .service = STR ("s"),
              .address = STR ("10.0.0.1:1"),
              .zone = str_from (region_names[i % REGIONS]),
              .slots = 9,
              .incarnation = 1 };
      fleet_put_upstream (fleet, &record, i + 1, 0);
    }
  return fleet;
}

/* Returns the registry of an entry among ENTRIES.  */
static struct registry *
create_registry (apr_pool_t *pool, struct gateway_settings *settings,
                 int entries)
{
  static struct gateway_zone zones[REGIONS];
  for (int i = 0; i < REGIONS; i++)
    zones[i].name = zones[i].region = str_from (region_names[i]);
  *settings = (struct gateway_settings){
    .name = STR ("e0"),
    .zone = str_from (region_names[0]),
    .region = str_from (region_names[0]),
    .zones = { .items = zones, .count = REGIONS },
    .listen = { .metrics = STR ("10.0.0.1:2") },
  };
  struct registry_desc desc = { .settings = settings };
  struct registry *registry = registry_create (pool, &desc);
  for (int i = 0; i < entries; i++)
    registry_put (registry, str_printf (pool, "e%d", i),
                  str_printf (pool,
                              "{\"callers\":\"10.0.0.1:1\",\"zone\":\"%s\","
                              "\"leaving\":false,\"capacity\":%d,"
                              "\"peers\":\"10.0.0.1:2\"}",
                              region_names[i % REGIONS], i % 7));
  return registry;
}

/* Returns the microseconds of one choice among the upstreams of a region.  */
static double
measure_choice (const struct fleet *fleet)
{
  struct balance_service_time times = { 100000, 300000 };
  struct balance_request request
      = { .group = fleet_group (fleet_service (fleet, STR ("s")),
                                str_from (region_names[0])),
          .affinity = fleet_affinity (fleet),
          .recurs = true,
          .service_time = &times,
          .own_zone = str_from (region_names[0]),
          .idle_timeout = TIMER_SEC (6),
          .max_queue_per_slot = 1.0,
          .max_in_flight = 64,
          .now = TIMER_SEC (1000) };
  double before = processor_us ();
  for (int i = 0; i < CHOICES; i++)
    {
      request.object = (uint64_t)(i + 1) * 0x9e3779b97f4a7c15ULL;
      struct balance_choice choice = balance_choose_upstream (&request);
      load_begin_request (&choice.upstream->load, request.now);
      load_end_request (&choice.upstream->load, LOAD_ANSWERED, 100000, 100000,
                        request.now);
    }
  return (processor_us () - before) / CHOICES;
}

/* Returns the microseconds a second of what an entry does without requests,
   but for its calls to the store and to readers.  */
static double
measure_housekeeping (struct fleet *fleet, struct registry *registry)
{
  struct region_split split;
  struct balance_reports reports = { 0 };
  struct balance_region_load loads[REGIONS];
  region_split_init (&split, REGIONS, 0, 0.03);
  double before = processor_us ();
  for (int tick = 0; tick < MEASURED_S * TICKS_PER_S; tick++)
    {
      apr_time_t now = TIMER_SEC (1000) + tick * TIMER_MS (100);
      const struct fleet_service *service = fleet_service (fleet, STR ("s"));
      double weight = balance_unheard_weight (service, now);
      for (int r = 0; r < REGIONS; r++)
        loads[r] = balance_region_load (
            fleet_group (service, str_from (region_names[r])),
            weight * balance_mean_requests (&reports, now), 1.0, now);
      region_split_update (&split, loads, now);
    }
  for (int i = 0; i < MEASURED_S * EXPIRY_CHECKS_PER_S; i++)
    {
      fleet_remove_expired (fleet, TIMER_SEC (2000));
      registry_remove_expired (registry, TIMER_SEC (2000));
    }
  for (int i = 0; i < MEASURED_S * READER_QUERIES_PER_S; i++)
    registry_reader_address (registry, 0);
  return (processor_us () - before) / MEASURED_S;
}

/* public functions */

void
cost_print (void)
{
  static const struct
  {
    int upstreams;
    int entries;
  } sizes[] = { { 300, 60 }, { 3000, 3500 } };
  double choices[2];
  for (int i = 0; i < 2; i++)
    {
      apr_pool_t *pool;
      apr_pool_create (&pool, NULL);
      struct gateway_settings settings;
      struct fleet *fleet = create_fleet (pool, sizes[i].upstreams);
      struct registry *registry
          = create_registry (pool, &settings, sizes[i].entries);
      choices[i] = measure_choice (fleet);
      /* A hundredth of a core.  */
      double idle = measure_housekeeping (fleet, registry);
      double target = i == 0 || choices[0] * 5 > 20 ? 20 : choices[0] * 5;
      printf ("figure gateway_choose_us_%d %.2f us target=%.2f %s\n",
              sizes[i].upstreams, choices[i], target,
              choices[i] <= target ? "ok" : "short");
      printf ("figure gateway_idle_us_per_s_%d %.0f us entries=%d "
              "target=10000 %s\n",
              sizes[i].upstreams, idle, sizes[i].entries,
              idle <= 10000 ? "ok" : "short");
      registry_destroy (registry);
      fleet_destroy (fleet);
      apr_pool_destroy (pool);
    }
}
