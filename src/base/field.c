#include "base/field.h"

#include "base/net.h"

#include <apr_file_info.h>
#include <apr_file_io.h>
#include <apr_strings.h>
#include <apr_tables.h>
#include <ctype.h>
#include <limits.h>
#include <stdarg.h>
#include <string.h>

/* types */

struct faults
{
  apr_pool_t *pool;
  apr_array_header_t *items;
};

/* The place of one value: its field, its path and where it goes.  */
struct place
{
  const struct field *field;
  struct str path;
  char *out;
  apr_pool_t *pool;
  struct faults *faults;
};

/* constants */

enum
{
  TEXT_MAX_BYTES = 255,
  LIST_MAX_ITEMS = 4096,
  PARSE_MAX_DEPTH = 24,
  FILE_MAX_BYTES = 16 * 1024 * 1024,
  FOUND_MAX_BYTES = 80,
  SUGGEST_MAX_EDITS = 3
};

/* private functions */

static struct str
found_text (struct faults *faults, json_object *value)
{
  if (!value)
    return STR ("null");
  const char *text = json_object_to_json_string_ext (
      value, JSON_C_TO_STRING_PLAIN | JSON_C_TO_STRING_NOSLASHESCAPE);
  struct str s = str_from (text);
  if (s.size > FOUND_MAX_BYTES)
    s.size = FOUND_MAX_BYTES;
  return str_dup (faults->pool, s);
}

static void
bad (struct place *place, json_object *value, const char *expected)
{
  faults_add (place->faults, place->path, found_text (place->faults, value),
              "%s", expected);
}

static bool
text_of (json_object *value, struct str *text)
{
  if (json_object_get_type (value) != json_type_string)
    return false;
  *text = str_view (json_object_get_string (value),
                    (size_t)json_object_get_string_len (value));
  return text->size > 0 && text->size <= TEXT_MAX_BYTES
         && !memchr (text->data, 0, text->size);
}

static bool
is_url (struct str text)
{
  struct str host;
  int port;
  if (!str_starts (text, STR ("http://")))
    return false;
  return net_split_address (str_view (text.data + 7, text.size - 7), &host,
                            &port);
}

/* Returns what is expected of a text of TYPE, or NULL if TEXT is good.  */
static const char *
text_fault (enum field_type type, struct str text)
{
  struct str host;
  int port;
  switch (type)
    {
    case FIELD_NAME:
    case FIELD_NAME_LIST:
      return field_is_name (text)
                 ? NULL
                 : "a name of 1 to 63 letters, digits, '-', '_' or '.'";
    case FIELD_ADDRESS:
    case FIELD_ADDRESS_LIST:
      return net_split_address (text, &host, &port)
                 ? NULL
                 : "an address IPV4:PORT or [IPV6]:PORT";
    case FIELD_URL:
      return is_url (text) ? NULL : "a URL http://IP:PORT";
    default:
      return NULL;
    }
}

static void
read_text (struct place *place, json_object *value)
{
  struct str text;
  if (!text_of (value, &text))
    {
      bad (place, value, "a string of 1 to 255 bytes");
      return;
    }
  const char *expected = text_fault (place->field->type, text);
  if (expected)
    bad (place, value, expected);
  else
    *(struct str *)place->out = str_dup (place->pool, text);
}

static void
read_real (struct place *place, json_object *value)
{
  const struct field *field = place->field;
  double number = json_object_get_double (value);
  enum json_type type = json_object_get_type (value);
  if ((type != json_type_double && type != json_type_int)
      || !(number >= (double)field->least && number <= (double)field->most))
    {
      faults_add (place->faults, place->path,
                  found_text (place->faults, value),
                  "a number from %lld to %lld", (long long)field->least,
                  (long long)field->most);
      return;
    }
  *(double *)place->out = number;
}

