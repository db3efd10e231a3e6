/* One TCP connection to another entry, carrying ciphertext_size frames.

   Call order: peer_connection_dial or peer_connection_accept, then
   peer_connection_send; each whole payload calls `received', and `closed' is
   called once when the connection ends for any reason but
   peer_connection_destroy.

   Threads: the loop's thread only.  */
#ifndef PEER_LINK_H
#define PEER_LINK_H

#include "base/loop.h"
#include "peer/frame.h"

struct peer_connection;

struct peer_connection_desc
{
  struct loop *loop;
  const unsigned char *key;
  int64_t silent_ms; /* unacknowledged bytes end the connection after this */
  void (*opened) (void *user_data, struct peer_connection *connection);
  void (*received) (void *user_data, struct peer_connection *connection,
                    struct str payload);
  void (*closed) (void *user_data, struct peer_connection *connection,
                  const char *reason);
  void *user_data;
};

/* Starts to connect to ADDRESS (IP:PORT).  */
struct peer_connection *
peer_connection_dial (const struct peer_connection_desc *desc,
                      struct str address);
/* Takes over the accepted socket FD.  */
struct peer_connection *
peer_connection_accept (const struct peer_connection_desc *desc, int fd);
void peer_connection_destroy (struct peer_connection *connection);
/* Returns whether the peer's preamble has been received.  */
bool peer_connection_is_open (const struct peer_connection *connection);
/* Queues PAYLOAD; returns false if the connection is not open or its queue is
   full.  */
bool peer_connection_send (struct peer_connection *connection,
                           struct str payload);
/* Returns the bytes sent and received so far.  */
int64_t peer_connection_bytes (const struct peer_connection *connection);

#endif
