#include "control/ledger_cache.h"

#include <stdlib.h>
#include <string.h>

enum {
	SEEN_MAX = 4096, /* orders whose age is kept */
	QUIET_FIRST_MS = 500,
	QUIET_MOST_MS = 5000,
};

static const char prefix[] = "ledger/";

static void
book_clear(worker_ledger_t *k)
{
	ledger_free(k->ledger);
	k->ledger = NULL;
	k->version = 0;
	k->stale = k->dirty = false;
}

static void
book_free(void *p)
{
	worker_ledger_t *k = p;

	book_clear(k);
	free(k->report.resident);
	g_hash_table_destroy(k->orders_seen);
	g_free(k);
}

void
ledger_cache_init(ledger_cache_t *b)
{
	b->by_worker =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, book_free);
	b->since = 0;
}

void
ledger_cache_destroy(ledger_cache_t *b)
{
	g_hash_table_destroy(b->by_worker);
}

void
ledger_cache_reset(ledger_cache_t *b)
{
	g_hash_table_remove_all(b->by_worker);
	b->since = 0;
}

worker_ledger_t *
ledger_cache_get(ledger_cache_t *b, const char *worker)
{
	worker_ledger_t *k = g_hash_table_lookup(b->by_worker, worker);

	if (k != NULL)
		return k;
	k = g_new0(worker_ledger_t, 1);
	str_copy(k->worker, sizeof(k->worker), worker);
	k->backoff =
	    (backoff_t){ .initial = QUIET_FIRST_MS, .max = QUIET_MOST_MS };
	k->orders_seen =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
	g_hash_table_insert(b->by_worker, k->worker, k);
	return k;
}

/* Give back what a write of unknown fate reserved: it did take effect. */
static void
void_unsent(worker_ledger_t *k, const ledger_sender_t *by)
{
	uint64_t n;
	int i;

	for (i = k->ledger->nreservation - 1; i >= 0; i--) {
		n = k->ledger->reservation[i].order;
		if (n < k->unsent_from || n > k->unsent_to ||
		    k->ledger->reservation[i].fence != by->fence ||
		    strcmp(k->ledger->reservation[i].sender, by->id) != 0)
			continue;
		if (ledger_record_answer(k->ledger, n, SEND_NOT_RUN))
			k->dirty = true;
	}
}

static void
take_object(
    ledger_cache_t *b, const object_t *o, const ledger_sender_t *by, ms_t now)
{
	worker_ledger_t *k = ledger_cache_get(b, o->key + strlen(prefix));
	ledger_t *l;
	err_t e = { 0 };
	char q[ERR_TEXT_MAX];

	if (o->version <= k->version && !k->stale)
		return;
	book_clear(k);
	k->read_at = now;
	if (o->deleted)
		return;
	if ((l = ledger_decode(o->value, o->len, &e)) == NULL) {
		log_event(LOG_ERR, "ledger_unreadable", "worker=%s reason=%s",
		    k->worker, log_quote(q, sizeof(q), e.text));
		k->stale = true;
		return;
	}
	k->ledger = l;
	k->version = o->version;
	void_unsent(k, by);
}

static void
read_stale(ledger_cache_t *b, platform_t *p, worker_ledger_t *k,
    const ledger_sender_t *by, ms_t now)
{
	char key[sizeof(prefix) + ID_MAX];
	object_t o = { 0 };
	err_t e = { 0 };

	snprintf(key, sizeof(key), "%s%s", prefix, k->worker);
	if (platform_get(p, key, &o, &e) == 0) {
		take_object(b, &o, by, now);
		object_clear(&o);
	} else if (e.code == ERR_NOT_FOUND) {
		book_clear(k);
	}
}

int
ledger_cache_sync(ledger_cache_t *b, platform_t *p, const ledger_sender_t *by,
    ms_t now, err_t *e)
{
	objects_t got = { 0 };
	GHashTableIter it;
	gpointer k;
	int i, rc;

	if (b->since == 0)
		rc = platform_list(p, prefix, &got, e);
	else
		rc = platform_watch(p, prefix, b->since, 0, &got, e);
	if (rc == -1) {
		/* Too old a version is the one error that a list mends. */
		if (e->code != ERR_DOWN && e->code != ERR_UNKNOWN &&
		    e->code != ERR_FULL)
			b->since = 0;
		return -1;
	}
	for (i = 0; i < got.n; i++)
		take_object(b, &got.item[i], by, now);
	if (got.version > 0)
		b->since = got.version;
	objects_clear(&got);
	g_hash_table_iter_init(&it, b->by_worker);
	while (g_hash_table_iter_next(&it, NULL, &k))
		if (((worker_ledger_t *)k)->stale)
			read_stale(b, p, k, by, now);
	return 0;
}

int
worker_ledger_write(worker_ledger_t *k, platform_t *p, err_t *e)
{
	char key[sizeof(prefix) + ID_MAX];
	char *text = ledger_encode(k->ledger);
	int rc;

	snprintf(key, sizeof(key), "%s%s", prefix, k->worker);
	rc = platform_put(
	    p, key, text, strlen(text), k->version, &k->version, e);
	free(text);
	k->stale = rc == -1;
	if (rc == 0) {
		k->dirty = false;
		/* A delayed earlier write can't take effect over this one. */
		k->unsent_from = k->unsent_to = 0;
	}
	return rc;
}

ms_t
worker_ledger_order_age(worker_ledger_t *k, uint64_t order, ms_t now)
{
	gint64 key = (gint64)order,
	       *at = g_hash_table_lookup(k->orders_seen, &key);

	if (at != NULL)
		return now - *at;
	if (g_hash_table_size(k->orders_seen) >= SEEN_MAX)
		g_hash_table_remove_all(k->orders_seen);
	at = g_new(gint64, 1);
	*at = now;
	g_hash_table_insert(k->orders_seen, g_memdup2(&key, sizeof(key)), at);
	return 0;
}

const resident_t *
worker_ledger_resident(const worker_ledger_t *k, const reservation_t *h)
{
	int i;

	for (i = 0; i < k->report.nresident; i++)
		if (k->report.resident[i].version == h->version &&
		    strcmp(k->report.resident[i].model, h->model) == 0 &&
		    strcmp(k->report.resident[i].adapter, h->adapter) == 0)
			return &k->report.resident[i];
	return NULL;
}
