#include "peer/store.h"

#include <stdlib.h>
#include <string.h>

enum {
	/* of a gone member's record; workers and digests 10 times as long */
	GONE_RETENTION_MS = 60000,
	MISSING_LIMIT_MS = 10000, /* absent from our lists: gone */
	BACKOFF_MIN_MS = 50,	  /* before a member is dialled again */
	BACKOFF_MAX_MS = 2000,
};

msg_t *
msg_copy(const void *m)
{
	const ProtobufCMessage *from = m;
	size_t n = protobuf_c_message_get_packed_size(from);
	uint8_t *buf = malloc(n + 1);
	msg_t *c = calloc(1, sizeof(*c));

	protobuf_c_message_pack(from, buf);
	c->refs = 1;
	c->m = protobuf_c_message_unpack(from->descriptor, NULL, n, buf);
	free(buf);
	return c;
}

msg_t *
msg_ref(msg_t *m)
{
	__atomic_add_fetch(&m->refs, 1, __ATOMIC_RELAXED);
	return m;
}

void
msg_unref(msg_t *m)
{
	if (m == NULL || __atomic_sub_fetch(&m->refs, 1, __ATOMIC_ACQ_REL) > 0)
		return;
	protobuf_c_message_free_unpacked(m->m, NULL);
	free(m);
}

static void
record_init(record_t *r, store_t *s, record_kind_t kind)
{
	r->kind = kind;
	r->store = s;
	r->urgent_link.data = r->stats_link.data = r;
}

static void
record_unlink(record_t *r)
{
	if (r->urgent_change != 0)
		g_queue_unlink(&r->store->by_urgent_change, &r->urgent_link);
	if (r->stats_change != 0)
		g_queue_unlink(&r->store->by_stats_change, &r->stats_link);
}

static void
mark_urgent_change(store_t *s, record_t *r)
{
	if (r->urgent_change != 0)
		g_queue_unlink(&s->by_urgent_change, &r->urgent_link);
	g_queue_push_head_link(&s->by_urgent_change, &r->urgent_link);
	r->urgent_change = s->urgent_change = ++s->change;
	r->from = s->from;
}

static void
mark_stats_change(store_t *s, record_t *r)
{
	if (r->stats_change != 0)
		g_queue_unlink(&s->by_stats_change, &r->stats_link);
	g_queue_push_head_link(&s->by_stats_change, &r->stats_link);
	r->stats_change = ++s->change;
	r->from = s->from;
}

static void
member_free(void *p)
{
	member_t *r = p;

	record_unlink(&r->rec);
	msg_unref(r->msg);
	free(r);
}

static void
worker_free(void *p)
{
	worker_t *r = p;

	record_unlink(&r->rec);
	msg_unref(r->msg);
	free(r);
}

static void
digest_free(void *p)
{
	digest_t *r = p;

	record_unlink(&r->rec);
	msg_unref(r->msg);
	free(r);
}

store_t *
store_new(const msclock_t *clock, int shard_workers)
{
	store_t *s = calloc(1, sizeof(*s));

	s->clock = clock;
	s->shard_workers = shard_workers;
	s->member =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, member_free);
	s->worker =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, worker_free);
	s->digest =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, digest_free);
	g_queue_init(&s->by_urgent_change);
	g_queue_init(&s->by_stats_change);
	s->shards_stale = true;
	return s;
}

void
store_free(store_t *s)
{
	if (s == NULL)
		return;
	g_hash_table_destroy(s->member);
	g_hash_table_destroy(s->worker);
	g_hash_table_destroy(s->digest);
	free(s->sorted_workers);
	free(s->sorted_records);
	free(s->shard);
	free(s);
}

static bool
is_id(const char *s)
{
	return *s != '\0' && strlen(s) < ID_MAX;
}

member_t *
store_find_member(store_t *s, const char *id)
{
	return g_hash_table_lookup(s->member, id);
}

bool
member_live(const member_t *r)
{
	return r->msg != NULL && !r->m->gone;
}

bool
member_leaving(const member_t *r)
{
	return r->msg != NULL &&
	       (r->m->leaving || r->m->incarnation <= r->left_incarnation);
}

