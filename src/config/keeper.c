#include "config/keeper.h"

#include "base/log.h"

#include <apr_strings.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* types */

struct subscriber
{
  adopted_fn *adopted;
  void *part;
};

/* One operator's change on its way to the store.  */
struct operation
{
  struct operation *next;
  struct keeper *keeper;
  apr_pool_t *pool;
  struct str id;
  struct change *changes;
  size_t count;
  change_fn *done;
  void *part;
  struct document *proposed; /* what the write in progress holds */
  apr_time_t answer_by;
  apr_time_t give_up_at;
  bool uncertain; /* a write was sent and may still take effect */
  int64_t uncertain_index;
};

/* The final state of a pending operation, kept for later questions.  */
struct outcome
{
  char id[64];
  enum change_state state;
  int64_t version;
};

enum
{
  SUBSCRIBERS_MAX = 8,
  OUTCOMES_KEPT = 64
};

struct keeper
{
  struct keeper_desc desc;
  apr_pool_t *pool;
  const char *key;
  struct document *document;
  struct subscriber subscribers[SUBSCRIBERS_MAX];
  size_t subscriber_count;
  bool is_relay;
  bool watching;
  int64_t watch_index;
  int64_t retry_ms;
  struct timer watch_timer;
  struct timer work_timer;
  struct operation *first; /* the first is in progress */
  bool working;
  struct outcome outcomes[OUTCOMES_KEPT];
  size_t next_outcome;
  struct counter *version_gauge;
  struct counter *adopted_counter;
  struct counter *older_counter;
  struct counter *repaired_counter;
};

/* constants */

enum
{
  WATCH_WAIT_MS = 30000,
  FIRST_RETRY_MS = 100,
  LONGEST_RETRY_MS = 2000,
  CONFLICT_RETRY_MS = 5,
  ANSWER_WITHIN_MS = 3000,
  GIVE_UP_AFTER_MS = 600000
};

static const char *const state_names[] = {
  "unknown", "pending", "accepted", "conflict", "invalid", "unavailable"
};

/* private functions */

static struct timer_service *
timers (struct keeper *keeper)
{
  return loop_timers (keeper->desc.loop);
}

/* Takes DOCUMENT over, or destroys it if it is not higher.  */
static bool
adopt (struct keeper *keeper, struct document *document, const char *source)
{
  if (document->version <= keeper->document->version)
    {
      if (document->version < keeper->document->version)
        counter_add (keeper->older_counter, 1);
      document_destroy (document);
      return false;
    }
  document_destroy (keeper->document);
  keeper->document = document;
  counter_set (keeper->version_gauge, document->version);
  counter_add (keeper->adopted_counter, 1);
  LOG (LOG_INFO, "config-adopted", LOG_INT ("version", document->version),
       LOG_TEXT ("source", source));
  for (size_t i = 0; i < keeper->subscriber_count; i++)
    keeper->subscribers[i].adopted (keeper->subscribers[i].part,
                                    keeper->document);
  return true;
}

static struct document *
parse (struct str text, const char *source)
{
  apr_pool_t *pool;
  apr_pool_create (&pool, NULL);
  struct faults *faults = faults_create (pool);
  struct document *document = document_parse (text, faults);
  if (!document)
    {
      const struct fault *fault = faults_at (faults, 0);
      LOG (LOG_ERROR, "config-rejected", LOG_TEXT ("source", source),
           LOG_TEXT ("path", fault->path.data),
           LOG_TEXT ("found", fault->found.data),
           LOG_TEXT ("expected", fault->expected.data));
    }
  apr_pool_destroy (pool);
  return document;
}

static void
on_repaired (void *part, const struct store_answer *answer)
{
  struct keeper *keeper = part;
  if (answer->code != ERR_NONE)
    return;
  counter_add (keeper->repaired_counter, 1);
  LOG (LOG_WARN, "store-repaired",
       LOG_INT ("version", keeper->document->version));
}

/* Writes the held document over an older one in the store, which has lost
   accepted changes.  */
