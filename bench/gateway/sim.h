/* Simulates the gateway's decisions on a virtual clock when there are more
   requests than slots.

   Entries choose among upstreams that have slots, an optional queue, a cache
   of objects, a varying speed and faults.  An entry knows of an upstream only
   what its responses report.  The policies SIM_POLICY_OWN and
   SIM_POLICY_OWN_NO_QUEUEING run the code of src/balance and src/fleet; the
   others are common baselines.  The result depends on nothing but the plan,
   including its seed.

     struct sim_plan plan
         = { .policy = SIM_POLICY_OWN, .seed = 1, .demand = 0.9 };
     struct sim_result result = sim_run (&plan);

   Used by bench-rush and by the unit tests, with the plans of the table of
   scenarios.

   Units: microseconds; parts of a whole are fractions, 0 to 1.  Threads: one
   run at a time, since results are collected in static variables.  Call
   apr_initialize first.  Errors: running out of memory ends the process.  */
#ifndef BENCH_GATEWAY_SIM_H
#define BENCH_GATEWAY_SIM_H

#include <apr_time.h>
#include <stdbool.h>
#include <stdint.h>

enum sim_policy
{
  /* The gateway's code; and the same, sending only to free slots, so that
     nothing queues at upstreams.  */
  SIM_POLICY_OWN = 1,
  SIM_POLICY_OWN_NO_QUEUEING,
  /* Baselines: each chooses among the upstreams that have a free slot, as far
     as the entry knows, those of its own region first.  Without one it refuses
     the call.  */
  SIM_POLICY_RANDOM,
  SIM_POLICY_ROUND_ROBIN,
  SIM_POLICY_LEAST_REPORTED, /* fewest calls by the latest report */
  SIM_POLICY_POWER_OF_TWO,   /* of two random ones, that with fewer calls by
                                the latest report */
  SIM_POLICY_END,            /* one past the last */
  SIM_POLICY_FIRST_BASELINE = SIM_POLICY_RANDOM
};

/* How the demand of each region moves, one region after the other.  */
enum sim_demand_shape
{
  SIM_DEMAND_STEADY,
  SIM_DEMAND_STEPS,    /* falls to nearly nothing at once, returns at once */
  SIM_DEMAND_RAMPS,    /* the same within seconds */
  SIM_DEMAND_STOPS,    /* ends at once, returns at once */
  SIM_DEMAND_FROM_NONE /* begins at once */
};

enum
{
  /* Kind 0, and kind 1, which is more urgent and has more weight.  */
  SIM_REQUEST_KINDS = 2,
  SIM_REGIONS = 3
};

/* Upstreams of one or all regions end at once, with the calls that are there,
   and start again at once under their ids.  */
struct sim_outage
{
  double fraction;      /* of the upstreams there; 0: no outage */
  int region;           /* from 0; SIM_REGIONS: all of them */
  apr_time_t begins_at; /* since the start of the run */
  apr_time_t lasts;
  apr_time_t cold_time; /* for which they are cold after it */
  /* What all entries together may send to a cold upstream in a second.  */
  double cold_rate;
};

/* Parameters of a run.  Zero means the default, or that there is none.  */
struct sim_plan
{
  enum sim_policy policy;
  uint64_t seed;
  /* Offered load over what all slots can serve of objects that are not
     cached.  */
  double demand;
  /* Factor of the demand in the third quarter of the run; 0: none.  */
  double burst_factor;
  /* Fraction of the requests that arrive in the first region; 0: each region
     receives as many.  */
  double first_region_fraction;
  int upstreams;              /* default 27, at most 1,350 */
  int first_region_upstreams; /* of them in the first region; default 5 */
  /* Amplitude of a sine wave on each region's demand, relative to its mean;
     each region is a third of a period ahead of the region before.  0: steady
     demand.  */
  double demand_swing;
  apr_time_t demand_period; /* of that wave; needed with demand_swing */
  enum sim_demand_shape demand_shape;
  apr_time_t one_way_latency; /* between regions; default 55 ms */
  double slow_fraction;       /* of the upstreams; slow in the second half */
  double slow_factor;         /* of their service times */
  double failing_fraction;    /* of the upstreams; fail in the second half */
  double failure_rate;        /* fraction of their requests that fail */
  double slowdown_noise;      /* random variation of the upstreams' service
                                 times, 0 to 1 */
  /* Every request is for an object of its own, so that caching is of no use.
   */
  bool unique_objects;
  /* Callers retry refusals after 10 ms, three times, instead of once after the
     time that they are given.  */
  bool immediate_retries;

