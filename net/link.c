#include "net/net.h"

#include <errno.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

enum {
	READ_MAX = 65536, /* bytes taken from a socket at once */
	LINGER_MS = 1000, /* a peer has this long to read a last answer */
	BAD_REQUEST = 400,
	HEAD_TOO_LARGE = 431,
	BODY_TOO_LARGE = 413,
};

static char scratch[READ_MAX];

static void parse(link_t *k, const char *p, size_t n);

static void
interest(link_t *k)
{
	uint32_t ev = EPOLLRDHUP;

	if (k->dead)
		return;
	if (k->connecting || buf_len(&k->out) > 0)
		ev |= EPOLLOUT;
	if (!k->connecting && !k->paused &&
	    (!k->held || k->side == LINK_CLIENT || k->lingering))
		ev |= EPOLLIN;
	watch_set(k->loop, &k->watch, ev);
}

void
link_close(link_t *k)
{
	if (k->dead)
		return;
	k->dead = true;
	alarm_stop(k->loop, &k->alarm);
	watch_del(k->loop, &k->watch);
	buf_free(&k->in);
	buf_free(&k->out);
	/* Freed at the end of the turn: a callback may still read the head. */
	loop_bury(k->loop, k->head.text.p);
	loop_bury(k->loop, k);
}

static void
ended(link_t *k, link_end_t why)
{
	if (k->dead)
		return;
	k->ops->end(k->user, k, why);
	link_close(k);
}

static void
broken(void *arg)
{
	ended(arg, LINK_RESET);
}

/* From the loop: the user may be in the middle of what it writes. */
static void
end_soon(link_t *k)
{
	k->alarm.fn = broken;
	k->alarm.arg = k;
	alarm_set(k->loop, &k->alarm, k->loop->now);
}

static void
linger_over(void *arg)
{
	link_close(arg);
}

static void
linger(link_t *k)
{
	shutdown(k->watch.fd, SHUT_WR);
	k->lingering = true;
	k->alarm.fn = linger_over;
	k->alarm.arg = k;
	alarm_set(k->loop, &k->alarm, k->loop->now + LINGER_MS);
	interest(k);
}

void
link_flush(link_t *k)
{
	ssize_t n;

	if (k->dead || k->connecting || k->lingering)
		return;
	while (buf_len(&k->out) > 0) {
		n = send(k->watch.fd, k->out.p + k->out.off, buf_len(&k->out),
		    MSG_NOSIGNAL);
		if (n > 0) {
			buf_take(&k->out, (size_t)n);
			k->since = k->loop->now;
			continue;
		}
		if (n == -1 && errno == EINTR)
			continue;
		if (n == -1 && (errno == EAGAIN || errno == EWOULDBLOCK))
			break;
		/* Reading may still give what the peer said before. */
		buf_take(&k->out, buf_len(&k->out));
		if (k->side == LINK_SERVER || k->closing)
			end_soon(k);
		return;
	}
	if (buf_len(&k->out) == 0 && k->closing)
		linger(k);
	interest(k);
}

void
link_write(link_t *k, const void *p, size_t n)
{
	if (!k->dead)
		buf_add(&k->out, p, n);
}

/* Parser callbacks: a head's strings end with NUL in one buffer. */

static int
on_begin(http_parser *ps)
{
	link_t *k = ps->data;

	buf_take(&k->head.text, buf_len(&k->head.text));
	k->head.target = 0;
	k->head.nfield = 0;
	k->head.too_many = false;
	k->head_bytes = k->body_bytes = 0;
	k->in_msg = true;
	k->headed = false;
	k->since = k->began = k->loop->now;
	if (k->ops->begin != NULL)
		k->ops->begin(k->user, k);
	return 0;
}

static int
grown(link_t *k, size_t n)
{
	k->head_bytes += n;
	if (k->head_max != 0 && k->head_bytes > k->head_max) {
		k->refuse = HEAD_TOO_LARGE;
		return -1;
	}
	return 0;
}

static int
on_url(http_parser *ps, const char *p, size_t n)
{
	link_t *k = ps->data;

	buf_add(&k->head.text, p, n);
	return grown(k, n);
}

/* The parser gives a name or value in pieces; a NUL ends the last one. */
static int
on_field(http_parser *ps, const char *p, size_t n)
{
	link_t *k = ps->data;
	head_t *h = &k->head;
	bool fresh = h->nfield == 0 || h->field[h->nfield - 1].value != 0;

	if (k->headed)
		return 0;
	if (fresh) {
		if (h->nfield == HEADERS_MAX) {
			k->refuse = HEAD_TOO_LARGE;
			return -1;
		}
		buf_add(&h->text, "", 1);
		h->field[h->nfield].name = (uint32_t)h->text.len;
		h->field[h->nfield++].value = 0;
	}
	buf_add(&h->text, p, n);
	return grown(k, n);
}

