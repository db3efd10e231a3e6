/* Bounded byte queue for the body of a request or a response.

   It holds at most `limit' bytes.  As long as no byte that was read had to be
   overwritten, all bytes can be read again (body_rewind), so that a small
   request can be sent again to another upstream.

     body_init (&body, 65536);
     size_t taken = body_write (&body, data, size);
     size_t n = body_read (&body, out, sizeof out);
     body_free (&body);

   Threads: one thread.  */
#ifndef CALL_BODY_H
#define CALL_BODY_H

#include <stdbool.h>
#include <stddef.h>

struct body
{
  char *data;
  size_t limit;
  size_t size;     /* bytes in `data', read or not */
  size_t read;     /* how many of them were read */
  size_t capacity; /* allocated size of `data' */
  bool dropped;    /* bytes that were read are gone; no rewind */
};

/* Makes BODY an empty queue of at most LIMIT bytes.  Memory is allocated by
   body_write, as it is needed.  */
void body_init (struct body *body, size_t limit);
/* Frees the bytes; BODY itself belongs to the caller.  */
void body_free (struct body *body);
/* Appends up to SIZE bytes; returns how many were appended.  */
size_t body_write (struct body *body, const char *data, size_t size);
/* Removes up to SIZE unread bytes into OUT; returns how many.  */
size_t body_read (struct body *body, char *out, size_t size);
/* Hands over the bytes, of which none was read, and which the caller frees;
   BODY is empty afterwards.  */
char *body_take (struct body *body);
/* Returns the number of bytes not yet read.  */
size_t body_unread (const struct body *body);
/* Returns the number of bytes that body_write would accept now.  */
size_t body_space (const struct body *body);
/* Returns whether all bytes can be read again.  */
bool body_can_rewind (const struct body *body);
/* Makes all bytes unread again; returns false and changes nothing if some are
   gone.  Whoever is still reading them would go on at the first one.  */
bool body_rewind (struct body *body);

#endif
