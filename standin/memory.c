#include "standin/memory.h"

#include "standin/web.h"

#include <string.h>

void
memory_init(memory_t *m, uint32_t capacity_mb, bool fencing)
{
	memset(m, 0, sizeof(*m));
	m->items = g_ptr_array_new();
	m->capacity_mb = capacity_mb;
	m->fencing = fencing;
	str_set(m->role, sizeof(m->role), "both");
}

static item_t *
find_item(memory_t *m, const char *model, const char *adapter, uint64_t version)
{
	guint i;

	for (i = 0; i < m->items->len; i++) {
		item_t *it = m->items->pdata[i];

		if (strcmp(it->model, model) == 0 &&
		    strcmp(it->adapter, adapter) == 0 && it->version == version)
			return it;
	}
	return NULL;
}

item_t *
memory_ready(
    memory_t *m, const char *model, const char *adapter, uint64_t version)
{
	guint i;

	for (i = 0; i < m->items->len; i++) {
		item_t *it = m->items->pdata[i];

		if (it->state == RESIDENT_READY &&
		    strcmp(it->model, model) == 0 &&
		    strcmp(it->adapter, adapter) == 0 &&
		    (version == 0 || it->version == version))
			return it;
	}
	return NULL;
}

/* Free an item that is being unloaded once it is neither loading nor used. */
static void
free_unused(memory_t *m, item_t *it)
{
	if (it->state != RESIDENT_UNLOADING || it->fetching || it->users > 0)
		return;
	m->used_mb -= it->mb;
	g_ptr_array_remove_fast(m->items, it);
	g_free(it);
}

static item_t *
load_item(memory_t *m, const order_t *o)
{
	item_t *it = find_item(m, o->model, o->adapter, o->version);

	if (it != NULL) {
		if (it->state == RESIDENT_UNLOADING)
			it->state =
			    it->fetching ? RESIDENT_LOADING : RESIDENT_READY;
		return NULL;
	}
	it = g_new0(item_t, 1);
	str_set(it->model, sizeof(it->model), o->model);
	str_set(it->adapter, sizeof(it->adapter), o->adapter);
	it->version = o->version;
	it->mb = o->memory_mb;
	it->state = RESIDENT_LOADING;
	it->fetching = true;
	g_ptr_array_add(m->items, it);
	m->loads++;
	m->used_mb += it->mb;
	if (m->used_mb > m->peak_mb)
		m->peak_mb = m->used_mb;
	if (m->used_mb > m->capacity_mb)
		m->overcommits++;
	return it;
}

static void
unload_item(memory_t *m, const order_t *o)
{
	item_t *it = find_item(m, o->model, o->adapter, o->version);

	if (it == NULL)
		return;
	if (it->state != RESIDENT_UNLOADING)
		m->unloads++;
	it->state = RESIDENT_UNLOADING;
	free_unused(m, it);
}

int
memory_order(memory_t *m, const order_t *o, item_t **to_load)
{
	*to_load = NULL;
	m->orders++;
	if (m->fencing && o->fencing_token <= m->max_fencing_token) {
		if (o->fencing_token == m->max_fencing_token &&
		    o->number == m->max_token_order)
			return 202;
		m->refused++;
		return 409;
	}
	if (m->fencing) {
		m->max_fencing_token = o->fencing_token;
		m->max_token_order = o->number;
	}
	if (o->number > m->last_order)
		m->last_order = o->number;
	switch (o->kind) {
	case ORDER_LOAD:
		*to_load = load_item(m, o);
		break;
	case ORDER_UNLOAD:
		unload_item(m, o);
		break;
	case ORDER_ROLE:
		str_set(m->role, sizeof(m->role), o->role);
		break;
	}
	return 202;
}

void
memory_fetched(memory_t *m, item_t *it)
{
	it->fetching = false;
	if (it->state == RESIDENT_LOADING)
		it->state = RESIDENT_READY;
	free_unused(m, it);
}

void
item_use(item_t *it)
{
	if (it != NULL)
		it->users++;
}

void
item_release(memory_t *m, item_t *it)
{
	if (it == NULL)
		return;
	it->users--;
	free_unused(m, it);
}

json_t *
memory_json(const memory_t *m)
{
	static const char *const state[] = { "loading", "ready", "unloading" };
	json_t *list = json_array();
	guint i;

	for (i = 0; i < m->items->len; i++) {
		const item_t *it = m->items->pdata[i];

		json_array_append_new(list,
		    json_pack("{s:s,s:s,s:I,s:s,s:I}", "model", it->model,
			"adapter", it->adapter, "version",
			(json_int_t)it->version, "state", state[it->state],
			"memory_mb", (json_int_t)it->mb));
	}
	return list;
}

int
order_read(const json_t *j, order_t *o)
{
	const char *op = json_text(j, "op");

	memset(o, 0, sizeof(*o));
	if (strcmp(op, "load") == 0)
		o->kind = ORDER_LOAD;
	else if (strcmp(op, "unload") == 0)
		o->kind = ORDER_UNLOAD;
	else if (strcmp(op, "role") == 0)
		o->kind = ORDER_ROLE;
	else
		return -1;
	o->number = json_number(j, "number", 0);
	o->fencing_token = json_number(j, "fence", 0);
	o->version = json_number(j, "version", 0);
	o->memory_mb = json_number(j, "memory_mb", 0);
	str_set(o->model, sizeof(o->model), json_text(j, "model"));
	str_set(o->adapter, sizeof(o->adapter), json_text(j, "adapter"));
	str_set(o->role, sizeof(o->role), json_text(j, "role"));
	if (o->kind != ORDER_ROLE && o->model[0] == '\0')
		return -1;
	return 0;
}
