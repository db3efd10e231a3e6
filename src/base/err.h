/* Error reports: a code, the operation that failed, the peer involved, and a
   detail message.

   A function that can fail takes a `struct err *' as its last argument, fills
   it and returns the code, so that callers can write
   `if (f (..., err)) goto fail;':

     if (!socket)
       return err_set (err, ERR_IO, "bind", address, "%s", strerror (errno));

   Threads: a `struct err' belongs to its caller.  */
#ifndef BASE_ERR_H
#define BASE_ERR_H

enum err_code
{
  ERR_NONE,
  ERR_INVALID,     /* the input violates a documented rule */
  ERR_NOT_FOUND,   /* the named object does not exist */
  ERR_CONFLICT,    /* another writer changed the object first */
  ERR_UNAVAILABLE, /* the peer is unreachable; nothing was done */
  ERR_UNKNOWN,     /* the operation may or may not have taken effect */
  ERR_TIMEOUT,     /* the deadline passed */
  ERR_LIMIT,       /* a cap or a size limit was exceeded */
  ERR_PROTOCOL,    /* the peer violated the protocol */
  ERR_DENIED,      /* the credentials are missing or wrong */
  ERR_IO,          /* a system call or library call failed */
  ERR_CODE_COUNT   /* number of codes */
};

/* Sizes of the texts of `struct err', in bytes with the final NUL; longer
   texts are cut.  */
enum
{
  ERR_STEP_MAX = 48,
  ERR_PEER_MAX = 64,
  ERR_DETAIL_MAX = 256
};

struct err
{
  enum err_code code;
  char step[ERR_STEP_MAX]; /* the operation that failed, such as "listen" */
  char peer[ERR_PEER_MAX]; /* address or URL of the other end, or "" */
  char detail[ERR_DETAIL_MAX];
};

/* Fills ERR (which may be NULL) and returns CODE.  PEER may be NULL.  FORMAT
   and what follows are the detail.  */
enum err_code err_set (struct err *err, enum err_code code, const char *step,
                       const char *peer, const char *format, ...)
    __attribute__ ((format (printf, 5, 6)));
/* Returns the short name of CODE, such as "conflict".  */
const char *err_name (enum err_code code);
/* Returns a one-line description of CODE.  */
const char *err_meaning (enum err_code code);

#endif
