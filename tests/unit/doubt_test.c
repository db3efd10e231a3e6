/* Upstreams that may have started again under their id.  Guards against a cold
   process that gets the requests of the warm one before it.  */
#include "balance/cold_quota.h"
#include "base/timer.h"
#include "fleet/doubt_list.h"
#include "fleet/fleet.h"
#include "gateway/doubt_queue.h"
#include "tests/unit/unit.h"

static struct fleet *fleet;
static apr_time_t now;

static struct str
find_region (void *user_data, struct str zone)
{
  (void)user_data;
  (void)zone;
  return STR ("north");
}

static struct fleet_record
make_record (int64_t incarnation, int64_t cold_ms)
{
  return (struct fleet_record){ .id = STR ("a"),
                                .service = STR ("desk"),
                                .address = STR ("10.0.0.1:80"),
                                .zone = STR ("north-a"),
                                .slots = 4,
                                .cold_remaining = TIMER_MS (cold_ms),
                                .incarnation = incarnation };
}

static struct fleet_upstream *
set_up_upstream (void)
{
  struct fleet_desc desc = { .find_region = find_region };
  struct fleet_record r = make_record (1, 0);
  fleet = fleet_create (test_pool, &desc);
  now = TIMER_SEC (1000);
  fleet_put_upstream (fleet, &r, 1, now);
  return fleet_find (fleet, r.id);
}

enum event
{
  END,
  LOSE,        /* contact is lost */
  WRITE,       /* the record of the same process is written again, put */
  RENEW,       /* the same, renewed */
  SAY_WARM,    /* the upstream says that it is not cold */
  SAY_COLD,    /* that it is cold for 2 s */
  SAID_BEFORE, /* that it is not cold, before contact was lost */
  RESTART      /* the record of the next process, cold for 3 s */
};

/* What happens a second apart, and whether the upstream is cold after each. */
static void
test_doubt (void)
{
  static const struct
  {
    const char *name;
    enum event events[8];
    const char *cold; /* y or n after each event */
  } cases[] = {
    { "the doubt outlasts an outage of the upstream",
      { LOSE, LOSE, LOSE, LOSE, LOSE, LOSE, LOSE, END },
      "yyyyyyy" },
    { "writes from before the end do not end it",
      { LOSE, WRITE, RENEW },
      "yyy" },
    { "later ones do", { LOSE, RENEW, WRITE, RENEW, END }, "yyyn" },
    { "contact lost again begins anew",
      { LOSE, RENEW, RENEW, RENEW, LOSE, RENEW, RENEW, RENEW },
      "yyynyyyn" },
    { "the upstream settles it", { LOSE, SAY_WARM, END }, "yn" },
    { "it is cold for as long as it said",
      { LOSE, SAY_COLD, WRITE, WRITE, END },
      "yyyn" },
    { "no record ends what it said", { SAY_COLD, RENEW, WRITE, END }, "yyn" },
    { "what it said before settles nothing",
      { LOSE, SAID_BEFORE, END },
      "yy" },
    { "the next process is cold by its record", { LOSE, RESTART, END }, "yy" },
    { "so it is without a sign", { RESTART, RENEW, END }, "yy" },
  };
  for (size_t i = 0; i < sizeof cases / sizeof *cases; i++)
    {
      struct fleet_upstream *upstream = set_up_upstream ();
      struct fleet_record r = make_record (1, 0);
      struct fleet_record next = make_record (2, 3000);
      apr_time_t lost_at = 0;
      for (int64_t e = 0; e < 8 && cases[i].events[e] != END; e++)
        {
          now += TIMER_SEC (1);
          switch (cases[i].events[e])
            {
            case LOSE:
              lost_at = lost_at ? lost_at : now;
              fleet_doubt (fleet, upstream, now);
              break;
            case WRITE:
              fleet_put_upstream (fleet, &r, e + 2, now);
              break;
            case RENEW:
              fleet_renew_upstream (fleet, r.id, e + 2, now);
              break;
            case SAY_WARM:
              fleet_settle (upstream, now, 0);
              break;
            case SAY_COLD:
              fleet_settle (upstream, now, TIMER_SEC (2));
              break;
            case SAID_BEFORE:
              fleet_settle (upstream, lost_at - 1, 0);
              break;
            case RESTART:
              fleet_put_upstream (fleet, &next, e + 2, now);
              break;
            case END:
              break;
            }
          upstream = fleet_find (fleet, r.id);
          if (fleet_is_cold (upstream, now) != (cases[i].cold[e] == 'y'))
            {
              printf ("%s: event %d\n", cases[i].name, (int)e);
              CU_FAIL ("wrong state");
            }
        }
      fleet_destroy (fleet);
    }
}

