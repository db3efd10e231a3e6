#include "steer/budget.h"

/* Fraction of the slack that the entries' balances add up to.  The rest covers
   entries that do not know of each other yet.  */
static const double saved_fraction_of_slack = 0.36;

void
budget_init (struct budget *budget, double earned_per_call, double max_balance)
{
  budget->earned_per_call = earned_per_call;
  budget->max_balance = max_balance;
  budget->balance = max_balance;
}

void
budget_deposit (struct budget *budget)
{
  budget->balance += budget->earned_per_call;
  if (budget->balance > budget->max_balance)
    budget->balance = budget->max_balance;
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
  double max_balance
      = slack * saved_fraction_of_slack / (double)(entries > 0 ? entries : 1);
  return max_balance > 1.0 ? max_balance : 1.0;
}