static int
on_value(http_parser *ps, const char *p, size_t n)
{
	link_t *k = ps->data;
	head_t *h = &k->head;
	field_t *f = &h->field[h->nfield - 1];

	if (k->headed)
		return 0;
	if (f->value == 0) {
		/* The parser lets a blank stand before the colon. */
		if (h->text.p[h->text.len - 1] == ' ')
			return -1;
		buf_add(&h->text, "", 1);
		f->value = (uint32_t)h->text.len;
	}
	buf_add(&h->text, p, n);
	return grown(k, n + 4);
}

static int
on_head(http_parser *ps)
{
	link_t *k = ps->data;

	buf_add(&k->head.text, "", 1);
	k->headed = true;
	k->last = 0;
	if (k->side == LINK_CLIENT && ps->status_code < 200)
		return 0;
	k->keep = http_should_keep_alive(ps);
	k->ops->head(k->user, k);
	if (k->dead)
		return -1;
	return k->side == LINK_CLIENT && k->no_body ? 1 : 0;
}

static int
on_body(http_parser *ps, const char *p, size_t n)
{
	link_t *k = ps->data;

	k->body_bytes += n;
	if (k->body_max != 0 && k->body_bytes > k->body_max) {
		k->refuse = BODY_TOO_LARGE;
		return -1;
	}
	k->ops->body(k->user, k, p, n);
	return k->dead ? -1 : 0;
}

static int
on_done(http_parser *ps)
{
	link_t *k = ps->data;

	k->in_msg = k->headed = false;
	if (k->side == LINK_CLIENT && ps->status_code < 200)
		return 0;
	k->held = true;
	http_parser_pause(ps, 1);
	return 0;
}

static const http_parser_settings callbacks = {
	.on_message_begin = on_begin,
	.on_url = on_url,
	.on_header_field = on_field,
	.on_header_value = on_value,
	.on_headers_complete = on_head,
	.on_body = on_body,
	.on_message_complete = on_done,
};

/*
 * The parser takes a lone line feed as an end of line and joins folded lines;
 * other implementations read such a head differently.
 */
static bool
odd_lines(link_t *k, const char *p, size_t n)
{
	const char *q = p, *end = p + n;

	if (n > 0 && k->last == '\n' && (*p == ' ' || *p == '\t'))
		return true;
	while ((q = memchr(q, '\n', (size_t)(end - q))) != NULL) {
		char before = q == p ? k->last : q[-1];

		if (before != '\r')
			return true;
		if (end - q > 2 && q[1] == '\r' && q[2] == '\n')
			return false; /* what follows is body */
		if (end - q > 1 && (q[1] == ' ' || q[1] == '\t'))
			return true;
		q++;
	}
	k->last = n > 0 ? p[n - 1] : k->last;
	return false;
}

static void
failed(link_t *k)
{
	if (k->side == LINK_CLIENT) {
		ended(k, LINK_BAD);
		return;
	}
	k->ops->bad(k->user, k, k->refuse != 0 ? k->refuse : BAD_REQUEST);
}

static void
parse(link_t *k, const char *p, size_t n)
{
	size_t used;

	if (k->side == LINK_SERVER && !k->headed && odd_lines(k, p, n)) {
		failed(k);
		return;
	}
	used = http_parser_execute(&k->parser, &callbacks, p, n);
	if (k->dead)
		return;
	switch (HTTP_PARSER_ERRNO(&k->parser)) {
	case HPE_OK:
		if (k->parser.upgrade)
			failed(k);
		return;
	case HPE_PAUSED:
		break;
	default:
		failed(k);
		return;
	}
	/* The pause comes on a message's last byte, which may be counted. */
	http_parser_pause(&k->parser, 0);
	if (used < n) {
		k->surplus = true;
		buf_add(&k->in, p + used, n - used);
	}
	interest(k);
	k->ops->done(k->user, k);
}

void
link_next(link_t *k)
{
	buf_t in = k->in;

	if (k->dead)
		return;
	k->held = k->surplus = false;
	k->since = k->loop->now;
	interest(k);
	if (buf_len(&in) == 0)
		return;
	memset(&k->in, 0, sizeof(k->in));
	parse(k, in.p + in.off, buf_len(&in));
	buf_free(&in);
}

