/*
 * Endpoints of several software versions serve side by side: a stream may go on
 * only at the version that began it, within one answer and when its caller
 * takes it up at another daemon. Endpoints don't check versions.
 */
#include "tests/cluster.h"
#include "tests/fixture.h"

#include <signal.h>
#include <stdlib.h>
#include <string.h>

enum {
	STREAMS_MAX = 12,
	DAEMONS = 3,
	EVENTS = 100,
	EVENT_GAP_MS = 20,
	WAIT_MS = 8000,	 /* limit for what is about to happen */
	PAGE_MS = 8000,	 /* for a gauge of a daemon that has just started */
	REFUSE_MS = 500, /* limit for an answer that waits for nothing */
	HISTORY_ATTEMPTS = 40, /* until daemons that all restarted know again */
	ATTEMPTS = 3,	       /* of a caller that is refused */
	RETRY_PAUSE_MS = 200,  /* between these */
};

static const fake_endpoint_opts_t plain = { .plain_ms = 20 };

/** A caller's stream, with the take-up that is in progress. */
typedef struct stream {
	fixture_t *st;
	caller_t *c;
	char id[24];	    /* of the attempt that brought the first event */
	char attempt[32];   /* of the current attempt */
	int last;	    /* event that the caller has */
	char began[ID_MAX]; /* version that began it */
} stream_t;

/* Daemons */

static int
gauge(fixture_t *st, int daemon, const char *name)
{
	char addr[64], *body = NULL, *line, *at;
	int v = -1;

	snprintf(addr, sizeof(addr), "%.*s:9464",
	    (int)strcspn(st->caller[daemon], ":"), st->caller[daemon]);
	line = g_strdup_printf("\nebonypitch_%s ", name);
	if (page_status(st, addr, "/metrics", &body) == 200 &&
	    (at = strstr(body, line)) != NULL)
		v = atoi(at + strlen(line));
	g_free(line);
	g_free(body);
	return v;
}

typedef struct gauge_wait {
	fixture_t *st;
	int daemon;
	const char *name;
	int value;
} gauge_wait_t;

static bool
has_gauge(void *arg)
{
	const gauge_wait_t *w = arg;

	return gauge(w->st, w->daemon, w->name) == w->value;
}

static void
wait_gauge(fixture_t *st, int daemon, const char *name, int value)
{
	gauge_wait_t w = { st, daemon, name, value };

	g_assert_true(fixture_run_until(st, has_gauge, &w, PAGE_MS));
}

/* A daemon is the holder: it orders endpoints. */
static bool
is_held(void *arg)
{
	fixture_t *st = arg;
	int i;

	for (i = 0; i < DAEMONS; i++)
		if (st->daemon[i] != NULL && gauge(st, i, "holder") == 1)
			return true;
	return false;
}

/* Wait until each running daemon knows so many endpoints. */
static void
wait_endpoints(fixture_t *st, int n)
{
	int i;

	for (i = 0; i < DAEMONS; i++)
		if (st->daemon[i] != NULL)
			wait_gauge(st, i, "endpoints", n);
}

static void
kill_daemon(fixture_t *st, int i)
{
	proc_kill(st->daemon[i]);
	st->daemon[i] = NULL;
}

static void
add_endpoints(fixture_t *st, int n, const char *version)
{
	fake_endpoint_opts_t o = { .model = "m1",
		.events = EVENTS,
		.event_gap = EVENT_GAP_MS,
		.adapter_slots = 4,
		.version = version };

	while (n-- > 0)
		fixture_add_endpoint(st, &o, "llm");
}

/*
 * Daemons that know each other, one of them the holder. Endpoint 0 is of
 * another service: its entry shows how far the daemons have read the store.
 */
