#include "base/log.h"

#include <fcntl.h>
#include <json-c/json.h>
#include <log4c.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

/* types */

static struct
{
  enum log_format format;
  enum log_level level;
  char entry[64];
  log4c_category_t *category;
  char *buffer; /* NULL: lines are written to standard error at once */
  size_t buffered;
  int64_t dropped; /* lines that did not fit and are not reported yet */
} state = { .level = LOG_INFO };

/* constants */

enum
{
  MAX_LINE_BYTES = 2048,
  BUFFER_BYTES = 256 * 1024 /* about a second of lines at the usual rates */
};

static const struct
{
  const char *name;
  int priority;
} levels[] = {
  [LOG_DEBUG] = { "debug", LOG4C_PRIORITY_DEBUG },
  [LOG_INFO] = { "info", LOG4C_PRIORITY_INFO },
  [LOG_WARN] = { "warn", LOG4C_PRIORITY_WARN },
  [LOG_ERROR] = { "error", LOG4C_PRIORITY_ERROR },
};

/* private functions */

static const char *
format_line (const log4c_layout_t *layout, const log4c_logging_event_t *event)
{
  (void)layout;
  return event->evt_msg;
}

static const log4c_layout_type_t line_layout
    = { .name = "citroncleat-line", .format = format_line };

/* Writes a line to standard error or into the buffer.  */
static int
append_line (log4c_appender_t *appender, const log4c_logging_event_t *event)
{
  (void)appender;
  if (!state.buffer)
    return fprintf (stderr, "%s\n", event->evt_rendered_msg);
  size_t size = strlen (event->evt_rendered_msg);
  if (state.buffered + size + 1 > BUFFER_BYTES)
    {
      state.dropped++;
      return 0;
    }
  memcpy (state.buffer + state.buffered, event->evt_rendered_msg, size);
  state.buffered += size;
  state.buffer[state.buffered++] = '\n';
  return (int)size;
}

static const log4c_appender_type_t line_appender
    = { .name = "citroncleat-stderr", .append = append_line };

static void
write_time (char *out, size_t size)
{
  struct timespec ts;
  struct tm tm;
  clock_gettime (CLOCK_REALTIME, &ts);
  gmtime_r (&ts.tv_sec, &tm);
  size_t n = strftime (out, size, "%Y-%m-%dT%H:%M:%S", &tm);
  snprintf (out + n, size - n, ".%03ldZ", ts.tv_nsec / 1000000);
}

static void
write_json (char *out, size_t size, const char *when, enum log_level level,
            const char *event, const struct log_field *fields, size_t count)
{
  json_object *line = json_object_new_object ();
  json_object_object_add (line, "time", json_object_new_string (when));
  json_object_object_add (line, "level",
                          json_object_new_string (levels[level].name));
  json_object_object_add (line, "entry", json_object_new_string (state.entry));
  json_object_object_add (line, "event", json_object_new_string (event));
  for (size_t i = 0; i < count; i++)
    json_object_object_add (line, fields[i].name,
                            fields[i].text
                                ? json_object_new_string (fields[i].text)
                                : json_object_new_int64 (fields[i].number));
  snprintf (out, size, "%s",
            json_object_to_json_string_ext (line, JSON_C_TO_STRING_PLAIN));
  json_object_put (line);
}

static void
write_text (char *out, size_t size, const char *when, enum log_level level,
            const char *event, const struct log_field *fields, size_t count)
{
  size_t n = (size_t)snprintf (out, size, "%s %-5s %s %s", when,
                               levels[level].name, state.entry, event);
  for (size_t i = 0; i < count && n < size; i++)
    {
      if (fields[i].text)
        n += (size_t)snprintf (out + n, size - n, " %s=\"%s\"", fields[i].name,
                               fields[i].text);
      else
        n += (size_t)snprintf (out + n, size - n, " %s=%lld", fields[i].name,
                               (long long)fields[i].number);
    }
}

/* public functions */

void
log_start (enum log_format format, enum log_level level, const char *entry)
{
  log4c_init ();
  state.format = format;
  state.level = level;
  snprintf (state.entry, sizeof state.entry, "%s", entry);
  log4c_layout_type_set (&line_layout);
  log4c_appender_type_set (&line_appender);
  log4c_layout_t *layout = log4c_layout_get ("line");
  log4c_layout_set_type (layout, &line_layout);
  log4c_appender_t *appender = log4c_appender_get ("stderr-lines");
  log4c_appender_set_type (appender, &line_appender);
  log4c_appender_set_layout (appender, layout);
  state.category = log4c_category_get ("citroncleat");
  log4c_category_set_appender (state.category, appender);
  log4c_category_set_additivity (state.category, 0);
  log4c_category_set_priority (state.category, levels[level].priority);
}

void
log_stop (void)
{
  log_flush ();
  free (state.buffer);
  state.buffer = NULL;
  state.category = NULL;
  log4c_fini ();
}

void
log_buffer_stdout (void)
{
  int flags = fcntl (STDOUT_FILENO, F_GETFL);
  if (flags >= 0)
    fcntl (STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
  state.buffer = malloc (BUFFER_BYTES);
}

void
log_flush (void)
{
  size_t written = 0;
  while (written < state.buffered)
    {
      ssize_t n = write (STDOUT_FILENO, state.buffer + written,
                         state.buffered - written);
      if (n <= 0)
        break;
      written += (size_t)n;
    }
  if (written > 0)
    memmove (state.buffer, state.buffer + written, state.buffered - written);
  state.buffered -= written;
  if (state.dropped > 0 && state.buffered == 0)
    {
      int64_t dropped = state.dropped;
      state.dropped = 0;
      LOG (LOG_WARN, "log-lines-dropped", LOG_INT ("count", dropped));
    }
}

void
log_write (enum log_level level, const char *event,
           const struct log_field *fields, size_t count)
{
  if (!state.category || level < state.level)
    return;
  char when[40];
  char line[MAX_LINE_BYTES];
  write_time (when, sizeof when);
  if (state.format == LOG_FORMAT_JSON)
    write_json (line, sizeof line, when, level, event, fields, count);
  else
    write_text (line, sizeof line, when, level, event, fields, count);
  log4c_category_log (state.category, levels[level].priority, "%s", line);
}
