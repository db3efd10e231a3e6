/* Short access to members of JSON objects.

   Reading a member that is missing, or of a value that is no object, gives
   NULL, 0 or "".  Threads: pure functions.  */
#ifndef BASE_JSON_H
#define BASE_JSON_H

#include <json-c/json.h>
#include <stdint.h>

/* Returns the member NAME of OBJECT, borrowed, or NULL.  */
json_object *json_member (json_object *object, const char *name);
int64_t json_member_number (json_object *object, const char *name);
const char *json_member_text (json_object *object, const char *name);
void json_add_text (json_object *object, const char *name, const char *text);
void json_add_number (json_object *object, const char *name, int64_t number);

#endif
