/*
 * Answers with neither a length nor chunks, which end with their connection:
 * each is complete for its caller, or is not taken for complete.
 */
#include "standin/scripted_peer.h"
#include "tests/fixture.h"

#include <string.h>

enum {
	EVENTS = 5,
	EVENT_GAP_MS = 20,
	WAIT_MS = 6500,
	LAST_WHOLE = 2,	   /* event before the one that is cut */
	UPLOAD = 4 << 20,  /* bytes: more than the sockets take */
	SILENCE_MS = 1500, /* longer than is normal before an answer */
	UPLOADED_MS = 300, /* until a reset in its middle */
};

#define GEN "Model: m1\r\nToken-Usage: 100,20\r\nDeadline-Remaining: 5000\r\n"
#define PLAIN "Deadline-Remaining: 1900\r\n"

static fixture_t *
one_daemon(int nendpoint, const char *service, endpoint_fault_t fault)
{
	fake_endpoint_opts_t plain = { .plain_ms = 20 };
	fake_endpoint_opts_t stream = { .model = "m1",
		.events = EVENTS,
		.event_gap = EVENT_GAP_MS,
		.adapter_slots = 4 };
	bool engine = strcmp(service, "llm") == 0;
	fixture_t *st = fixture_new();

	fixture_put_config(st, "");
	while (nendpoint-- > 0)
		fixture_add_endpoint(st, engine ? &stream : &plain, service);
	fake_endpoint_set_fault(st->endpoint[0], fault);
	fixture_start_daemon(st, 0, true);
	return st;
}

static void
assert_events(const caller_t *c, int n)
{
	GString *want = g_string_new(NULL);
	int i;

	for (i = 1; i <= n; i++) {
		char *ev = fake_endpoint_event(i, 0);

		g_string_append(want, ev);
		g_free(ev);
	}
	g_assert_cmpuint(buf_len(&c->body), ==, want->len);
	g_assert_cmpint(
	    memcmp(c->body.p + c->body.off, want->str, want->len), ==, 0);
	g_string_free(want, TRUE);
}

/* Guards against a plain answer without a length that its caller doesn't get.
 */
static void
plain_answer_is_whole(void)
{
	fixture_t *st = one_daemon(1, "app", ENDPOINT_NO_LENGTH);
	caller_t *c = caller_expect(st, 200, "GET", "/safe/a", "r1", PLAIN);
	char *body = client_request_body(c);

	g_assert_cmpstr(body, ==, "answer to r1 by ep-0");
	g_free(body);
	caller_free(c);
	fixture_free(st);
}

/* Guards against a plain answer that was cut and looks complete. */
static void
plain_answer_that_is_reset_is_not_whole(void)
{
	fixture_t *st = one_daemon(1, "app", ENDPOINT_TRUNCATED);
	caller_t *c = caller_call(st, 0, "POST", "/once/a", "r1", PLAIN);

	g_assert_true(caller_wait(c, WAIT_MS));
	g_assert_cmpint(c->status, ==, 502);
	caller_free(c);
	fixture_free(st);
}

/* Guards against a stream without chunks that is taken for broken off. */
static void
stream_is_whole(void)
{
	fixture_t *st = one_daemon(1, "llm", ENDPOINT_UNFRAMED);
	caller_t *c = caller_call(st, 0, "POST", "/gen/a", "r1", GEN);

	g_assert_true(caller_wait(c, WAIT_MS));
	g_assert_cmpint(c->status, ==, 200);
	g_assert_true(c->done);
	assert_events(c, EVENTS);
	g_assert_cmpuint(fake_endpoint_executed(st->endpoint[0])->len, ==, 1);
	caller_free(c);
	fixture_free(st);
}

/* Guards against a stream that ends inside an event and looks complete. */
static void
stream_that_ends_inside_an_event_is_cut(void)
{
	fixture_t *st = one_daemon(1, "llm", ENDPOINT_UNFRAMED_CUT);
	caller_t *c = caller_call(st, 0, "POST", "/gen1/a", "r1", GEN);

	g_assert_true(caller_wait(c, WAIT_MS));
	g_assert_false(c->done);
	g_assert_true(c->closed);
	assert_events(c, LAST_WHOLE);
	caller_free(c);
	fixture_free(st);
}

static bool
first_has_run(void *arg)
{
	return fake_endpoint_executed(((fixture_t *)arg)->endpoint[0])->len > 0;
}

/* Guards against a part of an event, or none, where another endpoint goes on.
 */
static void
stream_that_ends_inside_an_event_goes_on_elsewhere(void)
{
	fixture_t *st = one_daemon(2, "llm", ENDPOINT_UNFRAMED_CUT);
	caller_t *c;
	char id[16], headers[160];
	int n = 0;

	/* Until the prompt's group prefers the endpoint that cuts streams. */
	do {
		snprintf(id, sizeof(id), "r%d", n++);
		snprintf(headers, sizeof(headers),
		    GEN "Prompt-Prefix: %x:80,%x:20\r\n", n, 0x1000 + n);
		g_assert_cmpint(n, <, 20);
		c = caller_call(st, 0, "POST", "/gen/a", id, headers);
		g_assert_true(caller_wait(c, WAIT_MS));
		g_assert_cmpint(c->status, ==, 200);
		g_assert_true(c->done);
		assert_events(c, EVENTS);
		caller_free(c);
	} while (!first_has_run(st));
	g_assert_cmpint(
	    ((const executed_call_t *)fake_endpoint_executed(st->endpoint[1])
		    ->pdata[n - 1])
		->last_event_id,
	    ==, LAST_WHOLE);
	fixture_free(st);
}

