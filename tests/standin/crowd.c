/* Many callers at once that don't finish what they begin, each on a connection
   of its own that stays open.

     standin crowd --connect IP:PORT --load NAME [--count N] [--body BYTES]
                   [--max-body BYTES] [--seconds N] [--token TEXT]

   NAME is one of the table `loads'.  --body is the size of a body that the
   server accepts, and --max-body the largest one.  A connection that the
   server closes isn't opened again.  Each caller sends at most 3 MB in any
   case.  After --seconds it closes what is left, and prints one line: how many
   callers were there, and how many connections were open still.  */
#include "base/net.h"
#include "tests/standin/standin.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

/* constants */

enum
{
  HEAD_MAX_BYTES = 32 * 1024,
  SENT_MAX_BYTES = 3 * 1000 * 1000,
  WRITE_MAX_BYTES = 64 * 1024,
  SHORT_BY = 10, /* bytes that are missing at the end */
  FIELD_BYTES = 1000,
  PIPELINED = 200
};

static const char common[] = "Host: shop.example\r\nDeadline-Ms: 20000\r\n";

/* types */

enum framing
{
  FRAMING_LENGTH,
  FRAMING_CHUNKED,
  FRAMING_NONE
};

/* What each caller of a load sends: a head, and then units until enough has
   been sent.  */
struct load_kind
{
  const char *name;
  enum framing framing;
  double announced;  /* size in the head, in bodies; 0: the body's */
  double sent;       /* bytes that are sent, in bodies */
  bool of_max;       /* the two are in largest bodies */
  size_t chunk;      /* bytes of a chunk; 0: one chunk for all */
  size_t extension;  /* bytes of a chunk's extension */
  size_t piece;      /* most bytes of a write; 0: any */
  bool has_trailers; /* sends the whole body, then trailers */
  bool in_head;      /* sends fields, and no end of the head */
  const char *fault; /* sends whole requests for such a response, and reads
                        nothing */
  int requests;      /* of them, on one connection */
  bool closes;       /* asks the server to close the connection */
  bool goes_on;      /* sends more after its requests */
};

static const struct load_kind loads[] = {
  { .name = "length", .sent = 1 },
  { .name = "length-in-pieces", .sent = 1, .piece = 1000 },
  { .name = "one-chunk", .framing = FRAMING_CHUNKED, .sent = 1 },
  { .name = "chunks", .framing = FRAMING_CHUNKED, .sent = 1, .chunk = 16384 },
  { .name = "small-chunks",
    .framing = FRAMING_CHUNKED,
    .sent = 1,
    .chunk = 1 },
  { .name = "chunk-extensions",
    .framing = FRAMING_CHUNKED,
    .sent = 1,
    .chunk = 1000,
    .extension = 500 },
  { .name = "trailers",
    .framing = FRAMING_CHUNKED,
    .sent = 1,
    .chunk = 16384,
    .has_trailers = true },
  { .name = "far-over-announced",
    .announced = 20,
    .sent = 20,
    .of_max = true },
  { .name = "far-over-sent",
    .framing = FRAMING_CHUNKED,
    .sent = 20,
    .of_max = true,
    .chunk = 16384 },
  { .name = "heads", .framing = FRAMING_NONE, .sent = 1, .in_head = true },
  { .name = "pipelined",
    .framing = FRAMING_NONE,
    .fault = "sized",
    .requests = PIPELINED },
  { .name = "unread",
    .framing = FRAMING_NONE,
    .fault = "sized",
    .requests = 1 },
  { .name = "closed-unread",
    .framing = FRAMING_NONE,
    .fault = "sized",
    .requests = 2,
    .closes = true },
  { .name = "closed-endless",
    .framing = FRAMING_NONE,
    .sent = 100,
    .fault = "sized",
    .requests = 1,
    .closes = true,
    .goes_on = true },
};

struct crowd
{
  const struct load_kind *kind;
  size_t body;
  size_t max_body;
  const char *token;
  size_t to_send; /* bytes of the body */
};

struct caller
{
  int fd; /* -1: closed */
  char unit[HEAD_MAX_BYTES + WRITE_MAX_BYTES];
  size_t size; /* of the unit that is being sent */
  size_t at;
  size_t body_sent;
  size_t sent;
  int units;
  bool has_ended;
};

/* private functions */

