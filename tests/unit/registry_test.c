/* Which entries read the store for the others, as each entry determines it by
   itself from the registry.  Guards against entries that ask one that does not
   read.  */
#include "gateway/registry.h"
#include "tests/unit/unit.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  ENTRIES_MAX = 8
};

struct entry_case
{
  const char *zone;
  double link_mbps;
  bool leaving;
};

static struct gateway_zone zones[] = { { { "a", 1 }, { "north", 5 } },
                                       { { "b", 1 }, { "north", 5 } },
                                       { { "s", 1 }, { "south", 5 } } };

/* Returns the registry of entry SELF, with all COUNT entries.  */
static struct registry *
make_registry (int self, const struct entry_case *entries, int count,
               struct gateway_settings *settings)
{
  struct registry_desc desc = { .settings = settings };
  *settings = (struct gateway_settings){
    .name = str_printf (test_pool, "e%d", self),
    .zone = str_from (entries[self].zone),
    .zones = { .items = zones, .count = COUNT (zones) },
    .listen = { .metrics = str_printf (test_pool, "10.0.0.%d:2", self) },
    .machine = { entries[self].link_mbps, 1.0 }
  };
  settings->region = gateway_settings_region (settings, settings->zone);
  struct registry *registry = registry_create (test_pool, &desc);
  for (int i = 0; i < count; i++)
    registry_put (
        registry, str_printf (test_pool, "e%d", i),
        str_printf (
            test_pool,
            "{\"callers\":\"10.0.0.%d:1\",\"zone\":\"%s\","
            "\"leaving\":%s,\"capacity\":%g,\"peers\":\"10.0.0.%d:2\"}",
            i, entries[i].zone, entries[i].leaving ? "true" : "false",
            entries[i].link_mbps, i));
  return registry;
}

/* Returns the mask of the entries whose addresses are in LIST.  */
static int
mask_of (const struct str *list, size_t count)
{
  int mask = 0;
  for (size_t i = 0; i < count; i++)
    mask |= 1 << (list[i].data[7] - '0');
  return mask;
}

/* Every entry either reads the store itself or asks two that do.  In each
   region of more than two entries two read: the one of largest capacity, and
   the one of largest capacity in another zone, if there is one.  Were entries
   to differ in their choice, one could ask an entry that does not read.  */
static void
test_readers (void)
{
  static const struct
  {
    const char *name;
    struct entry_case entries[ENTRIES_MAX];
    int count;
    int readers;  /* of all entries */
    int required; /* mask of entries that must be among them */
  } cases[]
      = { { "alone", { { "a", 10, false } }, 1, 1, 1 },
          { "two", { { "a", 10, false }, { "a", 10, false } }, 2, 2, 3 },
          { "three of equal capacity",
            { { "a", 10, false }, { "a", 10, false }, { "a", 10, false } },
            3,
            2,
            0 },
          { "two are larger",
            { { "a", 10, false },
              { "a", 200, false },
              { "a", 10, false },
              { "a", 200, false },
              { "a", 10, false } },
            5,
            2,
            10 },
          { "the largest is leaving",
            { { "a", 10, false },
              { "a", 200, true },
              { "a", 20, false },
              { "a", 30, false } },
            4,
            2,
            12 },
          { "two zones",
            { { "a", 10, false },
              { "a", 90, false },
              { "a", 80, false },
              { "b", 10, false },
              { "b", 20, false },
              { "b", 10, false } },
            6,
            2,
            18 },
          { "two regions",
            { { "a", 10, false },
              { "a", 90, false },
              { "a", 80, false },
              { "s", 10, false },
              { "s", 20, false },
              { "s", 30, false } },
            6,
            4,
            54 } };
  for (size_t c = 0; c < COUNT (cases); c++)
    {
      int reader_count = 0;
      int reader_mask = 0;
      int asked_mask = 0;
      int others[ENTRIES_MAX] = { 0 };   /* readers that each reader knows */
      int clients[ENTRIES_MAX] = { 0 };  /* in the region of each */
      int first_of[ENTRIES_MAX] = { 0 }; /* mask of the reader asked first */
      for (int e = 0; e < cases[c].count; e++)
        {
          /* An entry knows that it is leaving from its own state, not from
             its key.  */
          if (cases[c].entries[e].leaving)
            continue;
          struct gateway_settings settings;
          struct registry *registry
              = make_registry (e, cases[c].entries, cases[c].count, &settings);
          struct str first = registry_reader_address (registry, 0);
          struct str second = registry_reader_address (registry, 1);
          struct str list[ENTRIES_MAX];
          others[e] = mask_of (
              list, registry_reader_addresses (registry, list, ENTRIES_MAX));
          clients[e] = mask_of (
              list, registry_region_addresses (registry, list, ENTRIES_MAX));
          if (first.size == 0)
            {
              reader_count++;
              reader_mask |= 1 << e;
            }
          else
            {
              CU_ASSERT_FALSE (str_equal (first, second));
              first_of[e] = mask_of (&first, 1);
              asked_mask |= first_of[e];
              asked_mask |= 1 << (second.data[7] - '0');
            }
          registry_destroy (registry);
        }
      CU_ASSERT_EQUAL (reader_count, cases[c].readers);
      CU_ASSERT_EQUAL (reader_mask & cases[c].required, cases[c].required);
      /* News reach every entry, from both readers of its region, so also when
         the one that it asks has just ended.  */
      for (int e = 0; e < cases[c].count; e++)
        {
          CU_ASSERT (!(reader_mask & 1 << e)
                     || others[e] == (reader_mask & ~(1 << e)));
          for (int r = 0; r < cases[c].count; r++)
            CU_ASSERT_EQUAL (
                (clients[r] & 1 << e) != 0,
                r != e && !cases[c].entries[r].leaving
                    && (cases[c].entries[r].zone[0] == 's')
                           == (cases[c].entries[e].zone[0] == 's'));
        }
      /* Only entries that read are asked.  */
      CU_ASSERT_EQUAL (asked_mask & ~reader_mask, 0);
      if (reader_count != cases[c].readers || (asked_mask & ~reader_mask) != 0)
        printf ("# %s: %d readers, mask %x, asked %x\n", cases[c].name,
                reader_count, reader_mask, asked_mask);
    }
}

