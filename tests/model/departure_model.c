/* An upstream that leaves, whose key lapses, and whose address is used again,
   while the store is away and comes back from an older copy.  The entry's list
   of upstreams is the product's own: each state holds the calls that built it.
   Guards against requests to an incarnation that the entry knew to have
   left.  */
#include "fleet/fleet.h"
#include "fleet/outage.h"
#include "tests/model/checker.h"

#include <string.h>

enum
{
  MAX_TIME = 12,       /* seconds */
  MAX_TIME_BEFORE = 3, /* the store is restored */
  MAX_CALLS = 8,
  CALLS_OF_READ = 3, /* with those that follow before the next one */
  MAX_INCARNATION = 2,
  MAX_WRITES = 2, /* of an incarnation */
  MAX_EPOCH = 2,
  MAX_OUTAGES = 1,
  LEASE_S = 4,
  /* Nothing expires while what is known is older.  */
  MAX_AGE_S = 3
};

enum variant
{
  AS_BUILT,
  MEMORY_DROPPED,
  LISTED_AS_USUAL,
  HOLD_RUNS_ON
};

enum outage_kind
{
  IN_TOUCH,
  STORE_AWAY,   /* for all */
  STORE_PAUSED, /* the same, and leases pause */
  ENTRY_CUT_OFF
};

enum call_kind
{
  PUT,
  RENEW,
  REMOVE,
  REMOVE_MAYBE_EXPIRED,
  REMOVE_EXPIRED,
  POSTPONE
};

/* What the upstream wrote.  */
struct record
{
  uint8_t incarnation; /* 0: there is no record */
  uint8_t is_leaving;
  uint8_t write_count;
};

/* A call of a function of fleet/fleet.h.  */
struct call
{
  uint8_t kind;
  uint8_t is_restored; /* made for the listing of a restored store */
  uint8_t time;
  uint8_t seconds; /* for which expiry is postponed */
  uint8_t revision;
  struct record record;
};

struct state
{
  uint8_t time;
  uint8_t outage;
  uint8_t outages;
  /* The upstream; `owner' is what it last wrote or will write.  */
  struct record owner;
  uint8_t incarnations;
  /* The store.  */
  uint8_t epoch;
  uint8_t is_read;    /* by the entry, as it is now */
  uint8_t lease;      /* seconds until the record lapses */
  uint8_t is_written; /* since the entry knows this epoch */
  struct record stored;
  /* The entry.  */
  uint8_t known_epoch;
  uint8_t known_age;
  uint8_t failed_at; /* 0: no failure */
  uint8_t revision;
  uint8_t left; /* bits of the incarnations that it knew to have left */
  struct record known;
  /* What follows from the calls.  */
  uint8_t eligible;   /* incarnation that gets requests; 0: none does */
  uint8_t is_pending; /* it is held back or may have expired */
  uint8_t call_count;
  struct call calls[MAX_CALLS];
};

static const char not_sent[]
    = "no request to an incarnation that was known to have left";
static const char is_used[]
    = "an upstream that writes that it is ready gets requests";

static apr_pool_t *pool;
static bool fleet_has_changed;

/* The entry's fleet */

static struct str
find_region (void *user_data, struct str zone)
{
  (void)user_data;
  (void)zone;
  return STR ("north");
}

static void
on_changed (void *user_data, const char *what,
            const struct fleet_upstream *upstream)
{
  (void)user_data;
  (void)what;
  (void)upstream;
  fleet_has_changed = true;
}

/* Times of the fleet are never 0.  */
static apr_time_t
time_of (int seconds)
{
  return (apr_time_t)(seconds + 1) * APR_USEC_PER_SEC;
}

static void
replay (struct fleet *fleet, const struct call *call)
{
  apr_time_t now = time_of (call->time);
  struct fleet_record record = { .id = STR ("a"),
                                 .service = STR ("s"),
                                 .address = STR ("10.0.0.1:1"),
                                 .zone = STR ("z"),
                                 .slots = 1,
                                 .leaving = call->record.is_leaving,
                                 .incarnation = call->record.incarnation,
                                 .write_count = call->record.write_count };
  if (call->is_restored)
    fleet_begin_restore (fleet);
  switch (call->kind)
    {
    case PUT:
      fleet_put_upstream (fleet, &record, call->revision, now);
      break;
    case RENEW:
      if (!fleet_renew_upstream (fleet, record.id, call->revision, now))
        fleet_put_upstream (fleet, &record, call->revision, now);
      break;
    case REMOVE:
    case REMOVE_MAYBE_EXPIRED:
      fleet_remove_upstream (fleet, record.id,
                             call->kind == REMOVE_MAYBE_EXPIRED, now);
      break;
    case REMOVE_EXPIRED:
      fleet_remove_expired (fleet, now);
      break;
    case POSTPONE:
      fleet_postpone_expiry (fleet, call->seconds * APR_USEC_PER_SEC);
      break;
    }
  if (call->is_restored)
    fleet_end_restore (fleet);
}

