/*
 * Each caller gets its whole answer, each event once, when a sound endpoint is
 * silent for a second or two and then goes on, or when a silent endpoint has to
 * be replaced.
 */
#include "tests/fixture.h"

#include <signal.h>
#include <string.h>
#include <sys/socket.h>

enum {
	WARM_CALLS = 8,		 /* at once, so that connections are kept */
	SILENCE_MS = 1800,	 /* of a stream; over the daemon's limit */
	PLAIN_SILENCE_MS = 1100, /* the same of a plain call */
	FOR_GOOD_MS = 60000,
	EVENTS = 8,
	LAST_EVENT = 3, /* before the silence */
	WAIT_MS = 6500, /* longer than any call's deadline */
	STREAMS = 6,	/* at once */
	BUSY_CALLS = 8, /* slots of an endpoint */
	BIG_EVENT = 64 << 10,
	BIG_EVENTS = 100,
	READER_PAUSE_MS = 2500,
	READER_BUFFER = 64 << 10,
};

#define GEN "Model: m1\r\nToken-Usage: 100,20\r\nDeadline-Remaining: 5000\r\n"
#define PLAIN "Deadline-Remaining: 1900\r\n"

static const fake_endpoint_opts_t plain = { .plain_ms = 20 };
static const fake_endpoint_opts_t stream = {
	.model = "m1", .events = EVENTS, .event_gap = 20, .adapter_slots = 4
};
/* As long as a call may last. */
static const fake_endpoint_opts_t long_stream = {
	.model = "m1", .events = 400, .event_gap = 20, .adapter_slots = 4
};
static const fake_endpoint_opts_t big_stream = { .model = "m1",
	.events = BIG_EVENTS,
	.event_gap = 5,
	.event_bytes = BIG_EVENT,
	.adapter_slots = 4 };

static fixture_t *
one_daemon(const fake_endpoint_opts_t *o, int n, const char *service)
{
	fixture_t *st = fixture_new();

	fixture_put_config(st, "");
	while (n-- > 0)
		fixture_add_endpoint(st, o, service);
	fixture_start_daemon(st, 0, true);
	return st;
}

static void
set_silence(fixture_t *st, int64_t after, ms_t span)
{
	int i;

	for (i = 0; i < st->nendpoint; i++)
		fake_endpoint_set_silence(st->endpoint[i], after, span);
}

static int
silent_endpoint(const fixture_t *st)
{
	int i;

	for (i = 0; i < st->nendpoint; i++)
		if (fake_endpoint_is_silent(st->endpoint[i]))
			return i;
	return -1;
}

static bool
is_one_silent(void *st)
{
	return silent_endpoint(st) != -1;
}

/* Wait until an endpoint is silent; no other one will be. @return which */
static int
wait_for_silence(fixture_t *st)
{
	int first;

	g_assert_true(fixture_run_until(st, is_one_silent, st, 3000));
	first = silent_endpoint(st);
	set_silence(st, -1, 0);
	return first;
}

static const executed_call_t *
run_at(const fixture_t *st, int endpoint, guint i)
{
	const GPtrArray *r = fake_endpoint_executed(st->endpoint[endpoint]);

	return i < r->len ? r->pdata[i] : NULL;
}

static guint
run_count(const fixture_t *st, int endpoint)
{
	return fake_endpoint_executed(st->endpoint[endpoint])->len;
}

/* Wait for the answer: complete, with each event once and in order. */
static void
assert_stream(caller_t *c, int events, int bytes)
{
	GString *want = g_string_new(NULL);
	int i;

	for (i = 1; i <= events; i++) {
		char *ev = fake_endpoint_event(i, bytes);

		g_string_append(want, ev);
		g_free(ev);
	}
	g_assert_true(caller_wait(c, WAIT_MS));
	g_assert_cmpint(c->status, ==, 200);
	g_assert_cmpuint(buf_len(&c->body), ==, want->len);
	g_assert_cmpint(
	    memcmp(c->body.p + c->body.off, want->str, want->len), ==, 0);
	g_assert_true(c->done);
	g_string_free(want, TRUE);
}

