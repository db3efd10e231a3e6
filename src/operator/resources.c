#include "operator/request.h"

#include <apr_strings.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>

/* constants */

enum
{
  MAX_CHANGES = 4096, /* of one operation */
  MAX_OPERATION_ID_BYTES = 63,
  DEFAULT_WATCH_MS = 30000, /* wait of /v1/watch without a given time */
  MAX_WATCH_MS = 50000      /* also where the given time is negative */
};

/* private functions */

static const struct document *
current_document (const struct request *request)
{
  return config_manager_document (request->api->desc.config_manager);
}

/* Returns {"in_force_on","entries"}: the number of live entries that have
   VERSION in force, and of all live entries.  */
static json_object *
create_status (const struct request *request, int64_t version)
{
  const struct roster *roster = peers_roster (request->api->desc.peers);
  int64_t in_force = 0;
  int64_t alive = 0;
  for (size_t i = 0; i < roster->count; i++)
    if (roster->entries[i].alive)
      {
        alive++;
        in_force += roster->entries[i].is_self
                    || roster->entries[i].heartbeat.versions[DOCUMENT_CONFIG]
                           >= version;
      }
  json_object *status = json_object_new_object ();
  json_add_number (status, "in_force_on", in_force);
  json_add_number (status, "entries", alive);
  return status;
}

/* Returns a resource as the API shows it.  STORED is its {"version","spec"};
   what the worker's VIEW has on it is added to its status.  */
static json_object *
render_resource (const struct request *request, enum resource_kind kind,
                 const char *name, json_object *stored, json_object *view)
{
  json_object *resource = json_object_new_object ();
  int64_t version = json_object_get_int64 (json_member (stored, "version"));
  json_object *status = create_status (request, version);
  json_object *worker_status
      = json_member (json_member (view, resource_kinds[kind].plural), name);
  json_add_text (resource, "kind", resource_kinds[kind].kind);
  json_add_text (resource, "name", name);
  json_add_number (resource, "version", version);
  json_object_object_add (resource, "spec",
                          json_object_get (json_member (stored, "spec")));
  if (worker_status)
    {
      json_object_object_foreach (worker_status, key, value)
      {
        json_object_object_add (status, key, json_object_get (value));
      }
    }
  json_object_object_add (resource, "status", status);
  return resource;
}

static void
finish_list (struct request *request, json_object *view)
{
  enum resource_kind kind = resource_kind_from_name (request->segments[0]);
  json_object *response = json_object_new_object ();
  json_object *items = json_object_new_array ();
  json_object *all = json_member (current_document (request)->root,
                                  resource_kinds[kind].plural);
  if (all)
    {
      json_object_object_foreach (all, name, stored)
      {
        json_object_array_add (
            items, render_resource (request, kind, name, stored, view));
      }
    }
  json_add_number (response, "version", current_document (request)->version);
  json_object_object_add (response, "items", items);
  request_finish (request, STATUS_OK, response);
}

static void
finish_get (struct request *request, json_object *view)
{
  enum resource_kind kind = resource_kind_from_name (request->segments[0]);
  struct str name = request->segments[1];
  json_object *stored = document_get (current_document (request), kind, name);
  if (!stored)
    request_fail (request, STATUS_NOT_FOUND, "not-found",
                  "there is no %s called '%s'", resource_kinds[kind].kind,
                  name.data);
  else
    request_finish (request, STATUS_OK,
                    render_resource (request, kind, name.data, stored, view));
}

static json_object *
conflict_response (const struct request *request,
                   const struct change_conflict *conflict)
{
  json_object *response = json_object_new_object ();
  json_object *stored = document_get (current_document (request),
                                      conflict->kind, conflict->name);
  json_add_text (response, "error", "conflict");
  json_add_text (response, "detail",
                 "the change was based on another version than the current "
                 "one; read the resource again");
  json_add_text (response, "kind", resource_kinds[conflict->kind].kind);
  json_add_text (response, "name",
                 str_dup (request->pool, conflict->name).data);
  json_add_number (response, "based_on", conflict->based_on);
  json_add_number (response, "current", conflict->current);
  if (stored)
    json_object_object_add (response, "current_spec",
                            json_object_get (json_member (stored, "spec")));
  return response;
}

