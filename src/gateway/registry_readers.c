/* Which entries read the store for the others, and whom this one asks.  */
#include "gateway/registry_internal.h"

/* constants */

enum
{
  REGIONS_MAX = 64 /* whose readers registry_next_peer_address knows */
};

/* private functions */

/* Returns whether A comes before B in the choice of the readers.  */
static bool
is_preferred_reader (const struct registry_entry *a,
                     const struct registry_entry *b)
{
  return a->capacity != b->capacity ? a->capacity > b->capacity
                                    : a->hash > b->hash;
}

/* Returns this entry as others see it.  */
static struct registry_entry
own_entry (const struct registry *registry)
{
  const struct gateway_settings *settings = registry->desc.settings;
  return (struct registry_entry){ .name = settings->name,
                                  .peer_address = settings->listen.metrics,
                                  .zone = settings->zone,
                                  .region = settings->region,
                                  .capacity = registry_own_capacity (settings),
                                  .leaving = registry->leaving,
                                  .hash = registry_hash (settings->name) };
}

/* Returns whether ENTRY can read the store for others in REGION.  */
static bool
can_read (const struct registry_entry *entry, struct str region)
{
  return !entry->leaving && entry->expired_at == 0 && entry->held_until == 0
         && entry->peer_address.size > 0 && str_equal (entry->region, region);
}

/* Stores the readers of REGION in READERS, with NULL in place of those that
   there are not: the most preferred entry, and the most preferred one of
   another zone, since a zone may be lost as a whole.  SELF is this entry.
   Returns how many entries there are to choose from.  */
static size_t
find_readers (const struct registry *registry,
              const struct registry_entry *self, struct str region,
              const struct registry_entry **readers)
{
  const struct registry_entry *best = NULL;
  const struct registry_entry *elsewhere = NULL;
  const struct registry_entry *beside = NULL;
  size_t count = 0;
  for (size_t i = 0; i <= registry->count; i++)
    {
      const struct registry_entry *entry
          = i < registry->count ? registry->list[i] : self;
      if ((entry != self && registry_is_self (registry, entry))
          || !can_read (entry, region))
        continue;
      count++;
      if (!best || is_preferred_reader (entry, best))
        best = entry;
    }
  for (size_t i = 0; i <= registry->count; i++)
    {
      const struct registry_entry *entry
          = i < registry->count ? registry->list[i] : self;
      if ((entry != self && registry_is_self (registry, entry))
          || entry == best || !can_read (entry, region))
        continue;
      const struct registry_entry **second
          = best && str_equal (entry->zone, best->zone) ? &beside : &elsewhere;
      if (!*second || is_preferred_reader (entry, *second))
        *second = entry;
    }
  readers[0] = best;
  readers[1] = elsewhere ? elsewhere : beside;
  return count;
}

/* public functions */

struct str
registry_reader_address (const struct registry *registry, size_t number)
{
  const struct registry_entry *readers[REGISTRY_READERS];
  struct registry_entry self = own_entry (registry);
  size_t count = find_readers (registry, &self, self.region, readers);
  bool is_reader = false;
  for (size_t i = 0; i < REGISTRY_READERS && readers[i]; i++)
    is_reader |= readers[i] == &self;
  if (is_reader || count <= REGISTRY_READERS)
    return STR ("");
  return readers[(self.hash + number) % REGISTRY_READERS]->peer_address;
}

/* Fills PEERS, which has space for REGIONS_MAX * REGISTRY_READERS, with the
   readers of all regions but this entry; returns how many.  */
static size_t
find_all_readers (const struct registry *registry,
                  const struct registry_entry **peers)
{
  struct registry_entry self = own_entry (registry);
  struct str regions[REGIONS_MAX];
  size_t region_count = 0;
  size_t peer_count = 0;
  for (size_t i = 0; i < registry->count && region_count < REGIONS_MAX; i++)
    {
      struct str region = registry->list[i]->region;
      struct str_list known = { regions, region_count };
      if (str_list_contains (&known, region))
        continue;
      regions[region_count++] = region;
      const struct registry_entry *readers[REGISTRY_READERS];
      find_readers (registry, &self, region, readers);
      for (size_t r = 0; r < REGISTRY_READERS && readers[r]; r++)
        if (readers[r] != &self)
          peers[peer_count++] = readers[r];
    }
  return peer_count;
}

size_t
registry_reader_addresses (const struct registry *registry, struct str *out,
                           size_t max_count)
{
  const struct registry_entry *peers[REGIONS_MAX * REGISTRY_READERS];
  size_t count = find_all_readers (registry, peers);
  if (count > max_count)
    count = max_count;
  for (size_t i = 0; i < count; i++)
    out[i] = peers[i]->peer_address;
  return count;
}

size_t
registry_region_addresses (const struct registry *registry, struct str *out,
                           size_t max_count)
{
  struct str region = registry->desc.settings->region;
  size_t count = 0;
  for (size_t i = 0; i < registry->count && count < max_count; i++)
    {
      const struct registry_entry *entry = registry->list[i];
      if (!registry_is_self (registry, entry) && entry->peer_address.size > 0
          && str_equal (entry->region, region))
        out[count++] = entry->peer_address;
    }
  return count;
}

struct str
registry_next_peer_address (struct registry *registry)
{
  const struct registry_entry *peers[REGIONS_MAX * REGISTRY_READERS];
  size_t peer_count = find_all_readers (registry, peers);
  size_t number = registry->next_peer++;
  if (peer_count > 0)
    return peers[number % peer_count]->peer_address;
  /* After an outage of the store all keys may have expired, while the entries
     are still there.  */
  for (size_t i = 0; i < registry->count; i++)
    {
      const struct registry_entry *entry
          = registry->list[(number + i) % registry->count];
      if (!registry_is_self (registry, entry) && entry->peer_address.size > 0)
        return entry->peer_address;
    }
  return STR ("");
}
