#include "serve/blame.h"
#include "serve/allowances.h"
#include "serve/keepers.h"
#include "serve/prompt_cost.h"
#include "serve/limits.h"
#include "policy/liveness.h"
#include "serve/peer_call.h"
#include "serve/shares.h"

#include <arpa/inet.h>
#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <jansson.h>

enum {
	/*
	 * Full digests are FULL_DIGEST_HEARTBEATS heartbeats apart, plus one
	 * for each FULL_DIGEST_PEERS peers.
	 */
	FULL_DIGEST_HEARTBEATS = 3,
	FULL_DIGEST_PEERS = 12,
	WRITE_TIMEOUT_MS = 2000,  /* of a write to the store */
	OBJECT_REMOVE_MS = 20000, /* after a peer was heard last */
	FIRST_HEARTBEAT_MS = 300, /* after the start */
};

static liveness_t
liveness(const serve_t *s)
{
	return (liveness_t){ s->peers.npeer, s->peers.ndomain };
}

static ms_t
peer_interval(const serve_t *s, const peer_t *p)
{
	liveness_t l = liveness(s);

	return liveness_peer_interval(
	    &l, p->heartbeat > 0 && peer_same_domain(s, p), p->heartbeat);
}

ms_t
domain_heartbeat_ms(const serve_t *s)
{
	liveness_t l = liveness(s);

	return liveness_domain_interval(&l);
}

bool
peer_alive(const serve_t *s, const peer_t *p)
{
	/* What it has sent since may wait in the socket. */
	return p->last_heard_at != 0 && !p->goodbye &&
	       s->loop.handled_until - p->last_heard_at <
		   liveness_dead_after(peer_interval(s, p));
}

bool
peer_is_fresh(const serve_t *s, const peer_t *p)
{
	return is_recent(p->last_heard_at, s->loop.handled_until,
	    liveness_fresh_for(peer_interval(s, p)));
}

bool
peer_lists(const GArray *tags, uint32_t tag)
{
	guint i;

	for (i = 0; i < tags->len; i++)
		if (g_array_index(tags, uint32_t, i) == tag)
			return true;
	return false;
}

const peer_t *
peer_with_ip(const serve_t *s, struct in_addr ip)
{
	int i;

	for (i = 0; i < s->peers.npeer; i++)
		if (s->peers.peer[i]->sa.sin_addr.s_addr == ip.s_addr)
			return s->peers.peer[i];
	return NULL;
}

int
peers_alive(const serve_t *s)
{
	int i, n = 1;

	for (i = 0; i < s->peers.npeer; i++)
		n += peer_alive(s, s->peers.peer[i]);
	return n;
}

int
own_cpu_share(const serve_t *s)
{
	return (int)(s->conf.cpu_share * 1000);
}

/*
 * The holder's work is heavy for a slow machine, so instances rank by CPU
 * share, then by name.
 */
static bool
ranks_before(
    int cpu_millis, const char *name, int other_cpu_millis, const char *other)
{
	return cpu_millis != other_cpu_millis ? cpu_millis > other_cpu_millis
					      : strcmp(name, other) < 0;
}

static bool
peer_ranks_before(const serve_t *s, const peer_t *p)
{
	return ranks_before(
	    p->cpu_millis, p->instance, own_cpu_share(s), s->conf.instance);
}

bool
peer_same_domain(const serve_t *s, const peer_t *p)
{
	return strcmp(p->domain, s->conf.domain) == 0;
}

peer_t *
domain_relay(const serve_t *s, const char *domain)
{
	peer_t *best = NULL;
	int i;

	for (i = 0; i < s->peers.npeer; i++) {
		peer_t *p = s->peers.peer[i];

		if (!peer_alive(s, p) || p->leaving ||
		    strcmp(p->domain, domain) != 0)
			continue;
		if (best == NULL || ranks_before(p->cpu_millis, p->instance,
					best->cpu_millis, best->instance))
			best = p;
	}
	return best;
}

