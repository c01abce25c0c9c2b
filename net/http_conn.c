#include "net/net.h"

#include <errno.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

enum {
	READ_MAX = 65536,     /* bytes read from a socket at once */
	LINGER_MS = 1000,     /* time for the peer to read the last answer */
	HEAD_KEPT_MAX = 4096, /* bytes of a head, kept for the next one */
	BAD_REQUEST = 400,
	HEAD_TOO_LARGE = 431,
	BODY_TOO_LARGE = 413,
	/*
	 * Of an answer: heads, chunk extensions and trailers may be sent
	 * without end. An endpoint sends each of them at once.
	 */
	FRAME_MAX = 32 << 10, /* bytes */
	FRAME_MAX_MS = 1000,
};

static char read_buf[READ_MAX];

static void parse(http_conn_t *c, const char *p, size_t n);

static void
update_events(http_conn_t *c)
{
	/* The end of a connection that isn't read would be reported on and on.
	 */
	uint32_t ev = c->paused ? 0 : EPOLLRDHUP;

	if (c->closed)
		return;
	if (c->connecting || buf_len(&c->out) > 0)
		ev |= EPOLLOUT;
	if (!c->connecting && !c->paused &&
	    (!c->parse_stopped || c->side == HTTP_CLIENT || c->lingering))
		ev |= EPOLLIN;
	watch_set(c->loop, &c->watch, ev);
}

void
http_conn_close(http_conn_t *c)
{
	if (c->closed)
		return;
	c->closed = true;
	alarm_stop(c->loop, &c->alarm);
	watch_del(c->loop, &c->watch);
	buf_free(&c->in);
	buf_free(&c->out);
	http_reader_free(&c->parser);
	/* Freed at the end of the turn: a callback may still use the head. */
	loop_free_later(c->loop, c->head.text.p);
	loop_free_later(c->loop, c);
}

void
http_conn_reset(http_conn_t *c)
{
	struct linger hard = { 1, 0 };

	if (c->closed)
		return;
	setsockopt(c->watch.fd, SOL_SOCKET, SO_LINGER, &hard, sizeof(hard));
	http_conn_close(c);
}

static void
end_conn(http_conn_t *c, http_end_t why)
{
	if (c->closed)
		return;
	c->ops->end(c->user, c, why);
	http_conn_close(c);
}

static void
on_broken(void *arg)
{
	end_conn(arg, HTTP_END_RESET);
}

/*
 * Report the end from the loop: the user may be writing to the connection and
 * doesn't expect a callback from within that call.
 */
static void
end_later(http_conn_t *c)
{
	c->alarm.fn = on_broken;
	c->alarm.arg = c;
	alarm_set(c->loop, &c->alarm, c->loop->now);
}

static void
on_linger_timeout(void *arg)
{
	http_conn_close(arg);
}

static void
start_linger(http_conn_t *c)
{
	shutdown(c->watch.fd, SHUT_WR);
	c->lingering = true;
	c->alarm.fn = on_linger_timeout;
	c->alarm.arg = c;
	alarm_set(c->loop, &c->alarm, c->loop->now + LINGER_MS);
	update_events(c);
}

void
http_conn_flush(http_conn_t *c)
{
	size_t n;

	if (c->closed || c->connecting || c->lingering)
		return;
	while (buf_len(&c->out) > 0) {
		n = tcp_write(c->watch.fd, &c->tcp_end, c->out.p + c->out.off,
		    buf_len(&c->out));
		if (n > 0) {
			buf_consume(&c->out, n);
			c->last_io = c->loop->now;
			continue;
		}
		if (!tcp_is_broken(c->tcp_end))
			break;
		/*
		 * What the peer sent before the failure can still be read: an
		 * answer with a length may be whole.
		 */
		buf_consume(&c->out, buf_len(&c->out));
		if (c->side == HTTP_SERVER || c->closing)
			end_later(c);
		return;
	}
	if (buf_len(&c->out) == 0 && c->closing)
		start_linger(c);
	update_events(c);
}

void
http_conn_write(http_conn_t *c, const void *p, size_t n)
{
	if (!c->closed)
		buf_add(&c->out, p, n);
}

