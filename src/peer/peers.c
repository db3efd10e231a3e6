#include "peer/peers.h"

#include "base/log.h"
#include "base/net.h"
#include "peer/link.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* types */

/* An address to dial, and the connection to it.  */
struct target
{
  struct target *next;
  struct peers *peers;
  char address_text[64];
  struct str address;     /* of `address_text' */
  struct peer_link *link; /* NULL between tries */
  apr_time_t heard_at;    /* last acknowledgement */
  apr_time_t useful_at;   /* last time the connection was open */
  int64_t retry_ms;
  struct timer retry;
};

/* A connection that another entry dialled.  */
struct guest
{
  struct guest *next;
  struct peer_link *link;
  apr_time_t heard_at;
};

/* An entry heard of.  */
struct member
{
  struct member *next;
  apr_pool_t *pool; /* of the strings in `beat' */
  struct beat beat;
  apr_time_t heard_at;
  bool alive;
};

struct peers
{
  struct peers_desc desc;
  apr_pool_t *pool;
  struct target *targets;
  struct guest *guests;
  size_t guest_count;
  struct member *members;
  struct roster *roster;
  int listener;
  struct timer heartbeat;
  apr_time_t fetch_until[DOCUMENT_KINDS]; /* a fetch is in progress */
  struct counter *beats_sent;
  struct counter *beats_received;
  struct counter *fetches;
  struct counter *shares_sent;
  struct counter *shares_received;
  struct counter *bytes;
  struct counter *alive_gauge;
  int64_t closed_bytes;
};

/* constants */

enum
{
  FIRST_RETRY_MS = 100,
  LONGEST_RETRY_MS = 2000,
  FETCH_TIMEOUT_MS = 500,
  FORGET_AFTER_MS = 60000,
  LISTEN_BACKLOG = 512,
  GUESTS_MAX = 8192 /* connections accepted at a time */
};

/* private functions */

static struct timer_service *
timers (struct peers *peers)
{
  return loop_timers (peers->desc.loop);
}

static void
send_message (struct peer_link *link, const struct message *message)
{
  apr_pool_t *pool;
  apr_pool_create (&pool, NULL);
  peer_link_send (link, message_pack (message, pool));
  apr_pool_destroy (pool);
}

static int64_t
version_of (const struct peers *peers, int64_t kind)
{
  return peers->desc.documents[kind].version (peers->desc.part);
}

static void
make_beat (struct peers *peers, struct beat *beat)
{
  *beat = peers->desc.self;
  for (int kind = DOCUMENT_CONFIG; kind < DOCUMENT_KINDS; kind++)
    beat->versions[kind] = version_of (peers, kind);
  peers->desc.load (peers->desc.part, beat);
}

static void
send_beat (struct peers *peers, struct target *target)
{
  struct message message = { .type = MESSAGE_BEAT };
  make_beat (peers, &message.beat);
  send_message (target->link, &message);
  counter_add (peers->beats_sent, 1);
}

/* Makes the roster anew from the members and this entry.  */
static void
publish (struct peers *peers)
{
  size_t n = 1;
  for (struct member *m = peers->members; m; m = m->next)
    n++;
  struct roster_member *list = calloc (n, sizeof *list);
  if (!list)
    abort ();
  make_beat (peers, &list[0].beat);
  list[0].is_self = true;
  list[0].alive = true;
  list[0].heard_at = timer_clock ();
  n = 1;
  for (struct member *m = peers->members; m; m = m->next)
    list[n++] = (struct roster_member){ .beat = m->beat,
                                        .alive = m->alive,
                                        .heard_at = m->heard_at };
  roster_unref (peers->roster);
  peers->roster = roster_create (list, n);
  free (list);
  counter_set (peers->alive_gauge, (int64_t)roster_alive (peers->roster));
  peers->desc.changed (peers->desc.part, peers->roster);
}

