/* Stand-ins for the upstreams and the callers of the cases of the second
   review.  Neither uses any code of the project.

     peer-2 upstream --listen IP:PORT --id ID --record FILE [--rate BYTES]
       [--slow BYTES] [--work-ms N] [--early BYTES] [--mss N] [--piece BYTES]
       [--piece-ms N] [--slow-piece-ms N] [--response BYTES]
     peer-2 callers --connect IP:PORT --record FILE --prefix TEXT
       --target PATH [--requests N] [--parallel N] [--bytes N] [--chunked yes]
       [--gap-ms N] [--deadline-ms N] [--timeout-ms N] [--write-rate BYTES]
       [--rate BYTES] [--method NAME] [--mss N] [--behind-ms N]
       [--stagger-ms N]

   The body of a request follows from its Request-Id, and X-Body-Bytes states
   its size, so an upstream sees whether it got the caller's bytes.

   The callers begin --stagger-ms after each other.  A caller makes each
   request on a new connection.  It reads the answer with
   --rate bytes per second.  With --behind-ms it sends a second request, GET,
   on the connection so much later, whether the first one was answered or not;
   its id ends in "-behind".

   An upstream serves one request at a time on a connection.  It reads a body
   with --rate bytes per second, and with --slow after SIGUSR1, until SIGUSR2;
   then it works for --work-ms.  It refuses a request for another instance with
   421.  From SIGUSR1 until SIGUSR2 an upstream with --early responds to
   --early-percent of the requests with a body, with that many bytes in chunks,
   before it has read the body, and reads on later.  With
   --piece it works for --piece-ms, or --slow-piece-ms while it is slow, on
   each piece of the body before it reads the next one.  --mss sets the size of
   segments, which is larger on loopback than on a network.

   The record has a line for each of them, which begins with a time in ms:
     sent ID METHOD TARGET BYTES         by a caller
     answered ID STATUS BYTES whole|cut  to a caller; status 0: none
     run ID UPSTREAM TARGET BYTES whole|changed|cut
     gave ID UPSTREAM STATUS BYTES       the upstream has sent its answer
   `whole': all bytes are the caller's.  `changed': the request came to its
   proper end, and its body is another one.  `cut': it did not come to its end,
   so the upstream knows that.  */
#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <time.h>
#include <unistd.h>

enum
{
  HEAD_MAX = 32 * 1024,
  BLOCK = 8 * 1024,
  RECEIVE_BUFFER = 8 * 1024,
  TEXT_MAX = 256
};

/* A connection, with what was received and not used yet.  */
struct stream
{
  int fd;
  char data[HEAD_MAX];
  size_t begin;
  size_t end;
};

/* The body of a request as it arrives.  */
struct body_check
{
  uint64_t seed;
  int64_t size;
  bool is_changed;
};

static volatile sig_atomic_t is_slow;
static int record_fd = -1;
static const char *option_listen, *option_connect, *option_id = "i-0";
static const char *option_prefix = "c", *option_target = "/";
static const char *option_method = "POST";
static int64_t option_rate, option_slow, option_work_ms, option_early,
    option_early_percent = 100;
static int64_t option_piece, option_piece_ms, option_slow_piece_ms;
static int64_t option_response = 100, option_behind_ms, option_stagger_ms;
static int64_t option_mss, option_requests = 1, option_parallel = 1;
static int64_t option_bytes, option_gap_ms, option_deadline_ms = 4000;
static int64_t option_timeout_ms = 8000, option_write_rate;
static bool option_chunked;
static int64_t next_request;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;

static int64_t
now_ms (void)
{
  struct timespec t;
  clock_gettime (CLOCK_MONOTONIC, &t);
  return (int64_t)t.tv_sec * 1000 + t.tv_nsec / 1000000;
}

static void
sleep_us (int64_t us)
{
  struct timespec t = { us / 1000000, us % 1000000 * 1000 };
  while (us > 0 && nanosleep (&t, &t) != 0 && errno == EINTR)
    continue;
}

