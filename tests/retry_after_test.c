#include "policy/retry_after.h"

#include <glib.h>

enum {
	NOW = 100000,
	LATER = 2000, /* than clocks may be apart */
};

static const int64_t wall = 1700000000000;

/* Guards against a shorter time that ends a longer one. */
static void
longest_time_holds(void)
{
	retry_after_t r = { 0 };

	g_assert_cmpint(retry_after_left(&r, NOW), ==, 0);
	retry_after_asked(&r, 4000, NOW, wall);
	retry_after_asked(&r, 1000, NOW + 10, wall + 10);
	g_assert_cmpint(retry_after_left(&r, NOW + 10), ==, 3990);
	retry_after_asked(&r, 4000, NOW + 100, wall + 100);
	g_assert_cmpint(retry_after_left(&r, NOW + 100), ==, 4000);
	retry_after_asked(&r, 0, NOW + 200, wall + 200);
	g_assert_cmpint(retry_after_left(&r, NOW + 4099), ==, 1);
	g_assert_cmpint(retry_after_left(&r, NOW + 4100), ==, 0);
}

/* Guards against the entry of the process that asked, read afterwards. */
static void
only_a_later_process_ends_it(void)
{
	retry_after_t r = { 0 };

	retry_after_asked(&r, 9000, NOW, wall);
	retry_after_restarted(&r, wall - LATER);
	g_assert_cmpint(retry_after_left(&r, NOW), ==, 9000);
	/* It may have begun before, by its own clock. */
	retry_after_restarted(&r, wall + 1);
	g_assert_cmpint(retry_after_left(&r, NOW), ==, 9000);
	retry_after_restarted(&r, wall + LATER);
	g_assert_cmpint(retry_after_left(&r, NOW), ==, 0);
}

#define T(name) g_test_add_func("/retry_after/" #name, name)

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	T(longest_time_holds);
	T(only_a_later_process_ends_it);
	return g_test_run();
}
