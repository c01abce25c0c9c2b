#include "peer/broker.h"

#include <stdlib.h>
#include <string.h>

enum {
	REQUESTS_MAX = 65536,
	FIRST_REPORT_WAIT_MS = 400, /* requests wait for first reports */
	STAND_IN_IDLE_MS = 5000,    /* a stand-in closes an unused shard */
	TICK_MAX_MS = 1000,	    /* between two ticks, at most */
	RETRY_AFTER_MS = 50,	    /* if another broker may grant it */
};

typedef struct slot_request {
	handle_t conn;
	uint64_t call;
	char request[ID_MAX];
	broker_t *broker;
	bool waiting_for_reports;
	admit_request_t admit;
	char adapter[ID_MAX];
} slot_request_t;

struct brokers {
	brokers_opts_t o;
	GHashTable *shards; /* key -> broker_t */
	table_t *requests;
	bool leaving;
	bool targets_changed;
	uint64_t shards_version; /* the store's, last applied */
	ms_t followed_at;
	uint64_t seed;
	counter_t *requested, *granted, *refused, *sent_on;
};

static void
worker_report_free(void *p)
{
	worker_report_t *r = p;

	load_report_free(r->last_report);
	free(r);
}

static void
broker_free(void *p)
{
	broker_t *k = p;

	admit_free(k->admit);
	g_hash_table_destroy(k->worker);
	g_hash_table_destroy(k->demand);
	free(k);
}

brokers_t *
brokers_new(const brokers_opts_t *o)
{
	brokers_t *b = calloc(1, sizeof(*b));

	b->o = *o;
	b->shards =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, broker_free);
	b->requests = table_new(sizeof(slot_request_t), REQUESTS_MAX);
	b->seed = hash_str(o->self, (uint64_t)clock_wall());
	b->requested = counter_get("broker_asks_total", "asks for a slot");
	b->granted = counter_get("broker_grants_total", "slots granted");
	b->refused = counter_get("broker_refusals_total", "asks refused");
	b->sent_on = counter_get(
	    "broker_sent_on_total", "asks sent on to another broker");
	return b;
}

void
brokers_free(brokers_t *b)
{
	if (b == NULL)
		return;
	g_hash_table_destroy(b->shards);
	table_free(b->requests);
	free(b);
}

/* Refuse a request that another broker may grant. */
static void
refuse(brokers_t *b, handle_t conn, uint64_t call, slot_outcome_t how)
{
	Wire__SlotAnswer a = WIRE__SLOT_ANSWER__INIT;

	a.outcome = how;
	a.retry_after_ms = RETRY_AFTER_MS;
	counter_add(b->sent_on, 1);
	b->o.answer(b->o.user, conn, call, &a);
}

/* Version of the model that the worker last reported as ready. */
static uint64_t
version_at(const worker_report_t *r, const char *model)
{
	int i;

	if (r == NULL || r->last_report == NULL)
		return 0;
	for (i = 0; i < r->last_report->nresident; i++) {
		const resident_t *x = &r->last_report->resident[i];

		if (x->state == RESIDENT_READY && x->adapter[0] == '\0' &&
		    strcmp(x->model, model) == 0)
			return x->version;
	}
	return 0;
}

static slot_request_t *
request_get(brokers_t *b, uint64_t tag)
{
	return table_get(b->requests, tag);
}

static bool
all_polled(const broker_t *k)
{
	GHashTableIter it;
	void *value;

	g_hash_table_iter_init(&it, k->worker);
	while (g_hash_table_iter_next(&it, NULL, &value))
		if (!((worker_report_t *)value)->polled)
			return false;
	return true;
}

