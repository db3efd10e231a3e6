/* Addresses and sockets by IP number.

   Threads: pure functions.  */
#ifndef BASE_NET_H
#define BASE_NET_H

#include "base/err.h"
#include "base/str.h"

#include <sys/socket.h>

/* Splits IPV4:PORT or [IPV6]:PORT; HOST comes without brackets.  */
bool net_split_address (struct str text, struct str *host, int *port);
/* Fills STORAGE from ADDRESS; returns its size, or 0 for a bad address.  */
socklen_t net_parse_address (struct str address,
                             struct sockaddr_storage *storage);
/* Opens a non-blocking listening socket.  */
enum err_code net_listen (struct str address, int backlog, int *fd,
                          struct err *err);

#endif
