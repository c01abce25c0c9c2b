/* Digests that this instance sends to its peers. */
#include "serve/keepers.h"
#include "serve/prompt_cost.h"
#include "serve/reach.h"
#include "serve/shares.h"

#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

enum {
	DEMAND_WAITING_MS = 500, /* waiting calls renew their demand sooner */
	SHARE_INTERVAL_PER_PEER_MS = 3, /* times the number of peers */
	SHARE_INTERVAL_MIN_MS = 15,
	LEAVING_ANNOUNCE_MS = 4000, /* a leaving endpoint is named so long */
	ORDER_ANNOUNCE_MS = 3000,   /* by then entries show the order */
	FULL_SUM_EVERY = 8,	    /* digests; the others name only changes */
	DEMAND_INTERVAL_MS = 15,    /* an order takes as long */
};

static size_t
pack_digest(serve_t *s, Digest__Digest *d, uint8_t *to)
{
	const reach_tags_t *tags = reach_tags(s);

	d->sender = s->peers.hash;
	d->incarnation = s->peers.incarnation;
	d->sequence = ++s->peers.sequence;
	d->ready = s->ready;
	d->leaving = s->leaving;
	d->holder = plan_holder_valid(s);
	d->store_lost = store_lost(s);
	d->domain_heartbeat_ms = (uint32_t)domain_heartbeat_ms(s);
	d->keeps = d->gives = true;
	d->several_versions = streams_several_versions(s);
	d->store_era = s->store_era;
	d->first_era = plan_first_era(s);
	d->lease_revision = plan_lease_revision(s);
	d->unreached_service = (uint32_t *)(void *)tags->service->data;
	d->n_unreached_service = tags->service->len;
	d->unreached_endpoint = (uint32_t *)(void *)tags->endpoint->data;
	d->n_unreached_endpoint = tags->endpoint->len;
	d->queued_tokens = (uint32_t)call_queue_prompt_tokens(s, NULL);
	d->config_revision = s->config_watch.changed_revision;
	d->endpoint_revision = s->endpoints_watch.changed_revision;
	if (digest__digest__get_packed_size(d) > DATAGRAM_MAX) {
		log_limited(LOG_WARNING, "digest-cut", "shares=%zu demands=%zu",
		    d->n_endpoint, d->n_demand);
		d->n_demand = 0;
	}
	if (digest__digest__get_packed_size(d) > DATAGRAM_MAX)
		d->n_endpoint = d->n_prefill_tokens = d->n_running =
		    d->n_kv_units = d->n_sent_tokens = 0;
	return digest__digest__pack(d, to);
}

void
send_datagram(
    serve_t *s, const struct sockaddr_in *to, const uint8_t *p, size_t n)
{
	/* Errors are ignored: the next datagram makes up for a lost one. */
	sendto(s->peers.watch.fd, p, n, MSG_DONTWAIT | MSG_NOSIGNAL,
	    (const struct sockaddr *)to, sizeof(*to));
}

void
send_within_domain(serve_t *s, const uint8_t *bytes, size_t n)
{
	int i;

	for (i = 0; i < s->peers.npeer; i++)
		if (peer_same_domain(s, s->peers.peer[i]))
			send_datagram(s, &s->peers.peer[i]->sa, bytes, n);
}

static void
send_to_other_domains(serve_t *s, const uint8_t *bytes, size_t n)
{
	int i;

	for (i = 0; i < s->peers.npeer; i++)
		if (!peer_same_domain(s, s->peers.peer[i]))
			send_datagram(s, &s->peers.peer[i]->sa, bytes, n);
}

/* In a large deployment other domains get sums instead of shares. */
static void
send_to_all(serve_t *s, Digest__Digest *d, bool same_domain_only)
{
	static uint8_t bytes[DATAGRAM_MAX];
	bool use_sums = s->peers.npeer >= DOMAIN_RELAY_MIN_PEERS;
	size_t n = pack_digest(s, d, bytes);

	send_within_domain(s, bytes, n);
	if (use_sums && same_domain_only)
		return;
	if (use_sums) {
		d->n_endpoint = d->n_prefill_tokens = d->n_running =
		    d->n_kv_units = d->n_sent_tokens = 0;
		n = pack_digest(s, d, bytes);
	}
	send_to_other_domains(s, bytes, n);
}

