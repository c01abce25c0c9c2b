/*
 * One daemon with little memory and few descriptors, and clients that aren't
 * controlled: many bodies at once, most of which stop short of their end.
 */
#include "tests/fixture.h"

#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

enum {
	MEMORY_MB = 48,
	MAX_FDS = 300,
	BODY_MAX = 1 << 20,	/* bytes, of the configuration */
	CROWD = 80,		/* bodies: together more than the memory */
	PIPELINED = 3600,	/* requests that are read at once */
	PIPELINING = 8,		/* clients */
	UNREAD_BYTES = 6 << 20, /* of requests whose answers aren't read */
	RECEIVE_BYTES = 4096,	/* buffer of a client that doesn't read */
	SLOW_CROWD = 260, /* more than there are descriptors for callers */
	CHUNK = 32 << 10, /* bytes of a large chunk */
	BYTE_CHUNKS = 700000,
	FAR_OVER = 64 << 20, /* bytes of a body far over the limit */
	DRIP_MS = 200,	     /* between two bytes of a slow body */
	SETTLE_MS = 1500,
	SENT_MS = 30000,   /* until a crowd has sent what it may */
	ANSWER_MS = 30000, /* until one ordinary request is answered */
};

/** What a client sends after its head. */
typedef enum body_kind {
	BODY_LARGE_CHUNKS,  /* up to the limit, without the last chunk */
	BODY_BYTE_CHUNKS,   /* the same in chunks of one byte */
	BODY_ANNOUNCED,	    /* a length at the limit, without the last byte */
	BODY_FAR_ANNOUNCED, /* a length far over the limit, and as many bytes */
	BODY_FAR_SENT,	    /* large chunks far over the limit */
	BODY_SLOW,	    /* a chunk of one byte now and then */
	BODY_KINDS,
	/* Not in the crowd of all kinds. */
	BODY_REFUSED,	/* complete, on a route that isn't there; kept open */
	BODY_PIPELINED, /* thousands of requests without a host at once */
	BODY_UNREAD,	/* small requests one after another, without reading */
} body_kind_t;

typedef struct client {
	fixture_t *st;
	body_kind_t kind;
	watch_t watch;
	alarm_t drip;
	GString *out;
	gsize off;
	size_t body; /* bytes of the body put into out so far */
	char answer[64];
	size_t nanswer;
	bool ended;
} client_t;

static void
put_chunk(client_t *c, size_t n)
{
	g_string_append_printf(c->out, "%zx\r\n", n);
	g_string_set_size(c->out, c->out->len + n);
	memset(c->out->str + c->out->len - n, 'x', n);
	g_string_append(c->out, "\r\n");
	c->body += n;
}

/* Put the next part of the body into out, if there is one. */
static void
put_more(client_t *c)
{
	int i;

	switch (c->kind) {
	case BODY_LARGE_CHUNKS:
		if (c->body + CHUNK < BODY_MAX)
			put_chunk(c, CHUNK);
		break;
	case BODY_BYTE_CHUNKS:
		for (i = 0; i < 10000 && c->body < BYTE_CHUNKS; i++) {
			g_string_append_len(c->out, "1\r\nx\r\n", 6);
			c->body++;
		}
		break;
	case BODY_ANNOUNCED:
		if (c->body == 0) {
			c->body = BODY_MAX - 1;
			g_string_set_size(c->out, c->out->len + c->body);
			memset(
			    c->out->str + c->out->len - c->body, 'x', c->body);
		}
		break;
	case BODY_FAR_ANNOUNCED:
		if (c->body < FAR_OVER) {
			c->body += CHUNK;
			g_string_set_size(c->out, c->out->len + CHUNK);
			memset(c->out->str + c->out->len - CHUNK, 'x', CHUNK);
		}
		break;
	case BODY_FAR_SENT:
		if (c->body < FAR_OVER)
			put_chunk(c, CHUNK);
		break;
	case BODY_REFUSED:
		if (c->body < BODY_MAX - CHUNK)
			put_chunk(c, CHUNK);
		else if (c->body++ < BODY_MAX)
			g_string_append(c->out, "0\r\n\r\n");
		if (c->body > BODY_MAX - CHUNK)
			c->body = BODY_MAX;
		break;
	case BODY_PIPELINED:
		for (i = 0; i < PIPELINED && c->body < PIPELINED; i++) {
			g_string_append(c->out, "GET / HTTP/1.1\r\n\r\n");
			c->body++;
		}
		break;
	case BODY_UNREAD:
		for (i = 0; i < 1000 && c->body < UNREAD_BYTES; i++) {
			gsize before = c->out->len;

			g_string_append(c->out, "GET /none HTTP/1.1\r\nHost: "
						"h.example\r\n"
						"Request-Id: u\r\n\r\n");
			c->body += c->out->len - before;
		}
		break;
	case BODY_SLOW:
	case BODY_KINDS:
		break;
	}
}

