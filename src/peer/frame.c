#include "peer/frame.h"

#include <sodium.h>
#include <string.h>

/* constants */

static const unsigned char magic[FRAME_MAGIC_BYTES] = "CCPEER1\n";

/* private functions */

static void
write_u32 (unsigned char *out, uint32_t n)
{
  for (int i = 0; i < 4; i++)
    out[i] = (unsigned char)(n >> (24 - 8 * i));
}

static uint32_t
read_u32 (const unsigned char *in)
{
  return (uint32_t)in[0] << 24 | (uint32_t)in[1] << 16 | (uint32_t)in[2] << 8
         | in[3];
}

static void
make_nonce (unsigned char out[crypto_aead_chacha20poly1305_IETF_NPUBBYTES],
            uint64_t number)
{
  memset (out, 0, crypto_aead_chacha20poly1305_IETF_NPUBBYTES);
  for (int i = 0; i < 8; i++)
    out[4 + i] = (unsigned char)(number >> (56 - 8 * i));
}

/* Derives the key of the frames that the dialer sends, or of those that it
   receives.  */
static void
derive_key (unsigned char out[FRAME_KEY_BYTES], const unsigned char *key,
            const unsigned char *dialer, const unsigned char *acceptor,
            bool from_dialer)
{
  unsigned char direction = from_dialer ? 1 : 2;
  crypto_generichash_state state;
  crypto_generichash_init (&state, key, FRAME_KEY_BYTES, FRAME_KEY_BYTES);
  crypto_generichash_update (&state, dialer, FRAME_PREAMBLE_BYTES);
  crypto_generichash_update (&state, acceptor, FRAME_PREAMBLE_BYTES);
  crypto_generichash_update (&state, &direction, 1);
  crypto_generichash_final (&state, out, FRAME_KEY_BYTES);
}

/* public functions */

void
frame_preamble_make (unsigned char out[FRAME_PREAMBLE_BYTES])
{
  memcpy (out, magic, FRAME_MAGIC_BYTES);
  randombytes_buf (out + FRAME_MAGIC_BYTES, FRAME_NONCE_BYTES);
}

bool
frame_cipher_start (struct frame_cipher *cipher,
                    const unsigned char key[FRAME_KEY_BYTES],
                    const unsigned char self[FRAME_PREAMBLE_BYTES],
                    const unsigned char peer[FRAME_PREAMBLE_BYTES],
                    bool is_dialer)
{
  if (memcmp (peer, magic, FRAME_MAGIC_BYTES) != 0)
    return false;
  /* With our own preamble returned, the keys would depend on nothing that the
     peer chose.  */
  if (memcmp (peer, self, FRAME_PREAMBLE_BYTES) == 0)
    return false;
  const unsigned char *dialer = is_dialer ? self : peer;
  const unsigned char *acceptor = is_dialer ? peer : self;
  memset (cipher, 0, sizeof *cipher);
  derive_key (cipher->send_key, key, dialer, acceptor, is_dialer);
  derive_key (cipher->receive_key, key, dialer, acceptor, !is_dialer);
  return true;
}

size_t
frame_size (size_t size)
{
  return FRAME_HEADER_BYTES + size + FRAME_TAG_BYTES;
}

void
frame_seal (struct frame_cipher *cipher, struct str payload,
            unsigned char *out)
{
  unsigned char nonce[crypto_aead_chacha20poly1305_IETF_NPUBBYTES];
  make_nonce (nonce, cipher->sent++);
  write_u32 (out, (uint32_t)(payload.size + FRAME_TAG_BYTES));
  crypto_aead_chacha20poly1305_ietf_encrypt (
      out + FRAME_HEADER_BYTES, NULL, (const unsigned char *)payload.data,
      payload.size, out, FRAME_HEADER_BYTES, NULL, nonce, cipher->send_key);
}

enum frame_status
frame_open (struct frame_cipher *cipher, unsigned char *data, size_t size,
            struct str *payload, size_t *used)
{
  if (size < FRAME_HEADER_BYTES)
    return FRAME_PARTIAL;
  size_t ciphertext_size = read_u32 (data);
  if (ciphertext_size < FRAME_TAG_BYTES
      || ciphertext_size > FRAME_PAYLOAD_MAX_BYTES + FRAME_TAG_BYTES)
    return FRAME_BAD;
  if (size < FRAME_HEADER_BYTES + ciphertext_size)
    return FRAME_PARTIAL;
  unsigned char nonce[crypto_aead_chacha20poly1305_IETF_NPUBBYTES];
  make_nonce (nonce, cipher->received);
  unsigned char *body = data + FRAME_HEADER_BYTES;
  if (crypto_aead_chacha20poly1305_ietf_decrypt (
          body, NULL, NULL, body, ciphertext_size, data, FRAME_HEADER_BYTES,
          nonce, cipher->receive_key)
      != 0)
    return FRAME_BAD;
  cipher->received++;
  *payload = str_view ((char *)body, ciphertext_size - FRAME_TAG_BYTES);
  *used = FRAME_HEADER_BYTES + ciphertext_size;
  return FRAME_COMPLETE;
}
