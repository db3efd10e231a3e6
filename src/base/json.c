#include "base/json.h"

json_object *
json_member (json_object *object, const char *name)
{
  json_object *value = NULL;
  json_object_object_get_ex (object, name, &value);
  return value;
}

int64_t
json_member_number (json_object *object, const char *name)
{
  return json_object_get_int64 (json_member (object, name));
}

const char *
json_member_text (json_object *object, const char *name)
{
  json_object *value = json_member (object, name);
  const char *text = value ? json_object_get_string (value) : NULL;
  return text ? text : "";
}

void
json_add_text (json_object *object, const char *name, const char *text)
{
  json_object_object_add (object, name, json_object_new_string (text));
}

void
json_add_number (json_object *object, const char *name, int64_t number)
{
  json_object_object_add (object, name, json_object_new_int64 (number));
}
