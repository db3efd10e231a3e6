#include "tests/model/checker.h"

#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

/* How a state was reached.  */
struct arrival
{
  size_t previous; /* number of the state before */
  const char *step;
  size_t depth;
};

struct checker
{
  const struct model *model;
  size_t visiting; /* number of the state being visited */
  size_t count;
  size_t capacity;
  unsigned char *states; /* in the order in which they were reached */
  struct arrival *arrivals;
  size_t *slots; /* hash set: number of a state plus one, 0: free */
  size_t slot_count;
};

enum
{
  INITIAL_CAPACITY = 1024,
  SLOTS_PER_STATE = 2
};

static void *
resize (void *block, size_t size)
{
  void *resized = realloc (block, size);
  if (!resized)
    abort ();
  return resized;
}

static unsigned char *
state_at (const struct checker *checker, size_t number)
{
  return checker->states + number * checker->model->state_size;
}

/* Returns the slot of STATE, or the free one in which it belongs.  */
static size_t *
find_slot (const struct checker *checker, const void *state)
{
  size_t size = checker->model->state_size;
  size_t position = XXH64 (state, size, 0) % checker->slot_count;
  while (
      checker->slots[position]
      && memcmp (state_at (checker, checker->slots[position] - 1), state, size)
             != 0)
    position = (position + 1) % checker->slot_count;
  return &checker->slots[position];
}

static void
grow (struct checker *checker)
{
  checker->capacity
      = checker->capacity ? 2 * checker->capacity : INITIAL_CAPACITY;
  checker->states = resize (checker->states,
                            checker->capacity * checker->model->state_size);
  checker->arrivals = resize (checker->arrivals,
                              checker->capacity * sizeof *checker->arrivals);
  checker->slot_count = SLOTS_PER_STATE * checker->capacity;
  free (checker->slots);
  checker->slots = calloc (checker->slot_count, sizeof *checker->slots);
  if (!checker->slots)
    abort ();
  for (size_t i = 0; i < checker->count; i++)
    *find_slot (checker, state_at (checker, i)) = i + 1;
}

/* Writes the steps to the state NUMBER, the first one first.  */
static void
write_steps (const struct checker *checker, size_t number, char *out,
             size_t size)
{
  size_t depth = checker->arrivals[number].depth;
  const char **steps = calloc (depth + 1, sizeof *steps);
  size_t used = 0;
  if (!steps)
    abort ();
  for (size_t i = depth; i > 0; i--)
    {
      steps[i - 1] = checker->arrivals[number].step;
      number = checker->arrivals[number].previous;
    }
  for (size_t i = 0; i < depth && used < size; i++)
    used += (size_t)snprintf (out + used, size - used, "%s%s",
                              i > 0 ? "; " : "", steps[i]);
  free (steps);
}

void
checker_add (struct checker *checker, const char *name, const void *next)
{
  if (*find_slot (checker, next))
    return;
  if (checker->count == checker->capacity)
    grow (checker);
  size_t depth
      = checker->count ? checker->arrivals[checker->visiting].depth + 1 : 0;
  memcpy (state_at (checker, checker->count), next,
          checker->model->state_size);
  checker->arrivals[checker->count]
      = (struct arrival){ checker->visiting, name, depth };
  *find_slot (checker, next) = ++checker->count;
}

void
checker_run (const struct model *model, int variant,
             struct check_result *result)
{
  struct checker checker = { .model = model };
  unsigned char *state = calloc (1, model->state_size);
  if (!state)
    abort ();
  memset (result, 0, sizeof *result);
  grow (&checker);
  model->start (state);
  checker_add (&checker, "start", state);
  size_t i = 0;
  for (; i < checker.count && i < model->max_states; i++)
    {
      /* The array may move while states are added.  */
      memcpy (state, state_at (&checker, i), model->state_size);
      result->depth = checker.arrivals[i].depth;
      result->broken = model->find_broken (state, variant);
      if (result->broken)
        {
          write_steps (&checker, i, result->steps, sizeof result->steps);
          break;
        }
      checker.visiting = i;
      model->add_next (state, variant, &checker);
    }
  result->is_complete = i == checker.count;
  result->state_count = checker.count;
  free (state);
  free (checker.states);
  free (checker.arrivals);
  free (checker.slots);
}
