/* Header fields of a message, and which of them an intermediary forwards.

   Follows RFC 9110 section 7.6: Connection and the fields that it names are
   removed, as are the other hop-by-hop fields.

   Names are compared without regard to case.  Threads: one thread; a list that
   is not changed may be read by many.  */
#ifndef CALL_HEADERS_H
#define CALL_HEADERS_H

#include "base/str.h"

struct header
{
  struct str name;
  struct str value;
};

/* Fields in the order in which they were added.  */
struct headers
{
  struct header *items;
  size_t count;
  size_t capacity;
  apr_pool_t *pool;
};

/* Makes HEADERS an empty list, which lives in POOL.  */
void headers_init (struct headers *headers, apr_pool_t *pool);
/* Adds copies of NAME and VALUE.  */
void headers_add (struct headers *headers, struct str name, struct str value);
/* Adds NAME and VALUE themselves, which are NUL-terminated and outlive the
   list.  */
void headers_add_view (struct headers *headers, struct str name,
                       struct str value);
/* Returns the first value of NAME, or an empty string.  */
struct str headers_get (const struct headers *headers, const char *name);
/* Returns whether there is a field NAME.  */
bool headers_has (const struct headers *headers, struct str name);
/* Returns how many fields NAME there are.  */
size_t headers_count_of (const struct headers *headers, struct str name);
/* Removes all fields NAME.  */
void headers_remove (struct headers *headers, struct str name);
/* Appends VALUE, of a continuation line, to the latest field, after a
   blank.  */
void headers_continue_last (struct headers *headers, struct str value);
/* Returns whether the field NAME is meant for the next hop only: it is one of
   the fixed hop-by-hop fields, or a Connection field in HEADERS names it.  */
bool headers_is_hop_by_hop (const struct headers *headers, struct str name);
/* Returns the bytes of the fields that are not hop-by-hop, as lines of a
   head.  */
size_t headers_end_to_end_bytes (const struct headers *headers);
/* Returns whether TEXT consists of 1 to 128 visible ASCII characters, so that
   it can be copied into a header field.  Used for Request-Ids.  */
bool headers_is_visible_ascii (struct str text);

#endif
