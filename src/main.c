/* The program `citroncleat': runs an entry (the commands `entry' and
   `gateway') or an operators' command (src/client).  */
#include "client/client.h"
#include "entry/entry.h"
#include "gateway/gateway.h"

#include <apr_general.h>
#include <curl/curl.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Runs the command `entry': loads the settings, and runs the entry until it is
   stopped.  */
static int
run_entry (int argc, char **argv, apr_pool_t *pool)
{
  if (argc == 2 && strcmp (argv[1], "--help") == 0)
    {
      puts ("Usage: citroncleat entry -f FILE\n"
            "Runs an entry until SIGTERM; FILE holds its settings.");
      return EXIT_DONE;
    }
  if (argc != 3 || strcmp (argv[1], "-f") != 0)
    {
      fputs ("citroncleat: give the settings as 'citroncleat entry -f "
             "FILE'\n",
             stderr);
      return EXIT_USAGE;
    }
  struct settings settings;
  struct faults *faults = faults_create (pool);
  settings_load (argv[2], pool, &settings, faults);
  for (size_t i = 0; i < faults_count (faults); i++)
    {
      const struct fault *fault = faults_at (faults, i);
      fprintf (stderr, "%s: found %s, expected %s\n", fault->path.data,
               fault->found.data, fault->expected.data);
    }
  if (faults_count (faults) > 0)
    return EXIT_INVALID;
  return entry_run (&settings, pool);
}

/* Runs the command `gateway'; gateway_run loads the settings.  */
static int
run_gateway (int argc, char **argv, apr_pool_t *pool)
{
  if (argc == 2 && strcmp (argv[1], "--help") == 0)
    {
      puts ("Usage: citroncleat gateway -f FILE\n"
            "Runs an entry on the platform until SIGTERM; FILE holds its "
            "settings.");
      return EXIT_DONE;
    }
  if (argc != 3 || strcmp (argv[1], "-f") != 0)
    {
      fputs ("citroncleat: give the settings as 'citroncleat gateway -f "
             "FILE'\n",
             stderr);
      return EXIT_USAGE;
    }
  return gateway_run (argv[2], pool);
}

static void
print_help (FILE *out)
{
  fputs ("Usage: citroncleat COMMAND [ARGUMENTS]\n\nCommands:\n"
         "  entry            run an entry\n"
         "  gateway          run an entry on the platform's VMs\n",
         out);
  for (const struct client_command *c = client_commands; c->name; c++)
    fprintf (out, "  %-16s %s\n", c->name, c->help);
  fputs ("  version          print the version\n\n"
         "Each command has --help.  Exit statuses: 0 done, 1 failed, 2 wrong "
         "usage, 3 not\nfound, 4 stale version, 5 refused by validation, 6 "
         "outcome not yet known, 7 token\nrefused.\n",
         out);
}

/* Runs the command that ARGV[1] names, and returns the exit status of the
   process.  */
static int
run (int argc, char **argv, apr_pool_t *pool)
{
  if (argc < 2)
    {
      print_help (stderr);
      return EXIT_USAGE;
    }
  const char *name = argv[1];
  if (strcmp (name, "--help") == 0 || strcmp (name, "help") == 0)
    {
      print_help (stdout);
      return EXIT_DONE;
    }
  if (strcmp (name, "version") == 0 || strcmp (name, "--version") == 0)
    {
      puts ("citroncleat " CITRONCLEAT_VERSION);
      return EXIT_DONE;
    }
  if (strcmp (name, "entry") == 0)
    return run_entry (argc - 1, argv + 1, pool);
  if (strcmp (name, "gateway") == 0)
    return run_gateway (argc - 1, argv + 1, pool);
  for (const struct client_command *c = client_commands; c->name; c++)
    if (strcmp (name, c->name) == 0)
      return c->run (argc - 1, argv + 1);
  fprintf (stderr,
           "citroncleat: '%s' is not a command; 'citroncleat --help' lists "
           "them\n",
           name);
  return EXIT_USAGE;
}

int
main (int argc, char **argv)
{
  apr_pool_t *pool;
  if (apr_initialize () != APR_SUCCESS || sodium_init () < 0)
    {
      fputs ("citroncleat: cannot initialize APR or libsodium\n", stderr);
      return EXIT_FAILED;
    }
  curl_global_init (CURL_GLOBAL_DEFAULT);
  apr_pool_create (&pool, NULL);
  int status = run (argc, argv, pool);
  apr_pool_destroy (pool);
  curl_global_cleanup ();
  apr_terminate ();
  return status;
}
