#include "policy/assign.h"

#include <math.h>

/* Planned utilisation of an endpoint. */
static const double utilisation_planned = 0.35;
/*
 * Under more demand than that, a model gets its proportional share of the
 * endpoints times this factor.
 */
static const double share_factor = 1.3;
/* A copy is unloaded only if its demand is below this part of the new one's. */
static const double unload_demand_ratio = 0.6;
/* Factor on that demand where the new copy's weights are cached. */
static const double cached_demand_factor = 0.5;

static copy_state_t
copy_state(const assign_input_t *in, int e, int m)
{
	return in->state[e * in->nmodel + m];
}

static bool
is_cached(const assign_input_t *in, int e, int m)
{
	return in->cached[e * in->nmodel + m] != 0;
}

/* Count the copies, and set the targets and the demand per endpoint. */
static void
set_targets(assign_input_t *in)
{
	double all = 0, tokens_per_s = 0;
	int e, m, n = 0;

	for (e = 0; e < in->nep; e++) {
		in->ep[e].assigned_demand = 0;
		if (!in->ep[e].usable)
			continue;
		n++;
		tokens_per_s += in->ep[e].tokens_per_s;
	}
	tokens_per_s = n > 0 ? tokens_per_s / n : 1;
	for (m = 0; m < in->nmodel; m++) {
		assign_model_t *mo = &in->model[m];

		all += mo->demand;
		mo->copies = 0;
		for (e = 0; e < in->nep; e++) {
			copy_state_t state = copy_state(in, e, m);

			mo->copies +=
			    in->ep[e].usable &&
			    (state == COPY_READY || state == COPY_LOADING);
		}
	}
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
		for (e = 0; e < in->nep && mo->copies > 0; e++)
			if (copy_state(in, e, m) == COPY_READY ||
			    copy_state(in, e, m) == COPY_LOADING)
				in->ep[e].assigned_demand +=
				    mo->demand / mo->copies;
	}
}

/*
 * An endpoint with enough free memory for a model: preferably one with its
 * weights cached, then the one with the least demand. @return -1 if none.
 */
static int
find_free_endpoint(const assign_input_t *in, int m)
{
	int e, best = -1;

	for (e = 0; e < in->nep; e++) {
		const assign_ep_t *p = &in->ep[e];
		bool cached = is_cached(in, e, m);

		if (!p->usable || !p->accepts_order ||
		    copy_state(in, e, m) != COPY_NONE ||
		    p->free_mb < in->model[m].weights_mb ||
		    (!cached && !in->may_fetch))
			continue;
		if (best == -1 || cached > is_cached(in, best, m) ||
		    (cached == is_cached(in, best, m) &&
			p->assigned_demand < in->ep[best].assigned_demand))
			best = e;
	}
	return best;
}

static double
demand_per_copy(const assign_model_t *m)
{
	return m->copies > 0 ? m->demand / m->copies : 0;
}

/*
 * Find a copy to unload to make room for model @p m: never the last copy of a
 * model, and unless @p urgent only one beyond its model's target and with
 * clearly less demand than the new copy would have.
 */
static bool
find_unload(const assign_input_t *in, int m, bool urgent, int *ep, int *model)
{
	const assign_model_t *want = &in->model[m];
	double least = 0, gain = want->demand / (want->copies + 1);
	int e, v;

	*ep = -1;
	for (e = 0; e < in->nep; e++) {
		const assign_ep_t *p = &in->ep[e];

		if (!p->usable || !p->accepts_order ||
		    copy_state(in, e, m) != COPY_NONE ||
		    (!in->may_fetch && !is_cached(in, e, m)))
			continue;
		for (v = 0; v < in->nmodel; v++) {
			const assign_model_t *vm = &in->model[v];
			double cost =
			    demand_per_copy(vm) *
			    (is_cached(in, e, m) ? cached_demand_factor : 1);

			if (v == m || copy_state(in, e, v) != COPY_READY ||
			    vm->copies < 2 ||
			    p->free_mb + vm->weights_mb < want->weights_mb)
				continue;
			if (!urgent && (vm->copies <= vm->target ||
					   cost > unload_demand_ratio * gain))
				continue;
			if (*ep != -1 && cost >= least)
				continue;
			least = cost;
			*ep = e;
			*model = v;
		}
	}
	return *ep != -1;
}

static bool
add_copy(const assign_input_t *in, int m, bool urgent, assign_reason_t reason,
    assign_order_t *out)
{
	int e = find_free_endpoint(in, m), v;

	if (e != -1) {
		*out = (assign_order_t){ true, e, m, reason, m };
		return true;
	}
	/* One unload in progress makes enough room for one copy. */
	if (in->model[m].pending_unloads > 0 ||
	    !find_unload(in, m, urgent, &e, &v))
		return false;
	*out = (assign_order_t){ false, e, v, ASSIGN_MAKE_ROOM, m };
	return true;
}

static bool
add_missing_copy(assign_input_t *in, assign_order_t *out)
{
	int m, round;

	/* Models that calls wait for, then those in demand, then the rest. */
	for (round = 0; round < (in->endpoints_stable ? 3 : 1); round++)
		for (m = 0; m < in->nmodel; m++) {
			const assign_model_t *mo = &in->model[m];

			if (mo->copies > 0 || (round == 0 && !mo->unserved) ||
			    (round == 1 && mo->demand <= 0))
				continue;
			if (add_copy(in, m, true, ASSIGN_REPAIR, out))
				return true;
		}
	return false;
}

static bool
follow_demand(assign_input_t *in, assign_order_t *out)
{
	double worst, last = INFINITY;
	int m, pick, tries;

	/* By demand per copy, the highest first. */
	for (tries = 0; tries < in->nmodel; tries++) {
		pick = -1;
		worst = 0;
		for (m = 0; m < in->nmodel; m++) {
			const assign_model_t *mo = &in->model[m];

			if (mo->copies >= mo->target ||
			    demand_per_copy(mo) >= last ||
			    demand_per_copy(mo) <= worst)
				continue;
			worst = demand_per_copy(mo);
			pick = m;
		}
		if (pick == -1)
			return false;
		if (add_copy(in, pick, false, ASSIGN_DEMAND, out))
			return true;
		last = worst;
	}
	return false;
}

static bool
add_second_copy(assign_input_t *in, assign_order_t *out)
{
	int m, e;

	for (m = 0; m < in->nmodel; m++) {
		if (in->model[m].copies != 1 || in->model[m].demand <= 0)
			continue;
		e = find_free_endpoint(in, m);
		if (e == -1)
			continue;
		*out = (assign_order_t){ true, e, m, ASSIGN_SECOND_COPY, m };
		return true;
	}
	return false;
}

bool
assign_next_order(assign_input_t *in, assign_order_t *out)
{
	set_targets(in);
	return add_missing_copy(in, out) ||
	       (in->endpoints_stable &&
		   (follow_demand(in, out) || add_second_copy(in, out)));
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
