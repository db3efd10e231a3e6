#include "client/command_line.h"

#include <apr_strings.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* constants */

enum
{
  MAX_ERRORS_SHOWN = 10,
  MAX_ARGUMENTS = 4 + 4 + 1, /* the command's own, common ones, end */
  MAX_ENTRIES = 16
};

/* private functions */

/* Sets the common options from the arguments or, where they are not given,
   from the environment.  */
static void
read_options (struct command_line *line)
{
  struct client_options *options = &line->options;
  const char *entry = getenv ("CITRONCLEAT_ENTRY");
  for (int i = 0; i < line->entry->count; i++)
    options->entries[options->entry_count++] = line->entry->sval[i];
  if (options->entry_count == 0)
    options->entries[options->entry_count++]
        = entry ? entry : "127.0.0.1:7800";
  options->token = line->token->count > 0 ? line->token->sval[0]
                                          : getenv ("CITRONCLEAT_TOKEN");
  options->as_json
      = line->output->count > 0 && strcmp (line->output->sval[0], "json") == 0;
}

static apr_status_t
free_arguments (void *table)
{
  arg_freetable (table, MAX_ARGUMENTS);
  return APR_SUCCESS;
}

/* public functions */

void
command_line_add (struct command_line *line, void *arg)
{
  line->arguments[line->argument_count++] = arg;
}

bool
command_line_parse (struct command_line *line, int argc, char **argv,
                    int *status)
{
  void **table;
  int n = 0;
  apr_pool_create (&line->options.pool, NULL);
  table = apr_pcalloc (line->options.pool, MAX_ARGUMENTS * sizeof *table);
  apr_pool_cleanup_register (line->options.pool, table, free_arguments,
                             apr_pool_cleanup_null);
  line->help_option = arg_lit0 (NULL, "help", "show this help and exit");
  line->entry = arg_strn (NULL, "entry", "IP:PORT", 0, MAX_ENTRIES,
                          "operators' address of an entry; may be repeated");
  line->token = arg_str0 (NULL, "token", "TOKEN",
                          "operators' token (or CITRONCLEAT_TOKEN)");
  line->output
      = arg_str0 ("o", "output", "FORMAT", "'json' or 'table' (default)");
  line->end = arg_end (MAX_ERRORS_SHOWN);
  for (int i = 0; i < line->argument_count; i++)
    table[n++] = line->arguments[i];
  table[n++] = line->entry;
  table[n++] = line->token;
  table[n++] = line->output;
  table[n++] = line->help_option;
  table[n++] = line->end;
  int errors = arg_parse (argc, argv, table);
  if (line->help_option->count > 0)
    {
      printf ("Usage: citroncleat %s", line->name);
      arg_print_syntax (stdout, table, "\n");
      printf ("%s\n\n", line->help);
      arg_print_glossary (stdout, table, "  %-28s %s\n");
      *status = EXIT_DONE;
      return false;
    }
  if (errors > 0)
    {
      arg_print_errors (stderr, line->end, "citroncleat");
      fprintf (stderr, "Try 'citroncleat %s --help'.\n", line->name);
      *status = EXIT_USAGE;
      return false;
    }
  read_options (line);
  return true;
}

enum resource_kind
client_parse_kind (const char *text)
{
  enum resource_kind kind = resource_kind_from_name (str_from (text));
  if (kind != KIND_COUNT)
    return kind;
  fprintf (stderr, "citroncleat: '%s' is not a kind; kinds are", text);
  for (int i = 0; i < KIND_COUNT; i++)
    fprintf (stderr, " %s", resource_kinds[i].kind);
  fputc ('\n', stderr);
  return KIND_COUNT;
}

const char *
client_create_operation_id (apr_pool_t *pool)
{
  unsigned char raw[12];
  char *hex = apr_palloc (pool, 2 * sizeof raw + 1);
  randombytes_buf (raw, sizeof raw);
  return sodium_bin2hex (hex, 2 * sizeof raw + 1, raw, sizeof raw);
}

json_object *
client_fetch (const struct client_options *options, const char *path,
              int *status)
{
  long http_status = 0;
  struct client_request request = { .method = "GET", .path = path };
  json_object *response = client_send (options, &request, &http_status);
  *status = EXIT_FAILED;
  if (!response)
    return NULL;
  if (http_status == 200)
    {
      *status = EXIT_DONE;
      return response;
    }
  *status = client_report_error (response, http_status);
  json_object_put (response);
  return NULL;
}

int
client_send_changes (const struct client_options *options,
                     json_object *changes, const char *operation_id)
{
  json_object *body = json_object_new_object ();
  json_object_object_add (body, "changes", changes);
  long http_status = 0;
  struct client_request request = { .method = "POST",
                                    .path = "/v1/apply",
                                    .body = body,
                                    .operation_id = operation_id };
  json_object *response = client_send (options, &request, &http_status);
  int status = EXIT_FAILED;
  if (response && http_status == 200)
    status = EXIT_DONE;
  else if (response && http_status == 202)
    {
      fprintf (stderr,
               "citroncleat: the outcome is not yet known; ask again with "
               "'citroncleat get operation %s'\n",
               operation_id);
      status = EXIT_PENDING;
    }
  else if (response)
    status = client_report_error (response, http_status);
  if (status == EXIT_DONE)
    {
      if (options->as_json)
        client_print_json (response);
      else
        printf ("accepted as version %lld\n",
                (long long)json_member_number (response, "version"));
    }
  json_object_put (response);
  json_object_put (body);
  return status;
}

void
client_print_faults (const struct faults *faults)
{
  for (size_t i = 0; i < faults_count (faults); i++)
    {
      const struct fault *fault = faults_at (faults, i);
      fprintf (stderr, "%s: found %s, expected %s\n", fault->path.data,
               fault->found.data, fault->expected.data);
    }
}
