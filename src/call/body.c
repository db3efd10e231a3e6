#include "call/body.h"

#include <stdlib.h>
#include <string.h>

/* private functions */

/* Allocates space for SIZE bytes, at most the limit.  */
static void
grow (struct body *body, size_t size)
{
  size_t capacity = body->capacity ? body->capacity : 1024;
  while (capacity < size)
    capacity *= 2;
  if (capacity > body->limit)
    capacity = body->limit;
  if (capacity <= body->capacity)
    return;
  char *data = realloc (body->data, capacity);
  if (!data)
    abort ();
  body->data = data;
  body->capacity = capacity;
}

/* Removes the bytes that were read, to make space for others.  */
static void
compact (struct body *body)
{
  if (body->read == 0)
    return;
  body->size -= body->read;
  memmove (body->data, body->data + body->read, body->size);
  body->read = 0;
  body->dropped = true;
}

/* public functions */

void
body_init (struct body *body, size_t limit)
{
  memset (body, 0, sizeof *body);
  body->limit = limit;
}

void
body_free (struct body *body)
{
  free (body->data);
  memset (body, 0, sizeof *body);
}

size_t
body_write (struct body *body, const char *data, size_t size)
{
  if (body->size + size > body->limit)
    compact (body);
  if (body->size + size > body->limit)
    size = body->limit - body->size;
  grow (body, body->size + size);
  memcpy (body->data + body->size, data, size);
  body->size += size;
  return size;
}

size_t
body_read (struct body *body, char *out, size_t size)
{
  size_t unread = body->size - body->read;
  if (size > unread)
    size = unread;
  memcpy (out, body->data + body->read, size);
  body->read += size;
  return size;
}

char *
body_take (struct body *body)
{
  char *data = body->data;
  body->data = NULL;
  body->size = body->capacity = 0;
  return data;
}

size_t
body_unread (const struct body *body)
{
  return body->size - body->read;
}

size_t
body_space (const struct body *body)
{
  return body->limit - (body->size - body->read);
}

bool
body_can_rewind (const struct body *body)
{
  return !body->dropped;
}

bool
body_rewind (struct body *body)
{
  if (!body_can_rewind (body))
    return false;
  body->read = 0;
  return true;
}
