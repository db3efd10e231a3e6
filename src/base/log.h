/* Structured logs through log4c.

   Counters come first: a line is written only when a state changes (a
   configuration adopted, an upstream drained, a peer lost), never a call.

     log_start (LOG_FORMAT_JSON, LOG_INFO, "e1");
     LOG (LOG_INFO, "config-adopted", LOG_INT ("version", 7),
          LOG_TEXT ("source", "peer"));

   Lines go to standard error, one a line, as JSON or as text.  After
   log_buffer_stdout they go to standard output through a buffer of fixed size
   that log_flush empties as far as that is possible at once; lines that do
   not fit are counted and the count is logged, so that a reader that has
   stopped never delays a process.  Threads: any; with the buffer, one.  */
#ifndef BASE_LOG_H
#define BASE_LOG_H

#include "base/err.h"

#include <stddef.h>
#include <stdint.h>

enum log_level
{
  LOG_DEBUG,
  LOG_INFO,
  LOG_WARN,
  LOG_ERROR
};

enum log_format
{
  LOG_FORMAT_TEXT,
  LOG_FORMAT_JSON
};

/* One named value of a line: a text, or a number if `text' is NULL.  */
struct log_field
{
  const char *name;
  const char *text;
  int64_t number;
};

#define LOG_TEXT(name, value) ((struct log_field){ (name), (value), 0 })
#define LOG_INT(name, value)                                                  \
  ((struct log_field){ (name), NULL, (int64_t)(value) })
#define LOG(level, event, ...)                                                \
  log_write ((level), (event), (struct log_field[]){ __VA_ARGS__ },           \
             sizeof ((struct log_field[]){ __VA_ARGS__ })                     \
                 / sizeof (struct log_field))
#define LOG_ERR(level, event, err)                                            \
  LOG (level, event, LOG_TEXT ("error", err_name ((err)->code)),              \
       LOG_TEXT ("step", (err)->step), LOG_TEXT ("peer", (err)->peer),        \
       LOG_TEXT ("detail", (err)->detail))

/* Opens the log; ENTRY is written on each line.  */
void log_start (enum log_format format, enum log_level level,
                const char *entry);
void log_stop (void);
/* Sends all further lines to standard output, without ever waiting for it.  */
void log_buffer_stdout (void);
void log_flush (void);
void log_write (enum log_level level, const char *event,
                const struct log_field *fields, size_t count);

#endif