/*
 * A stream whose endpoint is silent after event @p after. The other endpoint,
 * if there is one, gets @p fault.
 */
static void
stream_goes_on(int64_t after, int nendpoint, endpoint_fault_t fault)
{
	fixture_t *st = one_daemon(&stream, nendpoint, "llm");
	caller_t *c;
	int first;

	set_silence(st, after, SILENCE_MS);
	c = caller_call(st, 0, "POST", "/gen/a", "r1", GEN);
	first = wait_for_silence(st);
	if (nendpoint > 1)
		fake_endpoint_set_fault(st->endpoint[1 - first], fault);
	assert_stream(c, EVENTS, 0);
	/* Without a replacement, the first run was never ended. */
	if (nendpoint == 1)
		g_assert_cmpuint(run_count(st, first), ==, 1);
	caller_free(c);
	fixture_free(st);
}

/* Guards against a cut because the only endpoint was silent for a while. */
static void
stream_at_the_only_endpoint(void)
{
	stream_goes_on(LAST_EVENT, 1, ENDPOINT_OK);
}

/* Guards against a 502 because the only endpoint began late. */
static void
stream_before_its_first_event(void)
{
	stream_goes_on(0, 1, ENDPOINT_OK);
}

/* Guards against a cut because the replacement didn't run the call. */
static void
stream_beside_an_endpoint_that_refuses(void)
{
	stream_goes_on(LAST_EVENT, 2, ENDPOINT_NOT_RUN);
}

/* Guards against a 502 because the replacement didn't run the call. */
static void
first_event_beside_an_endpoint_that_refuses(void)
{
	stream_goes_on(0, 2, ENDPOINT_NOT_RUN);
}

/* Guards against a cut because the replacement broke off. */
static void
stream_beside_an_endpoint_that_resets(void)
{
	stream_goes_on(LAST_EVENT, 2, ENDPOINT_RESET);
}

/*
 * Guards against calls that can't return because their silences have opened the
 * endpoint's circuit breaker.
 */
static void
streams_beside_an_endpoint_that_refuses(void)
{
	fixture_t *st = one_daemon(&stream, 1, "llm");
	caller_t *c[STREAMS];
	int i, at;

	set_silence(st, LAST_EVENT, SILENCE_MS);
	for (i = 0; i < STREAMS; i++) {
		char id[16];

		snprintf(id, sizeof(id), "r%d", i);
		c[i] = caller_call(st, 0, "POST", "/gen/a", id, GEN);
	}
	wait_for_silence(st);
	at = fixture_add_endpoint(st, &stream, "llm");
	fake_endpoint_set_fault(st->endpoint[at], ENDPOINT_NOT_RUN);
	for (i = 0; i < STREAMS; i++) {
		assert_stream(c[i], EVENTS, 0);
		caller_free(c[i]);
	}
	g_assert_cmpint(fake_endpoint_refused(st->endpoint[at]), >, 0);
	fixture_free(st);
}

/* A plain call, as in stream_goes_on(). */
static void
plain_call_is_answered(int nendpoint, endpoint_fault_t fault)
{
	fixture_t *st = one_daemon(&plain, nendpoint, "app");
	caller_t *c;
	int first;

	set_silence(st, 0, PLAIN_SILENCE_MS);
	c = caller_call(st, 0, "GET", "/safe/a", "r1", PLAIN);
	first = wait_for_silence(st);
	if (nendpoint > 1)
		fake_endpoint_set_fault(st->endpoint[1 - first], fault);
	g_assert_true(caller_wait(c, WAIT_MS));
	g_assert_cmpint(c->status, ==, 200);
	g_assert_true(c->done);
	if (nendpoint == 1)
		g_assert_cmpuint(run_count(st, first), ==, 1);
	caller_free(c);
	fixture_free(st);
}

