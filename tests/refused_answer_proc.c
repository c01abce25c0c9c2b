/*
 * One daemon and an endpoint whose answers HTTP/1.1 doesn't allow, or that
 * stops in the middle of a head: nothing of them may reach a caller.
 */
#include "standin/scripted_peer.h"
#include "tests/fixture.h"

#include <fcntl.h>
#include <string.h>
#include <unistd.h>
#include <glib/gstdio.h>

enum {
	WAIT_MS = 3000,
	AT_ONCE_MS = 1000, /* a refused answer isn't waited for */
	LOG_MS = 1000,
	CUT_STEP = 3, /* bytes */
};

#define GEN "Model: m1\r\nToken-Usage: 100,20\r\nDeadline-Remaining: 5000\r\n"
#define PLAIN "Deadline-Remaining: 1900\r\n"
#define OWN "Request-Id: @\r\nServer-Signature: s1\r\n"
#define LENGTH "Content-Length: 4\r\n\r\nbody"
#define CHUNKED "Transfer-Encoding: chunked\r\n\r\n"

typedef struct refused {
	const char *answer, *reason;
} refused_t;

static const refused_t answers[] = {
	{ "HTTP/1.1 000 OK\r\n" OWN LENGTH, "status" },
	{ "HTTP/1.1 099 OK\r\n" OWN LENGTH, "status" },
	{ "HTTP/1.1 600 OK\r\n" OWN LENGTH, "status" },
	{ "HTTP/1.1 999 OK\r\n" OWN LENGTH, "status" },
	{ "HTTP/1.1 101 OK\r\n" OWN "Upgrade: x\r\n\r\n", "status" },
	{ "HTTP/2.0 200 OK\r\n" OWN LENGTH, "version" },
	{ "HTTP/1.1 200\r\n" OWN LENGTH, "start-line" },
	{ "HTTP/1.1 200 OK\r\n" OWN "A b: c\r\n" LENGTH, "field-name" },
	{ "HTTP/1.1 200 OK\r\n" OWN "A : c\r\n" LENGTH, "field-name" },
	{ "HTTP/1.1 200 OK\r\n" OWN "A\x01: c\r\n" LENGTH, "control-byte" },
	{ "HTTP/1.1 200 OK\r\n" OWN "A: c\x01\r\n" LENGTH, "control-byte" },
	{ "HTTP/1.1 200 OK\r\n" OWN "A: b\r\n c\r\n" LENGTH, "folded-line" },
	{ "HTTP/1.1 200 OK\n" OWN LENGTH, "line-end" },
	{ "HTTP/1.1 200 OK\r\n" OWN "Transfer-Encoding: gzip\r\n\r\nbody",
	    "transfer-coding" },
	{ "HTTP/1.1 200 OK\r\n" OWN "Content-Length: 4\r\n" CHUNKED
	  "4\r\nbody\r\n0\r\n\r\n",
	    "framing" },
	{ "HTTP/1.1 200 OK\r\n" OWN "Content-Length: 3\r\n" LENGTH, "length" },
	{ "HTTP/1.1 200 OK\r\n" OWN CHUNKED "4\r\nbodyXX0\r\n\r\n", "chunk" },
};

typedef struct scene {
	fixture_t *st;
	scripted_peer_t *peer;
	char *log;
	const char *line; /* that is looked for in it */
} scene_t;

static void
scene_open(scene_t *s, const char *service, const char *models)
{
	char *addr, *text;
	int port, fd;

	s->st = fixture_new();
	ports_take(&port, 1);
	addr = addr_of(port);
	s->peer = scripted_peer_new(&s->st->loop, addr);
	fixture_put_config(s->st, "");
	text = scripted_peer_entry(addr, service, models);
	fake_store_put(s->st->store, "servers", "scripted", text);
	g_free(text);
	g_free(addr);
	s->log = g_build_filename(s->st->dir, "daemon.log", NULL);
	fd = open(s->log, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0666);
	g_assert_cmpint(fd, !=, -1);
	proc_output(fd);
	fixture_start_daemon(s->st, 0, true);
	close(fd);
}

static void
scene_close(scene_t *s)
{
	g_remove(s->log);
	g_free(s->log);
	scripted_peer_free(s->peer);
	fixture_free(s->st);
}

static bool
is_logged(void *arg)
{
	scene_t *s = arg;
	char *text = NULL;
	bool found;

	g_assert_true(g_file_get_contents(s->log, &text, NULL, NULL));
	found = strstr(text, s->line) != NULL;
	g_free(text);
	return found;
}