/* Writes the head of a request to OUT and returns its size.  */
static size_t
write_head (const struct crowd *crowd, const struct caller *caller, int number,
            char *out)
{
  const struct load_kind *kind = crowd->kind;
  size_t size = (size_t)snprintf (
      out, HEAD_MAX_BYTES,
      "%s /crowd HTTP/1.1\r\n%sRequest-Id: crowd-%p-%d\r\n",
      kind->framing == FRAMING_NONE ? "GET" : "POST", common,
      (const void *)caller, number);
  if (crowd->token)
    size += (size_t)snprintf (out + size, HEAD_MAX_BYTES - size,
                              "X-Caller-Token: %s\r\n", crowd->token);
  if (kind->fault)
    size += (size_t)snprintf (out + size, HEAD_MAX_BYTES - size,
                              "X-Fault: %s\r\nX-Form: length\r\n"
                              "X-Body: %zu\r\n",
                              kind->fault, crowd->body);
  if (kind->closes)
    size += (size_t)snprintf (out + size, HEAD_MAX_BYTES - size,
                              "Connection: close\r\n");
  if (kind->framing == FRAMING_CHUNKED)
    size += (size_t)snprintf (out + size, HEAD_MAX_BYTES - size,
                              "Transfer-Encoding: chunked\r\n");
  if (kind->framing == FRAMING_LENGTH)
    size += (size_t)snprintf (
        out + size, HEAD_MAX_BYTES - size, "Content-Length: %zu\r\n",
        kind->announced > 0
            ? (size_t)(kind->announced * (double)crowd->max_body)
            : crowd->body);
  if (!kind->in_head)
    size += (size_t)snprintf (out + size, HEAD_MAX_BYTES - size, "\r\n");
  return size;
}

/* Fills the unit after the head: part of the body, or a trailer.  Ends the
   caller's sending if there is none.  */
static void
fill_unit (const struct crowd *crowd, struct caller *caller)
{
  const struct load_kind *kind = crowd->kind;
  size_t left = crowd->to_send - caller->body_sent;
  size_t size = left < WRITE_MAX_BYTES / 2 ? left : WRITE_MAX_BYTES / 2;
  char *out = caller->unit;
  caller->at = 0;
  caller->size = 0;
  if (kind->in_head || (kind->has_trailers && left == 0))
    {
      /* A head stops just below the limit; trailers go on.  */
      if (kind->in_head && caller->sent + FIELD_BYTES > 14 * 1024)
        caller->has_ended = true;
      else
        caller->size = (size_t)snprintf (
            out, HEAD_MAX_BYTES, "%sX-%d: %0*d\r\n",
            kind->has_trailers && caller->units == 0 ? "0\r\n" : "",
            caller->units, FIELD_BYTES, 0);
      caller->units++;
      return;
    }
  if (left == 0)
    {
      caller->has_ended = true;
      return;
    }
  if (kind->framing == FRAMING_CHUNKED && kind->chunk > 0)
    {
      size_t at = 0;
      size_t body = 0;
      do
        {
          size_t n = kind->chunk < left - body ? kind->chunk : left - body;
          at += (size_t)sprintf (out + at, "%zx", n);
          if (kind->extension > 0)
            at += (size_t)sprintf (out + at, ";x=%0*d", (int)kind->extension,
                                   0);
          at += (size_t)sprintf (out + at, "\r\n");
          memset (out + at, 'b', n);
          at += n;
          at += (size_t)sprintf (out + at, "\r\n");
          body += n;
        }
      while (body < left && at < WRITE_MAX_BYTES / 2);
      caller->size = at;
      caller->body_sent += body;
      return;
    }
  size_t at = 0;
  if (kind->framing == FRAMING_CHUNKED && caller->body_sent == 0)
    at = (size_t)sprintf (out, "%zx\r\n", crowd->to_send + SHORT_BY);
  memset (out + at, 'b', size);
  caller->size = at + size;
  caller->body_sent += size;
}

static void
close_caller (struct caller *caller)
{
  close (caller->fd);
  caller->fd = -1;
}

/* Sends as much as CALLER's socket takes.  */
static void
send_more (const struct crowd *crowd, struct caller *caller)
{
  while (caller->fd >= 0 && !caller->has_ended
         && caller->sent < SENT_MAX_BYTES)
    {
      size_t size = caller->size - caller->at;
      if (crowd->kind->piece > 0 && size > crowd->kind->piece)
        size = crowd->kind->piece;
      ssize_t n = send (caller->fd, caller->unit + caller->at, size,
                        MSG_NOSIGNAL | MSG_DONTWAIT);
      if (n < 0 && (errno == EAGAIN || errno == EINPROGRESS))
        return;
      if (n < 0)
        {
          close_caller (caller);
          return;
        }
      caller->at += (size_t)n;
      caller->sent += (size_t)n;
      if (caller->at < caller->size)
        {
          if (crowd->kind->piece > 0)
            return;
          continue;
        }
      if (crowd->kind->fault && !crowd->kind->goes_on)
        caller->has_ended = true;
      else
        fill_unit (crowd, caller);
    }
}

