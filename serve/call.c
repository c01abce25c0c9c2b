#include "serve/serve.h"

#include <stdlib.h>
#include <string.h>
#include <strings.h>

enum {
	CALLS_MAX = 4000, /* in progress; each takes some KB */
	GUESS_MS = 10000, /* patience of a caller that says none */
	SLACK_MS = 30,	  /* the caller hears of its time limit itself */
};

call_t *
call_get(serve_t *s, handle_t id)
{
	call_t **c = id != 0 ? table_get(s->calls, id) : NULL;

	return c != NULL ? *c : NULL;
}

bool
call_idempotent(const call_t *c)
{
	switch (c->route.kind) {
	case ROUTE_SAFE:
		return true;
	case ROUTE_STREAM:
		return c->route.resumable;
	case ROUTE_UNSAFE:
		break;
	}
	return false;
}

/* The first route of the host whose prefix begins the path. */
static const route_t *
find_route(const config_t *c, const char *host, const char *target)
{
	size_t n = strcspn(host, ":");
	int i;

	for (i = 0; i < c->nroute; i++) {
		const route_t *r = &c->route[i];

		if (strlen(r->host) == n &&
		    strncasecmp(r->host, host, n) == 0 &&
		    strncmp(r->prefix, target, strlen(r->prefix)) == 0)
			return r;
	}
	return NULL;
}

/* The same call always goes to the same service of a split. */
static const char *
split(const route_t *r, const char *id)
{
	int i, sum = 0, at;

	for (i = 0; i < r->nto; i++)
		sum += r->to[i].weight;
	if (sum <= 0)
		return r->to[0].service;
	at = (int)(hash_str(id, 1) % (uint64_t)sum);
	for (i = 0; i < r->nto - 1; i++) {
		at -= r->to[i].weight;
		if (at < 0)
			break;
	}
	return r->to[i].service;
}

static void
alarm_due(void *arg)
{
	call_timer_fired(arg);
}

static call_t *
make(guest_t *g, const call_head_t *ask, const route_t *r)
{
	serve_t *s = g->s;
	call_t *c = calloc(1, sizeof(*c)), **at;
	ms_t patience = ask->patience >= 0 ? ask->patience : GUESS_MS;

	if (c == NULL)
		abort();
	c->s = s;
	c->id = table_add(s->calls);
	if (c->id == 0) {
		free(c);
		return NULL;
	}
	at = table_get(s->calls, c->id);
	*at = c;
	c->guest = g;
	g->call = c->id;
	c->ask = *ask;
	c->route = *r;
	str_copy(c->service, sizeof(c->service), split(r, ask->id));
	c->method = http_method_str(g->link->parser.method);
	c->body = g->body;
	memset(&g->body, 0, sizeof(g->body));
	c->came = s->loop.now;
	c->due = c->came + patience + SLACK_MS;
	if (r->timeout > 0 && c->came + r->timeout < c->due)
		c->due = c->came + r->timeout;
	c->last_event = ask->resume_at;
	c->resume_from = ask->resume_at;
	c->alarm = (alarm_t){ .fn = alarm_due, .arg = c };
	c->returned = patience_is_reduced(s, r, patience);
	return c;
}

static void
refuse(guest_t *g, const char *id, int status, const char *why, ms_t retry)
{
	char extra[256] = "";
	int n = 0;

	if (retry > 0)
		n = snprintf(extra, sizeof(extra), "Retry-After: %.3f\r\n",
		    (double)retry / 1000);
	if (g->s->leaving || !g->link->keep)
		snprintf(extra + n, sizeof(extra) - n, "Connection: close\r\n");
	log_limited(LOG_NOTICE, "refused",
	    "request=%s status=%d why=\"%s\" config=%" PRId64, id, status, why,
	    g->s->config != NULL ? g->s->config->version : -1);
	caller_answer(g, status, extra, why);
	caller_answer_done(g);
}

