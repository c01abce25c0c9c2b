#define _GNU_SOURCE /* accept4() */
#include "serve/explain.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

enum {
	METRICS_PORT = 9464, /* as in deploy/system.toml */
	ADDRESSES_MAX = 64,  /* in one answer */
	IDLE_TIMEOUT_MS = 10000,
	HEAD_MAX = 8192,	/* bytes */
	LIST_TTL_MAX_MS = 1000, /* some callers keep a list for 3 TTLs */
	SAME_DOMAIN_MIN = 2,	/* enough instances for a domain's callers */
};

/** Pages below it explain a call to the rest of the path. */
static const char explain_path[] = "/explain";

typedef struct page_conn {
	serve_t *s;
	bool operators; /* of the address that operators use */
	http_conn_t *http;
	alarm_t idle_alarm;
} page_conn_t;

typedef struct page_listener {
	serve_t *s;
	bool operators;
	watch_t watch;
} page_listener_t;

static void
conn_free(page_conn_t *v)
{
	alarm_stop(&v->s->loop, &v->idle_alarm);
	loop_free_later(&v->s->loop, v);
}

static void
reply(page_conn_t *v, int status, const char *type, const buf_t *body)
{
	buf_fmt(&v->http->out,
	    "HTTP/1.1 %d %s\r\nContent-Type: %s\r\nContent-Length: %zu\r\n"
	    "%s\r\n",
	    status, http_reason(status), type, buf_len(body),
	    v->http->keep_alive ? "" : "Connection: close\r\n");
	buf_add(&v->http->out, body->p, body->len);
	http_conn_flush(v->http);
}

static bool
is_listed(const serve_t *s, const peer_t *p)
{
	return p->ready && !p->leaving && peer_alive(s, p) &&
	       p->caller_addr[0] != '\0';
}

/* Lists the instances in the caller's domain if there are enough, else all. */
static int
list_addresses(serve_t *s, const char *domain, char (*to)[ADDR_MAX])
{
	int same_domain = 0, n = 0, i;
	bool self = s->ready && !s->leaving, all;

	for (i = 0; i < s->peers.npeer; i++)
		same_domain += is_listed(s, s->peers.peer[i]) &&
			       strcmp(s->peers.peer[i]->domain, domain) == 0;
	same_domain += self && strcmp(s->conf.domain, domain) == 0;
	all = same_domain < SAME_DOMAIN_MIN;
	if (self && (all || strcmp(s->conf.domain, domain) == 0))
		str_set(to[n++], ADDR_MAX, s->conf.caller_addr);
	for (i = 0; i < s->peers.npeer && n < ADDRESSES_MAX; i++) {
		const peer_t *p = s->peers.peer[i];

		if (is_listed(s, p) && (all || strcmp(p->domain, domain) == 0))
			str_set(to[n++], ADDR_MAX, p->caller_addr);
	}
	return n;
}

static void
answer_entries(page_conn_t *v)
{
	char domain[ID_MAX], list[ADDRESSES_MAX][ADDR_MAX];
	serve_t *s = v->s;
	ms_t ttl_max = s->conf.bounds.address_ttl_max;
	buf_t b = { 0 };
	int n;

	page_requester_domain(
	    head_target(&v->http->head), domain, sizeof(domain));
	n = list_addresses(s, domain, list);
	if (n == 0) {
		buf_str(&b, "{\"error\":\"no instance is ready\"}");
		reply(v, 503, "application/json", &b);
		buf_free(&b);
		return;
	}
	entries_encode(&b, (const char(*)[ADDR_MAX])list, n,
	    ttl_max < LIST_TTL_MAX_MS ? ttl_max : LIST_TTL_MAX_MS);
	reply(v, 200, "application/json", &b);
	buf_free(&b);
}

static void
answer_metrics(page_conn_t *v)
{
	serve_t *s = v->s;
	char *text;
	buf_t b = { 0 };

	update_gauges(s);
	text = counters_text();
	buf_str(&b, text);
	free(text);
	histogram_text(
	    &b, "ebonypitch_first_ms", "Until the first event.", &s->first_ms);
	histogram_text(
	    &b, "ebonypitch_whole_ms", "Until a call ended.", &s->whole_ms);
	histogram_text(&b, "ebonypitch_pause_ms",
	    "Longest pause of a stream between two events.", &s->pause_ms);
	reply(v, 200, "text/plain", &b);
	buf_free(&b);
}

static bool
is_explain(const page_conn_t *v, const char *target)
{
	size_t n = strlen(explain_path);

	return v->operators && strncmp(target, explain_path, n) == 0 &&
	       target[n] == '/';
}

