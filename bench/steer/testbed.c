#include "bench/steer/testbed.h"

#include "base/random.h"
#include "base/timer.h"
#include "call/queue.h"
#include "steer/budget.h"
#include "steer/steer.h"

#include <apr_strings.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* types */

enum
{
  REGIONS = 3,
  UPSTREAMS = 30,
  SLOTS = 9,
  FIRST_REGION_ENTRIES = (TESTBED_ENTRIES + REGIONS - 1) / REGIONS,
  LATENCIES_MAX = 8000000
};

struct attempt;

struct call
{
  struct queue_item item;
  struct entry *entry;
  enum call_class call_class;
  apr_time_t arrived_at;
  apr_time_t service_us;
  struct str tried[STEER_EXCLUDED_MAX];
  size_t tried_count;
  int attempts_open;
  int dispatches;
  bool answered;
  bool counted;       /* arrived after the warm-up */
  struct timer timer; /* deadline */
  struct timer hedge;
  struct attempt *open[2]; /* in progress */
};

struct attempt
{
  struct call *call;
  struct upstream_model *upstream;
  struct steer_ticket ticket;
  struct attempt *next; /* in the upstream's queue */
  struct timer timer;
  apr_time_t began_at;
  bool cancelled;
  bool shed;
  bool running;
};

struct upstream_model
{
  const struct upstream *spec;
  struct attempt *first;
  struct attempt *last;
  int running;
  int queued;
  int open; /* attempts begun and not ended, of all entries */
  double slow;
  apr_time_t cold_from; /* -1: warm */
  apr_time_t open_from; /* the ramp of a cold one starts here */
  bool leaving;
  int64_t reported;
};

struct entry
{
  char name[16];
  int index;
  struct str region;
  struct steer *steer;
  struct queue *queue;
  struct budget retries;
  struct budget hedges;
  struct timer arrival;
  struct timer tick;
  size_t cursor;
  bool dead;
  bool paused;
  bool cut_off;
  struct testbed *bed;
};

struct letter
{
  struct timer timer;
  struct entry *from;
  struct entry *to;
  char names[SHARE_ITEMS_MAX][32];
  struct share_message message;
};

struct testbed
{
  struct testbed_plan plan;
  struct testbed_result result;
  apr_pool_t *pool;
  struct timer_service *timers;
  apr_time_t now;
  apr_time_t end;
  uint64_t random;
  uint64_t world_random; /* of what happens, the same for every policy */
  struct snapshot *snapshot;
  struct snapshot *shifted; /* with one region drained */
  const struct service *service;
  struct upstream_model upstreams[UPSTREAMS];
  struct entry entries[TESTBED_ENTRIES];
  int64_t concurrent;
  double concurrent_area;
  apr_time_t area_since;
  struct timer slow_timer;
  struct timer report_timer;
  struct timer disturb_timer;
  struct timer shift_timer;
  struct timer store_timer;
  int64_t store_parts[TESTBED_ENTRIES]; /* granted by the store */
  bool store_grows;                     /* the phase that comes next */
  uint32_t *latencies;
  size_t latency_count;
};

/* constants */

#define MEAN_US 20000.0
#define LONG_FACTOR 50.0
#define SLOW_FACTOR 10.0
#define COLD_FACTOR 3.0
#define COLD_US TIMER_SEC (2)
#define RAMP_MS 2000
#define LINK_MS 55
#define REPORT_LAG_US TIMER_SEC (5)
#define LOOKUP_LIFETIME_US TIMER_SEC (2)
#define DEADLINE_US TIMER_SEC (30)
#define STORE_PERIOD_US TIMER_MS (500)
#define MOVE_US TIMER_SEC (3)

static const char *const regions[] = { "gwent", "dyfed", "gwynedd" };

/* private functions */

static double
next_uniform (uint64_t *random)
{
  return ((double)(random_next (random) >> 11) + 0.5) / 9007199254740992.0;
}

static double
uniform (struct testbed *f)
{
  return next_uniform (&f->random);
}

static size_t
pick (struct testbed *f, size_t n)
{
  return (size_t)(uniform (f) * (double)n);
}

static size_t
pick_world (struct testbed *f, size_t n)
{
  return (size_t)(next_uniform (&f->world_random) * (double)n);
}

static void
note_concurrency (struct testbed *f, int change)
{
  f->concurrent_area
      += (double)f->concurrent * (double)(f->now - f->area_since);
  f->area_since = f->now;
  f->concurrent += change;
}