/* Guards against a 502 because the only endpoint was silent for a while. */
static void
plain_call_at_the_only_endpoint(void)
{
	plain_call_is_answered(1, ENDPOINT_OK);
}

/* Guards against a 502 because the replacement didn't run the call. */
static void
plain_call_beside_an_endpoint_that_refuses(void)
{
	plain_call_is_answered(2, ENDPOINT_NOT_RUN);
}

static int
refused_count(const fixture_t *st)
{
	int i, n = 0;

	for (i = 0; i < st->nendpoint; i++)
		n += fake_endpoint_refused(st->endpoint[i]);
	return n;
}

static bool
one_has_refused(void *st)
{
	return refused_count(st) == 1;
}

static bool
two_have_refused(void *st)
{
	return refused_count(st) == 2;
}

/*
 * Guards against a cut because the endpoint that the call returns to refuses it
 * for the moment, as the replacement did.
 */
static void
stream_waits_while_both_endpoints_refuse(void)
{
	fixture_t *st = one_daemon(&stream, 2, "llm");
	caller_t *c;
	int i;

	set_silence(st, LAST_EVENT, SILENCE_MS);
	c = caller_call(st, 0, "POST", "/gen/a", "r1", GEN);
	wait_for_silence(st);
	for (i = 0; i < st->nendpoint; i++)
		fake_endpoint_set_fault(st->endpoint[i], ENDPOINT_NOT_RUN);
	g_assert_true(fixture_run_until(st, two_have_refused, st, 3000));
	for (i = 0; i < st->nendpoint; i++)
		fake_endpoint_set_fault(st->endpoint[i], ENDPOINT_OK);
	assert_stream(c, EVENTS, 0);
	caller_free(c);
	fixture_free(st);
}

/*
 * Guards against a call that comes to an endpoint again on a connection that it
 * has kept: an earlier refusal, written again there, may name the call.
 */
static void
return_is_on_a_new_connection(void)
{
	fixture_t *st = one_daemon(&plain, 2, "app");
	caller_t *warm[WARM_CALLS], *c;
	int first, i, answered = 0;

	for (i = 0; i < WARM_CALLS; i++)
		warm[i] = caller_call(st, 0, "GET", "/safe/a", "warm", PLAIN);
	for (i = 0; i < WARM_CALLS; i++) {
		g_assert_true(caller_wait(warm[i], WAIT_MS));
		caller_free(warm[i]);
	}
	set_silence(st, 0, PLAIN_SILENCE_MS);
	c = caller_call(st, 0, "GET", "/safe/a", "r1", PLAIN);
	first = wait_for_silence(st);
	/* The silent call has one of its connections, another one is kept. */
	g_assert_cmpint(fake_endpoint_connections(st->endpoint[first]), >=, 2);
	fake_endpoint_set_fault(st->endpoint[1 - first], ENDPOINT_NOT_RUN);
	g_assert_true(fixture_run_until(st, one_has_refused, st, 3000));
	fake_endpoint_set_fault(st->endpoint[1 - first], ENDPOINT_OK);
	g_assert_true(caller_wait(c, WAIT_MS));
	g_assert_cmpint(c->status, ==, 200);
	for (i = 0; i < 2; i++) {
		const executed_call_t *r =
		    run_count(st, i) > 0 ? run_at(st, i, run_count(st, i) - 1)
					 : NULL;

		if (r == NULL || strcmp(r->id, "r1") != 0 || r->cancelled)
			continue;
		g_assert_false(r->kept);
		answered++;
	}
	g_assert_cmpint(answered, ==, 1);
	caller_free(c);
	fixture_free(st);
}

/*
 * Guards against more endpoints than the route allows, two: the call returns to
 * the first one though a third one would take it.
 */
