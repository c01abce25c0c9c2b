#define _GNU_SOURCE /* accept4() */
#include "peer/conn.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

enum {
	CONNS_MAX = 4096,
	EVENTS_MAX = 256,
	READ_MIN_BYTES = 8 * 1024,
	BUFFER_KEEP_BYTES = 64 * 1024,	    /* larger empty buffers are freed */
	UNIDENTIFIED_FRAME_MAX = 64 * 1024, /* bytes, until the Hello */
	HELLO_TIMEOUT_MS = 5000,	    /* closed without a Hello by then */
	DIAL_TIMEOUT_MS = 1000, /* until the connection is established */
	KEEPALIVE_S = 15,	/* idle time until the first probe */
	KEEPALIVE_GAP_S = 5,
	KEEPALIVE_PROBES = 3,
	ACCEPT_PAUSE_MS = 100, /* after running out of descriptors */
	OUT_FRAMES_MAX = 2,    /* limit of queued output, times frame_max */
};

struct net {
	net_opts_t o;
	int epoll, listener;
	bool listener_added; /* to the epoll set */
	ms_t accept_retry_at;
	ms_t swept_at;
	ms_t polled_at[2]; /* before the last wait and before this one */
	conn_t *conns;
	table_t *by_handle; /* of conn_t * */
	net_stats_t stats;  /* atomic, one writer */
	counter_t *in_frames, *in_bytes, *out_frames, *out_bytes;
	counter_t *bad_frames, *slow_readers;
};

/* Identify epoll events that aren't of connections. */
static int listen_mark, watch_mark;

static int
set_addr(struct sockaddr_in *a, const char *addr, err_t *e)
{
	char host[ADDR_MAX];
	uint16_t port;

	memset(a, 0, sizeof(*a));
	if (addr_split(addr, host, sizeof(host), &port, e) == -1)
		return -1;
	a->sin_family = AF_INET;
	a->sin_port = htons(port);
	inet_pton(AF_INET, host, &a->sin_addr);
	return 0;
}

static int
poll_set(net_t *n, int op, int fd, uint32_t events, void *mark)
{
	struct epoll_event ev = { .events = events, .data.ptr = mark };

	return epoll_ctl(n->epoll, op, fd, &ev);
}

