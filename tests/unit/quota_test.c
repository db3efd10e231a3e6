/* Quotas over many entries on a virtual clock, with a network that delays,
   loses and cuts.  Guards against a quota that is exceeded in cuts, pauses,
   kills, restarts and joins, and against one of which a part can't be used.

   QUOTA_SEEDS: runs of each case with faults, default 10.  */
#include "base/random.h"
#include "quota/quota.h"
#include "tests/unit/unit.h"

#include <apr_tables.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* constants */

enum
{
  ENTRIES_MAX = 75,
  REGIONS = 3,
  TENANTS = 3,
  STEP_MS = 5,
  WINDOW_S = 5,
  WINDOW_STEPS = WINDOW_S * 1000 / STEP_MS,
  WARM_UP_S = 8,
  DAY_S = 30,
  LONG_DAY_S = 60,
  LONG_CUT_S = 45,
  VIEW_MS = 1800,  /* between two reads of the registry */
  LEASE_MS = 8000, /* of an entry's key */
  REMEMBERED_MS = 10000
};

/* Far beyond the end of a day, and far from overflowing.  */
static const apr_time_t never = INT64_MAX / 2;
static const double overage = 0.1;
static const double slack = 20;

static const struct
{
  const char *name;
  double rate;
} tenants[TENANTS]
    = { { "corner-shop", 4.6 }, { "bakery", 20 }, { "chain", 300 } };

/* types */

struct node
{
  struct quota *quota;
  apr_pool_t *pool;
  int incarnation;
  bool alive;
  bool has_listed; /* it knows the configuration and the entries */
  apr_time_t paused_until;
  apr_time_t cut_until;
  apr_time_t restart_at;
  apr_time_t view_at; /* next read of the registry */
  apr_time_t lost_at; /* its key is gone from then on */
  apr_time_t ticked_at;
  char address[16];
  struct sim *sim;
};

struct packet
{
  apr_time_t at;
  apr_time_t fails_at; /* for the sender */
  int from;
  int to;
  int from_incarnation;
  bool is_reply;
  bool is_done;
  char *text;
};

struct sim
{
  struct node nodes[ENTRIES_MAX];
  int count;
  apr_time_t now;
  uint64_t random;
  apr_array_header_t *packets;
  int taken[TENANTS][WINDOW_STEPS];
  int in_window[TENANTS];
  int total[TENANTS]; /* after the warm-up */
  int asked[TENANTS]; /* the same */
  int most_in_window[TENANTS];
  int64_t messages;
  int waiting;
};

enum fault
{
  FAULT_CUT = 1,
  FAULT_PAUSE = 2,
  FAULT_KILL = 4,
  FAULT_JOIN = 8, /* a third of the entries start later */
  FAULT_ALL_KILLED = 16
};

struct quota_case
{
  const char *name;
  int faults;
  bool has_long_cut; /* a region for 45 s, longer than its entries are
                        remembered */
  double demand;     /* of each tenant, of its rate */
  int callers_at;    /* entries that its callers use; 0: all */
  double usable;     /* least fraction that is served, of what is asked or of
                        the rate */
};

/* the network */

static double
fraction (struct sim *sim)
{
  return (double)(random_next (&sim->random) >> 11) / (double)(1ULL << 53);
}

static bool
is_cut (const struct sim *sim, int node)
{
  return sim->nodes[node].cut_until > sim->now;
}

static void
send_packet (struct sim *sim, const struct packet *packet)
{
  bool is_far = packet->from % REGIONS != packet->to % REGIONS;
  struct packet *sent = apr_array_push (sim->packets);
  *sent = *packet;
  sent->at
      = sim->now
        + (apr_time_t)((is_far ? 55000 : 1500) * (1 + fraction (sim) / 5));
}

static void
on_send (void *user_data, struct str address, struct str text,
         int64_t timeout_ms)
{
  struct node *node = user_data;
  struct sim *sim = node->sim;
  struct packet packet
      = { .fails_at = sim->now + timeout_ms * 1000,
          .from = (int)(node - sim->nodes),
          .to = atoi (strchr (str_dup (test_pool, address).data, '-') + 1),
          .from_incarnation = node->incarnation,
          .text = strndup (text.data, text.size) };
  sim->messages++;
  send_packet (sim, &packet);
}

static void
count_taken (struct sim *sim, long tenant)
{
  size_t step = (size_t)(sim->now / (STEP_MS * 1000)) % (size_t)WINDOW_STEPS;
  sim->taken[tenant][step]++;
  sim->in_window[tenant]++;
  sim->total[tenant] += sim->now >= APR_USEC_PER_SEC * WARM_UP_S;
  if (sim->in_window[tenant] > sim->most_in_window[tenant])
    sim->most_in_window[tenant] = sim->in_window[tenant];
}

