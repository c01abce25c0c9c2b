/* HTTP connections of net/ over a socket pair, without a daemon. */
#include "net/net.h"

#include <glib.h>
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

#define T(name) g_test_add_func("/http-conn/" #name, name)

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	T(lost_peer_is_reported_by_the_loop);
	T(finished_connection_reports_no_end);
	return g_test_run();
}
