/* Simulated processes of entries, with a network and a store.  */
#include "bench/steer/cluster.h"

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
/* A version is confirmed no earlier than this after it came into force: bytes
   sent under an old share count against a link's cap for so long.  */
#define WINDOW_US TIMER_MS (100)

/* private functions */

/* Adds a message in transit; the caller fills in the content.  */
static struct cluster_message *
post_message (struct cluster *cluster, enum message_kind kind, int from,
              int to)
{
  const struct cluster_process *a = &cluster->processes[from];
  const struct cluster_process *b = &cluster->processes[to];
  bool far = !str_equal (a->region, b->region);
  struct cluster_message *message = calloc (1, sizeof *message);
  if (!message)
    abort ();
  message->kind = kind;
  message->from = from;
  message->to = to;
  message->incarnation = a->incarnation;
  message->arrives_at
      = cluster->now + (far ? cluster->desc.one_way_us : SAME_REGION_US)
        + (apr_time_t)cluster_random_below (cluster, JITTER_US);
  /* A lost message is created and discarded at delivery, so that every message
     takes the same random numbers.  */
  if ((double)cluster_random_below (cluster, 1000)
          < 1000 * cluster->desc.loss_rate
      || a->cut_off || b->cut_off)
    message->to = -1;
  message->next = cluster->messages;
  cluster->messages = message;
  return message;
}

