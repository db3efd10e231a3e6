/* Feeds arbitrary text to the validation of stored documents.  A document that
   is accepted must be accepted again, with the same version, after it was
   serialized.  */
#include "resource/document.h"

#include <apr_general.h>
#include <stdlib.h>

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  static apr_pool_t *pool;
  if (!pool)
    {
      apr_initialize ();
      apr_pool_create (&pool, NULL);
    }
  struct document *document = document_parse (
      str_view ((const char *)data, size), faults_create (pool));
  if (document)
    {
      struct str text = document_serialize (document, pool);
      struct document *reparsed = document_parse (text, faults_create (pool));
      if (!reparsed || reparsed->version != document->version)
        abort ();
      document_destroy (reparsed);
    }
  document_destroy (document);
  apr_pool_clear (pool);
  return 0;
}