static void
return_is_no_further_endpoint(void)
{
	fixture_t *st = one_daemon(&plain, 3, "app");
	caller_t *c;
	int first, i;

	set_silence(st, 0, PLAIN_SILENCE_MS);
	c = caller_call(st, 0, "GET", "/safe/a", "r1", PLAIN);
	first = wait_for_silence(st);
	for (i = 0; i < st->nendpoint; i++)
		if (i != first)
			fake_endpoint_set_fault(
			    st->endpoint[i], ENDPOINT_NOT_RUN);
	g_assert_true(fixture_run_until(st, one_has_refused, st, 3000));
	for (i = 0; i < st->nendpoint; i++)
		fake_endpoint_set_fault(st->endpoint[i], ENDPOINT_OK);
	g_assert_true(caller_wait(c, WAIT_MS));
	g_assert_cmpint(c->status, ==, 200);
	g_assert_cmpuint(run_count(st, first), ==, 2);
	for (i = 0; i < st->nendpoint; i++)
		if (i != first)
			g_assert_cmpuint(run_count(st, i), ==, 0);
	caller_free(c);
	fixture_free(st);
}

/* Guards against a second run of a call that may run once. */
static void
call_that_may_run_once_is_sent_once(void)
{
	fixture_t *st = one_daemon(&plain, 2, "app");
	caller_t *c;

	set_silence(st, 0, PLAIN_SILENCE_MS);
	c = caller_call(st, 0, "POST", "/once/a", "r1", PLAIN);
	wait_for_silence(st);
	g_assert_true(caller_wait(c, WAIT_MS));
	g_assert_cmpint(c->status, ==, 200);
	g_assert_cmpuint(run_count(st, 0) + run_count(st, 1), ==, 1);
	caller_free(c);
	fixture_free(st);
}

/* Guards against cuts that users count as those of a new configuration. */
static void
stream_beside_a_new_configuration(void)
{
	fixture_t *st = one_daemon(&stream, 1, "llm");
	caller_t *c;

	set_silence(st, LAST_EVENT, SILENCE_MS);
	c = caller_call(st, 0, "POST", "/gen/a", "r1", GEN);
	wait_for_silence(st);
	fixture_put_config(st, "");
	assert_stream(c, EVENTS, 0);
	caller_free(c);
	fixture_free(st);
}

/* Guards against cuts that users count as those of SIGHUP. */
static void
stream_beside_sighup(void)
{
	fixture_t *st = one_daemon(&stream, 1, "llm");
	caller_t *c;

	set_silence(st, LAST_EVENT, SILENCE_MS);
	c = caller_call(st, 0, "POST", "/gen/a", "r1", GEN);
	wait_for_silence(st);
	proc_signal(st->daemon[0], SIGHUP);
	assert_stream(c, EVENTS, 0);
	caller_free(c);
	fixture_free(st);
}

static bool
all_run(void *arg)
{
	return run_count(arg, 0) == BUSY_CALLS;
}

static bool
second_call_ran(void *arg)
{
	return run_count(arg, 1) == 1;
}

/*
 * Guards against ending an attempt for a replacement that has no slot free. The
 * first endpoint is full, so the call's run is at the second one.
 */
static void
stream_beside_a_busy_endpoint(void)
{
	fixture_t *st = one_daemon(&long_stream, 1, "llm");
	caller_t *busy[BUSY_CALLS], *c;
	int i, at;

	for (i = 0; i < BUSY_CALLS; i++) {
		char id[16];

		snprintf(id, sizeof(id), "busy-%d", i);
		busy[i] = caller_call(st, 0, "POST", "/gen/a", id, GEN);
	}
	g_assert_true(fixture_run_until(st, all_run, st, 3000));
	at = fixture_add_endpoint(st, &stream, "llm");
	fake_endpoint_set_silence(st->endpoint[at], LAST_EVENT, SILENCE_MS);
	c = caller_call(st, 0, "POST", "/gen/a", "r1",
	    "Model: m1\r\nToken-Usage: 100,20\r\nDeadline-Remaining: 4000\r\n");
	g_assert_true(fixture_run_until(st, second_call_ran, st, 3000));
	assert_stream(c, EVENTS, 0);
	g_assert_cmpuint(run_count(st, at), ==, 1);
	caller_free(c);
	for (i = 0; i < BUSY_CALLS; i++)
		caller_free(busy[i]);
	fixture_free(st);
}

