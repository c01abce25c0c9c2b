/* End-to-end calls: from the caller through entry and broker to a worker. */
#include "tests/system.h"

#include <glib.h>
#include <string.h>

enum {
	CALL_MS = 10000
};

static void
calls_are_answered(void)
{
	system_opts_t o = { .nengine = 3, .nservice = 2 };
	system_t *s = system_start(&o);
	const char *entry0 = s->entry[0].caller, *entry1 = s->entry[1].caller;
	outcome_t got;
	reply_t r;

	system_apply_first_note(s, 2, 2);
	got = system_chat(entry0, "m0", "one", 50, CALL_MS);
	g_assert_cmpint(got.status, ==, 200);
	g_assert_true(got.whole);
	got = system_chat(entry1, "m1", "two", 50, CALL_MS);
	g_assert_true(got.whole);
	got = system_chat(entry1, "a1", "three", 50, CALL_MS);
	g_assert_true(got.whole);
	got = system_chat(entry0, "nothing", "x", 5, CALL_MS);
	g_assert_cmpint(got.status, ==, 404);
	g_assert_cmpstr(got.code, ==, "unknown_model");
	g_assert_cmpstr(got.ran, ==, "no");

	r = http_call("POST", entry0, "/v1/completions", NULL,
	    "{\"model\":\"m0\",\"prompt\":\"whole#3\"}", CALL_MS);
	g_assert_cmpint(r.status, ==, 200);
	g_assert_nonnull(strstr(r.body, "text_completion"));
	g_assert_nonnull(strstr(r.body, "t2-"));
	g_assert_null(strstr(r.body, "t3-"));
	g_assert_nonnull(strstr(r.body, "\"finish_reason\":\"stop\""));
	reply_clear(&r);
	r = http_call("POST", entry0, "/v1/completions", NULL,
	    "{\"model\":\"m0\",\"prompt\":\"whole#9\",\"max_tokens\":3}",
	    CALL_MS);
	g_assert_nonnull(strstr(r.body, "\"finish_reason\":\"length\""));
	reply_clear(&r);

	got = system_plain_call(entry0, "/calibrate", "k1", CALL_MS);
	g_assert_cmpint(got.status, ==, 200);
	g_assert_cmpstr(got.ran, ==, "yes");
	g_assert_cmpint(system_run_count(s, "k1"), ==, 1);
	/* A repeat at another entry gets the answer of the first run. */
	got = system_plain_call(entry1, "/calibrate", "k1", CALL_MS);
	g_assert_cmpint(got.status, ==, 200);
	g_assert_cmpint(system_run_count(s, "k1"), ==, 1);
	got = system_plain_call(entry1, "/other", "k1", CALL_MS);
	g_assert_cmpint(got.status, ==, 422);
	g_assert_cmpint(system_run_count(s, "k1"), ==, 1);

	r = http_call("GET", entry0, "/v1/entries", NULL, NULL, CALL_MS);
	g_assert_nonnull(strstr(r.body, entry0));
	g_assert_nonnull(strstr(r.body, entry1));
	reply_clear(&r);
	r = http_call("GET", entry0, "/v1/models", NULL, NULL, CALL_MS);
	g_assert_nonnull(strstr(r.body, "\"a1\""));
	reply_clear(&r);
	system_stop(s);
}

static void
notes_change_what_is_served(void)
{
	system_opts_t o = { .nengine = 3, .nservice = 1 };
	system_t *s = system_start(&o);
	outcome_t got;
	uint64_t n;

	system_apply_first_note(s, 2, 1);
	n = system_apply_note(s, 1,
	    "[note]\nid = second\nbase = 1\n"
	    "[withdraw model m1]\nreason = old\n"
	    "[change model m0]\nversion = 2\n"
	    "[add model m9]\nservice = llm\nversion = 1\n"
	    "memory_mb = 9000\n");
	g_assert_cmpuint(n, ==, 2);
	g_assert_true(system_in_force(s, 0, n, START_MS));
	got = system_chat(s->entry[0].caller, "m9", "nine", 20, CALL_MS);
	g_assert_true(got.whole);
	got = system_chat(s->entry[1].caller, "m0", "zero", 20, CALL_MS);
	g_assert_true(got.whole);
	got = system_chat(s->entry[1].caller, "a0", "zero", 20, CALL_MS);
	g_assert_true(got.whole);
	got = system_chat(s->entry[0].caller, "m1", "one", 20, CALL_MS);
	g_assert_cmpint(got.status, ==, 410);
	g_assert_cmpstr(got.code, ==, "withdrawn");
	system_stop(s);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/end-to-end/calls", calls_are_answered);
	g_test_add_func("/end-to-end/notes", notes_change_what_is_served);
	return g_test_run();
}
