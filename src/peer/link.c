#include "peer/link.h"

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

struct buffer
{
  unsigned char *data;
  size_t size;
  size_t room;
};

struct peer_link
{
  struct peer_link_desc desc;
  int fd;
  bool is_dialer;
  bool connecting;
  bool open;
  bool closing;
  unsigned char preamble[FRAME_PREAMBLE_BYTES];
  struct frame_cipher cipher;
  struct buffer in;
  struct buffer out;
  int64_t bytes;
  struct timer close_timer;
  char reason[64];
};

/* constants */

enum
{
  READ_BYTES = 64 * 1024,
  QUEUE_MAX_BYTES = 32 * 1024 * 1024
};

/* private functions */

static unsigned char *
reserve (struct buffer *buffer, size_t size)
{
  if (buffer->size + size > buffer->room)
    {
      size_t room = buffer->room ? buffer->room : 1024;
      while (room < buffer->size + size)
        room *= 2;
      buffer->data = realloc (buffer->data, room);
      if (!buffer->data)
        abort ();
      buffer->room = room;
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
on_close_due (void *part, apr_time_t now)
{
  (void)now;
  struct peer_link *link = part;
  link->desc.closed (link->desc.part, link, link->reason);
}

/* Reports the end from a timer, so that no caller of a link function sees
   its link destroyed under it.  */
static void
close_link (struct peer_link *link, const char *reason)
{
  if (link->closing)
    return;
  link->closing = true;
  link->open = false;
  snprintf (link->reason, sizeof link->reason, "%s", reason);
  if (link->fd >= 0)
    {
      loop_unwatch (link->desc.loop, link->fd);
      close (link->fd);
      link->fd = -1;
    }
  timer_start (loop_timers (link->desc.loop), &link->close_timer,
               timer_clock (), on_close_due, link);
}

static void on_ready (void *part, int fd, int events);

static void
watch (struct peer_link *link)
{
  int events = LOOP_READ;
  if (link->connecting || link->out.size > 0)
    events |= LOOP_WRITE;
  loop_watch (link->desc.loop, link->fd, events, on_ready, link);
}

static void
flush (struct peer_link *link)
{
  while (link->out.size > 0)
    {
      ssize_t n
          = send (link->fd, link->out.data, link->out.size, MSG_NOSIGNAL);
      if (n < 0 && errno == EINTR)
        continue;
      if (n < 0 && errno == EAGAIN)
        break;
      if (n <= 0)
        {
          close_link (link, strerror (errno));
          return;
        }
      link->bytes += n;
      consume (&link->out, (size_t)n);
    }
  watch (link);
}

static bool
take_preamble (struct peer_link *link)
{
  if (link->in.size < FRAME_PREAMBLE_BYTES)
    return false;
  if (!frame_cipher_start (&link->cipher, link->desc.key, link->preamble,
                           link->in.data, link->is_dialer))
    {
      close_link (link, "not a peer");
      return false;
    }
  consume (&link->in, FRAME_PREAMBLE_BYTES);
  link->open = true;
  link->desc.opened (link->desc.part, link);
  return !link->closing;
}

static void
take_frames (struct peer_link *link)
{
  size_t at = 0;
  while (!link->closing)
    {
      struct str payload;
      size_t used = 0;
      enum frame_status status
          = frame_open (&link->cipher, link->in.data + at, link->in.size - at,
                        &payload, &used);
      if (status == FRAME_PARTIAL)
        break;
      if (status == FRAME_BAD)
        {
          close_link (link, "bad frame");
          return;
        }
      at += used;
      link->desc.received (link->desc.part, link, payload);
    }
  if (!link->closing)
    consume (&link->in, at);
}

static void
receive (struct peer_link *link)
{
  for (;;)
    {
      unsigned char *end = reserve (&link->in, READ_BYTES);
      ssize_t n = recv (link->fd, end, READ_BYTES, 0);
      if (n < 0 && errno == EINTR)
        continue;
      if (n < 0 && errno == EAGAIN)
        return;
      if (n <= 0)
        {
          close_link (link, n == 0 ? "closed by peer" : strerror (errno));
          return;
        }
      link->bytes += n;
      link->in.size += (size_t)n;
      if (!link->open && !take_preamble (link))
        return;
      take_frames (link);
      if (link->closing || n < READ_BYTES)
        return;
    }
}

static void
finish_connect (struct peer_link *link)
{
  int error = 0;
  socklen_t size = sizeof error;
  getsockopt (link->fd, SOL_SOCKET, SO_ERROR, &error, &size);
  if (error)
    {
      close_link (link, strerror (error));
      return;
    }
  link->connecting = false;
}

static void
on_ready (void *part, int fd, int events)
{
  (void)fd;
  struct peer_link *link = part;
  if (link->connecting)
    finish_connect (link);
  if (!link->closing && (events & LOOP_READ))
    receive (link);
  if (!link->closing)
    flush (link);
}

static struct peer_link *
create (const struct peer_link_desc *desc, int fd, bool is_dialer)
{
  struct peer_link *link = calloc (1, sizeof *link);
  if (!link)
    abort ();
  link->desc = *desc;
  link->fd = fd;
  link->is_dialer = is_dialer;
  frame_preamble_make (link->preamble);
  memcpy (reserve (&link->out, FRAME_PREAMBLE_BYTES), link->preamble,
          FRAME_PREAMBLE_BYTES);
  link->out.size = FRAME_PREAMBLE_BYTES;
  if (fd >= 0)
    {
      int on = 1;
      unsigned int silent_ms = (unsigned int)desc->silent_ms;
      setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      setsockopt (fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &silent_ms,
                  sizeof silent_ms);
    }
  return link;
}

/* public functions */

struct peer_link *
peer_link_dial (const struct peer_link_desc *desc, struct str address)
{
  struct sockaddr_storage storage;
  socklen_t size = net_parse_address (address, &storage);
  int fd = size > 0 ? socket (storage.ss_family,
                              SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)
                    : -1;
  struct peer_link *link = create (desc, fd, true);
  if (fd < 0)
    {
      close_link (link, "bad address");
      return link;
    }
  link->connecting = true;
  if (connect (fd, (struct sockaddr *)&storage, size) == 0)
    link->connecting = false;
  else if (errno != EINPROGRESS)
    {
      close_link (link, strerror (errno));
      return link;
    }
  watch (link);
  return link;
}

struct peer_link *
peer_link_accept (const struct peer_link_desc *desc, int fd)
{
  struct peer_link *link = create (desc, fd, false);
  flush (link);
  return link;
}

void
peer_link_destroy (struct peer_link *link)
{
  if (!link)
    return;
  timer_stop (loop_timers (link->desc.loop), &link->close_timer);
  if (link->fd >= 0)
    {
      loop_unwatch (link->desc.loop, link->fd);
      close (link->fd);
    }
  free (link->in.data);
  free (link->out.data);
  free (link);
}

bool
peer_link_is_open (const struct peer_link *link)
{
  return link->open;
}

bool
peer_link_send (struct peer_link *link, struct str payload)
{
  size_t size = frame_size (payload.size);
  if (!link->open || payload.size > FRAME_PAYLOAD_MAX_BYTES
      || link->out.size + size > QUEUE_MAX_BYTES)
    return false;
  frame_seal (&link->cipher, payload, reserve (&link->out, size));
  link->out.size += size;
  flush (link);
  return true;
}

int64_t
peer_link_bytes (const struct peer_link *link)
{
  return link->bytes;
}
