#include "base/net.h"

#include <arpa/inet.h>
#include <ctype.h>
#include <errno.h>
#include <linux/sockios.h>
#include <linux/tcp.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/ioctl.h>
#include <unistd.h>

/* constants */

/* States of TCP, in tcpi_state; <netinet/tcp.h> has them, but not all fields
   of struct tcp_info.  */
enum
{
  STATE_FIN_WAIT2 = 5,
  STATE_TIME_WAIT = 6,
  STATE_CLOSE = 7,
  STATE_CLOSE_WAIT = 8,
  STATE_LAST_ACK = 9,
  STATE_CLOSING = 11
};

/* public functions */

bool
net_split_address (struct str text, struct str *host, int *port)
{
  char buffer[64];
  if (text.size < 3 || text.size >= sizeof buffer
      || memchr (text.data, 0, text.size))
    return false;
  memcpy (buffer, text.data, text.size);
  buffer[text.size] = 0;
  char *colon = strrchr (buffer, ':');
  if (!colon || !isdigit ((unsigned char)colon[1]))
    return false;
  char *end;
  long number = strtol (colon + 1, &end, 10);
  if (*end || number < 1 || number > 65535)
    return false;
  size_t first = 0;
  size_t last = (size_t)(colon - buffer);
  unsigned char raw[16];
  int family = AF_INET;
  if (buffer[0] == '[' && last > 1 && buffer[last - 1] == ']')
    {
      first = 1;
      last--;
      family = AF_INET6;
    }
  buffer[last] = 0;
  if (inet_pton (family, buffer + first, raw) != 1)
    return false;
  *host = str_view (text.data + first, last - first);
  *port = (int)number;
  return true;
}

socklen_t
net_parse_address (struct str address, struct sockaddr_storage *storage)
{
  struct str host;
  int port;
  char ip[64];
  memset (storage, 0, sizeof *storage);
  if (!net_split_address (address, &host, &port))
    return 0;
  snprintf (ip, sizeof ip, "%.*s", STR_ARGS (host));
  struct sockaddr_in *v4 = (struct sockaddr_in *)storage;
  if (inet_pton (AF_INET, ip, &v4->sin_addr) == 1)
    {
      v4->sin_family = AF_INET;
      v4->sin_port = htons ((uint16_t)port);
      return sizeof *v4;
    }
  struct sockaddr_in6 *v6 = (struct sockaddr_in6 *)storage;
  inet_pton (AF_INET6, ip, &v6->sin6_addr);
  v6->sin6_family = AF_INET6;
  v6->sin6_port = htons ((uint16_t)port);
  return sizeof *v6;
}

enum err_code
net_listen (struct str address, int backlog, int *fd, struct err *err)
{
  char text[64];
  struct sockaddr_storage storage;
  int on = 1;
  snprintf (text, sizeof text, "%.*s", STR_ARGS (address));
  socklen_t size = net_parse_address (address, &storage);
  if (size == 0)
    return err_set (err, ERR_INVALID, "listen", text,
                    "not an address IP:PORT");
  int sock = socket (storage.ss_family,
                     SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (sock < 0)
    goto fail;
  setsockopt (sock, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (bind (sock, (struct sockaddr *)&storage, size) != 0
      || listen (sock, backlog) != 0)
    goto fail;
  *fd = sock;
  return ERR_NONE;
fail:
  err_set (err, ERR_IO, "listen", text, "%s", strerror (errno));
  if (sock >= 0)
    close (sock);
  return ERR_IO;
}

struct net_tcp_state
net_tcp_state (int fd)
{
  struct tcp_info info;
  socklen_t size = sizeof info;
  memset (&info, 0, sizeof info);
  getsockopt (fd, IPPROTO_TCP, TCP_INFO, &info, &size);
  int state = info.tcpi_state;
  return (struct net_tcp_state){
    .is_closed = state == STATE_CLOSE,
    .peer_has_closed = state == STATE_CLOSE || state == STATE_CLOSE_WAIT
                       || state == STATE_LAST_ACK || state == STATE_CLOSING
                       || state == STATE_TIME_WAIT,
    .end_is_acknowledged
    = state == STATE_FIN_WAIT2 || state == STATE_TIME_WAIT,
    .acknowledged_bytes = (int64_t)info.tcpi_bytes_acked,
    .received_bytes = (int64_t)info.tcpi_bytes_received
  };
}

int
net_unread_bytes (int fd)
{
  int bytes = 0;
  ioctl (fd, FIONREAD, &bytes);
  return bytes;
}

int
net_unacknowledged_bytes (int fd)
{
  int bytes = 0;
  ioctl (fd, SIOCOUTQ, &bytes);
  return bytes;
}
