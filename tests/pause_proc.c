/*
 * A sound endpoint that is silent for a while in the middle of an answer's
 * parts, where limits of answers without end apply.
 */
#include "standin/http_server.h"
#include "tests/fixture.h"

#include <string.h>

enum {
	PAUSE_MS = 1300, /* longer than the limit of the time for a part */
	NEXT_MS = 50,	 /* between the next byte and what follows it */
	ANSWER_MS = 5000,
};

/** An answer; '|' marks the pause, and %s stands for the request's id. */
typedef struct pause_case {
	const char *name, *answer, *path, *headers;
	int status;
	const char *body;
} pause_case_t;

#define STREAM_HEAD                                               \
	"HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Signature: " \
	"s1\r\nContent-Type: text/event-stream\r\n"               \
	"Transfer-Encoding: chunked\r\n\r\n"
#define STREAM_BODY "id: 1\ndata: one\n\nid: 2\ndata: two\n\n"

static const char stream_headers[] =
    "Model: m1\r\nToken-Usage: 10,4\r\nDeadline-Remaining: 5000\r\n";
static const char plain_headers[] = "Deadline-Remaining: 1900\r\n";

static const pause_case_t cases[] = {
	{ "head",
	    "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Sig|nature: s1\r\n"
	    "Content-Length: 4\r\n\r\nbody",
	    "/once/a", plain_headers, 200, "body" },
	{ "chunk-line",
	    STREAM_HEAD "11\r\nid: 1\ndata: one\n\n\r\n1|1\r\n"
			"id: 2\ndata: two\n\n\r\n0\r\n\r\n",
	    "/gen1/a", stream_headers, 200, STREAM_BODY },
	{ "event",
	    STREAM_HEAD "11\r\nid: 1\ndata: one\n\n\r\n9\r\nid: 2\nda|t\r\n"
			"8\r\na: two\n\n\r\n0\r\n\r\n",
	    "/gen1/a", stream_headers, 200, STREAM_BODY },
	{ "event-without-id",
	    STREAM_HEAD "11\r\nid: 1\ndata: one\n\n\r\n4\r\n: k\n\r\n|"
			"1\r\n\n\r\n11\r\nid: 2\ndata: two\n\n\r\n0\r\n\r\n",
	    "/gen1/a", stream_headers, 200,
	    "id: 1\ndata: one\n\n: k\n\nid: 2\ndata: two\n\n" },
	{ "refusal",
	    "HTTP/1.1 503 Busy\r\nRequest-Id: %s\r\nNot-Executed: 1\r\n"
	    "Content-Length: 8\r\n\r\nbusy|busy",
	    "/once/a", plain_headers, 503, NULL },
	{ "foreign",
	    "HTTP/1.1 200 OK\r\nRequest-Id: other\r\nServer-Signature: s1\r\n"
	    "Content-Length: 8\r\n\r\nabcd|efghHTTP/1.1 200 OK\r\n"
	    "Request-Id: %s\r\nServer-Signature: s1\r\n"
	    "Content-Length: 4\r\n\r\nbody",
	    "/once/a", plain_headers, 200, "body" },
};

typedef struct conn {
	server_conn_t conn;
	char *rest; /* of the answer, after the pause */
} conn_t;

static void
send_rest(void *arg)
{
	conn_t *c = arg;

	buf_str(&c->conn.http->out, c->rest + 1);
	g_free(c->rest);
	c->rest = NULL;
	http_conn_flush(c->conn.http);
	http_conn_next(c->conn.http);
}

/* The part is still incomplete after the next byte. */
static void
send_byte(void *arg)
{
	conn_t *c = arg;

	buf_add(&c->conn.http->out, c->rest, 1);
	http_conn_flush(c->conn.http);
	c->conn.alarm.fn = send_rest;
	alarm_set(c->conn.server->loop, &c->conn.alarm,
	    c->conn.server->loop->now + NEXT_MS);
}

static void
on_request(server_conn_t *s)
{
	const pause_case_t *k = s->server->owner;
	conn_t *c = (conn_t *)s;
	const char *id = head_get(&s->http->head, "Request-Id");
	char *text, *at;

	/* A format of this program, with one %s. */
#pragma GCC diagnostic push
#pragma GCC diagnostic ignored "-Wformat-nonliteral"
	text = g_strdup_printf(k->answer, id);
#pragma GCC diagnostic pop
	at = strchr(text, '|');
	*at = '\0';
	c->rest = g_strdup(at + 1);
	buf_str(&s->http->out, text);
	g_free(text);
	http_conn_flush(s->http);
	s->alarm = (alarm_t){ .fn = send_byte, .arg = c };
	alarm_set(s->server->loop, &s->alarm, s->server->loop->now + PAUSE_MS);
}

static void
on_end(server_conn_t *s)
{
	g_free(((conn_t *)s)->rest);
}

static const http_server_ops_t ops = {
	.size = sizeof(conn_t), .done = on_request, .end = on_end
};

/* Guards against a limit of time that counts a sound endpoint's silence. */
static void
answer_with_a_pause(gconstpointer user)
{
	const pause_case_t *k = user;
	fixture_t *st = fixture_new();
	http_server_t server;
	char *addr, *entry, *body;
	caller_t *c;
	int port;

	ports_take(&port, 1);
	addr = addr_of(port);
	http_server_open(&server, &st->loop, addr, &ops, (void *)k);
	fixture_put_config(st, "");
	entry = g_strdup_printf(
	    "{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"north\","
	    "\"version\":\"v1\",\"slots\":8,\"state\":\"ready\","
	    "\"cold_left_ms\":0,\"born\":1000,\"seq\":1,\"models\":["
	    "{\"name\":\"m1\",\"version\":1,\"adapters\":[]}]}",
	    k->headers == stream_headers ? "llm" : "app", addr);
	fake_store_put(st->store, "servers", "ep-pause", entry);
	fixture_start_daemon(st, 0, true);
	c = caller_call(st, 0, "POST", k->path, "r1", k->headers);
	g_assert_true(caller_wait(c, ANSWER_MS));
	g_assert_true(c->done);
	g_assert_cmpint(c->status, ==, k->status);
	body = client_request_body(c);
	if (k->body != NULL)
		g_assert_cmpstr(body, ==, k->body);
	g_free(body);
	caller_free(c);
	http_server_close(&server);
	fixture_free(st);
	g_free(entry);
	g_free(addr);
}

int
main(int argc, char **argv)
{
	size_t i;

	g_test_init(&argc, &argv, NULL);
	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		char *path = g_strdup_printf("/pause/%s", cases[i].name);

		g_test_add_data_func(path, &cases[i], answer_with_a_pause);
		g_free(path);
	}
	return g_test_run();
}
