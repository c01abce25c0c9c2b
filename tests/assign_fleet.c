#include "tests/assign_fleet.h"

#include <math.h>
#include <string.h>

enum {
	WINDOW_MS = 5000, /* of the weight store's rate */
};

static const double half_life_ms = 2000, interest_half_life_ms = 30000;
static const double call_tokens = 2400; /* of one rare call */

sim_t *
sim_new(int nep, double memory_mb, int nmodel, double weights_mb)
{
	sim_t *f = g_new0(sim_t, 1);
	int i;

	f->nep = nep;
	f->ep = g_new0(sim_ep_t, nep);
	f->nmodel = nmodel;
	f->model = g_new0(sim_model_t, nmodel);
	f->last = g_new0(assign_model_t, nmodel);
	f->fetched_at = g_array_new(FALSE, FALSE, sizeof(ms_t));
	f->now = 100000;
	f->unload = 150;
	f->tokens_per_s = 19000;
	f->loads_per_s = 100;
	for (i = 0; i < nep; i++) {
		f->ep[i].memory_mb = memory_mb;
		f->ep[i].room_for = -1;
	}
	for (i = 0; i < nmodel; i++) {
		f->model[i].weights_mb = weights_mb;
		f->model[i].load = 1500;
	}
	return f;
}

void
sim_free(sim_t *f)
{
	g_free(f->ep);
	g_free(f->model);
	g_free(f->last);
	g_array_free(f->fetched_at, TRUE);
	g_free(f);
}

static double
free_mb(const sim_t *f, const sim_ep_t *p)
{
	double mb = p->memory_mb;
	int i;

	for (i = 0; i < p->nheld; i++)
		mb -= f->model[p->held[i].model].weights_mb;
	return mb;
}

void
sim_hold(sim_t *f, int ep, int model)
{
	sim_ep_t *p = &f->ep[ep];

	g_assert_cmpint(p->nheld, <, SIM_HELD_MAX);
	p->held[p->nheld++] =
	    (sim_copy_t){ .model = model, .state = COPY_READY };
	g_assert_cmpfloat(free_mb(f, p), >=, 0);
}

int
sim_copies(const sim_t *f, int model)
{
	int e, i, n = 0;

	for (e = 0; e < f->nep; e++)
		for (i = 0; i < f->ep[e].nheld && !f->ep[e].lost; i++)
			n += f->ep[e].held[i].model == model &&
			     f->ep[e].held[i].state == COPY_READY;
	return n;
}

int
sim_loads(const sim_t *f)
{
	int m, n = 0;

	for (m = 0; m < f->nmodel; m++)
		n += f->model[m].loads;
	return n;
}

/* Orders that are done take effect. */
static void
finish_orders(sim_t *f)
{
	int e, i;

	for (e = 0; e < f->nep; e++) {
		sim_ep_t *p = &f->ep[e];

		for (i = p->nheld - 1; i >= 0; i--) {
			sim_copy_t *c = &p->held[i];

			if (c->done_at == 0 || f->now < c->done_at)
				continue;
			c->done_at = 0;
			if (c->state == COPY_UNLOADING) {
				*c = p->held[--p->nheld];
			} else {
				c->state = COPY_READY;
				c->loaded_at = f->now;
			}
		}
	}
}

static void
callers_ask(sim_t *f)
{
	double keep = exp2(-SIM_STEP_MS / half_life_ms);
	double keep_interest = exp2(-SIM_STEP_MS / interest_half_life_ms);
	int m;

	for (m = 0; m < f->nmodel; m++) {
		sim_model_t *x = &f->model[m];

		x->demand = x->demand * keep + x->offered * (1 - keep);
		if (x->offered > 0)
			x->asked_at = f->now;
		if (x->asked_every > 0 &&
		    f->now / x->asked_every !=
			(f->now - SIM_STEP_MS) / x->asked_every) {
			x->demand += call_tokens * M_LN2 / 2;
			x->asked_at = f->now;
		}
		/* Instances report nothing below a token a second. */
		if (x->demand < 1)
			x->demand = 0;
		x->interest = x->interest * keep_interest +
			      x->demand * (1 - keep_interest);
	}
}

static int
fetches_allowed(const sim_t *f)
{
	int most = (int)(f->loads_per_s * WINDOW_MS / 1000), n = 0;
	guint i;

	for (i = 0; i < f->fetched_at->len; i++)
		n +=
		    f->now - g_array_index(f->fetched_at, ms_t, i) <= WINDOW_MS;
	return most - n;
}

