#include "base/httpd.h"

#include "base/closer.h"
#include "base/log.h"
#include "base/net.h"

#include <arpa/inet.h>
#include <ctype.h>
#include <errno.h>
#include <netinet/in.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

/* types */

/* State of one open connection, for the header timeout and for watches of its
   close.  */
struct connection
{
  struct connection *next;
  struct connection **previous_next;
  int fd;
  const char *head; /* of the request in progress */
  bool is_in_request;
  bool has_completed_request;
  bool request_ended_early; /* and with it the connection */
  bool head_is_late;        /* closed by check_connections */
  bool is_closed;           /* by this module; no request is taken any more */
  bool caller_has_closed;   /* its direction of the connection */
  bool close_is_reported;   /* of the request in progress */
  void *watched_request; /* to be reported when the caller closes, or NULL */
  apr_time_t idle_since; /* start, or end of the last request */
  struct sockaddr_in peer;
};

/* Why a request or a connection ended early.  */
enum cut
{
  CUT_ANSWER_HEAD,  /* no memory for the head of the answer */
  CUT_REQUEST_HEAD, /* refused by libmicrohttpd */
  CUT_ANSWER,       /* the source of the answer failed, or it was refused */
  CUT_HANDLER,      /* the handler closed the connection */
  CUT_HEAD_LATE,
  CUT_IDLE,
  CUT_CONNECTIONS, /* as many as allowed are open, or the process has no
                      descriptor left */
  CUT_STOP,
  CUT_STALLED, /* closed by httpd_close_connection or httpd_close_unused */
  CUT_CALLER,
  CUT_OTHER,
  CUTS
};

struct httpd
{
  struct httpd_desc desc;
  struct MHD_Daemon *daemon;
  int epoll_fd;
  int close_fd;             /* epoll instance for callers that close */
  struct timer timer;       /* for libmicrohttpd's timeouts */
  struct timer check_timer; /* for check_connections */
  struct connection *connections;
  int64_t connection_count;
  struct closer *closer;
  bool is_destroyed;
  char message[240]; /* of libmicrohttpd, of no request's end yet; or empty */
  apr_time_t message_at;
  enum cut ending; /* of the request whose request_completed is called */
  struct counter *cuts[CUTS];
  apr_time_t lines_began_at; /* of the second in which `lines' were written */
  int lines;
};

/* constants */

enum
{
  DEFAULT_MAX_CONNECTIONS = 1024,
  DEFAULT_CONNECTION_BYTES = 32 * 1024,
  RESPONSE_SPACE_DIVISOR = 8, /* of a connection's memory */
  /* An entry of libmicrohttpd for a field, cookie or query parameter, rounded
     up to its alignment.  */
  FIELD_ENTRY_BYTES = 64,
  /* The status line, Date, Connection, Content-Length or Transfer-Encoding,
     and what alignment takes.  */
  RESPONSE_OWN_BYTES = 512,
  DEFAULT_HEADER_TIMEOUT_S = 15,
  DEFAULT_IDLE_TIMEOUT_S = 60,
  CHECK_INTERVAL_MS = 1000, /* of header timeouts, which are in seconds */
  LISTEN_BACKLOG = 1024,
  MAX_CLOSES_PER_CALL = 64,
  LINES_PER_S = 40 /* of one server; all ends are counted */
};

static const char late_head[] = "no whole head in time";

static const char *const cut_names[CUTS]
    = { "answer-head", "request-head", "answer",      "handler",
        "head-late",   "idle",         "connections", "stop",
        "stalled",     "caller",       "other" };

