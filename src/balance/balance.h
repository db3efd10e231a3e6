/* Choice of an upstream for one request, and the estimates it needs.

   An upstream answers faster for an object that it handled recently, because
   it still has it cached.  A request therefore goes to the upstream with a
   free slot that is expected to answer first.  An upstream is assumed to have
   an object cached if this entry sent it a request for the object recently
   (see balance/affinity.h), or if it ranks first for the object by rendezvous
   hash.  The rank by hash also adds to the cost of every upstream, so that all
   entries send an object that is cached nowhere to the same few upstreams.

   For each request, with the service time of its route:

     struct balance_choice choice = balance_choose_upstream (&request);
     if (choice.upstream)
       load_begin_request (&choice.upstream->load, now);

   and for each response, with the time that it took at the upstream:

     balance_update_service_time (&service_time, elapsed, request.recurs);

   The functions do no I/O and get the time as an argument.  Units:
   microseconds, unless stated otherwise.  Threads: one thread.  */
#ifndef BALANCE_BALANCE_H
#define BALANCE_BALANCE_H

#include "fleet/fleet.h"

enum
{
  /* Upstreams that one request can exclude, because it was sent to them
     before.  */
  BALANCE_EXCLUDED_MAX = 4
};

/* Estimate, learnt from responses, of how long an upstream works on a request
   of one route, without waiting, round trips and slowdown.  */
struct balance_service_time
{
  double cached;   /* where the object is cached */
  double uncached; /* elsewhere */
};

/* One request, and the region that it may go to.  */
struct balance_request
{
  /* The upstreams of the service in the region.  */
  const struct fleet_group *group;
  const struct affinity *affinity;
  /* Hash of the object; where it does not recur, of something unique.  */
  uint64_t object;
  /* More requests for OBJECT may follow; otherwise no upstream is assumed to
     have it cached.  */
  bool recurs;
  const struct balance_service_time *service_time;
  /* Round-trip time to the region.  */
  apr_time_t rtt;
  /* The zone of this entry.  */
  struct str own_zone;
  /* Connections that are idle for longer are closed.  */
  apr_time_t idle_timeout;
  /* Size of the request's body; 0 if not known.  */
  int64_t body_bytes;
  /* Requests for each slot that may wait at an upstream that has the object
     cached: a short wait there ends before a response from elsewhere.  */
  double max_queue_per_slot;
  /* Slots of each upstream kept free for requests that are more urgent.  */
  double reserved_slots;
  /* Most requests of this entry at one upstream.  */
  int64_t max_in_flight;
  apr_time_t now;
  /* Upstreams that are not chosen, by their `hash'.  */
  uint64_t excluded[BALANCE_EXCLUDED_MAX];
  size_t excluded_count;
};

struct balance_choice
{
  /* NULL: none can take the request.  */
  struct fleet_upstream *upstream;
  /* Time until the response arrives.  */
  apr_time_t expected_latency;
  /* Estimate without waiting, round trips and slowdown.  */
  apr_time_t service_time;
  /* The object is assumed to be cached there.  */
  bool object_cached;
};

/* What the responses of a region's upstreams reported lately.  Starts as all
   zeros.  */
struct balance_reports
{
  double busy_count;  /* reports of upstreams with requests */
  double inverse_sum; /* of 1 / (1 + requests), over all reports */
  apr_time_t updated_at;
};

/* Slots of the upstreams of a service in one region.  */
struct balance_region_load
{
  double slots;
  double busy; /* estimate of the slots in use, at most `slots' */
};

/* Returns, of the upstreams that can take the request, the one of lowest cost.
   In a large group only those are looked at that rank first for the object, so
   that a choice costs little more with more upstreams, and all entries look at
   the same ones.  The cost is the time until its response is expected, plus
   what probable failures, slots in use, another zone and a low rank by hash
   add to it.  Changes no state: the caller reports the request to
   balance/load.h when it is sent.  */
struct balance_choice
balance_choose_upstream (const struct balance_request *request);
/* Updates SERVICE_TIME by a response.  ELAPSED: time that the upstream took,
   divided by its slowdown; RECURS: as in the request.  A response to a request
   that recurs updates `cached' if it came much faster than `uncached' says;
   every other one updates `uncached'.  */
void balance_update_service_time (struct balance_service_time *service_time,
                                  double elapsed, bool recurs);
/* Returns whether a region with the round-trip time RTT can be expected to
   answer within TARGET_LATENCY while its upstreams are idle; if not, requests
   need not be sent there.  A request that RECURS is assumed to find its object
   cached there.  */
bool balance_meets_target (const struct balance_service_time *service_time,
                           bool recurs, apr_time_t rtt,
                           apr_time_t target_latency);
/* Adds a report of REQUESTS, running and waiting at an upstream that just
   responded, without the one that it responded to.  */
void balance_add_report (struct balance_reports *reports, int64_t requests,
                         apr_time_t now);
/* Returns the estimate of the mean number of requests at an upstream; 0
   without recent reports.  */
double balance_mean_requests (const struct balance_reports *reports,
                              apr_time_t now);
/* Returns how much the mean counts for upstreams of SERVICE, which may be
   NULL, that were not heard of lately, 0 to 1.  Among hundreds of entries, one
   hears of each upstream too seldom to know its load, but often enough of some
   to know the mean.  Where it hears of a twentieth of them within a second,
   the mean does not count: the others are then mostly those with few requests,
   and the thresholds of region_split.h and admit.h are for what an entry
   hears.  */
double balance_unheard_weight (const struct fleet_service *service,
                               apr_time_t now);
/* Returns whether no upstream of GROUP, which may be NULL, takes requests of
   this entry, since each that is eligible has turned it away or is avoided,
   as it can't be reached.  Adds those that have turned it away to COUNT, and
   lowers FIRST_RETURN (0: not known) to the time at which the first upstream
   is expected back.  */
bool balance_is_turned_away (const struct fleet_group *group, apr_time_t now,
                             size_t *count, apr_time_t *first_return);
/* Returns the slots of the eligible upstreams of GROUP, which may be NULL, and
   how many are in use.  An upstream that has turned this entry away has none,
   and one that is returning has one.  One that is cold has COLD_SLOTS at most:
   those that are used by what all entries together may send to it.  An
   upstream that was not heard of lately counts for UNHEARD_REQUESTS: the mean
   of the region's reports times the weight above.  Called several times per
   second for balance/region_split.h and balance/admit.h.  */
struct balance_region_load
balance_region_load (const struct fleet_group *group, double unheard_requests,
                     double cold_slots, apr_time_t now);

#endif
