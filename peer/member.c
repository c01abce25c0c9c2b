#include "peer/node.h"

#include <string.h>

enum {
	/* heartbeats to other domains are rarer, silence limits longer by it */
	REMOTE_INTERVAL_FACTOR = 4,
	LINKS_INTERVAL_MS = 200,  /* between checks of the connections */
	SEED_INTERVAL_MS = 300,	  /* between dials of seeds */
	PROBE_INTERVAL_MS = 5000, /* between probes of unconnected members */
	/* silence limits without news of a domain until its members are gone */
	UNREACHABLE_FACTOR = 2,
};

static void
send_hello(node_t *n, conn_t *c)
{
	Wire__Frame f = WIRE__FRAME__INIT;
	Wire__Hello h = WIRE__HELLO__INIT;

	/* Newer than any relayed record of us, also one that says gone. */
	n->self.seq++;
	h.member = &n->self;
	h.catalogue = n->catalogue->number;
	f.version = WIRE_VERSION;
	f.body_case = WIRE__FRAME__BODY_HELLO;
	f.hello = &h;
	conn_send(c, &f);
}

void
member_send_heartbeat(node_t *n, conn_t *c, bool want_stats, bool unneeded)
{
	Wire__Frame f = WIRE__FRAME__INIT;
	Wire__Heartbeat h = WIRE__HEARTBEAT__INIT;
	Wire__Member m = WIRE__MEMBER__INIT;

	/* Without what doesn't change after the Hello. */
	m.id = n->self.id;
	m.incarnation = n->self.incarnation;
	m.seq = n->self.seq;
	m.leaving = n->self.leaving;
	m.in_force = n->self.in_force;
	m.load = n->self.load;
	h.member = &m;
	h.catalogue = n->catalogue->number;
	h.ready = __atomic_load_n(&n->ready, __ATOMIC_RELAXED);
	h.want_stats = want_stats;
	h.unneeded = unneeded;
	f.version = WIRE_VERSION;
	f.body_case = WIRE__FRAME__BODY_HEARTBEAT;
	f.heartbeat = &h;
	conn_send(c, &f);
}

static ms_t
silence_limit(node_t *n, const char *domain)
{
	ms_t limit = n->settings->peer.dead_ms;

	return strcmp(domain, n->settings->instance.domain) == 0
		   ? limit
		   : limit * REMOTE_INTERVAL_FACTOR;
}

static void
record_domain_heard(node_t *n, const char *domain)
{
	ms_t *at = g_hash_table_lookup(n->domain_heard_at, domain);

	if (at == NULL) {
		at = g_new0(ms_t, 1);
		g_hash_table_insert(n->domain_heard_at, g_strdup(domain), at);
	}
	*at = n->now;
}

static bool
is_self(const node_t *n, const char *id)
{
	return strcmp(id, n->self.id) == 0;
}

/* Merge a peer's record of this member. */
static void
merge_self(node_t *n, const Wire__Member *m)
{
	member_t *self = store_find_member(n->store, n->self.id);

	if (m->incarnation > n->self.incarnation) {
		/* Our own record, sent when this clock was ahead. */
		n->self.incarnation = m->incarnation + 1;
		n->announce = true;
	} else if (m->incarnation == n->self.incarnation && m->gone) {
		self->announce = true;
		n->announce = true;
	}
}

void
member_merge(node_t *n, const Wire__Member *m)
{
	if (is_self(n, m->id))
		merge_self(n, m);
	else
		store_merge_member(n->store, m);
}

/* Of two connections with a member keep the one dialled by the lower id. */
static void
set_member_conn(node_t *n, member_t *r, conn_t *c)
{
	conn_t *old = r->conn;

	if (old == c)
		return;
	if (old != NULL && old->state != CONN_CLOSED) {
		if (old->dialled && !c->dialled &&
		    strcmp(n->self.id, r->m->id) < 0)
			return;
		conn_close(old, "duplicate");
	}
	r->conn = c;
	r->suspect = false;
	backoff_reset(&r->backoff);
}

