/* Grammar of the head of an HTTP/1 response (RFC 9112), which is checked line
   by line before any of it is used or passed on.

   libcurl takes heads that the standard doesn't allow: it reads a status from
   other digits, and passes over a field whose name it doesn't recognize, also
   if that should have stated where the body ends.  What is malformed here is
   no response at all.

     struct http_head head = { 0 };
     switch (http_head_add_line (&head, line))
       {
       case HTTP_HEAD_FIELD:
         add (head.name, head.value);
         ...

   The lines of interim responses come first: after the end of a head whose
   status is below 200 the next line begins another head.  Lines end with LF or
   CRLF.  A field's value may be continued on further lines (obs-fold); such a
   line replaces the line end and the blanks around it by one blank.

   Accepted though senders should not send it: a status line without the blank
   before an empty reason, fields Content-Length that repeat the same number.

   Threads: no shared state.  */
#ifndef BASE_HTTP_HEAD_H
#define BASE_HTTP_HEAD_H

#include "base/str.h"

enum http_head_line
{
  HTTP_HEAD_MALFORMED, /* `problem' says why */
  HTTP_HEAD_STATUS,    /* a status line */
  HTTP_HEAD_FIELD,     /* `name' and `value' are set */
  HTTP_HEAD_FOLD,      /* `value' continues the latest field */
  HTTP_HEAD_END        /* the empty line */
};

struct http_head
{
  int status;     /* 0: no status line yet */
  int64_t length; /* Content-Length; valid if `has_length' */
  bool has_length;
  bool is_chunked;
  struct str name;  /* views of the latest line; `value' without the blanks */
  struct str value; /* around it */
  const char *problem;
  /* Internal.  */
  int minor_version;
  bool has_ended;
  bool has_field;
  bool field_is_framing; /* the latest field states where the body ends */
};

/* Checks the next LINE of HEAD, with its line end.  */
enum http_head_line http_head_add_line (struct http_head *head,
                                        struct str line);
/* Returns whether the head of the final response is complete; further lines
   are trailers.  */
bool http_head_is_final (const struct http_head *head);

#endif