/* A key of another writer, with members missing or of another type, names no
   entry: callers would be sent to an address that is none.  */
static void
test_malformed_entries (void)
{
  static const struct
  {
    const char *text;
    bool is_valid;
  } cases[] = {
    { "{\"callers\":\"10.0.0.1:1\",\"zone\":\"a\",\"leaving\":false}", true },
    { "{\"callers\":\"10.0.0.1:1\",\"zone\":\"a\",\"leaving\":false,"
      "\"peers\":\"10.0.0.1:2\"}",
      true },
    { "{\"callers\":5,\"zone\":\"a\",\"leaving\":false}", false },
    { "{\"callers\":\"here\",\"zone\":\"a\",\"leaving\":false}", false },
    { "{\"callers\":\"10.0.0.1:1\",\"zone\":7,\"leaving\":false}", false },
    { "{\"callers\":\"10.0.0.1:1\",\"zone\":\"a\",\"leaving\":\"no\"}",
      false },
    { "{\"callers\":\"10.0.0.1:1\",\"zone\":\"a\",\"leaving\":false,"
      "\"peers\":[]}",
      false },
    { "{\"callers\":\"10.0.0.1:1\",\"zone\":\"a\"}", false },
    { "[]", false },
    { "", false },
  };
  for (size_t i = 0; i < COUNT (cases); i++)
    {
      struct gateway_settings settings;
      const struct entry_case alone = { "a", 10, false };
      struct registry *registry = make_registry (0, &alone, 1, &settings);
      registry_put (registry, STR ("other"), str_from (cases[i].text));
      CU_ASSERT_EQUAL (registry_count (registry), cases[i].is_valid ? 2 : 1);
      registry_destroy (registry);
    }
}

/* An entry that can't reach the store asks the readers of all regions in turn,
   and once the keys of all entries have expired, entries whose records are
   kept: with none to ask, it stays at what it knows.  */
static void
test_peers (void)
{
  static const struct entry_case entries[] = {
    { "a", 90, false }, { "a", 10, false }, { "b", 90, false },
    { "s", 10, false }, { "s", 90, false }, { "s", 20, false },
  };
  struct gateway_settings settings;
  struct registry *registry
      = make_registry (0, entries, COUNT (entries), &settings);
  for (int expired = 0; expired <= 1; expired++)
    {
      int asked = 0;
      for (int i = 0; i < 12; i++)
        asked |= 1 << (registry_next_peer_address (registry).data[7] - '0');
      /* Of the own region the other reader, of the other region both.  */
      CU_ASSERT_EQUAL (asked, expired ? 0x3e : 1 << 2 | 1 << 4 | 1 << 5);
      for (int i = 1; i < (int)COUNT (entries); i++)
        registry_remove (registry, str_printf (test_pool, "e%d", i), true, 1);
    }
  registry_destroy (registry);
}

