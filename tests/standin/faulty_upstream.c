/* An upstream that violates the protocol on request.  One thread serves each
   connection.

     standin faulty-upstream --listen IP:PORT [--stamp TEXT] [--id ID]

   With --stamp, whole responses have the header that responses of the users'
   platform need.  With --id, requests that expect another instance are refused
   with 421.  X-Answer-Fields: N in a request adds fields of N bytes in
   all, line ends included, to the head of its whole response (N is 0 or at
   least 4, and at most 65536).

   The X-Fault header of a request selects the fault:
     (none)   a complete response at once
     close    reads the request and closes the connection without a response
     twice    a complete response, which is sent again before the response to
              the next request on the connection
     refused-twice  a refusal with 503, which is sent again before the response
              to the next request on the connection
     misdirected-twice  the same with 421, if --id refuses the request
     error-twice  500 to the first request of a token, which is sent again
              before the response to the next request on the connection
     unstamped-twice  the same with 200 and no stamp
     late     a complete response after 1.5 s
     crossed  a response with the id and the token of the previous request,
              which may have come on another connection
     half     a response without the last 10 bytes of the body; closes the
              connection 100 ms later
     cut      half of a response whose body is too large for an entry to
              buffer; closes the connection 100 ms later
   those of the table `long_bodies': a whole response, in chunks that arrive
   together, whose body has the size that X-Body: N states,
   and those of the table `endless', which never end: bytes that are no
   response, or no more of one, until the caller closes.
   Requests are counted by their X-Caller-Token; GET /_runs/TOKEN returns the
   count as the response's token.
   GET /_health reports the state, "leaving" after GET /_leave; the first
   report on a connection is sent again before the response to the next
   request.  Each report is logged.  */
#include "base/net.h"
#include "tests/standin/standin.h"

#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

enum
{
  MAX_HEAD_BYTES = 256 * 1024,
  MAX_ANSWER_FIELDS_BYTES = 65536,
  MAX_BODY_BYTES = 1024 * 1024,
  ANSWER_FIELD_BYTES = 250, /* of one added field */
  MAX_TOKENS = 4096,
  LATE_RESPONSE_MS = 1500,
  CLOSE_DELAY_MS = 100,
  LARGE_BODY_BYTES = 400000,
  PIECES_BYTES = 4096,
  SLOW_PIECE_MS = 20,
  DUPLICATE_LEAD_MS = 10 /* of a report that is sent again */
};

struct request_head
{
  char id[160];
  char expected_instance[160];
  const char *failure; /* status and field of the answer; NULL: none */
  char token[64];
  char fault[32];
  char path[256];
  size_t body_size;
  size_t answer_fields_bytes;
  size_t response_body_bytes; /* of the faults with long bodies */
};

/* Faults that send `start', in which %s is the request's id, and then `piece'
   again and again.  */
static const struct
{
  const char *name;
  const char *start;
  const char *piece;
  bool is_slow; /* a piece each 20 ms, else as fast as the caller reads */
} endless[] = {
  { "endless-status", "HTTP/1.1 200 ", "O", false },
  { "endless-field", "HTTP/1.1 200 OK\r\nX-Long: ", "y", false },
  { "endless-fields", "HTTP/1.1 200 OK\r\n", "X-Many: z\r\n", false },
  { "endless-interim", "", "HTTP/1.1 100 Continue\r\n\r\n", false },
  { "endless-size",
    "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Stamp: s\r\n"
    "Transfer-Encoding: chunked\r\n\r\n",
    "0", false },
  { "endless-chunks",
    "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Stamp: s\r\n"
    "Transfer-Encoding: chunked\r\n\r\n",
    "1\r\nb\r\n", false },
  { "endless-trailer",
    "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Stamp: s\r\n"
    "Transfer-Encoding: chunked\r\n\r\n0\r\n",
    "X-Trailer: z\r\n", false },
  { "endless-body",
    "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Stamp: s\r\n\r\n", "b",
    false },
  { "endless-tail",
    "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Stamp: s\r\n"
    "Content-Length: 5\r\n\r\nwhole",
    "b", false },
  { "slow-head", "HTTP/1.1 200 OK\r\nX-Slow: ", "y", true },
  { "slow-body",
    "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Stamp: s\r\n\r\n", "b",
    true },
};

/* Faults with a body in chunks, all in one write.  */
static const struct
{
  const char *name;
  const char *status; /* and fields, without the last line end */
} long_bodies[] = {
  { "long-error", "500 Internal Server Error\r\nServer-Stamp: s" },
  { "long-refusal", "503 Service Unavailable\r\nNot-Executed: full" },
  { "long-misdirected", "421 Misdirected Request" },
  { "long-unstamped", "200 OK" },
};

