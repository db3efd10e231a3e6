/* One TCP connection to another entry, carrying sealed frames.

   Call order: peer_link_dial or peer_link_accept, then peer_link_send; each
   whole payload calls `received', and `closed' is called once when the
   connection ends for any reason but peer_link_destroy.

   Threads: the loop's thread only.  */
#ifndef PEER_LINK_H
#define PEER_LINK_H

#include "base/loop.h"
#include "peer/frame.h"

struct peer_link;

struct peer_link_desc
{
  struct loop *loop;
  const unsigned char *key;
  int64_t silent_ms; /* unacknowledged bytes end the connection after this */
  void (*opened) (void *part, struct peer_link *link);
  void (*received) (void *part, struct peer_link *link, struct str payload);
  void (*closed) (void *part, struct peer_link *link, const char *reason);
  void *part;
};

/* Starts to connect to ADDRESS (IP:PORT).  */
struct peer_link *peer_link_dial (const struct peer_link_desc *desc,
                                  struct str address);
/* Takes over the accepted socket FD.  */
struct peer_link *peer_link_accept (const struct peer_link_desc *desc, int fd);
void peer_link_destroy (struct peer_link *link);
/* Returns whether the peer's preamble has been received.  */
bool peer_link_is_open (const struct peer_link *link);
/* Queues PAYLOAD; returns false if the link is not open or its queue is
   full.  */
bool peer_link_send (struct peer_link *link, struct str payload);
/* Returns the bytes sent and received so far.  */
int64_t peer_link_bytes (const struct peer_link *link);

#endif
