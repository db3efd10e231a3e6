/* Simulated processes of entries, with a network and a store.  */
#include "bench/steer/crowd.h"

#include "base/random.h"
#include "base/timer.h"

#include <stdio.h>
#include <stdlib.h>

/* types */

enum message_kind
{
  MESSAGE_SHARE = 1,
  MESSAGE_CONFIRMATION,
  MESSAGE_MEMBERSHIP
};

/* A message in transit.  */
struct cluster_message
{
  struct cluster_message *next;
  enum message_kind kind;
  int from;
  int to;              /* -1: lost */
  int64_t incarnation; /* of the sender */
  apr_time_t arrives_at;
  int64_t confirmed_version;
  struct membership *membership;
  char names[SHARE_ITEMS_MAX][64];
  struct share_message share;
};

/* constants */

#define TICK_US TIMER_MS (5)
#define HEARTBEAT_US TIMER_MS (250)
#define FAULT_INTERVAL_US TIMER_MS (400)
#define JITTER_US TIMER_MS (2)
#define SAME_REGION_US 500
/* After a change of membership, a version is confirmed after this time at the
   earliest.  */
#define WINDOW_US TIMER_MS (100)

/* private functions */

/* Adds a message in transit; the caller fills in the content.  */
static struct cluster_message *
post_message (struct crowd *crowd, enum message_kind kind, int from, int to)
{
  const struct crowd_process *a = &crowd->processes[from];
  const struct crowd_process *b = &crowd->processes[to];
  bool far = !str_equal (a->region, b->region);
  struct cluster_message *message = calloc (1, sizeof *message);
  if (!message)
    abort ();
  message->kind = kind;
  message->from = from;
  message->to = to;
  message->incarnation = a->incarnation;
  message->arrives_at = crowd->now
                        + (far ? crowd->desc.distance_us : SAME_REGION_US)
                        + (apr_time_t)crowd_pick (crowd, JITTER_US);
  /* A lost message is created and discarded at delivery, so that every message
     takes the same random numbers.  */

  if ((double)crowd_pick (crowd, 1000) < 1000 * crowd->desc.loss || a->cut_off
      || b->cut_off)
    message->to = -1;
  message->next = crowd->messages;
  crowd->messages = message;
  return message;
}

/* Sends a message about shares.  */
static void
on_send (void *user_data, struct str to, const struct share_message *share)
{
  /* The process is a member of the array in its simulation, at its index.  */
  struct crowd_process *p = user_data;
  struct crowd *crowd = (struct crowd *)((char *)(p - p->index)
                                         - offsetof (struct crowd, processes));
  int receiver = atoi (to.data + 1);
  struct cluster_message *message
      = post_message (crowd, MESSAGE_SHARE, p->index, receiver);
  message->share = *share;
  for (size_t i = 0; i < share->count; i++)
    {
      snprintf (message->names[i], sizeof message->names[i], "%.*s",
                STR_ARGS (share->items[i].name));
      message->share.items[i].name = str_from (message->names[i]);
    }
}

/* Divides the caps anew, by the membership and the confirmations of P.  */
static void
update_shares (const struct crowd *crowd, struct crowd_process *p)
{
  int64_t min_version
      = crowd->desc.no_waiting
            ? p->membership->version
            : confirmations_min (p->confirmations, p->membership,
                                 str_from (p->name));
  steer_set_membership (p->steer, p->membership, min_version);
}

static void
start_process (struct crowd *crowd, int i)
{
  struct crowd_process *p = &crowd->processes[i];
  struct share_peer peers[CLUSTER_MAX_PROCESSES];
  size_t count = 0;
  p->alive = true;
  p->paused = p->cut_off = false;
  p->index = i;
  p->incarnation++;
  p->confirmed_version = 0;
  p->region = crowd->desc.regions[i % crowd->desc.region_count];
  snprintf (p->name, sizeof p->name, "e%02d", i);
  struct steer_desc desc
      = { .region = p->region,
          .seed = random_next (&crowd->random) | 1,
          .share = { .entry = str_from (p->name),
                     .incarnation = p->incarnation,
                     .loan_duration_us = crowd->desc.loan_us,
                     .max_use_us = crowd->desc.hold_us,
                     .seed = random_next (&crowd->random) | 1,
                     .send = on_send,
                     .user_data = p } };
  p->steer = steer_create (crowd->pool, &desc);
  p->membership = membership_empty ();
  p->confirmations = confirmations_create (crowd->pool);
  update_shares (crowd, p);
  steer_apply (p->steer, crowd->desc.snapshot, crowd->now);
  for (int o = 0; o < crowd->desc.count; o++)
    {
      struct str region = crowd->desc.regions[o % crowd->desc.region_count];
      bool same_region = str_equal (region, p->region);
      if (o != i)
        peers[count++] = (struct share_peer){
          str_printf (crowd->pool, "e%02d", o), region,
          2 * (same_region ? SAME_REGION_US : crowd->desc.distance_us)
        };
    }
  share_set_peers (steer_shares (p->steer), peers, count);
}

