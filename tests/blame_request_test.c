/* Which whole request is blamed for crashes of endpoints. */
#include "policy/blame.h"

#include <glib.h>

enum {
	START = 1000000, /* ms */
	GAP = 200,	 /* ms between crashes */
	RUN = 60,	 /* ms until a request crashes its endpoint */
	LATER = 1000,	 /* ms; decisions are due by then */
	HOUR = 3600 * 1000,
};

static const suspect_t bad = { SUSPECT_REQUEST, 1 },
		       popular = { SUSPECT_REQUEST, 2 },
		       neighbour = { SUSPECT_REQUEST, 3 },
		       part = { SUSPECT_PART, 1 }, shared = { SUSPECT_PART, 4 },
		       none = { 0 };

static blame_t *
blame_new(void)
{
	blame_t *b = g_new(blame_t, 1);

	blame_init(b);
	return b;
}

/* One instance reports a crash; a call has each of these, up to none. */
static void
crash(blame_t *b, uint32_t endpoint, ms_t at, uint32_t call, suspect_t s1,
    suspect_t s2, suspect_t s3)
{
	suspect_t what[] = { s1, s2, s3 };
	blame_crash_t c = { .endpoint = endpoint, .at = at };
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(what) && what[i].id != 0; i++)
		c.suspect[c.nsuspect++] = (blame_suspect_t){ what[i], call };
	blame_add_crash(b, &c);
}

/*
 * Guards against a request that ends all endpoints of a small service faster
 * than single crashes are told apart.
 */
static void
three_crashes_within_a_run_each(void)
{
	blame_t *b = blame_new();
	int i;

	for (i = 0; i < 3; i++) {
		g_assert_false(blame_decide(b, START + i * RUN));
		crash(b, (uint32_t)i, START + i * RUN, (uint32_t)i, bad, none,
		    none);
	}
	g_assert_true(blame_decide(b, START + 3 * RUN + LATER));
	g_assert_nonnull(blame_find(b, bad));
	/* A part with the same id is another suspect. */
	g_assert_null(blame_find(b, part));
	g_free(b);
}

/* Guards against leaving out what an instance sends again by itself. */
static void
repeats_of_one_call_count(void)
{
	blame_t *b = blame_new();
	int i;

	for (i = 0; i < 3; i++)
		crash(b, (uint32_t)i, START + i * RUN, 7, bad, none, none);
	g_assert_true(blame_decide(b, START + LATER));
	g_assert_nonnull(blame_find(b, bad));
	g_free(b);
}

/* Guards against copies that all end their endpoints at one moment. */
static void
copies_at_one_moment(void)
{
	blame_t *b = blame_new();
	int i;

	for (i = 0; i < 3; i++)
		crash(b, (uint32_t)i, START + i, (uint32_t)i, bad, none, none);
	g_assert_true(blame_decide(b, START + LATER));
	g_assert_nonnull(blame_find(b, bad));
	g_free(b);
}

/* Guards against blame where something else ended other endpoints, too. */
static void
common_cause(void)
{
	blame_t *b = blame_new();
	int i;

	for (i = 0; i < 3; i++)
		crash(b, (uint32_t)i, START + i, (uint32_t)i, bad, none, none);
	crash(b, 9, START + 2, 9, neighbour, none, none);
	g_assert_false(blame_decide(b, START + LATER));
	g_free(b);
}

/*
 * Guards against blaming a request that is in progress at each crash because it
 * is sent so often.
 */
static void
request_that_is_completed_between_crashes(void)
{
	blame_t *b = blame_new();
	int i;

	for (i = 0; i < 40; i++) {
		crash(b, (uint32_t)i, START + i * GAP, (uint32_t)i, popular,
		    none, none);
		if (i % 4 == 3)
			blame_passed(b, popular, START + i * GAP + RUN, true);
		g_assert_false(blame_decide(b, START + i * GAP + RUN + 1));
	}
	g_free(b);
}

