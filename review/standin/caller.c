/* Clients of the users' platform, as PROTOCOL.md describes them: each thread
   keeps one connection for its requests and opens a new one if it was closed.

     caller --connect IP:PORT --name NAME --record FILE [--threads N]
       [--requests N] [--seconds N] [--gap-ms N] [--method M] [--target PATH]
       [--host H] [--deadline-ms N] [--cookie-bytes N] [--short-first yes]
       [--body-bytes N]

   --requests and --seconds limit what each thread sends.  With --cookie-bytes
   the head has a Cookie field of that size, but, with --short-first, for the
   first request on a connection.  In PATH, `%N' stands for the number of the
   request.

   A POST has a body of --body-bytes.  A caller waits for an answer until the
   deadline that it states.

   Record: "sent ID kept|new", "answered ID STATUS server|own", "cut ID" (the
   connection ended without a whole answer), "unanswered ID" (no answer until
   the deadline), "unread ID" (no connection could be opened).  "own" is an
   answer without a Server-Stamp.  */
#include "common.h"

#include <errno.h>
#include <getopt.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

enum
{
  RECONNECT_MS = 200,
  MAX_THREADS = 200,
  MAX_TARGET_BYTES = 1024
};

static struct
{
  const char *address;
  const char *name;
  const char *method;
  const char *target;
  const char *host;
  long threads;
  long requests;
  long seconds;
  long gap_ms;
  long deadline_ms;
  long cookie_bytes;
  long body_bytes;
  bool short_first;
} options = { .method = "GET",
              .target = "/",
              .host = "shop.example",
              .threads = 1,
              .requests = 1000000,
              .seconds = 60,
              .deadline_ms = 2000,
              .body_bytes = 4 };

static char *body;

static bool
has_body (void)
{
  return strcmp (options.method, "POST") == 0;
}

/* Writes the target of request NUMBER to OUT.  */
static void
write_target (char *out, long number)
{
  const char *mark = strstr (options.target, "%N");
  if (mark)
    snprintf (out, MAX_TARGET_BYTES, "%.*s%ld%s", (int)(mark - options.target),
              options.target, number, mark + 2);
  else
    snprintf (out, MAX_TARGET_BYTES, "%s", options.target);
}

/* Writes the head of the request ID to OUT, which has MAX_HEAD_BYTES; returns
   its size.  */
static size_t
write_head (char *out, const char *id, long number, long cookie_bytes)
{
  char target[MAX_TARGET_BYTES];
  write_target (target, number);
  size_t n = (size_t)sprintf (
      out,
      "%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %ld\r\n",
      options.method, target, options.host, id, options.deadline_ms);
  if (has_body ())
    n += (size_t)sprintf (out + n, "Content-Length: %ld\r\n",
                          options.body_bytes);
  if (cookie_bytes > 0)
    {
      n += (size_t)sprintf (out + n, "Cookie: Affinity-Key=17; rest=");
      memset (out + n, 'v', (size_t)cookie_bytes);
      n += (size_t)cookie_bytes;
      n += (size_t)sprintf (out + n, "\r\n");
    }
  memcpy (out + n, "\r\n", 2);
  return n + 2;
}

/* Receives the answer to ID and records it; returns false if the connection
   can't be used again.  */
static bool
receive (struct stream *stream, char *head, const char *id)
{
  char stamp[MAX_ID_BYTES];
  char connection[MAX_ID_BYTES];
  int status = 0;
  errno = 0;
  if (read_head (stream, head) == 0
      || sscanf (head, "HTTP/1.1 %d", &status) != 1
      || !skip_body (stream, head, true))
    {
      record_line ("%s %s", errno == EAGAIN ? "unanswered" : "cut", id);
      return false;
    }
  read_field (head, "Server-Stamp", stamp, sizeof stamp);
  read_field (head, "Connection", connection, sizeof connection);
  record_line ("answered %s %d %s", id, status, stamp[0] ? "server" : "own");
  return strcasecmp (connection, "close") != 0;
}

