#include "call/relay.h"

/* constants */

enum
{
  STREAM_BLOCK_BYTES = 16384, /* as many as libcurl reads at a time */
  HTTP_NO_CONTENT = 204,
  HTTP_NOT_MODIFIED = 304
};

/* private functions */

static bool
has_no_body (long status)
{
  return status == HTTP_NO_CONTENT || status == HTTP_NOT_MODIFIED;
}

/* public functions */

struct MHD_Response *
relay_response (struct attempt *attempt, bool is_head,
                MHD_ContentReaderCallback read, void *user_data)
{
  uint64_t size = attempt->response_size >= 0
                      ? (uint64_t)attempt->response_size
                      : MHD_SIZE_UNKNOWN;
  if (has_no_body (attempt->status))
    return MHD_create_response_from_buffer (0, NULL, MHD_RESPMEM_PERSISTENT);
  size_t unread = body_unread (&attempt->response);
  if (attempt->done && !(is_head && attempt->response_size >= 0)
      && attempt->response.read == 0 && unread > 0)
    return MHD_create_response_from_buffer (
        unread, body_take (&attempt->response), MHD_RESPMEM_MUST_FREE);
  if (attempt->done && !(is_head && attempt->response_size >= 0))
    return MHD_create_response_from_buffer (body_unread (&attempt->response),
                                            attempt->response.data
                                                + attempt->response.read,
                                            MHD_RESPMEM_MUST_COPY);
  return MHD_create_response_from_callback (size, STREAM_BLOCK_BYTES, read,
                                            user_data, NULL);
}

ssize_t
relay_read (struct attempt *attempt, uint64_t position, char *out, size_t size)
{
  if (!attempt)
    return MHD_CONTENT_READER_END_WITH_ERROR;
  /* With its last byte the caller's request ends, and with it an attempt that
     still sends the body.  */
  if (!attempt->done && attempt->desc.body_size != 0
      && attempt->response_size > 0
      && position + size >= (uint64_t)attempt->response_size)
    size = (size_t)((uint64_t)attempt->response_size - position - 1);
  size_t n = body_read (&attempt->response, out, size);
  if (n > 0)
    {
      attempt_resume (attempt);
      return (ssize_t)n;
    }
  if (!attempt->done)
    return 0;
  return attempt->result == CURLE_OK ? MHD_CONTENT_READER_END_OF_STREAM
                                     : MHD_CONTENT_READER_END_WITH_ERROR;
}
