#include "balance/region_split.h"

#include "base/random.h"

#include <math.h>
#include <string.h>

/* constants */

/* A region counts as full while fewer than this many times the square root of
   its slots are free (square-root staffing): with as many free, nearly every
   request finds an upstream with a free slot.  */
static const double headroom_factor = 3.2;
/* No region counts as full below this utilization, however few slots it has.
 */
static const double min_full_utilization = 0.5;
/* Between two regions whose utilization differs by less no requests move.  */
static const double min_difference = 0.1;
/* Above this utilization of the other region, the difference that is required
   to move requests there grows by the slope times the excess.  */
static const double busy_utilization = 0.45;
static const double difference_slope = 0.6;
/* Requests return to the own region below this utilization of it.  A region
   that its own callers fill at the peak of a demand wave of 55 % has twice
   this utilization at the trough; half of that, since demand swings faster
   than requests may move.  */
static const double return_below = 0.15;
/* A region above this utilization takes no single requests of others.  */
static const double max_overflow_utilization = 0.65;
/* Requests do not return from a region that gets this fraction or less, since
   their responses report its load.  */
static const double min_moved_fraction = 0.02;
/* Longest time between two updates for which fractions move.  */
static const apr_time_t max_update_gap = APR_USEC_PER_SEC / 2;
/* Requests that may be saved up to overflow, and for how long.  */
static const double max_overflow_balance = 2.0;
static const apr_time_t overflow_expiry = 2 * APR_USEC_PER_SEC;

/* private functions */

/* Returns the fraction of the slots that is in use, and 2 for a region without
   slots, which thus counts as the most utilized.  */
static double
utilization (const struct balance_region_load *region_load)
{
  return region_load->slots > 0 ? region_load->busy / region_load->slots : 2.0;
}

/* Sets the first fractions as if the demand were equal in all regions: a
   region keeps the requests for which it has slots, and the rest goes to the
   regions with slots to spare, in proportion to these.  */
static void
divide_by_slots (struct region_split *split,
                 const struct balance_region_load *region_loads)
{
  double total = 0.0;
  double spare = 0.0;
  for (size_t i = 0; i < split->region_count; i++)
    total += region_loads[i].slots;
  double fair = total / (double)split->region_count;
  memset (split->fractions, 0, sizeof split->fractions);
  if (total <= 0)
    {
      split->fractions[split->own_region] = 1.0;
      return;
    }
  double own = region_loads[split->own_region].slots / fair;
  split->fractions[split->own_region] = own < 1.0 ? own : 1.0;
  for (size_t i = 0; i < split->region_count; i++)
    if (i != split->own_region && region_loads[i].slots > fair)
      spare += region_loads[i].slots - fair;
  for (size_t i = 0; i < split->region_count && own < 1.0; i++)
    if (i != split->own_region && region_loads[i].slots > fair && spare > 0)
      split->fractions[i]
          = (1.0 - own) * (region_loads[i].slots - fair) / spare;
}

/* Returns the least utilized of the other regions that have slots, or
   REGION_SPLIT_MAX_REGIONS.  */
static size_t
find_least_utilized (const struct region_split *split,
                     const struct balance_region_load *region_loads)
{
  size_t best = REGION_SPLIT_MAX_REGIONS;
  for (size_t i = 0; i < split->region_count; i++)
    if (i != split->own_region && region_loads[i].slots > 0
        && (best == REGION_SPLIT_MAX_REGIONS
            || utilization (&region_loads[i])
                   < utilization (&region_loads[best])))
      best = i;
  return best;
}

/* Returns the most utilized of the other regions from which requests may
   return, or REGION_SPLIT_MAX_REGIONS.  */
static size_t
find_most_utilized_remote (const struct region_split *split,
                           const struct balance_region_load *region_loads)
{
  size_t best = REGION_SPLIT_MAX_REGIONS;
  for (size_t i = 0; i < split->region_count; i++)
    if (i != split->own_region && split->fractions[i] > min_moved_fraction
        && (best == REGION_SPLIT_MAX_REGIONS
            || utilization (&region_loads[i])
                   > utilization (&region_loads[best])))
      best = i;
  return best;
}

/* Returns the utilization from which the region counts as full, because some
   of its upstreams have no free slot at times.  By the square-root rule it is
   lower the fewer slots there are.  */
static double
full_utilization (const struct balance_region_load *region_load)
{
  double full = region_load->slots > 0
                    ? 1.0 - headroom_factor / sqrt (region_load->slots)
                    : min_full_utilization;
  return full > min_full_utilization ? full : min_full_utilization;
}

/* Returns by how much the utilization of the own region must exceed that of
   the other one before requests move there.  It grows with the other one's
   utilization: then its slots are worth more to its own callers, for whom the
   round trip is shorter.  */
static double
required_difference (const struct balance_region_load *region_load)
{
  double over = utilization (region_load) - busy_utilization;
  return min_difference + (over > 0 ? over * difference_slope : 0.0);
}

/* Moves FRACTION of the requests, or all that there are, FROM one region TO
   another.  */
