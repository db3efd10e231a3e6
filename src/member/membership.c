#include "member/membership.h"

#include "base/json.h"

#include <stdlib.h>

/* constants */

enum
{
  NAME_MAX_BYTES = 63 /* of an entry or a region */
};

/* private functions */

static int
compare_by_name (const void *a, const void *b)
{
  const struct member_record *x = a;
  const struct member_record *y = b;
  int order = str_compare (x->name, y->name);
  return order ? order
               : (x->joined_version > y->joined_version)
                     - (x->joined_version < y->joined_version);
}

static const struct member_observation *
find_observation (const struct membership_view *view, struct str name)
{
  for (size_t i = 0; i < view->count; i++)
    if (str_equal (view->observations[i].record.name, name))
      return &view->observations[i];
  return NULL;
}

/* Returns whether the process of RECORD is known to have ended.  */
static bool
has_ended (const struct membership_view *view,
           const struct member_record *record)
{
  const struct member_observation *observation
      = find_observation (view, record->name);
  if (observation && observation->record.incarnation > record->incarnation)
    return true;
  if (observation && observation->has_stopped
      && observation->record.incarnation == record->incarnation)
    return true;
  return view->is_gone && view->is_gone (view->user_data, record);
}

static struct str
text_member (json_object *object, const char *name)
{
  return str_from (json_member_text (object, name));
}

static bool
read_record (json_object *object, int64_t version,
             struct member_record *record)
{
  *record = (struct member_record){
    .name = text_member (object, "name"),
    .region = text_member (object, "region"),
    .peer_address = text_member (object, "peers"),
    .incarnation = json_member_number (object, "incarnation"),
    .joined_version = json_member_number (object, "since"),
    .removed_version = MEMBER_NOT_REMOVED,
  };
  if (json_member (object, "until"))
    record->removed_version = json_member_number (object, "until");
  bool is_named = record->name.size > 0 && record->name.size <= NAME_MAX_BYTES
                  && record->region.size <= NAME_MAX_BYTES;
  return is_named && record->incarnation > 0 && record->joined_version > 0
         && record->joined_version <= version
         && record->removed_version > record->joined_version;
}

/* public functions */

struct membership *
membership_create (int64_t version, int64_t confirmed_by_all,
                   const struct member_record *records, size_t count)
{
  apr_pool_t *pool;
  apr_pool_create_unmanaged_ex (&pool, NULL, NULL);
  struct membership *membership = apr_pcalloc (pool, sizeof *membership);
  membership->version = version;
  membership->confirmed_by_all = confirmed_by_all;
  membership->pool = pool;
  membership->references = 1;
  membership->count = count;
  membership->records
      = apr_pcalloc (pool, (count + 1) * sizeof *membership->records);
  for (size_t i = 0; i < count; i++)
    {
      membership->records[i] = records[i];
      membership->records[i].name = str_dup (pool, records[i].name);
      membership->records[i].region = str_dup (pool, records[i].region);
      membership->records[i].peer_address
          = str_dup (pool, records[i].peer_address);
    }
  qsort (membership->records, count, sizeof *membership->records,
         compare_by_name);
  return membership;
}

struct membership *
membership_empty (void)
{
  return membership_create (0, 0, NULL, 0);
}

struct membership *
membership_ref (struct membership *membership)
{
  __atomic_add_fetch (&membership->references, 1, __ATOMIC_RELAXED);
  return membership;
}

void
membership_unref (struct membership *membership)
{
  if (membership
      && __atomic_sub_fetch (&membership->references, 1, __ATOMIC_ACQ_REL)
             == 0)
    apr_pool_destroy (membership->pool);
}

