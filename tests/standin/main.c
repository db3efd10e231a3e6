#include "tests/standin/standin.h"

#include <apr_general.h>
#include <signal.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/signalfd.h>
#include <unistd.h>

static const struct
{
  const char *name;
  int (*run) (int argc, char **argv, apr_pool_t *pool);
} roles[] = { { "platform", run_platform },
              { "upstreams", run_upstreams },
              { "faulty-upstream", run_faulty_upstream },
              { "callers", run_callers },
              { "load", run_load },
              { "metadata", run_metadata },
              { "worker", run_worker },
              { "proxy", run_proxy },
              { "directory-callers", run_directory_callers },
              { "fuzz-callers", run_fuzz_callers },
              { "crowd", run_crowd },
              { NULL, NULL } };

const char *
option (int argc, char **argv, const char *name, const char *default_value)
{
  for (int i = 1; i + 1 < argc; i++)
    if (strcmp (argv[i], name) == 0)
      return argv[i + 1];
  return default_value;
}

struct snapshot *
load_resources (const char *path, apr_pool_t *pool)
{
  struct faults *faults = faults_create (pool);
  json_object *document = field_parse_json_file (path, pool, faults);
  struct snapshot *snapshot = snapshot_create (1);
  json_object *resources = NULL;
  if (document)
    json_object_object_get_ex (document, "resources", &resources);
  for (size_t i = 0; resources && i < json_object_array_length (resources);
       i++)
    {
      json_object *item = json_object_array_get_idx (resources, i);
      json_object *kind, *name, *spec;
      if (json_object_object_get_ex (item, "kind", &kind)
          && json_object_object_get_ex (item, "name", &name)
          && json_object_object_get_ex (item, "spec", &spec))
        snapshot_add (
            snapshot,
            resource_kind_from_name (str_from (json_object_get_string (kind))),
            str_from (json_object_get_string (name)), 1, spec, faults);
    }
  json_object_put (document);
  snapshot_finish (snapshot, faults);
  for (size_t i = 0; i < faults_count (faults); i++)
    fprintf (stderr, "%s: %s\n", faults_at (faults, i)->path.data,
             faults_at (faults, i)->expected.data);
  if (faults_count (faults) > 0)
    exit (2);
  return snapshot;
}

static void
on_stop_signal (void *user_data, int fd, int events)
{
  (void)fd;
  (void)events;
  loop_stop (user_data);
}

void
watch_stop_signals (struct loop *loop, loop_ready_fn *ready, void *user_data)
{
  sigset_t set;
  sigemptyset (&set);
  sigaddset (&set, SIGTERM);
  sigaddset (&set, SIGINT);
  sigprocmask (SIG_BLOCK, &set, NULL);
  signal (SIGPIPE, SIG_IGN);
  loop_watch (loop, signalfd (-1, &set, SFD_NONBLOCK), LOOP_READ, ready,
              user_data);
}

void
stop_on_signal (struct loop *loop)
{
  watch_stop_signals (loop, on_stop_signal, loop);
}

void
fill_pattern (char *out, size_t size, uint64_t position, uint64_t seed)
{
  for (size_t i = 0; i < size; i++)
    {
      uint64_t word = (position + i) / 8 * 0x9E3779B97F4A7C15ULL ^ seed;
      word ^= word >> 29;
      out[i] = (char)(word >> 8 * ((position + i) % 8));
    }
}

/* Writes who sent a SIGHUP, and ends as it would have.  Uses only functions
   that a signal handler may call.  */
static void
on_hangup (int signal_number, siginfo_t *info, void *context)
{
  (void)context;
  char text[] = "standin: SIGHUP from pid          0\n";
  char *digit = text + sizeof text - 3;
  for (pid_t pid = info->si_pid; pid > 0; pid /= 10)
    *digit-- = (char)('0' + pid % 10);
  ssize_t written = write (STDERR_FILENO, text, sizeof text - 1);
  (void)written;
  raise (signal_number);
}

static void
log_hangups (void)
{
  struct sigaction action
      = { .sa_sigaction = on_hangup,
          .sa_flags = (int)(SA_SIGINFO | SA_RESETHAND | SA_NODEFER) };
  struct sigaction inherited;
  sigaction (SIGHUP, NULL, &inherited);
  if (inherited.sa_handler != SIG_IGN)
    sigaction (SIGHUP, &action, NULL);
}

int
main (int argc, char **argv)
{
  apr_pool_t *pool;
  log_hangups ();
  apr_initialize ();
  if (sodium_init () < 0)
    return 1;
  curl_global_init (CURL_GLOBAL_DEFAULT);
  apr_pool_create (&pool, NULL);
  for (int i = 0; argc > 1 && roles[i].name; i++)
    if (strcmp (argv[1], roles[i].name) == 0)
      return roles[i].run (argc - 1, argv + 1, pool);
  fputs ("usage: standin "
         "platform|upstreams|faulty-upstream|callers|load|metadata|worker|"
         "proxy|directory-callers|fuzz-callers ...\n",
         stderr);
  return 2;
}