/* A caller that stops reading for a while, longer than a silence may last. */
static void
slow_caller(int nendpoint)
{
	fixture_t *st = one_daemon(&big_stream, nendpoint, "llm");
	caller_t *c = caller_call(st, 0, "POST", "/gen/a", "r1", GEN);
	int bytes = READER_BUFFER, i;
	guint runs = 0;

	setsockopt(
	    c->http->watch.fd, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof(bytes));
	http_conn_pause(c->http, true);
	fixture_run(st, READER_PAUSE_MS);
	http_conn_pause(c->http, false);
	assert_stream(c, BIG_EVENTS, BIG_EVENT);
	for (i = 0; i < nendpoint; i++)
		runs += run_count(st, i);
	g_assert_cmpuint(runs, ==, 1);
	caller_free(c);
	fixture_free(st);
}

/* Guards against a cut because we don't read the endpoint for a while. */
static void
caller_reads_slowly(void)
{
	slow_caller(1);
}

/* Guards against a replacement because we don't read the endpoint. */
static void
caller_reads_slowly_beside_another_endpoint(void)
{
	slow_caller(2);
}

/* The endpoint is silent for good, the other one is good. */
static void
stream_is_moved(int64_t after)
{
	fixture_t *st = one_daemon(&stream, 2, "llm");
	caller_t *c;
	int first;

	set_silence(st, after, FOR_GOOD_MS);
	c = caller_call(st, 0, "POST", "/gen/a", "r1", GEN);
	first = wait_for_silence(st);
	assert_stream(c, EVENTS, 0);
	g_assert_cmpuint(run_count(st, first), ==, 1);
	g_assert_true(run_at(st, first, 0)->cancelled);
	g_assert_cmpuint(run_count(st, 1 - first), ==, 1);
	g_assert_cmpint(run_at(st, 1 - first, 0)->last_event_id, ==,
	    after > 0 ? after : -1);
	caller_free(c);
	fixture_free(st);
}

/* Guards against a stream that stays at an endpoint that has stopped. */
static void
stream_leaves_an_endpoint_that_stopped(void)
{
	stream_is_moved(LAST_EVENT);
}

/* Guards against the same before the first event. */
static void
stream_leaves_an_endpoint_that_never_began(void)
{
	stream_is_moved(0);
}

#define T(name) g_test_add_func("/silence/" #name, name)

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	T(stream_at_the_only_endpoint);
	T(stream_before_its_first_event);
	T(stream_beside_an_endpoint_that_refuses);
	T(first_event_beside_an_endpoint_that_refuses);
	T(stream_beside_an_endpoint_that_resets);
	T(streams_beside_an_endpoint_that_refuses);
	T(plain_call_at_the_only_endpoint);
	T(plain_call_beside_an_endpoint_that_refuses);
	T(return_is_on_a_new_connection);
	T(return_is_no_further_endpoint);
	T(stream_waits_while_both_endpoints_refuse);
	T(call_that_may_run_once_is_sent_once);
	T(stream_beside_a_new_configuration);
	T(stream_beside_sighup);
	T(stream_beside_a_busy_endpoint);
	T(caller_reads_slowly);
	T(caller_reads_slowly_beside_another_endpoint);
	T(stream_leaves_an_endpoint_that_stopped);
	T(stream_leaves_an_endpoint_that_never_began);
	return g_test_run();
}