/* Appends one line, with the time in ms, to the record.  */
static void __attribute__ ((format (printf, 1, 2)))
record (const char *format, ...)
{
  char line[TEXT_MAX * 4];
  int n = snprintf (line, sizeof line, "%lld ", (long long)now_ms ());
  va_list args;
  va_start (args, format);
  n += vsnprintf (line + n, sizeof line - (size_t)n - 1, format, args);
  va_end (args);
  line[n++] = '\n';
  if (write (record_fd, line, (size_t)n) != n)
    abort ();
}

static uint64_t
seed_of (const char *id)
{
  uint64_t h = 1469598103934665603ULL;
  for (; *id; id++)
    h = (h ^ (unsigned char)*id) * 1099511628211ULL;
  return h;
}

/* Returns byte AT of the body of the request whose id has SEED.  */
static char
byte_of (uint64_t seed, int64_t at)
{
  uint64_t x = seed + (uint64_t)(at / 8) * 0x9e3779b97f4a7c15ULL;
  x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
  x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
  x ^= x >> 31;
  return (char)(x >> (8 * (at % 8)));
}

static bool
send_all (int fd, const char *data, size_t size)
{
  while (size > 0)
    {
      ssize_t n = send (fd, data, size, MSG_NOSIGNAL);
      if (n < 0 && errno == EINTR)
        continue;
      if (n <= 0)
        return false;
      data += n;
      size -= (size_t)n;
    }
  return true;
}

/* Receives at most MAX bytes more; returns false at the end of the input.  */
static bool
receive (struct stream *s, size_t max)
{
  if (s->begin == s->end)
    s->begin = s->end = 0;
  if (s->end == sizeof s->data)
    return false;
  size_t space = sizeof s->data - s->end;
  ssize_t n;
  do
    n = recv (s->fd, s->data + s->end, space < max ? space : max, 0);
  while (n < 0 && errno == EINTR);
  if (n <= 0)
    return false;
  s->end += (size_t)n;
  return true;
}

/* Receives a head and copies it to HEAD; returns false if there is none.  */
static bool
read_head (struct stream *s, char *head)
{
  for (;;)
    {
      char *end
          = memmem (s->data + s->begin, s->end - s->begin, "\r\n\r\n", 4);
      if (end)
        {
          size_t size = (size_t)(end + 4 - (s->data + s->begin));
          memcpy (head, s->data + s->begin, size);
          head[size] = 0;
          s->begin += size;
          return true;
        }
      memmove (s->data, s->data + s->begin, s->end - s->begin);
      s->end -= s->begin;
      s->begin = 0;
      if (!receive (s, sizeof s->data))
        return false;
    }
}

/* Copies the value of the field NAME of HEAD to OUT; returns false if there is
   none.  */
static bool
field (const char *head, const char *name, char *out, size_t size)
{
  size_t n = strlen (name);
  out[0] = 0;
  for (const char *line = strstr (head, "\r\n"); line;
       line = strstr (line + 2, "\r\n"))
    if (strncasecmp (line + 2, name, n) == 0 && line[2 + n] == ':')
      {
        const char *value = line + 3 + n;
        value += strspn (value, " \t");
        snprintf (out, size, "%.*s", (int)strcspn (value, "\r"), value);
        return true;
      }
  return false;
}

/* Checks SIZE bytes at the end of what is buffered.  */
static void
check_bytes (struct body_check *check, const char *data, size_t size)
{
  for (size_t i = 0; i < size; i++)
    check->is_changed
        |= data[i] != byte_of (check->seed, check->size + (int64_t)i);
  check->size += (int64_t)size;
}

/* Waits as long as reading SIZE bytes takes.  */
static void
pace (size_t size)
{
  int64_t rate = is_slow && option_slow ? option_slow : option_rate;
  if (rate > 0)
    sleep_us ((int64_t)size * 1000000 / rate);
}

/* Works on each piece of a body that is complete with the SIZE bytes that came
   after BEFORE.  */
static void
work_on_pieces (int64_t before, size_t size)
{
  int64_t ms = is_slow ? option_slow_piece_ms : option_piece_ms;
  if (option_piece > 0
      && before / option_piece != (before + (int64_t)size) / option_piece)
    sleep_us (ms * 1000);
}