static apr_time_t
way_us (const struct entry *entry, struct str region)
{
  return str_equal (entry->region, region) ? 500 : LINK_MS * 1000;
}

/* Shares' messages.  */

static void
on_letter (void *part, apr_time_t now)
{
  struct letter *letter = part;
  struct entry *to = letter->to;
  if (to->paused)
    {
      timer_start (to->bed->timers, &letter->timer, now + 1000, on_letter,
                   letter);
      return;
    }
  if (!to->dead && !to->cut_off && !letter->from->cut_off)
    share_receive (steer_share (to->steer), str_from (letter->from->name),
                   &letter->message, now);
  free (letter);
}

static void
send_share (void *part, struct str to, const struct share_message *message)
{
  struct entry *from = part;
  struct testbed *f = from->bed;
  f->result.share_messages++;
  bool lends = f->plan.policy == POLICY_OWN
               || (f->plan.policy == POLICY_STORE && message->count > 0
                   && message->items[0].kind == SHARE_SLOTS);
  if (!lends || (f->plan.disturbed && uniform (f) < 0.05))
    return;
  for (int i = 0; i < TESTBED_ENTRIES; i++)
    if (str_equal (str_from (f->entries[i].name), to))
      {
        struct letter *letter = calloc (1, sizeof *letter);
        letter->from = from;
        letter->to = &f->entries[i];
        letter->message = *message;
        for (size_t n = 0; n < message->count; n++)
          {
            snprintf (letter->names[n], sizeof letter->names[n], "%.*s",
                      STR_ARGS (message->items[n].name));
            letter->message.items[n].name = str_from (letter->names[n]);
          }
        timer_start (f->timers, &letter->timer,
                     f->now + way_us (from, letter->to->region), on_letter,
                     letter);
      }
}

/* Upstreams.  */

static void arrive_back (struct attempt *attempt);

static void
on_back (void *part, apr_time_t now)
{
  (void)now;
  arrive_back (part);
}

static void start_next (struct testbed *f, struct upstream_model *u);

static void
on_served (void *part, apr_time_t now)
{
  struct attempt *a = part;
  struct testbed *f = a->call->entry->bed;
  a->running = false;
  a->upstream->running--;
  timer_start (f->timers, &a->timer,
               now
                   + way_us (a->call->entry,
                             a->upstream->spec->zone->region->head.name),
               on_back, a);
  start_next (f, a->upstream);
}

static void
serve (struct testbed *f, struct attempt *a)
{
  struct upstream_model *u = a->upstream;
  double us = (double)a->call->service_us * u->slow;
  if (u->cold_from >= 0 && f->now - u->cold_from < COLD_US)
    us *= COLD_FACTOR;
  u->running++;
  a->running = true;
  timer_start (f->timers, &a->timer, f->now + (apr_time_t)us, on_served, a);
}

static void
start_next (struct testbed *f, struct upstream_model *u)
{
  while (u->first && u->running < SLOTS)
    {
      struct attempt *a = u->first;
      u->first = a->next;
      if (!u->first)
        u->last = NULL;
      u->queued--;
      serve (f, a);
    }
}

static void
on_at_upstream (void *part, apr_time_t now)
{
  struct attempt *a = part;
  struct testbed *f = a->call->entry->bed;
  struct upstream_model *u = a->upstream;
  if (a->cancelled)
    {
      on_back (a, now);
      return;
    }
  if (f->plan.shed > 0 && uniform (f) < f->plan.shed)
    {
      a->shed = true;
      timer_start (
          f->timers, &a->timer,
          now + way_us (a->call->entry, u->spec->zone->region->head.name),
          on_back, a);
      return;
    }
  if (u->running < SLOTS)
    {
      serve (f, a);
      return;
    }
  a->next = NULL;
  if (u->last)
    u->last->next = a;
  else
    u->first = a;
  u->last = a;
  u->queued++;
}

/* Entries.  */

static bool
is_own (const struct testbed *f)
{
  return f->plan.policy == POLICY_OWN || f->plan.policy == POLICY_STATIC
         || f->plan.policy == POLICY_STORE;
}

static void
check_limits (struct testbed *f, struct upstream_model *u)
{
  if (!is_own (f))
    return;
  f->result.over_slots += u->open > SLOTS;
  if (f->plan.call_cap > 0)
    f->result.over_cap += f->concurrent > f->plan.call_cap;
  if (u->open_from >= 0 && f->now - u->open_from < RAMP_MS * 1000)
    {
      int64_t open = SLOTS * (f->now - u->open_from) / (RAMP_MS * 1000);
      f->result.over_ramp += u->open > (open > 0 ? open : 1);
    }
}

