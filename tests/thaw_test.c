/*
 * Requests to the store and to endpoints when the process stood still
 * meanwhile, in process. The program replaces epoll_wait(), so that a wait can
 * be interrupted for longer than a request's limit, as by SIGSTOP.
 */
#include "serve/plan.h"

#include <errno.h>
#include <glib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <sys/syscall.h>
#include <unistd.h>

enum {
	LIMIT_MS = 1000, /* of a request */
	LEASE_MS = 3000, /* orders are sent for a part of it */
	TURN_MS = 20,
	TURNS = 100,
};

static ms_t standstill; /* during the next wait, 0: none */

int
epoll_wait(int fd, struct epoll_event *ev, int max, int span)
{
	if (standstill != 0) {
		clock_sleep(standstill);
		standstill = 0;
		errno = EINTR;
		return -1;
	}
	return (int)syscall(SYS_epoll_pwait, fd, ev, max, span, NULL, 0);
}

/** An instance without a daemon, and a listener that it sends to. */
typedef struct fixture {
	serve_t s;
	ep_t ep;
	plan_t p;
	dispatcher_t d;
	int listener, conn; /* conn -1: none yet */
	char got[4096];	    /* what it received */
	int ngot;
	bool closed;
	int status; /* of the answer, -1: none yet */
} fixture_t;

static void
set_up(fixture_t *t)
{
	socklen_t len = sizeof(t->ep.sa);

	memset(t, 0, sizeof(*t));
	g_assert_cmpint(loop_init(&t->s.loop), ==, 0);
	t->s.plan = &t->p;
	t->p.s = &t->s;
	t->d.s = &t->s;
	t->d.ep = &t->ep;
	t->ep.listed = true;
	str_set(t->ep.entry.addr, sizeof(t->ep.entry.addr), "127.0.0.1:1");
	t->conn = t->status = -1;
	t->listener =
	    socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	g_assert_cmpint(net_addr("127.0.0.1:1", &t->ep.sa), ==, 0);
	t->ep.sa.sin_port = 0; /* any */
	g_assert_cmpint(
	    bind(t->listener, (struct sockaddr *)&t->ep.sa, len), ==, 0);
	g_assert_cmpint(
	    getsockname(t->listener, (struct sockaddr *)&t->ep.sa, &len), ==,
	    0);
	g_assert_cmpint(listen(t->listener, 8), ==, 0);
}

static void
tear_down(fixture_t *t)
{
	loop_turn(&t->s.loop, 0);
	loop_free(&t->s.loop);
	close(t->listener);
	if (t->conn != -1)
		close(t->conn);
}

static void
receive(fixture_t *t)
{
	ssize_t n;

	if (t->conn == -1)
		t->conn = accept(t->listener, NULL, NULL);
	if (t->conn == -1)
		return;
	n = recv(t->conn, t->got + t->ngot, sizeof(t->got) - 1 - t->ngot,
	    MSG_DONTWAIT);
	if (n > 0)
		t->ngot += (int)n;
	t->closed = n == 0;
}

static void
on_answer(void *arg, int status, const char *text, size_t len)
{
	fixture_t *t = arg;

	(void)text, (void)len;
	t->status = status;
}

/* The answer waits in the socket: the request didn't time out. */
static void
answer_that_waits_is_taken(void)
{
	static const char answer[] =
	    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";
	fixture_t t;
	buf_t b = { 0 };
	int i;

	set_up(&t);
	buf_str(&b, "GET / HTTP/1.1\r\nHost: store\r\n\r\n");
	http_request_send(&t.s, &t.ep.sa, &b, LIMIT_MS, on_answer, &t);
	for (i = 0; i < TURNS && t.ngot == 0; i++) {
		loop_turn(&t.s.loop, 1);
		receive(&t);
	}
	g_assert_cmpint(t.ngot, >, 0);
	g_assert_cmpint(t.status, ==, -1);
	g_assert_cmpint(write(t.conn, answer, sizeof(answer) - 1), ==,
	    (int)sizeof(answer) - 1);
	standstill = LIMIT_MS + TURN_MS;
	for (i = 0; i < TURNS && t.status == -1; i++)
		loop_turn(&t.s.loop, TURN_MS);
	g_assert_cmpint(t.status, ==, 200);
	tear_down(&t);
}

/*
 * A connection that was made after the request's time isn't used: its answer
 * would come too late for anyone, and its writes would be a surprise.
 */
static void
late_connection_sends_nothing(void)
{
	fixture_t t;
	buf_t b = { 0 };
	int i;

	set_up(&t);
	buf_str(&b, "GET / HTTP/1.1\r\nHost: store\r\n\r\n");
	http_request_send(&t.s, &t.ep.sa, &b, LIMIT_MS, on_answer, &t);
	standstill = LIMIT_MS + TURN_MS;
	for (i = 0; i < TURNS && !t.closed; i++) {
		loop_turn(&t.s.loop, TURN_MS);
		receive(&t);
	}
	g_assert_true(t.closed);
	g_assert_cmpint(t.ngot, ==, 0);
	g_assert_cmpint(t.status, ==, 0);
	tear_down(&t);
}

static void
send_order(fixture_t *t)
{
	leadership_init(&t->p.leadership, LEASE_MS, true);
	t->p.leadership.held = true;
	t->p.leadership.taken_at = 7;
	t->p.leadership.renewed_at = clock_now(&machine_clock);
	dispatcher_send_order(&t->p, &t->d, true, "m1", "", "test");
	g_assert_nonnull(t->d.request);
}

static void
run_order(fixture_t *t)
{
	int i;

	for (i = 0; i < TURNS && !t->closed && t->ngot == 0; i++) {
		loop_turn(&t->s.loop, TURN_MS);
		receive(t);
	}
}

/* An order leaves only when its connection is made, up to half a second later.
 */
static void
order_is_sent_with_a_valid_lease(void)
{
	fixture_t t;

	set_up(&t);
	send_order(&t);
	run_order(&t);
	g_assert_nonnull(strstr(t.got, "POST /v1/order"));
	http_request_cancel(t.d.request);
	tear_down(&t);
}

/*
 * The holder stood still while the connection for an order was made, and its
 * lease expired meanwhile: another instance may be the holder by now, so the
 * order isn't sent.
 */
static void
order_isnt_sent_with_an_expired_lease(void)
{
	fixture_t t;

	set_up(&t);
	send_order(&t);
	t.p.leadership.renewed_at -= LEASE_MS;
	run_order(&t);
	g_assert_true(t.closed);
	g_assert_cmpint(t.ngot, ==, 0);
	g_assert_null(t.d.request);
	tear_down(&t);
}

#define T(name) g_test_add_func("/thaw-requests/" #name, name)

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	T(answer_that_waits_is_taken);
	T(late_connection_sends_nothing);
	T(order_is_sent_with_a_valid_lease);
	T(order_isnt_sent_with_an_expired_lease);
	return g_test_run();
}
