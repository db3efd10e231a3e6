/* The testbed: the allocator of POLICY_STORE, faults, construction, results.
 */
#include "bench/steer/internal.h"

#include <apr_strings.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* constants */

static const char *const regions[] = { "gwent", "dyfed", "gwynedd" };

/* private functions */

/* The allocator of POLICY_STORE.  */

static struct share_pool *
service_cap_pool (struct entry *e)
{
  struct share_cap cap = { .kind = SHARE_SERVICE, .name = STR ("orderdesk") };
  return share_pool_get (steer_shares (e->steer), &cap);
}

/* One phase of the allocation.  */
static void
on_allocate (void *user_data, apr_time_t now)
{
  struct testbed *testbed = user_data;
  int64_t demand[TESTBED_ENTRIES];
  int64_t sum = 0;
  timer_start (testbed->timers, &testbed->store_timer, now + STORE_PERIOD_US,
               on_allocate, testbed);
  if (now >= testbed->plan.warm_up_us
      && now < testbed->plan.warm_up_us + testbed->plan.store_outage_us)
    return;
  for (int i = 0; i < TESTBED_ENTRIES; i++)
    {
      struct entry *e = &testbed->entries[i];
      demand[i] = 1 + share_pool_used (service_cap_pool (e))
                  + (int64_t)queue_length (e->queue);
      sum += demand[i];
      testbed->result.store_writes++;
    }
  for (int i = 0; i < TESTBED_ENTRIES; i++)
    {
      int64_t *share = &testbed->store_shares[i];
      int64_t new_share = testbed->plan.call_cap * demand[i] / sum;
      if (testbed->store_grows_next ? new_share > *share : new_share < *share)
        *share = new_share;
    }
  /* What others have not given up yet cannot be granted.  */
  int64_t granted = 0;
  for (int i = 0; i < TESTBED_ENTRIES; i++)
    {
      int64_t left = testbed->plan.call_cap - granted;
      if (testbed->store_shares[i] > left)
        testbed->store_shares[i] = left;
      granted += testbed->store_shares[i];
      share_pool_set_base (service_cap_pool (&testbed->entries[i]),
                           testbed->store_shares[i]);
    }
  testbed->store_grows_next = !testbed->store_grows_next;
}

/* Faults and other events.  */

/* Makes other upstreams slow, every 0.2 to 2 s.  */
static void
on_slow_upstreams (void *user_data, apr_time_t now)
{
  struct testbed *testbed = user_data;
  for (int i = 0; i < UPSTREAMS; i++)
    testbed->upstreams[i].slow_factor = 1.0;
  for (int i = 0; i < 3; i++)
    testbed->upstreams[testbed_fault_random_below (testbed, UPSTREAMS)]
        .slow_factor
        = SLOW_FACTOR;
  timer_start (testbed->timers, &testbed->slow_timer,
               now + TIMER_MS (200)
                   + (apr_time_t)testbed_fault_random_below (testbed, 1800000),
               on_slow_upstreams, testbed);
}

/* Sends the load of every upstream to all entries.  */
static void
on_report (void *user_data, apr_time_t now)
{
  struct testbed *testbed = user_data;
  for (int i = 0; i < UPSTREAMS; i++)
    {
      struct upstream_model *u = &testbed->upstreams[i];
      bool reports_idle = testbed->plan.false_reports && u->slow_factor > 1.0;
      u->reported_load
          = reports_idle ? 0 : 100 * (u->running + u->queued) / SLOTS;
      for (int e = 0; e < TESTBED_ENTRIES; e++)
        steer_set_reported_load (testbed->entries[e].steer, u->spec->head.name,
                                 u->reported_load, now);
    }
  timer_start (testbed->timers, &testbed->report_timer,
               now + REPORT_INTERVAL_US, on_report, testbed);
}

/* Every half second ends all pauses and cuts, and then kills one entry for
   good (up to three of them), pauses it or cuts it off.  The first two entries
   have no faults.  */
static void
on_fault (void *user_data, apr_time_t now)
{
  struct testbed *testbed = user_data;
  int killed_count = 0;
  for (int i = 0; i < TESTBED_ENTRIES; i++)
    {
      killed_count += testbed->entries[i].killed;
      if (testbed->entries[i].paused)
        {
          testbed->entries[i].paused = false;
          testbed_dispatch_queued (&testbed->entries[i]);
        }
      testbed->entries[i].cut_off = false;
    }
  struct entry *e = &testbed->entries[2
                                      + testbed_fault_random_below (
                                          testbed, TESTBED_ENTRIES - 2)];
  switch (testbed_fault_random_below (testbed, 5))
    {
    case 0:
      if (killed_count < 3)
        e->killed = true;
      break;
    case 1:
    case 2:
      e->paused = true;
      break;
    default:
      e->cut_off = true;
    }
  timer_start (testbed->timers, &testbed->fault_timer, now + TIMER_MS (500),
               on_fault, testbed);
}

/* The end of the warm-up, if a region is drained: applies the configuration
   with the drain.  */