/* Reads SIZE bytes of a body; returns false if the input ends before.  */
static bool
read_bytes (struct stream *s, int64_t size, struct body_check *check)
{
  while (size > 0)
    {
      if (s->begin == s->end && !receive (s, BLOCK))
        return false;
      size_t n = s->end - s->begin;
      if ((int64_t)n > size)
        n = (size_t)size;
      if (check)
        {
          check_bytes (check, s->data + s->begin, n);
          pace (n);
          work_on_pieces (check->size - (int64_t)n, n);
        }
      s->begin += n;
      size -= (int64_t)n;
    }
  return true;
}

/* Reads one line without its end; returns false if there is none.  */
static bool
read_line (struct stream *s, char *line, size_t size)
{
  size_t n = 0;
  for (;;)
    {
      if (s->begin == s->end && !receive (s, BLOCK))
        return false;
      char byte = s->data[s->begin++];
      if (byte == '\n')
        break;
      if (byte != '\r' && n + 1 < size)
        line[n++] = byte;
    }
  line[n] = 0;
  return true;
}

/* Reads a chunked body; returns false if it does not come to its end.  */
static bool
read_chunks (struct stream *s, struct body_check *check)
{
  char line[TEXT_MAX];
  for (;;)
    {
      if (!read_line (s, line, sizeof line))
        return false;
      int64_t size = strtoll (line, NULL, 16);
      if (size == 0)
        return read_line (s, line, sizeof line);
      if (!read_bytes (s, size, check) || !read_line (s, line, sizeof line))
        return false;
    }
}

static int
open_socket (const char *text, struct sockaddr_in *address)
{
  char host[64];
  snprintf (host, sizeof host, "%.*s", (int)strcspn (text, ":"), text);
  *address = (struct sockaddr_in){ .sin_family = AF_INET };
  address->sin_port = htons ((uint16_t)atoi (strchr (text, ':') + 1));
  inet_pton (AF_INET, host, &address->sin_addr);
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int one = 1;
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  int mss = (int)option_mss;
  if (mss > 0)
    setsockopt (fd, IPPROTO_TCP, TCP_MAXSEG, &mss, sizeof mss);
  return fd;
}

/* The upstream.  */

static bool
respond (int fd, int status, const char *id, const char *more, size_t size)
{
  char head[TEXT_MAX * 4];
  char body[BLOCK];
  int n = snprintf (head, sizeof head,
                    "HTTP/1.1 %d Answer\r\nRequest-Id: %s\r\n%s"
                    "Content-Length: %zu\r\n\r\n",
                    status, id, more, size);
  memset (body, 'x', sizeof body);
  if (!send_all (fd, head, (size_t)n))
    return false;
  for (; size > 0; size -= size < BLOCK ? size : BLOCK)
    if (!send_all (fd, body, size < BLOCK ? size : BLOCK))
      return false;
  return true;
}

/* Sends a response of SIZE bytes in chunks.  */
static bool
respond_in_chunks (int fd, const char *id, int64_t size)
{
  char head[TEXT_MAX * 4];
  char body[BLOCK];
  int n = snprintf (head, sizeof head,
                    "HTTP/1.1 200 Answer\r\nRequest-Id: %s\r\nServer-Stamp: "
                    "s\r\nTransfer-Encoding: chunked\r\n\r\n",
                    id);
  bool ok = send_all (fd, head, (size_t)n);
  memset (body, 'x', sizeof body);
  for (; ok && size > 0; size -= BLOCK)
    ok = send_all (fd, "2000\r\n", 6) && send_all (fd, body, BLOCK)
         && send_all (fd, "\r\n", 2);
  return ok && send_all (fd, "0\r\n\r\n", 5);
}

