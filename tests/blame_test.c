/* Which part of a prompt is blamed for crashes of endpoints. */
#include "policy/blame.h"

#include <glib.h>

enum {
	START = 1000000, /* ms */
	GAP = 200,	 /* ms between crashes that count by themselves */
	LATER = 1000,	 /* ms; decisions are due by then */
	HOUR = 3600 * 1000,
};

/* Parts: the first of most prompts, one that crashes, and others. */
static const suspect_t first = { SUSPECT_PART, 1 }, bad = { SUSPECT_PART, 2 },
		       other = { SUSPECT_PART, 3 },
		       another = { SUSPECT_PART, 4 }, none = { 0 };

static blame_t *
blame_new(void)
{
	blame_t *b = g_new(blame_t, 1);

	blame_init(b);
	return b;
}

/* One instance reports a crash; the call has all of these, up to none. */
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

/* Guards against endpoints that crash one after the other by one part. */
static void
part_of_all_crashes_is_blamed(void)
{
	blame_t *b = blame_new();

	crash(b, 1, START, 1, bad, other, none);
	crash(b, 2, START + GAP, 2, bad, another, none);
	g_assert_false(blame_decide(b, START + GAP + LATER));
	g_assert_cmpint(blame_crash_count(b, bad), ==, 2);
	crash(b, 3, START + 2 * GAP, 3, bad, none, none);
	g_assert_true(blame_decide(b, START + 2 * GAP + LATER));
	g_assert_nonnull(blame_find(b, bad));
	g_assert_null(blame_find(b, other));
	g_assert_null(blame_find(b, another));
	/* Further crashes with it are no evidence against other parts. */
	crash(b, 4, START + 3 * GAP, 4, bad, other, none);
	crash(b, 5, START + 4 * GAP, 5, bad, other, none);
	crash(b, 6, START + 5 * GAP, 6, bad, other, none);
	g_assert_false(blame_decide(b, START + 5 * GAP + LATER));
	g_assert_cmpint(blame_crash_count(b, other), ==, 0);
	g_free(b);
}

/* Guards against blame before other instances can say that a call began. */
static void
decision_waits_for_other_instances(void)
{
	blame_t *b = blame_new();
	ms_t last = START + 2 * GAP, at;
	int i;

	for (i = 0; i < 3; i++)
		crash(b, (uint32_t)i, START + i * GAP, (uint32_t)i, bad, none,
		    none);
	at = blame_decide_at(b, last);
	while (at != 0 && !blame_decide(b, at))
		at = blame_decide_at(b, at);
	g_assert_cmpint(at, >=, last + 100);
	g_assert_cmpint(at, <, last + LATER);
	g_free(b);
}

/* Guards against blaming a part that many sound calls share. */
static void
part_on_which_calls_begin_is_not_blamed(void)
{
	blame_t *b = blame_new();
	int i;

	for (i = 0; i < 50; i++) {
		crash(b, (uint32_t)i, START + i * GAP, (uint32_t)i, first, none,
		    none);
		if (i % 2 == 1)
			blame_passed(
			    b, first, START + i * GAP + 50, i % 4 == 1);
		g_assert_false(blame_decide(b, START + i * GAP + 150));
	}
	g_assert_false(blame_decide(b, START + 50 * GAP + LATER));
	g_free(b);
}

/* Guards against blaming the first part when no sound call can begin. */
static void
part_that_never_began_goes_before_one_that_did(void)
{
	blame_t *b = blame_new();
	int i;

	blame_passed(b, first, START - 50, true);
	for (i = 0; i < 3; i++)
		crash(b, (uint32_t)i, START + i * GAP, (uint32_t)i, first, bad,
		    none);
	g_assert_true(blame_decide(b, START + 2 * GAP + LATER));
	g_assert_nonnull(blame_find(b, bad));
	g_assert_null(blame_find(b, first));
	g_free(b);
}