static struct upstream_model *
model_of (struct testbed *f, const struct upstream *spec)
{
  for (int i = 0; i < UPSTREAMS; i++)
    if (str_equal (f->upstreams[i].spec->head.name, spec->head.name))
      return &f->upstreams[i];
  abort ();
}

static void
dispatch (struct call *call, const struct upstream *spec)
{
  struct entry *e = call->entry;
  struct testbed *f = e->bed;
  struct attempt *a = calloc (1, sizeof *a);
  a->call = call;
  a->upstream = model_of (f, spec);
  a->began_at = f->now;
  a->ticket = steer_begin (e->steer, spec, call->call_class);
  a->upstream->open++;
  call->open[call->attempts_open++] = a;
  call->dispatches++;
  if (call->counted)
    f->result.dispatches++;
  note_concurrency (f, 1);
  check_limits (f, a->upstream);
  timer_start (f->timers, &a->timer,
               f->now + way_us (e, spec->zone->region->head.name),
               on_at_upstream, a);
}

/* The baselines' choice, among the region's own upstreams: they know no
   limits and leave the queueing to the upstream.  */
static const struct upstream *
choose_baseline (struct entry *e)
{
  struct testbed *f = e->bed;
  struct upstream_model *near[UPSTREAMS];
  size_t n = 0;
  for (int i = 0; i < UPSTREAMS; i++)
    if (!f->upstreams[i].leaving
        && str_equal (f->upstreams[i].spec->zone->region->head.name,
                      e->region))
      near[n++] = &f->upstreams[i];
  if (n == 0)
    for (int i = 0; i < UPSTREAMS; i++)
      if (!f->upstreams[i].leaving)
        near[n++] = &f->upstreams[i];
  struct upstream_model *a = near[pick (f, n)];
  struct upstream_model *b = near[pick (f, n)];
  int64_t least = INT64_MAX;
  switch (f->plan.policy)
    {
    case POLICY_ROUND_ROBIN:
      return near[e->cursor++ % n]->spec;
    case POLICY_LEAST_REPORTED:
      /* At random among equals, starting anywhere.  */
      for (size_t i = 0, at = pick (f, n); i < n; i++, at++)
        if (near[at % n]->reported < least)
          {
            a = near[at % n];
            least = a->reported;
          }
      return a->spec;
    case POLICY_POWER_OF_TWO:
      return steer_query (e->steer, a->spec->head.name, f->now).in_flight
                     <= steer_query (e->steer, b->spec->head.name, f->now)
                            .in_flight
                 ? a->spec
                 : b->spec;
    default:
      return a->spec;
    }
}

static void
end_call (struct call *call)
{
  struct testbed *f = call->entry->bed;
  timer_stop (f->timers, &call->timer);
  timer_stop (f->timers, &call->hedge);
  queue_remove (call->entry->queue, &call->item);
}

static void
free_if_done (struct call *call)
{
  if (call->attempts_open == 0 && call->answered)
    free (call);
}

static void
refuse (struct call *call)
{
  if (call->counted)
    call->entry->bed->result.refused++;
  end_call (call);
  call->answered = true;
  free_if_done (call);
}

static struct steer_choice
choose (struct call *call)
{
  struct entry *e = call->entry;
  struct steer_request request = { .service = e->bed->service,
                                   .call_class = call->call_class,
                                   .now = e->bed->now,
                                   .waiting = queue_length (e->queue),
                                   .excluded_count = call->tried_count };
  memcpy (request.excluded, call->tried, sizeof call->tried);
  return steer_choose (e->steer, &request);
}

static void
on_hedge (void *part, apr_time_t now)
{
  struct call *call = part;
  struct entry *e = call->entry;
  if (call->attempts_open != 1 || call->answered)
    return;
  steer_overdue (e->steer, &call->open[0]->ticket,
                 now - call->open[0]->began_at, now);
  call->tried[0] = call->open[0]->upstream->spec->head.name;
  call->tried_count = 1;
  struct steer_choice choice = choose (call);
  if (choice.verdict != STEER_CHOSEN || !budget_take (&e->hedges))
    {
      timer_start (e->bed->timers, &call->hedge,
                   now + steer_hedge_delay (&call->open[0]->ticket), on_hedge,
                   call);
      return;
    }
  if (call->counted)
    e->bed->result.hedges++;
  dispatch (call, choice.upstream);
}

