#include "call/connections.h"

#include "base/timer.h"

#include <apr_hash.h>
#include <errno.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* constants */

enum
{
  KEEP_ALIVE_MAX_S = 3600 /* longer ones count as not stated */
};

/* types */

struct connections
{
  apr_pool_t *pool;
  apr_hash_t *counts;            /* struct connection_count by address */
  struct connection_count *lost; /* list, see connections_lost */
};

/* private functions */

/* Returns the history of the connection from LOCAL_PORT, or NULL.  */
static struct connection_history *
find_history (const struct connection_count *count, int local_port)
{
  struct connection_history *items
      = (struct connection_history *)count->histories->elts;
  for (int i = 0; i < count->histories->nelts; i++)
    if (items[i].local_port == local_port)
      return &items[i];
  return NULL;
}

/* Returns whether the peer of the socket FD has closed its end.  */
static bool
is_closed_by_peer (curl_socket_t fd)
{
  char byte;
  ssize_t size = recv (fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return size == 0 || (size < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

static int
local_port (curl_socket_t fd)
{
  struct sockaddr_in address = { 0 };
  socklen_t size = sizeof address;
  if (getsockname (fd, (struct sockaddr *)&address, &size) != 0
      || address.sin_family != AF_INET)
    return 0;
  return ntohs (address.sin_port);
}

/* Lists COUNT as lost if FD, which is about to be closed, is an idle
   connection that the upstream closed sooner than it had stated.  */
static void
check_idle_close (struct connection_count *count, curl_socket_t fd)
{
  struct connections *owner = count->owner;
  struct connection_history *history = find_history (count, local_port (fd));
  if (!history)
    return;
  bool is_early = timer_clock () < history->kept_until;
  history->kept_until = 0;
  if (!is_early || count->is_lost || !is_closed_by_peer (fd))
    return;
  count->is_lost = true;
  count->next_lost = owner->lost;
  owner->lost = count;
}

/* Returns the seconds of the parameter `timeout' of the field KEEP_ALIVE; 0 if
   there is none, or if the number of requests is limited too.  */
static int64_t
parse_keep_alive (struct str keep_alive)
{
  static const char name[] = "timeout=";
  char text[64];
  snprintf (text, sizeof text, "%.*s", STR_ARGS (keep_alive));
  const char *found = strstr (text, name);
  if (!found || strstr (text, "max="))
    return 0;
  int64_t seconds = strtoll (found + sizeof name - 1, NULL, 10);
  return seconds > 0 && seconds < KEEP_ALIVE_MAX_S ? seconds : 0;
}

/* libcurl's callbacks for opening and closing a socket; USER_DATA is the
   connection_count.  */

static curl_socket_t
open_socket (void *user_data, curlsocktype purpose,
             struct curl_sockaddr *address)
{
  (void)purpose;
  struct connection_count *count = user_data;
  int fd = socket (address->family, address->socktype | SOCK_CLOEXEC,
                   address->protocol);
  if (fd < 0)
    return CURL_SOCKET_BAD;
  count->open++;
  return fd;
}

static int
close_socket (void *user_data, curl_socket_t fd)
{
  struct connection_count *count = user_data;
  check_idle_close (count, fd);
  count->open--;
  count->closed_at[count->closed++ % CONNECTIONS_CLOSED_MAX] = timer_clock ();
  return close (fd);
}

/* Returns the number of connections closed so recently that the upstream may
   not have noticed yet.  */
static int64_t
count_closing (const struct connection_count *count, apr_time_t now)
{
  size_t remembered = count->closed < CONNECTIONS_CLOSED_MAX
                          ? count->closed
                          : CONNECTIONS_CLOSED_MAX;
  int64_t n = 0;
  while (n < (int64_t)remembered
         && now
                    - count->closed_at[(count->closed - 1 - (size_t)n)
                                       % CONNECTIONS_CLOSED_MAX]
                < count->close_delay_us)
    n++;
  return n;
}

/* Returns an entry for one more history: a new one, or the one that carried a
   response least recently.  */
static struct connection_history *
take_history (struct connection_count *count)
{
  struct connection_history *items
      = (struct connection_history *)count->histories->elts;
  struct connection_history *oldest = items;
  if (count->histories->nelts < CONNECTIONS_HISTORY_MAX)
    return apr_array_push (count->histories);
  for (int i = 1; i < CONNECTIONS_HISTORY_MAX; i++)
    if (items[i].responded_at < oldest->responded_at)
      oldest = &items[i];
  return oldest;
}

/* public functions */

struct connections *
connections_create (apr_pool_t *pool)
{
  struct connections *connections = apr_pcalloc (pool, sizeof *connections);
  connections->pool = pool;
  connections->counts = apr_hash_make (pool);
  return connections;
}

struct connection_count *
connections_get (struct connections *connections, struct str address)
{
  struct connection_count *count = apr_hash_get (
      connections->counts, address.data, (apr_ssize_t)address.size);
  if (count)
    return count;
  struct str key = str_dup (connections->pool, address);
  count = apr_pcalloc (connections->pool, sizeof *count);
  count->owner = connections;
  count->address = key;
  count->histories = apr_array_make (connections->pool, 1,
                                     sizeof (struct connection_history));
  apr_hash_set (connections->counts, key.data, (apr_ssize_t)key.size, count);
  return count;
}

bool
connection_is_available (const struct connection_count *count,
                         int64_t max_open, apr_time_t now)
{
  int64_t busy = count->active > count->open ? count->active : count->open;
  return (count->open > count->active
          && !connection_is_distrusted (count, now))
         || busy + count_closing (count, now) < max_open;
}

bool
connection_begin (struct connection_count *count, int64_t max_idle)
{
  int64_t idle = count->open - count->active;
  if (idle < 0)
    idle = 0;
  int64_t kept = idle + count->kept_active;
  bool is_kept = idle > 0 ? kept <= max_idle : kept < max_idle;
  count->active++;
  count->kept_active += is_kept;
  return is_kept;
}

void
connection_end (struct connection_count *count, bool is_kept)
{
  count->active--;
  count->kept_active -= is_kept;
}

void
connection_track_sockets (struct connection_count *count, CURL *easy)
{
  curl_easy_setopt (easy, CURLOPT_OPENSOCKETFUNCTION, open_socket);
  curl_easy_setopt (easy, CURLOPT_OPENSOCKETDATA, count);
  curl_easy_setopt (easy, CURLOPT_CLOSESOCKETFUNCTION, close_socket);
  curl_easy_setopt (easy, CURLOPT_CLOSESOCKETDATA, count);
}

void
connection_distrust (struct connection_count *count, apr_time_t now)
{
  count->distrusted_until = now + apr_time_from_sec (CONNECTIONS_DISTRUST_S);
}

bool
connection_is_distrusted (const struct connection_count *count, apr_time_t now)
{
  return now < count->distrusted_until;
}

struct connection_history
connection_history (struct connection_count *count, int local_port,
                    bool is_new)
{
  struct connection_history *history = find_history (count, local_port);
  if (history && is_new)
    *history = (struct connection_history){ .local_port = local_port };
  if (history)
    history->kept_until = 0;
  return history ? *history
                 : (struct connection_history){ .local_port = local_port };
}

void
connection_add_response (struct connection_count *count, int local_port,
                         struct str keep_alive, apr_time_t now)
{
  struct connection_history *history = find_history (count, local_port);
  if (!history)
    {
      history = take_history (count);
      *history = (struct connection_history){ .local_port = local_port };
    }
  history->responses++;
  history->responded_at = now;
  int64_t seconds = parse_keep_alive (keep_alive);
  history->kept_until = seconds > 0 ? now + apr_time_from_sec (seconds) : 0;
}

struct str
connections_lost (struct connections *connections)
{
  struct connection_count *count = connections->lost;
  if (!count)
    return STR ("");
  connections->lost = count->next_lost;
  count->is_lost = false;
  return count->address;
}
