#include "operator/request.h"

/* private functions */

static json_object *
entry_of (const struct roster_entry *member)
{
  const struct heartbeat *heartbeat = &member->heartbeat;
  json_object *entry = json_object_new_object ();
  json_add_text (entry, "name", heartbeat->name.data);
  json_add_text (entry, "zone", heartbeat->zone.data);
  json_add_text (entry, "region", heartbeat->region.data);
  json_add_text (entry, "state",
                 member->alive ? entry_state_name (heartbeat->state)
                               : "silent");
  json_add_number (entry, "version", heartbeat->versions[DOCUMENT_CONFIG]);
  json_add_number (entry, "membership",
                   heartbeat->versions[DOCUMENT_MEMBERSHIP]);
  json_add_number (entry, "confirmed", heartbeat->confirmed);
  json_add_number (entry, "in_flight", heartbeat->in_flight);
  json_add_number (entry, "queued", heartbeat->queued);
  json_add_text (entry, "callers", heartbeat->caller_address.data);
  json_add_text (entry, "operators", heartbeat->operator_address.data);
  return entry;
}

/* Returns the names of the entries that have not confirmed the newest
   membership that is known; the others' shares cannot grow before.  */
static json_object *
unconfirmed_in (const struct roster *roster)
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

/* Adds the names of VIEW's items whose FLAG is set to the list NAME.  */
static void
add_flagged (json_object *answer, const char *name, json_object *view,
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
  json_object_object_add (answer, name, list);
}

static json_object *
drains_of (const struct snapshot *snapshot)
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

static void
status_done (struct request *request, json_object *view)
{
  const struct roster *roster = peers_roster (request->api->desc.peers);
  const struct document *document
      = config_manager_document (request->api->desc.config_manager);
  json_object *answer = json_object_new_object ();
  json_object *entries = json_object_new_array ();
  json_object *behind = json_object_new_array ();
  for (size_t i = 0; i < roster->count; i++)
    {
      struct roster_entry member = roster->entries[i];
      if (member.is_self)
        member.heartbeat.versions[DOCUMENT_CONFIG] = document->version;
      json_object_array_add (entries, entry_of (&member));
      if (member.heartbeat.versions[DOCUMENT_CONFIG] < document->version)
        json_object_array_add (
            behind, json_object_new_string (member.heartbeat.name.data));
    }
  json_add_text (answer, "entry", request->api->desc.settings->name.data);
  json_add_number (answer, "version", document->version);
  json_object_object_add (answer, "entries", entries);
  json_object_object_add (answer, "behind", behind);
  json_object_object_add (answer, "unconfirmed", unconfirmed_in (roster));
  add_flagged (answer, "saturated", json_member (view, "services"),
               "saturated");
  add_flagged (answer, "leaving", json_member (view, "upstreams"), "leaving");
  add_flagged (answer, "ejected", json_member (view, "upstreams"), "ejected");
  json_object_object_add (answer, "drains", drains_of (document->snapshot));
  request_finish (request, STATUS_OK, answer);
}

/* public functions */

void
handle_status (struct request *request)
{
  request_query (request, status_done);
}

void
handle_burn (struct request *request)
{
  const struct document *document
      = config_manager_document (request->api->desc.config_manager);
  json_object *counts = burn_counts (request->api->desc.burn, timer_clock ());
  json_object *answer = json_object_new_object ();
  json_add_text (answer, "entry", request->api->desc.settings->name.data);
  json_object_object_add (answer, "rows",
                          burn_report (counts, document->snapshot));
  json_object_put (counts);
  request_finish (request, STATUS_OK, answer);
}