static struct member *
find_member (struct peers *peers, struct str name)
{
  for (struct member *m = peers->members; m; m = m->next)
    if (str_equal (m->beat.name, name))
      return m;
  return NULL;
}

static struct member *
add_member (struct peers *peers)
{
  struct member *m = calloc (1, sizeof *m);
  if (!m)
    abort ();
  m->next = peers->members;
  peers->members = m;
  return m;
}

static void
store_beat (struct member *m, const struct beat *beat)
{
  apr_pool_t *pool;
  apr_pool_create (&pool, NULL);
  struct beat copied = beat_copy (pool, beat);
  if (m->pool)
    apr_pool_destroy (m->pool);
  m->pool = pool;
  m->beat = copied;
}

static bool
tells_more (const struct member *m, const struct beat *beat)
{
  return !m->alive || m->beat.state != beat->state
         || m->beat.incarnation != beat->incarnation
         || memcmp (m->beat.versions, beat->versions, sizeof beat->versions)
                != 0
         || m->beat.confirmed != beat->confirmed
         || m->beat.in_flight != beat->in_flight
         || m->beat.queued != beat->queued;
}

/* Asks for the document of KIND, of which the other side has VERSION.  */
static void
fetch (struct peers *peers, struct peer_link *link, int64_t kind,
       int64_t version)
{
  apr_time_t now = timer_clock ();
  int64_t held = version_of (peers, kind);
  if (version <= held || now < peers->fetch_until[kind])
    return;
  peers->fetch_until[kind] = now + TIMER_MS (FETCH_TIMEOUT_MS);
  counter_add (peers->fetches, 1);
  send_message (link, &(struct message){ .type = MESSAGE_FETCH,
                                         .kind = kind,
                                         .version = held });
}

static void
take_beat (struct peers *peers, struct peer_link *link,
           const struct beat *beat)
{
  if (str_equal (beat->name, peers->desc.self.name))
    return;
  struct member *m = find_member (peers, beat->name);
  if (m && beat->incarnation < m->beat.incarnation)
    return;
  counter_add (peers->beats_received, 1);
  if (!m)
    m = add_member (peers);
  bool news = tells_more (m, beat);
  if (!m->alive)
    LOG (LOG_INFO, "peer-alive", LOG_TEXT ("peer", beat->name.data));
  m->heard_at = timer_clock ();
  m->alive = true;
  if (news)
    {
      store_beat (m, beat);
      peers_learn (peers, m->beat.peers);
      publish (peers);
    }
  for (int kind = DOCUMENT_CONFIG; kind < DOCUMENT_KINDS; kind++)
    fetch (peers, link, kind, beat->versions[kind]);
  send_message (link, &(struct message){
                          .type = MESSAGE_ACK,
                          .version = version_of (peers, DOCUMENT_CONFIG) });
}

static void
send_document (struct peers *peers, struct peer_link *link, int64_t kind,
               int64_t held)
{
  int64_t version = version_of (peers, kind);
  if (version <= held)
    return;
  apr_pool_t *pool;
  apr_pool_create (&pool, NULL);
  struct message message = { .type = MESSAGE_DOCUMENT,
                             .kind = kind,
                             .version = version,
                             .document = peers->desc.documents[kind].text (
                                 peers->desc.part, pool) };
  send_message (link, &message);
  apr_pool_destroy (pool);
}

static void
take_message (struct peers *peers, struct peer_link *link, struct str payload)
{
  struct message message;
  apr_pool_t *pool;
  apr_pool_create (&pool, NULL);
  if (message_unpack (payload, pool, &message))
    switch (message.type)
      {
      case MESSAGE_BEAT:
        take_beat (peers, link, &message.beat);
        break;
      case MESSAGE_ACK:
        fetch (peers, link, DOCUMENT_CONFIG, message.version);
        break;
      case MESSAGE_FETCH:
        send_document (peers, link, message.kind, message.version);
        break;
      case MESSAGE_DOCUMENT:
        peers->fetch_until[message.kind] = 0;
        peers->desc.documents[message.kind].offer (peers->desc.part,
                                                   message.document, "peer");
        break;
      case MESSAGE_SHARE:
        counter_add (peers->shares_received, 1);
        peers->desc.share (peers->desc.part, message.from, &message.share);
        break;
      default:
        break;
      }
  apr_pool_destroy (pool);
}

