/* Forwards an upstream's response to the caller, whole or while it arrives.

     response = relay_response (attempt, is_head, read, user_data);

   libmicrohttpd calls READ for more bytes.  READ returns what relay_read
   returns; if that is 0, it suspends the connection before it returns.

   Threads: the loop's thread only.  */
#ifndef CALL_RELAY_H
#define CALL_RELAY_H

#include "call/attempt.h"

#include <microhttpd.h>

/* Makes the response with the body that ATTEMPT received; the caller adds the
   header fields, and destroys it after it was queued.  IS_HEAD: the request's
   method is HEAD.  A body that has arrived whole is handed over, any other
   one is read with READ.  */
struct MHD_Response *relay_response (struct attempt *attempt, bool is_head,
                                     MHD_ContentReaderCallback read,
                                     void *user_data);
/* Moves up to SIZE bytes of the response, from POSITION on, to OUT, and
   resumes ATTEMPT.  Returns how many, 0 if no more have arrived yet or the
   last byte waits for the end of the request's body, or how the response
   ended: libmicrohttpd's end of stream, or its error, which makes a truncated
   response recognizable as such.  ATTEMPT may be NULL: the response is
   truncated.  */
ssize_t relay_read (struct attempt *attempt, uint64_t position, char *out,
                    size_t size);

#endif
