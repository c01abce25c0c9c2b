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
	INTERIM_MAX = 8, /* 1xx heads before an answer */
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

/* A head, a chunk or a part of a body was read. */
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

/* Parser callbacks. They store the strings of a head in one buffer. */

static int
on_begin(http_parser *ps)
{
	http_conn_t *c = ps->data;

	buf_consume(&c->head.text, buf_len(&c->head.text));
	c->head.target = 0;
	c->head.nfield = 0;
	c->head.too_many = false;
	c->head_bytes = c->body_bytes = 0;
	c->in_message = true;
	c->head_done = false;
	c->last_io = c->message_start = c->loop->now;
	if (c->ops->begin != NULL)
		c->ops->begin(c->user, c);
	return 0;
}

static int
count_head_bytes(http_conn_t *c, size_t n)
{
	c->head_bytes += n;
	if (c->head_max != 0 && c->head_bytes > c->head_max) {
		c->refuse_status = HEAD_TOO_LARGE;
		return -1;
	}
	return 0;
}

static int
on_url(http_parser *ps, const char *p, size_t n)
{
	http_conn_t *c = ps->data;

	buf_add(&c->head.text, p, n);
	return count_head_bytes(c, n);
}

/*
 * The parser passes a name or value in pieces; the NUL that ends a string is
 * added when the next string begins.
 */
static int
on_field(http_parser *ps, const char *p, size_t n)
{
	http_conn_t *c = ps->data;
	head_t *h = &c->head;
	bool new_field = h->nfield == 0 || h->field[h->nfield - 1].value != 0;

	if (c->head_done)
		return 0;
	if (new_field) {
		if (h->nfield == HEADERS_MAX) {
			c->refuse_status = HEAD_TOO_LARGE;
			return -1;
		}
		buf_add(&h->text, "", 1);
		h->field[h->nfield].name = (uint32_t)h->text.len;
		h->field[h->nfield++].value = 0;
	}
	buf_add(&h->text, p, n);
	return count_head_bytes(c, n);
}

static int
on_value(http_parser *ps, const char *p, size_t n)
{
	http_conn_t *c = ps->data;
	head_t *h = &c->head;
	field_t *f = &h->field[h->nfield - 1];

	if (c->head_done)
		return 0;
	if (f->value == 0) {
		/* Reject a space before the colon: the parser accepts it. */
		if (h->text.p[h->text.len - 1] == ' ')
			return -1;
		buf_add(&h->text, "", 1);
		f->value = (uint32_t)h->text.len;
	}
	buf_add(&h->text, p, n);
	/* 4: the colon, a space and CRLF. */
	return count_head_bytes(c, n + 4);
}

static int
on_head(http_parser *ps)
{
	http_conn_t *c = ps->data;

	buf_add(&c->head.text, "", 1);
	c->head_done = true;
	c->last_byte = 0;
	if (c->side == HTTP_CLIENT && ps->status_code < 200)
		return 0;
	frame_read(c);
	c->keep_alive = http_should_keep_alive(ps);
	c->ops->head(c->user, c);
	if (has_ended(c))
		return -1;
	return c->side == HTTP_CLIENT && c->no_body ? 1 : 0;
}

static int
on_body(http_parser *ps, const char *p, size_t n)
{
	http_conn_t *c = ps->data;

	frame_read(c);
	c->body_bytes += n;
	if (c->body_max != 0 && c->body_bytes > c->body_max) {
		c->refuse_status = BODY_TOO_LARGE;
		return -1;
	}
	c->ops->body(c->user, c, p, n);
	return has_ended(c) ? -1 : 0;
}

static int
on_done(http_parser *ps)
{
	http_conn_t *c = ps->data;

	c->in_message = c->head_done = false;
	if (c->side == HTTP_CLIENT && ps->status_code < 200) {
		/* The answer may come much later; frame_bytes goes on. */
		c->frame = (arrival_t){ 0 };
		if (++c->interim <= INTERIM_MAX)
			return 0;
		c->refuse_status = HEAD_TOO_LARGE;
		return -1;
	}
	frame_read(c);
	c->interim = 0;
	c->parse_stopped = true;
	http_parser_pause(ps, 1);
	return 0;
}

static int
on_chunk(http_parser *ps)
{
	frame_read(ps->data);
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
	.on_chunk_header = on_chunk,
	.on_chunk_complete = on_chunk,
};

/*
 * True if a head has a bare LF or a folded line. The parser accepts both, but
 * other implementations read such a head differently, which allows request
 * smuggling.
 */
static bool
has_bad_line_end(http_conn_t *c, const char *p, size_t n)
{
	const char *q = p, *end = p + n;

	if (n > 0 && c->last_byte == '\n' && (*p == ' ' || *p == '\t'))
		return true;
	while ((q = memchr(q, '\n', (size_t)(end - q))) != NULL) {
		char before = q == p ? c->last_byte : q[-1];

		if (before != '\r')
			return true;
		if (end - q > 2 && q[1] == '\r' && q[2] == '\n')
			return false; /* the body follows */
		if (end - q > 1 && (q[1] == ' ' || q[1] == '\t'))
			return true;
		q++;
	}
	c->last_byte = n > 0 ? p[n - 1] : c->last_byte;
	return false;
}

static void
on_parse_error(http_conn_t *c)
{
	if (c->side == HTTP_CLIENT) {
		end_conn(c,
		    c->refuse_status != 0 ||
			    HTTP_PARSER_ERRNO(&c->parser) == HPE_HEADER_OVERFLOW
			? HTTP_END_ENDLESS
			: HTTP_END_MALFORMED);
		return;
	}
	c->ops->bad(
	    c->user, c, c->refuse_status != 0 ? c->refuse_status : BAD_REQUEST);
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

/*
 * Pass bytes to the parser.
 * @param used set to the number of them that belong to this message
 * @return whether a message is complete
 */
static bool
execute(http_conn_t *c, const char *p, size_t n, size_t *used)
{
	if (c->side == HTTP_SERVER && !c->head_done &&
	    has_bad_line_end(c, p, n)) {
		on_parse_error(c);
		return false;
	}
	c->frame_bytes += n;
	*used = http_parser_execute(&c->parser, &callbacks, p, n);
	if (has_ended(c))
		return false;
	switch (HTTP_PARSER_ERRNO(&c->parser)) {
	case HPE_OK:
		if (c->parser.upgrade)
			on_parse_error(c);
		else if (frame_is_endless(c))
			end_conn(c, HTTP_END_ENDLESS);
		else if (c->side == HTTP_SERVER && c->ops->read != NULL)
			c->ops->read(c->user, c);
		return false;
	case HPE_PAUSED:
		/* on_done() paused the parser at the end of the message. */
		http_parser_pause(&c->parser, 0);
		return true;
	default:
		on_parse_error(c);
		return false;
	}
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
	if (c->closed || c->head.text.cap <= HEAD_KEPT_MAX)
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
	if (c->side == HTTP_CLIENT && !c->parse_stopped) {
		/* An answer without a length ends with the connection. */
		http_parser_execute(&c->parser, &callbacks, NULL, 0);
		if (c->closed)
			return;
		if (c->parse_stopped) {
			c->keep_alive = false;
			http_parser_pause(&c->parser, 0);
			c->ops->done(c->user, c);
		}
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
	c->head_max = side == HTTP_CLIENT ? FRAME_MAX : 0;
	c->watch = (watch_t){ fd, 0, on_event, c };
	http_parser_init(
	    &c->parser, side == HTTP_SERVER ? HTTP_REQUEST : HTTP_RESPONSE);
	c->parser.data = c;
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