  /* Requests that take seconds, a quarter of it where the object is cached,
     with targets that only those meet; upstreams of nine slots.  */
  bool long_requests;
  /* An upstream that an entry has not used for six seconds has to be connected
     to, which takes a round trip.  */
  bool connections_close;
  /* Fraction of the requests that take seven times as long.  */
  double tail_fraction;
  int objects;        /* distinct ones; default: 55 for each upstream */
  int cache_capacity; /* objects that an upstream caches; default and at most
                         80 */
  /* Fraction of the upstreams that are replaced, one after the other, in the
     second third of the run: each ends, and a new one with an empty cache and
     another id takes its place.  */
  double replaced_fraction;
  /* Fraction of the upstreams that refuse every request for 1 to 10 s at any
     time, and state how long; in turns.  */
  double away_fraction;
  /* All upstreams are replaced one after the other, from the second to the
     ninth tenth of the run: each says in its responses that it leaves, goes on
     for 2.5 s, then ends with the calls that are there, and 2 s later a new
     one takes its place.  The store lists every other one as leaving, shortly
     before its end, and the rest only when it is replaced.  */
  bool rolls_release;
  /* Fraction of the upstreams that say in one response of a hundred that they
     leave, in the second half of the run, and go on.  */
  double lying_fraction;
  /* The gateway's policies take no notice of what upstreams say in both cases,
     as before they could read it.  */
  bool ignores_notices;
  /* What one entry is told in both cases is known to all after 300 ms.  */
  bool shares_notices;
  struct sim_outage outage;
  /* Divided as evenly as possible over the regions; default 6, at most 300.
   */
  int entries;
  /* Calls that may wait at an upstream, beyond its slots; at most 32.  */
  int queue_capacity;
  apr_time_t duration; /* default 30 s */
  /* Added to, if not NULL.  */
  struct sim_region_counts *region_counts;
};

enum
{
  SIM_BIN_MS = 100,  /* of the counts of requests by region */
  SIM_MAX_BINS = 600 /* later requests are not counted there */
};

/* Requests, by the region of their callers, the region to which an entry sent
   them and the time.  A request that is sent several times counts each time.
 */
struct sim_region_counts
{
  int32_t sent[SIM_REGIONS][SIM_REGIONS][SIM_MAX_BINS];
  /* Of them, those that overflowed: that were sent to another region than that
     of their object.  */
  int32_t overflowed[SIM_REGIONS][SIM_MAX_BINS];
  /* Of all, by the time at which they reached the upstream.  */
  int32_t reached[SIM_REGIONS][SIM_REGIONS][SIM_MAX_BINS];
};

/* What a run counted.  Weighted fractions of the requests use the weights of
   their kinds (sim_request_kinds in internal.h).  */
struct sim_result
{
  int64_t requests;      /* of callers, each counted once */
  int64_t within_target; /* answered within the target latency, from the
                            caller's first submission on */
  int64_t late;          /* answered after it */
  int64_t refused;       /* finally, after the caller's retries */
  int64_t failed;        /* finally, at an upstream */
  int64_t turned_away;   /* sent to an upstream that refused and stated for how
                            long; counted each time */
  int64_t lost;          /* at an upstream when it ended, or sent to it after
                            that; counted each time */
  /* Weighted fraction answered within the target latency: of all requests, and
     in the region, for the kind and in the two seconds where it is lowest.  */
  double within_target_fraction;
  double worst_region;
  double worst_kind;
  double worst_window;
  /* Mean time from the last submission of a call to its refusal.  */
  double mean_refusal_ms;
  /* Fraction of the refusals that came while less than 0.3 of the slots of the
     caller's region were in use, where admission sends late calls too.  */
  double needless_refusal_fraction;

  /* The above as the users weigh them: 0.336 for the weighted fraction, 0.3
     worst region, 0.14 worst window, 0.084 worst kind, and 0.14 for the
     fraction that is answered at all.  0 to 1, higher is better.  */
  double value;
  double queued_fraction; /* of the calls that upstreams accepted, those that
                             waited there */
  /* Upper bound of the weighted fraction: all slots always busy, every object
     cached, and the kind with the most weight for its time first.  */
  double ideal_fraction;
};

/* Runs the simulation PLAN to its end.  */
struct sim_result sim_run (const struct sim_plan *plan);
/* Returns the name of POLICY as printed, a constant string.  */
const char *sim_policy_name (enum sim_policy policy);

#endif
