#include "config/config_manager.h"

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
  struct config_manager *config_manager;
  apr_pool_t *pool;
  struct str id;
  struct change *changes;
  size_t count;
  change_done_fn *done;
  void *user_data;
  struct document *proposed_document; /* written by the request in progress */
  struct timer report_timer;  /* runs while it waits behind another one */
  apr_time_t report_deadline; /* the first retry after it calls `done' */
  apr_time_t retry_deadline;  /* the first retry after it ends the operation */
  bool is_uncertain;          /* a write was sent and may still take effect */
  int64_t uncertain_index;    /* the index on which that write depends */
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

struct config_manager
{
  struct config_manager_desc desc;
  apr_pool_t *pool;
  const char *key;
  struct document *document;
  struct subscriber subscribers[MAX_SUBSCRIBERS];
  size_t subscriber_count;
  bool is_relay;
  bool is_watching;
  int64_t watch_index;
  int64_t retry_ms; /* before the next read after a failed one */
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
  MIN_RETRY_MS = 100,    /* delay before an operation or a read is retried */
  MAX_RETRY_MS = 2000,   /* for reads the delay doubles up to this */
  CONFLICT_RETRY_MS = 5, /* plus up to as much again, at random */
  REPORT_TIMEOUT_MS = 3000,
  MAX_RETRY_TIME_MS = 600000
};

static const char *const state_names[] = {
  "unknown", "pending", "accepted", "conflict", "invalid", "unavailable"
};

/* private functions */

static struct timer_service *
timers (struct config_manager *config_manager)
{
  return loop_timers (config_manager->desc.loop);
}

/* Takes ownership of DOCUMENT: puts it in force if its version is higher than
   the one held, otherwise destroys it.  Returns whether it is in force.  */
