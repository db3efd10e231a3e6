/* Communication with the other entries: connections, heartbeats, the exchange
   of documents, and messages about shares.

   Every entry dials every other entry whose address it knows (from its
   settings, the platform's list of VMs, the membership, or a heartbeat), and
   sends its heartbeat over that connection; the other entry acknowledges it on
   the same connection.  So two entries are joined by two connections, one
   dialled by each.  A heartbeat carries the versions of the configuration and
   of the membership in force; an entry that receives a higher version than its
   own requests the document from the sender.

   An entry whose heartbeats are missing for `silent_ms' is no longer alive in
   the roster; after 60 s it is removed from it.  An address that is not a seed
   is forgotten if for 60 s it has neither answered nor been added again.

   Call order: peers_create, peers_start; then peers_add_address for each
   address that becomes known, peers_send_heartbeats after a change that the
   other entries should know before the next heartbeat; and peers_destroy.

   Threads: the control loop's thread only, callbacks included.  */
#ifndef PEER_PEERS_H
#define PEER_PEERS_H

#include "base/counter.h"
#include "base/loop.h"
#include "peer/roster.h"

struct peers;

/* How one kind of document is read and updated.  */
struct peers_document
{
  /* Returns the version in force here.  */
  int64_t (*version) (void *user_data);
  /* Returns the encoded document, allocated in POOL.  */
  struct str (*text) (void *user_data, apr_pool_t *pool);
  /* Called with a document that SOURCE has sent; it may be malformed, or not
     newer than the one in force.  */
  void (*offer) (void *user_data, struct str text, const char *source);
};

struct peers_desc
{
  struct loop *loop;
  struct counters *counters;
  struct heartbeat self;    /* identity and addresses of this entry */
  const unsigned char *key; /* shared by all entries: FRAME_KEY_BYTES */
  struct str_list seeds;    /* addresses that are never forgotten */
  int64_t heartbeat_ms;     /* interval between heartbeats */
  int64_t silent_ms;        /* an entry silent for longer is not alive */
  struct peers_document documents[DOCUMENT_KINDS]; /* by kind */
  /* Fills in `confirmed', `in_flight' and `queued' of a heartbeat.  */
  void (*fill_load) (void *user_data, struct heartbeat *heartbeat);
  /* Called with every new roster; take a reference to keep it.  */
  void (*roster_changed) (void *user_data, struct roster *roster);
  /* Called with every message about shares; FROM is the sender's name.  */
  void (*share_received) (void *user_data, struct str from,
                          const struct share_message *message);
  void *user_data; /* passed to all of the above */
};

/* Creates the module for one entry; it does not listen or dial yet.  Always
   succeeds.  */
enum err_code peers_create (apr_pool_t *pool, const struct peers_desc *desc,
                            struct peers **result, struct err *err);
/* Listens on the address of this entry, dials the seeds, makes the first
   roster and starts to send heartbeats: one as soon as a connection is open,
   then every `heartbeat_ms'.  Fails if the address cannot be bound.  */
enum err_code peers_start (struct peers *peers, struct err *err);
/* Closes all connections and the listener, and releases the roster.  NULL is
   allowed.  */
void peers_destroy (struct peers *peers);
/* Adds ADDRESS (IP:PORT) to those that are dialled.  Adding an address again
   keeps it from being forgotten; this entry's own and "" are ignored.  */
void peers_add_address (struct peers *peers, struct str address);
/* Sets the state of this entry, makes a new roster and sends the state in
   heartbeats at once.  */
void peers_set_state (struct peers *peers, enum entry_state state);
/* Sends MESSAGE to the entry TO over the connection that this entry dialled;
   drops it if there is none.  */
void peers_send_share (struct peers *peers, struct str to,
                       const struct share_message *message);
/* Sends a heartbeat over every open connection that this entry dialled.  */
void peers_send_heartbeats (struct peers *peers);
/* Returns the current roster; it is valid until the next change.  NULL before
   peers_start.  */
const struct roster *peers_roster (const struct peers *peers);

#endif
