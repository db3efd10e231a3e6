/* Lingering close of TCP connections.

   If a socket is closed while bytes from its peer are unread, or if more
   arrive after the close, the kernel resets the connection and drops what it
   has not delivered yet.  Closing the sending direction first and reading on
   avoids that (RFC 9112, 9.6).

   Call order: closer_create; before close (fd):

     closer_linger (closer, fd);

   It sends the end of the connection, then reads and discards what the peer
   sends, with a descriptor of its own, and closes that at the first of these:

   - the peer has closed its direction, or reset the connection;
   - 1 s has passed since the peer acknowledged all bytes;
   - the peer has acknowledged nothing for 2 s;
   - 30 s have passed;
   - closer_close_oldest is called, or closer_destroy.

   Of each connection up to 1 MiB is discarded; the rest stays unread, so that
   flow control stops the peer.

   A socket that is closed before all bytes were acknowledged is counted in
   citroncleat_unacknowledged_closes_total by the reason (`stalled', `time',
   `room', `exit'), and logged (`answer-unacknowledged').  The kernel still
   delivers the rest unless bytes from the peer are unread or it sends more.
   citroncleat_lingering is the number of sockets.

   Threads: the loop's thread only.  */
#ifndef BASE_CLOSER_H
#define BASE_CLOSER_H

#include "base/counter.h"
#include "base/loop.h"

struct closer;

struct closer_desc
{
  struct loop *loop;
  const char *name;          /* in log lines and metrics */
  struct counters *counters; /* NULL: nothing is counted */
};

struct closer *closer_create (apr_pool_t *pool,
                              const struct closer_desc *desc);
/* Closes all sockets.  NULL is ignored.  */
void closer_destroy (struct closer *closer);
/* Closes the sending direction of FD, a non-blocking socket, and keeps the
   connection until its end, at which both directions are closed, also for
   other descriptors of it.  The caller closes FD before or after that.
   Returns false, with one direction closed, if there is no descriptor left.
   Does no more than close that direction if nothing can be lost.  */
bool closer_linger (struct closer *closer, int fd);
/* Closes the socket that has lingered longest, if there is one.  */
void closer_close_oldest (struct closer *closer);
/* Returns the number of sockets that are not closed yet.  */
size_t closer_count (const struct closer *closer);

#endif
