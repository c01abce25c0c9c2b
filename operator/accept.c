#include "operator/operator.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>
#include <glib.h>

/*
 * A note is accepted when note/head names it. note/<n> is written first. It is
 * only created, never changed or deleted, so the text of a number is fixed.
 * catalogue/<n> and the head are computed from that text, so any acceptor that
 * finds a note/<n> one above the head can complete it. This recovers from a
 * crash between the steps.
 */
enum {
	ACCEPT_TRIES = 6,
	RETRY_MS = 40,
	CATALOGUE_MAX = 1000000, /* bytes; the platform's limit is 1 MB */
};

typedef struct accept {
	platform_t *p;
	const settings_t *s;
	const char *text;
	size_t len;
	const char *who;
	note_t *note;
	GString *report;
	bool may_have_written; /* a write may have taken effect */
} accept_t;

static void
note_text_clear(note_text_t *t)
{
	free(t->text);
	t->text = NULL;
}

void
note_list_clear(note_list_t *l)
{
	int i;

	for (i = 0; i < l->n; i++)
		note_text_clear(&l->note[i]);
	free(l->note);
	note_text_clear(&l->next);
	memset(l, 0, sizeof(*l));
}

static int
note_text_decode(const object_t *o, note_text_t *t, err_t *e)
{
	const char *id, *who, *text;
	json_int_t number, at;
	json_error_t je;
	json_t *j = json_loadb(o->value, o->len, 0, &je);

	memset(t, 0, sizeof(*t));
	if (j == NULL ||
	    json_unpack(j, "{s:I,s:s,s:s,s:I,s:s}", "number", &number, "id",
		&id, "who", &who, "at", &at, "text", &text) == -1) {
		json_decref(j);
		return err_set(e, ERR_PROTO, "%s is malformed", o->key);
	}
	t->number = (uint64_t)number;
	t->at = at;
	str_set(t->id, sizeof(t->id), id);
	str_set(t->who, sizeof(t->who), who);
	t->text = strdup(text);
	json_decref(j);
	return 0;
}

static int
head_decode(const object_t *o, note_list_t *l, err_t *e)
{
	json_error_t je;
	json_int_t number;
	const char *id;
	json_t *j = json_loadb(o->value, o->len, 0, &je);

	if (j == NULL ||
	    json_unpack(j, "{s:I,s:s}", "number", &number, "id", &id) == -1) {
		json_decref(j);
		return err_set(e, ERR_PROTO, "note/head is malformed");
	}
	l->head = (uint64_t)number;
	l->head_version = o->version;
	str_set(l->head_id, sizeof(l->head_id), id);
	json_decref(j);
	return 0;
}

static int
compare_number(const void *a, const void *b)
{
	const note_text_t *x = a, *y = b;

	return x->number < y->number ? -1 : x->number > y->number;
}

/* A note above the head isn't accepted. Only the next number can exist. */
static void
split_unaccepted(note_list_t *l)
{
	qsort(l->note, l->n, sizeof(*l->note), compare_number);
	while (l->n > 0 && l->note[l->n - 1].number > l->head) {
		note_text_clear(&l->next);
		l->next = l->note[--l->n];
	}
}

int
note_list_read(platform_t *p, note_list_t *out, err_t *e)
{
	objects_t all = { 0 };
	int i, rc = 0;

	memset(out, 0, sizeof(*out));
	if (platform_list(p, "note/", &all, e) == -1)
		return -1;
	out->note = calloc(all.n + 1, sizeof(*out->note));
	for (i = 0; i < all.n && rc == 0; i++) {
		if (strcmp(all.item[i].key, "note/head") == 0)
			rc = head_decode(&all.item[i], out, e);
		else
			rc = note_text_decode(
			    &all.item[i], &out->note[out->n], e);
		if (rc == 0 && strcmp(all.item[i].key, "note/head") != 0)
			out->n++;
	}
	objects_clear(&all);
	if (rc == -1)
		note_list_clear(out);
	else
		split_unaccepted(out);
	return rc;
}

