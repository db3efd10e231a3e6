/* Feeds arbitrary text to the decoders of the platform's documents and header
   values (platform/decode.h).  What they accept must be usable and in range;
   otherwise, and on a crash, the fuzzer reports the input.  */
#include "platform/decode.h"

#include <apr_general.h>
#include <stdlib.h>

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  static apr_pool_t *pool;
  struct plan *plan;
  struct fleet_record record;
  struct load_report report;
  struct str rest;
  struct err err;
  if (!pool)
    {
      apr_initialize ();
      apr_pool_create (&pool, NULL);
    }
  struct str text = str_dup (pool, str_view ((const char *)data, size));
  if (decode_plan (text, &plan, &err) == ERR_NONE)
    {
      plan_find_route (plan, STR ("h.example"), STR ("/jobs/1"));
      plan_unref (plan);
    }
  if (decode_upstream (STR ("i"), text, pool, &record, &err) == ERR_NONE
      && (record.slots < 1 || record.cold_remaining < 0))
    abort ();
  if (decode_load (text, &report) && report.slots < 1)
    abort ();
  decode_affinity_key (text);
  if (decode_deadline_ms (text) < -1)
    abort ();
  decode_key (text, &rest);
  apr_pool_clear (pool);
  return 0;
}
