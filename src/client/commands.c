#include "client/command_line.h"
#include "settings/settings.h"

#include <apr_strings.h>
#include <stdio.h>
#include <string.h>

/* private functions */

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
  json_object *response = client_fetch (
      options, apr_pstrcat (options->pool, "/v1/operations/", id, NULL),
      &status);
  if (!response)
    return status;
  if (options->as_json)
    client_print_json (response);
  else
    printf ("%s %s\n", id, json_member_text (response, "state"));
  if (strcmp (json_member_text (response, "state"), "pending") == 0)
    status = EXIT_PENDING;
  json_object_put (response);
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
  command_line_add (&line, kind_arg);
  command_line_add (&line, name);
  if (!command_line_parse (&line, argc, argv, &status))
    return status;
  if (strcmp (kind_arg->sval[0], "operation") == 0 && name->count > 0)
    return get_operation (&line.options, name->sval[0]);
  enum resource_kind kind = client_parse_kind (kind_arg->sval[0]);
  if (kind == KIND_COUNT)
    return EXIT_USAGE;
  const char *plural = resource_kinds[kind].plural;
  json_object *response = client_fetch (
      &line.options,
      name->count > 0 ? apr_pstrcat (line.options.pool, "/v1/", plural, "/",
                                     name->sval[0], NULL)
                      : apr_pstrcat (line.options.pool, "/v1/", plural, NULL),
      &status);
  if (!response)
    return status;
  json_object *items = json_member (response, "items");
  if (line.options.as_json)
    client_print_json (response);
  else if (items)
    for (size_t i = 0; i < json_object_array_length (items); i++)
      print_row (json_object_array_get_idx (items, i));
  else
    print_row (response);
  json_object_put (response);
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
  command_line_add (&line, kind_arg);
  command_line_add (&line, name);
  if (!command_line_parse (&line, argc, argv, &status))
    return status;
  enum resource_kind kind = client_parse_kind (kind_arg->sval[0]);
  if (kind == KIND_COUNT)
    return EXIT_USAGE;
  json_object *response = client_fetch (
      &line.options,
      apr_pstrcat (line.options.pool, "/v1/", resource_kinds[kind].plural, "/",
                   name->sval[0], NULL),
      &status);
  if (!response)
    return status;
  client_print_json (response);
  json_object_put (response);
  return status;
}

/* Deletes the resource if its version is still VERSION; with 0, at its current
   version.  */
static int
delete_resource (const struct client_options *options, enum resource_kind kind,
                 const char *name, int64_t version)
{
  int status;
  const char *plural = resource_kinds[kind].plural;
  if (version == 0)
    {
      json_object *current = client_fetch (
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
  return client_send_changes (options, changes,
                              client_create_operation_id (options->pool));
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
  command_line_add (&line, kind_arg);
  command_line_add (&line, name);
  command_line_add (&line, version);
  if (!command_line_parse (&line, argc, argv, &status))
    return status;
  enum resource_kind kind = client_parse_kind (kind_arg->sval[0]);
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
  command_line_add (&line, kind);
  command_line_add (&line, target);
  command_line_add (&line, reason);
  if (!command_line_parse (&line, argc, argv, &status))
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
  status = client_apply_resources (
      &line.options, list, client_create_operation_id (line.options.pool));
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
  command_line_add (&line, kind);
  command_line_add (&line, target);
  if (!command_line_parse (&line, argc, argv, &status))
    return status;
  return delete_resource (&line.options, KIND_DRAIN,
                          apr_pstrcat (line.options.pool, kind->sval[0], ".",
                                       target->sval[0], NULL),
                          0);
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
  command_line_add (&line, file);
  if (!command_line_parse (&line, argc, argv, &status))
    return status;
  struct settings settings;
  struct faults *faults = faults_create (line.options.pool);
  settings_load (file->filename[0], line.options.pool, &settings, faults);
  if (faults_count (faults) > 0)
    {
      client_print_faults (faults);
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
        { "trace", "follow a request, an upstream or a version over logs",
          run_trace },
        { NULL, NULL, NULL } };