static member_t *
find_or_add_member(store_t *s, const char *id)
{
	member_t *r = store_find_member(s, id);

	if (r != NULL)
		return r;
	r = calloc(1, sizeof(*r));
	record_init(&r->rec, s, RECORD_MEMBER);
	r->backoff = (backoff_t){ BACKOFF_MIN_MS, BACKOFF_MAX_MS, 0 };
	g_hash_table_insert(s->member, g_strdup(id), r);
	return r;
}

/* Replace a member's record; an empty field keeps its old value. */
static void
replace_member(store_t *s, member_t *r, const Wire__Member *m)
{
	Wire__Member n = *m;
	const Wire__Member *old = r->m;
	msg_t *msg;
	bool stats_changed;

	if (old != NULL) {
		if (*n.domain == '\0')
			n.domain = old->domain;
		if (*n.caller_addr == '\0')
			n.caller_addr = old->caller_addr;
		if (*n.peer_addr == '\0')
			n.peer_addr = old->peer_addr;
		if (*n.operator_addr == '\0')
			n.operator_addr = old->operator_addr;
		n.leaving |= old->incarnation == n.incarnation && old->leaving;
	}
	if (n.incarnation <= r->left_incarnation)
		n.leaving = true;
	stats_changed =
	    old == NULL || old->load != n.load || old->in_force != n.in_force;
	if (old == NULL || old->incarnation != n.incarnation ||
	    old->leaving != n.leaving || old->gone != n.gone ||
	    strcmp(old->domain, n.domain) != 0 ||
	    strcmp(old->peer_addr, n.peer_addr) != 0 || r->announce) {
		mark_urgent_change(s, &r->rec);
		r->announce = false;
		s->shards_stale = true;
	} else if (stats_changed) {
		mark_stats_change(s, &r->rec);
	} else {
		return;
	}
	msg = msg_copy(&n);
	msg_unref(r->msg);
	r->msg = msg;
	r->m = (const Wire__Member *)msg->m;
}

member_t *
store_merge_member(store_t *s, const Wire__Member *m)
{
	member_t *r;

	if (m == NULL || !is_id(m->id) || strlen(m->domain) >= ID_MAX ||
	    m->incarnation == 0)
		return NULL;
	r = store_find_member(s, m->id);
	if (r == NULL || r->msg == NULL) {
		if (!is_id(m->domain))
			return NULL;
		r = find_or_add_member(s, m->id);
	} else if (m->incarnation < r->m->incarnation) {
		return r;
	} else if (m->incarnation == r->m->incarnation) {
		/* A peer lost contact to a member that we hear. */
		if (m->gone && !r->m->gone &&
		    (m->seq < r->seq || r->conn != NULL)) {
			r->announce = true;
			r->suspect = r->conn == NULL;
			return r;
		}
		if (m->seq < r->seq || (m->seq == r->seq && !m->gone))
			return r;
	}
	r->seq = m->seq;
	r->heard_at = clock_now(s->clock);
	replace_member(s, r, m);
	return r;
}

void
store_mark_gone(store_t *s, member_t *r)
{
	Wire__Member m;

	if (!member_live(r))
		return;
	m = *r->m;
	m.gone = true;
	r->suspect = false;
	r->heard_at = clock_now(s->clock);
	replace_member(s, r, &m);
}

static void
replace_worker(store_t *s, worker_t *r, const Wire__Worker *w)
{
	msg_t *msg = msg_copy(w); /* w may be part of r->msg */

	msg_unref(r->msg);
	r->msg = msg;
	r->w = (const Wire__Worker *)r->msg->m;
	mark_urgent_change(s, &r->rec);
	r->gone_at = w->gone ? clock_now(s->clock) : 0;
	s->shards_stale = true;
}

static worker_t *
find_or_add_worker(store_t *s, const char *id)
{
	worker_t *r = g_hash_table_lookup(s->worker, id);

	if (r != NULL)
		return r;
	r = calloc(1, sizeof(*r));
	record_init(&r->rec, s, RECORD_WORKER);
	g_hash_table_insert(s->worker, g_strdup(id), r);
	return r;
}

