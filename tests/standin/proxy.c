/* A TCP proxy that injects network faults.

     standin proxy --listen IP:PORT --pairs LISTEN=TARGET,...

   Connections to each address LISTEN are forwarded to TARGET.
   PUT /_mode?pair=LISTEN&mode=M on the address of --listen sets the mode of a
   pair, or of all pairs without `pair':
     normal  forwards data in both directions
     delay   forwards each block of data after 150 ms
     reset   resets the open connections and each new one
     silent  forwards nothing
     there   forwards to the target only
     back    forwards to the caller only
   Data that wasn't forwarded stays in the sockets' buffers and is forwarded
   when the mode allows it again, as after a network partition.  */
#include "base/net.h"
#include "tests/standin/standin.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

enum
{
  MAX_PAIRS = 512,
  BACKLOG = 256,
  BUFFER_BYTES = 64 * 1024,
  DELAY_MS = 150,
  RECHECK_MS = 20 /* while a direction is not forwarded */
};

enum mode
{
  MODE_NORMAL,
  MODE_DELAY,
  MODE_RESET,
  MODE_SILENT,
  MODE_TO_TARGET_ONLY,
  MODE_TO_CALLER_ONLY,
  MODE_COUNT
};

static const char *const mode_names[MODE_COUNT]
    = { "normal", "delay", "reset", "silent", "there", "back" };

struct pair
{
  struct sockaddr_storage target;
  socklen_t target_size;
  char listen[64];
  int fd;
  enum mode mode;
  struct proxy_connection *connections; /* open ones */
};

/* One direction of a connection.  */
struct flow
{
  char data[BUFFER_BYTES];
  size_t size;
  size_t position;
  apr_time_t send_at; /* not before */
  bool ended;
};

struct proxy_connection
{
  struct pair *pair;
  struct proxy_connection *next;
  int fds[2];           /* the caller's, the target's */
  struct flow flows[2]; /* from fds[i] */
  struct timer timer;
};

static struct
{
  struct loop *loop;
  struct pair pairs[MAX_PAIRS];
  size_t pair_count;
} proxy;

static void update (struct proxy_connection *connection);

static void
close_connection (struct proxy_connection *connection, bool is_reset)
{
  struct linger linger = { .l_onoff = 1, .l_linger = 0 };
  struct proxy_connection **at = &connection->pair->connections;
  while (*at != connection)
    at = &(*at)->next;
  *at = connection->next;
  timer_stop (loop_timers (proxy.loop), &connection->timer);
  for (int i = 0; i < 2; i++)
    {
      loop_unwatch (proxy.loop, connection->fds[i]);
      if (is_reset)
        setsockopt (connection->fds[i], SOL_SOCKET, SO_LINGER, &linger,
                    sizeof linger);
      close (connection->fds[i]);
    }
  free (connection);
}

static bool
is_forwarding (const struct proxy_connection *connection, int source)
{
  enum mode mode = connection->pair->mode;
  return mode != MODE_SILENT
         && mode != (source == 0 ? MODE_TO_CALLER_ONLY : MODE_TO_TARGET_ONLY);
}

/* Reads from SOURCE and writes to the other end as far as possible; returns
   false when the connection has ended or failed.  */
static bool
forward (struct proxy_connection *connection, int source, apr_time_t now)
{
  struct flow *flow = &connection->flows[source];
  if (flow->size == 0 && !flow->ended)
    {
      ssize_t size
          = recv (connection->fds[source], flow->data, BUFFER_BYTES, 0);
      if (size < 0 && errno != EAGAIN && errno != EINTR && errno != ENOTCONN)
        return false;
      flow->ended = size == 0;
      flow->size = size > 0 ? (size_t)size : 0;
      flow->position = 0;
      flow->send_at
          = now
            + (connection->pair->mode == MODE_DELAY ? TIMER_MS (DELAY_MS) : 0);
    }
  while (flow->size > 0 && flow->send_at <= now)
    {
      ssize_t size
          = send (connection->fds[1 - source], flow->data + flow->position,
                  flow->size, MSG_NOSIGNAL);
      if (size < 0)
        return errno == EAGAIN || errno == EINTR || errno == ENOTCONN;
      flow->position += (size_t)size;
      flow->size -= (size_t)size;
    }
  return !(flow->ended && flow->size == 0);
}

static void
on_ready (void *user_data, int fd, int events)
{
  (void)fd;
  (void)events;
  update (user_data);
}

static void
on_timer (void *user_data, apr_time_t now)
{
  (void)now;
  update (user_data);
}

