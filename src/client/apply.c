#include "client/command_line.h"

#include <apr_strings.h>
#include <stdio.h>
#include <string.h>

/* private functions */

/* Returns the resources of FILE as an array: FILE itself if it is one, its
   member "resources", or FILE as the only resource.  Returns NULL, and adds to
   FAULTS, if that member is no list.  */
static json_object *
resource_list (json_object *file, struct faults *faults)
{
  if (json_object_get_type (file) == json_type_array)
    return json_object_get (file);
  json_object *resources = json_member (file, "resources");
  if (resources && json_object_get_type (resources) != json_type_array)
    {
      faults_add (faults, STR ("resources"),
                  str_from (json_object_to_json_string (resources)),
                  "a list of resources");
      return NULL;
    }
  if (resources)
    return json_object_get (resources);
  json_object *list = json_object_new_array ();
  json_object_array_add (list, json_object_get (file));
  return list;
}

/* Returns the resource of KIND called NAME that is in force, or NULL.
   CURRENT_LISTS caches the response for each kind; a missing one is fetched.
   The result belongs to the cache.  */
static json_object *
find_current (const struct client_options *options,
              json_object **current_lists, enum resource_kind kind,
              const char *name, int *status)
{
  *status = EXIT_DONE;
  if (!current_lists[kind])
    current_lists[kind] = client_fetch (
        options,
        apr_pstrcat (options->pool, "/v1/", resource_kinds[kind].plural, NULL),
        status);
  json_object *items = json_member (current_lists[kind], "items");
  for (size_t i = 0; items && i < json_object_array_length (items); i++)
    {
      json_object *item = json_object_array_get_idx (items, i);
      if (strcmp (json_member_text (item, "name"), name) == 0)
        return item;
    }
  return NULL;
}

/* Adds RESOURCE to CHANGES, unless its spec is in force already.  If it has no
   version, the change is based on the current one.  */
static int
add_change (const struct client_options *options, json_object **current_lists,
            json_object *resource, json_object *changes)
{
  int status = EXIT_DONE;
  enum resource_kind kind
      = client_parse_kind (json_member_text (resource, "kind"));
  const char *name = json_member_text (resource, "name");
  if (kind == KIND_COUNT)
    return EXIT_INVALID;
  json_object *current
      = find_current (options, current_lists, kind, name, &status);
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

/* Prints for each resource of LIST whether it was created, changed or, since
   CHANGES lack it, left unchanged.  */
static void
print_outcomes (json_object *list, json_object *changes)
{
  for (size_t i = 0; i < json_object_array_length (list); i++)
    {
      json_object *resource = json_object_array_get_idx (list, i);
      const char *kind = json_member_text (resource, "kind");
      const char *name = json_member_text (resource, "name");
      const char *outcome = "unchanged";
      for (size_t j = 0; j < json_object_array_length (changes); j++)
        {
          json_object *change = json_object_array_get_idx (changes, j);
          if (strcmp (json_member_text (change, "kind"), kind) == 0
              && strcmp (json_member_text (change, "name"), name) == 0)
            outcome = json_member_number (change, "version") > 0 ? "changed"
                                                                 : "created";
        }
      printf ("%s/%s %s\n", kind, name, outcome);
    }
}

/* public functions */

int
client_apply_resources (const struct client_options *options,
                        json_object *list, const char *operation_id)
{
  json_object *current_lists[KIND_COUNT] = { 0 };
  json_object *changes = json_object_new_array ();
  int status = EXIT_DONE;
  for (size_t i = 0;
       i < json_object_array_length (list) && status == EXIT_DONE; i++)
    status = add_change (options, current_lists,
                         json_object_array_get_idx (list, i), changes);
  if (status == EXIT_DONE && json_object_array_length (changes) > 0)
    status = client_send_changes (options, json_object_get (changes),
                                  operation_id);
  if (status == EXIT_DONE && !options->as_json)
    print_outcomes (list, changes);
  for (int kind = 0; kind < KIND_COUNT; kind++)
    json_object_put (current_lists[kind]);
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
  struct arg_str *operation_id = arg_str0 (
      NULL, "operation", "ID", "operation id; the same id is applied once");
  int status;
  command_line_add (&line, file);
  command_line_add (&line, operation_id);
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
  json_object *list = resource_list (object, faults);
  if (!list)
    {
      client_print_faults (faults);
      json_object_put (object);
      return EXIT_INVALID;
    }
  status = client_apply_resources (
      &line.options, list,
      operation_id->count > 0
          ? operation_id->sval[0]
          : client_create_operation_id (line.options.pool));
  json_object_put (list);
  json_object_put (object);
  return status;
}
