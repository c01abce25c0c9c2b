#define _GNU_SOURCE /* accept4() */
#include "serve/buffers.h"
#include "serve/peer_call.h"

#include <arpa/inet.h>
#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

enum {
	ACCEPTS_PER_TURN = 64,	    /* accepted in one loop turn */
	ACCEPT_RETRY_MS = 50,	    /* after a failure, e.g. no descriptors */
	IDLE_TIMEOUT_MS = 15000,    /* default without a configuration */
	HEAD_TIMEOUT_MS = 3000,	    /* default timeout for a request's head */
	BODY_SILENCE_MAX_MS = 5000, /* longest silence within a body */
	BODY_MAX = 4 << 20,	    /* bytes, default without a configuration */
	HEAD_MAX = 16384,	    /* bytes */
	INSTANCE_FIELDS_MAX = 1024, /* bytes; added to a head by an instance */
	DRAIN_IDLE_MS = 1500,	    /* idle timeout while leaving */
	RESERVED_FDS = 256,	    /* descriptors for endpoints and files */
	/*
	 * With more of its answers unread, a caller's next request waits. A
	 * large answer stays below that: its endpoint isn't read meanwhile.
	 */
	UNREAD_MAX = 2 << 20, /* bytes */
	SPARE_FDS = 8,	      /* connections make room when so few are left */
};

static int
callers_max(const serve_t *s)
{
	int reserved = s->conf.fds_max / 2;

	return s->conf.fds_max -
	       (reserved < RESERVED_FDS ? reserved : RESERVED_FDS);
}

/*
 * Accept callers only while descriptors are left for endpoints and the store;
 * until then their requests stay unread.
 */
static void
update_listener(serve_t *s)
{
	uint32_t ev = s->ncaller < callers_max(s) ? EPOLLIN : 0;

	/* No connection may have been old enough to make room. */
	if (ev == 0 && s->accept_alarm.pos == 0)
		alarm_set(
		    &s->loop, &s->accept_alarm, s->loop.now + ACCEPT_RETRY_MS);
	if (s->caller_listener.fd != -1)
		watch_set(&s->loop, &s->caller_listener, ev);
	if (s->instance_listener.fd != -1)
		watch_set(&s->loop, &s->instance_listener, ev);
}

static void
conn_free(caller_conn_t *cc)
{
	serve_t *s = cc->s;

	alarm_stop(&s->loop, &cc->idle_alarm);
	buffers_conn_freed(cc);
	s->caller[cc->index] = s->caller[--s->ncaller];
	s->caller[cc->index]->index = cc->index;
	update_listener(s);
	buf_free(&cc->body);
	loop_free_later(&s->loop, cc);
}

static ms_t
idle_limit(const caller_conn_t *cc)
{
	const config_t *c = cc->s->config;

	/* Longer than other instances keep a connection without a call. */
	if (cc->from_instance)
		return IDLE_TIMEOUT_MS;
	return c != NULL && c->idle_timeout > 0 ? c->idle_timeout
						: IDLE_TIMEOUT_MS;
}

/* Close the connection once its last answer is sent. */
static void
finish(caller_conn_t *cc)
{
	cc->http->closing = cc->http->parse_stopped = true;
	http_conn_flush(cc->http);
	/*
	 * Else on_drained() or on_end() frees it, or the timer if its caller
	 * reads nothing any more; see callers_busy().
	 */
	if (buf_len(&cc->http->out) > 0) {
		buffers_request_ended(cc);
		alarm_set(&cc->s->loop, &cc->idle_alarm,
		    cc->http->last_io + idle_limit(cc));
		return;
	}
	http_conn_finish(cc->http);
	conn_free(cc);
}

/*
 * When silence, or the arrival of a request, has taken too long by the
 * configuration in force.
 */
static ms_t
idle_until(const caller_conn_t *cc)
{
	const config_t *c = cc->s->config;
	const http_conn_t *k = cc->http;

	if (k->closing)
		return k->last_io + idle_limit(cc);
	if (k->in_message && !k->head_done)
		return k->message_start + (c != NULL && c->head_timeout > 0
						  ? c->head_timeout
						  : HEAD_TIMEOUT_MS);
	if (k->in_message)
		return k->last_io + BODY_SILENCE_MAX_MS;
	if (cc->s->leaving)
		return k->last_io + DRAIN_IDLE_MS;
	return k->last_io + idle_limit(cc);
}

