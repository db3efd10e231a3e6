#include "steer/budget.h"

/* Fraction of the slack that the entries' balances add up to.  The rest covers
   entries that do not know of each other yet.  */
static const double saved_fraction_of_slack = 0.36;

void
budget_init (struct budget *budget, double earned_per_call, double max_balance)
{
  budget->earned = earned_per_call;
  budget->most = max_balance;
  budget->balance = max_balance;
}

void
budget_earn (struct budget *budget)
{
  budget->balance += budget->earned;
  if (budget->balance > budget->most)
    budget->balance = budget->most;
}

bool
budget_take (struct budget *budget)
{
  if (budget->balance < 1.0)
    return false;
  budget->balance -= 1.0;
  return true;
}

double
budget_saved (double slack, size_t entries)
{
  double max_balance
      = slack * saved_fraction_of_slack / (double)(entries > 0 ? entries : 1);
  return max_balance > 1.0 ? max_balance : 1.0;
}
