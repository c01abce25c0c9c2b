/* Calls through one daemon, with endpoints that have every kind of fault. */
#define _GNU_SOURCE /* F_SETPIPE_SZ */
#include "tests/fixture.h"

#include <fcntl.h>
#include <signal.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

enum {
	/* Limit from a caller's disconnect to the cancel at the endpoint. */
	CANCEL_MAX_MS = 500,
	CUT_GAP_MS = 5, /* between the two parts of a request */
};

static const fake_endpoint_opts_t plain = { .plain_ms = 20 };
static const fake_endpoint_opts_t stream = {
	.model = "m1", .events = 8, .event_gap = 20, .adapter_slots = 4
};

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

static int
run_count(const fixture_t *st)
{
	int i, n = 0;

	for (i = 0; i < st->nendpoint; i++)
		n += (int)fake_endpoint_executed(st->endpoint[i])->len;
	return n;
}

static const executed_call_t *
run_at(const fixture_t *st, int endpoint, guint i)
{
	const GPtrArray *r = fake_endpoint_executed(st->endpoint[endpoint]);

	return i < r->len ? r->pdata[i] : NULL;
}

/* The body has the events from @p from to @p n, each once and in order. */
static void
assert_events(const caller_t *c, int from, int n)
{
	GString *want = g_string_new(NULL);
	int i;

	for (i = from; i <= n; i++)
		g_string_append_printf(
		    want, "id: %d\ndata: token %d\n\n", i, i);
	g_assert_cmpuint(buf_len(&c->body), ==, want->len);
	g_assert_cmpint(
	    memcmp(c->body.p + c->body.off, want->str, want->len), ==, 0);
	g_string_free(want, TRUE);
}

static void
plain_call_is_forwarded_unchanged(void)
{
	fixture_t *st = one_daemon(&plain, 1, "app");
	caller_t *c = caller_call(st, 0, "POST", "/once/a?b=c", "r1",
	    "Deadline-Remaining: 1500\r\nX-Own: kept\r\nKv-From: evil\r\n"
	    "Request-Priority: 0\r\nHold: evil\r\nConnection: X-Hop\r\n"
	    "X-Hop: dropped\r\n");
	const executed_call_t *r;

	g_assert_true(caller_wait(c, 3000));
	g_assert_cmpint(c->status, ==, 200);
	g_assert_nonnull(strstr(c->headers, "Server-Signature: s1"));
	g_assert_nonnull(strstr(c->headers, "Request-Id: r1"));
	r = run_at(st, 0, 0);
	g_assert_true(g_str_has_prefix(r->headers, "/once/a?b=c\n"));
	g_assert_cmpstr(r->body, ==, "body");
	g_assert_nonnull(strstr(r->headers, "X-Own: kept"));
	g_assert_nonnull(strstr(r->headers, "Expect-Instance: ep-0"));
	g_assert_null(strstr(r->headers, "evil"));
	g_assert_null(strstr(r->headers, "X-Hop"));
	g_assert_null(strstr(r->headers, "Request-Priority"));
	g_assert_cmpint(r->time_left, <=, 1500);
	g_assert_cmpint(r->time_left, >, 1200);
	caller_free(c);
	fixture_free(st);
}

static void
stream_is_relayed_completely(void)
{
	fixture_t *st = one_daemon(&stream, 1, "llm");
	caller_t *c = caller_call(st, 0, "POST", "/gen/a", "r1",
	    "Model: m1\r\nToken-Usage: 100,20\r\nDeadline-Remaining: 5000\r\n");

	g_assert_true(caller_wait(c, 4000));
	g_assert_true(c->done);
	g_assert_cmpint(c->status, ==, 200);
	assert_events(c, 1, 8);
	/* Events are relayed as they arrive, not all at the end. */
	g_assert_cmpint(c->ended_at - c->first_byte_at, >, 80);
	caller_free(c);
	fixture_free(st);
}

/*
 * An unsafe call that may have run is neither sent again nor answered as not
 * run.
 */
