/*
 * Review of LOST: a request to the store whose answer is larger than one read
 * and waits in the socket, after a standstill of the process. The program
 * replaces epoll_wait(), as thaw_test does.
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
	TURN_MS = 20,
	TURNS = 100,
	BUFFER = 4 << 20,
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

static int status = -1; /* of the answer */

static void
on_answer(void *arg, int got, const char *text, size_t len)
{
	(void)arg, (void)text, (void)len;
	status = got;
}

/* Guards against an answer that is given up though all of it waits. */
static void
answer_waits(size_t body)
{
	serve_t s = { 0 };
	struct sockaddr_in sa;
	socklen_t len = sizeof(sa);
	buf_t b = { 0 }, answer = { 0 };
	char got[256];
	int listener, conn = -1, bytes = BUFFER, i;
	ssize_t n = 0;

	status = -1;
	g_assert_cmpint(loop_init(&s.loop), ==, 0);
	listener = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
	g_assert_cmpint(net_addr("127.0.0.1:1", &sa), ==, 0);
	sa.sin_port = 0; /* any */
	setsockopt(listener, SOL_SOCKET, SO_SNDBUF, &bytes, sizeof(bytes));
	g_assert_cmpint(bind(listener, (struct sockaddr *)&sa, len), ==, 0);
	getsockname(listener, (struct sockaddr *)&sa, &len);
	g_assert_cmpint(listen(listener, 8), ==, 0);
	buf_str(&b, "GET / HTTP/1.1\r\nHost: store\r\n\r\n");
	http_request_send(&s, &sa, &b, LIMIT_MS, on_answer, NULL);
	for (i = 0; i < TURNS && n <= 0; i++) {
		loop_turn(&s.loop, 1);
		if (conn == -1)
			conn = accept(listener, NULL, NULL);
		if (conn != -1)
			n = recv(conn, got, sizeof(got), MSG_DONTWAIT);
	}
	g_assert_cmpint(n, >, 0);
	buf_fmt(
	    &answer, "HTTP/1.1 200 OK\r\nContent-Length: %zu\r\n\r\n", body);
	for (; body > 0; body--)
		buf_add(&answer, "x", 1);
	g_assert_cmpint(send(conn, answer.p, answer.len, MSG_DONTWAIT), ==,
	    (ssize_t)answer.len);
	standstill = LIMIT_MS + TURN_MS;
	for (i = 0; i < TURNS && status == -1; i++)
		loop_turn(&s.loop, TURN_MS);
	g_assert_cmpint(status, ==, 200);
	buf_free(&answer);
	loop_turn(&s.loop, 0);
	loop_free(&s.loop);
	close(listener);
	close(conn);
}

static void
answer_of_one_read(void)
{
	answer_waits(30000);
}

static void
answer_of_several_reads(void)
{
	answer_waits(400000);
}

#define T(name) g_test_add_func("/review-requests/" #name, name)

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	T(answer_of_one_read);
	T(answer_of_several_reads);
	return g_test_run();
}
