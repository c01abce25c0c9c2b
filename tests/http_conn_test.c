/* A connection of net/ over a pair of sockets, without a daemon. */
#include "net/net.h"

#include <glib.h>
#include <sys/socket.h>
#include <unistd.h>

typedef struct seen {
	int ends;
	bool inside; /* a call of ours into the connection is on */
} seen_t;

static void
on_end(void *u, http_conn_t *k, http_end_t why)
{
	seen_t *s = u;

	(void)k, (void)why;
	g_assert_false(s->inside);
	s->ends++;
}

static const http_conn_ops_t ops = { .end = on_end };

/* The peer has gone: its user hears it from the loop, not from its own call. */
static void
lost_peer_is_told_by_the_loop(void)
{
	loop_t l;
	int fd[2];
	seen_t s = { 0 };
	http_conn_t *k;

	g_assert_cmpint(loop_init(&l), ==, 0);
	g_assert_cmpint(
	    socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, fd), ==, 0);
	k = http_conn_accept(&l, fd[0], &ops, &s);
	close(fd[1]);
	s.inside = true;
	buf_str(&k->out, "an answer");
	http_conn_flush(k);
	s.inside = false;
	g_assert_cmpint(s.ends, ==, 0);
	loop_turn(&l, 100);
	loop_turn(&l, 0);
	g_assert_cmpint(s.ends, ==, 1);
	loop_free(&l);
}

/* It lets go in the same turn: it hears no more of it. */
static void
finished_link_tells_no_end(void)
{
	loop_t l;
	int fd[2], i;
	seen_t s = { .inside = true };
	http_conn_t *k;

	g_assert_cmpint(loop_init(&l), ==, 0);
	g_assert_cmpint(
	    socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, fd), ==, 0);
	k = http_conn_accept(&l, fd[0], &ops, &s);
	close(fd[1]);
	buf_str(&k->out, "an answer");
	http_conn_flush(k);
	http_conn_finish(k);
	for (i = 0; i < 3; i++)
		loop_turn(&l, 10);
	g_assert_cmpint(s.ends, ==, 0);
	loop_free(&l);
}

#define T(name) g_test_add_func("/link/" #name, name)

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	T(lost_peer_is_told_by_the_loop);
	T(finished_link_tells_no_end);
	return g_test_run();
}