static bool
serve_request (struct stream *s, const char *head)
{
  char id[TEXT_MAX], expected[TEXT_MAX], text[TEXT_MAX], target[TEXT_MAX];
  const char *begin = strchr (head, ' ') + 1;
  snprintf (target, sizeof target, "%.*s", (int)strcspn (begin, " "), begin);
  field (head, "Request-Id", id, sizeof id);
  if (strcmp (target, "/healthz") == 0)
    {
      snprintf (text, sizeof text, "Instance-Id: %s\r\nServer-Load: 0,0,9\r\n",
                option_id);
      return respond (s->fd, 200, id, text, 0);
    }
  bool is_chunked = field (head, "Transfer-Encoding", text, sizeof text);
  int64_t length = field (head, "Content-Length", text, sizeof text)
                       ? strtoll (text, NULL, 10)
                       : 0;
  if (field (head, "Expect-Instance", expected, sizeof expected)
      && strcmp (expected, option_id) != 0)
    {
      snprintf (text, sizeof text,
                "Instance-Id: %s\r\nNot-Executed: 1\r\n"
                "Connection: close\r\n",
                option_id);
      respond (s->fd, 421, id, text, 0);
      return false;
    }
  struct body_check check = { .seed = seed_of (id) };
  int64_t expected_size = field (head, "X-Body-Bytes", text, sizeof text)
                              ? strtoll (text, NULL, 10)
                              : 0;
  bool answers_early = is_slow && option_early > 0
                       && (is_chunked || length > 0)
                       && (int64_t)(seed_of (id) % 100) < option_early_percent;
  bool ok = true;
  if (field (head, "Expect", text, sizeof text))
    ok = send_all (s->fd, "HTTP/1.1 100 Continue\r\n\r\n", 25);
  if (ok && answers_early)
    {
      sleep_us (option_work_ms * 1000);
      ok = respond_in_chunks (s->fd, id, option_early);
      if (ok)
        record ("gave %s %s 200 %lld", id, option_id, (long long)option_early);
    }
  ok = ok
       && (is_chunked ? read_chunks (s, &check)
                      : read_bytes (s, length, &check));
  bool is_whole = ok && !check.is_changed && check.size == expected_size;
  record ("run %s %s %s %lld %s", id, option_id, target, (long long)check.size,
          !ok        ? "cut"
          : is_whole ? "whole"
                     : "changed");
  if (!ok || answers_early)
    return ok;
  sleep_us (option_work_ms * 1000);
  ok = respond (s->fd, 200, id, "Server-Stamp: s\r\nServer-Load: 0,0,9\r\n",
                (size_t)option_response);
  if (ok)
    record ("gave %s %s 200 %lld", id, option_id, (long long)option_response);
  return ok;
}

static void *
serve_connection (void *data)
{
  struct stream *s = data;
  char *head = malloc (HEAD_MAX + 1);
  while (read_head (s, head) && serve_request (s, head))
    continue;
  close (s->fd);
  free (head);
  free (s);
  return NULL;
}

static void
on_speed (int number)
{
  is_slow = number == SIGUSR1;
}

