#include "fleet/departed.h"

#include <stdlib.h>
#include <string.h>

/* types */

struct departed_item
{
  struct departed_item *next;
  int64_t incarnation;
  apr_time_t left_at;
  size_t size; /* of the name */
  char name[];
};

/* Few leave within a minute, so that a list is enough.  */
struct departed
{
  struct departed_item *first;
};

/* constants */

/* Several times as old as a copy from which the store comes back.  */
static const apr_time_t memory_us = 60000000;

/* private functions */

/* Frees the item to which LINK points.  */
static void
free_item (struct departed_item **link)
{
  struct departed_item *item = *link;
  *link = item->next;
  free (item);
}

/* Returns the link to the item NAME, or to NULL.  */
static struct departed_item **
find_link (struct departed *departed, struct str name)
{
  struct departed_item **link = &departed->first;
  while (*link && !str_equal (str_view ((*link)->name, (*link)->size), name))
    link = &(*link)->next;
  return link;
}

/* public functions */

struct departed *
departed_create (void)
{
  struct departed *departed = calloc (1, sizeof *departed);
  if (!departed)
    abort ();
  return departed;
}

void
departed_destroy (struct departed *departed)
{
  while (departed && departed->first)
    free_item (&departed->first);
  free (departed);
}

void
departed_add (struct departed *departed, struct str name, int64_t incarnation,
              apr_time_t now)
{
  departed_forget (departed, name);
  struct departed_item *item = malloc (sizeof *item + name.size + 1);
  if (!item)
    abort ();
  item->next = departed->first;
  item->incarnation = incarnation;
  item->left_at = now;
  item->size = name.size;
  if (name.size > 0)
    memcpy (item->name, name.data, name.size);
  departed->first = item;
}

bool
departed_find (struct departed *departed, struct str name,
               int64_t *incarnation)
{
  const struct departed_item *item = *find_link (departed, name);
  if (item)
    *incarnation = item->incarnation;
  return item != NULL;
}

void
departed_forget (struct departed *departed, struct str name)
{
  struct departed_item **link = find_link (departed, name);
  if (*link)
    free_item (link);
}

void
departed_expire (struct departed *departed, apr_time_t now)
{
  struct departed_item **link = &departed->first;
  while (*link)
    if (now - (*link)->left_at > memory_us)
      free_item (link);
    else
      link = &(*link)->next;
}
