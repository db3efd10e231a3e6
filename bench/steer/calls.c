/* The testbed: the simulated upstreams, and the calls at the entries with
   their attempts, hedges and retries.  */
#include "bench/steer/internal.h"

#include "base/random.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Functions, static ones and those of internal.h, each after those that it
   calls.  */

static double
next_uniform (uint64_t *random)
{
  return ((double)(random_next (random) >> 11) + 0.5) / 9007199254740992.0;
}

static double
uniform (struct testbed *testbed)
{
  return next_uniform (&testbed->random);
}

size_t
testbed_random_below (struct testbed *testbed, size_t n)
{
  return (size_t)(uniform (testbed) * (double)n);
}

size_t
testbed_fault_random_below (struct testbed *testbed, size_t n)
{
  return (size_t)(next_uniform (&testbed->fault_random) * (double)n);
}

void
testbed_count_concurrency (struct testbed *testbed, int change)
{
  testbed->concurrency_integral
      += (double)testbed->concurrent
         * (double)(testbed->now - testbed->concurrency_changed_at);
  testbed->concurrency_changed_at = testbed->now;
  testbed->concurrent += change;
}

apr_time_t
testbed_one_way_us (const struct entry *entry, struct str region)
{
  return str_equal (entry->region, region) ? 500 : ONE_WAY_MS * 1000;
}

/* Messages about shares.  */

static void
on_share_delivery (void *user_data, apr_time_t now)
{
  struct share_delivery *delivery = user_data;
  struct entry *to = delivery->to;
  if (to->paused)
    {
      timer_start (to->testbed->timers, &delivery->timer, now + 1000,
                   on_share_delivery, delivery);
      return;
    }
  if (!to->killed && !to->cut_off && !delivery->from->cut_off)
    share_receive (steer_shares (to->steer), str_from (delivery->from->name),
                   &delivery->message, now);
  free (delivery);
}

void
testbed_send_share (void *user_data, struct str to,
                    const struct share_message *message)
{
  struct entry *from = user_data;
  struct testbed *testbed = from->testbed;
  testbed->result.share_messages++;
  bool lends = testbed->plan.policy == POLICY_OWN
               || (testbed->plan.policy == POLICY_STORE && message->count > 0
                   && message->items[0].kind == SHARE_SLOTS);
  if (!lends || (testbed->plan.inject_faults && uniform (testbed) < 0.05))
    return;
  for (int i = 0; i < TESTBED_ENTRIES; i++)
    if (str_equal (str_from (testbed->entries[i].name), to))
      {
        struct share_delivery *delivery = calloc (1, sizeof *delivery);
        delivery->from = from;
        delivery->to = &testbed->entries[i];
        delivery->message = *message;
        for (size_t n = 0; n < message->count; n++)
          {
            snprintf (delivery->names[n], sizeof delivery->names[n], "%.*s",
                      STR_ARGS (message->items[n].name));
            delivery->message.items[n].name = str_from (delivery->names[n]);
          }
        timer_start (testbed->timers, &delivery->timer,
                     testbed->now
                         + testbed_one_way_us (from, delivery->to->region),
                     on_share_delivery, delivery);
      }
}

/* Upstreams.  */

static void on_response (struct attempt *attempt);

static void
on_response_timer (void *user_data, apr_time_t now)
{
  (void)now;
  on_response (user_data);
}

static void start_next (struct testbed *testbed, struct upstream_model *u);

static void
on_completed (void *user_data, apr_time_t now)
{
  struct attempt *a = user_data;
  struct testbed *testbed = a->call->entry->testbed;
  a->running = false;
  a->upstream->running--;
  timer_start (
      testbed->timers, &a->timer,
      now
          + testbed_one_way_us (a->call->entry,
                                a->upstream->spec->zone->region->head.name),
      on_response_timer, a);
  start_next (testbed, a->upstream);
}