static void
readable(link_t *k)
{
	ssize_t n;

	for (;;) {
		n = recv(k->watch.fd, scratch, sizeof(scratch), 0);
		if (n == -1 && errno == EINTR)
			continue;
		if (n == -1 && (errno == EAGAIN || errno == EWOULDBLOCK))
			return;
		if (n == -1) {
			ended(k, LINK_RESET);
			return;
		}
		if (n == 0)
			break;
		k->since = k->loop->now;
		if (k->lingering)
			return;
		if (k->side == LINK_CLIENT && k->held) {
			/* Nothing was asked: these belong to no request. */
			k->surplus = true;
			ended(k, LINK_BAD);
			return;
		}
		parse(k, scratch, (size_t)n);
		return;
	}
	if (k->side == LINK_CLIENT && !k->held) {
		/* An answer without a length ends with its connection. */
		http_parser_execute(&k->parser, &callbacks, NULL, 0);
		if (k->dead)
			return;
		if (k->held) {
			k->keep = false;
			http_parser_pause(&k->parser, 0);
			k->ops->done(k->user, k);
			if (!k->dead)
				ended(k, LINK_EOF);
			return;
		}
	}
	ended(k, LINK_EOF);
}

static void
connected(link_t *k)
{
	int err = 0;
	socklen_t len = sizeof(err);

	getsockopt(k->watch.fd, SOL_SOCKET, SO_ERROR, &err, &len);
	if (err != 0) {
		ended(k, LINK_CONNECT);
		return;
	}
	k->connecting = false;
	if (k->ops->up != NULL)
		k->ops->up(k->user, k);
	link_flush(k);
}

static void
event(void *arg, uint32_t ev)
{
	link_t *k = arg;
	bool had;

	if (k->connecting) {
		if (ev & (EPOLLOUT | EPOLLERR | EPOLLHUP))
			connected(k);
		return;
	}
	if (ev & EPOLLOUT) {
		had = buf_len(&k->out) > 0;
		link_flush(k);
		if (k->dead)
			return;
		if (had && buf_len(&k->out) == 0 && k->ops->drained != NULL &&
		    !k->lingering)
			k->ops->drained(k->user, k);
		if (k->dead)
			return;
	}
	if ((ev & EPOLLIN) && (k->watch.events & EPOLLIN)) {
		readable(k);
		return;
	}
	if (ev & EPOLLERR) {
		ended(k, LINK_RESET);
		return;
	}
	if ((ev & (EPOLLHUP | EPOLLRDHUP)) && k->held && k->side == LINK_SERVER)
		ended(k, LINK_EOF);
}

static link_t *
make(loop_t *l, int fd, link_side_t side, const link_ops_t *ops, void *user)
{
	link_t *k = calloc(1, sizeof(*k));
	int on = 1;

	if (k == NULL)
		abort();
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	k->loop = l;
	k->side = side;
	k->ops = ops;
	k->user = user;
	k->since = l->now;
	k->watch = (watch_t){ fd, 0, event, k };
	http_parser_init(
	    &k->parser, side == LINK_SERVER ? HTTP_REQUEST : HTTP_RESPONSE);
	k->parser.data = k;
	return k;
}

link_t *
link_accept(loop_t *l, int fd, const link_ops_t *ops, void *user)
{
	link_t *k = make(l, fd, LINK_SERVER, ops, user);

	watch_add(l, &k->watch, EPOLLIN | EPOLLRDHUP);
	return k;
}

link_t *
link_connect(
    loop_t *l, const struct sockaddr_in *to, const link_ops_t *ops, void *user)
{
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	link_t *k;

	if (fd == -1)
		return NULL;
	if (connect(fd, (const struct sockaddr *)to, sizeof(*to)) == -1 &&
	    errno != EINPROGRESS) {
		close(fd);
		return NULL;
	}
	k = make(l, fd, LINK_CLIENT, ops, user);
	k->connecting = true;
	watch_add(l, &k->watch, EPOLLOUT);
	return k;
}

void
link_pause(link_t *k, bool paused)
{
	k->paused = paused;
	interest(k);
}

static void
silent_end(void *u, link_t *k, link_end_t why)
{
	(void)u, (void)k, (void)why;
}

static const link_ops_t silent = { .end = silent_end };

void
link_finish(link_t *k)
{
	if (k->dead)
		return;
	k->ops = &silent;
	k->closing = true;
	k->held = true;
	link_flush(k);
}

void
link_keepalive(link_t *k, int idle_s, int every_s, int probes)
{
	int on = 1, fd = k->watch.fd;

	setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &idle_s, sizeof(idle_s));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &every_s, sizeof(every_s));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof(probes));
}
