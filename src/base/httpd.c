#include "base/httpd.h"

#include "base/net.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

/* types */

/* One open connection, kept to end those that deliver no whole header.  */
struct link
{
  struct link *next;
  struct link **back;
  int fd;
  bool in_request;
  bool has_served;
  bool is_watched; /* its descriptor is among those of gone_fd */
  void *request;   /* to be told when the other end closes */
  apr_time_t idle_since;
};

struct httpd
{
  struct httpd_desc desc;
  struct MHD_Daemon *daemon;
  int epoll_fd;
  int gone_fd; /* tells of ends that closed; -1: not needed */
  struct timer timer;
  struct timer sweep;
  struct link *links;
};

/* constants */

enum
{
  DEFAULT_CONNECTIONS = 1024,
  DEFAULT_HEADER_BYTES = 32 * 1024,
  DEFAULT_HEADER_TIMEOUT_S = 15,
  DEFAULT_IDLE_TIMEOUT_S = 60,
  SWEEP_MS = 1000,
  LISTEN_BACKLOG = 1024,
  GONE_A_ROUND = 64
};

/* private functions */

static void
on_due (void *part, apr_time_t now)
{
  (void)now;
  httpd_run (part);
}

static void
on_ready (void *part, int fd, int events)
{
  (void)fd;
  (void)events;
  httpd_run (part);
}

static void
on_sweep (void *part, apr_time_t now)
{
  struct httpd *httpd = part;
  apr_time_t limit = TIMER_SEC (httpd->desc.header_timeout_s);
  for (struct link *link = httpd->links; link; link = link->next)
    if (!link->in_request && now - link->idle_since > limit)
      shutdown (link->fd, SHUT_RDWR);
  timer_start (loop_timers (httpd->desc.loop), &httpd->sweep,
               now + TIMER_MS (SWEEP_MS), on_sweep, httpd);
}

static void
on_connection (void *part, struct MHD_Connection *connection,
               void **socket_context, enum MHD_ConnectionNotificationCode code)
{
  struct httpd *httpd = part;
  if (code == MHD_CONNECTION_NOTIFY_STARTED)
    {
      struct link *link = calloc (1, sizeof *link);
      if (!link)
        abort ();
      link->fd = MHD_get_connection_info (connection,
                                          MHD_CONNECTION_INFO_CONNECTION_FD)
                     ->connect_fd;
      link->idle_since = timer_clock ();
      link->next = httpd->links;
      link->back = &httpd->links;
      if (link->next)
        link->next->back = &link->next;
      httpd->links = link;
      *socket_context = link;
      return;
    }
  struct link *link = *socket_context;
  *link->back = link->next;
  if (link->next)
    link->next->back = link->back;
  free (link);
  *socket_context = NULL;
}

/* Tells the requests whose callers have closed.  libmicrohttpd does not read
   from suspended connections, so it cannot notice that itself.  */
static void
on_gone (void *part, int fd, int events)
{
  (void)events;
  struct httpd *httpd = part;
  struct epoll_event gone[GONE_A_ROUND];
  int count = epoll_wait (fd, gone, GONE_A_ROUND, 0);
  for (int i = 0; i < count; i++)
    {
      struct link *link = gone[i].data.ptr;
      void *request = link->request;
      link->request = NULL;
      if (request)
        httpd->desc.gone (request);
    }
}

static struct link *
link_of (struct MHD_Connection *connection)
{
  return MHD_get_connection_info (connection,
                                  MHD_CONNECTION_INFO_SOCKET_CONTEXT)
      ->socket_context;
}

static void *
on_begin (void *part, const char *target, struct MHD_Connection *connection)
{
  struct httpd *httpd = part;
  if (!httpd->desc.begin)
    return NULL;
  return httpd->desc.begin (httpd->desc.part, target, connection);
}

static enum MHD_Result
on_request (void *part, struct MHD_Connection *connection, const char *url,
            const char *method, const char *version, const char *upload_data,
            size_t *upload_data_size, void **request)
{
  struct httpd *httpd = part;
  link_of (connection)->in_request = true;
  return httpd->desc.handler (httpd->desc.part, connection, url, method,
                              version, upload_data, upload_data_size, request);
}

static void
on_completed (void *part, struct MHD_Connection *connection, void **request,
              enum MHD_RequestTerminationCode code)
{
  struct httpd *httpd = part;
  struct link *link = link_of (connection);
  if (link)
    {
      link->in_request = false;
      link->has_served = true;
      link->idle_since = timer_clock ();
    }
  if (httpd->desc.completed)
    httpd->desc.completed (httpd->desc.part, connection, request, code);
}

static void
set_defaults (struct httpd_desc *desc)
{
  if (!desc->connections)
    desc->connections = DEFAULT_CONNECTIONS;
  if (!desc->header_bytes)
    desc->header_bytes = DEFAULT_HEADER_BYTES;
  if (!desc->header_timeout_s)
    desc->header_timeout_s = DEFAULT_HEADER_TIMEOUT_S;
  if (!desc->idle_timeout_s)
    desc->idle_timeout_s = DEFAULT_IDLE_TIMEOUT_S;
}

/* public functions */