static fixture_t *
start_system(int daemons, int v1, int v2)
{
	fixture_t *st = fixture_new();
	int i;

	fixture_put_config(st, "");
	fixture_add_endpoint(st, &plain, "app");
	add_endpoints(st, v1, "v1");
	add_endpoints(st, v2, "v2");
	for (i = 0; i < daemons; i++)
		fixture_start_daemon(st, i, false);
	for (i = 0; i < daemons; i++) {
		wait_gauge(st, i, "instances", daemons);
		wait_gauge(st, i, "endpoints", st->nendpoint);
		wait_gauge(st, i, "ready", 1);
	}
	g_assert_true(fixture_run_until(st, is_held, st, WAIT_MS));
	return st;
}

/*
 * Let the running daemons read what was written into the store since
 * fake_store_mute_watches(), and wait until they have. What they show is their
 * number of endpoints: @p was before, @p is now, beside endpoint 0, which is
 * written or deleted if these are equal.
 */
static void
wait_store_read(fixture_t *st, int was, int is)
{
	bool listed = fake_store_get(st->store, "servers", st->id[0]) != NULL;

	fake_store_mute_watches(st->store, false);
	if (was == is)
		listed = !listed;
	if (listed)
		fixture_put_entry(st, 0, "app", false);
	else
		fake_store_del(st->store, "servers", st->id[0]);
	wait_endpoints(st, is + listed);
}

/* Of endpoints that are equal otherwise, daemons prefer those of their zone. */
static void
prefer(fixture_t *st, const char *version)
{
	int i;

	fake_store_mute_watches(st->store, true);
	for (i = 1; i < st->nendpoint; i++) {
		bool chosen = strcmp(fake_endpoint_version(st->endpoint[i]),
				  version) == 0;

		st->domain[i] = chosen ? "north" : "south";
		fixture_put_entry(st, i, "llm", false);
	}
	wait_store_read(st, st->nendpoint - 1, st->nendpoint - 1);
}

/* Runs */

/* @return the number of runs of an attempt at a version, or at any if NULL. */
static int
runs_at(const fixture_t *st, const char *attempt, const char *version)
{
	int i, n = 0;
	guint k;

	for (i = 0; i < st->nendpoint; i++) {
		const GPtrArray *run = fake_endpoint_executed(st->endpoint[i]);

		for (k = 0; k < run->len; k++) {
			const executed_call_t *x = run->pdata[k];

			n += strcmp(x->id, attempt) == 0 &&
			     (version == NULL ||
				 strcmp(x->version, version) == 0);
		}
	}
	return n;
}

/* @return the endpoint that ran the attempt first. */
static int
endpoint_of(const fixture_t *st, const char *attempt)
{
	int i;
	guint k;

	for (i = 0; i < st->nendpoint; i++) {
		const GPtrArray *run = fake_endpoint_executed(st->endpoint[i]);

		for (k = 0; k < run->len; k++)
			if (strcmp(((executed_call_t *)run->pdata[k])->id,
				attempt) == 0)
				return i;
	}
	g_assert_not_reached();
}

/* Streams */

/* @return the last whole event of the answer, each one after the other. */
static int
last_event(const caller_t *c, int from)
{
	char *text = client_request_body(c), *at = text, *end;
	int n = from;

	while ((end = strstr(at, "\n\n")) != NULL) {
		g_assert_true(g_str_has_prefix(at, "id: "));
		g_assert_cmpint(atoi(at + strlen("id: ")), ==, ++n);
		at = end + strlen("\n\n");
	}
	g_free(text);
	return n;
}

static void
send_stream(stream_t *x, int daemon, const char *attempt, const char *headers)
{
	char *all = g_strdup_printf("Model: m1\r\nToken-Usage: 100,%d\r\n"
				    "Deadline-Remaining: 5000\r\n%s",
	    EVENTS, headers);

	str_copy(x->attempt, sizeof(x->attempt), attempt);
	x->c = caller_call(x->st, daemon, "POST", "/gen/a", x->attempt, all);
	g_free(all);
}

