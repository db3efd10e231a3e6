/* A server of the users' platform, as PROTOCOL.md describes it.

     server --listen IP:PORT --id ID --record FILE [--work-ms N] [--slots N]
       [--queue N] [--fail PERCENT] [--error-bytes N] [--lose PERCENT]
       [--fields N]

   It runs --slots requests at the same time and queues --queue more.  It
   refuses others with 503 and `Not-Executed: 1', and a request that expects
   another instance with 421.  Its answers have Request-Id, Server-Stamp and
   Server-Load, and those with 200 N more fields of 100 bytes.

   Disruptions begin and end with SIGUSR1: of the requests that it runs
   meanwhile, --fail PERCENT end at once with 500 and a body of --error-bytes
   in chunks; of --lose PERCENT, which were run, the answer is lost: the
   connection is reset.

   Record: "ran ID METHOD TARGET", "failed ID", "lost ID", "refused ID".  */
#include "common.h"

#include <getopt.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

enum
{
  PIECE_BYTES = 1000, /* the last chunk of an error's body */
  FIELD_BYTES = 100,  /* of the additional fields */
  MAX_FIELDS = 200,
  MAX_TARGET_BYTES = 2048, /* in the record */
  STACK_BYTES = 512 * 1024
};

static struct
{
  const char *id;
  long work_ms;
  long slots;
  long queue;
  long fail_percent;
  long error_bytes;
  long lose_percent;
  long fields;
} options = { .work_ms = 100, .slots = 9, .queue = 27, .error_bytes = 200 };

static struct
{
  pthread_mutex_t mutex;
  pthread_cond_t slot_freed;
  long running;
  long waiting;
  long fail_share; /* hundredths that have added up */
  long lose_share;
} state = { .mutex = PTHREAD_MUTEX_INITIALIZER,
            .slot_freed = PTHREAD_COND_INITIALIZER };

static volatile sig_atomic_t is_disturbed;

static void
on_signal (int number)
{
  (void)number;
  is_disturbed = !is_disturbed;
}

/* Adds PERCENT to *SHARE; returns true each time that this makes a whole.  */
static bool
takes_share (long *share, long percent)
{
  if (!is_disturbed)
    return false;
  *share += percent;
  if (*share < 100)
    return false;
  *share -= 100;
  return true;
}

/* Waits for a slot; returns false if the queue is full.  */
static bool
enter (bool *fails, bool *is_lost)
{
  pthread_mutex_lock (&state.mutex);
  bool has_room
      = state.running + state.waiting < options.slots + options.queue;
  if (has_room)
    {
      state.waiting++;
      while (state.running >= options.slots)
        pthread_cond_wait (&state.slot_freed, &state.mutex);
      state.waiting--;
      state.running++;
      *fails = takes_share (&state.fail_share, options.fail_percent);
      *is_lost = takes_share (&state.lose_share, options.lose_percent);
    }
  pthread_mutex_unlock (&state.mutex);
  return has_room;
}

static void
leave (void)
{
  pthread_mutex_lock (&state.mutex);
  state.running--;
  pthread_cond_signal (&state.slot_freed);
  pthread_mutex_unlock (&state.mutex);
}

/* Sends a head with the status line STATUS, the fields of every answer and the
   lines MORE.  */
static bool
send_head (int fd, const char *request_id, const char *status,
           const char *more)
{
  char head[MAX_FIELDS * FIELD_BYTES + 1024];
  pthread_mutex_lock (&state.mutex);
  int size = snprintf (head, sizeof head,
                       "HTTP/1.1 %s\r\nRequest-Id: %s\r\nInstance-Id: %s\r\n"
                       "Server-Load: %ld,%ld,%ld\r\n%s\r\n",
                       status, request_id, options.id, state.running,
                       state.waiting, options.slots, more);
  pthread_mutex_unlock (&state.mutex);
  return send_all (fd, head, (size_t)size);
}

/* Sends 500 and a long body, whose last chunk and end are one write.  */
static bool
send_error (int fd, const char *request_id)
{
  long first = options.error_bytes > PIECE_BYTES
                   ? options.error_bytes - PIECE_BYTES
                   : 0;
  long rest = options.error_bytes - first;
  char *body = malloc ((size_t)first + 64);
  char last[PIECE_BYTES + 64];
  if (!body
      || !send_head (fd, request_id, "500 Internal Server Error",
                     "Server-Stamp: e\r\nTransfer-Encoding: chunked\r\n"))
    {
      free (body);
      return false;
    }
  bool is_sent = true;
  if (first > 0)
    {
      int n = sprintf (body, "%lx\r\n", first);
      memset (body + n, 'e', (size_t)first);
      memcpy (body + n + first, "\r\n", 2);
      is_sent = send_all (fd, body, (size_t)(n + first + 2));
    }
  int n = sprintf (last, "%lx\r\n", rest);
  memset (last + n, 'e', (size_t)rest);
  memcpy (last + n + rest, "\r\n0\r\n\r\n", 7);
  is_sent = is_sent && send_all (fd, last, (size_t)(n + rest + 7));
  free (body);
  return is_sent;
}

