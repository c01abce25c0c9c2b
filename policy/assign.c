#include "policy/assign_room.h"

#include <math.h>

enum {
	/* Models for which one round looks for a place. */
	TRIES_MAX = 12,
	PASSES_MAX = 3, /* over the models that lack copies */
	/* Room that takes longer is made at a second endpoint as well. */
	ROOM_PATIENCE_MS = 1500,
};

/* Planned utilisation of an endpoint. */
static const double utilisation_planned = 0.35;
/*
 * Under more demand than that, a model gets its proportional share of the
 * endpoints times this factor.
 */
static const double share_factor = 1.3;
/* Of the endpoints' memory; the rest is lost as no model fits into it. */
static const double memory_part = 0.9;

/** The orders of a round. */
typedef struct orders {
	assign_input_t *in;
	assign_order_t *out;
	int n, most;
} orders_t;

/** The models to be placed next, the greatest weight first. */
typedef struct candidates {
	int model[TRIES_MAX];
	double weight[TRIES_MAX];
	int n;
} candidates_t;

static void
add_candidate(candidates_t *c, int m, double weight)
{
	int i;

	if (c->n == TRIES_MAX && weight <= c->weight[TRIES_MAX - 1])
		return;
	if (c->n < TRIES_MAX)
		c->n++;
	for (i = c->n - 1; i > 0 && c->weight[i - 1] < weight; i--) {
		c->model[i] = c->model[i - 1];
		c->weight[i] = c->weight[i - 1];
	}
	c->model[i] = m;
	c->weight[i] = weight;
}

static bool
asked_for(const assign_model_t *m)
{
	return m->unserved || m->demand > 0;
}

static void
count_copies(assign_input_t *in)
{
	int e, i;

	for (i = 0; i < in->nmodel; i++) {
		in->model[i].copies = in->model[i].rooms = 0;
		in->model[i].turn_in = -1;
	}
	for (e = 0; e < in->nep; e++) {
		const assign_ep_t *p = &in->ep[e];

		if (!p->usable)
			continue;
		for (i = p->copy; i < p->copy + p->ncopy; i++)
			if (in->copy[i].model != -1 &&
			    (in->copy[i].state == COPY_READY ||
				in->copy[i].state == COPY_LOADING))
				in->model[in->copy[i].model].copies++;
		if (p->room_for != -1 && p->room_age < ROOM_PATIENCE_MS)
			in->model[p->room_for].rooms++;
	}
}

static void
set_targets(assign_input_t *in)
{
	double all = 0, tokens_per_s = 0;
	int e, m, n = 0;

	for (e = 0; e < in->nep; e++) {
		n += in->ep[e].usable;
		tokens_per_s += in->ep[e].usable ? in->ep[e].tokens_per_s : 0;
	}
	tokens_per_s = n > 0 ? tokens_per_s / n : 1;
	for (m = 0; m < in->nmodel; m++)
		all += in->model[m].demand;
	for (m = 0; m < in->nmodel; m++) {
		assign_model_t *mo = &in->model[m];
		double need = mo->demand / (utilisation_planned * tokens_per_s);
		double share =
		    all > 0 ? share_factor * n * mo->demand / all : 0;

		mo->target = (int)ceil(fmin(need, share));
		if (mo->target < mo->copies_min)
			mo->target = mo->copies_min;
		if (mo->target < 1)
			mo->target = 1;
		if (mo->target > n)
			mo->target = n;
	}
}

/* Does the endpoints' memory hold a copy of each listed model? */
static bool
all_fit(const assign_input_t *in)
{
	double listed_mb = 0, memory_mb = 0;
	int e, i, m;

	for (m = 0; m < in->nmodel; m++)
		listed_mb += fmax(in->model[m].weights_mb, 0);
	for (e = 0; e < in->nep; e++) {
		const assign_ep_t *p = &in->ep[e];

		if (!p->usable)
			continue;
		memory_mb += p->free_mb;
		for (i = p->copy; i < p->copy + p->ncopy; i++)
			if (in->copy[i].model != -1)
				memory_mb +=
				    in->model[in->copy[i].model].weights_mb;
	}
	return listed_mb <= memory_part * memory_mb;
}