bool
is_domain_relay(const serve_t *s)
{
	const peer_t *p;

	if (s->peers.npeer < DOMAIN_RELAY_MIN_PEERS || s->leaving)
		return false;
	p = domain_relay(s, s->conf.domain);
	return p == NULL || !peer_ranks_before(s, p);
}

bool
has_stronger_peer(const serve_t *s)
{
	int i;

	for (i = 0; i < s->peers.npeer; i++)
		if (s->peers.peer[i]->cpu_millis > own_cpu_share(s))
			return true;
	return false;
}

/* Is the peer alive, not leaving, and ranked before us? */
static bool
outranks_us(const serve_t *s, const peer_t *p)
{
	return peer_alive(s, p) && !p->leaving && peer_ranks_before(s, p);
}

int
peers_ranked_before(const serve_t *s)
{
	int i, n = 0;

	for (i = 0; i < s->peers.npeer; i++)
		n += outranks_us(s, s->peers.peer[i]);
	return n;
}

int
watchers_ranked_before(const serve_t *s)
{
	bool many = s->peers.npeer >= DOMAIN_RELAY_MIN_PEERS;
	int i, n = 0;

	for (i = 0; i < s->peers.npeer; i++) {
		const peer_t *p = s->peers.peer[i];

		n += outranks_us(s, p) && !p->lost_store &&
		     (!many || peer_same_domain(s, p));
	}
	return n;
}

static peer_t *
find_peer(serve_t *s, const char *instance)
{
	int i;

	for (i = 0; i < s->peers.npeer; i++)
		if (strcmp(s->peers.peer[i]->instance, instance) == 0)
			return s->peers.peer[i];
	return NULL;
}

const peer_t *
peer_by_hash(const serve_t *s, uint64_t hash)
{
	int i;

	for (i = 0; i < s->peers.npeer; i++)
		if (s->peers.peer[i]->hash == hash)
			return s->peers.peer[i];
	return NULL;
}

const peer_t *
peer_at(const serve_t *s, const struct sockaddr_in *from)
{
	int i;

	for (i = 0; i < s->peers.npeer; i++)
		if (s->peers.peer[i]->sa.sin_addr.s_addr ==
			from->sin_addr.s_addr &&
		    s->peers.peer[i]->sa.sin_port == from->sin_port)
			return s->peers.peer[i];
	return NULL;
}

static peer_t *
add_peer(serve_t *s, const char *instance, const char *ip)
{
	peers_t *ps = &s->peers;
	peer_t *p = g_new0(peer_t, 1);
	char addr[ADDR_MAX + 8];

	p->hash = hash_str(instance, 0);
	snprintf(addr, sizeof(addr), "%s:%d", ip, s->conf.peer_port);
	if (!str_copy(p->instance, ID_MAX, instance) ||
	    !str_copy(p->ip, ADDR_MAX, ip) || net_addr(addr, &p->sa) == -1) {
		g_free(p);
		return NULL;
	}
	p->known_at = s->loop.now;
	p->share =
	    g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL, g_free);
	p->demand = g_array_new(FALSE, FALSE, sizeof(peer_demand_t));
	p->unreached_service = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	p->unreached_endpoint = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	if (ps->npeer == ps->room) {
		ps->room = ps->room ? 2 * ps->room : 16;
		ps->peer = g_renew(peer_t *, ps->peer, ps->room);
	}
	ps->peer[ps->npeer++] = p;
	return p;
}

static void
remove_peer(serve_t *s, peer_t *p)
{
	int i;

	for (i = 0; i < s->peers.npeer; i++)
		if (s->peers.peer[i] == p)
			s->peers.peer[i] = s->peers.peer[--s->peers.npeer];
	log_limited(LOG_NOTICE, "instance", "instance_known=%s state=forgotten",
	    p->instance);
	shares_forget(p);
	peer_ep_retire(s, p);
	g_array_free(p->unreached_service, TRUE);
	g_array_free(p->unreached_endpoint, TRUE);
	g_hash_table_destroy(p->share);
	g_array_free(p->demand, TRUE);
	g_free(p);
}

/* Digests received. */

