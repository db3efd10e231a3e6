#include "peer/message.h"

#include <msgpack.h>
#include <string.h>

/* types */

/* Reads the items of one array in order.  `is_valid' becomes false at the
   first item that is missing or of the wrong type.  */
struct reader
{
  const msgpack_object *items;
  size_t count;
  size_t next;
  bool is_valid;
  apr_pool_t *pool;
};

/* private functions */

/* Returns the encoded size of the msgpack item at DATA if it is an integer or
   a string that ends within SIZE bytes, otherwise 0.  */
static size_t
item_size (const unsigned char *data, size_t size)
{
  static const unsigned char int_bytes[]
      = { 1, 2, 4, 8, 1, 2, 4, 8 }; /* of types 0xcc to 0xd3 */
  unsigned char type = data[0];
  size_t head = 1;
  size_t body = 0;
  if (type <= 0x7f || type >= 0xe0)
    return 1;
  if (type >= 0xcc && type <= 0xd3)
    head += int_bytes[type - 0xcc];
  else if (type >= 0xa0 && type <= 0xbf)
    body = type & 0x1f;
  else if (type >= 0xd9 && type <= 0xdb)
    {
      size_t length_bytes = (size_t)1 << (type - 0xd9);
      head += length_bytes;
      for (size_t i = 0; i < length_bytes && 1 + i < size; i++)
        body = body << 8 | data[1 + i];
    }
  else
    return 0;
  return head <= size && body <= size - head ? head + body : 0;
}

/* Returns whether DATA is one array of integers and strings, with at most
   65535 items.  This is checked before decoding because the library allocates
   nested containers by the size that they claim, so a message of a few bytes
   could make it allocate gigabytes.  */
static bool
is_flat_array (struct str data)
{
  const unsigned char *bytes = (const unsigned char *)data.data;
  size_t at = 1;
  int left = 0;
  if (data.size > 0 && (bytes[0] & 0xf0) == 0x90)
    left = bytes[0] & 0x0f;
  else if (data.size > 3 && bytes[0] == 0xdc)
    {
      left = bytes[1] << 8 | bytes[2];
      at = 3;
    }
  else
    return false;
  for (; left > 0; left--)
    {
      size_t size
          = at < data.size ? item_size (bytes + at, data.size - at) : 0;
      if (size == 0)
        return false;
      at += size;
    }
  return at == data.size;
}

static void
pack_text (msgpack_packer *packer, struct str s)
{
  msgpack_pack_str (packer, s.size);
  msgpack_pack_str_body (packer, s.data, s.size);
}

static void
pack_heartbeat (msgpack_packer *packer, const struct heartbeat *heartbeat)
{
  const struct str texts[] = { heartbeat->name,
                               heartbeat->zone,
                               heartbeat->region,
                               heartbeat->caller_address,
                               heartbeat->operator_address,
                               heartbeat->peer_address };
  const int64_t numbers[] = { heartbeat->incarnation,
                              heartbeat->state,
                              heartbeat->versions[DOCUMENT_CONFIG],
                              heartbeat->versions[DOCUMENT_MEMBERSHIP],
                              heartbeat->confirmed,
                              heartbeat->in_flight,
                              heartbeat->queued };
  size_t text_count = sizeof texts / sizeof *texts;
  size_t number_count = sizeof numbers / sizeof *numbers;
  msgpack_pack_array (packer, 1 + text_count + number_count);
  msgpack_pack_int64 (packer, MESSAGE_HEARTBEAT);
  for (size_t i = 0; i < text_count; i++)
    pack_text (packer, texts[i]);
  for (size_t i = 0; i < number_count; i++)
    msgpack_pack_int64 (packer, numbers[i]);
}

static void
pack_share (msgpack_packer *packer, const struct message *message)
{
  const struct share_message *share = &message->share;
  msgpack_pack_array (packer, 8 + 3 * share->count);
  msgpack_pack_int64 (packer, MESSAGE_SHARE);
  pack_text (packer, message->from);
  msgpack_pack_int64 (packer, share->type);
  msgpack_pack_int64 (packer, share->incarnation);
  msgpack_pack_int64 (packer, share->id);
  msgpack_pack_int64 (packer, share->duration);
  msgpack_pack_int64 (packer, share->spare);
  msgpack_pack_int64 (packer, share->requested_at);
  for (size_t i = 0; i < share->count; i++)
    {
      msgpack_pack_int64 (packer, share->items[i].kind);
      pack_text (packer, share->items[i].name);
      msgpack_pack_int64 (packer, share->items[i].amount);
    }
}

/* Packs an ACK, a FETCH or a DOCUMENT.  */
static void
pack_version (msgpack_packer *packer, const struct message *message)
{
  bool has_kind = message->type != MESSAGE_ACK;
  bool has_document = message->type == MESSAGE_DOCUMENT;
  msgpack_pack_array (packer, 2 + has_kind + has_document);
  msgpack_pack_int64 (packer, message->type);
  msgpack_pack_int64 (packer, message->version);
  if (has_kind)
    msgpack_pack_int64 (packer, message->kind);
  if (has_document)
    pack_text (packer, message->document);
}

static const msgpack_object *
next_item (struct reader *reader)
{
  if (reader->next >= reader->count)
    {
      reader->is_valid = false;
      return NULL;
    }
  return &reader->items[reader->next++];
}

static int64_t
read_number (struct reader *reader)
{
  const msgpack_object *item = next_item (reader);
  if (item && item->type == MSGPACK_OBJECT_POSITIVE_INTEGER
      && item->via.u64 <= INT64_MAX)
    return (int64_t)item->via.u64;
  reader->is_valid = false;
  return 0;
}

