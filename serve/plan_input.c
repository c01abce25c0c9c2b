/* What a placement round knows: demand, copies and memory, as indexes. */
#include "serve/plan_round.h"

#include <string.h>

enum {
	/* A call that waits for a load has given up by then. */
	UNSERVED_MS = 3000,
	/* One more copy is loaded by then. */
	ALL_TRIED_MS = 500,
	/* Tokens/s of an adapter that was called in the last seconds. */
	ADAPTER_MIN_WORK = 60,
	/*
	 * A loaded model serves for so long, and for so many times its load,
	 * before it makes room.
	 */
	MODEL_STAY_MIN_MS = 4000,
	MODEL_STAY_LOADS = 2,
};

/* Distinguishes the adapters of all models of a service. */
static char *
adapter_key(int model, const char *adapter)
{
	return g_strdup_printf("%d/%s", model, adapter);
}

adapter_demand_t *
round_adapter(const plan_round_t *r, int model, const char *adapter)
{
	char key[32];
	int at;

	snprintf(key, sizeof(key), "%d/%s", model, adapter);
	at = GPOINTER_TO_INT(g_hash_table_lookup(r->adapter_at, key));
	return at > 0 ? &g_array_index(r->adapter, adapter_demand_t, at - 1)
		      : NULL;
}

static void
add_adapter_demand(plan_round_t *r, const adapter_demand_t *a)
{
	adapter_demand_t *x = round_adapter(r, a->model, a->adapter);

	if (x != NULL) {
		x->work += a->work;
		x->unserved |= a->unserved;
		x->all_tried |= a->all_tried;
		return;
	}
	g_array_append_val(r->adapter, *a);
	g_hash_table_insert(r->adapter_at, adapter_key(a->model, a->adapter),
	    GINT_TO_POINTER((int)r->adapter->len));
}

static void
add_demand(plan_round_t *r, const char *service, const char *model,
    const char *adapter, double work, bool unserved, bool all_tried)
{
	int m = strcmp(service, r->def->name) == 0
		    ? service_model_index(r->def, model)
		    : -1;
	adapter_demand_t a = { .model = m,
		.work = work,
		.unserved = unserved,
		.all_tried = all_tried };

	if (m == -1)
		return;
	if (*adapter == '\0') {
		r->model[m].demand += work;
		r->model[m].unserved |= unserved;
	} else if (str_copy(a.adapter, sizeof(a.adapter), adapter)) {
		add_adapter_demand(r, &a);
	}
}

static void
gather_demand(plan_round_t *r)
{
	serve_t *s = r->p->s;
	ms_t now = s->loop.now;
	GHashTableIter it;
	gpointer v;
	guint k;
	int i;

	g_hash_table_iter_init(&it, s->demand);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		demand_t *d = v;

		add_demand(r, d->service, d->model, d->adapter,
		    demand_rate(s, d),
		    is_recent(d->unserved_at, now, UNSERVED_MS),
		    is_recent(d->all_tried_at, now, ALL_TRIED_MS));
	}
	for (i = 0; i < s->peers.npeer; i++) {
		peer_t *p = s->peers.peer[i];

		if (!peer_alive(s, p))
			continue;
		for (k = 0; k < p->demand->len; k++) {
			peer_demand_t *t =
			    &g_array_index(p->demand, peer_demand_t, k);

			add_demand(r, t->service, t->model, t->adapter, t->work,
			    t->unserved && now - t->received_at < UNSERVED_MS,
			    t->all_tried &&
				now - t->received_at < ALL_TRIED_MS);
		}
	}
}

/* A model needs enough copies to have a slot for each requested adapter. */
static void
set_min_copies(plan_round_t *r)
{
	int *n = g_new0(int, r->def->nmodel + 1), m;
	guint i;

	for (i = 0; i < r->adapter->len; i++)
		n[g_array_index(r->adapter, adapter_demand_t, i).model] +=
		    g_array_index(r->adapter, adapter_demand_t, i).work >
		    ADAPTER_MIN_WORK;
	for (m = 0; m < r->def->nmodel && r->def->adapter_slots > 0; m++)
		r->model[m].copies_min =
		    (n[m] + r->def->adapter_slots - 1) / r->def->adapter_slots;
	g_free(n);
}

/* The first state of a model at an endpoint counts: lists may repeat it. */
static void
append_copy(plan_round_t *r, const assign_ep_t *p, dispatcher_t *d,
    const char *name, copy_state_t state)
{
	int m = service_model_index(r->def, name);
	assign_copy_t c = { .model = m, .state = state };
	ms_t stay = m != -1 ? r->def->model[m].load * MODEL_STAY_LOADS : 0;
	guint i;

	for (i = (guint)p->copy; i < r->copy->len; i++)
		if (g_array_index(r->copy, assign_copy_t, i).model == m)
			return;
	c.stays = dispatcher_stay(
	    d, name, stay > MODEL_STAY_MIN_MS ? stay : MODEL_STAY_MIN_MS);
	g_array_append_val(r->copy, c);
}