static void
unsafe_call_is_sent_once(void)
{
	static const endpoint_fault_t faults[] = { ENDPOINT_RESET,
		ENDPOINT_BUSY, ENDPOINT_UNSIGNED, ENDPOINT_SILENT };
	fixture_t *st = one_daemon(&plain, 3, "app");
	size_t i;
	int h;

	for (i = 0; i < G_N_ELEMENTS(faults); i++) {
		char id[16];
		int before = run_count(st);
		caller_t *c;

		for (h = 0; h < st->nendpoint; h++)
			fake_endpoint_set_fault(st->endpoint[h], faults[i]);
		snprintf(id, sizeof(id), "r%zu", i);
		c = caller_call(st, 0, "POST", "/once/a", id,
		    "Deadline-Remaining: 900\r\n");
		g_assert_true(caller_wait(c, 3000));
		g_assert_true(c->done);
		g_assert_true(c->status == 502 || c->status == 504);
		g_assert_cmpint(run_count(st) - before, ==, 1);
		caller_free(c);
	}
	fixture_free(st);
}

static void
safe_call_is_retried(void)
{
	fixture_t *st = one_daemon(&plain, 2, "app");
	caller_t *c;
	int i;

	fake_endpoint_set_fault(st->endpoint[0], ENDPOINT_RESET);
	for (i = 0; i < 6; i++) {
		char id[16];

		snprintf(id, sizeof(id), "r%d", i);
		c = caller_expect(st, 200, "GET", "/safe/a", id,
		    "Deadline-Remaining: 1500\r\n");
		caller_free(c);
	}
	g_assert_cmpuint(fake_endpoint_executed(st->endpoint[0])->len, >, 0);
	fixture_free(st);
}

static void
call_not_run_is_refused_as_such(void)
{
	fixture_t *st = one_daemon(&plain, 2, "app");
	caller_t *c;

	fake_endpoint_set_fault(st->endpoint[0], ENDPOINT_NOT_RUN);
	fake_endpoint_set_fault(st->endpoint[1], ENDPOINT_NOT_RUN);
	c = caller_expect(
	    st, 503, "POST", "/once/a", "r1", "Deadline-Remaining: 1500\r\n");
	g_assert_nonnull(strstr(c->headers, "Retry-After: "));
	g_assert_cmpint(run_count(st), ==, 0);
	caller_free(c);
	fake_endpoint_set_fault(st->endpoint[0], ENDPOINT_OK);
	c = caller_expect(
	    st, 200, "POST", "/once/a", "r2", "Deadline-Remaining: 1500\r\n");
	caller_free(c);
	fixture_free(st);
}

static void
broken_stream_resumes_on_another_endpoint(void)
{
	fixture_t *st = one_daemon(&stream, 2, "llm");
	caller_t *c;
	int first;

	fake_endpoint_set_fault(st->endpoint[0], ENDPOINT_CUT_STREAM);
	fake_endpoint_set_fault(st->endpoint[1], ENDPOINT_CUT_STREAM);
	c = caller_call(st, 0, "POST", "/gen/a", "r1",
	    "Model: m1\r\nToken-Usage: 100,20\r\nDeadline-Remaining: 5000\r\n");
	fixture_run(st, 50);
	first = fake_endpoint_executed(st->endpoint[0])->len > 0 ? 0 : 1;
	fake_endpoint_set_fault(st->endpoint[1 - first], ENDPOINT_OK);
	g_assert_true(caller_wait(c, 4000));
	g_assert_true(c->done);
	assert_events(c, 1, 8);
	g_assert_cmpint(run_count(st), ==, 2);
	/* It was cut inside the third event, so it resumes after the second. */
	g_assert_cmpint(run_at(st, 1 - first, 0)->last_event_id, ==, 2);
	caller_free(c);
	fixture_free(st);
}

static bool
any_call_ran(void *st)
{
	return run_count(st) > 0;
}

static bool
one_has_refused(void *arg)
{
	const fixture_t *st = arg;
	int i, n = 0;

	for (i = 0; i < st->nendpoint; i++)
		n += fake_endpoint_refused(st->endpoint[i]);
	return n == 1;
}

/*
 * Guards against a cut when an endpoint refuses the rest of a stream and a
 * third one may still be tried.
 */
