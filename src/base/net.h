/* IP addresses with ports, and listening sockets.  Host names are not
   resolved.

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

#endif
