/*
 * How a client's connection ends, and which answers are complete then, whatever
 * is called on the connection meanwhile.
 */
#include "net/net.h"
#include "tests/proc.h"

#include <glib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

enum {
	REQUEST = 8 << 20, /* bytes: more than the sockets take */
	END_MS = 2000,
	STEPS = 3,
};

/* What is called between two events of the peer. */
typedef enum call {
	CALL_NONE,
	CALL_UNREAD,
	CALL_FLUSH,
	CALL_TURN,
	CALL_PAUSE,
	CALLS
} call_t;

static const char *const call_name[] = { "none", "unread", "flush", "turn",
	"pause" };

typedef struct answer_case {
	const char *name, *text;
	bool reset; /* else a FIN */
	bool whole; /* it may be complete */
	bool must;  /* and has to be */
} answer_case_t;

#define OK "HTTP/1.1 200 OK\r\n"

static const answer_case_t cases[] = {
	{ "no-length-reset", OK "\r\nhalf", true, false, false },
	{ "no-length-fin", OK "\r\nwhole", false, true, true },
	{ "length-cut-reset", OK "Content-Length: 9\r\n\r\nhalf", true, false,
	    false },
	{ "length-cut-fin", OK "Content-Length: 9\r\n\r\nhalf", false, false,
	    false },
	{ "length-whole-reset", OK "Content-Length: 5\r\n\r\nwhole", true, true,
	    false },
	{ "chunk-cut-reset", OK "Transfer-Encoding: chunked\r\n\r\n4\r\nhalf",
	    true, false, false },
	{ "chunk-cut-fin", OK "Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
	    false, false, false },
	{ "head-cut-fin", OK "Content-Length: 0\r\n", false, false, false },
	{ "head-cut-reset", OK "X: y", true, false, false },
};

typedef struct client {
	loop_t loop;
	int fd; /* the peer's socket */
	http_conn_t *conn;
	bool look; /* at what is unread, in each callback for the body */
	bool reusable;
	int dones, ends;
	http_end_t why;
} client_t;

static void
on_head(void *u, http_conn_t *c)
{
	(void)u, (void)c;
}

static void
on_body(void *u, http_conn_t *c, const char *p, size_t n)
{
	(void)p, (void)n;
	if (((client_t *)u)->look)
		http_conn_unread(c);
}

static void
on_done(void *u, http_conn_t *c)
{
	client_t *k = u;

	k->dones++;
	k->reusable = http_conn_reusable(c);
}

static void
on_end(void *u, http_conn_t *c, http_end_t why)
{
	client_t *k = u;

	(void)c;
	k->ends++;
	k->why = why;
}

static const http_conn_ops_t ops = {
	.head = on_head, .body = on_body, .done = on_done, .end = on_end
};

static void
client_open(client_t *k)
{
	struct sockaddr_in sa;
	int port, listener;
	err_t e = { 0 };
	char *addr;

	memset(k, 0, sizeof(*k));
	g_assert_cmpint(loop_init(&k->loop), ==, 0);
	ports_take(&port, 1);
	addr = addr_of(port);
	listener = net_listen(addr, &e);
	g_assert_cmpint(listener, !=, -1);
	g_assert_cmpint(net_addr(addr, &sa), ==, 0);
	g_free(addr);
	k->conn = http_conn_connect(&k->loop, &sa, &ops, k);
	while ((k->fd = accept(listener, NULL, NULL)) == -1)
		loop_turn(&k->loop, 10);
	while (k->conn->connecting)
		loop_turn(&k->loop, 10);
	close(listener);
}

static void
client_call(client_t *k, call_t call)
{
	if (k->ends > 0)
		return;
	switch (call) {
	case CALL_UNREAD:
		http_conn_unread(k->conn);
		break;
	case CALL_FLUSH:
		http_conn_flush(k->conn);
		break;
	case CALL_TURN:
		loop_turn(&k->loop, 0);
		break;
	case CALL_PAUSE:
		http_conn_pause(k->conn, true);
		loop_turn(&k->loop, 0);
		if (k->ends == 0)
			http_conn_pause(k->conn, false);
		break;
	case CALL_NONE:
	case CALLS:
		break;
	}
}

