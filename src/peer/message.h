/* Messages between entries, and their msgpack form.

   Every message is a msgpack array of integers and strings whose
   first item is its type.  Later items of an array that a reader does not know
   are ignored, so that items can be added at the end.

   Threads: pure functions; decoded strings are views into the input.  */
#ifndef PEER_MESSAGE_H
#define PEER_MESSAGE_H

#include "base/str.h"
#include "share/share.h"

#include <stdint.h>

enum message_type
{
  MESSAGE_BEAT = 1, /* heartbeat_timer of the sender */
  MESSAGE_ACK,      /* answers a heartbeat_timer on the same connection */
  MESSAGE_FETCH,    /* asks for a document above a version */
  MESSAGE_DOCUMENT, /* a whole document */
  MESSAGE_SHARE     /* about loans of shares */
};

enum entry_state
{
  ENTRY_SERVING = 1,
  ENTRY_LEAVING, /* serves on, but takes no user_data in look-up answers */
  ENTRY_STOPPED  /* said last: it uses nothing any more */
};

/* What entries hand on to each other, in versions.  */
enum document_kind
{
  DOCUMENT_CONFIG = 1,
  DOCUMENT_MEMBERSHIP,
  DOCUMENT_KINDS
};

/* What an entry tells about itself.  */
struct beat
{
  struct str name;
  struct str zone;
  struct str region;
  struct str callers; /* listeners' addresses */
  struct str operators;
  struct str peers;
  int64_t incarnation;              /* grows at each start of the process */
  int64_t state;                    /* enum entry_state */
  int64_t versions[DOCUMENT_KINDS]; /* in force here; the first is 0 */
  int64_t confirmed; /* membership version; see known_entry/membership.h */
  int64_t in_flight; /* calls at upstreams */
  int64_t queued;    /* calls waiting for a slot */
};

struct message
{
  int64_t type; /* enum message_type */
  struct beat beat;
  int64_t kind;        /* FETCH, DOCUMENT: enum document_kind */
  int64_t version;     /* FETCH: held; DOCUMENT, ACK: the sender's; an ACK
                          tells the configuration's */
  struct str document; /* DOCUMENT */
  struct str from;     /* SHARE: the sender */
  struct share_message share;
};

/* Encodes MESSAGE into POOL.  */
struct str message_pack (const struct message *message, apr_pool_t *pool);
/* Decodes DATA; the result's strings point into memory of POOL.  */
bool message_unpack (struct str data, apr_pool_t *pool,
                     struct message *message);
/* Copies BEAT and its strings into POOL.  */
struct beat heartbeat_copy (apr_pool_t *pool, const struct beat *beat);
const char *entry_state_name (int64_t state);

#endif