static bool
place (void *part, void *item)
{
  (void)part;
  struct call *call = item;
  struct entry *e = call->entry;
  if (e->dead || e->paused)
    return false;
  struct steer_choice choice = choose (call);
  if (choice.verdict == STEER_NOWHERE)
    {
      refuse (call);
      return true;
    }
  if (choice.verdict != STEER_CHOSEN)
    return false;
  queue_remove (e->queue, &call->item);
  dispatch (call, choice.upstream);
  if (call->call_class == CLASS_SHORT)
    timer_start (
        e->bed->timers, &call->hedge,
        e->bed->now
            + steer_hedge_delay (&call->open[call->attempts_open - 1]->ticket),
        on_hedge, call);
  return true;
}

static void
offer (struct entry *e)
{
  queue_offer (e->queue, place, NULL);
}

static void
admit (struct call *call)
{
  struct entry *e = call->entry;
  struct testbed *f = e->bed;
  if (!is_own (f))
    {
      dispatch (call, choose_baseline (e));
      return;
    }
  queue_add (e->queue, f->service->head.name, call->call_class, &call->item,
             call);
  offer (e);
}

/* Ends the attempt that lost against another of the same call.  */
static void
cancel (struct attempt *other)
{
  struct call *call = other->call;
  struct testbed *f = call->entry->bed;
  other->cancelled = true;
  if (!other->running)
    return;
  /* The cancellation reaches the upstream after the way there.  */
  apr_time_t there
      = f->now
        + way_us (call->entry, other->upstream->spec->zone->region->head.name);
  if (other->timer.due > there)
    timer_start (f->timers, &other->timer, there, on_served, other);
}

static void
count_answer (struct call *call)
{
  struct testbed *f = call->entry->bed;
  if (!call->counted)
    return;
  f->result.answered++;
  if (call->call_class == CLASS_LONG)
    {
      f->result.long_answered++;
      return;
    }
  f->result.short_answered++;
  if (f->latency_count < LATENCIES_MAX)
    f->latencies[f->latency_count++] = (uint32_t)(f->now - call->arrived_at);
}

static void
arrive_back (struct attempt *a)
{
  struct call *call = a->call;
  struct entry *e = call->entry;
  struct testbed *f = e->bed;
  enum steer_result result = a->shed        ? RESULT_REFUSED
                             : a->cancelled ? RESULT_CANCELLED
                                            : RESULT_ANSWERED;
  note_concurrency (f, -1);
  a->upstream->open--;
  steer_end (e->steer, &a->ticket, result, f->now - a->began_at, f->now);
  if (call->open[0] == a)
    call->open[0] = call->open[1];
  call->attempts_open--;
  bool settled = call->answered;
  if (!settled && a->shed)
    {
      bool again = call->dispatches < 4 && budget_take (&e->retries)
                   && call->tried_count < STEER_EXCLUDED_MAX;
      call->tried[call->tried_count % STEER_EXCLUDED_MAX]
          = a->upstream->spec->head.name;
      if (again)
        {
          call->tried_count++;
          admit (call);
        }
      else
        refuse (call);
    }
  else if (!settled && !a->cancelled)
    {
      call->answered = true;
      count_answer (call);
      end_call (call);
      if (call->attempts_open > 0)
        cancel (call->open[0]);
      free_if_done (call);
    }
  else
    free_if_done (call);
  free (a);
  offer (e);
}

static void
on_deadline (void *part, apr_time_t now)
{
  (void)now;
  struct call *call = part;
  if (call->answered)
    return;
  if (call->attempts_open > 0)
    {
      if (call->counted)
        call->entry->bed->result.late++;
      call->answered = true;
      end_call (call);
      return;
    }
  refuse (call);
}

static int
entries_in (int region)
{
  return (TESTBED_ENTRIES - region + REGIONS - 1) / REGIONS;
}

/* Callers of the first region follow look-up answers to entries of the
   others, within the lifetime of those answers.  */
static struct entry *
caller_follows (struct testbed *f, struct entry *e)
{
  double moved
      = (double)(f->now - f->plan.warm_up_us) / (double)LOOKUP_LIFETIME_US;
  if (uniform (f) >= moved)
    return e;
  size_t to = pick (f, TESTBED_ENTRIES);
  while (to % REGIONS == 0)
    to = pick (f, TESTBED_ENTRIES);
  return &f->entries[to];
}