static void
client_end(client_t *c)
{
	if (c->ended)
		return;
	c->ended = true;
	alarm_stop(&c->st->loop, &c->drip);
	watch_del(&c->st->loop, &c->watch);
}

static void
send_out(client_t *c)
{
	ssize_t n;

	if (c->off == c->out->len) {
		g_string_set_size(c->out, 0);
		c->off = 0;
		put_more(c);
	}
	if (c->off < c->out->len) {
		n = send(c->watch.fd, c->out->str + c->off,
		    c->out->len - c->off, MSG_NOSIGNAL | MSG_DONTWAIT);
		if (n > 0)
			c->off += (gsize)n;
	}
	watch_set(&c->st->loop, &c->watch,
	    (c->kind == BODY_UNREAD ? 0 : EPOLLIN) |
		(c->out->len > 0 ? EPOLLOUT : 0));
}

static void
on_event(void *arg, uint32_t ev)
{
	client_t *c = arg;
	char bytes[512];
	ssize_t n;

	if (c->kind == BODY_UNREAD && ev & (EPOLLERR | EPOLLHUP)) {
		client_end(c);
		return;
	}
	if (c->kind != BODY_UNREAD && ev & (EPOLLIN | EPOLLERR | EPOLLHUP)) {
		n = recv(c->watch.fd, bytes, sizeof(bytes), MSG_DONTWAIT);
		if (n <= 0) {
			client_end(c);
			return;
		}
		if ((size_t)n > sizeof(c->answer) - 1 - c->nanswer)
			n = (ssize_t)(sizeof(c->answer) - 1 - c->nanswer);
		memcpy(c->answer + c->nanswer, bytes, (size_t)n);
		c->nanswer += (size_t)n;
	}
	if (ev & EPOLLOUT)
		send_out(c);
}

static void
on_drip(void *arg)
{
	client_t *c = arg;

	put_chunk(c, 1);
	alarm_set(&c->st->loop, &c->drip, c->st->loop.now + DRIP_MS);
	watch_set(&c->st->loop, &c->watch, EPOLLIN | EPOLLOUT);
}

static client_t *
client_new(fixture_t *st, body_kind_t kind, int i)
{
	client_t *c = g_new0(client_t, 1);
	struct sockaddr_in to;
	int small = RECEIVE_BYTES;

	c->st = st;
	c->kind = kind;
	c->out = g_string_new(NULL);
	c->drip = (alarm_t){ .fn = on_drip, .arg = c };
	g_assert_cmpint(net_addr(st->caller[0], &to), ==, 0);
	c->watch = (watch_t){
		socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0),
		0, on_event, c
	};
	g_assert_cmpint(c->watch.fd, !=, -1);
	if (kind == BODY_UNREAD)
		setsockopt(
		    c->watch.fd, SOL_SOCKET, SO_RCVBUF, &small, sizeof(small));
	(void)!connect(c->watch.fd, (struct sockaddr *)&to, sizeof(to));
	if (kind != BODY_PIPELINED && kind != BODY_UNREAD)
		g_string_append_printf(c->out,
		    "POST /%s/a HTTP/1.1\r\nHost: h.example\r\n"
		    "Request-Id: untrusted-%d\r\n",
		    kind == BODY_REFUSED ? "none" : "once", i);
	if (kind == BODY_ANNOUNCED || kind == BODY_FAR_ANNOUNCED)
		g_string_append_printf(c->out, "Content-Length: %d\r\n\r\n",
		    kind == BODY_ANNOUNCED ? BODY_MAX : FAR_OVER);
	else if (kind != BODY_PIPELINED && kind != BODY_UNREAD)
		g_string_append(c->out, "Transfer-Encoding: chunked\r\n\r\n");
	g_assert_cmpint(
	    watch_add(&st->loop, &c->watch, EPOLLIN | EPOLLOUT), ==, 0);
	if (kind == BODY_SLOW)
		alarm_set(
		    &st->loop, &c->drip, st->loop.now + DRIP_MS + i % DRIP_MS);
	return c;
}

