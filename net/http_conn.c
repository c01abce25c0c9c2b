#include "net/net.h"

#include <errno.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

enum {
	READ_MAX = 65536, /* bytes read from a socket at once */
	LINGER_MS = 1000, /* time for the peer to read the last answer */
	BAD_REQUEST = 400,
	HEAD_TOO_LARGE = 431,
	BODY_TOO_LARGE = 413,
};

static char read_buf[READ_MAX];

static void parse(http_conn_t *k, const char *p, size_t n);

static void
update_events(http_conn_t *k)
{
	uint32_t ev = EPOLLRDHUP;

	if (k->closed)
		return;
	if (k->connecting || buf_len(&k->out) > 0)
		ev |= EPOLLOUT;
	if (!k->connecting && !k->paused &&
	    (!k->parse_stopped || k->side == HTTP_CLIENT || k->lingering))
		ev |= EPOLLIN;
	watch_set(k->loop, &k->watch, ev);
}

void
http_conn_close(http_conn_t *k)
{
	if (k->closed)
		return;
	k->closed = true;
	alarm_stop(k->loop, &k->alarm);
	watch_del(k->loop, &k->watch);
	buf_free(&k->in);
	buf_free(&k->out);
	/* Freed at the end of the turn: a callback may still use the head. */
	loop_free_later(k->loop, k->head.text.p);
	loop_free_later(k->loop, k);
}

