#include "serve/limits.h"
#include "serve/spread.h"

#include <stdlib.h>

enum {
	SENDS = 3, /* of each change, as datagrams are lost */
	SEND_INTERVAL_MS = 60,
	LIMITS_PER_DATAGRAM = 64,
	/* The holder repeats limits later by a second for so many instances. */
	REPEAT_PEERS = 64,
};

struct ep_permits {
	permits_t own;
	permit_giver_t giver; /* used while this instance is the holder */
};

struct limits_feed {
	alarm_t send_alarm;
	int ticks; /* seconds */
};

static struct ep_permits *
permits_of(ep_t *p)
{
	if (p->permits == NULL)
		p->permits = g_new0(struct ep_permits, 1);
	return p->permits;
}

void
limits_forget(ep_t *p)
{
	g_free(p->permits);
	p->permits = NULL;
	p->limit = (call_limit_t){ 0 };
	p->limit_sends = 0;
}

/* Messages. */

static void
add_limit(const serve_t *s, Digest__CallLimit *to, const ep_t *p)
{
	digest__call_limit__init(to);
	to->endpoint = p->tag;
	to->started_at = p->entry.started_at;
	to->rate = p->limit.active ? p->limit.rate : 0;
	to->ago = (uint32_t)(s->loop.now - p->limit.at);
}

/* Send a message that has one limit and what @p m has beside it. */
static void
send_with_limit(serve_t *s, Digest__CallLimits *m, const ep_t *p,
    const struct sockaddr_in *to)
{
	Digest__Digest d = DIGEST__DIGEST__INIT;
	Digest__CallLimit limit, *list = &limit;

	if (p->limit.at != 0) {
		add_limit(s, &limit, p);
		m->limit = &list;
		m->n_limit = 1;
	}
	d.limits = m;
	spread_to(s, &d, to);
}

/* Sends the limits that changed lately. */
static void
on_send_alarm(void *arg)
{
	serve_t *s = arg;
	Digest__Digest d = DIGEST__DIGEST__INIT;
	Digest__CallLimits m = DIGEST__CALL_LIMITS__INIT;
	Digest__CallLimit limit[LIMITS_PER_DATAGRAM];
	Digest__CallLimit *list[LIMITS_PER_DATAGRAM];
	bool more = false;
	int i;

	for (i = 0; i < s->endpoints.nep; i++) {
		ep_t *p = s->endpoints.ep[i];

		if (p->limit_sends > 0 && m.n_limit < LIMITS_PER_DATAGRAM) {
			p->limit_sends--;
			add_limit(s, &limit[m.n_limit], p);
			list[m.n_limit] = &limit[m.n_limit];
			m.n_limit++;
		}
		more |= p->limit_sends > 0;
	}
	m.limit = list;
	d.limits = &m;
	if (m.n_limit > 0)
		spread(s, &d, &m.pass_on);
	if (more)
		alarm_set(&s->loop, &s->limits->send_alarm,
		    s->loop.now + SEND_INTERVAL_MS);
}

/* Limits. */

static void
log_change(const serve_t *s, const ep_t *p, const char *request)
{
	log_limited(LOG_NOTICE, "endpoint-limit",
	    "endpoint=%s request=%s kind=%s rate=%g ago_ms=%" PRId64,
	    p->entry.id, request, p->limit.active ? "rate" : "none",
	    p->limit.rate, s->loop.now - p->limit.at);
}

void
limits_observe(call_t *c, const named_limit_t *l)
{
	serve_t *s = c->s;
	ep_t *p = c->ep;
	bool changed = false;

	switch (l->kind) {
	case NAMED_LIMIT_RATE:
		changed = call_limit_named(
		    &p->limit, l->rate, c->sent_at, s->loop.now);
		break;
	case NAMED_LIMIT_NONE:
		/* An answer that isn't the endpoint's own says nothing. */
		changed = c->response.authentic &&
			  call_limit_absent(&p->limit, c->sent_at, s->loop.now);
		break;
	case NAMED_LIMIT_MALFORMED:
		log_limited(LOG_WARNING, "endpoint-limit",
		    "endpoint=%s request=%s kind=malformed", p->entry.id,
		    c->request.id);
		break;
	}
	if (!changed)
		return;
	log_change(s, p, c->request.id);
	p->limit_sends = SENDS;
	alarm_set(&s->loop, &s->limits->send_alarm, s->loop.now);
	call_queue_wake(s);
}

void
limits_tick(serve_t *s)
{
	bool any = false;
	int i;

	if (s->limits->ticks++ % (1 + s->peers.npeer / REPEAT_PEERS) != 0 ||
	    !plan_holder_valid(s))
		return;
	/* Instances that have just started learn them from the holder. */
	for (i = 0; i < s->endpoints.nep; i++) {
		ep_t *p = s->endpoints.ep[i];

		if (!p->limit.active || !ep_usable(p) || p->limit_sends > 0)
			continue;
		p->limit_sends = 1;
		any = true;
	}
	if (any)
		alarm_set(&s->loop, &s->limits->send_alarm, s->loop.now);
}

/* Permits. */

