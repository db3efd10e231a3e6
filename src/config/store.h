/* The platform's key-value store: an interface of function pointers.

   Every call is asynchronous and invokes its callback exactly once, on the
   loop's thread.  The code of a response says what is known:
     ERR_NONE         success; `index' and, for reads, `value' are set
     ERR_NOT_FOUND    the key does not exist; `index' is set
     ERR_CONFLICT     compare-and-swap: the key's index differs, nothing was
                      written
     ERR_UNAVAILABLE  the request was not sent, or a read failed; nothing was
                      written
     ERR_UNKNOWN      a write without a response, or with an error status: it
                      may have taken effect, or may still do so

     store->ops->get (store, "citroncleat/config", on_value, user_data);

   store_kv_create makes the adapter for the platform's HTTP interface:
   GET and PUT /v1/kv/KEY with ?raw, ?cas=INDEX, ?index=INDEX&wait=MSms, and
   the X-Consul-Index header.

   A store that comes back from an older copy has lost what it acknowledged
   since, and gives indexes out again.  Its epoch, a number above 0, is then
   greater than before; indexes of different epochs can't be compared.

   Units: milliseconds, except `age' in microseconds.  Threads: the loop's
   thread only.  */
#ifndef CONFIG_STORE_H
#define CONFIG_STORE_H

#include "base/counter.h"
#include "base/http_client.h"

struct store;

struct store_response
{
  enum err_code code;
  int64_t index;    /* of the key's last write; of a new lease: its number */
  struct str value; /* valid during the call */
  int64_t epoch;    /* of the store; 0: not stated */
};

typedef void store_done_fn (void *user_data,
                            const struct store_response *response);

/* One key with its value, or its removal.  */
struct store_item
{
  struct str key;
  struct str value;
  int64_t index; /* of the write or the removal */
  bool is_removed;
  bool may_be_expired; /* removed at a time when its owner may have been unable
                  to renew its lease */
};

/* The response to a list or a watch_prefix, valid during the call.  The next
   watch_prefix starts at `index', which may be before the store's own.
   ERR_NOT_FOUND from watch_prefix means that the store no longer has the
   changes after the requested index: the keys must be listed again.  */
struct store_items_response
{
  enum err_code code;
  const struct store_item *items;
  size_t count;
  int64_t index;
  apr_time_t age; /* of the data, if it is another entry's copy; else 0 */
  /* As large as the store makes a response, so that there may be more changes
     after `index' already.  */
  bool is_full;
  int64_t epoch; /* of the store, or of the copy; 0: not stated */
};

typedef void store_items_done_fn (void *user_data,
                                  const struct store_items_response *response);

struct store_ops
{
  /* Reads the value of KEY.  */
  void (*get) (struct store *store, const char *key, store_done_fn *done,
               void *user_data);
  /* Writes VALUE if the key's index is INDEX; with 0, if the key does not
     exist.  */
  void (*compare_and_swap) (struct store *store, const char *key,
                            int64_t index, struct str value,
                            store_done_fn *done, void *user_data);
  /* As get, but responds when the key's index differs from INDEX, or after
     WAIT_MS.  */
  void (*watch) (struct store *store, const char *key, int64_t index,
                 int64_t wait_ms, store_done_fn *done, void *user_data);
  /* The functions below are NULL in a store that does not support them.  */
  /* Reads all keys that begin with PREFIX.  MAY_BE_STALE: the result may be
     seconds old, at a fraction of the cost to the store; its index says of
     which moment it is.  */
  void (*list) (struct store *store, const char *prefix, bool may_be_stale,
                store_items_done_fn *done, void *user_data);
  /* Reads the changes after INDEX of the keys that begin with PREFIX; waits up
     to WAIT_MS for the first one.  */
  void (*watch_prefix) (struct store *store, const char *prefix, int64_t index,
                        int64_t wait_ms, store_items_done_fn *done,
                        void *user_data);
  /* Creates a lease that expires TTL_MS after its creation or last renewal;
     `index' of the response is its number.  */
  void (*open_lease) (struct store *store, int64_t ttl_ms, store_done_fn *done,
                      void *user_data);
  /* Renews LEASE; ERR_NOT_FOUND: it has expired.  */
  void (*renew_lease) (struct store *store, int64_t lease, store_done_fn *done,
                       void *user_data);
  /* Writes VALUE; the store removes the key when LEASE expires.
     ERR_NOT_FOUND: there is no such lease.  */
  void (*put) (struct store *store, const char *key, struct str value,
               int64_t lease, store_done_fn *done, void *user_data);
};

/* A store; each adapter's struct has this as its first member.  */
struct store
{
  const struct store_ops *ops;
};

struct store_kv_desc
{
  struct http_client *client;
  struct counters *counters;
  struct str url;     /* base URL of the store */
  int64_t timeout_ms; /* of a request; a watch's wait is added */
};

/* Returns a store in POOL with `get', `compare_and_swap' and `watch'.  */
struct store *store_kv_create (apr_pool_t *pool,
                               const struct store_kv_desc *desc);

#endif
