/* Division of a service's requests over the regions.

   Demand peaks at different times in different regions, and regions differ in
   slots.  Each entry keeps, for each service, the fractions of its own
   requests that it sends to each region.  It starts from the slots of the
   regions, moves a fraction away while the own region's upstreams are full,
   and moves it back when few slots of the own region are in use or the other
   one is clearly busier.  Fractions move at a limited rate, so that no region
   sees a sudden rise of requests.  While they stand still, all requests for an
   object go to the same region, which keeps it cached there.

     region_split_init (&split, region_count, own_region, max_shift_per_s);

   and then, several times per second and for each request:

     region_split_update (&split, region_loads, now);
     region = region_split_pick (&split, object_hash, allowed);

   A request that its region cannot answer in time may go to the region that
   region_split_find_overflow returns, within the budget of region_overflow:

     region_overflow_init (&overflow, 0.04, seed);
     region_overflow_deposit (&overflow, now);   for each request
     if (region_overflow_try_withdraw (&overflow, now))
       send it to the other region;

   Of any requests, however few and over however many entries, that budget lets
   the same fraction go: it is earned by requests, starts at a random fraction
   of one request, and what is saved up is lost after two seconds.

   Regions are numbered from 0; all arrays are indexed by region.  Units:
   shares of requests are fractions, 0 to 1.  Threads: one thread.  */
#ifndef BALANCE_REGION_SPLIT_H
#define BALANCE_REGION_SPLIT_H

#include "balance/balance.h"

enum
{
  REGION_SPLIT_MAX_REGIONS = 64 /* as a result it stands for no region */
};

struct region_split
{
  size_t region_count;
  size_t own_region; /* of this entry */
  /* Of the requests, by region; they add up to 1 after the first update.  */
  double fractions[REGION_SPLIT_MAX_REGIONS];
  double max_shift_per_s;
  apr_time_t updated_at; /* 0: never */
};

struct region_overflow
{
  double earned_per_request;
  double balance;     /* requests */
  apr_time_t full_at; /* when the balance reached one request; 0: it has not */
  uint64_t random;    /* state of the generator */
};

/* MAX_SHIFT_PER_S: largest fraction of the requests that moves to another
   region in a second.  Must be updated before the first request.  */
void region_split_init (struct region_split *split, size_t region_count,
                        size_t own_region, double max_shift_per_s);
/* Sets the fractions by the slots of REGION_LOADS the first time.  Later calls
   move requests between the own region and one other, at most as many as the
   time since the last call allows, of which half a second counts: after a
   pause there is no step.  */
void region_split_update (struct region_split *split,
                          const struct balance_region_load *region_loads,
                          apr_time_t now);
/* Returns the region for requests of OBJECT, a hash or a random number, among
   those that ALLOWED marks.  Returns REGION_SPLIT_MAX_REGIONS if it marks
   none.  */
size_t region_split_pick (const struct region_split *split, uint64_t object,
                          const bool *allowed);
/* Returns the least utilized of the regions that ALLOWED marks, other than
   EXCLUDED, for a single request.  Returns REGION_SPLIT_MAX_REGIONS if all of
   them have 0.65 of their slots in use or more, too many to take requests of
   other regions.  */
size_t
region_split_find_overflow (const struct region_split *split,
                            const struct balance_region_load *region_loads,
                            size_t excluded, const bool *allowed);

/* FRACTION: of the requests that may overflow.  SEED: differs from entry to
   entry.  */
void region_overflow_init (struct region_overflow *overflow, double fraction,
                           uint64_t seed);
/* Adds what one request earns.  */
void region_overflow_deposit (struct region_overflow *overflow,
                              apr_time_t now);
/* Returns whether a request may overflow now.  */
bool region_overflow_may_withdraw (struct region_overflow *overflow,
                                   apr_time_t now);
/* Takes one request out of the balance.  Returns false and takes nothing if
   less than one is left.  */
bool region_overflow_try_withdraw (struct region_overflow *overflow,
                                   apr_time_t now);

#endif
