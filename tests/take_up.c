/*
 * Streams at daemons, and callers that take them up again: shared by the
 * programs about the software versions of endpoints.
 */
#include "tests/take_up.h"

#include <signal.h>
#include <stdlib.h>
#include <string.h>

enum {
	WAIT_MS = 8000, /* limit for what is about to happen */
	PAGE_MS = 8000, /* for a gauge of a daemon that has just started */
	RETRY_PAUSE_MS = 200, /* of a caller that is refused */
};

static const fake_endpoint_opts_t plain = { .plain_ms = 20 };

/* Daemons */

int
daemon_gauge(fixture_t *st, int daemon, const char *name)
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

	return daemon_gauge(w->st, w->daemon, w->name) == w->value;
}

void
daemon_wait_gauge(fixture_t *st, int daemon, const char *name, int value)
{
	gauge_wait_t w = { st, daemon, name, value };

	g_assert_true(fixture_run_until(st, has_gauge, &w, PAGE_MS));
}

bool
daemon_is_holder(void *arg)
{
	fixture_t *st = arg;
	int i;

	for (i = 0; i < DAEMONS; i++)
		if (st->daemon[i] != NULL && daemon_gauge(st, i, "holder") == 1)
			return true;
	return false;
}

void
daemons_wait_endpoints(fixture_t *st, int n)
{
	int i;

	for (i = 0; i < DAEMONS; i++)
		if (st->daemon[i] != NULL)
			daemon_wait_gauge(st, i, "endpoints", n);
}

void
daemon_kill(fixture_t *st, int i)
{
	proc_kill(st->daemon[i]);
	st->daemon[i] = NULL;
}

void
versions_add(fixture_t *st, int n, const char *version, ms_t event_gap)
{
	fake_endpoint_opts_t o = { .model = "m1",
		.events = EVENTS,
		.event_gap = event_gap,
		.adapter_slots = 4,
		.version = version };

	while (n-- > 0)
		fixture_add_endpoint(st, &o, "llm");
}

fixture_t *
versions_start_with(const versions_opts_t *o)
{
	return versions_start_of(o, NULL);
}

fixture_t *
versions_start_of(const versions_opts_t *o, const char *program)
{
	fixture_t *st = fixture_new();
	int i;

	fixture_put_config(st, "");
	fixture_add_endpoint(st, &plain, "app");
	versions_add(st, o->v1, "v1", o->event_gap);
	versions_add(st, o->v2, "v2", o->event_gap);
	for (i = 0; i < o->daemons; i++) {
		st->program[i] = program;
		fixture_start_daemon(st, i, false);
	}
	for (i = 0; i < o->daemons; i++) {
		daemon_wait_gauge(st, i, "instances", o->daemons);
		daemon_wait_gauge(st, i, "endpoints", st->nendpoint);
		daemon_wait_gauge(st, i, "ready", 1);
	}
	g_assert_true(fixture_run_until(st, daemon_is_holder, st, WAIT_MS));
	return st;
}

fixture_t *
versions_start(int daemons, int v1, int v2)
{
	versions_opts_t o = { daemons, v1, v2, EVENT_GAP_MS };

	return versions_start_with(&o);
}

/*
 * Daemons tell each other of endpoints that are gone, but an entry that is
 * added is read from the store only, after all changes before it.
 */
void
daemons_wait_store_read(fixture_t *st, int is)
{
	fake_store_mute_watches(st->store, false);
	if (fake_store_get(st->store, "servers", st->id[0]) != NULL)
		fake_store_del(st->store, "servers", st->id[0]);
	daemons_wait_endpoints(st, is);
	fixture_put_entry(st, 0, "app", false);
	daemons_wait_endpoints(st, is + 1);
}

void
versions_prefer(fixture_t *st, const char *version)
{
	int i;

	fake_store_mute_watches(st->store, true);
	for (i = 1; i < st->nendpoint; i++) {
		bool chosen = strcmp(fake_endpoint_version(st->endpoint[i]),
				  version) == 0;

		st->domain[i] = chosen ? "north" : "south";
		fixture_put_entry(st, i, "llm", false);
	}
	daemons_wait_store_read(st, st->nendpoint - 1);
}

