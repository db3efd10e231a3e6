/* The base library: addresses, names, fields of JSON objects, timers, the loop
   and metrics.  Guards against invalid settings that pass unnoticed, timers
   that fire at the wrong time, and metrics that cannot be read.  */
#include "base/http_head.h"
#include "base/counter.h"
#include "base/field.h"
#include "base/loop.h"
#include "base/net.h"
#include "base/timer.h"
#include "tests/unit/unit.h"

#include <stdlib.h>
#include <string.h>

/* An address that cannot be connected to is refused when it is read, not at
   the first connection: one with a host name, without a port or with one
   outside 1 to 65535, or with other text around it.  */
static void
test_addresses (void)
{
  static const struct
  {
    const char *text;
    bool is_valid;
    int port;
  } cases[] = {
    { "127.0.0.1:80", true, 80 },  { "[::1]:65535", true, 65535 },
    { "127.0.0.1:0", false, 0 },   { "127.0.0.1:65536", false, 0 },
    { "127.0.0.1", false, 0 },     { "localhost:80", false, 0 },
    { "[::1:80", false, 0 },       { "::1:80", false, 0 },
    { "256.0.0.1:80", false, 0 },  { "127.0.0.1:80x", false, 0 },
    { "127.0.0.1: 80", false, 0 }, { ":80", false, 0 },
  };
  for (size_t i = 0; i < COUNT (cases); i++)
    {
      struct str host;
      int port = 0;
      bool is_valid
          = net_split_address (str_from (cases[i].text), &host, &port);
      CU_ASSERT_EQUAL (is_valid, cases[i].is_valid);
      if (is_valid)
        CU_ASSERT_EQUAL (port, cases[i].port);
    }
}

/* The distance by which a misspelled name is compared with the known ones, for
   the suggestion in a fault.  */
static void
test_edit_distance (void)
{
  static const struct
  {
    const char *a, *b;
    size_t edits;
  } cases[] = { { "", "", 0 },
                { "zone", "zoned", 1 },
                { "hosts", "host", 1 },
                { "kitten", "sitting", 3 },
                { "", "abc", 3 } };
  for (size_t i = 0; i < COUNT (cases); i++)
    CU_ASSERT_EQUAL (
        str_edit_distance (str_from (cases[i].a), str_from (cases[i].b)),
        cases[i].edits);
}

/* Text between entries: malformed parts give empty fields and zero.  */
static void
test_fields_of_text (void)
{
  static const struct
  {
    const char *text;
    const char *first;
    const char *rest;
    int64_t number; /* of the first field */
    bool is_url_safe;
  } cases[] = { { "", "", "", 0, false },
                { ",", "", "", 0, false },
                { "12", "12", "", 12, true },
                { "12,a", "12", "a", 12, true },
                { "-7,,", "-7", ",", -7, true },
                { "-,1", "-", "1", 0, true },
                { "3x,1", "3x", "1", 3, true },
                { "a b,", "a b", "", 0, false },
                { "i-1&x=2,", "i-1&x=2", "", 0, false },
                { "i_1.a", "i_1.a", "", 0, true },
                { "99999999999999999999,1", "99999999999999999999", "1",
                  999999999999999999, true } };
  for (size_t i = 0; i < COUNT (cases); i++)
    {
      struct str rest = str_from (cases[i].text);
      struct str first = str_next_field (&rest, ',');
      CU_ASSERT (str_equal (first, str_from (cases[i].first)));
      CU_ASSERT (str_equal (rest, str_from (cases[i].rest)));
      CU_ASSERT_EQUAL (str_to_number (first), cases[i].number);
      CU_ASSERT_EQUAL (str_is_url_safe (first), cases[i].is_url_safe);
    }
}

/* Each byte that has a meaning in a URL is escaped; else a key would be cut
   off or read as another one.  */
