/*
 * Endpoints of several software versions serve side by side: a stream may go on
 * only at the version that began it, within one answer and when its caller
 * takes it up at another daemon. Endpoints don't check versions.
 */
#include "tests/cluster.h"
#include "tests/take_up.h"

#include <signal.h>
#include <stdlib.h>
#include <string.h>

enum {
	TAKEN_UP = 8,	       /* streams taken up at such a daemon */
	STORED_MS = 500,       /* until a new version is in the lease */
	WAIT_MS = 8000,	       /* limit for what is about to happen */
	REFUSE_MS = 500,       /* limit for an answer that waits for nothing */
	HISTORY_ATTEMPTS = 40, /* until daemons that all restarted know again */
	ATTEMPTS = 3,	       /* of a caller that is refused */
};

/* Guards against a broken stream that goes on at another version. */
static void
broken_answer_goes_on_at_its_version(void)
{
	fixture_t *st = versions_start(DAEMONS, 2, 2);
	stream_t x[4];
	int i;

	versions_prefer(st, "v1");
	streams_begin(st, x, 4, 0);
	g_assert_cmpstr(x[0].began, ==, "v1");
	versions_prefer(st, "v2");
	fake_endpoint_set_fault(
	    st->endpoint[stream_endpoint(st, x[0].id)], ENDPOINT_CUT_STREAM);
	for (i = 0; i < 4; i++)
		g_assert_true(stream_goes_on(&x[i]));
	g_assert_cmpint(stream_runs_at(st, x[0].id, "v1"), ==, 2);
	fixture_free(st);
}

/* Guards against the same where no endpoint of its version is left. */
static void
broken_answer_ends_without_its_version(void)
{
	fixture_t *st = versions_start(DAEMONS, 1, 2);
	stream_t x[1];

	versions_prefer(st, "v1");
	streams_begin(st, x, 1, 0);
	g_assert_cmpstr(x[0].began, ==, "v1");
	versions_prefer(st, "v2");
	fake_endpoint_set_fault(st->endpoint[1], ENDPOINT_CUT_STREAM);
	g_assert_true(caller_wait(x[0].c, WAIT_MS));
	g_assert_cmpint(stream_runs_at(st, x[0].id, "v2"), ==, 0);
	stream_lose(&x[0]);
	fixture_free(st);
}

/* Half of the streams begin at each version, v1 first; then it prefers v2. */
static void
begin_at_both(fixture_t *st, stream_t *x, int n, int daemon, int other_daemon)
{
	versions_prefer(st, "v1");
	streams_begin(st, x, n / 2, daemon);
	g_assert_cmpstr(x[0].began, ==, "v1");
	versions_prefer(st, "v2");
	streams_begin(st, x + n / 2, n / 2, other_daemon);
	g_assert_cmpstr(x[n / 2].began, ==, "v2");
}

/** How a daemon misses that a new version joins. */
typedef struct staleness {
	const char *name;
	bool no_datagrams; /* none reaches it, or comes from it */
	bool store_silent, store_refuses;
	bool frozen;
	bool with_another; /* daemon 3 is cut off with it, and hears it */
} staleness_t;

static const staleness_t ways[] = {
	{ .name = "partitioned", .no_datagrams = true, .store_silent = true },
	{ .name = "partitioned_with_another",
	    .no_datagrams = true,
	    .store_silent = true,
	    .with_another = true },
	{ .name = "turned_away", .no_datagrams = true, .store_refuses = true },
	{ .name = "frozen", .frozen = true },
	{ .name = "frozen_without_datagrams",
	    .frozen = true,
	    .no_datagrams = true },
	{ .name = "partitioned_and_frozen",
	    .frozen = true,
	    .no_datagrams = true,
	    .store_silent = true },
};

