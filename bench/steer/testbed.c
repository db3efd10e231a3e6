#include "bench/steer/internal.h"

#include <apr_strings.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* constants */

static const char *const regions[] = { "gwent", "dyfed", "gwynedd" };

/* private functions */

/* The allocator in the store.  */

static struct share_pool *
cap_pool (struct entry *e)
{
  struct share_cap cap = { .kind = SHARE_SERVICE, .name = STR ("orderdesk") };
  return share_pool_get (steer_shares (e->steer), &cap);
}

static void
on_allocate (void *part, apr_time_t now)
{
  struct testbed *f = part;
  int64_t demand[TESTBED_ENTRIES];
  int64_t sum = 0;
  timer_start (f->timers, &f->store_timer, now + STORE_PERIOD_US, on_allocate,
               f);
  if (now >= f->plan.warm_up_us
      && now < f->plan.warm_up_us + f->plan.store_down_us)
    return;
  for (int i = 0; i < TESTBED_ENTRIES; i++)
    {
      struct entry *e = &f->entries[i];
      demand[i] = 1 + share_pool_used (cap_pool (e))
                  + (int64_t)queue_length (e->queue);
      sum += demand[i];
      f->result.store_writes++;
    }
  for (int i = 0; i < TESTBED_ENTRIES; i++)
    {
      int64_t *held = &f->store_parts[i];
      int64_t part_now = f->plan.call_cap * demand[i] / sum;
      if (f->store_grows ? part_now > *held : part_now < *held)
        *held = part_now;
    }
  /* What others have not given up yet cannot be granted.  */
  int64_t granted = 0;
  for (int i = 0; i < TESTBED_ENTRIES; i++)
    {
      int64_t left = f->plan.call_cap - granted;
      if (f->store_parts[i] > left)
        f->store_parts[i] = left;
      granted += f->store_parts[i];
      share_pool_set_base (cap_pool (&f->entries[i]), f->store_parts[i]);
    }
  f->store_grows = !f->store_grows;
}

/* What happens to the world.  */

static void
on_slow (void *part, apr_time_t now)
{
  struct testbed *f = part;
  for (int i = 0; i < UPSTREAMS; i++)
    f->upstreams[i].slow = 1.0;
  for (int i = 0; i < 3; i++)
    f->upstreams[bed_pick_world (f, UPSTREAMS)].slow = SLOW_FACTOR;
  timer_start (f->timers, &f->slow_timer,
               now + TIMER_MS (200) + (apr_time_t)bed_pick_world (f, 1800000),
               on_slow, f);
}

static void
on_report (void *part, apr_time_t now)
{
  struct testbed *f = part;
  for (int i = 0; i < UPSTREAMS; i++)
    {
      struct upstream_model *u = &f->upstreams[i];
      bool lies = f->plan.lying && u->slow > 1.0;
      u->reported = lies ? 0 : 100 * (u->running + u->queued) / SLOTS;
      for (int e = 0; e < TESTBED_ENTRIES; e++)
        steer_set_reported_load (f->entries[e].steer, u->spec->head.name,
                                 u->reported, now);
    }
  timer_start (f->timers, &f->report_timer, now + REPORT_LAG_US, on_report, f);
}

/* Every half second one entry is killed for good, paused, or cut off, and
   the paused and cut off ones of before come back.  Two stay untouched.  */
static void
on_disturb (void *part, apr_time_t now)
{
  struct testbed *f = part;
  int killed = 0;
  for (int i = 0; i < TESTBED_ENTRIES; i++)
    {
      killed += f->entries[i].dead;
      if (f->entries[i].paused)
        {
          f->entries[i].paused = false;
          bed_offer (&f->entries[i]);
        }
      f->entries[i].cut_off = false;
    }
  struct entry *e = &f->entries[2 + bed_pick_world (f, TESTBED_ENTRIES - 2)];
  switch (bed_pick_world (f, 5))
    {
    case 0:
      if (killed < 3)
        e->dead = true;
      break;
    case 1:
    case 2:
      e->paused = true;
      break;
    default:
      e->cut_off = true;
    }
  timer_start (f->timers, &f->disturb_timer, now + TIMER_MS (500), on_disturb,
               f);
}

static void
on_shift (void *part, apr_time_t now)
{
  struct testbed *f = part;
  f->service = snapshot_find (f->shifted, KIND_SERVICE, STR ("orderdesk"));
  for (int i = 0; i < UPSTREAMS; i++)
    {
      struct upstream_model *u = &f->upstreams[i];
      u->spec = snapshot_find (f->shifted, KIND_UPSTREAM, u->spec->head.name);
      u->leaving = u->spec->drained;
      if (!u->leaving)
        u->cold_from = u->open_from = now;
    }
  for (int i = 0; i < TESTBED_ENTRIES; i++)
    {
      steer_apply (f->entries[i].steer, f->shifted, now);
      bed_offer (&f->entries[i]);
    }
}

/* Construction.  */

/* DRAINED: -1, or the region whose upstreams are drained.  NEAR_ONLY: the
   other regions' upstreams are drained, so that they are cold later.  */