static catalogue_t *
catalogue_read(platform_t *p, uint64_t number, err_t *e)
{
	char key[ID_MAX];
	object_t o = { 0 };
	catalogue_t *c;

	if (number == 0)
		return catalogue_new();
	snprintf(key, sizeof(key), "catalogue/%" PRIu64, number);
	if (platform_get(p, key, &o, e) == -1)
		return NULL;
	c = catalogue_decode(o.value, o.len, e);
	object_clear(&o);
	return c;
}

static void
add_models(GArray *items, const catalogue_t *c, uint32_t copies_max)
{
	place_item_t it;
	int i;

	for (i = 0; i < c->nmodel; i++) {
		const model_t *m = &c->model[i];

		memset(&it, 0, sizeof(it));
		str_set(it.name, sizeof(it.name), m->name);
		str_set(it.service, sizeof(it.service), m->service);
		it.version = m->version;
		it.memory_mb = m->memory_mb;
		it.copies_min =
		    m->copies_min < copies_max ? m->copies_min : copies_max;
		it.base = -1;
		it.wanted = true;
		g_array_append_val(items, it);
	}
}

/* Add the adapters of @p c, whose models start at index @p first. */
static void
add_adapters(GArray *items, const catalogue_t *c, int first)
{
	const model_t *m;
	place_item_t it;
	int i;

	for (i = 0; i < c->nadapter; i++) {
		const adapter_t *a = &c->adapter[i];

		if ((m = catalogue_model(c, a->model)) == NULL)
			continue;
		memset(&it, 0, sizeof(it));
		str_set(it.name, sizeof(it.name), a->name);
		str_set(it.service, sizeof(it.service), m->service);
		it.version = a->version;
		it.memory_mb = a->memory_mb;
		it.copies_min = 1;
		it.base = first + (int)(m - c->model);
		it.wanted = true;
		g_array_append_val(items, it);
	}
}

static bool
same_model(const model_t *a, const model_t *b)
{
	return a != NULL && strcmp(a->service, b->service) == 0 &&
	       a->version == b->version && a->memory_mb == b->memory_mb;
}

/* Add the models of @p to that aren't in @p from in the same version. */
static void
add_new_models(GArray *items, const catalogue_t *from, const catalogue_t *to)
{
	catalogue_t one = { 0 };
	int i;

	for (i = 0; i < to->nmodel; i++) {
		if (same_model(catalogue_model(from, to->model[i].name),
			&to->model[i]))
			continue;
		one.model = &to->model[i];
		one.nmodel = 1;
		add_models(items, &one, 1);
	}
}

static GArray *
workers_of(const instances_t *l)
{
	GArray *w = g_array_new(FALSE, TRUE, sizeof(place_worker_t));
	place_worker_t pw;
	int i;

	for (i = 0; i < l->n; i++) {
		if (l->item[i].role != ROLE_WORKER)
			continue;
		memset(&pw, 0, sizeof(pw));
		str_set(pw.id, sizeof(pw.id), l->item[i].id);
		str_set(pw.service, sizeof(pw.service), l->item[i].service);
		str_set(pw.domain, sizeof(pw.domain), l->item[i].domain);
		pw.memory_mb = l->item[i].memory_mb;
		pw.slots = l->item[i].slots;
		pw.usable = !l->item[i].leaving;
		g_array_append_val(w, pw);
	}
	return w;
}

static bool
step_fits(
    const char *step, const instances_t *l, GArray *items, GString *report)
{
	GArray *w = workers_of(l);
	uint8_t *state = calloc((size_t)w->len * items->len + 1, 1);
	place_input_t in = { .worker = (place_worker_t *)w->data,
		.nworker = (int)w->len,
		.item = (place_item_t *)items->data,
		.nitem = (int)items->len,
		.state = state };
	char *why = NULL, **line;
	bool fits = place_fits(&in, &why);
	int i;

	line = g_strsplit(why == NULL ? "" : why, "\n", -1);
	for (i = 0; !fits && line[i] != NULL; i++)
		if (line[i][0] != '\0')
			g_string_append_printf(
			    report, "%s: %s\n", step, line[i]);
	g_strfreev(line);
	free(why);
	free(state);
	g_array_free(w, TRUE);
	return fits;
}