/* With more entries than fit one response to a look-up, all are named in turn:
   one that is never named would get no callers.  */
static void
test_look_ups_in_turn (void)
{
  enum
  {
    ENTRIES = 100,
    NAMED = 64
  };
  struct gateway_settings settings;
  const struct entry_case alone = { "a", 10, false };
  struct registry *registry = make_registry (0, &alone, 1, &settings);
  int named[ENTRIES] = { 0 };
  for (int i = 1; i < ENTRIES; i++)
    registry_put (registry, str_printf (test_pool, "e%d", i),
                  str_printf (test_pool,
                              "{\"callers\":\"10.0.0.%d:1\",\"zone\":\"b\","
                              "\"leaving\":%s}",
                              i, i == 7 ? "true" : "false"));
  CU_ASSERT_EQUAL (registry_count_in_region (registry, STR ("north")),
                   ENTRIES - 1);
  CU_ASSERT_EQUAL (registry_count_in_region (registry, STR ("south")), 0);
  for (int look_up = 0; look_up < 50; look_up++)
    {
      const struct registry_entry *found[NAMED];
      CU_ASSERT_EQUAL (
          registry_find_in_region (registry, STR ("north"), found, NAMED),
          NAMED);
      for (int i = 0; i < NAMED; i++)
        named[atoi (found[i]->name.data + 1)]++;
    }
  for (int i = 0; i < ENTRIES; i++)
    CU_ASSERT (i == 7 ? named[i] == 0 : named[i] >= 30 && named[i] <= 35);
  registry_destroy (registry);
}

/* A restored store's older key doesn't bring back an entry that left.  */
static void
test_restored_keys (void)
{
  static const struct
  {
    const char *name;
    bool leaving; /* in the key known before: started 7, its write 5 */
    bool removed; /* after that */
    int started;  /* of the restored key, which isn't leaving */
    int writes;
    bool is_named;       /* after the listing */
    bool is_named_later; /* once it is written again */
  } cases[] = { { "older", false, false, 7, 4, true, true },
                { "leaving, older", true, false, 7, 4, false, true },
                { "leaving, restarted", true, false, 8, 1, true, true },
                { "removed", false, true, 7, 5, false, true },
                { "removed, earlier", false, true, 6, 9, false, true },
                { "removed, restarted", false, true, 8, 1, true, true },
                { "not ordered", true, false, 0, 0, true, true } };
  static const char key[]
      = "{\"callers\":\"10.0.0.9:1\",\"zone\":\"a\",\"leaving\":%s,"
        "\"started\":%d,\"writes\":%d}";
  for (size_t i = 0; i < COUNT (cases); i++)
    {
      struct gateway_settings settings;
      const struct entry_case alone = { "a", 10, false };
      struct registry *registry = make_registry (0, &alone, 1, &settings);
      struct str name = STR ("other");
      registry_put (registry, name,
                    str_printf (test_pool, key,
                                cases[i].leaving ? "true" : "false", 7, 5));
      if (cases[i].removed)
        registry_remove (registry, name, false, 1);
      registry_begin_restore (registry, 2);
      registry_put (registry, name,
                    str_printf (test_pool, key, "false", cases[i].started,
                                cases[i].writes));
      registry_end_restore (registry);
      bool is_named = registry_count_in_region (registry, STR ("north")) == 2;
      CU_ASSERT_EQUAL (is_named, cases[i].is_named);
      if (is_named != cases[i].is_named)
        printf ("# %s\n", cases[i].name);
      registry_put (registry, name,
                    str_printf (test_pool, key, "false", cases[i].started,
                                cases[i].writes + 5));
      CU_ASSERT_EQUAL (registry_count_in_region (registry, STR ("north")),
                       cases[i].is_named_later ? 2 : 1);
      registry_destroy (registry);
    }
}

