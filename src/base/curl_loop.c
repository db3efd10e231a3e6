#include "base/curl_loop.h"

#include <stdlib.h>

/* types */

struct curl_loop
{
  struct loop *loop;
  CURLM *multi;
  struct timer timer;
};

/* private functions */

/* Reports the transfers that libcurl has completed.  */
static void
finish_transfers (struct curl_loop *cl)
{
  CURLMsg *message;
  int messages_left;
  while ((message = curl_multi_info_read (cl->multi, &messages_left)))
    {
      if (message->msg != CURLMSG_DONE)
        continue;
      CURLcode result = message->data.result;
      struct curl_transfer *transfer = NULL;
      curl_easy_getinfo (message->easy_handle, CURLINFO_PRIVATE, &transfer);
      curl_multi_remove_handle (cl->multi, message->easy_handle);
      transfer->done (transfer->user_data, result);
    }
}

static void
on_socket_ready (void *user_data, int fd, int events)
{
  struct curl_loop *cl = user_data;
  int mask = 0;
  if (events & LOOP_READ)
    mask |= CURL_CSELECT_IN;
  if (events & LOOP_WRITE)
    mask |= CURL_CSELECT_OUT;
  if (events & LOOP_HANGUP)
    mask |= CURL_CSELECT_ERR;
  int running;
  curl_multi_socket_action (cl->multi, fd, mask, &running);
  finish_transfers (cl);
}

static void
on_timeout (void *user_data, apr_time_t now)
{
  (void)now;
  struct curl_loop *cl = user_data;
  int running;
  curl_multi_socket_action (cl->multi, CURL_SOCKET_TIMEOUT, 0, &running);
  finish_transfers (cl);
}

/* CURLMOPT_SOCKETFUNCTION: libcurl asks for other events on a socket.  */
static int
on_socket_change (CURL *easy, curl_socket_t fd, int action, void *user_data,
                  void *unused)
{
  (void)easy;
  (void)unused;
  struct curl_loop *cl = user_data;
  int events = 0;
  if (action == CURL_POLL_REMOVE)
    {
      loop_unwatch (cl->loop, fd);
      return 0;
    }
  if (action & CURL_POLL_IN)
    events |= LOOP_READ;
  if (action & CURL_POLL_OUT)
    events |= LOOP_WRITE;
  if (events)
    loop_watch (cl->loop, fd, events, on_socket_ready, cl);
  else
    loop_unwatch (cl->loop, fd);
  return 0;
}

/* CURLMOPT_TIMERFUNCTION: libcurl asks for a call after TIMEOUT_MS, or for
   none if it is negative.  */
static int
on_timer_change (CURLM *multi, long timeout_ms, void *user_data)
{
  (void)multi;
  struct curl_loop *cl = user_data;
  struct timer_service *timers = loop_timers (cl->loop);
  if (timeout_ms < 0)
    timer_stop (timers, &cl->timer);
  else
    timer_start (timers, &cl->timer, timer_clock () + TIMER_MS (timeout_ms),
                 on_timeout, cl);
  return 0;
}

/* public functions */

enum err_code
curl_loop_create (apr_pool_t *pool, struct loop *loop,
                  long max_idle_connections, struct curl_loop **result,
                  struct err *err)
{
  struct curl_loop *cl = apr_pcalloc (pool, sizeof *cl);
  cl->loop = loop;
  cl->multi = curl_multi_init ();
  if (!cl->multi)
    return err_set (err, ERR_IO, "create HTTP client", NULL, "no memory");
  curl_multi_setopt (cl->multi, CURLMOPT_SOCKETFUNCTION, on_socket_change);
  curl_multi_setopt (cl->multi, CURLMOPT_SOCKETDATA, cl);
  curl_multi_setopt (cl->multi, CURLMOPT_TIMERFUNCTION, on_timer_change);
  curl_multi_setopt (cl->multi, CURLMOPT_TIMERDATA, cl);
  curl_multi_setopt (cl->multi, CURLMOPT_MAXCONNECTS, max_idle_connections);
  curl_multi_setopt (cl->multi, CURLMOPT_PIPELINING, CURLPIPE_NOTHING);
  *result = cl;
  return ERR_NONE;
}

void
curl_loop_destroy (struct curl_loop *cl)
{
  if (!cl)
    return;
  curl_multi_cleanup (cl->multi);
  timer_stop (loop_timers (cl->loop), &cl->timer);
}

enum err_code
curl_loop_add (struct curl_loop *cl, struct curl_transfer *transfer)
{
  curl_easy_setopt (transfer->easy, CURLOPT_PRIVATE, transfer);
  if (curl_multi_add_handle (cl->multi, transfer->easy) != CURLM_OK)
    return ERR_IO;
  return ERR_NONE;
}

void
curl_loop_remove (struct curl_loop *cl, struct curl_transfer *transfer)
{
  curl_multi_remove_handle (cl->multi, transfer->easy);
}

void
curl_loop_unpause (struct curl_transfer *transfer)
{
  curl_easy_pause (transfer->easy, CURLPAUSE_CONT);
}
