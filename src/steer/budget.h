/* A budget that bounds extra attempts (retries or hedges) to a fraction of the
   calls, whatever fails.

   Call order: budget_init once, budget_deposit for each call,
   budget_try_withdraw before each extra attempt, which is made only if that
   returns true.

     budget_init (&retries, 0.18, 10);
     budget_deposit (&retries);
     if (failed && budget_try_withdraw (&retries))
       retry ();

   Units: attempts.  Threads: one thread.  */
#ifndef STEER_BUDGET_H
#define STEER_BUDGET_H

#include <stdbool.h>
#include <stddef.h>

struct budget
{
  double earned_per_call; /* added for each call */
  double max_balance;     /* upper bound of the balance */
  double balance;
};

/* Sets what each call adds and the most that can be saved up, which is also
   the balance at the start.  */
void budget_init (struct budget *budget, double earned_per_call,
                  double max_balance);
/* Adds what one call earns, up to the maximum.  */
void budget_deposit (struct budget *budget);
/* Takes one attempt out of the balance.  Returns false and takes nothing if
   less than one is left.  */
bool budget_try_withdraw (struct budget *budget);

/* Returns the maximum balance for one of ENTRIES processes: an equal fraction
   of 36 % of SLACK, the extra attempts that all of them together may make at
   once.  The rest of SLACK covers entries that do not know of each other yet.
   The result is at least one attempt, since with less the process could make
   none.  */
double budget_max_balance (double slack, size_t entries);

#endif
