#include "base/field.h"
#include "client/client.h"
#include "resource/resource.h"
#include "settings/settings.h"

#include <apr_strings.h>
#include <argtable2.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* types */

/* The command line of one command: the common options and up to three
   words or options of its own.  */
struct command_line
{
  const char *name;
  const char *help;
  struct arg_lit *help_option;
  struct arg_str *entry;
  struct arg_str *token;
  struct arg_str *output;
  void *own[4];
  int own_count;
  struct arg_end *end;
  struct client_options options;
};

enum
{
  ERRORS_SHOWN = 10,
  ARGS_MAX = 4 + 4 + 1, /* own, common, end */
  ENTRIES_MAX = 16
};

/* private functions */

static void
own (struct command_line *line, void *arg)
{
  line->own[line->own_count++] = arg;
}

static void
take_options (struct command_line *line)
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
  arg_freetable (table, ARGS_MAX);
  return APR_SUCCESS;
}

/* Parses the arguments; returns false, with STATUS set, if the command is to
   end at once.  */
static bool
parse (struct command_line *line, int argc, char **argv, int *status)
{
  void **table;
  int n = 0;
  apr_pool_create (&line->options.pool, NULL);
  table = apr_pcalloc (line->options.pool, ARGS_MAX * sizeof *table);
  apr_pool_cleanup_register (line->options.pool, table, free_arguments,
                             apr_pool_cleanup_null);
  line->help_option = arg_lit0 (NULL, "help", "show this help and exit");
  line->entry = arg_strn (NULL, "entry", "IP:PORT", 0, ENTRIES_MAX,
                          "operators' address of an entry; may be repeated");
  line->token = arg_str0 (NULL, "token", "TOKEN",
                          "operators' token (or CITRONCLEAT_TOKEN)");
  line->output
      = arg_str0 ("o", "output", "FORMAT", "'json' or 'table' (default)");
  line->end = arg_end (ERRORS_SHOWN);
  for (int i = 0; i < line->own_count; i++)
    table[n++] = line->own[i];
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
  take_options (line);
  return true;
}

static enum resource_kind
kind_of (const char *text)
{
  enum resource_kind kind = resource_kind_of (str_from (text));
  if (kind != KIND_COUNT)
    return kind;
  fprintf (stderr, "citroncleat: '%s' is not a kind; kinds are", text);
  for (int i = 0; i < KIND_COUNT; i++)
    fprintf (stderr, " %s", resource_kinds[i].kind);
  fputc ('\n', stderr);
  return KIND_COUNT;
}

static const char *
new_operation (apr_pool_t *pool)
{
  unsigned char raw[12];
  char *hex = apr_palloc (pool, 2 * sizeof raw + 1);
  randombytes_buf (raw, sizeof raw);
  return sodium_bin2hex (hex, 2 * sizeof raw + 1, raw, sizeof raw);
}

/* Asks for PATH; returns the answer of status 200, or NULL with EXIT set.  */
static json_object *
fetch (const struct client_options *options, const char *path, int *status)
{
  long code = 0;
  struct client_request request = { .method = "GET", .path = path };
  json_object *answer = client_send (options, &request, &code);
  *status = EXIT_FAILED;
  if (!answer)
    return NULL;
  if (code == 200)
    {
      *status = EXIT_DONE;
      return answer;
    }
  *status = client_report_error (answer, code);
  json_object_put (answer);
  return NULL;
}

/* Sends CHANGES (taken over) and prints how it ended.  */
static int
send_changes (const struct client_options *options, json_object *changes,
              const char *operation)
{
  json_object *body = json_object_new_object ();
  json_object_object_add (body, "changes", changes);
  long code = 0;
  struct client_request request = {
    .method = "POST", .path = "/v1/apply", .body = body, .operation = operation
  };
  json_object *answer = client_send (options, &request, &code);
  int status = EXIT_FAILED;
  if (answer && code == 200)
    status = EXIT_DONE;
  else if (answer && code == 202)
    {
      fprintf (stderr,
               "citroncleat: the outcome is not yet known; ask again with "
               "'citroncleat get operation %s'\n",
               operation);
      status = EXIT_PENDING;
    }
  else if (answer)
    status = client_report_error (answer, code);
  if (status == EXIT_DONE)
    {
      if (options->as_json)
        client_print_json (answer);
      else
        printf ("accepted as version %lld\n",
                (long long)json_member_number (answer, "version"));
    }
  json_object_put (answer);
  json_object_put (body);
  return status;
}