/* Copies that the entry lists, and those that orders since it may change. */
static void
append_copies(plan_round_t *r, assign_ep_t *p, dispatcher_t *d)
{
	const holding_set_t *h = &d->ep->entry.holds;
	int i;

	for (i = 0; i < h->nmodel; i++)
		append_copy(r, p, d, h->model[i],
		    dispatcher_unloading(d, h->model[i]) ? COPY_UNLOADING
							 : COPY_READY);
	for (i = 0; i < d->ep->nknown; i++) {
		const known_order_t *l = &d->ep->known[i];

		if (l->adapter[0] != '\0')
			continue;
		if (dispatcher_unloading(d, l->model))
			append_copy(r, p, d, l->model, COPY_UNLOADING);
		else if (dispatcher_loading(d, l->model, ""))
			append_copy(r, p, d, l->model, COPY_LOADING);
	}
	if (d->request != NULL && d->model[0] != '\0' && d->adapter[0] == '\0')
		append_copy(
		    r, p, d, d->model, d->load ? COPY_LOADING : COPY_UNLOADING);
	p->ncopy = (int)r->copy->len - p->copy;
}

static void
append_cached(plan_round_t *r, const char (*name)[ID_MAX], int n)
{
	int i, m;

	for (i = 0; i < n; i++) {
		m = service_model_index(r->def, name[i]);
		if (m != -1)
			g_array_append_val(r->cached, m);
	}
}

static void
add_endpoint(plan_round_t *r, int e, dispatcher_t *d)
{
	serve_t *s = r->p->s;
	const holding_set_t *h = &d->ep->entry.holds;
	assign_ep_t *p = &r->ep[e];

	r->dispatcher[e] = d;
	*p = (assign_ep_t){
		/* Failing calls are transient and don't move models. */
		.usable = ep_usable(d->ep) && d->ep->missing_at == 0,
		.accepts_order = dispatcher_idle(d),
		.free_mb = r->def->weights_mb - dispatcher_memory_mb(d),
		.tokens_per_s =
		    1000 * (s->average_speed.prefill_speed > 0
				   ? s->average_speed.prefill_speed
				   : DEFAULT_PREFILL_SPEED / 1000.0),
		.copy = (int)r->copy->len,
		.cached = (int)r->cached->len,
		.room_for = service_model_index(r->def, d->room_for),
		.room_age = s->loop.now - d->room_since,
	};
	append_copies(r, p, d);
	append_cached(r, h->in_memory, h->nin_memory);
	append_cached(r, h->on_disk, h->non_disk);
	p->ncached = (int)r->cached->len - p->cached;
}

void
round_init(plan_round_t *r, plan_t *p, const service_def_t *def)
{
	ep_table_t *f = &p->s->endpoints;
	int i;

	*r = (plan_round_t){ .p = p, .def = def };
	r->model = g_new0(assign_model_t, def->nmodel + 1);
	r->kept = g_new0(plan_model_t *, def->nmodel + 1);
	r->ep = g_new0(assign_ep_t, f->nep + 1);
	r->dispatcher = g_new0(dispatcher_t *, f->nep + 1);
	r->copy = g_array_new(FALSE, FALSE, sizeof(assign_copy_t));
	r->cached = g_array_new(FALSE, FALSE, sizeof(int));
	r->adapter = g_array_new(FALSE, FALSE, sizeof(adapter_demand_t));
	r->adapter_at =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	for (i = 0; i < def->nmodel; i++)
		if (def->model[i].weights_mb <= def->weights_mb)
			r->model[i].weights_mb = def->model[i].weights_mb;
	gather_demand(r);
	round_read_models(r);
	set_min_copies(r);
	for (i = 0; i < f->nep; i++) {
		if (!f->ep[i]->listed ||
		    strcmp(f->ep[i]->entry.service, def->name) != 0)
			continue;
		add_endpoint(r, r->nep++, dispatcher_get(p, f->ep[i]));
	}
}

void
round_free(plan_round_t *r)
{
	g_free(r->model);
	g_free(r->kept);
	g_free(r->ep);
	g_free(r->dispatcher);
	g_array_free(r->copy, TRUE);
	g_array_free(r->cached, TRUE);
	g_array_free(r->adapter, TRUE);
	g_hash_table_destroy(r->adapter_at);
}
