#include "peer/peers.h"

#include "base/log.h"
#include "base/net.h"
#include "peer/peer_connection.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* types */

/* An address that this entry dials, and the connection to it.  */
struct outbound
{
  struct outbound *next;
  struct peers *peers;
  char address_text[64];
  struct str address;                 /* of `address_text' */
  struct peer_connection *connection; /* NULL between attempts */
  /* When it was last dialled or opened, or a message was received on it.  */
  apr_time_t last_heard_at;
  /* When it was last opened, a message was received on it, or the address was
     added, also again.  */
  apr_time_t last_useful_at;
  int64_t retry_ms; /* delay before the next attempt, without jitter */
  struct timer retry;
};

/* A connection that another entry dialled.  */
struct inbound
{
  struct inbound *next;
  struct peer_connection *connection;
  apr_time_t last_heard_at;
};

/* An entry that has sent a heartbeat.  */
struct known_entry
{
  struct known_entry *next;
  apr_pool_t *pool; /* of the strings in `heartbeat' */
  struct heartbeat heartbeat;
  apr_time_t last_heard_at;
  bool alive;
};

struct peers
{
  struct peers_desc desc;
  apr_pool_t *pool;
  struct outbound *outbound_list;
  struct inbound *inbound_list;
  size_t inbound_count;
  struct known_entry *entries;
  struct roster *roster;
  int listener;
  struct timer heartbeat_timer;
  /* A request for the document is in progress until then.  */
  apr_time_t fetch_deadline[DOCUMENT_KINDS];
  struct counter *heartbeats_sent;
  struct counter *heartbeats_received;
  struct counter *fetches;
  struct counter *shares_sent;
  struct counter *shares_received;
  struct counter *bytes;
  struct counter *alive_gauge;
  int64_t bytes_of_closed; /* of connections that have ended */
};

/* constants */

enum
{
  MIN_RETRY_MS = 100,      /* delay before an address is dialled again */
  MAX_RETRY_MS = 2000,     /* the delay doubles up to this; up to half of it is
                              taken off at random */
  FETCH_TIMEOUT_MS = 500,  /* after this a document is requested again */
  REMOVE_AFTER_MS = 60000, /* silent entries, and addresses without response */
  LISTEN_BACKLOG = 512,
  MAX_INBOUND = 8192 /* accepted connections that are open */
};

/* private functions */

static struct timer_service *
timers (struct peers *peers)
{
  return loop_timers (peers->desc.loop);
}

static void
send_message (struct peer_connection *connection,
              const struct message *message)
{
  apr_pool_t *pool;
  apr_pool_create (&pool, NULL);
  peer_connection_send (connection, message_pack (message, pool));
  apr_pool_destroy (pool);
}

static int64_t
version_of (const struct peers *peers, int64_t kind)
{
  return peers->desc.documents[kind].version (peers->desc.user_data);
}

static void
make_heartbeat (struct peers *peers, struct heartbeat *heartbeat)
{
  *heartbeat = peers->desc.self;
  for (int kind = DOCUMENT_CONFIG; kind < DOCUMENT_KINDS; kind++)
    heartbeat->versions[kind] = version_of (peers, kind);
  peers->desc.fill_load (peers->desc.user_data, heartbeat);
}

static void
send_heartbeat (struct peers *peers, struct outbound *outbound)
{
  struct message message = { .type = MESSAGE_HEARTBEAT };
  make_heartbeat (peers, &message.heartbeat);
  send_message (outbound->connection, &message);
  counter_add (peers->heartbeats_sent, 1);
}

/* Makes a new roster of this entry and the known ones, and hands it to the
   owner.  */
static void
publish_roster (struct peers *peers)
{
  size_t n = 1;
  for (struct known_entry *entry = peers->entries; entry; entry = entry->next)
    n++;
  struct roster_entry *list = calloc (n, sizeof *list);
  if (!list)
    abort ();
  make_heartbeat (peers, &list[0].heartbeat);
  list[0].is_self = true;
  list[0].alive = true;
  list[0].last_heard_at = timer_clock ();
  n = 1;
  for (struct known_entry *entry = peers->entries; entry; entry = entry->next)
    list[n++] = (struct roster_entry){ .heartbeat = entry->heartbeat,
                                       .alive = entry->alive,
                                       .last_heard_at = entry->last_heard_at };
  roster_unref (peers->roster);
  peers->roster = roster_create (list, n);
  free (list);
  counter_set (peers->alive_gauge,
               (int64_t)roster_count_alive (peers->roster));
  peers->desc.roster_changed (peers->desc.user_data, peers->roster);
}

