/*
 * Parsing release notes and applying them to a catalogue: a note with errors
 * changes nothing, and each error is reported with its line.
 */
#include "policy/policy.h"

#include <stdlib.h>
#include <string.h>
#include <glib.h>

static settings_t settings;

static const char first_note[] = "[note]\nid = one\nbase = 0\n"
				 "[add adapter a1]\nmodel = m1\nversion = 1\n"
				 "memory_mb = 100\n"
				 "[add model m1]\nservice = llm\nversion = 1\n"
				 "memory_mb = 8000\n"
				 "[add model m2]\nservice = llm\nversion = 7\n"
				 "memory_mb = 9000\ncopies = 2\n"
				 "resumable = yes\n";

static catalogue_t *
apply(const catalogue_t *from, const char *text, char **report)
{
	note_t *n = note_parse(text, strlen(text), report, NULL);
	catalogue_t *c = NULL;

	if (n != NULL)
		c = note_apply(from, n, &settings, report, NULL);
	note_free(n);
	return c;
}

static catalogue_t *
first_catalogue(void)
{
	catalogue_t *none = catalogue_new(), *c;
	char *report;

	c = apply(none, first_note, &report);
	g_assert_cmpstr(report, ==, NULL);
	catalogue_unref(none);
	return c;
}

static void
notes_change_the_catalogue(void)
{
	catalogue_t *one = first_catalogue(), *two, *again;
	char *report, *json;
	const char *text = "[note]\nid = two\nbase = 1\n"
			   "[change model m1]\nversion = 2\nmemory_mb = 8100\n"
			   "[withdraw model m2]\nreason = old\n";

	g_assert_cmpint(one->nmodel, ==, 2);
	g_assert_true(catalogue_model(one, "m2")->resumable);
	g_assert_cmpint(catalogue_model(one, "m2")->copies_min, ==, 2);
	g_assert_cmpstr(catalogue_adapter(one, "a1")->model, ==, "m1");
	two = apply(one, text, &report);
	g_assert_cmpstr(report, ==, NULL);
	g_assert_cmpuint(two->number, ==, 2);
	g_assert_cmpuint(catalogue_model(two, "m1")->version, ==, 2);
	g_assert_null(catalogue_model(two, "m2"));
	g_assert_true(catalogue_withdrawn(two, "m2"));
	g_assert_false(catalogue_withdrawn(two, "m1"));
	json = catalogue_encode(two);
	again = catalogue_decode(json, strlen(json), NULL);
	g_assert_nonnull(again);
	g_assert_cmpstr(again->note_id, ==, "two");
	g_assert_cmpuint(catalogue_model(again, "m1")->memory_mb, ==, 8100);
	g_assert_true(catalogue_withdrawn(again, "m2"));
	free(json);
	catalogue_unref(one);
	catalogue_unref(two);
	catalogue_unref(again);
}

