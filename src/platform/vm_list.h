/* Polls the platform's list of live and leaving VMs.

   GET URL returns {"vms":[{"name","zone","peers","address","state"}]}.
   "peers" is the address of an entry VM for other entries, "address" that of
   an upstream VM; "state" is "live" or "leaving".  The list lags behind, so a
   VM that it lacks may still run: the list adds addresses of entries to
   connect to and marks upstreams as leaving, but no upstream is dropped for
   not being in it.

     struct vm_list *list = vm_list_create (pool, &desc);
     vm_list_start (list);
     vm_list_set_entry_count (list, entries);   when the number changes

   The interval between requests grows with the number of entries, so that the
   rate of all entries together stays the same.  A failed request is repeated
   after the same interval.  Threads: the control loop's thread only.  */
#ifndef PLATFORM_VM_LIST_H
#define PLATFORM_VM_LIST_H

#include "base/http_client.h"

struct vm_list;

/* One VM of the list; the strings are valid during the callback.  */
struct vm
{
  struct str name;
  struct str
      peer_address;   /* IP:PORT for other entries; empty unless an entry */
  struct str address; /* IP:PORT; empty unless it is an upstream */
  bool leaving;
};

struct vm_list_desc
{
  struct loop *loop;
  struct http_client *client;
  struct str url;  /* empty: vm_list_start does nothing */
  int64_t poll_ms; /* mean interval with up to 11 entries */
  /* Called with each list that was received.  */
  void (*vms_received) (void *user_data, const struct vm *vms, size_t count);
  void *user_data;
};

/* Creates the poller in POOL; it sends nothing yet.  DESC is copied.  */
struct vm_list *vm_list_create (apr_pool_t *pool,
                                const struct vm_list_desc *desc);
/* Sends the first request; further ones follow until vm_list_destroy.  */
void vm_list_start (struct vm_list *list);
/* Stops polling.  Called after the loop has ended, since a response would
   start the next interval.  LIST may be NULL.  */
void vm_list_destroy (struct vm_list *list);
/* Sets the number of entries in the system, from the next interval on: with
   more than 11 of them it grows in proportion.  */
void vm_list_set_entry_count (struct vm_list *list, size_t entries);

#endif
