#include "config/keeper.h"

#include "base/log.h"

#include <apr_strings.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* types */

struct subscriber
{
  config_adopted_fn *adopted;
  void *user_data;
};

/* A submitted change that is not yet known to be written.  */
struct operation
{
  struct operation *next;
  struct keeper *keeper;
  apr_pool_t *pool;
  struct str id;
  struct change *changes;
  size_t count;
  change_done_fn *done;
  void *user_data;
  struct document *proposed_document; /* written by the request in progress */
  apr_time_t report_deadline;         /* when `done' is called at the latest */
  apr_time_t retry_deadline;          /* when the operation is given up */
  bool is_uncertain;       /* a write was sent and may still take effect */
  int64_t uncertain_index; /* the index on which that write depends */
};

/* The final state of an operation, kept for later queries.  */
struct outcome
{
  char id[64];
  enum change_state state;
  int64_t version;
};

enum
{
  MAX_SUBSCRIBERS = 8,
  MAX_OUTCOMES = 64
};

struct keeper
{
  struct keeper_desc desc;
  apr_pool_t *pool;
  const char *key;
  struct document *document;
  struct subscriber subscribers[MAX_SUBSCRIBERS];
  size_t subscriber_count;
  bool is_relay;
  bool is_watching;
  int64_t watch_index;
  int64_t retry_ms;
  struct timer watch_timer;
  struct timer retry_timer;
  struct operation *operations; /* a queue; the first is in progress */
  bool is_busy;                 /* a request of the first is in progress */
  struct outcome outcomes[MAX_OUTCOMES]; /* a ring buffer */
  size_t next_outcome;
  struct counter *version_gauge;
  struct counter *adopted_counter;
  struct counter *older_counter;
  struct counter *repaired_counter;
};

/* constants */

enum
{
  WATCH_WAIT_MS = 30000, /* of one long poll */
  MIN_RETRY_MS = 100,
  MAX_RETRY_MS = 2000,
  CONFLICT_RETRY_MS = 5, /* plus up to as much again, at random */
  REPORT_TIMEOUT_MS = 3000,
  MAX_RETRY_TIME_MS = 600000
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

/* Takes ownership of DOCUMENT: puts it in force if its version is higher than
   the one held, otherwise destroys it.  Returns whether it is in force.  */
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
    keeper->subscribers[i].adopted (keeper->subscribers[i].user_data,
                                    keeper->document);
  return true;
}

static struct document *
parse_document (struct str text, const char *source)
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
on_repaired (void *user_data, const struct store_answer *response)
{
  struct keeper *keeper = user_data;
  if (response->code != ERR_NONE)
    return;
  counter_add (keeper->repaired_counter, 1);
  LOG (LOG_WARN, "store-repaired",
       LOG_INT ("version", keeper->document->version));
}

/* Writes the held document over an older one in the store: the store has lost
   accepted changes.  */
static void
repair_store (struct keeper *keeper, int64_t index)
{
  apr_pool_t *pool;
  apr_pool_create (&pool, NULL);
  struct str text = document_text (keeper->document, pool);
  keeper->desc.store->ops->compare_and_swap (keeper->desc.store, keeper->key,
                                             index, text, on_repaired, keeper);
  apr_pool_destroy (pool);
}

/* Adopts the stored document in ANSWER, if it is newer, and sets VERSION to
   its version; 0 if the key does not exist.  Returns false if it is malformed.
 */
static bool
adopt_stored (struct keeper *keeper, const struct store_answer *response,
              int64_t *version)
{
  *version = 0;
  if (response->code == ERR_NOT_FOUND)
    return true;
  struct document *document = parse_document (response->value, "store");
  if (!document)
    return false;
  *version = document->version;
  adopt (keeper, document, "store");
  return true;
}

static void watch (struct keeper *keeper);

static void
on_watch_due (void *user_data, apr_time_t now)
{
  (void)now;
  watch (user_data);
}

static void
on_watched (void *user_data, const struct store_answer *response)
{
  struct keeper *keeper = user_data;
  int64_t wait_ms = 0;
  keeper->is_watching = false;
  if (response->code == ERR_NONE || response->code == ERR_NOT_FOUND)
    {
      bool changed = response->index != keeper->watch_index;
      keeper->watch_index = response->index;
      keeper->retry_ms = MIN_RETRY_MS;
      int64_t stored;
      if (changed && adopt_stored (keeper, response, &stored)
          && stored < keeper->document->version)
        repair_store (keeper,
                      response->code == ERR_NOT_FOUND ? 0 : response->index);
      /* A store that does not support long polls answers at once; don't poll
         it in a tight loop.  */
      wait_ms = changed ? 0 : MIN_RETRY_MS;
    }
  else
    {
      wait_ms = keeper->retry_ms;
      keeper->retry_ms *= 2;
      if (keeper->retry_ms > MAX_RETRY_MS)
        keeper->retry_ms = MAX_RETRY_MS;
    }
  timer_start (timers (keeper), &keeper->watch_timer,
               timer_clock () + TIMER_MS (wait_ms), on_watch_due, keeper);
}