static void
set_assigned_demand(assign_input_t *in)
{
	int e, i;

	for (e = 0; e < in->nep; e++) {
		assign_ep_t *p = &in->ep[e];

		p->assigned_demand = 0;
		for (i = p->copy; i < p->copy + p->ncopy; i++)
			if (in->copy[i].model != -1 &&
			    (in->copy[i].state == COPY_READY ||
				in->copy[i].state == COPY_LOADING))
				p->assigned_demand += assign_copy_demand(
				    &in->model[in->copy[i].model]);
	}
}

/*
 * An endpoint with enough free memory for a model: preferably one with its
 * weights cached, then the one with the least demand. @return -1 if none.
 */
static int
find_free_endpoint(const assign_input_t *in, int m)
{
	bool cached, best_cached = false;
	int e, best = -1;

	for (e = 0; e < in->nep; e++) {
		const assign_ep_t *p = &in->ep[e];

		if (!p->usable || !p->accepts_order || p->room_for != -1 ||
		    p->free_mb < in->model[m].weights_mb ||
		    assign_has_copy(in, p, m))
			continue;
		cached = assign_is_cached(in, p, m);
		if (!cached && in->fetches <= 0)
			continue;
		if (best == -1 || cached > best_cached ||
		    (cached == best_cached &&
			p->assigned_demand < in->ep[best].assigned_demand)) {
			best = e;
			best_cached = cached;
		}
	}
	return best;
}

static void
order_load(orders_t *o, int e, int m, assign_reason_t reason)
{
	assign_input_t *in = o->in;
	assign_ep_t *p = &in->ep[e];
	bool fetched = !assign_is_cached(in, p, m);

	o->out[o->n++] = (assign_order_t){ .load = true,
		.ep = e,
		.model = m,
		.reason = reason,
		.for_model = m,
		.fetched = fetched };
	in->fetches -= fetched;
	in->model[m].copies++;
	p->free_mb -= in->model[m].weights_mb;
	p->accepts_order = false;
	p->assigned_demand += assign_copy_demand(&in->model[m]);
	p->room_for = -1;
}

static void
order_unload(orders_t *o, const room_t *r, int m)
{
	assign_input_t *in = o->in;
	assign_copy_t *c = &in->copy[r->copy];

	o->out[o->n++] = (assign_order_t){
		.ep = r->ep,
		.model = c->model,
		.reason = ASSIGN_MAKE_ROOM,
		.for_model = m,
	};
	c->state = COPY_UNLOADING;
	in->model[c->model].copies--;
	in->ep[r->ep].accepts_order = false;
	in->ep[r->ep].room_for = m;
}

static room_kind_t
room_kind(const assign_model_t *m)
{
	return m->copies == 0 ? ROOM_FOR_MISSING : ROOM_FOR_DEMAND;
}

/* Load a model where memory is free, or begin to make room for it. */
static void
add_copy(orders_t *o, int m, assign_reason_t reason)
{
	assign_model_t *mo = &o->in->model[m];
	int e = find_free_endpoint(o->in, m);
	room_t r;

	if (e != -1) {
		order_load(o, e, m, reason);
		return;
	}
	r = assign_find_room(o->in, m, room_kind(mo));
	mo->turn_in = r.in;
	if (r.ep == -1)
		return;
	order_unload(o, &r, m);
	mo->rooms++;
}

/* Go on where room is made, or give the room up. */
static void
continue_room(orders_t *o, int e)
{
	assign_input_t *in = o->in;
	assign_ep_t *p = &in->ep[e];
	int m = p->room_for;
	assign_model_t *mo = &in->model[m];
	bool cached = assign_is_cached(in, p, m);
	room_t r;

	if (!p->usable || !asked_for(mo) || mo->copies >= mo->target ||
	    assign_has_copy(in, p, m)) {
		p->room_for = -1;
		return;
	}
	if (!p->accepts_order || (!cached && in->fetches <= 0))
		return;
	if (p->free_mb >= mo->weights_mb) {
		order_load(
		    o, e, m, mo->copies == 0 ? ASSIGN_REPAIR : ASSIGN_DEMAND);
		return;
	}
	/* An unload waits for the calls that run. */
	if (p->free_mb + assign_unloading_mb(in, p) >= mo->weights_mb)
		return;
	r = assign_room_at(in, e, m, room_kind(mo));
	if (r.ep == -1)
		p->room_for = -1;
	else
		order_unload(o, &r, m);
}