static void
move_fraction (struct region_split *split, size_t from, size_t to,
               double fraction)
{
  if (fraction > split->fractions[from])
    fraction = split->fractions[from];
  split->fractions[from] -= fraction;
  split->fractions[to] += fraction;
}

/* Sets the balance to a random fraction of a request, so that of the first
   requests of many entries as many may overflow as they earn.  */
static void
restart_balance (struct region_overflow *overflow)
{
  overflow->balance
      = (double)(random_next (&overflow->random) >> 11) / (double)(1ULL << 53);
  overflow->full_at = 0;
}

/* Drops what was saved up too long ago, by a demand that may be gone.  */
static void
expire_balance (struct region_overflow *overflow, apr_time_t now)
{
  if (overflow->full_at != 0 && now - overflow->full_at > overflow_expiry)
    restart_balance (overflow);
}

/* public functions */

void
region_split_init (struct region_split *split, size_t region_count,
                   size_t own_region, double max_shift_per_s)
{
  memset (split, 0, sizeof *split);
  split->region_count = region_count < REGION_SPLIT_MAX_REGIONS
                            ? region_count
                            : REGION_SPLIT_MAX_REGIONS;
  split->own_region = own_region;
  split->max_shift_per_s = max_shift_per_s;
}

void
region_split_update (struct region_split *split,
                     const struct balance_region_load *region_loads,
                     apr_time_t now)
{
  if (split->updated_at == 0)
    {
      divide_by_slots (split, region_loads);
      split->updated_at = now;
      return;
    }
  apr_time_t elapsed = now - split->updated_at;
  double max_shift
      = split->max_shift_per_s
        * (double)(elapsed < max_update_gap ? elapsed : max_update_gap)
        / APR_USEC_PER_SEC;
  split->updated_at = now;
  double own = utilization (&region_loads[split->own_region]);
  double full_from = full_utilization (&region_loads[split->own_region]);
  size_t target = find_least_utilized (split, region_loads);
  size_t remote = find_most_utilized_remote (split, region_loads);
  if (target < split->region_count && own > full_from
      && own > utilization (&region_loads[target])
                   + required_difference (&region_loads[target]))
    move_fraction (split, split->own_region, target, max_shift);
  else if (remote < split->region_count
           && (own < return_below
               || utilization (&region_loads[remote]) > own + min_difference))
    move_fraction (split, remote, split->own_region, max_shift);
}

size_t
region_split_pick (const struct region_split *split, uint64_t object,
                   const bool *allowed)
{
  double total = 0.0;
  size_t fallback = REGION_SPLIT_MAX_REGIONS;
  for (size_t i = 0; i < split->region_count; i++)
    if (allowed[i])
      {
        total += split->fractions[i];
        if (fallback == REGION_SPLIT_MAX_REGIONS || i == split->own_region)
          fallback = i;
      }
  /* The own region comes first, so that the objects that it serves stay there
     when fractions move.  */
  double point = (double)(object >> 11) / (double)(1ULL << 53) * total;
  if (allowed[split->own_region])
    {
      if (point < split->fractions[split->own_region] || total <= 0)
        return split->own_region;
      point -= split->fractions[split->own_region];
    }
  for (size_t i = 0; i < split->region_count; i++)
    {
      if (!allowed[i] || i == split->own_region)
        continue;
      if (point < split->fractions[i])
        return i;
      point -= split->fractions[i];
    }
  return fallback;
}

size_t
region_split_find_overflow (const struct region_split *split,
                            const struct balance_region_load *region_loads,
                            size_t excluded, const bool *allowed)
{
  size_t best = REGION_SPLIT_MAX_REGIONS;
  for (size_t i = 0; i < split->region_count; i++)
    if (allowed[i] && i != excluded
        && utilization (&region_loads[i]) < max_overflow_utilization
        && (best == REGION_SPLIT_MAX_REGIONS
            || utilization (&region_loads[i])
                   < utilization (&region_loads[best])))
      best = i;
  return best;
}

void
region_overflow_init (struct region_overflow *overflow, double fraction,
                      uint64_t seed)
{
  *overflow = (struct region_overflow){
    .earned_per_request = fraction,
    .random = seed ? seed : RANDOM_DEFAULT_SEED,
  };
  restart_balance (overflow);
}

void
region_overflow_deposit (struct region_overflow *overflow, apr_time_t now)
{
  expire_balance (overflow, now);
  overflow->balance += overflow->earned_per_request;
  if (overflow->balance > max_overflow_balance)
    overflow->balance = max_overflow_balance;
  if (overflow->balance >= 1.0 && overflow->full_at == 0)
    overflow->full_at = now;
}

bool
region_overflow_may_withdraw (struct region_overflow *overflow, apr_time_t now)
{
  expire_balance (overflow, now);
  return overflow->balance >= 1.0;
}

bool
region_overflow_try_withdraw (struct region_overflow *overflow, apr_time_t now)
{
  if (!region_overflow_may_withdraw (overflow, now))
    return false;
  overflow->balance -= 1.0;
  overflow->full_at = overflow->balance >= 1.0 ? now : 0;
  return true;
}