/* A second restore doesn't bring back an entry that left before the first.  */
static void
test_restored_twice (void)
{
  static const struct
  {
    const char *name;
    bool lapsed;    /* its key expired, and it was not seen again */
    int writes[2];  /* of the key of its process in each copy; 0: not listed */
    bool restarted; /* in the second copy */
    bool is_named;  /* after the second listing */
  } cases[] = { { "the same copy", false, { 3, 3 }, false, false },
                { "a later copy", false, { 3, 5 }, false, false },
                { "an earlier copy", false, { 5, 3 }, false, false },
                { "in the second only", false, { 0, 5 }, false, false },
                { "restarted", false, { 3, 1 }, true, true },
                { "lapsed", true, { 5, 5 }, false, false } };
  static const char key[]
      = "{\"callers\":\"10.0.0.9:1\",\"zone\":\"a\",\"leaving\":false,"
        "\"started\":%d,\"writes\":%d}";
  for (size_t i = 0; i < COUNT (cases); i++)
    {
      struct gateway_settings settings;
      const struct entry_case alone = { "a", 10, false };
      struct registry *registry = make_registry (0, &alone, 1, &settings);
      struct str name = STR ("other");
      registry_put (registry, name, str_printf (test_pool, key, 7, 5));
      apr_time_t now = timer_clock ();
      registry_remove (registry, name, cases[i].lapsed, now - TIMER_SEC (3));
      registry_remove_expired (registry, now);
      for (int n = 0; n < 2; n++)
        {
          registry_begin_restore (registry, 2 + n);
          if (cases[i].writes[n] > 0)
            registry_put (registry, name,
                          str_printf (test_pool, key,
                                      7 + (n == 1 && cases[i].restarted),
                                      cases[i].writes[n]));
          registry_end_restore (registry);
          size_t named = registry_count_in_region (registry, STR ("north"));
          size_t expected = n == 1 && cases[i].is_named ? 2 : 1;
          CU_ASSERT_EQUAL (named, expected);
          if (named != expected)
            printf ("# %s, copy %d\n", cases[i].name, n);
        }
      /* Its process lives after all.  */
      registry_put (registry, name, str_printf (test_pool, key, 8, 6));
      CU_ASSERT_EQUAL (registry_count_in_region (registry, STR ("north")), 2);
      registry_destroy (registry);
    }
}

/* A store of which each call is answered by the test.  */
static struct lease_store
{
  struct store store; /* first */
  const char *call;   /* the one in progress */
  int64_t lease;      /* its argument */
  struct str value;   /* of the key that was put last */
  store_done_fn *done;
  void *user_data;
} lease_store;

static void
store_call (const char *call, int64_t lease, store_done_fn *done,
            void *user_data)
{
  lease_store.call = call;
  lease_store.lease = lease;
  lease_store.done = done;
  lease_store.user_data = user_data;
}

static void
store_open_lease (struct store *store, int64_t ttl_ms, store_done_fn *done,
                  void *user_data)
{
  (void)store;
  (void)ttl_ms;
  store_call ("open", 0, done, user_data);
}

static void
store_renew_lease (struct store *store, int64_t lease, store_done_fn *done,
                   void *user_data)
{
  (void)store;
  store_call ("renew", lease, done, user_data);
}

static void
store_put (struct store *store, const char *key, struct str value,
           int64_t lease, store_done_fn *done, void *user_data)
{
  (void)store;
  (void)key;
  lease_store.value = str_dup (test_pool, value);
  store_call ("put", lease, done, user_data);
}

/* Ends the call in progress with success, and lets the next one begin.  */
static void
answer_call (struct loop *loop, int64_t index, int64_t epoch)
{
  struct store_response response
      = { .code = ERR_NONE, .index = index, .epoch = epoch };
  lease_store.call = "none";
  lease_store.done (lease_store.user_data, &response);
  timer_service_run (loop_timers (loop), timer_clock () + TIMER_SEC (5));
}

/* A lease's number that another entry may have got since the store was
   restored keeps no key alive.  */
