#include "bench/steer/internal.h"

#include "base/random.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* private functions and those of the testbed, from leaf to root */

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

size_t
bed_pick (struct testbed *f, size_t n)
{
  return (size_t)(uniform (f) * (double)n);
}

size_t
bed_pick_world (struct testbed *f, size_t n)
{
  return (size_t)(next_uniform (&f->world_random) * (double)n);
}

void
bed_note_concurrency (struct testbed *f, int change)
{
  f->concurrent_area
      += (double)f->concurrent * (double)(f->now - f->area_since);
  f->area_since = f->now;
  f->concurrent += change;
}

apr_time_t
bed_way_us (const struct entry *entry, struct str region)
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
    share_receive (steer_shares (to->steer), str_from (letter->from->name),
                   &letter->message, now);
  free (letter);
}

void
bed_send_share (void *part, struct str to, const struct share_message *message)
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
                     f->now + bed_way_us (from, letter->to->region), on_letter,
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
                   + bed_way_us (a->call->entry,
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
          now + bed_way_us (a->call->entry, u->spec->zone->region->head.name),
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
  if (u->open_from >= 0 && f->now - u->open_from < RAMP_MS * 1000)
    {
      int64_t open = SLOTS * (f->now - u->open_from) / (RAMP_MS * 1000);
      f->result.over_ramp += u->open > (open > 0 ? open : 1);
    }
  if (!is_own (f))
    return;
  f->result.over_slots += u->open > SLOTS;
  if (f->plan.call_cap > 0)
    f->result.over_cap += f->concurrent > f->plan.call_cap;
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
  a->steer_attempt = steer_begin_attempt (e->steer, spec, call->call_class);
  a->upstream->open++;
  call->open[call->attempts_open++] = a;
  call->dispatches++;
  if (call->counted)
    f->result.dispatches++;
  bed_note_concurrency (f, 1);
  check_limits (f, a->upstream);
  timer_start (f->timers, &a->timer,
               f->now + bed_way_us (e, spec->zone->region->head.name),
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
  struct upstream_model *a = near[bed_pick (f, n)];
  struct upstream_model *b = near[bed_pick (f, n)];
  int64_t least = INT64_MAX;
  switch (f->plan.policy)
    {
    case POLICY_ROUND_ROBIN:
      return near[e->cursor++ % n]->spec;
    case POLICY_LEAST_REPORTED:
      /* At random among equals, starting anywhere.  */
      for (size_t i = 0, at = bed_pick (f, n); i < n; i++, at++)
        if (near[at % n]->reported < least)
          {
            a = near[at % n];
            least = a->reported;
          }
      return a->spec;
    case POLICY_POWER_OF_TWO:
      return steer_query_upstream (e->steer, a->spec->head.name, f->now)
                         .in_flight
                     <= steer_query_upstream (e->steer, b->spec->head.name,
                                              f->now)
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
  steer_report_overdue (e->steer, &call->open[0]->steer_attempt,
                        now - call->open[0]->began_at, now);
  call->tried[0] = call->open[0]->upstream->spec->head.name;
  call->tried_count = 1;
  struct steer_choice choice = choose (call);
  if (choice.verdict != STEER_CHOSEN || !budget_try_withdraw (&e->hedges))
    {
      timer_start (e->bed->timers, &call->hedge,
                   now + steer_hedge_delay (&call->open[0]->steer_attempt),
                   on_hedge, call);
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
  if (choice.verdict == STEER_NO_UPSTREAM)
    {
      refuse (call);
      return true;
    }
  if (choice.verdict != STEER_CHOSEN)
    return false;
  queue_remove (e->queue, &call->item);
  dispatch (call, choice.upstream);
  if (call->call_class == CLASS_SHORT)
    timer_start (e->bed->timers, &call->hedge,
                 e->bed->now
                     + steer_hedge_delay (
                         &call->open[call->attempts_open - 1]->steer_attempt),
                 on_hedge, call);
  return true;
}

void
bed_offer (struct entry *e)
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
  bed_offer (e);
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
        + bed_way_us (call->entry,
                      other->upstream->spec->zone->region->head.name);
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
  bed_note_concurrency (f, -1);
  a->upstream->open--;
  steer_end_attempt (e->steer, &a->steer_attempt, result, f->now - a->began_at,
                     f->now);
  if (call->open[0] == a)
    call->open[0] = call->open[1];
  call->attempts_open--;
  bool settled = call->answered;
  if (!settled && a->shed)
    {
      bool again = call->dispatches < 4 && budget_try_withdraw (&e->retries)
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
  bed_offer (e);
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
  size_t to = bed_pick (f, TESTBED_ENTRIES);
  while (to % REGIONS == 0)
    to = bed_pick (f, TESTBED_ENTRIES);
  return &f->entries[to];
}

void
bed_on_arrival (void *part, apr_time_t now)
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
               now + (apr_time_t)(-log (uniform (f)) / rate) + 1,
               bed_on_arrival, e);
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
  budget_deposit (&e->retries);
  budget_deposit (&e->hedges);
  timer_start (f->timers, &call->timer,
               now + (plan->deadline_us ? plan->deadline_us : DEADLINE_US),
               on_deadline, call);
  admit (call);
}

void
bed_on_tick (void *part, apr_time_t now)
{
  struct entry *e = part;
  struct testbed *f = e->bed;
  if (!e->dead && !e->paused)
    {
      steer_update_demand (e->steer, f->service, queue_length (e->queue), now);
      share_tick (steer_shares (e->steer), now);
      bed_offer (e);
    }
  timer_start (f->timers, &e->tick, now + TIMER_MS (5), bed_on_tick, e);
}