/* Sends a message about shares.  */
static void
on_send (void *user_data, struct str to, const struct share_message *share)
{
  /* The process is a member of the array in its simulation, at its index.  */
  struct cluster_process *p = user_data;
  struct cluster *cluster
      = (struct cluster *)((char *)(p - p->index)
                           - offsetof (struct cluster, processes));
  int receiver = atoi (to.data + 1);
  struct cluster_message *message
      = post_message (cluster, MESSAGE_SHARE, p->index, receiver);
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
update_shares (const struct cluster *cluster, struct cluster_process *p)
{
  int64_t min_version
      = cluster->desc.skip_confirmations
            ? p->membership->version
            : confirmations_min (p->confirmations, p->membership,
                                 str_from (p->name));
  steer_set_membership (p->steer, p->membership, min_version);
}

static void
start_process (struct cluster *cluster, int i)
{
  struct cluster_process *p = &cluster->processes[i];
  struct share_peer peers[CLUSTER_MAX_PROCESSES];
  size_t count = 0;
  p->alive = true;
  p->paused = p->cut_off = false;
  p->index = i;
  p->incarnation++;
  p->confirmed_version = 0;
  p->region = cluster->desc.regions[i % cluster->desc.region_count];
  snprintf (p->name, sizeof p->name, "e%02d", i);
  struct steer_desc desc
      = { .region = p->region,
          .seed = random_next (&cluster->random) | 1,
          .share = { .entry = str_from (p->name),
                     .incarnation = p->incarnation,
                     .loan_duration_us = cluster->desc.loan_duration_us,
                     .max_use_us = cluster->desc.max_use_us,
                     .seed = random_next (&cluster->random) | 1,
                     .send = on_send,
                     .user_data = p } };
  p->steer = steer_create (cluster->pool, &desc);
  p->membership = membership_empty ();
  p->confirmations = confirmations_create (cluster->pool);
  update_shares (cluster, p);
  steer_apply (p->steer, cluster->desc.snapshot, cluster->now);
  for (int o = 0; o < cluster->desc.count; o++)
    {
      struct str region
          = cluster->desc.regions[o % cluster->desc.region_count];
      bool same_region = str_equal (region, p->region);
      if (o != i)
        peers[count++] = (struct share_peer){
          str_printf (cluster->pool, "e%02d", o), region,
          2 * (same_region ? SAME_REGION_US : cluster->desc.one_way_us)
        };
    }
  share_set_peers (steer_shares (p->steer), peers, count);
}

static void
end_process (struct cluster *cluster, struct cluster_process *p)
{
  if (cluster->desc.process_ended)
    cluster->desc.process_ended (cluster->desc.user_data, p);
  p->alive = false;
  steer_destroy (p->steer);
  membership_unref (p->membership);
}

/* What the platform reports: a process that does not run is gone.  */
static bool
is_gone (void *user_data, const struct member_record *record)
{
  const struct cluster *cluster = user_data;
  const struct cluster_process *p
      = &cluster->processes[atoi (record->name.data + 1)];
  return !p->alive || p->incarnation > record->incarnation;
}

/* Writes a new membership to the store, if the processes call for one.  */
static void
propose_membership (struct cluster *cluster)
{
  struct member_observation observations[CLUSTER_MAX_PROCESSES];
  size_t count = 0;
  for (int i = 0; i < cluster->desc.count; i++)
    if (cluster->processes[i].alive && !cluster->processes[i].cut_off)
      observations[count++] = (struct member_observation){
        .record = { .name = str_from (cluster->processes[i].name),
                    .region = cluster->processes[i].region,
                    .peer_address = STR ("1.1.1.1:1"),
                    .incarnation = cluster->processes[i].incarnation },
        .is_serving = true,
      };
  struct membership_view view = { .observations = observations,
                                  .count = count,
                                  .is_gone = is_gone,
                                  .user_data = cluster };
  struct membership *next
      = membership_propose (cluster->stored_membership, &view);
  if (!next)
    return;
  membership_unref (cluster->stored_membership);
  cluster->stored_membership = next;
}

/* Puts MEMBERSHIP into force at P, if it is newer.  */
static void
adopt (struct cluster *cluster, struct cluster_process *p,
       struct membership *membership)
{
  if (membership->version <= p->membership->version)
    return;
  membership_unref (p->membership);
  p->membership = membership_ref (membership);
  p->adopted_at = cluster->now;
  update_shares (cluster, p);
}

static void
receive (struct cluster *cluster, struct cluster_message *message)
{
  struct cluster_process *to = &cluster->processes[message->to];
  const struct cluster_process *from = &cluster->processes[message->from];
  switch (message->kind)
    {
    case MESSAGE_SHARE:
      share_receive (steer_shares (to->steer), str_from (from->name),
                     &message->share, cluster->now);
      break;
    case MESSAGE_CONFIRMATION:
      confirmations_record (to->confirmations, str_from (from->name),
                            message->incarnation, message->confirmed_version);
      update_shares (cluster, to);
      break;
    case MESSAGE_MEMBERSHIP:
      adopt (cluster, to, message->membership);
      break;
    }
}

/* Delivers the messages that have arrived, and discards lost ones.  Messages
   to a paused process go on waiting.  */
static void
deliver (struct cluster *cluster)
{
  struct cluster_message *all = cluster->messages;
  struct cluster_message *next;
  cluster->messages = NULL;
  for (struct cluster_message *message = all; message; message = next)
    {
      next = message->next;
      bool lost = message->to < 0 || !cluster->processes[message->to].alive
                  || cluster->processes[message->to].cut_off;
      if (!lost
          && (message->arrives_at > cluster->now
              || cluster->processes[message->to].paused))
        {
          message->next = cluster->messages;
          cluster->messages = message;
          continue;
        }
      if (!lost)
        receive (cluster, message);
      membership_unref (message->membership);
      free (message);
    }
}

/* Heartbeats carry confirmations, and the membership for those that have an
   older one.  */
static void
send_heartbeats (struct cluster *cluster, struct cluster_process *p)
{
  for (int o = 0; o < cluster->desc.count; o++)
    {
      if (o == p->index || !cluster->processes[o].alive)
        continue;
      post_message (cluster, MESSAGE_CONFIRMATION, p->index, o)
          ->confirmed_version
          = p->confirmed_version;
      post_message (cluster, MESSAGE_MEMBERSHIP, p->index, o)->membership
          = membership_ref (p->membership);
    }
}

/* Updates the shares of P, and confirms its membership once they are within
   the new limits.  */
static void
tick (struct cluster *cluster, struct cluster_process *p)
{
  cluster->desc.update_demand (cluster->desc.user_data, p, cluster->now);
  share_tick (steer_shares (p->steer), cluster->now);
  if (p->confirmed_version < p->membership->version
      && cluster->now >= p->adopted_at + WINDOW_US
      && steer_is_within_limits (p->steer, cluster->now))
    {
      p->confirmed_version = p->membership->version;
      send_heartbeats (cluster, p);
    }
}

/* Ends a quarter of the pauses and cuts; then kills, pauses, cuts off or
   restarts one process at random.  */
static void
inject_fault (struct cluster *cluster)
{
  size_t candidate_count
      = (size_t)(cluster->desc.count - cluster->desc.fault_free_count);
  struct cluster_process *p
      = &cluster->processes[cluster->desc.fault_free_count
                            + (int)cluster_random_below (cluster,
                                                         candidate_count)];
  for (int i = 0; i < cluster->desc.count; i++)
    if (cluster_random_below (cluster, 4) == 0)
      cluster->processes[i].paused = cluster->processes[i].cut_off = false;
  if (!p->alive)
    {
      start_process (cluster, p->index);
      return;
    }
  switch (cluster_random_below (cluster, 4))
    {
    case 0:
      end_process (cluster, p);
      break;
    case 1:
      p->paused = true;
      break;
    case 2:
      p->cut_off = true;
      break;
    default: /* killed and restarted at once */
      end_process (cluster, p);
      start_process (cluster, p->index);
    }
}

/* public functions */

struct cluster *
cluster_create (const struct cluster_desc *desc, apr_time_t now)
{
  struct cluster *cluster = calloc (1, sizeof *cluster);
  if (!cluster)
    abort ();
  cluster->desc = *desc;
  cluster->now = cluster->next_tick_at = cluster->next_heartbeat_at = now;
  cluster->next_fault_at = now + FAULT_INTERVAL_US;
  cluster->random = desc->seed * 0x9E3779B97F4A7C15ULL + 1;
  cluster->stored_membership = membership_empty ();
  apr_pool_create (&cluster->pool, NULL);
  for (int i = 0; i < desc->count; i++)
    start_process (cluster, i);
  return cluster;
}

void
cluster_destroy (struct cluster *cluster)
{
  for (int i = 0; i < cluster->desc.count; i++)
    if (cluster->processes[i].alive)
      end_process (cluster, &cluster->processes[i]);
  while (cluster->messages)
    {
      struct cluster_message *message = cluster->messages;
      cluster->messages = message->next;
      membership_unref (message->membership);
      free (message);
    }
  membership_unref (cluster->stored_membership);
  apr_pool_destroy (cluster->pool);
  free (cluster);
}

void
cluster_advance (struct cluster *cluster, apr_time_t now)
{
  cluster->now = now;
  deliver (cluster);
  bool heartbeat_due = now >= cluster->next_heartbeat_at;
  bool tick_due = now >= cluster->next_tick_at;
  if (heartbeat_due)
    {
      cluster->next_heartbeat_at = now + HEARTBEAT_US;
      propose_membership (cluster);
    }
  if (tick_due)
    cluster->next_tick_at = now + TICK_US;
  for (int i = 0; i < cluster->desc.count; i++)
    {
      struct cluster_process *p = &cluster->processes[i];
      if (!p->alive || p->paused)
        continue;
      /* Two processes that are not cut off read the store as relays.  */
      if (heartbeat_due && i < 2 && !p->cut_off)
        adopt (cluster, p, cluster->stored_membership);
      if (heartbeat_due)
        send_heartbeats (cluster, p);
      if (tick_due)
        tick (cluster, p);
    }
  if (cluster->desc.inject_faults && now >= cluster->next_fault_at)
    {
      cluster->next_fault_at = now + FAULT_INTERVAL_US;
      inject_fault (cluster);
    }
}

size_t
cluster_random_below (struct cluster *cluster, size_t n)
{
  return (size_t)(random_next (&cluster->random) >> 11) % n;
}