static void
errors_have_line_numbers(void)
{
	static const struct {
		const char *text, *report;
	} rows[] = {
		{ "", "1: [note] needs an id\n1: [note] needs base, the number "
		      "of the catalogue that it was written for\n1: the "
		      "note changes nothing\n" },
		{ "[note]\nid = x\nbase = 1\n[add model m1]\nservice = llm\n"
		  "version = 1\nmemory_mb = 1\n[withdraw model m9]\n"
		  "reason = r\n",
		    "5: 'm1' already exists\n9: there is no model 'm9'\n" },
		{ "[note]\nid = x\nbase = 0\n[withdraw model m2]\nreason = r\n",
		    "1: base is 0, but catalogue 1 (note 'one') is in "
		    "force\n" },
		{ "[note]\nid = x\nbase = 1\n[withdraw model m1]\nreason = r\n",
		    "5: adapter 'a1' would be left without its model 'm1'\n" },
		{ "[note]\nid = x\nbase = 1\n[change model m2]\n"
		  "memory_mb = 1\n[change model m1]\nversion = 0\n",
		    "7: version = '0': must be a whole number from 1 to "
		    "9223372036854775807\n" },
		{ "[note]\nid = x\nbase = 1\n[change model m2]\n"
		  "memory_mb = 1\n",
		    "5: 'm2': a change of memory_mb needs a higher version\n" },
		{ "[note]\nid = x\nbase = 1\n[change model m2]\nversion = 6\n",
		    "5: 'm2' is already at version 7\n" },
		{ "[note]\nid = x\nbase = 1\n[add model m3]\nservice = web\n"
		  "version = 1\nmemory_mb = 1\n[add model m4]\n"
		  "service = none\nversion = 1\nmemory_mb = 1\n",
		    "5: service 'web' isn't of kind engine\n"
		    "9: service 'none' is unknown\n" },
		{ "[note]\nid = x\nbase = 1\n[remove model m1]\nreason = r\n",
		    "5: unknown section [remove model m1]: must be [note] or "
		    "[add|change|withdraw model|adapter NAME]\n"
		    "1: the note changes nothing\n" },
		{ "[note]\nid = x\nbase = 1\n[withdraw adapter a1]\n\n"
		  "[change model m2]\nversion = 8\n",
		    "4: [withdraw adapter a1] has no key, or its name is too "
		    "long; a withdrawal needs a reason\n" },
		{ "[note]\nid = x\nbase = 1\n[add model "
		  "m23456789-123456789-123456789-123456789-123456789]\n"
		  "service = llm\nversion = 1\nmemory_mb = 1\n",
		    "4: [add model m23456789-123456789-123456789-123456789-"
		    "123456789] has no key, or its name is too long; a "
		    "withdrawal needs a reason\n" },
		{ "[note]\nid = x\nid = y\nbase = 1\n[withdraw model m2]\n"
		  "reason = r\n",
		    "3: 'id' is set twice in [note]\n" },
	};
	catalogue_t *one = first_catalogue();
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(rows); i++) {
		char *report;

		g_assert_null(apply(one, rows[i].text, &report));
		g_assert_cmpstr(report, ==, rows[i].report);
		free(report);
	}
	catalogue_unref(one);
}

/* Withdrawn names are limited, or the catalogue would grow without end. */
static void
withdrawn_names_are_limited(void)
{
	catalogue_t *c = first_catalogue(), *next;
	GString *g;
	char *report;
	int i, round;

	for (round = 0; round < 24; round++) {
		g = g_string_new(NULL);
		g_string_printf(
		    g, "[note]\nid = n%d\nbase = %d\n", round, (int)c->number);
		for (i = 0; i < 500; i++)
			g_string_append_printf(g,
			    round % 2 == 0
				? "[add model x%d-%d]\nservice = llm\n"
				  "version = 1\nmemory_mb = 1\n"
				: "[withdraw model x%d-%d]\nreason = r\n",
			    round / 2 * 2, i);
		next = apply(c, g->str, &report);
		g_assert_cmpstr(report, ==, NULL);
		catalogue_unref(c);
		c = next;
		g_string_free(g, TRUE);
	}
	g_assert_cmpint(c->nwithdrawn, ==, 4096);
	g_assert_true(catalogue_withdrawn(c, "x22-7"));
	catalogue_unref(c);
}

static void
damaged_notes_are_refused_or_applied(void)
{
	catalogue_t *none = catalogue_new();
	rng_t rng = { 7 };
	int i, j;

	for (i = 0; i < 3000; i++) {
		char *text = g_strdup(first_note), *report = NULL;
		size_t n = strlen(text) - rng_next(&rng) % 40;
		note_t *note;

		for (j = 0; j < 3; j++)
			text[rng_next(&rng) % n] = (char)rng_next(&rng);
		note = note_parse(text, n, &report, NULL);
		if (note == NULL) {
			g_assert_nonnull(report);
		} else {
			catalogue_t *c =
			    note_apply(none, note, &settings, &report, NULL);

			g_assert_true((c == NULL) == (report != NULL));
			catalogue_unref(c);
		}
		free(report);
		note_free(note);
		g_free(text);
	}
	catalogue_unref(none);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	settings_init(&settings);
	settings.nservice = 2;
	str_set(settings.service[0].name, ID_MAX, "llm");
	str_set(settings.service[1].name, ID_MAX, "web");
	settings.service[1].kind = SERVICE_PLAIN;
	g_test_add_func("/note/catalogues", notes_change_the_catalogue);
	g_test_add_func("/note/errors", errors_have_line_numbers);
	g_test_add_func("/note/withdrawn", withdrawn_names_are_limited);
	g_test_add_func("/note/damaged", damaged_notes_are_refused_or_applied);
	return g_test_run();
}
