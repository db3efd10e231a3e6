#include "balance/spread.h"

#include <math.h>
#include <string.h>

/* constants */

/* Slots left free, in square roots of all: as many as keep nearly every
   request from finding its upstreams full.  */
static const double headroom = 3.2;
static const double full_least = 0.5;
/* Two regions this close in fullness are not moved between.  */
static const double full_margin = 0.1;
/* From this fullness of the other region on, the difference that is asked for
   grows by the steepness times what lies beyond it.  */
static const double full_busy = 0.45;
static const double full_steepness = 0.6;
/* Part of the own region's slots in use below which requests return there.
   Half of what a region that its callers fill at the peak of a wave of 55 %
   has in use at the trough, since demand swings faster than requests may move.
 */
static const double home_below = 0.15;
/* A region fuller than this takes no single requests of others.  */
static const double full_other = 0.65;
/* Keeps a little traffic to each region, whose answers tell its load.  */
static const double least_part = 0.02;

/* private functions */

static double
fullness (const struct balance_room *room)
{
  return room->slots > 0 ? room->busy / room->slots : 2.0;
}

/* Divides as if every region had the same demand: each keeps what its slots
   bear, the rest goes where slots are left over.  */
static void
divide_by_slots (struct spread *spread, const struct balance_room *rooms)
{
  double total = 0.0;
  double spare = 0.0;
  for (size_t i = 0; i < spread->region_count; i++)
    total += rooms[i].slots;
  double fair = total / (double)spread->region_count;
  memset (spread->parts, 0, sizeof spread->parts);
  if (total <= 0)
    {
      spread->parts[spread->own_region] = 1.0;
      return;
    }
  double own = rooms[spread->own_region].slots / fair;
  spread->parts[spread->own_region] = own < 1.0 ? own : 1.0;
  for (size_t i = 0; i < spread->region_count; i++)
    if (i != spread->own_region && rooms[i].slots > fair)
      spare += rooms[i].slots - fair;
  for (size_t i = 0; i < spread->region_count && own < 1.0; i++)
    if (i != spread->own_region && rooms[i].slots > fair && spare > 0)
      spread->parts[i] = (1.0 - own) * (rooms[i].slots - fair) / spare;
}

static size_t
least_full (const struct spread *spread, const struct balance_room *rooms)
{
  size_t best = SPREAD_REGIONS_MAX;
  for (size_t i = 0; i < spread->region_count; i++)
    if (i != spread->own_region && rooms[i].slots > 0
        && (best == SPREAD_REGIONS_MAX
            || fullness (&rooms[i]) < fullness (&rooms[best])))
      best = i;
  return best;
}

static size_t
fullest_used (const struct spread *spread, const struct balance_room *rooms)
{
  size_t best = SPREAD_REGIONS_MAX;
  for (size_t i = 0; i < spread->region_count; i++)
    if (i != spread->own_region && spread->parts[i] > least_part
        && (best == SPREAD_REGIONS_MAX
            || fullness (&rooms[i]) > fullness (&rooms[best])))
      best = i;
  return best;
}

/* Returns the fullness from which single upstreams of the region of ROOM are
   full at times: by the square-root rule, the fewer slots, the earlier.  */
static double
full_from (const struct balance_room *room)
{
  double full
      = room->slots > 0 ? 1.0 - headroom / sqrt (room->slots) : full_least;
  return full > full_least ? full : full_least;
}

/* Returns by how much the own region must be fuller than that of ROOM before
   requests move there.  The fuller that one is, the more its slots are worth
   to its own callers, who are near.  */
static double
margin_to (const struct balance_room *room)
{
  double over = fullness (room) - full_busy;
  return full_margin + (over > 0 ? over * full_steepness : 0.0);
}

static void
move (struct spread *spread, size_t from, size_t to, double part)
{
  if (part > spread->parts[from])
    part = spread->parts[from];
  spread->parts[from] -= part;
  spread->parts[to] += part;
}

/* public functions */

void
spread_init (struct spread *spread, size_t count, size_t own, double pace)
{
  memset (spread, 0, sizeof *spread);
  spread->region_count
      = count < SPREAD_REGIONS_MAX ? count : SPREAD_REGIONS_MAX;
  spread->own_region = own;
  spread->max_shift_per_s = pace;
}

void
spread_update (struct spread *spread, const struct balance_room *rooms,
               apr_time_t now)
{
  if (spread->updated_at == 0)
    {
      divide_by_slots (spread, rooms);
      spread->updated_at = now;
      return;
    }
  double step = spread->max_shift_per_s * (double)(now - spread->updated_at)
                / APR_USEC_PER_SEC;
  spread->updated_at = now;
  double own = fullness (&rooms[spread->own_region]);
  double full = full_from (&rooms[spread->own_region]);
  size_t out = least_full (spread, rooms);
  size_t back = fullest_used (spread, rooms);
  if (out < spread->region_count && own > full
      && own > fullness (&rooms[out]) + margin_to (&rooms[out]))
    move (spread, spread->own_region, out, step);
  else if (back < spread->region_count
           && (own < home_below
               || fullness (&rooms[back]) > own + full_margin))
    move (spread, back, spread->own_region, step);
}

size_t
spread_pick (const struct spread *spread, uint64_t object, const bool *allowed)
{
  double total = 0.0;
  size_t last = SPREAD_REGIONS_MAX;
  for (size_t i = 0; i < spread->region_count; i++)
    if (allowed[i])
      {
        total += spread->parts[i];
        if (last == SPREAD_REGIONS_MAX || i == spread->own_region)
          last = i;
      }
  /* The own region comes first, so that its objects stay when parts move.  */
  double point = (double)(object >> 11) / (double)(1ULL << 53) * total;
  if (allowed[spread->own_region])
    {
      if (point < spread->parts[spread->own_region] || total <= 0)
        return spread->own_region;
      point -= spread->parts[spread->own_region];
    }
  for (size_t i = 0; i < spread->region_count; i++)
    {
      if (!allowed[i] || i == spread->own_region)
        continue;
      if (point < spread->parts[i])
        return i;
      point -= spread->parts[i];
    }
  return last;
}

size_t
spread_other (const struct spread *spread, const struct balance_room *rooms,
              size_t but, const bool *allowed)
{
  size_t best = SPREAD_REGIONS_MAX;
  for (size_t i = 0; i < spread->region_count; i++)
    if (allowed[i] && i != but && fullness (&rooms[i]) < full_other
        && (best == SPREAD_REGIONS_MAX
            || fullness (&rooms[i]) < fullness (&rooms[best])))
      best = i;
  return best;
}
