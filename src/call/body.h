/* Bounded byte queue between a caller and an upstream.

   A body queue holds at most its limit of bytes.  While nothing has been
   dropped, the bytes read can be read again (`body_rewind'), so that a small
   request can be repeated at another upstream.

   Threads: one thread.  */
#ifndef CALL_BODY_H
#define CALL_BODY_H

#include <stdbool.h>
#include <stddef.h>

struct body
{
  char *data;
  size_t limit;
  size_t size; /* bytes held */
  size_t read; /* bytes of them already read */
  size_t room;
  bool dropped; /* some bytes can no longer be read again */
};

void body_init (struct body *body, size_t limit);
void body_free (struct body *body);
/* Appends up to SIZE bytes; returns how many fitted.  */
size_t body_write (struct body *body, const char *data, size_t size);
/* Takes up to SIZE bytes out; returns how many.  */
size_t body_read (struct body *body, char *out, size_t size);
/* Returns the bytes not yet read.  */
size_t body_unread (const struct body *body);
/* Returns the bytes that body_write would take now.  */
size_t body_space (const struct body *body);
/* Makes all bytes unread again; returns false if some were dropped.  */
bool body_rewind (struct body *body);

#endif