static void
receive_demand(serve_t *s, peer_t *p, const Digest__Digest *d)
{
	size_t i;

	if (!plan_is_holder(s))
		return;
	if (d->full_demand)
		g_array_set_size(p->demand, 0);
	for (i = 0; i < d->n_demand; i++) {
		const Digest__Demand *m = d->demand[i];
		peer_demand_t t = { .work = m->work,
			.unserved = m->unserved,
			.all_tried = m->all_tried,
			.received_at = s->loop.now };

		if (!str_copy(t.service, ID_MAX, m->service) ||
		    !str_copy(t.model, ID_MAX, m->model) ||
		    !str_copy(t.adapter, ID_MAX, m->adapter))
			continue;
		if (!d->full_demand)
			t.work = 0;
		g_array_append_val(p->demand, t);
		p->asks_waits |= t.unserved;
		if (t.unserved || t.all_tried)
			plan_run_soon(s);
	}
}

static void
receive_orders(serve_t *s, const Digest__Digest *d)
{
	bool any_new = false;
	size_t i;

	for (i = 0; i < d->n_accepted_order; i++) {
		const Digest__AcceptedOrder *m = d->accepted_order[i];
		ep_t *ep = ep_find_tag(&s->endpoints, m->endpoint);
		known_order_t l = { .order_count = (int64_t)m->order_count,
			.load = m->load,
			.effective_at = s->loop.now + m->done_in_ms };

		if (ep == NULL || !str_copy(l.model, ID_MAX, m->model) ||
		    !str_copy(l.adapter, sizeof(l.adapter), m->adapter))
			continue;
		any_new |= ep_add_order(ep, &l);
	}
	if (any_new)
		call_queue_dispatch(s);
}

static void
receive_said_leaving(serve_t *s, const Digest__Digest *d)
{
	size_t i;

	for (i = 0; i < d->n_said_leaving && i < d->n_said_leaving_started;
	     i++) {
		ep_t *ep = ep_find_tag(&s->endpoints, d->said_leaving[i]);
		ms_t made_ago = i < d->n_said_leaving_connected
				    ? (ms_t)d->said_leaving_connected[i]
				    : 0;

		if (ep != NULL)
			ep_said_leaving_elsewhere(s, ep,
			    d->said_leaving_started[i], s->loop.now - made_ago);
	}
}

/* Returns the sender, or NULL if it is unknown or the digest is outdated. */
static peer_t *
digest_sender(
    serve_t *s, const Digest__Digest *d, const struct sockaddr_in *from)
{
	char ip[ADDR_MAX];
	peer_t *p = (peer_t *)peer_by_hash(s, d->sender);

	inet_ntop(AF_INET, &from->sin_addr, ip, sizeof(ip));
	if (d->sender == s->peers.hash)
		return NULL;
	if (p != NULL && strcmp(p->ip, ip) != 0) {
		/* The instance's address has changed. */
		remove_peer(s, p);
		p = NULL;
	}
	if (p == NULL && d->identity != NULL)
		p = add_peer(s, d->identity->instance, ip);
	if (p == NULL)
		return NULL;
	if (p->incarnation == d->incarnation &&
	    (int32_t)(d->sequence - p->sequence) <= 0)
		return NULL;
	if (p->incarnation != d->incarnation)
		shares_forget(p);
	p->incarnation = d->incarnation;
	p->sequence = d->sequence;
	if (d->identity != NULL) {
		str_set(p->domain, ID_MAX, d->identity->domain);
		str_set(p->caller_addr, ADDR_MAX, d->identity->caller_addr);
		p->cpu_millis = (int)d->identity->cpu_millis;
	}
	return p;
}

static void
tags_read(GArray *to, const uint32_t *tag, size_t n)
{
	g_array_set_size(to, 0);
	g_array_append_vals(to, tag, (guint)n);
}