/* Daemon 2 knows v1 only, and has its own way to the store. */
static fixture_t *
start_before_v2(const staleness_t *w)
{
	fixture_t *st = fixture_new();
	int i, port[2];

	fixture_put_config(st, "");
	fixture_add_endpoint(
	    st, &(fake_endpoint_opts_t){ .plain_ms = 20 }, "app");
	versions_add(st, 2, "v1", EVENT_GAP_MS);
	ports_take(port, 2);
	st->view_addr[2] = addr_of(port[0]);
	fake_store_add_view(st->store, st->view_addr[2], NULL, NULL);
	for (i = 0; i < 2; i++)
		fixture_start_daemon(st, i, true);
	g_assert_true(fixture_run_until(st, daemon_is_holder, st, WAIT_MS));
	if (w->no_datagrams)
		st->peer_port = port[1];
	fixture_start_daemon(st, 2, true);
	daemon_wait_gauge(st, 2, "endpoints", 3);
	if (w->with_another) {
		st->view_addr[3] = g_strdup(st->view_addr[2]);
		fixture_start_daemon(st, 3, true);
		daemon_wait_gauge(st, 3, "endpoints", 3);
		daemon_wait_gauge(st, 2, "instances", 2);
	}
	fixture_run(st, STORED_MS);
	return st;
}

static void
make_stale(fixture_t *st, const staleness_t *w)
{
	if (w->store_silent)
		fake_store_silence_view(st->store, st->view_addr[2], true);
	if (w->store_refuses)
		fake_store_refuse_view(st->store, st->view_addr[2], true);
	if (w->frozen)
		proc_signal(st->daemon[2], SIGSTOP);
}

/* Guards against a take-up that takes the version known for the only one. */
static void
taken_up_by_a_stale_instance(gconstpointer way)
{
	const staleness_t *w = way;
	fixture_t *st = start_before_v2(w);
	stream_t x[TAKEN_UP];
	int i, at_new = 0;

	make_stale(st, w);
	versions_add(st, 2, "v2", EVENT_GAP_MS);
	daemon_wait_gauge(st, 0, "endpoints", 5);
	/* Once it is in the lease, the new version begins streams, too. */
	fixture_run(st, STORED_MS);
	streams_begin(st, x, TAKEN_UP, 0);
	for (i = 0; i < TAKEN_UP; i++)
		at_new += strcmp(x[i].began, "v2") == 0;
	g_assert_cmpint(at_new, >, 0);
	daemon_kill(st, 0);
	streams_lose(x, TAKEN_UP);
	/* The calls of those who found it standing still wait as it goes on. */
	for (i = 0; i < TAKEN_UP; i++)
		stream_take_up(&x[i], 2);
	if (w->frozen)
		proc_signal(st->daemon[2], SIGCONT);
	/* It checks that each goes on only where it may. */
	for (i = 0; i < TAKEN_UP; i++)
		stream_goes_on(&x[i]);
	fixture_free(st);
}

/* Guards against a take-up at another daemon that runs at another version. */
static void
taken_up_after_a_kill(void)
{
	fixture_t *st = versions_start(DAEMONS, 3, 3);
	stream_t x[STREAMS_MAX];

	begin_at_both(st, x, STREAMS_MAX, 0, 0);
	daemon_kill(st, 0);
	streams_lose(x, STREAMS_MAX);
	g_assert_cmpint(
	    streams_take_up(x, STREAMS_MAX, 1, 2, ATTEMPTS), ==, STREAMS_MAX);
	fixture_free(st);
}

/* Guards against the same where the version is known to one daemon only. */
static void
taken_up_after_two_kills(void)
{
	fixture_t *st = versions_start(DAEMONS, 3, 3);
	stream_t x[STREAMS_MAX];

	begin_at_both(st, x, STREAMS_MAX, 0, 1);
	proc_signal(st->daemon[0], SIGKILL);
	proc_signal(st->daemon[1], SIGKILL);
	daemon_kill(st, 0);
	daemon_kill(st, 1);
	streams_lose(x, STREAMS_MAX);
	g_assert_cmpint(streams_take_up(x, STREAMS_MAX, 2, 2, ATTEMPTS), >=,
	    STREAMS_MAX / 2);
	fixture_free(st);
}

