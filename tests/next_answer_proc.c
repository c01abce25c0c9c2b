/*
 * A stream has begun and breaks off; the next endpoint answers in some way.
 * Guards against bytes of that answer in the stream that aren't its next
 * events, and against an end that looks complete.
 */
#include "standin/http_server.h"
#include "tests/links.h"

#include <string.h>

enum {
	EVENTS = 8,
	GAP_MS = 250, /* the next endpoint is known before the third event */
	CUT_AFTER = 2,
	KNOWN_MS = 1500,
	LOST_MS = 4000, /* by then a daemon knows that it is cut */
	WAIT_MS = 9000,
};

#define HEADERS \
	"Model: m1\r\nToken-Usage: 100,20\r\nDeadline-Remaining: 6000\r\n"
#define OWN "Request-Id: %s\r\nServer-Signature: s9\r\n"
#define OK_EVENTS \
	"HTTP/1.1 200 OK\r\n" OWN "Content-Type: text/event-stream\r\n"
#define CHUNKED "Transfer-Encoding: chunked\r\n\r\n"
#define CLOSES "Connection: close\r\n\r\n"
#define EVENT_3 "15\r\nid: 3\ndata: token 3\n\n\r\n"
#define EVENT_5 "15\r\nid: 5\ndata: token 5\n\n\r\n"
#define END "0\r\n\r\n"
#define TEXT "Content-Length: 10\r\n\r\nwent wrong"

/** What the next endpoint answers. */
typedef struct answer {
	const char *name;
	const char *text; /* %s: the Request-Id */
	bool closes;	  /* the connection, after that */
	int events;	  /* that the caller may have at the end */
	bool complete;	  /* the stream may end as if it were */
} answer_t;

static const answer_t answers[] = {
	{ "error", "HTTP/1.1 500 E\r\n" OWN TEXT, false, 2, false },
	{ "error_that_closes",
	    "HTTP/1.1 500 E\r\n" OWN "Connection: close\r\n"
	    "\r\nwent wrong",
	    true, 2, false },
	{ "error_of_events",
	    "HTTP/1.1 500 E\r\n" OWN
	    "Content-Type: text/event-stream\r\n" CHUNKED EVENT_3 END,
	    false, 2, false },
	{ "not_found", "HTTP/1.1 404 N\r\n" OWN TEXT, false, 2, false },
	{ "moved", "HTTP/1.1 302 M\r\n" OWN "Location: /x\r\n" TEXT, false, 2,
	    false },
	{ "refusal", "HTTP/1.1 503 B\r\n" OWN "Not-Executed: 1\r\n" TEXT, false,
	    2, false },
	{ "busy", "HTTP/1.1 503 B\r\n" OWN TEXT, false, 2, false },
	{ "misdirected", "HTTP/1.1 421 M\r\n" OWN "Not-Executed: 1\r\n" TEXT,
	    false, 2, false },
	{ "text", "HTTP/1.1 200 OK\r\n" OWN TEXT, false, 2, false },
	{ "no_content", "HTTP/1.1 204 N\r\n" OWN "\r\n", false, 2, false },
	{ "part", "HTTP/1.1 206 P\r\n" OWN TEXT, false, 2, false },
	{ "unsigned_events",
	    "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\n"
	    "Content-Type: text/event-stream\r\n" CHUNKED EVENT_3 END,
	    false, 2, false },
	{ "events_of_another",
	    "HTTP/1.1 200 OK\r\nRequest-Id: not-%s\r\nServer-Signature: s\r\n"
	    "Content-Type: text/event-stream\r\n" CHUNKED EVENT_3 END,
	    false, 2, false },
	{ "no_http", "went wrong\r\n\r\n", true, 2, false },
	{ "nothing", "", true, 2, false },
	{ "half_a_head", "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\n", true, 2,
	    false },
	{ "head_only", OK_EVENTS CHUNKED, true, 2, false },
	{ "interim_then_error",
	    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 500 E\r\n" OWN TEXT, false,
	    2, false },
	{ "head_as_body",
	    OK_EVENTS CLOSES "HTTP/1.1 500 E\r\nA: b\r\n\r\nwent wrong", true,
	    2, false },
	{ "head_as_chunk",
	    OK_EVENTS CHUNKED
	    "1e\r\nHTTP/1.1 500 E\r\n\r\nwent wrong\n\n\r\n" END,
	    false, 2, false },
	{ "text_as_event", OK_EVENTS CHUNKED "c\r\nwent wrong\n\n\r\n" END,
	    false, 2, false },
	{ "gap", OK_EVENTS CHUNKED EVENT_5 END, false, 2, false },
	{ "event_then_text",
	    OK_EVENTS CHUNKED EVENT_3 "a\r\nwent wrong\r\n" END, false, 3,
	    false },
	{ "event_then_no_chunk", OK_EVENTS CHUNKED EVENT_3 "went wrong\r\n",
	    true, 3, false },
	{ "event_then_reset", OK_EVENTS CHUNKED EVENT_3, true, 3, false },
	{ "text_before_events",
	    OK_EVENTS CHUNKED "c\r\nwent wrong\n\n\r\n" EVENT_3 END, false, 3,
	    true },
	{ "next_events", OK_EVENTS CHUNKED EVENT_3 END, false, 3, true },
};

