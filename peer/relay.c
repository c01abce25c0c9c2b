#include "peer/node.h"

#include <stdlib.h>
#include <string.h>

enum {
	VIEW_CHUNK_BYTES = 128 * 1024, /* then another view is begun */
	/*
	 * Load statistics of the own domain, over all connections; those of
	 * other domains may take as much again.
	 */
	STATS_BYTES_PER_S = 3072,
	URGENT_DELAY_MS = 20, /* batches urgent changes for nodes */
};

/* The records sent to a peer; never those that it sent itself. */
typedef enum scope {
	SCOPE_ALL,	  /* to entryds and lower members: all */
	SCOPE_UPSTREAM,	  /* to higher members: those that none of them sent */
	SCOPE_OWN_DOMAIN, /* to other domains: those of this domain */
} scope_t;

/* A view being built for one connection. */
typedef struct view_builder {
	conn_t *c;
	scope_t scope;
	GPtrArray *members, *workers, *digests;
	size_t bytes; /* since the last message */
	size_t total; /* of all messages */
} view_builder_t;

static void
digest_copy_free(void *p)
{
	Wire__Digest *d = p;

	if (d->partial) {
		free(d->worker[0]);
		free(d->worker);
	}
	free(d);
}

static void
view_builder_send(node_t *n, view_builder_t *b)
{
	Wire__Frame f = WIRE__FRAME__INIT;
	Wire__View v = WIRE__VIEW__INIT;

	v.member = (Wire__Member **)b->members->pdata;
	v.n_member = b->members->len;
	v.worker = (Wire__Worker **)b->workers->pdata;
	v.n_worker = b->workers->len;
	v.digest = (Wire__Digest **)b->digests->pdata;
	v.n_digest = b->digests->len;
	v.workers_known = n->store->workers_known;
	v.catalogue = n->catalogue->number;
	f.version = WIRE_VERSION;
	f.body_case = WIRE__FRAME__BODY_VIEW;
	f.view = &v;
	conn_send(b->c, &f);
	b->c->relay.sent_at = n->now;
	g_ptr_array_set_size(b->members, 0);
	g_ptr_array_set_size(b->workers, 0);
	g_ptr_array_set_size(b->digests, 0);
	b->bytes = 0;
}

static void
view_builder_grew(node_t *n, view_builder_t *b, const void *message)
{
	size_t size = protobuf_c_message_get_packed_size(message);

	b->bytes += size;
	b->total += size;
	if (b->bytes > VIEW_CHUNK_BYTES)
		view_builder_send(n, b);
}

static void
add_member(node_t *n, view_builder_t *b, const member_t *r)
{
	Wire__Member *m = malloc(sizeof(*m));

	*m = *r->m;
	m->seq = r->seq;
	g_ptr_array_add(b->members, m);
	view_builder_grew(n, b, m);
}

/* A partial digest omits names and residents: a full one has brought them. */
static void
add_digest(node_t *n, view_builder_t *b, const digest_t *r, bool partial)
{
	Wire__Digest *d = malloc(sizeof(*d));
	Wire__WorkerLoad *load;
	size_t i;

	*d = *r->d;
	if (partial && d->n_worker > 0) {
		d->partial = true;
		d->worker = calloc(d->n_worker, sizeof(void *));
		load = calloc(d->n_worker, sizeof(*load));
		for (i = 0; i < d->n_worker; i++) {
			load[i] = *r->d->worker[i];
			load[i].worker = (char *)protobuf_c_empty_string;
			load[i].ejected = false;
			load[i].n_resident = 0;
			load[i].resident = NULL;
			d->worker[i] = &load[i];
		}
	}
	g_ptr_array_add(b->digests, d);
	view_builder_grew(n, b, d);
}

static bool
is_own_domain_member(node_t *n, const char *id)
{
	const member_t *r = store_find_member(n->store, id);

	return r != NULL && r->msg != NULL &&
	       strcmp(r->m->domain, n->settings->instance.domain) == 0;
}