static void
end_process (struct crowd *crowd, struct crowd_process *p)
{
  if (crowd->desc.ended)
    crowd->desc.ended (crowd->desc.user_data, p);
  p->alive = false;
  steer_destroy (p->steer);
  membership_unref (p->membership);
}

/* What the platform reports: a process that does not run is gone.  */
static bool
is_gone (void *user_data, const struct member_record *record)
{
  const struct crowd *crowd = user_data;
  const struct crowd_process *p
      = &crowd->processes[atoi (record->name.data + 1)];
  return !p->alive || p->incarnation > record->incarnation;
}

/* Writes a new membership to the store, if the processes call for one.  */
static void
propose_membership (struct crowd *crowd)
{
  struct member_observation observations[CLUSTER_MAX_PROCESSES];
  size_t count = 0;
  for (int i = 0; i < crowd->desc.count; i++)
    if (crowd->processes[i].alive && !crowd->processes[i].cut_off)
      observations[count++] = (struct member_observation){
        .record = { .name = str_from (crowd->processes[i].name),
                    .region = crowd->processes[i].region,
                    .peer_address = STR ("1.1.1.1:1"),
                    .incarnation = crowd->processes[i].incarnation },
        .is_serving = true,
      };
  struct membership_view view = { .observations = observations,
                                  .count = count,
                                  .is_gone = is_gone,
                                  .user_data = crowd };
  struct membership *next
      = membership_propose (crowd->stored_membership, &view);
  if (!next)
    return;
  membership_unref (crowd->stored_membership);
  crowd->stored_membership = next;
}

/* Puts MEMBERSHIP into force at P, if it is newer.  */
static void
adopt (struct crowd *crowd, struct crowd_process *p,
       struct membership *membership)
{
  if (membership->version <= p->membership->version)
    return;
  membership_unref (p->membership);
  p->membership = membership_ref (membership);
  p->adopted_at = crowd->now;
  update_shares (crowd, p);
}

static void
receive (struct crowd *crowd, struct cluster_message *message)
{
  struct crowd_process *to = &crowd->processes[message->to];
  const struct crowd_process *from = &crowd->processes[message->from];
  switch (message->kind)
    {
    case MESSAGE_SHARE:
      share_receive (steer_shares (to->steer), str_from (from->name),
                     &message->share, crowd->now);
      break;
    case MESSAGE_CONFIRMATION:
      confirmations_record (to->confirmations, str_from (from->name),
                            message->incarnation, message->confirmed_version);
      update_shares (crowd, to);
      break;
    case MESSAGE_MEMBERSHIP:
      adopt (crowd, to, message->membership);
      break;
    }
}

/* Delivers the messages that have arrived, and discards lost ones.  Messages
   to a paused process go on waiting.  */
static void
deliver (struct crowd *crowd)
{
  struct cluster_message *all = crowd->messages;
  struct cluster_message *next;
  crowd->messages = NULL;
  for (struct cluster_message *message = all; message; message = next)
    {
      next = message->next;
      bool lost = message->to < 0 || !crowd->processes[message->to].alive
                  || crowd->processes[message->to].cut_off;
      if (!lost
          && (message->arrives_at > crowd->now
              || crowd->processes[message->to].paused))
        {
          message->next = crowd->messages;
          crowd->messages = message;
          continue;
        }
      if (!lost)
        receive (crowd, message);
      membership_unref (message->membership);
      free (message);
    }
}

/* Heartbeats carry confirmations, and the membership for those that have an
   older one.  */