static void
test_url_escape (void)
{
  static const struct
  {
    struct str text;
    const char *escaped;
  } cases[] = { { { "", 0 }, "" },
                { { "servers/i-1_a.b~", 16 }, "servers/i-1_a.b~" },
                { { "a&b=c", 5 }, "a%26b%3Dc" },
                { { "a+b c", 5 }, "a%2Bb%20c" },
                { { "#%?", 3 }, "%23%25%3F" },
                { { "\0\n\x7f\xff", 4 }, "%00%0A%7F%FF" },
                { { "\"\\;,:@", 6 }, "%22%5C%3B%2C%3A%40" } };
  for (size_t i = 0; i < COUNT (cases); i++)
    {
      struct str escaped = str_url_escape (test_pool, cases[i].text);
      CU_ASSERT (str_equal (escaped, str_from (cases[i].escaped)));
      CU_ASSERT_EQUAL (escaped.data[escaped.size], 0);
    }
}

/* What is no response by the grammar is refused before any of it is used; rare
   but sound ones are read.  */
static void
test_http_heads (void)
{
  static const struct
  {
    struct str text;
    bool is_sound;
    int64_t length; /* -1: none */
  } cases[] = {
#define HEAD(text) { text, sizeof text - 1 }
    { HEAD ("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n"), true, 5 },
    { HEAD ("HTTP/1.0 404\nX:\n\n"), true, -1 },
    { HEAD ("HTTP/1.1 599 \r\ncontent-length:\t07 \r\n\r\n"), true, 7 },
    { HEAD ("HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~: \xff\r\n\r\n"), true, -1 },
    { HEAD ("HTTP/1.1 200 OK\r\nA: b\r\n c\r\n\r\n"), true, -1 },
    { HEAD ("HTTP/1.1 103 Hints\r\nA: b\r\n\r\nHTTP/1.1 200 OK\r\n\r\n"), true,
      -1 },
    { HEAD ("HTTP/1.1 200 OK\r\nTransfer-Encoding: CHUNKED\r\n\r\n"), true,
      -1 },
    { HEAD ("HTTP/1.1 000 OK\r\n\r\n"), false, -1 },
    { HEAD ("HTTP/1.1 099 OK\r\n\r\n"), false, -1 },
    { HEAD ("HTTP/1.1 600 OK\r\n\r\n"), false, -1 },
    { HEAD ("HTTP/1.1 101 Switching\r\n\r\n"), false, -1 },
    { HEAD ("HTTP/1.1 20 OK\r\n\r\n"), false, -1 },
    { HEAD ("HTTP/1.1 2000\r\n\r\n"), false, -1 },
    { HEAD ("HTTP/2 200 OK\r\n\r\n"), false, -1 },
    { HEAD (" HTTP/1.1 200 OK\r\n\r\n"), false, -1 },
    { HEAD ("HTTP/1.1\t200 OK\r\n\r\n"), false, -1 },
    { HEAD ("A: b\r\n\r\n"), false, -1 },
    { HEAD ("\r\n"), false, -1 },
    { HEAD ("HTTP/1.1 200 OK\r\n A: b\r\n\r\n"), false, -1 },
    { HEAD ("HTTP/1.1 200 OK\r\nA b: c\r\n\r\n"), false, -1 },
    { HEAD ("HTTP/1.1 200 OK\r\nA : b\r\n\r\n"), false, -1 },
    { HEAD ("HTTP/1.1 200 OK\r\nno colon\r\n\r\n"), false, -1 },
    { HEAD ("HTTP/1.1 200 OK\r\n: no name\r\n\r\n"), false, -1 },
    { HEAD ("HTTP/1.1 200 OK\r\nA\0b: c\r\n\r\n"), false, -1 },
    { HEAD ("HTTP/1.1 200 OK\r\nA\x01: c\r\n\r\n"), false, -1 },
    { HEAD ("HTTP/1.1 200 OK\r\nA: b\0c\r\n\r\n"), false, -1 },
    { HEAD ("HTTP/1.1 200 OK\r\nA: b\rc\r\n\r\n"), false, -1 },
    { HEAD ("HTTP/1.1 200 OK\r\nContent-Length: 5, 5\r\n\r\n"), false, -1 },
    { HEAD ("HTTP/1.1 200 OK\r\nContent-Length: 1000000000000000000\r\n\r\n"),
      false, -1 },
    { HEAD ("HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 6\r\n"
            "\r\n"),
      false, -1 },
    { HEAD ("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n 6\r\n\r\n"), false, -1 },
    { HEAD ("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n"
            "Transfer-Encoding: chunked\r\n\r\n"),
      false, -1 },
    { HEAD ("HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"), false,
      -1 },
    { HEAD ("HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n"),
      false, -1 },
    { HEAD ("HTTP/1.1 100 Continue\r\nContent-Length: 3\r\n\r\n"
            "HTTP/1.1 200 OK\r\n\r\n"),
      false, -1 },
#undef HEAD
  };
  for (size_t i = 0; i < COUNT (cases); i++)
    {
      struct http_head head = { 0 };
      struct str text = cases[i].text;
      bool is_sound = true;
      while (is_sound && text.size > 0)
        {
          const char *end = memchr (text.data, '\n', text.size);
          size_t size = (size_t)(end + 1 - text.data);
          is_sound = http_head_add_line (&head, str_view (text.data, size))
                     != HTTP_HEAD_MALFORMED;
          text = str_view (text.data + size, text.size - size);
        }
      CU_ASSERT_EQUAL (is_sound, cases[i].is_sound);
      CU_ASSERT_EQUAL (head.problem == NULL, is_sound);
      CU_ASSERT (!is_sound || http_head_is_final (&head));
      CU_ASSERT (!is_sound
                 || (head.has_length ? head.length : -1) == cases[i].length);
    }
}

