/* Feeds arbitrary text to the decoders of the platform's documents and header
   values (platform/decode.h).  What they accept must be usable and in range;
   otherwise, and on a crash, the fuzzer reports the input.  */
#include "platform/decode.h"

#include <apr_general.h>
#include <stdlib.h>
#include <string.h>

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

/* A route that is faulty in any way leaves the one beside it as it is: DATA,
   as an object or as the rest of one, is a route next to a valid one.  */
static void
check_containment (struct str data, apr_pool_t *pool)
{
  static const char *const formats[]
      = { "{\"version\":7,\"services\":[{\"name\":\"desk\"}],\"routes\":["
          "{\"name\":\"good\",\"host\":\"good.example\",\"prefix\":"
          "\"/good/\",\"kind\":\"safe\",\"service\":\"desk\","
          "\"max_attempts\":2},{\"host\":\"h\",\"prefix\":\"/odd/\",%.*s}]}",
          "{\"version\":7,\"services\":[{\"name\":\"desk\"}],\"routes\":["
          "{\"name\":\"good\",\"host\":\"good.example\",\"prefix\":"
          "\"/good/\",\"kind\":\"safe\",\"service\":\"desk\","
          "\"max_attempts\":2},%.*s]}" };
  for (size_t i = 0; i < sizeof formats / sizeof *formats; i++)
    {
      struct plan *plan;
      struct err err;
      struct str text = str_printf (pool, formats[i], STR_ARGS (data));
      if (decode_plan (text, &plan, &err) != ERR_NONE)
        continue;
      const struct plan_route *good
          = plan_find_route (plan, STR ("good.example"), STR ("/good/1"));
      /* Only a second route of the same place, or a second list of routes or
         services in DATA, may change it.  */
      bool is_touched
          = data.size > 0
            && (strstr (data.data, "good") || strchr (data.data, ']')
                || strstr (data.data, "\\u"));
      if (!is_touched && (!good || good->refusal || good->max_attempts != 2))
        abort ();
      const struct plan_route *odd
          = plan_find_route (plan, STR ("h"), STR ("/odd/1"));
      if (odd && !odd->refusal && odd->kind == PLAN_KIND_UNKNOWN
          && odd->max_attempts != 1)
        abort ();
      plan_unref (plan);
    }
}

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
  check_containment (text, pool);
  decode_affinity_key (text);
  if (decode_deadline_ms (text) < -1)
    abort ();
  decode_key (text, &rest);
  apr_pool_clear (pool);
  return 0;
}
