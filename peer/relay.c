#include "peer/node.h"

#include <stdlib.h>
#include <string.h>

enum {
	CHUNK_BYTES = 128 * 1024, /* of a view; then another is begun */
	/* a second, over all connections, for each scope of figures */
	FIGURES_BYTES = 3072,
	FLUSH_MS = 20, /* gathers urgent changes for nodes */
};

/* Which records a connection gets; never those that came by it. */
typedef enum scope {
	SCOPE_ALL,    /* an entryd, a member below */
	SCOPE_ABOVE,  /* a member above: what didn't come from above */
	SCOPE_DOMAIN, /* another domain's: what this domain says of itself */
} scope_t;

/* A view being gathered for one connection. */
typedef struct batch {
	conn_t *c;
	scope_t scope;
	GPtrArray *member, *worker, *digest;
	size_t bytes, total;
} batch_t;

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
batch_send(node_t *n, batch_t *b)
{
	Wire__Frame f = WIRE__FRAME__INIT;
	Wire__View v = WIRE__VIEW__INIT;

	v.member = (Wire__Member **)b->member->pdata;
	v.n_member = b->member->len;
	v.worker = (Wire__Worker **)b->worker->pdata;
	v.n_worker = b->worker->len;
	v.digest = (Wire__Digest **)b->digest->pdata;
	v.n_digest = b->digest->len;
	v.workers_known = n->store->workers_known;
	v.catalogue = n->catalogue->number;
	f.version = WIRE_VERSION;
	f.body_case = WIRE__FRAME__BODY_VIEW;
	f.view = &v;
	conn_send(b->c, &f);
	b->c->relay.sent_at = n->now;
	g_ptr_array_set_size(b->member, 0);
	g_ptr_array_set_size(b->worker, 0);
	g_ptr_array_set_size(b->digest, 0);
	b->bytes = 0;
}

static void
grow(node_t *n, batch_t *b, const void *message)
{
	size_t size = protobuf_c_message_get_packed_size(message);

	b->bytes += size;
	b->total += size;
	if (b->bytes > CHUNK_BYTES)
		batch_send(n, b);
}

static void
add_member(node_t *n, batch_t *b, const member_t *r)
{
	Wire__Member *m = malloc(sizeof(*m));

	*m = *r->m;
	m->seq = r->seq;
	g_ptr_array_add(b->member, m);
	grow(n, b, m);
}

/* Partial: the receiver has names and residents from a whole one. */
static void
add_digest(node_t *n, batch_t *b, const digest_t *r, bool partial)
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
	g_ptr_array_add(b->digest, d);
	grow(n, b, d);
}

static bool
of_own_domain(node_t *n, const char *id)
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
	if (!of_own_domain(n, c->peer))
		return SCOPE_DOMAIN;
	return c->nearer_root ? SCOPE_ABOVE : SCOPE_ALL;
}

/* @param from connection that the record came by. */
static bool
in_scope(node_t *n, const batch_t *b, const char *member, handle_t from)
{
	const conn_t *by = from == 0 ? NULL : net_find(n->net, from);

	if (by == b->c)
		return false;
	switch (b->scope) {
	case SCOPE_ALL:
		return true;
	case SCOPE_ABOVE:
		return by == NULL || !by->nearer_root;
	case SCOPE_DOMAIN:
		return of_own_domain(n, member);
	}
	return false;
}

static void
add_urgent(node_t *n, batch_t *b, const record_t *rec)
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
		if (b->scope != SCOPE_DOMAIN &&
		    !in_scope(n, b, w->w->id, rec->from))
			break;
		g_ptr_array_add(b->worker, w->msg->m);
		grow(n, b, w->msg->m);
		break;
	case RECORD_DIGEST:
		if (in_scope(n, b, d->d->broker, rec->from))
			add_digest(n, b, d, false);
		break;
	}
}

static void
fill_urgent(node_t *n, batch_t *b, uint64_t since)
{
	GList *l;

	for (l = n->store->by_urgent_change.head; l != NULL; l = l->next) {
		const record_t *rec = l->data;

		if (rec->urgent_change <= since)
			break;
		add_urgent(n, b, rec);
	}
}