typedef struct scene {
	fixture_t *st;
	links_t *links;
	const answer_t *answer;
	http_server_t server;
	int asked;
} scene_t;

static void
on_request(server_conn_t *c)
{
	scene_t *s = c->server->owner;
	const head_t *h = &c->http->head;

	if (strstr(head_target(h), "/gen") != head_target(h))
		return;
	s->asked++;
	buf_fmt(&c->http->out, s->answer->text, head_get(h, "Request-Id"));
	http_conn_flush(c->http);
	if (s->answer->closes)
		server_conn_close(c);
	else
		http_conn_next(c->http);
}

static const http_server_ops_t ops = { .size = sizeof(server_conn_t),
	.done = on_request };

static bool
daemon_is_cut(void *arg)
{
	fixture_t *st = arg;
	caller_t *c = caller_call(st, 0, "POST", "/gen/a", "warm", HEADERS);

	caller_wait(c, WAIT_MS);
	caller_free(c);
	return fixture_counter(st, 0, "ebonypitch_calls_handed_over_total") > 0;
}

/* @param through calls go through another daemon */
static scene_t *
scene_new(const answer_t *answer, bool through)
{
	scene_t *s = g_new0(scene_t, 1);
	fake_endpoint_opts_t llm = { .model = "m1",
		.events = EVENTS,
		.event_gap = GAP_MS,
		.adapter_slots = 4 };
	int i;

	s->answer = answer;
	s->st = fixture_new();
	s->links = links_new(s->st);
	fixture_put_config(s->st, "");
	fixture_add_endpoint(s->st, &llm, "llm");
	for (i = 0; i < (through ? 2 : 1); i++)
		fixture_start_daemon(s->st, i, true);
	if (through) {
		fixture_run(s->st, KNOWN_MS);
		links_set(s->links, 0, LINK_RESET);
		g_assert_true(
		    fixture_run_until(s->st, daemon_is_cut, s->st, LOST_MS));
	}
	fake_endpoint_set_fault(s->st->endpoint[0], ENDPOINT_CUT_STREAM);
	return s;
}

static void
add_next(scene_t *s)
{
	char *addr, *text;
	int port;

	ports_take(&port, 1);
	addr = addr_of(port);
	http_server_open(&s->server, &s->st->loop, addr, &ops, s);
	text = g_strdup_printf(
	    "{\"service\":\"llm\",\"address\":\"%s\",\"zone\":\"north\","
	    "\"version\":\"v1\",\"slots\":8,\"state\":\"ready\","
	    "\"cold_left_ms\":0,\"born\":1000,\"seq\":1,\"models\":[{\"name\":"
	    "\"m1\",\"version\":1,\"adapters\":[]}]}",
	    addr);
	fake_store_put(s->st->store, "servers", "next", text);
	g_free(text);
	g_free(addr);
}

static bool
has_first_event(void *arg)
{
	return buf_len(&((caller_t *)arg)->body) > 0;
}

static void
assert_events(const scene_t *s, const caller_t *c)
{
	GString *want = g_string_new(NULL);
	char *body = client_request_body(c);
	int i;

	for (i = 1; i <= s->answer->events; i++)
		g_string_append_printf(
		    want, "id: %d\ndata: token %d\n\n", i, i);
	g_assert_cmpstr(body, ==, want->str);
	g_string_free(want, TRUE);
	g_free(body);
}

static void
check(const answer_t *answer, bool through)
{
	scene_t *s = scene_new(answer, through);
	caller_t *c =
	    caller_call(s->st, 0, "POST", "/gen/a", "broken", HEADERS);

	g_assert_true(fixture_run_until(s->st, has_first_event, c, WAIT_MS));
	add_next(s);
	g_assert_true(caller_wait(c, WAIT_MS));
	g_assert_cmpint(s->asked, >, 0);
	g_assert_cmpint(c->status, ==, 200);
	assert_events(s, c);
	if (!answer->complete)
		g_assert_false(c->done);
	caller_free(c);
	fixture_stop_daemons(s->st);
	http_server_close(&s->server);
	links_free(s->links);
	fixture_free(s->st);
	g_free(s);
}

static void
direct(gconstpointer answer)
{
	check(answer, false);
}

static void
through_another_instance(gconstpointer answer)
{
	check(answer, true);
}

int
main(int argc, char **argv)
{
	char path[96];
	size_t i;

	g_test_init(&argc, &argv, NULL);
	for (i = 0; i < G_N_ELEMENTS(answers); i++) {
		snprintf(path, sizeof(path), "/next-answer/direct/%s",
		    answers[i].name);
		g_test_add_data_func(path, &answers[i], direct);
		snprintf(path, sizeof(path), "/next-answer/through/%s",
		    answers[i].name);
		g_test_add_data_func(
		    path, &answers[i], through_another_instance);
	}
	return g_test_run();
}