static struct snapshot *
make_snapshot (const struct testbed_plan *plan, bool first_only, bool drained,
               int64_t version)
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
          regions[r], regions[(r + 1) % REGIONS], LINK_MS));
      snapshot_add (s, KIND_LINK, str_from (regions[r]), 1, link, faults);
      json_object_put (link);
      json_object *group = json_tokener_parse (apr_psprintf (
          pool,
          "{\"service\":\"orderdesk\",\"zone\":\"%s\",\"slots\":%d,"
          "\"ramp_ms\":%d}",
          regions[r], SLOTS, RAMP_MS));
      snapshot_add (s, KIND_GROUP, str_from (regions[r]), 1, group, faults);
      json_object_put (group);
      if ((first_only && r > 0) || (drained && r == 0))
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
open_entry (struct testbed *f, int i)
{
  struct entry *e = &f->entries[i];
  struct member_record members[TESTBED_ENTRIES];
  struct share_peer peers[TESTBED_ENTRIES];
  size_t peer_count = 0;
  snprintf (e->name, sizeof e->name, "e%02d", i + 1);
  e->index = i;
  e->region = str_from (regions[i % REGIONS]);
  e->bed = f;
  struct steer_desc desc
      = { .region = e->region,
          .seed = f->plan.seed * 1000 + (uint64_t)i + 1,
          .share = { .entry = str_from (e->name),
                     .incarnation = 1,
                     .max_use_us = DEADLINE_US + TIMER_SEC (1),
                     .seed = f->plan.seed * 7 + (uint64_t)i + 1,
                     .send = bed_send_share,
                     .user_data = e } };
  e->steer = steer_create (f->pool, &desc);
  e->queue = queue_create (f->pool);
  budget_init (&e->retries, 0.18, 10);
  budget_init (&e->hedges, 0.05, 20);
  for (int m = 0; m < TESTBED_ENTRIES; m++)
    {
      struct str region = str_from (regions[m % REGIONS]);
      members[m] = (struct member_record){
        .name = str_printf (f->pool, "e%02d", m + 1),
        .region = region,
        .incarnation = 1,
        .joined_version = 1,
        .removed_version = MEMBER_NOT_REMOVED,
      };
      if (m != i)
        peers[peer_count++]
            = (struct share_peer){ members[m].name, region,
                                   2 * bed_way_us (e, region) };
    }
  steer_apply (e->steer, f->snapshot, 0);
  struct membership *membership
      = membership_create (1, 1, members, TESTBED_ENTRIES);
  steer_set_membership (e->steer, membership, 1);
  membership_unref (membership);
  share_set_peers (steer_shares (e->steer), peers, peer_count);
  bed_on_tick (e, f->now);
  bool is_busy = f->plan.shift
                     ? i % REGIONS == 0
                     : f->plan.busy_entries == 0 || i < f->plan.busy_entries;
  if (is_busy)
    timer_start (f->timers, &e->arrival, f->now + 1, bed_on_arrival, e);
}

static int
by_value (const void *a, const void *b)
{
  uint32_t x = *(const uint32_t *)a;
  uint32_t y = *(const uint32_t *)b;
  return (x > y) - (x < y);
}

static void
run_until (struct testbed *f, apr_time_t end)
{
  for (;;)
    {
      apr_time_t next = timer_service_next_due (f->timers);
      if (next < 0 || next > end)
        break;
      f->now = next;
      timer_service_run (f->timers, next);
    }
  f->now = end;
}

/* public functions */

struct testbed_result
testbed_run (const struct testbed_plan *plan)
{
  struct testbed *f = calloc (1, sizeof *f);
  f->plan = *plan;
  f->random = plan->seed * 0x9E3779B97F4A7C15ULL + 1;
  f->world_random = plan->seed * 0xC2B2AE3D27D4EB4FULL + 1;
  apr_pool_create (&f->pool, NULL);
  f->timers = timer_service_create ();
  f->latencies = malloc (LATENCIES_MAX * sizeof *f->latencies);
  f->snapshot = make_snapshot (plan, plan->shift, false, 1);
  f->shifted = make_snapshot (plan, false, true, 2);
  f->service = snapshot_find (f->snapshot, KIND_SERVICE, STR ("orderdesk"));
  f->end = plan->warm_up_us + plan->length_us;
  for (int i = 0; i < UPSTREAMS; i++)
    {
      const struct upstream *all = f->snapshot->lists[KIND_UPSTREAM].items;
      f->upstreams[i] = (struct upstream_model){
        .spec = &all[i], .slow = 1.0, .cold_from = -1, .open_from = -1
      };
      f->upstreams[i].leaving = all[i].drained;
    }
  for (int i = 0; i < TESTBED_ENTRIES; i++)
    open_entry (f, i);
  if (plan->slowed)
    on_slow (f, 0);
  on_report (f, 0);
  if (plan->policy == POLICY_STORE)
    {
      for (int i = 0; i < TESTBED_ENTRIES; i++)
        f->store_parts[i] = plan->call_cap / TESTBED_ENTRIES;
      on_allocate (f, 0);
    }
  if (plan->disturbed)
    timer_start (f->timers, &f->disturb_timer, TIMER_MS (500), on_disturb, f);
  if (plan->shift)
    timer_start (f->timers, &f->shift_timer, plan->warm_up_us, on_shift, f);
  run_until (f, plan->warm_up_us);
  bed_note_concurrency (f, 0);
  f->concurrent_area = 0;
  run_until (f, f->end);
  bed_note_concurrency (f, 0);
  struct testbed_result result = f->result;
  qsort (f->latencies, f->latency_count, sizeof *f->latencies, by_value);
  size_t n = f->latency_count;
  if (n > 0)
    {
      result.p50_ms = f->latencies[n / 2] / 1000.0;
      result.p99_ms = f->latencies[n - 1 - n / 100] / 1000.0;
    }
  if (plan->call_cap > 0)
    result.cap_use = f->concurrent_area / (double)plan->length_us
                     / (double)plan->call_cap;
  for (int i = 0; i < TESTBED_ENTRIES; i++)
    steer_destroy (f->entries[i].steer);
  free (f->latencies);
  /* Calls still open at the end stay with the process.  */
  return result;
}
