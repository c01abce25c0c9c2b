/* HTTP requests to the store and, for orders and reports, to endpoints. */
#include "serve/serve.h"

#include <stdlib.h>
#include <string.h>

enum {
	IDLE_CONNS_MAX = 4, /* to the store */
	/* An unreachable store or endpoint is detected after 3 s. */
	KEEPALIVE_IDLE_S = 1,
	KEEPALIVE_INTERVAL_S = 1,
	KEEPALIVE_PROBES = 2,
	/* TCP resends a lost SYN only after a second or more. */
	CONNECT_TIMEOUT_MS = 500,
	/* The rest of an answer that has arrived in time is read by then. */
	READ_REST_MS = 500,
	/* A list has about 1 MB, a report some KB. */
	STORE_ANSWER_MAX = 4 << 20,	 /* bytes */
	ENDPOINT_ANSWER_MAX = 512 << 10, /* bytes */
};

struct http_request {
	serve_t *s;
	http_conn_t *conn;
	http_request_fn *fn;
	bool (*may_send)(void *arg); /* may be NULL */
	void (*read_head)(void *arg, const head_t *h, int status); /* or NULL */
	void *arg;
	alarm_t alarm;
	ms_t deadline;
	int64_t sent_era; /* of the store, as known when it was sent */
	int64_t era;	  /* of the store, as its answer says; 0: not said */
	buf_t text;
	int status;
	bool keep_conn; /* keep the connection for another request */
	bool finished;
};

static http_conn_t *idle[IDLE_CONNS_MAX];
static int nidle;

static void
finish(http_request_t *c, int status)
{
	http_request_fn *fn = c->fn;
	buf_t text = c->text;

	if (c->finished)
		return;
	c->finished = true;
	if (status != 0 && !store_era_accept(c->s, c->sent_era, c->era)) {
		log_limited(LOG_NOTICE, "store-answer-outdated",
		    "status=%d era=%" PRId64 " sent_in=%" PRId64, status,
		    c->era, c->sent_era);
		status = 0;
		buf_free(&text);
	}
	alarm_stop(&c->s->loop, &c->alarm);
	buf_add(&text, "", 1);
	loop_free_later(&c->s->loop, c);
	if (fn != NULL)
		fn(c->arg, status, text.p, text.len - 1);
	buf_free(&text);
}

/* @param c NULL: the bytes came on an idle connection, to the store */
static void
log_answer_dropped(
    const http_request_t *c, const http_conn_t *k, const char *why)
{
	bool store = c == NULL || c->keep_conn;

	log_limited(LOG_WARNING,
	    store ? "store-answer-dropped" : "endpoint-answer-dropped",
	    "status=%d bytes=%zu why=\"%s\"", c != NULL ? c->status : 0,
	    k->body_bytes, why);
}

static void
on_head(void *u, http_conn_t *k)
{
	http_request_t *c = u;

	if (c == NULL)
		return;
	c->status = k->parser.status_code;
	k->body_max = c->keep_conn ? STORE_ANSWER_MAX : ENDPOINT_ANSWER_MAX;
	if (c->keep_conn)
		c->era = store_era_decode(&k->head);
	if (c->read_head != NULL)
		c->read_head(c->arg, &k->head, c->status);
}

static void
on_body(void *u, http_conn_t *k, const char *p, size_t n)
{
	http_request_t *c = u;

	(void)k;
	if (c != NULL)
		buf_add(&c->text, p, n);
}

static void
on_done(void *u, http_conn_t *k)
{
	http_request_t *c = u;

	if (c == NULL) {
		http_conn_close(k);
		return;
	}
	k->user = NULL;
	if (c->keep_conn && http_conn_reusable(k) && nidle < IDLE_CONNS_MAX)
		idle[nidle++] = k;
	else
		http_conn_close(k);
	c->conn = NULL;
	finish(c, c->status);
}

static void
give_up(http_request_t *c)
{
	if (c->conn != NULL) {
		c->conn->user = NULL;
		http_conn_close(c->conn);
		c->conn = NULL;
	}
	finish(c, 0);
}

/* The request leaves only now. */
static void
on_connected(void *u, http_conn_t *k)
{
	http_request_t *c = u;

	(void)k;
	if (c->may_send != NULL && !c->may_send(c->arg))
		give_up(c);
}