static void
broken_stream_goes_on_after_a_refusal(void)
{
	fixture_t *st = one_daemon(&stream, 3, "llm");
	caller_t *c;
	int i;

	for (i = 0; i < st->nendpoint; i++)
		fake_endpoint_set_fault(st->endpoint[i], ENDPOINT_CUT_STREAM);
	c = caller_call(st, 0, "POST", "/gen/a", "r1",
	    "Model: m1\r\nToken-Usage: 100,20\r\nDeadline-Remaining: 5000\r\n");
	g_assert_true(fixture_run_until(st, any_call_ran, st, 1000));
	for (i = 0; i < st->nendpoint; i++)
		if (run_at(st, i, 0) == NULL)
			fake_endpoint_set_fault(
			    st->endpoint[i], ENDPOINT_NOT_RUN);
	g_assert_true(fixture_run_until(st, one_has_refused, st, 2000));
	for (i = 0; i < st->nendpoint; i++)
		fake_endpoint_set_fault(st->endpoint[i], ENDPOINT_OK);
	g_assert_true(caller_wait(c, 4000));
	g_assert_true(c->done);
	assert_events(c, 1, 8);
	g_assert_cmpint(run_count(st), ==, 2);
	caller_free(c);
	fixture_free(st);
}

static void
broken_stream_that_cant_resume_ends_incomplete(void)
{
	fixture_t *st = one_daemon(&stream, 2, "llm");
	caller_t *c;

	fake_endpoint_set_fault(st->endpoint[0], ENDPOINT_CUT_STREAM);
	fake_endpoint_set_fault(st->endpoint[1], ENDPOINT_CUT_STREAM);
	c = caller_call(st, 0, "POST", "/gen1/a", "r1",
	    "Model: m1\r\nToken-Usage: 100,20\r\nDeadline-Remaining: 5000\r\n");
	g_assert_true(caller_wait(c, 4000));
	g_assert_false(c->done);
	g_assert_true(c->closed);
	assert_events(c, 1, 2);
	g_assert_cmpint(run_count(st), ==, 1);
	caller_free(c);
	fixture_free(st);
}

static void
answers_to_other_calls_are_discarded(void)
{
	fixture_t *st = one_daemon(&plain, 1, "app");
	int i;

	for (i = 0; i < 4; i++) {
		char id[16];
		caller_t *c;

		fake_endpoint_set_fault(st->endpoint[0],
		    i % 2 ? ENDPOINT_FOREIGN_ANSWER : ENDPOINT_EXTRA_ANSWER);
		snprintf(id, sizeof(id), "r%d", i);
		c = caller_expect(st, 200, "POST", "/once/a", id,
		    "Deadline-Remaining: 1500\r\n");
		g_assert_cmpuint(
		    buf_len(&c->body), ==, strlen("answer to r0 by ep-0"));
		caller_free(c);
	}
	fixture_free(st);
}

static guint
nrun(const fixture_t *st, int endpoint)
{
	return fake_endpoint_executed(st->endpoint[endpoint])->len;
}

/*
 * Guards against a call that runs at a second endpoint, or is answered as not
 * run, since the first one wrote an earlier refusal again.
 */
static void
earlier_refusal_isn_t_this_call_s(void)
{
	fixture_t *st = one_daemon(&plain, 1, "app");
	char id[16];
	int i;

	fixture_add_endpoint(st, &plain, "app");
	fixture_run(st, 1500);
	for (i = 0; i < 2; i++)
		fake_endpoint_set_fault(
		    st->endpoint[i], ENDPOINT_UNNAMED_REFUSAL);
	for (i = 0; i < 12; i++) {
		guint before = nrun(st, 0) + nrun(st, 1);
		caller_t *c;

		snprintf(id, sizeof(id), "r%d", i);
		c = caller_call(st, 0, "POST", "/once/a", id,
		    "Deadline-Remaining: 1500\r\n");
		g_assert_true(caller_wait(c, 3000));
		g_assert_cmpuint(nrun(st, 0) + nrun(st, 1) - before, ==, 1);
		g_assert_cmpint(c->status, !=, 503);
		g_assert_cmpint(c->status, !=, 421);
		caller_free(c);
	}
	fixture_free(st);
}

/* Whether the first endpoint's first call has been cancelled. */
static bool
is_cancelled(void *arg)
{
	fixture_t *st = arg;
	const executed_call_t *r = run_at(st, 0, 0);

	return r != NULL && r->cancelled;
}

