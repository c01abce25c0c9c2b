#include "policy/policy.h"

#include <errno.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>
#include <glib.h>

enum {
	COPIES_MAX = 10000,
	MEMORY_MAX_MB = 100 << 20,
	NOTE_MAX_BYTES = 256 * 1024, /* of a note's text */
	/* Names that are answered 410; limits the size of the catalogue. */
	WITHDRAWN_MAX = 4096,
	COPIES_DEFAULT = 1,
};

typedef struct parser {
	note_t *note;
	GArray *change;	      /* change_t */
	GHashTable *sections; /* header -> index in change + 1, -1: invalid */
	GHashTable *keys;     /* "section/key" */
	GString *report;
	bool has_base;
	int line;
} parser_t;

static void __attribute__((format(printf, 2, 3)))
report_error(parser_t *p, const char *fmt, ...)
{
	va_list ap;

	g_string_append_printf(p->report, "%d: ", p->line);
	va_start(ap, fmt);
	g_string_append_vprintf(p->report, fmt, ap);
	va_end(ap);
	g_string_append_c(p->report, '\n');
}

static bool
is_name(const char *v)
{
	size_t n = strlen(v);

	return n > 0 && n < ID_MAX &&
	       strspn(v, G_CSET_a_2_z G_CSET_A_2_Z G_CSET_DIGITS "-_.:") == n;
}

static void
parse_number(parser_t *p, const char *key, const char *v, uint64_t least,
    uint64_t most, uint64_t *out)
{
	size_t len = strlen(v);
	unsigned long long n;

	/*
	 * g_ascii_string_to_unsigned() of GLib 2.74 fails with EAGAIN in a
	 * thread that waits for another one to make the C locale. Digits alone
	 * don't depend on a locale.
	 */
	errno = 0;
	n = strtoull(v, NULL, 10);
	if (len > 0 && strspn(v, "0123456789") == len && errno == 0 &&
	    n >= least && n <= most)
		*out = n;
	else
		report_error(p,
		    "%s = '%s': must be a whole number from %" PRIu64
		    " to %" PRIu64,
		    key, v, least, most);
}

static void
note_key(parser_t *p, const char *key, const char *v)
{
	if (strcmp(key, "id") == 0) {
		if (!is_name(v))
			report_error(p, "id = '%s': not a valid name", v);
		else
			str_set(p->note->id, ID_MAX, v);
	} else if (strcmp(key, "base") == 0) {
		parse_number(p, key, v, 0, INT64_MAX, &p->note->base);
		p->has_base = true;
	} else {
		report_error(p, "unknown key '%s' in [note]", key);
	}
}

/* Parses a header such as "add model NAME". */
static bool
read_section(parser_t *p, const char *section, change_t *c)
{
	static const char *const kinds[] = { "add", "change", "withdraw" };
	char **word = g_strsplit(section, " ", 0);
	bool good = false;
	int i;

	if (g_strv_length(word) == 3 && is_name(word[2]) &&
	    (strcmp(word[1], "model") == 0 ||
		strcmp(word[1], "adapter") == 0)) {
		for (i = 0; i < 3 && !good; i++) {
			if (strcmp(word[0], kinds[i]) != 0)
				continue;
			c->kind = (change_kind_t)i;
			c->is_adapter = word[1][0] == 'a';
			str_set(c->name, ID_MAX, word[2]);
			good = true;
		}
	}
	g_strfreev(word);
	if (!good)
		report_error(p,
		    "unknown section [%s]: must be [note] or "
		    "[add|change|withdraw model|adapter NAME]",
		    section);
	return good;
}

/* @return the section's change, made at its first key; NULL if invalid */
static change_t *
section_change(parser_t *p, const char *section)
{
	gpointer at = g_hash_table_lookup(p->sections, section);
	change_t c = { .line = p->line };

	if (at == NULL) {
		bool good = read_section(p, section, &c);

		if (good) {
			g_array_append_val(p->change, c);
			at = GINT_TO_POINTER((int)p->change->len);
		} else {
			at = GINT_TO_POINTER(-1);
		}
		g_hash_table_insert(p->sections, g_strdup(section), at);
	}
	if (GPOINTER_TO_INT(at) < 0)
		return NULL;
	return &g_array_index(p->change, change_t, GPOINTER_TO_INT(at) - 1);
}

