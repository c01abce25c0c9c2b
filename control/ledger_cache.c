#include "control/ledger_cache.h"

#include <stdlib.h>
#include <string.h>

enum {
	ORDERS_SEEN_MAX = 4096, /* orders whose age is kept, per worker */
	ORDER_BACKOFF_FIRST_MS = 500,
	ORDER_BACKOFF_MAX_MS = 5000,
};

static const char prefix[] = "ledger/";

static void
worker_ledger_clear(worker_ledger_t *wl)
{
	ledger_free(wl->ledger);
	wl->ledger = NULL;
	wl->version = 0;
	wl->stale = wl->dirty = false;
}

static void
worker_ledger_free(void *p)
{
	worker_ledger_t *wl = p;

	worker_ledger_clear(wl);
	free(wl->report.resident);
	g_hash_table_destroy(wl->orders_seen);
	g_free(wl);
}

void
ledger_cache_init(ledger_cache_t *cache)
{
	cache->by_worker = g_hash_table_new_full(
	    g_str_hash, g_str_equal, NULL, worker_ledger_free);
	cache->since = 0;
}

void
ledger_cache_destroy(ledger_cache_t *cache)
{
	g_hash_table_destroy(cache->by_worker);
}

void
ledger_cache_reset(ledger_cache_t *cache)
{
	g_hash_table_remove_all(cache->by_worker);
	cache->since = 0;
}

worker_ledger_t *
ledger_cache_get(ledger_cache_t *cache, const char *worker)
{
	worker_ledger_t *wl = g_hash_table_lookup(cache->by_worker, worker);

	if (wl != NULL)
		return wl;
	wl = g_new0(worker_ledger_t, 1);
	str_set(wl->worker, sizeof(wl->worker), worker);
	wl->backoff = (backoff_t){ .initial = ORDER_BACKOFF_FIRST_MS,
		.max = ORDER_BACKOFF_MAX_MS };
	wl->orders_seen =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
	g_hash_table_insert(cache->by_worker, wl->worker, wl);
	return wl;
}

/*
 * Release the reservations of a write that reported failure but did take
 * effect. Their orders were never sent.
 */
static void
release_unsent(worker_ledger_t *wl, const ledger_sender_t *by)
{
	uint64_t n;
	int i;

	for (i = wl->ledger->nreservation - 1; i >= 0; i--) {
		n = wl->ledger->reservation[i].order;
		if (n < wl->unsent_from || n > wl->unsent_to ||
		    wl->ledger->reservation[i].fencing_token !=
			by->fencing_token ||
		    strcmp(wl->ledger->reservation[i].sender, by->id) != 0)
			continue;
		if (ledger_record_answer(wl->ledger, n, SEND_NOT_RUN))
			wl->dirty = true;
	}
}

static void
apply_object(ledger_cache_t *cache, const object_t *o,
    const ledger_sender_t *by, ms_t now)
{
	worker_ledger_t *wl = ledger_cache_get(cache, o->key + strlen(prefix));
	ledger_t *l;
	err_t e = { 0 };
	char q[ERR_TEXT_MAX];

	if (o->version <= wl->version && !wl->stale)
		return;
	worker_ledger_clear(wl);
	wl->read_at = now;
	if (o->deleted)
		return;
	if ((l = ledger_decode(o->value, o->len, &e)) == NULL) {
		log_event(LOG_ERR, "ledger_unreadable", "worker=%s reason=%s",
		    wl->worker, log_quote(q, sizeof(q), e.text));
		wl->stale = true;
		return;
	}
	wl->ledger = l;
	wl->version = o->version;
	release_unsent(wl, by);
}

static void
reread_stale(ledger_cache_t *cache, platform_t *p, worker_ledger_t *wl,
    const ledger_sender_t *by, ms_t now)
{
	char key[sizeof(prefix) + ID_MAX];
	object_t o = { 0 };
	err_t e = { 0 };

	snprintf(key, sizeof(key), "%s%s", prefix, wl->worker);
	if (platform_get(p, key, &o, &e) == 0) {
		apply_object(cache, &o, by, now);
		object_clear(&o);
	} else if (e.code == ERR_NOT_FOUND) {
		worker_ledger_clear(wl);
	}
}

int
ledger_cache_sync(ledger_cache_t *cache, platform_t *p,
    const ledger_sender_t *by, ms_t now, err_t *e)
{
	objects_t objects = { 0 };
	GHashTableIter it;
	gpointer k;
	int i, rc;

	if (cache->since == 0)
		rc = platform_list(p, prefix, &objects, e);
	else
		rc = platform_watch(p, prefix, cache->since, 0, &objects, e);
	if (rc == -1) {
		/* Listing anew helps only if the watch's version is too old. */
		if (e->code != ERR_DOWN && e->code != ERR_UNKNOWN &&
		    e->code != ERR_FULL)
			cache->since = 0;
		return -1;
	}
	for (i = 0; i < objects.n; i++)
		apply_object(cache, &objects.item[i], by, now);
	if (objects.version > 0)
		cache->since = objects.version;
	objects_clear(&objects);
	g_hash_table_iter_init(&it, cache->by_worker);
	while (g_hash_table_iter_next(&it, NULL, &k))
		if (((worker_ledger_t *)k)->stale)
			reread_stale(cache, p, k, by, now);
	return 0;
}

int
worker_ledger_write(worker_ledger_t *wl, platform_t *p, err_t *e)
{
	char key[sizeof(prefix) + ID_MAX];
	char *text = ledger_encode(wl->ledger);
	int rc;

	snprintf(key, sizeof(key), "%s%s", prefix, wl->worker);
	rc = platform_put(
	    p, key, text, strlen(text), wl->version, &wl->version, e);
	free(text);
	wl->stale = rc == -1;
	if (rc == 0) {
		wl->dirty = false;
		/* An earlier write that is delayed now fails: its version is
		 * outdated. */
		wl->unsent_from = wl->unsent_to = 0;
	}
	return rc;
}

ms_t
worker_ledger_order_age(worker_ledger_t *wl, uint64_t order, ms_t now)
{
	gint64 key = (gint64)order,
	       *at = g_hash_table_lookup(wl->orders_seen, &key);

	if (at != NULL)
		return now - *at;
	if (g_hash_table_size(wl->orders_seen) >= ORDERS_SEEN_MAX)
		g_hash_table_remove_all(wl->orders_seen);
	at = g_new(gint64, 1);
	*at = now;
	g_hash_table_insert(wl->orders_seen, g_memdup2(&key, sizeof(key)), at);
	return 0;
}

const resident_t *
worker_ledger_resident(const worker_ledger_t *wl, const reservation_t *res)
{
	int i;

	for (i = 0; i < wl->report.nresident; i++)
		if (wl->report.resident[i].version == res->version &&
		    strcmp(wl->report.resident[i].model, res->model) == 0 &&
		    strcmp(wl->report.resident[i].adapter, res->adapter) == 0)
			return &wl->report.resident[i];
	return NULL;
}
