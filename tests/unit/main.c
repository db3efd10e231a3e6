#include "tests/unit/unit.h"

#include <apr_general.h>
#include <curl/curl.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

apr_pool_t *test_pool;

static const struct
{
  const char *name;
  const struct unit_test *tests;
} suites[] = { { "base", base_tests },
               { "resource", resource_tests },
               { "config", config_tests },
               { "peer", peer_tests },
               { "share", share_tests },
               { "member", member_tests },
               { "steer", steer_tests },
               { "call", call_tests },
               { "burn", burn_tests },
               { "plan", plan_tests },
               { "fleet", fleet_tests },
               { "doubt", doubt_tests },
               { "balance", balance_tests },
               { "platform", platform_tests },
               { "gateway-sim", gateway_sim_tests },
               { "registry", registry_tests },
               { "store-sync", store_sync_tests },
               { "quota", quota_tests } };

static void
set_up (void)
{
  apr_pool_create (&test_pool, NULL);
}

static void
tear_down (void)
{
  apr_pool_destroy (test_pool);
}

static void
on_test_done (const CU_pTest test, const CU_pSuite suite,
              const CU_pFailureRecord failure)
{
  for (CU_pFailureRecord f = failure; f; f = f->pNext)
    printf ("  %s:%u: %s\n", f->strFileName, f->uiLineNumber, f->strCondition);
  printf ("%s %s/%s\n", failure ? "FAIL" : "PASS", suite->pName, test->pName);
  fflush (stdout);
}

int
main (void)
{
  apr_initialize ();
  curl_global_init (CURL_GLOBAL_DEFAULT);
  if (sodium_init () < 0 || CU_initialize_registry () != CUE_SUCCESS)
    return EXIT_FAILURE;
  for (size_t s = 0; s < COUNT (suites); s++)
    {
      CU_pSuite suite = CU_add_suite_with_setup_and_teardown (
          suites[s].name, NULL, NULL, set_up, tear_down);
      for (const struct unit_test *t = suites[s].tests; t->name; t++)
        CU_add_test (suite, t->name, t->run);
    }
  CU_set_test_complete_handler (on_test_done);
  CU_run_all_tests ();
  int failed = (int)CU_get_number_of_failures ();
  CU_cleanup_registry ();
  curl_global_cleanup ();
  apr_terminate ();
  puts ("unit tests ended");
  return failed > 0;
}
