#include "call/attempt.h"

#include "call/limits.h"

#include <apr_strings.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

/* constants */

enum
{
  EXPECT_MAX_WAIT_MS = 1000, /* then the body is sent without it */
  /* Each line copies the value before it, so without a limit a head of the
     largest size takes some hundred megabytes.  */
  MAX_FOLDED_LINES = 16,
  LINK_RECEIVE_BUFFER_BYTES = 65536 /* of sockets to another region */
};

/* private functions */

/* Called by libcurl when a connection is ready, right before it sends the
   request.  */
static int
on_prerequest (void *user_data, char *peer, char *self, int peer_port,
               int self_port)
{
  (void)peer;
  (void)self;
  (void)peer_port;
  struct attempt *attempt = user_data;
  long connects = 0;
  /* A process that was suspended must not start a call after the deadline:
     the slot may have been reclaimed by another entry by then.  */
  if (attempt->sent || timer_clock () >= attempt->desc.deadline)
    return CURL_PREREQFUNC_ABORT;
  curl_easy_getinfo (attempt->transfer.easy, CURLINFO_NUM_CONNECTS, &connects);
  attempt->connection = connection_history (attempt->desc.connections,
                                            self_port, connects > 0);
  attempt->sent = true;
  return CURL_PREREQFUNC_OK;
}

/* Reads bytes of the request body for libcurl, at the rate that the link
   allows.  */
static size_t
on_read (char *out, size_t item_size, size_t size, void *user_data)
{
  struct attempt *attempt = user_data;
  size_t allowed = body_unread (attempt->desc.body);
  if (allowed > item_size * size)
    allowed = item_size * size;
  if (allowed > 0 && attempt->desc.link_out)
    {
      allowed = steer_link_consume (attempt->desc.link_out, allowed,
                                    timer_clock ());
      if (allowed == 0)
        {
          attempt->paused_read = attempt->paused_by_link = true;
          return CURL_READFUNC_PAUSE;
        }
    }
  size_t n = body_read (attempt->desc.body, out, allowed);
  if (n > 0)
    {
      attempt->desc.event (attempt->desc.user_data, attempt,
                           ATTEMPT_BODY_SPACE);
      return n;
    }
  if (*attempt->desc.body_ended)
    return 0;
  attempt->paused_read = true;
  return CURL_READFUNC_PAUSE;
}

/* Called at the end of a head.  Skips interim (1xx) heads.  Returns false if a
   final head belongs to another request.  */
static bool
handle_head (struct attempt *attempt)
{
  if (!http_head_is_final (&attempt->head))
    return true;
  attempt->status = attempt->head.status;
  if (attempt->desc.must_echo
      && !str_equal (headers_get (&attempt->headers, "Request-Id"),
                     attempt->desc.request_id))
    {
      attempt->echo_mismatch = true;
      connection_distrust (attempt->desc.connections, timer_clock ());
      return false;
    }
  attempt->response_size
      = attempt->head.has_length ? attempt->head.length : -1;
  attempt->has_head = true;
  /* An upstream that responds before it has read the whole request body may
     read the rest from this connection, or take the next request for it.  */
  if (attempt->desc.body_size != 0
      && (!*attempt->desc.body_ended || body_unread (attempt->desc.body) > 0))
    attempt_close_connection (attempt);
  attempt->head_at = timer_clock ();
  attempt->desc.event (attempt->desc.user_data, attempt, ATTEMPT_HEAD);
  return true;
}

/* Handles one line of a head: a status line, a field, or the empty line at its
   end.  */
