#include "call/connections.h"

#include "base/timer.h"

#include <apr_hash.h>
#include <sys/socket.h>
#include <unistd.h>

/* types */

struct connections
{
  apr_pool_t *pool;
  apr_hash_t *counts; /* struct connection_count by address */
};

/* private functions */

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
  return history ? *history
                 : (struct connection_history){ .local_port = local_port };
}

void
connection_add_response (struct connection_count *count, int local_port,
                         apr_time_t now)
{
  struct connection_history *history = find_history (count, local_port);
  if (!history)
    {
      history = take_history (count);
      *history = (struct connection_history){ .local_port = local_port };
    }
  history->responses++;
  history->responded_at = now;
}