/* Loads that will need the weight store once their room is free come first. */
static void
continue_rooms(orders_t *o)
{
	assign_input_t *in = o->in;
	int e;

	for (e = 0; e < in->nep && o->n < o->most; e++)
		if (in->ep[e].room_for != -1)
			continue_room(o, e);
	for (e = 0; e < in->nep; e++) {
		const assign_ep_t *p = &in->ep[e];

		if (p->room_for != -1 && !assign_is_cached(in, p, p->room_for))
			in->fetches--;
	}
}

/* What a missing model loses while it waits. */
static double
urgency(const assign_model_t *m)
{
	return (m->unserved ? 1 : 0) + fmax(m->demand, m->interest) *
					   (1 + (double)m->waited / AGEING_MS);
}

static void
add_missing_copies(orders_t *o)
{
	candidates_t c = { .n = 0 };
	int m, i;

	for (m = 0; m < o->in->nmodel; m++) {
		const assign_model_t *mo = &o->in->model[m];

		if (mo->copies == 0 && mo->rooms == 0 && mo->weights_mb > 0 &&
		    asked_for(mo))
			add_candidate(&c, m, urgency(mo));
	}
	for (i = 0; i < c.n && o->n < o->most; i++)
		add_copy(o, c.model[i], ASSIGN_REPAIR);
}

/* Listed models that nobody asks for take memory that is free. */
static void
add_listed_copies(orders_t *o)
{
	assign_input_t *in = o->in;
	double most_free = 0;
	int e, m, tries = 0;

	for (e = 0; e < in->nep; e++)
		if (in->ep[e].usable && in->ep[e].accepts_order &&
		    in->ep[e].room_for == -1 && in->ep[e].free_mb > most_free)
			most_free = in->ep[e].free_mb;
	for (m = 0; m < in->nmodel && o->n < o->most; m++) {
		const assign_model_t *mo = &in->model[m];

		if (mo->copies > 0 || mo->weights_mb <= 0 || asked_for(mo) ||
		    mo->weights_mb > most_free)
			continue;
		if (tries++ == TRIES_MAX)
			return;
		e = find_free_endpoint(in, m);
		if (e != -1)
			order_load(o, e, m, ASSIGN_REPAIR);
	}
}

/* Each model that lacks copies gets one more. */
static void
follow_demand_once(orders_t *o)
{
	candidates_t c = { .n = 0 };
	int m, i;

	for (m = 0; m < o->in->nmodel; m++) {
		const assign_model_t *mo = &o->in->model[m];

		if (mo->copies > 0 && mo->demand > 0 &&
		    mo->copies + mo->rooms < mo->target)
			add_candidate(&c, m, assign_copy_demand(mo));
	}
	for (i = 0; i < c.n && o->n < o->most; i++)
		add_copy(o, c.model[i], ASSIGN_DEMAND);
}

static void
follow_demand(orders_t *o)
{
	int before, pass;

	for (pass = 0; pass < PASSES_MAX; pass++) {
		before = o->n;
		follow_demand_once(o);
		if (o->n == before)
			return;
	}
}

static void
add_second_copies(orders_t *o)
{
	assign_input_t *in = o->in;
	int m, e, tries = 0;

	for (m = 0; m < in->nmodel && o->n < o->most; m++) {
		if (in->model[m].copies != 1 || in->model[m].demand <= 0 ||
		    in->model[m].weights_mb <= 0)
			continue;
		if (tries++ == TRIES_MAX)
			return;
		e = find_free_endpoint(in, m);
		if (e != -1)
			order_load(o, e, m, ASSIGN_SECOND_COPY);
	}
}

int
assign_orders(assign_input_t *in, assign_order_t *out, int most)
{
	orders_t o = { .in = in, .out = out, .most = most };

	count_copies(in);
	set_targets(in);
	set_assigned_demand(in);
	in->all_fit = all_fit(in);
	continue_rooms(&o);
	add_missing_copies(&o);
	if (!in->endpoints_stable)
		return o.n;
	follow_demand(&o);
	add_listed_copies(&o);
	add_second_copies(&o);
	return o.n;
}

const char *
assign_reason_name(assign_reason_t r)
{
	switch (r) {
	case ASSIGN_REPAIR:
		return "repair";
	case ASSIGN_DEMAND:
		return "demand";
	case ASSIGN_SECOND_COPY:
		return "second-copy";
	case ASSIGN_MAKE_ROOM:
		return "make-room";
	}
	return "?";
}