static size_t
on_header (char *data, size_t item_size, size_t size, void *user_data)
{
  struct attempt *attempt = user_data;
  size *= item_size;
  /* Of all heads, interim ones and trailers included: libcurl keeps them.  */
  attempt->head_bytes += size;
  if (attempt->head_bytes > MAX_HEAD_BYTES)
    return 0;
  /* Lines after the body are trailers, which are not forwarded.  */
  if (attempt->has_head)
    return size;
  switch (http_head_add_line (&attempt->head, str_view (data, size)))
    {
    case HTTP_HEAD_STATUS:
      attempt->headers.count = 0;
      return size;
    case HTTP_HEAD_FIELD:
      if (attempt->headers.count == MAX_HEADERS)
        return 0;
      headers_add (&attempt->headers, attempt->head.name, attempt->head.value);
      return size;
    case HTTP_HEAD_FOLD:
      if (attempt->folded_lines++ == MAX_FOLDED_LINES)
        return 0;
      headers_continue_last (&attempt->headers, attempt->head.value);
      return size;
    case HTTP_HEAD_END:
      return handle_head (attempt) ? size : 0;
    case HTTP_HEAD_MALFORMED:
      break;
    }
  return 0;
}

/* Buffers bytes of the response.  Pauses the transfer if the link's rate limit
   is used up, or if the buffer has no space for all of them.  */
static size_t
on_write (char *data, size_t item_size, size_t size, void *user_data)
{
  struct attempt *attempt = user_data;
  size *= item_size;
  bool link_is_full
      = attempt->desc.link_in
        && steer_link_consume (attempt->desc.link_in, 1, timer_clock ()) == 0;
  attempt->paused_by_link |= link_is_full;
  if (link_is_full || body_space (&attempt->response) < size)
    {
      attempt->paused_write = true;
      return CURL_WRITEFUNC_PAUSE;
    }
  /* libcurl has read these bytes already, so they count in full, beyond the
     limit if need be; the next read waits until that is made up for.  */
  if (attempt->desc.link_in)
    steer_link_debit (attempt->desc.link_in, size, timer_clock ());
  body_write (&attempt->response, data, size);
  attempt->desc.event (attempt->desc.user_data, attempt, ATTEMPT_DATA);
  return size;
}

/* Stops counting the attempt as active, if that was not done yet.  */
static void
release_connection (struct attempt *attempt)
{
  if (!attempt->connection_released)
    connection_end (attempt->desc.connections, attempt->keeps_connection);
  attempt->connection_released = true;
}

static void
on_done (void *user_data, CURLcode result)
{
  struct attempt *attempt = user_data;
  release_connection (attempt);
  if (attempt->has_head)
    connection_add_response (
        attempt->desc.connections, attempt->connection.local_port,
        headers_get (&attempt->headers, "Keep-Alive"), timer_clock ());
  attempt->done = true;
  attempt->result = result;
  /* Without a final head there is no response, even if libcurl reports
     success.  */
  if (result == CURLE_OK && !attempt->has_head)
    attempt->result = CURLE_GOT_NOTHING;
  attempt->desc.event (attempt->desc.user_data, attempt, ATTEMPT_DONE);
}

/* Adds a field to the request.  NAME and VALUE are NUL-terminated.  */
static void
add_header (struct attempt *attempt, struct str name, struct str value)
{
  /* libcurl sends a field without a value only if the line ends in ";".  */
  const char *format = value.size > 0 ? "%s: %s" : "%s;";
  size_t size = name.size + value.size + sizeof ": ";
  char *line = malloc (size);
  if (!line)
    abort ();
  apr_snprintf (line, size, format, name.data, value.data);
  attempt->header_list = curl_slist_append (attempt->header_list, line);
  free (line);
}