static void
stream_is_cancelled_when_its_caller_disconnects(void)
{
	static const fake_endpoint_opts_t slow = {
		.model = "m1", .events = 400, .event_gap = 20
	};
	fixture_t *st = one_daemon(&slow, 1, "llm");
	caller_t *c = caller_call(st, 0, "POST", "/gen/a", "r1",
	    "Model: m1\r\nToken-Usage: 100,20\r\nDeadline-Remaining: 5000\r\n");

	fixture_run(st, 200);
	g_assert_cmpint(run_count(st), ==, 1);
	caller_close(c);
	g_assert_true(fixture_run_until(st, is_cancelled, st, CANCEL_MAX_MS));
	caller_free(c);
	fixture_free(st);
}

static void
plain_call_is_cancelled_when_its_caller_disconnects(void)
{
	fixture_t *st = one_daemon(&plain, 1, "app");
	caller_t *c;

	fake_endpoint_set_fault(st->endpoint[0], ENDPOINT_SILENT);
	c = caller_call(
	    st, 0, "POST", "/once/a", "r1", "Deadline-Remaining: 1900\r\n");
	fixture_run(st, 150);
	caller_close(c);
	g_assert_true(fixture_run_until(st, is_cancelled, st, CANCEL_MAX_MS));
	caller_free(c);
	fixture_free(st);
}

static void
route_timeout_is_enforced(void)
{
	fixture_t *st = one_daemon(&plain, 1, "app");
	caller_t *c;

	fake_endpoint_set_fault(st->endpoint[0], ENDPOINT_SILENT);
	c = caller_call(st, 0, "GET", "/safe/brief/a", "r1",
	    "Deadline-Remaining: 1900\r\n");
	g_assert_true(caller_wait(c, 2000));
	g_assert_cmpint(c->status, ==, 504);
	/* The route's timeout_ms is 400. */
	g_assert_cmpint(c->ended_at - c->started_at, <, 700);
	caller_free(c);
	fixture_free(st);
}

static void
unknown_route_and_no_configuration(void)
{
	fixture_t *st = fixture_new();
	caller_t *c;

	fixture_start_daemon(st, 0, false);
	fixture_run(st, 600);
	g_assert_cmpint(
	    page_status(st, st->ready[0], "/v1/ready", NULL), ==, 503);
	c = caller_call(st, 0, "GET", "/safe/a", "r1", "");
	g_assert_true(caller_wait(c, 2000));
	g_assert_cmpint(c->status, ==, 503);
	caller_free(c);
	fixture_put_config(st, "");
	fixture_run(st, 1500);
	c = caller_call(st, 0, "GET", "/nowhere/a", "r2", "");
	g_assert_true(caller_wait(c, 2000));
	g_assert_cmpint(c->status, ==, 404);
	caller_free(c);
	fixture_free(st);
}

/* Each gets an error answer, and its connection is closed. */
static void
malformed_requests_close_the_connection(void)
{
	static const char *const bad[] = {
		"POST /once/a HTTP/1.1\r\nHost: h.example\r\nRequest-Id: x\r\n"
		"Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n"
		"0\r\n\r\nGET /safe/x HTTP/1.1\r\nHost: h.example\r\n"
		"Request-Id: smuggled\r\n\r\n",
		"POST /once/a HTTP/1.1\r\nHost: h.example\r\nRequest-Id: x\r\n"
		"Content-Length: 4\r\nContent-Length: 5\r\n\r\nbody!",
		"POST /once/a HTTP/1.1\r\nHost: h.example\r\nRequest-Id: x\r\n"
		"Content-Length : 4\r\n\r\nbody",
		"POST /once/a HTTP/1.1\r\nHost: h.example\r\nRequest-Id: x\r\n"
		"Content-Length: -1\r\n\r\nbody",
		"POST /once/a HTTP/1.1\r\nHost: h.example\r\nRequest-Id: x\r\n"
		"Transfer-Encoding: gzip\r\n\r\nbody",
		"POST /once/a HTTP/1.1\nHost: h.example\nRequest-Id: x\n"
		"Content-Length: 4\n\nbody",
		"GET /safe/a HTTP/1.1\r\nHost: h.example\r\nRequest-Id: x\r\n"
		"X-Folded: a\r\n b\r\n\r\n",
		"nonsense\r\n\r\n",
	};
	fixture_t *st = one_daemon(&plain, 1, "app");
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(bad); i++) {
		caller_t *c = caller_send(st, 0, bad[i]);

		g_assert_true(caller_wait(c, 1500));
		g_assert_cmpint(c->status, ==, 400);
		fixture_run(st, 100);
		g_assert_true(c->closed);
		caller_free(c);
	}
	g_assert_cmpint(run_count(st), ==, 0);
	fixture_free(st);
}

