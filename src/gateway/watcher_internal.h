/* What the files of the watcher share (internal to the slice).  */
#ifndef GATEWAY_WATCHER_INTERNAL_H
#define GATEWAY_WATCHER_INTERNAL_H

#include "fleet/outage.h"
#include "gateway/watcher.h"

/* A question to an entry that reads the store for this one.  */
struct question
{
  struct watcher *watcher;
  size_t number;
  apr_time_t asked_at;
  bool is_open;
  bool is_late; /* not waited for any longer */
};

struct watcher
{
  struct watcher_desc desc;
  struct plan *plan;
  struct timer timer;
  struct timer sweep;
  int64_t index; /* 0: nothing listed yet */
  apr_time_t peer_asked_at;
  apr_time_t asked_at; /* the store */
  apr_time_t known_at; /* what is known here held in the store */
  struct question questions[MEMBERS_READERS];
  size_t first; /* of the readers, to be asked */
  bool readers_are_left;
  apr_time_t avoid_readers_until;
  struct timer reader_timer;
  struct outage outage;
  struct counter *versions;
  struct counter *unreadable;
};

/* watcher.c  */

/* Reads the store itself: all, or what has changed.  */
void watcher_read_store (struct watcher *watcher);
/* Reads again, or asks a reader, after WAIT_MS.  */
void watcher_again (struct watcher *watcher, int64_t wait_ms);
/* Takes changes in.  LAPSED: removals among them may be lapses.  */
void watcher_take_changes (struct watcher *watcher,
                           const struct store_items_response *changes,
                           bool lapsed, apr_time_t now);

/* watcher_readers.c: entries that read the store for this one.  */

/* Asks a reader for changes; returns false if the store is to be read.  */
bool watcher_ask_readers (struct watcher *watcher, apr_time_t now);

#endif
