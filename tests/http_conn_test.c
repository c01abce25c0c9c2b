/* HTTP connections of net/ over a socket pair, without a daemon. */
#include "net/net.h"
#include "tests/proc.h"

#include <glib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

typedef struct end_record {
	int ends;
	bool in_call; /* the test is calling into the connection */
} end_record_t;

static void
on_end(void *u, http_conn_t *c, http_end_t why)
{
	end_record_t *s = u;

	(void)c, (void)why;
	g_assert_false(s->in_call);
	s->ends++;
}

static const http_conn_ops_t ops = { .end = on_end };

/*
 * A write to a closed peer fails: the end callback comes from the loop, not
 * from within the call that writes.
 */
static void
lost_peer_is_reported_by_the_loop(void)
{
	loop_t l;
	int fd[2];
	end_record_t s = { 0 };
	http_conn_t *c;

	g_assert_cmpint(loop_init(&l), ==, 0);
	g_assert_cmpint(
	    socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, fd), ==, 0);
	c = http_conn_accept(&l, fd[0], &ops, &s);
	close(fd[1]);
	s.in_call = true;
	buf_str(&c->out, "an answer");
	http_conn_flush(c);
	s.in_call = false;
	g_assert_cmpint(s.ends, ==, 0);
	loop_turn(&l, 100);
	loop_turn(&l, 0);
	g_assert_cmpint(s.ends, ==, 1);
	loop_free(&l);
}

/*
 * A failed write schedules the end callback. A user that finishes the
 * connection in the same turn may be gone when that runs, and must not be
 * called.
 */
static void
finished_connection_reports_no_end(void)
{
	loop_t l;
	int fd[2], i;
	end_record_t s = { .in_call = true };
	http_conn_t *c;

	g_assert_cmpint(loop_init(&l), ==, 0);
	g_assert_cmpint(
	    socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, fd), ==, 0);
	c = http_conn_accept(&l, fd[0], &ops, &s);
	close(fd[1]);
	buf_str(&c->out, "an answer");
	http_conn_flush(c);
	http_conn_finish(c);
	for (i = 0; i < 3; i++)
		loop_turn(&l, 10);
	g_assert_cmpint(s.ends, ==, 0);
	loop_free(&l);
}

typedef struct answer_record {
	int heads, dones, ends;
	http_end_t why;
	GString *body;
} answer_record_t;

static void
answer_head(void *u, http_conn_t *c)
{
	(void)c;
	((answer_record_t *)u)->heads++;
}

static void
answer_body(void *u, http_conn_t *c, const char *p, size_t n)
{
	(void)c;
	g_string_append_len(((answer_record_t *)u)->body, p, (gssize)n);
}

static void
answer_done(void *u, http_conn_t *c)
{
	(void)c;
	((answer_record_t *)u)->dones++;
}

static void
answer_end(void *u, http_conn_t *c, http_end_t why)
{
	answer_record_t *r = u;

	(void)c;
	r->ends++;
	r->why = why;
}

static const http_conn_ops_t answer_ops = { .head = answer_head,
	.body = answer_body,
	.done = answer_done,
	.end = answer_end };

/* Send the parts to a client, with a pause of @p gap ms after each. */
static answer_record_t
read_answer(const char *const *part, ms_t gap)
{
	answer_record_t r = { .body = g_string_new(NULL) };
	struct sockaddr_in sa;
	http_conn_t *c;
	err_t e = { 0 };
	loop_t l;
	int listener, fd, port;
	char *addr;

	g_assert_cmpint(loop_init(&l), ==, 0);
	ports_take(&port, 1);
	addr = addr_of(port);
	listener = net_listen(addr, &e);
	g_assert_cmpint(listener, !=, -1);
	g_assert_cmpint(net_addr(addr, &sa), ==, 0);
	g_free(addr);
	c = http_conn_connect(&l, &sa, &answer_ops, &r);
	g_assert_nonnull(c);
	while ((fd = accept(listener, NULL, NULL)) == -1)
		loop_turn(&l, 10);
	for (; *part != NULL && r.ends == 0; part++) {
		ms_t until = clock_now(&machine_clock) + gap;

		g_assert_cmpint(send(fd, *part, strlen(*part), MSG_NOSIGNAL),
		    ==, (ssize_t)strlen(*part));
		do
			loop_turn(&l, 10);
		while (clock_now(&machine_clock) < until);
	}
	if (r.ends == 0)
		http_conn_close(c);
	loop_turn(&l, 0);
	close(fd);
	close(listener);
	loop_free(&l);
	return r;
}

/*
 * Guards against limits on heads and chunk lines that cut an answer whose
 * endpoint is slow: an early 100, pauses around chunk lines and their ends.
 */
static void
slow_parts_of_an_answer_pass(void)
{
	static const char *const part[] = { "HTTP/1.1 100 Continue\r\n\r\n",
		"HTTP/1.1 200 OK\r\nA: ", "b\r\n",
		"Transfer-Encoding: chunked\r\n\r\n", "3\r\n", "abc", "\r\n",
		"2\r\n", "de\r\n", "0", "\r\n", "\r\n", NULL };
	answer_record_t r = read_answer(part, 400);

	g_assert_cmpint(r.heads, ==, 1);
	g_assert_cmpint(r.dones, ==, 1);
	g_assert_cmpint(r.ends, ==, 0);
	g_assert_cmpstr(r.body->str, ==, "abcde");
	g_string_free(r.body, TRUE);
}

/* Guards against interim heads without end that are read as progress. */
static void
many_interim_heads_end_the_connection(void)
{
	static const char interim[] = "HTTP/1.1 100 Continue\r\n\r\n";
	const char *part[21];
	answer_record_t r;
	int i;

	for (i = 0; i < 20; i++)
		part[i] = interim;
	part[i] = NULL;
	r = read_answer(part, 0);
	g_assert_cmpint(r.heads, ==, 0);
	g_assert_cmpint(r.ends, ==, 1);
	g_assert_cmpint(r.why, ==, HTTP_END_ENDLESS);
	g_string_free(r.body, TRUE);
}

#define T(name) g_test_add_func("/http-conn/" #name, name)

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	T(lost_peer_is_reported_by_the_loop);
	T(finished_connection_reports_no_end);
	T(slow_parts_of_an_answer_pass);
	T(many_interim_heads_end_the_connection);
	return g_test_run();
}