static void
on_granted (void *user_data, void *waiter)
{
  struct node *node = user_data;
  node->sim->waiting--;
  count_taken (node->sim, (long)waiter - 1);
}

static void
on_refused (void *user_data, void *waiter, apr_time_t retry_after)
{
  (void)waiter;
  CU_ASSERT (retry_after > 0);
  ((struct node *)user_data)->sim->waiting--;
}

/* Delivers what is due, and fails calls without a reply in time.  */
static void
deliver (struct sim *sim)
{
  for (int i = 0; i < sim->packets->nelts; i++)
    {
      struct packet packet = APR_ARRAY_IDX (sim->packets, i, struct packet);
      struct node *from = &sim->nodes[packet.from];
      struct node *to = &sim->nodes[packet.to];
      bool is_lost = packet.is_done;
      if (!is_lost && packet.at <= sim->now
          && (!to->alive || is_cut (sim, packet.to)
              || is_cut (sim, packet.from)))
        packet.is_done = is_lost = true;
      if (!is_lost && packet.at <= sim->now && to->paused_until <= sim->now)
        {
          packet.is_done = true;
          if (packet.is_reply)
            {
              packet.fails_at = 0;
              if (to->incarnation == packet.from_incarnation)
                quota_handle_reply (to->quota, str_from (from->address),
                                    str_from (packet.text), sim->now);
            }
          else
            {
              struct str text = quota_handle (
                  to->quota, str_from (packet.text), sim->now, test_pool);
              struct packet reply = packet;
              reply.from = packet.to;
              reply.to = packet.from;
              reply.is_reply = true;
              reply.is_done = false;
              reply.text = strndup (text.data, text.size);
              packet.fails_at = 0;
              send_packet (sim, &reply);
            }
        }
      struct node *caller = packet.is_reply ? to : from;
      bool has_failed = packet.fails_at > 0 && packet.fails_at <= sim->now
                        && caller->paused_until <= sim->now;
      if (has_failed || (packet.is_done && packet.fails_at == 0))
        {
          if (has_failed && caller->alive
              && caller->incarnation == packet.from_incarnation)
            quota_handle_reply (
                caller->quota,
                str_from (packet.is_reply ? from->address : to->address),
                STR (""), sim->now);
          free (packet.text);
          APR_ARRAY_IDX (sim->packets, i, struct packet) = APR_ARRAY_IDX (
              sim->packets, sim->packets->nelts - 1, struct packet);
          sim->packets->nelts--;
          i--;
          continue;
        }
      APR_ARRAY_IDX (sim->packets, i, struct packet) = packet;
    }
}

/* entries */

/* Whether the key of NODE is in the registry.  */
static bool
is_listed (const struct sim *sim, int node)
{
  return sim->nodes[node].lost_at > sim->now;
}

static void
read_registry (struct sim *sim, int number)
{
  struct node *node = &sim->nodes[number];
  struct quota_members members = { 0 };
  static struct str others[ENTRIES_MAX];
  int place[REGIONS] = { 0 };
  for (int i = 0; i < sim->count; i++)
    {
      members.entries
          += sim->nodes[i].lost_at + REMEMBERED_MS * 1000 > sim->now;
      if (!is_listed (sim, i) || place[i % REGIONS]++ >= 2)
        continue;
      struct str address = str_from (sim->nodes[i].address);
      if (i == number)
        members.is_hub = true;
      else
        others[members.other_hub_count++] = address;
      if (i % REGIONS == number % REGIONS)
        members.region_hubs[members.region_hub_count++] = address;
    }
  members.other_hubs = others;
  node->has_listed = true;
  quota_set_members (node->quota, &members, sim->now);
}

static void
start_node (struct sim *sim, int number)
{
  struct node *node = &sim->nodes[number];
  node->sim = sim;
  node->alive = true;
  node->has_listed = false;
  node->incarnation++;
  node->lost_at = never;
  node->view_at = sim->now;
  apr_pool_create (&node->pool, test_pool);
  snprintf (node->address, sizeof node->address, "n-%d", number);
  struct quota_desc desc = { .name = str_from (node->address),
                             .address = str_from (node->address),
                             .window = WINDOW_S * APR_USEC_PER_SEC,
                             .overage = overage,
                             .slack = slack,
                             .seed = random_next (&sim->random),
                             .send = on_send,
                             .granted = on_granted,
                             .refused = on_refused,
                             .user_data = node };
  node->quota = quota_create (node->pool, &desc, sim->now);
  struct quota_limit limits[TENANTS];
  for (int t = 0; t < TENANTS; t++)
    limits[t] = (struct quota_limit){ str_from (tenants[t].name),
                                      tenants[t].rate, tenants[t].rate };
  quota_set_limits (node->quota, limits, TENANTS, sim->now);
}