/* Guards against a daemon that has forgotten what it began before a restart. */
static void
taken_up_where_it_began_after_a_restart(void)
{
	fixture_t *st = versions_start(DAEMONS, 3, 3);
	stream_t x[STREAMS_MAX];

	begin_at_both(st, x, STREAMS_MAX, 0, 0);
	daemon_kill(st, 0);
	streams_lose(x, STREAMS_MAX);
	fixture_start_daemon(st, 0, true);
	daemon_wait_gauge(st, 0, "instances", DAEMONS);
	g_assert_cmpint(
	    streams_take_up(x, STREAMS_MAX, 0, 0, ATTEMPTS), ==, STREAMS_MAX);
	fixture_free(st);
}

static void
restart_all(fixture_t *st)
{
	int i;

	for (i = 0; i < DAEMONS; i++)
		proc_signal(st->daemon[i], SIGKILL);
	for (i = 0; i < DAEMONS; i++) {
		daemon_kill(st, i);
		fixture_start_daemon(st, i, false);
	}
	for (i = 0; i < DAEMONS; i++)
		daemon_wait_gauge(st, i, "ready", 1);
}

/* Guards against a guess where no daemon can know the version any more. */
static void
taken_up_after_all_restarted_with_two_versions(void)
{
	fixture_t *st = versions_start(DAEMONS, 3, 3);
	stream_t x[STREAMS_MAX];

	begin_at_both(st, x, STREAMS_MAX, 0, 1);
	restart_all(st);
	streams_lose(x, STREAMS_MAX);
	streams_take_up(x, STREAMS_MAX, 0, DAEMONS - 1, ATTEMPTS);
	fixture_free(st);
}

/* Guards against refusals where there is nothing to confuse. */
static void
taken_up_after_all_restarted_with_one_version(void)
{
	fixture_t *st = versions_start(DAEMONS, 3, 0);
	stream_t x[DAEMONS];

	streams_begin(st, x, DAEMONS, 0);
	restart_all(st);
	streams_lose(x, DAEMONS);
	g_assert_cmpint(
	    streams_take_up(x, DAEMONS, 0, DAEMONS - 1, HISTORY_ATTEMPTS), ==,
	    DAEMONS);
	fixture_free(st);
}

/* Guards against a guess at a daemon that reaches none of its peers. */
static void
taken_up_at_a_daemon_without_peers(void)
{
	fixture_t *st = versions_start(2, 3, 3);
	stream_t x[STREAMS_MAX];
	int i, port;

	begin_at_both(st, x, STREAMS_MAX, 0, 0);
	ports_take(&port, 1);
	st->peer_port = port;
	st->no_bootstrap = true;
	fixture_start_daemon(st, 2, true);
	for (i = 0; i < STREAMS_MAX; i++) {
		caller_close(x[i].c);
		x[i].last = stream_last_event(x[i].c, 0);
		caller_free(x[i].c);
	}
	g_assert_cmpint(streams_take_up(x, STREAMS_MAX, 2, 2, 1), ==, 0);
	assert_stream_begins(st, 2);
	fixture_free(st);
}

/* Guards against a second take-up that finds only the first's attempt. */
static void
taken_up_twice(void)
{
	fixture_t *st = versions_start(DAEMONS, 3, 3);
	enum {
		CHAINS = 6
	};
	stream_t x[CHAINS];
	int i;

	begin_at_both(st, x, CHAINS, 0, 0);
	daemon_kill(st, 0);
	streams_lose(x, CHAINS);
	for (i = 0; i < CHAINS; i++)
		stream_take_up(&x[i], 1);
	for (i = 0; i < CHAINS; i++)
		g_assert_true(
		    fixture_run_until(st, stream_has_event, &x[i], WAIT_MS));
	daemon_kill(st, 1);
	streams_lose(x, CHAINS);
	g_assert_cmpint(streams_take_up(x, CHAINS, 2, 2, ATTEMPTS), ==, CHAINS);
	fixture_free(st);
}