static void
test_lease_epochs (void)
{
  static const struct
  {
    const char *name;
    int64_t opened; /* epoch in which the lease was opened, the key written */
    int64_t written;
    int64_t listed;  /* epoch of the listing that follows; 0: none */
    bool is_written; /* that listing has the key as it was written */
    const char *next_call;
  } cases[] = { { "one epoch", 1, 1, 0, false, "renew" },
                { "not stated", 0, 0, 0, false, "renew" },
                { "written after a restore", 1, 2, 0, false, "open" },
                { "written after a restore, listed", 1, 2, 2, true, "open" },
                { "written before a restore, listed", 1, 1, 2, true, "renew" },
                { "lost", 1, 1, 2, false, "open" } };
  static const struct store_ops ops = { .open_lease = store_open_lease,
                                        .renew_lease = store_renew_lease,
                                        .put = store_put };
  lease_store.store.ops = &ops;
  for (size_t i = 0; i < COUNT (cases); i++)
    {
      struct err err;
      struct loop *loop;
      loop_create (test_pool, &loop, &err);
      struct gateway_settings settings
          = { .name = STR ("self"),
              .zone = STR ("a"),
              .zones = { .items = zones, .count = COUNT (zones) },
              .listen = { .callers = STR ("10.0.0.9:1") },
              .store = { .lease_ms = 2000 } };
      struct registry_desc desc = { .loop = loop,
                                    .store = &lease_store.store,
                                    .settings = &settings };
      struct registry *registry = registry_create (test_pool, &desc);
      registry_start (registry);
      CU_ASSERT_STRING_EQUAL (lease_store.call, "open");
      answer_call (loop, 7, cases[i].opened);
      CU_ASSERT_STRING_EQUAL (lease_store.call, "put");
      CU_ASSERT_EQUAL (lease_store.lease, 7);
      answer_call (loop, 60, cases[i].written);
      if (cases[i].listed > 0)
        {
          struct lease_store before = lease_store;
          registry_begin_restore (registry, cases[i].listed);
          if (cases[i].is_written)
            registry_put (registry, settings.name, lease_store.value);
          registry_end_restore (registry);
          if (strcmp (before.call, "renew") == 0)
            answer_call (loop, 0, cases[i].listed);
        }
      CU_ASSERT_STRING_EQUAL (lease_store.call, cases[i].next_call);
      if (strcmp (lease_store.call, cases[i].next_call) != 0)
        printf ("# %s: %s\n", cases[i].name, lease_store.call);
      registry_destroy (registry);
      loop_destroy (loop);
    }
}

/* Entries whose keys vanish go on to count among those that may send to a cold
   upstream, until they are listed again or for ten seconds: they may send all
   the while, and one that thinks it is alone would send for all.  */
static void
test_vanished (void)
{
  static const struct entry_case entries[]
      = { { "a", 10, false }, { "a", 10, false }, { "b", 10, false },
          { "b", 10, false }, { "s", 10, false }, { "s", 10, false } };
  apr_time_t now = timer_clock ();
  for (int self = 0; self < (int)COUNT (entries); self++)
    {
      struct gateway_settings settings;
      struct registry *registry
          = make_registry (self, entries, COUNT (entries), &settings);
      size_t before = registry_cold_rank (registry, 17, STR ("north"));
      for (int e = 0; e < (int)COUNT (entries); e++)
        if (e != self)
          registry_remove (registry, str_printf (test_pool, "e%d", e), false,
                           now);
      CU_ASSERT_EQUAL (registry_rank (registry, 17, STR ("north")), 0);
      CU_ASSERT_EQUAL (registry_cold_rank (registry, 17, STR ("north")),
                       before);
      CU_ASSERT_EQUAL (registry_cold_count (registry), COUNT (entries));
      int other = self == 0;
      registry_put (registry, str_printf (test_pool, "e%d", other),
                    str_printf (test_pool,
                                "{\"callers\":\"10.0.0.%d:1\",\"zone\":\"%s\","
                                "\"leaving\":false}",
                                other, entries[other].zone));
      CU_ASSERT_EQUAL (registry_cold_rank (registry, 17, STR ("north")),
                       before);
      CU_ASSERT_EQUAL (registry_cold_count (registry), COUNT (entries));
      registry_remove_expired (registry, now + TIMER_SEC (11));
      CU_ASSERT_EQUAL (registry_cold_count (registry), 2);
      registry_destroy (registry);
    }
}

const struct unit_test registry_tests[] = {
  { "two entries of a region read the store", test_readers },
  { "who can't reach the store asks the readers of all regions", test_peers },
  { "a malformed key names no entry", test_malformed_entries },
  { "a restored key does not bring back an entry that left",
    test_restored_keys },
  { "a second restore does not bring back an entry that left",
    test_restored_twice },
  { "a lease of an earlier epoch keeps no key alive", test_lease_epochs },
  { "all entries are named to callers in turn", test_look_ups_in_turn },
  { "entries that vanished count among the senders to cold upstreams",
    test_vanished },
  { NULL, NULL }
};