static int
run_upstream (void)
{
  struct sockaddr_in address;
  int fd = open_socket (option_listen, &address);
  int one = 1;
  int size = RECEIVE_BUFFER;
  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  setsockopt (fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof size);
  if (bind (fd, (struct sockaddr *)&address, sizeof address) != 0
      || listen (fd, 128) != 0)
    return 2;
  struct sigaction action = { .sa_handler = on_speed, .sa_flags = SA_RESTART };
  sigaction (SIGUSR1, &action, NULL);
  sigaction (SIGUSR2, &action, NULL);
  for (;;)
    {
      int peer = accept (fd, NULL, NULL);
      if (peer < 0)
        continue;
      pthread_t thread;
      struct stream *s = calloc (1, sizeof *s);
      s->fd = peer;
      setsockopt (peer, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
      if (pthread_create (&thread, NULL, serve_connection, s) != 0)
        abort ();
      pthread_detach (thread);
    }
}

/* The callers.  */

struct upload
{
  int fd;
  const char *id;
};

/* Sends the body, while the response may already arrive.  */
static void *
send_body (void *data)
{
  const struct upload *upload = data;
  uint64_t seed = seed_of (upload->id);
  char block[BLOCK];
  char line[32];
  bool ok = true;
  for (int64_t at = 0; ok && at < option_bytes; at += BLOCK)
    {
      int64_t left = option_bytes - at;
      size_t size = left < BLOCK ? (size_t)left : BLOCK;
      for (size_t i = 0; i < size; i++)
        block[i] = byte_of (seed, at + (int64_t)i);
      if (option_chunked)
        ok = send_all (upload->fd, line,
                       (size_t)snprintf (line, sizeof line, "%zx\r\n", size));
      ok = ok && send_all (upload->fd, block, size);
      if (option_chunked)
        ok = ok && send_all (upload->fd, "\r\n", 2);
      if (option_write_rate > 0)
        sleep_us ((int64_t)size * 1000000 / option_write_rate);
    }
  if (ok && option_chunked)
    send_all (upload->fd, "0\r\n\r\n", 5);
  return NULL;
}

/* Reads the response; returns its status, 0 if there is none.  */
static int
read_response (struct stream *s, int64_t *size, bool *is_whole)
{
  char head[HEAD_MAX + 1];
  char text[TEXT_MAX];
  *size = 0;
  *is_whole = false;
  do
    if (!read_head (s, head))
      return 0;
  while (strncmp (head, "HTTP/1.1 1", 10) == 0);
  struct body_check check = { 0 };
  if (field (head, "Transfer-Encoding", text, sizeof text))
    *is_whole = read_chunks (s, &check);
  else
    {
      field (head, "Content-Length", text, sizeof text);
      *is_whole = read_bytes (s, strtoll (text, NULL, 10), &check);
    }
  *size = check.size;
  return atoi (head + 9);
}

/* Opens a connection; returns false if that fails.  */
static bool
open_connection (struct stream *s)
{
  struct sockaddr_in address;
  struct timeval limit
      = { option_timeout_ms / 1000, option_timeout_ms % 1000 * 1000 };
  int buffer = RECEIVE_BUFFER;
  s->fd = open_socket (option_connect, &address);
  setsockopt (s->fd, SOL_SOCKET, SO_RCVBUF, &buffer, sizeof buffer);
  setsockopt (s->fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
  setsockopt (s->fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
  return connect (s->fd, (struct sockaddr *)&address, sizeof address) == 0;
}

/* Sends the head of the request ID with a body of SIZE bytes.  */
static bool
send_head (int fd, const char *id, const char *method, int64_t number,
           int64_t size)
{
  char head[TEXT_MAX * 4];
  char framing[TEXT_MAX] = "Transfer-Encoding: chunked\r\n";
  if (size == 0)
    framing[0] = 0;
  else if (!option_chunked)
    snprintf (framing, sizeof framing, "Content-Length: %lld\r\n",
              (long long)size);
  int n = snprintf (
      head, sizeof head,
      "%s %s%lld HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: %s\r\n"
      "Deadline-Ms: %lld\r\nX-Body-Bytes: %lld\r\n%s\r\n",
      method, option_target, (long long)number, id,
      (long long)option_deadline_ms, (long long)size, framing);
  record ("sent %s %s %s%lld %lld", id, method, option_target,
          (long long)number, (long long)size);
  return send_all (fd, head, (size_t)n);
}

/* Reads the answer to the request ID; returns whether it was whole.  */
static bool
read_answer (struct stream *s, const char *id)
{
  int64_t size = 0;
  bool is_whole = false;
  int status = read_response (s, &size, &is_whole);
  record ("answered %s %d %lld %s", id, status, (long long)size,
          is_whole ? "whole" : "cut");
  return is_whole;
}

static void
call (int64_t number)
{
  char id[TEXT_MAX], behind[TEXT_MAX + 8];
  struct stream *s = calloc (1, sizeof *s);
  struct upload upload = { 0 };
  pthread_t thread;
  snprintf (id, sizeof id, "%s-%lld", option_prefix, (long long)number);
  snprintf (behind, sizeof behind, "%s-behind", id);
  bool ok = open_connection (s)
            && send_head (s->fd, id, option_method, number, option_bytes);
  upload = (struct upload){ s->fd, id };
  bool sends = ok && option_bytes > 0
               && pthread_create (&thread, NULL, send_body, &upload) == 0;
  if (ok && option_behind_ms > 0)
    {
      sleep_us (option_behind_ms * 1000);
      send_head (s->fd, behind, "GET", number, 0);
    }
  if (read_answer (s, id) && option_behind_ms > 0)
    read_answer (s, behind);
  if (sends)
    pthread_join (thread, NULL);
  close (s->fd);
  free (s);
}

static void *
call_in_turn (void *unused)
{
  (void)unused;
  for (;;)
    {
      pthread_mutex_lock (&lock);
      int64_t number = next_request++;
      pthread_mutex_unlock (&lock);
      if (number >= option_requests)
        return NULL;
      call (number);
      sleep_us (option_gap_ms * 1000);
    }
}

static int
run_callers (void)
{
  enum
  {
    PARALLEL_MAX = 1024
  };
  pthread_t threads[PARALLEL_MAX];
  if (option_parallel > PARALLEL_MAX)
    return 2;
  for (int64_t i = 0; i < option_parallel; i++)
    {
      if (pthread_create (&threads[i], NULL, call_in_turn, NULL) != 0)
        return 2;
      sleep_us (option_stagger_ms * 1000);
    }
  for (int64_t i = 0; i < option_parallel; i++)
    pthread_join (threads[i], NULL);
  return 0;
}

static void
read_options (int count, char **args)
{
  const struct
  {
    const char *name;
    const char **text;
    int64_t *number;
  } options[] = { { "--listen", &option_listen, NULL },
                  { "--connect", &option_connect, NULL },
                  { "--id", &option_id, NULL },
                  { "--prefix", &option_prefix, NULL },
                  { "--target", &option_target, NULL },
                  { "--method", &option_method, NULL },
                  { "--rate", NULL, &option_rate },
                  { "--slow", NULL, &option_slow },
                  { "--work-ms", NULL, &option_work_ms },
                  { "--early", NULL, &option_early },
                  { "--early-percent", NULL, &option_early_percent },
                  { "--mss", NULL, &option_mss },
                  { "--response", NULL, &option_response },
                  { "--piece", NULL, &option_piece },
                  { "--piece-ms", NULL, &option_piece_ms },
                  { "--slow-piece-ms", NULL, &option_slow_piece_ms },
                  { "--requests", NULL, &option_requests },
                  { "--parallel", NULL, &option_parallel },
                  { "--bytes", NULL, &option_bytes },
                  { "--gap-ms", NULL, &option_gap_ms },
                  { "--behind-ms", NULL, &option_behind_ms },
                  { "--stagger-ms", NULL, &option_stagger_ms },
                  { "--deadline-ms", NULL, &option_deadline_ms },
                  { "--timeout-ms", NULL, &option_timeout_ms },
                  { "--write-rate", NULL, &option_write_rate } };
  for (int i = 0; i + 1 < count; i += 2)
    {
      if (strcmp (args[i], "--record") == 0)
        record_fd = open (args[i + 1], O_WRONLY | O_CREAT | O_APPEND, 0644);
      if (strcmp (args[i], "--chunked") == 0)
        option_chunked = strcmp (args[i + 1], "yes") == 0;
      for (size_t o = 0; o < sizeof options / sizeof *options; o++)
        if (strcmp (args[i], options[o].name) == 0)
          {
            if (options[o].text)
              *options[o].text = args[i + 1];
            else
              *options[o].number = strtoll (args[i + 1], NULL, 10);
          }
    }
}

int
main (int count, char **args)
{
  if (count < 2)
    return 2;
  signal (SIGPIPE, SIG_IGN);
  read_options (count - 2, args + 2);
  if (record_fd < 0)
    return 2;
  if (strcmp (args[1], "upstream") == 0 && option_listen)
    return run_upstream ();
  if (strcmp (args[1], "callers") == 0 && option_connect)
    return run_callers ();
  return 2;
}
