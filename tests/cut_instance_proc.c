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
	REFUSAL_MS = 300,  /* limit for a refusal that waits for nothing */
	KNOWN_MS = 1500,   /* until the daemons know each other */
	NOTICED_MS = 1600, /* well before a call's time limit */
	ALL_FAILED_MS = 5000,
	CONNECT_MS = 400, /* limit for a connection to be made */
	BACK_MS = 1000,
	UNUSED_MS = 4500, /* connections that are idle so long are closed */
};

/* @param pause before the cut, in ms */
static void
serve_while_cut(int ncut, link_state_t how, ms_t pause)
{
	site_t *t = site_new(DAEMONS, ENDPOINTS, 20);
	int64_t handed;
	ms_t from, to;
	int calls;

	site_run(t, 1000);
	fixture_run(t->st, pause);
	site_cut(t, ncut, how);
	site_run(t, WINDOW_MS);
	handed =
	    fixture_counter_sum(t->st, "ebonypitch_calls_handed_over_total");
	calls = t->n;
	from = clock_now(&machine_clock);
	site_run(t, COUNTED_MS);
	to = clock_now(&machine_clock);
	site_check_served(t, from, to);
	/* They go to an instance that can serve them, not from one to another.
	 */
	handed =
	    fixture_counter_sum(t->st, "ebonypitch_calls_handed_over_total") -
	    handed;
	g_assert_cmpint(handed, <=, 1.1 * (t->n - calls) * ncut / DAEMONS + 2);
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
	int64_t handed;
	int i, counted;

	site_run(t, 1000);
	for (i = 0; i < t->ndaemon; i++)
		links_set(t->links, i, LINK_RESET);
	site_run(t, WINDOW_MS);
	counted = t->n;
	handed =
	    fixture_counter_sum(t->st, "ebonypitch_calls_handed_over_total");
	site_run(t, 1000);
	g_assert_cmpint(
	    fixture_counter_sum(t->st, "ebonypitch_calls_handed_over_total"),
	    ==, handed);
	for (i = counted; i < t->n; i++) {
		caller_t *c = t->calls->pdata[i];

		caller_wait(c, ANSWER_MS);
		g_assert_cmpint(c->status, ==, 503);
		g_assert_cmpint(c->ended_at - c->started_at, <, REFUSAL_MS);
	}
	site_check_promises(t);
	site_free(t);
}

/* Guards against calls that go from one cut instance to the next. */
static void
calls_are_handed_on_once(void)
{
	site_t *t = site_new(2, ENDPOINTS, 20);
	caller_t *c;
	int i;

	fixture_run(t->st, KNOWN_MS);
	site_cut(t, 2, LINK_RESET);
	for (i = 0; i < 10; i++) {
		c = caller_call(t->st, 0, "GET", "/safe/a", "once",
		    "Deadline-Remaining: 1900\r\n");
		g_assert_true(caller_wait(c, ANSWER_MS));
		g_assert_cmpint(c->status, ==, 503);
		caller_free(c);
	}
	g_assert_cmpint(
	    fixture_counter(t->st, 0, "ebonypitch_calls_handed_over_total"), >,
	    0);
	g_assert_cmpint(
	    fixture_counter(t->st, 1, "ebonypitch_calls_handed_over_total"), ==,
	    0);
	site_free(t);
}

static bool
is_lost(void *st)
{
	return fixture_counter(st, 0, "ebonypitch_reach_lost_total") > 0;
}

/* Guards against noticing only when the calls there have run out of time. */
static void
silence_is_noticed_by_itself(void)
{
	site_t *t = site_new(2, ENDPOINTS, 20);
	caller_t *c;

	fixture_run(t->st, KNOWN_MS);
	c = caller_expect(t->st, 200, "POST", "/once/a", "first",
	    "Deadline-Remaining: 1900\r\n");
	caller_free(c);
	site_cut(t, 1, LINK_HANGING);
	c = caller_call(t->st, 0, "POST", "/once/a", "second",
	    "Deadline-Remaining: 1900\r\n");
	g_assert_true(fixture_run_until(t->st, is_lost, t->st, NOTICED_MS));
	caller_free(c);
	site_free(t);
}

/* Guards against trying each endpoint that hangs with a call of its own. */
static void
calls_do_not_find_out_for_each_endpoint(void)
{
	site_t *t = site_new(2, FIXTURE_ENDPOINTS, 20);
	char id[16];
	int i;

	fixture_run(t->st, KNOWN_MS);
	site_cut(t, 1, LINK_HANGING);
	caller_free(caller_expect(t->st, 200, "GET", "/safe/a", "first",
	    "Deadline-Remaining: 1900\r\n"));
	fixture_run(t->st, CONNECT_MS);
	for (i = 0; i < 10; i++) {
		caller_t *c;

		snprintf(id, sizeof(id), "quick%d", i);
		c = caller_expect(t->st, 200, "POST", "/once/a", id,
		    "Deadline-Remaining: 1900\r\n");
		g_assert_cmpint(c->ended_at - c->started_at, <, CONNECT_MS);
		caller_free(c);
	}
	site_free(t);
}

/*
 * Guards against an instance that still reaches one endpoint, and takes turns
 * between having lost and having regained its way.
 */
static void
most_but_not_all_are_cut(void)
{
	site_t *t = site_new(3, FIXTURE_ENDPOINTS, 20);
	ms_t from;
	int i;

	site_run(t, 500);
	for (i = 1; i < FIXTURE_ENDPOINTS; i++)
		links_set_one(t->links, 0, i, LINK_RESET);
	site_run(t, WINDOW_MS);
	from = clock_now(&machine_clock);
	site_run(t, COUNTED_MS);
	site_check_served(t, from, clock_now(&machine_clock));
	g_assert_cmpint(
	    fixture_counter(t->st, 0, "ebonypitch_reach_lost_total"), <=, 3);
	site_check_promises(t);
	site_free(t);
}

static bool
reaches_all(void *st)
{
	return fixture_counter(st, 0, "ebonypitch_endpoints_unreached") == 0;
}

/* Guards against a return that takes a probe's interval for each endpoint. */
static void
all_endpoints_are_back_at_once(void)
{
	site_t *t = site_new(2, FIXTURE_ENDPOINTS, 20);
	caller_t *c;

	fixture_run(t->st, KNOWN_MS);
	site_cut(t, 1, LINK_RESET);
	c = caller_expect(t->st, 200, "GET", "/safe/a", "first",
	    "Deadline-Remaining: 1900\r\n");
	caller_free(c);
	/* Each of them is known to have failed by then. */
	fixture_run(t->st, ALL_FAILED_MS);
	g_assert_cmpint(
	    fixture_counter(t->st, 0, "ebonypitch_endpoints_unreached"), ==,
	    FIXTURE_ENDPOINTS);
	site_cut(t, 1, LINK_OPEN);
	g_assert_true(fixture_run_until(t->st, reaches_all, t->st, BACK_MS));
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
	T(calls_are_handed_on_once);
	T(silence_is_noticed_by_itself);
	T(calls_do_not_find_out_for_each_endpoint);
	T(most_but_not_all_are_cut);
	T(all_endpoints_are_back_at_once);
	T(cut_comes_and_goes);
	return g_test_run();
}