static void
client_free(client_t *c)
{
	client_end(c);
	g_string_free(c->out, TRUE);
	g_free(c);
}

/* All have sent what they wanted, or were ended. */
static bool
crowd_is_done(void *arg)
{
	const GPtrArray *list = arg;
	guint i;

	for (i = 0; i < list->len; i++) {
		const client_t *c = list->pdata[i];

		if (!c->ended &&
		    (c->out->len > 0 || c->watch.events & EPOLLOUT))
			return false;
	}
	return true;
}

static int
descriptors(const proc_t *p)
{
	char *path = g_strdup_printf("/proc/%d/fd", (int)p->pid);
	GDir *d = g_dir_open(path, 0, NULL);
	int n = 0;

	g_assert_nonnull(d);
	while (g_dir_read_name(d) != NULL)
		n++;
	g_dir_close(d);
	g_free(path);
	return n;
}

/* A request that isn't served is refused as not run, or its connection ends. */
static void
check_answer(const client_t *c)
{
	int status = c->nanswer > 12 ? atoi(c->answer + 9) : 0;

	if (c->kind == BODY_REFUSED && status == 404)
		return;
	if (c->kind == BODY_PIPELINED && status == 400)
		return;
	g_assert_true(status == 0 || status == 408 || status == 413 ||
		      status == 429 || status == 503);
}

/* The crowd @p kind sends to a daemon; BODY_KINDS: some of each kind. */
static void
play(body_kind_t kind, int n)
{
	fixture_t *st = fixture_new();
	GPtrArray *list =
	    g_ptr_array_new_with_free_func((GDestroyNotify)client_free);
	caller_t *ordinary;
	long peak;
	int i, fds;

	st->memory_mb = MEMORY_MB;
	st->max_fds = MAX_FDS;
	st->body_max = BODY_MAX;
	fixture_put_config(st, "");
	fixture_add_endpoint(
	    st, &(fake_endpoint_opts_t){ .plain_ms = 5 }, "app");
	fixture_start_daemon(st, 0, true);
	for (i = 0; i < n; i++)
		g_ptr_array_add(
		    list, client_new(st,
			      kind == BODY_KINDS ? (body_kind_t)(i % BODY_KINDS)
						 : kind,
			      i));
	if (kind != BODY_SLOW && kind != BODY_KINDS)
		fixture_run_until(st, crowd_is_done, list, SENT_MS);
	fixture_run(st, SETTLE_MS);
	ordinary = caller_call(st, 0, "POST", "/once/a", "ordinary",
	    "Deadline-Remaining: 1900\r\n");
	g_assert_true(caller_wait(ordinary, ANSWER_MS));
	g_assert_false(proc_ended(st->daemon[0], 0));
	peak = proc_memory_kb(st->daemon[0], "VmHWM:");
	fds = descriptors(st->daemon[0]);
	g_test_message("peak %ld KB of %d, %d descriptors of %d, ordinary: %d",
	    peak, MEMORY_MB << 10, fds, MAX_FDS, ordinary->status);
	g_assert_cmpint(peak, <, MEMORY_MB << 10);
	g_assert_cmpint(fds, <=, MAX_FDS);
	g_assert_cmpint(ordinary->status, ==, 200);
	g_assert_cmpuint(fake_endpoint_executed(st->endpoint[0])->len, ==, 1);
	for (i = 0; i < n; i++)
		check_answer(list->pdata[i]);
	caller_free(ordinary);
	g_ptr_array_free(list, TRUE);
	fixture_free(st);
}

