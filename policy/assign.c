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

static spread_held_t
held(const spread_in_t *in, int e, int m)
{
	return in->held[e * in->nmodel + m];
}

static bool
at_hand(const spread_in_t *in, int e, int m)
{
	return in->hand[e * in->nmodel + m] != 0;
}

static void
count(spread_in_t *in)
{
	double all = 0, pace = 0;
	int e, m, n = 0;

	for (e = 0; e < in->nep; e++) {
		in->ep[e].work = 0;
		if (!in->ep[e].usable)
			continue;
		n++;
		pace += in->ep[e].pace;
	}
	pace = n > 0 ? pace / n : 1;
	for (m = 0; m < in->nmodel; m++) {
		spread_model_t *mo = &in->model[m];

		all += mo->work;
		mo->copies = 0;
		for (e = 0; e < in->nep; e++) {
			spread_held_t h = held(in, e, m);

			mo->copies += in->ep[e].usable &&
				      (h == SPREAD_READY || h == SPREAD_COMING);
		}
	}
	for (m = 0; m < in->nmodel; m++) {
		spread_model_t *mo = &in->model[m];
		double need = mo->work / (busy_part * pace);
		double share = all > 0 ? work_share * n * mo->work / all : 0;

		mo->target = (int)ceil(fmin(need, share));
		if (mo->target < mo->least)
			mo->target = mo->least;
		if (mo->target < 1)
			mo->target = 1;
		if (mo->target > n)
			mo->target = n;
		for (e = 0; e < in->nep && mo->copies > 0; e++)
			if (held(in, e, m) == SPREAD_READY ||
			    held(in, e, m) == SPREAD_COMING)
				in->ep[e].work += mo->work / mo->copies;
	}
}

/* An endpoint with room for it: quick to load first, then little work. */
static int
roomy(const spread_in_t *in, int m)
{
	int e, best = -1;

	for (e = 0; e < in->nep; e++) {
		const spread_ep_t *p = &in->ep[e];
		bool quick = at_hand(in, e, m);

		if (!p->usable || !p->free || held(in, e, m) != SPREAD_NO ||
		    p->room < in->model[m].mb || (!quick && !in->may_fetch))
			continue;
		if (best == -1 || quick > at_hand(in, best, m) ||
		    (quick == at_hand(in, best, m) &&
			p->work < in->ep[best].work))
			best = e;
	}
	return best;
}

/* Work that a copy carries. */
static double
carries(const spread_model_t *m)
{
	return m->copies > 0 ? m->work / m->copies : 0;
}

/*
 * A copy that may give way: never the last one, nor one that its own demand
 * needs as much.
 */
static bool
victim(const spread_in_t *in, int m, bool urgent, int *ep, int *model)
{
	const spread_model_t *want = &in->model[m];
	double least = 0, gain = want->work / (want->copies + 1);
	int e, v;

	*ep = -1;
	for (e = 0; e < in->nep; e++) {
		const spread_ep_t *p = &in->ep[e];

		if (!p->usable || !p->free || held(in, e, m) != SPREAD_NO ||
		    (!in->may_fetch && !at_hand(in, e, m)))
			continue;
		for (v = 0; v < in->nmodel; v++) {
			const spread_model_t *vm = &in->model[v];
			double cost = carries(vm) *
				      (at_hand(in, e, m) ? at_hand_factor : 1);

			if (v == m || held(in, e, v) != SPREAD_READY ||
			    vm->copies < 2 || p->room + vm->mb < want->mb)
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
place(const spread_in_t *in, int m, bool urgent, spread_reason_t why,
    spread_move_t *out)
{
	int e = roomy(in, m), v;

	if (e != -1) {
		*out = (spread_move_t){ true, e, m, why, m };
		return true;
	}
	/* Room that is being made will do for one copy. */
	if (in->model[m].making > 0 || !victim(in, m, urgent, &e, &v))
		return false;
	*out = (spread_move_t){ false, e, v, SPREAD_ROOM, m };
	return true;
}

static bool
repair(spread_in_t *in, spread_move_t *out)
{
	int m, round;

	/* Those that callers wait for, then those asked for, then the rest. */
	for (round = 0; round < (in->settled ? 3 : 1); round++)
		for (m = 0; m < in->nmodel; m++) {
			const spread_model_t *mo = &in->model[m];

			if (mo->copies > 0 || (round == 0 && !mo->waiting) ||
			    (round == 1 && mo->work <= 0))
				continue;
			if (place(in, m, true, SPREAD_REPAIR, out))
				return true;
		}
	return false;
}

static bool
follow_demand(spread_in_t *in, spread_move_t *out)
{
	double worst, last = INFINITY;
	int m, pick, tries;

	/* By what a copy has to carry, the most first. */
	for (tries = 0; tries < in->nmodel; tries++) {
		pick = -1;
		worst = 0;
		for (m = 0; m < in->nmodel; m++) {
			const spread_model_t *mo = &in->model[m];

			if (mo->copies >= mo->target || carries(mo) >= last ||
			    carries(mo) <= worst)
				continue;
			worst = carries(mo);
			pick = m;
		}
		if (pick == -1)
			return false;
		if (place(in, pick, false, SPREAD_DEMAND, out))
			return true;
		last = worst;
	}
	return false;
}

static bool
second(spread_in_t *in, spread_move_t *out)
{
	int m, e;

	for (m = 0; m < in->nmodel; m++) {
		if (in->model[m].copies != 1 || in->model[m].work <= 0)
			continue;
		e = roomy(in, m);
		if (e == -1)
			continue;
		*out = (spread_move_t){ true, e, m, SPREAD_SECOND, m };
		return true;
	}
	return false;
}

bool
spread_next(spread_in_t *in, spread_move_t *out)
{
	count(in);
	return repair(in, out) ||
	       (in->settled && (follow_demand(in, out) || second(in, out)));
}

const char *
spread_reason_name(spread_reason_t r)
{
	switch (r) {
	case SPREAD_REPAIR:
		return "repair";
	case SPREAD_DEMAND:
		return "demand";
	case SPREAD_SECOND:
		return "second-copy";
	case SPREAD_ROOM:
		return "make-room";
	}
	return "?";
}
