/* One TCP connection to another entry, which carries encrypted frames.

     struct peer_connection *connection
         = peer_connection_dial (&desc, address);
     ...                                            in `opened' or later:
     peer_connection_send (connection, payload);

   `opened' is called once the peer's preamble was received, `received' for
   each payload, and `closed' once when the connection ends for any reason but
   peer_connection_destroy; the owner must then destroy it.  `closed' is called
   from a timer, so no function below destroys its connection before it
   returns.  The owner must not destroy a connection in its `opened' or
   `received'.

   Threads: the loop's thread only.  */
#ifndef PEER_PEER_CONNECTION_H
#define PEER_PEER_CONNECTION_H

#include "base/loop.h"
#include "peer/frame.h"

struct peer_connection;

struct peer_connection_desc
{
  struct loop *loop;
  const unsigned char *key; /* shared by all entries: FRAME_KEY_BYTES */
  /* The connection ends if sent bytes are unacknowledged for longer
     (TCP_USER_TIMEOUT).  */
  int64_t ack_timeout_ms;
  void (*opened) (void *user_data, struct peer_connection *connection);
  void (*received) (void *user_data, struct peer_connection *connection,
                    struct str payload); /* valid during the call */
  void (*closed) (void *user_data, struct peer_connection *connection,
                  const char *reason);
  void *user_data;
};

/* Starts to connect to ADDRESS (IP:PORT).  Never returns NULL: failures are
   reported by `closed'.  */
struct peer_connection *
peer_connection_dial (const struct peer_connection_desc *desc,
                      struct str address);
/* Takes ownership of the accepted non-blocking socket FD.  */
struct peer_connection *
peer_connection_accept (const struct peer_connection_desc *desc, int fd);
/* Closes the connection without a call of `closed'; bytes that are still
   queued are dropped.  NULL is allowed.  */
void peer_connection_destroy (struct peer_connection *connection);
/* Returns whether the peer's preamble was received and the connection has not
   ended.  */
bool peer_connection_is_open (const struct peer_connection *connection);
/* Encrypts and queues PAYLOAD.  Returns false and sends nothing if the
   connection is not open, PAYLOAD is larger than FRAME_PAYLOAD_MAX_BYTES, or
   more than 32 MiB would be queued.  */
bool peer_connection_send (struct peer_connection *connection,
                           struct str payload);
/* Returns the number of bytes sent and received so far.  */
int64_t peer_connection_bytes (const struct peer_connection *connection);

#endif
