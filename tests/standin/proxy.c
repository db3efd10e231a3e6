/* A TCP proxy on loopback that spoils what passes it.

     standin proxy --listen IP:PORT --pairs LISTEN=TARGET,...

   PUT /_mode?pair=LISTEN&mode=M changes the manner of one pair, or of all
   without `pair': `normal', `delay' holds each piece for 150 ms, `reset'
   resets what is open and what comes, `silent' carries nothing, `there'
   carries nothing back to the caller, `back' nothing to the target.  What is
   held is carried when that ends, as after a partition.  */
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
  PAIRS_MAX = 512,
  BACKLOG = 256,
  BUFFER_BYTES = 64 * 1024,
  DELAY_MS = 150,
  HOLD_MS = 20 /* between two looks at a pair that carries nothing */
};

enum mode
{
  NORMAL,
  DELAY,
  RESET,
  SILENT,
  THERE,
  BACK,
  MODES
};

static const char *const mode_names[MODES]
    = { "normal", "delay", "reset", "silent", "there", "back" };

struct pair
{
  struct sockaddr_storage target;
  socklen_t target_size;
  char listen[64];
  int fd;
  enum mode mode;
  struct link *links; /* open */
};

/* One direction of a connection.  */
struct flow
{
  char data[BUFFER_BYTES];
  size_t size;
  size_t at;
  apr_time_t until; /* before which the piece is held */
  bool ended;
};

struct link
{
  struct pair *pair;
  struct link *next;
  int fds[2];           /* the caller's, the target's */
  struct flow flows[2]; /* from fds[i] */
  struct timer timer;
};

static struct
{
  struct loop *loop;
  struct pair pairs[PAIRS_MAX];
  size_t count;
} proxy;

static void advance (struct link *link);

static void
close_link (struct link *link, bool is_reset)
{
  struct linger linger = { .l_onoff = 1, .l_linger = 0 };
  struct link **at = &link->pair->links;
  while (*at != link)
    at = &(*at)->next;
  *at = link->next;
  timer_stop (loop_timers (proxy.loop), &link->timer);
  for (int i = 0; i < 2; i++)
    {
      loop_unwatch (proxy.loop, link->fds[i]);
      if (is_reset)
        setsockopt (link->fds[i], SOL_SOCKET, SO_LINGER, &linger,
                    sizeof linger);
      close (link->fds[i]);
    }
  free (link);
}

static bool
carries (const struct link *link, int from)
{
  enum mode mode = link->pair->mode;
  return mode != SILENT && mode != (from == 0 ? BACK : THERE);
}

/* Reads and writes one direction as far as possible; returns false when the
   connection is at its end.  */
static bool
move (struct link *link, int from, apr_time_t now)
{
  struct flow *flow = &link->flows[from];
  if (flow->size == 0 && !flow->ended)
    {
      ssize_t size = recv (link->fds[from], flow->data, BUFFER_BYTES, 0);
      if (size < 0 && errno != EAGAIN && errno != EINTR && errno != ENOTCONN)
        return false;
      flow->ended = size == 0;
      flow->size = size > 0 ? (size_t)size : 0;
      flow->at = 0;
      flow->until
          = now + (link->pair->mode == DELAY ? TIMER_MS (DELAY_MS) : 0);
    }
  while (flow->size > 0 && flow->until <= now)
    {
      ssize_t size = send (link->fds[1 - from], flow->data + flow->at,
                           flow->size, MSG_NOSIGNAL);
      if (size < 0)
        return errno == EAGAIN || errno == EINTR || errno == ENOTCONN;
      flow->at += (size_t)size;
      flow->size -= (size_t)size;
    }
  return !(flow->ended && flow->size == 0);
}

static void
on_ready (void *part, int fd, int events)
{
  (void)fd;
  (void)events;
  advance (part);
}

static void
on_time (void *part, apr_time_t now)
{
  (void)now;
  advance (part);
}