/*
 * Guards against a proper request that is refused because the empty line, or a
 * part of it, was read together with the body.
 */
static void
request_is_served_wherever_it_is_cut(void)
{
	static const char body[] = " {\n\"a\":\n1}";
	fixture_t *st = one_daemon(&plain, 1, "app");
	size_t cut, size = 2;

	for (cut = 1; cut < size; cut++) {
		char *text = g_strdup_printf(
		    "POST /once/a HTTP/1.1\r\nHost: h.example\r\n"
		    "Request-Id: r%03zu\r\nContent-Length: %zu\r\n\r\n%s",
		    cut, strlen(body), body);
		char *rest = g_strdup(text + cut);
		caller_t *c;

		size = strlen(text);
		text[cut] = '\0';
		c = caller_send(st, 0, text);
		fixture_run(st, CUT_GAP_MS);
		buf_str(&c->http->out, rest);
		http_conn_flush(c->http);
		g_assert_true(caller_wait(c, 1500));
		g_test_message("cut at %zu of %zu", cut, size);
		g_assert_cmpint(c->status, ==, 200);
		g_assert_cmpstr(run_at(st, 0, (int)cut - 1)->body, ==, body);
		caller_free(c);
		g_free(text);
		g_free(rest);
	}
	fixture_free(st);
}

static void
missing_host_and_limits(void)
{
	fixture_t *st = one_daemon(&plain, 1, "app");
	GString *big = g_string_new(
	    "GET /safe/a HTTP/1.1\r\nHost: h.example\r\nRequest-Id: x\r\n");
	caller_t *c;
	int i;

	c = caller_send(st, 0, "GET /safe/a HTTP/1.1\r\nRequest-Id: x\r\n\r\n");
	g_assert_true(caller_wait(c, 1500));
	g_assert_cmpint(c->status, ==, 400);
	caller_free(c);
	for (i = 0; i < 60; i++)
		g_string_append_printf(big, "X-%d: %0100d\r\n", i, i);
	g_string_append(big, "\r\n");
	c = caller_send(st, 0, big->str);
	g_assert_true(caller_wait(c, 1500));
	g_assert_cmpint(c->status, ==, 431);
	caller_free(c);
	c = caller_send(st, 0,
	    "POST /once/a HTTP/1.1\r\nHost: h.example\r\nRequest-Id: x\r\n"
	    "Content-Length: 70000\r\n\r\nstart");
	g_assert_true(caller_wait(c, 1500));
	g_assert_cmpint(c->status, ==, 413);
	caller_free(c);
	/* A request head that is never completed. */
	c = caller_send(st, 0, "GET /safe/a HTTP/1.1\r\nHost: h");
	g_assert_true(caller_wait(c, 2500));
	g_assert_cmpint(c->status, ==, 408);
	caller_free(c);
	g_string_free(big, TRUE);
	g_assert_cmpint(run_count(st), ==, 0);
	fixture_free(st);
}

static void
chunked_body_is_forwarded(void)
{
	fixture_t *st = one_daemon(&plain, 1, "app");
	caller_t *c = caller_send(st, 0,
	    "POST /once/a HTTP/1.1\r\nHost: h.example\r\nRequest-Id: r1\r\n"
	    "Deadline-Remaining: 1500\r\nTransfer-Encoding: chunked\r\n\r\n"
	    "3\r\nabc\r\n2\r\nde\r\n0\r\nKv-From: trailer\r\n\r\n");

	g_assert_true(caller_wait(c, 3000));
	g_assert_cmpint(c->status, ==, 200);
	g_assert_cmpstr(run_at(st, 0, 0)->body, ==, "abcde");
	g_assert_null(strstr(run_at(st, 0, 0)->headers, "trailer"));
	caller_free(c);
	fixture_free(st);
}

static void
endpoint_connections_are_reused(void)
{
	fixture_t *st = one_daemon(&plain, 1, "app");
	int i;

	for (i = 0; i < 10; i++) {
		char id[16];
		caller_t *c;

		snprintf(id, sizeof(id), "r%d", i);
		c = caller_expect(st, 200, "GET", "/safe/a", id,
		    "Deadline-Remaining: 1500\r\n");
		caller_free(c);
	}
	g_assert_cmpint(fake_endpoint_connections(st->endpoint[0]), ==, 1);
	fixture_free(st);
}

