/* IP addresses with ports, listening sockets, and the state of connections.
   Host names are not resolved.

   Threads: no shared state.  */
#ifndef BASE_NET_H
#define BASE_NET_H

#include "base/err.h"
#include "base/str.h"

#include <sys/socket.h>

/* Splits IPV4:PORT or [IPV6]:PORT.  HOST becomes a view into TEXT, without
   the brackets.  Returns whether TEXT is valid.  */
bool net_split_address (struct str text, struct str *host, int *port);
/* Converts ADDRESS to a socket address in STORAGE.  Returns its size, or 0
   for an invalid address.  */
socklen_t net_parse_address (struct str address,
                             struct sockaddr_storage *storage);
/* Opens a non-blocking TCP socket that listens on ADDRESS; BACKLOG as in
   listen(2).  */
enum err_code net_listen (struct str address, int backlog, int *fd,
                          struct err *err);

/* What the kernel knows of a TCP connection.  */
struct net_tcp_state
{
  bool is_closed;           /* both directions, or reset */
  bool peer_has_closed;     /* its direction at least */
  bool end_is_acknowledged; /* this side has closed its direction, and the peer
                               acknowledged that and all bytes before */
  int64_t acknowledged_bytes;
  int64_t received_bytes;
};

/* Returns the state of the connection of FD; all zero if it isn't known.  */
struct net_tcp_state net_tcp_state (int fd);
/* Returns how many bytes have arrived at FD and were not read; 0 if that is
   not known.  */
int net_unread_bytes (int fd);
/* Returns how many bytes that were written to FD the peer has not
   acknowledged; the end of the connection counts as one.  0 if that is not
   known.  */
int net_unacknowledged_bytes (int fd);

#endif