/* What the sender has read from the store. */
static void
receive_store_state(serve_t *s, const Digest__Digest *d)
{
	size_t i;

	plan_peer_first_era(s, d->first_era);
	if (d->store_era > s->store_era) {
		store_watch_peer_era(&s->config_watch);
		store_watch_peer_era(&s->endpoints_watch);
	}
	for (i = 0; i < d->n_leaving_endpoint && i < d->n_leaving_revision; i++)
		ep_peer_saw_leaving(s, d->leaving_endpoint[i], d->store_era,
		    d->leaving_revision[i]);
	if (!store_era_is_ours(s, d->store_era))
		return;
	if (d->watched_upto > 0)
		store_watch_claimed(
		    s, &(coverage_claim_t){ d->watched_from, d->watched_upto,
			   (ms_t)d->watched_ago });
	if (d->holder) {
		for (i = 0; i < d->n_stored_software; i++)
			software_mark_stored(
			    &s->software, d->stored_software[i], s->loop.now);
		plan_peer_renewed(s, d->lease_revision);
	}
	store_watch_peer_revision(&s->config_watch, d->config_revision);
	store_watch_peer_revision(&s->endpoints_watch, d->endpoint_revision);
}

static void
receive_digest(
    serve_t *s, const Digest__Digest *d, const struct sockaddr_in *from)
{
	peer_t *p = digest_sender(s, d, from);
	bool was_ready;
	size_t i;

	if (p == NULL)
		return;
	was_ready = peer_alive(s, p) && p->ready && !p->leaving;
	p->last_heard_at = s->loop.now;
	p->ready = d->ready;
	p->leaving = d->leaving;
	p->holder = d->holder;
	p->goodbye = d->exiting;
	p->lost_store = d->store_lost;
	p->heartbeat = d->domain_heartbeat_ms;
	p->keeps = d->keeps;
	p->gives = d->gives;
	p->several_versions = d->several_versions;
	p->queued_tokens = (int)d->queued_tokens;
	tags_read(
	    p->unreached_service, d->unreached_service, d->n_unreached_service);
	tags_read(p->unreached_endpoint, d->unreached_endpoint,
	    d->n_unreached_endpoint);
	if (was_ready != (p->ready && !p->leaving && !p->goodbye))
		log_limited(LOG_NOTICE, "instance",
		    "instance_known=%s state=%s holder=%d", p->instance,
		    p->goodbye	 ? "gone"
		    : p->leaving ? "leaving"
		    : p->ready	 ? "ready"
				 : "starting",
		    p->holder);
	if (p->goodbye) {
		shares_forget(p);
		return;
	}
	shares_apply(s, p, d);
	prompt_costs_receive(s, d);
	receive_store_state(s, d);
	receive_said_leaving(s, d);
	receive_demand(s, p, d);
	for (i = 0; i < d->n_wait; i++)
		plan_model_wait(s, d->wait[i]->service, d->wait[i]->model,
		    d->wait[i]->ready_in_ms);
	receive_orders(s, d);
}

/*
 * Handles a sum from another domain's relay and passes it on within our domain.
 */
static void
receive_sum(serve_t *s, const Digest__Digest *d, const struct sockaddr_in *from,
    const uint8_t *bytes, size_t n)
{
	char ip[ADDR_MAX];
	int i;

	domain_sum_apply(s, d);
	inet_ntop(AF_INET, &from->sin_addr, ip, sizeof(ip));
	for (i = 0; i < s->peers.npeer; i++)
		if (strcmp(s->peers.peer[i]->ip, ip) == 0 &&
		    !peer_same_domain(s, s->peers.peer[i])) {
			send_within_domain(s, bytes, n);
			return;
		}
}