/* apply */

static json_object *
resource_list (json_object *file)
{
  if (json_object_get_type (file) == json_type_array)
    return json_object_get (file);
  json_object *resources = json_member (file, "resources");
  if (resources)
    return json_object_get (resources);
  json_object *list = json_object_new_array ();
  json_object_array_add (list, json_object_get (file));
  return list;
}

/* Finds the current resource in LISTS, which caches one answer a kind.  */
static json_object *
find_current (const struct client_options *options, json_object **lists,
              enum resource_kind kind, const char *name, int *status)
{
  *status = EXIT_DONE;
  if (!lists[kind])
    lists[kind] = fetch (
        options,
        apr_pstrcat (options->pool, "/v1/", resource_kinds[kind].plural, NULL),
        status);
  json_object *items = json_member (lists[kind], "items");
  for (size_t i = 0; items && i < json_object_array_length (items); i++)
    {
      json_object *item = json_object_array_get_idx (items, i);
      if (strcmp (json_member_text (item, "name"), name) == 0)
        return item;
    }
  return NULL;
}

static int
add_change (const struct client_options *options, json_object **lists,
            json_object *resource, json_object *changes)
{
  int status = EXIT_DONE;
  enum resource_kind kind = kind_of (json_member_text (resource, "kind"));
  const char *name = json_member_text (resource, "name");
  if (kind == KIND_COUNT)
    return EXIT_INVALID;
  json_object *current = find_current (options, lists, kind, name, &status);
  if (status != EXIT_DONE)
    return status;
  if (current
      && json_object_equal (json_member (current, "spec"),
                            json_member (resource, "spec")))
    return EXIT_DONE;
  json_object *change = NULL;
  json_object_deep_copy (resource, &change, NULL);
  if (!json_member (resource, "version"))
    json_object_object_add (
        change, "version",
        json_object_new_int64 (json_member_number (current, "version")));
  json_object_array_add (changes, change);
  return EXIT_DONE;
}

/* Says of each resource of LIST whether it is in CHANGES.  */
static void
print_changed (json_object *list, json_object *changes)
{
  for (size_t i = 0; i < json_object_array_length (list); i++)
    {
      json_object *resource = json_object_array_get_idx (list, i);
      const char *kind = json_member_text (resource, "kind");
      const char *name = json_member_text (resource, "name");
      const char *how = "unchanged";
      for (size_t j = 0; j < json_object_array_length (changes); j++)
        {
          json_object *change = json_object_array_get_idx (changes, j);
          if (strcmp (json_member_text (change, "kind"), kind) == 0
              && strcmp (json_member_text (change, "name"), name) == 0)
            how = json_member_number (change, "version") > 0 ? "changed"
                                                             : "created";
        }
      printf ("%s/%s %s\n", kind, name, how);
    }
}

static int
apply_list (const struct client_options *options, json_object *list,
            const char *operation)
{
  json_object *lists[KIND_COUNT] = { 0 };
  json_object *changes = json_object_new_array ();
  int status = EXIT_DONE;
  for (size_t i = 0;
       i < json_object_array_length (list) && status == EXIT_DONE; i++)
    status = add_change (options, lists, json_object_array_get_idx (list, i),
                         changes);
  if (status == EXIT_DONE && json_object_array_length (changes) > 0)
    status = send_changes (options, json_object_get (changes), operation);
  if (status == EXIT_DONE && !options->as_json)
    print_changed (list, changes);
  for (int kind = 0; kind < KIND_COUNT; kind++)
    json_object_put (lists[kind]);
  json_object_put (changes);
  return status;
}

static void
print_faults (const struct faults *faults)
{
  for (size_t i = 0; i < faults_count (faults); i++)
    {
      const struct fault *fault = faults_at (faults, i);
      fprintf (stderr, "%s: found %s, expected %s\n", fault->path.data,
               fault->found.data, fault->expected.data);
    }
}