/* Makes the list of fields to send.  */
static void
set_headers (struct attempt *attempt)
{
  const struct attempt_desc *desc = &attempt->desc;
  for (size_t i = 0; i < desc->headers->count; i++)
    {
      const struct header *h = &desc->headers->items[i];
      if (!headers_is_hop_by_hop (desc->headers, h->name)
          && !headers_has (desc->override_headers, h->name))
        add_header (attempt, h->name, h->value);
    }
  for (size_t i = 0; i < desc->override_headers->count; i++)
    add_header (attempt, desc->override_headers->items[i].name,
                desc->override_headers->items[i].value);
  /* Suppress fields that libcurl adds by default.  */
  attempt->header_list
      = curl_slist_append (attempt->header_list, "Accept-Encoding:");
  if (headers_get (desc->headers, "Accept").size == 0)
    attempt->header_list = curl_slist_append (attempt->header_list, "Accept:");
  bool expects = desc->body_size < 0 || desc->body_size > EXPECT_MIN_BYTES;
  attempt->header_list = curl_slist_append (
      attempt->header_list, expects ? "Expect: 100-continue" : "Expect:");
  if (desc->body_size == 0 && !str_equal (desc->method, STR ("GET"))
      && !desc->is_head)
    attempt->header_list
        = curl_slist_append (attempt->header_list, "Content-Length: 0");
}

/* Sets options of a new connection's socket.  */
static int
set_socket (void *user_data, curl_socket_t fd, curlsocktype purpose)
{
  (void)purpose;
  const struct attempt *attempt = user_data;
  int size = LINK_RECEIVE_BUFFER_BYTES;
  unsigned int limit_ms = (unsigned int)attempt->desc.tcp_user_timeout_ms;
  /* Bounds what the upstream can send before the link's rate limiter sees
     it.  */
  if (attempt->desc.link_in)
    setsockopt (fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof size);
  if (limit_ms > 0)
    setsockopt (fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &limit_ms, sizeof limit_ms);
  return CURL_SOCKOPT_OK;
}

static void
set_body (struct attempt *attempt)
{
  CURL *easy = attempt->transfer.easy;
  const struct attempt_desc *desc = &attempt->desc;
  if (desc->is_head)
    curl_easy_setopt (easy, CURLOPT_NOBODY, 1L);
  if (desc->body_size != 0)
    {
      curl_easy_setopt (easy, CURLOPT_UPLOAD, 1L);
      curl_easy_setopt (easy, CURLOPT_READFUNCTION, on_read);
      curl_easy_setopt (easy, CURLOPT_READDATA, attempt);
      curl_easy_setopt (easy, CURLOPT_INFILESIZE_LARGE,
                        (curl_off_t)desc->body_size);
      curl_easy_setopt (easy, CURLOPT_UPLOAD_BUFFERSIZE,
                        (long)UPLOAD_BUFFER_BYTES);
      curl_easy_setopt (easy, CURLOPT_EXPECT_100_TIMEOUT_MS,
                        (long)EXPECT_MAX_WAIT_MS);
    }
  curl_easy_setopt (easy, CURLOPT_CUSTOMREQUEST, desc->method.data);
}

/* public functions */