void
call_start(guest_t *g)
{
	serve_t *s = g->s;
	const head_t *h = &g->link->head;
	call_head_t ask;
	const route_t *r;
	call_t *c;

	call_head_decode(&ask, h);
	if (head_count(h, "Host") != 1) {
		refuse(g, ask.id, 400, "one Host is needed", 0);
		return;
	}
	if (ask.id[0] == '\0') {
		refuse(g, "-", 400, "a Request-Id is needed", 0);
		return;
	}
	if (s->config == NULL) {
		refuse(g, ask.id, 503, "no configuration is known yet", 300);
		return;
	}
	r = find_route(s->config, ask.host, head_target(h));
	if (r == NULL) {
		refuse(g, ask.id, 404, "no route", 0);
		return;
	}
	c = make(g, &ask, r);
	if (c == NULL) {
		refuse(g, ask.id, 503, "the instance is full", FULL_RETRY_MS);
		return;
	}
	demand_add_call(s, c);
	/* Those that wait come first, by their rank. */
	if (s->waiting != NULL) {
		c->state = ST_WAITING;
		call_queue_add(c);
		call_queue_wake(s);
		alarm_set(&s->loop, &c->alarm, c->due);
		return;
	}
	call_dispatch(c);
}

static void
send_to(call_t *c, const choice_t *ch)
{
	serve_t *s = c->s;
	ep_t *p = ch->ep;
	ms_t left = c->ask.patience >= 0
			? c->ask.patience - (s->loop.now - c->came)
			: -1;
	call_send_t send = { .head = &c->guest->link->head,
		.method = c->method,
		.endpoint = p->entry.id,
		.left = left,
		.rank = -1,
		.resume_at =
		    c->last_event > c->resume_from ? c->last_event : -1,
		.body = buf_len(&c->body) };
	int memory = c->ask.prompt + c->ask.output;

	if (c->ask.patience >= 0 && left > c->due - s->loop.now)
		send.left = c->due - s->loop.now;
	if (c->ask.patience >= 0 && send.left < 1)
		send.left = 1;
	if (c->ask.model[0] != '\0')
		send.rank = call_priority(c);
	call_queue_remove(c);
	c->ep = p;
	c->state = ST_CONNECTING;
	c->sent_at = c->heard_at = s->loop.now;
	c->tried[c->sends % TRIED_MAX] = p;
	if (c->sends++ > 0)
		retry_budget_spend(s, c);
	c->ran_before = c->ran;
	p->ncall++;
	breaker_sent(&p->breaker, s->loop.now);
	workload_reserve(&p->workload, &s->average_speed, &c->reservation,
	    ch->fresh, memory);
	workload_prompt_sent(&p->workload, &s->average_speed, &s->bounds,
	    ch->fresh, s->loop.now);
	p->sent_tokens += (uint32_t)ch->fresh;
	peers_load_changed(s, p);
	prefix_record(p, c, s->loop.now);
	c->wire->link->no_body = strcmp(c->method, "HEAD") == 0;
	call_send_head(&c->wire->link->out, &send);
	if (send.body > 0)
		buf_add(
		    &c->wire->link->out, c->body.p + c->body.off, send.body);
	log_limited(LOG_INFO, "sent",
	    "request=%s route=%s endpoint=%s send=%d fresh=%d first_ms=%.0f "
	    "left_ms=%" PRId64 " entry_age_ms=%" PRId64
	    " kept=%d config=%" PRId64,
	    c->ask.id, c->route.name, p->entry.id, c->sends, ch->fresh,
	    c->reservation.predicted_ms, send.left,
	    s->loop.now - p->entry_read_at, !c->wire->unused,
	    s->config->version);
	if (!c->wire->unused) {
		c->state = ST_SENT;
		c->ran = true;
		link_flush(c->wire->link);
	}
	call_set_timer(c);
}

