/*
 * Malformed requests, slow, idle, disconnected and too many callers, and forged
 * resume tokens must not harm the server or the answers to others.
 */
#include "caller/caller.h"
#include "entry/route.h"
#include "tests/proc.h"

#include <arpa/inet.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>
#include <glib.h>
#include <sodium.h>

enum {
	IDLE_MS = 1000,
	WAIT_MS = 10000
};

/* A server, and a router whose answer depends on the prompt. */
typedef struct test_server {
	settings_t settings;
	server_t *server;
	ring_t *calls, *disconnected;
	pthread_t router;
	char *addr;
	bool stop, leaving;
	int ndisconnected;
} test_server_t;

static void
answer(call_t *c)
{
	const request_t *q = call_request(c);
	call_error_t f = { 503, "leaving", "ask another", RAN_NO, 1500 };
	int i;

	if (q->kind == REQUEST_PLAIN) {
		call_reply(c, 200, "text/plain", RAN_YES, q->target,
		    strlen(q->target));
	} else if (strcmp(q->prompt, "refuse") == 0) {
		call_fail(c, &f);
	} else if (strcmp(q->prompt, "stream") == 0) {
		call_begin(c, "text/event-stream");
		for (i = 0; i < 1000; i++)
			call_write(c, "data: x\n\n", 9);
		call_end(c);
	} else if (strcmp(q->prompt, "hang") == 0) {
		call_begin(c, "text/event-stream");
		for (i = 0; i < WAIT_MS / 10 && !call_disconnected(c); i++) {
			call_write(c, "data: x\n\n", 9);
			clock_sleep(10);
		}
	} else {
		call_reply(c, 200, "text/plain", RAN_YES, q->prompt,
		    strlen(q->prompt));
	}
}

static void *
route_calls(void *arg)
{
	test_server_t *b = arg;
	call_t *c;

	while (!__atomic_load_n(&b->stop, __ATOMIC_ACQUIRE)) {
		if ((c = ring_wait(b->calls, 10)) != NULL) {
			answer(c);
			call_unref(c);
		}
		while ((c = ring_pop(b->disconnected)) != NULL) {
			__atomic_add_fetch(
			    &b->ndisconnected, 1, __ATOMIC_RELAXED);
			call_unref(c);
		}
	}
	return NULL;
}

static char *
entries_page(void *user, const char *domain)
{
	(void)user;
	return g_strdup_printf(
	    "{\"domain\":\"%s\"}", domain == NULL ? "" : domain);
}

static char *
models_page(void *user)
{
	(void)user;
	return strdup("{}");
}

static bool
is_ready(void *user)
{
	(void)user;
	return true;
}

static bool
is_leaving(void *user)
{
	return __atomic_load_n(
	    &((test_server_t *)user)->leaving, __ATOMIC_RELAXED);
}

static void
set_up(test_server_t *b)
{
	server_opts_t o = { .settings = &b->settings, .incarnation = 7 };
	err_t e;
	int port;

	memset(b, 0, sizeof(*b));
	settings_init(&b->settings);
	b->settings.caller.body_max = 4096;
	b->settings.caller.idle_ms = IDLE_MS;
	b->settings.caller.connections_max = 8;
	b->settings.nservice = 1;
	str_set(b->settings.service[0].name, ID_MAX, "web");
	b->settings.service[0].kind = SERVICE_PLAIN;
	ports_take(&port, 1);
	b->addr = addr_of(port);
	str_set(b->settings.instance.caller_addr, ADDR_MAX, b->addr);
	str_set(b->settings.instance.id, ID_MAX, "e1");
	o.calls = b->calls = ring_new(64);
	o.disconnected = b->disconnected = ring_new(64);
	o.pages =
	    (pages_t){ b, entries_page, models_page, is_ready, is_leaving };
	b->server = server_new(&o, &e);
	g_assert_nonnull(b->server);
	pthread_create(&b->router, NULL, route_calls, b);
}

static void
tear_down(test_server_t *b)
{
	__atomic_store_n(&b->stop, true, __ATOMIC_RELEASE);
	pthread_join(b->router, NULL);
	server_free(b->server);
	ring_free(b->calls);
	ring_free(b->disconnected);
	g_free(b->addr);
}

#define CHAT "/v1/chat/completions"
#define MESSAGES "\"messages\":[{\"role\":\"user\",\"content\":\"hi\"}]"