/* An endpoint of the deployment that answers by a script. */
static scripted_peer_t *
add_scripted(fixture_t *st, const char *service, const char *models)
{
	scripted_peer_t *p;
	char *addr, *text;
	int port;

	ports_take(&port, 1);
	addr = addr_of(port);
	p = scripted_peer_new(&st->loop, addr);
	text = scripted_peer_entry(addr, service, models);
	fake_store_put(st->store, "servers", "scripted", text);
	g_free(text);
	g_free(addr);
	return p;
}

/*
 * Guards against a part of an early answer that is taken for a success, as the
 * failed write of the request hid the reset.
 */
static void
reset_during_an_upload_is_not_whole(void)
{
	static const script_t half = {
		.answer = "HTTP/1.1 200 OK\r\nRequest-Id: @\r\n"
			  "Server-Signature: s1\r\n\r\nhalf of it",
		.early = true,
		.end_ms = UPLOADED_MS,
		.end = SCRIPT_RESET
	};
	fixture_t *st = fixture_new();
	GString *text = g_string_new(NULL);
	scripted_peer_t *p;
	caller_t *c;

	st->body_max = UPLOAD;
	fixture_put_config(st, "");
	p = add_scripted(st, "app", "");
	scripted_peer_set(p, &half);
	fixture_start_daemon(st, 0, true);
	g_string_printf(text,
	    "POST /once/a HTTP/1.1\r\nHost: h.example\r\nRequest-Id: r1\r\n"
	    "Deadline-Remaining: 1900\r\nContent-Length: %d\r\n\r\n",
	    UPLOAD);
	g_string_set_size(text, text->len + UPLOAD);
	memset(text->str + text->len - UPLOAD, 'x', UPLOAD);
	c = caller_send(st, 0, text->str);
	g_assert_true(caller_wait(c, WAIT_MS));
	g_assert_cmpint(c->status, ==, 502);
	g_assert_cmpint(scripted_peer_requests(p), ==, 1);
	caller_free(c);
	g_string_free(text, TRUE);
	scripted_peer_free(p);
	fixture_free(st);
}

/*
 * Guards against a part of an answer, or of a stream, that is taken for whole
 * as the log line that ends a silence has taken the socket's error.
 */
static void
reset_after_a_silence_is_not_whole(void)
{
	static const script_t plain = {
		.answer = "HTTP/1.1 200 OK\r\nRequest-Id: @\r\n"
			  "Server-Signature: s1\r\n\r\nhalf of it",
		.wait_ms = SILENCE_MS,
		.end = SCRIPT_RESET
	};
	static const script_t stream = {
		.answer = "HTTP/1.1 200 OK\r\nRequest-Id: @\r\n"
			  "Server-Signature: s1\r\n"
			  "Content-Type: text/event-stream\r\n\r\n"
			  "id: 1\ndata: token 1\n\n",
		.wait_ms = SILENCE_MS,
		.end = SCRIPT_RESET
	};
	fixture_t *st = fixture_new();
	scripted_peer_t *p;
	caller_t *c;

	fixture_put_config(st, "");
	p = add_scripted(st, "app", "");
	scripted_peer_set(p, &plain);
	fixture_start_daemon(st, 0, true);
	c = caller_call(st, 0, "GET", "/safe/a", "r1", PLAIN);
	g_assert_true(caller_wait(c, WAIT_MS));
	g_assert_cmpint(c->status, ==, 502);
	caller_free(c);
	scripted_peer_free(p);
	fixture_free(st);

	st = fixture_new();
	fixture_put_config(st, "");
	p = add_scripted(st, "llm",
	    ",\"models\":[{\"name\":\"m1\",\"version\":1,\"adapters\":[]}]");
	scripted_peer_set(p, &stream);
	fixture_start_daemon(st, 0, true);
	c = caller_call(st, 0, "POST", "/gen/a", "r2", GEN);
	g_assert_true(caller_wait(c, WAIT_MS));
	g_assert_false(c->done && c->status == 200);
	caller_free(c);
	scripted_peer_free(p);
	fixture_free(st);
}

#define T(name) g_test_add_func("/unframed/" #name, name)

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	T(plain_answer_is_whole);
	T(plain_answer_that_is_reset_is_not_whole);
	T(stream_is_whole);
	T(stream_that_ends_inside_an_event_is_cut);
	T(stream_that_ends_inside_an_event_goes_on_elsewhere);
	T(reset_during_an_upload_is_not_whole);
	T(reset_after_a_silence_is_not_whole);
	return g_test_run();
}
