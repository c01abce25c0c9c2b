/*
 * When models without a copy will be loaded: the holder tells instances that
 * asked for them in vain, so that their calls wait for it, or are refused.
 */
#include "serve/plan_round.h"
#include "serve/shares.h"

#include <string.h>

enum {
	/* What the holder said holds for so long; it is asked again sooner. */
	WAIT_VALID_MS = 2000,
	WAITS_MAX = 64, /* models in one datagram */
};

static void
wait_key(char *key, size_t size, const char *service, const char *model)
{
	snprintf(key, size, "%s %s", service, model);
}

void
plan_model_wait(
    serve_t *s, const char *service, const char *model, ms_t ready_in)
{
	char key[2 * ID_MAX];
	model_wait_t *w;

	wait_key(key, sizeof(key), service, model);
	w = g_hash_table_lookup(s->model_waits, key);
	if (w == NULL) {
		w = g_new0(model_wait_t, 1);
		g_hash_table_insert(s->model_waits, g_strdup(key), w);
	}
	w->ready_at = s->loop.now + ready_in;
	w->heard_at = s->loop.now;
}

/* The end of the first load of the model under way, 0: none is. */
static ms_t
load_ends_at(const serve_t *s, const char *service, const char *model)
{
	ms_t now = s->loop.now, first = 0;
	int i, k;

	for (i = 0; i < s->endpoints.nep; i++) {
		const ep_t *p = s->endpoints.ep[i];

		if (!ep_usable(p) || strcmp(p->entry.service, service) != 0)
			continue;
		for (k = 0; k < p->nknown; k++) {
			const known_order_t *l = &p->known[k];

			if (l->load && now < l->effective_at &&
			    order_is_for(l, model, "") &&
			    (first == 0 || l->effective_at < first))
				first = l->effective_at;
		}
	}
	return first;
}

ms_t
plan_model_ready_in(const serve_t *s, const char *service, const char *model)
{
	ms_t now = s->loop.now, at = load_ends_at(s, service, model);
	const model_wait_t *w;
	char key[2 * ID_MAX];

	if (at == 0 && plan_is_holder(s)) {
		at = plan_model(s->plan, service, model)->ready_at;
	} else if (at == 0) {
		wait_key(key, sizeof(key), service, model);
		w = g_hash_table_lookup(s->model_waits, key);
		if (w != NULL && is_recent(w->heard_at, now, WAIT_VALID_MS))
			at = w->ready_at;
	}
	if (at == 0)
		return -1;
	return at > now ? at - now : 0;
}

bool
plan_has_holder(const serve_t *s)
{
	int i;

	if (plan_holder_valid(s))
		return true;
	for (i = 0; i < s->peers.npeer; i++)
		if (s->peers.peer[i]->holder && peer_alive(s, s->peers.peer[i]))
			return true;
	return false;
}

static void
send_waits(plan_t *p, const peer_t *peer)
{
	Digest__ModelWait wait[WAITS_MAX], *list[WAITS_MAX];
	ms_t now = p->s->loop.now;
	int n = 0;
	guint i;

	for (i = 0; i < peer->demand->len && n < WAITS_MAX; i++) {
		peer_demand_t *t =
		    &g_array_index(peer->demand, peer_demand_t, i);
		const plan_model_t *k;

		if (!t->unserved ||
		    t->received_at < p->round_at - WAIT_VALID_MS)
			continue;
		k = plan_model(p, t->service, t->model);
		if (k->ready_at == 0)
			continue;
		digest__model_wait__init(&wait[n]);
		wait[n].service = t->service;
		wait[n].model = t->model;
		wait[n].ready_in_ms =
		    k->ready_at > now ? (uint32_t)(k->ready_at - now) : 0;
		list[n] = &wait[n];
		n++;
	}
	if (n > 0)
		send_model_waits(p->s, peer, list, (size_t)n);
}

void
plan_send_waits(plan_t *p)
{
	int i;

	if (!p->leadership.held)
		return;
	for (i = 0; i < p->s->peers.npeer; i++) {
		peer_t *peer = p->s->peers.peer[i];

		if (!peer->asks_waits)
			continue;
		peer->asks_waits = false;
		send_waits(p, peer);
	}
}