static void
kill_node (struct sim *sim, int number, apr_time_t back_after)
{
  struct node *node = &sim->nodes[number];
  quota_destroy (node->quota);
  apr_pool_destroy (node->pool);
  node->alive = false;
  node->lost_at = sim->now + LEASE_MS * 1000;
  node->restart_at = sim->now + back_after;
}

static void
inject_faults (struct sim *sim, int faults)
{
  apr_time_t span = (apr_time_t)(fraction (sim) * 6 * APR_USEC_PER_SEC);
  int kind = 1 << (int)(fraction (sim) * 5);
  int first = (int)(fraction (sim) * sim->count);
  /* One entry, or all of a region.  */
  bool is_region = fraction (sim) < 0.3;
  if (!(faults & kind) || fraction (sim) > STEP_MS / 700.0)
    return;
  if (kind == FAULT_ALL_KILLED && fraction (sim) > 0.1)
    return;
  for (int i = 0; i < sim->count; i++)
    {
      struct node *node = &sim->nodes[i];
      bool is_hit = kind == FAULT_ALL_KILLED || i == first
                    || (is_region && i % REGIONS == first % REGIONS);
      if (!is_hit || !node->alive)
        continue;
      if (kind == FAULT_CUT)
        {
          node->cut_until = sim->now + span;
          node->lost_at = sim->now + LEASE_MS * 1000;
        }
      else if (kind == FAULT_PAUSE)
        node->paused_until = sim->now + span / 2;
      else
        kill_node (sim, i, span / 3);
    }
}

/* Cuts off all entries of the first region for SPAN.  */
static void
cut_region (struct sim *sim, apr_time_t span)
{
  for (int i = 0; i < sim->count; i += REGIONS)
    {
      sim->nodes[i].cut_until = sim->now + span;
      sim->nodes[i].lost_at = sim->now + LEASE_MS * 1000;
    }
}

static void
run_node (struct sim *sim, int number, const struct quota_case *c)
{
  struct node *node = &sim->nodes[number];
  if (!node->alive)
    {
      if (node->restart_at > sim->now)
        return;
      start_node (sim, number);
    }
  if (node->paused_until > sim->now)
    return;
  if (!is_cut (sim, number) && node->view_at <= sim->now)
    {
      node->lost_at = never;
      node->view_at
          = sim->now
            + (apr_time_t)(VIEW_MS * 1000 * (0.5 + fraction (sim) / 2));
      read_registry (sim, number);
    }
  if (sim->now - node->ticked_at >= QUOTA_TICK_MS * 1000)
    {
      node->ticked_at = sim->now;
      quota_tick (node->quota, sim->now);
    }
  /* Without a configuration, all requests are refused.  */
  if (!node->has_listed)
    return;
  int used = c->callers_at > 0 ? c->callers_at : sim->count;
  if (number >= used)
    return;
  for (long t = 0; t < TENANTS; t++)
    {
      double mean = tenants[t].rate * c->demand * STEP_MS / 1000 / used;
      apr_time_t retry_after = 0;
      for (double p = fraction (sim), limit = exp (-mean); p > limit;
           p *= fraction (sim))
        {
          sim->asked[t] += sim->now >= APR_USEC_PER_SEC * WARM_UP_S;
          enum quota_verdict verdict
              = quota_take (node->quota, str_from (tenants[t].name),
                            (void *)(t + 1), sim->now, &retry_after);
          sim->waiting += verdict == QUOTA_WAIT;
          if (verdict == QUOTA_TAKEN)
            count_taken (sim, t);
        }
    }
}

/* Plays a day of CASE and checks the bound in each window.  Returns whether it
   held.  */