/* By a part of libmicrohttpd's message, the first that matches.  */
static const struct
{
  const char *part;
  enum cut cut;
} message_cuts[] = {
  { "create response header", CUT_ANSWER_HEAD },
  { "Error processing request", CUT_REQUEST_HEAD },
  { "Content-Length", CUT_REQUEST_HEAD },
  { "error response", CUT_REQUEST_HEAD },
  { "error generating data", CUT_ANSWER },
  { "error generating response", CUT_ANSWER },
  { "more data than requested", CUT_ANSWER },
  { "response footer", CUT_ANSWER },
  { "wrong status code", CUT_ANSWER },
  { "Wrong status code", CUT_ANSWER },
  { "Application reported internal error", CUT_HANDLER },
  { "connection limit", CUT_CONNECTIONS },
  { "resource limit", CUT_CONNECTIONS },
  { "Error accepting connection", CUT_CONNECTIONS },
  { "Failed to start serving", CUT_CONNECTIONS },
  { "Connection socket is closed", CUT_CALLER },
  { "Connection was closed by remote", CUT_CALLER },
  { "closed by remote peer", CUT_CALLER },
  { "Failed to send", CUT_CALLER },
};

/* By enum MHD_RequestTerminationCode.  */
static const char *const end_reasons[]
    = { "completed",        "error of the connection", "time-out",
        "the server stops", "error while reading",     "the caller left" };

/* private functions */

static void
on_due (void *user_data, apr_time_t now)
{
  (void)now;
  httpd_run (user_data);
}

static void
on_ready (void *user_data, int fd, int events)
{
  (void)fd;
  (void)events;
  httpd_run (user_data);
}

static enum cut
message_cut (const char *message)
{
  for (size_t i = 0; i < sizeof message_cuts / sizeof *message_cuts; i++)
    if (strstr (message, message_cuts[i].part))
      return message_cuts[i].cut;
  return CUT_OTHER;
}

/* Returns why a request on STATE's connection ended with CODE, which is not a
   whole response.  */
static enum cut
request_cut (const struct httpd *httpd, const struct connection *state,
             enum MHD_RequestTerminationCode code)
{
  if (state && state->head_is_late)
    return CUT_HEAD_LATE;
  if (state && state->is_closed)
    return CUT_STALLED;
  /* The handler has ended it for that.  */
  if (state && state->close_is_reported)
    return CUT_CALLER;
  switch (code)
    {
    case MHD_REQUEST_TERMINATED_TIMEOUT_REACHED:
      return CUT_IDLE;
    case MHD_REQUEST_TERMINATED_DAEMON_SHUTDOWN:
      return CUT_STOP;
    case MHD_REQUEST_TERMINATED_READ_ERROR:
    case MHD_REQUEST_TERMINATED_CLIENT_ABORT:
      return CUT_CALLER;
    default:
      return httpd->message[0]                   ? message_cut (httpd->message)
             : state && state->caller_has_closed ? CUT_CALLER
                                                 : CUT_OTHER;
    }
}

/* Returns whether one more log line fits the limit.  */
static bool
allow_line (struct httpd *httpd)
{
  apr_time_t now = timer_clock ();
  if (now - httpd->lines_began_at >= APR_USEC_PER_SEC)
    {
      httpd->lines_began_at = now;
      httpd->lines = 0;
    }
  return httpd->lines++ < LINES_PER_S;
}

/* Counts CUT, and returns whether there is to be a log line on it.  */
static bool
count_cut (struct httpd *httpd, enum cut cut)
{
  if (httpd->desc.counters)
    counter_add (httpd->cuts[cut], 1);
  return cut != CUT_CALLER && allow_line (httpd);
}

/* Logs a message of libmicrohttpd that belongs to no request, nor to a
   connection that ended.  */
static void
flush_message (struct httpd *httpd)
{
  if (!httpd->message[0])
    return;
  enum cut cut = message_cut (httpd->message);
  if (count_cut (httpd, cut))
    LOG (LOG_WARN, "http-message", LOG_TEXT ("listener", httpd->desc.name),
         LOG_TEXT ("cause", cut_names[cut]),
         LOG_TEXT ("reason", httpd->message));
  httpd->message[0] = 0;
}

