/* The queue of requests that wait for a slot: one doubly linked list for each
   priority level.  */
#include "gateway/internal.h"

/* private functions */

static size_t
priority_level (const struct request *request)
{
  int64_t priority = request->priority;
  if (priority < 0)
    return 0;
  return priority < PRIORITY_LEVELS ? (size_t)priority : PRIORITY_LEVELS - 1;
}

/* public functions */

void
wait_queue_add (struct request *request)
{
  struct gateway *gateway = request->gateway;
  size_t level = priority_level (request);
  request->queue_next = NULL;
  request->queue_prev = gateway->queue_tails[level];
  if (request->queue_prev)
    request->queue_prev->queue_next = request;
  else
    gateway->queue_heads[level] = request;
  gateway->queue_tails[level] = request;
  request->is_queued = true;
  request->service->queued[request->region]++;
}

void
wait_queue_remove (struct request *request)
{
  struct gateway *gateway = request->gateway;
  if (!request->is_queued)
    return;
  size_t level = priority_level (request);
  if (request->queue_prev)
    request->queue_prev->queue_next = request->queue_next;
  else
    gateway->queue_heads[level] = request->queue_next;
  if (request->queue_next)
    request->queue_next->queue_prev = request->queue_prev;
  else
    gateway->queue_tails[level] = request->queue_prev;
  request->is_queued = false;
  request->service->queued[request->region]--;
}

void
wait_queue_dispatch (struct gateway *gateway)
{
  /* Once a request has found no slot in a region, the requests of that service
     behind it would find none there either and are skipped.  */
  if (store_sync_is_catching_up (gateway->store_sync))
    return;
  uint64_t scan = ++gateway->queue_scan_number;
  for (size_t level = 0; level < PRIORITY_LEVELS; level++)
    {
      struct request *next;
      for (struct request *request = gateway->queue_heads[level]; request;
           request = next)
        {
          next = request->queue_next;
          /* Admitting the one before may have refused it.  */
          if (!request->is_queued)
            continue;
          /* In a region that has lost all its slots none will become free. */
          if (request->service->region_loads[request->region].slots <= 0)
            dispatch_readmit (request);
          else if (request->service->scan_without_slot[request->region] != scan
                   && !dispatch_try_send (request))
            request->service->scan_without_slot[request->region] = scan;
        }
    }
}

void
wait_queue_admit_held (struct gateway *gateway)
{
  for (size_t level = 0; level < PRIORITY_LEVELS; level++)
    {
      struct request *next;
      for (struct request *request = gateway->queue_heads[level]; request;
           request = next)
        {
          next = request->queue_next;
          /* Admitting the one before may have refused it.  */
          if (!request->is_queued)
            continue;
          if (request->awaits_changes)
            dispatch_readmit (request);
        }
    }
}