static struct known_entry *
find_entry (struct peers *peers, struct str name)
{
  for (struct known_entry *entry = peers->entries; entry; entry = entry->next)
    if (str_equal (entry->heartbeat.name, name))
      return entry;
  return NULL;
}

static struct known_entry *
add_entry (struct peers *peers)
{
  struct known_entry *entry = calloc (1, sizeof *entry);
  if (!entry)
    abort ();
  entry->next = peers->entries;
  peers->entries = entry;
  return entry;
}

static void
save_heartbeat (struct known_entry *entry, const struct heartbeat *heartbeat)
{
  apr_pool_t *pool;
  apr_pool_create (&pool, NULL);
  struct heartbeat copied = heartbeat_copy (pool, heartbeat);
  if (entry->pool)
    apr_pool_destroy (entry->pool);
  entry->pool = pool;
  entry->heartbeat = copied;
}

/* Returns whether HEARTBEAT changes what the roster contains about ENTRY.  */
static bool
changes_entry (const struct known_entry *entry,
               const struct heartbeat *heartbeat)
{
  return !entry->alive || entry->heartbeat.state != heartbeat->state
         || entry->heartbeat.incarnation != heartbeat->incarnation
         || memcmp (entry->heartbeat.versions, heartbeat->versions,
                    sizeof heartbeat->versions)
                != 0
         || entry->heartbeat.confirmed != heartbeat->confirmed
         || entry->heartbeat.in_flight != heartbeat->in_flight
         || entry->heartbeat.queued != heartbeat->queued;
}

/* Requests the document of KIND, of which the peer holds VERSION, if that is
   newer than the one held here and no request is in progress.  */
static void
request_document (struct peers *peers, struct peer_connection *connection,
                  int64_t kind, int64_t version)
{
  apr_time_t now = timer_clock ();
  int64_t held = version_of (peers, kind);
  if (version <= held || now < peers->fetch_deadline[kind])
    return;
  peers->fetch_deadline[kind] = now + TIMER_MS (FETCH_TIMEOUT_MS);
  counter_add (peers->fetches, 1);
  send_message (connection, &(struct message){ .type = MESSAGE_FETCH,
                                               .kind = kind,
                                               .version = held });
}

static void
handle_heartbeat (struct peers *peers, struct peer_connection *connection,
                  const struct heartbeat *heartbeat)
{
  if (str_equal (heartbeat->name, peers->desc.self.name))
    return;
  struct known_entry *entry = find_entry (peers, heartbeat->name);
  if (entry && heartbeat->incarnation < entry->heartbeat.incarnation)
    return;
  counter_add (peers->heartbeats_received, 1);
  if (!entry)
    entry = add_entry (peers);
  bool is_changed = changes_entry (entry, heartbeat);
  if (!entry->alive)
    LOG (LOG_INFO, "peer-alive", LOG_TEXT ("peer", heartbeat->name.data));
  entry->last_heard_at = timer_clock ();
  entry->alive = true;
  if (is_changed)
    {
      save_heartbeat (entry, heartbeat);
      peers_add_address (peers, entry->heartbeat.peer_address);
      publish_roster (peers);
    }
  for (int kind = DOCUMENT_CONFIG; kind < DOCUMENT_KINDS; kind++)
    request_document (peers, connection, kind, heartbeat->versions[kind]);
  send_message (connection, &(struct message){ .type = MESSAGE_ACK,
                                               .version = version_of (
                                                   peers, DOCUMENT_CONFIG) });
}

/* Sends the document of KIND if it is newer than the version HELD by the
   peer.  */
static void
send_document (struct peers *peers, struct peer_connection *connection,
               int64_t kind, int64_t held)
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
                                 peers->desc.user_data, pool) };
  send_message (connection, &message);
  apr_pool_destroy (pool);
}

