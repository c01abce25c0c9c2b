/*
 * Guards against a truncated answer: engines break the connection of a stream
 * again and again, after each token or each five.
 */
#include "tests/system.h"

#include <glib.h>

enum {
	CALL_MS = 10000,
	TOKENS = 50,
};

static const struct {
	const char *name, *fault;
	int faulty_engines; /* number of engines with the fault */
} rows[] = {
	{ "/cut/one-engine", "{\"cut_after\":5}", 1 },
	{ "/cut/all-engines", "{\"cut_after\":5}", 3 },
	{ "/cut/after-each-token", "{\"cut_after\":1}", 3 },
};

static void
answers_stay_complete(gconstpointer user)
{
	int row = GPOINTER_TO_INT(user), i;
	system_opts_t o = { .nengine = 3, .nservice = 1 };
	system_t *s = system_start(&o);

	system_apply_first_note(s, 2, 0);
	for (i = 0; i < rows[row].faulty_engines; i++)
		system_set_faults(s->worker[i].addr, rows[row].fault);
	for (i = 0; i < 6; i++) {
		char *prompt = g_strdup_printf("call %d ", i);
		outcome_t got = system_chat(
		    s->entry[i % 2].caller, "m0", prompt, TOKENS, CALL_MS);

		g_test_message(
		    "call %d: %d tokens, error '%s'", i, got.tokens, got.code);
		g_assert_true(got.whole);
		g_free(prompt);
	}
	system_stop(s);
}

int
main(int argc, char **argv)
{
	size_t i;

	g_test_init(&argc, &argv, NULL);
	for (i = 0; i < G_N_ELEMENTS(rows); i++)
		g_test_add_data_func(
		    rows[i].name, GINT_TO_POINTER(i), answers_stay_complete);
	return g_test_run();
}
