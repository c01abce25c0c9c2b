#define _GNU_SOURCE /* accept4() */
#include "standin/endless_peer.h"

#include <errno.h>
#include <glib.h>
#include <string.h>
#include <strings.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

enum {
	SLOW_GAP_MS = 100,
	BLOCK = 32 << 10,      /* bytes repeated at full speed */
	TURN_MAX = 256 << 10,  /* bytes sent on a connection in a loop turn */
	SENT_MAX = 128 << 20,  /* bytes on a connection: spares the machine */
	REQUEST_MAX = 64 << 10 /* bytes */
};

#define OK "HTTP/1.1 200 OK\r\n"
#define OWN "Request-Id: @\r\n"
#define FOREIGN "Request-Id: another\r\n"
#define SIGNED "Server-Signature: s1\r\n"
#define LONG "Content-Length: 100000000000\r\n\r\n"
#define CHUNKED "Transfer-Encoding: chunked\r\n\r\n"
#define EVENTS "Content-Type: text/event-stream\r\n" CHUNKED
#define WORDS "10\r\nwords and words \r\n"

/* The start of an answer, where @ is the request's id, and what follows. */
static const struct {
	const char *start, *repeated;
} script[ENDLESS_KINDS] = {
	[ENDLESS_STATUS_LINE] = { "HTTP/1.1 200 ", "O" },
	[ENDLESS_FIELD] = { OK "X-Long: ", "x" },
	[ENDLESS_FIELDS] = { OK, "X-More: of the same\r\n" },
	[ENDLESS_INTERIM] = { "", "HTTP/1.1 100 Continue\r\n\r\n" },
	[ENDLESS_FOREIGN] = { OK FOREIGN SIGNED LONG, "bytes " },
	[ENDLESS_FOREIGN_CHUNKED] = { OK FOREIGN SIGNED CHUNKED, WORDS },
	[ENDLESS_FOREIGN_ANSWERS] = { "",
	    OK FOREIGN SIGNED "Content-Length: 0\r\n\r\n" },
	[ENDLESS_UNSIGNED] = { OK OWN CHUNKED, WORDS },
	[ENDLESS_UNSIGNED_LENGTH] = { OK OWN LONG, "bytes " },
	[ENDLESS_SIGNED] = { OK OWN SIGNED LONG, "bytes " },
	[ENDLESS_NOT_EXECUTED] = { "HTTP/1.1 503 Service Unavailable\r\n" OWN
				   "Not-Executed: 1\r\n" CHUNKED,
	    WORDS },
	[ENDLESS_BUSY] = { "HTTP/1.1 503 Service Unavailable\r\n" OWN SIGNED
			       CHUNKED,
	    WORDS },
	[ENDLESS_EVENT] = { OK OWN SIGNED EVENTS
	    "1b\r\nid: 1\ndata: 1\n\nid: 2\ndata:2\r\n"
	    "2\r\n\n\n\r\n",
	    "2\r\nx \r\n" },
	[ENDLESS_FIRST_EVENT] = { OK OWN SIGNED EVENTS "c\r\nid: 1\ndata: \r\n",
	    WORDS },
	[ENDLESS_NO_ID] = { OK OWN SIGNED EVENTS, "9\r\ndata: 1\n\n\r\n" },
	[ENDLESS_SAME_ID] = { OK OWN SIGNED EVENTS,
	    "f\r\nid: 1\ndata: 1\n\n\r\n" },
	[ENDLESS_CHUNK_EXTENSION] = { OK OWN SIGNED CHUNKED "5;", "x" },
	[ENDLESS_TRAILERS] = { OK OWN SIGNED CHUNKED "3\r\nabc\r\n0\r\n",
	    "X-More: of the same\r\n" },
	[ENDLESS_SURPLUS] = { OK OWN SIGNED "Content-Length: 3\r\n\r\nabc",
	    "HTTP/1.1 200 OK\r\n" },
	[ENDLESS_JSON] = { OK "Content-Type: application/json\r\n" CHUNKED
			      "a\r\n{\"items\":[\r\n",
	    "4\r\n{}, \r\n" },
};

typedef struct peer_conn {
	endless_peer_t *peer;
	watch_t watch;
	alarm_t alarm;
	GString *request; /* NULL: read, and the answer has begun */
	GString *start;
	size_t sent;
} peer_conn_t;

struct endless_peer {
	loop_t *loop;
	endless_kind_t kind;
	bool slow;
	watch_t listener;
	GPtrArray *conns;
	char block[BLOCK];
	size_t block_len; /* of whole repetitions */
	int requests;
	uint64_t sent;
};

static void
conn_free(gpointer p)
{
	peer_conn_t *c = p;

	watch_del(c->peer->loop, &c->watch);
	alarm_stop(c->peer->loop, &c->alarm);
	if (c->request != NULL)
		g_string_free(c->request, TRUE);
	if (c->start != NULL)
		g_string_free(c->start, TRUE);
	loop_free_later(c->peer->loop, c);
}

static void
conn_close(peer_conn_t *c)
{
	g_ptr_array_remove(c->peer->conns, c);
}

