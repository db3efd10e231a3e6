#include "client/command_line.h"

#include <stdio.h>
#include <string.h>

/* private functions */

static void
print_names (const char *title, json_object *list)
{
  if (!list || json_object_array_length (list) == 0)
    return;
  printf ("%s:", title);
  for (size_t i = 0; i < json_object_array_length (list); i++)
    printf (" %s",
            json_object_get_string (json_object_array_get_idx (list, i)));
  putchar ('\n');
}

static void
print_status (json_object *response)
{
  json_object *entries = json_member (response, "entries");
  json_object *drains = json_member (response, "drains");
  printf ("version %lld, as seen by %s\n",
          (long long)json_member_number (response, "version"),
          json_member_text (response, "entry"));
  printf ("%-12s %-14s %-12s %-8s %8s %9s %6s\n", "ENTRY", "ZONE", "REGION",
          "STATE", "VERSION", "IN-FLIGHT", "QUEUED");
  for (size_t i = 0; i < json_object_array_length (entries); i++)
    {
      json_object *e = json_object_array_get_idx (entries, i);
      printf ("%-12s %-14s %-12s %-8s %8lld %9lld %6lld\n",
              json_member_text (e, "name"), json_member_text (e, "zone"),
              json_member_text (e, "region"), json_member_text (e, "state"),
              (long long)json_member_number (e, "version"),
              (long long)json_member_number (e, "in_flight"),
              (long long)json_member_number (e, "queued"));
    }
  for (size_t i = 0; i < json_object_array_length (drains); i++)
    {
      json_object *d = json_object_array_get_idx (drains, i);
      printf ("draining: %s %s (%s)\n", json_member_text (d, "kind"),
              json_member_text (d, "target"), json_member_text (d, "reason"));
    }
  print_names ("behind", json_member (response, "behind"));
  print_names ("unconfirmed", json_member (response, "unconfirmed"));
  print_names ("saturated", json_member (response, "saturated"));
  print_names ("leaving", json_member (response, "leaving"));
  print_names ("ejected", json_member (response, "ejected"));
}

static void
print_changes (json_object *response, const char *list_name)
{
  json_object *list = json_member (response, list_name);
  for (size_t i = 0; i < json_object_array_length (list); i++)
    {
      json_object *item = json_object_array_get_idx (list, i);
      printf ("%lld %s %s/%s\n",
              (long long)json_member_number (response, "version"), list_name,
              json_member_text (item, "kind"),
              json_member_text (item, "name"));
    }
}

static void
print_burn (json_object *rows)
{
  printf ("%-14s %-12s %8s %9s %7s %9s %12s  %s\n", "SERVICE", "REGION",
          "WINDOW", "CALLS", "BAD", "BURN", "BUDGET LEFT", "CAUSES");
  for (size_t i = 0; i < json_object_array_length (rows); i++)
    {
      json_object *row = json_object_array_get_idx (rows, i);
      json_object *causes = json_member (row, "causes");
      printf (
          "%-14s %-12s %7llds %9lld %7lld %9.2f %11.1f%% ",
          json_member_text (row, "service"), json_member_text (row, "region"),
          (long long)json_member_number (row, "window_s"),
          (long long)json_member_number (row, "calls"),
          (long long)json_member_number (row, "bad"),
          json_object_get_double (json_member (row, "burn_rate")),
          json_object_get_double (json_member (row, "budget_left_percent")));
      json_object_object_foreach (causes, cause, number)
      {
        if (json_object_get_int64 (number) > 0)
          printf (" %s=%s", cause, json_object_get_string (number));
      }
      putchar ('\n');
    }
}

/* public functions */