/* Set k's workers to those of the shard. */
static void
set_workers(brokers_t *b, broker_t *k, const shard_t *s)
{
	GHashTable *now = g_hash_table_new(g_str_hash, g_str_equal);
	GHashTableIter it;
	void *key, *value;
	int i;

	for (i = s->first; i < s->first + s->n; i++) {
		const Wire__Worker *w = b->o.store->sorted_workers[i];
		worker_report_t *r = g_hash_table_lookup(k->worker, w->id);

		g_hash_table_add(now, w->id);
		if (r == NULL) {
			r = calloc(1, sizeof(*r));
			g_hash_table_insert(k->worker, g_strdup(w->id), r);
			b->targets_changed = true;
		}
		if (strcmp(r->addr, w->addr) != 0)
			b->targets_changed = true;
		str_set(r->addr, sizeof(r->addr), w->addr);
	}
	g_hash_table_iter_init(&it, k->worker);
	while (g_hash_table_iter_next(&it, &key, &value)) {
		if (g_hash_table_contains(now, key))
			continue;
		admit_remove_worker(k->admit, key);
		g_hash_table_iter_remove(&it);
		b->targets_changed = true;
	}
	g_hash_table_destroy(now);
}

static broker_t *
open_shard(brokers_t *b, const shard_t *s, bool owner)
{
	const settings_t *set = b->o.settings;
	admit_opts_t o = { .queue_max = (int)set->broker.queue_max,
		.grant_ms = set->broker.grant_ms,
		.retry_share = set->broker.retry_share,
		.seed = b->seed++ };
	broker_t *k = calloc(1, sizeof(*k));

	shard_key(k->key, s->service, s->domain, s->index);
	str_set(k->service, sizeof(k->service), s->service);
	str_set(k->domain, sizeof(k->domain), s->domain);
	k->index = s->index;
	k->owner = owner;
	k->started_at = k->last_request_at = clock_now(b->o.clock);
	k->term = clock_wall();
	k->admit = admit_new(&o);
	k->worker = g_hash_table_new_full(
	    g_str_hash, g_str_equal, g_free, worker_report_free);
	k->demand =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free);
	g_hash_table_insert(b->shards, k->key, k);
	set_workers(b, k, s);
	log_event(LOG_INFO, "shard_taken", "shard=%s owner=%d workers=%d",
	    k->key, owner, s->n);
	return k;
}

/* Reject the waiting requests of k, or of all brokers if it is NULL. */
static void
reject_waiting(brokers_t *b, const broker_t *k, slot_outcome_t how)
{
	handle_t h, after;
	slot_request_t *a, was;

	for (h = table_next(b->requests, 0); h != 0; h = after) {
		after = table_next(b->requests, h);
		a = table_get(b->requests, h);
		if (k != NULL && a->broker != k)
			continue;
		was = *a;
		if (!was.waiting_for_reports)
			admit_cancel(
			    was.broker->admit, h, clock_now(b->o.clock));
		table_del(b->requests, h);
		refuse(b, was.conn, was.call, how);
	}
}

static gboolean
drop_if_unneeded(void *key, void *value, void *user)
{
	brokers_t *b = user;
	broker_t *k = value;
	ms_t now = clock_now(b->o.clock);
	const shard_t *s;
	bool idle, was_owner = k->owner;

	(void)key;
	s = store_find_shard(b->o.store, k->service, k->domain, k->index);
	k->owner = s != NULL && strcmp(s->broker, b->o.self) == 0;
	idle = now - k->last_request_at > STAND_IN_IDLE_MS &&
	       admit_queue_length(k->admit) == 0;
	if (s != NULL)
		set_workers(b, k, s);
	/* Two brokers would grant the same slots: hand over at once. */
	if (s != NULL && (k->owner || (!was_owner && !idle)))
		return FALSE;
	reject_waiting(b, k, SLOT_NOT_OWNER);
	b->targets_changed = true;
	log_event(LOG_INFO, "shard_given_up", "shard=%s", k->key);
	return TRUE;
}