/* Bytes that are due now; the start is sent at once. */
static size_t
next_bytes(const peer_conn_t *c, const char **p)
{
	const endless_peer_t *peer = c->peer;
	size_t at;

	if (c->sent < c->start->len) {
		*p = c->start->str + c->sent;
		return c->start->len - c->sent;
	}
	if (c->sent > SENT_MAX)
		return 0;
	at = (c->sent - c->start->len) % peer->block_len;
	*p = peer->block + at;
	return peer->slow ? 1 : peer->block_len - at;
}

/* Returns false if the connection is closed. */
static bool
send_some(peer_conn_t *c)
{
	size_t end = c->sent + TURN_MAX, n;
	const char *p;
	ssize_t sent;

	while (c->sent < end && (n = next_bytes(c, &p)) > 0) {
		bool dripping = c->peer->slow && c->sent >= c->start->len;

		sent = send(c->watch.fd, p, n, MSG_NOSIGNAL);
		if (sent == -1 && errno == EAGAIN)
			break;
		if (sent == -1) {
			conn_close(c);
			return false;
		}
		c->sent += (size_t)sent;
		c->peer->sent += (uint64_t)sent;
		if (dripping)
			break;
	}
	if (c->peer->slow)
		alarm_set(
		    c->peer->loop, &c->alarm, c->peer->loop->now + SLOW_GAP_MS);
	return true;
}

static void
on_drip(void *arg)
{
	send_some(arg);
}

/* Read the request's head; its body is ignored. */
static bool
read_request(peer_conn_t *c)
{
	char bytes[4096], *end, **line, **l;
	ssize_t n = recv(c->watch.fd, bytes, sizeof(bytes), 0);

	if (n == -1 && errno == EAGAIN)
		return true;
	if (n <= 0 || (c->request != NULL && c->request->len > REQUEST_MAX)) {
		conn_close(c);
		return false;
	}
	if (c->request == NULL)
		return true;
	g_string_append_len(c->request, bytes, n);
	end = strstr(c->request->str, "\r\n\r\n");
	if (end == NULL)
		return true;
	c->start = g_string_new(script[c->peer->kind].start);
	line = g_strsplit(c->request->str, "\r\n", -1);
	for (l = line; *l != NULL; l++)
		if (strncasecmp(*l, "Request-Id: ", 12) == 0)
			g_string_replace(c->start, "@", *l + 12, 0);
	g_strfreev(line);
	g_string_free(c->request, TRUE);
	c->request = NULL;
	c->peer->requests++;
	if (!c->peer->slow)
		watch_set(c->peer->loop, &c->watch, EPOLLIN | EPOLLOUT);
	return send_some(c);
}

static void
on_event(void *arg, uint32_t ev)
{
	peer_conn_t *c = arg;

	if ((ev & (EPOLLIN | EPOLLHUP | EPOLLERR)) && !read_request(c))
		return;
	if (!(ev & EPOLLOUT) || c->start == NULL)
		return;
	if (!send_some(c))
		return;
	if (c->sent > SENT_MAX)
		watch_set(c->peer->loop, &c->watch, EPOLLIN);
}

static void
on_connect(void *arg, uint32_t ev)
{
	endless_peer_t *p = arg;
	int fd;

	(void)ev;
	while (
	    (fd = accept4(p->listener.fd, NULL, NULL, SOCK_NONBLOCK)) != -1) {
		peer_conn_t *c = g_new0(peer_conn_t, 1);

		c->peer = p;
		c->request = g_string_new(NULL);
		c->watch = (watch_t){ fd, 0, on_event, c };
		c->alarm = (alarm_t){ .fn = on_drip, .arg = c };
		g_ptr_array_add(p->conns, c);
		watch_add(p->loop, &c->watch, EPOLLIN);
	}
}

endless_peer_t *
endless_peer_new(loop_t *l, const char *addr, endless_kind_t kind, bool slow)
{
	endless_peer_t *p = g_new0(endless_peer_t, 1);
	const char *unit = script[kind].repeated;
	size_t n = strlen(unit);
	err_t e = { 0 };

	p->loop = l;
	p->kind = kind;
	p->slow = slow;
	p->conns = g_ptr_array_new_with_free_func(conn_free);
	for (; p->block_len + n <= BLOCK; p->block_len += n)
		memcpy(p->block + p->block_len, unit, n);
	p->listener = (watch_t){ net_listen(addr, &e), 0, on_connect, p };
	if (p->listener.fd == -1)
		g_error("%s", e.text);
	watch_add(l, &p->listener, EPOLLIN);
	return p;
}

int
endless_peer_requests(const endless_peer_t *p)
{
	return p->requests;
}

int
endless_peer_open(const endless_peer_t *p)
{
	return (int)p->conns->len;
}

uint64_t
endless_peer_sent(const endless_peer_t *p)
{
	return p->sent;
}

void
endless_peer_free(endless_peer_t *p)
{
	watch_del(p->loop, &p->listener);
	g_ptr_array_free(p->conns, TRUE);
	g_free(p);
}
