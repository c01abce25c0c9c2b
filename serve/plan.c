#include "serve/plan.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

enum {
	ROUND_INTERVAL_MS = 100,
	ORDERS_PER_ROUND = 6,	/* orders in one tick */
	WAITING_CALL_MS = 3000, /* a call that waits has given up by then */
	ALL_TRIED_MS = 500,	/* one copy more is there by then */
	ADAPTER_IDLE_MS = 3000, /* asked for since: it isn't dropped */
	ADAPTER_MIN_WORK = 300, /* tokens/s: a call in the last seconds */
	NEW_HOLDER_LOADS =
	    4, /* from the store, in a new holder's first window */
	FREE_SLOT_VALUE_MS =
	    20, /* a place left free is worth so much waiting */
	UNLOAD_WAIT_DIVISOR =
	    2, /* of the places may wait for long calls to end */
	ADAPTER_LOADS_MAX = 3, /* on their way to one endpoint */
	DEFAULT_PREFILL_SPEED =
	    15000,		/* tokens/s, before any pace was learnt */
	LOG_INTERVAL_MS = 1000, /* between lines on what is believed */
	LOG_MODELS_MAX = 24,
	ENDPOINTS_SETTLE_MS =
	    2500, /* endpoints have come as far as they will */
};
/* Work that one more copy of an adapter is worth, in parts of a pace. */
static const double adapter_copy_share = 0.3;

/* Weights that seem at hand may have yielded: such loads aren't counted. */
static const double load_limit_share = 0.9;

/** Demand of all instances for one model or adapter. */
typedef struct adapter_demand {
	char adapter[16];
	int model;
	double work;
	bool waiting;
	bool all_tried; /* one copy more: a call has tried those there are */
	int copies;
} adapter_demand_t;

typedef struct plan_round {
	plan_t *p;
	const service_def_t *def;
	assign_model_t *model;
	assign_ep_t *ep;
	dispatcher_t **dispatcher;
	uint8_t *held, *cached;
	int nep;
	GArray *adapter; /* asked_t */
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
add_demand(plan_round_t *b, const char *service, const char *model,
    const char *adapter, double work, bool waiting, bool further)
{
	int m = model_index(b->def, model);
	adapter_demand_t a = { .model = m,
		.work = work,
		.waiting = waiting,
		.all_tried = further };
	guint i;

	if (m == -1 || strcmp(service, b->def->name) != 0)
		return;
	if (*adapter == '\0') {
		b->model[m].demand += work;
		b->model[m].unserved |= waiting;
		return;
	}
	for (i = 0; i < b->adapter->len; i++) {
		adapter_demand_t *x =
		    &g_array_index(b->adapter, adapter_demand_t, i);

		if (x->model == m && strcmp(x->adapter, adapter) == 0) {
			x->work += work;
			x->waiting |= waiting;
			x->all_tried |= further;
			return;
		}
	}
	if (str_copy(a.adapter, sizeof(a.adapter), adapter))
		g_array_append_val(b->adapter, a);
}

static void
gather_demand(plan_round_t *b)
{
	serve_t *s = b->p->s;
	ms_t now = s->loop.now;
	GHashTableIter it;
	gpointer v;
	guint k;
	int i;

	g_hash_table_iter_init(&it, s->demand);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		demand_t *d = v;

		add_demand(b, d->service, d->model, d->adapter,
		    demand_rate(s, d),
		    is_recent(d->waiting_at, now, WAITING_CALL_MS),
		    is_recent(d->all_tried_at, now, ALL_TRIED_MS));
	}
	for (i = 0; i < s->peers.npeer; i++) {
		peer_t *p = s->peers.peer[i];

		if (!peer_alive(s, p))
			continue;
		for (k = 0; k < p->demand->len; k++) {
			peer_demand_t *t =
			    &g_array_index(p->demand, peer_demand_t, k);

			add_demand(b, t->service, t->model, t->adapter, t->work,
			    t->waiting &&
				now - t->received_at < WAITING_CALL_MS,
			    t->all_tried &&
				now - t->received_at < ALL_TRIED_MS);
		}
	}
}

