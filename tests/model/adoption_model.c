/* Adoption of configuration versions by two entries: one reads the store, the
   other its copy or the store.  The store can come back from an older copy at
   any time; the second entry's calls and the responses may be late or lost.
   Guards against a version that is taken back, and one that is never adopted.
 */
#include "fleet/position.h"
#include "tests/model/checker.h"

#include <stdint.h>

enum
{
  READER,
  FOLLOWER,
  ENTRIES
};

/* A call in progress.  The follower has one to each of its sources.  */
enum
{
  READER_TO_STORE,
  FOLLOWER_TO_STORE,
  FOLLOWER_TO_READER,
  CALLS
};

enum
{
  MAX_VERSION = 3,
  MAX_INDEX = 3,
  MAX_EPOCH = 2,
  SETTLE_ROUNDS = 3
};

enum variant
{
  AS_BUILT,
  INDEX_ONLY,
  LATE_RESPONSES,
  VERSIONS_NOT_COMPARED
};

enum stage
{
  IDLE,
  ASKED,
  ANSWERED
};

/* The configuration as the store, or a copy, holds it.  */
struct content
{
  uint8_t epoch;
  uint8_t index;
  uint8_t version;
  uint8_t version_index; /* at which the version was written */
};

struct call
{
  uint8_t stage;
  uint8_t is_listing;
  uint8_t asked_epoch;
  uint8_t asked_index;
  uint8_t is_history_gone;
  uint8_t has_version; /* the response holds the configuration */
  struct content response;
};

struct entry
{
  struct content copy;
  uint8_t history_start; /* of the copy */
  uint8_t version;       /* in force */
  uint8_t max_version;   /* that was ever in force */
};

struct state
{
  struct content store;
  struct content backup; /* from which the store may come back */
  uint8_t written;       /* versions */
  struct entry entries[ENTRIES];
  struct call calls[CALLS];
};

static const char never_back[] = "an adopted version is not taken back";
static const char newest[]
    = "with all sources in touch, the newest version is adopted";

static int
caller_of (int call)
{
  return call == READER_TO_STORE ? READER : FOLLOWER;
}

static void
start (void *first)
{
  struct state *state = first;
  state->store = (struct content){ 1, 1, 1, 1 };
  state->backup = state->store;
  state->written = 1;
}

/* Begins CALL, for a listing if nothing is known or if IS_LISTING.  */
static void
ask (struct state *state, int number, bool is_listing)
{
  const struct content *known = &state->entries[caller_of (number)].copy;
  state->calls[number]
      = (struct call){ .stage = ASKED,
                       .is_listing = is_listing || known->index == 0,
                       .asked_epoch = known->epoch,
                       .asked_index = known->index };
}

/* The source responds with what it holds now.  */
static void
answer (struct state *state, int number)
{
  struct call *call = &state->calls[number];
  const struct entry *reader = &state->entries[READER];
  bool is_store = number != FOLLOWER_TO_READER;
  call->stage = ANSWERED;
  call->response = is_store ? state->store : reader->copy;
  call->is_history_gone = !call->is_listing && !is_store
                          && call->asked_index < reader->history_start;
  call->has_version
      = call->is_listing || call->response.version_index > call->asked_index;
}

/* The entry applies a listing or changes.  */
static void
apply (struct entry *entry, const struct call *call, int variant)
{
  const struct content *response = &call->response;
  struct content *copy = &entry->copy;
  if (call->is_listing && (response->epoch > copy->epoch || copy->index == 0))
    {
      copy->index = copy->version_index = 0;
      copy->epoch = response->epoch;
      entry->history_start = response->index;
    }
  if (call->has_version && response->version_index >= copy->version_index)
    {
      copy->version = response->version;
      copy->version_index = response->version_index;
      if (response->version > entry->version
          || variant == VERSIONS_NOT_COMPARED)
        entry->version = response->version;
    }
  if (response->index > copy->index)
    copy->index = response->index;
  if (entry->version > entry->max_version)
    entry->max_version = entry->version;
}