/* Guards against a release during streams: the next version takes them. */
static void
taken_up_during_a_release(void)
{
	fixture_t *st = versions_start(DAEMONS, 4, 0);
	stream_t x[STREAMS_MAX / 2];
	int i;

	streams_begin(st, x, STREAMS_MAX / 2, 0);
	fake_store_mute_watches(st->store, true);
	versions_add(st, 3, "v2", EVENT_GAP_MS);
	for (i = 1; i <= 4; i++) {
		st->domain[i] = "south";
		fixture_put_entry(st, i, "llm", i <= 2);
	}
	daemons_wait_store_read(st, 5);
	daemon_kill(st, 0);
	streams_lose(x, STREAMS_MAX / 2);
	g_assert_cmpint(streams_take_up(x, STREAMS_MAX / 2, 1, 2, ATTEMPTS), >=,
	    STREAMS_MAX / 4);
	fixture_free(st);
}

/* Guards against an endpoint that restarts under its id as another version. */
static void
taken_up_after_its_endpoint_changed_version(void)
{
	fixture_t *st = versions_start(DAEMONS, 4, 0);
	stream_t x[STREAMS_MAX / 2];
	int i;

	streams_begin(st, x, STREAMS_MAX / 2, 0);
	fake_store_mute_watches(st->store, true);
	fake_endpoint_restart(st->endpoint[1], "v2");
	for (i = 1; i <= 4; i++) {
		st->domain[i] = i == 1 ? "north" : "south";
		fixture_put_entry(st, i, "llm", false);
	}
	daemons_wait_store_read(st, 4);
	daemon_kill(st, 0);
	streams_lose(x, STREAMS_MAX / 2);
	for (i = 0; i < STREAMS_MAX / 2; i++)
		g_assert_cmpint(stream_runs_at(st, x[i].id, "v2"), ==, 0);
	g_assert_cmpint(streams_take_up(x, STREAMS_MAX / 2, 1, 2, ATTEMPTS), ==,
	    STREAMS_MAX / 2);
	fixture_free(st);
}

/* Take streams up without Resumes. @return how many go on. */
static int
take_up_unnamed(fixture_t *st, stream_t *x, int n)
{
	char attempt[40], headers[40];
	int i, served = 0;

	daemon_kill(st, 0);
	streams_lose(x, n);
	for (i = 0; i < n; i++) {
		snprintf(attempt, sizeof(attempt), "%s-unnamed", x[i].id);
		snprintf(headers, sizeof(headers), "Last-Event-Id: %d\r\n",
		    x[i].last);
		stream_send(&x[i], 1 + i % 2, attempt, headers);
	}
	for (i = 0; i < n; i++)
		served += stream_goes_on(&x[i]);
	return served;
}

/* Guards against a guess where nothing says which attempt began the stream. */
static void
without_resumes_and_two_versions_its_refused(void)
{
	fixture_t *st = versions_start(DAEMONS, 3, 3);
	stream_t x[STREAMS_MAX];

	begin_at_both(st, x, STREAMS_MAX, 0, 0);
	g_assert_cmpint(take_up_unnamed(st, x, STREAMS_MAX), ==, 0);
	assert_stream_begins(st, 1);
	fixture_free(st);
}

/* Guards against refusing such a stream where a single version has served. */
static void
without_resumes_and_one_version_it_goes_on(void)
{
	fixture_t *st = versions_start(DAEMONS, 3, 0);
	stream_t x[4];

	streams_begin(st, x, 4, 0);
	g_assert_cmpint(take_up_unnamed(st, x, 4), ==, 4);
	fixture_free(st);
}

/* Guards against another version, or a wait, once its version has gone. */
static void
taken_up_after_its_version_left(void)
{
	fixture_t *st = versions_start(DAEMONS, 1, 3);
	stream_t x[4];
	int i;

	versions_prefer(st, "v1");
	streams_begin(st, x, 4, 0);
	for (i = 0; i < 4; i++)
		g_assert_cmpstr(x[i].began, ==, "v1");
	fake_store_mute_watches(st->store, true);
	fake_store_del(st->store, "servers", st->id[1]);
	daemons_wait_store_read(st, 3);
	daemon_kill(st, 0);
	streams_lose(x, 4);
	for (i = 0; i < 4; i++) {
		stream_take_up(&x[i], 1 + i % 2);
		g_assert_true(caller_wait(x[i].c, WAIT_MS));
		g_assert_cmpint(stream_runs_at(st, x[i].attempt, NULL), ==, 0);
		g_assert_cmpint(x[i].c->status, ==, 503);
		g_assert_cmpint(
		    x[i].c->ended_at - x[i].c->started_at, <, REFUSE_MS);
		caller_free(x[i].c);
	}
	assert_stream_begins(st, 1);
	fixture_free(st);
}

