/* Stand-ins for what surrounds citroncleat: the platform's stores and list of
   VMs, upstreams, callers, and a proxy that injects faults.  For tests,
   benchmarks and demos only.

     standin ROLE [--OPTION VALUE]...

   main.c starts the role's function; the comment at the head of each role's
   file lists its options.  A role runs one event loop until SIGTERM or SIGINT,
   or until its load is over.  All functions here belong to that loop's
   thread.  */
#ifndef STANDIN_H
#define STANDIN_H

#include "base/curl_loop.h"
#include "base/httpd.h"
#include "resource/document.h"

/* The roles.  Each takes the command line from the role's name on and returns
   the exit status of the process.  */
int run_platform (int argc, char **argv, apr_pool_t *pool);
int run_upstreams (int argc, char **argv, apr_pool_t *pool);
int run_faulty_upstream (int argc, char **argv, apr_pool_t *pool);
int run_callers (int argc, char **argv, apr_pool_t *pool);
int run_load (int argc, char **argv, apr_pool_t *pool);
int run_metadata (int argc, char **argv, apr_pool_t *pool);
int run_worker (int argc, char **argv, apr_pool_t *pool);
int run_proxy (int argc, char **argv, apr_pool_t *pool);
int run_directory_callers (int argc, char **argv, apr_pool_t *pool);
int run_fuzz_callers (int argc, char **argv, apr_pool_t *pool);
int run_crowd (int argc, char **argv, apr_pool_t *pool);

/* Returns the argument after the first NAME (such as "--listen"), or
   DEFAULT_VALUE.  */
const char *option (int argc, char **argv, const char *name,
                    const char *default_value);
/* Reads a resources file in the format of `citroncleat apply -f'.  If it
   isn't valid, prints each fault and exits with 2.  */
struct snapshot *load_resources (const char *path, apr_pool_t *pool);
/* Blocks SIGTERM and SIGINT and calls READY with a signalfd when one of them
   arrives.  Ignores SIGPIPE.  */
void watch_stop_signals (struct loop *loop, loop_ready_fn *ready,
                         void *user_data);
/* Stops LOOP on SIGTERM or SIGINT.  Ignores SIGPIPE.  */
void stop_on_signal (struct loop *loop);
/* Fills OUT with the SIZE bytes from POSITION on of the pseudo-random stream
   of SEED, so that sender and receiver can generate a body piece by piece and
   compare hashes.  */
void fill_pattern (char *out, size_t size, uint64_t position, uint64_t seed);

#endif