/* Loads and in-force numbers, waits and free slots, of one scope of two. */
static void
fill_figures(node_t *n, batch_t *b, bool own, uint64_t since)
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
		if (of_own_domain(n, member) != own ||
		    !in_scope(n, b, member, rec->from))
			continue;
		if (rec->kind == RECORD_MEMBER)
			add_member(n, b, (const member_t *)rec);
		else
			add_digest(n, b, (const digest_t *)rec, true);
	}
}

/* Does it get figures? Above, only the primary does. */
static bool
figures_wanted(node_t *n, const conn_t *c)
{
	if (c->role == CONN_ENTRY || !c->nearer_root)
		return c->relay.subscribed;
	return n->primary != NULL && n->primary->conn == c;
}

static bool
figures_due(node_t *n, const conn_t *c, int i)
{
	return c->role == CONN_ENTRY ||
	       (figures_wanted(n, c) && n->now >= c->relay.stats_due[i]);
}

static int
figures_conns(node_t *n)
{
	conn_t *c;
	int count = 0;

	for (c = net_first(n->net); c != NULL; c = c->next)
		count += c->role == CONN_NODE && figures_wanted(n, c);
	return count;
}

static void
send_figures(node_t *n, batch_t *b, int i)
{
	relay_t *r = &b->c->relay;
	size_t before = b->total;
	ms_t span;

	fill_figures(n, b, i == 0, r->stats_sent[i]);
	r->stats_sent[i] = n->store->change;
	/* The more there is to tell, the less often it is told. */
	span = (ms_t)((b->total - before) * 1000 / FIGURES_BYTES) *
	       figures_conns(n);
	if (span < n->settings->peer.heartbeat_ms)
		span = n->settings->peer.heartbeat_ms;
	r->stats_due[i] = n->now + span;
}

void
relay_send_changes(node_t *n, conn_t *c, bool with_figures)
{
	batch_t b = { .c = c,
		.scope = scope_of(n, c),
		.member = g_ptr_array_new_with_free_func(free),
		.worker = g_ptr_array_new(),
		.digest = g_ptr_array_new_with_free_func(digest_copy_free) };
	uint64_t since = c->relay.urgent_sent;
	bool first = c->relay.sent_at == 0;
	int i;

	/* All that is in the store by now, whatever is put in by sending. */
	c->relay.urgent_sent = n->store->change;
	fill_urgent(n, &b, since);
	for (i = 0; with_figures && i < 2; i++)
		if (figures_due(n, c, i))
			send_figures(n, &b, i);
	if (b.member->len + b.worker->len + b.digest->len > 0 || first ||
	    c->role == CONN_ENTRY)
		batch_send(n, &b);
	g_ptr_array_free(b.member, TRUE);
	g_ptr_array_free(b.worker, TRUE);
	g_ptr_array_free(b.digest, TRUE);
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

/* Something urgent, or a figure whose turn it is, hasn't been sent. */
static ms_t
conn_due(node_t *n, const conn_t *c)
{
	ms_t due = n->now + n->settings->peer.heartbeat_ms;
	ms_t gather =
	    c->role == CONN_ENTRY ? n->settings->peer.view_ms : FLUSH_MS;
	int i;

	if (c->role == CONN_ENTRY)
		due = c->relay.sent_at + n->settings->peer.heartbeat_ms;
	if (c->role == CONN_ENTRY
		? n->store->change > c->relay.urgent_sent
		: n->store->urgent_change > c->relay.urgent_sent)
		return c->relay.sent_at + gather;
	for (i = 0; c->role == CONN_NODE && figures_wanted(n, c) && i < 2; i++)
		if (n->store->change > c->relay.stats_sent[i] &&
		    c->relay.stats_due[i] < due)
			due = c->relay.stats_due[i];
	return due;
}

static bool
is_relayed(const conn_t *c)
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
		if (is_relayed(c) && n->now >= conn_due(n, c))
			relay_send_changes(n, c, true);
}

ms_t
relay_due(node_t *n)
{
	ms_t due = n->now + n->settings->peer.heartbeat_ms, at;
	conn_t *c;

	for (c = net_first(n->net); c != NULL; c = c->next) {
		if (!is_relayed(c))
			continue;
		at = conn_due(n, c);
		if (at < due)
			due = at;
	}
	return due;
}