/* A digest under construction; each array holds one of its repeated fields. */
typedef struct digest_builder {
	Digest__Digest d;
	Digest__Identity identity;
	GArray *endpoint, *prefill_tokens, *running, *kv_units, *sent_tokens,
	    *leaving_endpoint, *leaving_revision, *said_leaving,
	    *said_leaving_started, *said_leaving_connected;
	GPtrArray *demand, *accepted_order;
	uint64_t stored[SOFTWARE_MAX];
} digest_builder_t;

static void
builder_init(digest_builder_t *c)
{
	GArray **list[] = { &c->endpoint, &c->prefill_tokens, &c->running,
		&c->kv_units, &c->sent_tokens };
	size_t i;

	digest__digest__init(&c->d);
	for (i = 0; i < sizeof(list) / sizeof(list[0]); i++)
		*list[i] = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	c->leaving_endpoint = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	c->leaving_revision = g_array_new(FALSE, FALSE, sizeof(int64_t));
	c->said_leaving = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	c->said_leaving_started = g_array_new(FALSE, FALSE, sizeof(int64_t));
	c->said_leaving_connected = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	c->demand = g_ptr_array_new_with_free_func(g_free);
	c->accepted_order = g_ptr_array_new_with_free_func(g_free);
}

static void
builder_finish(digest_builder_t *c)
{
	Digest__Digest *d = &c->d;

	d->n_endpoint = d->n_prefill_tokens = d->n_running = d->n_kv_units =
	    d->n_sent_tokens = c->endpoint->len;
	d->endpoint = (uint32_t *)(void *)c->endpoint->data;
	d->prefill_tokens = (uint32_t *)(void *)c->prefill_tokens->data;
	d->running = (uint32_t *)(void *)c->running->data;
	d->kv_units = (uint32_t *)(void *)c->kv_units->data;
	d->sent_tokens = (uint32_t *)(void *)c->sent_tokens->data;
	d->n_leaving_endpoint = d->n_leaving_revision =
	    c->leaving_endpoint->len;
	d->leaving_endpoint = (uint32_t *)(void *)c->leaving_endpoint->data;
	d->leaving_revision = (int64_t *)(void *)c->leaving_revision->data;
	d->n_said_leaving = d->n_said_leaving_started =
	    d->n_said_leaving_connected = c->said_leaving->len;
	d->said_leaving_connected =
	    (uint32_t *)(void *)c->said_leaving_connected->data;
	d->said_leaving = (uint32_t *)(void *)c->said_leaving->data;
	d->said_leaving_started =
	    (int64_t *)(void *)c->said_leaving_started->data;
	d->n_demand = c->demand->len;
	d->demand = (Digest__Demand **)c->demand->pdata;
	d->n_accepted_order = c->accepted_order->len;
	d->accepted_order = (Digest__AcceptedOrder **)c->accepted_order->pdata;
}

static void
builder_free(digest_builder_t *c)
{
	GArray *list[] = { c->endpoint, c->prefill_tokens, c->running,
		c->kv_units, c->sent_tokens, c->leaving_endpoint,
		c->leaving_revision, c->said_leaving, c->said_leaving_started,
		c->said_leaving_connected };
	size_t i;

	for (i = 0; i < sizeof(list) / sizeof(list[0]); i++)
		g_array_free(list[i], TRUE);
	g_ptr_array_free(c->demand, TRUE);
	g_ptr_array_free(c->accepted_order, TRUE);
}

static void
add_identity(serve_t *s, digest_builder_t *c)
{
	digest__identity__init(&c->identity);
	c->identity.instance = s->conf.instance;
	c->identity.ip = s->conf.ip;
	c->identity.domain = s->conf.domain;
	c->identity.caller_addr = s->conf.caller_addr;
	c->identity.cpu_millis = (uint32_t)own_cpu_share(s);
	c->d.identity = &c->identity;
}

/** Which shares a digest includes. */
typedef enum share_filter {
	SHARES_ALL,
	SHARES_CHANGED,	       /* since the last digest */
	SHARES_CHANGED_REMOTE, /* since the last one to other domains */
} share_filter_t;

static bool
includes_share(const ep_t *p, share_filter_t which)
{
	switch (which) {
	case SHARES_ALL:
		return p->workload.own.running > 0 || p->sent_tokens > 0;
	case SHARES_CHANGED:
		return p->changed;
	case SHARES_CHANGED_REMOTE:
		return p->changed_remote;
	}
	return false;
}