static void
on_region_drain (void *user_data, apr_time_t now)
{
  struct testbed *testbed = user_data;
  testbed->service = snapshot_find (testbed->drained_snapshot, KIND_SERVICE,
                                    STR ("orderdesk"));
  for (int i = 0; i < UPSTREAMS; i++)
    {
      struct upstream_model *u = &testbed->upstreams[i];
      u->spec = snapshot_find (testbed->drained_snapshot, KIND_UPSTREAM,
                               u->spec->head.name);
      u->draining = u->spec->drained;
      if (!u->draining)
        u->cold_since = u->ramp_start = now;
    }
  for (int i = 0; i < TESTBED_ENTRIES; i++)
    {
      steer_apply (testbed->entries[i].steer, testbed->drained_snapshot, now);
      testbed_dispatch_queued (&testbed->entries[i]);
    }
}

/* Construction.  */

/* Makes the configuration of PLAN.  FIRST_REGION_ONLY: all regions but the
   first are drained, so that their upstreams are cold later.
   FIRST_REGION_DRAINED: the first one is.  */
static struct snapshot *
make_snapshot (const struct testbed_plan *plan, bool first_region_only,
               bool first_region_drained, int64_t version)
{
  apr_pool_t *pool;
  apr_pool_create (&pool, NULL);
  struct faults *faults = faults_create (pool);
  struct snapshot *s = snapshot_create (version);
  json_object *spec = json_object_new_object ();
  for (int r = 0; r < REGIONS; r++)
    {
      snapshot_add (s, KIND_REGION, str_from (regions[r]), 1, spec, faults);
      json_object *zone = json_tokener_parse (
          apr_psprintf (pool, "{\"region\":\"%s\"}", regions[r]));
      snapshot_add (s, KIND_ZONE, str_from (regions[r]), 1, zone, faults);
      json_object_put (zone);
      json_object *link = json_tokener_parse (apr_psprintf (
          pool,
          "{\"between\":[\"%s\",\"%s\"],\"bytes_per_second\":500000000,"
          "\"latency_ms\":%d}",
          regions[r], regions[(r + 1) % REGIONS], ONE_WAY_MS));
      snapshot_add (s, KIND_LINK, str_from (regions[r]), 1, link, faults);
      json_object_put (link);
      json_object *group = json_tokener_parse (apr_psprintf (
          pool,
          "{\"service\":\"orderdesk\",\"zone\":\"%s\",\"slots\":%d,"
          "\"ramp_ms\":%d}",
          regions[r], SLOTS, RAMP_MS));
      snapshot_add (s, KIND_GROUP, str_from (regions[r]), 1, group, faults);
      json_object_put (group);
      if ((first_region_only && r > 0) || (first_region_drained && r == 0))
        {
          json_object *drain = json_tokener_parse (apr_psprintf (
              pool, "{\"kind\":\"region\",\"target\":\"%s\"}", regions[r]));
          snapshot_add (s, KIND_DRAIN, str_from (regions[r]), 1, drain,
                        faults);
          json_object_put (drain);
        }
    }
  json_object *service = json_tokener_parse (
      apr_psprintf (pool, "{\"hosts\":[\"o.example\"],\"call_cap\":%ld}",
                    (long)plan->call_cap));
  snapshot_add (s, KIND_SERVICE, STR ("orderdesk"), 1, service, faults);
  json_object_put (service);
  for (int i = 0; i < UPSTREAMS; i++)
    {
      json_object *upstream = json_tokener_parse (apr_psprintf (
          pool, "{\"group\":\"%s\",\"address\":\"127.0.0.%d:9\"}",
          regions[i % REGIONS], i + 1));
      snapshot_add (s, KIND_UPSTREAM, str_printf (pool, "od-%02d", i), 1,
                    upstream, faults);
      json_object_put (upstream);
    }
  json_object_put (spec);
  snapshot_finish (s, faults);
  if (faults_count (faults) > 0)
    {
      fprintf (stderr, "%s: %s\n", faults_at (faults, 0)->path.data,
               faults_at (faults, 0)->expected.data);
      abort ();
    }
  apr_pool_destroy (pool);
  return s;
}