/* Open and give up shards as the store assigns them. */
static void
follow_shards(brokers_t *b)
{
	store_t *s = b->o.store;
	ms_t now = clock_now(b->o.clock);
	char key[SHARD_KEY_MAX];
	int i;

	store_update_shards(s);
	if (b->shards_version == s->shards_version &&
	    now - b->followed_at < TICK_MAX_MS)
		return;
	b->shards_version = s->shards_version;
	b->followed_at = now;
	g_hash_table_foreach_remove(b->shards, drop_if_unneeded, b);
	for (i = 0; i < s->nshard; i++) {
		const shard_t *d = &s->shard[i];

		if (strcmp(d->broker, b->o.self) != 0 || b->leaving)
			continue;
		shard_key(key, d->service, d->domain, d->index);
		if (g_hash_table_lookup(b->shards, key) == NULL)
			open_shard(b, d, true);
	}
}

static bool
was_tried(const Wire__SlotRequest *req, const char *id)
{
	size_t i;

	for (i = 0; i < req->n_tried_brokers; i++)
		if (strcmp(req->tried_brokers[i], id) == 0)
			return true;
	return false;
}

/* Is this node the broker if those that didn't answer are left out? */
static bool
is_stand_in(brokers_t *b, const shard_t *s, const Wire__SlotRequest *req)
{
	char key[SHARD_KEY_MAX];
	Wire__Member **m;
	int n, rank, i;
	bool mine = false;

	if (req->n_tried_brokers == 0 || !was_tried(req, s->broker))
		return false;
	shard_key(key, s->service, s->domain, s->index);
	m = store_live_members(b->o.store, &n);
	for (rank = 0; rank < n; rank++) {
		i = members_rank(key, s->domain, m, n, rank);
		if (i == -1 || !was_tried(req, m[i]->id)) {
			mine = i != -1 && strcmp(m[i]->id, b->o.self) == 0;
			break;
		}
	}
	free(m);
	return mine;
}

static broker_t *
find_or_open(brokers_t *b, const Wire__SlotRequest *req)
{
	char key[SHARD_KEY_MAX];
	const shard_t *s;
	broker_t *k;

	store_update_shards(b->o.store);
	s = store_find_shard(b->o.store, req->service, req->domain, req->index);
	if (s == NULL)
		return NULL;
	shard_key(key, s->service, s->domain, s->index);
	k = g_hash_table_lookup(b->shards, key);
	if (strcmp(s->broker, b->o.self) == 0)
		return k != NULL ? k : open_shard(b, s, true);
	if (!is_stand_in(b, s, req))
		return NULL;
	return k != NULL ? k : open_shard(b, s, false);
}

static void
submit(brokers_t *b, slot_request_t *a)
{
	a->waiting_for_reports = false;
	admit_put(a->broker->admit, &a->admit, clock_now(b->o.clock));
}

static void
copy_request(
    admit_request_t *w, const Wire__SlotRequest *req, uint64_t tag, ms_t now)
{
	w->tag = tag;
	str_set(w->item, sizeof(w->item),
	    *req->adapter != '\0' ? req->adapter : req->model);
	str_set(w->model, sizeof(w->model), req->model);
	str_set(w->caller, sizeof(w->caller), req->caller);
	str_set(w->avoid, sizeof(w->avoid), req->avoid);
	w->priority = req->priority;
	w->deadline = now + req->remaining_ms;
	w->prefix = req->prefix;
	w->tokens = req->tokens;
	w->retry = req->retry;
}

/* Send the verdicts of k that are due. */
static void
send_verdicts(brokers_t *b, broker_t *k)
{
	ms_t now = clock_now(b->o.clock);
	admit_verdict_t v;

	while (admit_next(k->admit, &v, now)) {
		Wire__SlotAnswer a = WIRE__SLOT_ANSWER__INIT;
		slot_request_t *q = request_get(b, v.tag), was;
		const worker_report_t *r;

		if (q == NULL) {
			if (v.outcome == SLOT_GRANTED)
				admit_release(k->admit, v.slot, CALL_CANCELLED,
				    -1, 0, now);
			continue;
		}
		was = *q;
		table_del(b->requests, v.tag);
		r = g_hash_table_lookup(k->worker, v.worker);
		a.outcome = v.outcome;
		a.retry_after_ms = (uint32_t)v.retry_after;
		a.wait_ms = (uint32_t)v.wait;
		if (v.outcome == SLOT_GRANTED) {
			a.slot = v.slot;
			a.worker = v.worker;
			a.addr = r == NULL ? "" : (char *)r->addr;
			a.version = version_at(r, was.admit.model);
			a.free = admit_free_slots(k->admit, v.worker);
			counter_add(b->granted, 1);
		} else {
			counter_add(b->refused, 1);
			broker_count_request(
			    k, was.admit.model, was.adapter, true);
		}
		if (!b->o.answer(b->o.user, was.conn, was.call, &a) &&
		    v.outcome == SLOT_GRANTED)
			admit_release(
			    k->admit, v.slot, CALL_CANCELLED, -1, 0, now);
	}
}