/* Guards against bodies that together take more than the memory. */
static void
large_chunks(void)
{
	play(BODY_LARGE_CHUNKS, CROWD);
}

/* Guards against small chunks that take more memory than their bytes. */
static void
byte_chunks(void)
{
	play(BODY_BYTE_CHUNKS, CROWD);
}

/* Guards against announced bodies that together take more than the memory. */
static void
announced(void)
{
	play(BODY_ANNOUNCED, CROWD);
}

/* Guards against keeping a body that is announced far over the limit. */
static void
far_announced(void)
{
	play(BODY_FAR_ANNOUNCED, CROWD);
}

/* Guards against keeping a body that goes on far over the limit. */
static void
far_sent(void)
{
	play(BODY_FAR_SENT, CROWD);
}

/* Guards against slow bodies that keep all descriptors for callers. */
static void
slow(void)
{
	play(BODY_SLOW, SLOW_CROWD);
}

/* Guards against all of these at the same time. */
static void
all_kinds(void)
{
	play(BODY_KINDS, SLOW_CROWD);
}

/* Guards against keeping the bodies of requests that were refused. */
static void
refused(void)
{
	play(BODY_REFUSED, CROWD);
}

/* Guards against memory for each of the requests that come at once. */
static void
pipelined(void)
{
	play(BODY_PIPELINED, PIPELINING);
}

/* Guards against keeping answers that their client doesn't read. */
static void
unread(void)
{
	play(BODY_UNREAD, PIPELINING);
}

/* Guards against refusing a single body at the limit that comes in pieces. */
static void
single_body_in_calm(void)
{
	fixture_t *st = fixture_new();
	GString *text = g_string_new(
	    "POST /once/a HTTP/1.1\r\nHost: h.example\r\nRequest-Id: one\r\n"
	    "Deadline-Remaining: 1900\r\nTransfer-Encoding: chunked\r\n\r\n");
	caller_t *c;
	int i;

	st->memory_mb = MEMORY_MB;
	st->max_fds = MAX_FDS;
	st->body_max = BODY_MAX;
	fixture_put_config(st, "");
	fixture_add_endpoint(
	    st, &(fake_endpoint_opts_t){ .plain_ms = 5 }, "app");
	fixture_start_daemon(st, 0, true);
	for (i = 0; i < BODY_MAX / CHUNK; i++) {
		g_string_append_printf(text, "%x\r\n", CHUNK);
		g_string_set_size(text, text->len + CHUNK);
		memset(text->str + text->len - CHUNK, 'x', CHUNK);
		g_string_append(text, "\r\n");
	}
	g_string_append(text, "0\r\n\r\n");
	c = caller_send(st, 0, text->str);
	g_assert_true(caller_wait(c, ANSWER_MS));
	g_assert_cmpint(c->status, ==, 200);
	caller_free(c);
	g_string_free(text, TRUE);
	fixture_free(st);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/untrusted/large_chunks", large_chunks);
	g_test_add_func("/untrusted/byte_chunks", byte_chunks);
	g_test_add_func("/untrusted/announced", announced);
	g_test_add_func("/untrusted/far_announced", far_announced);
	g_test_add_func("/untrusted/far_sent", far_sent);
	g_test_add_func("/untrusted/slow", slow);
	g_test_add_func("/untrusted/all_kinds", all_kinds);
	g_test_add_func("/untrusted/refused", refused);
	g_test_add_func("/untrusted/pipelined", pipelined);
	g_test_add_func("/untrusted/unread", unread);
	g_test_add_func("/untrusted/single_body_in_calm", single_body_in_calm);
	return g_test_run();
}
