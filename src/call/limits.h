/* The limits on sizes at which the gateway and its attempts change what they
   do, in one table of name, value and what is limited.  A limit that is
   declared here is a constant for the code, and the fuzzer of gateways
   (tests/standin/fuzz_callers.c) sends sizes around it without being
   changed.  */
#ifndef CALL_LIMITS_H
#define CALL_LIMITS_H

/* What a limit is compared with.  */
enum limit_subject
{
  LIMIT_REQUEST_HEAD,
  LIMIT_REQUEST_BODY,
  LIMIT_RESPONSE_HEAD,
  LIMIT_RESPONSE_FIELDS, /* their number */
  LIMIT_RESPONSE_BODY
};

#define LIMITS(X)                                                             \
  /* The largest head of a request that operators allow.  */                  \
  X (REQUEST_HEADER_BYTES, 16 * 1024, LIMIT_REQUEST_HEAD)                     \
  /* Memory of a caller's connection to a gateway: the head, a copy of its    \
     cookies, and 12 KiB for the entries of a hundred fields and cookies and  \
     for the head of the response (base/httpd.h).  All of it is in use after  \
     the first request, so more would cost each entry memory on calm days     \
     too.  */                                                                 \
  X (CALLER_CONNECTION_BYTES, 2 * REQUEST_HEADER_BYTES + 12 * 1024,           \
     LIMIT_RESPONSE_HEAD)                                                     \
  /* A request's body is buffered up to this size before it is sent, so that  \
     it can be sent again; a longer one is streamed.  Three times the largest \
     uploads of the users' sites.  */                                         \
  X (BODY_BUFFER_BYTES, 1024 * 1024, LIMIT_REQUEST_BODY)                      \
  /* Larger bodies of requests wait for "100 Continue".  */                   \
  X (EXPECT_MIN_BYTES, 65536, LIMIT_REQUEST_BODY)                             \
  /* The least that libcurl takes for its buffer of an upload.  */            \
  X (UPLOAD_BUFFER_BYTES, 16384, LIMIT_REQUEST_BODY)                          \
  /* Responses up to about this size are buffered until they are complete;    \
     longer ones are streamed.  Eight times the largest responses of the      \
     users' sites.  */                                                        \
  X (RESPONSE_BUFFER_BYTES, 256 * 1024, LIMIT_RESPONSE_BODY)                  \
  /* An attempt fails if the response's heads and trailers are larger.  */    \
  X (MAX_HEAD_BYTES, 64 * 1024, LIMIT_RESPONSE_HEAD)                          \
  /* The same of the number of its fields.  */                                \
  X (MAX_HEADERS, 256, LIMIT_RESPONSE_FIELDS)

#define LIMIT_CONSTANT(name, value, subject) name = (value),
enum limit
{
  LIMITS (LIMIT_CONSTANT)
};
#undef LIMIT_CONSTANT

#endif