static void
watch (struct keeper *keeper)
{
  if (keeper->is_watching)
    return;
  /* Every entry reads the store until it holds a document; afterwards only
     relays do.  */
  if (!keeper->is_relay && keeper->document->version > 0)
    return;
  keeper->is_watching = true;
  if (keeper->is_relay && keeper->watch_index > 0)
    keeper->desc.store->ops->watch (keeper->desc.store, keeper->key,
                                    keeper->watch_index, WATCH_WAIT_MS,
                                    on_watched, keeper);
  else
    keeper->desc.store->ops->get (keeper->desc.store, keeper->key, on_watched,
                                  keeper);
}

/* Operations: read the document, apply the change, compare-and-swap, and read
   back if the response was lost.  */

static void start_operation (struct keeper *keeper);

static void
record_outcome (struct keeper *keeper, const struct operation *op,
                enum change_state state, int64_t version)
{
  struct outcome *outcome = &keeper->outcomes[keeper->next_outcome];
  keeper->next_outcome = (keeper->next_outcome + 1) % MAX_OUTCOMES;
  snprintf (outcome->id, sizeof outcome->id, "%.*s", STR_ARGS (op->id));
  outcome->state = state;
  outcome->version = version;
}

static void
report_result (struct operation *op, const struct change_result *result)
{
  change_done_fn *done = op->done;
  op->done = NULL;
  if (done)
    done (op->user_data, result);
}

/* Ends the operation in progress and starts the next.  */
static void
finish_operation (struct keeper *keeper, const struct change_result *result)
{
  struct operation *op = keeper->operations;
  keeper->operations = op->next;
  keeper->is_busy = false;
  record_outcome (keeper, op, result->state, result->version);
  report_result (op, result);
  document_destroy (op->proposed_document);
  for (size_t i = 0; i < op->count; i++)
    json_object_put (op->changes[i].spec);
  apr_pool_destroy (op->pool);
  timer_stop (timers (keeper), &keeper->retry_timer);
  if (keeper->operations)
    start_operation (keeper);
}

static void
on_retry_due (void *user_data, apr_time_t now)
{
  (void)now;
  start_operation (user_data);
}

/* Schedules another attempt of the operation in progress, or ends it if it has
   no time left.  */
static void
retry_operation (struct keeper *keeper, int64_t wait_ms)
{
  struct operation *op = keeper->operations;
  apr_time_t now = timer_clock ();
  keeper->is_busy = false;
  if (now >= op->report_deadline && !op->is_uncertain)
    {
      finish_operation (
          keeper, &(struct change_result){ .state = CHANGE_UNAVAILABLE });
      return;
    }
  if (now >= op->report_deadline)
    report_result (op, &(struct change_result){ .state = CHANGE_PENDING });
  if (now >= op->retry_deadline)
    {
      finish_operation (keeper,
                        &(struct change_result){ .state = CHANGE_PENDING });
      return;
    }
  timer_start (timers (keeper), &keeper->retry_timer, now + TIMER_MS (wait_ms),
               on_retry_due, keeper);
}

static void
on_written (void *user_data, const struct store_answer *response)
{
  struct keeper *keeper = user_data;
  struct operation *op = keeper->operations;
  struct document *proposed_document = op->proposed_document;
  op->proposed_document = NULL;
  if (response->code == ERR_NONE)
    {
      int64_t version = proposed_document->version;
      adopt (keeper, proposed_document, "operator");
      finish_operation (keeper,
                        &(struct change_result){ .state = CHANGE_ACCEPTED,
                                                 .version = version });
      return;
    }
  document_destroy (proposed_document);
  if (response->code == ERR_UNKNOWN)
    {
      op->is_uncertain = true;
      retry_operation (keeper, MIN_RETRY_MS);
    }
  else if (response->code == ERR_CONFLICT)
    /* Either another write came first, or an earlier attempt of this operation
       took effect after all: reading back shows which.  */
    retry_operation (keeper, CONFLICT_RETRY_MS + rand () % CONFLICT_RETRY_MS);
  else
    retry_operation (keeper, MIN_RETRY_MS);
}