static void
on_change_done (void *user_data, const struct change_result *result)
{
  struct request *request = user_data;
  json_object *response;
  switch (result->state)
    {
    case CHANGE_CONFLICT:
      request_finish (request, STATUS_CONFLICT,
                      conflict_response (request, &result->conflict));
      return;
    case CHANGE_INVALID:
      response = json_object_new_object ();
      json_add_text (response, "error", "invalid");
      json_add_text (response, "detail", "nothing was changed");
      json_object_object_add (response, "faults",
                              faults_to_json (result->faults));
      request_finish (request, STATUS_INVALID, response);
      return;
    case CHANGE_UNAVAILABLE:
      request_fail (request, STATUS_UNAVAILABLE, "unavailable",
                    "the store is out of reach; nothing was changed");
      return;
    default:
      response = json_object_new_object ();
      json_add_text (response, "state", change_state_name (result->state));
      json_add_text (response, "operation", request->text.data);
      if (result->state == CHANGE_ACCEPTED)
        json_add_number (response, "version", result->version);
      request_finish (request,
                      result->state == CHANGE_ACCEPTED ? STATUS_OK
                                                       : STATUS_ACCEPTED,
                      response);
    }
}

/* Returns the operation's id: the header's, or a random one; an empty string
   if the given one is malformed.  */
static struct str
operation_id (struct request *request)
{
  struct str given = httpd_header (request->connection, "Operation-Id");
  if (given.size > 0)
    return given.size <= MAX_OPERATION_ID_BYTES && field_is_name (given)
               ? given
               : STR ("");
  unsigned char raw[16];
  char *hex = apr_palloc (request->pool, 2 * sizeof raw + 1);
  randombytes_buf (raw, sizeof raw);
  sodium_bin2hex (hex, 2 * sizeof raw + 1, raw, sizeof raw);
  return str_from (hex);
}

/* Submits CHANGES; on_change_done ends the request.  */
static void
submit_changes (struct request *request, const struct change *changes,
                size_t count)
{
  struct str id = operation_id (request);
  if (id.size == 0)
    {
      request_fail (request, STATUS_BAD_REQUEST, "invalid",
                    "Operation-Id takes 1 to 63 letters, digits, '-', '_' "
                    "or '.'");
      return;
    }
  request->text = str_dup (request->pool, id);
  config_manager_submit_change (request->api->desc.config_manager, id, changes,
                                count, on_change_done, request);
}

/* Returns the body, a JSON object that the caller frees; or ends the request
   with an error and returns NULL.  */
static json_object *
parse_body (struct request *request)
{
  struct faults *faults = faults_create (request->pool);
  json_object *body = field_parse_json (request->body, request->body_size,
                                        STR ("body"), faults);
  if (body && json_object_get_type (body) == json_type_object)
    return body;
  if (body)
    faults_add (faults, STR ("body"), STR ("another value"), "an object");
  json_object_put (body);
  json_object *response = json_object_new_object ();
  json_add_text (response, "error", "invalid");
  json_add_text (response, "detail", "the body is not a JSON object");
  json_object_object_add (response, "faults", faults_to_json (faults));
  request_finish (request, STATUS_BAD_REQUEST, response);
  return NULL;
}

/* Adds a fault for each member of OBJECT whose name is not in NAMES, which
   ends with NULL.  Returns whether all are.  */
static bool
check_names (json_object *object, const char *const *names, struct str path,
             struct faults *faults)
{
  size_t before = faults_count (faults);
  json_object_object_foreach (object, key, value)
  {
    (void)value;
    bool known = false;
    for (int i = 0; names[i]; i++)
      known |= strcmp (names[i], key) == 0;
    if (!known)
      faults_add_unknown_name (faults, path, str_from (key), names);
  }
  return faults_count (faults) == before;
}

/* Reads the version that CHANGE is based on from OBJECT.  */
static void
read_version (json_object *object, struct str path, struct change *change,
              struct faults *faults)
{
  json_object *version = json_member (object, "version");
  change->based_on = json_object_get_int64 (version);
  if (json_object_get_type (version) != json_type_int || change->based_on < 0)
    faults_add (faults, path, STR ("no version"),
                "\"version\": the version that the change is based on, or 0 "
                "to create");
}

static void
fail_with_faults (struct request *request, const struct faults *faults)
{
  json_object *response = json_object_new_object ();
  json_add_text (response, "error", "invalid");
  json_add_text (response, "detail", "nothing was changed");
  json_object_object_add (response, "faults", faults_to_json (faults));
  request_finish (request, STATUS_INVALID, response);
}

static void
put_resource (struct request *request, enum resource_kind kind)
{
  static const char *const names[]
      = { "kind", "name", "version", "spec", "status", NULL };
  json_object *body = parse_body (request);
  if (!body)
    return;
  struct faults *faults = faults_create (request->pool);
  struct change change = { .kind = kind, .name = request->segments[1] };
  check_names (body, names, STR ("body"), faults);
  read_version (body, STR ("body.version"), &change, faults);
  change.spec = json_member (body, "spec");
  if (!change.spec)
    faults_add (faults, STR ("body.spec"), STR ("nothing"), "an object");
  if (faults_count (faults) > 0)
    fail_with_faults (request, faults);
  else
    submit_changes (request, &change, 1);
  json_object_put (body);
}

