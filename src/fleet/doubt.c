#include "fleet/doubt.h"

#include "base/timer.h"

enum
{
  /* Two writes may be on their way through the store and a reader when the
     upstream ends; the next one comes after that.  */
  WRITES_TO_SETTLE = 3,
  /* Below the time between two writes.  */
  WRITE_INTERVAL_MS = 500,
  /* Longer than the three heartbeats after which the store removes the record
     of an upstream that writes nothing, and a read after that.  */
  HOLD_MS = 8000
};

/* Ends a doubt that the upstream said nothing to.  News of it may come again,
   and begin no new one.  */
static void
end_unsettled (struct doubt *doubt)
{
  doubt->settled_at = doubt->since;
  doubt->since = 0;
}

bool
doubt_begin (struct doubt *doubt, apr_time_t at)
{
  if (doubt->since > 0 || at <= doubt->settled_at)
    return false;
  doubt->since = at;
  doubt->writes = 0;
  doubt->counted_at = 0;
  doubt->ends_at = at + (apr_time_t)HOLD_MS * (APR_USEC_PER_SEC / 1000);
  return true;
}

bool
doubt_settle (struct doubt *doubt, apr_time_t as_of, apr_time_t cold_until)
{
  if (as_of < doubt->since || as_of <= doubt->settled_at)
    return false;
  *doubt = (struct doubt){ .settled_at = as_of,
                           .cold_until = cold_until,
                           .revision = doubt->revision };
  return true;
}

bool
doubt_count_write (struct doubt *doubt, int64_t revision, apr_time_t now)
{
  bool is_new = revision > doubt->revision;
  if (is_new)
    doubt->revision = revision;
  if (!is_new || doubt->since == 0
      || now - doubt->counted_at < TIMER_MS (WRITE_INTERVAL_MS))
    return false;
  doubt->counted_at = now;
  if (++doubt->writes < WRITES_TO_SETTLE)
    return false;
  end_unsettled (doubt);
  return true;
}

bool
doubt_expire (struct doubt *doubt, apr_time_t now)
{
  if (doubt->since == 0 || now <= doubt->ends_at)
    return false;
  end_unsettled (doubt);
  return true;
}

void
doubt_postpone (struct doubt *doubt, apr_time_t by)
{
  doubt->ends_at += by;
}

bool
doubt_is_cold (const struct doubt *doubt, apr_time_t now)
{
  return doubt->since > 0 || doubt->cold_until > now;
}