static void
add_share(digest_builder_t *c, uint32_t tag, const workload_share_t *o,
    uint32_t sent_tokens)
{
	uint32_t v[] = { tag, (uint32_t)o->prefill_tokens, (uint32_t)o->running,
		(uint32_t)(o->kv_tokens + KV_UNIT_TOKENS - 1) / KV_UNIT_TOKENS,
		sent_tokens };

	g_array_append_val(c->endpoint, v[0]);
	g_array_append_val(c->prefill_tokens, v[1]);
	g_array_append_val(c->running, v[2]);
	g_array_append_val(c->kv_units, v[3]);
	g_array_append_val(c->sent_tokens, v[4]);
}

static void
add_shares(serve_t *s, digest_builder_t *c, share_filter_t which)
{
	int i;

	for (i = 0; i < s->endpoints.nep; i++) {
		ep_t *p = s->endpoints.ep[i];

		if (!includes_share(p, which))
			continue;
		p->changed = false;
		if (which != SHARES_CHANGED)
			p->changed_remote = false;
		add_share(c, p->tag, &p->workload.own, p->sent_tokens);
	}
}

static void
add_said_leaving(digest_builder_t *c, const ep_t *p)
{
	const leaving_statement_t *said = &p->leaving.said;
	uint32_t ago = (uint32_t)(clock_wall() - said->connected_at);

	g_array_append_val(c->said_leaving, p->tag);
	g_array_append_val(c->said_leaving_started, said->started_at);
	g_array_append_val(c->said_leaving_connected, ago);
}

/*
 * Adds the endpoints that the store recently showed as leaving or gone, and
 * those that recently said so in an answer.
 */
static void
add_leaving(serve_t *s, digest_builder_t *c)
{
	int i;

	for (i = 0; i < s->endpoints.nep; i++) {
		const ep_t *p = s->endpoints.ep[i];

		if (p->said_leaving_here &&
		    is_recent(
			p->leaving.said_at, s->loop.now, LEAVING_ANNOUNCE_MS))
			add_said_leaving(c, p);
		if (p->leaving_since == 0 ||
		    s->loop.now - p->leaving_since > LEAVING_ANNOUNCE_MS)
			continue;
		g_array_append_val(c->leaving_endpoint, p->tag);
		g_array_append_val(c->leaving_revision, p->revision);
	}
}

/* Goes with what leaves: who reads it has missed nothing up to there. */
static void
add_claim(serve_t *s, digest_builder_t *c)
{
	coverage_claim_t claim;

	if (!store_watch_claim(s, &claim))
		return;
	c->d.watched_from = claim.from;
	c->d.watched_upto = claim.upto;
	c->d.watched_ago = (uint32_t)claim.ago;
}

static void
add_demand(serve_t *s, digest_builder_t *c, bool only_waiting)
{
	GHashTableIter it;
	gpointer v;

	g_hash_table_iter_init(&it, s->demand);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		demand_t *d = v;
		double work = demand_rate(s, d);
		bool unserved =
		    is_recent(d->unserved_at, s->loop.now, DEMAND_WAITING_MS);
		bool all_tried =
		    is_recent(d->all_tried_at, s->loop.now, DEMAND_WAITING_MS);
		Digest__Demand *m;

		if (only_waiting ? !unserved && !all_tried
				 : work < 1 && !unserved)
			continue;
		m = g_new(Digest__Demand, 1);
		digest__demand__init(m);
		m->service = d->service;
		m->model = d->model;
		m->adapter = d->adapter;
		m->work = (uint32_t)work;
		m->unserved = unserved;
		m->all_tried = all_tried;
		g_ptr_array_add(c->demand, m);
	}
}

/* Adds accepted orders: all recent ones, or only those not announced before. */
static void
add_orders(serve_t *s, digest_builder_t *c, bool only_new)
{
	peers_t *ps = &s->peers;
	int i, kept = 0;

	for (i = 0; i < ps->nannounced_orders; i++) {
		announced_order_t *t = &ps->announced_orders[i];
		Digest__AcceptedOrder *m;

		if (s->loop.now - t->accepted_at > ORDER_ANNOUNCE_MS)
			continue;
		ps->announced_orders[kept] = *t;
		t = &ps->announced_orders[kept++];
		if (only_new && t->announced)
			continue;
		t->announced = true;
		m = g_new(Digest__AcceptedOrder, 1);
		digest__accepted_order__init(m);
		m->endpoint = t->endpoint_tag;
		m->order_count = (uint64_t)t->order.order_count;
		m->model = t->order.model;
		m->adapter = t->order.adapter;
		m->load = t->order.load;
		m->done_in_ms =
		    t->order.effective_at > s->loop.now
			? (uint32_t)(t->order.effective_at - s->loop.now)
			: 0;
		g_ptr_array_add(c->accepted_order, m);
	}
	ps->nannounced_orders = kept;
}

