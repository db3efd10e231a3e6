/* Entries that read the store for this one.  */
#include "gateway/watcher_internal.h"

#include "platform/words.h"

/* constants */

enum
{
  /* Two thirds of the lease after which a dead reader's key is gone.  */
  AVOID_READERS_MS = 2000
};

/* In parts of the time between two reads of the store, which is 0.45 of the
   shortest bound.  Together with that time they stay within 0.79 of the bound
   when both readers die right after an answer.  */
static const double ask_reader_part = 0.25;  /* between two questions to it */
static const double reader_wait_part = 0.25; /* until its answer */
static const double reader_age_part = 1.25;  /* that its copy may be old */

/* private functions */

static apr_time_t
part_of_poll (const struct watcher *watcher, double part)
{
  return (apr_time_t)((double)TIMER_MS (watcher->desc.settings->store.poll_ms)
                      * part);
}

static void
on_urgent_changes (void *part, const struct store_items_response *changes)
{
  struct watcher *watcher = part;
  if (changes->code != ERR_NONE)
    return; /* the read of all changes tells of it */
  struct store_items_response urgent = *changes;
  urgent.index = 0; /* other changes are not known up to there */
  watcher_take_changes (watcher, &urgent, false, timer_clock ());
}

/* Leaves the readers for a while and reads the store at once.  What operators
   write is read by itself besides: all that upstreams write may take seconds
   on a small link.  */
static void
leave_readers (struct watcher *watcher)
{
  struct store *store = watcher->desc.store;
  watcher->avoid_readers_until = timer_clock () + TIMER_MS (AVOID_READERS_MS);
  watcher->readers_are_left = true;
  store->ops->watch_prefix (store, PLATFORM_OPERATOR_PREFIX, watcher->index, 0,
                            on_urgent_changes, watcher);
  watcher_read_store (watcher);
}

static bool ask_reader (struct watcher *watcher, size_t number,
                        apr_time_t now);

/* The question NUMBER was in vain: asks the other reader, or leaves both.  */
static void
try_next_reader (struct watcher *watcher, size_t number, const char *reason,
                 apr_time_t age)
{
  size_t other = (number + 1) % MEMBERS_READERS;
  LOG (LOG_INFO, "reader-left", LOG_INT ("number", number),
       LOG_TEXT ("reason", reason), LOG_INT ("age_ms", age / 1000),
       LOG_INT ("index", watcher->index));
  if (number != watcher->first || !ask_reader (watcher, other, timer_clock ()))
    leave_readers (watcher);
}

static void
on_reader_late (void *part, apr_time_t now)
{
  struct question *question = part;
  question->is_late = true;
  try_next_reader (question->watcher, question->number, "no answer in time",
                   now - question->asked_at);
}

static void
on_reader_changes (void *part, const struct store_items_response *changes)
{
  struct question *question = part;
  struct watcher *watcher = question->watcher;
  apr_time_t now = timer_clock ();
  bool was_late = question->is_late;
  apr_time_t age = changes->age + (now - question->asked_at);
  bool is_good = changes->code == ERR_NONE
                 && age <= part_of_poll (watcher, reader_age_part);
  question->is_open = false;
  question->is_late = false;
  if (!was_late)
    timer_stop (loop_timers (watcher->desc.loop), &watcher->reader_timer);
  if (!is_good)
    {
      if (!was_late)
        try_next_reader (watcher, question->number,
                         changes->code != ERR_NONE ? err_name (changes->code)
                                                   : "its copy is old",
                         age);
      return;
    }
  if (now - age > watcher->known_at)
    watcher->known_at = now - age;
  watcher_take_changes (watcher, changes, false, now);
  if (was_late)
    return;
  if (watcher->readers_are_left)
    LOG (LOG_INFO, "reader-regained", LOG_INT ("number", question->number),
         LOG_INT ("age_ms", age / 1000));
  watcher->readers_are_left = false;
  watcher->first = question->number;
  watcher_again (watcher, (int64_t)(part_of_poll (watcher, ask_reader_part)
                                    / (APR_USEC_PER_SEC / 1000)));
}

/* Asks the reader NUMBER for changes; returns false if there is none.  */
static bool
ask_reader (struct watcher *watcher, size_t number, apr_time_t now)
{
  struct question *question = &watcher->questions[number];
  struct store *reader
      = question->is_open ? NULL
                          : watcher->desc.reader (watcher->desc.part, number);
  if (!reader)
    return false;
  *question = (struct question){
    .watcher = watcher, .number = number, .asked_at = now, .is_open = true
  };
  timer_start (loop_timers (watcher->desc.loop), &watcher->reader_timer,
               now + part_of_poll (watcher, reader_wait_part), on_reader_late,
               question);
  reader->ops->watch_prefix (reader, "", watcher->index, 0, on_reader_changes,
                             question);
  return true;
}

/* public functions */

bool
watcher_ask_readers (struct watcher *watcher, apr_time_t now)
{
  return watcher->index > 0 && watcher->outage.failures == 0
         && now >= watcher->avoid_readers_until
         && ask_reader (watcher, watcher->first, now);
}
