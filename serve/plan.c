/*
 * Placement rounds of the holder: demand and the state of the endpoints decide
 * which models and adapters to load and unload.
 */
#include "serve/plan.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

enum {
	ROUND_INTERVAL_MS = 100,
	ORDERS_PER_ROUND = 6,
	/* A call that waits for a load has given up by then. */
	UNSERVED_MS = 3000,
	/* One more copy is loaded by then. */
	ALL_TRIED_MS = 500,
	ADAPTER_IDLE_MS = 3000, /* an adapter requested since then stays */
	ADAPTER_MIN_WORK = 300, /* tokens/s: a call in the last seconds */
	/* Loads from the weight store in a new holder's first window. */
	NEW_HOLDER_LOADS = 4,
	FREE_SLOT_VALUE_MS = 20, /* latency that a free adapter slot is worth */
	/* At most one adapter slot in so many waits for long calls to end. */
	UNLOAD_WAIT_DIVISOR = 2,
	ADAPTER_LOADS_MAX = 3, /* in progress at one endpoint */
	/* Tokens/s, until a speed was measured. */
	DEFAULT_PREFILL_SPEED = 15000,
	LOG_INTERVAL_MS = 1000, /* between log lines on the placement */
	LOG_MODELS_MAX = 24,
	/* Without a new endpoint for so long, none is missing. */
	ENDPOINTS_SETTLE_MS = 2500,
};
/* Demand for one more copy of an adapter, as a share of the prefill speed. */
static const double adapter_copy_share = 0.3;

/*
 * Share of the limit of loads from the weight store to use. Loads of weights
 * that are cached at the endpoint aren't counted, but the cache may have
 * dropped them meanwhile.
 */
static const double load_limit_share = 0.9;

/** Demand of all instances for one adapter. */
typedef struct adapter_demand {
	char adapter[16];
	int model;
	double work;
	bool unserved;
	bool all_tried; /* a call has tried all copies: load one more */
	int copies;
} adapter_demand_t;

/** What one round knows of a service. */
typedef struct plan_round {
	plan_t *p;
	const service_def_t *def;
	assign_model_t *model;
	assign_ep_t *ep;
	dispatcher_t **dispatcher;
	uint8_t *state, *cached; /* [ep * nmodel + model] */
	int nep;
	GArray *adapter; /* adapter_demand_t */
} plan_round_t;

static int
model_index(const service_def_t *d, const char *name)
{
	int i;

	for (i = 0; i < d->nmodel; i++)
		if (strcmp(d->model[i].name, name) == 0)
			return i;
	return -1;
}

static void
add_demand(plan_round_t *r, const char *service, const char *model,
    const char *adapter, double work, bool unserved, bool all_tried)
{
	int m = model_index(r->def, model);
	adapter_demand_t a = { .model = m,
		.work = work,
		.unserved = unserved,
		.all_tried = all_tried };
	guint i;

	if (m == -1 || strcmp(service, r->def->name) != 0)
		return;
	if (*adapter == '\0') {
		r->model[m].demand += work;
		r->model[m].unserved |= unserved;
		return;
	}
	for (i = 0; i < r->adapter->len; i++) {
		adapter_demand_t *x =
		    &g_array_index(r->adapter, adapter_demand_t, i);

		if (x->model == m && strcmp(x->adapter, adapter) == 0) {
			x->work += work;
			x->unserved |= unserved;
			x->all_tried |= all_tried;
			return;
		}
	}
	if (str_copy(a.adapter, sizeof(a.adapter), adapter))
		g_array_append_val(r->adapter, a);
}

static void
gather_demand(plan_round_t *r)
{
	serve_t *s = r->p->s;
	ms_t now = s->loop.now;
	GHashTableIter it;
	gpointer v;
	guint k;
	int i;

	g_hash_table_iter_init(&it, s->demand);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		demand_t *d = v;

		add_demand(r, d->service, d->model, d->adapter,
		    demand_rate(s, d),
		    is_recent(d->unserved_at, now, UNSERVED_MS),
		    is_recent(d->all_tried_at, now, ALL_TRIED_MS));
	}
	for (i = 0; i < s->peers.npeer; i++) {
		peer_t *p = s->peers.peer[i];

		if (!peer_alive(s, p))
			continue;
		for (k = 0; k < p->demand->len; k++) {
			peer_demand_t *t =
			    &g_array_index(p->demand, peer_demand_t, k);

			add_demand(r, t->service, t->model, t->adapter, t->work,
			    t->unserved && now - t->received_at < UNSERVED_MS,
			    t->all_tried &&
				now - t->received_at < ALL_TRIED_MS);
		}
	}
}