/* Guards against the same where all endpoints end before it is completed. */
static void
request_that_was_completed_before_all_endpoints_ended(void)
{
	blame_t *b = blame_new();
	int i;

	blame_passed(b, popular, START - RUN, true);
	for (i = 0; i < 20; i++)
		crash(b, (uint32_t)i, START + i, (uint32_t)i, popular, none,
		    none);
	g_assert_false(blame_decide(b, START + LATER));
	for (i = 1; i < 4; i++)
		crash(b, 100 + (uint32_t)i, START + i * GAP, 100 + (uint32_t)i,
		    popular, none, none);
	g_assert_false(blame_decide(b, START + 4 * GAP + LATER));
	g_free(b);
}

/* Guards against trusting for ever a request that was completed before. */
static void
request_that_crashes_since_lately(void)
{
	blame_t *b = blame_new();
	int i;

	blame_passed(b, bad, START - HOUR, true);
	for (i = 0; i < 3; i++)
		crash(b, (uint32_t)i, START + i * GAP, (uint32_t)i, bad, none,
		    none);
	g_assert_true(blame_decide(b, START + 3 * GAP + LATER));
	g_assert_nonnull(blame_find(b, bad));
	g_free(b);
}

/* Guards against blaming sound requests that were at the same endpoints. */
static void
neighbours_are_not_blamed(void)
{
	blame_t *b = blame_new();
	int i;

	blame_passed(b, popular, START - GAP, true);
	for (i = 0; i < 4; i++)
		crash(b, (uint32_t)i, START + i * GAP, (uint32_t)i, bad,
		    popular, i > 0 ? neighbour : none);
	g_assert_true(blame_decide(b, START + 4 * GAP + LATER));
	g_assert_nonnull(blame_find(b, bad));
	g_assert_null(blame_find(b, popular));
	g_assert_null(blame_find(b, neighbour));
	/* What it explains is no evidence against them afterwards. */
	for (i = 4; i < 8; i++)
		crash(b, (uint32_t)i, START + i * GAP, (uint32_t)i, bad,
		    popular, neighbour);
	g_assert_false(blame_decide(b, START + 8 * GAP + LATER));
	g_free(b);
}

/*
 * Guards against waiting for the next crash when a completed call has decided
 * between two requests that were at all crashes.
 */
static void
completed_call_decides_a_tie(void)
{
	blame_t *b = blame_new();
	ms_t now = START + 3 * GAP + LATER;
	int i;

	for (i = 0; i < 3; i++)
		crash(b, (uint32_t)i, START + i * GAP, (uint32_t)i, bad,
		    popular, none);
	g_assert_false(blame_decide(b, now));
	g_assert_cmpint(blame_decide_at(b, now), ==, 0);
	blame_passed(b, popular, now + GAP, false);
	g_assert_cmpint(blame_decide_at(b, now + GAP), !=, 0);
	g_assert_true(blame_decide(b, now + GAP));
	g_assert_nonnull(blame_find(b, bad));
	g_assert_null(blame_find(b, popular));
	g_assert_cmpint(blame_decide_at(b, now + GAP), ==, 0);
	g_free(b);
}

/* Guards against refusing other prompts with the parts of a bad request. */
static void
request_goes_before_its_parts(void)
{
	blame_t *b = blame_new();
	int i;

	blame_passed(b, shared, START - GAP, true);
	for (i = 0; i < 3; i++)
		crash(b, (uint32_t)i, START + i * GAP, (uint32_t)i, part, bad,
		    shared);
	g_assert_true(blame_decide(b, START + 3 * GAP + LATER));
	g_assert_nonnull(blame_find(b, bad));
	g_assert_null(blame_find(b, part));
	g_assert_null(blame_find(b, shared));
	g_free(b);
}

