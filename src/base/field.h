/* Validating reader of JSON objects, driven by tables of fields.

   A table describes one kind of JSON object: the name, type, bounds and
   default of each field, and the offset of its value in a C struct.
   `field_read' fills the struct and collects all faults instead of stopping
   at the first: unknown names (with the nearest known one), missing fields,
   wrong types, values out of bounds.

     static const struct field listen_fields[] = {
       { .name = "callers", .type = FIELD_ADDRESS, .required = true,
         FIELD_OFFSET (listen, callers) },
       { 0 }
     };
     struct faults *faults = faults_create (pool);
     field_read (listen_fields, object, STR ("listen"), &listen, pool, faults);
     if (faults_count (faults) > 0) ...

   Strings are copied into the pool.  Threads: no shared state.  */
#ifndef BASE_FIELD_H
#define BASE_FIELD_H

#include "base/err.h"
#include "base/str.h"

#include <json-c/json.h>
#include <stdint.h>

/* The accepted JSON value and, in the comment, the C type that stores it.  */
enum field_type
{
  FIELD_TEXT = 1,     /* struct str, 1 to 255 bytes */
  FIELD_NAME,         /* struct str, as field_is_name requires */
  FIELD_ADDRESS,      /* struct str: IPV4:PORT or [IPV6]:PORT */
  FIELD_URL,          /* struct str: http:// and an address */
  FIELD_INT,          /* int64_t, within the field's bounds */
  FIELD_REAL,         /* double, within the field's bounds */
  FIELD_BOOL,         /* bool */
  FIELD_CHOICE,       /* int: index into the field's choices */
  FIELD_TEXT_LIST,    /* struct str_list; any list has at most 4096 items */
  FIELD_NAME_LIST,    /* struct str_list */
  FIELD_ADDRESS_LIST, /* struct str_list */
  FIELD_OBJECT,       /* struct described by a nested table */
  FIELD_OBJECT_LIST   /* struct field_list of structs described by a nested
                         table */
};

/* A list of COUNT structs.  */
struct field_list
{
  void *items;
  size_t count;
};

/* One row of a table; a row without a name ends the table.  */
struct field
{
  const char *name; /* key in the JSON object */
  enum field_type type;
  size_t offset; /* offset in the struct */
  bool required;
  /* Inclusive bounds for FIELD_INT and FIELD_REAL.  */
  int64_t min_value;
  int64_t max_value;
  /* Default for FIELD_INT, FIELD_REAL, FIELD_BOOL and FIELD_CHOICE.  */
  int64_t default_number;
  /* Default for the types of a single text.  */
  const char *default_text;
  /* The texts of a FIELD_CHOICE; ends with NULL.  */
  const char *const *choices;
  /* Nested table of a FIELD_OBJECT or FIELD_OBJECT_LIST.  */
  const struct field *subfields;
  /* Size of one struct of a FIELD_OBJECT_LIST.  */
  size_t item_size;
  const char *unit; /* for messages and documentation, or NULL */
};

/* Initializes the offset of a field: that of MEMBER in struct STRUCTURE.  */
#define FIELD_OFFSET(structure, member)                                       \
  .offset = offsetof (struct structure, member)
/* An optional whole number from MIN to MAX, in the unit UNIT_NAME.  Its key is
   the name of MEMBER in struct STRUCTURE.  */
#define FIELD_NUMBER(structure, member, min, max, default_value, unit_name)   \
  {                                                                           \
    .name = #member, .type = FIELD_INT, FIELD_OFFSET (structure, member),     \
    .min_value = (min), .max_value = (max),                                   \
    .default_number = (default_value), .unit = (unit_name)                    \
  }

/* One fault in the input: where it is, what was found there, and what was
   expected.  */
struct fault
{
  struct str path; /* such as "listen.callers" or "settings.json:12" */
  struct str found;
  struct str expected;
};

/* A list of faults, in the order in which they were found.  */
struct faults;

/* Creates an empty list in POOL, which also owns the texts of its faults.  */
struct faults *faults_create (apr_pool_t *pool);
size_t faults_count (const struct faults *faults);
/* Returns the fault with the index I, from 0.  */
const struct fault *faults_at (const struct faults *faults, size_t i);
/* Appends a fault; EXPECTED is a printf format.  */
void faults_add (struct faults *faults, struct str path, struct str found,
                 const char *expected, ...)
    __attribute__ ((format (printf, 4, 5)));
/* Returns [{"path","found","expected"}]; the caller owns it.  */
json_object *faults_to_json (const struct faults *faults);

/* Reads OBJECT into OUT as described by TABLE.  PATH is the name of OBJECT in
   faults, "" for the top level.  Fields that OBJECT lacks get their defaults,
   and so do those of an object that it lacks; lists that it lacks are not
   written, so zero OUT first.  OUT is complete only if no fault was added.  */
void field_read (const struct field *table, json_object *object,
                 struct str path, void *out, apr_pool_t *pool,
                 struct faults *faults);
/* Appends the fault that TEXT, in the object at PATH, is an unknown name.
   The fault suggests the nearest of NAMES, which ends with NULL.  */
void faults_add_unknown_name (struct faults *faults, struct str path,
                              struct str text, const char *const *names);
/* Parses SIZE bytes of JSON, in which comments are allowed, nested at most 24
   deep.  FILE is used in faults, with the line number.  Returns NULL after a
   fault.  The caller owns the object.  */
json_object *field_parse_json (const char *data, size_t size, struct str file,
                               struct faults *faults);
/* As `field_parse_json', for the contents of the file at PATH, of at most
   16 MiB, which are read into POOL.  */
json_object *field_parse_json_file (const char *path, apr_pool_t *pool,
                                    struct faults *faults);
/* Returns whether TEXT is valid for FIELD_NAME: 1 to 63 letters, digits, '-',
   '_' or '.'.  */
bool field_is_name (struct str text);

#endif