static void
set_idle_timer(caller_conn_t *cc)
{
	alarm_set(&cc->s->loop, &cc->idle_alarm, idle_until(cc));
}

static void
on_idle_alarm(void *arg)
{
	caller_conn_t *cc = arg;

	if (cc->call != 0)
		return;
	/* More has arrived, or a newer configuration allows more time. */
	if (idle_until(cc) > cc->s->loop.now) {
		set_idle_timer(cc);
		return;
	}
	if (cc->http->closing) {
		caller_reset(cc);
		return;
	}
	if (!cc->unread && http_conn_unread(cc->http) > 0) {
		/* It arrived since the loop's last wait. */
		alarm_set(&cc->s->loop, &cc->idle_alarm, cc->s->loop.now + 1);
		return;
	}
	if (cc->http->in_message) {
		log_limited(LOG_NOTICE, "caller-slow", "bytes=%zu",
		    cc->http->message_bytes);
		caller_answer(cc, 408, "Connection: close\r\n",
		    "the request took too long to arrive");
	} else if (buf_len(&cc->http->out) == 0) {
		/*
		 * Nothing is read from now on: a request that crosses the close
		 * is reset, so its caller knows that it wasn't read.
		 */
		http_conn_close(cc->http);
		conn_free(cc);
		return;
	}
	finish(cc);
}

static void
on_begin(void *u, http_conn_t *k)
{
	caller_conn_t *cc = u;
	const config_t *c = cc->s->config;

	k->parser.section_max =
	    c != NULL && c->head_max > 0 ? c->head_max : HEAD_MAX;
	if (cc->from_instance)
		k->parser.section_max += INSTANCE_FIELDS_MAX;
	set_idle_timer(cc);
}

static void
on_head(void *u, http_conn_t *k)
{
	caller_conn_t *cc = u;
	const config_t *c = cc->s->config;
	const char *expect = head_get(&k->head, "Expect");

	k->body_max = c != NULL && c->body_max > 0 ? c->body_max : BODY_MAX;
	buf_consume(&cc->body, buf_len(&cc->body));
	hasher_init(&cc->body_hash);
	if (k->parser.content_length > (int64_t)k->body_max) {
		caller_refuse(cc, 413, 0, "the body is too large");
		return;
	}
	if (!buffers_request_grew(cc))
		return;
	if (expect != NULL && strcasecmp(expect, "100-continue") == 0) {
		http_conn_write(k, "HTTP/1.1 100 Continue\r\n\r\n", 25);
		http_conn_flush(k);
	}
}

static void
on_body(void *u, http_conn_t *k, const char *p, size_t n)
{
	caller_conn_t *cc = u;

	(void)k;
	buf_add(&cc->body, p, n);
	hasher_add(&cc->body_hash, p, n);
	buffers_request_grew(cc);
}

static void
on_done(void *u, http_conn_t *k)
{
	caller_conn_t *cc = u;

	(void)k;
	alarm_stop(&cc->s->loop, &cc->idle_alarm);
	cc->served++;
	call_start(cc);
}

static void
on_bad(void *u, http_conn_t *k, int status)
{
	caller_conn_t *cc = u;

	log_limited(LOG_NOTICE, "request-malformed", "status=%d reason=%s",
	    status, http_conn_fault(k));
	caller_answer(cc, status, "Connection: close\r\n",
	    "the request is malformed or too large");
	finish(cc);
}

/* A part of a head has arrived; a body's parts are counted in on_body(). */
static void
on_read(void *u, http_conn_t *k)
{
	if (k->in_message && !k->head_done)
		buffers_request_grew(u);
}

static void
on_end(void *u, http_conn_t *k, http_end_t why)
{
	caller_conn_t *cc = u;
	call_t *c = call_get(cc->s, cc->call);

	(void)k, (void)why;
	cc->call = 0;
	if (c != NULL) {
		c->caller = NULL;
		call_caller_gone(c);
	}
	conn_free(cc);
}

