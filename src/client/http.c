#include "client/client.h"

#include <curl/curl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* types */

/* The body of a response as received so far.  */
struct response_text
{
  char *data;
  size_t size; /* without the terminating null byte */
};

/* constants */

enum
{
  DEFAULT_TIMEOUT_MS = 10000,
  CONNECT_TIMEOUT_MS = 2000,
  MAX_HEADER_BYTES = 512 /* of one field; a longer one is truncated */
};

/* private functions */

static size_t
on_body (char *data, size_t item_size, size_t size, void *user_data)
{
  struct response_text *text = user_data;
  size *= item_size;
  char *grown = realloc (text->data, text->size + size + 1);
  if (!grown)
    return 0;
  memcpy (grown + text->size, data, size);
  text->data = grown;
  text->size += size;
  grown[text->size] = 0;
  return size;
}

static struct curl_slist *
create_headers (const struct client_options *options,
                const struct client_request *request)
{
  char line[MAX_HEADER_BYTES];
  struct curl_slist *headers = NULL;
  if (!request->omit_token && options->token)
    {
      snprintf (line, sizeof line, "Authorization: Bearer %s", options->token);
      headers = curl_slist_append (headers, line);
    }
  if (request->operation_id)
    {
      snprintf (line, sizeof line, "Operation-Id: %s", request->operation_id);
      headers = curl_slist_append (headers, line);
    }
  headers = curl_slist_append (headers, "Content-Type: application/json");
  return curl_slist_append (headers, "Expect:");
}

static CURLcode
send_to_entry (const struct client_options *options,
               const struct client_request *request, const char *entry,
               struct response_text *text, long *http_status)
{
  CURL *easy = curl_easy_init ();
  char url[2048];
  struct curl_slist *headers = create_headers (options, request);
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
  curl_easy_setopt (easy, CURLOPT_WRITEDATA, text);
  if (request->body)
    curl_easy_setopt (easy, CURLOPT_COPYPOSTFIELDS,
                      json_object_to_json_string (request->body));
  CURLcode result = curl_easy_perform (easy);
  curl_easy_getinfo (easy, CURLINFO_RESPONSE_CODE, http_status);
  curl_slist_free_all (headers);
  curl_easy_cleanup (easy);
  return result;
}

/* public functions */

json_object *
client_send (const struct client_options *options,
             const struct client_request *request, long *http_status)
{
  CURLcode result = CURLE_OK;
  for (int i = 0; i < options->entry_count; i++)
    {
      struct response_text text = { 0 };
      result = send_to_entry (options, request, options->entries[i], &text,
                              http_status);
      json_object *object = result == CURLE_OK && text.data
                                ? json_tokener_parse (text.data)
                                : NULL;
      free (text.data);
      if (object)
        return object;
      fprintf (stderr, "citroncleat: %s: %s\n", options->entries[i],
               result == CURLE_OK ? "the response is not JSON"
                                  : curl_easy_strerror (result));
    }
  fprintf (stderr,
           "citroncleat: no entry answered; give the operators' address of a "
           "running entry with --entry or CITRONCLEAT_ENTRY\n");
  *http_status = 0;
  return NULL;
}

int
client_report_error (json_object *response, long http_status)
{
  json_object *faults = json_member (response, "faults");
  fprintf (stderr, "citroncleat: %s: %s\n",
           json_member_text (response, "error"),
           json_member_text (response, "detail"));
  for (size_t i = 0; faults && i < json_object_array_length (faults); i++)
    {
      json_object *fault = json_object_array_get_idx (faults, i);
      fprintf (stderr, "  %s: found %s, expected %s\n",
               json_member_text (fault, "path"),
               json_member_text (fault, "found"),
               json_member_text (fault, "expected"));
    }
  if (http_status == 409)
    fprintf (stderr,
             "  %s/%s: the change was based on version %lld, the current one "
             "is %lld\n",
             json_member_text (response, "kind"),
             json_member_text (response, "name"),
             (long long)json_member_number (response, "based_on"),
             (long long)json_member_number (response, "current"));
  switch (http_status)
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