static scope_t
scope_of(node_t *n, const conn_t *c)
{
	if (c->role == CONN_ENTRY)
		return SCOPE_ALL;
	if (!is_own_domain_member(n, c->peer))
		return SCOPE_OWN_DOMAIN;
	return c->nearer_root ? SCOPE_UPSTREAM : SCOPE_ALL;
}

/*
 * Does the view get a record about @p member?
 * @param from connection that brought the record
 */
static bool
in_scope(node_t *n, const view_builder_t *b, const char *member, handle_t from)
{
	const conn_t *by = from == 0 ? NULL : net_find(n->net, from);

	if (by == b->c)
		return false;
	switch (b->scope) {
	case SCOPE_ALL:
		return true;
	case SCOPE_UPSTREAM:
		return by == NULL || !by->nearer_root;
	case SCOPE_OWN_DOMAIN:
		return is_own_domain_member(n, member);
	}
	return false;
}

static void
add_urgent(node_t *n, view_builder_t *b, const record_t *rec)
{
	const member_t *m = (const member_t *)rec;
	const worker_t *w = (const worker_t *)rec;
	const digest_t *d = (const digest_t *)rec;

	switch (rec->kind) {
	case RECORD_MEMBER:
		if (m->m->incarnation != 0 &&
		    in_scope(n, b, m->m->id, rec->from))
			add_member(n, b, m);
		break;
	case RECORD_WORKER:
		if (b->scope != SCOPE_OWN_DOMAIN &&
		    !in_scope(n, b, w->w->id, rec->from))
			break;
		g_ptr_array_add(b->workers, w->msg->m);
		view_builder_grew(n, b, w->msg->m);
		break;
	case RECORD_DIGEST:
		if (in_scope(n, b, d->d->broker, rec->from))
			add_digest(n, b, d, false);
		break;
	}
}

static void
add_urgent_changes(node_t *n, view_builder_t *b, uint64_t since)
{
	GList *l;

	for (l = n->store->by_urgent_change.head; l != NULL; l = l->next) {
		const record_t *rec = l->data;

		if (rec->urgent_change <= since)
			break;
		add_urgent(n, b, rec);
	}
}

/* Load, catalogue in force, waits and free slots; of own or other domains. */
static void
add_stats_changes(node_t *n, view_builder_t *b, bool own, uint64_t since)
{
	const char *member;
	GList *l;

	for (l = n->store->by_stats_change.head; l != NULL; l = l->next) {
		const record_t *rec = l->data;

		if (rec->stats_change <= since)
			break;
		if (rec->stats_change < rec->urgent_change)
			continue;
		member = rec->kind == RECORD_MEMBER
			     ? ((const member_t *)rec)->m->id
			     : ((const digest_t *)rec)->d->broker;
		if (is_own_domain_member(n, member) != own ||
		    !in_scope(n, b, member, rec->from))
			continue;
		if (rec->kind == RECORD_MEMBER)
			add_member(n, b, (const member_t *)rec);
		else
			add_digest(n, b, (const digest_t *)rec, true);
	}
}

/* Does the peer get load statistics? Of the upstreams only the primary does. */
static bool
wants_stats(node_t *n, const conn_t *c)
{
	if (c->role == CONN_ENTRY || !c->nearer_root)
		return c->relay.subscribed;
	return n->primary != NULL && n->primary->conn == c;
}

static bool
stats_are_due(node_t *n, const conn_t *c, int i)
{
	return c->role == CONN_ENTRY ||
	       (wants_stats(n, c) && n->now >= c->relay.stats_due[i]);
}

static int
stats_conn_count(node_t *n)
{
	conn_t *c;
	int count = 0;

	for (c = net_first(n->net); c != NULL; c = c->next)
		count += c->role == CONN_NODE && wants_stats(n, c);
	return count;
}

