#include "call/queue.h"

/* types */

struct queue_line
{
  struct queue_item *first;
  struct queue_item *last;
  size_t length;
};

struct service_lines
{
  struct service_lines *next;
  struct queue_line lines[CLASS_COUNT];
};

struct queue
{
  apr_pool_t *pool;
  apr_hash_t *services;
  struct service_lines *first;
  size_t length;
};

/* private functions */

static struct service_lines *
lines_of (struct queue *queue, struct str service)
{
  struct service_lines *lines = apr_hash_get (queue->services, service.data,
                                              (apr_ssize_t)service.size);
  if (lines)
    return lines;
  lines = apr_pcalloc (queue->pool, sizeof *lines);
  struct str key = str_dup (queue->pool, service);
  apr_hash_set (queue->services, key.data, (apr_ssize_t)key.size, lines);
  lines->next = queue->first;
  queue->first = lines;
  return lines;
}

/* public functions */

struct queue *
queue_create (apr_pool_t *pool)
{
  struct queue *queue = apr_pcalloc (pool, sizeof *queue);
  queue->pool = pool;
  queue->services = apr_hash_make (pool);
  return queue;
}

void
queue_add (struct queue *queue, struct str service, enum call_class call_class,
           struct queue_item *item, void *call)
{
  struct queue_line *line = &lines_of (queue, service)->lines[call_class];
  item->call = call;
  item->line = line;
  item->next = NULL;
  item->previous = line->last;
  if (line->last)
    line->last->next = item;
  else
    line->first = item;
  line->last = item;
  line->length++;
  queue->length++;
}

void
queue_remove (struct queue *queue, struct queue_item *item)
{
  struct queue_line *line = item->line;
  if (!line)
    return;
  if (item->previous)
    item->previous->next = item->next;
  else
    line->first = item->next;
  if (item->next)
    item->next->previous = item->previous;
  else
    line->last = item->previous;
  item->line = NULL;
  line->length--;
  queue->length--;
}

size_t
queue_length (const struct queue *queue)
{
  return queue->length;
}

size_t
queue_line_length (const struct queue *queue, struct str service,
                   enum call_class call_class)
{
  const struct service_lines *lines = apr_hash_get (
      queue->services, service.data, (apr_ssize_t)service.size);
  return lines ? lines->lines[call_class].length : 0;
}

size_t
queue_service_length (const struct queue *queue, struct str service)
{
  size_t length = 0;
  for (int class = 0; class < CLASS_COUNT; class ++)
    length += queue_line_length (queue, service, (enum call_class) class);
  return length;
}

void
queue_offer (struct queue *queue, bool (*place) (void *part, void *call),
             void *part)
{
  if (queue->length == 0)
    return;
  for (struct service_lines *s = queue->first; s; s = s->next)
    for (int class = 0; class < CLASS_COUNT; class ++)
      while (s->lines[class].first
             && place (part, s->lines[class].first->call))
        ;
}