/* Runs */

int
stream_runs_at(const fixture_t *st, const char *attempt, const char *version)
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

int
stream_endpoint(const fixture_t *st, const char *attempt)
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

int
stream_last_event(const caller_t *c, int from)
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

void
stream_send(stream_t *x, int daemon, const char *attempt, const char *headers)
{
	char *all = g_strdup_printf("Model: m1\r\nToken-Usage: 100,%d\r\n"
				    "Deadline-Remaining: 5000\r\n%s",
	    EVENTS, headers);

	str_set(x->attempt, sizeof(x->attempt), attempt);
	x->c = caller_call(x->st, daemon, "POST", "/gen/a", x->attempt, all);
	g_free(all);
}

bool
stream_has_event(void *arg)
{
	const stream_t *x = arg;

	return stream_last_event(x->c, x->last) > x->last;
}

static bool
is_closed(void *arg)
{
	return ((const stream_t *)arg)->c->closed;
}

void
streams_begin(fixture_t *st, stream_t *x, int n, int daemon)
{
	static int count;
	char id[24];
	int i;

	for (i = 0; i < n; i++) {
		x[i] = (stream_t){ .st = st };
		snprintf(id, sizeof(id), "s%d", count++);
		str_set(x[i].id, sizeof(x[i].id), id);
		stream_send(&x[i], daemon, id, "");
	}
	for (i = 0; i < n; i++) {
		g_assert_true(
		    fixture_run_until(st, stream_has_event, &x[i], WAIT_MS));
		str_set(x[i].began, ID_MAX,
		    fake_endpoint_version(
			st->endpoint[stream_endpoint(st, x[i].id)]));
	}
}

void
assert_stream_begins(fixture_t *st, int daemon)
{
	stream_t x;

	streams_begin(st, &x, 1, daemon);
	caller_free(x.c);
}

void
stream_lose(stream_t *x)
{
	g_assert_true(fixture_run_until(x->st, is_closed, x, WAIT_MS));
	g_assert_false(x->c->done);
	x->last = stream_last_event(x->c, x->last);
	g_assert_cmpint(x->last, <, EVENTS);
	caller_free(x->c);
	x->c = NULL;
}

void
streams_lose(stream_t *x, int n)
{
	int i;

	for (i = 0; i < n; i++)
		stream_lose(&x[i]);
}

void
stream_take_up(stream_t *x, int daemon)
{
	char attempt[32], *headers;
	static int count;

	snprintf(attempt, sizeof(attempt), "%s-%d", x->id, count++);
	headers = g_strdup_printf(
	    "Last-Event-Id: %d\r\nResumes: %s\r\n", x->last, x->id);
	stream_send(x, daemon, attempt, headers);
	g_free(headers);
}

bool
stream_goes_on(stream_t *x)
{
	int elsewhere;
	bool served;

	g_assert_true(caller_wait(x->c, WAIT_MS));
	elsewhere = stream_runs_at(x->st, x->attempt, NULL) -
		    stream_runs_at(x->st, x->attempt, x->began);
	g_assert_cmpint(elsewhere, ==, 0);
	served = x->c->status != 503;
	if (served) {
		g_assert_cmpint(x->c->status, ==, 200);
		g_assert_true(x->c->done);
		g_assert_cmpint(stream_last_event(x->c, x->last), ==, EVENTS);
	} else {
		g_assert_cmpint(stream_runs_at(x->st, x->attempt, NULL), ==, 0);
	}
	caller_free(x->c);
	x->c = NULL;
	return served;
}

int
streams_take_up(stream_t *x, int n, int first, int last, int attempts)
{
	bool served[STREAMS_MAX] = { false };
	int i, count = 0;

	while (attempts-- > 0 && count < n) {
		for (i = 0; i < n; i++)
			if (!served[i])
				stream_take_up(
				    &x[i], first + i % (last - first + 1));
		for (i = 0; i < n; i++)
			if (!served[i]) {
				served[i] = stream_goes_on(&x[i]);
				count += served[i];
			}
		if (attempts > 0 && count < n)
			fixture_run(x->st, RETRY_PAUSE_MS);
	}
	return count;
}