/* Applies the operation in progress to the held document, which was just read
   from the store at INDEX, and writes the result.  */
static void
write_change (struct keeper *keeper, int64_t index)
{
  struct operation *op = keeper->operations;
  struct faults *faults = faults_create (op->pool);
  struct change_result result = { 0 };
  result.version = document_operation (keeper->document, op->id);
  if (result.version > 0)
    {
      result.state = CHANGE_ACCEPTED;
      finish_operation (keeper, &result);
      return;
    }
  if (op->is_uncertain && index != op->uncertain_index)
    /* The key was written since, without this operation, so the
       compare-and-swap that was sent can no longer take effect.  */
    op->is_uncertain = false;
  enum err_code code
      = document_change (keeper->document, op->id, op->changes, op->count,
                         &op->proposed_document, &result.conflict, faults);
  if (code != ERR_NONE)
    {
      result.state = code == ERR_CONFLICT ? CHANGE_CONFLICT : CHANGE_INVALID;
      result.faults = faults;
      finish_operation (keeper, &result);
      return;
    }
  struct str text = document_text (op->proposed_document, op->pool);
  op->uncertain_index = index;
  keeper->desc.store->ops->compare_and_swap (keeper->desc.store, keeper->key,
                                             index, text, on_written, keeper);
}

static void
on_read (void *user_data, const struct store_answer *response)
{
  struct keeper *keeper = user_data;
  if (response->code != ERR_NONE && response->code != ERR_NOT_FOUND)
    {
      retry_operation (keeper, MIN_RETRY_MS);
      return;
    }
  int64_t stored;
  if (!adopt_stored (keeper, response, &stored))
    {
      retry_operation (keeper, MIN_RETRY_MS);
      return;
    }
  write_change (keeper, response->code == ERR_NOT_FOUND ? 0 : response->index);
}

static void
start_operation (struct keeper *keeper)
{
  if (keeper->is_busy || !keeper->operations)
    return;
  keeper->is_busy = true;
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
  keeper->retry_ms = MIN_RETRY_MS;
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
  timer_stop (timers (keeper), &keeper->retry_timer);
  while (keeper->operations)
    {
      struct operation *op = keeper->operations;
      keeper->operations = op->next;
      document_destroy (op->proposed_document);
      for (size_t i = 0; i < op->count; i++)
        json_object_put (op->changes[i].spec);
      apr_pool_destroy (op->pool);
    }
  document_destroy (keeper->document);
}

void
keeper_subscribe (struct keeper *keeper, config_adopted_fn *adopted,
                  void *user_data)
{
  if (keeper->subscriber_count == MAX_SUBSCRIBERS)
    abort ();
  keeper->subscribers[keeper->subscriber_count++]
      = (struct subscriber){ adopted, user_data };
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
  struct document *document = parse_document (text, source);
  if (document)
    adopt (keeper, document, source);
}

void
keeper_change (struct keeper *keeper, struct str id,
               const struct change *changes, size_t count,
               change_done_fn *done, void *user_data)
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
  op->user_data = user_data;
  op->report_deadline = timer_clock () + TIMER_MS (REPORT_TIMEOUT_MS);
  op->retry_deadline = timer_clock () + TIMER_MS (MAX_RETRY_TIME_MS);
  for (size_t i = 0; i < count; i++)
    {
      op->changes[i].name = str_dup (pool, changes[i].name);
      op->changes[i].spec = json_object_get (changes[i].spec);
    }
  struct operation **last = &keeper->operations;
  while (*last)
    last = &(*last)->next;
  *last = op;
  start_operation (keeper);
}

void
keeper_forget (struct keeper *keeper, void *user_data)
{
  for (struct operation *op = keeper->operations; op; op = op->next)
    if (op->user_data == user_data)
      op->done = NULL;
}

enum change_state
keeper_operation (const struct keeper *keeper, struct str id, int64_t *version)
{
  *version = document_operation (keeper->document, id);
  if (*version > 0)
    return CHANGE_ACCEPTED;
  for (const struct operation *op = keeper->operations; op; op = op->next)
    if (str_equal (op->id, id))
      return CHANGE_PENDING;
  for (size_t i = 0; i < MAX_OUTCOMES; i++)
    if (str_equal (str_from (keeper->outcomes[i].id), id) && id.size > 0)
      return keeper->outcomes[i].state;
  return CHANGE_UNKNOWN;
}

const char *
change_state_name (enum change_state state)
{
  return state_names[state];
}
