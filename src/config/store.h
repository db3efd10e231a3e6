/* The platform's key-value store, as a table of functions.

   Every call is asynchronous and answers exactly once on the loop's thread.
   An answer's code says what is known:
     ERR_NONE         done; `index' and, for reads, `value' are set
     ERR_NOT_FOUND    the key does not exist; `index' is set
     ERR_CONFLICT     compare-and-swap: the index differs, nothing was written
     ERR_UNAVAILABLE  the request did not leave, nothing was done
     ERR_UNKNOWN      no answer: a write may or may not take effect, even
                      later

     store->ops->get (store, "citroncleat/config", on_value, part);

   `store_kv_create' makes the adapter for the platform's HTTP interface:
   GET and PUT /v1/kv/KEY with ?raw, ?cas=INDEX, ?index=INDEX&wait=MSms, and
   the X-Consul-Index header.  Threads: the loop's thread only.  */
#ifndef CONFIG_STORE_H
#define CONFIG_STORE_H

#include "base/counter.h"
#include "base/http_client.h"

struct store;

struct store_answer
{
  enum err_code code;
  int64_t index;
  struct str value; /* valid during the call */
};

typedef void store_fn (void *part, const struct store_answer *answer);

struct store_ops
{
  void (*get) (struct store *store, const char *key, store_fn *done,
               void *part);
  /* Writes VALUE if the key's index is INDEX; 0: if it does not exist.  */
  void (*compare_and_swap) (struct store *store, const char *key,
                            int64_t index, struct str value, store_fn *done,
                            void *part);
  /* As get, but answers when the index differs from INDEX or after
     WAIT_MS.  */
  void (*watch) (struct store *store, const char *key, int64_t index,
                 int64_t wait_ms, store_fn *done, void *part);
};

struct store
{
  const struct store_ops *ops;
};

struct store_kv_desc
{
  struct http_client *client;
  struct counters *counters;
  struct str url;
  int64_t timeout_ms;
};

struct store *store_kv_create (apr_pool_t *pool,
                               const struct store_kv_desc *desc);

#endif