/* Writes show that the process is there only if they are different ones, and
   not all from before contact was lost.  */
static void
test_writes_that_settle (void)
{
  static const struct
  {
    const char *name;
    int64_t at_ms[4]; /* when writes are heard of */
    int64_t revisions[4];
    bool is_put; /* or renewed */
    bool is_cold;
  } cases[] = {
    { "one after the other",
      { 1500, 3000, 4500, 6000 },
      { 2, 3, 4, 5 },
      false,
      false },
    { "all at once, after a silence of the reader",
      { 1500, 1500, 1500, 1500 },
      { 2, 3, 4, 5 },
      false,
      true },
    { "the same, put",
      { 1500, 1500, 1500, 1500 },
      { 2, 3, 4, 5 },
      true,
      true },
    { "one write from several sources",
      { 1500, 3000, 4500, 6000 },
      { 2, 2, 2, 2 },
      false,
      true },
    { "the same, put", { 1500, 3000, 4500, 6000 }, { 2, 2, 2, 2 }, true, true }
  };
  for (size_t i = 0; i < COUNT (cases); i++)
    {
      struct fleet_upstream *upstream = set_up_upstream ();
      struct fleet_record r = make_record (1, 0);
      apr_time_t heard_at = now;
      fleet_doubt (fleet, upstream, now);
      for (size_t w = 0; w < COUNT (cases[i].at_ms); w++)
        {
          heard_at = now + TIMER_MS (cases[i].at_ms[w]);
          if (cases[i].is_put)
            fleet_put_upstream (fleet, &r, cases[i].revisions[w], heard_at);
          else
            fleet_renew_upstream (fleet, r.id, cases[i].revisions[w],
                                  heard_at);
        }
      if (fleet_is_cold (upstream, heard_at) != cases[i].is_cold)
        {
          printf ("%s\n", cases[i].name);
          CU_FAIL ("wrong state");
        }
      fleet_destroy (fleet);
    }
}

/* News of a doubt that has ended begin no new one; an entry gets them again
   when it changes its reader.  */
static void
test_repeated_doubt (void)
{
  static const struct
  {
    const char *name;
    int writes; /* which end it; 0: it ends by itself */
  } cases[] = { { "ended by writes", 3 }, { "ended by itself", 0 } };
  for (size_t i = 0; i < COUNT (cases); i++)
    {
      struct fleet_upstream *upstream = set_up_upstream ();
      apr_time_t lost_at = now;
      fleet_doubt (fleet, upstream, lost_at);
      for (int w = 0; w < cases[i].writes; w++)
        {
          now += TIMER_MS (1500);
          fleet_renew_upstream (fleet, STR ("a"), w + 2, now);
        }
      if (cases[i].writes == 0)
        fleet_remove_expired (fleet, now += TIMER_SEC (9));
      CU_ASSERT_FALSE (fleet_is_cold (upstream, now));
      CU_ASSERT_FALSE (fleet_doubt (fleet, upstream, lost_at));
      CU_ASSERT_FALSE (fleet_is_cold (upstream, now));
      CU_ASSERT (fleet_doubt (fleet, upstream, now));
      fleet_destroy (fleet);
    }
}

/* A doubt that nothing settles ends when the store would have removed the
   record, for which outages of the store don't count.  */
static void
test_end_of_doubt (void)
{
  static const struct
  {
    const char *name;
    int64_t away_ms; /* the store */
    int64_t cold_ms; /* the upstream is cold then */
    int64_t warm_ms; /* and it is not then */
  } cases[] = { { "the store is there", 0, 7900, 8100 },
                { "the store was away", 5000, 12900, 13100 } };
  for (size_t i = 0; i < sizeof cases / sizeof *cases; i++)
    {
      struct fleet_upstream *upstream = set_up_upstream ();
      fleet_doubt (fleet, upstream, now);
      fleet_postpone_expiry (fleet, TIMER_MS (cases[i].away_ms));
      fleet_remove_expired (fleet, now + TIMER_MS (cases[i].cold_ms));
      CU_ASSERT (fleet_is_cold (upstream, now + TIMER_MS (cases[i].cold_ms)));
      fleet_remove_expired (fleet, now + TIMER_MS (cases[i].warm_ms));
      CU_ASSERT_FALSE (
          fleet_is_cold (upstream, now + TIMER_MS (cases[i].warm_ms)));
      fleet_destroy (fleet);
    }
}