static bool
adopt (struct config_manager *config_manager, struct document *document,
       const char *source)
{
  if (document->version <= config_manager->document->version)
    {
      if (document->version < config_manager->document->version)
        counter_add (config_manager->older_counter, 1);
      document_destroy (document);
      return false;
    }
  document_destroy (config_manager->document);
  config_manager->document = document;
  counter_set (config_manager->version_gauge, document->version);
  counter_add (config_manager->adopted_counter, 1);
  LOG (LOG_INFO, "config-adopted", LOG_INT ("version", document->version),
       LOG_TEXT ("source", source));
  for (size_t i = 0; i < config_manager->subscriber_count; i++)
    config_manager->subscribers[i].adopted (
        config_manager->subscribers[i].user_data, config_manager->document);
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
on_repaired (void *user_data, const struct store_response *response)
{
  struct config_manager *config_manager = user_data;
  if (response->code != ERR_NONE)
    return;
  counter_add (config_manager->repaired_counter, 1);
  LOG (LOG_WARN, "store-repaired",
       LOG_INT ("version", config_manager->document->version));
}

/* Writes the held document over the older one, of INDEX, in the store: the
   store has lost accepted changes.  */
static void
repair_store (struct config_manager *config_manager, int64_t index)
{
  apr_pool_t *pool;
  apr_pool_create (&pool, NULL);
  struct str text = document_serialize (config_manager->document, pool);
  config_manager->desc.store->ops->compare_and_swap (
      config_manager->desc.store, config_manager->key, index, text,
      on_repaired, config_manager);
  apr_pool_destroy (pool);
}

/* Adopts the stored document in RESPONSE, if it is newer, and sets VERSION to
   its version; 0 if the key does not exist.  Returns false if it is malformed.
 */
static bool
adopt_stored (struct config_manager *config_manager,
              const struct store_response *response, int64_t *version)
{
  *version = 0;
  if (response->code == ERR_NOT_FOUND)
    return true;
  struct document *document = parse_document (response->value, "store");
  if (!document)
    return false;
  *version = document->version;
  adopt (config_manager, document, "store");
  return true;
}

static void watch (struct config_manager *config_manager);

static void
on_watch_due (void *user_data, apr_time_t now)
{
  (void)now;
  watch (user_data);
}

static void
on_watched (void *user_data, const struct store_response *response)
{
  struct config_manager *config_manager = user_data;
  int64_t wait_ms = 0;
  config_manager->is_watching = false;
  if (response->code == ERR_NONE || response->code == ERR_NOT_FOUND)
    {
      bool changed = response->index != config_manager->watch_index;
      config_manager->watch_index = response->index;
      config_manager->retry_ms = MIN_RETRY_MS;
      int64_t stored;
      if (changed && adopt_stored (config_manager, response, &stored)
          && stored < config_manager->document->version)
        repair_store (config_manager,
                      response->code == ERR_NOT_FOUND ? 0 : response->index);
      /* A store that does not support long polls responds at once; don't poll
         it in a tight loop.  */
      wait_ms = changed ? 0 : MIN_RETRY_MS;
    }
  else
    {
      /* A store that comes back from an older copy gives indexes out again, so
         the next read is not compared with the one before.  */
      config_manager->watch_index = 0;
      wait_ms = config_manager->retry_ms;
      config_manager->retry_ms *= 2;
      if (config_manager->retry_ms > MAX_RETRY_MS)
        config_manager->retry_ms = MAX_RETRY_MS;
    }
  timer_start (timers (config_manager), &config_manager->watch_timer,
               timer_clock () + TIMER_MS (wait_ms), on_watch_due,
               config_manager);
}

static void
watch (struct config_manager *config_manager)
{
  if (config_manager->is_watching)
    return;
  /* Every entry reads the store until it holds a document; afterwards only
     relays do.  */
  if (!config_manager->is_relay && config_manager->document->version > 0)
    return;
  config_manager->is_watching = true;
  if (config_manager->is_relay && config_manager->watch_index > 0)
    config_manager->desc.store->ops->watch (
        config_manager->desc.store, config_manager->key,
        config_manager->watch_index, WATCH_WAIT_MS, on_watched,
        config_manager);
  else
    config_manager->desc.store->ops->get (config_manager->desc.store,
                                          config_manager->key, on_watched,
                                          config_manager);
}

/* Operations: read the document, apply the change, compare-and-swap, and read
   back if the response was lost.  */

static void start_operation (struct config_manager *config_manager);

static void
record_outcome (struct config_manager *config_manager,
                const struct operation *op, enum change_state state,
                int64_t version)
{
  struct outcome *outcome
      = &config_manager->outcomes[config_manager->next_outcome];
  config_manager->next_outcome
      = (config_manager->next_outcome + 1) % MAX_OUTCOMES;
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

static void
operation_destroy (struct operation *op)
{
  timer_stop (timers (op->config_manager), &op->report_timer);
  document_destroy (op->proposed_document);
  for (size_t i = 0; i < op->count; i++)
    json_object_put (op->changes[i].spec);
  apr_pool_destroy (op->pool);
}

/* Ends the operation in progress and starts the next.  */
static void
finish_operation (struct config_manager *config_manager,
                  const struct change_result *result)
{
  struct operation *op = config_manager->operations;
  config_manager->operations = op->next;
  config_manager->is_busy = false;
  record_outcome (config_manager, op, result->state, result->version);
  report_result (op, result);
  operation_destroy (op);
  timer_stop (timers (config_manager), &config_manager->retry_timer);
  if (config_manager->operations)
    start_operation (config_manager);
}

/* Ends an operation that still waits behind another one: none of its writes
   was sent.  If that other one has the same id, the change may still be
   made.  */
static void
on_report_due (void *user_data, apr_time_t now)
{
  (void)now;
  struct operation *op = user_data;
  struct config_manager *config_manager = op->config_manager;
  struct operation **at = &config_manager->operations;
  bool is_repeated = false;
  if (*at == op)
    return;
  for (; *at != op; at = &(*at)->next)
    is_repeated |= str_equal ((*at)->id, op->id);
  *at = op->next;
  if (!is_repeated)
    record_outcome (config_manager, op, CHANGE_UNAVAILABLE, 0);
  report_result (
      op, &(struct change_result){
              .state = is_repeated ? CHANGE_PENDING : CHANGE_UNAVAILABLE });
  operation_destroy (op);
}

static void
on_retry_due (void *user_data, apr_time_t now)
{
  (void)now;
  start_operation (user_data);
}

/* Schedules another attempt of the operation in progress, or ends it if it has
   no time left: without a write that may still take effect at its report
   deadline, otherwise at its retry deadline.  */
static void
retry_operation (struct config_manager *config_manager, int64_t wait_ms)
{
  struct operation *op = config_manager->operations;
  apr_time_t now = timer_clock ();
  config_manager->is_busy = false;
  if (now >= op->report_deadline && !op->is_uncertain)
    {
      finish_operation (config_manager, &(struct change_result){
                                            .state = CHANGE_UNAVAILABLE });
      return;
    }
  if (now >= op->report_deadline)
    report_result (op, &(struct change_result){ .state = CHANGE_PENDING });
  if (now >= op->retry_deadline)
    {
      finish_operation (config_manager,
                        &(struct change_result){ .state = CHANGE_PENDING });
      return;
    }
  timer_start (timers (config_manager), &config_manager->retry_timer,
               now + TIMER_MS (wait_ms), on_retry_due, config_manager);
}

static void
on_written (void *user_data, const struct store_response *response)
{
  struct config_manager *config_manager = user_data;
  struct operation *op = config_manager->operations;
  struct document *proposed_document = op->proposed_document;
  op->proposed_document = NULL;
  if (response->code == ERR_NONE)
    {
      int64_t version = proposed_document->version;
      adopt (config_manager, proposed_document, "operator");
      finish_operation (config_manager,
                        &(struct change_result){ .state = CHANGE_ACCEPTED,
                                                 .version = version });
      return;
    }
  document_destroy (proposed_document);
  if (response->code == ERR_UNKNOWN)
    {
      op->is_uncertain = true;
      retry_operation (config_manager, MIN_RETRY_MS);
    }
  else if (response->code == ERR_CONFLICT)
    /* Either another write came first, or an earlier attempt of this operation
       took effect after all: reading back shows which.  */
    retry_operation (config_manager,
                     CONFLICT_RETRY_MS + rand () % CONFLICT_RETRY_MS);
  else
    retry_operation (config_manager, MIN_RETRY_MS);
}

/* Applies the operation in progress to the held document, which was just read
   from the store at INDEX, and writes the result.  */
static void
write_change (struct config_manager *config_manager, int64_t index)
{
  struct operation *op = config_manager->operations;
  struct faults *faults = faults_create (op->pool);
  struct change_result result = { 0 };
  result.version
      = document_operation_version (config_manager->document, op->id);
  if (result.version > 0)
    {
      result.state = CHANGE_ACCEPTED;
      finish_operation (config_manager, &result);
      return;
    }
  if (op->is_uncertain && index != op->uncertain_index)
    /* The key was written since, without this operation, so the
       compare-and-swap that was sent can no longer take effect.  */
    op->is_uncertain = false;
  enum err_code code = document_apply_changes (
      config_manager->document, op->id, op->changes, op->count,
      &op->proposed_document, &result.conflict, faults);
  if (code != ERR_NONE)
    {
      result.state = code == ERR_CONFLICT ? CHANGE_CONFLICT : CHANGE_INVALID;
      result.faults = faults;
      finish_operation (config_manager, &result);
      return;
    }
  struct str text = document_serialize (op->proposed_document, op->pool);
  op->uncertain_index = index;
  config_manager->desc.store->ops->compare_and_swap (
      config_manager->desc.store, config_manager->key, index, text, on_written,
      config_manager);
}

static void
on_read (void *user_data, const struct store_response *response)
{
  struct config_manager *config_manager = user_data;
  if (response->code != ERR_NONE && response->code != ERR_NOT_FOUND)
    {
      retry_operation (config_manager, MIN_RETRY_MS);
      return;
    }
  int64_t stored;
  if (!adopt_stored (config_manager, response, &stored))
    {
      retry_operation (config_manager, MIN_RETRY_MS);
      return;
    }
  write_change (config_manager,
                response->code == ERR_NOT_FOUND ? 0 : response->index);
}

static void
start_operation (struct config_manager *config_manager)
{
  if (config_manager->is_busy || !config_manager->operations)
    return;
  config_manager->is_busy = true;
  config_manager->desc.store->ops->get (config_manager->desc.store,
                                        config_manager->key, on_read,
                                        config_manager);
}

/* public functions */

enum err_code
config_manager_create (apr_pool_t *pool,
                       const struct config_manager_desc *desc,
                       struct config_manager **result, struct err *err)
{
  (void)err;
  struct config_manager *config_manager
      = apr_pcalloc (pool, sizeof *config_manager);
  struct counters *counters = desc->counters;
  config_manager->desc = *desc;
  config_manager->pool = pool;
  config_manager->key = str_format (pool, "%s/config", desc->prefix.data);
  config_manager->document = document_create_empty ();
  config_manager->retry_ms = MIN_RETRY_MS;
  config_manager->version_gauge
      = gauge_get (counters, "citroncleat_config_version", "",
                   "Version of the configuration in force.");
  config_manager->adopted_counter
      = counter_get (counters, "citroncleat_config_adopted_total", "",
                     "Configurations adopted.");
  config_manager->older_counter
      = counter_get (counters, "citroncleat_config_older_total", "",
                     "Older configurations seen and not adopted.");
  config_manager->repaired_counter
      = counter_get (counters, "citroncleat_store_repairs_total", "",
                     "Writes that put back what the store had lost.");
  *result = config_manager;
  return ERR_NONE;
}

void
config_manager_destroy (struct config_manager *config_manager)
{
  if (!config_manager)
    return;
  timer_stop (timers (config_manager), &config_manager->watch_timer);
  timer_stop (timers (config_manager), &config_manager->retry_timer);
  while (config_manager->operations)
    {
      struct operation *op = config_manager->operations;
      config_manager->operations = op->next;
      operation_destroy (op);
    }
  document_destroy (config_manager->document);
}

void
config_manager_subscribe (struct config_manager *config_manager,
                          config_adopted_fn *adopted, void *user_data)
{
  if (config_manager->subscriber_count == MAX_SUBSCRIBERS)
    abort ();
  config_manager->subscribers[config_manager->subscriber_count++]
      = (struct subscriber){ adopted, user_data };
}

void
config_manager_start (struct config_manager *config_manager)
{
  watch (config_manager);
}

void
config_manager_set_relay (struct config_manager *config_manager, bool is_relay)
{
  if (config_manager->is_relay == is_relay)
    return;
  config_manager->is_relay = is_relay;
  LOG (LOG_INFO, is_relay ? "relay-started" : "relay-stopped",
       LOG_INT ("version", config_manager->document->version));
  if (is_relay)
    watch (config_manager);
}

const struct document *
config_manager_document (const struct config_manager *config_manager)
{
  return config_manager->document;
}

void
config_manager_offer (struct config_manager *config_manager, struct str text,
                      const char *source)
{
  struct document *document = parse_document (text, source);
  if (document)
    adopt (config_manager, document, source);
}

void
config_manager_submit_change (struct config_manager *config_manager,
                              struct str id, const struct change *changes,
                              size_t count, change_done_fn *done,
                              void *user_data)
{
  apr_pool_t *pool;
  apr_pool_create (&pool, config_manager->pool);
  struct operation *op = apr_pcalloc (pool, sizeof *op);
  op->config_manager = config_manager;
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
  struct operation **last = &config_manager->operations;
  while (*last)
    last = &(*last)->next;
  *last = op;
  timer_start (timers (config_manager), &op->report_timer, op->report_deadline,
               on_report_due, op);
  start_operation (config_manager);
}

void
config_manager_cancel_callbacks (struct config_manager *config_manager,
                                 void *user_data)
{
  for (struct operation *op = config_manager->operations; op; op = op->next)
    if (op->user_data == user_data)
      op->done = NULL;
}

enum change_state
config_manager_operation_state (const struct config_manager *config_manager,
                                struct str id, int64_t *version)
{
  *version = document_operation_version (config_manager->document, id);
  if (*version > 0)
    return CHANGE_ACCEPTED;
  for (const struct operation *op = config_manager->operations; op;
       op = op->next)
    if (str_equal (op->id, id))
      return CHANGE_PENDING;
  for (size_t i = 0; i < MAX_OUTCOMES; i++)
    if (str_equal (str_from (config_manager->outcomes[i].id), id)
        && id.size > 0)
      return config_manager->outcomes[i].state;
  return CHANGE_UNKNOWN;
}

const char *
change_state_name (enum change_state state)
{
  return state_names[state];
}
