/* Parts that the client's commands share (internal).  */
#ifndef CLIENT_COMMAND_LINE_H
#define CLIENT_COMMAND_LINE_H

#include "base/field.h"
#include "client/client.h"
#include "resource/resource.h"

#include <argtable2.h>

/* The command line of one command: the common options and up to three
   words or options of its own.  */
struct command_line
{
  const char *name;
  const char *help;
  struct arg_lit *help_option;
  struct arg_str *entry;
  struct arg_str *token;
  struct arg_str *output;
  void *own[4];
  int own_count;
  struct arg_end *end;
  struct client_options options;
};

/* Adds one argument of the command's own, made by an arg_* function.  */
void command_line_add (struct command_line *line, void *arg);
/* Parses the arguments; returns false, with STATUS set, if the command is to
   end at once.  */
bool command_line_parse (struct command_line *line, int argc, char **argv,
                         int *status);
/* Returns the kind called TEXT, or KIND_COUNT with a message printed.  */
enum resource_kind client_kind (const char *text);
/* Returns a new random operation id.  */
const char *client_new_operation (apr_pool_t *pool);
/* Asks for PATH; returns the answer of status 200, or NULL with STATUS
   set.  */
json_object *client_fetch (const struct client_options *options,
                           const char *path, int *status);
/* Sends CHANGES (taken over) and prints how it ended.  */
int client_send_changes (const struct client_options *options,
                         json_object *changes, const char *operation);
/* Applies a list of resources on the versions that they have now.  */
int client_apply_list (const struct client_options *options, json_object *list,
                       const char *operation);
void client_print_faults (const struct faults *faults);

/* Commands, by file.  */
int run_apply (int argc, char **argv);
int run_status (int argc, char **argv);
int run_watch (int argc, char **argv);
int run_burn (int argc, char **argv);
int run_lookup (int argc, char **argv);

#endif
