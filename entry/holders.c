#include "entry/route.h"

#include <stdlib.h>
#include <string.h>

/* The copies of one item in one shard. */
typedef struct shard_copies {
	int shard;
	int copies;
	int free_slots;
} shard_copies_t;

struct holders {
	const view_t *view;
	GHashTable *items; /* "service/item" -> GArray of shard_copies_t */
	int *requests;	   /* slot requests since the view, by shard */
	ms_t now;
};

static void
free_array(gpointer a)
{
	g_array_free(a, TRUE);
}

static void
add_copy(
    holders_t *h, const char *service, const char *item, int shard, int free)
{
	char *key = g_strdup_printf("%s/%s", service, item);
	GArray *a = g_hash_table_lookup(h->items, key);
	shard_copies_t new_entry = { shard, 0, 0 }, *last;

	if (a == NULL) {
		a = g_array_new(FALSE, FALSE, sizeof(shard_copies_t));
		g_hash_table_insert(h->items, g_strdup(key), a);
	}
	g_free(key);
	if (a->len == 0 ||
	    g_array_index(a, shard_copies_t, a->len - 1).shard != shard)
		g_array_append_val(a, new_entry);
	last = &g_array_index(a, shard_copies_t, a->len - 1);
	last->copies++;
	last->free_slots += free;
}

static bool
has_ready(const Wire__WorkerLoad *w, const char *model)
{
	size_t i;

	for (i = 0; i < w->n_resident; i++)
		if (w->resident[i]->state == RESIDENT_READY &&
		    w->resident[i]->adapter[0] == '\0' &&
		    strcmp(w->resident[i]->model, model) == 0)
			return true;
	return false;
}

/* Two versions of an item on one worker count as one copy. */
static bool
is_listed_before(const Wire__WorkerLoad *w, size_t at)
{
	size_t i;

	for (i = 0; i < at; i++)
		if (w->resident[i]->state == RESIDENT_READY &&
		    strcmp(w->resident[i]->model, w->resident[at]->model) ==
			0 &&
		    strcmp(w->resident[i]->adapter, w->resident[at]->adapter) ==
			0)
			return true;
	return false;
}

static void
add_worker(
    holders_t *h, const char *service, const Wire__WorkerLoad *w, int shard)
{
	size_t i;

	if (w->ejected)
		return;
	add_copy(h, service, "", shard, (int)w->free);
	for (i = 0; i < w->n_resident; i++) {
		const Wire__Resident *r = w->resident[i];

		if (r->state != RESIDENT_READY || is_listed_before(w, i))
			continue;
		if (r->adapter[0] == '\0')
			add_copy(h, service, r->model, shard, (int)w->free);
		else if (has_ready(w, r->model))
			add_copy(h, service, r->adapter, shard, (int)w->free);
	}
}

holders_t *
holders_new(const view_t *v)
{
	holders_t *h = g_new0(holders_t, 1);
	size_t j;
	int i;

	h->view = v;
	h->items =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_array);
	h->requests = g_new0(int, v->nshard + 1);
	h->now = clock_now(&machine_clock);
	for (i = 0; i < v->nshard; i++) {
		const Wire__Digest *d = v->shard[i].digest;

		for (j = 0; d != NULL && j < d->n_worker; j++)
			add_worker(h, v->shard[i].service, d->worker[j], i);
	}
	return h;
}

void
holders_free(holders_t *h)
{
	if (h == NULL)
		return;
	g_hash_table_destroy(h->items);
	g_free(h->requests);
	g_free(h);
}

uint64_t
shard_hash(const shard_t *s)
{
	char name[2 * ID_MAX + 16];
	int n = snprintf(
	    name, sizeof(name), "%s/%s/%u", s->service, s->domain, s->index);

	return hash64(name, n, 0);
}

static route_shard_t
shard_summary(const holders_t *h, int shard, int copies, int free)
{
	const shard_t *s = &h->view->shard[shard];

	return (route_shard_t){ .domain = s->domain,
		.copies = copies,
		.free_slots = free,
		.wait = s->digest == NULL ? 0 : s->digest->wait_ms,
		.age = clock_now(&machine_clock) - s->digest_at,
		.requests_since = h->requests[shard],
		.id_hash = shard_hash(s) };
}

int
holders_shards(const holders_t *h, const char *service, const char *item,
    route_shard_t *out, int *shard, int max)
{
	char key[2 * ID_MAX + 2];
	const view_t *v = h->view;
	GArray *a;
	guint j;
	bool none;
	int i, n = 0;

	snprintf(key, sizeof(key), "%s/%s", service, item);
	a = g_hash_table_lookup(h->items, key);
	for (j = 0; a != NULL && j < a->len && n < max; j++) {
		shard_copies_t *g = &g_array_index(a, shard_copies_t, j);

		shard[n] = g->shard;
		out[n++] = shard_summary(h, g->shard, g->copies, g->free_slots);
	}
	/*
	 * Shards without a digest may hold the item too. If no shard is known
	 * to hold it, this view may be older than the brokers' own.
	 */
	none = n == 0;
	for (i = 0; i < v->nshard && n < max; i++) {
		if ((v->shard[i].digest != NULL && !none) ||
		    strcmp(v->shard[i].service, service) != 0)
			continue;
		shard[n] = i;
		out[n++] = shard_summary(h, i, 1, 0);
	}
	return n;
}

void
holders_count_request(holders_t *h, int shard)
{
	h->requests[shard]++;
}