static int
start_listening(net_t *n, err_t *e)
{
	struct sockaddr_in a;
	int one = 1;

	if (set_addr(&a, n->o.listen, e) == -1)
		return -1;
	n->listener =
	    socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (n->listener == -1)
		return err_set(e, ERR_INTERNAL, "socket: %m");
	setsockopt(n->listener, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (bind(n->listener, (struct sockaddr *)&a, sizeof(a)) == -1 ||
	    listen(n->listener, SOMAXCONN) == -1)
		return err_set(
		    e, ERR_INTERNAL, "listen on %s: %m", n->o.listen);
	if (poll_set(n, EPOLL_CTL_ADD, n->listener, EPOLLIN, &listen_mark) ==
	    -1)
		return err_set(e, ERR_INTERNAL, "epoll: %m");
	n->listener_added = true;
	return 0;
}

net_t *
net_new(const net_opts_t *o, err_t *e)
{
	net_t *n = calloc(1, sizeof(*n));

	if (n == NULL) {
		err_set(e, ERR_INTERNAL, "out of memory");
		return NULL;
	}
	n->o = *o;
	n->listener = -1;
	n->epoll = epoll_create1(EPOLL_CLOEXEC);
	n->by_handle = table_new(sizeof(conn_t *), CONNS_MAX);
	if (n->epoll == -1 || n->by_handle == NULL) {
		err_set(e, ERR_INTERNAL, "epoll: %m");
		net_free(n);
		return NULL;
	}
	if (o->listen != NULL && start_listening(n, e) == -1) {
		net_free(n);
		return NULL;
	}
	n->in_frames = counter_get("peer_frames_in_total", "frames received");
	n->in_bytes = counter_get("peer_bytes_in_total", "bytes received");
	n->out_frames = counter_get("peer_frames_out_total", "frames sent");
	n->out_bytes = counter_get("peer_bytes_out_total", "bytes sent");
	n->bad_frames = counter_get("peer_bad_frames_total",
	    "connections closed for a malformed frame");
	n->slow_readers = counter_get(
	    "peer_slow_readers_total", "connections closed for not reading");
	return n;
}

static void
conn_free(conn_t *c)
{
	table_del(c->net->by_handle, c->handle);
	if (c->fd != -1)
		close(c->fd);
	free(c->in);
	free(c->out);
	free(c);
}

void
net_free(net_t *n)
{
	conn_t *c;

	if (n == NULL)
		return;
	while ((c = n->conns) != NULL) {
		n->conns = c->next;
		conn_free(c);
	}
	if (n->listener != -1)
		close(n->listener);
	if (n->epoll != -1)
		close(n->epoll);
	table_free(n->by_handle);
	free(n);
}

static void
count(uint64_t *stat, counter_t *c, size_t n)
{
	__atomic_store_n(stat, *stat + n, __ATOMIC_RELAXED);
	counter_add(c, (int64_t)n);
}

void
net_stats(const net_t *n, net_stats_t *s)
{
	s->in_frames = __atomic_load_n(&n->stats.in_frames, __ATOMIC_RELAXED);
	s->in_bytes = __atomic_load_n(&n->stats.in_bytes, __ATOMIC_RELAXED);
	s->out_frames = __atomic_load_n(&n->stats.out_frames, __ATOMIC_RELAXED);
	s->out_bytes = __atomic_load_n(&n->stats.out_bytes, __ATOMIC_RELAXED);
}

int
net_watch(net_t *n, int fd)
{
	return poll_set(n, EPOLL_CTL_ADD, fd, EPOLLIN, &watch_mark);
}

conn_t *
net_first(net_t *n)
{
	return n->conns;
}

conn_t *
net_find(net_t *n, handle_t h)
{
	conn_t **c = table_get(n->by_handle, h);

	return c == NULL || (*c)->state == CONN_CLOSED ? NULL : *c;
}

/* No delay in sending; detect a dead host also on an idle connection. */
static void
set_options(int fd)
{
	int one = 1, idle = KEEPALIVE_S, gap = KEEPALIVE_GAP_S;
	int probes = KEEPALIVE_PROBES;

	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &one, sizeof(one));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &idle, sizeof(idle));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &gap, sizeof(gap));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof(probes));
}

/* Takes ownership of @p fd, also on failure. */
static conn_t *
conn_new(net_t *n, int fd, conn_state_t state)
{
	conn_t *c = calloc(1, sizeof(*c)), **slot;
	handle_t h = c == NULL ? 0 : table_add(n->by_handle);

	if (h == 0) {
		free(c);
		close(fd);
		return NULL;
	}
	c->net = n;
	c->fd = fd;
	c->state = state;
	c->handle = h;
	c->opened_at = c->heard_at = clock_now(n->o.clock);
	c->epollout_set = state == CONN_DIALLING;
	slot = table_get(n->by_handle, h);
	*slot = c;
	set_options(fd);
	if (poll_set(n, EPOLL_CTL_ADD, fd,
		EPOLLIN | (c->epollout_set ? EPOLLOUT : 0), c) == -1) {
		conn_free(c);
		return NULL;
	}
	c->next = n->conns;
	n->conns = c;
	return c;
}

conn_t *
net_dial(net_t *n, const char *addr)
{
	struct sockaddr_in a;
	conn_t *c;
	int fd;

	if (set_addr(&a, addr, NULL) == -1)
		return NULL;
	fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (fd == -1)
		return NULL;
	if (connect(fd, (struct sockaddr *)&a, sizeof(a)) == -1 &&
	    errno != EINPROGRESS) {
		close(fd);
		return NULL;
	}
	c = conn_new(n, fd, CONN_DIALLING);
	if (c != NULL)
		c->dialled = true;
	return c;
}

void
conn_close(conn_t *c, const char *why)
{
	if (c->state == CONN_CLOSED)
		return;
	c->state = CONN_CLOSED;
	c->close_reason = why;
	/* Close it now so that the peer notices without delay. */
	close(c->fd);
	c->fd = -1;
}