struct membership *
membership_parse (struct str text)
{
  struct membership *membership = NULL;
  struct member_record *records = NULL;
  json_tokener *tokener = json_tokener_new ();
  json_object *object
      = json_tokener_parse_ex (tokener, text.data, (int)text.size);
  json_object *list = json_member (object, "members");
  int64_t version = json_member_number (object, "version");
  int64_t confirmed_by_all = json_member_number (object, "settled");
  if (json_object_get_type (list) != json_type_array || version <= 0
      || confirmed_by_all < 0 || confirmed_by_all > version)
    goto out;
  size_t count = json_object_array_length (list);
  records = calloc (count + 1, sizeof *records);
  if (!records)
    abort ();
  for (size_t i = 0; i < count; i++)
    if (!read_record (json_object_array_get_idx (list, i), version,
                      &records[i]))
      goto out;
  membership = membership_create (version, confirmed_by_all, records, count);
out:
  free (records);
  json_object_put (object);
  json_tokener_free (tokener);
  return membership;
}

struct str
membership_text (const struct membership *membership, apr_pool_t *pool)
{
  json_object *object = json_object_new_object ();
  json_object *list = json_object_new_array ();
  json_add_number (object, "version", membership->version);
  json_add_number (object, "settled", membership->confirmed_by_all);
  for (size_t i = 0; i < membership->count; i++)
    {
      const struct member_record *r = &membership->records[i];
      json_object *item = json_object_new_object ();
      json_add_text (item, "name", r->name.data);
      json_add_text (item, "region", r->region.data);
      json_add_text (item, "peers", r->peer_address.data);
      json_add_number (item, "incarnation", r->incarnation);
      json_add_number (item, "since", r->joined_version);
      if (r->removed_version != MEMBER_NOT_REMOVED)
        json_add_number (item, "until", r->removed_version);
      json_object_array_add (list, item);
    }
  json_object_object_add (object, "members", list);
  struct str text = str_dup (
      pool,
      str_from (json_object_to_json_string_ext (
          object, JSON_C_TO_STRING_PLAIN | JSON_C_TO_STRING_NOSLASHESCAPE)));
  json_object_put (object);
  return text;
}

bool
member_is_in_version (const struct member_record *record, int64_t version)
{
  return record->joined_version <= version
         && version < record->removed_version;
}

const struct member_record *
membership_find (const struct membership *membership, struct str name)
{
  for (size_t i = 0; i < membership->count; i++)
    if (membership->records[i].removed_version == MEMBER_NOT_REMOVED
        && str_equal (membership->records[i].name, name))
      return &membership->records[i];
  return NULL;
}

struct membership *
membership_propose (const struct membership *membership,
                    const struct membership_view *view)
{
  int64_t next = membership->version + 1;
  size_t capacity = membership->count + view->count + 1;
  struct member_record *records = calloc (capacity, sizeof *records);
  struct membership *proposed = NULL;
  size_t count = 0;
  bool changes = false;
  if (!records)
    abort ();
  for (size_t i = 0; i < membership->count; i++)
    {
      struct member_record r = membership->records[i];
      if (r.removed_version == MEMBER_NOT_REMOVED && has_ended (view, &r))
        {
          r.removed_version = next;
          changes = true;
        }
      if (r.removed_version == MEMBER_NOT_REMOVED
          || r.removed_version > next - MEMBERSHIP_HISTORY)
        records[count++] = r;
    }
  for (size_t i = 0; i < view->count; i++)
    {
      const struct member_observation *observation = &view->observations[i];
      const struct member_record *old
          = membership_find (membership, observation->record.name);
      if (!observation->is_serving
          || (old && old->incarnation >= observation->record.incarnation))
        continue;
      records[count] = observation->record;
      records[count].joined_version = next;
      records[count++].removed_version = MEMBER_NOT_REMOVED;
      changes = true;
    }
  if (changes)
    proposed = membership_create (next,
                                  view->confirmed_by_all
                                          > membership->confirmed_by_all
                                      ? view->confirmed_by_all
                                      : membership->confirmed_by_all,
                                  records, count);
  free (records);
  return proposed;
}