static void
start_service (struct testbed *testbed, struct attempt *a)
{
  struct upstream_model *u = a->upstream;
  double us = (double)a->call->service_us * u->slow_factor;
  if (u->cold_since >= 0 && testbed->now - u->cold_since < COLD_US)
    us *= COLD_FACTOR;
  u->running++;
  a->running = true;
  timer_start (testbed->timers, &a->timer, testbed->now + (apr_time_t)us,
               on_completed, a);
}

/* Starts queued attempts while there are free slots.  */
static void
start_next (struct testbed *testbed, struct upstream_model *u)
{
  while (u->first && u->running < SLOTS)
    {
      struct attempt *a = u->first;
      u->first = a->next;
      if (!u->first)
        u->last = NULL;
      u->queued--;
      start_service (testbed, a);
    }
}

static void
on_upstream_arrival (void *user_data, apr_time_t now)
{
  struct attempt *a = user_data;
  struct testbed *testbed = a->call->entry->testbed;
  struct upstream_model *u = a->upstream;
  if (a->cancelled)
    {
      on_response_timer (a, now);
      return;
    }
  if (testbed->plan.refusal_rate > 0
      && uniform (testbed) < testbed->plan.refusal_rate)
    {
      a->refused = true;
      timer_start (testbed->timers, &a->timer,
                   now
                       + testbed_one_way_us (a->call->entry,
                                             u->spec->zone->region->head.name),
                   on_response_timer, a);
      return;
    }
  if (u->running < SLOTS)
    {
      start_service (testbed, a);
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

/* Returns whether the steering code decides.  */
static bool
is_own_policy (const struct testbed *testbed)
{
  return testbed->plan.policy == POLICY_OWN
         || testbed->plan.policy == POLICY_NO_LOANS
         || testbed->plan.policy == POLICY_STORE;
}

/* Counts the limits that the attempt that has just begun at U exceeds.  */
static void
count_violations (struct testbed *testbed, struct upstream_model *u)
{
  if (u->ramp_start >= 0 && testbed->now - u->ramp_start < RAMP_MS * 1000)
    {
      int64_t allowed
          = SLOTS * (testbed->now - u->ramp_start) / (RAMP_MS * 1000);
      testbed->result.calls_over_ramp
          += u->open_attempt_count > (allowed > 0 ? allowed : 1);
    }
  if (!is_own_policy (testbed))
    return;
  testbed->result.calls_over_slots += u->open_attempt_count > SLOTS;
  if (testbed->plan.call_cap > 0)
    testbed->result.calls_over_cap
        += testbed->concurrent > testbed->plan.call_cap;
}

/* Returns the model of the upstream SPEC.  */
static struct upstream_model *
find_model (struct testbed *testbed, const struct upstream *spec)
{
  for (int i = 0; i < UPSTREAMS; i++)
    if (str_equal (testbed->upstreams[i].spec->head.name, spec->head.name))
      return &testbed->upstreams[i];
  abort ();
}

/* Begins an attempt of CALL at the upstream SPEC.  */
static void
dispatch (struct call *call, const struct upstream *spec)
{
  struct entry *e = call->entry;
  struct testbed *testbed = e->testbed;
  struct attempt *a = calloc (1, sizeof *a);
  a->call = call;
  a->upstream = find_model (testbed, spec);
  a->began_at = testbed->now;
  a->steer_attempt = steer_begin_attempt (e->steer, spec, call->call_class);
  a->upstream->open_attempt_count++;
  call->open_attempts[call->open_attempt_count++] = a;
  call->dispatches++;
  if (call->is_counted)
    testbed->result.dispatches++;
  testbed_count_concurrency (testbed, 1);
  count_violations (testbed, a->upstream);
  timer_start (testbed->timers, &a->timer,
               testbed->now
                   + testbed_one_way_us (e, spec->zone->region->head.name),
               on_upstream_arrival, a);
}

/* Chooses by the policy of a baseline, among the upstreams of the entry's
   region or, if these are all drained, among all others.  */
static const struct upstream *
choose_baseline (struct entry *e)
{
  struct testbed *testbed = e->testbed;
  struct upstream_model *candidates[UPSTREAMS];
  size_t n = 0;
  for (int i = 0; i < UPSTREAMS; i++)
    if (!testbed->upstreams[i].draining
        && str_equal (testbed->upstreams[i].spec->zone->region->head.name,
                      e->region))
      candidates[n++] = &testbed->upstreams[i];
  if (n == 0)
    for (int i = 0; i < UPSTREAMS; i++)
      if (!testbed->upstreams[i].draining)
        candidates[n++] = &testbed->upstreams[i];
  struct upstream_model *a = candidates[testbed_random_below (testbed, n)];
  struct upstream_model *b = candidates[testbed_random_below (testbed, n)];
  int64_t lowest = INT64_MAX;
  switch (testbed->plan.policy)
    {
    case POLICY_ROUND_ROBIN:
      return candidates[e->cursor++ % n]->spec;
    case POLICY_LEAST_REPORTED:
      /* Starts at a random candidate, so that of several with the same load
         any may be chosen.  */
      for (size_t i = 0, at = testbed_random_below (testbed, n); i < n;
           i++, at++)
        if (candidates[at % n]->reported_load < lowest)
          {
            a = candidates[at % n];
            lowest = a->reported_load;
          }
      return a->spec;
    case POLICY_POWER_OF_TWO:
      return steer_query_upstream (e->steer, a->spec->head.name, testbed->now)
                         .in_flight
                     <= steer_query_upstream (e->steer, b->spec->head.name,
                                              testbed->now)
                            .in_flight
                 ? a->spec
                 : b->spec;
    default:
      return a->spec;
    }
}

/* Stops the timers of CALL and takes it out of the queue.  */
static void
end_call (struct call *call)
{
  struct testbed *testbed = call->entry->testbed;
  timer_stop (testbed->timers, &call->deadline_timer);
  timer_stop (testbed->timers, &call->hedge_timer);
  queue_remove (call->entry->queue, &call->item);
}

static void
free_if_finished (struct call *call)
{
  if (call->open_attempt_count == 0 && call->answered)
    free (call);
}

static void
refuse (struct call *call)
{
  if (call->is_counted)
    call->entry->testbed->result.refused++;
  end_call (call);
  call->answered = true;
  free_if_finished (call);
}

static struct steer_choice
choose (struct call *call)
{
  struct entry *e = call->entry;
  struct steer_request request = { .service = e->testbed->service,
                                   .call_class = call->call_class,
                                   .now = e->testbed->now,
                                   .waiting = queue_length (e->queue),
                                   .excluded_count = call->tried_count };
  memcpy (request.excluded, call->tried, sizeof call->tried);
  return steer_choose (e->steer, &request);
}

/* Begins a second attempt for a call that is overdue, or tries again later. */
static void
on_hedge (void *user_data, apr_time_t now)
{
  struct call *call = user_data;
  struct entry *e = call->entry;
  if (call->open_attempt_count != 1 || call->answered)
    return;
  steer_report_overdue (e->steer, &call->open_attempts[0]->steer_attempt,
                        now - call->open_attempts[0]->began_at, now);
  call->tried[0] = call->open_attempts[0]->upstream->spec->head.name;
  call->tried_count = 1;
  struct steer_choice choice = choose (call);
  if (choice.verdict != STEER_CHOSEN
      || !budget_try_withdraw (&e->hedge_budget))
    {
      timer_start (
          e->testbed->timers, &call->hedge_timer,
          now + steer_hedge_delay (&call->open_attempts[0]->steer_attempt),
          on_hedge, call);
      return;
    }
  if (call->is_counted)
    e->testbed->result.hedges++;
  dispatch (call, choice.upstream);
}

/* Dispatches or refuses a queued call; returns false if it has to wait.  */
static bool
try_dispatch (void *user_data, void *item)
{
  (void)user_data;
  struct call *call = item;
  struct entry *e = call->entry;
  if (e->killed || e->paused)
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
    timer_start (e->testbed->timers, &call->hedge_timer,
                 e->testbed->now
                     + steer_hedge_delay (
                         &call->open_attempts[call->open_attempt_count - 1]
                              ->steer_attempt),
                 on_hedge, call);
  return true;
}

void
testbed_dispatch_queued (struct entry *e)
{
  queue_offer (e->queue, try_dispatch, NULL);
}

/* Queues CALL, and dispatches it if an upstream can take it now.  */
static void
admit (struct call *call)
{
  struct entry *e = call->entry;
  struct testbed *testbed = e->testbed;
  if (!is_own_policy (testbed))
    {
      dispatch (call, choose_baseline (e));
      return;
    }
  queue_add (e->queue, testbed->service->head.name, call->call_class,
             &call->item, call);
  testbed_dispatch_queued (e);
}

/* Cancels an attempt after another of the same call was answered.  */
static void
cancel (struct attempt *other)
{
  struct call *call = other->call;
  struct testbed *testbed = call->entry->testbed;
  other->cancelled = true;
  if (!other->running)
    return;
  /* When the cancellation reaches the upstream.  */
  apr_time_t arrival
      = testbed->now
        + testbed_one_way_us (call->entry,
                              other->upstream->spec->zone->region->head.name);
  if (other->timer.due > arrival)
    timer_start (testbed->timers, &other->timer, arrival, on_completed, other);
}

static void
count_response (struct call *call)
{
  struct testbed *testbed = call->entry->testbed;
  if (!call->is_counted)
    return;
  testbed->result.answered++;
  if (call->call_class == CLASS_LONG)
    {
      testbed->result.long_answered++;
      return;
    }
  testbed->result.short_answered++;
  if (testbed->latency_count < MAX_LATENCIES)
    testbed->latencies[testbed->latency_count++]
        = (uint32_t)(testbed->now - call->arrived_at);
}

static void
on_response (struct attempt *a)
{
  struct call *call = a->call;
  struct entry *e = call->entry;
  struct testbed *testbed = e->testbed;
  enum steer_result result = a->refused     ? RESULT_REFUSED
                             : a->cancelled ? RESULT_CANCELLED
                                            : RESULT_ANSWERED;
  testbed_count_concurrency (testbed, -1);
  a->upstream->open_attempt_count--;
  steer_end_attempt (e->steer, &a->steer_attempt, result,
                     testbed->now - a->began_at, testbed->now);
  if (call->open_attempts[0] == a)
    call->open_attempts[0] = call->open_attempts[1];
  call->open_attempt_count--;
  bool was_ended = call->answered;
  if (!was_ended && a->refused)
    {
      bool may_retry = call->dispatches < 4
                       && budget_try_withdraw (&e->retry_budget)
                       && call->tried_count < STEER_EXCLUDED_MAX;
      call->tried[call->tried_count % STEER_EXCLUDED_MAX]
          = a->upstream->spec->head.name;
      if (may_retry)
        {
          call->tried_count++;
          admit (call);
        }
      else
        refuse (call);
    }
  else if (!was_ended && !a->cancelled)
    {
      call->answered = true;
      count_response (call);
      end_call (call);
      if (call->open_attempt_count > 0)
        cancel (call->open_attempts[0]);
      free_if_finished (call);
    }
  else
    free_if_finished (call);
  free (a);
  testbed_dispatch_queued (e);
}

static void
on_deadline (void *user_data, apr_time_t now)
{
  (void)now;
  struct call *call = user_data;
  if (call->answered)
    return;
  if (call->open_attempt_count > 0)
    {
      if (call->is_counted)
        call->entry->testbed->result.late++;
      call->answered = true;
      end_call (call);
      return;
    }
  refuse (call);
}

/* Returns how many entries are in REGION.  */
static int
count_region_entries (int region)
{
  return (TESTBED_ENTRIES - region + REGIONS - 1) / REGIONS;
}

/* Returns the entry that a caller of the first region uses after the drain of
   its region.  Within the lifetime of look-up responses callers follow new
   ones to entries of the other regions.  */
static struct entry *
follow_lookup (struct testbed *testbed, struct entry *e)
{
  double moved_fraction = (double)(testbed->now - testbed->plan.warm_up_us)
                          / (double)LOOKUP_LIFETIME_US;
  if (uniform (testbed) >= moved_fraction)
    return e;
  size_t to = testbed_random_below (testbed, TESTBED_ENTRIES);
  while (to % REGIONS == 0)
    to = testbed_random_below (testbed, TESTBED_ENTRIES);
  return &testbed->entries[to];
}

void
testbed_on_arrival (void *user_data, apr_time_t now)
{
  struct entry *e = user_data;
  struct testbed *testbed = e->testbed;
  const struct testbed_plan *plan = &testbed->plan;
  bool is_long = uniform (testbed) < plan->long_fraction;
  int busy = plan->busy_entries ? plan->busy_entries : TESTBED_ENTRIES;
  if (plan->drain_region)
    busy = FIRST_REGION_ENTRIES;
  double mean
      = MEAN_SERVICE_US
        * (1 - plan->long_fraction + LONG_FACTOR * plan->long_fraction);
  if (plan->short_only_load)
    mean = MEAN_SERVICE_US;
  double capacity = UPSTREAMS * SLOTS;
  if (plan->call_cap > 0)
    capacity = (double)plan->call_cap;
  double rate = plan->load * capacity / mean / busy; /* calls a microsecond */
  /* Callers are spread evenly over the regions, not over the entries.  */
  if (busy == TESTBED_ENTRIES)
    rate *= (double)TESTBED_ENTRIES / REGIONS
            / count_region_entries (e->index % REGIONS);
  timer_start (testbed->timers, &e->arrival_timer,
               now + (apr_time_t)(-log (uniform (testbed)) / rate) + 1,
               testbed_on_arrival, e);
  if (e->killed || e->paused || now > testbed->end)
    return;
  struct call *call = calloc (1, sizeof *call);
  if (plan->moving_demand)
    e = &testbed->entries[((size_t)(now / DEMAND_MOVE_US) * (size_t)busy
                           + (size_t)e->index)
                          % TESTBED_ENTRIES];
  if (plan->drain_region)
    e = follow_lookup (testbed, e);
  call->entry = e;
  call->arrived_at = now;
  call->call_class = is_long ? CLASS_LONG : CLASS_SHORT;
  call->service_us = (apr_time_t)(MEAN_SERVICE_US * (is_long ? LONG_FACTOR : 1)
                                  * (0.5 - log (uniform (testbed)) / 2));
  call->is_counted = now >= plan->warm_up_us;
  if (call->is_counted)
    testbed->result.calls++;
  budget_deposit (&e->retry_budget);
  budget_deposit (&e->hedge_budget);
  timer_start (testbed->timers, &call->deadline_timer,
               now + (plan->deadline_us ? plan->deadline_us : DEADLINE_US),
               on_deadline, call);
  admit (call);
}

void
testbed_on_tick (void *user_data, apr_time_t now)
{
  struct entry *e = user_data;
  struct testbed *testbed = e->testbed;
  if (!e->killed && !e->paused)
    {
      steer_update_demand (e->steer, testbed->service, queue_length (e->queue),
                           now);
      share_tick (steer_shares (e->steer), now);
      testbed_dispatch_queued (e);
    }
  timer_start (testbed->timers, &e->tick_timer, now + TIMER_MS (5),
               testbed_on_tick, e);
}
