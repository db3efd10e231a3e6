/* The membership: which entries own a user_data of every cap, in numbered
   versions.

   A cap is divided among the members of a version.  Entries learn of a new
   version at different times, so parts of two divisions must never add up to
   more than the cap.  The rule:

     An entry has adopted version TO.  It confirms TO (in its heartbeat) once
     nothing that it uses exceeds its user_data under TO.  FROM is the lowest
     version that any other member of TO has confirmed; of one that has
     confirmed none, the version before it joined.  The entry may use the
     least of its parts under the versions FROM to TO.

   Proof that parts in use add up to the cap at most.  Give each live member
   the interval from its FROM to what it confirmed (to its TO, while it has
   confirmed none).  Confirmations only rise and are heard late, so each FROM
   is at most the upper end of every other interval: any two intervals
   overlap, so all of them share a version C.  Each member uses at most its
   user_data under C, and those add up to the cap.  Whoever is no longer a
   member is dead: a process is removed only after it said that it stopped,
   after a newer incarnation of it was heard, or after the platform's list no
   longer names its VM.

   An entry that joins therefore owns nothing until every member has
   confirmed its version; until then it lives on loans.

   A membership is immutable and reference counted.  It keeps removed members
   for MEMBERSHIP_HISTORY versions.

     struct membership *next = membership_propose (held, &view);
     if (next) ... write membership_text (next, pool), then adopt it

   Threads: read-only after creation.  Errors: NULL.  */
#ifndef MEMBER_MEMBERSHIP_H
#define MEMBER_MEMBERSHIP_H

#include "base/str.h"

#include <stdint.h>

enum
{
  MEMBERSHIP_HISTORY = 1024 /* versions for which removed members are kept */
};

/* The time of a member that was not removed.  */
#define MEMBERSHIP_STAYS INT64_MAX

/* One process of one entry.  */
struct member_record
{
  struct str name;
  struct str region;
  struct str peers; /* address, by which the platform's list names its VM */
  int64_t incarnation;
  int64_t since; /* first version with it */
  int64_t until; /* first version without it */
};

struct membership
{
  int64_t version; /* 0: none is known */
  int64_t settled; /* the writer knew that all members had confirmed it */
  struct member_record *records; /* in order of name, then of `since' */
  size_t count;
  apr_pool_t *pool;
  int references;
};

/* An entry as the proposer sees it.  */
struct member_sight
{
  struct member_record record; /* `since' and `until' are not used */
  bool joins;                  /* it is alive and serves */
  bool stops;                  /* it has said that it stopped */
};

/* What a proposal is made from.  */
struct membership_view
{
  const struct member_sight *sights;
  size_t count;
  int64_t settled; /* lowest version that all members have confirmed */
  /* Returns whether the VM of a member is known to be gone.  */
  bool (*is_gone) (void *user_data, const struct member_record *record);
  void *part;
};

/* Returns version 0, without members.  */
struct membership *membership_empty (void);
/* Copies COUNT RECORDS.  */
struct membership *membership_create (int64_t version, int64_t settled,
                                      const struct member_record *records,
                                      size_t count);
struct membership *membership_ref (struct membership *membership);
void membership_unref (struct membership *membership);
/* Returns the membership that TEXT describes, or NULL if it is malformed.  */
struct membership *membership_parse (struct str text);
struct str membership_text (const struct membership *membership,
                            apr_pool_t *pool);
/* Returns whether RECORD is a member of VERSION.  */
bool member_is_at (const struct member_record *record, int64_t version);
/* Returns the record of the present member NAME, or NULL.  */
const struct member_record *
membership_find (const struct membership *membership, struct str name);
/* Returns the next version, or NULL if VIEW asks for no change.  */
struct membership *membership_propose (const struct membership *membership,
                                       const struct membership_view *view);

#endif