/* Guards against trusting for ever a part on which calls began once. */
static void
part_that_began_once_is_blamed_by_later_crashes(void)
{
	blame_t *b = blame_new();
	int i;

	blame_passed(b, bad, START - HOUR, true);
	for (i = 0; i < 3; i++)
		crash(b, (uint32_t)i, START + i * GAP, (uint32_t)i, bad, none,
		    none);
	g_assert_true(blame_decide(b, START + 2 * GAP + LATER));
	g_assert_nonnull(blame_find(b, bad));
	g_free(b);
}

/* Guards against blame by the end of a failure domain: one moment, many ends.
 */
static void
crashes_at_one_moment_blame_nothing(void)
{
	blame_t *b = blame_new();
	int i;

	for (i = 0; i < 40; i++)
		crash(
		    b, (uint32_t)i, START + i, (uint32_t)i, other, none, none);
	g_assert_false(blame_decide(b, START + LATER));
	g_assert_cmpint(blame_crash_count(b, other), ==, 1);
	g_free(b);
}

/* Guards against blame by a common cause: rack after rack loses power. */
static void
ends_without_the_part_at_the_same_moment_clear_it(void)
{
	blame_t *b = blame_new();
	int i;

	for (i = 0; i < 10; i++) {
		crash(b, (uint32_t)(10 * i), START + i * GAP, (uint32_t)i,
		    other, none, none);
		/* Only calls that had begun were there. */
		crash(b, (uint32_t)(10 * i + 1), START + i * GAP + 5, 0, none,
		    none, none);
	}
	g_assert_cmpint(blame_crash_count(b, other), ==, 0);
	g_assert_false(blame_decide(b, START + 10 * GAP + LATER));
	g_free(b);
}

/* Guards against a crash beside another one hiding the part at fault. */
static void
blamed_part_doesn_t_hide_another(void)
{
	blame_t *b = blame_new();
	int i;

	for (i = 0; i < 3; i++)
		crash(b, (uint32_t)i, START + i * GAP, (uint32_t)i, bad, none,
		    none);
	g_assert_true(blame_decide(b, START + 2 * GAP + LATER));
	for (i = 0; i < 3; i++) {
		crash(b, 10 + (uint32_t)i, START + LATER + i * GAP,
		    10 + (uint32_t)i, bad, none, none);
		crash(b, 20 + (uint32_t)i, START + LATER + i * GAP + 5,
		    20 + (uint32_t)i, other, none, none);
	}
	g_assert_true(blame_decide(b, START + 3 * LATER));
	g_assert_nonnull(blame_find(b, other));
	g_free(b);
}

/* Guards against blaming a part for a single call that is sent again. */
static void
repeats_of_one_call_blame_nothing(void)
{
	blame_t *b = blame_new();
	int i;

	for (i = 0; i < 8; i++)
		crash(b, (uint32_t)i, START + i * GAP, 7, other, none, none);
	g_assert_false(blame_decide(b, START + 8 * GAP + LATER));
	g_free(b);
}

/*
 * Guards against blaming a sound part because no evidence tells it from the
 * one at fault, and against never blaming either.
 */
static void
equal_evidence_needs_more_crashes(void)
{
	blame_t *b = blame_new();
	int i;

	for (i = 0; i < 4; i++) {
		crash(b, (uint32_t)i, START + i * GAP, (uint32_t)i, bad, other,
		    none);
		g_assert_false(blame_decide(b, START + i * GAP + LATER));
	}
	crash(b, 4, START + 4 * GAP, 4, bad, other, none);
	g_assert_true(blame_decide(b, START + 4 * GAP + LATER));
	g_assert_nonnull(blame_find(b, bad));
	g_assert_nonnull(blame_find(b, other));
	/* The sound one is cleared as soon as one call with it begins. */
	g_assert_true(
	    blame_passed(b, other, START + 4 * GAP + 2 * LATER, true));
	g_assert_null(blame_find(b, other));
	g_assert_nonnull(blame_find(b, bad));
	g_free(b);
}