static void
repair (struct keeper *keeper, int64_t index)
{
  apr_pool_t *pool;
  apr_pool_create (&pool, NULL);
  struct str text = document_text (keeper->document, pool);
  keeper->desc.store->ops->compare_and_swap (keeper->desc.store, keeper->key,
                                             index, text, on_repaired, keeper);
  apr_pool_destroy (pool);
}

/* Takes in what the store holds, of version VERSION; returns false if it
   cannot be read.  */
static bool
take_stored (struct keeper *keeper, const struct store_answer *answer,
             int64_t *version)
{
  *version = 0;
  if (answer->code == ERR_NOT_FOUND)
    return true;
  struct document *document = parse (answer->value, "store");
  if (!document)
    return false;
  *version = document->version;
  adopt (keeper, document, "store");
  return true;
}

static void watch (struct keeper *keeper);

static void
on_watch_due (void *part, apr_time_t now)
{
  (void)now;
  watch (part);
}

static void
on_watched (void *part, const struct store_answer *answer)
{
  struct keeper *keeper = part;
  int64_t wait_ms = 0;
  keeper->watching = false;
  if (answer->code == ERR_NONE || answer->code == ERR_NOT_FOUND)
    {
      bool changed = answer->index != keeper->watch_index;
      keeper->watch_index = answer->index;
      keeper->retry_ms = FIRST_RETRY_MS;
      int64_t stored;
      if (changed && take_stored (keeper, answer, &stored)
          && stored < keeper->document->version)
        repair (keeper, answer->code == ERR_NOT_FOUND ? 0 : answer->index);
      /* A store without long polls must not be asked in a tight loop.  */
      wait_ms = changed ? 0 : FIRST_RETRY_MS;
    }
  else
    {
      wait_ms = keeper->retry_ms;
      keeper->retry_ms *= 2;
      if (keeper->retry_ms > LONGEST_RETRY_MS)
        keeper->retry_ms = LONGEST_RETRY_MS;
    }
  timer_start (timers (keeper), &keeper->watch_timer,
               timer_clock () + TIMER_MS (wait_ms), on_watch_due, keeper);
}

static void
watch (struct keeper *keeper)
{
  if (keeper->watching)
    return;
  /* Until something is held, every entry asks; afterwards only relays.  */
  if (!keeper->is_relay && keeper->document->version > 0)
    return;
  keeper->watching = true;
  if (keeper->is_relay && keeper->watch_index > 0)
    keeper->desc.store->ops->watch (keeper->desc.store, keeper->key,
                                    keeper->watch_index, WATCH_WAIT_MS,
                                    on_watched, keeper);
  else
    keeper->desc.store->ops->get (keeper->desc.store, keeper->key, on_watched,
                                  keeper);
}

/* Operations: read, propose, compare-and-swap, and read back when the
   answer was lost.  */

static void work (struct keeper *keeper);

static void
record (struct keeper *keeper, const struct operation *op,
        enum change_state state, int64_t version)
{
  struct outcome *outcome = &keeper->outcomes[keeper->next_outcome];
  keeper->next_outcome = (keeper->next_outcome + 1) % OUTCOMES_KEPT;
  snprintf (outcome->id, sizeof outcome->id, "%.*s", STR_ARGS (op->id));
  outcome->state = state;
  outcome->version = version;
}

static void
tell (struct operation *op, const struct change_result *result)
{
  change_fn *done = op->done;
  op->done = NULL;
  if (done)
    done (op->part, result);
}

/* Ends the first operation and starts the next.  */
static void
finish (struct keeper *keeper, const struct change_result *result)
{
  struct operation *op = keeper->first;
  keeper->first = op->next;
  keeper->working = false;
  record (keeper, op, result->state, result->version);
  tell (op, result);
  document_destroy (op->proposed);
  for (size_t i = 0; i < op->count; i++)
    json_object_put (op->changes[i].spec);
  apr_pool_destroy (op->pool);
  timer_stop (timers (keeper), &keeper->work_timer);
  if (keeper->first)
    work (keeper);
}

static void
on_work_due (void *part, apr_time_t now)
{
  (void)now;
  work (part);
}