/* A model needs enough copies to have a slot for each requested adapter. */
static void
set_min_copies(plan_round_t *r)
{
	int *n = g_new0(int, r->def->nmodel + 1), m;
	guint i;

	for (i = 0; i < r->adapter->len; i++)
		n[g_array_index(r->adapter, adapter_demand_t, i).model] +=
		    g_array_index(r->adapter, adapter_demand_t, i).work >
		    ADAPTER_MIN_WORK;
	for (m = 0; m < r->def->nmodel && r->def->adapter_slots > 0; m++)
		r->model[m].copies_min =
		    (n[m] + r->def->adapter_slots - 1) / r->def->adapter_slots;
	g_free(n);
}

static bool
list_contains(const char (*list)[ID_MAX], int n, const char *name)
{
	int i;

	for (i = 0; i < n; i++)
		if (strcmp(list[i], name) == 0)
			return true;
	return false;
}

static void
add_endpoint(plan_round_t *r, int e, dispatcher_t *d)
{
	serve_t *s = r->p->s;
	const holding_set_t *h = &d->ep->entry.holds;
	int m, w;

	r->dispatcher[e] = d;
	r->ep[e] = (assign_ep_t){
		/* Failing calls are transient and don't move models. */
		.usable = ep_usable(d->ep) && d->ep->missing_at == 0,
		.accepts_order = dispatcher_idle(d),
		.free_mb = r->def->weights_mb - dispatcher_memory_mb(d),
		.tokens_per_s =
		    1000 * (s->average_speed.prefill_speed > 0
				   ? s->average_speed.prefill_speed
				   : DEFAULT_PREFILL_SPEED / 1000.0),
	};
	for (m = 0; m < r->def->nmodel; m++) {
		const char *name = r->def->model[m].name;
		uint8_t *to = &r->state[e * r->def->nmodel + m];

		if (dispatcher_unloading(d, name))
			*to = COPY_UNLOADING;
		else if (list_contains(h->model, h->nmodel, name))
			*to = COPY_READY;
		else if (dispatcher_loading(d, name, ""))
			*to = COPY_LOADING;
		if (*to == COPY_UNLOADING && strcmp(name, d->evicted) == 0 &&
		    (w = model_index(r->def, d->room_for)) != -1)
			r->model[w].pending_unloads++;
		r->cached[e * r->def->nmodel + m] =
		    list_contains(h->in_memory, h->nin_memory, name) ||
		    list_contains(h->on_disk, h->non_disk, name);
	}
}

static void
round_init(plan_round_t *r, plan_t *p, const service_def_t *def)
{
	ep_table_t *f = &p->s->endpoints;
	int i;

	*r = (plan_round_t){ .p = p, .def = def };
	r->model = g_new0(assign_model_t, def->nmodel + 1);
	r->ep = g_new0(assign_ep_t, f->nep + 1);
	r->dispatcher = g_new0(dispatcher_t *, f->nep + 1);
	r->state = g_malloc0((gsize)f->nep * def->nmodel + 1);
	r->cached = g_malloc0((gsize)f->nep * def->nmodel + 1);
	r->adapter = g_array_new(FALSE, FALSE, sizeof(adapter_demand_t));
	for (i = 0; i < def->nmodel; i++)
		r->model[i].weights_mb = def->model[i].weights_mb;
	gather_demand(r);
	set_min_copies(r);
	for (i = 0; i < f->nep; i++) {
		if (!f->ep[i]->listed ||
		    strcmp(f->ep[i]->entry.service, def->name) != 0)
			continue;
		add_endpoint(r, r->nep++, dispatcher_get(p, f->ep[i]));
	}
}

static void
round_free(plan_round_t *r)
{
	g_free(r->model);
	g_free(r->ep);
	g_free(r->dispatcher);
	g_free(r->state);
	g_free(r->cached);
	g_array_free(r->adapter, TRUE);
}

/* May another load from the weight store begin now? */
static bool
may_load_from_store(const plan_t *p, const service_def_t *def)
{
	const deployment_bounds_t *bo = &p->s->conf.bounds;
	ms_t now = p->s->loop.now;
	double most = floor(load_limit_share * def->loads_per_s *
			    (double)bo->ceiling_window / 1000);
	int i, n = 0;

	/* Loads that the previous holder began aren't known. */
	if (now - p->holder_since < bo->ceiling_window &&
	    most > NEW_HOLDER_LOADS)
		most = NEW_HOLDER_LOADS;
	for (i = 0; i < LOAD_HISTORY_SIZE && i < p->nload; i++)
		n += now - p->load_at[i] <= bo->ceiling_window;
	return n < most;
}

