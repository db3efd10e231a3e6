/* Keeper of the configuration in force on this entry.

   The keeper holds the highest version that it has seen, whatever its
   source: the store (by a watch, if this entry is a relay), a peer, or a
   change accepted here.  A version is adopted only if it is higher than the
   one held.

   Call order: keeper_create, keeper_subscribe, keeper_start; then
   keeper_offer for text from peers and keeper_change for operators' changes.

   A change is accepted when its compare-and-swap is known to have taken
   effect.  When the answer of a write is lost, the keeper reads back and
   looks for the operation's id; until that is known the change is pending,
   never failed.

   Threads: the control loop's thread only.  */
#ifndef CONFIG_KEEPER_H
#define CONFIG_KEEPER_H

#include "config/store.h"
#include "resource/document.h"

struct keeper;

struct keeper_desc
{
  struct loop *loop;
  struct store *store;
  struct counters *counters;
  struct str prefix; /* of keys */
};

/* The state of one operation.  */
enum change_state
{
  CHANGE_UNKNOWN, /* no such operation is known here */
  CHANGE_PENDING, /* it may or may not take effect */
  CHANGE_ACCEPTED,
  CHANGE_CONFLICT,   /* based on a stale version, nothing was changed */
  CHANGE_INVALID,    /* refused by validation, nothing was changed */
  CHANGE_UNAVAILABLE /* the store is out of reach, nothing was changed */
};

struct change_result
{
  enum change_state state;
  int64_t version;                 /* if accepted */
  struct change_conflict conflict; /* if CHANGE_CONFLICT */
  const struct faults *faults;     /* if CHANGE_INVALID */
};

typedef void change_fn (void *part, const struct change_result *result);
/* DOCUMENT stays valid until the next call.  */
typedef void adopted_fn (void *part, const struct document *document);

enum err_code keeper_create (apr_pool_t *pool, const struct keeper_desc *desc,
                             struct keeper **result, struct err *err);
void keeper_destroy (struct keeper *keeper);
/* Calls ADOPTED after every adoption.  */
void keeper_subscribe (struct keeper *keeper, adopted_fn *adopted, void *part);
/* Reads the store once.  */
void keeper_start (struct keeper *keeper);
/* Sets whether this entry watches the store.  */
void keeper_set_relay (struct keeper *keeper, bool is_relay);
const struct document *keeper_document (const struct keeper *keeper);
/* Adopts TEXT if its version is higher; SOURCE names the peer.  */
void keeper_offer (struct keeper *keeper, struct str text, const char *source);
/* Applies CHANGES, whose specs are referenced, as operation ID.  DONE is
   called once; with CHANGE_PENDING the operation goes on.  */
void keeper_change (struct keeper *keeper, struct str id,
                    const struct change *changes, size_t count,
                    change_fn *done, void *part);
/* Forgets the DONE function of operations whose PART is given.  */
void keeper_forget (struct keeper *keeper, void *part);
/* Returns the state of operation ID and, if accepted, its version.  */
enum change_state keeper_operation (const struct keeper *keeper, struct str id,
                                    int64_t *version);
const char *change_state_name (enum change_state state);

#endif
