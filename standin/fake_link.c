#define _GNU_SOURCE /* accept4() */
#include "standin/fake_link.h"

#include <errno.h>
#include <glib.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

enum {
	BACKLOG = 128,
	BUFFERED_MAX = 256 << 10, /* bytes; above it a side isn't read */
	/* A queue of no connections takes one, and the next SYN is dropped. */
	FILLERS = 4,
};

typedef struct pipe_end pipe_end_t;

/** One connection of a pair, and the bytes to be sent on it. */
struct pipe_end {
	struct link_pipe *pipe;
	pipe_end_t *other;
	watch_t watch;
	buf_t out;
	bool connecting;
	bool ended; /* nothing more is read; closed when its bytes are sent */
};

/** An instance's connection and the one to the endpoint. */
typedef struct link_pipe {
	fake_link_t *link;
	pipe_end_t instance, endpoint;
} link_pipe_t;

struct fake_link {
	loop_t *loop;
	char *addr;
	struct sockaddr_in to;
	link_state_t state;
	watch_t listener; /* fd -1: connections are refused */
	GPtrArray *pipes;
	int filler[FILLERS]; /* connections that fill the listener's queue */
	int nfiller;
	int accepted;
};

static void
end_close(loop_t *l, pipe_end_t *e, bool reset)
{
	struct linger hard = { 1, 0 };

	if (e->watch.fd == -1)
		return;
	if (reset)
		setsockopt(
		    e->watch.fd, SOL_SOCKET, SO_LINGER, &hard, sizeof(hard));
	watch_del(l, &e->watch);
	e->watch.fd = -1;
	buf_free(&e->out);
}

static void
pipe_close(link_pipe_t *p, bool reset)
{
	loop_t *l = p->link->loop;

	end_close(l, &p->instance, reset);
	end_close(l, &p->endpoint, reset);
	g_ptr_array_remove_fast(p->link->pipes, p);
	loop_free_later(l, p);
}

static bool
is_stopped(const pipe_end_t *e)
{
	switch (e->pipe->link->state) {
	case LINK_OPEN:
	case LINK_KEPT:
	case LINK_RESET:
		return false;
	case LINK_HANGING:
		return true;
	case LINK_ONE_WAY:
		return e == &e->pipe->endpoint;
	}
	return false;
}

static void
update_events(pipe_end_t *e)
{
	uint32_t ev = 0;

	if (e->watch.fd == -1)
		return;
	if (!e->ended && !is_stopped(e) && !e->connecting &&
	    buf_len(&e->other->out) < BUFFERED_MAX)
		ev |= EPOLLIN;
	if (e->connecting || (buf_len(&e->out) > 0 && !is_stopped(e->other)))
		ev |= EPOLLOUT;
	watch_set(e->pipe->link->loop, &e->watch, ev);
}

/* @return false: the pair was closed */
static bool
end_send(pipe_end_t *e)
{
	ssize_t n;

	while (
	    !e->connecting && buf_len(&e->out) > 0 && !is_stopped(e->other)) {
		n = send(e->watch.fd, e->out.p + e->out.off, buf_len(&e->out),
		    MSG_NOSIGNAL);
		if (n == -1 && errno == EAGAIN)
			break;
		if (n == -1) {
			pipe_close(e->pipe, true);
			return false;
		}
		buf_consume(&e->out, (size_t)n);
	}
	if (e->other->ended && buf_len(&e->out) == 0 && !e->connecting) {
		pipe_close(e->pipe, false);
		return false;
	}
	update_events(e);
	update_events(e->other);
	return true;
}

static void
end_read(pipe_end_t *e)
{
	char bytes[16384];
	ssize_t n = recv(e->watch.fd, bytes, sizeof(bytes), 0);

	if (n == -1 && errno == EAGAIN)
		return;
	if (n == -1) {
		pipe_close(e->pipe, true);
		return;
	}
	if (n == 0)
		e->ended = true;
	buf_add(&e->other->out, bytes, (size_t)n);
	end_send(e->other);
}

static void
on_event(void *arg, uint32_t ev)
{
	pipe_end_t *e = arg;
	int err = 0;
	socklen_t len = sizeof(err);

	if (e->connecting && (ev & (EPOLLOUT | EPOLLERR | EPOLLHUP))) {
		getsockopt(e->watch.fd, SOL_SOCKET, SO_ERROR, &err, &len);
		if (err != 0) {
			pipe_close(e->pipe, true);
			return;
		}
		e->connecting = false;
	}
	if ((ev & (EPOLLERR | EPOLLHUP)) && !(ev & EPOLLIN) && !is_stopped(e)) {
		pipe_close(e->pipe, (ev & EPOLLERR) != 0);
		return;
	}
	if ((ev & EPOLLIN) && (e->watch.events & EPOLLIN))
		end_read(e);
	else
		end_send(e);
}