void
brokers_request(
    brokers_t *b, handle_t conn, uint64_t call, const Wire__SlotRequest *req)
{
	Wire__SlotAnswer queued = WIRE__SLOT_ANSWER__INIT;
	broker_t *k;
	handle_t h;
	slot_request_t *a;

	counter_add(b->requested, 1);
	if (b->leaving) {
		refuse(b, conn, call, SLOT_LEAVING);
		return;
	}
	k = find_or_open(b, req);
	if (k == NULL) {
		refuse(b, conn, call, SLOT_NOT_OWNER);
		return;
	}
	h = table_add(b->requests);
	if (h == 0) {
		refuse(b, conn, call, SLOT_FULL);
		return;
	}
	a = request_get(b, h);
	a->conn = conn;
	a->call = call;
	a->broker = k;
	a->waiting_for_reports = true;
	str_set(a->request, sizeof(a->request), req->request);
	str_set(a->adapter, sizeof(a->adapter), req->adapter);
	k->last_request_at = clock_now(b->o.clock);
	copy_request(&a->admit, req, h, k->last_request_at);
	broker_count_request(k, a->admit.model, a->adapter, false);
	if (k->ready) {
		submit(b, a);
		send_verdicts(b, k);
	}
	if (request_get(b, h) == NULL)
		return;
	queued.outcome = SLOT_QUEUED;
	b->o.answer(b->o.user, conn, call, &queued);
}

void
brokers_release(brokers_t *b, const Wire__SlotRelease *r)
{
	ms_t now = clock_now(b->o.clock);
	GHashTableIter it;
	void *value;

	g_hash_table_iter_init(&it, b->shards);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		broker_t *k = value;

		if (g_hash_table_lookup(k->worker, r->worker) == NULL)
			continue;
		admit_release(k->admit, r->slot, r->outcome,
		    r->first_ms == 0 ? -1 : (ms_t)r->first_ms, r->tokens, now);
		send_verdicts(b, k);
		return;
	}
}

/* Cancel a connection's requests: those with that id, or all if it is NULL. */
static void
cancel_requests(brokers_t *b, handle_t conn, const char *request)
{
	handle_t h, after;
	slot_request_t *a;

	for (h = table_next(b->requests, 0); h != 0; h = after) {
		after = table_next(b->requests, h);
		a = table_get(b->requests, h);
		if (a->conn != conn ||
		    (request != NULL && strcmp(a->request, request) != 0))
			continue;
		if (!a->waiting_for_reports)
			admit_cancel(
			    a->broker->admit, h, clock_now(b->o.clock));
		table_del(b->requests, h);
	}
}

void
brokers_cancel(brokers_t *b, handle_t conn, const char *request)
{
	cancel_requests(b, conn, request);
}

void
brokers_conn_closed(brokers_t *b, handle_t conn)
{
	cancel_requests(b, conn, NULL);
}

static void
admit_load(broker_t *k, const load_report_t *r, ms_t now)
{
	admit_resident_t *res = calloc(r->nresident + 1, sizeof(*res));
	admit_report_t out = { .slots = r->slots,
		.in_flight = r->in_flight + r->queued,
		.taken_at = r->taken_at,
		.leaving = r->leaving,
		.resident = res };
	int i;

	str_set(out.worker, sizeof(out.worker), r->worker);
	for (i = 0; i < r->nresident; i++) {
		const resident_t *x = &r->resident[i];

		if (x->state != RESIDENT_READY)
			continue;
		str_set(res[out.nresident].item, ID_MAX,
		    x->adapter[0] != '\0' ? x->adapter : x->model);
		res[out.nresident++].version = x->version;
	}
	admit_report(k->admit, &out, now);
	free(res);
}

