/* The retry budget of the entries, which share no message about it: what all
   of them send again stays within the allowed ratio of the requests plus the
   slack, in any window, through restarts and while entries don't know of each
   other yet.  Guards against balances that add up to more than the slack.  */
#include "steer/budget.h"
#include "tests/model/checker.h"

#include <stdlib.h>
#include <string.h>

enum
{
  ENTRIES = 3,
  WINDOW_REQUESTS = 3,
  WINDOW_RESTARTS = 2
};

enum variant
{
  AS_BUILT,
  STARTS_FULL,
  NOT_DIVIDED
};

static const double earned = 0.25;
/* The gateway earns 0.85 of the ratio.  */
static const double ratio = 0.25 / 0.85;
/* One and two entries may save up a whole number of attempts, so that all
   balances are multiples of what is earned, and the states few.  */
static const double slack = 5.5555555555555563;
/* The largest fraction of an attempt below one, in steps of what is earned. */
static const double max_fraction = 0.75;

struct entry
{
  struct budget budget;
  size_t known_entries; /* in its list of entries; 0: it doesn't run */
};

struct state
{
  struct entry entries[ENTRIES];
  /* Within the window, which may begin at any time.  */
  int window_began;
  int requests;
  int retries;
  int restarts;
};

static size_t
count_running (const struct state *state)
{
  size_t count = 0;
  for (int i = 0; i < ENTRIES; i++)
    count += state->entries[i].known_entries > 0;
  return count;
}

/* ENTRY reads the list of the COUNT entries.  */
static void
read_list (struct entry *entry, size_t count, int variant)
{
  entry->known_entries = count;
  entry->budget.max_balance
      = budget_max_balance (slack, variant == NOT_DIVIDED ? 1 : count);
}

static void
start (void *first)
{
  (void)first;
}

/* An entry starts: its key is in the list before it reads that, and it has
   nothing saved up.  */
static void
start_entry (struct state *state, int i, int variant)
{
  struct entry *entry = &state->entries[i];
  memset (entry, 0, sizeof *entry);
  entry->known_entries = 1;
  read_list (entry, count_running (state), variant);
  budget_init (&entry->budget, earned, entry->budget.max_balance,
               variant == STARTS_FULL ? 2.0 : 0, max_fraction);
}

static int
compare_entries (const void *a, const void *b)
{
  return memcmp (a, b, sizeof (struct entry));
}

/* Adds NEXT with its entries sorted, since the promise doesn't tell them
   apart.  */
static void
add_sorted (struct checker *checker, const char *step,
            const struct state *next)
{
  struct state sorted = *next;
  qsort (sorted.entries, ENTRIES, sizeof *sorted.entries, compare_entries);
  checker_add (checker, step, &sorted);
}

static void
add_entry_steps (const struct state *state, int i, int variant,
                 struct checker *checker)
{
  struct state next = *state;
  struct entry *entry = &next.entries[i];
  bool is_bounded = state->window_began && state->restarts == WINDOW_RESTARTS;
  if (entry->known_entries == 0)
    {
      start_entry (&next, i, variant);
      add_sorted (checker, "an entry starts", &next);
      return;
    }
  if (entry->known_entries != count_running (state))
    {
      read_list (entry, count_running (state), variant);
      add_sorted (checker, "an entry reads the list of entries", &next);
      next = *state;
    }
  if (!state->window_began || state->requests < WINDOW_REQUESTS)
    {
      next.requests += state->window_began;
      budget_deposit (&entry->budget);
      add_sorted (checker, "a request", &next);
      next = *state;
    }
  if (budget_try_withdraw (&entry->budget))
    {
      next.retries += state->window_began;
      add_sorted (checker, "a retry", &next);
    }
  next = *state;
  if (!is_bounded)
    {
      next.restarts += state->window_began;
      memset (entry, 0, sizeof *entry);
      add_sorted (checker, "an entry ends", &next);
    }
}

static void
add_next (const void *from, int variant, struct checker *checker)
{
  const struct state *state = from;
  for (int i = 0; i < ENTRIES; i++)
    add_entry_steps (state, i, variant, checker);
  if (!state->window_began)
    {
      struct state next = *state;
      next.window_began = 1;
      add_sorted (checker, "the window begins", &next);
    }
}

static const char *
find_broken (const void *at, int variant)
{
  (void)variant;
  const struct state *state = at;
  return state->retries > ratio * state->requests + slack
             ? "retries stay within the ratio and the slack"
             : NULL;
}

static const struct model_variant variants[]
    = { { "as built", NULL },
        { "a balance starts full",
          "retries stay within the ratio and the slack" },
        { "the slack is not divided",
          "retries stay within the ratio and the slack" },
        { NULL, NULL } };

const struct model retry_budget_model
    = { .name = "retry-budget",
        .bounds = "3 entries; in a window that begins at any time 3 requests "
                  "and 2 restarts",
        .variants = variants,
        .state_size = sizeof (struct state),
        .max_states = 3000000,
        .start = start,
        .add_next = add_next,
        .find_broken = find_broken };
