/* Frames between entries: length-prefixed, encrypted and authenticated.

   Each side of a new connection first sends a preamble: fixed magic bytes and
   a random nonce.  Both sides then derive one key for each direction from the
   shared key and the two nonces.  A frame is a header, the 4-byte big-endian
   length of the rest, followed by that many bytes of ChaCha20-Poly1305
   ciphertext.  The header is authenticated, and the nonce of the cipher is the
   frame's sequence number, so a frame cannot be forged, replayed, reordered or
   moved to another connection.

   Call order:

     frame_preamble_make (own);                       send it
     frame_cipher_start (&cipher, key, own, peer, is_dialer);
     frame_seal (&cipher, payload, out);              frame_size bytes
     frame_open (&cipher, data, size, &payload, &used);

   Threads: a cipher belongs to one thread.  */
#ifndef PEER_FRAME_H
#define PEER_FRAME_H

#include "base/str.h"

#include <stdint.h>

enum
{
  FRAME_KEY_BYTES = 32, /* of the shared key and of each derived one */
  FRAME_MAGIC_BYTES = 8,
  FRAME_NONCE_BYTES = 32,
  FRAME_PREAMBLE_BYTES = FRAME_MAGIC_BYTES + FRAME_NONCE_BYTES,
  FRAME_HEADER_BYTES = 4,
  FRAME_TAG_BYTES = 16, /* of Poly1305, at the end of the ciphertext */
  /* A frame with a larger payload is FRAME_BAD.  */
  FRAME_PAYLOAD_MAX_BYTES = 8 * 1024 * 1024
};

/* The state of one connection.  */
struct frame_cipher
{
  unsigned char send_key[FRAME_KEY_BYTES];
  unsigned char receive_key[FRAME_KEY_BYTES];
  uint64_t sent;     /* frames */
  uint64_t received; /* frames */
};

enum frame_status
{
  FRAME_COMPLETE = 1, /* one payload was decrypted */
  FRAME_PARTIAL,      /* more bytes are needed */
  FRAME_BAD           /* forged, replayed or malformed: close the connection */
};

/* Fills OUT with a new preamble.  */
void frame_preamble_make (unsigned char out[FRAME_PREAMBLE_BYTES]);
/* Derives the keys of a connection from the preambles that this side and its
   peer have sent.  KEY is the shared key.  IS_DIALER: this side opened the
   connection.  Returns false if PEER is not a valid preamble, or is this
   side's own sent back.  */
bool frame_cipher_start (struct frame_cipher *cipher,
                         const unsigned char key[FRAME_KEY_BYTES],
                         const unsigned char self[FRAME_PREAMBLE_BYTES],
                         const unsigned char peer[FRAME_PREAMBLE_BYTES],
                         bool is_dialer);
/* Returns the size of a frame whose payload has SIZE bytes.  */
size_t frame_size (size_t size);
/* Encrypts PAYLOAD into one frame at OUT, which must hold frame_size
   bytes.  */
void frame_seal (struct frame_cipher *cipher, struct str payload,
                 unsigned char *out);
/* Decrypts the frame at the start of DATA, of which SIZE bytes were received,
   in place.  With FRAME_COMPLETE, PAYLOAD points into DATA and USED is the
   size of the frame.  */
enum frame_status frame_open (struct frame_cipher *cipher, unsigned char *data,
                              size_t size, struct str *payload, size_t *used);

#endif