static bool
has_new_event(void *arg)
{
	const stream_t *x = arg;

	return last_event(x->c, x->last) > x->last;
}

static bool
is_closed(void *arg)
{
	return ((const stream_t *)arg)->c->closed;
}

/* Begin streams at a daemon; each has brought its first event on return. */
static void
begin(fixture_t *st, stream_t *x, int n, int daemon)
{
	static int count;
	char id[24];
	int i;

	for (i = 0; i < n; i++) {
		x[i] = (stream_t){ .st = st };
		snprintf(id, sizeof(id), "s%d", count++);
		str_copy(x[i].id, sizeof(x[i].id), id);
		send_stream(&x[i], daemon, id, "");
	}
	for (i = 0; i < n; i++) {
		g_assert_true(
		    fixture_run_until(st, has_new_event, &x[i], WAIT_MS));
		str_copy(x[i].began, ID_MAX,
		    fake_endpoint_version(
			st->endpoint[endpoint_of(st, x[i].id)]));
	}
}

/* New streams begin there: what is refused is only the take-up. */
static void
assert_begins(fixture_t *st, int daemon)
{
	stream_t x;

	begin(st, &x, 1, daemon);
	caller_free(x.c);
}

/* The caller's connection has ended before the answer. */
static void
lose(stream_t *x)
{
	g_assert_true(fixture_run_until(x->st, is_closed, x, WAIT_MS));
	g_assert_false(x->c->done);
	x->last = last_event(x->c, x->last);
	g_assert_cmpint(x->last, <, EVENTS);
	caller_free(x->c);
	x->c = NULL;
}

static void
lose_all(stream_t *x, int n)
{
	int i;

	for (i = 0; i < n; i++)
		lose(&x[i]);
}

static void
take_up(stream_t *x, int daemon)
{
	char attempt[32], *headers;
	static int count;

	snprintf(attempt, sizeof(attempt), "%s-%d", x->id, count++);
	headers = g_strdup_printf(
	    "Last-Event-Id: %d\r\nResumes: %s\r\n", x->last, x->id);
	send_stream(x, daemon, attempt, headers);
	g_free(headers);
}

/*
 * Whether the stream goes on; it does so whole and only where it may. If not,
 * it is refused and isn't run.
 */
static bool
goes_on(stream_t *x)
{
	int elsewhere;
	bool served;

	g_assert_true(caller_wait(x->c, WAIT_MS));
	elsewhere = runs_at(x->st, x->attempt, NULL) -
		    runs_at(x->st, x->attempt, x->began);
	g_assert_cmpint(elsewhere, ==, 0);
	served = x->c->status != 503;
	if (served) {
		g_assert_cmpint(x->c->status, ==, 200);
		g_assert_true(x->c->done);
		g_assert_cmpint(last_event(x->c, x->last), ==, EVENTS);
	} else {
		g_assert_cmpint(runs_at(x->st, x->attempt, NULL), ==, 0);
	}
	caller_free(x->c);
	x->c = NULL;
	return served;
}

/*
 * Take streams up at daemons @p first to @p last. A caller that is refused
 * tries again, @p attempts times in all. @return how many streams go on.
 */
static int
take_up_all(stream_t *x, int n, int first, int last, int attempts)
{
	bool served[STREAMS_MAX] = { false };
	int i, count = 0;

	while (attempts-- > 0 && count < n) {
		for (i = 0; i < n; i++)
			if (!served[i])
				take_up(&x[i], first + i % (last - first + 1));
		for (i = 0; i < n; i++)
			if (!served[i]) {
				served[i] = goes_on(&x[i]);
				count += served[i];
			}
		if (attempts > 0 && count < n)
			fixture_run(x->st, RETRY_PAUSE_MS);
	}
	return count;
}