static void
on_datagram(void *arg, uint32_t ev)
{
	serve_t *s = arg;
	static uint8_t bytes[DATAGRAM_MAX];
	struct sockaddr_in from;
	socklen_t len;
	ssize_t n;

	(void)ev;
	for (;;) {
		Digest__Digest *d;

		len = sizeof(from);
		n = recvfrom(s->peers.watch.fd, bytes, sizeof(bytes),
		    MSG_DONTWAIT, (struct sockaddr *)&from, &len);
		if (n <= 0)
			return;
		d = digest__digest__unpack(NULL, (size_t)n, bytes);
		if (d == NULL) {
			log_limited(
			    LOG_WARNING, "digest-unreadable", "bytes=%zd", n);
			continue;
		}
		if (d->streams != NULL)
			streams_receive(s, d->streams, &from);
		else if (d->blame != NULL)
			blame_receive(s, d->blame, &from);
		else if (d->limits != NULL)
			limits_receive(s, d->limits, &from);
		else if (d->keeper != NULL)
			keepers_receive(s, d->keeper, &from);
		else if (d->allowance != NULL)
			allowances_receive(s, d, &from);
		else if (d->sum_domain != 0)
			receive_sum(s, d, &from, bytes, (size_t)n);
		else
			receive_digest(s, d, &from);
		digest__digest__free_unpacked(d, NULL);
	}
}

/* The instances' objects in the store. */

static void
on_own_write(void *arg, int status, const char *text, size_t len)
{
	serve_t *s = arg;
	object_t o;

	s->peers.own_write = NULL;
	if (status >= 200 && status <= 299) {
		/* The store watch reports the revision later. */
		s->peers.own_revision = 1;
	} else if (status == 409 && object_decode(&o, text, len, NULL) == 0) {
		/* The object exists already: check its content. */
		peers_store_object(s, &o);
		json_decref(o.spec);
	} else {
		log_limited(
		    LOG_WARNING, "instance-object", "status=%d", status);
	}
}

/* Writes our own object unless the store holds it with the right content. */
static void
write_own_object(serve_t *s)
{
	peers_t *ps = &s->peers;
	buf_t b = { 0 };
	json_t *j;
	char *spec;

	if (ps->own_write != NULL || s->instances_watch.first_listed_at == 0 ||
	    ps->own_revision > 0 || s->leaving)
		return;
	j = json_pack("{s:s,s:s,s:s,s:i}", "ip", s->conf.ip, "domain",
	    s->conf.domain, "caller_addr", s->conf.caller_addr, "power",
	    own_cpu_share(s));
	spec = json_dumps(j, JSON_COMPACT);
	json_decref(j);
	/* own_revision is -1 if the object exists with other content. */
	objects_put(&b, KIND_INSTANCES, s->conf.instance, ps->own_revision,
	    spec, s->conf.store_addr);
	free(spec);
	ps->own_write = http_request_send(
	    s, &s->store, &b, WRITE_TIMEOUT_MS, on_own_write, s);
}

void
peers_store_object(serve_t *s, const object_t *o)
{
	const json_t *j = o->spec;
	const char *ip = json_string_value(json_object_get(j, "ip"));
	const char *caller =
	    json_string_value(json_object_get(j, "caller_addr"));
	const char *domain = json_string_value(json_object_get(j, "domain"));
	bool self = strcmp(o->name, s->conf.instance) == 0;
	peer_t *p = find_peer(s, o->name);

	if (self)
		s->peers.own_revision =
		    o->deleted ? 0
		    : ip != NULL && caller != NULL &&
			    strcmp(ip, s->conf.ip) == 0 &&
			    strcmp(caller, s->conf.caller_addr) == 0
			? o->revision
			: -1;
	else if (o->deleted && p != NULL && !peer_alive(s, p))
		remove_peer(s, p);
	else if (o->deleted && p != NULL)
		p->revision = 0;
	else if (!o->deleted && ip != NULL) {
		if (p != NULL && strcmp(p->ip, ip) != 0 && !peer_alive(s, p)) {
			remove_peer(s, p);
			p = NULL;
		}
		if (p == NULL)
			p = add_peer(s, o->name, ip);
		if (p != NULL) {
			p->revision = o->revision;
			if (p->last_heard_at == 0 && caller != NULL) {
				str_set(p->caller_addr, ADDR_MAX, caller);
				str_set(p->domain, ID_MAX,
				    domain != NULL ? domain : "");
				p->cpu_millis = (int)json_integer_value(
				    json_object_get(j, "power"));
			}
		}
	}
}