/* Submit the waiting requests once each worker has been polled. */
static void
submit_waiting(brokers_t *b, broker_t *k)
{
	ms_t now = clock_now(b->o.clock);
	handle_t h;
	slot_request_t *a;

	if (k->ready ||
	    (!all_polled(k) && now - k->started_at < FIRST_REPORT_WAIT_MS))
		return;
	k->ready = true;
	for (h = table_next(b->requests, 0); h != 0;
	     h = table_next(b->requests, h)) {
		a = table_get(b->requests, h);
		if (a->broker == k && a->waiting_for_reports)
			submit(b, a);
	}
}

static void
handle_report(brokers_t *b, broker_t *k, worker_report_t *w, load_report_t *r)
{
	w->polled = true;
	if (r->reached) {
		w->missed_polls = 0;
		admit_load(k, r, clock_now(b->o.clock));
		load_report_free(w->last_report);
		w->last_report = r;
	} else {
		if (++w->missed_polls == MISSED_POLLS_MAX)
			admit_remove_worker(k->admit, r->worker);
		load_report_free(r);
	}
	submit_waiting(b, k);
	send_verdicts(b, k);
}

void
brokers_report(brokers_t *b, load_report_t *r)
{
	GHashTableIter it;
	worker_report_t *w;
	void *value;

	g_hash_table_iter_init(&it, b->shards);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		w = g_hash_table_lookup(((broker_t *)value)->worker, r->worker);
		if (w != NULL) {
			handle_report(b, value, w, r);
			return;
		}
	}
	load_report_free(r);
}

int
brokers_poll_targets(brokers_t *b, load_target_t **t)
{
	GHashTableIter it, wit;
	void *value, *id, *w;
	int n = 0, room = 0;

	if (!b->targets_changed)
		return -1;
	b->targets_changed = false;
	g_hash_table_iter_init(&it, b->shards);
	while (g_hash_table_iter_next(&it, NULL, &value))
		room += (int)g_hash_table_size(((broker_t *)value)->worker);
	*t = calloc(room + 1, sizeof(**t));
	g_hash_table_iter_init(&it, b->shards);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		g_hash_table_iter_init(&wit, ((broker_t *)value)->worker);
		while (g_hash_table_iter_next(&wit, &id, &w)) {
			str_set((*t)[n].worker, ID_MAX, id);
			str_set((*t)[n++].addr, ADDR_MAX,
			    ((worker_report_t *)w)->addr);
		}
	}
	return n;
}

ms_t
brokers_due(const brokers_t *b)
{
	ms_t now = clock_now(b->o.clock), due = now + TICK_MAX_MS, at;
	GHashTableIter it;
	void *value;

	g_hash_table_iter_init(&it, b->shards);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const broker_t *k = value;

		at = k->ready ? admit_due(k->admit, now)
			      : k->started_at + FIRST_REPORT_WAIT_MS;
		if (at < due)
			due = at;
	}
	return due;
}

void
brokers_tick(brokers_t *b)
{
	GHashTableIter it;
	void *value;

	follow_shards(b);
	g_hash_table_iter_init(&it, b->shards);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		submit_waiting(b, value);
		send_verdicts(b, value);
		digest_update(value, b->o.store, b->o.self);
	}
}

void
brokers_leave(brokers_t *b)
{
	if (b->leaving)
		return;
	b->leaving = true;
	reject_waiting(b, NULL, SLOT_LEAVING);
}

void
brokers_reset(brokers_t *b)
{
	reject_waiting(b, NULL, SLOT_NOT_OWNER);
	g_hash_table_remove_all(b->shards);
	b->shards_version = 0;
	b->targets_changed = true;
}
