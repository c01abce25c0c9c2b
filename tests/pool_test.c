/* Connections to endpoints that are kept for the next call. */
#include "serve/serve.h"
#include "standin/http_server.h"
#include "tests/proc.h"

enum {
	WAIT_MS = 3000,
	TURN_MS = 20,
};

typedef struct scene {
	serve_t s;
	ep_t ep;
	call_t call;
	http_server_t server;
	int heads, answers, ends;
} scene_t;

static void
answer(server_conn_t *c)
{
	buf_str(
	    &c->http->out, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
	http_conn_flush(c->http);
	http_conn_next(c->http);
}

static const http_server_ops_t server_ops = { .size = sizeof(server_conn_t),
	.done = answer };

static scene_t *current;

static void
on_head(void *u, http_conn_t *k)
{
	(void)u, (void)k;
	current->heads++;
}

static void
on_body(void *u, http_conn_t *k, const char *p, size_t n)
{
	(void)u, (void)k, (void)p, (void)n;
}

static void
on_done(void *u, http_conn_t *k)
{
	(void)u, (void)k;
	current->answers++;
}

static void
on_end(void *u, http_conn_t *k, http_end_t why)
{
	(void)k, (void)why;
	current->ends++;
	pool_remove(u);
}

static const http_conn_ops_t call_ops = {
	.head = on_head, .body = on_body, .done = on_done, .end = on_end
};

static scene_t *
scene_new(void)
{
	scene_t *t = g_new0(scene_t, 1);
	int port;
	char *addr;

	ports_take(&port, 1);
	addr = addr_of(port);
	loop_init(&t->s.loop);
	http_server_open(&t->server, &t->s.loop, addr, &server_ops, t);
	net_addr(addr, &t->ep.sa);
	t->ep.listed = true;
	t->call = (call_t){ .s = &t->s, .id = 1 };
	current = t;
	g_free(addr);
	return t;
}

static void
scene_free(scene_t *t)
{
	pool_close_idle(&t->ep);
	http_server_close(&t->server);
	loop_turn(&t->s.loop, 0);
	loop_free(&t->s.loop);
	g_free(t);
}

/* Run the loop until @p n is at least @p least. */
static bool
reaches(scene_t *t, const int *n, int least)
{
	ms_t end = clock_now(&machine_clock) + WAIT_MS;

	while (*n < least && clock_now(&machine_clock) < end)
		loop_turn(&t->s.loop, TURN_MS);
	return *n >= least;
}

static ep_conn_t *
ask(scene_t *t)
{
	ep_conn_t *w = pool_acquire(&t->s, &t->ep, &t->call, &call_ops);

	g_assert_nonnull(w);
	buf_str(&w->http->out, "GET / HTTP/1.1\r\nHost: h\r\n\r\n");
	http_conn_flush(w->http);
	return w;
}

/* A connection whose answer ended as its caller fell behind. */
static ep_conn_t *
release_paused(scene_t *t)
{
	ep_conn_t *w = ask(t);

	g_assert_true(reaches(t, &t->answers, 1));
	http_conn_pause(w->http, true);
	pool_release(w);
	g_assert_cmpint(t->ep.nidle, ==, 1);
	return w;
}

/* Guards against a call on a kept connection whose answer is never read. */
static void
kept_connection_is_read_for_the_next_call(void)
{
	scene_t *t = scene_new();
	ep_conn_t *w = release_paused(t), *next = ask(t);

	g_assert_true(next == w);
	g_assert_true(reaches(t, &t->answers, 2));
	pool_release(next);
	scene_free(t);
}

/* Guards against an idle connection whose end isn't noticed. */
static void
end_of_a_kept_connection_is_noticed(void)
{
	scene_t *t = scene_new();
	ms_t until = clock_now(&machine_clock) + WAIT_MS;

	release_paused(t);
	server_conn_close(g_ptr_array_index(t->server.conns, 0));
	while (t->ep.nconn > 0 && clock_now(&machine_clock) < until)
		loop_turn(&t->s.loop, TURN_MS);
	g_assert_cmpint(t->ep.nconn, ==, 0);
	scene_free(t);
}

#define T(name) g_test_add_func("/pool/" #name, name)

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	T(kept_connection_is_read_for_the_next_call);
	T(end_of_a_kept_connection_is_noticed);
	return g_test_run();
}
