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

/* Where one value is to be stored, with its field and its path.  */
struct value_target
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
  MAX_TEXT_BYTES = 255,
  MAX_LIST_ITEMS = 4096, /* also in the text of check_list */
  MAX_JSON_DEPTH = 24,
  MAX_FILE_BYTES = 16 * 1024 * 1024,
  MAX_EXCERPT_BYTES = 80,  /* of a value, in a fault */
  MAX_SUGGESTION_EDITS = 3 /* to a name that a fault suggests */
};

/* private functions */

/* Returns VALUE as JSON text, cut to MAX_EXCERPT_BYTES.  */
static struct str
value_excerpt (struct faults *faults, json_object *value)
{
  if (!value)
    return STR ("null");
  const char *text = json_object_to_json_string_ext (
      value, JSON_C_TO_STRING_PLAIN | JSON_C_TO_STRING_NOSLASHESCAPE);
  struct str s = str_from (text);
  if (s.size > MAX_EXCERPT_BYTES)
    s.size = MAX_EXCERPT_BYTES;
  return str_dup (faults->pool, s);
}

/* Appends the fault that VALUE is not what is EXPECTED.  */
static void
report_bad_value (struct value_target *target, json_object *value,
                  const char *expected)
{
  faults_add (target->faults, target->path,
              value_excerpt (target->faults, value), "%s", expected);
}

/* Sets TEXT to a view of the string VALUE; returns whether its size and bytes
   are valid for the text types.  */
static bool
get_text (json_object *value, struct str *text)
{
  if (json_object_get_type (value) != json_type_string)
    return false;
  *text = str_view (json_object_get_string (value),
                    (size_t)json_object_get_string_len (value));
  return text->size > 0 && text->size <= MAX_TEXT_BYTES
         && !memchr (text->data, 0, text->size);
}

static bool
is_url (struct str text)
{
  struct str host;
  int port;
  if (!str_starts_with (text, STR ("http://")))
    return false;
  return net_split_address (str_view (text.data + 7, text.size - 7), &host,
                            &port);
}

/* Returns NULL if TEXT is valid for TYPE, otherwise a description of valid
   texts.  */
static const char *
check_text (enum field_type type, struct str text)
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
read_text (struct value_target *target, json_object *value)
{
  struct str text;
  if (!get_text (value, &text))
    {
      report_bad_value (target, value, "a string of 1 to 255 bytes");
      return;
    }
  const char *expected = check_text (target->field->type, text);
  if (expected)
    report_bad_value (target, value, expected);
  else
    *(struct str *)target->out = str_dup (target->pool, text);
}

static void
read_real (struct value_target *target, json_object *value)
{
  const struct field *field = target->field;
  double number = json_object_get_double (value);
  enum json_type type = json_object_get_type (value);
  if ((type != json_type_double && type != json_type_int)
      || !(number >= (double)field->min_value
           && number <= (double)field->max_value))
    {
      faults_add (target->faults, target->path,
                  value_excerpt (target->faults, value),
                  "a number from %lld to %lld", (long long)field->min_value,
                  (long long)field->max_value);
      return;
    }
  *(double *)target->out = number;
}

static void
read_int (struct value_target *target, json_object *value)
{
  const struct field *field = target->field;
  int64_t number = json_object_get_int64 (value);
  if (json_object_get_type (value) != json_type_int
      || number < field->min_value || number > field->max_value)
    {
      faults_add (target->faults, target->path,
                  value_excerpt (target->faults, value),
                  "a whole number from %lld to %lld%s%s",
                  (long long)field->min_value, (long long)field->max_value,
                  field->unit ? " " : "", field->unit ? field->unit : "");
      return;
    }
  *(int64_t *)target->out = number;
}