enum err_code
httpd_create (apr_pool_t *pool, const struct httpd_desc *desc,
              struct httpd **result, struct err *err)
{
  struct httpd *httpd = apr_pcalloc (pool, sizeof *httpd);
  httpd->desc = *desc;
  set_defaults (&httpd->desc);
  int fd = -1;
  if (net_listen (desc->address, LISTEN_BACKLOG, &fd, err) != ERR_NONE)
    return err->code;
  httpd->daemon = MHD_start_daemon (
      MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, 0, NULL, NULL, on_request,
      httpd, MHD_OPTION_LISTEN_SOCKET, fd, MHD_OPTION_URI_LOG_CALLBACK,
      on_begin, httpd, MHD_OPTION_NOTIFY_COMPLETED, on_completed, httpd,
      MHD_OPTION_NOTIFY_CONNECTION, on_connection, httpd,
      MHD_OPTION_CONNECTION_LIMIT, (unsigned int)httpd->desc.connections,
      MHD_OPTION_CONNECTION_MEMORY_LIMIT, (size_t)httpd->desc.header_bytes,
      MHD_OPTION_CONNECTION_TIMEOUT, (unsigned int)httpd->desc.idle_timeout_s,
      MHD_OPTION_END);
  if (!httpd->daemon)
    {
      close (fd);
      return err_set (err, ERR_IO, "start HTTP listener", NULL, "%s",
                      strerror (errno));
    }
  httpd->epoll_fd
      = MHD_get_daemon_info (httpd->daemon, MHD_DAEMON_INFO_EPOLL_FD)
            ->epoll_fd;
  loop_watch (desc->loop, httpd->epoll_fd, LOOP_READ, on_ready, httpd);
  httpd->gone_fd = desc->gone ? epoll_create1 (EPOLL_CLOEXEC) : -1;
  if (httpd->gone_fd >= 0)
    loop_watch (desc->loop, httpd->gone_fd, LOOP_READ, on_gone, httpd);
  on_sweep (httpd, timer_clock ());
  *result = httpd;
  return ERR_NONE;
}

void
httpd_close_listener (struct httpd *httpd)
{
  int fd = MHD_quiesce_daemon (httpd->daemon);
  if (fd >= 0)
    close (fd);
}

void
httpd_destroy (struct httpd *httpd)
{
  if (!httpd)
    return;
  struct timer_service *timers = loop_timers (httpd->desc.loop);
  loop_unwatch (httpd->desc.loop, httpd->epoll_fd);
  if (httpd->gone_fd >= 0)
    {
      loop_unwatch (httpd->desc.loop, httpd->gone_fd);
      close (httpd->gone_fd);
    }
  MHD_stop_daemon (httpd->daemon);
  timer_stop (timers, &httpd->timer);
  timer_stop (timers, &httpd->sweep);
}

void
httpd_run (struct httpd *httpd)
{
  MHD_run (httpd->daemon);
  MHD_UNSIGNED_LONG_LONG wait_ms;
  if (MHD_get_timeout (httpd->daemon, &wait_ms) == MHD_YES)
    timer_start (loop_timers (httpd->desc.loop), &httpd->timer,
                 timer_clock () + TIMER_MS (wait_ms), on_due, httpd);
  else
    timer_stop (loop_timers (httpd->desc.loop), &httpd->timer);
}

bool
httpd_is_gone (struct MHD_Connection *connection)
{
  char byte;
  int fd
      = MHD_get_connection_info (connection, MHD_CONNECTION_INFO_CONNECTION_FD)
            ->connect_fd;
  ssize_t n = recv (fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return n == 0 || (n < 0 && errno != EAGAIN && errno != EINTR);
}

void
httpd_suspend (struct httpd *httpd, struct MHD_Connection *connection)
{
  (void)httpd;
  MHD_suspend_connection (connection);
}

void
httpd_resume (struct httpd *httpd, struct MHD_Connection *connection)
{
  MHD_resume_connection (connection);
  timer_start (loop_timers (httpd->desc.loop), &httpd->timer, timer_clock (),
               on_due, httpd);
}

void
httpd_watch_gone (struct httpd *httpd, struct MHD_Connection *connection,
                  void *request)
{
  struct link *link = link_of (connection);
  if (!link)
    return;
  link->request = request;
  if (!request || link->is_watched || httpd->gone_fd < 0)
    return;
  struct epoll_event event
      = { .events = EPOLLRDHUP | EPOLLET, .data.ptr = link };
  link->is_watched
      = epoll_ctl (httpd->gone_fd, EPOLL_CTL_ADD, link->fd, &event) == 0;
}

bool
httpd_is_first_request (struct MHD_Connection *connection)
{
  return !link_of (connection)->has_served;
}

unsigned int
httpd_connections (const struct httpd *httpd)
{
  return MHD_get_daemon_info (httpd->daemon,
                              MHD_DAEMON_INFO_CURRENT_CONNECTIONS)
      ->num_connections;
}

enum MHD_Result
httpd_answer_json (struct MHD_Connection *connection, unsigned int status,
                   json_object *object)
{
  const char *text = json_object_to_json_string_ext (
      object, JSON_C_TO_STRING_PLAIN | JSON_C_TO_STRING_NOSLASHESCAPE);
  struct MHD_Response *response = MHD_create_response_from_buffer (
      strlen (text), (void *)text, MHD_RESPMEM_MUST_COPY);
  json_object_put (object);
  MHD_add_response_header (response, "Content-Type", "application/json");
  enum MHD_Result result = MHD_queue_response (connection, status, response);
  MHD_destroy_response (response);
  return result;
}

struct str
httpd_header (struct MHD_Connection *connection, const char *name)
{
  return str_from (
      MHD_lookup_connection_value (connection, MHD_HEADER_KIND, name));
}

struct str
httpd_argument (struct MHD_Connection *connection, const char *name)
{
  return str_from (
      MHD_lookup_connection_value (connection, MHD_GET_ARGUMENT_KIND, name));
}