void
store_merge_worker(store_t *s, const Wire__Worker *w)
{
	worker_t *r;

	if (!is_id(w->id) || !is_id(w->service) || !is_id(w->domain))
		return;
	r = find_or_add_worker(s, w->id);
	if (r->msg == NULL || w->stamp > r->w->stamp)
		replace_worker(s, r, w);
}

/* The next stamp: the wall clock, but above the last one. */
static uint64_t
next_stamp(const worker_t *r)
{
	uint64_t now = clock_wall();

	if (r->msg != NULL && r->w->stamp >= now)
		return r->w->stamp + 1;
	return now;
}

static uint64_t
instance_hash(const instance_t *i)
{
	char text[ID_MAX * 4];
	int n = snprintf(text, sizeof(text), "%s %s %s %u %u %d", i->service,
	    i->domain, i->addr, i->memory_mb, i->slots, i->leaving);

	return hash64(text, n, 1) | 1;
}

static void
apply_listed_worker(store_t *s, const instance_t *i)
{
	Wire__Worker w = WIRE__WORKER__INIT;
	worker_t *r = find_or_add_worker(s, i->id);
	uint64_t hash = instance_hash(i);

	r->missing_since = 0;
	/* Unchanged in our own lists: a peer's record may be newer. */
	if (r->list_hash == hash && r->msg != NULL)
		return;
	r->list_hash = hash;
	w.id = (char *)i->id;
	w.service = (char *)i->service;
	w.domain = (char *)i->domain;
	w.addr = (char *)i->addr;
	w.memory_mb = i->memory_mb;
	w.slots = i->slots;
	w.leaving = i->leaving;
	w.stamp = next_stamp(r);
	if (r->msg != NULL && !r->w->gone && r->w->leaving == w.leaving &&
	    strcmp(r->w->addr, w.addr) == 0 && r->w->slots == w.slots &&
	    r->w->memory_mb == w.memory_mb)
		return;
	replace_worker(s, r, &w);
}

static void
mark_worker_gone(store_t *s, worker_t *r)
{
	Wire__Worker w = *r->w;

	w.gone = true;
	w.stamp = next_stamp(r);
	r->list_hash = 0;
	r->missing_since = 0;
	replace_worker(s, r, &w);
}

static void
apply_listed_entry(store_t *s, const instance_t *i)
{
	member_t *r = find_or_add_member(s, i->id);
	Wire__Member m = WIRE__MEMBER__INIT;

	r->listed = true;
	if (!i->leaving) {
		r->left_incarnation = 0;
	} else if (r->msg != NULL && r->left_incarnation == 0) {
		r->left_incarnation = r->m->incarnation;
		m = *r->m;
		replace_member(s, r, &m);
	}
	/* Adds an address to dial; the member is gone until it is heard. */
	if (r->msg != NULL)
		return;
	m.id = (char *)i->id;
	m.domain = (char *)i->domain;
	m.caller_addr = (char *)i->addr;
	m.peer_addr = (char *)i->peer_addr;
	m.operator_addr = (char *)i->operator_addr;
	m.gone = true;
	replace_member(s, r, &m);
}

void
store_apply_list(store_t *s, const instances_t *l)
{
	GHashTable *listed = g_hash_table_new(g_str_hash, g_str_equal);
	ms_t now = clock_now(s->clock);
	GHashTableIter it;
	void *value;
	int i;

	g_hash_table_iter_init(&it, s->member);
	while (g_hash_table_iter_next(&it, NULL, &value))
		((member_t *)value)->listed = false;
	for (i = 0; i < l->n; i++) {
		const instance_t *e = &l->item[i];

		if (!is_id(e->id) || !is_id(e->domain))
			continue;
		if (e->role == ROLE_ENTRY) {
			apply_listed_entry(s, e);
		} else if (is_id(e->service)) {
			apply_listed_worker(s, e);
			g_hash_table_add(listed, (void *)e->id);
		}
	}
	g_hash_table_iter_init(&it, s->worker);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		worker_t *r = value;

		if (r->msg == NULL || r->w->gone ||
		    g_hash_table_contains(listed, r->w->id))
			continue;
		if (r->missing_since == 0)
			r->missing_since = now;
		if (r->list_hash != 0 ||
		    now - r->missing_since > MISSING_LIMIT_MS)
			mark_worker_gone(s, r);
	}
	g_hash_table_destroy(listed);
	s->workers_known = true;
}

