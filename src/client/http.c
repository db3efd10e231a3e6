#include "client/client.h"

#include <curl/curl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* types */

struct answer
{
  char *data;
  size_t size;
};

/* constants */

enum
{
  DEFAULT_TIMEOUT_MS = 10000,
  CONNECT_TIMEOUT_MS = 2000,
  HEADER_MAX_BYTES = 512
};

/* private functions */

static size_t
on_body (char *data, size_t one, size_t size, void *part)
{
  struct answer *answer = part;
  size *= one;
  char *grown = realloc (answer->data, answer->size + size + 1);
  if (!grown)
    return 0;
  memcpy (grown + answer->size, data, size);
  answer->data = grown;
  answer->size += size;
  grown[answer->size] = 0;
  return size;
}

static struct curl_slist *
make_headers (const struct client_options *options,
              const struct client_request *request)
{
  char line[HEADER_MAX_BYTES];
  struct curl_slist *headers = NULL;
  if (!request->callers && options->token)
    {
      snprintf (line, sizeof line, "Authorization: Bearer %s", options->token);
      headers = curl_slist_append (headers, line);
    }
  if (request->operation)
    {
      snprintf (line, sizeof line, "Operation-Id: %s", request->operation);
      headers = curl_slist_append (headers, line);
    }
  headers = curl_slist_append (headers, "Content-Type: application/json");
  return curl_slist_append (headers, "Expect:");
}

static CURLcode
exchange (const struct client_options *options,
          const struct client_request *request, const char *entry,
          struct answer *answer, long *status)
{
  CURL *easy = curl_easy_init ();
  char url[2048];
  struct curl_slist *headers = make_headers (options, request);
  snprintf (url, sizeof url, "http://%s%s", entry, request->path);
  curl_easy_setopt (easy, CURLOPT_URL, url);
  curl_easy_setopt (easy, CURLOPT_CUSTOMREQUEST, request->method);
  curl_easy_setopt (easy, CURLOPT_PROXY, "");
  curl_easy_setopt (easy, CURLOPT_HTTPHEADER, headers);
  curl_easy_setopt (easy, CURLOPT_CONNECTTIMEOUT_MS, (long)CONNECT_TIMEOUT_MS);
  curl_easy_setopt (easy, CURLOPT_TIMEOUT_MS,
                    request->timeout_ms ? request->timeout_ms
                                        : (long)DEFAULT_TIMEOUT_MS);
  curl_easy_setopt (easy, CURLOPT_WRITEFUNCTION, on_body);
  curl_easy_setopt (easy, CURLOPT_WRITEDATA, answer);
  if (request->body)
    curl_easy_setopt (easy, CURLOPT_COPYPOSTFIELDS,
                      json_object_to_json_string (request->body));
  CURLcode result = curl_easy_perform (easy);
  curl_easy_getinfo (easy, CURLINFO_RESPONSE_CODE, status);
  curl_slist_free_all (headers);
  curl_easy_cleanup (easy);
  return result;
}

/* public functions */

json_object *
client_send (const struct client_options *options,
             const struct client_request *request, long *status)
{
  CURLcode result = CURLE_OK;
  for (int i = 0; i < options->entry_count; i++)
    {
      struct answer answer = { 0 };
      result
          = exchange (options, request, options->entries[i], &answer, status);
      json_object *object = result == CURLE_OK && answer.data
                                ? json_tokener_parse (answer.data)
                                : NULL;
      free (answer.data);
      if (object)
        return object;
      fprintf (stderr, "citroncleat: %s: %s\n", options->entries[i],
               result == CURLE_OK ? "the answer is not JSON"
                                  : curl_easy_strerror (result));
    }
  fprintf (stderr,
           "citroncleat: no entry answered; give the operators' address of a "
           "running entry with --entry or CITRONCLEAT_ENTRY\n");
  *status = 0;
  return NULL;
}

int
client_report_error (json_object *answer, long status)
{
  json_object *faults = json_member (answer, "faults");
  fprintf (stderr, "citroncleat: %s: %s\n", json_member_text (answer, "error"),
           json_member_text (answer, "detail"));
  for (size_t i = 0; faults && i < json_object_array_length (faults); i++)
    {
      json_object *fault = json_object_array_get_idx (faults, i);
      fprintf (stderr, "  %s: found %s, expected %s\n",
               json_member_text (fault, "path"),
               json_member_text (fault, "found"),
               json_member_text (fault, "expected"));
    }
  if (status == 409)
    fprintf (stderr,
             "  %s/%s: the change was based on version %lld, the current one "
             "is %lld\n",
             json_member_text (answer, "kind"),
             json_member_text (answer, "name"),
             (long long)json_member_number (answer, "based_on"),
             (long long)json_member_number (answer, "current"));
  switch (status)
    {
    case 401:
      return EXIT_DENIED;
    case 404:
      return EXIT_NOT_FOUND;
    case 409:
      return EXIT_CONFLICT;
    case 400:
    case 422:
      return EXIT_INVALID;
    default:
      return EXIT_FAILED;
    }
}

void
client_print_json (json_object *object)
{
  puts (json_object_to_json_string_ext (
      object, JSON_C_TO_STRING_PRETTY | JSON_C_TO_STRING_NOSLASHESCAPE
                  | JSON_C_TO_STRING_SPACED));
}
