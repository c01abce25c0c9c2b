#include "policy/assign.h"

#include <math.h>

/* An endpoint is planned to be busy so much of the time. */
static const double busy_part = 0.35;
/* With more work than that, copies go in proportion, and a few more. */
static const double work_share = 1.3;
/* A copy gives way only if it carries so much less than the new one would. */
static const double give_way = 0.6;
/* A copy where the new one's weights are at hand gives way this much easier. */
static const double at_hand_factor = 0.5;

static copy_state_t
held(const assign_input_t *in, int e, int m)
{
	return in->state[e * in->nmodel + m];
}

static bool
at_hand(const assign_input_t *in, int e, int m)
{
	return in->cached[e * in->nmodel + m] != 0;
}

static void
count(assign_input_t *in)
{
	double all = 0, pace = 0;
	int e, m, n = 0;

	for (e = 0; e < in->nep; e++) {
		in->ep[e].assigned_demand = 0;
		if (!in->ep[e].usable)
			continue;
		n++;
		pace += in->ep[e].tokens_per_s;
	}
	pace = n > 0 ? pace / n : 1;
	for (m = 0; m < in->nmodel; m++) {
		assign_model_t *mo = &in->model[m];

		all += mo->demand;
		mo->copies = 0;
		for (e = 0; e < in->nep; e++) {
			copy_state_t h = held(in, e, m);

			mo->copies += in->ep[e].usable &&
				      (h == COPY_READY || h == COPY_LOADING);
		}
	}
	for (m = 0; m < in->nmodel; m++) {
		assign_model_t *mo = &in->model[m];
		double need = mo->demand / (busy_part * pace);
		double share = all > 0 ? work_share * n * mo->demand / all : 0;

		mo->target = (int)ceil(fmin(need, share));
		if (mo->target < mo->copies_min)
			mo->target = mo->copies_min;
		if (mo->target < 1)
			mo->target = 1;
		if (mo->target > n)
			mo->target = n;
		for (e = 0; e < in->nep && mo->copies > 0; e++)
			if (held(in, e, m) == COPY_READY ||
			    held(in, e, m) == COPY_LOADING)
				in->ep[e].assigned_demand +=
				    mo->demand / mo->copies;
	}
}

/* An endpoint with room for it: quick to load first, then little work. */
static int
roomy(const assign_input_t *in, int m)
{
	int e, best = -1;

	for (e = 0; e < in->nep; e++) {
		const assign_ep_t *p = &in->ep[e];
		bool quick = at_hand(in, e, m);

		if (!p->usable || !p->accepts_order ||
		    held(in, e, m) != COPY_NONE ||
		    p->free_mb < in->model[m].weights_mb ||
		    (!quick && !in->may_fetch))
			continue;
		if (best == -1 || quick > at_hand(in, best, m) ||
		    (quick == at_hand(in, best, m) &&
			p->assigned_demand < in->ep[best].assigned_demand))
			best = e;
	}
	return best;
}

/* Work that a copy carries. */
static double
carries(const assign_model_t *m)
{
	return m->copies > 0 ? m->demand / m->copies : 0;
}

/*
 * A copy that may give way: never the last one, nor one that its own demand
 * needs as much.
 */
static bool
victim(const assign_input_t *in, int m, bool urgent, int *ep, int *model)
{
	const assign_model_t *want = &in->model[m];
	double least = 0, gain = want->demand / (want->copies + 1);
	int e, v;

	*ep = -1;
	for (e = 0; e < in->nep; e++) {
		const assign_ep_t *p = &in->ep[e];

		if (!p->usable || !p->accepts_order ||
		    held(in, e, m) != COPY_NONE ||
		    (!in->may_fetch && !at_hand(in, e, m)))
			continue;
		for (v = 0; v < in->nmodel; v++) {
			const assign_model_t *vm = &in->model[v];
			double cost = carries(vm) *
				      (at_hand(in, e, m) ? at_hand_factor : 1);

			if (v == m || held(in, e, v) != COPY_READY ||
			    vm->copies < 2 ||
			    p->free_mb + vm->weights_mb < want->weights_mb)
				continue;
			if (!urgent && (vm->copies <= vm->target ||
					   cost > give_way * gain))
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
place(const assign_input_t *in, int m, bool urgent, assign_reason_t why,
    assign_order_t *out)
{
	int e = roomy(in, m), v;

	if (e != -1) {
		*out = (assign_order_t){ true, e, m, why, m };
		return true;
	}
	/* Room that is being made will do for one copy. */
	if (in->model[m].pending_unloads > 0 || !victim(in, m, urgent, &e, &v))
		return false;
	*out = (assign_order_t){ false, e, v, ASSIGN_MAKE_ROOM, m };
	return true;
}

static bool
repair(assign_input_t *in, assign_order_t *out)
{
	int m, round;

	/* Those that callers wait for, then those asked for, then the rest. */
	for (round = 0; round < (in->endpoints_stable ? 3 : 1); round++)
		for (m = 0; m < in->nmodel; m++) {
			const assign_model_t *mo = &in->model[m];

			if (mo->copies > 0 || (round == 0 && !mo->unserved) ||
			    (round == 1 && mo->demand <= 0))
				continue;
			if (place(in, m, true, ASSIGN_REPAIR, out))
				return true;
		}
	return false;
}

static bool
follow_demand(assign_input_t *in, assign_order_t *out)
{
	double worst, last = INFINITY;
	int m, pick, tries;

	/* By what a copy has to carry, the most first. */
	for (tries = 0; tries < in->nmodel; tries++) {
		pick = -1;
		worst = 0;
		for (m = 0; m < in->nmodel; m++) {
			const assign_model_t *mo = &in->model[m];

			if (mo->copies >= mo->target || carries(mo) >= last ||
			    carries(mo) <= worst)
				continue;
			worst = carries(mo);
			pick = m;
		}
		if (pick == -1)
			return false;
		if (place(in, pick, false, ASSIGN_DEMAND, out))
			return true;
		last = worst;
	}
	return false;
}

static bool
second(assign_input_t *in, assign_order_t *out)
{
	int m, e;

	for (m = 0; m < in->nmodel; m++) {
		if (in->model[m].copies != 1 || in->model[m].demand <= 0)
			continue;
		e = roomy(in, m);
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
	count(in);
	return repair(in, out) ||
	       (in->endpoints_stable &&
		   (follow_demand(in, out) || second(in, out)));
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
