/*
 * An endpoint that names a limit in its answers gets no more calls than that
 * from all daemons together. Three daemons, of which each sees the answers to
 * its own calls only.
 */
#include "tests/fixture.h"

#include <stdlib.h>
#include <string.h>

enum {
	DAEMONS = 3,
	EVENTS = 3,
	EVENT_GAP_MS = 20,
	STABILITY_MS = 3000, /* stability_window_ms of the daemons' settings */
	WINDOW_MS = 4000,    /* in which arrivals are counted */
	EXTRA = 5,	     /* arrivals allowed beyond the limit's factor */
	CALL_GAP_MS = 25,
	SPAN_MS = 9000,
	ANSWER_MS = 7000,
	REFUSAL_MS = 500, /* of a call that can't run */
};
static const double factor = 1.5; /* on what the limit allows in a window */

typedef struct traffic {
	fixture_t *st;
	GPtrArray *calls; /* caller_t */
	int n;
	int daemons; /* the first of them get all calls */
	bool plain;  /* calls to "app", else to "llm" */
} traffic_t;

static traffic_t *
traffic_new(int nendpoint, bool plain)
{
	traffic_t *t = g_new0(traffic_t, 1);
	fake_endpoint_opts_t stream = { .model = "m1",
		.events = EVENTS,
		.event_gap = EVENT_GAP_MS,
		.adapter_slots = 4 };
	fake_endpoint_opts_t app = { .plain_ms = 20 };
	int i;

	t->st = fixture_new();
	fixture_put_config(t->st, "");
	for (i = 0; i < nendpoint; i++)
		fixture_add_endpoint(
		    t->st, plain ? &app : &stream, plain ? "app" : "llm");
	for (i = 0; i < DAEMONS; i++)
		fixture_start_daemon(t->st, i, true);
	t->calls = g_ptr_array_new();
	t->daemons = DAEMONS;
	t->plain = plain;
	return t;
}

static void
traffic_free(traffic_t *t)
{
	caller_list_free(t->calls);
	fixture_free(t->st);
	g_free(t);
}

static caller_t *
make_call(traffic_t *t)
{
	char id[32], headers[160];
	int n = t->n++;
	caller_t *c;

	snprintf(id, sizeof(id), "r%d", n);
	snprintf(headers, sizeof(headers),
	    t->plain ? "Deadline-Remaining: 1900\r\n"
		     : "Model: m1\r\nToken-Usage: 40,6\r\n"
		       "Deadline-Remaining: 5000\r\n"
		       "Prompt-Prefix: f1:20,%x:20\r\n",
	    0x1000 + n);
	c = caller_call(t->st, n % t->daemons, t->plain ? "GET" : "POST",
	    t->plain ? "/safe/a" : "/gen/a", id, headers);
	g_ptr_array_add(t->calls, c);
	return c;
}

static void
traffic_run(traffic_t *t, ms_t span)
{
	ms_t now = clock_now(&machine_clock), end = now + span, next = now;

	for (; now < end; now = clock_now(&machine_clock)) {
		if (now >= next) {
			make_call(t);
			next += CALL_GAP_MS;
		}
		loop_turn(&t->st->loop, 5);
	}
}

/* Arrivals at an endpoint from @p from on, before @p to. */
static int
arrivals(const fixture_t *st, int endpoint, ms_t from, ms_t to)
{
	const GArray *a = fake_endpoint_arrivals(st->endpoint[endpoint]);
	guint i;
	int n = 0;

	for (i = 0; i < a->len; i++)
		n += g_array_index(a, ms_t, i) >= from &&
		     g_array_index(a, ms_t, i) < to;
	return n;
}

/* The most arrivals in any window that begins at or after @p from. */
static int
most_in_window(const fixture_t *st, int endpoint, ms_t from)
{
	const GArray *a = fake_endpoint_arrivals(st->endpoint[endpoint]);
	guint i;
	int n, most = 0;

	for (i = 0; i < a->len; i++) {
		ms_t at = g_array_index(a, ms_t, i);

		n = at >= from ? arrivals(st, endpoint, at, at + WINDOW_MS) : 0;
		if (n > most)
			most = n;
	}
	return most;
}

