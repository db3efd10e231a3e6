/* Simulates the processes of several entries that start, are killed, pause and
   are cut off from the others: the real steering, share and membership code on
   a virtual clock.

   The platform's store holds a single membership.  The first two processes
   read it and send it on to the others in heartbeats.  Heartbeats and messages
   about loans arrive after the latency between the regions and a random delay,
   or are lost.  The caller advances the time, and begins and ends attempts
   with each process's `steer':

     struct crowd *crowd = crowd_create (&desc, now);
     for (...)
       {
         crowd_step (crowd, now);
         ... use the `steer' of crowd->processes that are alive ...
       }
     crowd_destroy (crowd);

   Used by links.c and by the unit tests.  Units: microseconds.  Threads: one
   thread.  A run depends on nothing but the description, including its seed,
   and the times of the steps.  Errors: running out of memory ends the process.
 */
#ifndef BENCH_STEER_CLUSTER_H
#define BENCH_STEER_CLUSTER_H

#include "member/confirmation.h"
#include "steer/steer.h"

enum
{
  CLUSTER_MAX_PROCESSES = 16
};

/* The process of one entry; after a restart, its next incarnation.  */
struct crowd_process
{
  bool alive;
  bool paused;  /* does nothing; messages wait for it */
  bool cut_off; /* its messages are lost, in both directions */
  int index;
  int64_t incarnation;
  char name[8]; /* of the entry */
  struct str region;
  struct steer *steer;           /* valid while alive */
  struct membership *membership; /* in force here */
  struct confirmations *confirmations;
  int64_t confirmed_version; /* of the membership, by this process */
  apr_time_t adopted_at;     /* when the membership came into force */
};

struct crowd_desc
{
  int count;             /* of processes, up to CLUSTER_MAX_PROCESSES */
  struct str regions[3]; /* process I is in region I % region_count */
  int region_count;
  apr_time_t distance_us; /* latency between regions, one way */
  struct snapshot *snapshot;
  uint64_t seed;
  /* Passed to the shares; 0: the defaults of share/share.h.  */
  apr_time_t loan_us;
  apr_time_t hold_us;
  double loss;          /* fraction of the messages that are lost */
  bool disturbed;       /* processes are killed, restarted, paused, cut off */
  int fault_free_count; /* except the first so many */
  /* Shares grow without waiting for the others' confirmations, which shows the
     overruns that these prevent.  */
  bool no_waiting;
  /* Reports the demand of PROCESS to its shares; called before each tick.  */
  void (*want) (void *user_data, struct crowd_process *process,
                apr_time_t now);
  /* PROCESS is about to end: its attempts end with it.  May be NULL.  */
  void (*ended) (void *user_data, struct crowd_process *process);
  void *user_data;
};

struct crowd
{
  struct crowd_desc desc;
  struct crowd_process processes[CLUSTER_MAX_PROCESSES];
  struct membership *stored_membership;
  struct cluster_message *messages; /* in transit */
  apr_pool_t *pool;
  apr_time_t now;
  apr_time_t next_tick_at;
  apr_time_t next_heartbeat_at;
  apr_time_t next_fault_at;
  uint64_t random; /* state of the generator */
};

/* Starts the processes of a copy of DESC at the time NOW.  */
struct crowd *crowd_create (const struct crowd_desc *desc, apr_time_t now);
/* Ends all processes and frees the simulation.  */
void crowd_destroy (struct crowd *crowd);
/* Advances the clock to NOW and does all that is due: delivery of messages,
   heartbeats, ticks, faults.  */
void crowd_step (struct crowd *crowd, apr_time_t now);
/* Returns a random number below N.  */
size_t crowd_pick (struct crowd *crowd, size_t n);

#endif