static bool
same_residents(const Wire__Digest *x, const Wire__Digest *y)
{
	return x->term == y->term && x->residents_hash == y->residents_hash &&
	       x->n_worker == y->n_worker;
}

/* Complete a partial digest with a full one of the same residents. */
static msg_t *
merge_partial_digest(const Wire__Digest *old, const Wire__Digest *d)
{
	Wire__Digest n = *d;
	Wire__WorkerLoad *load = calloc(d->n_worker + 1, sizeof(*load));
	Wire__WorkerLoad **row = calloc(d->n_worker + 1, sizeof(void *));
	msg_t *m;
	size_t i;

	for (i = 0; i < d->n_worker; i++) {
		load[i] = *d->worker[i];
		load[i].worker = old->worker[i]->worker;
		load[i].ejected = old->worker[i]->ejected;
		load[i].n_resident = old->worker[i]->n_resident;
		load[i].resident = old->worker[i]->resident;
		row[i] = &load[i];
	}
	n.worker = row;
	n.partial = false;
	m = msg_copy(&n);
	free(load);
	free(row);
	return m;
}

void
store_merge_digest(store_t *s, const Wire__Digest *d)
{
	char key[SHARD_KEY_MAX];
	digest_t *r;
	msg_t *m;

	if (!is_id(d->service) || !is_id(d->domain) || !is_id(d->broker))
		return;
	shard_key(key, d->service, d->domain, d->index);
	r = g_hash_table_lookup(s->digest, key);
	if (r != NULL && (d->term < r->d->term ||
			     (d->term == r->d->term && d->seq <= r->d->seq)))
		return;
	if (d->partial && (r == NULL || !same_residents(r->d, d)))
		return;
	m = d->partial ? merge_partial_digest(r->d, d) : msg_copy(d);
	if (r == NULL) {
		r = calloc(1, sizeof(*r));
		record_init(&r->rec, s, RECORD_DIGEST);
		g_hash_table_insert(s->digest, g_strdup(key), r);
	}
	if (r->msg == NULL || !same_residents(r->d, (const Wire__Digest *)m->m))
		mark_urgent_change(s, &r->rec);
	else
		mark_stats_change(s, &r->rec);
	msg_unref(r->msg);
	r->msg = m;
	r->d = (const Wire__Digest *)m->m;
	r->received_at = clock_now(s->clock);
}

const shard_t *
store_find_shard(
    const store_t *s, const char *service, const char *domain, uint32_t index)
{
	int i;

	for (i = 0; i < s->nshard; i++)
		if (s->shard[i].index == index &&
		    strcmp(s->shard[i].service, service) == 0 &&
		    strcmp(s->shard[i].domain, domain) == 0)
			return &s->shard[i];
	return NULL;
}

const digest_t *
store_find_digest(store_t *s, const shard_t *shard)
{
	char key[SHARD_KEY_MAX];

	return g_hash_table_lookup(s->digest,
	    shard_key(key, shard->service, shard->domain, shard->index));
}

static gboolean
member_expired(void *key, void *value, void *user)
{
	member_t *r = value;
	ms_t now = *(ms_t *)user;

	(void)key;
	return !r->listed && r->conn == NULL && !member_live(r) &&
	       now - r->heard_at > GONE_RETENTION_MS;
}

static gboolean
worker_expired(void *key, void *value, void *user)
{
	worker_t *r = value;
	ms_t now = *(ms_t *)user;

	(void)key;
	return r->gone_at != 0 && now - r->gone_at > 10 * GONE_RETENTION_MS;
}

static gboolean
digest_expired(void *key, void *value, void *user)
{
	digest_t *r = value;
	ms_t now = *(ms_t *)user;

	(void)key;
	return now - r->received_at > 10 * GONE_RETENTION_MS;
}

