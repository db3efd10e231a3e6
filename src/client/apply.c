#include "client/command_line.h"

#include <apr_strings.h>
#include <stdio.h>
#include <string.h>

/* private functions */

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
    lists[kind] = client_fetch (
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
  enum resource_kind kind = client_kind (json_member_text (resource, "kind"));
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

/* public functions */

int
client_apply_list (const struct client_options *options, json_object *list,
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
    status
        = client_send_changes (options, json_object_get (changes), operation);
  if (status == EXIT_DONE && !options->as_json)
    print_changed (list, changes);
  for (int kind = 0; kind < KIND_COUNT; kind++)
    json_object_put (lists[kind]);
  json_object_put (changes);
  return status;
}

int
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
  command_line_add (&line, file);
  command_line_add (&line, operation);
  if (!command_line_parse (&line, argc, argv, &status))
    return status;
  struct faults *faults = faults_create (line.options.pool);
  json_object *object
      = field_parse_json_file (file->filename[0], line.options.pool, faults);
  if (!object)
    {
      client_print_faults (faults);
      return EXIT_INVALID;
    }
  json_object *list = resource_list (object);
  status = client_apply_list (&line.options, list,
                              operation->count > 0
                                  ? operation->sval[0]
                                  : client_new_operation (line.options.pool));
  json_object_put (list);
  json_object_put (object);
  return status;
}
