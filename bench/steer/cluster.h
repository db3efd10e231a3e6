/* Simulates the processes of several entries that start, are killed, pause and
   are cut off from the others: the real steering, share and membership code on
   a virtual clock.

   The platform's store holds a single membership.  The first two processes
   read it and send it on to the others in heartbeats.  Heartbeats and messages
   about loans arrive after the latency between the regions and a random delay,
   or are lost.  The caller advances the time, and begins and ends attempts
   with each process's `steer':

     struct cluster *cluster = cluster_create (&desc, now);
     for (...)
       {
         cluster_advance (cluster, now);
         ... use the `steer' of cluster->processes that are alive ...
       }
     cluster_destroy (cluster);

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
struct cluster_process
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
  int64_t confirmed_version; /* of the membership, by this process; 0: none */
  apr_time_t adopted_at;     /* when the membership came into force */
};

struct cluster_desc
{
  int count;             /* of processes, up to CLUSTER_MAX_PROCESSES */
  struct str regions[3]; /* process I is in region I % region_count */
  int region_count;
  apr_time_t one_way_us; /* latency between regions, one way */
  struct snapshot *snapshot;
  uint64_t seed;
  /* Passed to the shares; 0: the defaults of share/share.h.  */
  apr_time_t loan_duration_us;
  apr_time_t max_use_us;
  double loss_rate;     /* fraction of the messages that are lost */
  bool inject_faults;   /* every 400 ms a process is killed, restarted, paused
                           or cut off */
  int fault_free_count; /* the first so many have no faults */
  /* Shares grow without waiting for the others' confirmations, which shows the
     overruns that these prevent.  */
  bool skip_confirmations;
  /* Reports the demand of PROCESS to its shares; called before each tick, for
     the processes that are alive and not paused.  Not NULL.  */
  void (*update_demand) (void *user_data, struct cluster_process *process,
                         apr_time_t now);
  /* PROCESS is about to end: its attempts end with it.  May be NULL.  */
  void (*process_ended) (void *user_data, struct cluster_process *process);
  void *user_data;
};

struct cluster
{
  struct cluster_desc desc;
  struct cluster_process processes[CLUSTER_MAX_PROCESSES];
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
struct cluster *cluster_create (const struct cluster_desc *desc,
                                apr_time_t now);
/* Ends all processes and frees the simulation.  */
void cluster_destroy (struct cluster *cluster);
/* Advances the clock to NOW and does what is due: delivery of messages,
   heartbeats (every 250 ms), ticks of the shares (every 5 ms), faults.  Each
   is done at most once in a call, so steps should be shorter than a tick.  */
void cluster_advance (struct cluster *cluster, apr_time_t now);
/* Returns a random number below N.  */
size_t cluster_random_below (struct cluster *cluster, size_t n);

#endif