static struct str
read_text (struct reader *reader)
{
  const msgpack_object *item = next_item (reader);
  if (item && item->type == MSGPACK_OBJECT_STR
      && !memchr (item->via.str.ptr, 0, item->via.str.size))
    return str_dup (reader->pool,
                    str_view (item->via.str.ptr, item->via.str.size));
  reader->is_valid = false;
  return STR ("");
}

static void
read_heartbeat (struct reader *reader, struct heartbeat *heartbeat)
{
  struct str *texts[] = { &heartbeat->name,
                          &heartbeat->zone,
                          &heartbeat->region,
                          &heartbeat->caller_address,
                          &heartbeat->operator_address,
                          &heartbeat->peer_address };
  int64_t *numbers[] = { &heartbeat->incarnation,
                         &heartbeat->state,
                         &heartbeat->versions[DOCUMENT_CONFIG],
                         &heartbeat->versions[DOCUMENT_MEMBERSHIP],
                         &heartbeat->confirmed,
                         &heartbeat->in_flight,
                         &heartbeat->queued };
  for (size_t i = 0; i < sizeof texts / sizeof *texts; i++)
    *texts[i] = read_text (reader);
  for (size_t i = 0; i < sizeof numbers / sizeof *numbers; i++)
    *numbers[i] = read_number (reader);
  if (heartbeat->state < ENTRY_SERVING || heartbeat->state > ENTRY_STOPPED)
    reader->is_valid = false;
  if (heartbeat->name.size == 0 || heartbeat->name.size > 63)
    reader->is_valid = false;
}

static void
read_share (struct reader *reader, struct message *message)
{
  struct share_message *share = &message->share;
  message->from = read_text (reader);
  share->type = read_number (reader);
  share->incarnation = read_number (reader);
  share->id = read_number (reader);
  share->duration = read_number (reader);
  share->spare = read_number (reader);
  share->requested_at = read_number (reader);
  while (reader->is_valid && reader->next < reader->count)
    {
      if (share->count == SHARE_ITEMS_MAX)
        {
          reader->is_valid = false;
          return;
        }
      struct share_item *item = &share->items[share->count++];
      item->kind = read_number (reader);
      item->name = read_text (reader);
      item->amount = read_number (reader);
      if (item->kind <= 0 || item->kind >= SHARE_KINDS)
        reader->is_valid = false;
    }
}

static int64_t
read_kind (struct reader *reader)
{
  int64_t kind = read_number (reader);
  if (kind <= 0 || kind >= DOCUMENT_KINDS)
    reader->is_valid = false;
  return kind;
}

static void
read_message (struct reader *reader, struct message *message)
{
  message->type = read_number (reader);
  switch (message->type)
    {
    case MESSAGE_HEARTBEAT:
      read_heartbeat (reader, &message->heartbeat);
      break;
    case MESSAGE_ACK:
      message->version = read_number (reader);
      break;
    case MESSAGE_FETCH:
      message->version = read_number (reader);
      message->kind = read_kind (reader);
      break;
    case MESSAGE_DOCUMENT:
      message->version = read_number (reader);
      message->kind = read_kind (reader);
      message->document = read_text (reader);
      break;
    case MESSAGE_SHARE:
      read_share (reader, message);
      break;
    default:
      reader->is_valid = false;
    }
}

/* public functions */

struct str
message_pack (const struct message *message, apr_pool_t *pool)
{
  msgpack_sbuffer buffer;
  msgpack_packer packer;
  msgpack_sbuffer_init (&buffer);
  msgpack_packer_init (&packer, &buffer, msgpack_sbuffer_write);
  if (message->type == MESSAGE_HEARTBEAT)
    pack_heartbeat (&packer, &message->heartbeat);
  else if (message->type == MESSAGE_SHARE)
    pack_share (&packer, message);
  else
    pack_version (&packer, message);
  struct str packed = str_dup (pool, str_view (buffer.data, buffer.size));
  msgpack_sbuffer_destroy (&buffer);
  return packed;
}

bool
message_unpack (struct str data, apr_pool_t *pool, struct message *message)
{
  msgpack_unpacked unpacked;
  size_t used = 0;
  bool is_valid = false;
  memset (message, 0, sizeof *message);
  if (!is_flat_array (data))
    return false;
  msgpack_unpacked_init (&unpacked);
  if (msgpack_unpack_next (&unpacked, data.data, data.size, &used)
          == MSGPACK_UNPACK_SUCCESS
      && unpacked.data.type == MSGPACK_OBJECT_ARRAY && used == data.size)
    {
      struct reader reader = { unpacked.data.via.array.ptr,
                               unpacked.data.via.array.size, 0, true, pool };
      read_message (&reader, message);
      is_valid = reader.is_valid;
    }
  msgpack_unpacked_destroy (&unpacked);
  return is_valid;
}

const char *
entry_state_name (int64_t state)
{
  static const char *const names[] = { "?", "serving", "leaving", "stopped" };
  return state >= ENTRY_SERVING && state <= ENTRY_STOPPED ? names[state]
                                                          : names[0];
}

struct heartbeat
heartbeat_copy (apr_pool_t *pool, const struct heartbeat *heartbeat)
{
  struct heartbeat copy = *heartbeat;
  copy.name = str_dup (pool, heartbeat->name);
  copy.zone = str_dup (pool, heartbeat->zone);
  copy.region = str_dup (pool, heartbeat->region);
  copy.caller_address = str_dup (pool, heartbeat->caller_address);
  copy.operator_address = str_dup (pool, heartbeat->operator_address);
  copy.peer_address = str_dup (pool, heartbeat->peer_address);
  return copy;
}