/* Guards against missing a part at fault among requests that differ. */
static void
part_of_different_requests_is_blamed(void)
{
	blame_t *b = blame_new();
	int i;

	for (i = 0; i < 3; i++)
		crash(b, (uint32_t)i, START + i * GAP, (uint32_t)i, part,
		    (suspect_t){ SUSPECT_REQUEST, 100 + (uint64_t)i }, none);
	g_assert_true(blame_decide(b, START + 3 * GAP + LATER));
	g_assert_nonnull(blame_find(b, part));
	g_assert_cmpint(blame_count(b, SUSPECT_PART), ==, 1);
	g_assert_cmpint(blame_count(b, SUSPECT_REQUEST), ==, 0);
	g_free(b);
}

/*
 * Guards against more than the three calls that may reach endpoints after the
 * third crash: at most two are trials, whoever holds the lease.
 */
static void
trials_end(void)
{
	blame_t *b = blame_new();
	blamed_t *p;
	ms_t now;
	int i, n = 0;

	for (i = 0; i < 3; i++)
		crash(b, (uint32_t)i, START + i * GAP, (uint32_t)i, bad, none,
		    none);
	blame_decide(b, START + LATER);
	p = blame_find(b, bad);
	g_assert_nonnull(p);
	for (now = START + LATER; now < START + 20 * HOUR; now += 1000) {
		if (!blame_trial_due(p, now))
			continue;
		blame_trial_started(p, now);
		crash(b, 100 + (uint32_t)n, now + RUN, 100 + (uint32_t)n, bad,
		    none, none);
		n++;
	}
	g_assert_cmpint(n, ==, 2);
	/* It is forgotten a day after its last crash. */
	blame_expire(b, START + (ms_t)26 * HOUR);
	g_assert_null(blame_find(b, bad));
	g_free(b);
}

/* Guards against a blame that stays after a trial was completed. */
static void
completed_trial_clears_it(void)
{
	blame_t *b = blame_new();
	blamed_t again;
	suspect_t what;
	ms_t at;
	int i;

	for (i = 0; i < 3; i++)
		crash(b, (uint32_t)i, START + i * GAP, (uint32_t)i, bad, none,
		    none);
	blame_decide(b, START + LATER);
	again = *blame_find(b, bad);
	g_assert_true(blame_passed(b, bad, START + HOUR, true));
	g_assert_null(blame_find(b, bad));
	g_assert_true(blame_next_news(b, &what, &at));
	g_assert_true(suspect_same(what, bad));
	/* An instance that hasn't heard of it repeats the blame. */
	blame_adopt(b, &again);
	g_assert_null(blame_find(b, bad));
	g_free(b);
}

/*
 * Guards against adopting the blame of an instance that has just started and
 * doesn't know that the request is completed all the time.
 */
static void
blame_without_knowledge_is_not_adopted(void)
{
	blame_t *b = blame_new();
	blamed_t other = { .what = popular,
		.crash_at = START + GAP,
		.trial_at = START + LATER };

	blame_passed(b, popular, START - RUN, true);
	crash(b, 1, START, 1, popular, none, none);
	blame_adopt(b, &other);
	g_assert_null(blame_find(b, popular));
	/* One that passed long ago is another matter. */
	other.crash_at = START + HOUR;
	blame_adopt(b, &other);
	g_assert_nonnull(blame_find(b, popular));
	g_free(b);
}

#define T(name) g_test_add_func("/blame_request/" #name, name)

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	T(three_crashes_within_a_run_each);
	T(repeats_of_one_call_count);
	T(copies_at_one_moment);
	T(common_cause);
	T(request_that_is_completed_between_crashes);
	T(request_that_was_completed_before_all_endpoints_ended);
	T(request_that_crashes_since_lately);
	T(neighbours_are_not_blamed);
	T(completed_call_decides_a_tie);
	T(request_goes_before_its_parts);
	T(part_of_different_requests_is_blamed);
	T(trials_end);
	T(completed_trial_clears_it);
	T(blame_without_knowledge_is_not_adopted);
	return g_test_run();
}