static void
memory_key(parser_t *p, change_t *c, const char *key, const char *v)
{
	uint64_t n = 0;

	parse_number(p, key, v, 1, MEMORY_MAX_MB, &n);
	c->model.memory_mb = c->adapter.memory_mb = n;
	c->fields |= FIELD_MEMORY;
}

static void
version_key(parser_t *p, change_t *c, const char *key, const char *v)
{
	parse_number(p, key, v, 1, INT64_MAX, &c->model.version);
	c->adapter.version = c->model.version;
	c->fields |= FIELD_VERSION;
}

static bool
model_key(parser_t *p, change_t *c, const char *key, const char *v)
{
	uint64_t n = 0;

	if (strcmp(key, "service") == 0) {
		str_set(c->model.service, ID_MAX, v);
		c->fields |= FIELD_SERVICE;
	} else if (strcmp(key, "copies") == 0) {
		parse_number(p, key, v, 1, COPIES_MAX, &n);
		c->model.copies_min = n;
		c->fields |= FIELD_COPIES;
	} else if (strcmp(key, "resumable") == 0) {
		c->model.resumable = strcmp(v, "yes") == 0;
		if (strcmp(v, "yes") != 0 && strcmp(v, "no") != 0)
			report_error(
			    p, "resumable = '%s': must be yes or no", v);
		c->fields |= FIELD_RESUMABLE;
	} else {
		return false;
	}
	return true;
}

static void
change_key(parser_t *p, change_t *c, const char *key, const char *v)
{
	if (c->kind == CHANGE_WITHDRAW) {
		/* A section needs a key to be seen by the INI parser. */
		if (strcmp(key, "reason") != 0)
			report_error(
			    p, "a withdrawal has only the key 'reason'");
	} else if (strcmp(key, "version") == 0) {
		version_key(p, c, key, v);
	} else if (strcmp(key, "memory_mb") == 0) {
		memory_key(p, c, key, v);
	} else if (c->is_adapter && strcmp(key, "model") == 0) {
		str_set(c->adapter.model, ID_MAX, v);
		c->fields |= FIELD_MODEL;
	} else if (c->is_adapter || !model_key(p, c, key, v)) {
		report_error(p, "unknown key '%s' for %s", key,
		    c->is_adapter ? "an adapter" : "a model");
	}
}

static void
on_key(void *user, const char *section, const char *key, const char *value,
    int line)
{
	parser_t *p = user;
	change_t *c;

	p->line = line;
	if (!g_hash_table_add(
		p->keys, g_strdup_printf("%s/%s", section, key))) {
		report_error(p, "'%s' is set twice in [%s]", key, section);
		return;
	}
	if (strcmp(section, "note") == 0) {
		note_key(p, key, value);
		return;
	}
	c = section_change(p, section);
	if (c != NULL)
		change_key(p, c, key, value);
}

static void
check_note(parser_t *p)
{
	p->line = 1;
	if (p->note->id[0] == '\0')
		report_error(p, "[note] needs an id");
	if (!p->has_base)
		report_error(p,
		    "[note] needs base, the number of the catalogue "
		    "that it was written for");
	if (p->change->len == 0)
		report_error(p, "the note changes nothing");
}

/*
 * Reports sections that were not parsed. inih calls back for keys only and cuts
 * long section names, so an empty or misnamed section would go unnoticed.
 */