static void
assert_limit_kept(const fixture_t *st, int endpoint, double limit, ms_t from)
{
	int most = most_in_window(st, endpoint, from);

	g_test_message("limit=%g most=%d", limit, most);
	g_assert_cmpfloat(most, <=, factor * limit * WINDOW_MS / 1000 + EXTRA);
}

/* Guards against each daemon sending as much as before, or the whole limit. */
static void
limit_bounds_the_sum_of_all_daemons(void)
{
	traffic_t *t = traffic_new(3, false);
	ms_t named;

	traffic_run(t, 1000);
	fake_endpoint_set_limit(t->st->endpoint[0], "1.3");
	named = t->st->loop.now;
	traffic_run(t, SPAN_MS);
	assert_limit_kept(t->st, 0, 1.3, named + STABILITY_MS);
	/* The others take the rest. */
	g_assert_cmpint(arrivals(t->st, 1, named, INT64_MAX) +
			    arrivals(t->st, 2, named, INT64_MAX),
	    >, SPAN_MS / CALL_GAP_MS / 2);
	traffic_free(t);
}

/* Guards against an older copy of the entry undoing the limit. */
static void
limit_outlives_an_entry_with_an_earlier_start(void)
{
	traffic_t *t = traffic_new(3, false);
	int64_t born = fake_endpoint_born(t->st->endpoint[0]);
	ms_t named, age;

	fake_endpoint_set_limit(t->st->endpoint[0], "1.3");
	named = t->st->loop.now;
	traffic_run(t, STABILITY_MS);
	for (age = 1; age <= 8; age++) {
		fake_endpoint_set_born(t->st->endpoint[0], born - 1000 * age);
		fixture_put_entry(t->st, 0, "app", false);
		traffic_run(t, 400);
	}
	assert_limit_kept(t->st, 0, 1.3, named + STABILITY_MS);
	traffic_free(t);
}

/* Arrivals at endpoint 0 in a second, lately. */
static double
rate_now(const fixture_t *st, ms_t span)
{
	ms_t now = clock_now(&machine_clock);

	return (double)arrivals(st, 0, now - span, now + 1) * 1000 /
	       (double)span;
}

/* Guards against an even split: all calls come to one daemon. */
static void
skewed_calls_get_the_whole_limit(void)
{
	traffic_t *t = traffic_new(1, true);
	ms_t named;

	fake_endpoint_set_limit(t->st->endpoint[0], "4");
	named = t->st->loop.now;
	t->daemons = 1;
	traffic_run(t, SPAN_MS);
	assert_limit_kept(t->st, 0, 4, named + STABILITY_MS);
	/* A third would be 1.3 a second. */
	g_assert_cmpfloat(rate_now(t->st, SPAN_MS - STABILITY_MS), >, 2);
	traffic_free(t);
}

/* Guards against calls that wait for a permit until their deadline. */
static void
call_that_cant_run_is_refused_at_once(void)
{
	traffic_t *t = traffic_new(1, false);
	guint from, i;
	int refused = 0;

	fake_endpoint_set_limit(t->st->endpoint[0], "0.5");
	traffic_run(t, 2000);
	from = t->calls->len;
	traffic_run(t, 3000);
	for (i = from; i < t->calls->len; i++) {
		const caller_t *c = t->calls->pdata[i];

		g_assert_true(caller_wait(t->calls->pdata[i], ANSWER_MS));
		if (c->status == 200)
			continue;
		refused++;
		g_assert_cmpint(c->status, ==, 503);
		g_assert_nonnull(strstr(c->headers, "Retry-After: "));
		g_assert_cmpint(c->ended_at - c->started_at, <, REFUSAL_MS);
	}
	g_assert_cmpint(refused, >, 0);
	traffic_free(t);
}

/* Guards against a limit that is kept after it has changed or ended. */
static void
limit_may_change_and_end(void)
{
	traffic_t *t = traffic_new(1, true);
	ms_t changed;

	fake_endpoint_set_limit(t->st->endpoint[0], "1");
	traffic_run(t, 4000);
	g_assert_cmpfloat(rate_now(t->st, 2000), <=, 2);
	fake_endpoint_set_limit(t->st->endpoint[0], "6");
	changed = t->st->loop.now;
	traffic_run(t, SPAN_MS);
	assert_limit_kept(t->st, 0, 6, changed);
	g_assert_cmpfloat(rate_now(t->st, WINDOW_MS), >, 3);
	fake_endpoint_set_limit(t->st->endpoint[0], NULL);
	traffic_run(t, 4000);
	g_assert_cmpfloat(rate_now(t->st, 2000), >, 15);
	traffic_free(t);
}

