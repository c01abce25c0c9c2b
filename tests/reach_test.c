#include "policy/reach.h"

#include <glib.h>

enum {
	MANY = 18, /* endpoints of a service */
};

/* Guards against taking the end of single endpoints for a partition. */
static void
some_failures_arent_a_lost_way(void)
{
	reach_t r = { 0 };
	int i;

	for (i = 0; i < 100; i++) {
		g_assert_false(reach_failed(&r, 1, MANY, i));
		g_assert_false(reach_failed(&r, 2, MANY, i));
	}
	g_assert_true(reach_is_failing(&r));
	g_assert_false(r.lost);
	g_assert_false(reach_connected(&r));
	g_assert_false(reach_is_failing(&r));
	g_assert_false(reach_failed(&r, 3, MANY, 200));
	g_assert_false(r.lost);
}

/* Guards against going on to count failures that a connection refuted. */
static void
failures_of_different_endpoints_lose_the_way(void)
{
	reach_t r = { 0 };

	reach_failed(&r, 1, MANY, 10);
	reach_failed(&r, 2, MANY, 11);
	g_assert_true(reach_failed(&r, 3, MANY, 12));
	g_assert_true(r.lost);
	g_assert_cmpint(r.lost_at, ==, 12);
	g_assert_false(reach_failed(&r, 4, MANY, 13));
	g_assert_cmpint(r.lost_at, ==, 12);
	g_assert_true(reach_connected(&r));
	g_assert_false(r.lost);
}

/* Guards against a service that is too small ever to be lost. */
static void
few_endpoints_are_enough_if_there_are_no_more(void)
{
	reach_t r = { 0 };

	g_assert_false(reach_failed(&r, 1, 2, 10));
	g_assert_true(reach_failed(&r, 2, 1, 11));
	r = (reach_t){ 0 };
	g_assert_true(reach_failed(&r, 1, 1, 10));
	r = (reach_t){ 0 };
	g_assert_false(reach_failed(&r, 1, 3, 10));
	g_assert_false(reach_failed(&r, 2, 2, 11));
	g_assert_true(reach_failed(&r, 3, 1, 12));
}

/* Guards against probing a service that answers. */
static void
silence_is_a_reason_to_probe(void)
{
	reach_t r = { 0 };

	g_assert_cmpint(reach_quiet_at(&r), ==, 0);
	reach_asked(&r, 1000);
	reach_asked(&r, 1400);
	g_assert_cmpint(reach_quiet_at(&r), ==, 1000 + REACH_QUIET_MS);
	reach_probed(&r, 1000 + REACH_QUIET_MS);
	g_assert_cmpint(reach_quiet_at(&r), ==, 1000 + 2 * REACH_QUIET_MS);
	reach_heard(&r);
	g_assert_cmpint(reach_quiet_at(&r), ==, 0);
}

/* Guards against many probes of an endpoint that is gone. */
static void
probes_of_an_endpoint_become_rare(void)
{
	reach_ep_t e = { 0 };
	ms_t now = 1000;
	int n;

	for (n = 0; now < 61000; n++) {
		reach_ep_failed(&e, now);
		g_assert_cmpint(e.way, ==, WAY_FAILED);
		g_assert_cmpint(
		    e.probe_at - now, <=, REACH_PROBE_INTERVAL_MAX_MS);
		now = e.probe_at;
	}
	g_assert_cmpint(n, <, 35);
	reach_ep_connected(&e);
	g_assert_cmpint(e.way, ==, WAY_OPEN);
	reach_ep_failed(&e, now);
	g_assert_cmpint(e.probe_at, ==, now + REACH_PROBE_INTERVAL_MS);
}

#define T(name) g_test_add_func("/reach/" #name, name)

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	T(some_failures_arent_a_lost_way);
	T(failures_of_different_endpoints_lose_the_way);
	T(few_endpoints_are_enough_if_there_are_no_more);
	T(silence_is_a_reason_to_probe);
	T(probes_of_an_endpoint_become_rare);
	return g_test_run();
}
