/* What the stand-ins of the review share: addresses, records, and reading HTTP
   messages from a socket.

   A record is a text file to which all processes of a case append lines
   "MILLISECONDS WHO EVENT ID ...", with the time of the steady clock.  Each
   line is one write, so that lines of different processes do not mix.  */
#ifndef REVIEW_STANDIN_COMMON_H
#define REVIEW_STANDIN_COMMON_H

#include <stdbool.h>
#include <stddef.h>

enum
{
  MAX_HEAD_BYTES = 64 * 1024,
  MAX_ID_BYTES = 64
};

/* A connection from which messages are read.  */
struct stream
{
  int fd;
  size_t size; /* bytes in `data' that are not consumed yet */
  char data[MAX_HEAD_BYTES];
};

/* Opens the record PATH; WHO begins each line of this process.  */
void record_open (const char *path, const char *who);
/* Appends one line; FORMAT is that of printf.  */
void record_line (const char *format, ...)
    __attribute__ ((format (printf, 1, 2)));

/* Returns a socket that listens at ADDRESS (IP:PORT); exits on failure.  */
int listen_at (const char *address);
/* Returns a connection to ADDRESS, or -1.  A read from it fails with EAGAIN if
   nothing comes for WAIT_MS.  */
int connect_to (const char *address, long wait_ms);
/* Sends SIZE bytes; returns false if the connection fails.  */
bool send_all (int fd, const void *data, size_t size);

/* Reads one head, with its empty line, and ends it with a null byte; OUT has
   MAX_HEAD_BYTES.  Returns its size, or 0 at the end of the input.  */
size_t read_head (struct stream *stream, char *out);
/* Reads SIZE bytes of a body and drops them; returns false at the end of the
   input.  */
bool skip_bytes (struct stream *stream, size_t size);
/* Reads the body that HEAD announces, by length, in chunks or, if UNTIL_CLOSE,
   to the end of the input.  Returns false if it is not whole.  */
bool skip_body (struct stream *stream, const char *head, bool until_close);
/* Copies the value of the field NAME of HEAD to OUT; "" if there is none.  */
void read_field (const char *head, const char *name, char *out, size_t size);

long long now_ms (void);
void sleep_ms (long ms);

#endif
