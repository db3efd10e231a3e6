#include "quota/internal.h"

#include <apr_strings.h>
#include <ctype.h>
#include <stdlib.h>
#include <string.h>

/* constants */

enum
{
  ITEM_MAX_BYTES = 80,
  /* Larger numbers are no correct peer's.  */
  TOKENS_MAX = 10000000
};

/* private functions */

/* Reads the next field of TEXT, a hexadecimal number.  */
static bool
read_hash (struct str *text, uint64_t *value)
{
  struct str field = str_next_field (text, ',');
  *value = 0;
  if (field.size == 0 || field.size > 16)
    return false;
  for (size_t i = 0; i < field.size; i++)
    {
      char c = field.data[i];
      if (!isxdigit ((unsigned char)c))
        return false;
      *value = *value * 16
               + (uint64_t)(isdigit ((unsigned char)c)
                                ? c - '0'
                                : tolower ((unsigned char)c) - 'a' + 10);
    }
  return true;
}

/* Reads the next field of TEXT, a number from 0 to TOKENS_MAX.  */
static bool
read_count (struct str *text, int64_t *value)
{
  struct str field = str_next_field (text, ',');
  for (size_t i = 0; i < field.size; i++)
    if (!isdigit ((unsigned char)field.data[i]))
      return false;
  *value = str_to_number (field);
  return field.size > 0 && field.size <= 8 && *value <= TOKENS_MAX;
}

/* Returns room for COUNT items and a head.  */
static char *
allocate (apr_pool_t *pool, size_t count)
{
  return apr_palloc (pool, (count + 1) * ITEM_MAX_BYTES);
}

/* functions of the module */

struct str
message_write (const struct quota_message *message, apr_pool_t *pool)
{
  char *text = allocate (pool, message->count);
  int size = apr_snprintf (text, ITEM_MAX_BYTES,
                           "%" APR_UINT64_T_HEX_FMT ",%" APR_INT64_T_FMT
                           ",%" APR_UINT64_T_HEX_FMT,
                           message->sender, message->share, message->hubs);
  for (size_t i = 0; i < message->count; i++)
    {
      const struct quota_want *want = &message->wants[i];
      size += apr_snprintf (text + size, ITEM_MAX_BYTES,
                            ";%" APR_UINT64_T_HEX_FMT ",%" APR_INT64_T_FMT
                            ",%" APR_INT64_T_FMT ",%" APR_INT64_T_FMT,
                            want->tenant, want->need, want->more,
                            want->surplus);
    }
  return str_view (text, (size_t)size);
}

bool
message_read (struct str text, struct quota_message *message)
{
  struct str head = str_next_field (&text, ';');
  message->count = 0;
  if (!read_hash (&head, &message->sender)
      || !read_count (&head, &message->share)
      || !read_hash (&head, &message->hubs) || head.size > 0)
    return false;
  while (text.size > 0 && message->count < QUOTA_ITEMS_MAX)
    {
      struct str item = str_next_field (&text, ';');
      struct quota_want *want = &message->wants[message->count++];
      if (!read_hash (&item, &want->tenant) || !read_count (&item, &want->need)
          || !read_count (&item, &want->more)
          || !read_count (&item, &want->surplus) || item.size > 0)
        return false;
    }
  return text.size == 0;
}

struct str
reply_write (const struct quota_reply *reply, apr_pool_t *pool)
{
  char *text = allocate (pool, reply->count);
  int size = apr_snprintf (text, ITEM_MAX_BYTES, "ok");
  for (size_t i = 0; i < reply->count; i++)
    size += apr_snprintf (text + size, ITEM_MAX_BYTES,
                          ";%" APR_UINT64_T_HEX_FMT ",%" APR_INT64_T_FMT
                          ",%" APR_INT64_T_FMT,
                          reply->grants[i].tenant, reply->grants[i].tokens,
                          reply->grants[i].hint_ms);
  return str_view (text, (size_t)size);
}

bool
reply_read (struct str text, struct quota_reply *reply)
{
  struct str head = str_next_field (&text, ';');
  reply->count = 0;
  if (!str_equal (head, STR ("ok")))
    return false;
  while (text.size > 0 && reply->count < QUOTA_ITEMS_MAX)
    {
      struct str item = str_next_field (&text, ';');
      struct quota_grant *grant = &reply->grants[reply->count++];
      if (!read_hash (&item, &grant->tenant)
          || !read_count (&item, &grant->tokens)
          || !read_count (&item, &grant->hint_ms) || item.size > 0)
        return false;
    }
  return text.size == 0;
}
