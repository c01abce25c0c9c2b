/* An instance that reads old copies relies only on others that watched. */
#include "policy/coverage.h"
#include "policy/watchers.h"

#include <glib.h>

enum {
	LIMIT_MS = 1750,
	HEARTBEAT_MS = 500,
};

static bool
claim(coverage_t *c, int64_t from, int64_t upto, ms_t ago, ms_t now)
{
	return coverage_claimed(
	    c, &(coverage_claim_t){ from, upto, ago }, LIMIT_MS, now);
}

/* Guards against relying on claims before anything was read. */
static void
nothing_read(void)
{
	coverage_t c = { 0 };

	g_assert_false(coverage_holds(&c, LIMIT_MS, 1000));
	g_assert_false(claim(&c, 0, 10, 0, 1000));
}

/* Guards against asking the store while others watch. */
static void
claims_follow_each_other(void)
{
	coverage_t c = { 0 };
	ms_t now = 1000;
	int i;

	coverage_fresh(&c, 10, now);
	for (i = 0; i < 20; i++, now += HEARTBEAT_MS) {
		g_assert_true(claim(&c, 5, 10 + i, 1000, now));
		g_assert_true(coverage_holds(&c, LIMIT_MS, now));
	}
	g_assert_cmpint(c.upto, ==, 29);
}

/* Guards against a watcher that goes on claiming what it read long ago. */
static void
old_answers_cover_no_longer(void)
{
	coverage_t c = { 0 };
	ms_t t;

	coverage_fresh(&c, 10, 1000);
	for (t = 0; t < LIMIT_MS; t += HEARTBEAT_MS)
		claim(&c, 5, 10, t, 1000 + t);
	g_assert_true(coverage_holds(&c, LIMIT_MS, 1000 + LIMIT_MS - 1));
	g_assert_false(coverage_holds(&c, LIMIT_MS, 1000 + LIMIT_MS));
}

/* Guards against a watcher that began after what the reader knows. */
static void
later_list_covers_nothing(void)
{
	coverage_t c = { 0 };

	coverage_fresh(&c, 10, 1000);
	g_assert_false(claim(&c, 12, 12, 0, 1500));
	g_assert_false(coverage_holds(&c, LIMIT_MS, 1000 + LIMIT_MS));
	coverage_copy(&c, 13);
	g_assert_true(claim(&c, 12, 14, 0, 1600));
	g_assert_true(coverage_holds(&c, LIMIT_MS, 1600 + LIMIT_MS - 1));
}

/* Guards against claims that come after a gap in which others announced. */
static void
gap_is_closed_by_a_fresh_answer_only(void)
{
	coverage_t c = { 0 };
	ms_t late = 1000 + LIMIT_MS;

	coverage_fresh(&c, 10, 1000);
	g_assert_false(claim(&c, 5, 20, 0, late));
	coverage_copy(&c, 20);
	g_assert_false(claim(&c, 5, 20, 0, late));
	coverage_fresh(&c, 21, late);
	g_assert_true(claim(&c, 5, 22, 0, late));
}

/*
 * Guards against a limit at which what leaves is learned too late, and one that
 * a single watcher's claims can't meet.
 */
static void
limit_fits_claims_and_drain(void)
{
	watchers_t few = { .npeer = 7, .ndomain = 3, .drain = 2000 };
	watchers_t many = { .npeer = 2199, .ndomain = 9, .drain = 2000 };
	ms_t limit = watchers_cover(&few, HEARTBEAT_MS);
	ms_t claims = watchers_interval(&few) + watchers_timeout(&few);

	g_assert_cmpint(limit, <, few.drain);
	g_assert_cmpint(limit, >, claims + HEARTBEAT_MS);
	g_assert_cmpint(watchers_cover(&many, 2900), >, claims + 2900);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
#define T(f) g_test_add_func("/coverage/" #f, f)
	T(nothing_read);
	T(claims_follow_each_other);
	T(old_answers_cover_no_longer);
	T(later_list_covers_nothing);
	T(gap_is_closed_by_a_fresh_answer_only);
	T(limit_fits_claims_and_drain);
#undef T
	return g_test_run();
}