/* Guards against counting one crash once for each instance that saw it. */
static void
reports_of_one_crash_are_joined(void)
{
	blame_t *b = blame_new();
	int i;

	for (i = 0; i < 5; i++)
		crash(b, 1, START + i * 110, (uint32_t)i, other, none, none);
	g_assert_cmpint(b->ncrash, ==, 1);
	g_assert_false(blame_decide(b, START + LATER));
	/* A later crash of the same endpoint is another one. */
	crash(b, 1, START + 2000, 9, other, none, none);
	g_assert_cmpint(b->ncrash, ==, 2);
	g_free(b);
}

/* Guards against evidence that a call's beginning has outdated meanwhile. */
static void
late_report_does_not_count(void)
{
	blame_t *b = blame_new();
	suspect_t what;
	ms_t at;

	blame_passed(b, first, START + 10, true);
	crash(b, 1, START, 1, first, bad, none);
	g_assert_cmpint(blame_crash_count(b, first), ==, 0);
	g_assert_cmpint(blame_crash_count(b, bad), ==, 1);
	/* The other instances are told. */
	g_assert_true(blame_next_news(b, &what, &at));
	g_assert_true(suspect_same(what, first));
	g_assert_cmpint(at, ==, START + 10);
	g_assert_false(blame_next_news(b, &what, &at));
	g_free(b);
}

/* Guards against every instance repeating what one of them has told. */
static void
beginning_that_was_told_is_not_news(void)
{
	blame_t *b = blame_new();
	suspect_t what;
	ms_t at;

	crash(b, 1, START, 1, first, none, none);
	blame_passed(b, first, START + 30, true);
	blame_passed(b, first, START + 20, false);
	g_assert_false(blame_next_news(b, &what, &at));
	/* Nor is that of a part that nobody suspects. */
	blame_passed(b, other, START + 30, true);
	g_assert_false(blame_next_news(b, &what, &at));
	g_free(b);
}

/* Guards against a sound part that is blamed again by an old message. */
static void
old_blame_is_not_adopted(void)
{
	blame_t *b = blame_new();
	blamed_t p = { .what = bad, .crash_at = START, .trial_at = START };
	suspect_t what;
	ms_t at;

	blame_adopt(b, &p);
	g_assert_nonnull(blame_find(b, bad));
	g_assert_true(blame_passed(b, bad, START + 10, false));
	blame_adopt(b, &p);
	g_assert_null(blame_find(b, bad));
	g_assert_true(blame_next_news(b, &what, &at));
	g_assert_true(suspect_same(what, bad));
	p.crash_at = START + 20;
	blame_adopt(b, &p);
	g_assert_nonnull(blame_find(b, bad));
	g_free(b);
}

/* Guards against trials that crash endpoints again and again. */
static void
trials_become_rare(void)
{
	blame_t *b = blame_new();
	blamed_t *p;
	ms_t now, due;
	int i, n;

	for (i = 0; i < 3; i++)
		crash(b, (uint32_t)i, START + i * GAP, (uint32_t)i, bad, none,
		    none);
	blame_decide(b, START + LATER);
	p = blame_find(b, bad);
	g_assert_nonnull(p);
	now = START + LATER;
	g_assert_false(blame_trial_due(p, now + 10000));
	for (n = 0; now < START + HOUR; now += 100) {
		if (!blame_trial_due(p, now))
			continue;
		blame_trial_started(p, now);
		crash(b, 100 + (uint32_t)n, now + 50, 100 + (uint32_t)n, bad,
		    none, none);
		n++;
	}
	g_assert_cmpint(n, <=, 4);
	/* A new holder goes on from there. */
	due = p->trial_at;
	blame_adopt(b,
	    &(blamed_t){ .what = bad, .trials = n + 1, .trial_at = due + 1 });
	g_assert_cmpint(blame_find(b, bad)->trial_at, ==, due + 1);
	g_free(b);
}

