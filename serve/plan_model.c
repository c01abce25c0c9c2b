/*
 * What the holder keeps of each model from round to round: how much it was
 * asked for over a longer time, and how long it has been missing.
 */
#include "serve/plan_round.h"

#include <math.h>
#include <string.h>

/* So a call counts for a minute or so. */
static const double interest_half_life_ms = 30000;

plan_model_t *
plan_model(plan_t *p, const char *service, const char *model)
{
	GHashTable *models = g_hash_table_lookup(p->models, service);
	plan_model_t *k;

	if (models == NULL) {
		models = g_hash_table_new_full(
		    g_str_hash, g_str_equal, g_free, g_free);
		g_hash_table_insert(p->models, g_strdup(service), models);
	}
	k = g_hash_table_lookup(models, model);
	if (k == NULL) {
		k = g_new0(plan_model_t, 1);
		g_hash_table_insert(models, g_strdup(model), k);
	}
	return k;
}

static void
update_interest(plan_model_t *k, double demand, ms_t now)
{
	double part;

	if (k->interest_at == 0) {
		k->interest = demand;
	} else {
		part = exp2(
		    -(double)(now - k->interest_at) / interest_half_life_ms);
		k->interest = k->interest * part + demand * (1 - part);
	}
	k->interest_at = now;
}

void
round_read_models(plan_round_t *r)
{
	ms_t now = r->p->s->loop.now;
	int m;

	for (m = 0; m < r->def->nmodel; m++) {
		plan_model_t *k =
		    plan_model(r->p, r->def->name, r->def->model[m].name);
		assign_model_t *mo = &r->model[m];

		r->kept[m] = k;
		update_interest(k, mo->demand, now);
		mo->interest = k->interest;
		mo->waited = k->missing_since != 0 ? now - k->missing_since : 0;
	}
}

/* Until the load under way for it ends, -1: none is under way. */
static ms_t
load_ends_in(const plan_round_t *r, int m)
{
	ms_t now = r->p->s->loop.now, least = -1;
	const char *name = r->def->model[m].name;
	int e, i;

	for (e = 0; e < r->nep; e++) {
		const ep_t *p = r->dispatcher[e]->ep;

		for (i = 0; i < p->nknown; i++) {
			const known_order_t *l = &p->known[i];

			if (!l->load || now >= l->effective_at ||
			    !order_is_for(l, name, ""))
				continue;
			if (least == -1 || l->effective_at - now < least)
				least = l->effective_at - now;
		}
	}
	return least;
}

void
round_keep_models(plan_round_t *r)
{
	ms_t now = r->p->s->loop.now;
	int m;

	for (m = 0; m < r->def->nmodel; m++) {
		const assign_model_t *mo = &r->model[m];
		plan_model_t *k = r->kept[m];
		ms_t load = r->def->model[m].load, in;

		if (mo->copies > 0 || (!mo->unserved && mo->demand <= 0)) {
			k->missing_since = 0;
			k->ready_at = mo->copies > 0 && mo->unserved
					  ? now + load_ends_in(r, m)
					  : 0;
			continue;
		}
		if (k->missing_since == 0)
			k->missing_since = now;
		in = mo->rooms > 0 ? 0 : mo->turn_in;
		k->ready_at = in >= 0 ? now + in + load : 0;
	}
}
