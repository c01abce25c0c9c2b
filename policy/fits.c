#include "policy/policy.h"

#include <stdlib.h>
#include <string.h>
#include <glib.h>

enum {
	ROUNDS_MAX = 64,	   /* of place_step() */
	LOADS_UNLIMITED = 1 << 20, /* the store's budget doesn't apply */
};

/* Applies a step's moves to the list, as if carried out at once. */
static void
apply_moves(GArray *copies, const place_output_t *out)
{
	const place_move_t *m;
	place_copy_t *c;
	guint i, kept = 0;
	int j;

	for (j = 0; j < out->nmove; j++) {
		m = &out->move[j];
		for (i = 0; m->kind == MOVE_UNLOAD && i < copies->len; i++) {
			c = &g_array_index(copies, place_copy_t, i);
			if (c->worker == m->worker && c->item == m->item)
				c->state = PLACE_NONE;
		}
	}
	for (i = 0; i < copies->len; i++) {
		c = &g_array_index(copies, place_copy_t, i);
		if (c->state != PLACE_NONE)
			g_array_index(copies, place_copy_t, kept++) = *c;
	}
	g_array_set_size(copies, kept);
	for (j = 0; j < out->nmove; j++) {
		place_copy_t loaded = { out->move[j].worker, out->move[j].item,
			PLACE_READY };

		if (out->move[j].kind == MOVE_LOAD)
			g_array_append_val(copies, loaded);
	}
}

/* The copies once all loads and unloads under way are done. */
static GArray *
settled_copies(const place_input_t *in)
{
	GArray *copies = g_array_new(FALSE, FALSE, sizeof(place_copy_t));
	place_copy_t c;
	int n = in->state != NULL ? in->nworker * in->nitem : in->ncopy;
	int i;

	for (i = 0; i < n; i++) {
		if (in->state != NULL)
			c = (place_copy_t){ i / in->nitem, i % in->nitem,
				in->state[i] };
		else
			c = in->copy[i];
		if (c.state != PLACE_LOADING && c.state != PLACE_READY)
			continue;
		c.state = PLACE_READY;
		g_array_append_val(copies, c);
	}
	return copies;
}

/* Reports items with too few copies. @return true if there are none */
static bool
report_missing(const place_input_t *in, const GArray *copies, GString *report)
{
	int *have = g_new0(int, in->nitem + 1);
	bool complete = true;
	const place_copy_t *c;
	guint i;
	int j, min_copies;

	for (i = 0; i < copies->len; i++) {
		c = &g_array_index(copies, place_copy_t, i);
		if (in->worker[c->worker].usable)
			have[c->item]++;
	}
	for (j = 0; j < in->nitem; j++) {
		const place_item_t *item = &in->item[j];

		min_copies = item->copies_min > 1 ? (int)item->copies_min : 1;
		if (!item->wanted || have[j] >= min_copies)
			continue;
		complete = false;
		g_string_append_printf(report,
		    "%s: %d of %d copies of %u MB fit on the workers of %s\n",
		    item->name, have[j], min_copies, item->memory_mb,
		    item->service);
	}
	g_free(have);
	return complete;
}

bool
place_fits(const place_input_t *in, char **report)
{
	place_input_t next = *in;
	place_output_t out = { 0 };
	GArray *copies = settled_copies(in);
	GString *text = g_string_new(NULL);
	bool complete;
	int round;

	next.state = NULL;
	next.quiet = true;
	next.model_loads_left = next.adapter_loads_left = LOADS_UNLIMITED;
	for (round = 0; round < ROUNDS_MAX; round++) {
		next.copy = (const place_copy_t *)(void *)copies->data;
		next.ncopy = (int)copies->len;
		if (place_step(&next, &out, NULL) == -1 || out.nmove == 0)
			break;
		apply_moves(copies, &out);
	}
	complete = report_missing(in, copies, text);
	place_output_clear(&out);
	g_array_free(copies, TRUE);
	*report = g_string_free(text, complete);
	return complete;
}