static void
apply(sim_t *f, const assign_order_t *o)
{
	sim_ep_t *p = &f->ep[o->ep];
	int i;

	f->orders++;
	g_assert_cmpint(p->busy_until, <=, f->now);
	if (o->load) {
		g_assert_cmpint(p->nheld, <, SIM_HELD_MAX);
		p->busy_until = f->now + f->model[o->model].load;
		p->held[p->nheld++] = (sim_copy_t){ .model = o->model,
			.state = COPY_LOADING,
			.done_at = p->busy_until };
		g_assert_cmpfloat(free_mb(f, p), >=, 0);
		f->model[o->model].loads++;
		if (o->fetched)
			g_array_append_val(f->fetched_at, f->now);
		g_assert_cmpint(fetches_allowed(f), >=, 0);
		return;
	}
	for (i = 0; i < p->nheld; i++)
		if (p->held[i].model == o->model)
			break;
	g_assert_cmpint(i, <, p->nheld);
	g_assert_cmpint(p->held[i].state, ==, COPY_READY);
	p->held[i].state = COPY_UNLOADING;
	p->held[i].done_at = f->now + f->unload;
	f->model[o->model].unloads++;
	/* Nothing is unloaded for what nobody asks for. */
	g_assert_true(f->model[o->for_model].demand > 0 ||
		      f->model[o->for_model].asked_at == f->now);
}

static void
fill_input(sim_t *f, assign_input_t *in, GArray *copy, GArray *cached)
{
	int e, i, m;

	for (m = 0; m < f->nmodel; m++) {
		const sim_model_t *x = &f->model[m];

		in->model[m] = (assign_model_t){ .weights_mb = x->weights_mb,
			.demand = x->demand,
			.interest = x->interest,
			.unserved =
			    x->asked_at == f->now && sim_copies(f, m) == 0,
			.waited = x->missing_since != 0
				      ? f->now - x->missing_since
				      : 0,
			.copies_min = x->copies_min };
	}
	for (e = 0; e < f->nep; e++) {
		const sim_ep_t *p = &f->ep[e];

		in->ep[e] = (assign_ep_t){ .usable = !p->lost,
			.accepts_order = !p->lost && f->now >= p->busy_until,
			.free_mb = free_mb(f, p),
			.tokens_per_s = f->tokens_per_s,
			.copy = (int)copy->len,
			.ncopy = p->nheld,
			.cached = (int)cached->len,
			.ncached = p->ncached,
			.room_for = p->room_for,
			.room_age = f->now - p->room_since };
		for (i = 0; i < p->nheld; i++) {
			ms_t since = p->held[i].loaded_at;
			assign_copy_t c = { .model = p->held[i].model,
				.state = p->held[i].state,
				.stays =
				    since != 0 && f->now - since < SIM_STAY_MS
					? since + SIM_STAY_MS - f->now
					: 0 };

			g_array_append_val(copy, c);
		}
		g_array_append_vals(cached, p->cached, (guint)p->ncached);
	}
}

static void
keep_state(sim_t *f, const assign_input_t *in)
{
	int e, m;

	for (e = 0; e < f->nep; e++) {
		if (f->ep[e].room_for != in->ep[e].room_for)
			f->ep[e].room_since = f->now;
		f->ep[e].room_for = in->ep[e].room_for;
	}
	for (m = 0; m < f->nmodel; m++) {
		sim_model_t *x = &f->model[m];

		if (x->demand <= 0 || sim_copies(f, m) > 0)
			x->missing_since = 0;
		else if (x->missing_since == 0)
			x->missing_since = f->now;
		if (x->missing_since != 0 &&
		    f->now - x->missing_since > x->longest_missing)
			x->longest_missing = f->now - x->missing_since;
	}
	memcpy(f->last, in->model, (size_t)f->nmodel * sizeof(*f->last));
}

static void
run_round(sim_t *f)
{
	assign_model_t *model = g_new0(assign_model_t, f->nmodel);
	assign_ep_t *ep = g_new0(assign_ep_t, f->nep);
	GArray *copy = g_array_new(FALSE, FALSE, sizeof(assign_copy_t));
	GArray *cached = g_array_new(FALSE, FALSE, sizeof(int));
	assign_input_t in = { .model = model,
		.nmodel = f->nmodel,
		.ep = ep,
		.nep = f->nep,
		.endpoints_stable = true,
		.fetches = fetches_allowed(f) };
	assign_order_t order[SIM_ORDERS];
	int i, n;

	fill_input(f, &in, copy, cached);
	in.copy = (assign_copy_t *)(void *)copy->data;
	in.cached = (const int *)(void *)cached->data;
	n = assign_orders(&in, order, SIM_ORDERS);
	for (i = 0; i < n; i++)
		apply(f, &order[i]);
	keep_state(f, &in);
	g_free(model);
	g_free(ep);
	g_array_free(copy, TRUE);
	g_array_free(cached, TRUE);
}

void
sim_run(sim_t *f, ms_t span)
{
	ms_t end = f->now + span;

	while (f->now < end) {
		f->now += SIM_STEP_MS;
		finish_orders(f);
		callers_ask(f);
		run_round(f);
	}
}
