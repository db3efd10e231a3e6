#include "settings/settings.h"

#include <apr_file_io.h>
#include <apr_strings.h>
#include <sodium.h>
#include <string.h>

/* constants */

enum
{
  MAX_SECRET_BYTES = 255,
  MIN_TOKEN_BYTES = 16
};

static const char *const log_formats[] = { "text", "json", NULL };
static const char *const log_levels[]
    = { "debug", "info", "warn", "error", NULL };

static const struct field listen_fields[]
    = { { .name = "callers",
          .type = FIELD_ADDRESS,
          FIELD_OFFSET (settings_addresses, callers),
          .required = true },
        { .name = "operators",
          .type = FIELD_ADDRESS,
          FIELD_OFFSET (settings_addresses, operators),
          .required = true },
        { .name = "peers",
          .type = FIELD_ADDRESS,
          FIELD_OFFSET (settings_addresses, peers),
          .required = true },
        { 0 } };

static const struct field store_fields[]
    = { { .name = "url",
          .type = FIELD_URL,
          FIELD_OFFSET (settings_store, url),
          .required = true },
        { .name = "prefix",
          .type = FIELD_NAME,
          FIELD_OFFSET (settings_store, prefix),
          .default_text = "citroncleat" },
        FIELD_NUMBER (settings_store, timeout_ms, 50, 60000, 1000, "ms"),
        { 0 } };

static const struct field vm_list_fields[] = {
  { .name = "url", .type = FIELD_URL, FIELD_OFFSET (settings_vm_list, url) },
  FIELD_NUMBER (settings_vm_list, poll_ms, 100, 60000, 1000, "ms"),
  { 0 }
};

static const struct field peers_fields[]
    = { { .name = "key",
          .type = FIELD_TEXT,
          FIELD_OFFSET (settings_peers, key_hex) },
        { .name = "key_file",
          .type = FIELD_TEXT,
          FIELD_OFFSET (settings_peers, key_file) },
        { .name = "seeds",
          .type = FIELD_ADDRESS_LIST,
          FIELD_OFFSET (settings_peers, seeds) },
        FIELD_NUMBER (settings_peers, heartbeat_ms, 20, 10000, 250, "ms"),
        FIELD_NUMBER (settings_peers, silent_ms, 100, 60000, 1500, "ms"),
        { 0 } };

static const struct field operators_fields[]
    = { { .name = "token",
          .type = FIELD_TEXT,
          FIELD_OFFSET (settings_operators, token) },
        { .name = "token_file",
          .type = FIELD_TEXT,
          FIELD_OFFSET (settings_operators, token_file) },
        { 0 } };

static const struct field log_fields[]
    = { { .name = "format",
          .type = FIELD_CHOICE,
          FIELD_OFFSET (settings_log, format),
          .choices = log_formats,
          .default_number = LOG_FORMAT_JSON },
        { .name = "level",
          .type = FIELD_CHOICE,
          FIELD_OFFSET (settings_log, level),
          .choices = log_levels,
          .default_number = LOG_INFO },
        { 0 } };

static const struct field limits_fields[] = {
  FIELD_NUMBER (settings_limits, caller_connections, 8, 100000, 4096, NULL),
  FIELD_NUMBER (settings_limits, operator_connections, 4, 10000, 128, NULL),
  FIELD_NUMBER (settings_limits, header_bytes, 4096, 1048576, 32768, "bytes"),
  FIELD_NUMBER (settings_limits, header_timeout_s, 1, 600, 15, "s"),
  FIELD_NUMBER (settings_limits, idle_timeout_s, 1, 3600, 60, "s"),
  FIELD_NUMBER (settings_limits, call_buffer_bytes, 32768, 4194304, 65536,
                "bytes"),
  FIELD_NUMBER (settings_limits, queued_calls, 1, 100000, 2000, NULL),
  FIELD_NUMBER (settings_limits, resource_body_bytes, 1024, 16777216, 1048576,
                "bytes"),
  { 0 }
};

static const struct field stop_fields[]
    = { FIELD_NUMBER (settings_stop, timeout_s, 1, 86400, 600, "s"), { 0 } };

#define OBJECT(member, table)                                                 \
  {                                                                           \
    .name = #member, .type = FIELD_OBJECT, FIELD_OFFSET (settings, member),   \
    .subfields = (table)                                                      \
  }