static char stamp[64];     /* header line of whole responses, or empty */
static const char *own_id; /* "": requests for any instance are accepted */
static const char *state = "serving"; /* guarded by `mutex' */
static pthread_mutex_t mutex = PTHREAD_MUTEX_INITIALIZER;
static struct request_head last_request; /* of any connection */
static struct
{
  char token[64];
  int runs;
} counts[MAX_TOKENS];

/* Adds INCREMENT to the runs of TOKEN and returns their number.  */
static int
add_runs (const char *token, int increment)
{
  int runs = 0;
  pthread_mutex_lock (&mutex);
  for (int i = 0; i < MAX_TOKENS; i++)
    if (counts[i].token[0] == 0 || strcmp (counts[i].token, token) == 0)
      {
        snprintf (counts[i].token, sizeof counts[i].token, "%s", token);
        counts[i].runs += increment;
        runs = counts[i].runs;
        break;
      }
  pthread_mutex_unlock (&mutex);
  return runs;
}

/* Copies the value of the header field NAME to OUT; "" if there is none.  NAME
   includes the preceding newline and the colon.  */
static void
read_field (const char *head, const char *name, char *out, size_t size)
{
  const char *value = strcasestr (head, name);
  out[0] = 0;
  if (!value)
    return;
  value += strlen (name);
  while (*value == ' ')
    value++;
  size_t length = strcspn (value, "\r\n");
  snprintf (out, size, "%.*s", (int)length, value);
}

/* Reads one request and skips its body; returns false at the end of input and
   if the head is too large.  */
static bool
read_request (FILE *in, struct request_head *request)
{
  char head[MAX_HEAD_BYTES] = "";
  char line[MAX_HEAD_BYTES];
  char length_text[32];
  size_t size = 0;
  while (fgets (line, sizeof line, in))
    {
      size_t length = strlen (line);
      if (size + length >= sizeof head)
        return false;
      memcpy (head + size, line, length + 1);
      size += length;
      if (length <= 2)
        break;
    }
  if (size == 0)
    return false;
  memset (request, 0, sizeof *request);
  sscanf (head, "%*s %255s", request->path);
  read_field (head, "\nRequest-Id:", request->id, sizeof request->id);
  read_field (head, "\nX-Caller-Token:", request->token,
              sizeof request->token);
  read_field (head, "\nX-Fault:", request->fault, sizeof request->fault);
  read_field (head, "\nExpect-Instance:", request->expected_instance,
              sizeof request->expected_instance);
  if (*own_id && strcmp (request->expected_instance, own_id) != 0)
    request->failure = "421 Misdirected Request\r\nInstance-Id: other";
  else if (strcmp (request->fault, "refused-twice") == 0)
    request->failure = "503 Service Unavailable\r\nNot-Executed: full";
  read_field (head, "\nX-Answer-Fields:", length_text, sizeof length_text);
  request->answer_fields_bytes = (size_t)atoll (length_text);
  if (request->answer_fields_bytes > MAX_ANSWER_FIELDS_BYTES)
    return false;
  read_field (head, "\nX-Body:", length_text, sizeof length_text);
  request->response_body_bytes = (size_t)atoll (length_text);
  if (request->response_body_bytes > MAX_BODY_BYTES)
    return false;
  read_field (head, "\nContent-Length:", length_text, sizeof length_text);
  for (request->body_size = (size_t)atoll (length_text);
       request->body_size > 0; request->body_size--)
    if (fgetc (in) == EOF)
      return false;
  return true;
}

/* Writes header lines of SIZE bytes in all to OUT, and a NUL byte.  */
static void
format_answer_fields (char *out, size_t size)
{
  while (size > 0)
    {
      size_t line = size < 2 * ANSWER_FIELD_BYTES ? size : ANSWER_FIELD_BYTES;
      memset (out, 'f', line);
      out[1] = ':';
      memcpy (out + line - 2, "\r\n", 2);
      out += line;
      size -= line;
    }
  *out = 0;
}

/* Sends a response with the id and token of SOURCE, without the last
   OMITTED_BYTES of its body.  */
