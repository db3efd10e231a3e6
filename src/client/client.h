/* The operators' command-line client.

   Every command is a row of `client_commands': its name, one line of help,
   and a function that runs it.  main looks up the row whose name is the first
   argument of the process, and exits with the status that the function
   returns:

     for (const struct client_command *c = client_commands; c->name; c++)
       if (strcmp (argv[1], c->name) == 0)
         return c->run (argc - 1, argv + 1);

   A command parses its arguments (command_line.h), sends requests to the
   operators' API of an entry (client_send), prints the result to standard
   output, and errors to standard error.

   Threads: commands run on the main thread and block until they are done.  */
#ifndef CLIENT_CLIENT_H
#define CLIENT_CLIENT_H

#include "base/json.h"
#include "base/str.h"

/* Exit statuses of the commands, as 'citroncleat --help' lists them.  */
enum client_exit
{
  EXIT_DONE,      /* 0 */
  EXIT_FAILED,    /* 1: anything that is not listed below */
  EXIT_USAGE,     /* 2: invalid arguments */
  EXIT_NOT_FOUND, /* 3: the resource or operation does not exist */
  EXIT_CONFLICT,  /* 4: a change was based on an old version of its resource */
  EXIT_INVALID,   /* 5: a file, a resource or a request failed validation */
  EXIT_PENDING,   /* 6: it is not known yet whether a change takes effect */
  EXIT_DENIED     /* 7: the entry refused the token */
};

struct client_command
{
  const char *name;
  const char *help; /* one line, for the list of commands */
  /* Runs the command and returns its exit status.  ARGV[0] is the command's
     name.  */
  int (*run) (int argc, char **argv);
};

/* All commands but `entry', `gateway', `version' and `help', which main runs.
   Ends with a row of NULLs.  */
extern const struct client_command client_commands[];

/* Options that every command takes.  */
struct client_options
{
  const char *entries[16]; /* operators' addresses (IP:PORT), tried in order */
  int entry_count;
  const char *token; /* NULL: none is sent */
  bool as_json;      /* print responses as JSON instead of a table */
  apr_pool_t *pool;  /* lives until the process exits */
};

/* One request to an entry.  */
struct client_request
{
  const char *method;
  const char *path;         /* with the query */
  json_object *body;        /* may be NULL */
  const char *operation_id; /* of the Operation-Id header, may be NULL */
  bool omit_token;          /* for the callers' listener, which takes none */
  long timeout_ms;          /* of the whole exchange; 0: 10 s */
};

/* Sends REQUEST to the entries in turn until one sends a JSON response, also
   if that is an error.  An entry that failed may have executed the request, so
   a change needs an operation id, with which it is applied once.  Prints an
   error for each entry that fails.  Returns the response, which the caller
   frees, and sets HTTP_STATUS to its status; if all entries failed, returns
   NULL and sets HTTP_STATUS to 0.  */
json_object *client_send (const struct client_options *options,
                          const struct client_request *request,
                          long *http_status);
/* Prints the error that RESPONSE describes, and returns the exit status for
   HTTP_STATUS: EXIT_FAILED if none fits better.  */
int client_report_error (json_object *response, long http_status);
/* Prints OBJECT to standard output, indented.  */
void client_print_json (json_object *object);

#endif