static void
free_closed(net_t *n)
{
	conn_t **at = &n->conns, *c;

	while ((c = *at) != NULL) {
		if (c->state != CONN_CLOSED) {
			at = &c->next;
			continue;
		}
		*at = c->next;
		log_event(c->role == CONN_UNIDENTIFIED ? LOG_DEBUG : LOG_INFO,
		    "peer_closed", "peer=%s dialled=%d why=%s",
		    c->peer[0] == '\0' ? "-" : c->peer, c->dialled,
		    c->close_reason);
		n->o.on_close(n->o.user, c);
		conn_free(c);
		/* The callback can close or dial connections: start again. */
		at = &n->conns;
	}
}

static bool
reserve(uint8_t **buf, size_t *room, size_t need)
{
	size_t size = *room == 0 ? 1024 : *room;
	uint8_t *p;

	if (need <= *room)
		return true;
	while (size < need)
		size *= 2;
	p = realloc(*buf, size);
	if (p == NULL)
		return false;
	*buf = p;
	*room = size;
	return true;
}

static void
free_if_large(uint8_t **buf, size_t *room)
{
	if (*room <= BUFFER_KEEP_BYTES)
		return;
	free(*buf);
	*buf = NULL;
	*room = 0;
}

bool
conn_send(conn_t *c, const Wire__Frame *f)
{
	net_t *n = c->net;
	size_t size, waiting = c->out_len - c->out_pos;

	if (c->state == CONN_CLOSED)
		return false;
	size = frame_size(f);
	if (waiting + size > OUT_FRAMES_MAX * n->o.frame_max) {
		counter_add(n->slow_readers, 1);
		conn_close(c, "slow_reader");
		return false;
	}
	if (c->out_pos > 0) {
		memmove(c->out, c->out + c->out_pos, waiting);
		c->out_pos = 0;
		c->out_len = waiting;
	}
	if (!reserve(&c->out, &c->out_size, waiting + size)) {
		conn_close(c, "out_of_memory");
		return false;
	}
	c->out_len += frame_pack(f, c->out + c->out_len);
	count(&n->stats.out_frames, n->out_frames, 1);
	count(&n->stats.out_bytes, n->out_bytes, size);
	return true;
}

static void
flush(conn_t *c)
{
	ssize_t sent;
	bool more;

	if (c->state != CONN_OPEN)
		return;
	while (c->out_pos < c->out_len) {
		sent = send(c->fd, c->out + c->out_pos, c->out_len - c->out_pos,
		    MSG_NOSIGNAL);
		if (sent == -1 && errno == EINTR)
			continue;
		if (sent == -1 && errno != EAGAIN) {
			conn_close(c, "write_failed");
			return;
		}
		if (sent == -1)
			break;
		c->out_pos += sent;
	}
	more = c->out_pos < c->out_len;
	if (!more) {
		c->out_pos = c->out_len = 0;
		free_if_large(&c->out, &c->out_size);
	}
	if (more != c->epollout_set) {
		c->epollout_set = more;
		poll_set(c->net, EPOLL_CTL_MOD, c->fd,
		    EPOLLIN | (more ? EPOLLOUT : 0), c);
	}
}

static void
handle_frames(conn_t *c)
{
	net_t *n = c->net;
	size_t at = 0, used, max;
	Wire__Frame *f;
	char quoted[ERR_TEXT_MAX];
	err_t e = { ERR_NONE, "" };

	while (c->state == CONN_OPEN) {
		max = c->role == CONN_UNIDENTIFIED ? UNIDENTIFIED_FRAME_MAX
						   : n->o.frame_max;
		/* A member that was dialled may answer with a large view. */
		if (c->dialled)
			max = n->o.frame_max;
		f = frame_unpack(c->in + at, c->in_len - at, max, &used, &e);
		if (f == NULL)
			break;
		at += used;
		count(&n->stats.in_frames, n->in_frames, 1);
		c->heard_at = clock_now(n->o.clock);
		if (!n->o.on_frame(n->o.user, c, f))
			wire__frame__free_unpacked(f, NULL);
	}
	if (e.code != ERR_NONE) {
		counter_add(n->bad_frames, 1);
		log_event(LOG_WARNING, "peer_bad_frame", "peer=%s error=%s",
		    c->peer[0] == '\0' ? "-" : c->peer,
		    log_quote(quoted, sizeof(quoted), e.text));
		conn_close(c, "bad_frame");
		return;
	}
	c->in_len -= at;
	if (c->in_len > 0)
		memmove(c->in, c->in + at, c->in_len);
	else
		free_if_large(&c->in, &c->in_size);
}