static void
read_int (struct place *place, json_object *value)
{
  const struct field *field = place->field;
  int64_t number = json_object_get_int64 (value);
  if (json_object_get_type (value) != json_type_int || number < field->least
      || number > field->most)
    {
      faults_add (place->faults, place->path,
                  found_text (place->faults, value),
                  "a whole number from %lld to %lld%s%s",
                  (long long)field->least, (long long)field->most,
                  field->unit ? " " : "", field->unit ? field->unit : "");
      return;
    }
  *(int64_t *)place->out = number;
}

static void
read_choice (struct place *place, json_object *value)
{
  struct str text;
  const char *const *choices = place->field->choices;
  if (text_of (value, &text))
    for (int i = 0; choices[i]; i++)
      if (str_equal (text, str_from (choices[i])))
        {
          *(int *)place->out = i;
          return;
        }
  char *all = apr_pstrdup (place->faults->pool, "one of");
  for (int i = 0; choices[i]; i++)
    all = apr_pstrcat (place->faults->pool, all, i ? ", '" : " '", choices[i],
                       "'", NULL);
  bad (place, value, all);
}

static bool
check_list (struct place *place, json_object *value)
{
  if (json_object_get_type (value) == json_type_array
      && json_object_array_length (value) <= LIST_MAX_ITEMS)
    return true;
  bad (place, value, "a list of at most 4096 items");
  return false;
}

static void
read_text_list (struct place *place, json_object *value)
{
  if (!check_list (place, value))
    return;
  size_t n = json_object_array_length (value);
  struct str_list *list = (struct str_list *)place->out;
  list->items = apr_pcalloc (place->pool, (n + 1) * sizeof (struct str));
  list->count = n;
  for (size_t i = 0; i < n; i++)
    {
      struct place item = *place;
      item.path
          = str_printf (place->faults->pool, "%s[%zu]", place->path.data, i);
      item.out = (char *)&list->items[i];
      read_text (&item, json_object_array_get_idx (value, i));
    }
}

static const struct field *
find_field (const struct field *table, struct str name)
{
  for (const struct field *f = table; f->name; f++)
    if (str_equal (name, str_from (f->name)))
      return f;
  return NULL;
}

static void
set_default (struct place *place)
{
  const struct field *field = place->field;
  switch (field->type)
    {
    case FIELD_INT:
      *(int64_t *)place->out = field->default_number;
      break;
    case FIELD_REAL:
      *(double *)place->out = (double)field->default_number;
      break;
    case FIELD_BOOL:
      *(bool *)place->out = field->default_number != 0;
      break;
    case FIELD_CHOICE:
      *(int *)place->out = (int)field->default_number;
      break;
    case FIELD_TEXT:
    case FIELD_NAME:
    case FIELD_ADDRESS:
    case FIELD_URL:
      *(struct str *)place->out = str_from (field->default_text);
      break;
    default:
      break;
    }
}

static void
report_unknown_names (const struct field *table, json_object *object,
                      struct str path, struct faults *faults)
{
  const char *names[64] = { 0 };
  size_t n = 0;
  for (const struct field *f = table; f->name && n < 63; f++)
    names[n++] = f->name;
  json_object_object_foreach (object, key, value)
  {
    (void)value;
    if (!find_field (table, str_from (key)))
      field_unknown (faults, path, str_from (key), names);
  }
}

static struct str
join_path (apr_pool_t *pool, struct str path, const char *name)
{
  if (path.size == 0)
    return str_dup (pool, str_from (name));
  return str_printf (pool, "%.*s.%s", STR_ARGS (path), name);
}

static void read_value (struct place *place, json_object *value);

static void
read_object_list (struct place *place, json_object *value)
{
  if (!check_list (place, value))
    return;
  size_t n = json_object_array_length (value);
  size_t size = place->field->sub_size;
  struct field_list *list = (struct field_list *)place->out;
  list->items = apr_pcalloc (place->pool, (n + 1) * size);
  list->count = n;
  for (size_t i = 0; i < n; i++)
    field_read (
        place->field->sub, json_object_array_get_idx (value, i),
        str_printf (place->faults->pool, "%s[%zu]", place->path.data, i),
        (char *)list->items + i * size, place->pool, place->faults);
}

