#include "peer/peer_connection.h"

#include "base/net.h"

#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* types */

/* Bytes that grow at the end and are consumed from the start.  */
struct buffer
{
  unsigned char *data;
  size_t size;
  size_t capacity;
};

struct peer_connection
{
  struct peer_connection_desc desc;
  int fd;
  bool is_dialer;
  bool is_connecting;
  bool is_open;
  bool is_closing;
  unsigned char preamble[FRAME_PREAMBLE_BYTES];
  struct frame_cipher cipher;
  struct buffer in;
  struct buffer out;
  int64_t byte_count;
  struct timer close_timer;
  char reason[64];
};

/* constants */

enum
{
  READ_BYTES = 64 * 1024,
  QUEUE_MAX_BYTES = 32 * 1024 * 1024 /* sealed frames that wait to be sent */
};

/* private functions */

/* Returns the end of BUFFER, with capacity for SIZE more bytes there.  */
static unsigned char *
reserve (struct buffer *buffer, size_t size)
{
  if (buffer->size + size > buffer->capacity)
    {
      size_t capacity = buffer->capacity ? buffer->capacity : 1024;
      while (capacity < buffer->size + size)
        capacity *= 2;
      buffer->data = realloc (buffer->data, capacity);
      if (!buffer->data)
        abort ();
      buffer->capacity = capacity;
    }
  return buffer->data + buffer->size;
}

static void
consume (struct buffer *buffer, size_t size)
{
  buffer->size -= size;
  memmove (buffer->data, buffer->data + size, buffer->size);
}

static void
report_closed (void *user_data, apr_time_t now)
{
  (void)now;
  struct peer_connection *connection = user_data;
  connection->desc.closed (connection->desc.user_data, connection,
                           connection->reason);
}

/* Closes the socket now, but reports it from a timer, so that the owner does
   not destroy the connection while one of its functions runs.  */
static void
close_connection (struct peer_connection *connection, const char *reason)
{
  if (connection->is_closing)
    return;
  connection->is_closing = true;
  connection->is_open = false;
  snprintf (connection->reason, sizeof connection->reason, "%s", reason);
  if (connection->fd >= 0)
    {
      loop_unwatch (connection->desc.loop, connection->fd);
      close (connection->fd);
      connection->fd = -1;
    }
  timer_start (loop_timers (connection->desc.loop), &connection->close_timer,
               timer_clock (), report_closed, connection);
}

static void on_ready (void *user_data, int fd, int events);

static void
watch (struct peer_connection *connection)
{
  int events = LOOP_READ;
  if (connection->is_connecting || connection->out.size > 0)
    events |= LOOP_WRITE;
  loop_watch (connection->desc.loop, connection->fd, events, on_ready,
              connection);
}

static void
write_socket (struct peer_connection *connection)
{
  while (connection->out.size > 0)
    {
      ssize_t n = send (connection->fd, connection->out.data,
                        connection->out.size, MSG_NOSIGNAL);
      if (n < 0 && errno == EINTR)
        continue;
      if (n < 0 && errno == EAGAIN)
        break;
      if (n <= 0)
        {
          close_connection (connection, strerror (errno));
          return;
        }
      connection->byte_count += n;
      consume (&connection->out, (size_t)n);
    }
  watch (connection);
}

/* Returns whether the connection is open now.  */
static bool
receive_preamble (struct peer_connection *connection)
{
  if (connection->in.size < FRAME_PREAMBLE_BYTES)
    return false;
  if (!frame_cipher_start (&connection->cipher, connection->desc.key,
                           connection->preamble, connection->in.data,
                           connection->is_dialer))
    {
      close_connection (connection, "invalid preamble");
      return false;
    }
  consume (&connection->in, FRAME_PREAMBLE_BYTES);
  connection->is_open = true;
  connection->desc.opened (connection->desc.user_data, connection);
  return !connection->is_closing;
}

static void
receive_frames (struct peer_connection *connection)
{
  size_t at = 0;
  while (!connection->is_closing)
    {
      struct str payload;
      size_t used = 0;
      enum frame_status status
          = frame_open (&connection->cipher, connection->in.data + at,
                        connection->in.size - at, &payload, &used);
      if (status == FRAME_PARTIAL)
        break;
      if (status == FRAME_BAD)
        {
          close_connection (connection, "frame is malformed or not authentic");
          return;
        }
      at += used;
      connection->desc.received (connection->desc.user_data, connection,
                                 payload);
    }
  if (!connection->is_closing)
    consume (&connection->in, at);
}

