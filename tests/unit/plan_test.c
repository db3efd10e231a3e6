/* The plan: look-up of routes, weighted services, and invalid routes.  Guards
   against requests that follow the wrong route or weight, and routes that no
   request can follow.  */
#include "plan/plan.h"
#include "tests/unit/unit.h"

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
  struct plan_weighted_service service = { { "desk", 4 }, 1, 0 };
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
  struct plan_weighted_service services[]
      = { { { "a", 1 }, 90, 0 }, { { "b", 1 }, 10, 0 }, { { "c", 1 }, 0, 0 } };
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

/* A route that could not be used is refused when the plan is made, with a
   detail, not at its first request.  */
static void
test_invalid_routes (void)
{
  static const struct
  {
    const char *name;
    const char *host;
    const char *prefix;
    const char *service;
    enum plan_kind kind;
    int64_t weight;
    int64_t attempts;
  } cases[] = {
    { "no host", "", "/a/", "desk", PLAN_SAFE, 1, 1 },
    { "no slash at the end", "h", "/a", "desk", PLAN_SAFE, 1, 1 },
    { "no slash at the start", "h", "a/", "desk", PLAN_SAFE, 1, 1 },
    { "unknown service", "h", "/a/", "office", PLAN_SAFE, 1, 1 },
    { "unknown kind", "h", "/a/", "desk", PLAN_KIND_INVALID, 1, 1 },
    { "weight below zero", "h", "/a/", "desk", PLAN_SAFE, -1, 1 },
    { "weight of zero", "h", "/a/", "desk", PLAN_SAFE, 0, 1 },
    { "no attempt", "h", "/a/", "desk", PLAN_SAFE, 1, 0 },
  };
  for (size_t i = 0; i < COUNT (cases); i++)
    {
      struct err err = { 0 };
      struct plan *plan = plan_create (1);
      struct plan_weighted_service weighted
          = { .service = str_from (cases[i].service),
              .weight = cases[i].weight };
      struct plan_route route
          = make_route (cases[i].host, cases[i].prefix, &weighted, 1);
      route.kind = cases[i].kind;
      route.max_attempts = cases[i].attempts;
      plan_add_service (plan, STR ("desk"));
      plan_add_route (plan, &route);
      CU_ASSERT_EQUAL (plan_finish (plan, &err), ERR_INVALID);
      CU_ASSERT (err.detail[0] != 0);
      plan_unref (plan);
    }
}

const struct unit_test plan_tests[]
    = { { "the longest prefix of the host is found", test_find_route },
        { "weighted services get their weights at every moment",
          test_weights },
        { "invalid routes are refused", test_invalid_routes },
        { NULL, NULL } };
