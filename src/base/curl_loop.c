#include "base/curl_loop.h"

#include <stdlib.h>

/* types */

enum
{
  IDLE_HANDLES_MAX = 256
};

struct curl_loop
{
  CURL *idle[IDLE_HANDLES_MAX];
  size_t idle_count;
  struct loop *loop;
  CURLM *multi;
  struct timer timer;
};

/* private functions */

static void
collect (struct curl_loop *cl)
{
  CURLMsg *message;
  int left;
  while ((message = curl_multi_info_read (cl->multi, &left)))
    {
      if (message->msg != CURLMSG_DONE)
        continue;
      CURLcode result = message->data.result;
      struct curl_transfer *transfer = NULL;
      curl_easy_getinfo (message->easy_handle, CURLINFO_PRIVATE, &transfer);
      curl_multi_remove_handle (cl->multi, message->easy_handle);
      transfer->done (transfer->owner, result);
    }
}

static void
on_ready (void *part, int fd, int events)
{
  struct curl_loop *cl = part;
  int mask = 0;
  if (events & LOOP_READ)
    mask |= CURL_CSELECT_IN;
  if (events & LOOP_WRITE)
    mask |= CURL_CSELECT_OUT;
  if (events & LOOP_HANGUP)
    mask |= CURL_CSELECT_ERR;
  int running;
  curl_multi_socket_action (cl->multi, fd, mask, &running);
  collect (cl);
}

static void
on_due (void *part, apr_time_t now)
{
  (void)now;
  struct curl_loop *cl = part;
  int running;
  curl_multi_socket_action (cl->multi, CURL_SOCKET_TIMEOUT, 0, &running);
  collect (cl);
}

static int
on_socket (CURL *easy, curl_socket_t fd, int what, void *part, void *unused)
{
  (void)easy;
  (void)unused;
  struct curl_loop *cl = part;
  int events = 0;
  if (what == CURL_POLL_REMOVE)
    {
      loop_unwatch (cl->loop, fd);
      return 0;
    }
  if (what & CURL_POLL_IN)
    events |= LOOP_READ;
  if (what & CURL_POLL_OUT)
    events |= LOOP_WRITE;
  if (events)
    loop_watch (cl->loop, fd, events, on_ready, cl);
  else
    loop_unwatch (cl->loop, fd);
  return 0;
}

static int
on_timer (CURLM *multi, long wait_ms, void *part)
{
  (void)multi;
  struct curl_loop *cl = part;
  struct timer_service *timers = loop_timers (cl->loop);
  if (wait_ms < 0)
    timer_stop (timers, &cl->timer);
  else
    timer_start (timers, &cl->timer, timer_clock () + TIMER_MS (wait_ms),
                 on_due, cl);
  return 0;
}

/* public functions */

enum err_code
curl_loop_create (apr_pool_t *pool, struct loop *loop, long idle_connections,
                  struct curl_loop **result, struct err *err)
{
  struct curl_loop *cl = apr_pcalloc (pool, sizeof *cl);
  cl->loop = loop;
  cl->multi = curl_multi_init ();
  if (!cl->multi)
    return err_set (err, ERR_IO, "create HTTP client", NULL, "no memory");
  curl_multi_setopt (cl->multi, CURLMOPT_SOCKETFUNCTION, on_socket);
  curl_multi_setopt (cl->multi, CURLMOPT_SOCKETDATA, cl);
  curl_multi_setopt (cl->multi, CURLMOPT_TIMERFUNCTION, on_timer);
  curl_multi_setopt (cl->multi, CURLMOPT_TIMERDATA, cl);
  curl_multi_setopt (cl->multi, CURLMOPT_MAXCONNECTS, idle_connections);
  curl_multi_setopt (cl->multi, CURLMOPT_PIPELINING, CURLPIPE_NOTHING);
  *result = cl;
  return ERR_NONE;
}

void
curl_loop_destroy (struct curl_loop *cl)
{
  if (!cl)
    return;
  while (cl->idle_count > 0)
    curl_easy_cleanup (cl->idle[--cl->idle_count]);
  curl_multi_cleanup (cl->multi);
  timer_stop (loop_timers (cl->loop), &cl->timer);
}

CURL *
curl_loop_take_easy (struct curl_loop *cl)
{
  if (cl->idle_count > 0)
    return cl->idle[--cl->idle_count];
  CURL *easy = curl_easy_init ();
  if (!easy)
    abort ();
  return easy;
}

void
curl_loop_give_easy (struct curl_loop *cl, CURL *easy)
{
  if (cl->idle_count == IDLE_HANDLES_MAX)
    {
      curl_easy_cleanup (easy);
      return;
    }
  curl_easy_reset (easy);
  cl->idle[cl->idle_count++] = easy;
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
