/* The policies: the gateway's own decisions, and baselines.  */
#include "bench/rush/internal.h"

#include <string.h>

/* As in the gateway, see gateway/dispatch.c.  */
static const double reserve_from = 0.85;
static const double reserve_slots = 1.0;
static const double queue_most = 1.0;

static bool
was_tried (const struct call *call, int upstream)
{
  for (int i = 0; i < call->sends && i < EXCLUDED_MAX; i++)
    if (call->tried[i] == upstream)
      return true;
  return false;
}

/* own */

static struct balance_choice
choose (struct rush *rush, struct call *call)
{
  struct entry *entry = &rush->entries[call->entry];
  const struct balance_region_load *room = &entry->rooms[call->place];
  double full = room->slots > 0 ? room->busy / room->slots : 1.0;
  struct balance_request request
      = { .fleet = entry->fleet,
          .service = fleet_service (entry->fleet, STR ("s")),
          .region = str_from (rush_regions[call->place]),
          .object = call->object,
          .recurs = !rush->plan.no_objects,
          .service_time = &entry->works[call->kind],
          .rtt = 2 * rush_way (rush, entry->region, call->place),
          .own_zone = str_from (rush_regions[entry->region]),
          .idle_timeout = TIMER_SEC (6),
          .max_queue_per_slot
          = rush->plan.policy == RUSH_OWN ? queue_most : 0.0,
          .reserved_slots
          = rush_kinds[call->kind].priority > 0 && full > reserve_from
                ? reserve_slots
                : 0.0,
          .max_in_flight = 64,
          .now = rush->now };
  for (int i = 0; i < call->sends && i < EXCLUDED_MAX; i++)
    request.excluded[request.excluded_count++]
        = entry->upstreams[call->tried[i]]->hash;
  return balance_choose_upstream (&request);
}

static struct admit_state
state_of (struct rush *rush, const struct call *call,
          const struct balance_choice *choice)
{
  struct entry *entry = &rush->entries[call->entry];
  const struct rush_kind *kind = &rush_kinds[call->kind];
  const struct balance_region_load *room = &entry->rooms[call->place];
  double work = entry->works[call->kind].uncached / APR_USEC_PER_SEC;
  return (struct admit_state){
    .has_slot = choice->upstream != NULL,
    .expected_latency = choice->expected_latency,
    .min_latency
    = (apr_time_t)(rush->plan.no_objects ? entry->works[call->kind].uncached
                                         : entry->works[call->kind].cached)
      + 2 * rush_way (rush, entry->region, call->place),
    .target_left = call->asked_at + kind->aim - rush->now,
    .deadline_left = call->asked_at + kind->deadline - rush->now,
    .utilization = room->slots > 0 ? room->busy / room->slots : 1.0,
    .queued = entry->waiting[call->place],
    .dispatch_rate = room->slots / work / (double)rush_entries_near (rush),
    .is_urgent = kind->priority == 0,
    .jitter = rush_chance (rush)
  };
}

static int
index_of (const struct entry *entry, const struct fleet_upstream *upstream)
{
  for (int i = 0; i < UPSTREAMS_MAX; i++)
    if (entry->upstreams[i] == upstream)
      return i;
  return PICK_NONE;
}

static struct decision
send_to (struct rush *rush, struct call *call,
         const struct balance_choice *choice)
{
  struct entry *entry = &rush->entries[call->entry];
  call->expected = choice->expected_latency;
  call->work = choice->service_time;
  call->pace = load_slowdown (&choice->upstream->load, rush->now);
  return (struct decision){ .upstream = index_of (entry, choice->upstream) };
}

