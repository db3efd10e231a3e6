/* Whether an upstream may have started again since its record was written.

   A record in the store says what was true when it was written.  An upstream
   that ends and starts again under its id is cold, and its new record follows
   seconds later.  A lost connection shows earlier that the process may have
   ended.  From then on the upstream counts as cold, however long it stays
   away, until one of these shows what it is now:

   - it says so itself, in the response to a health check;
   - its record is written again so often that the latest write cannot come
     from before the doubt;
   - the record is still listed when the store would have removed that of a
     process that had ended;
   - the record of another incarnation, which is another object.

     if (doubt_begin (&doubt, now)) ...      a connection was lost
     if (doubt_settle (&doubt, as_of, cold_until)) ...   it responded
     if (doubt_count_write (&doubt, revision, now)) ...
                                             its record was written again
     if (doubt_expire (&doubt, now)) ...     several times a second
     if (doubt_is_cold (&doubt, now)) ...

   Units: microseconds.  Threads: one thread.  */
#ifndef FLEET_DOUBT_H
#define FLEET_DOUBT_H

#include <apr_time.h>
#include <stdbool.h>
#include <stdint.h>

/* All zero: there is no doubt.  */
struct doubt
{
  apr_time_t since;      /* 0: there is none */
  apr_time_t settled_at; /* as of when it last said what it is, or the latest
                            doubt that ended otherwise began; 0: never */
  apr_time_t cold_until; /* as it said then */
  int writes;            /* of its record since the doubt began */
  int64_t revision;      /* of the latest write heard of */
  apr_time_t counted_at; /* the latest one that counts */
  apr_time_t ends_at;    /* when the record of a process that ended is gone */
};

/* Contact was lost AT that time.  Returns false, changing nothing, if there is
   a doubt, the upstream said later what it is, or that doubt has ended.  */
bool doubt_begin (struct doubt *doubt, apr_time_t at);
/* The upstream said, AS_OF that time, that it is cold until COLD_UNTIL, which
   may be over.  Returns false, changing nothing, if the doubt began later or
   the upstream said something else later.  */
bool doubt_settle (struct doubt *doubt, apr_time_t as_of,
                   apr_time_t cold_until);
/* A record of the same incarnation was written again at REVISION, as is heard
   NOW.  Writes that are heard of together, after a silence of the store or a
   reader, count as one.  Returns whether that ends a doubt.  */
bool doubt_count_write (struct doubt *doubt, int64_t revision, apr_time_t now);
/* Ends a doubt after which the record stayed listed for long enough; returns
   whether it did.  Not to be called during an outage of the store.  */
bool doubt_expire (struct doubt *doubt, apr_time_t now);
/* Extends the doubt by BY, for which nothing was heard of the store.  */
void doubt_postpone (struct doubt *doubt, apr_time_t by);
/* Returns whether the upstream may be cold.  */
bool doubt_is_cold (const struct doubt *doubt, apr_time_t now);

#endif
