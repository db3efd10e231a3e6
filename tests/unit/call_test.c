/* Parts of the handling of a call: its body and headers, the queue, the
   connections to upstreams, and look-ups of entries.  Guards against calls
   that are forwarded with a part of their body or with headers of another
   connection, too many connections, and callers sent to entries that do not
   serve.  */
#include "base/timer.h"
#include "call/body.h"
#include "call/connections.h"
#include "call/headers.h"
#include "call/lookup.h"
#include "call/queue.h"
#include "call/stop_limits.h"
#include "tests/unit/fixture.h"
#include "tests/unit/unit.h"

#include <string.h>

/* The buffer can be rewound for another attempt as long as it keeps all bytes
   that were read.  Rewound later, it would send a body without its start.  */
static void
test_body (void)
{
  struct body body;
  char out[64];
  body_init (&body, 16);
  CU_ASSERT_EQUAL (body_write (&body, "0123456789", 10), 10);
  CU_ASSERT_EQUAL (body_read (&body, out, 4), 4);
  CU_ASSERT_TRUE (body_rewind (&body));
  CU_ASSERT_EQUAL (body_unread (&body), 10);
  CU_ASSERT_EQUAL (body_read (&body, out, 8), 8);
  /* A write that does not fit next to the bytes already read drops those.
   */
  CU_ASSERT_EQUAL (body_write (&body, "abcdefghijklmnop", 16), 14);
  CU_ASSERT_EQUAL (body_space (&body), 0);
  CU_ASSERT_FALSE (body_rewind (&body));
  CU_ASSERT_EQUAL (body_read (&body, out, 64), 16);
  CU_ASSERT (memcmp (out, "89abcdefghijklmn", 16) == 0);
  CU_ASSERT_EQUAL (body_read (&body, out, 64), 0);
  body_free (&body);
}

/* Headers of one connection must not be forwarded: the fixed ones, and those
   that a Connection header names, whole and in any case.  */
static void
test_hop_by_hop (void)
{
  static const struct
  {
    const char *name;
    bool hop;
  } cases[] = { { "Connection", true },
                { "keep-alive", true },
                { "X-Secret", true },
                { "x-other", true },
                { "X-Secrets", false },
                { "Content-Type", false },
                { "TE", true },
                { "Transfer-Encoding", true },
                { "Upgrade", true },
                { "Trailer", true },
                { "Authorization", false } };
  struct headers headers;
  headers_init (&headers, test_pool);
  headers_add (&headers, STR ("Connection"), STR ("close , X-Secret"));
  headers_add (&headers, STR ("connection"), STR ("x-other"));
  headers_add (&headers, STR ("X-Empty"), STR (""));
  headers_continue_last (&headers, STR (""));
  CU_ASSERT_EQUAL (headers_get (&headers, "x-empty").size, 0);
  for (size_t i = 0; i < COUNT (cases); i++)
    CU_ASSERT_EQUAL (
        headers_is_hop_by_hop (&headers, str_from (cases[i].name)),
        cases[i].hop);
}

struct waiting_call
{
  struct queue_item item;
  const char *name;
};

struct dispatcher
{
  struct queue *queue;
  int free_slots;
  char order[64]; /* names of the calls dispatched */
};

static bool
try_dispatch (void *user_data, void *call)
{
  struct dispatcher *dispatcher = user_data;
  struct waiting_call *waiting = call;
  if (dispatcher->free_slots == 0)
    return false;
  dispatcher->free_slots--;
  strcat (dispatcher->order, waiting->name);
  queue_remove (dispatcher->queue, &waiting->item);
  return true;
}

/* Calls are dispatched in order of arrival, short ones before long ones, so
   that long calls do not hold up short ones.  Removing a call twice counts
   once.  Calls named by a capital letter are long.  */
static void
test_queue (void)
{
  struct waiting_call w[] = { { { 0 }, "A" },
                              { { 0 }, "b" },
                              { { 0 }, "c" },
                              { { 0 }, "D" },
                              { { 0 }, "e" } };
  struct dispatcher dispatcher = { queue_create (test_pool), 3, "" };
  for (size_t i = 0; i < COUNT (w); i++)
    queue_add (dispatcher.queue, STR ("s"),
               w[i].name[0] < 'a' ? CLASS_LONG : CLASS_SHORT, &w[i].item,
               &w[i]);
  queue_remove (dispatcher.queue, &w[2].item);
  queue_remove (dispatcher.queue, &w[2].item);
  CU_ASSERT_EQUAL (queue_length (dispatcher.queue), 4);
  CU_ASSERT_EQUAL (
      queue_class_length (dispatcher.queue, STR ("s"), CLASS_LONG), 2);
  queue_offer (dispatcher.queue, try_dispatch, &dispatcher);
  CU_ASSERT_STRING_EQUAL (dispatcher.order, "beA");
  dispatcher.free_slots = 9;
  queue_offer (dispatcher.queue, try_dispatch, &dispatcher);
  CU_ASSERT_STRING_EQUAL (dispatcher.order, "beAD");
  CU_ASSERT_EQUAL (queue_length (dispatcher.queue), 0);
}

