#include "serve/prompt_cost.h"

#include <string.h>

enum {
	SAMPLES_MAX = 24, /* samples in a heartbeat */
	TOKENS_MIN = 800, /* of a prompt; the steps dominate shorter ones */
	STEP_MS = 6,	  /* about, of an engine that runs nothing else */
};

struct prompt_costs {
	GHashTable *by_tag; /* pace_cost_t */
	GHashTable *paced;  /* names of services */
	uint32_t model[SAMPLES_MAX], us[SAMPLES_MAX];
	int n; /* seen since the last heartbeat */
};

static uint32_t
tag_of(const char *service, const char *model)
{
	return (uint32_t)hash_str(model, hash_str(service, 0));
}

static pace_cost_t *
find(const serve_t *s, uint32_t tag)
{
	return g_hash_table_lookup(
	    s->prompt_costs->by_tag, GUINT_TO_POINTER(tag));
}

static void
add_sample(serve_t *s, uint32_t tag, double us_per_token)
{
	pace_cost_t *c = find(s, tag);

	if (c == NULL) {
		c = g_new0(pace_cost_t, 1);
		g_hash_table_insert(
		    s->prompt_costs->by_tag, GUINT_TO_POINTER(tag), c);
	}
	pace_cost_sample(c, us_per_token);
}

bool
service_is_paced(const serve_t *s, const char *service)
{
	/* One organisation's prompts must not pause another's streams. */
	return (s->config != NULL && s->config->has_organisations) ||
	       g_hash_table_contains(s->prompt_costs->paced, service);
}

void
endpoint_pace_reported(serve_t *s, ep_t *p, int hundredths, ms_t at)
{
	const char *service = p->entry.service;
	int i;

	pace_report(&p->workload.pace, hundredths, at);
	if (p->workload.paced || p->workload.pace.at == 0 ||
	    p->workload.kv_capacity == 0)
		return;
	if (!g_hash_table_contains(s->prompt_costs->paced, service)) {
		log_limited(LOG_NOTICE, "service-paced", "service=%s", service);
		g_hash_table_add(s->prompt_costs->paced, g_strdup(service));
	}
	for (i = 0; i < s->endpoints.nep; i++)
		if (strcmp(s->endpoints.ep[i]->entry.service, service) == 0)
			s->endpoints.ep[i]->workload.paced = true;
}

double
prompt_cost(const serve_t *s, const char *service, const char *model)
{
	const pace_cost_t *c = find(s, tag_of(service, model));

	return c != NULL ? pace_cost_tokens(c) : 1;
}

/* Only of prompts that met no others, by what was known as they were sent. */
void
prompt_cost_observe(const call_t *c)
{
	serve_t *s = c->s;
	struct prompt_costs *p = s->prompt_costs;
	const workload_t *wl = &c->ep->workload;
	const workload_reservation_t *r = &c->reservation;
	double tokens, us, factor;
	uint32_t tag;

	if (c->token_cost <= 0 || !r->active ||
	    r->queued_tokens != r->prefill_tokens)
		return;
	tag = tag_of(c->service, c->request.model);
	tokens = r->prefill_tokens / c->token_cost;
	factor = pace_now(&wl->pace, s->loop.now);
	us = 1000 * ((double)(s->loop.now - c->sent_at) / factor - STEP_MS) /
	     tokens;
	if (tokens < TOKENS_MIN || us <= 0)
		return;
	add_sample(s, tag, us);
	if (p->n < SAMPLES_MAX) {
		p->model[p->n] = tag;
		p->us[p->n++] = (uint32_t)(100 * us);
	}
}

void
prompt_costs_add(serve_t *s, Digest__Digest *d)
{
	struct prompt_costs *p = s->prompt_costs;

	d->cost_model = p->model;
	d->cost_us = p->us;
	d->n_cost_model = d->n_cost_us = (size_t)p->n;
}

void
prompt_costs_sent(serve_t *s)
{
	s->prompt_costs->n = 0;
}

void
prompt_costs_receive(serve_t *s, const Digest__Digest *d)
{
	size_t i;

	for (i = 0; i < d->n_cost_model && i < d->n_cost_us; i++)
		add_sample(s, d->cost_model[i], d->cost_us[i] / 100.0);
}

void
prompt_costs_init(serve_t *s)
{
	s->prompt_costs = g_new0(struct prompt_costs, 1);
	s->prompt_costs->by_tag =
	    g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL, g_free);
	s->prompt_costs->paced =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
}
