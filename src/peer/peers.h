/* The other entries: connections, heartbeats and the exchange of documents.

   Every entry dials every other whose address it knows (from settings, the
   platform's list, or a heartbeat_timer) and sends its heartbeat_timer there;
   the other acknowledges on the same connection.  A heartbeat_timer carries
   the versions of the configuration and the membership in force; whoever hears
   of a higher one fetches it.

   Call order: peers_create, peers_start; peers_learn for each address that
   the platform names; peers_announce after any change worth telling at once.

   Threads: the control loop's thread only.  */
#ifndef PEER_PEERS_H
#define PEER_PEERS_H

#include "base/counter.h"
#include "base/loop.h"
#include "peer/roster.h"

struct peers;

/* What the exchange of one kind of document needs from its owner.  */
struct peers_document
{
  int64_t (*version) (void *user_data);
  struct str (*text) (void *user_data, apr_pool_t *pool);
  void (*offer) (void *user_data, struct str text, const char *source);
};

struct peers_desc
{
  struct loop *loop;
  struct counters *counters;
  struct beat self; /* identity and addresses */
  const unsigned char *key;
  struct str_list seeds;
  int64_t heartbeat_ms;
  int64_t silent_ms;
  struct peers_document documents[DOCUMENT_KINDS]; /* by kind */
  /* Fills in `confirmed', `in_flight' and `queued'.  */
  void (*load) (void *user_data, struct beat *beat);
  void (*changed) (void *user_data, struct roster *roster); /* borrowed */
  void (*share) (void *user_data, struct str from,
                 const struct share_message *message);
  void *part; /* passed to all of the above */
};

enum err_code peers_create (apr_pool_t *pool, const struct peers_desc *desc,
                            struct peers **result, struct err *err);
enum err_code peers_start (struct peers *peers, struct err *err);
void peers_destroy (struct peers *peers);
/* Dials ADDRESS from now on.  */
void peers_learn (struct peers *peers, struct str address);
/* Sets the state told in heartbeats and tells it at once.  */
void peers_set_state (struct peers *peers, enum entry_state state);
/* Sends MESSAGE to the entry TO, if it is connected.  */
void peers_send_share (struct peers *peers, struct str to,
                       const struct share_message *message);
/* Sends a heartbeat_timer now.  */
void peers_announce (struct peers *peers);
const struct roster *peers_roster (const struct peers *peers);

#endif
