#include "policy/policy.h"

#include <stdlib.h>
#include <string.h>
#include <jansson.h>
#include <ck_pr.h>

catalogue_t *
catalogue_new(void)
{
	catalogue_t *c = calloc(1, sizeof(*c));

	if (c != NULL)
		c->refs = 1;
	return c;
}

catalogue_t *
catalogue_ref(catalogue_t *c)
{
	ck_pr_inc_int(&c->refs);
	return c;
}

void
catalogue_unref(catalogue_t *c)
{
	bool last;

	if (c == NULL)
		return;
	/* The thread that frees must see what the others did before. */
	ck_pr_fence_release();
	ck_pr_dec_int_zero(&c->refs, &last);
	if (!last)
		return;
	ck_pr_fence_acquire();
	free(c->model);
	free(c->adapter);
	free(c->withdrawn);
	free(c);
}

/* model_t, adapter_t and withdrawn entries all start with the name. */
static int
by_name(const void *a, const void *b)
{
	return strcmp(a, b);
}

static const void *
find_by_name(const void *items, int n, size_t size, const char *name)
{
	return n == 0 ? NULL : bsearch(name, items, n, size, by_name);
}

const model_t *
catalogue_model(const catalogue_t *c, const char *name)
{
	return find_by_name(c->model, c->nmodel, sizeof(model_t), name);
}

const adapter_t *
catalogue_adapter(const catalogue_t *c, const char *name)
{
	return find_by_name(c->adapter, c->nadapter, sizeof(adapter_t), name);
}

bool
catalogue_withdrawn(const catalogue_t *c, const char *name)
{
	return find_by_name(c->withdrawn, c->nwithdrawn, ID_MAX, name) != NULL;
}

char *
catalogue_encode(const catalogue_t *c)
{
	json_t *models = json_array(), *adapters = json_array();
	json_t *withdrawn = json_array(), *all;
	char *text;
	int i;

	for (i = 0; i < c->nmodel; i++) {
		const model_t *m = &c->model[i];

		json_array_append_new(
		    models, json_pack("{s:s, s:s, s:I, s:i, s:i, s:b}", "name",
				m->name, "service", m->service, "version",
				(json_int_t)m->version, "memory_mb",
				(int)m->memory_mb, "copies", (int)m->copies_min,
				"resumable", m->resumable));
	}
	for (i = 0; i < c->nadapter; i++) {
		const adapter_t *a = &c->adapter[i];

		json_array_append_new(adapters,
		    json_pack("{s:s, s:s, s:I, s:i}", "name", a->name, "model",
			a->model, "version", (json_int_t)a->version,
			"memory_mb", (int)a->memory_mb));
	}
	for (i = 0; i < c->nwithdrawn; i++)
		json_array_append_new(withdrawn, json_string(c->withdrawn[i]));
	all = json_pack("{s:I, s:s, s:o, s:o, s:o}", "number",
	    (json_int_t)c->number, "note", c->note_id, "models", models,
	    "adapters", adapters, "withdrawn", withdrawn);
	text = json_dumps(all, JSON_COMPACT);
	json_decref(all);
	return text;
}

static int
decode_model(json_t *j, model_t *m)
{
	const char *name, *service;
	json_int_t version;
	int memory, copies, resumable;

	if (json_unpack(j, "{s:s, s:s, s:I, s:i, s:i, s:b}", "name", &name,
		"service", &service, "version", &version, "memory_mb", &memory,
		"copies", &copies, "resumable", &resumable) == -1)
		return -1;
	str_set(m->name, ID_MAX, name);
	str_set(m->service, ID_MAX, service);
	m->version = version;
	m->memory_mb = memory;
	m->copies_min = copies;
	m->resumable = resumable;
	return 0;
}

static int
decode_adapter(json_t *j, adapter_t *a)
{
	const char *name, *model;
	json_int_t version;
	int memory;

	if (json_unpack(j, "{s:s, s:s, s:I, s:i}", "name", &name, "model",
		&model, "version", &version, "memory_mb", &memory) == -1)
		return -1;
	str_set(a->name, ID_MAX, name);
	str_set(a->model, ID_MAX, model);
	a->version = version;
	a->memory_mb = memory;
	return 0;
}

static int
catalogue_fill(json_t *all, catalogue_t *c)
{
	json_t *models, *adapters, *withdrawn, *j;
	json_int_t number;
	const char *id;
	size_t i;

	if (json_unpack(all, "{s:I, s:s, s:o, s:o, s:o}", "number", &number,
		"note", &id, "models", &models, "adapters", &adapters,
		"withdrawn", &withdrawn) == -1)
		return -1;
	c->number = number;
	str_set(c->note_id, ID_MAX, id);
	c->model = calloc(json_array_size(models) + 1, sizeof(model_t));
	c->adapter = calloc(json_array_size(adapters) + 1, sizeof(adapter_t));
	c->withdrawn = calloc(json_array_size(withdrawn) + 1, ID_MAX);
	if (c->model == NULL || c->adapter == NULL || c->withdrawn == NULL)
		return -1;
	json_array_foreach(models, i, j)
	{
		if (decode_model(j, &c->model[c->nmodel++]) == -1)
			return -1;
	}
	json_array_foreach(adapters, i, j)
	{
		if (decode_adapter(j, &c->adapter[c->nadapter++]) == -1)
			return -1;
	}
	json_array_foreach(withdrawn, i, j)
	{
		if (!json_is_string(j))
			return -1;
		str_set(c->withdrawn[c->nwithdrawn++], ID_MAX,
		    json_string_value(j));
	}
	/* The text should be sorted, but lookups must not depend on that. */
	qsort(c->model, c->nmodel, sizeof(model_t), by_name);
	qsort(c->adapter, c->nadapter, sizeof(adapter_t), by_name);
	qsort(c->withdrawn, c->nwithdrawn, ID_MAX, by_name);
	return 0;
}

catalogue_t *
catalogue_decode(const char *json, size_t len, err_t *e)
{
	json_error_t je;
	json_t *all = json_loadb(json, len, 0, &je);
	catalogue_t *c;

	if (all == NULL) {
		err_set(e, ERR_PROTO, "catalogue isn't JSON: %s", je.text);
		return NULL;
	}
	c = catalogue_new();
	if (c != NULL && catalogue_fill(all, c) == -1) {
		err_set(e, ERR_PROTO, "not a catalogue");
		catalogue_unref(c);
		c = NULL;
	}
	json_decref(all);
	return c;
}