struct attempt *
attempt_start (const struct attempt_desc *desc)
{
  struct attempt *attempt = apr_pcalloc (desc->pool, sizeof *attempt);
  CURL *easy = curl_easy_init ();
  if (!easy)
    abort ();
  attempt->desc = *desc;
  attempt->transfer = (struct curl_transfer){ easy, on_done, attempt };
  attempt->response_size = -1;
  attempt->started_at = timer_clock ();
  headers_init (&attempt->headers, desc->pool);
  body_init (&attempt->response, desc->max_response_bytes);
  set_headers (attempt);
  curl_easy_setopt (
      easy, CURLOPT_URL,
      apr_pstrcat (desc->pool, "http://", desc->address.data, "/", NULL));
  curl_easy_setopt (easy, CURLOPT_REQUEST_TARGET, desc->target.data);
  curl_easy_setopt (easy, CURLOPT_HTTPHEADER, attempt->header_list);
  set_body (attempt);
  curl_easy_setopt (easy, CURLOPT_HTTP_VERSION, (long)CURL_HTTP_VERSION_1_1);
  curl_easy_setopt (easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (easy, CURLOPT_PROXY, "");
  curl_easy_setopt (easy, CURLOPT_TCP_NODELAY, 1L);
  curl_easy_setopt (easy, CURLOPT_ERRORBUFFER, attempt->error);
  curl_easy_setopt (easy, CURLOPT_HEADERFUNCTION, on_header);
  curl_easy_setopt (easy, CURLOPT_HEADERDATA, attempt);
  curl_easy_setopt (easy, CURLOPT_WRITEFUNCTION, on_write);
  curl_easy_setopt (easy, CURLOPT_WRITEDATA, attempt);
  curl_easy_setopt (easy, CURLOPT_PREREQFUNCTION, on_prerequest);
  curl_easy_setopt (easy, CURLOPT_PREREQDATA, attempt);
  curl_easy_setopt (easy, CURLOPT_CONNECTTIMEOUT_MS,
                    (long)desc->connect_timeout_ms);
  curl_easy_setopt (easy, CURLOPT_SOCKOPTFUNCTION, set_socket);
  curl_easy_setopt (easy, CURLOPT_SOCKOPTDATA, attempt);
  if (desc->max_idle_s > 0)
    curl_easy_setopt (easy, CURLOPT_MAXAGE_CONN, (long)desc->max_idle_s);
  bool is_alone
      = desc->new_connection
        || connection_is_distrusted (desc->connections, attempt->started_at);
  attempt->keeps_connection = connection_begin (
      desc->connections, is_alone ? 0 : desc->max_idle_connections);
  connection_track_sockets (desc->connections, easy);
  if (is_alone)
    curl_easy_setopt (easy, CURLOPT_FRESH_CONNECT, 1L);
  if (!attempt->keeps_connection)
    curl_easy_setopt (easy, CURLOPT_FORBID_REUSE, 1L);
  if (curl_loop_add (desc->curl_loop, &attempt->transfer) != ERR_NONE)
    abort ();
  return attempt;
}

void
attempt_destroy (struct attempt *attempt)
{
  if (!attempt)
    return;
  if (!attempt->done)
    curl_loop_remove (attempt->desc.curl_loop, &attempt->transfer);
  release_connection (attempt);
  curl_easy_cleanup (attempt->transfer.easy);
  curl_slist_free_all (attempt->header_list);
  body_free (&attempt->response);
}

void
attempt_resume (struct attempt *attempt)
{
  bool can_read
      = attempt->paused_read
        && (body_unread (attempt->desc.body) > 0 || *attempt->desc.body_ended);
  /* A response that is buffered whole isn't read before it is complete; the
     buffer has space for all of it.  */
  bool can_write = attempt->paused_write
                   && (attempt_response_fits (attempt)
                       || body_unread (&attempt->response)
                              < attempt->desc.max_response_bytes / 2);
  if (attempt->done || (!can_read && !can_write))
    return;
  attempt->paused_read = false;
  attempt->paused_write = false;
  attempt->paused_by_link = false;
  curl_loop_unpause (&attempt->transfer);
}

void
attempt_close_connection (struct attempt *attempt)
{
  curl_easy_setopt (attempt->transfer.easy, CURLOPT_FORBID_REUSE, 1L);
}

void
attempt_extend_response (struct attempt *attempt, size_t max_bytes)
{
  if (attempt->response.limit < max_bytes)
    attempt->response.limit = max_bytes;
}

void
attempt_drop_response (struct attempt *attempt)
{
  attempt->response.size = attempt->response.read = 0;
}

bool
attempt_response_fits (const struct attempt *attempt)
{
  return attempt->has_head && attempt->response_size >= 0
         && attempt->response_size
                <= (int64_t)attempt->desc.max_response_bytes;
}

const char *
attempt_failure_reason (const struct attempt *attempt)
{
  if (attempt->echo_mismatch)
    return "the answer belongs to another request";
  if (attempt->head.problem)
    return attempt->head.problem;
  if (attempt->error[0])
    return attempt->error;
  return curl_easy_strerror (attempt->result);
}
