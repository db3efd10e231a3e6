/* Settings of one entry, read from a file of JSON with comments.

   A process learns its addresses, region and availability zone only from
   here.  `settings_load' reports all faults of a file at once; the command
   `check-settings' is the same code.

     struct settings settings;
     struct faults *faults = faults_create (pool);
     settings_load ("entry.json", pool, &settings, faults);
     if (faults_count (faults) > 0) ...

   Threads: the result is read-only.  */
#ifndef SETTINGS_SETTINGS_H
#define SETTINGS_SETTINGS_H

#include "base/field.h"
#include "base/log.h"

enum
{
  SETTINGS_KEY_BYTES = 32
};

/* The addresses of an entry's listeners.  */
struct settings_addresses
{
  struct str callers;
  struct str operators;
  struct str peers;
};

struct settings_store
{
  struct str url;
  struct str prefix; /* of the project's keys */
  int64_t timeout_ms;
};

struct settings_vm_list
{
  struct str url;  /* empty: none */
  int64_t poll_ms; /* at a fleet of 11; grows with the fleet */
};

struct settings_peers
{
  struct str key_hex;
  struct str key_file;
  struct str_list seeds;
  int64_t heartbeat_ms;
  int64_t silent_ms; /* a peer unheard for this long counts as dead */
  unsigned char key[SETTINGS_KEY_BYTES];
};

struct settings_operators
{
  struct str token;
  struct str token_file;
};

struct settings_log
{
  int format; /* enum log_format */
  int level;  /* enum log_level */
};

struct settings_limits
{
  int64_t caller_connections;
  int64_t operator_connections;
  int64_t header_bytes;
  int64_t header_timeout_s;
  int64_t idle_timeout_s;
  int64_t call_buffer_bytes; /* a direction of a call */
  int64_t queued_calls;
  int64_t resource_body_bytes;
};

struct settings_stop
{
  int64_t timeout_s; /* calls still in progress are cut after this */
};

struct settings
{
  struct str name;
  struct str region;
  struct str zone;
  struct settings_addresses listen;
  struct settings_store store;
  struct settings_vm_list vm_list;
  struct settings_peers peers;
  struct settings_operators operators;
  struct settings_log log;
  struct settings_limits limits;
  struct settings_stop stop;
};

extern const struct field settings_fields[];

/* Reads the file at PATH into SETTINGS; adds every fault to FAULTS.  */
void settings_load (const char *path, apr_pool_t *pool,
                    struct settings *settings, struct faults *faults);

#endif
