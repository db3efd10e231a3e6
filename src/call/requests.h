/* Callers' requests as libmicrohttpd delivers them (internal to the module).

   Requests to the entry's own paths (look-up, health) are answered here; every
   other request becomes a call.  The functions are the callbacks of a listener
   (base/httpd.h); USER_DATA is the worker's call_context.

   Threads: the worker's thread only.  */
#ifndef CALL_REQUESTS_H
#define CALL_REQUESTS_H

#include "call/call.h"

/* Makes the call of a request whose head is about to be read, and returns it
   as the request's context.  */
void *requests_begin (void *user_data, const char *target,
                      struct MHD_Connection *connection);
/* libmicrohttpd's access handler: called with the head, with each piece of the
   body, at the end of the request, and again when a suspended connection was
   resumed.  Returns MHD_NO, which closes the connection, if the caller has
   closed it.  */
enum MHD_Result requests_handle (void *user_data,
                                 struct MHD_Connection *connection,
                                 const char *url, const char *method,
                                 const char *version, const char *upload_data,
                                 size_t *upload_data_size, void **request);
/* Describes the call of a request that ends early.  */
struct httpd_request_state requests_describe (void *request);
/* Destroys the call of a request, however the request ended.  */
void requests_completed (void *user_data, struct MHD_Connection *connection,
                         void **request, enum MHD_RequestTerminationCode code);

#endif
