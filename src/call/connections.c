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

static curl_socket_t
open_socket (void *part, curlsocktype purpose, struct curl_sockaddr *address)
{
  (void)purpose;
  struct connection_count *count = part;
  int fd = socket (address->family, address->socktype | SOCK_CLOEXEC,
                   address->protocol);
  if (fd < 0)
    return CURL_SOCKET_BAD;
  count->open++;
  return fd;
}

static int
close_socket (void *part, curl_socket_t fd)
{
  struct connection_count *count = part;
  count->open--;
  count->closed_at[count->closed++ % CONNECTIONS_CLOSED_MAX] = timer_clock ();
  return close (fd);
}

/* Returns the connections that were closed so lately that the upstream may
   not have noticed.  */
static int64_t
closing (const struct connection_count *count, apr_time_t now)
{
  size_t kept = count->closed < CONNECTIONS_CLOSED_MAX
                    ? count->closed
                    : CONNECTIONS_CLOSED_MAX;
  int64_t n = 0;
  while (n < (int64_t)kept
         && now
                    - count->closed_at[(count->closed - 1 - (size_t)n)
                                       % CONNECTIONS_CLOSED_MAX]
                < count->notice_us)
    n++;
  return n;
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
  apr_hash_set (connections->counts, key.data, (apr_ssize_t)key.size, count);
  return count;
}

bool
connection_is_free (const struct connection_count *count, int64_t most,
                    apr_time_t now)
{
  int64_t busy = count->active > count->open ? count->active : count->open;
  return count->open > count->active || busy + closing (count, now) < most;
}

bool
connection_begin (struct connection_count *count, int64_t idle_most)
{
  int64_t idle = count->open - count->active;
  if (idle < 0)
    idle = 0;
  int64_t kept = idle + count->keepers;
  bool is_kept = idle > 0 ? kept <= idle_most : kept < idle_most;
  count->active++;
  count->keepers += is_kept;
  return is_kept;
}

void
connection_end (struct connection_count *count, bool is_kept)
{
  count->active--;
  count->keepers -= is_kept;
}

void
connection_count_sockets (struct connection_count *count, CURL *easy)
{
  curl_easy_setopt (easy, CURLOPT_OPENSOCKETFUNCTION, open_socket);
  curl_easy_setopt (easy, CURLOPT_OPENSOCKETDATA, count);
  curl_easy_setopt (easy, CURLOPT_CLOSESOCKETFUNCTION, close_socket);
  curl_easy_setopt (easy, CURLOPT_CLOSESOCKETDATA, count);
}
