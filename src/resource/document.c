#include "resource/document.h"

#include "base/json.h"

#include <stdlib.h>
#include <string.h>

/* constants */

enum
{
  FORMAT = 1,
  MAX_OPERATIONS = 256
};

/* private functions */

static void
add_resources (struct snapshot *snapshot, enum resource_kind kind,
               json_object *resources, struct faults *faults)
{
  json_object_object_foreach (resources, name, resource)
  {
    snapshot_add (snapshot, kind, str_from (name),
                  json_member_number (resource, "version"),
                  json_member (resource, "spec"), faults);
  }
}

/* Builds the document of ROOT, which it owns from now on, also on failure.  */
static struct document *
build_document (json_object *root, struct faults *faults)
{
  struct snapshot *snapshot
      = snapshot_create (json_member_number (root, "version"));
  for (int kind = 0; kind < KIND_COUNT; kind++)
    {
      json_object *resources = json_member (root, resource_kinds[kind].plural);
      if (json_object_get_type (resources) == json_type_object)
        add_resources (snapshot, (enum resource_kind)kind, resources, faults);
    }
  snapshot_finish (snapshot, faults);
  if (faults_count (faults) > 0)
    {
      snapshot_unref (snapshot);
      json_object_put (root);
      return NULL;
    }
  struct document *document = calloc (1, sizeof *document);
  if (!document)
    abort ();
  document->root = root;
  document->snapshot = snapshot;
  document->version = snapshot->version;
  return document;
}

/* Returns a copy of NAME as a C string, which the caller frees.  A name that
   is too long is copied whole: cut, it would be the name of another resource,
   which build_document could not tell from it.  */
static char *
copy_name (struct str name)
{
  char *text = strndup (name.data, name.size);
  if (!text)
    abort ();
  return text;
}

static json_object *
find_resource (json_object *root, enum resource_kind kind, struct str name)
{
  char *text = copy_name (name);
  json_object *resource
      = json_member (json_member (root, resource_kinds[kind].plural), text);
  free (text);
  return resource;
}

static void
apply_change (json_object *root, const struct change *change, int64_t version)
{
  const char *plural = resource_kinds[change->kind].plural;
  json_object *resources = json_member (root, plural);
  char *name = copy_name (change->name);
  if (!resources)
    {
      resources = json_object_new_object ();
      json_object_object_add (root, plural, resources);
    }
  if (change->is_delete)
    {
      json_object_object_del (resources, name);
      free (name);
      return;
    }
  json_object *resource = json_object_new_object ();
  json_object_object_add (resource, "version",
                          json_object_new_int64 (version));
  json_object_object_add (resource, "spec", json_object_get (change->spec));
  json_object_object_add (resources, name, resource);
  free (name);
}

/* Appends operation ID to the recorded ones and drops the oldest if there are
   too many.  */
static void
record_operation (json_object *root, struct str id, int64_t version)
{
  json_object *old = json_member (root, "operations");
  json_object *operations = json_object_new_array ();
  size_t n = old ? json_object_array_length (old) : 0;
  for (size_t i = n >= MAX_OPERATIONS ? n - MAX_OPERATIONS + 1 : 0; i < n; i++)
    json_object_array_add (
        operations, json_object_get (json_object_array_get_idx (old, i)));
  json_object *operation = json_object_new_object ();
  json_object_object_add (operation, "id",
                          json_object_new_string_len (id.data, (int)id.size));
  json_object_object_add (operation, "version",
                          json_object_new_int64 (version));
  json_object_array_add (operations, operation);
  json_object_object_add (root, "operations", operations);
}

/* Returns whether one of CHANGES is not based on the current version of its
   resource, and sets CONFLICT to the first such one.  */
static bool
find_conflict (const struct document *document, const struct change *changes,
               size_t count, struct change_conflict *conflict)
{
  for (size_t i = 0; i < count; i++)
    {
      json_object *current
          = find_resource (document->root, changes[i].kind, changes[i].name);
      int64_t version = current ? json_member_number (current, "version") : 0;
      if (version == changes[i].based_on)
        continue;
      *conflict = (struct change_conflict){ changes[i].kind, changes[i].name,
                                            changes[i].based_on, version };
      return true;
    }
  return false;
}

/* Returns whether no two CHANGES are of the same resource; adds a fault for
   each that repeats one.  */
static bool
check_changes (const struct change *changes, size_t count,
               struct faults *faults)
{
  size_t fault_count = faults_count (faults);
  for (size_t i = 0; i < count; i++)
    {
      for (size_t j = 0; j < i; j++)
        if (changes[i].kind == changes[j].kind
            && str_equal (changes[i].name, changes[j].name))
          faults_add (faults, str_from (resource_kinds[changes[i].kind].kind),
                      changes[i].name, "each resource once in a batch");
    }
  return faults_count (faults) == fault_count;
}

/* public functions */

struct document *
document_create_empty (void)
{
  struct document *document = calloc (1, sizeof *document);
  if (!document)
    abort ();
  document->root = json_object_new_object ();
  json_object_object_add (document->root, "format",
                          json_object_new_int (FORMAT));
  json_object_object_add (document->root, "version",
                          json_object_new_int64 (0));
  document->snapshot = snapshot_create (0);
  return document;
}

struct document *
document_parse (struct str text, struct faults *faults)
{
  json_object *root
      = field_parse_json (text.data, text.size, STR ("document"), faults);
  if (!root)
    return NULL;
  if (json_object_get_type (root) != json_type_object
      || json_member_number (root, "format") != FORMAT
      || json_member_number (root, "version") < 0)
    {
      faults_add (faults, STR ("document.format"), STR ("another format"),
                  "a document of format %d", FORMAT);
      json_object_put (root);
      return NULL;
    }
  return build_document (root, faults);
}

void
document_destroy (struct document *document)
{
  if (!document)
    return;
  json_object_put (document->root);
  snapshot_unref (document->snapshot);
  free (document);
}

struct str
document_serialize (const struct document *document, apr_pool_t *pool)
{
  return str_dup (pool,
                  str_from (json_object_to_json_string_ext (
                      document->root, JSON_C_TO_STRING_PLAIN
                                          | JSON_C_TO_STRING_NOSLASHESCAPE)));
}

int64_t
document_operation_version (const struct document *document, struct str id)
{
  json_object *operations = json_member (document->root, "operations");
  size_t n = operations ? json_object_array_length (operations) : 0;
  for (size_t i = 0; i < n; i++)
    {
      json_object *operation = json_object_array_get_idx (operations, i);
      if (str_equal (id, str_from (json_object_get_string (
                             json_member (operation, "id")))))
        return json_member_number (operation, "version");
    }
  return 0;
}

json_object *
document_get (const struct document *document, enum resource_kind kind,
              struct str name)
{
  return find_resource (document->root, kind, name);
}

enum err_code
document_apply_changes (const struct document *document, struct str id,
                        const struct change *changes, size_t count,
                        struct document **next,
                        struct change_conflict *conflict,
                        struct faults *faults)
{
  bool well_formed = check_changes (changes, count, faults);
  if (well_formed && find_conflict (document, changes, count, conflict))
    return ERR_CONFLICT;
  json_object *root = NULL;
  if (json_object_deep_copy (document->root, &root, NULL) != 0)
    abort ();
  int64_t version = document->version + 1;
  json_object_object_add (root, "version", json_object_new_int64 (version));
  for (size_t i = 0; i < count; i++)
    apply_change (root, &changes[i], version);
  record_operation (root, id, version);
  *next = build_document (root, faults);
  return *next ? ERR_NONE : ERR_INVALID;
}
