#include "operator/request.h"

#include <apr_strings.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>

/* constants */

enum
{
  CHANGES_MAX = 4096,
  OPERATION_ID_MAX_BYTES = 63,
  WATCH_DEFAULT_MS = 30000,
  WATCH_LONGEST_MS = 50000
};

/* private functions */

static const struct document *
document_of (const struct request *request)
{
  return config_manager_document (request->api->desc.config_manager);
}

/* Returns how many live entries have VERSION in force, of how many.  */
static json_object *
in_force (const struct request *request, int64_t version)
{
  const struct roster *roster = peers_roster (request->api->desc.peers);
  int64_t have = 0;
  int64_t alive = 0;
  for (size_t i = 0; i < roster->count; i++)
    if (roster->entries[i].alive)
      {
        alive++;
        have += roster->entries[i].is_self
                || roster->entries[i].heartbeat.versions[DOCUMENT_CONFIG]
                       >= version;
      }
  json_object *status = json_object_new_object ();
  json_add_number (status, "in_force_on", have);
  json_add_number (status, "entries", alive);
  return status;
}

static json_object *
render (const struct request *request, enum resource_kind kind,
        const char *name, json_object *stored, json_object *view)
{
  json_object *resource = json_object_new_object ();
  int64_t version = json_object_get_int64 (json_member (stored, "version"));
  json_object *status = in_force (request, version);
  json_object *seen
      = json_member (json_member (view, resource_kinds[kind].plural), name);
  json_add_text (resource, "kind", resource_kinds[kind].kind);
  json_add_text (resource, "name", name);
  json_add_number (resource, "version", version);
  json_object_object_add (resource, "spec",
                          json_object_get (json_member (stored, "spec")));
  if (seen)
    {
      json_object_object_foreach (seen, key, value)
      {
        json_object_object_add (status, key, json_object_get (value));
      }
    }
  json_object_object_add (resource, "status", status);
  return resource;
}

static void
list_done (struct request *request, json_object *view)
{
  enum resource_kind kind = resource_kind_from_name (request->parts[0]);
  json_object *answer = json_object_new_object ();
  json_object *items = json_object_new_array ();
  json_object *all
      = json_member (document_of (request)->root, resource_kinds[kind].plural);
  if (all)
    {
      json_object_object_foreach (all, name, stored)
      {
        json_object_array_add (items,
                               render (request, kind, name, stored, view));
      }
    }
  json_add_number (answer, "version", document_of (request)->version);
  json_object_object_add (answer, "items", items);
  request_finish (request, STATUS_OK, answer);
}

static void
get_done (struct request *request, json_object *view)
{
  enum resource_kind kind = resource_kind_from_name (request->parts[0]);
  struct str name = request->parts[1];
  json_object *stored = document_get (document_of (request), kind, name);
  if (!stored)
    request_fail (request, STATUS_NOT_FOUND, "not-found",
                  "there is no %s called '%s'", resource_kinds[kind].kind,
                  name.data);
  else
    request_finish (request, STATUS_OK,
                    render (request, kind, name.data, stored, view));
}

static json_object *
conflict_answer (const struct request *request,
                 const struct change_conflict *conflict)
{
  json_object *answer = json_object_new_object ();
  json_object *stored
      = document_get (document_of (request), conflict->kind, conflict->name);
  json_add_text (answer, "error", "conflict");
  json_add_text (answer, "detail",
                 "the change was based on another version than the current "
                 "one; read the resource again");
  json_add_text (answer, "kind", resource_kinds[conflict->kind].kind);
  json_add_text (answer, "name", str_dup (request->pool, conflict->name).data);
  json_add_number (answer, "based_on", conflict->based_on);
  json_add_number (answer, "current", conflict->current);
  if (stored)
    json_object_object_add (answer, "current_spec",
                            json_object_get (json_member (stored, "spec")));
  return answer;
}

static void
on_changed (void *part, const struct change_result *result)
{
  struct request *request = part;
  json_object *answer;
  switch (result->state)
    {
    case CHANGE_CONFLICT:
      request_finish (request, STATUS_CONFLICT,
                      conflict_answer (request, &result->conflict));
      return;
    case CHANGE_INVALID:
      answer = json_object_new_object ();
      json_add_text (answer, "error", "invalid");
      json_add_text (answer, "detail", "nothing was changed");
      json_object_object_add (answer, "faults",
                              faults_to_json (result->faults));
      request_finish (request, STATUS_INVALID, answer);
      return;
    case CHANGE_UNAVAILABLE:
      request_fail (request, STATUS_UNAVAILABLE, "unavailable",
                    "the store is out of reach; nothing was changed");
      return;
    default:
      answer = json_object_new_object ();
      json_add_text (answer, "state", change_state_name (result->state));
      json_add_text (answer, "operation", request->text.data);
      if (result->state == CHANGE_ACCEPTED)
        json_add_number (answer, "version", result->version);
      request_finish (request,
                      result->state == CHANGE_ACCEPTED ? STATUS_OK
                                                       : STATUS_ACCEPTED,
                      answer);
    }
}