static void
update (struct proxy_connection *connection)
{
  apr_time_t now = timer_clock ();
  apr_time_t update_at = 0;
  int events[2] = { 0, 0 };
  for (int source = 0; source < 2; source++)
    {
      struct flow *flow = &connection->flows[source];
      if (!is_forwarding (connection, source))
        {
          update_at = now + TIMER_MS (RECHECK_MS);
          continue;
        }
      if (!forward (connection, source, now))
        {
          close_connection (connection, !flow->ended);
          return;
        }
      if (flow->size == 0)
        events[source] |= LOOP_READ;
      else if (flow->send_at > now)
        update_at = flow->send_at;
      else
        events[1 - source] |= LOOP_WRITE;
    }
  for (int i = 0; i < 2; i++)
    {
      loop_unwatch (proxy.loop, connection->fds[i]);
      if (events[i] != 0)
        loop_watch (proxy.loop, connection->fds[i], events[i], on_ready,
                    connection);
    }
  timer_stop (loop_timers (proxy.loop), &connection->timer);
  if (update_at != 0)
    timer_start (loop_timers (proxy.loop), &connection->timer, update_at,
                 on_timer, connection);
}

static void
on_accept (void *user_data, int fd, int events)
{
  struct pair *pair = user_data;
  (void)events;
  struct proxy_connection *connection = calloc (1, sizeof *connection);
  connection->pair = pair;
  connection->fds[0] = accept4 (fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
  connection->fds[1] = socket (pair->target.ss_family,
                               SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (connection->fds[0] < 0 || connection->fds[1] < 0)
    abort ();
  connection->next = pair->connections;
  pair->connections = connection;
  if ((connect (connection->fds[1], (struct sockaddr *)&pair->target,
                pair->target_size)
           != 0
       && errno != EINPROGRESS)
      || pair->mode == MODE_RESET)
    close_connection (connection, true);
  else
    loop_watch (proxy.loop, connection->fds[1], LOOP_WRITE, on_ready,
                connection);
}

static void
set_mode (struct pair *pair, enum mode mode)
{
  pair->mode = mode;
  for (struct proxy_connection *connection = pair->connections, *next;
       connection; connection = next)
    {
      next = connection->next;
      if (mode == MODE_RESET)
        close_connection (connection, true);
      else
        update (connection);
    }
}

static enum MHD_Result
on_request (void *user_data, struct MHD_Connection *connection,
            const char *url, const char *method, const char *version,
            const char *data, size_t *size, void **context)
{
  (void)user_data;
  (void)url;
  (void)method;
  (void)version;
  (void)data;
  (void)size;
  static int head_received;
  if (!*context)
    {
      *context = &head_received;
      return MHD_YES;
    }
  struct str name = httpd_query_parameter (connection, "mode");
  struct str pair = httpd_query_parameter (connection, "pair");
  int mode = 0;
  while (mode < MODE_COUNT && !str_equal (name, str_from (mode_names[mode])))
    mode++;
  for (size_t i = 0; mode < MODE_COUNT && i < proxy.pair_count; i++)
    if (pair.size == 0 || str_equal (pair, str_from (proxy.pairs[i].listen)))
      set_mode (&proxy.pairs[i], (enum mode)mode);
  return httpd_queue_json (connection, mode < MODE_COUNT ? 200 : 400,
                           json_object_new_object ());
}

/* Starts to listen for TEXT, LISTEN=TARGET.  */
static bool
add_pair (char *text, struct err *err)
{
  struct pair *pair = &proxy.pairs[proxy.pair_count];
  char *target = strchr (text, '=');
  if (!target || proxy.pair_count == MAX_PAIRS)
    return false;
  *target++ = 0;
  snprintf (pair->listen, sizeof pair->listen, "%s", text);
  pair->target_size = net_parse_address (str_from (target), &pair->target);
  if (pair->target_size == 0
      || net_listen (str_from (text), BACKLOG, &pair->fd, err) != ERR_NONE)
    return false;
  proxy.pair_count++;
  loop_watch (proxy.loop, pair->fd, LOOP_READ, on_accept, pair);
  return true;
}

int
run_proxy (int argc, char **argv, apr_pool_t *pool)
{
  struct err err;
  struct httpd *httpd;
  struct httpd_desc desc
      = { .address
          = str_from (option (argc, argv, "--listen", "127.24.9.9:7900")),
          .handler = on_request };
  char *pairs = strdup (option (argc, argv, "--pairs", ""));
  char *rest = NULL;
  if (loop_create (pool, &proxy.loop, &err) != ERR_NONE)
    return 1;
  desc.loop = proxy.loop;
  if (httpd_create (pool, &desc, &httpd, &err) != ERR_NONE)
    return 1;
  for (char *pair = strtok_r (pairs, ",", &rest); pair;
       pair = strtok_r (NULL, ",", &rest))
    if (!add_pair (pair, &err))
      {
        fprintf (stderr,
                 "proxy: cannot listen for pair %s, expected LISTEN=TARGET\n",
                 pair);
        return 1;
      }
  stop_on_signal (proxy.loop);
  loop_run (proxy.loop);
  free (pairs);
  return 0;
}
