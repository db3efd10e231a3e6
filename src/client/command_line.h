/* Arguments and API calls that the client's commands share (internal).

   Every command does this:

     struct command_line line = { .name = "delete", .help = "..." };
     struct arg_str *name = arg_str1 (NULL, NULL, "NAME", "resource name");
     int status;
     command_line_add (&line, name);
     if (!command_line_parse (&line, argc, argv, &status))
       return status;
     ... client_fetch (&line.options, path, &status) ...

   Functions that return an int or set an int STATUS use enum client_exit.  */
#ifndef CLIENT_COMMAND_LINE_H
#define CLIENT_COMMAND_LINE_H

#include "base/field.h"
#include "client/client.h"
#include "resource/resource.h"

#include <argtable2.h>

/* The command line of one command: the common options and up to four
   arguments or options of its own.  `name' and `help' are set by the command;
   the rest is set by the functions below.  */
struct command_line
{
  const char *name;
  const char *help;
  struct arg_lit *help_option;
  struct arg_str *entry;
  struct arg_str *token;
  struct arg_str *output;
  void *arguments[4]; /* the command's own, in order */
  int argument_count;
  struct arg_end *end;
  struct client_options options; /* set by command_line_parse */
};

/* Adds ARG, made by one of argtable2's arg_* functions, to the command's own
   arguments.  */
void command_line_add (struct command_line *line, void *arg);
/* Parses the arguments and sets the options of LINE.  Without --entry the only
   entry is the address in CITRONCLEAT_ENTRY, or else 127.0.0.1:7800; without
   --token the token is that in CITRONCLEAT_TOKEN.  Returns false with
   STATUS set if the command must not run: help was printed, or an error.  */
bool command_line_parse (struct command_line *line, int argc, char **argv,
                         int *status);
/* Returns the kind whose singular or plural is TEXT.  If there is none, prints
   an error with the list of kinds and returns KIND_COUNT.  */
enum resource_kind client_parse_kind (const char *text);
/* Returns a new random operation id.  An entry applies the changes of one id
   only once, so that they may be sent again.  */
const char *client_create_operation_id (apr_pool_t *pool);
/* Sends a GET request for PATH.  Returns the response, which the caller frees,
   with STATUS EXIT_DONE if its HTTP status is 200; else prints an error and
   returns NULL with STATUS set.  */
json_object *client_fetch (const struct client_options *options,
                           const char *path, int *status);
/* Sends CHANGES, a JSON array whose reference it takes over, as one operation
   and prints the outcome: the new version or an error.  */
int client_send_changes (const struct client_options *options,
                         json_object *changes, const char *operation_id);
/* Creates or changes the resources of LIST, a JSON array that stays the
   caller's, in one operation, all or none.  A resource without "version" is
   changed at its current version; one whose spec is in force already is not
   sent.  Prints the outcome for each resource.  */
int client_apply_resources (const struct client_options *options,
                            json_object *list, const char *operation_id);
/* Prints each of FAULTS, found in a file, to standard error.  */
void client_print_faults (const struct faults *faults);

/* Commands that commands.c does not define; main calls them through
   `client_commands' (client_command.run).  */

/* apply: creates or changes the resources of a file, all or none.  */
int run_apply (int argc, char **argv);
/* status: prints the entries, and what is saturated, leaving, ejected or
   draining.  */
int run_status (int argc, char **argv);
/* watch: prints changes of the configuration until an error, or until the
   number given with --count has come.  */
int run_watch (int argc, char **argv);
/* burn: prints how fast services spend their error budgets, as seen by one
   entry.  */
int run_burn (int argc, char **argv);
/* lookup: prints which entries a caller should use; --entry is the address of
   a callers' listener.  */
int run_lookup (int argc, char **argv);
int run_trace (int argc, char **argv);

#endif