static void
read_value (struct place *place, json_object *value)
{
  switch (place->field->type)
    {
    case FIELD_TEXT:
    case FIELD_NAME:
    case FIELD_ADDRESS:
    case FIELD_URL:
      read_text (place, value);
      break;
    case FIELD_INT:
      read_int (place, value);
      break;
    case FIELD_REAL:
      read_real (place, value);
      break;
    case FIELD_BOOL:
      if (json_object_get_type (value) == json_type_boolean)
        *(bool *)place->out = json_object_get_boolean (value);
      else
        bad (place, value, "true or false");
      break;
    case FIELD_CHOICE:
      read_choice (place, value);
      break;
    case FIELD_TEXT_LIST:
    case FIELD_NAME_LIST:
    case FIELD_ADDRESS_LIST:
      read_text_list (place, value);
      break;
    case FIELD_OBJECT:
      field_read (place->field->sub, value, place->path, place->out,
                  place->pool, place->faults);
      break;
    case FIELD_OBJECT_LIST:
      read_object_list (place, value);
      break;
    }
}

/* Returns the 1-based line of OFFSET in DATA.  */
static size_t
line_of (const char *data, size_t offset)
{
  size_t line = 1;
  for (size_t i = 0; i < offset; i++)
    line += data[i] == '\n';
  return line;
}

/* public functions */

struct faults *
faults_create (apr_pool_t *pool)
{
  struct faults *faults = apr_palloc (pool, sizeof *faults);
  faults->pool = pool;
  faults->items = apr_array_make (pool, 4, sizeof (struct fault));
  return faults;
}

size_t
faults_count (const struct faults *faults)
{
  return (size_t)faults->items->nelts;
}

const struct fault *
faults_at (const struct faults *faults, size_t i)
{
  return &APR_ARRAY_IDX (faults->items, (int)i, struct fault);
}

void
faults_add (struct faults *faults, struct str path, struct str found,
            const char *expected, ...)
{
  va_list args;
  va_start (args, expected);
  char *text = str_vformat (faults->pool, expected, args);
  va_end (args);
  struct fault *fault = apr_array_push (faults->items);
  fault->path = str_dup (faults->pool, path);
  fault->found = str_dup (faults->pool, found);
  fault->expected = str_from (text);
}

json_object *
faults_to_json (const struct faults *faults)
{
  json_object *list = json_object_new_array ();
  for (size_t i = 0; i < faults_count (faults); i++)
    {
      const struct fault *fault = faults_at (faults, i);
      json_object *item = json_object_new_object ();
      json_object_object_add (item, "path",
                              json_object_new_string (fault->path.data));
      json_object_object_add (item, "found",
                              json_object_new_string (fault->found.data));
      json_object_object_add (item, "expected",
                              json_object_new_string (fault->expected.data));
      json_object_array_add (list, item);
    }
  return list;
}

void
field_unknown (struct faults *faults, struct str path, struct str text,
               const char *const *names)
{
  const char *nearest = NULL;
  size_t least = SUGGEST_MAX_EDITS + 1;
  for (size_t i = 0; names[i]; i++)
    {
      size_t edits = str_distance (text, str_from (names[i]));
      if (edits < least)
        {
          least = edits;
          nearest = names[i];
        }
    }
  struct str at
      = join_path (faults->pool, path, str_dup (faults->pool, text).data);
  if (nearest)
    faults_add (faults, at, text, "a known name; did you mean '%s'?", nearest);
  else
    faults_add (faults, at, text, "a known name; see the reference for all");
}