static int
run_apply (int argc, char **argv)
{
  struct command_line line
      = { .name = "apply",
          .help = "Creates or changes the resources of a file, all or none." };
  struct arg_file *file
      = arg_file1 ("f", "file", "FILE", "JSON with comments");
  struct arg_str *operation = arg_str0 (
      NULL, "operation", "ID", "operation id; the same id is applied once");
  int status;
  own (&line, file);
  own (&line, operation);
  if (!parse (&line, argc, argv, &status))
    return status;
  struct faults *faults = faults_create (line.options.pool);
  json_object *object
      = field_parse_file (file->filename[0], line.options.pool, faults);
  if (!object)
    {
      print_faults (faults);
      return EXIT_INVALID;
    }
  json_object *list = resource_list (object);
  status
      = apply_list (&line.options, list,
                    operation->count > 0 ? operation->sval[0]
                                         : new_operation (line.options.pool));
  json_object_put (list);
  json_object_put (object);
  return status;
}

/* get, describe, delete */

static void
print_row (json_object *item)
{
  json_object *status = json_member (item, "status");
  printf ("%-16s %-24s %8lld  in force on %lld of %lld\n",
          json_member_text (item, "kind"), json_member_text (item, "name"),
          (long long)json_member_number (item, "version"),
          (long long)json_member_number (status, "in_force_on"),
          (long long)json_member_number (status, "entries"));
}

static int
get_operation (const struct client_options *options, const char *id)
{
  int status;
  json_object *answer = fetch (
      options, apr_pstrcat (options->pool, "/v1/operations/", id, NULL),
      &status);
  if (!answer)
    return status;
  if (options->as_json)
    client_print_json (answer);
  else
    printf ("%s %s\n", id, json_member_text (answer, "state"));
  if (strcmp (json_member_text (answer, "state"), "pending") == 0)
    status = EXIT_PENDING;
  json_object_put (answer);
  return status;
}

static int
run_get (int argc, char **argv)
{
  struct command_line line
      = { .name = "get",
          .help = "Lists resources of a kind, or shows one; also "
                  "'get operation ID'." };
  struct arg_str *kind_arg = arg_str1 (NULL, NULL, "KIND", "resource kind");
  struct arg_str *name = arg_str0 (NULL, NULL, "NAME", "resource name");
  int status;
  own (&line, kind_arg);
  own (&line, name);
  if (!parse (&line, argc, argv, &status))
    return status;
  if (strcmp (kind_arg->sval[0], "operation") == 0 && name->count > 0)
    return get_operation (&line.options, name->sval[0]);
  enum resource_kind kind = kind_of (kind_arg->sval[0]);
  if (kind == KIND_COUNT)
    return EXIT_USAGE;
  const char *plural = resource_kinds[kind].plural;
  json_object *answer = fetch (
      &line.options,
      name->count > 0 ? apr_pstrcat (line.options.pool, "/v1/", plural, "/",
                                     name->sval[0], NULL)
                      : apr_pstrcat (line.options.pool, "/v1/", plural, NULL),
      &status);
  if (!answer)
    return status;
  json_object *items = json_member (answer, "items");
  if (line.options.as_json)
    client_print_json (answer);
  else if (items)
    for (size_t i = 0; i < json_object_array_length (items); i++)
      print_row (json_object_array_get_idx (items, i));
  else
    print_row (answer);
  json_object_put (answer);
  return status;
}

static int
run_describe (int argc, char **argv)
{
  struct command_line line
      = { .name = "describe",
          .help = "Shows all of one resource: spec, version and status." };
  struct arg_str *kind_arg = arg_str1 (NULL, NULL, "KIND", "resource kind");
  struct arg_str *name = arg_str1 (NULL, NULL, "NAME", "resource name");
  int status;
  own (&line, kind_arg);
  own (&line, name);
  if (!parse (&line, argc, argv, &status))
    return status;
  enum resource_kind kind = kind_of (kind_arg->sval[0]);
  if (kind == KIND_COUNT)
    return EXIT_USAGE;
  json_object *answer = fetch (&line.options,
                               apr_pstrcat (line.options.pool, "/v1/",
                                            resource_kinds[kind].plural, "/",
                                            name->sval[0], NULL),
                               &status);
  if (!answer)
    return status;
  client_print_json (answer);
  json_object_put (answer);
  return status;
}

