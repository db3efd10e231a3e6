/* Calls that wait for a free slot, by service and class.

   Calls are bound to an upstream only when a slot is free (late binding), so
   a slow upstream delays none but the calls it already has.  Short calls are
   taken first; long calls are taken when no short call waits or when the
   short ones cannot be placed.

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
  struct queue_line *line;
  void *call;
};

struct queue *queue_create (apr_pool_t *pool);
/* Appends ITEM to the line of SERVICE and CALL_CLASS.  */
void queue_add (struct queue *queue, struct str service,
                enum call_class call_class, struct queue_item *item,
                void *call);
/* Does nothing if ITEM does not wait.  */
void queue_remove (struct queue *queue, struct queue_item *item);
size_t queue_length (const struct queue *queue);
/* Returns the calls that wait in one line.  */
size_t queue_line_length (const struct queue *queue, struct str service,
                          enum call_class call_class);
/* Returns the calls of all classes that wait for SERVICE.  */
size_t queue_service_length (const struct queue *queue, struct str service);
/* Offers the first call of each line to PLACE until it returns false, short
   lines first.  PLACE must remove the call if it returns true.  */
void queue_offer (struct queue *queue, bool (*place) (void *part, void *call),
                  void *part);

#endif
