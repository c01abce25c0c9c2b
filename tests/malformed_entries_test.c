/*
 * Another writer may leave entries among those of the endpoints. Whatever makes
 * one unreadable, no other is hidden: in lists, in watches and over pages. A
 * seed drives each run.
 */
#include "platform/platform.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>
#include <syslog.h>

enum {
	RUNS = 300,
	ENTRIES_MAX = 30,
	DEEP_MAX = 6000, /* far beyond what the decoder takes */
	AS_OF = 77,
};

typedef struct made {
	char *name; /* JSON text is the same, in quotes */
	char *text; /* of the object */
	bool sound, deleted;
} made_t;

static void
free_made(gpointer p)
{
	made_t *m = p;

	g_free(m->name);
	g_free(m->text);
	g_free(m);
}

static char *
nested(int depth)
{
	GString *t = g_string_new("{\"models\":");
	int i;

	for (i = 0; i < depth; i++)
		g_string_append(t, i % 2 ? "[" : "{\"a]\\\"}\":");
	g_string_append_c(t, '1');
	for (i = depth; i-- > 0;)
		g_string_append_c(t, i % 2 ? ']' : '}');
	g_string_append_c(t, '}');
	return g_string_free(t, FALSE);
}

/* @return a sound entry, with the value of @p key replaced */
static char *
spec_with(const char *key, const char *value)
{
	static const char *const keys[] = { "service", "address", "zone",
		"slots", "state", "seq", "born", "cold_left_ms", "models" };
	static const char *const values[] = { "\"app\"", "\"127.0.0.1:80\"",
		"\"north\"", "8", "\"ready\"", "3", "1700000000000", "0",
		"[{\"name\":\"m\",\"adapters\":[\"a1\"]}]" };
	GString *t = g_string_new("{");
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(keys); i++)
		g_string_append_printf(t, "%s\"%s\":%s", i > 0 ? "," : "",
		    keys[i], strcmp(keys[i], key) == 0 ? value : values[i]);
	g_string_append_c(t, '}');
	return g_string_free(t, FALSE);
}

/* @return the spec of an entry that names no endpoint */
static char *
malformed_spec(GRand *g)
{
	/* In any of the required fields. */
	static const char *const anywhere[] = { "99999999999999999999999",
		"-99999999999999999999999", "1e999", "-1e999", "1e300",
		"\"\\u0000\\u0008x\\u0000\"", "\"\\ud800\"", "\"\xff\xfe\"",
		"\"\xc3\"", "{\"\\u0000\":1}", "null", "true", "[]", "{}",
		"\"\"", "-1", "0", "9223372036854775807" };
	static const char *const required[] = { "service", "address", "zone",
		"slots", "state" };
	static const char *const addresses[] = { "\"127.0.0.1:99999\"",
		"\"127.0.0.1:0\"", "\"[]:\\\"{\"", "\"localhost\"" };

	switch (g_rand_int_range(g, 0, 4)) {
	case 0:
		return nested(g_rand_int_range(g, 1, DEEP_MAX));
	case 1:
		return spec_with("address",
		    addresses[g_rand_int_range(g, 0, G_N_ELEMENTS(addresses))]);
	default:
		return spec_with(
		    required[g_rand_int_range(g, 0, G_N_ELEMENTS(required))],
		    anywhere[g_rand_int_range(g, 0, G_N_ELEMENTS(anywhere))]);
	}
}

static char *
entry_name(GRand *g, int n, bool sound)
{
	static const char *const more[] = { "", " of another", "/x?after=&",
		"\xc3\xa9", "%20", "+", "" };
	char *longer = g_strnfill(ID_MAX + (gsize)n, 'n');
	char *name = g_strdup_printf("e%04d%s", n,
	    !sound && g_rand_int_range(g, 0, 6) == 0
		? longer
		: more[g_rand_int_range(g, 0, G_N_ELEMENTS(more))]);

	g_free(longer);
	return name;
}

static made_t *
make_entry(GRand *g, int n)
{
	made_t *m = g_new0(made_t, 1);
	char *spec;

	m->sound = g_rand_boolean(g);
	m->deleted = g_rand_int_range(g, 0, 5) == 0;
	m->name = entry_name(g, n, m->sound);
	spec = m->sound ? spec_with("", "") : malformed_spec(g);
	m->text =
	    g_strdup_printf("{\"metadata\":{\"name\":\"%s\",\"revision\":%d,"
			    "\"finalizers\":[],\"deleting\":false},\"spec\":%s,"
			    "\"status\":null}",
		m->name, n + 1, spec);
	g_free(spec);
	return m;
}

static GPtrArray *
make_entries(GRand *g)
{
	GPtrArray *a = g_ptr_array_new_with_free_func(free_made);
	int i, n = g_rand_int_range(g, 1, ENTRIES_MAX);

	for (i = 0; i < n; i++)
		g_ptr_array_add(a, make_entry(g, i));
	return a;
}

