#include "steer/budget.h"

#include <math.h>

/* Fraction of the slack that the entries' balances add up to.  The rest covers
   entries that do not know of each other yet.  */
static const double saved_fraction_of_slack = 0.36;

/* private functions */

/* Keeps at most the maximum, and the fraction of an attempt of what is given
   up.  */
static void
limit_balance (struct budget *budget)
{
  double excess = budget->balance - budget->max_balance;
  if (excess <= 0)
    return;
  budget->balance = budget->max_balance;
  budget->given_up += excess;
  budget->given_up -= floor (budget->given_up);
}

/* Keeps the balance in a range of one attempt, over which the balances of many
   processes are spread evenly: the part of the range that is above one attempt
   is the maximum.  To it comes what the call at hand earned, without which a
   maximum of zero would allow no attempt.  A fraction that was given up is
   restored by rounding down, which saves up nothing.  */
static void
wrap_balance (struct budget *budget)
{
  double limit
      = 1.0 + fmin (budget->max_balance + budget->earned_per_call, 1.0);
  if (budget->given_up > 0)
    budget->balance += budget->given_up - 1.0;
  budget->given_up = 0;
  if (budget->balance >= limit)
    budget->balance -= floor (budget->balance - limit) + 1.0;
}

/* public functions */

void
budget_init (struct budget *budget, double earned_per_call, double max_balance,
             double balance, double fraction)
{
  budget->earned_per_call = earned_per_call;
  budget->max_balance = max_balance;
  budget->balance = balance;
  budget->given_up = fraction;
}

void
budget_deposit (struct budget *budget)
{
  budget->balance += budget->earned_per_call;
  if (budget->max_balance < 1.0)
    wrap_balance (budget);
  else
    limit_balance (budget);
}

bool
budget_try_withdraw (struct budget *budget)
{
  if (budget->balance < 1.0)
    return false;
  budget->balance -= 1.0;
  return true;
}

double
budget_max_balance (double slack, size_t entries)
{
  return slack * saved_fraction_of_slack / (double)(entries > 0 ? entries : 1);
}