static void
bad_input_gets_an_error(void)
{
	static const struct {
		const char *method, *path, *headers, *body;
		int status;
		const char *code;
	} rows[] = {
		{ "POST", CHAT, NULL, "{\"model\":\"m\"," MESSAGES "}", 200,
		    "" },
		{ "POST", CHAT, NULL, "{\"model\":\"m\"", 400, "bad_json" },
		{ "POST", CHAT, NULL, "", 400, "bad_json" },
		{ "POST", CHAT, NULL, "[]", 400, "bad_json" },
		{ "POST", CHAT, NULL, "{" MESSAGES "}", 400, "no_model" },
		{ "POST", CHAT, NULL, "{\"model\":7," MESSAGES "}", 400,
		    "no_model" },
		{ "POST", CHAT, NULL, "{\"model\":\"m\"}", 400, "no_messages" },
		{ "POST", CHAT, NULL,
		    "{\"model\":\"m\",\"messages\":[{\"role\":\"user\"}]}", 400,
		    "bad_message" },
		{ "POST", CHAT, NULL,
		    "{\"model\":\"m\",\"stream\":1," MESSAGES "}", 400,
		    "bad_stream" },
		{ "POST", CHAT, NULL,
		    "{\"model\":\"m\",\"max_tokens\":0," MESSAGES "}", 400,
		    "bad_max_tokens" },
		{ "POST", CHAT, "X-Promise-Ms: soon",
		    "{\"model\":\"m\"," MESSAGES "}", 400, "bad_header" },
		{ "POST", CHAT, "X-Priority: 3",
		    "{\"model\":\"m\"," MESSAGES "}", 400, "bad_header" },
		{ "GET", CHAT, NULL, NULL, 405, "bad_method" },
		{ "POST", "/v1/completions", NULL, "{\"model\":\"m\"}", 400,
		    "no_prompt" },
		{ "GET", "/v1/resume", NULL, NULL, 400, "no_token" },
		{ "POST", "/v1/resume", NULL, "{}", 405, "bad_method" },
		{ "GET", "/nothing", NULL, NULL, 404, "unknown_path" },
		{ "GET", "/v1/services/", NULL, NULL, 404, "unknown_service" },
		{ "GET", "/v1/services/none/x", NULL, NULL, 404,
		    "unknown_service" },
		{ "GET", "/v1/services/web/a?b=c", NULL, NULL, 200, "" },
	};
	char *large = g_strnfill(5000, 'x');
	test_server_t b;
	reply_t r;
	size_t i;

	set_up(&b);
	for (i = 0; i < G_N_ELEMENTS(rows); i++) {
		char *code, *ran;

		r = http_call(rows[i].method, b.addr, rows[i].path,
		    rows[i].headers, rows[i].body, WAIT_MS);
		g_test_message("%s %s %s -> %d %s", rows[i].method,
		    rows[i].path, rows[i].body, r.status, r.body);
		g_assert_cmpint(r.status, ==, rows[i].status);
		code = g_strdup_printf("\"code\":\"%s\"", rows[i].code);
		ran = reply_header(&r, "Ebonypitch-Ran");
		if (rows[i].code[0] != '\0') {
			g_assert_nonnull(strstr(r.body, code));
			g_assert_cmpstr(ran, ==, "no");
		}
		g_free(code);
		g_free(ran);
		reply_clear(&r);
	}
	r = http_call("POST", b.addr, CHAT, NULL, large, WAIT_MS);
	g_assert_cmpint(r.status, ==, 413);
	g_assert_nonnull(strstr(r.body, "body_too_large"));
	reply_clear(&r);
	r = http_call(
	    "POST", b.addr, CHAT, "Transfer-Encoding: chunked", large, WAIT_MS);
	g_assert_cmpint(r.status, ==, 413);
	reply_clear(&r);
	g_free(large);
	tear_down(&b);
}

static void
answers_are_complete(void)
{
	test_server_t b;
	reply_t r;
	char *value;

	set_up(&b);
	r = http_call("POST", b.addr, "/v1/completions", NULL,
	    "{\"model\":\"m\",\"prompt\":\"stream\",\"stream\":true}", WAIT_MS);
	g_assert_cmpint(r.status, ==, 200);
	g_assert_cmpuint(r.len, ==, 9000);
	reply_clear(&r);
	r = http_call("POST", b.addr, "/v1/completions", NULL,
	    "{\"model\":\"m\",\"prompt\":\"refuse\"}", WAIT_MS);
	g_assert_cmpint(r.status, ==, 503);
	value = reply_header(&r, "Retry-After");
	g_assert_cmpstr(value, ==, "2");
	g_free(value);
	value = reply_header(&r, "Ebonypitch-Retry-After-Ms");
	g_assert_cmpstr(value, ==, "1500");
	g_free(value);
	value = reply_header(&r, "X-Request-Id");
	g_assert_cmpstr(value, ==, "e1-7-2");
	g_free(value);
	reply_clear(&r);
	__atomic_store_n(&b.leaving, true, __ATOMIC_RELAXED);
	g_assert_true(http_until(b.addr, "/readyz", 503, WAIT_MS));
	tear_down(&b);
}