static void
check_sections(parser_t *p, const char *text, size_t len)
{
	char *copy = g_strndup(text, len);
	char **line = g_strsplit(copy, "\n", -1), *end;
	int i;

	for (i = 0; line[i] != NULL; i++) {
		g_strstrip(line[i]);
		end = strchr(line[i], ']');
		if (line[i][0] != '[' || end == NULL)
			continue;
		*end = '\0';
		if (strcmp(line[i] + 1, "note") == 0 ||
		    g_hash_table_contains(p->sections, line[i] + 1))
			continue;
		p->line = i + 1;
		report_error(p,
		    "[%s] has no key, or its name is too long; a withdrawal "
		    "needs a reason",
		    line[i] + 1);
	}
	g_strfreev(line);
	g_free(copy);
}

/* Passes a report that isn't empty to the caller. @return true: errors */
static bool
finish_report(GString *g, char **report, const char *what, err_t *e)
{
	bool bad = g->len > 0;

	if (report != NULL)
		*report = bad ? strdup(g->str) : NULL;
	g_string_free(g, TRUE);
	if (bad)
		err_set(e, ERR_INVAL, "%s", what);
	return bad;
}

note_t *
note_parse(const char *text, size_t len, char **report, err_t *e)
{
	parser_t p = { .note = g_new0(note_t, 1) };

	p.change = g_array_new(FALSE, TRUE, sizeof(change_t));
	p.sections =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	p.keys = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	p.report = g_string_new(NULL);
	if (len > NOTE_MAX_BYTES || memchr(text, '\0', len) != NULL) {
		p.line = 1;
		report_error(&p, "a note must be text of at most %d bytes",
		    NOTE_MAX_BYTES);
	} else {
		p.line = ini_text(text, len, on_key, &p);
		if (p.line > 0)
			report_error(&p, "not an INI line");
		else
			check_note(&p);
		check_sections(&p, text, len);
	}
	g_hash_table_destroy(p.sections);
	g_hash_table_destroy(p.keys);
	p.note->nchange = (int)p.change->len;
	p.note->change = (change_t *)g_array_free(p.change, FALSE);
	if (finish_report(p.report, report, "the note is invalid", e)) {
		note_free(p.note);
		return NULL;
	}
	return p.note;
}

void
note_free(note_t *n)
{
	if (n == NULL)
		return;
	g_free(n->change);
	g_free(n);
}

/* The catalogue while a note is applied to it. */
typedef struct apply_state {
	GArray *model, *adapter;
	GPtrArray *withdrawn; /* borrowed names */
	GString *report;
	const settings_t *settings;
	int line;
} apply_state_t;

static void __attribute__((format(printf, 2, 3)))
reject_note(apply_state_t *st, const char *fmt, ...)
{
	va_list ap;

	g_string_append_printf(st->report, "%d: ", st->line);
	va_start(ap, fmt);
	g_string_append_vprintf(st->report, fmt, ap);
	va_end(ap);
	g_string_append_c(st->report, '\n');
}

static int
model_index(const apply_state_t *st, const char *name)
{
	guint i;

	for (i = 0; i < st->model->len; i++)
		if (strcmp(g_array_index(st->model, model_t, i).name, name) ==
		    0)
			return (int)i;
	return -1;
}

static int
adapter_index(const apply_state_t *st, const char *name)
{
	guint i;

	for (i = 0; i < st->adapter->len; i++)
		if (strcmp(g_array_index(st->adapter, adapter_t, i).name,
			name) == 0)
			return (int)i;
	return -1;
}

static void
remove_withdrawn(apply_state_t *st, const char *name)
{
	guint i;

	for (i = 0; i < st->withdrawn->len; i++)
		if (strcmp(st->withdrawn->pdata[i], name) == 0)
			g_ptr_array_remove_index(st->withdrawn, i--);
}

static void
check_service(apply_state_t *st, const char *name)
{
	const service_conf_t *s = settings_service(st->settings, name);

	if (s == NULL)
		reject_note(st, "service '%s' is unknown", name);
	else if (s->kind != SERVICE_ENGINE)
		reject_note(st, "service '%s' isn't of kind engine", name);
}