static void
add_stored_software(const serve_t *s, digest_builder_t *c)
{
	const software_t *v = &s->software;
	int i;

	for (i = 0; i < v->nseen; i++)
		if (v->seen[i].stored)
			c->stored[c->d.n_stored_software++] =
			    v->seen[i].version;
	c->d.stored_software = c->stored;
}

/** Kind of a digest. */
typedef enum digest_kind {
	DIGEST_SHARES,		 /* changed shares */
	DIGEST_HEARTBEAT,	 /* heartbeat, with changed shares */
	DIGEST_DOMAIN_HEARTBEAT, /* the same, within our domain */
	DIGEST_FULL,		 /* full state, with our name and addresses */
	DIGEST_GOODBYE,
} digest_kind_t;

static void
send_digest(serve_t *s, digest_kind_t kind)
{
	bool full = kind == DIGEST_FULL || kind == DIGEST_GOODBYE;
	digest_builder_t c;

	builder_init(&c);
	add_shares(s, &c,
	    full		       ? SHARES_ALL
	    : kind == DIGEST_HEARTBEAT ? SHARES_CHANGED_REMOTE
				       : SHARES_CHANGED);
	if (kind != DIGEST_SHARES || s->peers.orders_due)
		add_orders(s, &c, kind == DIGEST_SHARES);
	if (kind != DIGEST_SHARES) {
		add_leaving(s, &c);
		add_claim(s, &c);
		prompt_costs_add(s, &c.d);
	}
	if (full)
		add_identity(s, &c);
	if (full && plan_holder_valid(s))
		add_stored_software(s, &c);
	s->peers.orders_due = s->peers.shares_due = false;
	s->peers.state_due = false;
	s->peers.shares_sent_at = s->loop.now;
	c.d.full = full;
	c.d.exiting = kind == DIGEST_GOODBYE;
	builder_finish(&c);
	if (kind != DIGEST_SHARES || c.d.n_endpoint > 0 ||
	    c.d.n_accepted_order > 0)
		send_to_all(s, &c.d,
		    kind == DIGEST_DOMAIN_HEARTBEAT ||
			(kind == DIGEST_SHARES && c.d.n_accepted_order == 0));
	if (kind != DIGEST_SHARES)
		prompt_costs_sent(s);
	builder_free(&c);
}

void
send_full_digest(serve_t *s)
{
	send_digest(s, DIGEST_FULL);
}

void
send_heartbeat(serve_t *s, bool to_all)
{
	send_digest(s, to_all ? DIGEST_HEARTBEAT : DIGEST_DOMAIN_HEARTBEAT);
}

void
send_goodbye(serve_t *s)
{
	send_digest(s, DIGEST_GOODBYE);
}

void
peers_order_accepted(serve_t *s, ep_t *p, const known_order_t *l)
{
	peers_t *ps = &s->peers;

	if (ps->nannounced_orders == ANNOUNCED_ORDERS_MAX) {
		memmove(ps->announced_orders, ps->announced_orders + 1,
		    (ANNOUNCED_ORDERS_MAX - 1) *
			sizeof(ps->announced_orders[0]));
		ps->nannounced_orders--;
	}
	ps->announced_orders[ps->nannounced_orders++] =
	    (announced_order_t){ p->tag, *l, s->loop.now, false };
	ps->orders_due = true;
}

/* Demand is sent to the holder only. */
void
send_demand(serve_t *s, bool all)
{
	static uint8_t bytes[DATAGRAM_MAX];
	digest_builder_t c;
	size_t n;
	int i;

	s->peers.demand_due = false;
	s->peers.demand_sent_at = s->loop.now;
	builder_init(&c);
	add_demand(s, &c, !all);
	c.d.full_demand = all;
	builder_finish(&c);
	n = c.d.n_demand > 0 ? pack_digest(s, &c.d, bytes) : 0;
	for (i = 0; i < s->peers.npeer && n > 0; i++)
		if (s->peers.peer[i]->holder)
			send_datagram(s, &s->peers.peer[i]->sa, bytes, n);
	builder_free(&c);
}