static void
handle_message (struct peers *peers, struct peer_connection *connection,
                struct str payload)
{
  struct message message;
  apr_pool_t *pool;
  apr_pool_create (&pool, NULL);
  if (message_unpack (payload, pool, &message))
    switch (message.type)
      {
      case MESSAGE_HEARTBEAT:
        handle_heartbeat (peers, connection, &message.heartbeat);
        break;
      case MESSAGE_ACK:
        request_document (peers, connection, DOCUMENT_CONFIG, message.version);
        break;
      case MESSAGE_FETCH:
        send_document (peers, connection, message.kind, message.version);
        break;
      case MESSAGE_DOCUMENT:
        peers->fetch_deadline[message.kind] = 0;
        peers->desc.documents[message.kind].offer (peers->desc.user_data,
                                                   message.document, "peer");
        break;
      case MESSAGE_SHARE:
        counter_add (peers->shares_received, 1);
        peers->desc.share_received (peers->desc.user_data, message.from,
                                    &message.share);
        break;
      default:
        break;
      }
  apr_pool_destroy (pool);
}

/* Dialled connections.  */

static void dial (struct outbound *outbound);

static void
on_retry_due (void *user_data, apr_time_t now)
{
  (void)now;
  dial (user_data);
}

static void
on_outbound_opened (void *user_data, struct peer_connection *connection)
{
  (void)connection;
  struct outbound *outbound = user_data;
  outbound->last_heard_at = outbound->last_useful_at = timer_clock ();
  outbound->retry_ms = MIN_RETRY_MS;
  send_heartbeat (outbound->peers, outbound);
}

static void
on_outbound_received (void *user_data, struct peer_connection *connection,
                      struct str payload)
{
  struct outbound *outbound = user_data;
  outbound->last_heard_at = outbound->last_useful_at = timer_clock ();
  handle_message (outbound->peers, connection, payload);
}

static void
close_outbound (struct outbound *outbound)
{
  outbound->peers->bytes_of_closed
      += peer_connection_bytes (outbound->connection);
  peer_connection_destroy (outbound->connection);
  outbound->connection = NULL;
  int64_t wait_ms
      = outbound->retry_ms / 2 + rand () % (int)(outbound->retry_ms / 2 + 1);
  outbound->retry_ms *= 2;
  if (outbound->retry_ms > MAX_RETRY_MS)
    outbound->retry_ms = MAX_RETRY_MS;
  timer_start (timers (outbound->peers), &outbound->retry,
               timer_clock () + TIMER_MS (wait_ms), on_retry_due, outbound);
}

static void
on_outbound_closed (void *user_data, struct peer_connection *connection,
                    const char *reason)
{
  (void)connection;
  (void)reason;
  close_outbound (user_data);
}

static void
dial (struct outbound *outbound)
{
  struct peers *peers = outbound->peers;
  struct peer_connection_desc desc = { .loop = peers->desc.loop,
                                       .key = peers->desc.key,
                                       .ack_timeout_ms = peers->desc.silent_ms,
                                       .opened = on_outbound_opened,
                                       .received = on_outbound_received,
                                       .closed = on_outbound_closed,
                                       .user_data = outbound };
  outbound->last_heard_at = timer_clock ();
  outbound->connection = peer_connection_dial (&desc, outbound->address);
}

/* Accepted connections.  */

static struct inbound *
find_inbound (struct peers *peers, struct peer_connection *connection)
{
  struct inbound *inbound = peers->inbound_list;
  while (inbound && inbound->connection != connection)
    inbound = inbound->next;
  return inbound;
}

static void
close_inbound (struct peers *peers, struct inbound *inbound)
{
  struct inbound **at = &peers->inbound_list;
  while (*at != inbound)
    at = &(*at)->next;
  *at = inbound->next;
  peers->inbound_count--;
  peers->bytes_of_closed += peer_connection_bytes (inbound->connection);
  peer_connection_destroy (inbound->connection);
  free (inbound);
}

static void
on_inbound_opened (void *user_data, struct peer_connection *connection)
{
  (void)user_data;
  (void)connection;
}