void
call_dispatch(call_t *c)
{
	serve_t *s = c->s;
	choice_t ch = { 0 };

	for (;;) {
		choose_endpoint(c, &ch);
		if (ch.kind != CHOICE_SEND)
			break;
		c->wire = pool_acquire(s, ch.ep, c, &answer_ops);
		if (c->wire != NULL) {
			send_to(c, &ch);
			return;
		}
		c->full[c->nfull++ % TRIED_MAX] = ch.ep;
	}
	c->nfull = 0;
	switch (ch.kind) {
	case CHOICE_SEND:
		break;
	case CHOICE_WAIT:
		c->state = ST_WAITING;
		c->wait_why = ch.why;
		call_queue_add(c);
		alarm_set(&s->loop, &c->alarm, c->due);
		return;
	case CHOICE_REFUSE:
	case CHOICE_NONE:
		call_queue_remove(c);
		call_give_up(c, ch.why, ch.retry);
		return;
	}
}

void
call_give_up(call_t *c, const char *why, ms_t retry)
{
	if (c->ran)
		call_answer_error(c, 502, why, 0);
	else
		call_answer_error(
		    c, 503, why, retry > 0 ? retry : FULL_RETRY_MS);
}

void
call_end_attempt(call_t *c, bool keep)
{
	ep_conn_t *w = c->wire;

	if (c->ep != NULL) {
		workload_release(&c->ep->workload, &c->reservation);
		c->ep->ncall--;
		peers_load_changed(c->s, c->ep);
	}
	c->ep = NULL;
	c->wire = NULL;
	if (w == NULL)
		return;
	if (keep)
		pool_release(w);
	else
		pool_close(w);
}

void
call_finish(call_t *c, const char *outcome)
{
	serve_t *s = c->s;
	guest_t *g = c->guest;

	log_limited(LOG_INFO, "done",
	    "request=%s route=%s model=%s/%s outcome=%s status=%d sends=%d "
	    "first_ms=%" PRId64 " whole_ms=%" PRId64 " events=%d",
	    c->ask.id, c->route.name, c->ask.model, c->ask.adapter, outcome,
	    c->status, c->sends, c->first_at != 0 ? c->first_at - c->came : -1,
	    s->loop.now - c->came, c->events);
	count_outcome(c, outcome);
	call_end_attempt(c, false);
	call_queue_remove(c);
	alarm_stop(&s->loop, &c->alarm);
	table_del(s->calls, c->id);
	buf_free(&c->body);
	buf_free(&c->answer);
	buf_free(&c->text);
	loop_bury(&s->loop, c);
	if (g != NULL)
		caller_answer_done(g);
}

void
call_answer_error(call_t *c, int status, const char *why, ms_t retry)
{
	guest_t *g = c->guest;
	char extra[256];
	int n = 0;

	if (c->passing) {
		/* Part of it went out: only a broken channel says so. */
		call_abort_answer(c, why);
		return;
	}
	extra[0] = '\0';
	if (retry > 0)
		n = snprintf(extra, sizeof(extra), "Retry-After: %.3f\r\n",
		    (double)retry / 1000);
	if (g->s->leaving || !g->link->keep)
		snprintf(extra + n, sizeof(extra) - n, "Connection: close\r\n");
	c->status = status;
	log_limited(LOG_NOTICE, "answered",
	    "request=%s status=%d why=\"%s\" retry_ms=%" PRId64
	    " sends=%d ran=%d after_ms=%" PRId64 " endpoint=%s",
	    c->ask.id, status, why, retry, c->sends, c->ran,
	    c->s->loop.now - c->came, c->ep ? c->ep->entry.id : "-");
	call_end_attempt(c, false);
	caller_answer(g, status, extra, why);
	call_finish(c, status == 503 ? "refused" : "failed");
}

void
call_abort_answer(call_t *c, const char *why)
{
	guest_t *g = c->guest;

	log_limited(LOG_NOTICE, "cut",
	    "request=%s why=\"%s\" events=%d after_ms=%" PRId64, c->ask.id, why,
	    c->events, c->s->loop.now - c->came);
	/* Without its last chunk an answer doesn't look whole. */
	g->link->closing = true;
	call_finish(c, "cut");
}

void
call_caller_gone(call_t *c)
{
	c->guest = NULL;
	call_finish(c, "caller-left");
}