static void *
run (void *user_data)
{
  long thread = (long)user_data;
  struct stream *stream = calloc (1, sizeof *stream);
  char *head = malloc (MAX_HEAD_BYTES);
  long long until = now_ms () + options.seconds * 1000;
  bool is_kept = false;
  stream->fd = -1;
  for (long i = 0; i < options.requests && now_ms () < until; i++)
    {
      char id[MAX_ID_BYTES];
      snprintf (id, sizeof id, "%s-%ld-%ld", options.name, thread, i);
      if (stream->fd < 0)
        {
          stream->size = 0;
          stream->fd = connect_to (options.address, options.deadline_ms);
          is_kept = false;
        }
      if (stream->fd < 0)
        {
          record_line ("unread %s", id);
          sleep_ms (RECONNECT_MS);
          continue;
        }
      size_t size = write_head (
          head, id, thread * 100000 + i,
          options.short_first && !is_kept ? 0 : options.cookie_bytes);
      record_line ("sent %s %s", id, is_kept ? "kept" : "new");
      bool is_sent
          = send_all (stream->fd, head, size)
            && (!has_body ()
                || send_all (stream->fd, body, (size_t)options.body_bytes));
      if (!is_sent)
        record_line ("cut %s", id);
      is_kept = is_sent && receive (stream, head, id);
      if (!is_kept)
        {
          close (stream->fd);
          stream->fd = -1;
        }
      sleep_ms (options.gap_ms);
    }
  if (stream->fd >= 0)
    close (stream->fd);
  free (stream);
  free (head);
  return NULL;
}

int
main (int argc, char **argv)
{
  static const struct option long_options[]
      = { { "connect", required_argument, NULL, 'a' },
          { "name", required_argument, NULL, 'n' },
          { "record", required_argument, NULL, 'r' },
          { "threads", required_argument, NULL, 't' },
          { "requests", required_argument, NULL, 'q' },
          { "seconds", required_argument, NULL, 's' },
          { "gap-ms", required_argument, NULL, 'g' },
          { "method", required_argument, NULL, 'm' },
          { "target", required_argument, NULL, 'p' },
          { "host", required_argument, NULL, 'h' },
          { "deadline-ms", required_argument, NULL, 'd' },
          { "cookie-bytes", required_argument, NULL, 'c' },
          { "short-first", required_argument, NULL, 'k' },
          { "body-bytes", required_argument, NULL, 'y' },
          { NULL, 0, NULL, 0 } };
  const char *record = "";
  pthread_t threads[MAX_THREADS];
  int option;
  while ((option = getopt_long (argc, argv, "", long_options, NULL)) != -1)
    switch (option)
      {
      case 'a':
        options.address = optarg;
        break;
      case 'n':
        options.name = optarg;
        break;
      case 'r':
        record = optarg;
        break;
      case 't':
        options.threads = atol (optarg);
        break;
      case 'q':
        options.requests = atol (optarg);
        break;
      case 's':
        options.seconds = atol (optarg);
        break;
      case 'g':
        options.gap_ms = atol (optarg);
        break;
      case 'm':
        options.method = optarg;
        break;
      case 'p':
        options.target = optarg;
        break;
      case 'h':
        options.host = optarg;
        break;
      case 'd':
        options.deadline_ms = atol (optarg);
        break;
      case 'c':
        options.cookie_bytes = atol (optarg);
        break;
      case 'y':
        options.body_bytes = atol (optarg);
        break;
      case 'k':
        options.short_first = strcmp (optarg, "yes") == 0;
        break;
      default:
        return 2;
      }
  if (options.threads > MAX_THREADS
      || options.cookie_bytes > MAX_HEAD_BYTES / 2)
    return 2;
  record_open (record, options.name);
  body = malloc ((size_t)options.body_bytes + 1);
  if (!body)
    return 2;
  memset (body, 'p', (size_t)options.body_bytes);
  for (long i = 0; i < options.threads; i++)
    if (pthread_create (&threads[i], NULL, run, (void *)i) != 0)
      return 2;
  for (long i = 0; i < options.threads; i++)
    pthread_join (threads[i], NULL);
  return 0;
}
