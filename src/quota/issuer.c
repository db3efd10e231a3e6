#include "quota/internal.h"

#include "base/random.h"

#include <math.h>

/* constants */

/* Parts of the unused tokens, of which there are at most the burst and
   `margin_fraction' of the margin.  Without any at the leaves, whose number is
   larger than their part, the hubs have that part too.  */
static const double margin_fraction = 0.7;
static const double leaf_fraction = 0.3;
static const double hub_fraction = 0.3;
static const double root_fraction = 0.4;
/* Of the margin, what an entry that begins to issue has at once.  The previous
   one may have had its bucket full just before.  */
static const double initial_fraction = 0.1;
/* Fraction of the bucket that is left for needs.  */
static const double kept_for_needs = 0.5;
/* For which a want that was not met counts in the hints.  */
static const double unmet_decay_us = 250000.0;

enum
{
  /* Between two refills a bucket earns this long at most: what a paused
     process held then is not known.  */
  REFILL_MAX_MS = 200
};

/* private functions */

/* Returns what the window allows beyond rate and burst.  */
static double
margin (const struct quota *quota, const struct quota_tenant *tenant)
{
  double window = (double)quota->desc.window / APR_USEC_PER_SEC;
  return quota->desc.overage * (tenant->rate * window + tenant->burst)
         + quota->desc.slack;
}

/* Returns the most tokens that are unused anywhere.  */
static double
standing_max (const struct quota *quota, const struct quota_tenant *tenant)
{
  return tenant->burst + margin_fraction * margin (quota, tenant);
}

/* Returns which part SHARE is of all base shares.  */
static double
part_of_all (const struct quota *quota, int64_t share)
{
  double part = (double)share / QUOTA_SHARE / (double)quota->entries;
  return part < 1.0 ? part : 1.0;
}

/* Returns a pseudo-random number from 0 to below 1.  */
static double
random_fraction (struct quota *quota)
{
  return (double)(random_next (&quota->random) >> 11) / (double)(1ULL << 53);
}

/* public functions */

int64_t
issuer_standing_max (const struct quota *quota,
                     const struct quota_tenant *tenant)
{
  return (int64_t)standing_max (quota, tenant) + 1;
}

int64_t
issuer_leaf_max (const struct quota *quota, const struct quota_tenant *tenant)
{
  return (int64_t)(leaf_fraction * standing_max (quota, tenant)
                   / (double)quota->entries);
}

int64_t
issuer_hub_max (const struct quota *quota, const struct quota_tenant *tenant)
{
  double fraction = hub_fraction;
  if (issuer_leaf_max (quota, tenant) == 0)
    fraction += leaf_fraction;
  return (int64_t)(fraction * standing_max (quota, tenant)
                   / (double)(quota->hub_count > 0 ? quota->hub_count : 1));
}

void
issuer_refill (struct quota *quota, const struct quota_tenant *tenant,
               struct issuer *issuer, int64_t share, apr_time_t now)
{
  double part = part_of_all (quota, share);
  double max = root_fraction * standing_max (quota, tenant) * part;
  if (issuer->at == 0)
    {
      bool was_issuing
          = issuer->ended > 0 && now - issuer->ended < quota->desc.window;
      *issuer = (struct issuer){
        .tokens
        = was_issuing ? 0 : initial_fraction * margin (quota, tenant) * part,
        .at = now
      };
      return;
    }
  apr_time_t elapsed = now - issuer->at;
  if (elapsed <= 0)
    return;
  issuer->unmet *= exp (-(double)elapsed / unmet_decay_us);
  issuer->at = now;
  if (elapsed > REFILL_MAX_MS * (APR_USEC_PER_SEC / 1000))
    elapsed = REFILL_MAX_MS * (APR_USEC_PER_SEC / 1000);
  issuer->tokens += tenant->rate * part * (double)elapsed / APR_USEC_PER_SEC;
  /* Of less than one token none would ever be granted: they stand for the
     probability of one, see issuer_grant.  */
  if (issuer->tokens > max)
    issuer->tokens = max;
}

void
issuer_end (struct issuer *issuer, apr_time_t now)
{
  if (issuer->at > 0)
    *issuer = (struct issuer){ .ended = now };
}

int64_t
issuer_grant (struct quota *quota, const struct quota_tenant *tenant,
              struct issuer *issuer, int64_t share, int64_t need, int64_t more,
              apr_time_t now, int64_t *hint_ms)
{
  double part = part_of_all (quota, share);
  double max = root_fraction * standing_max (quota, tenant) * part;
  double rate = tenant->rate * part;
  issuer_refill (quota, tenant, issuer, share, now);
  int64_t granted
      = (int64_t)issuer->tokens < need ? (int64_t)issuer->tokens : need;
  if (granted < 0)
    granted = 0;
  if (granted == 0 && need > 0 && max < 1.0 && issuer->tokens > 0)
    {
      /* Many entries on their own, each with less than a token: each grants
         one with that probability, and loses the fraction either way.  */
      granted = random_fraction (quota) < issuer->tokens;
      issuer->tokens = granted > 0 ? 1.0 : 0.0;
    }
  issuer->tokens -= (double)granted;
  if (granted < need)
    {
      issuer->unmet += (double)(need - granted);
      double wait = rate > 0 ? (issuer->unmet - issuer->tokens) / rate * 1000
                             : QUOTA_MAX_HINT_MS;
      *hint_ms = wait < QUOTA_MIN_HINT_MS   ? QUOTA_MIN_HINT_MS
                 : wait < QUOTA_MAX_HINT_MS ? (int64_t)wait
                                            : QUOTA_MAX_HINT_MS;
      return granted;
    }
  double spare = issuer->tokens - kept_for_needs * max;
  int64_t extra = spare < 0 ? 0 : spare < (double)more ? (int64_t)spare : more;
  issuer->tokens -= (double)extra;
  return granted + extra;
}