/*
 * The daemon reads the endpoint's answer and the caller's reset in one loop
 * turn, the answer first; writing to the caller then fails. The daemon must
 * survive that.
 */
static void
caller_resets_as_its_answer_arrives(void)
{
	static const char *const path[] = { "/once/a", "/gen/a" };
	struct linger hard = { 1, 0 };
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(path); i++) {
		fixture_t *st = one_daemon(
		    i == 0 ? &plain : &stream, 1, i == 0 ? "app" : "llm");
		caller_t *c = caller_call(st, 0, "POST", path[i], "r1",
		    i == 0 ? "" : "Model: m1\r\nToken-Usage: 100,20\r\n");

		g_assert_true(
		    fixture_run_until(st, fixture_call_ran, st, 1000));
		proc_signal(st->daemon[0], SIGSTOP);
		fixture_run(st, 300);
		setsockopt(c->http->watch.fd, SOL_SOCKET, SO_LINGER, &hard,
		    sizeof(hard));
		caller_free(c);
		proc_signal(st->daemon[0], SIGCONT);
		fixture_run(st, 300);
		g_assert_false(proc_ended(st->daemon[0], 0));
		fixture_free(st);
	}
}

/* The end of the connection ends the answer, which is complete. */
static void
answer_without_a_length_ends_with_its_connection(void)
{
	fixture_t *st = one_daemon(&plain, 1, "app");
	caller_t *c;

	fake_endpoint_set_fault(st->endpoint[0], ENDPOINT_NO_LENGTH);
	c = caller_expect(st, 200, "POST", "/once/a", "r1", "");
	g_assert_nonnull(strstr(c->body.p, "answer to r1 by ep-0"));
	caller_free(c);
	fixture_free(st);
}

/*
 * A reset truncates the answer: it mustn't be forwarded as complete, and the
 * call may have run.
 */
static void
truncated_answer_is_an_error(void)
{
	fixture_t *st = one_daemon(&plain, 2, "app");
	caller_t *c;

	fake_endpoint_set_fault(st->endpoint[0], ENDPOINT_TRUNCATED);
	fake_endpoint_set_fault(st->endpoint[1], ENDPOINT_TRUNCATED);
	c = caller_expect(st, 502, "POST", "/once/a", "r1", "");
	g_assert_cmpint(run_count(st), ==, 1);
	caller_free(c);
	/* A safe call is answered by another endpoint. */
	fake_endpoint_set_fault(st->endpoint[1], ENDPOINT_OK);
	c = caller_expect(st, 200, "GET", "/safe/a", "r2", "");
	g_assert_nonnull(strstr(c->body.p, "answer to r2 by ep-1"));
	caller_free(c);
	fixture_free(st);
}

/*
 * An endpoint answers before it has read the whole request body. If the
 * connection were reused, the rest of the body would be read as the next
 * request.
 */
static void
early_answer_closes_its_connection(void)
{
	fixture_t *st = one_daemon(&plain, 1, "app");
	enum {
		BODY = 60000
	};
	char *body = g_strnfill(BODY, 'x');
	char *text = g_strdup_printf(
	    "POST /once/a HTTP/1.1\r\nHost: h.example\r\nRequest-Id: r1\r\n"
	    "Content-Length: %d\r\n\r\n%s",
	    BODY, body);
	caller_t *c;

	fake_endpoint_set_fault(st->endpoint[0], ENDPOINT_EARLY_ANSWER);
	c = caller_send(st, 0, text);
	g_assert_true(caller_wait(c, 3000));
	g_assert_cmpint(c->status, ==, 503);
	g_assert_cmpint(run_count(st), ==, 0);
	caller_free(c);
	fake_endpoint_set_fault(st->endpoint[0], ENDPOINT_OK);
	c = caller_expect(st, 200, "POST", "/once/b", "r2", "");
	g_assert_cmpint(fake_endpoint_connections(st->endpoint[0]), ==, 2);
	caller_free(c);
	g_free(text);
	g_free(body);
	fixture_free(st);
}

enum {
	PIPE_BYTES = 4096, /* the smallest size of a pipe */
	AT_ONCE = 40,
	ROUNDS = 10,
};

