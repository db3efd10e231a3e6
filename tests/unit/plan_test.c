/* The plan: look-up of routes, weighted services, and invalid routes.  Guards
   against requests that follow the wrong route or weight, and routes that no
   request can follow.  */
#include "plan/plan.h"
#include "tests/unit/unit.h"

#include <math.h>
#include <stdio.h>
#include <string.h>

static struct plan_route
make_route (const char *host, const char *prefix,
            struct plan_weighted_service *services, size_t count)
{
  return (struct plan_route){ .name = str_from (prefix),
                              .host = str_from (host),
                              .prefix = str_from (prefix),
                              .kind = PLAN_SAFE,
                              .max_attempts = 1,
                              .weighted_services = services,
                              .weighted_service_count = count };
}

/* The route with the longest prefix of the path is found, among those of the
   request's host, in any case.  A prefix ends at a slash.  */
static void
test_find_route (void)
{
  static const struct
  {
    const char *host;
    const char *path;
    const char *prefix; /* NULL: no route */
  } cases[] = {
    { "shop.example", "/cart/3", "/cart/" },
    { "SHOP.example", "/cart/3", "/cart/" },
    { "shop.example", "/cart/gift/3", "/cart/gift/" },
    { "shop.example", "/cart/gift/", "/cart/gift/" },
    { "shop.example", "/cart/gifts", "/cart/" },
    { "shop.example", "/cart", "/" },
    { "shop.example", "/", "/" },
    { "other.example", "/cart/3", NULL },
    { "", "/cart/3", NULL },
    { "shop.example", "", NULL },
  };
  struct plan_weighted_service service = { { "desk", 4 }, 1, false, 0 };
  struct err err;
  struct plan *plan = plan_create (3);
  plan_add_service (plan, STR ("desk"));
  static const char *const prefixes[] = { "/", "/cart/", "/cart/gift/" };
  for (size_t i = 0; i < COUNT (prefixes); i++)
    {
      struct plan_route route
          = make_route ("shop.example", prefixes[i], &service, 1);
      plan_add_route (plan, &route);
    }
  CU_ASSERT_EQUAL_FATAL (plan_finish (plan, &err), ERR_NONE);
  for (size_t i = 0; i < COUNT (cases); i++)
    {
      const struct plan_route *found = plan_find_route (
          plan, str_from (cases[i].host), str_from (cases[i].path));
      const char *prefix = found ? found->prefix.data : NULL;
      CU_ASSERT_EQUAL (prefix == NULL, cases[i].prefix == NULL);
      if (prefix && cases[i].prefix)
        CU_ASSERT_STRING_EQUAL (prefix, cases[i].prefix);
    }
  plan_unref (plan);
}

/* After any number of requests each weighted service has got its fraction of
   them, but for one request.  */
static void
test_weights (void)
{
  struct plan_weighted_service services[] = { { { "a", 1 }, 90, false, 0 },
                                              { { "b", 1 }, 10, false, 0 },
                                              { { "c", 1 }, 0, false, 0 } };
  struct plan_route route = make_route ("h", "/", services, COUNT (services));
  int counts[COUNT (services)] = { 0 };
  for (int i = 0; i < 1000; i++)
    {
      counts[plan_next_weighted_service (&route) - services]++;
      /* After every request, not only on average.  */
      CU_ASSERT (counts[1] >= i / 10 - 1 && counts[1] <= i / 10 + 1);
    }
  CU_ASSERT_EQUAL (counts[0], 900);
  CU_ASSERT_EQUAL (counts[2], 0);
}

/* The first requests of many entries divide by the weights too.  */
static void
test_weights_of_many (void)
{
  static const struct
  {
    int entries;
    int requests; /* of each entry */
    int64_t weights[2];
  } cases[] = { { 3000, 1, { 90, 10 } },     { 300, 1, { 50, 50 } },
                { 300, 1, { 70, 30 } },      { 300, 3, { 70, 30 } },
                { 3000, 5, { 90, 10 } },     { 12, 600, { 90, 10 } },
                { 3000, 1, { 1, 1 << 30 } }, { 3000, 1, { 70000, 30000 } },
                { 300, 1, { 0, 10 } } };
  for (size_t c = 0; c < COUNT (cases); c++)
    {
      double weights = (double)(cases[c].weights[0] + cases[c].weights[1]);
      double all = (double)cases[c].entries * cases[c].requests;
      int first = 0;
      for (int e = 0; e < cases[c].entries; e++)
        {
          struct plan_weighted_service services[]
              = { { { "desk", 4 }, cases[c].weights[0], false, 0 },
                  { { "office", 6 }, cases[c].weights[1], false, 0 } };
          struct plan_route row = make_route ("h", "/a/", services, 2);
          struct err err = { 0 };
          struct plan *plan = plan_create (1);
          plan_add_service (plan, STR ("desk"));
          plan_add_service (plan, STR ("office"));
          plan_add_route (plan, &row);
          CU_ASSERT_EQUAL_FATAL (plan_finish (plan, &err), ERR_NONE);
          plan_spread_weights (plan, (uint64_t)e);
          struct plan_route *route
              = plan_find_route (plan, STR ("h"), STR ("/a/"));
          for (int i = 0; i < cases[c].requests; i++)
            first += plan_next_weighted_service (route)
                     == &route->weighted_services[0];
          plan_unref (plan);
        }
      double expected = all * (double)cases[c].weights[0] / weights;
      /* Each entry is off by less than one request.  */
      CU_ASSERT_DOUBLE_EQUAL (first, expected,
                              2 * sqrt ((double)cases[c].entries));
      if (fabs (first - expected) > 2 * sqrt ((double)cases[c].entries))
        printf ("# case %d: %d, %.0f expected\n", (int)c, first, expected);
    }
}

