/* Demand of this instance's calls, by service, model and adapter. */
#include "serve/serve.h"

#include <math.h>
#include <string.h>

/* Short, so that a change in demand shows within a second or two. */
static const double half_life_ms = 2000;
/* Generating a token costs a batch about as much as reading this many. */
static const double output_weight = 10;

static double
decayed_work(const demand_t *d, ms_t now)
{
	return d->work * exp2(-(double)(now - d->decayed_at) / half_life_ms);
}

demand_t *
demand_find(
    serve_t *s, const char *service, const char *model, const char *adapter)
{
	char key[3 * ID_MAX];
	demand_t *d;

	snprintf(key, sizeof(key), "%s %s/%s", service, model, adapter);
	d = g_hash_table_lookup(s->demand, key);
	if (d != NULL)
		return d;
	d = g_new0(demand_t, 1);
	str_set(d->service, ID_MAX, service);
	str_set(d->model, ID_MAX, model);
	str_set(d->adapter, ID_MAX, adapter);
	d->decayed_at = s->loop.now;
	g_hash_table_insert(s->demand, g_strdup(key), d);
	return d;
}

/* At a steady rate r, the decaying sum approaches r * half_life_ms / ln 2. */
double
demand_rate(const serve_t *s, const demand_t *d)
{
	return decayed_work(d, s->loop.now) * 1000 * M_LN2 / half_life_ms;
}

static void
add_work(serve_t *s, const call_t *c, const char *adapter)
{
	demand_t *d = demand_find(s, c->service, c->request.model, adapter);

	d->work = decayed_work(d, s->loop.now) + c->request.prompt +
		  output_weight * c->request.output;
	d->decayed_at = d->last_call_at = s->loop.now;
}

void
demand_add_call(serve_t *s, const call_t *c)
{
	retry_budget_add_call(s, c->service);
	if (c->request.model[0] == '\0')
		return;
	add_work(s, c, "");
	if (c->request.adapter[0] != '\0')
		add_work(s, c, c->request.adapter);
}