/* Name and value of a field, whatever blanks are around the value, and what
   continues it.  */
static void
test_http_fields (void)
{
  static const struct
  {
    struct str line;
    enum http_head_line kind;
    const char *name;
    const char *value;
  } cases[] = {
#define LINE(text) { text, sizeof text - 1 }
    { LINE ("Connection: close , X-Secret\r\n"), HTTP_HEAD_FIELD, "Connection",
      "close , X-Secret" },
    { LINE ("connection:x-other\r\n"), HTTP_HEAD_FIELD, "connection",
      "x-other" },
    { LINE ("X-Empty:\r\n"), HTTP_HEAD_FIELD, "X-Empty", "" },
    { LINE ("X-Blanks: \t a  b \t\n"), HTTP_HEAD_FIELD, "X-Blanks", "a  b" },
    { LINE ("\t c: d \r\n"), HTTP_HEAD_FOLD, "X-Blanks", "c: d" },
    { LINE ("no colon\r\n"), HTTP_HEAD_MALFORMED, NULL, NULL },
    { LINE (": no name\r\n"), HTTP_HEAD_MALFORMED, NULL, NULL },
#undef LINE
  };
  struct http_head head = { 0 };
  CU_ASSERT_EQUAL (http_head_add_line (&head, STR ("HTTP/1.1 200 OK\r\n")),
                   HTTP_HEAD_STATUS);
  for (size_t i = 0; i < COUNT (cases); i++)
    {
      CU_ASSERT_EQUAL (http_head_add_line (&head, cases[i].line),
                       cases[i].kind);
      if (!cases[i].name)
        continue;
      CU_ASSERT (str_equal (head.name, str_from (cases[i].name)));
      CU_ASSERT (str_equal (head.value, str_from (cases[i].value)));
    }
}

struct sample
{
  struct str name;
  int64_t number;
  bool flag;
  int choice;
  struct str_list list;
};

static const char *const colours[] = { "red", "green", NULL };

static const struct field sample_fields[] = {
  { .name = "name",
    .type = FIELD_NAME,
    FIELD_OFFSET (sample, name),
    .required = true },
  FIELD_NUMBER (sample, number, 1, 10, 5, "apples"),
  { .name = "flag", .type = FIELD_BOOL, FIELD_OFFSET (sample, flag) },
  { .name = "choice",
    .type = FIELD_CHOICE,
    FIELD_OFFSET (sample, choice),
    .choices = colours },
  { .name = "list", .type = FIELD_NAME_LIST, FIELD_OFFSET (sample, list) },
  { 0 }
};

/* A misspelled, missing or invalid field gives a fault with its path.  Without
   one, a default would be in force unnoticed.  */