/* Deletes the resource at the version that it has now, or at VERSION.  */
static int
delete_resource (const struct client_options *options, enum resource_kind kind,
                 const char *name, int64_t version)
{
  int status;
  const char *plural = resource_kinds[kind].plural;
  if (version == 0)
    {
      json_object *current = fetch (
          options,
          apr_pstrcat (options->pool, "/v1/", plural, "/", name, NULL),
          &status);
      if (!current)
        return status;
      version = json_member_number (current, "version");
      json_object_put (current);
    }
  json_object *change = json_object_new_object ();
  json_object *changes = json_object_new_array ();
  json_object_object_add (change, "kind",
                          json_object_new_string (resource_kinds[kind].kind));
  json_object_object_add (change, "name", json_object_new_string (name));
  json_object_object_add (change, "version", json_object_new_int64 (version));
  json_object_object_add (change, "delete", json_object_new_boolean (1));
  json_object_array_add (changes, change);
  return send_changes (options, changes, new_operation (options->pool));
}

static int
run_delete (int argc, char **argv)
{
  struct command_line line
      = { .name = "delete", .help = "Deletes one resource." };
  struct arg_str *kind_arg = arg_str1 (NULL, NULL, "KIND", "resource kind");
  struct arg_str *name = arg_str1 (NULL, NULL, "NAME", "resource name");
  struct arg_int *version = arg_int0 (
      NULL, "version", "N", "only if this is still the current version");
  int status;
  own (&line, kind_arg);
  own (&line, name);
  own (&line, version);
  if (!parse (&line, argc, argv, &status))
    return status;
  enum resource_kind kind = kind_of (kind_arg->sval[0]);
  if (kind == KIND_COUNT)
    return EXIT_USAGE;
  return delete_resource (&line.options, kind, name->sval[0],
                          version->count > 0 ? version->ival[0] : 0);
}

/* drain, undrain */

static int
run_drain (int argc, char **argv)
{
  struct command_line line
      = { .name = "drain",
          .help = "Stops new work to an upstream, zone, region or entry." };
  struct arg_str *kind
      = arg_str1 (NULL, NULL, "KIND", "upstream, zone, region or entry");
  struct arg_str *target = arg_str1 (NULL, NULL, "NAME", "what to drain");
  struct arg_str *reason
      = arg_str0 (NULL, "reason", "TEXT", "shown in status");
  int status;
  own (&line, kind);
  own (&line, target);
  own (&line, reason);
  if (!parse (&line, argc, argv, &status))
    return status;
  json_object *spec = json_object_new_object ();
  json_object *change = json_object_new_object ();
  json_object *list = json_object_new_array ();
  json_object_object_add (spec, "kind",
                          json_object_new_string (kind->sval[0]));
  json_object_object_add (spec, "target",
                          json_object_new_string (target->sval[0]));
  if (reason->count > 0)
    json_object_object_add (spec, "reason",
                            json_object_new_string (reason->sval[0]));
  json_object_object_add (change, "kind", json_object_new_string ("drain"));
  json_object_object_add (
      change, "name",
      json_object_new_string (apr_pstrcat (line.options.pool, kind->sval[0],
                                           ".", target->sval[0], NULL)));
  json_object_object_add (change, "spec", spec);
  json_object_array_add (list, change);
  status = apply_list (&line.options, list, new_operation (line.options.pool));
  json_object_put (list);
  return status;
}

static int
run_undrain (int argc, char **argv)
{
  struct command_line line
      = { .name = "undrain", .help = "Ends a drain made with 'drain'." };
  struct arg_str *kind
      = arg_str1 (NULL, NULL, "KIND", "upstream, zone, region or entry");
  struct arg_str *target
      = arg_str1 (NULL, NULL, "NAME", "what is being drained");
  int status;
  own (&line, kind);
  own (&line, target);
  if (!parse (&line, argc, argv, &status))
    return status;
  return delete_resource (&line.options, KIND_DRAIN,
                          apr_pstrcat (line.options.pool, kind->sval[0], ".",
                                       target->sval[0], NULL),
                          0);
}

/* status, watch, burn, lookup */

static void
print_names (const char *title, json_object *list)
{
  if (!list || json_object_array_length (list) == 0)
    return;
  printf ("%s:", title);
  for (size_t i = 0; i < json_object_array_length (list); i++)
    printf (" %s",
            json_object_get_string (json_object_array_get_idx (list, i)));
  putchar ('\n');
}

