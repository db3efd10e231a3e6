/* Messages between entries: their frames, their content, and the choice of the
   entries that relay documents.  Guards against forged, replayed and malformed
   messages, and a zone without relays after some have died.  */
#include "peer/frame.h"
#include "peer/message.h"
#include "peer/roster.h"
#include "tests/unit/unit.h"

#include <stdlib.h>
#include <string.h>

static unsigned char key[FRAME_KEY_BYTES] = { 1, 2, 3 };

/* Starts the ciphers of both ends of a connection, and checks that one does
   not start with its own preamble sent back, or with a changed one.  */
static void
start_ciphers (struct frame_cipher *dialer, struct frame_cipher *acceptor,
               const unsigned char *acceptor_key)
{
  unsigned char a[FRAME_PREAMBLE_BYTES];
  unsigned char b[FRAME_PREAMBLE_BYTES];
  frame_preamble_make (a);
  frame_preamble_make (b);
  CU_ASSERT_TRUE (frame_cipher_start (dialer, key, a, b, true));
  CU_ASSERT_TRUE (frame_cipher_start (acceptor, acceptor_key, b, a, false));
  CU_ASSERT_FALSE (frame_cipher_start (dialer, key, a, a, true));
  CU_ASSERT_TRUE (frame_cipher_start (dialer, key, a, b, true));
  b[0] ^= 1;
  struct frame_cipher other;
  CU_ASSERT_FALSE (frame_cipher_start (&other, key, a, b, true));
}

/* A frame opens once it is complete, not before, with the payload that was
   sealed.  */
static void
test_frames (void)
{
  static const size_t sizes[] = { 0, 1, 17, 1000, 70000 };
  struct frame_cipher dialer, acceptor;
  start_ciphers (&dialer, &acceptor, key);
  for (size_t i = 0; i < COUNT (sizes); i++)
    {
      unsigned char *plain = calloc (1, sizes[i] + 1);
      unsigned char *sealed = malloc (frame_size (sizes[i]));
      struct str payload;
      size_t used = 0;
      memset (plain, (int)i + 1, sizes[i]);
      frame_seal (&dialer, str_view ((char *)plain, sizes[i]), sealed);
      CU_ASSERT_EQUAL (frame_open (&acceptor, sealed,
                                   frame_size (sizes[i]) - 1, &payload, &used),
                       FRAME_PARTIAL);
      CU_ASSERT_EQUAL (frame_open (&acceptor, sealed, frame_size (sizes[i]),
                                   &payload, &used),
                       FRAME_COMPLETE);
      CU_ASSERT (str_equal (payload, str_view ((char *)plain, sizes[i])));
      free (plain);
      free (sealed);
    }
}

/* Frames that were replayed, changed, sealed with another key or sent back to
   the sender are rejected.  */
static void
test_forged_frames (void)
{
  enum
  {
    REPLAYED,
    FLIPPED,
    HUGE_LENGTH,
    SHORT_LENGTH,
    OTHER_KEY,
    REFLECTED,
    CASES
  };
  for (int c = 0; c < CASES; c++)
    {
      unsigned char other_key[FRAME_KEY_BYTES] = { 9 };
      struct frame_cipher dialer, acceptor;
      unsigned char sealed[64], forged[64];
      struct str payload;
      size_t used;
      start_ciphers (&dialer, &acceptor, c == OTHER_KEY ? other_key : key);
      frame_seal (&dialer, STR ("hello"), sealed);
      memcpy (forged, sealed, sizeof forged);
      if (c == REPLAYED)
        CU_ASSERT_EQUAL (
            frame_open (&acceptor, sealed, frame_size (5), &payload, &used),
            FRAME_COMPLETE);
      if (c == FLIPPED)
        forged[9] ^= 1;
      if (c == HUGE_LENGTH)
        memset (forged, 0xff, 4);
      if (c == SHORT_LENGTH)
        memset (forged, 0, 4);
      CU_ASSERT_EQUAL (frame_open (c == REFLECTED ? &dialer : &acceptor,
                                   forged, frame_size (5), &payload, &used),
                       FRAME_BAD);
    }
}

/* Each message is read back as it was packed, and no truncated one is
   accepted.  */
