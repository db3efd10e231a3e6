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

/* The value of a Retry-After header, and after a newline that of the Date
   beside it, give a wait from 0 to an hour, whatever the clock says; a value
   that is refused changes nothing.  What keeps requests away for that wait
   ends with it.  */
static void
check_retry_after (struct str data, apr_pool_t *pool)
{
  static const apr_time_t max_wait = 3600 * APR_USEC_PER_SEC;
  static const apr_time_t untouched = -77;
  static const apr_time_t clocks[]
      = { 0, 1, 1765000000 * APR_USEC_PER_SEC, INT64_MAX };
  const char *end = data.size > 0 ? memchr (data.data, '\n', data.size) : NULL;
  size_t size = end ? (size_t)(end - data.data) : data.size;
  struct str text = str_dup (pool, str_view (data.data, size));
  struct str date
      = end ? str_dup (pool, str_view (end + 1, data.size - size - 1))
            : STR ("");
  for (size_t i = 0; i < sizeof clocks / sizeof *clocks; i++)
    {
      struct load load;
      apr_time_t now = APR_USEC_PER_SEC;
      apr_time_t wait = untouched;
      if (!decode_retry_after (text, date, clocks[i], &wait))
        {
          if (wait != untouched)
            abort ();
          continue;
        }
      if (wait < 0 || wait > max_wait)
        abort ();
      load_init (&load, 1);
      load_turn_away (&load, wait, now);
      load_restrict (&load, wait, now);
      if (load_is_turned_away (&load, now) != (wait > 0)
          || load_is_turned_away (&load, now + wait))
        abort ();
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
  check_retry_after (text, pool);
  decode_affinity_key (text);
  if (decode_deadline_ms (text) < -1)
    abort ();
  decode_key (text, &rest);
  apr_pool_clear (pool);
  return 0;
}
