/* The platform's list of live and leaving VMs.

   GET URL gives {"vms":[{"name","zone","peers","state"}]}: for an entry VM
   its address for other entries, for an upstream VM its "address"; "state"
   is "live" or "leaving".  The list lags, so it only adds: addresses to
   dial, and upstreams that leave.

   The interval between questions grows with the fleet, so that all entries
   together ask at a rate that does not.  Threads: the control loop's thread
   only.  */
#ifndef PLATFORM_VM_LIST_H
#define PLATFORM_VM_LIST_H

#include "base/http_client.h"

struct vm_list;

/* One VM of the list.  */
struct vm
{
  struct str name;
  struct str peers;   /* empty unless it is an entry */
  struct str address; /* empty unless it is an upstream */
  bool leaving;
};

struct vm_list_desc
{
  struct loop *loop;
  struct http_client *client;
  struct str url;
  int64_t poll_ms;
  void (*seen) (void *part, const struct vm *vms, size_t count);
  void *part;
};

struct vm_list *vm_list_create (apr_pool_t *pool,
                                const struct vm_list_desc *desc);
void vm_list_start (struct vm_list *list);
void vm_list_destroy (struct vm_list *list);
/* Sets the number of entries, which stretches the interval.  */
void vm_list_set_fleet (struct vm_list *list, size_t entries);

#endif