/* A head, a chunk's line or a part of a body was read. */
static void
frame_read(http_conn_t *c)
{
	c->frame_bytes = 0;
	c->frame = (arrival_t){ 0 };
}

/* Has a callback closed the connection, or refused a server's request? */
static bool
has_ended(const http_conn_t *c)
{
	return c->closed || (c->side == HTTP_SERVER && c->closing);
}

static void
on_begin(http_conn_t *c)
{
	c->message_bytes = c->body_bytes = 0;
	c->in_message = true;
	c->head_done = false;
	c->last_io = c->message_start = c->loop->now;
	if (c->ops->begin != NULL)
		c->ops->begin(c->user, c);
}

static void
on_head(http_conn_t *c)
{
	frame_read(c);
	c->head_done = true;
	c->keep_alive = c->parser.keep_alive;
	c->ops->head(c->user, c);
}

static void
on_interim(http_conn_t *c)
{
	c->in_message = false;
	/* The answer may come much later; frame_bytes goes on. */
	c->frame = (arrival_t){ 0 };
}

/* Report a message that was refused, for its framing or its size. */
static void
on_refused(http_conn_t *c)
{
	bool body = c->body_max != 0 && c->body_bytes > c->body_max;
	bool large = body || c->parser.fault == HTTP_FAULT_TOO_LARGE ||
		     c->parser.fault == HTTP_FAULT_INTERIM;

	if (c->side == HTTP_CLIENT)
		end_conn(c, large ? HTTP_END_ENDLESS : HTTP_END_MALFORMED);
	else
		c->ops->bad(c->user, c,
		    body    ? BODY_TOO_LARGE
		    : large ? HEAD_TOO_LARGE
			    : BAD_REQUEST);
}

bool
http_conn_reusable(const http_conn_t *c)
{
	return !c->closed && c->keep_alive && !c->surplus &&
	       buf_len(&c->out) == 0 && c->tcp_end == TCP_END_NONE;
}

const char *
http_conn_fault(const http_conn_t *c)
{
	if (c->body_max != 0 && c->body_bytes > c->body_max)
		return "body-too-large";
	if (c->parser.fault == HTTP_FAULT_NONE)
		return "endless";
	return http_fault_text(c->parser.fault);
}

/* @return whether the connection is read on */
static bool
on_body(http_conn_t *c)
{
	frame_read(c);
	c->body_bytes += c->parser.part_len;
	if (c->body_max != 0 && c->body_bytes > c->body_max) {
		on_refused(c);
		return false;
	}
	c->ops->body(c->user, c, c->parser.part, c->parser.part_len);
	return !has_ended(c);
}

/*
 * True if the bytes since the last head, chunk or body part are too many or
 * have come for too long. To be called when bytes have arrived: a silent
 * endpoint isn't endless.
 */
static bool
frame_is_endless(http_conn_t *c)
{
	if (c->side == HTTP_SERVER || c->frame_bytes == 0)
		return false;
	return arrival_note(&c->frame, c->loop->now) > FRAME_MAX_MS ||
	       c->frame_bytes > FRAME_MAX;
}

/* All bytes were read, and the message goes on. */
static void
on_part_read(http_conn_t *c)
{
	if (frame_is_endless(c))
		end_conn(c, HTTP_END_ENDLESS);
	else if (c->side == HTTP_SERVER && c->ops->read != NULL)
		c->ops->read(c->user, c);
}

/*
 * Pass bytes to the reader.
 * @param used set to the number of them that belong to this message
 * @return whether a message is complete
 */
static bool
execute(http_conn_t *c, const char *p, size_t n, size_t *used)
{
	const char *at = p, *end = p + n;

	c->frame_bytes += n;
	while (!has_ended(c)) {
		switch (http_reader_next(&c->parser, &at, end)) {
		case HTTP_EVENT_MORE:
			c->message_bytes += n;
			on_part_read(c);
			return false;
		case HTTP_EVENT_BEGIN:
			on_begin(c);
			break;
		case HTTP_EVENT_INTERIM:
			on_interim(c);
			break;
		case HTTP_EVENT_HEAD:
			on_head(c);
			break;
		case HTTP_EVENT_BODY:
			if (!on_body(c))
				return false;
			break;
		case HTTP_EVENT_CHUNK:
			frame_read(c);
			break;
		case HTTP_EVENT_DONE:
			frame_read(c);
			c->in_message = c->head_done = false;
			c->parse_stopped = true;
			*used = (size_t)(at - p);
			return true;
		case HTTP_EVENT_FAULT:
			on_refused(c);
			return false;
		}
	}
	return false;
}