const struct field settings_fields[] = { { .name = "name",
                                           .type = FIELD_NAME,
                                           FIELD_OFFSET (settings, name),
                                           .required = true },
                                         { .name = "region",
                                           .type = FIELD_NAME,
                                           FIELD_OFFSET (settings, region),
                                           .required = true },
                                         { .name = "zone",
                                           .type = FIELD_NAME,
                                           FIELD_OFFSET (settings, zone),
                                           .required = true },
                                         { .name = "listen",
                                           .type = FIELD_OBJECT,
                                           FIELD_OFFSET (settings, listen),
                                           .subfields = listen_fields,
                                           .required = true },
                                         { .name = "store",
                                           .type = FIELD_OBJECT,
                                           FIELD_OFFSET (settings, store),
                                           .subfields = store_fields,
                                           .required = true },
                                         OBJECT (vm_list, vm_list_fields),
                                         { .name = "peers",
                                           .type = FIELD_OBJECT,
                                           FIELD_OFFSET (settings, peers),
                                           .subfields = peers_fields,
                                           .required = true },
                                         { .name = "operators",
                                           .type = FIELD_OBJECT,
                                           FIELD_OFFSET (settings, operators),
                                           .subfields = operators_fields,
                                           .required = true },
                                         OBJECT (log, log_fields),
                                         OBJECT (limits, limits_fields),
                                         OBJECT (stop, stop_fields),
                                         { 0 } };

/* private functions */

/* Returns the secret VALUE or the content of FILE, which has at most
   MAX_SECRET_BYTES, without final line ends.  Exactly one must be
   given, else a fault at PATH is added, as for a file that cannot be read.  */
static struct str
read_secret (struct str value, struct str file, const char *path,
             apr_pool_t *pool, struct faults *faults)
{
  if ((value.size > 0) == (file.size > 0))
    {
      faults_add (faults, str_from (path), STR (""),
                  "exactly one of '%s' and '%s_file'", path, path);
      return STR ("");
    }
  if (value.size > 0)
    return value;
  apr_file_t *handle;
  /* One byte more, to tell one that is too long.  */
  char *text = apr_pcalloc (pool, MAX_SECRET_BYTES + 2);
  apr_size_t size = 0;
  if (apr_file_open (&handle, file.data, APR_FOPEN_READ, APR_OS_DEFAULT, pool)
      != APR_SUCCESS)
    {
      faults_add (faults, str_printf (pool, "%s_file", path), file,
                  "a file that can be read");
      return STR ("");
    }
  apr_file_read_full (handle, text, MAX_SECRET_BYTES + 1, &size);
  apr_file_close (handle);
  if (size > MAX_SECRET_BYTES)
    {
      faults_add (faults, str_printf (pool, "%s_file", path), file,
                  "a file of at most %d bytes", MAX_SECRET_BYTES);
      return STR ("");
    }
  while (size > 0 && (text[size - 1] == '\n' || text[size - 1] == '\r'))
    size--;
  text[size] = 0;
  return str_view (text, size);
}

static void
read_key (struct settings *settings, apr_pool_t *pool, struct faults *faults)
{
  struct settings_peers *peers = &settings->peers;
  size_t fault_count = faults_count (faults);
  struct str hex = read_secret (peers->key_hex, peers->key_file, "peers.key",
                                pool, faults);
  if (faults_count (faults) > fault_count)
    return;
  size_t size = 0;
  if (sodium_hex2bin (peers->key, sizeof peers->key, hex.data, hex.size, NULL,
                      &size, NULL)
          != 0
      || size != sizeof peers->key || hex.size != 2 * sizeof peers->key)
    faults_add (faults, STR ("peers.key"), STR ("(not shown)"),
                "%d hexadecimal digits", 2 * SETTINGS_KEY_BYTES);
}

static void
read_token (struct settings *settings, apr_pool_t *pool, struct faults *faults)
{
  struct settings_operators *operators = &settings->operators;
  size_t fault_count = faults_count (faults);
  operators->token = read_secret (operators->token, operators->token_file,
                                  "operators.token", pool, faults);
  if (faults_count (faults) == fault_count
      && operators->token.size < MIN_TOKEN_BYTES)
    faults_add (faults, STR ("operators.token"), STR ("(not shown)"),
                "a token of at least %d bytes", MIN_TOKEN_BYTES);
}

static void
check_addresses (const struct settings *settings, struct faults *faults)
{
  const struct str *addresses[]
      = { &settings->listen.callers, &settings->listen.operators,
          &settings->listen.peers };
  static const char *const paths[]
      = { "listen.callers", "listen.operators", "listen.peers" };
  for (size_t i = 1; i < 3; i++)
    for (size_t j = 0; j < i; j++)
      if (addresses[i]->size > 0 && str_equal (*addresses[i], *addresses[j]))
        faults_add (faults, str_from (paths[i]), *addresses[i],
                    "an address other than that of %s", paths[j]);
}

/* public functions */

void
settings_load (const char *path, apr_pool_t *pool, struct settings *settings,
               struct faults *faults)
{
  memset (settings, 0, sizeof *settings);
  json_object *object = field_parse_json_file (path, pool, faults);
  if (!object)
    return;
  field_read (settings_fields, object, STR (""), settings, pool, faults);
  json_object_put (object);
  if (faults_count (faults) > 0)
    return;
  read_key (settings, pool, faults);
  read_token (settings, pool, faults);
  check_addresses (settings, faults);
  if (settings->peers.silent_ms < 2 * settings->peers.heartbeat_ms)
    faults_add (
        faults, STR ("peers.silent_ms"),
        str_printf (pool, "%lld", (long long)settings->peers.silent_ms),
        "at least twice peers.heartbeat_ms");
}