static void
add_entry(apply_state_t *st, const change_t *c)
{
	const uint32_t need = FIELD_VERSION | FIELD_MEMORY |
			      (c->is_adapter ? FIELD_MODEL : FIELD_SERVICE);
	model_t m = c->model;
	adapter_t a = c->adapter;

	if (model_index(st, c->name) != -1 ||
	    adapter_index(st, c->name) != -1) {
		reject_note(st, "'%s' already exists", c->name);
		return;
	}
	if ((c->fields & need) != need) {
		reject_note(st, "'%s' needs %s, version and memory_mb", c->name,
		    c->is_adapter ? "model" : "service");
		return;
	}
	if (c->is_adapter) {
		str_set(a.name, ID_MAX, c->name);
		g_array_append_val(st->adapter, a);
	} else {
		str_set(m.name, ID_MAX, c->name);
		if (m.copies_min == 0)
			m.copies_min = COPIES_DEFAULT;
		check_service(st, m.service);
		g_array_append_val(st->model, m);
	}
	remove_withdrawn(st, c->name);
}

static void
check_version(
    apply_state_t *st, const change_t *c, uint64_t was, bool memory_changes)
{
	bool newer = (c->fields & FIELD_VERSION) && c->model.version > was;

	if ((c->fields & FIELD_VERSION) && c->model.version < was)
		reject_note(
		    st, "'%s' is already at version %" PRIu64, c->name, was);
	/* A version keeps its size, as copies of it may be resident. */
	if (memory_changes && !newer)
		reject_note(st,
		    "'%s': a change of memory_mb needs a higher version",
		    c->name);
}

static void
change_model(apply_state_t *st, const change_t *c, model_t *m)
{
	check_version(st, c, m->version,
	    (c->fields & FIELD_MEMORY) && c->model.memory_mb != m->memory_mb);
	if ((c->fields & FIELD_SERVICE) &&
	    strcmp(c->model.service, m->service) != 0)
		reject_note(st,
		    "'%s' can't change its service; withdraw it and add it "
		    "again",
		    c->name);
	if (c->fields & FIELD_VERSION)
		m->version = c->model.version;
	if (c->fields & FIELD_MEMORY)
		m->memory_mb = c->model.memory_mb;
	if (c->fields & FIELD_COPIES)
		m->copies_min = c->model.copies_min;
	if (c->fields & FIELD_RESUMABLE)
		m->resumable = c->model.resumable;
}

static void
change_adapter(apply_state_t *st, const change_t *c, adapter_t *a)
{
	check_version(st, c, a->version,
	    (c->fields & FIELD_MEMORY) && c->adapter.memory_mb != a->memory_mb);
	if ((c->fields & FIELD_MODEL) &&
	    strcmp(c->adapter.model, a->model) != 0)
		reject_note(st,
		    "'%s' can't change its model; withdraw it and add it again",
		    c->name);
	if (c->fields & FIELD_VERSION)
		a->version = c->adapter.version;
	if (c->fields & FIELD_MEMORY)
		a->memory_mb = c->adapter.memory_mb;
}

static void
apply_change(apply_state_t *st, const change_t *c)
{
	int at = c->is_adapter ? adapter_index(st, c->name)
			       : model_index(st, c->name);

	st->line = c->line;
	if (c->kind == CHANGE_ADD) {
		add_entry(st, c);
		return;
	}
	if (at == -1) {
		reject_note(st, "there is no %s '%s'",
		    c->is_adapter ? "adapter" : "model", c->name);
		return;
	}
	if (c->kind == CHANGE_CHANGE && c->is_adapter) {
		change_adapter(
		    st, c, &g_array_index(st->adapter, adapter_t, at));
	} else if (c->kind == CHANGE_CHANGE) {
		change_model(st, c, &g_array_index(st->model, model_t, at));
	} else {
		g_array_remove_index(
		    c->is_adapter ? st->adapter : st->model, at);
		g_ptr_array_add(st->withdrawn, (void *)c->name);
	}
}