/* Returns the operation's id: the header's, or a random one; an empty string
   if the given one is malformed.  */
static struct str
operation_id (struct request *request)
{
  struct str given = httpd_header (request->connection, "Operation-Id");
  if (given.size > 0)
    return given.size <= OPERATION_ID_MAX_BYTES && field_is_name (given)
               ? given
               : STR ("");
  unsigned char raw[16];
  char *hex = apr_palloc (request->pool, 2 * sizeof raw + 1);
  randombytes_buf (raw, sizeof raw);
  sodium_bin2hex (hex, 2 * sizeof raw + 1, raw, sizeof raw);
  return str_from (hex);
}

static void
submit (struct request *request, const struct change *changes, size_t count)
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
                                count, on_changed, request);
}

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
  json_object *answer = json_object_new_object ();
  json_add_text (answer, "error", "invalid");
  json_add_text (answer, "detail", "the body is not a JSON object");
  json_object_object_add (answer, "faults", faults_to_json (faults));
  request_finish (request, STATUS_BAD_REQUEST, answer);
  return NULL;
}

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
refuse_faults (struct request *request, const struct faults *faults)
{
  json_object *answer = json_object_new_object ();
  json_add_text (answer, "error", "invalid");
  json_add_text (answer, "detail", "nothing was changed");
  json_object_object_add (answer, "faults", faults_to_json (faults));
  request_finish (request, STATUS_INVALID, answer);
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
  struct change change = { .kind = kind, .name = request->parts[1] };
  check_names (body, names, STR ("body"), faults);
  read_version (body, STR ("body.version"), &change, faults);
  change.spec = json_member (body, "spec");
  if (!change.spec)
    faults_add (faults, STR ("body.spec"), STR ("nothing"), "an object");
  if (faults_count (faults) > 0)
    refuse_faults (request, faults);
  else
    submit (request, &change, 1);
  json_object_put (body);
}

static void
delete_resource (struct request *request, enum resource_kind kind)
{
  struct str text = httpd_query_parameter (request->connection, "version");
  char *end = NULL;
  struct change change
      = { .kind = kind, .name = request->parts[1], .is_delete = true };
  change.based_on = strtoll (text.data, &end, 10);
  if (text.size == 0 || *end || change.based_on < 1)
    request_fail (request, STATUS_BAD_REQUEST, "invalid",
                  "give the version to delete as ?version=N");
  else
    submit (request, &change, 1);
}

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

/* Handlers.  */

static json_object *
changed_since (const struct request *request, int64_t version)
{
  json_object *changed = json_object_new_array ();
  for (int kind = 0; kind < KIND_COUNT; kind++)
    {
      json_object *all = json_member (document_of (request)->root,
                                      resource_kinds[kind].plural);
      if (!all)
        continue;
      json_object_object_foreach (all, name, stored)
      {
        int64_t at = json_object_get_int64 (json_member (stored, "version"));
        if (at <= version)
          continue;
        json_object *item = json_object_new_object ();
        json_add_text (item, "kind", resource_kinds[kind].kind);
        json_add_text (item, "name", name);
        json_add_number (item, "version", at);
        json_object_array_add (changed, item);
      }
    }
  return changed;
}

static json_object *
deleted_since (const struct request *request, int64_t version)
{
  json_object *deleted = json_object_new_array ();
  for (size_t i = 0; i < DELETIONS_KEPT; i++)
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
  json_object *answer = json_object_new_object ();
  json_add_number (answer, "version", document_of (request)->version);
  json_object_object_add (answer, "changed",
                          changed_since (request, request->watch_version));
  json_object_object_add (answer, "deleted",
                          deleted_since (request, request->watch_version));
  request_finish (request, STATUS_OK, answer);
}

static void
on_watch_due (void *part, apr_time_t now)
{
  (void)now;
  struct request *request = part;
  watch_forget (request);
  finish_watch (request);
}

