/* libcurl's multi interface on an event loop.

   Call order: curl_loop_create, then curl_loop_add for each transfer.  Each
   transfer ends by exactly one of two ways: its completion function is called
   once, or the owner calls curl_loop_remove first.

     transfer->easy = curl_easy_init ();
     curl_easy_setopt (transfer->easy, CURLOPT_URL, url);
     curl_loop_add (curl_loop, transfer);

   The easy handle stays the owner's, who cleans it up after the transfer. Each
   transfer needs a new one: libcurl 7.88 keeps a pointer to the last field of
   a handle's earlier response, and writes there if a head begins with a folded
   line.  Its CURLOPT_PRIVATE is reserved for this module.

   Threads: the loop's thread only.  */
#ifndef BASE_CURL_LOOP_H
#define BASE_CURL_LOOP_H

#include "base/loop.h"

#include <curl/curl.h>

struct curl_loop;

/* One transfer, embedded in the struct of the caller.  The caller sets all
   three fields before curl_loop_add.  */
struct curl_transfer
{
  CURL *easy;
  /* Called once, with the last field, after the transfer has ended and EASY
     has left the multi handle.  It may start transfers, but not destroy the
     curl_loop.  */
  void (*done) (void *user_data, CURLcode result);
  void *user_data;
};

/* Creates a multi handle on LOOP that keeps up to MAX_IDLE_CONNECTIONS
   connections open for reuse.  */
enum err_code curl_loop_create (apr_pool_t *pool, struct loop *loop,
                                long max_idle_connections,
                                struct curl_loop **result, struct err *err);
/* Ends CURL_LOOP; all transfers must have ended or been removed.  NULL is
   ignored.  */
void curl_loop_destroy (struct curl_loop *curl_loop);
/* Starts TRANSFER.  If it fails, the completion function is not called.  */
enum err_code curl_loop_add (struct curl_loop *curl_loop,
                             struct curl_transfer *transfer);
/* Aborts TRANSFER without calling its completion function; its connection is
   closed.  */
void curl_loop_remove (struct curl_loop *curl_loop,
                       struct curl_transfer *transfer);
/* Resumes a transfer that one of its libcurl callbacks paused.  */
void curl_loop_unpause (struct curl_transfer *transfer);

#endif
