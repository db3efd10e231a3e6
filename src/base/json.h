/* Accessors for the members of JSON objects.

   A member that is missing, or any member of a value that is not an object,
   reads as NULL, 0 or "".  Threads: no shared state.  */
#ifndef BASE_JSON_H
#define BASE_JSON_H

#include <json-c/json.h>
#include <stdint.h>

/* Returns the member NAME of OBJECT, or NULL.  OBJECT keeps owning it.  */
json_object *json_member (json_object *object, const char *name);
/* Returns the member NAME of OBJECT as a whole number.  */
int64_t json_member_number (json_object *object, const char *name);
/* Returns a text that lives as long as the member; that of a member which is
   not a string is its JSON form.  */
const char *json_member_text (json_object *object, const char *name);
/* Set the member NAME of OBJECT, replacing an earlier value.  */
void json_add_text (json_object *object, const char *name, const char *text);
void json_add_number (json_object *object, const char *name, int64_t number);

#endif