static const char *
format_peer (const struct connection *state, char *text, size_t size)
{
  char ip[INET_ADDRSTRLEN] = "?";
  inet_ntop (AF_INET, &state->peer.sin_addr, ip, sizeof ip);
  snprintf (text, size, "%s:%d", ip, ntohs (state->peer.sin_port));
  return text;
}

/* Counts and logs the end of a connection, if it ended before the request line
   was read and not between two requests.  */
static void
report_connection_end (struct httpd *httpd, const struct connection *state)
{
  char peer[INET_ADDRSTRLEN + 8];
  bool has_message = httpd->message[0] != 0;
  if (!has_message && state->has_completed_request)
    return;
  struct net_tcp_state tcp = net_tcp_state (state->fd);
  int64_t bytes = tcp.received_bytes;
  if (!has_message && bytes <= 0 && !state->head_is_late)
    return;
  enum cut cut = state->head_is_late   ? CUT_HEAD_LATE
                 : state->is_closed    ? CUT_STALLED
                 : has_message         ? message_cut (httpd->message)
                 : tcp.peer_has_closed ? CUT_CALLER
                                       : CUT_REQUEST_HEAD;
  if (count_cut (httpd, cut))
    LOG (LOG_WARN, "connection-unfinished",
         LOG_TEXT ("listener", httpd->desc.name),
         LOG_TEXT ("peer", format_peer (state, peer, sizeof peer)),
         LOG_TEXT ("stage", "request line"),
         LOG_TEXT ("cause", cut_names[cut]),
         LOG_TEXT ("reason", state->head_is_late ? late_head
                             : has_message       ? httpd->message
                                           : "the request line can't be read"),
         LOG_INT ("bytes", bytes),
         LOG_INT ("kept", state->has_completed_request));
  httpd->message[0] = 0;
}

/* Counts and logs the end of a request with CODE.  */
static void
report_request_end (struct httpd *httpd, const struct connection *state,
                    void *request, enum MHD_RequestTerminationCode code)
{
  char peer[INET_ADDRSTRLEN + 8] = "";
  struct httpd_request_state described = { "", "head" };
  enum cut cut = request_cut (httpd, state, code);
  httpd->ending = cut;
  bool has_line = count_cut (httpd, cut);
  if (!httpd->desc.describe || !has_line)
    return;
  if (request)
    described = httpd->desc.describe (request);
  else if (state && state->is_in_request)
    described.stage = "response";
  LOG (
      LOG_WARN, "request-unfinished", LOG_TEXT ("listener", httpd->desc.name),
      LOG_TEXT ("id", described.id),
      LOG_TEXT ("peer", state ? format_peer (state, peer, sizeof peer) : peer),
      LOG_TEXT ("stage", described.stage), LOG_TEXT ("cause", cut_names[cut]),
      LOG_TEXT ("reason", httpd_end_reason (httpd, code)),
      LOG_INT ("bytes",
               state ? net_tcp_state (state->fd).received_bytes : -1));
}

/* Callback of libmicrohttpd for its messages, with which it says why it closes
   a connection by itself.  */
static void __attribute__ ((format (printf, 2, 0)))
on_message (void *user_data, const char *format, va_list arguments)
{
  struct httpd *httpd = user_data;
  char text[sizeof httpd->message];
  vsnprintf (text, sizeof text, format, arguments);
  text[strcspn (text, "\r\n")] = 0;
  /* Before these there may be one that says more.  */
  bool follows = strstr (text, "Error processing request")
                 || strstr (text, "Application reported internal error");
  if (!follows)
    flush_message (httpd);
  size_t used = strlen (httpd->message);
  snprintf (httpd->message + used, sizeof httpd->message - used, "%s%s",
            used ? " " : "", text);
  httpd->message_at = timer_clock ();
}

/* Makes libmicrohttpd read to the end of what the caller of STATE sent.  It
   waits for the next event after it has read less than its buffer takes, and
   the end of the input raises none if it was there by then.  Nothing that has
   arrived is lost by this, and the answer can still be sent.  */
