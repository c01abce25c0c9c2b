/*
 * Calls for models and adapters that no endpoint holds: they wait only for a
 * load that ends in time, and are refused at once otherwise.
 */
#include "policy/wait.h"

#include <glib.h>

static const wait_facts_t rare = { .time = 8000,
	.target = 4000,
	.ready_in = -1,
	.load = 1600,
	.first = 150,
	.asked = true };

/* Guards against a call that waits to its deadline for a load nobody ordered.
 */
static void
load_that_nobody_ordered_isn_t_waited_for(void)
{
	wait_facts_t f = rare;
	ms_t retry;

	g_assert_true(wait_for_load(&f, &retry));
	f.waited = 300;
	g_assert_false(wait_for_load(&f, &retry));
	g_assert_cmpint(retry, >=, f.load);
	f.waited = 0;
	f.asked = false;
	g_assert_false(wait_for_load(&f, &retry));
}

/* Guards against refusing a call whose model is about to be loaded. */
static void
load_under_way_is_waited_for(void)
{
	wait_facts_t f = rare;
	ms_t retry;

	f.waited = 2000;
	f.ready_in = 1000;
	g_assert_true(wait_for_load(&f, &retry));
	/* Also beyond the target: late is better than never. */
	f.waited = 4500;
	g_assert_true(wait_for_load(&f, &retry));
}

/* Guards against a wait of which it is known that it ends too late. */
static void
load_that_ends_too_late_is_refused_at_once(void)
{
	wait_facts_t f = rare;
	ms_t retry;

	f.ready_in = 9000;
	g_assert_false(wait_for_load(&f, &retry));
	g_assert_cmpint(retry, >=, 9000);
	/* A caller that returns has less time left. */
	f.ready_in = 1700;
	f.time = 1872;
	g_assert_false(wait_for_load(&f, &retry));
}

/* Guards against waiting for a slot of an adapter until the deadline. */
static void
adapter_is_waited_for_until_it_would_be_late(void)
{
	wait_facts_t f = { .time = 6000,
		.target = 1200,
		.ready_in = -1,
		.load = 400,
		.first = 100,
		.asked = true,
		.adapter = true };
	ms_t retry;

	f.waited = 1100;
	g_assert_true(wait_for_load(&f, &retry));
	f.waited = 1200;
	g_assert_false(wait_for_load(&f, &retry));
	f.waited = 1000;
	f.time = 1700;
	g_assert_false(wait_for_load(&f, &retry));
}

/* The property behind all: no call waits longer than it can be served. */
static void
no_wait_ends_at_the_deadline(void)
{
	GRand *g = g_rand_new_with_seed(7);
	int i;

	for (i = 0; i < 20000; i++) {
		wait_facts_t f = { .time = g_rand_int_range(g, 1, 20000),
			.target = g_rand_int_range(g, 1, 20000),
			.ready_in = g_rand_int_range(g, -1, 10000),
			.load = g_rand_int_range(g, 1, 10000),
			.first = g_rand_int_range(g, 0, 2000),
			.asked = g_rand_boolean(g),
			.adapter = g_rand_boolean(g) };
		ms_t retry;

		f.waited = g_rand_int_range(g, 0, (gint32)f.time + 1);
		if (!wait_for_load(&f, &retry)) {
			g_assert_cmpint(retry, >, 0);
			continue;
		}
		g_assert_cmpint(f.waited, <, f.time);
		if (f.ready_in >= 0)
			g_assert_cmpfloat(
			    (double)(f.waited + f.ready_in), <, f.time);
	}
	g_rand_free(g);
}

#define T(name) g_test_add_func("/wait/" #name, name)

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	T(load_that_nobody_ordered_isn_t_waited_for);
	T(load_under_way_is_waited_for);
	T(load_that_ends_too_late_is_refused_at_once);
	T(adapter_is_waited_for_until_it_would_be_late);
	T(no_wait_ends_at_the_deadline);
	return g_test_run();
}
