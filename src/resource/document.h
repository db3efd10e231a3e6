/* The configuration document: every resource with its version, as stored.

   A document is immutable.  `document_change' makes the next one from a
   batch of changes, all or none, and checks the whole result; each change
   names the version that it was based on.

   The stored form is one JSON object:
     { "format": 1, "version": 7,
       "upstreams": { "od-1": { "version": 3, "spec": { ... } } },
       ...,
       "operations": [ { "id": "...", "version": 7 } ] }
   "operations" names the latest accepted operations, so that a writer whose
   answer was lost can read back whether its write took effect.

   Threads: reference counted as its snapshot; the JSON object is only read
   by the control thread.  */
#ifndef RESOURCE_DOCUMENT_H
#define RESOURCE_DOCUMENT_H

#include "resource/resource.h"

struct document
{
  json_object *root;
  struct snapshot *snapshot;
  int64_t version;
};

/* One change of a batch.  */
struct change
{
  enum resource_kind kind;
  struct str name;
  bool is_delete;
  int64_t based_on;  /* the version it replaces; 0: must not exist */
  json_object *spec; /* borrowed */
};

/* Tells about the first change that was based on a stale version.  */
struct change_conflict
{
  enum resource_kind kind;
  struct str name;
  int64_t based_on;
  int64_t current;
};

struct document *document_create_empty (void);
/* Parses and checks a stored document; NULL after a fault.  */
struct document *document_parse (struct str text, struct faults *faults);
void document_destroy (struct document *document);
/* Returns the stored form in POOL.  */
struct str document_text (const struct document *document, apr_pool_t *pool);
/* Returns the version that operation ID made, or 0 if it is not known.  */
int64_t document_operation (const struct document *document, struct str id);
/* Returns the resource's {"version","spec"}, borrowed, or NULL.  */
json_object *document_get (const struct document *document,
                           enum resource_kind kind, struct str name);
/* Applies CHANGES as operation ID.  Returns ERR_NONE and the next document,
   ERR_CONFLICT with CONFLICT filled, or ERR_INVALID with FAULTS.  */
enum err_code document_change (const struct document *document, struct str id,
                               const struct change *changes, size_t count,
                               struct document **next,
                               struct change_conflict *conflict,
                               struct faults *faults);

#endif