static void
test_fields (void)
{
  static const struct
  {
    const char *json;
    size_t faults;
    const char *path; /* of the first fault */
  } cases[] = {
    { "{\"name\":\"a\"}", 0, NULL },
    { "{\"name\":\"a\",\"number\":10,\"choice\":\"green\"}", 0, NULL },
    { "{}", 1, "x.name" },
    { "[]", 1, "x" },
    { "null", 1, "x" },
    { "{\"name\":\"a b\"}", 1, "x.name" },
    { "{\"name\":\"\"}", 1, "x.name" },
    { "{\"name\":\"a\\u0000b\"}", 1, "x.name" },
    { "{\"name\":7,\"number\":0}", 2, "x.name" },
    { "{\"name\":\"a\",\"number\":11}", 1, "x.number" },
    { "{\"name\":\"a\",\"number\":1.5}", 1, "x.number" },
    { "{\"name\":\"a\",\"number\":\"5\"}", 1, "x.number" },
    { "{\"name\":\"a\",\"number\":99999999999999999999}", 1, "x.number" },
    { "{\"name\":\"a\",\"flag\":1}", 1, "x.flag" },
    { "{\"name\":\"a\",\"choice\":\"blue\"}", 1, "x.choice" },
    { "{\"name\":\"a\",\"list\":[\"b\",\"c d\",3]}", 2, "x.list[1]" },
    { "{\"name\":\"a\",\"numbr\":3,\"q\":1}", 2, "x.numbr" },
  };
  for (size_t i = 0; i < COUNT (cases); i++)
    {
      struct sample sample = { 0 };
      struct faults *faults = faults_create (test_pool);
      json_object *object = json_tokener_parse (cases[i].json);
      field_read (sample_fields, object, STR ("x"), &sample, test_pool,
                  faults);
      json_object_put (object);
      CU_ASSERT_EQUAL (faults_count (faults), cases[i].faults);
      if (cases[i].path && faults_count (faults) > 0)
        CU_ASSERT_STRING_EQUAL (faults_at (faults, 0)->path.data,
                                cases[i].path);
      if (cases[i].faults == 0)
        CU_ASSERT (sample.number == 5 || sample.number == 10);
    }
}

/* JSON with comments is accepted; a syntax error gives a fault with the line,
   so that it can be found in a long file.  */
static void
test_parse (void)
{
  static const struct
  {
    const char *text;
    bool is_valid;
    const char *path;
  } cases[] = {
    { "{ /* a */ \"a\": 1 // b\n}\n", true, NULL },
    { "7", true, NULL },
    { "{\n\n\"a\" 1 }", false, "f:3" },
    { "{\"a\": 1", false, "f:1" },
    { "{} {}", false, "f:1" },
    { "", false, "f" },
  };
  for (size_t i = 0; i < COUNT (cases); i++)
    {
      struct faults *faults = faults_create (test_pool);
      json_object *object = field_parse_json (
          cases[i].text, strlen (cases[i].text), STR ("f"), faults);
      CU_ASSERT_EQUAL (object != NULL, cases[i].is_valid);
      CU_ASSERT_EQUAL (faults_count (faults) == 0, cases[i].is_valid);
      if (!cases[i].is_valid)
        CU_ASSERT_STRING_EQUAL (faults_at (faults, 0)->path.data,
                                cases[i].path);
      json_object_put (object);
    }
}

static apr_time_t fired[256];
static size_t fired_count;

static void
on_fire (void *subscriber, apr_time_t now)
{
  (void)now;
  fired[fired_count++] = ((struct timer *)subscriber)->due;
}

/* Timers fire once, in order, and only when due.  One that was stopped must
   not fire, and one that was restarted not at its old time.  */