/* Returns a roster with an entry for each letter of STATES: `s' serving, `l'
   leaving, `d' dead (no heartbeats).  */
static struct roster *
make_roster (const char *states)
{
  static const char *const zones[] = { "north-a", "north-b", "south-a" };
  static const char *const regions[] = { "north", "north", "south" };
  struct roster_entry members[9] = { 0 };
  size_t n = strlen (states);
  for (size_t i = 0; i < n; i++)
    members[i] = (struct roster_entry){
      .heartbeat
      = { .name = str_printf (test_pool, "e%zu", i),
          .zone = str_from (zones[i % 3]),
          .region = str_from (regions[i % 3]),
          .state = states[i] == 'l' ? ENTRY_LEAVING : ENTRY_SERVING },
      .alive = states[i] != 'd'
    };
  return roster_create (members, n);
}

/* A look-up returns at most 4 serving entries, those of the caller's region
   first, the first two in different zones, and the same ones each time.  */
static void
test_lookup (void)
{
  static const struct
  {
    const char *states; /* as for make_roster */
    const char *region;
    size_t count;
    const char *first_region; /* NULL: not checked */
  } cases[] = {
    { "sssssssss", "north", 4, "north" }, { "sssssssss", "south", 4, "south" },
    { "ldl", "north", 0, NULL },          { "dds", "north", 1, "south" },
    { "lsd", "north", 1, "north" },       { "", "north", 0, NULL },
  };
  struct snapshot *snapshot = fixture_shop (1, 1, "");
  for (size_t i = 0; i < COUNT (cases); i++)
    for (int caller = 0; caller < 20; caller++)
      {
        struct roster *roster = make_roster (cases[i].states);
        struct lookup_request request
            = { NULL, str_from (cases[i].region),
                str_printf (test_pool, "c%d", caller) };
        struct lookup_result result = lookup_find (snapshot, roster, &request);
        struct lookup_result again = lookup_find (snapshot, roster, &request);
        CU_ASSERT_EQUAL (result.count, cases[i].count);
        for (size_t e = 0; e < result.count; e++)
          {
            CU_ASSERT_EQUAL (result.entries[e]->state, ENTRY_SERVING);
            CU_ASSERT (result.entries[e] == again.entries[e]);
          }
        if (cases[i].first_region && result.count > 0)
          CU_ASSERT (str_equal (result.entries[0]->region,
                                str_from (cases[i].first_region)));
        if (result.count > 1)
          CU_ASSERT_FALSE (
              str_equal (result.entries[0]->zone, result.entries[1]->zone));
        roster_unref (roster);
      }
  snapshot_unref (snapshot);
}

/* An entry with queued calls is the first result for fewer callers than
   without; only callers that had it as their first one get another.  */
static void
test_lookup_headroom (void)
{
  static const struct
  {
    int64_t queued;
    double fraction; /* of the callers that have it first without a queue */
  } cases[] = { { 0, 1.0 }, { 2, 1.0 }, { 8, 0.571 }, { 90, 0.308 } };
  enum
  {
    CALLERS = 4000
  };
  struct snapshot *snapshot = fixture_shop (1, 1, "");
  struct roster *roster = make_roster ("ssssss");
  struct heartbeat *busy = &roster->entries[0].heartbeat;
  busy->in_flight = 10;
  int first_without_queue[CALLERS];
  int callers_without_queue = 0;
  for (size_t i = 0; i < COUNT (cases); i++)
    {
      int callers = 0;
      int moved_unexpectedly = 0;
      busy->queued = cases[i].queued;
      for (int c = 0; c < CALLERS; c++)
        {
          struct lookup_request request
              = { NULL, STR ("north"), str_printf (test_pool, "c%d", c) };
          struct lookup_result result
              = lookup_find (snapshot, roster, &request);
          int first = result.entries[0]->name.data[1] - '0';
          callers += first == 0;
          if (i == 0)
            first_without_queue[c] = first;
          else
            moved_unexpectedly += first_without_queue[c] != 0
                                  && first_without_queue[c] != first;
        }
      if (i == 0)
        callers_without_queue = callers;
      CU_ASSERT_EQUAL (moved_unexpectedly, 0);
      /* Of four entries in the region, one of weight W comes first for
         W / (W + 3) of the callers, the others having weight 1.  */
      CU_ASSERT_DOUBLE_EQUAL ((double)callers / callers_without_queue,
                              cases[i].fraction, 0.08);
    }
  roster_unref (roster);
  snapshot_unref (snapshot);
}

/* Never more than max_open connections to an upstream, nor more than max_idle
   kept open without a request.  A connection closed here still counts until
   the upstream has noticed it.  */
