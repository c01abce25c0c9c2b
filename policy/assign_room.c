#include "policy/assign_room.h"

#include <math.h>

enum {
	VICTIMS_MAX = 16, /* copies at one endpoint that are weighed */
};

/* A copy is unloaded only if its cost is below this part of the gain. */
static const double cost_limit_part = 0.6;
/* Factor on the cost where the new copy's weights are cached. */
static const double cached_cost_factor = 0.5;
/*
 * A model below this interest, in tokens per second, hasn't been asked for in
 * the last minute or so.
 */
static const double interest_min = 20;
/*
 * Where memory holds all listed models, each keeps a copy as long as another
 * model has several.
 */
static const double listed_cost = 1e9;
/* Tokens per second: the cost of a last copy that nobody asked for lately. */
static const double unasked_cost = 60;
/* Copies serve this part of their throughput without delay. */
static const double served_part = 0.55;
/* The cost of a copy that isn't needed, as a part of the demand it serves. */
static const double spare_cost_part = 0.005;
/* Copies beyond this part of their throughput are overloaded. */
static const double overload_part = 1.0;

double
assign_copy_demand(const assign_model_t *m)
{
	return m->copies > 0 ? m->demand / m->copies : 0;
}

bool
assign_is_cached(const assign_input_t *in, const assign_ep_t *p, int m)
{
	int i;

	for (i = p->cached; i < p->cached + p->ncached; i++)
		if (in->cached[i] == m)
			return true;
	return false;
}

bool
assign_has_copy(const assign_input_t *in, const assign_ep_t *p, int m)
{
	int i;

	for (i = p->copy; i < p->copy + p->ncopy; i++)
		if (in->copy[i].model == m && in->copy[i].state != COPY_NONE)
			return true;
	return false;
}

double
assign_unloading_mb(const assign_input_t *in, const assign_ep_t *p)
{
	double mb = 0;
	int i;

	for (i = p->copy; i < p->copy + p->ncopy; i++)
		if (in->copy[i].state == COPY_UNLOADING &&
		    in->copy[i].model != -1)
			mb += in->model[in->copy[i].model].weights_mb;
	return mb;
}

/* The demand that a new copy of the model takes, and the weight of its wait. */
static double
gain(const assign_model_t *m, room_kind_t kind)
{
	switch (kind) {
	case ROOM_FOR_MISSING:
		return fmax(m->demand, m->interest) *
		       (1 + (double)m->waited / AGEING_MS);
	case ROOM_FOR_DEMAND:
		return m->demand / (m->copies + 1);
	}
	return 0;
}

static double
last_copy_demand(const assign_model_t *v)
{
	return fmax(v->demand, v->interest);
}

/* Whoever asks for it next waits for a load, so no last copy is free. */
static double
last_copy_cost(const assign_model_t *v)
{
	return fmax(last_copy_demand(v), unasked_cost);
}

/* What the other copies can't serve, and the least of others that can. */
static double
surplus_copy_cost(const assign_model_t *v, double tokens_per_s)
{
	double served = served_part * tokens_per_s * (v->copies - 1);

	return fmax(v->demand - served, 0) +
	       spare_cost_part * assign_copy_demand(v);
}

static bool
overloaded(const assign_model_t *m, double tokens_per_s)
{
	return m->demand > overload_part * tokens_per_s * m->copies;
}

/** A copy that may be unloaded. */
typedef struct victim {
	int copy;
	double cost, mb;
} victim_t;

/* May the last copy of a model make room? @param in set to the wait if not */
static bool
last_copy_may_go(const assign_model_t *want, const assign_model_t *v,
    room_kind_t kind, const assign_ep_t *p, bool all_fit, ms_t *wait)
{
	double limit = cost_limit_part * gain(want, kind);
	double cost = last_copy_demand(v), base;

	if (v->copies_min > 1 || v->unserved)
		return false;
	if (kind == ROOM_FOR_DEMAND)
		return !all_fit && cost < interest_min &&
		       (overloaded(want, p->tokens_per_s) ||
			   want->copies < want->copies_min);
	if (cost < interest_min || cost <= limit)
		return true;
	/* Its weight grows with its wait. */
	base = cost_limit_part * fmax(want->demand, want->interest);
	if (base > 0)
		*wait =
		    (ms_t)((cost / base - 1) * AGEING_MS) + 1 - want->waited;
	return false;
}

static bool
surplus_copy_may_go(const assign_model_t *want, const assign_model_t *v,
    room_kind_t kind, double cost)
{
	switch (kind) {
	case ROOM_FOR_MISSING:
		return true;
	case ROOM_FOR_DEMAND:
		return v->copies > v->target &&
		       cost <= cost_limit_part * gain(want, kind);
	}
	return false;
}