static double
metric(fixture_t *st, const char *name)
{
	char addr[64], *body = NULL, *at;
	double v;

	snprintf(addr, sizeof(addr), "%.*s:9464",
	    (int)strcspn(st->caller[0], ":"), st->caller[0]);
	g_assert_cmpint(page_status(st, addr, "/metrics", &body), ==, 200);
	at = g_strrstr(body, name);
	g_assert_nonnull(at);
	v = g_ascii_strtod(at + strlen(name), NULL);
	g_free(body);
	return v;
}

static void
make_calls(fixture_t *st)
{
	caller_t *c[AT_ONCE];
	char id[24];
	int i, k;

	for (k = 0; k < ROUNDS; k++) {
		for (i = 0; i < AT_ONCE; i++) {
			snprintf(id, sizeof(id), "r%d-%d", k, i);
			c[i] = caller_call(st, 0, "GET", "/safe/a", id,
			    "Deadline-Remaining: 1500\r\n");
		}
		for (i = 0; i < AT_ONCE; i++) {
			g_assert_true(caller_wait(c[i], 3000));
			g_assert_cmpint(c[i]->status, ==, 200);
			caller_free(c[i]);
		}
	}
}

/*
 * With a full log pipe that nobody reads, log lines are dropped but calls are
 * served.
 */
static void
blocked_log_reader_doesnt_block_calls(void)
{
	static char bytes[PIPE_BYTES * 16];
	fixture_t *st = fixture_new();
	caller_t *c;
	int out[2], i;
	ssize_t n;

	fixture_put_config(st, "");
	for (i = 0; i < 3; i++)
		fixture_add_endpoint(st, &plain, "app");
	g_assert_cmpint(pipe(out), ==, 0);
	g_assert_cmpint(fcntl(out[1], F_SETPIPE_SZ, PIPE_BYTES), >, 0);
	g_assert_cmpint(write(out[1], bytes, PIPE_BYTES), ==, PIPE_BYTES);
	g_assert_cmpint(fcntl(out[0], F_SETFL, O_NONBLOCK), ==, 0);
	proc_output(out[1]);
	fixture_start_daemon(st, 0, true);
	make_calls(st);
	g_assert_cmpfloat(metric(st, "\nebonypitch_log_dropped "), >, 0);
	/*
	 * When it is read again, logging goes on and reports the dropped lines.
	 */
	n = read(out[0], bytes, sizeof(bytes) - 1);
	g_assert_cmpint(n, ==, PIPE_BYTES);
	for (i = 0; i < 20; i++) {
		c = caller_call(st, 0, "GET", "/safe/a", "after", "");
		g_assert_true(caller_wait(c, 3000));
		caller_free(c);
		n = read(out[0], bytes, sizeof(bytes) - 1);
		bytes[n > 0 ? n : 0] = '\0';
		if (strstr(bytes, "event=log-dropped") != NULL)
			break;
	}
	g_assert_cmpint(i, <, 20);
	close(out[0]);
	close(out[1]);
	fixture_free(st);
}

#define T(name) g_test_add_func("/call/" #name, name)

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	T(plain_call_is_forwarded_unchanged);
	T(stream_is_relayed_completely);
	T(unsafe_call_is_sent_once);
	T(safe_call_is_retried);
	T(call_not_run_is_refused_as_such);
	T(broken_stream_resumes_on_another_endpoint);
	T(broken_stream_goes_on_after_a_refusal);
	T(broken_stream_that_cant_resume_ends_incomplete);
	T(answers_to_other_calls_are_discarded);
	T(earlier_refusal_isn_t_this_call_s);
	T(stream_is_cancelled_when_its_caller_disconnects);
	T(plain_call_is_cancelled_when_its_caller_disconnects);
	T(route_timeout_is_enforced);
	T(unknown_route_and_no_configuration);
	T(malformed_requests_close_the_connection);
	T(request_is_served_wherever_it_is_cut);
	T(missing_host_and_limits);
	T(chunked_body_is_forwarded);
	T(endpoint_connections_are_reused);
	T(caller_resets_as_its_answer_arrives);
	T(answer_without_a_length_ends_with_its_connection);
	T(truncated_answer_is_an_error);
	T(early_answer_closes_its_connection);
	T(blocked_log_reader_doesnt_block_calls);
	return g_test_run();
}