static void
end_open(pipe_end_t *e, link_pipe_t *p, pipe_end_t *other, int fd)
{
	e->pipe = p;
	e->other = other;
	e->watch = (watch_t){ fd, 0, on_event, e };
}

static void
add_pipe(fake_link_t *k, int fd)
{
	link_pipe_t *p = calloc(1, sizeof(*p));
	int to = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

	if (p == NULL || to == -1)
		abort();
	p->link = k;
	if (connect(to, (struct sockaddr *)&k->to, sizeof(k->to)) == -1 &&
	    errno != EINPROGRESS)
		g_error("connect: %s", strerror(errno));
	end_open(&p->instance, p, &p->endpoint, fd);
	end_open(&p->endpoint, p, &p->instance, to);
	p->endpoint.connecting = true;
	g_ptr_array_add(k->pipes, p);
	watch_add(k->loop, &p->instance.watch, EPOLLIN);
	watch_add(k->loop, &p->endpoint.watch, EPOLLOUT);
	k->accepted++;
}

static void
on_connect(void *arg, uint32_t ev)
{
	fake_link_t *k = arg;
	int fd;

	(void)ev;
	while ((fd = accept4(k->listener.fd, NULL, NULL,
		    SOCK_NONBLOCK | SOCK_CLOEXEC)) != -1)
		add_pipe(k, fd);
}

static void
listen_again(fake_link_t *k)
{
	err_t e = { 0 };

	if (k->listener.fd != -1)
		return;
	k->listener = (watch_t){ net_listen(k->addr, &e), 0, on_connect, k };
	if (k->listener.fd == -1)
		g_error("%s", e.text);
	watch_add(k->loop, &k->listener, EPOLLIN);
}

static void
refuse(fake_link_t *k)
{
	if (k->listener.fd != -1)
		watch_del(k->loop, &k->listener);
	k->listener.fd = -1;
}

/* Fill the queue of the listener: the kernel then drops what comes. */
static void
ignore(fake_link_t *k)
{
	struct sockaddr_in own;

	listen_again(k);
	watch_set(k->loop, &k->listener, 0);
	listen(k->listener.fd, 0);
	net_addr(k->addr, &own);
	while (k->nfiller < FILLERS) {
		int fd = socket(
		    AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

		if (connect(fd, (struct sockaddr *)&own, sizeof(own)) == -1 &&
		    errno != EINPROGRESS)
			g_error("connect: %s", strerror(errno));
		k->filler[k->nfiller++] = fd;
	}
}

static void
stop_ignoring(fake_link_t *k)
{
	while (k->nfiller > 0)
		close(k->filler[--k->nfiller]);
	if (k->listener.fd == -1)
		return;
	listen(k->listener.fd, BACKLOG);
	watch_set(k->loop, &k->listener, EPOLLIN);
}

void
fake_link_set(fake_link_t *k, link_state_t state)
{
	guint i;

	k->state = state;
	stop_ignoring(k);
	switch (state) {
	case LINK_OPEN:
		listen_again(k);
		break;
	case LINK_RESET:
		refuse(k);
		while (k->pipes->len > 0)
			pipe_close(k->pipes->pdata[0], true);
		break;
	case LINK_KEPT:
		refuse(k);
		break;
	case LINK_HANGING:
	case LINK_ONE_WAY:
		ignore(k);
		break;
	}
	for (i = 0; i < k->pipes->len; i++) {
		link_pipe_t *p = k->pipes->pdata[i];

		update_events(&p->instance);
		update_events(&p->endpoint);
	}
}

int
fake_link_accepted(const fake_link_t *k)
{
	return k->accepted;
}

fake_link_t *
fake_link_new(loop_t *l, const char *addr, const char *to)
{
	fake_link_t *k = g_new0(fake_link_t, 1);

	k->loop = l;
	k->addr = g_strdup(addr);
	net_addr(to, &k->to);
	k->listener.fd = -1;
	k->pipes = g_ptr_array_new();
	listen_again(k);
	return k;
}

void
fake_link_free(fake_link_t *k)
{
	stop_ignoring(k);
	refuse(k);
	while (k->pipes->len > 0)
		pipe_close(k->pipes->pdata[0], false);
	g_ptr_array_free(k->pipes, TRUE);
	g_free(k->addr);
	g_free(k);
}