/* Dialled connections.  */

static void dial (struct target *target);

static void
on_retry (void *part, apr_time_t now)
{
  (void)now;
  dial (part);
}

static void
on_target_opened (void *part, struct peer_link *link)
{
  (void)link;
  struct target *target = part;
  target->heard_at = target->useful_at = timer_clock ();
  target->retry_ms = FIRST_RETRY_MS;
  send_beat (target->peers, target);
}

static void
on_target_received (void *part, struct peer_link *link, struct str payload)
{
  struct target *target = part;
  target->heard_at = target->useful_at = timer_clock ();
  take_message (target->peers, link, payload);
}

static void
drop_target_link (struct target *target)
{
  target->peers->closed_bytes += peer_link_bytes (target->link);
  peer_link_destroy (target->link);
  target->link = NULL;
  int64_t wait_ms
      = target->retry_ms / 2 + rand () % (int)(target->retry_ms / 2 + 1);
  target->retry_ms *= 2;
  if (target->retry_ms > LONGEST_RETRY_MS)
    target->retry_ms = LONGEST_RETRY_MS;
  timer_start (timers (target->peers), &target->retry,
               timer_clock () + TIMER_MS (wait_ms), on_retry, target);
}

static void
on_target_closed (void *part, struct peer_link *link, const char *reason)
{
  (void)link;
  (void)reason;
  drop_target_link (part);
}

static void
dial (struct target *target)
{
  struct peers *peers = target->peers;
  struct peer_link_desc desc = { .loop = peers->desc.loop,
                                 .key = peers->desc.key,
                                 .silent_ms = peers->desc.silent_ms,
                                 .opened = on_target_opened,
                                 .received = on_target_received,
                                 .closed = on_target_closed,
                                 .part = target };
  target->heard_at = timer_clock ();
  target->link = peer_link_dial (&desc, target->address);
}

/* Accepted connections.  */

static struct guest *
guest_of (struct peers *peers, struct peer_link *link)
{
  struct guest *guest = peers->guests;
  while (guest && guest->link != link)
    guest = guest->next;
  return guest;
}

static void
drop_guest (struct peers *peers, struct guest *guest)
{
  struct guest **at = &peers->guests;
  while (*at != guest)
    at = &(*at)->next;
  *at = guest->next;
  peers->guest_count--;
  peers->closed_bytes += peer_link_bytes (guest->link);
  peer_link_destroy (guest->link);
  free (guest);
}

static void
on_guest_opened (void *part, struct peer_link *link)
{
  (void)part;
  (void)link;
}

static void
on_guest_received (void *part, struct peer_link *link, struct str payload)
{
  struct peers *peers = part;
  struct guest *guest = guest_of (peers, link);
  if (guest)
    guest->heard_at = timer_clock ();
  take_message (peers, link, payload);
}

static void
on_guest_closed (void *part, struct peer_link *link, const char *reason)
{
  (void)reason;
  drop_guest (part, guest_of (part, link));
}