static void
write_response (int fd, const struct request_head *source,
                size_t omitted_bytes)
{
  char body[256];
  char fields[MAX_ANSWER_FIELDS_BYTES + 1];
  char text[MAX_ANSWER_FIELDS_BYTES + 1024];
  size_t length = (size_t)snprintf (body, sizeof body,
                                    "{\"upstream\":\"rude\",\"token\":\"%s\"}",
                                    source->token);
  format_answer_fields (fields, source->answer_fields_bytes);
  int size = snprintf (text, sizeof text,
                       "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\n%s%s"
                       "Content-Length: %zu\r\n\r\n%.*s",
                       source->id, stamp, fields, length,
                       (int)(length - omitted_bytes), body);
  if (write (fd, text, (size_t)size) != size)
    return;
}

/* Sends the failure of REQUEST, for the first or the second time.  */
static void
write_failure (int fd, const struct request_head *request)
{
  char text[512];
  int size = snprintf (text, sizeof text,
                       "HTTP/1.1 %s\r\nRequest-Id: %s\r\n"
                       "Content-Length: 0\r\n\r\n",
                       request->failure, request->id);
  if (write (fd, text, (size_t)size) != size)
    perror ("standin: write");
}

/* Sends the head and half of the body of a large response.  */
static void
write_half_large_body (int fd, const struct request_head *source)
{
  char text[256];
  size_t half_size = LARGE_BODY_BYTES / 2;
  char *zeros = calloc (1, half_size);
  int size = snprintf (text, sizeof text,
                       "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\n"
                       "Content-Length: %d\r\n\r\n",
                       source->id, LARGE_BODY_BYTES);
  bool sent = zeros && write (fd, text, (size_t)size) == size
              && write (fd, zeros, half_size) == (ssize_t)half_size;
  if (!sent)
    perror ("standin: write");
  free (zeros);
}

/* Sends the fault NUMBER of `long_bodies' in one write, its body in two
   chunks.  */
static void
write_long_body (int fd, const struct request_head *request, size_t number)
{
  size_t first = request->response_body_bytes / 2;
  size_t second = request->response_body_bytes - first;
  char *text = malloc (request->response_body_bytes + 1024);
  if (!text)
    abort ();
  int size = sprintf (text,
                      "HTTP/1.1 %s\r\nRequest-Id: %s\r\n"
                      "Transfer-Encoding: chunked\r\n\r\n%zx\r\n",
                      long_bodies[number].status, request->id, first);
  memset (text + size, 'e', first);
  size += (int)first;
  size += sprintf (text + size, "\r\n%zx\r\n", second);
  memset (text + size, 'e', second);
  size += (int)second;
  size += sprintf (text + size, "\r\n0\r\n\r\n");
  for (ssize_t sent = 0, n = 0; sent < size && n >= 0; sent += n)
    n = send (fd, text + sent, (size_t)(size - sent), MSG_NOSIGNAL);
  free (text);
}

/* Sends the endless fault NUMBER until the caller closes the connection.  */
static void
write_endless (int fd, const struct request_head *request, size_t number)
{
  char pieces[PIECES_BYTES];
  char start[512];
  const char *piece = endless[number].piece;
  size_t size = 0;
  do
    {
      memcpy (pieces + size, piece, strlen (piece));
      size += strlen (piece);
    }
  while (!endless[number].is_slow && size + strlen (piece) <= sizeof pieces);
  int start_size
      = snprintf (start, sizeof start, endless[number].start, request->id);
  ssize_t sent = send (fd, start, (size_t)start_size, MSG_NOSIGNAL);
  while (sent >= 0)
    {
      if (endless[number].is_slow)
        usleep (SLOW_PIECE_MS * 1000);
      sent = send (fd, pieces, size, MSG_NOSIGNAL);
    }
}

/* Sends a report that the state is REPORTED.  */
static void
write_health (int fd, const char *reported)
{
  char text[256];
  int size
      = snprintf (text, sizeof text,
                  "HTTP/1.1 200 OK\r\nContent-Length: %zu\r\n\r\n"
                  "{\"state\":\"%s\"}",
                  strlen (reported) + strlen ("{\"state\":\"\"}"), reported);
  if (send (fd, text, (size_t)size, MSG_NOSIGNAL) != size)
    return;
}

/* Responds to the health check NUMBER of a connection; *FIRST is the state
   that the first one reported.  */
static void
serve_health (int fd, int number, const char **first)
{
  pthread_mutex_lock (&mutex);
  const char *now = state;
  pthread_mutex_unlock (&mutex);
  if (number == 1)
    *first = now;
  if (number == 2)
    {
      write_health (fd, *first);
      usleep (DUPLICATE_LEAD_MS * 1000);
    }
  write_health (fd, now);
  fprintf (stderr, "reported %s\n", now);
}

