/* Which adapters a placement round loads, and which make room for them. */
#include "serve/plan_round.h"

#include <math.h>
#include <string.h>

enum {
	FREE_SLOT_VALUE_MS = 20, /* latency that a free adapter slot is worth */
	/* At most one adapter slot in so many waits for long calls to end. */
	UNLOAD_WAIT_DIVISOR = 2,
	ADAPTER_LOADS_MAX = 3, /* in progress at one endpoint */
};
/* Demand for one more copy of an adapter, as a share of the prefill speed. */
static const double adapter_copy_share = 0.3;

static bool
ep_has_adapter(
    const plan_round_t *r, const dispatcher_t *d, const adapter_demand_t *a)
{
	const char *model = r->def->model[a->model].name;

	return ep_holds(d->ep, model, a->adapter, INT64_MAX) ||
	       dispatcher_loading(d, model, a->adapter);
}

static double
adapter_work(const plan_round_t *r, int model, const char *adapter)
{
	const adapter_demand_t *a = round_adapter(r, model, adapter);

	return a != NULL ? a->work : 0;
}

/* The loaded adapter with the least demand below *least, -1: none. */
static int
least_used_adapter(const plan_round_t *r, const dispatcher_t *d, double *least)
{
	const holding_set_t *h = &d->ep->entry.holds;
	int i, best = -1;

	for (i = 0; i < h->nadapter; i++) {
		const char *model = h->model[h->adapter[i].model];
		int m = service_model_index(r->def, model);
		double work =
		    m == -1 ? 0 : adapter_work(r, m, h->adapter[i].name);

		/* One that is being unloaded isn't a candidate. */
		if (work >= *least ||
		    !ep_holds(d->ep, model, h->adapter[i].name, INT64_MAX) ||
		    dispatcher_recently_loaded(d, model, h->adapter[i].name))
			continue;
		*least = work;
		best = i;
	}
	return best;
}

/* Adapters being loaded; an endpoint accepts a few at a time. */
static int
adapters_loading(const dispatcher_t *d)
{
	const ep_t *p = d->ep;
	int i, n = 0;

	for (i = 0; i < p->nknown; i++)
		n += p->known[i].adapter[0] != '\0' && p->known[i].load &&
		     d->s->loop.now < p->known[i].effective_at;
	return n;
}

static bool
adapter_fits(
    const plan_round_t *r, const dispatcher_t *d, const adapter_demand_t *a)
{
	return dispatcher_adapter_count(d) < r->def->adapter_slots &&
	       dispatcher_memory_mb(d) + r->def->model[a->model].adapter_mb <=
		   r->def->weights_mb;
}

/* Demand to be served by a slot; adapters without any copy come first. */
static double
adapter_priority(const adapter_demand_t *a)
{
	return a->work +
	       (a->copies == 0 && a->unserved ? DEFAULT_PREFILL_SPEED : 0);
}

/** The endpoints where a model is ready: first[m] to first[m + 1]. */
typedef struct holders {
	int *first, *ep;
} holders_t;

static void
holders_init(holders_t *h, const plan_round_t *r)
{
	const assign_copy_t *copy =
	    (const assign_copy_t *)(void *)r->copy->data;
	int e, i, m, n = r->def->nmodel;

	h->first = g_new0(int, n + 2);
	h->ep = g_new0(int, r->copy->len + 1);
	for (i = 0; i < (int)r->copy->len; i++)
		if (copy[i].model != -1 && copy[i].state == COPY_READY)
			h->first[copy[i].model + 2]++;
	for (m = 1; m <= n + 1; m++)
		h->first[m] += h->first[m - 1];
	for (e = 0; e < r->nep; e++)
		for (i = r->ep[e].copy; i < r->ep[e].copy + r->ep[e].ncopy; i++)
			if (copy[i].model != -1 && copy[i].state == COPY_READY)
				h->ep[h->first[copy[i].model + 1]++] = e;
}

static void
holders_free(holders_t *h)
{
	g_free(h->first);
	g_free(h->ep);
}