static void
update_in_force(node_t *n)
{
	uint64_t number = n->catalogue->number;
	conn_t *c;

	/*
	 * A catalogue is in force once the entryds that get views from here
	 * route by it. Those include entryds whose own controld is down.
	 */
	for (c = net_first(n->net); c != NULL; c = c->next)
		if (c->role == CONN_ENTRY && c->state == CONN_OPEN &&
		    c->relay.subscribed && c->relay.peer_catalogue < number)
			number = c->relay.peer_catalogue;
	/* It can decrease: a newly connected entryd may lag. */
	if (n->self.in_force == number)
		return;
	n->self.in_force = number;
	n->self.seq++;
	store_merge_member(n->store, &n->self);
	n->announce = true;
}

static void
handle_entry_hello(node_t *n, conn_t *c, const Wire__Hello *h)
{
	if (c->role == CONN_UNIDENTIFIED) {
		c->role = CONN_ENTRY;
		str_set(c->peer, sizeof(c->peer), h->member->id);
		/* A planned stop waits only for the own entryd. */
		if (strcmp(c->peer, n->self.id) == 0)
			__atomic_add_fetch(
			    &n->entry_conns, 1, __ATOMIC_RELAXED);
	}
	c->relay.peer_catalogue = h->catalogue;
	c->relay.subscribed = h->want_views;
	update_in_force(n);
	if (h->want_views)
		relay_send_changes(n, c, true);
}

/* Another member answers at the address dialled. */
static void
address_reused(node_t *n, conn_t *c)
{
	member_t *r = store_find_member(n->store, c->peer);

	if (r == NULL || r->conn != c)
		return;
	r->conn = NULL;
	store_mark_gone(n->store, r);
}

void
member_handle_hello(node_t *n, conn_t *c, const Wire__Hello *h)
{
	member_t *r;

	if (h->member == NULL || c->role == CONN_NODE ||
	    (c->role == CONN_ENTRY && !h->entry)) {
		conn_close(c, "bad_hello");
		return;
	}
	if (h->entry) {
		handle_entry_hello(n, c, h);
		return;
	}
	if (is_self(n, h->member->id)) {
		conn_close(c, "own_id");
		return;
	}
	r = store_merge_member(n->store, h->member);
	if (r == NULL || !member_live(r)) {
		conn_close(c, "old_incarnation");
		return;
	}
	if (c->dialled && strcmp(c->peer, r->m->id) != 0)
		address_reused(n, c);
	c->role = CONN_NODE;
	str_set(c->peer, sizeof(c->peer), r->m->id);
	c->nearer_root = strcmp(r->m->domain, n->self.domain) == 0 &&
			 member_height(r->m->id, r->m->domain) >
			     member_height(n->self.id, n->self.domain);
	if (!c->dialled)
		send_hello(n, c);
	set_member_conn(n, r, c);
	record_domain_heard(n, r->m->domain);
	catalogue_handle_number(n, c, h->catalogue);
	n->announce = true;
}

static void
handle_entry_heartbeat(node_t *n, conn_t *c, const Wire__Heartbeat *h)
{
	c->relay.peer_catalogue = h->catalogue;
	update_in_force(n);
	if (!is_self(n, c->peer) || h->member == NULL)
		return;
	n->self.load = h->member->load;
	if (h->member->leaving)
		__atomic_store_n(&n->leave, true, __ATOMIC_RELAXED);
}

void
member_handle_heartbeat(node_t *n, conn_t *c, const Wire__Heartbeat *h)
{
	member_t *r;

	if (c->role == CONN_ENTRY) {
		handle_entry_heartbeat(n, c, h);
		return;
	}
	if (c->role != CONN_NODE || h->member == NULL ||
	    strcmp(h->member->id, c->peer) != 0) {
		conn_close(c, "bad_heartbeat");
		return;
	}
	r = store_merge_member(n->store, h->member);
	if (r == NULL)
		return;
	c->relay.subscribed = h->want_stats;
	c->unneeded = h->unneeded;
	record_domain_heard(n, r->m->domain);
	if (h->ready && h->catalogue > n->ready_catalogue)
		n->ready_catalogue = h->catalogue;
	if (h->ready && n->store->workers_known &&
	    n->catalogue->number >= n->ready_catalogue)
		n->catalogue_confirmed = true;
	catalogue_handle_number(n, c, h->catalogue);
}