static void
on_inbound_received (void *user_data, struct peer_connection *connection,
                     struct str payload)
{
  struct peers *peers = user_data;
  struct inbound *inbound = find_inbound (peers, connection);
  if (inbound)
    inbound->last_heard_at = timer_clock ();
  handle_message (peers, connection, payload);
}

static void
on_inbound_closed (void *user_data, struct peer_connection *connection,
                   const char *reason)
{
  (void)reason;
  close_inbound (user_data, find_inbound (user_data, connection));
}

static void
on_accept (void *user_data, int fd, int events)
{
  (void)events;
  struct peers *peers = user_data;
  for (;;)
    {
      int accepted = accept4 (fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
      if (accepted < 0)
        return;
      if (peers->inbound_count >= MAX_INBOUND)
        {
          close (accepted);
          continue;
        }
      struct peer_connection_desc desc
          = { .loop = peers->desc.loop,
              .key = peers->desc.key,
              .ack_timeout_ms = peers->desc.silent_ms,
              .opened = on_inbound_opened,
              .received = on_inbound_received,
              .closed = on_inbound_closed,
              .user_data = peers };
      struct inbound *inbound = calloc (1, sizeof *inbound);
      if (!inbound)
        abort ();
      inbound->last_heard_at = timer_clock ();
      inbound->connection = peer_connection_accept (&desc, accepted);
      peers->inbound_count++;
      inbound->next = peers->inbound_list;
      peers->inbound_list = inbound;
    }
}

/* Every heartbeat interval: detects silent entries and connections, and sends
   heartbeats.  */

/* Marks silent entries as not alive and removes those silent for longer than
   REMOVE_AFTER_MS.  Returns whether the roster changes.  */
static bool
mark_silent (struct peers *peers, apr_time_t now)
{
  bool changed = false;
  struct known_entry **at = &peers->entries;
  while (*at)
    {
      struct known_entry *entry = *at;
      apr_time_t silence = now - entry->last_heard_at;
      if (entry->alive && silence > TIMER_MS (peers->desc.silent_ms))
        {
          entry->alive = false;
          changed = true;
          LOG (LOG_WARN, "peer-silent",
               LOG_TEXT ("peer", entry->heartbeat.name.data));
        }
      if (silence > TIMER_MS (REMOVE_AFTER_MS))
        {
          *at = entry->next;
          apr_pool_destroy (entry->pool);
          free (entry);
          changed = true;
          continue;
        }
      at = &entry->next;
    }
  return changed;
}

static void
close_silent_connections (struct peers *peers, apr_time_t now)
{
  apr_time_t limit = TIMER_MS (peers->desc.silent_ms);
  for (struct outbound *outbound = peers->outbound_list; outbound;
       outbound = outbound->next)
    if (outbound->connection && now - outbound->last_heard_at > limit)
      close_outbound (outbound);
  struct inbound *next;
  for (struct inbound *inbound = peers->inbound_list; inbound; inbound = next)
    {
      next = inbound->next;
      if (now - inbound->last_heard_at > 2 * limit)
        close_inbound (peers, inbound);
    }
}

static void
update_byte_counter (struct peers *peers)
{
  int64_t bytes = peers->bytes_of_closed;
  for (struct outbound *outbound = peers->outbound_list; outbound;
       outbound = outbound->next)
    if (outbound->connection)
      bytes += peer_connection_bytes (outbound->connection);
  for (struct inbound *inbound = peers->inbound_list; inbound;
       inbound = inbound->next)
    bytes += peer_connection_bytes (inbound->connection);
  counter_set (peers->bytes, bytes);
}

/* Removes addresses that have sent nothing for REMOVE_AFTER_MS, unless they
   are seeds.  They are added again when the platform's list, the membership or
   a heartbeat names them.  */
static void
remove_stale_outbounds (struct peers *peers, apr_time_t now)
{
  struct outbound **at = &peers->outbound_list;
  while (*at)
    {
      struct outbound *outbound = *at;
      if (now - outbound->last_useful_at > TIMER_MS (REMOVE_AFTER_MS)
          && !str_list_contains (&peers->desc.seeds, outbound->address))
        {
          *at = outbound->next;
          timer_stop (timers (peers), &outbound->retry);
          peer_connection_destroy (outbound->connection);
          free (outbound);
          continue;
        }
      at = &outbound->next;
    }
}

static void
on_heartbeat (void *user_data, apr_time_t now)
{
  struct peers *peers = user_data;
  close_silent_connections (peers, now);
  if (mark_silent (peers, now))
    publish_roster (peers);
  peers_send_heartbeats (peers);
  remove_stale_outbounds (peers, now);
  update_byte_counter (peers);
  timer_start (timers (peers), &peers->heartbeat_timer,
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
  peers->heartbeats_sent = counter_get (
      counters, "citroncleat_peer_messages_total",
      "type=\"beat\",way=\"sent\"", "Messages between entries.");
  peers->heartbeats_received = counter_get (
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
  enum err_code code = net_listen (peers->desc.self.peer_address,
                                   LISTEN_BACKLOG, &peers->listener, err);
  if (code != ERR_NONE)
    return code;
  loop_watch (peers->desc.loop, peers->listener, LOOP_READ, on_accept, peers);
  for (size_t i = 0; i < peers->desc.seeds.count; i++)
    peers_add_address (peers, peers->desc.seeds.items[i]);
  publish_roster (peers);
  on_heartbeat (peers, timer_clock ());
  return ERR_NONE;
}

void
peers_destroy (struct peers *peers)
{
  if (!peers)
    return;
  timer_stop (timers (peers), &peers->heartbeat_timer);
  while (peers->outbound_list)
    {
      struct outbound *outbound = peers->outbound_list;
      peers->outbound_list = outbound->next;
      timer_stop (timers (peers), &outbound->retry);
      peer_connection_destroy (outbound->connection);
      free (outbound);
    }
  while (peers->inbound_list)
    close_inbound (peers, peers->inbound_list);
  while (peers->entries)
    {
      struct known_entry *entry = peers->entries;
      peers->entries = entry->next;
      if (entry->pool)
        apr_pool_destroy (entry->pool);
      free (entry);
    }
  roster_unref (peers->roster);
  if (peers->listener >= 0)
    {
      loop_unwatch (peers->desc.loop, peers->listener);
      close (peers->listener);
    }
}

void
peers_add_address (struct peers *peers, struct str address)
{
  if (str_equal (address, peers->desc.self.peer_address) || address.size == 0)
    return;
  for (struct outbound *outbound = peers->outbound_list; outbound;
       outbound = outbound->next)
    if (str_equal (outbound->address, address))
      {
        outbound->last_useful_at = timer_clock ();
        return;
      }
  struct outbound *outbound = calloc (1, sizeof *outbound);
  if (!outbound)
    abort ();
  outbound->peers = peers;
  snprintf (outbound->address_text, sizeof outbound->address_text, "%.*s",
            STR_ARGS (address));
  outbound->address = str_from (outbound->address_text);
  outbound->retry_ms = MIN_RETRY_MS;
  outbound->last_useful_at = timer_clock ();
  outbound->next = peers->outbound_list;
  peers->outbound_list = outbound;
  dial (outbound);
}

void
peers_set_state (struct peers *peers, enum entry_state state)
{
  peers->desc.self.state = state;
  publish_roster (peers);
  peers_send_heartbeats (peers);
}

void
peers_send_share (struct peers *peers, struct str to,
                  const struct share_message *share)
{
  struct known_entry *entry = find_entry (peers, to);
  if (!entry)
    return;
  struct message message = { .type = MESSAGE_SHARE,
                             .from = peers->desc.self.name,
                             .share = *share };
  for (struct outbound *outbound = peers->outbound_list; outbound;
       outbound = outbound->next)
    if (outbound->connection
        && str_equal (outbound->address, entry->heartbeat.peer_address))
      {
        send_message (outbound->connection, &message);
        counter_add (peers->shares_sent, 1);
        return;
      }
}

void
peers_send_heartbeats (struct peers *peers)
{
  for (struct outbound *outbound = peers->outbound_list; outbound;
       outbound = outbound->next)
    if (outbound->connection && peer_connection_is_open (outbound->connection))
      send_heartbeat (peers, outbound);
}

const struct roster *
peers_roster (const struct peers *peers)
{
  return peers->roster;
}
