/* How soon an instance that has stopped is noticed, as instances get many. */
#include "policy/liveness.h"

#include <glib.h>

enum {
	DOMAINS = 5,
	/* Callers must not be sent to an instance that was off for longer. */
	LISTED_MAX_MS = 8000,
	NOTICED_MAX_MS = 4000,
};

static liveness_t
even(int instances, int domains)
{
	return (liveness_t){ instances - 1, instances / domains - 1 };
}

/* Guards against callers that are sent to instances that are long off. */
static void
stopped_instance_of_the_domain_is_noticed(void)
{
	static const int instances[] = { 3, 7, 30, 89, 295, 600 };
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(instances); i++) {
		liveness_t l = even(instances[i], DOMAINS);
		ms_t at = liveness_dead_after(liveness_peer_interval(
		    &l, true, liveness_domain_interval(&l)));

		g_assert_cmpint(at, <=,
		    instances[i] <= 300 ? NOTICED_MAX_MS : LISTED_MAX_MS);
	}
}

/* Guards against heartbeats whose cost grows with the number of instances. */
static void
heartbeats_received_a_second_are_bounded(void)
{
	int n;

	for (n = 2; n <= 2200; n++) {
		liveness_t l = even(n, n < DOMAINS ? 1 : DOMAINS);
		double own = l.ndomain * 1000.0 / liveness_domain_interval(&l);
		double others =
		    (l.npeer - l.ndomain) * 1000.0 / liveness_interval(&l);

		g_assert_cmpfloat(own + others, <=, 170);
	}
}

/*
 * Guards against an instance of an older build, which announces no interval and
 * sends at that of all instances, being taken for dead.
 */
static void
instance_that_announces_nothing_has_the_longer_interval(void)
{
	liveness_t l = even(295, DOMAINS);

	g_assert_cmpint(
	    liveness_peer_interval(&l, true, 0), ==, liveness_interval(&l));
	g_assert_cmpint(
	    liveness_peer_interval(&l, false, 700), ==, liveness_interval(&l));
	g_assert_cmpint(
	    liveness_domain_interval(&l), <, liveness_interval(&l) / 3);
}

/* Guards against two intervals where all instances hear each other anyway. */
static void
few_instances_have_one_interval(void)
{
	liveness_t l = even(10, 2);

	g_assert_cmpint(
	    liveness_domain_interval(&l), ==, liveness_interval(&l));
}

#define T(name) g_test_add_func("/liveness/" #name, name)

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	T(stopped_instance_of_the_domain_is_noticed);
	T(heartbeats_received_a_second_are_bounded);
	T(instance_that_announces_nothing_has_the_longer_interval);
	T(few_instances_have_one_interval);
	return g_test_run();
}