static void
test_connections (void)
{
  static const struct
  {
    struct connection_count count;
    int64_t max_open, max_idle;
    bool is_available, is_kept;
  } cases[] = {
    { { .open = 0 }, 3, 1, true, true },
    { { .open = 0 }, 3, 0, true, false },
    { { .open = 0 }, 0, 0, false, false },
    { { .open = 1, .active = 1, .kept_active = 1 }, 3, 1, true, false },
    { { .open = 2, .active = 1, .kept_active = 1 }, 2, 2, true, true },
    { { .open = 2, .active = 1, .kept_active = 1 }, 2, 1, true, false },
    { { .open = 3, .active = 3, .kept_active = 1 }, 3, 2, false, true },
    { { .open = 1, .active = 3 }, 3, 2, false, true },
    /* The idle one may not be used.  */
    { { .open = 2, .active = 1, .distrusted_until = TIMER_SEC (2) },
      2,
      0,
      false,
      false },
    { { .open = 2, .active = 1, .distrusted_until = TIMER_SEC (2) },
      3,
      0,
      true,
      false },
    { { .open = 2, .active = 1, .distrusted_until = TIMER_SEC (1) },
      2,
      0,
      true,
      false },
    /* Two were closed at 900 and 990 ms.  The upstream notices that after
       50 ms, so at 1000 ms the second one still counts.  */
    { { .close_delay_us = TIMER_MS (50),
        .closed = 2,
        .closed_at = { TIMER_MS (900), TIMER_MS (990) } },
      1,
      0,
      false,
      false },
    { { .close_delay_us = TIMER_MS (5),
        .closed = 2,
        .closed_at = { TIMER_MS (900), TIMER_MS (990) } },
      1,
      0,
      true,
      false },
  };
  for (size_t i = 0; i < COUNT (cases); i++)
    {
      struct connection_count count = cases[i].count;
      CU_ASSERT_EQUAL (
          connection_is_available (&count, cases[i].max_open, TIMER_SEC (1)),
          cases[i].is_available);
      bool is_kept = connection_begin (&count, cases[i].max_idle);
      CU_ASSERT_EQUAL (is_kept, cases[i].is_kept);
      connection_end (&count, is_kept);
      CU_ASSERT_EQUAL (count.active, cases[i].count.active);
      CU_ASSERT_EQUAL (count.kept_active, cases[i].count.kept_active);
    }
}

/* Stops of the users' sites, of 6 and 10 s, and a very short one; times in ms
   after the signal.  */
static void
test_stop_limits (void)
{
  static const struct
  {
    int64_t duration;
    int64_t arrived;
    int64_t deadline;
    bool is_taken;
    int64_t ends_at; /* when it is ended at the latest */
  } cases[] = {
    { 6000, -500, 9000, true, 5600 },   { 6000, 0, 8000, true, 5600 },
    { 6000, 2700, 8000, true, 5600 },   { 6000, 2701, 5600, true, 5600 },
    { 6000, 2701, 5601, false, 5600 },  { 6000, 3000, 9000, false, 5600 },
    { 6000, 5000, 5400, true, 5400 },   { 6000, 5650, 5700, false, 5600 },
    { 10000, 2700, 18000, true, 9600 }, { 10000, 3001, 12000, false, 9600 },
    { 10000, 3001, 9600, true, 9600 },  { 600, 300, 5000, true, 300 },
    { 600, 301, 5000, false, 300 },
  };
  for (size_t i = 0; i < COUNT (cases); i++)
    {
      struct stop_limits_desc desc
          = { TIMER_MS (cases[i].duration), TIMER_SEC (3) };
      struct stop_limits none = { 0 };
      struct stop_limits limits = stop_limits_begin (&desc, TIMER_SEC (100));
      apr_time_t arrived = TIMER_SEC (100) + TIMER_MS (cases[i].arrived);
      apr_time_t deadline = TIMER_SEC (100) + TIMER_MS (cases[i].deadline);
      CU_ASSERT_EQUAL (stop_limits_take (&limits, arrived, deadline),
                       cases[i].is_taken);
      CU_ASSERT_EQUAL (stop_limits_deadline (&limits, deadline),
                       TIMER_SEC (100) + TIMER_MS (cases[i].ends_at));
      CU_ASSERT_TRUE (stop_limits_take (&none, arrived, deadline));
      CU_ASSERT_EQUAL (stop_limits_deadline (&none, deadline), deadline);
      CU_ASSERT_TRUE (limits.open_until <= limits.listen_until
                      && limits.listen_until <= limits.answer_by
                      && limits.answer_by <= limits.exit_at
                      && limits.exit_at < TIMER_SEC (100) + desc.duration);
    }
}

const struct unit_test call_tests[] = {
  { "a body is not rewound after bytes of it were dropped", test_body },
  { "headers of one connection are not forwarded", test_hop_by_hop },
  { "short calls are dispatched first, in order of arrival", test_queue },
  { "an upstream gets no more connections than its limits allow",
    test_connections },
  { "a look-up returns only entries that serve, nearest first", test_lookup },
  { "an entry with queued calls is returned first less often",
    test_lookup_headroom },
  { "a stop takes no request whose deadline is after its end",
    test_stop_limits },
  { NULL, NULL }
};