/* Returns the fleet of the entry; the caller destroys it.  */
static struct fleet *
build_fleet (const struct state *state)
{
  struct fleet_desc desc
      = { .find_region = find_region, .upstream_changed = on_changed };
  if (!pool)
    apr_pool_create (&pool, NULL);
  apr_pool_clear (pool);
  struct fleet *fleet = fleet_create (pool, &desc);
  for (int i = 0; i < state->call_count; i++)
    replay (fleet, &state->calls[i]);
  return fleet;
}

/* Adds a call and derives what follows from all calls.  */
static void
add_call (struct state *state, enum call_kind kind, bool is_restored)
{
  struct call *call = &state->calls[state->call_count++];
  bool is_timed
      = is_restored || kind == REMOVE_MAYBE_EXPIRED || kind == REMOVE_EXPIRED;
  /* What has no effect on the list is left out, so that states are equal.  */
  *call = (struct call){ .kind = (uint8_t)kind,
                         .is_restored = is_restored,
                         .time = is_timed ? state->time : 0,
                         .seconds = kind == POSTPONE };
  if (kind == PUT || kind == RENEW)
    {
      call->revision = state->revision;
      call->record = state->stored;
    }
  struct fleet *fleet = build_fleet (state);
  const struct fleet_upstream *upstream = fleet_find (fleet, STR ("a"));
  state->eligible = upstream && fleet_is_eligible (upstream)
                        ? (uint8_t)upstream->incarnation
                        : 0;
  state->is_pending
      = upstream && (upstream->held_until > 0 || upstream->expired_at > 0);
  fleet_destroy (fleet);
}

/* Ends grace periods; the call is kept only if it changes something.  */
static void
remove_expired (struct state *state)
{
  if (!state->is_pending)
    return;
  struct fleet *fleet = build_fleet (state);
  fleet_has_changed = false;
  fleet_remove_expired (fleet, time_of (state->time));
  fleet_destroy (fleet);
  if (fleet_has_changed)
    add_call (state, REMOVE_EXPIRED, false);
}

/* Nothing was heard of the store for too long a second before now.  */
static void
postpone_expiry (struct state *state)
{
  struct call *last = &state->calls[state->call_count - 1];
  if (!state->is_pending)
    return;
  if (last->kind == POSTPONE)
    last->seconds++;
  else
    add_call (state, POSTPONE, false);
}

/* The upstream and the store */

static bool
has_left (const struct state *state, int incarnation)
{
  return state->owner.incarnation != incarnation || state->owner.is_leaving;
}

static bool
is_store_reached (const struct state *state)
{
  return state->outage != STORE_AWAY && state->outage != STORE_PAUSED;
}

static bool
is_known (const struct state *state)
{
  return state->known_epoch == state->epoch && state->is_read;
}

static void
set_stored (struct state *state, struct record record)
{
  state->stored = record;
  state->lease = record.incarnation ? LEASE_S : 0;
  state->is_read = 0;
  state->is_written
      = record.incarnation > 0 && state->known_epoch == state->epoch;
}

static void
add_upstream_steps (const struct state *state, struct checker *checker)
{
  struct state next = *state;
  bool is_reached = is_store_reached (state);
  if (state->owner.incarnation == 0)
    {
      if (!is_reached || state->incarnations == MAX_INCARNATION)
        return;
      next.owner = (struct record){ ++next.incarnations, 0, 1 };
      set_stored (&next, next.owner);
      checker_add (checker, "an upstream starts at the address", &next);
      return;
    }
  if (is_reached && state->owner.write_count < MAX_WRITES)
    {
      next.owner.write_count++;
      set_stored (&next, next.owner);
      checker_add (checker, "the upstream writes its record", &next);
      if (!state->owner.is_leaving)
        {
          next.owner.is_leaving = next.stored.is_leaving = 1;
          checker_add (checker, "the upstream says that it leaves", &next);
        }
    }
  next = *state;
  next.owner = (struct record){ 0 };
  checker_add (checker, "the upstream dies", &next);
  if (is_reached && state->owner.is_leaving)
    {
      set_stored (&next, next.owner);
      checker_add (checker, "the upstream removes its record", &next);
    }
}

static void
add_store_steps (const struct state *state, struct checker *checker)
{
  struct state next = *state;
  if (state->epoch < MAX_EPOCH && is_store_reached (state))
    {
      set_stored (&next, (struct record){ 1, 0, 1 });
      next.is_written = 0;
      next.epoch++;
      checker_add (checker, "the store comes back from a copy", &next);
    }
  next = *state;
  if (state->outage)
    {
      next.outage = IN_TOUCH;
      checker_add (checker, "the outage ends", &next);
    }
  else if (state->outages < MAX_OUTAGES)
    {
      next.outages++;
      next.failed_at = state->time + 1;
      next.outage = STORE_AWAY;
      checker_add (checker, "the store is away", &next);
      next.outage = STORE_PAUSED;
      checker_add (checker, "the store is away, and leases pause", &next);
      next.outage = ENTRY_CUT_OFF;
      checker_add (checker, "the entry is cut off", &next);
    }
}

