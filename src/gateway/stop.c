/* The planned stop: from the signal to the exit, within the limits of
   call/stop_limits.h.  */
#include "gateway/internal.h"

/* constants */

enum
{
  STOP_STEP_MS = 50, /* between two checks whether a stop is finished; a
                        hundredth of the time that a stop has */
  /* Callers use the result of a look-up for at most so many times its
     lifetime.  */
  LOOKUP_LIFETIMES_USED = 3
};

/* private functions */

/* Gives every request that is left its final response.  */
static void
end_requests (struct gateway *gateway, apr_time_t now)
{
  for (struct request *request = gateway->requests; request;
       request = request->next)
    if (!request->response_ready || request->answered
        || request_needs_body (request))
      {
        request_log_cut (request, now);
        dispatch_end_for_stop (request);
      }
}

static void
on_stop_step (void *user_data, apr_time_t now)
{
  struct gateway *gateway = user_data;
  const struct stop_limits *limits = &gateway->stop_limits;
  if (!gateway->listener_closed && now >= limits->listen_until)
    {
      httpd_close_listener (gateway->caller_listener);
      gateway->listener_closed = true;
      LOG (LOG_INFO, "listener-closed",
           LOG_INT ("open", gateway->open_requests));
    }
  bool has_ended = gateway->listener_closed && gateway->open_requests == 0;
  /* Not at the other listeners: they stay open, so new responses never end.
   */
  if ((has_ended || gateway->requests_ended)
      && !httpd_finish_responses (gateway->caller_listener))
    has_ended = false;
  if (has_ended || (gateway->requests_ended && now >= limits->exit_at))
    {
      LOG (LOG_INFO, "stopped", LOG_INT ("open", gateway->open_requests),
           LOG_INT ("after_ms", (now - limits->began_at) / 1000));
      log_flush ();
      loop_stop (gateway->loop);
      return;
    }
  if (!gateway->requests_ended && now >= limits->answer_by)
    {
      end_requests (gateway, now);
      gateway->requests_ended = true;
    }
  timer_start (loop_timers (gateway->loop), &gateway->stop_timer,
               now + TIMER_MS (STOP_STEP_MS), on_stop_step, gateway);
}

/* functions internal to the module */

void
stop_begin (struct gateway *gateway)
{
  struct stop_limits_desc desc = {
    .duration = (apr_time_t)(gateway->settings.stop_s * APR_USEC_PER_SEC),
    .lookup_use = TIMER_SEC (GATEWAY_LOOKUP_LIFETIME_S * LOOKUP_LIFETIMES_USED)
  };
  if (gateway->leaving)
    return;
  gateway->leaving = true;
  gateway->stop_limits = stop_limits_begin (&desc, timer_clock ());
  LOG (LOG_INFO, "stopping", LOG_INT ("open", gateway->open_requests));
  registry_announce_leaving (gateway->registry);
  on_stop_step (gateway, gateway->stop_limits.began_at);
}
