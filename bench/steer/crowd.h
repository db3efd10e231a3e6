/* Entries that start, die, pause and are cut off, and hear of everything
   late: the real steering, share and membership code on a virtual clock.

   The store is one membership; heartbeats and messages about loans arrive
   after their way and a random delay, or never.  The owner of a fleet moves
   the time and uses each process's `steer'.

     struct crowd *fleet = crowd_create (&desc);
     for (...) { crowd_step (fleet, now); ... use fleet->processes ... }

   Units: microseconds.  A run is determined by its seed.  */
#ifndef BENCH_FLEET_H
#define BENCH_FLEET_H

#include "member/confirmation.h"
#include "steer/steer.h"

enum
{
  FLEET_MAX = 16
};

struct crowd_process
{
  bool alive;
  bool paused;
  bool cut_off; /* hears nobody, and nobody hears it */
  int index;
  int64_t incarnation;
  char name[8];
  struct str region;
  struct steer *steer;
  struct membership *held;
  struct confirmations *known;
  int64_t confirmed;
  apr_time_t adopted_at;
};

struct crowd_desc
{
  int count;
  struct str regions[3]; /* process I is in region I % region_count */
  int region_count;
  apr_time_t distance_us; /* one way between regions */
  struct snapshot *snapshot;
  uint64_t seed;
  apr_time_t loan_us; /* default as in share.h */
  apr_time_t hold_us;
  double loss;     /* of messages */
  bool disturbed;  /* processes are killed, restarted, paused, cut off */
  int untouched;   /* the first so many are not */
  bool no_waiting; /* grows at once: what the membership prevents */
  /* Wants of a process, before its tick.  */
  void (*want) (void *part, struct crowd_process *process, apr_time_t now);
  /* PROCESS ends: its uses are over.  */
  void (*ended) (void *part, struct crowd_process *process);
  void *part;
};

struct crowd
{
  struct crowd_desc desc;
  struct crowd_process processes[FLEET_MAX];
  struct membership *stored;
  struct crowd_mail *mails;
  apr_pool_t *pool;
  apr_time_t now;
  apr_time_t tick_at;
  apr_time_t beat_at;
  apr_time_t disturb_at;
  uint64_t random;
};

struct crowd *crowd_create (const struct crowd_desc *desc, apr_time_t now);
void crowd_destroy (struct crowd *fleet);
/* Moves the clock to NOW and does all that is due.  */
void crowd_step (struct crowd *fleet, apr_time_t now);
/* Returns a number below N.  */
size_t crowd_pick (struct crowd *fleet, size_t n);

#endif