void
member_handle_leaving(node_t *n, const Wire__Leaving *l)
{
	member_t *r = store_find_member(n->store, l->id);
	Wire__Member m;

	if (r == NULL || r->msg == NULL || is_self(n, l->id) ||
	    r->m->incarnation != l->incarnation)
		return;
	m = *r->m;
	m.leaving = true;
	m.seq = r->seq + 1;
	store_merge_member(n->store, &m);
}

void
member_conn_opened(node_t *n, conn_t *c)
{
	if (c->probe_only)
		conn_close(c, "probed");
	else
		send_hello(n, c);
}

void
member_dial(node_t *n, member_t *r)
{
	if (r->conn != NULL || *r->m->peer_addr == '\0')
		return;
	r->dial_at = n->now + backoff_next(&r->backoff, &n->rng);
	r->conn = net_dial(n->net, r->m->peer_addr);
	if (r->conn != NULL)
		str_set(r->conn->peer, sizeof(r->conn->peer), r->m->id);
}

void
member_probe(node_t *n, member_t *r)
{
	member_dial(n, r);
	if (r->conn != NULL)
		r->conn->probe_only = true;
}

static bool
closed_for(const conn_t *c, const char *why)
{
	return strcmp(c->close_reason, why) == 0;
}

void
member_conn_closed(node_t *n, conn_t *c)
{
	member_t *r = store_find_member(n->store, c->peer);

	if (c->role == CONN_ENTRY) {
		if (strcmp(c->peer, n->self.id) == 0)
			__atomic_sub_fetch(
			    &n->entry_conns, 1, __ATOMIC_RELAXED);
		brokers_conn_closed(n->brokers, c->handle);
		return;
	}
	if (r == NULL || r->conn != c)
		return;
	r->conn = NULL;
	if (c->state == CONN_CLOSED && c->dialled &&
	    c->role == CONN_UNIDENTIFIED) {
		/* If it is alive, members in contact with it say so. */
		if (c->refused || closed_for(c, "silent") ||
		    closed_for(c, "dial_timeout"))
			store_mark_gone(n->store, r);
		else
			r->suspect = member_live(r) && !c->probe_only;
		return;
	}
	if (c->unneeded || closed_for(c, "not_needed") ||
	    closed_for(c, "rejoin"))
		return;
	if (closed_for(c, "silent")) {
		store_mark_gone(n->store, r);
		return;
	}
	/* Dead or only disconnected? A dead process refuses at once. */
	if (member_live(r))
		member_dial(n, r);
}

/* Without any connection, dial a random seed of the settings. */
static void
dial_seed(node_t *n)
{
	char **seed;
	conn_t *c;
	int i, ns = 0;

	for (c = net_first(n->net); c != NULL; c = c->next)
		if (c->role == CONN_NODE)
			return;
	if (n->settings->peer.seeds[0] == '\0' || n->now < n->seed_at)
		return;
	n->seed_at = n->now + SEED_INTERVAL_MS;
	seed = g_strsplit(n->settings->peer.seeds, ",", -1);
	for (ns = 0; seed[ns] != NULL; ns++)
		g_strstrip(seed[ns]);
	i = ns == 0 ? 0 : (int)(rng_next(&n->rng) % (uint64_t)ns);
	if (ns > 0 && strcmp(seed[i], n->settings->instance.peer_addr) != 0)
		net_dial(n->net, seed[i]);
	g_strfreev(seed);
}

/*
 * Dial or probe a random member without a connection. A gone one, so that the
 * halves of a partitioned domain reconnect; a live one of the own domain, so
 * that one that died together with its upstreams is detected.
 */