static void
delete_resource (struct request *request, enum resource_kind kind)
{
  struct str text = httpd_query_parameter (request->connection, "version");
  char *end = NULL;
  struct change change
      = { .kind = kind, .name = request->segments[1], .is_delete = true };
  change.based_on = strtoll (text.data, &end, 10);
  if (text.size == 0 || *end || change.based_on < 1)
    request_fail (request, STATUS_BAD_REQUEST, "invalid",
                  "give the version to delete as ?version=N");
  else
    submit_changes (request, &change, 1);
}

/* Reads ITEM of the list of changes; PATH names it in faults.  */
static void
read_change (json_object *item, struct str path, struct change *change,
             struct faults *faults)
{
  static const char *const names[]
      = { "kind", "name", "version", "spec", "status", "delete", NULL };
  if (json_object_get_type (item) != json_type_object)
    {
      faults_add (faults, path, STR ("another value"), "an object");
      return;
    }
  check_names (item, names, path, faults);
  struct str kind
      = str_from (json_object_get_string (json_member (item, "kind")));
  change->kind = resource_kind_from_name (kind);
  change->name
      = str_from (json_object_get_string (json_member (item, "name")));
  change->spec = json_member (item, "spec");
  change->is_delete = json_object_get_boolean (json_member (item, "delete"));
  if (change->kind == KIND_COUNT)
    {
      const char *kinds[KIND_COUNT + 1] = { 0 };
      for (int k = 0; k < KIND_COUNT; k++)
        kinds[k] = resource_kinds[k].kind;
      faults_add_unknown_name (faults, path, kind, kinds);
    }
  read_version (item, path, change, faults);
  if (!change->is_delete && !change->spec)
    faults_add (faults, path, STR ("nothing"), "\"spec\": an object");
}

/* Returns the resources whose last change came after VERSION.  */
static json_object *
list_changed_since (const struct request *request, int64_t version)
{
  json_object *changed = json_object_new_array ();
  for (int kind = 0; kind < KIND_COUNT; kind++)
    {
      json_object *all = json_member (current_document (request)->root,
                                      resource_kinds[kind].plural);
      if (!all)
        continue;
      json_object_object_foreach (all, name, stored)
      {
        int64_t stored_version
            = json_object_get_int64 (json_member (stored, "version"));
        if (stored_version <= version)
          continue;
        json_object *item = json_object_new_object ();
        json_add_text (item, "kind", resource_kinds[kind].kind);
        json_add_text (item, "name", name);
        json_add_number (item, "version", stored_version);
        json_object_array_add (changed, item);
      }
    }
  return changed;
}

/* Returns the resources that were deleted after VERSION, as far as they are
   among the last MAX_DELETIONS deletions since this entry started.  */
static json_object *
list_deleted_since (const struct request *request, int64_t version)
{
  json_object *deleted = json_object_new_array ();
  for (size_t i = 0; i < MAX_DELETIONS; i++)
    {
      const struct deletion *d = &request->api->deletions[i];
      if (d->version <= version)
        continue;
      json_object *item = json_object_new_object ();
      json_add_text (item, "kind", resource_kinds[d->kind].kind);
      json_add_text (item, "name", d->name);
      json_object_array_add (deleted, item);
    }
  return deleted;
}

static void
finish_watch (struct request *request)
{
  json_object *response = json_object_new_object ();
  json_add_number (response, "version", current_document (request)->version);
  json_object_object_add (
      response, "changed",
      list_changed_since (request, request->watch_version));
  json_object_object_add (
      response, "deleted",
      list_deleted_since (request, request->watch_version));
  request_finish (request, STATUS_OK, response);
}

static void
on_watch_timeout (void *user_data, apr_time_t now)
{
  (void)now;
  struct request *request = user_data;
  watch_cancel (request);
  finish_watch (request);
}

/* Records the resources that are in the last snapshot but not in NEXT.  */
static void
record_deletions (struct api *api, const struct snapshot *next)
{
  for (int kind = 0; kind < KIND_COUNT; kind++)
    for (size_t i = 0; i < api->last_snapshot->lists[kind].count; i++)
      {
        const struct resource *resource
            = (const void *)((const char *)api->last_snapshot->lists[kind]
                                 .items
                             + i * resource_kinds[kind].size);
        if (snapshot_find (next, (enum resource_kind)kind, resource->name))
          continue;
        struct deletion *d = &api->deletions[api->next_deletion];
        api->next_deletion = (api->next_deletion + 1) % MAX_DELETIONS;
        d->kind = (enum resource_kind)kind;
        d->version = next->version;
        apr_cpystrn (d->name, resource->name.data, sizeof d->name);
      }
}