/* What was sent in the last second counts against the first second of a cold
   upstream, also if the requests were sent to the process before it.  */
static void
test_first_second (void)
{
  static const struct
  {
    const char *name;
    int64_t sent_ms; /* before; -1: never */
    bool is_replaced;
    int64_t sent; /* that count */
  } cases[] = { { "nothing sent", -1, false, 0 },
                { "sent just now", 10, false, 1 },
                { "sent long ago", 1500, false, 0 },
                { "replaced, nothing sent", -1, true, 0 },
                { "replaced, sent just now", 10, true, 1 } };
  for (size_t i = 0; i < sizeof cases / sizeof *cases; i++)
    {
      struct fleet_upstream *upstream = set_up_upstream ();
      struct fleet_record next = make_record (2, 3000);
      if (cases[i].sent_ms >= 0)
        load_begin_request (&upstream->load,
                            now - TIMER_MS (cases[i].sent_ms));
      if (cases[i].is_replaced)
        fleet_put_upstream (fleet, &next, 2, now);
      else
        fleet_doubt (fleet, upstream, now);
      upstream = fleet_find (fleet, STR ("a"));
      CU_ASSERT (fleet_is_cold (upstream, now));
      CU_ASSERT_EQUAL (load_sends_since (&upstream->load, now - TIMER_SEC (1)),
                       cases[i].sent);
      fleet_destroy (fleet);
    }
}

/* What all entries together send to a cold upstream in any second stays below
   the bound, with a quarter to spare, and most of that is used.  */
static void
test_quota (void)
{
  static const struct
  {
    const char *name;
    double max;
    size_t entries;
    size_t senders;
    int64_t per_sender;
  } cases[] = { { "more entries than requests", 19.1, 61, 14, 1 },
                { "hundreds of entries", 14.65, 295, 10, 1 },
                { "a dozen", 29.0, 12, 7, 3 },
                { "eleven", 21.5, 11, 8, 2 },
                { "one", 29.0, 1, 1, 3 },
                { "no rate is known", 0.0, 61, 1, 1 },
                { "none of the entries is known", 19.1, 0, 1, 1 } };
  for (size_t i = 0; i < COUNT (cases); i++)
    {
      struct cold_quota quota
          = cold_quota_divide (cases[i].max, cases[i].entries);
      CU_ASSERT_EQUAL (quota.senders, cases[i].senders);
      CU_ASSERT_EQUAL (quota.per_sender, cases[i].per_sender);
      CU_ASSERT ((double)quota.senders * (double)quota.per_sender
                 <= (cases[i].max > 1 ? 0.75 * cases[i].max : 1.0));
    }
}

/* News are passed on once, in order, and until they are old.  */
static void
test_list (void)
{
  static const struct
  {
    const char *name;
    const char *id;
    int64_t incarnation;
    int64_t at_ms;
    int64_t cold_ms; /* -1: a doubt */
    bool is_news;
  } cases[] = { { "a doubt", "a", 1, 0, -1, true },
                { "the same again", "a", 1, 100, -1, false },
                { "another incarnation", "a", 2, 100, -1, true },
                { "another upstream", "b", 1, 100, -1, true },
                { "said before the doubt", "a", 1, -100, 0, false },
                { "it is cold", "a", 1, 500, 2500, true },
                { "a doubt of before", "a", 1, 400, -1, false },
                { "contact lost again", "a", 1, 900, -1, true },
                { "it is not cold", "a", 1, 950, 0, true },
                { "no name", "", 1, 950, 0, false } };
  struct doubt_list *list = doubt_list_create (test_pool);
  apr_time_t start = TIMER_SEC (1000);
  int64_t number = 0;
  struct doubt_news out[8];
  for (size_t i = 0; i < sizeof cases / sizeof *cases; i++)
    {
      struct doubt_news news
          = { str_from (cases[i].id), cases[i].incarnation,
              start + TIMER_MS (cases[i].at_ms),
              cases[i].cold_ms < 0 ? DOUBT_UNSETTLED
                                   : TIMER_MS (cases[i].cold_ms) };
      bool is_news = doubt_list_add (list, &news, start + TIMER_SEC (1));
      if (is_news != cases[i].is_news)
        {
          printf ("%s\n", cases[i].name);
          CU_FAIL ("wrong result");
        }
      size_t count
          = doubt_list_query (list, &number, start + TIMER_SEC (1), out, 8);
      CU_ASSERT_EQUAL (count, (size_t)is_news);
      if (count == 1)
        CU_ASSERT (str_equal (out[0].id, news.id) && out[0].at == news.at
                   && out[0].cold_left == news.cold_left);
    }
  /* One that asks for the first time, or asked another list before, gets all
     that holds; in parts if there is too much.  */
  int64_t unknown = INT64_MAX;
  CU_ASSERT_EQUAL (
      doubt_list_query (list, &unknown, start + TIMER_SEC (1), out, 2), 2);
  CU_ASSERT_EQUAL (
      doubt_list_query (list, &unknown, start + TIMER_SEC (1), out, 2), 1);
  number = 0;
  CU_ASSERT_EQUAL (
      doubt_list_query (list, &number, start + TIMER_SEC (12), out, 8), 0);
}