/* Takes the call to another region, if its answer is in time only there.  */
static bool
overflow (struct rush *rush, struct call *call, struct decision *decision)
{
  static const bool all[RUSH_REGIONS] = { true, true, true };
  struct entry *entry = &rush->entries[call->entry];
  int first = call->place;
  size_t other = region_split_find_overflow (&entry->spread, entry->rooms,
                                             (size_t)first, all);
  if (other >= RUSH_REGIONS || entry->overflow.balance < 1.0)
    return false;
  call->place = (int)other;
  struct balance_choice choice = choose (rush, call);
  if (choice.upstream
      && rush->now + choice.expected_latency
             <= call->asked_at + rush_kinds[call->kind].aim
      && budget_try_withdraw (&entry->overflow))
    {
      *decision = send_to (rush, call, &choice);
      return true;
    }
  call->place = first;
  return false;
}

static struct decision
decide_own (struct rush *rush, struct call *call, bool from_line)
{
  struct entry *entry = &rush->entries[call->entry];
  struct decision decision = { .upstream = PICK_NONE };
  if (!from_line)
    {
      bool near[RUSH_REGIONS];
      for (int r = 0; r < RUSH_REGIONS; r++)
        near[r]
            = !rush->plan.no_objects || r == entry->region
              || balance_meets_target (&entry->works[call->kind], false,
                                       2 * rush_way (rush, entry->region, r),
                                       rush_kinds[call->kind].aim);
      call->place
          = (int)region_split_pick (&entry->spread, call->object, near);
    }
  struct balance_choice choice = choose (rush, call);
  struct admit_state state = state_of (rush, call, &choice);
  struct admit_verdict verdict = admit_decide (&state);
  bool in_time = verdict.action == ADMIT_SEND
                 && state.expected_latency <= state.target_left;
  if (!from_line && !in_time && state.target_left > 0
      && overflow (rush, call, &decision))
    return decision;
  if (verdict.action == ADMIT_SEND && choice.upstream)
    return send_to (rush, call, &choice);
  decision.waits = verdict.action == ADMIT_WAIT;
  decision.wait = verdict.max_wait;
  decision.retry_after = verdict.retry_after;
  return decision;
}

/* baselines */

/* Returns whether an entry of a baseline takes UPSTREAM to have room; the own
   region goes first.  */
static bool
seems_free (const struct rush *rush, const struct call *call, int upstream,
            bool near)
{
  const struct told *told = &rush->entries[call->entry].told[upstream];
  bool is_near
      = rush->servers[upstream].region == rush->entries[call->entry].region;
  int load = told->running > told->own ? told->running : told->own;
  return load < SLOTS && is_near == near && !was_tried (call, upstream);
}

static int
pick_among (struct rush *rush, struct call *call, const int *free, int count)
{
  struct entry *entry = &rush->entries[call->entry];
  int a = free[(int)(rush_chance (rush) * count) % count];
  int b = free[(int)(rush_chance (rush) * count) % count];
  int best = a;
  switch (rush->plan.policy)
    {
    case RUSH_ROUND_ROBIN:
      return free[entry->next++ % count];
    case RUSH_TWO_CHOICES:
      return entry->told[a].running <= entry->told[b].running ? a : b;
    case RUSH_LEAST_TOLD:
      for (int i = 0; i < count; i++)
        if (entry->told[free[i]].running < entry->told[best].running)
          best = free[i];
      return best;
    default:
      return a;
    }
}

static struct decision
decide_baseline (struct rush *rush, struct call *call)
{
  int free[UPSTREAMS_MAX];
  struct decision decision
      = { .upstream = PICK_NONE, .retry_after = TIMER_MS (200) };
  for (int near = 1; near >= 0; near--)
    {
      int count = 0;
      for (int u = 0; u < rush->upstream_count; u++)
        if (seems_free (rush, call, u, near))
          free[count++] = u;
      if (count == 0)
        continue;
      decision.upstream = pick_among (rush, call, free, count);
      call->place = rush->servers[decision.upstream].region;
      return decision;
    }
  return decision;
}

bool
rush_is_own (const struct rush *rush)
{
  return rush->plan.policy == RUSH_OWN || rush->plan.policy == RUSH_OWN_SLOTS;
}

struct decision
rush_decide (struct rush *rush, struct call *call, bool from_line)
{
  return rush_is_own (rush) ? decide_own (rush, call, from_line)
                            : decide_baseline (rush, call);
}