void
field_read (const struct field *table, json_object *object, struct str path,
            void *out, apr_pool_t *pool, struct faults *faults)
{
  if (json_object_get_type (object) != json_type_object)
    {
      faults_add (faults, path, found_text (faults, object), "an object");
      return;
    }
  report_unknown_names (table, object, path, faults);
  for (const struct field *f = table; f->name; f++)
    {
      struct place place = { .field = f, .pool = pool, .faults = faults };
      place.path = join_path (faults->pool, path, f->name);
      place.out = (char *)out + f->at;
      json_object *value = NULL;
      set_default (&place);
      if (json_object_object_get_ex (object, f->name, &value))
        read_value (&place, value);
      else if (f->required)
        faults_add (faults, place.path, STR ("nothing"),
                    "this field, which is required");
      else if (f->type == FIELD_OBJECT)
        {
          json_object *empty = json_object_new_object ();
          field_read (f->sub, empty, place.path, place.out, pool, faults);
          json_object_put (empty);
        }
    }
}

json_object *
field_parse (const char *data, size_t size, struct str file,
             struct faults *faults)
{
  if (size > INT_MAX || size == 0)
    {
      faults_add (faults, file, str_printf (faults->pool, "%zu bytes", size),
                  "a JSON text");
      return NULL;
    }
  json_tokener *tokener = json_tokener_new_ex (PARSE_MAX_DEPTH);
  json_object *object = json_tokener_parse_ex (tokener, data, (int)size);
  enum json_tokener_error status = json_tokener_get_error (tokener);
  size_t end = json_tokener_get_parse_end (tokener);
  if (status == json_tokener_continue)
    {
      /* A number at the very end is complete only once a delimiter comes. */
      object = json_tokener_parse_ex (tokener, "\n", 1);
      status = json_tokener_get_error (tokener);
      end = size;
    }
  const char *why = json_tokener_error_desc (status);
  while (status == json_tokener_success && end < size
         && isspace ((unsigned char)data[end]))
    end++;
  if (status == json_tokener_success && end < size)
    {
      why = "more text after the end of the value";
      status = json_tokener_error_parse_unexpected;
    }
  json_tokener_free (tokener);
  if (status == json_tokener_success)
    return object;
  json_object_put (object);
  faults_add (faults,
              str_printf (faults->pool, "%.*s:%zu", STR_ARGS (file),
                          line_of (data, end < size ? end : size)),
              STR ("a syntax error"), "JSON with comments: %s", why);
  return NULL;
}

json_object *
field_parse_file (const char *path, apr_pool_t *pool, struct faults *faults)
{
  apr_file_t *file = NULL;
  apr_finfo_t info;
  json_object *object = NULL;
  char reason[120];
  apr_status_t status
      = apr_file_open (&file, path, APR_FOPEN_READ, APR_OS_DEFAULT, pool);
  if (status == APR_SUCCESS)
    status = apr_file_info_get (&info, APR_FINFO_SIZE, file);
  if (status)
    {
      apr_strerror (status, reason, sizeof reason);
      faults_add (faults, str_from (path), str_from (reason),
                  "a file that can be read");
      goto out;
    }
  if (info.size > FILE_MAX_BYTES)
    {
      faults_add (faults, str_from (path), STR ("a larger file"),
                  "a file of at most %d bytes", FILE_MAX_BYTES);
      goto out;
    }
  char *data = apr_palloc (pool, (apr_size_t)info.size + 1);
  apr_size_t size = 0;
  apr_file_read_full (file, data, (apr_size_t)info.size, &size);
  object = field_parse (data, size, str_from (path), faults);
out:
  if (file)
    apr_file_close (file);
  return object;
}

bool
field_is_name (struct str text)
{
  if (text.size == 0 || text.size > 63)
    return false;
  for (size_t i = 0; i < text.size; i++)
    if (!isalnum ((unsigned char)text.data[i])
        && !strchr ("-_.", text.data[i]))
      return false;
  return true;
}
