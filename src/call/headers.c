#include "call/headers.h"

#include <ctype.h>
#include <string.h>

/* constants */

/* Expect is hop-by-hop here because attempts negotiate it on their own, and
   Content-Length because libcurl and libmicrohttpd set it.  */
static const char *const hop_by_hop[] = { "Connection",
                                          "Keep-Alive",
                                          "Proxy-Connection",
                                          "Proxy-Authenticate",
                                          "Proxy-Authorization",
                                          "TE",
                                          "Trailer",
                                          "Transfer-Encoding",
                                          "Upgrade",
                                          "Expect",
                                          "Content-Length",
                                          NULL };

/* private functions */

/* Returns S without leading and trailing white space.  */
static struct str
trim (struct str s)
{
  while (s.size > 0 && isspace ((unsigned char)s.data[0]))
    {
      s.data++;
      s.size--;
    }
  while (s.size > 0 && isspace ((unsigned char)s.data[s.size - 1]))
    s.size--;
  return s;
}

/* Returns whether the comma-separated LIST contains NAME.  */
static bool
list_has (struct str list, struct str name)
{
  while (list.size > 0)
    {
      const char *comma = memchr (list.data, ',', list.size);
      size_t size = comma ? (size_t)(comma - list.data) : list.size;
      if (str_equal_nocase (trim (str_view (list.data, size)), name))
        return true;
      if (!comma)
        return false;
      list = str_view (comma + 1, list.size - size - 1);
    }
  return false;
}

/* public functions */

void
headers_init (struct headers *headers, apr_pool_t *pool)
{
  memset (headers, 0, sizeof *headers);
  headers->pool = pool;
}

void
headers_add_view (struct headers *headers, struct str name, struct str value)
{
  if (headers->count == headers->capacity)
    {
      size_t capacity = headers->capacity ? 2 * headers->capacity : 16;
      struct header *items
          = apr_palloc (headers->pool, capacity * sizeof *items);
      if (headers->count > 0)
        memcpy (items, headers->items, headers->count * sizeof *items);
      headers->items = items;
      headers->capacity = capacity;
    }
  headers->items[headers->count++] = (struct header){ name, value };
}

void
headers_add (struct headers *headers, struct str name, struct str value)
{
  headers_add_view (headers, str_dup (headers->pool, name),
                    str_dup (headers->pool, value));
}

struct str
headers_get (const struct headers *headers, const char *name)
{
  for (size_t i = 0; i < headers->count; i++)
    if (str_equal_nocase (headers->items[i].name, str_from (name)))
      return headers->items[i].value;
  return STR ("");
}

bool
headers_has (const struct headers *headers, struct str name)
{
  for (size_t i = 0; i < headers->count; i++)
    if (str_equal_nocase (headers->items[i].name, name))
      return true;
  return false;
}

size_t
headers_count_of (const struct headers *headers, struct str name)
{
  size_t count = 0;
  for (size_t i = 0; i < headers->count; i++)
    count += str_equal_nocase (headers->items[i].name, name);
  return count;
}

void
headers_remove (struct headers *headers, struct str name)
{
  size_t kept = 0;
  for (size_t i = 0; i < headers->count; i++)
    if (!str_equal_nocase (headers->items[i].name, name))
      headers->items[kept++] = headers->items[i];
  headers->count = kept;
}

void
headers_continue_last (struct headers *headers, struct str value)
{
  struct header *last = &headers->items[headers->count - 1];
  if (value.size == 0)
    return;
  last->value = last->value.size == 0
                    ? str_dup (headers->pool, value)
                    : str_printf (headers->pool, "%.*s %.*s",
                                  STR_ARGS (last->value), STR_ARGS (value));
}

bool
headers_is_hop_by_hop (const struct headers *headers, struct str name)
{
  for (int i = 0; hop_by_hop[i]; i++)
    if (str_equal_nocase (name, str_from (hop_by_hop[i])))
      return true;
  for (size_t i = 0; i < headers->count; i++)
    if (str_equal_nocase (headers->items[i].name, STR ("Connection"))
        && list_has (headers->items[i].value, name))
      return true;
  return false;
}

size_t
headers_end_to_end_bytes (const struct headers *headers)
{
  size_t size = 0;
  for (size_t i = 0; i < headers->count; i++)
    if (!headers_is_hop_by_hop (headers, headers->items[i].name))
      size += headers->items[i].name.size + headers->items[i].value.size
              + strlen (": \r\n");
  return size;
}

bool
headers_is_visible_ascii (struct str text)
{
  if (text.size == 0 || text.size > 128)
    return false;
  for (size_t i = 0; i < text.size; i++)
    if (!isgraph ((unsigned char)text.data[i]))
      return false;
  return true;
}