/* The response to CALL arrives; an entry that needs a listing asks for it.  */
static void
deliver (struct state *state, int number, int variant)
{
  struct call call = state->calls[number];
  struct entry *entry = &state->entries[caller_of (number)];
  bool has_epochs = variant != INDEX_ONLY;
  struct position known
      = { has_epochs ? entry->copy.epoch : 0, entry->copy.index };
  struct position response
      = { has_epochs ? call.response.epoch : 0, call.response.index };
  state->calls[number] = (struct call){ 0 };
  if (position_is_outdated (&known, call.asked_epoch, call.is_listing,
                            response.epoch)
      && variant != LATE_RESPONSES)
    return;
  if (call.is_history_gone
      || position_needs_listing (&known, call.is_listing, response.epoch))
    ask (state, number, true);
  else if (!call.is_listing || position_accepts_listing (&known, &response))
    apply (entry, &call, variant);
}

/* Makes a call that is answered at once.  */
static void
finish_call (struct state *state, int number, int variant)
{
  ask (state, number, false);
  while (state->calls[number].stage == ASKED)
    {
      answer (state, number);
      deliver (state, number, variant);
    }
}

/* Returns whether all entries follow the store's configuration, or a later
   one, after calls without loss.  FOLLOWER_CALL: the source of the
   follower.  */
static bool
is_settled (const struct state *state, int follower_call, int variant)
{
  struct state after = *state;
  for (int i = 0; i < SETTLE_ROUNDS; i++)
    {
      finish_call (&after, READER_TO_STORE, variant);
      /* A first listing is the store's.  */
      finish_call (&after,
                   after.entries[FOLLOWER].copy.index == 0 ? FOLLOWER_TO_STORE
                                                           : follower_call,
                   variant);
    }
  for (int i = 0; i < ENTRIES; i++)
    if (after.entries[i].version < state->store.version)
      return false;
  return true;
}

static void
add_call_steps (const struct state *state, int number, int variant,
                struct checker *checker)
{
  struct state next = *state;
  const struct call *call = &state->calls[number];
  switch (call->stage)
    {
    case IDLE:
      if (number == READER_TO_STORE)
        {
          finish_call (&next, number, variant);
          checker_add (checker, "the reader reads the store", &next);
          return;
        }
      if (number == FOLLOWER_TO_READER
          && (state->entries[FOLLOWER].copy.index == 0
              || state->entries[READER].copy.index == 0))
        return;
      ask (&next, number, false);
      checker_add (checker, "an entry asks", &next);
      return;
    case ASKED:
      answer (&next, number);
      checker_add (checker, "a source answers", &next);
      break;
    case ANSWERED:
      deliver (&next, number, variant);
      checker_add (checker, "a response arrives", &next);
      break;
    }
  next = *state;
  next.calls[number] = (struct call){ 0 };
  checker_add (checker, "a call is lost", &next);
}

static void
add_next (const void *from, int variant, struct checker *checker)
{
  const struct state *state = from;
  struct state next = *state;
  for (int i = 0; i < CALLS; i++)
    add_call_steps (state, i, variant, checker);
  if (state->store.index < MAX_INDEX)
    {
      next.store.index++;
      checker_add (checker, "another key is written", &next);
      if (state->written < MAX_VERSION)
        {
          next.store.version = ++next.written;
          next.store.version_index = next.store.index;
          checker_add (checker, "a version is written", &next);
        }
    }
  next = *state;
  next.backup = state->store;
  checker_add (checker, "the store is copied", &next);
  if (state->store.epoch < MAX_EPOCH)
    {
      next = *state;
      next.store = state->backup;
      next.store.epoch = state->store.epoch + 1;
      checker_add (checker, "the store comes back from the copy", &next);
    }
}

static const char *
find_broken (const void *at, int variant)
{
  const struct state *state = at;
  for (int i = 0; i < ENTRIES; i++)
    if (state->entries[i].version < state->entries[i].max_version)
      return never_back;
  return is_settled (state, FOLLOWER_TO_READER, variant)
                 && is_settled (state, FOLLOWER_TO_STORE, variant)
             ? NULL
             : newest;
}

static const struct model_variant variants[]
    = { { "as built", NULL },
        { "ordered by index alone", newest },
        { "late responses are used", newest },
        { "versions are not compared", never_back },
        { NULL, NULL } };

const struct model adoption_model
    = { .name = "adoption",
        .bounds = "a reader and a follower, 3 versions, 3 writes, 1 restore, "
                  "a call of the follower to each source, late or lost",
        .variants = variants,
        .state_size = sizeof (struct state),
        .max_states = 3000000,
        .start = start,
        .add_next = add_next,
        .find_broken = find_broken };