/* Guards against a limit of a process that has ended, for the next one. */
static void
limit_ends_with_its_process(void)
{
	traffic_t *t = traffic_new(1, true);

	fake_endpoint_set_limit(t->st->endpoint[0], "0.2");
	traffic_run(t, 3000);
	fake_endpoint_set_limit(t->st->endpoint[0], NULL);
	fake_endpoint_restart(t->st->endpoint[0], "v1");
	fixture_put_entry(t->st, 0, "app", false);
	traffic_run(t, 3000);
	g_assert_cmpfloat(rate_now(t->st, 1000), >, 15);
	traffic_free(t);
}

/* Guards against a value that isn't a rate stopping an endpoint. */
static void
malformed_limit_bounds_nothing(void)
{
	static const char *const values[] = { "-1", "NaN", "1e3", "few",
		"99999999999" };
	traffic_t *t = traffic_new(1, true);
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(values); i++) {
		fake_endpoint_set_limit(t->st->endpoint[0], values[i]);
		traffic_run(t, 1000);
		g_assert_cmpfloat(rate_now(t->st, 1000), >, 15);
	}
	traffic_free(t);
}

/* Guards against a daemon that learns a limit only from its own first calls. */
static void
daemon_that_got_no_answer_is_told(void)
{
	traffic_t *t = traffic_new(1, true);
	ms_t from;
	int i;

	fake_endpoint_set_limit(t->st->endpoint[0], "0.5");
	t->daemons = 2;
	traffic_run(t, 5000);
	from = clock_now(&machine_clock);
	for (i = 0; i < 20; i++)
		g_ptr_array_add(
		    t->calls, caller_call(t->st, 2, "GET", "/safe/a", "late",
				  "Deadline-Remaining: 1900\r\n"));
	fixture_run(t->st, 1000);
	g_assert_cmpint(arrivals(t->st, 0, from, INT64_MAX), <=, 2);
	traffic_free(t);
}

/* Guards against repeats of failed calls that pass the limit. */
static void
repeats_are_bounded_too(void)
{
	traffic_t *t = traffic_new(2, true);
	ms_t named = t->st->loop.now;
	int i;

	for (i = 0; i < 2; i++) {
		fake_endpoint_set_limit(t->st->endpoint[i], "1");
		fake_endpoint_set_fault(t->st->endpoint[i], ENDPOINT_ERROR);
	}
	traffic_run(t, SPAN_MS);
	for (i = 0; i < 2; i++)
		assert_limit_kept(t->st, i, 1, named + STABILITY_MS);
	traffic_free(t);
}

/*
 * Guards against a burst, or a standstill, when the instance that gives permits
 * is killed.
 */
static void
limit_holds_when_instances_are_killed(void)
{
	traffic_t *t = traffic_new(1, true);
	ms_t named = t->st->loop.now, killed;
	int i;

	fake_endpoint_set_limit(t->st->endpoint[0], "2");
	traffic_run(t, 4000);
	for (i = 0; i < DAEMONS - 1; i++) {
		proc_kill(t->st->daemon[i]);
		t->st->daemon[i] = NULL;
		killed = clock_now(&machine_clock);
		traffic_run(t, 6000);
		fixture_start_daemon(t->st, i, true);
		g_assert_cmpint(arrivals(t->st, 0, killed, INT64_MAX), >, 0);
	}
	assert_limit_kept(t->st, 0, 2, named + STABILITY_MS);
	traffic_free(t);
}

#define T(name) g_test_add_func("/limit/" #name, name)

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	T(limit_bounds_the_sum_of_all_daemons);
	T(limit_outlives_an_entry_with_an_earlier_start);
	T(skewed_calls_get_the_whole_limit);
	T(call_that_cant_run_is_refused_at_once);
	T(limit_may_change_and_end);
	T(limit_ends_with_its_process);
	T(malformed_limit_bounds_nothing);
	T(daemon_that_got_no_answer_is_told);
	T(repeats_are_bounded_too);
	T(limit_holds_when_instances_are_killed);
	return g_test_run();
}