static void
message_done(http_conn_t *c)
{
	update_events(c);
	c->ops->done(c->user, c);
}

/*
 * Messages that came with an earlier one. Their users may answer them at once
 * and ask for the next: that is a loop here, as thousands may have come.
 */
static void
parse_surplus(http_conn_t *c)
{
	c->parsing = true;
	while (!has_ended(c) && !c->parse_stopped && buf_len(&c->in) > 0) {
		buf_t in = c->in;
		size_t used = 0;

		memset(&c->in, 0, sizeof(c->in));
		if (!execute(c, in.p + in.off, buf_len(&in), &used)) {
			buf_free(&in);
			break;
		}
		buf_consume(&in, used);
		c->surplus = buf_len(&in) > 0;
		if (c->surplus)
			c->in = in;
		else
			buf_free(&in);
		message_done(c);
	}
	c->parsing = false;
}

static void
parse(http_conn_t *c, const char *p, size_t n)
{
	size_t used = 0;

	if (!execute(c, p, n, &used))
		return;
	if (used < n) {
		c->surplus = true;
		buf_add(&c->in, p + used, n - used);
	}
	c->parsing = true;
	message_done(c);
	parse_surplus(c);
}

void
http_conn_release(http_conn_t *c)
{
	if (c->closed)
		return;
	if (c->parser.line.cap > HEAD_KEPT_MAX)
		buf_free(&c->parser.line);
	if (c->head.text.cap <= HEAD_KEPT_MAX)
		return;
	buf_free(&c->head.text);
	c->head.nfield = 0;
}

void
http_conn_next(http_conn_t *c)
{
	if (c->closed)
		return;
	c->parse_stopped = c->surplus = false;
	c->last_io = c->loop->now;
	update_events(c);
	if (!c->parsing)
		parse_surplus(c);
}

/* The connection has ended, and all that had arrived was read. */
static void
on_read_end(http_conn_t *c)
{
	if (tcp_is_broken(c->tcp_end)) {
		end_conn(c, HTTP_END_RESET);
		return;
	}
	if (c->side == HTTP_CLIENT && !c->parse_stopped &&
	    http_reader_end(&c->parser)) {
		/* An answer without a length ends with the connection. */
		c->in_message = c->head_done = false;
		c->parse_stopped = true;
		c->ops->done(c->user, c);
	}
	end_conn(c, HTTP_END_EOF);
}

static void
on_readable(http_conn_t *c)
{
	size_t n =
	    tcp_read(c->watch.fd, &c->tcp_end, read_buf, sizeof(read_buf));

	if (n == 0) {
		if (c->tcp_end != TCP_END_NONE)
			on_read_end(c);
		return;
	}
	c->last_io = c->loop->now;
	if (c->lingering)
		return;
	if (c->side == HTTP_CLIENT && c->parse_stopped) {
		/* No request is pending: the bytes answer none. */
		c->surplus = true;
		end_conn(c, HTTP_END_MALFORMED);
		return;
	}
	parse(c, read_buf, n);
}

static void
on_connected(http_conn_t *c)
{
	tcp_check(c->watch.fd, &c->tcp_end);
	if (tcp_is_broken(c->tcp_end)) {
		end_conn(c, HTTP_END_CONNECT_FAILED);
		return;
	}
	if (c->send_by != 0 && c->loop->now >= c->send_by)
		return;
	c->connecting = false;
	if (c->ops->connected != NULL)
		c->ops->connected(c->user, c);
	http_conn_flush(c);
}