static bool
open_caller (const struct crowd *crowd, struct caller *caller,
             const struct sockaddr_in *to)
{
  caller->fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (caller->fd < 0)
    return false;
  /* What the server sends and nobody reads stays with the server.  */
  int small = 4096;
  if (crowd->kind->fault)
    setsockopt (caller->fd, SOL_SOCKET, SO_RCVBUF, &small, sizeof small);
  int requests = crowd->kind->requests > 0 ? crowd->kind->requests : 1;
  for (int i = 0; i < requests && caller->size < HEAD_MAX_BYTES; i++)
    caller->size += write_head (crowd, caller, i, caller->unit + caller->size);
  return connect (caller->fd, (const struct sockaddr *)to, sizeof *to) == 0
         || errno == EINPROGRESS;
}

static double
now_s (void)
{
  struct timespec now;
  clock_gettime (CLOCK_MONOTONIC, &now);
  return (double)now.tv_sec + (double)now.tv_nsec / 1e9;
}

/* Lets COUNT callers send until END.  */
static void
run_callers_until (const struct crowd *crowd, struct caller *callers,
                   int count, double end)
{
  struct pollfd *polled = calloc ((size_t)count, sizeof *polled);
  double left;
  while ((left = end - now_s ()) > 0)
    {
      for (int i = 0; i < count; i++)
        polled[i] = (struct pollfd){
          .fd = callers[i].fd,
          .events = callers[i].has_ended || callers[i].sent >= SENT_MAX_BYTES
                        ? 0
                        : POLLOUT
        };
      poll (polled, (nfds_t)count, left < 0.1 ? (int)(left * 1000) + 1 : 100);
      for (int i = 0; i < count; i++)
        if (polled[i].revents & (POLLERR | POLLHUP))
          close_caller (&callers[i]);
        else if (polled[i].revents & POLLOUT)
          send_more (crowd, &callers[i]);
    }
  free (polled);
}

/* public functions */

int
run_crowd (int argc, char **argv, apr_pool_t *pool)
{
  struct str host;
  int port;
  const char *name = option (argc, argv, "--load", "");
  int count = atoi (option (argc, argv, "--count", "100"));
  double end = now_s () + atof (option (argc, argv, "--seconds", "3"));
  struct crowd crowd
      = { .body = strtoul (option (argc, argv, "--body", "1000000"), NULL, 10),
          .token = option (argc, argv, "--token", NULL) };
  crowd.max_body
      = strtoul (option (argc, argv, "--max-body", "1000000"), NULL, 10);
  for (size_t i = 0; i < sizeof loads / sizeof *loads; i++)
    if (strcmp (loads[i].name, name) == 0)
      crowd.kind = &loads[i];
  if (!crowd.kind
      || !net_split_address (str_from (option (argc, argv, "--connect", "")),
                             &host, &port))
    {
      fprintf (stderr, "crowd: --load %s: not a load, or no --connect\n",
               name);
      return EXIT_FAILURE;
    }
  double bodies = crowd.kind->sent
                  * (double)(crowd.kind->of_max ? crowd.max_body : crowd.body);
  crowd.to_send = (size_t)bodies - (crowd.kind->has_trailers ? 0 : SHORT_BY);
  struct sockaddr_in to
      = { .sin_family = AF_INET, .sin_port = htons ((uint16_t)port) };
  inet_pton (AF_INET, str_dup (pool, host).data, &to.sin_addr);
  struct caller *callers = calloc ((size_t)count, sizeof *callers);
  if (!callers)
    return EXIT_FAILURE;
  for (int i = 0; i < count; i++)
    if (!open_caller (&crowd, &callers[i], &to))
      close_caller (&callers[i]);
  run_callers_until (&crowd, callers, count, end);
  int open = 0;
  for (int i = 0; i < count; i++)
    {
      open += callers[i].fd >= 0;
      if (callers[i].fd >= 0)
        close_caller (&callers[i]);
    }
  free (callers);
  printf ("%d callers, %d still open\n", count, open);
  return EXIT_SUCCESS;
}
