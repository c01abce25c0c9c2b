/* What watching the store costs, and how soon an endpoint that leaves is seen.
 */
#include "policy/watchers.h"

#include <glib.h>

enum {
	/* Priced like a fresh answer are ten copies. */
	COPIES_FOR_ONE = 10,
	/* For a change to be announced and applied, of the time there is. */
	ANNOUNCE_MS = 500,
};

static watchers_t
deployment(int instances, int domains, ms_t drain)
{
	return (watchers_t){ instances - 1, domains, drain };
}

/* Fresh answers and copies a second that entries which always change cause. */
static double
answers_per_s(const watchers_t *w)
{
	int watching = watchers_by_domain(w) ? watchers_count(w) * w->ndomain
					     : watchers_count(w);

	return watching * 1000.0 / watchers_interval(w) +
	       (w->npeer + 1 - watching) * 1000.0 / watchers_copy_interval(w) /
		   COPIES_FOR_ONE;
}

/* Guards against a bill that grows with the number of instances. */
static void
answers_grow_slower_than_the_square_root(void)
{
	watchers_t small = deployment(30, 5, 4000);
	watchers_t large = deployment(300, 5, 4000);
	watchers_t target = deployment(2200, 9, 4000);

	g_assert_cmpfloat(
	    answers_per_s(&large), <=, answers_per_s(&small) * 3.17);
	g_assert_cmpfloat(
	    answers_per_s(&target), <=, answers_per_s(&large) * 2.71);
}

/* Guards against an endpoint that leaves and is seen too late. */
static void
leaving_endpoint_is_seen_in_time(void)
{
	static const ms_t drain[] = { 1000, 2000, 3000, 4000, 10000 };
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(drain); i++) {
		watchers_t w = deployment(300, 5, drain[i]);

		g_assert_cmpint(
		    2 * watchers_interval(&w) + ANNOUNCE_MS, <=, drain[i]);
	}
}

/* Guards against a single watcher, which may be cut off or stand still. */
static void
several_instances_watch(void)
{
	int n, domains;

	for (n = 2; n < 400; n++)
		for (domains = 1; domains <= 9 && domains <= n; domains++) {
			watchers_t w = deployment(n, domains, 4000);
			int all = watchers_by_domain(&w)
				      ? watchers_count(&w) * domains
				      : watchers_count(&w);

			g_assert_cmpint(all, >=, 2);
			g_assert_cmpint(watchers_count(&w), >=, 1);
		}
}

#define T(name) g_test_add_func("/watchers/" #name, name)

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	T(answers_grow_slower_than_the_square_root);
	T(leaving_endpoint_is_seen_in_time);
	T(several_instances_watch);
	return g_test_run();
}
