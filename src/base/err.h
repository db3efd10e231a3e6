/* Errors that carry the step and the peer at which they arose.

   A function that can fail takes a `struct err *' as its last argument and
   returns the code, so that `if (f (..., err)) goto fail;' reads as usual:

     if (!socket)
       return err_set (err, ERR_IO, "bind", address, "%s", strerror (errno));

   Threads: a `struct err' belongs to its caller.  */
#ifndef BASE_ERR_H
#define BASE_ERR_H

enum err_code
{
  ERR_NONE,
  ERR_INVALID,     /* the input breaks a stated rule */
  ERR_NOT_FOUND,   /* the named thing does not exist */
  ERR_CONFLICT,    /* somebody else changed it first */
  ERR_UNAVAILABLE, /* the peer cannot be reached, nothing was done */
  ERR_UNKNOWN,     /* it may or may not have been done */
  ERR_TIMEOUT,     /* the deadline passed */
  ERR_LIMIT,       /* a cap or a size limit forbids it */
  ERR_PROTOCOL,    /* the peer broke its protocol */
  ERR_DENIED,      /* the credentials are missing or wrong */
  ERR_IO,          /* the operating system refused */
  ERR_CODES
};

enum
{
  ERR_STEP_MAX = 48,
  ERR_PEER_MAX = 64,
  ERR_DETAIL_MAX = 256
};

struct err
{
  enum err_code code;
  char step[ERR_STEP_MAX];
  char peer[ERR_PEER_MAX];
  char detail[ERR_DETAIL_MAX];
};

/* Fills ERR (which may be NULL) and returns CODE.  PEER may be NULL.  */
enum err_code err_set (struct err *err, enum err_code code, const char *step,
                       const char *peer, const char *format, ...)
    __attribute__ ((format (printf, 5, 6)));
/* Returns the short name of CODE, such as "conflict".  */
const char *err_name (enum err_code code);
/* Returns one line that says what CODE means.  */
const char *err_meaning (enum err_code code);

#endif