static void
print_status (json_object *answer)
{
  json_object *entries = json_member (answer, "entries");
  json_object *drains = json_member (answer, "drains");
  printf ("version %lld, as seen by %s\n",
          (long long)json_member_number (answer, "version"),
          json_member_text (answer, "entry"));
  printf ("%-12s %-14s %-12s %-8s %8s %9s %6s\n", "ENTRY", "ZONE", "REGION",
          "STATE", "VERSION", "IN-FLIGHT", "QUEUED");
  for (size_t i = 0; i < json_object_array_length (entries); i++)
    {
      json_object *e = json_object_array_get_idx (entries, i);
      printf ("%-12s %-14s %-12s %-8s %8lld %9lld %6lld\n",
              json_member_text (e, "name"), json_member_text (e, "zone"),
              json_member_text (e, "region"), json_member_text (e, "state"),
              (long long)json_member_number (e, "version"),
              (long long)json_member_number (e, "in_flight"),
              (long long)json_member_number (e, "queued"));
    }
  for (size_t i = 0; i < json_object_array_length (drains); i++)
    {
      json_object *d = json_object_array_get_idx (drains, i);
      printf ("draining: %s %s (%s)\n", json_member_text (d, "kind"),
              json_member_text (d, "target"), json_member_text (d, "reason"));
    }
  print_names ("behind", json_member (answer, "behind"));
  print_names ("saturated", json_member (answer, "saturated"));
  print_names ("leaving", json_member (answer, "leaving"));
  print_names ("ejected", json_member (answer, "ejected"));
}

static int
run_status (int argc, char **argv)
{
  struct command_line line
      = { .name = "status",
          .help = "Shows the entries, the version each has in force, what is "
                  "saturated and what is draining." };
  int status;
  if (!parse (&line, argc, argv, &status))
    return status;
  json_object *answer = fetch (&line.options, "/v1/status", &status);
  if (!answer)
    return status;
  if (line.options.as_json)
    client_print_json (answer);
  else
    print_status (answer);
  json_object_put (answer);
  return status;
}

static void
print_changes (json_object *answer, const char *what)
{
  json_object *list = json_member (answer, what);
  for (size_t i = 0; i < json_object_array_length (list); i++)
    {
      json_object *item = json_object_array_get_idx (list, i);
      printf ("%lld %s %s/%s\n",
              (long long)json_member_number (answer, "version"), what,
              json_member_text (item, "kind"),
              json_member_text (item, "name"));
    }
}

static int
run_watch (int argc, char **argv)
{
  struct command_line line
      = { .name = "watch",
          .help = "Prints changes of the configuration as they come." };
  struct arg_int *since
      = arg_int0 (NULL, "since", "VERSION", "start after this version");
  struct arg_int *count
      = arg_int0 (NULL, "count", "N", "end after N changes of version");
  int status;
  own (&line, since);
  own (&line, count);
  if (!parse (&line, argc, argv, &status))
    return status;
  int64_t version = since->count > 0 ? since->ival[0] : 0;
  int left = count->count > 0 ? count->ival[0] : -1;
  while (left != 0)
    {
      json_object *answer
          = fetch (&line.options,
                   str_format (line.options.pool,
                               "/v1/watch?version=%lld&timeout_ms=5000",
                               (long long)version),
                   &status);
      if (!answer)
        return status;
      if (json_member_number (answer, "version") > version)
        {
          version = json_member_number (answer, "version");
          if (line.options.as_json)
            client_print_json (answer);
          else
            {
              print_changes (answer, "changed");
              print_changes (answer, "deleted");
            }
          fflush (stdout);
          if (left > 0)
            left--;
        }
      json_object_put (answer);
    }
  return EXIT_DONE;
}

