/* Messages between entries, and their encoding in msgpack.

   Every message is one msgpack array of integers (0 or more) and strings; its
   first item is the type.  Items that are appended to the end of an array in
   later versions are ignored by older readers.  The exception is
   MESSAGE_SHARE, whose array ends with a list of any length.

     struct str data = message_pack (&message, pool);
     if (message_unpack (data, pool, &received)) ...

   Threads: pure functions.  Decoded strings are copied to the pool.  */
#ifndef PEER_MESSAGE_H
#define PEER_MESSAGE_H

#include "base/str.h"
#include "share/share.h"

#include <stdint.h>

/* The values are sent.  */
enum message_type
{
  MESSAGE_HEARTBEAT = 1, /* state of the sender */
  MESSAGE_ACK,           /* acknowledges a heartbeat on the same connection */
  MESSAGE_FETCH,         /* requests a document newer than a version */
  MESSAGE_DOCUMENT,      /* a whole document */
  MESSAGE_SHARE          /* about loans of shares; see share/share.h */
};

/* The values are sent.  */
enum entry_state
{
  ENTRY_SERVING = 1,
  ENTRY_LEAVING, /* still serves, but look-ups no longer return it */
  ENTRY_STOPPED  /* its last state: it uses no share any more */
};

/* The versioned documents that entries exchange.  The values are sent.  */
enum document_kind
{
  DOCUMENT_CONFIG = 1,
  DOCUMENT_MEMBERSHIP,
  DOCUMENT_KINDS /* size of an array indexed by kind */
};

/* What an entry reports about itself.  */
struct heartbeat
{
  struct str name;
  struct str zone;
  struct str region;
  /* Addresses (IP:PORT) of the listeners for each kind of connection.  */
  struct str caller_address;
  struct str operator_address;
  struct str peer_address;
  int64_t incarnation; /* higher at each start of the entry's process */
  int64_t state;       /* enum entry_state */
  int64_t versions[DOCUMENT_KINDS]; /* in force there; item 0 is unused */
  int64_t confirmed; /* version of the membership; see member/membership.h */
  int64_t in_flight; /* calls in progress at upstreams */
  int64_t queued;    /* calls that wait for a slot */
};

/* One message; the members after `type' are set for the types named.  */
struct message
{
  int64_t type;               /* enum message_type */
  struct heartbeat heartbeat; /* HEARTBEAT: of the sender */
  int64_t kind;               /* FETCH, DOCUMENT: enum document_kind */
  int64_t version;     /* FETCH: the one that the sender holds; DOCUMENT: of
                          `document'; ACK: the sender's configuration */
  struct str document; /* DOCUMENT */
  struct str from;     /* SHARE: the sender's name */
  struct share_message share; /* SHARE */
};

/* Returns MESSAGE encoded, allocated in POOL.  */
struct str message_pack (const struct message *message, apr_pool_t *pool);
/* Decodes DATA into MESSAGE, with strings in POOL.  Returns false if DATA is
   malformed or of an unknown type.  */
bool message_unpack (struct str data, apr_pool_t *pool,
                     struct message *message);
/* Returns a copy of HEARTBEAT with strings in POOL.  */
struct heartbeat heartbeat_copy (apr_pool_t *pool,
                                 const struct heartbeat *heartbeat);
/* Returns "serving", "leaving" or "stopped"; "?" for any other value.  */
const char *entry_state_name (int64_t state);

#endif
