#include "call/queue.h"

/* types */

/* FIFO queue of one service and class.  */
struct class_queue
{
  struct queue_item *first;
  struct queue_item *last;
  size_t length;
};

/* The queues of one service; kept when they are empty.  */
struct service_queues
{
  struct service_queues *next;
  struct class_queue queues[CLASS_COUNT];
};

struct queue
{
  apr_pool_t *pool;
  apr_hash_t *services;         /* struct service_queues by service */
  struct service_queues *first; /* the same, as a list */
  size_t length;                /* of all queues */
};

/* private functions */

/* Returns the queues of SERVICE, created on first use.  */
static struct service_queues *
get_service_queues (struct queue *queue, struct str service)
{
  struct service_queues *queues = apr_hash_get (queue->services, service.data,
                                                (apr_ssize_t)service.size);
  if (queues)
    return queues;
  queues = apr_pcalloc (queue->pool, sizeof *queues);
  struct str key = str_dup (queue->pool, service);
  apr_hash_set (queue->services, key.data, (apr_ssize_t)key.size, queues);
  queues->next = queue->first;
  queue->first = queues;
  return queues;
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
  struct class_queue *class_queue
      = &get_service_queues (queue, service)->queues[call_class];
  item->call = call;
  item->class_queue = class_queue;
  item->next = NULL;
  item->previous = class_queue->last;
  if (class_queue->last)
    class_queue->last->next = item;
  else
    class_queue->first = item;
  class_queue->last = item;
  class_queue->length++;
  queue->length++;
}

void
queue_remove (struct queue *queue, struct queue_item *item)
{
  struct class_queue *class_queue = item->class_queue;
  if (!class_queue)
    return;
  if (item->previous)
    item->previous->next = item->next;
  else
    class_queue->first = item->next;
  if (item->next)
    item->next->previous = item->previous;
  else
    class_queue->last = item->previous;
  item->class_queue = NULL;
  class_queue->length--;
  queue->length--;
}

size_t
queue_length (const struct queue *queue)
{
  return queue->length;
}

size_t
queue_class_length (const struct queue *queue, struct str service,
                    enum call_class call_class)
{
  const struct service_queues *queues = apr_hash_get (
      queue->services, service.data, (apr_ssize_t)service.size);
  return queues ? queues->queues[call_class].length : 0;
}

size_t
queue_service_length (const struct queue *queue, struct str service)
{
  size_t length = 0;
  for (int call_class = 0; call_class < CLASS_COUNT; call_class++)
    length += queue_class_length (queue, service, (enum call_class)call_class);
  return length;
}

void
queue_offer (struct queue *queue,
             bool (*try_dispatch) (void *user_data, void *call),
             void *user_data)
{
  if (queue->length == 0)
    return;
  for (struct service_queues *s = queue->first; s; s = s->next)
    for (int call_class = 0; call_class < CLASS_COUNT; call_class++)
      while (s->queues[call_class].first
             && try_dispatch (user_data, s->queues[call_class].first->call))
        ;
}
