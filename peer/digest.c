#include "peer/broker.h"

#include <stdlib.h>
#include <string.h>

enum {
	DIGEST_INTERVAL_MS = 100, /* between two digests, at least */
	DIGEST_REFRESH_MS = 1000, /* until an unchanged digest is sent again */
};

void
broker_count_request(
    broker_t *k, const char *model, const char *adapter, bool refused)
{
	char key[SHARD_KEY_MAX];
	request_count_t *d;

	snprintf(key, sizeof(key), "%s/%s", model, adapter);
	d = g_hash_table_lookup(k->demand, key);
	if (d == NULL) {
		d = calloc(1, sizeof(*d));
		str_set(d->model, sizeof(d->model), model);
		str_set(d->adapter, sizeof(d->adapter), adapter);
		g_hash_table_insert(k->demand, g_strdup(key), d);
	}
	if (refused)
		d->refused++;
	else
		d->requests++;
}

/* Fill in a worker's load; res and row are arrays for its residents. */
static void
fill_load(broker_t *k, const char *id, const worker_report_t *r,
    Wire__WorkerLoad *l, Wire__Resident *res, Wire__Resident **row, ms_t now)
{
	int i;

	wire__worker_load__init(l);
	l->worker = (char *)id;
	l->free = admit_free_slots(k->admit, id);
	l->ejected = admit_ejected(k->admit, id, now) ||
		     r->missed_polls >= MISSED_POLLS_MAX;
	if (r->last_report == NULL)
		return;
	l->used_mb = r->last_report->used_mb;
	l->resident = row;
	for (i = 0; i < r->last_report->nresident; i++) {
		const resident_t *x = &r->last_report->resident[i];

		wire__resident__init(&res[i]);
		res[i].model = (char *)x->model;
		res[i].adapter = (char *)x->adapter;
		res[i].version = x->version;
		res[i].state = x->state;
		row[l->n_resident++] = &res[i];
	}
}

static int
by_worker(const void *a, const void *b)
{
	return strcmp((*(Wire__WorkerLoad *const *)a)->worker,
	    (*(Wire__WorkerLoad *const *)b)->worker);
}

static int
by_model(const void *a, const void *b)
{
	const Wire__Demand *x = *(Wire__Demand *const *)a;
	const Wire__Demand *y = *(Wire__Demand *const *)b;
	int c = strcmp(x->model, y->model);

	return c != 0 ? c : strcmp(x->adapter, y->adapter);
}

static void
fill_demand(broker_t *k, Wire__Digest *d, Wire__Demand *row)
{
	ms_t wait, now = k->digest_built_at;
	GHashTableIter it;
	void *value;

	g_hash_table_iter_init(&it, k->demand);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		request_count_t *x = value;
		Wire__Demand *w = &row[d->n_demand];

		wire__demand__init(w);
		w->model = x->model;
		w->adapter = x->adapter;
		w->requests = x->requests;
		w->refused = x->refused;
		d->demand[d->n_demand++] = w;
		wait = admit_expected_wait(k->admit,
		    x->adapter[0] != '\0' ? x->adapter : x->model, now);
		if (wait > (ms_t)d->wait_ms)
			d->wait_ms = (uint32_t)wait;
	}
	qsort(d->demand, d->n_demand, sizeof(void *), by_model);
}

static uint64_t
digest_hash(const Wire__Digest *d)
{
	size_t n = wire__digest__get_packed_size(d);
	uint8_t *buf = malloc(n + 1);
	uint64_t hash;

	wire__digest__pack(d, buf);
	hash = hash64(buf, n, 1);
	free(buf);
	return hash;
}

/* Hash of what changes rarely: the shard's workers and their residents. */
static uint64_t
residents_hash(const Wire__Digest *d)
{
	Wire__Digest h = WIRE__DIGEST__INIT;
	Wire__WorkerLoad *load = calloc(d->n_worker + 1, sizeof(*load));
	Wire__WorkerLoad **row = calloc(d->n_worker + 1, sizeof(void *));
	uint64_t hash;
	size_t i;

	for (i = 0; i < d->n_worker; i++) {
		load[i] = *d->worker[i];
		load[i].free = load[i].used_mb = 0;
		row[i] = &load[i];
	}
	h.worker = row;
	h.n_worker = d->n_worker;
	hash = digest_hash(&h);
	free(load);
	free(row);
	return hash;
}

/* Put a digest into the store unless the last one is the same and recent. */
static void
store_if_changed(broker_t *k, store_t *st, Wire__Digest *d, ms_t now)
{
	const shard_t *s =
	    store_find_shard(st, k->service, k->domain, k->index);
	const digest_t *known = store_find_digest(st, s);
	uint64_t hash;

	d->residents_hash = residents_hash(d);
	hash = digest_hash(d);
	if (hash == k->digest_hash &&
	    now - k->digest_stored_at < DIGEST_REFRESH_MS)
		return;
	k->digest_hash = hash;
	k->digest_stored_at = now;
	/* Another broker's clock is ahead: use a term above its term. */
	if (known != NULL && known->d->term >= k->term &&
	    strcmp(known->d->broker, d->broker) != 0)
		k->term = known->d->term + 1;
	if (known != NULL && known->d->term > k->term)
		k->term = known->d->term + 1;
	d->term = k->term;
	d->seq = ++k->seq;
	store_merge_digest(st, d);
}

void
digest_update(broker_t *k, store_t *s, const char *self)
{
	ms_t now = clock_now(s->clock);
	guint nw = g_hash_table_size(k->worker);
	guint nd = g_hash_table_size(k->demand);
	Wire__WorkerLoad *load, **row;
	Wire__Digest d = WIRE__DIGEST__INIT;
	Wire__Resident **res, ***rows;
	Wire__Demand *demand;
	GHashTableIter it;
	void *id, *value;
	guint i;

	if (!k->owner || !k->ready ||
	    now - k->digest_built_at < DIGEST_INTERVAL_MS)
		return;
	k->digest_built_at = now;
	load = calloc(nw + 1, sizeof(*load));
	row = calloc(nw + 1, sizeof(void *));
	res = calloc(nw + 1, sizeof(void *));
	rows = calloc(nw + 1, sizeof(*rows));
	demand = calloc(nd + 1, sizeof(*demand));
	d.service = k->service;
	d.domain = k->domain;
	d.index = k->index;
	d.broker = (char *)self;
	d.waiting = admit_queue_length(k->admit);
	d.worker = row;
	d.demand = calloc(nd + 1, sizeof(void *));
	g_hash_table_iter_init(&it, k->worker);
	while (g_hash_table_iter_next(&it, &id, &value)) {
		worker_report_t *r = value;
		int n = r->last_report == NULL ? 0 : r->last_report->nresident;

		i = d.n_worker++;
		res[i] = calloc(n + 1, sizeof(**res));
		rows[i] = calloc(n + 1, sizeof(void *));
		fill_load(k, id, r, &load[i], res[i], rows[i], now);
		row[i] = &load[i];
	}
	qsort(row, d.n_worker, sizeof(void *), by_worker);
	fill_demand(k, &d, demand);
	store_if_changed(k, s, &d, now);
	for (i = 0; i < nw; i++) {
		free(res[i]);
		free(rows[i]);
	}
	free(res);
	free(rows);
	free(load);
	free(row);
	free(d.demand);
	free(demand);
}
