/* An upstream that breaks its protocol on purpose, one thread a connection.

     standin rude --listen IP:PORT

   The X-Fault header of a request says how it is answered:
     (none)  whole and at once       close   read whole, closed unanswered
     twice   and once more when the next request on the connection was read
     late    after 1.5 s
     crossed with the id and token of the request before, on any connection
     half    half of the body, closed 100 ms later
     cut     half of a body too large to be held, closed 100 ms later
   Requests are counted by their X-Caller-Token; GET /_runs/TOKEN answers
   the count.  */
#include "base/net.h"
#include "tests/standin/standin.h"

#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <unistd.h>

enum
{
  HEAD_MAX_BYTES = 16384,
  TOKENS_MAX = 4096,
  LATE_MS = 1500,
  CUT_DELAY_MS = 100,
  CUT_BODY_BYTES = 400000
};

struct request_head
{
  char id[160];
  char token[64];
  char fault[16];
  char path[256];
  size_t body;
};

static pthread_mutex_t mutex = PTHREAD_MUTEX_INITIALIZER;
static struct request_head previous;
static struct
{
  char token[64];
  int runs;
} counts[TOKENS_MAX];

static int
count_token (const char *token, int add)
{
  int runs = 0;
  pthread_mutex_lock (&mutex);
  for (int i = 0; i < TOKENS_MAX; i++)
    if (counts[i].token[0] == 0 || strcmp (counts[i].token, token) == 0)
      {
        snprintf (counts[i].token, sizeof counts[i].token, "%s", token);
        counts[i].runs += add;
        runs = counts[i].runs;
        break;
      }
  pthread_mutex_unlock (&mutex);
  return runs;
}

static void
take_field (const char *head, const char *name, char *out, size_t size)
{
  const char *at = strcasestr (head, name);
  out[0] = 0;
  if (!at)
    return;
  at += strlen (name);
  while (*at == ' ')
    at++;
  size_t n = strcspn (at, "\r\n");
  snprintf (out, size, "%.*s", (int)n, at);
}

/* Reads one head and its body; returns false at the end of input.  */
static bool
read_request (FILE *in, struct request_head *request)
{
  char head[HEAD_MAX_BYTES] = "";
  char line[4096];
  char length[32];
  size_t size = 0;
  while (fgets (line, sizeof line, in))
    {
      size_t n = strlen (line);
      if (size + n >= sizeof head)
        return false;
      memcpy (head + size, line, n + 1);
      size += n;
      if (n <= 2)
        break;
    }
  if (size == 0)
    return false;
  memset (request, 0, sizeof *request);
  sscanf (head, "%*s %255s", request->path);
  take_field (head, "\nRequest-Id:", request->id, sizeof request->id);
  take_field (head, "\nX-Caller-Token:", request->token,
              sizeof request->token);
  take_field (head, "\nX-Fault:", request->fault, sizeof request->fault);
  take_field (head, "\nContent-Length:", length, sizeof length);
  for (request->body = (size_t)atoll (length); request->body > 0;
       request->body--)
    if (fgetc (in) == EOF)
      return false;
  return true;
}

static void
write_answer (int fd, const struct request_head *as, size_t cut)
{
  char body[256];
  char text[1024];
  size_t n = (size_t)snprintf (body, sizeof body,
                               "{\"upstream\":\"rude\",\"token\":\"%s\"}",
                               as->token);
  int size = snprintf (text, sizeof text,
                       "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\n"
                       "Content-Length: %zu\r\n\r\n%.*s",
                       as->id, n, (int)(n - cut), body);
  if (write (fd, text, (size_t)size) != size)
    return;
}

/* Sends half of a large body.  */
static void
write_half_body (int fd, const struct request_head *as)
{
  char text[256];
  size_t body = CUT_BODY_BYTES / 2;
  char *zeros = calloc (1, body);
  int size = snprintf (text, sizeof text,
                       "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\n"
                       "Content-Length: %d\r\n\r\n",
                       as->id, CUT_BODY_BYTES);
  bool sent = zeros && write (fd, text, (size_t)size) == size
              && write (fd, zeros, body) == (ssize_t)body;
  if (!sent)
    perror ("standin: write");
  free (zeros);
}

/* Returns false if the connection is to be closed.  AGAIN: whose answer is
   sent once more first; an empty id: nobody's.  */
static bool
serve (int fd, const struct request_head *request, struct request_head *again)
{
  struct request_head before;
  if (strncmp (request->path, "/_runs/", 7) == 0)
    {
      struct request_head as = *request;
      snprintf (as.token, sizeof as.token, "%d",
                count_token (request->path + 7, 0));
      write_answer (fd, &as, 0);
      return true;
    }
  count_token (request->token, 1);
  if (again->id[0])
    write_answer (fd, again, 0);
  memset (again, 0, sizeof *again);
  pthread_mutex_lock (&mutex);
  before = previous;
  previous = *request;
  pthread_mutex_unlock (&mutex);
  if (strcmp (request->fault, "close") == 0)
    return false;
  if (strcmp (request->fault, "late") == 0)
    usleep (LATE_MS * 1000);
  bool is_half = strcmp (request->fault, "half") == 0;
  bool is_cut = strcmp (request->fault, "cut") == 0;
  if (is_cut)
    write_half_body (fd, request);
  else
    write_answer (fd,
                  strcmp (request->fault, "crossed") == 0 ? &before : request,
                  is_half ? 10 : 0);
  if (strcmp (request->fault, "twice") == 0)
    *again = *request;
  if (is_half || is_cut)
    usleep (CUT_DELAY_MS * 1000);
  return !is_half && !is_cut;
}

static void *
serve_connection (void *part)
{
  int fd = (int)(intptr_t)part;
  FILE *in = fdopen (fd, "r");
  struct request_head request;
  struct request_head again = { 0 };
  while (read_request (in, &request) && serve (fd, &request, &again))
    ;
  fclose (in);
  return NULL;
}

static void
on_accept (void *part, int fd, int events)
{
  (void)part;
  (void)events;
  pthread_t thread;
  int accepted = accept (fd, NULL, NULL);
  if (accepted < 0)
    return;
  pthread_create (&thread, NULL, serve_connection, (void *)(intptr_t)accepted);
  pthread_detach (thread);
}

int
run_rude (int argc, char **argv, apr_pool_t *pool)
{
  struct loop *loop;
  struct err err = { 0 };
  int fd;
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
