#include "tests/standin/registration.h"
#include "base/http_client.h"
#include "tests/standin/events.h"
#include "tests/standin/standin.h"

#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  MAX_TEXT_BYTES = 1024,
  HEARTBEAT_MS = 1500,
  LEASE_MS = 3 * HEARTBEAT_MS,
  CALL_TIMEOUT_MS = 1000,
  GRACE_MS = 3500 /* of service after the store confirmed the leave */
};

static struct
{
  struct loop *loop;
  struct http_client *client;
  void (*on_left) (void);
  const char *store, *id, *service, *zone, *advertise, *slots;
  bool leaves_unannounced;
  bool is_leaving;
  bool leave_confirmed;
  int64_t lease;
  int64_t era; /* of the store */
  int64_t sequence;
  int64_t started_at_ms;
  int64_t cold_ms;
  struct timer heartbeat_timer;
  struct timer grace_timer;
} registration;

static void send_heartbeat (void *user_data, apr_time_t now);

static void
send_request (const char *path, const char *body,
              http_response_fn *on_response)
{
  char url[MAX_TEXT_BYTES];
  snprintf (url, sizeof url, "http://%s%s", registration.store, path);
  struct http_request request = { .method = "POST",
                                  .url = url,
                                  .body = str_from (body),
                                  .number_header = "Store-Era",
                                  .timeout_ms = CALL_TIMEOUT_MS };
  http_client_send (registration.client, &request, on_response, NULL);
}

/* In a new era the lease is another one's, or none, and the entry is an older
   one.  */
static void
check_era (const struct http_response *response)
{
  if (response->number == 0 || response->number == registration.era)
    return;
  registration.era = response->number;
  registration.lease = 0;
}

static void
on_grace_over (void *user_data, apr_time_t now)
{
  (void)user_data;
  (void)now;
  registration.on_left ();
}

static void
on_entry_written (void *user_data, const struct http_response *response)
{
  (void)user_data;
  check_era (response);
  if (response->status == 404)
    registration.lease = 0;
  if (response->status != 200 || !registration.is_leaving
      || registration.leave_confirmed)
    return;
  registration.leave_confirmed = true;
  events_write ("leaving %s", registration.id);
  timer_start (loop_timers (registration.loop), &registration.grace_timer,
               timer_clock () + TIMER_MS (GRACE_MS), on_grace_over, NULL);
}

static void
write_entry (void)
{
  int64_t cold_left = registration.started_at_ms + registration.cold_ms
                      - apr_time_as_msec (apr_time_now ());
  char value[MAX_TEXT_BYTES], text[2 * MAX_TEXT_BYTES],
      body[3 * MAX_TEXT_BYTES];
  snprintf (value, sizeof value,
            "{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"%s\","
            "\"slots\":%s,\"state\":\"%s\",\"cold_remaining_ms\":%lld,"
            "\"sequence\":%lld,\"born\":%lld}",
            registration.service, registration.advertise, registration.zone,
            registration.slots, registration.is_leaving ? "draining" : "ready",
            (long long)(cold_left > 0 ? cold_left : 0),
            (long long)++registration.sequence,
            (long long)registration.started_at_ms);
  sodium_bin2base64 (text, sizeof text, (const unsigned char *)value,
                     strlen (value), sodium_base64_VARIANT_ORIGINAL);
  if (registration.is_leaving && registration.leaves_unannounced)
    snprintf (body, sizeof body, "{\"deletes\":[\"servers/%s\"]}",
              registration.id);
  else
    snprintf (body, sizeof body,
              "{\"writes\":[{\"key\":\"servers/%s\",\"value\":\"%s\","
              "\"lease\":%lld}]}",
              registration.id, text, (long long)registration.lease);
  send_request ("/kv-txn", body, on_entry_written);
}

static void
on_lease_renewed (void *user_data, const struct http_response *response)
{
  (void)user_data;
  check_era (response);
  if (response->status == 404)
    registration.lease = 0;
}

static void
on_lease_opened (void *user_data, const struct http_response *response)
{
  (void)user_data;
  check_era (response);
  json_object *object = response->status == 200
                            ? json_tokener_parse (response->body.data)
                            : NULL;
  json_object *lease;
  if (object && json_object_object_get_ex (object, "lease", &lease))
    {
      registration.lease = json_object_get_int64 (lease);
      write_entry ();
    }
  json_object_put (object);
}

static void
send_heartbeat (void *user_data, apr_time_t now)
{
  char text[MAX_TEXT_BYTES];
  (void)user_data;
  timer_start (loop_timers (registration.loop), &registration.heartbeat_timer,
               now + TIMER_MS (HEARTBEAT_MS), send_heartbeat, NULL);
  if (registration.leave_confirmed && registration.leaves_unannounced)
    return;
  if (registration.lease == 0)
    {
      snprintf (text, sizeof text, "{\"ttl_ms\":%d}", LEASE_MS);
      send_request ("/kv-lease", text, on_lease_opened);
      return;
    }
  snprintf (text, sizeof text, "/kv-keep/%lld", (long long)registration.lease);
  send_request (text, "", on_lease_renewed);
  write_entry ();
}

void
registration_start (apr_pool_t *pool, struct loop *loop, int argc, char **argv,
                    void (*on_left) (void))
{
  struct err err;
  registration.loop = loop;
  registration.on_left = on_left;
  registration.store = option (argc, argv, "--store", NULL);
  registration.id = option (argc, argv, "--id", "i-1");
  registration.service = option (argc, argv, "--service", "desk");
  registration.zone = option (argc, argv, "--zone", "north-a");
  registration.advertise = option (argc, argv, "--advertise", "");
  registration.slots = option (argc, argv, "--slots", "4");
  registration.leaves_unannounced
      = strcmp (option (argc, argv, "--quiet", "no"), "yes") == 0;
  registration.cold_ms
      = strtoll (option (argc, argv, "--cold-ms", "0"), NULL, 10);
  int64_t wait_ms
      = strtoll (option (argc, argv, "--register-after", "0"), NULL, 10);
  registration.started_at_ms = apr_time_as_msec (apr_time_now ());
  if (!registration.store
      || http_client_create (pool, loop, &registration.client, &err)
             != ERR_NONE)
    return;
  if (wait_ms > 0)
    timer_start (loop_timers (loop), &registration.heartbeat_timer,
                 timer_clock () + TIMER_MS (wait_ms), send_heartbeat, NULL);
  else
    send_heartbeat (NULL, timer_clock ());
}

void
registration_leave (void)
{
  if (!registration.client)
    {
      registration.on_left ();
      return;
    }
  registration.is_leaving = true;
  write_entry ();
}