/* A route that can't be used is refused alone, when the plan is made and with
   a detail; the route beside it is served.  One such route once took all
   services down.  */
static void
test_faulty_routes (void)
{
  static const struct
  {
    const char *name;
    const char *prefix;
    const char *service;
    int64_t weight;
    bool is_placed; /* the route is found, with a reason to refuse */
  } cases[] = {
    { "no slash at the end", "/a", "desk", 1, false },
    { "no slash at the start", "a/", "desk", 1, false },
    { "no prefix", "", "desk", 1, false },
    { "unknown service", "/a/", "office", 1, true },
    { "weight below zero", "/a/", "desk", -1, true },
    { "weight of zero", "/a/", "desk", 0, true },
    { "weight of zero, no slash at the end", "/a", "desk", 0, false },
    { "the prefix of another route", "/good/twice/", "desk", 1, true },
  };
  for (size_t i = 0; i < COUNT (cases); i++)
    {
      struct err err = { 0 };
      struct plan *plan = plan_create (1);
      struct plan_weighted_service desk = { { "desk", 4 }, 1, false, 0 };
      struct plan_weighted_service weighted
          = { .service = str_from (cases[i].service),
              .weight = cases[i].weight };
      struct plan_route route
          = make_route ("h", cases[i].prefix, &weighted, 1);
      struct plan_route good = make_route ("h", "/good/", &desk, 1);
      struct plan_route twice = make_route ("h", "/good/twice/", &desk, 1);
      plan_add_service (plan, STR ("desk"));
      plan_add_route (plan, &route);
      plan_add_route (plan, &good);
      plan_add_route (plan, &twice);
      CU_ASSERT_EQUAL (plan_finish (plan, &err), ERR_NONE);
      plan_spread_weights (plan, i);
      CU_ASSERT (plan_problem_count (plan) >= 1);
      CU_ASSERT (plan_problem (plan, 0)->detail[0] != 0);
      const struct plan_route *found
          = plan_find_route (plan, STR ("h"), str_from (cases[i].prefix));
      CU_ASSERT_EQUAL (found && found->refusal, cases[i].is_placed);
      CU_ASSERT_EQUAL (plan_has_unplaced_route (plan, STR ("H")),
                       !cases[i].is_placed);
      CU_ASSERT_FALSE (plan_has_unplaced_route (plan, STR ("other")));
      found = plan_find_route (plan, STR ("h"), STR ("/good/1"));
      CU_ASSERT (found && !found->refusal);
      plan_unref (plan);
    }
}

/* Of a route to two services, only the share of the one that the plan lacks is
   refused, and the other gets no more than its own.  */
static void
test_missing_service (void)
{
  struct plan_weighted_service services[]
      = { { { "desk", 4 }, 3, false, 0 }, { { "office", 6 }, 1, false, 0 } };
  struct plan_route row = make_route ("h", "/a/", services, COUNT (services));
  struct err err = { 0 };
  struct plan *plan = plan_create (1);
  plan_add_service (plan, STR ("desk"));
  plan_add_route (plan, &row);
  CU_ASSERT_EQUAL (plan_finish (plan, &err), ERR_NONE);
  struct plan_route *route = plan_find_route (plan, STR ("h"), STR ("/a/"));
  CU_ASSERT_PTR_NOT_NULL_FATAL (route);
  CU_ASSERT_PTR_NULL (route->refusal);
  int missing = 0;
  for (int i = 0; i < 100; i++)
    missing += plan_next_weighted_service (route)->is_missing;
  CU_ASSERT_EQUAL (missing, 25);
  plan_unref (plan);
}

/* A route without a host could concern any request, so the plan is refused and
   the one in force stays.  */
static void
test_no_host (void)
{
  struct plan_weighted_service desk = { { "desk", 4 }, 1, false, 0 };
  struct plan_route route = make_route ("", "/a/", &desk, 1);
  struct err err = { 0 };
  struct plan *plan = plan_create (1);
  plan_add_service (plan, STR ("desk"));
  plan_add_route (plan, &route);
  CU_ASSERT_EQUAL (plan_finish (plan, &err), ERR_INVALID);
  CU_ASSERT (err.detail[0] != 0);
  plan_unref (plan);
}

const struct unit_test plan_tests[] = {
  { "the longest prefix of the host is found", test_find_route },
  { "weighted services get their weights at every moment", test_weights },
  { "first requests of many entries follow the weights too",
    test_weights_of_many },
  { "a faulty route is refused alone", test_faulty_routes },
  { "only the share of a missing service is refused", test_missing_service },
  { "a route without a host refuses the plan", test_no_host },
  { NULL, NULL }
};
