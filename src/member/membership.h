/* The membership: the entries that own a share of every cap, in numbered
   versions.

   A cap is divided among the members of a version.  Entries learn of a new
   version at different times, so the shares in use under two versions must
   never add up to more than the cap.  The rule:

     An entry has adopted version TO.  It confirms TO (in its heartbeat) once
     nothing that it uses exceeds its share under TO.  FROM is the lowest
     version that any other member of TO has confirmed; for one that has
     confirmed none, the version before it joined.  The entry may use the
     smallest of its shares under the versions FROM to TO.

   Proof that the shares in use add up to the cap at most.  Assign to each live
   member the interval from its FROM to the version that it confirmed (to its
   TO, while it has confirmed none).  Confirmations only rise and arrive late,
   so each FROM is at most the upper end of every other interval: any two
   intervals overlap, so all of them have a version C in common.  Each member
   uses at most its share under C, and those add up to the cap.  An entry that
   is no longer a member does not run: a process is removed only after it has
   reported that it stopped, after a newer incarnation of it has sent a
   heartbeat, or after the platform's list no longer names its VM.

   So an entry that joins owns nothing until every member has confirmed its
   version; until then it only borrows.

   A membership is immutable and reference counted.  It keeps removed members
   for MEMBERSHIP_HISTORY versions, so that shares under earlier versions can
   be computed.

     struct membership *next = membership_propose (held, &view);
     if (next)                         store membership_text (next, pool) by
       ...                             compare-and-swap, then adopt it

   Threads: read-only after creation; references are counted atomically.
   Errors: NULL.  */
#ifndef MEMBER_MEMBERSHIP_H
#define MEMBER_MEMBERSHIP_H

#include "base/str.h"

#include <stdint.h>

enum
{
  MEMBERSHIP_HISTORY = 1024 /* versions for which removed members are kept */
};

/* The removing version of a member that was not removed.  */
#define MEMBER_NOT_REMOVED INT64_MAX

/* One process of an entry, and the versions of which it is a member.  */
struct member_record
{
  struct str name;
  struct str region;
  /* IP:PORT at which it accepts other entries; identifies its VM in the
     platform's list.  */
  struct str peer_address;
  int64_t incarnation;    /* of the process; higher at each start */
  int64_t joined_version; /* first version with it */
  /* First version without it, or MEMBER_NOT_REMOVED.  */
  int64_t removed_version;
};

struct membership
{
  int64_t version; /* 0: none is known yet */
  /* A version that the writer knew all members to have confirmed; 0: none.  */
  int64_t confirmed_by_all;
  struct member_record *records; /* sorted by name, then by first version */
  size_t count;
  apr_pool_t *pool;
  int references;
};

/* An entry as the proposer knows it from its last heartbeat.  */
struct member_observation
{
  struct member_record record; /* the two versions are not used */
  bool is_serving;  /* it is alive and serving, so it should be a member */
  bool has_stopped; /* it has reported that it stopped */
};

/* What the proposer knows.  */
struct membership_view
{
  const struct member_observation *observations;
  size_t count;
  /* The lowest of the versions that the members have confirmed.  */
  int64_t confirmed_by_all;
  /* Returns whether the VM of a member is known to be gone; may be NULL.  */
  bool (*is_gone) (void *user_data, const struct member_record *record);
  void *user_data;
};

/* Returns version 0, without members.  */
struct membership *membership_empty (void);
/* Returns a membership with copies of COUNT RECORDS, in any order.
   CONFIRMED_BY_ALL: a version that all members are known to have confirmed.
   The caller holds the first reference.  */
struct membership *membership_create (int64_t version,
                                      int64_t confirmed_by_all,
                                      const struct member_record *records,
                                      size_t count);
/* Adds a reference and returns MEMBERSHIP.  */
struct membership *membership_ref (struct membership *membership);
/* Releases a reference; MEMBERSHIP may be NULL.  */
void membership_unref (struct membership *membership);
/* Returns the membership that the JSON in TEXT describes, or NULL if it is
   malformed.  */
struct membership *membership_parse (struct str text);
/* Returns MEMBERSHIP as JSON, allocated in POOL.  */
struct str membership_text (const struct membership *membership,
                            apr_pool_t *pool);
/* Returns whether RECORD is a member of VERSION.  */
bool member_is_in_version (const struct member_record *record,
                           int64_t version);
/* Returns the record of NAME in the membership's own version, or NULL if it is
   not a member.  */
const struct member_record *
membership_find (const struct membership *membership, struct str name);
/* Returns the next version: without members that have ended, and with entries
   that should be members.  The caller holds the first reference.  Returns NULL
   if nothing changes.  */
struct membership *membership_propose (const struct membership *membership,
                                       const struct membership_view *view);

#endif
