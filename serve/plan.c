/*
 * Placement rounds of the holder: demand and the state of the endpoints decide
 * which models and adapters to load and unload.
 */
#include "serve/plan_round.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

enum {
	ROUND_INTERVAL_MS = 100,
	/* Between rounds that calls without a copy or orders cause. */
	ROUND_MIN_INTERVAL_MS = 20,
	ORDERS_PER_ROUND = 6,
	/* Loads from the weight store in a new holder's first window. */
	NEW_HOLDER_LOADS = 4,
	LOG_INTERVAL_MS = 1000, /* between log lines on the placement */
	LOG_MODELS_MAX = 24,
	/* Without a new endpoint for so long, none is missing. */
	ENDPOINTS_SETTLE_MS = 2500,
};

/*
 * Share of the limit of loads from the weight store to use. Loads of weights
 * that are cached at the endpoint aren't counted, but the cache may have
 * dropped them meanwhile.
 */
static const double load_limit_share = 0.9;

/* @return loads from the weight store that may begin now */
static int
loads_allowed(const plan_t *p, const service_def_t *def)
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
	if (most > LOAD_HISTORY_SIZE)
		most = LOAD_HISTORY_SIZE;
	for (i = 0; i < LOAD_HISTORY_SIZE && i < p->nload; i++)
		n += now - p->load_at[i] <= bo->ceiling_window;
	return n < most ? (int)most - n : 0;
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
	    r->def->name, usable, idle, loads_allowed(p, r->def), t.p);
	buf_free(&t);
}

static void
send_model_order(plan_round_t *r, const assign_order_t *o)
{
	dispatcher_t *d = r->dispatcher[o->ep];

	if (o->fetched)
		record_load(r->p);
	dispatcher_send_order(r->p, d, o->load, r->def->model[o->model].name,
	    "", assign_reason_name(o->reason));
}

/* Keep where room is being made, and for which model. */
static void
keep_rooms(plan_round_t *r)
{
	int e;

	for (e = 0; e < r->nep; e++) {
		dispatcher_t *d = r->dispatcher[e];
		int m = r->ep[e].room_for;
		const char *name = m != -1 ? r->def->model[m].name : "";

		if (strcmp(d->room_for, name) == 0)
			continue;
		str_set(d->room_for, ID_MAX, name);
		d->room_since = r->p->s->loop.now;
	}
}

static void
order_models(plan_round_t *r)
{
	assign_input_t in = { .model = r->model,
		.nmodel = r->def->nmodel,
		.ep = r->ep,
		.nep = r->nep,
		.copy = (assign_copy_t *)(void *)r->copy->data,
		.cached = (const int *)(void *)r->cached->data,
		.endpoints_stable = endpoints_settled(r->p),
		.fetches = loads_allowed(r->p, r->def) };
	assign_order_t order[ORDERS_PER_ROUND];
	int i, n;

	/* An adapter's order may just have been sent. */
	for (i = 0; i < r->nep; i++)
		r->ep[i].accepts_order = dispatcher_idle(r->dispatcher[i]);
	n = assign_orders(&in, order, ORDERS_PER_ROUND);
	for (i = 0; i < n; i++)
		send_model_order(r, &order[i]);
	keep_rooms(r);
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

	p->round_at = p->s->loop.now;
	for (i = 0; c != NULL && i < c->nservice; i++) {
		if (!c->service[i].engine)
			continue;
		round_init(&r, p, &c->service[i]);
		request_reports(&r);
		order_adapters(&r);
		order_models(&r);
		round_keep_models(&r);
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
	plan_send_waits(p);
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
	if (s->loop.now - p->round_at < ROUND_MIN_INTERVAL_MS) {
		alarm_set(
		    &s->loop, &p->timer, p->round_at + ROUND_MIN_INTERVAL_MS);
		return;
	}
	p->run_pending = false;
	if (lease_may_order(p))
		run_round(p);
	plan_send_waits(p);
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
	leadership_init(
	    &p->leadership, s->conf.bounds.lease, s->conf.first_start);
	p->dispatchers =
	    g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL, g_free);
	p->models = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
	    (GDestroyNotify)g_hash_table_destroy);
	p->timer = (alarm_t){ .fn = on_timer, .arg = p };
	alarm_set(&s->loop, &p->timer, s->loop.now + ROUND_INTERVAL_MS);
	/* The history of versions is needed for the first call already. */
	if (!s->software_read)
		lease_read(p);
	return p;
}
