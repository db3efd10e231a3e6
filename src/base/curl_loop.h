/* libcurl's multi interface on an event loop.

   Call order: curl_loop_create, then curl_loop_add for each transfer; the
   transfer's `done' function is called once unless curl_loop_remove comes
   first.  The easy handle's CURLOPT_PRIVATE belongs to this module.

   Threads: the loop's thread only.  */
#ifndef BASE_CURL_LOOP_H
#define BASE_CURL_LOOP_H

#include "base/loop.h"

#include <curl/curl.h>

struct curl_loop;

/* One transfer, embedded in its owner.  */
struct curl_transfer
{
  CURL *easy;
  void (*done) (void *owner, CURLcode result);
  void *owner;
};

enum err_code curl_loop_create (apr_pool_t *pool, struct loop *loop,
                                long idle_connections,
                                struct curl_loop **result, struct err *err);
void curl_loop_destroy (struct curl_loop *curl_loop);
/* Returns an easy handle with default options; handles are kept for reuse,
   because making one costs more than a small call.  */
CURL *curl_loop_take_easy (struct curl_loop *curl_loop);
/* Gives back a handle that has no transfer in progress.  */
void curl_loop_give_easy (struct curl_loop *curl_loop, CURL *easy);
/* Starts TRANSFER, whose three fields are set.  */
enum err_code curl_loop_add (struct curl_loop *curl_loop,
                             struct curl_transfer *transfer);
/* Ends TRANSFER without calling `done'; the connection is closed.  */
void curl_loop_remove (struct curl_loop *curl_loop,
                       struct curl_transfer *transfer);
/* Continues a transfer that one of its functions paused.  */
void curl_loop_unpause (struct curl_transfer *transfer);

#endif
