/*
 * An endpoint that has said in an answer that it leaves gets no more calls,
 * whatever its entry in the store shows afterwards.
 */
#include "tests/links.h"
#include "tests/traffic.h"

#include <signal.h>
#include <string.h>

enum {
	DAEMONS = 3,
	ANSWER_MS = 3000,
	TOLD_MS = 700,	     /* by then all daemons know it */
	ENTRY_READ_MS = 500, /* by then all daemons have read an entry */
	FREED_MS = 23000,    /* a removed endpoint is forgotten by then */
	PLAIN_MS = 700,	     /* of calls that keep others waiting */
	CONNECTING_MS = 100,
	SYN_AGAIN_MS = 1200, /* a lost SYN is sent again by then */
	CALLS = 40,	     /* more than an endpoint takes at once */
};
static const char *const says = "Server-Leaving: 1\r\n";

/* Endpoint 0 says to all daemons that it leaves. */
static traffic_t *
traffic_with_leaving(void)
{
	traffic_t *t = traffic_new(2, DAEMONS);

	traffic_run(t, 500);
	fake_endpoint_set_headers(t->st->endpoint[0], says);
	traffic_run(t, TOLD_MS);
	return t;
}

static void
assert_no_call_reaches_0(traffic_t *t, ms_t span)
{
	ms_t from = clock_now(&machine_clock);

	traffic_run(t, span);
	g_assert_cmpint(arrivals(t->st, 0, from, INT64_MAX), ==, 0);
	g_assert_cmpint(count_unserved(t, 0), ==, 0);
}

/* Guards against an older copy of the entry undoing what was said. */
static void
entry_with_an_earlier_start(void)
{
	traffic_t *t = traffic_with_leaving();
	int64_t born = fake_endpoint_born(t->st->endpoint[0]);

	fake_endpoint_set_born(t->st->endpoint[0], born - 5000);
	fixture_put_entry(t->st, 0, "app", false);
	fixture_run(t->st, ENTRY_READ_MS);
	assert_no_call_reaches_0(t, 1000);
	fake_endpoint_set_born(t->st->endpoint[0], born);
	fixture_put_entry(t->st, 0, "app", false);
	fixture_run(t->st, ENTRY_READ_MS);
	assert_no_call_reaches_0(t, 1000);
	traffic_free(t);
}

/*
 * Guards against an entry of the process that said it undoing it, as the entry
 * is read only afterwards.
 */
static void
entry_that_is_read_late(void)
{
	traffic_t *t = traffic_new(2, DAEMONS);

	traffic_run(t, 500);
	fake_endpoint_restart(t->st->endpoint[0], "v1");
	traffic_run(t, 1000);
	fake_endpoint_set_headers(t->st->endpoint[0], says);
	traffic_run(t, TOLD_MS);
	fixture_put_entry(t->st, 0, "app", false);
	fixture_run(t->st, ENTRY_READ_MS);
	assert_no_call_reaches_0(t, 1500);
	traffic_free(t);
}

/* Guards against an entry that lapses and is written again undoing it. */
static void
entry_that_lapses(void)
{
	traffic_t *t = traffic_with_leaving();

	fake_store_del(t->st->store, "servers", t->st->id[0]);
	traffic_run(t, 1000);
	fixture_put_entry(t->st, 0, "app", false);
	fixture_run(t->st, ENTRY_READ_MS);
	assert_no_call_reaches_0(t, 1500);
	traffic_free(t);
}

/* Guards against forgetting it with a removed endpoint that comes back. */
static void
entry_that_is_away_for_long(void)
{
	traffic_t *t = traffic_with_leaving();

	fake_store_del(t->st->store, "servers", t->st->id[0]);
	fixture_run(t->st, FREED_MS);
	fixture_put_entry(t->st, 0, "app", false);
	fixture_run(t->st, ENTRY_READ_MS);
	assert_no_call_reaches_0(t, 1500);
	traffic_free(t);
}

/* Guards against sending calls that waited while their endpoint said it. */
static void
call_that_waits(void)
{
	fixture_t *st = fixture_new();
	fake_endpoint_opts_t app = { .plain_ms = PLAIN_MS };
	caller_t *c[CALLS];
	char id[32];
	int i, served = 0, before;

	fixture_put_config(st, "");
	fixture_add_endpoint(st, &app, "app");
	fixture_start_daemon(st, 0, true);
	for (i = 0; i < CALLS; i++) {
		snprintf(id, sizeof(id), "w%d", i);
		c[i] = caller_call(st, 0, "GET", "/safe/a", id,
		    "Deadline-Remaining: 1900\r\n");
	}
	fixture_run(st, PLAIN_MS / 2);
	before = arrivals(st, 0, 0, INT64_MAX);
	fake_endpoint_set_headers(st->endpoint[0], says);
	for (i = 0; i < CALLS; i++) {
		g_assert_true(caller_wait(c[i], ANSWER_MS));
		served += c[i]->status == 200;
	}
	g_assert_cmpint(before, <, CALLS);
	g_assert_cmpint(arrivals(st, 0, 0, INT64_MAX), ==, before);
	g_assert_cmpint(served, ==, before);
	for (i = 0; i < CALLS; i++)
		caller_free(c[i]);
	fixture_free(st);
}

