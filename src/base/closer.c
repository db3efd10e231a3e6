#include "base/closer.h"

#include "base/log.h"
#include "base/net.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* types */

/* A socket whose sending direction is closed.  */
struct lingering
{
  struct lingering *next;
  struct lingering **previous_next;
  struct closer *closer;
  int fd;
  int64_t acknowledged_bytes;
  size_t discarded_bytes;
  bool is_acknowledged;
  apr_time_t began_at;
  apr_time_t progressed_at; /* last acknowledgement, or BEGAN_AT */
  struct sockaddr_in peer;
};

/* Why a socket is closed before all bytes were acknowledged.  */
enum reason
{
  REASON_STALLED, /* the peer acknowledges nothing */
  REASON_TIME,
  REASON_ROOM, /* closer_close_oldest */
  REASON_EXIT, /* closer_destroy */
  REASONS
};

struct closer
{
  struct closer_desc desc;
  struct lingering *first; /* the oldest */
  struct lingering **last_next;
  size_t count;
  struct timer timer;
  struct counter *unacknowledged[REASONS];
  struct counter *gauge;
  apr_time_t lines_began_at; /* of the second in which `lines' were written */
  int lines;
};

/* constants */

enum
{
  CHECK_MS = 100,
  ACKNOWLEDGED_MS = 1000, /* then the peer's system has all of the answer */
  STALL_MS = 2000,
  MAX_MS = 30000,
  MAX_DISCARDED_BYTES = 1024 * 1024,
  READ_BYTES = 16 * 1024,
  READS_PER_EVENT = 4,
  LINES_PER_S = 10
};

static const char *const reason_names[REASONS]
    = { "stalled", "time", "room", "exit" };

/* private functions */

static bool
allow_line (struct closer *closer)
{
  apr_time_t now = timer_clock ();
  if (now - closer->lines_began_at >= APR_USEC_PER_SEC)
    {
      closer->lines_began_at = now;
      closer->lines = 0;
    }
  return closer->lines++ < LINES_PER_S;
}

/* Counts and logs that LINGERING is closed for REASON before all bytes were
   acknowledged.  */
static void
report_unacknowledged (const struct lingering *lingering, enum reason reason)
{
  struct closer *closer = lingering->closer;
  char ip[INET_ADDRSTRLEN] = "?";
  char peer[INET_ADDRSTRLEN + 8];
  if (closer->desc.counters)
    counter_add (closer->unacknowledged[reason], 1);
  if (!allow_line (closer))
    return;
  inet_ntop (AF_INET, &lingering->peer.sin_addr, ip, sizeof ip);
  snprintf (peer, sizeof peer, "%s:%d", ip, ntohs (lingering->peer.sin_port));
  LOG (LOG_WARN, "answer-unacknowledged",
       LOG_TEXT ("listener", closer->desc.name), LOG_TEXT ("peer", peer),
       LOG_TEXT ("reason", reason_names[reason]),
       LOG_INT ("bytes", net_unacknowledged_bytes (lingering->fd)),
       LOG_INT ("unread", net_unread_bytes (lingering->fd)),
       LOG_INT ("discarded", (int64_t)lingering->discarded_bytes),
       LOG_INT ("after_ms", (timer_clock () - lingering->began_at) / 1000));
}

static void
set_gauge (const struct closer *closer)
{
  if (closer->desc.counters)
    counter_set (closer->gauge, (int64_t)closer->count);
}

/* Closes the socket of LINGERING and frees it.  */
static void
end (struct lingering *lingering)
{
  struct closer *closer = lingering->closer;
  loop_unwatch (closer->desc.loop, lingering->fd);
  /* The owner of another descriptor must notice the end.  */
  shutdown (lingering->fd, SHUT_RDWR);
  close (lingering->fd);
  *lingering->previous_next = lingering->next;
  if (lingering->next)
    lingering->next->previous_next = lingering->previous_next;
  else
    closer->last_next = lingering->previous_next;
  closer->count--;
  set_gauge (closer);
  free (lingering);
}

static void
end_early (struct lingering *lingering, enum reason reason)
{
  if (!lingering->is_acknowledged)
    report_unacknowledged (lingering, reason);
  end (lingering);
}

/* Reads and discards what has arrived.  */
static void
on_ready (void *user_data, int fd, int events)
{
  (void)events;
  struct lingering *lingering = user_data;
  char buffer[READ_BYTES];
  for (int i = 0; i < READS_PER_EVENT; i++)
    {
      ssize_t n = recv (fd, buffer, sizeof buffer, 0);
      if (n < 0 && (errno == EAGAIN || errno == EINTR))
        return;
      if (n <= 0)
        {
          end (lingering);
          return;
        }
      lingering->discarded_bytes += (size_t)n;
      if (lingering->discarded_bytes >= MAX_DISCARDED_BYTES)
        {
          loop_unwatch (lingering->closer->desc.loop, fd);
          return;
        }
    }
}