static void
on_accept (void *part, int fd, int events)
{
  (void)events;
  struct peers *peers = part;
  for (;;)
    {
      int accepted = accept4 (fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
      if (accepted < 0)
        return;
      if (peers->guest_count >= GUESTS_MAX)
        {
          close (accepted);
          continue;
        }
      struct peer_link_desc desc = { .loop = peers->desc.loop,
                                     .key = peers->desc.key,
                                     .silent_ms = peers->desc.silent_ms,
                                     .opened = on_guest_opened,
                                     .received = on_guest_received,
                                     .closed = on_guest_closed,
                                     .part = peers };
      struct guest *guest = calloc (1, sizeof *guest);
      if (!guest)
        abort ();
      guest->heard_at = timer_clock ();
      guest->link = peer_link_accept (&desc, accepted);
      peers->guest_count++;
      guest->next = peers->guests;
      peers->guests = guest;
    }
}

/* The heartbeat: sends, and looks for silence.  */

static bool
mark_silent (struct peers *peers, apr_time_t now)
{
  bool changed = false;
  struct member **at = &peers->members;
  while (*at)
    {
      struct member *m = *at;
      apr_time_t silence = now - m->heard_at;
      if (m->alive && silence > TIMER_MS (peers->desc.silent_ms))
        {
          m->alive = false;
          changed = true;
          LOG (LOG_WARN, "peer-silent", LOG_TEXT ("peer", m->beat.name.data));
        }
      if (silence > TIMER_MS (FORGET_AFTER_MS))
        {
          *at = m->next;
          apr_pool_destroy (m->pool);
          free (m);
          changed = true;
          continue;
        }
      at = &m->next;
    }
  return changed;
}

static void
close_silent_links (struct peers *peers, apr_time_t now)
{
  apr_time_t limit = TIMER_MS (peers->desc.silent_ms);
  for (struct target *t = peers->targets; t; t = t->next)
    if (t->link && now - t->heard_at > limit)
      drop_target_link (t);
  struct guest *next;
  for (struct guest *g = peers->guests; g; g = next)
    {
      next = g->next;
      if (now - g->heard_at > 2 * limit)
        drop_guest (peers, g);
    }
}

static void
count_bytes (struct peers *peers)
{
  int64_t bytes = peers->closed_bytes;
  for (struct target *t = peers->targets; t; t = t->next)
    if (t->link)
      bytes += peer_link_bytes (t->link);
  for (struct guest *g = peers->guests; g; g = g->next)
    bytes += peer_link_bytes (g->link);
  counter_set (peers->bytes, bytes);
}

/* Forgets addresses that have not answered for long, unless they are in
   settings; the platform's list or a heartbeat brings them back.  */
static void
forget_targets (struct peers *peers, apr_time_t now)
{
  struct target **at = &peers->targets;
  while (*at)
    {
      struct target *t = *at;
      if (now - t->useful_at > TIMER_MS (FORGET_AFTER_MS)
          && !str_list_has (&peers->desc.seeds, t->address))
        {
          *at = t->next;
          timer_stop (timers (peers), &t->retry);
          peer_link_destroy (t->link);
          free (t);
          continue;
        }
      at = &t->next;
    }
}

static void
on_heartbeat (void *part, apr_time_t now)
{
  struct peers *peers = part;
  close_silent_links (peers, now);
  if (mark_silent (peers, now))
    publish (peers);
  peers_announce (peers);
  forget_targets (peers, now);
  count_bytes (peers);
  timer_start (timers (peers), &peers->heartbeat,
               now + TIMER_MS (peers->desc.heartbeat_ms), on_heartbeat, peers);
}

/* public functions */

enum err_code
peers_create (apr_pool_t *pool, const struct peers_desc *desc,
              struct peers **result, struct err *err)
{
  (void)err;
  struct peers *peers = apr_pcalloc (pool, sizeof *peers);
  struct counters *counters = desc->counters;
  peers->desc = *desc;
  peers->pool = pool;
  peers->listener = -1;
  peers->beats_sent = counter_get (counters, "citroncleat_peer_messages_total",
                                   "type=\"beat\",way=\"sent\"",
                                   "Messages between entries.");
  peers->beats_received = counter_get (
      counters, "citroncleat_peer_messages_total",
      "type=\"beat\",way=\"received\"", "Messages between entries.");
  peers->fetches = counter_get (counters, "citroncleat_peer_messages_total",
                                "type=\"fetch\",way=\"sent\"",
                                "Messages between entries.");
  peers->shares_sent = counter_get (
      counters, "citroncleat_peer_messages_total",
      "type=\"share\",way=\"sent\"", "Messages between entries.");
  peers->shares_received = counter_get (
      counters, "citroncleat_peer_messages_total",
      "type=\"share\",way=\"received\"", "Messages between entries.");
  peers->bytes = counter_get (counters, "citroncleat_peer_bytes_total", "",
                              "Bytes sent to and received from entries.");
  peers->alive_gauge = gauge_get (counters, "citroncleat_peers_alive", "",
                                  "Entries alive, this one included.");
  *result = peers;
  return ERR_NONE;
}

enum err_code
peers_start (struct peers *peers, struct err *err)
{
  enum err_code code = net_listen (peers->desc.self.peers, LISTEN_BACKLOG,
                                   &peers->listener, err);
  if (code != ERR_NONE)
    return code;
  loop_watch (peers->desc.loop, peers->listener, LOOP_READ, on_accept, peers);
  for (size_t i = 0; i < peers->desc.seeds.count; i++)
    peers_learn (peers, peers->desc.seeds.items[i]);
  publish (peers);
  on_heartbeat (peers, timer_clock ());
  return ERR_NONE;
}

void
peers_destroy (struct peers *peers)
{
  if (!peers)
    return;
  timer_stop (timers (peers), &peers->heartbeat);
  while (peers->targets)
    {
      struct target *t = peers->targets;
      peers->targets = t->next;
      timer_stop (timers (peers), &t->retry);
      peer_link_destroy (t->link);
      free (t);
    }
  while (peers->guests)
    drop_guest (peers, peers->guests);
  while (peers->members)
    {
      struct member *m = peers->members;
      peers->members = m->next;
      if (m->pool)
        apr_pool_destroy (m->pool);
      free (m);
    }
  roster_unref (peers->roster);
  if (peers->listener >= 0)
    {
      loop_unwatch (peers->desc.loop, peers->listener);
      close (peers->listener);
    }
}

void
peers_learn (struct peers *peers, struct str address)
{
  if (str_equal (address, peers->desc.self.peers) || address.size == 0)
    return;
  for (struct target *t = peers->targets; t; t = t->next)
    if (str_equal (t->address, address))
      {
        t->useful_at = timer_clock ();
        return;
      }
  struct target *t = calloc (1, sizeof *t);
  if (!t)
    abort ();
  t->peers = peers;
  snprintf (t->address_text, sizeof t->address_text, "%.*s",
            STR_ARGS (address));
  t->address = str_from (t->address_text);
  t->retry_ms = FIRST_RETRY_MS;
  t->useful_at = timer_clock ();
  t->next = peers->targets;
  peers->targets = t;
  dial (t);
}

void
peers_set_state (struct peers *peers, enum entry_state state)
{
  peers->desc.self.state = state;
  publish (peers);
  peers_announce (peers);
}

void
peers_send_share (struct peers *peers, struct str to,
                  const struct share_message *share)
{
  struct member *m = find_member (peers, to);
  if (!m)
    return;
  struct message message = { .type = MESSAGE_SHARE,
                             .from = peers->desc.self.name,
                             .share = *share };
  for (struct target *t = peers->targets; t; t = t->next)
    if (t->link && str_equal (t->address, m->beat.peers))
      {
        send_message (t->link, &message);
        counter_add (peers->shares_sent, 1);
        return;
      }
}

void
peers_announce (struct peers *peers)
{
  for (struct target *t = peers->targets; t; t = t->next)
    if (t->link && peer_link_is_open (t->link))
      send_beat (peers, t);
}

const struct roster *
peers_roster (const struct peers *peers)
{
  return peers->roster;
}