static void
add_due_stats(node_t *n, view_builder_t *b, int i)
{
	relay_t *r = &b->c->relay;
	size_t before = b->total;
	ms_t span;

	add_stats_changes(n, b, i == 0, r->stats_sent[i]);
	r->stats_sent[i] = n->store->change;
	/* Limits the rate: the more bytes, the longer the interval. */
	span = (ms_t)((b->total - before) * 1000 / STATS_BYTES_PER_S) *
	       stats_conn_count(n);
	if (span < n->settings->peer.heartbeat_ms)
		span = n->settings->peer.heartbeat_ms;
	r->stats_due[i] = n->now + span;
}

void
relay_send_changes(node_t *n, conn_t *c, bool with_stats)
{
	view_builder_t b = { .c = c,
		.scope = scope_of(n, c),
		.members = g_ptr_array_new_with_free_func(free),
		.workers = g_ptr_array_new(),
		.digests = g_ptr_array_new_with_free_func(digest_copy_free) };
	uint64_t since = c->relay.urgent_sent;
	bool first = c->relay.sent_at == 0;
	int i;

	/* Changes that sending makes to the store are left for later. */
	c->relay.urgent_sent = n->store->change;
	add_urgent_changes(n, &b, since);
	for (i = 0; with_stats && i < 2; i++)
		if (stats_are_due(n, c, i))
			add_due_stats(n, &b, i);
	if (b.members->len + b.workers->len + b.digests->len > 0 || first ||
	    c->role == CONN_ENTRY)
		view_builder_send(n, &b);
	g_ptr_array_free(b.members, TRUE);
	g_ptr_array_free(b.workers, TRUE);
	g_ptr_array_free(b.digests, TRUE);
}

void
relay_merge_view(node_t *n, const Wire__View *v)
{
	size_t i;

	for (i = 0; i < v->n_member; i++)
		member_merge(n, v->member[i]);
	for (i = 0; i < v->n_worker; i++)
		store_merge_worker(n->store, v->worker[i]);
	for (i = 0; i < v->n_digest; i++)
		store_merge_digest(n->store, v->digest[i]);
	if (v->workers_known)
		n->store->workers_known = true;
}

/* When an urgent change or load statistics have to be sent. */
static ms_t
conn_due(node_t *n, const conn_t *c)
{
	ms_t due = n->now + n->settings->peer.heartbeat_ms;
	ms_t delay =
	    c->role == CONN_ENTRY ? n->settings->peer.view_ms : URGENT_DELAY_MS;
	int i;

	if (c->role == CONN_ENTRY)
		due = c->relay.sent_at + n->settings->peer.heartbeat_ms;
	if (c->role == CONN_ENTRY
		? n->store->change > c->relay.urgent_sent
		: n->store->urgent_change > c->relay.urgent_sent)
		return c->relay.sent_at + delay;
	for (i = 0; c->role == CONN_NODE && wants_stats(n, c) && i < 2; i++)
		if (n->store->change > c->relay.stats_sent[i] &&
		    c->relay.stats_due[i] < due)
			due = c->relay.stats_due[i];
	return due;
}

static bool
gets_views(const conn_t *c)
{
	if (c->state != CONN_OPEN || c->unneeded)
		return false;
	return c->role == CONN_NODE ||
	       (c->role == CONN_ENTRY && c->relay.subscribed);
}

void
relay_tick(node_t *n)
{
	conn_t *c;

	for (c = net_first(n->net); c != NULL; c = c->next)
		if (gets_views(c) && n->now >= conn_due(n, c))
			relay_send_changes(n, c, true);
}

ms_t
relay_due(node_t *n)
{
	ms_t due = n->now + n->settings->peer.heartbeat_ms, at;
	conn_t *c;

	for (c = net_first(n->net); c != NULL; c = c->next) {
		if (!gets_views(c))
			continue;
		at = conn_due(n, c);
		if (at < due)
			due = at;
	}
	return due;
}