static bool
send_success (int fd, const char *request_id)
{
  char fields[MAX_FIELDS * FIELD_BYTES + 64];
  size_t n
      = (size_t)sprintf (fields, "Server-Stamp: s\r\nContent-Length: 4\r\n");
  for (long i = 0; i < options.fields; i++)
    n += (size_t)sprintf (fields + n, "X-Answer-%03ld: %0*d\r\n", i,
                          FIELD_BYTES - 16, 0);
  return send_head (fd, request_id, "200 OK", fields)
         && send_all (fd, "done", 4);
}

static void
reset (int fd)
{
  struct linger linger = { 1, 0 };
  setsockopt (fd, SOL_SOCKET, SO_LINGER, &linger, sizeof linger);
}

/* Handles one request; returns false if the connection ends.  */
static bool
handle (struct stream *stream, const char *head)
{
  char id[MAX_ID_BYTES];
  char expected[MAX_ID_BYTES];
  char method[16] = "";
  char target[MAX_TARGET_BYTES] = "";
  bool fails = false;
  bool is_lost = false;
  read_field (head, "Request-Id", id, sizeof id);
  read_field (head, "Expect-Instance", expected, sizeof expected);
  sscanf (head, "%15s %2047s", method, target);
  char wanted[32];
  read_field (head, "Expect", wanted, sizeof wanted);
  if (wanted[0] && !send_all (stream->fd, "HTTP/1.1 100 Continue\r\n\r\n", 25))
    return false;
  if (!skip_body (stream, head, false))
    return false;
  if (strcmp (target, "/healthz") == 0)
    return send_head (stream->fd, id, "200 OK", "Content-Length: 0\r\n");
  if (expected[0] && strcmp (expected, options.id) != 0)
    return send_head (stream->fd, id, "421 Misdirected Request",
                      "Content-Length: 0\r\n");
  if (!enter (&fails, &is_lost))
    {
      record_line ("refused %s", id);
      return send_head (stream->fd, id, "503 Service Unavailable",
                        "Not-Executed: 1\r\nContent-Length: 0\r\n");
    }
  record_line ("ran %s %s %.300s", id, method, target);
  if (!fails)
    sleep_ms (options.work_ms);
  leave ();
  if (is_lost)
    {
      record_line ("lost %s", id);
      reset (stream->fd);
      return false;
    }
  if (fails)
    {
      record_line ("failed %s", id);
      return send_error (stream->fd, id);
    }
  return send_success (stream->fd, id);
}

static void *
serve (void *user_data)
{
  struct stream *stream = user_data;
  char *head = malloc (MAX_HEAD_BYTES);
  while (head && read_head (stream, head) > 0 && handle (stream, head))
    ;
  close (stream->fd);
  free (head);
  free (stream);
  return NULL;
}

int
main (int argc, char **argv)
{
  static const struct option long_options[]
      = { { "listen", required_argument, NULL, 'a' },
          { "id", required_argument, NULL, 'i' },
          { "record", required_argument, NULL, 'r' },
          { "work-ms", required_argument, NULL, 'w' },
          { "slots", required_argument, NULL, 's' },
          { "queue", required_argument, NULL, 'q' },
          { "fail", required_argument, NULL, 'f' },
          { "error-bytes", required_argument, NULL, 'b' },
          { "lose", required_argument, NULL, 'l' },
          { "fields", required_argument, NULL, 'e' },
          { NULL, 0, NULL, 0 } };
  const char *address = "";
  const char *record = "";
  int option;
  while ((option = getopt_long (argc, argv, "", long_options, NULL)) != -1)
    switch (option)
      {
      case 'a':
        address = optarg;
        break;
      case 'i':
        options.id = optarg;
        break;
      case 'r':
        record = optarg;
        break;
      case 'w':
        options.work_ms = atol (optarg);
        break;
      case 's':
        options.slots = atol (optarg);
        break;
      case 'q':
        options.queue = atol (optarg);
        break;
      case 'f':
        options.fail_percent = atol (optarg);
        break;
      case 'b':
        options.error_bytes = atol (optarg);
        break;
      case 'l':
        options.lose_percent = atol (optarg);
        break;
      case 'e':
        options.fields = atol (optarg);
        break;
      default:
        return 2;
      }
  if (options.fields > MAX_FIELDS)
    return 2;
  record_open (record, options.id);
  struct sigaction action
      = { .sa_handler = on_signal, .sa_flags = SA_RESTART };
  sigaction (SIGUSR1, &action, NULL);
  int listener = listen_at (address);
  pthread_attr_t attributes;
  pthread_attr_init (&attributes);
  pthread_attr_setstacksize (&attributes, STACK_BYTES);
  pthread_attr_setdetachstate (&attributes, PTHREAD_CREATE_DETACHED);
  for (;;)
    {
      pthread_t thread;
      struct stream *stream = calloc (1, sizeof *stream);
      stream->fd = accept (listener, NULL, NULL);
      if (stream->fd < 0
          || pthread_create (&thread, &attributes, serve, stream) != 0)
        free (stream);
    }
}