/* Guards against a broken stream that goes on at another version. */
static void
broken_answer_goes_on_at_its_version(void)
{
	fixture_t *st = start_system(DAEMONS, 2, 2);
	stream_t x[4];
	int i;

	prefer(st, "v1");
	begin(st, x, 4, 0);
	g_assert_cmpstr(x[0].began, ==, "v1");
	prefer(st, "v2");
	fake_endpoint_set_fault(
	    st->endpoint[endpoint_of(st, x[0].id)], ENDPOINT_CUT_STREAM);
	for (i = 0; i < 4; i++)
		g_assert_true(goes_on(&x[i]));
	g_assert_cmpint(runs_at(st, x[0].id, "v1"), ==, 2);
	fixture_free(st);
}

/* Guards against the same where no endpoint of its version is left. */
static void
broken_answer_ends_without_its_version(void)
{
	fixture_t *st = start_system(DAEMONS, 1, 2);
	stream_t x[1];

	prefer(st, "v1");
	begin(st, x, 1, 0);
	g_assert_cmpstr(x[0].began, ==, "v1");
	prefer(st, "v2");
	fake_endpoint_set_fault(st->endpoint[1], ENDPOINT_CUT_STREAM);
	g_assert_true(caller_wait(x[0].c, WAIT_MS));
	g_assert_cmpint(runs_at(st, x[0].id, "v2"), ==, 0);
	lose(&x[0]);
	fixture_free(st);
}

/* Half of the streams begin at each version, v1 first; then it prefers v2. */
static void
begin_at_both(fixture_t *st, stream_t *x, int n, int daemon, int other_daemon)
{
	prefer(st, "v1");
	begin(st, x, n / 2, daemon);
	g_assert_cmpstr(x[0].began, ==, "v1");
	prefer(st, "v2");
	begin(st, x + n / 2, n / 2, other_daemon);
	g_assert_cmpstr(x[n / 2].began, ==, "v2");
}

/* Guards against a take-up at another daemon that runs at another version. */
static void
taken_up_after_a_kill(void)
{
	fixture_t *st = start_system(DAEMONS, 3, 3);
	stream_t x[STREAMS_MAX];

	begin_at_both(st, x, STREAMS_MAX, 0, 0);
	kill_daemon(st, 0);
	lose_all(x, STREAMS_MAX);
	g_assert_cmpint(
	    take_up_all(x, STREAMS_MAX, 1, 2, ATTEMPTS), ==, STREAMS_MAX);
	fixture_free(st);
}

/* Guards against the same where the version is known to one daemon only. */
static void
taken_up_after_two_kills(void)
{
	fixture_t *st = start_system(DAEMONS, 3, 3);
	stream_t x[STREAMS_MAX];

	begin_at_both(st, x, STREAMS_MAX, 0, 1);
	proc_signal(st->daemon[0], SIGKILL);
	proc_signal(st->daemon[1], SIGKILL);
	kill_daemon(st, 0);
	kill_daemon(st, 1);
	lose_all(x, STREAMS_MAX);
	g_assert_cmpint(
	    take_up_all(x, STREAMS_MAX, 2, 2, ATTEMPTS), >=, STREAMS_MAX / 2);
	fixture_free(st);
}

/* Guards against a daemon that has forgotten what it began before a restart. */
static void
taken_up_where_it_began_after_a_restart(void)
{
	fixture_t *st = start_system(DAEMONS, 3, 3);
	stream_t x[STREAMS_MAX];

	begin_at_both(st, x, STREAMS_MAX, 0, 0);
	kill_daemon(st, 0);
	lose_all(x, STREAMS_MAX);
	fixture_start_daemon(st, 0, true);
	wait_gauge(st, 0, "instances", DAEMONS);
	g_assert_cmpint(
	    take_up_all(x, STREAMS_MAX, 0, 0, ATTEMPTS), ==, STREAMS_MAX);
	fixture_free(st);
}