/* Let an answer succeed: the endpoint isn't avoided for the failures. */
static void
expect_served(scene_t *s)
{
	static const script_t sound = { .answer =
					    "HTTP/1.1 200 OK\r\n" OWN
					    "Connection: close\r\n" LENGTH,
		.end = SCRIPT_FIN };
	caller_t *c;

	scripted_peer_set(s->peer, &sound);
	c = caller_expect(s->st, 200, "POST", "/once/a", "sound", PLAIN);
	caller_free(c);
}

/* Returns how long the answer took. */
static ms_t
expect_failed(scene_t *s, const char *id)
{
	caller_t *c = caller_call(s->st, 0, "POST", "/once/a", id, PLAIN);
	char *body;
	ms_t took;

	g_assert_true(caller_wait(c, WAIT_MS));
	g_assert_cmpint(c->status, ==, 502);
	g_assert_null(strstr(c->headers, "Server-Signature"));
	body = client_request_body(c);
	g_assert_null(strstr(body, "body"));
	g_free(body);
	took = c->ended_at - c->started_at;
	caller_free(c);
	return took;
}

/*
 * Guards against answers that HTTP/1.1 doesn't allow and that callers get: the
 * endpoint has run the call, so it gets 502, at once, and a log line says why.
 */
static void
answer_that_isnt_http_is_not_passed_on(void)
{
	scene_t s;
	size_t i;

	scene_open(&s, "app", "");
	for (i = 0; i < G_N_ELEMENTS(answers); i++) {
		script_t script = { .answer = answers[i].answer };
		char id[16], line[128];

		snprintf(id, sizeof(id), "bad-%zu", i);
		g_test_message("%s: %s", id, answers[i].reason);
		scripted_peer_set(s.peer, &script);
		g_assert_cmpint(expect_failed(&s, id), <, AT_ONCE_MS);
		/* It was sent once, and a sound one between two. */
		g_assert_cmpint(
		    scripted_peer_requests(s.peer), ==, 2 * (int)i + 1);
		snprintf(line, sizeof(line),
		    "event=answer-refused request=%s endpoint=scripted "
		    "reason=%s",
		    id, answers[i].reason);
		s.line = line;
		g_assert_true(fixture_run_until(s.st, is_logged, &s, LOG_MS));
		fixture_run(s.st, 50);
		g_assert_cmpint(scripted_peer_open(s.peer), ==, 0);
		expect_served(&s);
	}
	scene_close(&s);
}

/* Guards against a head that is cut anywhere and passed on as a success. */
static void
head_that_is_cut_is_not_an_answer(void)
{
	static const char answer[] =
	    "HTTP/1.1 200 OK\r\n" OWN "Content-Type: text/plain\r\n\r\nbody";
	script_t script = { .answer = answer };
	scene_t s;
	char id[16];

	scene_open(&s, "app", "");
	for (script.cut = 1; script.cut < sizeof(answer) - 7;
	     script.cut += CUT_STEP) {
		for (script.end = SCRIPT_FIN; script.end <= SCRIPT_RESET;
		     script.end++) {
			snprintf(id, sizeof(id), "cut-%zu-%d", script.cut,
			    script.end);
			scripted_peer_set(s.peer, &script);
			expect_failed(&s, id);
			expect_served(&s);
		}
	}
	scene_close(&s);
}

/* Guards against a stream that breaks HTTP/1.1 and looks complete. */
static void
stream_that_isnt_http_is_cut(void)
{
	static const script_t script = {
		.answer = "HTTP/1.1 200 OK\r\n" OWN
			  "Content-Type: text/event-stream\r\n" CHUNKED
			  "f\r\nid: 1\ndata: x\n\n\r\n"
			  "ZZ\r\n"
	};
	scene_t s;
	caller_t *c;

	scene_open(&s, "llm",
	    ",\"models\":[{\"name\":\"m1\",\"version\":1,\"adapters\":[]}]");
	scripted_peer_set(s.peer, &script);
	c = caller_call(s.st, 0, "POST", "/gen1/a", "r1", GEN);
	g_assert_true(caller_wait(c, WAIT_MS));
	g_assert_cmpint(c->status, ==, 200);
	g_assert_false(c->done);
	g_assert_true(c->closed);
	caller_free(c);
	scene_close(&s);
}

#define T(name) g_test_add_func("/refused-answer/" #name, name)

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	T(answer_that_isnt_http_is_not_passed_on);
	T(head_that_is_cut_is_not_an_answer);
	T(stream_that_isnt_http_is_cut);
	return g_test_run();
}