static void
advance (struct link *link)
{
  apr_time_t now = timer_clock ();
  apr_time_t again = 0;
  int events[2] = { 0, 0 };
  for (int from = 0; from < 2; from++)
    {
      struct flow *flow = &link->flows[from];
      if (!carries (link, from))
        {
          again = now + TIMER_MS (HOLD_MS);
          continue;
        }
      if (!move (link, from, now))
        {
          close_link (link, !flow->ended);
          return;
        }
      if (flow->size == 0)
        events[from] |= LOOP_READ;
      else if (flow->until > now)
        again = flow->until;
      else
        events[1 - from] |= LOOP_WRITE;
    }
  for (int i = 0; i < 2; i++)
    {
      loop_unwatch (proxy.loop, link->fds[i]);
      if (events[i] != 0)
        loop_watch (proxy.loop, link->fds[i], events[i], on_ready, link);
    }
  timer_stop (loop_timers (proxy.loop), &link->timer);
  if (again != 0)
    timer_start (loop_timers (proxy.loop), &link->timer, again, on_time, link);
}

static void
on_caller (void *part, int fd, int events)
{
  struct pair *pair = part;
  (void)events;
  struct link *link = calloc (1, sizeof *link);
  link->pair = pair;
  link->fds[0] = accept4 (fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
  link->fds[1] = socket (pair->target.ss_family,
                         SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (link->fds[0] < 0 || link->fds[1] < 0)
    abort ();
  link->next = pair->links;
  pair->links = link;
  if ((connect (link->fds[1], (struct sockaddr *)&pair->target,
                pair->target_size)
           != 0
       && errno != EINPROGRESS)
      || pair->mode == RESET)
    close_link (link, true);
  else
    loop_watch (proxy.loop, link->fds[1], LOOP_WRITE, on_ready, link);
}

static void
set_mode (struct pair *pair, enum mode mode)
{
  pair->mode = mode;
  for (struct link *link = pair->links, *next; link; link = next)
    {
      next = link->next;
      if (mode == RESET)
        close_link (link, true);
      else
        advance (link);
    }
}

static enum MHD_Result
handle (void *part, struct MHD_Connection *connection, const char *url,
        const char *method, const char *version, const char *data,
        size_t *size, void **context)
{
  (void)part;
  (void)url;
  (void)method;
  (void)version;
  (void)data;
  (void)size;
  static int begun;
  if (!*context)
    {
      *context = &begun;
      return MHD_YES;
    }
  struct str name = httpd_query_parameter (connection, "mode");
  struct str pair = httpd_query_parameter (connection, "pair");
  int mode = 0;
  while (mode < MODES && !str_equal (name, str_from (mode_names[mode])))
    mode++;
  for (size_t i = 0; mode < MODES && i < proxy.count; i++)
    if (pair.size == 0 || str_equal (pair, str_from (proxy.pairs[i].listen)))
      set_mode (&proxy.pairs[i], (enum mode)mode);
  return httpd_queue_json (connection, mode < MODES ? 200 : 400,
                           json_object_new_object ());
}

/* Opens LISTEN=TARGET.  */
static bool
add_pair (char *text, struct err *err)
{
  struct pair *pair = &proxy.pairs[proxy.count];
  char *target = strchr (text, '=');
  if (!target || proxy.count == PAIRS_MAX)
    return false;
  *target++ = 0;
  snprintf (pair->listen, sizeof pair->listen, "%s", text);
  pair->target_size = net_parse_address (str_from (target), &pair->target);
  if (pair->target_size == 0
      || net_listen (str_from (text), BACKLOG, &pair->fd, err) != ERR_NONE)
    return false;
  proxy.count++;
  loop_watch (proxy.loop, pair->fd, LOOP_READ, on_caller, pair);
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
          .handler = handle };
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
        fprintf (stderr, "proxy: %s: no pair\n", pair);
        return 1;
      }
  stop_on_signal (proxy.loop);
  loop_run (proxy.loop);
  free (pairs);
  return 0;
}