static void
on_arrival (void *part, apr_time_t now)
{
  struct entry *e = part;
  struct testbed *f = e->bed;
  const struct testbed_plan *plan = &f->plan;
  bool is_long = uniform (f) < plan->long_share;
  int busy = plan->busy_entries ? plan->busy_entries : TESTBED_ENTRIES;
  if (plan->shift)
    busy = FIRST_REGION_ENTRIES;
  double mean
      = MEAN_US * (1 - plan->long_share + LONG_FACTOR * plan->long_share);
  if (plan->short_only_load)
    mean = MEAN_US;
  double capacity = UPSTREAMS * SLOTS;
  if (plan->call_cap > 0)
    capacity = (double)plan->call_cap;
  double rate = plan->load * capacity / mean / busy; /* a microsecond */
  /* Callers are spread evenly over the regions, not over the entries.  */
  if (busy == TESTBED_ENTRIES)
    rate
        *= (double)TESTBED_ENTRIES / REGIONS / entries_in (e->index % REGIONS);
  timer_start (f->timers, &e->arrival,
               now + (apr_time_t)(-log (uniform (f)) / rate) + 1, on_arrival,
               e);
  if (e->dead || e->paused || now > f->end)
    return;
  struct call *call = calloc (1, sizeof *call);
  if (plan->moving_demand)
    e = &f->entries[((size_t)(now / MOVE_US) * (size_t)busy + (size_t)e->index)
                    % TESTBED_ENTRIES];
  if (plan->shift)
    e = caller_follows (f, e);
  call->entry = e;
  call->arrived_at = now;
  call->call_class = is_long ? CLASS_LONG : CLASS_SHORT;
  call->service_us = (apr_time_t)(MEAN_US * (is_long ? LONG_FACTOR : 1)
                                  * (0.5 - log (uniform (f)) / 2));
  call->counted = now >= plan->warm_up_us;
  if (call->counted)
    f->result.calls++;
  budget_earn (&e->retries);
  budget_earn (&e->hedges);
  timer_start (f->timers, &call->timer,
               now + (plan->deadline_us ? plan->deadline_us : DEADLINE_US),
               on_deadline, call);
  admit (call);
}

static void
on_tick (void *part, apr_time_t now)
{
  struct entry *e = part;
  struct testbed *f = e->bed;
  if (!e->dead && !e->paused)
    {
      steer_want (e->steer, f->service, queue_length (e->queue), now);
      share_tick (steer_share (e->steer), now);
      offer (e);
    }
  timer_start (f->timers, &e->tick, now + TIMER_MS (5), on_tick, e);
}

/* The allocator in the store.  */

static struct share_pool *
cap_pool (struct entry *e)
{
  struct share_cap cap = { .kind = SHARE_SERVICE, .name = STR ("orderdesk") };
  return share_pool_get (steer_share (e->steer), &cap);
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
    f->upstreams[pick_world (f, UPSTREAMS)].slow = SLOW_FACTOR;
  timer_start (f->timers, &f->slow_timer,
               now + TIMER_MS (200) + (apr_time_t)pick_world (f, 1800000),
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
        steer_report (f->entries[e].steer, u->spec->head.name, u->reported,
                      now);
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
          offer (&f->entries[i]);
        }
      f->entries[i].cut_off = false;
    }
  struct entry *e = &f->entries[2 + pick_world (f, TESTBED_ENTRIES - 2)];
  switch (pick_world (f, 5))
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
      offer (&f->entries[i]);
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
                     .hold_us = DEADLINE_US + TIMER_SEC (1),
                     .seed = f->plan.seed * 7 + (uint64_t)i + 1,
                     .send = send_share,
                     .part = e } };
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
        .since = 1,
        .until = MEMBERSHIP_STAYS,
      };
      if (m != i)
        peers[peer_count++] = (struct share_peer){ members[m].name, region,
                                                   2 * way_us (e, region) };
    }
  steer_apply (e->steer, f->snapshot, 0);
  struct membership *membership
      = membership_create (1, 1, members, TESTBED_ENTRIES);
  steer_set_membership (e->steer, membership, 1);
  membership_unref (membership);
  share_set_peers (steer_share (e->steer), peers, peer_count);
  on_tick (e, f->now);
  bool is_busy = f->plan.shift
                     ? i % REGIONS == 0
                     : f->plan.busy_entries == 0 || i < f->plan.busy_entries;
  if (is_busy)
    timer_start (f->timers, &e->arrival, f->now + 1, on_arrival, e);
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
      apr_time_t next = timer_service_next (f->timers);
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
  note_concurrency (f, 0);
  f->concurrent_area = 0;
  run_until (f, f->end);
  note_concurrency (f, 0);
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