/* Read the next request, unless the caller has to read first. */
static void
read_next(caller_conn_t *cc)
{
	buffers_request_ended(cc);
	cc->unread = buf_len(&cc->http->out) > UNREAD_MAX;
	set_idle_timer(cc);
	if (!cc->unread)
		http_conn_next(cc->http);
}

static void
on_drained(void *u, http_conn_t *k)
{
	caller_conn_t *cc = u;
	call_t *c = call_get(cc->s, cc->call);

	if (c != NULL)
		call_caller_drained(c);
	else if (k->closing)
		finish(cc);
	else if (cc->unread)
		read_next(cc);
	else if (!k->in_message)
		buffers_request_ended(cc);
}

static const http_conn_ops_t ops = {
	.begin = on_begin,
	.head = on_head,
	.body = on_body,
	.done = on_done,
	.bad = on_bad,
	.end = on_end,
	.drained = on_drained,
	.read = on_read,
};

static caller_conn_t *
add_caller(serve_t *s, int fd)
{
	caller_conn_t *cc = calloc(1, sizeof(*cc));

	if (cc == NULL)
		abort();
	cc->s = s;
	cc->http = http_conn_accept(&s->loop, fd, &ops, cc);
	cc->idle_alarm = (alarm_t){ .fn = on_idle_alarm, .arg = cc };
	if (s->ncaller == s->caller_capacity) {
		s->caller_capacity =
		    s->caller_capacity ? 2 * s->caller_capacity : 64;
		s->caller = realloc(
		    s->caller, s->caller_capacity * sizeof(caller_conn_t *));
		if (s->caller == NULL)
			abort();
	}
	cc->index = s->ncaller;
	s->caller[s->ncaller++] = cc;
	update_listener(s);
	set_idle_timer(cc);
	return cc;
}

/* Accept up to ACCEPTS_PER_TURN connections. @return one, or -1: no more */
static int
accept_next(serve_t *s, watch_t *listener, struct sockaddr_in *from)
{
	socklen_t len = sizeof(*from);
	int fd = accept4(listener->fd, (struct sockaddr *)from, &len,
	    SOCK_NONBLOCK | SOCK_CLOEXEC);

	if (fd != -1 || errno == EAGAIN || errno == EINTR)
		return fd;
	log_limited(LOG_WARNING, "accept", "why=\"%s\"", strerror(errno));
	/* The listener stays readable: don't spin on it. */
	watch_set(&s->loop, listener, 0);
	alarm_set(&s->loop, &s->accept_alarm, s->loop.now + ACCEPT_RETRY_MS);
	return -1;
}

static void
accept_callers(void *arg, uint32_t ev)
{
	serve_t *s = arg;
	struct sockaddr_in from;
	int i, fd;

	(void)ev;
	for (i = 0; i < ACCEPTS_PER_TURN && s->caller_listener.events != 0;
	     i++) {
		fd = accept_next(s, &s->caller_listener, &from);
		if (fd == -1)
			return;
		add_caller(s, fd);
		/* Before the last one, which would stop the listener. */
		if (s->ncaller >= callers_max(s) - SPARE_FDS)
			buffers_free_descriptor(s);
	}
}

static void
accept_instances(void *arg, uint32_t ev)
{
	serve_t *s = arg;
	struct sockaddr_in from = { 0 };
	char ip[ADDR_MAX];
	int i, fd;

	(void)ev;
	for (i = 0; i < ACCEPTS_PER_TURN && s->instance_listener.events != 0;
	     i++) {
		fd = accept_next(s, &s->instance_listener, &from);
		if (fd == -1)
			return;
		if (peer_with_ip(s, from.sin_addr) != NULL) {
			add_caller(s, fd)->from_instance = true;
			continue;
		}
		inet_ntop(AF_INET, &from.sin_addr, ip, sizeof(ip));
		log_limited(LOG_WARNING, "instance-unknown", "ip=%s", ip);
		close(fd);
	}
}

static void
on_accept_alarm(void *arg)
{
	serve_t *s = arg;

	if (s->ncaller >= callers_max(s) - SPARE_FDS)
		buffers_free_descriptor(s);
	update_listener(s);
}