int
run_status (int argc, char **argv)
{
  struct command_line line
      = { .name = "status",
          .help = "Shows the entries, the version each has in force, what is "
                  "saturated and what is draining." };
  int status;
  if (!command_line_parse (&line, argc, argv, &status))
    return status;
  json_object *response = client_fetch (&line.options, "/v1/status", &status);
  if (!response)
    return status;
  if (line.options.as_json)
    client_print_json (response);
  else
    print_status (response);
  json_object_put (response);
  return status;
}

int
run_watch (int argc, char **argv)
{
  struct command_line line
      = { .name = "watch",
          .help = "Prints changes of the configuration as they come." };
  struct arg_int *since
      = arg_int0 (NULL, "since", "VERSION", "start after this version");
  struct arg_int *count
      = arg_int0 (NULL, "count", "N", "end after N changes of version");
  int status;
  command_line_add (&line, since);
  command_line_add (&line, count);
  if (!command_line_parse (&line, argc, argv, &status))
    return status;
  /* Each request waits at most 5 s, less than client_send's time limit.  */
  int64_t version = since->count > 0 ? since->ival[0] : 0;
  int left = count->count > 0 ? count->ival[0] : -1;
  while (left != 0)
    {
      json_object *response
          = client_fetch (&line.options,
                          str_format (line.options.pool,
                                      "/v1/watch?version=%lld&timeout_ms=5000",
                                      (long long)version),
                          &status);
      if (!response)
        return status;
      if (json_member_number (response, "version") > version)
        {
          version = json_member_number (response, "version");
          if (line.options.as_json)
            client_print_json (response);
          else
            {
              print_changes (response, "changed");
              print_changes (response, "deleted");
            }
          fflush (stdout);
          if (left > 0)
            left--;
        }
      json_object_put (response);
    }
  return EXIT_DONE;
}

int
run_burn (int argc, char **argv)
{
  struct command_line line
      = { .name = "burn",
          .help = "Reports how fast each service spends its error budget, as "
                  "seen by one entry." };
  int status;
  if (!command_line_parse (&line, argc, argv, &status))
    return status;
  json_object *response = client_fetch (&line.options, "/v1/burn", &status);
  if (!response)
    return status;
  if (line.options.as_json)
    client_print_json (response);
  else
    print_burn (json_member (response, "rows"));
  json_object_put (response);
  return status;
}

int
run_lookup (int argc, char **argv)
{
  struct command_line line
      = { .name = "lookup",
          .help = "Asks which entries a caller should use; --entry takes a "
                  "callers' address here." };
  struct arg_str *service = arg_str1 (NULL, NULL, "SERVICE", "service name");
  struct arg_str *region
      = arg_str0 (NULL, "region", "NAME", "where the caller is");
  struct arg_str *caller = arg_str0 (NULL, "caller", "ID", "caller identity");
  int status;
  command_line_add (&line, service);
  command_line_add (&line, region);
  command_line_add (&line, caller);
  if (!command_line_parse (&line, argc, argv, &status))
    return status;
  long http_status = 0;
  struct client_request request = {
    .method = "GET",
    .omit_token = true,
    .path = str_format (
        line.options.pool,
        "/.well-known/citroncleat/lookup?service=%s&region=%s&caller=%s",
        service->sval[0], region->count > 0 ? region->sval[0] : "",
        caller->count > 0 ? caller->sval[0] : ""),
  };
  json_object *response = client_send (&line.options, &request, &http_status);
  if (!response)
    return EXIT_FAILED;
  json_object *entries = json_member (response, "entries");
  if (http_status != 200)
    status = client_report_error (response, http_status);
  else if (line.options.as_json)
    client_print_json (response);
  else
    for (size_t i = 0; i < json_object_array_length (entries); i++)
      {
        json_object *e = json_object_array_get_idx (entries, i);
        printf ("%-12s %-22s %-14s %s\n", json_member_text (e, "name"),
                json_member_text (e, "address"), json_member_text (e, "zone"),
                json_member_text (e, "region"));
      }
  json_object_put (response);
  return http_status == 200 ? EXIT_DONE : status;
}