void
peers_in_new_era(serve_t *s)
{
	int i;

	/* No object is deleted by a revision that may be another's now. */
	for (i = 0; i < s->peers.npeer; i++)
		s->peers.peer[i]->revision = 0;
}

void
peers_remove_missing(serve_t *s, GHashTable *names)
{
	int i;

	if (!g_hash_table_contains(names, s->conf.instance))
		s->peers.own_revision = 0;
	for (i = s->peers.npeer - 1; i >= 0; i--) {
		peer_t *p = s->peers.peer[i];

		if (!g_hash_table_contains(names, p->instance) &&
		    !peer_alive(s, p))
			remove_peer(s, p);
	}
}

static void
on_object_removed(void *arg, int status, const char *text, size_t len)
{
	(void)arg, (void)text, (void)len;
	log_limited(LOG_NOTICE, "instance-removed", "status=%d", status);
}

/*
 * The holder removes the objects of instances that have been silent for long.
 */
static void
remove_silent_objects(serve_t *s)
{
	int i;

	for (i = 0; i < s->peers.npeer; i++) {
		peer_t *p = s->peers.peer[i];
		ms_t since =
		    p->last_heard_at != 0 ? p->last_heard_at : p->known_at;
		buf_t b = { 0 };

		if (p->revision == 0 || s->loop.now - since < OBJECT_REMOVE_MS)
			continue;
		objects_delete(&b, KIND_INSTANCES, p->instance, p->revision,
		    s->conf.store_addr);
		p->revision = 0;
		p->known_at = s->loop.now;
		http_request_send(
		    s, &s->store, &b, WRITE_TIMEOUT_MS, on_object_removed, s);
	}
}

/* Heartbeats to all are sent with those to our own domain. */
static bool
heartbeat_to_all_due(const serve_t *s)
{
	liveness_t l = liveness(s);

	return s->loop.now - s->peers.heartbeat_at +
		   liveness_domain_interval(&l) / 2 >=
	       liveness_interval(&l);
}

static void
on_heartbeat_alarm(void *arg)
{
	serve_t *s = arg;
	int i;

	s->peers.ndomain = 0;
	for (i = 0; i < s->peers.npeer; i++)
		s->peers.ndomain += peer_same_domain(s, s->peers.peer[i]);
	alarm_set(&s->loop, &s->peers.heartbeat_alarm,
	    s->loop.now + domain_heartbeat_ms(s));
	for (i = 0; i < s->peers.npeer; i++)
		if (!peer_alive(s, s->peers.peer[i]))
			shares_forget(s->peers.peer[i]);
	domain_sums_expire(s);
	keepers_tick(s);
	write_own_object(s);
	if (plan_is_holder(s))
		remove_silent_objects(s);
	else
		send_demand(s, true);
	if (!heartbeat_to_all_due(s)) {
		send_heartbeat(s, false);
		return;
	}
	s->peers.heartbeat_at = s->loop.now;
	if (s->peers.heartbeat_count++ %
		(FULL_DIGEST_HEARTBEATS + s->peers.npeer / FULL_DIGEST_PEERS) ==
	    0)
		send_full_digest(s);
	else
		send_heartbeat(s, true);
}

int
peers_open(serve_t *s, err_t *e)
{
	peers_t *ps = &s->peers;
	char addr[ADDR_MAX + 8];

	snprintf(addr, sizeof(addr), "%s:%d", s->conf.ip, s->conf.peer_port);
	ps->watch = (watch_t){ net_datagram(addr, e), 0, on_datagram, s };
	if (ps->watch.fd == -1)
		return -1;
	ps->domain_sums = g_ptr_array_new();
	ps->hash = hash_str(s->conf.instance, 0);
	ps->incarnation = (uint32_t)rng_next(&s->rng);
	ps->heartbeat_alarm = (alarm_t){ .fn = on_heartbeat_alarm, .arg = s };
	digests_init(s);
	alarm_set(
	    &s->loop, &ps->heartbeat_alarm, s->loop.now + FIRST_HEARTBEAT_MS);
	return watch_add(&s->loop, &ps->watch, EPOLLIN);
}
