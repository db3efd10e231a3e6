/* Length-counted strings.

   A `struct str' is a view: it owns nothing.  Every string that this module
   makes is also terminated by a NUL that `size' does not count, so that its
   `data' may be passed to a C interface.  A view into a larger buffer
   (`str_view') is not terminated.

   Example:
     struct str name = str_dup (pool, STR ("gwent"));
     printf ("%.*s", STR_ARGS (name));

   Threads: all functions are pure or allocate from the caller's pool.  */
#ifndef BASE_STR_H
#define BASE_STR_H

#include <apr_pools.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stddef.h>

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

#define STR(literal) ((struct str){ (literal), sizeof (literal) - 1 })
#define STR_ARGS(s) (int)(s).size, (s).data

/* Returns a view of the NUL-terminated TEXT; NULL gives the empty string.  */
struct str str_from (const char *text);
/* Returns a view of SIZE bytes at DATA.  */
struct str str_view (const char *data, size_t size);
/* Copies S into POOL.  */
struct str str_dup (apr_pool_t *pool, struct str s);
/* Formats into POOL as printf does (APR's own formatter knows fewer
   conversions).  */
char *str_vformat (apr_pool_t *pool, const char *format, va_list args)
    __attribute__ ((format (printf, 2, 0)));
char *str_format (apr_pool_t *pool, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));
struct str str_printf (apr_pool_t *pool, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));
bool str_equal (struct str a, struct str b);
/* As `str_equal', but ASCII letters of either case are equal.  */
bool str_equal_nocase (struct str a, struct str b);
bool str_starts (struct str s, struct str prefix);
bool str_list_has (const struct str_list *list, struct str s);
/* Orders as memcmp does, the shorter first among equal prefixes.  */
int str_compare (struct str a, struct str b);
/* Returns the number of single-character edits that turn A into B; both are
   cut at 63 bytes.  */
size_t str_distance (struct str a, struct str b);

#endif
