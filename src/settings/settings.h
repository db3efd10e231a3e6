/* Settings of one entry, read from a file of JSON with comments.

   This file is the only source of an entry's addresses, region and
   availability zone.  `settings_load' reports all faults of the fields at
   once, and then those of the secrets and between fields; the command
   `check-settings' does nothing else.  Bounds and defaults are in the tables
   of settings.c.

     struct settings settings;
     struct faults *faults = faults_create (pool);
     settings_load ("entry.json", pool, &settings, faults);
     if (faults_count (faults) > 0) ...

   Units are in the names.  Threads: the result is read-only and may be
   shared; its strings live in the pool.  */
#ifndef SETTINGS_SETTINGS_H
#define SETTINGS_SETTINGS_H

#include "base/field.h"
#include "base/log.h"

enum
{
  SETTINGS_KEY_BYTES = 32 /* size of the key that all entries share */
};

/* Addresses on which an entry listens; all differ.  */
struct settings_addresses
{
  struct str callers;
  struct str operators; /* API and metrics */
  struct str peers;     /* other entries */
};

struct settings_store
{
  struct str url;
  struct str prefix; /* of all keys that the entries use */
  int64_t timeout_ms;
};

struct settings_vm_list
{
  struct str url;  /* empty: none */
  int64_t poll_ms; /* mean interval with up to 11 entries; grows with the
                      number of entries, see platform/vm_list.h */
};

struct settings_peers
{
  struct str key_hex; /* "key", 64 hexadecimal digits; either it or the file
                         is given */
  struct str key_file;
  struct str_list seeds; /* addresses of entries to connect to first, which are
                            never forgotten */
  int64_t heartbeat_ms;  /* interval */
  int64_t silent_ms;     /* without a heartbeat for this long, a peer is
                            considered dead; at least 2 * heartbeat_ms */
  unsigned char key[SETTINGS_KEY_BYTES]; /* decoded from either source */
};

struct settings_operators
{
  struct str token; /* at least 16 bytes; also if it was read from the file */
  struct str token_file;
};

struct settings_log
{
  int format; /* enum log_format */
  int level;  /* enum log_level */
};

struct settings_limits
{
  int64_t caller_connections;   /* open at once */
  int64_t operator_connections; /* open at once */
  int64_t header_bytes;         /* memory of a connection, which bounds the
                                   header of a request */
  int64_t header_timeout_s;     /* until the header is complete */
  int64_t idle_timeout_s;       /* without traffic on a connection */
  int64_t call_buffer_bytes;    /* for each direction of a call */
  int64_t queued_calls;         /* waiting for a slot at once */
  int64_t resource_body_bytes;  /* of a request to the operators' API */
};

struct settings_stop
{
  int64_t timeout_s; /* calls in progress are aborted after this */
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

/* The fields of the file's top-level object.  */
extern const struct field settings_fields[];

/* Reads the file at PATH, and the secret files it names, into SETTINGS, whose
   strings live in POOL.  Adds every fault to FAULTS; after a fault SETTINGS
   must not be used.  */
void settings_load (const char *path, apr_pool_t *pool,
                    struct settings *settings, struct faults *faults);

#endif