static void
record_deletions (struct api *api, const struct snapshot *next)
{
  for (int kind = 0; kind < KIND_COUNT; kind++)
    for (size_t i = 0; i < api->last->lists[kind].count; i++)
      {
        const struct resource *head
            = (const void *)((const char *)api->last->lists[kind].items
                             + i * resource_kinds[kind].size);
        if (snapshot_find (next, (enum resource_kind)kind, head->name))
          continue;
        struct deletion *d = &api->deletions[api->next_deletion];
        api->next_deletion = (api->next_deletion + 1) % DELETIONS_KEPT;
        d->kind = (enum resource_kind)kind;
        d->version = next->version;
        apr_cpystrn (d->name, head->name.data, sizeof d->name);
      }
}

/* public functions */

void
handle_resources (struct request *request)
{
  enum resource_kind kind = request->part_count > 0
                                ? resource_kind_from_name (request->parts[0])
                                : KIND_COUNT;
  if (kind == KIND_COUNT || request->part_count > 2)
    {
      request_fail (request, STATUS_NOT_FOUND, "not-found",
                    "there is no such path; see the API reference");
      return;
    }
  bool is_get = str_equal (request->method, STR ("GET"));
  if (is_get)
    request_query (request, request->part_count == 1 ? list_done : get_done);
  else if (request->part_count == 2
           && str_equal (request->method, STR ("PUT")))
    put_resource (request, kind);
  else if (request->part_count == 2
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
  if (count == 0 || count > CHANGES_MAX)
    faults_add (faults, STR ("body.changes"), STR ("another value"),
                "a list of 1 to %d changes", CHANGES_MAX);
  struct change *changes
      = apr_pcalloc (request->pool, (count + 1) * sizeof *changes);
  for (size_t i = 0; i < count && i < CHANGES_MAX; i++)
    read_change (json_object_array_get_idx (list, i),
                 str_printf (request->pool, "changes[%zu]", i), &changes[i],
                 faults);
  if (faults_count (faults) > 0)
    refuse_faults (request, faults);
  else
    submit (request, changes, count);
  json_object_put (body);
}

void
handle_operation (struct request *request)
{
  int64_t version = 0;
  if (request->part_count != 2)
    {
      request_fail (request, STATUS_NOT_FOUND, "not-found",
                    "name the operation: /v1/operations/ID");
      return;
    }
  enum change_state state = config_manager_operation_state (
      request->api->desc.config_manager, request->parts[1], &version);
  if (state == CHANGE_UNKNOWN)
    {
      request_fail (request, STATUS_NOT_FOUND, "not-found",
                    "this entry knows of no operation '%s'",
                    request->parts[1].data);
      return;
    }
  json_object *answer = json_object_new_object ();
  json_add_text (answer, "operation", request->parts[1].data);
  json_add_text (answer, "state", change_state_name (state));
  if (state == CHANGE_ACCEPTED)
    json_add_number (answer, "version", version);
  request_finish (request, STATUS_OK, answer);
}

void
handle_watch (struct request *request)
{
  struct str text = httpd_query_parameter (request->connection, "version");
  struct str wait = httpd_query_parameter (request->connection, "timeout_ms");
  int64_t wait_ms
      = wait.size > 0 ? strtoll (wait.data, NULL, 10) : WATCH_DEFAULT_MS;
  if (wait_ms < 0 || wait_ms > WATCH_LONGEST_MS)
    wait_ms = WATCH_LONGEST_MS;
  request->watch_version = strtoll (text.data, NULL, 10);
  if (document_of (request)->version > request->watch_version)
    {
      finish_watch (request);
      return;
    }
  request->next_watcher = request->api->watchers;
  request->api->watchers = request;
  timer_start (loop_timers (request->api->desc.loop), &request->timer,
               timer_clock () + TIMER_MS (wait_ms), on_watch_due, request);
}

void
watch_forget (struct request *request)
{
  struct request **at = &request->api->watchers;
  timer_stop (loop_timers (request->api->desc.loop), &request->timer);
  while (*at && *at != request)
    at = &(*at)->next_watcher;
  if (*at)
    *at = request->next_watcher;
}

void
watch_adopted (struct api *api, const struct document *document)
{
  record_deletions (api, document->snapshot);
  snapshot_unref (api->last);
  api->last = snapshot_ref (document->snapshot);
  while (api->watchers)
    {
      struct request *request = api->watchers;
      watch_forget (request);
      finish_watch (request);
    }
}
