#include "serve/serve.h"

#include <stdlib.h>

enum {
	/*
	 * An unreachable endpoint is detected after KEEPALIVE_IDLE_S +
	 * KEEPALIVE_PROBES * KEEPALIVE_INTERVAL_S.
	 */
	KEEPALIVE_IDLE_S = 1,
	KEEPALIVE_INTERVAL_S = 1,
	KEEPALIVE_PROBES = 2,
	IDLE_MAX_MS = 4000,	   /* whatever timeout the endpoint states */
	IDLE_UNSAFE_MAX_MS = 2000, /* for calls that may run only once */
	MIN_CONNS = 4,	      /* per endpoint, for any number of instances */
	PEER_CONNS_MAX = 128, /* to another instance */
};

static int
max_conns(const serve_t *s, const ep_t *p)
{
	const service_def_t *d = config_service(s->config, p->entry.service);
	int max = d != NULL ? d->connections : 0;

	if (p->kind == EP_PEER)
		return PEER_CONNS_MAX;
	/*
	 * A tenth is held back for instances that know of fewer instances and
	 * so take a larger share.
	 */
	max = max * 9 / 10 / peers_alive(s);
	return max > MIN_CONNS ? max : MIN_CONNS;
}

static void
conn_free(ep_conn_t *w)
{
	ep_t *p = w->ep;
	ep_conn_t **at;

	for (at = &p->idle; *at != NULL; at = &(*at)->next)
		if (*at == w) {
			*at = w->next;
			p->nidle--;
			break;
		}
	p->nconn--;
	loop_free_later(&w->s->loop, w);
}

/*
 * Uses half of the endpoint's idle timeout, so that a request isn't sent just
 * as the endpoint closes the connection.
 */
static bool
idle_too_long(const ep_conn_t *w, const call_t *c)
{
	ms_t age = w->s->loop.now - w->idle_since;
	ms_t max_age = w->idle_timeout >= 0 ? w->idle_timeout / 2 : IDLE_MAX_MS;

	if (max_age > IDLE_MAX_MS)
		max_age = IDLE_MAX_MS;
	if (!call_idempotent(c) && max_age > IDLE_UNSAFE_MAX_MS)
		max_age = IDLE_UNSAFE_MAX_MS;
	return age > max_age;
}

static void
idle_end(void *u, http_conn_t *k, http_end_t why)
{
	ep_conn_t *w = u;

	(void)k;
	if (why == HTTP_END_MALFORMED)
		log_limited(LOG_WARNING, "answer-surplus",
		    "request=- endpoint=%s", w->ep->entry.id);
	conn_free(w);
}

static void
idle_data(void *u, http_conn_t *k)
{
	pool_close(u);
	(void)k;
}

/* Data on an idle connection belongs to no call: close the connection. */
static const http_conn_ops_t idle_ops = {
	.head = idle_data,
	.end = idle_end,
};

static http_conn_t *
connect_to(serve_t *s, const ep_t *p, const http_conn_ops_t *ops, void *user)
{
	struct sockaddr_in own;

	switch (p->kind) {
	case EP_DIRECT:
		return http_conn_connect(&s->loop, &p->sa, ops, user);
	case EP_PEER:
		/* It knows us by our address. */
		if (net_addr(s->conf.caller_addr, &own) == -1)
			break;
		return http_conn_connect_from(
		    &s->loop, &own, &p->sa, ops, user);
	}
	return NULL;
}

ep_conn_t *
pool_acquire(serve_t *s, ep_t *p, call_t *c, const http_conn_ops_t *ops)
{
	ep_conn_t *w;

	while ((w = p->idle) != NULL) {
		p->idle = w->next;
		p->nidle--;
		w->next = NULL;
		if (!idle_too_long(w, c))
			break;
		http_conn_close(w->http);
		conn_free(w);
	}
	if (w != NULL) {
		w->http->ops = ops;
		w->http->parse_stopped = false;
		w->http->surplus = false;
		w->unused = false;
		w->call = c->id;
		return w;
	}
	return pool_connect(s, p, c, ops);
}

ep_conn_t *
pool_connect(serve_t *s, ep_t *p, call_t *c, const http_conn_ops_t *ops)
{
	ep_conn_t *w;

	if (p->nconn >= max_conns(s, p) && p->idle != NULL)
		pool_close(p->idle);
	if (p->nconn >= max_conns(s, p))
		return NULL;
	w = calloc(1, sizeof(*w));
	if (w == NULL)
		abort();
	*w = (ep_conn_t){ .s = s,
		.ep = p,
		.call = c->id,
		.made_at = s->loop.now,
		.started_at = p->entry.started_at,
		.idle_timeout = -1,
		.unused = true };
	w->http = connect_to(s, p, ops, w);
	if (w->http == NULL) {
		free(w);
		return NULL;
	}
	http_conn_keepalive(
	    w->http, KEEPALIVE_IDLE_S, KEEPALIVE_INTERVAL_S, KEEPALIVE_PROBES);
	p->nconn++;
	return w;
}

void
pool_release(ep_conn_t *w)
{
	ep_t *p = w->ep;

	if (!ep_usable(p)) {
		pool_close(w);
		return;
	}
	w->call = 0;
	w->idle_since = w->s->loop.now;
	w->http->ops = &idle_ops;
	w->http->parse_stopped = true;
	/* The answer's end may have come as its caller fell behind. */
	http_conn_pause(w->http, false);
	w->next = p->idle;
	p->idle = w;
	p->nidle++;
}

void
pool_close(ep_conn_t *w)
{
	http_conn_close(w->http);
	conn_free(w);
}

void
pool_remove(ep_conn_t *w)
{
	conn_free(w);
}

void
pool_close_idle(ep_t *p)
{
	while (p->idle != NULL)
		pool_close(p->idle);
}