static void
send_heartbeats (struct crowd *crowd, struct crowd_process *p)
{
  for (int o = 0; o < crowd->desc.count; o++)
    {
      if (o == p->index || !crowd->processes[o].alive)
        continue;
      post_message (crowd, MESSAGE_CONFIRMATION, p->index, o)
          ->confirmed_version
          = p->confirmed_version;
      post_message (crowd, MESSAGE_MEMBERSHIP, p->index, o)->membership
          = membership_ref (p->membership);
    }
}

/* Updates the shares of P, and confirms its membership once they are within
   the new limits.  */
static void
tick (struct crowd *crowd, struct crowd_process *p)
{
  crowd->desc.want (crowd->desc.user_data, p, crowd->now);
  share_tick (steer_shares (p->steer), crowd->now);
  if (p->confirmed_version < p->membership->version
      && crowd->now >= p->adopted_at + WINDOW_US
      && steer_is_within_limits (p->steer, crowd->now))
    {
      p->confirmed_version = p->membership->version;
      send_heartbeats (crowd, p);
    }
}

/* Ends a quarter of the pauses and cuts; then kills, pauses, cuts off or
   restarts one process at random.  */
static void
inject_fault (struct crowd *crowd)
{
  size_t candidate_count
      = (size_t)(crowd->desc.count - crowd->desc.fault_free_count);
  struct crowd_process *p
      = &crowd->processes[crowd->desc.fault_free_count
                          + (int)crowd_pick (crowd, candidate_count)];
  for (int i = 0; i < crowd->desc.count; i++)
    if (crowd_pick (crowd, 4) == 0)
      crowd->processes[i].paused = crowd->processes[i].cut_off = false;
  if (!p->alive)
    {
      start_process (crowd, p->index);
      return;
    }
  switch (crowd_pick (crowd, 4))
    {
    case 0:
      end_process (crowd, p);
      break;
    case 1:
      p->paused = true;
      break;
    case 2:
      p->cut_off = true;
      break;
    default: /* killed and restarted at once */
      end_process (crowd, p);
      start_process (crowd, p->index);
    }
}

/* public functions */

struct crowd *
crowd_create (const struct crowd_desc *desc, apr_time_t now)
{
  struct crowd *crowd = calloc (1, sizeof *crowd);
  if (!crowd)
    abort ();
  crowd->desc = *desc;
  crowd->now = crowd->next_tick_at = crowd->next_heartbeat_at = now;
  crowd->next_fault_at = now + FAULT_INTERVAL_US;
  crowd->random = desc->seed * 0x9E3779B97F4A7C15ULL + 1;
  crowd->stored_membership = membership_empty ();
  apr_pool_create (&crowd->pool, NULL);
  for (int i = 0; i < desc->count; i++)
    start_process (crowd, i);
  return crowd;
}

void
crowd_destroy (struct crowd *crowd)
{
  for (int i = 0; i < crowd->desc.count; i++)
    if (crowd->processes[i].alive)
      end_process (crowd, &crowd->processes[i]);
  while (crowd->messages)
    {
      struct cluster_message *message = crowd->messages;
      crowd->messages = message->next;
      membership_unref (message->membership);
      free (message);
    }
  membership_unref (crowd->stored_membership);
  apr_pool_destroy (crowd->pool);
  free (crowd);
}

void
crowd_step (struct crowd *crowd, apr_time_t now)
{
  crowd->now = now;
  deliver (crowd);
  bool heartbeat_due = now >= crowd->next_heartbeat_at;
  bool tick_due = now >= crowd->next_tick_at;
  if (heartbeat_due)
    {
      crowd->next_heartbeat_at = now + HEARTBEAT_US;
      propose_membership (crowd);
    }
  if (tick_due)
    crowd->next_tick_at = now + TICK_US;
  for (int i = 0; i < crowd->desc.count; i++)
    {
      struct crowd_process *p = &crowd->processes[i];
      if (!p->alive || p->paused)
        continue;
      /* Two processes that are not cut off read the store as relays.  */
      if (heartbeat_due && i < 2 && !p->cut_off)
        adopt (crowd, p, crowd->stored_membership);
      if (heartbeat_due)
        send_heartbeats (crowd, p);
      if (tick_due)
        tick (crowd, p);
    }
  if (crowd->desc.disturbed && now >= crowd->next_fault_at)
    {
      crowd->next_fault_at = now + FAULT_INTERVAL_US;
      inject_fault (crowd);
    }
}

size_t
crowd_pick (struct crowd *crowd, size_t n)
{
  return (size_t)(random_next (&crowd->random) >> 11) % n;
}
