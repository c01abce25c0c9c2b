/*
 * An instance that is partitioned from all endpoints, while callers, the store
 * and the other instances still reach it.
 */
#include "tests/cut_site.h"

enum {
	DAEMONS = 4,
	ENDPOINTS = 6,
	WINDOW_MS = 3000,  /* stability_window_ms: then calls are counted */
	COUNTED_MS = 2500, /* for so long */
	ANSWER_MS = 3000,
	REFUSAL_MS = 300, /* limit for a refusal that waits for nothing */
	UNUSED_MS = 4500, /* connections that are idle so long are closed */
};

/* @param pause before the cut, in ms */
static void
serve_while_cut(int ncut, link_state_t how, ms_t pause)
{
	site_t *t = site_new(DAEMONS, ENDPOINTS, 20);
	ms_t from, to;

	site_run(t, 1000);
	fixture_run(t->st, pause);
	site_cut(t, ncut, how);
	site_run(t, WINDOW_MS);
	from = clock_now(&machine_clock);
	site_run(t, COUNTED_MS);
	to = clock_now(&machine_clock);
	site_check_served(t, from, to);
	site_cut(t, ncut, LINK_OPEN);
	site_run(t, WINDOW_MS);
	from = clock_now(&machine_clock);
	site_run(t, 1000);
	site_check_served(t, from, clock_now(&machine_clock));
	site_check_promises(t);
	site_free(t);
}

/* Guards against refusing calls that other instances could serve. */
static void
connections_are_reset(void)
{
	serve_while_cut(1, LINK_RESET, 0);
}

/* Guards against waiting for endpoints that can't answer. */
static void
connections_hang(void)
{
	serve_while_cut(1, LINK_HANGING, 0);
}

/* Guards against taking bytes on old connections for a way to make new ones. */
static void
old_connections_go_on(void)
{
	serve_while_cut(1, LINK_KEPT, UNUSED_MS);
}

/* Guards against taking a connection that only sends for a sound one. */
static void
only_requests_pass(void)
{
	serve_while_cut(1, LINK_ONE_WAY, 0);
}

/* Guards against two cut instances that count on each other. */
static void
half_are_cut(void)
{
	serve_while_cut(DAEMONS / 2, LINK_RESET, 0);
}

/* Guards against a search that misses the only instance with a way. */
static void
all_but_one_are_cut(void)
{
	serve_while_cut(DAEMONS - 1, LINK_HANGING, 0);
}

/* Guards against calls that wait or travel where no endpoint can be reached. */
static void
endpoints_down_for_all_are_refused_at_once(void)
{
	site_t *t = site_new(3, ENDPOINTS, 20);
	int i, counted;

	site_run(t, 1000);
	for (i = 0; i < t->ndaemon; i++)
		links_set(t->links, i, LINK_RESET);
	site_run(t, WINDOW_MS);
	counted = t->n;
	site_run(t, 1000);
	for (i = counted; i < t->n; i++) {
		caller_t *c = t->calls->pdata[i];

		caller_wait(c, ANSWER_MS);
		g_assert_cmpint(c->status, ==, 503);
		g_assert_cmpint(c->ended_at - c->started_at, <, REFUSAL_MS);
	}
	site_check_promises(t);
	site_free(t);
}

/* Guards against losing calls in a cut that comes and goes. */
static void
cut_comes_and_goes(void)
{
	site_t *t = site_new(DAEMONS, ENDPOINTS, 20);
	ms_t from;
	int i;

	site_run(t, 1000);
	from = clock_now(&machine_clock);
	for (i = 0; i < 3; i++) {
		links_set(t->links, 0, LINK_RESET);
		site_run(t, 2000);
		links_set(t->links, 0, LINK_OPEN);
		site_run(t, 3000);
	}
	/* Calls on connections that are reset as a cut begins may fail. */
	site_check_served(t, from, clock_now(&machine_clock));
	site_check_promises(t);
	site_free(t);
}

#define T(name) g_test_add_func("/cut_instance/" #name, name)

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	T(connections_are_reset);
	T(connections_hang);
	T(old_connections_go_on);
	T(only_requests_pass);
	T(half_are_cut);
	T(all_but_one_are_cut);
	T(endpoints_down_for_all_are_refused_at_once);
	T(cut_comes_and_goes);
	return g_test_run();
}
