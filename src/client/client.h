/* The operators' command-line client.

   Every command is a row of `client_commands': its name, one line of help,
   and a function that takes the arguments after the name and returns an exit
   status.

   Exit statuses: 0 done, 1 failed, 2 wrong usage, 3 not found, 4 stale
   version, 5 refused by validation, 6 outcome not yet known, 7 token
   refused.  */
#ifndef CLIENT_CLIENT_H
#define CLIENT_CLIENT_H

#include "base/json.h"
#include "base/str.h"

enum client_exit
{
  EXIT_DONE,
  EXIT_FAILED,
  EXIT_USAGE,
  EXIT_NOT_FOUND,
  EXIT_CONFLICT,
  EXIT_INVALID,
  EXIT_PENDING,
  EXIT_DENIED
};

struct client_command
{
  const char *name;
  const char *help;
  int (*run) (int argc, char **argv);
};

/* Ends with a row of NULLs.  */
extern const struct client_command client_commands[];

/* Options that every command takes.  */
struct client_options
{
  const char *entries[16]; /* operators' addresses, tried in order */
  int entry_count;
  const char *token;
  bool as_json;
  apr_pool_t *pool;
};

/* One request to the API.  */
struct client_request
{
  const char *method;
  const char *path;
  json_object *body;     /* may be NULL */
  const char *operation; /* Operation-Id, may be NULL */
  bool callers;          /* no token: the callers' listener */
  long timeout_ms;       /* default 10 s */
};

/* Sends REQUEST to the first entry that answers.  Returns the answer, which
   the caller frees, and its STATUS; or NULL with a message printed.  */
json_object *client_send (const struct client_options *options,
                          const struct client_request *request, long *status);
/* Prints the error in ANSWER and returns the exit status for STATUS.  */
int client_report_error (json_object *answer, long status);
void client_print_json (json_object *object);

#endif