void
send_model_waits(
    serve_t *s, const peer_t *p, Digest__ModelWait **wait, size_t n)
{
	static uint8_t bytes[DATAGRAM_MAX];
	Digest__Digest d = DIGEST__DIGEST__INIT;

	d.wait = wait;
	d.n_wait = n;
	send_datagram(s, &p->sa, bytes, pack_digest(s, &d, bytes));
}

static bool
same_share(const workload_share_t *a, const workload_share_t *b)
{
	return a->prefill_tokens == b->prefill_tokens &&
	       a->running == b->running && a->kv_tokens == b->kv_tokens;
}

static void
add_sums(serve_t *s, digest_builder_t *c, bool full)
{
	int i;

	for (i = 0; i < s->endpoints.nep; i++) {
		ep_t *p = s->endpoints.ep[i];
		uint32_t sent_tokens = p->sent_tokens + p->domain_sent_tokens;
		workload_share_t sum;

		domain_sum_own(s, p, &sum);
		if (full ? sum.running == 0 && sent_tokens == 0
			 : same_share(&sum, &p->sent_sum) &&
			       sent_tokens == p->sent_sum_tokens)
			continue;
		p->sent_sum = sum;
		p->sent_sum_tokens = sent_tokens;
		add_share(c, p->tag, &sum, sent_tokens);
	}
}

/* Sends our domain's sums to the relay of each other domain. */
static void
on_sum_alarm(void *arg)
{
	static uint8_t bytes[DATAGRAM_MAX];
	serve_t *s = arg;
	digest_builder_t c;
	size_t n;
	int i;

	alarm_set(&s->loop, &s->peers.sum_alarm,
	    s->loop.now + DOMAIN_SUM_INTERVAL_MS);
	if (!is_domain_relay(s))
		return;
	builder_init(&c);
	c.d.full = s->peers.sum_count++ % FULL_SUM_EVERY == 0;
	c.d.sum_domain = domain_hash(s->conf.domain);
	add_sums(s, &c, c.d.full);
	builder_finish(&c);
	n = c.d.n_endpoint > 0 || c.d.full ? pack_digest(s, &c.d, bytes) : 0;
	for (i = 0; i < s->peers.npeer && n > 0; i++) {
		peer_t *p = s->peers.peer[i];

		if (!peer_same_domain(s, p) && domain_relay(s, p->domain) == p)
			send_datagram(s, &p->sa, bytes, n);
	}
	builder_free(&c);
}

static void
on_share_alarm(void *arg)
{
	serve_t *s = arg;

	s->peers.shares_due = true;
}

void
digests_init(serve_t *s)
{
	s->peers.share_alarm = (alarm_t){ .fn = on_share_alarm, .arg = s };
	s->peers.sum_alarm = (alarm_t){ .fn = on_sum_alarm, .arg = s };
	alarm_set(&s->loop, &s->peers.sum_alarm,
	    s->loop.now + DOMAIN_SUM_INTERVAL_MS);
}

void
peers_load_changed(serve_t *s, ep_t *p)
{
	peers_t *ps = &s->peers;
	ms_t span = (ms_t)SHARE_INTERVAL_PER_PEER_MS * ps->npeer;

	p->changed = p->changed_remote = true;
	keepers_load_changed(s, p);
	call_queue_wake(s);
	if (span < SHARE_INTERVAL_MIN_MS)
		span = SHARE_INTERVAL_MIN_MS;
	if (s->loop.now - ps->shares_sent_at >= span)
		ps->shares_due = true;
	else if (ps->share_alarm.pos == 0)
		alarm_set(
		    &s->loop, &ps->share_alarm, ps->shares_sent_at + span);
}

void
digests_flush(serve_t *s)
{
	if (s->peers.state_due)
		send_digest(s, DIGEST_HEARTBEAT);
	else if (s->peers.orders_due || s->peers.shares_due)
		send_digest(s, DIGEST_SHARES);
	if (s->peers.demand_due && !plan_is_holder(s) &&
	    s->loop.now - s->peers.demand_sent_at >= DEMAND_INTERVAL_MS)
		send_demand(s, false);
}
