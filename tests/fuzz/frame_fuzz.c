/* Feeds arbitrary bytes to frame_open and, as if they were a decrypted
   payload, to message_unpack.  Neither may crash, and message_pack must be
   able to pack whatever was unpacked.  */
#include "peer/frame.h"
#include "peer/message.h"

#include <apr_general.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  static apr_pool_t *pool;
  if (!pool && (apr_initialize () != APR_SUCCESS || sodium_init () < 0))
    return 0;
  if (!pool)
    apr_pool_create (&pool, NULL);
  struct frame_cipher cipher = { .sent = 0 };
  struct message message;
  struct str payload;
  size_t used = 0;
  unsigned char *copy = malloc (size + 1);
  memcpy (copy, data, size);
  frame_open (&cipher, copy, size, &payload, &used);
  free (copy);
  /* Without the cipher, which no random input would pass.  */
  if (message_unpack (str_view ((const char *)data, size), pool, &message))
    message_pack (&message, pool);
  apr_pool_clear (pool);
  return 0;
}