static void
restart_all(fixture_t *st)
{
	int i;

	for (i = 0; i < DAEMONS; i++)
		proc_signal(st->daemon[i], SIGKILL);
	for (i = 0; i < DAEMONS; i++) {
		kill_daemon(st, i);
		fixture_start_daemon(st, i, false);
	}
	for (i = 0; i < DAEMONS; i++)
		wait_gauge(st, i, "ready", 1);
}

/* Guards against a guess where no daemon can know the version any more. */
static void
taken_up_after_all_restarted_with_two_versions(void)
{
	fixture_t *st = start_system(DAEMONS, 3, 3);
	stream_t x[STREAMS_MAX];

	begin_at_both(st, x, STREAMS_MAX, 0, 1);
	restart_all(st);
	lose_all(x, STREAMS_MAX);
	take_up_all(x, STREAMS_MAX, 0, DAEMONS - 1, ATTEMPTS);
	fixture_free(st);
}

/* Guards against refusals where there is nothing to confuse. */
static void
taken_up_after_all_restarted_with_one_version(void)
{
	fixture_t *st = start_system(DAEMONS, 3, 0);
	stream_t x[DAEMONS];

	begin(st, x, DAEMONS, 0);
	restart_all(st);
	lose_all(x, DAEMONS);
	g_assert_cmpint(
	    take_up_all(x, DAEMONS, 0, DAEMONS - 1, HISTORY_ATTEMPTS), ==,
	    DAEMONS);
	fixture_free(st);
}

/* Guards against a guess at a daemon that reaches none of its peers. */
static void
taken_up_at_a_daemon_without_peers(void)
{
	fixture_t *st = start_system(2, 3, 3);
	stream_t x[STREAMS_MAX];
	int i, port;

	begin_at_both(st, x, STREAMS_MAX, 0, 0);
	ports_take(&port, 1);
	st->peer_port = port;
	st->no_bootstrap = true;
	fixture_start_daemon(st, 2, true);
	for (i = 0; i < STREAMS_MAX; i++) {
		caller_close(x[i].c);
		x[i].last = last_event(x[i].c, 0);
		caller_free(x[i].c);
	}
	g_assert_cmpint(take_up_all(x, STREAMS_MAX, 2, 2, 1), ==, 0);
	assert_begins(st, 2);
	fixture_free(st);
}

/* Guards against a second take-up that finds only the first's attempt. */
static void
taken_up_twice(void)
{
	fixture_t *st = start_system(DAEMONS, 3, 3);
	enum {
		CHAINS = 6
	};
	stream_t x[CHAINS];
	int i;

	begin_at_both(st, x, CHAINS, 0, 0);
	kill_daemon(st, 0);
	lose_all(x, CHAINS);
	for (i = 0; i < CHAINS; i++)
		take_up(&x[i], 1);
	for (i = 0; i < CHAINS; i++)
		g_assert_true(
		    fixture_run_until(st, has_new_event, &x[i], WAIT_MS));
	kill_daemon(st, 1);
	lose_all(x, CHAINS);
	g_assert_cmpint(take_up_all(x, CHAINS, 2, 2, ATTEMPTS), ==, CHAINS);
	fixture_free(st);
}

/* Guards against a release during streams: the next version takes them. */
static void
taken_up_during_a_release(void)
{
	fixture_t *st = start_system(DAEMONS, 4, 0);
	stream_t x[STREAMS_MAX / 2];
	int i;

	begin(st, x, STREAMS_MAX / 2, 0);
	fake_store_mute_watches(st->store, true);
	add_endpoints(st, 3, "v2");
	for (i = 1; i <= 4; i++) {
		st->domain[i] = "south";
		fixture_put_entry(st, i, "llm", i <= 2);
	}
	wait_store_read(st, 4, 5);
	kill_daemon(st, 0);
	lose_all(x, STREAMS_MAX / 2);
	g_assert_cmpint(take_up_all(x, STREAMS_MAX / 2, 1, 2, ATTEMPTS), >=,
	    STREAMS_MAX / 4);
	fixture_free(st);
}