/*
 * No state during the change needs more memory than these two: one copy of
 * every old model and adapter plus the first copies of the new ones, and the
 * new catalogue with all its copies.
 */
static bool
fits(accept_t *a, const catalogue_t *from, const catalogue_t *to,
    const instances_t *l)
{
	GArray *during = g_array_new(FALSE, TRUE, sizeof(place_item_t));
	GArray *after = g_array_new(FALSE, TRUE, sizeof(place_item_t));
	bool fit;

	add_models(during, from, 1);
	add_adapters(during, from, 0);
	add_new_models(during, from, to);
	add_models(after, to, UINT32_MAX);
	add_adapters(after, to, 0);
	fit = step_fits("while it is applied", l, during, a->report);
	fit = step_fits("once applied", l, after, a->report) && fit;
	g_array_free(during, TRUE);
	g_array_free(after, TRUE);
	return fit;
}

/* @return the head's catalogue with the note applied, or NULL. */
static catalogue_t *
check_against(accept_t *a, const note_list_t *l, err_t *e)
{
	instances_t inst = { 0 };
	catalogue_t *from, *to = NULL;
	char *why = NULL;

	if ((from = catalogue_read(a->p, l->head, e)) == NULL)
		return NULL;
	to = note_apply(from, a->note, a->s, &why, e);
	if (why != NULL)
		g_string_append(a->report, why);
	free(why);
	if (to != NULL && platform_instances(a->p, &inst, e) == -1) {
		catalogue_unref(to);
		to = NULL;
	} else if (to != NULL && !fits(a, from, to, &inst)) {
		catalogue_unref(to);
		to = NULL;
		err_set(e, ERR_INVAL, "the note doesn't fit in memory");
	}
	instances_clear(&inst);
	catalogue_unref(from);
	return to;
}

static const note_text_t *
find_id(const note_list_t *l, const char *id)
{
	int i;

	for (i = 0; i < l->n; i++)
		if (strcmp(l->note[i].id, id) == 0)
			return &l->note[i];
	return NULL;
}

static bool
same_text(const accept_t *a, const note_text_t *t)
{
	return strcmp(t->id, a->note->id) == 0 && strlen(t->text) == a->len &&
	       memcmp(t->text, a->text, a->len) == 0;
}

static const note_text_t *
find_number(const note_list_t *l, uint64_t number)
{
	int i;

	for (i = 0; i < l->n; i++)
		if (l->note[i].number == number)
			return &l->note[i];
	return NULL;
}

static void
report_conflict(accept_t *a, const note_list_t *l, err_t *e)
{
	const note_text_t *won = find_number(l, a->note->base + 1);

	if (won != NULL)
		g_string_append_printf(a->report,
		    "note %" PRIu64 " '%s' by %s was accepted on base %" PRIu64
		    " before this one\n",
		    won->number, won->id, won->who, a->note->base);
	g_string_append_printf(a->report,
	    "the head is %" PRIu64 " '%s'; write the note against it\n",
	    l->head, l->head_id);
	err_set(e, ERR_CONFLICT, "base %" PRIu64 " isn't the head %" PRIu64,
	    a->note->base, l->head);
}

/*
 * Check whether the note was already accepted or has lost to another one.
 * @return 1: accepted as @p number; 0: neither; -1: lost or refused.
 */