static void
announce_end (const struct connection *state)
{
  shutdown (state->fd, SHUT_RD);
}

/* Closes the connection of STATE so that its peer gets all that was sent to
   it, whatever it still sends itself.  */
static void
close_in_stages (struct httpd *httpd, struct connection *state)
{
  state->is_closed = true;
  if (!closer_linger (httpd->closer, state->fd))
    shutdown (state->fd, SHUT_RDWR);
}

/* Closes the connection of STATE, on which no request is in progress.  */
static void
close_idle (struct httpd *httpd, struct connection *state)
{
  state->is_closed = true;
  if (net_unacknowledged_bytes (state->fd) > 0)
    close_in_stages (httpd, state);
  else
    shutdown (state->fd, SHUT_RDWR);
}

/* Closes the connections that did not deliver a complete header in time;
   libmicrohttpd's own timeout restarts with each byte.  Makes sure that it
   notices those whose callers have closed.  */
static void
check_connections (void *user_data, apr_time_t now)
{
  struct httpd *httpd = user_data;
  apr_time_t limit = TIMER_SEC (httpd->desc.header_timeout_s);
  /* A connection may be closed a while after the message.  */
  if (now - httpd->message_at > TIMER_MS (CHECK_INTERVAL_MS))
    flush_message (httpd);
  for (struct connection *state = httpd->connections; state;
       state = state->next)
    if (!state->is_in_request && !state->is_closed
        && now - state->idle_since > limit)
      {
        state->head_is_late = true;
        close_idle (httpd, state);
      }
    else if (state->caller_has_closed)
      announce_end (state);
  timer_start (loop_timers (httpd->desc.loop), &httpd->check_timer,
               now + TIMER_MS (CHECK_INTERVAL_MS), check_connections, httpd);
}

/* Has on_caller_close called when the peer of STATE closes its direction, with
   EPOLL_CTL_MOD also if it has already.  */
static void
watch_close (struct httpd *httpd, struct connection *state, int operation)
{
  struct epoll_event event
      = { .events = EPOLLRDHUP | EPOLLET, .data.ptr = state };
  if (epoll_ctl (httpd->close_fd, operation, state->fd, &event) != 0
      && allow_line (httpd))
    LOG (LOG_WARN, "connection-unwatched",
         LOG_TEXT ("listener", httpd->desc.name),
         LOG_TEXT ("reason", strerror (errno)));
}

/* Lets lingering connections give way to open ones.  */
static void
make_room (struct httpd *httpd)
{
  while (closer_count (httpd->closer) > 0
         && httpd->connection_count + (int64_t)closer_count (httpd->closer)
                > httpd->desc.max_connections)
    closer_close_oldest (httpd->closer);
}

static void
on_connection (void *user_data, struct MHD_Connection *connection,
               void **socket_context, enum MHD_ConnectionNotificationCode code)
{
  struct httpd *httpd = user_data;
  if (code == MHD_CONNECTION_NOTIFY_STARTED)
    {
      struct connection *state = calloc (1, sizeof *state);
      if (!state)
        abort ();
      state->fd = MHD_get_connection_info (connection,
                                           MHD_CONNECTION_INFO_CONNECTION_FD)
                      ->connect_fd;
      state->idle_since = timer_clock ();
      const struct sockaddr *peer
          = MHD_get_connection_info (connection,
                                     MHD_CONNECTION_INFO_CLIENT_ADDRESS)
                ->client_addr;
      if (peer && peer->sa_family == AF_INET)
        memcpy (&state->peer, peer, sizeof state->peer);
      state->next = httpd->connections;
      state->previous_next = &httpd->connections;
      if (state->next)
        state->next->previous_next = &state->next;
      httpd->connections = state;
      httpd->connection_count++;
      *socket_context = state;
      make_room (httpd);
      watch_close (httpd, state, EPOLL_CTL_ADD);
      return;
    }
  struct connection *state = *socket_context;
  if (!state->request_ended_early)
    report_connection_end (httpd, state);
  /* The kernel would go on with the watch while a duplicate of the descriptor
     is open.  */
  epoll_ctl (httpd->close_fd, EPOLL_CTL_DEL, state->fd, NULL);
  if (!state->is_closed && !httpd->is_destroyed)
    close_in_stages (httpd, state);
  httpd->connection_count--;
  *state->previous_next = state->next;
  if (state->next)
    state->next->previous_next = state->previous_next;
  free (state);
  *socket_context = NULL;
}