/* Guards against a part that stays blamed though nobody asks for it. */
static void
evidence_and_blame_expire(void)
{
	blame_t *b = blame_new();
	int i;

	for (i = 0; i < 3; i++)
		crash(b, (uint32_t)i, START + i * GAP, (uint32_t)i, bad, none,
		    none);
	crash(b, 9, START + 3 * GAP, 9, other, none, none);
	g_assert_true(blame_decide(b, START + LATER));
	blame_expire(b, START + HOUR);
	g_assert_cmpint(b->ncrash, ==, 0);
	g_assert_nonnull(blame_find(b, bad));
	blame_expire(b, START + (ms_t)25 * HOUR);
	g_assert_null(blame_find(b, bad));
	g_free(b);
}

/* Guards against tables that grow, or end the process, when very much fails. */
static void
tables_are_bounded(void)
{
	blame_t *b = blame_new();
	blame_crash_t c = { .nsuspect = BLAME_SUSPECTS_MAX };
	int i, k;

	for (i = 0; i < 2000; i++) {
		c.endpoint = (uint32_t)i;
		c.at = START + (ms_t)i * GAP;
		for (k = 0; k < BLAME_SUSPECTS_MAX; k++)
			c.suspect[k] = (blame_suspect_t){
				{ SUSPECT_PART,
				    (uint64_t)(10 + i / 8 * 100 + k) },
				(uint32_t)i
			};
		blame_add_crash(b, &c);
		if (i % 8 == 7)
			blame_decide(b, c.at + LATER);
	}
	g_assert_cmpint(b->ncrash, <=, BLAME_CRASHES_MAX);
	g_assert_cmpint(b->nblamed, ==, BLAME_MAX);
	g_assert_cmpint(b->dropped, >, 0);
	/* The latest evidence still counts. */
	for (i = 0; i < 3; i++)
		crash(b, 5000 + (uint32_t)i, START + 2000 * GAP + i * GAP,
		    (uint32_t)i, bad, none, none);
	g_assert_true(blame_decide(b, START + 2000 * GAP + 2 * LATER));
	g_assert_nonnull(blame_find(b, bad));
	g_free(b);
}

/* Guards against evidence that comes late and is looked at by chance only. */
static void
late_evidence_is_decided(void)
{
	blame_t *b = blame_new();
	ms_t now = START + 10 * LATER;
	int i;

	g_assert_cmpint(blame_decide_at(b, now), ==, 0);
	for (i = 0; i < 3; i++)
		crash(b, (uint32_t)i + 1, START + i * GAP, (uint32_t)i + 1, bad,
		    none, none);
	g_assert_cmpint(blame_decide_at(b, now), ==, now);
	g_assert_true(blame_decide(b, now));
	g_assert_cmpint(blame_decide_at(b, now), ==, 0);
	g_free(b);
}

#define T(name) g_test_add_func("/blame/" #name, name)

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	T(part_of_all_crashes_is_blamed);
	T(decision_waits_for_other_instances);
	T(part_on_which_calls_begin_is_not_blamed);
	T(part_that_never_began_goes_before_one_that_did);
	T(part_that_began_once_is_blamed_by_later_crashes);
	T(crashes_at_one_moment_blame_nothing);
	T(ends_without_the_part_at_the_same_moment_clear_it);
	T(blamed_part_doesn_t_hide_another);
	T(repeats_of_one_call_blame_nothing);
	T(equal_evidence_needs_more_crashes);
	T(reports_of_one_crash_are_joined);
	T(late_report_does_not_count);
	T(beginning_that_was_told_is_not_news);
	T(old_blame_is_not_adopted);
	T(trials_become_rare);
	T(evidence_and_blame_expire);
	T(tables_are_bounded);
	T(late_evidence_is_decided);
	return g_test_run();
}
