/* The configuration document: every resource with its version, as stored.

   A document is immutable.  `document_apply_changes' makes the next version
   from a batch of changes: it applies all or none, and checks the whole
   result.  Each change names the version of its resource that it was based
   on, so that concurrent changes of one resource are detected.

     struct document *document = document_parse (text, faults);
     code = document_apply_changes (document, id, changes, count, &next,
                                    &conflict, faults);
     if (code == ERR_NONE)
       text = document_serialize (next, pool);

   The stored form is one JSON object:
     { "format": 1, "version": 7,
       "upstreams": { "od-1": { "version": 3, "spec": { ... } } },
       ...,
       "operations": [ { "id": "...", "version": 7 } ] }
   "operations" lists the latest 256 accepted operations, so that a writer that
   got no response can find out whether its write took effect.

   Threads: the control thread only; other threads may hold references to the
   snapshot.  */
#ifndef RESOURCE_DOCUMENT_H
#define RESOURCE_DOCUMENT_H

#include "resource/resource.h"

struct document
{
  json_object *root; /* the stored form */
  struct snapshot *snapshot;
  int64_t version; /* grows by one with each batch; 0: the empty document */
};

/* One change of a batch.  */
struct change
{
  enum resource_kind kind;
  struct str name;
  bool is_delete;
  int64_t based_on;  /* the resource's version; 0: it must not exist */
  json_object *spec; /* borrowed; NULL for a deletion */
};

/* The first change of a batch that was not based on the current version.  */
struct change_conflict
{
  enum resource_kind kind;
  struct str name;
  int64_t based_on;
  int64_t current; /* 0: the resource does not exist */
};

/* Returns a document of version 0 without resources.  */
struct document *document_create_empty (void);
/* Parses and checks a stored document; returns NULL and adds to FAULTS, which
   must be empty before, if it is invalid.  */
struct document *document_parse (struct str text, struct faults *faults);
/* Drops the document's reference to its snapshot too; NULL is ignored.  */
void document_destroy (struct document *document);
/* Returns the stored form in POOL.  */
struct str document_serialize (const struct document *document,
                               apr_pool_t *pool);
/* Returns the document version that operation ID made, or 0 if it is not among
   the recorded operations.  Check this before an operation is retried:
   document_apply_changes does not check whether ID was applied before.  */
int64_t document_operation_version (const struct document *document,
                                    struct str id);
/* Returns the resource's {"version","spec"}, which the document owns, or NULL
   if it does not exist.  */
json_object *document_get (const struct document *document,
                           enum resource_kind kind, struct str name);
/* Applies the COUNT CHANGES as operation ID; DOCUMENT stays as it is.  Returns
   ERR_NONE with NEXT set, which the caller owns; ERR_CONFLICT with CONFLICT
   filled; or ERR_INVALID with NEXT NULL and with faults added to FAULTS, which
   must be empty before, for example if a resource is changed twice.  */
enum err_code document_apply_changes (const struct document *document,
                                      struct str id,
                                      const struct change *changes,
                                      size_t count, struct document **next,
                                      struct change_conflict *conflict,
                                      struct faults *faults);

#endif
