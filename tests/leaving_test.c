/* Which incarnation of an endpoint leaves, by what it said and its entries. */
#include "policy/leaving.h"

#include <glib.h>

enum {
	NOW = 1000000, /* ms on the local clock */
	LONG = 600000, /* ms */
	SHORT = 2000,  /* ms */
};
static const int64_t first = 1700000000000, second = 1700000060000;

static leaving_t
said_by(int64_t started_at, int64_t connected_at)
{
	leaving_t l = { 0 };
	leaving_statement_t said = { started_at, connected_at };

	leaving_say(&l, &said, NOW);
	return l;
}

/* Guards against taking out endpoints that have said nothing. */
static void
nothing_said(void)
{
	leaving_t l = { 0 };

	leaving_show(&l, first, NOW);
	leaving_show(&l, second, NOW);
	g_assert_false(leaving_holds(&l, first, NOW));
	g_assert_false(leaving_holds(&l, second, NOW));
}

/* Guards against forgetting it with time. */
static void
holds_for_the_incarnation(void)
{
	leaving_t l = said_by(first, first + SHORT);

	leaving_show(&l, first, NOW + 1);
	g_assert_true(leaving_holds(&l, first, NOW + 1));
	g_assert_true(leaving_holds(&l, first, NOW + LONG));
}

/* Guards against holding it against the next process of the endpoint. */
static void
next_incarnation_is_free_at_once(void)
{
	leaving_t l = said_by(first, second - SHORT);

	leaving_show(&l, second, NOW + 1);
	g_assert_false(leaving_holds(&l, second, NOW + 1));
	/* Its old entry may be shown again. */
	g_assert_true(leaving_holds(&l, first, NOW + 2));
}

/*
 * Guards against an answer of the process before, which comes late, taking out
 * the one that is there now.
 */
static void
late_answer_of_the_incarnation_before(void)
{
	leaving_t l = { 0 };
	leaving_statement_t said = { first, second - SHORT };

	leaving_show(&l, second, NOW - LONG);
	leaving_say(&l, &said, NOW);
	g_assert_false(leaving_holds(&l, second, NOW));
}

/* Guards against an entry, read late, of the process that said it. */
static void
entry_read_after_the_statement(void)
{
	leaving_t l = said_by(first, second + SHORT);

	leaving_show(&l, second, NOW + SHORT);
	g_assert_true(leaving_holds(&l, second, NOW + SHORT));
	g_assert_true(leaving_holds(&l, second, NOW + 10 * SHORT));
	/* If our clock was ahead, it was the process before after all. */
	g_assert_false(leaving_holds(&l, second, NOW + LONG));
}

/* Guards against the same where the entry was read before the answer. */
static void
entry_read_before_the_statement(void)
{
	leaving_t l = { 0 };
	leaving_statement_t said = { first, second + SHORT };

	leaving_show(&l, second, NOW - LONG);
	leaving_say(&l, &said, NOW);
	g_assert_true(leaving_holds(&l, second, NOW + SHORT));
}

/* Guards against an old copy of the entry undoing it. */
static void
earlier_start(void)
{
	leaving_t l = said_by(second, second + SHORT);

	leaving_show(&l, first, NOW + 1);
	g_assert_true(leaving_holds(&l, first, NOW + 1));
	leaving_show(&l, second, NOW + SHORT);
	g_assert_true(leaving_holds(&l, second, NOW + LONG));
}

/* Guards against the same where our clock is behind the endpoint's. */
static void
earlier_start_and_our_clock_is_behind(void)
{
	leaving_t l = said_by(second, first - SHORT);

	leaving_show(&l, first, NOW + 1);
	g_assert_true(leaving_holds(&l, first, NOW + 1));
}

/* Guards against a process whose clock went back staying out for ever. */
static void
earlier_start_that_stays(void)
{
	leaving_t l = said_by(second, second + SHORT);

	leaving_show(&l, first, NOW + 1);
	leaving_show(&l, first, NOW + SHORT);
	g_assert_false(leaving_holds(&l, first, NOW + LONG));
}

/*
 * Guards against instances that repeat to each other for ever what they were
 * told, as each repeat seems to be new.
 */
static void
repeat_is_not_a_new_statement(void)
{
	leaving_statement_t told = { first, first + SHORT + 1 };
	leaving_t l = said_by(first, first + SHORT);

	leaving_say(&l, &told, NOW + SHORT);
	g_assert_cmpint(l.said_at, ==, NOW);
}

/* Guards against a later statement of an earlier process replacing it. */
static void
latest_incarnation_counts(void)
{
	leaving_t l = said_by(second, second + SHORT);
	leaving_statement_t earlier = { first, first + SHORT };

	leaving_say(&l, &earlier, NOW + 1);
	g_assert_true(leaving_holds(&l, second, NOW + LONG));
}

/* Guards against forgetting it with a removed endpoint. */
static void
removed_endpoint_is_remembered(void)
{
	leaving_memory_t *m = g_new0(leaving_memory_t, 1);
	leaving_t l = said_by(first, first + SHORT), none = { 0 };
	int i;

	leaving_remember(m, 7, &l);
	leaving_remember(m, 8, &none);
	l = leaving_recall(m, 7);
	g_assert_true(leaving_holds(&l, first, NOW + LONG));
	l = leaving_recall(m, 8);
	g_assert_false(leaving_holds(&l, first, NOW));
	/* Removed again, as another incarnation. */
	l = said_by(second, second + SHORT);
	leaving_remember(m, 7, &l);
	l = leaving_recall(m, 7);
	g_assert_true(leaving_holds(&l, second, NOW));
	for (i = 0; i < LEAVING_REMEMBERED_MAX; i++)
		leaving_remember(m, 100 + (uint64_t)i, &l);
	l = leaving_recall(m, 7);
	g_assert_false(leaving_holds(&l, second, NOW));
	g_free(m);
}

#define T(name) g_test_add_func("/leaving/" #name, name)

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	T(nothing_said);
	T(holds_for_the_incarnation);
	T(next_incarnation_is_free_at_once);
	T(late_answer_of_the_incarnation_before);
	T(entry_read_after_the_statement);
	T(entry_read_before_the_statement);
	T(earlier_start);
	T(earlier_start_and_our_clock_is_behind);
	T(earlier_start_that_stays);
	T(repeat_is_not_a_new_statement);
	T(latest_incarnation_counts);
	T(removed_endpoint_is_remembered);
	return g_test_run();
}
