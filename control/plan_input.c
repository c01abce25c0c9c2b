#include "control/plan_input.h"

#include <string.h>

void
plan_input_init(plan_input_t *in)
{
	in->worker = g_array_new(FALSE, TRUE, sizeof(place_worker_t));
	in->ledger = g_ptr_array_new();
	in->addr = g_ptr_array_new();
	in->item = g_array_new(FALSE, TRUE, sizeof(place_item_t));
	in->model = g_ptr_array_new();
	in->copy = g_array_new(FALSE, TRUE, sizeof(place_copy_t));
	in->index =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
}

void
plan_input_destroy(plan_input_t *in)
{
	g_array_free(in->worker, TRUE);
	g_ptr_array_free(in->ledger, TRUE);
	g_ptr_array_free(in->addr, TRUE);
	g_array_free(in->item, TRUE);
	g_ptr_array_free(in->model, TRUE);
	g_array_free(in->copy, TRUE);
	g_hash_table_destroy(in->index);
}

static char *
item_key(const char *model, const char *adapter, uint64_t version)
{
	return g_strdup_printf("%s %s %" PRIu64, model, adapter, version);
}

/* Placement knows an item by the adapter's name, or else the model's. */
static int
add_item(plan_input_t *in, const char *model, const char *adapter,
    uint64_t version, uint32_t mb)
{
	place_item_t it = { .version = version, .memory_mb = mb, .base = -1 };
	int at = (int)in->item->len;

	str_set(it.name, sizeof(it.name), *adapter == '\0' ? model : adapter);
	g_array_append_val(in->item, it);
	g_ptr_array_add(in->model, (void *)model);
	g_hash_table_insert(in->index, item_key(model, adapter, version),
	    GINT_TO_POINTER(at + 1));
	return at;
}

static int
find_item(const plan_input_t *in, const char *model, const char *adapter,
    uint64_t version)
{
	char *key = item_key(model, adapter, version);
	int at = GPOINTER_TO_INT(g_hash_table_lookup(in->index, key)) - 1;

	g_free(key);
	return at;
}

static void
add_catalogue(plan_input_t *in, const catalogue_t *c, const demand_t *d)
{
	const model_t *m;
	const adapter_t *a;
	place_item_t *it;
	int i, at;

	for (i = 0; i < c->nmodel; i++) {
		m = &c->model[i];
		at = add_item(in, m->name, "", m->version, m->memory_mb);
		it = &g_array_index(in->item, place_item_t, at);
		str_set(it->service, sizeof(it->service), m->service);
		it->copies_min = m->copies_min;
		it->demand = demand_calls(d, m->name);
		it->wanted = true;
	}
	for (i = 0; i < c->nadapter; i++) {
		a = &c->adapter[i];
		if ((m = catalogue_model(c, a->model)) == NULL)
			continue;
		at = add_item(in, a->model, a->name, a->version, a->memory_mb);
		it = &g_array_index(in->item, place_item_t, at);
		str_set(it->service, sizeof(it->service), m->service);
		it->copies_min = 1;
		it->base = (int)(m - c->model);
		it->demand = demand_calls(d, a->name);
		it->wanted = true;
	}
}

/*
 * Add items of a ledger that the catalogue doesn't list: older versions and
 * withdrawn ones. Models must be added first, so that adapters find their base.
 */
static void
add_unlisted(plan_input_t *in, const worker_ledger_t *wl, const char *service,
    bool models)
{
	const reservation_t *res;
	place_item_t *it;
	int i, at, base;
	guint j;

	for (i = 0; wl->ledger != NULL && i < wl->ledger->nreservation; i++) {
		res = &wl->ledger->reservation[i];
		if ((res->adapter[0] == '\0') != models ||
		    find_item(in, res->model, res->adapter, res->version) != -1)
			continue;
		at = add_item(
		    in, res->model, res->adapter, res->version, res->memory_mb);
		for (base = -1, j = 0; !models && j < in->item->len; j++)
			if (strcmp(
				g_array_index(in->item, place_item_t, j).name,
				res->model) == 0 &&
			    g_array_index(in->item, place_item_t, j).base ==
				-1 &&
			    (int)j != at)
				base = (int)j;
		it = &g_array_index(in->item, place_item_t, at);
		str_set(it->service, sizeof(it->service), service);
		it->base = base;
	}
}