static void
record_load(plan_t *p)
{
	p->load_at[p->nload % LOAD_HISTORY_SIZE] = p->s->loop.now;
	if (++p->nload >= 2 * LOAD_HISTORY_SIZE)
		p->nload -= LOAD_HISTORY_SIZE;
}

/* Until then, copies may be missing since endpoints aren't listed yet. */
static bool
endpoints_settled(const plan_t *p)
{
	const serve_t *s = p->s;

	return s->loop.now - s->ep_added_at > ENDPOINTS_SETTLE_MS &&
	       s->loop.now - p->holder_since > ENDPOINTS_SETTLE_MS;
}

/* Log the models in demand or without a copy, once a second. */
static void
log_placement(const plan_round_t *r)
{
	plan_t *p = r->p;
	buf_t t = { 0 };
	int m, e, usable = 0, idle = 0, n = 0;

	if (p->s->loop.now - p->logged_at < LOG_INTERVAL_MS)
		return;
	p->logged_at = p->s->loop.now;
	for (e = 0; e < r->nep; e++) {
		usable += r->ep[e].usable;
		idle += r->ep[e].accepts_order;
	}
	for (m = 0; m < r->def->nmodel && n < LOG_MODELS_MAX; m++) {
		const assign_model_t *mo = &r->model[m];

		if (mo->demand < 1 && mo->copies > 0)
			continue;
		n++;
		buf_fmt(&t, " %s=%.0f/%d/%d%s", r->def->model[m].name,
		    mo->demand, mo->copies, mo->target,
		    mo->unserved ? "!" : "");
	}
	buf_add(&t, "", 1);
	log_limited(LOG_INFO, "placement",
	    "service=%s usable=%d free=%d fetch=%d work_copies_target:%s",
	    r->def->name, usable, idle, may_load_from_store(p, r->def), t.p);
	buf_free(&t);
}

static void
order_models(plan_round_t *r)
{
	plan_t *p = r->p;
	const service_def_t *def = r->def;
	assign_input_t in = { .model = r->model,
		.nmodel = def->nmodel,
		.ep = r->ep,
		.nep = r->nep,
		.state = r->state,
		.cached = r->cached,
		.endpoints_stable = endpoints_settled(p) };
	assign_order_t order;
	int i;

	/* An adapter's order may just have been sent. */
	for (i = 0; i < r->nep; i++)
		r->ep[i].accepts_order = dispatcher_idle(r->dispatcher[i]);
	for (i = 0; i < ORDERS_PER_ROUND; i++) {
		in.may_fetch = may_load_from_store(p, def);
		if (!assign_next_order(&in, &order))
			return;
		if (order.load &&
		    !r->cached[order.ep * def->nmodel + order.model])
			record_load(p);
		dispatcher_send_order(p, r->dispatcher[order.ep], order.load,
		    def->model[order.model].name, "",
		    assign_reason_name(order.reason));
		/* One order an endpoint in a round. */
		r->ep[order.ep].accepts_order = false;
		r->state[order.ep * def->nmodel + order.model] =
		    order.load ? COPY_LOADING : COPY_UNLOADING;
		if (order.load) {
			r->ep[order.ep].free_mb -=
			    r->model[order.model].weights_mb;
			continue;
		}
		r->model[order.for_model].pending_unloads++;
		str_copy(r->dispatcher[order.ep]->evicted, ID_MAX,
		    def->model[order.model].name);
		str_copy(r->dispatcher[order.ep]->room_for, ID_MAX,
		    def->model[order.for_model].name);
	}
}

/* Adapters. */

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
	guint i;

	for (i = 0; i < r->adapter->len; i++) {
		adapter_demand_t *x =
		    &g_array_index(r->adapter, adapter_demand_t, i);

		if (x->model == model && strcmp(x->adapter, adapter) == 0)
			return x->work;
	}
	return 0;
}

