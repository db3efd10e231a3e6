/* Callers' requests as libmicrohttpd delivers them (internal to the slice).

   The entry's own paths (look-up, health) are answered here; every other
   request becomes a call.  PART is the worker's call_context.

   Threads: the worker's thread only.  */
#ifndef CALL_REQUESTS_H
#define CALL_REQUESTS_H

#include "call/call.h"

/* Makes the call of a request whose head is being read.  */
void *requests_begin (void *part, const char *target,
                      struct MHD_Connection *connection);
/* The access handler.  */
enum MHD_Result requests_handle (void *part, struct MHD_Connection *connection,
                                 const char *url, const char *method,
                                 const char *version, const char *upload_data,
                                 size_t *upload_data_size, void **request);
/* Ends the call of a request, however the request ended.  */
void requests_completed (void *part, struct MHD_Connection *connection,
                         void **request, enum MHD_RequestTerminationCode code);

#endif