static void
place_adapter(
    plan_round_t *r, const holders_t *holders, const adapter_demand_t *a)
{
	plan_t *p = r->p;
	const char *model = r->def->model[a->model].name;
	dispatcher_t *best = NULL, *full = NULL;
	double cost, least = INFINITY;
	double max_work = adapter_priority(a);
	int i, n, victim = -1;

	for (i = holders->first[a->model]; i < holders->first[a->model + 1];
	     i++) {
		int e = holders->ep[i];
		dispatcher_t *d = r->dispatcher[e];

		if (!r->ep[e].usable || !dispatcher_idle(d) ||
		    ep_has_adapter(r, d, a) ||
		    adapters_loading(d) >= ADAPTER_LOADS_MAX)
			continue;
		if (!adapter_fits(r, d, a)) {
			n = dispatcher_adapter_unload_pending(
				d, r->def->adapter_slots / UNLOAD_WAIT_DIVISOR)
				? -1
				: least_used_adapter(r, d, &max_work);
			if (n != -1) {
				victim = n;
				full = d;
			}
			continue;
		}
		cost = workload_predict_ms(
			   &d->ep->workload, &p->s->average_speed, 0) +
		       FREE_SLOT_VALUE_MS * dispatcher_adapter_count(d);
		if (cost < least) {
			least = cost;
			best = d;
		}
	}
	if (best != NULL) {
		dispatcher_send_order(p, best, true, model, a->adapter,
		    a->unserved ? "waiting" : "demand");
	} else if (full != NULL) {
		const holding_set_t *h = &full->ep->entry.holds;

		dispatcher_send_order(p, full, false,
		    h->model[h->adapter[victim].model], h->adapter[victim].name,
		    "make-room");
	}
}

static gint
by_priority(gconstpointer x, gconstpointer y)
{
	const adapter_demand_t *const *a = x, *const *b = y;
	double p = adapter_priority(*a), q = adapter_priority(*b);

	return p > q ? -1 : p < q;
}

/*
 * An adapter that is loaded at the endpoint or, if it is pending, is being
 * loaded there; counted once for each endpoint.
 */
static void
count_adapter(plan_round_t *r, const dispatcher_t *d, const char *model,
    const char *adapter, bool pending)
{
	int m = service_model_index(r->def, model);
	adapter_demand_t *a = m != -1 ? round_adapter(r, m, adapter) : NULL;

	if (a == NULL || a->counted_at == d)
		return;
	if (!ep_holds(d->ep, model, adapter, INT64_MAX) &&
	    !(pending && dispatcher_loading(d, model, adapter)))
		return;
	a->counted_at = d;
	a->copies++;
}

/* Count the copies of the adapters in demand. */
static void
count_adapters(plan_round_t *r)
{
	int e, i;

	for (e = 0; e < r->nep; e++) {
		const dispatcher_t *d = r->dispatcher[e];
		const holding_set_t *h = &d->ep->entry.holds;
		const ep_t *p = d->ep;

		if (!r->ep[e].usable)
			continue;
		for (i = 0; i < h->nadapter; i++)
			count_adapter(r, d, h->model[h->adapter[i].model],
			    h->adapter[i].name, false);
		for (i = 0; i < p->nknown; i++)
			if (p->known[i].adapter[0] != '\0')
				count_adapter(r, d, p->known[i].model,
				    p->known[i].adapter, true);
		if (d->request != NULL && d->load && d->adapter[0] != '\0')
			count_adapter(r, d, d->model, d->adapter, true);
	}
}

void
order_adapters(plan_round_t *r)
{
	double speed =
	    r->nep > 0 ? r->ep[0].tokens_per_s : DEFAULT_PREFILL_SPEED;
	GPtrArray *order = g_ptr_array_new();
	holders_t holders;
	guint i;

	count_adapters(r);
	holders_init(&holders, r);
	for (i = 0; i < r->adapter->len; i++)
		g_ptr_array_add(
		    order, &g_array_index(r->adapter, adapter_demand_t, i));
	/* By priority: a freed slot gets the adapter that it was freed for. */
	g_ptr_array_sort(order, by_priority);
	for (i = 0; i < order->len; i++) {
		const adapter_demand_t *a = order->pdata[i];
		int copies_wanted =
		    1 + (int)(a->work / (adapter_copy_share * speed));

		if (a->copies == 0 ? a->unserved || a->work > 0
				   : a->copies < copies_wanted + a->all_tried)
			place_adapter(r, &holders, a);
	}
	g_ptr_array_free(order, TRUE);
	holders_free(&holders);
}
