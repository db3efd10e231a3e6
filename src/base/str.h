/* Strings with a length.

   A `struct str' is a view: it does not own its bytes.  Strings that this
   module allocates are followed by a NUL, which `size' does not count, so
   that their `data' may be passed to C interfaces.  A view into a larger
   buffer (`str_view') has no such NUL.

   Example:
     struct str name = str_dup (pool, STR ("gwent"));
     printf ("%.*s", STR_ARGS (name));

   Threads: no shared state; allocations come from the caller's pool.  */
#ifndef BASE_STR_H
#define BASE_STR_H

#include <apr_pools.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* A string of SIZE bytes at DATA.  */
struct str
{
  const char *data;
  size_t size;
};

/* A list of strings.  */
struct str_list
{
  struct str *items;
  size_t count;
};

/* A view of a string literal.  */
#define STR(literal) ((struct str){ (literal), sizeof (literal) - 1 })
/* The two arguments of a "%.*s" conversion.  */
#define STR_ARGS(s) (int)(s).size, (s).data

/* Returns a view of the NUL-terminated TEXT; NULL gives the empty string.  */
struct str str_from (const char *text);
/* Returns a view of SIZE bytes at DATA.  */
struct str str_view (const char *data, size_t size);
/* Copies S into POOL, with a NUL after it.  */
struct str str_dup (apr_pool_t *pool, struct str s);
/* Format into POOL with the conversions of printf, of which APR's own
   formatter supports fewer.  str_printf returns a struct str, the others a
   C string.  */
char *str_vformat (apr_pool_t *pool, const char *format, va_list args)
    __attribute__ ((format (printf, 2, 0)));
char *str_format (apr_pool_t *pool, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));
struct str str_printf (apr_pool_t *pool, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));
bool str_equal (struct str a, struct str b);
/* As `str_equal', but ignores the case of ASCII letters.  */
bool str_equal_nocase (struct str a, struct str b);
bool str_starts_with (struct str s, struct str prefix);
/* Splits the next field off *TEXT, which SEPARATOR or the end of the text
   ends; returns an empty string at the end.  */
struct str str_next_field (struct str *text, char separator);
/* Returns the decimal number at the start of S, negative after a "-"; 0 if
   there is none.  Digits beyond the range of the type are ignored.  */
int64_t str_to_number (struct str s);
/* Copies S into POOL as a part of a URL's path or query: each byte that isn't
   unreserved (RFC 3986, 2.3) or a slash is escaped, so that decoding gives S
   again.  */
struct str str_url_escape (apr_pool_t *pool, struct str s);
/* Returns whether S can be part of a URL as it is; the empty string can't.  */
bool str_is_url_safe (struct str s);
bool str_list_contains (const struct str_list *list, struct str s);
/* Compares bytes as memcmp does; a string sorts after its own prefixes.  */
int str_compare (struct str a, struct str b);
/* Returns the Levenshtein distance: the number of single-byte insertions,
   deletions and replacements that turn A into B.  Only the first 63 bytes of
   each count.  */
size_t str_edit_distance (struct str a, struct str b);

#endif