static void
read_socket (struct peer_connection *connection)
{
  for (;;)
    {
      unsigned char *end = reserve (&connection->in, READ_BYTES);
      ssize_t n = recv (connection->fd, end, READ_BYTES, 0);
      if (n < 0 && errno == EINTR)
        continue;
      if (n < 0 && errno == EAGAIN)
        return;
      if (n <= 0)
        {
          close_connection (connection,
                            n == 0 ? "closed by peer" : strerror (errno));
          return;
        }
      connection->byte_count += n;
      connection->in.size += (size_t)n;
      if (!connection->is_open && !receive_preamble (connection))
        return;
      receive_frames (connection);
      if (connection->is_closing || n < READ_BYTES)
        return;
    }
}

static void
finish_connect (struct peer_connection *connection)
{
  int error = 0;
  socklen_t size = sizeof error;
  getsockopt (connection->fd, SOL_SOCKET, SO_ERROR, &error, &size);
  if (error)
    {
      close_connection (connection, strerror (error));
      return;
    }
  connection->is_connecting = false;
}

static void
on_ready (void *user_data, int fd, int events)
{
  (void)fd;
  struct peer_connection *connection = user_data;
  if (connection->is_connecting)
    finish_connect (connection);
  if (!connection->is_closing && (events & LOOP_READ))
    read_socket (connection);
  if (!connection->is_closing)
    write_socket (connection);
}

static struct peer_connection *
create (const struct peer_connection_desc *desc, int fd, bool is_dialer)
{
  struct peer_connection *connection = calloc (1, sizeof *connection);
  if (!connection)
    abort ();
  connection->desc = *desc;
  connection->fd = fd;
  connection->is_dialer = is_dialer;
  frame_preamble_make (connection->preamble);
  memcpy (reserve (&connection->out, FRAME_PREAMBLE_BYTES),
          connection->preamble, FRAME_PREAMBLE_BYTES);
  connection->out.size = FRAME_PREAMBLE_BYTES;
  if (fd >= 0)
    {
      int on = 1;
      unsigned int timeout_ms = (unsigned int)desc->ack_timeout_ms;
      setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      setsockopt (fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout_ms,
                  sizeof timeout_ms);
    }
  return connection;
}

/* public functions */

struct peer_connection *
peer_connection_dial (const struct peer_connection_desc *desc,
                      struct str address)
{
  struct sockaddr_storage storage;
  socklen_t size = net_parse_address (address, &storage);
  int fd = size > 0 ? socket (storage.ss_family,
                              SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)
                    : -1;
  struct peer_connection *connection = create (desc, fd, true);
  if (fd < 0)
    {
      close_connection (connection, "address is not IP:PORT, or no socket");
      return connection;
    }
  connection->is_connecting = true;
  if (connect (fd, (struct sockaddr *)&storage, size) == 0)
    connection->is_connecting = false;
  else if (errno != EINPROGRESS)
    {
      close_connection (connection, strerror (errno));
      return connection;
    }
  watch (connection);
  return connection;
}

struct peer_connection *
peer_connection_accept (const struct peer_connection_desc *desc, int fd)
{
  struct peer_connection *connection = create (desc, fd, false);
  write_socket (connection);
  return connection;
}

void
peer_connection_destroy (struct peer_connection *connection)
{
  if (!connection)
    return;
  timer_stop (loop_timers (connection->desc.loop), &connection->close_timer);
  if (connection->fd >= 0)
    {
      loop_unwatch (connection->desc.loop, connection->fd);
      close (connection->fd);
    }
  free (connection->in.data);
  free (connection->out.data);
  free (connection);
}

bool
peer_connection_is_open (const struct peer_connection *connection)
{
  return connection->is_open;
}

bool
peer_connection_send (struct peer_connection *connection, struct str payload)
{
  size_t size = frame_size (payload.size);
  if (!connection->is_open || payload.size > FRAME_PAYLOAD_MAX_BYTES
      || connection->out.size + size > QUEUE_MAX_BYTES)
    return false;
  frame_seal (&connection->cipher, payload, reserve (&connection->out, size));
  connection->out.size += size;
  write_socket (connection);
  return true;
}

int64_t
peer_connection_bytes (const struct peer_connection *connection)
{
  return connection->byte_count;
}
