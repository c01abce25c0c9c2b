#include "control/demand.h"

#include <math.h>
#include <string.h>

/* Half-life of the smoothed rates. */
static const double half_life_ms = 20000;
/* Duration of a call until it can be measured, and its bounds, in seconds. */
static const double default_call_s = 1, call_min_s = 0.05, call_max_s = 120;

typedef struct item_rate {
	double requests; /* since the last update */
	double rate;	 /* per second, smoothed */
} item_rate_t;

typedef struct counter_reading {
	uint32_t requests;
	uint64_t term;
} counter_reading_t;

void
demand_init(demand_t *d)
{
	memset(d, 0, sizeof(*d));
	d->by_name =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	d->counters =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

void
demand_destroy(demand_t *d)
{
	g_hash_table_destroy(d->by_name);
	g_hash_table_destroy(d->counters);
}

static void
add_requests(demand_t *d, const char *name, double n)
{
	item_rate_t *f = g_hash_table_lookup(d->by_name, name);

	if (f == NULL) {
		f = g_new0(item_rate_t, 1);
		g_hash_table_insert(d->by_name, g_strdup(name), f);
	}
	f->requests += n;
}

/* Increase of a counter since its last reading; from 0 for a new broker. */
static uint32_t
counter_growth(demand_t *d, const Wire__Digest *g, const Wire__Demand *w)
{
	char *key = g_strdup_printf("%s/%s/%u/%s/%s", g->service, g->domain,
	    g->index, w->model, w->adapter);
	counter_reading_t *r = g_hash_table_lookup(d->counters, key);
	uint32_t n = w->requests;

	if (r == NULL) {
		r = g_new0(counter_reading_t, 1);
		g_hash_table_insert(d->counters, g_strdup(key), r);
	} else if (r->term == g->term) {
		n = w->requests >= r->requests ? w->requests - r->requests : 0;
	}
	r->requests = w->requests;
	r->term = g->term;
	g_free(key);
	return n;
}

static double
calls_in_progress(const view_t *v)
{
	const Wire__Worker *w;
	double n = 0;
	size_t i, k;

	for (i = 0; i < v->wire->n_digest; i++) {
		const Wire__Digest *g = v->wire->digest[i];

		n += g->waiting;
		for (k = 0; k < g->n_worker; k++) {
			w = view_worker(v, g->worker[k]->worker);
			if (w != NULL && w->slots > g->worker[k]->free)
				n += w->slots - g->worker[k]->free;
		}
	}
	return n;
}

void
demand_update(demand_t *d, const view_t *v, ms_t now)
{
	double interval = (double)(now - d->updated_at), keep, total = 0;
	const Wire__Demand *w;
	GHashTableIter it;
	gpointer p;
	size_t i, k;
	uint32_t n;

	if (d->updated_at != 0 && interval <= 0)
		return;
	for (i = 0; i < v->wire->n_digest; i++)
		for (k = 0; k < v->wire->digest[i]->n_demand; k++) {
			w = v->wire->digest[i]->demand[k];
			n = counter_growth(d, v->wire->digest[i], w);
			/* The first reading has no interval for a rate. */
			if (d->updated_at == 0)
				continue;
			total += n;
			add_requests(d, w->model, n);
			if (w->adapter[0] != '\0')
				add_requests(d, w->adapter, n);
		}
	if (d->updated_at != 0) {
		keep = exp2(-interval / half_life_ms);
		d->rate = keep * d->rate + (1 - keep) * total * 1000 / interval;
		d->in_progress =
		    keep * d->in_progress + (1 - keep) * calls_in_progress(v);
		g_hash_table_iter_init(&it, d->by_name);
		while (g_hash_table_iter_next(&it, NULL, &p)) {
			item_rate_t *f = p;

			f->rate = keep * f->rate +
				  (1 - keep) * f->requests * 1000 / interval;
			f->requests = 0;
		}
	}
	d->updated_at = now;
}

double
demand_calls(const demand_t *d, const char *name)
{
	const item_rate_t *f = g_hash_table_lookup(d->by_name, name);
	double length = default_call_s;

	if (f == NULL)
		return 0;
	/* Little's law over all calls gives the mean duration. */
	if (d->rate > 0 && d->in_progress > 0)
		length =
		    CLAMP(d->in_progress / d->rate, call_min_s, call_max_s);
	return f->rate * length;
}
