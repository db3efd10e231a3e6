/* Checked reading of JSON objects, driven by tables of fields.

   A table says what an object may hold: each field's name, type, bounds and
   default, and where its value goes in a C struct.  `field_read' fills the
   struct and reports every fault at once: an unknown name (with the nearest
   known one), a missing field, a wrong type, a value out of bounds.

     static const struct field listen_fields[] = {
       { .name = "callers", .type = FIELD_ADDRESS, .required = true,
         .at = offsetof (struct listen, callers) },
       { 0 }
     };
     struct faults *faults = faults_create (pool);
     field_read (listen_fields, object, STR ("listen"), &listen, pool, faults);
     if (faults_count (faults) > 0) ...

   Strings are copied into the pool.  Threads: none shared.  */
#ifndef BASE_FIELD_H
#define BASE_FIELD_H

#include "base/err.h"
#include "base/str.h"

#include <json-c/json.h>
#include <stdint.h>

enum field_type
{
  FIELD_TEXT = 1,     /* struct str, 1 to 255 bytes */
  FIELD_NAME,         /* struct str: letters, digits, '-', '_', '.' */
  FIELD_ADDRESS,      /* struct str: IPV4:PORT or [IPV6]:PORT */
  FIELD_URL,          /* struct str: http:// and an address */
  FIELD_INT,          /* int64_t between `least' and `most' */
  FIELD_REAL,         /* double between `least' and `most' */
  FIELD_BOOL,         /* bool */
  FIELD_CHOICE,       /* int: index into `choices' */
  FIELD_TEXT_LIST,    /* struct str_list */
  FIELD_NAME_LIST,    /* struct str_list */
  FIELD_ADDRESS_LIST, /* struct str_list */
  FIELD_OBJECT,       /* a struct described by `sub' */
  FIELD_OBJECT_LIST   /* struct field_list of structs described by `sub' */
};

/* A list of COUNT structs.  */
struct field_list
{
  void *items;
  size_t count;
};

struct field
{
  const char *name;
  enum field_type type;
  size_t at; /* offset in the struct */
  bool required;
  int64_t least;              /* for FIELD_INT and FIELD_REAL */
  int64_t most;               /* for FIELD_INT and FIELD_REAL */
  int64_t default_number;     /* for FIELD_INT, FIELD_BOOL and FIELD_CHOICE */
  const char *default_text;   /* for the text types */
  const char *const *choices; /* ends with NULL */
  const struct field *sub;
  size_t sub_size;
  const char *unit; /* for messages and documentation, may be NULL */
};

/* The place of MEMBER in STRUCTURE.  */
#define FIELD_AT(structure, member) .at = offsetof (struct structure, member)
/* A whole number called MEMBER, from LOW to HIGH, USUAL by default.  */
#define FIELD_NUMBER(structure, member, low, high, usual, of)                 \
  {                                                                           \
    .name = #member, .type = FIELD_INT, FIELD_AT (structure, member),         \
    .least = (low), .most = (high), .default_number = (usual), .unit = (of)   \
  }

/* One fault: where, what was found, what was expected.  */
struct fault
{
  struct str path;
  struct str found;
  struct str expected;
};

struct faults;

struct faults *faults_create (apr_pool_t *pool);
size_t faults_count (const struct faults *faults);
const struct fault *faults_at (const struct faults *faults, size_t i);
void faults_add (struct faults *faults, struct str path, struct str found,
                 const char *expected, ...)
    __attribute__ ((format (printf, 4, 5)));
/* Returns [{"path","found","expected"}]; the caller owns it.  */
json_object *faults_to_json (const struct faults *faults);

/* Reads OBJECT into OUT by TABLE; PATH names OBJECT in faults.  */
void field_read (const struct field *table, json_object *object,
                 struct str path, void *out, apr_pool_t *pool,
                 struct faults *faults);
/* Reports TEXT as an unknown name, with the nearest of NAMES.  */
void field_unknown (struct faults *faults, struct str path, struct str text,
                    const char *const *names);
/* Parses SIZE bytes of JSON with comments; a fault names FILE and the line.
   Returns NULL after a fault.  The caller owns the object.  */
json_object *field_parse (const char *data, size_t size, struct str file,
                          struct faults *faults);
/* As `field_parse', for the file at PATH.  */
json_object *field_parse_file (const char *path, apr_pool_t *pool,
                               struct faults *faults);
bool field_is_name (struct str text);

#endif