static void
read_choice (struct value_target *target, json_object *value)
{
  struct str text;
  const char *const *choices = target->field->choices;
  if (get_text (value, &text))
    for (int i = 0; choices[i]; i++)
      if (str_equal (text, str_from (choices[i])))
        {
          *(int *)target->out = i;
          return;
        }
  char *expected = apr_pstrdup (target->faults->pool, "one of");
  for (int i = 0; choices[i]; i++)
    expected = apr_pstrcat (target->faults->pool, expected, i ? ", '" : " '",
                            choices[i], "'", NULL);
  report_bad_value (target, value, expected);
}

/* Returns whether VALUE is a list that is not too long; else adds a fault.  */
static bool
check_list (struct value_target *target, json_object *value)
{
  if (json_object_get_type (value) == json_type_array
      && json_object_array_length (value) <= MAX_LIST_ITEMS)
    return true;
  report_bad_value (target, value, "a list of at most 4096 items");
  return false;
}

static void
read_text_list (struct value_target *target, json_object *value)
{
  if (!check_list (target, value))
    return;
  size_t n = json_object_array_length (value);
  struct str_list *list = (struct str_list *)target->out;
  list->items = apr_pcalloc (target->pool, (n + 1) * sizeof (struct str));
  list->count = n;
  for (size_t i = 0; i < n; i++)
    {
      struct value_target item = *target;
      item.path
          = str_printf (target->faults->pool, "%s[%zu]", target->path.data, i);
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
set_default (struct value_target *target)
{
  const struct field *field = target->field;
  switch (field->type)
    {
    case FIELD_INT:
      *(int64_t *)target->out = field->default_number;
      break;
    case FIELD_REAL:
      *(double *)target->out = (double)field->default_number;
      break;
    case FIELD_BOOL:
      *(bool *)target->out = field->default_number != 0;
      break;
    case FIELD_CHOICE:
      *(int *)target->out = (int)field->default_number;
      break;
    case FIELD_TEXT:
    case FIELD_NAME:
    case FIELD_ADDRESS:
    case FIELD_URL:
      *(struct str *)target->out = str_from (field->default_text);
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
      faults_add_unknown_name (faults, path, str_from (key), names);
  }
}

static struct str
join_path (apr_pool_t *pool, struct str path, const char *name)
{
  if (path.size == 0)
    return str_dup (pool, str_from (name));
  return str_printf (pool, "%.*s.%s", STR_ARGS (path), name);
}

static void read_value (struct value_target *target, json_object *value);

static void
read_object_list (struct value_target *target, json_object *value)
{
  if (!check_list (target, value))
    return;
  size_t n = json_object_array_length (value);
  size_t size = target->field->item_size;
  struct field_list *list = (struct field_list *)target->out;
  list->items = apr_pcalloc (target->pool, (n + 1) * size);
  list->count = n;
  for (size_t i = 0; i < n; i++)
    field_read (
        target->field->subfields, json_object_array_get_idx (value, i),
        str_printf (target->faults->pool, "%s[%zu]", target->path.data, i),
        (char *)list->items + i * size, target->pool, target->faults);
}

static void
read_value (struct value_target *target, json_object *value)
{
  switch (target->field->type)
    {
    case FIELD_TEXT:
    case FIELD_NAME:
    case FIELD_ADDRESS:
    case FIELD_URL:
      read_text (target, value);
      break;
    case FIELD_INT:
      read_int (target, value);
      break;
    case FIELD_REAL:
      read_real (target, value);
      break;
    case FIELD_BOOL:
      if (json_object_get_type (value) == json_type_boolean)
        *(bool *)target->out = json_object_get_boolean (value);
      else
        report_bad_value (target, value, "true or false");
      break;
    case FIELD_CHOICE:
      read_choice (target, value);
      break;
    case FIELD_TEXT_LIST:
    case FIELD_NAME_LIST:
    case FIELD_ADDRESS_LIST:
      read_text_list (target, value);
      break;
    case FIELD_OBJECT:
      field_read (target->field->subfields, value, target->path, target->out,
                  target->pool, target->faults);
      break;
    case FIELD_OBJECT_LIST:
      read_object_list (target, value);
      break;
    }
}

/* Returns the number of the line, from 1, that contains OFFSET of DATA.  */
static size_t
line_number (const char *data, size_t offset)
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
faults_add_unknown_name (struct faults *faults, struct str path,
                         struct str text, const char *const *names)
{
  const char *nearest = NULL;
  size_t fewest_edits = MAX_SUGGESTION_EDITS + 1;
  for (size_t i = 0; names[i]; i++)
    {
      size_t edits = str_edit_distance (text, str_from (names[i]));
      if (edits < fewest_edits)
        {
          fewest_edits = edits;
          nearest = names[i];
        }
    }
  struct str fault_path
      = join_path (faults->pool, path, str_dup (faults->pool, text).data);
  if (nearest)
    faults_add (faults, fault_path, text, "a known name; did you mean '%s'?",
                nearest);
  else
    faults_add (faults, fault_path, text,
                "a known name; see the reference for all");
}

void
field_read (const struct field *table, json_object *object, struct str path,
            void *out, apr_pool_t *pool, struct faults *faults)
{
  if (json_object_get_type (object) != json_type_object)
    {
      faults_add (faults, path, value_excerpt (faults, object), "an object");
      return;
    }
  report_unknown_names (table, object, path, faults);
  for (const struct field *f = table; f->name; f++)
    {
      struct value_target target
          = { .field = f, .pool = pool, .faults = faults };
      target.path = join_path (faults->pool, path, f->name);
      target.out = (char *)out + f->offset;
      json_object *value = NULL;
      set_default (&target);
      if (json_object_object_get_ex (object, f->name, &value))
        read_value (&target, value);
      else if (f->required)
        faults_add (faults, target.path, STR ("nothing"),
                    "this field, which is required");
      else if (f->type == FIELD_OBJECT)
        {
          json_object *empty = json_object_new_object ();
          field_read (f->subfields, empty, target.path, target.out, pool,
                      faults);
          json_object_put (empty);
        }
    }
}

json_object *
field_parse_json (const char *data, size_t size, struct str file,
                  struct faults *faults)
{
  if (size > INT_MAX || size == 0)
    {
      faults_add (faults, file, str_printf (faults->pool, "%zu bytes", size),
                  "a JSON text");
      return NULL;
    }
  json_tokener *tokener = json_tokener_new_ex (MAX_JSON_DEPTH);
  json_object *object = json_tokener_parse_ex (tokener, data, (int)size);
  enum json_tokener_error status = json_tokener_get_error (tokener);
  size_t end = json_tokener_get_parse_end (tokener);
  if (status == json_tokener_continue)
    {
      /* A number at the end of the input is complete only after a
         delimiter.  */
      object = json_tokener_parse_ex (tokener, "\n", 1);
      status = json_tokener_get_error (tokener);
      end = size;
    }
  const char *reason = json_tokener_error_desc (status);
  while (status == json_tokener_success && end < size
         && isspace ((unsigned char)data[end]))
    end++;
  if (status == json_tokener_success && end < size)
    {
      reason = "more text after the end of the value";
      status = json_tokener_error_parse_unexpected;
    }
  json_tokener_free (tokener);
  if (status == json_tokener_success)
    return object;
  json_object_put (object);
  faults_add (faults,
              str_printf (faults->pool, "%.*s:%zu", STR_ARGS (file),
                          line_number (data, end < size ? end : size)),
              STR ("a syntax error"), "JSON with comments: %s", reason);
  return NULL;
}

json_object *
field_parse_json_file (const char *path, apr_pool_t *pool,
                       struct faults *faults)
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
  if (info.size > MAX_FILE_BYTES)
    {
      faults_add (faults, str_from (path), STR ("a larger file"),
                  "a file of at most %d bytes", MAX_FILE_BYTES);
      goto out;
    }
  char *data = apr_palloc (pool, (apr_size_t)info.size + 1);
  apr_size_t size = 0;
  apr_file_read_full (file, data, (apr_size_t)info.size, &size);
  object = field_parse_json (data, size, str_from (path), faults);
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
        && (!text.data[i] || !strchr ("-_.", text.data[i])))
      return false;
  return true;
}