static void
on_event(void *arg, uint32_t ev)
{
	http_conn_t *c = arg;
	bool was_pending;

	if (c->connecting) {
		if (ev & (EPOLLOUT | EPOLLERR | EPOLLHUP))
			on_connected(c);
		return;
	}
	if (ev & EPOLLOUT) {
		was_pending = buf_len(&c->out) > 0;
		http_conn_flush(c);
		if (c->closed)
			return;
		if (was_pending && buf_len(&c->out) == 0 &&
		    c->ops->drained != NULL)
			c->ops->drained(c->user, c);
		if (c->closed)
			return;
	}
	if ((ev & EPOLLIN) && (c->watch.events & EPOLLIN)) {
		on_readable(c);
		return;
	}
	/* While it isn't read, a reset may have been noted by another call. */
	if ((ev & EPOLLERR) || ((ev & EPOLLHUP) && tcp_is_broken(c->tcp_end))) {
		end_conn(c, HTTP_END_RESET);
		return;
	}
	if ((ev & (EPOLLHUP | EPOLLRDHUP)) && c->parse_stopped &&
	    c->side == HTTP_SERVER)
		end_conn(c, HTTP_END_EOF);
}

static http_conn_t *
conn_new(
    loop_t *l, int fd, http_side_t side, const http_conn_ops_t *ops, void *user)
{
	http_conn_t *c = calloc(1, sizeof(*c));
	int on = 1;

	if (c == NULL)
		abort();
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	c->loop = l;
	c->side = side;
	c->ops = ops;
	c->user = user;
	c->last_io = l->now;
	c->watch = (watch_t){ fd, 0, on_event, c };
	http_reader_init(&c->parser, side, &c->head);
	c->parser.section_max = side == HTTP_CLIENT ? FRAME_MAX : 0;
	return c;
}

http_conn_t *
http_conn_accept(loop_t *l, int fd, const http_conn_ops_t *ops, void *user)
{
	http_conn_t *c = conn_new(l, fd, HTTP_SERVER, ops, user);

	watch_add(l, &c->watch, EPOLLIN | EPOLLRDHUP);
	return c;
}

/* Choose the port at connect(), so that it is unique only with the peer. */
static int
bind_address(int fd, const struct sockaddr_in *from)
{
	struct sockaddr_in any_port = *from;
	int on = 1;

	any_port.sin_port = 0;
	setsockopt(fd, IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, &on, sizeof(on));
	return bind(fd, (struct sockaddr *)&any_port, sizeof(any_port));
}

http_conn_t *
http_conn_connect(loop_t *l, const struct sockaddr_in *to,
    const http_conn_ops_t *ops, void *user)
{
	return http_conn_connect_from(l, NULL, to, ops, user);
}

http_conn_t *
http_conn_connect_from(loop_t *l, const struct sockaddr_in *from,
    const struct sockaddr_in *to, const http_conn_ops_t *ops, void *user)
{
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	http_conn_t *c;

	if (fd == -1)
		return NULL;
	if (from != NULL && bind_address(fd, from) == -1) {
		close(fd);
		return NULL;
	}
	if (connect(fd, (const struct sockaddr *)to, sizeof(*to)) == -1 &&
	    errno != EINPROGRESS) {
		close(fd);
		return NULL;
	}
	c = conn_new(l, fd, HTTP_CLIENT, ops, user);
	c->connecting = true;
	watch_add(l, &c->watch, EPOLLOUT);
	return c;
}

void
http_conn_pause(http_conn_t *c, bool paused)
{
	c->paused = paused;
	update_events(c);
}

size_t
http_conn_unread(http_conn_t *c)
{
	char peeked[4096];

	if (c->closed || c->connecting)
		return 0;
	return tcp_peek(c->watch.fd, &c->tcp_end, peeked, sizeof(peeked));
}

static void
ignore_end(void *u, http_conn_t *c, http_end_t why)
{
	(void)u, (void)c, (void)why;
}

static const http_conn_ops_t ignore_ops = { .end = ignore_end };

void
http_conn_finish(http_conn_t *c)
{
	if (c->closed)
		return;
	c->ops = &ignore_ops;
	c->closing = true;
	c->parse_stopped = true;
	http_conn_flush(c);
}

void
http_conn_keepalive(http_conn_t *c, int idle_s, int every_s, int probes)
{
	int on = 1, fd = c->watch.fd;

	setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &idle_s, sizeof(idle_s));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &every_s, sizeof(every_s));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof(probes));
}