/* As many upstreams as there may be, and then one more.  */
static void
test_list_bounds (void)
{
  struct doubt_list *list = doubt_list_create (test_pool);
  apr_time_t start = TIMER_SEC (1000);
  char id[16];
  for (int i = 0; i <= DOUBT_LIST_MAX; i++)
    {
      snprintf (id, sizeof id, "u%d", i);
      struct doubt_news news = { str_from (id), 1, start, DOUBT_UNSETTLED };
      CU_ASSERT_EQUAL (doubt_list_add (list, &news, start),
                       i < DOUBT_LIST_MAX);
    }
  struct doubt_news later
      = { STR ("later"), 1, start + TIMER_SEC (11), DOUBT_UNSETTLED };
  CU_ASSERT (doubt_list_add (list, &later, start + TIMER_SEC (11)));
}

/* Upstreams that were never in doubt elsewhere, and answered that they are not
   cold, leave the list to those that may be.  */
static void
test_list_of_warm (void)
{
  struct doubt_list *list = doubt_list_create (test_pool);
  apr_time_t start = TIMER_SEC (1000);
  struct doubt_news news = { STR ("warm"), 1, start, 0 };
  char id[16];
  CU_ASSERT_FALSE (doubt_list_add (list, &news, start));
  for (int i = 0; i < DOUBT_LIST_MAX; i++)
    {
      snprintf (id, sizeof id, "u%d", i);
      news.id = str_from (id);
      doubt_list_add (list, &news, start);
    }
  news = (struct doubt_news){ STR ("ended"), 1, start, DOUBT_UNSETTLED };
  CU_ASSERT (doubt_list_add (list, &news, start));
  /* Said again and again, it is news once.  */
  for (int i = 1; i <= 3; i++)
    {
      news.at = start + TIMER_MS (i);
      news.cold_left = 0;
      CU_ASSERT_EQUAL (doubt_list_add (list, &news, news.at), i == 1);
    }
  news.at = start + TIMER_MS (2);
  news.cold_left = DOUBT_UNSETTLED;
  CU_ASSERT_FALSE (doubt_list_add (list, &news, start + TIMER_MS (4)));
  news.at = start + TIMER_MS (4);
  CU_ASSERT (doubt_list_add (list, &news, start + TIMER_MS (4)));
}

/* Numbers that no entry writes make no time in the future, and no doubt that
   nothing can end.  */
static void
test_text_bounds (void)
{
  static const struct
  {
    const char *text;
    bool is_news;
  } cases[] = { { "a,1,250,-1;", true },
                { "a,1,-250,0;", false },
                { "a,1,99999999999999999999,0;", false },
                { "a,1,250,99999999999999999999;", false },
                { "a,1,250,3600001;", false },
                { "a,1,250,3600000;", true } };
  apr_time_t start = TIMER_SEC (1000);
  for (size_t i = 0; i < COUNT (cases); i++)
    {
      struct str text = str_from (cases[i].text);
      struct doubt_news news;
      bool is_news = doubt_news_read (&text, &news, start);
      if (is_news != cases[i].is_news || (is_news && news.at > start))
        {
          printf ("%s\n", cases[i].text);
          CU_FAIL ("wrong result");
        }
    }
  struct str text = STR ("a,1,-5,0;b,1,5,0;");
  struct doubt_news news;
  CU_ASSERT (doubt_news_read (&text, &news, start)
             && str_equal (news.id, STR ("b")));
}

/* What is read from the text of news is what was written, with times as ages
   in milliseconds.  */
