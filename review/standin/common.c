#include "common.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <time.h>
#include <unistd.h>

enum
{
  MAX_LINE_BYTES = 512,
  BACKLOG = 512
};

static int record_fd = -1;
static char record_who[MAX_ID_BYTES];

static bool
parse_address (const char *address, struct sockaddr_in *out)
{
  char host[MAX_ID_BYTES];
  const char *colon = strrchr (address, ':');
  if (!colon || (size_t)(colon - address) >= sizeof host)
    return false;
  memcpy (host, address, (size_t)(colon - address));
  host[colon - address] = 0;
  memset (out, 0, sizeof *out);
  out->sin_family = AF_INET;
  out->sin_port = htons ((unsigned short)atoi (colon + 1));
  return inet_pton (AF_INET, host, &out->sin_addr) == 1;
}

/* Reads more bytes into STREAM; returns false at the end of the input.  */
static bool
fill (struct stream *stream)
{
  if (stream->size == sizeof stream->data)
    return false;
  ssize_t n;
  do
    n = recv (stream->fd, stream->data + stream->size,
              sizeof stream->data - stream->size, 0);
  while (n < 0 && errno == EINTR);
  if (n <= 0)
    return false;
  stream->size += (size_t)n;
  return true;
}

static void
consume (struct stream *stream, size_t size)
{
  stream->size -= size;
  memmove (stream->data, stream->data + size, stream->size);
}

/* Reads one line, with its end, to OUT; returns false at the end of the
   input.  */
static bool
read_line (struct stream *stream, char *out, size_t size)
{
  char *end;
  while (!(end = memchr (stream->data, '\n', stream->size)))
    if (!fill (stream))
      return false;
  size_t length = (size_t)(end - stream->data) + 1;
  if (length >= size)
    return false;
  memcpy (out, stream->data, length);
  out[length] = 0;
  consume (stream, length);
  return true;
}

static bool
skip_chunks (struct stream *stream)
{
  char line[MAX_LINE_BYTES];
  for (;;)
    {
      if (!read_line (stream, line, sizeof line))
        return false;
      size_t size = strtoul (line, NULL, 16);
      if (size == 0)
        break;
      if (!skip_bytes (stream, size + 2))
        return false;
    }
  while (read_line (stream, line, sizeof line))
    if (line[0] == '\r' || line[0] == '\n')
      return true;
  return false;
}

void
record_open (const char *path, const char *who)
{
  snprintf (record_who, sizeof record_who, "%s", who);
  record_fd = open (path, O_WRONLY | O_APPEND | O_CREAT, 0644);
}

void
record_line (const char *format, ...)
{
  char line[MAX_LINE_BYTES];
  va_list args;
  size_t n = (size_t)snprintf (line, sizeof line, "%lld %s ", now_ms (),
                               record_who);
  va_start (args, format);
  n += (size_t)vsnprintf (line + n, sizeof line - n - 1, format, args);
  va_end (args);
  if (n > sizeof line - 2)
    n = sizeof line - 2;
  line[n++] = '\n';
  if (record_fd >= 0 && write (record_fd, line, n) < 0)
    perror ("record");
}

int
listen_at (const char *address)
{
  struct sockaddr_in name;
  int on = 1;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (!parse_address (address, &name)
      || bind (fd, (struct sockaddr *)&name, sizeof name) != 0
      || listen (fd, BACKLOG) != 0)
    {
      perror (address);
      exit (2);
    }
  return fd;
}

int
connect_to (const char *address, long wait_ms)
{
  struct sockaddr_in name;
  int on = 1;
  struct timeval limit = { wait_ms / 1000, wait_ms % 1000 * 1000 };
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (!parse_address (address, &name)
      || connect (fd, (struct sockaddr *)&name, sizeof name) != 0)
    {
      close (fd);
      return -1;
    }
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  setsockopt (fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
  return fd;
}

bool
send_all (int fd, const void *data, size_t size)
{
  const char *at = data;
  while (size > 0)
    {
      ssize_t n = send (fd, at, size, MSG_NOSIGNAL);
      if (n < 0 && errno == EINTR)
        continue;
      if (n <= 0)
        return false;
      at += n;
      size -= (size_t)n;
    }
  return true;
}

size_t
read_head (struct stream *stream, char *out)
{
  char *end;
  while (!(end = memmem (stream->data, stream->size, "\r\n\r\n", 4)))
    if (!fill (stream))
      return 0;
  size_t size = (size_t)(end - stream->data) + 4;
  if (size >= MAX_HEAD_BYTES)
    return 0;
  memcpy (out, stream->data, size);
  out[size] = 0;
  consume (stream, size);
  return size;
}

bool
skip_bytes (struct stream *stream, size_t size)
{
  while (size > 0)
    {
      if (stream->size == 0 && !fill (stream))
        return false;
      size_t n = size < stream->size ? size : stream->size;
      consume (stream, n);
      size -= n;
    }
  return true;
}

bool
skip_body (struct stream *stream, const char *head, bool until_close)
{
  char length[MAX_ID_BYTES];
  char encoding[MAX_ID_BYTES];
  read_field (head, "Content-Length", length, sizeof length);
  read_field (head, "Transfer-Encoding", encoding, sizeof encoding);
  if (strcasecmp (encoding, "chunked") == 0)
    return skip_chunks (stream);
  if (length[0])
    return skip_bytes (stream, strtoul (length, NULL, 10));
  while (until_close && (stream->size > 0 || fill (stream)))
    consume (stream, stream->size);
  return true;
}

void
read_field (const char *head, const char *name, char *out, size_t size)
{
  size_t length = strlen (name);
  out[0] = 0;
  for (const char *line = strchr (head, '\n'); line;
       line = strchr (line + 1, '\n'))
    if (strncasecmp (line + 1, name, length) == 0 && line[1 + length] == ':')
      {
        const char *value = line + 2 + length;
        while (*value == ' ')
          value++;
        snprintf (out, size, "%.*s", (int)strcspn (value, "\r\n"), value);
        return;
      }
}

long long
now_ms (void)
{
  struct timespec ts;
  clock_gettime (CLOCK_MONOTONIC, &ts);
  return (long long)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}

void
sleep_ms (long ms)
{
  struct timespec ts = { ms / 1000, ms % 1000 * 1000000 };
  while (ms > 0 && nanosleep (&ts, &ts) != 0 && errno == EINTR)
    ;
}