void
store_purge(store_t *s)
{
	ms_t now = clock_now(s->clock);

	g_hash_table_foreach_remove(s->member, member_expired, &now);
	g_hash_table_foreach_remove(s->worker, worker_expired, &now);
	g_hash_table_foreach_remove(s->digest, digest_expired, &now);
}

Wire__Member **
store_live_members(store_t *s, int *n)
{
	Wire__Member **m =
	    calloc(g_hash_table_size(s->member) + 1, sizeof(void *));
	GHashTableIter it;
	void *value;

	*n = 0;
	g_hash_table_iter_init(&it, s->member);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		member_t *r = value;

		if (member_live(r))
			m[(*n)++] = (Wire__Member *)r->m;
	}
	return m;
}

void
store_update_shards(store_t *s)
{
	Wire__Member **m;
	GHashTableIter it;
	void *value;
	int n, i;

	if (!s->shards_stale)
		return;
	s->shards_stale = false;
	s->shards_version++;
	free(s->sorted_workers);
	free(s->sorted_records);
	free(s->shard);
	s->sorted_workers =
	    calloc(g_hash_table_size(s->worker) + 1, sizeof(Wire__Worker *));
	s->nworker = 0;
	g_hash_table_iter_init(&it, s->worker);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		worker_t *r = value;

		if (r->msg != NULL && !r->w->gone)
			s->sorted_workers[s->nworker++] = (Wire__Worker *)r->w;
	}
	s->shard = shards_make(
	    s->sorted_workers, s->nworker, s->shard_workers, &s->nshard);
	s->sorted_records = calloc(s->nworker + 1, sizeof(void *));
	for (i = 0; i < s->nworker; i++)
		s->sorted_records[i] =
		    g_hash_table_lookup(s->worker, s->sorted_workers[i]->id);
	m = store_live_members(s, &n);
	shards_assign_brokers(s->shard, s->nshard, m, n);
	free(m);
}

static void *
share_msg(view_t *v, msg_t *m)
{
	v->shared_msgs[v->nshared_msgs++] = msg_ref(m);
	return m->m;
}

ms_t
view_interval(ms_t cost)
{
	ms_t span = cost * VIEW_INTERVAL_FACTOR;

	return span < VIEW_INTERVAL_MAX_MS ? span : VIEW_INTERVAL_MAX_MS;
}

view_t *
store_make_view(store_t *s, catalogue_t *c)
{
	view_t *v = calloc(1, sizeof(*v));
	Wire__View *w = calloc(1, sizeof(*w));
	GHashTableIter it;
	void *value;
	int i;

	store_update_shards(s);
	wire__view__init(w);
	w->member = calloc(g_hash_table_size(s->member) + 1, sizeof(void *));
	w->worker = calloc(s->nworker + 1, sizeof(void *));
	w->digest = calloc(s->nshard + 1, sizeof(void *));
	v->shared_msgs =
	    calloc(g_hash_table_size(s->member) + s->nworker + s->nshard + 1,
		sizeof(msg_t *));
	g_hash_table_iter_init(&it, s->member);
	while (g_hash_table_iter_next(&it, NULL, &value))
		if (member_live(value))
			w->member[w->n_member++] =
			    share_msg(v, ((member_t *)value)->msg);
	for (i = 0; i < s->nworker; i++)
		w->worker[w->n_worker++] =
		    share_msg(v, s->sorted_records[i]->msg);
	w->workers_known = s->workers_known;
	w->catalogue = c->number;
	v->wire = w;
	v->refs = 1;
	v->catalogue = catalogue_ref(c);
	v->nshard = s->nshard;
	v->shard = calloc(s->nshard + 1, sizeof(*v->shard));
	memcpy(v->shard, s->shard, s->nshard * sizeof(*v->shard));
	for (i = 0; i < v->nshard; i++) {
		const digest_t *r = store_find_digest(s, &v->shard[i]);

		if (r == NULL)
			continue;
		v->shard[i].digest = share_msg(v, r->msg);
		v->shard[i].digest_at = r->received_at;
		w->digest[w->n_digest++] = (Wire__Digest *)r->d;
	}
	return v;
}
