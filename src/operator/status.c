#include "operator/request.h"

/* private functions */

static json_object *
render_entry (const struct roster_entry *entry)
{
  const struct heartbeat *heartbeat = &entry->heartbeat;
  json_object *object = json_object_new_object ();
  json_add_text (object, "name", heartbeat->name.data);
  json_add_text (object, "zone", heartbeat->zone.data);
  json_add_text (object, "region", heartbeat->region.data);
  json_add_text (object, "state",
                 entry->alive ? entry_state_name (heartbeat->state)
                              : "silent");
  json_add_number (object, "version", heartbeat->versions[DOCUMENT_CONFIG]);
  json_add_number (object, "membership",
                   heartbeat->versions[DOCUMENT_MEMBERSHIP]);
  json_add_number (object, "confirmed", heartbeat->confirmed);
  json_add_number (object, "in_flight", heartbeat->in_flight);
  json_add_number (object, "queued", heartbeat->queued);
  json_add_text (object, "callers", heartbeat->caller_address.data);
  json_add_text (object, "operators", heartbeat->operator_address.data);
  return object;
}

/* Returns the names of the other entries that have not confirmed the newest
   membership version in the roster.  Until they do, the shares of the rest
   cannot grow.  */
static json_object *
list_unconfirmed (const struct roster *roster)
{
  json_object *names = json_object_new_array ();
  int64_t newest = 0;
  for (size_t i = 0; i < roster->count; i++)
    {
      const struct heartbeat *heartbeat = &roster->entries[i].heartbeat;
      if (heartbeat->versions[DOCUMENT_MEMBERSHIP] > newest)
        newest = heartbeat->versions[DOCUMENT_MEMBERSHIP];
    }
  for (size_t i = 0; i < roster->count; i++)
    {
      const struct heartbeat *heartbeat = &roster->entries[i].heartbeat;
      if (heartbeat->confirmed < newest && !roster->entries[i].is_self
          && heartbeat->state != ENTRY_STOPPED)
        json_object_array_add (names,
                               json_object_new_string (heartbeat->name.data));
    }
  return names;
}

/* Adds the array NAME to RESPONSE: the names of VIEW's members whose FLAG is
   true.  */
static void
add_flagged (json_object *response, const char *name, json_object *view,
             const char *flag)
{
  json_object *list = json_object_new_array ();
  if (view)
    {
      json_object_object_foreach (view, key, item)
      {
        if (json_object_get_boolean (json_member (item, flag)))
          json_object_array_add (list, json_object_new_string (key));
      }
    }
  json_object_object_add (response, name, list);
}

static json_object *
list_drains (const struct snapshot *snapshot)
{
  json_object *drains = json_object_new_array ();
  SNAPSHOT_EACH (snapshot, KIND_DRAIN, const struct drain, drain)
  {
    static const char *const kinds[]
        = { "upstream", "zone", "region", "entry" };
    json_object *item = json_object_new_object ();
    json_add_text (item, "kind", kinds[drain->kind]);
    json_add_text (item, "target", drain->target.data);
    json_add_text (item, "reason", drain->reason.data);
    json_object_array_add (drains, item);
  }
  return drains;
}

/* Ends /v1/status.  This entry's heartbeat in the roster may lag behind the
   configuration in force, so its version is taken from the document.  */
static void
finish_status (struct request *request, json_object *view)
{
  const struct roster *roster = peers_roster (request->api->desc.peers);
  const struct document *document
      = config_manager_document (request->api->desc.config_manager);
  json_object *response = json_object_new_object ();
  json_object *entries = json_object_new_array ();
  json_object *behind = json_object_new_array ();
  for (size_t i = 0; i < roster->count; i++)
    {
      struct roster_entry entry = roster->entries[i];
      if (entry.is_self)
        entry.heartbeat.versions[DOCUMENT_CONFIG] = document->version;
      json_object_array_add (entries, render_entry (&entry));
      if (entry.heartbeat.versions[DOCUMENT_CONFIG] < document->version)
        json_object_array_add (
            behind, json_object_new_string (entry.heartbeat.name.data));
    }
  json_add_text (response, "entry", request->api->desc.settings->name.data);
  json_add_number (response, "version", document->version);
  json_object_object_add (response, "entries", entries);
  json_object_object_add (response, "behind", behind);
  json_object_object_add (response, "unconfirmed", list_unconfirmed (roster));
  add_flagged (response, "saturated", json_member (view, "services"),
               "saturated");
  add_flagged (response, "leaving", json_member (view, "upstreams"),
               "leaving");
  add_flagged (response, "ejected", json_member (view, "upstreams"),
               "ejected");
  json_object_object_add (response, "drains",
                          list_drains (document->snapshot));
  request_finish (request, STATUS_OK, response);
}

/* public functions */

void
handle_status (struct request *request)
{
  request_query (request, finish_status);
}

void
handle_burn (struct request *request)
{
  const struct document *document
      = config_manager_document (request->api->desc.config_manager);
  json_object *counts = burn_counts (request->api->desc.burn, timer_clock ());
  json_object *response = json_object_new_object ();
  json_add_text (response, "entry", request->api->desc.settings->name.data);
  json_object_object_add (response, "rows",
                          burn_report (counts, document->snapshot));
  json_object_put (counts);
  request_finish (request, STATUS_OK, response);
}