/* Ends LINGERING if it is due.  */
static void
check (struct lingering *lingering, apr_time_t now)
{
  struct net_tcp_state state = net_tcp_state (lingering->fd);
  if (state.acknowledged_bytes != lingering->acknowledged_bytes
      || state.end_is_acknowledged != lingering->is_acknowledged)
    lingering->progressed_at = now;
  lingering->acknowledged_bytes = state.acknowledged_bytes;
  lingering->is_acknowledged = state.end_is_acknowledged;
  apr_time_t idle = now - lingering->progressed_at;
  if (state.is_closed
      || (state.peer_has_closed && net_unread_bytes (lingering->fd) == 0))
    end (lingering);
  else if (lingering->is_acknowledged && idle >= TIMER_MS (ACKNOWLEDGED_MS))
    end (lingering);
  else if (idle >= TIMER_MS (STALL_MS))
    end_early (lingering, REASON_STALLED);
  else if (now - lingering->began_at >= TIMER_MS (MAX_MS))
    end_early (lingering, REASON_TIME);
}

static void
on_check (void *user_data, apr_time_t now)
{
  struct closer *closer = user_data;
  struct lingering *next;
  for (struct lingering *lingering = closer->first; lingering;
       lingering = next)
    {
      next = lingering->next;
      check (lingering, now);
    }
  if (closer->first)
    timer_start (loop_timers (closer->desc.loop), &closer->timer,
                 now + TIMER_MS (CHECK_MS), on_check, closer);
}

/* Returns whether a close of FD could drop bytes that the peer has not
   acknowledged: it may send more, or bytes from it are unread.  */
static bool
is_needed (int fd)
{
  struct net_tcp_state state = net_tcp_state (fd);
  return !state.is_closed
         && (!state.peer_has_closed || net_unread_bytes (fd) > 0);
}

/* Returns another descriptor of the socket FD, or -1.  */
static int
duplicate (struct closer *closer, int fd)
{
  int result = fcntl (fd, F_DUPFD_CLOEXEC, 0);
  if (result >= 0 || !closer->first)
    return result;
  closer_close_oldest (closer);
  return fcntl (fd, F_DUPFD_CLOEXEC, 0);
}

/* public functions */

struct closer *
closer_create (apr_pool_t *pool, const struct closer_desc *desc)
{
  struct closer *closer = apr_pcalloc (pool, sizeof *closer);
  closer->desc = *desc;
  closer->last_next = &closer->first;
  if (!desc->counters)
    return closer;
  for (int i = 0; i < REASONS; i++)
    closer->unacknowledged[i] = counter_get (
        desc->counters, "citroncleat_unacknowledged_closes_total",
        str_format (pool, "listener=\"%s\",reason=\"%s\"", desc->name,
                    reason_names[i]),
        "Connections closed before the peer had acknowledged all bytes.");
  closer->gauge = gauge_get (
      desc->counters, "citroncleat_lingering",
      str_format (pool, "listener=\"%s\"", desc->name),
      "Connections closed for sending, whose peer has not closed yet.");
  return closer;
}

void
closer_destroy (struct closer *closer)
{
  if (!closer)
    return;
  struct lingering *next;
  for (struct lingering *lingering = closer->first; lingering;
       lingering = next)
    {
      next = lingering->next;
      end_early (lingering, REASON_EXIT);
    }
  timer_stop (loop_timers (closer->desc.loop), &closer->timer);
}

bool
closer_linger (struct closer *closer, int fd)
{
  shutdown (fd, SHUT_WR);
  if (!is_needed (fd))
    return true;
  int own = duplicate (closer, fd);
  if (own < 0)
    return false;
  struct lingering *lingering = calloc (1, sizeof *lingering);
  if (!lingering)
    abort ();
  socklen_t size = sizeof lingering->peer;
  lingering->closer = closer;
  lingering->fd = own;
  lingering->began_at = timer_clock ();
  lingering->progressed_at = lingering->began_at;
  getpeername (own, (struct sockaddr *)&lingering->peer, &size);
  lingering->previous_next = closer->last_next;
  *closer->last_next = lingering;
  closer->last_next = &lingering->next;
  if (closer->count++ == 0)
    timer_start (loop_timers (closer->desc.loop), &closer->timer,
                 lingering->began_at + TIMER_MS (CHECK_MS), on_check, closer);
  set_gauge (closer);
  loop_watch (closer->desc.loop, own, LOOP_READ, on_ready, lingering);
  return true;
}

void
closer_close_oldest (struct closer *closer)
{
  if (closer->first)
    end_early (closer->first, REASON_ROOM);
}

size_t
closer_count (const struct closer *closer)
{
  return closer->count;
}
