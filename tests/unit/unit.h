/* Unit tests, run by CUnit: a suite for each module.

   Each file defines a table of tests, which main.c adds as a suite.  A test is
   a function that runs through a table of cases.  The program prints a line
   "PASS suite/test" or "FAIL suite/test" for each test.  */
#ifndef UNIT_H
#define UNIT_H

#include <CUnit/CUnit.h>
#include <apr_pools.h>

#define COUNT(table) (sizeof (table) / sizeof *(table))

/* Memory of the running test, freed when the test ends.  */
extern apr_pool_t *test_pool;

struct unit_test
{
  const char *name; /* as printed */
  void (*run) (void);
};

/* The tables of tests; each ends with a row of NULLs.  */
extern const struct unit_test base_tests[];
extern const struct unit_test resource_tests[];
extern const struct unit_test config_tests[];
extern const struct unit_test peer_tests[];
extern const struct unit_test share_tests[];
extern const struct unit_test member_tests[];
extern const struct unit_test steer_tests[];
extern const struct unit_test call_tests[];
extern const struct unit_test burn_tests[];
extern const struct unit_test plan_tests[];
extern const struct unit_test fleet_tests[];
extern const struct unit_test doubt_tests[];
extern const struct unit_test balance_tests[];
extern const struct unit_test gateway_sim_tests[];
extern const struct unit_test registry_tests[];
extern const struct unit_test store_sync_tests[];
extern const struct unit_test platform_tests[];
extern const struct unit_test quota_tests[];

#endif