static void
test_timers (void)
{
  enum
  {
    TIMERS = 200
  };
  struct timer timers[TIMERS] = { 0 };
  struct timer_service *service = timer_service_create ();
  fired_count = 0;
  srand (7);
  for (int i = 0; i < TIMERS; i++)
    timer_start (service, &timers[i], rand () % 1000, on_fire, &timers[i]);
  for (int i = 0; i < TIMERS; i += 3)
    timer_stop (service, &timers[i]);
  for (int i = 1; i < TIMERS; i += 3)
    timer_start (service, &timers[i], rand () % 1000, on_fire, &timers[i]);
  timer_service_run (service, 500);
  for (size_t i = 0; i < fired_count; i++)
    CU_ASSERT (fired[i] <= 500);
  CU_ASSERT (timer_service_next_due (service) > 500);
  timer_service_run (service, 1000);
  CU_ASSERT_EQUAL (fired_count, TIMERS - (TIMERS + 2) / 3);
  for (size_t i = 1; i < fired_count; i++)
    CU_ASSERT (fired[i - 1] <= fired[i]);
  CU_ASSERT_EQUAL (timer_service_next_due (service), -1);
  timer_service_destroy (service);
}

static struct loop *loop;
static struct timer repeated;
static int fire_count;
static int iterations;

static void
on_repeated (void *user_data, apr_time_t now)
{
  (void)user_data;
  if (++fire_count == 10)
    loop_stop (loop);
  else
    timer_start (loop_timers (loop), &repeated, now + 900, on_repeated, NULL);
}

static void
on_iteration (void *user_data)
{
  (void)user_data;
  iterations++;
}

/* The loop sleeps until a timer that is due within a millisecond.  If the wait
   were rounded down to 0 ms, the loop would poll until then.  */
static void
test_no_busy_waiting (void)
{
  struct err err;
  fire_count = iterations = 0;
  CU_ASSERT_EQUAL_FATAL (loop_create (test_pool, &loop, &err), ERR_NONE);
  loop_set_iteration_callback (loop, on_iteration, NULL);
  timer_start (loop_timers (loop), &repeated, timer_clock () + 900,
               on_repeated, NULL);
  loop_run (loop);
  CU_ASSERT (iterations <= 3 * fire_count);
  loop_destroy (loop);
}

/* Metrics are rendered in the text format of Prometheus, sorted by name.  A
   counter that is requested again is the same one, so that no line appears
   twice.  */
static void
test_counters (void)
{
  struct counters *counters = counters_create (test_pool);
  struct counter *a = counter_get (counters, "b_total", "k=\"1\"", "B.");
  struct counter *b = counter_get (counters, "b_total", "k=\"2\"", "B.");
  CU_ASSERT (a != b);
  CU_ASSERT (a == counter_get (counters, "b_total", "k=\"1\"", "B."));
  counter_add (a, 3);
  counter_set (gauge_get (counters, "a", "", "A."), 9);
  histogram_observe (histogram_get (counters, "c_seconds", "", "C."), 1500);
  const char *text = counters_render (counters, test_pool).data;
  CU_ASSERT (strstr (text, "# HELP a A.\n# TYPE a gauge\na 9\n") == text);
  CU_ASSERT_PTR_NOT_NULL (strstr (text, "b_total{k=\"1\"} 3\n"));
  CU_ASSERT_PTR_NOT_NULL (strstr (text, "b_total{k=\"2\"} 0\n"));
  CU_ASSERT_PTR_NOT_NULL (strstr (text, "c_seconds_bucket{le=\"0.002\"} 1\n"));
  CU_ASSERT_PTR_NOT_NULL (strstr (text, "c_seconds_bucket{le=\"0.001\"} 0\n"));
  CU_ASSERT_PTR_NOT_NULL (strstr (text, "c_seconds_count{} 1\n"));
}

const struct unit_test base_tests[] = {
  { "a malformed address is refused", test_addresses },
  { "the edits between two names are counted", test_edit_distance },
  { "malformed text gives empty fields and zero", test_fields_of_text },
  { "what has a meaning in a URL is escaped", test_url_escape },
  { "a head that the grammar doesn't allow is refused", test_http_heads },
  { "a field's name and value are read without the blanks", test_http_fields },
  { "an invalid field gives a fault with its path", test_fields },
  { "a syntax error gives a fault with its line", test_parse },
  { "the loop does not poll for a timer that is due soon",
    test_no_busy_waiting },
  { "timers fire once, in order and when due", test_timers },
  { "metrics are in the text format of Prometheus", test_counters },
  { NULL, NULL }
};