/* Called last, as a note may list an adapter before its model. */
static void
check_adapters(apply_state_t *st, const note_t *n)
{
	guint i;
	int j;

	for (i = 0; i < st->adapter->len; i++) {
		const adapter_t *a = &g_array_index(st->adapter, adapter_t, i);

		if (model_index(st, a->model) != -1)
			continue;
		st->line = 1;
		for (j = 0; j < n->nchange; j++)
			if (strcmp(n->change[j].name, a->name) == 0 ||
			    strcmp(n->change[j].name, a->model) == 0)
				st->line = n->change[j].line;
		reject_note(st,
		    "adapter '%s' would be left without its model '%s'",
		    a->name, a->model);
	}
}

static int
by_name(const void *a, const void *b)
{
	return strcmp(a, b);
}

static catalogue_t *
build_catalogue(apply_state_t *st, const catalogue_t *from, const note_t *n)
{
	catalogue_t *c = catalogue_new();
	guint i;

	c->number = from->number + 1;
	str_set(c->note_id, ID_MAX, n->id);
	c->nmodel = (int)st->model->len;
	c->nadapter = (int)st->adapter->len;
	/*
	 * Too many withdrawn names: the first ones are dropped, and answered
	 * 404 from now on. They are the same wherever the note is applied.
	 */
	if (st->withdrawn->len > WITHDRAWN_MAX)
		g_ptr_array_remove_range(
		    st->withdrawn, 0, st->withdrawn->len - WITHDRAWN_MAX);
	c->nwithdrawn = (int)st->withdrawn->len;
	c->model = calloc(c->nmodel + 1, sizeof(model_t));
	c->adapter = calloc(c->nadapter + 1, sizeof(adapter_t));
	c->withdrawn = calloc(c->nwithdrawn + 1, ID_MAX);
	if (c->model == NULL || c->adapter == NULL || c->withdrawn == NULL) {
		catalogue_unref(c);
		return NULL;
	}
	for (i = 0; i < st->model->len; i++)
		c->model[i] = g_array_index(st->model, model_t, i);
	for (i = 0; i < st->adapter->len; i++)
		c->adapter[i] = g_array_index(st->adapter, adapter_t, i);
	for (i = 0; i < st->withdrawn->len; i++)
		str_set(c->withdrawn[i], ID_MAX, st->withdrawn->pdata[i]);
	qsort(c->model, c->nmodel, sizeof(model_t), by_name);
	qsort(c->adapter, c->nadapter, sizeof(adapter_t), by_name);
	qsort(c->withdrawn, c->nwithdrawn, ID_MAX, by_name);
	return c;
}

catalogue_t *
note_apply(const catalogue_t *from, const note_t *n, const settings_t *s,
    char **report, err_t *e)
{
	apply_state_t st = { .settings = s, .line = 1 };
	catalogue_t *c = NULL;
	int i;

	st.model = g_array_new(FALSE, FALSE, sizeof(model_t));
	st.adapter = g_array_new(FALSE, FALSE, sizeof(adapter_t));
	st.withdrawn = g_ptr_array_new();
	st.report = g_string_new(NULL);
	if (from->nmodel > 0)
		g_array_append_vals(st.model, from->model, from->nmodel);
	if (from->nadapter > 0)
		g_array_append_vals(st.adapter, from->adapter, from->nadapter);
	for (i = 0; i < from->nwithdrawn; i++)
		g_ptr_array_add(st.withdrawn, from->withdrawn[i]);
	if (n->base != from->number)
		reject_note(&st,
		    "base is %" PRIu64 ", but catalogue %" PRIu64
		    " (note '%s') is in force",
		    n->base, from->number, from->note_id);
	for (i = 0; i < n->nchange; i++)
		apply_change(&st, &n->change[i]);
	check_adapters(&st, n);
	if (!finish_report(st.report, report, "the note can't be applied", e)) {
		c = build_catalogue(&st, from, n);
		if (c == NULL)
			err_set(e, ERR_INTERNAL, "out of memory");
	}
	g_array_free(st.model, TRUE);
	g_array_free(st.adapter, TRUE);
	g_ptr_array_free(st.withdrawn, TRUE);
	return c;
}
