/* Exchange between entries of which upstreams they could not reach (see
   fleet/unreachable.h), and which may have started again (fleet/doubt.h).

   Twice a second an entry sends what it found out since the last time to one
   of its readers, and gets the list of all that the reader knows; a reader
   adds to its own list.  News of upstreams that may have started again don't
   wait for that: an entry sends them at once to its reader, the reader to the
   readers of all regions, and each of these to all entries of its region, so
   that each gets them twice, by two ways.  An entry without a reader asks
   another such entry, since news may have been sent before it started.  If no
   reader responds, an entry relies on what it finds out itself, as it does for
   upstreams that only one entry can't reach.

     reachability = reachability_create (pool, &desc);
     reachability_report (reachability, upstream, is_certain);
     reachability_report_doubt (reachability, upstream, at);
     reachability_report_settled (reachability, upstream, as_of, cold_left);
     text = reachability_handle (reachability, &message, pool);
     reachability_destroy (reachability);

   Units: microseconds.  Threads: the event loop's thread only.  Errors: a
   failed exchange loses its reports of unreachable upstreams; news of doubts
   are sent again, to the other reader.  */
#ifndef GATEWAY_REACHABILITY_H
#define GATEWAY_REACHABILITY_H

#include "base/counter.h"
#include "base/http_client.h"
#include "base/loop.h"
#include "fleet/fleet.h"

struct reachability;

struct reachability_desc
{
  struct loop *loop;
  struct http_client *client;
  struct counters *counters;
  struct fleet *fleet;
  struct str name; /* of this entry */
  /* Returns the address of the reader NUMBER, 0 or 1, or an empty string if
     this entry has none.  */
  struct str (*reader_address) (void *user_data, size_t number);
  /* Fill OUT with the addresses of up to MAX_COUNT other entries, and return
     how many: all that have no reader, and all in the region.  */
  size_t (*readers) (void *user_data, struct str *out, size_t max_count);
  size_t (*region_entries) (void *user_data, struct str *out,
                            size_t max_count);
  void *user_data;
};

/* Path of the listener for other entries, and its query parameters.  */
extern const char reachability_path[];
extern const char reachability_seen[];    /* what the sender could not reach */
extern const char reachability_from[];    /* the sender's name */
extern const char reachability_doubts[];  /* its news of doubts */
extern const char reachability_after[];   /* number of the latest news of the
                                             receiver that it has */
extern const char reachability_relayed[]; /* 1: it has no reader, and sends its
                                             news to all others that have none;
                                             no response is wanted */

/* The query parameters of an exchange, as received.  */
struct reachability_message
{
  struct str seen;
  struct str from;
  struct str doubts;
  struct str after;
  struct str relayed;
};

/* Creates the module in POOL and begins to exchange.  */
struct reachability *
reachability_create (apr_pool_t *pool, const struct reachability_desc *desc);
/* Ends the exchange; NULL is ignored.  The client's calls must be cancelled.
 */
void reachability_destroy (struct reachability *reachability);
/* This entry could not reach UPSTREAM.  IS_CERTAIN: another upstream has its
   address or nothing listens there, so that others can't reach it either.  */
void reachability_report (struct reachability *reachability,
                          const struct fleet_upstream *upstream,
                          bool is_certain);
/* UPSTREAM may have started again; contact was lost AT that time.  */
void reachability_report_doubt (struct reachability *reachability,
                                const struct fleet_upstream *upstream,
                                apr_time_t at);
/* UPSTREAM said, AS_OF that time, that it is cold for COLD_LEFT, 0: that it is
   not.  */
void reachability_report_settled (struct reachability *reachability,
                                  const struct fleet_upstream *upstream,
                                  apr_time_t as_of, apr_time_t cold_left);
/* Applies to UPSTREAM, which was added to the fleet, what is known of it.  */
void reachability_recall (struct reachability *reachability,
                          const struct fleet_upstream *upstream);
/* Handles MESSAGE of another entry; returns the response in POOL.  */
struct str reachability_handle (struct reachability *reachability,
                                const struct reachability_message *message,
                                apr_pool_t *pool);

#endif
