#include "standin/objstore.h"

#include <stdlib.h>
#include <string.h>

enum {
	EVENTS_MAX = 8192 /* changes kept for watches */
};

typedef struct object {
	GString *value;
	GString *previous; /* value that stale reads return */
	uint64_t version, previous_version;
} object_t;

typedef struct event {
	uint64_t version;
	char *key;
} event_t;

struct objstore {
	GTree *objects; /* char * -> object_t */
	uint64_t version;
	event_t event[EVENTS_MAX];
	uint64_t nevent, lost_up_to; /* events up to this version are lost */
};

static void
object_free(void *p)
{
	object_t *t = p;

	g_string_free(t->value, TRUE);
	if (t->previous != NULL)
		g_string_free(t->previous, TRUE);
	free(t);
}

static int
key_order(const void *a, const void *b, void *user)
{
	(void)user;
	return strcmp(a, b);
}

objstore_t *
objstore_new(void)
{
	objstore_t *s = g_new0(objstore_t, 1);

	s->objects = g_tree_new_full(key_order, NULL, g_free, object_free);
	return s;
}

static void
add_event(objstore_t *s, const char *key)
{
	event_t *e = &s->event[s->nevent++ % EVENTS_MAX];

	if (e->key != NULL)
		s->lost_up_to = e->version;
	g_free(e->key);
	e->key = g_strdup(key);
	e->version = s->version;
}

static bool
condition_holds(const objstore_cond_t *c, const object_t *t)
{
	if (c->absent)
		return t == NULL;
	return !c->match || (t != NULL && t->version == c->version);
}

objstore_result_t
objstore_put(objstore_t *s, const char *key, const GString *value,
    const objstore_cond_t *cond, uint64_t *version)
{
	object_t *t = g_tree_lookup(s->objects, key);

	if (!condition_holds(cond, t))
		return OBJSTORE_CONFLICT;
	if (t == NULL) {
		t = g_new0(object_t, 1);
		g_tree_insert(s->objects, g_strdup(key), t);
	} else {
		if (t->previous != NULL)
			g_string_free(t->previous, TRUE);
		t->previous = t->value;
		t->previous_version = t->version;
	}
	t->value = g_string_new_len(value->str, (gssize)value->len);
	*version = t->version = ++s->version;
	add_event(s, key);
	return OBJSTORE_DONE;
}

objstore_result_t
objstore_del(objstore_t *s, const char *key, const objstore_cond_t *cond)
{
	const object_t *t = g_tree_lookup(s->objects, key);

	if (t == NULL)
		return OBJSTORE_ABSENT;
	if (!condition_holds(cond, t))
		return OBJSTORE_CONFLICT;
	g_tree_remove(s->objects, key);
	s->version++;
	add_event(s, key);
	return OBJSTORE_DONE;
}

const GString *
objstore_get(objstore_t *s, const char *key, bool *stale, uint64_t *version)
{
	const object_t *t = g_tree_lookup(s->objects, key);

	*stale = *stale && t != NULL && t->previous != NULL;
	if (t == NULL)
		return NULL;
	*version = *stale ? t->previous_version : t->version;
	return *stale ? t->previous : t->value;
}

static json_t *
object_json(const char *key, const object_t *t)
{
	return json_pack("{s:s, s:I, s:s%}", "key", key, "version",
	    (json_int_t)t->version, "value", t->value->str, t->value->len);
}

static json_t *
list_json(const objstore_t *s, json_t *items)
{
	return json_pack(
	    "{s:I, s:o}", "version", (json_int_t)s->version, "items", items);
}

json_t *
objstore_list(objstore_t *s, const char *prefix)
{
	GTreeNode *n = g_tree_lower_bound(s->objects, prefix);
	json_t *items = json_array();

	for (; n != NULL; n = g_tree_node_next(n)) {
		if (!g_str_has_prefix(g_tree_node_key(n), prefix))
			break;
		json_array_append_new(items,
		    object_json(g_tree_node_key(n), g_tree_node_value(n)));
	}
	return list_json(s, items);
}

json_t *
objstore_changes(objstore_t *s, const char *prefix, uint64_t since, size_t *n)
{
	uint64_t i = s->nevent > EVENTS_MAX ? s->nevent - EVENTS_MAX : 0;
	json_t *by_key = json_object(), *items = json_array(), *item;
	const char *key;

	if (since < s->lost_up_to) {
		json_decref(by_key);
		json_decref(items);
		return NULL;
	}
	for (; i < s->nevent; i++) {
		const event_t *e = &s->event[i % EVENTS_MAX];
		const object_t *t;

		if (e->version <= since || !g_str_has_prefix(e->key, prefix))
			continue;
		t = g_tree_lookup(s->objects, e->key);
		json_object_set_new(by_key, e->key,
		    t != NULL
			? object_json(e->key, t)
			: json_pack("{s:s, s:I, s:b}", "key", e->key, "version",
			      (json_int_t)e->version, "deleted", 1));
	}
	json_object_foreach(by_key, key, item) json_array_append(items, item);
	json_decref(by_key);
	*n = json_array_size(items);
	return list_json(s, items);
}