/* Guards against an endpoint that restarts under its id as another version. */
static void
taken_up_after_its_endpoint_changed_version(void)
{
	fixture_t *st = start_system(DAEMONS, 4, 0);
	stream_t x[STREAMS_MAX / 2];
	int i;

	begin(st, x, STREAMS_MAX / 2, 0);
	fake_store_mute_watches(st->store, true);
	fake_endpoint_restart(st->endpoint[1], "v2");
	for (i = 1; i <= 4; i++) {
		st->domain[i] = i == 1 ? "north" : "south";
		fixture_put_entry(st, i, "llm", false);
	}
	wait_store_read(st, 4, 4);
	kill_daemon(st, 0);
	lose_all(x, STREAMS_MAX / 2);
	for (i = 0; i < STREAMS_MAX / 2; i++)
		g_assert_cmpint(runs_at(st, x[i].id, "v2"), ==, 0);
	g_assert_cmpint(take_up_all(x, STREAMS_MAX / 2, 1, 2, ATTEMPTS), ==,
	    STREAMS_MAX / 2);
	fixture_free(st);
}

/* Take streams up without Resumes. @return how many go on. */
static int
take_up_unnamed(fixture_t *st, stream_t *x, int n)
{
	char attempt[40], headers[40];
	int i, served = 0;

	kill_daemon(st, 0);
	lose_all(x, n);
	for (i = 0; i < n; i++) {
		snprintf(attempt, sizeof(attempt), "%s-unnamed", x[i].id);
		snprintf(headers, sizeof(headers), "Last-Event-Id: %d\r\n",
		    x[i].last);
		send_stream(&x[i], 1 + i % 2, attempt, headers);
	}
	for (i = 0; i < n; i++)
		served += goes_on(&x[i]);
	return served;
}

/* Guards against a guess where nothing says which attempt began the stream. */
static void
without_resumes_and_two_versions_its_refused(void)
{
	fixture_t *st = start_system(DAEMONS, 3, 3);
	stream_t x[STREAMS_MAX];

	begin_at_both(st, x, STREAMS_MAX, 0, 0);
	g_assert_cmpint(take_up_unnamed(st, x, STREAMS_MAX), ==, 0);
	assert_begins(st, 1);
	fixture_free(st);
}

/* Guards against refusing such a stream where a single version has served. */
static void
without_resumes_and_one_version_it_goes_on(void)
{
	fixture_t *st = start_system(DAEMONS, 3, 0);
	stream_t x[4];

	begin(st, x, 4, 0);
	g_assert_cmpint(take_up_unnamed(st, x, 4), ==, 4);
	fixture_free(st);
}

/* Guards against another version, or a wait, once its version has gone. */
static void
taken_up_after_its_version_left(void)
{
	fixture_t *st = start_system(DAEMONS, 1, 3);
	stream_t x[4];
	int i;

	prefer(st, "v1");
	begin(st, x, 4, 0);
	for (i = 0; i < 4; i++)
		g_assert_cmpstr(x[i].began, ==, "v1");
	fake_store_mute_watches(st->store, true);
	fake_store_del(st->store, "servers", st->id[1]);
	wait_store_read(st, 4, 3);
	kill_daemon(st, 0);
	lose_all(x, 4);
	for (i = 0; i < 4; i++) {
		take_up(&x[i], 1 + i % 2);
		g_assert_true(caller_wait(x[i].c, WAIT_MS));
		g_assert_cmpint(runs_at(st, x[i].attempt, NULL), ==, 0);
		g_assert_cmpint(x[i].c->status, ==, 503);
		g_assert_cmpint(
		    x[i].c->ended_at - x[i].c->started_at, <, REFUSE_MS);
		caller_free(x[i].c);
	}
	assert_begins(st, 1);
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
	return g_test_run();
}
