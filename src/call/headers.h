/* Headers that an intermediary passes on, replaces or removes.

   Follows RFC 9110 section 7.6: Connection and the fields that it names are
   removed, as are the other hop-by-hop fields.  Threads: pure functions.  */
#ifndef CALL_HEADERS_H
#define CALL_HEADERS_H

#include "base/str.h"

struct header
{
  struct str name;
  struct str value;
};

struct headers
{
  struct header *items;
  size_t count;
  size_t room;
  apr_pool_t *pool;
};

void headers_init (struct headers *headers, apr_pool_t *pool);
/* Adds copies of NAME and VALUE.  */
void headers_add (struct headers *headers, struct str name, struct str value);
/* Returns the first value of NAME, or an empty string.  */
struct str headers_get (const struct headers *headers, const char *name);
/* Returns whether there is a field NAME.  */
bool headers_has (const struct headers *headers, struct str name);
/* Splits a line "Name: value\r\n" and adds it; returns false if it is not
   one.  */
bool headers_add_line (struct headers *headers, struct str line);
/* Returns whether the field NAME is meant for the next hop only, given the
   values of all Connection fields in HEADERS.  */
bool headers_is_hop_by_hop (const struct headers *headers, struct str name);
/* Returns whether TEXT can stand in a header: visible ASCII, no spaces.  */
bool headers_is_token (struct str text);

#endif