bool
limits_allow(const serve_t *s, ep_t *p)
{
	return !p->limit.active ||
	       permits_available(&permits_of(p)->own, s->loop.now);
}

void
limits_spend(ep_t *p)
{
	if (p->limit.active)
		permits_spend(&permits_of(p)->own);
}

static void
take_answer(serve_t *s, ep_t *p, const permit_answer_t *a)
{
	permits_answered(&permits_of(p)->own, a, s->loop.now);
	call_queue_wake(s);
}

static void
ask_holder(serve_t *s, ep_t *p, int want)
{
	const peer_t *holder = live_holder(s);
	Digest__CallLimits m = DIGEST__CALL_LIMITS__INIT;
	Digest__PermitRequest request = DIGEST__PERMIT_REQUEST__INIT;
	Digest__PermitRequest *list = &request;
	permit_answer_t a;

	if (plan_holder_valid(s)) {
		a = permit_give(&permits_of(p)->giver, &p->limit, s->peers.hash,
		    want, s->loop.now);
		take_answer(s, p, &a);
		return;
	}
	if (holder == NULL)
		return;
	request.endpoint = p->tag;
	request.permits = (uint32_t)want;
	m.request = &list;
	m.n_request = 1;
	send_with_limit(s, &m, p, &holder->sa);
}

void
limits_want(const call_t *c, ep_t *p)
{
	serve_t *s = c->s;
	permit_sharers_t sharers = { .instances = s->peers.npeer + 1,
		.phase = (double)(hash64(&s->peers.hash, 8, p->hash) % 1000) /
			 1000 };

	if (permits_want(&permits_of(p)->own, &p->limit, &sharers, s->loop.now))
		ask_holder(s, p, 1 + call_queue_calls_ahead(c));
}

ms_t
limits_wait_ms(const call_t *c, const ep_t *p)
{
	ms_t wait = p->permits == NULL
			? 0
			: permits_wait_ms(&p->permits->own,
			      call_queue_calls_ahead(c), c->s->loop.now);

	return wait > 0 ? wait : 1;
}

/* What other instances send. */

static void
receive_limit(serve_t *s, const Digest__CallLimit *m)
{
	ep_t *p = ep_find_tag(&s->endpoints, m->endpoint);
	call_limit_t l = { m->rate > 0, m->rate, s->loop.now - (ms_t)m->ago };

	/* NaN isn't above 0. */
	if (p == NULL || m->started_at != p->entry.started_at ||
	    !call_limit_adopt(&p->limit, &l))
		return;
	log_change(s, p, "-");
	call_queue_wake(s);
}

static void
receive_request(
    serve_t *s, const Digest__PermitRequest *m, const struct sockaddr_in *from)
{
	ep_t *p = ep_find_tag(&s->endpoints, m->endpoint);
	const peer_t *peer = peer_at(s, from);
	Digest__CallLimits answer = DIGEST__CALL_LIMITS__INIT;
	Digest__PermitGrant grant = DIGEST__PERMIT_GRANT__INIT;
	Digest__PermitGrant *list = &grant;
	permit_answer_t a;

	if (p == NULL || peer == NULL || !plan_holder_valid(s))
		return;
	if (p->limit.active) {
		a = permit_give(&permits_of(p)->giver, &p->limit, peer->hash,
		    m->permits < PERMITS_MAX ? (int)m->permits : PERMITS_MAX,
		    s->loop.now);
		grant.endpoint = p->tag;
		grant.permits = (uint32_t)a.permits;
		grant.next_in = (uint32_t)a.next_ms;
		grant.turn = (uint32_t)a.turn_ms;
		grant.share = (uint32_t)a.share_ms;
		answer.grant = &list;
		answer.n_grant = 1;
	}
	/* It may not know that the limit has ended or changed. */
	send_with_limit(s, &answer, p, from);
}

static void
receive_grant(serve_t *s, const Digest__PermitGrant *m)
{
	ep_t *p = ep_find_tag(&s->endpoints, m->endpoint);
	permit_answer_t a = { (int)(m->permits < PERMITS_MAX ? m->permits
							     : PERMITS_MAX),
		(ms_t)m->next_in, (ms_t)m->turn, (ms_t)m->share };

	if (p != NULL && p->limit.active)
		take_answer(s, p, &a);
}

void
limits_receive(
    serve_t *s, Digest__CallLimits *m, const struct sockaddr_in *from)
{
	Digest__Digest copy = DIGEST__DIGEST__INIT;
	size_t i;

	if (peer_at(s, from) == NULL)
		return;
	copy.limits = m;
	spread_on(s, &copy, &m->pass_on);
	for (i = 0; i < m->n_limit; i++)
		receive_limit(s, m->limit[i]);
	for (i = 0; i < m->n_request; i++)
		receive_request(s, m->request[i], from);
	for (i = 0; i < m->n_grant; i++)
		receive_grant(s, m->grant[i]);
}

void
limits_init(serve_t *s)
{
	s->limits = g_new0(struct limits_feed, 1);
	s->limits->send_alarm = (alarm_t){ .fn = on_send_alarm, .arg = s };
}
