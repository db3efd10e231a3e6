/* Which entries read the store for the others, as each entry determines it by
   itself from the registry.  Guards against entries that ask one that does not
   read.  */
#include "gateway/registry.h"
#include "tests/unit/unit.h"

#include <stdio.h>
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

static struct gateway_zone zones[]
    = { { { "a", 1 }, { "north", 5 } }, { { "b", 1 }, { "north", 5 } } };

/* Returns the registry of entry SELF, with all COUNT entries.  */
static struct registry *
make_registry (int self, const struct entry_case *entries, int count,
               struct gateway_settings *settings)
{
  struct registry_desc desc = { .settings = settings };
  *settings = (struct gateway_settings){
    .name = str_printf (test_pool, "e%d", self),
    .zone = str_from (entries[self].zone),
    .region = STR ("north"),
    .zones = { .items = zones, .count = COUNT (zones) },
    .machine = { entries[self].link_mbps, 1.0 }
  };
  struct registry *registry = registry_create (test_pool, &desc);
  for (int i = 0; i < count; i++)
    registry_put (
        registry, str_printf (test_pool, "e%d", i),
        str_printf (test_pool,
                    "{\"callers\":\"10.0.0.%d:1\",\"zone\":\"%s\","
                    "\"leaving\":%s,\"capacity\":%g,\"peers\":\"%d\"}",
                    i, entries[i].zone, entries[i].leaving ? "true" : "false",
                    entries[i].link_mbps, i));
  return registry;
}

/* Every entry either reads the store itself or asks two that do.  In each zone
   of more than two entries, the two of largest capacity read.  Were entries to
   differ in their choice, one could ask an entry that does not read.  */
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
              { "a", 10, false },
              { "a", 90, false },
              { "b", 10, false },
              { "b", 90, false },
              { "b", 90, false } },
            6,
            4,
            52 } };
  for (size_t c = 0; c < COUNT (cases); c++)
    {
      int reader_count = 0;
      int reader_mask = 0;
      int asked_mask = 0;
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
          if (first.size == 0)
            {
              reader_count++;
              reader_mask |= 1 << e;
            }
          else
            {
              CU_ASSERT_FALSE (str_equal (first, second));
              asked_mask |= 1 << (first.data[0] - '0');
              asked_mask |= 1 << (second.data[0] - '0');
            }
        }
      CU_ASSERT_EQUAL (reader_count, cases[c].readers);
      CU_ASSERT_EQUAL (reader_mask & cases[c].required, cases[c].required);
      /* Only entries that read are asked.  */
      CU_ASSERT_EQUAL (asked_mask & ~reader_mask, 0);
      if (reader_count != cases[c].readers || (asked_mask & ~reader_mask) != 0)
        printf ("# %s: %d readers, mask %x, asked %x\n", cases[c].name,
                reader_count, reader_mask, asked_mask);
    }
}

const struct unit_test registry_tests[]
    = { { "two entries of a zone read the store", test_readers },
        { NULL, NULL } };
