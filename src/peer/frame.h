/* Frames between entries: length-counted, encrypted and authenticated.

   Each side of a new connection first sends a preamble: a fixed magic and a
   random nonce.  Both then derive_key one key a direction from the shared key
   and the two nonces.  A frame is a 4-byte big-endian length and that many
   bytes of ChaCha20-Poly1305 ciphertext, whose nonce is the number of the
   frame, so that a frame cannot be forged, replayed, reordered or moved to
   another connection.

   Call order: frame_preamble_make, frame_cipher_start with the peer's
   preamble, then frame_seal and frame_open.

   Threads: a cipher belongs to one thread.  */
#ifndef PEER_FRAME_H
#define PEER_FRAME_H

#include "base/str.h"

#include <stdint.h>

enum
{
  FRAME_KEY_BYTES = 32,
  FRAME_MAGIC_BYTES = 8,
  FRAME_NONCE_BYTES = 32,
  FRAME_PREAMBLE_BYTES = FRAME_MAGIC_BYTES + FRAME_NONCE_BYTES,
  FRAME_HEADER_BYTES = 4,
  FRAME_TAG_BYTES = 16,
  FRAME_PAYLOAD_MAX_BYTES = 8 * 1024 * 1024
};

struct frame_cipher
{
  unsigned char send_key[FRAME_KEY_BYTES];
  unsigned char receive_key[FRAME_KEY_BYTES];
  uint64_t sent;
  uint64_t received;
};

enum frame_status
{
  FRAME_WHOLE = 1, /* one payload was opened */
  FRAME_PARTIAL,   /* more bytes are needed */
  FRAME_BAD        /* forged, replayed or malformed: close the connection */
};

/* Fills OUT with a new preamble.  */
void frame_preamble_make (unsigned char out[FRAME_PREAMBLE_BYTES]);
/* Derives the keys.  Returns false if PEER is not a preamble.  */
bool frame_cipher_start (struct frame_cipher *cipher,
                         const unsigned char key[FRAME_KEY_BYTES],
                         const unsigned char self[FRAME_PREAMBLE_BYTES],
                         const unsigned char peer[FRAME_PREAMBLE_BYTES],
                         bool is_dialer);
/* Returns the bytes that frame_seal writes for a payload of SIZE bytes.  */
size_t frame_size (size_t size);
/* Writes one frame to OUT.  */
void frame_seal (struct frame_cipher *cipher, struct str payload,
                 unsigned char *out);
/* Opens the frame at the start of DATA, in place: with FRAME_WHOLE, PAYLOAD
   points into DATA and USED is the size of the frame.  */
enum frame_status frame_open (struct frame_cipher *cipher, unsigned char *data,
                              size_t size, struct str *payload, size_t *used);

#endif
