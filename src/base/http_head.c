#include "base/http_head.h"

#include <string.h>

/* constants */

enum
{
  INTERIM_STATUS = 100, /* the first one */
  SWITCHING_PROTOCOLS = 101,
  FINAL_STATUS = 200,
  STATUS_END = 600,
  LENGTH_MAX_DIGITS = 18 /* fit into 63 bits */
};

/* private functions */

static bool
is_digit (char byte)
{
  return byte >= '0' && byte <= '9';
}

static bool
is_blank (char byte)
{
  return byte == ' ' || byte == '\t';
}

/* Returns whether TEXT is a token (RFC 9110, 5.6.2).  */
static bool
is_token (struct str text)
{
  for (size_t i = 0; i < text.size; i++)
    {
      char byte = text.data[i];
      if (!is_digit (byte) && !((byte | 0x20) >= 'a' && (byte | 0x20) <= 'z')
          && (!byte || !strchr ("!#$%&'*+-.^_`|~", byte)))
        return false;
    }
  return text.size > 0;
}

/* Returns whether TEXT has no control bytes but tabs.  */
static bool
is_text (struct str text)
{
  for (size_t i = 0; i < text.size; i++)
    if (((unsigned char)text.data[i] < ' ' && text.data[i] != '\t')
        || text.data[i] == 0x7f)
      return false;
  return true;
}

static struct str
trim (struct str text)
{
  while (text.size > 0 && is_blank (text.data[0]))
    text = str_view (text.data + 1, text.size - 1);
  while (text.size > 0 && is_blank (text.data[text.size - 1]))
    text.size--;
  return text;
}

static enum http_head_line
refuse (struct http_head *head, const char *problem)
{
  head->problem = problem;
  return HTTP_HEAD_MALFORMED;
}

static enum http_head_line
read_status_line (struct http_head *head, struct str line)
{
  static const char version[] = "HTTP/1.";
  enum
  {
    VERSION_END = sizeof version, /* and one digit */
    STATUS_START = VERSION_END + 1,
    REASON_START = STATUS_START + 3
  };
  *head = (struct http_head){ 0 };
  if (line.size < REASON_START
      || memcmp (line.data, version, sizeof version - 1) != 0
      || !is_digit (line.data[VERSION_END - 1])
      || line.data[VERSION_END] != ' ')
    return refuse (head, "the status line is malformed");
  for (size_t i = STATUS_START; i < REASON_START; i++)
    {
      if (!is_digit (line.data[i]))
        return refuse (head, "the status is not three digits");
      head->status = 10 * head->status + (line.data[i] - '0');
    }
  if (line.size > REASON_START && line.data[REASON_START] != ' ')
    return refuse (head, "the status is not three digits");
  if (head->status < INTERIM_STATUS || head->status >= STATUS_END)
    return refuse (head, "the status is not one from 100 to 599");
  if (head->status == SWITCHING_PROTOCOLS)
    return refuse (head, "the protocol is switched without a request");
  if (!is_text (line))
    return refuse (head, "a control byte in the status line");
  head->minor_version = line.data[VERSION_END - 1] - '0';
  return HTTP_HEAD_STATUS;
}

static enum http_head_line
read_length (struct http_head *head)
{
  int64_t length = 0;
  if (head->value.size == 0 || head->value.size > LENGTH_MAX_DIGITS)
    return refuse (head, "the length is no number");
  for (size_t i = 0; i < head->value.size; i++)
    {
      if (!is_digit (head->value.data[i]))
        return refuse (head, "the length is no number");
      length = 10 * length + (head->value.data[i] - '0');
    }
  if (head->has_length && head->length != length)
    return refuse (head, "two lengths");
  head->has_length = true;
  head->length = length;
  return HTTP_HEAD_FIELD;
}

static enum http_head_line
read_coding (struct http_head *head)
{
  if (head->is_chunked || !str_equal_nocase (head->value, STR ("chunked")))
    return refuse (head, "the transfer coding is not chunked");
  if (head->minor_version == 0)
    return refuse (head, "a transfer coding in HTTP/1.0");
  head->is_chunked = true;
  return HTTP_HEAD_FIELD;
}

static enum http_head_line
read_field (struct http_head *head, struct str line)
{
  const char *colon = memchr (line.data, ':', line.size);
  size_t size = colon ? (size_t)(colon - line.data) : line.size;
  head->name = str_view (line.data, size);
  if (!colon || !is_token (head->name))
    return refuse (head, "the name of a field is no token");
  head->value = trim (str_view (colon + 1, line.size - size - 1));
  if (!is_text (head->value))
    return refuse (head, "a control byte in a field");
  head->has_field = true;
  bool is_length = str_equal_nocase (head->name, STR ("Content-Length"));
  head->field_is_framing
      = is_length || str_equal_nocase (head->name, STR ("Transfer-Encoding"));
  if (!head->field_is_framing)
    return HTTP_HEAD_FIELD;
  /* libcurl would take the length of an interim response for that of the
     final one.  */
  if (head->status < FINAL_STATUS)
    return refuse (head, "an interim response with a body");
  return is_length ? read_length (head) : read_coding (head);
}

static enum http_head_line
read_fold (struct http_head *head, struct str line)
{
  head->value = trim (line);
  if (!head->has_field)
    return refuse (head, "the first field has no name");
  /* libcurl has read its first line already.  */
  if (head->field_is_framing)
    return refuse (head,
                   "the field that states where the body ends is folded");
  if (!is_text (head->value))
    return refuse (head, "a control byte in a field");
  return HTTP_HEAD_FOLD;
}

static enum http_head_line
end_head (struct http_head *head)
{
  head->has_ended = true;
  /* RFC 9112, 6.3: ought to be handled as an error.  */
  if (head->has_length && head->is_chunked)
    return refuse (head, "a length and a transfer coding");
  return HTTP_HEAD_END;
}

/* public functions */

enum http_head_line
http_head_add_line (struct http_head *head, struct str line)
{
  if (line.size == 0 || line.data[line.size - 1] != '\n')
    return refuse (head, "a line without its end");
  line.size--;
  if (line.size > 0 && line.data[line.size - 1] == '\r')
    line.size--;
  if (head->status == 0 || head->has_ended)
    return read_status_line (head, line);
  if (line.size == 0)
    return end_head (head);
  return is_blank (line.data[0]) ? read_fold (head, line)
                                 : read_field (head, line);
}

bool
http_head_is_final (const struct http_head *head)
{
  return head->has_ended && head->status >= FINAL_STATUS;
}
