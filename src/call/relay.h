/* Passing an upstream's answer on to the caller, whole or while it arrives.

     response = relay_response (attempt, is_head, read, part);

   where READ is called by libmicrohttpd for more bytes and returns what
   relay_read does; when that is 0 it suspends the connection first.

   Threads: the loop's thread only.  */
#ifndef CALL_RELAY_H
#define CALL_RELAY_H

#include "call/attempt.h"

#include <microhttpd.h>

/* Makes the response of ATTEMPT's answer, without its headers.  */
struct MHD_Response *relay_response (struct attempt *attempt, bool is_head,
                                     MHD_ContentReaderCallback read,
                                     void *part);
/* Takes up to SIZE bytes of the answer into OUT.  Returns how many, 0 if none
   has arrived yet, or how the answer ended: libmicrohttpd's end of stream, or
   its error, which keeps an answer that was broken off from looking whole.
   ATTEMPT may be NULL: broken off.  */
ssize_t relay_read (struct attempt *attempt, char *out, size_t size);

#endif