static void
test_text (void)
{
  static const struct
  {
    const char *id;
    int64_t incarnation;
    int64_t age_ms;
    int64_t cold_ms; /* -1: a doubt */
    bool is_relayed;
    bool is_sent;
  } cases[] = { { "i-1", 17, 0, -1, false, true },
                { "i-2", 0, 250, 2500, false, true },
                { "i-3", INT64_MAX / 200, 9000, 0, false, true },
                { "i-4", 17, 0, -1, true, true },
                { "i 5", 17, 0, -1, false, false },
                { "i;6", 17, 0, -1, false, false },
                { "", 17, 0, -1, false, false } };
  struct doubt_queue *queue = doubt_queue_create (test_pool);
  apr_time_t start = TIMER_SEC (1000);
  struct doubt_news news;
  size_t sent = 0;
  size_t relayed = 0;
  size_t count;
  for (size_t i = 0; i < COUNT (cases); i++)
    {
      news = (struct doubt_news){ str_from (cases[i].id), cases[i].incarnation,
                                  start - TIMER_MS (cases[i].age_ms),
                                  cases[i].cold_ms < 0
                                      ? DOUBT_UNSETTLED
                                      : TIMER_MS (cases[i].cold_ms) };
      doubt_queue_add (queue, &news, cases[i].is_relayed);
    }
  /* The age grows while news wait to be sent.  */
  apr_time_t sent_at = start + TIMER_SEC (1);
  struct str text
      = str_from (doubt_queue_text (queue, false, sent_at, &count, test_pool));
  for (size_t i = 0; i < COUNT (cases); i++)
    if (cases[i].is_sent)
      {
        sent++;
        relayed += cases[i].is_relayed;
        CU_ASSERT (doubt_news_read (&text, &news, sent_at));
        CU_ASSERT (str_equal (news.id, str_from (cases[i].id)));
        CU_ASSERT_EQUAL (news.incarnation, cases[i].incarnation);
        CU_ASSERT_EQUAL (news.at, start - TIMER_MS (cases[i].age_ms));
        CU_ASSERT_EQUAL (news.cold_left, cases[i].cold_ms < 0
                                             ? DOUBT_UNSETTLED
                                             : TIMER_MS (cases[i].cold_ms));
      }
  CU_ASSERT_FALSE (doubt_news_read (&text, &news, sent_at));
  CU_ASSERT_EQUAL (count, sent);
  text = str_from (doubt_queue_text (queue, true, sent_at, &count, test_pool));
  CU_ASSERT_EQUAL (count, sent);
  for (size_t i = relayed; i < sent; i++)
    CU_ASSERT (doubt_news_read (&text, &news, sent_at));
  CU_ASSERT_FALSE (doubt_news_read (&text, &news, sent_at));
  doubt_queue_drop (queue, sent);
  CU_ASSERT (doubt_queue_is_empty (queue));
}

/* News beyond the queue's size are dropped, and those in it come in order, in
   as many messages as they need.  */
static void
test_queue_bounds (void)
{
  struct doubt_queue *queue = doubt_queue_create (test_pool);
  size_t received = 0;
  size_t count;
  for (int i = 0; i < DOUBT_QUEUE_MAX + 10; i++)
    {
      struct doubt_news news = { STR ("i-1"), i, 0, DOUBT_UNSETTLED };
      doubt_queue_add (queue, &news, false);
    }
  while (!doubt_queue_is_empty (queue))
    {
      struct doubt_news news;
      struct str text
          = str_from (doubt_queue_text (queue, false, 0, &count, test_pool));
      CU_ASSERT (count <= DOUBT_QUEUE_BATCH);
      while (doubt_news_read (&text, &news, 0))
        CU_ASSERT_EQUAL (news.incarnation, (int64_t)received++);
      doubt_queue_drop (queue, count);
    }
  CU_ASSERT_EQUAL (received, DOUBT_QUEUE_MAX);
  /* What an exchange has sent may have been sent in another way meanwhile.  */
  doubt_queue_drop (queue, 3);
  CU_ASSERT (doubt_queue_is_empty (queue));
}

const struct unit_test doubt_tests[] = {
  { "an upstream that contact was lost with is held for cold until it "
    "is known",
    test_doubt },
  { "writes from before contact was lost do not end a doubt, however late",
    test_writes_that_settle },
  { "a doubt that has ended does not begin again", test_repeated_doubt },
  { "a doubt ends when the store shows that the upstream is there",
    test_end_of_doubt },
  { "what was sent before an upstream became cold counts", test_first_second },
  { "what all entries may send to a cold upstream is divided", test_quota },
  { "news of doubts are passed on once", test_list },
  { "the list of doubts is bounded", test_list_bounds },
  { "upstreams that are not cold take no place in the list",
    test_list_of_warm },
  { "news arrive as they were sent", test_text },
  { "malformed news change nothing", test_text_bounds },
  { "the queue of news is bounded", test_queue_bounds },
  { NULL, NULL }
};