/* Reports the requests whose callers have closed their connections.
   libmicrohttpd does not read from suspended connections, so it does not
   notice that itself.  */
static void
on_caller_close (void *user_data, int fd, int events)
{
  (void)events;
  struct httpd *httpd = user_data;
  struct epoll_event closed[MAX_CLOSES_PER_CALL];
  int count = epoll_wait (fd, closed, MAX_CLOSES_PER_CALL, 0);
  for (int i = 0; i < count; i++)
    {
      struct connection *state = closed[i].data.ptr;
      void *request = state->watched_request;
      state->caller_has_closed = true;
      state->watched_request = NULL;
      if (!request)
        continue;
      state->close_is_reported = true;
      httpd->desc.caller_closed (request);
    }
}

static struct connection *
connection_state (struct MHD_Connection *connection)
{
  return MHD_get_connection_info (connection,
                                  MHD_CONNECTION_INFO_SOCKET_CONTEXT)
      ->socket_context;
}

/* MHD_OPTION_URI_LOG_CALLBACK: returns the initial request context.  */
static void *
on_request_started (void *user_data, const char *target,
                    struct MHD_Connection *connection)
{
  struct httpd *httpd = user_data;
  if (!httpd->desc.request_started)
    return NULL;
  return httpd->desc.request_started (httpd->desc.user_data, target,
                                      connection);
}

static enum MHD_Result
on_request (void *user_data, struct MHD_Connection *connection,
            const char *url, const char *method, const char *version,
            const char *upload_data, size_t *upload_data_size, void **request)
{
  struct httpd *httpd = user_data;
  struct connection *state = connection_state (connection);
  /* A request that had arrived before the connection was closed: there is no
     way to answer it.  */
  if (state->is_closed && !state->is_in_request)
    return MHD_NO;
  state->is_in_request = true;
  state->head = method;
  return httpd->desc.handler (httpd->desc.user_data, connection, url, method,
                              version, upload_data, upload_data_size, request);
}

static void
on_completed (void *user_data, struct MHD_Connection *connection,
              void **request, enum MHD_RequestTerminationCode code)
{
  struct httpd *httpd = user_data;
  struct connection *state = connection_state (connection);
  if (code != MHD_REQUEST_TERMINATED_COMPLETED_OK)
    report_request_end (httpd, state, *request, code);
  if (state)
    {
      state->is_in_request = false;
      state->close_is_reported = false;
      state->request_ended_early = code != MHD_REQUEST_TERMINATED_COMPLETED_OK;
      state->has_completed_request = true;
      state->idle_since = timer_clock ();
    }
  if (httpd->desc.request_completed)
    httpd->desc.request_completed (httpd->desc.user_data, connection, request,
                                   code);
  if (code != MHD_REQUEST_TERMINATED_COMPLETED_OK)
    httpd->message[0] = 0;
}

static void
set_defaults (struct httpd_desc *desc)
{
  if (!desc->max_connections)
    desc->max_connections = DEFAULT_MAX_CONNECTIONS;
  if (!desc->connection_bytes)
    desc->connection_bytes = DEFAULT_CONNECTION_BYTES;
  if (!desc->header_timeout_s)
    desc->header_timeout_s = DEFAULT_HEADER_TIMEOUT_S;
  if (!desc->idle_timeout_s)
    desc->idle_timeout_s = DEFAULT_IDLE_TIMEOUT_S;
  if (!desc->name)
    desc->name = "";
}