/* public functions */

void
handle_resources (struct request *request)
{
  enum resource_kind kind
      = request->segment_count > 0
            ? resource_kind_from_name (request->segments[0])
            : KIND_COUNT;
  if (kind == KIND_COUNT || request->segment_count > 2)
    {
      request_fail (request, STATUS_NOT_FOUND, "not-found",
                    "there is no such path; see the API reference");
      return;
    }
  bool is_get = str_equal (request->method, STR ("GET"));
  if (is_get)
    request_query (request,
                   request->segment_count == 1 ? finish_list : finish_get);
  else if (request->segment_count == 2
           && str_equal (request->method, STR ("PUT")))
    put_resource (request, kind);
  else if (request->segment_count == 2
           && str_equal (request->method, STR ("DELETE")))
    delete_resource (request, kind);
  else
    request_fail (request, STATUS_NOT_ALLOWED, "invalid",
                  "use GET on a list; GET, PUT or DELETE on a resource");
}

void
handle_apply (struct request *request)
{
  static const char *const names[] = { "changes", NULL };
  if (!str_equal (request->method, STR ("POST")))
    {
      request_fail (request, STATUS_NOT_ALLOWED, "invalid", "use POST");
      return;
    }
  json_object *body = parse_body (request);
  if (!body)
    return;
  struct faults *faults = faults_create (request->pool);
  json_object *list = json_member (body, "changes");
  size_t count = json_object_get_type (list) == json_type_array
                     ? json_object_array_length (list)
                     : 0;
  check_names (body, names, STR ("body"), faults);
  if (count == 0 || count > MAX_CHANGES)
    faults_add (faults, STR ("body.changes"), STR ("another value"),
                "a list of 1 to %d changes", MAX_CHANGES);
  struct change *changes
      = apr_pcalloc (request->pool, (count + 1) * sizeof *changes);
  for (size_t i = 0; i < count && i < MAX_CHANGES; i++)
    read_change (json_object_array_get_idx (list, i),
                 str_printf (request->pool, "changes[%zu]", i), &changes[i],
                 faults);
  if (faults_count (faults) > 0)
    fail_with_faults (request, faults);
  else
    submit_changes (request, changes, count);
  json_object_put (body);
}

void
handle_operation (struct request *request)
{
  int64_t version = 0;
  if (request->segment_count != 2)
    {
      request_fail (request, STATUS_NOT_FOUND, "not-found",
                    "name the operation: /v1/operations/ID");
      return;
    }
  enum change_state state = config_manager_operation_state (
      request->api->desc.config_manager, request->segments[1], &version);
  if (state == CHANGE_UNKNOWN)
    {
      request_fail (request, STATUS_NOT_FOUND, "not-found",
                    "this entry knows of no operation '%s'",
                    request->segments[1].data);
      return;
    }
  json_object *response = json_object_new_object ();
  json_add_text (response, "operation", request->segments[1].data);
  json_add_text (response, "state", change_state_name (state));
  if (state == CHANGE_ACCEPTED)
    json_add_number (response, "version", version);
  request_finish (request, STATUS_OK, response);
}

void
handle_watch (struct request *request)
{
  struct str version = httpd_query_parameter (request->connection, "version");
  struct str wait = httpd_query_parameter (request->connection, "timeout_ms");
  int64_t wait_ms
      = wait.size > 0 ? strtoll (wait.data, NULL, 10) : DEFAULT_WATCH_MS;
  if (wait_ms < 0 || wait_ms > MAX_WATCH_MS)
    wait_ms = MAX_WATCH_MS;
  request->watch_version = strtoll (version.data, NULL, 10);
  if (current_document (request)->version > request->watch_version)
    {
      finish_watch (request);
      return;
    }
  request->next_watcher = request->api->watchers;
  request->api->watchers = request;
  timer_start (loop_timers (request->api->desc.loop), &request->timer,
               timer_clock () + TIMER_MS (wait_ms), on_watch_timeout, request);
}

void
watch_cancel (struct request *request)
{
  struct request **at = &request->api->watchers;
  timer_stop (loop_timers (request->api->desc.loop), &request->timer);
  while (*at && *at != request)
    at = &(*at)->next_watcher;
  if (*at)
    *at = request->next_watcher;
}

void
watch_handle_adoption (struct api *api, const struct document *document)
{
  record_deletions (api, document->snapshot);
  snapshot_unref (api->last_snapshot);
  api->last_snapshot = snapshot_ref (document->snapshot);
  while (api->watchers)
    {
      struct request *request = api->watchers;
      watch_cancel (request);
      finish_watch (request);
    }
}
