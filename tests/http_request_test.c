/* Requests to the store, and the connections that are kept to it. */
#include "serve/serve.h"
#include "standin/fake_store.h"
#include "standin/scripted_peer.h"
#include "tests/proc.h"

enum {
	REQUESTS = 3, /* at once, so that as many connections are kept */
	SPAN_MS = 200,
	WAIT_MS = 2000,
};

static void
on_answer(void *arg, int status, const char *text, size_t len)
{
	(void)text, (void)len;
	*(int *)arg = status;
}

static void
ask(serve_t *s, const struct sockaddr_in *to, ms_t span, int *status)
{
	buf_t b = { 0 };

	*status = -1;
	objects_list(&b, KIND_CONFIG, NULL, "h:1");
	http_request_send(s, to, &b, span, on_answer, status);
}

static int
wait_status(serve_t *s, const int *status)
{
	ms_t end = clock_now(&machine_clock) + WAIT_MS;

	while (*status == -1 && clock_now(&machine_clock) < end)
		loop_turn(&s->loop, 10);
	return *status;
}

/*
 * Guards against one dead connection after the other being tried, each for as
 * long as an answer may take.
 */
static void
kept_connections_that_hang_are_tried_once(void)
{
	static serve_t s;
	fake_store_t *store;
	char *addr;
	int i, port, status[REQUESTS];

	g_assert_cmpint(loop_init(&s.loop), ==, 0);
	ports_take(&port, 1);
	addr = addr_of(port);
	g_assert_cmpint(net_addr(addr, &s.store), ==, 0);
	store = fake_store_new(&s.loop, addr);
	for (i = 0; i < REQUESTS; i++)
		ask(&s, &s.store, WAIT_MS, &status[i]);
	for (i = 0; i < REQUESTS; i++)
		g_assert_cmpint(wait_status(&s, &status[i]), ==, 200);
	fake_store_hang_connections(store, addr);
	ask(&s, &s.store, SPAN_MS, &status[0]);
	g_assert_cmpint(wait_status(&s, &status[0]), ==, 0);
	ask(&s, &s.store, SPAN_MS, &status[0]);
	g_assert_cmpint(wait_status(&s, &status[0]), ==, 200);
	fake_store_free(store);
	g_free(addr);
}

/*
 * Guards against a part of an answer, or one that isn't HTTP/1.1, that is taken
 * for the store's state, or for an endpoint's answer to an order or for its
 * report.
 */
static void
broken_answer_is_none(void)
{
	static const struct {
		script_t script;
		int status; /* 0: no answer */
	} cases[] = {
		{ { .answer = "HTTP/1.1 200 OK\r\n\r\n{}", .end = SCRIPT_FIN },
		    200 },
		{ { .answer = "HTTP/1.1 200 OK\r\n\r\n{}",
		      .end = SCRIPT_RESET },
		    0 },
		{ { .answer = "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{}",
		      .end = SCRIPT_FIN },
		    0 },
		{ { .answer =
			  "HTTP/1.1 600 OK\r\nContent-Length: 2\r\n\r\n{}" },
		    0 },
		{ { .answer = "HTTP/1.1 200 OK\r\nA b: c\r\n"
			      "Content-Length: 2\r\n\r\n{}" },
		    0 },
		{ { .answer = "HTTP/1.1 200 OK\r\nContent-Len",
		      .end = SCRIPT_FIN },
		    0 },
	};
	static serve_t s;
	struct sockaddr_in to;
	scripted_peer_t *store;
	int port, status;
	char *addr;
	size_t i;

	g_assert_cmpint(loop_init(&s.loop), ==, 0);
	ports_take(&port, 1);
	addr = addr_of(port);
	g_assert_cmpint(net_addr(addr, &s.store), ==, 0);
	store = scripted_peer_new(&s.loop, addr);
	to = s.store;
	for (i = 0; i < 2 * G_N_ELEMENTS(cases); i++) {
		size_t k = i % G_N_ELEMENTS(cases);

		/* Then the same from a peer that isn't the store. */
		if (i == G_N_ELEMENTS(cases))
			s.store.sin_port = 0;
		scripted_peer_set(store, &cases[k].script);
		ask(&s, &to, WAIT_MS, &status);
		g_assert_cmpint(wait_status(&s, &status), ==, cases[k].status);
	}
	scripted_peer_free(store);
	g_free(addr);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	/* First: the other leaves kept connections on a loop of its own. */
	g_test_add_func(
	    "/http-request/broken_answer_is_none", broken_answer_is_none);
	g_test_add_func("/http-request/kept_connections_that_hang",
	    kept_connections_that_hang_are_tried_once);
	return g_test_run();
}