/* A second passes.  */
static void
add_time_step (const struct state *state, int variant, struct checker *checker)
{
  struct state next = *state;
  /* Who renews a record writes what is so now.  */
  bool is_owned
      = state->owner.incarnation > 0
        && memcmp (&state->owner, &state->stored, sizeof state->owner) == 0;
  /* An entry in touch reads within a second.  */
  if (state->time == (state->epoch < MAX_EPOCH ? MAX_TIME_BEFORE : MAX_TIME)
      || (!state->outage && !is_known (state)))
    return;
  next.time++;
  next.known_age = state->outage ? state->known_age + 1 : 0;
  if (state->outage)
    next.failed_at = next.time + 1;
  else if (state->failed_at < next.time)
    next.failed_at = 0; /* too long ago to count */
  if (next.known_age <= MAX_AGE_S)
    remove_expired (&next);
  else if (variant != HOLD_RUNS_ON)
    postpone_expiry (&next);
  if (is_owned && is_store_reached (state))
    next.lease = LEASE_S;
  else if (next.lease > 0 && state->outage != STORE_PAUSED
           && --next.lease == 0)
    set_stored (&next, (struct record){ 0 });
  checker_add (checker, "a second passes", &next);
}

/* The entry */

static void
record_departures (struct state *state, bool may_be_expired)
{
  const struct record *stored = &state->stored;
  for (int i = 1; i <= MAX_INCARNATION; i++)
    {
      bool was_told
          = (stored->incarnation == i && stored->is_leaving)
            || (state->known.incarnation == i
                && (stored->incarnation > i
                    || (stored->incarnation == 0 && !may_be_expired)));
      if (was_told && has_left (state, i))
        state->left |= (uint8_t)(1 << i);
    }
}

static void
add_read_step (const struct state *state, int variant, struct checker *checker)
{
  struct state next = *state;
  bool is_restored = state->known_epoch != state->epoch;
  bool is_restoring = is_restored && variant != LISTED_AS_USUAL;
  struct outage outage
      = { .failed_at = state->failed_at ? time_of (state->failed_at - 1) : 0 };
  bool may_be_expired
      = is_restored || outage_is_recent (&outage, time_of (state->time));
  if (state->outage || is_known (state)
      || state->call_count + CALLS_OF_READ > MAX_CALLS)
    return;
  next.revision++;
  next.known_age = 0;
  if (is_restored && variant == MEMORY_DROPPED)
    {
      next.call_count = 0;
      memset (next.calls, 0, sizeof next.calls);
    }
  if (next.stored.incarnation == 0)
    add_call (&next, may_be_expired ? REMOVE_MAYBE_EXPIRED : REMOVE,
              is_restoring);
  else if (!is_restored && next.known.incarnation == next.stored.incarnation
           && next.known.is_leaving == next.stored.is_leaving)
    add_call (&next, RENEW, false);
  else
    add_call (&next, PUT, is_restoring);
  record_departures (&next, may_be_expired);
  next.known = next.stored;
  next.known_epoch = next.epoch;
  next.is_read = 1;
  remove_expired (&next);
  checker_add (checker, "the entry reads the store", &next);
}

static void
start (void *first)
{
  struct state *state = first;
  state->owner = (struct record){ 1, 0, 1 };
  state->incarnations = 1;
  state->epoch = state->known_epoch = 1;
  set_stored (state, state->owner);
  state->is_read = 1;
  state->known = state->stored;
  state->revision = 1;
  add_call (state, PUT, false);
}

static void
add_next (const void *from, int variant, struct checker *checker)
{
  add_upstream_steps (from, checker);
  add_store_steps (from, checker);
  add_time_step (from, variant, checker);
  add_read_step (from, variant, checker);
}

static const char *
find_broken (const void *at, int variant)
{
  const struct state *state = at;
  (void)variant;
  int incarnation = state->eligible;
  if (incarnation > 0 && (state->left & 1 << incarnation))
    return not_sent;
  bool is_ready = state->is_written && !state->owner.is_leaving
                  && state->owner.incarnation > 0
                  && state->stored.incarnation == state->owner.incarnation
                  && state->stored.write_count == state->owner.write_count;
  return is_ready && is_known (state)
                 && incarnation != state->owner.incarnation
             ? is_used
             : NULL;
}

static const struct model_variant variants[]
    = { { "as built", NULL },
        { "what had left is forgotten when the store is restored", not_sent },
        { "a restored listing is applied as any other", not_sent },
        { "upstreams are held back for no longer if the store is away",
          not_sent },
        { NULL, NULL } };

const struct model departure_model
    = { .name = "departure",
        .bounds = "2 incarnations at an address, 2 writes each, 1 restore, "
                  "1 outage, 12 seconds, 8 calls of the list of upstreams",
        .variants = variants,
        .state_size = sizeof (struct state),
        .max_states = 3000000,
        .start = start,
        .add_next = add_next,
        .find_broken = find_broken };
