/* Checks each variant of each model and prints one line "PASS model/NAME" or
   "FAIL model/NAME" for it, after what was seen.  Fails if any failed.  */
#include "base/timer.h"
#include "tests/model/checker.h"

#include <apr_general.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static const struct model *const models[]
    = { &adoption_model, &departure_model, &retry_budget_model };

/* Checks a variant and returns whether it went as expected.  */
static bool
check (const struct model *model, int number)
{
  static struct check_result result;
  const struct model_variant *variant = &model->variants[number];
  apr_time_t began = timer_clock ();
  checker_run (model, number, &result);
  double seconds = (double)(timer_clock () - began) / APR_USEC_PER_SEC;
  bool is_expected
      = variant->broken
            ? result.broken && strcmp (result.broken, variant->broken) == 0
            : !result.broken && result.is_complete;
  printf ("# %s, %s: %zu states, %zu steps, %.1f s; %s\n", model->name,
          variant->name, result.state_count, result.depth, seconds,
          result.broken        ? result.broken
          : result.is_complete ? "all promises kept"
                               : "not complete");
  if (result.broken && !is_expected)
    printf ("  after: %s\n", result.steps);
  printf ("%s model/%s, %s\n", is_expected ? "PASS" : "FAIL", model->name,
          variant->name);
  return is_expected;
}

int
main (void)
{
  bool is_expected = true;
  apr_initialize ();
  for (size_t m = 0; m < sizeof models / sizeof *models; m++)
    {
      printf ("# %s: %s\n", models[m]->name, models[m]->bounds);
      for (int v = 0; models[m]->variants[v].name; v++)
        is_expected &= check (models[m], v);
    }
  printf ("models ended\n");
  return is_expected ? EXIT_SUCCESS : EXIT_FAILURE;
}
