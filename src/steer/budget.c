#include "steer/budget.h"

/* Part of the slack that is saved up by all together; the rest covers entries
   that do not yet know of each other.  */
static const double saved_fraction_of_slack = 0.36;

void
budget_init (struct budget *budget, double earned, double most)
{
  budget->earned = earned;
  budget->most = most;
  budget->balance = most;
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
  double part = slack * saved_fraction_of_slack / (double)(entries > 0 ? entries : 1);
  return part > 1.0 ? part : 1.0;
}