static bool
names_endpoint(const object_t *o)
{
	endpoint_entry_t en;
	err_t e;

	return entry_decode(&en, o->name, o->spec, &e) == 0;
}

/* @return how many sound entries an answer that was decoded has */
static guint
check_objects(const GPtrArray *made, const objects_t *o, bool events)
{
	guint found = 0;
	int k;

	for (k = 0; k < o->nobject; k++) {
		/* Names begin with the number of the entry. */
		int n = atoi(o->object[k].name + 1);
		const made_t *m = made->pdata[n];

		g_assert_cmpstr(o->object[k].name, ==, m->name);
		g_assert_cmpint(o->object[k].revision, ==, n + 1);
		g_assert_cmpint(o->object[k].deleted, ==, events && m->deleted);
		g_assert_cmpint(names_endpoint(&o->object[k]), ==, m->sound);
		found += m->sound;
	}
	return found;
}

static char *
answer_text(const GPtrArray *made, guint from, guint to, bool events)
{
	GString *t = g_string_new(events ? "{ \"events\" : [" : "{\"items\":[");
	guint i;

	for (i = from; i < to; i++) {
		const made_t *m = made->pdata[i];

		if (i > from)
			g_string_append(t, " ,\n");
		if (events)
			g_string_append_printf(t,
			    "{\"object\":%s,\"tombstone\":%s}", m->text,
			    m->deleted ? "true" : "false");
		else
			g_string_append(t, m->text);
	}
	g_string_append_printf(t, "],\"has_more\":%s,\"as_of\":%d}",
	    to < made->len ? "true" : "false", AS_OF);
	return g_string_free(t, FALSE);
}

static void
decode(objects_t *o, const GPtrArray *made, guint from, guint to, bool events)
{
	char *text = answer_text(made, from, to, events);
	err_t e;

	g_assert_cmpint(objects_decode(o, text, strlen(text), &e), ==, 0);
	g_assert_cmpint(o->as_of, ==, AS_OF);
	g_assert_cmpint(o->more, ==, to < made->len);
	g_free(text);
}

static guint
sound_entries(const GPtrArray *made)
{
	guint i, n = 0;

	for (i = 0; i < made->len; i++)
		n += ((made_t *)made->pdata[i])->sound;
	return n;
}

static void
check_whole(const GPtrArray *made, bool events)
{
	objects_t o;

	decode(&o, made, 0, made->len, events);
	g_assert_cmpuint(
	    check_objects(made, &o, events), ==, sound_entries(made));
	objects_free(&o);
}

/* Follow the pages of a list by the names after which it goes on. */
static void
check_pages(const GPtrArray *made, guint size)
{
	guint from, to, found = 0;

	for (from = 0; from < made->len; from = to) {
		const made_t *last;
		objects_t o;
		char *after;

		to = MIN(from + size, made->len);
		last = made->pdata[to - 1];
		decode(&o, made, from, to, false);
		found += check_objects(made, &o, false);
		after = g_uri_unescape_string(o.after, NULL);
		g_assert_cmpstr(after, ==, last->name);
		g_assert_null(strpbrk(o.after, " /?&+#"));
		g_free(after);
		objects_free(&o);
	}
	g_assert_cmpuint(found, ==, sound_entries(made));
}

static void
no_entry_hides_another(void)
{
	guint32 seed;

	for (seed = 1; seed <= RUNS; seed++) {
		GRand *g = g_rand_new_with_seed(seed);
		GPtrArray *made = make_entries(g);

		check_whole(made, false);
		check_whole(made, true);
		check_pages(made, (guint)g_rand_int_range(g, 1, 8));
		g_ptr_array_free(made, TRUE);
		g_rand_free(g);
	}
}

/* Guards against reading beyond a text that ends anywhere. */
static void
cut_text_is_an_error_or_bounded(void)
{
	GRand *g = g_rand_new_with_seed(1);
	GPtrArray *made = make_entries(g);
	char *text = answer_text(made, 0, made->len, true);
	size_t n, len = strlen(text);

	for (n = 1; n < len; n += 1 + n / 200) {
		char *part = g_memdup2(text, n);
		objects_t o;
		err_t e;

		objects_decode(&o, part, n, &e);
		objects_free(&o);
		g_free(part);
	}
	g_free(text);
	g_ptr_array_free(made, TRUE);
	g_rand_free(g);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	log_level(LOG_CRIT);
	g_test_add_func("/malformed-entries/no-entry-hides-another",
	    no_entry_hides_another);
	g_test_add_func("/malformed-entries/cut-text-is-an-error-or-bounded",
	    cut_text_is_an_error_or_bounded);
	return g_test_run();
}