/* Adapters that are asked for need places beside each other. */
static void
set_min_copies(plan_round_t *b)
{
	int *n = g_new0(int, b->def->nmodel + 1), m;
	guint i;

	for (i = 0; i < b->adapter->len; i++)
		n[g_array_index(b->adapter, adapter_demand_t, i).model] +=
		    g_array_index(b->adapter, adapter_demand_t, i).work >
		    ADAPTER_MIN_WORK;
	for (m = 0; m < b->def->nmodel && b->def->adapter_slots > 0; m++)
		b->model[m].copies_min =
		    (n[m] + b->def->adapter_slots - 1) / b->def->adapter_slots;
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
add_endpoint(plan_round_t *b, int e, dispatcher_t *d)
{
	serve_t *s = b->p->s;
	const holding_set_t *h = &d->ep->entry.holds;
	int m, w;

	b->dispatcher[e] = d;
	b->ep[e] = (assign_ep_t){
		/* Failures come and go: they move no model. */
		.usable = ep_usable(d->ep) && d->ep->missing_at == 0,
		.accepts_order = dispatcher_idle(d),
		.free_mb = b->def->weights_mb - dispatcher_memory_mb(d),
		.tokens_per_s =
		    1000 * (s->average_speed.prefill_speed > 0
				   ? s->average_speed.prefill_speed
				   : DEFAULT_PREFILL_SPEED / 1000.0),
	};
	for (m = 0; m < b->def->nmodel; m++) {
		const char *name = b->def->model[m].name;
		uint8_t *to = &b->held[e * b->def->nmodel + m];

		if (dispatcher_unloading(d, name))
			*to = COPY_UNLOADING;
		else if (list_contains(h->model, h->nmodel, name))
			*to = COPY_READY;
		else if (dispatcher_loading(d, name, ""))
			*to = COPY_LOADING;
		if (*to == COPY_UNLOADING && strcmp(name, d->evicted) == 0 &&
		    (w = model_index(b->def, d->room_for)) != -1)
			b->model[w].pending_unloads++;
		b->cached[e * b->def->nmodel + m] =
		    list_contains(h->in_memory, h->nin_memory, name) ||
		    list_contains(h->on_disk, h->non_disk, name);
	}
}

static void
round_init(plan_round_t *b, plan_t *p, const service_def_t *def)
{
	ep_table_t *f = &p->s->endpoints;
	int i;

	*b = (plan_round_t){ .p = p, .def = def };
	b->model = g_new0(assign_model_t, def->nmodel + 1);
	b->ep = g_new0(assign_ep_t, f->nep + 1);
	b->dispatcher = g_new0(dispatcher_t *, f->nep + 1);
	b->held = g_malloc0((gsize)f->nep * def->nmodel + 1);
	b->cached = g_malloc0((gsize)f->nep * def->nmodel + 1);
	b->adapter = g_array_new(FALSE, FALSE, sizeof(adapter_demand_t));
	for (i = 0; i < def->nmodel; i++)
		b->model[i].weights_mb = def->model[i].weights_mb;
	gather_demand(b);
	set_min_copies(b);
	for (i = 0; i < f->nep; i++) {
		if (!f->ep[i]->listed ||
		    strcmp(f->ep[i]->entry.service, def->name) != 0)
			continue;
		add_endpoint(b, b->nep++, dispatcher_get(p, f->ep[i]));
	}
}

static void
round_free(plan_round_t *b)
{
	g_free(b->model);
	g_free(b->ep);
	g_free(b->dispatcher);
	g_free(b->held);
	g_free(b->cached);
	g_array_free(b->adapter, TRUE);
}

/* Loads from the weight store that may begin now. */
static bool
may_load_from_store(const plan_t *p, const service_def_t *def)
{
	const site_bounds_t *bo = &p->s->site.bounds;
	ms_t now = p->s->loop.now;
	double most = floor(load_limit_share * def->loads_per_s *
			    (double)bo->ceiling_window / 1000);
	int i, n = 0;

	/* What the holder before us began isn't known. */
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

/* Copies may be missing only because their endpoints aren't listed yet. */
static bool
endpoints_settled(const plan_t *p)
{
	const serve_t *s = p->s;

	return s->loop.now - s->ep_added_at > ENDPOINTS_SETTLE_MS &&
	       s->loop.now - p->holder_since > ENDPOINTS_SETTLE_MS;
}

/* What the holder believes, once a second: the models that are asked for. */
static void
log_placement(const plan_round_t *b)
{
	plan_t *p = b->p;
	buf_t t = { 0 };
	int m, e, usable = 0, idle = 0, n = 0;

	if (p->s->loop.now - p->logged_at < LOG_INTERVAL_MS)
		return;
	p->logged_at = p->s->loop.now;
	for (e = 0; e < b->nep; e++) {
		usable += b->ep[e].usable;
		idle += b->ep[e].accepts_order;
	}
	for (m = 0; m < b->def->nmodel && n < LOG_MODELS_MAX; m++) {
		const assign_model_t *mo = &b->model[m];

		if (mo->demand < 1 && mo->copies > 0)
			continue;
		n++;
		buf_fmt(&t, " %s=%.0f/%d/%d%s", b->def->model[m].name,
		    mo->demand, mo->copies, mo->target,
		    mo->unserved ? "!" : "");
	}
	buf_add(&t, "", 1);
	log_limited(LOG_INFO, "placement",
	    "service=%s usable=%d free=%d fetch=%d work_copies_target:%s",
	    b->def->name, usable, idle, may_load_from_store(p, b->def), t.p);
	buf_free(&t);
}

static void
order_models(plan_round_t *b)
{
	plan_t *p = b->p;
	const service_def_t *def = b->def;
	assign_input_t in = { .model = b->model,
		.nmodel = def->nmodel,
		.ep = b->ep,
		.nep = b->nep,
		.state = b->held,
		.cached = b->cached,
		.endpoints_stable = endpoints_settled(p) };
	assign_order_t mv;
	int i;

	/* An adapter's order may just have gone out. */
	for (i = 0; i < b->nep; i++)
		b->ep[i].accepts_order = dispatcher_idle(b->dispatcher[i]);
	for (i = 0; i < ORDERS_PER_ROUND; i++) {
		in.may_fetch = may_load_from_store(p, def);
		if (!assign_next_order(&in, &mv))
			return;
		if (mv.load && !b->cached[mv.ep * def->nmodel + mv.model])
			record_load(p);
		dispatcher_send_order(p, b->dispatcher[mv.ep], mv.load,
		    def->model[mv.model].name, "",
		    assign_reason_name(mv.reason));
		/* One order an endpoint, and the board shows it. */
		b->ep[mv.ep].accepts_order = false;
		b->held[mv.ep * def->nmodel + mv.model] =
		    mv.load ? COPY_LOADING : COPY_UNLOADING;
		if (mv.load) {
			b->ep[mv.ep].free_mb -= b->model[mv.model].weights_mb;
			continue;
		}
		b->model[mv.for_model].pending_unloads++;
		str_copy(b->dispatcher[mv.ep]->evicted, ID_MAX,
		    def->model[mv.model].name);
		str_copy(b->dispatcher[mv.ep]->room_for, ID_MAX,
		    def->model[mv.for_model].name);
	}
}

/* Adapters. */

static bool
ep_has_adapter(
    const plan_round_t *b, const dispatcher_t *d, const adapter_demand_t *a)
{
	const char *model = b->def->model[a->model].name;

	return ep_holds(d->ep, model, a->adapter, INT64_MAX) ||
	       dispatcher_loading(d, model, a->adapter);
}

static double
adapter_work(const plan_round_t *b, int model, const char *adapter)
{
	guint i;

	for (i = 0; i < b->adapter->len; i++) {
		adapter_demand_t *x =
		    &g_array_index(b->adapter, adapter_demand_t, i);

		if (x->model == model && strcmp(x->adapter, adapter) == 0)
			return x->work;
	}
	return 0;
}

/* The adapter that is asked for least, to be unloaded; -1: none may go. */
static int
least_used_adapter(const plan_round_t *b, const dispatcher_t *d, double *least)
{
	const holding_set_t *h = &d->ep->entry.holds;
	int i, best = -1;

	for (i = 0; i < h->nadapter; i++) {
		const char *model = h->model[h->adapter[i].model];
		int m = model_index(b->def, model);
		double work =
		    m == -1 ? 0 : adapter_work(b, m, h->adapter[i].name);

		/* One that goes already isn't spare. */
		if (work >= *least ||
		    !ep_holds(d->ep, model, h->adapter[i].name, INT64_MAX) ||
		    dispatcher_recently_loaded(d, model, h->adapter[i].name))
			continue;
		*least = work;
		best = i;
	}
	return best;
}

/* Adapters on their way; the endpoint takes a few at a time. */
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
    const plan_round_t *b, const dispatcher_t *d, const adapter_demand_t *a)
{
	return dispatcher_adapter_count(d) < b->def->adapter_slots &&
	       dispatcher_memory_mb(d) + b->def->model[a->model].adapter_mb <=
		   b->def->weights_mb;
}

/* Work that it brings if it gets a place; what nobody holds comes first. */
static double
adapter_priority(const adapter_demand_t *a)
{
	return a->work +
	       (a->copies == 0 && a->waiting ? DEFAULT_PREFILL_SPEED : 0);
}

static void
place_adapter(plan_round_t *b, const adapter_demand_t *a)
{
	plan_t *p = b->p;
	const char *model = b->def->model[a->model].name;
	dispatcher_t *best = NULL, *full = NULL;
	double cost, least = INFINITY;
	double spare = adapter_priority(a);
	int e, n, victim = -1;

	for (e = 0; e < b->nep; e++) {
		dispatcher_t *d = b->dispatcher[e];

		if (!b->ep[e].usable || !dispatcher_idle(d) ||
		    ep_has_adapter(b, d, a) ||
		    adapters_loading(d) >= ADAPTER_LOADS_MAX ||
		    b->held[e * b->def->nmodel + a->model] != COPY_READY)
			continue;
		if (!adapter_fits(b, d, a)) {
			n = dispatcher_adapter_unload_pending(
				d, b->def->adapter_slots / UNLOAD_WAIT_DIVISOR)
				? -1
				: least_used_adapter(b, d, &spare);
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
		    a->waiting ? "waiting" : "demand");
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
order_adapters(plan_round_t *b)
{
	double pace =
	    b->nep > 0 ? b->ep[0].tokens_per_s : DEFAULT_PREFILL_SPEED;
	guint i;
	int e;

	for (i = 0; i < b->adapter->len; i++) {
		adapter_demand_t *a =
		    &g_array_index(b->adapter, adapter_demand_t, i);

		for (e = 0; e < b->nep; e++)
			a->copies += b->ep[e].usable &&
				     ep_has_adapter(b, b->dispatcher[e], a);
	}
	/* A place that was made free goes to the one it was made for. */
	g_array_sort(b->adapter, by_priority);
	for (i = 0; i < b->adapter->len; i++) {
		const adapter_demand_t *a =
		    &g_array_index(b->adapter, adapter_demand_t, i);
		int want = 1 + (int)(a->work / (adapter_copy_share * pace));

		if (a->copies == 0 ? a->waiting || a->work > 0
				   : a->copies < want + a->all_tried)
			place_adapter(b, a);
	}
}

static void
request_reports(plan_round_t *b)
{
	int e;

	for (e = 0; e < b->nep; e++) {
		dispatcher_check_entry(b->dispatcher[e]);
		if (b->dispatcher[e]->need_report)
			dispatcher_request_report(b->dispatcher[e]);
	}
}

static void
run_round(plan_t *p)
{
	const config_t *c = p->s->config;
	plan_round_t b;
	int i;

	for (i = 0; c != NULL && i < c->nservice; i++) {
		if (!c->service[i].engine)
			continue;
		round_init(&b, p, &c->service[i]);
		request_reports(&b);
		order_adapters(&b);
		order_models(&b);
		log_placement(&b);
		round_free(&b);
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
plan_request(serve_t *s, const call_t *c, bool further)
{
	demand_t *d =
	    demand_find(s, c->service, c->request.model, c->request.adapter);
	ms_t *at = further ? &d->all_tried_at : &d->waiting_at;

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
	leadership_init(&p->leadership, s->site.bounds.lease);
	p->dispatchers =
	    g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL, g_free);
	p->timer = (alarm_t){ .fn = on_timer, .arg = p };
	alarm_set(&s->loop, &p->timer, s->loop.now + ROUND_INTERVAL_MS);
	return p;
}