static void
create_counters (struct httpd *httpd, apr_pool_t *pool)
{
  for (int i = 0; httpd->desc.counters && i < CUTS; i++)
    httpd->cuts[i] = counter_get (
        httpd->desc.counters, "citroncleat_http_cut_total",
        str_format (pool, "listener=\"%s\",reason=\"%s\"", httpd->desc.name,
                    cut_names[i]),
        "Requests and connections that ended before a whole response.");
}

/* public functions */

enum err_code
httpd_create (apr_pool_t *pool, const struct httpd_desc *desc,
              struct httpd **result, struct err *err)
{
  struct httpd *httpd = apr_pcalloc (pool, sizeof *httpd);
  httpd->desc = *desc;
  set_defaults (&httpd->desc);
  create_counters (httpd, pool);
  struct closer_desc closer = { .loop = desc->loop,
                                .name = httpd->desc.name,
                                .counters = desc->counters };
  httpd->closer = closer_create (pool, &closer);
  int fd = -1;
  if (net_listen (desc->address, LISTEN_BACKLOG, &fd, err) != ERR_NONE)
    return err->code;
  httpd->close_fd = epoll_create1 (EPOLL_CLOEXEC);
  if (httpd->close_fd < 0)
    {
      close (fd);
      return err_set (err, ERR_IO, "start HTTP listener", NULL, "%s",
                      strerror (errno));
    }
  httpd->daemon = MHD_start_daemon (
      MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME | MHD_USE_ERROR_LOG, 0, NULL,
      NULL, on_request, httpd, MHD_OPTION_EXTERNAL_LOGGER, on_message, httpd,
      MHD_OPTION_LISTEN_SOCKET, fd, MHD_OPTION_URI_LOG_CALLBACK,
      on_request_started, httpd, MHD_OPTION_NOTIFY_COMPLETED, on_completed,
      httpd, MHD_OPTION_NOTIFY_CONNECTION, on_connection, httpd,
      MHD_OPTION_CONNECTION_LIMIT, (unsigned int)httpd->desc.max_connections,
      MHD_OPTION_CONNECTION_MEMORY_LIMIT, (size_t)httpd->desc.connection_bytes,
      MHD_OPTION_CONNECTION_TIMEOUT, (unsigned int)httpd->desc.idle_timeout_s,
      MHD_OPTION_END);
  if (!httpd->daemon)
    {
      close (fd);
      close (httpd->close_fd);
      return err_set (err, ERR_IO, "start HTTP listener", NULL, "%s",
                      strerror (errno));
    }
  httpd->epoll_fd
      = MHD_get_daemon_info (httpd->daemon, MHD_DAEMON_INFO_EPOLL_FD)
            ->epoll_fd;
  loop_watch (desc->loop, httpd->epoll_fd, LOOP_READ, on_ready, httpd);
  loop_watch (desc->loop, httpd->close_fd, LOOP_READ, on_caller_close, httpd);
  check_connections (httpd, timer_clock ());
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
  loop_unwatch (httpd->desc.loop, httpd->close_fd);
  httpd->is_destroyed = true;
  MHD_stop_daemon (httpd->daemon);
  closer_destroy (httpd->closer);
  close (httpd->close_fd);
  timer_stop (timers, &httpd->timer);
  timer_stop (timers, &httpd->check_timer);
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

/* Adds the size of a Cookie field to the size_t at USER_DATA.  */
static enum MHD_Result
add_cookie_bytes (void *user_data, enum MHD_ValueKind kind, const char *name,
                  const char *value)
{
  (void)kind;
  size_t *size = user_data;
  if (value && strcasecmp (name, MHD_HTTP_HEADER_COOKIE) == 0)
    *size += strlen (value) + 1;
  return MHD_YES;
}

/* Where the head of a request is, and the memory of fields elsewhere.  */
struct head_place
{
  const char *begin;
  const char *end;
  size_t copied_bytes;
};

/* Adds the size of the field NAME to `copied_bytes' of the struct head_place
   at USER_DATA if it isn't there.  */
static enum MHD_Result
add_copied_bytes (void *user_data, enum MHD_ValueKind kind, const char *name,
                  const char *value)
{
  (void)kind;
  struct head_place *head = user_data;
  if (name < head->begin || name >= head->end)
    head->copied_bytes
        += strlen (name) + (value ? strlen (value) : 0) + FIELD_ENTRY_BYTES;
  return MHD_YES;
}

/* Returns the memory that libmicrohttpd took for fields in several lines of
   the head, which has SIZE bytes.  It copies them behind its buffer for
   reading, which it then can't make smaller any more.  */
static size_t
folded_bytes (struct MHD_Connection *connection, size_t size)
{
  const char *begin = connection_state (connection)->head;
  struct head_place head = { begin, begin + size, 0 };
  MHD_get_connection_values (connection, MHD_HEADER_KIND, add_copied_bytes,
                             &head);
  return head.copied_bytes;
}

size_t
httpd_response_space (const struct httpd *httpd,
                      struct MHD_Connection *connection)
{
  const union MHD_ConnectionInfo *head = MHD_get_connection_info (
      connection, MHD_CONNECTION_INFO_REQUEST_HEADER_SIZE);
  int entries = MHD_get_connection_values (connection,
                                           MHD_HEADER_KIND | MHD_COOKIE_KIND
                                               | MHD_GET_ARGUMENT_KIND
                                               | MHD_FOOTER_KIND,
                                           NULL, NULL);
  size_t used = RESPONSE_OWN_BYTES + (size_t)entries * FIELD_ENTRY_BYTES;
  MHD_get_connection_values (connection, MHD_HEADER_KIND, add_cookie_bytes,
                             &used);
  size_t memory = (size_t)httpd->desc.connection_bytes;
  size_t head_bytes = head ? head->header_size : 0;
  size_t folded = folded_bytes (connection, head_bytes);
  /* The buffer for reading, which has the head, is half of the memory.  */
  if (folded > 0)
    memory = head_bytes < memory / 2 ? memory / 2 : 0;
  used += folded > 0 ? folded : head_bytes;
  return used < memory ? memory - used : 0;
}

bool
httpd_has_response_space (const struct httpd *httpd,
                          struct MHD_Connection *connection)
{
  return httpd_response_space (httpd, connection)
         >= (size_t)httpd->desc.connection_bytes / RESPONSE_SPACE_DIVISOR;
}

bool
httpd_caller_has_closed (struct MHD_Connection *connection)
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
httpd_watch_caller_close (struct httpd *httpd,
                          struct MHD_Connection *connection, void *request)
{
  struct connection *state = connection_state (connection);
  if (!state)
    return;
  state->watched_request = request;
  if (request && state->caller_has_closed)
    watch_close (httpd, state, EPOLL_CTL_MOD);
}

bool
httpd_owns (const struct httpd *httpd, struct MHD_Connection *connection)
{
  return httpd
         && MHD_get_connection_info (connection, MHD_CONNECTION_INFO_DAEMON)
                    ->daemon
                == httpd->daemon;
}

bool
httpd_is_first_request (struct MHD_Connection *connection)
{
  return !connection_state (connection)->has_completed_request;
}

const char *
httpd_end_reason (const struct httpd *httpd,
                  enum MHD_RequestTerminationCode code)
{
  if (httpd->ending == CUT_HEAD_LATE)
    return late_head;
  if (code == MHD_REQUEST_TERMINATED_WITH_ERROR && httpd->message[0])
    return httpd->message;
  return (size_t)code < sizeof end_reasons / sizeof *end_reasons
             ? end_reasons[code]
             : "unknown";
}

const char *
httpd_end_cause (const struct httpd *httpd)
{
  return cut_names[httpd->ending];
}

bool
httpd_ended_by_caller (const struct httpd *httpd)
{
  return httpd->ending == CUT_CALLER;
}

void
httpd_close_connection (struct httpd *httpd, struct MHD_Connection *connection)
{
  (void)httpd;
  struct connection *state = connection_state (connection);
  if (!state)
    return;
  state->is_closed = true;
  shutdown (state->fd, SHUT_RDWR);
}

static int
by_idle_time (const void *a, const void *b)
{
  apr_time_t left = (*(struct connection *const *)a)->idle_since;
  apr_time_t right = (*(struct connection *const *)b)->idle_since;
  return (left > right) - (left < right);
}

size_t
httpd_close_unused (struct httpd *httpd, size_t count, apr_time_t min_head_age,
                    apr_time_t min_idle_age)
{
  size_t open = httpd_connection_count (httpd);
  size_t found = 0;
  apr_time_t now = timer_clock ();
  struct connection **unused = malloc ((open + 1) * sizeof (*unused));
  if (!unused)
    abort ();
  for (struct connection *state = httpd->connections; state && found < open;
       state = state->next)
    if (!state->is_in_request && !state->is_closed
        && now - state->idle_since
               >= (state->has_completed_request ? min_idle_age : min_head_age))
      unused[found++] = state;
  qsort (unused, found, sizeof (*unused), by_idle_time);
  size_t closed = 0;
  for (; closed < found && closed < count; closed++)
    close_idle (httpd, unused[closed]);
  free (unused);
  return closed;
}

bool
httpd_finish_responses (struct httpd *httpd)
{
  for (struct connection *state = httpd->connections; state;
       state = state->next)
    if (!state->is_in_request && !state->is_closed
        && net_unacknowledged_bytes (state->fd) > 0)
      close_in_stages (httpd, state);
  return closer_count (httpd->closer) == 0;
}

int64_t
httpd_acknowledged_bytes (struct MHD_Connection *connection)
{
  const struct connection *state = connection_state (connection);
  return state ? net_tcp_state (state->fd).acknowledged_bytes : 0;
}

uint32_t
httpd_peer_address (struct MHD_Connection *connection)
{
  const struct connection *state = connection_state (connection);
  return state ? state->peer.sin_addr.s_addr : 0;
}

const char *
httpd_peer_text (struct MHD_Connection *connection, apr_pool_t *pool)
{
  char *text = apr_pcalloc (pool, INET_ADDRSTRLEN + 8);
  const struct connection *state = connection_state (connection);
  return state ? format_peer (state, text, INET_ADDRSTRLEN + 8) : text;
}

unsigned int
httpd_connection_count (const struct httpd *httpd)
{
  return MHD_get_daemon_info (httpd->daemon,
                              MHD_DAEMON_INFO_CURRENT_CONNECTIONS)
      ->num_connections;
}

enum MHD_Result
httpd_queue_json (struct MHD_Connection *connection, unsigned int status,
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
httpd_target_path (struct str target)
{
  const char *query
      = target.size ? memchr (target.data, '?', target.size) : NULL;
  size_t size = query ? (size_t)(query - target.data) : target.size;
  size_t start = 0;
  size_t scheme_end = 0;
  while (scheme_end < size && isalnum ((unsigned char)target.data[scheme_end]))
    scheme_end++;
  if (scheme_end > 0 && scheme_end + 3 <= size
      && memcmp (target.data + scheme_end, "://", 3) == 0)
    {
      start = scheme_end + 3;
      while (start < size && target.data[start] != '/')
        start++;
    }
  return str_view (target.data + start, size - start);
}

struct str
httpd_header (struct MHD_Connection *connection, const char *name)
{
  return str_from (
      MHD_lookup_connection_value (connection, MHD_HEADER_KIND, name));
}

struct str
httpd_query_parameter (struct MHD_Connection *connection, const char *name)
{
  return str_from (
      MHD_lookup_connection_value (connection, MHD_GET_ARGUMENT_KIND, name));
}