static void
end_conn(http_conn_t *k, http_end_t why)
{
	if (k->closed)
		return;
	k->ops->end(k->user, k, why);
	http_conn_close(k);
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
end_later(http_conn_t *k)
{
	k->alarm.fn = on_broken;
	k->alarm.arg = k;
	alarm_set(k->loop, &k->alarm, k->loop->now);
}

static void
on_linger_timeout(void *arg)
{
	http_conn_close(arg);
}

static void
start_linger(http_conn_t *k)
{
	shutdown(k->watch.fd, SHUT_WR);
	k->lingering = true;
	k->alarm.fn = on_linger_timeout;
	k->alarm.arg = k;
	alarm_set(k->loop, &k->alarm, k->loop->now + LINGER_MS);
	update_events(k);
}

void
http_conn_flush(http_conn_t *k)
{
	ssize_t n;

	if (k->closed || k->connecting || k->lingering)
		return;
	while (buf_len(&k->out) > 0) {
		n = send(k->watch.fd, k->out.p + k->out.off, buf_len(&k->out),
		    MSG_NOSIGNAL);
		if (n > 0) {
			buf_take(&k->out, (size_t)n);
			k->last_io = k->loop->now;
			continue;
		}
		if (n == -1 && errno == EINTR)
			continue;
		if (n == -1 && (errno == EAGAIN || errno == EWOULDBLOCK))
			break;
		/* What the peer sent before the failure can still be read. */
		buf_take(&k->out, buf_len(&k->out));
		if (k->side == HTTP_SERVER || k->closing)
			end_later(k);
		return;
	}
	if (buf_len(&k->out) == 0 && k->closing)
		start_linger(k);
	update_events(k);
}

void
http_conn_write(http_conn_t *k, const void *p, size_t n)
{
	if (!k->closed)
		buf_add(&k->out, p, n);
}

/* Parser callbacks. They store the strings of a head in one buffer. */

static int
on_begin(http_parser *ps)
{
	http_conn_t *k = ps->data;

	buf_take(&k->head.text, buf_len(&k->head.text));
	k->head.target = 0;
	k->head.nfield = 0;
	k->head.too_many = false;
	k->head_bytes = k->body_bytes = 0;
	k->in_message = true;
	k->head_done = false;
	k->last_io = k->message_start = k->loop->now;
	if (k->ops->begin != NULL)
		k->ops->begin(k->user, k);
	return 0;
}

static int
count_head_bytes(http_conn_t *k, size_t n)
{
	k->head_bytes += n;
	if (k->head_max != 0 && k->head_bytes > k->head_max) {
		k->refuse_status = HEAD_TOO_LARGE;
		return -1;
	}
	return 0;
}

static int
on_url(http_parser *ps, const char *p, size_t n)
{
	http_conn_t *k = ps->data;

	buf_add(&k->head.text, p, n);
	return count_head_bytes(k, n);
}

/*
 * The parser passes a name or value in pieces; the NUL that ends a string is
 * added when the next string begins.
 */
static int
on_field(http_parser *ps, const char *p, size_t n)
{
	http_conn_t *k = ps->data;
	head_t *h = &k->head;
	bool new_field = h->nfield == 0 || h->field[h->nfield - 1].value != 0;

	if (k->head_done)
		return 0;
	if (new_field) {
		if (h->nfield == HEADERS_MAX) {
			k->refuse_status = HEAD_TOO_LARGE;
			return -1;
		}
		buf_add(&h->text, "", 1);
		h->field[h->nfield].name = (uint32_t)h->text.len;
		h->field[h->nfield++].value = 0;
	}
	buf_add(&h->text, p, n);
	return count_head_bytes(k, n);
}

static int
on_value(http_parser *ps, const char *p, size_t n)
{
	http_conn_t *k = ps->data;
	head_t *h = &k->head;
	field_t *f = &h->field[h->nfield - 1];

	if (k->head_done)
		return 0;
	if (f->value == 0) {
		/* Reject a space before the colon: the parser accepts it. */
		if (h->text.p[h->text.len - 1] == ' ')
			return -1;
		buf_add(&h->text, "", 1);
		f->value = (uint32_t)h->text.len;
	}
	buf_add(&h->text, p, n);
	return count_head_bytes(k, n + 4);
}

static int
on_head(http_parser *ps)
{
	http_conn_t *k = ps->data;

	buf_add(&k->head.text, "", 1);
	k->head_done = true;
	k->last_byte = 0;
	if (k->side == HTTP_CLIENT && ps->status_code < 200)
		return 0;
	k->keep_alive = http_should_keep_alive(ps);
	k->ops->head(k->user, k);
	if (k->closed)
		return -1;
	return k->side == HTTP_CLIENT && k->no_body ? 1 : 0;
}

static int
on_body(http_parser *ps, const char *p, size_t n)
{
	http_conn_t *k = ps->data;

	k->body_bytes += n;
	if (k->body_max != 0 && k->body_bytes > k->body_max) {
		k->refuse_status = BODY_TOO_LARGE;
		return -1;
	}
	k->ops->body(k->user, k, p, n);
	return k->closed ? -1 : 0;
}

static int
on_done(http_parser *ps)
{
	http_conn_t *k = ps->data;

	k->in_message = k->head_done = false;
	if (k->side == HTTP_CLIENT && ps->status_code < 200)
		return 0;
	k->parse_stopped = true;
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
 * True if a head has a bare LF or a folded line. The parser accepts both, but
 * other implementations read such a head differently, which allows request
 * smuggling.
 */
static bool
has_bad_line_end(http_conn_t *k, const char *p, size_t n)
{
	const char *q = p, *end = p + n;

	if (n > 0 && k->last_byte == '\n' && (*p == ' ' || *p == '\t'))
		return true;
	while ((q = memchr(q, '\n', (size_t)(end - q))) != NULL) {
		char before = q == p ? k->last_byte : q[-1];

		if (before != '\r')
			return true;
		if (end - q > 2 && q[1] == '\r' && q[2] == '\n')
			return false; /* the body follows */
		if (end - q > 1 && (q[1] == ' ' || q[1] == '\t'))
			return true;
		q++;
	}
	k->last_byte = n > 0 ? p[n - 1] : k->last_byte;
	return false;
}

static void
on_parse_error(http_conn_t *k)
{
	if (k->side == HTTP_CLIENT) {
		end_conn(k, HTTP_END_MALFORMED);
		return;
	}
	k->ops->bad(
	    k->user, k, k->refuse_status != 0 ? k->refuse_status : BAD_REQUEST);
}

static void
parse(http_conn_t *k, const char *p, size_t n)
{
	size_t used;

	if (k->side == HTTP_SERVER && !k->head_done &&
	    has_bad_line_end(k, p, n)) {
		on_parse_error(k);
		return;
	}
	used = http_parser_execute(&k->parser, &callbacks, p, n);
	if (k->closed)
		return;
	switch (HTTP_PARSER_ERRNO(&k->parser)) {
	case HPE_OK:
		if (k->parser.upgrade)
			on_parse_error(k);
		return;
	case HPE_PAUSED:
		break;
	default:
		on_parse_error(k);
		return;
	}
	/* Paused on the message's last byte, which used may include. */
	http_parser_pause(&k->parser, 0);
	if (used < n) {
		k->surplus = true;
		buf_add(&k->in, p + used, n - used);
	}
	update_events(k);
	k->ops->done(k->user, k);
}

void
http_conn_next(http_conn_t *k)
{
	buf_t in = k->in;

	if (k->closed)
		return;
	k->parse_stopped = k->surplus = false;
	k->last_io = k->loop->now;
	update_events(k);
	if (buf_len(&in) == 0)
		return;
	memset(&k->in, 0, sizeof(k->in));
	parse(k, in.p + in.off, buf_len(&in));
	buf_free(&in);
}

static void
on_readable(http_conn_t *k)
{
	ssize_t n;

	for (;;) {
		n = recv(k->watch.fd, read_buf, sizeof(read_buf), 0);
		if (n == -1 && errno == EINTR)
			continue;
		if (n == -1 && (errno == EAGAIN || errno == EWOULDBLOCK))
			return;
		if (n == -1) {
			end_conn(k, HTTP_END_RESET);
			return;
		}
		if (n == 0)
			break;
		k->last_io = k->loop->now;
		if (k->lingering)
			return;
		if (k->side == HTTP_CLIENT && k->parse_stopped) {
			/* No request is pending: the bytes answer none. */
			k->surplus = true;
			end_conn(k, HTTP_END_MALFORMED);
			return;
		}
		parse(k, read_buf, (size_t)n);
		return;
	}
	if (k->side == HTTP_CLIENT && !k->parse_stopped) {
		/* An answer without a length ends with the connection. */
		http_parser_execute(&k->parser, &callbacks, NULL, 0);
		if (k->closed)
			return;
		if (k->parse_stopped) {
			k->keep_alive = false;
			http_parser_pause(&k->parser, 0);
			k->ops->done(k->user, k);
			if (!k->closed)
				end_conn(k, HTTP_END_EOF);
			return;
		}
	}
	end_conn(k, HTTP_END_EOF);
}

static void
on_connected(http_conn_t *k)
{
	int err = 0;
	socklen_t len = sizeof(err);

	getsockopt(k->watch.fd, SOL_SOCKET, SO_ERROR, &err, &len);
	if (err != 0) {
		end_conn(k, HTTP_END_CONNECT_FAILED);
		return;
	}
	k->connecting = false;
	if (k->ops->connected != NULL)
		k->ops->connected(k->user, k);
	http_conn_flush(k);
}

static void
on_event(void *arg, uint32_t ev)
{
	http_conn_t *k = arg;
	bool was_pending;

	if (k->connecting) {
		if (ev & (EPOLLOUT | EPOLLERR | EPOLLHUP))
			on_connected(k);
		return;
	}
	if (ev & EPOLLOUT) {
		was_pending = buf_len(&k->out) > 0;
		http_conn_flush(k);
		if (k->closed)
			return;
		if (was_pending && buf_len(&k->out) == 0 &&
		    k->ops->drained != NULL && !k->lingering)
			k->ops->drained(k->user, k);
		if (k->closed)
			return;
	}
	if ((ev & EPOLLIN) && (k->watch.events & EPOLLIN)) {
		on_readable(k);
		return;
	}
	if (ev & EPOLLERR) {
		end_conn(k, HTTP_END_RESET);
		return;
	}
	if ((ev & (EPOLLHUP | EPOLLRDHUP)) && k->parse_stopped &&
	    k->side == HTTP_SERVER)
		end_conn(k, HTTP_END_EOF);
}

static http_conn_t *
conn_new(
    loop_t *l, int fd, http_side_t side, const http_conn_ops_t *ops, void *user)
{
	http_conn_t *k = calloc(1, sizeof(*k));
	int on = 1;

	if (k == NULL)
		abort();
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	k->loop = l;
	k->side = side;
	k->ops = ops;
	k->user = user;
	k->last_io = l->now;
	k->watch = (watch_t){ fd, 0, on_event, k };
	http_parser_init(
	    &k->parser, side == HTTP_SERVER ? HTTP_REQUEST : HTTP_RESPONSE);
	k->parser.data = k;
	return k;
}

http_conn_t *
http_conn_accept(loop_t *l, int fd, const http_conn_ops_t *ops, void *user)
{
	http_conn_t *k = conn_new(l, fd, HTTP_SERVER, ops, user);

	watch_add(l, &k->watch, EPOLLIN | EPOLLRDHUP);
	return k;
}

http_conn_t *
http_conn_connect(loop_t *l, const struct sockaddr_in *to,
    const http_conn_ops_t *ops, void *user)
{
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	http_conn_t *k;

	if (fd == -1)
		return NULL;
	if (connect(fd, (const struct sockaddr *)to, sizeof(*to)) == -1 &&
	    errno != EINPROGRESS) {
		close(fd);
		return NULL;
	}
	k = conn_new(l, fd, HTTP_CLIENT, ops, user);
	k->connecting = true;
	watch_add(l, &k->watch, EPOLLOUT);
	return k;
}

void
http_conn_pause(http_conn_t *k, bool paused)
{
	k->paused = paused;
	update_events(k);
}

static void
ignore_end(void *u, http_conn_t *k, http_end_t why)
{
	(void)u, (void)k, (void)why;
}

static const http_conn_ops_t ignore_ops = { .end = ignore_end };

void
http_conn_finish(http_conn_t *k)
{
	if (k->closed)
		return;
	k->ops = &ignore_ops;
	k->closing = true;
	k->parse_stopped = true;
	http_conn_flush(k);
}

void
http_conn_keepalive(http_conn_t *k, int idle_s, int every_s, int probes)
{
	int on = 1, fd = k->watch.fd;

	setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &idle_s, sizeof(idle_s));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &every_s, sizeof(every_s));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof(probes));
}
