/* Bytes that entries send over one direction of a link: in sliding windows of
   100 ms, and as a fraction of the cap.  */
#include "bench/steer/links.h"

#include "base/timer.h"
#include "bench/steer/cluster.h"

#include <json-c/json.h>
#include <stdlib.h>

/* types */

/* One run.  */
struct links
{
  const struct links_plan *plan;
  struct cluster *cluster;
  struct str from;
  double pending_bytes[CLUSTER_MAX_PROCESSES]; /* by entry */
  int64_t sent_by_ms[LINKS_WINDOW_MS]; /* of the window, by millisecond */
  int64_t in_window;                   /* their sum */
};

/* constants */

enum
{
  CHUNK_BYTES = 16384,
  WARM_UP_MS = 3000,
  MAX_PENDING_MS = 200 /* of an entry's demand; the rest is given up */
};

/* private functions */

/* Makes a configuration of three regions and a link of CAP bytes a second
   between the first two.  */
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
find_link (const struct links *l, const struct cluster_process *p)
{
  return steer_link (p->steer, l->from, STR ("south"));
}

static void
update_demand (void *user_data, struct cluster_process *p, apr_time_t now)
{
  (void)user_data;
  steer_update_link_demand (p->steer, now);
}

static bool
is_sender (const struct links *l, const struct cluster_process *p)
{
  return p->alive && !p->paused && !str_equal (p->region, STR ("west"))
         && (l->plan->busy_entries == 0 || p->index < l->plan->busy_entries);
}

/* Adds DEMAND bytes to what P has to send, and sends as much as its share of
   the link allows in this millisecond.  Returns the bytes sent.  */
static int64_t
send_pending (struct links *l, struct cluster_process *p, double demand,
              apr_time_t now)
{
  int64_t sent = 0;
  double *pending = &l->pending_bytes[p->index];
  *pending += demand;
  if (*pending > demand * MAX_PENDING_MS)
    *pending = demand * MAX_PENDING_MS;
  while (*pending >= 1)
    {
      size_t wanted = *pending < CHUNK_BYTES ? (size_t)*pending : CHUNK_BYTES;
      size_t granted = steer_link_consume (find_link (l, p), wanted, now);
      *pending -= (double)granted;
      sent += (int64_t)granted;
      if (granted < wanted)
        break;
    }
  return sent;
}

/* Moves the window to the millisecond MS; returns the bytes in it.  */
static int64_t
count_window (struct links *l, int ms, int64_t sent)
{
  int64_t *slot = &l->sent_by_ms[ms % LINKS_WINDOW_MS];
  l->in_window += sent - *slot;
  *slot = sent;
  return l->in_window;
}

/* public functions */

struct links_result
links_run (const struct links_plan *plan)
{
  struct links l = { .plan = plan, .from = STR ("north") };
  struct links_result result = { 0 };
  struct snapshot *snapshot = make_snapshot (plan->cap);
  struct cluster_desc desc
      = { .count = LINKS_ENTRIES,
          .regions = { STR ("north"), STR ("south"), STR ("west") },
          .region_count = plan->busy_entries ? 2 : 3,
          .one_way_us = TIMER_MS (55),
          .snapshot = snapshot,
          .seed = plan->seed,
          .loss_rate = plan->inject_faults ? 0.05 : 0,
          .inject_faults = plan->inject_faults,
          .skip_confirmations = plan->skip_confirmations,
          .update_demand = update_demand,
          .user_data = &l };
  apr_time_t now = TIMER_SEC (100);
  int64_t total = 0;
  l.cluster = cluster_create (&desc, now);
  for (int ms = 0; ms < plan->duration_ms; ms++)
    {
      int senders = 0;
      int64_t sent = 0;
      now += TIMER_MS (1);
      cluster_advance (l.cluster, now);
      for (int i = 0; i < LINKS_ENTRIES; i++)
        senders += is_sender (&l, &l.cluster->processes[i]);
      double demand
          = plan->load * (double)plan->cap / 1000 / (senders ? senders : 1);
      for (int i = 0; i < LINKS_ENTRIES; i++)
        if (is_sender (&l, &l.cluster->processes[i]))
          sent += send_pending (&l, &l.cluster->processes[i], demand, now);
      int64_t window = count_window (&l, ms, sent);
      if (window > result.max_window_bytes)
        result.max_window_bytes = window;
      result.windows_over += window > plan->cap * LINKS_WINDOW_MS / 1000;
      if (ms >= WARM_UP_MS)
        total += sent;
    }
  result.utilization = (double)total * 1000
                       / (double)(plan->duration_ms - WARM_UP_MS)
                       / (double)plan->cap;
  cluster_destroy (l.cluster);
  snapshot_unref (snapshot);
  return result;
}