static int
check_settled(accept_t *a, const note_list_t *l, uint64_t *number, err_t *e)
{
	const note_text_t *t = find_id(l, a->note->id);

	if (t != NULL && same_text(a, t)) {
		*number = t->number;
		return 1;
	}
	if (t != NULL) {
		g_string_append_printf(a->report,
		    "id '%s' was accepted as note %" PRIu64
		    " with another text\n",
		    t->id, t->number);
		return err_set(e, ERR_CONFLICT, "id '%s' is taken", t->id);
	}
	if (a->note->base != l->head) {
		report_conflict(a, l, e);
		return -1;
	}
	return 0;
}

/* Create an object; success also if it exists already. */
static int
create_object(accept_t *a, const char *key, const char *value, err_t *e)
{
	uint64_t version;

	if (platform_put(a->p, key, value, strlen(value), 0, &version, e) == 0)
		return 0;
	return e->code == ERR_CONFLICT ? 0 : -1;
}

static int
move_head(
    accept_t *a, const note_list_t *l, uint64_t n, const char *id, err_t *e)
{
	uint64_t version;
	json_t *j = json_pack("{s:I,s:s}", "number", (json_int_t)n, "id", id);
	char *text = json_dumps(j, JSON_COMPACT);
	int rc = platform_put(a->p, "note/head", text, strlen(text),
	    l->head_version, &version, e);

	free(text);
	json_decref(j);
	return rc;
}

/* Complete the acceptance of note/<head + 1>, whoever wrote it. */
static int
finish_note(accept_t *a, const note_list_t *l, const note_text_t *t, err_t *e)
{
	catalogue_t *from = NULL, *to = NULL;
	note_t *n = note_parse(t->text, strlen(t->text), NULL, e);
	char key[ID_MAX], *json = NULL;
	int rc = -1;

	if (n != NULL && (from = catalogue_read(a->p, l->head, e)) != NULL)
		to = note_apply(from, n, a->s, NULL, e);
	if (to != NULL) {
		json = catalogue_encode(to);
		snprintf(key, sizeof(key), "catalogue/%" PRIu64, t->number);
		rc = create_object(a, key, json, e);
	}
	if (rc == 0)
		rc = move_head(a, l, t->number, t->id, e);
	free(json);
	if (to != NULL)
		catalogue_unref(to);
	if (from != NULL)
		catalogue_unref(from);
	if (n != NULL)
		note_free(n);
	return rc;
}

static int
write_note(accept_t *a, uint64_t number, err_t *e)
{
	json_t *j = json_pack("{s:I,s:s,s:s,s:I,s:s%}", "number",
	    (json_int_t)number, "id", a->note->id, "who", a->who, "at",
	    (json_int_t)clock_wall(), "text", a->text, a->len);
	char key[ID_MAX],
	    *text = j == NULL ? NULL : json_dumps(j, JSON_COMPACT);
	int rc;

	if (text == NULL)
		return err_set(e, ERR_INVAL, "the note isn't UTF-8 text");
	snprintf(key, sizeof(key), "note/%" PRIu64, number);
	rc = create_object(a, key, text, e);
	/* DOWN and FULL mean no effect; after other errors it is unknown. */
	if (rc == 0 || (e->code != ERR_DOWN && e->code != ERR_FULL))
		a->may_have_written = true;
	free(text);
	json_decref(j);
	return rc;
}

static bool
catalogue_within_limit(accept_t *a, const catalogue_t *c, err_t *e)
{
	char *json = catalogue_encode(c);
	bool within = strlen(json) <= CATALOGUE_MAX;

	free(json);
	if (within)
		return true;
	g_string_append_printf(
	    a->report, "the catalogue would be over %d bytes\n", CATALOGUE_MAX);
	err_set(e, ERR_INVAL, "the catalogue would be too large");
	return false;
}