static void
peer_end(client_t *k, bool reset)
{
	struct linger hard = { 1, 0 };

	if (!reset) {
		shutdown(k->fd, SHUT_WR);
		return;
	}
	setsockopt(k->fd, SOL_SOCKET, SO_LINGER, &hard, sizeof(hard));
	close(k->fd);
	k->fd = -1;
}

/*
 * Send an answer to a client, with a call after each step of its peer.
 * @param request bytes that are to be sent; the peer reads none
 */
static void
run_case(const answer_case_t *a, const call_t *call, size_t request)
{
	char *bytes = g_malloc0(request + 1);
	ms_t until;
	client_t k;

	g_test_message("%s request=%zu %s %s %s", a->name, request,
	    call_name[call[0]], call_name[call[1]], call_name[call[2]]);
	client_open(&k);
	http_conn_write(k.conn, bytes, request);
	http_conn_flush(k.conn);
	g_free(bytes);
	client_call(&k, call[0]);
	g_assert_cmpint(send(k.fd, a->text, strlen(a->text), MSG_NOSIGNAL), ==,
	    (ssize_t)strlen(a->text));
	client_call(&k, call[1]);
	peer_end(&k, a->reset);
	client_call(&k, call[2]);
	until = clock_now(&machine_clock) + END_MS;
	while (k.ends == 0 && clock_now(&machine_clock) < until)
		loop_turn(&k.loop, 10);
	g_assert_cmpint(k.ends, ==, 1);
	g_assert_cmpint(k.dones, <=, a->whole);
	if (a->must)
		g_assert_cmpint(k.dones, ==, 1);
	if (a->reset && k.dones == 0)
		g_assert_cmpint(k.why, ==, HTTP_END_RESET);
	if (k.fd != -1)
		close(k.fd);
	loop_turn(&k.loop, 0);
	loop_free(&k.loop);
}

static void
run_all(call_t last, size_t request)
{
	call_t call[STEPS];
	size_t i;
	int n;

	for (i = 0; i < G_N_ELEMENTS(cases); i++)
		for (n = 0; n < CALLS * CALLS; n++) {
			call[0] = n / CALLS;
			call[1] = n % CALLS;
			call[2] = last;
			run_case(&cases[i], call, request);
		}
}

/* Guards against a failed send that makes a reset look like an orderly end. */
static void
failed_send_doesnt_hide_a_reset(void)
{
	run_all(CALL_FLUSH, REQUEST);
	run_all(CALL_TURN, REQUEST);
	run_all(CALL_NONE, 0);
}

/* Guards against a look at unread bytes, as for a log line, that does so. */
static void
look_at_unread_bytes_doesnt_hide_a_reset(void)
{
	run_all(CALL_UNREAD, 0);
	run_all(CALL_UNREAD, REQUEST);
}

/*
 * Guards against a call that is sent on a connection that is known to be reset:
 * a log line in the last callback has seen it, and the answer is whole.
 */
static void
broken_connection_isnt_reused(void)
{
	static const char answer[] = OK "Content-Length: 5\r\n\r\nwhole";
	int reset;

	for (reset = 0; reset <= 1; reset++) {
		client_t k;

		client_open(&k);
		k.look = true;
		g_assert_cmpint(send(k.fd, answer, strlen(answer), 0), ==,
		    (ssize_t)strlen(answer));
		if (reset)
			peer_end(&k, true);
		while (k.dones == 0 && k.ends == 0)
			loop_turn(&k.loop, 10);
		g_assert_cmpint(k.dones, ==, 1);
		g_assert_cmpint(k.reusable, ==, !reset);
		if (k.ends == 0)
			http_conn_close(k.conn);
		if (k.fd != -1)
			close(k.fd);
		loop_turn(&k.loop, 0);
		loop_free(&k.loop);
	}
}

#define T(name) g_test_add_func("/conn-end/" #name, name)

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	T(failed_send_doesnt_hide_a_reset);
	T(look_at_unread_bytes_doesnt_hide_a_reset);
	T(broken_connection_isnt_reused);
	return g_test_run();
}