static void
work_again (struct keeper *keeper, int64_t wait_ms)
{
  struct operation *op = keeper->first;
  apr_time_t now = timer_clock ();
  keeper->working = false;
  if (now >= op->answer_by && !op->uncertain)
    {
      finish (keeper, &(struct change_result){ .state = CHANGE_UNAVAILABLE });
      return;
    }
  if (now >= op->answer_by)
    tell (op, &(struct change_result){ .state = CHANGE_PENDING });
  if (now >= op->give_up_at)
    {
      finish (keeper, &(struct change_result){ .state = CHANGE_PENDING });
      return;
    }
  timer_start (timers (keeper), &keeper->work_timer, now + TIMER_MS (wait_ms),
               on_work_due, keeper);
}

static void
on_written (void *part, const struct store_answer *answer)
{
  struct keeper *keeper = part;
  struct operation *op = keeper->first;
  struct document *proposed = op->proposed;
  op->proposed = NULL;
  if (answer->code == ERR_NONE)
    {
      int64_t version = proposed->version;
      adopt (keeper, proposed, "operator");
      finish (keeper, &(struct change_result){ .state = CHANGE_ACCEPTED,
                                               .version = version });
      return;
    }
  document_destroy (proposed);
  if (answer->code == ERR_UNKNOWN)
    {
      op->uncertain = true;
      work_again (keeper, FIRST_RETRY_MS);
    }
  else if (answer->code == ERR_CONFLICT)
    /* Either another write came first, or an earlier try of this one took
       effect after all: reading back tells.  */
    work_again (keeper, CONFLICT_RETRY_MS + rand () % CONFLICT_RETRY_MS);
  else
    work_again (keeper, FIRST_RETRY_MS);
}

static void
propose (struct keeper *keeper, int64_t index)
{
  struct operation *op = keeper->first;
  struct faults *faults = faults_create (op->pool);
  struct change_result result = { 0 };
  result.version = document_operation (keeper->document, op->id);
  if (result.version > 0)
    {
      result.state = CHANGE_ACCEPTED;
      finish (keeper, &result);
      return;
    }
  if (op->uncertain && index != op->uncertain_index)
    /* The key moved on without this operation, so the write that was sent
       can no longer take effect.  */
    op->uncertain = false;
  enum err_code code
      = document_change (keeper->document, op->id, op->changes, op->count,
                         &op->proposed, &result.conflict, faults);
  if (code != ERR_NONE)
    {
      result.state = code == ERR_CONFLICT ? CHANGE_CONFLICT : CHANGE_INVALID;
      result.faults = faults;
      finish (keeper, &result);
      return;
    }
  struct str text = document_text (op->proposed, op->pool);
  op->uncertain_index = index;
  keeper->desc.store->ops->compare_and_swap (keeper->desc.store, keeper->key,
                                             index, text, on_written, keeper);
}

static void
on_read (void *part, const struct store_answer *answer)
{
  struct keeper *keeper = part;
  if (answer->code != ERR_NONE && answer->code != ERR_NOT_FOUND)
    {
      work_again (keeper, FIRST_RETRY_MS);
      return;
    }
  int64_t stored;
  if (!take_stored (keeper, answer, &stored))
    {
      work_again (keeper, FIRST_RETRY_MS);
      return;
    }
  propose (keeper, answer->code == ERR_NOT_FOUND ? 0 : answer->index);
}

static void
work (struct keeper *keeper)
{
  if (keeper->working || !keeper->first)
    return;
  keeper->working = true;
  keeper->desc.store->ops->get (keeper->desc.store, keeper->key, on_read,
                                keeper);
}

/* public functions */

