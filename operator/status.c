#include "operator/operator.h"

#include <stdlib.h>
#include <string.h>
#include <glib.h>

const char *
note_state_name(note_state_t s)
{
	switch (s) {
	case NOTE_ACCEPTED:
		return "accepted";
	case NOTE_LOADING:
		return "loading";
	case NOTE_SPREADING:
		return "spreading";
	case NOTE_IN_FORCE:
		return "in force";
	case NOTE_SUPERSEDED:
		return "superseded";
	}
	return "accepted";
}

/* Is a copy ready on any worker, by the brokers' newest digests? */
static bool
has_ready_copy(
    const view_t *v, const char *model, const char *adapter, uint64_t version)
{
	const Wire__WorkerLoad *w;
	const Wire__Resident *r;
	size_t d, i, k;

	for (d = 0; d < v->wire->n_digest; d++)
		for (i = 0; i < v->wire->digest[d]->n_worker; i++) {
			w = v->wire->digest[d]->worker[i];
			for (k = 0; k < w->n_resident; k++) {
				r = w->resident[k];
				if (r->state == RESIDENT_READY &&
				    r->version == version &&
				    strcmp(r->model, model) == 0 &&
				    strcmp(r->adapter, adapter) == 0)
					return true;
			}
		}
	return false;
}

static void
count_change(const view_t *v, const catalogue_t *c, const change_t *ch,
    note_status_t *out)
{
	const model_t *m;
	const adapter_t *a;
	bool ready;

	if (ch->is_adapter) {
		if ((a = catalogue_adapter(c, ch->name)) == NULL)
			return;
		ready = has_ready_copy(v, a->model, a->name, a->version);
	} else {
		if ((m = catalogue_model(c, ch->name)) == NULL)
			return;
		ready = has_ready_copy(v, m->name, "", m->version);
	}
	out->wanted++;
	out->ready += ready;
}

/* Count first copies of the items that the note adds or changes. */
static int
count_first_copies(const view_t *v, const catalogue_t *c, const char *text,
    note_status_t *out, err_t *e)
{
	note_t *n = note_parse(text, strlen(text), NULL, e);
	int i;

	if (n == NULL)
		return -1;
	for (i = 0; i < n->nchange; i++)
		if (n->change[i].kind != CHANGE_WITHDRAW)
			count_change(v, c, &n->change[i], out);
	note_free(n);
	return 0;
}

static void
count_instances(
    const view_t *v, const instances_t *l, uint64_t number, note_status_t *out)
{
	const Wire__Member *m;
	size_t i;
	int k;

	for (i = 0; i < v->wire->n_member; i++) {
		m = v->wire->member[i];
		if (m->leaving)
			continue;
		out->of++;
		out->on += m->in_force >= number;
	}
	/* Instances that are listed but unknown to the view count as behind. */
	for (k = 0; k < l->n; k++)
		if (l->item[k].role == ROLE_ENTRY && !l->item[k].leaving &&
		    view_member(v, l->item[k].id) == NULL)
			out->of++;
}

static note_state_t
compute_state(const note_status_t *s, uint64_t head)
{
	if (s->number < head)
		return NOTE_SUPERSEDED;
	if (s->ready < s->wanted)
		return s->ready == 0 && s->on == 0 ? NOTE_ACCEPTED
						   : NOTE_LOADING;
	return s->on < s->of || s->of == 0 ? NOTE_SPREADING : NOTE_IN_FORCE;
}

static catalogue_t *
catalogue_for(platform_t *p, const view_t *v, uint64_t number, err_t *e)
{
	char key[ID_MAX];
	object_t o = { 0 };
	catalogue_t *c;

	if (v->catalogue != NULL && v->catalogue->number == number)
		return catalogue_ref(v->catalogue);
	snprintf(key, sizeof(key), "catalogue/%" PRIu64, number);
	if (platform_get(p, key, &o, e) == -1)
		return NULL;
	c = catalogue_decode(o.value, o.len, e);
	object_clear(&o);
	return c;
}

static const note_text_t *
find_note(const note_list_t *l, uint64_t number)
{
	int i;

	for (i = 0; i < l->n; i++)
		if (l->note[i].number == number)
			return &l->note[i];
	return NULL;
}

int
note_status(platform_t *p, const view_t *v, uint64_t number, note_status_t *out,
    err_t *e)
{
	note_list_t l;
	instances_t inst = { 0 };
	catalogue_t *c = NULL;
	const note_text_t *t;
	int rc = -1;

	memset(out, 0, sizeof(*out));
	if (note_list_read(p, &l, e) == -1)
		return -1;
	if ((t = find_note(&l, number)) == NULL) {
		err_set(e, ERR_NOT_FOUND, "there is no note %" PRIu64, number);
	} else if ((c = catalogue_for(p, v, number, e)) != NULL &&
		   platform_instances(p, &inst, e) == 0) {
		out->number = number;
		str_set(out->id, sizeof(out->id), t->id);
		count_instances(v, &inst, number, out);
		rc = count_first_copies(v, c, t->text, out, e);
		out->state = compute_state(out, l.head);
	}
	if (c != NULL)
		catalogue_unref(c);
	instances_clear(&inst);
	note_list_clear(&l);
	return rc;
}
