#include "base/err.h"

#include <stdarg.h>
#include <stdio.h>

static const struct
{
  const char *name;
  const char *meaning;
} codes[ERR_CODE_COUNT] = {
  [ERR_NONE] = { "ok", "no error" },
  [ERR_INVALID] = { "invalid", "the input breaks a stated rule" },
  [ERR_NOT_FOUND] = { "not-found", "the named thing does not exist" },
  [ERR_CONFLICT] = { "conflict", "somebody else changed it first" },
  [ERR_UNAVAILABLE] = { "unavailable", "the peer cannot be reached" },
  [ERR_UNKNOWN] = { "unknown", "it may or may not have been done" },
  [ERR_TIMEOUT] = { "timeout", "the deadline passed" },
  [ERR_LIMIT] = { "limit", "a cap or a size limit forbids it" },
  [ERR_PROTOCOL] = { "protocol", "the peer broke its protocol" },
  [ERR_DENIED] = { "denied", "the credentials are missing or wrong" },
  [ERR_IO] = { "io", "the operating system refused" },
};

enum err_code
err_set (struct err *err, enum err_code code, const char *step,
         const char *peer, const char *format, ...)
{
  if (!err)
    return code;
  err->code = code;
  snprintf (err->step, sizeof err->step, "%s", step);
  snprintf (err->peer, sizeof err->peer, "%s", peer ? peer : "");
  va_list args;
  va_start (args, format);
  vsnprintf (err->detail, sizeof err->detail, format, args);
  va_end (args);
  return code;
}

const char *
err_name (enum err_code code)
{
  return code < ERR_CODE_COUNT ? codes[code].name : "?";
}

const char *
err_meaning (enum err_code code)
{
  return code < ERR_CODE_COUNT ? codes[code].meaning : "?";
}
