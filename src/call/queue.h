/* Calls that wait for a free slot: one FIFO queue for each service and class.

   Calls are bound to an upstream only when a slot is free (late binding), so
   that a slow upstream delays only the calls that it already runs.  Short
   calls are dispatched first; long calls are dispatched when no short call of
   the service waits, or when no short call can be dispatched.

     queue_add (queue, service, CLASS_SHORT, &call->item, call);
     queue_offer (queue, try_dispatch, user_data);    when a slot was freed
     queue_remove (queue, &call->item);               when the call ended

   Threads: one thread.  */
#ifndef CALL_QUEUE_H
#define CALL_QUEUE_H

#include "resource/resource.h"

struct queue;

/* The place of one waiting call, embedded in it; zero it before use.  */
struct queue_item
{
  struct queue_item *next;
  struct queue_item *previous;
  struct class_queue *class_queue; /* NULL: not waiting */
  void *call;
};

/* Makes an empty queue, valid as long as POOL.  Its length has no limit here;
   the caller checks queue_length before it adds.  */
struct queue *queue_create (apr_pool_t *pool);
/* Appends ITEM to the queue of SERVICE and CALL_CLASS; CALL is what
   queue_offer passes on.  */
void queue_add (struct queue *queue, struct str service,
                enum call_class call_class, struct queue_item *item,
                void *call);
/* Removes ITEM; does nothing if it does not wait.  */
void queue_remove (struct queue *queue, struct queue_item *item);
/* Returns the number of all waiting calls.  */
size_t queue_length (const struct queue *queue);
/* Returns the number of calls of CALL_CLASS that wait for SERVICE.  */
size_t queue_class_length (const struct queue *queue, struct str service,
                           enum call_class call_class);
/* Returns the number of calls of all classes that wait for SERVICE.  */
size_t queue_service_length (const struct queue *queue, struct str service);
/* Called by the worker when a slot may have become free.  For each service and
   class, short calls first: passes the first waiting call
   to TRY_DISPATCH until that returns false.  TRY_DISPATCH must remove the call
   from the queue if it returns true.  */
void queue_offer (struct queue *queue,
                  bool (*try_dispatch) (void *user_data, void *call),
                  void *user_data);

#endif
