#include "standin/instance_history.h"

#include <string.h>

enum {
	HISTORY_MS = 600000 /* greatest lag of a reader */
};

typedef struct change {
	ms_t at;
	char *id;
	json_t *item; /* NULL: removed */
} change_t;

static void
free_change(void *p)
{
	change_t *c = p;

	json_decref(c->item);
	g_free(c->id);
	g_free(c);
}

instance_history_t *
instance_history_new(void)
{
	return g_ptr_array_new_with_free_func(free_change);
}

void
instance_history_set(
    instance_history_t *l, const char *id, json_t *item, ms_t now)
{
	change_t *c = g_new0(change_t, 1);
	guint i;

	c->at = now;
	c->id = g_strdup(id);
	c->item = item;
	for (i = 0; i < l->len; i++) {
		const change_t *old = l->pdata[i];

		if (strcmp(old->id, id) == 0 && old->at < now - HISTORY_MS)
			g_ptr_array_remove_index(l, i--);
	}
	g_ptr_array_add(l, c);
}

json_t *
instance_history_read(const instance_history_t *l, ms_t upto)
{
	json_t *by_id = json_object(), *items = json_array(), *item;
	const char *id;
	guint i;

	for (i = 0; i < l->len; i++) {
		const change_t *c = l->pdata[i];

		if (c->at > upto)
			break;
		if (c->item == NULL)
			json_object_del(by_id, c->id);
		else
			json_object_set(by_id, c->id, c->item);
	}
	json_object_foreach(by_id, id, item) json_array_append(items, item);
	json_decref(by_id);
	return json_pack("{s:o}", "items", items);
}
