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
  TEXT_BYTES = 1024,
  BEAT_MS = 1500,
  LEASE_MS = 3 * BEAT_MS,
  CALL_MS = 1000,
  SERVES_ON_MS = 3500 /* after the store has taken the word, or the removal */
};

static struct
{
  struct loop *loop;
  struct http_client *client;
  void (*left) (void);
  const char *store, *id, *service, *zone, *advertise, *slots;
  bool is_quiet;
  bool leaves;
  bool removed;
  int64_t lease;
  int64_t sequence;
  int64_t born;
  struct timer heartbeat;
  struct timer end;
} reg;

static void heartbeat (void *part, apr_time_t now);

static void
send_call (const char *path, const char *body, http_response_fn *done)
{
  char url[TEXT_BYTES];
  snprintf (url, sizeof url, "http://%s%s", reg.store, path);
  struct http_request request = { .method = "POST",
                                  .url = url,
                                  .body = str_from (body),
                                  .timeout_ms = CALL_MS };
  http_client_send (reg.client, &request, done, NULL);
}

static void
on_end (void *part, apr_time_t now)
{
  (void)part;
  (void)now;
  reg.left ();
}

static void
on_written (void *part, const struct http_response *answer)
{
  (void)part;
  if (answer->status == 404)
    reg.lease = 0;
  if (answer->status != 200 || !reg.leaves || reg.removed)
    return;
  reg.removed = true;
  events_write ("leaving %s", reg.id);
  timer_start (loop_timers (reg.loop), &reg.end,
               timer_clock () + TIMER_MS (SERVES_ON_MS), on_end, NULL);
}

static void
write_entry (void)
{
  char value[TEXT_BYTES], text[2 * TEXT_BYTES], body[3 * TEXT_BYTES];
  snprintf (value, sizeof value,
            "{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"%s\","
            "\"slots\":%s,\"state\":\"%s\",\"cold_remaining_ms\":0,"
            "\"sequence\":%lld,\"born\":%lld}",
            reg.service, reg.advertise, reg.zone, reg.slots,
            reg.leaves ? "draining" : "ready", (long long)++reg.sequence,
            (long long)reg.born);
  sodium_bin2base64 (text, sizeof text, (const unsigned char *)value,
                     strlen (value), sodium_base64_VARIANT_ORIGINAL);
  if (reg.leaves && reg.is_quiet)
    snprintf (body, sizeof body, "{\"deletes\":[\"servers/%s\"]}", reg.id);
  else
    snprintf (body, sizeof body,
              "{\"writes\":[{\"key\":\"servers/%s\",\"value\":\"%s\","
              "\"lease\":%lld}]}",
              reg.id, text, (long long)reg.lease);
  send_call ("/kv-txn", body, on_written);
}

static void
on_kept (void *part, const struct http_response *answer)
{
  (void)part;
  if (answer->status == 404)
    reg.lease = 0;
}

static void
on_lease (void *part, const struct http_response *answer)
{
  (void)part;
  json_object *object
      = answer->status == 200 ? json_tokener_parse (answer->body.data) : NULL;
  json_object *lease;
  if (object && json_object_object_get_ex (object, "lease", &lease))
    {
      reg.lease = json_object_get_int64 (lease);
      write_entry ();
    }
  json_object_put (object);
}

static void
heartbeat (void *part, apr_time_t now)
{
  char text[TEXT_BYTES];
  (void)part;
  timer_start (loop_timers (reg.loop), &reg.heartbeat,
               now + TIMER_MS (BEAT_MS), heartbeat, NULL);
  if (reg.removed && reg.is_quiet)
    return;
  if (reg.lease == 0)
    {
      snprintf (text, sizeof text, "{\"ttl_ms\":%d}", LEASE_MS);
      send_call ("/kv-lease", text, on_lease);
      return;
    }
  snprintf (text, sizeof text, "/kv-keep/%lld", (long long)reg.lease);
  send_call (text, "", on_kept);
  write_entry ();
}

void
registration_start (apr_pool_t *pool, struct loop *loop, int argc, char **argv,
                    void (*left) (void))
{
  struct err err;
  reg.loop = loop;
  reg.left = left;
  reg.store = option (argc, argv, "--store", NULL);
  reg.id = option (argc, argv, "--id", "i-1");
  reg.service = option (argc, argv, "--service", "desk");
  reg.zone = option (argc, argv, "--zone", "north-a");
  reg.advertise = option (argc, argv, "--advertise", "");
  reg.slots = option (argc, argv, "--slots", "4");
  reg.is_quiet = strcmp (option (argc, argv, "--quiet", "no"), "yes") == 0;
  reg.born = apr_time_as_msec (apr_time_now ());
  if (!reg.store
      || http_client_create (pool, loop, &reg.client, &err) != ERR_NONE)
    return;
  heartbeat (NULL, timer_clock ());
}

void
registration_leave (void)
{
  if (!reg.client)
    {
      reg.left ();
      return;
    }
  reg.leaves = true;
  write_entry ();
}
