#include "bench/steer/crowd.h"

#include "base/random.h"
#include "base/timer.h"

#include <stdio.h>
#include <stdlib.h>

/* types */

enum mail_kind
{
  MAIL_SHARE = 1,
  MAIL_CONFIRMED,
  MAIL_MEMBERSHIP
};

struct crowd_mail
{
  struct crowd_mail *next;
  enum mail_kind kind;
  int from;
  int to;
  int64_t incarnation; /* of the sender */
  apr_time_t due;
  int64_t confirmed;
  struct membership *membership;
  char names[SHARE_ITEMS_MAX][64];
  struct share_message share;
};

/* constants */

#define TICK_US TIMER_MS (5)
#define BEAT_US TIMER_MS (250)
#define DISTURB_US TIMER_MS (400)
#define JITTER_US TIMER_MS (2)
#define NEAR_US 500
#define WINDOW_US TIMER_MS (100)

/* private functions */

static struct crowd_mail *
post (struct crowd *f, enum mail_kind kind, int from, int to)
{
  const struct crowd_process *a = &f->processes[from];
  const struct crowd_process *b = &f->processes[to];
  bool far = !str_equal (a->region, b->region);
  struct crowd_mail *mail = calloc (1, sizeof *mail);
  if (!mail)
    abort ();
  mail->kind = kind;
  mail->from = from;
  mail->to = to;
  mail->incarnation = a->incarnation;
  mail->due = f->now + (far ? f->desc.distance_us : NEAR_US)
              + (apr_time_t)crowd_pick (f, JITTER_US);
  /* A lost message is made and dropped, so that a run does not depend on
     it.  */
  if ((double)crowd_pick (f, 1000) < 1000 * f->desc.loss || a->cut_off
      || b->cut_off)
    mail->to = -1;
  mail->next = f->mails;
  f->mails = mail;
  return mail;
}

static void
on_send (void *part, struct str to, const struct share_message *message)
{
  /* PART is a process, whose place tells the fleet.  */
  struct crowd_process *p = part;
  struct crowd *f = (struct crowd *)((char *)(p - p->index)
                                     - offsetof (struct crowd, processes));
  int receiver = atoi (to.data + 1);
  struct crowd_mail *mail = post (f, MAIL_SHARE, p->index, receiver);
  mail->share = *message;
  for (size_t i = 0; i < message->count; i++)
    {
      snprintf (mail->names[i], sizeof mail->names[i], "%.*s",
                STR_ARGS (message->items[i].name));
      mail->share.items[i].name = str_from (mail->names[i]);
    }
}

static void
divide (const struct crowd *f, struct crowd_process *p)
{
  int64_t least = f->desc.no_waiting ? p->held->version
                                     : confirmations_min (p->known, p->held,
                                                          str_from (p->name));
  steer_set_membership (p->steer, p->held, least);
}

static void
start_process (struct crowd *f, int i)
{
  struct crowd_process *p = &f->processes[i];
  struct share_peer peers[FLEET_MAX];
  size_t count = 0;
  p->alive = true;
  p->paused = p->cut_off = false;
  p->index = i;
  p->incarnation++;
  p->confirmed = 0;
  p->region = f->desc.regions[i % f->desc.region_count];
  snprintf (p->name, sizeof p->name, "e%02d", i);
  struct steer_desc desc = { .region = p->region,
                             .seed = random_next (&f->random) | 1,
                             .share = { .entry = str_from (p->name),
                                        .incarnation = p->incarnation,
                                        .loan_duration_us = f->desc.loan_us,
                                        .max_use_us = f->desc.hold_us,
                                        .seed = random_next (&f->random) | 1,
                                        .send = on_send,
                                        .user_data = p } };
  p->steer = steer_create (f->pool, &desc);
  p->held = membership_empty ();
  p->known = confirmations_create (f->pool);
  divide (f, p);
  steer_apply (p->steer, f->desc.snapshot, f->now);
  for (int o = 0; o < f->desc.count; o++)
    {
      struct str region = f->desc.regions[o % f->desc.region_count];
      bool near = str_equal (region, p->region);
      if (o != i)
        peers[count++] = (struct share_peer){
          str_printf (f->pool, "e%02d", o), region,
          2 * (near ? NEAR_US : f->desc.distance_us)
        };
    }
  share_set_peers (steer_shares (p->steer), peers, count);
}

static void
end_process (struct crowd *f, struct crowd_process *p)
{
  if (f->desc.ended)
    f->desc.ended (f->desc.part, p);
  p->alive = false;
  steer_destroy (p->steer);
  membership_unref (p->held);
}

/* The platform's word: a process that does not run is gone.  */
static bool
is_gone (void *part, const struct member_record *record)
{
  const struct crowd *f = part;
  const struct crowd_process *p = &f->processes[atoi (record->name.data + 1)];
  return !p->alive || p->incarnation > record->incarnation;
}

static void
propose (struct crowd *f)
{
  struct member_observation observations[FLEET_MAX];
  size_t count = 0;
  for (int i = 0; i < f->desc.count; i++)
    if (f->processes[i].alive && !f->processes[i].cut_off)
      observations[count++] = (struct member_observation){
        .record = { .name = str_from (f->processes[i].name),
                    .region = f->processes[i].region,
                    .peer_address = STR ("1.1.1.1:1"),
                    .incarnation = f->processes[i].incarnation },
        .is_serving = true,
      };
  struct membership_view view = { .observations = observations,
                                  .count = count,
                                  .is_gone = is_gone,
                                  .user_data = f };
  struct membership *next = membership_propose (f->stored, &view);
  if (!next)
    return;
  membership_unref (f->stored);
  f->stored = next;
}