int
callers_listen(serve_t *s, err_t *e)
{
	s->caller_listener.fd = net_listen(s->conf.caller_addr, e);
	if (s->caller_listener.fd == -1)
		return -1;
	s->caller_listener.fn = accept_callers;
	s->caller_listener.arg = s;
	s->accept_alarm = (alarm_t){ .fn = on_accept_alarm, .arg = s };
	s->instance_listener.fd = -1;
	return watch_add(&s->loop, &s->caller_listener, EPOLLIN);
}

int
instances_listen(serve_t *s, err_t *e)
{
	char addr[ADDR_MAX + 8];

	snprintf(addr, sizeof(addr), "%s:%d", s->conf.ip, s->conf.peer_port);
	s->instance_listener =
	    (watch_t){ net_listen(addr, e), 0, accept_instances, s };
	if (s->instance_listener.fd == -1)
		return -1;
	return watch_add(&s->loop, &s->instance_listener, EPOLLIN);
}

void
caller_answer(
    caller_conn_t *cc, int status, const char *extra, const char *body)
{
	buf_t json = { 0 };

	buf_fmt(&json, "{\"error\":\"%s\"}", body);
	buf_fmt(&cc->http->out,
	    "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\n"
	    "Content-Length: %zu\r\n%s\r\n",
	    status, http_reason(status), buf_len(&json), extra);
	buf_add(&cc->http->out, json.p, json.len);
	buf_free(&json);
	http_conn_flush(cc->http);
}

void
caller_refuse(caller_conn_t *cc, int status, int retry_after, const char *body)
{
	buf_t lines = { 0 };

	buf_str(&lines, "Connection: close\r\n");
	if (retry_after > 0)
		buf_fmt(&lines, "Retry-After: %d\r\n", retry_after);
	if (cc->from_instance)
		peer_refusal_encode(&lines);
	buf_add(&lines, "", 1);
	caller_answer(cc, status, lines.p, body);
	buf_free(&lines);
	/* The connection may stay until its caller reads. */
	buf_free(&cc->body);
	buffers_request_ended(cc);
	finish(cc);
}

void
caller_drop(caller_conn_t *cc)
{
	if (cc->http->in_message)
		caller_answer(cc, 408, "Connection: close\r\n",
		    "the request took too long to arrive");
	http_conn_close(cc->http);
	conn_free(cc);
}

void
caller_answer_done(caller_conn_t *cc)
{
	bool kept = cc->kept;

	cc->call = 0;
	cc->kept = false;
	if (!cc->http->keep_alive || (cc->s->leaving && !kept) ||
	    cc->http->closing) {
		finish(cc);
		return;
	}
	/* A request that was refused still has its body. */
	buf_free(&cc->body);
	http_conn_release(cc->http);
	read_next(cc);
}

void
caller_reset(caller_conn_t *cc)
{
	log_limited(
	    LOG_NOTICE, "caller-slow", "unsent=%zu", buf_len(&cc->http->out));
	http_conn_reset(cc->http);
	conn_free(cc);
}

void
caller_cut_answer(caller_conn_t *cc)
{
	const http_reader_t *ps = &cc->http->parser;

	cc->call = 0;
	if (ps->http_major == 1 && ps->http_minor >= 1) {
		/* The last chunk is missing. */
		finish(cc);
		return;
	}
	/* The end of the connection would be the end of the answer. */
	http_conn_reset(cc->http);
	conn_free(cc);
}

void
callers_drain(serve_t *s)
{
	int i;

	for (i = 0; i < s->ncaller; i++) {
		caller_conn_t *cc = s->caller[i];
		const call_t *c = call_get(s, cc->call);

		if (c != NULL)
			cc->kept = c->head_sent;
		else if (!cc->http->closing)
			set_idle_timer(cc);
	}
}

bool
callers_busy(const serve_t *s)
{
	int i;

	for (i = 0; i < s->ncaller; i++)
		if (s->caller[i]->http->in_message ||
		    buf_len(&s->caller[i]->http->out) > 0)
			return true;
	return false;
}