static int
connect_to(const char *addr)
{
	struct sockaddr_in a = { .sin_family = AF_INET };
	char host[ADDR_MAX];
	uint16_t port;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	addr_split(addr, host, sizeof(host), &port, NULL);
	a.sin_port = htons(port);
	inet_pton(AF_INET, host, &a.sin_addr);
	g_assert_cmpint(connect(fd, (struct sockaddr *)&a, sizeof(a)), ==, 0);
	return fd;
}

static bool
one_disconnected(void *user)
{
	return __atomic_load_n(&((test_server_t *)user)->ndisconnected,
		   __ATOMIC_RELAXED) == 1;
}

static void
disconnects_are_reported(void)
{
	static const char ask[] =
	    "POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: "
	    "43\r\n\r\n{\"model\":\"m\",\"prompt\":\"hang\",\"stream\":true}";
	char buf[64];
	test_server_t b;
	int fd;

	set_up(&b);
	fd = connect_to(b.addr);
	g_assert_cmpint(write(fd, ask, strlen(ask)), ==, strlen(ask));
	g_assert_cmpint(read(fd, buf, sizeof(buf)), >, 0);
	close(fd);
	g_assert_true(eventually(one_disconnected, &b, WAIT_MS));
	tear_down(&b);
}

static void
slow_and_many_callers(void)
{
	static const char head[] = "POST /v1/completions HTTP/1.1\r\nHost: "
				   "x\r\nContent-Length: 400\r\n\r\n{";
	char buf[512];
	int fd[9], i;
	ssize_t n;
	test_server_t b;
	reply_t r;

	set_up(&b);
	/* A body sent in small pieces gets 408 after caller.idle_ms. */
	fd[0] = connect_to(b.addr);
	g_assert_cmpint(write(fd[0], head, strlen(head)), ==, strlen(head));
	for (i = 1; i < 400; i++) {
		clock_sleep(i < 12 ? IDLE_MS / 10 : 0);
		g_assert_cmpint(write(fd[0], " ", 1), ==, 1);
	}
	n = read(fd[0], buf, sizeof(buf) - 1);
	g_assert_cmpint(n, >, 0);
	buf[n] = '\0';
	g_assert_nonnull(strstr(buf, " 408 "));
	close(fd[0]);
	/* A connection that is idle within a request is closed. */
	fd[0] = connect_to(b.addr);
	g_assert_cmpint(write(fd[0], head, strlen(head)), ==, strlen(head));
	g_assert_cmpint(read(fd[0], buf, sizeof(buf)), <=, 0);
	close(fd[0]);
	/* One connection over the limit gets 429. */
	for (i = 0; i < 8; i++)
		fd[i] = connect_to(b.addr);
	r = http_call("GET", b.addr, "/v1/models", NULL, NULL, WAIT_MS);
	g_assert_cmpint(r.status, ==, 429);
	g_assert_nonnull(strstr(r.body, "too_many_connections"));
	reply_clear(&r);
	for (i = 0; i < 8; i++)
		close(fd[i]);
	g_assert_true(http_until(b.addr, "/v1/models", 200, WAIT_MS));
	tear_down(&b);
}

static void
resume_tokens_are_checked(void)
{
	resume_token_t t = { .offset = 41,
		.catalogue = 3,
		.prompt_hash = 0xabcd },
		       got;
	char text[RESUME_MAX], other[RESUME_MAX];
	size_t i;

	g_assert_cmpint(sodium_init(), !=, -1);
	str_set(t.worker, ID_MAX, "w1");
	str_set(t.stream, ID_MAX, "e1-7-2");
	resume_encode("secret", &t, text, sizeof(text));
	g_assert_true(resume_decode("secret", text, &got));
	g_assert_cmpstr(got.worker, ==, "w1");
	g_assert_cmpstr(got.stream, ==, "e1-7-2");
	g_assert_cmpuint(got.offset, ==, 41);
	g_assert_cmpuint(got.prompt_hash, ==, 0xabcd);
	g_assert_false(resume_decode("another", text, &got));
	for (i = 0; i < strlen(text); i++) {
		str_set(other, sizeof(other), text);
		other[i] ^= 1;
		g_assert_false(resume_decode("secret", other, &got));
	}
	g_assert_false(resume_decode("secret", "", &got));
	/* A token of the longest names and numbers fits. */
	memset(t.worker, 'w', ID_MAX - 1);
	memset(t.stream, 's', ID_MAX - 1);
	t.catalogue = t.prompt_hash = UINT64_MAX;
	t.offset = UINT32_MAX;
	resume_encode("secret", &t, text, sizeof(text));
	g_assert_true(resume_decode("secret", text, &got));
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/caller/bad-input", bad_input_gets_an_error);
	g_test_add_func("/caller/answers", answers_are_complete);
	g_test_add_func("/caller/disconnect", disconnects_are_reported);
	g_test_add_func("/caller/slow-and-many", slow_and_many_callers);
	g_test_add_func("/caller/resume-tokens", resume_tokens_are_checked);
	return g_test_run();
}