static void
adopt (struct crowd *f, struct crowd_process *p, struct membership *membership)
{
  if (membership->version <= p->held->version)
    return;
  membership_unref (p->held);
  p->held = membership_ref (membership);
  p->adopted_at = f->now;
  divide (f, p);
}

static void
take (struct crowd *f, struct crowd_mail *mail)
{
  struct crowd_process *to = &f->processes[mail->to];
  const struct crowd_process *from = &f->processes[mail->from];
  switch (mail->kind)
    {
    case MAIL_SHARE:
      share_receive (steer_shares (to->steer), str_from (from->name),
                     &mail->share, f->now);
      break;
    case MAIL_CONFIRMED:
      confirmations_record (to->known, str_from (from->name),
                            mail->incarnation, mail->confirmed);
      divide (f, to);
      break;
    case MAIL_MEMBERSHIP:
      adopt (f, to, mail->membership);
      break;
    }
}

static void
deliver (struct crowd *f)
{
  struct crowd_mail *all = f->mails;
  struct crowd_mail *next;
  f->mails = NULL;
  for (struct crowd_mail *mail = all; mail; mail = next)
    {
      next = mail->next;
      bool lost = mail->to < 0 || !f->processes[mail->to].alive
                  || f->processes[mail->to].cut_off;
      if (!lost && (mail->due > f->now || f->processes[mail->to].paused))
        {
          mail->next = f->mails;
          f->mails = mail;
          continue;
        }
      if (!lost)
        take (f, mail);
      membership_unref (mail->membership);
      free (mail);
    }
}

/* Heartbeats carry confirmations, and bring whoever is behind up to date.  */
static void
heartbeat (struct crowd *f, struct crowd_process *p)
{
  for (int o = 0; o < f->desc.count; o++)
    {
      if (o == p->index || !f->processes[o].alive)
        continue;
      post (f, MAIL_CONFIRMED, p->index, o)->confirmed = p->confirmed;
      post (f, MAIL_MEMBERSHIP, p->index, o)->membership
          = membership_ref (p->held);
    }
}

static void
tick (struct crowd *f, struct crowd_process *p)
{
  f->desc.want (f->desc.part, p, f->now);
  share_tick (steer_shares (p->steer), f->now);
  if (p->confirmed < p->held->version && f->now >= p->adopted_at + WINDOW_US
      && steer_is_within_limits (p->steer, f->now))
    {
      p->confirmed = p->held->version;
      heartbeat (f, p);
    }
}

static void
disturb (struct crowd *f)
{
  size_t touched = (size_t)(f->desc.count - f->desc.untouched);
  struct crowd_process *p
      = &f->processes[f->desc.untouched + (int)crowd_pick (f, touched)];
  for (int i = 0; i < f->desc.count; i++)
    if (crowd_pick (f, 4) == 0)
      f->processes[i].paused = f->processes[i].cut_off = false;
  if (!p->alive)
    {
      start_process (f, p->index);
      return;
    }
  switch (crowd_pick (f, 4))
    {
    case 0:
      end_process (f, p);
      break;
    case 1:
      p->paused = true;
      break;
    case 2:
      p->cut_off = true;
      break;
    default: /* killed and restarted at once */
      end_process (f, p);
      start_process (f, p->index);
    }
}

/* public functions */

struct crowd *
crowd_create (const struct crowd_desc *desc, apr_time_t now)
{
  struct crowd *f = calloc (1, sizeof *f);
  if (!f)
    abort ();
  f->desc = *desc;
  f->now = f->tick_at = f->beat_at = now;
  f->disturb_at = now + DISTURB_US;
  f->random = desc->seed * 0x9E3779B97F4A7C15ULL + 1;
  f->stored = membership_empty ();
  apr_pool_create (&f->pool, NULL);
  for (int i = 0; i < desc->count; i++)
    start_process (f, i);
  return f;
}

void
crowd_destroy (struct crowd *f)
{
  for (int i = 0; i < f->desc.count; i++)
    if (f->processes[i].alive)
      end_process (f, &f->processes[i]);
  while (f->mails)
    {
      struct crowd_mail *mail = f->mails;
      f->mails = mail->next;
      membership_unref (mail->membership);
      free (mail);
    }
  membership_unref (f->stored);
  apr_pool_destroy (f->pool);
  free (f);
}

void
crowd_step (struct crowd *f, apr_time_t now)
{
  f->now = now;
  deliver (f);
  bool beats = now >= f->beat_at;
  bool ticks = now >= f->tick_at;
  if (beats)
    {
      f->beat_at = now + BEAT_US;
      propose (f);
    }
  if (ticks)
    f->tick_at = now + TICK_US;
  for (int i = 0; i < f->desc.count; i++)
    {
      struct crowd_process *p = &f->processes[i];
      if (!p->alive || p->paused)
        continue;
      /* Relays read the store; here the first two that are not cut off.  */
      if (beats && i < 2 && !p->cut_off)
        adopt (f, p, f->stored);
      if (beats)
        heartbeat (f, p);
      if (ticks)
        tick (f, p);
    }
  if (f->desc.disturbed && now >= f->disturb_at)
    {
      f->disturb_at = now + DISTURB_US;
      disturb (f);
    }
}

size_t
crowd_pick (struct crowd *f, size_t n)
{
  return (size_t)(random_next (&f->random) >> 11) % n;
}