enum err_code
keeper_create (apr_pool_t *pool, const struct keeper_desc *desc,
               struct keeper **result, struct err *err)
{
  (void)err;
  struct keeper *keeper = apr_pcalloc (pool, sizeof *keeper);
  struct counters *counters = desc->counters;
  keeper->desc = *desc;
  keeper->pool = pool;
  keeper->key = str_format (pool, "%s/config", desc->prefix.data);
  keeper->document = document_create_empty ();
  keeper->retry_ms = FIRST_RETRY_MS;
  keeper->version_gauge
      = gauge_get (counters, "citroncleat_config_version", "",
                   "Version of the configuration in force.");
  keeper->adopted_counter
      = counter_get (counters, "citroncleat_config_adopted_total", "",
                     "Configurations adopted.");
  keeper->older_counter
      = counter_get (counters, "citroncleat_config_older_total", "",
                     "Older configurations seen and not adopted.");
  keeper->repaired_counter
      = counter_get (counters, "citroncleat_store_repairs_total", "",
                     "Writes that put back what the store had lost.");
  *result = keeper;
  return ERR_NONE;
}

void
keeper_destroy (struct keeper *keeper)
{
  if (!keeper)
    return;
  timer_stop (timers (keeper), &keeper->watch_timer);
  timer_stop (timers (keeper), &keeper->work_timer);
  while (keeper->first)
    {
      struct operation *op = keeper->first;
      keeper->first = op->next;
      document_destroy (op->proposed);
      for (size_t i = 0; i < op->count; i++)
        json_object_put (op->changes[i].spec);
      apr_pool_destroy (op->pool);
    }
  document_destroy (keeper->document);
}

void
keeper_subscribe (struct keeper *keeper, adopted_fn *adopted, void *part)
{
  if (keeper->subscriber_count == SUBSCRIBERS_MAX)
    abort ();
  keeper->subscribers[keeper->subscriber_count++]
      = (struct subscriber){ adopted, part };
}

void
keeper_start (struct keeper *keeper)
{
  watch (keeper);
}

void
keeper_set_relay (struct keeper *keeper, bool is_relay)
{
  if (keeper->is_relay == is_relay)
    return;
  keeper->is_relay = is_relay;
  LOG (LOG_INFO, is_relay ? "relay-started" : "relay-stopped",
       LOG_INT ("version", keeper->document->version));
  if (is_relay)
    watch (keeper);
}

const struct document *
keeper_document (const struct keeper *keeper)
{
  return keeper->document;
}

void
keeper_offer (struct keeper *keeper, struct str text, const char *source)
{
  struct document *document = parse (text, source);
  if (document)
    adopt (keeper, document, source);
}

void
keeper_change (struct keeper *keeper, struct str id,
               const struct change *changes, size_t count, change_fn *done,
               void *part)
{
  apr_pool_t *pool;
  apr_pool_create (&pool, keeper->pool);
  struct operation *op = apr_pcalloc (pool, sizeof *op);
  op->keeper = keeper;
  op->pool = pool;
  op->id = str_dup (pool, id);
  op->changes = apr_pmemdup (pool, changes, count * sizeof *changes);
  op->count = count;
  op->done = done;
  op->part = part;
  op->answer_by = timer_clock () + TIMER_MS (ANSWER_WITHIN_MS);
  op->give_up_at = timer_clock () + TIMER_MS (GIVE_UP_AFTER_MS);
  for (size_t i = 0; i < count; i++)
    {
      op->changes[i].name = str_dup (pool, changes[i].name);
      op->changes[i].spec = json_object_get (changes[i].spec);
    }
  struct operation **last = &keeper->first;
  while (*last)
    last = &(*last)->next;
  *last = op;
  work (keeper);
}

void
keeper_forget (struct keeper *keeper, void *part)
{
  for (struct operation *op = keeper->first; op; op = op->next)
    if (op->part == part)
      op->done = NULL;
}

enum change_state
keeper_operation (const struct keeper *keeper, struct str id, int64_t *version)
{
  *version = document_operation (keeper->document, id);
  if (*version > 0)
    return CHANGE_ACCEPTED;
  for (const struct operation *op = keeper->first; op; op = op->next)
    if (str_equal (op->id, id))
      return CHANGE_PENDING;
  for (size_t i = 0; i < OUTCOMES_KEPT; i++)
    if (str_equal (str_from (keeper->outcomes[i].id), id) && id.size > 0)
      return keeper->outcomes[i].state;
  return CHANGE_UNKNOWN;
}

const char *
change_state_name (enum change_state state)
{
  return state_names[state];
}