static void
on_end(void *u, http_conn_t *k, http_end_t why)
{
	http_request_t *c = u;
	int i;

	if (why == HTTP_END_ENDLESS)
		log_answer_dropped(c, k, "it doesn't end");
	else if (why == HTTP_END_MALFORMED &&
		 k->parser.fault != HTTP_FAULT_NONE)
		log_answer_dropped(c, k, http_conn_fault(k));
	else if (why == HTTP_END_MALFORMED)
		log_answer_dropped(c, k, "it wasn't requested");
	for (i = 0; i < nidle; i++)
		if (idle[i] == k) {
			idle[i] = idle[--nidle];
			break;
		}
	if (c != NULL) {
		c->conn = NULL;
		finish(c, 0);
	}
}

static const http_conn_ops_t ops = {
	.connected = on_connected,
	.head = on_head,
	.body = on_body,
	.done = on_done,
	.end = on_end,
};

void
http_request_cancel(http_request_t *c)
{
	if (c == NULL || c->finished)
		return;
	if (c->conn != NULL) {
		c->conn->user = NULL;
		http_conn_close(c->conn);
	}
	c->fn = NULL;
	finish(c, 0);
}

static void
on_timeout(void *arg)
{
	http_request_t *c = arg;

	if (c->conn != NULL && !c->conn->connecting &&
	    c->s->loop.now < c->deadline) {
		alarm_set(&c->s->loop, &c->alarm, c->deadline);
		return;
	}
	/* A turn reads only a part of what a socket holds. */
	if (c->conn != NULL && c->s->loop.now < c->deadline + READ_REST_MS &&
	    http_conn_unread(c->conn) > 0) {
		alarm_set(&c->s->loop, &c->alarm, c->s->loop.now + 1);
		return;
	}
	if (c->conn != NULL && c->conn->in_message)
		log_answer_dropped(c, c->conn, "it isn't complete in time");
	/* The others may be as dead as this one. */
	while (c->keep_conn && nidle > 0)
		http_conn_close(idle[--nidle]);
	give_up(c);
}

static bool
to_store(const serve_t *s, const struct sockaddr_in *to)
{
	return to->sin_addr.s_addr == s->store.sin_addr.s_addr &&
	       to->sin_port == s->store.sin_port;
}

http_request_t *
http_request_send(serve_t *s, const struct sockaddr_in *to, buf_t *request,
    ms_t span, http_request_fn *fn, void *arg)
{
	http_request_t *c = calloc(1, sizeof(*c));

	if (c == NULL)
		abort();
	*c = (http_request_t){ .s = s, .fn = fn, .arg = arg };
	c->alarm = (alarm_t){ .fn = on_timeout, .arg = c };
	c->keep_conn = to_store(s, to);
	c->sent_era = s->store_era;
	if (c->keep_conn && nidle > 0) {
		c->conn = idle[--nidle];
		c->conn->user = c;
		c->conn->parse_stopped = false;
	} else {
		c->conn = http_conn_connect(&s->loop, to, &ops, c);
		if (c->conn != NULL)
			http_conn_keepalive(c->conn, KEEPALIVE_IDLE_S,
			    KEEPALIVE_INTERVAL_S, KEEPALIVE_PROBES);
	}
	/* Without a connection, the alarm calls fn, never this function. */
	c->deadline = s->loop.now + span;
	if (c->conn != NULL && c->conn->connecting)
		c->conn->send_by = c->deadline;
	if (c->conn != NULL && c->conn->connecting && span > CONNECT_TIMEOUT_MS)
		span = CONNECT_TIMEOUT_MS;
	alarm_set(&s->loop, &c->alarm, s->loop.now + (c->conn ? span : 1));
	if (c->conn != NULL) {
		buf_add(
		    &c->conn->out, request->p + request->off, buf_len(request));
		http_conn_flush(c->conn);
	}
	buf_free(request);
	return c;
}

void
http_request_check(http_request_t *c, bool (*may_send)(void *arg))
{
	c->may_send = may_send;
}

void
http_request_read_head(
    http_request_t *c, void (*fn)(void *arg, const head_t *h, int status))
{
	c->read_head = fn;
}
