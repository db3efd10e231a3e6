/* The command `trace': follows a request, an upstream or a configuration's
   version over the logs of several entries.  */
#include "client/command_line.h"

#include <json-c/json.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* types */

/* A log line that concerns what is traced.  */
struct trace_line
{
  const char *time; /* ISO 8601, so that the order of texts is that of time */
  size_t number;    /* in the order of reading */
  const char *file;
  json_object *object;
};

struct trace
{
  const char *request_id; /* one of the three is set */
  const char *upstream;
  const char *version;
  struct trace_line *lines;
  size_t count;
  size_t capacity;
};

enum
{
  INITIAL_LINES = 64,
  MAX_FILES = 1024
};

/* private functions */

static bool
has_text (json_object *object, const char *name, const char *text)
{
  return text && strcmp (json_member_text (object, name), text) == 0;
}

/* Returns whether the line OBJECT concerns what is traced.  The id is the
   upstream's in events `upstream', and the request's in others.  */
static bool
is_concerned (const struct trace *trace, json_object *object)
{
  bool is_upstream = has_text (object, "event", "upstream");
  if (trace->request_id)
    return !is_upstream && has_text (object, "id", trace->request_id);
  if (trace->upstream)
    return has_text (object, is_upstream ? "id" : "upstream", trace->upstream);
  json_object *version = json_member (object, "version");
  return version && trace->version
         && strncmp (json_member_text (object, "event"), "configuration",
                     strlen ("configuration"))
                == 0
         && strcmp (json_object_get_string (version), trace->version) == 0;
}

/* Takes over OBJECT.  */
static void
add_line (struct trace *trace, const char *file, json_object *object)
{
  if (trace->count == trace->capacity)
    {
      trace->capacity = trace->capacity ? 2 * trace->capacity : INITIAL_LINES;
      trace->lines
          = realloc (trace->lines, trace->capacity * sizeof *trace->lines);
      if (!trace->lines)
        abort ();
    }
  trace->lines[trace->count]
      = (struct trace_line){ json_member_text (object, "time"), trace->count,
                             file, object };
  trace->count++;
}

/* Reads the lines of FILE that concern what is traced; others, also those that
   are no JSON, are skipped.  Returns false if FILE can't be read.  */
static bool
read_file (struct trace *trace, const char *file)
{
  char *text = NULL;
  size_t size = 0;
  FILE *stream = fopen (file, "r");
  if (!stream)
    {
      fprintf (stderr, "trace: can't open %s\n", file);
      return false;
    }
  while (getline (&text, &size, stream) > 0)
    {
      json_object *object = text[0] == '{' ? json_tokener_parse (text) : NULL;
      if (object && is_concerned (trace, object))
        add_line (trace, file, object);
      else
        json_object_put (object);
    }
  free (text);
  fclose (stream);
  return true;
}

static int
compare_lines (const void *a, const void *b)
{
  const struct trace_line *first = a;
  const struct trace_line *second = b;
  int order = strcmp (first->time, second->time);
  if (order != 0)
    return order;
  return (first->number > second->number) - (first->number < second->number);
}

static void
print_line (const struct trace_line *line)
{
  const char *entry = json_member_text (line->object, "entry");
  printf ("%s %s %s", line->time, *entry ? entry : line->file,
          json_member_text (line->object, "event"));
  json_object_object_foreach (line->object, name, value)
  {
    if (strcmp (name, "time") != 0 && strcmp (name, "entry") != 0
        && strcmp (name, "event") != 0 && strcmp (name, "level") != 0)
      printf (" %s=%s", name, json_object_to_json_string (value));
  }
  printf ("\n");
}

/* public functions */

int
run_trace (int argc, char **argv)
{
  struct command_line line
      = { .name = "trace",
          .help = "Prints what the logs of entries say of a request, an "
                  "upstream or a configuration's version, by time." };
  struct arg_str *id = arg_str0 (NULL, "id", "ID", "a request's id");
  struct arg_str *upstream
      = arg_str0 (NULL, "upstream", "ID", "an upstream's id");
  struct arg_str *version
      = arg_str0 (NULL, "version", "N", "a configuration's version");
  struct arg_file *files = arg_filen (NULL, NULL, "LOGFILE", 1, MAX_FILES,
                                      "JSON log of an entry");
  struct trace trace = { 0 };
  int status;
  command_line_add (&line, id);
  command_line_add (&line, upstream);
  command_line_add (&line, version);
  command_line_add (&line, files);
  if (!command_line_parse (&line, argc, argv, &status))
    return status;
  if (id->count + upstream->count + version->count != 1)
    {
      fputs ("trace: give one of --id, --upstream and --version\n", stderr);
      return EXIT_USAGE;
    }
  trace.request_id = id->count ? id->sval[0] : NULL;
  trace.upstream = upstream->count ? upstream->sval[0] : NULL;
  trace.version = version->count ? version->sval[0] : NULL;
  status = EXIT_DONE;
  for (int i = 0; i < files->count; i++)
    if (!read_file (&trace, files->filename[i]))
      status = EXIT_FAILED;
  if (trace.count > 0)
    qsort (trace.lines, trace.count, sizeof *trace.lines, compare_lines);
  for (size_t i = 0; i < trace.count; i++)
    {
      print_line (&trace.lines[i]);
      json_object_put (trace.lines[i].object);
    }
  free (trace.lines);
  if (trace.count > 0 || status != EXIT_DONE)
    return status;
  fputs ("trace: no line concerns it\n", stderr);
  return EXIT_NOT_FOUND;
}
