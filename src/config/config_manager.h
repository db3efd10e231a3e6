/* Holds the configuration in force on this entry, and writes operators'
   changes to the store.

   The configuration is one versioned document under the key PREFIX/config.
   A config manager holds the highest version that it has received, whatever
   the source: the store, a peer, or a change submitted on this entry.  It
   adopts a document only if its version is higher than the one held.  Relays
   watch the store; every other entry reads it until it holds a first version,
   and receives later versions from peers.  If the store returns an older
   version than the one held, because it was restored from a backup for
   example, the entry that reads it writes the held one back.

   Call order: config_manager_create, config_manager_subscribe,
   config_manager_start; then config_manager_set_relay at each new roster,
   config_manager_offer for each document that a peer sends,
   config_manager_submit_change for each change that an operator submits; and
   config_manager_destroy.

   A change is accepted once its compare-and-swap is known to have taken
   effect.  If the response to a write is lost, the document is read
   back to look for the operation's id; until the outcome is known, the
   operation is pending, never failed.  Operations run one at a time, in the
   order of submission.

   Threads: the control loop's thread only.  */
#ifndef CONFIG_CONFIG_MANAGER_H
#define CONFIG_CONFIG_MANAGER_H

#include "config/store.h"
#include "resource/document.h"

struct config_manager;

struct config_manager_desc
{
  struct loop *loop;
  struct store *store;
  struct counters *counters;
  struct str prefix; /* of the keys in the store */
};

/* The state of one operation.  */
enum change_state
{
  CHANGE_UNKNOWN, /* no operation of this id is known on this entry */
  CHANGE_PENDING, /* it is not known yet whether it takes effect */
  CHANGE_ACCEPTED,
  CHANGE_CONFLICT,   /* based on an old version; nothing was changed */
  CHANGE_INVALID,    /* failed validation; nothing was changed */
  CHANGE_UNAVAILABLE /* the store is unreachable; nothing was changed */
};

struct change_result
{
  enum change_state state;
  int64_t version;                 /* if CHANGE_ACCEPTED */
  struct change_conflict conflict; /* if CHANGE_CONFLICT */
  const struct faults *faults;     /* if CHANGE_INVALID */
};

/* RESULT is valid during the call only.  */
typedef void change_done_fn (void *user_data,
                             const struct change_result *result);
/* DOCUMENT is valid until the next adoption.  */
typedef void config_adopted_fn (void *user_data,
                                const struct document *document);

/* Creates a config manager that holds the empty document, version 0.  Always
   succeeds.  */
enum err_code config_manager_create (apr_pool_t *pool,
                                     const struct config_manager_desc *desc,
                                     struct config_manager **result,
                                     struct err *err);
/* Drops operations in progress without calling their callbacks.  */
void config_manager_destroy (struct config_manager *config_manager);
/* Calls ADOPTED after every adoption from now on.  At most 8 subscribers.  */
void config_manager_subscribe (struct config_manager *config_manager,
                               config_adopted_fn *adopted, void *user_data);
/* Reads the store, every 0.1 to 2 s, until a first version is held.  A relay
   goes on and watches it.  */
void config_manager_start (struct config_manager *config_manager);
/* Sets whether this entry is a relay, that is, watches the store on behalf of
   its zone.  */
void config_manager_set_relay (struct config_manager *config_manager,
                               bool is_relay);
/* Returns the document in force; it is valid until the next adoption.  */
const struct document *
config_manager_document (const struct config_manager *config_manager);
/* Adopts the document TEXT if its version is higher than the one held.  A
   malformed one is logged and dropped.  SOURCE names the sender in the
   log.  */
void config_manager_offer (struct config_manager *config_manager,
                           struct str text, const char *source);
/* Submits COUNT CHANGES as operation ID, and takes a reference to their specs.
   Calls DONE once: with the final result, or, if there is none at the first
   retry after 3 s, with CHANGE_UNAVAILABLE (no write can take effect, the
   operation ends) or CHANGE_PENDING (a write that was sent may still take
   effect).  A pending operation is retried for up to 10 minutes, then its
   state stays CHANGE_PENDING.  Both times count from the submission.  An
   operation that still waits behind another one after 3 s ends with
   CHANGE_UNAVAILABLE, or CHANGE_PENDING if that one has the same id.  */
void config_manager_submit_change (struct config_manager *config_manager,
                                   struct str id, const struct change *changes,
                                   size_t count, change_done_fn *done,
                                   void *user_data);
/* Cancels the callbacks of the operations that were submitted with USER_DATA;
   the operations go on.  */
void config_manager_cancel_callbacks (struct config_manager *config_manager,
                                      void *user_data);
/* Returns the state of operation ID, and sets VERSION to the version that it
   made if the document in force records it as accepted, otherwise to 0.  The
   outcomes of the last 64 operations of this entry are kept, besides those
   that the document records.  */
enum change_state
config_manager_operation_state (const struct config_manager *config_manager,
                                struct str id, int64_t *version);
/* Returns the word for STATE in operators' reports, such as "pending".  */
const char *change_state_name (enum change_state state);

#endif
