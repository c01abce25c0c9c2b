/* The load tool's check of answers and its plan of calls. */
#include "bench/load.h"
#include "policy/policy.h"
#include "standin/token.h"

#include <stdlib.h>
#include <string.h>

static const char prompt[] = "trace #3";

/*
 * An event stream as entryd writes it. Each character of @p form is an event: a
 * digit is a token by its offset, '?' one of another answer, D the end marker,
 * E and N errors of a call that ran and that didn't run, X an empty delta of
 * another answer, F one of this answer.
 */
static char *
make_stream(const char *form)
{
	GString *s = g_string_new(NULL);
	char token[TOKEN_MAX];

	for (; *form != '\0'; form++) {
		switch (*form) {
		case 'D':
			g_string_append(s, "data: [DONE]\n\n");
			break;
		case 'E':
			g_string_append(s, "event: error\ndata: {\"error\":"
					   "{\"ran\":\"yes\"}}\n\n");
			break;
		case 'N':
			g_string_append(s, "event: error\ndata: {\"error\":"
					   "{\"ran\":\"no\"}}\n\n");
			break;
		case 'X':
			g_string_append(s, "data: {\"id\":\"x\",\"choices\":"
					   "[{\"delta\":{}}]}\n\n");
			break;
		case 'F':
			g_string_append(s, "data: {\"id\":\"c\",\"choices\":"
					   "[{\"delta\":{}}]}\n\n");
			break;
		default:
			token_text(token, sizeof(token),
			    *form == '?' ? "another" : prompt,
			    *form == '?' ? 0 : *form - '0');
			g_string_append_printf(s,
			    "id: tok%c\ndata: {\"id\":\"c\",\"choices\":[{"
			    "\"delta\":{\"content\":\"%s\"}}]}\n\n",
			    *form, token);
		}
	}
	return g_string_free(s, FALSE);
}

/* If the load tool missed a wrong answer, its "GOOD" would mean nothing. */
static void
verdicts(void)
{
	static const struct {
		const char *form;
		verdict_t want;
	} rows[] = {
		{ "012FD", VERDICT_WHOLE },
		{ "012D", VERDICT_WHOLE },
		{ "01D", VERDICT_CUT },
		{ "D", VERDICT_CUT },
		{ "01", VERDICT_OPEN },
		{ "", VERDICT_OPEN },
		{ "0112D", VERDICT_DOUBLED },
		{ "02D", VERDICT_FOREIGN },
		{ "?12D", VERDICT_FOREIGN },
		{ "0X12D", VERDICT_FOREIGN },
		{ "01E", VERDICT_FAILED },
		{ "N", VERDICT_REFUSED },
	};
	size_t i, at;

	for (i = 0; i < G_N_ELEMENTS(rows); i++) {
		char *text = make_stream(rows[i].form);
		answer_check_t a;

		g_test_message("%s", rows[i].form);
		answer_init(&a, prompt, 3);
		for (at = 0; text[at] != '\0'; at++)
			answer_feed(&a, text + at, 1);
		g_assert_cmpint(answer_verdict(&a), ==, rows[i].want);
		answer_clear(&a);
		g_free(text);
	}
}

static void
resumed_answer_goes_on(void)
{
	char *first = make_stream("01"), *rest = make_stream("2D");
	answer_check_t a;

	answer_init(&a, prompt, 3);
	answer_feed(&a, first, strlen(first));
	answer_feed(&a, "data: {\"half", 12);
	g_assert_cmpstr(a.event_id, ==, "tok1");
	answer_resume(&a);
	answer_feed(&a, rest, strlen(rest));
	g_assert_cmpint(answer_verdict(&a), ==, VERDICT_WHOLE);
	answer_clear(&a);
	g_free(first);
	g_free(rest);
}

static void
plan_depends_on_the_seed_alone(void)
{
	static const char *const model[] = { "a", "b", "c" };
	plan_opts_t o = { .rate = 100,
		.burst_factor = 3,
		.span_ms = 10000,
		.plain_share = 0.2,
		.skew = 1,
		.tokens = 10,
		.callers = 5,
		.seed = 7 };
	int n, m, i;
	job_t *x = plan_make(&o, model, 3, &n);
	job_t *y = plan_make(&o, model, 3, &m);

	g_assert_cmpint(n, ==, m);
	/* 8 s at 100 and 2 s at 300: 1400 on average, sd 37 */
	g_assert_cmpint(n, >, 1400 - 5 * 37);
	g_assert_cmpint(n, <, 1400 + 5 * 37);
	for (i = 0; i < n; i++) {
		g_assert_cmpint(x[i].start_ms, ==, y[i].start_ms);
		g_assert_cmpstr(x[i].prompt, ==, y[i].prompt);
		g_assert_true(i == 0 || x[i - 1].start_ms <= x[i].start_ms);
	}
	plan_free(x, n);
	plan_free(y, m);
}

/* The first note of each deployment is valid. */
static void
first_notes_apply(gconstpointer name)
{
	char *conf = g_strdup_printf("settings/%s.ini", (const char *)name);
	char *file = g_strdup_printf("notes/%s.ini", (const char *)name);
	catalogue_t *none = catalogue_new(), *c;
	char *text, *report = NULL;
	settings_t s;
	note_t *note;
	gsize len;

	settings_init(&s);
	g_assert_cmpint(settings_read(&s, conf, &report, NULL), ==, 0);
	g_assert_true(g_file_get_contents(file, &text, &len, NULL));
	note = note_parse(text, len, &report, NULL);
	g_assert_cmpstr(report, ==, NULL);
	c = note_apply(none, note, &s, &report, NULL);
	g_assert_cmpstr(report, ==, NULL);
	g_assert_cmpint(c->nmodel, >=, 20);
	g_assert_cmpint(c->nadapter, >=, 70);
	catalogue_unref(c);
	catalogue_unref(none);
	note_free(note);
	g_free(text);
	g_free(file);
	g_free(conf);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/load/verdicts", verdicts);
	g_test_add_func("/load/resumed", resumed_answer_goes_on);
	g_test_add_func("/load/plan", plan_depends_on_the_seed_alone);
	g_test_add_data_func("/load/first-note/granite-ridge", "granite-ridge",
	    first_notes_apply);
	g_test_add_data_func(
	    "/load/first-note/tostadero", "tostadero", first_notes_apply);
	return g_test_run();
}
