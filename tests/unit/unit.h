/* Unit tests: one table of cases a module, run by CUnit.  */
#ifndef UNIT_H
#define UNIT_H

#include <CUnit/CUnit.h>
#include <apr_pools.h>

#define COUNT(table) (sizeof (table) / sizeof *(table))

/* Of the test in progress; cleared after each.  */
extern apr_pool_t *test_pool;

struct unit_test
{
  const char *name;
  void (*run) (void);
};

/* Each ends with a row of NULLs.  */
extern const struct unit_test base_tests[];
extern const struct unit_test resource_tests[];
extern const struct unit_test keeper_tests[];
extern const struct unit_test peer_tests[];
extern const struct unit_test share_tests[];
extern const struct unit_test member_tests[];
extern const struct unit_test steer_tests[];
extern const struct unit_test call_tests[];
extern const struct unit_test burn_tests[];
extern const struct unit_test plan_tests[];
extern const struct unit_test fleet_tests[];
extern const struct unit_test balance_tests[];
extern const struct unit_test rush_tests[];
extern const struct unit_test registry_tests[];
extern const struct unit_test platform_tests[];

#endif