/* The loaded adapter with the least demand below *least, -1: none. */
static int
least_used_adapter(const plan_round_t *r, const dispatcher_t *d, double *least)
{
	const holding_set_t *h = &d->ep->entry.holds;
	int i, best = -1;

	for (i = 0; i < h->nadapter; i++) {
		const char *model = h->model[h->adapter[i].model];
		int m = model_index(r->def, model);
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

static void
place_adapter(plan_round_t *r, const adapter_demand_t *a)
{
	plan_t *p = r->p;
	const char *model = r->def->model[a->model].name;
	dispatcher_t *best = NULL, *full = NULL;
	double cost, least = INFINITY;
	double max_work = adapter_priority(a);
	int e, n, victim = -1;

	for (e = 0; e < r->nep; e++) {
		dispatcher_t *d = r->dispatcher[e];

		if (!r->ep[e].usable || !dispatcher_idle(d) ||
		    ep_has_adapter(r, d, a) ||
		    adapters_loading(d) >= ADAPTER_LOADS_MAX ||
		    r->state[e * r->def->nmodel + a->model] != COPY_READY)
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
	double a = adapter_priority(x), b = adapter_priority(y);

	return a > b ? -1 : a < b;
}

static void
order_adapters(plan_round_t *r)
{
	double speed =
	    r->nep > 0 ? r->ep[0].tokens_per_s : DEFAULT_PREFILL_SPEED;
	guint i;
	int e;

	for (i = 0; i < r->adapter->len; i++) {
		adapter_demand_t *a =
		    &g_array_index(r->adapter, adapter_demand_t, i);

		for (e = 0; e < r->nep; e++)
			a->copies += r->ep[e].usable &&
				     ep_has_adapter(r, r->dispatcher[e], a);
	}
	/* By priority: a freed slot gets the adapter that it was freed for. */
	g_array_sort(r->adapter, by_priority);
	for (i = 0; i < r->adapter->len; i++) {
		const adapter_demand_t *a =
		    &g_array_index(r->adapter, adapter_demand_t, i);
		int copies_wanted =
		    1 + (int)(a->work / (adapter_copy_share * speed));

		if (a->copies == 0 ? a->unserved || a->work > 0
				   : a->copies < copies_wanted + a->all_tried)
			place_adapter(r, a);
	}
}

static void
request_reports(plan_round_t *r)
{
	int e;

	for (e = 0; e < r->nep; e++) {
		dispatcher_check_entry(r->dispatcher[e]);
		if (r->dispatcher[e]->need_report)
			dispatcher_request_report(r->dispatcher[e]);
	}
}

static void
run_round(plan_t *p)
{
	const config_t *c = p->s->config;
	plan_round_t r;
	int i;

	for (i = 0; c != NULL && i < c->nservice; i++) {
		if (!c->service[i].engine)
			continue;
		round_init(&r, p, &c->service[i]);
		request_reports(&r);
		order_adapters(&r);
		order_models(&r);
		log_placement(&r);
		round_free(&r);
	}
}

static void
on_timer(void *arg)
{
	plan_t *p = arg;

	alarm_set(&p->s->loop, &p->timer, p->s->loop.now + ROUND_INTERVAL_MS);
	lease_update(p);
	p->run_pending = false;
	if (lease_may_order(p))
		run_round(p);
}

void
plan_run_soon(serve_t *s)
{
	if (s->plan != NULL && s->plan->leadership.held)
		s->plan->run_pending = true;
}

void
plan_run_if_due(serve_t *s)
{
	plan_t *p = s->plan;

	if (p == NULL || !p->run_pending)
		return;
	p->run_pending = false;
	if (lease_may_order(p))
		run_round(p);
}

void
plan_request(serve_t *s, const call_t *c, bool all_tried)
{
	demand_t *d =
	    demand_find(s, c->service, c->request.model, c->request.adapter);
	ms_t *at = all_tried ? &d->all_tried_at : &d->unserved_at;

	if (*at == 0 || s->loop.now - *at > ROUND_INTERVAL_MS)
		s->peers.demand_due = true;
	*at = s->loop.now;
	plan_run_soon(s);
}

void
plan_forget_endpoint(serve_t *s, const ep_t *ep)
{
	dispatcher_t *d;

	if (s->plan == NULL)
		return;
	d = g_hash_table_lookup(s->plan->dispatchers, ep);
	if (d == NULL)
		return;
	http_request_cancel(d->request);
	g_hash_table_remove(s->plan->dispatchers, ep);
}

void
plan_release(serve_t *s)
{
	if (s->plan != NULL)
		lease_release(s->plan);
}

plan_t *
plan_new(serve_t *s)
{
	plan_t *p = g_new0(plan_t, 1);

	p->s = s;
	leadership_init(&p->leadership, s->conf.bounds.lease);
	p->dispatchers =
	    g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL, g_free);
	p->timer = (alarm_t){ .fn = on_timer, .arg = p };
	alarm_set(&s->loop, &p->timer, s->loop.now + ROUND_INTERVAL_MS);
	/* The history of versions is needed for the first call already. */
	if (!s->software_read)
		lease_read(p);
	return p;
}
