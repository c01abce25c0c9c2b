/* Which request makes room when the memory for requests is used up. */
#include "policy/buffer_account.h"

#include <glib.h>

enum {
	MEMORY = 100 << 20,
	LARGE = 1 << 20,
	SMALL = 8 << 10,
};

/* Guards against a limit that applies in calm. */
static void
nothing_is_limited_in_calm(void)
{
	buffer_account_t a = { 0 };
	size_t held = 0;

	buffer_account_init(&a, MEMORY);
	buffer_account_change(&a, &held, 8 << 20);
	g_assert_cmpuint(buffer_account_over(&a), ==, 0);
	buffer_account_change(&a, &held, 0);
	g_assert_cmpuint(a.small + a.large, ==, 0);
}

/* Guards against large requests that leave no room for small ones. */
static void
large_ones_leave_room(void)
{
	buffer_account_t a = { 0 };
	size_t large[100] = { 0 }, small[500] = { 0 };
	bool relevant;
	int i, n = 0;

	buffer_account_init(&a, MEMORY);
	for (i = 0; i < 100; i++) {
		buffer_account_change(&a, &large[i], LARGE);
		if (buffer_account_over(&a) > 0)
			buffer_account_change(&a, &large[i], 0);
		else
			n++;
	}
	g_assert_cmpint(n, >, 10);
	g_assert_cmpint(n, <, 40);
	/* Some 9 MB are left. */
	for (i = 0; i < 500; i++) {
		buffer_account_change(&a, &small[i], SMALL);
		g_assert_cmpuint(buffer_account_over(&a), ==, 0);
	}
	/* A small one that ended would give a large one no room. */
	buffer_account_change(&a, &large[99], LARGE);
	g_assert_cmpuint(buffer_account_over(&a), >, 0);
	buffer_account_weight(&a, SMALL, 1000, &relevant);
	g_assert_false(relevant);
}

/* Guards against ending the ordinary request instead of the stalled one. */
static void
what_holds_most_for_longest_makes_room(void)
{
	buffer_account_t a = { 0 };
	bool relevant;

	buffer_account_init(&a, MEMORY);
	g_assert_cmpfloat(buffer_account_weight(&a, SMALL, 5, &relevant), <,
	    buffer_account_weight(&a, SMALL, 4000, &relevant));
	g_assert_cmpfloat(buffer_account_weight(&a, SMALL, 50, &relevant), <,
	    buffer_account_weight(&a, LARGE, 50, &relevant));
	g_assert_true(relevant);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/buffer_account/nothing_is_limited_in_calm",
	    nothing_is_limited_in_calm);
	g_test_add_func(
	    "/buffer_account/large_ones_leave_room", large_ones_leave_room);
	g_test_add_func(
	    "/buffer_account/what_holds_most_for_longest_makes_room",
	    what_holds_most_for_longest_makes_room);
	return g_test_run();
}