place_state_t
reservation_place_state(worker_ledger_t *wl, const reservation_t *res, ms_t now)
{
	const resident_t *r = worker_ledger_resident(wl, res);
	bool newer = wl->has_report && wl->report.last_order >= res->order;

	if (res->state == RESERVATION_UNLOADING)
		return PLACE_UNLOADING;
	if (r != NULL && r->state == RESIDENT_READY)
		return PLACE_READY;
	if (r != NULL)
		return r->state == RESIDENT_LOADING ? PLACE_LOADING
						    : PLACE_UNLOADING;
	/* Not reported. A load that isn't settled takes memory but isn't
	 * counted as a copy. */
	if (res->state == RESERVATION_UNSETTLED)
		return worker_ledger_order_age(wl, res->order, now) <
			       LOAD_SETTLE_MS
			   ? PLACE_LOADING
			   : PLACE_UNLOADING;
	return newer ? PLACE_UNLOADING : PLACE_LOADING;
}

static void
add_copies(plan_input_t *in, worker_ledger_t *wl, int worker, ms_t now)
{
	const reservation_t *res;
	place_copy_t c = { .worker = worker };
	int i;

	for (i = 0; wl->ledger != NULL && i < wl->ledger->nreservation; i++) {
		res = &wl->ledger->reservation[i];
		c.item = find_item(in, res->model, res->adapter, res->version);
		c.state = reservation_place_state(wl, res, now);
		g_array_append_val(in->copy, c);
		if (c.state != PLACE_LOADING)
			continue;
		if (res->adapter[0] == '\0')
			in->model_loads++;
		else
			in->adapter_loads++;
	}
}

static void
add_worker(
    plan_input_t *in, const Wire__Worker *w, worker_ledger_t *wl, ms_t now)
{
	place_worker_t pw = { .slots = w->slots };

	str_set(pw.id, sizeof(pw.id), w->id);
	str_set(pw.service, sizeof(pw.service), w->service);
	str_set(pw.domain, sizeof(pw.domain), w->domain);
	pw.memory_mb = wl->ledger == NULL ? 0 : wl->ledger->memory_mb;
	pw.usable = !w->leaving && wl->ledger != NULL && !wl->stale &&
		    wl->has_report && !wl->report.leaving &&
		    now >= wl->no_orders_until &&
		    now - wl->report.taken_at < REPORT_MAX_AGE_MS;
	g_array_append_val(in->worker, pw);
	g_ptr_array_add(in->ledger, wl);
	g_ptr_array_add(in->addr, w->addr);
}

static void
plan_input_clear(plan_input_t *in)
{
	g_array_set_size(in->worker, 0);
	g_ptr_array_set_size(in->ledger, 0);
	g_ptr_array_set_size(in->addr, 0);
	g_array_set_size(in->item, 0);
	g_ptr_array_set_size(in->model, 0);
	g_array_set_size(in->copy, 0);
	g_hash_table_remove_all(in->index);
	in->model_loads = in->adapter_loads = 0;
}

void
plan_input_fill(plan_input_t *in, const view_t *v, ledger_cache_t *cache,
    const demand_t *d, const settings_t *s, ms_t now)
{
	const service_conf_t *conf;
	const char *service;
	size_t i;
	guint w;

	plan_input_clear(in);
	add_catalogue(in, v->catalogue, d);
	for (i = 0; i < v->wire->n_worker; i++) {
		conf = settings_service(s, v->wire->worker[i]->service);
		if (conf != NULL && conf->kind == SERVICE_ENGINE)
			add_worker(in, v->wire->worker[i],
			    ledger_cache_get(cache, v->wire->worker[i]->id),
			    now);
	}
	for (i = 0; i < 2; i++)
		for (w = 0; w < in->ledger->len; w++) {
			service = g_array_index(in->worker, place_worker_t, w)
				      .service;
			add_unlisted(in, in->ledger->pdata[w], service, i == 0);
		}
	for (w = 0; w < in->ledger->len; w++)
		add_copies(in, in->ledger->pdata[w], (int)w, now);
}

ledger_item_t
plan_input_ledger_item(const plan_input_t *in, int item)
{
	const place_item_t *it = &g_array_index(in->item, place_item_t, item);
	const char *model = in->model->pdata[item];
	bool adapter = it->base != -1 || strcmp(it->name, model) != 0;

	return (ledger_item_t){ model, adapter ? it->name : "", it->version,
		it->memory_mb };
}
