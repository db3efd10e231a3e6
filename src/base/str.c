#include "base/str.h"

#include <apr_strings.h>
#include <stdio.h>
#include <string.h>
#include <strings.h>

/* constants */

static const char url_safe[]
    = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_.";

/* private functions */

/* Returns whether BYTE is one of the characters of SET, which its null byte is
   not.  */
static bool
is_one_of (char byte, const char *set)
{
  return byte && strchr (set, byte);
}

struct str
str_from (const char *text)
{
  if (!text)
    return STR ("");
  return (struct str){ text, strlen (text) };
}

struct str
str_view (const char *data, size_t size)
{
  return (struct str){ data, size };
}

struct str
str_dup (apr_pool_t *pool, struct str s)
{
  char *copy = apr_pstrmemdup (pool, s.data ? s.data : "", s.size);
  return (struct str){ copy, s.size };
}

char *
str_vformat (apr_pool_t *pool, const char *format, va_list args)
{
  va_list args_copy;
  va_copy (args_copy, args);
  int size = vsnprintf (NULL, 0, format, args_copy);
  va_end (args_copy);
  char *text = apr_palloc (pool, (apr_size_t)size + 1);
  vsnprintf (text, (size_t)size + 1, format, args);
  return text;
}

char *
str_format (apr_pool_t *pool, const char *format, ...)
{
  va_list args;
  va_start (args, format);
  char *text = str_vformat (pool, format, args);
  va_end (args);
  return text;
}

struct str
str_printf (apr_pool_t *pool, const char *format, ...)
{
  va_list args;
  va_start (args, format);
  char *text = str_vformat (pool, format, args);
  va_end (args);
  return str_from (text);
}

bool
str_equal (struct str a, struct str b)
{
  /* The data of an empty view may be NULL.  */
  return a.size == b.size
         && (a.size == 0 || memcmp (a.data, b.data, a.size) == 0);
}

bool
str_equal_nocase (struct str a, struct str b)
{
  return a.size == b.size
         && (a.size == 0 || strncasecmp (a.data, b.data, a.size) == 0);
}

bool
str_starts_with (struct str s, struct str prefix)
{
  return s.size >= prefix.size
         && (prefix.size == 0
             || memcmp (s.data, prefix.data, prefix.size) == 0);
}

struct str
str_next_field (struct str *text, char separator)
{
  const char *end
      = text->size > 0 ? memchr (text->data, separator, text->size) : NULL;
  size_t size = end ? (size_t)(end - text->data) : text->size;
  struct str field = str_view (text->data, size);
  size_t skipped = size + (end ? 1 : 0);
  *text = str_view (text->data + skipped, text->size - skipped);
  return field;
}

int64_t
str_to_number (struct str s)
{
  int64_t number = 0;
  bool is_negative = s.size > 0 && s.data[0] == '-';
  for (size_t i = is_negative;
       i < s.size && s.data[i] >= '0' && s.data[i] <= '9'
       && number <= (INT64_MAX - 9) / 10;
       i++)
    number = number * 10 + (s.data[i] - '0');
  return is_negative ? -number : number;
}

struct str
str_url_escape (apr_pool_t *pool, struct str s)
{
  static const char digits[] = "0123456789ABCDEF";
  char *out = apr_palloc (pool, 3 * s.size + 1);
  size_t n = 0;
  for (size_t i = 0; i < s.size; i++)
    {
      unsigned char byte = (unsigned char)s.data[i];
      if (is_one_of (s.data[i], url_safe) || byte == '~' || byte == '/')
        out[n++] = s.data[i];
      else
        {
          out[n++] = '%';
          out[n++] = digits[byte >> 4];
          out[n++] = digits[byte & 0xf];
        }
    }
  out[n] = 0;
  return str_view (out, n);
}

bool
str_is_url_safe (struct str s)
{
  for (size_t i = 0; i < s.size; i++)
    if (!is_one_of (s.data[i], url_safe))
      return false;
  return s.size > 0;
}

bool
str_list_contains (const struct str_list *list, struct str s)
{
  for (size_t i = 0; i < list->count; i++)
    if (str_equal (list->items[i], s))
      return true;
  return false;
}

int
str_compare (struct str a, struct str b)
{
  size_t n = a.size < b.size ? a.size : b.size;
  int order = n > 0 ? memcmp (a.data, b.data, n) : 0;
  if (order != 0)
    return order;
  return (a.size > b.size) - (a.size < b.size);
}

size_t
str_edit_distance (struct str a, struct str b)
{
  enum
  {
    MAX_SIZE = 63
  };
  /* One row of the dynamic-programming table, updated in place.  */
  size_t row[MAX_SIZE + 1];
  size_t n = a.size < MAX_SIZE ? a.size : MAX_SIZE;
  size_t m = b.size < MAX_SIZE ? b.size : MAX_SIZE;
  for (size_t j = 0; j <= m; j++)
    row[j] = j;
  for (size_t i = 1; i <= n; i++)
    {
      size_t diagonal = row[0];
      row[0] = i;
      for (size_t j = 1; j <= m; j++)
        {
          size_t best = diagonal + (a.data[i - 1] != b.data[j - 1]);
          if (row[j] + 1 < best)
            best = row[j] + 1;
          if (row[j - 1] + 1 < best)
            best = row[j - 1] + 1;
          diagonal = row[j];
          row[j] = best;
        }
    }
  return row[m];
}