static void
print_burn (json_object *rows)
{
  printf ("%-14s %-12s %8s %9s %7s %9s %12s  %s\n", "SERVICE", "REGION",
          "WINDOW", "CALLS", "BAD", "BURN", "BUDGET LEFT", "CAUSES");
  for (size_t i = 0; i < json_object_array_length (rows); i++)
    {
      json_object *row = json_object_array_get_idx (rows, i);
      json_object *causes = json_member (row, "causes");
      printf (
          "%-14s %-12s %7llds %9lld %7lld %9.2f %11.1f%% ",
          json_member_text (row, "service"), json_member_text (row, "region"),
          (long long)json_member_number (row, "window_s"),
          (long long)json_member_number (row, "calls"),
          (long long)json_member_number (row, "bad"),
          json_object_get_double (json_member (row, "burn_rate")),
          json_object_get_double (json_member (row, "budget_left_percent")));
      json_object_object_foreach (causes, cause, number)
      {
        if (json_object_get_int64 (number) > 0)
          printf (" %s=%s", cause, json_object_get_string (number));
      }
      putchar ('\n');
    }
}

static int
run_burn (int argc, char **argv)
{
  struct command_line line
      = { .name = "burn",
          .help = "Reports how fast each service spends its error budget, as "
                  "seen by one entry." };
  int status;
  if (!parse (&line, argc, argv, &status))
    return status;
  json_object *answer = fetch (&line.options, "/v1/burn", &status);
  if (!answer)
    return status;
  if (line.options.as_json)
    client_print_json (answer);
  else
    print_burn (json_member (answer, "rows"));
  json_object_put (answer);
  return status;
}

static int
run_lookup (int argc, char **argv)
{
  struct command_line line
      = { .name = "lookup",
          .help = "Asks which entries a caller should use; --entry takes a "
                  "callers' address here." };
  struct arg_str *service = arg_str1 (NULL, NULL, "SERVICE", "service name");
  struct arg_str *region
      = arg_str0 (NULL, "region", "NAME", "where the caller is");
  struct arg_str *caller = arg_str0 (NULL, "caller", "ID", "caller identity");
  int status;
  own (&line, service);
  own (&line, region);
  own (&line, caller);
  if (!parse (&line, argc, argv, &status))
    return status;
  long code = 0;
  struct client_request request = {
    .method = "GET",
    .callers = true,
    .path = str_format (
        line.options.pool,
        "/.well-known/citroncleat/lookup?service=%s&region=%s&caller=%s",
        service->sval[0], region->count > 0 ? region->sval[0] : "",
        caller->count > 0 ? caller->sval[0] : ""),
  };
  json_object *answer = client_send (&line.options, &request, &code);
  if (!answer)
    return EXIT_FAILED;
  json_object *entries = json_member (answer, "entries");
  if (code != 200)
    status = client_report_error (answer, code);
  else if (line.options.as_json)
    client_print_json (answer);
  else
    for (size_t i = 0; i < json_object_array_length (entries); i++)
      {
        json_object *e = json_object_array_get_idx (entries, i);
        printf ("%-12s %-22s %-14s %s\n", json_member_text (e, "name"),
                json_member_text (e, "address"), json_member_text (e, "zone"),
                json_member_text (e, "region"));
      }
  json_object_put (answer);
  return code == 200 ? EXIT_DONE : status;
}

/* check-settings */

static int
run_check_settings (int argc, char **argv)
{
  struct command_line line
      = { .name = "check-settings",
          .help = "Checks a settings file as 'entry' would, and names every "
                  "fault." };
  struct arg_file *file = arg_file1 ("f", "file", "FILE", "settings");
  int status;
  own (&line, file);
  if (!parse (&line, argc, argv, &status))
    return status;
  struct settings settings;
  struct faults *faults = faults_create (line.options.pool);
  settings_load (file->filename[0], line.options.pool, &settings, faults);
  if (faults_count (faults) > 0)
    {
      print_faults (faults);
      return EXIT_INVALID;
    }
  printf ("%s: good\n", file->filename[0]);
  return EXIT_DONE;
}

/* public functions */

const struct client_command client_commands[]
    = { { "check-settings", "check a settings file", run_check_settings },
        { "apply", "create or change resources", run_apply },
        { "get", "list resources", run_get },
        { "describe", "show one resource", run_describe },
        { "delete", "delete a resource", run_delete },
        { "drain", "stop new work to something", run_drain },
        { "undrain", "end a drain", run_undrain },
        { "status", "show entries and versions", run_status },
        { "watch", "print changes as they come", run_watch },
        { "burn", "report service-level burn", run_burn },
        { "lookup", "ask which entries to use", run_lookup },
        { NULL, NULL, NULL } };
