#include "steer/budget.h"

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
