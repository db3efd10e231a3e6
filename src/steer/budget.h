/* A budget that bounds extra attempts (retries or hedges) to a fraction of the
   calls, whatever fails.

   Many processes that share no message can share the attempts that may be
   saved up (budget_max_balance).  If that is less than one for each, only so
   many of them have one saved up at any time: a process that does not use its
   attempt gives it up, and goes on from the rest, so balances that differ by
   random fractions of an attempt stay spread evenly.

   Call order: budget_init once, budget_deposit for each call,
   budget_try_withdraw before each extra attempt, which is made only if that
   returns true.

     budget_init (&retries, 0.18, 10, 10, 0);
     budget_deposit (&retries);
     if (failed && budget_try_withdraw (&retries))
       retry ();

   One of many processes:

     budget_init (&retries, 0.17, budget_max_balance (64, 300), 0,
                  random_fraction ());

   Units: attempts.  Threads: one thread.  */
#ifndef STEER_BUDGET_H
#define STEER_BUDGET_H

#include <stdbool.h>
#include <stddef.h>

struct budget
{
  double earned_per_call; /* added for each call */
  double max_balance;     /* the most that is saved up; below one: on average
                             over many processes */
  double balance;         /* below zero only if the maximum is below one */
  double given_up;        /* fraction of an attempt */
};

/* Sets what each call adds, the most that can be saved up, the balance at the
   start, and by which FRACTION of an attempt it differs from the balances of
   other processes while the maximum is below one.  */
void budget_init (struct budget *budget, double earned_per_call,
                  double max_balance, double balance, double fraction);
/* Adds what one call earns, and gives up what exceeds the maximum.  */
void budget_deposit (struct budget *budget);
/* Takes one attempt out of the balance.  Returns false and takes nothing if
   less than one is left.  */
bool budget_try_withdraw (struct budget *budget);

/* Returns the maximum balance for one of ENTRIES processes: an equal fraction
   of 36 % of SLACK, the extra attempts that all of them together may make at
   once.  The rest of SLACK covers entries that do not know of each other yet.
   */
double budget_max_balance (double slack, size_t entries);

#endif
