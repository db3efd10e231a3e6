/* Bytes over one way of a link, by entries that come and go: in windows of
   100 ms, and as a part of the cap.  */
#include "bench/steer/links.h"

#include "base/timer.h"
#include "bench/steer/crowd.h"

#include <json-c/json.h>
#include <stdlib.h>

/* types */

/* One run.  */
struct links
{
  const struct links_plan *plan;
  struct crowd *fleet;
  struct str from;
  double owed[FLEET_MAX]; /* bytes that wait at an entry */
  int64_t bins[LINKS_WINDOW_MS];
  int64_t in_window;
};

/* constants */

enum
{
  CHUNK_BYTES = 16384,
  WARM_UP_MS = 3000,
  BURST_MS = 200 /* of the demand, that waits at most */
};

/* private functions */

static struct snapshot *
make_snapshot (int64_t cap)
{
  static const char *const rows[]
      = { "north", "{}", "south", "{}", "west", "{}" };
  apr_pool_t *pool;
  apr_pool_create (&pool, NULL);
  struct faults *faults = faults_create (pool);
  struct snapshot *snapshot = snapshot_create (1);
  for (size_t i = 0; i < 6; i += 2)
    {
      json_object *spec = json_tokener_parse (rows[i + 1]);
      snapshot_add (snapshot, KIND_REGION, str_from (rows[i]), 1, spec,
                    faults);
      json_object_put (spec);
    }
  json_object *spec = json_tokener_parse (
      str_format (pool,
                  "{\"between\":[\"north\",\"south\"],"
                  "\"bytes_per_second\":%lld,\"latency_ms\":55}",
                  (long long)cap));
  snapshot_add (snapshot, KIND_LINK, STR ("l"), 1, spec, faults);
  json_object_put (spec);
  snapshot_finish (snapshot, faults);
  apr_pool_destroy (pool);
  return snapshot;
}

static struct steer_link *
link_of (const struct links *l, const struct crowd_process *p)
{
  return steer_link (p->steer, l->from, STR ("south"));
}

static void
want (void *part, struct crowd_process *p, apr_time_t now)
{
  (void)part;
  steer_update_link_demand (p->steer, now);
}

static bool
sends (const struct links *l, const struct crowd_process *p)
{
  return p->alive && !p->paused && !str_equal (p->region, STR ("west"))
         && (l->plan->busy_entries == 0 || p->index < l->plan->busy_entries);
}

/* Sends what may be sent in this millisecond; returns the bytes.  */
static int64_t
send_bytes (struct links *l, struct crowd_process *p, double demand,
            apr_time_t now)
{
  int64_t sent = 0;
  double *owed = &l->owed[p->index];
  *owed += demand;
  if (*owed > demand * BURST_MS)
    *owed = demand * BURST_MS;
  while (*owed >= 1)
    {
      size_t want = *owed < CHUNK_BYTES ? (size_t)*owed : CHUNK_BYTES;
      size_t taken = steer_link_consume (link_of (l, p), want, now);
      *owed -= (double)taken;
      sent += (int64_t)taken;
      if (taken < want)
        break;
    }
  return sent;
}

static int64_t
count_window (struct links *l, int ms, int64_t sent)
{
  int64_t *bin = &l->bins[ms % LINKS_WINDOW_MS];
  l->in_window += sent - *bin;
  *bin = sent;
  return l->in_window;
}

/* public functions */

struct links_result
links_run (const struct links_plan *plan)
{
  struct links l = { .plan = plan, .from = STR ("north") };
  struct links_result result = { 0 };
  struct snapshot *snapshot = make_snapshot (plan->cap);
  struct crowd_desc desc
      = { .count = LINKS_ENTRIES,
          .regions = { STR ("north"), STR ("south"), STR ("west") },
          .region_count = plan->busy_entries ? 2 : 3,
          .distance_us = TIMER_MS (55),
          .snapshot = snapshot,
          .seed = plan->seed,
          .loss = plan->disturbed ? 0.05 : 0,
          .disturbed = plan->disturbed,
          .no_waiting = plan->no_waiting,
          .want = want,
          .part = &l };
  apr_time_t now = TIMER_SEC (100);
  int64_t total = 0;
  l.fleet = crowd_create (&desc, now);
  for (int ms = 0; ms < plan->length_ms; ms++)
    {
      int senders = 0;
      int64_t sent = 0;
      now += TIMER_MS (1);
      crowd_step (l.fleet, now);
      for (int i = 0; i < LINKS_ENTRIES; i++)
        senders += sends (&l, &l.fleet->processes[i]);
      double demand
          = plan->load * (double)plan->cap / 1000 / (senders ? senders : 1);
      for (int i = 0; i < LINKS_ENTRIES; i++)
        if (sends (&l, &l.fleet->processes[i]))
          sent += send_bytes (&l, &l.fleet->processes[i], demand, now);
      int64_t window = count_window (&l, ms, sent);
      if (window > result.most_in_window)
        result.most_in_window = window;
      result.windows_over += window > plan->cap * LINKS_WINDOW_MS / 1000;
      if (ms >= WARM_UP_MS)
        total += sent;
    }
  result.use = (double)total * 1000 / (double)(plan->length_ms - WARM_UP_MS)
               / (double)plan->cap;
  crowd_destroy (l.fleet);
  snapshot_unref (snapshot);
  return result;
}
