#include "entry/route.h"

#include <stdlib.h>
#include <string.h>
#include <jansson.h>

enum {
	ENTRIES_MAX = 64,
	LOAD_JITTER = 4 /* calls, added at random to a load to spread callers */
};

typedef struct candidate {
	const Wire__Member *member;
	bool same_domain;
	double load;
} candidate_t;

static int
by_domain_and_load(const void *a, const void *b)
{
	const candidate_t *x = a, *y = b;

	if (x->same_domain != y->same_domain)
		return x->same_domain ? -1 : 1;
	return x->load < y->load ? -1 : x->load > y->load;
}

static char *
entries(void *user, const char *domain)
{
	entry_t *en = user;
	view_t *v = client_view(en->client);
	json_t *list = json_array(), *all;
	size_t nmember = v == NULL ? 0 : v->wire->n_member, i, n = 0;
	candidate_t *c = g_new0(candidate_t, nmember + 1);
	rng_t rng = { (uint64_t)clock_now(&machine_clock) * 2654435761u +
		      (uintptr_t)c };
	char *text;

	if (domain == NULL)
		domain = en->settings->instance.domain;
	for (i = 0; i < nmember; i++) {
		const Wire__Member *m = v->wire->member[i];

		if (m->leaving || m->caller_addr[0] == '\0' ||
		    (en->leaving &&
			strcmp(m->id, en->settings->instance.id) == 0))
			continue;
		c[n++] = (candidate_t){ m, strcmp(m->domain, domain) == 0,
			m->load + LOAD_JITTER * rng_unit(&rng) };
	}
	qsort(c, n, sizeof(*c), by_domain_and_load);
	for (i = 0; i < n && i < ENTRIES_MAX; i++)
		json_array_append_new(
		    list, json_pack("{s:s, s:s, s:s}", "id", c[i].member->id,
			      "addr", c[i].member->caller_addr, "domain",
			      c[i].member->domain));
	all = json_pack("{s:o}", "entries", list);
	text = json_dumps(all, JSON_COMPACT);
	json_decref(all);
	g_free(c);
	view_unref(v);
	return text;
}

static json_t *
model_item(const char *name, const char *root)
{
	return json_pack("{s:s, s:s, s:s, s:s}", "id", name, "object", "model",
	    "owned_by", "ebonypitch", "root", root);
}

static char *
models(void *user)
{
	entry_t *en = user;
	view_t *v = client_view(en->client);
	json_t *list = json_array(), *all;
	char *text;
	int i;

	if (v != NULL && v->catalogue != NULL) {
		for (i = 0; i < v->catalogue->nmodel; i++)
			json_array_append_new(
			    list, model_item(v->catalogue->model[i].name,
				      v->catalogue->model[i].name));
		for (i = 0; i < v->catalogue->nadapter; i++)
			json_array_append_new(
			    list, model_item(v->catalogue->adapter[i].name,
				      v->catalogue->adapter[i].model));
	}
	all = json_pack("{s:s, s:o}", "object", "list", "data", list);
	text = json_dumps(all, JSON_COMPACT);
	json_decref(all);
	view_unref(v);
	return text;
}

bool
entry_view_ready(const view_t *v)
{
	return v != NULL && v->catalogue != NULL && v->wire->n_member > 0 &&
	       v->wire->workers_known &&
	       v->catalogue->number >= v->wire->catalogue;
}

static bool
ready(void *user)
{
	entry_t *en = user;
	view_t *v = client_view(en->client);
	/*
	 * Calls are accepted once a complete view has arrived. To be ready,
	 * the latest view must be complete as well.
	 */
	bool is_ready = __atomic_load_n(&en->ready, __ATOMIC_RELAXED) &&
			entry_view_ready(v);

	view_unref(v);
	return is_ready;
}

static bool
leaving(void *user)
{
	const entry_t *en = user;

	return __atomic_load_n(&en->leaving, __ATOMIC_RELAXED);
}

pages_t
entry_pages(entry_t *en)
{
	return (pages_t){ en, entries, models, ready, leaving };
}