/* Under load */

enum {
	LOAD_MS = 14000,
	FIRST_KILL_MS = 1500, /* of one daemon */
	TWO_KILLS_MS = 3500,
	RESTARTS_MS = 5500, /* of all daemons, gracefully, two at a time */
	DOWN_MS = 1000,	    /* of a daemon that was killed */
	RESUMED_MIN = 12,   /* fewer give no share */
};

typedef struct disruption {
	cluster_t *b;
	int step;
} disruption_t;

typedef struct disruption_step {
	ms_t at;
	int signal; /* 0: start once they have ended */
	int first, last;
} disruption_step_t;

static const disruption_step_t steps[] = {
	{ FIRST_KILL_MS, SIGKILL, 1, 1 },
	{ FIRST_KILL_MS + DOWN_MS, 0, 1, 1 },
	{ TWO_KILLS_MS, SIGKILL, 2, 3 },
	{ TWO_KILLS_MS + DOWN_MS, 0, 2, 3 },
	{ RESTARTS_MS, SIGTERM, 0, 1 },
	{ RESTARTS_MS, 0, 0, 1 },
	{ RESTARTS_MS, SIGTERM, 2, 3 },
	{ RESTARTS_MS, 0, 2, 3 },
};

static void
disrupt(void *arg, ms_t since)
{
	disruption_t *d = arg;
	const disruption_step_t *step = &steps[d->step];
	int i;

	if (d->step == (int)G_N_ELEMENTS(steps) || since < step->at)
		return;
	for (i = step->first; i <= step->last; i++)
		if (step->signal == 0 && !proc_ended(d->b->daemon[i], 0))
			return;
	for (i = step->first; i <= step->last; i++) {
		if (step->signal != 0)
			proc_signal(d->b->daemon[i], step->signal);
		else
			cluster_start_daemon(d->b, i);
	}
	d->step++;
}

/* Guards against mixed streams, and against lost ones, while daemons fail. */
static void
under_load(void)
{
	disruption_t d = { .b = cluster_new("versions = 2\nmodels = 3\n"
					    "events = 30\ngap_ms = 30\n") };
	const loadgen_result_t *r = &d.b->result;

	cluster_run_load(d.b, LOAD_MS, disrupt, &d);
	g_assert_cmpint(d.step, ==, G_N_ELEMENTS(steps));
	g_assert_cmpint(r->resumed, >=, RESUMED_MIN);
	g_assert_cmpfloat((double)r->resumed_served / r->resumed, >=,
	    0.5 * r->begun / r->streams);
	cluster_free(d.b);
}

#define T(name) g_test_add_func("/versions/" #name, name)

int
main(int argc, char **argv)
{
	size_t i;

	g_test_init(&argc, &argv, NULL);
	T(broken_answer_goes_on_at_its_version);
	T(broken_answer_ends_without_its_version);
	T(taken_up_after_a_kill);
	T(taken_up_after_two_kills);
	T(taken_up_where_it_began_after_a_restart);
	T(taken_up_after_all_restarted_with_two_versions);
	T(taken_up_after_all_restarted_with_one_version);
	T(taken_up_at_a_daemon_without_peers);
	T(taken_up_twice);
	T(taken_up_during_a_release);
	T(taken_up_after_its_endpoint_changed_version);
	T(without_resumes_and_two_versions_its_refused);
	T(without_resumes_and_one_version_it_goes_on);
	T(taken_up_after_its_version_left);
	T(under_load);
	for (i = 0; i < G_N_ELEMENTS(ways); i++) {
		char *path = g_strdup_printf(
		    "/versions/taken_up_by_a_stale_instance/%s", ways[i].name);

		g_test_add_data_func(
		    path, &ways[i], taken_up_by_a_stale_instance);
		g_free(path);
	}
	return g_test_run();
}