/* Responds to REQUEST; returns false if the connection is to be closed.
   DUPLICATE is the request whose response is sent again first, or has an empty
   id; it is set for the next request.  */
static bool
serve (int fd, struct request_head *request, struct request_head *duplicate)
{
  struct request_head previous_request;
  if (strcmp (request->path, "/_leave") == 0)
    {
      pthread_mutex_lock (&mutex);
      state = "leaving";
      pthread_mutex_unlock (&mutex);
    }
  if (strncmp (request->path, "/_runs/", 7) == 0)
    {
      struct request_head source = *request;
      snprintf (source.token, sizeof source.token, "%d",
                add_runs (request->path + 7, 0));
      write_response (fd, &source, 0);
      return true;
    }
  if (duplicate->failure)
    write_failure (fd, duplicate);
  else if (duplicate->id[0])
    write_response (fd, duplicate, 0);
  memset (duplicate, 0, sizeof *duplicate);
  bool is_first = !request->failure && add_runs (request->token, 1) == 1;
  if (is_first && strcmp (request->fault, "error-twice") == 0)
    request->failure = "500 Internal Server Error\r\nServer-Stamp: s";
  if (is_first && strcmp (request->fault, "unstamped-twice") == 0)
    request->failure = "200 OK";
  if (request->failure)
    {
      write_failure (fd, request);
      if (strstr (request->fault, "-twice"))
        *duplicate = *request;
      return true;
    }
  pthread_mutex_lock (&mutex);
  previous_request = last_request;
  last_request = *request;
  pthread_mutex_unlock (&mutex);
  if (strcmp (request->fault, "close") == 0)
    return false;
  for (size_t i = 0; i < sizeof endless / sizeof *endless; i++)
    if (strcmp (request->fault, endless[i].name) == 0)
      {
        write_endless (fd, request, i);
        return false;
      }
  for (size_t i = 0; i < sizeof long_bodies / sizeof *long_bodies; i++)
    if (strcmp (request->fault, long_bodies[i].name) == 0)
      {
        write_long_body (fd, request, i);
        return true;
      }
  if (strcmp (request->fault, "late") == 0)
    usleep (LATE_RESPONSE_MS * 1000);
  bool is_half_body = strcmp (request->fault, "half") == 0;
  bool is_half_large_body = strcmp (request->fault, "cut") == 0;
  if (is_half_large_body)
    write_half_large_body (fd, request);
  else
    write_response (fd,
                    strcmp (request->fault, "crossed") == 0 ? &previous_request
                                                            : request,
                    is_half_body ? 10 : 0);
  if (strcmp (request->fault, "twice") == 0)
    *duplicate = *request;
  if (is_half_body || is_half_large_body)
    usleep (CLOSE_DELAY_MS * 1000);
  return !is_half_body && !is_half_large_body;
}

static void *
serve_connection (void *user_data)
{
  int fd = (int)(intptr_t)user_data;
  FILE *in = fdopen (fd, "r");
  struct request_head request;
  struct request_head duplicate = { 0 };
  const char *first_report = NULL;
  int reports = 0;
  bool goes_on = true;
  while (goes_on && read_request (in, &request))
    if (strcmp (request.path, "/_health") == 0)
      serve_health (fd, ++reports, &first_report);
    else
      goes_on = serve (fd, &request, &duplicate);
  fclose (in);
  return NULL;
}

static void
on_accept (void *user_data, int fd, int events)
{
  (void)user_data;
  (void)events;
  pthread_t thread;
  int accepted = accept (fd, NULL, NULL);
  if (accepted < 0)
    return;
  pthread_create (&thread, NULL, serve_connection, (void *)(intptr_t)accepted);
  pthread_detach (thread);
}

int
run_faulty_upstream (int argc, char **argv, apr_pool_t *pool)
{
  struct loop *loop;
  struct err err = { 0 };
  int fd;
  const char *text = option (argc, argv, "--stamp", "");
  if (*text)
    snprintf (stamp, sizeof stamp, "Server-Stamp: %s\r\n", text);
  own_id = option (argc, argv, "--id", "");
  if (loop_create (pool, &loop, &err) != ERR_NONE
      || net_listen (
             str_from (option (argc, argv, "--listen", "127.0.0.1:7510")), 64,
             &fd, &err)
             != ERR_NONE)
    {
      fprintf (stderr, "standin: %s\n", err.detail);
      return 1;
    }
  stop_on_signal (loop);
  loop_watch (loop, fd, LOOP_READ, on_accept, NULL);
  loop_run (loop);
  return 0;
}