/* One attempt. @return as check_settled(). */
static int
attempt(accept_t *a, uint64_t *number, err_t *e)
{
	note_list_t l;
	catalogue_t *to;
	int rc;

	if (note_list_read(a->p, &l, e) == -1)
		return -1;
	rc = check_settled(a, &l, number, e);
	if (rc == 0 && l.next.number == l.head + 1) {
		/* Left by a crash or written by a concurrent acceptor:
		 * complete it first. */
		a->may_have_written =
		    a->may_have_written || same_text(a, &l.next);
		if ((rc = finish_note(a, &l, &l.next, e)) == -1 &&
		    e->code == ERR_CONFLICT)
			rc = 0;
	} else if (rc == 0) {
		to = check_against(a, &l, e);
		rc = to != NULL && catalogue_within_limit(a, to, e) ? 0 : -1;
		if (to != NULL)
			catalogue_unref(to);
		if (rc == 0)
			rc = write_note(a, l.head + 1, e);
	}
	note_list_clear(&l);
	return rc;
}

static bool
is_retryable(err_code_t c)
{
	return c == ERR_UNKNOWN || c == ERR_DOWN || c == ERR_FULL;
}

static uint64_t
accept_with_retries(accept_t *a, err_t *e)
{
	backoff_t b = { .initial = RETRY_MS, .max = 8 * RETRY_MS };
	rng_t rng = { .s = hash_str(a->note->id, (uint64_t)clock_wall()) };
	uint64_t number = 0;
	int i, rc;

	for (i = 0; i < ACCEPT_TRIES; i++) {
		rc = attempt(a, &number, e);
		if (rc == 1)
			return number;
		/* Once written, only a conflict proves that it was rejected. */
		if (rc == -1 && (a->may_have_written ? e->code == ERR_CONFLICT
						     : !is_retryable(e->code)))
			return 0;
		if (rc == -1)
			clock_sleep(backoff_next(&b, &rng));
	}
	if (a->may_have_written)
		err_set(e, ERR_UNKNOWN,
		    "the platform didn't answer; run the same apply again");
	else if (e->code != ERR_DOWN && e->code != ERR_FULL)
		err_set(e, ERR_DOWN,
		    "the platform gave no definite answer; "
		    "the note was not accepted");
	return 0;
}

static int
accept_begin(accept_t *a, char **report, err_t *e)
{
	char *why = NULL;

	a->report = g_string_new(NULL);
	if (a->len > NOTE_MAX) {
		g_string_append_printf(
		    a->report, "the note is over %d bytes\n", NOTE_MAX);
		err_set(e, ERR_INVAL, "the note is too large");
	} else {
		a->note = note_parse(a->text, a->len, &why, e);
	}
	if (why != NULL)
		g_string_append(a->report, why);
	free(why);
	*report = NULL;
	return a->note == NULL ? -1 : 0;
}

static void
accept_end(accept_t *a, char **report)
{
	if (a->report->len > 0)
		*report = strdup(a->report->str);
	g_string_free(a->report, TRUE);
	if (a->note != NULL)
		note_free(a->note);
}

uint64_t
note_accept(platform_t *p, const settings_t *s, const char *text, size_t len,
    const char *who, char **report, err_t *e)
{
	accept_t a = { .p = p, .s = s, .text = text, .len = len, .who = who };
	uint64_t number = 0;

	if (accept_begin(&a, report, e) == 0)
		number = accept_with_retries(&a, e);
	accept_end(&a, report);
	return number;
}

int
note_check(platform_t *p, const settings_t *s, const char *text, size_t len,
    char **report, err_t *e)
{
	accept_t a = { .p = p, .s = s, .text = text, .len = len, .who = "" };
	note_list_t l = { 0 };
	catalogue_t *to = NULL;
	uint64_t number;
	int rc = accept_begin(&a, report, e);

	if (rc == 0)
		rc = note_list_read(p, &l, e);
	if (rc == 0)
		rc = check_settled(&a, &l, &number, e);
	if (rc == 0) {
		to = check_against(&a, &l, e);
		rc = to != NULL && catalogue_within_limit(&a, to, e) ? 0 : -1;
	}
	if (to != NULL)
		catalogue_unref(to);
	note_list_clear(&l);
	accept_end(&a, report);
	return rc == -1 ? -1 : 0;
}