/*
 * Weigh one copy. @param wait set to the ms until it may go, if that is known
 * @return whether it may go now
 */
static bool
weigh(const assign_input_t *in, const assign_ep_t *p, int copy, int m,
    room_kind_t kind, double factor, victim_t *out, ms_t *wait)
{
	const assign_copy_t *c = &in->copy[copy];
	const assign_model_t *v;

	*wait = -1;
	*out = (victim_t){ .copy = copy };
	if (c->state != COPY_READY || c->model == m)
		return false;
	/* Nothing can be said of a model that isn't listed any more. */
	if (c->model == -1)
		return false;
	v = &in->model[c->model];
	out->mb = v->weights_mb;
	if (v->copies > 1) {
		out->cost = factor * surplus_copy_cost(v, p->tokens_per_s);
		if (!surplus_copy_may_go(
			&in->model[m], v, kind, factor * assign_copy_demand(v)))
			return false;
	} else {
		out->cost = last_copy_cost(v);
		if (!last_copy_may_go(
			&in->model[m], v, kind, p, in->all_fit, wait))
			return false;
		if (in->all_fit)
			out->cost += listed_cost;
	}
	/* A copy that nobody asks for needn't stay. */
	if (c->stays > 0 && last_copy_demand(v) >= interest_min) {
		*wait = c->stays;
		return false;
	}
	return true;
}

static void
insert_by_cost(victim_t *list, int *n, const victim_t *v)
{
	int i;

	if (*n < VICTIMS_MAX)
		(*n)++;
	else if (list[*n - 1].cost <= v->cost)
		return;
	for (i = *n - 1; i > 0 && list[i - 1].cost > v->cost; i--)
		list[i] = list[i - 1];
	list[i] = *v;
}

/*
 * The cheapest of single copies that make enough room, or else of those that do
 * so together, cheapest first.
 */
static bool
choose_victims(const victim_t *list, int n, double need_mb, room_t *out)
{
	double mb = 0, cost = 0;
	int i;

	for (i = 0; i < n; i++)
		if (list[i].mb >= need_mb) {
			out->copy = list[i].copy;
			out->cost = list[i].cost;
			break;
		}
	for (i = 0; i < n && mb < need_mb; i++) {
		mb += list[i].mb;
		cost += list[i].cost;
	}
	if (mb < need_mb)
		return out->copy != -1;
	if (out->copy == -1 || cost < out->cost) {
		out->copy = list[0].copy;
		out->cost = cost;
	}
	return true;
}

room_t
assign_room_at(const assign_input_t *in, int e, int m, room_kind_t kind)
{
	const assign_ep_t *p = &in->ep[e];
	double need_mb =
	    in->model[m].weights_mb - p->free_mb - assign_unloading_mb(in, p);
	double factor = assign_is_cached(in, p, m) ? cached_cost_factor : 1;
	room_t r = { .ep = -1, .copy = -1, .in = -1 };
	victim_t list[VICTIMS_MAX] = { 0 }, v;
	int i, n = 0;
	ms_t wait;

	/* Unloads in progress make enough room. */
	if (need_mb <= 0)
		return r;
	for (i = p->copy; i < p->copy + p->ncopy; i++) {
		if (weigh(in, p, i, m, kind, factor, &v, &wait))
			insert_by_cost(list, &n, &v);
		else if (wait >= 0 && v.mb >= need_mb &&
			 (r.in == -1 || wait < r.in))
			r.in = wait;
	}
	if (choose_victims(list, n, need_mb, &r)) {
		r.ep = e;
		r.in = 0;
	}
	return r;
}

room_t
assign_find_room(const assign_input_t *in, int m, room_kind_t kind)
{
	room_t best = { .ep = -1, .copy = -1, .in = -1 };
	int e;

	for (e = 0; e < in->nep; e++) {
		const assign_ep_t *p = &in->ep[e];
		room_t r;

		if (!p->usable || !p->accepts_order || p->room_for != -1 ||
		    assign_has_copy(in, p, m) ||
		    (in->fetches <= 0 && !assign_is_cached(in, p, m)))
			continue;
		r = assign_room_at(in, e, m, kind);
		if (r.ep == -1) {
			if (best.ep == -1 && r.in >= 0 &&
			    (best.in == -1 || r.in < best.in))
				best.in = r.in;
			continue;
		}
		if (best.ep == -1 || r.cost < best.cost ||
		    (r.cost == best.cost &&
			p->assigned_demand < in->ep[best.ep].assigned_demand))
			best = r;
	}
	return best;
}