static void
read_input(conn_t *c)
{
	size_t room;
	ssize_t len;

	if (!reserve(&c->in, &c->in_size, c->in_len + READ_MIN_BYTES)) {
		conn_close(c, "out_of_memory");
		return;
	}
	room = c->in_size - c->in_len;
	len = recv(c->fd, c->in + c->in_len, room, 0);
	if (len == -1 && (errno == EAGAIN || errno == EINTR))
		return;
	if (len <= 0) {
		conn_close(c, len == 0 ? "closed_by_peer" : "read_failed");
		return;
	}
	if (!c->more)
		c->arrived_after = c->net->polled_at[0];
	c->more = (size_t)len == room;
	c->in_len += len;
	count(&c->net->stats.in_bytes, c->net->in_bytes, len);
	handle_frames(c);
}

static void
finish_dial(conn_t *c)
{
	int error = 0;
	socklen_t len = sizeof(error);

	getsockopt(c->fd, SOL_SOCKET, SO_ERROR, &error, &len);
	if (error != 0) {
		c->refused = error == ECONNREFUSED;
		conn_close(c, c->refused ? "refused" : "unreachable");
		return;
	}
	c->state = CONN_OPEN;
	c->heard_at = clock_now(c->net->o.clock);
	c->net->o.on_open(c->net->o.user, c);
	flush(c);
}

static void
accept_conns(net_t *n)
{
	int fd;

	while ((fd = accept4(n->listener, NULL, NULL,
		    SOCK_NONBLOCK | SOCK_CLOEXEC)) != -1)
		conn_new(n, fd, CONN_OPEN);
	if (errno == EAGAIN || errno == EINTR || errno == ECONNABORTED)
		return;
	/* Out of descriptors: the listener would stay ready and spin. */
	log_event(LOG_ERR, "peer_accept_failed", "errno=%d", errno);
	poll_set(n, EPOLL_CTL_DEL, n->listener, 0, NULL);
	n->listener_added = false;
	n->accept_retry_at = clock_now(n->o.clock) + ACCEPT_PAUSE_MS;
}

/*
 * Listen again after a pause, and close connections that weren't established
 * or identified in time.
 */
static void
close_timed_out(net_t *n, ms_t now)
{
	conn_t *c;

	if (n->o.listen != NULL && !n->listener_added &&
	    now >= n->accept_retry_at)
		n->listener_added = poll_set(n, EPOLL_CTL_ADD, n->listener,
					EPOLLIN, &listen_mark) == 0;
	if (now - n->swept_at < ACCEPT_PAUSE_MS)
		return;
	n->swept_at = now;
	for (c = n->conns; c != NULL; c = c->next) {
		if (c->state == CONN_DIALLING &&
		    now - c->opened_at > DIAL_TIMEOUT_MS)
			conn_close(c, "dial_timeout");
		if (c->state == CONN_OPEN && c->role == CONN_UNIDENTIFIED &&
		    now - c->opened_at > HELLO_TIMEOUT_MS)
			conn_close(c, "no_hello");
	}
}

void
net_poll(net_t *n, ms_t span)
{
	struct epoll_event ev[EVENTS_MAX];
	conn_t *c;
	int i, nready;

	for (c = n->conns; c != NULL; c = c->next)
		if (c->out_pos < c->out_len && !c->epollout_set)
			flush(c);
	free_closed(n);
	n->polled_at[0] = n->polled_at[1];
	n->polled_at[1] = clock_now(n->o.clock);
	nready = epoll_wait(n->epoll, ev, EVENTS_MAX, span < 0 ? 0 : (int)span);
	for (i = 0; i < nready; i++) {
		if (ev[i].data.ptr == &watch_mark)
			continue;
		if (ev[i].data.ptr == &listen_mark) {
			accept_conns(n);
			continue;
		}
		c = ev[i].data.ptr;
		if (c->state == CONN_DIALLING)
			finish_dial(c);
		if (c->state == CONN_OPEN && ev[i].events & EPOLLOUT)
			flush(c);
		if (c->state == CONN_OPEN && ev[i].events & ~EPOLLOUT)
			read_input(c);
	}
	close_timed_out(n, clock_now(n->o.clock));
	free_closed(n);
}