static void
create_entry (struct testbed *testbed, int i)
{
  struct entry *e = &testbed->entries[i];
  struct member_record members[TESTBED_ENTRIES];
  struct share_peer peers[TESTBED_ENTRIES];
  size_t peer_count = 0;
  snprintf (e->name, sizeof e->name, "e%02d", i + 1);
  e->index = i;
  e->region = str_from (regions[i % REGIONS]);
  e->testbed = testbed;
  struct steer_desc desc
      = { .region = e->region,
          .seed = testbed->plan.seed * 1000 + (uint64_t)i + 1,
          .share = { .entry = str_from (e->name),
                     .incarnation = 1,
                     .max_use_us = DEADLINE_US + TIMER_SEC (1),
                     .seed = testbed->plan.seed * 7 + (uint64_t)i + 1,
                     .send = testbed_send_share,
                     .user_data = e } };
  e->steer = steer_create (testbed->pool, &desc);
  e->queue = queue_create (testbed->pool);
  budget_init (&e->retry_budget, 0.18, 10);
  budget_init (&e->hedge_budget, 0.05, 20);
  for (int m = 0; m < TESTBED_ENTRIES; m++)
    {
      struct str region = str_from (regions[m % REGIONS]);
      members[m] = (struct member_record){
        .name = str_printf (testbed->pool, "e%02d", m + 1),
        .region = region,
        .incarnation = 1,
        .joined_version = 1,
        .removed_version = MEMBER_NOT_REMOVED,
      };
      if (m != i)
        peers[peer_count++]
            = (struct share_peer){ members[m].name, region,
                                   2 * testbed_one_way_us (e, region) };
    }
  steer_apply (e->steer, testbed->snapshot, 0);
  struct membership *membership
      = membership_create (1, 1, members, TESTBED_ENTRIES);
  steer_set_membership (e->steer, membership, 1);
  membership_unref (membership);
  share_set_peers (steer_shares (e->steer), peers, peer_count);
  testbed_on_tick (e, testbed->now);
  bool is_busy = testbed->plan.drain_region
                     ? i % REGIONS == 0
                     : testbed->plan.busy_entries == 0
                           || i < testbed->plan.busy_entries;
  if (is_busy)
    timer_start (testbed->timers, &e->arrival_timer, testbed->now + 1,
                 testbed_on_arrival, e);
}

static int
compare_latencies (const void *a, const void *b)
{
  uint32_t x = *(const uint32_t *)a;
  uint32_t y = *(const uint32_t *)b;
  return (x > y) - (x < y);
}

static void
run_until (struct testbed *testbed, apr_time_t end)
{
  for (;;)
    {
      apr_time_t next = timer_service_next_due (testbed->timers);
      if (next < 0 || next > end)
        break;
      testbed->now = next;
      timer_service_run (testbed->timers, next);
    }
  testbed->now = end;
}

/* public functions */

struct testbed_result
testbed_run (const struct testbed_plan *plan)
{
  struct testbed *testbed = calloc (1, sizeof *testbed);
  testbed->plan = *plan;
  testbed->random = plan->seed * 0x9E3779B97F4A7C15ULL + 1;
  testbed->fault_random = plan->seed * 0xC2B2AE3D27D4EB4FULL + 1;
  apr_pool_create (&testbed->pool, NULL);
  testbed->timers = timer_service_create ();
  testbed->latencies = malloc (MAX_LATENCIES * sizeof *testbed->latencies);
  testbed->snapshot = make_snapshot (plan, plan->drain_region, false, 1);
  testbed->drained_snapshot = make_snapshot (plan, false, true, 2);
  testbed->service
      = snapshot_find (testbed->snapshot, KIND_SERVICE, STR ("orderdesk"));
  testbed->end = plan->warm_up_us + plan->duration_us;
  for (int i = 0; i < UPSTREAMS; i++)
    {
      const struct upstream *all
          = testbed->snapshot->lists[KIND_UPSTREAM].items;
      testbed->upstreams[i] = (struct upstream_model){
        .spec = &all[i], .slow_factor = 1.0, .cold_since = -1, .ramp_start = -1
      };
      testbed->upstreams[i].draining = all[i].drained;
    }
  for (int i = 0; i < TESTBED_ENTRIES; i++)
    create_entry (testbed, i);
  if (plan->slow_upstreams)
    on_slow_upstreams (testbed, 0);
  on_report (testbed, 0);
  if (plan->policy == POLICY_STORE)
    {
      for (int i = 0; i < TESTBED_ENTRIES; i++)
        testbed->store_shares[i] = plan->call_cap / TESTBED_ENTRIES;
      on_allocate (testbed, 0);
    }
  if (plan->inject_faults)
    timer_start (testbed->timers, &testbed->fault_timer, TIMER_MS (500),
                 on_fault, testbed);
  if (plan->drain_region)
    timer_start (testbed->timers, &testbed->drain_timer, plan->warm_up_us,
                 on_region_drain, testbed);
  run_until (testbed, plan->warm_up_us);
  testbed_count_concurrency (testbed, 0);
  testbed->concurrency_integral = 0;
  run_until (testbed, testbed->end);
  testbed_count_concurrency (testbed, 0);
  struct testbed_result result = testbed->result;
  qsort (testbed->latencies, testbed->latency_count,
         sizeof *testbed->latencies, compare_latencies);
  size_t n = testbed->latency_count;
  if (n > 0)
    {
      result.p50_ms = testbed->latencies[n / 2] / 1000.0;
      result.p99_ms = testbed->latencies[n - 1 - n / 100] / 1000.0;
    }
  if (plan->call_cap > 0)
    result.cap_utilization = testbed->concurrency_integral
                             / (double)plan->duration_us
                             / (double)plan->call_cap;
  for (int i = 0; i < TESTBED_ENTRIES; i++)
    steer_destroy (testbed->entries[i].steer);
  free (testbed->latencies);
  /* Calls still open at the end stay with the process.  */
  return result;
}