static void
probe_random(node_t *n, bool live)
{
	member_t *pick = NULL;
	GHashTableIter it;
	void *value;
	int seen = 0;

	g_hash_table_iter_init(&it, n->store->member);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		member_t *r = value;

		if (r->msg == NULL || member_live(r) != live ||
		    r->conn != NULL || is_self(n, r->m->id) ||
		    (live && strcmp(r->m->domain,
				 n->settings->instance.domain) != 0))
			continue;
		if (rng_next(&n->rng) % ++seen == 0)
			pick = r;
	}
	if (pick != NULL && live)
		member_probe(n, pick);
	else if (pick != NULL)
		member_dial(n, pick);
}

/* Detect silent connections and unreachable domains. */
static void
check_silence(node_t *n)
{
	const char *own = n->settings->instance.domain;
	GHashTableIter it;
	void *value;
	conn_t *c;

	for (c = net_first(n->net); c != NULL; c = c->next) {
		member_t *r = store_find_member(n->store, c->peer);

		if ((c->role == CONN_NODE || c->dialled) &&
		    c->state == CONN_OPEN && r != NULL && r->msg != NULL &&
		    n->now - c->heard_at > silence_limit(n, r->m->domain))
			conn_close(c, "silent");
	}
	if (!__atomic_load_n(&n->is_root, __ATOMIC_RELAXED))
		return;
	g_hash_table_iter_init(&it, n->store->member);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		member_t *r = value;
		ms_t *at;

		if (!member_live(r) || r->conn != NULL ||
		    strcmp(r->m->domain, own) == 0)
			continue;
		at = g_hash_table_lookup(n->domain_heard_at, r->m->domain);
		if (at != NULL &&
		    n->now - *at >
			UNREACHABLE_FACTOR * silence_limit(n, r->m->domain))
			store_mark_gone(n->store, r);
	}
}

static void
send_heartbeats(node_t *n, bool to_all)
{
	conn_t *c;

	n->heartbeat_at = n->now + n->settings->peer.heartbeat_ms;
	update_in_force(n);
	n->self.seq++;
	n->heartbeats++;
	store_merge_member(n->store, &n->self);
	for (c = net_first(n->net); c != NULL; c = c->next) {
		member_t *r = store_find_member(n->store, c->peer);

		if (c->role != CONN_NODE || c->state != CONN_OPEN ||
		    c->unneeded || r == NULL || r->msg == NULL)
			continue;
		if (!to_all && n->heartbeats % REMOTE_INTERVAL_FACTOR != 0 &&
		    strcmp(r->m->domain, n->settings->instance.domain) != 0)
			continue;
		member_send_heartbeat(n, c, c->request_stats, false);
	}
}

void
member_tick(node_t *n)
{
	if (n->now >= n->links_at ||
	    n->links_change != n->store->urgent_change) {
		n->links_at = n->now + LINKS_INTERVAL_MS;
		n->links_change = n->store->urgent_change;
		check_silence(n);
		links_tick(n);
		dial_seed(n);
	}
	if (n->now >= n->probe_at) {
		n->probe_at = n->now + PROBE_INTERVAL_MS;
		probe_random(n, false);
		probe_random(n, true);
	}
	if (n->announce || n->now >= n->heartbeat_at)
		send_heartbeats(n, n->announce);
	n->announce = false;
}

void
member_rejoin(node_t *n)
{
	uint64_t wall = clock_wall();
	GHashTableIter it;
	void *value;
	conn_t *c;

	for (c = net_first(n->net); c != NULL; c = c->next)
		conn_close(c, "rejoin");
	g_hash_table_iter_init(&it, n->store->member);
	while (g_hash_table_iter_next(&it, NULL, &value))
		((member_t *)value)->heard_at = n->now;
	g_hash_table_remove_all(n->domain_heard_at);
	n->self.incarnation =
	    wall > n->self.incarnation ? wall : n->self.incarnation + 1;
	n->announce = true;
}