static void
test_messages (void)
{
  struct message cases[] = {
    { .type = MESSAGE_HEARTBEAT,
      .heartbeat = { STR ("e1"),
                     STR ("z"),
                     STR ("r"),
                     STR ("1.1.1.1:1"),
                     STR ("1.1.1.1:2"),
                     STR ("1.1.1.1:3"),
                     7,
                     ENTRY_LEAVING,
                     { 0, 9, 4 },
                     8,
                     3,
                     2 } },
    { .type = MESSAGE_ACK, .version = 5 },
    { .type = MESSAGE_FETCH, .kind = DOCUMENT_MEMBERSHIP, .version = 0 },
    { .type = MESSAGE_DOCUMENT,
      .kind = DOCUMENT_CONFIG,
      .version = 12,
      .document = STR ("{}") },
    { .type = MESSAGE_SHARE,
      .from = STR ("e1"),
      .share = { SHARE_LEND,
                 4,
                 7,
                 1000000,
                 3,
                 0,
                 2,
                 { { SHARE_SLOTS, STR ("u1"), 2 },
                   { SHARE_LINK, STR ("a.b"), 500000000 } } } },
    { .type = MESSAGE_SHARE,
      .from = STR ("e1"),
      .share = { .type = SHARE_LEND, .id = 1 } },
  };
  for (size_t i = 0; i < COUNT (cases); i++)
    {
      struct message unpacked;
      struct str packed = message_pack (&cases[i], test_pool);
      CU_ASSERT_TRUE (message_unpack (packed, test_pool, &unpacked));
      CU_ASSERT_EQUAL (unpacked.type, cases[i].type);
      CU_ASSERT_EQUAL (unpacked.version, cases[i].version);
      CU_ASSERT (str_equal (unpacked.document, cases[i].document)
                 || unpacked.document.size == 0);
      CU_ASSERT_EQUAL (unpacked.kind, cases[i].kind);
      CU_ASSERT (unpacked.heartbeat.incarnation
                 == cases[i].heartbeat.incarnation);
      CU_ASSERT (unpacked.heartbeat.confirmed == cases[i].heartbeat.confirmed);
      CU_ASSERT (memcmp (unpacked.heartbeat.versions,
                         cases[i].heartbeat.versions,
                         sizeof unpacked.heartbeat.versions)
                 == 0);
      CU_ASSERT_EQUAL (unpacked.share.count, cases[i].share.count);
      for (size_t item = 0; item < unpacked.share.count; item++)
        CU_ASSERT_EQUAL (unpacked.share.items[item].amount,
                         cases[i].share.items[item].amount);
      for (size_t n = 0; n < packed.size; n++)
        CU_ASSERT_FALSE (
            message_unpack (str_view (packed.data, n), test_pool, &unpacked));
    }
}

/* Malformed messages are rejected, among them one that claims far more items
   than it has bytes: memory reserved for them would be exhausted.  */
static void
test_malformed_messages (void)
{
  static const struct str cases[]
      = { { "\x07", 1 },
          { "\x90", 1 },
          { "\x91\x01", 2 },
          { "\x92\x63\x01", 3 },
          { "\x92\x03", 2 },
          { "\x92\x03\xff", 3 },
          /* a nested map that claims 3.7 billion items */
          { "\x93\x04\x0c\xdf\xdf\xdf\xdf\xdf", 8 },
          { "\x92\x03\xa1x", 4 },
          { "\x92\x02\x01z", 4 } };
  struct message unpacked;
  for (size_t i = 0; i < COUNT (cases); i++)
    CU_ASSERT_FALSE (message_unpack (cases[i], test_pool, &unpacked));
}

/* Each of two zones has two relays; when one dies, another entry of the zone
   replaces it.  */
static void
test_relays (void)
{
  struct roster_entry entries[12] = { 0 };
  for (int i = 0; i < 12; i++)
    entries[i]
        = (struct roster_entry){ .heartbeat
                                 = { .name = str_printf (test_pool, "e%d", i),
                                     .zone = i % 2 ? STR ("a") : STR ("b") },
                                 .alive = true };
  for (int dead = 0; dead < 4; dead++)
    {
      struct roster *roster = roster_create (entries, 12);
      int relays = 0;
      for (size_t i = 0; i < roster->count; i++)
        relays += roster->entries[i].alive
                  && roster_is_relay (roster,
                                      roster->entries[i].heartbeat.name, 2);
      CU_ASSERT_EQUAL (relays, 4);
      /* The first relay of zone "b" dies, and another one replaces it.  */
      for (int i = 0; i < 12; i += 2)
        if (entries[i].alive
            && roster_is_relay (roster, entries[i].heartbeat.name, 1))
          {
            entries[i].alive = false;
            break;
          }
      roster_unref (roster);
    }
}

const struct unit_test peer_tests[]
    = { { "a frame opens only when it is complete", test_frames },
        { "forged frames are rejected", test_forged_frames },
        { "a message is read back as it was packed", test_messages },
        { "malformed messages are rejected", test_malformed_messages },
        { "a relay that dies is replaced by another of its zone",
          test_relays },
        { NULL, NULL } };