static void
answer_explain(page_conn_t *v, const char *target)
{
	buf_t b = { 0 };

	explain_request(
	    v->s, &v->http->head, target + strlen(explain_path), &b);
	reply(v, 200, "application/json", &b);
	buf_free(&b);
}

static void
on_done(void *u, http_conn_t *k)
{
	page_conn_t *v = u;
	const char *target = head_target(&k->head);
	buf_t b = { 0 };

	alarm_set(
	    &v->s->loop, &v->idle_alarm, v->s->loop.now + IDLE_TIMEOUT_MS);
	switch (page_find(target)) {
	case PAGE_READY:
		buf_str(&b, v->s->ready && !v->s->leaving
				? "{\"ready\":true}"
				: "{\"ready\":false}");
		reply(v, v->s->ready && !v->s->leaving ? 200 : 503,
		    "application/json", &b);
		break;
	case PAGE_ENTRIES:
		answer_entries(v);
		break;
	case PAGE_NONE:
		if (strcmp(target, "/metrics") == 0) {
			answer_metrics(v);
			break;
		}
		if (is_explain(v, target)) {
			answer_explain(v, target);
			break;
		}
		buf_str(&b, "{\"error\":\"no such page\"}");
		reply(v, 404, "application/json", &b);
		break;
	}
	buf_free(&b);
	if (k->keep_alive) {
		http_conn_next(k);
		return;
	}
	http_conn_finish(k);
	conn_free(v);
}

static void
ignore_head(void *u, http_conn_t *k)
{
	(void)u, (void)k;
}

static void
ignore_body(void *u, http_conn_t *k, const char *p, size_t n)
{
	(void)u, (void)k, (void)p, (void)n;
}

static void
on_bad(void *u, http_conn_t *k, int status)
{
	page_conn_t *v = u;
	buf_t b = { 0 };

	buf_str(&b, "{\"error\":\"malformed\"}");
	k->keep_alive = false;
	reply(v, status, "application/json", &b);
	buf_free(&b);
	http_conn_finish(k);
	conn_free(v);
}

static void
on_end(void *u, http_conn_t *k, http_end_t why)
{
	(void)k, (void)why;
	conn_free(u);
}

static const http_conn_ops_t ops = {
	.head = ignore_head,
	.body = ignore_body,
	.done = on_done,
	.bad = on_bad,
	.end = on_end,
};

static void
on_idle_alarm(void *arg)
{
	page_conn_t *v = arg;

	http_conn_finish(v->http);
	conn_free(v);
}

static void
accept_conns(void *arg, uint32_t ev)
{
	page_listener_t *st = arg;
	serve_t *s = st->s;
	page_conn_t *v;
	int fd;

	(void)ev;
	while ((fd = accept4(st->watch.fd, NULL, NULL,
		    SOCK_NONBLOCK | SOCK_CLOEXEC)) != -1) {
		v = calloc(1, sizeof(*v));
		if (v == NULL)
			abort();
		v->s = s;
		v->operators = st->operators;
		v->http = http_conn_accept(&s->loop, fd, &ops, v);
		v->http->parser.section_max = v->http->body_max = HEAD_MAX;
		v->idle_alarm = (alarm_t){ .fn = on_idle_alarm, .arg = v };
		alarm_set(
		    &s->loop, &v->idle_alarm, s->loop.now + IDLE_TIMEOUT_MS);
	}
	if (errno != EAGAIN && errno != EINTR)
		log_limited(
		    LOG_WARNING, "accept", "why=\"%s\"", strerror(errno));
}

static int
page_listen(serve_t *s, const char *addr, bool operators, err_t *e)
{
	page_listener_t *st = calloc(1, sizeof(*st));

	if (st == NULL)
		abort();
	st->s = s;
	st->operators = operators;
	st->watch = (watch_t){ net_listen(addr, e), 0, accept_conns, st };
	if (st->watch.fd == -1) {
		free(st);
		return -1;
	}
	return watch_add(&s->loop, &st->watch, EPOLLIN);
}

int
pages_open(serve_t *s, err_t *e)
{
	char addr[ADDR_MAX + 8];

	snprintf(addr, sizeof(addr), "%s:%d", s->conf.ip, METRICS_PORT);
	if (page_listen(s, s->conf.ready_addr, false, e) == -1 ||
	    page_listen(s, s->conf.entries_addr, false, e) == -1)
		return -1;
	return page_listen(s, addr, true, e);
}