static bool
play (const struct quota_case *c, int entries, uint64_t seed)
{
  struct sim *sim = calloc (1, sizeof *sim);
  bool holds = true;
  sim->count = entries;
  sim->random = seed * 0x9e3779b97f4a7c15ULL + 1;
  sim->now = APR_USEC_PER_SEC;
  sim->packets = apr_array_make (test_pool, 64, sizeof (struct packet));
  for (int i = 0; i < entries; i++)
    {
      start_node (sim, i);
      if ((c->faults & FAULT_JOIN) && i % 3 == 2)
        {
          kill_node (sim, i, (apr_time_t)(fraction (sim) * 25e6));
          sim->nodes[i].lost_at = -REMEMBERED_MS * 1000;
        }
    }
  apr_time_t end = (c->has_long_cut ? LONG_DAY_S : DAY_S) * APR_USEC_PER_SEC;
  for (; sim->now < end; sim->now += STEP_MS * 1000)
    {
      size_t step = (size_t)(sim->now / (STEP_MS * 1000)) % WINDOW_STEPS;
      for (int t = 0; t < TENANTS; t++)
        {
          sim->in_window[t] -= sim->taken[t][step];
          sim->taken[t][step] = 0;
        }
      if (sim->now > WARM_UP_S * APR_USEC_PER_SEC)
        inject_faults (sim, c->faults);
      if (c->has_long_cut && sim->now == WARM_UP_S * APR_USEC_PER_SEC)
        cut_region (sim, LONG_CUT_S * APR_USEC_PER_SEC);
      deliver (sim);
      for (int i = 0; i < entries; i++)
        run_node (sim, i, c);
    }
  for (int t = 0; t < TENANTS; t++)
    {
      double rate = tenants[t].rate;
      double bound = (rate * WINDOW_S + rate) * (1 + overage) + slack;
      double due = rate * (DAY_S - WARM_UP_S);
      double share
          = sim->total[t] / (sim->asked[t] < due ? sim->asked[t] : due);
      if (sim->most_in_window[t] <= bound && share >= c->usable)
        continue;
      holds = false;
      printf ("  %s, seed %llu, %d entries: %s: %d in a window of %.0f, "
              "%.3f served, %.3f expected\n",
              c->name, (unsigned long long)seed, entries, tenants[t].name,
              sim->most_in_window[t], bound, share, c->usable);
    }
  if (getenv ("QUOTA_VERBOSE"))
    printf ("  %s, seed %llu, %d entries: %.1f messages a second and entry; "
            "served %.3f %.3f %.3f, most in a window %d %d %d\n",
            c->name, (unsigned long long)seed, entries,
            (double)sim->messages / entries / DAY_S,
            sim->total[0] / tenants[0].rate / (DAY_S - WARM_UP_S),
            sim->total[1] / tenants[1].rate / (DAY_S - WARM_UP_S),
            sim->total[2] / tenants[2].rate / (DAY_S - WARM_UP_S),
            sim->most_in_window[0], sim->most_in_window[1],
            sim->most_in_window[2]);
  for (int i = 0; i < entries; i++)
    if (sim->nodes[i].alive)
      kill_node (sim, i, 0);
  for (int i = 0; i < sim->packets->nelts; i++)
    free (APR_ARRAY_IDX (sim->packets, i, struct packet).text);
  free (sim);
  return holds;
}

/* Within the quota a tenant is served, whichever entries its callers use, and
   beyond it 0.9 of the quota is used and the bound holds.  */
static void
test_calm (void)
{
  static const struct quota_case cases[]
      = { { "usual load", 0, false, 0.6, 0, 0.9 },
          { "usual load at one entry", 0, false, 0.6, 1, 0.9 },
          { "hot tenants", 0, false, 4.7, 0, 0.9 },
          { "hot tenants at one entry", 0, false, 4.7, 1, 0.9 },
          { "hot tenants at two entries", 0, false, 4.7, 2, 0.9 } };
  static const int sizes[] = { 1, 11, 75 };
  for (size_t i = 0; i < COUNT (cases); i++)
    for (size_t s = 0; s < COUNT (sizes); s++)
      CU_ASSERT (play (&cases[i], sizes[s], 1));
}

/* The bound holds whatever fails while demand is far beyond the quota.  */
static void
test_faults (void)
{
  static const struct quota_case cases[] = {
    { "cuts", FAULT_CUT, false, 4.7, 0, 0 },
    { "pauses", FAULT_PAUSE, false, 4.7, 0, 0 },
    { "kills", FAULT_KILL, false, 4.7, 0, 0 },
    { "joins", FAULT_JOIN, false, 4.7, 0, 0 },
    { "all killed", FAULT_ALL_KILLED, false, 4.7, 0, 0 },
    { "a region cut off for long", 0, true, 4.7, 0, 0 },
    { "everything",
      FAULT_CUT | FAULT_PAUSE | FAULT_KILL | FAULT_JOIN | FAULT_ALL_KILLED,
      false, 4.7, 0, 0 }
  };
  const char *seeds = getenv ("QUOTA_SEEDS");
  int broken = 0;
  for (size_t i = 0; i < COUNT (cases); i++)
    for (int seed = 1; seed <= (seeds ? atoi (seeds) : 10); seed++)
      broken += !play (&cases[i], 24, (uint64_t)seed);
  CU_ASSERT_EQUAL (broken, 0);
}

const struct unit_test quota_tests[]
    = { { "a quota can be used wherever its callers are", test_calm },
        { "no fault lets a quota be exceeded", test_faults },
        { NULL, NULL } };