typedef struct engines {
	fixture_t *st;
	int n; /* calls made */
} engines_t;

static void
on_models_changed(void *arg, fake_endpoint_t *ep)
{
	fixture_t *st = arg;
	int i;

	for (i = 0; i < st->nendpoint; i++)
		if (st->endpoint[i] == ep)
			fixture_put_entry(st, i, "llm", false);
}

static engines_t
engines_new(int n)
{
	static const model_spec_t models[] = { { "m1", 70000, 60, 300 },
		{ "m2", 70000, 60, 300 } };
	engines_t e = { .st = fixture_new() };
	fake_endpoint_opts_t o = { .model = "m1",
		.models = models,
		.nmodel = 2,
		.weights_mb = 200000,
		.adapter_slots = 4,
		.events = 2,
		.event_gap = 10,
		.changed = on_models_changed,
		.arg = e.st };

	fixture_put_config(e.st, "");
	while (n-- > 0)
		fixture_add_endpoint(e.st, &o, "llm");
	return e;
}

/* @return the status of a call for a model */
static int
call_model(engines_t *e, const char *model)
{
	char id[32], headers[160];
	caller_t *c;
	int status;

	snprintf(id, sizeof(id), "m%d", e->n++);
	snprintf(headers, sizeof(headers),
	    "Model: %s\r\nToken-Usage: 20,20\r\nPrompt-Prefix: f1:20\r\n"
	    "Deadline-Remaining: 3000\r\n",
	    model);
	c = caller_call(e->st, 0, "POST", "/gen/a", id, headers);
	caller_wait(c, ANSWER_MS);
	status = c->done ? c->status : 0;
	caller_free(c);
	return status;
}

/* Guards against reading it in answers to calls only: reports. */
static void
report_says_it(void)
{
	engines_t e = engines_new(1);

	fake_endpoint_set_control_headers(e.st->endpoint[0], says);
	fixture_start_daemon(e.st, 0, true);
	fixture_run(e.st, 3000);
	g_assert_cmpint(call_model(&e, "m1"), ==, 503);
	g_assert_cmpint(arrivals(e.st, 0, 0, INT64_MAX), ==, 0);
	fixture_free(e.st);
}

/* Guards against reading it in answers to calls only: orders. */
static void
answer_to_an_order_says_it(void)
{
	engines_t e = engines_new(1);
	ms_t from;

	fixture_start_daemon(e.st, 0, true);
	fixture_run(e.st, 3000);
	g_assert_cmpint(call_model(&e, "m1"), ==, 200);
	fake_endpoint_set_control_headers(e.st->endpoint[0], says);
	/* Else the entry may show the adapter before the answer is read. */
	fake_store_mute_watches(e.st->store, true);
	g_assert_cmpint(call_model(&e, "m1/a1"), ==, 503);
	g_assert_cmpint(fake_endpoint_orders(e.st->endpoint[0])->len, >, 0);
	from = clock_now(&machine_clock);
	g_assert_cmpint(call_model(&e, "m1"), ==, 503);
	g_assert_cmpint(arrivals(e.st, 0, from, INT64_MAX), ==, 0);
	fixture_free(e.st);
}

#define T(name) g_test_add_func("/leaving/" #name, name)

/*
 * Guards against a request that leaves as its connection is made, though its
 * endpoint was seen to leave meanwhile. The daemon stands still until both have
 * happened, the entry first.
 */
static void
connection_made_after_it_left(void)
{
	fixture_t *st = fixture_new();
	links_t *l = links_new(st);
	fake_endpoint_opts_t app = { .plain_ms = 20 };
	caller_t *c;

	fixture_put_config(st, "");
	fixture_add_endpoint(st, &app, "app");
	fixture_add_endpoint(st, &app, "app");
	/* The nearer one is chosen. */
	st->domain[1] = "south";
	fixture_put_entry(st, 1, "app", false);
	fixture_start_daemon(st, 0, true);
	fixture_run(st, ENTRY_READ_MS);
	links_set_one(l, 0, 0, LINK_HANGING);
	c = caller_call(st, 0, "POST", "/once/a", "late-connection",
	    "Deadline-Remaining: 4000\r\n");
	fixture_run(st, CONNECTING_MS);
	proc_signal(st->daemon[0], SIGSTOP);
	fixture_put_entry(st, 0, "app", true);
	fixture_run(st, CONNECTING_MS);
	links_set_one(l, 0, 0, LINK_OPEN);
	fixture_run(st, SYN_AGAIN_MS);
	proc_signal(st->daemon[0], SIGCONT);
	g_assert_true(caller_wait(c, ANSWER_MS));
	g_assert_cmpint(c->status, ==, 200);
	g_assert_cmpint(arrivals(st, 0, 0, INT64_MAX), ==, 0);
	g_assert_cmpint(arrivals(st, 1, 0, INT64_MAX), ==, 1);
	caller_free(c);
	fixture_stop_daemons(st);
	links_free(l);
	fixture_free(st);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	T(entry_with_an_earlier_start);
	T(entry_that_is_read_late);
	T(entry_that_lapses);
	T(entry_that_is_away_for_long);
	T(call_that_waits);
	T(report_says_it);
	T(answer_to_an_order_says_it);
	T(connection_made_after_it_left);
	return g_test_run();
}
