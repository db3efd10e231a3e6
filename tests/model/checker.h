/* A checker of small models of protocols: visits every state that can be
   reached, in the order of the number of steps, and ends at the first one that
   breaks a promise.

   A state is a block of bytes without padding, or with padding that is zero.
   A model's steps call the product's own functions where these decide without
   I/O.  Each model has variants: number 0 is the protocol as it is built, and
   keeps all promises; each other one lacks a rule and must break a promise, so
   that it is known that the model can tell.

   main.c checks the variants of all models.  Threads: one.  */
#ifndef MODEL_CHECKER_H
#define MODEL_CHECKER_H

#include <stdbool.h>
#include <stddef.h>

struct checker;

struct model_variant
{
  const char *name;
  const char *broken; /* the promise that breaks; NULL: none does */
};

struct model
{
  const char *name;
  const char *bounds;                   /* for the report */
  const struct model_variant *variants; /* ends with a name of NULL */
  size_t state_size;
  size_t max_states; /* the check fails beyond */
  /* Fills STATE, which is all zeros, with the first state.  */
  void (*start) (void *state);
  /* Calls checker_add for each state that can follow STATE.  */
  void (*add_next) (const void *state, int variant, struct checker *checker);
  /* Returns the promise that STATE breaks, or NULL.  */
  const char *(*find_broken) (const void *state, int variant);
};

struct check_result
{
  const char *broken; /* the promise, or NULL */
  bool is_complete;   /* every state was visited */
  size_t state_count;
  size_t depth;     /* steps to the last state */
  char steps[2048]; /* to the state that breaks the promise */
};

/* Adds NEXT, to which the step NAME leads from the state being visited.  NAME
   is a literal.  */
void checker_add (struct checker *checker, const char *name, const void *next);
/* Checks a variant of MODEL.  */
void checker_run (const struct model *model, int variant,
                  struct check_result *result);

extern const struct model adoption_model;
extern const struct model departure_model;
extern const struct model retry_budget_model;

#endif
