/* Structured logging through log4c.

   Lines are written when a state changes (a configuration adopted, an
   upstream drained, a peer lost), never for each call: calls are visible in
   metrics (base/counter.h).

     log_start (LOG_FORMAT_JSON, LOG_INFO, "e1");
     LOG (LOG_INFO, "config-adopted", LOG_INT ("version", 7),
          LOG_TEXT ("source", "peer"));

   Lines go to standard error, one event a line, as JSON or as text, cut to
   2047 bytes.  After log_buffer_stdout they go to a buffer of 256 KiB, which
   log_flush writes to standard output as far as that is possible without
   blocking.  Lines that do not fit are dropped and counted, and the count is
   logged, so that a reader of standard output that has stopped never blocks
   the process.

   Threads: any; with the buffer, one.  */
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

/* A named value of a line: `text', or `number' if `text' is NULL.  */
struct log_field
{
  const char *name;
  const char *text;
  int64_t number;
};

#define LOG_TEXT(name, value) ((struct log_field){ (name), (value), 0 })
#define LOG_INT(name, value)                                                  \
  ((struct log_field){ (name), NULL, (int64_t)(value) })
/* Logs EVENT with one or more fields made by LOG_TEXT or LOG_INT.  */
#define LOG(level, event, ...)                                                \
  log_write ((level), (event), (struct log_field[]){ __VA_ARGS__ },           \
             sizeof ((struct log_field[]){ __VA_ARGS__ })                     \
                 / sizeof (struct log_field))
/* Logs EVENT with the contents of the struct err at ERR.  */
#define LOG_ERR(level, event, err)                                            \
  LOG (level, event, LOG_TEXT ("error", err_name ((err)->code)),              \
       LOG_TEXT ("step", (err)->step), LOG_TEXT ("peer", (err)->peer),        \
       LOG_TEXT ("detail", (err)->detail))

/* Opens the log.  Events below LEVEL are discarded.  ENTRY, the name of this
   entry, is part of each line.  Before log_start nothing is logged.  */
void log_start (enum log_format format, enum log_level level,
                const char *entry);
/* Flushes and closes the log.  */
void log_stop (void);
/* Sends all further lines to standard output, which is made non-blocking,
   through the buffer.  */
void log_buffer_stdout (void);
/* Writes as much of the buffer as possible without blocking; call it regularly
   after log_buffer_stdout.  */
void log_flush (void);
/* Logs EVENT with COUNT fields; called through LOG.  */
void log_write (enum log_level level, const char *event,
                const struct log_field *fields, size_t count);

#endif
